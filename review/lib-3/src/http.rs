//! Minimal HTTP/1.1 for the stand-ins: heads, bodies with a length or in chunks, one exchange as a client.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Start line and header fields of a message.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub start: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Reads a head; `None` at a regular end of the connection.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Self>> {
        let mut head = Self::default();
        if reader.read_line(&mut head.start)? == 0 {
            return Ok(None);
        }
        head.start = head.start.trim_end().to_owned();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end();
            if line.is_empty() {
                return Ok(Some(head));
            }
            if let Some((name, value)) = line.split_once(':') {
                let field = (name.to_ascii_lowercase(), value.trim().to_owned());
                head.fields.push(field);
            }
        }
    }

    pub fn field(&self, name: &str) -> Option<&str> {
        let mut fields = self.fields.iter();
        fields
            .find(|(known, _)| known == name)
            .map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or_default()
    }

    /// Reads the body that follows. A response without a length ends with its connection.
    pub fn read_body(&self, reader: &mut impl BufRead, is_response: bool) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        if self.field("transfer-encoding").is_some() {
            loop {
                let mut size = String::new();
                reader.read_line(&mut size)?;
                let size = usize::from_str_radix(size.trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::UnexpectedEof))?;
                let mut chunk = vec![0; size + 2];
                reader.read_exact(&mut chunk)?;
                body.extend_from_slice(&chunk[..size]);
                if size == 0 {
                    return Ok(body);
                }
            }
        }
        match self.field("content-length").map(str::parse::<usize>) {
            Some(Ok(length)) => {
                body.resize(length, 0);
                reader.read_exact(&mut body)?;
            }
            Some(Err(_)) => return Err(io::ErrorKind::InvalidData.into()),
            None if is_response => {
                reader.read_to_end(&mut body)?;
            }
            None => {}
        }
        Ok(body)
    }
}

/// A complete answer.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
}

/// Sends one request over a new connection and reads the answer.
pub fn exchange(to: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request)?;
    let mut reader = BufReader::new(stream);
    let head = Head::read(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    head.read_body(&mut reader, true)?;
    let status = head.word(1).parse().unwrap_or(0);
    Ok(Answer { status })
}

/// A call with a JSON body, such as to the platform's store.
pub fn call(to: SocketAddr, method: &str, path: &str, json: &str) -> io::Result<Answer> {
    let length = json.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {to}\r\ncontent-type: application/json\r\n\
         content-length: {length}\r\nconnection: close\r\n\r\n{json}"
    );
    exchange(to, request.as_bytes(), Duration::from_secs(5))
}

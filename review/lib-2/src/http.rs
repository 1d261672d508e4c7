//! The part of HTTP/1.1 that the stand-ins need.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// Head and body of a request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line, without its end.
    pub first_line: String,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Method of a request.
    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
#[derive(Debug)]
pub struct Connection {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        // Small writes must not wait for acknowledgements. The exchange also works without the option.
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            ahead: Vec::new(),
        }
    }

    pub fn connect(address: SocketAddr) -> io::Result<Self> {
        TcpStream::connect(address).map(Self::new)
    }

    /// Reads a message with a declared length, or in chunks, or without a body. `None` at the end of the connection.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let Some(head) = self.read_head()? else {
            return Ok(None);
        };
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first_line: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                let header = (name.trim().to_lowercase(), value.trim().to_owned());
                message.headers.push(header);
            }
        }
        let length = message.header("content-length").map(str::parse::<usize>);
        if let Some(Ok(length)) = length {
            message.body = self.read_exactly(length)?;
        } else if message.header("transfer-encoding").is_some() {
            message.body = self.read_chunks()?;
        }
        Ok(Some(message))
    }

    fn read_head(&mut self) -> io::Result<Option<String>> {
        loop {
            let end = self.ahead.windows(4).position(|bytes| bytes == b"\r\n\r\n");
            if let Some(end) = end {
                let head = self.ahead.drain(..end + 4).take(end).collect();
                return String::from_utf8(head).map(Some).map_err(io::Error::other);
            }
            if self.fill()? == 0 {
                if self.ahead.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn read_exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.ahead.drain(..length).collect())
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = loop {
                if let Some(end) = self.ahead.windows(2).position(|bytes| bytes == b"\r\n") {
                    break self.ahead.drain(..end + 2).take(end).collect::<Vec<_>>();
                }
                if self.fill()? == 0 {
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            };
            let digits = String::from_utf8_lossy(&line);
            let digits = digits.split(';').next().unwrap_or_default().trim();
            let length = usize::from_str_radix(digits, 16).map_err(io::Error::other)?;
            body.extend(self.read_exactly(length)?);
            self.read_exactly(2)?;
            if length == 0 {
                return Ok(body);
            }
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 8 * 1_024];
        let count = self.stream.read(&mut bytes)?;
        self.ahead.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Number of bytes that were read and do not belong to a message that was returned.
    pub fn read_ahead(&self) -> usize {
        self.ahead.len()
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// Sends a request on a connection of its own and reads the response.
pub fn call(address: SocketAddr, request: &str, timeout: Duration) -> io::Result<Message> {
    let mut connection = Connection::connect(address)?;
    connection.stream.set_read_timeout(Some(timeout))?;
    connection.write(request.as_bytes())?;
    connection
        .read()?
        .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

/// Sends a request with a JSON body on a connection of its own.
pub fn send_json(address: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<Message> {
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\ncontent-type: application/json\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    call(address, &request, Duration::from_secs(5))
}

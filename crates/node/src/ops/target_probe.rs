//! The question to the local target who it is.

use {
    bytes::Bytes,
    http::{Request, StatusCode, header},
    http_body_util::Empty,
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    jujubeline_core::{Dialect, ProcessId},
    std::{net::SocketAddr, time::Duration},
    tokio::{net::TcpStream, time::timeout},
};

/// Longest wait for the response. The next heartbeat tells the same and comes within a few seconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// What the target answered.
#[derive(Debug, PartialEq, Eq)]
pub struct TargetAnswer {
    /// Its process.
    pub process: ProcessId,
    /// Requests that it can run together, if it states them.
    pub slots: Option<u32>,
}

/// Asks the health check of a target; none when the target does not answer, is not healthy or does not name its process.
pub async fn probe_target(
    address: SocketAddr,
    path: &str,
    dialect: &Dialect,
) -> Option<TargetAnswer> {
    match timeout(PROBE_TIMEOUT, ask(address, path, dialect)).await {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => {
            log::debug!("health check of the target at {address}: {error}");
            None
        }
        Err(_) => None,
    }
}

async fn ask(
    address: SocketAddr,
    path: &str,
    dialect: &Dialect,
) -> Result<Option<TargetAnswer>, Box<dyn std::error::Error + Send + Sync>> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let request = Request::get(path)
        .header(header::HOST, address.to_string())
        .header(header::CONNECTION, "close")
        .body(Empty::<Bytes>::new())?;
    let response = async {
        let response = sender.send_request(request).await?;
        let headers = response.headers();
        let process = dialect
            .answering_process
            .as_ref()
            .and_then(|name| headers.get(name)?.to_str().ok())
            .filter(|_| response.status() == StatusCode::OK);
        let slots = (dialect.read_load)(headers).map(|load| load.slots);
        Ok(process.map(|process| TargetAnswer {
            process: process.into(),
            slots: slots.filter(|&slots| slots > 0),
        }))
    };
    tokio::pin!(response);
    tokio::select! {
        response = &mut response => response,
        // A connection that has ended hands over what it received, or why it received nothing.
        _ = connection => response.await,
    }
}

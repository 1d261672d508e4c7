//! Probe that identifies the process of the local target.

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

/// Timeout of the probe. A busy target answers health checks in turn with its requests; the probe is then repeated.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Response of the target's health check.
#[derive(Debug, PartialEq, Eq)]
pub struct ProbeResponse {
    /// Process that answered, if the response names it.
    pub process: Option<ProcessId>,
    /// Whether the target is healthy and not leaving.
    pub is_healthy: bool,
    /// Requests that the target can run at the same time, if the response states them.
    pub slots: Option<u32>,
}

impl ProbeResponse {
    /// What is assumed of a target that has no health check.
    pub const fn unnamed_healthy() -> Self {
        Self {
            process: None,
            is_healthy: true,
            slots: None,
        }
    }
}

/// Calls the health check of a target; none when the target does not answer in time.
pub async fn probe_target(
    address: SocketAddr,
    path: &str,
    dialect: &Dialect,
) -> Option<ProbeResponse> {
    match timeout(PROBE_TIMEOUT, ask(address, path, dialect)).await {
        Ok(Ok(answer)) => Some(answer),
        Ok(Err(error)) => {
            log::debug!("health check of the target at {address} failed: {error}");
            None
        }
        Err(_) => None,
    }
}

async fn ask(
    address: SocketAddr,
    path: &str,
    dialect: &Dialect,
) -> Result<ProbeResponse, Box<dyn std::error::Error + Send + Sync>> {
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
            .probe_process
            .as_ref()
            .and_then(|name| headers.get(name)?.to_str().ok());
        let slots = (dialect.read_load)(headers).map(|load| load.slots);
        Ok(ProbeResponse {
            process: process.map(Into::into),
            is_healthy: response.status() == StatusCode::OK,
            slots: slots.filter(|&slots| slots > 0),
        })
    };
    tokio::pin!(response);
    tokio::select! {
        response = &mut response => response,
        // After the connection has ended, the response future yields what was received, or the error.
        _ = connection => response.await,
    }
}

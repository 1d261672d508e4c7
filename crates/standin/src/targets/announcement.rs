//! Announcement of the state and capacity of a target to the node beside it.

use {
    bytes::Bytes,
    http::{Method, Request, header},
    http_body_util::Full,
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    serde::Serialize,
    std::net::SocketAddr,
    tokio::net::TcpStream,
};

/// Body of `PUT /target`.
#[derive(Debug, Clone, Serialize)]
pub struct Announcement {
    /// Address on which the target listens.
    pub address: SocketAddr,
    /// State of the target: `cold`, `ready`, `draining` or `gone`.
    pub state: &'static str,
    /// Number of requests that the target can run concurrently.
    pub slots: u32,
    /// Number of connections that the target accepts.
    pub connections: u32,
}

impl Announcement {
    /// Sends the announcement to the operators' address of a node.
    ///
    /// # Errors
    ///
    /// When the node cannot be reached or responds with a status other than 2xx.
    pub async fn send(&self, operators_address: SocketAddr) -> std::io::Result<()> {
        let stream = TcpStream::connect(operators_address).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let request = Request::builder()
            .method(Method::PUT)
            .uri("/target")
            .header(header::HOST, operators_address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(serde_json::to_vec(self)?)))
            .map_err(std::io::Error::other)?;
        let exchange = async {
            let response = sender.send_request(request).await;
            drop(sender);
            response
        };
        let (response, _) = tokio::join!(exchange, connection);
        let status = response.map_err(std::io::Error::other)?.status();
        if status.is_success() {
            return Ok(());
        }
        Err(std::io::Error::other(format!(
            "the node answered the announcement with {status}"
        )))
    }
}

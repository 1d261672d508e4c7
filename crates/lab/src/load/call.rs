//! HTTP/1.1 calls on a connection that is kept open.

use {
    bytes::Bytes,
    http::{HeaderMap, Method, Request, StatusCode},
    http_body_util::{BodyExt, Full},
    hyper::client::conn::http1::{SendRequest, handshake},
    hyper_util::rt::TokioIo,
    std::{error::Error, net::SocketAddr},
    tokio::{net::TcpStream, task::JoinHandle},
};

/// Any failure of a call. The load generator counts failures without telling them apart.
pub type CallError = Box<dyn Error + Send + Sync>;

/// An HTTP request to send.
#[derive(Debug, Clone)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query of the request target.
    pub path: String,
    /// Headers besides `Host`, which the connection adds.
    pub headers: HeaderMap,
    /// Body, sent in one piece.
    pub body: Bytes,
}

impl Call {
    /// Creates a GET request without headers and body.
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
        }
    }
}

/// An HTTP response that was received completely.
#[derive(Debug, Clone)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers of the response, without trailers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// An HTTP/1.1 connection that carries one call at a time.
#[derive(Debug)]
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    driver: JoinHandle<()>,
}

impl Connection {
    /// Connects to an address with `TCP_NODELAY`.
    ///
    /// # Errors
    ///
    /// When the address does not accept the connection.
    pub async fn open(address: SocketAddr) -> Result<Self, CallError> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await?;
        let driver = tokio::spawn(async move {
            // An error of the connection is also returned by the call in flight.
            let _ = connection.await;
        });
        Ok(Self {
            address,
            sender,
            driver,
        })
    }

    /// Sends a call and reads the complete response.
    ///
    /// # Errors
    ///
    /// When the call is malformed or the connection ends before the response is complete.
    pub async fn call(&mut self, call: &Call) -> Result<Reply, CallError> {
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(&call.path)
            .header(http::header::HOST, self.address.to_string())
            .body(Full::new(call.body.clone()))?;
        request.headers_mut().extend(call.headers.clone());
        self.sender.ready().await?;
        let (parts, body) = self.sender.send_request(request).await?.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(Reply {
            status: parts.status,
            headers: parts.headers,
            body,
        })
    }

    /// Whether the connection can carry another call.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

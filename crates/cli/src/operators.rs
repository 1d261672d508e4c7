//! HTTP requests to the operators' address of a node, and the commands that need nothing else.

use {
    crate::{CliError, context::Context},
    bytes::Bytes,
    error_stack::Report,
    http::{Request, StatusCode, header},
    http_body_util::{BodyExt, Empty, Limited},
    hyper::client::conn::http1,
    hyper_util::rt::TokioIo,
    jujubeline_core::{NodeId, Peer, Revision, Step},
    percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode},
    serde::Deserialize,
    serde_json::Value,
    std::{collections::BTreeMap, fmt::Write, net::SocketAddr, time::Duration},
    tokio::net::TcpStream,
};

/// Timeout of one request, from the connection to the end of the answer.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Size limit of an answer, which leaves room for 16,384 members of about 500 bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1_024 * 1_024;

/// Characters that are percent-encoded in a query value: all but the unreserved ones of RFC 3986.
const ENCODED_IN_QUERY: AsciiSet = NON_ALPHANUMERIC
    .remove(b'-')
    .remove(b'.')
    .remove(b'_')
    .remove(b'~');

/// Client of the operators' address of a node.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NodeClient {
    address: SocketAddr,
}

/// The fields of `/status` that the tool uses. Unknown fields are ignored, so nodes may add some.
#[derive(Debug, Deserialize)]
pub(crate) struct Status {
    pub(crate) node: NodeId,
    pub(crate) catalogue_revision: Revision,
    pub(crate) members: Vec<MemberStatus>,
}

/// The fields of a member in `/status` that the tool uses.
#[derive(Debug, Deserialize)]
pub(crate) struct MemberStatus {
    pub(crate) node: NodeId,
    pub(crate) presence: String,
    pub(crate) catalogue_revision: Revision,
}

impl NodeClient {
    pub(crate) const fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Requests `/status` and returns it both decoded and as JSON.
    pub(crate) async fn status(&self) -> Result<(Status, Value), Report<CliError>> {
        let value = self.get("/status").await?;
        let status = Status::deserialize(&value)
            .map_err(|error| self.error(Step::Codec, &format!("/status: {error} in {value}")))?;
        Ok((status, value))
    }

    async fn get(&self, path: &str) -> Result<Value, Report<CliError>> {
        let answer = tokio::time::timeout(TIMEOUT, self.exchange(path))
            .await
            .unwrap_or_else(|_| Err(format!("no answer within {} ms", TIMEOUT.as_millis())));
        let (status, body) =
            answer.map_err(|detail| self.error(Step::ReadAnswer, &format!("{path}: {detail}")))?;
        let text = String::from_utf8_lossy(&body);
        if status != StatusCode::OK {
            return Err(self.error(
                Step::ReadAnswer,
                &format!("{path}: status {status}: {text}"),
            ));
        }
        serde_json::from_slice(&body)
            .map_err(|error| self.error(Step::Codec, &format!("{path}: {error} in {text:?}")))
    }

    async fn exchange(&self, path: &str) -> Result<(StatusCode, Bytes), String> {
        let text = |error: &dyn std::error::Error| error.to_string();
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|error| format!("cannot connect: {error}"))?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| text(&error))?;
        let request = Request::get(path)
            .header(header::HOST, self.address.to_string())
            .body(Empty::<Bytes>::new())
            .map_err(|error| text(&error))?;
        let exchange = async move {
            let answer = sender
                .send_request(request)
                .await
                .map_err(|error| text(&error))?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES)
                .collect()
                .await
                .map_err(|error| error.to_string())?;
            Ok((status, body.to_bytes()))
        };
        // The connection future completes when `exchange` drops the request sender.
        let (answer, _ended) = tokio::join!(exchange, connection);
        answer
    }

    fn error(&self, step: Step, detail: &str) -> Report<CliError> {
        CliError::Failed.at(step, Peer::Node(self.address.to_string()), detail)
    }
}

/// Runs `status`.
pub(crate) async fn status(context: &Context) -> Result<(), Report<CliError>> {
    let (status, value) = context.node()?.status().await?;
    let mut by_presence: BTreeMap<&str, usize> = BTreeMap::new();
    for member in &status.members {
        *by_presence.entry(&member.presence).or_default() += 1;
    }
    let mut text = format!(
        "node {}, catalogue revision {}, {} members\n",
        status.node,
        status.catalogue_revision,
        status.members.len()
    );
    for (presence, count) in by_presence {
        let _ = writeln!(text, "  {presence}: {count}");
    }
    for member in &status.members {
        let _ = writeln!(
            text,
            "  {} {} revision {}",
            member.node, member.presence, member.catalogue_revision
        );
    }
    context.print(&text, &value)
}

/// Runs `explain METHOD PATH`.
pub(crate) async fn explain(
    context: &Context,
    method: &str,
    path: &str,
    host: Option<&str>,
    workspace: Option<&str>,
) -> Result<(), Report<CliError>> {
    let method = utf8_percent_encode(method, &ENCODED_IN_QUERY);
    let path = utf8_percent_encode(path, &ENCODED_IN_QUERY);
    let mut query = format!("/explain?method={method}&path={path}");
    for (name, value) in [("host", host), ("workspace", workspace)] {
        if let Some(value) = value {
            let value = utf8_percent_encode(value, &ENCODED_IN_QUERY);
            query.push('&');
            query.push_str(name);
            query.push('=');
            query.extend(value);
        }
    }
    let value = context.node()?.get(&query).await?;
    let text = serde_json::to_string_pretty(&value).unwrap_or_else(|_| value.to_string());
    context.print(&text, &value)
}

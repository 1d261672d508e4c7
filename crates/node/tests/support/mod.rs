//! Node processes, targets and callers for the tests of the data path.

#![allow(dead_code)]

use {
    bytes::Bytes,
    http::{Request, Response},
    http_body_util::{BodyExt, Full},
    hyper::client::conn::{http1, http2},
    hyper_util::rt::{TokioExecutor, TokioIo},
    jujubeline_standin::targets::{Executions, TargetSettings, TargetStandin},
    std::{
        future::Future,
        net::SocketAddr,
        pin::pin,
        process::Stdio,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncBufReadExt, AsyncWriteExt, BufReader, Lines},
        net::TcpStream,
        process::{Child, ChildStdin, ChildStdout, Command},
        task::JoinHandle,
    },
};

/// Timeout for a condition that is expected to hold eventually. Only a failing test reaches it.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// A node process without a control plane, which takes its views from lines on standard input.
pub struct NodeProcess {
    pub name: String,
    pub service: String,
    pub callers: SocketAddr,
    pub data: SocketAddr,
    pub operators: SocketAddr,
    child: Child,
    input: Option<ChildStdin>,
    output: Lines<BufReader<ChildStdout>>,
}

impl NodeProcess {
    pub async fn start(name: &str, service: &str, target: Option<SocketAddr>, slots: u32) -> Self {
        let target = target.map_or("-".to_owned(), |address| address.to_string());
        let mut child = Command::new(env!("CARGO_BIN_EXE_fixed_views"))
            .args([name, service, &target, &slots.to_string()])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .unwrap();
        let input = child.stdin.take();
        let mut output = BufReader::new(child.stdout.take().unwrap()).lines();
        let callers = read_address(&mut output, "callers ").await;
        let data = read_address(&mut output, "data ").await;
        let operators = read_address(&mut output, "operators ").await;
        Self {
            name: name.to_owned(),
            service: service.to_owned(),
            callers,
            data,
            operators,
            child,
            input,
            output,
        }
    }

    /// Sends a command line to the process and waits until it is applied.
    pub async fn send_command(&mut self, line: &str) {
        let input = self.input.as_mut().unwrap();
        input
            .write_all(format!("{line}\n").as_bytes())
            .await
            .unwrap();
        let done = self.output.next_line().await.unwrap().unwrap();
        assert_eq!(done, format!("done {line}"));
    }

    /// Waits until a catalogue revision is in effect.
    async fn wait_for_revision(&self, revision: usize) {
        let until = Instant::now() + CONDITION_TIMEOUT;
        loop {
            let status = call(self.operators, get("/status")).await.unwrap();
            if problem(&status)["catalogue_revision"] == revision {
                return;
            }
            assert!(
                Instant::now() < until,
                "revision {revision} not in effect: {status:?}"
            );
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    pub fn member_line(&self, state: &str) -> String {
        format!(
            "member {} {} {} {state}",
            self.name, self.service, self.data
        )
    }

    /// Closes standard input, which makes the node drain.
    pub fn begin_stop(&mut self) {
        self.input = None;
    }

    /// Stops the process and waits until it exits. Returns whether the node stopped cleanly.
    pub async fn stopped(mut self) -> bool {
        self.input = None;
        let last = self.output.next_line().await.unwrap();
        let status = self.child.wait().await.unwrap();
        last.as_deref() == Some("stopped") && status.success()
    }

    pub async fn kill(mut self) {
        self.child.kill().await.unwrap();
    }
}

async fn read_address(output: &mut Lines<BufReader<ChildStdout>>, label: &str) -> SocketAddr {
    let line = output.next_line().await.unwrap().unwrap();
    line.strip_prefix(label).unwrap().parse().unwrap()
}

/// Adds all nodes with a service as members, and all entries, to the views of each node.
pub async fn connect(nodes: &mut [&mut NodeProcess], entries: &[&str]) {
    let members: Vec<_> = nodes
        .iter()
        .filter(|node| node.service != "-")
        .map(|node| node.member_line("ready"))
        .collect();
    for node in nodes {
        for member in &members {
            node.send_command(member).await;
        }
        for entry in entries {
            node.send_command(&format!("entry {entry}")).await;
        }
        node.wait_for_revision(entries.len()).await;
    }
}

/// A catalogue entry as JSON. `more` is appended to its fields.
pub fn entry(name: &str, method: &str, prefix: &str, service: &str, more: &str) -> String {
    format!(
        r#"{{"name":"{name}","owner":"test","method":"{method}","path_prefix":"{prefix}","service":"{service}","class":"normal","deadline_ms":10000,"retry_bound":3,"concurrency":80{more}}}"#
    )
}

/// Starts a target that makes no calls of its own.
pub async fn target(slots: u32) -> TargetStandin {
    start_target(slots, Vec::new(), 0).await
}

/// Starts a target that makes calls through `node` and resends each failed call twice.
pub async fn target_with_calls(slots: u32, node: SocketAddr) -> TargetStandin {
    start_target(slots, vec![node], 2).await
}

async fn start_target(
    slots: u32,
    call_addresses: Vec<SocketAddr>,
    call_retries: u32,
) -> TargetStandin {
    TargetStandin::start(TargetSettings {
        address: "127.0.0.1:0".parse().unwrap(),
        slots,
        connections: 256,
        service: Duration::ZERO,
        queue: 1_024,
        call_addresses,
        calls: Vec::new(),
        call_retries,
        journal: None,
    })
    .await
    .unwrap()
}

/// Waits until the counts of a target satisfy a condition.
pub async fn wait_for(target: &TargetStandin, condition: impl Fn(&Executions) -> bool) {
    let until = Instant::now() + CONDITION_TIMEOUT;
    while !condition(&target.executions()) {
        assert!(
            Instant::now() < until,
            "condition not met: {:?}",
            target.executions()
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// A response with its complete body, or the error of the connection.
pub type Exchange = Result<Response<Bytes>, hyper::Error>;

pub fn get(path: &str) -> Request<Full<Bytes>> {
    Request::get(path)
        .header("host", "test")
        .body(Full::default())
        .unwrap()
}

/// Sends one request over a connection of its own.
pub async fn call(address: SocketAddr, request: Request<Full<Bytes>>) -> Exchange {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let exchange = async move {
        let response = sender.send_request(request).await?;
        let (head, body) = response.into_parts();
        let body = body.collect().await?.to_bytes();
        Ok(Response::from_parts(head, body))
    };
    drive(connection, exchange).await
}

/// Drives a connection and its exchange in one task, so that aborting the task closes the connection.
async fn drive<C, E>(connection: C, exchange: E) -> Exchange
where
    C: Future<Output = Result<(), hyper::Error>>,
    E: Future<Output = Exchange>,
{
    let (mut connection, mut exchange) = (pin!(connection), pin!(exchange));
    tokio::select! {
        result = exchange.as_mut() => result,
        _ = connection.as_mut() => exchange.await,
    }
}

/// Sends one request over cleartext HTTP/2.
pub async fn call_http2(address: SocketAddr, path: &str) -> Exchange {
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) =
        http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await?;
    let connection = tokio::spawn(connection);
    let request = Request::get(format!("http://{address}{path}"))
        .body(Full::<Bytes>::default())
        .unwrap();
    let response = sender.send_request(request).await?;
    let (head, body) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    connection.abort();
    Ok(Response::from_parts(head, body))
}

/// Starts a call whose task closes the connection when it is aborted.
pub fn start_call(address: SocketAddr, request: Request<Full<Bytes>>) -> JoinHandle<Exchange> {
    tokio::spawn(call(address, request))
}

/// Parses the JSON body of a response.
pub fn problem(response: &Response<Bytes>) -> serde_json::Value {
    serde_json::from_slice(response.body()).unwrap_or_else(|error| panic!("{error}: {response:?}"))
}

//! The platform stand-in, as a process and over its HTTP API.

use {
    jujubeline_standin::platform::{Counts, Faults, MAX_VALUE_BYTES, PlatformStandin},
    serde_json::{Value, json},
    std::{
        io::{BufRead, BufReader, Read, Write},
        net::{SocketAddr, TcpStream},
        process::{Child, Command, Stdio},
    },
};

const PATH: &str = "/api/objects/join-points";

/// Kills the process when the test ends.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Sends one request. Returns status and body, or `None` if the connection is closed without a response.
fn send(address: SocketAddr, method: &str, path: &str, body: &Value) -> Option<(u16, Value)> {
    let mut stream = TcpStream::connect(address).expect("a connection");
    let body = if body.is_null() {
        String::new()
    } else {
        body.to_string()
    };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("sent");
    stream.write_all(body.as_bytes()).expect("sent");
    let mut answer = String::new();
    stream
        .read_to_string(&mut answer)
        .expect("an answer or the end");
    let status = answer.split(' ').nth(1)?.parse().expect("a status");
    let (_, body) = answer.split_once("\r\n\r\n")?;
    Some((status, serde_json::from_str(body).expect("JSON")))
}

fn object(name: &str, value: &Value) -> Value {
    json!({ "metadata": { "name": name }, "spec": value })
}

/// Guards against a stand-in process that does not print its address, ignores faults, accepts unknown ones or miscounts
/// calls; other tests rely on these.
#[test]
fn process_applies_faults_and_counts_calls() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_jujubeline-standin"));
    command
        .args(["platform", "--address", "127.0.0.1:0"])
        .stdout(Stdio::piped());
    let mut process = Process(command.spawn().expect("the process starts"));
    let mut first_line = String::new();
    let out = process.0.stdout.take().expect("its output");
    BufReader::new(out)
        .read_line(&mut first_line)
        .expect("a line");
    let address: SocketAddr = first_line.trim().parse().expect("an address");

    let faults = json!({ "lose_next": 1, "down": "no" });
    assert_eq!(
        send(address, "PUT", "/faults", &faults).map(|(status, _)| status),
        Some(200)
    );
    assert_eq!(send(address, "POST", PATH, &object("a", &json!(1))), None);
    let (status, read) =
        send(address, "GET", &format!("{PATH}/a"), &Value::Null).expect("an answer");
    assert_eq!((status, &read["spec"]), (200, &json!(1)));
    let (status, _) =
        send(address, "PUT", "/faults", &json!({ "dwon": "closed" })).expect("an answer");
    assert_eq!(status, 400);
    let (_, counts) = send(address, "GET", "/counts", &Value::Null).expect("an answer");
    let counts: Counts = serde_json::from_value(counts).expect("counts");
    assert_eq!((counts.calls, counts.writes, counts.reads), (2, 1, 1));
}

/// Guards against a stand-in that stores larger values than the platform, or that loses more or fewer responses than
/// `lose_every` states.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn value_limit_and_lost_responses_are_exact() {
    let standin = PlatformStandin::start_local().await.expect("a free port");
    let address = standin.address();
    let post = |name: &str, value: Value| send(address, "POST", PATH, &object(name, &value));
    let status = |answer: Option<(u16, Value)>| answer.map(|(status, _)| status);
    let fits = json!("x".repeat(MAX_VALUE_BYTES - 2));
    assert_eq!(status(post("fits", fits)), Some(200));
    let exceeds = json!("x".repeat(MAX_VALUE_BYTES - 1));
    assert_eq!(status(post("exceeds", exceeds)), Some(413));
    assert_eq!(status(post("fits", json!(1))), Some(409));
    standin.set_faults(Faults {
        lose_every: 2,
        ..Faults::default()
    });
    let lost: Vec<bool> = (0..6)
        .map(|n| post(&format!("n{n}"), json!(n)).is_none())
        .collect();
    assert_eq!(lost.iter().filter(|lost| **lost).count(), 3, "{lost:?}");
    assert!(lost.windows(2).all(|pair| pair[0] != pair[1]), "{lost:?}");
    assert_eq!(standin.objects("join-points").len(), 7);
    standin.stop().await;
    assert!(TcpStream::connect(address).is_err());
}

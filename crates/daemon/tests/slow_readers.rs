//! Callers and targets that read nothing, beside other requests between the same two nodes.

mod support;

use {
    jujubeline_core::cases,
    std::{
        io::{ErrorKind, Write},
        net::{SocketAddr, TcpStream},
        thread,
        time::{Duration, Instant},
    },
    support::{
        connect_with_buffer, exchange,
        target_fleet::{ANSWER_BYTES, Fleet, WAIT_TIMEOUT},
    },
};

/// Requests whose bytes are not read. Each of them fills the buffers of the nodes that it passes.
const UNREAD_REQUESTS: usize = 20;
/// Requests beside them, and the time within which each of them must be answered.
const OTHER_REQUESTS: usize = 10;
const OTHER_DEADLINE_MS: u64 = 1_000;
/// Time within which the buffers of the kernel and of the nodes are full.
const FILL_TIME: Duration = Duration::from_millis(2_500);
const WRITE_TIMEOUT: Duration = Duration::from_millis(100);
const UNREAD_DEADLINE_MS: u64 = 5_000;
const UNREAD_BODY_BYTES: usize = 1 << 30;
/// Bytes that the kernel keeps for a caller.
const KERNEL_BUFFER_BYTES: usize = 64 * 1_024;
/// Body of the other requests.
const BODY_BYTES: usize = 2_000;

fn head(method: &str, path: &str, deadline_ms: u64, body_bytes: usize) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nhost: a.example\r\nx-jujubeline-attempt-id: {}\r\n\
         x-jujubeline-deadline-ms: {deadline_ms}\r\ncontent-length: {body_bytes}\r\nconnection: close\r\n\r\n",
        path.replace('/', "-")
    )
}

/// Requests a large answer, and reads nothing of it.
fn leave_answer_unread(callers: SocketAddr, number: usize) -> TcpStream {
    let mut stream = connect_with_buffer(callers, KERNEL_BUFFER_BYTES);
    let request = head(
        "GET",
        &format!("/safe/large/{number}"),
        UNREAD_DEADLINE_MS,
        0,
    );
    stream.write_all(request.as_bytes()).unwrap();
    thread::sleep(FILL_TIME);
    stream
}

/// Sends a body that the target does not read.
fn send_unread_body(callers: SocketAddr, number: usize) -> TcpStream {
    let mut stream = TcpStream::connect(callers).unwrap();
    let path = format!("/safe/unread/{number}");
    let request = head("POST", &path, UNREAD_DEADLINE_MS, UNREAD_BODY_BYTES);
    stream.write_all(request.as_bytes()).unwrap();
    stream.set_write_timeout(Some(WRITE_TIMEOUT)).unwrap();
    let until = Instant::now() + FILL_TIME;
    let chunk = vec![b'b'; 64 * 1_024];
    while Instant::now() < until {
        match stream.write(&chunk) {
            Ok(_) => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => panic!("{number}: {error}"),
        }
    }
    stream
}

cases! {
    /// Guards against requests that use up the room of the connection between two nodes, so that answers to other callers,
    /// whose work has run, arrive without their bodies.
    fn unread_bytes_stop_no_other_request(fill: fn(SocketAddr, usize) -> TcpStream) {
        let fleet = Fleet::ready_with_work(Duration::ZERO);
        let callers = fleet.edge.callers;
        let filling: Vec<_> = (0..UNREAD_REQUESTS)
            .map(|number| thread::spawn(move || fill(callers, number)))
            .collect();
        let unread: Vec<_> = filling.into_iter().map(|filling| filling.join().unwrap()).collect();
        let since = Instant::now();
        let body = "c".repeat(BODY_BYTES);
        for number in 0..OTHER_REQUESTS {
            let head = head("POST", &format!("/safe/body/{number}"), OTHER_DEADLINE_MS, BODY_BYTES);
            let answer = exchange(callers, &format!("{head}{body}"));
            assert!(answer.starts_with("HTTP/1.1 200"), "{number}: {answer}");
            let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
            assert_eq!(body.len(), ANSWER_BYTES, "{number}");
        }
        assert!(since.elapsed() < WAIT_TIMEOUT);
        drop(unread);
    }
    callers_that_read_no_answers: (leave_answer_unread),
    targets_that_read_no_bodies: (send_unread_body),
}

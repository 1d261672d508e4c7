//! Callers whose bytes are unread when the node closes their connection after an answer.

mod support;

use {
    jujubeline_core::cases,
    std::{
        io::{self, Read, Write},
        net::{Shutdown, SocketAddr, TcpStream},
        thread,
        time::{Duration, Instant},
    },
    support::{
        connect_with_buffer, get,
        target_fleet::{Fleet, KILL_AFTER, MAX_NODE_KB, SIZED_PATH},
        terminate,
    },
};

/// Receive buffer of a caller, less than an answer.
const RECEIVE_BUFFER_BYTES: usize = 4_096;
/// Largest body of an answer of which the end may lie in the buffer of the HTTP server.
const MAX_BUFFERED_BYTES: usize = 16 << 20;
/// Difference between the bodies of two such answers, and how many are tried.
const BUFFERED_STEP_BYTES: usize = 1_500;
const BUFFERED_ANSWERS: usize = 16;
/// Time within which an answer is in the buffers if they hold it.
const FILL_TIME: Duration = Duration::from_millis(200);
/// Body of an answer.
const ANSWER_BYTES: usize = 9_000;
/// Body of a request that is sent behind another, more than the HTTP server reads ahead.
const BODY_BYTES: usize = 40_000;
const LARGE_HEAD_BYTES: usize = 200_000;
/// Time for which the target works on a request; shorter than the silence after which the gate sends it once more.
const WORK: Duration = Duration::from_millis(800);
/// Time from the first request to the stop of the node, while the target works.
const STOP_AFTER: Duration = Duration::from_millis(400);
/// Time between two writes of a caller.
const WRITE_GAP: Duration = Duration::from_millis(50);
/// Time after which a late caller reads the rest of its answer.
const READ_DELAY: Duration = Duration::from_millis(1_500);
/// Time from the stop signal after which a caller reads what the node still buffers; shorter than the grace time.
const BUFFERED_READ_DELAY: Duration = Duration::from_millis(3_500);
/// Timeout for bytes that must arrive; only a failing test reaches it.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// Bytes that a caller reads at once, more than the head of an answer.
const CHUNK_BYTES: usize = 512;
/// Callers in a test; each of them must get its answer.
const CALLERS: usize = 4;
/// Callers that stay after their answer.
const STAYING_CALLERS: usize = 40;
/// Connections that stay, more than may linger at the same time.
const MANY_CONNECTIONS: usize = 1_100;

/// What a caller does beside reading its first answer.
type Behaviour = fn(&TcpStream);
/// A call, with the head of its answer and the length of the body that came.
type Call = thread::JoinHandle<io::Result<(String, usize)>>;

fn head(method: &str, id: &str, body_bytes: usize) -> String {
    sized_head(method, ANSWER_BYTES, id, body_bytes)
}

fn sized_head(method: &str, answer_bytes: usize, id: &str, body_bytes: usize) -> String {
    format!(
        "{method} {SIZED_PATH}{answer_bytes} HTTP/1.1\r\nhost: a.example\r\n\
         x-jujubeline-attempt-id: {id}\r\nx-jujubeline-deadline-ms: 5000\r\n\
         content-length: {body_bytes}\r\n\r\n"
    )
}

fn send(mut stream: &TcpStream, bytes: &str) {
    stream.write_all(bytes.as_bytes()).unwrap();
}

fn sends_two_more(stream: &TcpStream) {
    for id in ["second", "third"] {
        thread::sleep(2 * WRITE_GAP);
        send(stream, &head("GET", id, 0));
    }
}

fn sends_two_more_with_bodies(stream: &TcpStream) {
    for id in ["second", "third"] {
        thread::sleep(2 * WRITE_GAP);
        let body = "b".repeat(BODY_BYTES);
        send(stream, &format!("{}{body}", head("POST", id, BODY_BYTES)));
    }
}

/// Sends requests until the connection ends.
fn sends_on(stream: &TcpStream) {
    let mut writer = stream.try_clone().unwrap();
    thread::spawn(move || {
        while writer.write_all(head("GET", "more", 0).as_bytes()).is_ok() {
            thread::sleep(WRITE_GAP);
        }
    });
}

fn sends_no_http(stream: &TcpStream) {
    send(stream, "\u{0}\u{1}no http\r\n\r\n");
    thread::sleep(2 * WRITE_GAP);
    send(stream, &"n".repeat(BODY_BYTES));
}

/// Sends a head that no buffer of the HTTP server can hold.
fn sends_a_large_head(stream: &TcpStream) {
    let mut writer = stream.try_clone().unwrap();
    let padding = "p".repeat(LARGE_HEAD_BYTES);
    let head =
        format!("GET /safe/view HTTP/1.1\r\nhost: a.example\r\nx-padding: {padding}\r\n\r\n");
    // The node may close before it has read all of it.
    thread::spawn(move || writer.write_all(head.as_bytes()));
}

/// Reads an answer to its end by `content-length`, and the head alone before `delay`.
fn read_answer(mut stream: &TcpStream, delay: Duration) -> io::Result<(String, usize)> {
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    let mut bytes = Vec::new();
    let mut chunk = [0; CHUNK_BYTES];
    let head_end = loop {
        if let Some(end) = bytes.windows(4).position(|end| end == b"\r\n\r\n") {
            break end + 4;
        }
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&chunk[..count]);
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).to_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    let length: usize = length.unwrap().parse().unwrap();
    thread::sleep(delay);
    let mut got = bytes.len() - head_end;
    while got < length {
        let count = stream.read(&mut chunk)?;
        if count == 0 {
            break;
        }
        got += count;
    }
    Ok((head, got.min(length)))
}

/// Sends a request, behaves as given meanwhile, and reads the answer.
fn call(
    callers: SocketAddr,
    behaviour: Behaviour,
    read_delay: Duration,
) -> io::Result<(String, usize)> {
    let stream = connect_with_buffer(callers, RECEIVE_BUFFER_BYTES);
    send(&stream, &head("GET", "first", 0));
    behaviour(&stream);
    read_answer(&stream, read_delay)
}

fn call_at_once(callers: SocketAddr, behaviour: Behaviour, read_delay: Duration) -> Vec<Call> {
    (0..CALLERS)
        .map(|_| thread::spawn(move || call(callers, behaviour, read_delay)))
        .collect()
}

fn assert_whole(calls: Vec<Call>) {
    let results: Vec<_> = calls.into_iter().map(|call| call.join().unwrap()).collect();
    for result in &results {
        let (head, bytes) = result.as_ref().unwrap_or_else(|_| panic!("{results:?}"));
        assert!(head.starts_with("http/1.1 200"), "{results:?}");
        assert_eq!(*bytes, ANSWER_BYTES, "{results:?}");
    }
}

cases! {
    /// Guards against a stop that resets connections on which bytes of the caller are unread, so that the system drops
    /// the end of the last answer; and against requests that run at a target although they were sent behind it.
    fn last_answer_of_a_stopping_node_is_whole(behaviour: Behaviour, read_delay: Duration) {
        let mut fleet = Fleet::ready_with_work(WORK);
        let calls = call_at_once(fleet.edge.callers, behaviour, read_delay);
        thread::sleep(STOP_AFTER);
        terminate(&fleet.edge.child);
        let stopped = Instant::now();
        assert_whole(calls);
        fleet.edge.log_until_end();
        assert!(stopped.elapsed() < KILL_AFTER, "{:?}", stopped.elapsed());
        assert_eq!(fleet.target.arrived_ids(), ["first".to_owned()].into());
    }
    requests_behind: (sends_two_more, Duration::ZERO),
    requests_with_bodies_behind: (sends_two_more_with_bodies, Duration::ZERO),
    requests_without_end_behind: (sends_on, Duration::ZERO),
    requests_behind_and_a_late_reader: (sends_two_more, READ_DELAY),
}

/// Requests an answer and reads nothing. Returns the connection if the node counts the answer as sent all the same.
fn ask_for_buffered_answer(fleet: &Fleet, bytes: usize) -> Option<TcpStream> {
    let stream = connect_with_buffer(fleet.edge.callers, RECEIVE_BUFFER_BYTES);
    send(&stream, &sized_head("GET", bytes, "first", 0));
    // The request must have arrived before it can have ended.
    thread::sleep(WRITE_GAP);
    if becomes_idle(fleet, FILL_TIME) {
        return Some(stream);
    }
    drop(stream);
    assert!(becomes_idle(fleet, READ_TIMEOUT), "a request is in flight");
    None
}

/// Whether the entry node counts no request as in flight within this time.
fn becomes_idle(fleet: &Fleet, within: Duration) -> bool {
    let until = Instant::now() + within;
    loop {
        let metrics = get(fleet.edge.operators, "/metrics");
        let mut counts = metrics
            .lines()
            .filter(|line| line.starts_with("jujubeline_in_flight{"));
        if counts.all(|line| line.ends_with(" 0")) {
            return true;
        }
        if Instant::now() > until {
            return false;
        }
        thread::sleep(WRITE_GAP / 10);
    }
}

/// Body of about the largest answer that the buffers of system and node hold.
fn largest_buffered_answer(fleet: &Fleet) -> usize {
    let (mut buffered, mut in_flight) = (ANSWER_BYTES, MAX_BUFFERED_BYTES);
    while in_flight - buffered > BUFFERED_STEP_BYTES {
        let bytes = usize::midpoint(buffered, in_flight);
        if ask_for_buffered_answer(fleet, bytes).is_some() {
            buffered = bytes;
        } else {
            in_flight = bytes;
        }
    }
    buffered
}

/// Guards against a stop that ends when all answers are handed to the HTTP server, although callers that read late have not
/// got what the server still buffers.
#[test]
fn buffered_answers_of_a_stopping_node_are_whole() {
    let mut fleet = Fleet::ready_with_work(Duration::ZERO);
    let largest = largest_buffered_answer(&fleet);
    // An answer that still counts as in flight would delay the stop for all.
    let buffered: Vec<_> = (0..BUFFERED_ANSWERS)
        .map(|number| largest.saturating_sub(number * BUFFERED_STEP_BYTES))
        .filter_map(|bytes| Some((bytes, ask_for_buffered_answer(&fleet, bytes)?)))
        .collect();
    assert!(!buffered.is_empty());
    terminate(&fleet.edge.child);
    let stopped = Instant::now();
    thread::sleep(BUFFERED_READ_DELAY);
    for (bytes, stream) in buffered {
        let mut answer = Vec::new();
        let ended = (&stream).read_to_end(&mut answer);
        assert!(ended.is_ok(), "{ended:?} after {} of {bytes}", answer.len());
        let head_end = answer.windows(4).position(|end| end == b"\r\n\r\n");
        assert_eq!(answer.len() - head_end.unwrap() - 4, bytes);
    }
    fleet.edge.log_until_end();
    assert!(stopped.elapsed() < KILL_AFTER, "{:?}", stopped.elapsed());
}

/// Guards against a node beside a target that resets the connection of an entry node when it stops, so that the entry
/// node loses the end of an answer that its caller reads late.
#[test]
fn last_answer_of_a_stopping_gate_is_whole() {
    let mut fleet = Fleet::ready_with_work(WORK);
    let calls = call_at_once(fleet.edge.callers, sends_two_more, READ_DELAY);
    thread::sleep(STOP_AFTER);
    terminate(&fleet.gate.child);
    assert_whole(calls);
    fleet.gate.log_until_end();
}

cases! {
    /// Guards against an answer that is lost because the caller sent bytes behind its request for which the HTTP server
    /// closes the connection.
    fn answer_before_bad_bytes_is_whole(behaviour: Behaviour, read_delay: Duration) {
        let fleet = Fleet::ready_with_work(WORK);
        assert_whole(call_at_once(fleet.edge.callers, behaviour, read_delay));
        assert_eq!(fleet.target.arrived_ids(), ["first".to_owned()].into());
    }
    no_http_behind: (sends_no_http, Duration::ZERO),
    no_http_behind_and_a_late_reader: (sends_no_http, READ_DELAY),
    large_head_behind: (sends_a_large_head, READ_DELAY),
}

/// Guards against a lost answer to the first request of a caller that ends its side while the next one runs.
#[test]
fn answer_of_a_caller_that_ends_its_side_is_whole() {
    let fleet = Fleet::ready_with_work(WORK);
    let mut stream = connect_with_buffer(fleet.edge.callers, RECEIVE_BUFFER_BYTES);
    send(&stream, &head("GET", "first", 0));
    send(&stream, &head("GET", "second", 0));
    let body = "b".repeat(BODY_BYTES);
    send(
        &stream,
        &format!("{}{body}", head("POST", "third", BODY_BYTES)),
    );
    thread::sleep(WORK + STOP_AFTER);
    stream.shutdown(Shutdown::Write).unwrap();
    thread::sleep(STOP_AFTER);
    let (head, bytes) = read_answer(&stream, Duration::ZERO).unwrap();
    assert!(head.starts_with("http/1.1 200"), "{head}");
    assert_eq!(bytes, ANSWER_BYTES);
    // The caller counts as gone, so there is no further answer, and the end is no reset.
    assert_eq!(stream.read_to_end(&mut Vec::new()).unwrap(), 0);
    let arrived = ["first", "second"].map(str::to_owned);
    assert_eq!(fleet.target.arrived_ids(), arrived.into());
}

/// Guards against operators' answers that are cut off because more bytes follow the request.
#[test]
fn answer_of_the_operators_address_is_whole() {
    let fleet = Fleet::ready();
    let stream = connect_with_buffer(fleet.edge.operators, RECEIVE_BUFFER_BYTES);
    send(
        &stream,
        "GET /metrics HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
    );
    thread::sleep(WRITE_GAP);
    sends_no_http(&stream);
    let (head, bytes) = read_answer(&stream, READ_DELAY).unwrap();
    assert!(head.starts_with("http/1.1 200"), "{head}");
    assert!(bytes > RECEIVE_BUFFER_BYTES, "{bytes} bytes");
    assert!(
        head.contains(&format!("content-length: {bytes}\r\n")),
        "{bytes} bytes: {head}"
    );
}

/// Guards against a stop that resets an HTTP/2 connection on which frames of the caller are unread after GOAWAY.
#[test]
fn last_answer_of_an_http2_connection_is_whole() {
    let mut fleet = Fleet::ready_with_work(WORK);
    let stream = connect_with_buffer(fleet.edge.callers, RECEIVE_BUFFER_BYTES);
    let (mut reader, mut writer) = (stream.try_clone().unwrap(), stream);
    writer.write_all(&http2_request()).unwrap();
    let pings = thread::spawn(move || {
        while writer.write_all(&frame(PING, 0, 0, &[0; 8])).is_ok() {
            thread::sleep(WRITE_GAP / 10);
        }
    });
    thread::sleep(STOP_AFTER);
    terminate(&fleet.edge.child);
    // By then the node has sent GOAWAY, which the caller has not read.
    thread::sleep(BUFFERED_READ_DELAY);
    reader.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    let mut bytes = 0;
    loop {
        let mut head = [0; 9];
        reader.read_exact(&mut head).unwrap();
        let length = u32::from_be_bytes([0, head[0], head[1], head[2]]);
        let mut payload = vec![0; length as usize];
        reader.read_exact(&mut payload).unwrap();
        if head[3] == DATA {
            bytes += payload.len();
            if head[4] & END_STREAM != 0 {
                break;
            }
        }
    }
    assert_eq!(bytes, ANSWER_BYTES);
    drop(reader);
    fleet.edge.log_until_end();
    pings.join().unwrap();
}

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;

/// A frame (RFC 9113, section 4.1).
fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = u32::try_from(payload.len()).unwrap().to_be_bytes();
    let mut frame = length[1..].to_vec();
    frame.extend([kind, flags]);
    frame.extend(stream.to_be_bytes());
    frame.extend(payload);
    frame
}

/// Preface, settings and a request on stream 1, whose fields are neither indexed nor compressed (RFC 7541, section 6.2.2).
fn http2_request() -> Vec<u8> {
    let path = format!("{SIZED_PATH}{ANSWER_BYTES}");
    let fields = [
        (":method", "GET"),
        (":scheme", "http"),
        (":path", path.as_str()),
        (":authority", "a.example"),
        ("x-jujubeline-attempt-id", "first"),
        ("x-jujubeline-deadline-ms", "5000"),
    ];
    let mut block = Vec::new();
    for (name, value) in fields {
        block.push(0);
        for text in [name, value] {
            block.push(u8::try_from(text.len()).unwrap());
            block.extend(text.as_bytes());
        }
    }
    let mut bytes = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    bytes.extend(frame(SETTINGS, 0, 0, &[]));
    bytes.extend(frame(HEADERS, END_STREAM | END_HEADERS, 1, &block));
    bytes
}

/// Reads the first answer, and then neither reads nor closes.
fn stays(callers: SocketAddr) {
    let stream = connect_with_buffer(callers, RECEIVE_BUFFER_BYTES);
    send(&stream, &head("GET", "first", 0));
    let _ = read_answer(&stream, Duration::ZERO);
    thread::sleep(2 * KILL_AFTER);
}

/// Sends as fast as the node reads, and reads nothing.
fn sends_without_end(callers: SocketAddr) {
    let mut stream = connect_with_buffer(callers, RECEIVE_BUFFER_BYTES);
    send(&stream, &head("GET", "first", 0));
    let chunk = vec![b'n'; 64 * 1_024];
    while stream.write_all(&chunk).is_ok() {}
}

cases! {
    /// Guards against callers that delay the stop of a node beyond its grace time, or fill its memory, because they do not
    /// close or send without end.
    fn callers_that_stay_do_not_delay_a_stop(caller: fn(SocketAddr)) {
        let mut fleet = Fleet::ready_with_work(WORK);
        let callers = fleet.edge.callers;
        for _ in 0..STAYING_CALLERS {
            thread::spawn(move || caller(callers));
        }
        thread::sleep(STOP_AFTER);
        terminate(&fleet.edge.child);
        let stopped = Instant::now();
        thread::sleep(2 * WORK);
        let peak_kb = fleet.edge.peak_memory_kb();
        fleet.edge.log_until_end();
        assert!(stopped.elapsed() < KILL_AFTER, "{:?}", stopped.elapsed());
        assert!(peak_kb <= MAX_NODE_KB, "{peak_kb} KB");
    }
    callers_that_never_close: (stays),
    callers_that_send_without_end: (sends_without_end),
}

/// Number of connections whose close ended so.
fn lingering_closes(operators: SocketAddr, end: &str) -> u64 {
    let metrics = get(operators, "/metrics");
    let start = format!("jujubeline_lingering_closes_total{{end=\"{end}\"");
    let line = metrics.lines().find(|line| line.starts_with(&start));
    line.unwrap().rsplit(' ').next().unwrap().parse().unwrap()
}

cases! {
    /// Guards against a caller that keeps a connection of the node for good after its answer.
    fn close_has_a_limit(caller: fn(SocketAddr), end: &str) {
        let fleet = Fleet::ready_with_work(Duration::ZERO);
        let callers = fleet.edge.callers;
        thread::spawn(move || caller(callers));
        let until = Instant::now() + READ_TIMEOUT;
        while lingering_closes(fleet.edge.operators, end) == 0 {
            assert!(Instant::now() < until, "the connection is still open");
            thread::sleep(WRITE_GAP);
        }
    }
    on_bytes: (sends_without_end, "byte_limit"),
    on_time: (|callers| asks_to_close_and_stays(callers, 1), "time_limit"),
    on_connections: (|callers| asks_to_close_and_stays(callers, MANY_CONNECTIONS), "connection_limit"),
}

fn asks_to_close_and_stays(callers: SocketAddr, connections: usize) {
    let ask = |_| {
        let stream = connect_with_buffer(callers, RECEIVE_BUFFER_BYTES);
        let request = "GET /none HTTP/1.1\r\nhost: a.example\r\nconnection: close\r\n\r\n";
        send(&stream, request);
        stream
    };
    let _streams: Vec<_> = (0..connections).map(ask).collect();
    thread::sleep(READ_TIMEOUT);
}

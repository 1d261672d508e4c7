//! Bytes that are no answer and come without end from a target, to many callers at once, through three daemons with
//! stand-ins for the store and the targets.

mod support;

use {
    jujubeline_core::cases,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        sync::{
            Mutex, PoisonError,
            atomic::{AtomicBool, AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    support::{
        exchange,
        target_fleet::{Fleet, MAX_NODE_KB, POLL_INTERVAL, WAIT_TIMEOUT},
    },
};

/// Callers that request endless bytes at the same time. Each fourth of them reads slowly.
const ENDLESS_CALLERS: usize = 100;
const SLOW_READER_SHARE: usize = 4;
const SLOW_READ_BYTES: usize = 1_024;
const SLOW_READ_PERIOD: Duration = Duration::from_millis(20);
/// Time that the callers allow, and time after it within which their connections must end.
const DEADLINE_MS: u64 = 1_500;
const END_SLACK: Duration = Duration::from_secs(3);
/// Requests of other callers that must be answered while endless bytes come. The callers of these repeat their requests
/// until then, because a node may give up all of the first ones within a tenth of a second.
const MIN_OTHERS: usize = 3;

/// Runs the cases one after the other, because each of them uses all processors.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

fn head(path: &str, deadline_ms: u64) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: a.example\r\nx-jujubeline-attempt-id: {}\r\n\
         x-jujubeline-deadline-ms: {deadline_ms}\r\nconnection: close\r\n\r\n",
        path.replace('/', "-")
    )
}

/// Reads until the connection ends. Returns how long it took.
fn read_endless(callers: SocketAddr, number: usize, round: usize) -> Duration {
    let sent = Instant::now();
    let mut stream = TcpStream::connect(callers).unwrap();
    stream.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let request = head(&format!("/safe/endless/{number}/{round}"), DEADLINE_MS);
    stream.write_all(request.as_bytes()).unwrap();
    let is_slow = number.is_multiple_of(SLOW_READER_SHARE);
    let mut chunk = vec![0; if is_slow { SLOW_READ_BYTES } else { 64 * 1_024 }];
    while stream.read(&mut chunk).is_ok_and(|count| count > 0) {
        if is_slow {
            // A slow reader has bytes of the system to read after the node has closed; it leaves instead.
            if sent.elapsed() > Duration::from_millis(DEADLINE_MS) + END_SLACK {
                break;
            }
            thread::sleep(SLOW_READ_PERIOD);
        }
    }
    sent.elapsed()
}

fn wait_until_served(edge: SocketAddr) {
    let until = Instant::now() + WAIT_TIMEOUT;
    while !exchange(edge, &head("/well/first", 3_000)).starts_with("HTTP/1.1 200") {
        assert!(Instant::now() < until, "the other service is not served");
        thread::sleep(POLL_INTERVAL);
    }
}

cases! {
    /// Guards against memory that fills up with bytes that are no answer, requests beyond their deadline, and other
    /// callers of the same nodes that are not served meanwhile.
    fn endless_bytes_harm_no_other_caller(start: &str, rest: &str) {
        let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
        let mut fleet = Fleet::ready_with_work(Duration::ZERO);
        let (mut billing, _target) = fleet.add_billing();
        let edge = fleet.edge.callers;
        wait_until_served(edge);
        fleet.target.send_endless(start, rest);
        let is_over = AtomicBool::new(false);
        let answered = AtomicUsize::new(0);
        let (longest, others) = thread::scope(|scope| {
            let read_while_others_send = |number| {
                let mut longest = Duration::ZERO;
                for round in 0.. {
                    longest = longest.max(read_endless(edge, number, round));
                    if answered.load(Ordering::Relaxed) >= MIN_OTHERS {
                        break;
                    }
                }
                longest
            };
            let endless: Vec<_> = (0..ENDLESS_CALLERS)
                .map(|number| scope.spawn(move || read_while_others_send(number)))
                .collect();
            let others = scope.spawn(|| {
                let mut answers = Vec::new();
                while !is_over.load(Ordering::Relaxed) {
                    let path = format!("/well/{}", answers.len());
                    answers.push(exchange(edge, &head(&path, 3_000)));
                    answered.store(answers.len(), Ordering::Relaxed);
                    thread::sleep(POLL_INTERVAL);
                }
                answers
            });
            let longest = endless.into_iter().map(|caller| caller.join().unwrap()).max();
            is_over.store(true, Ordering::Relaxed);
            (longest.unwrap(), others.join().unwrap())
        });
        let allowed = Duration::from_millis(DEADLINE_MS) + END_SLACK + 2 * SLOW_READ_PERIOD;
        assert!(longest <= allowed, "a request took {longest:?}");
        let served = others.iter().filter(|answer| answer.starts_with("HTTP/1.1 200")).count();
        assert_eq!(served, others.len(), "other callers are not served");
        assert!(served >= MIN_OTHERS, "{served} other requests");
        for daemon in [&mut fleet.edge, &mut fleet.gate, &mut billing] {
            assert!(daemon.child.try_wait().unwrap().is_none(), "a node has ended");
            let peak_kb = daemon.peak_memory_kb();
            assert!(peak_kb <= MAX_NODE_KB, "{peak_kb} KB");
        }
    }
    status_line: ("", "HTTP/1.1 200 OK "),
    noise: ("", "\u{1}\u{2}spoiled"),
    one_header_line: ("HTTP/1.1 200 OK\r\nx-more: ", "abcdefgh"),
    header_lines: ("HTTP/1.1 200 OK\r\n", "x-more: abcdefg\r\n"),
    informational_answers: ("", "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n"),
    chunk_size: ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "00000000"),
    chunk_extension: ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n8;x=", "abcdefgh"),
    chunks: ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "8\r\nabcdefgh\r\n"),
    trailers: ("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "x-more: abcdefg\r\n"),
    body_without_length: ("HTTP/1.1 200 OK\r\n\r\n", "abcdefgh"),
    bytes_after_an_answer: ("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok", "abcdefgh"),
}

//! Memory that each open connection takes.

use {
    jujubeline_node::data::LingeringCloses,
    tokio::net::{TcpListener, TcpStream},
    tokio_util::sync::CancellationToken,
};

/// Room for the state of a close: timers and references, no buffer.
const MAX_CLOSE_BYTES: usize = 1_024;

/// Guards against a buffer in the future of a close, for which each open connection keeps room from its start.
#[tokio::test]
async fn close_takes_little_room() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    let (closes, stop_ended) = (LingeringCloses::default(), CancellationToken::new());
    let bytes = size_of_val(&closes.close(&stream, &stop_ended));
    assert!(bytes <= MAX_CLOSE_BYTES, "{bytes} bytes");
}

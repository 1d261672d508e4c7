//! Checks that the relay injects the faults that the failure tests rely on.

use {
    jujubeline_standin::relay::{FaultRelay, Faults},
    std::time::Duration,
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::{TcpListener, TcpStream, UdpSocket},
        task::JoinHandle,
        time::timeout,
    },
};

/// Timeout for events that must happen.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

/// Time without data after which a connection counts as silent.
const SILENCE_WAIT: Duration = Duration::from_millis(100);

async fn echo_server() -> (std::net::SocketAddr, JoinHandle<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let task = tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut read, mut write) = stream.split();
                let _ = tokio::io::copy(&mut read, &mut write).await;
            });
        }
    });
    (address, task)
}

async fn echo(stream: &mut TcpStream) -> std::io::Result<[u8; 4]> {
    let mut answer = [0; 4];
    stream.write_all(b"ping").await?;
    stream.read_exact(&mut answer).await?;
    Ok(answer)
}

/// Guards against a `silence_open` that also silences new connections, or that closes the open ones.
#[tokio::test]
async fn silence_open_affects_open_connections_only() {
    let (address, server) = echo_server().await;
    let relay = FaultRelay::start(address).await.unwrap();
    let mut old = TcpStream::connect(relay.address()).await.unwrap();
    assert_eq!(
        &timeout(EVENT_TIMEOUT, echo(&mut old))
            .await
            .unwrap()
            .unwrap(),
        b"ping"
    );

    relay.set(Faults {
        silence_open: true,
        ..Faults::default()
    });
    assert!(timeout(SILENCE_WAIT, echo(&mut old)).await.is_err());
    let mut new = TcpStream::connect(relay.address()).await.unwrap();
    assert_eq!(
        &timeout(EVENT_TIMEOUT, echo(&mut new))
            .await
            .unwrap()
            .unwrap(),
        b"ping"
    );

    relay.stop().await;
    server.abort();
}

/// Guards against a `cut` that leaves open connections usable or forwards datagrams.
#[tokio::test]
async fn cut_closes_connections_and_drops_datagrams() {
    let (address, server) = echo_server().await;
    let relay = FaultRelay::start(address).await.unwrap();
    let mut open = TcpStream::connect(relay.address()).await.unwrap();
    assert!(
        timeout(EVENT_TIMEOUT, echo(&mut open))
            .await
            .unwrap()
            .is_ok()
    );

    relay.set(Faults {
        cut: true,
        ..Faults::default()
    });
    let ended = async { while echo(&mut open).await.is_ok() {} };
    timeout(EVENT_TIMEOUT, ended).await.unwrap();

    let upstream = UdpSocket::bind(address).await.unwrap();
    let sender = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    sender.send_to(b"lost", relay.address()).await.unwrap();
    let mut datagram = [0; 16];
    assert!(
        timeout(SILENCE_WAIT, upstream.recv_from(&mut datagram))
            .await
            .is_err()
    );

    relay.set(Faults::default());
    sender.send_to(b"kept", relay.address()).await.unwrap();
    let (count, _) = timeout(EVENT_TIMEOUT, upstream.recv_from(&mut datagram))
        .await
        .unwrap()
        .unwrap();
    assert_eq!(&datagram[..count], b"kept");
    relay.stop().await;
    server.abort();
}

/// Guards against a `cut_after_bytes` that lets more or fewer bytes of a response through.
#[tokio::test]
async fn cut_after_bytes_closes_connection_at_limit() {
    let (address, server) = echo_server().await;
    let relay = FaultRelay::start(address).await.unwrap();
    relay.set(Faults {
        cut_after_bytes: Some(2),
        ..Faults::default()
    });
    let mut stream = TcpStream::connect(relay.address()).await.unwrap();
    stream.write_all(b"ping").await.unwrap();
    let mut answer = Vec::new();
    // The relay may close the connection with a reset, so the result of the read is ignored.
    let _ = timeout(EVENT_TIMEOUT, stream.read_to_end(&mut answer))
        .await
        .unwrap();
    assert_eq!(answer, b"pi");
    relay.stop().await;
    server.abort();
}

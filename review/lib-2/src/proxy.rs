//! A proxy for TCP connections that can let its open connections go silent.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

/// A running proxy. Its threads end with the process.
#[derive(Debug, Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    /// Connections that were opened in an earlier generation pass nothing on.
    generation: Arc<AtomicU64>,
}

impl Proxy {
    pub fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let proxy = Self {
            address: listener.local_addr()?,
            generation: Arc::default(),
        };
        let generation = Arc::clone(&proxy.generation);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let Ok(other) = TcpStream::connect(to) else {
                    continue;
                };
                let own = generation.load(Ordering::SeqCst);
                let pairs = [
                    (stream.try_clone(), other.try_clone()),
                    (Ok(other), Ok(stream)),
                ];
                for pair in pairs {
                    let (Ok(from), Ok(to)) = pair else { continue };
                    let generation = Arc::clone(&generation);
                    thread::spawn(move || pass_on(from, to, own, &generation));
                }
            }
        });
        Ok(proxy)
    }

    /// From now on the open connections pass nothing on, without an end or a reset. New ones work.
    pub fn silence_open_connections(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }
}

fn pass_on(mut from: TcpStream, mut to: TcpStream, own: u64, generation: &AtomicU64) {
    let _ = (from.set_nodelay(true), to.set_nodelay(true));
    let mut bytes = [0; 16 * 1_024];
    loop {
        let read = from.read(&mut bytes);
        if generation.load(Ordering::SeqCst) != own {
            // Silent for good: both sockets stay open.
            loop {
                thread::sleep(Duration::from_secs(3_600));
            }
        }
        match read {
            Ok(count) if count > 0 => {
                if to.write_all(&bytes[..count]).is_err() {
                    return;
                }
            }
            _ => {
                let _ = to.shutdown(std::net::Shutdown::Write);
                return;
            }
        }
    }
}

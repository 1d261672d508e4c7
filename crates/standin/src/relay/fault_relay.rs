//! The relay: one listening port and one upstream address, both for TCP and UDP.

use {
    super::{Faults, tcp, udp},
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
    },
    tokio::{
        net::{TcpListener, UdpSocket},
        sync::watch,
        task::JoinSet,
    },
};

/// Attempts to find a port that is free for both TCP and UDP.
const BIND_ATTEMPTS: usize = 20;

/// Faults in force, with a sequence number that tells a connection whether they were set after it opened.
#[derive(Debug, Clone, Default)]
pub(super) struct Setting {
    pub(super) number: u64,
    pub(super) faults: Arc<Faults>,
}

/// Traffic counters of a relay.
#[derive(Debug, Default)]
pub(super) struct Counts {
    pub(super) connections: AtomicU64,
    pub(super) datagrams: AtomicU64,
    pub(super) dropped_datagrams: AtomicU64,
}

/// A relay between clients and one upstream address. Dropping it closes all connections.
#[derive(Debug)]
pub struct FaultRelay {
    address: SocketAddr,
    setting: watch::Sender<Setting>,
    counts: Arc<Counts>,
    tasks: JoinSet<()>,
}

impl FaultRelay {
    /// Listens on a free port and forwards to `upstream`. The port is the same for TCP and UDP.
    ///
    /// # Errors
    ///
    /// When no port is found that is free for both TCP and UDP.
    pub async fn start(upstream: SocketAddr) -> io::Result<Self> {
        let (listener, socket) = bind_both(upstream).await?;
        let address = listener.local_addr()?;
        let (setting, watched) = watch::channel(Setting::default());
        let counts = Arc::new(Counts::default());
        let mut tasks = JoinSet::new();
        tasks.spawn(tcp::serve(
            listener,
            upstream,
            watched.clone(),
            counts.clone(),
        ));
        tasks.spawn(udp::serve(socket, upstream, watched, counts.clone()));
        Ok(Self {
            address,
            setting,
            counts,
            tasks,
        })
    }

    /// Address on which the relay listens.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults in force.
    pub fn set(&self, faults: Faults) {
        self.setting.send_modify(|setting| {
            setting.number += 1;
            setting.faults = Arc::new(faults);
        });
    }

    /// Connections accepted so far.
    #[must_use]
    pub fn connections(&self) -> u64 {
        self.counts.connections.load(Ordering::Relaxed)
    }

    /// Datagrams forwarded so far.
    #[must_use]
    pub fn datagrams(&self) -> u64 {
        self.counts.datagrams.load(Ordering::Relaxed)
    }

    /// Closes the listener and all connections, and waits for the tasks.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

async fn bind_both(upstream: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let any = SocketAddr::new(upstream.ip(), 0);
    let mut last = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..BIND_ATTEMPTS {
        let listener = TcpListener::bind(any).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) => last = error,
        }
    }
    Err(last)
}

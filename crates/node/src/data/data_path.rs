//! Start and stop of the data path: wires entry node, gate and listeners together and owns their tasks.

use {
    super::{
        CrashWatch, EntryNode, Gate, Hops, LingeringCloses, Listener, ListenerContext, Peers,
        Routes, StopSignals, TargetAdmission, TargetPool, serve_entry_node,
    },
    crate::{
        Allowances, LocalTarget, Metrics, NodeSettings, Views,
        claims::Claims,
        decisions::DecisionLog,
        error::NodeResult,
        target_tracker::{NoticeCounts, TargetTracker},
    },
    jujubeline_coordination::{OwnTarget, membership::TargetState},
    jujubeline_core::Incarnation,
    jujubeline_overload::NodeLocation,
    std::{
        future::Future,
        net::SocketAddr,
        sync::{Arc, atomic::AtomicU64},
        time::{Duration, Instant},
    },
    tokio::{
        sync::{Notify, watch},
        time::timeout,
    },
    tokio_util::task::TaskTracker,
};

/// Shortest time in which open connections may end on their own before they are aborted. After the end of the grace time
/// it is part of the second that the daemon keeps until the kill; the rest is for notifying the other nodes of the stop.
const CLOSE_GRACE: Duration = Duration::from_millis(700);

/// Time before the end of a drain from which calls of the target are refused; at most half of the drain. A call that is
/// taken later may be cut off while a target runs it, whereas a refused one ends its exchange with an answer.
const CALL_RESERVE: Duration = Duration::from_millis(1_250);

/// The running data path of a node.
#[derive(Debug)]
pub struct DataPath {
    /// Serves callers and chooses the target of each attempt.
    pub entry: Arc<EntryNode>,
    /// Runs requests at the local target.
    pub gate: Arc<Gate>,
    /// Callers that left while bytes that they had sent were unread.
    pub callers_left: Arc<AtomicU64>,
    /// Connections that are being closed.
    pub closes: Arc<LingeringCloses>,
    signals: StopSignals,
    exchanges: TaskTracker,
    tasks: TaskTracker,
    callers_address: SocketAddr,
    data_address: SocketAddr,
}

/// What the nodes agree on with each other, as far as the node takes part.
#[derive(Debug, Clone, Default)]
pub struct Agreed {
    /// Claims of at-most-once work; without them such work is refused.
    pub claims: Option<Arc<Claims>>,
    /// Tokens of the workspaces' allowances; without them requests are not limited.
    pub allowances: Option<Arc<Allowances>>,
}

impl DataPath {
    /// Starts the tasks of the data path and serves on `callers` and `data`, which are already bound.
    ///
    /// # Errors
    ///
    /// When a socket has no local address.
    pub fn start(
        settings: &NodeSettings,
        incarnation: Incarnation,
        views: &Views,
        agreed: Agreed,
        metrics: Arc<Metrics>,
        callers: Listener,
        data: Listener,
    ) -> NodeResult<Self> {
        let (callers_address, data_address) = (callers.local_address()?, data.local_address()?);
        let callers_left = callers.callers_left();
        let signals = StopSignals::default();
        let (tasks, exchanges) = (TaskTracker::new(), TaskTracker::new());
        let location = NodeLocation {
            node: settings.node.clone(),
            data_centre: settings.data_centre.clone(),
            region: settings.region.clone(),
        };
        let routes = Arc::new(Routes::new(
            location,
            settings.retry_limits,
            settings.crossing_cost,
        ));
        let local = views.local_target.subscribe();
        let target = local.borrow().clone();
        let hops = Hops::new();
        let decisions = Arc::new(DecisionLog::new(
            settings.decision_lines_per_s,
            Instant::now(),
        ));
        let admission = TargetAdmission::new(target.connections, Instant::now());
        let crashes = CrashWatch::new(
            settings.node.clone(),
            incarnation,
            Arc::clone(&views.local_target),
        );
        let tracker = Arc::new(TargetTracker {
            node: settings.node.clone(),
            own: settings.target_address.map(|address| OwnTarget {
                service: settings.service.clone(),
                address,
            }),
            target: Arc::clone(&views.local_target),
            withheld: signals.target_withheld.clone(),
            crashes: Arc::clone(&crashes),
            admission: Arc::clone(&admission),
            record: parking_lot::Mutex::default(),
            unconfirmed: Notify::new(),
            counts: NoticeCounts::default(),
        });
        let gate = Arc::new(Gate {
            stall_probes: parking_lot::Mutex::default(),
            pool: Arc::new(TargetPool::new(
                target.address,
                target.connections,
                tasks.clone(),
            )),
            hops: Arc::clone(&hops),
            admission,
            crashes,
            tracker,
            target: local,
            routes: Arc::clone(&routes),
            service: settings.service.clone(),
            claims: agreed.claims.clone(),
            dialect: Arc::clone(&settings.dialect),
            decisions: Arc::clone(&decisions),
            metrics: Arc::clone(&metrics),
            exchanges: exchanges.clone(),
            tasks: tasks.clone(),
        });
        gate.follow(&target);
        let peers = Arc::new(Peers::new(tasks.clone(), signals.close.clone()));
        routes.refresh(&mut views.clone(), &peers);
        let entry = Arc::new(EntryNode {
            routes,
            peers,
            gate: Arc::clone(&gate),
            hops,
            claims: agreed.claims,
            allowances: agreed.allowances,
            reports: parking_lot::Mutex::default(),
            data_centre: settings.data_centre.clone(),
            dialect: Arc::clone(&settings.dialect),
            decisions: Arc::clone(&decisions),
            own_service: settings.service.clone(),
            metrics,
            exchanges: exchanges.clone(),
            not_ready: signals.not_ready.clone(),
            target_withheld: signals.target_withheld.clone(),
            drain: signals.drain.clone(),
            calls_refused: signals.calls_refused.clone(),
        });
        let path = Self {
            entry,
            gate,
            callers_left,
            closes: Arc::default(),
            signals,
            exchanges,
            tasks,
            callers_address,
            data_address,
        };
        path.spawn_followers(views);
        path.spawn_listeners(callers, data);
        Ok(path)
    }

    fn spawn_followers(&self, views: &Views) {
        let (routes, peers) = (&self.entry.routes, &self.entry.peers);
        let (routes, peers, views) = (Arc::clone(routes), Arc::clone(peers), views.clone());
        self.spawn_until_close(async move { routes.follow(views, peers).await });
        let gate = Arc::clone(&self.gate);
        self.spawn_until_close(async move { follow_target(&gate).await });
        let admission = Arc::clone(&self.gate.admission);
        self.spawn_until_close(async move { admission.run_queue_timer().await });
        let pool = Arc::clone(&self.gate.pool);
        self.spawn_until_close(async move { pool.evict_idle().await });
        let crashes = Arc::clone(&self.gate.crashes);
        self.spawn_until_close(async move { crashes.probe_crashed_target().await });
    }

    fn spawn_listeners(&self, callers: Listener, data: Listener) {
        let entry = Arc::clone(&self.entry);
        self.tasks.spawn(callers.run(
            move |_, request| Arc::clone(&entry).serve(request),
            self.listener_context(),
        ));
        let gate = Arc::clone(&self.gate);
        self.tasks.spawn(data.run(
            move |_, request| serve_entry_node(Arc::clone(&gate), request),
            self.listener_context(),
        ));
    }

    /// Runs a task until it ends or [`Self::close`] cancels it.
    pub fn spawn_until_close(&self, work: impl Future<Output = ()> + Send + 'static) {
        let close = self.signals.close.clone();
        self.tasks.spawn(async move {
            close.run_until_cancelled(work).await;
        });
    }

    /// Bound address on which callers are served.
    #[must_use]
    pub const fn callers_address(&self) -> SocketAddr {
        self.callers_address
    }

    /// Bound address on which other nodes send requests to the gate.
    #[must_use]
    pub const fn data_address(&self) -> SocketAddr {
        self.data_address
    }

    /// What further listeners of the node share with those of the data path.
    #[must_use]
    pub fn listener_context(&self) -> ListenerContext {
        ListenerContext {
            signals: self.signals.clone(),
            tasks: self.tasks.clone(),
            closes: Arc::clone(&self.closes),
        }
    }

    /// Tracker of the tasks that [`Self::close`] waits for.
    #[must_use]
    pub const fn tasks(&self) -> &TaskTracker {
        &self.tasks
    }

    /// Reports the node as not ready and asks callers to close their connections. Requests are still served.
    pub fn set_not_ready(&self) {
        self.signals.not_ready.cancel();
    }

    /// Treats each further announcement of the target as draining, so that it gets no new work through this node.
    pub fn withhold_target(&self) {
        self.signals.target_withheld.cancel();
    }

    /// Refuses new exchanges and waits for those in flight. Returns whether all of them ended within `grace`.
    pub async fn drain(&self, grace: Duration) -> bool {
        self.signals.drain.cancel();
        self.exchanges.close();
        let call_reserve = CALL_RESERVE.min(grace / 2);
        let calls_end = grace.saturating_sub(call_reserve);
        if timeout(calls_end, self.exchanges.wait()).await.is_ok() {
            return true;
        }
        self.signals.calls_refused.cancel();
        timeout(call_reserve, self.exchanges.wait()).await.is_ok()
    }

    /// Closes all connections and waits for all tasks. An exchange has ended when its answer is handed to the HTTP server,
    /// which may hold a part of it until the caller reads, so connections have what is left of the grace time to end.
    /// Exchanges that outlasted the grace time may still complete while the connections close.
    pub async fn close(&self, grace_left: Duration) {
        self.signals.close.cancel();
        self.gate.pool.close();
        self.tasks.close();
        self.gate.decisions.stop();
        if timeout(grace_left.max(CLOSE_GRACE), self.tasks.wait())
            .await
            .is_err()
        {
            self.signals.cut.cancel();
            self.tasks.wait().await;
        }
    }
}

impl Gate {
    /// Applies address, connections, slots and draining state of the local target to pool and admission. A target that
    /// is gone changes nothing.
    fn follow(&self, target: &LocalTarget) {
        if target.state == TargetState::Gone {
            return;
        }
        self.pool.retarget(target.address, target.connections);
        let is_draining = target.state == TargetState::Draining;
        self.admission.apply_announcement(
            target.slots,
            self.dialect.slots_are_exact,
            target.connections,
            is_draining,
        );
    }
}

async fn follow_target(gate: &Gate) {
    let mut target: watch::Receiver<LocalTarget> = gate.target.clone();
    loop {
        let current = target.borrow_and_update().clone();
        gate.follow(&current);
        if target.changed().await.is_err() {
            return;
        }
    }
}

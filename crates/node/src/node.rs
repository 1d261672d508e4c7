//! Start and graceful stop of a node, and the data path values that its metrics read.

use {
    crate::{
        CatalogueSource, Metrics, NodeSettings, Views,
        claims::{Claims, ClaimsSettings},
        claims_link::{claim_calls, serve_claims},
        control::Control,
        crash_exchange::exchange_crashes,
        data::{Agreed, DataPath, Listener, ListenerKind},
        error::{NodeError, NodeResult},
        metrics::{Exporter, ObservedValues},
        ops::OperatorsServer,
    },
    error_stack::ResultExt,
    jujubeline_coordination::{
        claims::{GateId, RegisteredGate},
        membership::TargetState,
    },
    jujubeline_core::{Class, Incarnation},
    std::{
        net::SocketAddr,
        sync::{Arc, atomic::Ordering},
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    tokio::time::sleep,
};

/// Share of the leave notice during which the node still forwards new work to its target. The target keeps running, and
/// when the nodes beside all targets of a service stop in turn, a second apart, the service would otherwise have no
/// target left. The rest of the notice is for informing the other nodes, and keeps the requests accepted last far
/// from the end of the grace time.
const FORWARDING_SHARE: f64 = 0.6;

/// Shortest time for which a stopping node waits until the other nodes have the claim records that they need. A takeover
/// takes about a second.
const MIN_LEAVE_TIME: Duration = Duration::from_secs(2);

/// Longest such time, which also ends the wait while the platform is away.
const MAX_LEAVE_TIME: Duration = Duration::from_secs(10);

/// A running node. [`Node::stop`] must be called to end it.
#[derive(Debug)]
pub struct Node {
    settings: NodeSettings,
    views: Views,
    control: Option<Control>,
    claims: Option<Arc<Claims>>,
    data: DataPath,
    exporter: Arc<Exporter>,
    operators_address: SocketAddr,
}

/// Listening sockets of a node, opened before anything else so that their ports are known.
#[derive(Debug)]
pub struct Sockets {
    /// Requests from callers.
    pub callers: Listener,
    /// Requests from other nodes, HTTP/2 only.
    pub data: Listener,
    /// Requests of operators and announcements of the local target.
    pub operators: Listener,
    /// Readiness checks of the deployment, if the settings give them an address of their own.
    pub ready: Option<Listener>,
}

impl Sockets {
    /// Opens the sockets that the settings name.
    ///
    /// # Errors
    ///
    /// When an address cannot be used.
    pub async fn bind(settings: &NodeSettings) -> NodeResult<Self> {
        Ok(Self {
            callers: Listener::bind(settings.callers_address, ListenerKind::Any).await?,
            data: Listener::bind(settings.data_address, ListenerKind::Http2).await?,
            operators: Listener::bind(settings.operators_address, ListenerKind::Any).await?,
            ready: match settings.ready_address {
                Some(address) => Some(Listener::bind(address, ListenerKind::Any).await?),
                None => None,
            },
        })
    }
}

impl Node {
    /// Starts a node with its control plane.
    ///
    /// # Errors
    ///
    /// When an address cannot be used or the control plane does not start.
    pub async fn start(mut settings: NodeSettings) -> NodeResult<Self> {
        let sockets = Sockets::bind(&settings).await?;
        // The control plane advertises this address, so it has to contain the port that the system chose.
        settings.data_address = sockets.data.local_address()?;
        let control = Control::start(&settings, SystemTime::now())
            .await
            .change_context(NodeError::Start)?;
        let claims = start_claims(&settings, &control);
        let calls = control
            .take_claim_calls()
            .change_context(NodeError::Start)?;
        let agreed = Agreed {
            claims: claims.clone(),
            allowances: Some(control.allowances()),
        };
        let mut node = Self::start_with(settings, control.views(), agreed, sockets)?;
        let tasks = node.data.tasks().clone();
        if let Some(claims) = claims {
            node.data
                .spawn_until_close(serve_claims(calls, claims, tasks));
        }
        let crashes = Arc::clone(&node.data.gate.crashes);
        node.data
            .spawn_until_close(exchange_crashes(crashes, control.membership()));
        node.exporter.observe_control(&control);
        node.control = Some(control);
        log::info!(
            "node {} started: callers {}, data {}, operators {}",
            node.settings.node,
            node.callers_address(),
            node.data_address(),
            node.operators_address
        );
        Ok(node)
    }

    /// Starts a node without a control plane on bound sockets; the caller updates the views. Without
    /// allowances the requests of workspaces are not limited.
    ///
    /// # Errors
    ///
    /// When a socket has no address or the metrics cannot be exported.
    pub fn start_with(
        settings: NodeSettings,
        views: Views,
        agreed: Agreed,
        sockets: Sockets,
    ) -> NodeResult<Self> {
        let exporter = Arc::new(Exporter::new()?);
        let incarnation = incarnation(&settings, &views);
        let data = DataPath::start(
            &settings,
            incarnation,
            &views,
            agreed.clone(),
            exporter.metrics(),
            sockets.callers,
            sockets.data,
        )?;
        exporter.observe(&views, observed_values(&data));
        exporter.observe_target(&data.gate.tracker);
        exporter.observe_closes(&data.closes);
        exporter.observe_leaving(&data.entry.routes);
        let operators_address = sockets.operators.local_address()?;
        let operators = Arc::new(OperatorsServer::new(
            settings.clone(),
            incarnation,
            views.clone(),
            Arc::clone(&data.entry),
            Arc::clone(&exporter),
        ));
        data.spawn_until_close(Arc::clone(&operators).identify_target());
        for listener in [Some(sockets.operators), sockets.ready]
            .into_iter()
            .flatten()
        {
            let operators = Arc::clone(&operators);
            data.tasks().spawn(listener.run(
                move |_, request| Arc::clone(&operators).serve(request),
                data.listener_context(),
            ));
        }
        Ok(Self {
            settings,
            views,
            control: None,
            claims: agreed.claims,
            data,
            exporter,
            operators_address,
        })
    }

    /// Bound address for requests from callers.
    #[must_use]
    pub const fn callers_address(&self) -> SocketAddr {
        self.data.callers_address()
    }

    /// Bound address for requests from other nodes.
    #[must_use]
    pub const fn data_address(&self) -> SocketAddr {
        self.data.data_address()
    }

    /// Bound address for operators and for the target's announcements.
    #[must_use]
    pub const fn operators_address(&self) -> SocketAddr {
        self.operators_address
    }

    /// The control plane; none if the node was started with [`Self::start_with`].
    #[must_use]
    pub const fn control(&self) -> Option<&Control> {
        self.control.as_ref()
    }

    /// Counters and latency histograms of the data path.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.data.entry.metrics
    }

    /// Stops the node without cutting off requests in flight, unless they outlast the grace time.
    ///
    /// # Errors
    ///
    /// When exchanges outlasted the grace time; they were cut off and their callers saw a connection that ended early.
    pub async fn stop(self) -> NodeResult<()> {
        log::info!("node {} drains", self.settings.node);
        let started = Instant::now();
        self.data.set_not_ready();
        let forwarding_time = self.settings.leave_notice.mul_f64(FORWARDING_SHARE);
        sleep(forwarding_time).await;
        self.data.withhold_target();
        self.set_target_state(TargetState::Draining);
        sleep(self.settings.leave_notice.saturating_sub(forwarding_time)).await;
        let grace = self
            .settings
            .stop_grace
            .saturating_sub(self.settings.leave_notice);
        let drained = self.data.drain(grace).await;
        self.set_target_state(TargetState::Gone);
        if let Some(claims) = &self.claims {
            let left = self.settings.stop_grace.saturating_sub(started.elapsed());
            claims
                .leave(left.clamp(MIN_LEAVE_TIME, MAX_LEAVE_TIME))
                .await;
        }
        let grace_left = self.settings.stop_grace.saturating_sub(started.elapsed());
        self.data.close(grace_left).await;
        drop(self.data);
        // The claims stop before the control plane, because it carries their last reports to shard owners.
        if let Some(claims) = self.claims.and_then(Arc::into_inner) {
            claims.stop().await;
        }
        if let Some(control) = self.control {
            control.stop().await;
        }
        if drained {
            log::info!("node {} stopped", self.settings.node);
            return Ok(());
        }
        Err(crate::error::report(
            NodeError::Stop,
            jujubeline_core::Step::Stop,
            jujubeline_core::Peer::Local,
            format!(
                "requests in flight outlasted the grace time of {} ms",
                self.settings.stop_grace.as_millis()
            ),
        ))
    }

    fn set_target_state(&self, state: TargetState) {
        self.views
            .local_target
            .send_modify(|target| target.state = state);
    }
}

/// Starts the claims of a node. Without a platform there is no shard table to agree on owners, so there are no claims
/// and keyed at-most-once work is refused. Entries of a configuration have no keys, so they need no claims; a shard table
/// would then cost one conditional write for each node and takeover.
fn start_claims(settings: &NodeSettings, control: &Control) -> Option<Arc<Claims>> {
    if settings.catalogue_source == CatalogueSource::Configuration {
        return None;
    }
    let own_gate = RegisteredGate {
        gate: GateId {
            node: settings.node.clone(),
            incarnation: incarnation(settings, &control.views()),
        },
        control_address: control.control_address(),
        data_centre: settings.data_centre.clone(),
    };
    let service = settings.service.clone();
    let calls = claim_calls(control, &service, &settings.data_centre);
    let claims = Claims::start(
        ClaimsSettings { own_gate, service },
        calls,
        control.platform()?,
    );
    Some(Arc::new(claims))
}

/// Incarnation from the member list of the control plane; without a control plane, the current time in microseconds
/// since the Unix epoch.
fn incarnation(settings: &NodeSettings, views: &Views) -> Incarnation {
    let members = Arc::clone(&views.members.borrow());
    let own = members.iter().find(|member| member.node == settings.node);
    own.map_or_else(
        || {
            let since = SystemTime::now().duration_since(UNIX_EPOCH);
            since.map_or(0, |since| {
                Incarnation::try_from(since.as_micros()).unwrap_or(Incarnation::MAX)
            })
        },
        |member| member.incarnation,
    )
}

/// Values of the data path that are read when the metrics are exported.
fn observed_values(data: &DataPath) -> ObservedValues {
    let (admission, crashes) = (&data.gate.admission, &data.gate.crashes);
    let (limit, rate, running, waiting, level, started, queue) = (
        Arc::clone(admission),
        Arc::clone(admission),
        Arc::clone(admission),
        Arc::clone(admission),
        Arc::clone(admission),
        Arc::clone(admission),
        Arc::clone(admission),
    );
    let (crash_count, suspects, quarantined, untracked) = (
        Arc::clone(crashes),
        Arc::clone(crashes),
        Arc::clone(crashes),
        Arc::clone(crashes),
    );
    let (hops, callers_left) = (Arc::clone(&data.gate.hops), Arc::clone(&data.callers_left));
    ObservedValues {
        by_class: vec![
            (
                "jujubeline_gate_started",
                "Requests that were given a slot of the local target.",
                Arc::new(move |class: Class| {
                    i64::try_from(started.started(class)).unwrap_or(i64::MAX)
                }),
            ),
            (
                "jujubeline_queue_length",
                "Requests that wait for the local target, by class.",
                Arc::new(move |class: Class| {
                    i64::try_from(queue.waiting_of(class)).unwrap_or(i64::MAX)
                }),
            ),
        ],
        gauges: vec![
            (
                "jujubeline_concurrency_limit",
                "Requests that may run at the local target.",
                Arc::new(move || u64::from(limit.limit())),
            ),
            (
                "jujubeline_target_rate_limit_mhz",
                "Limit that the local target states, in thousandths of a request per second; 0 without one.",
                Arc::new(move || thousandths(rate.rate_limit())),
            ),
            (
                "jujubeline_gate_running",
                "Requests that run at the local target.",
                Arc::new(move || u64::from(running.in_flight())),
            ),
            (
                "jujubeline_gate_waiting",
                "Requests that wait for the local target.",
                Arc::new(move || waiting.waiting() as u64),
            ),
            (
                "jujubeline_admission_level",
                "Admission level of the gate: 512 admits everything.",
                Arc::new(move || u64::from(level.level().keys())),
            ),
            (
                "jujubeline_quarantine_entries",
                "Requests under suspicion or in quarantine.",
                Arc::new(move || suspects.suspects() as u64),
            ),
            (
                "jujubeline_quarantined_requests",
                "Requests in quarantine.",
                Arc::new(move || quarantined.quarantined() as u64),
            ),
        ],
        counters: vec![
            (
                "jujubeline_target_crashes",
                "Crashes of the local target that this process saw.",
                Arc::new(move || crash_count.crashes()),
            ),
            (
                "jujubeline_quarantine_refused",
                "Entries that the quarantine did not record because a table was full.",
                Arc::new(move || untracked.refused()),
            ),
            (
                "jujubeline_ledger_refused",
                "Exchanges whose calls have no retry allowance because the ledger was full.",
                Arc::new(move || hops.refused()),
            ),
            (
                "jujubeline_callers_left_ahead",
                "Callers that left while bytes that they had sent were unread; their requests are aborted.",
                Arc::new(move || callers_left.load(Ordering::Relaxed)),
            ),
        ],
    }
}

/// Rate in thousandths, at least 1 so that 0 stands for no limit.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
fn thousandths(per_s: Option<f64>) -> u64 {
    per_s.map_or(0, |per_s| ((per_s * 1_000.0) as u64).max(1))
}

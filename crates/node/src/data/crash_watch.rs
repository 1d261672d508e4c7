//! Detects crashes of the local target and quarantines the requests that may have caused them.

use {
    crate::LocalTarget,
    jujubeline_coordination::membership::TargetState,
    jujubeline_core::{Fingerprint, Incarnation, NodeId},
    jujubeline_overload::{
        CrashId, Life, Loss, LostExchanges, Quarantine, QuarantineReport, SuspectDecision,
    },
    parking_lot::Mutex,
    std::{
        collections::BTreeSet,
        net::SocketAddr,
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::{
        net::TcpStream,
        sync::{Notify, Semaphore, SemaphorePermit, watch},
        time::{sleep, timeout, timeout_at},
    },
};

/// Timeout of a connection probe. A target that does not accept within it counts as down.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval between probes of a target that crashed.
const RETURN_PROBE_PAUSE: Duration = Duration::from_millis(200);
/// Most recent own crashes that are recognised when other nodes report them back.
const MAX_OWN_CRASHES: u64 = 16;

/// Crash detection for the local target, with the quarantine of requests suspected of causing crashes.
#[derive(Debug)]
pub struct CrashWatch {
    node: NodeId,
    incarnation: Incarnation,
    target: Arc<watch::Sender<LocalTarget>>,
    state: Mutex<State>,
    suspect_ended: Notify,
    /// Notified when there are reports for other nodes.
    has_reports: Notify,
    /// One permit, because suspects run one at a time.
    suspect_turn: Semaphore,
}

#[derive(Debug, Default)]
struct State {
    quarantine: Quarantine,
    lost: LostExchanges,
    crashes: u64,
    /// Number of the last crash in the reports.
    last_number: u64,
    /// Number under which lost connections of the present process were reported while its port still accepts.
    reported_number: Option<u64>,
    is_down: bool,
    /// Whether the target was draining when it was found to be down.
    was_draining: bool,
}

impl State {
    /// Number for a crash of the present process. All of its lost connections count as one crash.
    fn crash_number(&mut self) -> u64 {
        self.reported_number.take().unwrap_or_else(|| {
            self.last_number += 1;
            self.last_number
        })
    }
}

/// Why a request may not run at the target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectRefusal {
    /// It is quarantined for this remaining time.
    Quarantined(Duration),
    /// Its deadline passed while it waited for another suspect to end.
    Deadline,
}

/// A request in flight at the target. Dropping it without [`Self::complete`] or [`Self::not_run`] counts as an end
/// without a response.
#[derive(Debug)]
pub struct RunningRequest {
    watch: Arc<CrashWatch>,
    fingerprint: Fingerprint,
    life: Life,
    begun: Instant,
    end: RequestEnd,
}

/// How a request at the target ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestEnd {
    Completed,
    NotRun,
    Lost(Loss),
}

impl CrashWatch {
    /// Crash detection for the target of `node`. A crash sets the state in `target` to gone.
    #[must_use]
    pub fn new(
        node: NodeId,
        incarnation: Incarnation,
        target: Arc<watch::Sender<LocalTarget>>,
    ) -> Arc<Self> {
        Arc::new(Self {
            node,
            incarnation,
            target,
            state: Mutex::default(),
            suspect_ended: Notify::new(),
            has_reports: Notify::new(),
            suspect_turn: Semaphore::new(1),
        })
    }

    /// Refuses quarantined requests and serialises suspects. A suspect waits here, before admission, so that it
    /// occupies no slot, and gets a permit to hold until it begins to run. Other requests pass without waiting.
    ///
    /// # Errors
    ///
    /// Why the request may not run.
    pub async fn wait_for_suspect_turn(
        &self,
        fingerprint: Fingerprint,
        deadline: Instant,
    ) -> Result<Option<SemaphorePermit<'_>>, SuspectRefusal> {
        {
            let state = self.state.lock();
            if state.quarantine.is_empty() {
                return Ok(None);
            }
            let now = Instant::now();
            if let Some(left) = state.quarantine.remaining_quarantine(fingerprint, now) {
                return Err(SuspectRefusal::Quarantined(left));
            }
            if !state.quarantine.is_suspect(fingerprint, now) {
                return Ok(None);
            }
        }
        match timeout_at(deadline.into(), self.suspect_turn.acquire()).await {
            Ok(permit) => Ok(permit.ok()),
            Err(_) => Err(SuspectRefusal::Deadline),
        }
    }

    /// Registers a request as in flight, after a wait for the suspects in flight if necessary.
    ///
    /// # Errors
    ///
    /// Why the request may not run.
    pub async fn begin(
        self: &Arc<Self>,
        fingerprint: Fingerprint,
        deadline: Instant,
    ) -> Result<RunningRequest, SuspectRefusal> {
        loop {
            let ended = self.suspect_ended.notified();
            let now = Instant::now();
            let (decision, life) = {
                let mut state = self.state.lock();
                let decision = state.quarantine.begin(fingerprint, &self.node, now);
                (decision, state.lost.life())
            };
            match decision {
                SuspectDecision::Run => {
                    return Ok(RunningRequest {
                        watch: Arc::clone(self),
                        fingerprint,
                        life,
                        begun: now,
                        end: RequestEnd::Lost(Loss::Unfinished),
                    });
                }
                SuspectDecision::Refuse(left) => return Err(SuspectRefusal::Quarantined(left)),
                SuspectDecision::Wait => {
                    if timeout_at(deadline.into(), ended).await.is_err() {
                        return Err(SuspectRefusal::Deadline);
                    }
                }
            }
        }
    }

    /// Checks whether the loss of a connection during an exchange was a crash of the target, by a probe of `address`.
    /// Returns whether it was. Without an address, the loss counts as a crash.
    pub async fn connection_lost(
        &self,
        mut running: RunningRequest,
        address: Option<SocketAddr>,
    ) -> bool {
        running.end = RequestEnd::Lost(Loss::Connection);
        // Recorded before the probe: another exchange may detect the crash meanwhile.
        drop(running);
        if let Some(address) = address
            && accepts(address).await
        {
            return false;
        }
        self.crashed();
        true
    }

    fn crashed(&self) {
        {
            let mut state = self.state.lock();
            if state.is_down {
                return;
            }
            state.is_down = true;
            let lost = state.lost.end_by_crash(Instant::now());
            self.record_crash(&mut state, &lost);
        }
        self.suspect_ended.notify_waiters();
        let mut was_draining = false;
        self.target.send_if_modified(|target| {
            was_draining = target.state == TargetState::Draining;
            let changed = target.state != TargetState::Gone;
            target.state = TargetState::Gone;
            changed
        });
        self.state.lock().was_draining = was_draining;
    }

    fn record_crash(&self, state: &mut State, lost: &[Fingerprint]) {
        state.crashes += 1;
        let crash = self.crash_id(state.crash_number());
        log::warn!(
            "the target of node {} crashed with {} requests in flight and {} lost before",
            self.node,
            state.quarantine.in_flight_at(&self.node),
            lost.len()
        );
        state.quarantine.record_crash(crash, lost, Instant::now());
        self.has_reports.notify_one();
    }

    fn crash_id(&self, number: u64) -> CrashId {
        CrashId {
            node: self.node.clone(),
            incarnation: self.incarnation,
            number,
        }
    }

    /// Handles an announcement of the target. With a new incarnation, exchanges that were lost before are attributed to
    /// a crash of the former one, unless that crash was already detected or the former one was `draining`. An
    /// announcement of the former incarnation may be delayed and says nothing about a crash.
    pub fn on_announcement(&self, is_new_incarnation: bool, was_draining: bool) {
        let mut state = self.state.lock();
        state.is_down = false;
        if !is_new_incarnation {
            return;
        }
        let is_present = state.lost.is_unannounced() && !was_draining;
        let lost = if was_draining {
            state.lost.end_by_exit();
            Vec::new()
        } else {
            state.lost.end_by_new_process(Instant::now())
        };
        if !lost.is_empty() {
            self.record_crash(&mut state, &lost);
        } else if !is_present {
            state.reported_number = None;
        }
    }

    /// Checks lost connections after which the process has given no sign of life. If the port refuses by now, the target
    /// has crashed: it may have accepted for a moment after the connections were lost. Otherwise they are reported as a
    /// crash of a process whose port still accepts.
    async fn check_unanswered_losses(&self) {
        {
            let state = self.state.lock();
            if state.is_down || !state.lost.is_confirmation_due(Instant::now()) {
                return;
            }
        }
        let address = self.target.borrow().address;
        if let Some(address) = address
            && !accepts(address).await
        {
            self.crashed();
            return;
        }
        self.report_unanswered_losses();
    }

    fn report_unanswered_losses(&self) {
        let mut state = self.state.lock();
        let now = Instant::now();
        let lost = state.lost.confirm(now);
        if lost.is_empty() {
            return;
        }
        let number = state.crash_number();
        state.reported_number = Some(number);
        let crash = self.crash_id(number);
        state.quarantine.record_suspects(crash, lost, now);
        self.has_reports.notify_one();
    }

    /// Probes a crashed target until it accepts connections, and then sets its state to cold, or to draining if it was.
    /// Also checks lost connections and expires the quarantine. Runs until it is cancelled. A target that announces
    /// itself is used again without a probe.
    pub async fn probe_crashed_target(&self) {
        let mut quarantined = BTreeSet::new();
        loop {
            sleep(RETURN_PROBE_PAUSE).await;
            self.state.lock().quarantine.expire(Instant::now());
            self.check_unanswered_losses().await;
            self.log_quarantine_changes(&mut quarantined);
            if !self.state.lock().is_down {
                continue;
            }
            let address = self.target.borrow().address;
            let Some(address) = address else { continue };
            if !accepts(address).await {
                continue;
            }
            let was_draining = {
                let mut state = self.state.lock();
                state.is_down = false;
                state.was_draining
            };
            log::info!("the target of node {} accepts connections again", self.node);
            self.target.send_if_modified(|target| {
                let returned = target.state == TargetState::Gone;
                if returned {
                    // A draining target that refused connections for a moment is still draining.
                    target.state = if was_draining {
                        TargetState::Draining
                    } else {
                        TargetState::Cold
                    };
                }
                returned
            });
        }
    }

    fn log_quarantine_changes(&self, former: &mut BTreeSet<Fingerprint>) {
        let current = self.state.lock().quarantine.quarantined(Instant::now());
        for fingerprint in current.difference(former) {
            log::warn!(
                "request {fingerprint:016x} is quarantined at node {}",
                self.node
            );
        }
        for fingerprint in former.difference(&current) {
            log::info!(
                "request {fingerprint:016x} is no longer quarantined at node {}",
                self.node
            );
        }
        *former = current;
    }

    /// Merges reports of other nodes into the quarantine.
    pub fn merge(&self, reports: &[QuarantineReport]) {
        let mut state = self.state.lock();
        for report in reports {
            state.quarantine.merge(report, Instant::now());
        }
        self.announce_reports(&state);
    }

    fn announce_reports(&self, state: &State) {
        if state.quarantine.has_reports() {
            self.has_reports.notify_one();
        }
    }

    /// Waits until there are reports for other nodes, and takes them.
    pub async fn next_reports(&self) -> Vec<QuarantineReport> {
        loop {
            let reports = self.state.lock().quarantine.take_reports();
            if !reports.is_empty() {
                return reports;
            }
            self.has_reports.notified().await;
        }
    }

    /// The one of the most recent crashes of the local target for which `is_wanted` holds.
    #[must_use]
    pub fn find_own_crash(&self, is_wanted: impl Fn(&CrashId) -> bool) -> Option<CrashId> {
        let last = self.state.lock().last_number;
        let first = last.saturating_sub(MAX_OWN_CRASHES - 1).max(1);
        (first..=last)
            .map(|number| self.crash_id(number))
            .find(is_wanted)
    }

    /// Crashes of the target since the start of this process.
    #[must_use]
    pub fn crashes(&self) -> u64 {
        self.state.lock().crashes
    }

    /// Remaining quarantine time of a request; none if it is not quarantined.
    #[must_use]
    pub fn remaining_quarantine(&self, fingerprint: Fingerprint, now: Instant) -> Option<Duration> {
        let state = self.state.lock();
        state.quarantine.remaining_quarantine(fingerprint, now)
    }

    /// Number of quarantined requests.
    #[must_use]
    pub fn quarantined(&self) -> usize {
        let state = self.state.lock();
        state.quarantine.quarantined(Instant::now()).len()
    }

    /// Number of requests that are suspected or quarantined.
    #[must_use]
    pub fn suspects(&self) -> usize {
        self.state.lock().quarantine.len()
    }

    /// Quarantine entries that were not recorded because a table was full.
    #[must_use]
    pub fn refused(&self) -> u64 {
        let state = self.state.lock();
        state.quarantine.refused() + state.lost.dropped()
    }
}

async fn accepts(address: SocketAddr) -> bool {
    matches!(
        timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await,
        Ok(Ok(_))
    )
}

impl RunningRequest {
    /// The response was read to its end, on a connection that was opened at `opened`, so the request did not crash the
    /// target.
    pub fn complete(mut self, opened: Option<Instant>) {
        self.end = RequestEnd::Completed;
        if let Some(opened) = opened {
            let mut state = self.watch.state.lock();
            state.lost.record_response(opened, self.begun);
        }
    }

    /// The target has not run the request.
    pub fn not_run(mut self) {
        self.end = RequestEnd::NotRun;
    }
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let watch = &self.watch;
        let now = Instant::now();
        {
            let mut state = watch.state.lock();
            let completed = self.end == RequestEnd::Completed;
            (state.quarantine).end(self.fingerprint, &watch.node, completed, now);
            if let RequestEnd::Lost(loss) = self.end {
                state.lost.record(self.fingerprint, self.life, loss, now);
            }
            watch.announce_reports(&state);
        }
        watch.suspect_ended.notify_waiters();
    }
}

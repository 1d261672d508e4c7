//! Inbound exchanges in flight at the local target, and the calls that the target makes on their behalf.

use {
    super::ExchangeContext,
    jujubeline_core::{Class, HopId, RootId, WorkspaceName, stable_hash},
    jujubeline_overload::{Level, RetryAllowance, RetryGrant, RetryLedger},
    parking_lot::Mutex,
    std::{
        collections::HashMap,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio_util::sync::CancellationToken,
};

/// State that a call inherits from the inbound exchange on whose behalf it is made.
#[derive(Debug, Clone)]
pub struct Hop {
    /// Id of the inbound exchange.
    pub id: HopId,
    /// Time by which the response of the inbound exchange must have arrived in full.
    pub deadline: Instant,
    /// Id of the root request.
    pub root: RootId,
    /// Class of the inbound exchange.
    pub class: Class,
    /// Workspace of the inbound exchange.
    pub workspace: Option<WorkspaceName>,
    /// Cancelled when the inbound exchange ends.
    pub ended: CancellationToken,
}

/// Inbound exchanges in flight at the local target. The admission limit of the gate bounds their number.
#[derive(Debug)]
pub struct Hops {
    next: AtomicU64,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    by_id: HashMap<HopId, OpenHop>,
    /// Exchanges by the hash of the attempt id that their caller assigned.
    by_attempt: HashMap<u64, HopId>,
    ledger: RetryLedger,
}

/// An inbound exchange and the calls made on its behalf.
#[derive(Debug)]
struct OpenHop {
    hop: Hop,
    open_calls: u32,
    /// Time since which at least one call is open.
    calls_since: Instant,
    /// Total time with at least one call open, without the current period.
    in_calls: Duration,
    /// Lowest admission level observed for the calls, translated to the class of the exchange.
    level: Level,
}

impl OpenHop {
    fn time_in_calls(&self, now: Instant) -> Duration {
        if self.open_calls == 0 {
            return self.in_calls;
        }
        self.in_calls + now.saturating_duration_since(self.calls_since)
    }
}

impl Hops {
    /// An empty table. Ids start at a random number, so that ids from before a restart match no exchange.
    #[must_use]
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            next: AtomicU64::new(rand::random()),
            state: Mutex::default(),
        })
    }

    /// Registers an inbound exchange and its retry allowance until the guard is dropped. `attempt` is the id that the
    /// caller assigned to the attempt.
    #[must_use]
    pub fn open(self: &Arc<Self>, context: &ExchangeContext, attempt: Option<&str>) -> HopGuard {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let attempt = attempt.map(|attempt| stable_hash(attempt.as_bytes()));
        let hop = Hop {
            id,
            deadline: context.deadline,
            root: context.root,
            class: context.class,
            workspace: context.workspace.clone(),
            ended: CancellationToken::new(),
        };
        let mut state = self.state.lock();
        state.by_id.insert(
            id,
            OpenHop {
                hop,
                open_calls: 0,
                calls_since: Instant::now(),
                in_calls: Duration::ZERO,
                level: Level::OPEN,
            },
        );
        state.ledger.open(id, RetryAllowance::new(context.retries));
        if let Some(attempt) = attempt {
            state.by_attempt.insert(attempt, id);
        }
        drop(state);
        HopGuard {
            hops: Arc::clone(self),
            id,
            attempt,
        }
    }

    /// The inbound exchange with this id, while it is in flight here.
    #[must_use]
    pub fn get(&self, id: HopId) -> Option<Hop> {
        Some(self.state.lock().by_id.get(&id)?.hop.clone())
    }

    /// The inbound exchange that runs the attempt with this id, while it is in flight here.
    #[must_use]
    pub fn find_by_attempt(&self, attempt: &str) -> Option<Hop> {
        let state = self.state.lock();
        let id = state.by_attempt.get(&stable_hash(attempt.as_bytes()))?;
        Some(state.by_id.get(id)?.hop.clone())
    }

    /// Registers a call on behalf of an exchange until the guard is dropped.
    #[must_use]
    pub fn begin_call(self: &Arc<Self>, id: HopId, now: Instant) -> CallGuard {
        if let Some(open) = self.state.lock().by_id.get_mut(&id) {
            if open.open_calls == 0 {
                open.calls_since = now;
            }
            open.open_calls += 1;
        }
        CallGuard {
            hops: Arc::clone(self),
            id,
        }
    }

    /// Records the level observed for a call of class `class` on behalf of an exchange.
    pub fn record_call_level(&self, id: HopId, level: Level, class: Class) {
        if let Some(open) = self.state.lock().by_id.get_mut(&id) {
            let level = level.translated(class, open.hop.class);
            open.level = open.level.min(level);
        }
    }

    /// Takes the part of an exchange's retry allowance that is sent with a call.
    pub fn grant(&self, id: HopId) -> RetryGrant {
        self.state.lock().ledger.grant(id)
    }

    /// Returns the unused retries of a call to the exchange's allowance; `returned` is none when the count is unknown.
    pub fn settle(&self, id: HopId, grant: RetryGrant, returned: Option<u32>) {
        self.state.lock().ledger.settle(id, grant, returned);
    }

    /// Calls `decide` with the retry allowance of an exchange. The allowance is empty when it was closed or the
    /// exchange has ended, and when the ledger was full.
    pub fn with_allowance<T>(&self, id: HopId, decide: impl FnOnce(&mut RetryAllowance) -> T) -> T {
        let mut state = self.state.lock();
        match state.ledger.allowance_mut(id) {
            Some(allowance) => decide(allowance),
            None => decide(&mut RetryAllowance::default()),
        }
    }

    /// Number of exchanges whose calls received no retry allowance because the ledger was full.
    #[must_use]
    pub fn refused(&self) -> u64 {
        self.state.lock().ledger.refused()
    }
}

/// Registration of an inbound exchange. Dropping it cancels the calls made on its behalf.
#[derive(Debug)]
pub struct HopGuard {
    hops: Arc<Hops>,
    id: HopId,
    attempt: Option<u64>,
}

impl HopGuard {
    /// Id of the exchange, sent to the target in a header.
    #[must_use]
    pub const fn id(&self) -> HopId {
        self.id
    }

    /// Closes the retry allowance and returns the retries left, for the header of the response. Later calls receive no
    /// retry allowance.
    #[must_use]
    pub fn close_allowance(&self) -> u32 {
        self.hops.state.lock().ledger.close(self.id)
    }

    /// Time in which the target waited for calls of its own. Overlapping calls count once.
    #[must_use]
    pub fn time_in_calls(&self, now: Instant) -> Duration {
        let state = self.hops.state.lock();
        let open = state.by_id.get(&self.id);
        open.map_or(Duration::ZERO, |open| open.time_in_calls(now))
    }

    /// Lowest admission level observed so far for the calls of the exchange, translated to its class.
    #[must_use]
    pub fn level_of_calls(&self) -> Level {
        let state = self.hops.state.lock();
        let open = state.by_id.get(&self.id);
        open.map_or(Level::OPEN, |open| open.level)
    }

    /// Uses one of the retries left in the exchange's allowance. Returns false when none is left.
    #[must_use]
    pub fn spend(&self) -> bool {
        self.hops.with_allowance(self.id, RetryAllowance::spend)
    }
}

impl Drop for HopGuard {
    fn drop(&mut self) {
        let removed = {
            let mut state = self.hops.state.lock();
            state.ledger.close(self.id);
            // The same attempt may have been registered again in the meantime.
            if let Some(attempt) = self.attempt
                && state.by_attempt.get(&attempt) == Some(&self.id)
            {
                state.by_attempt.remove(&attempt);
            }
            state.by_id.remove(&self.id)
        };
        if let Some(open) = removed {
            open.hop.ended.cancel();
        }
    }
}

/// Registration of a call on behalf of an inbound exchange, held until the response to the call has ended.
#[derive(Debug)]
pub struct CallGuard {
    hops: Arc<Hops>,
    id: HopId,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let mut state = self.hops.state.lock();
        let Some(open) = state.by_id.get_mut(&self.id) else {
            return;
        };
        open.in_calls = open.time_in_calls(Instant::now());
        open.calls_since = Instant::now();
        open.open_calls = open.open_calls.saturating_sub(1);
    }
}

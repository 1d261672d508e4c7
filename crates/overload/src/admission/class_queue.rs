//! Queue of the requests that wait for the local target.

use {
    crate::admission::{EntrySlot, FairShares, WorkspaceHash},
    jujubeline_core::{Class, RefusalReason},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Total queue length from which each class is limited to its reserved places, unless it displaces a lower class.
const MAX_WAITING: usize = 512;
/// Places reserved for each class. Without them, a queue full of critical requests would displace all other classes,
/// and the grants reserved for lower classes would find their queues empty.
const RESERVED: usize = 16;
/// Queue timeout by class, highest class first. Critical requests may wait for most of a usual deadline. The lower
/// classes, which are shed first, have shorter timeouts, so that their callers can use another target.
const QUEUE_TIMEOUT: [Duration; 4] = [
    Duration::from_secs(1),
    Duration::from_millis(500),
    Duration::from_millis(250),
    Duration::from_millis(100),
];
/// One grant in this many goes to the lower class that has waited longest for a grant.
const LOWER_CLASS_INTERVAL: u32 = 16;
/// Replaces [`LOWER_CLASS_INTERVAL`] while a critical request has waited for longer than [`CRITICAL_DELAY`], because no
/// capacity is spare then.
const LOWER_CLASS_INTERVAL_DELAYED: u32 = 48;
/// Wait of a critical request above which lower classes get fewer grants. Equals the target delay of `CoDel`.
const CRITICAL_DELAY: Duration = Duration::from_millis(5);
/// The target delay of a class is its queue timeout divided by this number.
const DELAY_DIVISOR: u32 = 10;
/// The delay of a class counts as persistent once it has exceeded the target delay for the queue timeout of the class
/// divided by this number. With the 5 ms and 100 ms of `CoDel` for all classes, critical requests were lost at 0.9 of
/// the capacity of a target with 15 slots.
const PERSISTENCE_DIVISOR: u32 = 2;

/// Shortest time between two scans for expired requests. With a full queue, a scan on each event took longer than all
/// other decisions together.
const SWEEP_INTERVAL: Duration = Duration::from_millis(10);

/// Identity of a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Ticket {
    id: u64,
    class: Class,
}

/// Workspace to which a waiting request belongs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claimant {
    /// The workspace.
    pub workspace: WorkspaceHash,
    /// Its weight among the workspaces, above 0.
    pub weight: f64,
    /// Whether the request is a call. Work has been spent for its root request, which a refusal would waste, so calls
    /// are served before other requests of their class.
    pub is_call: bool,
}

/// A request in the queue.
#[derive(Debug, Clone, Copy)]
pub struct WaitingRequest {
    /// Ticket that [`ClassQueue::push`] returned for the request.
    pub ticket: Ticket,
    /// Time at which the request was queued.
    pub since: Instant,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Catalogue entry whose concurrency limit applies.
    pub entry: EntrySlot,
    /// Workspace of the request; none without workspaces, when requests are served in the order of their arrival.
    pub claimant: Option<Claimant>,
}

/// Bounded priority queue with one sub-queue for each class.
#[derive(Debug)]
pub struct ClassQueue {
    sub_queues: [SubQueue; 4],
    next_id: u64,
    grants: u32,
    waiting: usize,
    refused: u64,
    next_sweep: Instant,
    shares: FairShares,
}

#[derive(Debug)]
struct SubQueue {
    requests: VecDeque<WaitingRequest>,
    /// Time of the last grant.
    served: Instant,
    /// Time of the last grant that found the delay below the target or emptied the sub-queue, or of a later arrival in
    /// the empty sub-queue.
    below_target: Instant,
}

impl Ticket {
    /// Class of the queued request.
    #[must_use]
    pub const fn class(self) -> Class {
        self.class
    }
}

impl SubQueue {
    /// Time since which the sub-queue has been waiting for a grant. With the arrival of its oldest request alone, a
    /// class that is served newest first would take all grants reserved for lower classes.
    fn waiting_since(&self) -> Option<Instant> {
        Some(self.requests.front()?.since.max(self.served))
    }

    fn is_delayed(&self, timeout: Duration, now: Instant) -> bool {
        !self.requests.is_empty()
            && now.saturating_duration_since(self.below_target) > timeout / PERSISTENCE_DIVISOR
    }
}

impl ClassQueue {
    /// Creates an empty queue.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            sub_queues: std::array::from_fn(|_| SubQueue {
                requests: VecDeque::new(),
                served: now,
                below_target: now,
            }),
            next_id: 0,
            grants: 0,
            waiting: 0,
            refused: 0,
            next_sweep: now,
            shares: FairShares::default(),
        }
    }

    /// Adds a request. When the queue is full and `class` occupies all its reserved places, the newest request of the
    /// lowest class that is below `class` and exceeds its own reserved places is displaced. Its ticket is returned as
    /// the second value.
    ///
    /// # Errors
    ///
    /// Returns `QueueFull` if a request must be displaced and none of a lower class can be.
    pub fn push(
        &mut self,
        class: Class,
        entry: EntrySlot,
        deadline: Instant,
        now: Instant,
    ) -> Result<(Ticket, Option<Ticket>), RefusalReason> {
        self.push_for(None, class, entry, deadline, now)
    }

    /// Like [`ClassQueue::push`], for a request of a workspace.
    ///
    /// # Errors
    ///
    /// Returns `QueueFull` if a request must be displaced and none of a lower class can be.
    pub fn push_for(
        &mut self,
        claimant: Option<Claimant>,
        class: Class,
        entry: EntrySlot,
        deadline: Instant,
        now: Instant,
    ) -> Result<(Ticket, Option<Ticket>), RefusalReason> {
        let mut displaced = None;
        if self.waiting >= MAX_WAITING && self.sub_queues[class.rank()].requests.len() >= RESERVED {
            displaced = self.displace_below(class);
            self.refused += 1;
            if displaced.is_none() {
                return Err(RefusalReason::QueueFull);
            }
        }
        let ticket = Ticket {
            id: self.next_id,
            class,
        };
        self.next_id += 1;
        self.waiting += 1;
        let sub_queue = &mut self.sub_queues[class.rank()];
        if sub_queue.requests.is_empty() {
            sub_queue.below_target = now;
        }
        sub_queue.requests.push_back(WaitingRequest {
            ticket,
            since: now,
            deadline,
            entry,
            claimant,
        });
        Ok((ticket, displaced))
    }

    /// Removes and returns the request that runs next, among those whose entry is below its concurrency limit.
    pub fn pop(
        &mut self,
        has_room: impl Fn(EntrySlot) -> bool,
        now: Instant,
    ) -> Option<WaitingRequest> {
        let order = self.service_order(now);
        for rank in order {
            if let Some(request) = self.pop_sub_queue(rank, &has_room, now) {
                self.waiting -= 1;
                self.grants += 1;
                return Some(request);
            }
        }
        None
    }

    /// Removes a request whose caller disconnected. Returns false if it is no longer queued.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let requests = &mut self.sub_queues[ticket.class.rank()].requests;
        let Ok(index) = requests.binary_search_by_key(&ticket.id, |request| request.ticket.id)
        else {
            return false;
        };
        requests.remove(index);
        self.waiting -= 1;
        true
    }

    /// Removes the requests that reached the queue timeout of their class, and those that cannot finish before their
    /// deadline if they take `expected` to run. Passes each to `removed`. Does nothing within 10 ms of the last scan.
    pub fn expire(
        &mut self,
        expected: Duration,
        now: Instant,
        mut removed: impl FnMut(Ticket, RefusalReason),
    ) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        for (sub_queue, timeout) in self.sub_queues.iter_mut().zip(QUEUE_TIMEOUT) {
            let before = sub_queue.requests.len();
            sub_queue.requests.retain(|request| {
                let reason = if request.deadline < now + expected {
                    RefusalReason::Deadline
                } else if now.saturating_duration_since(request.since) >= timeout {
                    RefusalReason::QueueTimeout
                } else {
                    return true;
                };
                removed(request.ticket, reason);
                false
            });
            self.waiting -= before - sub_queue.requests.len();
        }
    }

    /// Earliest time at which [`ClassQueue::expire`] removes a request that reaches the queue timeout of its class.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        self.sub_queues
            .iter()
            .zip(QUEUE_TIMEOUT)
            .filter_map(|(sub_queue, timeout)| Some(sub_queue.requests.front()?.since + timeout))
            .min()
            .map(|expiry| expiry.max(self.next_sweep))
    }

    /// Age of the oldest queued request of a class; zero when none is queued.
    #[must_use]
    pub fn oldest_wait(&self, class: Class, now: Instant) -> Duration {
        self.sub_queues[class.rank()]
            .requests
            .front()
            .map_or(Duration::ZERO, |request| {
                now.saturating_duration_since(request.since)
            })
    }

    /// Whether the delay of a class is persistently above its target, so that its newest request is served first.
    #[must_use]
    pub fn is_delayed(&self, class: Class, now: Instant) -> bool {
        self.sub_queues[class.rank()].is_delayed(QUEUE_TIMEOUT[class.rank()], now)
    }

    /// Number of queued requests.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.waiting
    }

    /// Number of queued requests of a class.
    #[must_use]
    pub fn len_of(&self, class: Class) -> usize {
        self.sub_queues[class.rank()].requests.len()
    }

    /// Number of queued requests of a class and of all higher ones.
    #[must_use]
    pub fn len_from(&self, class: Class) -> usize {
        let higher = &self.sub_queues[..=class.rank()];
        higher.iter().map(|queue| queue.requests.len()).sum()
    }

    /// Whether no request is queued.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Total number of requests that were refused or displaced because the queue was full.
    #[must_use]
    pub const fn refused(&self) -> u64 {
        self.refused
    }

    fn displace_below(&mut self, class: Class) -> Option<Ticket> {
        let sub_queue = self.sub_queues[class.rank() + 1..]
            .iter_mut()
            .rev()
            .find(|sub_queue| sub_queue.requests.len() > RESERVED)?;
        self.waiting -= 1;
        sub_queue.requests.pop_back().map(|request| request.ticket)
    }

    /// Class ranks in the order in which they are tried for the next grant.
    fn service_order(&self, now: Instant) -> [usize; 4] {
        let mut order = [0, 1, 2, 3];
        let Some(top) = self
            .sub_queues
            .iter()
            .position(|sub_queue| !sub_queue.requests.is_empty())
        else {
            return order;
        };
        let interval = if self.oldest_wait(Class::Critical, now) > CRITICAL_DELAY {
            LOWER_CLASS_INTERVAL_DELAYED
        } else {
            LOWER_CLASS_INTERVAL
        };
        if self.grants % interval != interval - 1 {
            return order;
        }
        let longest = (top + 1..4)
            .filter_map(|rank| Some((self.sub_queues[rank].waiting_since()?, rank)))
            .min();
        if let Some((_, rank)) = longest {
            order[..=rank].rotate_right(1);
        }
        order
    }

    fn pop_sub_queue(
        &mut self,
        rank: usize,
        has_room: &impl Fn(EntrySlot) -> bool,
        now: Instant,
    ) -> Option<WaitingRequest> {
        let sub_queue = &mut self.sub_queues[rank];
        let newest_first = sub_queue.is_delayed(QUEUE_TIMEOUT[rank], now);
        let count = sub_queue.requests.len();
        let candidates = (0..count)
            .map(|step| if newest_first { count - 1 - step } else { step })
            .filter(|&index| has_room(sub_queue.requests[index].entry));
        let index = next_in_order(candidates, &sub_queue.requests, &self.shares)?;
        let oldest = sub_queue.requests.front()?.since;
        let request = sub_queue.requests.remove(index)?;
        if let Some(claimant) = request.claimant {
            self.shares
                .record_grant(claimant.workspace, claimant.weight);
        }
        sub_queue.served = now;
        if sub_queue.requests.is_empty()
            || now.saturating_duration_since(oldest) < QUEUE_TIMEOUT[rank] / DELAY_DIVISOR
        {
            sub_queue.below_target = now;
        }
        Some(request)
    }
}

/// The request that is served next: calls first, then in the fair order of the workspaces, then the first candidate.
/// Without workspaces it is the first candidate.
fn next_in_order(
    mut candidates: impl Iterator<Item = usize>,
    requests: &VecDeque<WaitingRequest>,
    shares: &FairShares,
) -> Option<usize> {
    let rank = |claimant: Claimant| (!claimant.is_call, shares.start_time(claimant.workspace));
    let first = candidates.next()?;
    let Some(claimant) = requests[first].claimant else {
        return Some(first);
    };
    let mut best = (first, rank(claimant));
    for index in candidates {
        let Some(claimant) = requests[index].claimant else {
            continue;
        };
        let rank = rank(claimant);
        if rank < best.1 {
            best = (index, rank);
        }
    }
    Some(best.0)
}

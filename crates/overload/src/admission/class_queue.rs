//! Requests that wait for the local target.

use {
    crate::admission::EntrySlot,
    jujubeline_core::{Class, RefusalReason},
    std::{
        collections::VecDeque,
        time::{Duration, Instant},
    },
};

/// Requests that wait, over all classes, above which a class has only its reserved places.
const MAX_WAITING: usize = 512;
/// Places that each class always has. Without them a queue full of critical requests would displace all others, and the
/// grants for lower classes would find nobody waiting.
const RESERVED: usize = 16;
/// Longest wait by class, highest class first. Critical work may use most of a usual deadline; work that is shed first
/// is told early, so that its caller can go elsewhere.
const MAX_WAIT: [Duration; 4] = [
    Duration::from_secs(1),
    Duration::from_millis(500),
    Duration::from_millis(250),
    Duration::from_millis(100),
];
/// One grant in this many goes to the lower class that has waited longest for a grant.
const LOWER_CLASS_INTERVAL: u32 = 16;
/// The same while a critical request has waited for longer than [`CRITICAL_DELAY`], because no capacity is left then.
const LOWER_CLASS_INTERVAL_DELAYED: u32 = 48;
/// Wait of a critical request above which lower classes get fewer grants (target of `CoDel`).
const CRITICAL_DELAY: Duration = Duration::from_millis(5);
/// Share of the longest wait of a class that counts as delay, 1 in this many.
const DELAY_SHARE: u32 = 10;
/// Share of the longest wait of a class for which its delay must last to be persistent, 1 in this many. With the 5 ms and
/// 100 ms of `CoDel` for all classes, critical requests were lost at 0.9 of the capacity of a target with 15 slots.
const PERSISTENT_SHARE: u32 = 2;

/// Time between two searches for requests that waited for too long. A search on each event took longer than the other
/// decisions together when the queue was full.
const SWEEP_INTERVAL: Duration = Duration::from_millis(10);

/// Identity of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Ticket {
    id: u64,
    class: Class,
}

/// A request in the queue.
#[derive(Debug, Clone, Copy)]
pub struct WaitingRequest {
    /// Its ticket.
    pub ticket: Ticket,
    /// When it arrived.
    pub since: Instant,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Its catalogue entry.
    pub entry: EntrySlot,
}

/// Bounded queue with one line for each class.
#[derive(Debug)]
pub struct ClassQueue {
    lines: [Line; 4],
    next_id: u64,
    grants: u32,
    waiting: usize,
    refused: u64,
    next_sweep: Instant,
}

#[derive(Debug)]
struct Line {
    requests: VecDeque<WaitingRequest>,
    served: Instant,
    below_target: Instant,
}

impl Ticket {
    /// Class of the request.
    #[must_use]
    pub const fn class(self) -> Class {
        self.class
    }
}

impl Line {
    /// Time since which the line waits for a grant. The age of its oldest request alone would let one class take all
    /// grants of this kind while it is served newest first.
    fn waiting_since(&self) -> Option<Instant> {
        Some(self.requests.front()?.since.max(self.served))
    }

    fn is_delayed(&self, max_wait: Duration, now: Instant) -> bool {
        !self.requests.is_empty()
            && now.saturating_duration_since(self.below_target) > max_wait / PERSISTENT_SHARE
    }
}

impl ClassQueue {
    /// An empty queue.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            lines: std::array::from_fn(|_| Line {
                requests: VecDeque::new(),
                served: now,
                below_target: now,
            }),
            next_id: 0,
            grants: 0,
            waiting: 0,
            refused: 0,
            next_sweep: now,
        }
    }

    /// Adds a request. When the queue is full, the newest request of the lowest class below this one makes room and is
    /// returned as the second value.
    ///
    /// # Errors
    ///
    /// `QueueFull` when no lower class can make room.
    pub fn push(
        &mut self,
        class: Class,
        entry: EntrySlot,
        deadline: Instant,
        now: Instant,
    ) -> Result<(Ticket, Option<Ticket>), RefusalReason> {
        let mut displaced = None;
        if self.waiting >= MAX_WAITING && self.lines[class.rank()].requests.len() >= RESERVED {
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
        let line = &mut self.lines[class.rank()];
        if line.requests.is_empty() {
            line.below_target = now;
        }
        line.requests.push_back(WaitingRequest {
            ticket,
            since: now,
            deadline,
            entry,
        });
        Ok((ticket, displaced))
    }

    /// Takes the request that runs next, among those whose entry has room.
    pub fn pop(
        &mut self,
        has_room: impl Fn(EntrySlot) -> bool,
        now: Instant,
    ) -> Option<WaitingRequest> {
        let order = self.service_order(now);
        for rank in order {
            if let Some(request) = self.pop_line(rank, &has_room, now) {
                self.waiting -= 1;
                self.grants += 1;
                return Some(request);
            }
        }
        None
    }

    /// Removes a request whose caller went away. Returns false when it no longer waits.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let requests = &mut self.lines[ticket.class.rank()].requests;
        let Ok(index) = requests.binary_search_by_key(&ticket.id, |request| request.ticket.id)
        else {
            return false;
        };
        requests.remove(index);
        self.waiting -= 1;
        true
    }

    /// Removes the requests that waited for too long, or can no longer finish before their deadline when they take
    /// `expected` to run. Does nothing until 10 ms after the last search.
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
        for (line, max_wait) in self.lines.iter_mut().zip(MAX_WAIT) {
            let before = line.requests.len();
            line.requests.retain(|request| {
                let reason = if request.deadline < now + expected {
                    RefusalReason::Deadline
                } else if now.saturating_duration_since(request.since) >= max_wait {
                    RefusalReason::QueueTimeout
                } else {
                    return true;
                };
                removed(request.ticket, reason);
                false
            });
            self.waiting -= before - line.requests.len();
        }
    }

    /// Earliest time at which [`ClassQueue::expire`] removes a request by the wait bound of its class.
    #[must_use]
    pub fn next_expiry(&self) -> Option<Instant> {
        self.lines
            .iter()
            .zip(MAX_WAIT)
            .filter_map(|(line, max_wait)| Some(line.requests.front()?.since + max_wait))
            .min()
            .map(|expiry| expiry.max(self.next_sweep))
    }

    /// Time that the longest-waiting request of a class has waited.
    #[must_use]
    pub fn oldest_wait(&self, class: Class, now: Instant) -> Duration {
        self.lines[class.rank()]
            .requests
            .front()
            .map_or(Duration::ZERO, |request| {
                now.saturating_duration_since(request.since)
            })
    }

    /// Whether the delay of a class has stayed above the target.
    #[must_use]
    pub fn is_delayed(&self, class: Class, now: Instant) -> bool {
        self.lines[class.rank()].is_delayed(MAX_WAIT[class.rank()], now)
    }

    /// Requests that wait.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.waiting
    }

    /// Requests of a class that wait.
    #[must_use]
    pub fn len_of(&self, class: Class) -> usize {
        self.lines[class.rank()].requests.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.waiting == 0
    }

    /// Requests that were refused or displaced because the queue was full.
    #[must_use]
    pub const fn refused(&self) -> u64 {
        self.refused
    }

    fn displace_below(&mut self, class: Class) -> Option<Ticket> {
        let line = self.lines[class.rank() + 1..]
            .iter_mut()
            .rev()
            .find(|line| line.requests.len() > RESERVED)?;
        self.waiting -= 1;
        line.requests.pop_back().map(|request| request.ticket)
    }

    /// Ranks in the order in which they are served now.
    fn service_order(&self, now: Instant) -> [usize; 4] {
        let mut order = [0, 1, 2, 3];
        let Some(top) = self.lines.iter().position(|line| !line.requests.is_empty()) else {
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
            .filter_map(|rank| Some((self.lines[rank].waiting_since()?, rank)))
            .min();
        if let Some((_, rank)) = longest {
            order[..=rank].rotate_right(1);
        }
        order
    }

    fn pop_line(
        &mut self,
        rank: usize,
        has_room: &impl Fn(EntrySlot) -> bool,
        now: Instant,
    ) -> Option<WaitingRequest> {
        let line = &mut self.lines[rank];
        let newest_first = line.is_delayed(MAX_WAIT[rank], now);
        let count = line.requests.len();
        let index = (0..count)
            .map(|step| if newest_first { count - 1 - step } else { step })
            .find(|&index| has_room(line.requests[index].entry))?;
        let oldest = line.requests.front()?.since;
        let request = line.requests.remove(index)?;
        line.served = now;
        if line.requests.is_empty()
            || now.saturating_duration_since(oldest) < MAX_WAIT[rank] / DELAY_SHARE
        {
            line.below_target = now;
        }
        Some(request)
    }
}

//! The member table, which does not contain the node itself.

use {
    super::{Member, Presence, ring::Ring},
    jujubeline_core::{DataCentre, NodeId, Revision, stable_hash},
    rand::Rng,
    std::{
        collections::BTreeMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

/// Buckets of the table digest. At 5,600 members one bucket holds 22, so that one difference costs about 3 KB.
pub const DIGEST_BUCKETS: usize = 256;

/// A correlated failure needs this many suspects in a data centre.
const MIN_CORRELATED: usize = 3;

/// A data centre counts as silent when no datagram of its members has arrived within this many probe periods.
const SILENCE_PERIODS: u32 = 3;

/// Claims made during a silence may arrive this long after its end, because an update waits about 20 s in a full queue.
const SILENCE_GRACE: Duration = Duration::from_secs(30);

/// Bound on the random picks in one search for suitable members.
const MAX_PICKS: usize = 64;

/// A member's last description and its presence as determined by this node.
#[derive(Debug, Clone)]
pub(super) struct Record {
    /// Last description from the member.
    pub(super) member: Arc<Member>,
    /// Whether the member is thought to be reachable.
    pub(super) presence: Presence,
    /// Version of the description that the presence refers to. It may be newer than `member`.
    pub(super) presence_update: u64,
    /// Highest catalogue revision that the member itself reported.
    pub(super) revision: Revision,
    in_ring: bool,
}

impl Record {
    /// Whether the member is probed in turn.
    pub(super) const fn is_probed(&self) -> bool {
        matches!(self.presence, Presence::Alive | Presence::Suspect)
    }

    /// Whether the member has died or left.
    pub(super) const fn is_gone(&self) -> bool {
        matches!(self.presence, Presence::Dead | Presence::Left)
    }

    fn snapshot(&self) -> Member {
        Member {
            presence: self.presence,
            catalogue_revision: self.revision,
            ..Member::clone(&self.member)
        }
    }
}

/// Member counts of one data centre, and when datagrams from it last arrived.
#[derive(Debug, Clone, Default)]
struct Counts {
    known: usize,
    suspect: usize,
    unreachable: usize,
    last_datagram: Option<Instant>,
    silence_ended: Option<Instant>,
}

/// Members by name, with the orders in which they are probed and counts for each data centre.
#[derive(Debug, Clone)]
pub(super) struct Table {
    own_data_centre: DataCentre,
    records: BTreeMap<NodeId, Record>,
    local: Ring,
    remote: Ring,
    counts: BTreeMap<DataCentre, Counts>,
}

impl Table {
    pub(super) fn new(own_data_centre: DataCentre) -> Self {
        Self {
            own_data_centre,
            records: BTreeMap::new(),
            local: Ring::new(),
            remote: Ring::new(),
            counts: BTreeMap::new(),
        }
    }

    pub(super) fn get(&self, node: &str) -> Option<&Record> {
        self.records.get(node)
    }

    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    /// Number of members that are probed in turn: the size of the group without this node.
    pub(super) fn probed_count(&self) -> usize {
        self.counts
            .values()
            .map(|counts| counts.known - counts.unreachable)
            .sum()
    }

    /// Adds a member or replaces its description. The presence follows from [`Table::set_presence`].
    pub(super) fn describe(&mut self, member: Arc<Member>) {
        let node = member.node.clone();
        let before = self.records.get(&node).cloned();
        if let Some(before) = &before {
            self.count(before, false);
        }
        let mut record = Record {
            revision: member.catalogue_revision,
            presence: Presence::Alive,
            presence_update: member.update,
            in_ring: false,
            member,
        };
        if let Some(before) = before {
            record.in_ring =
                before.in_ring && before.member.data_centre == record.member.data_centre;
            if before.member.incarnation == record.member.incarnation {
                record.revision = record.revision.max(before.revision);
                record.presence = before.presence;
                record.presence_update = before.presence_update;
            }
        }
        self.count(&record, true);
        self.records.insert(node.clone(), record);
        self.enter_ring(&node);
    }

    pub(super) fn set_presence(&mut self, node: &NodeId, presence: Presence, update: u64) {
        let Some(mut record) = self.records.get(node).cloned() else {
            return;
        };
        self.count(&record, false);
        record.presence = presence;
        record.presence_update = update;
        self.count(&record, true);
        self.records.insert(node.clone(), record);
        self.enter_ring(node);
    }

    /// Raises the catalogue revision of a member to one that the member reported.
    pub(super) fn raise_revision(&mut self, node: &str, revision: Revision) {
        if let Some(record) = self.records.get_mut(node) {
            record.revision = record.revision.max(revision);
        }
    }

    pub(super) fn remove(&mut self, node: &NodeId) {
        if let Some(record) = self.records.remove(node) {
            self.count(&record, false);
        }
    }

    /// Next member to probe, of this data centre or of the others; of the other group when one is empty.
    pub(super) fn next_probe(&mut self, remote: bool, rng: &mut impl Rng) -> Option<NodeId> {
        self.next_in_ring(remote, rng)
            .or_else(|| self.next_in_ring(!remote, rng))
    }

    /// Distinct random members that are alive and not excluded.
    pub(super) fn pick(
        &self,
        count: usize,
        rng: &mut impl Rng,
        suits: impl Fn(&Record) -> bool,
    ) -> Vec<&Record> {
        let mut picked: Vec<&Record> = Vec::with_capacity(count);
        let members = self.local.len() + self.remote.len();
        for _ in 0..MAX_PICKS {
            if picked.len() == count || members == 0 {
                break;
            }
            let order = if rng.random_range(0..members) < self.local.len() {
                &self.local
            } else {
                &self.remote
            };
            let Some(record) = order
                .random_member(rng)
                .and_then(|node| self.records.get(node))
            else {
                continue;
            };
            let new = picked
                .iter()
                .all(|other| other.member.node != record.member.node);
            if new && record.presence == Presence::Alive && suits(record) {
                picked.push(record);
            }
        }
        picked
    }

    /// Whether more than half of the known members of a data centre, and at least three, are suspect or unreachable.
    pub(super) fn is_correlated(&self, data_centre: &str) -> bool {
        self.counts.get(data_centre).is_some_and(|counts| {
            let lost = counts.suspect + counts.unreachable;
            lost >= MIN_CORRELATED && lost * 2 > counts.known
        })
    }

    /// Records a datagram from a data centre. Returns whether the data centre was silent before.
    pub(super) fn record_datagram(
        &mut self,
        data_centre: &str,
        period: Duration,
        now: Instant,
    ) -> bool {
        let Some(counts) = self.counts.get_mut(data_centre) else {
            return false;
        };
        let before = counts.last_datagram.replace(now);
        let silent = before.is_some_and(|before| now > before + period * SILENCE_PERIODS);
        if silent {
            counts.silence_ended = Some(now);
        }
        silent
    }

    /// Whether any member of a data centre is suspect or unreachable.
    pub(super) fn any_lost(&self, data_centre: &str) -> bool {
        self.counts
            .get(data_centre)
            .is_some_and(|counts| counts.suspect + counts.unreachable > 0)
    }

    /// Whether a silence of a data centre ended so recently that claims made during it may still arrive.
    pub(super) fn silence_ended_recently(&self, data_centre: &str, now: Instant) -> bool {
        self.counts
            .get(data_centre)
            .and_then(|counts| counts.silence_ended)
            .is_some_and(|at| now < at + SILENCE_GRACE)
    }

    /// Whether a suspect may be unreachable together with its whole data centre: other members there count as alive,
    /// but no datagram has arrived from any of them recently.
    pub(super) fn may_be_partitioned(
        &self,
        data_centre: &str,
        period: Duration,
        now: Instant,
    ) -> bool {
        self.counts.get(data_centre).is_some_and(|counts| {
            let alive = counts.known - counts.suspect - counts.unreachable;
            let is_recent = counts
                .last_datagram
                .is_some_and(|at| now <= at + period * SILENCE_PERIODS);
            alive > 0 && !is_recent
        })
    }

    /// Members of a data centre with this presence.
    pub(super) fn in_data_centre(&self, data_centre: &str, presence: Presence) -> Vec<NodeId> {
        self.records
            .values()
            .filter(|record| {
                record.presence == presence && *record.member.data_centre == *data_centre
            })
            .map(|record| record.member.node.clone())
            .collect()
    }

    /// All members, with the presence and catalogue revision that this node has recorded.
    pub(super) fn snapshot(&self) -> impl Iterator<Item = Member> {
        self.records.values().map(Record::snapshot)
    }

    /// Members in the buckets whose hash differs from `digest`; all when the digest has another number of buckets.
    pub(super) fn differing(&self, own: &Member, digest: &[u64]) -> Vec<Member> {
        let known = self.digest(own);
        let differs = |node: &str| {
            digest.len() != DIGEST_BUCKETS || digest[bucket(node)] != known[bucket(node)]
        };
        let own = differs(&own.node).then(|| own.clone());
        self.records
            .values()
            .filter(|record| differs(&record.member.node))
            .map(Record::snapshot)
            .chain(own)
            .collect()
    }

    /// Hash of each bucket. Members that died or left are excluded, since nodes remove them at different times.
    pub(super) fn digest(&self, own: &Member) -> Vec<u64> {
        let mut digest = vec![0; DIGEST_BUCKETS];
        let present = self.records.values().filter(|record| !record.is_gone());
        for member in present.map(|record| &*record.member).chain([own]) {
            digest[bucket(&member.node)] ^= member_hash(member);
        }
        digest
    }

    fn next_in_ring(&mut self, remote: bool, rng: &mut impl Rng) -> Option<NodeId> {
        let order = if remote {
            &mut self.remote
        } else {
            &mut self.local
        };
        let mut removed = Vec::new();
        let records = &self.records;
        let own_data_centre = &self.own_data_centre;
        let next = order.next(
            rng,
            |node| {
                records.get(node).is_some_and(|record| {
                    record.is_probed()
                        && record.in_ring
                        && (record.member.data_centre != *own_data_centre) == remote
                })
            },
            |node| removed.push(node.clone()),
        );
        for node in removed {
            if let Some(record) = self.records.get_mut(&node) {
                record.in_ring = false;
            }
        }
        next
    }

    fn enter_ring(&mut self, node: &NodeId) {
        let Some(record) = self.records.get_mut(node) else {
            return;
        };
        if record.in_ring || !record.is_probed() {
            return;
        }
        record.in_ring = true;
        if record.member.data_centre == self.own_data_centre {
            self.local.push(node.clone());
        } else {
            self.remote.push(node.clone());
        }
    }

    fn count(&mut self, record: &Record, add: bool) {
        if record.is_gone() {
            return;
        }
        let counts = self
            .counts
            .entry(record.member.data_centre.clone())
            .or_default();
        let change = |count: &mut usize| {
            *count = if add {
                *count + 1
            } else {
                count.saturating_sub(1)
            };
        };
        change(&mut counts.known);
        match record.presence {
            Presence::Suspect => change(&mut counts.suspect),
            Presence::Unreachable => change(&mut counts.unreachable),
            Presence::Alive | Presence::Dead | Presence::Left => {}
        }
        if counts.known == 0 {
            self.counts.remove(&record.member.data_centre);
        }
    }
}

/// Bucket of the digest that a member belongs to.
fn bucket(node: &str) -> usize {
    // The remainder is below the number of buckets, so it fits.
    #[allow(clippy::cast_possible_truncation)]
    let bucket = (stable_hash(node.as_bytes()) % DIGEST_BUCKETS as u64) as usize;
    bucket
}

fn member_hash(member: &Member) -> u64 {
    let mut bytes = Vec::with_capacity(member.node.len() + 16);
    bytes.extend_from_slice(member.node.as_bytes());
    bytes.extend_from_slice(&member.incarnation.to_be_bytes());
    bytes.extend_from_slice(&member.update.to_be_bytes());
    stable_hash(&bytes)
}

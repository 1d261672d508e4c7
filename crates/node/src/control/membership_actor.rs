//! The actor that owns the member table and decides when to pull the catalogue from a peer.

use {
    super::udp::Sender,
    crate::view::LocalTarget,
    jujubeline_coordination::{
        membership::{
            Counters, CrashReport, Datagram, Member, MemberEvent, Membership, Output, Presence,
        },
        replication::{Pull, PullEnd, Replication, is_cut_off},
    },
    jujubeline_core::{NodeId, Revision},
    kameo::{
        Actor,
        actor::{ActorRef, Spawn},
        mailbox,
        message::{Context, Message},
    },
    rand::{SeedableRng, rngs::StdRng},
    std::{collections::BTreeSet, convert::Infallible, net::SocketAddr, sync::Arc, time::Instant},
    tokio::sync::{broadcast, mpsc, watch},
};

/// Capacity of the actor's mailbox. Datagrams beyond it are dropped, as on a full socket buffer.
const MAILBOX_MESSAGES: usize = 1_024;

/// Capacity of the channel of crash reports; a subscriber that lags further behind loses the oldest ones.
const CRASH_REPORTS: usize = 256;

/// Members queried for their revision in one round. With one round each 200 ms, 5,600 members are queried within 6 s,
/// for about 100 KB/s while an operator waits.
const MAX_QUERIED: usize = 200;

/// Owns the member table and publishes each change of it.
#[derive(Actor)]
struct MembershipActor {
    membership: Membership,
    replication: Replication,
    revision: Revision,
    rng: StdRng,
    sender: Sender,
    pulls: mpsc::Sender<Pull>,
    contacts: mpsc::Sender<SocketAddr>,
    view: watch::Sender<Arc<Vec<Member>>>,
    counters: watch::Sender<Counters>,
    crashes: broadcast::Sender<CrashReport>,
    unreachable: BTreeSet<NodeId>,
    last_datagram: Instant,
    is_cut_off: watch::Sender<bool>,
    quarantine_changes: watch::Sender<u64>,
}

struct Received {
    from: SocketAddr,
    datagram: Datagram,
}

struct Tick;

struct TargetChanged(LocalTarget);

struct RevisionChanged(Revision);

struct Merge {
    from: SocketAddr,
    members: Vec<Member>,
}

struct Announce;

struct QueryRevisions;

struct Differing(Vec<u64>);

struct Digest;

struct RandomPeer;

struct PullEnded {
    pull: Pull,
    end: PullEnd,
}

struct Crashed(CrashReport);

struct PlatformUnreachable(bool);

struct CrashesLearned(Vec<CrashReport>);

struct KnownCrashes;

struct Leave;

impl MembershipActor {
    /// Sends datagrams and publishes changes.
    fn handle_output(&mut self, output: Output) {
        for (to, datagram) in output.datagrams {
            self.sender.send(to, &datagram);
        }
        let mut changed = false;
        for event in output.events {
            match event {
                // Without a subscriber the send fails, and the report is not needed.
                MemberEvent::Crash(report) => drop(self.crashes.send(report)),
                event => {
                    changed = true;
                    self.log(&event);
                }
            }
        }
        if changed {
            self.publish();
        }
        self.publish_quarantine_changes();
    }

    fn publish_quarantine_changes(&self) {
        let number = self.membership.quarantine_changes();
        self.quarantine_changes.send_if_modified(|known| {
            let changed = *known != number;
            *known = number;
            changed
        });
    }

    fn log(&mut self, event: &MemberEvent) {
        match event {
            // Suspicions are frequent and mostly refuted; the metrics count them.
            MemberEvent::Changed(_) | MemberEvent::Suspected(_) => log::debug!("member {event}"),
            MemberEvent::Unreachable(node) => {
                self.unreachable.insert(node.clone());
                log::info!("member {event}");
            }
            MemberEvent::Returned(node) => {
                if self.unreachable.remove(node) {
                    log::info!("member {event}");
                }
            }
            _ => log::info!("member {event}"),
        }
    }

    fn publish(&self) {
        self.view.send_replace(Arc::new(self.membership.members()));
    }

    /// Publishes whether this node hears nothing from other nodes.
    fn update_cut_off(&self, now: Instant) {
        let is_cut_off = is_cut_off(self.last_datagram, now);
        self.is_cut_off.send_if_modified(|known| {
            let changed = *known != is_cut_off;
            *known = is_cut_off;
            changed
        });
    }

    fn pull(&mut self, now: Instant) {
        let Some(pull) = self.replication.next_pull(self.revision, now) else {
            return;
        };
        if self.pulls.try_send(pull).is_err() {
            self.replication.finish_pull(pull, PullEnd::Failed);
        }
    }
}

impl Message<Received> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, message: Received, _: &mut Context<Self, ()>) {
        let now = Instant::now();
        self.last_datagram = now;
        self.update_cut_off(now);
        let Datagram {
            sender,
            incarnation,
            catalogue_revision,
            ..
        } = &message.datagram;
        // A member can be reached at the address that it declares; a relay changes the source address.
        let declared = self.membership.declared_address(sender, *incarnation);
        let from = declared.unwrap_or(message.from);
        self.replication
            .record_peer_revision(from, *catalogue_revision, self.revision);
        let sender = sender.clone();
        let output = self
            .membership
            .receive(from, message.datagram, now, &mut self.rng);
        self.handle_output(output);
        if self.membership.presence(&sender).is_none() {
            // The sender is not in the member table, so this node tries to join through it. With a full queue, the
            // sender's next datagram serves as well.
            let _ = self.contacts.try_send(from);
        }
        self.pull(now);
    }
}

impl Message<Tick> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, ()>) {
        let now = Instant::now();
        let output = self.membership.tick(now, &mut self.rng);
        self.handle_output(output);
        if self.replication.should_hint(self.revision, now) {
            let output = self.membership.announce_revision(now, &mut self.rng);
            self.handle_output(output);
        }
        self.pull(now);
        self.update_cut_off(now);
        self.counters.send_replace(self.membership.counters());
    }
}

impl Message<TargetChanged> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, message: TargetChanged, _: &mut Context<Self, ()>) {
        let target = message.0;
        let output =
            self.membership
                .set_target(target.state, target.slots, Instant::now(), &mut self.rng);
        self.handle_output(output);
        self.publish();
    }
}

impl Message<RevisionChanged> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, message: RevisionChanged, _: &mut Context<Self, ()>) {
        let now = Instant::now();
        self.revision = self.revision.max(message.0);
        self.membership.set_revision(self.revision);
        if self.replication.should_hint(self.revision, now) {
            let output = self.membership.announce_revision(now, &mut self.rng);
            self.handle_output(output);
        }
        self.publish();
    }
}

impl Message<Merge> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, message: Merge, _: &mut Context<Self, ()>) {
        let now = Instant::now();
        let peer = message
            .members
            .iter()
            .find(|member| member.control_address == message.from);
        if let Some(peer) = peer {
            let revision = peer.catalogue_revision;
            self.replication
                .record_peer_revision(message.from, revision, self.revision);
        }
        let output = self.membership.merge(message.members, now, &mut self.rng);
        self.handle_output(output);
        self.pull(now);
    }
}

impl Message<Announce> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, _: Announce, _: &mut Context<Self, ()>) {
        let output = self
            .membership
            .announce_description(Instant::now(), &mut self.rng);
        self.handle_output(output);
    }
}

impl Message<QueryRevisions> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, _: QueryRevisions, _: &mut Context<Self, ()>) {
        let output = self
            .membership
            .ping_lagging(MAX_QUERIED, Instant::now(), &mut self.rng);
        self.handle_output(output);
        // Revisions received since the last change of the table are not published otherwise.
        self.publish();
    }
}

impl Message<Differing> for MembershipActor {
    type Reply = Result<Vec<Member>, Infallible>;

    async fn handle(
        &mut self,
        message: Differing,
        _: &mut Context<Self, Self::Reply>,
    ) -> Self::Reply {
        Ok(self.membership.members_differing_from(&message.0))
    }
}

impl Message<Digest> for MembershipActor {
    type Reply = Result<Vec<u64>, Infallible>;

    async fn handle(&mut self, _: Digest, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        Ok(self.membership.digest())
    }
}

impl Message<RandomPeer> for MembershipActor {
    type Reply = Result<Option<SocketAddr>, Infallible>;

    async fn handle(&mut self, _: RandomPeer, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        Ok(self.membership.random_peer(&mut self.rng))
    }
}

impl Message<PullEnded> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, message: PullEnded, _: &mut Context<Self, ()>) {
        let now = Instant::now();
        self.replication.finish_pull(message.pull, message.end);
        self.pull(now);
    }
}

impl Message<Crashed> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, message: Crashed, _: &mut Context<Self, ()>) {
        self.membership.report_crash(message.0, Instant::now());
        self.publish_quarantine_changes();
    }
}

impl Message<PlatformUnreachable> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, message: PlatformUnreachable, _: &mut Context<Self, ()>) {
        let output =
            self.membership
                .set_platform_unreachable(message.0, Instant::now(), &mut self.rng);
        self.handle_output(output);
        self.publish();
    }
}

impl Message<CrashesLearned> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, message: CrashesLearned, _: &mut Context<Self, ()>) {
        let output = self.membership.learn_crashes(message.0, Instant::now());
        self.handle_output(output);
    }
}

impl Message<KnownCrashes> for MembershipActor {
    type Reply = Result<Vec<CrashReport>, Infallible>;

    async fn handle(&mut self, _: KnownCrashes, _: &mut Context<Self, Self::Reply>) -> Self::Reply {
        Ok(self.membership.crash_reports(Instant::now()))
    }
}

impl Message<Leave> for MembershipActor {
    type Reply = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self, ()>) {
        let output = self.membership.leave(Instant::now(), &mut self.rng);
        self.handle_output(output);
        self.publish();
    }
}

/// Access to the member table. Clones share one actor.
#[derive(Debug, Clone)]
pub struct MembershipHandle {
    actor: ActorRef<MembershipActor>,
    view: watch::Receiver<Arc<Vec<Member>>>,
    counters: watch::Receiver<Counters>,
    crashes: broadcast::Sender<CrashReport>,
    is_cut_off: watch::Receiver<bool>,
    quarantine_changes: watch::Receiver<u64>,
}

impl MembershipHandle {
    /// Starts the actor.
    pub(super) fn start(
        membership: Membership,
        sender: Sender,
        pulls: mpsc::Sender<Pull>,
        contacts: mpsc::Sender<SocketAddr>,
    ) -> Self {
        let (members, view) = watch::channel(Arc::new(membership.members()));
        let (counters, counters_view) = watch::channel(membership.counters());
        let (crashes, _) = broadcast::channel(CRASH_REPORTS);
        let (is_cut_off, cut_off_view) = watch::channel(false);
        let (quarantine_changes, quarantine_view) = watch::channel(0);
        let actor = MembershipActor::spawn_with_mailbox(
            MembershipActor {
                membership,
                replication: Replication::default(),
                revision: 0,
                rng: StdRng::from_os_rng(),
                sender,
                pulls,
                contacts,
                view: members,
                counters,
                crashes: crashes.clone(),
                unreachable: BTreeSet::new(),
                last_datagram: Instant::now(),
                is_cut_off,
                quarantine_changes,
            },
            mailbox::bounded(MAILBOX_MESSAGES),
        );
        Self {
            actor,
            view,
            counters: counters_view,
            crashes,
            is_cut_off: cut_off_view,
            quarantine_changes: quarantine_view,
        }
    }

    /// All known members, this node included.
    #[must_use]
    pub fn view(&self) -> watch::Receiver<Arc<Vec<Member>>> {
        self.view.clone()
    }

    /// Whether this node hears nothing from other nodes, as of the last tick.
    pub(super) fn cut_off(&self) -> watch::Receiver<bool> {
        self.is_cut_off.clone()
    }

    /// Counters of membership, as of the last tick.
    #[must_use]
    pub fn counters(&self) -> Counters {
        *self.counters.borrow()
    }

    /// Subscribes to crash reports of other nodes; earlier ones are not delivered.
    #[must_use]
    pub fn subscribe_crashes(&self) -> broadcast::Receiver<CrashReport> {
        self.crashes.subscribe()
    }

    /// Sends a crash report of the local target to other nodes. It is dropped when the control plane has stopped.
    pub async fn report_crash(&self, report: CrashReport) {
        let _ = self.actor.tell(Crashed(report)).await;
    }

    /// Tells the other nodes whether this one can read the platform.
    pub(super) async fn set_platform_unreachable(&self, unreachable: bool) {
        let _ = self.actor.tell(PlatformUnreachable(unreachable)).await;
    }

    /// Takes crash reports that the platform kept.
    pub(super) async fn learn_crashes(&self, reports: Vec<CrashReport>) {
        let _ = self.actor.tell(CrashesLearned(reports)).await;
    }

    /// Changes when a request is quarantined or cleared.
    pub(super) fn quarantine_changes(&self) -> watch::Receiver<u64> {
        self.quarantine_changes.clone()
    }

    /// All crash reports that this node knows; none when the actor has stopped.
    pub async fn crash_reports(&self) -> Vec<CrashReport> {
        self.actor.ask(KnownCrashes).await.unwrap_or_default()
    }

    /// Whether a member has this control address and is neither dead nor has left.
    pub(super) fn has_member_at(&self, address: SocketAddr) -> bool {
        self.view.borrow().iter().any(|member| {
            member.control_address == address
                && !matches!(member.presence, Presence::Dead | Presence::Left)
        })
    }

    /// Passes a datagram to the actor; `false` when the mailbox is full or the actor has stopped.
    pub(super) fn deliver_datagram(&self, from: SocketAddr, datagram: Datagram) -> bool {
        self.actor
            .tell(Received { from, datagram })
            .try_send()
            .is_ok()
    }

    /// Starts the periodic work of membership. A tick that finds a full mailbox is skipped.
    pub(super) fn tick(&self) {
        let _ = self.actor.tell(Tick).try_send();
    }

    /// Reports the state of the local target; `false` when the actor has stopped.
    pub(super) async fn target_changed(&self, target: LocalTarget) -> bool {
        self.actor.tell(TargetChanged(target)).await.is_ok()
    }

    /// Reports the catalogue revision in effect; `false` when the actor has stopped.
    pub(super) async fn revision_changed(&self, revision: Revision) -> bool {
        self.actor.tell(RevisionChanged(revision)).await.is_ok()
    }

    /// Merges members from the table of the peer at `from`.
    pub(super) async fn merge(&self, from: SocketAddr, members: Vec<Member>) {
        let _ = self.actor.tell(Merge { from, members }).await;
    }

    /// Sends the description of this node to other nodes at once.
    pub(super) async fn announce_description(&self) {
        let _ = self.actor.tell(Announce).await;
    }

    /// Queries some of the members whose catalogue revision is behind, and publishes the revisions received so far.
    pub(super) async fn query_revisions(&self) {
        let _ = self.actor.tell(QueryRevisions).await;
    }

    /// Members in the buckets that differ from a digest; none when the actor has stopped.
    pub(super) async fn members_differing_from(&self, digest: Vec<u64>) -> Option<Vec<Member>> {
        self.actor.ask(Differing(digest)).await.ok()
    }

    /// Hashes of the buckets of the table; none when the actor has stopped.
    pub(super) async fn digest(&self) -> Option<Vec<u64>> {
        self.actor.ask(Digest).await.ok()
    }

    /// Control address of a random live member.
    pub(super) async fn random_peer(&self) -> Option<SocketAddr> {
        self.actor.ask(RandomPeer).await.ok().flatten()
    }

    /// Reports how a pull ended.
    pub(super) async fn pull_ended(&self, pull: Pull, end: PullEnd) {
        let _ = self.actor.tell(PullEnded { pull, end }).await;
    }

    /// Announces that the node leaves, stops the actor and waits for its end.
    pub(super) async fn leave(&self) {
        // An error means that the actor has ended already.
        let _ = self.actor.ask(Leave).await;
        let _ = self.actor.stop_gracefully().await;
        self.actor.wait_for_shutdown().await;
    }
}

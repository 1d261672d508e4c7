//! Tokens of workspaces at one node.

use {
    super::ownership::{Ownership, Place},
    crate::{CatalogueView, MemberView},
    jujubeline_coordination::{
        allowance::{
            AllowanceAsk, AllowanceLoan, AllowanceOwner, Borrower, BorrowerStep, Denial,
            REPLY_TIMEOUT, WorkspaceHash, workspace_hash,
        },
        membership::DatagramKind,
    },
    jujubeline_core::{DataCentre, NodeId},
    parking_lot::Mutex,
    std::{
        collections::{HashMap, VecDeque},
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::Instant,
    },
    tokio::{sync::oneshot, time::timeout},
};

/// Workspaces whose borrowers are kept. Above it, those without requests are dropped.
const MAX_BORROWERS: usize = 16_384;

/// Sends a datagram to the control address of another node.
pub type SendDatagram = Box<dyn Fn(SocketAddr, DatagramKind) + Send + Sync>;

/// What [`Allowances`] needs of the control plane.
#[derive(derive_more::Debug)]
pub struct AllowancesContext {
    /// Name of this node.
    pub own: NodeId,
    /// Data centre of this node.
    pub data_centre: DataCentre,
    /// The members, from which the owners of shares follow.
    pub members: MemberView,
    /// The catalogue, which holds the limits.
    pub catalogue: CatalogueView,
    /// Sends a question or an answer.
    #[debug(skip)]
    pub send: SendDatagram,
}

/// Counters since the start.
#[derive(Debug, Default)]
pub struct AllowanceCounts {
    /// Questions sent to other nodes.
    pub asked: AtomicU64,
    /// Tokens lent to other nodes and to this one.
    pub lent: AtomicU64,
    /// Waits for an answer that lasted longer than the reply timeout.
    pub unanswered: AtomicU64,
    /// Requests that were refused because an allowance was used up or unknown.
    pub denied: AtomicU64,
}

/// Borrows tokens for the requests that enter at this node, and lends those of the shares that it owns.
#[derive(Debug)]
pub struct Allowances {
    context: AllowancesContext,
    state: Mutex<State>,
    /// Counters, for the metrics.
    pub counts: AllowanceCounts,
}

#[derive(Debug)]
struct State {
    ownership: Ownership,
    owner: AllowanceOwner,
    borrowers: HashMap<WorkspaceHash, Borrowing>,
    next_question: u64,
}

/// Borrower of one workspace, and the requests that wait for its tokens.
#[derive(Debug)]
struct Borrowing {
    borrower: Borrower,
    queue: VecDeque<oneshot::Sender<Result<(), Denial>>>,
}

impl Allowances {
    /// Without tokens and shares.
    #[must_use]
    pub fn new(context: AllowancesContext, now: Instant) -> Arc<Self> {
        let ownership = Ownership::new(context.own.clone(), context.data_centre.clone());
        Arc::new(Self {
            context,
            state: Mutex::new(State {
                ownership,
                owner: AllowanceOwner::new(now),
                borrowers: HashMap::new(),
                // Numbers from before a restart must match no question.
                next_question: rand::random::<u64>() >> 1,
            }),
            counts: AllowanceCounts::default(),
        })
    }

    /// Notes each change of the members when it happens, until the control plane ends. A share that is new here has its
    /// first token a while after the change, not after the first request.
    pub async fn follow_members(self: Arc<Self>) {
        let mut members = self.context.members.clone();
        loop {
            drop(self.refreshed(Instant::now()));
            if members.changed().await.is_err() {
                return;
            }
        }
    }

    /// Takes a token for a request of a workspace, after a question to the owners of its shares if necessary.
    ///
    /// # Errors
    ///
    /// When the allowance is used up, or no owner answers.
    pub async fn take(&self, workspace: &str) -> Result<(), Denial> {
        let workspace = workspace_hash(workspace);
        let mut granted = {
            let now = Instant::now();
            let mut state = self.refreshed(now);
            let borrowing = state.borrowing(workspace, now);
            match borrowing.borrower.arrive(now) {
                Ok(true) => return Ok(()),
                Ok(false) => {}
                Err(denial) => return Err(self.denied(denial)),
            }
            let (sender, granted) = oneshot::channel();
            borrowing.queue.push_back(sender);
            self.advance(&mut state, workspace, now);
            granted
        };
        loop {
            match timeout(REPLY_TIMEOUT, &mut granted).await {
                Ok(Ok(result)) => return result.map_err(|denial| self.denied(denial)),
                // The state was dropped, which happens only when the node stops.
                Ok(Err(_)) => return Err(self.denied(Denial::Unknown)),
                Err(_) => {
                    self.counts.unanswered.fetch_add(1, Ordering::Relaxed);
                    let now = Instant::now();
                    let mut state = self.refreshed(now);
                    self.advance(&mut state, workspace, now);
                }
            }
        }
    }

    /// Returns the token of a request that has not run.
    pub fn give_back(&self, workspace: &str) {
        let mut state = self.state.lock();
        if let Some(borrowing) = state.borrowers.get_mut(&workspace_hash(workspace)) {
            borrowing.borrower.give_back(Instant::now());
        }
    }

    /// Answers the question of another node, if this node owns the share and knows its limit.
    pub fn handle_ask(&self, from: SocketAddr, ask: &AllowanceAsk) {
        let now = Instant::now();
        let mut state = self.refreshed(now);
        let placement = state.ownership.placement(ask.workspace);
        let owner = placement.owners.get(usize::from(ask.share));
        if owner != Some(&Some(Place::Local)) {
            return;
        }
        if let Some(loan) = self.lend(&mut state, ask, now) {
            (self.context.send)(from, DatagramKind::AllowanceLoan(loan));
        }
    }

    /// Passes the answer of an owner to the requests that wait for it.
    pub fn handle_loan(&self, loan: &AllowanceLoan) {
        let now = Instant::now();
        let mut state = self.refreshed(now);
        if let Some(borrowing) = state.borrowers.get_mut(&loan.workspace) {
            borrowing.borrower.answer(loan, now);
        }
        self.advance(&mut state, loan.workspace, now);
    }

    /// Tokens of a workspace that can be used here now, and whether its requests are limited at all.
    #[must_use]
    pub fn tokens(&self, workspace: &str, now: Instant) -> Option<u32> {
        let workspace = workspace_hash(workspace);
        let state = self.refreshed(now);
        state.ownership.limit(workspace)?;
        let borrowing = state.borrowers.get(&workspace);
        Some(borrowing.map_or(0, |borrowing| borrowing.borrower.tokens(now)))
    }

    /// Workspaces with an allowance.
    #[must_use]
    pub fn limited_workspaces(&self) -> usize {
        self.state.lock().ownership.limited_workspaces()
    }

    /// Shares that this node has lent from within the last minute.
    #[must_use]
    pub fn shares(&self) -> usize {
        self.state.lock().owner.len()
    }

    /// Workspaces for which this node borrows.
    #[must_use]
    pub fn borrowers(&self) -> usize {
        self.state.lock().borrowers.len()
    }

    /// The state, with members and limits as they are now.
    fn refreshed(&self, now: Instant) -> parking_lot::MutexGuard<'_, State> {
        let members = Arc::clone(&self.context.members.borrow());
        let catalogue = Arc::clone(&self.context.catalogue.borrow());
        let mut state = self.state.lock();
        if state.ownership.update_members(&members) {
            state.owner.owners_changed(now);
        }
        state.ownership.update_catalogue(&catalogue);
        state
    }

    fn lend(&self, state: &mut State, ask: &AllowanceAsk, now: Instant) -> Option<AllowanceLoan> {
        let limit = state.ownership.limit(ask.workspace)?;
        let loan = state.owner.lend(ask, limit, now);
        let tokens = u64::from(loan.tokens);
        self.counts.lent.fetch_add(tokens, Ordering::Relaxed);
        Some(loan)
    }

    /// Grants tokens to the requests that wait and asks for more, until nothing is left to do at the moment.
    fn advance(&self, state: &mut State, workspace: WorkspaceHash, now: Instant) {
        let placement = state.ownership.placement(workspace);
        loop {
            let State {
                borrowers,
                next_question,
                ..
            } = state;
            let Some(borrowing) = borrowers.get_mut(&workspace) else {
                return;
            };
            borrowing.grant(now);
            let step = borrowing.borrower.step(placement.order, next_question, now);
            let (share, ask) = match step {
                BorrowerStep::Ask {
                    share,
                    question,
                    needed,
                    ahead,
                } => {
                    let ask = AllowanceAsk {
                        question,
                        workspace,
                        share: u8::try_from(share).unwrap_or(u8::MAX),
                        needed,
                        ahead,
                    };
                    (share, ask)
                }
                BorrowerStep::Deny(denial) => return borrowing.deny(denial, now),
                BorrowerStep::WaitUntil(_) | BorrowerStep::Idle => return,
            };
            match placement.owners[share] {
                Some(Place::Local) => {
                    let loan = self.lend(state, &ask, now);
                    if let (Some(loan), Some(borrowing)) =
                        (loan, state.borrowers.get_mut(&workspace))
                    {
                        borrowing.borrower.answer(&loan, now);
                    } else {
                        return;
                    }
                }
                Some(Place::Remote(address)) => {
                    self.counts.asked.fetch_add(1, Ordering::Relaxed);
                    (self.context.send)(address, DatagramKind::AllowanceAsk(ask));
                    return;
                }
                None => return,
            }
        }
    }

    fn denied(&self, denial: Denial) -> Denial {
        self.counts.denied.fetch_add(1, Ordering::Relaxed);
        denial
    }
}

impl State {
    fn borrowing(&mut self, workspace: WorkspaceHash, now: Instant) -> &mut Borrowing {
        if self.borrowers.len() >= MAX_BORROWERS {
            self.borrowers
                .retain(|_, borrowing| !borrowing.borrower.is_idle(now));
        }
        self.borrowers
            .entry(workspace)
            .or_insert_with(|| Borrowing {
                borrower: Borrower::new(now),
                queue: VecDeque::new(),
            })
    }
}

impl Borrowing {
    /// Grants tokens to the requests that have waited longest. The token of a caller that has left goes to the next.
    fn grant(&mut self, now: Instant) {
        while self.borrower.grant_waiting(now) {
            let sender = self.queue.pop_front();
            if sender.is_none_or(|sender| sender.send(Ok(())).is_err()) {
                self.borrower.give_back(now);
            }
        }
    }

    fn deny(&mut self, denial: Denial, now: Instant) {
        self.borrower.denied(now);
        for sender in self.queue.drain(..) {
            // A caller that has left needs no answer.
            let _ = sender.send(Err(denial));
        }
    }
}

//! Allowances of workspaces: the bound over all nodes, and service within it, while nodes and messages fail.

#![allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)] // Counts of the model are small.
#![allow(clippy::needless_pass_by_value)] // quickcheck passes arguments by value

mod network;

use {
    jujubeline_coordination::{
        allowance::{
            AllowanceAsk, AllowanceLoan, AllowanceOwner, Borrower, BorrowerStep, Denial, LOAN_TIME,
            MIN_EMPTY_TIME, OWNER_DELAY, REPLY_TIMEOUT, SHARES, ShareLimit, share_owners,
            workspace_hash,
        },
        membership::Presence,
    },
    jujubeline_core::cases,
    quickcheck::{Arbitrary, Gen, QuickCheck},
    rand::{Rng, SeedableRng, rngs::StdRng},
    std::time::{Duration, Instant},
};

const NODES: usize = 6;
const STEP: Duration = Duration::from_millis(10);
const WINDOW: Duration = Duration::from_secs(5);
const RATE_PER_S: f64 = 200.0;
const BURST: u32 = 200;

/// Largest number of requests in a window that the operators accept: a tenth and 20 requests above the allowance.
fn bound() -> usize {
    let allowance = RATE_PER_S * WINDOW.as_secs_f64() + f64::from(BURST);
    (allowance * 1.1 + 20.0) as usize
}

/// One day of six nodes, three of which own a share each, with faults drawn from a seed.
#[derive(Debug, Clone)]
struct Day {
    seed: u64,
    /// Requests per second at each node, by second.
    demand: Vec<[u8; NODES]>,
    /// Share of the messages that are lost, in percent, and that are sent twice.
    lost: u8,
    doubled: u8,
    /// Latest delay of a message, in steps.
    delay: u8,
    /// Node, second and number of steps of a pause, a cut or a restart.
    paused: Option<(u8, u8, u8)>,
    cut: Option<(u8, u8, u8)>,
    killed: Option<(u8, u8)>,
    all_killed: Option<u8>,
}

fn one_of(g: &mut Gen, values: &[u8]) -> u8 {
    *g.choose(values).expect("not empty")
}

impl Arbitrary for Day {
    fn arbitrary(g: &mut Gen) -> Self {
        let span = |g: &mut Gen| {
            let at = u8::arbitrary(g) % 12;
            bool::arbitrary(g).then(|| (u8::arbitrary(g) % 6, at, u8::arbitrary(g)))
        };
        Self {
            seed: u64::arbitrary(g),
            demand: (0..12)
                .map(|_| std::array::from_fn(|_| one_of(g, &[0, 20, 60, 99, 99])))
                .collect(),
            lost: one_of(g, &[0, 0, 5, 30]),
            doubled: one_of(g, &[0, 10, 50]),
            delay: one_of(g, &[0, 1, 2, 4, 30]),
            paused: span(g),
            cut: span(g),
            killed: span(g).map(|(node, at, _)| (node, at)),
            all_killed: span(g).map(|(_, at, _)| at),
        }
    }
}

#[derive(Debug, Clone, Copy)]
enum Message {
    Ask(AllowanceAsk),
    Loan(AllowanceLoan),
}

struct Fleet {
    owners: Vec<AllowanceOwner>,
    borrowers: Vec<Borrower>,
    /// Messages in flight: time of arrival, sender, receiver.
    messages: Vec<(Instant, usize, usize, Message)>,
    next_question: u64,
    rng: StdRng,
    served: Vec<Instant>,
    refused: usize,
}

impl Fleet {
    fn new(seed: u64, now: Instant) -> Self {
        Self {
            owners: (0..NODES).map(|_| AllowanceOwner::new(now)).collect(),
            borrowers: (0..NODES).map(|_| Borrower::new(now)).collect(),
            messages: Vec::new(),
            next_question: 0,
            rng: StdRng::seed_from_u64(seed),
            served: Vec::new(),
            refused: 0,
        }
    }

    fn restart(&mut self, node: usize, now: Instant) {
        self.owners[node] = AllowanceOwner::new(now);
        self.borrowers[node] = Borrower::new(now);
    }

    fn send(&mut self, day: &Day, from: usize, to: usize, message: Message, now: Instant) {
        let copies = 1 + usize::from(self.rng.random_range(0..100) < day.doubled);
        for _ in 0..copies {
            if from == to || self.rng.random_range(0..100) >= day.lost {
                let steps = if from == to {
                    0
                } else {
                    self.rng.random_range(0..=u32::from(day.delay))
                };
                self.messages.push((now + STEP * steps, from, to, message));
            }
        }
    }

    fn arrive(&mut self, node: usize, now: Instant) {
        match self.borrowers[node].arrive(now) {
            Ok(true) => self.served.push(now),
            Ok(false) => {}
            Err(_) => self.refused += 1,
        }
    }

    fn deliver(&mut self, day: &Day, is_out: impl Fn(usize) -> bool, now: Instant) {
        let (due, later): (Vec<_>, Vec<_>) =
            self.messages.drain(..).partition(|(at, ..)| *at <= now);
        self.messages = later;
        for (_, from, to, message) in due {
            if from != to && (is_out(from) || is_out(to)) {
                continue;
            }
            match message {
                Message::Ask(ask) => {
                    let limit = ShareLimit::of_allowance(RATE_PER_S, BURST);
                    let loan = self.owners[to].lend(&ask, limit, now);
                    self.send(day, to, from, Message::Loan(loan), now);
                }
                Message::Loan(loan) => self.borrowers[to].answer(&loan, now),
            }
        }
    }

    /// Lets the borrower of a node act until it waits.
    fn act(&mut self, day: &Day, node: usize, now: Instant) {
        while self.borrowers[node].grant_waiting(now) {
            self.served.push(now);
        }
        let order = std::array::from_fn(|share| (share + node) % SHARES);
        let step = self.borrowers[node].step(order, &mut self.next_question, now);
        match step {
            BorrowerStep::Ask {
                share,
                question,
                needed,
                ahead,
            } => {
                let ask = AllowanceAsk {
                    question,
                    workspace: 7,
                    share: share as u8,
                    needed,
                    ahead,
                };
                self.send(day, node, share, Message::Ask(ask), now);
            }
            BorrowerStep::Deny(_) => {
                self.refused += 1;
                self.borrowers[node].denied(now);
            }
            BorrowerStep::WaitUntil(_) | BorrowerStep::Idle => {}
        }
    }

    /// Most requests served in any window.
    fn peak(&self) -> usize {
        let mut served = self.served.clone();
        served.sort();
        (0..served.len())
            .map(|first| {
                let end = served[first] + WINDOW;
                served.partition_point(|at| *at < end) - first
            })
            .max()
            .unwrap_or(0)
    }
}

fn play(day: &Day) -> Fleet {
    let start = Instant::now();
    let mut fleet = Fleet::new(day.seed, start);
    let begin = 300;
    for step in 0..(begin + day.demand.len() as u32 * 100) {
        let now = start + STEP * step;
        let second = step.saturating_sub(begin) / 100;
        let is_within = |span: Option<(u8, u8, u8)>, node: usize| {
            span.is_some_and(|(who, at, steps)| {
                let from = begin + u32::from(at) * 100;
                usize::from(who) == node && (from..from + u32::from(steps)).contains(&step)
            })
        };
        let is_paused = |node| is_within(day.paused, node);
        let is_out = |node| is_paused(node) || is_within(day.cut, node);
        for node in 0..NODES {
            let is_killed = day.killed.is_some_and(|(who, at)| {
                usize::from(who) == node && step == begin + u32::from(at) * 100
            });
            let are_all = day
                .all_killed
                .is_some_and(|at| step == begin + u32::from(at) * 100 + 50);
            if is_killed || are_all {
                fleet.restart(node, now);
            }
        }
        fleet.deliver(day, is_out, now);
        for node in 0..NODES {
            if is_paused(node) {
                continue;
            }
            let per_s = u32::from(day.demand[second as usize][node]);
            if step >= begin && fleet.rng.random_range(0..100) < per_s {
                fleet.arrive(node, now);
            }
            fleet.act(day, node, now);
            fleet.deliver(day, is_out, now);
            fleet.act(day, node, now);
        }
    }
    fleet
}

/// Guards against an allowance that is exceeded while messages are late, lost or doubled, and owners and borrowers are
/// paused, cut off, killed or all restarted at once.
#[test]
fn no_window_exceeds_the_allowance() {
    fn holds(day: Day) -> bool {
        play(&day).peak() <= bound()
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(holds as fn(Day) -> bool);
}

/// A day without faults, whose demand lies within the allowance.
fn calm(demand: impl Fn(usize) -> [u8; NODES]) -> Day {
    Day {
        seed: 11,
        demand: (0..12).map(demand).collect(),
        lost: 0,
        doubled: 0,
        delay: 1,
        paused: None,
        cut: None,
        killed: None,
        all_killed: None,
    }
}

cases! {
    /// Guards against a workspace that is refused although it stays within its allowance: spread over nodes, at one
    /// node only, moving between nodes within a second, or with one owner of three gone.
    fn requests_within_the_allowance_are_served(day: Day, refused: usize) {
        let fleet = play(&day);
        assert!(fleet.refused <= refused, "{} refused", fleet.refused);
        assert!(fleet.served.len() > 200, "{} served", fleet.served.len());
    }
    spread: (calm(|_| [20; NODES]), 0),
    spread_near_the_limit: (calm(|_| [31; NODES]), 0),
    at_two_nodes_near_the_limit: (calm(|_| [93, 93, 0, 0, 0, 0]), 0),
    at_one_node: (calm(|_| [0, 0, 0, 0, 99, 0]), 0),
    moving: (calm(|second| std::array::from_fn(|node| if node == second % NODES { 99 } else { 0 })), 0),
    one_owner_cut_off: (Day { cut: Some((1, 0, 255)), ..calm(|_| [20, 0, 20, 20, 20, 20]) }, 0),
}

/// Guards against a burst after calm that is refused although the workspace has saved it up, at a node without any
/// tokens.
#[test]
fn burst_after_calm_is_served_at_one_node() {
    let start = Instant::now();
    let mut fleet = Fleet::new(3, start);
    let now = start + OWNER_DELAY + Duration::from_secs(3);
    for _ in 0..BURST {
        fleet.arrive(4, now);
    }
    let day = calm(|_| [0; NODES]);
    for step in 0..20 {
        let now = now + STEP * step;
        fleet.act(&day, 4, now);
        fleet.deliver(&day, |_| false, now);
    }
    assert_eq!((fleet.served.len(), fleet.refused), (BURST as usize, 0));
}

fn ask(needed: u32, ahead: u32) -> AllowanceAsk {
    AllowanceAsk {
        question: 1,
        workspace: 7,
        share: 0,
        needed,
        ahead,
    }
}

/// Guards against an owner that lends a full bucket right after its start, when the previous process may have lent the
/// same tokens.
#[test]
fn owner_begins_empty_after_its_delay() {
    let start = Instant::now();
    let limit = ShareLimit::of_allowance(30.0, 30);
    let mut owner = AllowanceOwner::new(start);
    let early = owner.lend(&ask(5, 0), limit, start + OWNER_DELAY / 2);
    assert_eq!((early.tokens, early.retry_after), (0, OWNER_DELAY / 2));
    let later = owner.lend(
        &ask(50, 0),
        limit,
        start + OWNER_DELAY + Duration::from_millis(500),
    );
    assert_eq!(later.tokens, 5);
    assert_eq!(later.retry_after, Duration::from_millis(100));
}

/// Guards against a limit that is lowered and keeps the tokens of the higher one.
#[test]
fn lowered_limit_cuts_the_bucket() {
    let start = Instant::now();
    let mut owner = AllowanceOwner::new(start);
    let high = ShareLimit::of_allowance(300.0, 300);
    let now = start + OWNER_DELAY + Duration::from_secs(5);
    assert_eq!(owner.lend(&ask(1, 0), high, now).tokens, 1);
    let low = ShareLimit::of_allowance(3.0, 3);
    assert_eq!(owner.lend(&ask(100, 0), low, now).tokens, 3);
}

/// Guards against tokens lent ahead that are missing where requests wait.
#[test]
fn tokens_ahead_come_from_the_upper_half_only() {
    let start = Instant::now();
    let mut owner = AllowanceOwner::new(start);
    let limit = ShareLimit::of_allowance(30.0, 30);
    let now = start + OWNER_DELAY + Duration::from_secs(5);
    assert_eq!(owner.lend(&ask(1, 100), limit, now).tokens, 6);
    assert_eq!(owner.lend(&ask(0, 100), limit, now).tokens, 0);
}

fn asked(borrower: &mut Borrower, next: &mut u64, now: Instant) -> Option<(usize, u64)> {
    match borrower.step([0, 1, 2], next, now) {
        BorrowerStep::Ask {
            share, question, ..
        } => Some((share, question)),
        _ => None,
    }
}

/// Guards against tokens that are used after their time: by a borrower that was paused, or from an answer that was late
/// or came twice.
#[test]
fn tokens_run_out_and_answers_count_once() {
    let start = Instant::now();
    let (mut borrower, mut next) = (Borrower::new(start), 0);
    assert_eq!(borrower.arrive(start), Ok(false));
    let (_, question) = asked(&mut borrower, &mut next, start).expect("a question");
    let loan = AllowanceLoan {
        question,
        workspace: 7,
        tokens: 3,
        retry_after: Duration::ZERO,
    };
    borrower.answer(&loan, start);
    borrower.answer(&loan, start);
    assert_eq!(borrower.tokens(start), 3);
    assert!(borrower.grant_waiting(start));
    assert_eq!(borrower.tokens(start + LOAN_TIME), 0);
    assert_eq!(borrower.arrive(start + LOAN_TIME), Ok(false));
    let (_, late) = asked(&mut borrower, &mut next, start + LOAN_TIME).expect("a question");
    let after = start + LOAN_TIME * 2;
    borrower.answer(
        &AllowanceLoan {
            question: late,
            ..loan
        },
        after,
    );
    assert!(!borrower.grant_waiting(after));
}

/// Guards against a refusal that blames the allowance although an owner has not answered, and against one that blames
/// silence although all owners have said that nothing is left.
#[test]
fn denial_states_what_is_known() {
    let start = Instant::now();
    let (mut borrower, mut next) = (Borrower::new(start), 0);
    assert_eq!(borrower.arrive(start), Ok(false));
    let mut now = start;
    for share in 0..SHARES {
        let (asked_share, question) = asked(&mut borrower, &mut next, now).expect("a question");
        assert_eq!(asked_share, share);
        let empty = AllowanceLoan {
            question,
            workspace: 7,
            tokens: 0,
            retry_after: Duration::from_millis(200),
        };
        borrower.answer(&empty, now);
    }
    let step = borrower.step([0, 1, 2], &mut next, now);
    let used_up = Denial::UsedUp(Duration::from_millis(200));
    assert_eq!(step, BorrowerStep::Deny(used_up));
    borrower.denied(now);
    now += Duration::from_millis(200).max(MIN_EMPTY_TIME);
    assert_eq!(borrower.arrive(now), Ok(false));
    for _ in 0..SHARES {
        asked(&mut borrower, &mut next, now).expect("a question");
        now += REPLY_TIMEOUT;
    }
    let step = borrower.step([0, 1, 2], &mut next, now);
    assert_eq!(step, BorrowerStep::Deny(Denial::Unknown));
}

/// Guards against shares that move when an owner is only suspect or out of reach, so that a share has two owners.
#[test]
fn owners_do_not_depend_on_who_is_reachable() {
    let mut members: Vec<_> = (0..9).map(|number| network::member(number, 3)).collect();
    let workspace = workspace_hash("acme");
    let owners =
        |members: &[_]| share_owners(workspace, members).map(|one| one.map(|m| m.node.clone()));
    let before = owners(&members);
    let places = share_owners(workspace, &members).map(|one| one.map(|m| m.data_centre.clone()));
    let distinct: std::collections::BTreeSet<_> = places.into_iter().collect();
    assert_eq!(distinct.len(), SHARES);
    for member in &mut members {
        if Some(&member.node) == before[0].as_ref() {
            member.presence = Presence::Unreachable;
        }
    }
    assert_eq!(owners(&members), before);
    members.retain(|member| Some(&member.node) != before[0].as_ref());
    let after = owners(&members);
    assert_ne!(after[0], before[0]);
    assert_eq!(after[1..], before[1..]);
}

/// Guards against callers of a workspace far above its allowance who are all told to return for the next token.
#[test]
fn denial_states_when_the_backlog_is_served() {
    let start = Instant::now();
    let (mut borrower, mut next) = (Borrower::new(start), 0);
    let mut last = Duration::ZERO;
    for step in 0..100 {
        let now = start + STEP * step;
        assert_eq!(borrower.arrive(now), Ok(false));
        while let Some((_, question)) = asked(&mut borrower, &mut next, now) {
            // One caller of four gets a token.
            let tokens = u32::from(step % 4 == 0);
            let loan = AllowanceLoan {
                question,
                workspace: 7,
                tokens,
                retry_after: Duration::from_millis(u64::from(1 - tokens)),
            };
            borrower.answer(&loan, now);
            if borrower.grant_waiting(now) {
                break;
            }
        }
        if let BorrowerStep::Deny(Denial::UsedUp(after)) = borrower.step([0, 1, 2], &mut next, now)
        {
            borrower.denied(now);
            last = after;
        }
    }
    assert!(
        last >= Duration::from_secs(2) && last <= Duration::from_secs(5),
        "{last:?}"
    );
}

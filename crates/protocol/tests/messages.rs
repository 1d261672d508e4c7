//! Round trips and limits of the messages between nodes.

#![allow(clippy::needless_pass_by_value)] // quickcheck passes arguments by value

use {
    capnp::message::Builder,
    jujubeline_catalogue::{
        Allowance, Difference, Entry, MAX_ENTRIES, Preference, Rate, ServiceLimit, ServiceLimits,
        Workspace, WorkspaceChanges,
    },
    jujubeline_coordination::{
        allowance::{AllowanceAsk, AllowanceLoan},
        claims::{
            AttemptId, Claim, ClaimReply, Completed, Fence, FenceReply, GateId, KeyHash,
            OwnerRecords, RecordCopy, RecordOutcome, RegisteredGate, Resolve, ResolveResult, Run,
        },
        membership::{
            CrashReport, Datagram, DatagramKind, MAX_DATAGRAM_BYTES, Member, Presence,
            PresenceClaim, TargetState, Update,
        },
    },
    jujubeline_core::{Class, KeyDigest, NotRunProof, Refusal, RefusalReason, cases},
    jujubeline_protocol::{
        MAX_RECORDS_PER_LIST, MAX_RPC_WORDS, ProtocolError,
        claims::{
            ClaimAnswer, read_claim, read_claim_answer, read_claim_reply, read_completed,
            read_fence, read_fence_reply, read_resolve, read_resolve_result, write_claim,
            write_claim_answer, write_claim_reply, write_completed, write_fence, write_fence_reply,
            write_resolve, write_resolve_result,
        },
        decode_datagram, encode_datagram,
        node_capnp::{
            claim, claim_answer, claim_reply, completed, difference, fence, fence_reply, resolve,
            resolve_result,
        },
        read_difference, write_difference,
    },
    quickcheck::{Arbitrary, Gen, QuickCheck},
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

fn name(g: &mut Gen) -> Arc<str> {
    let len = usize::arbitrary(g) % 40 + 1;
    (0..len)
        .map(|_| char::from(b'a' + u8::arbitrary(g) % 26))
        .collect::<String>()
        .into()
}

fn address(g: &mut Gen) -> SocketAddr {
    if bool::arbitrary(g) {
        SocketAddr::new(u32::arbitrary(g).to_be_bytes().into(), u16::arbitrary(g))
    } else {
        SocketAddr::new(u128::arbitrary(g).to_be_bytes().into(), u16::arbitrary(g))
    }
}

fn member(g: &mut Gen) -> Member {
    Member {
        node: name(g),
        incarnation: u64::arbitrary(g),
        update: u64::arbitrary(g),
        data_address: address(g),
        control_address: address(g),
        data_centre: name(g),
        region: name(g),
        service: name(g),
        target_state: *g
            .choose(&[
                TargetState::Cold,
                TargetState::Ready,
                TargetState::Draining,
                TargetState::Gone,
            ])
            .expect("not empty"),
        slots: u32::arbitrary(g),
        catalogue_revision: u64::arbitrary(g),
        presence: presence(g),
        platform_unreachable: bool::arbitrary(g),
    }
}

fn presence(g: &mut Gen) -> Presence {
    *g.choose(&[
        Presence::Alive,
        Presence::Suspect,
        Presence::Unreachable,
        Presence::Dead,
        Presence::Left,
    ])
    .expect("not empty")
}

fn update(g: &mut Gen) -> Update {
    if bool::arbitrary(g) {
        return Update::Described(Arc::new(member(g)));
    }
    Update::Claimed(PresenceClaim {
        node: name(g),
        incarnation: u64::arbitrary(g),
        update: u64::arbitrary(g),
        presence: presence(g),
        reporter: name(g),
    })
}

#[derive(Debug, Clone)]
struct AnyDatagram(Datagram);

impl Arbitrary for AnyDatagram {
    fn arbitrary(g: &mut Gen) -> Self {
        let kinds = [
            DatagramKind::Ping,
            DatagramKind::PingReq(address(g)),
            DatagramKind::Ack,
            DatagramKind::Nack,
            DatagramKind::Hint,
            DatagramKind::AllowanceAsk(AllowanceAsk {
                question: u64::arbitrary(g),
                workspace: u64::arbitrary(g),
                share: u8::arbitrary(g),
                needed: u32::arbitrary(g),
                ahead: u32::arbitrary(g),
            }),
            DatagramKind::AllowanceLoan(AllowanceLoan {
                question: u64::arbitrary(g),
                workspace: u64::arbitrary(g),
                tokens: u32::arbitrary(g),
                retry_after: Duration::from_millis(u32::arbitrary(g).into()),
            }),
        ];
        Self(Datagram {
            sender: name(g),
            incarnation: u64::arbitrary(g),
            catalogue_revision: u64::arbitrary(g),
            sequence: u64::arbitrary(g),
            kind: *g.choose(&kinds).expect("not empty"),
            updates: (0..u8::arbitrary(g) % 4).map(|_| update(g)).collect(),
            crashes: (0..u8::arbitrary(g) % 4)
                .map(|_| CrashReport {
                    crash: u64::arbitrary(g),
                    fingerprint: u64::arbitrary(g),
                    is_cleared: bool::arbitrary(g),
                    age: Duration::from_secs(u64::from(u16::arbitrary(g))),
                })
                .collect(),
        })
    }
}

/// Guards against a field that encoding and decoding lose or change, and against a size estimate that is too low, which
/// would produce datagrams above the limit.
#[test]
fn datagrams_round_trip_within_their_size_estimate() {
    fn check(datagram: AnyDatagram) -> bool {
        let bytes = match encode_datagram(&datagram.0) {
            Ok(bytes) => bytes,
            Err(ProtocolError::TooLarge { .. }) => {
                return datagram.0.max_bytes() > MAX_DATAGRAM_BYTES;
            }
            Err(error) => panic!("{error}"),
        };
        assert!(
            bytes.len() <= datagram.0.max_bytes(),
            "{} bytes, estimate {}: {datagram:?}",
            bytes.len(),
            datagram.0.max_bytes()
        );
        decode_datagram(&bytes)
            .is_ok_and(|decoded| decoded.value == datagram.0 && decoded.unreadable.is_empty())
    }
    QuickCheck::new()
        .tests(20_000)
        .quickcheck(check as fn(AnyDatagram) -> bool);
}

/// Guards against a panic or an endless read on bytes from a faulty or malicious peer.
#[test]
fn malformed_datagrams_fail_without_panic() {
    fn random_bytes(bytes: Vec<u8>) -> bool {
        let _ = decode_datagram(&bytes);
        true
    }
    fn damaged(datagram: AnyDatagram, at: usize, to: u8, cut: bool) -> bool {
        let Ok(mut bytes) = encode_datagram(&datagram.0) else {
            return true;
        };
        let at = at % bytes.len();
        if cut {
            bytes.truncate(at);
            return decode_datagram(&bytes).is_err();
        }
        bytes[at] = to;
        let _ = decode_datagram(&bytes);
        true
    }
    QuickCheck::new()
        .tests(20_000)
        .quickcheck(random_bytes as fn(Vec<u8>) -> bool);
    QuickCheck::new()
        .tests(20_000)
        .quickcheck(damaged as fn(AnyDatagram, usize, u8, bool) -> bool);
}

fn sent_by(sender: &str) -> Datagram {
    Datagram {
        sender: sender.into(),
        incarnation: 1,
        catalogue_revision: 1,
        sequence: 1,
        kind: DatagramKind::Ping,
        updates: Vec::new(),
        crashes: Vec::new(),
    }
}

cases! {
    /// Guards against a name that breaks log lines or tables.
    fn refuses_name(sender: String) {
        let bytes = encode_datagram(&sent_by(&sender)).expect("fits");
        assert!(decode_datagram(&bytes).is_err());
    }
    empty_name: (String::new()),
    long_name: ("n".repeat(65)),
    control_character: ("a\nb".to_owned()),
}

/// Guards against a small datagram that unpacks to a large message: in packed form, 2 bytes stand for 2 KiB of zeros.
#[test]
fn datagram_that_unpacks_beyond_the_limit_is_rejected() {
    let mut bytes = vec![0x10, 0xff, 0xff, 0x0f];
    for _ in 0..500 {
        bytes.extend([0x00, 0xff]);
    }
    assert!(decode_datagram(&bytes).is_err());
}

fn entry(name: &str) -> Entry {
    Entry {
        name: name.into(),
        owner: "bookkeeper".to_owned(),
        host: None,
        method: "POST".to_owned(),
        path_prefix: "/wages/".to_owned(),
        service: "payroll".into(),
        split: Vec::new(),
        class: Class::Critical,
        deadline_ms: 5_000,
        retry_bound: 2,
        max_attempts: None,
        concurrency: 95,
        at_most_once: true,
        keyed: true,
        public: false,
        prefer: Preference::Recovery,
        unreadable: true,
    }
}

fn workspace_changes() -> WorkspaceChanges {
    let workspace = |name: &str, allowance| Workspace {
        name: name.into(),
        keys_sha256: vec![KeyDigest::of(name.as_bytes()), KeyDigest::of(b"second")],
        priority: 2,
        allowance,
    };
    let allowance = Allowance {
        rate_per_s: Rate::from_thousandths(2_500),
        burst: 40,
    };
    WorkspaceChanges {
        keys_required: true,
        set: vec![
            (6, workspace("fillers", Some(allowance))),
            (7, workspace("packers", None)),
        ],
        removed: vec![(8, "weavers".into())],
    }
}

/// Guards against an entry that encoding and decoding change, and against a difference above the bound.
#[test]
fn differences_round_trip_and_are_bounded() {
    let sent = Difference {
        from: 3,
        to: 9,
        set: vec![(5, entry("wages")), (9, entry("bonuses"))],
        removed: vec![(7, "old".into())],
        retired: vec![(8, "payroll-4".into())],
        reinstated: vec![(9, "payroll-1".into())],
        services: Some(ServiceLimits {
            revision: 4,
            limits: Arc::new([ServiceLimit {
                service: "payroll".into(),
                connections: 660,
                health_path: Some("/health".to_owned()),
            }]),
        }),
        workspaces: workspace_changes(),
    };
    let mut message = Builder::new_default();
    write_difference(message.init_root::<difference::Builder<'_>>(), &sent).expect("fits");
    let reader = message
        .get_root_as_reader::<difference::Reader<'_>>()
        .expect("root");
    assert_eq!(read_difference(reader), Ok(sent));

    let mut message = Builder::new_default();
    message
        .init_root::<difference::Builder<'_>>()
        .init_removed(18_000);
    let reader = message
        .get_root_as_reader::<difference::Reader<'_>>()
        .expect("root");
    assert!(matches!(
        read_difference(reader),
        Err(ProtocolError::TooLarge { .. })
    ));
}

/// Guards against a catalogue that a node accepts and cannot pass on, because the difference with all its entries
/// exceeds a limit of the message.
#[test]
fn largest_catalogue_fits_into_a_message() {
    let named = |number: u64| (number, entry(&format!("wages-of-the-week-{number}")));
    let sent = Difference {
        from: 0,
        to: 20_000,
        set: (1..=MAX_ENTRIES as u64).map(named).collect(),
        removed: Vec::new(),
        retired: Vec::new(),
        reinstated: Vec::new(),
        services: None,
        workspaces: WorkspaceChanges::default(),
    };
    let mut message = Builder::new_default();
    write_difference(message.init_root::<difference::Builder<'_>>(), &sent).expect("fits");
    let words = message
        .get_segments_for_output()
        .iter()
        .map(|segment| segment.len() / 8)
        .sum::<usize>();
    assert!(words < MAX_RPC_WORDS, "{words} words");
    let reader = message
        .get_root_as_reader::<difference::Reader<'_>>()
        .expect("root");
    assert_eq!(read_difference(reader), Ok(sent));
}

fn gate(node: &str) -> GateId {
    GateId {
        node: node.into(),
        incarnation: 77,
    }
}

const ID: AttemptId = AttemptId {
    epoch: 4,
    attempt: 2,
};

const KEY: KeyHash = 0x0123_4567_89ab_cdef_0011_2233_4455_6677;

fn run() -> Run {
    Run {
        shard: 63,
        key: KEY,
        fingerprint: 9,
        id: ID,
    }
}

fn ask(id: Option<AttemptId>) -> Resolve {
    Resolve {
        gate: gate("payroll-2"),
        shard: 63,
        epoch: 4,
        key: KEY,
        fingerprint: 9,
        id,
    }
}

cases! {
    /// Guards against a claim reply that encoding and decoding change, above all a proven "not run".
    fn claim_reply_round_trips(reply: ClaimReply) {
        let mut message = Builder::new_default();
        write_claim_reply(message.init_root::<claim_reply::Builder<'_>>(), &reply);
        let reader = message
            .get_root_as_reader::<claim_reply::Reader<'_>>()
            .expect("root");
        assert_eq!(read_claim_reply(reader), Ok(reply));
    }
    authorised: (ClaimReply::Run { gate: gate("payroll-2"), run: run() }),
    answered: (ClaimReply::Answered { gate: gate("payroll-2") }),
    confirm_not_run: (ClaimReply::ConfirmNotRun {
        ask: ask(None),
        refusal: Refusal::not_run(NotRunProof::NoRecordAtOwner, RefusalReason::NoTarget),
    }),
    not_run: (ClaimReply::Refused(
        Refusal::not_run(NotRunProof::RefusedByGate, RefusalReason::RecordsFull)
            .with_retry_after(Duration::from_millis(250))
    )),
    ran: (ClaimReply::Refused(Refusal::ran(RefusalReason::AnswerExpired))),
    unknown: (ClaimReply::Refused(Refusal::unknown(RefusalReason::FenceIncomplete))),
}

cases! {
    /// Guards against a reply to `resolve` that encoding and decoding change.
    fn resolve_result_round_trips(result: ResolveResult) {
        let mut message = Builder::new_default();
        write_resolve_result(message.init_root::<resolve_result::Builder<'_>>(), result);
        let reader = message
            .get_root_as_reader::<resolve_result::Reader<'_>>()
            .expect("root");
        assert_eq!(read_resolve_result(reader), Ok(result));
    }
    resolved_not_run: (ResolveResult::Known(RecordOutcome::NotRun)),
    resolved_running: (ResolveResult::Known(RecordOutcome::Running)),
    resolved_stale: (ResolveResult::Stale(12)),
    resolved_full: (ResolveResult::Full),
}

/// Guards against a claim, a `resolve` request with or without an attempt, or a completion report that encoding and
/// decoding change.
#[test]
fn claim_requests_round_trip() {
    let sent = Claim {
        key: KEY,
        fingerprint: 9,
        entry_data_centre: "dalat-1".into(),
        avoid: Some("payroll-1".into()),
    };
    let mut message = Builder::new_default();
    write_claim(message.init_root::<claim::Builder<'_>>(), &sent);
    let reader = message
        .get_root_as_reader::<claim::Reader<'_>>()
        .expect("root");
    assert_eq!(read_claim(reader), Ok(sent));
    for sent in [ask(None), ask(Some(ID))] {
        let mut message = Builder::new_default();
        write_resolve(message.init_root::<resolve::Builder<'_>>(), &sent);
        let reader = message
            .get_root_as_reader::<resolve::Reader<'_>>()
            .expect("root");
        assert_eq!(read_resolve(reader), Ok(sent));
    }
    let sent = Completed {
        shard: 63,
        key: KEY,
        id: ID,
        outcome: RecordOutcome::Failed,
    };
    let mut message = Builder::new_default();
    write_completed(message.init_root::<completed::Builder<'_>>(), &sent);
    let reader = message
        .get_root_as_reader::<completed::Reader<'_>>()
        .expect("root");
    assert_eq!(read_completed(reader), Ok(sent));
}

/// Guards against records for the next owner that encoding and decoding change, and against more records than a message
/// may hold.
#[test]
fn fence_replies_round_trip_and_are_bounded() {
    let record = |outcome| RecordCopy {
        key: KEY,
        fingerprint: 9,
        id: ID,
        outcome,
        holder: gate("payroll-1"),
    };
    let mut sent = FenceReply {
        gate: gate("payroll-2"),
        shard: 63,
        epoch: 5,
        accepted: true,
        fence: 5,
        records: vec![record(RecordOutcome::Running), record(RecordOutcome::Done)],
        owner: Some(OwnerRecords {
            epoch: 4,
            complete: true,
            records: vec![record(RecordOutcome::Failed)],
        }),
    };
    let mut message = Builder::new_default();
    write_fence_reply(message.init_root::<fence_reply::Builder<'_>>(), &sent).expect("fits");
    let reader = message
        .get_root_as_reader::<fence_reply::Reader<'_>>()
        .expect("root");
    assert_eq!(read_fence_reply(reader).as_ref(), Ok(&sent));

    sent.records = vec![record(RecordOutcome::Done); MAX_RECORDS_PER_LIST + 1];
    let mut message = Builder::new_default();
    let written = write_fence_reply(message.init_root::<fence_reply::Builder<'_>>(), &sent);
    assert!(matches!(written, Err(ProtocolError::TooLarge { .. })));
}

fn registered(node: &str) -> RegisteredGate {
    RegisteredGate {
        gate: gate(node),
        control_address: "10.0.0.7:7302".parse().expect("address"),
        data_centre: "dalat-2".into(),
    }
}

cases! {
    /// Guards against an answer whose owner or gate is changed, which would send the entry node to a wrong node.
    fn claim_answer_round_trips(answer: ClaimAnswer) {
        let mut message = Builder::new_default();
        write_claim_answer(message.init_root::<claim_answer::Builder<'_>>(), &answer);
        let reader = message
            .get_root_as_reader::<claim_answer::Reader<'_>>()
            .expect("root");
        assert_eq!(read_claim_answer(reader), Ok(answer));
    }
    decided_with_gate: (ClaimAnswer::Decided {
        reply: ClaimReply::Run { gate: gate("payroll-2"), run: run() },
        gate: Some(registered("payroll-2")),
    }),
    decided_without_gate: (ClaimAnswer::Decided {
        reply: ClaimReply::Refused(Refusal::unknown(RefusalReason::InProgress)),
        gate: None,
    }),
    other_owner: (ClaimAnswer::Owner(registered("payroll-3"))),
    no_owner: (ClaimAnswer::NoOwner),
}

/// Guards against a fence that reaches the gate with a wrong owner or floor.
#[test]
fn fence_round_trips() {
    let sent = Fence {
        gate: gate("payroll-2"),
        shard: 63,
        epoch: 4,
        owner: gate("payroll-1"),
        floor: 12,
    };
    let mut message = Builder::new_default();
    write_fence(message.init_root::<fence::Builder<'_>>(), &sent);
    let reader = message
        .get_root_as_reader::<fence::Reader<'_>>()
        .expect("root");
    assert_eq!(read_fence(reader), Ok(sent));
}

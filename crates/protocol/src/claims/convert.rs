//! Conversion of at-most-once calls between the plain types and the Cap'n Proto messages.

use {
    super::{ClaimAnswer, HandOver},
    crate::{
        ProtocolError, address,
        bounds::{MAX_RECORDS_PER_LIST, check_size, list_len, name, text},
        node_capnp::{
            self, adopt, adopt_reply, attempt_id, claim, claim_answer, claim_reply, completed,
            decided, fence, fence_reply, gate_id, hand_over, key_hash, record_copy, refusal,
            registered_gate, resolve, resolve_result, run,
        },
    },
    capnp::struct_list,
    jujubeline_coordination::claims::{
        Adopt, AdoptReply, AttemptId, Claim, ClaimReply, Completed, Fence, FenceReply, GateId,
        KeyHash, OwnerRecords, RecordCopy, RecordOutcome, RegisteredGate, Resolve, ResolveResult,
        Run,
    },
    jujubeline_core::{NotRunProof, Outcome, Refusal, RefusalReason},
    std::time::Duration,
};

/// Length limit of the label of a refusal reason.
const MAX_LABEL_BYTES: usize = 64;

/// Writes a claim. The text `avoid` stays empty when no gate is to be avoided.
pub fn write_claim(mut builder: claim::Builder<'_>, claim: &Claim) {
    write_key(builder.reborrow().init_key(), claim.key);
    builder.set_fingerprint(claim.fingerprint);
    builder.set_entry_data_centre(&*claim.entry_data_centre);
    if let Some(avoid) = &claim.avoid {
        builder.set_avoid(&**avoid);
    }
}

/// Reads a claim.
///
/// # Errors
///
/// When the key is malformed, or the data centre or the gate to avoid is not a valid name.
pub fn read_claim(reader: claim::Reader<'_>) -> Result<Claim, ProtocolError> {
    let avoid = reader.get_avoid()?;
    Ok(Claim {
        key: read_key(reader.get_key()?),
        fingerprint: reader.get_fingerprint(),
        entry_data_centre: name("claim.entryDataCentre", reader.get_entry_data_centre()?)?,
        avoid: if avoid.is_empty() {
            None
        } else {
            Some(name("claim.avoid", avoid)?)
        },
    })
}

/// Writes the decision of the shard owner about a claim.
pub fn write_claim_reply(builder: claim_reply::Builder<'_>, reply: &ClaimReply) {
    match reply {
        ClaimReply::Run { gate, run } => {
            let mut authorised = builder.init_run();
            write_gate(authorised.reborrow().init_gate(), gate);
            write_run(authorised.init_run(), run);
        }
        ClaimReply::Answered { gate } => write_gate(builder.init_answered(), gate),
        ClaimReply::ConfirmNotRun { ask, refusal } => {
            let mut confirm = builder.init_confirm_not_run();
            write_resolve(confirm.reborrow().init_ask(), ask);
            write_refusal(confirm.init_refusal(), refusal);
        }
        ClaimReply::Refused(refusal) => write_refusal(builder.init_refused(), refusal),
    }
}

/// Reads the decision of the shard owner about a claim.
///
/// # Errors
///
/// When the variant is unknown, a gate has no valid name, or a refusal has an unknown reason or proof.
pub fn read_claim_reply(reader: claim_reply::Reader<'_>) -> Result<ClaimReply, ProtocolError> {
    Ok(match reader.which()? {
        claim_reply::Run(authorised) => {
            let authorised = authorised?;
            ClaimReply::Run {
                gate: read_gate(authorised.get_gate()?)?,
                run: read_run(authorised.get_run()?)?,
            }
        }
        claim_reply::Answered(gate) => ClaimReply::Answered {
            gate: read_gate(gate?)?,
        },
        claim_reply::ConfirmNotRun(confirm) => {
            let confirm = confirm?;
            ClaimReply::ConfirmNotRun {
                ask: read_resolve(confirm.get_ask()?)?,
                refusal: read_refusal(confirm.get_refusal()?)?,
            }
        }
        claim_reply::Refused(refusal) => ClaimReply::Refused(read_refusal(refusal?)?),
    })
}

/// Writes a node's answer to a claim: its decision, or the owner of the shard if that is another node.
pub fn write_claim_answer(mut builder: claim_answer::Builder<'_>, answer: &ClaimAnswer) {
    match answer {
        ClaimAnswer::Decided { reply, gate } => {
            let mut decided = builder.init_decided();
            write_claim_reply(decided.reborrow().init_reply(), reply);
            match gate {
                Some(gate) => write_registered_gate(decided.init_gate().init_some(), gate),
                None => decided.init_gate().set_none(()),
            }
        }
        ClaimAnswer::Owner(owner) => write_registered_gate(builder.init_owner(), owner),
        ClaimAnswer::NoOwner => builder.set_no_owner(()),
    }
}

/// Reads a node's answer to a claim.
///
/// # Errors
///
/// When the variant is unknown, or the reply or a registered gate in it is invalid.
pub fn read_claim_answer(reader: claim_answer::Reader<'_>) -> Result<ClaimAnswer, ProtocolError> {
    Ok(match reader.which()? {
        claim_answer::Decided(decided) => {
            let decided = decided?;
            ClaimAnswer::Decided {
                reply: read_claim_reply(decided.get_reply()?)?,
                gate: match decided.get_gate().which()? {
                    decided::gate::None(()) => None,
                    decided::gate::Some(gate) => Some(read_registered_gate(gate?)?),
                },
            }
        }
        claim_answer::Owner(owner) => ClaimAnswer::Owner(read_registered_gate(owner?)?),
        claim_answer::NoOwner(()) => ClaimAnswer::NoOwner,
    })
}

fn write_registered_gate(mut builder: registered_gate::Builder<'_>, gate: &RegisteredGate) {
    write_gate(builder.reborrow().init_gate(), &gate.gate);
    address::write(
        builder.reborrow().init_control_address(),
        gate.control_address,
    );
    builder.set_data_centre(&*gate.data_centre);
}

fn read_registered_gate(
    reader: registered_gate::Reader<'_>,
) -> Result<RegisteredGate, ProtocolError> {
    Ok(RegisteredGate {
        gate: read_gate(reader.get_gate()?)?,
        control_address: address::read(reader.get_control_address()?)?,
        data_centre: name("registeredGate.dataCentre", reader.get_data_centre()?)?,
    })
}

/// Writes the report to the shard owner that an attempt has ended.
pub fn write_completed(mut builder: completed::Builder<'_>, completed: &Completed) {
    builder.set_shard(completed.shard);
    write_key(builder.reborrow().init_key(), completed.key);
    write_id(builder.reborrow().init_id(), completed.id);
    builder.set_outcome(outcome_to_wire(completed.outcome));
}

/// Reads the report to the shard owner that an attempt has ended.
///
/// # Errors
///
/// When the key or the attempt is malformed, or the outcome is unknown.
pub fn read_completed(reader: completed::Reader<'_>) -> Result<Completed, ProtocolError> {
    Ok(Completed {
        shard: reader.get_shard(),
        key: read_key(reader.get_key()?),
        id: read_id(reader.get_id()?),
        outcome: read_outcome(reader.get_outcome()?),
    })
}

/// Writes the request that asks a gate for the outcome of an attempt. Without an attempt it only asks the gate to
/// confirm that the epoch is in effect.
pub fn write_resolve(mut builder: resolve::Builder<'_>, query: &Resolve) {
    write_gate(builder.reborrow().init_gate(), &query.gate);
    builder.set_shard(query.shard);
    builder.set_epoch(query.epoch);
    write_key(builder.reborrow().init_key(), query.key);
    builder.set_fingerprint(query.fingerprint);
    match query.id {
        Some(id) => write_id(builder.init_id().init_some(), id),
        None => builder.init_id().set_none(()),
    }
}

/// Reads the request that asks a gate for the outcome of an attempt.
///
/// # Errors
///
/// When the gate has no valid name, or the key or the attempt is malformed.
pub fn read_resolve(reader: resolve::Reader<'_>) -> Result<Resolve, ProtocolError> {
    Ok(Resolve {
        gate: read_gate(reader.get_gate()?)?,
        shard: reader.get_shard(),
        epoch: reader.get_epoch(),
        key: read_key(reader.get_key()?),
        fingerprint: reader.get_fingerprint(),
        id: match reader.get_id().which()? {
            resolve::id::None(()) => None,
            resolve::id::Some(id) => Some(read_id(id?)),
        },
    })
}

/// Writes a gate's reply to `resolve`.
pub fn write_resolve_result(mut builder: resolve_result::Builder<'_>, result: ResolveResult) {
    match result {
        ResolveResult::Known(outcome) => builder.set_known(outcome_to_wire(outcome)),
        ResolveResult::Stale(epoch) => builder.set_stale(epoch),
        ResolveResult::Full => builder.set_full(()),
    }
}

/// Reads a gate's reply to `resolve`.
///
/// # Errors
///
/// When the variant or the outcome is unknown.
pub fn read_resolve_result(
    reader: resolve_result::Reader<'_>,
) -> Result<ResolveResult, ProtocolError> {
    Ok(match reader.which()? {
        resolve_result::Known(outcome) => ResolveResult::Known(read_outcome(outcome?)),
        resolve_result::Stale(epoch) => ResolveResult::Stale(epoch),
        resolve_result::Full(()) => ResolveResult::Full,
    })
}

/// Writes a fence, which ends all lower epochs of a shard at a gate.
pub fn write_fence(mut builder: fence::Builder<'_>, fence: &Fence) {
    write_gate(builder.reborrow().init_gate(), &fence.gate);
    builder.set_shard(fence.shard);
    builder.set_epoch(fence.epoch);
    builder.set_floor(fence.floor);
    write_gate(builder.init_owner(), &fence.owner);
}

/// Reads a fence, which ends all lower epochs of a shard at a gate.
///
/// # Errors
///
/// When the gate or the owner has no valid name.
pub fn read_fence(reader: fence::Reader<'_>) -> Result<Fence, ProtocolError> {
    Ok(Fence {
        gate: read_gate(reader.get_gate()?)?,
        shard: reader.get_shard(),
        epoch: reader.get_epoch(),
        floor: reader.get_floor(),
        owner: read_gate(reader.get_owner()?)?,
    })
}

/// Writes the reply to a fence.
///
/// # Errors
///
/// When the records of the gate or those of the former owner are more than [`MAX_RECORDS_PER_LIST`].
pub fn write_fence_reply(
    mut builder: fence_reply::Builder<'_>,
    reply: &FenceReply,
) -> Result<(), ProtocolError> {
    write_gate(builder.reborrow().init_gate(), &reply.gate);
    builder.set_shard(reply.shard);
    builder.set_epoch(reply.epoch);
    builder.set_accepted(reply.accepted);
    builder.set_fence(reply.fence);
    let len = list_len("fence.records", reply.records.len(), MAX_RECORDS_PER_LIST)?;
    write_records(builder.reborrow().init_records(len), &reply.records);
    let Some(owner) = &reply.owner else {
        builder.init_owner().set_none(());
        return Ok(());
    };
    let mut wire = builder.init_owner().init_some();
    wire.set_epoch(owner.epoch);
    wire.set_complete(owner.complete);
    let len = list_len(
        "fence.owner.records",
        owner.records.len(),
        MAX_RECORDS_PER_LIST,
    )?;
    write_records(wire.init_records(len), &owner.records);
    Ok(())
}

/// Reads the reply to a fence.
///
/// # Errors
///
/// When one of the two lists has more than [`MAX_RECORDS_PER_LIST`] records, or a gate or a record is invalid.
pub fn read_fence_reply(reader: fence_reply::Reader<'_>) -> Result<FenceReply, ProtocolError> {
    Ok(FenceReply {
        gate: read_gate(reader.get_gate()?)?,
        shard: reader.get_shard(),
        epoch: reader.get_epoch(),
        accepted: reader.get_accepted(),
        fence: reader.get_fence(),
        records: read_records(reader.get_records()?)?,
        owner: match reader.get_owner().which()? {
            fence_reply::owner::None(()) => None,
            fence_reply::owner::Some(owner) => {
                let owner = owner?;
                Some(OwnerRecords {
                    epoch: owner.get_epoch(),
                    complete: owner.get_complete(),
                    records: read_records(owner.get_records()?)?,
                })
            }
        },
    })
}

/// Writes the request that copies records of a shard to a gate.
///
/// # Errors
///
/// When there are more than [`MAX_RECORDS_PER_LIST`] records.
pub fn write_adopt(mut builder: adopt::Builder<'_>, adopt: &Adopt) -> Result<(), ProtocolError> {
    write_gate(builder.reborrow().init_gate(), &adopt.gate);
    builder.set_shard(adopt.shard);
    builder.set_epoch(adopt.epoch);
    let len = list_len("adopt.records", adopt.records.len(), MAX_RECORDS_PER_LIST)?;
    write_records(builder.init_records(len), &adopt.records);
    Ok(())
}

/// Reads the request that copies records of a shard to a gate.
///
/// # Errors
///
/// When there are more than [`MAX_RECORDS_PER_LIST`] records, or the gate or a record is invalid.
pub fn read_adopt(reader: adopt::Reader<'_>) -> Result<Adopt, ProtocolError> {
    Ok(Adopt {
        gate: read_gate(reader.get_gate()?)?,
        shard: reader.get_shard(),
        epoch: reader.get_epoch(),
        records: read_records(reader.get_records()?)?,
    })
}

/// Writes the reply to `adopt`, with the keys whose records the gate now holds.
///
/// # Errors
///
/// When there are more than [`MAX_RECORDS_PER_LIST`] keys.
pub fn write_adopt_reply(
    mut builder: adopt_reply::Builder<'_>,
    reply: &AdoptReply,
) -> Result<(), ProtocolError> {
    write_gate(builder.reborrow().init_gate(), &reply.gate);
    builder.set_shard(reply.shard);
    builder.set_fence(reply.fence);
    let mut keys = builder.init_keys(list_len(
        "adopt.keys",
        reply.keys.len(),
        MAX_RECORDS_PER_LIST,
    )?);
    for (index, key) in (0..).zip(&reply.keys) {
        write_key(keys.reborrow().get(index), *key);
    }
    Ok(())
}

/// Reads the reply to `adopt`, with the keys whose records the gate now holds.
///
/// # Errors
///
/// When there are more than [`MAX_RECORDS_PER_LIST`] keys, or the gate has no valid name.
pub fn read_adopt_reply(reader: adopt_reply::Reader<'_>) -> Result<AdoptReply, ProtocolError> {
    let keys = reader.get_keys()?;
    check_size("adopt.keys", keys.len() as usize, MAX_RECORDS_PER_LIST)?;
    Ok(AdoptReply {
        gate: read_gate(reader.get_gate()?)?,
        shard: reader.get_shard(),
        fence: reader.get_fence(),
        keys: keys.iter().map(read_key).collect(),
    })
}

/// Writes the request to take over a shard from an owner that is stopping.
pub fn write_hand_over(mut builder: hand_over::Builder<'_>, hand_over: &HandOver) {
    builder.set_shard(hand_over.shard);
    builder.set_epoch(hand_over.epoch);
    write_gate(builder.init_from(), &hand_over.from);
}

/// Reads the request to take over a shard from an owner that is stopping.
///
/// # Errors
///
/// When the present owner has no valid name.
pub fn read_hand_over(reader: hand_over::Reader<'_>) -> Result<HandOver, ProtocolError> {
    Ok(HandOver {
        shard: reader.get_shard(),
        epoch: reader.get_epoch(),
        from: read_gate(reader.get_from()?)?,
    })
}

/// Reads the name of the service whose keys a call concerns.
///
/// # Errors
///
/// When the name is empty, too long, not UTF-8 or contains control characters.
pub fn read_service(
    service: capnp::text::Reader<'_>,
) -> Result<jujubeline_core::ServiceName, ProtocolError> {
    name("service", service)
}

fn write_gate(mut builder: gate_id::Builder<'_>, gate: &GateId) {
    builder.set_node(&*gate.node);
    builder.set_incarnation(gate.incarnation);
}

fn read_gate(reader: gate_id::Reader<'_>) -> Result<GateId, ProtocolError> {
    Ok(GateId {
        node: name("gate.node", reader.get_node()?)?,
        incarnation: reader.get_incarnation(),
    })
}

fn write_key(mut builder: key_hash::Builder<'_>, key: KeyHash) {
    // `high` and `low` are the two 64-bit halves of the 128-bit hash, so the truncation loses nothing.
    #[allow(clippy::cast_possible_truncation)]
    let (high, low) = ((key >> 64) as u64, key as u64);
    builder.set_high(high);
    builder.set_low(low);
}

fn read_key(reader: key_hash::Reader<'_>) -> KeyHash {
    (KeyHash::from(reader.get_high()) << 64) | KeyHash::from(reader.get_low())
}

fn write_id(mut builder: attempt_id::Builder<'_>, id: AttemptId) {
    builder.set_epoch(id.epoch);
    builder.set_attempt(id.attempt);
}

fn read_id(reader: attempt_id::Reader<'_>) -> AttemptId {
    AttemptId {
        epoch: reader.get_epoch(),
        attempt: reader.get_attempt(),
    }
}

fn write_run(mut builder: run::Builder<'_>, run: &Run) {
    builder.set_shard(run.shard);
    write_key(builder.reborrow().init_key(), run.key);
    builder.set_fingerprint(run.fingerprint);
    write_id(builder.init_id(), run.id);
}

fn read_run(reader: run::Reader<'_>) -> Result<Run, ProtocolError> {
    Ok(Run {
        shard: reader.get_shard(),
        key: read_key(reader.get_key()?),
        fingerprint: reader.get_fingerprint(),
        id: read_id(reader.get_id()?),
    })
}

const fn outcome_to_wire(outcome: RecordOutcome) -> node_capnp::RecordOutcome {
    match outcome {
        RecordOutcome::Running => node_capnp::RecordOutcome::Running,
        RecordOutcome::Done => node_capnp::RecordOutcome::Done,
        RecordOutcome::Failed => node_capnp::RecordOutcome::Failed,
        RecordOutcome::NotRun => node_capnp::RecordOutcome::NotRun,
    }
}

const fn read_outcome(outcome: node_capnp::RecordOutcome) -> RecordOutcome {
    match outcome {
        node_capnp::RecordOutcome::Running => RecordOutcome::Running,
        node_capnp::RecordOutcome::Done => RecordOutcome::Done,
        node_capnp::RecordOutcome::Failed => RecordOutcome::Failed,
        node_capnp::RecordOutcome::NotRun => RecordOutcome::NotRun,
    }
}

fn write_records(mut list: struct_list::Builder<'_, record_copy::Owned>, records: &[RecordCopy]) {
    for (index, record) in (0..).zip(records) {
        let mut item = list.reborrow().get(index);
        write_key(item.reborrow().init_key(), record.key);
        item.set_fingerprint(record.fingerprint);
        write_id(item.reborrow().init_id(), record.id);
        item.set_outcome(outcome_to_wire(record.outcome));
        write_gate(item.init_holder(), &record.holder);
    }
}

fn read_records(
    list: struct_list::Reader<'_, record_copy::Owned>,
) -> Result<Vec<RecordCopy>, ProtocolError> {
    check_size("records", list.len() as usize, MAX_RECORDS_PER_LIST)?;
    list.iter()
        .map(|record| {
            Ok(RecordCopy {
                key: read_key(record.get_key()?),
                fingerprint: record.get_fingerprint(),
                id: read_id(record.get_id()?),
                outcome: read_outcome(record.get_outcome()?),
                holder: read_gate(record.get_holder()?)?,
            })
        })
        .collect()
}

fn write_refusal(mut builder: refusal::Builder<'_>, refusal: &Refusal) {
    builder.set_reason(refusal.reason().label());
    let retry_after_ms = refusal
        .retry_after()
        .map_or(0, |after| millis(after).max(1));
    builder.set_retry_after_ms(retry_after_ms);
    let mut outcome = builder.init_outcome();
    match (refusal.outcome(), refusal.proof()) {
        (Outcome::NotRun, Some(proof)) => outcome.set_not_run(proof_to_wire(proof)),
        (Outcome::Ran, _) => outcome.set_ran(()),
        // Without a proof, the message must not claim that the request did not run.
        (Outcome::NotRun, None) | (Outcome::Unknown, _) => outcome.set_unknown(()),
    }
}

fn read_refusal(reader: refusal::Reader<'_>) -> Result<Refusal, ProtocolError> {
    let label = text("refusal.reason", reader.get_reason()?, MAX_LABEL_BYTES)?;
    let reason = RefusalReason::from_label(label).ok_or(ProtocolError::InvalidValue {
        field: "refusal.reason",
    })?;
    let refusal = match reader.get_outcome().which()? {
        refusal::outcome::NotRun(proof) => Refusal::not_run(read_proof(proof?), reason),
        refusal::outcome::Ran(()) => Refusal::ran(reason),
        refusal::outcome::Unknown(()) => Refusal::unknown(reason),
    };
    Ok(match reader.get_retry_after_ms() {
        0 => refusal,
        retry_after_ms => refusal.with_retry_after(Duration::from_millis(retry_after_ms)),
    })
}

const fn proof_to_wire(proof: NotRunProof) -> node_capnp::NotRunProof {
    match proof {
        NotRunProof::RejectedAtEntry => node_capnp::NotRunProof::RejectedAtEntry,
        NotRunProof::NeverSent => node_capnp::NotRunProof::NeverSent,
        NotRunProof::RefusedByGate => node_capnp::NotRunProof::RefusedByGate,
        NotRunProof::RefusedByTarget => node_capnp::NotRunProof::RefusedByTarget,
        NotRunProof::NoRecordAtOwner => node_capnp::NotRunProof::NoRecordAtOwner,
    }
}

const fn read_proof(proof: node_capnp::NotRunProof) -> NotRunProof {
    match proof {
        node_capnp::NotRunProof::RejectedAtEntry => NotRunProof::RejectedAtEntry,
        node_capnp::NotRunProof::NeverSent => NotRunProof::NeverSent,
        node_capnp::NotRunProof::RefusedByGate => NotRunProof::RefusedByGate,
        node_capnp::NotRunProof::RefusedByTarget => NotRunProof::RefusedByTarget,
        node_capnp::NotRunProof::NoRecordAtOwner => NotRunProof::NoRecordAtOwner,
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

//! Encoding and decoding of datagrams: packed Cap'n Proto messages of one segment.

use {
    crate::{
        ProtocolError, address,
        bounds::{check_size, list_len, name},
        member::{self, Decoded, UnreadableMember, decode_each},
        node_capnp::{crash_report, datagram, presence_claim, update},
    },
    capnp::{
        message::{Builder, ReaderOptions},
        serialize_packed, struct_list,
    },
    jujubeline_coordination::{
        allowance::{AllowanceAsk, AllowanceLoan},
        membership::{
            CrashReport, Datagram, DatagramKind, MAX_CRASHES, MAX_DATAGRAM_BYTES, PresenceClaim,
            Update,
        },
    },
    std::{sync::Arc, time::Duration},
};

/// Limit of the updates in one datagram: the smallest update takes more than 16 bytes.
const MAX_UPDATES: usize = MAX_DATAGRAM_BYTES / 16;

/// Limit of the unpacked size of a datagram, in words of 8 bytes. Packing compresses runs of zeros, so without a limit
/// a small datagram could unpack to a large message.
const MAX_DATAGRAM_WORDS: usize = 2_048;

/// Limit of the nesting depth of a datagram, with a margin for later versions of the schema.
const MAX_NESTING: i32 = 8;

/// Encodes a datagram into packed bytes.
///
/// # Errors
///
/// When the result would be longer than [`MAX_DATAGRAM_BYTES`], or there are too many updates or crash reports.
pub fn encode_datagram(datagram: &Datagram) -> Result<Vec<u8>, ProtocolError> {
    let mut message = Builder::new_default();
    write(message.init_root(), datagram)?;
    let mut bytes = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    serialize_packed::write_message(&mut bytes, &message)?;
    check_size("datagram", bytes.len(), MAX_DATAGRAM_BYTES)?;
    Ok(bytes)
}

/// Decodes a datagram from packed bytes. Updates about members that cannot be read are left out.
///
/// # Errors
///
/// When the bytes are longer than [`MAX_DATAGRAM_BYTES`], are not a message of the schema, unpack to more than 16 KiB
/// or hold invalid values outside of the updates.
pub fn decode_datagram(bytes: &[u8]) -> Result<Decoded<Datagram>, ProtocolError> {
    check_size("datagram", bytes.len(), MAX_DATAGRAM_BYTES)?;
    let options = ReaderOptions {
        traversal_limit_in_words: Some(MAX_DATAGRAM_WORDS),
        nesting_limit: MAX_NESTING,
    };
    let message = serialize_packed::read_message(bytes, options)?;
    read(message.get_root()?)
}

fn write(mut builder: datagram::Builder<'_>, datagram: &Datagram) -> Result<(), ProtocolError> {
    builder.set_sender(&*datagram.sender);
    builder.set_incarnation(datagram.incarnation);
    builder.set_catalogue_revision(datagram.catalogue_revision);
    builder.set_sequence(datagram.sequence);
    let mut kind = builder.reborrow().init_kind();
    match datagram.kind {
        DatagramKind::Ping => kind.set_ping(()),
        DatagramKind::PingReq(target) => address::write(kind.init_ping_req(), target),
        DatagramKind::Ack => kind.set_ack(()),
        DatagramKind::Nack => kind.set_nack(()),
        DatagramKind::Hint => kind.set_hint(()),
        DatagramKind::AllowanceAsk(ask) => {
            let mut builder = kind.init_allowance_ask();
            builder.set_question(ask.question);
            builder.set_workspace(ask.workspace);
            builder.set_share(ask.share);
            builder.set_needed(ask.needed);
            builder.set_ahead(ask.ahead);
        }
        DatagramKind::AllowanceLoan(loan) => {
            let mut builder = kind.init_allowance_loan();
            builder.set_question(loan.question);
            builder.set_workspace(loan.workspace);
            builder.set_tokens(loan.tokens);
            // Rounded up, so that no retry is suggested too early.
            let retry_after_ms = loan.retry_after.as_micros().div_ceil(1_000);
            builder.set_retry_after_ms(u32::try_from(retry_after_ms).unwrap_or(u32::MAX));
        }
    }
    if !datagram.updates.is_empty() {
        let len = list_len("updates", datagram.updates.len(), MAX_UPDATES)?;
        let mut list = builder.reborrow().init_updates(len);
        for (index, update) in (0..).zip(&datagram.updates) {
            write_update(list.reborrow().get(index), update);
        }
    }
    if !datagram.crashes.is_empty() {
        let len = list_len("crashes", datagram.crashes.len(), MAX_CRASHES)?;
        let mut list = builder.init_crashes(len);
        for (index, crash) in (0..).zip(&datagram.crashes) {
            let mut item = list.reborrow().get(index);
            item.set_crash(crash.crash);
            item.set_fingerprint(crash.fingerprint);
            item.set_cleared(crash.is_cleared);
            // Rounded up, so that no report lasts longer because it is passed on.
            let age_s = crash.age.as_secs() + u64::from(crash.age.subsec_nanos() > 0);
            item.set_age_s(u16::try_from(age_s).unwrap_or(u16::MAX));
        }
    }
    Ok(())
}

fn write_update(builder: update::Builder<'_>, update: &Update) {
    match update {
        Update::Described(member) => member::write(builder.init_described(), member),
        Update::Claimed(claim) => {
            let mut builder = builder.init_claimed();
            builder.set_node(&*claim.node);
            builder.set_incarnation(claim.incarnation);
            builder.set_update(claim.update);
            builder.set_presence(member::presence_to_wire(claim.presence));
            builder.set_reporter(&*claim.reporter);
        }
    }
}

fn read(reader: datagram::Reader<'_>) -> Result<Decoded<Datagram>, ProtocolError> {
    let updates = read_updates(reader.get_updates()?)?;
    let datagram = Datagram {
        sender: name("datagram.sender", reader.get_sender()?)?,
        incarnation: reader.get_incarnation(),
        catalogue_revision: reader.get_catalogue_revision(),
        sequence: reader.get_sequence(),
        kind: match reader.get_kind().which()? {
            datagram::kind::Ping(()) => DatagramKind::Ping,
            datagram::kind::PingReq(target) => DatagramKind::PingReq(address::read(target?)?),
            datagram::kind::Ack(()) => DatagramKind::Ack,
            datagram::kind::Nack(()) => DatagramKind::Nack,
            datagram::kind::Hint(()) => DatagramKind::Hint,
            datagram::kind::AllowanceAsk(ask) => {
                let ask = ask?;
                DatagramKind::AllowanceAsk(AllowanceAsk {
                    question: ask.get_question(),
                    workspace: ask.get_workspace(),
                    share: ask.get_share(),
                    needed: ask.get_needed(),
                    ahead: ask.get_ahead(),
                })
            }
            datagram::kind::AllowanceLoan(loan) => {
                let loan = loan?;
                DatagramKind::AllowanceLoan(AllowanceLoan {
                    question: loan.get_question(),
                    workspace: loan.get_workspace(),
                    tokens: loan.get_tokens(),
                    retry_after: Duration::from_millis(loan.get_retry_after_ms().into()),
                })
            }
        },
        updates: updates.value,
        crashes: read_crashes(reader.get_crashes()?)?,
    };
    Ok(Decoded {
        value: datagram,
        unreadable: updates.unreadable,
    })
}

fn read_updates(
    list: struct_list::Reader<'_, update::Owned>,
) -> Result<Decoded<Vec<Update>>, ProtocolError> {
    check_size("updates", list.len() as usize, MAX_UPDATES)?;
    Ok(decode_each(list.iter().map(read_update)))
}

fn read_update(reader: update::Reader<'_>) -> Result<Update, UnreadableMember> {
    let unnamed = |error| UnreadableMember { node: None, error };
    match reader.which().map_err(|error| unnamed(error.into()))? {
        update::Described(member) => {
            let member = member.map_err(|error| unnamed(error.into()))?;
            Ok(Update::Described(Arc::new(member::read(member)?)))
        }
        update::Claimed(claim) => {
            let claim = claim.map_err(ProtocolError::from).and_then(read_claim);
            Ok(Update::Claimed(claim.map_err(unnamed)?))
        }
    }
}

fn read_claim(reader: presence_claim::Reader<'_>) -> Result<PresenceClaim, ProtocolError> {
    Ok(PresenceClaim {
        node: name("claim.node", reader.get_node()?)?,
        incarnation: reader.get_incarnation(),
        update: reader.get_update(),
        presence: member::presence(reader.get_presence()?),
        reporter: name("claim.reporter", reader.get_reporter()?)?,
    })
}

fn read_crashes(
    list: struct_list::Reader<'_, crash_report::Owned>,
) -> Result<Vec<CrashReport>, ProtocolError> {
    check_size("crashes", list.len() as usize, MAX_CRASHES)?;
    Ok(list
        .iter()
        .map(|crash| CrashReport {
            crash: crash.get_crash(),
            fingerprint: crash.get_fingerprint(),
            is_cleared: crash.get_cleared(),
            age: Duration::from_secs(u64::from(crash.get_age_s())),
        })
        .collect())
}

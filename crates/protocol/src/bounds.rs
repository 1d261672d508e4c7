//! Size limits of messages and fields, and the functions that enforce them.

use {
    crate::ProtocolError, capnp::text, jujubeline_coordination::membership::MAX_NAME_BYTES,
    std::sync::Arc,
};

/// Limit of one RPC message in words of 8 bytes: 8 MiB, enough for a table of 16,384 members of 200 bytes each and for
/// two lists of [`MAX_RECORDS_PER_LIST`] records of 112 bytes each.
pub const MAX_RPC_WORDS: usize = 1_024 * 1_024;

/// Limit of the buckets in a digest of the member table.
pub const MAX_DIGEST_BUCKETS: usize = 1_024;

/// Limit of the claim records in one list: about twice the 15,625 records that a shard has when 1,000,000 records are
/// spread evenly over 64 shards.
pub const MAX_RECORDS_PER_LIST: usize = 32_768;

/// Limit of the members in one reply to `members`.
pub(crate) const MAX_MEMBERS: usize = 16_384;

/// Limit of the entries set, and of those removed, in one difference: all entries (16,384) and all tombstones (1,024) of
/// a node.
pub(crate) const MAX_ENTRIES: usize = 16_384 + 1_024;

/// Limit of the instances retired, and of those reinstated, in one difference.
pub(crate) const MAX_INSTANCES: usize = 16_384;

/// Limit of the services whose limits one difference holds.
pub(crate) const MAX_SERVICES: usize = 4_096;

/// Length limit of the owner of a catalogue entry.
pub(crate) const MAX_OWNER_BYTES: usize = 256;

/// Length limit of an HTTP method.
pub(crate) const MAX_METHOD_BYTES: usize = 16;

/// Length limit of a host name.
pub(crate) const MAX_HOST_BYTES: usize = 253;

/// Length limit of a path prefix.
pub(crate) const MAX_PATH_BYTES: usize = 1_024;

/// Length limit of the name of a catalogue entry.
pub(crate) const MAX_ENTRY_NAME_BYTES: usize = 128;

/// Returns `TooLarge` if `size` exceeds `bound`.
pub(crate) const fn check_size(
    field: &'static str,
    size: usize,
    bound: usize,
) -> Result<(), ProtocolError> {
    if size <= bound {
        return Ok(());
    }
    Err(ProtocolError::TooLarge { field, size, bound })
}

/// Checks the length of a list and converts it to the type that the list builders take.
pub(crate) fn list_len(
    field: &'static str,
    size: usize,
    bound: usize,
) -> Result<u32, ProtocolError> {
    check_size(field, size, bound)?;
    u32::try_from(size).map_err(|_| ProtocolError::TooLarge { field, size, bound })
}

/// Reads a UTF-8 text of at most `bound` bytes, which may be empty.
pub(crate) fn text<'a>(
    field: &'static str,
    text: text::Reader<'a>,
    bound: usize,
) -> Result<&'a str, ProtocolError> {
    check_size(field, text.len(), bound)?;
    text.to_str()
        .map_err(|_| ProtocolError::InvalidValue { field })
}

/// Reads a name: not empty, at most [`MAX_NAME_BYTES`] long and without control characters.
pub(crate) fn name(
    field: &'static str,
    value: text::Reader<'_>,
) -> Result<Arc<str>, ProtocolError> {
    name_within(field, value, MAX_NAME_BYTES)
}

/// Reads a name like [`name`], but of at most `bound` bytes.
pub(crate) fn name_within(
    field: &'static str,
    value: text::Reader<'_>,
    bound: usize,
) -> Result<Arc<str>, ProtocolError> {
    let name = text(field, value, bound)?;
    if name.is_empty() || name.chars().any(char::is_control) {
        return Err(ProtocolError::InvalidValue { field });
    }
    Ok(name.into())
}

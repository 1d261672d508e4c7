//! Bounds of fields and the functions that check them.

use {
    crate::ProtocolError, capnp::text, jujubeline_coordination::membership::MAX_NAME_BYTES,
    std::sync::Arc,
};

/// Words that one RPC message may have: 8 MiB, enough for a table of 16,384 members of 200 bytes each and for two lists
/// of [`MAX_RECORDS`] records of 112 bytes each.
pub const MAX_RPC_WORDS: usize = 1_024 * 1_024;

/// Buckets in a table digest.
pub const MAX_DIGEST: usize = 1_024;

/// Claim records in one list, twice the 15,625 that a shard has when 1,000,000 records spread over 64 shards.
pub const MAX_RECORDS: usize = 32_768;

/// Members in one reply.
pub(crate) const MAX_MEMBERS: usize = 16_384;

/// Entries set or removed in one difference: all entries and all tombstones of a node.
pub(crate) const MAX_ENTRIES: usize = 4_096 + 1_024;

/// Instances retired or reinstated in one difference.
pub(crate) const MAX_INSTANCES: usize = 16_384;

/// Longest owner of an entry.
pub(crate) const MAX_OWNER_BYTES: usize = 256;

/// Longest HTTP method.
pub(crate) const MAX_METHOD_BYTES: usize = 16;

/// Longest host name.
pub(crate) const MAX_HOST_BYTES: usize = 253;

/// Longest path prefix.
pub(crate) const MAX_PATH_BYTES: usize = 1_024;

/// Longest name of an entry.
pub(crate) const MAX_ENTRY_NAME_BYTES: usize = 128;

/// Refuses a size above its bound.
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

/// Length of a list as the builder takes it.
pub(crate) fn list_len(
    field: &'static str,
    size: usize,
    bound: usize,
) -> Result<u32, ProtocolError> {
    check_size(field, size, bound)?;
    u32::try_from(size).map_err(|_| ProtocolError::TooLarge { field, size, bound })
}

/// A text of bounded length, which may be empty.
pub(crate) fn text<'a>(
    field: &'static str,
    text: text::Reader<'a>,
    bound: usize,
) -> Result<&'a str, ProtocolError> {
    check_size(field, text.len(), bound)?;
    text.to_str()
        .map_err(|_| ProtocolError::InvalidValue { field })
}

/// A name: not empty, of bounded length, without control characters.
pub(crate) fn name(
    field: &'static str,
    value: text::Reader<'_>,
) -> Result<Arc<str>, ProtocolError> {
    name_within(field, value, MAX_NAME_BYTES)
}

/// A name with a bound of its own.
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

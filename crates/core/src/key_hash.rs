//! Hashes that must have the same value on every node.

use {crate::RootId, xxhash_rust::xxh3::xxh3_64};

/// Number of slots that [`root_slot`] distributes root requests over.
pub const ROOT_SLOTS: u16 = 128;

/// Hash with the same value on every node and in every version.
#[must_use]
pub fn stable_hash(bytes: &[u8]) -> u64 {
    xxh3_64(bytes)
}

/// Weight of a candidate for a key in rendezvous hashing (Thaler and Ravishankar, 1998).
#[must_use]
pub fn rendezvous_weight(key: &[u8], candidate: &[u8]) -> u64 {
    let mut joined = Vec::with_capacity(key.len() + candidate.len() + 1);
    joined.extend_from_slice(key);
    joined.push(0);
    joined.extend_from_slice(candidate);
    xxh3_64(&joined)
}

/// Slot of a root request, in 0..=127. Every hop computes the same slot and therefore makes the same decision.
#[must_use]
#[expect(
    clippy::cast_possible_truncation,
    reason = "the remainder is below 128"
)]
pub fn root_slot(root: RootId) -> u8 {
    (xxh3_64(&root.to_be_bytes()) % u64::from(ROOT_SLOTS)) as u8
}

//! Hashes that identify a request by its key or content.

use {
    super::OutgoingBody,
    http::request,
    jujubeline_core::{Fingerprint, HopId, RootId, header_names, stable_hash},
};

/// Number of bytes at the start of the body that are hashed.
pub const FINGERPRINT_BYTES: usize = 4_096;

/// Multiplier that mixes the bits of a combined hash (Knuth's multiplicative hashing, 2^64 over the golden ratio).
const HASH_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Fingerprint of a request: the hash of its idempotency key if it has one, otherwise of its method, path, query and the
/// start of its body. The length of a longer body is not hashed, because it is unknown for a body in chunks.
#[must_use]
pub fn fingerprint(head: &request::Parts, body: &OutgoingBody) -> Fingerprint {
    if let Some(key) = head.headers.get(header_names::IDEMPOTENCY_KEY) {
        return stable_hash(key.as_bytes());
    }
    let start = body.start();
    content_fingerprint(head, &start[..start.len().min(FINGERPRINT_BYTES)])
}

/// Hash of method, path, query, and start and length of the body. It detects the reuse of a key for another request.
#[must_use]
pub fn content_fingerprint(head: &request::Parts, body: &[u8]) -> Fingerprint {
    let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
    let prefix = &body[..body.len().min(FINGERPRINT_BYTES)];
    let method = stable_hash(head.method.as_str().as_bytes());
    let content = combine(stable_hash(path.as_bytes()), stable_hash(prefix));
    combine(method, combine(content, body.len() as u64))
}

/// Identity of a caller's request in the retry budget. A resend with the same key, or with the same root, hop and
/// content, has the same identity.
#[must_use]
pub fn arrival_identity(
    head: &request::Parts,
    root: RootId,
    hop: Option<HopId>,
    fingerprint: Fingerprint,
) -> u64 {
    if head.headers.contains_key(header_names::IDEMPOTENCY_KEY) {
        return fingerprint;
    }
    let root = stable_hash(&root.to_be_bytes());
    combine(combine(root, hop.unwrap_or(0)), fingerprint)
}

const fn combine(a: u64, b: u64) -> u64 {
    (a ^ b.rotate_left(29)).wrapping_mul(HASH_MULTIPLIER)
}

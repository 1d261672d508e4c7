//! Identity of a request: the workspace to which it belongs, by the key that it carries.

use {
    super::CatalogueIndex,
    http::{HeaderMap, HeaderName},
    jujubeline_catalogue::{Entry, Workspace},
    jujubeline_core::{KeyDigest, RefusalReason},
    std::sync::Arc,
};

/// Longest key that is accepted, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// What the headers of a request state about its workspace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Identity {
    /// The request has the key of this workspace.
    Workspace(Arc<Workspace>),
    /// The request has no key and needs none.
    Anonymous,
    /// The request has no key although one is needed. Only a call on behalf of an exchange in flight may run.
    Missing,
}

/// Determines the workspace of a request from the header that holds its key. Without workspaces in the catalogue no key
/// is needed; a public entry needs none either, and a key that is wrong does no harm there.
///
/// # Errors
///
/// When there is more than one key, or the key cannot be read or is unknown.
pub fn identify(
    index: &CatalogueIndex,
    entry: &Entry,
    headers: &HeaderMap,
    key_header: &HeaderName,
) -> Result<Identity, RefusalReason> {
    if !index.keys_required() {
        return Ok(Identity::Anonymous);
    }
    let found = find_workspace(index, headers, key_header);
    match found {
        Ok(Some(workspace)) => Ok(Identity::Workspace(workspace)),
        Ok(None) | Err(_) if entry.public => Ok(Identity::Anonymous),
        Ok(None) => Ok(Identity::Missing),
        Err(reason) => Err(reason),
    }
}

/// The workspace that holds the only key of a request; none if the request has no key.
fn find_workspace(
    index: &CatalogueIndex,
    headers: &HeaderMap,
    key_header: &HeaderName,
) -> Result<Option<Arc<Workspace>>, RefusalReason> {
    let mut keys = headers.get_all(key_header).iter();
    let Some(key) = keys.next() else {
        return Ok(None);
    };
    let is_valid = !key.is_empty() && key.len() <= MAX_KEY_BYTES && key.to_str().is_ok();
    if keys.next().is_some() || !is_valid {
        return Err(RefusalReason::WorkspaceKeyMalformed);
    }
    index
        .workspace_of(KeyDigest::of(key.as_bytes()))
        .cloned()
        .map(Some)
        .ok_or(RefusalReason::WorkspaceKeyUnknown)
}

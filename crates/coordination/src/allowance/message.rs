//! Messages between the borrower and the owner of a share.

use {jujubeline_core::stable_hash, std::time::Duration};

/// Hash of the name of a workspace, the same on every node.
pub type WorkspaceHash = u64;

/// Hash of the name of a workspace.
#[must_use]
pub fn workspace_hash(name: &str) -> WorkspaceHash {
    stable_hash(name.as_bytes())
}

/// Asks the owner of a share for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AllowanceAsk {
    /// Number of the question, unique at the borrower.
    pub question: u64,
    /// Workspace whose requests wait.
    pub workspace: WorkspaceHash,
    /// Number of the share.
    pub share: u8,
    /// Requests that wait for a token.
    pub needed: u32,
    /// Requests that are expected within the time of the loan.
    pub ahead: u32,
}

/// Answers an [`AllowanceAsk`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AllowanceLoan {
    /// Number of the question.
    pub question: u64,
    /// Workspace that the tokens are for.
    pub workspace: WorkspaceHash,
    /// Tokens lent.
    pub tokens: u32,
    /// Time until the share has a token again; zero if it lends what was needed.
    pub retry_after: Duration,
}

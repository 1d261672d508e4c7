//! Allowances of workspaces over all nodes: shares, their owners, and loans of tokens.
//!
//! The rate and the burst of a workspace are divided into [`SHARES`] shares. Each has one owner among the nodes, which
//! keeps a token bucket and lends tokens for [`LOAN_TIME`] to the nodes where requests of the workspace enter.

mod borrower;
mod message;
mod owner;
mod shares;

pub use {
    borrower::{
        Borrower, BorrowerStep, Denial, MAX_WAITING_REQUESTS, MIN_EMPTY_TIME, REPLY_TIMEOUT,
    },
    message::{AllowanceAsk, AllowanceLoan, WorkspaceHash, workspace_hash},
    owner::{AllowanceOwner, OWNER_DELAY, ShareLimit},
    shares::{SHARES, has_departed, share_owners},
};

/// Time for which lent tokens may be used, counted by the borrower from its question.
///
/// What is used in a window was lent in a window that is longer by this time, so it is bounded by the slack of the
/// allowance: at 250 ms it adds a quarter of a second of the rate.
pub const LOAN_TIME: std::time::Duration = std::time::Duration::from_millis(250);

//! Allowances of workspaces: borrows tokens for the requests that enter here, and lends those of the shares that this
//! node owns.

mod allowances;
mod ownership;

pub use allowances::{AllowanceCounts, Allowances, AllowancesContext};

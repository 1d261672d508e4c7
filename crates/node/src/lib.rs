//! The node: one process beside each target instance, between callers and targets.

mod allowance;
pub mod claims;
mod claims_link;
pub mod control;
mod crash_exchange;
pub mod data;
pub mod decisions;
mod error;
pub mod metrics;
mod node;
pub mod ops;
mod settings;
mod target_tracker;
mod view;

pub use {
    allowance::{AllowanceCounts, Allowances, AllowancesContext},
    error::{NodeError, NodeResult},
    metrics::Metrics,
    node::{Node, Sockets},
    settings::{CatalogueSource, NodeSettings},
    view::{CatalogueView, LocalTarget, MemberView, Views},
};

//! Deployments of real processes on loopback: the platform stand-in, nodes and targets.

mod catalogue_file;
mod fleet;
mod instance;

pub(crate) use instance::target_arguments;
pub use {
    catalogue_file::{EntryPlan, catalogue_toml},
    fleet::{Deployment, DeploymentPlan, apply_catalogue, get_json, get_text, node_status},
    instance::{Instance, InstancePlan, NodeAddresses, NodeRelays},
};

//! The control plane of a node: membership and the catalogue.

mod catalogue_actor;
mod configuration_follow;
mod error;
mod join;
mod join_points;
mod membership_actor;
mod plane;
mod platform_contact;
mod platform_follow;
mod pull;
mod quarantines;
mod rpc;
mod udp;
mod unreadable_members;

pub use {
    catalogue_actor::CatalogueHandle,
    error::{ControlError, ControlResult},
    membership_actor::MembershipHandle,
    plane::Control,
    pull::PullCounts,
    rpc::{CallCounts, ClaimsCall, ClaimsReply, Peers},
    udp::DatagramCounts,
    unreadable_members::UnreadableMembers,
};

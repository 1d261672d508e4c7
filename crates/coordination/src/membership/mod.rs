//! Membership of nodes and the state of their targets.

mod budget;
mod config;
mod crash_reports;
mod dissemination;
mod event;
mod health;
mod member;
// The main type has a file of its own name.
#[expect(clippy::module_inception)]
mod membership;
mod message;
mod probe;
mod ring;
mod suspicion;
mod table;

pub use {
    config::Config,
    event::{Counters, MemberEvent, Output},
    member::{Member, Presence, TargetState},
    membership::Membership,
    message::{
        CrashReport, DATAGRAM_OVERHEAD_BYTES, Datagram, DatagramKind, MAX_CRASHES,
        MAX_DATAGRAM_BYTES, MAX_NAME_BYTES, PresenceClaim, Update,
    },
    table::DIGEST_BUCKETS,
};

//! Stand-ins for tests: platform, target with outgoing calls, and fault-injecting relay.

pub mod platform;
pub mod relay;
pub mod targets;

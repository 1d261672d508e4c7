//! Type aliases for identifiers.

use std::sync::Arc;

/// Name of an instance, from its settings. One node runs on each instance.
pub type NodeId = Arc<str>;

/// Start of a node process, in microseconds since the Unix epoch.
///
/// A node that receives a higher incarnation under its own name adopts a still higher one.
pub type Incarnation = u64;

/// Id of one run of a target's process, as the target announces it.
pub type ProcessId = Arc<str>;

/// Name of a service, served by one or more targets.
pub type ServiceName = Arc<str>;

/// Name of a workspace, a customer whose callers share the targets with those of others.
pub type WorkspaceName = Arc<str>;

/// Name of a catalogue entry, which stands for one kind of request.
pub type EntryName = Arc<str>;

/// Name of a data centre.
pub type DataCentre = Arc<str>;

/// Name of a region, a group of data centres.
pub type Region = Arc<str>;

/// Revision of the catalogue; never decreases.
pub type Revision = u64;

/// Fencing token of a claim shard.
pub type Epoch = u64;

/// Number of an attempt to run the request with a key. Each number is used at one gate only.
pub type Attempt = u64;

/// Identity of a root request and of all calls made on its behalf.
pub type RootId = u128;

/// Identity of one inbound exchange at the node beside the calling target.
pub type HopId = u64;

/// Hash that identifies the content of a request.
pub type Fingerprint = u64;

/// Number of a claim shard within a service.
pub type ShardId = u16;

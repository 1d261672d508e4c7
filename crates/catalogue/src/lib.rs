//! Catalogue entries, catalogue files and their validation, and the versioned state that nodes replicate.
//!
//! The package does no I/O.

mod catalogue;
mod change;
mod check;
mod configured;
mod entry;
mod fields;
mod file;
mod log;
mod state;
mod versions;
mod workspace;
mod workspace_file;

pub use {
    catalogue::Catalogue,
    change::{Change, ChangeId, Edit, EditSubject},
    check::{
        EntryProblem, MAX_CONCURRENCY, MAX_DEADLINE_MS, MAX_RETRY_BOUND, MAX_SPLIT, Overlap,
        is_valid_name, overlaps,
    },
    configured::{ServiceLimit, UnreadableRoute, UsableEntries},
    entry::{ANY_METHOD, Entry, Preference, Share},
    file::{FileProblem, parse_file},
    log::{
        CHANGES_PER_SNAPSHOT, LoggedChange, RETAINED_CHANGES, Replay, ReplayError, SNAPSHOT_NAME,
        change_name, replay, revision_of_name,
    },
    state::{CatalogueState, Difference, MAX_ENTRIES, MAX_RETIRED, ServiceLimits, StateError},
    workspace::{
        Allowance, InvalidRate, MAX_BURST, MAX_KEYS, MAX_PRIORITY, MAX_RATE_PER_S,
        MAX_WORKSPACE_KEYS, MAX_WORKSPACES, Rate, SharedKey, Workspace, WorkspaceChanges,
        shared_keys,
    },
};

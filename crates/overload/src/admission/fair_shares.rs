//! Fair division of a target's room over workspaces: start-time fair queueing (Goyal, Vin and Cheng, 1996).

use std::collections::HashMap;

/// Hash of the name of a workspace.
pub type WorkspaceHash = u64;

/// Capacity of the table. Above it, the workspaces without credit or debt are dropped.
const MAX_WORKSPACES: usize = 1_024;

/// Weight of a workspace without an allowance: that of one with 100 requests per second.
pub const DEFAULT_WEIGHT: f64 = 100.0;

/// Virtual start times of the next grant of each workspace.
///
/// Each grant advances the time of its workspace by the inverse of its weight, so that workspaces that always have
/// requests waiting get grants in proportion to their weights. One that was idle begins at the time of the last grant:
/// it gains nothing from the past, and what it does not use goes to the others.
#[derive(Debug, Default)]
pub struct FairShares {
    virtual_time: f64,
    next_start: HashMap<WorkspaceHash, f64>,
}

impl FairShares {
    /// Virtual time at which the next grant of a workspace starts. The request with the lowest one is next.
    #[must_use]
    pub fn start_time(&self, workspace: WorkspaceHash) -> f64 {
        self.next_start
            .get(&workspace)
            .map_or(self.virtual_time, |start| start.max(self.virtual_time))
    }

    /// Records a grant of a workspace with this weight, which is above 0.
    pub fn record_grant(&mut self, workspace: WorkspaceHash, weight: f64) {
        let start = self.start_time(workspace);
        self.virtual_time = start;
        if self.next_start.len() >= MAX_WORKSPACES {
            self.next_start.retain(|_, next| *next > start);
        }
        if self.next_start.len() < MAX_WORKSPACES {
            self.next_start.insert(workspace, start + 1.0 / weight);
        }
    }

    /// Number of workspaces in the table.
    #[must_use]
    pub fn len(&self) -> usize {
        self.next_start.len()
    }

    /// Whether no workspace is in the table.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.next_start.is_empty()
    }
}

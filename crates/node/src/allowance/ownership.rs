//! Owners of the shares and limits of the workspaces, as the member table and the catalogue state them.

use {
    jujubeline_catalogue::CatalogueState,
    jujubeline_coordination::{
        allowance::{
            SHARES, ShareLimit, WorkspaceHash, has_departed, share_owners, workspace_hash,
        },
        membership::Member,
    },
    jujubeline_core::{DataCentre, NodeId, Revision, rendezvous_weight, stable_hash},
    std::{collections::HashMap, net::SocketAddr, sync::Arc},
};

/// Capacity of the cache of placements; it is cleared when it is full.
const MAX_PLACEMENTS: usize = 16_384;

/// Owner of a share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Place {
    /// This node.
    Local,
    /// The node with this control address.
    Remote(SocketAddr),
}

/// Owners of the shares of a workspace, and the order in which this node asks them.
#[derive(Debug, Clone, Copy)]
pub struct Placement {
    /// Owner of each share; none without members.
    pub owners: [Option<Place>; SHARES],
    /// Numbers of the shares, that of the own data centre first. The others are ordered differently at each node, so
    /// that they are used evenly.
    pub order: [usize; SHARES],
}

/// What the member table and the catalogue state about allowances, with a cache of placements.
#[derive(Debug)]
pub struct Ownership {
    own: NodeId,
    data_centre: DataCentre,
    members: Arc<Vec<Member>>,
    names_hash: u64,
    placements: HashMap<WorkspaceHash, Placement>,
    revision: Revision,
    limits: HashMap<WorkspaceHash, ShareLimit>,
}

impl Ownership {
    /// Without members and limits.
    pub fn new(own: NodeId, data_centre: DataCentre) -> Self {
        Self {
            own,
            data_centre,
            members: Arc::default(),
            names_hash: 0,
            placements: HashMap::new(),
            revision: 0,
            limits: HashMap::new(),
        }
    }

    /// Takes over a member table. Returns whether the set of nodes that may own shares has changed.
    pub fn update_members(&mut self, members: &Arc<Vec<Member>>) -> bool {
        if Arc::ptr_eq(&self.members, members) {
            return false;
        }
        self.members = Arc::clone(members);
        self.placements.clear();
        let present = members
            .iter()
            .filter(|member| !has_departed(member.presence));
        // A sum does not depend on the order of the members.
        let names_hash = present.fold(0, |sum: u64, member| {
            sum.wrapping_add(stable_hash(member.node.as_bytes()))
        });
        std::mem::replace(&mut self.names_hash, names_hash) != names_hash
    }

    /// Takes over the limits of a catalogue revision.
    pub fn update_catalogue(&mut self, catalogue: &CatalogueState) {
        if catalogue.revision() == self.revision {
            return;
        }
        self.revision = catalogue.revision();
        let limit = |workspace: &Arc<jujubeline_catalogue::Workspace>| {
            let allowance = workspace.allowance?;
            let limit = ShareLimit::of_allowance(allowance.rate_per_s.per_s(), allowance.burst);
            Some((workspace_hash(&workspace.name), limit))
        };
        self.limits = catalogue.workspaces().filter_map(limit).collect();
    }

    /// Limit of each share of a workspace; none if the workspace is unknown or has no allowance.
    pub fn limit(&self, workspace: WorkspaceHash) -> Option<ShareLimit> {
        self.limits.get(&workspace).copied()
    }

    /// Number of workspaces with an allowance.
    pub fn limited_workspaces(&self) -> usize {
        self.limits.len()
    }

    /// Owners of the shares of a workspace.
    pub fn placement(&mut self, workspace: WorkspaceHash) -> Placement {
        if let Some(placement) = self.placements.get(&workspace) {
            return *placement;
        }
        if self.placements.len() >= MAX_PLACEMENTS {
            self.placements.clear();
        }
        let owners = share_owners(workspace, &self.members);
        let mut order: [usize; SHARES] = std::array::from_fn(|share| share);
        order.sort_by_key(|&share| {
            let is_near = owners[share].is_some_and(|owner| owner.data_centre == self.data_centre);
            (
                !is_near,
                rendezvous_weight(self.own.as_bytes(), &share.to_be_bytes()),
            )
        });
        let place = |owner: &Member| {
            if owner.node == self.own {
                return Place::Local;
            }
            Place::Remote(owner.control_address)
        };
        let placement = Placement {
            owners: owners.map(|owner| owner.map(place)),
            order,
        };
        self.placements.insert(workspace, placement);
        placement
    }
}

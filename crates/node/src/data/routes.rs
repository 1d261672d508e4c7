//! Catalogue index and targets of each service in effect.

use {
    super::{
        CatalogueIndex, Peers,
        service::{Endpoint, Service},
    },
    crate::Views,
    jujubeline_coordination::membership::{Member, Presence, TargetState},
    jujubeline_core::{NodeId, ServiceName},
    jujubeline_overload::{Candidate, CandidateState, FleetRetryLimits, NodeLocation},
    parking_lot::RwLock,
    std::{
        collections::HashMap,
        sync::Arc,
        time::{Duration, Instant},
    },
};

type Services = HashMap<ServiceName, Arc<Service>>;

/// Catalogue index and services in effect. Each is replaced as a whole when its view changes.
#[derive(Debug)]
pub struct Routes {
    location: NodeLocation,
    retry_limits: Option<FleetRetryLimits>,
    crossing_cost: Duration,
    index: RwLock<Arc<CatalogueIndex>>,
    services: RwLock<Arc<Services>>,
}

impl Routes {
    /// Empty routes for a node at `location`. `retry_limits` are the fleet's, of which each node takes its share;
    /// `crossing_cost` is the time that leaving the data centre must save a request.
    #[must_use]
    pub fn new(
        location: NodeLocation,
        retry_limits: Option<FleetRetryLimits>,
        crossing_cost: Duration,
    ) -> Self {
        Self {
            location,
            retry_limits,
            crossing_cost,
            index: RwLock::default(),
            services: RwLock::default(),
        }
    }

    /// The catalogue index in effect.
    #[must_use]
    pub fn index(&self) -> Arc<CatalogueIndex> {
        Arc::clone(&self.index.read())
    }

    /// Routing state of a service; none when the service has no target.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<Arc<Service>> {
        self.services.read().get(name).cloned()
    }

    /// Services whose requests leave the data centre by a share, with the share.
    #[must_use]
    pub fn leaving_shares(&self) -> Vec<(ServiceName, f64)> {
        let services = Arc::clone(&self.services.read());
        services
            .iter()
            .filter_map(|(name, service)| Some((name.clone(), service.leaving_share()?)))
            .collect()
    }

    /// Rebuilds index and targets from the views. The index is replaced last, so that a node that reports a catalogue
    /// revision already has the targets that were in the views together with it.
    pub fn refresh(&self, views: &mut Views, peers: &Peers) {
        let catalogue = Arc::clone(&views.catalogue.borrow_and_update());
        let members = Arc::clone(&views.members.borrow_and_update());
        self.update_services(&members, peers);
        peers.retain(|address| members.iter().any(|m| m.data_address == *address));
        if catalogue.revision() != self.index().revision() {
            let index = Arc::new(CatalogueIndex::new(&catalogue));
            *self.index.write() = index;
        }
    }

    fn new_service(&self, now: Instant) -> Arc<Service> {
        let service = Service::new(self.location.clone(), now);
        service.set_crossing_cost(self.crossing_cost);
        Arc::new(service)
    }

    fn update_services(&self, members: &[Member], peers: &Peers) {
        let now = Instant::now();
        let old = Arc::clone(&self.services.read());
        let mut by_service: HashMap<&ServiceName, (Vec<Candidate>, HashMap<NodeId, Endpoint>)> =
            HashMap::new();
        for member in members {
            let Some(state) = candidate_state(member) else {
                continue;
            };
            let (candidates, endpoints) = by_service.entry(&member.service).or_default();
            candidates.push(candidate(member, state));
            let endpoint = if member.node == self.location.node {
                Endpoint::Local
            } else {
                Endpoint::Remote(peers.peer(member.data_address))
            };
            endpoints.insert(member.node.clone(), endpoint);
        }
        // A service without targets is dropped together with the state recorded for its former targets.
        let services = by_service
            .into_iter()
            .map(|(name, (candidates, endpoints))| {
                let service = old
                    .get(name)
                    .cloned()
                    .unwrap_or_else(|| self.new_service(now));
                service.update(&candidates, endpoints, now);
                if let Some(limits) = self.retry_limits {
                    service.set_retry_limits(limits.per_node(members.len()));
                }
                (name.clone(), service)
            })
            .collect();
        *self.services.write() = Arc::new(services);
    }

    /// Refreshes the routes at each change of a view, until the control plane ends.
    pub async fn follow(&self, mut views: Views, peers: Arc<Peers>) {
        loop {
            self.refresh(&mut views, &peers);
            tokio::select! {
                Ok(()) = views.catalogue.changed() => {}
                Ok(()) = views.members.changed() => {}
                else => return,
            }
        }
    }
}

/// Candidate state of a member; none when the node is not reachable or its target is gone.
fn candidate_state(member: &Member) -> Option<CandidateState> {
    if !matches!(member.presence, Presence::Alive | Presence::Suspect) {
        return None;
    }
    match member.target_state {
        TargetState::Cold => Some(CandidateState::Cold),
        TargetState::Ready => Some(CandidateState::Ready),
        TargetState::Draining => Some(CandidateState::Draining),
        TargetState::Gone => None,
    }
}

fn candidate(member: &Member, state: CandidateState) -> Candidate {
    Candidate {
        node: member.node.clone(),
        incarnation: member.incarnation,
        data_centre: member.data_centre.clone(),
        region: member.region.clone(),
        state,
        slots: member.slots,
    }
}

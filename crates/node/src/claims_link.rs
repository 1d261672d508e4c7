//! Carries the claim calls of a node over the RPC of its control plane, in both directions.

use {
    crate::{
        MemberView, Views,
        claims::{CallFailed, CallResult, ClaimAnswer, ClaimCalls, ClaimPeer, Claims},
        control::{ClaimsCall, ClaimsReply, Control, Peers},
    },
    futures::FutureExt,
    jujubeline_coordination::{
        claims::GateId,
        membership::{Member, Presence, TargetState},
    },
    jujubeline_core::{DataCentre, ServiceName},
    jujubeline_protocol::claims as wire,
    std::{future::Future, net::SocketAddr, sync::Arc, time::Duration},
    tokio::sync::mpsc,
    tokio_util::task::TaskTracker,
};

/// Deadline of one claim call. The caller's request waits for the call, and a round trip between data centres takes
/// milliseconds.
const CALL_DEADLINE: Duration = Duration::from_secs(1);
/// Load of a gate whose target is cold; a gate whose target is ready has 0.
const COLD_LOAD: f64 = 1.0;

/// Builds the claim calls from the RPC, the member list and the catalogue of the control plane. Peers in `data_centre`
/// come first.
pub fn claim_calls(
    control: &Control,
    service: &ServiceName,
    data_centre: &DataCentre,
) -> ClaimCalls {
    let Views {
        members, catalogue, ..
    } = control.views();
    let (members_for_peers, members_for_liveness, members_for_load) =
        (members.clone(), members.clone(), members);
    let data_centre = Arc::clone(data_centre);
    let peers_and_service = || (control.peers(), Arc::clone(service));
    let [completed, resolve, fence, adopt] = [0; 4].map(|_| peers_and_service());
    let claim = control.peers();
    ClaimCalls {
        claim: Arc::new(move |address, (service, claim_of_key)| {
            let request = wire::ClaimRequest::Claim(claim_of_key);
            let reply = call(&claim, service, address, request);
            async move {
                match reply.await? {
                    ClaimsReply::Claim(answer) => Ok(from_wire(answer)),
                    _ => Err(CallFailed),
                }
            }
            .boxed()
        }),
        completed: Arc::new(move |address, report| {
            let (peers, service) = completed.clone();
            let reply = call(
                &peers,
                service,
                address,
                wire::ClaimRequest::Completed(report),
            );
            async move { reply.await.map(drop) }.boxed()
        }),
        resolve: Arc::new(move |address, query| {
            let (peers, service) = resolve.clone();
            let reply = call(&peers, service, address, wire::ClaimRequest::Resolve(query));
            async move {
                match reply.await? {
                    ClaimsReply::Resolved(reply) => Ok(reply),
                    _ => Err(CallFailed),
                }
            }
            .boxed()
        }),
        fence: Arc::new(move |address, question| {
            let (peers, service) = fence.clone();
            let reply = call(
                &peers,
                service,
                address,
                wire::ClaimRequest::Fence(question),
            );
            async move {
                match reply.await? {
                    ClaimsReply::Fenced(reply) => Ok(reply),
                    _ => Err(CallFailed),
                }
            }
            .boxed()
        }),
        adopt: Arc::new(move |address, records| {
            let (peers, service) = adopt.clone();
            let reply = call(&peers, service, address, wire::ClaimRequest::Adopt(records));
            async move {
                match reply.await? {
                    ClaimsReply::Adopted(reply) => Ok(reply),
                    _ => Err(CallFailed),
                }
            }
            .boxed()
        }),
        peers: Arc::new(move |service| claim_peers(&members_for_peers, service, &data_centre)),
        is_alive: Arc::new(move |gate| {
            find(&members_for_liveness, gate).is_some_and(|member| is_live(&member))
        }),
        is_retired: Arc::new(move |gate| catalogue.borrow().is_retired(&gate.node)),
        load: Arc::new(move |gate| load(&find(&members_for_load, gate)?)),
    }
}

fn call(
    peers: &Peers,
    service: ServiceName,
    address: SocketAddr,
    request: wire::ClaimRequest,
) -> impl Future<Output = CallResult<ClaimsReply>> + Send + use<> {
    let peers = peers.clone();
    async move {
        let call = wire::ClaimCall { service, request };
        let reply = peers.call_claims(address, call, CALL_DEADLINE).await;
        reply.map_err(|_| CallFailed)
    }
}

fn from_wire(answer: wire::ClaimAnswer) -> ClaimAnswer {
    match answer {
        wire::ClaimAnswer::Decided { reply, gate } => ClaimAnswer::Decided { reply, gate },
        wire::ClaimAnswer::Owner(owner) => ClaimAnswer::Owner(owner),
        wire::ClaimAnswer::NoOwner => ClaimAnswer::NoOwner,
    }
}

fn to_wire(answer: ClaimAnswer) -> wire::ClaimAnswer {
    match answer {
        ClaimAnswer::Decided { reply, gate } => wire::ClaimAnswer::Decided { reply, gate },
        ClaimAnswer::Owner(owner) => wire::ClaimAnswer::Owner(owner),
        ClaimAnswer::NoOwner => wire::ClaimAnswer::NoOwner,
    }
}

fn is_live(member: &Member) -> bool {
    matches!(member.presence, Presence::Alive | Presence::Suspect)
}

fn find(members: &MemberView, gate: &GateId) -> Option<Member> {
    let members = Arc::clone(&members.borrow());
    let same =
        |member: &&Member| member.node == gate.node && member.incarnation == gate.incarnation;
    members.iter().find(same).cloned()
}

/// Load of a gate for the choice of the owner; none when it takes no new work.
fn load(member: &Member) -> Option<f64> {
    match member.target_state {
        _ if !is_live(member) => None,
        TargetState::Ready => Some(0.0),
        TargetState::Cold => Some(COLD_LOAD),
        TargetState::Draining | TargetState::Gone => None,
    }
}

/// Live nodes of a service, those in the same data centre first.
fn claim_peers(
    members: &MemberView,
    service: &ServiceName,
    data_centre: &DataCentre,
) -> Vec<ClaimPeer> {
    let members = Arc::clone(&members.borrow());
    let mut live: Vec<_> = members
        .iter()
        .filter(|member| member.service == *service && is_live(member))
        .collect();
    live.sort_by_key(|member| member.data_centre != *data_centre);
    live.into_iter()
        .map(|member| ClaimPeer {
            control_address: member.control_address,
        })
        .collect()
}

/// Handles claim calls from other nodes until the control plane ends. The control plane bounds the number of calls that
/// run at once.
pub async fn serve_claims(
    mut calls: mpsc::Receiver<ClaimsCall>,
    claims: Arc<Claims>,
    tasks: TaskTracker,
) {
    while let Some(ClaimsCall { call, reply }) = calls.recv().await {
        let claims = Arc::clone(&claims);
        tasks.spawn(async move {
            if let Some(answer) = handle(&claims, call).await {
                // The receiver is gone if the deadline of the calling node has passed.
                let _ = reply.send(answer);
            }
        });
    }
}

async fn handle(claims: &Claims, call: wire::ClaimCall) -> Option<ClaimsReply> {
    Some(match call.request {
        wire::ClaimRequest::Claim(claim) => {
            ClaimsReply::Claim(to_wire(claims.on_claim(&call.service, claim).await))
        }
        wire::ClaimRequest::Completed(completed) => {
            claims.on_completed(completed).await;
            ClaimsReply::Done
        }
        wire::ClaimRequest::Resolve(ask) => ClaimsReply::Resolved(claims.on_resolve(ask).await?),
        wire::ClaimRequest::Fence(fence) => ClaimsReply::Fenced(claims.on_fence(fence).await?),
        wire::ClaimRequest::Adopt(adopt) => ClaimsReply::Adopted(claims.on_adopt(adopt).await?),
        // Shards change owner through the shard table only, so a hand-over is always declined.
        wire::ClaimRequest::HandOver(_) => ClaimsReply::HandOver(false),
    })
}

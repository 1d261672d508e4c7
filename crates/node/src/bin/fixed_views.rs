//! A node without a control plane, whose views are set by commands on standard input. Tests and trials use it.
//!
//! Arguments: name of the node, service, address of its target or `-`, slots. Lines on standard input:
//! `member NAME SERVICE DATA_ADDRESS STATE` adds or replaces a member, `entry JSON` adds a catalogue entry, `target
//! STATE` sets the state of the local target. The node drains at the end of the input.

use {
    jujubeline_catalogue::{CatalogueState, Change, Edit},
    jujubeline_coordination::membership::{Member, Presence, TargetState},
    jujubeline_node::{LocalTarget, Node, NodeSettings, Sockets, Views, data::Agreed},
    std::{error::Error, net::SocketAddr, sync::Arc, time::Duration},
    tokio::{
        io::{AsyncBufReadExt, BufReader, stdin},
        sync::watch,
    },
};

type BoxError = Box<dyn Error + Send + Sync>;

struct ViewWriter {
    catalogue: watch::Sender<Arc<CatalogueState>>,
    members: watch::Sender<Arc<Vec<Member>>>,
    local_target: Arc<watch::Sender<LocalTarget>>,
}

impl ViewWriter {
    fn apply(&self, line: &str) -> Result<(), BoxError> {
        let (kind, rest) = line
            .split_once(' ')
            .ok_or("a line needs a kind and its arguments")?;
        match kind {
            "member" => {
                let member = member(rest)?;
                self.members.send_modify(|members| {
                    let mut next = members.as_ref().clone();
                    next.retain(|known| known.node != member.node);
                    next.push(member);
                    *members = Arc::new(next);
                });
            }
            "entry" => {
                let mut state = self.catalogue.borrow().as_ref().clone();
                state.apply(&Change {
                    revision: state.revision() + 1,
                    change_id: "from standard input".to_owned(),
                    author: "test".to_owned(),
                    made_at_ms: 0,
                    edits: vec![Edit::Set(serde_json::from_str(rest)?)],
                })?;
                self.catalogue.send_replace(Arc::new(state));
            }
            "target" => {
                let state = target_state(rest)?;
                self.local_target.send_modify(|target| target.state = state);
            }
            other => return Err(format!("unknown kind of line {other:?}").into()),
        }
        Ok(())
    }
}

fn target_state(text: &str) -> Result<TargetState, BoxError> {
    match text {
        "cold" => Ok(TargetState::Cold),
        "ready" => Ok(TargetState::Ready),
        "draining" => Ok(TargetState::Draining),
        "gone" => Ok(TargetState::Gone),
        other => Err(format!("unknown target state {other:?}").into()),
    }
}

fn member(text: &str) -> Result<Member, BoxError> {
    let [node, service, address, state] = text
        .split(' ')
        .collect::<Vec<_>>()
        .try_into()
        .map_err(|_| "a member needs NAME SERVICE DATA_ADDRESS STATE")?;
    let address: SocketAddr = address.parse()?;
    Ok(Member {
        node: node.into(),
        incarnation: 1,
        update: 0,
        data_address: address,
        control_address: address,
        data_centre: "dc1".into(),
        region: "region1".into(),
        service: service.into(),
        target_state: target_state(state)?,
        slots: 16,
        catalogue_revision: 0,
        presence: Presence::Alive,
        platform_unreachable: false,
    })
}

fn settings() -> Result<NodeSettings, BoxError> {
    let arguments: Vec<_> = std::env::args().skip(1).collect();
    let [node, service, target, slots] = arguments.as_slice() else {
        return Err("arguments: NODE SERVICE TARGET SLOTS".into());
    };
    Ok(NodeSettings {
        target_address: match target.as_str() {
            "-" => None,
            address => Some(address.parse()?),
        },
        target_connections: 256,
        target_slots: slots.parse()?,
        stop_grace: Duration::from_secs(30),
        ..NodeSettings::on_loopback(node, "dc1", service)
    })
}

#[tokio::main]
async fn main() -> Result<(), BoxError> {
    let settings = settings()?;
    let (catalogue, catalogue_view) = watch::channel(Arc::default());
    let (members, member_view) = watch::channel(Arc::default());
    let (local_target, _) = watch::channel(LocalTarget::initial(&settings));
    let view_writer = ViewWriter {
        catalogue,
        members,
        local_target: Arc::new(local_target),
    };
    let views = Views {
        catalogue: catalogue_view,
        members: member_view,
        local_target: Arc::clone(&view_writer.local_target),
        revision_query: Arc::default(),
    };
    let sockets = Sockets::bind(&settings)
        .await
        .map_err(|error| format!("{error:?}"))?;
    let node = Node::start_with(settings, views, Agreed::default(), sockets)
        .map_err(|error| format!("{error:?}"))?;
    println!("callers {}", node.callers_address());
    println!("data {}", node.data_address());
    println!("operators {}", node.operators_address());
    let mut lines = BufReader::new(stdin()).lines();
    while let Some(line) = lines.next_line().await? {
        view_writer.apply(&line)?;
        println!("done {line}");
    }
    node.stop().await.map_err(|error| format!("{error:?}"))?;
    println!("stopped");
    Ok(())
}

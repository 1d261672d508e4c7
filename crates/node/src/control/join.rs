//! Joining through other nodes, and the periodic exchange of member tables.

use {
    super::{membership_actor::MembershipHandle, rpc::Peers},
    futures::future::join_all,
    rand::seq::SliceRandom,
    std::{net::SocketAddr, time::Duration},
    tokio::{sync::mpsc, time::timeout},
};

/// Time between two attempts to join while a node that has just started is isolated or has contacts that were not
/// reached. After a loss of power all nodes start within some hundred milliseconds, and a node that tried once a second
/// refused requests for lack of targets for a second.
const RETRY_PERIOD: Duration = Duration::from_millis(200);

/// Number of attempts at [`RETRY_PERIOD`]; after 10 s a node that is still isolated tries less often.
const EARLY_RETRIES: u32 = 50;

/// Time between two attempts to join after the first [`EARLY_RETRIES`].
const ISOLATED_PERIOD: Duration = Duration::from_secs(1);

/// Attempts to join through one contact. A contact that is not reached within a few seconds is probably gone.
const CONTACT_ATTEMPTS: u32 = 15;

/// Timeout of one attempt to join. A contact without power does not answer at all and must not delay the others.
const JOIN_DEADLINE: Duration = Duration::from_secs(1);

/// Time between two table exchanges with a random peer. An exchange sends a digest of 2 KB, so this costs 140 B/s.
const EXCHANGE_PERIOD: Duration = Duration::from_secs(15);

/// Time between the start and the first exchange. It doubles up to [`EARLY_EXCHANGE_PERIOD`]: nodes that start together
/// join through nodes whose tables are still incomplete.
const FIRST_EXCHANGE_PERIOD: Duration = Duration::from_millis(250);

/// Longest time between two exchanges of a node that has just started. When many nodes start together, some updates are
/// lost: with one exchange a minute, 300 nodes took 117 s until their tables were complete.
const EARLY_EXCHANGE_PERIOD: Duration = Duration::from_secs(3);

/// Number of exchanges after the start that use the shorter periods.
const EARLY_EXCHANGES: u32 = 14;

/// Timeout of one table exchange.
const EXCHANGE_DEADLINE: Duration = Duration::from_secs(5);

/// Contacts that are tried at the same time. A contact returns its whole table, which mostly names the other contacts.
const CONTACTS_AT_ONCE: usize = 3;

/// Maximum number of contacts that wait to be joined through.
pub(super) const MAX_CONTACTS: usize = 64;

/// A node to join through that was not reached yet.
#[derive(Debug, Clone, Copy)]
struct Contact {
    address: SocketAddr,
    attempts_left: u32,
}

impl Contact {
    const fn new(address: SocketAddr) -> Self {
        Self {
            address,
            attempts_left: CONTACT_ATTEMPTS,
        }
    }
}

/// Joins through seeds and through contacts, which come from the platform or from datagrams of unknown nodes, then
/// exchanges tables until the task is cancelled.
pub(super) async fn run(
    seeds: Vec<SocketAddr>,
    mut contacts: mpsc::Receiver<SocketAddr>,
    own: SocketAddr,
    membership: MembershipHandle,
    peers: Peers,
) {
    let mut unreached: Vec<Contact> = Vec::new();
    let (mut retries, mut exchanges) = (0_u32, 0_u32);
    loop {
        let through_seeds = seeds
            .iter()
            .map(|seed| join_through(*seed, own, &membership, &peers));
        join_all(through_seeds).await;
        unreached = join_through_contacts(unreached, own, &membership, &peers).await;
        let is_isolated = membership.view().borrow().len() <= 1;
        let period = if is_isolated || !unreached.is_empty() {
            retries = retries.saturating_add(1);
            retry_period(retries)
        } else {
            exchanges = exchanges.saturating_add(1);
            exchange_period(exchanges)
        };
        let received = timeout(period, contacts.recv()).await;
        if let Ok(Some(address)) = received {
            unreached.push(Contact::new(address));
            // Contacts that arrived together are tried together.
            while unreached.len() < MAX_CONTACTS
                && let Ok(address) = contacts.try_recv()
            {
                unreached.push(Contact::new(address));
            }
            continue;
        }
        if received.is_ok() {
            // The channel of contacts is closed.
            tokio::time::sleep(period).await;
        }
        exchange(&membership, &peers).await;
    }
}

fn retry_period(retries: u32) -> Duration {
    if retries <= EARLY_RETRIES {
        RETRY_PERIOD
    } else {
        ISOLATED_PERIOD
    }
}

fn exchange_period(exchanges: u32) -> Duration {
    if exchanges > EARLY_EXCHANGES {
        return EXCHANGE_PERIOD;
    }
    let doubled = FIRST_EXCHANGE_PERIOD * 2_u32.pow(exchanges.saturating_sub(1).min(8));
    doubled.min(EARLY_EXCHANGE_PERIOD)
}

/// Tries to join through all contacts, a few at once, and returns those that were not reached and have attempts left.
async fn join_through_contacts(
    mut contacts: Vec<Contact>,
    own: SocketAddr,
    membership: &MembershipHandle,
    peers: &Peers,
) -> Vec<Contact> {
    contacts.shuffle(&mut rand::rng());
    let mut unreached = Vec::new();
    for some in contacts.chunks(CONTACTS_AT_ONCE) {
        let attempts = some.iter().map(|contact| async move {
            let reached = join_through(contact.address, own, membership, peers).await;
            let attempts_left = contact.attempts_left - 1;
            (!reached && attempts_left > 0).then_some(Contact {
                attempts_left,
                ..*contact
            })
        });
        unreached.extend(join_all(attempts).await.into_iter().flatten());
    }
    unreached
}

/// Merges the table of a node that is not a member yet, and announces this node to the others. Returns whether the
/// contact is a member or is this node.
async fn join_through(
    contact: SocketAddr,
    own: SocketAddr,
    membership: &MembershipHandle,
    peers: &Peers,
) -> bool {
    if contact == own || membership.has_member_at(contact) {
        return true;
    }
    match peers.members(contact, Vec::new(), JOIN_DEADLINE).await {
        Ok(members) => {
            membership.merge(contact, members).await;
            membership.announce_description().await;
            true
        }
        Err(error) => {
            log::debug!("join through {contact} failed: {error:?}");
            false
        }
    }
}

/// Compares tables with a random peer and merges the members that differ.
async fn exchange(membership: &MembershipHandle, peers: &Peers) {
    let Some(peer) = membership.random_peer().await else {
        return;
    };
    let Some(digest) = membership.digest().await else {
        return;
    };
    match peers.members(peer, digest, EXCHANGE_DEADLINE).await {
        Ok(members) => membership.merge(peer, members).await,
        Err(error) => log::debug!("table exchange with {peer} failed: {error:?}"),
    }
}

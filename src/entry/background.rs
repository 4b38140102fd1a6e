//! Periodic tasks of an entry: instance list, gossip, ejection and leader election.
//!
//! The elected leader also sends load and unload orders to the sidecars.

use super::{Entry, history, jitter, links, quarantine, readiness, sync};
use crate::clock;
use crate::eject;
use crate::event::Kind;
use crate::frame::{Gossip, Order, Reply, Request};
use crate::id::Fence;
use crate::lead::{Election, PlannedOrder, Planner, Term};
use crate::member::{self, Change};
use crate::peer::Link;
use crate::process::OutageLog;
use crate::store::StoreError;
use rand::seq::IndexedRandom;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Mean interval between reads of the instance list.
const LIST_INTERVAL: Duration = Duration::from_millis(1000);
/// Mean interval between gossip exchanges, each with one randomly chosen entry.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of a gossip exchange.
const GOSSIP_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval between checks for endpoints to eject or readmit.
const EJECTION_INTERVAL: Duration = Duration::from_millis(100);
/// Mean interval between steps of the election and, on the leader, of the planner.
const ELECTION_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of entries that compete for leadership at a time.
const MAX_CANDIDATES: usize = 3;
/// Timeout of each request of the leader to a sidecar.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Applies the instance list to the board and opens a link to each listed endpoint.
pub async fn follow_list(e: Rc<Entry>) {
    let mut outage = OutageLog::new("instance-list");
    loop {
        let read = e.list.read().await;
        match &read {
            Ok(_) => outage.end(&e.process),
            Err(why) => outage.fail(&e.process, clock::now(), *why, &e.list.last_failure()),
        }
        if let Ok(rows) = read {
            let own = &e.process.settings.instance;
            let changes = member::apply(&mut e.board.borrow_mut(), own, &rows);
            for change in changes {
                log_change(&e, change);
            }
            open_links(&e);
        }
        tokio::time::sleep(jitter(LIST_INTERVAL)).await;
    }
}

fn log_change(e: &Entry, change: Change) {
    let find_instance = |key| e.board.borrow().endpoints.get(key).map(|x| x.instance.clone());
    match change {
        Change::Joined(key) => {
            if let Some(instance) = find_instance(key) {
                e.process.event(Kind::Joined, instance, "");
            }
        }
        Change::Leaving(key) => {
            if let Some(instance) = find_instance(key) {
                e.process.event(Kind::Leaving, instance, "from=list");
            }
        }
        Change::Left(_, instance) => {
            e.process.event(Kind::Left, &instance, "");
            links::close(e, &instance);
            e.history.note_left(&instance);
        }
    }
}

fn open_links(e: &Rc<Entry>) {
    let keys: Vec<_> = e.board.borrow().endpoints.keys().collect();
    for key in keys {
        links::get_or_open(e, key);
    }
}

/// Exchanges quarantine state and intent versions with one random entry at a time.
pub async fn run_gossip(e: Rc<Entry>) {
    let mut open: HashMap<SocketAddr, Link> = HashMap::new();
    loop {
        tokio::time::sleep(jitter(GOSSIP_INTERVAL)).await;
        let peers: Vec<SocketAddr> = e.board.borrow().entries.iter().map(|p| p.peer).collect();
        open.retain(|address, _| peers.contains(address));
        let Some(address) = peers.choose(&mut rand::rng()).copied() else { continue };
        let link = match open.get(&address) {
            Some(link) => link.clone(),
            None => {
                let Ok(link) = Link::dial(address) else { continue };
                open.insert(address, link.clone());
                link
            }
        };
        if !send_hello(&e, &link).await {
            // Dials again next time: either the connection or the peer has failed.
            open.remove(&address);
        }
    }
}

async fn send_hello(e: &Rc<Entry>, link: &Link) -> bool {
    let gossip = own_gossip(e);
    let Ok(reply) = e.process.request(link, Request::Hello(gossip), GOSSIP_TIMEOUT).await else {
        return false;
    };
    if let Reply::Hello(received) = &reply.body {
        merge(e, received);
    }
    e.peer_versions.borrow_mut().insert(reply.from.clone(), reply.version);
    sync::exchange_intent(e, link, reply.version).await;
    true
}

/// Merges the state of another entry and returns the local state.
pub fn answer_hello(e: &Entry, received: &Gossip) -> Gossip {
    merge(e, received);
    own_gossip(e)
}

fn merge(e: &Entry, received: &Gossip) {
    quarantine::merge(e, received);
    e.history.learn(received.store);
}

fn own_gossip(e: &Entry) -> Gossip {
    let quarantine = e.quarantine.borrow().gossip(clock::now());
    Gossip { store: e.history.known(), ..quarantine }
}

/// Ejects failing endpoints, readmits them after their ejection period, and keeps the quarantine and
/// the report of the readiness up to date.
pub async fn run_ejection(e: Rc<Entry>) {
    loop {
        tokio::time::sleep(EJECTION_INTERVAL).await;
        readiness::step(&e, clock::now());
        quarantine::step(&e);
        let changes = eject::step(clock::now(), &mut e.board.borrow_mut());
        for change in changes {
            let (kind, key) = match change {
                eject::Change::Ejected(key, _) => (Kind::Ejected, key),
                eject::Change::Readmitted(key) => (Kind::Readmitted, key),
            };
            let instance = e.board.borrow().endpoints.get(key).map(|x| x.instance.clone());
            if let Some(instance) = instance {
                e.process.event(kind, instance, "");
            }
        }
    }
}

/// Takes part in the leader election and sends orders while this entry is the leader.
pub async fn run_election(e: Rc<Entry>) {
    let mut election = Election::default();
    let mut planner = Planner::new(e.process.settings.load_rate);
    loop {
        tokio::time::sleep(jitter(ELECTION_INTERVAL)).await;
        let is_candidate = sync::rank(&e, false) < MAX_CANDIDATES && !e.board.borrow().draining;
        if !is_candidate && election.term.is_none() {
            continue;
        }
        let before = election.term.map(|t| t.fence);
        let own = e.process.settings.instance.clone();
        let Some(marker) = history::marker(&e).await else { continue };
        // After a store error the current term stays valid until it expires.
        let stepped = election.step(clock::now(), &e.store, &own, &marker).await;
        if stepped == Err(StoreError::Behind) {
            let _ = history::refresh(&e).await;
        }
        log_term(&e, before, election.term);
        if let Some(term) = election.term {
            send_orders(&e, &mut planner, term).await;
        }
    }
}

fn log_term(e: &Entry, before: Option<Fence>, term: Option<Term>) {
    match (before, term) {
        (None, Some(t)) => e.process.event(Kind::Elected, t.fence, ""),
        (Some(fence), None) => e.process.event(Kind::Deposed, fence, ""),
        _ => {}
    }
}

async fn send_orders(e: &Rc<Entry>, planner: &mut Planner, term: Term) {
    let text = e.text();
    let orders = planner.step(clock::now(), &e.board.borrow(), &text);
    for order in orders {
        if !send_order(e, &order, term).await {
            planner.forget(&order);
        }
    }
}

/// Requests a ticket, checks that the lease is still valid, and sends the order.
///
/// Returns whether the sidecar carried out the order.
async fn send_order(e: &Rc<Entry>, order: &PlannedOrder, term: Term) -> bool {
    let Some(link) = links::get_or_open(e, order.endpoint) else { return false };
    let issued = link.request(e, Request::Ticket(term.fence), ORDER_TIMEOUT).await;
    let Ok(Reply::Ticket(ticket)) = issued.map(|r| r.body) else { return false };
    if !term.may_order(clock::now()) {
        return false;
    }
    let request = Order { fence: term.fence, ticket, action: order.action.clone() };
    let reply = link.request(e, Request::Order(request), ORDER_TIMEOUT).await;
    let is_done = matches!(reply.map(|r| r.body), Ok(Reply::Ordered(true)));
    let detail = format!("{:?} done={is_done}", order.action);
    e.process.event(Kind::Ordered, term.fence, detail);
    is_done
}

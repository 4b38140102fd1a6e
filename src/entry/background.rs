//! What an entry does beside requests: the list, gossip, ejection and, for one, orders.

use super::{Entry, jitter, links, sync};
use crate::clock;
use crate::eject;
use crate::event::Kind;
use crate::frame::{Gossip, Order, Reply, Request};
use crate::id::Fence;
use crate::lead::{Election, PlannedOrder, Planner, Term};
use crate::member::{self, Change};
use crate::peer::Link;
use rand::seq::IndexedRandom;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time between two reads of the instance list.
const LIST_TIME: Duration = Duration::from_millis(1000);
/// Time between two exchanges with another entry.
const GOSSIP_TIME: Duration = Duration::from_millis(500);
/// Time for another entry to answer.
const GOSSIP_WAIT: Duration = Duration::from_millis(800);
/// Time between two looks at failing endpoints.
const EJECT_TIME: Duration = Duration::from_millis(100);
/// Time between two steps of the election and the leader.
const LEAD_TIME: Duration = Duration::from_secs(2);
/// Entries that stand for election.
const CANDIDATES: usize = 3;
/// Time for a sidecar to answer the leader.
const ORDER_WAIT: Duration = Duration::from_millis(1500);

/// Follows the instance list, and links to the endpoints this entry uses.
pub async fn read_list(e: Rc<Entry>) {
    loop {
        if let Ok(rows) = e.list.read().await {
            let own = &e.process.settings.instance;
            let changes = member::apply(clock::now(), &mut e.board.borrow_mut(), own, &rows);
            for change in changes {
                note_change(&e, change);
            }
            open_links(&e);
        }
        tokio::time::sleep(jitter(LIST_TIME)).await;
    }
}

fn note_change(e: &Entry, change: Change) {
    let name = |key| e.board.borrow().endpoints.get(key).map(|x| x.instance.clone());
    match change {
        Change::Joined(key) => {
            if let Some(instance) = name(key) {
                e.process.event(Kind::Joined, instance, "");
            }
        }
        Change::Leaving(key) => {
            if let Some(instance) = name(key) {
                e.process.event(Kind::Leaving, instance, "from=list");
            }
        }
        Change::Left(_, instance) => {
            e.process.event(Kind::Left, &instance, "");
            links::close(e, &instance);
        }
    }
}

fn open_links(e: &Rc<Entry>) {
    let keys: Vec<_> = e.board.borrow().endpoints.keys().collect();
    for key in keys {
        links::get(e, key);
    }
}

/// Exchanges what is known with one other entry at a time.
pub async fn gossip(e: Rc<Entry>) {
    let mut open: HashMap<SocketAddr, Link> = HashMap::new();
    loop {
        tokio::time::sleep(jitter(GOSSIP_TIME)).await;
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
        if !hello(&e, &link).await {
            // A silent connection is replaced, a dead peer dialled again.
            open.remove(&address);
        }
    }
}

async fn hello(e: &Rc<Entry>, link: &Link) -> bool {
    let gossip = e.quarantine.borrow().gossip();
    let Ok(reply) = e.process.ask(link, Request::Hello(gossip), GOSSIP_WAIT).await else {
        return false;
    };
    if let Reply::Hello(theirs) = &reply.body {
        e.quarantine.borrow_mut().merge(theirs);
    }
    e.peers.borrow_mut().insert(reply.from.clone(), reply.version);
    sync::exchange(e, link, reply.version).await;
    true
}

/// Answers another entry.
pub fn greet(e: &Entry, theirs: &Gossip) -> Gossip {
    let mut quarantine = e.quarantine.borrow_mut();
    quarantine.merge(theirs);
    quarantine.gossip()
}

/// Ejects and readmits endpoints.
pub async fn eject(e: Rc<Entry>) {
    loop {
        tokio::time::sleep(EJECT_TIME).await;
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

/// Stands for election and gives orders while leading.
pub async fn lead(e: Rc<Entry>) {
    let mut election = Election::default();
    let mut planner = Planner::new(e.process.settings.loads);
    loop {
        tokio::time::sleep(jitter(LEAD_TIME)).await;
        let is_candidate = sync::rank(&e, false) < CANDIDATES && !e.board.borrow().draining;
        if !is_candidate && election.term.is_none() {
            continue;
        }
        let before = election.term.map(|t| t.fence);
        let own = e.process.settings.instance.clone();
        // An error leaves the term as it is; it ends by its own time.
        let _ = election.step(clock::now(), &e.store, &own).await;
        note_term(&e, before, election.term);
        if let Some(term) = election.term {
            give_orders(&e, &mut planner, term).await;
        }
    }
}

fn note_term(e: &Entry, before: Option<Fence>, term: Option<Term>) {
    match (before, term) {
        (None, Some(t)) => e.process.event(Kind::Elected, t.fence, ""),
        (Some(fence), None) => e.process.event(Kind::Deposed, fence, ""),
        _ => {}
    }
}

async fn give_orders(e: &Rc<Entry>, planner: &mut Planner, term: Term) {
    let text = e.text();
    let orders = planner.step(clock::now(), &e.board.borrow(), &text);
    for order in orders {
        if !give(e, &order, term).await {
            planner.forget(&order);
        }
    }
}

/// Draws a ticket, checks the lease, and sends the order.
async fn give(e: &Rc<Entry>, order: &PlannedOrder, term: Term) -> bool {
    let Some(link) = links::get(e, order.endpoint) else { return false };
    let drawn = link.ask(e, Request::Ticket(term.fence), ORDER_WAIT).await;
    let Ok(Reply::Ticket(ticket)) = drawn.map(|r| r.body) else { return false };
    if !term.may_order(clock::now()) {
        return false;
    }
    let request = Order { fence: term.fence, ticket, action: order.action.clone() };
    let reply = link.ask(e, Request::Order(request), ORDER_WAIT).await;
    let is_done = matches!(reply.map(|r| r.body), Ok(Reply::Ordered(true)));
    let detail = format!("{:?} done={is_done}", order.action);
    e.process.event(Kind::Ordered, term.fence, detail);
    is_done
}

//! Keeps the view of endpoints and entries, from the instance list and from links.
//!
//! The list lags both ways. An endpoint joins by the list alone; it stops getting work as soon as
//! the list, its own report or its silent link says so; and it is forgotten when the list no
//! longer has it and its link is silent too.

use crate::board::{Endpoint, EndpointKey, EntryBoard, Health, Peer};
use crate::id::InstanceId;
use crate::store::{Listed, ListedState, Role};
use std::time::Instant;

/// A change of the view.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// An endpoint joined.
    Joined(EndpointKey),
    /// An endpoint began to leave.
    Leaving(EndpointKey),
    /// An endpoint was forgotten.
    Left(EndpointKey, InstanceId),
}

/// Takes over a fresh copy of the list; `own` is the instance of this process.
pub fn apply(
    now: Instant,
    board: &mut EntryBoard,
    own: &InstanceId,
    rows: &[Listed],
) -> Vec<Change> {
    board.list_read = Some(now);
    board.entries = rows
        .iter()
        .filter(|r| r.role == Role::Entry && r.instance != *own && r.state == ListedState::Live)
        .map(|r| Peer { instance: r.instance.clone(), centre: r.centre.clone(), peer: r.peer })
        .collect();
    let mut changes = Vec::new();
    for row in rows.iter().filter(|r| r.role == Role::Endpoint) {
        changes.extend(apply_row(board, row));
    }
    changes.extend(forget(board, rows));
    changes
}

fn apply_row(board: &mut EntryBoard, row: &Listed) -> Option<Change> {
    let Some(key) = board.find(&row.instance) else {
        let key = board.endpoints.insert(endpoint(row));
        return Some(Change::Joined(key));
    };
    let e = &mut board.endpoints[key];
    let was = e.listed.replace(row.state);
    // An instance that comes back under another address is a new process.
    if e.peer != row.peer {
        board.endpoints[key] = endpoint(row);
        return Some(Change::Joined(key));
    }
    let is_news = row.state == ListedState::Leaving && was != Some(ListedState::Leaving);
    is_news.then_some(Change::Leaving(key))
}

fn endpoint(row: &Listed) -> Endpoint {
    Endpoint {
        instance: row.instance.clone(),
        centre: row.centre.clone(),
        peer: row.peer,
        listed: Some(row.state),
        latest: None,
        linked: false,
        health: Health::default(),
        open_requests: 0,
        sent_requests: 0,
        sent_tokens: 0,
    }
}

fn forget(board: &mut EntryBoard, rows: &[Listed]) -> Vec<Change> {
    let mut changes = Vec::new();
    for (key, e) in &mut board.endpoints {
        if !rows.iter().any(|r| r.instance == e.instance) {
            e.listed = None;
            if !e.linked {
                changes.push(Change::Left(key, e.instance.clone()));
            }
        }
    }
    for c in &changes {
        if let Change::Left(key, _) = c {
            board.endpoints.remove(*key);
        }
    }
    changes
}

//! Membership: maintains an entry's view of endpoints and other entries.
//!
//! The instance list lags behind both when instances start and when they leave. An endpoint is
//! added only when the list names it. It gets no new work as soon as the list or its own report
//! says that it is leaving, or its link is down. It is removed when the list no longer names it and
//! its link is down as well.

use crate::board::{Endpoint, EndpointKey, EntryBoard, Health, Peer};
use crate::id::InstanceId;
use crate::store::{ListedInstance, ListedState, Role};

/// A change of the membership.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// The endpoint was added, or replaced by a new process.
    Joined(EndpointKey),
    /// The list says for the first time that the endpoint is leaving.
    Leaving(EndpointKey),
    /// The endpoint was removed.
    Left(EndpointKey, InstanceId),
}

/// Applies a copy of the instance list; `own` is the instance of this process.
pub fn apply(board: &mut EntryBoard, own: &InstanceId, rows: &[ListedInstance]) -> Vec<Change> {
    board.entries = rows
        .iter()
        .filter(|r| r.role == Role::Entry && r.instance != *own && r.state == ListedState::Live)
        .map(|r| Peer { instance: r.instance.clone(), centre: r.centre.clone(), peer: r.peer })
        .collect();
    let mut changes = Vec::new();
    for row in rows.iter().filter(|r| r.role == Role::Endpoint) {
        changes.extend(apply_row(board, row));
    }
    changes.extend(remove_unlisted(board, rows));
    changes
}

fn apply_row(board: &mut EntryBoard, row: &ListedInstance) -> Option<Change> {
    let Some(key) = board.find(&row.instance) else {
        let key = board.endpoints.insert(new_endpoint(row));
        return Some(Change::Joined(key));
    };
    let e = &mut board.endpoints[key];
    let previous = e.listed.replace(row.state);
    // An instance that is listed with another address is a new process.
    if e.peer != row.peer {
        board.endpoints[key] = new_endpoint(row);
        return Some(Change::Joined(key));
    }
    let starts_leaving =
        row.state == ListedState::Leaving && previous != Some(ListedState::Leaving);
    starts_leaving.then_some(Change::Leaving(key))
}

fn new_endpoint(row: &ListedInstance) -> Endpoint {
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

fn remove_unlisted(board: &mut EntryBoard, rows: &[ListedInstance]) -> Vec<Change> {
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

//! A stand-in for the platform's instance list, which shows changes with a delay.

use crate::host::{ServerThread, free_address};
use skylarkthread::clock;
use skylarkthread::http;
use skylarkthread::id::InstanceId;
use skylarkthread::net;
use skylarkthread::store::{ListedInstance, ListedState};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

#[derive(Debug, Default)]
struct State {
    rows: Vec<ListedInstance>,
    /// Earlier contents with the time of each change, oldest first.
    history: Vec<(Instant, Vec<ListedInstance>)>,
    lag: Duration,
}

impl State {
    /// Returns the rows as of `lag` before `now`, and drops older history.
    fn visible_rows(&mut self, now: Instant) -> Vec<ListedInstance> {
        let lag = self.lag;
        while self.history.len() > 1 && self.history[1].0 + lag <= now {
            self.history.remove(0);
        }
        match self.history.first() {
            Some((at, rows)) if *at + lag <= now => rows.clone(),
            _ => Vec::new(),
        }
    }
}

/// A running instance list; stopped on drop.
#[derive(Debug)]
pub struct InstanceList {
    /// Address that the HTTP server listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    _server: ServerThread,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no holder of the lock panics")
}

impl InstanceList {
    /// Starts an empty list that shows each change after `lag`.
    pub fn start(lag: Duration) -> InstanceList {
        let address = free_address();
        let state = Arc::new(Mutex::new(State { lag, ..State::default() }));
        let shared = state.clone();
        let server = ServerThread::spawn(move || async move {
            let mut listener =
                net::listen(address).expect("cannot bind the instance list's address");
            http::serve(&mut listener, move |_| {
                let rows = lock(&shared).visible_rows(clock::now());
                async move { http::json_response(200, &rows) }
            })
            .await;
        });
        InstanceList { address, state, _server: server }
    }

    /// Changes the rows and records the result in the history.
    fn change(&self, change: impl FnOnce(&mut Vec<ListedInstance>)) {
        let mut s = lock(&self.state);
        change(&mut s.rows);
        let rows = s.rows.clone();
        s.history.push((clock::now(), rows));
    }

    /// Adds an instance or replaces its row.
    pub fn put(&self, row: ListedInstance) {
        self.change(|rows| {
            rows.retain(|r| r.instance != row.instance);
            rows.push(row);
        });
    }

    /// Marks an instance as leaving, if it is listed.
    pub fn mark_leaving(&self, instance: &InstanceId) {
        self.change(|rows| {
            for r in rows.iter_mut().filter(|r| r.instance == *instance) {
                r.state = ListedState::Leaving;
            }
        });
    }

    /// Removes an instance's row.
    pub fn remove(&self, instance: &InstanceId) {
        self.change(|rows| rows.retain(|r| r.instance != *instance));
    }
}

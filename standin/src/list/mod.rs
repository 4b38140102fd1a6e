//! A stand-in for the platform's instance list, which lags.

use crate::host::{ServerThread, free_address};
use skylarkthread::clock;
use skylarkthread::http;
use skylarkthread::id::InstanceId;
use skylarkthread::store::{ListedInstance, ListedState};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

#[derive(Debug, Default)]
struct State {
    rows: Vec<ListedInstance>,
    past: Vec<(Instant, Vec<ListedInstance>)>,
    lag: Duration,
}

impl State {
    /// Returns the rows as they were one lag ago.
    fn seen(&mut self, now: Instant) -> Vec<ListedInstance> {
        let lag = self.lag;
        while self.past.len() > 1 && self.past[1].0 + lag <= now {
            self.past.remove(0);
        }
        match self.past.first() {
            Some((at, rows)) if *at + lag <= now => rows.clone(),
            _ => Vec::new(),
        }
    }
}

/// A running list.
#[derive(Debug)]
pub struct List {
    /// Address it listens on.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    _host: ServerThread,
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().expect("no holder of the lock panics")
}

impl List {
    /// Starts a list that lags by `lag`.
    pub fn start(lag: Duration) -> List {
        let address = free_address();
        let state = Arc::new(Mutex::new(State { lag, ..State::default() }));
        let shared = state.clone();
        let host = ServerThread::spawn(move || async move {
            let listener = http::bind(address).await.expect("the list's address is free");
            http::serve(listener, move |_| {
                let rows = lock(&shared).seen(clock::now());
                async move { http::json(200, &rows) }
            })
            .await;
        });
        List { address, state, _host: host }
    }

    fn change(&self, change: impl FnOnce(&mut Vec<ListedInstance>)) {
        let mut s = lock(&self.state);
        change(&mut s.rows);
        let rows = s.rows.clone();
        s.past.push((clock::now(), rows));
    }

    /// Adds or replaces an instance.
    pub fn put(&self, row: ListedInstance) {
        self.change(|rows| {
            rows.retain(|r| r.instance != row.instance);
            rows.push(row);
        });
    }

    /// Marks an instance as leaving.
    pub fn mark_leaving(&self, instance: &InstanceId) {
        self.change(|rows| {
            for r in rows.iter_mut().filter(|r| r.instance == *instance) {
                r.state = ListedState::Leaving;
            }
        });
    }

    /// Removes an instance.
    pub fn remove(&self, instance: &InstanceId) {
        self.change(|rows| rows.retain(|r| r.instance != *instance));
    }
}

//! A stand-in for an inference engine: continuous batching with a bounded KV cache, allocated in
//! blocks. Speaks the engine's HTTP interface, but samples no model.

mod scheduler;
mod serve;

pub use scheduler::{Params, Scheduler, Step};

use crate::host::{ServerThread, free_address};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

/// Counters since start, read by tests and benchmarks.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Generations evicted for lack of memory and queued again, to be recomputed on admission.
    pub preemptions: u64,
    /// Running or waiting generations removed by a `DELETE` from the sidecar.
    pub cancels: u64,
    /// Output tokens of all generations.
    pub tokens: u64,
    /// Batch steps run.
    pub steps: u64,
    /// Highest KV cache usage after a step, in tokens; whole blocks count.
    pub peak_tokens: u32,
    /// Load and unload orders accepted.
    pub orders: u64,
    /// Load and unload orders rejected because their fencing number was below the highest received.
    pub refused_orders: u64,
}

/// A running engine; stopped on drop.
#[derive(Debug)]
pub struct Engine {
    /// Address that the HTTP server listens on.
    pub address: SocketAddr,
    counts: Arc<Mutex<Counts>>,
    server: ServerThread,
}

fn lock(counts: &Mutex<Counts>) -> MutexGuard<'_, Counts> {
    counts.lock().expect("no holder of the lock panics")
}

impl Engine {
    /// Starts an engine on a free loopback address.
    pub fn start(params: Params) -> Engine {
        Engine::start_at(free_address(), params)
    }

    /// Starts an engine that listens on `address`.
    pub fn start_at(address: SocketAddr, params: Params) -> Engine {
        let counts = Arc::new(Mutex::new(Counts::default()));
        let shared = counts.clone();
        let server = ServerThread::spawn(move || serve::run(address, params, shared));
        Engine { address, counts, server }
    }

    /// Returns a snapshot of the counters.
    pub fn counts(&self) -> Counts {
        *lock(&self.counts)
    }

    /// Stops the engine without closing its streams first, as in a crash.
    pub fn stop(&mut self) {
        self.server.stop();
    }
}

//! A stand-in for a model engine: continuous batching over a bounded memory of blocks.

mod scheduler;
mod serve;

pub use scheduler::{Params, Scheduler, Step};

use crate::host::{ServerThread, free_address};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

/// Counters that a test or measurement reads.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Generations dropped and computed again for want of memory.
    pub preemptions: u64,
    /// Generations taken off by order of the sidecar.
    pub cancels: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Batch steps.
    pub steps: u64,
    /// Most memory in use, in tokens.
    pub peak_tokens: u32,
    /// Orders carried out.
    pub orders: u64,
    /// Orders refused for their fencing number.
    pub refused_orders: u64,
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    /// Address it listens on.
    pub address: SocketAddr,
    counts: Arc<Mutex<Counts>>,
    host: ServerThread,
}

fn lock(counts: &Mutex<Counts>) -> MutexGuard<'_, Counts> {
    counts.lock().expect("no holder of the lock panics")
}

impl Engine {
    /// Starts an engine at a free address.
    pub fn start(params: Params) -> Engine {
        Engine::start_at(free_address(), params)
    }

    /// Starts an engine.
    pub fn start_at(address: SocketAddr, params: Params) -> Engine {
        let counts = Arc::new(Mutex::new(Counts::default()));
        let shared = counts.clone();
        let host = ServerThread::spawn(move || serve::run(address, params, shared));
        Engine { address, counts, host }
    }

    /// Returns the counters.
    pub fn counts(&self) -> Counts {
        *lock(&self.counts)
    }

    /// Stops the engine as a crash would.
    pub fn stop(&mut self) {
        self.host.stop();
    }
}

//! Detects requests that crash endpoints and refuses repeats of them.

use super::job::{Job, log_id};
use super::{Gateway, peers};
use crate::event::Kind;
use crate::frame::{Crash, Gossip};
use crate::id::{Fingerprint, Incarnation};
use crate::pool::PoolKey;
use crate::problem::{Problem, ProblemKind};
use crate::quarantine::Standing;
use actix_rt::net::TcpStream;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::time::timeout;

/// Longest time to connect to an endpoint that may have crashed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time within which an endpoint that cannot serve closes a new connection.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(40);

/// Identifies the content of a request: repeats of it have the same path, API key and body.
fn fingerprint(job: &Job) -> Fingerprint {
    let path = job.req.uri().path().as_bytes();
    let key = job.meta.key.as_deref().unwrap_or("").as_bytes();
    Fingerprint::of(&[path, key, &job.body])
}

/// Refuses a request whose content has crashed too many endpoints.
///
/// # Errors
///
/// Returns a problem if the content is quarantined. The request has not run.
pub fn check(gw: &Gateway, job: Job) -> Result<Job, Problem> {
    let is_refused = {
        let quarantine = gw.quarantine.borrow();
        quarantine.has_suspects() && quarantine.standing(&fingerprint(&job)) == Standing::Refused
    };
    if !is_refused {
        return Ok(job);
    }
    gw.event(Kind::Convicted, log_id(job.meta.id.as_ref()), "");
    Err(Problem::new(
        ProblemKind::Draining,
        "request quarantined: its content has crashed endpoints before",
    ))
}

/// Checks in the background whether an endpoint whose connection broke during a request has
/// crashed, and if so records the request's content as a suspect.
pub fn check_crash(gw: &Rc<Gateway>, job: &Job, key: PoolKey) {
    let found = gw.pool.borrow().endpoints.get(key).map(|e| {
        let incarnation = Fingerprint::of(&[e.listing.id.as_str().as_bytes()]).0;
        (e.listing.address, Incarnation(incarnation), e.is_leaving())
    });
    // A leaving endpoint drops its requests without having crashed.
    let Some((address, incarnation, false)) = found else { return };
    let parts = job.prompt_suffix();
    actix_rt::spawn(check_endpoint(gw.clone(), fingerprint(job), parts, address, incarnation));
}

async fn check_endpoint(
    gw: Rc<Gateway>,
    content: Fingerprint,
    prompt: String,
    address: SocketAddr,
    crashed: Incarnation,
) {
    if !is_down(address).await {
        return;
    }
    let crash = Crash { number: 0, running: vec![content] };
    let changes = gw.quarantine.borrow_mut().record_crash(crashed, &crash);
    for (content, standing) in changes {
        gw.event(
            Kind::Suspected,
            content,
            format_args!("endpoint={address} standing={standing:?}{prompt}"),
        );
    }
    peers::send_suspects(&gw, gw.quarantine.borrow().gossip());
}

/// Returns whether an endpoint refuses connections or closes them at once.
async fn is_down(address: SocketAddr) -> bool {
    let Ok(Ok(mut io)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await else {
        return true;
    };
    timeout(CLOSE_TIMEOUT, io.read(&mut [0])).await.is_ok()
}

/// Merges the suspects and cleared contents reported by another instance.
pub fn merge(gw: &Gateway, gossip: &Gossip) {
    gw.quarantine.borrow_mut().merge(gossip);
}

/// Clears the content of a request that ran to completion.
pub fn clear(gw: &Gateway, job: &Job) {
    let mut quarantine = gw.quarantine.borrow_mut();
    if quarantine.has_suspects() {
        quarantine.clear(&fingerprint(job));
    }
}

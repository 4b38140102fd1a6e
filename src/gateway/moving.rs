//! Moves one running generation away from an engine that is leaving.

use super::{Gateway, Place};
use crate::clock;
use crate::evacuate::{self, Exodus, Mover};
use crate::event::Kind;
use crate::id::{DataCentre, RequestId, ServiceName, Tokens};
use crate::platform::{self, Copied, Handoff};
use crate::pool::PoolKey;
use crate::route::Service;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Longest time for a copy, which may queue behind others.
const COPY_WAIT: Duration = Duration::from_millis(4000);
/// Time between two tries of a copy that could not begin.
const AGAIN_TIME: Duration = Duration::from_millis(60);
/// Time for an engine to tell how it stands.
const REPORT_WAIT: Duration = Duration::from_millis(200);
/// Time for an engine to free a copy.
const FORGET_WAIT: Duration = Duration::from_millis(500);
/// Engines that a generation is offered to.
const TRIES: usize = 6;
/// Time after the notice in which a move may still succeed.
const WORTHWHILE: Duration = Duration::from_secs(10);

/// A generation that may have to move.
#[derive(Debug, Clone)]
pub struct Running {
    /// Request.
    pub id: RequestId,
    /// Service.
    pub service: ServiceName,
    /// What the operators say of it.
    pub terms: Rc<Service>,
    /// Memory that it is expected to need to its end.
    pub tokens: Tokens,
    /// Engine that it runs on.
    pub source: PoolKey,
    /// Address of that engine.
    pub address: SocketAddr,
    /// Data centre of that engine.
    pub centre: DataCentre,
    /// Tells that the generation has ended.
    pub over: Rc<Cell<bool>>,
}

/// What became of a move.
#[derive(Debug)]
pub enum Moved {
    /// The generation has stopped, and goes on from the memory at this engine.
    To(Place, Handoff),
    /// It runs on where it is, or has ended.
    Stay(&'static str),
}

/// Copies a generation to another engine, then stops it there.
pub async fn evacuate(gw: Rc<Gateway>, run: Running) -> Moved {
    let begun = clock::now();
    gw.event(Kind::MoveBegun, &run.id, format_args!("source={}", run.address));
    let moved = evacuate_once(&gw, &run, begun).await;
    let ms = clock::now().saturating_duration_since(begun).as_millis();
    match &moved {
        Moved::To(place, handoff) => {
            let to = gw.pool.borrow().endpoints.get(place.key).map(|e| e.listing.address);
            let detail =
                format!("source={} to={to:?} handle={} ms={ms}", run.address, handoff.handle);
            gw.event(Kind::MoveDone, &run.id, detail);
        }
        Moved::Stay(why) => {
            let detail =
                format!("source={} why={why} over={} ms={ms}", run.address, run.over.get());
            gw.event(Kind::MoveFailed, &run.id, detail);
        }
    }
    moved
}

async fn evacuate_once(gw: &Rc<Gateway>, run: &Running, begun: Instant) -> Moved {
    let mut tried = Vec::new();
    let exodus = look(gw, run, begun).await;
    while clock::now() < begun + WORTHWHILE && tried.len() < TRIES {
        if run.over.get() {
            return Moved::Stay("ended");
        }
        let Some(place) = choose(gw, run, &tried) else {
            tokio::time::sleep(AGAIN_TIME).await;
            tried.clear();
            continue;
        };
        let Some(to) = gw.pool.borrow().endpoints.get(place.key).map(|e| e.listing.address) else {
            continue;
        };
        match platform::copy(run.address, to, &run.id, false, &gw.codec, COPY_WAIT).await {
            Ok(Copied::Done(first)) => return finish(gw, run, place, to, &exodus, first).await,
            Ok(Copied::Absent | Copied::Busy) => tokio::time::sleep(AGAIN_TIME).await,
            Ok(Copied::NoRoom(_)) => tried.push(place.key),
            Err(e) => {
                log::debug!("copy of {} to {to}: {e}", run.id);
                tried.push(place.key);
            }
        }
    }
    Moved::Stay("no engine took it")
}

/// Learns how long the engine has and how much runs there.
async fn look(gw: &Gateway, run: &Running, begun: Instant) -> Exodus {
    let report = platform::report(run.address, &gw.codec, REPORT_WAIT).await;
    let seen = clock::now();
    match report {
        Ok(r) => Exodus { since: begun, leaves: r.leaves, seen, held: r.held, running: r.running },
        Err(e) => {
            log::debug!("report of {}: {e}", run.address);
            Exodus { since: begun, leaves: None, seen, held: run.tokens, running: 1 }
        }
    }
}

fn choose(gw: &Rc<Gateway>, run: &Running, tried: &[PoolKey]) -> Option<Place> {
    let engine = run.terms.engine.as_ref()?;
    let mover = Mover {
        source: run.source,
        service: &run.service,
        centre: &run.centre,
        tokens: run.tokens,
    };
    let key = evacuate::choose(clock::now(), &gw.pool.borrow(), &mover, engine, tried)?;
    Some(Place::take(gw, key, run.tokens))
}

/// Stops the generation once the first copies of its neighbours should be through.
async fn finish(
    gw: &Rc<Gateway>,
    run: &Running,
    place: Place,
    to: SocketAddr,
    exodus: &Exodus,
    first: Handoff,
) -> Moved {
    if let Some(engine) = &run.terms.engine {
        let at = evacuate::last_copy_at(clock::now(), exodus, engine);
        tokio::time::sleep_until(at.into()).await;
    }
    loop {
        if run.over.get() {
            if let Err(e) = platform::forget(&first, &gw.codec, FORGET_WAIT).await {
                log::debug!("copy of {} not freed: {e}", run.id);
            }
            return Moved::Stay("ended");
        }
        match platform::copy(run.address, to, &run.id, true, &gw.codec, COPY_WAIT).await {
            Ok(Copied::Done(handoff)) => return Moved::To(place, handoff),
            Ok(Copied::Busy) => tokio::time::sleep(AGAIN_TIME).await,
            Ok(Copied::Absent) => return Moved::Stay("ended"),
            // It has stopped and its memory lies at its source, which still serves.
            Ok(Copied::NoRoom(Some(handoff))) => {
                return Moved::To(Place::take(gw, run.source, run.tokens), handoff);
            }
            Ok(Copied::NoRoom(None)) => return Moved::Stay("no room for the last copy"),
            Err(_) => return Moved::Stay("last copy lost"),
        }
    }
}

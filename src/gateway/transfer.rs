//! Requests for the links that the copy of a generation needs, and the replies to them.

use super::examine::Host;
use super::peers::{self, Reply};
use super::{Gateway, WorkGuard};
use crate::clock;
use crate::evacuate::{self, MoveRequest, TransferId, TransferRequest, Verdict};
use crate::gossip::{self, PeerMessage, TransferMessage, Work};
use crate::id::{DataCentre, InstanceId, RequestId, ServiceName, Tokens};
use crate::pool::PoolKey;
use crate::route::{Engine, Service};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Time for a coordinator to reply, several round trips between data centres of a region.
const REPLY_TIMEOUT: Duration = Duration::from_millis(40);

/// A running generation to migrate.
#[derive(Debug, Clone)]
pub struct RunningGeneration {
    /// Id of the request, by which the engine knows the generation.
    pub id: RequestId,
    /// Service that the generation belongs to.
    pub service: ServiceName,
    /// Configuration of that service.
    pub spec: Rc<Service>,
    /// Engine memory that it is expected to need at its end.
    pub expected_tokens: Tokens,
    /// Tokens in the engine's memory now; updated while it runs.
    pub used_tokens: Rc<Cell<u32>>,
    /// Engine that it is running on.
    pub source: PoolKey,
    /// Address of that engine.
    pub address: SocketAddr,
    /// Start of that engine.
    pub host: Host,
    /// Data centre of that engine.
    pub centre: DataCentre,
    /// Set once the generation has ended.
    pub ended: Rc<Cell<bool>>,
    /// Whether another engine could continue after the last event that was sent to the caller.
    pub can_continue: Rc<Cell<bool>>,
    /// Set once the source may have stopped the generation for the last copy.
    pub stopping: Rc<Cell<bool>>,
}

impl RunningGeneration {
    /// Returns the load on the target engine, which does not have to read the prompt again.
    pub fn work(&self) -> Work {
        Work { open: 1, held: u64::from(self.expected_tokens.0), unread: 0, copies: 0 }
    }
}

/// Permission to copy a generation to an engine. Dropping it returns the links.
#[derive(Debug)]
pub struct Grant {
    /// Load of the generation, counted on the target.
    pub guard: WorkGuard,
    /// Address of the target.
    pub to: SocketAddr,
    /// Tokens counted on the links of both engines.
    _links: [WorkGuard; 2],
    _transfer: Option<TransferGuard>,
}

/// Answer to a request for links.
#[derive(Debug)]
pub enum Answer {
    /// The copy may start.
    Granted(Grant),
    /// The links are busy, or no engine has room.
    Wait,
    /// The copy would not end in time.
    TooLate,
}

/// Reports a transfer as finished when dropped.
#[derive(Debug)]
struct TransferGuard {
    gw: Rc<Gateway>,
    number: u64,
    coordinator: Coordinator,
}

impl Drop for TransferGuard {
    fn drop(&mut self) {
        match &self.coordinator {
            Coordinator::Own => {
                let own = self.gw.settings.borrow().instance.clone();
                finish(&self.gw, own, self.number);
            }
            Coordinator::Peer(address) => {
                peers::send(&self.gw, &[*address], PeerMessage::TransferDone(self.number));
            }
        }
    }
}

/// Instance that schedules transfers.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Coordinator {
    Own,
    Peer(SocketAddr),
}

/// Requests the links for a copy of one generation until it is granted.
#[derive(Debug)]
pub struct TransferClient {
    gw: Rc<Gateway>,
    number: u64,
    /// Coordinators of the data centre that have not failed to reply, the preferred one last.
    coordinators: Vec<Coordinator>,
}

impl TransferClient {
    /// Prepares requests for a generation.
    pub fn new(gw: &Rc<Gateway>, generation: &RunningGeneration) -> TransferClient {
        let own = gw.settings.borrow().instance.clone();
        let peers = gw.peers.borrow();
        let power = gw.settings.borrow().power;
        let registered = peers::registered(&peers).map(|(i, p)| (i, p.power));
        let instances = registered.chain([(&own, power)]);
        let [first, second] = gossip::transfer_coordinators(&generation.centre, instances);
        let coordinator = |i: &InstanceId| match peers.get(i) {
            Some(peer) => Coordinator::Peer(peer.address),
            None => Coordinator::Own,
        };
        let coordinators = [second, first].into_iter().flatten().map(coordinator).collect();
        TransferClient { gw: gw.clone(), number: gw.messenger.number(), coordinators }
    }

    /// Asks whether the copy may start now. Without a coordinator that replies and knows the
    /// service, this instance decides by the load that it knows.
    pub async fn request(
        &mut self,
        generation: &RunningGeneration,
        deadline: Instant,
        tried: &[PoolKey],
    ) -> Answer {
        while let Some(coordinator) = self.coordinators.last().copied() {
            match self.ask(coordinator, generation, deadline, tried).await {
                Some(Verdict::Granted(tag)) => {
                    let transfer =
                        TransferGuard { gw: self.gw.clone(), number: self.number, coordinator };
                    let key = self.gw.pool.borrow().find_key_by_tag(tag);
                    let grant = key.and_then(|k| self.grant(generation, k, Some(transfer)));
                    return grant.map_or(Answer::Wait, Answer::Granted);
                }
                Some(Verdict::Wait) => return Answer::Wait,
                Some(Verdict::TooLate) => return Answer::TooLate,
                Some(Verdict::Unknown) | None => {
                    self.coordinators.pop();
                }
            }
        }
        self.decide_alone(generation, deadline, tried)
    }

    async fn ask(
        &self,
        coordinator: Coordinator,
        generation: &RunningGeneration,
        deadline: Instant,
        tried: &[PoolKey],
    ) -> Option<Verdict> {
        let left = deadline.saturating_duration_since(clock::now());
        let message = {
            let pool = self.gw.pool.borrow();
            let tag = |k: &PoolKey| pool.endpoints.get(*k).map(|e| e.tag);
            TransferMessage {
                number: self.number,
                source: tag(&generation.source)?,
                service: generation.service.clone(),
                centre: generation.centre.clone(),
                tokens: generation.used_tokens.get(),
                held: generation.expected_tokens.0,
                left_ms: u32::try_from(left.as_millis()).unwrap_or(u32::MAX),
                tried: tried.iter().filter_map(tag).collect(),
            }
        };
        match coordinator {
            Coordinator::Own => {
                let own = self.gw.settings.borrow().instance.clone();
                Some(decide(&self.gw, own, &message))
            }
            Coordinator::Peer(address) => {
                let message = PeerMessage::TransferRequest(message);
                let reply =
                    peers::request_reply(&self.gw, address, self.number, message, REPLY_TIMEOUT);
                match reply.await? {
                    Reply::Transfer(verdict) => Some(verdict),
                    Reply::Admission(_) | Reply::Permits(_) | Reply::Loan(_) => None,
                }
            }
        }
    }

    fn decide_alone(
        &self,
        generation: &RunningGeneration,
        deadline: Instant,
        tried: &[PoolKey],
    ) -> Answer {
        let Some(engine) = generation.spec.engine.as_ref() else { return Answer::TooLate };
        let request = MoveRequest {
            source: generation.source,
            service: &generation.service,
            centre: &generation.centre,
            held: u64::from(generation.expected_tokens.0),
        };
        let now = clock::now();
        if now > deadline {
            return Answer::TooLate;
        }
        let key = {
            let pool = self.gw.pool.borrow();
            let Some(key) = evacuate::choose(now, &pool, &request, engine, tried) else {
                return Answer::Wait;
            };
            let own = link_load(&pool, generation, key);
            let queued = |k| pool.endpoints.get(k).map_or(0, |e| e.work().copies);
            let fits = |k| evacuate::can_start_copy(now, deadline, engine, queued(k), own);
            if !(fits(generation.source) && fits(key)) {
                return Answer::Wait;
            }
            key
        };
        self.grant(generation, key, None).map_or(Answer::Wait, Answer::Granted)
    }

    fn grant(
        &self,
        generation: &RunningGeneration,
        key: PoolKey,
        transfer: Option<TransferGuard>,
    ) -> Option<Grant> {
        let (to, copies) = {
            let pool = self.gw.pool.borrow();
            // The coordinator may not know of an evacuation yet.
            let target = pool.endpoints.get(key).filter(|e| !e.is_evacuated())?;
            (target.listing.address, link_load(&pool, generation, key))
        };
        let guard = WorkGuard::new(&self.gw, key, generation.work());
        let copy = Work { copies, ..Work::default() };
        let links = [generation.source, key].map(|k| WorkGuard::new(&self.gw, k, copy));
        Some(Grant { guard, to, _links: links, _transfer: transfer })
    }
}

/// Returns the load of a copy to an engine on the links of both engines.
fn link_load(pool: &crate::pool::Pool, generation: &RunningGeneration, to: PoolKey) -> u32 {
    let is_remote = pool.endpoints.get(to).is_some_and(|e| e.listing.centre != generation.centre);
    evacuate::link_tokens(generation.used_tokens.get(), is_remote)
}

/// Decides on a request as the coordinator of a data centre's transfers. The memory of a granted
/// generation is reserved until it shows in a digest.
pub fn decide(gw: &Gateway, from: InstanceId, message: &TransferMessage) -> Verdict {
    let now = clock::now();
    let Some(engine) = engine_of(gw, &message.service) else { return Verdict::Unknown };
    let request = TransferRequest {
        id: TransferId { instance: from, number: message.number },
        source: message.source,
        service: &message.service,
        centre: &message.centre,
        tokens: message.tokens,
        held: u64::from(message.held),
        time_left: Duration::from_millis(u64::from(message.left_ms)),
        tried: &message.tried,
    };
    gw.peer_loads.borrow_mut().step(now);
    gw.pool.borrow_mut().update_peer_work(&mut gw.peer_loads.borrow_mut());
    let verdict = gw.links.borrow_mut().request(now, &gw.pool.borrow(), &engine, &request);
    if let Verdict::Granted(tag) = verdict {
        let work = Work { open: 1, held: request.held, ..Work::default() };
        gw.peer_loads.borrow_mut().reserve(now, tag, work);
    }
    verdict
}

/// Records as the coordinator that a transfer has ended.
pub fn finish(gw: &Gateway, from: InstanceId, number: u64) {
    gw.links.borrow_mut().finish(&TransferId { instance: from, number });
}

fn engine_of(gw: &Gateway, service: &ServiceName) -> Option<Engine> {
    gw.table.borrow().as_ref()?.services.get(service)?.engine.clone()
}

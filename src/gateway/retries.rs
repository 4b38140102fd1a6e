//! Permissions for retries, from the part of this instance in the retries of all, or borrowed from
//! other instances.

use super::job::log_id;
use super::peers::{self, Reply};
use super::{Gateway, limits};
use crate::budget::{Charge, Hundredths};
use crate::clock;
use crate::escape::log_value;
use crate::event::Kind;
use crate::gossip::{LoanRequest, PeerMessage};
use crate::id::{RequestId, ServiceName};
use crate::limit::REPLY_TIMEOUT;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;

/// Instances that are asked for what is missing for a retry, one after the other.
const MAX_LENDERS: usize = 3;

/// Permission to send a request.
#[derive(Debug)]
pub enum Permit {
    /// For a request that no endpoint has received.
    First,
    /// For one that an endpoint may have received.
    Retry(RetryPermit),
}

impl Permit {
    /// Gives back a permission that was not used.
    pub fn release(self) {
        if let Permit::Retry(permit) = self {
            permit.release();
        }
    }

    /// Ends the permission after an attempt, and gives it back if that reached no endpoint.
    pub fn settle(self, is_undelivered: bool) {
        if is_undelivered {
            self.release();
        }
    }
}

/// Permission for a retry, which counts as made when it is dropped.
#[derive(Debug)]
pub struct RetryPermit {
    gw: Rc<Gateway>,
    service: ServiceName,
    charge: Charge,
    is_unused: bool,
}

impl RetryPermit {
    /// Gives back a permission that was not used.
    pub fn release(mut self) {
        self.is_unused = true;
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        let mut retries = self.gw.retries.borrow_mut();
        match self.is_unused {
            true => retries.release(clock::now(), &self.service, self.charge),
            false => retries.end(clock::now(), &self.service, self.charge),
        }
    }
}

/// Counts a request that a caller has sent.
pub fn note_request(gw: &Gateway, service: &ServiceName) {
    gw.retries.borrow_mut().note_request(clock::now(), service);
}

/// Returns the permission to send a request to another endpoint; `None` if the retries that are
/// allowed are used up.
pub async fn permit(
    gw: &Rc<Gateway>,
    service: &ServiceName,
    id: Option<&RequestId>,
) -> Option<RetryPermit> {
    let permit = try_permit(gw, service).await;
    record(gw, service, id, permit.as_ref());
    permit
}

/// The same, without a line in the log.
pub async fn try_permit(gw: &Rc<Gateway>, service: &ServiceName) -> Option<RetryPermit> {
    let mut charge = begin(gw, service);
    if charge.is_none() && gw.retries.borrow_mut().may_ask(clock::now(), service) {
        borrow(gw, service).await;
        charge = begin(gw, service);
    }
    let (gw, service) = (gw.clone(), service.clone());
    charge.map(|charge| RetryPermit { gw, service, charge, is_unused: false })
}

/// Logs whether a retry is permitted.
pub fn record(
    gw: &Gateway,
    service: &ServiceName,
    id: Option<&RequestId>,
    permit: Option<&RetryPermit>,
) {
    metrics::counter!("retries_total", "allowed" => permit.is_some().to_string()).increment(1);
    let left = gw.retries.borrow_mut().left(clock::now(), service);
    let (kind, from) = match permit.map(|p| p.charge.is_borrowed()) {
        None => (Kind::RetryDenied, ""),
        Some(true) => (Kind::Retried, " from=loan"),
        Some(false) => (Kind::Retried, " from=own"),
    };
    let service = log_value(service.as_str());
    gw.event(kind, log_id(id), format_args!("service={service}{from} left={left:.2}"));
}

fn begin(gw: &Gateway, service: &ServiceName) -> Option<Charge> {
    limits::check_suspension(gw);
    gw.retries.borrow_mut().begin(clock::now(), service)
}

/// Asks other instances for what is missing for a retry.
async fn borrow(gw: &Gateway, service: &ServiceName) {
    for address in lenders(gw) {
        let sent = clock::now();
        let wanted = gw.retries.borrow_mut().missing(sent, service);
        if wanted.is_zero() {
            return;
        }
        let number = gw.messenger.number();
        let message =
            PeerMessage::LoanRequest(number, LoanRequest { service: service.clone(), wanted });
        let reply = peers::request_reply(gw, address, number, message, REPLY_TIMEOUT).await;
        if let Some(Reply::Loan(lent)) = reply {
            gw.retries.borrow_mut().borrow(clock::now(), sent, service, lent);
        }
    }
    let now = clock::now();
    let mut retries = gw.retries.borrow_mut();
    let is_enough = retries.missing(now, service).is_zero();
    metrics::counter!("retry_loans_total", "enough" => is_enough.to_string()).increment(1);
    if !is_enough {
        retries.record_refusal(now, service);
    }
}

/// Returns the addresses of some instances that were heard from recently.
fn lenders(gw: &Gateway) -> Vec<SocketAddr> {
    let (peers, loads) = (gw.peers.borrow(), gw.peer_loads.borrow());
    let heard = peers.iter().filter(|(i, _)| loads.has_heard(i)).map(|(_, p)| p.address);
    heard.choose_multiple(&mut rand::rng(), MAX_LENDERS)
}

/// Decides what to lend to another instance.
pub fn lend(gw: &Gateway, request: &LoanRequest) -> Hundredths {
    limits::check_suspension(gw);
    gw.retries.borrow_mut().lend(clock::now(), &request.service, request.wanted)
}

/// Brings what is allowed and the number of instances up to date.
pub fn step(gw: &Gateway, now: Instant) {
    let registered = peers::registered_count(gw);
    let mut retries = gw.retries.borrow_mut();
    retries.set_terms(gw.settings.borrow().retry_terms);
    retries.record_fleet(now, registered);
}

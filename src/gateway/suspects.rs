//! Exchanges what is known of crashing contents and parts with other instances.

use super::{Gateway, examine, jitter, peers, quarantine};
use crate::clock;
use crate::frame::Gossip;
use crate::gossip::PeerMessage;
use crate::quarantine::Scope;
use crate::task;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time in which an instance that has started learns of the others and their keys.
const PEER_START_TIME: Duration = Duration::from_millis(700);
/// Interval between two messages about accused and refused parts.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);

/// Sends what other instances need to know, at intervals: each instance what has changed there, and
/// those that follow the store what is refused. Does not return.
pub async fn run_gossip(gw: Rc<Gateway>) {
    loop {
        tokio::time::sleep(jitter(GOSSIP_INTERVAL)).await;
        let scope = if peers::is_reader(&gw) { Scope::Refused } else { Scope::Changed };
        send(&gw, scope);
    }
}

/// Tells an instance that has started what this one knows, if it follows the store.
pub fn inform_started(gw: &Rc<Gateway>, to: SocketAddr) {
    let gw = gw.clone();
    task::spawn("greeting", async move {
        tokio::time::sleep(PEER_START_TIME).await;
        if !peers::is_reader(&gw) {
            return;
        }
        let messages = gw.quarantine.borrow_mut().messages(clock::now(), Scope::All);
        for gossip in messages {
            peers::send(&gw, &[to], PeerMessage::Quarantine(gossip));
        }
    });
}

/// Sends what is known in a scope to all other instances.
pub fn send(gw: &Gateway, scope: Scope) {
    let messages = gw.quarantine.borrow_mut().messages(clock::now(), scope);
    messages.into_iter().for_each(|gossip| peers::send_suspects(gw, gossip));
}

/// Merges what another instance or the store tells of.
pub fn merge(gw: &Gateway, gossip: &Gossip) {
    let crashes = gw.quarantine.borrow_mut().merge(clock::now(), gossip);
    examine::record_told(gw, &crashes);
    quarantine::update(gw);
}

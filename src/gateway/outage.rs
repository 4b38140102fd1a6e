//! Asks engines themselves whether they are leaving while the store tells nothing.

use super::{Gateway, peers};
use crate::clock;
use crate::event::Kind;
use crate::gossip::StoreStatus;
use crate::platform;
use crate::pool::PoolKey;
use crate::store::{Feed, StoreError};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time between two rounds: a notice may be as short as a few of them.
const ROUND_TIME: Duration = Duration::from_millis(300);
/// Time between two rounds while the store does not answer: a notice is over in a second or two.
const OUTAGE_TIME: Duration = Duration::from_millis(150);
/// Time for the store to answer a stale read, many times what it takes when it is well.
const PING_WAIT: Duration = Duration::from_millis(250);
/// Time for an engine to answer.
const REPORT_WAIT: Duration = Duration::from_millis(200);

/// Watches the engines that generations of this instance run on, for as long as the process runs.
pub async fn poll_engines(gw: Rc<Gateway>) {
    let own = format!("{}{}", peers::KEY_PREFIX, gw.settings.borrow().instance);
    loop {
        let was_lost = gw.store_lost.get();
        tokio::time::sleep(if was_lost { OUTAGE_TIME } else { ROUND_TIME }).await;
        let hearsay = if peers::is_reader(&gw) {
            StoreStatus::Unknown
        } else {
            peers::store_report(&gw, clock::now())
        };
        let answers = match hearsay {
            StoreStatus::Reachable => true,
            StoreStatus::Unreachable => false,
            StoreStatus::Unknown => {
                let ping = gw.store.ping(&own, PING_WAIT);
                // A store that is silent holds up the ping, not the questions.
                if was_lost { is_back(ping).await } else { ping.await.is_ok() }
            }
        };
        gw.store_lost.set(!answers);
        if answers {
            continue;
        }
        for (key, address) in engines(&gw) {
            actix_rt::spawn(ask(gw.clone(), key, address));
        }
    }
}

/// Tells whether the store answers again, without waiting long for one that does not.
async fn is_back(ping: impl Future<Output = Result<(), StoreError>>) -> bool {
    /// Time for the store to answer during an outage.
    const BACK_WAIT: Duration = Duration::from_millis(60);
    tokio::time::timeout(BACK_WAIT, ping).await.is_ok_and(|done| done.is_ok())
}

/// Returns the engines on which this instance has something running.
fn engines(gw: &Gateway) -> Vec<(PoolKey, SocketAddr)> {
    let table = gw.table.borrow();
    let Some(table) = table.as_ref() else { return Vec::new() };
    let is_engine = |s| table.services.get(s).is_some_and(|s| s.engine.is_some());
    let pool = gw.pool.borrow();
    let used = pool.endpoints.iter().filter(|(_, e)| e.own.held > 0 && !e.is_leaving());
    let used = used.filter(|(_, e)| is_engine(&e.listing.service));
    used.map(|(k, e)| (k, e.listing.address)).collect()
}

async fn ask(gw: Rc<Gateway>, key: PoolKey, address: SocketAddr) {
    match platform::fetch_report(address, &gw.codec, REPORT_WAIT).await {
        Ok(report) if report.leaving => {
            let id = gw.pool.borrow().endpoints.get(key).map(|e| e.listing.id.clone());
            gw.pool.borrow_mut().note_leaving(clock::now(), key);
            if let Some(id) = id {
                let left = report.leaves_in.map(|d| d.as_millis());
                gw.event(Kind::Leaving, id, format_args!("from=report leaves_ms={left:?}"));
            }
        }
        Ok(_) => {}
        Err(e) => log::debug!("report of {address}: {e}"),
    }
}

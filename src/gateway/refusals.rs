//! Refusals of contents and parts in the store, from which instances learn of them when they start.

use super::{Gateway, jitter, peers, suspects};
use crate::clock;
use crate::event::shorten;
use crate::frame::{Gossip, PartsGossip, Suspect};
use crate::id::{Fingerprint, IdError, PartId};
use crate::quarantine::PartSet;
use crate::store::{KeyValue, Leases, StoreError};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::rc::Rc;
use std::str::FromStr;
use std::time::{Duration, Instant};
use tokio::time::timeout;

/// Prefix of the store keys of refused parts and contents.
pub const KEY_PREFIX: &str = "quarantine/";
/// Shortest time to live of a refusal in the store; otherwise it lives for as long as it holds.
const MIN_STORE_TTL: Duration = Duration::from_secs(1);
/// Interval between two checks for refusals that the store lacks.
const PUBLISH_CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Longest delay before a refusal is written to the store.
const MAX_PUBLISH_DELAY: Duration = Duration::from_millis(300);
/// Interval between two attempts to write to the store.
const STORE_RETRY_INTERVAL: Duration = Duration::from_secs(1);
/// Prefix of the names of contents in the keys of the store; parts have none.
const CONTENT_PREFIX: &str = "content-";
/// Between the names of parts that are refused together.
const JOINT: &str = "+";
/// Most parts of a set that is written to the store, whose keys hold 200 bytes.
const MAX_STORED_PARTS: usize = 8;

/// Names what is refused in a key of the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Refused {
    /// Parts of prompts, one or several together.
    Parts(PartSet),
    /// A content.
    Content(Fingerprint),
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Refused::Parts(parts) => {
                let names: Vec<String> = parts.iter().map(PartId::to_string).collect();
                f.write_str(&names.join(JOINT))
            }
            Refused::Content(content) => write!(f, "{CONTENT_PREFIX}{content}"),
        }
    }
}

impl FromStr for Refused {
    type Err = IdError;

    /// Reads the names of parts, or that of a content with its prefix.
    fn from_str(s: &str) -> Result<Self, IdError> {
        match s.strip_prefix(CONTENT_PREFIX) {
            Some(content) => content.parse().map(Refused::Content),
            None => s.split(JOINT).map(str::parse).collect::<Result<_, _>>().map(Refused::Parts),
        }
    }
}

/// Value of a key of the store that names what is refused.
#[derive(Debug, Serialize, Deserialize)]
struct StoredRefusal {
    /// Crashes of a part.
    #[serde(flatten)]
    parts: PartsGossip,
    /// Crashes of a content.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    contents: Vec<Suspect>,
    /// Unix time of writing in milliseconds, from which the ages of the crashes count. Absent in
    /// values of older versions.
    #[serde(default)]
    written_ms: Option<u64>,
}

impl StoredRefusal {
    /// Adds the time since the value was written to the ages of its crashes, so that a refusal ends
    /// at all instances when it would have ended at the writer.
    fn grow_old(&mut self, wall: Duration) {
        let wall = wall.as_millis() as u64;
        let passed = self.written_ms.map_or(0, |written| wall.saturating_sub(written));
        for row in &mut self.parts.rows {
            let crashes = row.crashes.iter_mut().chain(&mut row.cleared);
            crashes.for_each(|c| c.age = c.age.saturating_add(passed));
        }
        let runs = self.contents.iter_mut().flat_map(|s| &mut s.runs);
        runs.for_each(|run| run.age = run.age.saturating_add(passed));
    }
}

/// Adopts what a list of the store has. Refusals that it lacks are written again: no change shows that
/// they are gone if the history is, or the store has come back from a copy.
pub fn apply_list(gw: &Gateway, items: &[&KeyValue]) {
    gw.published.borrow_mut().clear();
    items.iter().for_each(|kv| apply_kv(gw, kv));
    wake_publisher(gw);
}

/// Adopts what an instance that refuses it wrote to the store.
pub fn apply_kv(gw: &Gateway, kv: &KeyValue) {
    let Some(name) = kv.key.strip_prefix(KEY_PREFIX) else { return };
    let Ok(refused) = name.parse::<Refused>() else {
        let key = shorten(&kv.key);
        return log::warn!("key {key:?} of the store ignored: it names no part or content");
    };
    let Some(value) = &kv.value else {
        gw.published.borrow_mut().remove(&refused);
        gw.refusal_added.notify_one();
        return;
    };
    match serde_json::from_slice::<StoredRefusal>(value) {
        Ok(mut stored) => {
            stored.grow_old(clock::wall());
            gw.published.borrow_mut().insert(refused);
            let gossip =
                Gossip { suspects: stored.contents, parts: stored.parts, ..Gossip::default() };
            suspects::merge(gw, &gossip);
        }
        Err(e) => {
            let key = shorten(&kv.key);
            log::warn!("key {key:?} of the store ignored, its value is not valid: {e}");
        }
    }
}

/// Wakes the task that writes to the store if there is something to write.
pub fn wake_publisher(gw: &Gateway) {
    if next_unpublished(gw).is_some() {
        gw.refusal_added.notify_one();
    }
}

/// Writes refused parts and contents to the store. Does not return.
pub async fn publish_refused(gw: Rc<Gateway>) {
    loop {
        let _ = timeout(PUBLISH_CHECK_INTERVAL, gw.refusal_added.notified()).await;
        // The instances that follow the store write; the first of them spares the others a call.
        tokio::time::sleep(MAX_PUBLISH_DELAY.mul_f64(rand::random())).await;
        while let Some((refused, until)) = next_unpublished(&gw) {
            match publish(&gw, &refused, until).await {
                Ok(true) => drop(gw.published.borrow_mut().insert(refused)),
                Ok(false) => {
                    log::warn!(
                        "refusal of {refused} not written to the store: its lease has ended"
                    );
                    tokio::time::sleep(jitter(STORE_RETRY_INTERVAL)).await;
                }
                Err(e) => {
                    log::debug!("refusal of {refused} not written to the store: {e:?}");
                    tokio::time::sleep(jitter(STORE_RETRY_INTERVAL)).await;
                }
            }
        }
    }
}

/// Returns what this instance refuses and has to write to the store, and until when it is refused.
fn next_unpublished(gw: &Gateway) -> Option<(Refused, Instant)> {
    if !peers::is_reader(gw) {
        return None;
    }
    let (published, quarantine) = (gw.published.borrow(), gw.quarantine.borrow());
    let short = quarantine.parts.refused().iter().filter(|r| r.parts.len() <= MAX_STORED_PARTS);
    let parts = short.map(|r| (Refused::Parts(r.parts.clone()), r.until));
    let contents = quarantine
        .refused()
        .filter_map(|f| Some((Refused::Content(f), quarantine.refused_until(&f)?)));
    parts.chain(contents).find(|(refused, _)| !published.contains(refused))
}

async fn publish(gw: &Gateway, refused: &Refused, until: Instant) -> Result<bool, StoreError> {
    let now = clock::now();
    let (parts, contents) = {
        let quarantine = gw.quarantine.borrow();
        match refused {
            Refused::Parts(parts) => (quarantine.parts.gossip_of(now, parts), Vec::new()),
            Refused::Content(f) => (PartsGossip::default(), quarantine.gossip_of(now, *f)),
        }
    };
    let written_ms = Some(clock::wall().as_millis() as u64);
    // Serializing numbers cannot fail.
    let value = serde_json::to_vec(&StoredRefusal { parts, contents, written_ms });
    let value = value.unwrap_or_default();
    let left = until.saturating_duration_since(now).max(MIN_STORE_TTL);
    let lease = gw.store.grant(left).await?;
    gw.store.put(&format!("{KEY_PREFIX}{refused}"), &value, lease).await
}

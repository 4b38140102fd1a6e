//! Reads the kinds of keys of the store apart while they are not read together.

use super::follow::{self, FIRST_TIMEOUT, FOLLOWED_KEYS};
use super::{Gateway, jitter};
use crate::clock;
use crate::platform::{self, Listed};
use crate::pool::Source;
use futures_util::future::join_all;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval between two reads of a kind of keys.
const PART_INTERVAL: Duration = Duration::from_millis(300);
/// Prefixes of the keys that are read before the configuration. An instance that has one is ready, and
/// would refuse all requests, or send them to a data centre that is evacuated.
const FIRST_KEYS: [&str; 2] = [platform::EVACUATIONS_PREFIX, platform::SERVERS_PREFIX];

/// State of the reads of all followed keys.
#[derive(Debug, Clone, Copy, Default)]
pub enum FullRead {
    /// The last one has succeeded, and no other has begun.
    #[default]
    Done,
    /// One is under way since this time.
    Since(Instant),
    /// The last one has failed.
    Failed,
}

/// Reads each kind of keys for itself while no read of all of them succeeds, as from a store that
/// refuses some calls and answers others, or has a list that takes long. Does not return.
pub async fn follow(gw: Rc<Gateway>) {
    let known = RefCell::default();
    join_all(FOLLOWED_KEYS.iter().map(|prefix| follow_part(&gw, prefix, &known))).await;
}

async fn follow_part(gw: &Rc<Gateway>, prefix: &'static str, known: &RefCell<HashSet<&str>>) {
    let is_first = FIRST_KEYS.contains(&prefix);
    loop {
        tokio::time::sleep(jitter(PART_INTERVAL)).await;
        let is_needed = needs_parts(gw, clock::now());
        if !is_needed {
            known.borrow_mut().remove(prefix);
        }
        let is_due =
            is_needed && (is_first || FIRST_KEYS.iter().all(|k| known.borrow().contains(k)));
        if is_due && read_part(gw, prefix).await {
            known.borrow_mut().insert(prefix);
        }
    }
}

/// Returns whether no read of all keys succeeds, or one takes long. In the pause between two reads, as of
/// a store that keeps no history, what is known is recent.
fn needs_parts(gw: &Gateway, now: Instant) -> bool {
    let is_unread = gw.store_position.borrow().get().is_none();
    is_unread
        && match gw.full_read.get() {
            FullRead::Done => false,
            FullRead::Since(at) => now >= at + PART_INTERVAL,
            FullRead::Failed => true,
        }
}

/// Reads and applies the keys with a prefix; returns whether there was an answer.
async fn read_part(gw: &Rc<Gateway>, prefix: &str) -> bool {
    let read = gw.store.list_within(&[prefix], FIRST_TIMEOUT).await;
    let has_all = gw.store_position.borrow().get().is_some();
    let part = read.as_ref().ok();
    let part = part.filter(|part| !has_all && follow::is_ahead(gw, part.update.at));
    if let Some(part) = part {
        apply_part(gw, prefix, part);
    }
    read.is_ok()
}

fn apply_part(gw: &Rc<Gateway>, prefix: &str, part: &Listed) {
    if prefix == platform::CONFIG_KEY {
        follow::apply_config(gw, &part.update);
    } else if gw.applied.borrow().can_compare(part.begun_at) {
        follow::apply_kind(gw, prefix, part, Source::Current);
    } else {
        log::warn!("dropped a read of {prefix:?}: too many keys changed meanwhile");
    }
}

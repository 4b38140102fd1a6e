//! Items of the platform's store, each read for itself.

use super::CONFIG_KEY;
use crate::event::shorten;
use crate::store::KeyValue;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::cmp::Reverse;
use std::fmt;

/// Largest value that is kept, in base64, other than a configuration.
const MAX_VALUE_BYTES: usize = 64 << 10;
/// Size of all values of a list that are kept, other than a configuration. The largest ones are left
/// out, as the entries of the system and of endpoints are small.
const MAX_VALUES_BYTES: usize = 4 << 20;
/// Most values of a response that are named in the log as left out.
const MAX_LOGGED_VALUES: usize = 4;

/// Key of an item whose other fields cannot all be read.
#[derive(Debug, Deserialize)]
struct ItemKey<'a> {
    key: Box<str>,
    #[serde(default, borrow)]
    revision: Option<&'a RawValue>,
}

#[derive(Debug, Deserialize)]
struct Item {
    key: Box<str>,
    /// Value in base64.
    #[serde(default)]
    value: Option<Box<str>>,
    /// Revision of the store at the last change of the key.
    revision: u64,
    /// Whether the key was deleted.
    #[serde(default)]
    tombstone: bool,
}

/// Logs what could not be read of a response, up to a number of lines.
#[derive(Debug, Default)]
struct SkipLog {
    lines: usize,
}

impl SkipLog {
    fn add(&mut self, what: fmt::Arguments<'_>) {
        if self.lines < MAX_LOGGED_VALUES {
            log::warn!("{what}");
        }
        self.lines += 1;
    }
}

impl Drop for SkipLog {
    fn drop(&mut self) {
        if let Some(more) = self.lines.checked_sub(MAX_LOGGED_VALUES).filter(|more| *more > 0) {
            log::warn!("skipped {more} more values of the response");
        }
    }
}

/// Reads the items of a response with one of the prefixes; those without a key are left out.
pub fn read_items(items: &[Box<RawValue>], prefixes: &[&str]) -> Vec<KeyValue> {
    let mut skipped = SkipLog::default();
    items.iter().filter_map(|item| read_item(item.get(), prefixes, &mut skipped)).collect()
}

/// Reads an item. One without a value that can be read has an empty one: its key exists.
fn read_item(text: &str, prefixes: &[&str], skipped: &mut SkipLog) -> Option<KeyValue> {
    let is_asked = |key: &str| prefixes.iter().any(|prefix| key.starts_with(prefix));
    let e = match serde_json::from_str::<Item>(text) {
        Ok(item) => return is_asked(&item.key).then(|| decode_item(item, skipped)),
        Err(e) => e,
    };
    let Ok(ItemKey { key, revision }) = serde_json::from_str(text) else {
        skipped.add(format_args!("skipped an item of the store without a key: {e}"));
        return None;
    };
    if !is_asked(&key) {
        return None;
    }
    skipped.add(format_args!("the item {:?} of the store cannot be read: {e}", shorten(&key)));
    // Without a revision, it is older than any change of the key.
    let revision = revision.and_then(|r| serde_json::from_str(r.get()).ok()).unwrap_or_default();
    Some(KeyValue { key, value: Some(Vec::new()), revision })
}

fn decode_item(item: Item, skipped: &mut SkipLog) -> KeyValue {
    let Item { key, value, revision, tombstone } = item;
    let value = value.filter(|_| !tombstone);
    let value = value.map(|v| decode_value(&key, revision, &v, skipped).unwrap_or_default());
    KeyValue { key, value, revision }
}

/// Decodes a value; `None` if it is no base64 or larger than any that is read.
fn decode_value(key: &str, revision: u64, value: &str, skipped: &mut SkipLog) -> Option<Vec<u8>> {
    let key = shorten(key);
    let what = format!("skipped the value of {key:?} at revision {revision}");
    if key != CONFIG_KEY && value.len() > MAX_VALUE_BYTES {
        skipped.add(format_args!("{what}: {} bytes", value.len()));
        return None;
    }
    let decoded = STANDARD.decode(value);
    decoded.inspect_err(|e| skipped.add(format_args!("{what}, which is not base64: {e}"))).ok()
}

/// Empties the largest values of a list until the others fit into [`MAX_VALUES_BYTES`].
pub fn drop_largest(kvs: &mut [KeyValue]) {
    let size = |kv: &KeyValue| kv.value.as_ref().map_or(0, Vec::len);
    let is_bounded = |kv: &&mut KeyValue| &*kv.key != CONFIG_KEY;
    let mut sum: usize = kvs.iter().filter(|kv| &*kv.key != CONFIG_KEY).map(size).sum();
    if sum <= MAX_VALUES_BYTES {
        return;
    }
    let mut bounded: Vec<&mut KeyValue> = kvs.iter_mut().filter(is_bounded).collect();
    bounded.sort_by_key(|kv| Reverse(size(kv)));
    let mut skipped = SkipLog::default();
    for kv in bounded {
        if sum <= MAX_VALUES_BYTES {
            break;
        }
        sum -= size(kv);
        skipped.add(format_args!("skipped the value of {:?}: no room", shorten(&kv.key)));
        kv.value = Some(Vec::new());
    }
}

//! Items of the platform's store, each read for itself.

use super::CONFIG_KEY;
use crate::event::shorten;
use crate::store::KeyValue;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::collections::BinaryHeap;
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
struct Item<'a> {
    key: Box<str>,
    /// Value as it came: text in base64.
    #[serde(default, borrow)]
    value: Option<&'a RawValue>,
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

/// Items of a list. The largest values, other than a configuration, are left out where they have no room
/// together, and those that have none are not decoded.
#[derive(Debug, Default)]
pub struct ItemList {
    kvs: Vec<KeyValue>,
    /// Sizes of the values that are kept, with their places, the largest first.
    sizes: BinaryHeap<(usize, usize)>,
    /// Sum of the sizes.
    bytes: usize,
    skipped: SkipLog,
}

impl ItemList {
    /// Adds the items of a page that begin with the prefix; returns how many these are.
    pub fn add(&mut self, items: &[&RawValue], prefix: &str) -> usize {
        let known = self.kvs.len();
        for item in items {
            let Some(item) = read_item(item.get(), &[prefix], &mut self.skipped) else { continue };
            let value = match item.value {
                Content::Deleted => None,
                Content::Unreadable => Some(Vec::new()),
                Content::Encoded(v) => Some(self.keep(&item.key, item.revision, v)),
            };
            self.kvs.push(KeyValue { key: item.key, value, revision: item.revision });
        }
        self.kvs.len() - known
    }

    /// Returns the items in their order.
    pub fn items(&self) -> &[KeyValue] {
        &self.kvs
    }

    /// Returns the items without a copy.
    pub fn into_items(self) -> Vec<KeyValue> {
        self.kvs
    }

    /// Decodes a value and makes room for it; without room, or if it cannot be read, it is empty.
    fn keep(&mut self, key: &str, revision: u64, value: &RawValue) -> Vec<u8> {
        let is_bounded = key != CONFIG_KEY;
        if is_bounded && !self.has_room(encoded_len(value) / 4 * 3) {
            skip_for_room(key, &mut self.skipped);
            return Vec::new();
        }
        let decoded = decode_value(key, revision, value, &mut self.skipped).unwrap_or_default();
        if is_bounded {
            self.bytes += decoded.len();
            self.sizes.push((decoded.len(), self.kvs.len()));
            self.drop_largest();
        }
        decoded
    }

    /// Returns whether a value of this size fits, also in place of larger ones.
    fn has_room(&self, size: usize) -> bool {
        let is_larger = self.sizes.peek().is_some_and(|(largest, _)| *largest > size);
        is_larger || self.bytes + size <= MAX_VALUES_BYTES
    }

    /// Empties the largest values until the others have room.
    fn drop_largest(&mut self) {
        while self.bytes > MAX_VALUES_BYTES {
            let Some((size, place)) = self.sizes.pop() else { return };
            self.bytes -= size;
            if let Some(kv) = self.kvs.get_mut(place) {
                skip_for_room(&kv.key, &mut self.skipped);
                kv.value = Some(Vec::new());
            }
        }
    }
}

fn skip_for_room(key: &str, skipped: &mut SkipLog) {
    skipped.add(format_args!("skipped the value of {:?}: no room", shorten(key)));
}

/// Reads the items of a response with one of the prefixes; those without a key are left out.
pub fn read_items(items: &[&RawValue], prefixes: &[&str]) -> Vec<KeyValue> {
    let mut skipped = SkipLog::default();
    let read = |item: &&RawValue| {
        let ReadItem { key, revision, value } = read_item(item.get(), prefixes, &mut skipped)?;
        let value = match value {
            Content::Deleted => None,
            Content::Unreadable => Some(Vec::new()),
            Content::Encoded(v) => {
                Some(decode_value(&key, revision, v, &mut skipped).unwrap_or_default())
            }
        };
        Some(KeyValue { key, value, revision })
    };
    items.iter().filter_map(read).collect()
}

/// Item whose value is not decoded yet.
struct ReadItem<'a> {
    key: Box<str>,
    revision: u64,
    value: Content<'a>,
}

enum Content<'a> {
    /// The key was deleted, or has no value.
    Deleted,
    /// The item cannot be read, but its key exists.
    Unreadable,
    Encoded(&'a RawValue),
}

/// Reads an item with one of the prefixes.
fn read_item<'a>(text: &'a str, prefixes: &[&str], skipped: &mut SkipLog) -> Option<ReadItem<'a>> {
    let is_asked = |key: &str| prefixes.iter().any(|prefix| key.starts_with(prefix));
    let e = match serde_json::from_str::<Item>(text) {
        Ok(Item { key, value, revision, tombstone }) => {
            let value = value.filter(|_| !tombstone).map_or(Content::Deleted, Content::Encoded);
            return is_asked(&key).then_some(ReadItem { key, revision, value });
        }
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
    Some(ReadItem { key, revision, value: Content::Unreadable })
}

/// Returns the size of a value in base64, if it is text without escapes.
fn encoded_len(value: &RawValue) -> usize {
    value.get().len().saturating_sub(r#""""#.len())
}

/// Decodes a value; `None` if it is no base64 or larger than any that is read.
fn decode_value(
    key: &str,
    revision: u64,
    value: &RawValue,
    skipped: &mut SkipLog,
) -> Option<Vec<u8>> {
    let (key, text) = (shorten(key), value.get());
    let mut skip = |why: fmt::Arguments<'_>| {
        skipped.add(format_args!("skipped the value of {key:?} at revision {revision}: {why}"));
    };
    let size = encoded_len(value);
    if key != CONFIG_KEY && size > MAX_VALUE_BYTES {
        skip(format_args!("{size} bytes"));
        return None;
    }
    // Text without escapes is not copied.
    let decoded = match serde_json::from_str::<&str>(text) {
        Ok(plain) => STANDARD.decode(plain),
        Err(_) => {
            let text = serde_json::from_str::<String>(text);
            STANDARD.decode(text.inspect_err(|e| skip(format_args!("{e}"))).ok()?)
        }
    };
    decoded.inspect_err(|e| skip(format_args!("{e}"))).ok()
}

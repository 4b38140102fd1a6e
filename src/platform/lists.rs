//! Lists of the store that several reads read together.
//!
//! A list comes in pages, which are no snapshot: what changes while it is read is in the changes that
//! follow its first page. So pages that were read stay of use when a later one fails, and when another
//! read asked for them.

use super::items::ItemList;
use crate::store::{Era, KeyValue, Position};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::collections::HashSet;
use std::fmt;
use std::time::{Duration, Instant};

/// Time from the last page of a list that is not complete until the list is begun anew.
const KEPT_TIME: Duration = Duration::from_secs(5);
/// Time for which other reads wait for a page that one has asked for. A read with more time for an answer
/// then asks for it too.
const SHARE_TIME: Duration = Duration::from_millis(500);
/// Most keys of a list, so that one which never ends is given up before it takes all memory.
const MAX_KEYS: usize = 100_000;

/// Page of a list as the store sends it.
#[derive(Debug, Deserialize)]
pub struct Page<'a> {
    #[serde(borrow)]
    items: Vec<&'a RawValue>,
    /// Whether more keys follow after the last item.
    truncated: bool,
    /// Revision of the whole store at the time of the response.
    current_rev: u64,
}

/// Reason why a list is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListFault {
    /// The store has come back from a copy.
    Era,
    /// A page does not go on behind those before it.
    NoProgress,
    /// There are too many keys.
    TooLong,
}

impl fmt::Display for ListFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            ListFault::Era => "the era changed",
            ListFault::NoProgress => "a page ends with no key, or where one before it did",
            ListFault::TooLong => "too many keys",
        })
    }
}

/// What a read does next about a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Asks for the page of this number.
    Call(usize),
    /// Waits for another read's page, at most until this time.
    Wait(Instant),
    /// All pages are there.
    Done,
    /// The list was given up, and another one is to be read.
    Restart,
}

/// List of the keys with a prefix, as far as it is read.
#[derive(Debug)]
pub struct OpenList {
    prefix: Box<str>,
    begun_at: Instant,
    /// When the last page came.
    read_at: Instant,
    /// Position at the first page; `None` before it.
    at: Option<Position>,
    items: ItemList,
    pages: usize,
    /// Keys at which pages have ended.
    ends: HashSet<Box<str>>,
    is_complete: bool,
    is_given_up: bool,
    /// When a read has asked for the next page.
    asked_at: Option<Instant>,
}

impl OpenList {
    /// Begins a list.
    pub fn new(prefix: &str, now: Instant) -> OpenList {
        OpenList {
            prefix: prefix.into(),
            begun_at: now,
            read_at: now,
            at: None,
            items: ItemList::default(),
            pages: 0,
            ends: HashSet::new(),
            is_complete: false,
            is_given_up: false,
            asked_at: None,
        }
    }

    /// Returns the prefix of the keys.
    pub fn prefix(&self) -> &str {
        &self.prefix
    }

    /// Returns when the first page was asked for.
    pub fn begun_at(&self) -> Instant {
        self.begun_at
    }

    /// Returns the items so far.
    pub fn items(&self) -> &[KeyValue] {
        self.items.items()
    }

    /// Returns the position from which changes complete the list.
    pub fn at(&self) -> Position {
        self.at.unwrap_or_default()
    }

    /// Returns the key behind which the next page begins; `None` for the first one.
    pub fn end(&self) -> Option<&str> {
        self.items().last().filter(|_| self.pages > 0).map(|kv| &*kv.key)
    }

    /// Returns the items.
    pub fn into_items(self) -> Vec<KeyValue> {
        self.items.into_items()
    }

    /// Returns whether the last page is recent enough for a read that begins now.
    pub fn is_recent(&self, now: Instant) -> bool {
        now < self.read_at + KEPT_TIME
    }

    /// Returns whether pages may still be added.
    pub fn is_open(&self) -> bool {
        !self.is_complete && !self.is_given_up
    }

    /// Returns what a read does next.
    pub fn step(&mut self, now: Instant) -> Step {
        if self.is_complete {
            return Step::Done;
        }
        if self.is_given_up {
            return Step::Restart;
        }
        match self.asked_at.map(|at| at + SHARE_TIME) {
            Some(end) if now < end => Step::Wait(end),
            _ => {
                self.asked_at = Some(now);
                Step::Call(self.pages)
            }
        }
    }

    /// Returns whether the page of this number is still missing.
    pub fn lacks(&self, page: usize) -> bool {
        page == self.pages && self.is_open()
    }

    /// Records that a call for the next page has failed.
    pub fn end_call(&mut self) {
        self.asked_at = None;
    }

    /// Gives the list up.
    pub fn give_up(&mut self) {
        self.is_given_up = true;
    }

    /// Adds the next page.
    ///
    /// # Errors
    ///
    /// Returns [`ListFault`] if the list is given up.
    pub fn add(&mut self, now: Instant, era: Era, page: &Page<'_>) -> Result<(), ListFault> {
        let added = self.add_page(era, page);
        (self.read_at, self.asked_at) = (now, None);
        self.is_given_up |= added.is_err();
        added
    }

    fn add_page(&mut self, era: Era, page: &Page<'_>) -> Result<(), ListFault> {
        if self.at.get_or_insert(Position::new(era, page.current_rev)).era != era {
            return Err(ListFault::Era);
        }
        let added = self.items.add(&page.items, &self.prefix);
        self.pages += 1;
        self.is_complete = !page.truncated;
        if self.is_complete {
            return Ok(());
        }
        let end = self.items().last().filter(|_| added > 0).map(|kv| kv.key.clone());
        if !end.is_some_and(|end| self.ends.insert(end)) {
            return Err(ListFault::NoProgress);
        }
        if self.items().len() > MAX_KEYS { Err(ListFault::TooLong) } else { Ok(()) }
    }
}

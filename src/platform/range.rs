//! Reads lists of keys, which the store sends in pages.

use super::kv::{CALL_TIMEOUT, KvClient, decode_text};
use super::lists::{ListFault, OpenList, Page, Step};
use crate::clock;
use crate::escape::query_value;
use crate::store::{Era, KeyValue, StoreError, StoreUpdate};
use bytes::Bytes;
use futures_util::future::join_all;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::time::timeout;

/// Most repetitions of a failed call of a list of which the store has answered others.
const MAX_REPEATS: usize = 3;
/// Time within which a call has to fail to be repeated.
const PROMPT_TIME: Duration = Duration::from_millis(300);
/// Time from the failure of such a call to its repetition.
const REPEAT_DELAY: Duration = Duration::from_millis(50);

/// Path of the call that lists keys.
pub(super) const RANGE_PATH: &str = "kv-range";

/// Keys of several prefixes.
#[derive(Debug)]
pub struct Listed {
    /// The keys, with the position from which changes complete them.
    pub update: StoreUpdate,
    /// When the first of them was asked for.
    pub begun_at: Instant,
}

/// List that several reads may read at the same time.
#[derive(Debug)]
struct SharedList {
    list: RefCell<OpenList>,
    /// Notified when a call for a page has ended.
    changed: Notify,
}

/// Lists that are not used up yet.
#[derive(Debug, Default)]
pub(super) struct Lists {
    /// Lists that are not complete.
    open: Vec<Rc<SharedList>>,
    /// Complete lists of a full read of which others have failed.
    kept: Vec<Rc<SharedList>>,
}

impl SharedList {
    /// Returns the items, copied if another read has use for them.
    fn take_items(self: Rc<Self>) -> Vec<KeyValue> {
        match Rc::try_unwrap(self) {
            Ok(shared) => shared.list.into_inner().into_items(),
            Err(shared) => shared.list.borrow().items().to_vec(),
        }
    }
}

impl KvClient {
    /// Has all lists begun anew.
    pub(super) fn forget_lists(&self) {
        let lists = self.lists.take();
        for shared in lists.open {
            shared.list.borrow_mut().give_up();
            shared.changed.notify_waiters();
        }
    }

    /// Lists keys, as [`ChangeFeed::list`](crate::store::ChangeFeed::list); each page has `wait` for its answer.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if a call fails.
    pub async fn list_within(
        &self,
        prefixes: &[&str],
        wait: Duration,
    ) -> Result<Listed, StoreError> {
        let listed = self.list_once(prefixes, wait).await?;
        if listed.update.at.era <= self.era.get() {
            return Ok(listed);
        }
        // An era that is wrong in a single read would outdate all later ones.
        let again = self.list_once(prefixes, wait).await?;
        let (named, era) = (listed.update.at.era, again.update.at.era);
        if era != named {
            let why = format!("the store named era {named} and then {era}");
            return Err(self.fail(RANGE_PATH, "era", why, StoreError::Malformed));
        }
        self.era.set(era);
        Ok(again)
    }

    /// Lists keys; each page has the usual time for its answer.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if a call fails.
    pub async fn list_all(&self, prefixes: &[&str]) -> Result<Listed, StoreError> {
        self.list_within(prefixes, self.limit(CALL_TIMEOUT)).await
    }

    /// Lists keys. If some of the lists fail, the others are kept for the next read: a store that admits
    /// few calls at a time would otherwise never be read.
    async fn list_once(&self, prefixes: &[&str], wait: Duration) -> Result<Listed, StoreError> {
        let (now, address) = (clock::now(), self.address.get());
        let mut lists = Vec::new();
        // A read of one list leaves those that another read keeps.
        if prefixes.len() > 1 {
            lists = std::mem::take(&mut self.lists.borrow_mut().kept);
        }
        lists.retain(|shared| {
            let list = shared.list.borrow();
            list.is_recent(now) && prefixes.contains(&list.prefix())
        });
        let is_due = |prefix: &&str| lists.iter().all(|l| l.list.borrow().prefix() != *prefix);
        let due: Vec<&str> = prefixes.iter().copied().filter(is_due).collect();
        let (is_answered, mut failure) = (Cell::new(false), None);
        let due = due.into_iter().map(|prefix| self.read_list(prefix, wait, &is_answered));
        for read in join_all(due).await {
            match read {
                Ok(list) => lists.push(list),
                Err(e) => failure = Some(e),
            }
        }
        if self.address.get() != address {
            let why = "the address of the store changed";
            return Err(self.fail(RANGE_PATH, "address", why, StoreError::Lost));
        }
        if let Some(e) = failure {
            if prefixes.len() > 1 {
                self.lists.borrow_mut().kept = lists;
            }
            return Err(e);
        }
        self.join_lists(lists, now)
    }

    /// Joins complete lists.
    fn join_lists(&self, lists: Vec<Rc<SharedList>>, now: Instant) -> Result<Listed, StoreError> {
        // Neither pages nor lists are a snapshot. Continuing from the earliest position makes the next
        // watch return whatever changed while the others were read.
        let at = lists.iter().map(|shared| shared.list.borrow().at()).min().unwrap_or_default();
        if lists.iter().any(|shared| shared.list.borrow().at().era != at.era) {
            return Err(self.fail(RANGE_PATH, "era", "the era changed", StoreError::Compacted));
        }
        let begun = lists.iter().map(|shared| shared.list.borrow().begun_at()).min();
        let kvs = lists.into_iter().flat_map(SharedList::take_items).collect();
        Ok(Listed { update: StoreUpdate { kvs, at }, begun_at: begun.unwrap_or(now) })
    }

    /// Returns the list with a prefix that is being read, or begins one.
    fn open_list(&self, prefix: &str) -> Rc<SharedList> {
        let (now, open) = (clock::now(), &mut self.lists.borrow_mut().open);
        open.retain(|shared| shared.list.borrow().is_recent(now));
        if let Some(known) = open.iter().find(|shared| shared.list.borrow().prefix() == prefix) {
            return known.clone();
        }
        let list = RefCell::new(OpenList::new(prefix, now));
        let shared = Rc::new(SharedList { list, changed: Notify::new() });
        open.push(shared.clone());
        shared
    }

    /// Reads the list of the keys with a prefix, together with other reads. `is_answered` is set when the
    /// store has answered a call.
    async fn read_list(
        &self,
        prefix: &str,
        wait: Duration,
        is_answered: &Cell<bool>,
    ) -> Result<Rc<SharedList>, StoreError> {
        let mut shared = self.open_list(prefix);
        loop {
            let now = clock::now();
            let step = shared.list.borrow_mut().step(now);
            match step {
                Step::Done => return Ok(shared),
                Step::Restart => shared = self.open_list(prefix),
                Step::Call(page) => self.read_page(&shared, page, wait, is_answered).await?,
                Step::Wait(end) => {
                    // Whether the page is there or another call is due, shows in the next step.
                    let _ = timeout(end - now, shared.changed.notified()).await;
                }
            }
        }
    }

    /// Reads the next page of a list, unless another read has it first.
    async fn read_page(
        &self,
        shared: &Rc<SharedList>,
        page: usize,
        wait: Duration,
        is_answered: &Cell<bool>,
    ) -> Result<(), StoreError> {
        let list = &shared.list;
        let path = range_path(list.borrow().prefix(), list.borrow().end());
        let read = self.get_page(&path, wait, is_answered).await;
        if !list.borrow().lacks(page) {
            return Ok(());
        }
        let added = read.and_then(|(era, body)| {
            let text = decode_text(&body);
            let page = self.parse::<Page>(&path, &text)?;
            let added = list.borrow_mut().add(clock::now(), era, &page);
            added.map_err(|fault| {
                let (label, e) = classify_fault(fault);
                self.fail(&path, label, fault, e)
            })
        });
        list.borrow_mut().end_call();
        if !list.borrow().is_open() {
            self.lists.borrow_mut().open.retain(|open| !Rc::ptr_eq(open, shared));
        }
        shared.changed.notify_waiters();
        added
    }

    /// Reads a page. Where the store answers only some calls, a list whose calls all have to succeed at
    /// once may never be complete, so that one that fails promptly is repeated.
    async fn get_page(
        &self,
        path: &str,
        wait: Duration,
        is_answered: &Cell<bool>,
    ) -> Result<(Era, Bytes), StoreError> {
        let mut repeats = 0;
        loop {
            let sent = clock::now();
            let read = self.get(path, wait).await;
            if read.is_ok() {
                self.record_answer(sent, Duration::ZERO);
                is_answered.set(true);
            }
            let is_transient =
                matches!(read, Err(StoreError::Refused | StoreError::Lost | StoreError::Unreached));
            let is_late = clock::now() >= sent + PROMPT_TIME;
            if !is_transient || is_late || repeats == MAX_REPEATS {
                return read;
            }
            tokio::time::sleep(REPEAT_DELAY).await;
            if !is_answered.get() {
                return read;
            }
            repeats += 1;
        }
    }
}

fn classify_fault(fault: ListFault) -> (&'static str, StoreError) {
    match fault {
        ListFault::Era => ("era", StoreError::Compacted),
        ListFault::NoProgress => ("malformed", StoreError::Malformed),
        ListFault::TooLong => ("too-many-keys", StoreError::TooLarge),
    }
}

/// Returns the target of a call that lists the keys with a prefix, from behind a key on.
fn range_path(prefix: &str, after: Option<&str>) -> String {
    let after = after.map_or(String::new(), |after| format!("&after={}", query_value(after)));
    format!("{RANGE_PATH}?prefix={}{after}", query_value(prefix))
}

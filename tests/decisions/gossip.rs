//! What instances tell each other, and who decides for an engine.

use crate::fixture::{id, work};
use proptest::prelude::*;
use skylarkthread::gossip::{
    self, ConfigPull, Digest, DigestScheduler, PeerLoads, StoreChanges, StoreStatus, Tag, Work,
};
use skylarkthread::id::InstanceId;
use skylarkthread::store::Fact;
use std::collections::HashMap;
use std::time::{Duration, Instant};

fn instance(n: usize) -> InstanceId {
    format!("g-{n}").parse().expect("the name is valid")
}

#[test]
fn a_ledger_sums_what_others_have_and_forgets_the_silent() {
    let start = Instant::now();
    let tag = Tag::of(&id(1));
    let mut peer_loads = PeerLoads::default();
    let digest = |held| Digest {
        full: true,
        rows: vec![gossip::encode_row(tag, work(held, 5))],
        store_down: false,
    };
    peer_loads.apply(start, instance(1), &digest(100));
    peer_loads.apply(start, instance(2), &digest(30));
    assert_eq!(peer_loads.at(tag), Work { open: 2, held: 130, unread: 10, copies: 0 });
    peer_loads.apply(
        start + Duration::from_secs(1),
        instance(2),
        &Digest { full: true, rows: vec![], store_down: false },
    );
    peer_loads.step(start + Duration::from_millis(2500));
    assert_eq!((peer_loads.at(tag), peer_loads.len()), (Work::default(), 1));
}

#[test]
fn what_was_granted_counts_until_its_digest_has_come() {
    let start = Instant::now();
    let tag = Tag::of(&id(1));
    let mut peer_loads = PeerLoads::default();
    peer_loads.reserve(start, tag, work(4000, 3000));
    assert_eq!(peer_loads.at(tag).held, 4000);
    peer_loads.step(start + Duration::from_secs(1));
    assert_eq!(peer_loads.at(tag), Work::default());
}

#[test]
fn one_that_leaves_moves_only_the_engines_that_it_decided_for() {
    let all: Vec<InstanceId> = (0..28).map(instance).collect();
    let tags: Vec<Tag> = (0..400).map(|n| Tag::of(&id(n))).collect();
    let before: Vec<_> = tags.iter().map(|t| gossip::coordinator(*t, all.iter())).collect();
    let mut per: HashMap<_, u32> = HashMap::new();
    before.iter().for_each(|w| *per.entry(w).or_default() += 1);
    assert!(per.values().all(|n| *n < 45), "decisions are spread: {per:?}");
    for (tag, was) in tags.iter().zip(&before) {
        let now = gossip::coordinator(*tag, all.iter().filter(|i| **i != all[3]));
        assert!(now == *was || *was == Some(&all[3]));
    }
}

#[test]
fn few_follow_the_store_whatever_the_number_of_instances() {
    for n in [1, 3, 28, 410] {
        let all: Vec<InstanceId> = (0..n).map(instance).collect();
        let is_reader = |own: &InstanceId| gossip::is_reader(own, all.iter().filter(|i| *i != own));
        assert_eq!(all.iter().filter(|i| is_reader(i)).count(), n.min(3));
    }
}

#[test]
fn a_bulletin_fits_a_datagram_and_says_what_it_leaves_out() {
    let fact = |n: usize, len| Fact {
        key: format!("servers/{n}").into(),
        value: Some(vec![0; len]),
        revision: 1,
    };
    let small: Vec<Fact> = (0..10).map(|n| fact(n, 300)).collect();
    assert!(!StoreChanges::of(small.iter()).truncated);
    let large: Vec<Fact> = (0..60).map(|n| fact(n, 300)).collect();
    let bulletin = StoreChanges::of(large.iter());
    assert!(bulletin.truncated && bulletin.facts.len() < 60);
}

/// Plays readers that are heard, that fall silent, and that lose the store.
#[test]
fn who_hears_too_few_readers_looks_at_the_store_itself() {
    let start = Instant::now();
    let all: Vec<InstanceId> = (0..28).map(instance).collect();
    let own = all
        .iter()
        .find(|i| !gossip::is_reader(i, all.iter().filter(|o| o != i)))
        .expect("most are no readers");
    let readers = gossip::readers(all.iter().filter(|i| *i != own));
    assert!(readers.iter().all(|r| gossip::is_reader(r, all.iter().filter(|o| o != r))));
    let mut peer_loads = PeerLoads::default();
    let digest = |lost| Digest { full: true, rows: vec![], store_down: lost };
    let at = |ms| start + Duration::from_millis(ms);
    peer_loads.apply(at(0), readers[0].clone(), &digest(false));
    assert_eq!(peer_loads.store_status(at(100), &readers), StoreStatus::Unknown);
    peer_loads.apply(at(100), readers[2].clone(), &digest(false));
    assert_eq!(peer_loads.store_status(at(200), &readers), StoreStatus::Reachable);
    assert!(StoreStatus::Reachable.poll_interval() > 4 * StoreStatus::Unknown.poll_interval());
    peer_loads.apply(at(300), readers[2].clone(), &digest(true));
    assert_eq!(
        peer_loads.store_status(at(400), &readers),
        StoreStatus::Unknown,
        "one may be cut off alone"
    );
    peer_loads.apply(at(400), readers[0].clone(), &digest(true));
    assert_eq!(peer_loads.store_status(at(500), &readers), StoreStatus::Unreachable);
    assert_eq!(peer_loads.store_status(at(1050), &readers), StoreStatus::Unknown, "one is silent");
}

/// Plays a version that others have and this instance does not get from the store.
#[test]
fn who_lags_behind_for_long_asks_the_latest_sender() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut pull = ConfigPull::default();
    pull.note_version(at(0), &instance(1), 8);
    assert_eq!(pull.step(at(100), 7), None, "the store is given time first");
    pull.note_version(at(300), &instance(2), 9);
    pull.note_version(at(350), &instance(3), 8);
    assert_eq!(pull.step(at(450), 7), Some(instance(2)));
    assert_eq!(pull.step(at(500), 7), None, "one try at a time");
    pull.note_version(at(600), &instance(4), 9);
    assert_eq!(pull.step(at(900), 7), Some(instance(4)), "another one after a failure");
    assert_eq!(pull.step(at(1400), 7), None, "each try is put off for longer");
    assert_eq!(pull.step(at(1700), 7), Some(instance(4)));
    assert_eq!(pull.step(at(1800), 9), None);
    pull.note_version(at(1900), &instance(1), 10);
    assert_eq!(pull.step(at(1950), 9), None, "each time anew");
}

/// Load it plays: the messages of hundreds of instances over thousands of endpoints.
#[test]
fn a_message_touches_only_the_endpoints_that_it_names() {
    let start = Instant::now();
    let mut peer_loads = PeerLoads::default();
    for n in 0..300 {
        let rows =
            (0..10).map(|k| gossip::encode_row(Tag::of(&id(n * 10 + k)), work(500, 0))).collect();
        peer_loads.apply(start, instance(n), &Digest { full: true, rows, store_down: false });
    }
    assert_eq!(peer_loads.take_changed().len(), 3000);
    let rows = vec![gossip::encode_row(Tag::of(&id(7)), work(900, 0))];
    peer_loads.apply(start, instance(0), &Digest { full: false, rows, store_down: false });
    assert_eq!(peer_loads.take_changed(), [Tag::of(&id(7))].into());
    assert_eq!(peer_loads.at(Tag::of(&id(7))).held, 900);
    peer_loads.step(start + Duration::from_secs(3));
    assert!(peer_loads.is_empty() && peer_loads.take_changed().len() == 3000);
    assert_eq!(peer_loads.at(Tag::of(&id(7))), Work::default());
}

proptest! {
    /// Sums that are kept up are those that a sum over all words would give.
    #[test]
    fn sums_are_those_of_all_words(
        notes in prop::collection::vec((0usize..4, 0usize..5, 0u64..3, any::<bool>(), 0u64..900), 1..80)
    ) {
        let start = Instant::now();
        let mut peer_loads = PeerLoads::default();
        let mut words: HashMap<usize, (Instant, HashMap<usize, u64>)> = HashMap::new();
        let mut now = start;
        for (from, n, held, full, pause) in notes {
            now += Duration::from_millis(pause);
            peer_loads.step(now);
            words.retain(|_, (at, _)| now - *at < Duration::from_secs(2));
            let rows = vec![gossip::encode_row(Tag::of(&id(n)), if held == 0 { Work::default() } else { work(held, 0) })];
            peer_loads.apply(now, instance(from), &Digest { full, rows, store_down: false });
            let (at, word) = words.entry(from).or_insert_with(|| (now, HashMap::new()));
            *at = now;
            if full {
                word.clear();
            }
            word.insert(n, held);
            for n in 0..5 {
                let sum: u64 = words.values().filter_map(|(_, w)| w.get(&n)).sum();
                prop_assert_eq!(peer_loads.at(Tag::of(&id(n))).held, sum);
            }
        }
    }

    /// Whatever is lost, the next full message makes the view right.
    #[test]
    fn a_view_is_right_after_a_full_message(
        steps in prop::collection::vec((0usize..5, 0u64..9000, 0u64..4000, any::<bool>()), 1..60)
    ) {
        let start = Instant::now();
        let mut own: HashMap<Tag, Work> = HashMap::new();
        let (mut scheduler, mut peer_loads) = (DigestScheduler::default(), PeerLoads::default());
        let mut now = start;
        for (n, held, unread, is_lost) in steps {
            now += Duration::from_millis(100);
            own.insert(Tag::of(&id(n)), if held < 2000 { Work::default() } else { work(held, unread) });
            if let Some(d) = scheduler.step(now, 4, own.iter().map(|(t, w)| (*t, *w)))
                && !is_lost
            {
                peer_loads.apply(now, instance(1), &d);
            }
        }
        now += Duration::from_millis(600);
        let full = scheduler.step(now, 4, own.iter().map(|(t, w)| (*t, *w))).expect("one is due");
        prop_assert!(full.full);
        peer_loads.apply(now, instance(1), &full);
        for (tag, work) in &own {
            prop_assert_eq!(peer_loads.at(*tag), *work);
        }
    }
}

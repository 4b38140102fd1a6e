//! Messages between instances, readers of the store, and coordinators of engines.

use crate::fixture::{id, work};
use proptest::prelude::*;
use skylarkthread::gossip::{
    self, ConfigPull, Digest, DigestScheduler, PeerLoads, ReaderReport, StoreChanges,
    StorePosition, StoreStatus, Succession, Tag, Work,
};
use skylarkthread::id::InstanceId;
use skylarkthread::store::{Era, KeyValue, Position};
use std::collections::HashMap;
use std::time::{Duration, Instant};

fn instance(n: usize) -> InstanceId {
    format!("g-{n}").parse().expect("the name is valid")
}

/// Position in the first era of the store.
fn rev(revision: u64) -> Position {
    Position::new(Era(0), revision)
}

#[test]
fn peer_loads_are_summed_and_silent_peers_dropped() {
    let start = Instant::now();
    let tag = Tag::of(&id(1));
    let mut peer_loads = PeerLoads::default();
    let digest = |held| Digest {
        full: true,
        rows: vec![gossip::encode_row(tag, work(held, 5))],
        store_down: false,
        revision: 0,
        era: Era(0),
        ..Digest::default()
    };
    peer_loads.apply(start, instance(1), &digest(100));
    peer_loads.apply(start, instance(2), &digest(30));
    assert_eq!(peer_loads.at(tag), Work { open: 2, held: 130, unread: 10, copies: 0 });
    peer_loads.apply(
        start + Duration::from_secs(1),
        instance(2),
        &Digest {
            full: true,
            rows: vec![],
            store_down: false,
            revision: 0,
            era: Era(0),
            ..Digest::default()
        },
    );
    peer_loads.step(start + Duration::from_millis(2500));
    assert_eq!((peer_loads.at(tag), peer_loads.len()), (Work::default(), 1));
}

#[test]
fn reservation_counts_until_it_expires() {
    let start = Instant::now();
    let tag = Tag::of(&id(1));
    let mut peer_loads = PeerLoads::default();
    peer_loads.reserve(start, tag, work(4000, 3000));
    assert_eq!(peer_loads.at(tag).held, 4000);
    peer_loads.step(start + Duration::from_secs(1));
    assert_eq!(peer_loads.at(tag), Work::default());
}

#[test]
fn only_engines_of_a_leaving_instance_get_another_coordinator() {
    let all: Vec<InstanceId> = (0..28).map(instance).collect();
    let tags: Vec<Tag> = (0..400).map(|n| Tag::of(&id(n))).collect();
    let before: Vec<_> = tags.iter().map(|t| gossip::coordinator(*t, all.iter())).collect();
    let mut counts: HashMap<_, u32> = HashMap::new();
    before.iter().for_each(|c| *counts.entry(c).or_default() += 1);
    assert!(counts.values().all(|n| *n < 45), "engines per coordinator: {counts:?}");
    for (tag, was) in tags.iter().zip(&before) {
        let now = gossip::coordinator(*tag, all.iter().filter(|i| **i != all[3]));
        assert!(now == *was || *was == Some(&all[3]));
    }
}

#[test]
fn reader_count_does_not_grow_with_the_fleet() {
    for n in [1, 3, 28, 410] {
        let all: Vec<InstanceId> = (0..n).map(instance).collect();
        let is_reader = |own: &InstanceId| gossip::is_reader(own, all.iter().filter(|i| *i != own));
        assert_eq!(all.iter().filter(|i| is_reader(i)).count(), n.min(3));
    }
}

#[test]
fn store_changes_fit_a_datagram_and_are_marked_if_truncated() {
    let kv = |n: usize, len| KeyValue {
        key: format!("servers/{n}").into(),
        value: Some(vec![0; len]),
        revision: 1,
    };
    let small: Vec<KeyValue> = (0..10).map(|n| kv(n, 300)).collect();
    assert!(!StoreChanges::of(small.iter()).truncated);
    let large: Vec<KeyValue> = (0..60).map(|n| kv(n, 300)).collect();
    let changes = StoreChanges::of(large.iter());
    assert!(changes.truncated && changes.kvs.len() < 60);
}

/// Readers send digests, lose the store or stop sending. An instance relies on them only while at
/// least two of them sent a recent digest and agree, and polls the store more often otherwise.
#[test]
fn peer_without_enough_reader_reports_polls_store_more_often() {
    let start = Instant::now();
    let all: Vec<InstanceId> = (0..28).map(instance).collect();
    let own = all
        .iter()
        .find(|i| !gossip::is_reader(i, all.iter().filter(|o| o != i)))
        .expect("most instances are not readers");
    let readers = gossip::readers(all.iter().filter(|i| *i != own));
    assert!(readers.iter().all(|r| gossip::is_reader(r, all.iter().filter(|o| o != r))));
    let mut peer_loads = PeerLoads::default();
    let digest = |lost| Digest {
        full: true,
        rows: vec![],
        store_down: lost,
        revision: 5,
        era: Era(0),
        ..Digest::default()
    };
    let at = |ms| start + Duration::from_millis(ms);
    let status = |peer_loads: &PeerLoads, now| peer_loads.reader_report(now, &readers).status;
    peer_loads.apply(at(0), readers[0].clone(), &digest(false));
    assert_eq!(status(&peer_loads, at(100)), StoreStatus::Unknown);
    peer_loads.apply(at(100), readers[2].clone(), &digest(false));
    assert_eq!(status(&peer_loads, at(200)), StoreStatus::Reachable);
    let direct = ReaderReport { status: StoreStatus::Unknown, up: 0, newest: Position::default() };
    let relayed = peer_loads.reader_report(at(200), &readers);
    assert!(relayed.poll_interval() > 4 * direct.poll_interval());
    let one_up = ReaderReport { up: 1, ..direct };
    assert!(relayed.poll_interval() > 4 * one_up.poll_interval());
    peer_loads.apply(at(300), readers[2].clone(), &digest(true));
    assert_eq!(
        status(&peer_loads, at(400)),
        StoreStatus::Unknown,
        "one reader may be cut off alone"
    );
    peer_loads.apply(at(400), readers[0].clone(), &digest(true));
    assert_eq!(status(&peer_loads, at(500)), StoreStatus::Unreachable);
    assert_eq!(status(&peer_loads, at(1050)), StoreStatus::Unknown, "one reader is silent");
}

/// A third of the instances is cut off from the store, or the store is down for all. Instances that
/// hear of it from readers leave the store alone.
#[test]
fn failed_reads_are_repeated_quickly_only_without_readers() {
    let report = |status, up| ReaderReport { status, up, newest: rev(5) };
    let direct = report(StoreStatus::Unknown, 0).retry_interval();
    for relayed in [
        report(StoreStatus::Reachable, 2),
        report(StoreStatus::Unknown, 1),
        report(StoreStatus::Unreachable, 0),
    ] {
        assert!(relayed.retry_interval() >= 4 * direct, "{relayed:?}");
    }
    assert!(direct <= Duration::from_millis(500), "changes may be known within a second");
}

/// An instance that started first knows a few others, none of which is a reader in the whole fleet.
/// Their digests are no reason to leave the store alone.
#[test]
fn digests_of_instances_that_are_no_readers_are_not_relied_on() {
    let now = Instant::now();
    let known: Vec<InstanceId> = (0..3).map(instance).collect();
    let mut peer_loads = PeerLoads::default();
    let digest = |revision| Digest {
        full: true,
        rows: vec![],
        store_down: false,
        revision,
        era: Era(0),
        ..Digest::default()
    };
    known.iter().for_each(|i| peer_loads.apply(now, i.clone(), &digest(0)));
    let readers: Vec<&InstanceId> = known.iter().collect();
    let report = peer_loads.reader_report(now, &readers);
    assert_eq!((report.status, report.up), (StoreStatus::Unknown, 0));
    known.iter().for_each(|i| peer_loads.apply(now, i.clone(), &digest(80)));
    let report = peer_loads.reader_report(now, &readers);
    assert_eq!((report.status, report.up, report.newest), (StoreStatus::Reachable, 3, rev(80)));
}

/// All readers are cut off from the store, and nobody passes changes on. An instance that reaches
/// the store has to learn of a configuration within two seconds.
#[test]
fn store_is_read_often_while_all_readers_are_cut_off() {
    for status in [StoreStatus::Unreachable, StoreStatus::Unknown] {
        let report = ReaderReport { status, up: 0, newest: Position::default() };
        assert!(report.poll_interval() <= Duration::from_secs(1), "{report:?}");
    }
}

/// Changes from one revision of the store to another, as a reader passes them on.
fn relayed(after: u64, upto: u64) -> StoreChanges {
    StoreChanges { after, upto, ..StoreChanges::default() }
}

#[test]
fn relayed_changes_without_gap_make_reads_of_the_store_needless() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let mut position = StorePosition::default();
    position.extend(&relayed(0, 9));
    assert_eq!(position.get(), None, "the first read has to be a full one");
    position.set(rev(10));
    // Two readers pass on the same changes in other portions.
    for (after, upto) in [(10, 14), (8, 12), (12, 20), (14, 17)] {
        position.extend(&relayed(after, upto));
    }
    assert_eq!(position.get(), Some(rev(20)));
    assert!(!position.is_behind(at(0), rev(20)) && !position.is_behind(at(5000), rev(20)));
}

#[test]
fn changes_that_stay_missing_are_read_from_the_store() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let mut position = StorePosition::default();
    position.set(rev(10));
    position.extend(&relayed(12, 15));
    position.extend(&StoreChanges { truncated: true, ..relayed(10, 15) });
    assert_eq!(position.get(), Some(rev(10)), "changes 11 and 12 are missing");
    assert!(!position.is_behind(at(0), rev(15)), "they may be on their way");
    // A newer revision does not start the wait again.
    assert!(!position.is_behind(at(200), rev(18)));
    assert!(position.is_behind(at(350), rev(18)));
    position.set(rev(18));
    assert!(!position.is_behind(at(360), rev(18)));
}

#[test]
fn late_changes_end_the_wait_for_them() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let mut position = StorePosition::default();
    position.set(rev(10));
    assert!(!position.is_behind(at(0), rev(15)));
    position.extend(&relayed(10, 15));
    assert!(!position.is_behind(at(400), rev(20)), "these are missing only since now");
    assert!(position.is_behind(at(750), rev(20)));
}

#[test]
fn revisions_of_an_earlier_era_do_not_count_after_the_store_returned() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let mut position = StorePosition::default();
    position.set(rev(500));
    let returned = Position::new(Era(1), 480);
    assert_eq!(position.compare(returned), Succession::Returned);
    // Changes of the new era do not follow the old position, whatever their revisions.
    position.extend(&StoreChanges { era: Era(1), ..relayed(480, 510) });
    assert_eq!(position.get(), Some(rev(500)));
    assert!(!position.is_behind(at(0), returned), "they may be on their way");
    assert!(position.is_behind(at(350), returned), "a lower revision of a later era is newer");
    position.set(returned);
    assert_eq!(position.compare(rev(501)), Succession::Outdated);
    position.extend(&relayed(400, 505));
    assert_eq!(position.get(), Some(returned), "these are of the earlier era");
    position.extend(&StoreChanges { era: Era(1), ..relayed(480, 482) });
    assert_eq!(position.get(), Some(Position::new(Era(1), 482)));
    assert!(!position.is_behind(at(5000), rev(505)));
}

#[test]
fn older_era_counts_only_once_it_is_named_steadily() {
    let now = Instant::now();
    let at = |ms| now + Duration::from_millis(ms);
    let mut position = StorePosition::default();
    position.set(Position::new(Era(9), 500));
    // Late responses of before a return, one of a newer era between them.
    assert!((0..20).all(|ms| !position.is_refuted(at(ms), rev(490))));
    position.set(Position::new(Era(9), 501));
    assert!(!position.is_refuted(at(6000), rev(490)));
    assert!(!position.is_refuted(at(11_500), Position::new(Era(1), 490)), "another era");
    assert!((12..=14).all(|s| !position.is_refuted(at(s * 1000), Position::new(Era(1), 490))));
    assert!(position.is_refuted(at(16_500), Position::new(Era(1), 490)));
    position.forget_era();
    assert_eq!(position.compare(rev(490)), Succession::Same);
}

#[test]
fn first_read_of_the_store_is_no_return_whatever_its_era() {
    let position = StorePosition::default();
    assert_eq!(position.compare(Position::new(Era(7), 3)), Succession::Same);
}

#[test]
fn position_is_written_and_parsed_as_era_and_revision() {
    let position = Position::new(Era(2), 17);
    assert_eq!((position.to_string().as_str(), "2.17".parse()), ("2.17", Ok(position)));
    assert!("17".parse::<Position>().is_err() && "2.x".parse::<Position>().is_err());
}

/// Over a day of 400 changes, of which each instance loses one message of each reader in fifty, an
/// instance reads the store a few times, however many instances there are.
#[test]
fn reads_of_the_store_grow_with_lost_messages_only() {
    let start = Instant::now();
    let mut position = StorePosition::default();
    position.set(rev(0));
    let (mut reads, mut lost) = (0, 0);
    for revision in 1..=400_u64 {
        let now = start + Duration::from_millis(120) * revision as u32;
        for reader in 0..3 {
            if (revision * 7 + reader * 13) % 50 == 0 {
                lost += 1;
            } else {
                position.extend(&relayed(revision - 1, revision));
            }
        }
        if position.is_behind(now, rev(revision)) {
            reads += 1;
            position.set(rev(revision));
        }
    }
    assert!(lost >= 20, "{lost}");
    assert_eq!((reads, position.get()), (0, Some(rev(400))), "another reader's message arrived");
}

/// Other instances have a version that this instance does not get from the store.
#[test]
fn missing_version_is_requested_from_its_latest_sender() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut pull = ConfigPull::default();
    pull.note_version(at(0), &instance(1), 8);
    assert_eq!(pull.step(at(100), 7), None, "the store gets time to deliver it first");
    pull.note_version(at(300), &instance(2), 9);
    pull.note_version(at(350), &instance(3), 8);
    assert_eq!(pull.step(at(450), 7), Some(instance(2)));
    assert_eq!(pull.step(at(500), 7), None, "one request at a time");
    pull.note_version(at(600), &instance(4), 9);
    assert_eq!(
        pull.step(at(900), 7),
        Some(instance(4)),
        "the next request goes to the latest sender"
    );
    assert_eq!(pull.step(at(1400), 7), None, "the interval doubles after each request");
    assert_eq!(pull.step(at(1700), 7), Some(instance(4)));
    assert_eq!(pull.step(at(1800), 9), None);
    pull.note_version(at(1900), &instance(1), 10);
    assert_eq!(pull.step(at(1950), 9), None, "a later version waits for the store again");
}

/// With hundreds of instances and thousands of endpoints, a digest has to cost only its own rows.
#[test]
fn digest_changes_only_the_endpoints_that_it_names() {
    let start = Instant::now();
    let mut peer_loads = PeerLoads::default();
    for n in 0..300 {
        let rows =
            (0..10).map(|k| gossip::encode_row(Tag::of(&id(n * 10 + k)), work(500, 0))).collect();
        peer_loads.apply(
            start,
            instance(n),
            &Digest {
                full: true,
                rows,
                store_down: false,
                revision: 0,
                era: Era(0),
                ..Digest::default()
            },
        );
    }
    assert_eq!(peer_loads.take_changed().len(), 3000);
    let rows = vec![gossip::encode_row(Tag::of(&id(7)), work(900, 0))];
    peer_loads.apply(
        start,
        instance(0),
        &Digest {
            full: false,
            rows,
            store_down: false,
            revision: 0,
            era: Era(0),
            ..Digest::default()
        },
    );
    assert_eq!(peer_loads.take_changed(), [Tag::of(&id(7))].into());
    assert_eq!(peer_loads.at(Tag::of(&id(7))).held, 900);
    peer_loads.step(start + Duration::from_secs(3));
    assert!(peer_loads.is_empty() && peer_loads.take_changed().len() == 3000);
    assert_eq!(peer_loads.at(Tag::of(&id(7))), Work::default());
}

proptest! {
    /// The sums updated with each digest equal a sum over the rows of all peers.
    #[test]
    fn incremental_sums_equal_full_sums(
        digests in prop::collection::vec(
            (0usize..4, 0usize..5, 0u64..3, any::<bool>(), 0u64..900),
            1..80,
        )
    ) {
        let start = Instant::now();
        let mut peer_loads = PeerLoads::default();
        let mut peers: HashMap<usize, (Instant, HashMap<usize, u64>)> = HashMap::new();
        let mut now = start;
        for (from, n, held, full, pause) in digests {
            now += Duration::from_millis(pause);
            peer_loads.step(now);
            peers.retain(|_, (at, _)| now - *at < Duration::from_secs(2));
            let rows = vec![gossip::encode_row(
                Tag::of(&id(n)),
                if held == 0 { Work::default() } else { work(held, 0) },
            )];
            peer_loads.apply(now, instance(from), &Digest { full, rows, store_down: false, revision: 0, era: Era(0), ..Digest::default() });
            let (at, rows) = peers.entry(from).or_insert_with(|| (now, HashMap::new()));
            *at = now;
            if full {
                rows.clear();
            }
            rows.insert(n, held);
            for n in 0..5 {
                let sum: u64 = peers.values().filter_map(|(_, rows)| rows.get(&n)).sum();
                prop_assert_eq!(peer_loads.at(Tag::of(&id(n))).held, sum);
            }
        }
    }

    /// Lost digests leave the receiver with wrong rows until the next full digest corrects them.
    #[test]
    fn full_digest_corrects_the_rows_after_losses(
        steps in prop::collection::vec((0usize..5, 0u64..9000, 0u64..4000, any::<bool>()), 1..60)
    ) {
        let start = Instant::now();
        let mut own: HashMap<Tag, Work> = HashMap::new();
        let (mut scheduler, mut peer_loads) = (DigestScheduler::default(), PeerLoads::default());
        let mut now = start;
        for (n, held, unread, is_lost) in steps {
            now += Duration::from_millis(100);
            own.insert(
                Tag::of(&id(n)),
                if held < 2000 { Work::default() } else { work(held, unread) },
            );
            if let Some(d) = scheduler.step(now, 4, own.iter().map(|(t, w)| (*t, *w)))
                && !is_lost
            {
                peer_loads.apply(now, instance(1), &d);
            }
        }
        now += Duration::from_millis(600);
        let full = scheduler.step(now, 4, own.iter().map(|(t, w)| (*t, *w))).expect("it is due");
        prop_assert!(full.full);
        peer_loads.apply(now, instance(1), &full);
        for (tag, work) in &own {
            prop_assert_eq!(peer_loads.at(*tag), *work);
        }
    }
}

#[test]
fn digest_of_a_build_without_speeds_is_read() {
    let speeds = vec![(Tag::of(&id(0)), 7, 250, 40, 71_000, 300)];
    let digest = Digest { speeds, ..digest_of_nothing() };
    let bytes = rmp_serde::to_vec_named(&digest).expect("it is serializable");
    assert_eq!(rmp_serde::from_slice::<Digest>(&bytes).expect("it is read"), digest);
    let bytes = rmp_serde::to_vec_named(&digest_of_nothing()).expect("it is serializable");
    let read: Digest = rmp_serde::from_slice(&bytes).expect("it is read");
    assert_eq!(read.speeds, []);
}

fn digest_of_nothing() -> Digest {
    Digest {
        full: true,
        rows: vec![],
        store_down: false,
        revision: 0,
        era: Era(0),
        speeds: vec![],
        ..Digest::default()
    }
}

#[test]
fn news_that_comes_too_soon_after_a_digest_is_sent_with_the_next() {
    let (start, mut scheduler) = (Instant::now(), DigestScheduler::default());
    let step = |scheduler: &mut DigestScheduler, ms| {
        let now = start + Duration::from_millis(ms);
        scheduler.step(now, 4, std::iter::empty())
    };
    assert!(step(&mut scheduler, 0).is_some_and(|d| d.full));
    (scheduler.outage, scheduler.is_due) = (true, true);
    assert_eq!(step(&mut scheduler, 5), None, "within the minimum interval");
    assert!(step(&mut scheduler, 50).is_some_and(|d| d.outage && !d.full));
    assert_eq!(step(&mut scheduler, 100), None, "nothing is new");
}

//! Which changes and lists of the store are applied, in whatever order they arrive.

use rstest::rstest;
use skylarkthread::store::{Applied, KeyValue, ListStart, Position};
use std::time::{Duration, Instant};

const KINDS: [&str; 2] = ["a/", "b/"];

fn position(text: &str) -> Position {
    text.parse().expect("it is a position")
}

/// Reads `KEY@REVISION`.
fn item(text: &str) -> KeyValue {
    let (key, revision) = text.split_once('@').expect("it has a revision");
    let revision = revision.parse().expect("it is a number");
    KeyValue { key: key.into(), value: Some(Vec::new()), revision }
}

/// Plays one line; returns what it gives.
fn play(applied: &mut Applied, start: Instant, line: &str) -> String {
    let words: Vec<&str> = line.split_whitespace().collect();
    let time = |text: &str| start + Duration::from_millis(text.parse().expect("it is a time"));
    match words[..] {
        [now, "change", key, at] => {
            let is_new = applied.admit_change(time(now), key, position(at));
            if is_new { "applied" } else { "known" }.to_owned()
        }
        [now, "complete", at] => {
            applied.advance(time(now), position(at));
            String::new()
        }
        [now, "list", prefix, at, begun, ref items @ ..] => {
            let list = ListStart { at: position(at), begun_at: time(begun) };
            if !applied.can_compare(list.begun_at) {
                return "too old".to_owned();
            }
            let kvs: Vec<KeyValue> = items.iter().map(|text| item(text)).collect();
            let Some(found) = applied.admit_list(time(now), prefix, &list, &kvs) else {
                return "outdated".to_owned();
            };
            let found: Vec<&str> = found.iter().map(|kv| &*kv.key).collect();
            format!("items {}", found.join(" ")).trim_end().to_owned()
        }
        ["lacks", key, at, begun] => {
            let list = ListStart { at: position(at), begun_at: time(begun) };
            if applied.has_changed(key, &list) { "changed" } else { "gone" }.to_owned()
        }
        _ => panic!("no command: {line}"),
    }
}

#[rstest]
// A line has the time, and for a list the time of its begin after its position.
#[case::removal_during_a_list(
    "20 change a/1 0.12 -> applied
     30 list a/ 0.10 10 a/1@5 a/2@6 -> items a/2
     40 change a/1 0.12 -> known"
)]
#[case::addition_during_a_list(
    "20 change a/1 0.12 -> applied
     30 list a/ 0.10 10 a/2@6 -> items a/2
     lacks a/1 0.10 10 -> changed
     lacks a/3 0.10 10 -> gone"
)]
#[case::two_changes_during_a_list(
    "20 change a/1 0.11 -> applied
     21 change a/1 0.12 -> applied
     30 list a/ 0.10 10 a/1@5 -> items
     40 change a/1 0.11 -> known"
)]
#[case::page_that_shows_the_change(
    "20 change a/1 0.12 -> applied
     30 list a/ 0.10 10 a/1@14 -> items a/1
     40 change a/1 0.12 -> known
     41 change a/1 0.14 -> known
     42 change a/1 0.15 -> applied"
)]
#[case::change_that_the_list_shows_comes_late(
    "30 list a/ 0.10 10 a/2@6 -> items a/2
     40 change a/1 0.9 -> known
     41 change a/1 0.10 -> known
     42 change a/1 0.11 -> applied"
)]
#[case::list_of_a_kind_after_a_later_one(
    "30 list a/ 0.20 15 a/2@6 -> items a/2
     40 list a/ 0.10 10 a/1@5 a/2@6 -> outdated
     41 list b/ 0.10 10 b/1@5 -> items b/1
     50 change a/1 0.15 -> known
     51 change b/1 0.15 -> applied"
)]
#[case::list_after_a_later_watch(
    "20 change a/1 0.12 -> applied
     20 complete 0.12 ->
     30 list a/ 0.10 10 a/1@5 -> outdated
     40 list a/ 0.12 25 a/2@6 -> items a/2"
)]
#[case::removal_that_the_position_passes(
    "20 change a/1 0.12 -> applied
     21 complete 0.15 ->
     30 change a/1 0.11 -> known
     31 change a/1 0.14 -> known
     32 change a/1 0.16 -> applied"
)]
#[case::return_of_the_store_during_a_list(
    "20 change a/1 0.90 -> applied
     21 complete 0.90 ->
     30 list a/ 1.40 10 a/1@5 a/2@6 -> items a/1 a/2
     40 change a/1 1.41 -> applied
     41 change a/2 1.40 -> known"
)]
#[case::list_of_before_the_return_comes_after_it(
    "30 list a/ 1.40 15 a/2@6 -> items a/2
     40 list a/ 0.90 10 a/1@5 -> outdated"
)]
#[case::change_of_after_the_return_during_a_list_of_before(
    "20 change a/1 1.41 -> applied
     30 list a/ 0.90 10 a/1@5 a/2@6 -> items a/2
     40 list a/ 1.42 35 a/1@41 -> items a/1"
)]
#[case::position_that_was_wrong(
    "5 change a/1 9.90 -> applied
     5 complete 9.99 ->
     20 list a/ 0.10 10 a/1@5 a/2@6 -> items a/1 a/2
     30 change a/1 0.11 -> applied"
)]
#[case::revision_that_was_wrong(
    "5 change a/1 0.900 -> applied
     5 complete 0.999 ->
     20 list a/ 0.10 10 a/1@5 a/2@6 -> items a/1 a/2
     30 change a/1 0.11 -> applied"
)]
#[case::change_of_an_era_that_was_wrong(
    "5 change a/1 9.90 -> applied
     30 change a/1 0.11 -> applied"
)]
#[case::item_without_a_revision(
    "5 change a/1 0.8 -> applied
     30 list a/ 0.10 10 a/1@0 -> items a/1"
)]
fn change_or_list_that_is_outdated_is_not_applied(#[case] lines: &str) {
    let (mut applied, start) = (Applied::new(&KINDS), Instant::now());
    for line in lines.lines() {
        let (command, expected) = line.split_once("->").expect("it has a result");
        assert_eq!(play(&mut applied, start, command), expected.trim(), "{line}");
    }
}

/// Changes beyond any number that is remembered.
const CHANGES: u64 = 100_000;

#[test]
fn list_begun_before_changes_that_were_forgotten_is_not_applied() {
    let (mut applied, start) = (Applied::new(&KINDS), Instant::now());
    let after = |ms: u64| start + Duration::from_millis(ms);
    for n in 1..=CHANGES {
        let at = position(&format!("0.{n}"));
        assert!(applied.admit_change(after(n), &format!("a/{n}"), at));
    }
    assert!(!applied.can_compare(start));
    assert!(applied.can_compare(after(CHANGES)));
    let known = (1..=CHANGES).filter(|n| {
        let list = ListStart { at: Position::default(), begun_at: start };
        applied.has_changed(&format!("a/{n}"), &list)
    });
    assert!(known.count() <= 4096, "more changes are kept than there is room for");
}

#[test]
fn changes_that_the_position_has_passed_take_no_room() {
    let (mut applied, start) = (Applied::new(&KINDS), Instant::now());
    for n in 1..=CHANGES {
        let at = position(&format!("0.{n}"));
        assert!(applied.admit_change(start, &format!("a/{n}"), at));
        applied.advance(start, at);
    }
    assert!(applied.can_compare(start), "changes were forgotten");
}

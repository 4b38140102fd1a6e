//! At-most-once calls through a complete deployment under failure.

use crate::common::*;
use standin::caller::{Caller, RequestError};
use standin::fleet::{Fleet, Plan};
use standin::store::Snapshot;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

async fn fleet() -> Fleet {
    start_deployment(Plan { entries: 3, pools: vec![booking_pool(3)], ..Plan::default() }).await
}

fn count(fleet: &Fleet, body: &str) -> u32 {
    fleet.call_log.count(&format!("POST /bookings {body}"))
}

#[actix_rt::test]
async fn concurrent_copies_of_keyed_call_run_once() {
    let fleet = fleet().await;
    let caller = Caller::new("key-1");
    let minted = caller.mint_key(fleet.entry_address(0), "booking").await.unwrap();
    for (key, body) in [(minted.as_str(), "delay=200;m"), ("chosen", "delay=200;c")] {
        let sends =
            (0..9).map(|n| caller.call(fleet.entry_address(n), "POST", CALL_PATH, Some(key), body));
        let all = futures_util::future::join_all(sends).await;
        assert!(all.iter().any(Result::is_ok), "{all:?}");
        // Copies that arrive during the call are refused as running; later ones get the response.
        let late =
            caller.call(fleet.entry_address(1), "POST", CALL_PATH, Some(key), body).await.unwrap();
        assert_eq!((late["count"].as_u64(), count(&fleet, body)), (Some(1), 1));
    }
}

#[actix_rt::test]
async fn response_without_length_or_chunks_reaches_the_caller_whole() {
    let fleet = fleet().await;
    let caller = Caller::new("key-1");
    let body = "unframed;x";
    let answer =
        caller.call(fleet.entry_address(0), "POST", CALL_PATH, Some("k"), body).await.unwrap();
    assert_eq!((answer["count"].as_u64(), count(&fleet, body)), (Some(1), 1));
}

#[actix_rt::test]
async fn missing_key_and_key_of_other_content_are_refused() {
    let fleet = fleet().await;
    let caller = Caller::new("key-1");
    caller.call(fleet.entry_address(0), "POST", CALL_PATH, Some("k"), "one").await.unwrap();
    let other = caller.call(fleet.entry_address(1), "POST", CALL_PATH, Some("k"), "two").await;
    assert!(matches!(other, Err(RequestError::Refused(r)) if r.status == 422));
    let none = caller.call(fleet.entry_address(1), "POST", CALL_PATH, None, "three").await;
    assert!(matches!(none, Err(RequestError::Refused(r)) if r.status == 400));
    // Keys are scoped to the workspace, so another one may use the same key.
    let same_key = Caller::new("key-2")
        .call(fleet.entry_address(1), "POST", CALL_PATH, Some("k"), "two")
        .await;
    assert!(same_key.is_ok());
    assert_eq!((count(&fleet, "two"), count(&fleet, "three")), (1, 0));
}

#[actix_rt::test]
async fn sidecar_restart_during_call_reports_unknown_without_rerun() {
    let mut fleet = fleet().await;
    let caller = Caller::new("key-1");
    let key = caller.mint_key(fleet.entry_address(0), "booking").await.unwrap();
    let ix: usize = key.split('~').nth(1).unwrap().rsplit('-').next().unwrap().parse().unwrap();
    let (entry, key2) = (fleet.entry_address(0), key.clone());
    let first = actix_rt::spawn(async move {
        Caller::new("key-1").call(entry, "POST", CALL_PATH, Some(&key2), "delay=3000;x").await
    });
    assert!(wait_for_call(&fleet, "delay=3000;x").await);
    fleet.restart_sidecar(ix);
    let first = first.await.unwrap();
    assert_eq!(first.as_ref().err().map(RequestError::outcome), Some("unknown"), "{first:?}");
    assert!(fleet.wait_all_ready(1).await);
    for n in 0..3 {
        let repeated = caller
            .call(fleet.entry_address(n), "POST", CALL_PATH, Some(&key), "delay=3000;x")
            .await;
        assert_eq!(repeated.err().as_ref().map(RequestError::outcome), Some("unknown"));
    }
    assert_eq!(count(&fleet, "delay=3000;x"), 1);
}

/// The list drops an endpoint that does not answer while calls wait for its reply.
#[actix_rt::test]
async fn call_whose_endpoint_is_removed_meanwhile_is_answered_by_another() {
    let plan = Plan { entries: 1, pools: vec![booking_pool(2)], ..Plan::default() };
    let fleet = start_deployment(plan).await;
    let patient = CONFIG.replace("\"first_ms\": 5000", "\"first_ms\": 12000");
    let (code, out) = fleet.submit(&patient, 1);
    assert_eq!(code, 0, "{out}");
    assert!(fleet.wait_all_ready(2).await, "logs in {}", fleet.log_dir().display());
    fleet.endpoints[0].sidecar.pause();
    fleet.unlist(0);
    let caller = Caller::new("key-1");
    let entry = fleet.entry_address(0);
    let bodies: Vec<String> = (0..8).map(|n| format!("c{n}")).collect();
    let sends = bodies.iter().map(|body| caller.call(entry, "GET", CALL_PATH, None, body));
    let started = Instant::now();
    let answers = futures_util::future::join_all(sends).await;
    fleet.endpoints[0].sidecar.resume();
    assert!(started.elapsed() > Duration::from_secs(5), "no call was sent to the paused endpoint");
    assert!(answers.iter().all(Result::is_ok), "{answers:?}");
}

#[actix_rt::test]
async fn entry_crash_during_call_does_not_rerun_it() {
    let mut fleet = fleet().await;
    let caller = Caller::new("key-1");
    let entry = fleet.entry_address(0);
    let first = actix_rt::spawn(async move {
        Caller::new("key-1").call(entry, "POST", CALL_PATH, Some("own"), "delay=1000;x").await
    });
    assert!(wait_for_call(&fleet, "delay=1000;x").await);
    fleet.entries[0].daemon.kill();
    assert_eq!(first.await.unwrap(), Err(RequestError::Unreached));
    let answered = wait_until(5, async || {
        caller
            .call(fleet.entry_address(1), "POST", CALL_PATH, Some("own"), "delay=1000;x")
            .await
            .is_ok()
    });
    assert!(answered.await, "recorded response not returned within 5 s");
    assert_eq!(count(&fleet, "delay=1000;x"), 1);
}

#[actix_rt::test]
async fn call_reported_as_not_run_never_runs() {
    let mut fleet = fleet().await;
    for ix in 0..3 {
        fleet.crash_backend(ix);
    }
    let caller = Caller::new("key-1");
    // Calls are sent before and after the sidecars detect the crash of their services.
    let mut not_run = Vec::new();
    for n in 0..6 {
        let key = format!("k{n}");
        let body = format!("b{n}");
        let r = caller.call(fleet.entry_address(n), "POST", CALL_PATH, Some(&key), &body).await;
        if r.as_ref().err().is_some_and(|e| e.outcome() == "not-run") {
            not_run.push((key, body));
        }
        sleep_ms(200).await;
    }
    assert!(!not_run.is_empty());
    for ix in 0..3 {
        fleet.restart_backend(ix);
    }
    assert!(fleet.wait_all_ready(1).await);
    sleep_ms(500).await;
    for (_, body) in &not_run {
        assert_eq!(count(&fleet, body), 0);
    }
}

#[actix_rt::test]
async fn paused_sidecar_causes_no_false_not_run() {
    let fleet = fleet().await;
    let caller = Caller::new("key-1");
    let key = caller.mint_key(fleet.entry_address(0), "booking").await.unwrap();
    let ix: usize = key.split('~').nth(1).unwrap().rsplit('-').next().unwrap().parse().unwrap();
    fleet.endpoints[ix].sidecar.pause();
    let first = caller.call(fleet.entry_address(0), "POST", CALL_PATH, Some(&key), "x").await;
    assert_eq!(first.err().as_ref().map(RequestError::outcome), Some("unknown"));
    fleet.endpoints[ix].sidecar.resume();
    // The call sent to the paused sidecar arrives now and must run at most once.
    sleep_ms(1500).await;
    assert!(fleet.wait_all_ready(1).await);
    let repeated = caller.call(fleet.entry_address(1), "POST", CALL_PATH, Some(&key), "x").await;
    let outcome = repeated.as_ref().err().map(RequestError::outcome);
    assert!(outcome.is_none() || outcome == Some("not-run"), "{repeated:?}");
    assert_eq!(count(&fleet, "x"), u32::from(outcome.is_none()));
}

#[actix_rt::test]
async fn store_outage_serves_minted_keys_and_refuses_chosen_keys() {
    let fleet = fleet().await;
    let caller = Caller::new("key-1");
    caller.call(fleet.entry_address(0), "POST", CALL_PATH, Some("before"), "b").await.unwrap();
    fleet.store.change_faults(|f| f.down = true);
    let key = caller.mint_key(fleet.entry_address(0), "booking").await.unwrap();
    for n in 0..3 {
        caller.call(fleet.entry_address(n), "POST", CALL_PATH, Some(&key), "minted").await.unwrap();
    }
    assert_eq!(count(&fleet, "minted"), 1);
    // A chosen key may have been used before, as `before` was, so `not-run` could be false.
    for key in ["before", "fresh"] {
        let r = caller.call(fleet.entry_address(1), "POST", CALL_PATH, Some(key), "b").await;
        let Err(RequestError::Refused(r)) = r else { panic!("{r:?}") };
        assert_eq!((&*r.outcome, r.status, r.retry_after.is_some()), ("unknown", 503, true));
    }
    fleet.store.change_faults(|f| f.down = false);
    caller.call(fleet.entry_address(1), "POST", CALL_PATH, Some("before"), "b").await.unwrap();
    caller.call(fleet.entry_address(2), "POST", CALL_PATH, Some("fresh"), "f").await.unwrap();
    assert_eq!((count(&fleet, "b"), count(&fleet, "f")), (1, 1));
}

#[actix_rt::test]
async fn keys_are_claimed_again_after_the_store_lost_the_lease_of_claims() {
    let fleet = fleet().await;
    let caller = Caller::new("key-1");
    let entry = fleet.entry_address(0);
    let copy = fleet.store.snapshot();
    caller.call(entry, "POST", CALL_PATH, Some("first"), "f").await.unwrap();
    fleet.store.restore(copy);
    // The first claim after the return finds out that the lease is gone.
    let refused = caller.call(entry, "POST", CALL_PATH, Some("second"), "s").await;
    assert_eq!(refused.err().as_ref().map(RequestError::outcome), Some("unknown"));
    caller.call(entry, "POST", CALL_PATH, Some("second"), "s").await.unwrap();
    assert_eq!(count(&fleet, "s"), 1);
}

/// How the store comes back.
#[derive(Debug, Clone, Copy)]
enum Return {
    /// With the identifier of its cluster.
    SameCluster,
    /// In a cluster with another identifier.
    NewCluster,
}

fn return_store(fleet: &Fleet, copy: Snapshot, how: Return) {
    match how {
        Return::SameCluster => fleet.store.restore(copy),
        Return::NewCluster => fleet.store.restore_in_new_cluster(copy),
    }
}

/// Calls with a key of the caller's through the entries from `first` on until one is answered;
/// returns the outcomes until then, `done` for an answer of the service.
async fn repeat_call(fleet: &Fleet, first: usize, key: &str, secs: u64) -> Vec<String> {
    let caller = Caller::new("key-1");
    let end = Instant::now() + Duration::from_secs(secs);
    let mut outcomes = Vec::new();
    while Instant::now() < end && outcomes.last().is_none_or(|o| o != "done") {
        let entry = fleet.entries[first + outcomes.len() % (fleet.entries.len() - first)].address();
        let sent = caller.call(entry, "POST", CALL_PATH, Some(key), key).await;
        outcomes.push(sent.map_or_else(|e| e.outcome().to_string(), |_| "done".into()));
        sleep_ms(50).await;
    }
    outcomes
}

/// The entry that made the claims dies as well; the sidecars are left to tell of them.
#[rstest::rstest]
#[case(Return::SameCluster)]
#[case(Return::NewCluster)]
#[actix_rt::test]
async fn keys_whose_claims_went_with_a_copy_are_answered_from_their_records(#[case] how: Return) {
    let mut fleet = fleet().await;
    let copy = fleet.store.snapshot();
    let keys: Vec<String> = (0..12).map(|n| format!("k{n}")).collect();
    for key in &keys {
        let sent = Caller::new("key-1");
        sent.call(fleet.entry_address(0), "POST", CALL_PATH, Some(key), key).await.unwrap();
    }
    fleet.entries[0].daemon.kill();
    return_store(&fleet, copy, how);
    for key in &keys {
        let outcomes = repeat_call(&fleet, 1, key, 10).await;
        let expected = |o: &String| o == "unknown" || o == "done";
        assert!(outcomes.iter().all(expected), "{key}: {outcomes:?}");
        assert_eq!(outcomes.last().map(String::as_str), Some("done"), "{key}: {outcomes:?}");
        assert_eq!(count(&fleet, key), 1, "{key}: {outcomes:?}");
    }
    // Keys that were never used are claimed again.
    let outcomes = repeat_call(&fleet, 1, "fresh", 10).await;
    assert_eq!(outcomes.last().map(String::as_str), Some("done"), "{outcomes:?}");
    assert_eq!(count(&fleet, "fresh"), 1);
}

/// Nobody is left who knows the claims of the sidecar that was started again.
#[rstest::rstest]
#[case(Return::SameCluster)]
#[case(Return::NewCluster)]
#[actix_rt::test]
async fn keys_of_a_lost_sidecar_stay_unknown_after_a_return_of_the_store(#[case] how: Return) {
    let mut fleet = fleet().await;
    let caller = Caller::new("key-1");
    let copy = fleet.store.snapshot();
    let keys: Vec<String> = (0..12).map(|n| format!("k{n}")).collect();
    for (n, key) in keys.iter().enumerate() {
        // Each entry prefers the endpoint of its own data centre.
        caller.call(fleet.entry_address(n), "POST", CALL_PATH, Some(key), key).await.unwrap();
    }
    fleet.entries[0].daemon.kill();
    fleet.restart_sidecar(0);
    return_store(&fleet, copy, how);
    let mut unknown = 0;
    for key in &keys {
        let outcomes = repeat_call(&fleet, 1, key, 3).await;
        let expected = |o: &String| o == "unknown" || o == "done";
        assert!(outcomes.iter().all(expected), "{key}: {outcomes:?}");
        unknown += u32::from(outcomes.last().is_some_and(|o| o == "unknown"));
        assert_eq!(count(&fleet, key), 1, "{key}: {outcomes:?}");
    }
    assert!(unknown > 0, "no call had run at the lost sidecar");
    // A key that names its sidecar needs no claim.
    let key = caller.mint_key(fleet.entry_address(1), "booking").await.unwrap();
    caller.call(fleet.entry_address(1), "POST", CALL_PATH, Some(&key), "minted").await.unwrap();
}

/// A restart looks like a return from a copy until the claims are compared.
#[actix_rt::test]
async fn chosen_keys_work_after_a_restart_of_the_store_that_lost_nothing() {
    let mut fleet = fleet().await;
    for n in 0..6 {
        let key = format!("k{n}");
        let caller = Caller::new("key-1");
        caller.call(fleet.entry_address(n), "POST", CALL_PATH, Some(&key), &key).await.unwrap();
    }
    // A sidecar that ended before is no reason for doubt, since the store has its claims.
    fleet.restart_sidecar(0);
    // An entry learns of the new run once a poll that the old one held has failed.
    sleep_ms(4000).await;
    fleet.store.restart();
    for n in 0..6 {
        let fresh = format!("fresh{n}");
        let outcomes = repeat_call(&fleet, n % 3, &fresh, 5).await;
        assert_eq!(outcomes.last().map(String::as_str), Some("done"), "{fresh}: {outcomes:?}");
        assert_eq!(count(&fleet, &fresh), 1, "{fresh}: {outcomes:?}");
    }
    for n in 1..3 {
        let key = format!("k{n}");
        let outcomes = repeat_call(&fleet, n, &key, 5).await;
        assert_eq!(outcomes.last().map(String::as_str), Some("done"), "{key}: {outcomes:?}");
        assert_eq!(count(&fleet, &key), 1, "{key}: {outcomes:?}");
    }
}

/// Only the sidecars still have the version in which the key is withdrawn.
#[actix_rt::test]
async fn key_withdrawn_before_a_return_stays_withdrawn_at_an_entry_that_starts_after_it() {
    let plan = Plan { entries: 1, pools: vec![booking_pool(3)], ..Plan::default() };
    let mut fleet = start_deployment(plan).await;
    let copy = fleet.store.snapshot();
    let key_2 = "7c36b0a9dedde119c75165957c6c9c187e65df1ee5db87c4c58ad503ad88cbe3";
    let (code, out) = fleet.submit(&CONFIG.replace(key_2, &"0".repeat(64)), 1);
    assert_eq!(code, 0, "{out}");
    assert!(fleet.wait_all_ready(2).await);
    fleet.entries[0].daemon.kill();
    fleet.store.restore_in_new_cluster(copy);
    fleet.restart_entry(0);
    let (entry, withdrawn) = (fleet.entry_address(0), Caller::new("key-2"));
    let end = Instant::now() + Duration::from_secs(3);
    let mut refusals = 0;
    while Instant::now() < end {
        let sent = withdrawn.call(entry, "GET", CALL_PATH, None, "").await;
        assert!(sent.is_err(), "the withdrawn key is accepted after {refusals} refusals");
        refusals += u32::from(matches!(sent, Err(RequestError::Refused(r)) if r.status == 401));
        sleep_ms(2).await;
    }
    assert!(refusals > 0, "the entry has no configuration");
    // The store gets the version back.
    let (code, out) = fleet.submit(CONFIG, 2);
    assert_eq!(code, 0, "{out}");
}

#[actix_rt::test]
async fn resend_finds_claim_whose_store_reply_was_lost() {
    let fleet = fleet().await;
    let caller = Caller::new("key-1");
    // Obtains the lease of entry 0, so that the claim is the only store call of the next call.
    caller.call(fleet.entry_address(0), "POST", CALL_PATH, Some("warm"), "w").await.unwrap();
    fleet.store.change_faults(|f| f.lost_answers = 1);
    let first = caller.call(fleet.entry_address(0), "POST", CALL_PATH, Some("k"), "x").await;
    assert_eq!(first.err().as_ref().map(RequestError::outcome), Some("unknown"));
    for n in 0..3 {
        caller.call(fleet.entry_address(n), "POST", CALL_PATH, Some("k"), "x").await.unwrap();
    }
    assert_eq!(count(&fleet, "x"), 1);
}

#[actix_rt::test]
async fn repeatable_calls_fail_over_to_live_endpoint() {
    let mut fleet = fleet().await;
    fleet.crash_backend(0);
    fleet.crash_backend(1);
    let caller = Caller::new("key-1");
    for n in 0..6 {
        let r = caller.call(fleet.entry_address(n), "GET", "/s/booking/slots", None, "").await;
        assert!(r.is_ok(), "{r:?}");
    }
}

#[actix_rt::test]
async fn stopping_sidecar_finishes_running_calls() {
    let mut fleet = fleet().await;
    let caller = Caller::new("key-1");
    let key = caller.mint_key(fleet.entry_address(0), "booking").await.unwrap();
    let ix: usize = key.split('~').nth(1).unwrap().rsplit('-').next().unwrap().parse().unwrap();
    let entry = fleet.entry_address(0);
    let call = actix_rt::spawn(async move {
        Caller::new("key-1").call(entry, "POST", CALL_PATH, Some(&key), "delay=1500;x").await
    });
    assert!(wait_for_call(&fleet, "delay=1500;x").await);
    fleet.endpoints[ix].sidecar.terminate();
    assert!(call.await.unwrap().is_ok());
    assert_eq!(fleet.endpoints[ix].sidecar.wait_exit(Duration::from_secs(10)), Some(0));
}

#[actix_rt::test]
async fn entry_without_intent_reports_unknown_outcome() {
    let mut fleet = fleet().await;
    let caller = Caller::new("key-1");
    caller.call(fleet.entry_address(0), "POST", CALL_PATH, Some("k"), "x").await.unwrap();
    // The restarted entries can get the intent neither from the store nor from a listed endpoint.
    fleet.store.change_faults(|f| f.down = true);
    (0..3).for_each(|ix| fleet.unlist(ix));
    for ix in 0..3 {
        fleet.restart_entry(ix);
    }
    let answered = async || {
        let r = caller.call(fleet.entry_address(0), "POST", CALL_PATH, Some("k"), "x").await;
        matches!(r, Err(RequestError::Refused(r)) if &*r.outcome == "unknown" && r.retry_after.is_some())
    };
    assert!(wait_until(5, answered).await);
}

/// Calls that may be repeated are sent through all entries, and the sidecar is restarted meanwhile.
#[actix_rt::test]
async fn limit_of_an_endpoint_holds_for_calls_of_all_entries_and_a_restarted_sidecar() {
    let plan = Plan { entries: 2, pools: vec![booking_pool(1)], ..Plan::default() };
    let mut fleet = start_deployment(plan).await;
    fleet.call_log.set_limit(Some(4.0));
    sleep_ms(600).await;
    let started = std::time::Instant::now();
    let mut sends = Vec::new();
    for n in 0..240 {
        let (entry, body) = (fleet.entry_address(n % 2), format!("n{n}"));
        sends.push(actix_rt::spawn(async move {
            Caller::new("key-1").call(entry, "GET", CALL_PATH, None, &body).await.is_ok()
        }));
        if n == 120 {
            fleet.restart_sidecar(0);
        }
        sleep_ms(50).await;
    }
    let answered = futures_util::future::join_all(sends).await;
    let answered = answered.into_iter().filter(|a| matches!(a, Ok(true))).count();
    let window = Duration::from_secs(4);
    let arrivals = fleet.call_log.arrivals();
    let count = |from: &std::time::Instant| {
        arrivals.iter().filter(|at| *at >= from && **at < *from + window).count()
    };
    let busiest = arrivals.iter().map(count).max().unwrap_or(0);
    assert!(busiest <= 29, "{busiest} calls in 4 s at a limit of 4/s");
    let secs = started.elapsed().as_secs_f64();
    // Half of what the limit allows: the restarted sidecar is away for a while.
    assert!(answered as f64 >= 2.0 * secs, "{answered} calls answered in {secs:.1} s");
}

/// Answers all connections with these bytes; returns the number of calls among the requests.
fn answer_at(address: SocketAddr, answer: &'static [u8]) -> Arc<AtomicU32> {
    let listener = TcpListener::bind(address).expect("the service has freed its address");
    let calls = Arc::new(AtomicU32::new(0));
    let count = calls.clone();
    std::thread::spawn(move || {
        for mut io in listener.incoming().flatten() {
            let mut request = [0; 4096];
            let n = io.read(&mut request).unwrap_or(0);
            count.fetch_add(u32::from(request[..n].starts_with(b"POST")), Ordering::SeqCst);
            // A client that has closed its connection needs no answer.
            let _ = io.write_all(answer);
        }
    });
    calls
}

fn serves(endpoints: &[serde_json::Value]) -> bool {
    endpoints.iter().any(|e| e["serving"] == true)
}

#[actix_rt::test]
async fn service_whose_health_answers_are_malformed_gets_no_calls() {
    let plan = Plan { entries: 1, pools: vec![booking_pool(1)], ..Plan::default() };
    let mut fleet = start_deployment(plan).await;
    let caller = Caller::new("key-1");
    fleet.crash_backend(0);
    let is_down = async || {
        let status = fleet.status(0).await;
        status.is_some_and(|s| s["endpoints"].as_array().is_some_and(|all| !serves(all)))
    };
    assert!(wait_until(10, is_down).await, "the service does not count as down");
    let answer = b"HTTP/1.1 200 OK\r\nX-Other : 1\r\nContent-Length: 2\r\n\r\n{}";
    let calls = answer_at(fleet.backend_address(0), answer);
    for n in 0..30 {
        let key = format!("k-{n}");
        // What the caller gets is of no matter here.
        let _ = caller.call(fleet.entry_address(0), "POST", CALL_PATH, Some(&key), "x").await;
        sleep_ms(100).await;
    }
    assert_eq!(calls.load(Ordering::SeqCst), 0);
}

//! Tests that instances are ready again after kills, whatever others have written to the store and
//! whatever part of its calls fails.

use crate::common::{
    CONFIG, request_bytes, start_gateway, start_gateway_at, start_store, wait_for,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use standin::platform::{Gateway, StoreFault, StoreFront, foreign, try_send};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

/// Time in which a configuration applies, with the platform's allowance for an instance that starts.
const APPLY_TIME: Duration = Duration::from_secs(7);
/// Memory limit in the settings of an instance, in KiB.
const MEMORY_KIB: u64 = 110_000_000 / 1024;
/// Keys of the report of inc10.
const REPORTED_KEYS: [&str; 5] = ["a00%25", "a01%25", "a02&b=", "a03+", "a04%C3%A9"];

/// Checks that an instance which was started at `start` is ready and serves in time.
fn assert_serves(gateway: &mut Gateway, start: Instant, case: &str) {
    let is_served = |gateway: &Gateway| {
        gateway.probe() == 200 && call(gateway.front, "GET", "/safe/x", "id") == 200
    };
    while !is_served(gateway) {
        assert!(!gateway.has_ended(), "{case}: the process has ended");
        assert!(start.elapsed() < APPLY_TIME, "{case}: not ready within {APPLY_TIME:?}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// Returns the status of a request; 0 without an answer.
fn call(to: SocketAddr, method: &str, path: &str, id: &str) -> u16 {
    let sent = try_send(to, &request_bytes(method, path, id, "", ""));
    sent.map_or(0, |mut sent| sent.reply().status)
}

/// Returns the most memory that a process has had resident, in KiB.
fn peak_kib(gateway: &Gateway) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", gateway.process_id()));
    let status = status.expect("the process runs");
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("the peak is stated");
    line.trim().trim_end_matches(" kB").parse().expect("it is a number")
}

/// Kills some instances, the last one again while it starts, and waits until all are ready.
fn kill(gateways: &mut [Gateway], case: &str) {
    gateways.iter().for_each(|g| g.signal(libc::SIGKILL));
    let start = Instant::now();
    gateways.iter_mut().for_each(Gateway::restart);
    gateways.iter_mut().for_each(|g| assert_serves(g, start, case));
}

#[rstest]
fn killed_instances_are_ready_again_and_no_answered_request_runs_twice(
    #[values(1, 500)] page_items: usize,
    #[values(0, 1000, foreign::MAX_VALUE_BYTES)] value_size: usize,
) {
    let (e, store) = start_store();
    let mut gateways: Vec<Gateway> = (0..5).map(|_| start_gateway(&store)).collect();
    gateways.iter_mut().for_each(|g| assert_serves(g, Instant::now(), "first start"));
    store.set_page_items(page_items);
    REPORTED_KEYS.iter().for_each(|key| store.set(key, Some(&vec![0xff; value_size])));
    let fronts: Vec<SocketAddr> = gateways.iter().map(|g| g.front).collect();
    let (is_over, answered) = (AtomicBool::new(false), AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for caller in 0..4_usize {
            let (fronts, is_over, answered) = (&fronts, &is_over, &answered);
            scope.spawn(move || {
                for n in (0..).take_while(|_| !is_over.load(Ordering::Relaxed)) {
                    let front = fronts[(caller + n) % fronts.len()];
                    let status = call(front, "POST", "/unsafe/x", &format!("c{caller}-{n}"));
                    answered.fetch_add(usize::from(status == 200), Ordering::Relaxed);
                    std::thread::sleep(Duration::from_millis(10));
                }
            });
        }
        let killed = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            for round in 0..2 {
                kill(&mut gateways, &format!("round {round}, together"));
                (0..5)
                    .for_each(|n| kill(&mut gateways[n..=n], &format!("round {round}, {n} alone")));
                // Killed again as it starts.
                (0..10).for_each(|_| gateways[4].restart());
                kill(&mut gateways[1..], &format!("round {round}, all but one"));
            }
        }));
        is_over.store(true, Ordering::Relaxed);
        if let Err(panic) = killed {
            std::panic::resume_unwind(panic);
        }
    });
    assert!(answered.load(Ordering::Relaxed) > 100, "{answered:?} requests were answered");
    let mut runs: HashMap<String, usize> = HashMap::new();
    for r in e.received().iter().filter(|r| r.ran && r.req.target.starts_with("/unsafe")) {
        *runs.entry(r.req.header("x-attempt-id").unwrap_or("-").to_owned()).or_default() += 1;
    }
    let twice: Vec<_> = runs.iter().filter(|(_, n)| **n > 1).collect();
    assert!(twice.is_empty(), "ran more than once: {twice:?}");
}

/// Starts an instance beside foreign keys that are drawn from a seed.
fn check_seed(seed: u64) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let (_e, store) = start_store();
    let keys = [0, 10, 100, 1000][rng.random_range(0..4)];
    for _ in 0..keys {
        store.set(&foreign::draw_key(&mut rng), Some(&foreign::draw_value(&mut rng)));
    }
    let page_items = [1, 2, 10, 100, 500][rng.random_range(0..5)];
    store.set_page_items(page_items);
    let case = format!("seed {seed}, {keys} keys, pages of {page_items}");
    let start = Instant::now();
    let mut gateway = start_gateway(&store);
    assert_serves(&mut gateway, start, &case);
    let (time, peak) = (start.elapsed(), peak_kib(&gateway));
    println!("{case}: serves after {time:?}, {peak} KiB");
    assert!(peak < MEMORY_KIB, "{case}: {peak} KiB");
}

#[rstest]
fn instance_is_ready_beside_any_keys_of_others(#[values(0, 1, 2, 3, 4, 5, 6, 7)] seed: u64) {
    check_seed(seed);
}

/// Run by hand; the seeds are in the variable `SEEDS`, such as `100..150`.
#[test]
#[ignore = "takes minutes"]
fn instance_is_ready_beside_any_keys_of_others_for_seeds() {
    let seeds = std::env::var("SEEDS").expect("SEEDS is set");
    let (first, end) = seeds.split_once("..").expect("SEEDS is a range");
    let parse = |n: &str| n.parse::<u64>().expect("SEEDS holds numbers");
    (parse(first)..parse(end)).for_each(check_seed);
}

#[rstest]
#[case::no_refusals(StoreFault::Target("prefix=quarantine", 503))]
#[case::no_instances(StoreFault::Target("prefix=gateways", 503))]
#[case::no_watches(StoreFault::Target("kv-watch", 503))]
#[case::no_writes(StoreFault::Target("POST", 429))]
#[case::silent_refusals(StoreFault::SilentTarget("prefix=quarantine"))]
#[case::silent_instances(StoreFault::SilentTarget("prefix=gateways"))]
#[case::limited_by_half(StoreFault::Share(50, 429))]
#[case::limited_mostly(StoreFault::Share(75, 429))]
#[case::busy_mostly(StoreFault::Share(75, 503))]
fn instance_is_ready_while_a_part_of_the_calls_fails(#[case] fault: StoreFault) {
    let (_e, store) = start_store();
    let front = StoreFront::start(store.address, fault);
    let start = Instant::now();
    let mut gateway = start_gateway_at(front.address);
    assert_serves(&mut gateway, start, &format!("{fault:?}"));
    println!("{fault:?}: serves after {:?}", start.elapsed());
}

#[rstest]
#[case::no_refusals(StoreFault::Target("prefix=quarantine", 503))]
#[case::silent_instances(StoreFault::SilentTarget("prefix=gateways"))]
#[case::limited_by_half(StoreFault::Share(50, 429))]
fn changes_apply_while_a_part_of_the_calls_fails(#[case] fault: StoreFault) {
    let (_e, store) = start_store();
    let front = StoreFront::start(store.address, fault);
    front.mend();
    let mut gateway = start_gateway_at(front.address);
    assert_serves(&mut gateway, Instant::now(), "before the fault");
    front.relapse();
    // Watches do not show the change.
    store.compact();
    let config = CONFIG.replace(r#""version":7"#, r#""version":8"#).replace("/safe/", "/new/");
    store.set("op/config", Some(config.as_bytes()));
    store.compact();
    let is_applied = || call(gateway.front, "GET", "/new/x", "id-2") == 200;
    assert!(wait_for(APPLY_TIME.as_secs(), is_applied), "{fault:?}: the change does not apply");
}

#[rstest]
fn list_of_another_kind_that_takes_long_does_not_delay_a_start(
    #[values("gateways/", "quarantine/")] prefix: &str,
) {
    let (_e, store) = start_store();
    store.set_page_items(1);
    (0..200).for_each(|n| store.set(&format!("{prefix}{n:03}"), Some(b"{}")));
    let front = StoreFront::start(store.address, StoreFault::Late(Duration::from_millis(100)));
    let start = Instant::now();
    let mut gateway = start_gateway_at(front.address);
    assert_serves(&mut gateway, start, prefix);
}

#[test]
fn instance_is_ready_while_the_era_of_the_store_alternates() {
    let (_e, store) = start_store();
    let is_over = AtomicBool::new(false);
    std::thread::scope(|scope| {
        scope.spawn(|| {
            for n in (0..).take_while(|_| !is_over.load(Ordering::Relaxed)) {
                store.name_odd_eras(n % 2 == 0);
                std::thread::sleep(Duration::from_millis(3));
            }
        });
        let start = Instant::now();
        let mut gateway = start_gateway(&store);
        let served = wait_for(APPLY_TIME.as_secs(), || gateway.probe() == 200);
        is_over.store(true, Ordering::Relaxed);
        assert!(served, "not ready within {APPLY_TIME:?}");
        assert_serves(&mut gateway, start, "eras that alternate");
    });
}

#[rstest]
fn address_of_the_store_that_changes_before_the_first_configuration_is_used(
    #[values(true, false)] is_signalled: bool,
) {
    let (_e, store) = start_store();
    let front = StoreFront::start(store.address, StoreFault::Silent);
    let mut gateway = start_gateway_at(front.address);
    std::thread::sleep(Duration::from_secs(2));
    let text = std::fs::read_to_string(&gateway.settings_file).expect("the settings are there");
    let text = text.replace(&front.address.to_string(), &store.address.to_string());
    std::fs::write(&gateway.settings_file, text).expect("cannot write the settings file");
    if is_signalled {
        gateway.signal(libc::SIGHUP);
    }
    assert_serves(&mut gateway, Instant::now(), "changed address");
}

/// The peer that has the configuration is no help while copies of it fail.
#[rstest]
#[case::frozen_peer(libc::SIGSTOP)]
#[case::killed_peer(libc::SIGKILL)]
fn instance_is_ready_though_copies_of_a_peer_fail(#[case] signal: i32) {
    let (_e, store) = start_store();
    let mut peer = start_gateway(&store);
    assert_serves(&mut peer, Instant::now(), "peer");
    let front = StoreFront::start(store.address, StoreFault::Status(503));
    let mut gateway = start_gateway_at(front.address);
    peer.signal(signal);
    std::thread::sleep(Duration::from_secs(2));
    front.mend();
    assert_serves(&mut gateway, Instant::now(), "copies that fail");
}

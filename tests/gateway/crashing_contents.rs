//! Requests that crash each endpoint that runs them, and are sent again.

use crate::common::{
    CONFIG, list_endpoint, request_bytes, send_request, start_gateway, start_platform, wait_for,
};
use rstest::rstest;
use standin::platform::{Action, Endpoint, Gateway, Store, send};
use std::time::Duration;

/// Request that crashes endpoints.
const BAD: &str = "/safe/stock?kit=b4d";
/// Time for which an endpoint that has crashed is down.
const DOWN: Duration = Duration::from_secs(60);
/// Time in which a crash is found, and the other gateways are told.
const SETTLE_TIME: Duration = Duration::from_millis(600);
/// Requests that may crash an endpoint: three, and three more later.
const MAX_RUNS: usize = 6;

fn start_endpoints(n: usize) -> Vec<Endpoint> {
    let start = |ix| Endpoint::start(&format!("i-{ix}"), Action::Respond(200, "fine".into()));
    let endpoints: Vec<Endpoint> = (0..n).map(start).collect();
    endpoints.iter().for_each(|e| e.crash_on_target(BAD, DOWN));
    endpoints
}

/// Starts a store with the endpoints and gateways that know each other.
fn start_fleet(endpoints: &[Endpoint], n: usize) -> (Store, Vec<Gateway>) {
    let listed: Vec<(&Endpoint, &str)> = endpoints.iter().map(|e| (e, "plain")).collect();
    let (store, first) = start_platform(&listed);
    let mut gateways = vec![first];
    gateways.extend((1..n).map(|_| start_gateway(&store)));
    let is_registered = || store.keys("gateways/").len() == n;
    assert!(gateways.iter().all(|g| wait_for(5, || g.readiness() == 200)));
    assert!(wait_for(3, is_registered));
    std::thread::sleep(Duration::from_millis(500));
    (store, gateways)
}

/// Returns how many requests that crash endpoints have reached one.
fn bad_runs(endpoints: &[Endpoint]) -> usize {
    let received = endpoints.iter().flat_map(Endpoint::received);
    received.filter(|r| r.req.target == BAD).count()
}

/// Sends the request that crashes endpoints and a sound one with another query, in turn, until the
/// former is refused.
fn crash_until_refused(gateways: &[Gateway], endpoints: &[Endpoint]) {
    for n in 0..2 * MAX_RUNS {
        let gateway = &gateways[n % gateways.len()];
        if send_request(gateway, "GET", BAD, &format!("bad-{n}")).status == 503 {
            break;
        }
        std::thread::sleep(SETTLE_TIME);
        let sound = format!("/safe/stock?kit={n}");
        assert_eq!(send_request(gateway, "GET", &sound, &format!("sound-{n}")).status, 200);
    }
    let runs = bad_runs(endpoints);
    assert!(runs <= MAX_RUNS, "{runs} requests that crash endpoints reached one");
}

/// Checks that the request that crashes endpoints is refused as not run, and sound ones are served.
fn assert_only_sound_served(gateways: &[Gateway], endpoints: &[Endpoint], round: &str) {
    let before = bad_runs(endpoints);
    for (n, gateway) in gateways.iter().enumerate() {
        let reply = send_request(gateway, "GET", BAD, &format!("{round}-bad-{n}"));
        assert_eq!(reply.status, 503, "{}", reply.body);
        assert!(reply.body.contains("not-run") && reply.header("retry-after").is_some());
        let sound = format!("/safe/stock?kit={round}{n}");
        let id = format!("{round}-sound-{n}");
        assert_eq!(send_request(gateway, "GET", &sound, &id).status, 200);
    }
    assert_eq!(bad_runs(endpoints), before);
}

/// The success of a sound request with another query cleared the one that crashes endpoints, and
/// once that was refused, so were all sound ones with its path.
#[test]
fn sound_requests_with_another_query_neither_clear_a_crashing_one_nor_share_its_refusal() {
    let endpoints = start_endpoints(8);
    let (_store, gateways) = start_fleet(&endpoints, 2);
    crash_until_refused(&gateways, &endpoints);
    std::thread::sleep(SETTLE_TIME);
    assert_only_sound_served(&gateways, &endpoints, "1");
}

/// What identifies a request: callers of one workspace may use several keys.
#[test]
fn refused_request_is_told_from_others_by_workspace_and_method() {
    let endpoints: Vec<Endpoint> =
        (0..8).map(|n| Endpoint::start(&format!("i-{n}"), Action::Crash(DOWN))).collect();
    let (store, gateways) = start_fleet(&endpoints, 1);
    let keys = CONFIG.replace(r#"["key-1"]"#, r#"["key-1","key-3"]"#);
    store.set("op/config", Some(keys.replace(r#""version":7"#, r#""version":8"#).as_bytes()));
    std::thread::sleep(SETTLE_TIME);
    let status = |method, key: &str, id: &str| {
        let request = request_bytes(method, "/unsafe/x", id, "", "boom");
        let request = String::from_utf8(request).expect("the request is text");
        send(gateways[0].front, request.replace("key-1", key).as_bytes()).reply().status
    };
    for n in 0..3 {
        assert_eq!(status("POST", "key-1", &format!("id-{n}")), 502);
        std::thread::sleep(SETTLE_TIME);
    }
    assert_eq!(status("POST", "key-1", "again"), 503);
    assert_eq!(status("POST", "key-3", "other-key"), 503, "the key of the same workspace");
    assert_eq!(status("POST", "key-2", "other-workspace"), 502);
    assert_eq!(status("PUT", "key-1", "other-method"), 502);
}

/// Gateways that were started again let a request through that the others had refused.
#[rstest]
#[case::in_turn(false)]
#[case::at_once(true)]
fn crashing_request_stays_refused_after_restarts_of_all_gateways(#[case] at_once: bool) {
    let endpoints = start_endpoints(10);
    let (store, mut gateways) = start_fleet(&endpoints, 4);
    crash_until_refused(&gateways, &endpoints);
    // Longer than changes are told.
    std::thread::sleep(Duration::from_secs(5));
    if at_once {
        gateways.iter().for_each(|g| g.signal(libc::SIGKILL));
    }
    for g in &mut gateways {
        g.restart();
        assert!(wait_for(5, || g.readiness() == 200));
        if !at_once {
            std::thread::sleep(2 * SETTLE_TIME);
        }
    }
    assert_only_sound_served(&gateways, &endpoints, "1");
    drop(store);
}

/// The store has lost what was written to it; those that know write it again.
#[test]
fn refused_request_is_written_again_after_the_store_returns_from_a_copy() {
    let endpoints = start_endpoints(8);
    let (store, mut gateways) = start_fleet(&endpoints, 2);
    let copy = store.copy();
    crash_until_refused(&gateways, &endpoints);
    let is_written = || store.keys("quarantine/").len() == 1;
    assert!(wait_for(3, is_written));
    store.restore(copy);
    assert!(wait_for(5, is_written), "not written again");
    gateways.iter().for_each(|g| g.signal(libc::SIGKILL));
    gateways.iter_mut().for_each(Gateway::restart);
    assert!(gateways.iter().all(|g| wait_for(5, || g.readiness() == 200)));
    list_endpoint(&store, &endpoints[0], "plain", "ready");
    assert_only_sound_served(&gateways, &endpoints, "1");
}

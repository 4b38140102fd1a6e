//! What endpoints state of themselves in their responses: that they are leaving, or ask for
//! a pause.

use crate::common::{
    expected_events, list_endpoint, send_request, start_gateway, start_platform, start_stream,
    wait_for,
};
use rstest::rstest;
use standin::platform::{Action, Endpoint, Gateway, Outage};
use std::time::{Duration, Instant};

const LEAVING: &str = "Server-Leaving: 1\r\n";
const EVENT_INTERVAL: Duration = Duration::from_millis(30);

fn endpoint(name: &str) -> Endpoint {
    Endpoint::start(name, Action::Respond(200, name.to_owned()))
}

/// Sends `n` requests on a safe route and returns the bodies of their responses.
fn bodies(gateway: &Gateway, n: usize) -> Vec<String> {
    (0..n).map(|_| send_request(gateway, "GET", "/safe/x", "id-1").body).collect()
}

#[test]
fn endpoint_that_states_that_it_is_leaving_gets_no_more_requests() {
    let (e, f) = (endpoint("i-1"), endpoint("i-2"));
    let (store, gateway) = start_platform(&[(&e, "plain"), (&f, "plain")]);
    e.set_headers(LEAVING);
    bodies(&gateway, 20);
    let reached = e.run_count();
    assert!(reached <= 1, "{reached}");
    // A list entry that says otherwise does not bring it back, nor does an outage of the store.
    list_endpoint(&store, &e, "plain", "ready");
    store.set_outage(Some(Outage::Busy));
    std::thread::sleep(Duration::from_millis(500));
    assert!(bodies(&gateway, 20).iter().all(|b| b == "i-2"));
    assert_eq!(e.run_count(), reached);
}

/// Instances were told only once that an endpoint leaves, so that one which started later sent it
/// requests.
#[test]
fn instance_that_starts_learns_which_endpoints_have_stated_that_they_leave() {
    let (e, f) = (endpoint("i-1"), endpoint("i-2"));
    let (store, gateway) = start_platform(&[(&e, "plain"), (&f, "plain")]);
    e.set_headers(LEAVING);
    bodies(&gateway, 20);
    let reached = e.run_count();
    assert!(wait_for(4, || store.keys("gateways/").len() == 1));
    let started = start_gateway(&store);
    assert!(wait_for(5, || started.readiness() == 200 && store.keys("gateways/").len() == 2));
    // Longer than the interval of full digests.
    std::thread::sleep(Duration::from_millis(2500));
    assert!(bodies(&started, 20).iter().all(|b| b == "i-2"));
    assert_eq!(e.run_count(), reached);
}

#[test]
fn last_endpoint_that_leaves_is_not_used_and_callers_are_refused_at_once() {
    let e = endpoint("i-1");
    let (_store, gateway) = start_platform(&[(&e, "plain")]);
    e.set_headers(LEAVING);
    assert_eq!(send_request(&gateway, "GET", "/safe/x", "id-1").status, 200);
    let started = Instant::now();
    let reply = send_request(&gateway, "GET", "/safe/x", "id-2");
    assert_eq!((reply.status, e.run_count()), (503, 1));
    assert!(started.elapsed() < Duration::from_millis(150), "{:?}", started.elapsed());
}

#[test]
fn generation_is_refused_at_once_where_all_engines_leave() {
    let e = Endpoint::start("i-1", Action::Stream(2, EVENT_INTERVAL));
    let (_store, gateway) = start_platform(&[(&e, "model")]);
    e.set_headers(LEAVING);
    assert!(start_stream(&gateway, "id-1").reply().complete);
    let started = Instant::now();
    let reply = start_stream(&gateway, "id-2").reply();
    assert_eq!((reply.status, e.run_count()), (503, 1));
    assert!(started.elapsed() < Duration::from_millis(150), "{:?}", started.elapsed());
}

#[test]
fn generations_move_when_their_engine_states_that_it_is_leaving() {
    let e = Endpoint::start("i-1", Action::Stream(80, EVENT_INTERVAL));
    let (store, gateway) = start_platform(&[(&e, "model")]);
    let mut sent = start_stream(&gateway, "id-1");
    assert!(wait_for(2, || e.run_count() == 1));
    let f = Endpoint::start("i-2", Action::Stream(80, EVENT_INTERVAL));
    list_endpoint(&store, &f, "model", "ready");
    std::thread::sleep(Duration::from_millis(300));
    // Both engines have work, so that the next generation may go to either.
    let _busy = start_stream(&gateway, "id-2");
    assert!(wait_for(2, || f.run_count() == 1));
    e.set_headers(LEAVING);
    e.push_action(Action::NotExecuted);
    // Each of these leaves before the next one, so that the other engine keeps room for the move.
    assert!(wait_for(2, || {
        let other = start_stream(&gateway, "id-3");
        std::thread::sleep(Duration::from_millis(30));
        drop(other);
        e.received().len() > 1
    }));
    let reply = sent.reply();
    assert_eq!((reply.complete, reply.body), (true, expected_events(80)));
    assert_eq!(e.copies().len(), 2, "the generation did not move");
}

/// An instance that has sent the endpoint nothing learns of the notice from its neighbour.
#[test]
fn notice_of_a_plain_endpoint_reaches_the_other_instances() {
    let (e, f) = (endpoint("i-1"), endpoint("i-2"));
    let (store, gateway) = start_platform(&[(&e, "plain"), (&f, "plain")]);
    let other = start_gateway(&store);
    assert!(wait_for(5, || other.readiness() == 200));
    assert!(wait_for(4, || store.keys("gateways/").len() == 2));
    std::thread::sleep(Duration::from_millis(1500));
    e.set_headers(LEAVING);
    assert!(wait_for(2, || bodies(&gateway, 10).contains(&"i-1".to_owned())));
    std::thread::sleep(Duration::from_millis(300));
    let reached = e.run_count();
    assert!(bodies(&other, 20).iter().all(|b| b == "i-2"));
    assert_eq!(e.run_count(), reached);
}

#[rstest]
#[case::misdirected(Action::Misdirected)]
#[case::other_request(Action::WrongId)]
fn notice_in_a_response_of_another_endpoint_counts_for_nobody(#[case] action: Action) {
    let e = endpoint("i-1");
    let (_store, gateway) = start_platform(&[(&e, "plain")]);
    let is_misdirected = action == Action::Misdirected;
    e.push_action(action);
    e.set_headers(LEAVING);
    send_request(&gateway, "GET", "/unsafe/x", "id-1");
    e.set_headers("");
    // The endpoint at this address is not the listed one, which is known without the notice.
    let status = if is_misdirected { 503 } else { 200 };
    assert_eq!(send_request(&gateway, "GET", "/safe/x", "id-2").status, status);
}

#[test]
fn endpoint_is_used_again_after_it_registers_anew() {
    let (e, f) = (endpoint("i-1"), endpoint("i-2"));
    let (store, gateway) = start_platform(&[(&e, "plain"), (&f, "plain")]);
    e.set_headers(LEAVING);
    assert!(wait_for(2, || bodies(&gateway, 10).contains(&"i-1".to_owned())));
    assert!(bodies(&gateway, 20).iter().all(|b| b == "i-2"));
    e.set_headers("");
    let restarted = e.listing("plain", "ready").replace("\"born\":7", "\"born\":8");
    store.set("servers/i-1", Some(restarted.as_bytes()));
    assert!(wait_for(2, || bodies(&gateway, 10).contains(&"i-1".to_owned())));
}

/// Lets an endpoint turn its next request away and ask for a pause.
fn refuse_next(e: &Endpoint, pause: &str) {
    e.set_headers(&format!("Retry-After: {pause}\r\n"));
    e.push_action(Action::NotExecuted);
}

#[test]
fn endpoint_that_asks_for_a_pause_gets_no_requests_until_it_ends() {
    let (e, f) = (endpoint("i-1"), endpoint("i-2"));
    let (_store, gateway) = start_platform(&[(&e, "plain"), (&f, "plain")]);
    refuse_next(&e, "1.2");
    assert!(wait_for(2, || {
        bodies(&gateway, 1);
        !e.received().is_empty()
    }));
    let paused = Instant::now();
    while paused.elapsed() < Duration::from_millis(1100) {
        assert_eq!(bodies(&gateway, 1), ["i-2"]);
    }
    assert_eq!(e.received().len(), 1);
    // It was not ejected, so it is used again as before.
    assert!(wait_for(1, || bodies(&gateway, 4).contains(&"i-1".to_owned())));
}

#[test]
fn endpoint_that_asks_for_pauses_again_and_again_is_not_ejected() {
    let e = endpoint("i-1");
    let (_store, gateway) = start_platform(&[(&e, "plain")]);
    e.set_headers("Retry-After: 0.1\r\n");
    for n in 0..8 {
        e.push_action(Action::Respond(503, "later".into()));
        let reply = send_request(&gateway, "GET", "/open/x", &format!("id-{n}"));
        assert_eq!((reply.status, reply.body.as_str()), (503, "later"));
        std::thread::sleep(Duration::from_millis(250));
    }
    assert_eq!(bodies(&gateway, 1), ["i-1"]);
}

#[test]
fn pause_that_cannot_be_read_is_ignored() {
    let e = endpoint("i-1");
    let (_store, gateway) = start_platform(&[(&e, "plain")]);
    for pause in ["soon", "-1", "NaN", ""] {
        refuse_next(&e, pause);
        send_request(&gateway, "GET", "/safe/x", "id-1");
        assert_eq!(bodies(&gateway, 1), ["i-1"], "{pause:?}");
    }
}

#[test]
fn request_waits_for_the_end_of_a_pause_that_ends_in_time() {
    let e = endpoint("i-1");
    let (_store, gateway) = start_platform(&[(&e, "plain")]);
    refuse_next(&e, "0.2");
    let started = Instant::now();
    let reply = send_request(&gateway, "GET", "/safe/x", "id-1");
    assert_eq!((reply.status, reply.body.as_str(), e.received().len()), (200, "i-1", 2));
    assert!(started.elapsed() >= Duration::from_millis(200), "{:?}", started.elapsed());
}

#[test]
fn requests_are_refused_at_once_during_a_pause_that_ends_too_late() {
    let e = endpoint("i-1");
    let (_store, gateway) = start_platform(&[(&e, "plain")]);
    refuse_next(&e, "30");
    for n in 0..20 {
        let started = Instant::now();
        let reply = send_request(&gateway, "GET", "/unsafe/x", &format!("id-{n}"));
        assert_eq!(reply.status, 503);
        assert!(reply.header("retry-after").is_some());
        assert!(started.elapsed() < Duration::from_millis(150), "{:?}", started.elapsed());
    }
    assert_eq!((e.received().len(), e.run_count()), (1, 0));
}

#[test]
fn generation_is_refused_at_once_where_all_engines_want_a_long_pause() {
    let e = Endpoint::start("i-1", Action::Stream(2, EVENT_INTERVAL));
    let (_store, gateway) = start_platform(&[(&e, "model")]);
    refuse_next(&e, "30");
    for n in 0..5 {
        let started = Instant::now();
        assert_eq!(start_stream(&gateway, &format!("id-{n}")).reply().status, 503);
        assert!(started.elapsed() < Duration::from_millis(150), "{:?}", started.elapsed());
    }
    assert_eq!(e.received().len(), 1);
}

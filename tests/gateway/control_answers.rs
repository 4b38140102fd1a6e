//! What a gateway does after answers to its own calls of endpoints that are malformed or cut off.

use crate::common::{
    expected_events, list_endpoint, request_bytes, start_platform, start_stream, wait_for,
};
use rstest::rstest;
use standin::broken::{Form, WHOLE, form};
use standin::platform::{Action, Endpoint, Gateway, Reply, send};
use std::time::Duration;

const EVENT_INTERVAL: Duration = Duration::from_millis(30);
const EVENTS: u64 = 60;

/// Returns the outcome of the first examination of an endpoint in the log.
fn examined(gateway: &Gateway) -> Option<String> {
    let log = std::fs::read_to_string(gateway.settings_file.with_extension("log")).ok()?;
    let line = log.lines().find(|line| line.contains("kind=Examined "))?;
    Some(line.split_once("outcome=")?.1.split(' ').next()?.to_owned())
}

#[rstest]
#[case::whole(WHOLE, "serving")]
#[case::status(form("status of zero"), "unknown")]
#[case::name(form("blank in a name"), "unknown")]
#[case::feeds(form("bare feeds"), "unknown")]
#[case::cut(form("body under its length"), "crashed")]
#[case::reset(form("reset without a length"), "crashed")]
#[case::nothing(form("nothing"), "crashed")]
fn malformed_answer_to_a_look_does_not_show_that_an_endpoint_serves(
    #[case] form: Form,
    #[case] outcome: &str,
    #[values("plain", "model")] service: &str,
) {
    let e = Endpoint::start("i-1", Action::Reset);
    let target = if service == "model" { "/report" } else { "/healthz" };
    e.set_control_answer(target, "", form, 200);
    let (_store, gateway) = start_platform(&[(&e, service)]);
    if service == "model" {
        start_stream(&gateway, "id-1").reply();
    } else {
        send(gateway.front, &request_bytes("POST", "/unsafe/x", "id-1", "", "b")).reply();
    }
    assert!(wait_for(5, || examined(&gateway).is_some()), "the endpoint is not examined");
    assert_eq!(examined(&gateway).as_deref(), Some(outcome));
}

/// Has an engine leave whose copies with this part in their request are answered in this form; returns
/// what the caller of its generation gets, and the number of runs at another engine.
fn leave(action: Action, part: &'static str, form: Form, status: u16) -> (Reply, usize) {
    let e = Endpoint::start("i-1", action.clone());
    e.set_control_answer("/kv-move", part, form, status);
    let (store, gateway) = start_platform(&[(&e, "model")]);
    let mut sent = start_stream(&gateway, "id-1");
    assert!(wait_for(2, || e.run_count() == 1));
    let f = Endpoint::start("i-2", action);
    list_endpoint(&store, &f, "model", "ready");
    std::thread::sleep(Duration::from_millis(300));
    list_endpoint(&store, &e, "model", "draining");
    let reply = sent.reply();
    assert!(!e.copy_requests().is_empty(), "no copy was asked for");
    (reply, f.run_count())
}

#[rstest]
fn generation_stays_where_it_is_after_a_malformed_answer_to_its_first_copy(
    #[values("status of zero", "blank after a name", "no last chunk", "reset without a length")]
    name: &str,
) {
    let action = Action::Stream(EVENTS, EVENT_INTERVAL);
    let (reply, runs) = leave(action, "\"last\":false", form(name), 200);
    assert_eq!((reply.complete, reply.body, runs), (true, expected_events(EVENTS), 0));
}

#[rstest]
fn generation_that_may_have_stopped_is_cut_off_after_a_malformed_answer_to_its_last_copy(
    #[values("status of zero", "bare feeds", "body under its length", "reset without a length")]
    name: &str,
    #[values(200, 404, 503)] status: u16,
    #[values(false, true)] is_framed: bool,
) {
    let action = match is_framed {
        true => Action::Stream(EVENTS, EVENT_INTERVAL),
        false => Action::UnframedStream(EVENTS, EVENT_INTERVAL),
    };
    let (reply, runs) = leave(action, "\"last\":true", form(name), status);
    assert_eq!((reply.complete, runs), (false, 0), "{}", reply.body);
    assert!(expected_events(EVENTS).starts_with(&reply.body), "{}", reply.body);
}

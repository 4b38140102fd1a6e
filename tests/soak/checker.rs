//! Tests that the checker detects a violation of each promise, and none in a correct run.

use rstest::rstest;
use skylarkthread::h1::Fault;
use standin::platform::Reply;
use standin::soak::checker::{Arrival, CallRecord, History, LimitPeriod, RequestKind, check};
use std::time::{Duration, Instant};

const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Calls, arrivals and history of a run, as passed to the checker.
struct Run {
    start: Instant,
    calls: Vec<CallRecord>,
    arrivals: Vec<Arrival>,
    history: History,
}

fn events(tags: &[(&str, u64)]) -> String {
    tags.iter().map(|(t, ix)| format!("id: {ix}\ndata: {t}-{ix}\n\n")).collect()
}

/// Returns a run that breaks no promise: a safe and an unsafe call, and a generation that moved.
fn correct_run() -> Run {
    let start = Instant::now();
    let called = |id: &str, kind, body: String| CallRecord {
        id: id.into(),
        gateway: 0,
        kind,
        version: 1,
        has_crash_part: false,
        sent: start + secs(10),
        done: start + secs(11),
        reply: Reply {
            status: 200,
            headers: vec![("x-replica-seal".into(), format!("s.{id}"))],
            body,
            complete: true,
            ..Reply::default()
        },
    };
    let arrival = |id: &str, resumed| Arrival {
        id: id.into(),
        endpoint: "i-1".into(),
        at: start + secs(10),
        ran: true,
        pause: None,
        resumed,
    };
    let stream = events(&[("c.1", 1), ("c.1", 2), ("c.1", 3)]);
    Run {
        start,
        calls: vec![
            called("a", RequestKind::Safe, "a".into()),
            called("b", RequestKind::Unsafe, "b".into()),
            called("c", RequestKind::Stream(3), stream),
        ],
        arrivals: vec![
            arrival("a", false),
            arrival("b", false),
            arrival("c", false),
            arrival("c", true),
        ],
        history: History { versions: vec![(1, start)], ..History::default() },
    }
}

fn broken_promises(run: &Run) -> Vec<&'static str> {
    check(&run.calls, &run.arrivals, &run.history).into_iter().map(|v| v.promise).collect()
}

#[test]
fn correct_run_has_no_violations() {
    assert_eq!(broken_promises(&correct_run()), Vec::<&str>::new());
}

type Corruption = fn(&mut Run);

#[rstest]
#[case::call_ran_twice("once", |run: &mut Run| { let arrival = run.arrivals[1].clone(); run.arrivals.push(arrival); })]
#[case::refused_call_ran("not-run", |run: &mut Run| run.calls[1].reply.status = 503)]
#[case::malformed_answer("valid-answer", |run: &mut Run| run.calls[0].reply.fault = Some(Fault::FieldName))]
#[case::two_answers("valid-answer", |run: &mut Run| run.calls[2].reply.excess = true)]
#[case::wrong_body("own-answer", |run: &mut Run| run.calls[0].reply.body = "b".into())]
#[case::missing_seal("own-answer", |run: &mut Run| run.calls[0].reply.headers.clear())]
#[case::event_missing("in-order", |run: &mut Run| run.calls[2].reply.body = events(&[("c.1", 1), ("c.1", 3)]))]
#[case::event_repeated("in-order", |run: &mut Run| run.calls[2].reply.body = events(&[("c.1", 1), ("c.1", 1), ("c.1", 2)]))]
#[case::events_of_two_runs("in-order", |run: &mut Run| run.calls[2].reply.body = events(&[("c.1", 1), ("c.2", 2), ("c.2", 3)]))]
#[case::events_of_another_request("in-order", |run: &mut Run| run.calls[2].reply.body = events(&[("x.1", 1), ("x.1", 2), ("x.1", 3)]))]
#[case::stream_complete_too_early("in-order", |run: &mut Run| run.calls[2].reply.body = events(&[("c.1", 1)]))]
#[case::event_cut("in-order", |run: &mut Run| run.calls[2].reply.body.truncate(50))]
#[case::event_without_blank_line("in-order", |run: &mut Run| { run.calls[2].reply.body.pop(); })]
#[case::event_malformed("in-order", |run: &mut Run| run.calls[2].reply.body = "id: 1\nno data\n\n".into())]
#[case::replaced_key_accepted("intent", |run: &mut Run| { let t = run.start + secs(5); run.history.versions.push((2, t)); })]
#[case::valid_key_refused("intent", |run: &mut Run| run.calls[0].reply.status = 401)]
#[case::call_interrupted_by_stop("planned", |run: &mut Run| {
    run.history.planned.push((run.start + secs(9), run.start + secs(14)));
    run.calls[1].reply = Reply::default();
})]
#[case::request_to_drained_endpoint("drained", |run: &mut Run| { let t = run.start + secs(6); run.history.drained.push(("i-1".into(), t)); })]
#[case::request_after_the_notice_of_leaving("announced", |run: &mut Run| {
    run.history.announced.push(("i-1".into(), run.start));
    run.calls[0].done = run.start + secs(1);
    run.arrivals[0].at = run.start + secs(1);
})]
#[case::requests_during_a_pause("pause", |run: &mut Run| {
    run.arrivals.iter_mut().for_each(|a| a.resumed = false);
    run.arrivals[0].at = run.start + secs(9);
    run.arrivals[0].pause = Some(secs(2));
})]
#[case::request_to_an_evacuated_data_centre("evacuated", |run: &mut Run| {
    run.history.centres.insert("i-1".into(), "z-b");
    run.history.evacuations.push(("z-b", run.start + secs(4), run.start + secs(20)));
})]
#[case::more_requests_than_the_limit_allows("limit", |run: &mut Run| {
    let (from, to) = (run.start, run.start + secs(30));
    run.history.limits.push(LimitPeriod { endpoint: "i-1".into(), limit: 1.0, from, to });
    // One gateway that was restarted sends four of them.
    run.history.breaks.push((1, run.start + secs(11), run.start + secs(12)));
    for n in 0..16 {
        let (mut call, mut arrival) = (run.calls[0].clone(), run.arrivals[0].clone());
        (call.id, call.gateway) = (format!("l{n}"), usize::from(n % 4 == 0));
        (arrival.id, arrival.at) = (call.id.clone(), run.start + secs(10) + Duration::from_millis(n * 200));
        run.calls.push(call);
        run.arrivals.push(arrival);
    }
})]
#[case::requests_with_a_part_that_crashed_five_engines("crash-part", |run: &mut Run| {
    run.history.crash_part = Some(run.start);
    for n in 0..9 {
        let (mut call, mut arrival) = (run.calls[2].clone(), run.arrivals[2].clone());
        (call.id, call.has_crash_part) = (format!("c{n}"), true);
        call.sent = run.start + secs(if n < 5 { n } else { n + 4 });
        (arrival.id, arrival.at) = (call.id.clone(), call.sent);
        run.calls.push(call);
        run.arrivals.push(arrival);
    }
})]
#[case::sound_request_refused_for_its_part("sound-part", |run: &mut Run| {
    run.calls[2].reply.status = 503;
    run.calls[2].reply.body = "part 1 of the prompt has crashed 3 engines".into();
})]
#[case::request_of_no_caller("asked", |run: &mut Run| run.arrivals[0].id = "zzz".into())]
#[case::too_many_retries("budget", |run: &mut Run| (0..80).for_each(|_| { let arrival = run.arrivals[0].clone(); run.arrivals.push(arrival); }))]
fn violation_of_promise_is_detected(#[case] promise: &str, #[case] corrupt: Corruption) {
    let mut run = correct_run();
    corrupt(&mut run);
    assert!(broken_promises(&run).contains(&promise), "{:?}", broken_promises(&run));
}

#[test]
fn time_limits_are_suspended_only_near_faults() {
    let mut run = correct_run();
    let t = run.start + secs(6);
    run.history.drained.push(("i-1".into(), t));
    run.history.faults.push((run.start + secs(8), run.start + secs(9)));
    assert_eq!(broken_promises(&run), Vec::<&str>::new());
    run.history.faults = vec![(run.start, run.start + secs(1))];
    assert!(broken_promises(&run).contains(&"drained"));
}

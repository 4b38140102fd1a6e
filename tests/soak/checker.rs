//! One mistake for each promise, each of which the judge has to see, beside a run without any.

use rstest::rstest;
use standin::platform::Reply;
use standin::soak::checker::{Arrival, CallRecord, History, RequestKind, check};
use std::time::{Duration, Instant};

const fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

struct Scene {
    start: Instant,
    calls: Vec<CallRecord>,
    arrivals: Vec<Arrival>,
    events: History,
}

fn events(tags: &[(&str, u64)]) -> String {
    tags.iter().map(|(t, ix)| format!("id: {ix}\ndata: {t}-{ix}\n\n")).collect()
}

/// A run in which everything goes well: a safe and an unsafe call and a generation that moved.
fn scene() -> Scene {
    let start = Instant::now();
    let called = |id: &str, kind, body: String| CallRecord {
        id: id.into(),
        kind,
        version: 1,
        sent: start + secs(10),
        done: start + secs(11),
        reply: Reply {
            status: 200,
            headers: vec![("x-replica-seal".into(), format!("s.{id}"))],
            body,
            complete: true,
        },
    };
    let arrival = |id: &str, resumed| Arrival {
        id: id.into(),
        endpoint: "i-1".into(),
        at: start + secs(10),
        ran: true,
        resumed,
    };
    let stream = events(&[("c.1", 1), ("c.1", 2), ("c.1", 3)]);
    Scene {
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
        events: History { versions: vec![(1, start)], ..History::default() },
    }
}

fn broken(s: &Scene) -> Vec<&'static str> {
    check(&s.calls, &s.arrivals, &s.events).into_iter().map(|v| v.promise).collect()
}

#[test]
fn a_run_without_mistakes_passes() {
    assert_eq!(broken(&scene()), Vec::<&str>::new());
}

type Mistake = fn(&mut Scene);

#[rstest]
#[case::ran_twice("once", |s: &mut Scene| { let again = s.arrivals[1].clone(); s.arrivals.push(again); })]
#[case::ran_though_refused("not-run", |s: &mut Scene| s.calls[1].reply.status = 503)]
#[case::anothers_body("own-answer", |s: &mut Scene| s.calls[0].reply.body = "b".into())]
#[case::anothers_seal("own-answer", |s: &mut Scene| s.calls[0].reply.headers.clear())]
#[case::a_piece_missing("in-order", |s: &mut Scene| s.calls[2].reply.body = events(&[("c.1", 1), ("c.1", 3)]))]
#[case::a_piece_twice("in-order", |s: &mut Scene| s.calls[2].reply.body = events(&[("c.1", 1), ("c.1", 1), ("c.1", 2)]))]
#[case::two_runs_joined("in-order", |s: &mut Scene| s.calls[2].reply.body = events(&[("c.1", 1), ("c.2", 2), ("c.2", 3)]))]
#[case::anothers_stream("in-order", |s: &mut Scene| s.calls[2].reply.body = events(&[("x.1", 1), ("x.1", 2), ("x.1", 3)]))]
#[case::complete_too_early("in-order", |s: &mut Scene| s.calls[2].reply.body = events(&[("c.1", 1)]))]
#[case::a_dropped_key("intent", |s: &mut Scene| { let t = s.start + secs(5); s.events.versions.push((2, t)); })]
#[case::a_key_in_force("intent", |s: &mut Scene| s.calls[0].reply.status = 401)]
#[case::cut_by_a_stop("planned", |s: &mut Scene| {
    s.events.planned.push((s.start + secs(9), s.start + secs(14)));
    s.calls[1].reply = Reply::default();
})]
#[case::sent_to_one_that_left("drained", |s: &mut Scene| { let t = s.start + secs(6); s.events.drained.push(("i-1".into(), t)); })]
#[case::nobody_asked("asked", |s: &mut Scene| s.arrivals[0].id = "zzz".into())]
#[case::sent_again_too_often("budget", |s: &mut Scene| (0..80).for_each(|_| { let again = s.arrivals[0].clone(); s.arrivals.push(again); }))]
fn a_mistake_is_seen(#[case] promise: &str, #[case] mistake: Mistake) {
    let mut s = scene();
    mistake(&mut s);
    assert!(broken(&s).contains(&promise), "{:?}", broken(&s));
}

#[test]
fn bounds_on_time_are_suspended_by_harm_and_by_nothing_else() {
    let mut s = scene();
    let t = s.start + secs(6);
    s.events.drained.push(("i-1".into(), t));
    s.events.faults.push((s.start + secs(8), s.start + secs(9)));
    assert_eq!(broken(&s), Vec::<&str>::new());
    s.events.faults = vec![(s.start, s.start + secs(1))];
    assert!(broken(&s).contains(&"drained"));
}

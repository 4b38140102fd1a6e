//! Endpoints that send bytes without end, in any part of a response.

use crate::common::{request_bytes, start_platform, start_stream, wait_for};
use rstest::rstest;
use standin::platform::{Action, EndlessPart, Endpoint, Gateway, Reply, send};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Growth of the gateway's memory that buffers may take: twice the largest of them.
const MAX_GROWTH_KIB: u64 = 8 << 10;

/// Memory beyond which the platform kills the gateway.
const MEMORY_LIMIT_KIB: u64 = 110 << 10;

/// Checks that the caller got its response in time and the endpoint was cut off, and that the
/// memory of the gateway did not grow.
fn check(gateway: &Gateway, e: &Endpoint, before: u64, started: Instant, limit: Duration) {
    assert!(started.elapsed() < limit, "{:?}", started.elapsed());
    let is_cut_off = || e.received().iter().all(|r| r.closed.load(Ordering::SeqCst));
    assert!(wait_for(2, is_cut_off), "the endpoint may go on sending");
    let growth = gateway.memory_kib().saturating_sub(before);
    assert!(growth < MAX_GROWTH_KIB, "{growth} KiB");
}

/// Returns whether the caller could take the reply for an answer of the endpoint.
fn is_answer(reply: &Reply) -> bool {
    reply.status == 200 && reply.complete
}

#[rstest]
#[case::head(EndlessPart::Head)]
#[case::header_line(EndlessPart::HeaderLine)]
#[case::interim(EndlessPart::Interim)]
#[case::body(EndlessPart::Body)]
#[case::unframed_body(EndlessPart::UnframedBody)]
#[case::chunk_extension(EndlessPart::ChunkExtension)]
fn call_to_an_endless_endpoint_ends_in_time_without_an_answer(#[case] part: EndlessPart) {
    let e = Endpoint::start("i-1", Action::Endless(part));
    let (_store, gateway) = start_platform(&[(&e, "plain")]);
    for (method, path) in [("GET", "/safe/x"), ("POST", "/unsafe/x")] {
        let (before, started) = (gateway.memory_kib(), Instant::now());
        let reply = send(gateway.front, &request_bytes(method, path, "id-1", "", "")).reply();
        assert!(!is_answer(&reply), "{} bytes", reply.body.len());
        // The routes have a timeout of 800 ms.
        check(&gateway, &e, before, started, Duration::from_millis(1300));
    }
}

#[rstest]
#[case::head(EndlessPart::Head)]
#[case::header_line(EndlessPart::HeaderLine)]
#[case::interim(EndlessPart::Interim)]
#[case::chunk_extension(EndlessPart::ChunkExtension)]
#[case::event(EndlessPart::Event)]
#[case::comments(EndlessPart::Comments)]
fn stream_from_an_endless_endpoint_ends_in_time_without_an_answer(#[case] part: EndlessPart) {
    let e = Endpoint::start("i-1", Action::Endless(part));
    let (_store, gateway) = start_platform(&[(&e, "model")]);
    let (before, started) = (gateway.memory_kib(), Instant::now());
    let reply = start_stream(&gateway, "id-1").reply();
    assert!(!is_answer(&reply), "{} bytes", reply.body.len());
    // The caller waits for five seconds.
    check(&gateway, &e, before, started, Duration::from_millis(5800));
    assert_eq!(e.run_count(), 1);
}

/// An instance kept what faulty engines sent to many requests at once and ran out of memory, and the
/// requests of others ended with it.
#[test]
fn endless_responses_to_many_requests_leave_the_memory_within_its_limit() {
    let start = |n| Endpoint::start(&format!("i-{n}"), Action::Endless(EndlessPart::ErrorBody));
    let engines: Vec<Endpoint> = (0..12).map(start).collect();
    let listed: Vec<(&Endpoint, &str)> = engines.iter().map(|e| (e, "model")).collect();
    let (_store, gateway) = start_platform(&listed);
    let _sent: Vec<_> = (0..96).map(|n| start_stream(&gateway, &format!("id-{n}"))).collect();
    let received = || engines.iter().map(|e| e.received().len()).sum::<usize>();
    assert!(wait_for(3, || received() >= 80), "{} requests reached engines", received());
    let end = Instant::now() + Duration::from_secs(3);
    while Instant::now() < end {
        let used = gateway.memory_kib();
        assert!(used < MEMORY_LIMIT_KIB, "{used} KiB");
        std::thread::sleep(Duration::from_millis(10));
    }
}

#[test]
fn safe_call_is_answered_by_another_endpoint_than_an_endless_one() {
    let e = Endpoint::start("i-1", Action::Endless(EndlessPart::Head));
    let f = Endpoint::start("i-2", Action::Respond(200, "fine".into()));
    let (_store, gateway) = start_platform(&[(&e, "plain"), (&f, "plain")]);
    for n in 0..40 {
        if !e.received().is_empty() {
            return;
        }
        let bytes = request_bytes("GET", "/safe/x", &format!("id-{n}"), "", "");
        let reply = send(gateway.front, &bytes).reply();
        assert_eq!((reply.status, reply.body.as_str()), (200, "fine"));
    }
    panic!("no request met the endless endpoint");
}

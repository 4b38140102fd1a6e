//! Answers during uploads of many callers, on connections that callers keep.

use crate::common::{
    CONFIG, GENERATION, list_endpoint, request_bytes, start_gateway, start_platform, wait_for,
};
use rstest::rstest;
use standin::platform::{
    Action, Connection, EarlyAnswer, EarlyEnd, Endpoint, Gateway, Reply, Store, send, try_send,
};
use std::time::Duration;

/// Requests of all callers together. Each caller sends its own one after another.
const REQUESTS: usize = 80;
/// Body of each answer that is whole.
const WHOLE: &str = "id: 1\ndata: whole\n\n";
/// Body of each answer that is cut off, which ends with an event.
const PART: &str = "id: 1\ndata: part\n\n";
/// Time in which a body does not arrive, longer than its caller may take.
const PAUSE: Duration = Duration::from_millis(1500);

fn early(read: usize, headers: &str, body: &str, end: EarlyEnd) -> Action {
    let (start, headers) = ("HTTP/1.1 200 OK".into(), headers.into());
    Action::Early(EarlyAnswer { read, start, headers, body: body.into(), end })
}

/// Returns what endpoints do with their requests, in turn.
fn actions() -> Vec<Action> {
    let mut all = Vec::new();
    let whole_length = format!("Content-Length: {}\r\n", WHOLE.len());
    let chunk = |body: &str| format!("{:x}\r\n{body}\r\n", body.len());
    let last = format!("{}0\r\n\r\n", chunk(WHOLE));
    let chunked = "Transfer-Encoding: chunked\r\n";
    for ms in [0, 1, 7, 40] {
        let reset = EarlyEnd::Reset(Duration::from_millis(ms));
        let half = EarlyEnd::CloseThenReset(Duration::from_millis(ms));
        for read in [0, 70_000, 150_000] {
            all.push(early(read, "", PART, reset));
            all.push(early(read, "Content-Length: 400\r\n", PART, reset));
            all.push(early(read, "Content-Length: 400\r\n", PART, half));
            all.push(early(read, "Content-Length: 400\r\n", PART, EarlyEnd::Close));
            all.push(early(read, chunked, &chunk(PART), half));
            all.push(early(read, chunked, &chunk(PART), EarlyEnd::Close));
            all.push(early(read, &whole_length, WHOLE, half));
            all.push(early(read, chunked, &last, reset));
            all.push(early(read, "", WHOLE, EarlyEnd::Close));
            all.push(early(read, &whole_length, &format!("{WHOLE}HTTP/1.1 200 X\r\n"), half));
        }
    }
    all.extend([Action::NotExecuted, Action::Misdirected, Action::Reset, Action::TruncatedBody]);
    all
}

/// Returns a request with a long body, with a length or in chunks.
fn upload(route: &str, id: &str, bytes: usize, in_chunks: bool) -> Vec<u8> {
    let generation = if route == "stream" { GENERATION } else { "" };
    let extra = format!("X-Deadline-Ms: 2000\r\n{generation}");
    let path = format!("/{route}/x");
    if !in_chunks {
        return request_bytes("POST", &path, id, &extra, &"x".repeat(bytes));
    }
    let extra = format!("{extra}Transfer-Encoding: chunked\r\n");
    let mut request = request_bytes("POST", &path, id, &extra, "");
    for _ in 0..bytes / 0x8000 {
        request.extend_from_slice(format!("8000\r\n{}\r\n", "x".repeat(0x8000)).as_bytes());
    }
    request.extend_from_slice(b"0\r\n\r\n");
    request
}

/// Sends a request on a kept connection, or on a new one where that has ended.
fn exchange(kept: &mut Option<Connection>, gateway: &Gateway, request: &[u8]) -> Option<Reply> {
    let mut connection = match kept.take() {
        Some(mut connection) => connection.write(request).ok().map(|()| connection),
        None => try_send(gateway.front, request).ok(),
    }?;
    let reply = connection.reply();
    let is_kept = reply.complete && reply.header("connection") != Some("close");
    *kept = is_kept.then_some(connection);
    Some(reply)
}

/// Returns what is wrong with a reply to a request.
fn fault(reply: &Reply, id: &str) -> Option<String> {
    let is_odd = match reply.status {
        0 => false,
        200 => reply.complete && reply.body != WHOLE,
        400 | 408 | 413 | 429 | 502..=504 => false,
        _ => true,
    };
    let is_other = reply.status != 0 && reply.header("x-attempt-id").is_some_and(|own| own != id);
    (is_odd || is_other).then(|| format!("{id}: {reply:?}"))
}

/// Sends requests on kept connections; returns the faults of replies, and their statuses, 0 for those that are
/// not whole.
fn call(
    gateway: &Gateway,
    caller: usize,
    count: usize,
    request: (&str, usize),
) -> (Vec<String>, Vec<u16>) {
    let (route, bytes) = request;
    let (mut kept, mut faults, mut statuses) = (None, Vec::new(), Vec::new());
    for n in 0..count {
        let id = format!("id-{caller}-{n}");
        let request = upload(route, &id, bytes, n % 3 == 2);
        let Some(reply) = exchange(&mut kept, gateway, &request) else { continue };
        statuses.push(if reply.complete { reply.status } else { 0 });
        faults.extend(fault(&reply, &id));
    }
    (faults, statuses)
}

#[rstest]
fn answers_during_uploads_are_whole_and_belong_to_their_requests(
    #[values("safe", "unsafe", "stream")] route: &str,
    #[values((4, 100_000), (2, 4 << 20), (40, 300_000))] load: (usize, usize),
) {
    let (callers, bytes) = load;
    let store = Store::start();
    let config = CONFIG.replace("\"max_body_bytes\":100000", "\"max_body_bytes\":8388608");
    store.set("op/config", Some(config.as_bytes()));
    let service = if route == "stream" { "model" } else { "plain" };
    let endpoints = ["i-1", "i-2", "i-3"].map(|id| Endpoint::start(id, Action::Hang));
    for (n, e) in endpoints.iter().enumerate() {
        list_endpoint(&store, e, service, "ready");
        let mut all = actions();
        let steps = all.len() / 3 * n;
        all.rotate_left(steps);
        (0..4).for_each(|_| all.iter().for_each(|a| e.push_action(a.clone())));
    }
    let gateway = start_gateway(&store);
    assert!(wait_for(5, || gateway.readiness() == 200), "gateway not ready within 5 s");
    let outcomes: Vec<_> = std::thread::scope(|scope| {
        let (gateway, count) = (&gateway, REQUESTS / callers);
        let caller = |n| scope.spawn(move || call(gateway, n, count, (route, bytes)));
        let callers: Vec<_> = (0..callers).map(caller).collect();
        callers.into_iter().map(|c| c.join().expect("a caller panicked")).collect()
    });
    let faults: Vec<_> = outcomes.iter().flat_map(|(faults, _)| faults).collect();
    let statuses: Vec<_> = outcomes.iter().flat_map(|(_, statuses)| statuses).collect();
    assert!(faults.is_empty(), "{} of {}: {faults:?}", faults.len(), REQUESTS);
    assert!(statuses.contains(&&200), "no answer was whole: {statuses:?}");
    let log = gateway.into_log();
    assert!(!log.contains("kind=Panicked"), "{log}");
}

/// To identify a content takes the thread that serves all callers the longer, the longer its body is.
#[test]
fn content_is_identified_once_however_many_endpoints_break_off() {
    let endpoints = ["i-1", "i-2"].map(|id| Endpoint::start(id, Action::Reset));
    let (_store, gateway) = start_platform(&endpoints.each_ref().map(|e| (e, "plain")));
    let reply = send(gateway.front, &upload("safe", "id-1", 0x18000, false)).reply();
    assert_eq!(reply.status, 502, "{reply:?}");
    let request = b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let page = send(gateway.ready, request).reply().body;
    let counted = page.lines().find_map(|l| l.strip_prefix("contents_identified_total "));
    assert_eq!(counted, Some("1"));
}

#[rstest]
#[case::caller(false, 408)]
#[case::instance(true, 200)]
fn body_that_is_late_is_refused_unless_the_instance_was(
    #[case] is_stopped: bool,
    #[case] status: u16,
) {
    let store = Store::start();
    let config = CONFIG.replace("\"timeout_ms\":800", "\"timeout_ms\":5000");
    store.set("op/config", Some(config.as_bytes()));
    let endpoint = Endpoint::start("i-1", Action::Respond(200, "ok".into()));
    list_endpoint(&store, &endpoint, "plain", "ready");
    let gateway = start_gateway(&store);
    assert!(wait_for(5, || gateway.readiness() == 200), "gateway not ready within 5 s");
    let request = request_bytes("POST", "/safe/x", "id-1", "", &"x".repeat(90_000));
    let (first, rest) = request.split_at(request.len() / 2);
    let mut caller = send(gateway.front, first);
    std::thread::sleep(PAUSE / 10);
    if is_stopped {
        gateway.signal(libc::SIGSTOP);
        caller.write(rest).expect("the kernel takes the rest");
    }
    std::thread::sleep(PAUSE);
    if is_stopped {
        gateway.signal(libc::SIGCONT);
    }
    let reply = caller.reply();
    assert_eq!(reply.status, status, "{reply:?}");
}

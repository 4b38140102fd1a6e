//! Crowds of callers outside all limits. A gateway has to live, stay within its memory and its
//! descriptors, and answer an ordinary caller afterwards.
//!
//! The memory is the resident one and what the kernel holds in the sockets for callers. The tests run
//! one at a time.

#[path = "../gateway/common.rs"]
#[allow(dead_code)]
mod common;

use common::{CONFIG, list_endpoint, request_bytes, send_request, wait_for};
use rstest::rstest;
use standin::platform::{Action, EarlyAnswer, EarlyEnd, Endpoint, Gateway, Limits, Store};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Limits of the gateway, lower than any of the platform's.
const LIMITS: Limits = Limits { memory_mb: 44, max_fds: 1700 };
/// Time for which a crowd goes on.
const LENGTH: Duration = Duration::from_secs(6);
/// Connections of a crowd that each take little.
const MANY: usize = 1400;
/// Connections of a crowd that each take much.
const FEW: usize = 40;

static TURN: Mutex<()> = Mutex::new(());

struct Site {
    _turn: MutexGuard<'static, ()>,
    _store: Store,
    endpoint: Endpoint,
    other: Option<SocketAddr>,
    gateway: Gateway,
    limits: Limits,
}

/// Starts a gateway, in front of an endpoint that answers plain requests with this body.
fn start(body: &str, piped: bool) -> Site {
    start_with(LIMITS, body, piped)
}

fn start_with(limits: Limits, body: &str, piped: bool) -> Site {
    start_beside(None, limits, body, piped)
}

/// Starts a gateway like [`start`], with another endpoint behind the path `/safe/`.
fn start_beside(other: Option<&Endpoint>, limits: Limits, body: &str, piped: bool) -> Site {
    let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let endpoint = Endpoint::start("i-1", Action::Respond(200, body.into()));
    let store = Store::start();
    let config = CONFIG
        .replace(r#""max_connections":50"#, r#""max_connections":2000"#)
        .replace(r#""max_header_bytes":4096"#, r#""max_header_bytes":16384"#)
        .replace(r#""max_body_bytes":100000"#, r#""max_body_bytes":4000000"#)
        .replace(r#""header_timeout_ms":1000"#, r#""header_timeout_ms":5000"#)
        .replace(r#""idle_timeout_ms":3000"#, r#""idle_timeout_ms":60000"#)
        .replace(
            r#""timeout_ms":800,"target_latency_ms":300,"priority":2,"service":"plain","max_attempts":2"#,
            r#""timeout_ms":5000,"target_latency_ms":300,"priority":2,"service":"other","max_attempts":2"#,
        )
        .replace(
            r#""services":["#,
            r#""services":[{"name":"other","health_path":"/healthz","max_connections":2000},"#,
        );
    store.set("op/config", Some(config.as_bytes()));
    list_endpoint(&store, &endpoint, "plain", "ready");
    other.iter().for_each(|e| list_endpoint(&store, e, "other", "ready"));
    let binary = Path::new(env!("CARGO_BIN_EXE_skylarkthread"));
    let gateway = Gateway::start_limited(binary, store.address, limits, piped);
    assert!(wait_for(5, || gateway.readiness() == 200), "gateway not ready within 5 s");
    let other = other.map(|e| e.address);
    Site { _turn: turn, _store: store, endpoint, other, gateway, limits }
}

/// What a member of a crowd does once it has sent its bytes.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Manner {
    /// It waits, and reads nothing.
    Waits,
    /// It sends them again and again, and reads nothing.
    Repeats,
    /// It sends them again after each answer.
    Reads,
}

/// Connection of a crowd, which connects again once it has been closed.
struct Member {
    io: Option<TcpStream>,
    bytes: Vec<u8>,
    sent: usize,
    manner: Manner,
}

impl Member {
    /// Sends what the connection takes.
    fn send(&mut self, address: SocketAddr) {
        if self.io.is_none() {
            self.io = TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
            self.sent = 0;
        }
        let Some(io) = &mut self.io else { return };
        io.set_nonblocking(true).expect("the socket is open");
        while self.sent < self.bytes.len() {
            match io.write(&self.bytes[self.sent..]) {
                Ok(n) => self.sent += n,
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return,
                Err(_) => {
                    self.io = None;
                    return;
                }
            }
            if self.manner == Manner::Repeats && self.sent == self.bytes.len() {
                self.sent = 0;
            }
        }
        let read = match self.manner {
            Manner::Reads => io.read(&mut [0; 4096]),
            _ => io.peek(&mut [0]),
        };
        match read {
            Ok(0) => self.io = None,
            Ok(_) if self.manner == Manner::Reads => self.sent = 0,
            _ => {}
        }
    }
}

/// Plays a crowd, and checks the gateway meanwhile and afterwards.
fn play(
    site: &Site,
    address: SocketAddr,
    members: usize,
    manner: Manner,
    bytes: impl Fn(usize) -> Vec<u8>,
) {
    let new = |n| Member { io: None, bytes: bytes(n), sent: 0, manner };
    let mut crowd: Vec<Member> = (0..members).map(new).collect();
    let end = Instant::now() + LENGTH;
    let (mut memory, mut descriptors, mut parts) = (0, 0, [0; 3]);
    let mut watch = || {
        let endpoints = std::iter::once(site.endpoint.address).chain(site.other);
        let unread: u64 = endpoints.map(|address| site.gateway.unread_kib(address)).sum();
        let now = [site.gateway.memory_kib(), site.gateway.queued_kib(), unread];
        if now.iter().sum::<u64>() > memory {
            (memory, parts) = (now.iter().sum(), now);
        }
        descriptors = descriptors.max(site.gateway.descriptors());
    };
    while Instant::now() < end {
        for (n, member) in crowd.iter_mut().enumerate() {
            member.send(address);
            if n % 200 == 0 {
                watch();
            }
        }
        watch();
    }
    let answered = || {
        (0..3)
            .any(|n| send_request(&site.gateway, "GET", "/open/x", &format!("{n}a")).status == 200)
    };
    assert!(wait_for(20, answered), "no answer beside the crowd");
    drop(crowd);
    assert!(wait_for(20, answered), "no answer after the crowd");
    let Limits { memory_mb, max_fds } = site.limits;
    let most = u64::from(memory_mb) * 1_000_000 / 1024;
    println!("peak: {memory} KiB of {most}; resident, with callers, from endpoints: {parts:?}");
    assert!(memory < most, "{memory} KiB of {most}");
    let max = max_fds as usize;
    assert!(descriptors < max, "{descriptors} descriptors of {max}");
    assert!(site.gateway.readiness() == 200);
}

/// Bytes of a request head without its end.
fn half_head() -> Vec<u8> {
    format!("GET /open/x HTTP/1.1\r\nHost: app.example\r\nX-Filler: {}", "x".repeat(15_000))
        .into_bytes()
}

/// 1,500 connections with half a head each exceeded the memory of their gateway.
#[rstest]
#[case::low_limits(LIMITS)]
#[case::usual_limits(Limits::DEFAULT)]
fn heads_without_an_end_stay_within_the_memory(#[case] limits: Limits) {
    let site = start_with(limits, "fine", false);
    play(&site, site.gateway.front, MANY + 100, Manner::Waits, |_| half_head());
}

/// The allocator kept what a crowd had taken, beside what the next one took in the kernel.
#[rstest]
#[case::low_limits(LIMITS)]
#[case::usual_limits(Limits::DEFAULT)]
fn memory_of_a_crowd_that_has_left_is_returned(#[case] limits: Limits) {
    let site = start_with(limits, "fine", false);
    play(&site, site.gateway.front, MANY + 100, Manner::Waits, |_| half_head());
    // What the instance takes itself, and a twentieth of the limit.
    let most = (20_000_000 + u64::from(limits.memory_mb) * 50_000) / 1024;
    let is_returned = wait_for(5, || site.gateway.memory_kib() < most);
    assert!(is_returned, "{} KiB of {most}", site.gateway.memory_kib());
}

/// A process ran out of memory as requests were sent ahead on a few connections and no answer was read.
#[test]
fn requests_sent_ahead_stay_within_the_memory() {
    let site = start("fine", false);
    play(&site, site.gateway.front, FEW, Manner::Repeats, |n| {
        request_bytes("GET", "/open/x", &format!("{n}b"), "", "")
    });
}

/// As before, with large answers.
#[test]
fn large_unread_answers_stay_within_the_memory() {
    let site = start(&"x".repeat(200_000), false);
    play(&site, site.gateway.front, 4 * FEW, Manner::Repeats, |n| {
        request_bytes("GET", "/open/x", &format!("{n}c"), "", "")
    });
}

/// As before, with requests that are refused.
#[test]
fn unread_refusals_stay_within_the_memory() {
    let site = start("fine", false);
    play(&site, site.gateway.front, 4 * FEW, Manner::Repeats, |n| {
        request_bytes("GET", "/nowhere/x", &format!("{n}d"), "", "")
    });
}

/// Large bodies on many connections, each without its end.
#[test]
fn bodies_without_an_end_stay_within_the_memory() {
    let site = start("fine", false);
    play(&site, site.gateway.front, MANY / 2, Manner::Waits, |n| {
        let head =
            request_bytes("POST", "/open/x", &format!("{n}e"), "Content-Length: 3900000\r\n", "");
        [head, vec![b'x'; 1_000_000]].concat()
    });
}

/// Connections that send nothing took all descriptors, and other callers were refused.
#[test]
fn idle_connections_leave_descriptors_to_others() {
    let site = start("fine", false);
    play(&site, site.gateway.front, MANY, Manner::Waits, |_| Vec::new());
}

/// The address of the readiness check read bodies and heads without a limit on their sum.
#[test]
fn requests_to_the_readiness_address_stay_within_the_memory() {
    let site = start("fine", false);
    play(&site, site.gateway.ready, MANY, Manner::Waits, |_| {
        let head = b"GET /ready HTTP/1.1\r\nHost: x\r\nContent-Length: 3900000\r\n\r\n".to_vec();
        [head, vec![b'x'; 400_000]].concat()
    });
}

/// Parts of prompts and ids are chosen by callers.
#[test]
fn names_chosen_by_callers_stay_within_the_memory() {
    let site = start("fine", true);
    play(&site, site.gateway.front, FEW, Manner::Repeats, |n| {
        let part = |k: usize| format!("{:x}:1", n * 10_000 + k);
        let parts: Vec<String> = (0..800).map(part).collect();
        let extra = format!("X-Prompt-Prefix: {}\r\n", parts.join(","));
        let id = format!("{n:x}").repeat(2_000);
        request_bytes("GET", "/open/x", &id, &extra, "")
    });
    assert!(!site.endpoint.received().is_empty());
}

/// Decoded headers were not in the sum of what connections keep.
#[rstest]
#[case::long_names(170)]
#[case::short_names(1)]
fn heads_with_many_headers_stay_within_the_memory(#[case] name_length: usize) {
    let site = start_with(Limits::DEFAULT, "fine", false);
    let name = "x".repeat(name_length);
    let extra: String = (0..90).map(|k| format!("{name}{k}: 1\r\n")).collect();
    play(&site, site.gateway.front, MANY + 64, Manner::Reads, |n| {
        // One in five is a whole request, the others lack their bodies.
        let length = if n % 5 == 0 { "" } else { "Content-Length: 600\r\n" };
        request_bytes("POST", "/open/x", &format!("{n}f"), &format!("{length}{extra}"), "")
    });
}

/// Lines of the log that nothing reads held what endpoints state in long headers.
#[test]
fn long_headers_of_endpoints_stay_within_the_memory() {
    let site = start("fine", true);
    let load = format!("1,1,8,{}", "x".repeat(100_000));
    site.endpoint.set_headers(&format!("X-Replica-Load: {load}\r\n"));
    play(&site, site.gateway.front, FEW, Manner::Reads, |n| {
        request_bytes("GET", "/open/x", &format!("{n}g"), "", "")
    });
}

/// Large responses that callers leave unread were buffered without regard to the memory.
#[test]
fn unread_answers_of_a_megabyte_stay_within_the_memory() {
    let site = start_with(Limits::DEFAULT, &"x".repeat(1_000_000), false);
    play(&site, site.gateway.front, 10 * FEW, Manner::Waits, |n| {
        request_bytes("GET", "/open/x", &format!("{n}h"), "", "")
    });
    let received = site.endpoint.received().len();
    assert!(received >= 5 * FEW, "only {received} requests reached the endpoint");
}

/// Returns an answer of which only this part is sent for a while.
fn unfinished(headers: &str, body: String) -> Action {
    let end = EarlyEnd::Reset(LENGTH);
    let (start, headers) = ("HTTP/1.1 200 OK".into(), headers.into());
    Action::Early(EarlyAnswer { read: 0, start, headers, body, end })
}

/// Returns header lines of nearly the size that a head may have.
fn long_fields() -> String {
    (0..90).map(|k| format!("X-Filler-{k}: {}\r\n", "x".repeat(1_300))).collect()
}

fn long_head() -> Action {
    unfinished(&long_fields(), String::new())
}

fn long_refusal() -> Action {
    unfinished("X-Not-Executed: true\r\nContent-Length: 65000\r\n", "x".repeat(64_000))
}

/// What an endpoint had sent of a response that it did not finish was in no sum.
#[rstest]
#[case::long_head(long_head())]
#[case::long_refusal(long_refusal())]
fn unfinished_responses_stay_within_the_memory(#[case] action: Action) {
    let other = Endpoint::start("i-2", action);
    let site = start_beside(Some(&other), LIMITS, "fine", false);
    play(&site, site.gateway.front, 10 * FEW, Manner::Waits, |n| {
        request_bytes("GET", "/safe/x", &format!("{n}i"), "", "")
    });
    let received = other.received().len();
    assert!(received >= 5 * FEW, "only {received} requests reached the endpoint");
}

/// Responses of which some stay in the kernel, as their callers read none of them.
#[rstest]
#[case::low_limits(LIMITS, "")]
#[case::long_heads(LIMITS, &long_fields())]
#[case::usual_limits(Limits::DEFAULT, "")]
fn unread_responses_that_are_held_stay_within_the_memory(
    #[case] limits: Limits,
    #[case] fields: &str,
) {
    let other = Endpoint::start("i-2", Action::Respond(200, "x".repeat(400_000)));
    other.set_headers(fields);
    let site = start_beside(Some(&other), limits, "fine", false);
    play(&site, site.gateway.front, 10 * FEW, Manner::Waits, |n| {
        request_bytes("GET", "/safe/x", &format!("{n}j"), "", "")
    });
    let received = other.received().len();
    assert!(received >= 5 * FEW, "only {received} requests reached the endpoint");
}

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
use standin::platform::{Action, Endpoint, Gateway, Limits, Store};
use std::io::Write;
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
    gateway: Gateway,
    limits: Limits,
}

/// Starts a gateway, in front of an endpoint that answers plain requests with this body.
fn start(body: &str, piped: bool) -> Site {
    start_with(LIMITS, body, piped)
}

fn start_with(limits: Limits, body: &str, piped: bool) -> Site {
    let turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let endpoint = Endpoint::start("i-1", Action::Respond(200, body.into()));
    let store = Store::start();
    let config = CONFIG
        .replace(r#""max_connections":50"#, r#""max_connections":2000"#)
        .replace(r#""max_header_bytes":4096"#, r#""max_header_bytes":16384"#)
        .replace(r#""max_body_bytes":100000"#, r#""max_body_bytes":4000000"#)
        .replace(r#""header_timeout_ms":1000"#, r#""header_timeout_ms":5000"#)
        .replace(r#""idle_timeout_ms":3000"#, r#""idle_timeout_ms":60000"#);
    store.set("op/config", Some(config.as_bytes()));
    list_endpoint(&store, &endpoint, "plain", "ready");
    let binary = Path::new(env!("CARGO_BIN_EXE_skylarkthread"));
    let gateway = Gateway::start_limited(binary, store.address, limits, piped);
    assert!(wait_for(5, || gateway.readiness() == 200), "gateway not ready within 5 s");
    Site { _turn: turn, _store: store, endpoint, gateway, limits }
}

/// Connection of a crowd: sends bytes again and again, reads nothing, and connects again once it has
/// been closed.
struct Member {
    io: Option<TcpStream>,
    bytes: Vec<u8>,
    sent: usize,
    repeats: bool,
}

impl Member {
    /// Sends what the connection takes.
    fn send(&mut self, address: SocketAddr) {
        let Some(io) = &mut self.io else {
            self.io = TcpStream::connect_timeout(&address, Duration::from_millis(200)).ok();
            self.sent = 0;
            if let Some(io) = &self.io {
                io.set_nonblocking(true).expect("the socket is open");
            }
            return;
        };
        while self.sent < self.bytes.len() {
            match io.write(&self.bytes[self.sent..]) {
                Ok(n) => self.sent += n,
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => return,
                Err(_) => {
                    self.io = None;
                    return;
                }
            }
            if self.repeats && self.sent == self.bytes.len() {
                self.sent = 0;
            }
        }
        if io.peek(&mut [0]).is_ok_and(|n| n == 0) {
            self.io = None;
        }
    }
}

/// Plays a crowd, and checks the gateway meanwhile and afterwards.
fn play(
    site: &Site,
    address: SocketAddr,
    members: usize,
    repeats: bool,
    bytes: impl Fn(usize) -> Vec<u8>,
) {
    let new = |n| Member { io: None, bytes: bytes(n), sent: 0, repeats };
    let mut crowd: Vec<Member> = (0..members).map(new).collect();
    let end = Instant::now() + LENGTH;
    let (mut memory, mut descriptors) = (0, 0);
    let mut watch = || {
        memory = memory.max(site.gateway.memory_kib() + site.gateway.queued_kib());
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
    play(&site, site.gateway.front, MANY + 100, false, |_| half_head());
}

/// A process ran out of memory as requests were sent ahead on a few connections and no answer was read.
#[test]
fn requests_sent_ahead_stay_within_the_memory() {
    let site = start("fine", false);
    play(&site, site.gateway.front, FEW, true, |n| {
        request_bytes("GET", "/open/x", &format!("{n}b"), "", "")
    });
}

/// As before, with large answers.
#[test]
fn large_unread_answers_stay_within_the_memory() {
    let site = start(&"x".repeat(200_000), false);
    play(&site, site.gateway.front, 4 * FEW, true, |n| {
        request_bytes("GET", "/open/x", &format!("{n}c"), "", "")
    });
}

/// As before, with requests that are refused.
#[test]
fn unread_refusals_stay_within_the_memory() {
    let site = start("fine", false);
    play(&site, site.gateway.front, 4 * FEW, true, |n| {
        request_bytes("GET", "/nowhere/x", &format!("{n}d"), "", "")
    });
}

/// Large bodies on many connections, each without its end.
#[test]
fn bodies_without_an_end_stay_within_the_memory() {
    let site = start("fine", false);
    play(&site, site.gateway.front, MANY / 2, false, |n| {
        let head =
            request_bytes("POST", "/open/x", &format!("{n}e"), "Content-Length: 3900000\r\n", "");
        [head, vec![b'x'; 1_000_000]].concat()
    });
}

/// Connections that send nothing took all descriptors, and other callers were refused.
#[test]
fn idle_connections_leave_descriptors_to_others() {
    let site = start("fine", false);
    play(&site, site.gateway.front, MANY, false, |_| Vec::new());
}

/// The address of the readiness check read bodies and heads without a limit on their sum.
#[test]
fn requests_to_the_readiness_address_stay_within_the_memory() {
    let site = start("fine", false);
    play(&site, site.gateway.ready, MANY, false, |_| {
        let head = b"GET /ready HTTP/1.1\r\nHost: x\r\nContent-Length: 3900000\r\n\r\n".to_vec();
        [head, vec![b'x'; 400_000]].concat()
    });
}

/// Parts of prompts and ids are chosen by callers.
#[test]
fn names_chosen_by_callers_stay_within_the_memory() {
    let site = start("fine", true);
    play(&site, site.gateway.front, FEW, true, |n| {
        let part = |k: usize| format!("{:x}:1", n * 10_000 + k);
        let parts: Vec<String> = (0..800).map(part).collect();
        let extra = format!("X-Prompt-Prefix: {}\r\n", parts.join(","));
        let id = format!("{n:x}").repeat(2_000);
        request_bytes("GET", "/open/x", &id, &extra, "")
    });
    assert!(!site.endpoint.received().is_empty());
}

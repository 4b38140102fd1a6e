//! Parts of prompts that crash each engine that begins to answer a request with them.

use crate::common::{
    CONFIG, list_endpoint, request_bytes, start_gateway, start_platform, wait_for,
};
use standin::platform::{Action, Connection, Endpoint, Gateway, Outage, Reply, Store, send};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Part that crashes engines.
const BAD: &str = "dead";
/// First part of all prompts, sound or not.
const FIRST: &str = "a1";
/// Time for which an engine that has crashed is down.
const DOWN: Duration = Duration::from_secs(60);
/// Time between two requests with the part that crashes engines.
const PAUSE: Duration = Duration::from_millis(800);
/// Engines that may crash before the part has to be refused.
const MAX_CRASHES: usize = 5;

fn start_engines(n: usize) -> Vec<Endpoint> {
    let start = |ix| Endpoint::start(&format!("i-{ix}"), Action::Stream(3, Duration::ZERO));
    let engines: Vec<Endpoint> = (0..n).map(start).collect();
    engines.iter().for_each(|e| e.crash_on_part(BAD, DOWN));
    engines
}

/// Starts a store with the engines and two gateways that know each other.
fn start_pair(engines: &[Endpoint]) -> (Store, [Gateway; 2]) {
    let listed: Vec<(&Endpoint, &str)> = engines.iter().map(|e| (e, "model")).collect();
    let (store, gateway) = start_platform(&listed);
    let other = start_gateway(&store);
    assert!(wait_for(3, || other.readiness() == 200 && store.keys("gateways/").len() == 2));
    std::thread::sleep(Duration::from_millis(500));
    (store, [gateway, other])
}

/// Sends a request whose prompt has these shared parts and a last one of its own.
fn start_with_parts(gateway: &Gateway, id: &str, parts: &[&str]) -> Connection {
    start_at(gateway.front, id, parts)
}

fn start_at(front: SocketAddr, id: &str, parts: &[&str]) -> Connection {
    let shared: String = parts.iter().map(|p| format!("{p}:40,")).collect();
    let extra =
        format!("X-Model: m\r\nX-Token-Counts: 100,40\r\nX-Prompt-Prefix: {shared}{id}:20\r\n");
    send(front, &request_bytes("POST", "/stream/x", id, &extra, &format!("prompt {id}")))
}

fn send_bad(gateway: &Gateway, id: &str) -> Reply {
    start_with_parts(gateway, id, &[FIRST, BAD]).reply()
}

/// Sends a sound request; its reply is complete unless its engine crashes meanwhile.
fn send_sound(gateway: &Gateway, id: &str) -> Reply {
    start_with_parts(gateway, id, &[FIRST, "b2"]).reply()
}

/// Returns how many requests with [`BAD`] have reached engines.
fn bad_runs(engines: &[Endpoint]) -> usize {
    let received = engines.iter().flat_map(Endpoint::received);
    let parts = received.filter_map(|r| Some(r.req.header("x-prompt-prefix")?.to_owned()));
    parts.filter(|p| p.contains(&format!("{BAD}:"))).count()
}

/// Sends sound and crashing requests in turn to both gateways until one of the latter is refused.
fn crash_until_refused(gateways: &[Gateway; 2], engines: &[Endpoint]) {
    for n in 0..2 * MAX_CRASHES {
        let gateway = &gateways[n % 2];
        send_sound(gateway, &format!("{n:x}f"));
        if send_bad(gateway, &format!("{n:x}e")).status == 503 {
            break;
        }
        std::thread::sleep(PAUSE);
    }
    let runs = bad_runs(engines);
    assert!(runs <= MAX_CRASHES, "{runs} requests that crash engines reached one");
}

/// Checks that requests with [`BAD`] are refused and sound ones are served at their first attempt.
fn assert_only_sound_served(gateways: &[Gateway; 2], engines: &[Endpoint], round: &str) {
    let before = bad_runs(engines);
    for n in 0..8 {
        let gateway = &gateways[n % 2];
        let reply = send_bad(gateway, &format!("{round}{n}e"));
        assert_eq!(reply.status, 503, "request {n}");
        assert!(reply.body.contains("not-run"), "{}", reply.body);
        let reply = send_sound(gateway, &format!("{round}{n}f"));
        assert_eq!((reply.status, reply.complete), (200, true), "request {n}");
    }
    assert_eq!(bad_runs(engines), before);
}

#[test]
fn part_that_crashes_engines_is_refused_by_all_gateways_while_sound_requests_are_served() {
    let engines = start_engines(8);
    let (_store, gateways) = start_pair(&engines);
    crash_until_refused(&gateways, &engines);
    std::thread::sleep(PAUSE);
    assert_only_sound_served(&gateways, &engines, "1");
}

#[test]
fn part_that_crashes_engines_stays_refused_after_restarts_of_the_gateways() {
    let engines = start_engines(8);
    let (_store, mut gateways) = start_pair(&engines);
    crash_until_refused(&gateways, &engines);
    std::thread::sleep(PAUSE);
    gateways[0].restart();
    assert!(wait_for(5, || gateways[0].readiness() == 200));
    assert_only_sound_served(&gateways, &engines, "1");
    gateways.iter_mut().for_each(Gateway::restart);
    assert!(wait_for(5, || gateways.iter().all(|g| g.readiness() == 200)));
    assert_only_sound_served(&gateways, &engines, "2");
}

/// Pauses all engines towards a gateway.
fn pause_all(gateway: &Gateway, engines: &[Endpoint], pause: Duration) {
    engines.iter().for_each(|e| e.push_action(Action::Pause(pause)));
    let is_paused = || engines.iter().all(|e| e.received().iter().any(|r| r.pause.is_some()));
    for n in (0..engines.len()).take_while(|_| !is_paused()) {
        // One that finds all engines paused would wait for them, so its caller leaves.
        let _request = start_with_parts(gateway, &format!("{n}d"), &[FIRST, "b2"]);
        std::thread::sleep(Duration::from_millis(200));
    }
    assert!(is_paused());
}

#[test]
fn crashes_before_the_restarts_of_all_gateways_count() {
    let engines = start_engines(8);
    let (_store, mut gateways) = start_pair(&engines);
    for n in 0..2 {
        send_sound(&gateways[0], &format!("{n}f"));
        assert_eq!(send_bad(&gateways[0], &format!("{n}e")).status, 200);
        std::thread::sleep(PAUSE);
    }
    for g in &mut gateways {
        g.restart();
        assert!(wait_for(5, || g.readiness() == 200));
        std::thread::sleep(2 * PAUSE);
    }
    gateways.iter().for_each(|g| drop(send_sound(g, "2f")));
    assert_eq!(send_bad(&gateways[0], "2e").status, 200);
    gateways.iter().for_each(|g| drop(send_sound(g, "3f")));
    std::thread::sleep(2 * PAUSE);
    assert_only_sound_served(&gateways, &engines, "1");
}

#[test]
fn refused_part_is_written_again_after_the_store_returns_from_a_copy_without_it() {
    let engines = start_engines(8);
    let (store, mut gateways) = start_pair(&engines);
    let copy = store.copy();
    crash_until_refused(&gateways, &engines);
    let is_written = || store.keys("quarantine/").len() == 1;
    assert!(wait_for(3, is_written));
    store.restore(copy);
    assert!(wait_for(5, is_written), "not written again");
    gateways.iter_mut().for_each(Gateway::restart);
    assert!(wait_for(5, || gateways.iter().all(|g| g.readiness() == 200)));
    assert_only_sound_served(&gateways, &engines, "1");
}

#[test]
fn part_refused_during_an_outage_of_the_store_stays_refused_after_restarts() {
    let engines = start_engines(8);
    let (store, mut gateways) = start_pair(&engines);
    store.set_outage(Some(Outage::Busy));
    crash_until_refused(&gateways, &engines);
    std::thread::sleep(PAUSE);
    assert_only_sound_served(&gateways, &engines, "1");
    store.set_outage(None);
    assert!(wait_for(5, || store.keys("quarantine/").len() == 1), "not written after the outage");
    gateways.iter_mut().for_each(Gateway::restart);
    assert!(wait_for(5, || gateways.iter().all(|g| g.readiness() == 200)));
    assert_only_sound_served(&gateways, &engines, "2");
}

#[test]
fn queued_request_is_refused_once_one_of_its_parts_has_crashed_engines() {
    let pause = Duration::from_secs(4);
    let engines = start_engines(8);
    let (store, gateways) = start_pair(&engines);
    let patient = CONFIG.replace(r#""version":7"#, r#""version":8"#).replace(":1500,", ":6000,");
    store.set("op/config", Some(patient.as_bytes()));
    std::thread::sleep(PAUSE);
    pause_all(&gateways[0], &engines, pause);
    let started = Instant::now();
    let extra =
        format!("X-Model: m\r\nX-Token-Counts: 100,40\r\nX-Prompt-Prefix: {BAD}:40,9c:2\r\n");
    let queued = request_bytes("POST", "/stream/x", "9c", &extra, "queued");
    let queued = String::from_utf8(queued).expect("the request is text");
    let mut queued = send(gateways[0].front, queued.replace(" 5000\r", " 9000\r").as_bytes());
    for n in 0..MAX_CRASHES {
        if send_bad(&gateways[1], &format!("{n}e")).status == 503 {
            break;
        }
        // The engine outlives the request during the pause, which makes its run sound.
        send_sound(&gateways[1], &format!("{n}f"));
        std::thread::sleep(PAUSE);
    }
    let runs = bad_runs(&engines);
    let reply = queued.reply();
    assert_eq!((reply.status, bad_runs(&engines)), (503, runs), "{}", reply.body);
    assert!(reply.body.contains("crashed"), "{}", reply.body);
    assert!(started.elapsed() < pause, "refused after {:?}", started.elapsed());
}

#[test]
fn request_that_its_engine_has_not_begun_is_cancelled_once_its_part_is_refused() {
    let engines = start_engines(6);
    let slow = Endpoint::start("i-slow", Action::Stream(3, Duration::ZERO));
    slow.push_action(Action::Hang);
    let (store, gateways) = start_pair(&engines);
    pause_all(&gateways[0], &engines, Duration::from_secs(8));
    list_endpoint(&store, &slow, "model", "ready");
    std::thread::sleep(PAUSE);
    let mut waiting = start_with_parts(&gateways[0], "9c", &[FIRST, BAD]);
    assert!(wait_for(2, || slow.run_count() == 1));
    slow.crash_on_part(BAD, DOWN);
    let hanging = slow.received()[0].closed.clone();
    for n in 0..MAX_CRASHES {
        send_sound(&gateways[1], &format!("{n}f"));
        if send_bad(&gateways[1], &format!("{n}e")).status == 503 {
            break;
        }
        std::thread::sleep(PAUSE);
    }
    let reply = waiting.reply();
    assert_eq!(reply.status, 502, "{}", reply.body);
    assert!(reply.body.contains("unknown"), "{}", reply.body);
    assert!(wait_for(1, || hanging.load(Ordering::SeqCst)), "the connection is open");
}

/// Sends requests with these parts to a gateway one after the other until `end`. Returns when each
/// was sent, and whether its response was complete.
fn start_caller(
    gateway: &Gateway,
    name: String,
    part: &'static str,
    end: Instant,
) -> JoinHandle<Vec<(Instant, bool)>> {
    let front = gateway.front;
    std::thread::spawn(move || {
        let mut replies = Vec::new();
        while Instant::now() < end {
            let (sent, id) = (Instant::now(), format!("{name}{:x}", replies.len()));
            let reply = start_at(front, &id, &[FIRST, part]).reply();
            replies.push((sent, reply.status == 200 && reply.complete));
            std::thread::sleep(Duration::from_millis(20));
        }
        replies
    })
}

#[test]
fn part_that_keeps_the_only_engine_from_a_sound_run_is_refused_and_sound_requests_are_served() {
    let window = Duration::from_secs(3);
    let engines = [Endpoint::start("i-0", Action::Stream(20, Duration::from_millis(30)))];
    engines[0].crash_on_part(BAD, Duration::from_millis(400));
    let (_store, gateways) = start_pair(&engines);
    let end = Instant::now() + Duration::from_secs(14);
    let start = |part: &'static str, letter: char| -> Vec<_> {
        let name = |n: usize| format!("{n}{letter}");
        (0..4).map(|n| start_caller(&gateways[n % 2], name(n), part, end)).collect()
    };
    let (bad, sound) = (start(BAD, 'e'), start("b2", 'f'));
    bad.into_iter().for_each(|c| drop(c.join().expect("a caller panicked")));
    let sound = sound.into_iter().flat_map(|c| c.join().expect("a caller panicked"));

    let is_bad = |p: &str| p.contains(&format!("{BAD}:"));
    let received = engines[0].received();
    let crashes: Vec<Instant> = received
        .iter()
        .filter(|r| r.req.header("x-prompt-prefix").is_some_and(is_bad))
        .map(|r| r.at)
        .collect();
    let late = crashes.iter().skip(5).filter(|at| **at > crashes[4] + window).count();
    assert!(late <= 3, "{late} requests reached the engine late, {} in all", crashes.len());
    let since = crashes.get(4).or(crashes.last()).map(|at| *at + 2 * window);
    let later: Vec<bool> =
        sound.filter(|(sent, _)| since.is_some_and(|t| *sent > t)).map(|(_, ok)| ok).collect();
    let served = later.iter().filter(|ok| **ok).count();
    assert!(later.len() >= 8 && 2 * served >= later.len(), "{served} of {} served", later.len());
    for gateway in &gateways {
        let reply = send_bad(gateway, "0d");
        assert!(reply.status == 503 && reply.body.contains("has crashed"), "{}", reply.body);
    }
}

#[test]
fn crash_of_all_engines_at_once_refuses_no_part() {
    let engines = start_engines(6);
    let (_store, gateways) = start_pair(&engines);
    let outage = Duration::from_millis(1200);
    for round in 0..3 {
        engines.iter().for_each(|e| e.push_action(Action::Stream(100, Duration::from_millis(50))));
        let mut streams: Vec<Connection> = (0..12)
            .map(|n| start_with_parts(&gateways[n % 2], &format!("{round}{n:x}a"), &[FIRST, "b2"]))
            .collect();
        std::thread::sleep(Duration::from_millis(200));
        engines.iter().for_each(|e| e.crash(outage));
        streams.iter_mut().for_each(|s| drop(s.reply()));
        // Engines that restart are other endpoints to the gateways.
        std::thread::sleep(outage);
    }
    // A stream that no request has taken lasts as long as the deadline of the next one allows.
    engines.iter().for_each(Endpoint::clear_actions);
    let served =
        |n: usize| wait_for(10, || send_sound(&gateways[n % 2], &format!("{n}b")).complete);
    assert!((0..4).all(served), "sound requests are not served after the crashes");
    for log in gateways.map(Gateway::into_log) {
        assert!(!log.contains("kind=Convicted"), "{log}");
    }
}

/// Requests that are no generations may have prompts as well.
#[test]
fn part_of_plain_requests_that_crashes_endpoints_is_refused() {
    let start = |ix| Endpoint::start(&format!("i-{ix}"), Action::Respond(200, "fine".into()));
    let endpoints: Vec<Endpoint> = (0..8).map(start).collect();
    endpoints.iter().for_each(|e| e.crash_on_part(BAD, DOWN));
    let listed: Vec<(&Endpoint, &str)> = endpoints.iter().map(|e| (e, "plain")).collect();
    let (store, gateway) = start_platform(&listed);
    let send = |id: &str, part: &str| {
        let extra = format!("X-Prompt-Prefix: {FIRST}:40,{part}:40,{id}:20\r\n");
        send(gateway.front, &request_bytes("POST", "/safe/x", id, &extra, id)).reply()
    };
    for n in 0..MAX_CRASHES {
        assert_eq!(send(&format!("{n}f"), "b2").status, 200);
        if send(&format!("{n}e"), BAD).status == 503 {
            break;
        }
        std::thread::sleep(PAUSE);
    }
    let runs = bad_runs(&endpoints);
    assert!(runs <= MAX_CRASHES, "{runs} requests reached endpoints");
    assert_eq!(send("9e", BAD).status, 503);
    assert_eq!(send("9f", "b2").status, 200);
    assert_eq!(bad_runs(&endpoints), runs);
    drop(store);
}

//! A part of prompts that crashes engines, at several gateways at once: counted at the engines.

use crate::common::{request_bytes, start_gateway, start_platform, wait_for};
use rstest::rstest;
use standin::platform::{
    Action, Connection, CrashPoint, DownMode, Endpoint, Gateway, Reply, Store, try_send,
};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const GATEWAYS: usize = 4;
const ENGINES: usize = 16;
/// Part that crashes engines.
const BAD: &str = "dead";
/// First part of all prompts, sound or not.
const FIRST: &str = "a1";
/// Part that only requests which crash engines have.
const COMPANION: &str = "c3";
/// Time for which an engine that has crashed is down.
const DOWN: Duration = Duration::from_secs(3);
/// Time after the fifth crash within which requests with the part may reach engines.
const WINDOW: Duration = Duration::from_secs(3);
/// Number of crashes from which the time counts.
const CRASHES: usize = 5;
/// Requests with the part that may reach engines later.
const MAX_LATE: usize = 3;
/// Time between two requests with the part.
const BAD_INTERVAL: Duration = Duration::from_millis(400);
/// Time after the first of them for which requests are sent.
const LENGTH: Duration = Duration::from_secs(12);

/// What happens to gateways while engines crash.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Trouble {
    None,
    /// One after the other is suspended for a while, the first one at the first crashes.
    Pauses,
    /// One starts after the fifth crash.
    LateStart,
    /// All are killed after the fifth crash, and started again.
    Restarts,
    /// One after the other is killed and started again, the first one at the first crashes.
    Kills,
}

struct Fleet {
    store: Arc<Store>,
    engines: Arc<Vec<Endpoint>>,
    gateways: Vec<Arc<Mutex<Gateway>>>,
    /// Gateways that were paused, killed or started, with the start and the end.
    breaks: Arc<Mutex<Vec<(usize, Instant, Instant)>>>,
    stop: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
}

impl Fleet {
    /// Starts gateways that know each other, and engines that crash in this form.
    fn start(point: CrashPoint, mode: DownMode) -> Fleet {
        let start = |ix| Endpoint::start(&format!("i-{ix}"), stream());
        let engines: Vec<Endpoint> = (0..ENGINES).map(start).collect();
        let listed: Vec<(&Endpoint, &str)> = engines.iter().map(|e| (e, "model")).collect();
        let (store, first) = start_platform(&listed);
        for e in &engines {
            e.crash_on_part(BAD, DOWN);
            e.set_crash_form(point, mode);
        }
        let others = (1..GATEWAYS).map(|_| start_gateway(&store));
        let gateways: Vec<_> =
            std::iter::once(first).chain(others).map(|g| Arc::new(Mutex::new(g))).collect();
        assert!(wait_for(5, || gateways.iter().all(|g| lock(g).readiness() == 200)));
        assert!(wait_for(3, || store.keys("gateways/").len() == GATEWAYS));
        std::thread::sleep(Duration::from_millis(500));
        let mut fleet = Fleet {
            store: Arc::new(store),
            engines: Arc::new(engines),
            gateways,
            breaks: Arc::default(),
            stop: Arc::default(),
            threads: Vec::new(),
        };
        fleet.list_restarts();
        fleet
    }

    /// Lists engines that have restarted, with the time of their start.
    fn list_restarts(&mut self) {
        let (store, engines, stop) = (self.store.clone(), self.engines.clone(), self.stop.clone());
        self.threads.push(std::thread::spawn(move || {
            let mut known = vec![0; engines.len()];
            while !stop.load(Ordering::SeqCst) {
                for (e, known) in engines.iter().zip(&mut known) {
                    let restarts = e.restarts().load(Ordering::SeqCst);
                    if restarts > std::mem::replace(known, restarts) {
                        let listing =
                            Endpoint::listing_of_start(e.address, "model", "ready", restarts);
                        store.set(&format!("servers/{}", e.id), Some(listing.as_bytes()));
                    }
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }));
    }

    /// Starts callers of sound requests, of which each sends one after the other. Returns when each
    /// request was sent, and whether it was served.
    fn start_sound(&self, callers: usize) -> Vec<JoinHandle<Vec<(Instant, bool)>>> {
        let start = |n: usize| {
            let front = lock(&self.gateways[n % self.gateways.len()]).front;
            let stop = self.stop.clone();
            std::thread::spawn(move || {
                let mut replies = Vec::new();
                while !stop.load(Ordering::SeqCst) {
                    let (sent, id) = (Instant::now(), format!("{n:x}f{:x}", replies.len()));
                    let part = format!("b{:x}", (n + replies.len()) % 7);
                    let reply = reply(send_with(front, &id, &[FIRST, &part]));
                    replies.push((sent, reply.status == 200 && reply.complete));
                    std::thread::sleep(Duration::from_millis(50));
                }
                replies
            })
        };
        (0..callers).map(start).collect()
    }

    /// Sends a request with the part that crashes engines to a gateway.
    fn send_bad(&self, n: usize, id: &str, parts: &[&str]) -> Option<Connection> {
        send_with(lock(&self.gateways[n % self.gateways.len()]).front, id, parts)
    }

    /// Returns the requests with the part that have reached engines: when, and from which gateway.
    /// Their ids begin with the number of the gateway.
    fn bad_arrivals(&self) -> Vec<(Instant, usize)> {
        let received = self.engines.iter().flat_map(Endpoint::received);
        let is_bad = |p: &str| p.contains(&format!("{BAD}:"));
        let mut arrivals: Vec<(Instant, usize)> = received
            .filter(|r| r.req.header("x-prompt-prefix").is_some_and(is_bad))
            .map(|r| (r.at, usize::from(r.req.header("x-attempt-id").unwrap_or("").as_bytes()[0])))
            .map(|(at, digit)| (at, digit - usize::from(b'0')))
            .collect();
        arrivals.sort();
        arrivals
    }

    /// Counts the requests with the part that reached engines later than allowed, from gateways that
    /// ran all the while.
    fn count_late(&self) -> usize {
        let arrivals = self.bad_arrivals();
        let Some((fifth, _)) = arrivals.get(CRASHES - 1) else { return 0 };
        let breaks = lock(&self.breaks);
        let is_excused = |at: Instant, gateway: usize| {
            breaks.iter().any(|(g, from, to)| *g == gateway && *from <= at && at <= *to + WINDOW)
        };
        let late = arrivals.iter().filter(|(at, g)| *at > *fifth + WINDOW && !is_excused(*at, *g));
        late.count()
    }

    /// Waits for the crash with this number.
    fn wait_for_crash(&self, number: usize) {
        wait_for(8, || self.bad_arrivals().len() >= number);
    }

    /// Runs an action on a gateway that breaks it for a while.
    fn disturb(&self, n: usize, action: impl FnOnce(&Mutex<Gateway>)) {
        let start = Instant::now();
        action(&self.gateways[n]);
        lock(&self.breaks).push((n, start, Instant::now()));
    }

    /// Makes trouble for the gateways until the requests end.
    fn make_trouble(&mut self, trouble: Trouble, end: Instant) {
        let pause = |g: &Mutex<Gateway>| {
            lock(g).signal(libc::SIGSTOP);
            std::thread::sleep(Duration::from_millis(1500));
            lock(g).signal(libc::SIGCONT);
        };
        let restart = |g: &Mutex<Gateway>| lock(g).restart();
        match trouble {
            Trouble::None => {}
            Trouble::Pauses | Trouble::Kills => {
                for n in 0.. {
                    self.wait_for_crash(1);
                    if Instant::now() >= end {
                        break;
                    }
                    match trouble {
                        Trouble::Pauses => self.disturb(n % GATEWAYS, pause),
                        _ => self.disturb(n % GATEWAYS, restart),
                    }
                    std::thread::sleep(Duration::from_millis(700));
                }
            }
            Trouble::LateStart => {
                self.wait_for_crash(CRASHES);
                let start = Instant::now();
                let late = start_gateway(&self.store);
                assert!(wait_for(5, || late.readiness() == 200));
                self.gateways.push(Arc::new(Mutex::new(late)));
                lock(&self.breaks).push((GATEWAYS, start, Instant::now()));
            }
            Trouble::Restarts => {
                self.wait_for_crash(CRASHES);
                std::thread::sleep(Duration::from_secs(1));
                self.gateways.iter().for_each(|g| lock(g).signal(libc::SIGKILL));
                (0..GATEWAYS).for_each(|n| self.disturb(n, restart));
            }
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        self.threads.drain(..).for_each(|t| drop(t.join()));
    }
}

fn lock<T>(m: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    m.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Treatment of sound requests: long enough to show that the engine lives.
fn stream() -> Action {
    Action::Stream(24, Duration::from_millis(30))
}

/// Sends a request whose prompt has these shared parts and a last one of its own; `None` if the
/// gateway takes no connection.
fn send_with(front: SocketAddr, id: &str, parts: &[&str]) -> Option<Connection> {
    let shared: String = parts.iter().map(|p| format!("{p}:40,")).collect();
    let extra =
        format!("X-Model: m\r\nX-Token-Counts: 100,40\r\nX-Prompt-Prefix: {shared}{id}:20\r\n");
    try_send(front, &request_bytes("POST", "/stream/x", id, &extra, &format!("prompt {id}"))).ok()
}

fn reply(connection: Option<Connection>) -> Reply {
    connection.map_or_else(Reply::default, |mut c| c.reply())
}

/// Sends requests with the part to all gateways in turn, beside sound ones, and checks how many
/// reach engines after those have crashed five times, and that the sound ones are served.
fn play(point: CrashPoint, mode: DownMode, parts: &'static [&str], trouble: Trouble) {
    let mut fleet = Fleet::start(point, mode);
    let sound = fleet.start_sound(12);
    std::thread::sleep(Duration::from_millis(800));
    let end = Instant::now() + LENGTH;
    let fronts: Vec<SocketAddr> = fleet.gateways.iter().map(|g| lock(g).front).collect();
    let late_front: Arc<Mutex<Option<SocketAddr>>> = Arc::default();
    let shared = late_front.clone();
    let sender = std::thread::spawn(move || {
        let mut open = Vec::new();
        for n in 0.. {
            if Instant::now() >= end {
                break;
            }
            let late = (*lock(&shared)).filter(|_| n % 2 == 0);
            let (gateway, front) =
                late.map_or((n % GATEWAYS, fronts[n % GATEWAYS]), |front| (GATEWAYS, front));
            open.push(send_with(front, &format!("{gateway}e{n:x}"), parts));
            std::thread::sleep(BAD_INTERVAL);
        }
    });
    fleet.make_trouble(trouble, end);
    *lock(&late_front) = fleet.gateways.get(GATEWAYS).map(|g| lock(g).front);
    sender.join().expect("the sender panicked");
    fleet.stop.store(true, Ordering::SeqCst);
    let sound: Vec<(Instant, bool)> =
        sound.into_iter().flat_map(|c| c.join().expect("a caller panicked")).collect();

    let arrivals = fleet.bad_arrivals();
    let (late, crashes) = (fleet.count_late(), arrivals.len());
    assert!(late <= MAX_LATE, "{late} requests reached engines late, {crashes} in all");
    let since = arrivals.get(CRASHES - 1).or(arrivals.last()).expect("no engine crashed").0;
    let later: Vec<bool> =
        sound.iter().filter(|(at, _)| *at > since + 2 * WINDOW).map(|(_, ok)| *ok).collect();
    let served = later.iter().filter(|ok| **ok).count();
    assert!(later.len() >= 20 && 2 * served >= later.len(), "{served} of {} served", later.len());
}

/// Crashes that do not show at the moment at which the connection breaks.
#[rstest]
#[case::refused(CrashPoint::Head, DownMode::Refuse)]
#[case::address_closes_connections_late(
    CrashPoint::Head,
    DownMode::Close(Duration::from_millis(100))
)]
#[case::address_does_not_answer(CrashPoint::Head, DownMode::Silent)]
#[case::before_the_head(CrashPoint::Start, DownMode::Refuse)]
#[case::after_a_whole_response(CrashPoint::End, DownMode::Refuse)]
#[case::after_an_unframed_event(CrashPoint::UnframedEvent, DownMode::Refuse)]
fn part_is_stopped_however_its_engines_crash(#[case] point: CrashPoint, #[case] mode: DownMode) {
    play(point, mode, &[FIRST, BAD], Trouble::None);
}

/// Gateways that were late, paused or just started let requests with the part through.
#[rstest]
#[case::pauses(Trouble::Pauses)]
#[case::late_start(Trouble::LateStart)]
#[case::restarts(Trouble::Restarts)]
#[case::kills(Trouble::Kills)]
fn part_is_stopped_by_gateways_in_trouble(#[case] trouble: Trouble) {
    play(CrashPoint::Head, DownMode::Refuse, &[FIRST, COMPANION, BAD], trouble);
}

/// What was refused only as a set of parts was forgotten with a restart, and not told.
#[test]
fn parts_refused_together_stay_refused_after_restarts_without_a_sound_run() {
    let fleet = Fleet::start(CrashPoint::Head, DownMode::Refuse);
    let parts = [FIRST, COMPANION, BAD];
    for n in 0..CRASHES {
        let sound = reply(fleet.send_bad(n, &format!("{n}f"), &[FIRST, "b2"]));
        assert!(sound.complete, "request {n}");
        if reply(fleet.send_bad(n, &format!("{}e{n}", n % GATEWAYS), &parts)).status == 503 {
            break;
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    let crashes = fleet.bad_arrivals().len();
    assert!(crashes <= CRASHES, "{crashes} requests reached engines");
    std::thread::sleep(Duration::from_secs(4));
    fleet.gateways.iter().for_each(|g| lock(g).signal(libc::SIGKILL));
    fleet.gateways.iter().for_each(|g| lock(g).restart());
    assert!(wait_for(5, || fleet.gateways.iter().all(|g| lock(g).readiness() == 200)));
    std::thread::sleep(WINDOW);
    for n in 0..2 * GATEWAYS {
        let reply = reply(fleet.send_bad(n, &format!("{}e1{n}", n % GATEWAYS), &parts));
        assert_eq!(reply.status, 503, "request {n}");
    }
    assert_eq!(fleet.bad_arrivals().len(), crashes);
}

/// A gateway that had seen no sound run of its own did not refuse what all others refused.
#[test]
fn gateway_without_sound_runs_refuses_what_the_others_refuse() {
    let fleet = Fleet::start(CrashPoint::Head, DownMode::Refuse);
    let parts = [FIRST, COMPANION, BAD];
    for n in 0..CRASHES {
        let gateway = n % (GATEWAYS - 1);
        assert!(reply(fleet.send_bad(gateway, &format!("{n}f"), &[FIRST, "b2"])).complete);
        if reply(fleet.send_bad(gateway, &format!("{gateway}e{n}"), &parts)).status == 503 {
            break;
        }
        std::thread::sleep(Duration::from_secs(1));
    }
    std::thread::sleep(WINDOW);
    let crashes = fleet.bad_arrivals().len();
    for n in 0..4 {
        let last = GATEWAYS - 1;
        let reply = reply(fleet.send_bad(last, &format!("{last}e1{n}"), &parts));
        assert_eq!(reply.status, 503, "request {n}: {}", reply.body);
    }
    assert_eq!(fleet.bad_arrivals().len(), crashes);
}

/// Crashes at one moment counted once, so as many requests again were let through later.
#[test]
fn part_that_crashed_engines_at_one_moment_only_is_stopped() {
    let fleet = Fleet::start(CrashPoint::Head, DownMode::Refuse);
    let sound = fleet.start_sound(12);
    std::thread::sleep(Duration::from_millis(800));
    let send = |round: usize| -> Vec<Option<Connection>> {
        let id = |n: usize| format!("{}e{round}{n}", n % GATEWAYS);
        (0..2 * CRASHES).map(|n| fleet.send_bad(n, &id(n), &[FIRST, BAD])).collect()
    };
    let _first = send(0);
    fleet.wait_for_crash(CRASHES);
    std::thread::sleep(WINDOW + Duration::from_millis(500));
    let _second = send(1);
    std::thread::sleep(Duration::from_secs(1));
    fleet.stop.store(true, Ordering::SeqCst);
    sound.into_iter().for_each(|c| drop(c.join()));
    let (late, crashes) = (fleet.count_late(), fleet.bad_arrivals().len());
    assert!(crashes >= CRASHES, "only {crashes} engines crashed");
    assert!(late <= MAX_LATE, "{late} requests reached engines late, {crashes} in all");
}

//! A replica whose entry was removed is used again, after a full read of the store that a link held up.

use crate::platform::{CONFIG, Client, Gateway, Proxy, Replica, Store, request, wait_until};
use crate::{Stage, Verdict};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const WORK: Duration = Duration::from_millis(60);
/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_millis(2000);
/// `stable_window_ms` of the settings.
const STABLE: Duration = Duration::from_millis(3000);
/// Time for which the link holds back bytes: a retransmission or two.
const HELD: Duration = Duration::from_millis(600);
/// Time for which the replicas go on after the removal of their entries.
const GOES_ON: Duration = Duration::from_secs(12);
/// Pause between two removals.
const GAP: Duration = Duration::from_millis(100);

/// What clients saw of a request.
struct Sent {
    id: String,
    at: Instant,
    status: u16,
}

pub fn play(stage: &Stage) -> Verdict {
    let store = Store::start("127.0.0.1");
    store.set("op/config", Some(CONFIG));
    let replica = |n: usize| Replica::start("127.0.0.1", &format!("i-{n}"), WORK, 800);
    let replicas: Vec<Replica> = (0..8).map(replica).collect();
    for r in &replicas {
        store.set(&format!("servers/{}", r.id), Some(&r.entry("desk", "ready")));
    }
    let proxy = Proxy::start("127.0.0.1", store.address);
    let near = Gateway::start(&stage.dir, "front-uks-a-1", "127.0.1.1", store.address);
    let far = Gateway::start(&stage.dir, "front-uks-a-2", "127.0.1.2", proxy.address);
    if !near.wait_ready(&stage.record) || !far.wait_ready(&stage.record) {
        return Verdict::NotRun("a gateway is not ready".into());
    }
    if !wait_until(Duration::from_secs(10), || store.keys("gateways/").len() == 2) {
        return Verdict::NotRun("the gateways have not registered".into());
    }
    // The two get to know each other.
    std::thread::sleep(Duration::from_secs(4));
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..12)
        .map(|n| {
            let to = if n % 2 == 0 { near.front } else { far.front };
            let (sent, is_over) = (sent.clone(), is_over.clone());
            std::thread::spawn(move || send_bookings(n, to, &sent, &is_over))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    if stage.trouble {
        proxy.hold_next_read(HELD);
    }
    stage.record.note("the store forgets its history; both gateways read all");
    store.compact();
    let mut removed = Vec::new();
    for r in &replicas[..4] {
        store.set(&format!("servers/{}", r.id), None);
        stage.record.note(format!("entry of {} removed; it goes on for {GOES_ON:?}", r.id));
        removed.push((r.clone(), Instant::now()));
        std::thread::sleep(GAP);
    }
    std::thread::sleep(GOES_ON);
    let exits = Instant::now();
    removed.iter().for_each(|(r, _)| r.exit());
    stage.record.note("the removed replicas exit");
    std::thread::sleep(Duration::from_secs(3));
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| drop(c.join()));
    stage.record.note(format!(
        "answers held back for {HELD:?} on the link of the second gateway: {}",
        proxy.held()
    ));
    judge(stage, &sent.lock().expect("no holder panics"), &removed, exits)
}

fn send_bookings(n: usize, to: SocketAddr, sent: &Mutex<Vec<Sent>>, is_over: &AtomicBool) {
    let mut kept = None;
    for k in 0.. {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let id = format!("c{n}-{k}");
        let Some(mut client) = kept.take().or_else(|| Client::connect(to).ok()) else { continue };
        let at = Instant::now();
        let answer = client.send(&request("POST", "/book/x", &id, 600)).ok();
        let answer = answer.and_then(|()| client.answer());
        let status = answer.as_ref().map_or(0, |a| a.status());
        if status == 200 {
            kept = Some(client);
        }
        sent.lock().expect("no holder panics").push(Sent { id, at, status });
        std::thread::sleep(Duration::from_millis(25));
    }
}

fn judge(stage: &Stage, sent: &[Sent], removed: &[(Replica, Instant)], exits: Instant) -> Verdict {
    let count = |status: u16| sent.iter().filter(|s| s.status == status).count();
    let others = sent.iter().filter(|s| s.status != 200).count();
    stage.record.note(format!(
        "{} bookings sent, {} answered 200, {others} not",
        sent.len(),
        count(200)
    ));
    let mut late = 0;
    for (r, at) in removed {
        // The link was harmed until `HELD` after the first removal; `STABLE` later all are in touch.
        let bound = *at + DRAIN.max(HELD + STABLE) + Duration::from_millis(500);
        let found: Vec<_> = r.arrivals().into_iter().filter(|a| a.at > bound).collect();
        let last = found.iter().map(|a| a.at.duration_since(*at)).max().unwrap_or_default();
        stage.record.note(format!(
            "{}: {} requests arrived later than {:?} after its removal, the last after {last:?}; ids {}",
            r.id,
            found.len(),
            bound.duration_since(*at),
            found.iter().take(5).map(|a| a.id.as_str()).collect::<Vec<_>>().join(" ")
        ));
        late += found.len();
    }
    let cut = sent.iter().filter(|s| {
        s.status != 200
            && s.at < exits
            && s.at + WORK + Duration::from_millis(100) > exits
            && removed.iter().any(|(r, _)| r.arrivals().iter().any(|a| a.id == s.id))
    });
    let cut: Vec<String> = cut.map(|s| format!("{}={}", s.id, s.status)).collect();
    stage.record.note(format!("bookings lost as the removed replicas exited: {}", cut.join(" ")));
    if count(200) == 0 {
        return Verdict::NotRun("nothing was served".into());
    }
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}

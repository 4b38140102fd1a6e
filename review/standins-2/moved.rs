//! The store gets another address, and the settings say so.

use crate::platform::{CONFIG, Client, Gateway, Replica, Store, request, wait_until};
use crate::{Stage, Verdict};
use std::time::{Duration, Instant};

/// `config_apply_ms` of the settings, with the stretch of a core that is not stable.
const APPLY: Duration = Duration::from_millis(2000 + 5000);
/// Time for which requests are sent after that.
const LENGTH: Duration = Duration::from_secs(10);

pub fn play(stage: &Stage) -> Verdict {
    let store = Store::start("127.0.0.1");
    store.set("op/config", Some(CONFIG));
    let replica =
        |n: usize| Replica::start("127.0.0.1", &format!("i-{n}"), Duration::from_millis(60), 800);
    let replicas: Vec<Replica> = (0..3).map(replica).collect();
    for r in &replicas {
        store.set(&format!("servers/{}", r.id), Some(&r.entry("desk", "ready")));
    }
    let (old, new) = (store.open("127.0.0.1"), store.open("127.0.0.1"));
    let start = |n: usize| {
        let name = format!("front-uks-a-{n}");
        Gateway::start(&stage.dir, &name, &format!("127.0.1.{n}"), old.address)
    };
    let gateways = [start(1), start(2)];
    if !gateways.iter().all(|g| g.wait_ready(&stage.record)) {
        return Verdict::NotRun("a gateway is not ready".into());
    }
    if !wait_until(Duration::from_secs(10), || store.keys("gateways/").len() == 2) {
        return Verdict::NotRun("the gateways have not registered".into());
    }
    std::thread::sleep(Duration::from_secs(4));
    if stage.trouble {
        stage.record.note("the settings name another address of the store; SIGHUP");
        gateways.iter().for_each(|g| g.move_store(old.address, new.address));
        std::thread::sleep(Duration::from_secs(5));
        old.close();
        stage.record.note("the store is no longer served at the old address");
        std::thread::sleep(Duration::from_secs(5));
    }
    let config = CONFIG.replace(r#""version":7"#, r#""version":9"#).replace("key-1", "key-2");
    store.set("op/config", Some(&config));
    let acknowledged = Instant::now();
    stage.record.note("version 9 acknowledged: key-1 is taken away, key-2 is added");
    std::thread::sleep(APPLY);
    let (mut stale, mut refused, mut sent) = (0, 0, 0);
    while acknowledged.elapsed() < APPLY + LENGTH {
        for (n, g) in gateways.iter().enumerate() {
            for key in ["key-1", "key-2"] {
                sent += 1;
                let id = format!("m{sent}");
                let bytes = request("GET", "/look/x", &id, 0);
                let bytes = String::from_utf8_lossy(&bytes).replace("key-1", key).into_bytes();
                let answer = Client::connect(g.front).ok().and_then(|mut client| {
                    client.send(&bytes).ok()?;
                    client.answer()
                });
                let status = answer.map_or(0, |a| a.status());
                let has_run = replicas.iter().any(|r| r.arrivals().iter().any(|a| a.id == id));
                stale += usize::from(key == "key-1" && has_run);
                refused += usize::from(key == "key-2" && status == 401);
                if sent <= 8 || status == 0 {
                    stage.record.note(format!("{id}: gateway {n}, {key}: {status}, run {has_run}"));
                }
            }
        }
        std::thread::sleep(Duration::from_millis(250));
    }
    stage.record.note(format!("{sent} requests; {stale} with the key that was taken away have run, {refused} with the key that was added were refused with 401"));
    let registered = store.keys("gateways/").len();
    stage.record.note(format!("{registered} gateways are registered in the store"));
    if stale + refused > 0 { Verdict::Broken } else { Verdict::Held }
}

//! What a gateway reports of its memory.

use crate::common::{CONFIG, wait_for};
use standin::platform::{Gateway, Limits, Store, send};
use std::path::Path;

/// A process that was killed for its memory could not be told from one that ended otherwise.
#[test]
fn memory_near_its_limit_is_in_the_log_and_in_the_metrics() {
    let store = Store::start();
    store.set("op/config", Some(CONFIG.as_bytes()));
    let limits = Limits { memory_mb: 4, ..Limits::DEFAULT };
    let binary = Path::new(env!("CARGO_BIN_EXE_skylarkthread"));
    let gateway = Gateway::start_limited(binary, store.address, limits, false);
    let request = b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    let resident = || {
        let page = send(gateway.ready, request).reply().body;
        let line = page.lines().find_map(|l| l.strip_prefix("resident_bytes "));
        line.and_then(|n| n.parse::<f64>().ok())
    };
    assert!(wait_for(5, || resident().is_some()), "no resident_bytes within 5 s");
    let (stated, seen) = (resident().unwrap_or_default(), gateway.memory_kib() as f64 * 1024.0);
    assert!((0.5..=1.5).contains(&(stated / seen)), "{stated} bytes of {seen}");
    let log = gateway.into_log();
    let lines: Vec<&str> = log.lines().filter(|l| l.contains("kind=MemoryHigh")).collect();
    let parts = ["resident=", "limit=4000000", "callers=", "bodies=", "connections="];
    assert!(!lines.is_empty() && lines.len() <= 3, "{lines:?}");
    assert!(parts.iter().all(|part| lines[0].contains(part)), "{lines:?}");
}

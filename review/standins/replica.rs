//! Replicas of a plain service.

use super::http;
use super::record::{Random, Record};
use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// Requests that a replica works on at one time, and that it queues besides.
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const BODY_BYTES: usize = 800;

/// What replicas ran: by request id, the replica and the seconds at which it began.
pub type Runs = Arc<Mutex<HashMap<String, Vec<(String, f64)>>>>;

#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    record: Record,
    runs: Runs,
    /// Requests at work, and waiting.
    load: Arc<(Mutex<(usize, usize)>, Condvar)>,
}

impl Replica {
    pub fn start(id: &str, record: &Record, runs: &Runs) -> std::io::Result<Replica> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let replica = Replica {
            id: id.to_owned(),
            address: listener.local_addr()?,
            record: record.clone(),
            runs: runs.clone(),
            load: Arc::default(),
        };
        let r = replica.clone();
        std::thread::spawn(move || {
            for (n, io) in listener.incoming().flatten().enumerate() {
                let r = r.clone();
                std::thread::spawn(move || r.serve(io, n as u64));
            }
        });
        Ok(replica)
    }

    /// The entry under `servers/`.
    pub fn entry(&self, service: &str, zone: &str, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
            \"slots\":{SLOTS},\"state\":\"ready\",\"cold_remaining_ms\":0,\"sequence\":{sequence}}}",
            self.address
        )
    }

    fn serve(&self, io: TcpStream, n: u64) {
        let Ok(mut out) = io.try_clone() else { return };
        let _ = out.set_nodelay(true);
        let mut reader = BufReader::new(io);
        let mut random = Random::new(n + 77);
        while let Ok(req) = http::read(&mut reader) {
            let id = req.header("x-attempt-id").unwrap_or("").to_owned();
            if req.header("x-expect-replica").is_some_and(|e| e != self.id) {
                let _ = out.write_all(
                    format!(
                        "HTTP/1.1 421 X\r\nX-Replica-Id: {}\r\nContent-Length: 0\r\n\r\n",
                        self.id
                    )
                    .as_bytes(),
                );
                continue;
            }
            let (lock, freed) = &*self.load;
            let mut load = lock.lock().expect("no holder panics");
            if load.1 >= QUEUE {
                drop(load);
                self.record.line(&format!("replica {} rejects {id}: full", self.id));
                let head = format!(
                    "HTTP/1.1 503 X\r\nX-Not-Executed: 1\r\nX-Attempt-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                );
                let _ = out.write_all(head.as_bytes());
                continue;
            }
            load.1 += 1;
            while load.0 >= SLOTS {
                load = freed.wait(load).expect("no holder panics");
            }
            (load.0, load.1) = (load.0 + 1, load.1 - 1);
            drop(load);
            let at = self.record.now();
            self.record.line(&format!("replica {} runs {id}: {}", self.id, req.first));
            self.runs
                .lock()
                .expect("no holder panics")
                .entry(id.clone())
                .or_default()
                .push((self.id.clone(), at));
            // Mean 60 ms, as on the sheet.
            std::thread::sleep(Duration::from_secs_f64(0.03 + 0.06 * random.unit()));
            let load = {
                let mut load = lock.lock().expect("no holder panics");
                load.0 -= 1;
                freed.notify_one();
                *load
            };
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Replica-Seal: seal.{}.{id}\r\n\
                X-Replica-Load: {},{},{SLOTS}\r\nContent-Length: {BODY_BYTES}\r\n\r\n",
                self.id, load.0, load.1
            );
            let sent = out.write_all((head + &"x".repeat(BODY_BYTES)).as_bytes());
            let end = if sent.is_ok() { "answered" } else { "its connection is closed" };
            self.record.line(&format!("replica {} ends {id}: {end}", self.id));
        }
    }
}

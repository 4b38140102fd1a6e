//! A stand-in for a plain service, which counts how often each call ran.

use crate::host::{ServerThread, free_address, unframe};
use actix_http::header::{HeaderName, HeaderValue};
use bytes::Bytes;
use skylarkthread::http::{self, Chunk};
use skylarkthread::net;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Executions by call (method, path and body), shared by the replicas of a service.
#[derive(Debug, Clone, Default)]
pub struct CallLog(Arc<Mutex<Record>>);

#[derive(Debug, Default)]
struct Record {
    /// Number of executions of each call.
    counts: BTreeMap<String, u32>,
    /// When each call arrived.
    arrivals: Vec<Instant>,
    /// Limit that the replicas state for the rate of their requests.
    limit: Option<f64>,
}

impl CallLog {
    fn lock(&self) -> MutexGuard<'_, Record> {
        self.0.lock().expect("no holder of the lock panics")
    }

    /// Lets the replicas state a limit for the rate of their requests in all responses.
    pub fn set_limit(&self, limit: Option<f64>) {
        self.lock().limit = limit;
    }

    /// Returns when each call arrived.
    pub fn arrivals(&self) -> Vec<Instant> {
        self.lock().arrivals.clone()
    }

    /// Counts an execution; returns the count including this one.
    fn record(&self, call: &str) -> u32 {
        let mut record = self.lock();
        record.arrivals.push(Instant::now());
        let n = record.counts.entry(call.to_string()).or_default();
        *n += 1;
        *n
    }

    /// Returns how often a call ran, given as `METHOD path body`.
    pub fn count(&self, call: &str) -> u32 {
        self.lock().counts.get(call).copied().unwrap_or(0)
    }

    /// Returns the number of executions of each call.
    pub fn counts(&self) -> BTreeMap<String, u32> {
        self.lock().counts.clone()
    }
}

/// A running replica of a plain service; stopped on drop.
#[derive(Debug)]
pub struct PlainService {
    /// Address that the HTTP server listens on.
    pub address: SocketAddr,
    server: ServerThread,
}

impl PlainService {
    /// Starts a replica on a free loopback address.
    ///
    /// The replica records each call in `call_log`. If the body contains `delay=MS;`, it sends the
    /// answer that many milliseconds after the execution. If it contains `unframed;`, the answer has
    /// neither a length nor chunks.
    pub fn start(call_log: CallLog) -> PlainService {
        PlainService::start_at(free_address(), call_log)
    }

    /// Starts a replica that listens on `address`.
    pub fn start_at(address: SocketAddr, call_log: CallLog) -> PlainService {
        let server = ServerThread::spawn(move || async move {
            let mut listener =
                net::listen(address).expect("cannot bind the plain service's address");
            http::serve(&mut listener, move |req| answer(call_log.clone(), req)).await;
        });
        PlainService { address, server }
    }

    /// Stops the replica without answering open calls, as in a crash.
    pub fn stop(&mut self) {
        self.server.stop();
    }
}

async fn answer(call_log: CallLog, req: actix_http::Request) -> actix_http::Response<http::Body> {
    let limit = call_log.lock().limit;
    let mut res = perform(call_log, req).await;
    if let Some(limit) = limit.and_then(|n| HeaderValue::from_str(&n.to_string()).ok()) {
        res.headers_mut().insert(HeaderName::from_static("server-limit"), limit);
    }
    res
}

async fn perform(call_log: CallLog, req: actix_http::Request) -> actix_http::Response<http::Body> {
    let Ok(incoming) = http::read_request(req, http::MAX_BODY_BYTES).await else {
        return http::full_response(400, "text/plain", "");
    };
    if &*incoming.path == "/healthz" {
        return http::full_response(200, "text/plain", "ok");
    }
    let body = String::from_utf8_lossy(&incoming.body).into_owned();
    let call = format!("{} {} {body}", incoming.method, incoming.path);
    let n = call_log.record(&call);
    if let Some(ms) = parse_delay(&body) {
        tokio::time::sleep(Duration::from_millis(ms)).await;
    }
    let answer = serde_json::json!({ "ran": call, "count": n });
    match body.contains("unframed;") {
        true => unframed_response(answer.to_string().into()),
        false => http::json_response(200, &answer),
    }
}

/// Builds a response whose body ends with the connection.
fn unframed_response(body: Bytes) -> actix_http::Response<http::Body> {
    let (tx, rx) = mpsc::channel(1);
    // The channel is empty and its receiver is in use, so this cannot fail.
    let _ = tx.try_send(Chunk::Last(body));
    unframe(http::event_stream(rx))
}

fn parse_delay(body: &str) -> Option<u64> {
    let (_, rest) = body.split_once("delay=")?;
    rest.split(';').next()?.parse().ok()
}

//! The engine's HTTP server.

use super::scheduler::{Params, Scheduler, Step};
use super::{Counts, lock};
use crate::host::unframe;
use actix_http::{Method, Request, Response, StatusCode};
use actix_rt::System;
use bytes::Bytes;
use serde_json::{Value, json};
use skylarkthread::clock;
use skylarkthread::http::{self, Body, Chunk, Incoming};
use skylarkthread::net;
use skylarkthread::place::prefix_hash;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, mpsc};

/// Prompt length in bytes that counts as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Output length of a prompt without `output=`.
const DEFAULT_OUTPUT_TOKENS: u32 = 32;
/// Age at which a cache event becomes visible to the sidecar.
const CACHE_EVENT_DELAY: Duration = Duration::from_millis(400);
/// One in this many cache events is lost, so that the sidecar meets gaps in their numbers.
const CACHE_EVENTS_PER_LOSS: u64 = 7;
/// Maximum number of cache events kept; the oldest are dropped.
const MAX_CACHE_EVENTS: usize = 1000;
/// Time between the first part of a response that breaks off and its end.
const CUT_DELAY: Duration = Duration::from_millis(20);
/// How long an ended or cancelled stream stays readable.
const STREAM_RETENTION: Duration = Duration::from_secs(30);

/// A generation as seen by its readers; lengths in tokens.
struct Stream {
    /// Random number in the text of each token, by which readers tell generations apart.
    tag: u32,
    priority: u32,
    input: u32,
    prefix: u32,
    output: u32,
    /// Maximum output length that the request allows.
    limit: u32,
    /// Output length so far.
    tokens: u32,
    /// Finish reason, once the generation has ended.
    end: Option<&'static str>,
    /// Whether the scheduler has the generation waiting or running.
    is_active: bool,
    /// Whether the engine crashes on the first token of this generation.
    crashes: bool,
    /// When the stream was started, ended or cancelled.
    changed: Instant,
    progress: Rc<Notify>,
}

struct Engine {
    /// Random identifier of this run of the engine.
    boot: String,
    params: Params,
    scheduler: RefCell<Scheduler>,
    streams: RefCell<HashMap<String, Stream>>,
    work_added: Notify,
    counts: Arc<Mutex<Counts>>,
    /// Recent load reports, kept for [`Params::report_lag`].
    load_reports: RefCell<VecDeque<(Instant, Value)>>,
    /// Time, number, prefix and whether it was stored (or else evicted).
    cache_events: RefCell<VecDeque<(Instant, u64, u32, bool)>>,
    /// Number of the last cache event, lost ones included.
    last_event: Cell<u64>,
    loaded: RefCell<Vec<String>>,
    /// Highest fencing number received in an order.
    fence: Cell<u64>,
}

/// Serves an engine until its server thread is stopped.
pub async fn run(address: SocketAddr, params: Params, counts: Arc<Mutex<Counts>>) {
    let engine = Rc::new(Engine {
        boot: format!("{:08x}", rand::random::<u32>()),
        scheduler: RefCell::new(Scheduler::new(params.clone())),
        streams: RefCell::new(HashMap::new()),
        work_added: Notify::new(),
        counts,
        load_reports: RefCell::new(VecDeque::new()),
        cache_events: RefCell::new(VecDeque::new()),
        last_event: Cell::new(0),
        loaded: RefCell::new(params.loaded.clone()),
        fence: Cell::new(0),
        params,
    });
    let Ok(mut listener) = net::listen(address) else { return System::current().stop() };
    actix_rt::spawn(run_steps(engine.clone()));
    http::serve(&mut listener, move |req| handle(engine.clone(), req)).await;
}

/// Runs batch steps in real time while there are sequences.
async fn run_steps(e: Rc<Engine>) {
    let mut due = tokio::time::Instant::from_std(clock::now());
    loop {
        if e.scheduler.borrow().is_idle() {
            e.work_added.notified().await;
            due = tokio::time::Instant::from_std(clock::now());
        }
        let step = e.scheduler.borrow_mut().step();
        // Schedules from the planned end of the last step, so that timer errors do not add up.
        due = (due + step.time).max(tokio::time::Instant::from_std(clock::now()));
        tokio::time::sleep_until(due).await;
        publish_step(&e, &step);
    }
}

/// Adds the tokens of a step to the streams, notifies their readers and updates the counters. Stops
/// the engine at the first token of a generation with `crash;` in its prompt.
fn publish_step(e: &Engine, step: &Step) {
    let mut streams = e.streams.borrow_mut();
    for id in &step.tokens {
        let Some(s) = streams.get_mut(&**id) else { continue };
        if s.crashes {
            return System::current().stop();
        }
        s.tokens += 1;
    }
    for id in &step.ended {
        let Some(s) = streams.get_mut(&**id) else { continue };
        s.end = Some(if s.tokens >= s.limit { "length" } else { "stop" });
        s.is_active = false;
        s.changed = clock::now();
    }
    for id in step.tokens.iter().chain(&step.ended) {
        if let Some(s) = streams.get(&**id) {
            s.progress.notify_waiters();
        }
    }
    streams.retain(|_, s| s.is_active || s.changed.elapsed() < STREAM_RETENTION);
    let mut c = lock(&e.counts);
    c.preemptions += step.preempted.len() as u64;
    c.tokens += step.tokens.len() as u64;
    c.steps += 1;
    c.peak_tokens = c.peak_tokens.max(e.scheduler.borrow().used_tokens());
    for (prefix, stored) in &step.cache_changes {
        record_cache_event(e, *prefix, *stored);
    }
}

/// Numbers a cache event and keeps it, except for one in [`CACHE_EVENTS_PER_LOSS`].
fn record_cache_event(e: &Engine, prefix: u32, stored: bool) {
    e.last_event.set(e.last_event.get() + 1);
    if !e.last_event.get().is_multiple_of(CACHE_EVENTS_PER_LOSS) {
        let mut cache = e.cache_events.borrow_mut();
        cache.push_back((clock::now(), e.last_event.get(), prefix, stored));
        if cache.len() > MAX_CACHE_EVENTS {
            cache.pop_front();
        }
    }
}

async fn handle(e: Rc<Engine>, req: Request) -> Response<Body> {
    let Ok(req) = http::read_request(req, http::MAX_BODY_BYTES).await else {
        return http::full_response(400, "text/plain", "");
    };
    let path = req.path.clone();
    match (&req.method, &*path) {
        (&Method::POST, "/v1/completions") => start_completion(&e, &req),
        (&Method::GET, "/v1/load") => http::json_response(200, &load_report(&e)),
        (&Method::GET, "/v1/cache_events") => {
            http::json_response(200, &visible_cache_events(&e, &req))
        }
        (&Method::POST, "/v1/orders") => apply_order(&e, &req),
        (method, path) => match (method, path.strip_prefix("/v1/streams/")) {
            (&Method::GET, Some(id)) => resume_stream(&e, &req, id),
            (&Method::DELETE, Some(id)) => cancel_stream(&e, id),
            _ => http::full_response(404, "text/plain", ""),
        },
    }
}

/// Parses the number after `name` in a prompt, such as 120 in `output=120;`.
fn parse_number(prompt: &str, name: &str) -> Option<u32> {
    let (_, rest) = prompt.split_once(name)?;
    rest.split(';').next()?.parse().ok()
}

fn start_completion(e: &Rc<Engine>, req: &Incoming) -> Response<Body> {
    let Ok(v) = serde_json::from_slice::<Value>(&req.body) else {
        return http::full_response(400, "text/plain", "");
    };
    let spec = v["model"].as_str().unwrap_or("");
    if !e.loaded.borrow().iter().any(|l| l == spec) {
        return http::full_response(409, "text/plain", format!("model {spec:?} is not loaded"));
    }
    let id = v["request_id"].as_str().unwrap_or("").to_string();
    let prompt = v["prompt"].as_str().unwrap_or("");
    if let Some(status) = parse_number(prompt, "refuse=") {
        return refuse(status as u16, prompt.contains("cut;"));
    }
    let limit = v["max_tokens"].as_u64().unwrap_or(16) as u32;
    let output = parse_number(prompt, "output=").unwrap_or(DEFAULT_OUTPUT_TOKENS).min(limit).max(1);
    let input = (prompt.len() / BYTES_PER_TOKEN + 1) as u32;
    let priority = v["priority"].as_u64().unwrap_or(0) as u32;
    let prefix = prefix_hash(prompt);
    let stream = Stream {
        tag: rand::random(),
        priority,
        input,
        prefix,
        output,
        limit,
        tokens: 0,
        end: None,
        is_active: true,
        crashes: prompt.contains("crash;"),
        changed: clock::now(),
        progress: Rc::new(Notify::new()),
    };
    // A repeated request reads from the existing generation.
    if !e.streams.borrow().contains_key(&id) {
        e.streams.borrow_mut().insert(id.clone(), stream);
        e.scheduler.borrow_mut().add(&id, priority, input, prefix, output, 0);
        e.work_added.notify_one();
    }
    stream_from(e, &id, 0)
}

/// Refuses a generation, in a response that breaks off within its body if `is_cut`.
fn refuse(status: u16, is_cut: bool) -> Response<Body> {
    let body = Bytes::from_static(b"refused");
    if !is_cut {
        return http::full_response(status, "text/plain", body);
    }
    let (tx, rx) = mpsc::channel(1);
    actix_rt::spawn(async move {
        // Without the delay, the connection could end before the head is sent.
        if tx.send(Chunk::More(body)).await.is_ok() {
            tokio::time::sleep(CUT_DELAY).await;
        }
    });
    let mut response = http::event_stream(rx);
    if let Ok(status) = StatusCode::from_u16(status) {
        response.head_mut().status = status;
    }
    response
}

/// Streams a generation from the token number `from` on, and queues it again if it was cancelled.
fn resume_stream(e: &Rc<Engine>, req: &Incoming, id: &str) -> Response<Body> {
    let from = req.query_param("from").and_then(|n| n.parse().ok()).unwrap_or(0);
    {
        let mut streams = e.streams.borrow_mut();
        let Some(s) = streams.get_mut(id) else {
            return http::full_response(404, "text/plain", "");
        };
        if !s.is_active && s.end.is_none() {
            s.is_active = true;
            let mut scheduler = e.scheduler.borrow_mut();
            scheduler.add(id, s.priority, s.input, s.prefix, s.output, s.tokens);
            e.work_added.notify_one();
        }
    }
    stream_from(e, id, from)
}

/// Removes a generation from the scheduler and keeps its tokens, so that it can be resumed.
fn cancel_stream(e: &Engine, id: &str) -> Response<Body> {
    let was_active = e.scheduler.borrow_mut().remove(id);
    if let Some(s) = e.streams.borrow_mut().get_mut(id) {
        s.is_active = false;
        s.changed = clock::now();
    }
    if was_active {
        lock(&e.counts).cancels += 1;
    }
    http::full_response(204, "text/plain", "")
}

/// Streams the tokens of a generation from number `from` on, as they are generated.
fn stream_from(e: &Rc<Engine>, id: &str, from: u32) -> Response<Body> {
    let (tx, rx) = mpsc::channel(64);
    let (e, id) = (e.clone(), id.to_string());
    let is_chunked = e.params.chunked;
    actix_rt::spawn(async move {
        let mut next = from;
        loop {
            let Some((progress, lines, is_end)) = format_events(&e, &id, &mut next) else { return };
            let notified = progress.notified();
            if is_end {
                let _ = tx.send(Chunk::Last(lines.into())).await;
                return;
            }
            if !lines.is_empty() && tx.send(Chunk::More(lines.into())).await.is_err() {
                return;
            }
            // More tokens may have been generated during the send.
            if e.streams.borrow().get(&id).is_some_and(|s| s.tokens > next || s.end.is_some()) {
                continue;
            }
            tokio::select! {
                () = notified => {}
                () = tx.closed() => return,
            }
        }
    });
    let response = http::event_stream(rx);
    if is_chunked { response } else { unframe(response) }
}

/// Formats the tokens from number `next` on as server-sent events and advances `next`. Returns how
/// to wait for more, the events, and whether they include the last.
fn format_events(e: &Engine, id: &str, next: &mut u32) -> Option<(Rc<Notify>, String, bool)> {
    let streams = e.streams.borrow();
    let s = streams.get(id)?;
    let mut out = String::new();
    while *next < s.tokens {
        let text = format!(" {:08x}.{next}", s.tag);
        let v = json!({ "choices": [{ "index": 0, "text": text, "finish_reason": null }] });
        out += &format!("id: {next}\ndata: {v}\n\n");
        *next += 1;
    }
    if let Some(end) = s.end {
        let v = json!({ "choices": [{ "index": 0, "text": "", "finish_reason": end }] });
        out += &format!("id: {next}\ndata: {v}\n\n");
    }
    Some((s.progress.clone(), out, s.end.is_some()))
}

/// Returns the load report as of [`Params::report_lag`] ago.
fn load_report(e: &Engine) -> Value {
    let now = clock::now();
    let (running, waiting) = e.scheduler.borrow().counts();
    let fresh = json!({
        "boot": e.boot,
        "capacity": e.params.capacity,
        "batch": e.params.max_batch,
        "block": super::scheduler::BLOCK_TOKENS,
        "prefill_us": e.params.prefill_time.as_micros() as u64,
        "used": e.scheduler.borrow().used_tokens(),
        "running": running,
        "waiting": waiting,
        "loaded": *e.loaded.borrow(),
    });
    let mut past = e.load_reports.borrow_mut();
    past.push_back((now, fresh));
    while past.len() > 1 && past[1].0 + e.params.report_lag <= now {
        past.pop_front();
    }
    past.front().map_or(Value::Null, |(_, v)| v.clone())
}

/// Returns the cache events after number `since` that are old enough to be visible.
fn visible_cache_events(e: &Engine, req: &Incoming) -> Vec<Value> {
    let since: u64 = req.query_param("since").and_then(|n| n.parse().ok()).unwrap_or(0);
    let is_visible = |at: &Instant| at.elapsed() >= CACHE_EVENT_DELAY;
    let all = e.cache_events.borrow();
    let visible = all.iter().filter(|(at, seq, ..)| *seq > since && is_visible(at));
    visible
        .map(|(_, seq, prefix, stored)| json!({ "seq": seq, "prefix": prefix, "stored": stored }))
        .collect()
}

/// Loads or unloads a model, unless the order's fencing number is outdated.
fn apply_order(e: &Rc<Engine>, req: &Incoming) -> Response<Body> {
    let Ok(v) = serde_json::from_slice::<Value>(&req.body) else {
        return http::full_response(400, "text/plain", "");
    };
    let fence = v["fence"].as_u64().unwrap_or(0);
    if e.params.checks_fence && fence < e.fence.get() {
        lock(&e.counts).refused_orders += 1;
        let detail = format!("fencing number {fence} is below {}", e.fence.get());
        return http::full_response(412, "text/plain", detail);
    }
    e.fence.set(fence.max(e.fence.get()));
    lock(&e.counts).orders += 1;
    let spec = v["spec"].as_str().unwrap_or("").to_string();
    if v["action"] == "unload" {
        e.loaded.borrow_mut().retain(|l| *l != spec);
    } else {
        let e = e.clone();
        actix_rt::spawn(async move {
            tokio::time::sleep(e.params.load_time).await;
            if !e.loaded.borrow().contains(&spec) {
                e.loaded.borrow_mut().push(spec);
            }
        });
    }
    http::full_response(202, "text/plain", "")
}

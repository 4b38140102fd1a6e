//! The HTTP side of the engine.

use super::scheduler::{Params, Scheduler, Step};
use super::{Counts, lock};
use actix_http::{Method, Request, Response};
use actix_rt::System;
use bytes::Bytes;
use serde_json::{Value, json};
use skylarkthread::clock;
use skylarkthread::http::{self, Body, Incoming};
use skylarkthread::place::prefix_hash;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, mpsc};

/// Bytes of a prompt per token.
const TOKEN_BYTES: usize = 4;
/// Output of a prompt that names no length.
const DEFAULT_OUTPUT: u32 = 32;
/// Age of a cache event when it is told.
const CACHE_LAG: Duration = Duration::from_millis(400);
/// Every so many cache events one is lost.
const CACHE_GAP: u64 = 7;
/// Cache events kept.
const CACHE_KEPT: usize = 1000;
/// Time that an ended stream is kept.
const KEEP: Duration = Duration::from_secs(30);

struct Stream {
    tag: u32,
    priority: u32,
    input: u32,
    prefix: u32,
    output: u32,
    limit: u32,
    tokens: u32,
    end: Option<&'static str>,
    is_on: bool,
    crashes: bool,
    touched: Instant,
    news: Rc<Notify>,
}

struct Engine {
    boot: String,
    params: Params,
    model: RefCell<Scheduler>,
    streams: RefCell<HashMap<String, Stream>>,
    wake: Notify,
    counts: Arc<Mutex<Counts>>,
    load: RefCell<VecDeque<(Instant, Value)>>,
    cache: RefCell<VecDeque<(Instant, u64, u32, bool)>>,
    seq: Cell<u64>,
    loaded: RefCell<Vec<String>>,
    fence: Cell<u64>,
}

/// Runs an engine until its host is stopped.
pub async fn run(address: SocketAddr, params: Params, counts: Arc<Mutex<Counts>>) {
    let engine = Rc::new(Engine {
        boot: format!("{:08x}", rand::random::<u32>()),
        model: RefCell::new(Scheduler::new(params.clone())),
        streams: RefCell::new(HashMap::new()),
        wake: Notify::new(),
        counts,
        load: RefCell::new(VecDeque::new()),
        cache: RefCell::new(VecDeque::new()),
        seq: Cell::new(0),
        loaded: RefCell::new(params.loaded.clone()),
        fence: Cell::new(0),
        params,
    });
    let Ok(listener) = http::bind(address).await else { return System::current().stop() };
    actix_rt::spawn(drive(engine.clone()));
    http::serve(listener, move |req| handle(engine.clone(), req)).await;
}

async fn drive(e: Rc<Engine>) {
    let mut due = tokio::time::Instant::from_std(clock::now());
    loop {
        if e.model.borrow().is_idle() {
            e.wake.notified().await;
            due = tokio::time::Instant::from_std(clock::now());
        }
        let step = e.model.borrow_mut().step();
        // Steps follow each other without the error of the timer adding up.
        due = (due + step.time).max(tokio::time::Instant::from_std(clock::now()));
        tokio::time::sleep_until(due).await;
        publish(&e, &step);
    }
}

fn publish(e: &Engine, step: &Step) {
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
        s.is_on = false;
        s.touched = clock::now();
    }
    for id in step.tokens.iter().chain(&step.ended) {
        if let Some(s) = streams.get(&**id) {
            s.news.notify_waiters();
        }
    }
    streams.retain(|_, s| s.is_on || s.touched.elapsed() < KEEP);
    let mut c = lock(&e.counts);
    c.preemptions += step.preempted.len() as u64;
    c.tokens += step.tokens.len() as u64;
    c.steps += 1;
    c.peak_tokens = c.peak_tokens.max(e.model.borrow().used());
    for (prefix, stored) in &step.cache {
        note_cache(e, *prefix, *stored);
    }
}

fn note_cache(e: &Engine, prefix: u32, stored: bool) {
    e.seq.set(e.seq.get() + 1);
    if !e.seq.get().is_multiple_of(CACHE_GAP) {
        let mut cache = e.cache.borrow_mut();
        cache.push_back((clock::now(), e.seq.get(), prefix, stored));
        if cache.len() > CACHE_KEPT {
            cache.pop_front();
        }
    }
}

async fn handle(e: Rc<Engine>, req: Request) -> Response<Body> {
    let Ok(req) = http::read(req, http::BODY_LIMIT).await else {
        return http::full(400, "text/plain", "");
    };
    let path = req.path.clone();
    match (&req.method, &*path) {
        (&Method::POST, "/v1/completions") => complete(&e, &req),
        (&Method::GET, "/v1/load") => http::json(200, &load(&e)),
        (&Method::GET, "/v1/cache_events") => http::json(200, &cache(&e, &req)),
        (&Method::POST, "/v1/orders") => order(&e, &req),
        (method, path) => match (method, path.strip_prefix("/v1/streams/")) {
            (&Method::GET, Some(id)) => resume(&e, &req, id),
            (&Method::DELETE, Some(id)) => cancel(&e, id),
            _ => http::full(404, "text/plain", ""),
        },
    }
}

/// Reads a number behind a word in a prompt, such as `output=120;`.
fn scan_word(prompt: &str, word: &str) -> Option<u32> {
    let (_, rest) = prompt.split_once(word)?;
    rest.split(';').next()?.parse().ok()
}

fn complete(e: &Rc<Engine>, req: &Incoming) -> Response<Body> {
    let Ok(v) = serde_json::from_slice::<Value>(&req.body) else {
        return http::full(400, "text/plain", "");
    };
    let spec = v["model"].as_str().unwrap_or("");
    if !e.loaded.borrow().iter().any(|l| l == spec) {
        return http::full(409, "text/plain", "not loaded");
    }
    let id = v["request_id"].as_str().unwrap_or("").to_string();
    let prompt = v["prompt"].as_str().unwrap_or("");
    let limit = v["max_tokens"].as_u64().unwrap_or(16) as u32;
    let output = scan_word(prompt, "output=").unwrap_or(DEFAULT_OUTPUT).min(limit).max(1);
    let input = (prompt.len() / TOKEN_BYTES + 1) as u32;
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
        is_on: true,
        crashes: prompt.contains("crash;"),
        touched: clock::now(),
        news: Rc::new(Notify::new()),
    };
    // A repeat of a request reads the generation that is there.
    if !e.streams.borrow().contains_key(&id) {
        e.streams.borrow_mut().insert(id.clone(), stream);
        e.model.borrow_mut().add(&id, priority, input, prefix, output, 0);
        e.wake.notify_one();
    }
    read_from(e, &id, 0)
}

fn resume(e: &Rc<Engine>, req: &Incoming, id: &str) -> Response<Body> {
    let from = req.field("from").and_then(|n| n.parse().ok()).unwrap_or(0);
    {
        let mut streams = e.streams.borrow_mut();
        let Some(s) = streams.get_mut(id) else { return http::full(404, "text/plain", "") };
        if !s.is_on && s.end.is_none() {
            s.is_on = true;
            let mut model = e.model.borrow_mut();
            model.add(id, s.priority, s.input, s.prefix, s.output, s.tokens);
            e.wake.notify_one();
        }
    }
    read_from(e, id, from)
}

fn cancel(e: &Engine, id: &str) -> Response<Body> {
    let was_on = e.model.borrow_mut().remove(id);
    if let Some(s) = e.streams.borrow_mut().get_mut(id) {
        s.is_on = false;
        s.touched = clock::now();
    }
    if was_on {
        lock(&e.counts).cancels += 1;
    }
    http::full(204, "text/plain", "")
}

fn read_from(e: &Rc<Engine>, id: &str, from: u32) -> Response<Body> {
    let (tx, rx) = mpsc::channel(64);
    let (e, id) = (e.clone(), id.to_string());
    actix_rt::spawn(async move {
        let mut next = from;
        loop {
            let Some((news, lines, is_end)) = take(&e, &id, &mut next) else { return };
            let waiting = news.notified();
            if !lines.is_empty() && tx.send(Bytes::from(lines)).await.is_err() {
                return;
            }
            if is_end {
                return;
            }
            // More may have come while these were sent.
            if e.streams.borrow().get(&id).is_some_and(|s| s.tokens > next || s.end.is_some()) {
                continue;
            }
            tokio::select! {
                () = waiting => {}
                () = tx.closed() => return,
            }
        }
    });
    http::events(rx)
}

/// Formats the tokens from `next` on.
fn take(e: &Engine, id: &str, next: &mut u32) -> Option<(Rc<Notify>, String, bool)> {
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
    Some((s.news.clone(), out, s.end.is_some()))
}

/// Returns the load as it was one lag ago.
fn load(e: &Engine) -> Value {
    let now = clock::now();
    let (running, waiting) = e.model.borrow().counts();
    let fresh = json!({
        "boot": e.boot,
        "capacity": e.params.capacity,
        "batch": e.params.max_batch,
        "block": super::scheduler::BLOCK,
        "prefill_us": e.params.prefill_time.as_micros() as u64,
        "used": e.model.borrow().used(),
        "running": running,
        "waiting": waiting,
        "loaded": *e.loaded.borrow(),
    });
    let mut past = e.load.borrow_mut();
    past.push_back((now, fresh));
    while past.len() > 1 && past[1].0 + e.params.report_lag <= now {
        past.pop_front();
    }
    past.front().map_or(Value::Null, |(_, v)| v.clone())
}

fn cache(e: &Engine, req: &Incoming) -> Vec<Value> {
    let since: u64 = req.field("since").and_then(|n| n.parse().ok()).unwrap_or(0);
    let old = |at: &Instant| at.elapsed() >= CACHE_LAG;
    let all = e.cache.borrow();
    let told = all.iter().filter(|(at, seq, ..)| *seq > since && old(at));
    told.map(|(_, seq, prefix, stored)| json!({ "seq": seq, "prefix": prefix, "stored": stored }))
        .collect()
}

fn order(e: &Rc<Engine>, req: &Incoming) -> Response<Body> {
    let Ok(v) = serde_json::from_slice::<Value>(&req.body) else {
        return http::full(400, "text/plain", "");
    };
    let fence = v["fence"].as_u64().unwrap_or(0);
    if e.params.checks_fence && fence < e.fence.get() {
        lock(&e.counts).refused_orders += 1;
        return http::full(412, "text/plain", "old fencing number");
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
    http::full(202, "text/plain", "")
}

//! The model engine: streams, load reports, cache events and orders over HTTP.

use super::{Sidecar, Turn, finish};
use crate::board::{Engine, JobKey, Phase};
use crate::clock;
use crate::event::Kind;
use crate::frame::{Crash, Finish, Order, OrderAction, Refusal};
use crate::id::Nonce;
use crate::settings::EndpointKind;
use awc::error::SendRequestError;
use eventsource_stream::{Event, Eventsource};
use futures_util::StreamExt;
use serde::Deserialize;
use serde_json::json;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

/// Time for an answer that is not a stream.
const CALL_TIME: Duration = Duration::from_secs(1);
/// Time between two load reports.
const LOAD_TIME: Duration = Duration::from_millis(200);
/// Load reports for each look at the cache events.
const CACHE_LOOKS: u32 = 5;
/// Load reports that may be missed before the engine counts as lost.
const MISSES: u32 = 5;
/// Shortest silence of a stream after which it is opened anew.
const SILENCE: Duration = Duration::from_millis(1000);
/// Batch steps that a stream may be silent.
const SILENT_STEPS: u32 = 20;
/// Pause before a broken stream is opened again.
const PAUSE: Duration = Duration::from_millis(100);
/// Contents named with a crash.
const BLAMED: usize = 256;
/// Prefixes remembered.
const PREFIX_LIMIT: usize = 256;
/// Weight of a new gap in the mean.
const GAP_SHARE: f64 = 0.05;

#[derive(Debug, Deserialize)]
struct LoadReport {
    boot: Arc<str>,
    capacity: u32,
    batch: u32,
    #[serde(default = "default_block")]
    block: u32,
    #[serde(default)]
    prefill_us: u64,
    loaded: Vec<Arc<str>>,
}

/// Tokens in a block where the engine does not say.
fn default_block() -> u32 {
    16
}

#[derive(Debug, Deserialize)]
struct CacheEvent {
    seq: u64,
    prefix: u32,
    stored: bool,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    text: Arc<str>,
    #[serde(default)]
    finish_reason: Option<Arc<str>>,
}

/// How a connection to a stream ended.
enum Outcome {
    /// The generation ended.
    Done(Finish),
    /// The connection broke or went silent.
    Broken,
    /// No connection could be made.
    Unreachable,
    /// The engine does not know the generation.
    Unknown,
    /// The generation is no longer ours to read.
    Dropped,
}

/// Runs a generation on the engine until it ends, is held or is cancelled.
pub async fn run(s: Rc<Sidecar>, turn: Turn) {
    let mut is_known = turn.job(&s.board.borrow()).is_some_and(|j| !j.tokens.is_empty());
    loop {
        let outcome = read_stream(&s, turn, &mut is_known).await;
        if turn.job(&s.board.borrow()).is_none() {
            return;
        }
        match outcome {
            Outcome::Done(end) => return finish(&s, turn.key, end),
            Outcome::Dropped => return,
            Outcome::Broken => note_silent(&s, turn),
            // The monitor decides whether the engine is lost, and ends the generation then.
            Outcome::Unreachable => {}
            Outcome::Unknown => return finish(&s, turn.key, Finish::Lost),
        }
        tokio::time::sleep(PAUSE).await;
    }
}

fn note_silent(s: &Sidecar, turn: Turn) {
    if let Some(job) = turn.job(&s.board.borrow()) {
        s.process.event(Kind::EngineSilent, &job.start.generation, "");
    }
}

async fn read_stream(s: &Rc<Sidecar>, turn: Turn, is_known: &mut bool) -> Outcome {
    let Some(request) = request(s, turn, *is_known) else { return Outcome::Dropped };
    let sent = tokio::time::timeout(CALL_TIME, request).await;
    // Whether or not an answer came, the engine may have the generation from now on.
    let res = match sent {
        Ok(Ok(res)) => res,
        Ok(Err(SendRequestError::Connect(_))) => return Outcome::Unreachable,
        Ok(Err(_)) | Err(_) => {
            *is_known = true;
            return Outcome::Broken;
        }
    };
    match res.status().as_u16() {
        200 => {}
        404 if *is_known => return Outcome::Unknown,
        _ => return Outcome::Done(Finish::NotRun(Refusal::Down)),
    }
    *is_known = true;
    let mut events = res.eventsource();
    loop {
        let event = match tokio::time::timeout(silence(s), events.next()).await {
            Ok(Some(Ok(event))) => event,
            Ok(_) | Err(_) => return Outcome::Broken,
        };
        if let Some(outcome) = take_event(s, turn, &event) {
            return outcome;
        }
    }
}

/// Takes over one event of the engine; returns the outcome where it ends the stream.
fn take_event(s: &Sidecar, turn: Turn, event: &Event) -> Option<Outcome> {
    if event.data == "[DONE]" {
        return Some(Outcome::Done(Finish::Stop));
    }
    let chunk = serde_json::from_str::<Chunk>(&event.data).ok();
    let choice = chunk.and_then(|c| c.choices.into_iter().next());
    let (Some(choice), Ok(ix)) = (choice, event.id.parse::<u32>()) else {
        return Some(Outcome::Broken);
    };
    if !choice.text.is_empty()
        && let Some(outcome) = push(s, turn, ix, choice.text)
    {
        return Some(outcome);
    }
    match choice.finish_reason.as_deref() {
        Some("stop") => Some(Outcome::Done(Finish::Stop)),
        Some("length") => Some(Outcome::Done(Finish::Length)),
        _ => None,
    }
}

/// Makes the request that opens or resumes a stream; `None` once its turn is over.
fn request(s: &Sidecar, turn: Turn, is_known: bool) -> Option<awc::SendClientRequest> {
    let board = s.board.borrow();
    let job = turn.job(&board)?;
    let id = job.start.generation.nonce;
    if is_known {
        let next = job.tokens.len();
        let url = s.engine.url(&format!("/v1/streams/{id}?from={next}"));
        return Some(s.engine.client.get(url).send());
    }
    let body = json!({
        "request_id": id.to_string(),
        "model": &*job.start.spec,
        "prompt": &*job.start.prompt,
        "max_tokens": job.start.limit.0,
        "priority": job.start.rank,
        "stream": true,
    });
    let url = s.engine.url("/v1/completions");
    Some(s.engine.client.post(url).send_json(&body))
}

fn silence(s: &Sidecar) -> Duration {
    SILENCE.max(s.board.borrow().engine.gap * SILENT_STEPS)
}

/// Keeps the token with index `ix`; returns the outcome where it cannot be the next one.
fn push(s: &Sidecar, turn: Turn, ix: u32, text: Arc<str>) -> Option<Outcome> {
    let mut board = s.board.borrow_mut();
    let board = &mut *board;
    if turn.job(board).is_none() {
        return Some(Outcome::Dropped);
    }
    let job = board.jobs.get_mut(turn.key)?;
    let next = job.tokens.len() as u32;
    // A repeat of what is held is skipped; a gap means that this is not our stream.
    if ix != next {
        return (ix > next).then_some(Outcome::Broken);
    }
    let now = clock::now();
    if job.prefilled {
        let gap = now.saturating_duration_since(job.last_active).as_secs_f64();
        let mean = board.engine.gap.as_secs_f64();
        let next = mean + GAP_SHARE * (gap - mean);
        board.engine.gap = Duration::from_secs_f64(next.max(0.0));
    } else {
        // Computing a prompt makes room for the next one to start.
        s.wake.notify_one();
    }
    job.prefilled = true;
    job.last_active = now;
    job.tokens.push(text);
    board.fair.charge(&job.start.workspace, job.start.weight, 1);
    s.polls.touch();
    None
}

/// Takes a generation off the engine; the engine keeps what it takes to resume it.
pub async fn cancel(s: Rc<Sidecar>, nonce: Nonce) {
    let url = s.engine.url(&format!("/v1/streams/{nonce}"));
    let _ = tokio::time::timeout(CALL_TIME, s.engine.client.delete(url).send()).await;
}

/// Gives an order to the engine; `true` where the engine took it.
pub async fn order(s: &Sidecar, order: &Order) -> bool {
    let (action, spec) = match &order.action {
        OrderAction::Load(spec) => ("load", spec),
        OrderAction::Unload(spec) => ("unload", spec),
    };
    let body = json!({ "fence": order.fence.0, "action": action, "spec": &**spec });
    let sent = s.engine.client.post(s.engine.url("/v1/orders")).send_json(&body);
    matches!(tokio::time::timeout(CALL_TIME, sent).await, Ok(Ok(res)) if res.status().is_success())
}

/// Watches the endpoint for as long as the process runs.
pub async fn watch(s: Rc<Sidecar>) {
    let mut monitor = Monitor::default();
    loop {
        match &s.endpoint.kind {
            EndpointKind::Engine(_) => monitor.look(&s).await,
            EndpointKind::Plain(_) => monitor.look_plain(&s).await,
        }
        tokio::time::sleep(LOAD_TIME).await;
    }
}

/// What the watch remembers between two looks.
#[derive(Debug, Default)]
struct Monitor {
    boot: Option<Arc<str>>,
    misses: u32,
    looks: u32,
    seq: u64,
    prefixes: HashMap<u32, u64>,
}

impl Monitor {
    async fn look(&mut self, s: &Rc<Sidecar>) {
        match load(s).await {
            Ok(report) => {
                self.misses = 0;
                self.note(s, report);
                self.looks += 1;
                if self.looks.is_multiple_of(CACHE_LOOKS) {
                    self.read_cache(s).await;
                }
            }
            Err(is_refused) => self.miss(s, is_refused),
        }
    }

    async fn look_plain(&mut self, s: &Rc<Sidecar>) {
        let sent = s.engine.client.get(s.engine.url("/healthz")).send();
        match tokio::time::timeout(CALL_TIME, sent).await {
            Ok(Ok(res)) if res.status().is_success() => {
                self.misses = 0;
                s.board.borrow_mut().engine.alive = true;
            }
            Ok(Err(SendRequestError::Connect(_))) => self.miss(s, true),
            _ => self.miss(s, false),
        }
    }

    fn miss(&mut self, s: &Rc<Sidecar>, is_refused: bool) {
        // A refused connection is a fact; silence may be a stalled link.
        self.misses += if is_refused { MISSES.div_ceil(2) } else { 1 };
        if self.misses >= MISSES && s.board.borrow().engine.alive {
            lost(s);
        }
    }

    fn note(&mut self, s: &Rc<Sidecar>, report: LoadReport) {
        let is_new = self.boot.as_ref().is_some_and(|b| *b != report.boot);
        if is_new {
            lost(s);
            self.prefixes.clear();
            self.seq = 0;
        }
        self.boot = Some(report.boot);
        let mut board = s.board.borrow_mut();
        if !board.engine.alive {
            s.process.event(Kind::EngineBack, s.engine.address, "");
        }
        let gap = board.engine.gap;
        board.engine = Engine {
            alive: true,
            capacity: report.capacity,
            batch: report.batch,
            block: report.block.max(1),
            gap,
            prefill: Duration::from_micros(report.prefill_us),
            loaded: report.loaded,
            prefixes: self.prefixes.keys().copied().collect(),
        };
        drop(board);
        s.wake.notify_one();
    }

    /// Follows the cache events; they are late and have gaps, so they serve as hints only.
    async fn read_cache(&mut self, s: &Sidecar) {
        let url = s.engine.url(&format!("/v1/cache_events?since={}", self.seq));
        let sent = s.engine.client.get(url).send();
        let Ok(Ok(mut res)) = tokio::time::timeout(CALL_TIME, sent).await else { return };
        let Ok(events) = res.json::<Vec<CacheEvent>>().await else { return };
        for e in events {
            self.seq = self.seq.max(e.seq);
            if e.stored {
                self.prefixes.insert(e.prefix, e.seq);
            } else {
                self.prefixes.remove(&e.prefix);
            }
        }
        while self.prefixes.len() > PREFIX_LIMIT {
            let oldest = self.prefixes.iter().min_by_key(|(_, seq)| **seq).map(|(p, _)| *p);
            if let Some(p) = oldest {
                self.prefixes.remove(&p);
            }
        }
    }
}

/// Reads a load report; the error tells whether the connection was refused.
async fn load(s: &Sidecar) -> Result<LoadReport, bool> {
    let sent = s.engine.client.get(s.engine.url("/v1/load")).send();
    let mut res = match tokio::time::timeout(CALL_TIME, sent).await {
        Ok(Ok(res)) => res,
        Ok(Err(SendRequestError::Connect(_))) => return Err(true),
        Ok(Err(_)) | Err(_) => return Err(false),
    };
    res.json().await.map_err(|_| false)
}

/// Notes the loss of the engine: what ran on it ends, and is named with the crash.
fn lost(s: &Rc<Sidecar>) {
    let (began, queued) = {
        let mut board = s.board.borrow_mut();
        board.engine.alive = false;
        board.engine.prefixes.clear();
        let number = board.crashes.len() as u32 + 1;
        let is_begun = |p: Phase| matches!(p, Phase::Running | Phase::Held);
        let running = board.in_phase(Phase::Running).map(|(_, j)| j.start.fingerprint);
        let running: Vec<_> = running.take(BLAMED).collect();
        let began = board.jobs.iter().filter(|(_, j)| is_begun(j.phase)).map(|(k, _)| k);
        let began: Vec<JobKey> = began.collect();
        let queued: Vec<JobKey> = board.in_phase(Phase::Queued).map(|(k, _)| k).collect();
        s.process.event(
            Kind::EngineLost,
            s.engine.address,
            format_args!("running={}", running.len()),
        );
        if !running.is_empty() {
            board.crashes.push(Crash { number, running });
        }
        (began, queued)
    };
    for key in began {
        finish(s, key, Finish::Lost);
    }
    for key in queued {
        finish(s, key, Finish::NotRun(Refusal::Down));
    }
    s.polls.announce();
}

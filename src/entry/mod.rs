//! An entry instance: accepts callers' requests over HTTP, selects an endpoint for each, and relays
//! the responses.
//!
//! An entry runs no work itself; each request is executed through the sidecar of an endpoint.

mod admin;
mod background;
mod calls;
mod claims;
mod generate;
mod history;
mod links;
mod peers;
mod quarantine;
mod readiness;
mod relay;
mod request;
mod sync;
mod withdraw;

use crate::board::{EndpointKey, EntryBoard};
use crate::budget::Budget;
use crate::clock;
use crate::event::{self, Kind};
use crate::http::{self, Body, Incoming};
use crate::id::{InstanceId, IntentVersion, Workspace};
use crate::net::{Acceptor, Purpose};
use crate::peer::Listener;
use crate::place::Placer;
use crate::problem::{Problem, ProblemKind};
use crate::process::Process;
use crate::quarantine::{Quarantine, Runs};
use crate::readiness::{Obstacle, Watch};
use crate::shutdown::{Drain, StopSignals, run_stop};
use crate::store::{CallFailure, Etcd, InstanceList};
use crate::task::{self, Unfinished};
use crate::text::Text;
use actix_http::{Method, Request, Response};
use claims::Claims;
use history::StoreView;
use links::LinkState;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Mutex;

/// Maximum number of concurrent requests of one workspace at this entry.
const MAX_WORKSPACE_REQUESTS: u32 = 512;
/// `Retry-After` of refusals by an entry that is stopping, has no intent yet, or is at the limit of
/// the workspace. The delay gives callers time to reach another entry.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// State shared by the request handlers and background tasks of an entry.
#[derive(Debug)]
struct Entry {
    process: Process,
    started: Instant,
    board: RefCell<EntryBoard>,
    placer: RefCell<Placer>,
    quarantine: RefCell<Quarantine>,
    /// Runs that may still crash their endpoints.
    runs: RefCell<Runs<EndpointKey>>,
    budget: RefCell<Budget>,
    links: RefCell<HashMap<InstanceId, Rc<LinkState>>>,
    workspace_requests: RefCell<HashMap<Workspace, u32>>,
    active_requests: Cell<u32>,
    store: Etcd,
    list: InstanceList,
    claims: Claims,
    history: StoreView,
    peer_versions: RefCell<HashMap<InstanceId, IntentVersion>>,
    metrics: http::Metrics,
    readiness: RefCell<Watch>,
    /// Whether the address for callers is listened on.
    callers_accepted: Rc<Cell<bool>>,
    /// Why there is no intent, as long as there is none.
    missing: RefCell<Obstacle>,
    /// The last read of the store that failed.
    failure: RefCell<CallFailure>,
}

/// Runs an entry until shutdown is requested and all open requests have finished. `watch` knows the
/// time before it had settings.
///
/// # Errors
///
/// Returns [`Unfinished`] if they have not finished in the time of the settings.
pub async fn run(
    process: Process,
    watch: Watch,
    metrics: http::Metrics,
    mut stop_signals: StopSignals,
) -> Result<(), Unfinished> {
    let settings = process.settings.clone();
    let peers = Listener::open(settings.peer);
    let web = http::open(settings.http, Purpose::Callers);
    let placer =
        Placer::new(settings.placement, settings.instance.clone(), settings.centre.clone());
    let entry = Rc::new(Entry {
        board: RefCell::new(EntryBoard::default()),
        placer: RefCell::new(placer),
        quarantine: RefCell::new(Quarantine::default()),
        runs: RefCell::default(),
        budget: RefCell::new(Budget::default()),
        links: RefCell::new(HashMap::new()),
        workspace_requests: RefCell::new(HashMap::new()),
        active_requests: Cell::new(0),
        store: Etcd::new(settings.store),
        list: InstanceList::new(settings.instance_list),
        claims: Claims::default(),
        history: StoreView::default(),
        peer_versions: RefCell::new(HashMap::new()),
        metrics,
        readiness: RefCell::new(watch),
        callers_accepted: Rc::default(),
        missing: RefCell::new(Obstacle::StoreUnread),
        failure: RefCell::default(),
        started: clock::now(),
        process,
    });
    entry.process.event(Kind::Started, &settings.instance, "entry");
    task::spawn("peers", peers::serve(entry.clone(), peers));
    keep(&entry, "list", background::follow_list);
    keep(&entry, "gossip", background::run_gossip);
    keep(&entry, "election", background::run_election);
    keep(&entry, "ejection", background::run_ejection);
    keep(&entry, "store", sync::watch_store);
    keep(&entry, "claims", claims::flush);
    keep(&entry, "history", history::run);
    let acceptor = Acceptor::new(web, event::log).show_in(entry.callers_accepted.clone());
    let acceptor = Rc::new(Mutex::new(acceptor));
    keep(&entry, "callers", move |e| {
        let acceptor = acceptor.clone();
        async move {
            let mut acceptor = acceptor.lock().await;
            http::serve(&mut *acceptor, move |req| handle(e.clone(), req)).await;
        }
    });
    stop_signals.wait().await;
    let drain = Drain::new(clock::now(), entry.process.settings.stop_grace);
    run_stop(drain, || stop(&entry)).await
}

/// Starts a task that serves as long as the process runs.
fn keep<F: Future<Output = ()>>(
    entry: &Rc<Entry>,
    name: &'static str,
    run: impl Fn(Rc<Entry>) -> F + 'static,
) {
    let entry = entry.clone();
    task::keep(name, move || run(entry.clone()));
}

/// Refuses new requests and waits for the open ones to finish.
async fn stop(e: &Entry) {
    e.board.borrow_mut().draining = true;
    e.process.event(Kind::Draining, &e.process.settings.instance, "");
    while e.active_requests.get() > 0 {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // A request counts as finished once its response is queued, so the connections need a moment to
    // flush it.
    tokio::time::sleep(Duration::from_millis(300)).await;
    e.process.event(Kind::Stopped, &e.process.settings.instance, "");
}

async fn handle(e: Rc<Entry>, req: Request) -> Response<Body> {
    match req.path() {
        "/metrics" => return http::full_response(200, "text/plain", e.metrics.render()),
        "/healthz" => return health(&e),
        _ => {}
    }
    let is_call = req.path().starts_with("/s/");
    let result = match http::read_request(
        req,
        http::MAX_BODY_BYTES.max(crate::text::MAX_TEXT_BYTES),
    )
    .await
    {
        Ok(incoming) => route(&e, incoming).await,
        Err(p) if is_call => Err(p.maybe_ran()),
        Err(p) => Err(p),
    };
    result.unwrap_or_else(|p| {
        metrics::counter!("refusals_total", "kind" => p.kind.to_string()).increment(1);
        http::problem_response(&p)
    })
}

fn health(e: &Entry) -> Response<Body> {
    match readiness::obstacle(e) {
        None => http::full_response(200, "text/plain", "ok"),
        Some(obstacle) => http::full_response(503, "text/plain", format!("not ready: {obstacle}")),
    }
}

async fn route(e: &Rc<Entry>, req: Incoming) -> Result<Response<Body>, Problem> {
    let path = req.path.clone();
    if let Some(rest) = path.strip_prefix("/admin/") {
        return admin::answer(e, &req, rest).await;
    }
    if req.body.len() > http::MAX_BODY_BYTES {
        let detail = format!(
            "request body is {} bytes; the limit is {}",
            req.body.len(),
            http::MAX_BODY_BYTES
        );
        return Err(Problem::new(ProblemKind::TooLarge, detail));
    }
    // Without an up-to-date intent, this entry cannot know whether the call already ran through
    // another entry, so its refusals must not claim that it did not run.
    let is_call = path.starts_with("/s/");
    let mark_maybe_ran = |p: Problem| if is_call { p.maybe_ran() } else { p };
    if e.process.version().0 == 0 {
        let problem = Problem::new(
            ProblemKind::NotReady,
            "this entry has not received its configuration yet",
        );
        return Err(mark_maybe_ran(problem.retry_after(RETRY_AFTER)));
    }
    let workspace = authenticate(e, &req).map_err(mark_maybe_ran)?;
    match (&req.method, &*path) {
        (&Method::POST, "/v1/completions") => generate::answer(e, &req, workspace, false).await,
        (&Method::POST, "/v1/chat/completions") => generate::answer(e, &req, workspace, true).await,
        (&Method::POST, "/v1/keys") => calls::mint_key(e, &req),
        (&Method::GET, "/v1/models") => Ok(models(e)),
        (method, path) => {
            if let Some(id) = path.strip_prefix("/v1/generations/") {
                return generate::by_id(e, &req, method, id).await;
            }
            if let Some(rest) = path.strip_prefix("/s/") {
                return calls::answer(e, &req, &workspace, rest).await;
            }
            Err(Problem::new(ProblemKind::NotFound, format!("no resource at {path}")))
        }
    }
}

fn authenticate(e: &Entry, req: &Incoming) -> Result<Workspace, Problem> {
    let text = e.text();
    let found = req.bearer_token().and_then(|key| text.workspace(key).cloned());
    found.ok_or_else(|| Problem::new(ProblemKind::Unauthorized, "API key is missing or unknown"))
}

fn models(e: &Entry) -> Response<Body> {
    let text = e.text();
    let is_model = |s: &&crate::text::Service| matches!(s.kind, crate::text::ServiceKind::Model(_));
    let names = text.services.iter().filter(|(_, s)| is_model(s)).map(|(n, _)| n);
    let data: Vec<_> =
        names.map(|n| serde_json::json!({ "id": n.as_str(), "object": "model" })).collect();
    http::json_response(200, &serde_json::json!({ "object": "list", "data": data }))
}

impl Entry {
    fn text(&self) -> Rc<Text> {
        self.process.intent.borrow().text()
    }

    /// Counts a request as open until the returned guard is dropped.
    ///
    /// # Errors
    ///
    /// Returns a problem if this entry is stopping or the workspace has [`MAX_WORKSPACE_REQUESTS`]
    /// open requests.
    fn open_request(self: &Rc<Self>, workspace: &Workspace) -> Result<OpenRequest, Problem> {
        if self.board.borrow().draining {
            let problem = Problem::new(
                ProblemKind::Draining,
                "this entry is shutting down and accepts no new requests",
            );
            return Err(problem.retry_after(RETRY_AFTER));
        }
        let mut open = self.workspace_requests.borrow_mut();
        let n = open.entry(workspace.clone()).or_default();
        if *n >= MAX_WORKSPACE_REQUESTS {
            let detail = format!(
                "workspace has reached its limit of {MAX_WORKSPACE_REQUESTS} open requests"
            );
            return Err(Problem::new(ProblemKind::TooMany, detail).retry_after(RETRY_AFTER));
        }
        *n += 1;
        self.active_requests.set(self.active_requests.get() + 1);
        metrics::gauge!("requests_open").set(f64::from(self.active_requests.get()));
        Ok(OpenRequest { entry: self.clone(), workspace: workspace.clone() })
    }
}

/// Guard that keeps a request counted as open.
#[derive(Debug)]
struct OpenRequest {
    entry: Rc<Entry>,
    workspace: Workspace,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let e = &self.entry;
        e.active_requests.set(e.active_requests.get() - 1);
        metrics::gauge!("requests_open").set(f64::from(e.active_requests.get()));
        let mut open = e.workspace_requests.borrow_mut();
        if let Some(n) = open.get_mut(&self.workspace) {
            *n -= 1;
            if *n == 0 {
                open.remove(&self.workspace);
            }
        }
    }
}

/// Varies a duration randomly by up to 25 % either way, so that processes do not run in lockstep.
fn jitter(time: Duration) -> Duration {
    time.mul_f64(0.75 + rand::random::<f64>() / 2.0)
}

/// Returns the time elapsed since `start`, or zero if `start` is in the future.
fn elapsed_since(start: std::time::Instant) -> Duration {
    clock::now().saturating_duration_since(start)
}

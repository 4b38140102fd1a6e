//! A thin entry instance: takes callers' requests, places them and relays the answers.

mod admin;
mod background;
mod calls;
mod claims;
mod generate;
mod links;
mod peers;
mod relay;
mod request;
mod sync;

use crate::board::EntryBoard;
use crate::budget::Budget;
use crate::clock;
use crate::event::Kind;
use crate::http::{self, Body, Incoming};
use crate::id::{InstanceId, IntentVersion, Workspace};
use crate::peer::{Listener, PeerError};
use crate::place::Placer;
use crate::problem::{Problem, ProblemKind};
use crate::process::Process;
use crate::quarantine::Quarantine;
use crate::shutdown;
use crate::store::{Etcd, InstanceList};
use crate::text::Text;
use actix_http::{Method, Request, Response};
use claims::Claims;
use links::LinkState;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

/// Most requests of one workspace open at one entry.
const WORKSPACE_OPEN: u32 = 512;
/// Time that a refused caller of a stopping entry waits before it finds another.
const DRAIN_RETRY: Duration = Duration::from_secs(1);

/// Tells why an entry cannot run.
#[derive(Debug)]
pub enum EntryError {
    /// The address for peers cannot be used.
    Peer(PeerError),
    /// The address for HTTP cannot be used.
    Http(std::io::Error),
}

/// The state of the daemon.
#[derive(Debug)]
struct Entry {
    process: Process,
    board: RefCell<EntryBoard>,
    placer: RefCell<Placer>,
    quarantine: RefCell<Quarantine>,
    budget: RefCell<Budget>,
    links: RefCell<HashMap<InstanceId, Rc<LinkState>>>,
    open: RefCell<HashMap<Workspace, u32>>,
    active: Cell<u32>,
    store: Etcd,
    list: InstanceList,
    claims: Claims,
    peers: RefCell<HashMap<InstanceId, IntentVersion>>,
    metrics: http::Metrics,
}

/// Runs an entry until it is told to stop and has finished its work.
///
/// # Errors
///
/// Returns [`EntryError`] where an address cannot be used.
pub async fn run(process: Process, metrics: http::Metrics) -> Result<(), EntryError> {
    let settings = process.settings.clone();
    let listener = Listener::bind(settings.peer).map_err(EntryError::Peer)?;
    let web = http::bind(settings.http).await.map_err(EntryError::Http)?;
    let placer =
        Placer::new(settings.placement, settings.instance.clone(), settings.centre.clone());
    let entry = Rc::new(Entry {
        board: RefCell::new(EntryBoard::default()),
        placer: RefCell::new(placer),
        quarantine: RefCell::new(Quarantine::default()),
        budget: RefCell::new(Budget::default()),
        links: RefCell::new(HashMap::new()),
        open: RefCell::new(HashMap::new()),
        active: Cell::new(0),
        store: Etcd::new(settings.store),
        list: InstanceList::new(settings.list),
        claims: Claims::default(),
        peers: RefCell::new(HashMap::new()),
        metrics,
        process,
    });
    entry.process.event(Kind::Started, &settings.instance, "entry");
    actix_rt::spawn(peers::serve(entry.clone(), listener));
    actix_rt::spawn(background::read_list(entry.clone()));
    actix_rt::spawn(background::gossip(entry.clone()));
    actix_rt::spawn(background::lead(entry.clone()));
    actix_rt::spawn(background::eject(entry.clone()));
    actix_rt::spawn(sync::watch_store(entry.clone()));
    actix_rt::spawn(claims::flush(entry.clone()));
    let handler = entry.clone();
    actix_rt::spawn(http::serve(web, move |req| handle(handler.clone(), req)));
    shutdown::requested().await;
    stop(&entry).await;
    Ok(())
}

/// Takes nothing new and returns when every answer under way is finished.
async fn stop(e: &Entry) {
    e.board.borrow_mut().draining = true;
    e.process.event(Kind::Draining, &e.process.settings.instance, "");
    while e.active.get() > 0 {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    // The last bytes leave through connections that are still open.
    tokio::time::sleep(Duration::from_millis(300)).await;
    e.process.event(Kind::Stopped, &e.process.settings.instance, "");
}

async fn handle(e: Rc<Entry>, req: Request) -> Response<Body> {
    match req.path() {
        "/metrics" => return http::full(200, "text/plain", e.metrics.render()),
        "/healthz" => return health(&e),
        _ => {}
    }
    let is_call = req.path().starts_with("/s/");
    let answered = match http::read(req, http::BODY_LIMIT.max(crate::text::TEXT_LIMIT)).await {
        Ok(incoming) => route(&e, incoming).await,
        Err(p) if is_call => Err(p.unsure()),
        Err(p) => Err(p),
    };
    answered.unwrap_or_else(|p| {
        metrics::counter!("refusals_total", "kind" => p.kind.to_string()).increment(1);
        http::refuse(&p)
    })
}

fn health(e: &Entry) -> Response<Body> {
    let is_ready = !e.board.borrow().draining && e.process.version().0 > 0;
    let status = if is_ready { 200 } else { 503 };
    http::full(status, "text/plain", if is_ready { "ok" } else { "not ready" })
}

async fn route(e: &Rc<Entry>, req: Incoming) -> Result<Response<Body>, Problem> {
    let path = req.path.clone();
    if let Some(rest) = path.strip_prefix("/admin/") {
        return admin::answer(e, &req, rest).await;
    }
    if req.body.len() > http::BODY_LIMIT {
        let detail = format!("the body is over {} bytes", http::BODY_LIMIT);
        return Err(Problem::new(ProblemKind::TooLarge, detail));
    }
    // An entry that has no text yet, or an old one, cannot tell whether a call ran elsewhere.
    let is_call = path.starts_with("/s/");
    let doubt = |p: Problem| if is_call { p.unsure() } else { p };
    if e.process.version().0 == 0 {
        let problem = Problem::new(ProblemKind::NotReady, "no text is in force here yet");
        return Err(doubt(problem.retry(DRAIN_RETRY)));
    }
    let workspace = authenticate(e, &req).map_err(doubt)?;
    match (&req.method, &*path) {
        (&Method::POST, "/v1/completions") => generate::answer(e, &req, workspace, false).await,
        (&Method::POST, "/v1/chat/completions") => generate::answer(e, &req, workspace, true).await,
        (&Method::POST, "/v1/keys") => calls::mint(e, &req),
        (&Method::GET, "/v1/models") => Ok(models(e)),
        (method, path) => {
            if let Some(id) = path.strip_prefix("/v1/generations/") {
                return generate::by_id(e, &req, method, id).await;
            }
            if let Some(rest) = path.strip_prefix("/s/") {
                return calls::answer(e, &req, &workspace, rest).await;
            }
            Err(Problem::new(ProblemKind::NotFound, "no such path"))
        }
    }
}

fn authenticate(e: &Entry, req: &Incoming) -> Result<Workspace, Problem> {
    let text = e.text();
    let found = req.bearer().and_then(|key| text.workspace(key).cloned());
    found.ok_or_else(|| Problem::new(ProblemKind::Unauthorized, "the API key is not known"))
}

fn models(e: &Entry) -> Response<Body> {
    let text = e.text();
    let is_model = |s: &&crate::text::Service| matches!(s.kind, crate::text::ServiceKind::Model(_));
    let names = text.services.iter().filter(|(_, s)| is_model(s)).map(|(n, _)| n);
    let data: Vec<_> =
        names.map(|n| serde_json::json!({ "id": n.as_str(), "object": "model" })).collect();
    http::json(200, &serde_json::json!({ "object": "list", "data": data }))
}

impl Entry {
    fn text(&self) -> Rc<Text> {
        self.process.intent.borrow().text()
    }

    /// Counts a request as open for as long as the returned value lives.
    ///
    /// # Errors
    ///
    /// Returns a problem where this entry stops or the workspace has too many open.
    fn enter(self: &Rc<Self>, workspace: &Workspace) -> Result<Open, Problem> {
        if self.board.borrow().draining {
            let problem = Problem::new(ProblemKind::Draining, "this entry is stopping");
            return Err(problem.retry(DRAIN_RETRY));
        }
        let mut open = self.open.borrow_mut();
        let n = open.entry(workspace.clone()).or_default();
        if *n >= WORKSPACE_OPEN {
            let detail = format!("{WORKSPACE_OPEN} requests of this workspace are open");
            return Err(Problem::new(ProblemKind::TooMany, detail).retry(DRAIN_RETRY));
        }
        *n += 1;
        self.active.set(self.active.get() + 1);
        metrics::gauge!("requests_open").set(f64::from(self.active.get()));
        Ok(Open { entry: self.clone(), workspace: workspace.clone() })
    }
}

/// A request that is open.
#[derive(Debug)]
struct Open {
    entry: Rc<Entry>,
    workspace: Workspace,
}

impl Drop for Open {
    fn drop(&mut self) {
        let e = &self.entry;
        e.active.set(e.active.get() - 1);
        metrics::gauge!("requests_open").set(f64::from(e.active.get()));
        let mut open = e.open.borrow_mut();
        if let Some(n) = open.get_mut(&self.workspace) {
            *n -= 1;
            if *n == 0 {
                open.remove(&self.workspace);
            }
        }
    }
}

/// Spreads a time by a quarter either way, so that processes do not act together.
fn jitter(time: Duration) -> Duration {
    time.mul_f64(0.75 + rand::random::<f64>() / 2.0)
}

/// Returns the time from `start` to now.
fn since(start: std::time::Instant) -> Duration {
    clock::now().saturating_duration_since(start)
}

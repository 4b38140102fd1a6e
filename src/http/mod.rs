//! HTTP server for callers and operators, a client without a connection pool, and metrics.

mod connection;
mod screen;

use crate::clock;
use crate::net::{self, Accept, Opening, Purpose};
use crate::problem::{Problem, ProblemKind};
use crate::task;
use actix_http::body::{BodySize, MessageBody};
use actix_http::header::HeaderMap;
use actix_http::{
    HttpMessage, HttpService, Method, Payload, Protocol, Request, Response, StatusCode, Version,
};
use actix_rt::net::TcpListener;
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use connection::{BODY_TIMEOUT, BodyLimit, Connection};
use futures_util::StreamExt;
use percent_encoding::percent_decode_str;
use std::borrow::Cow;
use std::cell::Cell;
use std::convert::Infallible;
use std::error::Error;
use std::fmt;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::mpsc;

/// Largest request body, except for submitted configurations.
pub const MAX_BODY_BYTES: usize = 2 << 20;
/// Maximum number of open connections per listener; a daemon has one listener.
const MAX_CONNECTIONS: usize = 10_000;
/// Kernel send buffer of a connection, which fills up if the caller does not read.
const SEND_BUFFER_BYTES: usize = 128 << 10;
/// Time limit for a caller to send the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(75);

/// Request whose body has been received completely.
#[derive(Debug)]
pub struct Incoming {
    /// HTTP method.
    pub method: Method,
    /// Path without the query.
    pub path: Box<str>,
    /// Query without the `?`.
    pub query: Box<str>,
    /// Request headers.
    pub headers: HeaderMap,
    /// Complete body; empty if the request has none.
    pub body: Bytes,
}

impl Incoming {
    /// Returns the value of a header if it is visible ASCII text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }

    /// Returns the bearer token of the `authorization` header.
    pub fn bearer_token(&self) -> Option<&str> {
        self.header("authorization").and_then(|v| v.strip_prefix("Bearer "))
    }

    /// Returns the value of a query parameter, percent-decoded.
    pub fn query_param(&self, name: &str) -> Option<Cow<'_, str>> {
        let mut pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        let (_, value) = pairs.find(|(k, _)| *k == name)?;
        Some(percent_decode_str(value).decode_utf8_lossy())
    }
}

/// Reads the body of a request, up to `limit` bytes.
///
/// # Errors
///
/// Returns a problem if the body is too large, incomplete or does not arrive in time.
pub async fn read_request(mut req: Request, limit: usize) -> Result<Incoming, Problem> {
    let mut payload = req.take_payload();
    let mut body = BytesMut::new();
    let all = async {
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|e| {
                let detail = format!("reading the request body failed: {e}");
                Problem::new(ProblemKind::Malformed, detail)
            })?;
            if body.len() + chunk.len() > limit {
                let detail = format!("request body is over the limit of {limit} bytes");
                return Err(Problem::new(ProblemKind::TooLarge, detail));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(())
    };
    match tokio::time::timeout(BODY_TIMEOUT, all).await {
        Ok(done) => done?,
        Err(_) => {
            let detail = format!("request body did not arrive within {BODY_TIMEOUT:?}");
            return Err(Problem::new(ProblemKind::Malformed, detail));
        }
    }
    if let Some(limit) = req.conn_data::<Rc<BodyLimit>>() {
        limit.finish();
    }
    Ok(Incoming {
        method: req.method().clone(),
        path: req.path().into(),
        query: req.uri().query().unwrap_or("").into(),
        headers: req.headers().clone(),
        body: body.freeze(),
    })
}

/// Body of a response.
#[derive(Debug)]
pub enum Body {
    /// Complete body, sent with its length.
    Full(Bytes),
    /// Body that is sent in chunks as the channel yields them; `None` after the last one.
    Stream(Option<mpsc::Receiver<Chunk>>),
    /// None, in the response to a HEAD request; holds the length of the body that is left out.
    Omitted(Option<u64>),
}

/// Part of a body whose length is not known before.
#[derive(Debug)]
pub enum Chunk {
    /// Another part follows.
    More(Bytes),
    /// The body is complete.
    Last(Bytes),
}

/// The sender of a body was dropped before the last chunk.
#[derive(Debug)]
pub struct CutOff;

impl fmt::Display for CutOff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("body cut off before its last chunk")
    }
}

impl Error for CutOff {}

impl MessageBody for Body {
    type Error = CutOff;

    fn size(&self) -> BodySize {
        match self {
            Body::Full(b) => BodySize::Sized(b.len() as u64),
            Body::Stream(_) => BodySize::Stream,
            Body::Omitted(length) => length.map_or(BodySize::None, BodySize::Sized),
        }
    }

    fn poll_next(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, CutOff>>> {
        match self.get_mut() {
            Body::Full(b) if b.is_empty() => Poll::Ready(None),
            Body::Full(b) => Poll::Ready(Some(Ok(std::mem::take(b)))),
            Body::Stream(chunks) => poll_chunk(chunks, cx),
            Body::Omitted(_) => Poll::Ready(None),
        }
    }
}

/// Returns the next part of a body, `None` at its end. An error makes the server close the connection
/// without the last chunk.
fn poll_chunk(
    chunks: &mut Option<mpsc::Receiver<Chunk>>,
    cx: &mut Context<'_>,
) -> Poll<Option<Result<Bytes, CutOff>>> {
    let Some(rx) = chunks else { return Poll::Ready(None) };
    let chunk = ready!(rx.poll_recv(cx));
    Poll::Ready(Some(match chunk {
        Some(Chunk::More(bytes)) => Ok(bytes),
        Some(Chunk::Last(bytes)) => {
            *chunks = None;
            Ok(bytes)
        }
        None => Err(CutOff),
    }))
}

/// Builds a response with a complete body and the content type `content`.
pub fn full_response(status: u16, content: &str, body: impl Into<Bytes>) -> Response<Body> {
    build_response(status, content, Body::Full(body.into()))
}

/// Builds the response to a HEAD request, with the length of the body that it leaves out.
pub fn head_response(status: u16, content: &str, length: Option<u64>) -> Response<Body> {
    build_response(status, content, Body::Omitted(length))
}

fn build_response(status: u16, content: &str, body: Body) -> Response<Body> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut res = Response::build(status);
    res.insert_header(("content-type", content));
    set_body(res.finish().drop_body(), body)
}

fn set_body(res: Response<()>, body: Body) -> Response<Body> {
    res.set_body(body)
}

/// Builds a response with `value` as JSON.
pub fn json_response<T: serde::Serialize>(status: u16, value: &T) -> Response<Body> {
    full_response(status, "application/json", serde_json::to_vec(value).unwrap_or_default())
}

/// Builds the response for a problem, with a `retry-after` header if it has a retry delay.
pub fn problem_response(problem: &Problem) -> Response<Body> {
    let mut res =
        full_response(problem.kind.status(), "application/problem+json", problem.to_json());
    if let Some(after) = problem.retry_after {
        // The header takes whole seconds; the delay is rounded up.
        let secs = after.as_millis().div_ceil(1000).max(1) as u64;
        res.headers_mut().insert(actix_http::header::RETRY_AFTER, secs.into());
    }
    res
}

/// Builds a response that streams server-sent events from a channel. It is cut off if the channel
/// closes before the last chunk.
pub fn event_stream(rx: mpsc::Receiver<Chunk>) -> Response<Body> {
    let mut res = Response::build(StatusCode::OK);
    res.insert_header(("content-type", "text/event-stream"));
    res.insert_header(("cache-control", "no-store"));
    set_body(res.finish().drop_body(), Body::Stream(Some(rx)))
}

/// Reads a body to its end, so that it is sent with its length: HTTP/1.0 has no chunks, and the end of
/// its connection does not show whether a body is whole.
async fn collect_body(response: Response<Body>) -> Response<Body> {
    let (head, body) = response.into_parts();
    let Body::Stream(chunks) = body else { return set_body(head, body) };
    let mut stream = pin!(Body::Stream(chunks));
    let mut whole = BytesMut::new();
    while let Some(chunk) = poll_fn(|cx| stream.as_mut().poll_next(cx)).await {
        match chunk {
            Ok(bytes) => whole.extend_from_slice(&bytes),
            Err(e) => {
                return problem_response(&Problem::new(ProblemKind::Incomplete, e.to_string()));
            }
        }
    }
    set_body(head, Body::Full(whole.freeze()))
}

/// Handle to the metrics of this process.
#[derive(Debug, Clone)]
pub struct Metrics(metrics_exporter_prometheus::PrometheusHandle);

impl Metrics {
    /// Installs the global metrics recorder; `None` if one is installed already.
    pub fn install() -> Option<Metrics> {
        let builder = metrics_exporter_prometheus::PrometheusBuilder::new();
        builder.install_recorder().ok().map(Metrics)
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.0.render()
    }
}

/// Starts to listen on an address for [`serve`].
pub fn open(address: SocketAddr, purpose: Purpose) -> Opening<TcpListener> {
    Opening::start(address, purpose, net::listen)
}

/// Accepts connections and answers their requests for as long as the process runs.
///
/// Connections above the limit on open connections are closed at once, and those whose body does not
/// arrive in time even if it was answered before.
pub async fn serve<F, Fut>(listener: &mut impl Accept, handler: F)
where
    F: Fn(Request) -> Fut + Clone + 'static,
    Fut: Future<Output = Response<Body>> + 'static,
{
    let respond = move |mut req: Request| {
        let has_chunks = req.version() >= Version::HTTP_11;
        let has_body = !matches!(req.payload(), Payload::None);
        if let Some(limit) = req.conn_data::<Rc<BodyLimit>>() {
            limit.begin(clock::now(), has_body);
        }
        let response = handler.clone()(req);
        async move {
            let response = response.await;
            let response = if has_chunks { response } else { collect_body(response).await };
            Ok::<_, Infallible>(response)
        }
    };
    let factory = HttpService::build()
        .keep_alive(IDLE_TIMEOUT)
        .client_request_timeout(HEAD_TIMEOUT)
        .on_connect_ext(|io: &Connection, data| {
            data.insert(io.limit.clone());
        })
        .finish(fn_service(respond).into_factory());
    let Ok(service) = factory.new_service(()).await else { return };
    let service = Rc::new(service);
    let open = Rc::new(Cell::new(0usize));
    loop {
        let stream = listener.accept().await;
        if open.get() >= MAX_CONNECTIONS {
            continue;
        }
        // Limits the kernel memory for a caller that does not read; the default reaches megabytes.
        let _ = socket2::SockRef::from(&stream).set_send_buffer_size(SEND_BUFFER_BYTES);
        let _ = stream.set_nodelay(true);
        let (service, open) = (service.clone(), open.clone());
        actix_rt::spawn(async move {
            open.set(open.get() + 1);
            let io = Connection::new(stream);
            let (limit, refused) = (io.limit.clone(), io.refused.clone());
            let served = task::run("connection", service.call((io, Protocol::Http1, None)));
            tokio::select! {
                _ = served => {}
                () = limit.passed() => {}
            }
            if let Some(stream) = refused.take() {
                connection::linger(stream).await;
            }
            open.set(open.get() - 1);
        });
    }
}

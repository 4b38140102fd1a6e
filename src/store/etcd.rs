//! Client of etcd v3 through its JSON gateway over HTTP.

use super::failure::LastCall;
use super::{
    CallFailure, Compare, LeaseId, Leases, Op, Origin, Store, StoreError, StoredValue, TxnOutcome,
    failure_label,
};
use crate::h1::{self, Broken, CallLimits, FetchError, Outbound};
use actix_http::{Method, RequestHead, ServiceConfig, StatusCode};
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde_json::{Value, json};
use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// Time limit of a call; for a watch, of the call that opens it.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time limit of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Largest response, or line of a watch response, in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Code of the error "not found", which etcd returns for an expired lease.
const NOT_FOUND: u64 = 5;

const RANGE_CALL: &str = "/v3/kv/range";
const TXN_CALL: &str = "/v3/kv/txn";
const GRANT_CALL: &str = "/v3/lease/grant";
const RENEW_CALL: &str = "/v3/lease/keepalive";
const WATCH_CALL: &str = "/v3/watch";

/// Client of an etcd server.
#[derive(Clone)]
pub struct Etcd {
    config: ServiceConfig,
    address: SocketAddr,
    last: LastCall,
}

impl std::fmt::Debug for Etcd {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Etcd({})", self.address)
    }
}

impl Etcd {
    /// Creates a client, which connects for each call.
    pub fn new(address: SocketAddr) -> Self {
        let last = LastCall::new("store_failures_total");
        Etcd { config: ServiceConfig::default(), address, last }
    }

    /// Returns why the last call failed; empty if it did not.
    ///
    /// This is the call of an error if nothing was awaited since it was returned.
    pub fn last_failure(&self) -> CallFailure {
        self.last.failure()
    }

    /// Records that the value of a key cannot be used; returns `e`.
    pub fn fail_value(&self, key: &str, reason: impl Display, e: StoreError) -> StoreError {
        self.last.fail(key, e.to_string(), reason);
        e
    }

    /// Records that a call has no whole response.
    fn fail_call(&self, path: &str, e: &FetchError) -> StoreError {
        self.last.fail(path, failure_label(e), e);
        classify_error(e)
    }

    /// Records that the store answered a call with an error; returns `e`.
    fn fail_status(&self, path: &str, error: &EtcdError, e: StoreError) -> StoreError {
        self.last.fail(path, error.status.as_u16().to_string(), error);
        e
    }

    /// Records that a response lacks something or has an unknown form, if it does.
    fn check<T>(&self, path: &str, parsed: Result<T, StoreError>) -> Result<T, StoreError> {
        if let Err(StoreError::Malformed) = parsed {
            self.last.fail(path, "malformed", "the response has an unknown form");
        }
        parsed
    }

    /// Builds a request with a JSON body.
    fn request(&self, path: &str, body: &Value) -> Result<(RequestHead, Bytes), StoreError> {
        metrics::counter!("store_calls_total").increment(1);
        let head = h1::request_head(self.address, Method::POST, path, Some("application/json"));
        let head = head.ok_or_else(|| {
            self.last.fail(path, "invalid-target", "invalid target");
            StoreError::Unreached
        })?;
        Ok((head, body.to_string().into()))
    }

    /// Makes a call; an answer with an error is returned as `refused`.
    async fn call(
        &self,
        path: &str,
        body: &Value,
        refused: StoreError,
    ) -> Result<Value, StoreError> {
        match self.send(path, body).await? {
            Reply::Done(v) => Ok(v),
            Reply::Failed(error) => Err(self.fail_status(path, &error, refused)),
        }
    }

    /// Opens a watch, whose response has no end.
    async fn open_watch(&self, body: &Value) -> Result<Outbound, StoreError> {
        let (head, body) = self.request(WATCH_CALL, body)?;
        let sent = Outbound::connect(self.address, CONNECT_TIMEOUT, &self.config, head, body).await;
        let fail = |e| self.fail_call(WATCH_CALL, &e);
        let mut out = sent.map_err(|e| fail(FetchError::Unsent(e)))?;
        let head = out.read_head().await.map_err(|e| fail(FetchError::Broken(e)))?;
        if head.status == StatusCode::OK {
            return Ok(out);
        }
        let error = EtcdError { status: head.status, code: None };
        Err(self.fail_status(WATCH_CALL, &error, StoreError::Refused))
    }

    async fn send(&self, path: &str, body: &Value) -> Result<Reply, StoreError> {
        let (head, body) = self.request(path, body)?;
        let limits = CallLimits {
            connect: CONNECT_TIMEOUT,
            wait: CALL_TIMEOUT,
            max_body: MAX_RESPONSE_BYTES,
        };
        let called = h1::fetch(self.address, &limits, &self.config, head, body).await;
        let (head, body) = called.map_err(|e| self.fail_call(path, &e))?;
        let parsed = serde_json::from_slice::<Value>(&body);
        if !head.status.is_success() {
            let code = parsed.ok().and_then(|v| v["code"].as_u64());
            return Ok(Reply::Failed(EtcdError { status: head.status, code }));
        }
        let parsed = parsed.map_err(|e| {
            self.last.fail(path, "malformed", e);
            StoreError::Malformed
        })?;
        self.last.succeed();
        Ok(Reply::Done(parsed))
    }
}

/// Response of etcd to a call.
#[derive(Debug)]
enum Reply {
    Done(Value),
    /// The call may have taken effect.
    Failed(EtcdError),
}

/// An answer that is an error.
#[derive(Debug)]
struct EtcdError {
    status: StatusCode,
    /// Code in the body, if there is one.
    code: Option<u64>,
}

impl Display for EtcdError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "status {}", self.status.as_u16())?;
        self.code.map_or(Ok(()), |code| write!(f, ", code {code}"))
    }
}

fn classify_error(e: &FetchError) -> StoreError {
    match e {
        FetchError::Unsent(_) => StoreError::Unreached,
        FetchError::Broken(_) | FetchError::Slow => StoreError::Lost,
    }
}

fn encode_base64(s: &[u8]) -> String {
    STANDARD.encode(s)
}

/// Parses an integer. The gateway encodes 64-bit integers as JSON strings.
fn parse_number(v: &Value) -> Option<u64> {
    v.as_u64().or_else(|| v.as_str()?.parse().ok())
}

fn parse_value(kv: &Value) -> Result<StoredValue, StoreError> {
    let value = STANDARD.decode(kv["value"].as_str().unwrap_or(""));
    let value = value.map_err(|_| StoreError::Malformed)?;
    let revision = parse_number(&kv["mod_revision"]).ok_or(StoreError::Malformed)?;
    Ok(StoredValue { value, revision })
}

/// Returns the value that a read has found; `None` if its key does not exist.
fn parse_range(range: &Value) -> Result<Option<StoredValue>, StoreError> {
    range["kvs"].get(0).map(parse_value).transpose()
}

fn encode_compare(c: &Compare) -> Value {
    match c {
        Compare::Absent(key) => json!({
            "key": encode_base64(key.as_bytes()), "target": "VERSION", "result": "EQUAL",
            "version": "0"
        }),
        Compare::Value(key, value) => json!({
            "key": encode_base64(key.as_bytes()), "target": "VALUE", "result": "EQUAL",
            "value": encode_base64(value)
        }),
    }
}

fn encode_op(op: &Op) -> Value {
    match op {
        Op::Get(key) => json!({ "request_range": { "key": encode_base64(key.as_bytes()) } }),
        Op::Put(key, value, lease) => json!({ "request_put": {
            "key": encode_base64(key.as_bytes()), "value": encode_base64(value),
            "lease": lease.map_or(0, |l| l.0).to_string()
        } }),
        Op::Claim(key, value, lease) => json!({ "request_txn": {
            "compare": [encode_compare(&Compare::Absent(key.clone()))],
            "success": [encode_op(&Op::Put(key.clone(), value.clone(), *lease))],
            "failure": [encode_op(&Op::Get(key.clone()))],
        } }),
    }
}

fn encode_txn(compares: &[Compare], then: &[Op], otherwise: &[Op]) -> Value {
    json!({
        "compare": compares.iter().map(encode_compare).collect::<Vec<_>>(),
        "success": then.iter().map(encode_op).collect::<Vec<_>>(),
        "failure": otherwise.iter().map(encode_op).collect::<Vec<_>>(),
    })
}

/// Returns the result of a read or a claim, as in [`TxnOutcome::found`]; `None` for a write.
fn parse_found(response: &Value) -> Option<Result<Option<StoredValue>, StoreError>> {
    if let Some(range) = response.get("response_range") {
        return Some(parse_range(range));
    }
    let claim = response.get("response_txn")?;
    if claim["succeeded"].as_bool().unwrap_or(false) {
        return Some(Ok(None));
    }
    // A claim fails only if its key exists, so a value has to be there.
    let found = claim["responses"].get(0).map(|read| parse_range(&read["response_range"]));
    Some(match found {
        Some(Ok(Some(value))) => Ok(Some(value)),
        _ => Err(StoreError::Malformed),
    })
}

fn parse_outcome(v: &Value) -> Result<TxnOutcome, StoreError> {
    let empty = Vec::new();
    let responses = v["responses"].as_array().unwrap_or(&empty);
    let found = responses.iter().filter_map(parse_found).collect::<Result<_, _>>()?;
    let succeeded = v["succeeded"].as_bool().unwrap_or(false);
    let revision = parse_number(&v["header"]["revision"]).ok_or(StoreError::Malformed)?;
    let part = |name: &str| parse_number(&v["header"][name]).unwrap_or(0);
    let origin = Origin { cluster: part("cluster_id"), term: part("raft_term") };
    Ok(TxnOutcome { succeeded, revision, origin, found })
}

impl Leases for Etcd {
    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let body = json!({ "TTL": ttl.as_secs().to_string() });
        let v = self.call(GRANT_CALL, &body, StoreError::Lost).await?;
        let lease = parse_number(&v["ID"]).map(LeaseId).ok_or(StoreError::Malformed);
        self.check(GRANT_CALL, lease)
    }

    async fn renew(&self, lease: LeaseId) -> Result<bool, StoreError> {
        let body = json!({ "ID": lease.0.to_string() });
        let v = self.call(RENEW_CALL, &body, StoreError::Lost).await?;
        Ok(parse_number(&v["result"]["TTL"]).is_some_and(|ttl| ttl > 0))
    }

    async fn put(&self, key: &str, value: &[u8], lease: LeaseId) -> Result<bool, StoreError> {
        let op = Op::Put(key.to_owned(), value.to_vec(), Some(lease));
        match self.send(TXN_CALL, &encode_txn(&[], &[op], &[])).await? {
            Reply::Done(v) => {
                let outcome = self.check(TXN_CALL, parse_outcome(&v));
                outcome.map(|o| o.succeeded).map_err(|_| StoreError::Lost)
            }
            Reply::Failed(EtcdError { code: Some(NOT_FOUND), .. }) => Ok(false),
            Reply::Failed(error) => Err(self.fail_status(TXN_CALL, &error, StoreError::Lost)),
        }
    }
}

impl Store for Etcd {
    async fn get(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        let body = json!({ "key": encode_base64(key.as_bytes()) });
        let v = self.call(RANGE_CALL, &body, StoreError::Refused).await?;
        let revision = parse_number(&v["header"]["revision"]).ok_or(StoreError::Malformed);
        self.check(RANGE_CALL, revision.and_then(|_| parse_range(&v)))
    }

    async fn txn(
        &self,
        compares: &[Compare],
        then: &[Op],
        otherwise: &[Op],
    ) -> Result<TxnOutcome, StoreError> {
        // Without writes, a call that is answered with an error has had no effect.
        let is_read = then.iter().chain(otherwise).all(|op| matches!(op, Op::Get(_)));
        let refused = if is_read { StoreError::Refused } else { StoreError::Lost };
        let v = self.call(TXN_CALL, &encode_txn(compares, then, otherwise), refused).await?;
        let outcome = self.check(TXN_CALL, parse_outcome(&v))?;
        let run = if outcome.succeeded { then } else { otherwise };
        let reads = run.iter().filter(|op| !matches!(op, Op::Put(..))).count();
        let is_whole = outcome.found.len() == reads;
        self.check(TXN_CALL, if is_whole { Ok(outcome) } else { Err(StoreError::Malformed) })
    }

    async fn wait_for_change(
        &self,
        key: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<Option<StoredValue>, StoreError> {
        let body = json!({ "create_request": {
            "key": encode_base64(key.as_bytes()), "start_revision": (revision + 1).to_string()
        } });
        let opened = timeout(CALL_TIMEOUT, self.open_watch(&body)).await;
        let fail = |e| self.fail_call(WATCH_CALL, &e);
        let mut watch = opened.map_err(|_| fail(FetchError::Slow))??;
        let mut line = Vec::new();
        let end = tokio::time::sleep(wait);
        tokio::pin!(end);
        loop {
            let chunk = tokio::select! {
                () = &mut end => return Ok(None),
                chunk = watch.read_chunk() => chunk,
            };
            let chunk = chunk.and_then(|chunk| chunk.ok_or(Broken::Early));
            for byte in chunk.map_err(|e| fail(FetchError::Broken(e)))? {
                if byte != b'\n' {
                    line.push(byte);
                    continue;
                }
                if let Some(stored) = self.check(WATCH_CALL, parse_watch_line(&line))? {
                    return Ok(Some(stored));
                }
                line.clear();
            }
            if line.len() > MAX_RESPONSE_BYTES {
                return self.check(WATCH_CALL, Err(StoreError::Malformed));
            }
        }
    }
}

/// Returns the newest write in one line of a watch response, if it has one.
fn parse_watch_line(line: &[u8]) -> Result<Option<StoredValue>, StoreError> {
    let v: Value = serde_json::from_slice(line).map_err(|_| StoreError::Malformed)?;
    if parse_number(&v["result"]["compact_revision"]).is_some_and(|n| n > 0) {
        return Err(StoreError::Compacted);
    }
    let empty = Vec::new();
    let events = v["result"]["events"].as_array().unwrap_or(&empty);
    let puts = events.iter().filter(|e| e["type"].as_str().unwrap_or("PUT") == "PUT");
    puts.map(|e| parse_value(&e["kv"])).next_back().transpose()
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn parsing_an_arbitrary_watch_line_does_not_panic(line in ".{0,120}") {
            let _ = parse_watch_line(line.as_bytes());
        }
    }
}

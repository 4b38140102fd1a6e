//! The JSON gateway of etcd v3 over HTTP.

use super::{Compare, LeaseId, Leases, Op, Store, StoreError, StoredValue, TxnOutcome};
use awc::error::SendRequestError;
use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use futures_util::StreamExt;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::time::Duration;

/// Time that a call may take.
const CALL_TIME: Duration = Duration::from_secs(2);
/// Largest answer in bytes.
const ANSWER_LIMIT: usize = 4 << 20;

/// A client of the key-value service.
#[derive(Clone)]
pub struct Etcd {
    client: awc::Client,
    address: SocketAddr,
}

impl std::fmt::Debug for Etcd {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "Etcd({})", self.address)
    }
}

impl Etcd {
    /// Makes a client; it connects when it is used.
    pub fn new(address: SocketAddr) -> Self {
        let connector = awc::Connector::new().timeout(Duration::from_millis(500));
        let client = awc::Client::builder().connector(connector).timeout(CALL_TIME).finish();
        Etcd { client, address }
    }

    async fn call(&self, path: &str, body: &Value) -> Result<Value, StoreError> {
        metrics::counter!("store_calls_total").increment(1);
        let url = format!("http://{}/v3/{path}", self.address);
        let sent = self.client.post(url).send_json(body).await;
        let mut res = sent.map_err(|e| scan_error(&e))?;
        let answer = res.body().limit(ANSWER_LIMIT).await.map_err(|_| StoreError::Lost)?;
        if !res.status().is_success() {
            return Err(StoreError::Lost);
        }
        serde_json::from_slice(&answer).map_err(|_| StoreError::Malformed)
    }
}

fn scan_error(e: &SendRequestError) -> StoreError {
    match e {
        SendRequestError::Connect(_) => StoreError::Unreached,
        _ => StoreError::Lost,
    }
}

fn encode(s: &[u8]) -> String {
    STANDARD.encode(s)
}

/// Reads a whole number, which the gateway writes as a string.
fn scan_number(v: &Value) -> Option<u64> {
    v.as_u64().or_else(|| v.as_str()?.parse().ok())
}

fn scan_stored(kv: &Value) -> Option<StoredValue> {
    let value = STANDARD.decode(kv["value"].as_str().unwrap_or("")).ok()?;
    Some(StoredValue { value, revision: scan_number(&kv["mod_revision"])? })
}

fn compare_json(c: &Compare) -> Value {
    match c {
        Compare::Absent(key) => json!({
            "key": encode(key.as_bytes()), "target": "VERSION", "result": "EQUAL", "version": "0"
        }),
        Compare::Revision(key, n) => json!({
            "key": encode(key.as_bytes()), "target": "MOD", "result": "EQUAL",
            "mod_revision": n.to_string()
        }),
    }
}

fn op_json(op: &Op) -> Value {
    match op {
        Op::Get(key) => json!({ "request_range": { "key": encode(key.as_bytes()) } }),
        Op::Put(key, value, lease) => json!({ "request_put": {
            "key": encode(key.as_bytes()), "value": encode(value),
            "lease": lease.map_or(0, |l| l.0).to_string()
        } }),
        Op::Claim(key, value, lease) => json!({ "request_txn": {
            "compare": [compare_json(&Compare::Absent(key.clone()))],
            "success": [op_json(&Op::Put(key.clone(), value.clone(), *lease))],
            "failure": [op_json(&Op::Get(key.clone()))],
        } }),
    }
}

/// Reads what a read or a claim found; `None` for a write.
fn scan_found(response: &Value) -> Option<Option<StoredValue>> {
    if let Some(range) = response.get("response_range") {
        return Some(range["kvs"].get(0).and_then(scan_stored));
    }
    let claim = response.get("response_txn")?;
    if claim["succeeded"].as_bool().unwrap_or(false) {
        return Some(None);
    }
    Some(claim["responses"].get(0).and_then(scan_found).flatten())
}

fn scan_outcome(v: &Value) -> Option<TxnOutcome> {
    let empty = Vec::new();
    let responses = v["responses"].as_array().unwrap_or(&empty);
    let found = responses.iter().filter_map(scan_found).collect();
    let succeeded = v["succeeded"].as_bool().unwrap_or(false);
    Some(TxnOutcome { succeeded, revision: scan_number(&v["header"]["revision"])?, found })
}

impl Leases for Etcd {
    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let v = self.call("lease/grant", &json!({ "TTL": ttl.as_secs().to_string() })).await?;
        scan_number(&v["ID"]).map(LeaseId).ok_or(StoreError::Malformed)
    }

    async fn renew(&self, lease: LeaseId) -> Result<bool, StoreError> {
        let v = self.call("lease/keepalive", &json!({ "ID": lease.0.to_string() })).await?;
        Ok(scan_number(&v["result"]["TTL"]).is_some_and(|ttl| ttl > 0))
    }

    async fn put(&self, key: &str, value: &[u8], lease: LeaseId) -> Result<bool, StoreError> {
        let op = Op::Put(key.to_owned(), value.to_vec(), Some(lease));
        self.txn(&[], &[op], &[]).await.map(|o| o.succeeded)
    }
}

impl Store for Etcd {
    async fn get(&self, key: &str) -> Result<Option<StoredValue>, StoreError> {
        let v = self.call("kv/range", &json!({ "key": encode(key.as_bytes()) })).await?;
        scan_number(&v["header"]["revision"]).ok_or(StoreError::Malformed)?;
        Ok(v["kvs"].get(0).and_then(scan_stored))
    }

    async fn txn(
        &self,
        compares: &[Compare],
        then: &[Op],
        otherwise: &[Op],
    ) -> Result<TxnOutcome, StoreError> {
        let body = json!({
            "compare": compares.iter().map(compare_json).collect::<Vec<_>>(),
            "success": then.iter().map(op_json).collect::<Vec<_>>(),
            "failure": otherwise.iter().map(op_json).collect::<Vec<_>>(),
        });
        let v = self.call("kv/txn", &body).await?;
        scan_outcome(&v).ok_or(StoreError::Malformed)
    }

    async fn wait_for_change(
        &self,
        key: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<Option<StoredValue>, StoreError> {
        metrics::counter!("store_calls_total").increment(1);
        let url = format!("http://{}/v3/watch", self.address);
        let body = json!({ "create_request": {
            "key": encode(key.as_bytes()), "start_revision": (revision + 1).to_string()
        } });
        let sent = self.client.post(url).timeout(CALL_TIME).send_json(&body).await;
        let mut res = sent.map_err(|e| scan_error(&e))?;
        let mut line = Vec::new();
        let end = tokio::time::sleep(wait);
        tokio::pin!(end);
        loop {
            let chunk = tokio::select! {
                () = &mut end => return Ok(None),
                chunk = res.next() => chunk,
            };
            let chunk = chunk.ok_or(StoreError::Lost)?.map_err(|_| StoreError::Lost)?;
            for byte in chunk {
                if byte != b'\n' {
                    line.push(byte);
                    continue;
                }
                if let Some(stored) = scan_watch(&line)? {
                    return Ok(Some(stored));
                }
                line.clear();
            }
            if line.len() > ANSWER_LIMIT {
                return Err(StoreError::Malformed);
            }
        }
    }
}

/// Reads one line of a watch: the newest put, if the line has one.
fn scan_watch(line: &[u8]) -> Result<Option<StoredValue>, StoreError> {
    let v: Value = serde_json::from_slice(line).map_err(|_| StoreError::Malformed)?;
    if scan_number(&v["result"]["compact_revision"]).is_some_and(|n| n > 0) {
        return Err(StoreError::Compacted);
    }
    let empty = Vec::new();
    let events = v["result"]["events"].as_array().unwrap_or(&empty);
    let puts = events.iter().filter(|e| e["type"].as_str().unwrap_or("PUT") == "PUT");
    Ok(puts.filter_map(|e| scan_stored(&e["kv"])).next_back())
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    proptest! {
        #[test]
        fn any_line_of_a_watch_is_read_or_refused_without_a_panic(line in ".{0,120}") {
            let _ = scan_watch(line.as_bytes());
        }
    }
}

//! Client of the platform's instance list over HTTP. The list lags behind the instances' state.

use super::failure::LastCall;
use super::{CallFailure, StoreError, failure_label};
use crate::h1::{self, CallLimits, FetchError};
use crate::id::{DataCentre, InstanceId};
use actix_http::{Method, ServiceConfig, StatusCode};
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::time::Duration;

const LIST_CALL: &str = "/instances";

/// Bounds of a request for the list.
const LIMITS: CallLimits =
    CallLimits { connect: Duration::from_secs(2), wait: Duration::from_secs(2), max_body: 4 << 20 };

/// Process that runs on an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Entry process.
    Entry,
    /// Sidecar process with its endpoint.
    Endpoint,
}

/// State of an instance in the platform's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// In service.
    Live,
    /// Scheduled for removal by the platform.
    Leaving,
}

/// One entry of the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Name that the platform gave the instance.
    pub instance: InstanceId,
    /// Process that runs on it.
    pub role: Role,
    /// Data centre in which it runs.
    pub centre: DataCentre,
    /// Address for messages between entries and sidecars.
    pub peer: SocketAddr,
    /// Whether the platform is about to remove it.
    pub state: ListedState,
}

/// Client of the instance list.
#[derive(Clone)]
pub struct InstanceList {
    config: ServiceConfig,
    address: SocketAddr,
    last: LastCall,
}

impl std::fmt::Debug for InstanceList {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "InstanceList({})", self.address)
    }
}

impl InstanceList {
    /// Creates a client, which connects for each request.
    pub fn new(address: SocketAddr) -> Self {
        let last = LastCall::new("list_failures_total");
        InstanceList { config: ServiceConfig::default(), address, last }
    }

    /// Returns why the last request failed; empty if it did not.
    pub fn last_failure(&self) -> CallFailure {
        self.last.failure()
    }

    /// Fetches the current list.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if the request fails or the response is not a valid list.
    pub async fn read(&self) -> Result<Vec<ListedInstance>, StoreError> {
        metrics::counter!("list_calls_total").increment(1);
        let head = h1::request_head(self.address, Method::GET, LIST_CALL, None);
        let head = head.ok_or_else(|| {
            self.last.fail(LIST_CALL, "invalid-target", "invalid target");
            StoreError::Unreached
        })?;
        let fetched = h1::fetch(self.address, &LIMITS, &self.config, head, Bytes::new()).await;
        let (head, body) = fetched.map_err(|e| {
            self.last.fail(LIST_CALL, failure_label(&e), &e);
            match e {
                FetchError::Unsent(_) => StoreError::Unreached,
                FetchError::Broken(_) | FetchError::Slow => StoreError::Lost,
            }
        })?;
        if head.status != StatusCode::OK {
            let status = head.status.as_u16();
            self.last.fail(LIST_CALL, status.to_string(), format_args!("status {status}"));
            return Err(StoreError::Refused);
        }
        let listed = parse_instances(&body).map_err(|e| {
            self.last.fail(LIST_CALL, "malformed", &e);
            StoreError::Malformed
        })?;
        self.last.succeed();
        Ok(listed)
    }
}

/// Parses a list. Entries that cannot be read are left out.
///
/// # Errors
///
/// Returns the error of the parser if the body is no list.
pub fn parse_instances(body: &[u8]) -> Result<Vec<ListedInstance>, serde_json::Error> {
    let entries: Vec<&RawValue> = serde_json::from_slice(body)?;
    let parse = |entry: &&RawValue| match serde_json::from_str::<ListedInstance>(entry.get()) {
        Ok(i) if i.centre.as_str().parse::<DataCentre>().is_ok() => Some(i),
        Ok(i) => {
            log::warn!("{} in the instance list has an invalid data centre", i.instance);
            None
        }
        Err(e) => {
            log::warn!("an entry of the instance list cannot be read: {e}");
            None
        }
    };
    Ok(entries.iter().filter_map(parse).collect())
}

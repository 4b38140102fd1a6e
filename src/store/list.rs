//! The platform's instance list over HTTP; it lags.

use super::StoreError;
use crate::id::{DataCentre, InstanceId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Time that a read of the list may take.
const CALL_TIME: Duration = Duration::from_secs(2);
/// Largest list in bytes.
const LIST_LIMIT: usize = 4 << 20;

/// What runs on an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An entry.
    Entry,
    /// A sidecar with its endpoint.
    Endpoint,
}

/// What the platform says of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum ListedState {
    /// In service.
    Live,
    /// About to be taken away.
    Leaving,
}

/// One row of the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ListedInstance {
    /// Instance.
    pub instance: InstanceId,
    /// What runs on it.
    pub role: Role,
    /// Data centre.
    pub centre: DataCentre,
    /// Address for the system's own processes.
    pub peer: SocketAddr,
    /// State.
    pub state: ListedState,
}

/// A client of the instance list.
#[derive(Clone)]
pub struct InstanceList {
    client: awc::Client,
    address: SocketAddr,
}

impl std::fmt::Debug for InstanceList {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "InstanceList({})", self.address)
    }
}

impl InstanceList {
    /// Makes a client; it connects when it is used.
    pub fn new(address: SocketAddr) -> Self {
        InstanceList { client: awc::Client::builder().timeout(CALL_TIME).finish(), address }
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] where the platform gives no answer.
    pub async fn read(&self) -> Result<Vec<ListedInstance>, StoreError> {
        metrics::counter!("list_calls_total").increment(1);
        let url = format!("http://{}/instances", self.address);
        let mut res = self.client.get(url).send().await.map_err(|_| StoreError::Unreached)?;
        let body = res.body().limit(LIST_LIMIT).await.map_err(|_| StoreError::Lost)?;
        serde_json::from_slice(&body).map_err(|_| StoreError::Malformed)
    }
}

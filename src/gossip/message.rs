//! Messages between the instances of a fleet.

use super::{Tag, Work};
use crate::budget::Hundredths;
use crate::evacuate::Verdict;
use crate::frame::Gossip;
use crate::id::{DataCentre, InstanceId, ServiceName};
use crate::limit::{Grant, PermitRequest, Rate};
use crate::pool::Evacuation;
use crate::speed::{Report, Slowness, TokenCost};
use crate::store::{Era, KeyValue, Position};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Limit of the changes in a [`StoreChanges`] message, so that it fits a datagram.
const MAX_CHANGES_BYTES: usize = 8 << 10;
/// Encoded size of a change besides its key and value: names of fields, lengths and a revision.
const CHANGE_OVERHEAD: usize = 24;

/// Most rows of each kind in a part of a digest, which has to fit a datagram with all kinds.
const MAX_ROWS: usize = 200;
/// Most rows with a name in it, which has up to 200 bytes.
const MAX_NAMED_ROWS: usize = 50;

/// One row of a message: endpoint, then the fields of [`Work`] in their order.
pub type Row = (Tag, u32, u32, u32, u32);

/// Speed of an endpoint in a message: endpoint, its incarnation, slowness in percent (0 if not
/// stated), age of that statement in milliseconds, time per prompt token in nanoseconds (0 if not
/// known) and the weight of that in hundredths of an observation.
pub type SpeedRow = (Tag, u16, u16, u16, u32, u16);

/// The open work of one instance, sent to all others.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// Whether endpoints without a row have no open work; otherwise their rows are unchanged.
    #[serde(rename = "f")]
    pub full: bool,
    /// All rows of a full digest, or those that changed since the previous digest.
    #[serde(rename = "r")]
    pub rows: Vec<Row>,
    /// Whether the sender gets no answer from the store.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub store_down: bool,
    /// Whether entries of the store may have expired in an outage, as the sender has seen it.
    #[serde(rename = "k", default, skip_serializing_if = "std::ops::Not::not")]
    pub outage: bool,
    /// Store revision up to which the sender has passed changes on; 0 if it is no reader.
    #[serde(rename = "v", default)]
    pub revision: u64,
    /// Era of that revision.
    #[serde(rename = "e", default, skip_serializing_if = "Era::is_first")]
    pub era: Era,
    /// Time per output token, in microseconds, of the engines whose streams the sender relays; only
    /// in full digests.
    #[serde(rename = "t", default, skip_serializing_if = "Vec::is_empty")]
    pub token_times: Vec<(Tag, u32)>,
    /// Longest pause of the streams of each service that the sender relays, on an engine of usual
    /// speed, in microseconds; the service is named by one of its engines. Only in full digests.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub pauses: Vec<(Tag, u32)>,
    /// Requests served and failed since the previous digest, at the endpoints that failed some.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub outcomes: Vec<(Tag, u16, u16)>,
    /// Newest changes of the evacuations of data centres that the sender knows; only in full
    /// digests.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub evacuations: Vec<EvacuationRow>,
    /// Speed of the endpoints that state their slowness, as the sender has seen it; only in full
    /// digests.
    #[serde(rename = "s", default, skip_serializing_if = "Vec::is_empty")]
    pub speeds: Vec<SpeedRow>,
    /// What endpoints have stated to the sender: all that holds in full digests, otherwise what is
    /// new.
    #[serde(rename = "n", default, skip_serializing_if = "Vec::is_empty")]
    pub statements: Vec<StatementRow>,
}

impl Digest {
    /// Splits a digest into parts that fit a datagram each. Only the first one is full; the others add
    /// to it.
    pub fn into_parts(mut self) -> Vec<Digest> {
        let mut parts = Vec::new();
        while let Some(rest) = self.split_off() {
            parts.push(std::mem::replace(&mut self, rest));
        }
        parts.push(self);
        parts
    }

    /// Removes the rows that do not fit, and returns them; `None` if there are none.
    fn split_off(&mut self) -> Option<Digest> {
        let rest = Digest {
            full: false,
            rows: split_rows(&mut self.rows, MAX_ROWS),
            store_down: self.store_down,
            outage: self.outage,
            revision: self.revision,
            era: self.era,
            token_times: split_rows(&mut self.token_times, MAX_ROWS),
            pauses: split_rows(&mut self.pauses, MAX_ROWS),
            outcomes: split_rows(&mut self.outcomes, MAX_ROWS),
            evacuations: split_rows(&mut self.evacuations, MAX_NAMED_ROWS),
            speeds: split_rows(&mut self.speeds, MAX_ROWS),
            statements: split_rows(&mut self.statements, MAX_ROWS),
        };
        let count = [
            rest.rows.len(),
            rest.token_times.len(),
            rest.pauses.len(),
            rest.outcomes.len(),
            rest.evacuations.len(),
            rest.speeds.len(),
            rest.statements.len(),
        ];
        count.iter().any(|n| *n > 0).then_some(rest)
    }
}

fn split_rows<T>(rows: &mut Vec<T>, max: usize) -> Vec<T> {
    rows.split_off(max.min(rows.len()))
}

/// What an endpoint has stated to one instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatementRow {
    /// Endpoint.
    #[serde(rename = "w")]
    pub tag: Tag,
    /// Milliseconds for which it stays cold.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub cold_ms: Option<u32>,
    /// Milliseconds after which it will be gone.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub gone_ms: Option<u32>,
    /// Whether it is leaving.
    #[serde(rename = "l", default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Incarnation of the endpoint that stated this. Absent in messages of older versions.
    #[serde(rename = "i", default, skip_serializing_if = "Option::is_none")]
    pub incarnation: Option<u16>,
}

/// Newest change of the evacuation of a data centre.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EvacuationRow {
    /// Data centre.
    #[serde(rename = "d")]
    centre: DataCentre,
    /// Era of the change.
    #[serde(rename = "e", default, skip_serializing_if = "Era::is_first")]
    era: Era,
    /// Store revision of the change.
    #[serde(rename = "v")]
    revision: u64,
    /// Whether the data centre is evacuated from then on.
    #[serde(rename = "a")]
    active: bool,
}

impl From<&Evacuation> for EvacuationRow {
    fn from(e: &Evacuation) -> Self {
        let Position { era, revision } = e.at;
        EvacuationRow { centre: e.centre.clone(), era, revision, active: e.active }
    }
}

impl From<EvacuationRow> for Evacuation {
    fn from(row: EvacuationRow) -> Self {
        let at = Position::new(row.era, row.revision);
        Evacuation { centre: row.centre, at, active: row.active }
    }
}

/// A request to the coordinator of an engine for permission to start a generation there.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AdmissionRequest {
    /// Number that the reply repeats, unique per sender.
    #[serde(rename = "n")]
    pub number: u64,
    /// Engine, and the load that the generation adds to it.
    #[serde(rename = "w")]
    pub row: Row,
    /// Milliseconds left until the first event is late.
    #[serde(rename = "l")]
    pub left_ms: u32,
    /// Rank; 0 is the most urgent.
    #[serde(rename = "u")]
    pub urgency: u8,
    /// Unread prompt tokens of the engine up to which the sender prefers it to others; absent if it
    /// has no other.
    #[serde(rename = "k", default, skip_serializing_if = "Option::is_none")]
    pub acceptable: Option<u32>,
}

/// A request to the coordinator of a data centre's transfers, to copy a generation from an engine
/// that is leaving.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TransferMessage {
    /// Number that the reply repeats, unique per sender and generation.
    #[serde(rename = "n")]
    pub number: u64,
    /// Engine that is leaving.
    #[serde(rename = "s")]
    pub source: Tag,
    /// Service of that engine.
    #[serde(rename = "k")]
    pub service: ServiceName,
    /// Data centre of that engine.
    #[serde(rename = "d")]
    pub centre: DataCentre,
    /// Tokens to copy.
    #[serde(rename = "c")]
    pub tokens: u32,
    /// Memory that the generation needs by its end, in tokens.
    #[serde(rename = "h")]
    pub held: u32,
    /// Milliseconds within which the copy has to end.
    #[serde(rename = "l")]
    pub left_ms: u32,
    /// Engines that did not accept the copy.
    #[serde(rename = "t")]
    pub tried: Vec<Tag>,
}

/// A message from one instance to another.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Open work of the sender.
    #[serde(rename = "d")]
    Digest(Digest),
    /// Requests admission to an engine.
    #[serde(rename = "a")]
    AdmissionRequest(AdmissionRequest),
    /// Reply to the admission request with this number: whether it is granted.
    #[serde(rename = "g")]
    AdmissionReply(u64, bool),
    /// Requests the links for a copy of a generation.
    #[serde(rename = "m")]
    TransferRequest(TransferMessage),
    /// Reply to the transfer request with this number.
    #[serde(rename = "v")]
    TransferReply(u64, Verdict),
    /// The transfer with this number has ended.
    #[serde(rename = "e")]
    TransferDone(u64),
    /// An engine reported to the sender that it is leaving.
    #[serde(rename = "q")]
    EngineLeaving(Tag),
    /// Contents that crashed endpoints.
    #[serde(rename = "b")]
    Quarantine(Gossip),
    /// Requests permits for a limited endpoint, with a number that the reply repeats.
    #[serde(rename = "k")]
    PermitRequest(u64, PermitRequest),
    /// Reply to the request for permits with this number.
    #[serde(rename = "r")]
    PermitReply(u64, Grant),
    /// Limits that endpoints state.
    #[serde(rename = "l")]
    Limits(LimitNotice),
    /// Asks for retries of the receiver's part, with a number that the reply repeats.
    #[serde(rename = "o")]
    LoanRequest(u64, LoanRequest),
    /// Retries that the sender lends in reply to the request with this number.
    #[serde(rename = "u")]
    LoanReply(u64, Hundredths),
    /// Changes that a reader received from the store.
    #[serde(rename = "n")]
    StoreChanges(StoreChanges),
    /// Requests the operators' configuration; sent on a connection, not as a datagram.
    #[serde(rename = "p")]
    PullConfig,
    /// The operators' configuration as the store holds it; sent on a connection, not as a
    /// datagram.
    #[serde(rename = "t", with = "serde_bytes")]
    Config(Vec<u8>),
}

/// A request of an instance that has used up its part in the retries of all instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoanRequest {
    /// Service of the requests that are to be retried.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// What is missing for one.
    #[serde(rename = "n")]
    pub wanted: Hundredths,
}

/// What an instance knows of the limit of an endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitRow {
    /// Endpoint.
    #[serde(rename = "w")]
    pub tag: Tag,
    /// Its limit; `None` if that has ended.
    #[serde(rename = "l")]
    pub limit: Option<Rate>,
    /// Age of that knowledge in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u32,
    /// Whether the instance grants permits for the endpoint.
    #[serde(rename = "g")]
    pub granting: bool,
    /// Whether it has ceased to do so, and its permits have expired.
    #[serde(rename = "e", default, skip_serializing_if = "std::ops::Not::not")]
    pub ended: bool,
    /// Instance that these two are said of, in a notice that another one passes on.
    #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
    pub by: Option<InstanceId>,
}

/// Limits of endpoints, which an instance tells their coordinator, and the coordinator all others.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitNotice {
    /// What the instance knows, by endpoint.
    #[serde(rename = "r")]
    pub rows: Vec<LimitRow>,
    /// Whether the receiver passes the notice on to its group of instances.
    #[serde(rename = "f")]
    pub forward: bool,
}

/// Changes of the store that a reader forwards to the other instances.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StoreChanges {
    /// Changes of keys with small values.
    #[serde(rename = "f")]
    pub kvs: Vec<KeyValue>,
    /// Whether further changes are left out because of their size; the receiver then reads the
    /// store.
    #[serde(rename = "m")]
    pub truncated: bool,
    /// Era of the revisions in this message.
    #[serde(rename = "e", default, skip_serializing_if = "Era::is_first")]
    pub era: Era,
    /// Store revision after which the changes follow.
    #[serde(rename = "a", default)]
    pub after: u64,
    /// Store revision up to which the changes are complete, unless they are truncated.
    #[serde(rename = "u", default)]
    pub upto: u64,
    /// Whether the store was unreachable until shortly before. Keys may be missing because their
    /// leases expired meanwhile.
    #[serde(rename = "r", default)]
    pub recovering: bool,
}

impl StoreChanges {
    /// Returns the position up to which the changes are complete, unless they are truncated.
    pub fn end(&self) -> Position {
        Position::new(self.era, self.upto)
    }

    /// Collects changes up to the size of a datagram.
    pub fn of<'k>(kvs: impl Iterator<Item = &'k KeyValue>) -> StoreChanges {
        let mut changes = StoreChanges::default();
        let mut bytes = 0;
        for kv in kvs {
            let size = CHANGE_OVERHEAD + kv.key.len() + kv.value.as_ref().map_or(0, Vec::len);
            if bytes + size > MAX_CHANGES_BYTES {
                changes.truncated = true;
                continue;
            }
            bytes += size;
            changes.kvs.push(kv.clone());
        }
        changes
    }
}

/// Largest count of a row that is told from larger ones. The sum over 4,000 instances fits.
const MAX_ROW_COUNT: u32 = 1 << 20;

/// Converts a row to the work at its endpoint.
pub fn decode_row((tag, open, held, unread, copies): Row) -> (Tag, Work) {
    let (open, copies) = (open.min(MAX_ROW_COUNT), copies.min(MAX_ROW_COUNT));
    (tag, Work { open, held: u64::from(held), unread: u64::from(unread), copies })
}

/// Converts the work at an endpoint to a row; counts above `u32::MAX` are capped.
pub fn encode_row(tag: Tag, work: Work) -> Row {
    let cap = |n: u64| u32::try_from(n).unwrap_or(u32::MAX);
    (tag, work.open, cap(work.held), cap(work.unread), work.copies)
}

/// Converts the speed of an endpoint to a row; values that do not fit are capped.
pub fn encode_speed(tag: Tag, incarnation: u16, report: &Report) -> SpeedRow {
    let (slowness, age) = report.stated.map_or((0, 0), |(slowness, age)| {
        (cap(u64::from(slowness.percent())), cap(age.as_millis() as u64))
    });
    let (nanos, weight) = report.prefill.map_or((0, 0), |(cost, weight)| {
        ((cost.as_secs() * 1e9) as u32, cap((weight * 100.0) as u64))
    });
    (tag, incarnation, slowness, age, nanos, weight)
}

fn cap(n: u64) -> u16 {
    u16::try_from(n).unwrap_or(u16::MAX)
}

/// Converts a row to the incarnation and speed of an endpoint.
pub fn decode_speed(row: SpeedRow) -> (Tag, u16, Report) {
    let (tag, incarnation, slowness, age, nanos, weight) = row;
    let stated = (Slowness::of_percent(u32::from(slowness)), Duration::from_millis(u64::from(age)));
    let prefill = (TokenCost::of_secs(f64::from(nanos) / 1e9), f64::from(weight) / 100.0);
    let report = Report {
        stated: (slowness > 0).then_some(stated),
        prefill: (nanos > 0).then_some(prefill),
    };
    (tag, incarnation, report)
}

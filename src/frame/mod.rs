//! Messages between the processes of a deployment, and their signed encoding.
//!
//! A frame is a signature of 16 bytes followed by MessagePack with named fields, so that two
//! releases can run side by side: a decoder skips unknown fields and fills in the defaults of those
//! that are missing. A request for another kind of process is answered with
//! [`Reply::Unsupported`]. One that the release does not know cannot be decoded and is dropped.

mod call;
mod unknown;

pub use call::{Answer, Call, CallKey, CallReply, ClaimStamp, StatedLength};

use crate::event::{Event, Filter};
use crate::hlc::Stamp;
use crate::id::{
    Epoch, Fence, Fingerprint, GenerationId, Incarnation, InstanceId, IntentVersion, Nonce, PartId,
    ServiceName, Tokens, Workspace,
};
use crate::store::{Era, Position};
use hmac::{Hmac, Mac};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::fmt;
use std::sync::Arc;

/// Size of the signature at the start of a frame.
const TAG_BYTES: usize = 16;
/// Largest frame in bytes.
pub const MAX_FRAME_BYTES: usize = 20 << 20;

/// A message with its sender's identity, clock and configuration version.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// Instance that sent the message.
    pub from: InstanceId,
    /// Incarnation of the sender's process.
    pub incarnation: Incarnation,
    /// Time of sending on the sender's hybrid logical clock.
    pub at: Stamp,
    /// Version of the configuration in force at the sender.
    pub version: IntentVersion,
    /// A request or a reply.
    pub body: T,
}

/// Reason why a frame was dropped.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FrameError {
    /// The frame is shorter than a signature or longer than [`MAX_FRAME_BYTES`].
    Length(usize),
    /// The signature matches none of the accepted keys.
    Signature,
    /// The signed body is not a message that this release can decode.
    Body,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Length(n) => {
                write!(f, "frame length of {n} bytes is outside {TAG_BYTES} to {MAX_FRAME_BYTES}")
            }
            FrameError::Signature => write!(f, "frame signature matches no accepted key"),
            FrameError::Body => write!(f, "frame body is not a known message"),
        }
    }
}

/// Keys for frame signatures. Frames are signed with the first key and accepted if signed with any.
#[derive(Clone)]
pub struct Keyring {
    keys: Vec<Hmac<Sha256>>,
}

impl fmt::Debug for Keyring {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Keyring({} keys)", self.keys.len())
    }
}

impl Keyring {
    /// Creates a keyring from keys of any length.
    pub fn new(keys: &[Arc<[u8]>]) -> Self {
        let keys = keys.iter().filter_map(|k| Hmac::new_from_slice(k).ok()).collect();
        Keyring { keys }
    }

    /// Encodes a message and signs it with the first key.
    pub fn encode<T: Serialize>(&self, envelope: &Envelope<T>) -> Vec<u8> {
        let mut frame = vec![0; TAG_BYTES];
        // Encoding these messages into memory cannot fail.
        let _ = rmp_serde::encode::write_named(&mut frame, envelope);
        if let Some(key) = self.keys.first() {
            let tag = key.clone().chain_update(&frame[TAG_BYTES..]).finalize().into_bytes();
            frame[..TAG_BYTES].copy_from_slice(&tag[..TAG_BYTES]);
        }
        frame
    }

    /// Checks the signature of a frame and decodes its message.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError`] if the length, the signature or the body is invalid.
    pub fn decode<T: DeserializeOwned>(&self, frame: &[u8]) -> Result<Envelope<T>, FrameError> {
        if frame.len() < TAG_BYTES || frame.len() > MAX_FRAME_BYTES {
            return Err(FrameError::Length(frame.len()));
        }
        let (tag, body) = frame.split_at(TAG_BYTES);
        let verify = |k: &Hmac<Sha256>| k.clone().chain_update(body).verify_truncated_left(tag);
        if !self.keys.iter().any(|k| verify(k).is_ok()) {
            return Err(FrameError::Signature);
        }
        rmp_serde::from_slice(body).map_err(|_| FrameError::Body)
    }
}

/// Request to run a generation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// Identifier chosen by the entry.
    pub generation: GenerationId,
    /// Service that the caller requested.
    pub service: ServiceName,
    /// Model, adapter and version in text form.
    pub spec: Arc<str>,
    /// Workspace of the caller.
    pub workspace: Workspace,
    /// Weight of the workspace for fair sharing.
    pub weight: u32,
    /// Priority from 0 to 9; higher ranks are started first and held last.
    pub rank: u8,
    /// Prompt in the form that the engine expects.
    pub prompt: Arc<str>,
    /// Estimated length of the prompt in tokens.
    pub input: Tokens,
    /// Maximum length of the output in tokens.
    pub limit: Tokens,
    /// Fingerprint of the content, by which the quarantine identifies it after a crash.
    pub fingerprint: Fingerprint,
    /// Parts of the prompt that other requests may share.
    #[serde(default)]
    pub parts: Vec<PartId>,
    /// Whether no other generation may run on the engine at the same time.
    pub alone: bool,
    /// Time until a queued generation expires, in milliseconds.
    pub left: u64,
}

/// Position in a generation from which a reader requests tokens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Cursor {
    /// Generation to read.
    #[serde(rename = "g")]
    pub nonce: Nonce,
    /// Index of the next token to send.
    #[serde(rename = "n")]
    pub next: u32,
}

/// Long poll for tokens past the cursors. The reply is delayed until there are some or the hold has
/// expired.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Poll {
    /// Identifier of the entry's link. A newer poll with the same identifier ends the older one.
    pub link: Nonce,
    /// Generations that the entry reads.
    pub cursors: Vec<Cursor>,
    /// Longest delay of the reply, in milliseconds.
    #[serde(default = "default_hold")]
    pub hold: u64,
    /// Latest position of the store that the entry knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store: Option<Position>,
}

/// Value of [`Poll::hold`] if the entry does not send it.
fn default_hold() -> u64 {
    200
}

/// How a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finish {
    /// The model ended its output.
    Stop,
    /// The output reached its maximum length.
    Length,
    /// The engine was lost, or no longer knows the generation; there will be no more tokens.
    Lost,
    /// The generation did not run and never will.
    NotRun(#[serde(deserialize_with = "unknown::read_refusal")] Refusal),
    /// The generation was cancelled, by an entry or for lack of readers.
    Cancelled,
    /// The sidecar does not know the generation, or not as many tokens of it.
    Unknown,
}

/// Reason why a generation or call was refused before it started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// There is no capacity at present: for example, the estimated wait is too long or a queue is
    /// full.
    Busy,
    /// The endpoint is shutting down.
    Leaving,
    /// The endpoint is not reachable.
    Down,
    /// The endpoint does not have the model loaded.
    NotLoaded,
    /// The deadline for the first token has passed.
    Expired,
    /// The request does not fit into the memory of an engine.
    TooLarge,
    /// The content is quarantined because it has crashed endpoints.
    Convicted,
    /// A service on which the requested one depends is unavailable.
    Dependency,
    /// No usable endpoint is known for the service.
    NoEndpoint,
}

/// Tokens of one generation from a cursor on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Generation to which the tokens belong.
    #[serde(rename = "g")]
    pub nonce: Nonce,
    /// Index of the first token.
    #[serde(rename = "n")]
    pub first: u32,
    /// Text of each token, in order.
    #[serde(rename = "t")]
    pub tokens: Vec<Arc<str>>,
    /// How the generation ended, if these are its last tokens.
    #[serde(
        rename = "f",
        default,
        deserialize_with = "unknown::read_finish",
        skip_serializing_if = "Option::is_none"
    )]
    pub finish: Option<Finish>,
}

/// State of an endpoint, which its sidecar sends with each poll reply.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Whether the endpoint is shutting down and accepts no new work.
    pub leaving: bool,
    /// Whether the endpoint responds to its sidecar.
    pub alive: bool,
    /// Name of the base model or plain service that the endpoint runs.
    pub pool: Arc<str>,
    /// Loaded models, each with adapter and version in text form.
    pub loaded: Vec<Arc<str>>,
    /// Number of generations and calls that run on the endpoint.
    pub running: u32,
    /// Number of generations that are queued or held at the sidecar.
    pub waiting: u32,
    /// Tokens that wait for prefill or are in prefill, and so precede those of a new generation.
    pub backlog: u32,
    /// KV cache capacity of the engine in tokens.
    pub capacity: u32,
    /// Forecast peak memory of all running and waiting generations, in tokens.
    pub forecast: u32,
    /// Mean time between tokens of a generation, in microseconds.
    pub gap: u32,
    /// Current epoch of the ledger, which new call keys name.
    pub epoch: Epoch,
    /// Hashes of prompt prefixes in the engine's cache, as far as known.
    pub prefixes: Vec<u32>,
    /// Latest crashes since the sidecar started.
    pub crashes: Vec<Crash>,
    /// Whether the endpoint limits its requests and another one has to wait.
    #[serde(default)]
    pub limited: bool,
    /// Latest position of the store that the sidecar knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store: Option<Position>,
    /// Latest era of the store in which the sidecar has written its claims again.
    #[serde(default, skip_serializing_if = "Era::is_first")]
    pub restored: Era,
}

/// One crash of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Number of the crash since the sidecar started, from 1; an entry uses `u32::MAX` for the loss
    /// of its link.
    pub number: u32,
    /// Contents that were running on the endpoint.
    pub running: Vec<Fingerprint>,
    /// Shared parts of the prompts that may have caused it.
    #[serde(default)]
    pub parts: Vec<PartId>,
    /// Time since the crash, in milliseconds.
    #[serde(default)]
    pub age: u64,
}

/// Order of the leader to an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing number of the leader.
    pub fence: Fence,
    /// Ticket that the sidecar issued before the leader checked its lease.
    pub ticket: Nonce,
    /// Operation to perform.
    pub action: OrderAction,
}

/// Operation of an [`Order`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAction {
    /// Load a model, given with adapter and version in text form.
    Load(Arc<str>),
    /// Unload a model, given in the same form.
    Unload(Arc<str>),
}

/// Quarantine state that instances exchange.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// Contents that were running during crashes, each with these crashes.
    pub suspects: Vec<Suspect>,
    /// Contents that have since run to completion, each with the crashes of which it is cleared.
    pub cleared: Vec<Suspect>,
    /// Parts of prompts that several contents share.
    #[serde(default)]
    pub parts: PartsGossip,
    /// Latest position of the store that the sender knows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub store: Option<Position>,
}

/// Crash at which a part was present.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SeenCrash {
    /// Run of the endpoint or of its sidecar.
    #[serde(rename = "e")]
    pub endpoint: Incarnation,
    /// [`Crash::number`].
    #[serde(rename = "n")]
    pub number: u32,
    /// Time since the crash, in milliseconds.
    #[serde(rename = "a")]
    pub age: u64,
    /// Whether the engine had begun to answer a request with the part.
    #[serde(rename = "b")]
    pub begun: bool,
}

/// Parts of prompts that are accused of crashes, or cleared of them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PartsGossip {
    /// Crashes by part.
    pub rows: Vec<PartRow>,
    /// Parts that are refused.
    pub refused: Vec<PartId>,
    /// Parts that are refused only together. Absent in messages of older versions.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub together: Vec<Vec<PartId>>,
    /// Crashes that the sender has seen of late, whatever was running there. Absent in messages of
    /// older versions.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<SeenCrash>,
}

/// A part and the crashes at which it was present.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct PartRow {
    /// The part.
    pub part: PartId,
    /// Crashes of which it is accused.
    pub crashes: Vec<SeenCrash>,
    /// Crashes of which it is cleared.
    pub cleared: Vec<SeenCrash>,
}

/// A content and the crashes during which it was running.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Suspect {
    /// Fingerprint of the content.
    pub content: Fingerprint,
    /// The crashes, each as the incarnation of the sidecar and [`Crash::number`].
    pub crashes: Vec<(Incarnation, u32)>,
    /// The runs that the crashes ended. Absent in messages of older versions.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub runs: Vec<CrashedRun>,
}

/// Run of a content that ended with the crash of its endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// Run of the endpoint or of its sidecar.
    #[serde(rename = "e")]
    pub endpoint: Incarnation,
    /// [`Crash::number`].
    #[serde(rename = "n")]
    pub number: u32,
    /// Time since the crash, in milliseconds.
    #[serde(rename = "a")]
    pub age: u64,
    /// Time from the request until the crash, in milliseconds.
    #[serde(rename = "r")]
    pub ran: u64,
    /// Fingerprint of the service's name, if it is known.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub service: Option<Fingerprint>,
}

/// A version of the configuration in chunks. Chunks that the receiver has are left out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct IntentCopy {
    /// Version of the configuration.
    pub version: IntentVersion,
    /// Hashes of all chunks, in order.
    pub parts: Vec<Arc<str>>,
    /// Contents of the chunks that the receiver does not have, in order.
    pub chunks: Vec<Arc<str>>,
}

/// Requests between processes. All are idempotent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Runs a generation.
    Start(Box<Start>),
    /// Reads tokens and the report on the endpoint.
    Poll(Poll),
    /// Ends a generation, whether or not it was submitted to the engine.
    Cancel(Nonce),
    /// Runs a call to a plain service.
    Call(Box<Call>),
    /// Seals a call key, so that a call which has not run never will.
    Seal(CallKey),
    /// Requests a ticket for an order.
    Ticket(Fence),
    /// Sends an order to an engine.
    Order(Order),
    /// Exchanges quarantine state between entries.
    Hello(Gossip),
    /// Requests the configuration, without the chunks that have these hashes.
    GetIntent(Vec<Arc<str>>),
    /// Sends the configuration.
    PutIntent(Box<IntentCopy>),
    /// Reads events that match a filter.
    Events(Filter),
    /// Ends a generation if it is still queued.
    Withdraw(Nonce),
}

/// Replies to a [`Request`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The generation is queued, by this request or an earlier one.
    Accepted,
    /// The generation was refused and will not run at this endpoint. The number is the
    /// suggested delay before a retry, in milliseconds.
    Refused(#[serde(deserialize_with = "unknown::read_refusal")] Refusal, u64),
    /// Tokens and the report on the endpoint.
    Batches(Vec<Batch>, Box<Report>),
    /// Whether the cancelled generation had been submitted to the engine.
    Cancelled(bool),
    /// Outcome of a call or of sealing its key.
    Call(Box<CallReply>),
    /// Ticket for an order.
    Ticket(Nonce),
    /// Whether the engine accepted an order; `false` also if the sidecar refused it or a ticket.
    Ordered(bool),
    /// Quarantine state of the replying entry.
    Hello(Gossip),
    /// The configuration.
    Intent(Box<IntentCopy>),
    /// Hashes of chunks that the receiver of a configuration still lacks.
    Lacking(Vec<Arc<str>>),
    /// Selected events, oldest first. Those of a kind that this release does not know are left out.
    Events(#[serde(deserialize_with = "unknown::read_events")] Vec<Event>),
    /// Whether the generation has not run and never will; `false` if that is not known.
    Withdrawn(bool),
    /// The request was processed; it has no result.
    Ok,
    /// The request is for another kind of process.
    Unsupported,
}

#[cfg(test)]
mod tests;

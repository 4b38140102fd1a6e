//! Messages between the system's own processes, and their sealed form on the wire.
//!
//! A frame is a signature of 16 bytes followed by MessagePack with named fields, so that two
//! releases can run side by side: a reader skips fields it does not know and fills in the
//! defaults of those that are missing. A request that a release does not know is answered with
//! [`Reply::Unsupported`].

use crate::event::{Event, Filter};
use crate::hlc::Stamp;
use crate::id::{
    Epoch, Fence, Fingerprint, GenerationId, Incarnation, InstanceId, IntentVersion, Nonce,
    ServiceName, Tokens, Workspace,
};
use hmac::{Hmac, Mac};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use std::fmt;
use std::sync::Arc;

/// Bytes of the signature before each frame.
const TAG_BYTES: usize = 16;
/// Largest frame in bytes.
pub const MAX_FRAME_BYTES: usize = 20 << 20;

/// What each frame says of its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// Sending instance.
    pub from: InstanceId,
    /// Run of the sender.
    pub incarnation: Incarnation,
    /// Stamp of the sender's clock.
    pub at: Stamp,
    /// Newest version of the text that the sender has in force.
    pub version: IntentVersion,
    /// The message itself.
    pub body: T,
}

/// Tells why a frame was dropped.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum FrameError {
    /// The frame is shorter than its signature or longer than allowed.
    Length(usize),
    /// No accepted key gives this signature.
    Signature,
    /// The signed bytes are no message of this release.
    Body,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Length(n) => write!(f, "frame of {n} bytes"),
            FrameError::Signature => write!(f, "signature does not match"),
            FrameError::Body => write!(f, "message not understood"),
        }
    }
}

/// Keys between processes; the first signs, each is accepted.
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
    /// Prepares keys of any length.
    pub fn new(keys: &[Arc<[u8]>]) -> Self {
        let keys = keys.iter().filter_map(|k| Hmac::new_from_slice(k).ok()).collect();
        Keyring { keys }
    }

    /// Encodes and signs a message.
    pub fn encode<T: Serialize>(&self, envelope: &Envelope<T>) -> Vec<u8> {
        let mut frame = vec![0; TAG_BYTES];
        // Writing named maps of plain data into memory has no way to fail.
        let _ = rmp_serde::encode::write_named(&mut frame, envelope);
        if let Some(key) = self.keys.first() {
            let tag = key.clone().chain_update(&frame[TAG_BYTES..]).finalize().into_bytes();
            frame[..TAG_BYTES].copy_from_slice(&tag[..TAG_BYTES]);
        }
        frame
    }

    /// Checks and decodes a frame.
    ///
    /// # Errors
    ///
    /// Returns [`FrameError`] where length, signature or content is wrong.
    pub fn decode<T: DeserializeOwned>(&self, frame: &[u8]) -> Result<Envelope<T>, FrameError> {
        if frame.len() < TAG_BYTES || frame.len() > MAX_FRAME_BYTES {
            return Err(FrameError::Length(frame.len()));
        }
        let (tag, body) = frame.split_at(TAG_BYTES);
        let is_signed = |k: &Hmac<Sha256>| k.clone().chain_update(body).verify_truncated_left(tag);
        if !self.keys.iter().any(|k| is_signed(k).is_ok()) {
            return Err(FrameError::Signature);
        }
        rmp_serde::from_slice(body).map_err(|_| FrameError::Body)
    }
}

/// A generation to be run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Start {
    /// Identifier drawn by the entry.
    pub generation: GenerationId,
    /// Service asked for.
    pub service: ServiceName,
    /// Model, adapter and version in their text form.
    pub spec: Arc<str>,
    /// Workspace that asks.
    pub workspace: Workspace,
    /// Share of the workspace.
    pub weight: u32,
    /// Rank under shortage, 0 to 9.
    pub rank: u8,
    /// Prompt in the engine's text form.
    pub prompt: Arc<str>,
    /// Estimated length of the prompt.
    pub input: Tokens,
    /// Longest output.
    pub limit: Tokens,
    /// Content of the request, for blame.
    pub fingerprint: Fingerprint,
    /// Tells that the generation has to run alone.
    pub alone: bool,
    /// Time left until the first token is due, in milliseconds.
    pub left: u64,
}

/// A place in a generation from which a reader wants tokens.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Cursor {
    /// Generation to read.
    #[serde(rename = "g")]
    pub nonce: Nonce,
    /// Next token wanted.
    #[serde(rename = "n")]
    pub next: u32,
}

/// Asks for tokens past the cursors; held back until there are some.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Poll {
    /// Link of the entry; a newer poll of a link ends the older one.
    pub link: Nonce,
    /// Generations the entry reads.
    pub cursors: Vec<Cursor>,
    /// Longest time that the poll may be held, in milliseconds.
    #[serde(default = "default_hold")]
    pub hold: u64,
}

/// Time that a poll is held where the entry does not say.
fn default_hold() -> u64 {
    200
}

/// How a generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finish {
    /// The model ended its answer.
    Stop,
    /// The answer reached its limit.
    Length,
    /// The engine was lost; no more tokens will come.
    Lost,
    /// The engine never began and never will.
    NotRun(Refusal),
    /// The reader asked to cancel.
    Cancelled,
    /// This sidecar does not know the generation.
    Unknown,
}

/// Why work was refused before it began.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The wait would exceed the latency target.
    Busy,
    /// The endpoint is leaving.
    Leaving,
    /// The endpoint does not answer.
    Down,
    /// The endpoint does not have the model loaded.
    NotLoaded,
    /// The time for the first token ran out.
    Expired,
    /// The request does not fit the memory of any engine.
    TooLarge,
    /// The content crashed endpoints before.
    Convicted,
    /// A dependency is unavailable.
    Dependency,
    /// No endpoint is known.
    NoEndpoint,
}

/// Tokens of one generation past a cursor.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Generation.
    #[serde(rename = "g")]
    pub nonce: Nonce,
    /// Index of the first token.
    #[serde(rename = "n")]
    pub first: u32,
    /// Text of each token.
    #[serde(rename = "t")]
    pub tokens: Vec<Arc<str>>,
    /// End of the generation, right after these tokens.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub finish: Option<Finish>,
}

/// What a sidecar says of its endpoint with every answer.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Tells that the endpoint takes no new work.
    pub leaving: bool,
    /// Tells that the endpoint answers.
    pub alive: bool,
    /// Base model or plain service.
    pub pool: Arc<str>,
    /// Model, adapter and version in text form, each loaded.
    pub loaded: Vec<Arc<str>>,
    /// Generations or calls on the endpoint.
    pub running: u32,
    /// Generations waiting in the sidecar.
    pub waiting: u32,
    /// Tokens that wait to be computed before a new generation would start.
    pub backlog: u32,
    /// Memory of the engine in tokens.
    pub capacity: u32,
    /// Most memory that running and waiting work is forecast to need, in tokens.
    pub forecast: u32,
    /// Time between tokens at present, in microseconds.
    pub gap: u32,
    /// Epoch in which new calls are recorded.
    pub epoch: Epoch,
    /// Hashes of prompt prefixes that the engine holds, as far as known.
    pub prefixes: Vec<u32>,
    /// Crashes seen since start, each with what was running.
    pub crashes: Vec<Crash>,
}

/// One crash of an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Number of the crash at its sidecar.
    pub number: u32,
    /// Content that was running.
    pub running: Vec<Fingerprint>,
}

/// A call to a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Key of a call that may not be repeated.
    pub key: Option<CallKey>,
    /// HTTP method.
    pub method: Arc<str>,
    /// Path and query.
    pub path: Arc<str>,
    /// Content type of the body.
    pub content: Arc<str>,
    /// Body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
    /// Time left, in milliseconds.
    pub left: u64,
}

/// Identity of a call that may not be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct CallKey {
    /// The one sidecar run that may run the call.
    pub incarnation: Incarnation,
    /// Epoch the key belongs to.
    pub epoch: Epoch,
    /// Workspace and key, hashed.
    pub hash: Fingerprint,
    /// Content of the call; a key does not serve two contents.
    pub content: Fingerprint,
}

/// What became of a call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CallReply {
    /// The service answered.
    Done(Answer),
    /// The call ran; its answer is no longer held.
    Ran,
    /// The call runs at present.
    Running,
    /// The call did not run and never will under this key.
    NotRun(Refusal),
    /// Nobody can tell whether the call ran.
    Unknown,
    /// The key was used with another content.
    Mismatch,
}

/// Answer of a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content: Arc<str>,
    /// Body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Order {
    /// Number of the leader's lease.
    pub fence: Fence,
    /// Permission drawn from the sidecar after the lease was checked.
    pub ticket: Nonce,
    /// What to do.
    pub action: OrderAction,
}

/// What an order asks of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum OrderAction {
    /// Load a model with adapter and version.
    Load(Arc<str>),
    /// Unload it.
    Unload(Arc<str>),
}

/// What entries tell each other.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Gossip {
    /// Contents under suspicion, with the crashes each was present at.
    pub suspects: Vec<Suspect>,
    /// Contents cleared of suspicion, with the crashes they are cleared of.
    pub cleared: Vec<Suspect>,
}

/// A content under suspicion.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Suspect {
    /// Content.
    pub content: Fingerprint,
    /// Crashes it was present at, by endpoint run and number.
    pub crashes: Vec<(Incarnation, u32)>,
}

/// A version of the text as chunks; those that the receiver has are left out.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct IntentCopy {
    /// Version.
    pub version: IntentVersion,
    /// Hashes of all chunks in order.
    pub parts: Vec<Arc<str>>,
    /// Chunks that the receiver lacks.
    pub chunks: Vec<Arc<str>>,
}

/// Requests between processes; each may be repeated without harm.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Runs a generation.
    Start(Box<Start>),
    /// Reads tokens and the report.
    Poll(Poll),
    /// Ends a generation; the answer tells whether it had begun.
    Cancel(Nonce),
    /// Runs a call on a plain service.
    Call(Box<Call>),
    /// Asks that a call which has not run never will.
    Seal(CallKey),
    /// Draws a permission for an order.
    Ticket(Fence),
    /// Gives an order to an engine.
    Order(Order),
    /// Exchanges what entries know.
    Hello(Gossip),
    /// Asks for the text, less the chunks named.
    GetIntent(Vec<Arc<str>>),
    /// Hands over the text.
    PutIntent(Box<IntentCopy>),
    /// Reads events.
    Events(Filter),
    /// Takes a generation back if it has not begun.
    Withdraw(Nonce),
}

/// Answers to [`Request`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The generation was queued or had been before.
    Accepted,
    /// The generation was refused and never begins here.
    Refused(Refusal, u64),
    /// Tokens and the report.
    Batches(Vec<Batch>, Box<Report>),
    /// Tells whether the cancelled generation had begun.
    Cancelled(bool),
    /// What became of a call.
    Call(Box<CallReply>),
    /// A permission.
    Ticket(Nonce),
    /// Tells whether an order took effect.
    Ordered(bool),
    /// What the other entry knows.
    Hello(Gossip),
    /// The text.
    Intent(Box<IntentCopy>),
    /// Chunks are missing.
    Lacking(Vec<Arc<str>>),
    /// Events, oldest first.
    Events(Vec<Event>),
    /// Tells whether the generation was taken back before it began.
    Withdrawn(bool),
    /// Done.
    Ok,
    /// The request is not known to this release or this role.
    Unsupported,
}

#[cfg(test)]
mod tests;

//! Documents and stream events that a model engine sends. Fields may be missing or of another type;
//! each is read for itself.

use crate::board::Engine;
use crate::event::shorten;
use crate::json::{read_lenient, whole};
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use std::collections::HashSet;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

/// Tokens per KV cache block if the engine does not report it.
const DEFAULT_BLOCK: u32 = 16;
/// Generations that run at a time if the engine does not report how many can.
const DEFAULT_BATCH: u32 = 1;

/// What an engine sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Document {
    /// Load report.
    Load,
    /// List of cache events.
    CacheEvents,
    /// Event of the stream of a generation.
    StreamEvent,
}

impl Document {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Document::Load => "load",
            Document::CacheEvents => "cache-events",
            Document::StreamEvent => "stream-event",
        }
    }
}

/// A field that cannot be read, or is missing although it is required.
#[derive(Debug, Clone, PartialEq)]
pub struct Fault {
    /// Where the field was expected.
    pub document: Document,
    /// Name of the field; `document` for the document itself.
    pub field: &'static str,
    /// Start of what was found first; `None` if the field is missing.
    pub found: Option<Box<str>>,
    /// Number of these faults in the document.
    pub count: u64,
}

impl Fault {
    /// Adds the fault to its metric.
    pub fn count(&self) {
        let (document, field) = (self.document.name(), self.field);
        metrics::counter!("engine_faults_total", "document" => document, "field" => field)
            .increment(self.count);
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "document={} field={} count={}", self.document.name(), self.field, self.count)?;
        match &self.found {
            Some(found) => write!(f, " found={found:?}"),
            None => f.write_str(" found=nothing"),
        }
    }
}

/// The fields that could not be read since the engine started, so that each is logged once.
#[derive(Debug, Default)]
pub struct FaultLog {
    seen: HashSet<(Document, &'static str, bool)>,
}

impl FaultLog {
    /// Returns whether a fault is the first of its kind; one that keeps its document from being used
    /// is of another kind than one that does not.
    pub fn record(&mut self, fault: &Fault, is_used: bool) -> bool {
        self.seen.insert((fault.document, fault.field, is_used))
    }
}

/// Reads fields of a document; what cannot be read becomes a fault.
struct Reader<'a> {
    document: Document,
    faults: &'a mut Vec<Fault>,
}

impl Reader<'_> {
    fn fault(&mut self, field: &'static str, found: Option<&str>) {
        if let Some(known) = self.faults.iter_mut().find(|f| f.field == field) {
            known.count += 1;
            return;
        }
        let found = found.map(|text| shorten(text).into());
        self.faults.push(Fault { document: self.document, field, found, count: 1 });
    }

    /// Reads the JSON text of a document as a value or as parts of it.
    fn parse<'t, T: Deserialize<'t>>(&mut self, text: &'t str) -> Option<T> {
        let read = serde_json::from_str(text);
        read.inspect_err(|_| self.fault("document", Some(text))).ok()
    }

    /// Reads a field that may be absent.
    fn optional<'v, T>(
        &mut self,
        object: &'v Value,
        field: &'static str,
        read: impl FnOnce(&'v Value) -> Option<T>,
    ) -> Option<T> {
        let value = object.get(field).filter(|value| !value.is_null())?;
        let read = read(value);
        if read.is_none() {
            self.fault(field, Some(&value.to_string()));
        }
        read
    }

    /// Reads a field that should be there.
    fn required<'v, T>(
        &mut self,
        object: &'v Value,
        field: &'static str,
        read: impl FnOnce(&'v Value) -> Option<T>,
    ) -> Option<T> {
        if object.get(field).is_none_or(Value::is_null) {
            self.fault(field, None);
        }
        self.optional(object, field, read)
    }
}

/// The fields of a load report that could be read.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadReport {
    /// Identifier of the engine's run.
    pub boot: Option<Arc<str>>,
    /// KV cache capacity in tokens.
    pub capacity: Option<u32>,
    /// Generations that can run at a time.
    pub batch: Option<u32>,
    /// Tokens per KV cache block.
    pub block: Option<u32>,
    /// Prefill time of a token.
    pub prefill: Option<Duration>,
    /// Loaded models in text form.
    pub loaded: Option<Vec<Arc<str>>>,
}

impl LoadReport {
    /// Returns the engine's state; `None` if the capacity or the models are not known. Fields that
    /// could not be read stay as in `last`, the state that the same run reported before.
    pub fn into_engine(self, last: Option<&Engine>) -> Option<Engine> {
        let batch = self.batch.or(last.map(|e| e.batch)).unwrap_or(DEFAULT_BATCH);
        let block = self.block.or(last.map(|e| e.block)).unwrap_or(DEFAULT_BLOCK);
        let prefill = self.prefill.or(last.map(|e| e.prefill)).unwrap_or_default();
        Some(Engine {
            alive: true,
            capacity: self.capacity.or(last.map(|e| e.capacity))?,
            batch,
            block: block.max(1),
            prefill,
            loaded: self.loaded.or_else(|| last.map(|e| e.loaded.clone()))?,
            ..Engine::default()
        })
    }
}

/// Returns a text or, as some engines write identifiers, a number.
fn identifier(value: &Value) -> Option<Arc<str>> {
    match value {
        Value::String(text) => Some(text.as_str().into()),
        Value::Number(number) => Some(number.to_string().into()),
        _ => None,
    }
}

fn micros(value: &Value) -> Option<Duration> {
    Duration::try_from_secs_f64(value.as_f64()? / 1e6).ok()
}

/// Reads a load report; `None` if it tells neither the capacity nor the models.
pub fn read_load(body: &[u8], faults: &mut Vec<Fault>) -> Option<LoadReport> {
    let mut reader = Reader { document: Document::Load, faults };
    // Bytes that are no UTF-8 spoil only the name in which they are.
    let text = String::from_utf8_lossy(body);
    let object = read_lenient(reader.parse(&text)?);
    let names = reader.required(&object, "loaded", Value::as_array);
    let loaded = names.map(|names| {
        let mut loaded = Vec::with_capacity(names.len());
        for name in names {
            match name.as_str() {
                Some(name) => loaded.push(name.into()),
                None => reader.fault("loaded.name", Some(&name.to_string())),
            }
        }
        loaded
    });
    let report = LoadReport {
        boot: reader.required(&object, "boot", identifier),
        capacity: reader.required(&object, "capacity", whole),
        batch: reader.required(&object, "batch", whole),
        block: reader.optional(&object, "block", whole),
        prefill: reader.optional(&object, "prefill_us", micros),
        loaded,
    };
    (report.capacity.is_some() || report.loaded.is_some()).then_some(report)
}

/// An event of the engine's KV cache.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CacheEvent {
    /// Position of the event.
    pub seq: u64,
    /// Prefix, and whether it is stored from now on; `None` if these cannot be read.
    pub change: Option<(u32, bool)>,
}

/// Reads the cache events whose position can be read.
pub fn read_cache_events(body: &[u8], faults: &mut Vec<Fault>) -> Vec<CacheEvent> {
    let mut reader = Reader { document: Document::CacheEvents, faults };
    let text = String::from_utf8_lossy(body);
    let list: Vec<&RawValue> = reader.parse(&text).unwrap_or_default();
    let mut events = Vec::new();
    for event in list.into_iter().map(read_lenient) {
        if !event.is_object() {
            reader.fault("event", Some(&event.to_string()));
            continue;
        }
        let prefix = reader.required(&event, "prefix", whole);
        let stored = reader.required(&event, "stored", Value::as_bool);
        let seq = reader.required(&event, "seq", whole::<u64>);
        events.extend(seq.map(|seq| CacheEvent { seq, change: prefix.zip(stored) }));
    }
    events
}

/// An event of the stream of a generation.
#[derive(Debug, Default, PartialEq)]
pub struct StreamEvent {
    /// Index and text of a token, if it has one.
    pub token: Option<(u32, Arc<str>)>,
    /// Why the generation ended, if it did.
    pub finish: Option<Arc<str>>,
}

/// Reads an event of a stream. One with an empty list of choices has no token.
///
/// # Errors
///
/// Returns the first fault, due to which a token or the end would be lost.
pub fn read_stream_event(id: &str, data: &str) -> Result<StreamEvent, Fault> {
    let mut faults = Vec::new();
    let mut reader = Reader { document: Document::StreamEvent, faults: &mut faults };
    let text = |value: &Value| value.as_str().map(Arc::from);
    let mut event = StreamEvent::default();
    if let Some(object) = reader.parse(data).map(read_lenient) {
        let choices = reader.required(&object, "choices", Value::as_array);
        if let Some(choice) = choices.and_then(|choices| choices.first()) {
            event.finish = reader.optional(choice, "finish_reason", text);
            // The event of an end may have no text.
            let token: Option<Arc<str>> = match event.finish {
                Some(_) => reader.optional(choice, "text", text),
                None => reader.required(choice, "text", text),
            };
            if let Some(token) = token.filter(|token| !token.is_empty()) {
                match id.parse() {
                    Ok(ix) => event.token = Some((ix, token)),
                    Err(_) => reader.fault("id", Some(id)),
                }
            }
        }
    }
    faults.into_iter().next().map_or(Ok(event), Err)
}

//! The configuration in force in a process: its version, which never decreases, and its transfer
//! in chunks.

mod submit;

pub use submit::{
    HEAD_KEY, Head, Submission, Submitted, part_key, read_newest, read_version, submit, write_back,
};

use crate::frame::IntentCopy;
use crate::id::IntentVersion;
use crate::memory;
use crate::text::Text;
use sha2::{Digest, Sha256};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

/// Maximum size of a chunk. A longer line is split.
const MAX_CHUNK_BYTES: usize = 64 << 10;
/// Mean number of lines per chunk.
const MEAN_CHUNK_LINES: u64 = 64;

/// Configuration in force in a process.
#[derive(Debug, Default)]
pub struct Intent {
    version: IntentVersion,
    text: Rc<Text>,
    /// Hash and content of each chunk of the source text, in order.
    chunks: Vec<(Arc<str>, Arc<str>)>,
    /// Whether the text is only forwarded by this process, and not parsed.
    is_relay: bool,
}

/// Reason why a copy was not adopted.
#[derive(Debug, Clone, PartialEq)]
pub enum AdoptError {
    /// The version is not higher than the one in force.
    Stale,
    /// Chunks with these hashes are missing.
    MissingChunks(Vec<Arc<str>>),
    /// The text is not a valid configuration; this is its first fault.
    Invalid(Arc<str>),
}

impl Intent {
    /// Creates an empty intent that forwards texts without parsing them.
    pub fn relay() -> Self {
        Intent { is_relay: true, ..Intent::default() }
    }

    /// Returns the version in force, 0 if there is none yet.
    pub fn version(&self) -> IntentVersion {
        self.version
    }

    /// Returns the parsed configuration; empty if there is none yet or if it is not parsed here.
    pub fn text(&self) -> Rc<Text> {
        self.text.clone()
    }

    /// Returns the source text of the configuration, as submitted.
    pub fn source(&self) -> String {
        self.chunks.iter().map(|(_, c)| &**c).collect()
    }

    /// Returns the hashes of the chunks of the source text, in order.
    pub fn chunk_hashes(&self) -> Vec<Arc<str>> {
        self.chunks.iter().map(|(h, _)| h.clone()).collect()
    }

    /// Returns a copy of the text for a peer, without the chunks whose hashes are in `have`.
    pub fn copy_without(&self, have: &[Arc<str>]) -> IntentCopy {
        let is_missing = |h: &Arc<str>| !have.contains(h);
        let chunks = self.chunks.iter().filter(|(h, _)| is_missing(h)).map(|(_, c)| c.clone());
        IntentCopy { version: self.version, parts: self.chunk_hashes(), chunks: chunks.collect() }
    }

    /// Returns the chunks of the copy and of this process by their hashes.
    fn available_chunks(&self, copy: &IntentCopy) -> HashMap<Arc<str>, Arc<str>> {
        let mut available: HashMap<Arc<str>, Arc<str>> = self.chunks.iter().cloned().collect();
        available.extend(copy.chunks.iter().map(|c| (chunk_hash(c), c.clone())));
        available
    }

    /// Returns the hashes of the chunks that a newer copy refers to and that neither the copy nor
    /// this process contains. Empty for a copy that is not newer.
    pub fn missing_chunks(&self, copy: &IntentCopy) -> Vec<Arc<str>> {
        if copy.version <= self.version {
            return Vec::new();
        }
        let available = self.available_chunks(copy);
        copy.parts.iter().filter(|h| !available.contains_key(*h)).cloned().collect()
    }

    /// Adopts a copy if its version is higher than the one in force.
    ///
    /// # Errors
    ///
    /// Returns [`AdoptError`] if the copy is not newer, is incomplete or is invalid.
    pub fn adopt(&mut self, copy: &IntentCopy) -> Result<(), AdoptError> {
        if copy.version <= self.version {
            return Err(AdoptError::Stale);
        }
        let missing = self.missing_chunks(copy);
        if !missing.is_empty() {
            return Err(AdoptError::MissingChunks(missing));
        }
        let available = self.available_chunks(copy);
        let chunks: Vec<(Arc<str>, Arc<str>)> =
            copy.parts.iter().map(|h| (h.clone(), available[h].clone())).collect();
        if !self.is_relay {
            let source: String = chunks.iter().map(|(_, c)| &**c).collect();
            let text = Text::parse(&source).map_err(|faults| {
                let first = faults.first().map(ToString::to_string);
                AdoptError::Invalid(first.unwrap_or_default().into())
            })?;
            self.text = Rc::new(text);
        }
        self.version = copy.version;
        self.chunks = chunks;
        // The allocator would keep what parsing needed for a while.
        memory::release();
        Ok(())
    }
}

/// Returns the hash that identifies a chunk: the first 16 bytes of its SHA-256 in hexadecimal.
pub fn chunk_hash(chunk: &str) -> Arc<str> {
    let digest = Sha256::digest(chunk.as_bytes());
    Arc::from(digest[..16].iter().map(|b| format!("{b:02x}")).collect::<String>())
}

/// Splits a text into chunks of at most [`MAX_CHUNK_BYTES`] that end with a line where it fits.
///
/// Whether a chunk ends after a line depends mainly on the hash of that line, so that an edit of
/// the text changes few chunks.
pub fn split_chunks(text: &str) -> Vec<Arc<str>> {
    let mut all = Vec::new();
    let (mut start, mut end) = (0, 0);
    for line in text.split_inclusive('\n') {
        if end - start + line.len() > MAX_CHUNK_BYTES && start < end {
            all.push(Arc::from(&text[start..end]));
            start = end;
        }
        end += line.len();
        while end - start > MAX_CHUNK_BYTES {
            let cut = text.floor_char_boundary(start + MAX_CHUNK_BYTES);
            all.push(Arc::from(&text[start..cut]));
            start = cut;
        }
        let hash = Sha256::digest(line.as_bytes())[0];
        if u64::from(hash) % MEAN_CHUNK_LINES == 0 {
            all.push(Arc::from(&text[start..end]));
            start = end;
        }
    }
    if start < text.len() {
        all.push(Arc::from(&text[start..]));
    }
    all
}

#[cfg(test)]
mod tests;

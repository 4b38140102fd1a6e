//! The operators' text in force: versions that only rise, and its transfer in chunks.

mod submit;

pub use submit::{HEAD_KEY, Head, Submission, Submitted, read_newest, read_version, submit};

use crate::frame::IntentCopy;
use crate::id::IntentVersion;
use crate::text::Text;
use sha2::{Digest, Sha256};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

/// Longest chunk in bytes.
const MAX_CHUNK_BYTES: usize = 64 << 10;
/// Lines after which a chunk ends, on average.
const MEAN_CHUNK_LINES: u64 = 64;

/// The text in force in one process.
#[derive(Debug, Default)]
pub struct Intent {
    version: IntentVersion,
    text: Rc<Text>,
    chunks: Vec<(Arc<str>, Arc<str>)>,
    /// Tells that the text is only passed on here, and not read.
    relay: bool,
}

/// Tells why a copy was not adopted.
#[derive(Debug, Clone, PartialEq)]
pub enum AdoptError {
    /// The version is not higher than the one in force.
    Stale,
    /// These chunks are missing.
    MissingChunks(Vec<Arc<str>>),
    /// The chunks are not a valid text.
    Invalid,
}

impl Intent {
    /// Makes an empty holder that passes texts on without reading them.
    pub fn relay() -> Self {
        Intent { relay: true, ..Intent::default() }
    }

    /// Returns the version in force; 0 before there is one.
    pub fn version(&self) -> IntentVersion {
        self.version
    }

    /// Returns the checked text.
    pub fn text(&self) -> Rc<Text> {
        self.text.clone()
    }

    /// Returns the text as the operators wrote it.
    pub fn source(&self) -> String {
        self.chunks.iter().map(|(_, c)| &**c).collect()
    }

    /// Returns the hashes of the chunks held.
    pub fn chunk_hashes(&self) -> Vec<Arc<str>> {
        self.chunks.iter().map(|(h, _)| h.clone()).collect()
    }

    /// Returns the text in force for a peer that has the chunks in `have`.
    pub fn copy_without(&self, have: &[Arc<str>]) -> IntentCopy {
        let lacks = |h: &Arc<str>| !have.contains(h);
        let chunks = self.chunks.iter().filter(|(h, _)| lacks(h)).map(|(_, c)| c.clone());
        IntentCopy { version: self.version, parts: self.chunk_hashes(), chunks: chunks.collect() }
    }

    fn available_chunks(&self, copy: &IntentCopy) -> HashMap<Arc<str>, Arc<str>> {
        let mut known: HashMap<Arc<str>, Arc<str>> = self.chunks.iter().cloned().collect();
        known.extend(copy.chunks.iter().map(|c| (chunk_hash(c), c.clone())));
        known
    }

    /// Returns the chunks of a newer copy that neither it nor this process has.
    pub fn missing_chunks(&self, copy: &IntentCopy) -> Vec<Arc<str>> {
        if copy.version <= self.version {
            return Vec::new();
        }
        let known = self.available_chunks(copy);
        copy.parts.iter().filter(|h| !known.contains_key(*h)).cloned().collect()
    }

    /// Adopts a copy if its version is higher than the one in force.
    ///
    /// # Errors
    ///
    /// Returns [`AdoptError`] where the copy is old, incomplete or invalid.
    pub fn adopt(&mut self, copy: &IntentCopy) -> Result<(), AdoptError> {
        if copy.version <= self.version {
            return Err(AdoptError::Stale);
        }
        let lacking = self.missing_chunks(copy);
        if !lacking.is_empty() {
            return Err(AdoptError::MissingChunks(lacking));
        }
        let known = self.available_chunks(copy);
        let chunks: Vec<(Arc<str>, Arc<str>)> =
            copy.parts.iter().map(|h| (h.clone(), known[h].clone())).collect();
        if !self.relay {
            let source: String = chunks.iter().map(|(_, c)| &**c).collect();
            let text = Text::parse(&source).map_err(|_| AdoptError::Invalid)?;
            self.text = Rc::new(text);
        }
        self.version = copy.version;
        self.chunks = chunks;
        release_memory();
        Ok(())
    }
}

/// Gives back what reading a text took for a moment; the allocator would keep it.
fn release_memory() {
    // SAFETY: the call has no conditions; it only returns free pages to the system.
    unsafe {
        libc::malloc_trim(0);
    }
}

/// Returns the name of a chunk.
pub fn chunk_hash(chunk: &str) -> Arc<str> {
    let digest = Sha256::digest(chunk.as_bytes());
    Arc::from(digest[..16].iter().map(|b| format!("{b:02x}")).collect::<String>())
}

/// Cuts a text after lines chosen by their content, so that a change touches few chunks.
pub fn split_chunks(text: &str) -> Vec<Arc<str>> {
    let mut all = Vec::new();
    let mut start = 0;
    let mut end = 0;
    for line in text.split_inclusive('\n') {
        end += line.len();
        let sum = Sha256::digest(line.as_bytes())[0];
        let is_cut =
            u64::from(sum) % MEAN_CHUNK_LINES == 0 || end - start + line.len() > MAX_CHUNK_BYTES;
        if is_cut {
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

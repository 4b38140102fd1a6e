//! Limits of the requests that follow each other on a connection.

use super::Fault;
use super::scan::{BodyLength, ChunkScanner, ChunkStep, scan_request};

/// Finds the limits of the requests on a connection without reading them.
#[derive(Debug, Default)]
pub struct RequestScanner {
    place: Place,
}

/// Place in a request.
#[derive(Debug, Default)]
enum Place {
    /// Before the end of a head.
    #[default]
    Head,
    /// Before this many bytes of a body.
    Body(u64),
    /// In a body that is sent in chunks.
    Chunks(ChunkScanner),
}

impl RequestScanner {
    /// Scans the bytes that follow the last step, and returns how many of them are valid; 0 if more
    /// bytes are needed.
    ///
    /// # Errors
    ///
    /// Returns [`Fault`] if they do not belong to a request.
    pub fn scan(&mut self, bytes: &[u8]) -> Result<usize, Fault> {
        match &mut self.place {
            Place::Head => self.scan_head(bytes),
            Place::Body(left) => {
                let n = usize::try_from(*left).unwrap_or(usize::MAX).min(bytes.len());
                *left -= n as u64;
                if *left == 0 {
                    self.place = Place::Head;
                }
                Ok(n)
            }
            Place::Chunks(chunks) => match chunks.scan(bytes)? {
                ChunkStep::More => Ok(0),
                ChunkStep::Mark(n) | ChunkStep::Data(n) => Ok(n),
                ChunkStep::End(n) => {
                    self.place = Place::Head;
                    Ok(n)
                }
            },
        }
    }

    fn scan_head(&mut self, bytes: &[u8]) -> Result<usize, Fault> {
        let Some(head) = scan_request(bytes)? else { return Ok(0) };
        self.place = match head.body {
            BodyLength::Bytes(0) | BodyLength::Close => Place::Head,
            BodyLength::Bytes(n) => Place::Body(n),
            BodyLength::Chunked => Place::Chunks(ChunkScanner::default()),
        };
        Ok(head.size)
    }

    /// Returns whether the next byte belongs to a head.
    pub fn is_in_head(&self) -> bool {
        matches!(self.place, Place::Head)
    }
}

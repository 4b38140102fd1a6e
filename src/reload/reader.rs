//! Reads a file on threads of its own, so that a read that blocks holds up nothing else.

use std::collections::HashSet;
use std::io::{self, ErrorKind};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Time after which a read that has not ended is left to itself.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Number of reads that may be in progress.
const MAX_READS: usize = 4;

/// Device and number of a file, which a replaced one does not share.
type FileId = (u64, u64);

/// Files that are being read, by all threads of a [`Reader`].
type Open = Arc<Mutex<HashSet<FileId>>>;

/// What a thread has read.
#[derive(Debug)]
struct Read {
    number: u64,
    /// What the read gave; `None` if another thread reads the same file.
    text: Option<io::Result<Vec<u8>>>,
}

/// Reads a file that may take long, or be replaced meanwhile.
#[derive(Debug)]
pub struct Reader {
    path: PathBuf,
    open: Open,
    sender: UnboundedSender<Read>,
    reads: UnboundedReceiver<Read>,
    /// Number of the last read that was started.
    started: u64,
    /// Number of reads in progress.
    running: usize,
    /// Number of the newest read that has ended.
    newest: u64,
}

impl Reader {
    /// Creates a reader that has read nothing yet.
    pub fn new(path: PathBuf) -> Self {
        let (sender, reads) = unbounded_channel();
        let (started, running, newest) = (0, 0, 0);
        Reader { path, open: Open::default(), sender, reads, started, running, newest }
    }

    /// Returns the path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Reads the file, for at most [`READ_WAIT`]. A read that takes longer is the result of a later
    /// call, unless a newer one has ended before. A process that gets no thread reads the file itself.
    ///
    /// # Errors
    ///
    /// Returns the error of the file system; [`ErrorKind::TimedOut`] if no read ends in time.
    pub async fn read(&mut self) -> io::Result<Vec<u8>> {
        if self.running < MAX_READS
            && let Err(e) = self.start()
        {
            log::warn!("no thread to read {}: {e}", self.path.display());
            return std::fs::read(&self.path);
        }
        let mut newest = None;
        let end = tokio::time::Instant::now() + READ_WAIT;
        while let Ok(Some(read)) = tokio::time::timeout_at(end, self.reads.recv()).await {
            self.running -= 1;
            let is_last = read.number == self.started && read.text.is_some();
            if let Some(text) = read.text.filter(|_| read.number > self.newest) {
                self.newest = read.number;
                newest = Some(text);
            }
            if is_last || self.running == 0 {
                break;
            }
        }
        newest.unwrap_or_else(|| Err(ErrorKind::TimedOut.into()))
    }

    /// Starts a read.
    ///
    /// # Errors
    ///
    /// Returns the error of the start of a thread.
    fn start(&mut self) -> io::Result<()> {
        let number = self.started + 1;
        let (path, open, sender) = (self.path.clone(), self.open.clone(), self.sender.clone());
        std::thread::Builder::new().name("settings".to_owned()).spawn(move || {
            let text = read_unless_open(&path, &open);
            // Nobody waits for it once the process ends.
            let _ = sender.send(Read { number, text });
        })?;
        self.started = number;
        self.running += 1;
        Ok(())
    }
}

/// Reads a file; `None` if another thread reads the same one.
fn read_unless_open(path: &Path, open: &Open) -> Option<io::Result<Vec<u8>>> {
    let id = match std::fs::metadata(path) {
        Ok(metadata) => (metadata.dev(), metadata.ino()),
        Err(e) => return Some(Err(e)),
    };
    if !lock(open).insert(id) {
        return None;
    }
    let text = std::fs::read(path);
    lock(open).remove(&id);
    Some(text)
}

fn lock(open: &Open) -> MutexGuard<'_, HashSet<FileId>> {
    open.lock().unwrap_or_else(PoisonError::into_inner)
}

//! The record of a run: what was sent, answered and run, in the order of time.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines with the seconds since the start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        let file = Arc::new(Mutex::new(BufWriter::new(File::create(path)?)));
        Ok(Record { start: Instant::now(), file })
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let at = self.now();
        let mut f = self.file.lock().expect("no writer panics");
        let _ = writeln!(f, "{at:9.3} {text}");
    }

    pub fn flush(&self) {
        let _ = self.file.lock().expect("no writer panics").flush();
    }
}

/// Numbers that are spread evenly; a fixed seed for each thread.
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Random {
        Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    /// A number from 0 up to 1.
    pub fn unit(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

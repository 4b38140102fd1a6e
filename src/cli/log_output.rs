//! Log of the processes that serve.

use crate::clock;
use crate::escape;
use crate::id::InstanceId;
use crate::logs::{LineKind, LogWriter};
use std::fs::File;
use std::os::fd::{FromRawFd, RawFd};
use std::sync::{Arc, OnceLock};

/// Log of a process that serves.
#[derive(Debug, Clone)]
pub struct ProcessLog {
    /// Queue of the lines.
    pub writer: Arc<LogWriter<&'static File>>,
    /// Name of the instance, which is not known before its settings are read.
    instance: Arc<OnceLock<InstanceId>>,
}

impl ProcessLog {
    /// Sends log lines to a standard output of the process without blocking on its reader.
    pub fn start(output: RawFd) -> Self {
        // SAFETY: the runtime of the language has opened the standard outputs, and nothing closes them.
        let out = unsafe { File::from_raw_fd(output) };
        // Never closed, since another file would get its descriptor.
        let out: &'static File = Box::leak(Box::new(out));
        let writer = Arc::new(LogWriter::start(clock::now(), out));
        let log = ProcessLog { writer, instance: Arc::default() };
        let dispatch = fern::Dispatch::new()
            .level(log::LevelFilter::Warn)
            .level_for("skylarkthread", log::LevelFilter::Info)
            .chain(log.clone().into_output());
        // Fails only if a logger is installed already, which then stays in use.
        let _ = dispatch.apply();
        log
    }

    fn into_output(self) -> fern::Output {
        fern::Output::call(move |record| {
            let t = clock::wall();
            let text = record.args().to_string();
            let line = format!(
                "time={}.{:06} level={} instance={} {}\n",
                t.as_secs(),
                t.subsec_micros(),
                record.level(),
                self.instance.get().map_or("-", InstanceId::as_str),
                escape::line(&text),
            );
            let is_warning = record.level() == log::Level::Warn;
            let kind = if is_warning { LineKind::Warning } else { LineKind::Event };
            self.writer.push(clock::now(), kind, line.as_bytes());
        })
    }

    /// Sets the name of the instance, once it is known.
    pub fn name(&self, id: &InstanceId) {
        // It is set once, as the settings are waited for once.
        let _ = self.instance.set(id.clone());
    }
}

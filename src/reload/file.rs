//! Reads a settings file, at the start until it can be used.

use super::reader::Reader;
use super::{Reasons, Settled};
use crate::clock;
use crate::event::{self, Kind};
use crate::shutdown::StopSignals;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Interval at which the settings file is read until it can be used.
const START_INTERVAL: Duration = Duration::from_millis(100);

/// What a text says as settings.
#[derive(Debug)]
pub struct Content<T> {
    /// Settings; `None` if they cannot be used.
    pub settings: Option<T>,
    /// What is wrong with the text; the settings are used only once it stays the same.
    pub fault: Option<String>,
}

/// The settings file of a process, and what is known of its content.
#[derive(Debug)]
pub struct SettingsFile {
    reader: Reader,
    settled: Settled,
    /// What was logged of the reasons not to use the file as it is.
    reasons: Reasons,
    /// What was logged of changes that a running process does not apply.
    unapplied: Reasons,
}

impl SettingsFile {
    /// Creates a file that has not been read yet.
    pub fn new(path: PathBuf) -> Self {
        SettingsFile {
            reader: Reader::new(path),
            settled: Settled::default(),
            reasons: Reasons::default(),
            unapplied: Reasons::default(),
        }
    }

    /// Waits until the file has settings to serve with; `None` if the process is asked to stop before.
    pub async fn wait_usable<T>(
        &mut self,
        stop_signals: &mut StopSignals,
        parse: impl Fn(&str) -> Content<T>,
    ) -> Option<T> {
        tokio::select! {
            biased;
            () = stop_signals.wait() => {
                event::log(Kind::Stopped, "-", "why=\"asked to while waiting for settings\"");
                None
            }
            settings = self.read_usable(parse) => Some(settings),
        }
    }

    async fn read_usable<T>(&mut self, parse: impl Fn(&str) -> Content<T>) -> T {
        loop {
            if let Some(settings) = self.read(&parse).await {
                return settings;
            }
            tokio::time::sleep(START_INTERVAL).await;
        }
    }

    /// Reads the file; `None`, with the reason in the log, if it is not to be used now.
    pub async fn read<T>(&mut self, parse: impl FnOnce(&str) -> Content<T>) -> Option<T> {
        let read = self.reader.read().await;
        let now = clock::now();
        let text = match read {
            // Bytes that are not UTF-8 make only their own field invalid.
            Ok(bytes) => String::from_utf8_lossy(&bytes).into_owned(),
            Err(e) => {
                self.log_unusable(now, &format!("cannot be read: {e}"));
                return None;
            }
        };
        let Content { settings, fault } = parse(&text);
        let is_settled = self.settled.step(now, &text);
        match &fault {
            None => self.reasons.clear(),
            Some(fault) => self.log_unusable(now, fault),
        }
        settings.filter(|_| fault.is_none() || is_settled)
    }

    /// Logs that a running process does not apply a change of names or addresses.
    pub fn log_unapplied(&mut self, now: Instant) {
        let reason = "a changed name or address of this instance applies after a restart";
        if self.unapplied.is_due(now, reason) {
            log::warn!("{}: {reason}", self.reader.path().display());
        }
    }

    fn log_unusable(&mut self, now: Instant, reason: &str) {
        if self.reasons.is_due(now, reason) {
            let file = self.reader.path().display().to_string();
            event::log(Kind::SettingsUnusable, &file, &format!("why={reason:?}"));
        }
    }
}

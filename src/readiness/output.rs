//! Writes to log and metrics what a [`Watch`] decides.

use super::{Obstacle, Watch};
use crate::{clock, event};
use std::convert::Infallible;
use std::time::Duration;

/// Interval at which the time without settings is logged and counted.
const SETTINGS_INTERVAL: Duration = Duration::from_millis(100);

/// Counts seconds without readiness for their obstacle. A count of 0 shows the reason before its first
/// second is over.
pub fn count_seconds(obstacle: &Obstacle, seconds: u64) {
    let why = obstacle.to_string();
    metrics::counter!("unready_seconds_total", "why" => why).increment(seconds);
}

/// Waits for the settings of a process, and logs and counts the time without them. The name of the
/// instance is not known meanwhile.
pub async fn wait_settings<T>(watch: &mut Watch, settings: impl Future<Output = T>) -> T {
    tokio::select! {
        biased;
        settings = settings => settings,
        never = watch_settings(watch) => match never {},
    }
}

async fn watch_settings(watch: &mut Watch) -> Infallible {
    loop {
        tokio::time::sleep(SETTINGS_INTERVAL).await;
        let step = watch.step(clock::now(), Some(Obstacle::Settings));
        step.counted.iter().for_each(|obstacle| count_seconds(obstacle, 1));
        step.reports.iter().for_each(|report| event::log(report.kind(), "-", &report.to_string()));
    }
}

//! Evacuations of data centres, from the store and from the digests of other instances.

use super::Gateway;
use crate::event::Kind;
use crate::gossip::EvacuationRow;
use crate::id::DataCentre;
use crate::platform;
use crate::pool::{Evacuation, Progress, Source};
use crate::store::{Era, KeyValue, Position};
use std::fmt::Display;
use std::time::Instant;

/// Applies a change of a key of the store.
pub fn apply_kv(gw: &Gateway, kv: &KeyValue, era: Era) {
    if let Some(change) = parse(kv, era) {
        apply(gw, change, "store");
    }
}

/// Applies a full read of the store.
pub fn replace(gw: &Gateway, at: Position, items: &[&KeyValue], source: Source) {
    let all = items.iter().filter_map(|kv| parse(kv, at.era)).collect();
    let changes = gw.pool.borrow_mut().replace_evacuations(at, all, source);
    changes.iter().for_each(|change| log_change(gw, change, "store"));
}

/// Applies the changes that another instance knows, except for those of an era that this instance has
/// not read, which may be wrong. A change is repeated with each digest.
pub fn merge(gw: &Gateway, rows: Vec<EvacuationRow>) {
    let era = gw.store_position.borrow().era();
    let changes = rows.into_iter().map(Evacuation::from).filter(|change| change.at.era <= era);
    changes.for_each(|change| apply(gw, change, "peer"));
}

/// Returns the newest changes that this instance knows.
pub fn rows(gw: &Gateway) -> Vec<EvacuationRow> {
    gw.pool.borrow().evacuations().all().map(EvacuationRow::from).collect()
}

/// Records which data centres are evacuated and what is still open there, and logs when one is
/// empty.
pub fn step(gw: &Gateway, now: Instant) {
    let all = gw.pool.borrow_mut().step_evacuations(now);
    for Progress { centre, time, open, is_emptied } in all {
        let labels = [("data_centre", centre.to_string())];
        metrics::gauge!("evacuation_seconds", &labels).set(time.as_secs_f64());
        metrics::gauge!("evacuation_open_requests", &labels).set(f64::from(open));
        if is_emptied {
            gw.event(Kind::Emptied, centre, format_args!("ms={}", time.as_millis()));
        }
    }
    let pool = gw.pool.borrow();
    let count = pool.evacuations().all().filter(|e| e.active).count();
    metrics::gauge!("evacuated_data_centres").set(count as f64);
    metrics::gauge!("evacuated_requests").set(f64::from(pool.evacuated_requests()));
}

fn parse(kv: &KeyValue, era: Era) -> Option<Evacuation> {
    let name = kv.key.strip_prefix(platform::EVACUATIONS_PREFIX)?;
    let centre = match DataCentre::from_label(name) {
        Ok(centre) => centre,
        Err(e) => {
            log::warn!("ignored evacuation of {name:?}, not the name of a data centre: {e}");
            return None;
        }
    };
    let at = Position::new(era, kv.revision);
    Some(Evacuation { centre, at, active: kv.value.is_some() })
}

fn apply(gw: &Gateway, change: Evacuation, from: impl Display) {
    let is_changed = gw.pool.borrow_mut().apply_evacuation(change.clone());
    if is_changed {
        log_change(gw, &change, from);
    }
}

fn log_change(gw: &Gateway, change: &Evacuation, from: impl Display) {
    let endpoints = gw.pool.borrow().count_in(&change.centre);
    let kind = if change.active { Kind::EvacuationBegun } else { Kind::EvacuationEnded };
    let detail = format!("at={} endpoints={endpoints} from={from}", change.at);
    gw.event(kind, &change.centre, detail);
    if !change.active {
        let labels = [("data_centre", change.centre.to_string())];
        metrics::gauge!("evacuation_seconds", &labels).set(0.0);
        metrics::gauge!("evacuation_open_requests", &labels).set(0.0);
    }
    if change.active && endpoints == 0 {
        let centre = change.centre.as_str();
        log::warn!("no endpoint is known in the evacuated data centre {centre:?}");
    }
}

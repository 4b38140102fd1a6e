//! The commands of scenario files, one module per controller.

pub mod eject;
pub mod gate;
pub mod lead;
pub mod member;
pub mod once;
pub mod quarantine;

use datadriven::TestCase;
use skylarkthread::board::{Endpoint, Health, LatestReport};
use skylarkthread::frame::Report;
use skylarkthread::id::Incarnation;
use skylarkthread::store::ListedState;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::{Duration, Instant};

/// Reads an argument of a command.
pub fn arg<T: FromStr>(case: &TestCase, name: &str) -> Option<T> {
    case.args.get(name).and_then(|v| v.first()).and_then(|v| v.parse().ok())
}

/// Reads an argument that has to be there.
pub fn need<T: FromStr>(case: &TestCase, name: &str) -> T {
    arg(case, name).unwrap_or_else(|| panic!("{} lacks {name}", case.directive))
}

/// Reads a list of names.
pub fn names(case: &TestCase, name: &str) -> Vec<String> {
    case.args.get(name).cloned().unwrap_or_default()
}

/// Reads the time of a command in milliseconds from the start.
pub fn at(start: Instant, case: &TestCase) -> Instant {
    start + Duration::from_millis(arg(case, "at").unwrap_or(0))
}

/// Makes an endpoint that serves and last said `report`.
pub fn endpoint(ix: usize, now: Instant, report: Report) -> Endpoint {
    Endpoint {
        instance: format!("e-{ix}").parse().expect("the name is valid"),
        centre: "dc".parse().expect("the name is valid"),
        peer: SocketAddr::from(([127, 0, 0, 1], 1)),
        listed: Some(ListedState::Live),
        latest: Some(LatestReport { report, incarnation: Incarnation(1), received: now }),
        linked: true,
        health: Health::default(),
        open_requests: 0,
        sent_requests: 0,
        sent_tokens: 0,
    }
}

/// Ends each line as the files have it.
pub fn lines(all: Vec<String>) -> String {
    if all.is_empty() { "nothing\n".into() } else { all.iter().map(|l| format!("{l}\n")).collect() }
}

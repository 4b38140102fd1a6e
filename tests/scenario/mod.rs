//! Commands of the scenario files, one module per component.

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

/// Parses an optional argument of a command.
pub fn arg<T: FromStr>(case: &TestCase, name: &str) -> Option<T> {
    case.args.get(name).and_then(|v| v.first()).and_then(|v| v.parse().ok())
}

/// Parses a required argument of a command.
pub fn need<T: FromStr>(case: &TestCase, name: &str) -> T {
    arg(case, name)
        .unwrap_or_else(|| panic!("command {} requires a valid argument {name}", case.directive))
}

/// Returns the values of a list argument.
pub fn names(case: &TestCase, name: &str) -> Vec<String> {
    case.args.get(name).cloned().unwrap_or_default()
}

/// Returns the time of a command, given as `at` in milliseconds after the start.
pub fn at(start: Instant, case: &TestCase) -> Instant {
    start + Duration::from_millis(arg(case, "at").unwrap_or(0))
}

/// Creates a serving endpoint whose latest report is `report`.
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

/// Joins the lines of a result in the format of the files.
pub fn lines(all: Vec<String>) -> String {
    if all.is_empty() { "nothing\n".into() } else { all.iter().map(|l| format!("{l}\n")).collect() }
}

//! Days of both deployments at a small scale, from scripts: `SECOND verb target [number]`.

use crate::common::*;
use standin::caller::{Caller, RequestError, StreamEnd, TokenStream};
use standin::fleet::{Fleet, Plan};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time of a day.
const DAY: Duration = Duration::from_secs(24);
/// Time between two streams, and between two calls.
const EVERY: u64 = 120;
/// Time that a replaced process may take to finish its work.
const STOP_TIME: Duration = Duration::from_secs(20);
/// Times that a broken stream is resumed.
const RESUMES: usize = 6;

#[derive(Debug)]
struct Event {
    at: Duration,
    verb: String,
    target: String,
    n: usize,
}

fn scan_event(line: &str) -> Option<Event> {
    let mut words = line.split_whitespace();
    Some(Event {
        at: Duration::from_secs(words.next()?.parse().ok()?),
        verb: words.next()?.to_string(),
        target: words.next()?.to_string(),
        n: words.next().and_then(|n| n.parse().ok()).unwrap_or(0),
    })
}

fn apply(fleet: &mut Fleet, e: &Event) {
    match (e.verb.as_str(), e.target.as_str()) {
        ("fail", "engine" | "plain") => fleet.crash_backend(e.n),
        ("revive", "engine" | "plain") => fleet.restart_backend(e.n),
        ("fail", "sidecar") => fleet.restart_sidecar(e.n),
        ("fail", "entry") => fleet.restart_entry(e.n),
        ("replace", "sidecar") => {
            let sidecar = &mut fleet.endpoints[e.n].sidecar;
            sidecar.terminate();
            assert_eq!(sidecar.wait_exit(STOP_TIME), Some(0), "{e:?}");
            fleet.restart_sidecar(e.n);
        }
        ("replace", "entry") => {
            let entry = &mut fleet.entries[e.n].daemon;
            entry.terminate();
            assert_eq!(entry.wait_exit(STOP_TIME), Some(0), "{e:?}");
            fleet.restart_entry(e.n);
        }
        ("outage", "begins") => fleet.store.change_faults(|f| f.down = true),
        ("outage", "ends") => fleet.store.change_faults(|f| f.down = false),
        _ => panic!("no such event: {e:?}"),
    }
}

/// Reads a stream to its end, through other entries where a connection breaks.
async fn stream(
    entries: Vec<SocketAddr>,
    n: usize,
) -> Result<(StreamEnd, TokenStream), RequestError> {
    let caller = Caller::new(&format!("key-{}", n % 10));
    let prompt = format!("output={}; day {n}", 20 + n % 60);
    let mut reading = caller.open(entries[n % entries.len()], "captions", &prompt, 500).await?;
    for again in 1..=RESUMES {
        let end = reading.finish().await;
        if end != StreamEnd::Dropped {
            return Ok((end, reading));
        }
        match caller.resume(entries[(n + again) % entries.len()], &reading).await {
            Ok(rest) => reading = rest,
            Err(RequestError::Refused(r)) => {
                return Ok((StreamEnd::Broken(r.outcome.to_string()), reading));
            }
            Err(RequestError::Unreached) => sleep_ms(300).await,
        }
    }
    Ok((StreamEnd::Dropped, reading))
}

/// Sends a call through two entries; returns the outcomes that were named.
async fn call(entries: Vec<SocketAddr>, n: usize) -> (String, Vec<String>) {
    let caller = Caller::new("key-1");
    let body = format!("day-call-{n};");
    let key = match caller.mint_key(entries[n % entries.len()], "booking").await {
        Ok(minted) if n.is_multiple_of(2) => minted,
        _ => format!("day-{n}"),
    };
    let mut told = Vec::new();
    for again in 0..3 {
        let entry = entries[(n + again) % entries.len()];
        let sent = caller.call(entry, "POST", CALL_PATH, Some(&key), &body).await;
        told.push(sent.map_or_else(|e| e.outcome().to_string(), |_| "done".into()));
    }
    (body, told)
}

#[rstest::rstest]
#[case(include_str!("../data/days/vigilwell.day"))]
#[case(include_str!("../data/days/cymdeithas.day"))]
#[actix_rt::test]
async fn a_day_breaks_no_promise(#[case] script: &str) {
    let pools = vec![engine_pool(4, loaded_params()), booking_pool(3)];
    let mut fleet = start_deployment(Plan { entries: 3, pools, ..Plan::default() }).await;
    let mut events = script.lines().filter_map(scan_event).peekable();
    let begun = Instant::now();
    let entries: Vec<SocketAddr> = (0..3).map(|n| fleet.entry_address(n)).collect();
    let (mut streams, mut calls) = (Vec::new(), Vec::new());
    while begun.elapsed() < DAY {
        while let Some(e) = events.next_if(|e| e.at <= begun.elapsed()) {
            apply(&mut fleet, &e);
        }
        streams.push(actix_rt::spawn(stream(entries.clone(), streams.len())));
        calls.push(actix_rt::spawn(call(entries.clone(), calls.len())));
        sleep_ms(EVERY).await;
    }
    assert!(events.next().is_none(), "the whole script ran");
    let (mut whole, all) = (0, streams.len());
    for (n, task) in streams.into_iter().enumerate() {
        match task.await.unwrap() {
            Ok((StreamEnd::Done(_), r)) => {
                assert_eq!((r.tokens.len(), r.faults()), (20 + n % 60, vec![]));
                whole += 1;
            }
            Ok((StreamEnd::Broken(outcome), r)) => {
                assert_eq!((outcome.as_str(), r.faults()), ("incomplete", vec![]));
            }
            Ok((StreamEnd::Dropped, r)) => assert_eq!(r.faults(), []),
            Err(RequestError::Refused(r)) => assert_eq!(&*r.outcome, "not-run", "{r:?}"),
            Err(RequestError::Unreached) => {}
        }
    }
    assert!(whole * 2 > all, "{whole} of {all} streams whole");
    for task in calls {
        let (body, told) = task.await.unwrap();
        let ran = fleet.call_log.count(&format!("POST /bookings {body}"));
        assert!(ran <= 1, "{body} ran {ran} times: {told:?}");
        assert!(ran == 0 || !told.contains(&"not-run".into()), "{body} ran: {told:?}");
        assert!(ran == 1 || !told.contains(&"done".into()), "{body} did not run: {told:?}");
    }
}

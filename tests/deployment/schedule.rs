//! Fault schedules, run against a deployment under load. Each line of a schedule is
//! `SECOND action target [index]`.

use crate::common::*;
use standin::caller::{Caller, RequestError, StreamEnd, TokenStream};
use standin::fleet::{Fleet, Plan};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time for which load is sent; the last event of a schedule has to be earlier.
const LOAD_TIME: Duration = Duration::from_secs(24);
/// Interval at which a stream and a call are started.
const SEND_INTERVAL_MS: u64 = 120;
/// Time limit for the orderly shutdown of a replaced process.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of attempts to resume a broken stream.
const MAX_RESUMES: usize = 6;

#[derive(Debug)]
struct Event {
    at: Duration,
    action: String,
    target: String,
    /// Index of the endpoint or entry; 0 if the line has none.
    ix: usize,
}

/// Parses a line of a schedule; returns `None` for a comment or a malformed line.
fn parse_event(line: &str) -> Option<Event> {
    let mut fields = line.split_whitespace();
    Some(Event {
        at: Duration::from_secs(fields.next()?.parse().ok()?),
        action: fields.next()?.to_string(),
        target: fields.next()?.to_string(),
        ix: fields.next().and_then(|n| n.parse().ok()).unwrap_or(0),
    })
}

fn apply(fleet: &mut Fleet, e: &Event) {
    match (e.action.as_str(), e.target.as_str()) {
        ("fail", "engine" | "plain") => fleet.crash_backend(e.ix),
        ("revive", "engine" | "plain") => fleet.restart_backend(e.ix),
        ("fail", "sidecar") => fleet.restart_sidecar(e.ix),
        ("fail", "entry") => fleet.restart_entry(e.ix),
        ("replace", "sidecar") => {
            let sidecar = &mut fleet.endpoints[e.ix].sidecar;
            sidecar.terminate();
            assert_eq!(sidecar.wait_exit(SHUTDOWN_TIMEOUT), Some(0), "{e:?}");
            fleet.restart_sidecar(e.ix);
        }
        ("replace", "entry") => {
            let entry = &mut fleet.entries[e.ix].daemon;
            entry.terminate();
            assert_eq!(entry.wait_exit(SHUTDOWN_TIMEOUT), Some(0), "{e:?}");
            fleet.restart_entry(e.ix);
        }
        ("outage", "begins") => fleet.store.change_faults(|f| f.down = true),
        ("outage", "ends") => fleet.store.change_faults(|f| f.down = false),
        _ => panic!("unknown action or target in the schedule: {e:?}"),
    }
}

/// Reads a stream to its end, resuming it through other entries when a connection breaks.
async fn read_stream(
    entries: Vec<SocketAddr>,
    n: usize,
) -> Result<(StreamEnd, TokenStream), RequestError> {
    let caller = Caller::new(&format!("key-{}", n % 10));
    let prompt = format!("output={}; day {n}", 20 + n % 60);
    let mut stream = caller.open(entries[n % entries.len()], "captions", &prompt, 500).await?;
    for attempt in 1..=MAX_RESUMES {
        let end = stream.finish().await;
        if end != StreamEnd::Dropped {
            return Ok((end, stream));
        }
        match caller.resume(entries[(n + attempt) % entries.len()], &stream).await {
            Ok(rest) => stream = rest,
            Err(RequestError::Refused(r)) => {
                return Ok((StreamEnd::Broken(r.outcome.to_string()), stream));
            }
            Err(RequestError::Unreached) => sleep_ms(300).await,
            Err(invalid) => return Err(invalid),
        }
    }
    Ok((StreamEnd::Dropped, stream))
}

/// Sends a call three times through different entries; returns its body and the outcomes received,
/// `done` for an answer of the service.
async fn send_call(entries: Vec<SocketAddr>, n: usize) -> (String, Vec<String>) {
    let caller = Caller::new("key-1");
    let body = format!("day-call-{n};");
    let key = match caller.mint_key(entries[n % entries.len()], "booking").await {
        Ok(minted) if n.is_multiple_of(2) => minted,
        _ => format!("day-{n}"),
    };
    let mut outcomes = Vec::new();
    for attempt in 0..3 {
        let entry = entries[(n + attempt) % entries.len()];
        let sent = caller.call(entry, "POST", CALL_PATH, Some(&key), &body).await;
        outcomes.push(sent.map_or_else(|e| e.outcome().to_string(), |_| "done".into()));
    }
    (body, outcomes)
}

#[rstest::rstest]
#[case(include_str!("../data/schedules/vigilwell.schedule"))]
#[case(include_str!("../data/schedules/cymdeithas.schedule"))]
#[actix_rt::test]
async fn streams_and_calls_stay_correct_during_fault_schedule(#[case] schedule: &str) {
    let pools = vec![engine_pool(4, loaded_params()), booking_pool(3)];
    let mut fleet = start_deployment(Plan { entries: 3, pools, ..Plan::default() }).await;
    let mut events = schedule.lines().filter_map(parse_event).peekable();
    let started = Instant::now();
    let entries: Vec<SocketAddr> = (0..3).map(|n| fleet.entry_address(n)).collect();
    let (mut streams, mut calls) = (Vec::new(), Vec::new());
    while started.elapsed() < LOAD_TIME {
        while let Some(e) = events.next_if(|e| e.at <= started.elapsed()) {
            apply(&mut fleet, &e);
        }
        streams.push(actix_rt::spawn(read_stream(entries.clone(), streams.len())));
        calls.push(actix_rt::spawn(send_call(entries.clone(), calls.len())));
        sleep_ms(SEND_INTERVAL_MS).await;
    }
    assert!(events.next().is_none(), "schedule has events after the {LOAD_TIME:?} of load");
    let (mut complete, all) = (0, streams.len());
    for (n, task) in streams.into_iter().enumerate() {
        match task.await.unwrap() {
            Ok((StreamEnd::Done(_), r)) => {
                assert_eq!((r.tokens.len(), r.faults()), (20 + n % 60, vec![]));
                complete += 1;
            }
            Ok((StreamEnd::Broken(outcome), r)) => {
                assert_eq!((outcome.as_str(), r.faults()), ("incomplete", vec![]));
            }
            Ok((StreamEnd::Dropped, r)) => assert_eq!(r.faults(), []),
            Err(RequestError::Refused(r)) => assert_eq!(&*r.outcome, "not-run", "{r:?}"),
            Err(RequestError::Unreached) => {}
            Ok((StreamEnd::Invalid(what), _)) | Err(RequestError::Invalid(what)) => {
                panic!("stream {n}: {what}")
            }
        }
    }
    assert!(complete * 2 > all, "only {complete} of {all} streams complete");
    for task in calls {
        let (body, outcomes) = task.await.unwrap();
        let ran = fleet.call_log.count(&format!("POST /bookings {body}"));
        assert!(!outcomes.contains(&"invalid".into()), "{body}: {outcomes:?}");
        assert!(ran <= 1, "{body} ran {ran} times: {outcomes:?}");
        assert!(ran == 0 || !outcomes.contains(&"not-run".into()), "{body} ran: {outcomes:?}");
        assert!(ran == 1 || !outcomes.contains(&"done".into()), "{body} did not run: {outcomes:?}");
    }
}

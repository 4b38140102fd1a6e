//! Streams through a complete deployment under failure.

use crate::common::*;
use actix_rt::task::JoinHandle;
use standin::caller::{Caller, RequestError, StreamEnd, TokenStream};
use standin::engine::Params;
use standin::fleet::{Fleet, Plan};
use std::io::{Read, Write};
use std::time::{Duration, Instant};

/// Starts a deployment with `n` engines and opens a generation whose prefill is so slow that an engine
/// can be crashed before its first token.
async fn start_slow_prefill(n: usize) -> (Fleet, JoinHandle<Result<TokenStream, RequestError>>) {
    let slow = Params { prefill_time: Duration::from_millis(20), ..loaded_params() };
    let plan = Plan { pools: vec![engine_pool(n, slow)], ..Plan::default() };
    let fleet = start_deployment(plan).await;
    let entry = fleet.entry_address(0);
    let prompt = format!("output=20; {}", "long ".repeat(60));
    let opening =
        actix_rt::spawn(
            async move { Caller::new("key-1").open(entry, "captions", &prompt, 100).await },
        );
    (fleet, opening)
}

#[actix_rt::test]
async fn engine_crash_before_first_token_restarts_on_another_engine() {
    let (mut fleet, opening) = start_slow_prefill(2).await;
    let find_stepped =
        |f: &Fleet| (0..2).find(|ix| f.engine(*ix).is_some_and(|e| e.counts().steps > 0));
    assert!(wait_until(5, async || running_endpoint(&fleet).await.is_some()).await);
    let ix = running_endpoint(&fleet).await.unwrap();
    assert_eq!(find_stepped(&fleet), None, "an engine finished a step before the crash");
    fleet.crash_backend(ix);
    let mut stream =
        opening.await.unwrap().expect("generation was not restarted on another engine");
    assert_complete(&mut stream, 20).await;
}

/// Returns an endpoint that entry 0 reports as running something.
async fn running_endpoint(fleet: &Fleet) -> Option<usize> {
    let status = fleet.status(0).await?;
    let all = status["endpoints"].as_array()?.clone();
    let found = all.iter().find(|x| x["running"].as_u64() > Some(0))?;
    found["instance"].as_str()?.rsplit('-').next()?.parse().ok()
}

#[actix_rt::test]
async fn generation_lost_with_the_only_engine_is_not_reported_as_not_run() {
    let (mut fleet, opening) = start_slow_prefill(1).await;
    assert!(wait_until(5, async || running_endpoint(&fleet).await.is_some()).await);
    fleet.crash_backend(0);
    let refused = opening.await.unwrap().err();
    assert_eq!(refused.as_ref().map(RequestError::outcome), Some("unknown"), "{refused:?}");
}

#[rstest::rstest]
#[case::whole("", "not-run")]
#[case::cut_off("cut; ", "unknown")]
#[actix_rt::test]
async fn refusal_of_an_engine_says_that_a_generation_has_not_run_only_if_it_is_whole(
    #[case] end: &str,
    #[case] outcome: &str,
    #[values(400, 409, 429, 503)] status: u16,
) {
    let plan = Plan { entries: 1, pools: vec![engine_pool(1, loaded_params())], ..Plan::default() };
    let fleet = start_deployment(plan).await;
    let prompt = format!("refuse={status}; {end}a");
    let refused = Caller::new("key-1").open(fleet.entry_address(0), "captions", &prompt, 20).await;
    let refused = refused.err();
    assert_eq!(refused.as_ref().map(RequestError::outcome), Some(outcome), "{refused:?}");
}

#[actix_rt::test]
async fn engine_crash_after_first_token_ends_stream_as_incomplete() {
    let plan = Plan { pools: vec![engine_pool(2, loaded_params())], ..Plan::default() };
    let mut fleet = start_deployment(plan).await;
    let mut stream = open_stream(fleet.entry_address(0), 400, "a").await.unwrap();
    let ix = endpoint_of(&fleet, &stream);
    fleet.crash_backend(ix);
    assert_eq!(stream.finish().await, StreamEnd::Broken("incomplete".into()));
    assert_eq!(stream.faults(), []);
    let (_, out) = fleet.run_command(&["timeline", "--subject", &stream.generation]);
    assert!(out.contains("Incomplete"), "{out}");
    // The separators of a query are part of the subject.
    let (_, out) = fleet.run_command(&["timeline", "--subject", "a&kind=Incomplete"]);
    assert!(!out.contains("Incomplete"), "{out}");
    // The engine serves again after its restart, and its loss was recorded once.
    fleet.restart_backend(ix);
    assert!(fleet.wait_ready(0, 1, 2, Duration::from_secs(10)).await);
    assert_eq!(engine_losses(&fleet), 1);
}

#[actix_rt::test]
async fn stream_of_an_engine_without_chunks_is_read_to_its_end() {
    let params = Params { chunked: false, ..loaded_params() };
    let plan = Plan { pools: vec![engine_pool(1, params)], ..Plan::default() };
    let fleet = start_deployment(plan).await;
    let mut stream = open_stream(fleet.entry_address(0), 40, "a").await.unwrap();
    assert_complete(&mut stream, 40).await;
}

#[actix_rt::test]
async fn stream_resumes_through_another_entry_after_entry_crash() {
    let plan = Plan { pools: vec![engine_pool(2, loaded_params())], ..Plan::default() };
    let mut fleet = start_deployment(plan).await;
    let mut stream = open_stream(fleet.entry_address(0), 120, "a").await.unwrap();
    fleet.entries[0].daemon.kill();
    assert_eq!(stream.finish().await, StreamEnd::Dropped);
    assert!(stream.tokens.len() < 120);
    let caller = Caller::new("key-1");
    let mut rest = caller.resume(fleet.entry_address(1), &stream).await.unwrap();
    assert_complete(&mut rest, 120).await;
}

/// A caller that names a token which no generation has must not get tokens that it has already.
#[actix_rt::test]
async fn resumption_after_the_last_index_of_all_is_refused() {
    let plan = Plan { pools: vec![engine_pool(1, loaded_params())], ..Plan::default() };
    let fleet = start_deployment(plan).await;
    let mut stream = open_stream(fleet.entry_address(0), 40, "a").await.unwrap();
    assert_complete(&mut stream, 40).await;
    stream.tokens.last_mut().unwrap().ix = u32::MAX;
    let resumed = Caller::new("key-1").resume(fleet.entry_address(1), &stream).await.err();
    assert!(
        matches!(resumed, Some(RequestError::Refused(ref r)) if r.status == 410),
        "{resumed:?}"
    );
}

#[actix_rt::test]
async fn stream_survives_silent_connection_on_each_hop() {
    let plan =
        Plan { pools: vec![engine_pool(1, loaded_params())], relays: true, ..Plan::default() };
    let fleet = start_deployment(plan).await;
    let mut stream = open_stream(fleet.entry_address(0), 500, "a").await.unwrap();
    fleet.endpoints[0].engine_relay.as_ref().unwrap().silence_open();
    assert!(stream.next().await);
    for _ in 0..40 {
        assert!(stream.next().await, "stream ended after the engine connection went silent");
    }
    fleet.endpoints[0].peer_relay.as_ref().unwrap().silence_open();
    for _ in 0..60 {
        assert!(stream.next().await, "stream ended after the sidecar connection went silent");
    }
    fleet.entries[0].relay.as_ref().unwrap().silence_open();
    assert_eq!(stream.finish().await, StreamEnd::Dropped);
    let mut rest = Caller::new("key-1").resume(fleet.entry_address(0), &stream).await.unwrap();
    assert_complete(&mut rest, 500).await;
    // Silent connections must not count as loss of the engine.
    let (_, out) = fleet.run_command(&["timeline"]);
    assert!(out.contains("EngineSilent") && !out.contains("EngineLost"), "{out}");
}

#[actix_rt::test]
async fn slow_reader_is_disconnected_without_disturbing_others() {
    let fast = Params {
        base_time: Duration::from_millis(1),
        sequence_time: Duration::from_micros(10),
        capacity: 60_000,
        ..loaded_params()
    };
    let plan = Plan { entries: 1, pools: vec![engine_pool(1, fast)], ..Plan::default() };
    let fleet = start_deployment(plan).await;
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&fleet.entry_address(0).into()).unwrap();
    let mut slow: std::net::TcpStream = socket.into();
    let body =
        r#"{"model":"captions","prompt":"output=30000; slow","max_tokens":30000,"stream":true}"#;
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-1\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    slow.write_all((head + body).as_bytes()).unwrap();
    let mut other = open_stream(fleet.entry_address(0), 2000, "quick").await.unwrap();
    assert_complete(&mut other, 2000).await;
    let is_disconnected =
        async || fleet.run_command(&["timeline", "--kind", "SlowReader"]).1.contains("SlowReader");
    assert!(wait_until(30, is_disconnected).await, "slow reader was not disconnected within 30 s");
    // The generation of a disconnected caller is cancelled on the engine.
    let is_cancelled = async || fleet.engine(0).unwrap().counts().cancels > 0;
    assert!(wait_until(20, is_cancelled).await, "generation was not cancelled within 20 s");
    // What was sent before must not look like the whole stream.
    let (tail, is_closed) = read_tail(&mut slow);
    assert!(!tail.ends_with("\r\n0\r\n\r\n"), "last chunk after {tail:?}");
    assert!(is_closed, "the connection stayed open after {tail:?}");
}

/// Reads to the end of a connection. Returns the end of what was received, and whether the entry has
/// closed the connection.
fn read_tail(io: &mut std::net::TcpStream) -> (String, bool) {
    io.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let mut received = Vec::new();
    let end = io.read_to_end(&mut received);
    let is_open = end.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock);
    let tail = &received[received.len().saturating_sub(40)..];
    (String::from_utf8_lossy(tail).into_owned(), !is_open)
}

#[actix_rt::test]
async fn disconnect_of_caller_cancels_generation() {
    let plan = Plan { pools: vec![engine_pool(1, loaded_params())], ..Plan::default() };
    let fleet = start_deployment(plan).await;
    let stream = open_stream(fleet.entry_address(0), 5000, "a").await.unwrap();
    drop(stream);
    assert!(wait_until(15, async || fleet.engine(0).unwrap().counts().cancels > 0).await);
}

#[actix_rt::test]
async fn graceful_stop_completes_open_streams() {
    let plan = Plan { entries: 3, pools: vec![engine_pool(3, loaded_params())], ..Plan::default() };
    let mut fleet = start_deployment(plan).await;
    let mut open_streams = Vec::new();
    for n in 0..9 {
        open_streams
            .push(open_stream(fleet.entry_address(n), 150, &format!("s{n}")).await.unwrap());
    }
    // One entry and one sidecar stop at the same time.
    fleet.entries[0].daemon.terminate();
    fleet.endpoints[0].sidecar.terminate();
    sleep_ms(300).await;
    let refused = open_stream(fleet.entry_address(0), 10, "late").await.err();
    let outcome = refused.as_ref().map(RequestError::outcome);
    assert!(matches!(outcome, Some("not-run" | "unreached")), "{outcome:?}");
    for n in 0..6 {
        let mut fresh = open_stream(fleet.entry_address(1), 20, &format!("new{n}")).await.unwrap();
        assert_ne!(endpoint_of(&fleet, &fresh), 0, "leaving endpoint got a new generation");
        assert_complete(&mut fresh, 20).await;
    }
    for r in &mut open_streams {
        assert_complete(r, 150).await;
    }
    assert_eq!(fleet.entries[0].daemon.wait_exit(Duration::from_secs(10)), Some(0));
    assert_eq!(fleet.endpoints[0].sidecar.wait_exit(Duration::from_secs(10)), Some(0));
}

#[actix_rt::test]
async fn graceful_stop_of_data_centre_completes_open_streams() {
    let plan = Plan { entries: 3, pools: vec![engine_pool(6, loaded_params())], ..Plan::default() };
    let mut fleet = start_deployment(plan).await;
    let mut streams = Vec::new();
    for n in 0..12 {
        streams.push(
            open_stream(fleet.entry_address(1 + n % 2), 120, &format!("s{n}")).await.unwrap(),
        );
    }
    // Data centre 0 holds entry 0 and endpoints 0 and 3.
    fleet.entries[0].daemon.terminate();
    fleet.endpoints[0].sidecar.terminate();
    fleet.endpoints[3].sidecar.terminate();
    for r in &mut streams {
        assert_complete(r, 120).await;
    }
    assert_eq!(fleet.entries[0].daemon.wait_exit(Duration::from_secs(10)), Some(0));
    for ix in [0, 3] {
        assert_eq!(fleet.endpoints[ix].sidecar.wait_exit(Duration::from_secs(10)), Some(0));
    }
}

#[actix_rt::test]
async fn leaving_endpoint_gets_no_new_streams_despite_list_lag() {
    let lag = Duration::from_millis(1500);
    let plan =
        Plan { pools: vec![engine_pool(2, loaded_params())], list_lag: lag, ..Plan::default() };
    let fleet = start_deployment(plan).await;
    fleet.mark_leaving(0);
    let notified = Instant::now();
    sleep_ms(4000).await;
    for n in 0..8 {
        let mut r = open_stream(fleet.entry_address(n), 5, &format!("s{n}")).await.unwrap();
        assert_eq!(endpoint_of(&fleet, &r), 1, "{:?} after the notice", notified.elapsed());
        assert_complete(&mut r, 5).await;
    }
}

#[actix_rt::test]
async fn restarted_sidecar_reports_earlier_generations_as_incomplete() {
    let plan = Plan { pools: vec![engine_pool(1, loaded_params())], ..Plan::default() };
    let mut fleet = start_deployment(plan).await;
    let mut stream = open_stream(fleet.entry_address(0), 2000, "a").await.unwrap();
    fleet.restart_sidecar(0);
    assert_eq!(stream.finish().await, StreamEnd::Broken("incomplete".into()));
    assert_eq!(stream.faults(), []);
    assert!(fleet.wait_ready(1, 1, 1, Duration::from_secs(10)).await);
    let late = Caller::new("key-1").resume(fleet.entry_address(1), &stream).await.err();
    assert_eq!(late.as_ref().map(RequestError::outcome), Some("incomplete"));
}

#[actix_rt::test]
async fn paused_sidecar_ends_streams_as_incomplete_and_serves_again() {
    let plan = Plan { pools: vec![engine_pool(2, loaded_params())], ..Plan::default() };
    let fleet = start_deployment(plan).await;
    let mut stream = open_stream(fleet.entry_address(0), 2000, "a").await.unwrap();
    let ix = endpoint_of(&fleet, &stream);
    fleet.endpoints[ix].sidecar.pause();
    let paused = Instant::now();
    assert_eq!(stream.finish().await, StreamEnd::Broken("incomplete".into()));
    assert!(paused.elapsed() < Duration::from_secs(10), "stream took 10 s or more to end");
    let mut other = open_stream(fleet.entry_address(0), 20, "b").await.unwrap();
    assert_ne!(endpoint_of(&fleet, &other), ix);
    assert_complete(&mut other, 20).await;
    fleet.endpoints[ix].sidecar.resume();
    assert!(fleet.wait_ready(0, 1, 2, Duration::from_secs(10)).await);
}

/// Returns the number of losses of engines that all processes have recorded.
fn engine_losses(fleet: &Fleet) -> usize {
    let (_, out) = fleet.run_command(&["timeline", "--kind", "EngineLost"]);
    out.matches("EngineLost").count()
}

#[actix_rt::test]
async fn crashing_request_is_refused_after_at_most_three_crashes() {
    let plan = Plan { pools: vec![engine_pool(6, loaded_params())], ..Plan::default() };
    let mut fleet = start_deployment(plan).await;
    let caller = Caller::new("key-1");
    let mut refused = None;
    // The caller resends the request through all entries.
    for n in 0..12 {
        let before = engine_losses(&fleet);
        match caller.open(fleet.entry_address(n), "captions", "output=50; crash; me", 100).await {
            Ok(mut r) => drop(r.finish().await),
            Err(RequestError::Refused(r)) if &*r.kind == "refused convicted" => {
                // A request that crashed an engine itself may have run.
                let has_crashed = engine_losses(&fleet) > before;
                refused = Some((r, if has_crashed { "unknown" } else { "not-run" }));
                break;
            }
            Err(_) => sleep_ms(300).await,
        }
    }
    let (refused, outcome) = refused.expect("content was not refused after 12 attempts");
    assert_eq!((&*refused.outcome, refused.status), (outcome, 422));
    assert!(engine_losses(&fleet) <= 3, "{} crashes", engine_losses(&fleet));
    // The quarantine spreads to the other entry by gossip.
    sleep_ms(1500).await;
    for n in 0..2 {
        let repeated =
            caller.open(fleet.entry_address(n), "captions", "output=50; crash; me", 100).await;
        assert_eq!(repeated.err().as_ref().map(RequestError::outcome), Some("not-run"));
    }
    for ix in 0..6 {
        fleet.restart_backend(ix);
    }
}

/// Sends a conversation that begins with `first` and returns whether its generation completed.
async fn complete_chat(
    entry: std::net::SocketAddr,
    first: &str,
    last: &str,
) -> Result<bool, RequestError> {
    let messages = ["be brief", first, last];
    let mut stream = Caller::new("key-1").open_chat(entry, "captions", &messages, 100).await?;
    Ok(matches!(stream.finish().await, StreamEnd::Done(_)))
}

#[actix_rt::test]
async fn message_that_crashes_engines_is_refused_while_other_conversations_are_served() {
    let plan = Plan { pools: vec![engine_pool(8, loaded_params())], ..Plan::default() };
    let mut fleet = start_deployment(plan).await;
    let is_convicted = |result: &Result<bool, RequestError>| matches!(result, Err(RequestError::Refused(r)) if &*r.kind == "refused convicted");
    let lost = || {
        let (_, out) = fleet.run_command(&["timeline", "--kind", "EngineLost"]);
        out.matches("EngineLost").count()
    };
    let mut is_refused = false;
    for n in 0..12 {
        let entry = fleet.entry_address(n);
        let _ = complete_chat(entry, "sound manual", &format!("output=5; question {n}")).await;
        let before = lost();
        let bad = complete_chat(entry, "crash; manual", &format!("output=5; other {n}")).await;
        // A conversation that has crashed three engines is refused for itself.
        is_refused = is_convicted(&bad) && lost() == before;
        if is_refused {
            break;
        }
        sleep_ms(400).await;
    }
    assert!(is_refused, "the message was not refused after 12 conversations");
    assert!(lost() <= 5, "{} engines crashed", lost());
    // The quarantine spreads to the other entry by gossip.
    sleep_ms(1500).await;
    for n in 0..4 {
        let entry = fleet.entry_address(n);
        let bad = complete_chat(entry, "crash; manual", &format!("output=5; third {n}")).await;
        assert!(is_convicted(&bad), "{bad:?}");
        let sound = complete_chat(entry, "sound manual", &format!("output=5; fourth {n}")).await;
        assert_eq!(sound, Ok(true));
    }
    for ix in 0..8 {
        fleet.restart_backend(ix);
    }
}

#[actix_rt::test]
async fn requests_in_a_crashed_batch_are_suspected() {
    let plan = Plan { entries: 1, pools: vec![engine_pool(3, loaded_params())], ..Plan::default() };
    let fleet = start_deployment(plan).await;
    let mut streams = Vec::new();
    for n in 0..9 {
        streams.push(
            open_stream(fleet.entry_address(0), 300, &format!("innocent {n}")).await.unwrap(),
        );
    }
    let _ = Caller::new("key-1").open(fleet.entry_address(0), "captions", "crash;", 100).await;
    for r in &mut streams {
        r.finish().await;
    }
    let (_, out) = fleet.run_command(&["timeline", "--kind", "Suspected"]);
    assert!(out.contains("Suspected"), "{out}");
}

#[actix_rt::test]
async fn overload_is_refused_before_first_token_with_retry_delay() {
    let small = Params { capacity: 2048, max_batch: 8, ..loaded_params() };
    let plan = Plan { entries: 1, pools: vec![engine_pool(1, small)], ..Plan::default() };
    let fleet = start_deployment(plan).await;
    let entry = fleet.entry_address(0);
    let requests = (0..60).map(|n| async move {
        let caller = Caller::new(&format!("key-{}", n % 10));
        let mut r = caller.open(entry, "captions", &format!("output=400; flood {n}"), 1000).await?;
        let end = r.finish().await;
        Ok::<_, RequestError>((end, r.tokens.len(), r.faults()))
    });
    let all = futures_util::future::join_all(requests).await;
    let mut refused = 0;
    for result in &all {
        match result {
            Ok((end, n, faults)) => {
                assert_eq!((end, *n), (&StreamEnd::Done("stop".into()), 400));
                assert!(faults.is_empty());
            }
            Err(RequestError::Refused(r)) => {
                refused += 1;
                assert_eq!(&*r.outcome, "not-run", "{r:?}");
                assert!(r.retry_after.is_some(), "{r:?}");
            }
            Err(RequestError::Unreached) => panic!("entry did not answer a request"),
            Err(RequestError::Invalid(what)) => panic!("invalid response: {what}"),
        }
    }
    assert!((1..60).contains(&refused), "{refused} refused");
}

//! What the tests share.

use standin::caller::{Caller, End, Failed, Reading};
use standin::engine::Params;
use standin::fleet::{Fleet, Plan, Pool};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

pub const CONFIG: &str = include_str!("../../examples/vigilwell.jsonc");
pub const MODEL_SPEC: &str = "caption-large+memorial@v1";
pub const CALL_PATH: &str = "/s/booking/bookings";

/// Returns engines with the model loaded.
pub fn loaded_params() -> Params {
    Params { loaded: vec![MODEL_SPEC.into()], ..Params::default() }
}

pub fn engine_pool(n: usize, params: Params) -> Pool {
    Pool::Engines("caption-large", n, params)
}

pub fn booking_pool(n: usize) -> Pool {
    Pool::Plain("booking", n)
}

pub fn binary() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_skylarkthread"))
}

/// Starts a deployment, submits the text and waits until all is in service.
pub async fn start_deployment(plan: Plan) -> Fleet {
    let fleet = Fleet::start(binary(), &plan);
    assert!(wait_until(10, async || fleet.status(0).await.is_some()).await, "the entry answers");
    let (code, out) = fleet.submit(CONFIG, 0);
    assert_eq!(code, 0, "{out}");
    assert!(fleet.all_ready(1).await, "all endpoints serve; logs in {}", fleet.dir().display());
    fleet
}

/// Waits until `is_true`, for at most `secs`.
pub async fn wait_until(secs: u64, is_true: impl AsyncFn() -> bool) -> bool {
    let end = Instant::now() + Duration::from_secs(secs);
    while Instant::now() < end {
        if is_true().await {
            return true;
        }
        sleep_ms(50).await;
    }
    false
}

pub async fn sleep_ms(ms: u64) {
    tokio::time::sleep(Duration::from_millis(ms)).await;
}

/// Opens a stream of `n` tokens and reads the first.
pub async fn open_stream(entry: SocketAddr, n: u32, name: &str) -> Result<Reading, Failed> {
    let caller = Caller::new("key-1");
    let prompt = format!("output={n}; {name}");
    let mut reading = caller.open(entry, "captions", &prompt, 30_000).await?;
    reading.next().await;
    Ok(reading)
}

/// Opens a stream, and comes back as often as the entry says that it is busy.
pub async fn open_with_retry(entry: SocketAddr, n: u32, name: &str) -> Reading {
    for _ in 0..60 {
        match open_stream(entry, n, name).await {
            Ok(reading) => return reading,
            Err(Failed::Refused(r)) if r.retry.is_some() => sleep_ms(500).await,
            Err(other) => panic!("{other:?}"),
        }
    }
    panic!("{name} was refused for half a minute");
}

/// Reads to the end and checks that the answer is whole.
pub async fn assert_complete(reading: &mut Reading, n: usize) {
    let end = reading.finish().await;
    assert_eq!((end, reading.tokens.len()), (End::Done("stop".into()), n));
    assert_eq!(reading.faults(), []);
}

/// Finds the endpoint that runs a generation.
pub fn endpoint_of(fleet: &Fleet, reading: &Reading) -> usize {
    let instance = reading.generation.split('~').next().unwrap().to_string();
    let ix = instance.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap();
    assert!(ix < fleet.endpoints.len());
    ix
}

/// Waits for a call that may not be repeated to have run.
pub async fn wait_for_call(fleet: &Fleet, body: &str) -> bool {
    wait_until(5, async || fleet.journal.count(&format!("POST /bookings {body}")) > 0).await
}

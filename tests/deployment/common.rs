//! Helpers shared by the deployment tests.

use standin::caller::{Caller, RequestError, StreamEnd, TokenStream};
use standin::engine::Params;
use standin::fleet::{Fleet, Plan, Pool};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

pub const CONFIG: &str = include_str!("../../examples/vigilwell.jsonc");
pub const MODEL_SPEC: &str = "caption-large+memorial@v1";
pub const CALL_PATH: &str = "/s/booking/bookings";

/// Returns default engine parameters with [`MODEL_SPEC`] loaded.
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

/// Starts a deployment, submits [`CONFIG`] and waits until all endpoints are in service.
pub async fn start_deployment(plan: Plan) -> Fleet {
    let fleet = Fleet::start(binary(), &plan);
    assert!(
        wait_until(10, async || fleet.status(0).await.is_some()).await,
        "entry 0 did not answer within 10 s"
    );
    let (code, out) = fleet.submit(CONFIG, 0);
    assert_eq!(code, 0, "{out}");
    assert!(
        fleet.wait_all_ready(1).await,
        "endpoints not all in service; logs in {}",
        fleet.log_dir().display()
    );
    fleet
}

/// Waits for at most `secs` seconds until `is_true` holds; returns whether it did.
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

/// Opens a stream of `n` tokens and reads the first token.
pub async fn open_stream(
    entry: SocketAddr,
    n: u32,
    name: &str,
) -> Result<TokenStream, RequestError> {
    let caller = Caller::new("key-1");
    let prompt = format!("output={n}; {name}");
    let mut stream = caller.open(entry, "captions", &prompt, 30_000).await?;
    stream.next().await;
    Ok(stream)
}

/// Opens a stream, retrying every 500 ms while the entry refuses with a retry delay.
pub async fn open_with_retry(entry: SocketAddr, n: u32, name: &str) -> TokenStream {
    for _ in 0..60 {
        match open_stream(entry, n, name).await {
            Ok(stream) => return stream,
            Err(RequestError::Refused(r)) if r.retry_after.is_some() => sleep_ms(500).await,
            Err(other) => panic!("{other:?}"),
        }
    }
    panic!("stream {name} was refused 60 times");
}

/// Reads to the end and checks that the stream finished with exactly `n` tokens in order.
pub async fn assert_complete(stream: &mut TokenStream, n: usize) {
    let end = stream.finish().await;
    assert_eq!((end, stream.tokens.len()), (StreamEnd::Done("stop".into()), n));
    assert_eq!(stream.faults(), []);
}

/// Returns the index of the endpoint that runs a generation, from its identifier.
pub fn endpoint_of(fleet: &Fleet, stream: &TokenStream) -> usize {
    let instance = stream.generation.split('~').next().unwrap().to_string();
    let ix = instance.rsplit('-').next().and_then(|n| n.parse().ok()).unwrap();
    assert!(ix < fleet.endpoints.len());
    ix
}

/// Waits until the plain service has received the call with this body.
pub async fn wait_for_call(fleet: &Fleet, body: &str) -> bool {
    wait_until(5, async || fleet.call_log.count(&format!("POST /bookings {body}")) > 0).await
}

//! Answers of a sidecar to the withdrawal of a generation.

use crate::common::*;
use rstest::rstest;
use skylarkthread::frame::{Cursor, Envelope, Keyring, Poll, Reply, Request, Start};
use skylarkthread::hlc::Stamp;
use skylarkthread::id::{Fingerprint, GenerationId, Incarnation, IntentVersion, Nonce, Tokens};
use skylarkthread::peer::Link;
use standin::fleet::{Fleet, PEER_KEY, Plan};
use std::time::Duration;

const GENERATION: Nonce = Nonce(7);

/// Sends a request to the first sidecar, and returns its reply.
async fn ask(fleet: &Fleet, body: Request) -> Envelope<Reply> {
    let keys = Keyring::new(&[PEER_KEY.as_bytes().into()]);
    let from = "x".parse().expect("the name is valid");
    let (at, version) = (Stamp::default(), IntentVersion(0));
    let frame = keys.encode(&Envelope { from, incarnation: Incarnation(1), at, version, body });
    let link = Link::dial(fleet.endpoints[0].sidecar.peer).expect("a socket can be created");
    let reply = link.request(&frame, Duration::from_secs(5)).await.expect("the sidecar replies");
    keys.decode(&reply).expect("the reply is valid")
}

fn start(incarnation: Incarnation, left: u64) -> Request {
    let instance = "caption-large-0".parse().expect("the name is valid");
    Request::Start(Box::new(Start {
        generation: GenerationId { instance, incarnation, nonce: GENERATION },
        service: "captions".parse().expect("the name is valid"),
        spec: MODEL_SPEC.into(),
        workspace: "w".parse().expect("the name is valid"),
        weight: 1,
        rank: 5,
        prompt: "output=400; a".into(),
        input: Tokens(0),
        limit: Tokens(400),
        fingerprint: Fingerprint(1),
        parts: Vec::new(),
        alone: false,
        left,
    }))
}

#[rstest]
#[case::expired(Some(0), true)]
#[case::submitted(Some(30_000), false)]
#[case::unknown(None, false)]
#[actix_rt::test]
async fn withdrawal_confirms_that_a_refused_generation_has_not_run(
    #[case] left: Option<u64>,
    #[case] has_not_run: bool,
) {
    let plan = Plan { entries: 1, pools: vec![engine_pool(1, loaded_params())], ..Plan::default() };
    let fleet = start_deployment(plan).await;
    if let Some(left) = left {
        let incarnation = ask(&fleet, Request::Withdraw(GENERATION)).await.incarnation;
        assert_eq!(ask(&fleet, start(incarnation, left)).await.body, Reply::Accepted);
    }
    // The reply waits for the first token or the end.
    let cursors = vec![Cursor { nonce: GENERATION, next: 0 }];
    let poll = Poll { link: Nonce(1), cursors, hold: 4000, store: None };
    let Reply::Batches(batches, _) = ask(&fleet, Request::Poll(poll)).await.body else {
        panic!("not a reply to a poll");
    };
    assert_eq!(batches.len(), 1);
    let reply = ask(&fleet, Request::Withdraw(GENERATION)).await.body;
    assert_eq!(reply, Reply::Withdrawn(has_not_run), "{batches:?}");
}

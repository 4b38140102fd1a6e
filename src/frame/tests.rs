//! Tests of frame encoding and signatures.

use super::*;
use proptest::prelude::*;

fn keyring(keys: &[&str]) -> Keyring {
    let keys: Vec<Arc<[u8]>> = keys.iter().map(|k| Arc::from(k.as_bytes())).collect();
    Keyring::new(&keys)
}

fn envelope(body: Request) -> Envelope<Request> {
    Envelope {
        from: "a".parse().unwrap(),
        incarnation: Incarnation(1),
        at: Stamp::default(),
        version: IntentVersion(3),
        body,
    }
}

#[test]
fn keys_rotate_without_rejected_frames() {
    let old = keyring(&["old"]);
    let both = keyring(&["old", "new"]);
    let swapped = keyring(&["new", "old"]);
    let message = envelope(Request::Cancel(Nonce(4)));
    for (sender, receiver) in [(&old, &both), (&both, &old), (&both, &swapped), (&swapped, &both)] {
        assert_eq!(receiver.decode(&sender.encode(&message)), Ok(message.clone()));
    }
    let refused = old.decode::<Request>(&keyring(&["new"]).encode(&message));
    assert_eq!(refused, Err(FrameError::Signature));
}

#[test]
fn unknown_field_is_skipped_and_missing_field_gets_default() {
    #[derive(Serialize)]
    struct NewPoll {
        link: Nonce,
        cursors: Vec<Cursor>,
        added: u32,
    }
    #[derive(Serialize)]
    enum NewRequest {
        Poll(NewPoll),
    }
    let keys = keyring(&["k"]);
    let poll = NewPoll { link: Nonce(1), cursors: vec![], added: 7 };
    let new = Envelope {
        from: "a".parse().unwrap(),
        incarnation: Incarnation(1),
        at: Stamp::default(),
        version: IntentVersion(3),
        body: NewRequest::Poll(poll),
    };
    let read = keys.decode::<Request>(&keys.encode(&new)).unwrap();
    assert_eq!(
        read.body,
        Request::Poll(Poll { link: Nonce(1), cursors: vec![], hold: 200, store: None })
    );
}

#[test]
fn event_of_an_unknown_kind_leaves_the_others() {
    #[derive(Serialize)]
    enum NewKind {
        Foreseen,
        Started,
    }
    #[derive(Serialize)]
    struct NewEvent {
        at: Stamp,
        instance: InstanceId,
        kind: NewKind,
        subject: Arc<str>,
        detail: Arc<str>,
    }
    #[derive(Serialize)]
    enum NewReply {
        Events(Vec<NewEvent>),
    }
    let keys = keyring(&["k"]);
    let event = |kind| NewEvent {
        at: Stamp::default(),
        instance: "a".parse().unwrap(),
        kind,
        subject: "s".into(),
        detail: "".into(),
    };
    let new = Envelope {
        from: "a".parse().unwrap(),
        incarnation: Incarnation(1),
        at: Stamp::default(),
        version: IntentVersion(3),
        body: NewReply::Events(vec![event(NewKind::Foreseen), event(NewKind::Started)]),
    };
    let read = keys.decode::<Reply>(&keys.encode(&new)).unwrap();
    let Reply::Events(events) = read.body else { panic!("{read:?}") };
    assert_eq!(events.iter().map(|e| e.kind).collect::<Vec<_>>(), [crate::event::Kind::Started]);
}

#[test]
fn end_of_an_unknown_kind_leaves_the_others() {
    #[derive(Serialize)]
    enum NewRefusal {
        Foreseen { after: u64 },
    }
    #[derive(Serialize)]
    enum NewFinish {
        Stop,
        Foreseen(u32),
        NotRun(NewRefusal),
    }
    #[derive(Serialize)]
    struct NewBatch {
        g: Nonce,
        n: u32,
        t: Vec<Arc<str>>,
        f: Option<NewFinish>,
    }
    #[derive(Serialize)]
    enum NewReply {
        Batches(Vec<NewBatch>, Report),
        Refused(NewRefusal, u64),
    }
    let keys = keyring(&["k"]);
    let read = |body| {
        let at = Stamp::default();
        let from = "a".parse().unwrap();
        let new =
            Envelope { from, incarnation: Incarnation(1), at, version: IntentVersion(3), body };
        keys.decode::<Reply>(&keys.encode(&new)).map(|e| e.body)
    };
    let batch = |f| NewBatch { g: Nonce(1), n: 0, t: vec!["t".into()], f };
    let refusal = || NewRefusal::Foreseen { after: 1 };
    let ends = [NewFinish::Foreseen(1), NewFinish::NotRun(refusal()), NewFinish::Stop].map(Some);
    let batches = ends.into_iter().chain([None]).map(batch).collect();
    let Ok(Reply::Batches(batches, _)) = read(NewReply::Batches(batches, Report::default())) else {
        panic!("the reply is dropped")
    };
    let ends: Vec<_> = batches.iter().map(|b| b.finish).collect();
    let not_run = Finish::NotRun(Refusal::Down);
    assert_eq!(ends, [Some(Finish::Lost), Some(not_run), Some(Finish::Stop), None]);
    assert_eq!(read(NewReply::Refused(refusal(), 7)), Ok(Reply::Refused(Refusal::Down, 7)));
}

proptest! {
    #[test]
    fn random_bytes_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(keyring(&["k"]).decode::<Request>(&bytes).is_err());
    }

    #[test]
    fn changed_bit_fails_signature_check(at in 0usize..60, bit in 0u8..8) {
        let keys = keyring(&["k"]);
        let mut frame = keys.encode(&envelope(Request::Cancel(Nonce(4))));
        let at = at % frame.len();
        frame[at] ^= 1 << bit;
        prop_assert_eq!(keys.decode::<Request>(&frame), Err(FrameError::Signature));
    }
}

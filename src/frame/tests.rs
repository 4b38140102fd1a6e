//! Tests of this module.

use super::*;
use proptest::prelude::*;

fn ring(keys: &[&str]) -> Keyring {
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
fn a_change_of_keys_needs_no_stop() {
    let old = ring(&["old"]);
    let both = ring(&["old", "new"]);
    let swapped = ring(&["new", "old"]);
    let message = envelope(Request::Cancel(Nonce(4)));
    for (sender, receiver) in [(&old, &both), (&both, &old), (&both, &swapped), (&swapped, &both)] {
        assert_eq!(receiver.decode(&sender.encode(&message)), Ok(message.clone()));
    }
    let refused = old.decode::<Request>(&ring(&["new"]).encode(&message));
    assert_eq!(refused, Err(FrameError::Signature));
}

#[test]
fn a_frame_of_a_newer_release_with_one_more_field_is_read() {
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
    let keys = ring(&["k"]);
    let poll = NewPoll { link: Nonce(1), cursors: vec![], added: 7 };
    let new = Envelope {
        from: "a".parse().unwrap(),
        incarnation: Incarnation(1),
        at: Stamp::default(),
        version: IntentVersion(3),
        body: NewRequest::Poll(poll),
    };
    let read = keys.decode::<Request>(&keys.encode(&new)).unwrap();
    assert_eq!(read.body, Request::Poll(Poll { link: Nonce(1), cursors: vec![], hold: 200 }));
}

proptest! {
    #[test]
    fn any_bytes_are_refused_without_a_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(ring(&["k"]).decode::<Request>(&bytes).is_err());
    }

    #[test]
    fn a_changed_bit_is_noticed(at in 0usize..60, bit in 0u8..8) {
        let keys = ring(&["k"]);
        let mut frame = keys.encode(&envelope(Request::Cancel(Nonce(4))));
        let at = at % frame.len();
        frame[at] ^= 1 << bit;
        prop_assert_eq!(keys.decode::<Request>(&frame), Err(FrameError::Signature));
    }
}

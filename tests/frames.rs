//! Sealing and opening of control frames, and the replay window.

use flamingofall::id::Incarnation;
use flamingofall::wire::{
    control, Body, Error, Frame, Key, Opener, Sealer, FRAME_MAX_BYTES, REPLAY_WINDOW,
};
use yare::parameterized;

fn key() -> Key {
    Key::new(b"a secret for tests")
}

fn sealer(incarnation: u64) -> Sealer {
    Sealer::new(key(), "b1".parse().unwrap(), Incarnation(incarnation))
}

fn body(bytes: usize) -> Body {
    Body::Part(control::Part {
        data: vec![7; bytes],
        ..Default::default()
    })
}

/// Guards against a frame that doesn't decode to the message that was sealed.
#[test]
fn round_trip() {
    let sealed = sealer(3).seal(body(100).into()).unwrap();
    let frame = Opener::new(key()).open(&sealed).unwrap();
    assert_eq!(frame.sender.as_str(), "b1");
    assert_eq!((frame.incarnation, frame.counter), (Incarnation(3), 1));
    assert_eq!(frame.message, body(100).into());
}

/// Guards against frames so long that the network fragments them.
#[test]
fn size_limit() {
    let mut sealer = sealer(1);
    assert_eq!(sealer.seal(body(1400).into()), Err(Error::TooLong));
    let sealed = sealer.seal(body(1300).into()).unwrap();
    assert!(sealed.len() <= FRAME_MAX_BYTES);
    let oversize = vec![1; FRAME_MAX_BYTES + 1];
    assert_eq!(Frame::open(&oversize, &key()), Err(Error::TooLong));
}

/// Guards against accepting a frame that was modified, truncated or sealed with another key.
#[test]
fn changed_frames() {
    let sealed = sealer(1).seal(body(20).into()).unwrap();
    for bit in 0..sealed.len() * 8 {
        let mut changed = sealed.clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        let error = Frame::open(&changed, &key()).unwrap_err();
        let expected = if bit < 8 {
            Error::WrongVersion
        } else {
            Error::WrongTag
        };
        assert_eq!(error, expected, "bit {bit}");
    }
    assert_eq!(
        Frame::open(&sealed, &Key::new(b"other")),
        Err(Error::WrongTag)
    );
    for length in 0..sealed.len() {
        assert!(Frame::open(&sealed[..length], &key()).is_err());
    }
}

/// Guards against accepting a frame twice, and against rejecting frames that were only reordered.
#[parameterized(
    repeated = { &[1, 1], &[true, false] },
    reordered = { &[3, 1, 2, 2], &[true, true, true, false] },
    at_the_edge = { &[REPLAY_WINDOW + 1, 2, 1], &[true, true, false] },
    after_a_gap = { &[1, 5 * REPLAY_WINDOW, 4 * REPLAY_WINDOW + 1, 1], &[true, true, true, false] },
    reused_position = { &[5, 5 + REPLAY_WINDOW, 6, 6 + REPLAY_WINDOW, 6], &[true, true, true, true, false] },
)]
fn replay_window(counters: &[u64], accepted: &[bool]) {
    let mut opener = Opener::new(key());
    for (counter, accepted) in counters.iter().zip(accepted) {
        let frame = Frame {
            sender: "b1".parse().unwrap(),
            incarnation: Incarnation(1),
            counter: *counter,
            message: body(1).into(),
        };
        let opened = opener.open(&frame.seal(&key()).unwrap());
        assert_eq!(opened.is_ok(), *accepted, "counter {counter}: {opened:?}");
    }
}

/// Guards against replayed frames of an earlier run after the sender has restarted.
#[test]
fn earlier_run() {
    let mut opener = Opener::new(key());
    let old = sealer(1).seal(body(1).into()).unwrap();
    let new = sealer(2).seal(body(1).into()).unwrap();
    assert!(opener.open(&new).is_ok());
    assert_eq!(opener.open(&old), Err(Error::Replayed));
}

/// Guards against memory use that grows with the number of senders.
#[test]
fn bounded_senders() {
    let mut opener = Opener::with_senders(key(), 64);
    for host in 0..1000 {
        let mut sealer = Sealer::new(key(), format!("h{host}").parse().unwrap(), Incarnation(1));
        assert!(opener.open(&sealer.seal(body(1).into()).unwrap()).is_ok());
        assert!(opener.senders() <= 64);
    }
}

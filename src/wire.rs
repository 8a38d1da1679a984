//! Authenticated control frames between the processes of the system.
//!
//! A frame is one UDP datagram: version byte, length and name of the sender, incarnation, counter,
//! the encoded message, and a truncated HMAC-SHA256 over all of it. Frames are authenticated, not
//! encrypted. Integers are big-endian.

use std::collections::HashMap;
use std::fmt;

use hmac::{Hmac, Mac};
use prost::Message as _;
use sha2::Sha256;
use strum::{Display, IntoStaticStr};

use crate::id::{Incarnation, Member};

/// Types generated from `proto/control.proto`.
#[allow(missing_docs)]
#[rustfmt::skip]
#[path = "generated/flamingofall.control.rs"]
pub mod control;

pub use control::message::Body;
pub use control::Message;

/// Maximum size of a frame. Frames of this size fit into an Ethernet frame, so that they aren't
/// fragmented.
pub const FRAME_MAX_BYTES: usize = 1400;
/// Maximum size of an encoded message that fits into a frame whatever the length of the sender's
/// name.
pub const MESSAGE_MAX_BYTES: usize = FRAME_MAX_BYTES - HEADER_MAX_BYTES - TAG_BYTES;
/// Size of the replay window in frames: a frame is rejected if its counter is this far below the
/// highest one accepted from its sender.
pub const REPLAY_WINDOW: u64 = 1024;
/// Maximum number of senders whose counters are kept: twice the number of members of the largest
/// intended deployment.
pub const SENDERS_MAX: usize = 1 << 16;

const VERSION: u8 = 1;
/// Maximum size of the fields before the message: version, name length, name, incarnation, counter.
const HEADER_MAX_BYTES: usize = 1 + 1 + 63 + 8 + 8;
const TAG_BYTES: usize = 16;
const REPLAY_WINDOW_WORDS: usize = (REPLAY_WINDOW / 64) as usize;

impl From<Body> for Message {
    fn from(body: Body) -> Self {
        Message { body: Some(body) }
    }
}

/// Secret key that all processes of a system share.
#[derive(Clone)]
pub struct Key(Vec<u8>);

impl Key {
    /// Creates a key from secret bytes of any length.
    pub fn new(bytes: &[u8]) -> Self {
        Self(bytes.to_vec())
    }

    /// Returns the HMAC state after the concatenation of `parts`.
    pub(crate) fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac =
            Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC accepts keys of any length");
        for part in parts {
            mac.update(part);
        }
        mac
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// Reason why a frame couldn't be sealed or was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Error {
    /// The frame is longer than [`FRAME_MAX_BYTES`].
    TooLong,
    /// The frame is truncated or its fields can't be decoded.
    Malformed,
    /// The version of the frame format isn't supported.
    WrongVersion,
    /// The authentication tag doesn't match: the frame was sealed with another key or modified.
    WrongTag,
    /// The counter was seen before or is below the replay window, or the frame is from a run of the
    /// sender before the latest one.
    Replayed,
}

impl std::error::Error for Error {}

/// Content of a frame, before sealing or after opening.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// Member whose process sealed the frame.
    pub sender: Member,
    /// Run of the sender.
    pub incarnation: Incarnation,
    /// Number of the frame within the run. [`Sealer`] counts from 1.
    pub counter: u64,
    /// Message that the frame carries.
    pub message: Message,
}

impl Frame {
    /// Encodes and authenticates the frame.
    pub fn seal(&self, key: &Key) -> Result<Vec<u8>, Error> {
        let mut bytes = Vec::with_capacity(128 + self.message.encoded_len());
        bytes.push(VERSION);
        bytes.push(self.sender.as_str().len() as u8);
        bytes.extend_from_slice(self.sender.as_str().as_bytes());
        bytes.extend_from_slice(&self.incarnation.0.to_be_bytes());
        bytes.extend_from_slice(&self.counter.to_be_bytes());
        bytes.extend_from_slice(&self.message.encode_to_vec());
        if bytes.len() + TAG_BYTES > FRAME_MAX_BYTES {
            return Err(Error::TooLong);
        }
        let tag = key.mac(&[&bytes]).finalize().into_bytes();
        bytes.extend_from_slice(&tag[..TAG_BYTES]);
        Ok(bytes)
    }

    /// Authenticates and decodes a frame. Doesn't check for replays, see [`Opener::open`].
    pub fn open(bytes: &[u8], key: &Key) -> Result<Frame, Error> {
        if bytes.len() > FRAME_MAX_BYTES {
            return Err(Error::TooLong);
        }
        if *bytes.first().ok_or(Error::Malformed)? != VERSION {
            return Err(Error::WrongVersion);
        }
        let body_bytes = bytes.len().checked_sub(TAG_BYTES).ok_or(Error::Malformed)?;
        let (body, tag) = bytes.split_at(body_bytes);
        key.mac(&[body])
            .verify_truncated_left(tag)
            .map_err(|_| Error::WrongTag)?;
        parse(body).ok_or(Error::Malformed)
    }
}

fn parse(body: &[u8]) -> Option<Frame> {
    let (name_bytes, rest) = body.get(1..)?.split_first()?;
    let (name, rest) = rest.split_at_checked(usize::from(*name_bytes))?;
    let (incarnation, rest) = rest.split_first_chunk::<8>()?;
    let (counter, payload) = rest.split_first_chunk::<8>()?;
    Some(Frame {
        sender: std::str::from_utf8(name).ok()?.parse().ok()?,
        incarnation: Incarnation(u64::from_be_bytes(*incarnation)),
        counter: u64::from_be_bytes(*counter),
        message: Message::decode(payload).ok()?,
    })
}

/// Seals the frames of one process and numbers them.
#[derive(Clone, Debug)]
pub struct Sealer {
    key: Key,
    sender: Member,
    incarnation: Incarnation,
    counter: u64,
}

impl Sealer {
    /// Creates a sealer for one run of a process, whose first frame has counter 1.
    pub fn new(key: Key, sender: Member, incarnation: Incarnation) -> Self {
        Self {
            key,
            sender,
            incarnation,
            counter: 0,
        }
    }

    /// Seals a message with the next counter.
    pub fn seal(&mut self, message: Message) -> Result<Vec<u8>, Error> {
        self.counter += 1;
        let frame = Frame {
            sender: self.sender.clone(),
            incarnation: self.incarnation,
            counter: self.counter,
            message,
        };
        frame.seal(&self.key)
    }
}

/// Opens frames and rejects replayed ones.
#[derive(Clone, Debug)]
pub struct Opener {
    key: Key,
    windows: HashMap<Member, ReplayWindow>,
    senders_max: usize,
    opened: u64,
}

impl Opener {
    /// Creates an opener that keeps the counters of at most [`SENDERS_MAX`] senders.
    pub fn new(key: Key) -> Self {
        Self::with_senders(key, SENDERS_MAX)
    }

    /// Creates an opener that keeps the counters of at most `senders_max` senders.
    pub fn with_senders(key: Key, senders_max: usize) -> Self {
        Self {
            key,
            windows: HashMap::new(),
            senders_max,
            opened: 0,
        }
    }

    /// Returns the number of senders whose counters are kept.
    pub fn senders(&self) -> usize {
        self.windows.len()
    }

    /// Authenticates and decodes a frame, and rejects it if it was replayed.
    ///
    /// The frames of a sender whose counters were evicted count as not seen.
    pub fn open(&mut self, bytes: &[u8]) -> Result<Frame, Error> {
        let frame = Frame::open(bytes, &self.key)?;
        if !self.windows.contains_key(&frame.sender) && self.windows.len() >= self.senders_max {
            self.evict_least_recent();
        }
        self.opened += 1;
        let window = self.windows.entry(frame.sender.clone()).or_default();
        window.last_used = self.opened;
        match window.accept(frame.incarnation, frame.counter) {
            true => Ok(frame),
            false => Err(Error::Replayed),
        }
    }

    /// Evicts the eighth of the senders whose last frames are the oldest. Evicting many at once
    /// spreads the cost of the search over many new senders.
    fn evict_least_recent(&mut self) {
        let mut last_used: Vec<u64> = self
            .windows
            .values()
            .map(|window| window.last_used)
            .collect();
        last_used.sort_unstable();
        let limit = last_used[last_used.len() / 8];
        self.windows.retain(|_, window| window.last_used > limit);
    }
}

/// Replay window of one sender.
#[derive(Clone, Debug, Default)]
struct ReplayWindow {
    incarnation: Incarnation,
    highest: u64,
    // Bit `counter % REPLAY_WINDOW` is set if that counter was seen; it covers the counters that
    // are at most REPLAY_WINDOW - 1 below `highest`.
    seen: [u64; REPLAY_WINDOW_WORDS],
    // Value of `Opener::opened` at the sender's last frame.
    last_used: u64,
}

impl ReplayWindow {
    /// Marks a counter as seen. Returns whether it is in the window and was not seen before.
    fn accept(&mut self, incarnation: Incarnation, counter: u64) -> bool {
        if incarnation < self.incarnation {
            return false;
        }
        if incarnation > self.incarnation {
            *self = ReplayWindow {
                incarnation,
                last_used: self.last_used,
                ..ReplayWindow::default()
            };
        }
        self.advance(counter);
        if self.highest - counter >= REPLAY_WINDOW {
            return false;
        }
        let (word, bit) = seen_bit(counter);
        let fresh = self.seen[word] & bit == 0;
        self.seen[word] |= bit;
        fresh
    }

    /// Moves the window up so that it ends at `counter`, if that is higher than its end.
    fn advance(&mut self, counter: u64) {
        if counter <= self.highest {
            return;
        }
        if counter - self.highest >= REPLAY_WINDOW {
            self.seen = [0; REPLAY_WINDOW_WORDS];
        } else {
            for skipped in self.highest + 1..=counter {
                let (word, bit) = seen_bit(skipped);
                self.seen[word] &= !bit;
            }
        }
        self.highest = counter;
    }
}

/// Returns the index of the word that holds a counter's bit, and the mask of the bit.
fn seen_bit(counter: u64) -> (usize, u64) {
    let index = counter % REPLAY_WINDOW;
    ((index / 64) as usize, 1 << (index % 64))
}

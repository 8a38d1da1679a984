//! Control frames between the processes of the system.
//!
//! A frame is one UDP datagram: version byte, sender, incarnation, counter, the encoded message
//! and a truncated HMAC-SHA256 over all of it.

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

/// Largest frame.
pub const FRAME_MAX_BYTES: usize = 1400;
/// Largest encoded message that fits into a frame, whatever the length of the sender's name.
pub const MESSAGE_MAX_BYTES: usize = FRAME_MAX_BYTES - HEADER_MAX_BYTES - TAG_BYTES;
/// Counters that may arrive out of order.
pub const REPLAY_WINDOW: u64 = 1024;
/// Senders whose counters are remembered: the members of the target system and as many again.
pub const SENDERS_MAX: usize = 1 << 16;

const VERSION: u8 = 1;
/// Version, length of the sender's name, the name (at most 63 bytes), incarnation, counter.
const HEADER_MAX_BYTES: usize = 1 + 1 + 63 + 8 + 8;
const TAG_BYTES: usize = 16;
const REPLAY_WINDOW_WORDS: usize = (REPLAY_WINDOW / 64) as usize;

impl From<Body> for Message {
    fn from(body: Body) -> Self {
        Message { body: Some(body) }
    }
}

/// The secret that all processes of a system share.
#[derive(Clone)]
pub struct Key(Vec<u8>);

impl Key {
    /// A key from secret bytes.
    pub fn new(bytes: &[u8]) -> Self {
        Self(bytes.to_vec())
    }

    /// A message authentication code over the concatenation of `parts`.
    pub(crate) fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(&self.0).expect("HMAC takes any key length");
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

/// Why a frame was not sealed or not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Error {
    /// Longer than [`FRAME_MAX_BYTES`].
    TooLong,
    /// Cut off, or not the layout of a frame.
    Malformed,
    /// A version of the layout that this process doesn't know.
    WrongVersion,
    /// Not sealed with the shared key, or changed on the way.
    WrongTag,
    /// The counter was seen before or is older than the window, or the sender has restarted since.
    Replayed,
}

impl std::error::Error for Error {}

/// An opened frame.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// The process that sealed the frame.
    pub sender: Member,
    /// The sender's run.
    pub incarnation: Incarnation,
    /// Number of the frame within the run.
    pub counter: u64,
    /// The content.
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

    /// Authenticates and decodes a frame, without regard to its counter.
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

/// Seals the frames of one process.
#[derive(Clone, Debug)]
pub struct Sealer {
    key: Key,
    sender: Member,
    incarnation: Incarnation,
    counter: u64,
}

impl Sealer {
    /// A sealer for one run of a process.
    pub fn new(key: Key, sender: Member, incarnation: Incarnation) -> Self {
        Self {
            key,
            sender,
            incarnation,
            counter: 0,
        }
    }

    /// Seals a message under the next counter.
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

/// Opens frames and drops those that were seen before.
#[derive(Clone, Debug)]
pub struct Opener {
    key: Key,
    windows: HashMap<Member, ReplayWindow>,
    senders_max: usize,
    opened: u64,
}

impl Opener {
    /// An opener that has seen no frame.
    pub fn new(key: Key) -> Self {
        Self::with_senders(key, SENDERS_MAX)
    }

    /// An opener that remembers the counters of at most `senders_max` senders.
    pub fn with_senders(key: Key, senders_max: usize) -> Self {
        Self {
            key,
            windows: HashMap::new(),
            senders_max,
            opened: 0,
        }
    }

    /// Number of senders whose counters are remembered.
    pub fn senders(&self) -> usize {
        self.windows.len()
    }

    /// Opens a frame and marks its counter as seen.
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

    /// Drops the eighth of the senders that were silent the longest, so that the cost is spread.
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

/// The counters seen of one sender.
#[derive(Clone, Debug, Default)]
struct ReplayWindow {
    incarnation: Incarnation,
    highest: u64,
    // Bit `counter % REPLAY_WINDOW` is set if that counter, at most REPLAY_WINDOW - 1 below `highest`, was seen.
    seen: [u64; REPLAY_WINDOW_WORDS],
    last_used: u64,
}

impl ReplayWindow {
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
        let (word, bit) = position(counter);
        let fresh = self.seen[word] & bit == 0;
        self.seen[word] |= bit;
        fresh
    }

    fn advance(&mut self, counter: u64) {
        if counter <= self.highest {
            return;
        }
        if counter - self.highest >= REPLAY_WINDOW {
            self.seen = [0; REPLAY_WINDOW_WORDS];
        } else {
            for passed in self.highest + 1..=counter {
                let (word, bit) = position(passed);
                self.seen[word] &= !bit;
            }
        }
        self.highest = counter;
    }
}

fn position(counter: u64) -> (usize, u64) {
    let index = counter % REPLAY_WINDOW;
    ((index / 64) as usize, 1 << (index % 64))
}

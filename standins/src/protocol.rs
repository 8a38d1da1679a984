//! The application protocol between callers and backend servers.
//!
//! A message is one JSON line. Over TCP its length (32 bits, big endian) precedes it; over UDP it
//! is one datagram. The line of an answer is followed by `bytes` bytes of a pattern that is
//! derived from the request id, so that a caller can tell that the bytes belong to its request.

use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// Longest JSON line that is accepted.
pub const LINE_MAX_BYTES: usize = 4096;
/// Most pattern bytes in an answer over UDP: an answer is a single packet below the inner MTU.
pub const DATAGRAM_BODY_MAX_BYTES: u64 = 1000;

/// What a request asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A confirmation: takes a slot and has an effect.
    #[default]
    Confirm,
    /// An order: takes a slot and has an effect.
    Order,
    /// A stream of answers over `work_ms`. Takes no slot and has no effect.
    Watch,
    /// One answer of `size` bytes. Takes a slot and has no effect.
    Download,
}

impl Kind {
    /// Whether running the request twice does harm.
    pub fn has_effect(self) -> bool {
        matches!(self, Kind::Confirm | Kind::Order)
    }
}

/// A request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Identifies the request; a repeated id gets the first result again.
    pub id: String,
    /// Number of the attempt. A request that was shed runs only in a later attempt, so a delayed
    /// copy of a refused request never runs.
    #[serde(default)]
    pub attempt: u32,
    /// What is asked for.
    pub kind: Kind,
    /// Pattern bytes of the answer.
    #[serde(default)]
    pub size: u64,
    /// Time that the request takes.
    #[serde(default)]
    pub work_ms: u64,
    /// The request isn't completed later than this after its arrival; 0 means no deadline.
    #[serde(default)]
    pub deadline_ms: u64,
    /// Cancels the request with this id instead of running it.
    #[serde(default)]
    pub cancel: bool,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// Run to the end.
    Done,
    /// Refused: not run.
    Shed,
    /// The deadline passed first: no effect.
    Expired,
    /// Cancelled by the caller: no effect.
    Cancelled,
}

/// An answer, or one part of the answers to a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Id of the request.
    pub id: String,
    /// How the request ended.
    pub status: Status,
    /// Name of the server.
    pub server: String,
    /// Service of the server.
    pub service: String,
    /// Pattern bytes that follow.
    pub bytes: u64,
    /// Place of the first of them in the whole pattern.
    #[serde(default)]
    pub offset: u64,
    /// Another part follows.
    #[serde(default)]
    pub more: bool,
}

/// The pattern of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pattern(u64);

impl Pattern {
    /// The pattern for a request id.
    pub fn new(id: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        Self(hasher.finish())
    }

    /// Byte of the pattern at a place.
    pub fn at(self, offset: u64) -> u8 {
        let word = splitmix64_finalizer(self.0.wrapping_add(offset / 8));
        word.to_le_bytes()[(offset % 8) as usize]
    }

    /// Writes the pattern from a place on.
    pub fn fill(self, offset: u64, out: &mut [u8]) {
        for (position, byte) in (offset..).zip(out) {
            *byte = self.at(position);
        }
    }

    /// Whether `bytes` are the pattern from a place on.
    pub fn matches(self, offset: u64, bytes: &[u8]) -> bool {
        (offset..)
            .zip(bytes)
            .all(|(position, byte)| *byte == self.at(position))
    }
}

/// The finaliser of SplitMix64.
fn splitmix64_finalizer(word: u64) -> u64 {
    let mut x = word.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// The JSON line of a message.
pub fn line<T: Serialize>(message: &T) -> Vec<u8> {
    let mut bytes = serde_json::to_vec(message).expect("messages have string keys");
    bytes.push(b'\n');
    bytes
}

/// The JSON line of a message with its length before it.
pub fn frame<T: Serialize>(message: &T) -> Vec<u8> {
    let line = line(message);
    let mut bytes = (line.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(&line);
    bytes
}

/// Why received bytes are not a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

/// Takes the first framed message from `input`; `None` if it is not complete yet.
pub fn take_frame<T: DeserializeOwned>(input: &mut Vec<u8>) -> Result<Option<T>, Malformed> {
    let Some(prefix) = input.first_chunk::<4>() else {
        return Ok(None);
    };
    let length = u32::from_be_bytes(*prefix) as usize;
    if length > LINE_MAX_BYTES {
        return Err(Malformed);
    }
    let Some(line) = input.get(4..4 + length) else {
        return Ok(None);
    };
    let message = serde_json::from_slice(line).map_err(|_| Malformed)?;
    input.drain(..4 + length);
    Ok(Some(message))
}

/// Splits a datagram into its message and the bytes after the line.
pub fn parse_datagram<T: DeserializeOwned>(datagram: &[u8]) -> Result<(T, &[u8]), Malformed> {
    let end = datagram
        .iter()
        .position(|byte| *byte == b'\n')
        .ok_or(Malformed)?;
    let message = serde_json::from_slice(&datagram[..end]).map_err(|_| Malformed)?;
    Ok((message, &datagram[end + 1..]))
}

//! The application protocol between callers and backend servers.
//!
//! A message is one line of JSON. Over TCP it is preceded by its length in bytes (32 bits, big
//! endian); over UDP each message is one datagram. The line of an answer is followed by `bytes`
//! bytes of a pattern that is derived from the request id, so that a caller can verify that the
//! bytes belong to its request.

use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{de::DeserializeOwned, Deserialize, Serialize};

/// Maximum length of a JSON line over TCP, including the line feed.
pub const LINE_MAX_BYTES: usize = 4096;
/// Maximum number of pattern bytes in an answer over UDP, so that the answer fits into a single
/// packet within the inner MTU.
pub const DATAGRAM_BODY_MAX_BYTES: u64 = 1000;

/// The operation that a request asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A confirmation: occupies a slot and has a side effect.
    #[default]
    Confirm,
    /// An order: occupies a slot and has a side effect.
    Order,
    /// Over TCP, several answers spread over `work_ms`, which occupy no slot. Has no side effect.
    Watch,
    /// One answer of `size` bytes: occupies a slot and has no side effect.
    Download,
}

impl Kind {
    /// Whether the request has a side effect, so that it must not run twice.
    pub fn has_effect(self) -> bool {
        matches!(self, Kind::Confirm | Kind::Order)
    }
}

/// A request message.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// Identifies the request across attempts. A server completes an id at most once and
    /// answers a repeated request with the first result.
    pub id: String,
    /// Number of the attempt. After a server has shed a request, it accepts only a higher attempt
    /// number, so that a delayed copy of the refused attempt never runs.
    #[serde(default)]
    pub attempt: u32,
    /// The operation to run.
    pub kind: Kind,
    /// Number of pattern bytes in the answer. Over UDP at most [`DATAGRAM_BODY_MAX_BYTES`] are
    /// sent.
    #[serde(default)]
    pub size: u64,
    /// Processing time in milliseconds.
    #[serde(default)]
    pub work_ms: u64,
    /// Deadline in milliseconds after the arrival, after which the request is no longer completed;
    /// 0 means no deadline.
    #[serde(default)]
    pub deadline_ms: u64,
    /// Whether this message cancels the request with the same id.
    #[serde(default)]
    pub cancel: bool,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Status {
    /// Run to completion.
    Done,
    /// Refused because the server was overloaded; not run.
    Shed,
    /// The deadline passed before completion; no side effect.
    Expired,
    /// Cancelled by the caller; no side effect.
    Cancelled,
}

/// An answer message, or one of the answers to a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Id of the request.
    pub id: String,
    /// How the request ended.
    pub status: Status,
    /// Name of the server that sent the answer.
    pub server: String,
    /// Name of the service that the server belongs to.
    pub service: String,
    /// Number of pattern bytes after the line.
    pub bytes: u64,
    /// Offset of these bytes in the pattern; not 0 only in later answers to a watch.
    #[serde(default)]
    pub offset: u64,
    /// Whether another answer to the same watch follows.
    #[serde(default)]
    pub more: bool,
}

/// Pseudorandom byte sequence derived from a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pattern(u64);

impl Pattern {
    /// Creates the pattern of a request id.
    pub fn new(id: &str) -> Self {
        let mut hasher = DefaultHasher::new();
        id.hash(&mut hasher);
        Self(hasher.finish())
    }

    /// Returns the byte at an offset of the pattern.
    pub fn at(self, offset: u64) -> u8 {
        let word = splitmix64_finalizer(self.0.wrapping_add(offset / 8));
        word.to_le_bytes()[(offset % 8) as usize]
    }

    /// Fills `out` with the pattern, starting at an offset.
    pub fn fill(self, offset: u64, out: &mut [u8]) {
        for (position, byte) in (offset..).zip(out) {
            *byte = self.at(position);
        }
    }

    /// Whether `bytes` equals the pattern, starting at an offset.
    pub fn matches(self, offset: u64, bytes: &[u8]) -> bool {
        (offset..)
            .zip(bytes)
            .all(|(position, byte)| *byte == self.at(position))
    }
}

/// Multiplies by the increment of SplitMix64 and applies its output function.
fn splitmix64_finalizer(word: u64) -> u64 {
    let mut x = word.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Encodes a message as a JSON line.
pub fn line<T: Serialize>(message: &T) -> Vec<u8> {
    let mut bytes = serde_json::to_vec(message).expect("messages have string keys");
    bytes.push(b'\n');
    bytes
}

/// Encodes a message for TCP: the JSON line, preceded by its length.
pub fn frame<T: Serialize>(message: &T) -> Vec<u8> {
    let line = line(message);
    let mut bytes = (line.len() as u32).to_be_bytes().to_vec();
    bytes.extend_from_slice(&line);
    bytes
}

/// Error for received bytes that are not a valid message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed;

/// Removes the first framed message from `input` and decodes it; `None` if it is still incomplete.
///
/// A length above [`LINE_MAX_BYTES`] is an error. `input` stays unchanged after an error.
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

/// Decodes a datagram into its message and the bytes after the line.
pub fn parse_datagram<T: DeserializeOwned>(datagram: &[u8]) -> Result<(T, &[u8]), Malformed> {
    let end = datagram
        .iter()
        .position(|byte| *byte == b'\n')
        .ok_or(Malformed)?;
    let message = serde_json::from_slice(&datagram[..end]).map_err(|_| Malformed)?;
    Ok((message, &datagram[end + 1..]))
}

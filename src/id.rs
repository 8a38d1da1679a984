//! Identifiers and counts.
//!
//! Each one has its own type, so that the compiler rejects a generation where a sequence is
//! expected. All of them implement [`Display`](std::fmt::Display) and [`FromStr`].

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Error of parsing an identifier; its message names the kind and what is allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseIdError {
    kind: &'static str,
    text: String,
    allowed: &'static str,
}

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "invalid {} {:?}: expected {}",
            self.kind, self.text, self.allowed
        )
    }
}

impl std::error::Error for ParseIdError {}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident, $kind:literal) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        // Invariant: `valid_name` accepts the name.
        pub struct $type(String);

        impl $type {
            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $type {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                if valid_name(text) {
                    return Ok(Self(text.to_owned()));
                }
                Err(ParseIdError {
                    kind: $kind,
                    text: text.to_owned(),
                    allowed: "1 to 63 lower-case letters, digits, '-' or '.', starting and ending with a letter or digit",
                })
            }
        }

        impl TryFrom<String> for $type {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, ParseIdError> {
                text.parse()
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> Self {
                name.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

macro_rules! number {
    ($(#[$doc:meta])* $type:ident($inner:ty), $kind:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $type(pub $inner);

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}", self.0)
            }
        }

        impl FromStr for $type {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, ParseIdError> {
                text.parse().map(Self).map_err(|_| ParseIdError {
                    kind: $kind,
                    text: text.to_owned(),
                    allowed: "a non-negative whole number",
                })
            }
        }
    };
}

const NAME_MAX_BYTES: usize = 63;

/// Returns whether a text can be a name; the message of [`ParseIdError`] lists the rules.
fn valid_name(text: &str) -> bool {
    let bytes = text.as_bytes();
    let edge = |b: Option<&u8>| b.is_some_and(|b| b.is_ascii_lowercase() || b.is_ascii_digit());
    bytes.len() <= NAME_MAX_BYTES
        && edge(bytes.first())
        && edge(bytes.last())
        && bytes
            .iter()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || *b == b'-' || *b == b'.')
}

name!(
    /// Name of a machine that runs processes of the system.
    Host, "host"
);
name!(
    /// Name of a failure domain: hosts that can fail together.
    Domain, "failure domain"
);
name!(
    /// Name of an organisation that owns services.
    Organisation, "organisation"
);
name!(
    /// Name of a service: a set of virtual addresses with the backend servers behind them.
    Service, "service"
);
name!(
    /// Name of a member: a balancer, or a backend server with its agent.
    Member, "member"
);

number!(
    /// 32-bit hash of a service name, which identifies the service in the encapsulation header.
    ServiceTag(u32), "service tag"
);
number!(
    /// Number of a run of a process; later runs of the same member have higher numbers.
    Incarnation(u64), "incarnation"
);
number!(
    /// Version of a member record within an incarnation.
    Sequence(u64), "sequence"
);
number!(
    /// Number of an accepted configuration; later ones have higher numbers.
    Generation(u64), "generation"
);
number!(
    /// Number of times that a store has come back from an older copy of its objects. Orders what the
    /// store says before and after: its revisions are given out again. Zero if the store tells none.
    Era(u64), "era"
);
number!(
    /// Number of a group of a service's flows that share an arbiter, chosen by the hash of the
    /// flow.
    Bucket(u32), "bucket"
);
number!(
    /// Number of requests that a backend server runs concurrently.
    Slots(u32), "slots"
);
number!(
    /// Maximum number of connections that a backend server holds open.
    Connections(u32), "connections"
);

impl Service {
    /// Returns the tag of this service, which is unique because the validation rejects
    /// configurations in which two services share a tag.
    pub fn tag(&self) -> ServiceTag {
        let hash = crate::hash::hash_bytes(self.0.as_bytes());
        ServiceTag(hash as u32)
    }
}

/// SHA-256 of a configuration's canonical JSON. Prints as 64 hexadecimal digits.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Digest(pub [u8; 32]);

impl Digest {
    /// Computes the digest of `bytes`.
    pub fn of(bytes: &[u8]) -> Self {
        use sha2::Digest as _;
        Self(sha2::Sha256::digest(bytes).into())
    }

    /// Returns the digest that consists of `bytes`, or `None` unless there are 32.
    pub fn try_from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for Digest {
    type Err = ParseIdError;

    fn from_str(text: &str) -> Result<Self, ParseIdError> {
        let invalid = || ParseIdError {
            kind: "digest",
            text: text.to_owned(),
            allowed: "64 lower-case hexadecimal digits",
        };
        let digits = text.as_bytes();
        if digits.len() != 64 || digits.iter().any(u8::is_ascii_uppercase) {
            return Err(invalid());
        }
        let mut bytes = [0; 32];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks(2)) {
            let pair = std::str::from_utf8(pair).map_err(|_| invalid())?;
            *byte = u8::from_str_radix(pair, 16).map_err(|_| invalid())?;
        }
        Ok(Self(bytes))
    }
}

impl TryFrom<String> for Digest {
    type Error = ParseIdError;

    fn try_from(text: String) -> Result<Self, ParseIdError> {
        text.parse()
    }
}

impl From<Digest> for String {
    fn from(digest: Digest) -> Self {
        digest.to_string()
    }
}

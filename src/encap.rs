//! Encapsulation of IP packets in UDP (Generic UDP Encapsulation, GUE).
//!
//! Between the fabric and the balancers, and between agents and their servers, the UDP payload is
//! the IP packet without a header (GUE variant 1). Between balancers and agents, a GUE variant 0
//! header with private data carries the service, the configuration generation and an authentication
//! tag.
//!
//! Layout of the private data: version, flags, hop limit and a reserved byte; service tag (4
//! bytes); generation (8 bytes); the fallback address, if its flag is set (20 bytes);
//! authentication tag (8 bytes). Integers are big-endian.

use std::hash::Hasher;
use std::net::{IpAddr, Ipv6Addr, SocketAddr};

use siphasher::sip::SipHasher24;
use strum::{Display, IntoStaticStr};

use crate::id::{Generation, ServiceTag};
use crate::packet::Flow;

/// Version of the layout of the private data.
const VERSION: u8 = 1;
/// Size of the GUE base header.
const BASE_BYTES: usize = 4;
const TAG_BYTES: usize = 8;
/// Size of the private data without a fallback address: version, flags, hop limit and reserved
/// byte; service; generation; authentication tag.
const PRIVATE_MIN_BYTES: usize = 4 + 4 + 8 + TAG_BYTES;
/// Size of a fallback address: IPv6 address, port and padding to a 32-bit boundary.
const FALLBACK_BYTES: usize = 20;
/// Maximum size of a header, base header included.
pub const HEADER_MAX_BYTES: usize = BASE_BYTES + PRIVATE_MIN_BYTES + FALLBACK_BYTES;
/// Hop limit that balancers set: the number of times that agents may forward the packet.
pub const HOP_LIMIT: u8 = 4;

/// Flag of [`Header::assigned`].
const FLAG_ASSIGNED: u8 = 1;
/// Flag of a header that contains [`Header::fallback`].
const FLAG_FALLBACK: u8 = 2;

// IANA protocol numbers of the inner packet.
const PROTOCOL_IPV4: u8 = 4;
const PROTOCOL_IPV6: u8 = 41;

/// Secret SipHash key that authenticates headers.
#[derive(Clone, Copy)]
pub struct Key(u64, u64);

impl Key {
    /// Creates a key from 16 secret bytes.
    pub fn new(bytes: [u8; 16]) -> Self {
        let (low, high) = bytes.split_at(8);
        Self(
            u64::from_le_bytes(low.try_into().unwrap()),
            u64::from_le_bytes(high.try_into().unwrap()),
        )
    }
}

/// Encapsulation header of a packet between balancers and agents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// Service that has the destination address in the configuration of the balancer.
    pub service: ServiceTag,
    /// Configuration that the balancer routed the packet with.
    pub generation: Generation,
    /// Number of times that the packet may still be forwarded.
    pub hop_limit: u8,
    /// Whether the arbiter of the flow assigned the flow to the receiver.
    pub assigned: bool,
    /// Control address of the flow's arbiter in the service that had the destination address
    /// before, if the address moved recently.
    pub fallback: Option<SocketAddr>,
}

/// Reason why a datagram is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Error {
    /// The datagram is shorter than its header, or the header's length doesn't match its flags.
    Truncated,
    /// The datagram isn't GUE variant 0 or is a GUE control message.
    Variant,
    /// The version of the private data isn't supported.
    Version,
    /// The authentication tag doesn't match: the header is forged or corrupted, or was
    /// authenticated with another key.
    Tag,
}

impl std::error::Error for Error {}

impl Header {
    /// Appends the encoded header to `out`. The inner packet follows it.
    pub fn write(&self, key: Key, flow: &Flow, out: &mut Vec<u8>) {
        let mut bytes = [0; HEADER_MAX_BYTES];
        let length = self.encode(key, flow, &mut bytes);
        out.extend_from_slice(&bytes[HEADER_MAX_BYTES - length..]);
    }

    /// Encodes the header at the end of `buffer`, so that a packet that was received right after
    /// the buffer needn't be copied. Returns the length of the header.
    pub fn encode(&self, key: Key, flow: &Flow, buffer: &mut [u8; HEADER_MAX_BYTES]) -> usize {
        let private = PRIVATE_MIN_BYTES
            + if self.fallback.is_some() {
                FALLBACK_BYTES
            } else {
                0
            };
        let length = BASE_BYTES + private;
        let bytes = &mut buffer[HEADER_MAX_BYTES - length..];
        let protocol = if flow.destination.is_ipv4() {
            PROTOCOL_IPV4
        } else {
            PROTOCOL_IPV6
        };
        let mut flags = 0;
        if self.assigned {
            flags |= FLAG_ASSIGNED;
        }
        if self.fallback.is_some() {
            flags |= FLAG_FALLBACK;
        }
        bytes[..4].copy_from_slice(&[(private / 4) as u8, protocol, 0, 0]);
        bytes[4..8].copy_from_slice(&[VERSION, flags, self.hop_limit, 0]);
        bytes[8..12].copy_from_slice(&self.service.0.to_be_bytes());
        bytes[12..20].copy_from_slice(&self.generation.0.to_be_bytes());
        if let Some(address) = self.fallback {
            write_fallback(address, &mut bytes[20..20 + FALLBACK_BYTES]);
        }
        let (authenticated, rest) = bytes.split_at_mut(length - TAG_BYTES);
        rest.copy_from_slice(&tag(key, authenticated, flow).to_be_bytes());
        length
    }

    /// Splits a datagram into header, authentication tag and inner packet. Use the header only
    /// after [`UnverifiedDatagram::verify`].
    pub fn read(datagram: &[u8]) -> Result<UnverifiedDatagram<'_>, Error> {
        let base = datagram.first().ok_or(Error::Truncated)?;
        if base & 0xe0 != 0 {
            return Err(Error::Variant);
        }
        let length = usize::from(base & 0x1f) * 4;
        let end = BASE_BYTES + length;
        if datagram.len() < end || length < PRIVATE_MIN_BYTES {
            return Err(Error::Truncated);
        }
        let private = &datagram[BASE_BYTES..end];
        if private[0] != VERSION {
            return Err(Error::Version);
        }
        let has_fallback = private[1] & FLAG_FALLBACK != 0;
        let expected = PRIVATE_MIN_BYTES + if has_fallback { FALLBACK_BYTES } else { 0 };
        if length != expected {
            return Err(Error::Truncated);
        }
        let (authenticated, tag) = datagram[..end].split_at(end - TAG_BYTES);
        let header = Header {
            service: ServiceTag(u32::from_be_bytes(private[4..8].try_into().unwrap())),
            generation: Generation(u64::from_be_bytes(private[8..16].try_into().unwrap())),
            hop_limit: private[2],
            assigned: private[1] & FLAG_ASSIGNED != 0,
            fallback: has_fallback.then(|| read_fallback(&private[16..36])),
        };
        Ok(UnverifiedDatagram {
            header,
            authenticated,
            tag: u64::from_be_bytes(tag.try_into().unwrap()),
            inner: &datagram[end..],
        })
    }
}

/// Datagram whose authentication tag hasn't been checked.
#[derive(Clone, Copy, Debug)]
pub struct UnverifiedDatagram<'a> {
    header: Header,
    authenticated: &'a [u8],
    tag: u64,
    /// Inner IP packet. The tag authenticates its flow, not its content.
    pub inner: &'a [u8],
}

impl UnverifiedDatagram<'_> {
    /// Checks the tag with `flow`, the flow of the inner packet, and returns the header.
    pub fn verify(&self, key: Key, flow: &Flow) -> Result<Header, Error> {
        if tag(key, self.authenticated, flow) != self.tag {
            return Err(Error::Tag);
        }
        Ok(self.header)
    }
}

fn tag(key: Key, header: &[u8], flow: &Flow) -> u64 {
    let mut hasher = SipHasher24::new_with_keys(key.0, key.1);
    hasher.write(header);
    hasher.write_u64(flow.hash());
    hasher.finish()
}

fn write_fallback(address: SocketAddr, out: &mut [u8]) {
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    out[..16].copy_from_slice(&ip.octets());
    out[16..18].copy_from_slice(&address.port().to_be_bytes());
    out[18..].fill(0);
}

fn read_fallback(bytes: &[u8]) -> SocketAddr {
    let octets: [u8; 16] = bytes[..16].try_into().unwrap();
    let ip = Ipv6Addr::from(octets).to_canonical();
    SocketAddr::new(ip, u16::from_be_bytes([bytes[16], bytes[17]]))
}

/// Returns whether a datagram is an IP packet without a header (GUE variant 1).
pub fn is_bare(datagram: &[u8]) -> bool {
    matches!(datagram.first().map(|b| b >> 4), Some(4 | 6))
}

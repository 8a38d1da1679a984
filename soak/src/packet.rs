//! Encodes and decodes the platform's packets on behalf of clients and servers.

use std::hash::Hasher;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use flamingofall_emulator::packet::{Action, Packet};
use siphasher::sip::SipHasher13;

/// Length of the packet header in bytes.
pub const HEADER_BYTES: usize = 34;
/// Length of a request id in bytes; it is the payload of a request or an answer.
const REQUEST_ID_BYTES: usize = 8;

const SYN: u8 = 1;
const RST: u8 = 2;
const FIN: u8 = 8;
const ACK: u8 = 32;
const RETURNED_FLAG: u8 = 128;
const FLAGS_OFFSET: usize = 30;
const TOKEN_RANGE: std::ops::Range<usize> = 6..10;
const CHECKSUM_RANGE: std::ops::Range<usize> = 2..6;
/// Key of the checksum. The programs under test don't have it, so they can't write a packet that
/// passes for one of a client or a server.
const CHECKSUM_KEY: (u64, u64) = (0x5eed, 0x50a4);

/// Kind of host that sent a packet; it decides which address is the client's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// The source is the client.
    Client,
    /// The destination is the client.
    Server,
}

/// Result of decoding a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Content {
    /// A packet whose checksum shows that a client or a server wrote it.
    Genuine(Packet),
    /// A reset written by the platform, which has no checksum.
    Reset(Packet),
    /// Malformed, or changed since a client or a server wrote it.
    Invalid,
}

/// Encodes a packet with its checksum.
pub fn encode(packet: &Packet, sender: Sender) -> Vec<u8> {
    let (source, destination) = match sender {
        Sender::Client => (packet.client, packet.address),
        Sender::Server => (packet.address, packet.client),
    };
    let flags = match packet.action {
        Action::Open => SYN,
        Action::Accept => SYN | ACK,
        Action::Data => ACK,
        Action::Finish => FIN | ACK,
        Action::Reset => RST,
    };
    let id = packet.request.map(u64::to_le_bytes);
    let length = if id.is_some() {
        REQUEST_ID_BYTES as u16
    } else {
        0
    };
    let mut bytes = Vec::with_capacity(HEADER_BYTES + REQUEST_ID_BYTES);
    bytes.extend(length.to_le_bytes());
    bytes.extend([0; 8]);
    bytes.extend(packet.sequence.to_le_bytes());
    bytes.extend(packet.acknowledgement.to_le_bytes());
    bytes.extend(destination.port().to_le_bytes());
    bytes.extend(ipv4_number(source).to_le_bytes());
    bytes.extend(source.port().to_le_bytes());
    bytes.extend(ipv4_number(destination).to_le_bytes());
    bytes.extend([flags, 0, 0, 0]);
    bytes.extend(id.into_iter().flatten());
    let sum = checksum(&bytes).to_le_bytes();
    bytes[CHECKSUM_RANGE].copy_from_slice(&sum);
    bytes
}

/// Decodes a datagram and verifies its checksum. `sender` is the kind of host that should have
/// sent it.
pub fn decode(bytes: &[u8], sender: Sender) -> Content {
    let id = match bytes.len().checked_sub(HEADER_BYTES) {
        Some(0) => None,
        Some(REQUEST_ID_BYTES) => Some(u64_at(bytes, HEADER_BYTES)),
        _ => return Content::Invalid,
    };
    let source = socket_addr(u32_at(bytes, 20), u16_at(bytes, 24));
    let destination = socket_addr(u32_at(bytes, 26), u16_at(bytes, 18));
    let (client, address) = match sender {
        Sender::Client => (source, destination),
        Sender::Server => (destination, source),
    };
    let flags = bytes[FLAGS_OFFSET];
    let action = match flags & !RETURNED_FLAG {
        SYN => Action::Open,
        flags if flags == SYN | ACK => Action::Accept,
        ACK => Action::Data,
        flags if flags == FIN | ACK => Action::Finish,
        RST => Action::Reset,
        _ => return Content::Invalid,
    };
    let packet = Packet {
        client,
        address,
        action,
        sequence: u32_at(bytes, 10),
        acknowledgement: u32_at(bytes, 14),
        request: id,
    };
    let sum = u32_at(bytes, CHECKSUM_RANGE.start);
    if sum == checksum(bytes) {
        return Content::Genuine(packet);
    }
    match (action, sum, sender) {
        (Action::Reset, 0, Sender::Server) if id.is_none() => Content::Reset(packet),
        _ => Content::Invalid,
    }
}

/// Marks a packet as returned by a server that doesn't hold its flow. The token is kept.
pub fn mark_returned(bytes: &mut [u8]) {
    bytes[FLAGS_OFFSET] |= RETURNED_FLAG;
    bytes[FLAGS_OFFSET + 1..HEADER_BYTES].fill(0);
}

/// Computes a keyed hash of the packet without the token, the padding and the flag of a returned
/// packet, which change on the way.
fn checksum(bytes: &[u8]) -> u32 {
    let mut hasher = SipHasher13::new_with_keys(CHECKSUM_KEY.0, CHECKSUM_KEY.1);
    hasher.write(&bytes[..CHECKSUM_RANGE.start]);
    hasher.write(&bytes[TOKEN_RANGE.end..FLAGS_OFFSET]);
    hasher.write_u8(bytes[FLAGS_OFFSET] & !RETURNED_FLAG);
    hasher.write(&bytes[HEADER_BYTES..]);
    // The checksum field is 0 in a reset written by the platform.
    (hasher.finish() as u32).max(1)
}

fn ipv4_number(address: SocketAddr) -> u32 {
    match address {
        SocketAddr::V4(v4) => u32::from(*v4.ip()),
        SocketAddr::V6(_) => 0,
    }
}

fn socket_addr(ip: u32, port: u16) -> SocketAddr {
    SocketAddrV4::new(Ipv4Addr::from(ip), port).into()
}

fn u16_at(bytes: &[u8], offset: usize) -> u16 {
    u16::from_le_bytes([bytes[offset], bytes[offset + 1]])
}

fn u32_at(bytes: &[u8], offset: usize) -> u32 {
    u32::from(u16_at(bytes, offset)) | u32::from(u16_at(bytes, offset + 2)) << 16
}

fn u64_at(bytes: &[u8], offset: usize) -> u64 {
    u64::from(u32_at(bytes, offset)) | u64::from(u32_at(bytes, offset + 4)) << 32
}

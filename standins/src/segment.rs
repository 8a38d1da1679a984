//! Parses and builds packets without a TCP or UDP endpoint.

use std::net::{IpAddr, SocketAddr};

use etherparse::{Icmpv4Type, Icmpv6Type, NetSlice, PacketBuilder, SlicedPacket, TransportSlice};

const HOP_LIMIT: u8 = 64;
/// Receive window announced in segments that are built here. The peer replaces it by the window of
/// the next segment from the endpoint.
const WINDOW_BYTES: u16 = 1024;
const PROTOCOL_TCP: u8 = 6;

/// Kind of a packet, with the fields that decide where it is delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Content {
    Tcp {
        syn: bool,
        ack: bool,
        rst: bool,
    },
    Udp,
    /// ICMP destination unreachable. `tcp`, `from` and `to` describe the quoted packet.
    Unreachable {
        tcp: bool,
        from: SocketAddr,
        to: SocketAddr,
    },
    Other,
}

/// Addresses and content of a packet. The ports are 0 if it is neither TCP nor UDP.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Summary {
    pub(crate) source: SocketAddr,
    pub(crate) destination: SocketAddr,
    pub(crate) content: Content,
}

/// Parses an IP packet; `None` if it is malformed.
pub(crate) fn summary(packet: &[u8]) -> Option<Summary> {
    let sliced = SlicedPacket::from_ip(packet).ok()?;
    let (source, destination) = addresses(sliced.net.as_ref()?)?;
    let (ports, content) = match &sliced.transport {
        Some(TransportSlice::Tcp(tcp)) => (
            (tcp.source_port(), tcp.destination_port()),
            Content::Tcp {
                syn: tcp.syn(),
                ack: tcp.ack(),
                rst: tcp.rst(),
            },
        ),
        Some(TransportSlice::Udp(udp)) => {
            ((udp.source_port(), udp.destination_port()), Content::Udp)
        }
        Some(TransportSlice::Icmpv4(icmp)) => match icmp.icmp_type() {
            Icmpv4Type::DestinationUnreachable(_) => ((0, 0), quoted_content(icmp.payload())),
            _ => ((0, 0), Content::Other),
        },
        Some(TransportSlice::Icmpv6(icmp)) => match icmp.icmp_type() {
            Icmpv6Type::DestinationUnreachable(_) => ((0, 0), quoted_content(icmp.payload())),
            _ => ((0, 0), Content::Other),
        },
        None => ((0, 0), Content::Other),
    };
    Some(Summary {
        source: SocketAddr::new(source, ports.0),
        destination: SocketAddr::new(destination, ports.1),
        content,
    })
}

fn addresses(net: &NetSlice<'_>) -> Option<(IpAddr, IpAddr)> {
    match net {
        NetSlice::Ipv4(ip) => Some((
            ip.header().source_addr().into(),
            ip.header().destination_addr().into(),
        )),
        NetSlice::Ipv6(ip) => Some((
            ip.header().source_addr().into(),
            ip.header().destination_addr().into(),
        )),
        _ => None,
    }
}

/// Parses the packet quoted in an ICMP error. Its fields are read directly, because the quotation
/// is usually truncated and the packet parser would reject it.
fn quoted_content(packet: &[u8]) -> Content {
    parse_quoted_packet(packet).unwrap_or(Content::Other)
}

fn parse_quoted_packet(packet: &[u8]) -> Option<Content> {
    let (source, destination, protocol, ports): (IpAddr, IpAddr, u8, &[u8]) =
        match packet.first()? >> 4 {
            4 => {
                let length = usize::from(packet[0] & 0x0f) * 4;
                let source: [u8; 4] = packet.get(12..16)?.try_into().ok()?;
                let destination: [u8; 4] = packet.get(16..20)?.try_into().ok()?;
                let ports = packet.get(length..length + 4)?;
                (source.into(), destination.into(), packet[9], ports)
            }
            6 => {
                let source: [u8; 16] = packet.get(8..24)?.try_into().ok()?;
                let destination: [u8; 16] = packet.get(24..40)?.try_into().ok()?;
                let ports = packet.get(40..44)?;
                (source.into(), destination.into(), packet[6], ports)
            }
            _ => return None,
        };
    Some(Content::Unreachable {
        tcp: protocol == PROTOCOL_TCP,
        from: SocketAddr::new(source, u16::from_be_bytes([ports[0], ports[1]])),
        to: SocketAddr::new(destination, u16::from_be_bytes([ports[2], ports[3]])),
    })
}

/// Returns the sequence number that follows a TCP segment, and the acknowledgement number of the
/// segment.
pub(crate) fn next_sequence_and_ack(packet: &[u8]) -> Option<(u32, u32)> {
    let sliced = SlicedPacket::from_ip(packet).ok()?;
    let Some(TransportSlice::Tcp(tcp)) = &sliced.transport else {
        return None;
    };
    let length = tcp.payload().len() as u32 + u32::from(tcp.syn()) + u32::from(tcp.fin());
    let next = tcp.sequence_number().wrapping_add(length);
    Some((next, tcp.acknowledgment_number()))
}

/// Builds a TCP segment without data and with the ACK flag; `None` if the IP versions differ.
pub(crate) fn acknowledgement(
    from: SocketAddr,
    to: SocketAddr,
    sequence: u32,
    acknowledged: u32,
) -> Option<Vec<u8>> {
    let builder = match (from.ip(), to.ip()) {
        (IpAddr::V4(from), IpAddr::V4(to)) => {
            PacketBuilder::ipv4(from.octets(), to.octets(), HOP_LIMIT)
        }
        (IpAddr::V6(from), IpAddr::V6(to)) => {
            PacketBuilder::ipv6(from.octets(), to.octets(), HOP_LIMIT)
        }
        _ => return None,
    };
    let builder = builder
        .tcp(from.port(), to.port(), sequence, WINDOW_BYTES)
        .ack(acknowledged);
    let mut packet = Vec::with_capacity(builder.size(0));
    builder.write(&mut packet, &[]).ok()?;
    Some(packet)
}

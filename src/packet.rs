//! Parsing of the callers' IP packets, and the TCP resets and ICMP errors sent in reply.

use std::fmt;
use std::net::{IpAddr, SocketAddr};

use etherparse::{
    Icmpv4Type, Icmpv6Type, IpNumber, Ipv4HeaderSlice, Ipv6HeaderSlice, NetSlice, PacketBuilder,
    SlicedPacket, TcpHeaderSlice, TransportSlice, UdpHeaderSlice,
};
use strum::{Display, EnumString};

use crate::hash::hash_bytes;

/// Transport protocol of a flow.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumString,
    serde::Serialize,
    serde::Deserialize,
)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum Protocol {
    /// TCP, whose flows start with a SYN.
    Tcp,
    /// UDP, of which any datagram may start a flow.
    Udp,
}

impl Protocol {
    /// Returns the protocol's IANA number.
    pub fn number(self) -> u8 {
        match self {
            Protocol::Tcp => IpNumber::TCP.0,
            Protocol::Udp => IpNumber::UDP.0,
        }
    }

    /// Returns the protocol with this IANA number, or `None` for protocols other than TCP and UDP.
    pub fn from_number(number: u8) -> Option<Self> {
        match IpNumber(number) {
            IpNumber::TCP => Some(Protocol::Tcp),
            IpNumber::UDP => Some(Protocol::Udp),
            _ => None,
        }
    }
}

/// 5-tuple of a flow, in the direction from the caller to the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Flow {
    /// Transport protocol; flows of TCP and UDP with equal addresses are distinct.
    pub protocol: Protocol,
    /// Address and port of the caller.
    pub source: SocketAddr,
    /// Virtual address and port of the service.
    pub destination: SocketAddr,
}

impl Flow {
    /// Returns the hash that determines the flow's bucket. It is the same on every host.
    pub fn hash(&self) -> u64 {
        let mut bytes = [0u8; FLOW_HASH_BYTES];
        bytes[0] = self.protocol.number();
        write_address(&mut bytes[1..19], self.source);
        write_address(&mut bytes[19..37], self.destination);
        hash_bytes(&bytes)
    }

    /// Returns the 5-tuple of the packets in the opposite direction.
    pub fn reversed(&self) -> Flow {
        Flow {
            protocol: self.protocol,
            source: self.destination,
            destination: self.source,
        }
    }
}

/// Hash input: protocol, then two addresses of 16 bytes with ports of 2 bytes.
const FLOW_HASH_BYTES: usize = 37;

/// Writes an address as IPv6 (IPv4 addresses as IPv4-mapped) and the port.
fn write_address(bytes: &mut [u8], address: SocketAddr) {
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    bytes[..16].copy_from_slice(&ip.octets());
    bytes[16..].copy_from_slice(&address.port().to_be_bytes());
}

impl fmt::Display for Flow {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}>{}", self.protocol, self.source, self.destination)
    }
}

/// Role of a packet in its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// TCP SYN without ACK, FIN or RST: may start a flow.
    Syn,
    /// UDP datagram: may start a flow.
    Datagram,
    /// TCP segment that can only belong to an existing flow.
    Segment,
    /// TCP segment with FIN or RST.
    Closing,
    /// ICMP error that quotes a packet which the service sent in this flow.
    Error,
}

impl Kind {
    /// Returns whether a packet of this kind may start a flow.
    pub fn can_open_flow(self) -> bool {
        matches!(self, Kind::Syn | Kind::Datagram)
    }
}

/// Parsed packet.
#[derive(Clone, Copy, Debug)]
pub struct Packet<'a> {
    /// Flow that the packet belongs to.
    pub flow: Flow,
    /// Role of the packet in the flow.
    pub kind: Kind,
    /// Complete IP packet, including its headers.
    pub bytes: &'a [u8],
}

/// Reason why a packet can't be assigned to a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Error {
    /// A header of the packet is malformed, or an ICMP error doesn't quote a TCP or UDP packet.
    Malformed,
    /// The packet is an IP fragment. Only the first fragment contains the ports, so the flow of the
    /// others is unknown.
    Fragment,
    /// The payload is neither TCP, UDP nor an ICMP error.
    Protocol,
}

impl std::error::Error for Error {}

/// Parses an IPv4 or IPv6 packet.
pub fn parse(bytes: &[u8]) -> Result<Packet<'_>, Error> {
    match parse_ipv4(bytes) {
        Some(packet) => Ok(packet),
        None => parse_any(bytes),
    }
}

/// Fast path for unfragmented TCP and UDP over IPv4, which is most of the traffic. Returns `None`
/// for all other packets, which [`parse_any`] handles.
fn parse_ipv4(bytes: &[u8]) -> Option<Packet<'_>> {
    let ip = Ipv4HeaderSlice::from_slice(bytes).ok()?;
    if ip.is_fragmenting_payload() {
        return None;
    }
    let payload = bytes.get(ip.slice().len()..usize::from(ip.total_len()))?;
    let (protocol, ports, kind) = match ip.protocol() {
        IpNumber::TCP => {
            let tcp = TcpHeaderSlice::from_slice(payload).ok()?;
            let kind = segment_kind(tcp.syn(), tcp.ack(), tcp.fin(), tcp.rst());
            (
                Protocol::Tcp,
                (tcp.source_port(), tcp.destination_port()),
                kind,
            )
        }
        IpNumber::UDP => {
            let udp = UdpHeaderSlice::from_slice(payload).ok()?;
            (
                Protocol::Udp,
                (udp.source_port(), udp.destination_port()),
                Kind::Datagram,
            )
        }
        _ => return None,
    };
    let flow = Flow {
        protocol,
        source: SocketAddr::new(ip.source_addr().into(), ports.0),
        destination: SocketAddr::new(ip.destination_addr().into(), ports.1),
    };
    Some(Packet { flow, kind, bytes })
}

fn segment_kind(syn: bool, ack: bool, fin: bool, rst: bool) -> Kind {
    if rst || fin {
        Kind::Closing
    } else if syn && !ack {
        Kind::Syn
    } else {
        Kind::Segment
    }
}

fn parse_any(bytes: &[u8]) -> Result<Packet<'_>, Error> {
    let sliced = SlicedPacket::from_ip(bytes).map_err(|_| Error::Malformed)?;
    let (source, destination) = match &sliced.net {
        Some(NetSlice::Ipv4(ip)) => {
            let header = ip.header();
            (
                IpAddr::V4(header.source_addr()),
                IpAddr::V4(header.destination_addr()),
            )
        }
        Some(NetSlice::Ipv6(ip)) => {
            let header = ip.header();
            (
                IpAddr::V6(header.source_addr()),
                IpAddr::V6(header.destination_addr()),
            )
        }
        _ => return Err(Error::Malformed),
    };
    if sliced.is_ip_payload_fragmented() {
        return Err(Error::Fragment);
    }
    let (protocol, ports, kind) = match &sliced.transport {
        Some(TransportSlice::Tcp(tcp)) => {
            let kind = segment_kind(tcp.syn(), tcp.ack(), tcp.fin(), tcp.rst());
            (
                Protocol::Tcp,
                (tcp.source_port(), tcp.destination_port()),
                kind,
            )
        }
        Some(TransportSlice::Udp(udp)) => (
            Protocol::Udp,
            (udp.source_port(), udp.destination_port()),
            Kind::Datagram,
        ),
        Some(TransportSlice::Icmpv4(icmp)) => {
            let error = matches!(
                icmp.icmp_type(),
                Icmpv4Type::DestinationUnreachable(_)
                    | Icmpv4Type::TimeExceeded(_)
                    | Icmpv4Type::ParameterProblem(_)
            );
            return quoted_packet(bytes, icmp.payload(), error);
        }
        Some(TransportSlice::Icmpv6(icmp)) => {
            let error = matches!(
                icmp.icmp_type(),
                Icmpv6Type::DestinationUnreachable(_)
                    | Icmpv6Type::PacketTooBig { .. }
                    | Icmpv6Type::TimeExceeded(_)
                    | Icmpv6Type::ParameterProblem(_)
            );
            return quoted_packet(bytes, icmp.payload(), error);
        }
        _ => return Err(Error::Protocol),
    };
    let flow = Flow {
        protocol,
        source: SocketAddr::new(source, ports.0),
        destination: SocketAddr::new(destination, ports.1),
    };
    Ok(Packet { flow, kind, bytes })
}

/// Returns the packet for an ICMP message that quotes another packet. The quoted packet was sent by
/// the service, so its 5-tuple is reversed.
fn quoted_packet<'a>(bytes: &'a [u8], quoted: &[u8], error: bool) -> Result<Packet<'a>, Error> {
    if !error {
        return Err(Error::Protocol);
    }
    let flow = quoted_flow(quoted).ok_or(Error::Malformed)?;
    Ok(Packet {
        flow: flow.reversed(),
        kind: Kind::Error,
        bytes,
    })
}

/// Returns the 5-tuple of a packet quoted by an ICMP error. A quote may contain only the first 8
/// bytes of the transport header, so the ports are read without parsing the header.
fn quoted_flow(quoted: &[u8]) -> Option<Flow> {
    let (source, destination, protocol, length): (IpAddr, IpAddr, u8, usize) =
        match quoted.first()? >> 4 {
            4 => {
                let header = Ipv4HeaderSlice::from_slice(quoted).ok()?;
                (
                    header.source_addr().into(),
                    header.destination_addr().into(),
                    header.protocol().0,
                    header.slice().len(),
                )
            }
            6 => {
                let header = Ipv6HeaderSlice::from_slice(quoted).ok()?;
                (
                    header.source_addr().into(),
                    header.destination_addr().into(),
                    header.next_header().0,
                    header.slice().len(),
                )
            }
            _ => return None,
        };
    let ports = quoted.get(length..length + 4)?;
    Some(Flow {
        protocol: Protocol::from_number(protocol)?,
        source: SocketAddr::new(source, u16::from_be_bytes([ports[0], ports[1]])),
        destination: SocketAddr::new(destination, u16::from_be_bytes([ports[2], ports[3]])),
    })
}

/// TTL or hop limit of the packets that are sent in reply.
const REPLY_HOP_LIMIT: u8 = 64;
/// Maximum length of the quote in an ICMP error: RFC 1812 limits ICMP errors over IPv4 to 576
/// bytes.
const QUOTE_MAX_BYTES: usize = 528;

/// Returns the packet that tells the caller that its flow was refused and none of its requests ran.
///
/// For TCP it is a reset, for UDP an ICMP error: destination unreachable, administratively
/// prohibited. `None` is returned for closing segments and ICMP errors, and if the reply can't be
/// built.
pub fn refusal(packet: &Packet<'_>) -> Option<Vec<u8>> {
    match packet.kind {
        Kind::Syn | Kind::Segment => tcp_reset(packet),
        Kind::Datagram => icmp_prohibited(packet),
        Kind::Closing | Kind::Error => None,
    }
}

fn tcp_reset(packet: &Packet<'_>) -> Option<Vec<u8>> {
    let sliced = SlicedPacket::from_ip(packet.bytes).ok()?;
    let Some(TransportSlice::Tcp(tcp)) = sliced.transport else {
        return None;
    };
    let length = tcp.payload().len() as u32 + u32::from(tcp.syn()) + u32::from(tcp.fin());
    let reply = packet.flow.reversed();
    let builder = ip_builder(&reply)?;
    // RFC 9293, section 3.10.7.1: the reset takes its sequence number from the acknowledgment
    // number of the segment, if there is one.
    let builder = if tcp.ack() {
        builder
            .tcp(
                reply.source.port(),
                reply.destination.port(),
                tcp.acknowledgment_number(),
                0,
            )
            .rst()
    } else {
        builder
            .tcp(reply.source.port(), reply.destination.port(), 0, 0)
            .rst()
            .ack(tcp.sequence_number().wrapping_add(length))
    };
    let mut bytes = Vec::with_capacity(builder.size(0));
    builder.write(&mut bytes, &[]).ok()?;
    Some(bytes)
}

fn icmp_prohibited(packet: &Packet<'_>) -> Option<Vec<u8>> {
    use etherparse::icmpv4::DestUnreachableHeader as V4;
    use etherparse::icmpv6::DestUnreachableCode as V6;

    let reply = packet.flow.reversed();
    let builder = ip_builder(&reply)?;
    let quote = &packet.bytes[..packet.bytes.len().min(QUOTE_MAX_BYTES)];
    let mut bytes = Vec::new();
    if reply.source.is_ipv4() {
        let kind = Icmpv4Type::DestinationUnreachable(V4::FilterProhibited);
        builder.icmpv4(kind).write(&mut bytes, quote).ok()?;
    } else {
        let kind = Icmpv6Type::DestinationUnreachable(V6::Prohibited);
        builder.icmpv6(kind).write(&mut bytes, quote).ok()?;
    }
    Some(bytes)
}

/// Returns the ICMP error that tells the caller to send packets of at most `mtu` bytes.
pub fn icmp_too_big(packet: &Packet<'_>, mtu: u16) -> Option<Vec<u8>> {
    use etherparse::icmpv4::DestUnreachableHeader as V4;

    let reply = packet.flow.reversed();
    let quote = &packet.bytes[..packet.bytes.len().min(QUOTE_MAX_BYTES)];
    let builder = ip_builder(&reply)?;
    let mut bytes = Vec::new();
    if reply.source.is_ipv4() {
        let unreachable = V4::FragmentationNeeded { next_hop_mtu: mtu };
        let kind = Icmpv4Type::DestinationUnreachable(unreachable);
        builder.icmpv4(kind).write(&mut bytes, quote).ok()?;
    } else {
        let kind = Icmpv6Type::PacketTooBig {
            mtu: u32::from(mtu),
        };
        builder.icmpv6(kind).write(&mut bytes, quote).ok()?;
    }
    Some(bytes)
}

fn ip_builder(flow: &Flow) -> Option<etherparse::PacketBuilderStep<etherparse::IpHeaders>> {
    match (flow.source.ip(), flow.destination.ip()) {
        (IpAddr::V4(from), IpAddr::V4(to)) => Some(PacketBuilder::ipv4(
            from.octets(),
            to.octets(),
            REPLY_HOP_LIMIT,
        )),
        (IpAddr::V6(from), IpAddr::V6(to)) => Some(PacketBuilder::ipv6(
            from.octets(),
            to.octets(),
            REPLY_HOP_LIMIT,
        )),
        _ => None,
    }
}

//! Parsing of callers' packets, and the packets that refuse a flow.

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
    /// Transmission control protocol.
    Tcp,
    /// User datagram protocol.
    Udp,
}

impl Protocol {
    /// The protocol's IANA number.
    pub fn number(self) -> u8 {
        match self {
            Protocol::Tcp => IpNumber::TCP.0,
            Protocol::Udp => IpNumber::UDP.0,
        }
    }

    /// The protocol with this IANA number.
    pub fn from_number(number: u8) -> Option<Self> {
        match IpNumber(number) {
            IpNumber::TCP => Some(Protocol::Tcp),
            IpNumber::UDP => Some(Protocol::Udp),
            _ => None,
        }
    }
}

/// The 5-tuple of a flow, as seen from the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Flow {
    /// Transport protocol.
    pub protocol: Protocol,
    /// The caller's address.
    pub source: SocketAddr,
    /// The service's address.
    pub destination: SocketAddr,
}

impl Flow {
    /// Hash that decides the flow's bucket. The same on every host.
    pub fn hash(&self) -> u64 {
        let mut bytes = [0u8; FLOW_BYTES];
        bytes[0] = self.protocol.number();
        write_address(&mut bytes[1..19], self.source);
        write_address(&mut bytes[19..37], self.destination);
        hash_bytes(&bytes)
    }

    /// The flow in the direction of the answers.
    pub fn reversed(&self) -> Flow {
        Flow {
            protocol: self.protocol,
            source: self.destination,
            destination: self.source,
        }
    }
}

const FLOW_BYTES: usize = 37;

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

/// What a packet means for its flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A TCP SYN without ACK: may start a flow.
    Syn,
    /// A UDP datagram: may start a flow.
    Datagram,
    /// A TCP segment of a flow that exists.
    Segment,
    /// A TCP segment with FIN or RST.
    Closing,
    /// An ICMP error that quotes a packet which the service sent in this flow.
    Error,
}

impl Kind {
    /// Whether a packet of this kind may start a flow.
    pub fn can_open_flow(self) -> bool {
        matches!(self, Kind::Syn | Kind::Datagram)
    }
}

/// A parsed packet.
#[derive(Clone, Copy, Debug)]
pub struct Packet<'a> {
    /// The flow that the packet belongs to.
    pub flow: Flow,
    /// What the packet means for the flow.
    pub kind: Kind,
    /// The whole IP packet.
    pub bytes: &'a [u8],
}

/// Why a packet can't be handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Error {
    /// Not a well-formed IP packet.
    Malformed,
    /// A fragment: only the first fragment carries ports, so its flow is unknown.
    Fragment,
    /// Neither TCP nor UDP nor an ICMP error that quotes one of them.
    Protocol,
}

impl std::error::Error for Error {}

/// Parses an IP packet.
pub fn parse(bytes: &[u8]) -> Result<Packet<'_>, Error> {
    match parse_ipv4(bytes) {
        Some(packet) => Ok(packet),
        None => parse_any(bytes),
    }
}

/// Parses TCP and UDP over IPv4, which is most of the traffic, without visiting the layers that
/// [`parse_any`] looks for. Everything else is left to that function.
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

/// The flow of an ICMP error: the quoted packet was sent by the service, so its flow is reversed.
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

/// Only 8 bytes of the quoted transport header are guaranteed, so ports are read directly.
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

const REPLY_HOP_LIMIT: u8 = 64;
/// ICMP errors over IPv4 quote at most this much, so that they stay below 576 bytes (RFC 1812).
const QUOTE_MAX_BYTES: usize = 528;

/// The packet that tells the caller that its flow was refused and nothing of it was run.
///
/// TCP: a reset that answers the SYN. UDP: ICMP destination unreachable, administratively
/// prohibited. Returns `None` for kinds that get no refusal.
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
    // RFC 9293, 3.10.7.1: the reset's sequence comes from the segment's ACK if it has one.
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

/// The ICMP error that tells the caller the largest packet that fits.
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

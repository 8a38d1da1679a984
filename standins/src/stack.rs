//! TCP and UDP endpoints based on smoltcp.
//!
//! Each TCP connection has its own interface. smoltcp searches all sockets of an interface for
//! every packet, which is too slow with thousands of connections; callers and servers look up the
//! connection of a flow in a hash map instead.

use std::collections::VecDeque;
use std::net::{IpAddr, SocketAddr};
use std::sync::LazyLock;
use std::time::{Duration, Instant};

use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::phy::{Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::socket::{tcp, udp};
use smoltcp::time::Instant as Timestamp;
use smoltcp::wire::{HardwareAddress, IpAddress, IpCidr, IpEndpoint};

/// MTU of the interfaces: the maximum size of an IP packet.
pub(crate) const MTU_BYTES: usize = 1400;

static EPOCH: LazyLock<Instant> = LazyLock::new(Instant::now);

fn timestamp(now: Instant) -> Timestamp {
    let elapsed = now.saturating_duration_since(*EPOCH);
    // smoltcp treats timestamp 0 as unset in some places, so timestamps start at one second.
    Timestamp::from_micros(elapsed.as_micros() as i64 + 1_000_000)
}

fn instant(at: Timestamp) -> Instant {
    *EPOCH + Duration::from_micros((at.total_micros() - 1_000_000).max(0) as u64)
}

/// smoltcp device that queues received packets until the next poll, and packets to send.
#[derive(Default)]
struct PacketQueue {
    received: VecDeque<Vec<u8>>,
    sent: Vec<Vec<u8>>,
}

struct ReceivedPacket(Vec<u8>);

impl RxToken for ReceivedPacket {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, f: F) -> R {
        f(&self.0)
    }
}

struct SendQueue<'a>(&'a mut Vec<Vec<u8>>);

impl TxToken for SendQueue<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, length: usize, f: F) -> R {
        let mut packet = vec![0; length];
        let result = f(&mut packet);
        self.0.push(packet);
        result
    }
}

impl Device for PacketQueue {
    type RxToken<'a> = ReceivedPacket;
    type TxToken<'a> = SendQueue<'a>;

    fn receive(&mut self, _: Timestamp) -> Option<(ReceivedPacket, SendQueue<'_>)> {
        let packet = self.received.pop_front()?;
        Some((ReceivedPacket(packet), SendQueue(&mut self.sent)))
    }

    fn transmit(&mut self, _: Timestamp) -> Option<SendQueue<'_>> {
        Some(SendQueue(&mut self.sent))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = MTU_BYTES;
        capabilities
    }
}

fn interface(ip: IpAddr, seed: u64, queue: &mut PacketQueue, now: Instant) -> Interface {
    let mut config = Config::new(HardwareAddress::Ip);
    config.random_seed = seed;
    let mut interface = Interface::new(config, queue, timestamp(now));
    interface.update_ip_addrs(|addresses| {
        let length = if ip.is_ipv4() { 32 } else { 128 };
        let _ = addresses.push(IpCidr::new(IpAddress::from(ip), length));
    });
    // smoltcp sends nothing without a route. The gateway address is not used on an IP medium.
    let routes = interface.routes_mut();
    let _ = match ip {
        IpAddr::V4(ip) => routes.add_default_ipv4_route(ip),
        IpAddr::V6(ip) => routes.add_default_ipv6_route(ip),
    };
    interface
}

/// Socket buffer sizes of a TCP connection.
///
/// The receive buffer must be larger than the peer's send buffer, so that the receive window never
/// closes: smoltcp has no zero-window probe, so a transfer would stall forever on a closed window.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Buffers {
    pub(crate) receive_bytes: usize,
    pub(crate) send_bytes: usize,
}

/// Buffer sizes of a caller's connections.
pub(crate) const CALLER_BUFFERS: Buffers = Buffers {
    receive_bytes: 32_768,
    send_bytes: 4096,
};

/// Buffer sizes of a server's connections.
pub(crate) const SERVER_BUFFERS: Buffers = Buffers {
    receive_bytes: 8192,
    send_bytes: 16_384,
};

/// One TCP connection with its own interface.
pub(crate) struct Connection {
    queue: PacketQueue,
    interface: Interface,
    sockets: SocketSet<'static>,
    handle: SocketHandle,
}

impl Connection {
    fn new(ip: IpAddr, buffers: Buffers, seed: u64, now: Instant) -> Self {
        let mut queue = PacketQueue::default();
        let interface = interface(ip, seed, &mut queue, now);
        let mut socket = tcp::Socket::new(
            tcp::SocketBuffer::new(vec![0; buffers.receive_bytes]),
            tcp::SocketBuffer::new(vec![0; buffers.send_bytes]),
        );
        socket.set_nagle_enabled(false);
        let mut sockets = SocketSet::new(Vec::with_capacity(1));
        let handle = sockets.add(socket);
        Self {
            queue,
            interface,
            sockets,
            handle,
        }
    }

    /// Creates a connection that listens for the SYN of a caller. `seed` determines its initial
    /// sequence number.
    pub(crate) fn listen(local: SocketAddr, buffers: Buffers, seed: u64, now: Instant) -> Self {
        let mut connection = Self::new(local.ip(), buffers, seed, now);
        connection
            .socket()
            .listen(IpEndpoint::from(local))
            .expect("a new socket with a port can listen");
        connection
    }

    /// Creates a connection that sends a SYN at the next poll.
    pub(crate) fn connect(
        local: SocketAddr,
        remote: SocketAddr,
        buffers: Buffers,
        seed: u64,
        now: Instant,
    ) -> Self {
        let mut connection = Self::new(local.ip(), buffers, seed, now);
        let context = connection.interface.context();
        connection
            .sockets
            .get_mut::<tcp::Socket>(connection.handle)
            .connect(context, IpEndpoint::from(remote), IpEndpoint::from(local))
            .expect("a new socket with a port can connect");
        connection
    }

    pub(crate) fn socket(&mut self) -> &mut tcp::Socket<'static> {
        self.sockets.get_mut(self.handle)
    }

    /// Queues a packet for the next poll.
    pub(crate) fn receive(&mut self, packet: Vec<u8>) {
        self.queue.received.push_back(packet);
    }

    /// Processes queued packets and expired timers; appends the packets to send to `out`.
    pub(crate) fn poll(&mut self, now: Instant, out: &mut Vec<Vec<u8>>) {
        self.interface
            .poll(timestamp(now), &mut self.queue, &mut self.sockets);
        out.append(&mut self.queue.sent);
    }

    /// Returns when the next poll is due, at the earliest `now`; `None` if no timer is set.
    pub(crate) fn poll_at(&mut self, now: Instant) -> Option<Instant> {
        self.interface
            .poll_at(timestamp(now), &self.sockets)
            .map(|at| instant(at).max(now))
    }
}

/// The UDP sockets of one IP address. It also answers packets that belong to no socket or
/// connection, with a TCP reset or ICMP port unreachable.
pub(crate) struct Host {
    queue: PacketQueue,
    interface: Interface,
    sockets: SocketSet<'static>,
}

impl Host {
    pub(crate) fn new(ip: IpAddr, seed: u64, now: Instant) -> Self {
        let mut queue = PacketQueue::default();
        let interface = interface(ip, seed, &mut queue, now);
        Self {
            queue,
            interface,
            sockets: SocketSet::new(Vec::new()),
        }
    }

    /// Opens a UDP socket that can queue `datagrams` datagrams in each direction between two polls.
    pub(crate) fn bind(&mut self, local: SocketAddr, datagrams: usize) -> SocketHandle {
        let buffer = || {
            udp::PacketBuffer::new(
                vec![udp::PacketMetadata::EMPTY; datagrams],
                vec![0; datagrams * MTU_BYTES],
            )
        };
        let mut socket = udp::Socket::new(buffer(), buffer());
        socket
            .bind(IpEndpoint::from(local))
            .expect("a new socket with a port can be bound");
        self.sockets.add(socket)
    }

    /// Queues a packet for the next poll.
    pub(crate) fn receive(&mut self, packet: Vec<u8>) {
        self.queue.received.push_back(packet);
    }

    /// Processes queued packets; appends the packets to send to `out`.
    pub(crate) fn poll(&mut self, now: Instant, out: &mut Vec<Vec<u8>>) {
        self.interface
            .poll(timestamp(now), &mut self.queue, &mut self.sockets);
        out.append(&mut self.queue.sent);
    }

    /// Removes the next datagram that a socket received, and returns it with its source address.
    pub(crate) fn take(&mut self, handle: SocketHandle) -> Option<(SocketAddr, Vec<u8>)> {
        let socket = self.sockets.get_mut::<udp::Socket>(handle);
        let (bytes, meta) = socket.recv().ok()?;
        let from = SocketAddr::new(meta.endpoint.addr.into(), meta.endpoint.port);
        Some((from, bytes.to_vec()))
    }

    /// Queues a datagram for the next poll; false if the socket does not accept it, for example
    /// because its queue is full.
    pub(crate) fn send(&mut self, handle: SocketHandle, to: SocketAddr, bytes: &[u8]) -> bool {
        let socket = self.sockets.get_mut::<udp::Socket>(handle);
        socket.send_slice(bytes, IpEndpoint::from(to)).is_ok()
    }
}

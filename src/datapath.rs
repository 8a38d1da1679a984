//! Packet threads of a balancer, which forward packets from the fabric to the agents in batches.

use std::io::{self, IoSlice, IoSliceMut};
use std::net::{SocketAddr, UdpSocket};
use std::ops::Range;
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, RwLock};
use std::time::Duration;

use nix::errno::Errno;
use nix::sys::socket::{recvmmsg, sendmmsg, MsgFlags, MultiHeaders, SockaddrStorage};
use socket2::{Domain, Protocol, Socket, Type};
use strum::{EnumCount, IntoEnumIterator};

use crate::encap::{self, Key, HEADER_MAX_BYTES};
use crate::packet::{self, Flow, Kind, Packet};
use crate::routing::{DropReason, Route, Table};

/// Maximum number of datagrams per system call.
const BATCH: usize = 64;
/// Size of a receive buffer. A datagram from the fabric fits into an Ethernet frame.
const DATAGRAM_MAX_BYTES: usize = 2048;
const BUFFER_BYTES: usize = HEADER_MAX_BYTES + DATAGRAM_MAX_BYTES;
/// Maximum time that a thread waits for packets before it checks whether to stop.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(100);
/// Size of the socket's receive buffer, which holds bursts that arrive while a thread handles a
/// batch.
const RECEIVE_BUFFER_BYTES: usize = 4 << 20;

/// Counters of all packet threads of a process since its start.
#[derive(Debug, Default)]
pub struct Counters {
    /// Packets forwarded to an agent.
    pub forwarded: AtomicU64,
    /// Datagrams that couldn't be parsed, see [`packet::Error`].
    pub malformed: AtomicU64,
    /// Packets whose sending failed, including ICMP errors to callers.
    pub send_errors: AtomicU64,
    dropped: [AtomicU64; DropReason::COUNT],
}

impl Counters {
    /// Returns the number of packets dropped for a reason.
    pub fn dropped(&self, reason: DropReason) -> u64 {
        self.dropped[reason as usize].load(Ordering::Relaxed)
    }

    /// Returns all drop reasons with the numbers of dropped packets.
    pub fn drops(&self) -> impl Iterator<Item = (DropReason, u64)> + '_ {
        DropReason::iter().map(|reason| (reason, self.dropped(reason)))
    }

    fn drop(&self, reason: DropReason) {
        self.dropped[reason as usize].fetch_add(1, Ordering::Relaxed);
    }
}

/// State that the packet threads share with the control plane.
#[derive(Debug, Default)]
pub struct Shared {
    /// Counters, which the packet threads update and the metrics read.
    pub counters: Counters,
    table: RwLock<Arc<Table>>,
    /// Increased after each change of `table`, so that threads lock it only after a change.
    version: AtomicU64,
    stop: AtomicBool,
}

impl Shared {
    /// Replaces the routing table. Threads use it from their next batch on.
    pub fn publish(&self, table: Arc<Table>) {
        *self
            .table
            .write()
            .unwrap_or_else(|poisoned| poisoned.into_inner()) = table;
        self.version.fetch_add(1, Ordering::Release);
    }

    /// Tells the threads to stop, which they do within about 100 ms.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    fn table(&self) -> Arc<Table> {
        self.table
            .read()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
            .clone()
    }
}

/// Opens a UDP socket for a packet thread. The sockets of all threads share one port
/// (SO_REUSEPORT).
pub fn bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::DGRAM,
        Some(Protocol::UDP),
    )?;
    socket.set_reuse_port(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_read_timeout(Some(RECEIVE_TIMEOUT))?;
    socket.bind(&address.into())?;
    Ok(socket.into())
}

/// State of one packet thread.
pub struct Worker {
    socket: UdpSocket,
    shared: Arc<Shared>,
    key: Key,
    buffers: Vec<Buffer>,
    receive: MultiHeaders<SockaddrStorage>,
    send: MultiHeaders<SockaddrStorage>,
}

/// Space for the encapsulation header, followed by the received packet.
type Buffer = [u8; BUFFER_BYTES];

/// Packet of the current batch to be sent to an agent.
struct Outgoing {
    /// Index of the receive buffer.
    buffer: usize,
    /// Position of header and packet in the buffer.
    range: Range<usize>,
    to: SocketAddr,
}

impl Worker {
    /// Creates the state of a thread. Open `socket` with [`bind`].
    pub fn new(socket: UdpSocket, shared: Arc<Shared>, key: Key) -> Self {
        Self {
            socket,
            shared,
            key,
            buffers: vec![[0; BUFFER_BYTES]; BATCH],
            receive: MultiHeaders::preallocate(BATCH, None),
            send: MultiHeaders::preallocate(BATCH, None),
        }
    }

    /// Forwards packets until [`Shared::stop`] is called.
    pub fn run(mut self) {
        let mut version = self.shared.version.load(Ordering::Acquire);
        let mut table = self.shared.table();
        let mut outgoing = Vec::with_capacity(BATCH);
        let mut received = Vec::with_capacity(BATCH);
        while !self.shared.stop.load(Ordering::Relaxed) {
            if !self.receive(&mut received) {
                continue;
            }
            let latest = self.shared.version.load(Ordering::Acquire);
            if latest != version {
                version = latest;
                table = self.shared.table();
            }
            outgoing.clear();
            for (buffer, (length, from)) in received.iter().enumerate() {
                let end = HEADER_MAX_BYTES + *length;
                let bytes = &self.buffers[buffer][HEADER_MAX_BYTES..end];
                let Some((to, header, flow)) = self.decide(&table, bytes, *from) else {
                    continue;
                };
                let Some(room) = self.buffers[buffer].first_chunk_mut() else {
                    continue;
                };
                let start = HEADER_MAX_BYTES - header.encode(self.key, &flow, room);
                outgoing.push(Outgoing {
                    buffer,
                    range: start..end,
                    to,
                });
            }
            self.send(&outgoing);
        }
    }

    /// Receives a batch: the length and the sender of the packet in each buffer. Returns `false` if
    /// the timeout expired or the call failed.
    fn receive(&mut self, received: &mut Vec<(usize, Option<SocketAddr>)>) -> bool {
        received.clear();
        let mut slices: Vec<[IoSliceMut<'_>; 1]> = self
            .buffers
            .iter_mut()
            .map(|buffer| [IoSliceMut::new(&mut buffer[HEADER_MAX_BYTES..])])
            .collect();
        let result = recvmmsg(
            self.socket.as_raw_fd(),
            &mut self.receive,
            slices.iter_mut(),
            MsgFlags::MSG_WAITFORONE,
            None,
        );
        let Ok(messages) = result else {
            return false;
        };
        received.extend(messages.map(|message| (message.bytes, message.address.and_then(to_std))));
        true
    }

    /// Routes a packet. Returns its destination, header and flow, or `None` if it is dropped.
    fn decide(
        &self,
        table: &Table,
        bytes: &[u8],
        from: Option<SocketAddr>,
    ) -> Option<(SocketAddr, encap::Header, Flow)> {
        let counters = &self.shared.counters;
        let Ok(packet) = packet::parse(bytes) else {
            counters.malformed.fetch_add(1, Ordering::Relaxed);
            return None;
        };
        match table.route(&packet) {
            Route::Forward { to, header } => {
                log_opening_packet(&packet, to, &header);
                Some((to, header, packet.flow))
            }
            Route::Drop(reason) => {
                counters.drop(reason);
                if reason == DropReason::TooBig {
                    self.reply_too_big(&packet, from);
                }
                None
            }
        }
    }

    fn reply_too_big(&self, packet: &Packet<'_>, from: Option<SocketAddr>) {
        let reply = packet::icmp_too_big(packet, crate::routing::INNER_MTU as u16);
        if let (Some(reply), Some(to)) = (reply, from) {
            if self.socket.send_to(&reply, to).is_err() {
                self.shared
                    .counters
                    .send_errors
                    .fetch_add(1, Ordering::Relaxed);
            }
        }
    }

    fn send(&mut self, outgoing: &[Outgoing]) {
        let slices: Vec<[IoSlice<'_>; 1]> = outgoing
            .iter()
            .map(|packet| {
                [IoSlice::new(
                    &self.buffers[packet.buffer][packet.range.clone()],
                )]
            })
            .collect();
        let addresses: Vec<Option<SockaddrStorage>> = outgoing
            .iter()
            .map(|packet| Some(packet.to.into()))
            .collect();
        let counters = &self.shared.counters;
        let mut done = 0;
        while done < slices.len() {
            let sent = sendmmsg(
                self.socket.as_raw_fd(),
                &mut self.send,
                slices[done..].iter(),
                &addresses[done..],
                [],
                MsgFlags::empty(),
            );
            match sent {
                Ok(messages) => {
                    let count = messages.count();
                    counters
                        .forwarded
                        .fetch_add(count as u64, Ordering::Relaxed);
                    done += count.max(1);
                }
                Err(Errno::EINTR) => {}
                Err(_) => {
                    // The error concerns only the first datagram, so the others are tried again.
                    counters.send_errors.fetch_add(1, Ordering::Relaxed);
                    done += 1;
                }
            }
        }
    }
}

/// Logs the routing of a packet that may start a flow. Datagrams are logged at debug level, because
/// here any datagram may be the first one of its flow.
fn log_opening_packet(packet: &Packet<'_>, to: SocketAddr, header: &encap::Header) {
    let level = match packet.kind {
        Kind::Syn => log::Level::Info,
        Kind::Datagram => log::Level::Debug,
        _ => return,
    };
    log::log!(
        level,
        "event=route flow={} service_tag={} chosen={to} reason=arbiter generation={}",
        packet.flow,
        header.service,
        header.generation,
    );
}

fn to_std(address: SockaddrStorage) -> Option<SocketAddr> {
    if let Some(v4) = address.as_sockaddr_in() {
        return Some(std::net::SocketAddrV4::from(*v4).into());
    }
    address
        .as_sockaddr_in6()
        .map(|v6| std::net::SocketAddrV6::from(*v6).into())
}

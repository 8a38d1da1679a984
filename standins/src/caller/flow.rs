//! State of one flow of a caller: a TCP connection, or a request over UDP.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Instant;

use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp;
use tokio::sync::oneshot;

use super::responses::{PollCounts, ResponseSender, ResponseTracker};
use super::{Failure, FlowId, Options, Outcome, Protocol};
use crate::protocol::Request;
use crate::stack::{Connection, Host};

/// The addresses that identify a flow in its packets. The local IP address is the caller's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Key {
    pub(super) protocol: Protocol,
    pub(super) local_port: u16,
    pub(super) remote: SocketAddr,
}

/// The endpoint of a flow in the user-space TCP/IP stack.
pub(super) enum Transport {
    Tcp {
        connection: Box<Connection>,
        /// Sends the result of the connect command; `None` once it is sent.
        reply: Option<oneshot::Sender<Result<(FlowId, SocketAddr), Failure>>>,
    },
    Udp {
        host: Box<Host>,
        socket: SocketHandle,
        /// The encoded request, kept for retransmission.
        datagram: Vec<u8>,
    },
}

/// State of a flow that has not ended.
pub(super) struct FlowState {
    pub(super) id: FlowId,
    pub(super) transport: Transport,
    pub(super) responses: ResponseTracker,
    /// TCP: bytes to send that do not fit into the socket's send buffer yet.
    pub(super) unsent: Vec<u8>,
    /// Whether the caller has closed the connection.
    pub(super) closing: bool,
    pub(super) options: Options,
    /// TCP: when data was last acknowledged or none was outstanding; at first, when the flow was
    /// opened. The timeout counts from here.
    last_progress: Instant,
    /// TCP: length of the socket's send queue at the end of the last poll.
    send_queue_bytes: usize,
    /// UDP: when the request is sent next; `None` if it is not sent again.
    pub(super) retransmit_at: Option<Instant>,
    /// When requests time out, with their ids.
    pub(super) deadlines: Vec<(Instant, String)>,
    /// Time of the flow's valid entry in the timer heap. Entries with other times are outdated.
    pub(super) next_timer: Option<Instant>,
}

/// How a flow has ended; `None` while it has not.
pub(super) type Termination = Option<(Outcome, Failure)>;

impl FlowState {
    /// Creates a flow that sends its first packet when it is polled.
    pub(super) fn new(id: FlowId, transport: Transport, options: Options, now: Instant) -> Self {
        Self {
            id,
            transport,
            responses: ResponseTracker::new(options.service.clone()),
            unsent: Vec::new(),
            closing: false,
            options,
            last_progress: now,
            send_queue_bytes: 0,
            retransmit_at: None,
            deadlines: Vec::new(),
            next_timer: None,
        }
    }

    /// Expects an answer with `size` body bytes until `deadline`. A repeated id gets the new
    /// deadline.
    pub(super) fn expect_response(
        &mut self,
        request: &Request,
        size: u64,
        deadline: Instant,
        reply: ResponseSender,
    ) {
        self.responses.track(&request.id, size, reply);
        self.deadlines.retain(|(_, id)| *id != request.id);
        self.deadlines.push((deadline, request.id.clone()));
    }

    /// Processes received packets and timers of a connection, and writes what it has to send.
    pub(super) fn poll_tcp(
        &mut self,
        now: Instant,
        counts: &mut PollCounts,
        packets_out: &mut Vec<Vec<u8>>,
    ) -> Termination {
        let Transport::Tcp { connection, .. } = &mut self.transport else {
            return None;
        };
        connection.poll(now, packets_out);
        let socket = connection.socket();
        let mut malformed = false;
        while socket.can_recv() {
            let responses = &mut self.responses;
            let _ = socket.recv(|bytes| {
                malformed |= responses.receive(bytes, counts).is_err();
                (bytes.len(), ())
            });
        }
        if malformed {
            counts.corrupt += 1;
        }
        if socket.can_send() && !self.unsent.is_empty() {
            let sent = socket.send_slice(&self.unsent).unwrap_or(0);
            self.unsent.drain(..sent);
        }
        let remote_closed = matches!(
            socket.state(),
            tcp::State::CloseWait | tcp::State::LastAck | tcp::State::Closing
        );
        if (self.closing || remote_closed) && self.unsent.is_empty() {
            socket.close();
        }
        connection.poll(now, packets_out);
        let socket = connection.socket();
        let send_queue_bytes = socket.send_queue();
        let opening = socket.state() == tcp::State::SynSent;
        let idle = send_queue_bytes == 0 || self.send_queue_bytes == 0;
        if idle && !opening || send_queue_bytes < self.send_queue_bytes {
            self.last_progress = now;
        }
        self.send_queue_bytes = send_queue_bytes;
        if now.duration_since(self.last_progress) >= self.options.timeout {
            return Some((Outcome::TimedOut, Failure::TimedOut));
        }
        match socket.state() {
            tcp::State::Closed | tcp::State::TimeWait if self.closing => {
                Some((Outcome::Closed, Failure::Closed))
            }
            tcp::State::Closed | tcp::State::TimeWait => Some((Outcome::Ended, Failure::Closed)),
            _ => None,
        }
    }

    /// Sends the request if it is due, and processes received answers.
    pub(super) fn poll_udp(
        &mut self,
        key: Key,
        now: Instant,
        counts: &mut PollCounts,
        packets_out: &mut Vec<Vec<u8>>,
    ) -> Termination {
        let Transport::Udp {
            host,
            socket,
            datagram,
        } = &mut self.transport
        else {
            return None;
        };
        if self.retransmit_at.is_some_and(|at| at <= now) {
            host.send(*socket, key.remote, datagram);
            self.retransmit_at = self.options.repeat.map(|interval| now + interval);
        }
        host.poll(now, packets_out);
        while let Some((_, datagram)) = host.take(*socket) {
            if self.responses.receive_datagram(&datagram, counts).is_err() {
                counts.corrupt += 1;
            }
        }
        match self.responses.has_pending() {
            true => None,
            false => Some((Outcome::Closed, Failure::Closed)),
        }
    }

    /// Queues an additional datagram, which is not retransmitted.
    pub(super) fn send_datagram(&mut self, remote: SocketAddr, bytes: &[u8]) {
        if let Transport::Udp { host, socket, .. } = &mut self.transport {
            host.send(*socket, remote, bytes);
        }
    }

    /// Fails the requests whose deadline has passed. This ends a UDP flow, but not a connection.
    pub(super) fn expire_requests(&mut self, now: Instant, counts: &mut PollCounts) -> Termination {
        let responses = &mut self.responses;
        self.deadlines.retain(|(at, id)| {
            if *at > now {
                return responses.is_pending(id);
            }
            counts.expired += u32::from(responses.expire(id));
            false
        });
        match self.transport {
            Transport::Udp { .. } if counts.expired > 0 => {
                Some((Outcome::TimedOut, Failure::TimedOut))
            }
            _ => None,
        }
    }

    /// Whether the connection has been established and the connect command has no result yet.
    pub(super) fn is_connect_reply_due(&mut self) -> bool {
        let Transport::Tcp { connection, reply } = &mut self.transport else {
            return false;
        };
        let opening = matches!(
            connection.socket().state(),
            tcp::State::SynSent | tcp::State::SynReceived | tcp::State::Closed
        );
        !opening && reply.is_some()
    }

    /// Sends the result of the connect command, unless it was sent before.
    pub(super) fn reply_to_connect(&mut self, result: Result<SocketAddr, Failure>) {
        if let Transport::Tcp { reply, .. } = &mut self.transport {
            if let Some(reply) = reply.take() {
                let _ = reply.send(result.map(|local| (self.id, local)));
            }
        }
    }

    /// Adds the time of the next poll to the timer heap, unless an earlier entry is there already.
    pub(super) fn schedule_timer(
        &mut self,
        key: Key,
        now: Instant,
        timers: &mut BinaryHeap<Reverse<(Instant, Key)>>,
    ) {
        let poll_at = match &mut self.transport {
            Transport::Tcp { connection, .. } => {
                let opening = connection.socket().state() == tcp::State::SynSent;
                let awaiting_ack = opening || self.send_queue_bytes > 0;
                let timeout = awaiting_ack.then(|| self.last_progress + self.options.timeout);
                [connection.poll_at(now), timeout]
                    .into_iter()
                    .flatten()
                    .min()
            }
            Transport::Udp { .. } => self.retransmit_at,
        };
        let deadline = self.deadlines.iter().map(|(at, _)| *at).min();
        let Some(at) = [poll_at, deadline].into_iter().flatten().min() else {
            return;
        };
        if self.next_timer.is_none_or(|scheduled| at < scheduled) {
            self.next_timer = Some(at);
            timers.push(Reverse((at, key)));
        }
    }
}

//! One flow of a caller: a connection, or a request over UDP.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::Instant;

use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp;
use tokio::sync::oneshot;

use super::responses::{ResponseSender, ResponseTracker, StepCounts};
use super::{Failure, Number, Options, Outcome, Protocol};
use crate::protocol::Request;
use crate::stack::{Connection, Host};

/// A flow as its packets show it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct Key {
    pub(super) protocol: Protocol,
    pub(super) port: u16,
    pub(super) remote: SocketAddr,
}

/// The endpoint of a flow.
pub(super) enum Transport {
    Tcp {
        connection: Box<Connection>,
        reply: Option<oneshot::Sender<Result<(Number, SocketAddr), Failure>>>,
    },
    Udp {
        host: Box<Host>,
        socket: SocketHandle,
        datagram: Vec<u8>,
    },
}

/// One flow of a caller.
pub(super) struct Flow {
    pub(super) number: Number,
    pub(super) transport: Transport,
    pub(super) responses: ResponseTracker,
    /// Bytes that do not fit into the socket yet.
    pub(super) output: Vec<u8>,
    pub(super) closing: bool,
    pub(super) options: Options,
    /// When data was last acknowledged, or there was none to acknowledge.
    progress: Instant,
    queued: usize,
    /// UDP: when the datagram is sent again.
    pub(super) repeat_at: Option<Instant>,
    /// When requests are given up.
    pub(super) deadlines: Vec<(Instant, String)>,
    pub(super) due: Option<Instant>,
}

/// How a flow has ended, if it has.
pub(super) type End = Option<(Outcome, Failure)>;

impl Flow {
    /// A flow whose first packet is sent at its first step.
    pub(super) fn new(
        number: Number,
        transport: Transport,
        options: Options,
        now: Instant,
    ) -> Self {
        Self {
            number,
            transport,
            responses: ResponseTracker::new(options.service.clone()),
            output: Vec::new(),
            closing: false,
            options,
            progress: now,
            queued: 0,
            repeat_at: None,
            deadlines: Vec::new(),
            due: None,
        }
    }

    /// Waits for the answer to a request until `deadline`.
    pub(super) fn expect(
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

    /// Handles what a connection received, and sends what it has to send.
    pub(super) fn step_tcp(
        &mut self,
        now: Instant,
        counts: &mut StepCounts,
        out: &mut Vec<Vec<u8>>,
    ) -> End {
        let Transport::Tcp { connection, .. } = &mut self.transport else {
            return None;
        };
        connection.poll(now, out);
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
        if socket.can_send() && !self.output.is_empty() {
            let sent = socket.send_slice(&self.output).unwrap_or(0);
            self.output.drain(..sent);
        }
        let remote_closed = matches!(
            socket.state(),
            tcp::State::CloseWait | tcp::State::LastAck | tcp::State::Closing
        );
        if (self.closing || remote_closed) && self.output.is_empty() {
            socket.close();
        }
        connection.poll(now, out);
        let socket = connection.socket();
        let queued = socket.send_queue();
        let opening = socket.state() == tcp::State::SynSent;
        let idle = queued == 0 || self.queued == 0;
        if idle && !opening || queued < self.queued {
            self.progress = now;
        }
        self.queued = queued;
        if now.duration_since(self.progress) >= self.options.timeout {
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

    /// Handles the answers to a datagram, and sends it when it is due.
    pub(super) fn step_udp(
        &mut self,
        key: Key,
        now: Instant,
        counts: &mut StepCounts,
        out: &mut Vec<Vec<u8>>,
    ) -> End {
        let Transport::Udp {
            host,
            socket,
            datagram,
        } = &mut self.transport
        else {
            return None;
        };
        if self.repeat_at.is_some_and(|at| at <= now) {
            host.send(*socket, key.remote, datagram);
            self.repeat_at = self.options.repeat.map(|interval| now + interval);
        }
        host.poll(now, out);
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

    /// Queues a datagram besides the request itself.
    pub(super) fn send_datagram(&mut self, remote: SocketAddr, bytes: &[u8]) {
        if let Transport::Udp { host, socket, .. } = &mut self.transport {
            host.send(*socket, remote, bytes);
        }
    }

    /// Gives up the requests whose time is over.
    pub(super) fn give_up(&mut self, now: Instant, counts: &mut StepCounts) -> End {
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

    /// Whether the connection is established and the one who opened it does not know yet.
    pub(super) fn is_newly_established(&mut self) -> bool {
        let Transport::Tcp { connection, reply } = &mut self.transport else {
            return false;
        };
        let opening = matches!(
            connection.socket().state(),
            tcp::State::SynSent | tcp::State::SynReceived | tcp::State::Closed
        );
        !opening && reply.is_some()
    }

    /// Tells the one who opened the connection how that went.
    pub(super) fn answer_open(&mut self, result: Result<SocketAddr, Failure>) {
        if let Transport::Tcp { reply, .. } = &mut self.transport {
            if let Some(reply) = reply.take() {
                let _ = reply.send(result.map(|local| (self.number, local)));
            }
        }
    }

    /// Enters the time of the next step into the timers.
    pub(super) fn schedule(
        &mut self,
        key: Key,
        now: Instant,
        timers: &mut BinaryHeap<Reverse<(Instant, Key)>>,
    ) {
        let poll = match &mut self.transport {
            Transport::Tcp { connection, .. } => {
                let opening = connection.socket().state() == tcp::State::SynSent;
                let stalled = opening || self.queued > 0;
                let timeout = stalled.then(|| self.progress + self.options.timeout);
                [connection.poll_at(now), timeout]
                    .into_iter()
                    .flatten()
                    .min()
            }
            Transport::Udp { .. } => self.repeat_at,
        };
        let deadline = self.deadlines.iter().map(|(at, _)| *at).min();
        let Some(due) = [poll, deadline].into_iter().flatten().min() else {
            return;
        };
        if self.due.is_none_or(|known| due < known) {
            self.due = Some(due);
            timers.push(Reverse((due, key)));
        }
    }
}

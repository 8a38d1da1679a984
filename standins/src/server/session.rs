//! One TCP connection of a backend server, with its requests, watches and answers.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smoltcp::socket::tcp;

use super::Config;
use crate::protocol::{self, Answer, Kind, Pattern, Request, Status};
use crate::segment;
use crate::stack::{self, Connection};

/// A watch is answered in this many parts.
const WATCH_PARTS: u64 = 10;
/// A connection that is neither established nor waiting for the server's FIN is dropped then.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(20);

/// A connection as its caller knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct FlowKey {
    pub(super) remote: SocketAddr,
    pub(super) local: SocketAddr,
}

/// An answer on its way into a socket.
struct PendingAnswer {
    frame: Vec<u8>,
    pattern: Pattern,
    offset: u64,
    remaining: u64,
}

struct Watch {
    request: Request,
    started_at: Instant,
    sent_parts: u64,
    ended: bool,
}

/// A connection and the application on it.
pub(super) struct Session {
    pub(super) serial: u64,
    pub(super) connection: Connection,
    input: Vec<u8>,
    output: VecDeque<PendingAnswer>,
    watches: Vec<Watch>,
    pub(super) pending_requests: usize,
    /// When the connection was last established or waiting for the server's FIN.
    last_open: Instant,
    /// Earliest timer of this session in the heap.
    pub(super) scheduled_at: Option<Instant>,
    /// Next sequence number and acknowledgement, as last sent.
    pub(super) last_sent_numbers: Option<(u32, u32)>,
}

impl Session {
    /// A session that waits for the SYN of its caller.
    pub(super) fn new(key: FlowKey, serial: u64, seed: u64, now: Instant) -> Self {
        Self {
            serial,
            connection: Connection::listen(key.local, stack::SERVER_BUFFERS, seed, now),
            input: Vec::new(),
            output: VecDeque::new(),
            watches: Vec::new(),
            pending_requests: 0,
            last_open: now,
            scheduled_at: None,
            last_sent_numbers: None,
        }
    }

    /// When the session needs a step without a packet.
    pub(super) fn next_timer_at(&mut self, now: Instant) -> Option<Instant> {
        let watch = self.watches.iter().map(Watch::due_at).min();
        let poll = self.connection.poll_at(now);
        let handshake_timeout = (!self.is_open()).then(|| self.last_open + HANDSHAKE_TIMEOUT);
        [watch, poll, handshake_timeout].into_iter().flatten().min()
    }

    /// The answer to a SYN in an established connection (RFC 5961, 4.2). smoltcp sends none, and
    /// a caller that has forgotten its connection could not use the port again.
    pub(super) fn challenge_ack(&self, key: FlowKey) -> Option<Vec<u8>> {
        let (sequence, acknowledged) = self.last_sent_numbers?;
        segment::acknowledgement(key.local, key.remote, sequence, acknowledged)
    }

    /// Takes the complete requests that have arrived; the flag tells that other bytes came.
    pub(super) fn read_requests(&mut self) -> (Vec<Request>, bool) {
        let socket = self.connection.socket();
        while socket.can_recv() {
            let _ = socket.recv(|bytes| {
                self.input.extend_from_slice(bytes);
                (bytes.len(), ())
            });
        }
        let mut requests = Vec::new();
        loop {
            match protocol::take_frame(&mut self.input) {
                Ok(Some(request)) => requests.push(request),
                Ok(None) => return (requests, false),
                Err(_) => return (requests, true),
            }
        }
    }

    /// Handles a watch or its cancellation; returns false if the request is something else.
    pub(super) fn handle_watch(
        &mut self,
        request: &Request,
        config: &Config,
        now: Instant,
    ) -> bool {
        if request.cancel {
            let count = self.watches.len();
            self.watches.retain(|watch| watch.request.id != request.id);
            if self.watches.len() == count {
                return false;
            }
            self.queue_answer(&new_answer(config, &request.id, Status::Cancelled, 0));
            return true;
        }
        if request.kind != Kind::Watch {
            return false;
        }
        let known = |watch: &Watch| watch.request.id == request.id;
        if !self.watches.iter().any(known) {
            self.watches.push(Watch {
                request: request.clone(),
                started_at: now,
                sent_parts: 0,
                ended: false,
            });
        }
        true
    }

    /// Queues the parts of watches that are due.
    pub(super) fn advance_watches(&mut self, config: &Config, now: Instant) {
        let mut answers = Vec::new();
        for watch in &mut self.watches {
            while !watch.ended && watch.due_at() <= now {
                answers.push(watch.next_answer(config));
            }
        }
        self.watches.retain(|watch| !watch.ended);
        for answer in &answers {
            self.queue_answer(answer);
        }
    }

    pub(super) fn queue_answer(&mut self, answer: &Answer) {
        self.output.push_back(PendingAnswer {
            frame: protocol::frame(answer),
            pattern: Pattern::new(&answer.id),
            offset: answer.offset,
            remaining: answer.bytes,
        });
    }

    /// Moves queued answers into the socket, and closes it when the caller has and all is sent.
    pub(super) fn write_answers(&mut self) {
        let socket = self.connection.socket();
        while socket.can_send() {
            let Some(pending) = self.output.front_mut() else {
                break;
            };
            let _ = socket.send(|buffer| (pending.fill(buffer), ()));
            if pending.frame.is_empty() && pending.remaining == 0 {
                self.output.pop_front();
            }
        }
        let is_done =
            self.output.is_empty() && self.watches.is_empty() && self.pending_requests == 0;
        if socket.state() == tcp::State::CloseWait && is_done {
            socket.close();
        }
    }

    fn is_open(&mut self) -> bool {
        matches!(
            self.connection.socket().state(),
            tcp::State::Established | tcp::State::CloseWait
        )
    }

    /// Whether the connection has ended, or will never be established.
    pub(super) fn is_finished(&mut self, now: Instant) -> bool {
        if self.is_open() {
            self.last_open = now;
        }
        self.connection.socket().state() == tcp::State::Closed
            || now.duration_since(self.last_open) >= HANDSHAKE_TIMEOUT
    }
}

impl PendingAnswer {
    /// Writes as much as fits; returns how much that is.
    fn fill(&mut self, buffer: &mut [u8]) -> usize {
        if !self.frame.is_empty() {
            let length = self.frame.len().min(buffer.len());
            buffer[..length].copy_from_slice(&self.frame[..length]);
            self.frame.drain(..length);
            return length;
        }
        let length = self.remaining.min(buffer.len() as u64) as usize;
        self.pattern.fill(self.offset, &mut buffer[..length]);
        self.offset += length as u64;
        self.remaining -= length as u64;
        length
    }
}

impl Watch {
    /// When the next part is due, or the deadline passes. The last part is due when the watch ends.
    fn due_at(&self) -> Instant {
        let next = self.next_part_at();
        self.deadline().map_or(next, |deadline| deadline.min(next))
    }

    fn next_part_at(&self) -> Instant {
        let total = Duration::from_millis(self.request.work_ms);
        self.started_at + total.mul_f64((self.sent_parts + 1) as f64 / WATCH_PARTS as f64)
    }

    fn deadline(&self) -> Option<Instant> {
        let deadline = Duration::from_millis(self.request.deadline_ms);
        (!deadline.is_zero()).then(|| self.started_at + deadline)
    }

    fn next_answer(&mut self, config: &Config) -> Answer {
        let next = self.next_part_at();
        if self.deadline().is_some_and(|deadline| deadline < next) {
            self.ended = true;
            return new_answer(config, &self.request.id, Status::Expired, 0);
        }
        let start = self.request.size * self.sent_parts / WATCH_PARTS;
        self.sent_parts += 1;
        self.ended = self.sent_parts == WATCH_PARTS;
        let end = self.request.size * self.sent_parts / WATCH_PARTS;
        Answer {
            offset: start,
            more: !self.ended,
            ..new_answer(config, &self.request.id, Status::Done, end - start)
        }
    }
}

pub(super) fn new_answer(config: &Config, id: &str, status: Status, bytes: u64) -> Answer {
    Answer {
        id: id.to_owned(),
        status,
        server: config.name.clone(),
        service: config.service.clone(),
        bytes,
        offset: 0,
        more: false,
    }
}

//! A TCP connection of a backend server with its watches and queued answers.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use smoltcp::socket::tcp;

use super::Config;
use crate::protocol::{self, Answer, Kind, Pattern, Request, Status};
use crate::segment;
use crate::stack::{self, Connection};

/// Number of answers to a watch, at equal intervals over its `work_ms`.
const WATCH_PARTS: u64 = 10;
/// Limit on the time that a connection spends in the opening or closing handshake: in any TCP state
/// other than ESTABLISHED and CLOSE-WAIT. A connection that exceeds it is dropped.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(20);

/// Addresses of a TCP or UDP flow. Remote is the caller's address, local the service's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct FlowKey {
    pub(super) remote: SocketAddr,
    pub(super) local: SocketAddr,
}

/// Unsent rest of an answer.
struct PendingAnswer {
    frame: Vec<u8>,
    pattern: Pattern,
    offset: u64,
    remaining: u64,
}

/// A watch that has not ended.
struct Watch {
    request: Request,
    started_at: Instant,
    sent_parts: u64,
    ended: bool,
}

/// A TCP connection and the application state on it.
pub(super) struct Session {
    /// Distinguishes the session from earlier ones between the same addresses.
    pub(super) serial: u64,
    pub(super) connection: Connection,
    /// Received bytes that are not a complete request yet.
    input: Vec<u8>,
    output: VecDeque<PendingAnswer>,
    watches: Vec<Watch>,
    /// Requests and cancellations without an answer, except those of watches. While there are any,
    /// the session does not answer the caller's FIN with its own.
    pub(super) pending_requests: usize,
    /// When the connection was last seen in the state ESTABLISHED or CLOSE-WAIT; at first the
    /// creation of the session.
    last_open: Instant,
    /// Earliest timer of this session in the worker's heap.
    pub(super) scheduled_at: Option<Instant>,
    /// Sequence number after the last segment sent, and its acknowledgement number.
    pub(super) last_sent_numbers: Option<(u32, u32)>,
}

impl Session {
    /// Creates a session that waits for the SYN of its caller.
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

    /// Time at which the session has to be polled even if no packet arrives.
    pub(super) fn next_timer_at(&mut self, now: Instant) -> Option<Instant> {
        let watch = self.watches.iter().map(Watch::due_at).min();
        let poll = self.connection.poll_at(now);
        let handshake_timeout = (!self.is_open()).then(|| self.last_open + HANDSHAKE_TIMEOUT);
        [watch, poll, handshake_timeout].into_iter().flatten().min()
    }

    /// Builds the challenge ACK to a SYN in a synchronised connection (RFC 5961, section 4.2).
    /// smoltcp sends none. Without it, a caller that has lost the state of its connection could not
    /// use the port again. `None` if nothing has been sent yet.
    pub(super) fn challenge_ack(&self, key: FlowKey) -> Option<Vec<u8>> {
        let (sequence, acknowledged) = self.last_sent_numbers?;
        segment::acknowledgement(key.local, key.remote, sequence, acknowledged)
    }

    /// Takes the complete requests that have been received. The flag is set if a malformed message
    /// follows them.
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

    /// Starts or cancels a watch. Returns false if the request is neither a watch nor the
    /// cancellation of one that is active in this session.
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

    /// Queues the answers to watches that are due and removes the watches that have ended.
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

    /// Writes queued answers to the socket. Closes it if the caller has closed its side and no
    /// answer, watch or pending request is left.
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

    /// Whether the connection is closed or has exceeded [`HANDSHAKE_TIMEOUT`].
    pub(super) fn is_finished(&mut self, now: Instant) -> bool {
        if self.is_open() {
            self.last_open = now;
        }
        self.connection.socket().state() == tcp::State::Closed
            || now.duration_since(self.last_open) >= HANDSHAKE_TIMEOUT
    }
}

impl PendingAnswer {
    /// Writes the next bytes of either the frame or the pattern and returns their number.
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
    /// Time of the next part or of the deadline, whichever is earlier.
    fn due_at(&self) -> Instant {
        let next = self.next_part_at();
        self.deadline().map_or(next, |deadline| deadline.min(next))
    }

    /// Time of the next part. The last part is due when `work_ms` have passed.
    fn next_part_at(&self) -> Instant {
        let total = Duration::from_millis(self.request.work_ms);
        self.started_at + total.mul_f64((self.sent_parts + 1) as f64 / WATCH_PARTS as f64)
    }

    fn deadline(&self) -> Option<Instant> {
        let deadline = Duration::from_millis(self.request.deadline_ms);
        (!deadline.is_zero()).then(|| self.started_at + deadline)
    }

    /// Takes the next part, or ends the watch as expired if its deadline is before that part.
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

/// Creates an answer that is complete in itself and starts at offset 0 of the pattern.
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

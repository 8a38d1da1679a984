//! Parses the answers to a flow's requests and checks them as they arrive.

use std::collections::{HashMap, HashSet};

use tokio::sync::oneshot;

use super::{Failure, Response};
use crate::protocol::{self, Answer, Malformed, Pattern, Status};

/// Sends the result of a request to the task that waits for it.
pub(super) type ResponseSender = oneshot::Sender<Result<Response, Failure>>;

/// A request whose answer is not complete.
struct PendingRequest {
    /// Expected size of all bodies together, in bytes.
    size: u64,
    /// Bytes received in bodies so far.
    received: u64,
    /// Whether all bytes so far match the pattern and follow each other without gaps.
    correct: bool,
    /// How often the request has timed out, including earlier requests with the same id.
    timeouts: u32,
    /// `None` after a timeout. The request stays, so that a late answer is recognised.
    reply: Option<ResponseSender>,
}

/// Counts of one poll of a flow, which are added to the flow's record after the poll.
#[derive(Debug, Default)]
pub(super) struct PollCounts {
    pub(super) answers: u32,
    pub(super) corrupt: u32,
    pub(super) foreign: u32,
    pub(super) misdelivered: u32,
    /// Earlier timeouts of requests that were answered in this poll.
    pub(super) late: u32,
    /// Requests that timed out in this poll.
    pub(super) expired: u32,
    pub(super) bytes: u64,
}

/// Matches received data to the pending requests of one flow.
#[derive(Default)]
pub(super) struct ResponseTracker {
    /// Received bytes that are not processed yet.
    buffer: Vec<u8>,
    /// The answer whose body is being received, and how many bytes of it are missing.
    partial_body: Option<(Answer, u64)>,
    /// Requests without a complete answer, by id.
    pending: HashMap<String, PendingRequest>,
    /// Ids of all requests so far, to detect answers of another flow.
    request_ids: HashSet<String>,
    /// Service that the answers are expected from; `None` for no check.
    expected_service: Option<String>,
    /// Results that are not delivered yet. The flow's record is updated before the delivery, so
    /// that a task that gets a result finds it in the record.
    results: Vec<(ResponseSender, Result<Response, Failure>)>,
}

impl ResponseTracker {
    pub(super) fn new(expected_service: Option<String>) -> Self {
        Self {
            expected_service,
            ..Self::default()
        }
    }

    /// Adds a request. A pending request with the same id is replaced: its sender is dropped, so
    /// its task gets [`Failure::Stopped`].
    pub(super) fn track(&mut self, id: &str, size: u64, reply: ResponseSender) {
        self.request_ids.insert(id.to_owned());
        let previous = self.pending.remove(id);
        let pending = PendingRequest {
            size,
            received: 0,
            correct: true,
            timeouts: previous.map_or(0, |pending| pending.timeouts),
            reply: Some(reply),
        };
        self.pending.insert(id.to_owned(), pending);
    }

    /// Fails a request with a timeout; returns whether a task was still waiting for its answer.
    pub(super) fn expire(&mut self, id: &str) -> bool {
        let Some(pending) = self.pending.get_mut(id) else {
            return false;
        };
        let Some(reply) = pending.reply.take() else {
            return false;
        };
        pending.timeouts += 1;
        self.results.push((reply, Err(Failure::TimedOut)));
        true
    }

    /// Fails all requests that a task waits for; returns how many there were.
    pub(super) fn fail_all(&mut self, failure: Failure) -> u32 {
        let mut count = 0;
        for (_, pending) in self.pending.drain() {
            if let Some(reply) = pending.reply {
                count += 1;
                self.results.push((reply, Err(failure)));
            }
        }
        count
    }

    /// Sends the results to the waiting tasks.
    pub(super) fn deliver_results(&mut self) {
        for (reply, result) in self.results.drain(..) {
            // Fails if the waiting task was cancelled, which is no error.
            let _ = reply.send(result);
        }
    }

    /// Whether a task waits for any answer.
    pub(super) fn has_pending(&self) -> bool {
        self.pending.values().any(|pending| pending.reply.is_some())
    }

    /// Whether a task waits for the answer to this request.
    pub(super) fn is_pending(&self, id: &str) -> bool {
        let pending = self.pending.get(id);
        pending.is_some_and(|pending| pending.reply.is_some())
    }

    /// Processes bytes of a TCP stream. After an error the malformed bytes stay in the buffer, and
    /// the stream can't be parsed any further.
    pub(super) fn receive(
        &mut self,
        bytes: &[u8],
        counts: &mut PollCounts,
    ) -> Result<(), Malformed> {
        self.buffer.extend_from_slice(bytes);
        loop {
            if let Some((answer, remaining)) = self.partial_body.take() {
                let length = remaining.min(self.buffer.len() as u64) as usize;
                let offset = answer.offset + answer.bytes - remaining;
                self.check_body(&answer, offset, length, counts);
                self.buffer.drain(..length);
                let remaining = remaining - length as u64;
                if remaining > 0 {
                    self.partial_body = Some((answer, remaining));
                    return Ok(());
                }
                self.complete(&answer, counts);
            }
            match protocol::take_frame::<Answer>(&mut self.buffer)? {
                Some(answer) => {
                    self.check_header(&answer, counts);
                    let remaining = answer.bytes;
                    self.partial_body = Some((answer, remaining));
                }
                None => return Ok(()),
            }
        }
    }

    /// Processes a datagram, which contains one answer or one part of it.
    pub(super) fn receive_datagram(
        &mut self,
        datagram: &[u8],
        counts: &mut PollCounts,
    ) -> Result<(), Malformed> {
        let (answer, body) = protocol::parse_datagram::<Answer>(datagram)?;
        self.check_header(&answer, counts);
        self.buffer = body.to_vec();
        self.check_body(&answer, answer.offset, body.len(), counts);
        self.buffer.clear();
        self.complete(&answer, counts);
        Ok(())
    }

    /// Checks request id, service and offset of an answer before its body is processed.
    fn check_header(&mut self, answer: &Answer, counts: &mut PollCounts) {
        if !self.request_ids.contains(&answer.id) {
            counts.foreign += 1;
        }
        let expected = self.expected_service.as_ref();
        if expected.is_some_and(|service| *service != answer.service) {
            counts.misdelivered += 1;
        }
        if let Some(pending) = self.pending.get_mut(&answer.id) {
            pending.correct &= answer.offset == pending.received;
        }
    }

    /// Compares the first `length` bytes of the buffer with the request's pattern at `offset`.
    fn check_body(&mut self, answer: &Answer, offset: u64, length: usize, counts: &mut PollCounts) {
        counts.bytes += length as u64;
        let Some(pending) = self.pending.get_mut(&answer.id) else {
            return;
        };
        let matches = Pattern::new(&answer.id).matches(offset, &self.buffer[..length]);
        pending.correct &= matches;
        pending.received += length as u64;
    }

    /// Ends the request if this was the last part of its answer.
    fn complete(&mut self, answer: &Answer, counts: &mut PollCounts) {
        if answer.more {
            return;
        }
        let Some(pending) = self.pending.remove(&answer.id) else {
            return;
        };
        let full_length = answer.status != Status::Done || pending.received == pending.size;
        let correct = pending.correct && full_length;
        match correct {
            true => counts.answers += 1,
            false => counts.corrupt += 1,
        }
        counts.late += pending.timeouts;
        let response = Response {
            status: answer.status,
            server: answer.server.clone(),
            service: answer.service.clone(),
            bytes: pending.received,
            correct,
        };
        if let Some(reply) = pending.reply {
            self.results.push((reply, Ok(response)));
        }
    }
}

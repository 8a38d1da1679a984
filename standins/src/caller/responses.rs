//! Answers to a flow's requests, checked as they arrive.

use std::collections::{HashMap, HashSet};

use tokio::sync::oneshot;

use super::{Failure, Response};
use crate::protocol::{self, Answer, Malformed, Pattern, Status};

pub(super) type ResponseSender = oneshot::Sender<Result<Response, Failure>>;

struct PendingRequest {
    size: u64,
    received: u64,
    correct: bool,
    /// How often the answer has been given up.
    timeouts: u32,
    reply: Option<ResponseSender>,
}

/// What the bytes of a step amounted to.
#[derive(Debug, Default)]
pub(super) struct StepCounts {
    pub(super) answers: u32,
    pub(super) corrupt: u32,
    pub(super) foreign: u32,
    pub(super) misdelivered: u32,
    /// Answers to requests that had been given up.
    pub(super) late: u32,
    /// Requests given up.
    pub(super) expired: u32,
    pub(super) bytes: u64,
}

#[derive(Default)]
pub(super) struct ResponseTracker {
    buffer: Vec<u8>,
    /// The answer whose pattern bytes are being received, and how many are remaining.
    partial_body: Option<(Answer, u64)>,
    pending: HashMap<String, PendingRequest>,
    request_ids: HashSet<String>,
    expected_service: Option<String>,
    /// Results on their way to those who wait. They are delivered when the flow's record contains
    /// them, so that whoever gets a result finds it in the record.
    results: Vec<(ResponseSender, Result<Response, Failure>)>,
}

impl ResponseTracker {
    pub(super) fn new(expected_service: Option<String>) -> Self {
        Self {
            expected_service,
            ..Self::default()
        }
    }

    /// Waits for the answer to a request. A repeated id replaces the one who waits.
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

    /// Gives up waiting for an answer; returns whether it was still missing.
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

    /// Tells all who wait that no answer will come; returns how many there were.
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

    /// Delivers the results.
    pub(super) fn deliver_results(&mut self) {
        for (reply, result) in self.results.drain(..) {
            // Nobody may wait any more.
            let _ = reply.send(result);
        }
    }

    /// Whether somebody waits for an answer.
    pub(super) fn has_pending(&self) -> bool {
        self.pending.values().any(|pending| pending.reply.is_some())
    }

    /// Whether somebody waits for the answer to this request.
    pub(super) fn is_pending(&self, id: &str) -> bool {
        let pending = self.pending.get(id);
        pending.is_some_and(|pending| pending.reply.is_some())
    }

    /// Handles bytes of a connection.
    pub(super) fn receive(
        &mut self,
        bytes: &[u8],
        counts: &mut StepCounts,
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

    /// Handles a datagram.
    pub(super) fn receive_datagram(
        &mut self,
        datagram: &[u8],
        counts: &mut StepCounts,
    ) -> Result<(), Malformed> {
        let (answer, body) = protocol::parse_datagram::<Answer>(datagram)?;
        self.check_header(&answer, counts);
        self.buffer = body.to_vec();
        self.check_body(&answer, answer.offset, body.len(), counts);
        self.buffer.clear();
        self.complete(&answer, counts);
        Ok(())
    }

    fn check_header(&mut self, answer: &Answer, counts: &mut StepCounts) {
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

    /// Compares received bytes with the pattern of the answer's request.
    fn check_body(&mut self, answer: &Answer, offset: u64, length: usize, counts: &mut StepCounts) {
        counts.bytes += length as u64;
        let Some(pending) = self.pending.get_mut(&answer.id) else {
            return;
        };
        let matches = Pattern::new(&answer.id).matches(offset, &self.buffer[..length]);
        pending.correct &= matches;
        pending.received += length as u64;
    }

    fn complete(&mut self, answer: &Answer, counts: &mut StepCounts) {
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

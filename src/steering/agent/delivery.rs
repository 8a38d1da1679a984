//! Admission of client packets to the server, and forwarding of packets that it returns.
//!
//! Load pattern: while a service is overloaded, its servers' queues are full of requests that may be
//! repeated, which are the most. One place for each slot is kept for flows whose requests run at most
//! once, and copies of opening packets, whose requests are late already, get free slots only.

use std::net::SocketAddr;
use std::time::Instant;

use crate::steering::agent_flow::AgentFlow;
use crate::steering::log_event::Topic;
use crate::steering::message::{Forward, Message};
use crate::steering::roster::State;
use crate::steering::segment::{Kind, Segment};

use super::record::Knowledge;
use super::{log_event, Agent, Output, PENDING_MAX};

/// How often the opening packet of a flow is forwarded by agents whose servers have all slots in
/// use. After that, an agent forwards it only if its server's queue is full.
const BUSY_PASSES_MAX: u8 = 2;
/// Requests per slot from which on a server gets no new flows: one runs and one is queued, so the
/// next one would wait for longer than it runs.
const REQUESTS_PER_SLOT_MAX: u32 = 2;
/// The same for flows whose requests must not be repeated. While a service is overloaded, the
/// difference is reserved for them: their clients can't ask again if an attempt fails later on.
const AT_MOST_ONCE_REQUESTS_PER_SLOT_MAX: u32 = 3;

/// A delivered packet that the server may still return, with its [`Forward`] header.
#[derive(Debug)]
pub(super) struct Pending {
    token: u32,
    service: String,
    origin: SocketAddr,
    lookup: bool,
    passes: u8,
    asked: bool,
    verify: bool,
    at_most_once: bool,
    candidates: Vec<SocketAddr>,
}

impl Agent {
    /// Delivers a client's packet to the server, or forwards it to the next candidate. `verify` is set
    /// if the server has to be asked whatever the agent's records say.
    pub(super) fn client_packet(
        &mut self,
        segment: Segment,
        mut forward: Forward,
        verify: bool,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let flow = segment.flow;
        // Flows that are left may be those of the next process, which hasn't sent a heartbeat yet.
        let left = !segment.opens() && self.flows.contains_key(&flow);
        if self.member.state == State::Gone && !left {
            self.forward_to_next(segment, forward, verify, "server_gone", out);
            return;
        }
        if segment.opens() {
            let tracked = self.flows.contains_key(&flow);
            // Also if the flow is tracked: the entry may be of an earlier flow from the same port,
            // and this packet an old copy.
            if forward.service != self.member.service || self.member.state != State::Ready {
                self.forward_to_next(segment, forward, verify, "not_accepting", out);
                return;
            }
            let busy = self.busy(now) >= self.member.slots.0;
            let others = forward.passes < BUSY_PASSES_MAX && !forward.candidates.is_empty();
            if !tracked && (self.overloaded(&segment, &forward, now) || busy && others) {
                forward.passes += 1;
                self.forward_to_next(segment, forward, verify, "busy", out);
                return;
            }
            let tracked = self
                .flows
                .entry(flow)
                .or_insert_with(|| AgentFlow::new(Some(forward.origin), now));
            tracked.at_most_once = forward.at_most_once;
            tracked.client_packet_at = now;
            tracked.opening = tracked.answered_at.is_none();
            self.returned.remove(&flow);
        } else {
            if forward.lookup {
                if self.lookup_waits(&segment) {
                    self.queue_lookup(segment, forward, verify);
                    return;
                }
                if let Some(reason) = self.answer_from_records(&segment, &mut forward, verify, out)
                {
                    self.forward_to_next(segment, forward, verify, reason, out);
                    return;
                }
            }
            self.record_client_packet(&segment, &forward, now);
        }
        let token = self.next_token;
        self.next_token = self.next_token.wrapping_add(1).max(1);
        self.pending[token as usize % PENDING_MAX] = Some(Pending {
            token,
            service: forward.service,
            origin: forward.origin,
            lookup: forward.lookup,
            passes: forward.passes,
            asked: forward.asked,
            verify,
            at_most_once: forward.at_most_once,
            candidates: forward.candidates,
        });
        out.push(Output::Deliver {
            token,
            packet: forward.packet,
        });
    }

    /// Records a packet of an open flow that the server gets.
    fn record_client_packet(&mut self, segment: &Segment, forward: &Forward, now: Instant) {
        let tracked = self
            .flows
            .entry(segment.flow)
            .or_insert_with(|| AgentFlow::new(Some(forward.origin), now));
        if tracked.is_other(segment.acknowledgement) {
            return;
        }
        tracked.acknowledged = segment.acknowledgement;
        tracked.at_most_once = forward.at_most_once;
        tracked.last_packet_at = now;
        tracked.client_packet_at = now;
        tracked.record_request(segment, now);
        if forward.lookup {
            tracked.record_lookup(forward.origin);
        }
        if segment.kind == Kind::Reset {
            self.flows.remove(&segment.flow);
        }
    }

    /// Answers a packet of a lookup without the server if the records show that it doesn't hold the
    /// flow. Returns the reason, or none if the server has to get the packet.
    fn answer_from_records(
        &mut self,
        segment: &Segment,
        forward: &mut Forward,
        verify: bool,
        out: &mut Vec<Output>,
    ) -> Option<&'static str> {
        match self.knowledge(segment) {
            Knowledge::Returned => return Some("returned_before"),
            Knowledge::Unrecorded if !verify => {
                forward.asked = false;
                return Some("not_recorded");
            }
            Knowledge::Recorded => return None,
            Knowledge::Unrecorded => {}
        }
        out.push(log_event(
            Topic::Asked,
            format!("flow={} balancer={}", segment.flow, forward.origin),
        ));
        None
    }

    /// Whether the server has too many requests to take another flow. A retransmitted opening
    /// packet belongs to a request that is already late, so it is admitted only if a slot is free.
    fn overloaded(&self, segment: &Segment, forward: &Forward, now: Instant) -> bool {
        let copy = segment.acknowledgement > 0;
        let limit = match forward.at_most_once {
            _ if copy => 1,
            true => AT_MOST_ONCE_REQUESTS_PER_SLOT_MAX,
            false => REQUESTS_PER_SLOT_MAX,
        };
        self.busy(now) >= limit * self.member.slots.0
    }

    /// Sends a packet that the server doesn't take to the next candidate, or back to the balancer
    /// if there is none.
    fn forward_to_next(
        &mut self,
        segment: Segment,
        mut forward: Forward,
        verify: bool,
        reason: &str,
        out: &mut Vec<Output>,
    ) {
        if forward.candidates.is_empty() {
            // There may be a packet of a lookup for each agent.
            if !forward.lookup {
                out.push(log_event(
                    Topic::Exhausted,
                    format!(
                        "flow={} kind={} reason={reason}",
                        segment.flow, segment.kind
                    ),
                ));
            }
            out.push(Output::Send(forward.origin, Message::Exhausted(forward)));
            return;
        }
        let next = forward.candidates.remove(0);
        if segment.opens() {
            out.push(log_event(
                Topic::Passed,
                format!("flow={} to={next} reason={reason}", segment.flow),
            ));
        }
        let message = match verify {
            true => Message::Verify(forward),
            false => Message::Forward(forward),
        };
        out.push(Output::Send(next, message));
    }

    /// Handles a packet that the server returned because it doesn't hold or accept the flow.
    /// `token` is that of [`Output::Deliver`].
    pub fn packet_returned(
        &mut self,
        segment: Segment,
        token: u32,
        packet: Vec<u8>,
        out: &mut Vec<Output>,
    ) {
        let slot = &mut self.pending[token as usize % PENDING_MAX];
        let Some(pending) = slot.take_if(|pending| pending.token == token) else {
            out.push(log_event(
                Topic::Dropped,
                format!(
                    "flow={} reason=returned_too_late token={token}",
                    segment.flow
                ),
            ));
            return;
        };
        self.record_return(&segment);
        let forward = Forward {
            service: pending.service,
            origin: pending.origin,
            lookup: pending.lookup,
            candidates: pending.candidates,
            passes: pending.passes,
            asked: pending.asked,
            at_most_once: pending.at_most_once,
            packet,
        };
        self.forward_to_next(segment, forward, pending.verify, "returned", out);
    }
}

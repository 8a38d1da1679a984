//! Placement of new flows, hedging of placements that aren't confirmed in time, and refusals.
//!
//! Load pattern: a service is overloaded for some seconds, for example after all hosts have lost
//! power, when cold servers meet the requests that have waited. An opening packet that went along
//! all agents of a service would cost each of them a message, so that the agents of a large service
//! would spend their time on passing packets, and clients would learn too late that there is no room
//! for them. A packet therefore goes along a few agents. If all of them are full, what comes next
//! depends on the route's objective: the flow is refused at once if only a new attempt of the client
//! can be in time. Otherwise the client's own copy of the packet is awaited, which meets other agents
//! and doesn't use up one of the client's few attempts.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::packet::Flow;
use crate::steering::balancer_flow::BalancerFlow;
use crate::steering::log_event::{Reason, Topic};
use crate::steering::message::Message;
use crate::steering::segment::Segment;

use super::{log_event, Balancer, Output};

/// Time for an agent to report that its server accepted a flow, before the opening packet is sent
/// to another agent: several round trips between failure domains.
const HEDGE_DELAY: Duration = Duration::from_millis(60);
/// Maximum number of additional agents that get an opening packet; after that, the client's own
/// retransmission is awaited.
const HEDGES_MAX: u8 = 2;
/// Number of agents that an opening packet goes along before it is returned.
const ATTEMPT_AGENTS: usize = 6;

/// Objectives from which on the client's first copy, which it sends after 200 ms, can still be in
/// time: as much again is left for the request.
const COPY_AWAITED_FROM: Duration = Duration::from_millis(400);

/// An opening packet that no server is known to have accepted yet.
#[derive(Debug)]
pub(super) struct PendingPlacement {
    flow: Flow,
    packet: Vec<u8>,
    service: String,
    hedges: u8,
    due: Instant,
}

impl Balancer {
    pub(super) fn place(
        &mut self,
        segment: Segment,
        packet: Vec<u8>,
        service: String,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let flow = segment.flow;
        let backlog = self.reads_backlog(now);
        let candidates = self.roster.placement_candidates(&service, &flow, now);
        let tracked = self
            .flows
            .entry(flow)
            .or_insert_with(|| BalancerFlow::new(self.address, now));
        tracked.last_packet_at = now;
        tracked.record_opening();
        if segment.acknowledgement == 0 && !backlog {
            tracked.opened_at = Some(now);
        }
        // A retransmission goes to an agent that hasn't got the packet yet: the others may be
        // unreachable.
        let untried = |agent: &&SocketAddr| !tracked.tried_agents.contains(agent);
        let first = candidates.iter().find(untried).or(candidates.first());
        let Some(first) = first.copied() else {
            out.push(log_event(
                Topic::Dropped,
                format!(
                    "flow={flow} service={service} reason=no_server agents={}",
                    self.roster.len()
                ),
            ));
            return;
        };
        if tracked.tried_agents.is_empty() && !tracked.accepted {
            tracked.likely_agent = first;
        }
        let mut remaining: Vec<_> = candidates
            .into_iter()
            .filter(|agent| *agent != first && !tracked.tried_agents.contains(agent))
            .collect();
        remaining.truncate(ATTEMPT_AGENTS - 1);
        tracked.record_attempt(first);
        out.push(log_event(
            Topic::Placed,
            format!(
                "flow={flow} service={service} agent={first} copy={} generation={}",
                segment.acknowledgement,
                self.generation()
            ),
        ));
        self.roster.record_placement(&first);
        self.placements.push_back(PendingPlacement {
            flow,
            packet: packet.clone(),
            service: service.clone(),
            hedges: 0,
            due: now + HEDGE_DELAY,
        });
        let mut forward = self.forward(&flow, packet, remaining);
        forward.service = service;
        out.push(Output::Send(first, Message::Forward(forward)));
    }

    /// Sends opening packets that weren't accepted in time to another agent.
    pub(super) fn hedge(&mut self, now: Instant, out: &mut Vec<Output>) {
        while self
            .placements
            .front()
            .is_some_and(|placement| placement.due <= now)
        {
            let Some(mut placement) = self.placements.pop_front() else {
                return;
            };
            let Some(tracked) = self.flows.get_mut(&placement.flow) else {
                continue;
            };
            if tracked.accepted || placement.hedges >= HEDGES_MAX {
                continue;
            }
            let candidates =
                self.roster
                    .placement_candidates(&placement.service, &placement.flow, now);
            let untried = |agent: &SocketAddr| !tracked.tried_agents.contains(agent);
            let mut remaining: Vec<_> = candidates.into_iter().filter(untried).collect();
            remaining.truncate(ATTEMPT_AGENTS);
            if remaining.is_empty() {
                continue;
            }
            let next = remaining.remove(0);
            tracked.record_attempt(next);
            out.push(log_event(
                Topic::PlacedAgain,
                format!(
                    "flow={} service={} agent={next} reason=no_acceptance \
                 waited_ms={}",
                    placement.flow,
                    placement.service,
                    HEDGE_DELAY.as_millis()
                ),
            ));
            let (service, packet) = (placement.service.clone(), placement.packet.clone());
            let flow = placement.flow;
            placement.hedges += 1;
            placement.due = now + HEDGE_DELAY;
            self.placements.push_back(placement);
            let mut forward = self.forward(&flow, packet, remaining);
            forward.service = service;
            out.push(Output::Send(next, Message::Forward(forward)));
        }
    }

    /// Handles an opening packet that no agent of an attempt took. Resets the flow unless a server
    /// may have accepted it, or the client's copy can be in time.
    pub(super) fn receive_returned_opening(
        &mut self,
        segment: Segment,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let route = self.routes.get(&segment.flow.destination);
        let copy_awaited = route.is_some_and(|route| route.objective >= COPY_AWAITED_FROM);
        let Some(tracked) = self.flows.get_mut(&segment.flow) else {
            return;
        };
        tracked.unreturned = tracked.unreturned.saturating_sub(1);
        if !copy_awaited && tracked.refusable(now) {
            let tracked = self.flows.remove(&segment.flow);
            let evidence = self.refusal_evidence(&segment, tracked.as_ref(), now);
            self.reset(segment, Reason::NoServerAccepts, &evidence, out);
        }
    }
}

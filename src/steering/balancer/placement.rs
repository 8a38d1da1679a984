//! Placement of new flows, and hedging of placements that aren't confirmed in time.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::packet::Flow;
use crate::steering::balancer_flow::BalancerFlow;
use crate::steering::log_event::Topic;
use crate::steering::message::Message;
use crate::steering::segment::Segment;

use super::{log_event, Balancer, Output, CANDIDATES_MAX};

/// Time for an agent to report that its server accepted a flow, before the opening packet is sent
/// to another agent: several round trips between failure domains.
const HEDGE_DELAY: Duration = Duration::from_millis(60);
/// Maximum number of additional agents that get an opening packet; after that, the client's own
/// retransmission is awaited.
const HEDGES_MAX: u8 = 2;

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
        let first = candidates
            .iter()
            .find(untried)
            .or(candidates.first())
            .copied();
        let Some(first) = first else {
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
        if !tracked.tried_agents.contains(&first) {
            tracked.tried_agents.push(first);
        }
        let tried_agents = tracked.tried_agents.clone();
        let remaining: Vec<_> = candidates
            .into_iter()
            .filter(|agent| !tried_agents.contains(agent))
            .take(CANDIDATES_MAX)
            .collect();
        out.push(log_event(
            Topic::Placed,
            format!(
                "flow={flow} service={service} agent={first} copy={} generation={}",
                segment.acknowledgement,
                self.routes.generation()
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
            let tried_agents = tracked.tried_agents.clone();
            let mut remaining = candidates
                .into_iter()
                .filter(|agent| !tried_agents.contains(agent));
            let Some(next) = remaining.next() else {
                continue;
            };
            tracked.tried_agents.push(next);
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
            let remaining = remaining.take(CANDIDATES_MAX).collect();
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
}

//! Lookup of the agent that holds an open flow.

use std::time::{Duration, Instant};

use crate::packet::{Flow, Protocol};
use crate::steering::balancer_flow::{self, Acceptance, BalancerFlow, Proof};
use crate::steering::log_event::{LogEvent, Reason, Topic};
use crate::steering::message::{Forward, Message, Owner};
use crate::steering::segment::Segment;

use super::{log_event, Balancer, Output, CANDIDATES_MAX};

/// Time after the start of the balancer before a lookup without a result counts as proof that no
/// server holds the flow. Agents that are missing in the directory have announced themselves by
/// then.
const DISCOVERY_TIME: Duration = Duration::from_millis(600);
/// The same without any digest from a peer, which would name agents that this balancer doesn't
/// know: the peers may not run.
const DISCOVERY_TIME_ALONE: Duration = Duration::from_secs(2);
/// Packets that arrive within this time belong to one lookup: a client sends several at once, and
/// retransmits the first after 200 ms at the earliest.
const LOOKUP_WINDOW: Duration = Duration::from_millis(100);

impl Balancer {
    /// Sends a packet of a flow whose agent isn't known to the first candidate, which forwards it
    /// along the others until a server takes it.
    pub(super) fn lookup(
        &mut self,
        segment: Segment,
        packet: Vec<u8>,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let flow = segment.flow;
        let routes = &self.routes;
        let may_serve = |service: &str| routes.may_serve(&flow.destination, service);
        let mut found = self.roster.lookup_candidates(may_serve, &flow, now);
        found.overdue.extend(self.named_agents.keys());
        let discovery_done = self.discovery_done(now);
        let Some(likeliest) = found.groups().into_iter().flatten().next().copied() else {
            return;
        };
        let tracked = self
            .flows
            .entry(flow)
            .or_insert_with(|| BalancerFlow::new(likeliest, now));
        tracked.last_packet_at = now;
        let recent = |at| now.saturating_duration_since(at) < LOOKUP_WINDOW;
        let new_lookup = !tracked.lookup_started.is_some_and(recent);
        if new_lookup {
            tracked.lookup_started = Some(now);
            tracked.lookups += 1;
        }
        let attempt = tracked.lookups.saturating_sub(1);
        // Agents that got the opening packet come first.
        let (tried_agents, likely) = (&tracked.tried_agents, tracked.likely_agent);
        for candidates in found.groups() {
            candidates
                .sort_by_key(|candidate| (*candidate != likely, !tried_agents.contains(candidate)));
            // An unreachable candidate would stop every lookup at the same place, so repeated
            // lookups vary the order.
            let skip = attempt as usize / 2 % candidates.len().max(1);
            candidates.rotate_left(skip);
            if attempt % 2 == 1 {
                candidates.reverse();
            }
        }
        let mut candidates: Vec<_> = found
            .groups()
            .into_iter()
            .flat_map(std::mem::take)
            .collect();
        let complete = discovery_done && candidates.len() <= CANDIDATES_MAX;
        candidates.truncate(CANDIDATES_MAX);
        tracked.asked = candidates.len();
        if new_lookup && tracked.lookups == 1 && tried_agents.is_empty() {
            out.push(log_event(
                Topic::Lookup,
                format!(
                    "flow={flow} first={} candidates={}",
                    candidates[0],
                    candidates.len()
                ),
            ));
        }
        let first = candidates.remove(0);
        let mut forward = self.forward(&flow, packet, candidates);
        forward.lookup = true;
        forward.complete = complete;
        out.push(Output::Send(first, Message::Forward(forward)));
    }

    /// Whether this balancer has had the time to learn of all agents.
    fn discovery_done(&self, now: Instant) -> bool {
        let time = match self.digest_received || self.peers.is_empty() {
            true => DISCOVERY_TIME,
            false => DISCOVERY_TIME_ALONE,
        };
        self.directory_read && now.saturating_duration_since(self.started) > time
    }

    pub(super) fn receive_owner(&mut self, owner: Owner, now: Instant, out: &mut Vec<Output>) {
        self.roster.record_contact(&owner.agent, now);
        let flow = Flow {
            protocol: Protocol::Tcp,
            source: owner.client,
            destination: owner.address,
        };
        let tracked = self
            .flows
            .entry(flow)
            .or_insert_with(|| BalancerFlow::new(owner.agent, now));
        tracked.lookups = 0;
        tracked.lookup_started = None;
        let first_report = !tracked.accepted;
        let holder = balancer_flow::Owner {
            agent: owner.agent,
            process: owner.process,
            proof: match owner.accepted {
                Some(_) => Proof::Choice,
                None => Proof::TakenPacket,
            },
            reported_at: now,
        };
        let Some(sequence) = owner.accepted else {
            tracked.set_owner(holder);
            return;
        };
        if first_report {
            let latency = now.saturating_duration_since(tracked.first_packet_at);
            out.push(Output::Latency(latency));
        }
        tracked.record_acceptance(Acceptance {
            sequence,
            owner: holder,
        });
    }

    /// Handles a packet that no candidate took. Resets a new flow unless another agent may still
    /// accept it, and an open flow if a lookup has tried every agent. A packet that went only to
    /// the known agent starts a lookup.
    pub(super) fn receive_exhausted(
        &mut self,
        segment: Segment,
        forward: &Forward,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let flow = segment.flow;
        if segment.opens() {
            if self
                .flows
                .get(&flow)
                .is_some_and(|tracked| tracked.refusable(now))
            {
                let tracked = self.flows.remove(&flow);
                let evidence = self.refusal_evidence(&segment, tracked.as_ref(), now);
                self.reset(segment, Reason::NoServerAccepts, &evidence, out);
            }
            return;
        }
        if !forward.lookup {
            if let Some(tracked) = self.flows.get_mut(&flow) {
                tracked.owner = None;
            }
            self.lookup(segment, forward.packet.clone(), now, out);
            return;
        }
        if forward.complete {
            let tracked = self.flows.remove(&flow);
            let evidence = self.lookup_evidence(tracked.as_ref(), now);
            self.reset(segment, Reason::NoServerHoldsIt, &evidence, out);
        }
    }

    fn reset(&self, segment: Segment, reason: Reason, evidence: &str, out: &mut Vec<Output>) {
        let evidence = format!("agents={} {evidence}", self.roster.len());
        let event = LogEvent::reset(segment.flow, reason, evidence);
        out.push(Output::Log(event));
        out.push(Output::Reset {
            flow: segment.flow,
            sequence: segment.acknowledgement,
        });
    }
}

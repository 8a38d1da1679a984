//! Lookup of the agent that holds an open flow.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::packet::{Flow, Protocol};
use crate::steering::balancer_flow::{self, Acceptance, BalancerFlow, Proof};
use crate::steering::log_event::{LogEvent, Reason, Topic};
use crate::steering::message::{Forward, Message, Owner};
use crate::steering::roster::LookupCandidates;
use crate::steering::segment::Segment;

use super::{log_event, Balancer, Output, CANDIDATES_MAX};

/// Time after the start of the discovery before a lookup without a result counts as proof that no
/// server holds the flow. Agents that are missing in the directory have announced themselves by
/// then.
const DISCOVERY_TIME: Duration = Duration::from_millis(600);
/// The same without a digest from a peer that knows all agents and would name those that this
/// balancer doesn't know: the peers may not run, or have just started as well.
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
        let mut found = self.lookup_candidates(&flow, now);
        let Some(likeliest) = found.groups().into_iter().flatten().next().copied() else {
            return;
        };
        let tracked = self
            .flows
            .entry(flow)
            .or_insert_with(|| BalancerFlow::new(likeliest, now));
        tracked.last_packet_at = now;
        tracked.search.expire(now);
        let recent = |at| now.saturating_duration_since(at) < LOOKUP_WINDOW;
        let new_lookup = !tracked.lookup_started.is_some_and(recent);
        if new_lookup {
            tracked.lookup_started = Some(now);
            tracked.lookups += 1;
        }
        let mut candidates = in_order(found, tracked);
        if candidates.len() > CANDIDATES_MAX {
            candidates.sort_by_key(|candidate| tracked.search.denied(candidate));
        }
        if new_lookup && tracked.lookups == 1 && tracked.tried_agents.is_empty() {
            out.push(log_event(
                Topic::Lookup,
                format!(
                    "flow={flow} first={} candidates={}",
                    candidates[0],
                    candidates.len().min(CANDIDATES_MAX)
                ),
            ));
        }
        let complete = candidates.len() <= CANDIDATES_MAX;
        self.ask(&flow, packet, candidates, complete, now, out);
    }

    /// Sends a packet to as many of the candidates as fit into a datagram.
    fn ask(
        &mut self,
        flow: &Flow,
        packet: Vec<u8>,
        mut candidates: Vec<SocketAddr>,
        complete: bool,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let discovery_done = self.discovery_done(now);
        let Some(tracked) = self.flows.get_mut(flow) else {
            return;
        };
        candidates.truncate(CANDIDATES_MAX);
        let part = tracked.search.send(&candidates, now);
        let first = candidates.remove(0);
        let mut forward = self.forward(flow, packet, candidates);
        forward.lookup = true;
        forward.complete = complete && discovery_done;
        forward.passes = part;
        out.push(Output::Send(first, Message::Forward(forward)));
    }

    /// All agents that may hold an open flow, by this balancer's knowledge and that of its peers.
    fn lookup_candidates(&self, flow: &Flow, now: Instant) -> LookupCandidates {
        let may_serve = |service: &str| self.routes.may_serve(&flow.destination, service);
        let mut found = self.roster.lookup_candidates(may_serve, flow, now);
        for agent in self.named_agents.keys() {
            match self.roster.get(agent) {
                None => found.overdue.push(*agent),
                Some(_) if self.roster.left(agent, now) => found.ended.push(*agent),
                Some(_) => {}
            }
        }
        let owner = self.flows.get(flow).and_then(|tracked| tracked.owner);
        let unknown = |agent: &SocketAddr| {
            self.roster.get(agent).is_none() && !self.named_agents.contains_key(agent)
        };
        found
            .overdue
            .extend(owner.map(|owner| owner.agent).filter(unknown));
        found
    }

    /// Whether this balancer has had the time to learn of all agents.
    pub(super) fn discovery_done(&self, now: Instant) -> bool {
        // If all peers have just started, no balancer knows more than they have named.
        let mut peers = self.peers.keys();
        let all_heard = peers.all(|peer| self.digest_senders.contains(peer));
        let time = match self.digest_received || all_heard {
            true => DISCOVERY_TIME,
            false => DISCOVERY_TIME_ALONE,
        };
        let elapsed = now.saturating_duration_since(self.discovery_started);
        self.directory_read && elapsed > time
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
        tracked.search.clear();
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

    /// Handles a packet that no candidate took. Resets an open flow if its lookups have tried every
    /// agent. A packet that went only to the known agent starts a lookup.
    pub(super) fn receive_exhausted(
        &mut self,
        segment: Segment,
        forward: &Forward,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let flow = segment.flow;
        if segment.opens() {
            self.receive_returned_opening(segment, now, out);
            return;
        }
        if !forward.lookup {
            if let Some(tracked) = self.flows.get_mut(&flow) {
                tracked.owner = None;
            }
            self.lookup(segment, forward.packet.clone(), now, out);
            return;
        }
        self.continue_lookup(segment, forward, now, out);
    }

    /// Asks the agents that no returned packet of the flow has asked. Resets the flow if there are
    /// none: all agents that are known now have answered.
    fn continue_lookup(
        &mut self,
        segment: Segment,
        forward: &Forward,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let flow = segment.flow;
        let found = self.lookup_candidates(&flow, now);
        let owner = self.current_owner(&flow, now);
        let Some(tracked) = self.flows.get_mut(&flow) else {
            return;
        };
        // An owner that has reported itself outweighs an answer of no: another packet may have
        // found the flow's server, or this one may have passed it too early.
        if let Some(owner) = owner {
            let forward = self.forward(&flow, forward.packet.clone(), Vec::new());
            out.push(Output::Send(owner.agent, Message::Forward(forward)));
            return;
        }
        tracked.search.expire(now);
        if !tracked.search.exhaust(forward.passes) {
            return;
        }
        let mut candidates = in_order(found, tracked);
        candidates.retain(|candidate| !tracked.search.denied(candidate));
        if !candidates.is_empty() {
            let complete = candidates.len() <= CANDIDATES_MAX;
            self.ask(
                &flow,
                forward.packet.clone(),
                candidates,
                complete,
                now,
                out,
            );
        } else if self.discovery_done(now) {
            let tracked = self.flows.remove(&flow);
            let evidence = self.lookup_evidence(tracked.as_ref(), now);
            self.reset(segment, Reason::NoServerHoldsIt, &evidence, out);
        }
    }

    pub(super) fn reset(
        &self,
        segment: Segment,
        reason: Reason,
        evidence: &str,
        out: &mut Vec<Output>,
    ) {
        let evidence = format!("agents={} {evidence}", self.roster.len());
        let event = LogEvent::reset(segment.flow, reason, evidence);
        out.push(Output::Log(event));
        out.push(Output::Reset {
            flow: segment.flow,
            sequence: segment.acknowledgement,
        });
    }
}

/// Returns the candidates in the order in which a lookup asks them. Agents that got the opening
/// packet come first.
fn in_order(mut found: LookupCandidates, tracked: &BalancerFlow) -> Vec<SocketAddr> {
    let attempt = tracked.lookups.saturating_sub(1);
    let (tried_agents, likely) = (&tracked.tried_agents, tracked.likely_agent);
    for candidates in found.groups() {
        candidates
            .sort_by_key(|candidate| (*candidate != likely, !tried_agents.contains(candidate)));
        // An unreachable candidate would stop every lookup at the same place, so repeated lookups
        // vary the order.
        let skip = attempt as usize / 2 % candidates.len().max(1);
        candidates.rotate_left(skip);
        if attempt % 2 == 1 {
            candidates.reverse();
        }
    }
    found
        .groups()
        .into_iter()
        .flat_map(std::mem::take)
        .collect()
}

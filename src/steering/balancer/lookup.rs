//! Lookup of the agent that holds an open flow.
//!
//! A packet goes along the candidates one after the other, the likeliest first: most lookups end at
//! one of the first. A candidate that doesn't run, or has just been stopped, ends the packet's way.
//! Each lookup without an answer is therefore repeated by packets to single agents, so that no agent
//! stands in another one's way: whichever agents are down, the flow's own agent gets a packet within
//! [`PROBE_INTERVAL`] of its start, or a few of them if there are more than [`PROBES_MAX`] agents.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::packet::{Flow, Protocol};
use crate::steering::balancer_flow::{self, Acceptance, BalancerFlow, Proof};
use crate::steering::log_event::{LogEvent, Reason, Topic};
use crate::steering::message::{Forward, Message, Owner};
use crate::steering::roster::LookupCandidates;
use crate::steering::search::Answer;
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
/// A lookup begins anew if the last one began longer ago: the client has sent no copy since.
const LOOKUP_EXPIRY: Duration = Duration::from_secs(2);
/// Interval between probes for a flow whose lookup has no answer yet.
const PROBE_INTERVAL: Duration = Duration::from_millis(200);
/// Time after the client's last packet in which a lookup is repeated: the longest time between two
/// copies of a packet.
const PROBE_TIME_MAX: Duration = Duration::from_millis(1600);
/// Maximum number of agents that are probed at once.
const PROBES_MAX: usize = 64;
/// The same for the first probes of a search: most often, a datagram to a likely agent was lost.
const FIRST_PROBES_MAX: usize = 8;
/// Number of probes for all flows that each tick allows. After a loss of power all flows are looked up
/// at once, and probes for each of them would hold up all other packets.
const TICK_PROBES: usize = 16;
/// Number of probes that may be saved up for a few flows.
pub(super) const SAVED_PROBES_MAX: usize = 2 * PROBES_MAX;

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
        let ended = |at| now.saturating_duration_since(at) > LOOKUP_EXPIRY;
        let same_flow = tracked.search.follow(segment.acknowledgement);
        if !same_flow || tracked.lookup_started.is_some_and(ended) {
            tracked.lookups = 0;
            tracked.lookup_started = None;
        }
        let recent = |at| now.saturating_duration_since(at) < LOOKUP_WINDOW;
        if !tracked.lookup_started.is_some_and(recent) {
            tracked.lookup_started = Some(now);
            tracked.lookups += 1;
        }
        tracked.search.keep_packet(packet.clone());
        if !std::mem::replace(&mut tracked.search_queued, true) {
            self.searches.push_back((now + PROBE_INTERVAL, flow));
        }
        let mut candidates = in_order(found, tracked);
        let unanswered = candidates.iter().any(|agent| tracked.search.awaits(agent));
        if tracked.lookups > 1 && unanswered && self.probes_left > 0 {
            self.probe(&flow, now, out);
            return;
        }
        if candidates.len() > CANDIDATES_MAX {
            candidates.sort_by_key(|candidate| !tracked.search.awaits(candidate));
        }
        if tracked.lookups == 1 && tracked.tried_agents.is_empty() && !tracked.search.started() {
            out.push(log_event(
                Topic::Lookup,
                format!(
                    "flow={flow} first={} candidates={}",
                    candidates[0],
                    candidates.len().min(CANDIDATES_MAX)
                ),
            ));
        }
        self.ask(&flow, packet, candidates, now, out);
    }

    /// Probes agents for the flows whose lookups have had no answer for [`PROBE_INTERVAL`].
    pub(super) fn repeat_searches(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.probes_left = SAVED_PROBES_MAX.min(self.probes_left + TICK_PROBES);
        let due = |(due, _): &(Instant, Flow)| *due <= now;
        while self.probes_left > 0 && self.searches.front().is_some_and(due) {
            let Some((_, flow)) = self.searches.pop_front() else {
                return;
            };
            let owner = self.current_owner(&flow, now);
            let Some(tracked) = self.flows.get_mut(&flow) else {
                continue;
            };
            let waiting = now.saturating_duration_since(tracked.last_packet_at) <= PROBE_TIME_MAX;
            if owner.is_none() && waiting && tracked.search.packet().is_some() {
                self.searches.push_back((now + PROBE_INTERVAL, flow));
                self.probe(&flow, now, out);
                continue;
            }
            tracked.search_queued = false;
            // Probes may have reached other agents after the owner. Its server gets the last copy.
            if let Some((owner, packet)) = owner.zip(tracked.search.take_packet()) {
                let forward = self.forward(&flow, packet, Vec::new());
                out.push(Output::Send(owner.agent, Message::Forward(forward)));
            }
        }
    }

    /// Sends a flow's last packet to each agent alone that hasn't answered, those first that were not
    /// probed yet or not for the longest time. The first probes go to the likeliest agents only.
    fn probe(&mut self, flow: &Flow, now: Instant, out: &mut Vec<Output>) {
        let found = self.lookup_candidates(flow, now);
        let Some(tracked) = self.flows.get_mut(flow) else {
            return;
        };
        let Some(packet) = tracked.search.packet().cloned() else {
            return;
        };
        tracked.search.expire(now);
        let recent = |at| now.saturating_duration_since(at) < PROBE_INTERVAL;
        // The timer and the client's copy of the packet fall together.
        if tracked.search.last_probed().is_some_and(recent) {
            return;
        }
        let limit = match tracked.search.probing() {
            true => PROBES_MAX,
            false => FIRST_PROBES_MAX,
        };
        // The flow's agent is the first of its group by rank, more often than not, but may have
        // changed the group since the flow was opened.
        let ranks = found.overdue.len().max(found.responsive.len());
        let best =
            (0..ranks).flat_map(|rank| [found.overdue.get(rank), found.responsive.get(rank)]);
        let rest = found.lost.iter().chain(&found.ended);
        let mut agents: Vec<_> = best.flatten().chain(rest).copied().collect();
        agents.sort_by_key(|agent| tracked.likelihood(agent));
        let search = &tracked.search;
        agents.retain(|agent| search.awaits(agent));
        agents.sort_by_key(|agent| search.probed_at(agent));
        agents.truncate(limit.min(self.probes_left));
        self.probes_left -= agents.len();
        if !agents.is_empty() && !tracked.search.probing() {
            out.push(log_event(
                Topic::Probed,
                format!("flow={flow} first={} agents={}", agents[0], agents.len()),
            ));
        }
        let verifying = tracked.search.verifying();
        let parts: Vec<_> = agents
            .into_iter()
            .map(|agent| (agent, tracked.search.probe(agent, now)))
            .collect();
        for (agent, part) in parts {
            let question = self.question(flow, packet.clone(), Vec::new(), part, verifying);
            out.push(Output::Send(agent, question));
        }
    }

    /// Sends a packet to as many of the candidates as fit into a datagram.
    fn ask(
        &mut self,
        flow: &Flow,
        packet: Vec<u8>,
        mut candidates: Vec<SocketAddr>,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let Some(tracked) = self.flows.get_mut(flow) else {
            return;
        };
        candidates.truncate(CANDIDATES_MAX);
        let part = tracked.search.send(&candidates, now);
        let verifying = tracked.search.verifying();
        let first = candidates.remove(0);
        let question = self.question(flow, packet, candidates, part, verifying);
        out.push(Output::Send(first, question));
    }

    /// A packet of a lookup, which asks agents whether their servers hold its flow.
    fn question(
        &self,
        flow: &Flow,
        packet: Vec<u8>,
        candidates: Vec<SocketAddr>,
        part: u8,
        verifying: bool,
    ) -> Message {
        let mut forward = self.forward(flow, packet, candidates);
        forward.lookup = true;
        forward.passes = part;
        match verifying {
            true => Message::Verify(forward),
            false => Message::Forward(forward),
        }
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
        tracked.search.finish();
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

    /// Asks the agents whose answers are needed. Once all that are heard have answered, makes those ask
    /// their servers that went by their records. Resets the flow once all agents have answered that
    /// are known now, and their servers have said that they don't hold it.
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
        let discovered = self.discovery_done(now);
        // The directory may be down for long.
        let started = now.saturating_duration_since(self.discovery_started);
        let verifiable = discovered || started > DISCOVERY_TIME_ALONE;
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
        let Some(answer) = tracked.search.exhaust(forward.passes, forward.asked) else {
            return;
        };
        // An agent that was lost may never answer.
        let mut heard = found.responsive.iter().chain(&found.overdue);
        let awaited = heard.any(|agent| tracked.search.awaits(agent));
        let mut candidates = in_order(found, tracked);
        let unverified = candidates
            .iter()
            .any(|agent| tracked.search.unverified(agent));
        let verification_begins =
            !awaited && unverified && !tracked.search.verifying() && verifiable;
        if verification_begins {
            tracked.search.verify(now);
        }
        candidates.retain(|agent| tracked.search.awaits(agent));
        if !candidates.is_empty() {
            // The others are probed beside this one.
            if answer == Answer::Part || verification_begins {
                self.ask(&flow, forward.packet.clone(), candidates, now, out);
            }
        } else if discovered {
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
    for candidates in found.groups() {
        candidates.sort_by_key(|candidate| tracked.likelihood(candidate));
    }
    found
        .groups()
        .into_iter()
        .flat_map(std::mem::take)
        .collect()
}

//! Searches for the agent of an open flow.

use std::time::{Duration, Instant};

use crate::packet::{Flow, Protocol};
use crate::steering::balancer_flow::{Acceptance, BalancerFlow};
use crate::steering::message::{Forward, Message, Owner};
use crate::steering::note::Topic;
use crate::steering::roster::Holders;
use crate::steering::segment::Segment;

use super::{note, Balancer, Output, CANDIDATES_MAX};

/// Time after the start before a search without a result counts as evidence that a flow's server
/// is gone.
const LEARN_TIME: Duration = Duration::from_millis(600);
/// Packets that come within this time belong to one search: a client sends several at once, and
/// repeats the first after 200 ms at the earliest.
const SEARCH_TIME: Duration = Duration::from_millis(100);

impl Balancer {
    /// Sends a packet of a flow whose agent isn't known along the candidates.
    pub(super) fn lookup(
        &mut self,
        segment: Segment,
        packet: Vec<u8>,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let flow = segment.flow;
        let routes = &self.routes;
        let likely = |service: &str| routes.allowed(&flow.destination, service);
        let Holders {
            mut prompt,
            mut late,
        } = self.roster.holders(likely, &flow, now);
        let Some(likeliest) = prompt.first().or(late.first()).copied() else {
            return;
        };
        let tracked = self
            .flows
            .entry(flow)
            .or_insert_with(|| BalancerFlow::new(likeliest, now));
        tracked.last_packet_at = now;
        let recent = |at| now.saturating_duration_since(at) < SEARCH_TIME;
        let begins = !tracked.lookup_started.is_some_and(recent);
        if begins {
            tracked.lookup_started = Some(now);
            tracked.lookups += 1;
        }
        let search = tracked.lookups.saturating_sub(1);
        // Agents that were asked to open the flow come first.
        let (asked, agent) = (&tracked.tried_agents, tracked.agent);
        for holders in [&mut prompt, &mut late] {
            holders.sort_by_key(|holder| (*holder != agent, !asked.contains(holder)));
            // A candidate out of reach would stop every lookup at the same place.
            let skip = search as usize / 2 % holders.len().max(1);
            holders.rotate_left(skip);
            if search % 2 == 1 {
                holders.reverse();
            }
        }
        let mut holders = prompt;
        holders.append(&mut late);
        // Agents missing in the directory have announced themselves by then.
        let learned = self.listed && now.saturating_duration_since(self.started) > LEARN_TIME;
        let complete = learned && holders.len() <= CANDIDATES_MAX;
        holders.truncate(CANDIDATES_MAX);
        if begins && tracked.lookups == 1 && asked.is_empty() {
            out.push(note(
                Topic::Lookup,
                format!(
                    "flow={flow} first={} candidates={}",
                    holders[0],
                    holders.len()
                ),
            ));
        }
        let first = holders.remove(0);
        let mut forward = self.forward(&flow, packet, holders);
        forward.lookup = true;
        forward.complete = complete;
        out.push(Output::Send(first, Message::Forward(forward)));
    }

    pub(super) fn owner(&mut self, owner: Owner, now: Instant, out: &mut Vec<Output>) {
        self.roster.heard(&owner.agent, now);
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
        let Some(sequence) = owner.accepted else {
            tracked.set_owner(owner.agent, owner.process);
            tracked.chosen_by_client = true;
            tracked.acceptances.clear();
            return;
        };
        if tracked.chosen_by_client {
            return;
        }
        if !tracked.confirmed {
            let latency = now.saturating_duration_since(tracked.first_packet_at);
            out.push(Output::Latency(latency));
        }
        if tracked.acceptances.is_empty() {
            tracked.set_owner(owner.agent, owner.process);
        }
        tracked.acceptances.push(Acceptance {
            sequence,
            agent: owner.agent,
            process: owner.process,
        });
        // The client's answer may have arrived before.
        tracked.select_acceptance(tracked.acknowledged);
    }

    /// No candidate took the packet.
    pub(super) fn exhausted(
        &mut self,
        segment: Segment,
        forward: &Forward,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let flow = segment.flow;
        if segment.opens() {
            // Another agent that was asked may still accept the flow.
            let only =
                |tracked: &BalancerFlow| !tracked.confirmed && tracked.tried_agents.len() <= 1;
            if self.flows.get(&flow).is_some_and(only) {
                self.flows.remove(&flow);
                self.reset(segment, "no_server_accepts", out);
            }
            return;
        }
        if !forward.lookup {
            if let Some(tracked) = self.flows.get_mut(&flow) {
                tracked.confirmed = false;
                tracked.chosen_by_client = false;
            }
            self.lookup(segment, forward.packet.clone(), now, out);
            return;
        }
        if forward.complete {
            self.flows.remove(&flow);
            self.reset(segment, "no_server_holds_it", out);
        }
    }

    fn reset(&self, segment: Segment, reason: &str, out: &mut Vec<Output>) {
        out.push(note(
            Topic::Reset,
            format!(
                "flow={} reason={reason} agents={}",
                segment.flow,
                self.roster.len()
            ),
        ));
        out.push(Output::Reset {
            flow: segment.flow,
            sequence: segment.acknowledgement,
        });
    }
}

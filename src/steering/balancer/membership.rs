//! Tracks agents and other balancers (peers).

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::seq::SliceRandom;

use crate::id::Era;
use crate::steering::balancer_flow::{BalancerFlow, Owner};
use crate::steering::log_event::{LogEvent, Reason, Topic};
use crate::steering::message::{Announce, Digest, Message};
use crate::steering::roster::{
    reachable, Entry, InvalidField, Member, Process, State, OVERDUE_AFTER, SUSPECT_AFTER,
};
use crate::steering::watch::Slot;

use super::evidence::Change;
use super::{log_event, Balancer, Output, DIGEST_INTERVAL};

/// Number of times that a balancer tells an agent of a new era of the store.
const ERA_NOTICES: u32 = 3;
/// Number of random peers that receive each digest.
const DIGEST_FANOUT: usize = 3;
/// A balancer that hears none of its agents for this long is cut off from them: each has missed two
/// announcements.
const ISOLATED_AFTER: Duration = Duration::from_millis(900);
/// Digests of a peer that may be missed, at the average interval between those of one peer, until
/// the peer counts as stopped.
const MISSED_DIGESTS_MAX: usize = 4;
/// Minimum number of agents whose common silence counts as a cut: fewer may all have failed
/// themselves.
const ISOLATED_AGENTS_MIN: usize = 3;

impl Balancer {
    /// Whether all agents that this balancer has ever heard from are silent.
    pub(super) fn isolated(&self) -> bool {
        let heard = |entry: &Entry| entry.heard_directly.then_some(entry.last_heard);
        let heard: Vec<_> = self.roster.iter().filter_map(heard).collect();
        let silent = |last| self.last_tick.saturating_duration_since(last) > ISOLATED_AFTER;
        heard.len() >= ISOLATED_AGENTS_MIN && heard.into_iter().max().is_some_and(silent)
    }

    /// Merges the agents' records and the balancers that the directory lists.
    pub fn merge_directory(
        &mut self,
        members: Vec<Member>,
        balancers: Vec<SocketAddr>,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        self.directory_read = true;
        for member in members {
            match member.validate() {
                Ok(()) => self.merge_member(member, false, now, out),
                Err(field) => out.push(ignored_member(&member, field)),
            }
        }
        for peer in balancers.into_iter().filter(reachable) {
            self.add_peer(peer, now);
        }
        self.send_balancers_to_agents(out);
        self.digest_due = now;
    }

    /// Adds another balancer that may be running, such as one named in the settings.
    pub fn add_peer(&mut self, peer: SocketAddr, now: Instant) {
        if peer != self.address {
            self.peers.entry(peer).or_insert(now);
        }
    }

    /// Logs servers that have become outliers of their service, or no longer are.
    pub(super) fn check_outliers(&mut self, out: &mut Vec<Output>) {
        for agent in self.roster.update_outliers() {
            let outlier = self.roster.get(&agent).is_some_and(|entry| entry.outlier);
            let stats = self.roster.stats(&agent);
            out.push(log_event(
                Topic::Outlier,
                format!(
                    "agent={agent} outlier={outlier} mean_ms={} failed_permille={}",
                    stats.map_or(0, |stats| stats.mean.as_millis()),
                    stats.map_or(0, |stats| stats.failed)
                ),
            ));
        }
    }

    pub(super) fn receive_announce(
        &mut self,
        announce: Announce,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        if let Err(field) = announce.member.validate() {
            out.push(ignored_member(&announce.member, field));
            return;
        }
        let agent = announce.member.agent;
        let held = self.roster.get(&agent).map(|e| e.member.incarnation);
        if let Some(held) = held.filter(|held| *held > announce.member.incarnation) {
            out.push(Output::Send(agent, Message::Superseded(held)));
        }
        self.merge_member(announce.member.clone(), true, now, out);
        self.roster.record_load(&announce);
        self.notify_of_era(agent, out);
        if announce.balancers as usize != self.peers.len() + 1 {
            let balancers = self.balancers();
            out.push(Output::Send(agent, Message::Balancers(balancers)));
        }
    }

    /// Sets the era in which the store has answered this process. Tells a later one to the peers at
    /// once, and to agents when they announce themselves.
    pub fn store_era(&mut self, era: Era, out: &mut Vec<Output>) {
        if era <= self.store_era {
            return;
        }
        self.store_era = era;
        self.era_notices.clear();
        for peer in self.peers.keys() {
            out.push(Output::Send(*peer, Message::StoreEra(era)));
        }
    }

    /// Tells an agent of the store's era, several times, as datagrams may be lost.
    fn notify_of_era(&mut self, agent: SocketAddr, out: &mut Vec<Output>) {
        let notices = self.era_notices.entry(agent).or_default();
        if self.store_era > Era::default() && *notices < ERA_NOTICES {
            *notices += 1;
            out.push(Output::Send(agent, Message::StoreEra(self.store_era)));
        }
    }

    fn merge_member(&mut self, member: Member, direct: bool, now: Instant, out: &mut Vec<Output>) {
        let agent = member.agent;
        let entry = self.roster.get(&agent);
        let previous = entry.and_then(|entry| entry.process);
        let previous_started = entry.map_or(0, |entry| entry.process_started);
        let changed = self.roster.merge(member, direct, now);
        if !self.roster.left(&agent, now) {
            self.named_agents.remove(&agent);
        }
        if !changed {
            return;
        }
        let Some(Entry {
            member,
            process,
            process_started,
            ..
        }) = self.roster.get(&agent)
        else {
            return;
        };
        out.push(log_event(
            Topic::Member,
            format!(
                "agent={agent} service={} server={} state={} incarnation={} sequence={} \
                 direct={direct}",
                member.service, member.server, member.state, member.incarnation, member.sequence
            ),
        ));
        let (process, gone) = (*process, member.state == State::Gone);
        // A restarted agent may get a delayed heartbeat of an earlier process first.
        let succeeded = previous != process && *process_started >= previous_started;
        let change = Change {
            agent,
            before: previous,
            after: process.filter(|_| !gone),
            state: member.state,
            direct,
        };
        let ended = [previous.filter(|_| succeeded), process.filter(|_| gone)];
        for process in ended.into_iter().flatten() {
            self.reset_ended_flows(process, &change, now, out);
        }
    }

    /// Resets the flows at a server process that a change of its agent's record has ended, so that
    /// their clients don't use them for further requests. Flows at other processes stay: the record
    /// may be older than the report of their owner.
    fn reset_ended_flows(
        &mut self,
        ended: Process,
        change: &Change,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let lost = |tracked: &BalancerFlow| {
            let at_process =
                |owner: Owner| owner.agent == change.agent && owner.process == Some(ended);
            !tracked.finished && tracked.owner.is_some_and(at_process)
        };
        let mut ended: Vec<_> = self.flows.extract_if(|_, tracked| lost(tracked)).collect();
        ended.sort_by_key(|(flow, _)| flow.source);
        for (flow, tracked) in ended {
            let evidence = change.evidence(&tracked, now);
            let event = LogEvent::reset(flow, Reason::ServerEnded, evidence);
            out.push(Output::Log(event));
            out.push(Output::Reset {
                flow,
                sequence: tracked.acknowledged,
            });
        }
    }

    pub(super) fn receive_digest(
        &mut self,
        from: SocketAddr,
        digest: Digest,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        self.peers.insert(from, now);
        self.digest_senders.insert(from);
        // A peer that has just started may know fewer agents than others.
        self.digest_received |= digest.balancers.contains(&digest.source);
        // The sender has just started if it has heard no agent.
        if digest.agents.is_empty() && !self.roster.is_empty() {
            let reply = self.digest(now);
            out.push(Output::Send(from, Message::Digest(reply)));
        }
        let known_peers: HashSet<SocketAddr> = self.peers.keys().copied().collect();
        for peer in digest.balancers {
            if !known_peers.contains(&peer) && reachable(&peer) {
                self.add_peer(peer, now);
            }
        }
        // An agent that only the peer knows announces itself once it has this balancer's address.
        for agent in digest.agents.into_iter().filter(reachable) {
            if self.roster.get(&agent).is_none() || self.roster.left(&agent, now) {
                self.named_agents.insert(agent, now);
                let balancers = self.balancers();
                out.push(Output::Send(agent, Message::Balancers(balancers)));
            }
        }
        if digest.generation > self.generation() {
            out.push(Output::Fetch(digest.source));
        }
    }

    fn digest(&self, now: Instant) -> Digest {
        // An agent whose server has ended often leaves as well. It isn't named for longer than it is
        // heard, as peers ask the agents that are named.
        let named_for = |entry: &Entry| match entry.member.state {
            State::Gone => OVERDUE_AFTER,
            _ => Duration::from_secs(3),
        };
        let heard =
            |entry: &Entry| now.saturating_duration_since(entry.last_heard) < named_for(entry);
        let agents = self
            .roster
            .iter()
            .filter(|entry| entry.heard_directly && heard(entry))
            .map(|entry| entry.member.agent)
            .collect();
        let mut balancers = self.balancers();
        if !self.discovery_done(now) {
            balancers.retain(|balancer| *balancer != self.address);
        }
        Digest {
            generation: self.generation(),
            balancers,
            agents,
            source: self.address,
        }
    }

    pub(super) fn send_digests(&mut self, now: Instant, out: &mut Vec<Output>) {
        let digest = self.digest(now);
        let mut peers: Vec<_> = self.peers.keys().copied().collect();
        peers.shuffle(&mut self.random);
        for peer in peers.into_iter().take(DIGEST_FANOUT) {
            out.push(Output::Send(peer, Message::Digest(digest.clone())));
        }
    }

    /// Reports this balancer's slot among the peers that run, if it has changed.
    pub(super) fn update_slot(&mut self, now: Instant, out: &mut Vec<Output>) {
        let rounds = self.peers.len().div_ceil(DIGEST_FANOUT) * MISSED_DIGESTS_MAX;
        let limit = DIGEST_INTERVAL * rounds as u32;
        let running = |heard: &Instant| now.saturating_duration_since(*heard) <= limit;
        let peers = self.peers.iter().filter(|(_, heard)| running(heard));
        let (before, after): (Vec<_>, Vec<_>) = peers.partition(|(peer, _)| **peer < self.address);
        let slot = Slot::between(before.len(), after.len());
        if slot != self.slot {
            self.slot = slot;
            out.push(Output::Slot(slot));
        }
    }

    /// Sends the list of balancers to agents that aren't heard: they may not know this balancer.
    pub(super) fn remind_silent_agents(&self, now: Instant, out: &mut Vec<Output>) {
        let silent = |entry: &&Entry| {
            let unheard = now.saturating_duration_since(entry.last_heard) > SUSPECT_AFTER;
            unheard && entry.member.state != State::Gone
        };
        for entry in self.roster.iter().filter(silent) {
            let message = Message::Balancers(self.balancers());
            out.push(Output::Send(entry.member.agent, message));
        }
    }

    /// Sends the list of balancers to all agents.
    fn send_balancers_to_agents(&self, out: &mut Vec<Output>) {
        for entry in self.roster.iter() {
            let message = Message::Balancers(self.balancers());
            out.push(Output::Send(entry.member.agent, message));
        }
    }

    fn balancers(&self) -> Vec<SocketAddr> {
        let mut balancers: Vec<_> = self.peers.keys().copied().collect();
        balancers.push(self.address);
        balancers
    }
}

fn ignored_member(member: &Member, field: InvalidField) -> Output {
    log_event(
        Topic::MemberIgnored,
        format!("agent={} reason={field}_out_of_range", member.agent),
    )
}

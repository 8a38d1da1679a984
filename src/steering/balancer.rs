//! The balancer's decisions: which agent gets a client's packet.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::seq::SliceRandom;

use crate::id::Generation;
use crate::packet::{Flow, Protocol};

use super::known::{Acceptance, Known};
use super::message::{Announce, Digest, Forward, Message, Owner};
use super::note::{Note, Topic};
use super::roster::{Entry, Member, Process, Roster, State};
use super::routes::{Repeat, Routes, Table};
use super::segment::Segment;

/// How often [`Balancer::tick`] is meant to be called.
pub const TICK: Duration = Duration::from_millis(20);
/// A tick that comes later than this shows that the process stood still.
const PAUSE: Duration = Duration::from_millis(400);
/// Time for an agent to report an accepted flow before another one is asked: several round trips
/// between failure domains.
const HEDGE_AFTER: Duration = Duration::from_millis(60);
/// Agents asked for one opening packet before the client sends its next copy.
const HEDGES_MAX: u8 = 2;
/// Time between comparisons of the servers of each service: half of an announcement's period.
const JUDGE_EVERY: Duration = Duration::from_millis(200);
/// Time between removals of what is out of date.
const EXPIRE_EVERY: Duration = Duration::from_secs(1);
/// Flows without packets are forgotten after this time; their next packet is a lookup.
const FORGET_FLOW_AFTER: Duration = Duration::from_secs(65);
/// Most candidates named in one packet, which keeps a datagram below 2 KB.
const CANDIDATES_MAX: usize = 64;
/// Time between digests to peers.
const DIGEST_EVERY: Duration = Duration::from_millis(500);
/// Peers that receive each digest.
const DIGEST_FANOUT: usize = 3;
/// Peers not heard for this long are forgotten.
const FORGET_PEER_AFTER: Duration = Duration::from_secs(60);
/// Time after the start before a search without a result counts as evidence that a flow's server
/// is gone.
const LEARN_TIME: Duration = Duration::from_millis(600);

/// A balancer that hears none of its agents for this long is cut off from them: two announcements
/// of each are missing.
const ISOLATED_AFTER: Duration = Duration::from_millis(900);
/// Fewer agents than this may be silent because they have failed themselves.
const ISOLATED_AGENTS: usize = 3;

/// What the shell has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to an agent or a balancer.
    Send(SocketAddr, Message),
    /// Reset the client's end of a flow.
    Reset {
        /// The flow.
        flow: Flow,
        /// Sequence number that the client accepts.
        sequence: u32,
    },
    /// Fetch a newer configuration from a peer.
    Fetch(SocketAddr),
    /// Record the time from an opening packet to the report of its acceptance.
    Latency(Duration),
    /// Log a decision or a change.
    Note(Note),
}

/// An opening packet whose acceptance is awaited.
#[derive(Debug)]
struct Opening {
    flow: Flow,
    packet: Vec<u8>,
    service: String,
    hedges: u8,
    due: Instant,
}

/// A balancer.
#[derive(Debug)]
pub struct Balancer {
    /// Where agents and peers reach this balancer.
    address: SocketAddr,
    routes: Table,
    roster: Roster,
    flows: HashMap<Flow, Known>,
    /// Ordered by `due`, because all of them wait for the same time.
    opening: VecDeque<Opening>,
    peers: HashMap<SocketAddr, Instant>,
    started: Instant,
    ticked: Instant,
    digest_due: Instant,
    judge_due: Instant,
    expire_due: Instant,
    /// Whether the directory's list of agents was read.
    listed: bool,
}

impl Balancer {
    /// A balancer that knows nothing yet.
    pub fn new(address: SocketAddr, now: Instant) -> Self {
        Self {
            address,
            routes: Table::default(),
            roster: Roster::default(),
            flows: HashMap::new(),
            opening: VecDeque::new(),
            peers: HashMap::new(),
            started: now,
            ticked: now,
            digest_due: now,
            judge_due: now,
            expire_due: now,
            listed: false,
        }
    }

    /// Whether the balancer can serve: it has a configuration, knows agents and hears them.
    pub fn ready(&self) -> bool {
        let informed = self.listed || !self.roster.is_empty();
        self.configured() && informed && !self.isolated()
    }

    /// Whether all agents that this balancer has heard before are silent.
    fn isolated(&self) -> bool {
        let heard = |entry: &Entry| entry.direct.then_some(entry.heard);
        let heard: Vec<_> = self.roster.iter().filter_map(heard).collect();
        let silent = |last| self.ticked.saturating_duration_since(last) > ISOLATED_AFTER;
        heard.len() >= ISOLATED_AGENTS && heard.into_iter().max().is_some_and(silent)
    }

    /// Whether the balancer has a configuration, without which it can place no flow.
    pub fn configured(&self) -> bool {
        self.routes.generation() > Generation(0)
    }

    /// Generation of the configuration in force.
    pub fn generation(&self) -> Generation {
        self.routes.generation()
    }

    /// Number of flows remembered.
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Number of agents known.
    pub fn agents(&self) -> usize {
        self.roster.len()
    }

    /// Adopts a configuration if it is newer.
    pub fn configure(&mut self, routes: Routes, source: &str, out: &mut Vec<Output>) {
        let (generation, version, count) = (routes.generation, routes.version, routes.routes.len());
        if self.routes.adopt(routes) {
            out.push(note(
                Topic::ConfigurationAdopted,
                format!(
                    "generation={generation} version={version} \
                 routes={count} source={source}"
                ),
            ));
            self.digest_due = self.ticked;
        }
    }

    /// Merges records and balancers that the directory lists.
    pub fn directory(
        &mut self,
        members: Vec<Member>,
        balancers: Vec<SocketAddr>,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        self.listed = true;
        for member in members {
            self.merge(member, false, now, out);
        }
        for peer in balancers {
            self.meet(peer, now);
        }
        self.greet_agents(out);
        self.digest_due = now;
    }

    /// Adds a balancer that may be alive, such as one named in the settings.
    pub fn meet(&mut self, peer: SocketAddr, now: Instant) {
        if peer != self.address {
            self.peers.entry(peer).or_insert(now);
        }
    }

    /// A client's packet.
    pub fn packet(
        &mut self,
        segment: Segment,
        packet: Vec<u8>,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let flow = segment.flow;
        let Some(route) = self.routes.get(&flow.destination) else {
            self.unroutable(segment, out);
            return;
        };
        if segment.opens() {
            let service = route.service(&flow).to_owned();
            self.open(segment, packet, service, now, out);
            return;
        }
        if let Some(known) = self.flows.get_mut(&flow) {
            known.seen = now;
            known.acknowledged = segment.acknowledgement;
            known.choose(segment.acknowledgement);
            let (agent, confirmed) = (known.agent, known.confirmed);
            let gone = self
                .roster
                .get(&agent)
                .is_none_or(|entry| entry.member.state == State::Gone);
            if confirmed && !gone {
                let forward = self.forward(&flow, packet, Vec::new());
                out.push(Output::Send(agent, Message::Forward(forward)));
                return;
            }
        }
        self.lookup(segment, packet, now, out);
    }

    /// A message from an agent or a peer.
    pub fn message(
        &mut self,
        from: SocketAddr,
        message: Message,
        decode: impl Fn(&[u8]) -> Option<Segment>,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::Owner(owner) => self.owner(owner, now, out),
            Message::Announce(announce) => self.announce(announce, now, out),
            Message::Digest(digest) => self.digest(from, digest, now, out),
            Message::Exhausted(forward) => {
                if let Some(segment) = decode(&forward.packet) {
                    self.exhausted(segment, &forward, now, out);
                }
            }
            Message::Forward(_) | Message::Balancers(_) => {
                out.push(note(
                    Topic::MessageIgnored,
                    format!("from={from} reason=not_for_a_balancer"),
                ));
            }
        }
    }

    /// Runs everything that is due.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        let pause = now.saturating_duration_since(self.ticked);
        if pause > PAUSE {
            self.roster.resumed(pause);
            for heard in self.peers.values_mut() {
                *heard += pause;
            }
            out.push(note(
                Topic::Resumed,
                format!("pause_ms={}", pause.as_millis()),
            ));
        }
        self.ticked = now;
        self.hedge(now, out);
        if now >= self.judge_due {
            self.judge_due = now + JUDGE_EVERY;
            self.judge(out);
        }
        if now >= self.digest_due {
            self.digest_due = now + DIGEST_EVERY;
            self.send_digests(now, out);
        }
        if now >= self.expire_due {
            self.expire_due = now + EXPIRE_EVERY;
            self.roster.expire(now);
            self.flows
                .retain(|_, known| now.saturating_duration_since(known.seen) < FORGET_FLOW_AFTER);
            self.peers
                .retain(|_, heard| now.saturating_duration_since(*heard) < FORGET_PEER_AFTER);
        }
    }

    /// Finds servers that answer unlike the others of their service.
    fn judge(&mut self, out: &mut Vec<Output>) {
        for agent in self.roster.judge() {
            let outlier = self.roster.get(&agent).is_some_and(|entry| entry.outlier);
            let pace = self.roster.pace(&agent);
            out.push(note(
                Topic::Outlier,
                format!(
                    "agent={agent} outlier={outlier} mean_ms={} failed_permille={}",
                    pace.map_or(0, |pace| pace.mean.as_millis()),
                    pace.map_or(0, |pace| pace.failed)
                ),
            ));
        }
    }

    /// A packet to an address without a route. Nothing is answered: a reset could end a flow of a
    /// configuration that this balancer hasn't seen yet.
    fn unroutable(&mut self, segment: Segment, out: &mut Vec<Output>) {
        if segment.opens() {
            out.push(note(
                Topic::Dropped,
                format!(
                    "flow={} reason=no_route generation={}",
                    segment.flow,
                    self.routes.generation()
                ),
            ));
        }
    }

    fn open(
        &mut self,
        segment: Segment,
        packet: Vec<u8>,
        service: String,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let flow = segment.flow;
        let openers = self.roster.openers(&service, &flow, now);
        let known = self
            .flows
            .entry(flow)
            .or_insert_with(|| Known::new(self.address, now));
        known.seen = now;
        // A copy goes to an agent that hasn't had the packet: the others may be out of reach.
        let fresh = |agent: &&SocketAddr| !known.asked.contains(agent);
        let first = openers.iter().find(fresh).or(openers.first()).copied();
        let Some(first) = first else {
            out.push(note(
                Topic::Dropped,
                format!(
                    "flow={flow} service={service} reason=no_server agents={}",
                    self.roster.len()
                ),
            ));
            return;
        };
        if known.asked.is_empty() {
            known.agent = first;
        }
        if !known.asked.contains(&first) {
            known.asked.push(first);
        }
        let asked = known.asked.clone();
        let rest: Vec<_> = openers
            .into_iter()
            .filter(|agent| !asked.contains(agent))
            .take(CANDIDATES_MAX)
            .collect();
        out.push(note(
            Topic::Placed,
            format!(
                "flow={flow} service={service} agent={first} copy={} generation={}",
                segment.acknowledgement,
                self.routes.generation()
            ),
        ));
        self.roster.opened(&first);
        self.opening.push_back(Opening {
            flow,
            packet: packet.clone(),
            service: service.clone(),
            hedges: 0,
            due: now + HEDGE_AFTER,
        });
        let mut forward = self.forward(&flow, packet, rest);
        forward.service = service;
        out.push(Output::Send(first, Message::Forward(forward)));
    }

    /// Gives opening packets without an answer to another agent.
    fn hedge(&mut self, now: Instant, out: &mut Vec<Output>) {
        while self
            .opening
            .front()
            .is_some_and(|opening| opening.due <= now)
        {
            let Some(mut opening) = self.opening.pop_front() else {
                return;
            };
            let Some(known) = self.flows.get_mut(&opening.flow) else {
                continue;
            };
            if known.confirmed || opening.hedges >= HEDGES_MAX {
                continue;
            }
            let openers = self.roster.openers(&opening.service, &opening.flow, now);
            let asked = known.asked.clone();
            let mut rest = openers.into_iter().filter(|agent| !asked.contains(agent));
            let Some(next) = rest.next() else {
                continue;
            };
            known.asked.push(next);
            out.push(note(
                Topic::PlacedAgain,
                format!(
                    "flow={} service={} agent={next} reason=no_acceptance \
                 waited_ms={}",
                    opening.flow,
                    opening.service,
                    HEDGE_AFTER.as_millis()
                ),
            ));
            let rest = rest.take(CANDIDATES_MAX).collect();
            let (service, packet) = (opening.service.clone(), opening.packet.clone());
            let flow = opening.flow;
            opening.hedges += 1;
            opening.due = now + HEDGE_AFTER;
            self.opening.push_back(opening);
            let mut forward = self.forward(&flow, packet, rest);
            forward.service = service;
            out.push(Output::Send(next, Message::Forward(forward)));
        }
    }

    /// Sends a packet of a flow whose agent isn't known along the candidates.
    fn lookup(&mut self, segment: Segment, packet: Vec<u8>, now: Instant, out: &mut Vec<Output>) {
        let flow = segment.flow;
        let routes = &self.routes;
        let likely = |service: &str| routes.allowed(&flow.destination, service);
        let mut holders = self.roster.holders(likely, &flow, now);
        // Agents missing in the directory have announced themselves by then.
        let learned = self.listed && now.saturating_duration_since(self.started) > LEARN_TIME;
        let complete = learned && holders.len() <= CANDIDATES_MAX;
        holders.truncate(CANDIDATES_MAX);
        if holders.is_empty() {
            return;
        }
        let known = self
            .flows
            .entry(flow)
            .or_insert_with(|| Known::new(holders[0], now));
        known.seen = now;
        // Agents that were asked to open the flow come first.
        let (asked, agent) = (&known.asked, known.agent);
        holders.sort_by_key(|holder| (*holder != agent, !asked.contains(holder)));
        // A candidate out of reach would stop every lookup at the same place.
        let skip = known.lookups as usize / 2 % holders.len();
        known.lookups += 1;
        holders.rotate_left(skip);
        if known.lookups == 1 && asked.is_empty() {
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

    /// A packet on its way, for an open flow whose agent is known unless the caller changes that.
    fn forward(&self, flow: &Flow, packet: Vec<u8>, candidates: Vec<SocketAddr>) -> Forward {
        let route = self.routes.get(&flow.destination);
        Forward {
            at_most_once: route.is_none_or(|route| route.repeat == Repeat::AtMostOnce),
            service: String::new(),
            origin: self.address,
            lookup: false,
            candidates,
            passes: 0,
            complete: false,
            packet,
        }
    }

    fn owner(&mut self, owner: Owner, now: Instant, out: &mut Vec<Output>) {
        self.roster.heard(&owner.agent, now);
        let flow = Flow {
            protocol: Protocol::Tcp,
            source: owner.client,
            destination: owner.address,
        };
        let known = self
            .flows
            .entry(flow)
            .or_insert_with(|| Known::new(owner.agent, now));
        known.lookups = 0;
        let Some(sequence) = owner.accepted else {
            known.own(owner.agent, owner.process);
            known.accepted.clear();
            return;
        };
        if !known.confirmed {
            let latency = now.saturating_duration_since(known.since);
            out.push(Output::Latency(latency));
        }
        if known.accepted.is_empty() {
            known.own(owner.agent, owner.process);
        }
        known.accepted.push(Acceptance {
            sequence,
            agent: owner.agent,
            process: owner.process,
        });
    }

    /// No candidate took the packet.
    fn exhausted(
        &mut self,
        segment: Segment,
        forward: &Forward,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let flow = segment.flow;
        if segment.opens() {
            // Another agent that was asked may still accept the flow.
            let only = |known: &Known| !known.confirmed && known.asked.len() <= 1;
            if self.flows.get(&flow).is_some_and(only) {
                self.flows.remove(&flow);
                self.reset(segment, "no_server_accepts", out);
            }
            return;
        }
        if !forward.lookup {
            if let Some(known) = self.flows.get_mut(&flow) {
                known.confirmed = false;
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

    fn announce(&mut self, announce: Announce, now: Instant, out: &mut Vec<Output>) {
        let agent = announce.member.agent;
        self.merge(announce.member.clone(), true, now, out);
        self.roster.load(&announce);
        if announce.balancers as usize != self.peers.len() + 1 {
            let balancers = self.balancers();
            out.push(Output::Send(agent, Message::Balancers(balancers)));
        }
    }

    fn merge(&mut self, member: Member, direct: bool, now: Instant, out: &mut Vec<Output>) {
        let agent = member.agent;
        if !self.roster.merge(member, direct, now) {
            return;
        }
        let Some(Entry { member, .. }) = self.roster.get(&agent) else {
            return;
        };
        out.push(note(
            Topic::Member,
            format!(
                "agent={agent} service={} server={} state={} incarnation={} sequence={} \
                 direct={direct}",
                member.service, member.server, member.state, member.incarnation, member.sequence
            ),
        ));
        let ended = member.state == State::Gone;
        let process = member.process();
        if !member.server.is_empty() {
            self.end_flows(agent, (!ended).then_some(process), out);
        }
    }

    /// Resets the flows that this balancer knows to be at former servers of an agent, so that their
    /// clients don't use them for further requests.
    fn end_flows(&mut self, agent: SocketAddr, current: Option<Process>, out: &mut Vec<Output>) {
        let lost = |known: &Known| {
            known.agent == agent && known.process.is_some() && known.process != current
        };
        let ended: Vec<_> = self.flows.extract_if(|_, known| lost(known)).collect();
        for (flow, known) in ended {
            out.push(note(
                Topic::Reset,
                format!("flow={flow} reason=server_ended agent={agent}"),
            ));
            out.push(Output::Reset {
                flow,
                sequence: known.acknowledged,
            });
        }
    }

    fn digest(&mut self, from: SocketAddr, digest: Digest, now: Instant, out: &mut Vec<Output>) {
        self.peers.insert(from, now);
        let known: HashSet<SocketAddr> = self.peers.keys().copied().collect();
        for peer in digest.balancers {
            if !known.contains(&peer) {
                self.meet(peer, now);
            }
        }
        // An agent that only the peer knows is told of this balancer and then announces itself.
        for agent in digest.agents {
            if self.roster.get(&agent).is_none() {
                let balancers = self.balancers();
                out.push(Output::Send(agent, Message::Balancers(balancers)));
            }
        }
        if digest.generation > self.routes.generation() {
            out.push(Output::Fetch(digest.source));
        }
    }

    fn send_digests(&mut self, now: Instant, out: &mut Vec<Output>) {
        let heard = |at: &Instant| now.saturating_duration_since(*at) < Duration::from_secs(3);
        let agents = self
            .roster
            .iter()
            .filter(|entry| entry.direct && heard(&entry.heard))
            .map(|entry| entry.member.agent)
            .collect();
        let digest = Digest {
            generation: self.routes.generation(),
            balancers: self.balancers(),
            agents,
            source: self.address,
        };
        let mut peers: Vec<_> = self.peers.keys().copied().collect();
        peers.shuffle(&mut rand::rng());
        for peer in peers.into_iter().take(DIGEST_FANOUT) {
            out.push(Output::Send(peer, Message::Digest(digest.clone())));
        }
    }

    /// Tells all agents which balancers there are.
    fn greet_agents(&self, out: &mut Vec<Output>) {
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

fn note(topic: Topic, text: String) -> Output {
    Output::Note(Note::new(topic, text))
}

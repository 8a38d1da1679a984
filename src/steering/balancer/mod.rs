//! The balancer: chooses the agent for each client packet.

mod evidence;
mod lookup;
mod membership;
mod placement;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::SeedableRng;

use crate::hash::hash_bytes;
use crate::id::{Era, Generation};
use crate::packet::Flow;
use crate::steering::balancer_flow::{BalancerFlow, Owner};
use crate::steering::log_event::{LogEvent, Topic};
use crate::steering::message::{Forward, Message};
use crate::steering::roster::Roster;
use crate::steering::routes::{Repeat, RouteTable, Routes, Source};
use crate::steering::segment::Segment;
use crate::steering::watch::Slot;

use placement::PendingPlacement;

/// Interval at which [`Balancer::tick`] has to be called.
pub const TICK: Duration = Duration::from_millis(20);
/// A longer time between two ticks means that the process was suspended.
const PAUSE_MIN: Duration = Duration::from_millis(400);
/// Time to read what has arrived during a suspension.
const BACKLOG_TIME: Duration = Duration::from_millis(200);
/// Interval between comparisons of the servers of each service: half the announcement interval.
const OUTLIER_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between removals of expired agents, flows and peers.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);
/// Flows without packets are removed after this time; their next packet causes a lookup.
const FLOW_EXPIRY: Duration = Duration::from_secs(65);
/// Maximum number of candidates in a forwarded packet, which keeps a datagram below 2 KB. A lookup
/// of more agents goes on with the next ones when the packet comes back.
const CANDIDATES_MAX: usize = 64;
/// Interval between digests to peers.
const DIGEST_INTERVAL: Duration = Duration::from_millis(500);
/// Agents that only peers hear are removed when no digest has named them for this long.
const NAMED_AGENT_EXPIRY: Duration = Duration::from_secs(4);
/// Peers not heard for this long are removed.
const PEER_EXPIRY: Duration = Duration::from_secs(60);

/// An action for the process that runs the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to an agent or a balancer.
    Send(SocketAddr, Message),
    /// Send a reset to the client of a flow.
    Reset {
        /// The flow, with the client as its source.
        flow: Flow,
        /// Sequence number of the reset: the acknowledgement number of the client's last packet, as
        /// clients ignore other resets.
        sequence: u32,
    },
    /// Fetch a newer configuration from a peer.
    Fetch(SocketAddr),
    /// A peer has seen the store in this era.
    StoreEra(Era),
    /// The balancer's place among its peers has changed.
    Slot(Slot),
    /// Record the time from a flow's first packet to the first report of its acceptance.
    Latency(Duration),
    /// Log and count a decision or a state change.
    Log(LogEvent),
}

/// The state machine of a balancer.
#[derive(Debug)]
pub struct Balancer {
    /// Address at which agents and peers reach this balancer.
    address: SocketAddr,
    routes: RouteTable,
    roster: Roster,
    flows: HashMap<Flow, BalancerFlow>,
    /// Ordered by `due`, because all of them wait for the same delay.
    placements: VecDeque<PendingPlacement>,
    /// Flows whose lookups have no answer yet, each once, and when to ask again. Ordered by time,
    /// because all of them wait for the same interval.
    searches: VecDeque<(Instant, Flow)>,
    /// Number of probes that may be sent now.
    probes_left: usize,
    peers: BTreeMap<SocketAddr, Instant>,
    /// Agents that peers hear although they aren't in the roster or have left by it, and when a
    /// digest last named them. Their servers may hold flows that other balancers have placed.
    named_agents: BTreeMap<SocketAddr, Instant>,
    /// Whether a digest has arrived from a peer that knew all agents.
    digest_received: bool,
    /// Peers that have sent a digest, whatever they knew.
    digest_senders: BTreeSet<SocketAddr>,
    started: Instant,
    /// When this balancer began to learn of all agents: at its start, and again after it was
    /// suspended or cut off from them.
    discovery_started: Instant,
    last_tick: Instant,
    /// When the process last went on after it had been suspended.
    resumed_at: Option<Instant>,
    digest_due: Instant,
    outlier_check_due: Instant,
    expire_due: Instant,
    /// The slot that was last reported.
    slot: Slot,
    /// Whether the list of agents in the directory has been read.
    directory_read: bool,
    /// Latest era of the store that this process has seen; zero before the first one.
    store_era: Era,
    /// Number of times that each agent was told of `store_era`.
    era_notices: HashMap<SocketAddr, u32>,
    random: SmallRng,
}

impl Balancer {
    /// Creates a balancer without a configuration, agents or peers.
    pub fn new(address: SocketAddr, now: Instant) -> Self {
        Self {
            address,
            routes: RouteTable::default(),
            roster: Roster::default(),
            flows: HashMap::new(),
            placements: VecDeque::new(),
            searches: VecDeque::new(),
            probes_left: lookup::SAVED_PROBES_MAX,
            peers: BTreeMap::new(),
            named_agents: BTreeMap::new(),
            digest_received: false,
            digest_senders: BTreeSet::new(),
            started: now,
            discovery_started: now,
            last_tick: now,
            resumed_at: None,
            digest_due: now,
            outlier_check_due: now,
            expire_due: now,
            slot: Slot::default(),
            directory_read: false,
            store_era: Era::default(),
            era_notices: HashMap::new(),
            random: SmallRng::seed_from_u64(hash_bytes(address.to_string().as_bytes())),
        }
    }

    /// Whether the balancer can serve: it has a configuration, has read the directory or heard an
    /// agent, and isn't cut off from all agents.
    pub fn ready(&self) -> bool {
        let informed = self.directory_read || !self.roster.is_empty();
        self.configured() && informed && !self.isolated()
    }

    /// Whether the balancer has a configuration, which it needs to place flows.
    pub fn configured(&self) -> bool {
        self.routes.generation().is_some()
    }

    /// Generation of the configuration in force; zero before the first one.
    pub fn generation(&self) -> Generation {
        self.routes.generation().unwrap_or_default()
    }

    /// Number of tracked flows.
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Number of known agents, including silent ones that haven't expired.
    pub fn agents(&self) -> usize {
        self.roster.len()
    }

    /// Applies a configuration if it is newer than the one in force, and returns whether it is.
    pub fn configure(&mut self, routes: Routes, source: Source, out: &mut Vec<Output>) -> bool {
        let (generation, count) = (routes.generation, routes.routes.len());
        let adopted = self.routes.adopt(routes, source);
        if adopted {
            out.push(log_event(
                Topic::ConfigurationAdopted,
                format!("generation={generation} routes={count} source={source}"),
            ));
            self.digest_due = self.last_tick;
        } else {
            out.push(log_event(
                Topic::ConfigurationRefused,
                format!(
                    "generation={generation} source={source} generation_in_force={}",
                    self.generation()
                ),
            ));
        }
        adopted
    }

    /// Forwards a client's packet: places a new flow, sends a packet of a known flow to its agent,
    /// or looks the agent up.
    pub fn packet(
        &mut self,
        segment: Segment,
        packet: Vec<u8>,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let flow = segment.flow;
        let Some(route) = self.routes.get(&flow.destination) else {
            self.drop_unroutable(segment, out);
            return;
        };
        if segment.opens() {
            let service = route.service_for(&flow).to_owned();
            self.place(segment, packet, service, now, out);
            return;
        }
        if let Some(tracked) = self.flows.get_mut(&flow) {
            tracked.last_packet_at = now;
            tracked.acknowledged = segment.acknowledgement;
            tracked.finished |= segment.ends();
            tracked.select_acceptance(segment.acknowledgement);
        }
        if let Some(owner) = self.current_owner(&flow, now) {
            let forward = self.forward(&flow, packet, Vec::new());
            out.push(Output::Send(owner.agent, Message::Forward(forward)));
            return;
        }
        self.lookup(segment, packet, now, out);
    }

    /// Handles a message from an agent or a peer. `decode` reads a packet's header.
    pub fn message(
        &mut self,
        from: SocketAddr,
        message: Message,
        decode: impl Fn(&[u8]) -> Option<Segment>,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::Owner(owner) => self.receive_owner(owner, now, out),
            Message::Announce(announce) => self.receive_announce(announce, now, out),
            Message::Digest(digest) => self.receive_digest(from, digest, now, out),
            Message::Exhausted(forward) => {
                if let Some(segment) = decode(&forward.packet) {
                    self.receive_exhausted(segment, &forward, now, out);
                }
            }
            Message::StoreEra(era) => out.push(Output::StoreEra(era)),
            Message::Forward(_)
            | Message::Verify(_)
            | Message::Balancers(_)
            | Message::Superseded(_) => {
                out.push(log_event(
                    Topic::MessageIgnored,
                    format!("from={from} reason=not_for_a_balancer"),
                ));
            }
        }
    }

    /// Runs everything that is due: hedges placements, repeats lookups, checks for outliers, sends
    /// digests and expires.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        let pause = now.saturating_duration_since(self.last_tick);
        if pause > PAUSE_MIN {
            self.roster.discount_pause(pause);
            for heard in self.peers.values_mut() {
                *heard += pause;
            }
            self.resumed_at = Some(now);
            out.push(log_event(
                Topic::Resumed,
                format!("pause_ms={}", pause.as_millis()),
            ));
        }
        self.last_tick = now;
        if pause > PAUSE_MIN || self.isolated() {
            self.discovery_started = now;
            self.digest_received = false;
            self.digest_senders.clear();
        }
        self.hedge(now, out);
        self.repeat_searches(now, out);
        if now >= self.outlier_check_due {
            self.outlier_check_due = now + OUTLIER_CHECK_INTERVAL;
            self.check_outliers(out);
        }
        if now >= self.digest_due {
            self.digest_due = now + DIGEST_INTERVAL;
            self.send_digests(now, out);
        }
        if now >= self.expire_due {
            self.expire_due = now + EXPIRE_INTERVAL;
            self.roster.expire(now);
            self.era_notices
                .retain(|agent, _| self.roster.get(agent).is_some());
            self.remind_silent_agents(now, out);
            self.flows.retain(|_, tracked| {
                now.saturating_duration_since(tracked.last_packet_at) < FLOW_EXPIRY
            });
            self.peers
                .retain(|_, heard| now.saturating_duration_since(*heard) < PEER_EXPIRY);
            self.digest_senders
                .retain(|sender| self.peers.contains_key(sender));
            self.update_slot(now, out);
            self.named_agents
                .retain(|_, named| now.saturating_duration_since(*named) < NAMED_AGENT_EXPIRY);
        }
    }

    /// Owner of a flow, unless its agent has left.
    fn current_owner(&self, flow: &Flow, now: Instant) -> Option<Owner> {
        self.flows.get(flow)?.owner.filter(|owner| {
            self.roster.get(&owner.agent).is_some() && !self.roster.left(&owner.agent, now)
        })
    }

    /// Whether packets may have waited in the receive queue while the process was suspended.
    fn reads_backlog(&self, now: Instant) -> bool {
        let suspended = now.saturating_duration_since(self.last_tick) > PAUSE_MIN;
        suspended
            || self
                .resumed_at
                .is_some_and(|at| now.saturating_duration_since(at) < BACKLOG_TIME)
    }

    /// Drops a packet to an address without a route. It sends no reset, which could end a flow of a
    /// newer configuration that this balancer hasn't received yet.
    fn drop_unroutable(&mut self, segment: Segment, out: &mut Vec<Output>) {
        if segment.opens() {
            out.push(log_event(
                Topic::Dropped,
                format!(
                    "flow={} reason=no_route generation={}",
                    segment.flow,
                    self.generation()
                ),
            ));
        }
    }

    /// Wraps a packet of an open flow whose agent is known. Placement sets `service`; a lookup sets
    /// `lookup` and `passes`.
    fn forward(&self, flow: &Flow, packet: Vec<u8>, candidates: Vec<SocketAddr>) -> Forward {
        let route = self.routes.get(&flow.destination);
        Forward {
            at_most_once: route.is_none_or(|route| route.repeat == Repeat::AtMostOnce),
            service: String::new(),
            origin: self.address,
            lookup: false,
            candidates,
            passes: 0,
            asked: true,
            packet,
        }
    }
}

fn log_event(topic: Topic, text: String) -> Output {
    Output::Log(LogEvent::new(topic, text))
}

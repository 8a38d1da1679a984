//! The balancer's decisions: which agent gets a client's packet.

mod lookup;
mod membership;
mod placement;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::SeedableRng;

use crate::hash::hash_bytes;
use crate::id::Generation;
use crate::packet::Flow;
use crate::steering::balancer_flow::BalancerFlow;
use crate::steering::log_event::{LogEvent, Topic};
use crate::steering::message::{Forward, Message};
use crate::steering::roster::{Roster, State};
use crate::steering::routes::{Repeat, RouteTable, Routes};
use crate::steering::segment::Segment;

use placement::PendingPlacement;

/// How often [`Balancer::tick`] is meant to be called.
pub const TICK: Duration = Duration::from_millis(20);
/// A tick that comes later than this shows that the process stood still.
const PAUSE_MIN: Duration = Duration::from_millis(400);
/// Time between comparisons of the servers of each service: half of an announcement's period.
const OUTLIER_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Time between removals of what is out of date.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);
/// Flows without packets are forgotten after this time; their next packet is a lookup.
const FLOW_EXPIRY: Duration = Duration::from_secs(65);
/// Most candidates named in one packet, which keeps a datagram below 2 KB.
const CANDIDATES_MAX: usize = 64;
/// Time between digests to peers.
const DIGEST_INTERVAL: Duration = Duration::from_millis(500);
/// Peers not heard for this long are forgotten.
const PEER_EXPIRY: Duration = Duration::from_secs(60);

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
    Log(LogEvent),
}

/// A balancer.
#[derive(Debug)]
pub struct Balancer {
    /// Where agents and peers reach this balancer.
    address: SocketAddr,
    routes: RouteTable,
    roster: Roster,
    flows: HashMap<Flow, BalancerFlow>,
    /// Ordered by `due`, because all of them wait for the same time.
    placements: VecDeque<PendingPlacement>,
    peers: BTreeMap<SocketAddr, Instant>,
    started: Instant,
    last_tick: Instant,
    digest_due: Instant,
    outlier_check_due: Instant,
    expire_due: Instant,
    /// Whether the directory's list of agents was read.
    directory_read: bool,
    random: SmallRng,
}

impl Balancer {
    /// A balancer that knows nothing yet.
    pub fn new(address: SocketAddr, now: Instant) -> Self {
        Self {
            address,
            routes: RouteTable::default(),
            roster: Roster::default(),
            flows: HashMap::new(),
            placements: VecDeque::new(),
            peers: BTreeMap::new(),
            started: now,
            last_tick: now,
            digest_due: now,
            outlier_check_due: now,
            expire_due: now,
            directory_read: false,
            random: SmallRng::seed_from_u64(hash_bytes(address.to_string().as_bytes())),
        }
    }

    /// Whether the balancer can serve: it has a configuration, knows agents and hears them.
    pub fn ready(&self) -> bool {
        let informed = self.directory_read || !self.roster.is_empty();
        self.configured() && informed && !self.isolated()
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
            out.push(log_event(
                Topic::ConfigurationAdopted,
                format!(
                    "generation={generation} version={version} \
                 routes={count} source={source}"
                ),
            ));
            self.digest_due = self.last_tick;
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
            tracked.select_acceptance(segment.acknowledgement);
            let (agent, confirmed) = (tracked.agent, tracked.confirmed);
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
            Message::Owner(owner) => self.receive_owner(owner, now, out),
            Message::Announce(announce) => self.receive_announce(announce, now, out),
            Message::Digest(digest) => self.receive_digest(from, digest, now, out),
            Message::Exhausted(forward) => {
                if let Some(segment) = decode(&forward.packet) {
                    self.receive_exhausted(segment, &forward, now, out);
                }
            }
            Message::Forward(_) | Message::Balancers(_) => {
                out.push(log_event(
                    Topic::MessageIgnored,
                    format!("from={from} reason=not_for_a_balancer"),
                ));
            }
        }
    }

    /// Runs everything that is due.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        let pause = now.saturating_duration_since(self.last_tick);
        if pause > PAUSE_MIN {
            self.roster.discount_pause(pause);
            for heard in self.peers.values_mut() {
                *heard += pause;
            }
            out.push(log_event(
                Topic::Resumed,
                format!("pause_ms={}", pause.as_millis()),
            ));
        }
        self.last_tick = now;
        self.hedge(now, out);
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
            self.flows.retain(|_, tracked| {
                now.saturating_duration_since(tracked.last_packet_at) < FLOW_EXPIRY
            });
            self.peers
                .retain(|_, heard| now.saturating_duration_since(*heard) < PEER_EXPIRY);
        }
    }

    /// A packet to an address without a route. Nothing is answered: a reset could end a flow of a
    /// configuration that this balancer hasn't seen yet.
    fn drop_unroutable(&mut self, segment: Segment, out: &mut Vec<Output>) {
        if segment.opens() {
            out.push(log_event(
                Topic::Dropped,
                format!(
                    "flow={} reason=no_route generation={}",
                    segment.flow,
                    self.routes.generation()
                ),
            ));
        }
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
}

fn log_event(topic: Topic, text: String) -> Output {
    Output::Log(LogEvent::new(topic, text))
}

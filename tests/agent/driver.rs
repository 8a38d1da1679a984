//! Connects agents by queues in virtual time and records which server received which packet.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use flamingofall::agent::{Action, Agent, Output};
use flamingofall::decision::Verdict;
use flamingofall::encap::Header;
use flamingofall::member::Record;
use flamingofall::packet::{self, Flow, Kind, Protocol};
use flamingofall::rank;
use flamingofall::server::Event;
use flamingofall::wire::{Body, Message};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use crate::collector::Balancer;
use crate::traffic::{
    address, bytes, header, index, octets, settings, ScenarioConfig, BALANCERS, BUCKETS,
};

const TICK: Duration = Duration::from_millis(20);

/// Index of the member, and incarnation of its server.
pub type ServerRun = (usize, u64);

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Observation {
    Delivered(ServerRun, Kind),
    Refused,
    Reset,
    /// A member decided. The flag says whether it had a valid lease.
    Decided(usize, Verdict, bool),
}

#[derive(Default)]
pub struct Node {
    /// `None` while the agent is stopped.
    pub agent: Option<Agent>,
    /// Number of runs of the agent so far.
    runs: u64,
    /// Incarnation of the server.
    pub server: u64,
    /// When the server announced that it drains.
    pub draining: Option<Instant>,
    /// End of the pause of the agent.
    pub paused: Option<Instant>,
    /// What arrived during the pause.
    queue: Vec<Item>,
    /// Send times of the heartbeats, by id.
    sent: BTreeMap<u64, Instant>,
    /// End of the lease by the answers that have arrived.
    lease: Option<Instant>,
}

/// What the simulated network carries, with its destination first.
#[derive(Clone)]
pub enum Item {
    Packet(SocketAddr, Header, Vec<u8>),
    /// A control message with its destination and its sender.
    Message(SocketAddr, SocketAddr, Message),
    /// A record that one balancer sends to the balancer with this index.
    RecordUpdate(usize, Record),
}

pub struct Simulation {
    pub now: Instant,
    pub nodes: Vec<Node>,
    pub history: Vec<(Instant, Flow, Observation)>,
    pub config: ScenarioConfig,
    pub rng: SmallRng,
    pub balancers: Vec<Balancer>,
    queue: BTreeMap<(Instant, u64), Item>,
    items: u64,
    announced: Instant,
}

impl Simulation {
    pub fn new(config: ScenarioConfig) -> Self {
        let now = Instant::now();
        let mut simulation = Self {
            now,
            nodes: vec![],
            history: vec![],
            rng: SmallRng::seed_from_u64(config.seed),
            balancers: (0..BALANCERS).map(|_| Balancer::new(&config)).collect(),
            queue: BTreeMap::new(),
            items: 0,
            announced: now,
            config,
        };
        (0..simulation.config.members).for_each(|_| simulation.join());
        simulation
    }

    /// Adds a member with a new server.
    pub fn join(&mut self) {
        self.nodes.push(Node {
            server: 1,
            ..Node::default()
        });
        self.start_agent(self.nodes.len() - 1);
    }

    /// Starts a new run of an agent, without any state of earlier runs.
    pub fn start_agent(&mut self, index: usize) {
        let old = std::mem::take(&mut self.nodes[index]);
        let seed = self.config.seed + index as u64;
        let settings = settings(&self.config, index, old.runs + 1);
        self.nodes[index] = Node {
            agent: Some(Agent::new(settings, seed, self.now)),
            runs: old.runs + 1,
            server: old.server,
            draining: old.draining,
            ..Node::default()
        };
        self.announce(index);
    }

    pub fn drain(&mut self, index: usize) {
        self.nodes[index].draining = Some(self.now);
        self.announce(index);
    }

    fn announce(&mut self, index: usize) {
        let node = &self.nodes[index];
        let state = match node.draining {
            Some(_) => "draining",
            None => "active",
        };
        let announcement = json!({
            "service": "orders", "address": "10.1.0.0:80", "incarnation": node.server,
            "slots": 4, "connections": self.config.connections, "state": state,
        });
        let event = Event::Announced(serde_json::from_value(announcement).unwrap());
        self.with(index, |agent, now, out| {
            agent.handle_server_event(event, now, out)
        });
    }

    fn with(&mut self, index: usize, call: impl FnOnce(&mut Agent, Instant, &mut Vec<Output>)) {
        let mut out = vec![];
        let node = &mut self.nodes[index];
        match &mut node.agent {
            Some(agent) if node.paused.is_none() => call(agent, self.now, &mut out),
            _ => return,
        }
        out.into_iter()
            .for_each(|output| self.output(index, output));
    }

    fn output(&mut self, index: usize, output: Output) {
        match output {
            Output::Deliver(bytes) => self.deliver(index, &bytes),
            Output::Forward { to, header, packet } => self.push(Item::Packet(to, header, packet)),
            Output::Reply(bytes) => {
                let flow = packet::parse(&bytes).unwrap().flow.reversed();
                // A reset without ACK answers an established connection; one that refuses a SYN has
                // an ACK.
                let resets = flow.protocol == Protocol::Tcp && bytes[33] & 0x10 == 0;
                let observation = if resets {
                    Observation::Reset
                } else {
                    Observation::Refused
                };
                self.history.push((self.now, flow, observation));
            }
            Output::Send { to, message } => {
                if let Some(Body::Heartbeat(heartbeat)) = &message.body {
                    self.nodes[index].sent.insert(heartbeat.id, self.now);
                }
                self.push(Item::Message(to, address(1, index, 1), message));
            }
            Output::Decision(decision) => {
                let leased = self.nodes[index]
                    .lease
                    .is_some_and(|until| self.now < until);
                let observation = Observation::Decided(index, decision.verdict, leased);
                self.history.push((self.now, decision.flow, observation));
            }
        }
    }

    fn deliver(&mut self, index: usize, bytes: &[u8]) {
        let packet = packet::parse(bytes).unwrap();
        let observation = Observation::Delivered((index, self.nodes[index].server), packet.kind);
        self.history.push((self.now, packet.flow, observation));
    }

    /// Sends an item through the simulated network, which may lose, duplicate and reorder it.
    pub fn push(&mut self, item: Item) {
        if self.rng.random_bool(self.config.duplication) {
            let delay = self.rng.random_range(1..2000);
            self.push_after(delay, item.clone());
        }
        if !self.rng.random_bool(self.config.loss) {
            let delay = self.rng.random_range(1..20);
            self.push_after(delay, item);
        }
    }

    pub fn push_after(&mut self, millis: u64, item: Item) {
        self.items += 1;
        let at = self.now + Duration::from_millis(millis);
        self.queue.insert((at, self.items), item);
    }

    /// Sends a packet of a client through a random balancer, as the network fabric does.
    pub fn send(&mut self, flow: &Flow, kind: Kind) {
        let view = &self.balancers[self.rng.random_range(0..BALANCERS)].view;
        let Some(arbiter) = view.arbiter(rank::bucket(flow, BUCKETS)) else {
            return;
        };
        let item = Item::Packet(
            arbiter.data,
            header(view.service().tag()),
            bytes(flow, kind),
        );
        self.push(item);
    }

    /// Advances the simulation by `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let next = self.now + TICK;
            while let Some(entry) = self
                .queue
                .first_entry()
                .filter(|entry| entry.key().0 <= next)
            {
                let ((at, _), item) = entry.remove_entry();
                self.now = self.now.max(at);
                self.arrive(item);
            }
            self.now = next;
            let announcing = self.now - self.announced >= Duration::from_millis(500);
            for index in 0..self.nodes.len() {
                self.wake(index);
                if announcing {
                    self.announce(index);
                }
                self.with(index, |agent, now, out| agent.tick(now, out));
            }
            if announcing {
                self.announced = self.now;
                (0..BALANCERS).for_each(|balancer| self.declare_down(balancer));
            }
        }
    }

    /// Ends the pause of an agent when it is over. Queued items may reach the agent before it
    /// notices the pause.
    fn wake(&mut self, index: usize) {
        if self.nodes[index]
            .paused
            .is_none_or(|until| self.now < until)
        {
            return;
        }
        self.nodes[index].paused = None;
        if self.rng.random_bool(0.5) {
            self.with(index, |agent, now, _| agent.handle_resume(now));
        }
        let queue = std::mem::take(&mut self.nodes[index].queue);
        queue.into_iter().for_each(|item| self.arrive(item));
    }

    fn arrive(&mut self, item: Item) {
        match &item {
            Item::RecordUpdate(balancer, record) => {
                self.balancers[*balancer].merge(record.clone(), self.now);
            }
            Item::Message(to, from, message) if octets(*to)[1] == 2 => {
                self.heartbeat(index(*to), *from, message);
            }
            Item::Packet(to, ..) | Item::Message(to, ..) => {
                let node = &mut self.nodes[index(*to)];
                match node.paused {
                    Some(_) => node.queue.push(item),
                    None => self.receive(index(*to), item),
                }
            }
        }
    }

    fn receive(&mut self, index: usize, item: Item) {
        match item {
            Item::Message(_, from, message) => {
                let node = &mut self.nodes[index];
                if let Some(Body::HeartbeatAck(ack)) = &message.body {
                    let sent = node.sent.get(&ack.id);
                    let until = sent.map(|sent| *sent + Duration::from_secs(2));
                    node.lease = node.lease.max(until);
                }
                self.with(index, |agent, now, out| {
                    agent.handle_message(from, message, now, out)
                });
            }
            Item::Packet(_, header, bytes) => {
                let packet = packet::parse(&bytes).unwrap();
                let mut action = None;
                self.with(index, |agent, now, out| {
                    action = Some(agent.handle_packet(&header, &packet, now, out));
                });
                match action {
                    Some(Action::Deliver) => self.deliver(index, &bytes),
                    Some(Action::Forward { to, header }) => {
                        self.push(Item::Packet(to, header, bytes));
                    }
                    _ => {}
                }
            }
            Item::RecordUpdate(..) => {}
        }
    }
}

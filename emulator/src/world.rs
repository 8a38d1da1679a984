//! Plays a scenario.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use flamingofall::id::{Generation, Incarnation};
use flamingofall::packet::Flow;
use flamingofall::steering::agent::{self, Agent};
use flamingofall::steering::balancer::{self, Balancer};
use flamingofall::steering::message::Message;
use flamingofall::steering::routes::{Repeat, Route, Routes, Target};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::check::{Arrival, Broken, Checker};
use crate::client::{Client, Habits, Outcome, Request};
use crate::directory::Directory;
use crate::packet::{decode, Action, Packet};
use crate::report::Report;
use crate::scenario::{Kind, Scenario, LEAD_S};
use crate::server::{Effect, Server};

/// Time between a server's heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(770);
/// Time between the fabric's readiness checks.
const CHECK: Duration = Duration::from_millis(500);
/// Time of a call to the directory, both ways.
const CALL: Duration = Duration::from_millis(8);
/// One-way time between a process and another on the same host.
const LOCAL: Duration = Duration::from_micros(100);
/// Time for a killed process to start again.
const RESTART: Duration = Duration::from_millis(300);
/// Time between a balancer's order to stop and its end.
const STOP: Duration = Duration::from_millis(1600);
/// Time that a draining server still serves.
const DRAIN: Duration = Duration::from_secs(4);
/// Time after which a draining server may get no new flows.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Something that happens at a time.
#[derive(Debug)]
enum Event {
    ClientPacket(Packet),
    ToBalancer(usize, SocketAddr, Vec<u8>),
    ToAgent(usize, SocketAddr, Vec<u8>),
    ToServer(usize, u32, Packet),
    FromServer(usize, Option<u32>, Packet),
    Worked(usize, String, Packet),
    ToClient(Packet),
    ClientTimer(usize),
    Ask(usize),
    TickBalancer(usize),
    TickAgent(usize),
    Heartbeat(usize, String),
    Check,
    Fault(usize),
    StartBalancer(usize),
    StopBalancer(usize),
    StartAgent(usize),
    StartServer(usize),
    ServerEnds(usize, String),
    ReadBalancer(usize, u64),
    ReadAgent(usize, u64),
    DirectoryUp,
}

struct Gate {
    address: SocketAddr,
    core: Option<Balancer>,
    run: u64,
    stopping: bool,
    misses: u32,
}

struct Host {
    address: SocketAddr,
    service: String,
    core: Option<Agent>,
    run: u64,
    server: Option<Server>,
    drained: Option<Duration>,
}

/// A run in progress.
pub struct World {
    scenario: Scenario,
    random: SmallRng,
    base: Instant,
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    events: Vec<Option<Event>>,
    order: u64,
    gates: Vec<Gate>,
    hosts: Vec<Host>,
    clients: Vec<Client>,
    directory: Directory,
    checker: Checker,
    ends: Duration,
    next_id: u64,
    report: Report,
}

/// Plays a scenario with a seed.
///
/// ```
/// use flamingofall_emulator::{scenario::Scenario, world};
///
/// let calm = Scenario { length_s: 2.0, ..Scenario::default() };
/// let report = world::play(calm, 1);
/// assert!(report.broken.is_empty());
/// assert!(report.share() > 0.99);
/// ```
pub fn play(scenario: Scenario, seed: u64) -> Report {
    let mut world = World::new(scenario, seed);
    while let Some(Reverse((at, _, index))) = world.queue.pop() {
        if at > world.ends {
            break;
        }
        world.now = at;
        if let Some(event) = world.events[index].take() {
            world.handle(event);
        }
    }
    world.report
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(198, 18, 0, index as u8 + 1), 443))
}

fn client_ip(index: usize) -> Ipv4Addr {
    let [_, _, high, low] = (index as u32 + 1).to_be_bytes();
    Ipv4Addr::new(100, 64, high, low)
}

fn client_index(client: SocketAddr) -> Option<usize> {
    match client {
        SocketAddr::V4(v4) => {
            let [_, _, high, low] = v4.ip().octets();
            (usize::from(high) << 8 | usize::from(low)).checked_sub(1)
        }
        SocketAddr::V6(_) => None,
    }
}

fn service(index: usize) -> String {
    format!("service-{index}")
}

impl World {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let lead = Duration::from_secs_f64(LEAD_S);
        let ends = lead + Duration::from_secs_f64(scenario.length_s);
        let mut world = Self {
            random: SmallRng::seed_from_u64(seed),
            base: Instant::now(),
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            order: 0,
            gates: Vec::new(),
            hosts: Vec::new(),
            clients: Vec::new(),
            directory: Directory {
                up: true,
                ..Directory::default()
            },
            checker: Checker::new(DRAIN_LIMIT),
            ends,
            next_id: 0,
            report: Report::new(),
            scenario,
        };
        world.configure();
        for _ in 0..world.scenario.balancers {
            world.add_gate();
        }
        for (index, count) in world.scenario.servers.clone().into_iter().enumerate() {
            for _ in 0..count {
                world.add_host(service(index));
            }
        }
        for index in 0..world.scenario.clients {
            let habits = Habits {
                fresh: world.random.random_bool(world.scenario.fresh),
                repeats: world.random.random_bool(world.scenario.repeats),
                deadline: Duration::from_millis(world.scenario.deadline_ms),
            };
            let target = address(index % world.scenario.servers.len());
            let client = Client::new(client_ip(index), target, habits);
            world.clients.push(client);
            let wait = world.pause();
            world.at(lead + wait, Event::Ask(index));
        }
        for (index, event) in world.scenario.events.clone().into_iter().enumerate() {
            let at = lead + Duration::from_secs_f64(event.at_s);
            world.at(at, Event::Fault(index));
        }
        world.at(CHECK, Event::Check);
        world
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.order += 1;
        self.queue
            .push(Reverse((at, self.order, self.events.len())));
        self.events.push(Some(event));
    }

    fn after(&mut self, wait: Duration, event: Event) {
        self.at(self.now + wait, event);
    }

    fn instant(&self) -> Instant {
        self.base + self.now
    }

    fn pause(&mut self) -> Duration {
        let mean = self.scenario.pause_ms.max(1);
        Duration::from_millis(self.random.random_range(0..mean * 2))
    }

    /// One-way time of a datagram, or nothing if it is lost.
    fn link(&mut self) -> Option<Duration> {
        if self.random.random_bool(self.scenario.loss) {
            return None;
        }
        let factor = self.random.random_range(0.85..1.15);
        Some(Duration::from_secs_f64(
            self.scenario.delay_ms / 1000.0 * factor,
        ))
    }

    fn configure(&mut self) {
        let generation = self.directory.routes.generation.0 + 1;
        let count = self.scenario.servers.len();
        let mut routes = Vec::new();
        for index in 0..count {
            let mut targets = vec![Target {
                service: service(index),
                weight: 90,
            }];
            if index == 0 && count > 1 && generation > 1 {
                targets.push(Target {
                    service: service(1),
                    weight: 10 + (generation as u32 % 5) * 10,
                });
            }
            for target in &targets {
                self.checker.allow(address(index), &target.service);
            }
            routes.push(Route {
                name: format!("route-{index}"),
                address: address(index),
                targets,
                repeat: Repeat::Idempotent,
                objective: Duration::from_millis(200),
                priority: 1,
            });
        }
        self.directory.routes = Routes {
            generation: Generation(generation),
            version: generation,
            routes,
            idle_timeout: Duration::from_secs(15),
        };
    }

    fn add_gate(&mut self) {
        let index = self.gates.len();
        self.gates.push(Gate {
            address: SocketAddr::from((Ipv4Addr::new(10, 0, 0, index as u8 + 1), 7720)),
            core: None,
            run: 0,
            stopping: false,
            misses: 2,
        });
        self.after(Duration::ZERO, Event::StartBalancer(index));
    }

    fn add_host(&mut self, service: String) {
        let index = self.hosts.len();
        let [_, _, high, low] = (index as u32 + 1).to_be_bytes();
        self.hosts.push(Host {
            address: SocketAddr::from((Ipv4Addr::new(10, 1, high, low), 8172)),
            service,
            core: None,
            run: 0,
            server: None,
            drained: None,
        });
        self.after(Duration::ZERO, Event::StartAgent(index));
        self.after(Duration::from_millis(50), Event::StartServer(index));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::ClientPacket(packet) => self.client_packet(packet),
            Event::ToBalancer(index, from, bytes) => self.balancer_receives(index, from, &bytes),
            Event::ToAgent(index, from, bytes) => self.agent_receives(index, from, &bytes),
            Event::ToServer(index, token, packet) => self.server_receives(index, token, packet),
            Event::FromServer(index, token, packet) => self.server_sends(index, token, packet),
            Event::Worked(index, name, packet) => self.worked(index, &name, &packet),
            Event::ToClient(packet) => self.client_receives(&packet),
            Event::ClientTimer(index) => self.client_timer(index),
            Event::Ask(index) => self.ask(index),
            Event::TickBalancer(index) => self.tick_balancer(index),
            Event::TickAgent(index) => self.tick_agent(index),
            Event::Heartbeat(index, name) => self.heartbeat(index, &name),
            Event::Check => self.check(),
            Event::Fault(index) => self.fault(index),
            Event::StartBalancer(index) => self.start_balancer(index),
            Event::StopBalancer(index) => self.kill_gate(index, Duration::ZERO),
            Event::StartAgent(index) => self.start_agent(index),
            Event::StartServer(index) => self.start_server(index),
            Event::ServerEnds(index, name) => self.server_ends(index, &name),
            Event::ReadBalancer(index, run) => self.read_balancer(index, run),
            Event::ReadAgent(index, run) => self.read_agent(index, run),
            Event::DirectoryUp => self.directory.up = true,
        }
    }

    // Fabric and clients.

    fn check(&mut self) {
        for gate in &mut self.gates {
            let ready = gate.core.as_ref().is_some_and(Balancer::ready) && !gate.stopping;
            gate.misses = if ready { 0 } else { gate.misses + 1 };
        }
        self.after(CHECK, Event::Check);
    }

    fn client_packet(&mut self, packet: Packet) {
        let rotation: Vec<usize> = (0..self.gates.len())
            .filter(|index| self.gates[*index].misses < 2)
            .collect();
        let choices = if rotation.is_empty() {
            (0..self.gates.len()).collect()
        } else {
            rotation
        };
        let index = choices[(packet.flow().hash() % choices.len() as u64) as usize];
        let now = self.instant();
        let mut out = Vec::new();
        if let Some(core) = &mut self.gates[index].core {
            core.packet(packet.segment(), packet.encode(), now, &mut out);
        }
        self.balancer_outputs(index, out);
    }

    fn send_clients(&mut self, packets: Vec<Packet>) {
        for packet in packets {
            if let Some(delay) = self.link() {
                self.after(delay, Event::ClientPacket(packet));
            }
        }
    }

    fn ask(&mut self, index: usize) {
        self.next_id += 1;
        self.report.asked += 1;
        let (id, now) = (self.next_id, self.now);
        let packets = self.clients[index].ask(id, now);
        self.send_clients(packets);
        self.rearm(index);
    }

    fn rearm(&mut self, index: usize) {
        if let Some(due) = self.clients[index].due() {
            self.at(due.max(self.now), Event::ClientTimer(index));
        }
    }

    fn client_timer(&mut self, index: usize) {
        let request = self.clients[index].request;
        let (packets, outcome) = self.clients[index].timer(self.now);
        self.client_did(index, request, packets, outcome);
    }

    fn client_receives(&mut self, packet: &Packet) {
        let Some(index) = client_index(packet.client) else {
            return;
        };
        let request = self.clients[index].request;
        let (packets, outcome) = self.clients[index].packet_in(packet, self.now);
        self.client_did(index, request, packets, outcome);
    }

    fn client_did(
        &mut self,
        index: usize,
        request: Option<Request>,
        packets: Vec<Packet>,
        outcome: Option<Outcome>,
    ) {
        let active = !packets.is_empty() || outcome.is_some();
        self.send_clients(packets);
        if let (Some(outcome), Some(Request { id, asked, .. })) = (outcome, request) {
            let lead = Duration::from_secs_f64(LEAD_S);
            let second = asked.saturating_sub(lead).as_secs() as usize;
            self.report.ended(second, outcome == Outcome::Served);
            let ran = self.checker.ended(id, outcome);
            if let Some(broken) = ran {
                self.report.broke(self.now, &broken);
            }
            if outcome == Outcome::Served {
                let latency = (self.now - asked).as_micros() as u64;
                self.report.latency.saturating_record(latency.max(1));
            }
            let pause = self.pause();
            self.after(pause, Event::Ask(index));
        } else if active {
            self.rearm(index);
        }
    }

    // Balancers.

    fn start_balancer(&mut self, index: usize) {
        let now = self.instant();
        let gate = &mut self.gates[index];
        if gate.core.is_some() {
            return;
        }
        gate.core = Some(Balancer::new(gate.address, now));
        gate.run += 1;
        gate.stopping = false;
        let run = gate.run;
        self.after(CALL, Event::ReadBalancer(index, run));
        self.after(balancer::TICK, Event::TickBalancer(index));
    }

    fn read_balancer(&mut self, index: usize, run: u64) {
        if self.gates[index].run != run {
            return;
        }
        self.report.calls += 1;
        if !self.directory.up {
            self.after(Duration::from_millis(400), Event::ReadBalancer(index, run));
            return;
        }
        let now = self.instant();
        let address = self.gates[index].address;
        if !self.directory.balancers.contains(&address) {
            self.directory.balancers.push(address);
        }
        let members = self.directory.members.values().cloned().collect();
        let balancers = self.directory.balancers.clone();
        let routes = self.directory.routes.clone();
        let mut out = Vec::new();
        if let Some(core) = &mut self.gates[index].core {
            core.configure(routes, "directory", &mut out);
            core.directory(members, balancers, now, &mut out);
        }
        self.balancer_outputs(index, out);
    }

    fn tick_balancer(&mut self, index: usize) {
        let now = self.instant();
        let mut out = Vec::new();
        if let Some(core) = &mut self.gates[index].core {
            core.tick(now, &mut out);
            self.after(balancer::TICK, Event::TickBalancer(index));
        }
        self.balancer_outputs(index, out);
    }

    fn balancer_receives(&mut self, index: usize, from: SocketAddr, bytes: &[u8]) {
        let now = self.instant();
        let mut out = Vec::new();
        match (Message::decode(bytes), &mut self.gates[index].core) {
            (Ok(message), Some(core)) => core.message(from, message, decode, now, &mut out),
            (Err(error), _) => {
                let broken = Broken::Unreadable(error.to_string());
                self.report.broke(self.now, &broken);
            }
            (Ok(_), None) => {}
        }
        self.balancer_outputs(index, out);
    }

    fn balancer_outputs(&mut self, index: usize, out: Vec<balancer::Output>) {
        let from = self.gates[index].address;
        for output in out {
            match output {
                balancer::Output::Send(to, message) => self.send(from, to, &message),
                balancer::Output::Reset { flow, sequence } => {
                    self.reset(flow, sequence, &format!("balancer {index}"));
                }
                balancer::Output::Fetch(source) => self.fetch(index, source),
                balancer::Output::Note(_) | balancer::Output::Latency(_) => {}
            }
        }
    }

    fn fetch(&mut self, index: usize, source: SocketAddr) {
        let known = self.gates.iter().any(|gate| gate.address == source);
        let routes = self.directory.routes.clone();
        let mut out = Vec::new();
        if let (true, Some(core)) = (known, &mut self.gates[index].core) {
            core.configure(routes, "peer", &mut out);
        }
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, message: &Message) {
        self.report.messages += 1;
        let Some(delay) = self.link() else {
            return;
        };
        let bytes = message.encode();
        if let Some(index) = self.hosts.iter().position(|host| host.address == to) {
            self.after(delay, Event::ToAgent(index, from, bytes));
        } else if let Some(index) = self.gates.iter().position(|gate| gate.address == to) {
            self.after(delay, Event::ToBalancer(index, from, bytes));
        }
    }

    /// A reset by a balancer or an agent. None may hit a flow that a server holds.
    fn reset(&mut self, flow: Flow, sequence: u32, by: &str) {
        let holder = self
            .hosts
            .iter()
            .find_map(|host| host.server.as_ref().filter(|server| server.holds(&flow)));
        if let Some(server) = holder {
            let broken = Broken::Reset {
                by: by.to_owned(),
                flow,
                server: server.name.clone(),
            };
            self.report.broke(self.now, &broken);
        }
        let packet = Packet {
            client: flow.source,
            address: flow.destination,
            action: Action::Reset,
            sequence,
            acknowledgement: 0,
            request: None,
        };
        if let Some(delay) = self.link() {
            self.after(delay, Event::ToClient(packet));
        }
    }

    // Agents and servers.

    fn start_agent(&mut self, index: usize) {
        let now = self.instant();
        let incarnation = Incarnation(self.now.as_millis() as u64 + 1);
        let seeds: Vec<_> = self.gates.iter().take(3).map(|gate| gate.address).collect();
        let host = &mut self.hosts[index];
        if host.core.is_some() {
            return;
        }
        let mut core = Agent::new(
            host.address,
            host.service.clone(),
            incarnation,
            HEARTBEAT,
            now,
        );
        for seed in seeds {
            core.meet(seed, now);
        }
        host.core = Some(core);
        host.run += 1;
        let run = host.run;
        self.after(CALL, Event::ReadAgent(index, run));
        self.after(agent::TICK, Event::TickAgent(index));
    }

    fn read_agent(&mut self, index: usize, run: u64) {
        if self.hosts[index].run != run {
            return;
        }
        self.report.calls += 1;
        if !self.directory.up {
            self.after(Duration::from_millis(400), Event::ReadAgent(index, run));
            return;
        }
        let now = self.instant();
        let mut out = Vec::new();
        let host = &mut self.hosts[index];
        let snapshot = self.directory.snapshots.get(&host.address).cloned();
        if let Some(core) = &mut host.core {
            for balancer in &self.directory.balancers {
                core.meet(*balancer, now);
            }
            if let Some(snapshot) = snapshot {
                core.restore(snapshot, now, &mut out);
            }
        }
        self.agent_outputs(index, out);
    }

    fn tick_agent(&mut self, index: usize) {
        let now = self.instant();
        let mut out = Vec::new();
        if let Some(core) = &mut self.hosts[index].core {
            core.tick(now, &mut out);
            self.after(agent::TICK, Event::TickAgent(index));
        }
        self.agent_outputs(index, out);
    }

    fn agent_receives(&mut self, index: usize, from: SocketAddr, bytes: &[u8]) {
        let now = self.instant();
        let mut out = Vec::new();
        match (Message::decode(bytes), &mut self.hosts[index].core) {
            (Ok(message), Some(core)) => core.message(from, message, decode, now, &mut out),
            (Err(error), _) => {
                let broken = Broken::Unreadable(error.to_string());
                self.report.broke(self.now, &broken);
            }
            (Ok(_), None) => {}
        }
        self.agent_outputs(index, out);
    }

    fn agent_outputs(&mut self, index: usize, out: Vec<agent::Output>) {
        let from = self.hosts[index].address;
        for output in out {
            match output {
                agent::Output::Deliver { token, packet } => {
                    if let Some(packet) = Packet::decode(&packet) {
                        self.after(LOCAL, Event::ToServer(index, token, packet));
                    }
                }
                agent::Output::Client(_, packet) => {
                    let delay = self.link();
                    if let (Some(packet), Some(delay)) = (Packet::decode(&packet), delay) {
                        self.after(delay, Event::ToClient(packet));
                    }
                }
                agent::Output::Send(to, message) => self.send(from, to, &message),
                agent::Output::Reset { flow, sequence } => {
                    self.reset(flow, sequence, &format!("agent {index}"));
                }
                agent::Output::Publish(member) if self.directory.up => {
                    self.report.calls += 1;
                    self.directory.members.insert(member.agent, member);
                }
                agent::Output::Save(snapshot) if self.directory.up => {
                    self.report.calls += 1;
                    self.directory.snapshots.insert(from, snapshot);
                }
                agent::Output::Publish(_) | agent::Output::Save(_) => {}
                agent::Output::Note(_) | agent::Output::Latency(_) => {}
            }
        }
    }

    fn start_server(&mut self, index: usize) {
        let started = self.now.as_millis() as u64;
        let limits = (
            self.scenario.slots,
            self.scenario.queue,
            Duration::from_millis(self.scenario.work_ms),
        );
        let host = &mut self.hosts[index];
        let name = format!("server-{index}-{started}");
        let server = Server::new(name.clone(), host.service.clone(), started, limits);
        host.server = Some(server);
        host.drained = None;
        self.after(Duration::ZERO, Event::Heartbeat(index, name));
    }

    fn heartbeat(&mut self, index: usize, name: &str) {
        let now = self.instant();
        let host = &mut self.hosts[index];
        let Some(server) = host.server.as_mut().filter(|server| server.name == name) else {
            return;
        };
        let mut out = Vec::new();
        if let Some(core) = &mut host.core {
            let heartbeat = server.heartbeat();
            core.heartbeat(heartbeat, now, &mut out);
            if server.draining && host.drained.is_none() {
                host.drained = Some(self.now);
                self.after(DRAIN, Event::ServerEnds(index, name.to_owned()));
            }
        }
        self.agent_outputs(index, out);
        self.after(HEARTBEAT, Event::Heartbeat(index, name.to_owned()));
    }

    fn server_ends(&mut self, index: usize, name: &str) {
        let now = self.instant();
        let host = &mut self.hosts[index];
        if host.server.take_if(|server| server.name == name).is_none() {
            return;
        }
        let mut out = Vec::new();
        if let Some(core) = &mut host.core {
            core.left(name, now, &mut out);
        }
        self.agent_outputs(index, out);
        self.hosts[index].core = None;
    }

    fn server_receives(&mut self, index: usize, token: u32, packet: Packet) {
        self.judge(index, &packet);
        let Some(server) = &mut self.hosts[index].server else {
            return;
        };
        let effects = server.packet(packet);
        self.effects(index, Some(token), effects);
    }

    /// Checks a packet that reaches a server against the guarantees.
    fn judge(&mut self, index: usize, packet: &Packet) {
        let flow = packet.flow();
        let host = &self.hosts[index];
        let Some(server) = &host.server else {
            return;
        };
        let opening = packet.action == Action::Open;
        if opening {
            self.report.openings += 1;
        }
        let arrival = Arrival {
            flow,
            opening,
            server: &server.name,
            service: &server.service,
            holds: server.holds(&flow),
            held_elsewhere: self.hosts.iter().any(|other| {
                other.core.is_some() && other.server.as_ref().is_some_and(|s| s.holds(&flow))
            }),
            drained: host.drained,
        };
        if let Some(broken) = self.checker.arrival(&arrival, self.now) {
            self.report.broke(self.now, &broken);
        }
    }

    fn effects(&mut self, index: usize, token: Option<u32>, effects: Vec<Effect>) {
        let name = self.hosts[index].server.as_ref().map(|s| s.name.clone());
        for effect in effects {
            match effect {
                Effect::Send(packet) => {
                    self.after(LOCAL, Event::FromServer(index, None, packet));
                }
                Effect::Return(packet) => {
                    self.after(LOCAL, Event::FromServer(index, token, packet));
                }
                Effect::Work(packet, time) => {
                    let id = packet.request.unwrap_or_default();
                    let repeats = client_index(packet.client)
                        .is_some_and(|client| self.clients[client].repeats());
                    if let Some(broken) = self.checker.runs(id, repeats) {
                        self.report.broke(self.now, &broken);
                    }
                    let name = name.clone().unwrap_or_default();
                    self.after(time, Event::Worked(index, name, packet));
                }
            }
        }
    }

    fn worked(&mut self, index: usize, name: &str, packet: &Packet) {
        let server = self.hosts[index].server.as_mut();
        let Some(server) = server.filter(|server| server.name == name) else {
            return;
        };
        let effects = server.worked(packet);
        self.effects(index, None, effects);
    }

    fn server_sends(&mut self, index: usize, token: Option<u32>, packet: Packet) {
        let now = self.instant();
        let mut out = Vec::new();
        if let Some(core) = &mut self.hosts[index].core {
            let (segment, bytes) = (packet.segment(), packet.encode());
            match token {
                Some(token) => core.returned(segment, token, bytes, &mut out),
                None => core.outbound(segment, bytes, now, &mut out),
            }
        }
        self.agent_outputs(index, out);
    }

    // Faults.

    fn fault(&mut self, index: usize) {
        let event = self.scenario.events[index].clone();
        let lasts = Duration::from_secs_f64(event.for_s);
        let gates = event.count.min(self.gates.len());
        let hosts = event.count.min(self.hosts.len());
        match event.kind {
            Kind::KillBalancers => (0..gates).for_each(|i| self.kill_gate(i, lasts)),
            Kind::RestartBalancers => (0..gates).for_each(|i| self.restart_gate(i)),
            Kind::KillAgents => (0..hosts).for_each(|i| self.kill_agent(i, lasts)),
            Kind::CrashServers => (0..hosts).for_each(|i| self.crash_server(i, lasts)),
            Kind::PowerOff => self.power_off(lasts),
            Kind::DrainServers => (0..hosts).for_each(|i| self.drain(i)),
            Kind::AddServers => (0..event.count).for_each(|_| self.add_host(service(0))),
            Kind::DirectoryDown => {
                self.directory.up = false;
                self.after(lasts, Event::DirectoryUp);
            }
            Kind::ChangeWeights => self.change_weights(),
        }
    }

    fn kill_gate(&mut self, index: usize, lasts: Duration) {
        self.gates[index].core = None;
        self.after(lasts + RESTART, Event::StartBalancer(index));
    }

    /// The balancer leaves the rotation first, as a stopping one does.
    fn restart_gate(&mut self, index: usize) {
        self.gates[index].stopping = true;
        self.after(STOP, Event::StopBalancer(index));
    }

    fn kill_agent(&mut self, index: usize, lasts: Duration) {
        self.hosts[index].core = None;
        self.after(lasts + RESTART, Event::StartAgent(index));
    }

    fn crash_server(&mut self, index: usize, lasts: Duration) {
        self.hosts[index].server = None;
        self.after(lasts + RESTART, Event::StartServer(index));
    }

    fn power_off(&mut self, lasts: Duration) {
        for index in 0..self.gates.len() {
            self.kill_gate(index, lasts);
        }
        for index in 0..self.hosts.len() {
            if self.hosts[index].server.is_some() {
                self.kill_agent(index, lasts);
                self.crash_server(index, lasts + Duration::from_millis(50));
            }
        }
    }

    fn drain(&mut self, index: usize) {
        if let Some(server) = &mut self.hosts[index].server {
            server.draining = true;
        }
    }

    fn change_weights(&mut self) {
        self.configure();
        for index in 0..self.gates.len() {
            let run = self.gates[index].run;
            if self.gates[index].core.is_some() {
                self.after(CALL, Event::ReadBalancer(index, run));
            }
        }
    }
}

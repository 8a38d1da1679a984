//! Discrete-event simulation of balancers and agents: their production cores run in virtual time
//! over a simulated network, and the store is always unavailable.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use flamingofall::agent::{self, Action, Agent, SafetyMechanisms};
use flamingofall::config::Config;
use flamingofall::control::{Control, Snapshot};
use flamingofall::encap::{Header, Key};
use flamingofall::id::{
    Connections, Digest, Generation, Incarnation, Sequence, Service as Name, Slots,
};
use flamingofall::member::{Entry, Record, Role, State};
use flamingofall::output;
use flamingofall::packet::{self, Packet};
use flamingofall::router::RoutingTableBuilder;
use flamingofall::routing::{Route, Table};
use flamingofall::server::{self, Announcement};
use flamingofall::store::{Answer, Error};
use flamingofall::wire::Message;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Network latencies and packet loss of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Links {
    /// One-way latency between a caller and any host.
    pub caller: Duration,
    /// One-way latency between failure domains.
    pub domain: Duration,
    /// Probability that a packet is lost on a hop.
    pub loss: f64,
}

/// One-way latency within a failure domain.
const LOCAL_LATENCY: Duration = Duration::from_micros(300);
const AGENT_TICK: Duration = Duration::from_millis(20);
const BALANCER_TICK: Duration = Duration::from_millis(100);
const ANNOUNCE_PERIOD: Duration = Duration::from_secs(1);

/// Scheduled event of the simulation.
#[allow(clippy::large_enum_variant)] // Events are short-lived.
pub enum Event<W> {
    Data {
        agent: usize,
        run: u64,
        header: Header,
        packet: Vec<u8>,
    },
    Control {
        to: SocketAddr,
        from: SocketAddr,
        message: Message,
    },
    AgentTick {
        agent: usize,
        run: u64,
    },
    BalancerTick {
        balancer: usize,
        run: u64,
    },
    Announce {
        agent: usize,
    },
    /// An event of the workload.
    Workload(W),
}

struct ScheduledEvent<W> {
    at: Instant,
    sequence: u64,
    event: Event<W>,
}

impl<W> PartialEq for ScheduledEvent<W> {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}
impl<W> Eq for ScheduledEvent<W> {}
impl<W> PartialOrd for ScheduledEvent<W> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<W> Ord for ScheduledEvent<W> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

pub struct AgentHost {
    pub core: Agent,
    pub alive: bool,
    pub run: u64,
    pub domain: usize,
    pub announcement: Announcement,
    address: SocketAddr,
}

pub struct BalancerHost {
    pub core: Control,
    pub alive: bool,
    pub table: Table,
    router: RoutingTableBuilder,
    domain: usize,
    run: u64,
    address: SocketAddr,
}

/// Packet that the network delivers to the workload.
pub enum Delivery {
    /// A packet for the server of an agent.
    Server { agent: usize, packet: Vec<u8> },
    /// A packet for a caller.
    Caller { packet: Vec<u8> },
}

pub struct Network<W> {
    pub now: Instant,
    pub rng: StdRng,
    pub agents: Vec<AgentHost>,
    pub balancers: Vec<BalancerHost>,
    pub delivered: Vec<Delivery>,
    links: Links,
    domains: usize,
    queue: BinaryHeap<Reverse<ScheduledEvent<W>>>,
    last_sequence: u64,
    snapshot: Snapshot,
    addresses: HashMap<SocketAddr, Host>,
}

#[derive(Clone, Copy)]
enum Host {
    Agent(usize),
    Balancer(usize),
}

impl<W> Network<W> {
    pub fn new(links: Links, domains: usize, config: &Config, seed: u64) -> Self {
        let text = String::from_utf8(config.canonical_json()).expect("JSON is UTF-8");
        let digest = Digest::of(text.as_bytes());
        Self {
            now: Instant::now(),
            rng: StdRng::seed_from_u64(seed),
            agents: Vec::new(),
            balancers: Vec::new(),
            delivered: Vec::new(),
            links,
            domains,
            queue: BinaryHeap::new(),
            last_sequence: 0,
            snapshot: Snapshot {
                config: Some((Generation(1), digest, text)),
                ..Snapshot::default()
            },
            addresses: HashMap::new(),
        }
    }

    pub fn schedule_at(&mut self, at: Instant, event: Event<W>) {
        self.last_sequence += 1;
        self.queue.push(Reverse(ScheduledEvent {
            at,
            sequence: self.last_sequence,
            event,
        }));
    }

    pub fn schedule_after(&mut self, delay: Duration, event: Event<W>) {
        self.schedule_at(self.now + delay, event);
    }

    /// Starts a balancer and returns its number.
    pub fn add_balancer(&mut self) -> usize {
        let number = self.balancers.len();
        let address = host_address(1, number);
        let domain = number % self.domains;
        let record = Record {
            member: format!("balancer-{number}").parse().expect("a valid name"),
            role: Role::Balancer,
            incarnation: Incarnation(1),
            sequence: Sequence(1),
            state: State::Joining,
            domain: domain_name(domain),
            control: address,
            data: address,
            service: None,
            slots: Slots(0),
            connections: Connections(0),
            generation: Generation(0),
            open_flows: None,
            sole_server: None,
        };
        let seeds = self.balancers.iter().map(|b| b.address).collect();
        let mut core = Control::new(record, seeds, number as u64 + 1, self.now);
        let mut out = Vec::new();
        let live = self.balancers.iter().find(|b| b.alive);
        let snapshot = live.map_or(self.snapshot.clone(), |b| b.core.snapshot());
        core.load_snapshot(snapshot, self.now, &mut out);
        let router = RoutingTableBuilder::default();
        let table = Table::default();
        let host = BalancerHost {
            core,
            alive: true,
            table,
            router,
            domain,
            run: 0,
            address,
        };
        self.addresses.insert(address, Host::Balancer(number));
        self.balancers.push(host);
        self.schedule_after(
            Duration::ZERO,
            Event::BalancerTick {
                balancer: number,
                run: 0,
            },
        );
        self.handle_balancer_outputs(number, out);
        number
    }

    /// Starts a server with its agent and returns their number.
    pub fn add_agent(&mut self, service: &Name, domain: usize, slots: u32, limit: u32) -> usize {
        let number = self.agents.len();
        let address = host_address(2, number);
        let announcement = Announcement {
            service: service.clone(),
            address,
            incarnation: Incarnation(1),
            slots: Slots(slots),
            connections: Connections(limit),
            state: server::State::Active,
        };
        let settings = agent::Settings {
            member: agent_name(number),
            domain: domain_name(domain),
            control: address,
            data: address,
            incarnation: Incarnation(1),
            key: Key::new([0; 16]),
            collectors: self.balancers.iter().map(|b| b.address).collect(),
            mechanisms: SafetyMechanisms::default(),
        };
        let core = Agent::new(settings, number as u64 + 1, self.now);
        let host = AgentHost {
            core,
            alive: true,
            run: 0,
            domain,
            announcement,
            address,
        };
        self.addresses.insert(address, Host::Agent(number));
        self.agents.push(host);
        let jitter = Duration::from_millis(self.rng.random_range(0..20));
        self.schedule_after(Duration::ZERO, Event::Announce { agent: number });
        self.schedule_after(
            jitter,
            Event::AgentTick {
                agent: number,
                run: 0,
            },
        );
        number
    }

    /// Agents of a service that are active in a balancer's view, in ascending order.
    pub fn active_agents(&self, balancer: usize, service: &Name) -> Vec<usize> {
        let live = |entry: &&Entry| entry.record.state == State::Active;
        let entries = self.balancers[balancer]
            .core
            .view()
            .table
            .agents(service)
            .filter(live);
        let mut agents: Vec<usize> = entries.map(|e| host_index(e.record.data)).collect();
        agents.sort_unstable();
        agents
    }

    /// Picks a live balancer at random, as the fabric does for each packet.
    pub fn pick_balancer(&mut self) -> Option<usize> {
        let live: Vec<usize> = (0..self.balancers.len())
            .filter(|b| self.balancers[*b].alive)
            .collect();
        if live.is_empty() {
            return None;
        }
        Some(live[self.rng.random_range(0..live.len())])
    }

    /// Routes a caller's packet by the table of a random balancer and sends it to the agent that
    /// the table names.
    pub fn route(&mut self, bytes: Vec<u8>) {
        let Some(balancer) = self.pick_balancer() else {
            return;
        };
        let Ok(packet) = packet::parse(&bytes) else {
            return;
        };
        let Route::Forward { to, header } = self.balancers[balancer].table.route(&packet) else {
            return;
        };
        let agent = host_index(to);
        if let Some(latency) = self.caller_latency() {
            let domain = self.balancers[balancer].domain;
            self.send_to_agent(latency, domain, agent, header, bytes);
        }
    }

    /// Draws the latency between a caller and a host; `None` if the packet is lost.
    pub fn caller_latency(&mut self) -> Option<Duration> {
        self.latency(self.links.caller)
    }

    pub fn hop_latency(&mut self, from: usize, to: usize) -> Option<Duration> {
        let base = if from == to {
            LOCAL_LATENCY
        } else {
            self.links.domain
        };
        self.latency(base)
    }

    pub fn balancer_domain(&self, balancer: usize) -> usize {
        self.balancers[balancer].domain
    }

    fn latency(&mut self, base: Duration) -> Option<Duration> {
        if self.rng.random_bool(self.links.loss) {
            return None;
        }
        Some(base.mul_f64(self.rng.random_range(0.9..1.3)))
    }

    fn send_to_agent(
        &mut self,
        sent: Duration,
        from: usize,
        agent: usize,
        header: Header,
        packet: Vec<u8>,
    ) {
        let Some(hop) = self.hop_latency(from, self.agents[agent].domain) else {
            return;
        };
        let run = self.agents[agent].run;
        self.schedule_after(
            sent + hop,
            Event::Data {
                agent,
                run,
                header,
                packet,
            },
        );
    }

    /// Handles the next event due by `until`. Returns `Some(Some(_))` for an event of the workload,
    /// `Some(None)` for any other; `None` if none is due, with the clock set to `until`.
    pub fn next(&mut self, until: Instant) -> Option<Option<W>> {
        if self
            .queue
            .peek()
            .is_none_or(|Reverse(scheduled)| scheduled.at > until)
        {
            self.now = until;
            return None;
        }
        let Reverse(scheduled) = self.queue.pop()?;
        self.now = scheduled.at;
        match scheduled.event {
            Event::Workload(event) => return Some(Some(event)),
            Event::Data {
                agent,
                run,
                header,
                packet,
            } => self.handle_data(agent, run, header, packet),
            Event::Control { to, from, message } => self.handle_control(to, from, message),
            Event::AgentTick { agent, run } => self.agent_tick(agent, run),
            Event::BalancerTick { balancer, run } => self.balancer_tick(balancer, run),
            Event::Announce { agent } => self.announce_server(agent),
        }
        Some(None)
    }

    fn handle_data(&mut self, agent: usize, run: u64, header: Header, bytes: Vec<u8>) {
        let host = &mut self.agents[agent];
        if !host.alive || host.run != run {
            return;
        }
        let Ok(packet) = packet::parse(&bytes) else {
            return;
        };
        let mut out = Vec::new();
        match host
            .core
            .handle_packet(&header, &packet, self.now, &mut out)
        {
            Action::Deliver => self.delivered.push(Delivery::Server {
                agent,
                packet: bytes,
            }),
            Action::Forward { to, header } => {
                let domain = host.domain;
                self.send_to_agent(Duration::ZERO, domain, host_index(to), header, bytes);
            }
            Action::Hold | Action::Drop(_) => {}
        }
        self.handle_agent_outputs(agent, out);
    }

    fn handle_control(&mut self, to: SocketAddr, from: SocketAddr, message: Message) {
        let mut out = Vec::new();
        match self.addresses.get(&to) {
            Some(Host::Agent(number)) if self.agents[*number].alive => {
                let number = *number;
                let mut agent_out = Vec::new();
                self.agents[number]
                    .core
                    .handle_message(from, message, self.now, &mut agent_out);
                self.handle_agent_outputs(number, agent_out);
            }
            Some(Host::Balancer(number)) if self.balancers[*number].alive => {
                let number = *number;
                self.balancers[number]
                    .core
                    .handle_message(from, message, self.now, &mut out);
                self.handle_balancer_outputs(number, out);
            }
            _ => {}
        }
    }

    fn agent_tick(&mut self, agent: usize, run: u64) {
        let host = &mut self.agents[agent];
        if !host.alive || host.run != run {
            return;
        }
        let mut out = Vec::new();
        host.core.tick(self.now, &mut out);
        self.schedule_after(AGENT_TICK, Event::AgentTick { agent, run });
        self.handle_agent_outputs(agent, out);
    }

    fn balancer_tick(&mut self, balancer: usize, run: u64) {
        let host = &mut self.balancers[balancer];
        if !host.alive || host.run != run {
            return;
        }
        let mut out = Vec::new();
        host.core.tick(self.now, &mut out);
        if let Some(table) = host.router.update(host.core.view()) {
            host.table = table;
        }
        self.schedule_after(BALANCER_TICK, Event::BalancerTick { balancer, run });
        self.handle_balancer_outputs(balancer, out);
    }

    fn announce_server(&mut self, agent: usize) {
        let host = &mut self.agents[agent];
        if !host.alive {
            return;
        }
        let mut out = Vec::new();
        let event = server::Event::Announced(host.announcement.clone());
        host.core.handle_server_event(event, self.now, &mut out);
        self.schedule_after(ANNOUNCE_PERIOD, Event::Announce { agent });
        self.handle_agent_outputs(agent, out);
    }

    /// Passes a server's load report to its agent.
    pub fn report_load(&mut self, agent: usize, report: server::LoadReport) {
        let mut out = Vec::new();
        let event = server::Event::Reported(report);
        self.agents[agent]
            .core
            .handle_server_event(event, self.now, &mut out);
        self.handle_agent_outputs(agent, out);
    }

    fn handle_agent_outputs(&mut self, agent: usize, out: Vec<agent::Output>) {
        let (from, domain) = (self.agents[agent].address, self.agents[agent].domain);
        for output in out {
            match output {
                agent::Output::Deliver(packet) => {
                    self.delivered.push(Delivery::Server { agent, packet });
                }
                agent::Output::Forward { to, header, packet } => {
                    let to = host_index(to);
                    self.send_to_agent(Duration::ZERO, domain, to, header, packet);
                }
                agent::Output::Reply(packet) => self.delivered.push(Delivery::Caller { packet }),
                agent::Output::Send { to, message } => self.send_control(from, domain, to, message),
                agent::Output::Decision(_) => {}
            }
        }
    }

    fn handle_balancer_outputs(&mut self, balancer: usize, out: Vec<output::Output>) {
        let (from, domain) = (
            self.balancers[balancer].address,
            self.balancers[balancer].domain,
        );
        for output in out {
            match output {
                output::Output::Send { to, message } => {
                    self.send_control(from, domain, to, message)
                }
                output::Output::Store(call) => {
                    // The store is always unavailable, so that the results don't depend on it.
                    let answer = Answer {
                        id: call.id,
                        result: Err(Error::Unavailable),
                    };
                    let mut out = Vec::new();
                    self.balancers[balancer]
                        .core
                        .handle_store_answer(answer, self.now, &mut out);
                    self.handle_balancer_outputs(balancer, out);
                }
                output::Output::Event(_) => {}
            }
        }
    }

    fn send_control(&mut self, from: SocketAddr, domain: usize, to: SocketAddr, message: Message) {
        let target = match self.addresses.get(&to) {
            Some(Host::Agent(number)) => self.agents[*number].domain,
            Some(Host::Balancer(number)) => self.balancers[*number].domain,
            None => return,
        };
        if let Some(latency) = self.hop_latency(domain, target) {
            self.schedule_after(latency, Event::Control { to, from, message });
        }
    }
}

/// Encodes the kind and number of a host as an address. The port is the number plus 1.
fn host_address(kind: u8, number: usize) -> SocketAddr {
    SocketAddr::from(([10, kind, 0, 1], number as u16 + 1))
}

fn host_index(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

pub fn agent_name(number: usize) -> flamingofall::id::Member {
    format!("server-{number}").parse().expect("a valid name")
}

fn domain_name(domain: usize) -> flamingofall::id::Domain {
    format!("domain-{domain}").parse().expect("a valid name")
}

/// Payload of a TCP packet.
pub fn payload<'a>(packet: &Packet<'a>) -> &'a [u8] {
    // The IPv4 and TCP headers carry no options and take 20 bytes each.
    packet.bytes.get(40..).unwrap_or_default()
}

//! Plays a scenario.

mod agents;
mod balancers;
mod clients;
mod faults;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use flamingofall::id::Generation;
use flamingofall::steering::agent::Agent;
use flamingofall::steering::balancer::Balancer;
use flamingofall::steering::log_event::LogEvent;
use flamingofall::steering::routes::{Repeat, Route, Routes, Target};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::check::Checker;
use crate::client::{Client, ClientOptions};
use crate::directory::Directory;
use crate::packet::Packet;
use crate::report::Report;
use crate::scenario::{Scenario, WARM_UP_S};
use crate::server::Server;

/// Time between a server's heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(770);
/// Time between the fabric's readiness checks.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time of a call to the directory, both ways.
const DIRECTORY_ROUND_TRIP: Duration = Duration::from_millis(8);
/// Time after which a call of the directory is repeated.
const DIRECTORY_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// One-way time between a process and another on the same host.
const LOCAL_DELAY: Duration = Duration::from_micros(100);
/// Time for a killed process to start again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Time between a balancer's order to stop and its end.
const BALANCER_STOP_DELAY: Duration = Duration::from_millis(1600);
/// Time that a draining server still serves.
const DRAIN_DURATION: Duration = Duration::from_secs(4);
/// Time after which a draining server may get no new flows.
const DRAIN_GRACE: Duration = Duration::from_secs(3);

/// Time without trouble after which a host counts as undisturbed.
const STABLE_AFTER: Duration = Duration::from_secs(4);
/// Share of the requests that a server leaves without an answer while it fails.
const GREY_UNANSWERED_SHARE: f64 = 0.4;

/// Something that happens at a time.
#[derive(Debug)]
enum Event {
    PacketFromClient(Packet),
    PacketToBalancer(usize, Packet),
    MessageToBalancer(usize, SocketAddr, Vec<u8>),
    MessageToAgent(usize, SocketAddr, Vec<u8>),
    PacketToServer(usize, u32, Packet),
    PacketFromServer(usize, Option<u32>, Packet),
    RequestCompleted(usize, String, Packet),
    PacketToClient(Packet),
    ClientTimer(usize),
    StartRequest(usize),
    TickBalancer(usize),
    TickAgent(usize),
    Heartbeat(usize, String),
    ReadinessCheck,
    StartFault(usize),
    StartBalancer(usize),
    StopBalancer(usize),
    StartAgent(usize),
    StartServer(usize),
    ServerExit(usize, String),
    BalancerReadsDirectory(usize, u64),
    AgentReadsDirectory(usize, u64),
    DirectoryRestored,
}

/// What a host's links to other hosts and the directory carry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Partition {
    /// Nothing.
    Both,
    /// Nothing that the host sends.
    Outgoing,
}

/// What is wrong with a host, and until when.
#[derive(Clone, Copy, Debug, Default)]
struct HostFaults {
    /// Its process stands still.
    frozen: Option<Duration>,
    /// Its process was killed without being told, and is away.
    killed: Option<Duration>,
    partition: Option<(Duration, Partition)>,
}

impl HostFaults {
    fn is_frozen(&self, now: Duration) -> bool {
        self.frozen.is_some_and(|until| now < until)
    }

    /// Whether it is over for [`STABLE_AFTER`]. Until then the guarantees about flows don't cover
    /// what the host does and what happens to its flows.
    fn is_stable(&self, now: Duration) -> bool {
        let ends = [
            self.frozen,
            self.killed,
            self.partition.map(|(until, _)| until),
        ];
        let last = ends.into_iter().flatten().max();
        last.is_none_or(|until| until + STABLE_AFTER < now)
    }

    fn can_send(&self, now: Duration) -> bool {
        self.partition.is_none_or(|(until, _)| now >= until)
    }

    fn can_receive(&self, now: Duration) -> bool {
        let blocks_incoming = |(until, partition)| partition == Partition::Both && now < until;
        !self.partition.is_some_and(blocks_incoming)
    }
}

struct BalancerHost {
    address: SocketAddr,
    core: Option<Balancer>,
    starts: u64,
    stopping: bool,
    failed_checks: u32,
    faults: HostFaults,
}

struct ServerHost {
    address: SocketAddr,
    service: String,
    core: Option<Agent>,
    starts: u64,
    server: Option<Server>,
    draining_since: Option<Duration>,
    faults: HostFaults,
    /// Until when the server is slow, and how many times.
    slow: Option<(Duration, u32)>,
    /// Until when the server leaves some requests without an answer.
    grey: Option<Duration>,
}

/// A run in progress.
pub struct Simulation {
    scenario: Scenario,
    random: SmallRng,
    start: Instant,
    now: Duration,
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    events: Vec<Option<Event>>,
    event_sequence: u64,
    balancers: Vec<BalancerHost>,
    hosts: Vec<ServerHost>,
    clients: Vec<Client>,
    directory: Directory,
    checker: Checker,
    /// Until when clients ask more often, and how many times.
    burst: Option<(Duration, f64)>,
    /// Until when links lose datagrams, and the share.
    lossy: Option<(Duration, f64)>,
    end: Duration,
    next_id: u64,
    report: Report,
    /// Whether log lines are kept.
    keep_log: bool,
}

/// Plays a scenario with a seed.
///
/// ```
/// use flamingofall_emulator::{scenario::Scenario, simulation};
///
/// let stable = Scenario { length_s: 2.0, ..Scenario::default() };
/// let report = simulation::simulate(calm, 1);
/// assert!(report.violations.is_empty());
/// assert!(report.served_share() > 0.99);
/// ```
pub fn simulate(scenario: Scenario, seed: u64) -> Report {
    Simulation::new(scenario, seed).run()
}

/// Plays a scenario with a seed and keeps the log lines of all processes in the report.
pub fn simulate_with_log(scenario: Scenario, seed: u64) -> Report {
    let mut simulation = Simulation::new(scenario, seed);
    simulation.keep_log = true;
    simulation.run()
}

fn service_address(index: usize) -> SocketAddr {
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

fn service_name(index: usize) -> String {
    format!("service-{index}")
}

impl Simulation {
    fn run(mut self) -> Report {
        while let Some(Reverse((at, _, index))) = self.queue.pop() {
            if at > self.end {
                break;
            }
            self.now = at;
            if let Some(event) = self.events[index].take() {
                self.handle(event);
            }
        }
        self.report
    }

    /// Keeps a log line of a process.
    fn log(&mut self, node: &str, note: &LogEvent) {
        if self.keep_log {
            let at = self.now.as_secs_f64();
            self.report
                .log_lines
                .push(format!("{node} time={at:.6} {note}"));
        }
    }

    fn new(scenario: Scenario, seed: u64) -> Self {
        let warm_up = Duration::from_secs_f64(WARM_UP_S);
        let end = warm_up + Duration::from_secs_f64(scenario.length_s);
        let mut simulation = Self {
            random: SmallRng::seed_from_u64(seed),
            start: Instant::now(),
            now: Duration::ZERO,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            event_sequence: 0,
            balancers: Vec::new(),
            hosts: Vec::new(),
            clients: Vec::new(),
            directory: Directory {
                available: true,
                ..Directory::default()
            },
            checker: Checker::new(DRAIN_GRACE),
            burst: None,
            lossy: None,
            end,
            next_id: 0,
            report: Report::new(),
            keep_log: false,
            scenario,
        };
        simulation.change_configuration();
        for _ in 0..simulation.scenario.balancers {
            simulation.add_balancer();
        }
        for (index, count) in simulation.scenario.servers.clone().into_iter().enumerate() {
            for _ in 0..count {
                simulation.add_host(service_name(index));
            }
        }
        for index in 0..simulation.scenario.clients {
            let options = ClientOptions {
                flow_per_request: simulation.random.random_bool(simulation.scenario.fresh),
                retries_sent_requests: simulation.random.random_bool(simulation.scenario.repeats),
                deadline: Duration::from_millis(simulation.scenario.deadline_ms),
            };
            let target = service_address(index % simulation.scenario.servers.len());
            let client = Client::new(client_ip(index), target, options);
            simulation.clients.push(client);
            let wait = simulation.draw_pause();
            simulation.schedule_at(warm_up + wait, Event::StartRequest(index));
        }
        for (index, event) in simulation.scenario.events.clone().into_iter().enumerate() {
            let at = warm_up + Duration::from_secs_f64(event.at_s);
            simulation.schedule_at(at, Event::StartFault(index));
        }
        simulation.schedule_at(READINESS_CHECK_INTERVAL, Event::ReadinessCheck);
        simulation
    }

    fn schedule_at(&mut self, at: Duration, event: Event) {
        self.event_sequence += 1;
        self.queue
            .push(Reverse((at, self.event_sequence, self.events.len())));
        self.events.push(Some(event));
    }

    fn schedule_after(&mut self, wait: Duration, event: Event) {
        self.schedule_at(self.now + wait, event);
    }

    fn instant(&self) -> Instant {
        self.start + self.now
    }

    fn draw_pause(&mut self) -> Duration {
        let burst = self.burst.filter(|(until, _)| self.now < *until);
        let times = burst.map_or(1.0, |(_, times)| times.max(0.1));
        let mean = (self.scenario.pause_ms as f64 / times).max(1.0) as u64;
        Duration::from_millis(self.random.random_range(0..mean * 2))
    }

    /// One-way time of a datagram, or nothing if it is lost.
    fn link_delay(&mut self) -> Option<Duration> {
        let lossy = self.lossy.filter(|(until, _)| self.now < *until);
        let loss = lossy.map_or(self.scenario.loss, |(_, share)| share);
        if self.random.random_bool(loss.clamp(0.0, 1.0)) {
            return None;
        }
        let factor = self.random.random_range(0.85..1.15);
        Some(Duration::from_secs_f64(
            self.scenario.delay_ms / 1000.0 * factor,
        ))
    }

    /// Whether links have lost no more than usual for [`STABLE_AFTER`].
    fn links_stable(&self) -> bool {
        self.lossy
            .is_none_or(|(until, _)| until + STABLE_AFTER < self.now)
    }

    fn change_configuration(&mut self) {
        let generation = self.directory.routes.generation.0 + 1;
        let count = self.scenario.servers.len();
        let mut routes = Vec::new();
        for index in 0..count {
            let mut targets = vec![Target {
                service: service_name(index),
                weight: 90,
            }];
            if index == 0 && count > 1 && generation > 1 {
                targets.push(Target {
                    service: service_name(1),
                    weight: 10 + (generation as u32 % 5) * 10,
                });
            }
            for target in &targets {
                self.checker.allow(service_address(index), &target.service);
            }
            routes.push(Route {
                name: format!("route-{index}"),
                address: service_address(index),
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

    fn add_balancer(&mut self) {
        let index = self.balancers.len();
        self.balancers.push(BalancerHost {
            address: SocketAddr::from((Ipv4Addr::new(10, 0, 0, index as u8 + 1), 7720)),
            core: None,
            starts: 0,
            stopping: false,
            failed_checks: 2,
            faults: HostFaults::default(),
        });
        self.schedule_after(Duration::ZERO, Event::StartBalancer(index));
    }

    fn add_host(&mut self, service: String) {
        let index = self.hosts.len();
        let [_, _, high, low] = (index as u32 + 1).to_be_bytes();
        self.hosts.push(ServerHost {
            address: SocketAddr::from((Ipv4Addr::new(10, 1, high, low), 8172)),
            service,
            core: None,
            starts: 0,
            server: None,
            draining_since: None,
            faults: HostFaults::default(),
            slow: None,
            grey: None,
        });
        self.schedule_after(Duration::ZERO, Event::StartAgent(index));
        self.schedule_after(Duration::from_millis(50), Event::StartServer(index));
    }

    /// When the process that an event belongs to goes on, if it stands still.
    fn frozen_until(&self, event: &Event) -> Option<Duration> {
        let faults = match event {
            Event::PacketToBalancer(index, _)
            | Event::MessageToBalancer(index, ..)
            | Event::TickBalancer(index)
            | Event::BalancerReadsDirectory(index, _) => &self.balancers[*index].faults,
            Event::MessageToAgent(index, ..)
            | Event::PacketFromServer(index, ..)
            | Event::TickAgent(index)
            | Event::AgentReadsDirectory(index, _) => &self.hosts[*index].faults,
            _ => return None,
        };
        faults.frozen.filter(|until| self.now < *until)
    }

    fn handle(&mut self, event: Event) {
        if let Some(frozen_until) = self.frozen_until(&event) {
            return self.schedule_at(frozen_until, event);
        }
        match event {
            Event::PacketFromClient(packet) => self.packet_from_client(packet),
            Event::PacketToBalancer(index, packet) => self.packet_to_balancer(index, &packet),
            Event::MessageToBalancer(index, from, bytes) => {
                self.message_to_balancer(index, from, &bytes)
            }
            Event::MessageToAgent(index, from, bytes) => self.message_to_agent(index, from, &bytes),
            Event::PacketToServer(index, token, packet) => {
                self.packet_to_server(index, token, packet)
            }
            Event::PacketFromServer(index, token, packet) => {
                self.packet_from_server(index, token, packet)
            }
            Event::RequestCompleted(index, name, packet) => {
                self.request_completed(index, &name, &packet)
            }
            Event::PacketToClient(packet) => self.packet_to_client(&packet),
            Event::ClientTimer(index) => self.client_timer(index),
            Event::StartRequest(index) => self.start_request(index),
            Event::TickBalancer(index) => self.tick_balancer(index),
            Event::TickAgent(index) => self.tick_agent(index),
            Event::Heartbeat(index, name) => self.heartbeat(index, &name),
            Event::ReadinessCheck => self.check_readiness(),
            Event::StartFault(index) => self.start_fault(index),
            Event::StartBalancer(index) => self.start_balancer(index),
            Event::StopBalancer(index) => self.kill_balancer(index, Duration::ZERO),
            Event::StartAgent(index) => self.start_agent(index),
            Event::StartServer(index) => self.start_server(index),
            Event::ServerExit(index, name) => self.server_exit(index, &name),
            Event::BalancerReadsDirectory(index, starts) => {
                self.balancer_reads_directory(index, starts)
            }
            Event::AgentReadsDirectory(index, starts) => self.agent_reads_directory(index, starts),
            Event::DirectoryRestored => {
                self.directory.available = true;
                self.directory.stale_copy = None;
            }
        }
    }
}

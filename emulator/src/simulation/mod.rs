//! The discrete-event simulation that runs a scenario.

mod agents;
mod balancers;
mod clients;
mod faults;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use flamingofall::id::{Era, Generation};
use flamingofall::steering::agent::Agent;
use flamingofall::steering::balancer::Balancer;
use flamingofall::steering::log_event::LogEvent;
use flamingofall::steering::routes::{Repeat, Route, Routes, Target};
use flamingofall::steering::snapshot::Snapshot;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::check::Checker;
use crate::client::{Client, ClientOptions};
use crate::directory::Directory;
use crate::packet::Packet;
use crate::report::Report;
use crate::scenario::{Scenario, WARM_UP_S};
use crate::server::Server;

/// Interval between a server's heartbeats to its agent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(770);
/// Interval at which the fabric checks the readiness of all balancers.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time from a call to the directory to its answer.
const DIRECTORY_ROUND_TRIP: Duration = Duration::from_millis(8);
/// Time after which a failed call to the directory is repeated.
const DIRECTORY_RETRY_INTERVAL: Duration = Duration::from_millis(400);
/// One-way delay between two processes on the same host.
const LOCAL_DELAY: Duration = Duration::from_micros(100);
/// Time that a killed process takes to start again, in addition to the length of the fault.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Time from the request to stop a balancer to its exit. The balancer isn't ready during this time,
/// so the fabric takes it out of rotation first.
const BALANCER_STOP_DELAY: Duration = Duration::from_millis(1600);
/// Time from the request to stop an agent to its exit.
const AGENT_STOP_DELAY: Duration = Duration::from_millis(300);
/// Time from the heartbeat that reports the drain to the exit of the server.
const DRAIN_DURATION: Duration = Duration::from_secs(4);
/// Time after the heartbeat that reports the drain from which on no new flow may reach the server.
const DRAIN_GRACE: Duration = Duration::from_secs(3);

/// Time without faults after which a host or the links count as stable.
const STABLE_AFTER: Duration = Duration::from_secs(4);
/// Share of the requests that a server leaves unanswered during [`EventKind::GreyServers`].
///
/// [`EventKind::GreyServers`]: crate::scenario::EventKind::GreyServers
const GREY_UNANSWERED_SHARE: f64 = 0.4;

/// A scheduled event. The first field is the index of the client, balancer, server host or fault
/// that it concerns.
#[derive(Debug)]
enum Event {
    /// A client's packet arrives at the fabric.
    PacketFromClient(Packet),
    PacketToBalancer(usize, Packet),
    /// An encoded message arrives from the address given.
    MessageToBalancer(usize, SocketAddr, Vec<u8>),
    /// An encoded message arrives from the address given.
    MessageToAgent(usize, SocketAddr, Vec<u8>),
    /// The agent delivers a packet, with the token for its return.
    PacketToServer(usize, u32, Packet),
    /// The server sends a packet to its client or, with a token, returns one to its agent.
    PacketFromServer(usize, Option<u32>, Packet),
    /// The server with this name has processed the request in the packet.
    RequestCompleted(usize, String, Packet),
    PacketToClient(Packet),
    ClientTimer(usize),
    StartRequest(usize),
    TickBalancer(usize),
    TickAgent(usize),
    /// The server with this name sends a heartbeat.
    Heartbeat(usize, String),
    ReadinessCheck,
    /// An event of the scenario begins.
    StartFault(usize),
    StartBalancer(usize),
    StopBalancer(usize),
    StartAgent(usize),
    /// The process with this start count is asked to stop, and starts again after the time given.
    StopAgent(usize, u64, Duration),
    /// The process with this start count exits, and starts again after the time given.
    AgentExit(usize, u64, Duration),
    StartServer(usize),
    /// A server starts whose first heartbeat is a whole interval away.
    StartSilentServer(usize),
    /// The server begins to drain.
    DrainServer(usize),
    /// The server with this name exits at the end of its drain.
    ServerExit(usize, String),
    /// A call to the directory, made by the process with this start count, returns.
    BalancerReadsDirectory(usize, u64),
    /// A call to the directory, made by the process with this start count, returns.
    AgentReadsDirectory(usize, u64),
    /// The directory answers again, with current lists.
    DirectoryRestored,
    /// The directory comes back from a copy.
    RestoreDirectory(Box<Directory>),
    /// A call to the directory, made by the process with this start count, names a new era.
    BalancerLearnsEra(usize, u64),
}

/// The direction in which a host is cut off from other hosts and the directory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Partition {
    /// Both directions.
    Both,
    /// Only what the host sends is lost.
    Outgoing,
}

/// The faults of a host's balancer or agent and the simulation time at which each ends.
#[derive(Clone, Copy, Debug, Default)]
struct HostFaults {
    /// The process is suspended; its events wait until this time.
    frozen: Option<Duration>,
    /// The process was killed without a chance to leave, and starts again at this time.
    killed: Option<Duration>,
    /// The host is cut off.
    partition: Option<(Duration, Partition)>,
    /// A link of the host to a single other host loses everything in one direction.
    pair_muted: Option<Duration>,
}

impl HostFaults {
    fn is_frozen(&self, now: Duration) -> bool {
        self.frozen.is_some_and(|until| now < until)
    }

    /// Whether the last fault ended more than [`STABLE_AFTER`] ago. Until then the guarantees that
    /// flows are not reset and not misrouted don't cover the host.
    fn is_stable(&self, now: Duration) -> bool {
        let ends = [
            self.frozen,
            self.killed,
            self.partition.map(|(until, _)| until),
            self.pair_muted,
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

/// A host with a balancer.
struct BalancerHost {
    address: SocketAddr,
    /// The balancer's state machine, while its process runs.
    state_machine: Option<Balancer>,
    /// Number of times that the process has started; tells the calls of earlier processes apart.
    starts: u64,
    stopping: bool,
    /// Failed readiness checks since the last one that passed.
    failed_checks: u32,
    faults: HostFaults,
}

/// A host with a server and its agent.
struct ServerHost {
    address: SocketAddr,
    service: String,
    /// The agent's state machine, while its process runs.
    state_machine: Option<Agent>,
    /// Number of times that the agent has started; tells the calls of earlier processes apart.
    starts: u64,
    server: Option<Server>,
    /// Time of the first heartbeat that reported the server's drain to its agent.
    draining_since: Option<Duration>,
    faults: HostFaults,
    /// End of the slowdown, and the factor by which processing takes longer.
    slowdown: Option<(Duration, u32)>,
    /// End of the time in which the server leaves some requests unanswered.
    grey_until: Option<Duration>,
    /// Whether another server starts on the host when this one exits after its drain.
    replaced: bool,
    /// Time by which the host's clock has gone back.
    clock_behind: Duration,
    /// The last snapshot that the agent saved.
    snapshot: Option<Snapshot>,
    /// Era in which the agent last wrote because the directory had come back from a copy.
    written_era: Era,
}

impl ServerHost {
    /// Time on the host's clock, from the start of the run.
    fn clock(&self, now: Duration) -> Duration {
        now.saturating_sub(self.clock_behind)
    }
}

/// A run of a scenario in progress.
///
/// Times are virtual and count from the start of the run. Events at the same time happen in the
/// order in which they were scheduled, and all random numbers come from one seeded generator, so
/// that a run with the same seed is the same.
pub struct Simulation {
    scenario: Scenario,
    random: SmallRng,
    /// Start of the run on the clock that the state machines use.
    start: Instant,
    now: Duration,
    /// Scheduled events: time, order of scheduling, and index in `events`.
    queue: BinaryHeap<Reverse<(Duration, u64, usize)>>,
    events: Vec<Option<Event>>,
    /// Number of events scheduled so far.
    event_sequence: u64,
    balancers: Vec<BalancerHost>,
    hosts: Vec<ServerHost>,
    clients: Vec<Client>,
    directory: Directory,
    checker: Checker,
    /// End of the burst, and the factor by which clients send requests more often.
    burst: Option<(Duration, f64)>,
    /// End of the increased packet loss, and the share of datagrams lost.
    extra_loss: Option<(Duration, f64)>,
    /// Pairs of sender and receiver between which everything is lost until the time given.
    muted_pairs: Vec<(SocketAddr, SocketAddr, Duration)>,
    end: Duration,
    /// Id of the last request.
    next_id: u64,
    report: Report,
    /// Whether the report gets the log lines of all processes.
    keep_log: bool,
}

/// Runs a scenario with a seed.
///
/// ```
/// use flamingofall_emulator::{scenario::Scenario, simulation};
///
/// let calm = Scenario { length_s: 2.0, ..Scenario::default() };
/// let report = simulation::simulate(calm, 1);
/// assert!(report.violations.is_empty());
/// assert!(report.served_share() > 0.99);
/// ```
pub fn simulate(scenario: Scenario, seed: u64) -> Report {
    Simulation::new(scenario, seed).run()
}

/// Runs a scenario with a seed and puts the log lines of all processes into the report, in the
/// format that `flamingofall explain` reads.
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

/// The index of the client with this address, the inverse of [`client_ip`].
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
        self.report.records_missing = self.missing_records();
        self.report
    }

    /// Number of running agents that the directory doesn't list with the state that they are in.
    fn missing_records(&self) -> usize {
        let agents = self
            .hosts
            .iter()
            .filter_map(|host| host.state_machine.as_ref());
        let missing = |agent: &&Agent| {
            let member = agent.member();
            self.directory.members.get(&member.agent) != Some(member)
        };
        agents.filter(missing).count()
    }

    /// Adds a log line of a process to the report if log lines are kept.
    fn log(&mut self, node: &str, event: &LogEvent) {
        if self.keep_log {
            let at = self.now.as_secs_f64();
            self.report
                .log_lines
                .push(format!("{node} time={at:.6} {event}"));
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
                era: Era(1),
                ..Directory::default()
            },
            checker: Checker::new(DRAIN_GRACE),
            burst: None,
            extra_loss: None,
            muted_pairs: Vec::new(),
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
                ports: simulation.scenario.ports,
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

    /// The current time on the clock that the state machines use.
    fn instant(&self) -> Instant {
        self.start + self.now
    }

    /// Draws the time between a client's requests.
    fn draw_pause(&mut self) -> Duration {
        let burst = self.burst.filter(|(until, _)| self.now < *until);
        let factor = burst.map_or(1.0, |(_, factor)| factor.max(0.1));
        let mean = (self.scenario.pause_ms as f64 / factor).max(1.0) as u64;
        Duration::from_millis(self.random.random_range(0..mean * 2))
    }

    /// Draws the one-way delay of a datagram between hosts; `None` if it is lost.
    fn link_delay(&mut self) -> Option<Duration> {
        let extra_loss = self.extra_loss.filter(|(until, _)| self.now < *until);
        let loss = extra_loss.map_or(self.scenario.loss, |(_, share)| share);
        if self.random.random_bool(loss.clamp(0.0, 1.0)) {
            return None;
        }
        let factor = self.random.random_range(0.85..1.15);
        Some(Duration::from_secs_f64(
            self.scenario.delay_ms / 1000.0 * factor,
        ))
    }

    /// Whether the last increase of packet loss ended more than [`STABLE_AFTER`] ago.
    fn links_stable(&self) -> bool {
        self.extra_loss
            .is_none_or(|(until, _)| until + STABLE_AFTER < self.now)
    }

    /// Stores a configuration with the next generation in the directory. From the second generation
    /// on, the first route also targets the second service, with a weight that changes each time.
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
            routes,
            idle_timeout: Duration::from_secs(15),
        };
    }

    fn add_balancer(&mut self) {
        let index = self.balancers.len();
        self.balancers.push(BalancerHost {
            address: SocketAddr::from((Ipv4Addr::new(10, 0, 0, index as u8 + 1), 7720)),
            state_machine: None,
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
            state_machine: None,
            starts: 0,
            server: None,
            draining_since: None,
            faults: HostFaults::default(),
            slowdown: None,
            grey_until: None,
            replaced: false,
            clock_behind: Duration::ZERO,
            snapshot: None,
            written_era: Era::default(),
        });
        self.schedule_after(Duration::ZERO, Event::StartAgent(index));
        self.schedule_after(Duration::from_millis(50), Event::StartServer(index));
    }

    /// The end of the suspension, if the event needs a process that is suspended.
    fn frozen_until(&self, event: &Event) -> Option<Duration> {
        let faults = match event {
            Event::PacketToBalancer(index, _)
            | Event::MessageToBalancer(index, ..)
            | Event::TickBalancer(index)
            | Event::BalancerReadsDirectory(index, _) => &self.balancers[*index].faults,
            Event::MessageToAgent(index, ..)
            | Event::PacketFromServer(index, ..)
            | Event::TickAgent(index)
            | Event::StopAgent(index, ..)
            | Event::AgentExit(index, ..)
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
            Event::StopAgent(index, starts, pause) => self.stop_agent(index, starts, pause),
            Event::AgentExit(index, starts, pause) => self.agent_exit(index, starts, pause),
            Event::StartServer(index) => self.start_server(index, Duration::ZERO),
            Event::StartSilentServer(index) => self.start_server(index, HEARTBEAT_INTERVAL),
            Event::DrainServer(index) => self.drain_server(index),
            Event::ServerExit(index, name) => self.server_exit(index, &name),
            Event::BalancerReadsDirectory(index, starts) => {
                self.balancer_reads_directory(index, starts)
            }
            Event::AgentReadsDirectory(index, starts) => self.agent_reads_directory(index, starts),
            Event::RestoreDirectory(copy) => self.restore_directory(*copy),
            Event::BalancerLearnsEra(index, starts) => self.balancer_learns_era(index, starts),
            Event::DirectoryRestored => {
                self.directory.available = true;
                self.directory.stale_copy = None;
            }
        }
    }
}

//! Simulated callers and servers: flows with heavy-tailed durations that send requests.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use etherparse::PacketBuilder;
use flamingofall::config::{Address, Config, Service};
use flamingofall::hash::hash_bytes;
use flamingofall::id::Service as Name;
use flamingofall::packet::{self, Flow, Kind, Protocol};
use flamingofall::rank;
use flamingofall::server;
use hdrhistogram::Histogram;
use rand::Rng;
use strum::{Display, EnumIter};

use crate::network::{payload, Delivery, Event, Links, Network};

/// How a server is chosen for a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Policy {
    /// The balancer takes the flow's hash modulo the number of active servers.
    Hash,
    /// The balancer uses rendezvous hashing, weighted by the servers' load reports.
    Reports,
    /// This project's policy: the flow's arbiter accepts it, passes it on or refuses it.
    Arbiter,
}

/// Event or fault that a run simulates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Case {
    Steady,
    JoinCold,
    Drain,
    Shed,
    ReportLate,
    ReportZero,
    DomainLost,
    BalancersReplaced,
    Surge,
}

/// A deployment's service under test.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    pub name: &'static str,
    pub servers: usize,
    pub slots: u32,
    pub domains: usize,
    pub links: Links,
}

/// Results of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub flows: u64,
    pub broken: u64,
    /// Flows whose server died. No policy can keep them alive.
    pub lost_with_server: u64,
    pub refused: u64,
    /// Flows that the caller gave up because none of its SYNs was answered.
    pub unopened: u64,
    /// SYNs that reached a second server while another one owned the flow.
    pub second_owners: u64,
    /// Highest slot occupancy over the mean, in thousandths, one value per window.
    pub imbalance: Histogram<u64>,
    /// Milliseconds from sending a request to its completion.
    pub latency: Histogram<u64>,
}

const RUN_DURATION: Duration = Duration::from_secs(300);
const WARM_UP: Duration = Duration::from_secs(60);
const FAULT_START: Duration = Duration::from_secs(120);
const FAULT_END: Duration = Duration::from_secs(180);
const IMBALANCE_WINDOW: Duration = Duration::from_secs(10);
const FLOWS_PER_SERVER: usize = 200;
const CONNECTIONS_PER_SERVER: u32 = 2000;
const MEAN_SERVICE_TIME: Duration = Duration::from_millis(150);
/// Mean share of all slots that the requests occupy.
const UTILISATION: f64 = 0.6;
const SURGE_UTILISATION: f64 = 1.5;
/// Bounded Pareto distribution of flow durations.
const FLOW_DURATION_MIN_SECS: f64 = 15.0;
const FLOW_DURATION_MAX_SECS: f64 = 3600.0;
const FLOW_DURATION_SHAPE: f64 = 1.3;
const SYN_RETRY_DELAYS_SECS: [u64; 5] = [1, 2, 4, 8, 16];
const MAX_SYN_ACK_RETRIES: u32 = 5;
const INITIAL_RETRANSMIT_DELAY: Duration = Duration::from_millis(300);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);
const COLD_START_DURATION: Duration = Duration::from_secs(30);
const COLD_START_SLOWDOWN: f64 = 4.0;

#[derive(Clone, Debug)]
pub enum WorkloadEvent {
    SendSyn {
        flow: usize,
        attempt: usize,
    },
    Established {
        flow: usize,
    },
    AcknowledgeSynAck {
        flow: usize,
        attempt: u32,
    },
    StartRequest {
        flow: usize,
    },
    TransmitRequest {
        flow: usize,
        request: u32,
        attempt: u32,
        first_sent: Instant,
    },
    CompleteRequest {
        server: usize,
        flow: usize,
        request: u32,
        sent: Instant,
    },
    OpenFlow,
    ReportLoads,
    CloseWindow,
    StartFault,
    EndFault,
}

#[derive(Clone, Debug)]
struct FlowState {
    owner: Option<usize>,
    established: bool,
    /// Whether the server has received a non-SYN segment of the caller.
    ack_received: bool,
    closed: bool,
    ends_at: Instant,
    /// Requests per second, relative to the mean flow.
    activity: f64,
    request: u32,
    request_received: bool,
    sent: Instant,
}

#[derive(Clone, Debug)]
struct Server {
    alive: bool,
    counts_for_imbalance: bool,
    started: Instant,
    starts_cold: bool,
    occupied: u32,
    queue: VecDeque<(usize, u32, Instant)>,
    open_flows: u32,
    /// Occupied slots integrated over the current window, up to `slot_secs_updated`.
    slot_secs: f64,
    slot_secs_updated: Instant,
    /// Load reports of the last seconds, oldest first.
    reports: VecDeque<u32>,
    shedding: bool,
}

pub struct Simulation {
    policy: Policy,
    case: Case,
    deployment: Deployment,
    network: Network<WorkloadEvent>,
    service: Name,
    address: SocketAddr,
    flows: Vec<FlowState>,
    servers: Vec<Server>,
    reported_slots: Vec<u32>,
    started: Instant,
    surging: bool,
    outcome: Outcome,
}

impl Simulation {
    pub fn new(policy: Policy, case: Case, deployment: Deployment, seed: u64) -> Self {
        let name: Name = "service".parse().expect("a valid name");
        let address = SocketAddr::from(([192, 0, 2, 1], 443));
        let addresses = vec![Address {
            protocol: Protocol::Tcp,
            address,
        }];
        let mut service = Service::new(
            name.clone(),
            "organisation".parse().expect("a valid name"),
            addresses,
        );
        service.cold_start_ms = COLD_START_DURATION.as_millis() as u64;
        let mut config = Config::default();
        config.services.insert(name.clone(), service);
        let mut network = Network::new(deployment.links, deployment.domains, &config, seed);
        for _ in 0..3 {
            network.add_balancer();
        }
        let started = network.now;
        let mut run = Self {
            policy,
            case,
            deployment,
            network,
            service: name,
            address,
            flows: Vec::new(),
            servers: Vec::new(),
            reported_slots: Vec::new(),
            started,
            surging: false,
            outcome: Outcome {
                flows: 0,
                broken: 0,
                lost_with_server: 0,
                refused: 0,
                unopened: 0,
                second_owners: 0,
                imbalance: Histogram::new(3).expect("valid precision"),
                latency: Histogram::new(3).expect("valid precision"),
            },
        };
        for _ in 0..deployment.servers {
            run.add_server(false);
        }
        run
    }

    pub fn run(mut self) -> Outcome {
        // Flows start only after the agents have joined, which takes a few seconds.
        let settle = Duration::from_secs(40);
        self.network
            .schedule_after(settle, Event::Workload(WorkloadEvent::OpenFlow));
        self.network.schedule_after(
            Duration::from_secs(1),
            Event::Workload(WorkloadEvent::ReportLoads),
        );
        self.started = self.network.now + settle;
        for _ in 0..self.deployment.servers * FLOWS_PER_SERVER {
            let spread = self.network.rng.random_range(0..30_000);
            let flow = self.new_flow(true);
            let at = self.started + Duration::from_millis(spread);
            self.network.schedule_at(
                at,
                Event::Workload(WorkloadEvent::SendSyn { flow, attempt: 0 }),
            );
        }
        self.network.schedule_at(
            self.started + WARM_UP,
            Event::Workload(WorkloadEvent::CloseWindow),
        );
        self.network.schedule_at(
            self.started + FAULT_START,
            Event::Workload(WorkloadEvent::StartFault),
        );
        self.network.schedule_at(
            self.started + FAULT_END,
            Event::Workload(WorkloadEvent::EndFault),
        );
        let end = self.started + RUN_DURATION;
        while let Some(event) = self.network.next(end) {
            if let Some(event) = event {
                self.handle_event(event);
            }
            for delivery in std::mem::take(&mut self.network.delivered) {
                match delivery {
                    Delivery::Server { agent, packet } => self.server_received(agent, &packet),
                    Delivery::Caller { packet } => self.caller_received_reset(&packet),
                }
            }
        }
        self.outcome
    }

    fn add_server(&mut self, starts_cold: bool) -> usize {
        let number = self.servers.len();
        let domain = number % self.deployment.domains;
        let agent = self.network.add_agent(
            &self.service,
            domain,
            self.deployment.slots,
            CONNECTIONS_PER_SERVER,
        );
        debug_assert_eq!(agent, number);
        let now = self.network.now;
        self.servers.push(Server {
            alive: true,
            counts_for_imbalance: true,
            started: now,
            starts_cold,
            occupied: 0,
            queue: VecDeque::new(),
            open_flows: 0,
            slot_secs: 0.0,
            slot_secs_updated: now,
            reports: VecDeque::new(),
            shedding: false,
        });
        self.reported_slots.push(0);
        number
    }

    /// Draws the duration and the activity of a flow. Flows that are open from the start get a
    /// residual duration instead, of at least 30 seconds.
    fn new_flow(&mut self, initial: bool) -> usize {
        let draw: f64 = self.network.rng.random_range(1e-6..1.0);
        let mut length = (FLOW_DURATION_MIN_SECS / draw.powf(1.0 / FLOW_DURATION_SHAPE))
            .min(FLOW_DURATION_MAX_SECS);
        if initial {
            length = length.max(60.0) * self.network.rng.random_range(0.5..1.5);
        }
        // One flow in ten sends 11 times as many requests as the others; the mean is 1.
        let activity = if self.network.rng.random_bool(0.1) {
            5.5
        } else {
            0.5
        };
        let now = self.network.now;
        self.flows.push(FlowState {
            owner: None,
            established: false,
            ack_received: false,
            closed: false,
            ends_at: self.started.max(now) + Duration::from_secs_f64(length),
            activity,
            request: 0,
            request_received: true,
            sent: now,
        });
        self.outcome.flows += 1;
        self.flows.len() - 1
    }

    fn handle_event(&mut self, event: WorkloadEvent) {
        match event {
            WorkloadEvent::OpenFlow => self.open_flow(),
            WorkloadEvent::SendSyn { flow, attempt } => self.send_syn(flow, attempt),
            WorkloadEvent::Established { flow } => self.established(flow),
            WorkloadEvent::AcknowledgeSynAck { flow, attempt } => {
                self.acknowledge_syn_ack(flow, attempt)
            }
            WorkloadEvent::StartRequest { flow } => self.start_request(flow),
            WorkloadEvent::TransmitRequest {
                flow,
                request,
                attempt,
                first_sent,
            } => {
                self.transmit_request(flow, request, attempt, first_sent);
            }
            WorkloadEvent::CompleteRequest {
                server,
                flow,
                request,
                sent,
            } => self.complete_request(server, flow, request, sent),
            WorkloadEvent::ReportLoads => self.report_loads(),
            WorkloadEvent::CloseWindow => self.close_window(),
            WorkloadEvent::StartFault => self.start_fault(),
            WorkloadEvent::EndFault => self.end_fault(),
        }
    }

    fn open_flow(&mut self) {
        let flow = self.new_flow(false);
        self.send_syn(flow, 0);
        let mean = FLOW_DURATION_MIN_SECS * FLOW_DURATION_SHAPE / (FLOW_DURATION_SHAPE - 1.0);
        let rate = (self.deployment.servers * FLOWS_PER_SERVER) as f64 / mean;
        let wait = exponential(&mut self.network.rng, 1.0 / rate);
        self.network
            .schedule_after(wait, Event::Workload(WorkloadEvent::OpenFlow));
    }

    fn send_syn(&mut self, flow: usize, attempt: usize) {
        let state = &self.flows[flow];
        if state.established || state.closed {
            return;
        }
        let Some(wait) = SYN_RETRY_DELAYS_SECS.get(attempt) else {
            self.outcome.unopened += 1;
            self.flows[flow].closed = true;
            return;
        };
        self.send_packet(flow, Kind::Syn, 0);
        let retry = WorkloadEvent::SendSyn {
            flow,
            attempt: attempt + 1,
        };
        self.network
            .schedule_after(Duration::from_secs(*wait), Event::Workload(retry));
    }

    fn established(&mut self, flow: usize) {
        let state = &mut self.flows[flow];
        if state.established || state.closed {
            return;
        }
        state.established = true;
        self.acknowledge_syn_ack(flow, 0);
        self.schedule_next_request(flow);
    }

    /// Sends the ACK of the server's SYN-ACK. The server retransmits the SYN-ACK until the ACK
    /// arrives.
    fn acknowledge_syn_ack(&mut self, flow: usize, attempt: u32) {
        let state = &self.flows[flow];
        if state.closed || state.ack_received || attempt > MAX_SYN_ACK_RETRIES {
            return;
        }
        self.send_packet(flow, Kind::Segment, 0);
        let wait = Duration::from_secs(1 << attempt);
        let retry = WorkloadEvent::AcknowledgeSynAck {
            flow,
            attempt: attempt + 1,
        };
        self.network.schedule_after(wait, Event::Workload(retry));
    }

    fn schedule_next_request(&mut self, flow: usize) {
        let state = &self.flows[flow];
        if state.closed {
            return;
        }
        if self.network.now >= state.ends_at {
            self.close_flow(flow);
            return;
        }
        let utilisation = if self.surging {
            SURGE_UTILISATION
        } else {
            UTILISATION
        };
        let slots = (self.deployment.servers as u32 * self.deployment.slots) as f64;
        let rate = utilisation * slots / MEAN_SERVICE_TIME.as_secs_f64();
        let rate_per_flow = rate / (self.deployment.servers * FLOWS_PER_SERVER) as f64;
        let mean = 1.0 / (rate_per_flow * state.activity);
        let wait = exponential(&mut self.network.rng, mean);
        self.network
            .schedule_after(wait, Event::Workload(WorkloadEvent::StartRequest { flow }));
    }

    fn start_request(&mut self, flow: usize) {
        let now = self.network.now;
        let state = &mut self.flows[flow];
        if state.closed {
            return;
        }
        state.request += 1;
        state.request_received = false;
        state.sent = now;
        let request = state.request;
        self.transmit_request(flow, request, 0, now);
    }

    fn transmit_request(&mut self, flow: usize, request: u32, attempt: u32, first_sent: Instant) {
        let state = &self.flows[flow];
        if state.closed || state.request != request || state.request_received {
            return;
        }
        if self.network.now - first_sent > REQUEST_TIMEOUT {
            self.break_flow(flow);
            return;
        }
        self.send_packet(flow, Kind::Segment, request);
        let wait = INITIAL_RETRANSMIT_DELAY * 2u32.pow(attempt.min(5));
        let retry = WorkloadEvent::TransmitRequest {
            flow,
            request,
            attempt: attempt + 1,
            first_sent,
        };
        self.network.schedule_after(wait, Event::Workload(retry));
    }

    fn close_flow(&mut self, flow: usize) {
        self.send_packet(flow, Kind::Closing, 0);
        self.end_flow(flow);
    }

    fn break_flow(&mut self, flow: usize) {
        if self.flows[flow].closed {
            return;
        }
        let owner = self.flows[flow].owner;
        if owner.is_some_and(|server| !self.servers[server].alive) {
            self.outcome.lost_with_server += 1;
        } else {
            self.outcome.broken += 1;
        }
        self.end_flow(flow);
    }

    fn end_flow(&mut self, flow: usize) {
        self.flows[flow].closed = true;
        if let Some(owner) = self.flows[flow].owner {
            self.servers[owner].open_flows = self.servers[owner].open_flows.saturating_sub(1);
        }
    }

    /// Sends a packet to the server that the run's policy chooses.
    fn send_packet(&mut self, flow: usize, kind: Kind, request: u32) {
        let bytes = segment(flow, self.address, kind, request);
        if self.policy == Policy::Arbiter {
            self.network.route(bytes);
            return;
        }
        let Some(balancer) = self.network.pick_balancer() else {
            return;
        };
        let Ok(parsed) = packet::parse(&bytes) else {
            return;
        };
        let Some(server) = self.choose_server(balancer, &parsed.flow) else {
            return;
        };
        let domain = self.network.balancer_domain(balancer);
        let target = self.network.agents[server].domain;
        let first = self.network.caller_latency();
        let second = self.network.hop_latency(domain, target);
        if first.is_some() && second.is_some() {
            // Delivers at once: these policies decide nothing after the balancer, so the delay
            // matters little.
            self.server_received(server, &bytes);
        }
    }

    fn choose_server(&self, balancer: usize, flow: &Flow) -> Option<usize> {
        let members = self.network.active_agents(balancer, &self.service);
        if members.is_empty() {
            return None;
        }
        match self.policy {
            Policy::Reports => members.into_iter().max_by_key(|server| {
                let free = self
                    .deployment
                    .slots
                    .saturating_sub(self.reported_slots[*server]);
                let weight = flamingofall::id::Slots(free * 4 + 1);
                let hash = hash_bytes(&server.to_be_bytes());
                rank::score(hash, weight, flamingofall::id::Bucket(flow.hash() as u32))
            }),
            _ => Some(members[flow.hash() as usize % members.len()]),
        }
    }

    fn server_received(&mut self, server: usize, bytes: &[u8]) {
        if !self.servers[server].alive {
            return;
        }
        let Ok(packet) = packet::parse(bytes) else {
            return;
        };
        let flow = flow_number(packet.flow.source);
        if self.flows[flow].closed {
            return;
        }
        if packet.kind == Kind::Syn {
            self.server_received_syn(server, flow);
            return;
        }
        match self.flows[flow].owner {
            Some(owner) if owner == server => {}
            // The server doesn't have the connection and resets it.
            _ => return self.break_flow(flow),
        }
        self.flows[flow].ack_received = true;
        let request = payload(&packet);
        let Some(request) = request
            .first_chunk()
            .map(|bytes| u32::from_be_bytes(*bytes))
        else {
            return;
        };
        let state = &mut self.flows[flow];
        if request == 0 || request != state.request || state.request_received {
            return;
        }
        state.request_received = true;
        let sent = state.sent;
        self.servers[server].queue.push_back((flow, request, sent));
        self.start_next(server);
    }

    fn server_received_syn(&mut self, server: usize, flow: usize) {
        match self.flows[flow].owner {
            None => {
                self.flows[flow].owner = Some(server);
                self.servers[server].open_flows += 1;
            }
            Some(owner) if owner != server => {
                if !self.flows[flow].established && !self.servers[owner].alive {
                    self.flows[flow].owner = Some(server);
                    self.servers[server].open_flows += 1;
                } else {
                    self.outcome.second_owners += 1;
                    return;
                }
            }
            Some(_) => {}
        }
        if let Some(latency) = self.network.caller_latency() {
            self.network.schedule_after(
                latency,
                Event::Workload(WorkloadEvent::Established { flow }),
            );
        }
    }

    fn start_next(&mut self, server: usize) {
        self.update_slot_time(server);
        let now = self.network.now;
        let slots = self.deployment.slots;
        while self.servers[server].occupied < slots {
            let Some((flow, request, sent)) = self.servers[server].queue.pop_front() else {
                return;
            };
            self.servers[server].occupied += 1;
            let mut work = exponential(&mut self.network.rng, MEAN_SERVICE_TIME.as_secs_f64());
            if self.servers[server].starts_cold {
                let age = now - self.servers[server].started;
                let left = 1.0 - (age.as_secs_f64() / COLD_START_DURATION.as_secs_f64()).min(1.0);
                work = work.mul_f64(1.0 + (COLD_START_SLOWDOWN - 1.0) * left);
            }
            let done = WorkloadEvent::CompleteRequest {
                server,
                flow,
                request,
                sent,
            };
            self.network.schedule_after(work, Event::Workload(done));
        }
    }

    fn complete_request(&mut self, server: usize, flow: usize, request: u32, sent: Instant) {
        if !self.servers[server].alive {
            return;
        }
        self.update_slot_time(server);
        self.servers[server].occupied -= 1;
        self.start_next(server);
        let state = &self.flows[flow];
        if state.closed || state.request != request {
            return;
        }
        let latency_ms = (self.network.now - sent).as_millis() as u64;
        if self.network.now > self.started + WARM_UP {
            self.outcome.latency.saturating_record(latency_ms);
        }
        self.schedule_next_request(flow);
    }

    fn update_slot_time(&mut self, server: usize) {
        let now = self.network.now;
        let state = &mut self.servers[server];
        state.slot_secs +=
            f64::from(state.occupied) * (now - state.slot_secs_updated).as_secs_f64();
        state.slot_secs_updated = now;
    }

    /// Records the window's imbalance: the highest slot occupancy over the mean.
    fn close_window(&mut self) {
        for server in 0..self.servers.len() {
            self.update_slot_time(server);
        }
        let slot_secs = self
            .servers
            .iter()
            .filter(|s| s.alive && s.counts_for_imbalance)
            .map(|s| s.slot_secs);
        let slot_secs: Vec<f64> = slot_secs.collect();
        let mean = slot_secs.iter().sum::<f64>() / slot_secs.len() as f64;
        let highest = slot_secs.iter().copied().fold(0.0, f64::max);
        if mean > 0.0 && self.network.now > self.started + WARM_UP {
            self.outcome
                .imbalance
                .saturating_record((highest / mean * 1000.0) as u64);
        }
        for server in &mut self.servers {
            server.slot_secs = 0.0;
        }
        self.network.schedule_after(
            IMBALANCE_WINDOW,
            Event::Workload(WorkloadEvent::CloseWindow),
        );
    }

    /// Reports the load of each server, every second. In `ReportLate` the occupied slots reported
    /// for server 0 are 9 seconds old; in `ReportZero` its load is reported as zero.
    fn report_loads(&mut self) {
        for number in 0..self.servers.len() {
            let server = &mut self.servers[number];
            server.reports.push_back(server.occupied);
            let faulty = number == 0;
            let lag = if faulty && self.case == Case::ReportLate {
                10
            } else {
                1
            };
            while server.reports.len() > lag {
                server.reports.pop_front();
            }
            let zero = faulty && self.case == Case::ReportZero;
            let report = if zero {
                0
            } else {
                server.reports.front().copied().unwrap_or(0)
            };
            self.reported_slots[number] = report;
            let limit = server.shedding.then_some(flamingofall::id::Connections(0));
            let open = if zero { 0 } else { server.open_flows };
            if server.alive {
                self.network
                    .report_load(number, server::LoadReport { open, limit });
            }
        }
        self.network.schedule_after(
            Duration::from_secs(1),
            Event::Workload(WorkloadEvent::ReportLoads),
        );
    }

    fn start_fault(&mut self) {
        match self.case {
            Case::JoinCold => {
                self.add_server(true);
            }
            Case::Drain => {
                self.network.agents[0].announcement.state = server::State::Draining;
                self.servers[0].counts_for_imbalance = false;
            }
            Case::Shed => {
                self.servers[0].shedding = true;
                self.reported_slots[0] = self.deployment.slots;
            }
            Case::DomainLost => {
                for number in 0..self.servers.len() {
                    if self.network.agents[number].domain == 0 {
                        self.network.agents[number].alive = false;
                        self.servers[number].alive = false;
                    }
                }
                self.network.balancers[0].alive = false;
            }
            Case::BalancersReplaced => {
                for old in 0..2 {
                    self.network.add_balancer();
                    self.network.balancers[old].alive = false;
                }
            }
            Case::Surge => self.surging = true,
            Case::Steady | Case::ReportLate | Case::ReportZero => {}
        }
    }

    fn end_fault(&mut self) {
        self.surging = false;
        self.servers[0].shedding = false;
    }

    /// Handles a reset: it refuses a flow that is being opened and breaks an established one.
    fn caller_received_reset(&mut self, bytes: &[u8]) {
        let Ok(packet) = packet::parse(bytes) else {
            return;
        };
        let flow = flow_number(packet.flow.destination);
        if self.flows[flow].closed {
            return;
        }
        if self.flows[flow].established {
            self.break_flow(flow);
        } else {
            self.outcome.refused += 1;
            self.end_flow(flow);
        }
    }
}

fn exponential(rng: &mut impl Rng, mean: f64) -> Duration {
    let draw: f64 = rng.random_range(1e-9..1.0);
    Duration::from_secs_f64(-mean * draw.ln())
}

/// Builds a TCP segment. The source address and port encode the flow's number.
fn segment(flow: usize, to: SocketAddr, kind: Kind, request: u32) -> Vec<u8> {
    let id = flow as u32;
    let source = [100, 64, (id >> 24) as u8, (id >> 16) as u8];
    let std::net::IpAddr::V4(ip) = to.ip() else {
        return Vec::new();
    };
    let builder = PacketBuilder::ipv4(source, ip.octets(), 64).tcp(id as u16, to.port(), 1, 1024);
    let builder = match kind {
        Kind::Syn => builder.syn(),
        Kind::Closing => builder.fin().ack(1),
        _ => builder.ack(1),
    };
    let mut bytes = Vec::with_capacity(44);
    builder
        .write(&mut bytes, &request.to_be_bytes())
        .expect("writing to memory");
    bytes
}

fn flow_number(source: SocketAddr) -> usize {
    let std::net::IpAddr::V4(ip) = source.ip() else {
        return 0;
    };
    let octets = ip.octets();
    usize::from(octets[2]) << 24 | usize::from(octets[3]) << 16 | usize::from(source.port())
}

pub fn sum_outcomes(outcomes: Vec<Outcome>) -> Outcome {
    let mut outcomes = outcomes.into_iter();
    let mut total = outcomes.next().expect("at least one run");
    for outcome in outcomes {
        total.flows += outcome.flows;
        total.broken += outcome.broken;
        total.lost_with_server += outcome.lost_with_server;
        total.refused += outcome.refused;
        total.unopened += outcome.unopened;
        total.second_owners += outcome.second_owners;
        total
            .imbalance
            .add(outcome.imbalance)
            .expect("same precision");
        total.latency.add(outcome.latency).expect("same precision");
    }
    total
}

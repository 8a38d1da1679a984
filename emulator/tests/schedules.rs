//! Explores all message orders, up to a bound, around the opening of one flow at two agents.
//!
//! Messages are delivered in the order in which they were sent, and timers run when no message is
//! in flight, except for [`DEVIATIONS_MAX`] deviations: all other messages overtake one, or the
//! next timer runs early. A depth-first search runs every choice of these deviations.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use flamingofall::id::{Generation, Incarnation};
use flamingofall::packet::{Flow, Protocol};
use flamingofall::steering::agent::{self, Agent};
use flamingofall::steering::balancer::{self, Balancer};
use flamingofall::steering::message::Message;
use flamingofall::steering::routes::{Repeat, Route, Routes, Source, Target};
use flamingofall_emulator::packet::{decode_segment, Action, Packet};
use flamingofall_emulator::server::{Effect, Server};

/// Deviations from the usual order in one schedule, unless the environment variable `DELAYS` sets
/// another number.
const DEVIATIONS_MAX: usize = 3;
/// More steps than any schedule needs; detects messages that are forwarded without end.
const STEPS_MAX: usize = 400;
const SERVICE: &str = "portal";
const PROCESSING_TIME: Duration = Duration::from_millis(30);

/// A message, packet or request in flight. The first field is the index of the balancer, agent or
/// server that receives or sends it.
#[derive(Clone, Debug)]
enum InFlight {
    /// A message for a balancer, from the address given.
    Balancer(usize, SocketAddr, Message),
    /// A message for an agent, from the address given.
    Agent(usize, SocketAddr, Message),
    /// A packet for a server, with the token for its return.
    Server(usize, u32, Packet),
    /// A packet that a server returns to its agent, with its token.
    Returned(usize, u32, Packet),
    /// A packet from a server to the client, on its way to the agent.
    Outbound(usize, Packet),
    /// A packet for the client.
    Client(Packet),
    /// A request that a server is processing.
    RequestCompleted(usize, Packet),
}

/// What happens when nothing is in flight, in this order.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Timer {
    /// The first balancer hedges: it sends the opening packet to another agent too.
    Hedge,
    /// The client retransmits its unanswered packet.
    Retransmit,
    /// A server that doesn't hold the flow exits.
    ServerLeaves,
    /// The fabric sends the client's packets to the second balancer from now on, and the client
    /// sends its next request if the first one is answered.
    ChangeBalancer,
    /// The client retransmits its unanswered packet again.
    RetransmitAgain,
}

const TIMERS: [Timer; 5] = [
    Timer::Hedge,
    Timer::Retransmit,
    Timer::ServerLeaves,
    Timer::ChangeBalancer,
    Timer::RetransmitAgain,
];

fn balancer_at(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, index as u8 + 1], 7720))
}

fn agent_at(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, index as u8 + 1], 8172))
}

fn flow() -> Flow {
    Flow {
        protocol: Protocol::Tcp,
        source: SocketAddr::from(([100, 64, 0, 1], 1025)),
        destination: SocketAddr::from(([198, 18, 0, 1], 443)),
    }
}

/// Two balancers, two agents with servers, and the client of one flow.
struct Cluster {
    now: Instant,
    balancers: Vec<Balancer>,
    agents: Vec<Agent>,
    servers: Vec<Option<Server>>,
    in_flight: VecDeque<InFlight>,
    timers: VecDeque<Timer>,
    /// Index of the balancer that gets the client's packets.
    client_balancer: usize,
    /// Sequence number of the acceptance that the client has taken.
    accepted_sequence: Option<u32>,
    request: Option<u64>,
    answers: Vec<u64>,
    executed_requests: Vec<u64>,
    reset: bool,
    violation: Option<String>,
}

impl Cluster {
    fn new() -> Self {
        let now = Instant::now();
        let routes = Routes {
            generation: Generation(1),
            routes: vec![Route {
                name: "route".into(),
                address: flow().destination,
                targets: vec![Target {
                    service: SERVICE.into(),
                    weight: 1,
                }],
                repeat: Repeat::AtMostOnce,
                objective: Duration::from_millis(200),
                priority: 1,
            }],
            idle_timeout: Duration::from_secs(15),
        };
        let period = Duration::from_millis(770);
        let agents = (0..2).map(|index| {
            let at = agent_at(index);
            let server = agent::Server {
                service: SERVICE.into(),
                address: at,
            };
            let mut agent = Agent::new(at, server, Incarnation(1), period, now);
            (0..2).for_each(|balancer| agent.add_balancer(balancer_at(balancer), now));
            agent
        });
        let mut cluster = Self {
            now,
            balancers: (0..2).map(|i| Balancer::new(balancer_at(i), now)).collect(),
            agents: agents.collect(),
            servers: Vec::new(),
            in_flight: VecDeque::new(),
            timers: TIMERS.into(),
            client_balancer: 0,
            accepted_sequence: None,
            request: Some(1),
            answers: Vec::new(),
            executed_requests: Vec::new(),
            reset: false,
            violation: None,
        };
        for balancer in &mut cluster.balancers {
            balancer.configure(routes.clone(), Source::Store, &mut Vec::new());
        }
        for index in 0..2 {
            let name = format!("server-{index}");
            let mut server = Server::new(name, SERVICE.into(), 1, (4, 16, PROCESSING_TIME));
            let mut out = Vec::new();
            cluster.agents[index].heartbeat(server.heartbeat(agent_at(index)), now, &mut out);
            cluster.servers.push(Some(server));
            cluster.apply_agent_outputs(index, out);
        }
        // Delivers the announcements, so that all processes know each other before the flow begins.
        while let Some(next) = cluster.in_flight.pop_front() {
            cluster.deliver(next);
        }
        for balancer in &mut cluster.balancers {
            balancer.merge_directory(Vec::new(), Vec::new(), now, &mut Vec::new());
        }
        cluster
    }

    /// Runs the choices given, then the usual order. Returns the number of choices at each step.
    fn run(mut self, choices: &[usize], mut deviations: usize) -> (Vec<usize>, Self) {
        let mut options = Vec::new();
        self.client_sends(Action::Open, 0);
        for step in 0..STEPS_MAX {
            if self.in_flight.is_empty() && self.timers.is_empty() || self.violation.is_some() {
                self.check_answered();
                return (options, self);
            }
            // 0: the usual order. Any other number is a deviation: the next timer runs early, or
            // all other messages overtake the next one.
            let early = deviations > 0 && !self.in_flight.is_empty() && !self.timers.is_empty();
            let overtaken = deviations > 0 && self.in_flight.len() > 1;
            options.push(1 + usize::from(early) + usize::from(overtaken));
            match choices.get(step).copied().unwrap_or(0) {
                0 => match self.in_flight.pop_front() {
                    Some(next) => self.deliver(next),
                    None => self.run_timer(),
                },
                1 if early => {
                    deviations -= 1;
                    self.run_timer();
                }
                _ => {
                    deviations -= 1;
                    self.in_flight.rotate_left(1);
                }
            }
        }
        self.violation = Some("messages are forwarded without end".into());
        (options, self)
    }

    fn holder(&self) -> Option<usize> {
        let holds = |server: &Option<Server>| server.as_ref().is_some_and(|s| s.holds(&flow()));
        self.servers.iter().position(holds)
    }

    fn client_sends(&mut self, action: Action, acknowledgement: u32) {
        let packet = Packet {
            client: flow().source,
            address: flow().destination,
            action,
            sequence: 1,
            acknowledgement,
            request: self.request.filter(|_| action == Action::Data),
        };
        let mut out = Vec::new();
        let balancer = &mut self.balancers[self.client_balancer];
        balancer.packet(packet.segment(), packet.encode(), self.now, &mut out);
        self.apply_balancer_outputs(self.client_balancer, out);
    }

    fn retransmit(&mut self) {
        match (self.accepted_sequence, self.request) {
            (_, None) => {}
            _ if self.reset => {}
            (None, _) => self.client_sends(Action::Open, 1),
            (Some(sequence), _) => self.client_sends(Action::Data, sequence.wrapping_add(1)),
        }
    }

    fn run_timer(&mut self) {
        let Some(timer) = self.timers.pop_front() else {
            return;
        };
        self.now += Duration::from_millis(70);
        for index in 0..self.balancers.len() {
            let mut out = Vec::new();
            self.balancers[index].tick(self.now, &mut out);
            // Digests and other periodic messages don't concern the flow.
            out.retain(|output| {
                matches!(output, balancer::Output::Send(_, Message::Forward(_)))
                    || matches!(output, balancer::Output::Reset { .. })
            });
            self.apply_balancer_outputs(index, out);
        }
        match timer {
            Timer::Hedge => {}
            Timer::Retransmit | Timer::RetransmitAgain => self.retransmit(),
            Timer::ServerLeaves => {
                let holder = self.holder();
                let free = (0..self.servers.len()).find(|index| Some(*index) != holder);
                // No server exits before one holds the flow: a server that the client may still
                // choose would drain first.
                if let (Some(index), Some(_)) = (free, holder) {
                    let server = self.servers[index].take();
                    let mut out = Vec::new();
                    if let Some(Server {
                        name, started_ms, ..
                    }) = server
                    {
                        self.agents[index].server_left(&name, Some(started_ms), self.now, &mut out);
                    }
                    self.apply_agent_outputs(index, out);
                }
            }
            Timer::ChangeBalancer => {
                self.client_balancer = 1;
                if self.accepted_sequence.is_some() && self.request.is_none() {
                    self.request = Some(2);
                    self.retransmit();
                }
            }
        }
    }

    fn deliver(&mut self, next: InFlight) {
        let now = self.now;
        match next {
            InFlight::Balancer(index, from, message) => {
                let mut out = Vec::new();
                self.balancers[index].message(from, message, decode_segment, now, &mut out);
                self.apply_balancer_outputs(index, out);
            }
            InFlight::Agent(index, from, message) => {
                let mut out = Vec::new();
                self.agents[index].message(from, message, decode_segment, now, &mut out);
                self.apply_agent_outputs(index, out);
            }
            InFlight::Server(index, token, packet) => {
                if let Some(server) = &mut self.servers[index] {
                    let effects = server.receive(packet);
                    self.apply_server_effects(index, token, effects);
                }
            }
            InFlight::Returned(index, token, packet) => {
                let mut out = Vec::new();
                let bytes = packet.encode();
                self.agents[index].packet_returned(packet.segment(), token, bytes, &mut out);
                self.apply_agent_outputs(index, out);
            }
            InFlight::Outbound(index, packet) => {
                let mut out = Vec::new();
                let bytes = packet.encode();
                self.agents[index].server_packet(packet.segment(), bytes, now, &mut out);
                self.apply_agent_outputs(index, out);
            }
            InFlight::RequestCompleted(index, packet) => {
                if let Some(server) = &mut self.servers[index] {
                    let effects = server.complete_request(&packet);
                    self.apply_server_effects(index, 0, effects);
                }
            }
            InFlight::Client(packet) => self.client_receives(&packet),
        }
    }

    fn client_receives(&mut self, packet: &Packet) {
        match packet.action {
            Action::Accept if self.accepted_sequence.is_none() && !self.reset => {
                self.accepted_sequence = Some(packet.sequence);
                self.retransmit();
            }
            Action::Data if self.request.is_some() && packet.request == self.request => {
                self.answers.extend(self.request.take());
            }
            Action::Reset => self.reset = true,
            _ => {}
        }
    }

    fn apply_server_effects(&mut self, index: usize, token: u32, effects: Vec<Effect>) {
        for effect in effects {
            let next = match effect {
                Effect::Send(packet) => InFlight::Outbound(index, packet),
                Effect::Return(packet) => InFlight::Returned(index, token, packet),
                Effect::Process(packet, _) => {
                    let id = packet.request.unwrap_or_default();
                    if self.executed_requests.contains(&id) {
                        self.violation = Some(format!("request {id} ran twice"));
                    }
                    self.executed_requests.push(id);
                    InFlight::RequestCompleted(index, packet)
                }
            };
            self.in_flight.push_back(next);
        }
    }

    fn apply_balancer_outputs(&mut self, index: usize, out: Vec<balancer::Output>) {
        for output in out {
            match output {
                balancer::Output::Send(to, message) => {
                    self.send_message(balancer_at(index), to, message)
                }
                balancer::Output::Reset { .. } => self.record_reset("a balancer"),
                _ => {}
            }
        }
    }

    fn apply_agent_outputs(&mut self, index: usize, out: Vec<agent::Output>) {
        for output in out {
            match output {
                agent::Output::Send(to, message) => self.send_message(agent_at(index), to, message),
                agent::Output::Reset { .. } => self.record_reset("an agent"),
                agent::Output::Deliver { token, packet } => {
                    let packet = Packet::decode(&packet).expect("the packet is unchanged");
                    self.in_flight
                        .push_back(InFlight::Server(index, token, packet));
                }
                agent::Output::Client(_, packet) => {
                    let packet = Packet::decode(&packet).expect("the packet is unchanged");
                    self.in_flight.push_back(InFlight::Client(packet));
                }
                _ => {}
            }
        }
    }

    fn send_message(&mut self, from: SocketAddr, to: SocketAddr, message: Message) {
        let index = |at: fn(usize) -> SocketAddr| (0..2).find(|index| at(*index) == to);
        let next = match (index(balancer_at), index(agent_at)) {
            (Some(index), _) => InFlight::Balancer(index, from, message),
            (_, Some(index)) => InFlight::Agent(index, from, message),
            _ => return,
        };
        self.in_flight.push_back(next);
    }

    fn record_reset(&mut self, by: &str) {
        self.reset = true;
        if let Some(holder) = self.holder() {
            self.violation = Some(format!("{by} reset the flow that server {holder} holds"));
        }
    }

    /// Records a violation if a request has no answer although its flow is open, a server holds the
    /// flow, and the client got no reset.
    fn check_answered(&mut self) {
        let waits = self.accepted_sequence.is_some() && !self.reset && self.request.is_some();
        if self.violation.is_none() && waits && self.holder().is_some() {
            self.violation = Some(format!("request {:?} has no answer", self.request));
        }
    }
}

/// The next choices in the order of a depth-first search; `None` after the last ones.
fn next_schedule(mut choices: Vec<usize>, options: &[usize]) -> Option<Vec<usize>> {
    choices.resize(options.len(), 0);
    while let Some(last) = choices.pop() {
        if last + 1 < options[choices.len()] {
            choices.push(last + 1);
            return Some(choices);
        }
    }
    None
}

// Guards against message orders in which an open flow is reset or loses its server, or in which a
// request is executed twice.
#[test]
fn orders_of_messages() {
    let deviations = std::env::var("DELAYS").ok();
    let deviations = deviations
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEVIATIONS_MAX);
    let mut choices = Vec::new();
    let mut count = 0;
    let mut served = 0;
    loop {
        let (options, cluster) = Cluster::new().run(&choices, deviations);
        count += 1;
        served += usize::from(cluster.answers == [1, 2]);
        assert_eq!(cluster.violation, None, "schedule {choices:?}");
        match next_schedule(choices, &options) {
            Some(following) => choices = following,
            None => break,
        }
    }
    println!("{count} schedules, {served} with both answers");
    assert!(count > 1000 && served * 2 > count, "{count}, {served}");
}

// Guards against a balancer that doesn't record which server the client has chosen if the client's
// acknowledgement arrives before the agents' reports of acceptance: the flow was then reset when
// the other server exited.
#[test]
fn early_answer() {
    let choices = [
        1, 0, 0, 0, 0, 0, 0, 1, 2, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1,
    ];
    let (_, cluster) = Cluster::new().run(&choices, 4);
    assert_eq!(cluster.violation, None);
}

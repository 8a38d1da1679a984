//! Measures the network traffic and computing time that the control plane costs a balancer.
//!
//! Runs the control cores of a fleet in virtual time: balancers and agents exchange authenticated
//! frames, agents send heartbeats, and members restart at random. Prints the cost per balancer and
//! least-squares fits over the restart rate, the fleet size and the rate of configuration changes.
//!
//! ```text
//! cargo run --release --example control_cost -- [--json] [--seconds N] [--seed N]
//! ```

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use argh::FromArgs;
use flamingofall::catalog::Offer;
use flamingofall::config::{Address, Config, Service};
use flamingofall::control::{Control, Snapshot};
use flamingofall::id::{Connections, Digest, Generation, Incarnation, Sequence, Slots};
use flamingofall::member::{Record, Role, State, Table};
use flamingofall::output::Output;
use flamingofall::packet::Protocol;
use flamingofall::store::{
    Answer, Call, Error, Head, Key, Object, Operation, Outcome, Value, Version,
};
use flamingofall::wire::{self, control, Body, Message, Opener, Sealer};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

// Target size, with 6,900 restarts and 5,300 configuration changes a day.
const TARGET_BALANCERS: usize = 4_500;
const TARGET_AGENTS: usize = 34_000;
const TARGET_RESTARTS_PER_SEC: f64 = 6_900.0 / 86_400.0;
const TARGET_CHANGES_PER_SEC: f64 = 5_300.0 / 86_400.0;
/// Size of the IPv4 and UDP headers.
const IP_UDP_HEADER_BYTES: usize = 28;
const BALANCER_TICK: Duration = Duration::from_millis(100);
/// One-way delay of control messages and of calls to the store.
const NETWORK_DELAY: Duration = Duration::from_millis(4);
const WARM_UP: Duration = Duration::from_secs(6);
/// Time for which a restarting member is down, drawn at random: one shorter and one longer than the
/// heartbeat lease of 2 seconds.
const RESTART_DOWNTIMES: [Duration; 2] = [Duration::from_millis(800), Duration::from_secs(8)];

/// Measures the cost of the control plane.
#[derive(FromArgs)]
struct Arguments {
    /// print JSON instead of a table
    #[argh(switch)]
    json: bool,
    /// measured seconds of virtual time in each run
    #[argh(option, default = "8")]
    seconds: u64,
    /// seed of all random choices
    #[argh(option, default = "1")]
    seed: u64,
}

/// Parameters of a run.
#[derive(Clone, Copy, Debug, Serialize)]
struct Scenario {
    balancers: usize,
    agents: usize,
    restarts_per_second: f64,
    changes_per_second: f64,
    services: usize,
}

/// Results of a run, per balancer except for the store figures, which cover the fleet, and the
/// duration of the run.
#[derive(Debug, Serialize)]
struct Measurement {
    #[serde(flatten)]
    scenario: Scenario,
    sent_bytes_per_second: f64,
    received_bytes_per_second: f64,
    heartbeat_bytes_per_second: f64,
    record_bytes_per_second: f64,
    digest_bytes_per_second: f64,
    config_bytes_per_second: f64,
    sent_messages_per_second: f64,
    core_percent: f64,
    store_calls_per_second_fleet: f64,
    store_bytes_per_second_fleet: f64,
    run_seconds: f64,
}

#[derive(Debug, Serialize)]
struct Slope {
    of: &'static str,
    over: &'static str,
    intercept: f64,
    slope: f64,
    at_target: f64,
}

#[derive(Debug, Serialize)]
struct Report {
    seed: u64,
    record_bytes: f64,
    runs: Vec<Measurement>,
    slopes: Vec<Slope>,
}

enum Event {
    Frame(usize, usize, Vec<u8>),
    StoreCall(usize, Call),
    StoreAnswer(usize, Answer),
    Tick(usize, u64),
    Restart,
    Start(usize),
    ApplyConfig,
}

struct Agent {
    heartbeat: control::Heartbeat,
    collectors: Vec<usize>,
    current: usize,
    /// Collector that most recently failed to answer in time.
    unresponsive: Option<usize>,
    sent_at: Option<Instant>,
    next_at: Instant,
}

enum Process {
    Balancer(Box<Control>),
    Agent(Box<Agent>),
    Stopped,
}

struct Node {
    record: Record,
    process: Process,
    sealer: Sealer,
    opener: Opener,
}

#[derive(Default)]
struct Totals {
    sent_bytes: u64,
    sent_messages: u64,
    received_bytes: u64,
    /// Sent bytes by [`traffic_kind`].
    sent_bytes_by_kind: [u64; 4],
    core_time: Duration,
    store_calls: u64,
    store_bytes: u64,
}

struct Fleet {
    scenario: Scenario,
    start: Instant,
    now: Instant,
    rng: SmallRng,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: BTreeMap<u64, Event>,
    last_sequence: u64,
    objects: BTreeMap<Key, (u64, Value)>,
    watches: Vec<(usize, u64, flamingofall::store::Collection)>,
    version: u64,
    generation: u64,
    totals: Totals,
}

fn domain_count(balancers: usize) -> usize {
    (balancers / 3).clamp(1, 28)
}

fn record(scenario: &Scenario, index: usize) -> Record {
    let balancer = index < scenario.balancers;
    let [_, a, b, c] = (index as u32).to_be_bytes();
    let address = SocketAddr::from(([10, a, b, c], 7000));
    let service = index % scenario.services.max(1);
    Record {
        member: format!("host-{index}").parse().expect("valid name"),
        role: if balancer {
            Role::Balancer
        } else {
            Role::Agent
        },
        incarnation: Incarnation(1_765_000_000_000),
        sequence: Sequence(1),
        state: State::Active,
        domain: format!("domain-{}", index % domain_count(scenario.balancers))
            .parse()
            .expect("valid name"),
        control: address,
        data: address,
        service: (!balancer).then(|| format!("service-{service}").parse().expect("valid name")),
        slots: Slots(5),
        connections: Connections(2_000),
        generation: Generation(0),
        open_flows: None,
        sole_server: None,
    }
}

fn index_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => (u32::from(*v4.ip()) & 0x00ff_ffff) as usize,
        SocketAddr::V6(_) => unreachable!("all addresses are IPv4"),
    }
}

fn config(services: usize, generation: u64) -> Config {
    let mut config = Config::default();
    for index in 0..services {
        let address = Address {
            protocol: Protocol::Tcp,
            address: SocketAddr::from(([198, 18, (index >> 8) as u8, index as u8], 443)),
        };
        let name: flamingofall::id::Service =
            format!("service-{index}").parse().expect("valid name");
        let organisation = "organisation".parse().expect("valid name");
        let mut service = Service::new(name.clone(), organisation, vec![address]);
        if index as u64 == generation % services as u64 {
            service.weight = 1 + generation as u32 % 90;
        }
        config.services.insert(name, service);
    }
    config
}

impl Fleet {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let now = Instant::now();
        let mut rng = SmallRng::seed_from_u64(seed);
        let key = wire::Key::new(b"control cost");
        let members = scenario.balancers + scenario.agents;
        let records: Vec<Record> = (0..members).map(|index| record(&scenario, index)).collect();
        let config = config(scenario.services, 1);
        let text = String::from_utf8(config.canonical_json()).expect("JSON is UTF-8");
        let snapshot = Snapshot {
            records: records.clone(),
            removed: Vec::new(),
            config: Some((Generation(1), Digest::of(text.as_bytes()), text)),
        };
        let nodes = records.into_iter().enumerate().map(|(index, record)| {
            let process = match record.role {
                Role::Balancer => balancer(&record, &snapshot, rng.random(), now),
                Role::Agent => Process::Agent(Box::new(agent(&scenario, &record, index, now))),
            };
            Node {
                sealer: Sealer::new(key.clone(), record.member.clone(), record.incarnation),
                opener: Opener::new(key.clone()),
                process,
                record,
            }
        });
        let nodes: Vec<Node> = nodes.collect();
        let mut fleet = Self {
            scenario,
            start: now,
            now,
            rng,
            nodes,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            last_sequence: 0,
            objects: BTreeMap::new(),
            watches: Vec::new(),
            version: 1,
            generation: 1,
            totals: Totals::default(),
        };
        for index in 0..members {
            fleet.schedule_ticks(index);
        }
        fleet.schedule_random(scenario.restarts_per_second, Event::Restart);
        fleet.schedule_random(scenario.changes_per_second, Event::ApplyConfig);
        fleet
    }

    fn schedule_ticks(&mut self, index: usize) {
        let period = match self.nodes[index].process {
            Process::Agent(_) => Duration::from_secs(1),
            _ => BALANCER_TICK,
        };
        let offset = period.mul_f64(self.rng.random());
        let run = self.nodes[index].record.incarnation.0;
        self.schedule_after(offset, Event::Tick(index, run));
    }

    /// Schedules the next event of a Poisson process with the given rate per second.
    fn schedule_random(&mut self, rate: f64, event: Event) {
        if rate > 0.0 {
            let wait = -self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
            self.schedule_after(Duration::from_secs_f64(wait), event);
        }
    }

    fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.last_sequence += 1;
        self.queue
            .push(Reverse((self.now + delay, self.last_sequence)));
        self.events.insert(self.last_sequence, event);
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while let Some(Reverse((at, sequence))) = self.queue.peek().copied() {
            if at > end {
                break;
            }
            self.queue.pop();
            self.now = at;
            let event = self
                .events
                .remove(&sequence)
                .expect("each key has an event");
            self.handle_event(event);
        }
        self.now = end;
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Frame(from, to, bytes) => self.receive(from, to, &bytes),
            Event::StoreCall(from, call) => self.handle_store_call(from, call),
            Event::StoreAnswer(to, answer) => self.run_core(to, |core, now, out| {
                core.handle_store_answer(answer, now, out)
            }),
            Event::Tick(index, run) if self.nodes[index].record.incarnation.0 == run => {
                self.tick(index, run);
            }
            Event::Tick(..) => {}
            Event::Restart => self.stop_random_member(),
            Event::Start(index) => self.start_member(index),
            Event::ApplyConfig => self.apply_config(),
        }
    }

    /// Runs a call on a balancer's core, adds the elapsed time to the totals and handles its
    /// outputs.
    fn run_core(
        &mut self,
        index: usize,
        call: impl FnOnce(&mut Control, Instant, &mut Vec<Output>),
    ) {
        let started = Instant::now();
        let mut out = Vec::new();
        if let Process::Balancer(core) = &mut self.nodes[index].process {
            call(core, self.now, &mut out);
        }
        self.totals.core_time += started.elapsed();
        for output in out {
            match output {
                Output::Send { to, message } => self.send(index, index_of(to), message),
                Output::Store(call) => {
                    self.schedule_after(NETWORK_DELAY, Event::StoreCall(index, call))
                }
                Output::Event(_) => {}
            }
        }
    }

    fn tick(&mut self, index: usize, run: u64) {
        match &mut self.nodes[index].process {
            Process::Balancer(_) => {
                self.schedule_after(BALANCER_TICK, Event::Tick(index, run));
                self.run_core(index, |core, now, out| core.tick(now, out));
            }
            Process::Agent(agent) => {
                let due = agent.due_heartbeat(self.now);
                self.schedule_after(Duration::from_millis(500), Event::Tick(index, run));
                if let Some((to, heartbeat)) = due {
                    self.send(index, to, Body::Heartbeat(heartbeat).into());
                }
            }
            Process::Stopped => {}
        }
    }

    fn send(&mut self, from: usize, to: usize, message: Message) {
        let balancer = from < self.scenario.balancers;
        let kind = traffic_kind(&message);
        let started = Instant::now();
        let bytes = self.nodes[from].sealer.seal(message).expect("frames fit");
        if balancer {
            let size = (bytes.len() + IP_UDP_HEADER_BYTES) as u64;
            self.totals.core_time += started.elapsed();
            self.totals.sent_bytes += size;
            self.totals.sent_messages += 1;
            self.totals.sent_bytes_by_kind[kind] += size;
        }
        self.schedule_after(NETWORK_DELAY, Event::Frame(from, to, bytes));
    }

    fn receive(&mut self, from: usize, to: usize, bytes: &[u8]) {
        let sender = self.nodes[from].record.control;
        let started = Instant::now();
        let opened = self.nodes[to].opener.open(bytes);
        if to < self.scenario.balancers {
            self.totals.core_time += started.elapsed();
            self.totals.received_bytes += (bytes.len() + IP_UDP_HEADER_BYTES) as u64;
        }
        let Ok(frame) = opened else { return };
        match &mut self.nodes[to].process {
            Process::Balancer(_) => self.run_core(to, |core, now, out| {
                core.handle_message(sender, frame.message, now, out);
            }),
            Process::Agent(agent) => {
                if agent.handle_ack(frame.message) {
                    let (to_collector, heartbeat) = agent.prepare_heartbeat(self.now);
                    self.send(to, to_collector, Body::Heartbeat(heartbeat).into());
                }
            }
            Process::Stopped => {}
        }
    }

    fn stop_random_member(&mut self) {
        self.schedule_random(self.scenario.restarts_per_second, Event::Restart);
        let index = self.rng.random_range(0..self.nodes.len());
        if matches!(self.nodes[index].process, Process::Stopped) {
            return;
        }
        self.nodes[index].process = Process::Stopped;
        let downtime = RESTART_DOWNTIMES[self.rng.random_range(0..RESTART_DOWNTIMES.len())];
        self.schedule_after(downtime, Event::Start(index));
    }

    fn start_member(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        node.record.incarnation.0 += 1;
        let record = node.record.clone();
        node.sealer = Sealer::new(
            wire::Key::new(b"control cost"),
            record.member.clone(),
            record.incarnation,
        );
        node.opener = Opener::new(wire::Key::new(b"control cost"));
        let process = match record.role {
            Role::Agent => {
                Process::Agent(Box::new(agent(&self.scenario, &record, index, self.now)))
            }
            Role::Balancer => {
                let mut peers = self.nodes.iter().filter_map(|node| match &node.process {
                    Process::Balancer(core) => Some(core),
                    _ => None,
                });
                let snapshot = peers.next().map(|core| core.snapshot()).unwrap_or_default();
                let seed = self.rng.random();
                balancer(&record, &snapshot, seed, self.now)
            }
        };
        self.nodes[index].process = process;
        self.schedule_ticks(index);
    }

    fn apply_config(&mut self) {
        self.schedule_random(self.scenario.changes_per_second, Event::ApplyConfig);
        self.generation += 1;
        let config = config(self.scenario.services, self.generation);
        let text = String::from_utf8(config.canonical_json()).expect("JSON is UTF-8");
        let offer = Offer {
            generation: Generation(self.generation),
            digest: Digest::of(text.as_bytes()),
        };
        self.put_object(Key::Config(offer.digest), Value::Config(text));
        let head = Head {
            generation: offer.generation,
            digest: offer.digest,
            previous: None,
            author: "operator".into(),
            apply_id: self.generation,
            recent: Vec::new(),
        };
        self.put_object(Key::Head, Value::Head(head));
    }

    fn put_object(&mut self, key: Key, value: Value) -> Object {
        self.version += 1;
        let object = Object {
            key: key.clone(),
            version: Version(self.version.to_string()),
            value: value.clone(),
        };
        let collection = key.collection();
        self.objects.insert(key, (self.version, value));
        let watching: Vec<(usize, u64)> = self
            .watches
            .iter()
            .filter(|watch| watch.2 == collection)
            .map(|watch| (watch.0, watch.1))
            .collect();
        for (to, id) in watching {
            self.answer_store_call(to, id, Ok(Outcome::Changed(object.clone())));
        }
        object
    }

    fn answer_store_call(&mut self, to: usize, id: u64, result: Result<Outcome, Error>) {
        if let Ok(Outcome::Object(object) | Outcome::Changed(object)) = &result {
            if object.key.collection() == flamingofall::store::Collection::Domains {
                self.totals.store_bytes += object.to_json().to_string().len() as u64;
            }
        }
        self.schedule_after(NETWORK_DELAY, Event::StoreAnswer(to, Answer { id, result }));
    }

    fn handle_store_call(&mut self, from: usize, call: Call) {
        self.totals.store_calls += 1;
        let read = |(key, (version, value)): (&Key, &(u64, Value))| Object {
            key: key.clone(),
            version: Version(version.to_string()),
            value: value.clone(),
        };
        let result = match call.operation {
            Operation::Get(key) => match self.objects.get_key_value(&key) {
                Some(object) => Ok(Outcome::Object(read(object))),
                None => Err(Error::NotFound),
            },
            Operation::List(collection) => {
                let objects = self.objects.iter();
                let listed = objects.filter(|(key, _)| key.collection() == collection);
                Ok(Outcome::List {
                    objects: listed.map(read).collect(),
                    version: Version(self.version.to_string()),
                })
            }
            Operation::Watch { collection, .. } => {
                self.watches.push((from, call.id, collection));
                return;
            }
            Operation::Create(key, _) if self.objects.contains_key(&key) => Err(Error::Exists),
            Operation::Create(key, value) => Ok(Outcome::Object(self.put_object(key, value))),
            Operation::Update(key, value, version) => match self.objects.get(&key) {
                Some((known, _)) if known.to_string() == version.0 => {
                    Ok(Outcome::Object(self.put_object(key, value)))
                }
                _ => Err(Error::Conflict),
            },
            // Balancers never make these calls.
            Operation::Renew(..) | Operation::Delete(..) | Operation::ListNames(_) => {
                Err(Error::Invalid)
            }
        };
        self.answer_store_call(from, call.id, result);
    }
}

impl Agent {
    /// Returns the heartbeat that is due and its collector. Moves on to the next collector if the
    /// current one has not answered for a second.
    fn due_heartbeat(&mut self, now: Instant) -> Option<(usize, control::Heartbeat)> {
        if self
            .sent_at
            .is_some_and(|sent| now - sent >= Duration::from_secs(1))
        {
            self.unresponsive = Some(self.collectors[self.current]);
            self.current = (self.current + 1) % self.collectors.len();
            self.heartbeat.members_version = 0;
            if let Some(record) = &mut self.heartbeat.record {
                record.sequence += 1;
            }
            return Some(self.prepare_heartbeat(now));
        }
        (now >= self.next_at).then(|| self.prepare_heartbeat(now))
    }

    fn prepare_heartbeat(&mut self, now: Instant) -> (usize, control::Heartbeat) {
        self.sent_at = Some(now);
        self.next_at = now + Duration::from_millis(900);
        self.heartbeat.id += 1;
        (self.collectors[self.current], self.heartbeat.clone())
    }

    /// Handles a heartbeat's acknowledgement. Returns whether its list is incomplete, so that the
    /// agent must send another heartbeat at once.
    fn handle_ack(&mut self, message: Message) -> bool {
        let Some(Body::HeartbeatAck(ack)) = message.body else {
            return false;
        };
        if ack.id != self.heartbeat.id {
            return false;
        }
        self.sent_at = None;
        self.heartbeat.members_version = ack.members_version;
        self.heartbeat.generation = ack.generation;
        let record = self.heartbeat.record.as_mut();
        if let Some(record) = record {
            let own = ack
                .members
                .iter()
                .filter(|member| member.member == record.member);
            let down = own.filter(|member| member.state() == control::State::Down);
            let declared = down.filter(|member| member.sequence >= record.sequence);
            record.sequence = declared
                .map(|m| m.sequence + 1)
                .max()
                .unwrap_or(record.sequence);
        }
        let listed = ack
            .balancers
            .iter()
            .filter_map(|address| address.try_into().ok());
        let listed: Vec<usize> = listed.map(index_of).collect();
        if !listed.is_empty() {
            let silent = |to: &usize| self.unresponsive.is_some_and(|silent| silent == *to);
            self.current = listed.iter().position(|to| !silent(to)).unwrap_or(0);
            self.collectors = listed;
        }
        !ack.complete
    }
}

fn agent(scenario: &Scenario, record: &Record, index: usize, now: Instant) -> Agent {
    let domains = domain_count(scenario.balancers);
    let collectors = (0..scenario.balancers).filter(|b| b % domains == index % domains);
    Agent {
        heartbeat: control::Heartbeat {
            id: 0,
            record: Some(record.into()),
            members_version: 0,
            generation: 0,
        },
        collectors: collectors.take(3).collect(),
        current: 0,
        unresponsive: None,
        sent_at: None,
        next_at: now,
    }
}

fn balancer(record: &Record, snapshot: &Snapshot, seed: u64, now: Instant) -> Process {
    let own = Record {
        state: State::Joining,
        // Supersedes the record in the snapshot, as the record of a restarted balancer does.
        incarnation: Incarnation(record.incarnation.0 + 1),
        ..record.clone()
    };
    let mut core = Control::new(own, Vec::new(), seed, now);
    core.load_snapshot(snapshot.clone(), now, &mut Vec::new());
    Process::Balancer(Box::new(core))
}

/// Index into [`Totals::sent_bytes_by_kind`]: heartbeats, records, digests or configuration.
fn traffic_kind(message: &Message) -> usize {
    match &message.body {
        Some(Body::Heartbeat(_) | Body::HeartbeatAck(_) | Body::Heard(_)) => 0,
        Some(Body::Rumour(_)) => 1,
        Some(Body::Fetch(_) | Body::Part(_)) => 3,
        _ => 2,
    }
}

fn measure(scenario: Scenario, arguments: &Arguments) -> Measurement {
    let started = Instant::now();
    let mut fleet = Fleet::new(scenario, arguments.seed);
    // The run with all agents takes by far the longest, so its warm-up and measurement are shorter.
    let all = scenario.agents == TARGET_AGENTS;
    fleet.run(if all { WARM_UP / 2 } else { WARM_UP });
    fleet.totals = Totals::default();
    let seconds = if all { 2 } else { arguments.seconds };
    fleet.run(Duration::from_secs(seconds));
    let seconds = seconds as f64;
    let totals = &fleet.totals;
    let per_node = |total: u64| total as f64 / seconds / scenario.balancers as f64;
    debug_assert!(fleet.now > fleet.start);
    Measurement {
        scenario,
        sent_bytes_per_second: per_node(totals.sent_bytes),
        received_bytes_per_second: per_node(totals.received_bytes),
        heartbeat_bytes_per_second: per_node(totals.sent_bytes_by_kind[0]),
        record_bytes_per_second: per_node(totals.sent_bytes_by_kind[1]),
        digest_bytes_per_second: per_node(totals.sent_bytes_by_kind[2]),
        config_bytes_per_second: per_node(totals.sent_bytes_by_kind[3]),
        sent_messages_per_second: per_node(totals.sent_messages),
        core_percent: per_node(totals.core_time.as_nanos() as u64) / 1e9 * 100.0,
        store_calls_per_second_fleet: totals.store_calls as f64 / seconds,
        store_bytes_per_second_fleet: totals.store_bytes as f64 / seconds,
        run_seconds: started.elapsed().as_secs_f64(),
    }
}

/// Resident memory of this process. Assumes pages of 4 KiB.
fn resident_bytes() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4096.0
}

fn record_bytes() -> f64 {
    let scenario = Scenario {
        balancers: TARGET_BALANCERS,
        agents: TARGET_AGENTS,
        restarts_per_second: 0.0,
        changes_per_second: 0.0,
        services: 3_000,
    };
    let members = TARGET_BALANCERS + TARGET_AGENTS;
    let before = resident_bytes();
    let mut table = Table::default();
    let now = Instant::now();
    for index in 0..members {
        table.merge(record(&scenario, index), now);
    }
    let grown = resident_bytes() - before;
    assert_eq!(table.len(), members);
    grown / members as f64
}

/// Fits a line by least squares. Returns the intercept and the slope.
fn fit_line(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let covariance: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let variance: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    let slope = covariance / variance;
    (mean_y - slope * mean_x, slope)
}

fn scenarios() -> Vec<Scenario> {
    let base = |balancers: usize, restarts_per_second: f64| Scenario {
        balancers,
        agents: balancers * TARGET_AGENTS / TARGET_BALANCERS,
        restarts_per_second,
        changes_per_second: 0.0,
        services: balancers,
    };
    let mut scenarios: Vec<Scenario> = Vec::new();
    // 10 restarts a second are 125 times the rate at the target size.
    for balancers in [3, 10, 30, 100] {
        scenarios.extend([0.0, 1.0, 4.0, 10.0].map(|rate| base(balancers, rate)));
    }
    // The number of agents at the target size.
    scenarios.push(Scenario {
        agents: TARGET_AGENTS,
        services: 3_000,
        ..base(100, 1.0)
    });
    // Changes to a configuration of the target size.
    scenarios.extend([0.2, 0.5].map(|changes_per_second| Scenario {
        changes_per_second,
        services: 3_000,
        // More balancers than report their generation in their records (`control::REPORTERS_MAX`),
        // as at the target size.
        ..base(40, 0.0)
    }));
    scenarios
}

fn slopes(runs: &[Measurement]) -> Vec<Slope> {
    let ratio = |run: &&Measurement| {
        let scenario = &run.scenario;
        scenario.changes_per_second == 0.0 && scenario.services == scenario.balancers
    };
    let regular: Vec<&Measurement> = runs.iter().filter(ratio).collect();
    let largest = regular.iter().filter(|run| run.scenario.balancers == 100);
    let quiet = regular
        .iter()
        .filter(|run| run.scenario.restarts_per_second == 0.0);
    let busy = regular
        .iter()
        .filter(|run| run.scenario.restarts_per_second == 10.0);
    let changes = runs.iter().filter(|run| run.scenario.services == 3_000);
    let changes = changes.filter(|run| run.scenario.agents < TARGET_AGENTS);
    let restarts = "restarts/s, 100 balancers";
    let size = "ln(balancers), no restarts";
    let line = |of, over, points: Vec<(f64, f64)>, target: f64| {
        let (intercept, slope) = fit_line(&points);
        Slope {
            of,
            over,
            intercept,
            slope,
            at_target: intercept + slope * target,
        }
    };
    let rate = |run: &Measurement| run.scenario.restarts_per_second;
    let count = |run: &Measurement| run.scenario.balancers as f64;
    let restart_points = |y: fn(&Measurement) -> f64| -> Vec<(f64, f64)> {
        largest.clone().map(|run| (rate(run), y(run))).collect()
    };
    let size_points = |y: fn(&Measurement) -> f64| -> Vec<(f64, f64)> {
        quiet.clone().map(|run| (count(run).ln(), y(run))).collect()
    };
    let busy_points: Vec<(f64, f64)> = busy
        .map(|run| (count(run).ln(), run.sent_bytes_per_second))
        .collect();
    let core_points: Vec<(f64, f64)> = quiet
        .clone()
        .map(|run| (count(run), run.core_percent))
        .collect();
    let call_points: Vec<(f64, f64)> = quiet
        .clone()
        .map(|run| {
            (
                domain_count(run.scenario.balancers) as f64,
                run.store_calls_per_second_fleet,
            )
        })
        .collect();
    let change_points: Vec<(f64, f64)> = changes
        .map(|run| (run.scenario.changes_per_second, run.sent_bytes_per_second))
        .collect();
    let target = TARGET_BALANCERS as f64;
    vec![
        line(
            "sent bytes/s",
            restarts,
            restart_points(|r| r.sent_bytes_per_second),
            TARGET_RESTARTS_PER_SEC,
        ),
        line(
            "sent messages/s",
            restarts,
            restart_points(|r| r.sent_messages_per_second),
            TARGET_RESTARTS_PER_SEC,
        ),
        line(
            "% of a core",
            restarts,
            restart_points(|r| r.core_percent),
            TARGET_RESTARTS_PER_SEC,
        ),
        line(
            "sent bytes/s",
            size,
            size_points(|r| r.sent_bytes_per_second),
            target.ln(),
        ),
        line("% of a core", "balancers, no restarts", core_points, target),
        line(
            "store calls/s, fleet",
            "domains, no restarts",
            call_points,
            28.0,
        ),
        line(
            "sent bytes/s",
            "ln(balancers), 10 restarts/s",
            busy_points,
            target.ln(),
        ),
        line(
            "sent bytes/s",
            "changes/s, 3,000 services",
            change_points,
            TARGET_CHANGES_PER_SEC,
        ),
    ]
}

fn print(report: &Report) {
    println!(
        "Per balancer; bytes include IP and UDP headers. Seed {}.",
        report.seed
    );
    println!(
        "Memory of a record in a table of the target size: {:.0} bytes",
        report.record_bytes
    );
    println!(
        "{:>9} {:>7} {:>9} {:>9} {:>8} {:>9} {:>9} {:>9} {:>8} {:>8} {:>7} {:>7} {:>8} {:>8}",
        "balancers",
        "agents",
        "restarts",
        "changes",
        "services",
        "sent B/s",
        "recv B/s",
        "heartbt",
        "records",
        "digests",
        "config",
        "msg/s",
        "% core",
        "calls/s",
    );
    for run in &report.runs {
        let s = &run.scenario;
        println!(
            "{:>9} {:>7} {:>7.1}/s {:>7.1}/s {:>8} {:>9.0} {:>9.0} {:>9.0} {:>8.0} {:>8.0} {:>7.0} {:>7.1} {:>8.3} {:>8.1}",
            s.balancers, s.agents, s.restarts_per_second, s.changes_per_second, s.services,
            run.sent_bytes_per_second, run.received_bytes_per_second,
            run.heartbeat_bytes_per_second, run.record_bytes_per_second,
            run.digest_bytes_per_second, run.config_bytes_per_second,
            run.sent_messages_per_second, run.core_percent, run.store_calls_per_second_fleet,
        );
    }
    println!("Least squares:");
    for line in &report.slopes {
        println!(
            "{:>22} = {:>10.3} + {:>10.4} x {:<30} at target: {:.2}",
            line.of, line.intercept, line.slope, line.over, line.at_target,
        );
    }
}

fn main() -> anyhow::Result<()> {
    let arguments: Arguments = argh::from_env();
    let record_bytes = record_bytes();
    let scenarios = scenarios().into_iter();
    let runs: Vec<Measurement> = scenarios
        .map(|scenario| measure(scenario, &arguments))
        .collect();
    let report = Report {
        seed: arguments.seed,
        record_bytes,
        slopes: slopes(&runs),
        runs,
    };
    match arguments.json {
        true => println!("{}", serde_json::to_string_pretty(&report)?),
        false => print(&report),
    }
    Ok(())
}

//! Connects control-plane cores with queues in virtual time. All faults come from one seed.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use flamingofall::catalog::Offer;
use flamingofall::control::Control;
use flamingofall::output::{Event, Output};
use flamingofall::store::{Answer, Call, Error};
use flamingofall::wire::{Body, Message, MESSAGE_MAX_BYTES};
use prost::Message as _;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub mod agent;
pub mod fixture;
pub mod process;
pub mod store;
pub mod view;

use agent::SimulatedAgent;
#[allow(unused_imports)]
pub use fixture::{check_seeds, domain_number, record, AGENT_HOSTS_START};
use store::SimulatedStore;

pub const TICK: Duration = Duration::from_millis(100);

enum ScheduledEvent {
    Message(SocketAddr, SocketAddr, Message),
    StoreCall(SocketAddr, Call),
    StoreAnswer(SocketAddr, Answer),
    Tick(SocketAddr, u64),
}

pub enum Process {
    Balancer(Box<Control>),
    Agent(Box<SimulatedAgent>),
}

pub struct Driver {
    pub seed: u64,
    pub now: Instant,
    pub start: Instant,
    pub random: SmallRng,
    pub store: SimulatedStore,
    pub processes: BTreeMap<SocketAddr, (u64, Process)>,
    pub paused: BTreeSet<SocketAddr>,
    /// Third octets of domains that reach only each other, and whether they reach the store.
    pub partitioned_domains: BTreeSet<u8>,
    pub partition_reaches_store: bool,
    /// Pairs of sender and receiver between which everything is lost.
    pub blocked_links: BTreeSet<(SocketAddr, SocketAddr)>,
    pub loss: f64,
    pub duplication: f64,
    pub delay_max: Duration,
    pub drops_message: fn(&Body) -> bool,
    pub events: Vec<(Duration, SocketAddr, Event)>,
    /// Highest configuration that each run of a balancer had in force.
    pub highest_offers: BTreeMap<(SocketAddr, u64), Offer>,
    pub regressions: Vec<String>,
    /// What each balancer would have in force if the last head it read won, and how often that
    /// went back.
    pub last_read_heads: BTreeMap<SocketAddr, Offer>,
    pub head_regressions: usize,
    pub messages_sent: u64,
    /// The first messages that were sent.
    pub message_sample: Vec<Message>,
    pub message_sample_max: usize,
    queue: BTreeMap<(Instant, u64), ScheduledEvent>,
    sequence: u64,
}

impl Driver {
    pub fn new(seed: u64, domains: u8, balancers: u8, agents: u8) -> Self {
        let now = Instant::now();
        let mut driver = Self {
            seed,
            now,
            start: now,
            random: SmallRng::seed_from_u64(seed),
            store: SimulatedStore::default(),
            processes: BTreeMap::new(),
            paused: BTreeSet::new(),
            partitioned_domains: BTreeSet::new(),
            partition_reaches_store: false,
            blocked_links: BTreeSet::new(),
            loss: 0.0,
            duplication: 0.0,
            delay_max: Duration::from_millis(20),
            drops_message: |_| false,
            events: Vec::new(),
            highest_offers: BTreeMap::new(),
            regressions: Vec::new(),
            last_read_heads: BTreeMap::new(),
            head_regressions: 0,
            messages_sent: 0,
            message_sample: Vec::new(),
            message_sample_max: 0,
            queue: BTreeMap::new(),
            sequence: 0,
        };
        for domain in 0..domains {
            for host in (0..balancers).chain(AGENT_HOSTS_START..AGENT_HOSTS_START + agents) {
                driver.start_process(record(domain, host, 1));
            }
        }
        driver
    }

    pub fn run(&mut self, time: Duration) {
        self.run_until(time, |_| false);
    }

    /// Runs until the condition holds, checked at each event. Returns the time it took.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&Self) -> bool) -> Option<Duration> {
        let started = self.now;
        while let Some(&(at, sequence)) = self.queue.keys().next() {
            if at > started + limit {
                break;
            }
            self.now = at;
            let event = self.queue.remove(&(at, sequence)).unwrap();
            self.handle_event(event);
            if done(self) {
                return Some(self.now - started);
            }
        }
        self.now = started + limit;
        None
    }

    fn schedule(&mut self, delay: Duration, event: ScheduledEvent) {
        self.sequence += 1;
        self.queue.insert((self.now + delay, self.sequence), event);
    }

    fn random_delay(&mut self) -> Duration {
        self.delay_max.mul_f64(self.random.random_range(0.2..=1.0))
    }

    fn handle_event(&mut self, event: ScheduledEvent) {
        let (now, mut out) = (self.now, Vec::new());
        let to = match &event {
            ScheduledEvent::Message(_, to, _)
            | ScheduledEvent::StoreAnswer(to, _)
            | ScheduledEvent::Tick(to, _) => *to,
            ScheduledEvent::StoreCall(from, call) => return self.call_store(*from, call.clone()),
        };
        if self.paused.contains(&to) {
            return self.schedule(TICK, event);
        }
        if let ScheduledEvent::Tick(address, incarnation) = event {
            if self
                .processes
                .get(&address)
                .is_none_or(|(current, _)| *current != incarnation)
            {
                return;
            }
            self.schedule(TICK, ScheduledEvent::Tick(address, incarnation));
        }
        match (
            self.processes.get_mut(&to).map(|(_, process)| process),
            event,
        ) {
            (Some(Process::Balancer(control)), ScheduledEvent::Message(from, _, message)) => {
                control.handle_message(from, message, now, &mut out);
            }
            (Some(Process::Balancer(control)), ScheduledEvent::StoreAnswer(_, answer)) => {
                if let Some(offer) = store::offer_in_head(&answer) {
                    let last = self.last_read_heads.insert(to, offer);
                    self.head_regressions += usize::from(last.is_some_and(|last| last > offer));
                }
                control.handle_store_answer(answer, now, &mut out);
            }
            (Some(Process::Balancer(control)), ScheduledEvent::Tick(..)) => {
                control.tick(now, &mut out)
            }
            (Some(Process::Agent(agent)), ScheduledEvent::Message(_, _, message)) => {
                agent.handle_message(message, now)
            }
            (Some(Process::Agent(agent)), ScheduledEvent::Tick(..)) => agent.tick(now, &mut out),
            _ => return,
        }
        self.process_outputs(to, out);
        self.record_offer(to);
    }

    fn process_outputs(&mut self, from: SocketAddr, out: Vec<Output>) {
        for output in out {
            match output {
                Output::Send { to, message } => self.send(from, to, message),
                Output::Store(call) => {
                    let delay = self.random_delay();
                    self.schedule(delay, ScheduledEvent::StoreCall(from, call));
                }
                Output::Event(event) => self.events.push((self.now - self.start, from, event)),
            }
        }
    }

    fn send(&mut self, from: SocketAddr, to: SocketAddr, message: Message) {
        assert!(
            message.encoded_len() <= MESSAGE_MAX_BYTES,
            "too long: {message:?}"
        );
        self.messages_sent += 1;
        if self.message_sample.len() < self.message_sample_max {
            self.message_sample.push(message.clone());
        }
        let cut = self.partitioned_domains.contains(&domain_number(from))
            != self.partitioned_domains.contains(&domain_number(to));
        if cut
            || self.blocked_links.contains(&(from, to))
            || (self.drops_message)(message.body.as_ref().unwrap())
        {
            return;
        }
        let copies = 1 + usize::from(self.random.random_bool(self.duplication));
        for _ in 0..copies {
            if !self.random.random_bool(self.loss) {
                let delay = self.random_delay();
                self.schedule(delay, ScheduledEvent::Message(from, to, message.clone()));
            }
        }
    }

    fn call_store(&mut self, from: SocketAddr, call: Call) {
        let reachable = !self.partitioned_domains.contains(&domain_number(from))
            || self.partition_reaches_store;
        let answers = match reachable && self.store.available {
            true => self.store.call(from, call, self.now, &mut self.random),
            false => vec![(
                from,
                Answer {
                    id: call.id,
                    result: Err(Error::Unavailable),
                },
            )],
        };
        for (to, answer) in answers {
            if !self.partitioned_domains.contains(&domain_number(to))
                || self.partition_reaches_store
                || to == from
            {
                let delay = self.random_delay();
                self.schedule(delay, ScheduledEvent::StoreAnswer(to, answer));
            }
        }
    }
}

//! Discrete-event simulation of balancers and agents that share a network and a store.
//!
//! The control-plane state machines run without I/O in virtual time. Delays, lost and duplicate
//! messages and faults of the store are drawn from one seeded generator, so a run can be repeated.
// Each test binary uses only a part of this module.
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

/// Time between two ticks of a process, and between attempts to deliver an event to a paused one.
pub const TICK: Duration = Duration::from_millis(100);

/// An event in the queue. Addresses are control addresses.
enum ScheduledEvent {
    /// Sender, receiver and content.
    Message(SocketAddr, SocketAddr, Message),
    /// Caller and call.
    StoreCall(SocketAddr, Call),
    /// Receiver and answer.
    StoreAnswer(SocketAddr, Answer),
    /// Process and its incarnation. The ticks of an incarnation end with it.
    Tick(SocketAddr, u64),
}

/// State of a simulated process.
pub enum Process {
    Balancer(Box<Control>),
    Agent(Box<SimulatedAgent>),
}

/// The simulated processes, network and store, and what the tests observe of them.
pub struct Driver {
    pub seed: u64,
    pub now: Instant,
    pub start: Instant,
    pub random: SmallRng,
    pub store: SimulatedStore,
    /// Incarnation and state of each running process, by control address.
    pub processes: BTreeMap<SocketAddr, (u64, Process)>,
    /// Processes that handle no events. Their events are delivered after the pause.
    pub paused: BTreeSet<SocketAddr>,
    /// Numbers of the failure domains that reach each other but no other domain.
    pub partitioned_domains: BTreeSet<u8>,
    /// Whether the partitioned domains reach the store.
    pub partition_reaches_store: bool,
    /// Pairs of sender and receiver whose messages are all dropped.
    pub blocked_links: BTreeSet<(SocketAddr, SocketAddr)>,
    /// Probability that a copy of a message is lost.
    pub loss: f64,
    /// Probability that a message is sent twice.
    pub duplication: f64,
    /// Maximum delay of a message, a store call or its answer. The minimum is a fifth of it.
    pub delay_max: Duration,
    /// Selects messages that are dropped, so that a test can disable a mechanism.
    pub drops_message: fn(&Body) -> bool,
    /// Reported events with their time since the start and the process.
    pub events: Vec<(Duration, SocketAddr, Event)>,
    /// Highest offer that each incarnation of a balancer had in force.
    pub highest_offers: BTreeMap<(SocketAddr, u64), Offer>,
    /// Descriptions of the cases in which an incarnation went back to a lower offer.
    pub regressions: Vec<String>,
    /// Offer in the head that each balancer read last, without regard to earlier ones.
    pub last_read_heads: BTreeMap<SocketAddr, Offer>,
    /// How often a balancer read a head with a lower offer than in the one before. A balancer that
    /// adopted each head it read would have reverted its configuration as often.
    pub head_regressions: usize,
    pub messages_sent: u64,
    /// The first `message_sample_max` messages that were sent, including those that were lost.
    pub message_sample: Vec<Message>,
    pub message_sample_max: usize,
    /// Events by their time and, for equal times, by the order in which they were scheduled.
    queue: BTreeMap<(Instant, u64), ScheduledEvent>,
    /// Number of the event that was scheduled last.
    sequence: u64,
}

impl Driver {
    /// Starts the given number of balancers and agents in each failure domain.
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

    /// Runs until `done`, which is checked after each event, returns true. Returns the virtual time
    /// that this took, or `None` if the limit was reached.
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

    /// Sends a message through the network, which delays it and may drop or duplicate it.
    ///
    /// # Panics
    ///
    /// Panics if the message exceeds [`MESSAGE_MAX_BYTES`], so each test checks this limit.
    fn send(&mut self, from: SocketAddr, to: SocketAddr, message: Message) {
        assert!(
            message.encoded_len() <= MESSAGE_MAX_BYTES,
            "message exceeds {MESSAGE_MAX_BYTES} bytes: {message:?}"
        );
        self.messages_sent += 1;
        if self.message_sample.len() < self.message_sample_max {
            self.message_sample.push(message.clone());
        }
        let separated = self.partitioned_domains.contains(&domain_number(from))
            != self.partitioned_domains.contains(&domain_number(to));
        if separated
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

    /// Passes a call to the store, or fails it as unavailable if the caller can't reach the store.
    /// Answers to watches in partitioned domains that don't reach the store are dropped.
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

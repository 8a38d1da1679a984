//! The platform's object service.
//!
//! An HTTP API with JSON in the conventions of the Kubernetes API, below
//! `/apis/flamingofall.io/v1/`: get, list, create, conditional update, delete and watch. Faults
//! can be switched while it runs.

use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;

use crate::task::Task;

mod objects;
mod serve;

pub use objects::Resource;

/// Base path of all resources.
pub const BASE_PATH: &str = "/apis/flamingofall.io/v1/";
/// Largest object.
pub const MAX_BODY_BYTES: usize = 1_000_000;
/// Connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// Whether the service answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Answers calls.
    #[default]
    Up,
    /// Refuses connections; open ones are reset.
    Refusing,
    /// Accepts connections and calls, and answers them only when the mode changes. A write takes
    /// effect then, if its caller is still connected.
    Hanging,
}

/// What a call does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verb {
    /// Reads one object.
    Get,
    /// Reads all objects of a type.
    List,
    /// Waits for changes.
    Watch,
    /// Creates an object.
    Create,
    /// Replaces an object.
    Update,
    /// Deletes an object.
    Delete,
}

impl Verb {
    /// Whether the call changes an object.
    pub fn is_write(self) -> bool {
        matches!(self, Self::Create | Self::Update | Self::Delete)
    }
}

/// Calls per second above which the service answers 429.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Creates, updates and deletes.
    pub writes: usize,
    /// Gets, lists and new watches.
    pub reads: usize,
}

#[derive(Default)]
struct Faults {
    delay: Duration,
    jitter: Duration,
    answer_loss_probability: f64,
    answers_to_lose: u32,
    frozen_version: Option<u64>,
    read_lag_versions: u64,
    limits: Option<Limits>,
}

struct State {
    objects: objects::VersionedObjects,
    faults: Faults,
    random: SmallRng,
    calls: BTreeMap<(Verb, Resource), u64>,
    recent_writes: VecDeque<Instant>,
    recent_reads: VecDeque<Instant>,
    /// Raised when watches have to end.
    watch_epoch: u64,
}

struct Shared {
    state: Mutex<State>,
    mode: watch::Sender<Mode>,
    /// Notifies watches of changes.
    changed: watch::Sender<()>,
}

/// A running object service.
pub struct Store {
    address: SocketAddr,
    shared: Arc<Shared>,
    _task: Task,
}

impl Store {
    /// Starts an empty service. Random faults follow from `seed`.
    pub async fn start(seed: u64) -> io::Result<Self> {
        // The placeholder keeps the port while the service refuses connections.
        let port_reservation = bind_socket((Ipv4Addr::LOCALHOST, 0).into())?;
        let address = port_reservation.local_addr()?;
        let listener = listen(address)?;
        let shared = Arc::new(Shared {
            state: Mutex::new(State {
                objects: objects::VersionedObjects::default(),
                faults: Faults::default(),
                random: SmallRng::seed_from_u64(seed),
                calls: BTreeMap::new(),
                recent_writes: VecDeque::new(),
                recent_reads: VecDeque::new(),
                watch_epoch: 0,
            }),
            mode: watch::Sender::new(Mode::Up),
            changed: watch::Sender::new(()),
        });
        let task = Task::spawn(serve::run(port_reservation, listener, shared.clone()));
        Ok(Self {
            address,
            shared,
            _task: task,
        })
    }

    /// Where the service listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The URL of a resource type, or of one object with `name`.
    pub fn url(&self, resource: Resource, name: &str) -> String {
        let base = format!("http://{}{BASE_PATH}{}", self.address, resource.path());
        match name {
            "" => base,
            name => format!("{base}/{name}"),
        }
    }

    /// Sets whether the service answers.
    pub fn set_mode(&self, mode: Mode) {
        self.shared.mode.send_replace(mode);
    }

    /// Delays each answer by `delay` and a random time up to `jitter`.
    pub fn set_delay(&self, delay: Duration, jitter: Duration) {
        let mut state = self.lock();
        state.faults.delay = delay;
        state.faults.jitter = jitter;
    }

    /// Applies writes with this probability without answering them.
    pub fn set_answer_loss_probability(&self, probability: f64) {
        self.lock().faults.answer_loss_probability = probability;
    }

    /// Applies the next `count` writes without answering them.
    pub fn lose_answers(&self, count: u32) {
        self.lock().faults.answers_to_lose = count;
    }

    /// Answers reads from a state that is this many changes old. Watches are not affected.
    pub fn set_stale(&self, changes: u64) {
        let mut state = self.lock();
        state.faults.frozen_version = None;
        state.faults.read_lag_versions = changes;
    }

    /// Answers reads from the current state until the fault is cleared, whatever is written.
    pub fn freeze_reads(&self) {
        let mut state = self.lock();
        state.faults.frozen_version = Some(state.objects.version);
    }

    /// Answers reads from the current state again.
    pub fn clear_stale(&self) {
        let mut state = self.lock();
        state.faults.frozen_version = None;
        state.faults.read_lag_versions = 0;
    }

    /// Sets the rates above which calls are answered with 429.
    pub fn set_limits(&self, limits: Option<Limits>) {
        self.lock().faults.limits = limits;
    }

    /// The version of the last change.
    pub fn version(&self) -> u64 {
        self.lock().objects.version
    }

    /// Goes back to the state at an earlier version, as after a restore from a backup. Later
    /// versions are used again for other changes, and all watches end.
    pub fn restore(&self, version: u64) {
        let mut state = self.lock();
        state.objects.restore(version);
        state.watch_epoch += 1;
        self.shared.changed.send_replace(());
    }

    /// Forgets all earlier versions: watches that ask for one of them get 410.
    pub fn compact(&self) {
        let mut state = self.lock();
        let version = state.objects.version;
        state.objects.compact(version);
    }

    /// Ends all watches.
    pub fn end_watches(&self) {
        let mut state = self.lock();
        state.watch_epoch += 1;
        self.shared.changed.send_replace(());
    }

    /// An object, read without a call.
    pub fn object(&self, resource: Resource, name: &str) -> Option<Value> {
        let state = self.lock();
        let object = state.objects.current.get(&(resource, name.to_owned()))?;
        Some((**object).clone())
    }

    /// Calls received so far, also those that were refused. A watch is one call.
    pub fn calls(&self) -> BTreeMap<(Verb, Resource), u64> {
        self.lock().calls.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.shared.state.lock().unwrap()
    }
}

impl State {
    /// Counts a call; returns whether it is within the limits.
    fn admit(&mut self, verb: Verb, resource: Resource) -> bool {
        *self.calls.entry((verb, resource)).or_default() += 1;
        let now = Instant::now();
        let (recent, limit) = match verb.is_write() {
            true => (
                &mut self.recent_writes,
                self.faults.limits.map(|l| l.writes),
            ),
            false => (&mut self.recent_reads, self.faults.limits.map(|l| l.reads)),
        };
        let Some(limit) = limit else {
            recent.clear();
            return true;
        };
        while recent
            .front()
            .is_some_and(|at| now.duration_since(*at) >= Duration::from_secs(1))
        {
            recent.pop_front();
        }
        if recent.len() >= limit {
            return false;
        }
        recent.push_back(now);
        true
    }

    fn delay(&mut self) -> Duration {
        let jitter = self.faults.jitter.mul_f64(self.random.random());
        self.faults.delay + jitter
    }

    /// Whether the answer to a write that took effect is lost.
    fn loses_answer(&mut self) -> bool {
        if self.faults.answers_to_lose > 0 {
            self.faults.answers_to_lose -= 1;
            return true;
        }
        let probability = self.faults.answer_loss_probability.clamp(0.0, 1.0);
        probability > 0.0 && self.random.random_bool(probability)
    }

    /// Reads the version and the objects that the faults let callers see.
    fn read<R>(&self, read: impl FnOnce(u64, &objects::ObjectMap) -> R) -> R {
        let current = self.objects.version;
        let version = match self.faults.frozen_version {
            Some(version) => version,
            None => current.saturating_sub(self.faults.read_lag_versions),
        };
        if version >= current {
            return read(current, &self.objects.current);
        }
        let (version, objects) = self.objects.objects_at(version);
        read(version, &objects)
    }
}

fn bind_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    bind_socket(address)?.listen(LISTEN_BACKLOG)
}

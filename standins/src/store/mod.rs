//! Stand-in for the platform's object store, which keeps versioned objects in memory.
//!
//! It serves an HTTP API with JSON bodies below `/apis/flamingofall.io/v1/`, in the conventions of
//! the Kubernetes API: get, list, create, conditional update, delete and watch. A test can switch
//! faults on and off while it runs.

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

/// Path prefix of all resource types.
pub const BASE_PATH: &str = "/apis/flamingofall.io/v1/";
/// Largest request body; larger ones are answered with 413.
pub const MAX_BODY_BYTES: usize = 1_000_000;
/// Connections that may wait in the kernel to be accepted.
const LISTEN_BACKLOG: u32 = 1024;

/// Whether and how the store accepts connections and answers calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Accepts connections and answers calls.
    #[default]
    Up,
    /// Refuses new connections and breaks off open ones.
    Refusing,
    /// Accepts connections and requests, but doesn't process new requests until the mode changes.
    /// A pending write then takes effect if its client is still connected. Open watches send no
    /// changes in the meantime.
    Hanging,
}

/// Operation of an API call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Verb {
    /// Reads one object.
    Get,
    /// Reads the objects of a resource type.
    List,
    /// Streams changes of the objects of a resource type.
    Watch,
    /// Creates an object.
    Create,
    /// Replaces an object if its version is the expected one.
    Update,
    /// Deletes an object, optionally only if its version is the expected one.
    Delete,
}

impl Verb {
    /// Whether calls of this kind count as writes: create, update and delete.
    pub fn is_write(self) -> bool {
        matches!(self, Self::Create | Self::Update | Self::Delete)
    }
}

/// Largest numbers of calls within any one second; calls above them are answered with 429.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Limit for creates, updates and deletes together.
    pub writes: usize,
    /// Limit for gets, lists and new watches together.
    pub reads: usize,
}

/// Faults that are switched on.
#[derive(Default)]
struct Faults {
    delay: Duration,
    /// Upper bound of the random time that is added to `delay`.
    jitter: Duration,
    answer_loss_probability: f64,
    /// Successful writes still to be left without an answer.
    answers_to_lose: u32,
    /// Version that reads are answered from; takes precedence over `read_lag_versions`.
    frozen_version: Option<u64>,
    /// Number of versions by which reads lag behind the current state.
    read_lag_versions: u64,
    limits: Option<Limits>,
}

struct State {
    objects: objects::VersionedObjects,
    faults: Faults,
    random: SmallRng,
    calls: BTreeMap<(Verb, Resource), u64>,
    /// Times of the writes that count towards the rate limit, oldest first.
    recent_writes: VecDeque<Instant>,
    /// Times of the reads that count towards the rate limit, oldest first.
    recent_reads: VecDeque<Instant>,
    /// Incremented to end all watches; a watch ends when it differs from the value at its start.
    watch_epoch: u64,
}

struct Shared {
    state: Mutex<State>,
    mode: watch::Sender<Mode>,
    /// Wakes the watches after a change of the objects or of `watch_epoch`.
    changed: watch::Sender<()>,
}

/// Handle to a running store, which stops when the handle is dropped.
pub struct Store {
    address: SocketAddr,
    shared: Arc<Shared>,
    _task: Task,
}

impl Store {
    /// Starts an empty store on a free loopback port. `seed` determines the random numbers of the
    /// faults.
    pub async fn start(seed: u64) -> io::Result<Self> {
        // This socket is bound but never listens: it reserves the port while the store refuses
        // connections.
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

    /// Address that the store listens on. It stays the same in all modes.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// URL of the object `name`, or of the resource type if `name` is empty.
    pub fn url(&self, resource: Resource, name: &str) -> String {
        let base = format!("http://{}{BASE_PATH}{}", self.address, resource.path());
        match name {
            "" => base,
            name => format!("{base}/{name}"),
        }
    }

    /// Sets whether and how the store accepts connections and answers calls.
    pub fn set_mode(&self, mode: Mode) {
        self.shared.mode.send_replace(mode);
    }

    /// Delays each call by `delay` and a random time of at most `jitter` before it takes effect.
    /// Calls that are rejected before that, such as those above a rate limit, aren't delayed.
    pub fn set_delay(&self, delay: Duration, jitter: Duration) {
        let mut state = self.lock();
        state.faults.delay = delay;
        state.faults.jitter = jitter;
    }

    /// Sets the probability, from 0 to 1, with which the connection of a successful write is closed
    /// without an answer.
    pub fn set_answer_loss_probability(&self, probability: f64) {
        self.lock().faults.answer_loss_probability = probability;
    }

    /// Closes the connection without an answer for each of the next `count` successful writes.
    /// Replaces the count of an earlier call.
    pub fn lose_answers(&self, count: u32) {
        self.lock().faults.answers_to_lose = count;
    }

    /// Answers gets and lists from the state before the last `changes` changes, as far as the
    /// history reaches back. Ends [`Self::freeze_reads`]. Watches aren't affected.
    pub fn set_stale(&self, changes: u64) {
        let mut state = self.lock();
        state.faults.frozen_version = None;
        state.faults.read_lag_versions = changes;
    }

    /// Answers gets and lists from the present state, regardless of later writes, until
    /// [`Self::clear_stale`] or [`Self::set_stale`] is called. Watches aren't affected.
    pub fn freeze_reads(&self) {
        let mut state = self.lock();
        state.faults.frozen_version = Some(state.objects.version);
    }

    /// Switches off the faults of [`Self::set_stale`] and [`Self::freeze_reads`].
    pub fn clear_stale(&self) {
        let mut state = self.lock();
        state.faults.frozen_version = None;
        state.faults.read_lag_versions = 0;
    }

    /// Sets the rate limits; `None` removes them.
    pub fn set_limits(&self, limits: Option<Limits>) {
        self.lock().faults.limits = limits;
    }

    /// Version of the last change; 0 if there was none.
    pub fn version(&self) -> u64 {
        self.lock().objects.version
    }

    /// Returns to the state at an earlier version, like a restore from a backup. If the history
    /// doesn't reach back that far, it returns to the oldest version that is known. Later version
    /// numbers are reused for new changes, and all watches end.
    pub fn restore(&self, version: u64) {
        let mut state = self.lock();
        state.objects.restore(version);
        state.watch_epoch += 1;
        self.shared.changed.send_replace(());
    }

    /// Drops the history: a watch from an earlier version gets 410, and stale reads and restores
    /// can't go back beyond the current version.
    pub fn compact(&self) {
        let mut state = self.lock();
        let version = state.objects.version;
        state.objects.compact(version);
    }

    /// Ends all watches without an error.
    pub fn end_watches(&self) {
        let mut state = self.lock();
        state.watch_epoch += 1;
        self.shared.changed.send_replace(());
    }

    /// Current state of an object. The read isn't counted, and no fault affects it.
    pub fn object(&self, resource: Resource, name: &str) -> Option<Value> {
        let state = self.lock();
        let object = state.objects.current.get(&(resource, name.to_owned()))?;
        Some((**object).clone())
    }

    /// Number of calls so far, including those above a rate limit and those that failed. A watch is
    /// one call. Calls that hang are counted when they are processed. Requests with an unknown
    /// path, a method that isn't allowed or an invalid query aren't counted.
    pub fn calls(&self) -> BTreeMap<(Verb, Resource), u64> {
        self.lock().calls.clone()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.shared.state.lock().unwrap()
    }
}

impl State {
    /// Counts a call; returns whether it is within the rate limits.
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

    /// Draws the delay of the next call.
    fn draw_delay(&mut self) -> Duration {
        let jitter = self.faults.jitter.mul_f64(self.random.random());
        self.faults.delay + jitter
    }

    /// Decides whether a successful write is left without an answer.
    fn loses_answer(&mut self) -> bool {
        if self.faults.answers_to_lose > 0 {
            self.faults.answers_to_lose -= 1;
            return true;
        }
        let probability = self.faults.answer_loss_probability.clamp(0.0, 1.0);
        probability > 0.0 && self.random.random_bool(probability)
    }

    /// Calls `read` with the version and objects that gets and lists see under the current faults.
    fn read<R>(&self, read: impl FnOnce(u64, &objects::ObjectMap) -> R) -> R {
        let current_version = self.objects.version;
        let version = match self.faults.frozen_version {
            Some(version) => version,
            None => current_version.saturating_sub(self.faults.read_lag_versions),
        };
        if version >= current_version {
            return read(current_version, &self.objects.current);
        }
        let (version, objects) = self.objects.objects_at(version);
        read(version, &objects)
    }
}

/// Binds a TCP socket with `SO_REUSEADDR`, so that the listener can share the address with the
/// socket that reserves the port.
fn bind_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    bind_socket(address)?.listen(LISTEN_BACKLOG)
}

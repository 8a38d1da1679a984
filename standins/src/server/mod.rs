//! A backend server host.
//!
//! It receives IP packets as the payload of UDP datagrams (GUE variant 1), holds the addresses of
//! its service, runs the application of [`crate::protocol`] on TCP and UDP, and sends answers in
//! the same form to the fabric.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, UdpSocket};

use crate::effect;
use crate::occupancy;
use crate::task::Task;
use crate::udp;

mod endpoint;
mod requests;
mod session;
mod worker;

/// Attempts to find a port number that is free for both UDP and TCP.
const BIND_ATTEMPTS: usize = 50;

/// How a server is set up.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the server, in answers and effects.
    pub name: String,
    /// Name of the service.
    pub service: String,
    /// Addresses of the service, on TCP and UDP.
    pub addresses: Vec<SocketAddr>,
    /// Where answers go.
    pub fabric: SocketAddr,
    /// URL of the agent that gets announcements, without a path.
    pub agent: Option<String>,
    /// Run of the server; a restarted server has a higher number.
    pub incarnation: u64,
    /// Requests that run at the same time.
    pub slots: u32,
    /// Requests that wait for a slot; more are shed.
    pub queue: u32,
    /// Connections that are open at the same time; more are reset.
    pub connections: u32,
    /// Time from the start until the server is ready.
    pub ready_after: Duration,
    /// Time over which the server gets as fast as it can be.
    pub cold_start: Duration,
    /// How many times longer a request takes at the very start.
    pub cold_slowness: f64,
    /// Log of the effects, shared by all servers of a test.
    pub effects: effect::Log,
    /// Log of the occupied slots, shared by all servers of a test.
    pub occupancy: occupancy::Log,
    /// Seed of sequence numbers.
    pub seed: u64,
}

impl Config {
    /// A server with 4 slots, 2,000 connections and no cold start, without an agent.
    pub fn new(name: &str, service: &str, address: SocketAddr, fabric: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            service: service.to_owned(),
            addresses: vec![address],
            fabric,
            agent: None,
            incarnation: 1,
            slots: 4,
            queue: 64,
            connections: 2000,
            ready_after: Duration::ZERO,
            cold_start: Duration::ZERO,
            cold_slowness: 4.0,
            effects: effect::Log::new(),
            occupancy: occupancy::Log::new(),
            seed: 0,
        }
    }
}

/// What the load endpoint reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Report {
    /// The present load.
    #[default]
    Accurate,
    /// The load as it was this long ago.
    Stale(Duration),
    /// The present load, answered after this time.
    Slow(Duration),
    /// No slots used and no connections, whatever the load.
    Zero,
    /// Status 500.
    Failing,
}

/// Answer of the load endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that are running.
    pub slots_used: u32,
    /// Open connections.
    pub connections: u32,
    /// The server takes requests.
    pub ready: bool,
    /// The server is leaving.
    pub draining: bool,
}

/// What a server has done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Packets received.
    pub packets: u64,
    /// Packets whose destination is not an address of the service. They are dropped.
    pub misdelivered: u64,
    /// Datagrams that are not IP packets.
    pub malformed: u64,
    /// TCP segments sent with RST.
    pub resets: u64,
    /// TCP connections accepted, and UDP requests.
    pub flows: u64,
    /// Connections refused because of the connection limit.
    pub over_limit: u64,
    /// Flows that started while the server was draining.
    pub flows_draining: u64,
    /// When the last of them started.
    pub last_flow_draining: Option<Instant>,
    /// When the server began to drain.
    pub drain_began: Option<Instant>,
    /// Requests answered as done.
    pub done: u64,
    /// Requests answered as shed.
    pub shed: u64,
}

struct AnnouncedIdentity {
    service: String,
    address: SocketAddr,
    incarnation: u64,
    slots: u32,
    connections: u32,
}

struct SharedState {
    identity: AnnouncedIdentity,
    load: Load,
    unfinished: usize,
    report: Report,
    samples: VecDeque<(Instant, Load)>,
    counts: Counts,
    announcing: bool,
    stopping: bool,
    close_requested: bool,
    slowness: f64,
}

/// A running server. Dropping it is a crash: nothing is sent any more.
pub struct Server {
    address: SocketAddr,
    agent: Option<String>,
    shared: Arc<Mutex<SharedState>>,
    _tasks: Vec<Task>,
}

impl Server {
    /// Starts a server.
    pub async fn start(config: Config) -> io::Result<Self> {
        let (socket, listener) = bind_same_port().await?;
        let address = socket.local_addr()?;
        let shared = Arc::new(Mutex::new(SharedState {
            identity: AnnouncedIdentity {
                service: config.service.clone(),
                address,
                incarnation: config.incarnation,
                slots: config.slots,
                connections: config.connections,
            },
            load: Load {
                ready: config.ready_after.is_zero(),
                ..Load::default()
            },
            unfinished: 0,
            report: Report::Accurate,
            samples: VecDeque::new(),
            counts: Counts::default(),
            announcing: true,
            stopping: false,
            close_requested: false,
            slowness: 1.0,
        }));
        let mut tasks = vec![Task::spawn(endpoint::serve(listener, shared.clone()))];
        let agent = config.agent.clone();
        if let Some(agent) = &agent {
            let announcements = endpoint::send_announcements(agent.clone(), shared.clone());
            tasks.push(Task::spawn(announcements));
        }
        let worker = worker::Worker::new(config, socket, shared.clone());
        tasks.push(Task::spawn(worker.run()));
        Ok(Self {
            address,
            agent,
            shared,
            _tasks: tasks,
        })
    }

    /// Where the server receives packets (UDP) and load requests (TCP): the same port number.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Begins to drain: the server tells its agent and its load endpoint that it is leaving. It
    /// goes on to serve what arrives.
    pub fn drain(&self) {
        let mut shared = self.lock();
        shared.load.draining = true;
        shared.counts.drain_began.get_or_insert(Instant::now());
    }

    /// Counts new flows from now on as flows of a leaving server, which tells nobody: the agent or
    /// the configuration drains it.
    pub fn note_leaving(&self) {
        let mut shared = self.lock();
        shared.counts.drain_began.get_or_insert(Instant::now());
    }

    /// Announces that the server is down and ends. Waits until the announcement has been posted.
    pub async fn stop(self) {
        let body = {
            let mut shared = self.lock();
            shared.stopping = true;
            shared.announcement_body()
        };
        if let Some(agent) = &self.agent {
            endpoint::post_announcement(agent, body).await;
        }
    }

    /// Sets what the load endpoint reports.
    pub fn set_report(&self, report: Report) {
        self.lock().report = report;
    }

    /// Sets whether the server announces itself.
    pub fn set_announcing(&self, announcing: bool) {
        self.lock().announcing = announcing;
    }

    /// Multiplies the time that requests take from now on.
    pub fn set_slowness(&self, slowness: f64) {
        self.lock().slowness = slowness;
    }

    /// Closes all connections with a FIN, within 100 ms.
    pub fn close_connections(&self) {
        self.lock().close_requested = true;
    }

    /// The true load.
    pub fn load(&self) -> Load {
        self.lock().load
    }

    /// Requests that have arrived and not ended.
    pub fn unfinished(&self) -> usize {
        self.lock().unfinished
    }

    /// What the server has done so far.
    pub fn counts(&self) -> Counts {
        self.lock().counts
    }

    fn lock(&self) -> MutexGuard<'_, SharedState> {
        self.shared.lock().unwrap()
    }
}

/// Binds UDP and TCP sockets with the same port number.
async fn bind_same_port() -> io::Result<(UdpSocket, TcpListener)> {
    for _ in 0..BIND_ATTEMPTS {
        let socket = udp::bind().await?;
        if let Ok(listener) = TcpListener::bind(socket.local_addr()?).await {
            return Ok((socket, listener));
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

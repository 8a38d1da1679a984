//! A backend server.
//!
//! It receives IP packets as the payload of UDP datagrams (GUE variant 1) and terminates the TCP
//! and UDP flows to the addresses of its service. On them it serves the requests of
//! [`crate::protocol`]. The packets that it sends go to the fabric in the same encapsulation.

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

/// Number of attempts to find a port that is free for both UDP and TCP. The operating system picks
/// the UDP port, whose number may be taken for TCP.
const BIND_ATTEMPTS: usize = 50;

/// Configuration of a server.
#[derive(Clone, Debug)]
pub struct Config {
    /// Name of the server in its answers and in the logs of effects and occupied slots.
    pub name: String,
    /// Name of the service in answers, logs and announcements.
    pub service: String,
    /// Addresses of the service; each is served over TCP and UDP.
    pub addresses: Vec<SocketAddr>,
    /// UDP address of the fabric, which gets all packets that the server sends.
    pub fabric: SocketAddr,
    /// URL of the agent that gets announcements, without a path; `None` sends no announcements.
    pub agent: Option<String>,
    /// Number of this run of the server in announcements. The test sets a higher one for a restart.
    pub incarnation: u64,
    /// Maximum number of requests that run at the same time.
    pub slots: u32,
    /// Maximum number of requests that wait for a slot; further ones are shed.
    pub queue: u32,
    /// Maximum number of TCP connections; a SYN beyond it is answered with a reset.
    pub connections: u32,
    /// Time from the start until the server reports that it is ready. It serves requests before.
    pub ready_after: Duration,
    /// Time from the start over which the factor of `cold_slowness` falls linearly to 1.
    pub cold_start: Duration,
    /// Factor on the run time of a request that starts at the beginning of `cold_start`. Watches
    /// over TCP keep their duration.
    pub cold_slowness: f64,
    /// Log of the effects of requests; the servers of a test share one.
    pub effects: effect::Log,
    /// Log of the occupied slots over time; the servers of a test share one.
    pub occupancy: occupancy::Log,
    /// Seed of the TCP/IP stacks, which derive initial sequence numbers from it.
    pub seed: u64,
}

impl Config {
    /// Creates the configuration of a server of one address that is ready from the start.
    ///
    /// It has 4 slots, a queue of 64 requests, at most 2,000 connections, no cold start, no agent,
    /// incarnation 1 and logs of its own.
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

/// How the load endpoint answers; all variants but the first inject a fault.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Report {
    /// The current load, at once.
    #[default]
    Accurate,
    /// The load of this long ago, or the oldest recorded one while the history is shorter.
    Stale(Duration),
    /// The load at the time of the request, answered after this delay.
    Slow(Duration),
    /// No used slots and no connections; `ready` and `draining` are accurate.
    Zero,
    /// HTTP status 500 without a body.
    Failing,
}

/// Body of the load endpoint's answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests that occupy a slot.
    pub slots_used: u32,
    /// TCP connections, including those that are being opened or closed.
    pub connections: u32,
    /// Whether [`Config::ready_after`] has passed since the start.
    pub ready: bool,
    /// Whether [`Server::drain`] has been called.
    pub draining: bool,
}

/// Counters of a server since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// UDP datagrams received, including the malformed and misdelivered ones.
    pub packets: u64,
    /// Packets dropped because their destination is not an address of the service.
    pub misdelivered: u64,
    /// Datagrams dropped because they are not well-formed IP packets.
    pub malformed: u64,
    /// TCP segments sent with the RST flag.
    pub resets: u64,
    /// TCP connections for which a SYN was accepted, and valid UDP requests.
    pub flows: u64,
    /// SYNs refused because of [`Config::connections`].
    pub over_limit: u64,
    /// Those of `flows` that started after the worker had seen `drain_began`, which takes up to
    /// 100 ms.
    pub flows_draining: u64,
    /// When the last flow of `flows_draining` started.
    pub last_flow_draining: Option<Instant>,
    /// Time of the first call of [`Server::drain`] or [`Server::note_leaving`].
    pub drain_began: Option<Instant>,
    /// Answers with status done, without those to watches over TCP.
    pub done: u64,
    /// Answers with status shed.
    pub shed: u64,
}

/// Parts of an announcement that stay the same while the server runs.
struct AnnouncedIdentity {
    service: String,
    address: SocketAddr,
    incarnation: u64,
    slots: u32,
    connections: u32,
}

/// State that the [`Server`] handle, the worker and the load endpoint share.
struct SharedState {
    identity: AnnouncedIdentity,
    load: Load,
    unfinished: usize,
    report: Report,
    /// Load over time for [`Report::Stale`], oldest first.
    samples: VecDeque<(Instant, Load)>,
    counts: Counts,
    announcing: bool,
    stopping: bool,
    /// The worker closes all connections and resets the flag.
    close_requested: bool,
    slowness: f64,
}

/// Handle of a running server. Dropping it simulates a crash: the server's tasks are aborted, and
/// neither packets nor a final announcement are sent.
pub struct Server {
    address: SocketAddr,
    agent: Option<String>,
    shared: Arc<Mutex<SharedState>>,
    _tasks: Vec<Task>,
}

impl Server {
    /// Starts a server on loopback ports that the operating system picks.
    ///
    /// Fails if no port is free for both UDP and TCP.
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

    /// Address at which the server receives encapsulated packets (UDP) and load requests (HTTP over
    /// TCP on the same port number).
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts to drain: announcements and the load endpoint report the server as draining. It still
    /// serves existing and new flows.
    pub fn drain(&self) {
        let mut shared = self.lock();
        shared.load.draining = true;
        shared.counts.drain_began.get_or_insert(Instant::now());
    }

    /// Counts new flows in [`Counts::flows_draining`] from now on without reporting the server as
    /// draining. Used where the agent or the configuration drains it.
    pub fn note_leaving(&self) {
        let mut shared = self.lock();
        shared.counts.drain_began.get_or_insert(Instant::now());
    }

    /// Stops the server. Its last announcement has the state down; the call returns when it has
    /// been posted or has failed.
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

    /// Sets how the load endpoint answers from now on.
    pub fn set_report(&self, report: Report) {
        self.lock().report = report;
    }

    /// Sets whether the server sends periodic announcements. [`Server::stop`] still
    /// sends one.
    pub fn set_announcing(&self, announcing: bool) {
        self.lock().announcing = announcing;
    }

    /// Sets the factor on the run time of requests that start from now on; the initial one is 1. It
    /// is multiplied by the factor of a cold start. Watches over TCP keep their
    /// duration.
    pub fn set_slowness(&self, slowness: f64) {
        self.lock().slowness = slowness;
    }

    /// Closes all connections with a FIN. The worker does so within 100 ms, the interval of its
    /// housekeeping.
    pub fn close_connections(&self) {
        self.lock().close_requested = true;
    }

    /// Current load, whatever the load endpoint reports.
    pub fn load(&self) -> Load {
        self.lock().load
    }

    /// Requests that run or wait for a slot. Watches over TCP are not included.
    pub fn unfinished(&self) -> usize {
        self.lock().unfinished
    }

    /// Counters since the start.
    pub fn counts(&self) -> Counts {
        self.lock().counts
    }

    fn lock(&self) -> MutexGuard<'_, SharedState> {
        self.shared.lock().unwrap()
    }
}

/// Binds a UDP socket and a TCP listener to the same port number.
async fn bind_same_port() -> io::Result<(UdpSocket, TcpListener)> {
    for _ in 0..BIND_ATTEMPTS {
        let socket = udp::bind().await?;
        if let Ok(listener) = TcpListener::bind(socket.local_addr()?).await {
            return Ok((socket, listener));
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

//! Runs a plan against real processes.

mod clients;
mod faults;
mod servers;

use std::collections::VecDeque;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{ensure, Context, Result};
use flamingofall_emulator::check::{Checker, Violation};
use flamingofall_emulator::client::{Client, ClientOptions};
use flamingofall_emulator::packet::Packet;
use flamingofall_emulator::report::Report;
use futures::StreamExt;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde_json::Value;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;
use tokio_util::time::DelayQueue;

use crate::fabric::{Caller, Fabric};
use crate::host::{AgentHost, BalancerHost};
use crate::network::{HostGroup, LoopbackNetwork, Role, PACKET_PORT, SERVER_PORT, STORE_PORT};
use crate::plan::{Fault, Plan};
use crate::process::{Launch, Process};
use crate::proxy::Proxy;
use crate::store::{Backup, Store};

/// Time before the first request in which the processes start and discover each other.
const STARTUP_TIME: Duration = Duration::from_secs(4);
/// Time after the end of the last fault in which the system may recover.
const RECOVERY_TIME: Duration = Duration::from_secs(12);
/// Time after the recovery in which requests count for `SERVED_SHARE_MIN`.
const MEASUREMENT_TIME: Duration = Duration::from_secs(4);
/// Least share of the requests after the recovery that must be served.
const SERVED_SHARE_MIN: f64 = 0.25;
/// Time after its agent has acknowledged a server's drain from which the server may get no new
/// flows. A replaced server's host also pauses for this time after the agent's grace period.
const DRAIN_PROPAGATION_LIMIT: Duration = Duration::from_secs(3);
/// Time for which a draining server keeps running.
const DRAIN_TIME: Duration = Duration::from_secs(4);
/// Time without faults after which new flows are checked against the last configuration.
const UNDISTURBED_TIME: Duration = Duration::from_secs(4);
/// Time within which a configuration must apply to new flows, counted from its acknowledgement by
/// the store.
const CONFIGURATION_PROPAGATION_LIMIT: Duration = Duration::from_secs(3);
/// Interval at which processes and servers are checked for due starts and stops.
const TICK_INTERVAL: Duration = Duration::from_millis(10);
/// Interval at which the store's objects are copied, and the number of copies kept.
const BACKUP_INTERVAL: Duration = Duration::from_secs(1);
const BACKUPS_MAX: usize = 10;
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a client gives up a request.
const REQUEST_DEADLINE: Duration = Duration::from_secs(2);
/// The same of a resting client: long enough for the packets of a request to be astray for longer
/// than is allowed.
const RESTING_REQUEST_DEADLINE: Duration = Duration::from_secs(8);
/// Upper bound of the random pause between a client's requests in milliseconds, exclusive.
const REQUEST_PAUSE_MAX_MS: u64 = 400;
/// Range of the pause of a resting client.
const REST_MS: std::ops::Range<u64> = 1000..4000;
/// Names of the services. At the start, every third agent has a server of the second one.
const SERVICES: [&str; 2] = ["portal", "statements"];
/// Addresses of the first and the second service, and one whose service changes with each
/// configuration.
const ADDRESSES: [&str; 3] = ["198.18.0.1:443", "198.18.0.2:443", "198.18.0.3:443"];
/// Index of the address whose service changes.
const REROUTED_ADDRESS: usize = 2;
const DATAGRAM_MAX_BYTES: usize = 2048;

/// A received datagram or the result of an HTTP request, with the index of the host in its group.
enum Event {
    ToClient(usize, Vec<u8>),
    ToServer(usize, Vec<u8>),
    ReadinessChecked(usize, bool),
    HeartbeatAcknowledged {
        host: usize,
        started: u64,
        draining: bool,
    },
}

/// A scheduled action. Servers are identified by their host and the start of their process, so that
/// a timer of a former server on a host has no effect.
enum Timer {
    SendRequest(usize),
    ClientTimeout(usize),
    RequestProcessed(usize, u64, Packet),
    SendHeartbeat(usize, u64),
    CheckReadiness,
    BackUpStore,
    /// The operator writes the latest configuration again.
    RewriteConfiguration,
    InjectFault(usize),
    ClearFault(Fault, Vec<usize>),
    RestartProcess(HostGroup, usize),
}

/// A configuration that the store has acknowledged, and the index of the service that it gives to
/// the rerouted address.
struct AcknowledgedConfiguration {
    acknowledged_at: Duration,
    rerouted_service: usize,
}

/// Paths and addresses of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the platform's program.
    pub program: PathBuf,
    /// Directory of the processes' settings and log files; created if it doesn't exist.
    pub directory: PathBuf,
    /// Second octet of the loopback addresses of all hosts.
    pub second_octet: u8,
}

struct Harness {
    options: Options,
    plan: Plan,
    network: LoopbackNetwork,
    started_at: Instant,
    random: SmallRng,
    store: Store,
    balancers: Vec<BalancerHost>,
    agents: Vec<AgentHost>,
    callers: Vec<Caller>,
    fabric: Fabric,
    timers: DelayQueue<Timer>,
    events: mpsc::UnboundedSender<Event>,
    checker: Checker,
    report: Report,
    configurations: Vec<AcknowledgedConfiguration>,
    /// Content of the last one of `configurations`.
    latest_configuration: Value,
    /// Recent copies of the store's objects with their times, oldest first. There is at least one.
    backups: VecDeque<(Duration, Backup)>,
    /// Latest end of the faults injected so far, with the stops and drains that they cause.
    disturbed_until: Duration,
    next_request_id: u64,
}

/// Runs a plan and returns its report. Seconds in the report count from the end of the startup time
/// (`STARTUP_TIME`).
pub async fn run(plan: Plan, options: Options) -> Result<Report> {
    let (events, mut event_receiver) = mpsc::unbounded_channel();
    let mut harness = Harness::start(plan, options, events).await?;
    let last = harness
        .plan
        .faults
        .iter()
        .map(|scheduled| scheduled.at + scheduled.duration);
    let faults_end = last
        .max()
        .unwrap_or_default()
        .max(harness.plan.fault_window);
    let end = STARTUP_TIME + faults_end + RECOVERY_TIME + MEASUREMENT_TIME;
    let mut tick = tokio::time::interval(TICK_INTERVAL);
    tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while harness.now() < end {
        tokio::select! {
            Some(event) = event_receiver.recv() => harness.handle_event(event),
            Some(timer) = harness.timers.next() => harness.handle_timer(timer.into_inner())?,
            _ = tick.tick() => harness.tick()?,
        }
    }
    harness.check_recovery(faults_end + RECOVERY_TIME);
    harness.report.calls = harness.store.calls();
    Ok(harness.report)
}

impl Harness {
    async fn start(
        plan: Plan,
        options: Options,
        events: mpsc::UnboundedSender<Event>,
    ) -> Result<Self> {
        std::fs::create_dir_all(&options.directory)?;
        let network = LoopbackNetwork(options.second_octet);
        let store = Store::start(network.socket_addr(HostGroup::Store, 0, STORE_PORT)).await?;
        let mut harness = Self {
            network,
            started_at: Instant::now(),
            random: SmallRng::seed_from_u64(plan.seed),
            store,
            balancers: Vec::new(),
            agents: Vec::new(),
            callers: Vec::new(),
            fabric: Fabric::default(),
            timers: DelayQueue::new(),
            events,
            checker: Checker::new(DRAIN_PROPAGATION_LIMIT),
            report: Report::new(),
            configurations: Vec::new(),
            latest_configuration: Value::Null,
            backups: VecDeque::new(),
            disturbed_until: Duration::ZERO,
            next_request_id: 0,
            plan,
            options,
        };
        harness.write_configuration();
        let copy = (harness.now(), harness.store.backup());
        harness.backups.push_back(copy);
        harness.schedule(BACKUP_INTERVAL, Timer::BackUpStore);
        for index in 0..harness.plan.size.balancers {
            harness.add_balancer(index).await?;
        }
        for index in 0..harness.plan.size.agents {
            harness.add_agent(index).await?;
        }
        for index in 0..harness.plan.size.clients {
            harness.add_client(index).await?;
        }
        for (index, scheduled) in harness.plan.faults.iter().enumerate() {
            harness
                .timers
                .insert(Timer::InjectFault(index), STARTUP_TIME + scheduled.at);
        }
        harness.schedule(Duration::ZERO, Timer::CheckReadiness);
        Ok(harness)
    }

    async fn add_balancer(&mut self, index: usize) -> Result<()> {
        let launch = self.prepare_launch(Role::Balancer, index)?;
        let proxy_address = self
            .network
            .socket_addr(HostGroup::BalancerProxy, index, STORE_PORT);
        self.balancers.push(BalancerHost {
            process: Process::new(launch, Instant::now()),
            proxy: Proxy::start(
                proxy_address,
                self.network.socket_addr(HostGroup::Store, 0, STORE_PORT),
            )
            .await?,
            readiness_failures: crate::fabric::READINESS_FAILURE_THRESHOLD,
        });
        Ok(())
    }

    async fn add_agent(&mut self, index: usize) -> Result<()> {
        let service = SERVICES[usize::from(index % 3 == 2)].to_owned();
        let launch = self.prepare_launch(Role::Agent(&service), index)?;
        let proxy_address = self
            .network
            .socket_addr(HostGroup::AgentProxy, index, STORE_PORT);
        let socket = UdpSocket::bind(self.network.socket_addr(
            HostGroup::Agent,
            index,
            SERVER_PORT,
        ))
        .await?;
        let socket = Arc::new(socket);
        let events = self.events.clone();
        spawn_receiver(socket.clone(), move |bytes| {
            events.send(Event::ToServer(index, bytes)).is_ok()
        });
        self.agents.push(AgentHost {
            process: Process::new(launch, Instant::now()),
            proxy: Proxy::start(
                proxy_address,
                self.network.socket_addr(HostGroup::Store, 0, STORE_PORT),
            )
            .await?,
            service,
            next_name: None,
            server: None,
            socket,
            drain_acknowledged_at: None,
            replacement: None,
            restart_at: None,
        });
        self.start_server(index);
        Ok(())
    }

    async fn add_client(&mut self, index: usize) -> Result<()> {
        let socket = UdpSocket::bind(self.network.socket_addr(
            HostGroup::Client,
            index,
            PACKET_PORT,
        ))
        .await?;
        let socket = Arc::new(socket);
        let events = self.events.clone();
        spawn_receiver(socket.clone(), move |bytes| {
            events.send(Event::ToClient(index, bytes)).is_ok()
        });
        let address = index % ADDRESSES.len();
        let options = ClientOptions {
            ports: 0,
            flow_per_request: (address == REROUTED_ADDRESS || self.random.random_bool(0.3))
                && !self.rests(index),
            retries_sent_requests: self.random.random_bool(0.6),
            deadline: match self.rests(index) {
                true => RESTING_REQUEST_DEADLINE,
                false => REQUEST_DEADLINE,
            },
        };
        let ip = self.network.ip(HostGroup::Client, index);
        let client = Client::new(ip, ADDRESSES[address].parse()?, options);
        self.callers.push(Caller { client, socket });
        let pause = self.random_pause();
        self.schedule(STARTUP_TIME + pause, Timer::SendRequest(index));
        Ok(())
    }

    /// Writes a process's settings file and returns how to start the process.
    fn prepare_launch(&self, role: Role<'_>, index: usize) -> Result<Launch> {
        let name = match role {
            Role::Balancer => "balancer",
            Role::Agent(_) => "agent",
        };
        let path = |extension| {
            let file = format!("{name}-{index}.{extension}");
            self.options.directory.join(file)
        };
        let seeds: Vec<usize> = (0..self.plan.size.balancers.min(3)).collect();
        write_file(&path("toml"), &self.network.settings(role, index, &seeds))?;
        Ok(Launch {
            program: self.options.program.clone(),
            role: name,
            settings: path("toml"),
            log: path("log"),
        })
    }

    fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    fn schedule(&mut self, wait: Duration, timer: Timer) {
        self.timers.insert(timer, wait);
    }

    fn random_pause(&mut self) -> Duration {
        Duration::from_millis(self.random.random_range(10..REQUEST_PAUSE_MAX_MS))
    }

    /// Whether the client rests between requests.
    fn rests(&self, client: usize) -> bool {
        client < self.plan.size.resting_clients
    }

    fn record_violation(&mut self, broken: &Violation) {
        let now = self.now();
        self.report.record_violation(now, broken);
    }

    fn tick(&mut self) -> Result<()> {
        let now = Instant::now();
        let mut unexpected_exits = Vec::new();
        for (index, host) in self.balancers.iter_mut().enumerate() {
            if host.process.tick(now)? {
                unexpected_exits.push(format!("balancer {index}"));
            }
        }
        for (index, host) in self.agents.iter_mut().enumerate() {
            if host.process.tick(now)? {
                unexpected_exits.push(format!("agent {index}"));
            }
        }
        for process in unexpected_exits {
            self.record_violation(&Violation::ProcessExited(process));
        }
        for index in 0..self.agents.len() {
            let host = &mut self.agents[index];
            if host.restart_at.is_some_and(|at| at <= now) {
                self.start_server(index);
            } else if host.replacement.as_ref().is_some_and(|(at, _)| *at <= now) {
                self.stop_drained_server(index)?;
            }
        }
        Ok(())
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::ToClient(index, bytes) => self.receive_at_client(index, &bytes),
            Event::ToServer(index, bytes) => self.receive_at_server(index, bytes),
            Event::ReadinessChecked(index, ready) => {
                let host = &mut self.balancers[index];
                host.readiness_failures = if ready {
                    0
                } else {
                    host.readiness_failures + 1
                };
            }
            Event::HeartbeatAcknowledged {
                host,
                started,
                draining,
            } => self.handle_heartbeat_acknowledgement(host, started, draining),
        }
    }

    fn handle_timer(&mut self, timer: Timer) -> Result<()> {
        match timer {
            Timer::SendRequest(index) => self.send_request(index),
            Timer::ClientTimeout(index) => self.handle_client_timeout(index),
            Timer::RequestProcessed(index, started, packet) => {
                self.complete_request(index, started, &packet)
            }
            Timer::SendHeartbeat(index, started) => self.send_heartbeat(index, started),
            Timer::CheckReadiness => self.check_readiness(),
            Timer::BackUpStore => {
                self.backups.push_back((self.now(), self.store.backup()));
                if self.backups.len() > BACKUPS_MAX {
                    self.backups.pop_front();
                }
                self.schedule(BACKUP_INTERVAL, Timer::BackUpStore);
            }
            Timer::RewriteConfiguration => {
                let latest = self.latest_configuration.clone();
                self.store.put("config", "main", latest);
            }
            Timer::InjectFault(index) => {
                let scheduled = self.plan.faults[index];
                log::info!("event=fault {scheduled}");
                self.inject_fault(&scheduled)?;
            }
            Timer::ClearFault(fault, hosts) => self.clear_fault(fault, &hosts),
            Timer::RestartProcess(group, index) => {
                let process = match group {
                    HostGroup::Balancer => &mut self.balancers[index].process,
                    _ => &mut self.agents[index].process,
                };
                process.restart(Instant::now())?;
            }
        }
        Ok(())
    }

    fn check_recovery(&mut self, since: Duration) {
        let seconds = self.report.per_second.iter().skip(since.as_secs() as usize);
        let (served, failed) =
            seconds.fold((0, 0), |(served, failed), (s, f)| (served + s, failed + f));
        let share = served as f64 / (served + failed).max(1) as f64;
        let astray = self.report.astray;
        log::info!("event=recovered served={served} failed={failed} astray={astray}");
        if share < SERVED_SHARE_MIN {
            self.record_violation(&Violation::NotRecovered { served, failed });
        }
    }
}

/// Spawns a task that passes a socket's datagrams to `deliver` until that returns false.
fn spawn_receiver(socket: Arc<UdpSocket>, deliver: impl Fn(Vec<u8>) -> bool + Send + 'static) {
    tokio::spawn(async move {
        let mut buffer = [0; DATAGRAM_MAX_BYTES];
        loop {
            match socket.recv_from(&mut buffer).await {
                Ok((length, _)) => {
                    if !deliver(buffer[..length].to_vec()) {
                        return;
                    }
                }
                // Happens while no socket is bound at the destination of a sent datagram.
                Err(error) => log::debug!("event=receive_failed reason={error:?}"),
            }
        }
    });
}

fn write_file(path: &Path, text: &str) -> Result<()> {
    std::fs::write(path, text).with_context(|| format!("can't write {}", path.display()))
}

/// Returns the first second octet from `start` on, wrapping around within 16 to 239, at whose
/// address no store listens.
pub fn find_free_octet(start: u8) -> Result<u8> {
    let free = (start..=239).chain(16..start).find(|octet| {
        let store = LoopbackNetwork(*octet).socket_addr(HostGroup::Store, 0, STORE_PORT);
        std::net::TcpListener::bind(store).is_ok()
    });
    free.context("every loopback network from 127.16.0.0 to 127.239.0.0 is in use")
}

/// Returns an error if a run broke a guarantee or served no request.
pub fn check_report(report: &Report) -> Result<()> {
    ensure!(report.served > 0, "no request was served");
    ensure!(
        report.violations.is_empty(),
        "{}",
        report.violations.join("\n")
    );
    Ok(())
}

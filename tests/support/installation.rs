//! A complete installation for tests: balancers and agents, run as tasks or as processes, between
//! stand-ins for the fabric, the store and the backend servers.

#![allow(dead_code)] // Each including file uses only some of these items.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use anyhow::{ensure, Context, Result};
use flamingofall::config::{Address, Config, Service as ServiceConfig, Timestamp};
use flamingofall::daemon::Stop;
use flamingofall::id::{Digest, Generation, Organisation, Service as ServiceName};
use flamingofall::packet::Protocol;
use flamingofall::settings::{self, SharedKey};
use flamingofall::store::{self, Operation, Outcome, Value};
use flamingofall::store_http::Client;
use flamingofall::{agentd, balancerd};
use flamingofall_standins::caller::Caller;
use flamingofall_standins::effect;
use flamingofall_standins::fabric::Fabric;
use flamingofall_standins::harness::{self, Harness, Program, SETTINGS};
use flamingofall_standins::server::{Config as ServerConfig, Server};
use flamingofall_standins::store::Store;
use flamingofall_standins::{http, loopback};
use hyper::Method;
use serde_json::json;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Number of the next host. All installations of this process share it, so that their addresses
/// differ.
static NEXT_HOST: AtomicU8 = AtomicU8::new(1);

const DATA_PORT: u16 = 6080;
const CONTROL_PORT: u16 = 7000;
const HTTP_PORT: u16 = 7100;
/// Maximum time for which a draining agent waits for its flows to close.
const DRAIN_TIME: Duration = Duration::from_secs(60);
/// Maximum number of log lines of each daemon in [`Installation::report`].
const REPORTED_LINES: usize = 40;
/// Maximum time for a daemon to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Size and layout of an installation.
#[derive(Clone, Debug)]
pub struct Plan {
    pub organisation: &'static str,
    pub domains: &'static [&'static str],
    pub balancers: usize,
    pub services: Vec<ServicePlan>,
    pub seed: u64,
    /// Whether every server has the addresses of all services, so that an address can move from one
    /// service to another.
    pub shared_addresses: bool,
}

#[derive(Clone, Debug)]
pub struct ServicePlan {
    pub name: &'static str,
    /// Address for callers, over TCP and UDP.
    pub address: SocketAddr,
    pub servers: usize,
    pub slots: u32,
    pub connections: u32,
    pub weight: u32,
}

impl Plan {
    /// The organisation `ahjo` at its current size: 2 services, 10 servers, 3 failure domains.
    pub fn ahjo(seed: u64) -> Self {
        let service = |name, last, servers, weight| ServicePlan {
            name,
            address: SocketAddr::from(([192, 0, 2, last], 443)),
            servers,
            slots: 4,
            connections: 2000,
            weight,
        };
        Self {
            organisation: "ahjo",
            domains: &["helsinki", "espoo", "vantaa"],
            balancers: 3,
            services: vec![
                service("payout-portal", 10, 7, 4),
                service("statement-service", 20, 3, 1),
            ],
            seed,
            shared_addresses: false,
        }
    }

    /// The organisation `transcripciones` at its current size: 2 services, 11 servers, 4 failure
    /// domains.
    pub fn transcripciones(seed: u64) -> Self {
        let service = |name, last, servers, weight| ServicePlan {
            name,
            address: SocketAddr::from(([198, 51, 100, last], 443)),
            servers,
            slots: 5,
            connections: 2000,
            weight,
        };
        Self {
            organisation: "transcripciones",
            domains: &[
                "montevideo-centro",
                "montevideo-este",
                "canelones",
                "colonia",
            ],
            balancers: 3,
            services: vec![
                service("ordering-service", 10, 7, 2),
                service("delivery-service", 20, 4, 1),
            ],
            seed,
            shared_addresses: false,
        }
    }

    /// Returns the configuration of the plan's services, without a cold start.
    pub fn config(&self) -> Config {
        let mut config = Config::default();
        for service in &self.services {
            let name: ServiceName = service.name.parse().expect("a valid name");
            let organisation: Organisation = self.organisation.parse().expect("a valid name");
            let address = |protocol| Address {
                protocol,
                address: service.address,
            };
            let addresses = vec![address(Protocol::Tcp), address(Protocol::Udp)];
            let mut service_config = ServiceConfig::new(name.clone(), organisation, addresses);
            service_config.weight = service.weight;
            service_config.cold_start_ms = 0;
            config.services.insert(name, service_config);
        }
        config
    }
}

/// How the daemons run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// As tasks of this process.
    Tasks,
    /// As separate processes, started from these binaries. Cargo sets their paths only for
    /// integration tests and benchmarks.
    Processes {
        balancer: &'static str,
        agent: &'static str,
    },
}

enum DaemonHandle {
    Task {
        stop: Stop,
        task: JoinHandle<Result<()>>,
    },
    Process(harness::Process),
}

/// A balancer or agent. A daemon that runs as a task is aborted on drop.
pub struct Daemon {
    pub name: String,
    pub data: SocketAddr,
    pub http: SocketAddr,
    handle: DaemonHandle,
}

impl Daemon {
    /// Kills the daemon at once: it can't drain or tell the other members.
    pub fn kill(&self) -> Result<()> {
        match &self.handle {
            DaemonHandle::Task { task, .. } => task.abort(),
            DaemonHandle::Process(process) => {
                process.kill()?;
            }
        }
        Ok(())
    }

    /// Starts a drain, for a process by SIGTERM.
    pub fn drain(&self) -> Result<()> {
        match &self.handle {
            DaemonHandle::Task { stop, .. } => stop.drain.cancel(),
            DaemonHandle::Process(process) => process.terminate()?,
        }
        Ok(())
    }

    /// Returns the end of the daemon's log and, while it runs, its metrics.
    async fn report(&self) -> String {
        let mut report = format!("{}: exited={}", self.name, self.has_exited());
        if let Ok(process) = self.process() {
            let lines = process.lines();
            let skipped = lines.len().saturating_sub(REPORTED_LINES);
            let last = lines.iter().skip(skipped);
            report.extend(last.map(|line| format!("\n  {}", line.text)));
        }
        let url = format!("http://{}/metrics", self.http);
        if let Ok(answer) = http::call(Method::GET, &url, "", Duration::from_secs(1)).await {
            let metrics = String::from_utf8_lossy(&answer.body).into_owned();
            let values = metrics.lines().filter(|line| !line.starts_with('#'));
            report.extend(values.map(|line| format!("\n  {line}")));
        }
        report
    }

    pub fn has_exited(&self) -> bool {
        match &self.handle {
            DaemonHandle::Task { task, .. } => task.is_finished(),
            DaemonHandle::Process(process) => process.exit_status().is_ok_and(|s| s.is_some()),
        }
    }

    /// Returns the process of the daemon, or an error if it runs as a task.
    pub fn process(&self) -> Result<&harness::Process> {
        match &self.handle {
            DaemonHandle::Task { .. } => {
                anyhow::bail!("{} runs as a task, not as a process", self.name)
            }
            DaemonHandle::Process(process) => Ok(process),
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let DaemonHandle::Task { task, .. } = &self.handle {
            task.abort();
        }
    }
}

/// A host with a backend server and its agent.
pub struct Node {
    pub server: Server,
    pub agent: Daemon,
    pub service: &'static str,
}

pub struct Installation {
    pub plan: Plan,
    pub store: Store,
    pub fabric: Fabric,
    pub balancers: Vec<Daemon>,
    pub nodes: Vec<Node>,
    pub effects: effect::Log,
    pub key: SharedKey,
    mode: Mode,
    harness: Harness,
    balancers_started: usize,
    next_caller: u8,
}

impl Installation {
    /// Starts an installation whose daemons run as tasks, applies its configuration and waits until
    /// all daemons are ready.
    pub async fn start(plan: Plan) -> Result<Self> {
        Self::start_in_mode(plan, Mode::Tasks).await
    }

    /// Does the same as [`Self::start`] with daemons that run in `mode`.
    pub async fn start_in_mode(plan: Plan, mode: Mode) -> Result<Self> {
        let fabric = Fabric::start(plan.seed).await?;
        let store = Store::start(plan.seed).await?;
        let mut installation = Self {
            store,
            fabric,
            balancers: Vec::new(),
            nodes: Vec::new(),
            effects: effect::Log::new(),
            key: SharedKey::new([plan.seed as u8; 16]),
            mode,
            harness: Harness::new()?,
            balancers_started: 0,
            next_caller: 1,
            plan,
        };
        installation.apply(&installation.plan.config()).await?;
        for _ in 0..installation.plan.balancers {
            installation.add_balancer().await?;
        }
        for service in installation.plan.services.clone() {
            for number in 1..=service.servers {
                installation.add_node(&service, number).await?;
            }
        }
        installation.wait_until_ready().await?;
        for balancer in &installation.balancers {
            installation.fabric.add_balancer(balancer.data);
        }
        Ok(installation)
    }

    /// Starts a balancer. It gets no packets until it is added to the fabric.
    pub async fn add_balancer(&mut self) -> Result<()> {
        self.balancers_started += 1;
        let ip = allocate_host();
        let domains = self.plan.domains;
        let settings = settings::BalancerSettings {
            member: format!("balancer-{}", self.balancers_started).parse()?,
            domain: domains[self.balancers_started % domains.len()].parse()?,
            data: socket_address(ip, DATA_PORT),
            control: socket_address(ip, CONTROL_PORT),
            http: socket_address(ip, HTTP_PORT),
            store: format!("http://{}", self.store.address()),
            peers: self.control_addresses(),
            key: self.key,
        };
        let (data, http, name) = (settings.data, settings.http, settings.member.to_string());
        let handle = match self.mode {
            Mode::Tasks => {
                let stop = Stop::default();
                let task = tokio::spawn(balancerd::run(settings, 1, stop.clone()));
                DaemonHandle::Task { stop, task }
            }
            Mode::Processes { balancer, .. } => {
                let settings = json!({
                    "member": name,
                    "domain": settings.domain,
                    "data": data,
                    "control": settings.control,
                    "http": http,
                    "store": settings.store,
                    "peers": settings.peers,
                    "key": self.key_hex(),
                });
                self.start_process(&name, balancer, &settings)?
            }
        };
        self.balancers.push(Daemon {
            name,
            data,
            http,
            handle,
        });
        Ok(())
    }

    /// Starts a backend server and its agent.
    pub async fn add_node(&mut self, service: &ServicePlan, number: usize) -> Result<()> {
        let name = format!("{}-{number}", service.name);
        let index = self.nodes.len();
        let node = self
            .start_node(service, &name, index, allocate_host(), 1)
            .await?;
        self.nodes.push(node);
        Ok(())
    }

    /// Replaces a server and its agent by those of another service on the same host. The agent is
    /// killed first; the old server ends after the new server and agent have started.
    pub async fn replace_node(
        &mut self,
        index: usize,
        service: &ServicePlan,
        name: &str,
    ) -> Result<()> {
        let old = &self.nodes[index];
        let ip = old.agent.data.ip();
        old.agent.kill()?;
        self.nodes[index] = self.start_node(service, name, index, ip, 2).await?;
        Ok(())
    }

    async fn start_node(
        &self,
        service: &ServicePlan,
        name: &str,
        index: usize,
        ip: IpAddr,
        incarnation: u64,
    ) -> Result<Node> {
        let fabric = self.fabric.address();
        let mut config = ServerConfig::new(name, service.name, service.address, fabric);
        if self.plan.shared_addresses {
            config.addresses = self.plan.services.iter().map(|s| s.address).collect();
        }
        config.agent = Some(format!("http://{}", socket_address(ip, HTTP_PORT)));
        config.incarnation = incarnation;
        config.slots = service.slots;
        config.connections = service.connections;
        config.effects = self.effects.clone();
        config.seed = self.plan.seed ^ index as u64;
        let server = Server::start(config).await?;
        let settings = self.agent_settings(name, index, ip, server.address())?;
        let agent = self.start_agent(name, settings)?;
        Ok(Node {
            server,
            agent,
            service: service.name,
        })
    }

    /// Starts a new agent in place of one that has exited, and waits until it is ready.
    pub async fn restart_agent(&mut self, index: usize) -> Result<()> {
        let old = &self.nodes[index];
        let (name, ip) = (old.agent.name.clone(), old.agent.data.ip());
        let settings = self.agent_settings(&name, index, ip, old.server.address())?;
        self.nodes[index].agent = self.start_agent(&name, settings)?;
        wait_until_ready(&self.nodes[index].agent).await
    }

    fn agent_settings(
        &self,
        name: &str,
        index: usize,
        ip: IpAddr,
        server: SocketAddr,
    ) -> Result<settings::AgentSettings> {
        let domains = self.plan.domains;
        Ok(settings::AgentSettings {
            member: name.parse()?,
            domain: domains[index % domains.len()].parse()?,
            data: socket_address(ip, DATA_PORT),
            control: socket_address(ip, CONTROL_PORT),
            http: socket_address(ip, HTTP_PORT),
            server,
            fabric: self.fabric.address(),
            balancers: self.control_addresses(),
            key: self.key,
        })
    }

    fn start_agent(&self, name: &str, settings: settings::AgentSettings) -> Result<Daemon> {
        let (data, http) = (settings.data, settings.http);
        let handle = match self.mode {
            Mode::Tasks => {
                let stop = Stop::default();
                let task = tokio::spawn(agentd::run(settings, DRAIN_TIME, stop.clone()));
                DaemonHandle::Task { stop, task }
            }
            Mode::Processes { agent, .. } => {
                let settings = json!({
                    "member": name,
                    "domain": settings.domain,
                    "data": data,
                    "control": settings.control,
                    "http": http,
                    "server": settings.server,
                    "fabric": settings.fabric,
                    "balancers": settings.balancers,
                    "key": self.key_hex(),
                });
                self.start_process(name, agent, &settings)?
            }
        };
        Ok(Daemon {
            name: name.to_owned(),
            data,
            http,
            handle,
        })
    }

    fn start_process(
        &self,
        name: &str,
        binary: &str,
        settings: &serde_json::Value,
    ) -> Result<DaemonHandle> {
        let program = Program::new(name, binary)
            .argument(SETTINGS)
            .settings(settings);
        Ok(DaemonHandle::Process(self.harness.start(&program)?))
    }

    fn control_addresses(&self) -> Vec<SocketAddr> {
        let ips = self.balancers.iter().map(|balancer| balancer.data.ip());
        ips.map(|ip| socket_address(ip, CONTROL_PORT)).collect()
    }

    fn key_hex(&self) -> String {
        let digits = self.key.bytes().iter().map(|byte| format!("{byte:02x}"));
        digits.collect()
    }

    /// Describes the fabric, all servers and all daemons, for the message of a failure.
    pub async fn report(&self) -> String {
        let mut lines = vec![format!("fabric: {:?}", self.fabric.counts())];
        for node in &self.nodes {
            let name = &node.agent.name;
            lines.push(format!("server of {name}: {:?}", node.server.counts()));
            lines.push(node.agent.report().await);
        }
        for balancer in &self.balancers {
            lines.push(balancer.report().await);
        }
        lines.join("\n")
    }

    /// Attaches a new caller to the fabric.
    pub fn caller(&mut self) -> Caller {
        let ip = IpAddr::from([203, 0, 113, self.next_caller]);
        self.next_caller += 1;
        Caller::start(
            self.fabric.attach(ip),
            self.plan.seed ^ u64::from(self.next_caller),
        )
    }

    /// Applies `config` as the next generation, or as the first one if the store has no head.
    pub async fn apply(&self, config: &Config) -> Result<Generation> {
        let mut config = config.clone();
        let head = match self.call(Operation::Get(store::Key::Head)).await {
            Err(store::Error::NotFound) => None,
            Ok(Outcome::Object(store::Object {
                value: Value::Head(head),
                version,
                ..
            })) => Some((head, version)),
            other => anyhow::bail!("unexpected result of reading the head: {other:?}"),
        };
        let previous = head.as_ref().map(|(head, _)| head);
        let generation = Generation(previous.map_or(0, |head| head.generation.0) + 1);
        if let Some(head) = previous {
            let key = store::Key::Config(head.digest);
            let text = match self.call(Operation::Get(key)).await? {
                Outcome::Object(store::Object {
                    value: Value::Config(text),
                    ..
                }) => text,
                other => anyhow::bail!("unexpected result of reading the configuration: {other:?}"),
            };
            let previous = Config::from_canonical_json(text.as_bytes())?;
            config.carry_over(&previous, generation, Timestamp::now());
        }
        let text = String::from_utf8(config.canonical_json())?;
        let digest = Digest::of(text.as_bytes());
        let create = Operation::Create(store::Key::Config(digest), Value::Config(text));
        match self.call(create).await {
            Ok(_) | Err(store::Error::Exists) => {}
            Err(error) => return Err(error.into()),
        }
        let new = Value::Head(store::Head {
            generation,
            digest,
            previous: previous.map(|head| head.digest),
            author: "test".to_owned(),
            apply_id: 0,
            recent: Vec::new(),
        });
        let operation = match head {
            None => Operation::Create(store::Key::Head, new),
            Some((_, version)) => Operation::Update(store::Key::Head, new, version),
        };
        self.call(operation).await?;
        Ok(generation)
    }

    async fn call(&self, operation: Operation) -> Result<Outcome, store::Error> {
        let (answer_sender, mut answers) = mpsc::channel(1);
        let client = Client::new(self.store.address());
        client
            .call(store::Call { id: 0, operation }, &answer_sender)
            .await;
        let answer = answers.recv().await.ok_or(store::Error::Unavailable)?;
        answer.result
    }

    async fn wait_until_ready(&self) -> Result<()> {
        let daemons = self
            .balancers
            .iter()
            .chain(self.nodes.iter().map(|node| &node.agent));
        for daemon in daemons {
            wait_until_ready(daemon).await?;
        }
        // The balancers' tables include the last agent within one heartbeat, which is due as soon as
        // the agent is active, and one tick.
        tokio::time::sleep(Duration::from_millis(500)).await;
        Ok(())
    }
}

/// Returns the address of a new host, which no other host of this process has.
fn allocate_host() -> IpAddr {
    loopback::host(NEXT_HOST.fetch_add(1, Ordering::Relaxed))
}

fn socket_address(ip: IpAddr, port: u16) -> SocketAddr {
    SocketAddr::new(ip, port)
}

/// Waits until the readiness endpoint of a daemon returns 200. Fails if the daemon exits, or after
/// [`READY_TIMEOUT`].
pub async fn wait_until_ready(daemon: &Daemon) -> Result<()> {
    let deadline = tokio::time::Instant::now() + READY_TIMEOUT;
    let url = format!("http://{}/readyz", daemon.http);
    loop {
        if daemon.has_exited() {
            anyhow::bail!("{} exited before it was ready", daemon.name);
        }
        let response = http::call(Method::GET, &url, "", Duration::from_secs(1)).await;
        if response.is_ok_and(|response| response.status == 200) {
            return Ok(());
        }
        ensure!(
            tokio::time::Instant::now() < deadline,
            "{} is not ready after {READY_TIMEOUT:?}",
            daemon.name
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Waits until a condition holds. Fails after 400 checks, 50 ms apart.
pub async fn eventually(what: &str, mut condition: impl FnMut() -> bool) -> Result<()> {
    for _ in 0..400 {
        if condition() {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    None.with_context(|| format!("condition not met within 20 s: {what}"))
}

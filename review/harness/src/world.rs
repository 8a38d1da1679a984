//! A small deployment on loopback addresses: the programs under test, the store, the routers, the
//! clients and the servers, with a record of what was sent, answered and run.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::client::{self, Event, Flow};
use crate::http;
use crate::packet::{self, show, End, Packet, SYN};
use crate::process::Process;
use crate::server::{Effect, Server};
use crate::store::Store;

pub const HEARTBEAT: Duration = Duration::from_millis(770);
const PACKET_PORT: u16 = 8172;
const OUTBOUND_PORT: u16 = 8168;
const APP_PORT: u16 = 8080;
const READINESS_PORT: u16 = 8167;
const CONTROL_PORT: u16 = 8166;
const STORE_PORT: u16 = 8169;
const INTERNAL_PORTS: (u16, u16) = (7720, 7735);
const DEADLINE: Duration = Duration::from_secs(2);
const RETRIES: u32 = 2;

pub struct Host {
    pub process: Process,
    pub server: Option<Server>,
    socket: UdpSocket,
}

pub struct Balancer {
    pub process: Process,
    ready: Arc<AtomicBool>,
    pub packets: SocketAddr,
}

#[derive(Clone)]
pub struct Route {
    pub name: &'static str,
    pub to: End,
    pub kind: &'static str,
    pub service: String,
    /// In the configuration.
    pub present: bool,
}

/// A configuration that the store has acknowledged: for each route its service, if it is there.
pub struct Acknowledged {
    pub at: Instant,
    pub version: u64,
    pub services: Vec<Option<String>>,
}

struct User {
    client: usize,
    route: usize,
    /// Keeps its flow open for many requests.
    long: bool,
    pause: Duration,
    next: Instant,
    port: Option<u16>,
    /// The request under way: when its first attempt was sent, attempts, id of the last one.
    request: Option<(Instant, u32, u64)>,
}

struct Client {
    ip: u32,
    socket: UdpSocket,
    next_port: u16,
    flows: HashMap<u16, (Flow, usize)>,
}

pub struct HeartbeatAnswer {
    pub host: usize,
    pub born: u64,
    pub sequence: u64,
    pub draining: bool,
    pub status: Option<u16>,
}

#[derive(Default, Clone, Copy)]
pub struct Counts {
    pub requests: u64,
    pub served: u64,
    pub failed: u64,
    pub runs: u64,
}

pub struct World {
    octet: u8,
    pub folder: PathBuf,
    record: BufWriter<File>,
    pub start: Instant,
    pub store: Store,
    pub balancers: Vec<Balancer>,
    pub hosts: Vec<Host>,
    pub routes: Vec<Route>,
    /// For each route all services that a configuration has named.
    pub ever: Vec<Vec<String>>,
    pub configurations: Vec<Acknowledged>,
    version: u64,
    clients: Vec<Client>,
    users: Vec<User>,
    next_id: u64,
    heartbeats: (
        mpsc::Sender<HeartbeatAnswer>,
        mpsc::Receiver<HeartbeatAnswer>,
    ),
    /// First acknowledgement of `draining` by host and start of the server.
    pub drain_acknowledged: HashMap<(usize, u64), Instant>,
    pub last_heartbeat_answer: HashMap<usize, Instant>,
    /// When the client sent the first opening packet of a flow.
    openings: HashMap<(End, End), Instant>,
    runs: HashMap<u64, u32>,
    /// Hosts whose server or link is disturbed at the moment or was within 4 s.
    pub disturbed: HashMap<usize, Instant>,
    /// Packets of an open flow that reached other servers since the last one at its own: when the
    /// first and the last one did, how many, and whether the flow has been reported.
    astray: HashMap<(End, End), (Instant, Instant, u32, bool)>,
    /// What broke, by rule.
    pub broken: Vec<(&'static str, String)>,
    pub counts: Counts,
    machines: usize,
    rng: u64,
    pub stop_traffic: bool,
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

impl World {
    pub fn new(case: &Path) -> Result<Self, String> {
        let base = 16 + (std::process::id() % 200) as u8;
        let free = |octet: &u8| {
            let at = format!("127.{octet}.1.1:{STORE_PORT}");
            TcpListener::bind(at).is_ok()
        };
        let octet = (base..=239)
            .chain(16..base)
            .find(free)
            .ok_or("no free network")?;
        let folder = format!("flamingofall-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(folder);
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let record = File::create(case.join("record.txt")).map_err(|e| e.to_string())?;
        Ok(Self {
            octet,
            folder,
            record: BufWriter::new(record),
            start: Instant::now(),
            store: Store::default(),
            balancers: Vec::new(),
            hosts: Vec::new(),
            routes: Vec::new(),
            ever: Vec::new(),
            configurations: Vec::new(),
            version: 3,
            clients: Vec::new(),
            users: Vec::new(),
            next_id: 1,
            heartbeats: mpsc::channel(),
            drain_acknowledged: HashMap::new(),
            last_heartbeat_answer: HashMap::new(),
            openings: HashMap::new(),
            runs: HashMap::new(),
            disturbed: HashMap::new(),
            astray: HashMap::new(),
            broken: Vec::new(),
            counts: Counts::default(),
            machines: 0,
            rng: 0x9e37_79b9_7f4a_7c15,
            stop_traffic: false,
        })
    }

    pub fn random(&mut self) -> u64 {
        self.rng ^= self.rng << 13;
        self.rng ^= self.rng >> 7;
        self.rng ^= self.rng << 17;
        self.rng
    }

    pub fn note(&mut self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.record, "{at:9.4} {text}");
    }

    pub fn break_rule(&mut self, rule: &'static str, text: String) {
        self.note(&format!("BROKEN {rule}: {text}"));
        self.broken.push((rule, text));
    }

    pub fn control(&self, host: usize) -> SocketAddr {
        self.at(20, host, CONTROL_PORT)
    }

    /// Address at which the server of a host gets packets.
    pub fn app(&self, host: usize) -> String {
        self.at(20, host, APP_PORT).to_string()
    }

    fn at(&self, group: u8, index: usize, port: u16) -> SocketAddr {
        SocketAddr::from(([127, self.octet, group, index as u8 + 1], port))
    }

    /// The fields of DEPLOY.md, "Settings of a process".
    fn settings(
        &mut self,
        role: &str,
        name: &str,
        group: u8,
        index: usize,
        service: &str,
    ) -> String {
        let machine = self.machines;
        self.machines += 1;
        let store = self.at(1, machine, STORE_PORT);
        self.store
            .serve(store, machine)
            .expect("the store's address");
        let at = |port| self.at(group, index, port);
        let ip = self.at(group, index, 0).ip();
        let class = if role == "agent" { "side" } else { "edge" };
        let seeds = [self.at(10, 0, CONTROL_PORT), self.at(10, 1, CONTROL_PORT)];
        let beside = match role {
            "agent" => format!("service = \"{service}\"\napp = \"{}\"\n", at(APP_PORT)),
            _ => String::new(),
        };
        format!(
            "node_name = \"{name}\"\nrole = \"{role}\"\nmachine_class = \"{class}\"\n\
             serves = [\"{class}\"]\nip = \"{ip}\"\nzone = \"z\"\nregion = \"r\"\n\
             internal_ports = [{}, {}]\nseeds = [\"{}\", \"{}\"]\nbootstrap = true\n\
             fault_counted = false\ndiscovery = \"local\"\nentry_type = \"announce\"\n\
             heartbeat_ms = {}\n\
             contracts = [\"base\", \"drain\", \"config\", \"cost\", \"recover\", \"flows\", \"platform\"]\n\
             hash_policy = \"mod\"\nforwarding_mode = \"agent\"\n{beside}\
             [zones]\nz = \"r\"\n\
             [bind_addrs]\npacket_addr = \"{}\"\nreadiness = \"{}\"\ncontrol_plane = \"{}\"\n\
             outbound = \"{}\"\n\
             [limits]\ncpu_share = 0.25\ncpu_cores = 1\nmemory_mb = 260\nmax_fds = 4100\n\
             link_mbps = 1000.0\ndisk_mb = 0\n\
             [fault_tolerance]\nmachines = 1\nzones = 0\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\nstability_window_ms = 4000\n\
             ack_timeout_ms = 5000\ncatch_up_s = 4\ndrain_timeout_ms = 3000\ngrace_period_s = 6\n\
             loss_slack_ms = 200\nconfig_apply_ms = 3000\nrollback_slack_ms = 250\n\
             max_stretch_ms = 12000\nrecovery_s = 12\nflow_reorder_ms = 2000\nflow_ttl_s = 60\n\
             [platform]\naddress = \"{store}\"\nforwarding_mode = \"objects\"\n\
             writes_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\n\
             max_value_bytes = 1048576\nmin_ttl_ms = 1000\n",
            INTERNAL_PORTS.0,
            INTERNAL_PORTS.1,
            seeds[0],
            seeds[1],
            HEARTBEAT.as_millis(),
            at(PACKET_PORT),
            at(READINESS_PORT),
            at(CONTROL_PORT),
            at(OUTBOUND_PORT),
        )
    }

    pub fn add_balancer(&mut self) {
        let index = self.balancers.len();
        let name = format!("edge-z-{index}");
        let settings = self.settings("balancer", &name, 10, index, "");
        let mut process = Process::new(&self.folder, "balancer", &name, &settings);
        process.start();
        let ready = Arc::new(AtomicBool::new(false));
        let (at, flag) = (self.at(10, index, READINESS_PORT), ready.clone());
        // The routers ask twice a second; after two misses the machine is out of rotation.
        std::thread::spawn(move || {
            let mut misses = 2;
            loop {
                let status = http::call(at, "GET", "/flamingofall/readiness", "");
                misses = if status.is_ok_and(|s| s == 200) {
                    0
                } else {
                    misses + 1
                };
                flag.store(misses < 2, Ordering::Relaxed);
                std::thread::sleep(Duration::from_millis(500));
            }
        });
        self.balancers.push(Balancer {
            process,
            ready,
            packets: self.at(10, index, PACKET_PORT),
        });
    }

    /// Adds a machine with a server of `service` and the agent beside it.
    pub fn add_host(&mut self, service: &str) {
        let index = self.hosts.len();
        let process = self.agent_process(index, &format!("side-z-{index}"), service);
        let socket = UdpSocket::bind(self.at(20, index, APP_PORT)).expect("the app address");
        socket.set_nonblocking(true).expect("a socket");
        self.hosts.push(Host {
            process,
            server: None,
            socket,
        });
        let id = format!("i-{index}a");
        self.start_server(index, &id, service);
    }

    /// Starts an agent with new settings for the address of host `index`.
    pub fn agent_process(&mut self, index: usize, name: &str, service: &str) -> Process {
        let settings = self.settings("agent", name, 20, index, service);
        let mut process = Process::new(&self.folder, "agent", name, &settings);
        process.start();
        process
    }

    pub fn start_server(&mut self, host: usize, id: &str, service: &str) {
        // Nothing waits in the socket of a server that has just started.
        let mut buffer = [0; 2048];
        while self.hosts[host].socket.recv(&mut buffer).is_ok() {}
        let born = unix_ms();
        self.note(&format!(
            "server {id} of {service} starts on host {host}, born {born}"
        ));
        self.hosts[host].server = Some(Server::new(id, service, born, Instant::now()));
    }

    /// The server says that it leaves, and exits.
    pub fn leave(&mut self, host: usize) {
        let Some(server) = self.hosts[host].server.take() else {
            return;
        };
        let path = format!("/flamingofall/Instances.Deregister/{}", server.id);
        let body = format!("{{\"born\":{}}}", server.born);
        let status = http::call(self.control(host), "POST", &path, &body);
        let lost = server.under_way();
        self.note(&format!(
            "server {} on host {host} says that it leaves -> {status:?}, and exits; \
             requests under way, never answered: {lost:?}",
            server.id
        ));
    }

    pub fn add_route(&mut self, name: &'static str, kind: &'static str, service: &str) {
        let index = self.routes.len();
        let to = (
            packet::ip(&format!("127.{}.200.{}", self.octet, index + 1)),
            443,
        );
        self.routes.push(Route {
            name,
            to,
            kind,
            service: service.to_owned(),
            present: true,
        });
        self.ever.push(Vec::new());
    }

    /// The operator writes the configuration; the store's answer is the acknowledgement.
    pub fn configure(&mut self) {
        self.version += 2;
        let mut routes = Vec::new();
        let mut names: Vec<_> = self.routes.iter().map(|r| r.service.clone()).collect();
        names.sort();
        names.dedup();
        for (index, route) in self.routes.iter().enumerate().filter(|(_, r)| r.present) {
            if !self.ever[index].contains(&route.service) {
                self.ever[index].push(route.service.clone());
            }
            routes.push(format!(
                "{{\"name\":\"{}\",\"hostname\":\"{}\",\"path_prefix\":\"/{}/\",\"type\":\"{}\",\
                 \"service\":\"{}\",\"timeout_ms\":2000,\"target_latency_ms\":200,\"priority\":1,\
                 \"max_attempts\":1}}",
                route.name,
                std::net::Ipv4Addr::from(route.to.0),
                route.to.1,
                route.kind,
                route.service
            ));
        }
        let services = names
            .iter()
            .map(|n| format!("{{\"name\":\"{n}\",\"health_path\":\"/health\"}}"));
        let services = services.collect::<Vec<_>>().join(",");
        let spec = format!(
            "{{\"version\":{},\"routes\":[{}],\"services\":[{services}],\
             \"limits\":{{\"idle_timeout_ms\":15000}}}}",
            self.version,
            routes.join(",")
        );
        self.store.put("config", "main", &spec);
        let service = |route: &Route| route.present.then(|| route.service.clone());
        let services: Vec<_> = self.routes.iter().map(service).collect();
        let version = self.version;
        self.note(&format!(
            "operator: version {version} acknowledged, services {services:?}"
        ));
        let at = Instant::now();
        self.configurations.push(Acknowledged {
            at,
            version,
            services,
        });
    }

    pub fn add_client(&mut self) {
        let index = self.clients.len();
        let socket = UdpSocket::bind(self.at(100, index, PACKET_PORT)).expect("a client's address");
        socket.set_nonblocking(true).expect("a socket");
        self.clients.push(Client {
            ip: packet::ip(&format!("127.{}.100.{}", self.octet, index + 1)),
            socket,
            next_port: 20_000,
            flows: HashMap::new(),
        });
    }

    /// Adds users of a route, who pause this long between requests.
    pub fn add_users(&mut self, count: usize, route: usize, long: bool, pause: Duration) {
        for _ in 0..count {
            let wait = self.random() % pause.as_millis().max(1) as u64;
            let next = Instant::now() + Duration::from_millis(wait);
            let client = self.users.len() % self.clients.len();
            self.users.push(User {
                client,
                route,
                long,
                pause,
                next,
                port: None,
                request: None,
            });
        }
    }

    pub fn ready(&self) -> usize {
        let ready = |b: &&Balancer| b.ready.load(Ordering::Relaxed);
        self.balancers.iter().filter(ready).count()
    }

    /// Hands a packet of a client to the balancer that the routers select.
    fn route_packet(&self, client: usize, key: (End, End), bytes: &[u8]) {
        let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
        for part in [key.0 .0, u32::from(key.0 .1), key.1 .0, u32::from(key.1 .1)] {
            hash = (hash ^ u64::from(part)).wrapping_mul(0x0000_0100_0000_01b3);
        }
        hash ^= hash >> 29;
        let ready: Vec<_> = self
            .balancers
            .iter()
            .filter(|b| b.ready.load(Ordering::Relaxed))
            .collect();
        let all: Vec<_> = self.balancers.iter().collect();
        let used = if ready.len() * 2 < all.len() {
            all
        } else {
            ready
        };
        let to = used[hash as usize % used.len()].packets;
        let _ = self.clients[client].socket.send_to(bytes, to);
    }

    fn start_attempt(&mut self, user: usize, now: Instant) {
        let (client, route) = (self.users[user].client, self.users[user].route);
        let id = self.next_id;
        self.next_id += 1;
        let (since, attempts, _) = self.users[user].request.unwrap_or((now, 0, 0));
        self.users[user].request = Some((since, attempts + 1, id));
        self.counts.requests += 1;
        let name = self.routes[route].name;
        let open = self.users[user].port.filter(|port| {
            let flow = self.clients[client].flows.get(port);
            flow.is_some_and(|(flow, _)| flow.state == client::State::Open)
        });
        if let Some(port) = open {
            let (flow, _) = self.clients[client].flows.get_mut(&port).expect("the flow");
            let key = (flow.me, flow.to);
            let bytes = flow.send(id, now);
            self.note(&format!("sent {id} {name} on open flow {}", show(key.0)));
            self.route_packet(client, key, &bytes);
            return;
        }
        let isn = self.random() as u32;
        let to = self.routes[route].to;
        let host = &mut self.clients[client];
        host.next_port = host.next_port.wrapping_add(1).max(20_000);
        let port = host.next_port;
        let key = ((host.ip, port), to);
        let (flow, syn) = Flow::new(key.0, to, isn, id, now);
        host.flows.insert(port, (flow, user));
        self.users[user].port = Some(port);
        self.openings.insert(key, now);
        let attempt = attempts + 1;
        self.note(&format!(
            "sent {id} {name} attempt {attempt} opens flow {}",
            show(key.0)
        ));
        self.route_packet(client, key, &syn);
    }

    /// The attempt has failed. A client repeats idempotent requests, and others only if the flow
    /// never opened.
    fn fail(&mut self, user: usize, opened: bool, why: &str, now: Instant) {
        let Some((since, attempts, id)) = self.users[user].request else {
            return;
        };
        let route = &self.routes[self.users[user].route];
        let may_repeat = route.kind != "non_idempotent" || !opened;
        self.note(&format!("failed {id}: {why}"));
        if may_repeat && attempts <= RETRIES && now - since < DEADLINE {
            self.start_attempt(user, now);
            return;
        }
        self.counts.failed += 1;
        self.finish_request(user, now);
    }

    fn finish_request(&mut self, user: usize, now: Instant) {
        self.users[user].request = None;
        let pause = self.users[user].pause.as_millis() as u64;
        let wait = pause / 2 + self.random() % pause.max(1);
        self.users[user].next = now + Duration::from_millis(wait);
    }

    fn client_events(&mut self, client: usize, port: u16, events: Vec<Event>, now: Instant) {
        let Some((flow, user)) = self.clients[client].flows.get(&port) else {
            return;
        };
        let (key, user) = ((flow.me, flow.to), *user);
        let current = self.users[user].port == Some(port);
        for event in events {
            match event {
                Event::Send(bytes) => self.route_packet(client, key, &bytes),
                Event::Opened => {}
                Event::Answer { id, service } => {
                    self.note(&format!("answered {id} by {service}"));
                    let ours = self.users[user]
                        .request
                        .is_some_and(|(.., last)| last == id);
                    if !ours || !current {
                        continue;
                    }
                    self.counts.served += 1;
                    self.finish_request(user, now);
                    if !self.users[user].long {
                        let entry = self.clients[client].flows.get_mut(&port);
                        let fin = entry.map(|(flow, _)| flow.finish());
                        self.users[user].port = None;
                        self.route_packet(client, key, &fin.unwrap_or_default());
                    }
                }
                Event::Reset { system, was, seq } => {
                    let open = was == client::State::Open;
                    let who = if system { "the system" } else { "a server" };
                    let text = format!(
                        "reset of {} by {who}, state {was:?}, seq {seq}",
                        show(key.0)
                    );
                    self.note(&text);
                    if system && open {
                        self.check_reset(key);
                    }
                    if current {
                        self.users[user].port = None;
                        self.fail(user, open, "reset", now);
                    }
                }
                Event::Closed => {
                    if current {
                        self.users[user].port = None;
                        self.fail(user, true, "closed", now);
                    }
                }
                Event::GaveUp => {
                    if current {
                        self.users[user].port = None;
                        self.fail(user, false, "no SYN+ACK", now);
                    }
                }
            }
        }
    }

    /// FLOW (a): a reset of the system's own on a flow whose server lives, with no disruption on
    /// it or its links in the last 4 s.
    fn check_reset(&mut self, key: (End, End)) {
        let holds = |h: &Host| h.server.as_ref().is_some_and(|s| s.holds(&key));
        let Some(host) = self.hosts.iter().position(holds) else {
            return;
        };
        let calm = Duration::from_secs(4);
        if self
            .disturbed
            .get(&host)
            .is_some_and(|at| at.elapsed() < calm)
        {
            return;
        }
        let id = self.hosts[host]
            .server
            .as_ref()
            .map_or("", |s| &s.id)
            .to_owned();
        let text = format!(
            "the system reset flow {}, which is open at the living server {id} on host {host}",
            show(key.0)
        );
        self.break_rule("FLOW", text);
    }

    /// FLOW (b): for 2,000 ms three or more of the flow's packets reach other servers and none its
    /// own. A client's packet may reach several servers, and its next copy comes 200 ms later:
    /// arrivals within 150 ms count as one.
    fn check_way(&mut self, key: (End, End), host: usize, now: Instant) {
        let holds = |h: &Host| h.server.as_ref().is_some_and(|s| s.holds(&key));
        let Some(own) = self.hosts.iter().position(holds) else {
            self.astray.remove(&key);
            return;
        };
        if own == host {
            self.astray.remove(&key);
            return;
        }
        let entry = self.astray.entry(key).or_insert((now, now, 1, false));
        if now - entry.1 >= Duration::from_millis(150) {
            entry.1 = now;
            entry.2 += 1;
        }
        let (first, _, packets, reported) = *entry;
        if packets >= 3 && now - first >= Duration::from_millis(2000) && !reported {
            entry.3 = true;
            let text = format!(
                "for {} ms {packets} packets of flow {}, open at host {own}, reached other servers \
                 and none its own",
                (now - first).as_millis(),
                show(key.0)
            );
            self.break_rule("FLOW", text);
        }
    }

    fn server_effects(&mut self, host: usize, effects: Vec<Effect>) {
        let outbound = self.at(20, host, OUTBOUND_PORT);
        let Some(server) = &self.hosts[host].server else {
            return;
        };
        let (id, service) = (server.id.clone(), server.service.clone());
        for effect in effects {
            match effect {
                Effect::Send(bytes) => {
                    let _ = self.hosts[host].socket.send_to(&bytes, outbound);
                }
                Effect::Accepted(key) => {
                    self.note(&format!("accepted {} at {id} of {service}", show(key.0)));
                }
                Effect::Opened(key) => {
                    self.note(&format!("opened {} at {id} of {service}", show(key.0)));
                    self.check_route(key, host, &id, &service, "opened a flow");
                }
                Effect::Runs(key, request) => {
                    self.counts.runs += 1;
                    self.note(&format!("run {request} at {id} of {service}"));
                    let runs = self.runs.entry(request).or_default();
                    *runs += 1;
                    if *runs > 1 {
                        let text = format!("request {request} runs again at {id}");
                        self.break_rule("ONCE", text);
                    }
                    let what = format!("ran request {request}");
                    self.check_route(key, host, &id, &service, &what);
                }
            }
        }
    }

    /// ROUTE and CONFIG for a flow that a server has taken.
    fn check_route(&mut self, key: (End, End), host: usize, id: &str, service: &str, what: &str) {
        let Some(route) = self.routes.iter().position(|route| route.to == key.1) else {
            return;
        };
        let name = self.routes[route].name;
        if !self.ever[route].iter().any(|s| s == service) {
            let text = format!("server {id} of {service} on host {host} {what} of route {name}");
            self.break_rule("ROUTE", text);
            return;
        }
        let Some(opened) = self.openings.get(&key).copied() else {
            return;
        };
        // The newest version that was acknowledged 3 s before the client opened the flow, and those
        // after it, are allowed.
        let apply = Duration::from_secs(3);
        let due = |c: &Acknowledged| c.at + apply < opened;
        let first = self.configurations.iter().rposition(due);
        let allowed = &self.configurations[first.unwrap_or(0)..];
        if !allowed
            .iter()
            .any(|c| c.services[route].as_deref() == Some(service))
        {
            let version = allowed.first().map_or(0, |c| c.version);
            let since = allowed
                .first()
                .map_or(0.0, |c| (opened - c.at).as_secs_f64());
            let text = format!(
                "server {id} of {service} {what} of route {name}, which version {version} \
                 doesn't allow, {since:.3} s after its acknowledgement"
            );
            self.break_rule("CONFIG", text);
        }
    }

    fn server_packet(&mut self, host: usize, bytes: &[u8], now: Instant) {
        let Some((packet, genuine)) = Packet::decode(bytes) else {
            self.break_rule(
                "UNASKED",
                format!("host {host} got bytes that are no packet"),
            );
            return;
        };
        if !genuine || packet.flags & packet::BOUNCED != 0 {
            self.break_rule("UNASKED", format!("host {host} got a changed packet"));
        }
        if packet.flags & SYN == 0 {
            self.check_way((packet.src, packet.dst), host, now);
        }
        let Some(server) = &mut self.hosts[host].server else {
            return;
        };
        let (draining, born, id) = (server.draining, server.born, server.id.clone());
        let effects = server.receive(bytes, &packet, now);
        if packet.flags & SYN != 0 && draining {
            let acknowledged = self.drain_acknowledged.get(&(host, born));
            let late = acknowledged.map_or(Duration::ZERO, |at| now - *at);
            if late > Duration::from_millis(3000) {
                let flow = show(packet.src);
                let text =
                    format!("flow {flow} reaches {id} {late:?} after its drain was acknowledged");
                self.break_rule("DRAIN", text);
            }
        }
        self.server_effects(host, effects);
    }

    fn heartbeats(&mut self, now: Instant) {
        for host in 0..self.hosts.len() {
            let (to, app) = (self.at(20, host, CONTROL_PORT), self.at(20, host, APP_PORT));
            let Some(server) = &mut self.hosts[host].server else {
                continue;
            };
            if server.next_heartbeat > now {
                continue;
            }
            server.next_heartbeat = now + HEARTBEAT;
            let (path, body) = server.heartbeat(&app.to_string());
            let (born, sequence, draining) = (server.born, server.sequence, server.draining);
            let sender = self.heartbeats.0.clone();
            std::thread::spawn(move || {
                let status = http::call(to, "POST", &path, &body).ok();
                let _ = sender.send(HeartbeatAnswer {
                    host,
                    born,
                    sequence,
                    draining,
                    status,
                });
            });
        }
        while let Ok(answer) = self.heartbeats.1.try_recv() {
            let HeartbeatAnswer {
                host,
                sequence,
                draining,
                status,
                born,
            } = answer;
            if !status.is_some_and(|s| (200..300).contains(&s)) {
                self.note(&format!("heartbeat {sequence} of host {host}: {status:?}"));
                continue;
            }
            self.last_heartbeat_answer.insert(host, now);
            if draining && !self.drain_acknowledged.contains_key(&(host, born)) {
                self.note(&format!("drain of host {host} acknowledged"));
                self.drain_acknowledged.insert((host, born), now);
            }
        }
    }

    fn step(&mut self) {
        let now = Instant::now();
        let mut buffer = [0; 2048];
        for host in 0..self.hosts.len() {
            while let Ok(length) = self.hosts[host].socket.recv(&mut buffer) {
                let bytes = buffer[..length].to_vec();
                self.server_packet(host, &bytes, Instant::now());
            }
            if let Some(server) = &mut self.hosts[host].server {
                let effects = server.tick(now);
                self.server_effects(host, effects);
            }
        }
        for client in 0..self.clients.len() {
            while let Ok(length) = self.clients[client].socket.recv(&mut buffer) {
                let Some((packet, genuine)) = Packet::decode(&buffer[..length]) else {
                    self.break_rule("MIXED", "a client got bytes that are no packet".into());
                    continue;
                };
                if !genuine && packet.flags != packet::RST {
                    self.break_rule("MIXED", "a client got a changed packet".into());
                    continue;
                }
                let port = packet.dst.1;
                let entry = self.clients[client].flows.get_mut(&port);
                let Some((flow, _)) = entry.filter(|(flow, _)| flow.to == packet.src) else {
                    continue;
                };
                let events = flow.receive(&packet, genuine, now);
                self.client_events(client, port, events, now);
            }
            let ports: Vec<u16> = self.clients[client].flows.keys().copied().collect();
            for port in ports {
                let entry = self.clients[client].flows.get_mut(&port);
                let events = entry.map(|(flow, _)| flow.tick(now)).unwrap_or_default();
                self.client_events(client, port, events, now);
            }
            let users = &self.users;
            self.clients[client].flows.retain(|port, (flow, user)| {
                flow.state != client::State::Ended || users[*user].port == Some(*port)
            });
        }
        for user in 0..self.users.len() {
            match self.users[user].request {
                Some((since, _, id)) if now - since >= DEADLINE => {
                    self.note(&format!("deadline of {id}"));
                    self.counts.failed += 1;
                    self.users[user].port = None;
                    self.finish_request(user, now);
                }
                None if self.users[user].next <= now && !self.stop_traffic => {
                    self.start_attempt(user, now);
                }
                _ => {}
            }
        }
        self.heartbeats(now);
        for note in self.store.take_notes() {
            self.note(&note);
        }
    }

    pub fn run_for(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.step();
            std::thread::sleep(Duration::from_micros(500));
        }
    }

    /// Runs until `done`, or for this time. Returns whether it is done.
    pub fn run_until(&mut self, limit: Duration, done: impl Fn(&World) -> bool) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if done(self) {
                return true;
            }
            self.step();
            std::thread::sleep(Duration::from_micros(500));
        }
        done(self)
    }

    pub fn listens(&self, host: usize) -> bool {
        std::net::TcpStream::connect_timeout(&self.control(host), Duration::from_millis(50)).is_ok()
    }

    /// Ends all processes and writes the rest of the record.
    pub fn finish(mut self) -> (Counts, Vec<(&'static str, String)>) {
        let logs = self.folder.clone();
        for balancer in &mut self.balancers {
            balancer.process.kill();
        }
        for host in &mut self.hosts {
            host.process.kill();
        }
        let counts = self.counts;
        self.note(&format!(
            "end: {} attempts sent, {} requests answered, {} failed, {} runs, {} breaks",
            counts.requests,
            counts.served,
            counts.failed,
            counts.runs,
            self.broken.len()
        ));
        let _ = self.record.flush();
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(logs);
        }
        (counts, self.broken)
    }
}

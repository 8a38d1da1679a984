//! The packet side of a backend server.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smoltcp::iface::SocketHandle;
use smoltcp::socket::tcp;
use tokio::net::UdpSocket;

use super::requests::{Limits, Outcome, Requests};
use super::session::{message, Key, Session};
use super::{Config, Counts, Shared};
use crate::effect::Effect;
use crate::occupancy::Writer;
use crate::protocol::{self, Pattern, Request, Status};
use crate::segment::{self, Content};
use crate::stack::Host;
use crate::udp;

/// Packets handled before timers are looked at again.
const BATCH_PACKETS: usize = 64;
const DATAGRAM_MAX_BYTES: usize = 65_535;
/// Datagrams that the UDP socket queues in each direction: all of a batch and their answers.
const DATAGRAMS: usize = 256;
/// Where a request came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// A connection; a later one between the same addresses has another serial number.
    Tcp {
        key: Key,
        serial: u64,
    },
    Udp {
        key: Key,
    },
}

struct Endpoint {
    host: Host,
    sockets: Vec<(SocketAddr, SocketHandle)>,
}

pub(super) struct Worker {
    config: Config,
    socket: UdpSocket,
    shared: Arc<Mutex<Shared>>,
    random: SmallRng,
    started: Instant,
    endpoints: HashMap<IpAddr, Endpoint>,
    sessions: HashMap<Key, Session>,
    timers: BinaryHeap<Reverse<(Instant, Key)>>,
    requests: Requests<Origin>,
    serial: u64,
    counts: Counts,
    out: Vec<Vec<u8>>,
    outcomes: Vec<Outcome<Origin>>,
    occupancy: Writer,
}

impl Worker {
    pub(super) fn new(config: Config, socket: UdpSocket, shared: Arc<Mutex<Shared>>) -> Self {
        let now = Instant::now();
        let mut endpoints: HashMap<IpAddr, Endpoint> = HashMap::new();
        for address in &config.addresses {
            let endpoint = endpoints.entry(address.ip()).or_insert_with(|| Endpoint {
                host: Host::new(address.ip(), config.seed, now),
                sockets: Vec::new(),
            });
            let handle = endpoint.host.bind(*address, DATAGRAMS);
            endpoint.sockets.push((*address, handle));
        }
        let limits = Limits {
            slots: config.slots as usize,
            queue: config.queue as usize,
        };
        let occupancy = config
            .occupancy
            .register(&config.name, &config.service, config.slots);
        Self {
            random: SmallRng::seed_from_u64(config.seed),
            started: now,
            endpoints,
            sessions: HashMap::new(),
            timers: BinaryHeap::new(),
            requests: Requests::new(limits),
            serial: 0,
            counts: Counts::default(),
            out: Vec::new(),
            outcomes: Vec::new(),
            occupancy,
            config,
            socket,
            shared,
        }
    }

    pub(super) async fn run(mut self) {
        let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
        let mut housekeeping = tokio::time::interval(Duration::from_millis(100));
        loop {
            let timer = self.timers.peek().map(|Reverse((at, _))| *at);
            let due = [timer, self.requests.due()].into_iter().flatten().min();
            tokio::select! {
                _ = self.socket.readable() => self.read(&mut buffer),
                _ = wait(due) => {}
                _ = housekeeping.tick() => {}
            }
            self.run_timers();
            if std::mem::take(&mut self.shared.lock().unwrap().closing) {
                self.close_sessions();
            }
            self.count_resets();
            // The counts contain an answer before the answer can arrive.
            self.publish();
            self.send();
        }
    }

    fn read(&mut self, buffer: &mut [u8]) {
        let now = Instant::now();
        let mut sessions = HashSet::new();
        let mut endpoints = HashSet::new();
        for _ in 0..BATCH_PACKETS {
            let Ok((length, _)) = self.socket.try_recv_from(buffer) else {
                break;
            };
            self.counts.packets += 1;
            let packet = buffer[..length].to_vec();
            match self.accept(packet, now) {
                Some(Accepted::Session(key)) => {
                    sessions.insert(key);
                }
                Some(Accepted::Endpoint(ip)) => {
                    endpoints.insert(ip);
                }
                None => {}
            }
        }
        for key in sessions {
            self.step(key, now);
        }
        for ip in endpoints {
            self.step_endpoint(ip, now);
        }
    }

    /// Gives a packet to the session or endpoint that it belongs to.
    fn accept(&mut self, packet: Vec<u8>, now: Instant) -> Option<Accepted> {
        let Some(summary) = segment::summary(&packet) else {
            self.counts.malformed += 1;
            return None;
        };
        let has_address = match summary.content {
            Content::Unreachable { from, .. } => self.config.addresses.contains(&from),
            Content::Other => self.endpoints.contains_key(&summary.destination.ip()),
            _ => self.config.addresses.contains(&summary.destination),
        };
        if !has_address {
            self.counts.misdelivered += 1;
            log::warn!(
                "event=misdelivered server={} source={} destination={}",
                self.config.name,
                summary.source,
                summary.destination
            );
            return None;
        }
        let key = Key {
            remote: summary.source,
            local: summary.destination,
        };
        let opens = matches!(
            summary.content,
            Content::Tcp {
                syn: true,
                ack: false,
                rst: false,
            }
        );
        if matches!(summary.content, Content::Tcp { .. }) && self.route(key, opens, now) {
            let session = self.sessions.get_mut(&key)?;
            session.connection.receive(packet);
            return Some(Accepted::Session(key));
        }
        let ip = summary.destination.ip();
        self.endpoints.get_mut(&ip)?.host.receive(packet);
        Some(Accepted::Endpoint(ip))
    }

    /// Whether a segment goes to a session; opens one for a SYN.
    fn route(&mut self, key: Key, opens: bool, now: Instant) -> bool {
        if !opens {
            return self.sessions.contains_key(&key);
        }
        // A reset in the same batch may end the session that the SYN would reach.
        self.step(key, now);
        if let Some(session) = self.sessions.get_mut(&key) {
            match session.connection.socket().state() {
                tcp::State::TimeWait => self.sessions.remove(&key),
                tcp::State::Listen | tcp::State::SynReceived => return true,
                _ => {
                    self.out.extend(session.challenge(key));
                    return true;
                }
            };
        }
        if self.sessions.len() >= self.config.connections as usize {
            self.counts.over_limit += 1;
            return false;
        }
        self.serial += 1;
        let seed = self.random.random();
        let session = Session::new(key, self.serial, seed, now);
        self.sessions.insert(key, session);
        self.count_flow(now);
        true
    }

    fn count_flow(&mut self, now: Instant) {
        self.counts.flows += 1;
        if self.counts.drain_began.is_some() {
            self.counts.flows_draining += 1;
            self.counts.last_flow_draining = Some(now);
        }
    }

    fn close_sessions(&mut self) {
        let now = Instant::now();
        let keys: Vec<Key> = self.sessions.keys().copied().collect();
        for key in keys {
            if let Some(session) = self.sessions.get_mut(&key) {
                session.connection.socket().close();
            }
            self.step(key, now);
        }
    }

    /// Handles what a session received, and sends what it has to send.
    fn step(&mut self, key: Key, now: Instant) {
        let Some(mut session) = self.sessions.remove(&key) else {
            return;
        };
        let sent = self.out.len();
        session.connection.poll(now, &mut self.out);
        let origin = Origin::Tcp {
            key,
            serial: session.serial,
        };
        let (requests, malformed) = session.read();
        for request in requests {
            self.arrive(request, origin, Some(&mut session), now);
        }
        session.advance_watches(&self.config, now);
        session.write();
        if malformed {
            session.connection.socket().abort();
        }
        session.connection.poll(now, &mut self.out);
        let last = self.out[sent..].last();
        session.numbers = last
            .and_then(|packet| segment::next_sequence_and_ack(packet))
            .or(session.numbers);
        if !session.is_over(now) {
            self.schedule(key, &mut session, now);
            self.sessions.insert(key, session);
        }
        self.answer(now);
    }

    fn schedule(&mut self, key: Key, session: &mut Session, now: Instant) {
        let due = session.next_due(now);
        let earlier = match (due, session.due) {
            (Some(due), Some(known)) => due < known,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if earlier {
            session.due = due;
            self.timers
                .push(Reverse((due.expect("just compared"), key)));
        }
    }

    fn run_timers(&mut self) {
        let now = Instant::now();
        while let Some(Reverse((at, _))) = self.timers.peek() {
            if *at > now {
                break;
            }
            let Reverse((at, key)) = self.timers.pop().expect("just peeked");
            if let Some(session) = self.sessions.get_mut(&key) {
                if session.due != Some(at) {
                    continue;
                }
                session.due = None;
                self.step(key, now);
            }
        }
        let slowness = self.slowness(now);
        self.requests.run_due(slowness, now, &mut self.outcomes);
        self.answer(now);
    }

    /// How many times longer a request takes now.
    fn slowness(&self, now: Instant) -> f64 {
        let factor = self.shared.lock().unwrap().slowness;
        let age = now.duration_since(self.started);
        if age >= self.config.cold_start {
            return factor;
        }
        let cold = 1.0 - age.as_secs_f64() / self.config.cold_start.as_secs_f64();
        factor * (1.0 + (self.config.cold_slowness - 1.0) * cold)
    }

    fn arrive(
        &mut self,
        request: Request,
        origin: Origin,
        session: Option<&mut Session>,
        now: Instant,
    ) {
        if let Some(session) = session {
            if session.watch(&request, &self.config, now) {
                return;
            }
            session.unanswered += 1;
        }
        let slowness = self.slowness(now);
        self.requests
            .arrive(request, origin, slowness, now, &mut self.outcomes);
    }

    /// Records the effects and sends the answers of requests that have ended.
    fn answer(&mut self, now: Instant) {
        for id in self.requests.take_effects() {
            self.config.effects.push(Effect {
                request: id,
                server: self.config.name.clone(),
                service: self.config.service.clone(),
                at: now,
            });
        }
        while let Some(outcome) = self.outcomes.pop() {
            match outcome.status {
                Status::Done => self.counts.done += 1,
                Status::Shed => self.counts.shed += 1,
                _ => {}
            }
            match outcome.origin {
                Origin::Tcp { key, serial } => self.answer_session(key, serial, &outcome, now),
                Origin::Udp { key } => self.answer_datagram(key, &outcome, now),
            }
        }
    }

    fn answer_session(&mut self, key: Key, serial: u64, outcome: &Outcome<Origin>, now: Instant) {
        let Some(session) = self.sessions.get_mut(&key) else {
            return;
        };
        if session.serial != serial {
            return;
        }
        session.unanswered = session.unanswered.saturating_sub(1);
        let answer = message(&self.config, &outcome.id, outcome.status, outcome.bytes);
        session.push(&answer);
        self.step(key, now);
    }

    fn answer_datagram(&mut self, key: Key, outcome: &Outcome<Origin>, now: Instant) {
        let bytes = outcome.bytes.min(protocol::DATAGRAM_BODY_MAX_BYTES);
        let answer = message(&self.config, &outcome.id, outcome.status, bytes);
        let mut datagram = protocol::line(&answer);
        let start = datagram.len();
        datagram.resize(start + bytes as usize, 0);
        Pattern::new(&outcome.id).fill(0, &mut datagram[start..]);
        let Some(endpoint) = self.endpoints.get_mut(&key.local.ip()) else {
            return;
        };
        let socket = endpoint
            .sockets
            .iter()
            .find(|(address, _)| *address == key.local);
        if let Some((_, handle)) = socket {
            endpoint.host.send(*handle, key.remote, &datagram);
            endpoint.host.poll(now, &mut self.out);
        }
    }

    fn step_endpoint(&mut self, ip: IpAddr, now: Instant) {
        let Some(endpoint) = self.endpoints.get_mut(&ip) else {
            return;
        };
        endpoint.host.poll(now, &mut self.out);
        let mut received = Vec::new();
        for (local, handle) in &endpoint.sockets {
            while let Some((remote, bytes)) = endpoint.host.take(*handle) {
                let key = Key {
                    remote,
                    local: *local,
                };
                received.push((key, bytes));
            }
        }
        for (key, bytes) in received {
            if let Ok((request, _)) = protocol::parse_datagram::<Request>(&bytes) {
                self.count_flow(now);
                self.arrive(request, Origin::Udp { key }, None, now);
            }
        }
        self.answer(now);
    }

    fn send(&mut self) {
        for packet in self.out.drain(..) {
            // A packet that does not fit into the socket's buffer is lost, as on a network.
            let _ = udp::send(&self.socket, &packet, self.config.fabric);
        }
    }

    fn count_resets(&mut self) {
        let is_reset = |packet: &&Vec<u8>| {
            segment::summary(packet)
                .is_some_and(|summary| matches!(summary.content, Content::Tcp { rst: true, .. }))
        };
        self.counts.resets += self.out.iter().filter(is_reset).count() as u64;
    }

    /// Makes the state visible to the handle.
    fn publish(&mut self) {
        let now = Instant::now();
        let mut shared = self.shared.lock().unwrap();
        let occupied = self.requests.running() as u32;
        self.occupancy.set(occupied, now);
        shared.load.slots_used = occupied;
        shared.load.connections = self.sessions.len() as u32;
        shared.load.ready = now.duration_since(self.started) >= self.config.ready_after;
        shared.unfinished = self.requests.unfinished();
        self.counts.drain_began = shared.counts.drain_began;
        shared.counts = self.counts;
    }
}

enum Accepted {
    Session(Key),
    Endpoint(IpAddr),
}

async fn wait(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due.into()).await,
        None => std::future::pending().await,
    }
}

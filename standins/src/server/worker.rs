//! Packet processing of a backend server: dispatches packets to TCP connections and UDP sockets,
//! runs timers and sends the resulting packets.

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
use super::session::{new_answer, FlowKey, Session};
use super::{Config, Counts, SharedState};
use crate::effect::Effect;
use crate::occupancy::Writer;
use crate::protocol::{self, Pattern, Request, Status};
use crate::segment::{self, Content};
use crate::stack::Host;
use crate::udp;

/// Maximum number of packets handled before the timers run again.
const BATCH_PACKETS: usize = 64;
/// Size of the receive buffer: the largest length that a UDP header can express.
const DATAGRAM_MAX_BYTES: usize = 65_535;
/// Capacity of a service's UDP socket in each direction, in datagrams: enough for a whole batch of
/// packets and for their answers.
const UDP_QUEUE_DATAGRAMS: usize = 256;
/// Longest time between two updates of the shared state. Also bounds the delay of requests that are
/// made through it, such as closing all connections.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(100);

/// Flow on which a request arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// A TCP connection; a later one between the same addresses has another serial number.
    Tcp {
        key: FlowKey,
        serial: u64,
    },
    Udp {
        key: FlowKey,
    },
}

/// UDP sockets of one IP address, and the stack that answers packets without a connection or
/// socket.
struct AddressStack {
    host: Host,
    sockets: Vec<(SocketAddr, SocketHandle)>,
}

/// Task that processes all packets and requests of a server.
pub(super) struct Worker {
    config: Config,
    socket: UdpSocket,
    shared: Arc<Mutex<SharedState>>,
    random: SmallRng,
    started: Instant,
    stacks: HashMap<IpAddr, AddressStack>,
    sessions: HashMap<FlowKey, Session>,
    /// Timers of sessions, earliest first. An entry is valid only if it equals the session's
    /// `scheduled_at`.
    timers: BinaryHeap<Reverse<(Instant, FlowKey)>>,
    requests: Requests<Origin>,
    /// Serial number of the last session opened.
    serial: u64,
    counts: Counts,
    /// Packets to send at the end of the current iteration of `run`.
    outgoing: Vec<Vec<u8>>,
    /// Results of requests that have not been answered yet.
    outcomes: Vec<Outcome<Origin>>,
    occupancy: Writer,
}

impl Worker {
    pub(super) fn new(config: Config, socket: UdpSocket, shared: Arc<Mutex<SharedState>>) -> Self {
        let now = Instant::now();
        let mut stacks: HashMap<IpAddr, AddressStack> = HashMap::new();
        for address in &config.addresses {
            let stack = stacks.entry(address.ip()).or_insert_with(|| AddressStack {
                host: Host::new(address.ip(), config.seed, now),
                sockets: Vec::new(),
            });
            let handle = stack.host.bind(*address, UDP_QUEUE_DATAGRAMS);
            stack.sockets.push((*address, handle));
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
            stacks,
            sessions: HashMap::new(),
            timers: BinaryHeap::new(),
            requests: Requests::new(limits),
            serial: 0,
            counts: Counts::default(),
            outgoing: Vec::new(),
            outcomes: Vec::new(),
            occupancy,
            config,
            socket,
            shared,
        }
    }

    /// Processes packets and timers until aborted.
    pub(super) async fn run(mut self) {
        let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
        let mut housekeeping = tokio::time::interval(HOUSEKEEPING_INTERVAL);
        loop {
            let timer = self.timers.peek().map(|Reverse((at, _))| *at);
            let due = [timer, self.requests.next_timer_at()]
                .into_iter()
                .flatten()
                .min();
            tokio::select! {
                _ = self.socket.readable() => self.receive(&mut buffer),
                _ = sleep_until(due) => {}
                _ = housekeeping.tick() => {}
            }
            self.run_timers();
            if std::mem::take(&mut self.shared.lock().unwrap().close_requested) {
                self.close_sessions();
            }
            self.count_resets();
            // Updated before sending, so that the counts include an answer before its caller can
            // receive it.
            self.update_shared();
            self.send_outgoing();
        }
    }

    /// Receives up to a batch of packets, then polls each session and stack that got some.
    fn receive(&mut self, buffer: &mut [u8]) {
        let now = Instant::now();
        let mut sessions = HashSet::new();
        let mut stacks = HashSet::new();
        for _ in 0..BATCH_PACKETS {
            let Ok((length, _)) = self.socket.try_recv_from(buffer) else {
                break;
            };
            self.counts.packets += 1;
            let packet = buffer[..length].to_vec();
            match self.dispatch(packet, now) {
                Some(PacketTarget::Session(key)) => {
                    sessions.insert(key);
                }
                Some(PacketTarget::Stack(ip)) => {
                    stacks.insert(ip);
                }
                None => {}
            }
        }
        for key in sessions {
            self.poll_session(key, now);
        }
        for ip in stacks {
            self.poll_stack(ip, now);
        }
    }

    /// Queues a packet at its session or stack, which has to be polled next. Drops malformed and
    /// misdelivered packets.
    fn dispatch(&mut self, packet: Vec<u8>, now: Instant) -> Option<PacketTarget> {
        let Some(summary) = segment::summary(&packet) else {
            self.counts.malformed += 1;
            return None;
        };
        // An ICMP error belongs to the server if the packet that it quotes came from the service. A
        // packet of another protocol has no port, so only its IP address is compared.
        let is_local = match summary.content {
            Content::Unreachable { from, .. } => self.config.addresses.contains(&from),
            Content::Other => self.stacks.contains_key(&summary.destination.ip()),
            _ => self.config.addresses.contains(&summary.destination),
        };
        if !is_local {
            self.counts.misdelivered += 1;
            log::warn!(
                "event=misdelivered server={} source={} destination={}",
                self.config.name,
                summary.source,
                summary.destination
            );
            return None;
        }
        let key = FlowKey {
            remote: summary.source,
            local: summary.destination,
        };
        let is_initial_syn = matches!(
            summary.content,
            Content::Tcp {
                syn: true,
                ack: false,
                rst: false,
            }
        );
        if matches!(summary.content, Content::Tcp { .. })
            && self.find_or_open_session(key, is_initial_syn, now)
        {
            let session = self.sessions.get_mut(&key)?;
            session.connection.receive(packet);
            return Some(PacketTarget::Session(key));
        }
        let ip = summary.destination.ip();
        self.stacks.get_mut(&ip)?.host.receive(packet);
        Some(PacketTarget::Stack(ip))
    }

    /// Whether a session takes the segment. The stack of the address resets a segment that none
    /// takes.
    ///
    /// A SYN opens a session within the connection limit, also in place of one in TIME-WAIT. On a
    /// synchronised connection it is answered with a challenge ACK.
    fn find_or_open_session(&mut self, key: FlowKey, is_initial_syn: bool, now: Instant) -> bool {
        if !is_initial_syn {
            return self.sessions.contains_key(&key);
        }
        // A reset earlier in the batch may end the session between these addresses. It has to be
        // handled first, or the SYN would reach the old session.
        self.poll_session(key, now);
        if let Some(session) = self.sessions.get_mut(&key) {
            match session.connection.socket().state() {
                tcp::State::TimeWait => self.sessions.remove(&key),
                tcp::State::Listen | tcp::State::SynReceived => return true,
                _ => {
                    self.outgoing.extend(session.challenge_ack(key));
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
        let keys: Vec<FlowKey> = self.sessions.keys().copied().collect();
        for key in keys {
            if let Some(session) = self.sessions.get_mut(&key) {
                session.connection.socket().close();
            }
            self.poll_session(key, now);
        }
    }

    /// Processes a session's received packets, requests and watches, and queues its packets to
    /// send. Removes the session if it is finished.
    fn poll_session(&mut self, key: FlowKey, now: Instant) {
        let Some(mut session) = self.sessions.remove(&key) else {
            return;
        };
        let first_new = self.outgoing.len();
        session.connection.poll(now, &mut self.outgoing);
        let origin = Origin::Tcp {
            key,
            serial: session.serial,
        };
        let (requests, malformed) = session.read_requests();
        for request in requests {
            self.handle_request(request, origin, Some(&mut session), now);
        }
        session.advance_watches(&self.config, now);
        session.write_answers();
        if malformed {
            session.connection.socket().abort();
        }
        session.connection.poll(now, &mut self.outgoing);
        let last = self.outgoing[first_new..].last();
        session.last_sent_numbers = last
            .and_then(|packet| segment::next_sequence_and_ack(packet))
            .or(session.last_sent_numbers);
        if !session.is_finished(now) {
            self.schedule(key, &mut session, now);
            self.sessions.insert(key, session);
        }
        self.answer_completed(now);
    }

    /// Adds a timer for the session unless an earlier or equal one is pending.
    fn schedule(&mut self, key: FlowKey, session: &mut Session, now: Instant) {
        let due = session.next_timer_at(now);
        let earlier = match (due, session.scheduled_at) {
            (Some(due), Some(known)) => due < known,
            (Some(_), None) => true,
            (None, _) => false,
        };
        if earlier {
            session.scheduled_at = due;
            self.timers
                .push(Reverse((due.expect("an earlier timer exists"), key)));
        }
    }

    fn run_timers(&mut self) {
        let now = Instant::now();
        while let Some(Reverse((at, _))) = self.timers.peek() {
            if *at > now {
                break;
            }
            let Reverse((at, key)) = self.timers.pop().expect("peek found a timer");
            if let Some(session) = self.sessions.get_mut(&key) {
                if session.scheduled_at != Some(at) {
                    continue;
                }
                session.scheduled_at = None;
                self.poll_session(key, now);
            }
        }
        let slowness = self.slowness(now);
        self.requests.run_timers(slowness, now, &mut self.outcomes);
        self.answer_completed(now);
    }

    /// Current factor on the run time of requests: the one set by the test times the one of the
    /// cold start.
    fn slowness(&self, now: Instant) -> f64 {
        let factor = self.shared.lock().unwrap().slowness;
        let age = now.duration_since(self.started);
        if age >= self.config.cold_start {
            return factor;
        }
        let cold_fraction = 1.0 - age.as_secs_f64() / self.config.cold_start.as_secs_f64();
        factor * (1.0 + (self.config.cold_slowness - 1.0) * cold_fraction)
    }

    /// Passes a request to its session if it concerns a watch, or else to the request table.
    /// `session` is `None` for UDP, where watches run as ordinary requests.
    fn handle_request(
        &mut self,
        request: Request,
        origin: Origin,
        session: Option<&mut Session>,
        now: Instant,
    ) {
        if let Some(session) = session {
            if session.handle_watch(&request, &self.config, now) {
                return;
            }
            session.pending_requests += 1;
        }
        let slowness = self.slowness(now);
        self.requests
            .submit(request, origin, slowness, now, &mut self.outcomes);
    }

    /// Records the effects of requests that have ended and queues their answers.
    fn answer_completed(&mut self, now: Instant) {
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

    /// Queues an answer on the connection of its request; drops it if the connection has ended.
    fn answer_session(
        &mut self,
        key: FlowKey,
        serial: u64,
        outcome: &Outcome<Origin>,
        now: Instant,
    ) {
        let Some(session) = self.sessions.get_mut(&key) else {
            return;
        };
        if session.serial != serial {
            return;
        }
        session.pending_requests = session.pending_requests.saturating_sub(1);
        let answer = new_answer(&self.config, &outcome.id, outcome.status, outcome.bytes);
        session.queue_answer(&answer);
        self.poll_session(key, now);
    }

    /// Queues an answer over UDP, limited to `DATAGRAM_BODY_MAX_BYTES` bytes of the pattern.
    fn answer_datagram(&mut self, key: FlowKey, outcome: &Outcome<Origin>, now: Instant) {
        let bytes = outcome.bytes.min(protocol::DATAGRAM_BODY_MAX_BYTES);
        let answer = new_answer(&self.config, &outcome.id, outcome.status, bytes);
        let mut datagram = protocol::line(&answer);
        let start = datagram.len();
        datagram.resize(start + bytes as usize, 0);
        Pattern::new(&outcome.id).fill(0, &mut datagram[start..]);
        let Some(stack) = self.stacks.get_mut(&key.local.ip()) else {
            return;
        };
        let socket = stack
            .sockets
            .iter()
            .find(|(address, _)| *address == key.local);
        if let Some((_, handle)) = socket {
            stack.host.send(*handle, key.remote, &datagram);
            stack.host.poll(now, &mut self.outgoing);
        }
    }

    /// Processes the packets that the stack of an IP address received, and the requests in them.
    fn poll_stack(&mut self, ip: IpAddr, now: Instant) {
        let Some(stack) = self.stacks.get_mut(&ip) else {
            return;
        };
        stack.host.poll(now, &mut self.outgoing);
        let mut received = Vec::new();
        for (local, handle) in &stack.sockets {
            while let Some((remote, bytes)) = stack.host.take(*handle) {
                let key = FlowKey {
                    remote,
                    local: *local,
                };
                received.push((key, bytes));
            }
        }
        for (key, bytes) in received {
            if let Ok((request, _)) = protocol::parse_datagram::<Request>(&bytes) {
                self.count_flow(now);
                self.handle_request(request, Origin::Udp { key }, None, now);
            }
        }
        self.answer_completed(now);
    }

    fn send_outgoing(&mut self) {
        for packet in self.outgoing.drain(..) {
            // A packet that does not fit into the socket's send buffer is lost, as it could be on a
            // network.
            let _ = udp::send(&self.socket, &packet, self.config.fabric);
        }
    }

    /// Counts the resets among the packets to send.
    fn count_resets(&mut self) {
        let is_reset = |packet: &&Vec<u8>| {
            segment::summary(packet)
                .is_some_and(|summary| matches!(summary.content, Content::Tcp { rst: true, .. }))
        };
        self.counts.resets += self.outgoing.iter().filter(is_reset).count() as u64;
    }

    /// Copies the current load and counts to the shared state, and `drain_began` from it.
    fn update_shared(&mut self) {
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

/// Where [`Worker::dispatch`] queued a packet.
enum PacketTarget {
    Session(FlowKey),
    Stack(IpAddr),
}

/// Sleeps until `due`, or forever if there is no timer.
async fn sleep_until(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due.into()).await,
        None => std::future::pending().await,
    }
}

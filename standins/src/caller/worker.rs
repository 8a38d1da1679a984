//! The packet side of a caller.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smoltcp::socket::tcp;
use tokio::sync::{mpsc, oneshot};

use super::flow::{FlowState, Key, Transport};
use super::responses::{ResponseSender, StepCounts};
use super::{Command, Failure, FlowId, Options, Outcome, Protocol, Record, Records};
use crate::fabric::Port;
use crate::protocol::{self, Request};
use crate::segment::{self, Content};
use crate::stack::{self, Connection, Host};

/// Packets handled before timers are looked at again.
const BATCH_PACKETS: usize = 64;
/// Datagrams that the socket of a UDP request queues.
const DATAGRAMS: usize = 4;
const FIRST_PORT: u16 = 1024;

pub(super) struct Worker {
    port: Port,
    commands: mpsc::UnboundedReceiver<Command>,
    records: Records,
    random: SmallRng,
    /// Answers packets that belong to no flow.
    stray: Host,
    flows: HashMap<Key, FlowState>,
    keys: HashMap<FlowId, Key>,
    timers: BinaryHeap<Reverse<(Instant, Key)>>,
    next_port: u16,
    next_id: FlowId,
    out: Vec<Vec<u8>>,
}

impl Worker {
    pub(super) fn new(
        port: Port,
        commands: mpsc::UnboundedReceiver<Command>,
        records: Records,
        seed: u64,
    ) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let next_port = random.random_range(FIRST_PORT..=u16::MAX);
        Self {
            stray: Host::new(port.ip(), seed, Instant::now()),
            port,
            commands,
            records,
            random,
            flows: HashMap::new(),
            keys: HashMap::new(),
            timers: BinaryHeap::new(),
            next_port,
            next_id: 0,
            out: Vec::new(),
        }
    }

    pub(super) async fn run(mut self) {
        loop {
            let due = self.timers.peek().map(|Reverse((at, _))| *at);
            tokio::select! {
                packet = self.port.receive() => match packet {
                    Some(packet) => self.read(packet),
                    None => return,
                },
                command = self.commands.recv() => match command {
                    Some(command) => self.command(command),
                    None => return,
                },
                _ = wait(due) => {}
            }
            self.run_timers();
            for packet in self.out.drain(..) {
                self.port.send(packet);
            }
        }
    }

    fn read(&mut self, first: Vec<u8>) {
        let now = Instant::now();
        let mut touched = HashSet::new();
        let mut next = Some(first);
        for _ in 0..BATCH_PACKETS {
            let Some(packet) = next else {
                break;
            };
            touched.extend(self.accept(packet, now));
            next = self.port.try_receive();
        }
        if let Some(packet) = next {
            touched.extend(self.accept(packet, now));
        }
        for key in touched {
            self.step(key, now);
        }
    }

    /// Gives a packet to its flow. A RST or an ICMP error is handled at once.
    fn accept(&mut self, packet: Vec<u8>, now: Instant) -> Option<Key> {
        let summary = segment::summary(&packet)?;
        let key = |protocol, local: SocketAddr, remote| Key {
            protocol,
            local_port: local.port(),
            remote,
        };
        match summary.content {
            Content::Tcp { rst, .. } => {
                let key = key(Protocol::Tcp, summary.destination, summary.source);
                if !self.flows.contains_key(&key) {
                    self.answer_stray(packet, now);
                    return None;
                }
                if rst {
                    self.reset(key, packet, now);
                    return None;
                }
                self.receive(key, packet);
                Some(key)
            }
            Content::Udp => {
                let key = key(Protocol::Udp, summary.destination, summary.source);
                if !self.flows.contains_key(&key) {
                    self.answer_stray(packet, now);
                    return None;
                }
                self.receive(key, packet);
                Some(key)
            }
            Content::Unreachable { tcp, from, to } => {
                let protocol = if tcp { Protocol::Tcp } else { Protocol::Udp };
                self.unreachable(key(protocol, from, to));
                None
            }
            Content::Other => None,
        }
    }

    fn answer_stray(&mut self, packet: Vec<u8>, now: Instant) {
        self.stray.receive(packet);
        self.stray.poll(now, &mut self.out);
    }

    fn receive(&mut self, key: Key, packet: Vec<u8>) {
        match self.flows.get_mut(&key).map(|flow| &mut flow.transport) {
            Some(Transport::Tcp { connection, .. }) => connection.receive(packet),
            Some(Transport::Udp { host, .. }) => host.receive(packet),
            None => {}
        }
    }

    /// Handles a RST: whether it is acceptable is for the TCP state machine to decide.
    fn reset(&mut self, key: Key, packet: Vec<u8>, now: Instant) {
        // Data that arrived before the RST counts.
        self.step(key, now);
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let Transport::Tcp { connection, .. } = &mut flow.transport else {
            return;
        };
        let before = connection.socket().state();
        connection.receive(packet);
        connection.poll(now, &mut self.out);
        if connection.socket().state() != tcp::State::Closed {
            return;
        }
        match before {
            tcp::State::SynSent | tcp::State::SynReceived => {
                self.end(key, Outcome::Refused, Failure::Refused);
            }
            // The caller has closed and nothing is missing.
            _ if flow.closing && !flow.responses.has_pending() => {
                self.end(key, Outcome::Closed, Failure::Closed);
            }
            _ => self.end(key, Outcome::Reset, Failure::Reset),
        }
    }

    /// Handles ICMP unreachable. TCP treats it as final only while the flow is opening (RFC 1122,
    /// 4.2.3.9: a soft error later on).
    fn unreachable(&mut self, key: Key) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let opening = match &mut flow.transport {
            Transport::Tcp { connection, .. } => connection.socket().state() == tcp::State::SynSent,
            Transport::Udp { .. } => true,
        };
        if opening {
            self.end(key, Outcome::Refused, Failure::Refused);
        }
    }

    fn command(&mut self, command: Command) {
        let now = Instant::now();
        match command {
            Command::Connect {
                remote,
                options,
                reply,
            } => self.connect(remote, options, reply, now),
            Command::Exchange {
                remote,
                options,
                request,
                reply,
            } => self.exchange(remote, options, request, reply, now),
            Command::Send {
                flow,
                request,
                timeout,
                reply,
            } => self.request(flow, request, timeout, reply, now),
            Command::Cancel { flow, id } => self.with(flow, now, |flow| {
                flow.unsent.extend(protocol::frame(&cancellation(id)));
            }),
            Command::CancelExchange {
                remote,
                local_port,
                id,
            } => {
                let key = Key {
                    protocol: Protocol::Udp,
                    local_port,
                    remote,
                };
                if let Some(flow) = self.flows.get_mut(&key) {
                    flow.send_datagram(remote, &protocol::line(&cancellation(id)));
                }
                self.step(key, now);
            }
            Command::Close { flow } => self.with(flow, now, |flow| flow.closing = true),
            Command::Abort { flow } => {
                self.with(flow, now, |flow| {
                    if let Transport::Tcp { connection, .. } = &mut flow.transport {
                        connection.socket().abort();
                    }
                    flow.closing = true;
                });
                self.remove(flow);
            }
            Command::Forget { flow } => self.remove(flow),
        }
    }

    /// Removes a flow without a packet.
    fn remove(&mut self, id: FlowId) {
        if let Some(key) = self.keys.get(&id) {
            self.end(*key, Outcome::Closed, Failure::Closed);
        }
    }

    fn with(&mut self, id: FlowId, now: Instant, change: impl FnOnce(&mut FlowState)) {
        let Some(key) = self.keys.get(&id).copied() else {
            return;
        };
        if let Some(flow) = self.flows.get_mut(&key) {
            change(flow);
        }
        self.step(key, now);
    }

    fn connect(
        &mut self,
        remote: SocketAddr,
        options: Options,
        reply: oneshot::Sender<Result<(FlowId, SocketAddr), Failure>>,
        now: Instant,
    ) {
        let Some(key) = self.free_key(Protocol::Tcp, remote, options.local_port) else {
            let _ = reply.send(Err(Failure::PortInUse));
            return;
        };
        let local = SocketAddr::new(self.port.ip(), key.local_port);
        let seed = self.random.random();
        let connection = Connection::connect(local, remote, stack::CALLER_BUFFERS, seed, now);
        let transport = Transport::Tcp {
            connection: Box::new(connection),
            reply: Some(reply),
        };
        self.open(key, transport, options, now);
        self.step(key, now);
    }

    fn exchange(
        &mut self,
        remote: SocketAddr,
        options: Options,
        request: Request,
        reply: ResponseSender,
        now: Instant,
    ) {
        let Some(key) = self.free_key(Protocol::Udp, remote, options.local_port) else {
            let _ = reply.send(Err(Failure::PortInUse));
            return;
        };
        let local = SocketAddr::new(self.port.ip(), key.local_port);
        let mut host = Host::new(local.ip(), self.random.random(), now);
        let socket = host.bind(local, DATAGRAMS);
        let transport = Transport::Udp {
            host: Box::new(host),
            socket,
            datagram: protocol::line(&request),
        };
        let deadline = now + options.timeout;
        let id = self.open(key, transport, options, now);
        let size = request.size.min(protocol::DATAGRAM_BODY_MAX_BYTES);
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.expect_response(&request, size, deadline, reply);
            flow.retransmit_at = Some(now);
        }
        self.update(id, |record| record.requests += 1);
        self.step(key, now);
    }

    fn request(
        &mut self,
        id: FlowId,
        request: Request,
        timeout: Duration,
        reply: ResponseSender,
        now: Instant,
    ) {
        if !self.keys.contains_key(&id) {
            let _ = reply.send(Err(Failure::Closed));
            return;
        }
        self.update(id, |record| record.requests += 1);
        self.with(id, now, |flow| {
            flow.unsent.extend(protocol::frame(&request));
            flow.expect_response(&request, request.size, now + timeout, reply);
        });
    }

    fn open(&mut self, key: Key, transport: Transport, options: Options, now: Instant) -> FlowId {
        self.next_id += 1;
        let id = self.next_id;
        let local = SocketAddr::new(self.port.ip(), key.local_port);
        let record = Record::new(key.protocol, local, key.remote, now);
        self.records.lock().unwrap().insert(id, record);
        self.keys.insert(id, key);
        let flow = FlowState::new(id, transport, options, now);
        self.flows.insert(key, flow);
        id
    }

    fn free_key(
        &mut self,
        protocol: Protocol,
        remote: SocketAddr,
        port: Option<u16>,
    ) -> Option<Key> {
        let key = |local_port| Key {
            protocol,
            local_port,
            remote,
        };
        if let Some(port) = port {
            let key = key(port);
            // A connection that has ended on this side gives up its port at once.
            let ended = self.flows.get(&key).map(|flow| flow.closing);
            match ended {
                None => return Some(key),
                Some(true) => self.end(key, Outcome::Closed, Failure::Closed),
                Some(false) => return None,
            }
            return Some(key);
        }
        for _ in FIRST_PORT..=u16::MAX {
            let key = key(self.next_port);
            self.next_port = self.next_port.checked_add(1).unwrap_or(FIRST_PORT);
            if !self.flows.contains_key(&key) {
                return Some(key);
            }
        }
        None
    }

    /// Handles what a flow received, and sends what it has to send.
    fn step(&mut self, key: Key, now: Instant) {
        let Some(mut flow) = self.flows.remove(&key) else {
            return;
        };
        let mut counts = StepCounts::default();
        let end = match &mut flow.transport {
            Transport::Tcp { .. } => flow.poll_tcp(now, &mut counts, &mut self.out),
            Transport::Udp { .. } => flow.poll_udp(key, now, &mut counts, &mut self.out),
        };
        let end = end.or_else(|| flow.expire_requests(now, &mut counts));
        let established = flow.is_connect_reply_due();
        self.settle(flow.id, &counts, established, now);
        if established {
            flow.reply_to_connect(Ok(SocketAddr::new(self.port.ip(), key.local_port)));
        }
        match end {
            None => flow.responses.deliver_results(),
            Some((outcome, failure)) => return self.finish(flow, outcome, failure),
        }
        flow.schedule_timer(key, now, &mut self.timers);
        self.flows.insert(key, flow);
    }

    /// Enters what a step amounted to into the flow's record.
    fn settle(&mut self, id: FlowId, counts: &StepCounts, established: bool, now: Instant) {
        self.update(id, |record| {
            if established || counts.answers > 0 {
                record.established.get_or_insert(now);
            }
            if established {
                record.outcome = Outcome::Open;
            }
            record.answers += counts.answers;
            record.corrupt += counts.corrupt;
            record.foreign += counts.foreign;
            record.misdelivered += counts.misdelivered;
            record.bytes += counts.bytes;
            record.unanswered += counts.expired;
            record.unanswered -= counts.late;
            let overdue = record.unanswered > 0;
            match record.outcome {
                Outcome::Open if overdue => record.outcome = Outcome::TimedOut,
                Outcome::TimedOut if !overdue => record.outcome = Outcome::Open,
                _ => {}
            }
        });
    }

    fn end(&mut self, key: Key, outcome: Outcome, failure: Failure) {
        if let Some(flow) = self.flows.remove(&key) {
            self.finish(flow, outcome, failure);
        }
    }

    /// Enters the end of a flow into its record and tells all who wait.
    fn finish(&mut self, mut flow: FlowState, outcome: Outcome, failure: Failure) {
        self.keys.remove(&flow.id);
        let waiting = flow.responses.fail_all(failure);
        self.update(flow.id, |record| {
            record.unanswered += waiting;
            // Requests that got no answer keep the flow's outcome even if it is closed later.
            if !(outcome == Outcome::Closed && record.unanswered > 0 && waiting == 0) {
                record.outcome = outcome;
            }
        });
        flow.reply_to_connect(Err(failure));
        flow.responses.deliver_results();
    }

    fn update(&self, id: FlowId, change: impl FnOnce(&mut Record)) {
        if let Some(record) = self.records.lock().unwrap().get_mut(&id) {
            change(record);
        }
    }

    fn run_timers(&mut self) {
        let now = Instant::now();
        while let Some(Reverse((at, _))) = self.timers.peek() {
            if *at > now {
                return;
            }
            let Reverse((at, key)) = self.timers.pop().expect("just peeked");
            if let Some(flow) = self.flows.get_mut(&key) {
                if flow.next_timer == Some(at) {
                    flow.next_timer = None;
                    self.step(key, now);
                }
            }
        }
    }
}

fn cancellation(id: String) -> Request {
    Request {
        id,
        cancel: true,
        ..Request::default()
    }
}

async fn wait(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due.into()).await,
        None => std::future::pending().await,
    }
}

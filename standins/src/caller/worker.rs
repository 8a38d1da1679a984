//! The task of a caller: dispatches packets, commands and timers to the flows.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smoltcp::socket::tcp;
use tokio::sync::{mpsc, oneshot};

use super::flow::{FlowState, Key, Transport};
use super::responses::{PollCounts, ResponseSender};
use super::{Command, Failure, FlowId, Options, Outcome, Protocol, Record, Records};
use crate::fabric::Port;
use crate::protocol::{self, Request};
use crate::segment::{self, Content};
use crate::stack::{self, Connection, Host};

/// Packets dispatched in a batch before the flows are polled and timers run. One more packet is
/// dispatched if it has been received by then.
const BATCH_PACKETS: usize = 64;
/// Datagrams that the socket of a UDP request queues in each direction.
const UDP_QUEUE_DATAGRAMS: usize = 4;
/// Lowest port that is chosen automatically; the ports below are the system ports.
const LOWEST_LOCAL_PORT: u16 = 1024;

/// Owns the fabric attachment and all flows of a caller.
pub(super) struct Worker {
    fabric_port: Port,
    commands: mpsc::UnboundedReceiver<Command>,
    records: Records,
    random: SmallRng,
    /// Endpoint without sockets that answers packets of no known flow, with a RST or ICMP port
    /// unreachable.
    unmatched_host: Host,
    flows: HashMap<Key, FlowState>,
    /// Keys of the flows that have not ended.
    keys_by_id: HashMap<FlowId, Key>,
    /// Times at which flows are polled, the earliest first. Entries stay when they are outdated.
    timers: BinaryHeap<Reverse<(Instant, Key)>>,
    /// Where the search for a free local port starts.
    next_local_port: u16,
    next_id: FlowId,
    /// Packets to send at the end of the current iteration of [`Worker::run`].
    packets_out: Vec<Vec<u8>>,
}

impl Worker {
    pub(super) fn new(
        port: Port,
        commands: mpsc::UnboundedReceiver<Command>,
        records: Records,
        seed: u64,
    ) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let next_local_port = random.random_range(LOWEST_LOCAL_PORT..=u16::MAX);
        Self {
            unmatched_host: Host::new(port.ip(), seed, Instant::now()),
            fabric_port: port,
            commands,
            records,
            random,
            flows: HashMap::new(),
            keys_by_id: HashMap::new(),
            timers: BinaryHeap::new(),
            next_local_port,
            next_id: 0,
            packets_out: Vec::new(),
        }
    }

    /// Runs until the fabric has stopped. The task is aborted when the [`Caller`] is dropped.
    ///
    /// [`Caller`]: super::Caller
    pub(super) async fn run(mut self) {
        loop {
            let next_timer = self.timers.peek().map(|Reverse((at, _))| *at);
            tokio::select! {
                packet = self.fabric_port.receive() => match packet {
                    Some(packet) => self.receive_batch(packet),
                    None => return,
                },
                command = self.commands.recv() => match command {
                    Some(command) => self.handle_command(command),
                    None => return,
                },
                _ = sleep_until(next_timer) => {}
            }
            self.run_timers();
            for packet in self.packets_out.drain(..) {
                self.fabric_port.send(packet);
            }
        }
    }

    /// Dispatches a batch of packets that starts with `first`, then polls each flow that got one.
    fn receive_batch(&mut self, first: Vec<u8>) {
        let now = Instant::now();
        let mut received_keys = HashSet::new();
        let mut next = Some(first);
        for _ in 0..BATCH_PACKETS {
            let Some(packet) = next else {
                break;
            };
            received_keys.extend(self.dispatch_packet(packet, now));
            next = self.fabric_port.try_receive();
        }
        if let Some(packet) = next {
            received_keys.extend(self.dispatch_packet(packet, now));
        }
        for key in received_keys {
            self.poll_flow(key, now);
        }
    }

    /// Queues a packet for its flow and returns the flow to poll. A RST, an ICMP error or a packet
    /// of no flow is handled at once, and nothing is returned.
    fn dispatch_packet(&mut self, packet: Vec<u8>, now: Instant) -> Option<Key> {
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
                    self.reply_to_unmatched(packet, now);
                    return None;
                }
                if rst {
                    self.handle_rst(key, packet, now);
                    return None;
                }
                self.queue_packet(key, packet);
                Some(key)
            }
            Content::Udp => {
                let key = key(Protocol::Udp, summary.destination, summary.source);
                if !self.flows.contains_key(&key) {
                    self.reply_to_unmatched(packet, now);
                    return None;
                }
                self.queue_packet(key, packet);
                Some(key)
            }
            Content::Unreachable { tcp, from, to } => {
                let protocol = if tcp { Protocol::Tcp } else { Protocol::Udp };
                self.handle_unreachable(key(protocol, from, to));
                None
            }
            Content::Other => None,
        }
    }

    /// Answers a packet of no known flow, as a host does.
    fn reply_to_unmatched(&mut self, packet: Vec<u8>, now: Instant) {
        self.unmatched_host.receive(packet);
        self.unmatched_host.poll(now, &mut self.packets_out);
    }

    fn queue_packet(&mut self, key: Key, packet: Vec<u8>) {
        match self.flows.get_mut(&key).map(|flow| &mut flow.transport) {
            Some(Transport::Tcp { connection, .. }) => connection.receive(packet),
            Some(Transport::Udp { host, .. }) => host.receive(packet),
            None => {}
        }
    }

    /// Passes a RST to the connection, and ends the flow if its TCP state machine accepts it.
    fn handle_rst(&mut self, key: Key, packet: Vec<u8>, now: Instant) {
        // Processes the data that arrived before the RST; the flow may end without another poll.
        self.poll_flow(key, now);
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let Transport::Tcp { connection, .. } = &mut flow.transport else {
            return;
        };
        let previous_state = connection.socket().state();
        connection.receive(packet);
        connection.poll(now, &mut self.packets_out);
        if connection.socket().state() != tcp::State::Closed {
            return;
        }
        match previous_state {
            tcp::State::SynSent | tcp::State::SynReceived => {
                self.end_flow(key, Outcome::Refused, Failure::Refused);
            }
            // A RST after the caller has closed the connection is no failure if no request waits.
            _ if flow.closing && !flow.responses.has_pending() => {
                self.end_flow(key, Outcome::Closed, Failure::Closed);
            }
            _ => self.end_flow(key, Outcome::Reset, Failure::Reset),
        }
    }

    /// Handles ICMP unreachable. For TCP it ends the flow only while the connection is opening; on
    /// an established connection it is a soft error (RFC 1122, 4.2.3.9).
    fn handle_unreachable(&mut self, key: Key) {
        let Some(flow) = self.flows.get_mut(&key) else {
            return;
        };
        let opening = match &mut flow.transport {
            Transport::Tcp { connection, .. } => connection.socket().state() == tcp::State::SynSent,
            Transport::Udp { .. } => true,
        };
        if opening {
            self.end_flow(key, Outcome::Refused, Failure::Refused);
        }
    }

    fn handle_command(&mut self, command: Command) {
        let now = Instant::now();
        match command {
            Command::Connect {
                remote,
                options,
                reply,
            } => self.start_connect(remote, options, reply, now),
            Command::Exchange {
                remote,
                options,
                request,
                reply,
            } => self.start_exchange(remote, options, request, reply, now),
            Command::Send {
                flow,
                request,
                timeout,
                reply,
            } => self.send_request(flow, request, timeout, reply, now),
            Command::Cancel { flow, id } => self.update_flow(flow, now, |flow| {
                flow.unsent.extend(protocol::frame(&cancel_request(id)));
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
                    flow.send_datagram(remote, &protocol::line(&cancel_request(id)));
                }
                self.poll_flow(key, now);
            }
            Command::Close { flow } => self.update_flow(flow, now, |flow| flow.closing = true),
            Command::Abort { flow } => {
                self.update_flow(flow, now, |flow| {
                    if let Transport::Tcp { connection, .. } = &mut flow.transport {
                        connection.socket().abort();
                    }
                    flow.closing = true;
                });
                self.remove_silently(flow);
            }
            Command::Forget { flow } => self.remove_silently(flow),
        }
    }

    /// Ends a flow without sending a packet.
    fn remove_silently(&mut self, id: FlowId) {
        if let Some(key) = self.keys_by_id.get(&id) {
            self.end_flow(*key, Outcome::Closed, Failure::Closed);
        }
    }

    /// Applies a change to a flow and polls it.
    fn update_flow(&mut self, id: FlowId, now: Instant, change: impl FnOnce(&mut FlowState)) {
        let Some(key) = self.keys_by_id.get(&id).copied() else {
            return;
        };
        if let Some(flow) = self.flows.get_mut(&key) {
            change(flow);
        }
        self.poll_flow(key, now);
    }

    fn start_connect(
        &mut self,
        remote: SocketAddr,
        options: Options,
        reply: oneshot::Sender<Result<(FlowId, SocketAddr), Failure>>,
        now: Instant,
    ) {
        let Some(key) = self.allocate_key(Protocol::Tcp, remote, options.local_port) else {
            let _ = reply.send(Err(Failure::PortInUse));
            return;
        };
        let local = SocketAddr::new(self.fabric_port.ip(), key.local_port);
        let seed = self.random.random();
        let connection = Connection::connect(local, remote, stack::CALLER_BUFFERS, seed, now);
        let transport = Transport::Tcp {
            connection: Box::new(connection),
            reply: Some(reply),
        };
        self.insert_flow(key, transport, options, now);
        self.poll_flow(key, now);
    }

    fn start_exchange(
        &mut self,
        remote: SocketAddr,
        options: Options,
        request: Request,
        reply: ResponseSender,
        now: Instant,
    ) {
        let Some(key) = self.allocate_key(Protocol::Udp, remote, options.local_port) else {
            let _ = reply.send(Err(Failure::PortInUse));
            return;
        };
        let local = SocketAddr::new(self.fabric_port.ip(), key.local_port);
        let mut host = Host::new(local.ip(), self.random.random(), now);
        let socket = host.bind(local, UDP_QUEUE_DATAGRAMS);
        let transport = Transport::Udp {
            host: Box::new(host),
            socket,
            datagram: protocol::line(&request),
        };
        let deadline = now + options.timeout;
        let id = self.insert_flow(key, transport, options, now);
        let size = request.size.min(protocol::DATAGRAM_BODY_MAX_BYTES);
        if let Some(flow) = self.flows.get_mut(&key) {
            flow.expect_response(&request, size, deadline, reply);
            flow.retransmit_at = Some(now);
        }
        self.update_record(id, |record| record.requests += 1);
        self.poll_flow(key, now);
    }

    fn send_request(
        &mut self,
        id: FlowId,
        request: Request,
        timeout: Duration,
        reply: ResponseSender,
        now: Instant,
    ) {
        if !self.keys_by_id.contains_key(&id) {
            let _ = reply.send(Err(Failure::Closed));
            return;
        }
        self.update_record(id, |record| record.requests += 1);
        self.update_flow(id, now, |flow| {
            flow.unsent.extend(protocol::frame(&request));
            flow.expect_response(&request, request.size, now + timeout, reply);
        });
    }

    /// Adds a flow and its record.
    fn insert_flow(
        &mut self,
        key: Key,
        transport: Transport,
        options: Options,
        now: Instant,
    ) -> FlowId {
        self.next_id += 1;
        let id = self.next_id;
        let local = SocketAddr::new(self.fabric_port.ip(), key.local_port);
        let record = Record::new(key.protocol, local, key.remote, now);
        self.records.lock().unwrap().insert(id, record);
        self.keys_by_id.insert(id, key);
        let flow = FlowState::new(id, transport, options, now);
        self.flows.insert(key, flow);
        id
    }

    /// Returns the key of a new flow with the given local port or, by default, the next free one;
    /// `None` if the port is in use or none is free.
    fn allocate_key(
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
            // A connection that the caller has closed releases its port at once, without waiting
            // for the other side's FIN.
            let closing = self.flows.get(&key).map(|flow| flow.closing);
            match closing {
                None => return Some(key),
                Some(true) => self.end_flow(key, Outcome::Closed, Failure::Closed),
                Some(false) => return None,
            }
            return Some(key);
        }
        for _ in LOWEST_LOCAL_PORT..=u16::MAX {
            let key = key(self.next_local_port);
            self.next_local_port = self
                .next_local_port
                .checked_add(1)
                .unwrap_or(LOWEST_LOCAL_PORT);
            if !self.flows.contains_key(&key) {
                return Some(key);
            }
        }
        None
    }

    /// Processes the received packets and timers of a flow, sends what it has to send, and updates
    /// its record.
    fn poll_flow(&mut self, key: Key, now: Instant) {
        let Some(mut flow) = self.flows.remove(&key) else {
            return;
        };
        let mut counts = PollCounts::default();
        let termination = match &mut flow.transport {
            Transport::Tcp { .. } => flow.poll_tcp(now, &mut counts, &mut self.packets_out),
            Transport::Udp { .. } => flow.poll_udp(key, now, &mut counts, &mut self.packets_out),
        };
        let termination = termination.or_else(|| flow.expire_requests(now, &mut counts));
        let established = flow.is_connect_reply_due();
        self.record_counts(flow.id, &counts, established, now);
        if established {
            flow.reply_to_connect(Ok(SocketAddr::new(self.fabric_port.ip(), key.local_port)));
        }
        match termination {
            None => flow.responses.deliver_results(),
            Some((outcome, failure)) => return self.record_end(flow, outcome, failure),
        }
        flow.schedule_timer(key, now, &mut self.timers);
        self.flows.insert(key, flow);
    }

    /// Adds the counts of a poll to the flow's record and updates its state.
    fn record_counts(&mut self, id: FlowId, counts: &PollCounts, established: bool, now: Instant) {
        self.update_record(id, |record| {
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
            let unanswered = record.unanswered > 0;
            match record.outcome {
                Outcome::Open if unanswered => record.outcome = Outcome::TimedOut,
                Outcome::TimedOut if !unanswered => record.outcome = Outcome::Open,
                _ => {}
            }
        });
    }

    fn end_flow(&mut self, key: Key, outcome: Outcome, failure: Failure) {
        if let Some(flow) = self.flows.remove(&key) {
            self.record_end(flow, outcome, failure);
        }
    }

    /// Records the end of a flow, and fails its pending requests and its connect command.
    fn record_end(&mut self, mut flow: FlowState, outcome: Outcome, failure: Failure) {
        self.keys_by_id.remove(&flow.id);
        let failed_requests = flow.responses.fail_all(failure);
        self.update_record(flow.id, |record| {
            record.unanswered += failed_requests;
            // A flow with unanswered requests keeps its outcome if it is closed later.
            if !(outcome == Outcome::Closed && record.unanswered > 0 && failed_requests == 0) {
                record.outcome = outcome;
            }
        });
        flow.reply_to_connect(Err(failure));
        flow.responses.deliver_results();
    }

    fn update_record(&self, id: FlowId, change: impl FnOnce(&mut Record)) {
        if let Some(record) = self.records.lock().unwrap().get_mut(&id) {
            change(record);
        }
    }

    /// Polls the flows whose timer has expired.
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
                    self.poll_flow(key, now);
                }
            }
        }
    }
}

/// The message that cancels the request with this id.
fn cancel_request(id: String) -> Request {
    Request {
        id,
        cancel: true,
        ..Request::default()
    }
}

/// Waits until a time; for ever if there is none.
async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline.into()).await,
        None => std::future::pending().await,
    }
}

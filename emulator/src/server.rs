//! A model of a backend server with a limited number of slots and a queue.

use std::collections::{HashMap, HashSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use flamingofall::hash::hash_bytes;
use flamingofall::id::Slots;
use flamingofall::packet::Flow;
use flamingofall::steering::agent::Heartbeat;
use flamingofall::steering::roster::State;

use crate::packet::{Action, Packet};

/// The model of a backend server.
#[derive(Debug)]
pub struct Server {
    /// Name of this process of the server; a restarted server has another one.
    pub name: String,
    /// Time at which the process started, in milliseconds.
    pub started_ms: u64,
    /// Service that the server belongs to.
    pub service: String,
    /// Whether the server drains: it reports this in its heartbeats, and closes each flow after the
    /// next answer.
    pub draining: bool,
    /// Number of requests that are processed at the same time.
    slots: u32,
    /// Number of requests that may wait for a slot.
    queue_max: usize,
    processing_time: Duration,
    heartbeat_sequence: u64,
    /// Sequence number of each flow's acceptance, and whether the client has acknowledged it, which
    /// opens the flow.
    flows: HashMap<Flow, (u32, bool)>,
    /// Flows that this server has closed; later packets of them get a reset.
    closed: HashSet<Flow>,
    /// The highest request id of each flow.
    last_request: HashMap<Flow, u64>,
    /// The last answer of each flow, for retransmitted requests.
    last_answer: HashMap<Flow, Packet>,
    /// Number of slots in use.
    running: u32,
    queued: VecDeque<Packet>,
    next_accept_sequence: u32,
}

/// An action of the server for the simulation to carry out.
#[derive(Debug, PartialEq, Eq)]
pub enum Effect {
    /// Send a packet to the client.
    Send(Packet),
    /// Return a client's packet to the agent, as its flow isn't open at this server.
    Return(Packet),
    /// Process the request in the packet, and call [`Server::complete_request`] after the time
    /// given.
    Process(Packet, Duration),
}

impl Server {
    /// Creates a server that starts at `started_ms`. The limits are the number of slots, the length
    /// of the queue and the processing time of a request.
    pub fn new(
        name: String,
        service: String,
        started_ms: u64,
        limits: (u32, usize, Duration),
    ) -> Self {
        let (slots, queue_max, processing_time) = limits;
        // The name makes the sequence numbers of acceptances differ between servers that start at
        // the same time.
        let next_accept_sequence = hash_bytes(name.as_bytes()) as u32 ^ started_ms as u32;
        Self {
            name,
            started_ms,
            service,
            draining: false,
            slots,
            queue_max,
            processing_time,
            heartbeat_sequence: 0,
            flows: HashMap::new(),
            closed: HashSet::new(),
            last_request: HashMap::new(),
            last_answer: HashMap::new(),
            running: 0,
            queued: VecDeque::new(),
            next_accept_sequence,
        }
    }

    /// Whether the flow is open at this server, that is, its client has acknowledged the
    /// acceptance.
    pub fn holds(&self, flow: &Flow) -> bool {
        self.flows.get(flow).is_some_and(|(_, open)| *open)
    }

    /// Ends the flow without a packet, as if it had expired.
    pub fn expire(&mut self, flow: &Flow) {
        self.flows.remove(flow);
        self.closed.remove(flow);
        self.last_request.remove(flow);
        self.last_answer.remove(flow);
    }

    /// Creates the next heartbeat for the agent. `address` is that of the server.
    pub fn heartbeat(&mut self, address: SocketAddr) -> Heartbeat {
        self.heartbeat_sequence += 1;
        Heartbeat {
            server: self.name.clone(),
            address,
            started: self.started_ms,
            service: self.service.clone(),
            state: if self.draining {
                State::Draining
            } else {
                State::Ready
            },
            slots: Slots(self.slots),
            sequence: self.heartbeat_sequence,
        }
    }

    /// Handles a client's packet.
    pub fn receive(&mut self, packet: Packet) -> Vec<Effect> {
        let flow = packet.flow();
        match packet.action {
            Action::Open => {
                self.next_accept_sequence = self.next_accept_sequence.wrapping_add(1000);
                let accept = self.next_accept_sequence;
                let (sequence, _) = *self.flows.entry(flow).or_insert((accept, false));
                vec![Effect::Send(reply(&packet, Action::Accept, sequence, None))]
            }
            Action::Accept => Vec::new(),
            Action::Reset => {
                self.flows.remove(&flow);
                Vec::new()
            }
            Action::Data | Action::Finish => self.receive_established(packet, flow),
        }
    }

    fn receive_established(&mut self, packet: Packet, flow: Flow) -> Vec<Effect> {
        let Some((sequence, open)) = self.flows.get_mut(&flow) else {
            return if self.closed.contains(&flow) {
                vec![Effect::Send(reply(&packet, Action::Reset, 0, None))]
            } else {
                vec![Effect::Return(packet)]
            };
        };
        if !*open && packet.acknowledgement != sequence.wrapping_add(1) {
            return vec![Effect::Return(packet)];
        }
        *open = true;
        if packet.action == Action::Finish {
            self.flows.remove(&flow);
            self.closed.insert(flow);
            return vec![Effect::Send(reply(&packet, Action::Finish, 0, None))];
        }
        let Some(request) = packet.request else {
            return Vec::new();
        };
        // A retransmitted request gets the same answer again.
        if let Some(answer) = self.last_answer.get(&flow) {
            if answer.request == Some(request) {
                return vec![Effect::Send(answer.clone())];
            }
        }
        // The ids of a client's requests increase. Retransmissions of a request that is queued or
        // in progress, and late copies of earlier ones, are not processed again.
        if self
            .last_request
            .get(&flow)
            .is_some_and(|last| request <= *last)
        {
            return Vec::new();
        }
        self.last_request.insert(flow, request);
        if self.running < self.slots {
            self.running += 1;
            return vec![Effect::Process(packet, self.processing_time)];
        }
        if self.queued.len() < self.queue_max {
            self.queued.push_back(packet);
            return Vec::new();
        }
        // The queue is full: the request is shed by a reset of its flow.
        self.flows.remove(&flow);
        self.closed.insert(flow);
        vec![Effect::Send(reply(&packet, Action::Reset, 0, None))]
    }

    /// Handles the end of a request's processing: sends the answer and starts the next request in
    /// the queue.
    pub fn complete_request(&mut self, packet: &Packet) -> Vec<Effect> {
        let flow = packet.flow();
        let answer = reply(packet, Action::Data, 0, packet.request);
        self.last_answer.insert(flow, answer.clone());
        let mut effects = vec![Effect::Send(answer)];
        if self.draining && self.flows.remove(&flow).is_some() {
            self.closed.insert(flow);
            effects.push(Effect::Send(reply(packet, Action::Finish, 0, None)));
        }
        match self.queued.pop_front() {
            Some(next) => effects.push(Effect::Process(next, self.processing_time)),
            None => self.running -= 1,
        }
        effects
    }
}

fn reply(packet: &Packet, action: Action, sequence: u32, request: Option<u64>) -> Packet {
    Packet {
        client: packet.client,
        address: packet.address,
        action,
        sequence,
        acknowledgement: packet.sequence,
        request,
    }
}

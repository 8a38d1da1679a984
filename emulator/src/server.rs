//! A model of a backend server.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use flamingofall::hash::hash_bytes;
use flamingofall::id::Slots;
use flamingofall::packet::Flow;
use flamingofall::steering::agent::Heartbeat;
use flamingofall::steering::roster::State;

use crate::packet::{Action, Packet};

/// A server.
#[derive(Debug)]
pub struct Server {
    /// Name of this run of the server.
    pub name: String,
    /// Start in milliseconds of the run.
    pub started_ms: u64,
    /// Its service.
    pub service: String,
    /// Whether it serves its open flows only.
    pub draining: bool,
    slots: u32,
    queue_max: usize,
    processing_time: Duration,
    heartbeat_sequence: u64,
    /// Flows by the sequence number of their acceptance; true once they are open.
    flows: HashMap<Flow, (u32, bool)>,
    /// Flows that this server has closed.
    closed: HashSet<Flow>,
    /// The highest request id of each flow.
    last_request: HashMap<Flow, u64>,
    last_answer: HashMap<Flow, Packet>,
    running: u32,
    queued: VecDeque<Packet>,
    next_accept_sequence: u32,
}

/// What a server does with a packet.
#[derive(Debug, PartialEq, Eq)]
pub enum Effect {
    /// It sends a packet.
    Send(Packet),
    /// It returns the packet.
    Return(Packet),
    /// It works on a request, which ends after the time given.
    Process(Packet, Duration),
}

impl Server {
    /// A server that starts now.
    pub fn new(
        name: String,
        service: String,
        started_ms: u64,
        limits: (u32, usize, Duration),
    ) -> Self {
        let (slots, queue_max, processing_time) = limits;
        // Servers that start at the same time number their acceptances differently.
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

    /// Whether the server holds an open flow.
    pub fn holds(&self, flow: &Flow) -> bool {
        self.flows.get(flow).is_some_and(|(_, open)| *open)
    }

    /// The next heartbeat.
    pub fn heartbeat(&mut self) -> Heartbeat {
        self.heartbeat_sequence += 1;
        Heartbeat {
            server: self.name.clone(),
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

    /// A client's packet.
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
        // A repeated packet gets the same answer again.
        if let Some(answer) = self.last_answer.get(&flow) {
            if answer.request == Some(request) {
                return vec![Effect::Send(answer.clone())];
            }
        }
        // Copies of a packet that is being worked on, or that waits, and late copies of earlier
        // ones, are only acknowledged. A client's ids rise.
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
        // Shed: the flow ends.
        self.flows.remove(&flow);
        self.closed.insert(flow);
        vec![Effect::Send(reply(&packet, Action::Reset, 0, None))]
    }

    /// The work on a request has ended.
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

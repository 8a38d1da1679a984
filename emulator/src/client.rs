//! A model of a client that sends one request at a time.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use crate::packet::{Action, Packet};

/// Times after the first opening packet at which it is retransmitted.
const OPEN_RETRANSMIT_TIMES: [Duration; 2] =
    [Duration::from_millis(200), Duration::from_millis(600)];
/// Time after the first opening packet at which an attempt to open a flow fails.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1400);
/// Time before a data packet is first retransmitted; the interval doubles each time.
const RETRANSMIT_INTERVAL_MIN: Duration = Duration::from_millis(200);
/// Longest interval between retransmissions of a data packet.
const RETRANSMIT_INTERVAL_MAX: Duration = Duration::from_millis(1600);
/// Attempts after the first one, each on a new flow.
const RETRIES_MAX: u32 = 2;

/// A request in progress.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Id of the request, unique in the run.
    pub id: u64,
    /// Time at which the client started the request, relative to the start of the run.
    pub started: Duration,
    failed_attempts: u32,
}

/// State of the client's current flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FlowState {
    Closed,
    /// The first opening packet was sent at `since`.
    Opening {
        since: Duration,
        retransmissions: u32,
    },
    /// The client took the acceptance with this sequence number.
    Open {
        sequence: u32,
    },
}

/// Behaviour of a client.
#[derive(Clone, Copy, Debug)]
pub struct ClientOptions {
    /// Whether the client opens a new flow for each request.
    pub flow_per_request: bool,
    /// Whether the client repeats a request that was sent on an open flow, so that a server may
    /// have executed it. Otherwise such a request fails with its flow.
    pub retries_sent_requests: bool,
    /// Time from the start of a request after which the client gives it up.
    pub deadline: Duration,
    /// Number of ports that the client uses in turn; 0 for all of them.
    pub ports: u16,
}

/// Distance between the sequence numbers of flows that use the same port.
const SEQUENCE_STEP: u32 = 1_000_000;
/// First port of a client.
const PORT_MIN: u16 = 1024;

/// The model of a client. Its methods return the packets that it sends.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    ip: Ipv4Addr,
    port: u16,
    /// Sequence number of the current flow's packets. Flows on the same port differ in it.
    initial_sequence: u32,
    options: ClientOptions,
    flow_state: FlowState,
    /// The request in progress, if any.
    pub request: Option<Request>,
    /// Whether the request was sent on an open flow, so that a server may have executed it.
    request_sent: bool,
    timer_due: Option<Duration>,
    retransmit_interval: Duration,
}

/// The result of a request, as its client knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The answer arrived.
    Served,
    /// The request was never sent on an open flow, so no server has executed it.
    Refused,
    /// The client gave up; a server may have executed the request.
    Failed,
}

impl Client {
    /// Creates a client at `ip` that sends requests to the service at `address`.
    pub fn new(ip: Ipv4Addr, address: SocketAddr, options: ClientOptions) -> Self {
        Self {
            address,
            ip,
            port: PORT_MIN,
            initial_sequence: 1,
            options,
            flow_state: FlowState::Closed,
            request: None,
            request_sent: false,
            timer_due: None,
            retransmit_interval: RETRANSMIT_INTERVAL_MIN,
        }
    }

    /// The client's IP address.
    pub fn ip(&self) -> Ipv4Addr {
        self.ip
    }

    /// Value of [`ClientOptions::retries_sent_requests`].
    pub fn retries_sent_requests(&self) -> bool {
        self.options.retries_sent_requests
    }

    /// Time at which [`Client::run_timer`] has to be called; `None` if there is nothing to wait
    /// for.
    pub fn timer_due(&self) -> Option<Duration> {
        self.timer_due
    }

    /// Starts a request on the open flow, or on a new one.
    pub fn start_request(&mut self, id: u64, now: Duration) -> Vec<Packet> {
        self.request = Some(Request {
            id,
            started: now,
            failed_attempts: 0,
        });
        self.request_sent = false;
        match self.flow_state {
            FlowState::Open { .. } => self.send_request(now),
            _ => self.open_flow(now),
        }
    }

    fn open_flow(&mut self, now: Duration) -> Vec<Packet> {
        let last = PORT_MIN.saturating_add(self.options.ports);
        if self.options.ports > 0 && self.port >= last {
            self.port = PORT_MIN;
            self.initial_sequence = self.initial_sequence.wrapping_add(SEQUENCE_STEP);
        }
        self.port = self.port.checked_add(1).unwrap_or(PORT_MIN);
        self.flow_state = FlowState::Opening {
            since: now,
            retransmissions: 0,
        };
        self.timer_due = Some(now + OPEN_RETRANSMIT_TIMES[0]);
        vec![self.packet(Action::Open, 0, None)]
    }

    fn send_request(&mut self, now: Duration) -> Vec<Packet> {
        self.retransmit_interval = RETRANSMIT_INTERVAL_MIN;
        self.timer_due = Some(now + self.retransmit_interval);
        self.request_sent = true;
        self.request_packet()
    }

    fn request_packet(&self) -> Vec<Packet> {
        let FlowState::Open { sequence } = self.flow_state else {
            return Vec::new();
        };
        let request = self.request.map(|request| request.id);
        vec![self.packet(Action::Data, sequence.wrapping_add(1), request)]
    }

    /// Handles a packet from a server, or a reset. Returns the outcome if the request ends.
    pub fn receive(&mut self, packet: &Packet, now: Duration) -> (Vec<Packet>, Option<Outcome>) {
        if packet.client != self.source() {
            return (Vec::new(), None);
        }
        match (packet.action, self.flow_state) {
            (Action::Accept, FlowState::Opening { .. }) => {
                self.flow_state = FlowState::Open {
                    sequence: packet.sequence,
                };
                (self.send_request(now), None)
            }
            (Action::Data, FlowState::Open { .. }) => self.receive_answer(packet),
            (Action::Finish, _) => {
                self.flow_state = FlowState::Closed;
                match self.request {
                    Some(_) => self.retry(now),
                    None => (Vec::new(), None),
                }
            }
            (Action::Reset, _) => self.retry(now),
            _ => (Vec::new(), None),
        }
    }

    fn receive_answer(&mut self, packet: &Packet) -> (Vec<Packet>, Option<Outcome>) {
        let Some(request) = self.request else {
            return (Vec::new(), None);
        };
        if packet.request != Some(request.id) {
            return (Vec::new(), None);
        }
        self.request = None;
        self.timer_due = None;
        let mut packets = Vec::new();
        if self.options.flow_per_request {
            packets.push(self.packet(Action::Finish, 0, None));
            self.flow_state = FlowState::Closed;
        }
        (packets, Some(Outcome::Served))
    }

    /// Repeats the request on a new flow, or ends it if that isn't allowed.
    fn retry(&mut self, now: Duration) -> (Vec<Packet>, Option<Outcome>) {
        self.flow_state = FlowState::Closed;
        self.timer_due = None;
        let Some(request) = &mut self.request else {
            return (Vec::new(), None);
        };
        request.failed_attempts += 1;
        if request.failed_attempts > RETRIES_MAX
            || (self.request_sent && !self.options.retries_sent_requests)
        {
            self.request = None;
            return (Vec::new(), Some(self.failure_outcome()));
        }
        (self.open_flow(now), None)
    }

    fn failure_outcome(&self) -> Outcome {
        if self.request_sent {
            Outcome::Failed
        } else {
            Outcome::Refused
        }
    }

    /// Retransmits, opens a new flow or gives the request up, whichever is due. Returns the outcome
    /// if the request ends.
    pub fn run_timer(&mut self, now: Duration) -> (Vec<Packet>, Option<Outcome>) {
        if self.timer_due.is_none_or(|due| due > now) {
            return (Vec::new(), None);
        }
        let Some(request) = self.request else {
            self.timer_due = None;
            return (Vec::new(), None);
        };
        if now >= request.started + self.options.deadline {
            self.request = None;
            self.flow_state = FlowState::Closed;
            self.timer_due = None;
            return (Vec::new(), Some(self.failure_outcome()));
        }
        match self.flow_state {
            FlowState::Opening {
                since,
                retransmissions,
            } if (retransmissions as usize) < OPEN_RETRANSMIT_TIMES.len() => {
                let retransmissions = retransmissions + 1;
                self.flow_state = FlowState::Opening {
                    since,
                    retransmissions,
                };
                let next = OPEN_RETRANSMIT_TIMES.get(retransmissions as usize).copied();
                self.timer_due = Some(since + next.unwrap_or(OPEN_TIMEOUT));
                (vec![self.packet(Action::Open, retransmissions, None)], None)
            }
            FlowState::Opening { .. } => self.retry(now),
            FlowState::Open { .. } => {
                self.retransmit_interval =
                    (self.retransmit_interval * 2).min(RETRANSMIT_INTERVAL_MAX);
                self.timer_due = Some(now + self.retransmit_interval);
                (self.request_packet(), None)
            }
            FlowState::Closed => (Vec::new(), None),
        }
    }

    fn source(&self) -> SocketAddr {
        SocketAddr::from((self.ip, self.port))
    }

    fn packet(&self, action: Action, acknowledgement: u32, request: Option<u64>) -> Packet {
        Packet {
            client: self.source(),
            address: self.address,
            action,
            sequence: self.initial_sequence,
            acknowledgement,
            request,
        }
    }
}

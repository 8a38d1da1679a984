//! A model of a client with one request at a time.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use crate::packet::{Action, Packet};

/// Times after the first opening packet at which its copies are sent.
const OPEN_RETRANSMIT_TIMES: [Duration; 2] =
    [Duration::from_millis(200), Duration::from_millis(600)];
/// Time after which an attempt to open a flow ends.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1400);
/// First interval between copies of a data packet; it doubles.
const RETRANSMIT_INTERVAL_MIN: Duration = Duration::from_millis(200);
/// Longest interval between copies of a data packet.
const RETRANSMIT_INTERVAL_MAX: Duration = Duration::from_millis(1600);
/// Further attempts of a request.
const RETRIES_MAX: u32 = 2;

/// A request in progress.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Its id.
    pub id: u64,
    /// When it was started.
    pub started: Duration,
    failed_attempts: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FlowState {
    Closed,
    Opening {
        since: Duration,
        retransmissions: u32,
    },
    Open {
        sequence: u32,
    },
}

/// How a client behaves.
#[derive(Clone, Copy, Debug)]
pub struct ClientOptions {
    /// Opens a flow for each request.
    pub flow_per_request: bool,
    /// Repeats a request although its server may have run it.
    pub retries_sent_requests: bool,
    /// Time for a request.
    pub deadline: Duration,
}

/// A client.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    ip: Ipv4Addr,
    port: u16,
    options: ClientOptions,
    flow_state: FlowState,
    /// The request in progress.
    pub request: Option<Request>,
    /// The request was sent on an open flow, so a server may have run it.
    request_sent: bool,
    timer_due: Option<Duration>,
    retransmit_interval: Duration,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Answered.
    Served,
    /// Refused: no server has run it.
    Refused,
    /// Given up, with an unknown outcome.
    Failed,
}

impl Client {
    /// A client at `ip` of the service at `address`.
    pub fn new(ip: Ipv4Addr, address: SocketAddr, options: ClientOptions) -> Self {
        Self {
            address,
            ip,
            port: 1024,
            options,
            flow_state: FlowState::Closed,
            request: None,
            request_sent: false,
            timer_due: None,
            retransmit_interval: RETRANSMIT_INTERVAL_MIN,
        }
    }

    /// Its address.
    pub fn ip(&self) -> Ipv4Addr {
        self.ip
    }

    /// Whether it repeats a request although its server may have run it.
    pub fn retries_sent_requests(&self) -> bool {
        self.options.retries_sent_requests
    }

    /// When [`Client::run_timer`] is due.
    pub fn timer_due(&self) -> Option<Duration> {
        self.timer_due
    }

    /// Starts a request.
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
        self.port = self.port.checked_add(1).unwrap_or(1024);
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

    /// A packet from a server or a reset.
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

    /// Tries a request again on another flow.
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

    /// Runs what is due.
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
            sequence: 1,
            acknowledgement,
            request,
        }
    }
}

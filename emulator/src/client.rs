//! A model of a client with one request at a time.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use crate::packet::{Action, Packet};

/// Times after the first opening packet at which its copies are sent.
const COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
/// Time after which an attempt to open a flow ends.
const OPEN_TIMEOUT: Duration = Duration::from_millis(1400);
/// First interval between copies of a data packet; it doubles.
const RETRANSMIT: Duration = Duration::from_millis(200);
/// Longest interval between copies of a data packet.
const RETRANSMIT_MAX: Duration = Duration::from_millis(1600);
/// Further attempts of a request.
const RETRIES: u32 = 2;

/// A request in progress.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Its id.
    pub id: u64,
    /// When it was asked.
    pub asked: Duration,
    tries: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Closed,
    Opening { since: Duration, copies: u32 },
    Open { sequence: u32 },
}

/// How a client behaves.
#[derive(Clone, Copy, Debug)]
pub struct Habits {
    /// Opens a flow for each request.
    pub fresh: bool,
    /// Repeats a request although its server may have run it.
    pub repeats: bool,
    /// Time for a request.
    pub deadline: Duration,
}

/// A client.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    ip: Ipv4Addr,
    port: u16,
    habits: Habits,
    phase: Phase,
    /// The request in progress.
    pub request: Option<Request>,
    /// The request was sent on an open flow, so a server may have run it.
    sent: bool,
    due: Option<Duration>,
    interval: Duration,
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
    pub fn new(ip: Ipv4Addr, address: SocketAddr, habits: Habits) -> Self {
        Self {
            address,
            ip,
            port: 1024,
            habits,
            phase: Phase::Closed,
            request: None,
            sent: false,
            due: None,
            interval: RETRANSMIT,
        }
    }

    /// Its address.
    pub fn ip(&self) -> Ipv4Addr {
        self.ip
    }

    /// Whether it repeats a request although its server may have run it.
    pub fn repeats(&self) -> bool {
        self.habits.repeats
    }

    /// When [`Client::timer`] is due.
    pub fn due(&self) -> Option<Duration> {
        self.due
    }

    /// Starts a request.
    pub fn ask(&mut self, id: u64, now: Duration) -> Vec<Packet> {
        self.request = Some(Request {
            id,
            asked: now,
            tries: 0,
        });
        self.sent = false;
        match self.phase {
            Phase::Open { .. } => self.send(now),
            _ => self.open(now),
        }
    }

    fn open(&mut self, now: Duration) -> Vec<Packet> {
        self.port = self.port.checked_add(1).unwrap_or(1024);
        self.phase = Phase::Opening {
            since: now,
            copies: 0,
        };
        self.due = Some(now + COPIES[0]);
        vec![self.packet(Action::Open, 0, None)]
    }

    fn send(&mut self, now: Duration) -> Vec<Packet> {
        self.interval = RETRANSMIT;
        self.due = Some(now + self.interval);
        self.sent = true;
        self.data()
    }

    fn data(&self) -> Vec<Packet> {
        let Phase::Open { sequence } = self.phase else {
            return Vec::new();
        };
        let request = self.request.map(|request| request.id);
        vec![self.packet(Action::Data, sequence.wrapping_add(1), request)]
    }

    /// A packet from a server or a reset.
    pub fn packet_in(&mut self, packet: &Packet, now: Duration) -> (Vec<Packet>, Option<Outcome>) {
        if packet.client != self.end() {
            return (Vec::new(), None);
        }
        match (packet.action, self.phase) {
            (Action::Accept, Phase::Opening { .. }) => {
                self.phase = Phase::Open {
                    sequence: packet.sequence,
                };
                (self.send(now), None)
            }
            (Action::Data, Phase::Open { .. }) => self.answer(packet),
            (Action::Finish, _) => {
                self.phase = Phase::Closed;
                match self.request {
                    Some(_) => self.again(now),
                    None => (Vec::new(), None),
                }
            }
            (Action::Reset, _) => self.again(now),
            _ => (Vec::new(), None),
        }
    }

    fn answer(&mut self, packet: &Packet) -> (Vec<Packet>, Option<Outcome>) {
        let Some(request) = self.request else {
            return (Vec::new(), None);
        };
        if packet.request != Some(request.id) {
            return (Vec::new(), None);
        }
        self.request = None;
        self.due = None;
        let mut packets = Vec::new();
        if self.habits.fresh {
            packets.push(self.packet(Action::Finish, 0, None));
            self.phase = Phase::Closed;
        }
        (packets, Some(Outcome::Served))
    }

    /// Tries a request again on another flow.
    fn again(&mut self, now: Duration) -> (Vec<Packet>, Option<Outcome>) {
        self.phase = Phase::Closed;
        self.due = None;
        let Some(request) = &mut self.request else {
            return (Vec::new(), None);
        };
        request.tries += 1;
        if request.tries > RETRIES || (self.sent && !self.habits.repeats) {
            self.request = None;
            return (Vec::new(), Some(self.unanswered()));
        }
        (self.open(now), None)
    }

    fn unanswered(&self) -> Outcome {
        if self.sent {
            Outcome::Failed
        } else {
            Outcome::Refused
        }
    }

    /// Runs what is due.
    pub fn timer(&mut self, now: Duration) -> (Vec<Packet>, Option<Outcome>) {
        if self.due.is_none_or(|due| due > now) {
            return (Vec::new(), None);
        }
        let Some(request) = self.request else {
            self.due = None;
            return (Vec::new(), None);
        };
        if now >= request.asked + self.habits.deadline {
            self.request = None;
            self.phase = Phase::Closed;
            self.due = None;
            return (Vec::new(), Some(self.unanswered()));
        }
        match self.phase {
            Phase::Opening { since, copies } if (copies as usize) < COPIES.len() => {
                let copies = copies + 1;
                self.phase = Phase::Opening { since, copies };
                let next = COPIES.get(copies as usize).copied();
                self.due = Some(since + next.unwrap_or(OPEN_TIMEOUT));
                (vec![self.packet(Action::Open, copies, None)], None)
            }
            Phase::Opening { .. } => self.again(now),
            Phase::Open { .. } => {
                self.interval = (self.interval * 2).min(RETRANSMIT_MAX);
                self.due = Some(now + self.interval);
                (self.data(), None)
            }
            Phase::Closed => (Vec::new(), None),
        }
    }

    fn end(&self) -> SocketAddr {
        SocketAddr::from((self.ip, self.port))
    }

    fn packet(&self, action: Action, acknowledgement: u32, request: Option<u64>) -> Packet {
        Packet {
            client: self.end(),
            address: self.address,
            action,
            sequence: 1,
            acknowledgement,
            request,
        }
    }
}

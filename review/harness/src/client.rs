//! A client's end of a flow (PROTOCOL.md, "Flows").

use std::time::{Duration, Instant};

use crate::packet::{End, Packet, ACK, FIN, RST, SYN};

const SYN_COPIES: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(600)];
const SYN_GIVES_UP: Duration = Duration::from_millis(1400);
const RETRANSMIT_FIRST: Duration = Duration::from_millis(200);
const RETRANSMIT_MAX: Duration = Duration::from_millis(1600);
/// A reset of the system has a sequence number this near to the client's last acknowledgement.
pub const RESET_WINDOW: u32 = 76_800;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Opening,
    Open,
    Ended,
}

pub struct Flow {
    pub me: End,
    pub to: End,
    pub state: State,
    opened_at: Instant,
    syn_copies: usize,
    seq: u32,
    pub ack: u32,
    /// The request that has no answer: its id, when it was first sent, its packet, next copy, pause.
    pub request: Option<(u64, Instant, Packet, Instant, Duration)>,
    /// The request that waits until the flow is open.
    pub first: Option<u64>,
}

pub enum Event {
    Send(Vec<u8>),
    Opened,
    Answer {
        id: u64,
        service: String,
    },
    /// The flow ended; `system` says whether by a reset without a sum.
    Reset {
        system: bool,
        was: State,
        seq: u32,
    },
    Closed,
    GaveUp,
}

impl Flow {
    pub fn new(me: End, to: End, isn: u32, first: u64, now: Instant) -> (Self, Vec<u8>) {
        let flow = Self {
            me,
            to,
            state: State::Opening,
            opened_at: now,
            syn_copies: 0,
            seq: isn,
            ack: 0,
            request: None,
            first: Some(first),
        };
        let syn = flow.packet(SYN, isn, 0, Vec::new()).encode();
        (flow, syn)
    }

    fn packet(&self, flags: u8, seq: u32, ack: u32, data: Vec<u8>) -> Packet {
        let (src, dst) = (self.me, self.to);
        Packet {
            src,
            dst,
            flags,
            seq,
            ack,
            data,
        }
    }

    /// Sends a request on the open flow.
    pub fn send(&mut self, id: u64, now: Instant) -> Vec<u8> {
        let mut data = id.to_le_bytes().to_vec();
        data.resize(64, b'.');
        let packet = self.packet(ACK, self.seq, self.ack, data);
        self.seq = self.seq.wrapping_add(packet.data.len() as u32);
        let bytes = packet.encode();
        let due = now + RETRANSMIT_FIRST;
        self.request = Some((id, now, packet, due, RETRANSMIT_FIRST));
        bytes
    }

    pub fn finish(&mut self) -> Vec<u8> {
        self.state = State::Ended;
        self.packet(FIN | ACK, self.seq, self.ack, Vec::new())
            .encode()
    }

    pub fn tick(&mut self, now: Instant) -> Vec<Event> {
        let mut out = Vec::new();
        if self.state == State::Opening {
            let age = now - self.opened_at;
            if age >= SYN_GIVES_UP {
                self.state = State::Ended;
                out.push(Event::GaveUp);
            } else if SYN_COPIES.get(self.syn_copies).is_some_and(|at| age >= *at) {
                self.syn_copies += 1;
                let syn = self.packet(SYN, self.seq, self.syn_copies as u32, Vec::new());
                out.push(Event::Send(syn.encode()));
            }
        }
        if self.state == State::Open {
            let ack = self.ack;
            if let Some((_, _, packet, due, pause)) = &mut self.request {
                if *due <= now {
                    packet.ack = ack;
                    out.push(Event::Send(packet.encode()));
                    *pause = (*pause * 2).min(RETRANSMIT_MAX);
                    *due = now + *pause;
                }
            }
        }
        out
    }

    pub fn receive(&mut self, packet: &Packet, genuine: bool, now: Instant) -> Vec<Event> {
        let mut out = Vec::new();
        if self.state == State::Ended {
            return out;
        }
        if packet.flags & RST != 0 {
            let near = packet.seq.wrapping_sub(self.ack).wrapping_add(RESET_WINDOW);
            if self.state == State::Opening || near <= 2 * RESET_WINDOW {
                let was = self.state;
                self.state = State::Ended;
                let (system, seq) = (!genuine, packet.seq);
                out.push(Event::Reset { system, was, seq });
            }
            return out;
        }
        if packet.flags & SYN != 0 {
            if self.state == State::Opening {
                self.state = State::Open;
                self.seq = self.seq.wrapping_add(1);
                self.ack = packet.seq.wrapping_add(1);
                out.push(Event::Opened);
                if let Some(id) = self.first.take() {
                    out.push(Event::Send(self.send(id, now)));
                }
            }
            return out;
        }
        if self.state != State::Open {
            return out;
        }
        if packet.flags & FIN != 0 && packet.seq == self.ack {
            self.ack = packet.seq.wrapping_add(1);
            out.push(Event::Send(self.finish()));
            out.push(Event::Closed);
            return out;
        }
        if packet.data.len() < 8 || packet.seq != self.ack {
            if !packet.data.is_empty() {
                let ack = self.packet(ACK, self.seq, self.ack, Vec::new());
                out.push(Event::Send(ack.encode()));
            }
            return out;
        }
        self.ack = self.ack.wrapping_add(packet.data.len() as u32);
        let ack = self.packet(ACK, self.seq, self.ack, Vec::new());
        out.push(Event::Send(ack.encode()));
        let mut id = [0; 8];
        id.copy_from_slice(&packet.data[..8]);
        let id = u64::from_le_bytes(id);
        self.request = None;
        let service = String::from_utf8_lossy(&packet.data[8..]).into_owned();
        out.push(Event::Answer { id, service });
        out
    }
}

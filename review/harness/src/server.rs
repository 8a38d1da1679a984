//! A backend server (PROTOCOL.md, "Flows", "Servers", "Service discovery").

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use crate::packet::{bounce, End, Packet, ACK, FIN, RST, SYN};

/// Time that a request takes, and requests that wait for a slot at most.
const WORK: Duration = Duration::from_millis(40);
const QUEUE: usize = 20;
pub const SLOTS: u32 = 4;
const RETRANSMIT_FIRST: Duration = Duration::from_millis(200);
const RETRANSMIT_MAX: Duration = Duration::from_millis(1600);

pub struct Flow {
    /// Sequence number of the SYN+ACK.
    isn: u32,
    /// The client has acknowledged it, so that the flow is open here.
    pub open: bool,
    /// Next number that is expected of the client, and next one of the server.
    expects: u32,
    next: u32,
    /// Packets that the client hasn't acknowledged, with the time and the pause of the next copy.
    unacked: VecDeque<(Packet, Instant, Duration, u32)>,
    /// A request of the flow is worked on.
    working: bool,
}

pub struct Server {
    pub id: String,
    pub service: String,
    /// Unix millisecond of the start.
    pub born: u64,
    pub draining: bool,
    pub sequence: u64,
    pub next_heartbeat: Instant,
    pub flows: HashMap<(End, End), Flow>,
    ended: HashMap<(End, End), ()>,
    running: Vec<(Instant, (End, End), u64)>,
    queued: VecDeque<((End, End), u64)>,
    next_isn: u32,
}

/// What a server does with a packet.
pub enum Effect {
    Send(Vec<u8>),
    /// It accepts a flow, and a flow opens here.
    Accepted((End, End)),
    Opened((End, End)),
    /// It begins to work on a request.
    Runs((End, End), u64),
}

impl Server {
    pub fn new(id: &str, service: &str, born: u64, now: Instant) -> Self {
        let mut isn: u32 = 0x811c_9dc5 ^ born as u32;
        for byte in id.bytes() {
            isn = (isn ^ u32::from(byte)).wrapping_mul(0x0100_0193);
        }
        Self {
            id: id.to_owned(),
            service: service.to_owned(),
            born,
            draining: false,
            sequence: 0,
            next_heartbeat: now,
            flows: HashMap::new(),
            ended: HashMap::new(),
            running: Vec::new(),
            queued: VecDeque::new(),
            next_isn: isn,
        }
    }

    /// Path and body of the next heartbeat.
    pub fn heartbeat(&mut self, address: &str) -> (String, String) {
        self.sequence += 1;
        let state = if self.draining { "draining" } else { "ready" };
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{address}\",\"zone\":\"z\",\"version\":\"v1\",\
             \"concurrency\":{SLOTS},\"state\":\"{state}\",\"cold_remaining_ms\":0,\
             \"sequence\":{},\"born\":{}}}",
            self.service, self.sequence, self.born
        );
        let path = format!("/flamingofall/Instances.Heartbeat/{}", self.id);
        (path, body)
    }

    pub fn receive(&mut self, bytes: &[u8], packet: &Packet, now: Instant) -> Vec<Effect> {
        let key = (packet.src, packet.dst);
        let mut out = Vec::new();
        if packet.flags & SYN != 0 {
            if packet.flags & ACK != 0 {
                return out;
            }
            if self.running.len() + self.queued.len() >= SLOTS as usize + QUEUE {
                out.push(Effect::Send(bounce(bytes)));
                return out;
            }
            self.next_isn = self
                .next_isn
                .wrapping_mul(1_664_525)
                .wrapping_add(1_013_904_223);
            let isn = self.next_isn;
            let flow = self.flows.entry(key).or_insert_with(|| Flow {
                isn,
                open: false,
                expects: packet.seq.wrapping_add(1),
                next: isn.wrapping_add(1),
                unacked: VecDeque::new(),
                working: false,
            });
            if flow.open || flow.expects != packet.seq.wrapping_add(1) {
                // An old copy, or the client's next flow from the port.
                if flow.expects.wrapping_sub(packet.seq) < 1 << 20 {
                    return out;
                }
                self.flows.remove(&key);
                return self.receive(bytes, packet, now);
            }
            let answer = Packet {
                src: packet.dst,
                dst: packet.src,
                flags: SYN | ACK,
                seq: flow.isn,
                ack: flow.expects,
                data: Vec::new(),
            };
            self.ended.remove(&key);
            out.push(Effect::Accepted(key));
            out.push(Effect::Send(answer.encode()));
            return out;
        }
        let Some(flow) = self.flows.get_mut(&key) else {
            let answer = |flags| Packet {
                src: packet.dst,
                dst: packet.src,
                flags,
                seq: packet.ack,
                ack: packet.seq.wrapping_add(1),
                data: Vec::new(),
            };
            if !self.ended.contains_key(&key) {
                out.push(Effect::Send(bounce(bytes)));
            } else if packet.flags & FIN != 0 {
                out.push(Effect::Send(answer(ACK).encode()));
            } else if !packet.data.is_empty() {
                out.push(Effect::Send(answer(RST).encode()));
            }
            return out;
        };
        if !flow.open && packet.ack != flow.isn.wrapping_add(1) {
            out.push(Effect::Send(bounce(bytes)));
            return out;
        }
        if !flow.open {
            flow.open = true;
            out.push(Effect::Opened(key));
        }
        if packet.flags & RST != 0 {
            self.flows.remove(&key);
            self.ended.insert(key, ());
            return out;
        }
        let acked = |p: &Packet| {
            let end = p.seq.wrapping_add(p.data.len() as u32);
            packet.ack.wrapping_sub(end) < 1 << 31
        };
        flow.unacked.retain(|(p, ..)| !acked(p));
        let reply = |flow: &Flow, flags| Packet {
            src: packet.dst,
            dst: packet.src,
            flags,
            seq: flow.next,
            ack: flow.expects,
            data: Vec::new(),
        };
        if packet.flags & FIN != 0 {
            flow.expects = packet.seq.wrapping_add(1);
            out.push(Effect::Send(reply(flow, FIN | ACK).encode()));
            self.flows.remove(&key);
            self.ended.insert(key, ());
            return out;
        }
        if packet.data.is_empty() {
            return out;
        }
        if packet.seq != flow.expects || flow.working {
            // A copy of a request: acknowledged. The answer is sent again by its own timer.
            out.push(Effect::Send(reply(flow, ACK).encode()));
            return out;
        }
        flow.expects = flow.expects.wrapping_add(packet.data.len() as u32);
        flow.working = true;
        let mut id = [0; 8];
        id.copy_from_slice(&packet.data[..8]);
        let id = u64::from_le_bytes(id);
        if self.running.len() < SLOTS as usize {
            self.running.push((now + WORK, key, id));
            out.push(Effect::Runs(key, id));
        } else {
            self.queued.push_back((key, id));
        }
        out
    }

    /// Answers what is done, and sends copies of what isn't acknowledged.
    pub fn tick(&mut self, now: Instant) -> Vec<Effect> {
        let mut out = Vec::new();
        let (done, rest) = self.running.drain(..).partition(|(due, ..)| *due <= now);
        self.running = rest;
        let done: Vec<(Instant, (End, End), u64)> = done;
        for (_, key, id) in done {
            if let Some((key, id)) = self.queued.pop_front() {
                self.running.push((now + WORK, key, id));
                out.push(Effect::Runs(key, id));
            }
            let Some(flow) = self.flows.get_mut(&key) else {
                continue;
            };
            // The answer names the request and the service.
            let mut data = id.to_le_bytes().to_vec();
            data.extend_from_slice(self.service.as_bytes());
            let answer = Packet {
                src: key.1,
                dst: key.0,
                flags: ACK,
                seq: flow.next,
                ack: flow.expects,
                data,
            };
            flow.next = flow.next.wrapping_add(answer.data.len() as u32);
            flow.working = false;
            out.push(Effect::Send(answer.encode()));
            let copy = (answer, now + RETRANSMIT_FIRST, RETRANSMIT_FIRST, 0);
            flow.unacked.push_back(copy);
            if self.draining {
                let fin = Packet {
                    src: key.1,
                    dst: key.0,
                    flags: FIN | ACK,
                    seq: flow.next,
                    ack: flow.expects,
                    data: Vec::new(),
                };
                out.push(Effect::Send(fin.encode()));
            }
        }
        for flow in self.flows.values_mut() {
            for (packet, due, pause, copies) in &mut flow.unacked {
                if *due <= now {
                    out.push(Effect::Send(packet.encode()));
                    *pause = (*pause * 2).min(RETRANSMIT_MAX);
                    *due = now + *pause;
                    *copies += 1;
                }
            }
            flow.unacked.retain(|(.., copies)| *copies < 8);
        }
        out
    }

    /// Requests that it works on or has queued.
    pub fn under_way(&self) -> Vec<u64> {
        let running = self.running.iter().map(|(.., id)| *id);
        running
            .chain(self.queued.iter().map(|(_, id)| *id))
            .collect()
    }

    /// Flows that are open here.
    pub fn holds(&self, key: &(End, End)) -> bool {
        self.flows.get(key).is_some_and(|flow| flow.open)
    }
}

//! The agent's decisions: which packets its server gets, and what becomes of the others.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::id::{Incarnation, Sequence, Slots};
use crate::packet::Flow;

use super::held::Held;
use super::message::{Announce, Forward, Message, Owner};
use super::note::{Note, Topic};
use super::pace::Meter;
use super::roster::{Member, State};
use super::segment::{Kind, Segment};
use super::snapshot::{Saved, Snapshot};

/// How often [`Agent::tick`] is meant to be called.
pub const TICK: Duration = Duration::from_millis(50);
/// A tick that comes later than this shows that the process stood still.
const PAUSE: Duration = Duration::from_millis(400);
/// Time between announcements to each balancer.
const ANNOUNCE_EVERY: Duration = Duration::from_millis(400);
/// Packets at the server whose return is still possible.
const PENDING_MAX: usize = 8192;
/// Flows without packets are forgotten after this time: the longest life of a flow.
const FORGET_FLOW_AFTER: Duration = Duration::from_secs(65);
/// Balancers that send nothing for this long are forgotten.
const FORGET_BALANCER_AFTER: Duration = Duration::from_secs(60);
/// Time between checks whether a snapshot of the open flows is due.
const SAVE_CHECK_EVERY: Duration = Duration::from_millis(500);
/// Flows younger than this are not saved: flows of a single request have ended by then.
const SAVE_AGE: Duration = Duration::from_millis(500);
/// A snapshot is due when the flows that it lacks, times the time that they have been at risk, is
/// this long: the fewer flows, the longer it waits.
const SAVE_RISK: Duration = Duration::from_secs(4);
/// Flows whose requests may be repeated that are as urgent to save as one whose requests may not:
/// their clients lose a round trip, not a request.
const REPEATABLE_PER_ONCE: u32 = 10;
/// A snapshot is due at the latest after this time, because clients accept a reset only near their
/// last acknowledgement.
const SAVE_EVERY: Duration = Duration::from_secs(10);
/// Most flows in a snapshot, which keeps it far below the largest object of a directory.
const SAVE_MAX: usize = 10_000;
/// Times that a new flow is passed on by agents whose servers have all slots in use.
const PASSES_MAX: u8 = 2;
/// Requests for each slot above which a server gets no new flows: one runs and one waits, so that
/// the next one would wait for longer than it runs.
const REQUESTS_PER_SLOT: u32 = 2;
/// Heartbeat periods without a heartbeat after which the server gets no new flows.
const SILENT_PERIODS: u32 = 3;

/// What the shell has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Give a packet to the server, marked with a token that its return carries.
    Deliver {
        /// The mark.
        token: u32,
        /// The packet.
        packet: Vec<u8>,
    },
    /// Send a server's packet to its client.
    Client(SocketAddr, Vec<u8>),
    /// Send a message to a balancer or an agent.
    Send(SocketAddr, Message),
    /// Reset the client's end of a flow.
    Reset {
        /// The flow.
        flow: Flow,
        /// Sequence number that the client accepts.
        sequence: u32,
    },
    /// Store the agent's record in the directory.
    Publish(Member),
    /// Store the open flows in the directory.
    Save(Snapshot),
    /// Record the time from a client's data to the first data of the answer.
    Latency(Duration),
    /// Log a decision or a change.
    Note(Note),
}

/// What a server says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Identity of the server.
    pub server: String,
    /// Start of the server's process in Unix milliseconds; zero if it doesn't say.
    pub started: u64,
    /// Its service.
    pub service: String,
    /// Ready or draining.
    pub state: State,
    /// Requests that it works on at the same time.
    pub slots: Slots,
    /// Increases with each heartbeat of one process.
    pub sequence: u64,
}

/// Whether a heartbeat was used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Outcome {
    /// It describes the server now.
    Accepted,
    /// It was sent before one that arrived earlier.
    Outdated,
}

/// A packet that the server may return.
#[derive(Debug)]
struct Pending {
    token: u32,
    service: String,
    origin: SocketAddr,
    lookup: bool,
    passes: u8,
    complete: bool,
    at_most_once: bool,
    candidates: Vec<SocketAddr>,
}

/// An agent.
#[derive(Debug)]
pub struct Agent {
    member: Member,
    /// Last heartbeat number of the server's process.
    server_sequence: u64,
    heard: Option<Instant>,
    heartbeat_every: Duration,
    flows: HashMap<Flow, Held>,
    /// Slot `token % PENDING_MAX`.
    pending: Vec<Option<Pending>>,
    next_token: u32,
    balancers: HashMap<SocketAddr, Instant>,
    announce_due: Instant,
    expire_due: Instant,
    /// How the server answers.
    meter: Meter,
    save_check: Instant,
    save_due: Instant,
    /// Clients' ends in the last snapshot.
    saved: HashSet<SocketAddr>,
    /// Flows missing in the last snapshot, times the time since each was found missing.
    risk: Duration,
    /// Snapshot of an earlier run whose server isn't known to live on or to have ended yet.
    former: Option<Snapshot>,
    ticked: Instant,
}

impl Agent {
    /// An agent at `address` beside a server of `service`.
    pub fn new(
        address: SocketAddr,
        service: String,
        incarnation: Incarnation,
        heartbeat_every: Duration,
        now: Instant,
    ) -> Self {
        Self {
            member: Member {
                agent: address,
                incarnation,
                sequence: Sequence(0),
                service,
                server: String::new(),
                started: 0,
                state: State::Waiting,
                slots: Slots(1),
            },
            server_sequence: 0,
            heard: None,
            heartbeat_every,
            flows: HashMap::new(),
            pending: (0..PENDING_MAX).map(|_| None).collect(),
            next_token: 1,
            balancers: HashMap::new(),
            announce_due: now,
            expire_due: now,
            meter: Meter::default(),
            save_check: now,
            save_due: now + SAVE_EVERY,
            saved: HashSet::new(),
            risk: Duration::ZERO,
            former: None,
            ticked: now,
        }
    }

    /// The agent's record.
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// Number of flows that the server holds.
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Number of balancers known.
    pub fn balancers(&self) -> usize {
        self.balancers.len()
    }

    /// Requests that wait for an answer.
    pub fn busy(&self, now: Instant) -> u32 {
        self.flows.values().filter(|held| held.busy(now)).count() as u32
    }

    /// Sets the time between the server's heartbeats.
    pub fn expect_heartbeats(&mut self, every: Duration) {
        self.heartbeat_every = every;
    }

    /// Adds a balancer to announce to.
    pub fn meet(&mut self, balancer: SocketAddr, now: Instant) {
        if self.balancers.insert(balancer, now).is_none() {
            self.announce_due = now;
        }
    }

    /// Takes over the snapshot that an earlier run of this agent saved.
    pub fn restore(&mut self, snapshot: Snapshot, now: Instant, out: &mut Vec<Output>) {
        self.former = Some(snapshot);
        self.settle_former(now, out);
    }

    /// Keeps the flows of the former snapshot if their server lives, or else resets them.
    fn settle_former(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.member.server.is_empty() {
            return;
        }
        let Some(former) = self.former.take() else {
            return;
        };
        let alive = former.process == self.member.process();
        out.push(note(
            Topic::SnapshotRestored,
            format!("flows={} server_alive={alive}", former.flows.len()),
        ));
        for saved in former.flows {
            let flow = saved.flow();
            if !alive {
                self.reset(flow, saved.acknowledged, "server_ended_earlier", out);
                continue;
            }
            let held = self
                .flows
                .entry(flow)
                .or_insert_with(|| Held::new(None, now));
            held.open = true;
            held.acknowledged = held.acknowledged.max(saved.acknowledged);
        }
    }

    /// A heartbeat of the server.
    pub fn heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> Outcome {
        let same =
            heartbeat.server == self.member.server && heartbeat.started == self.member.started;
        let late = same && heartbeat.sequence <= self.server_sequence;
        if heartbeat.started < self.member.started || late {
            out.push(note(
                Topic::HeartbeatIgnored,
                format!(
                    "server={} started={} sequence={} reason=outdated",
                    heartbeat.server, heartbeat.started, heartbeat.sequence
                ),
            ));
            return Outcome::Outdated;
        }
        if !same && !self.member.server.is_empty() {
            self.server_ended("replaced", out);
        }
        self.server_sequence = heartbeat.sequence;
        self.heard = Some(now);
        let mut member = self.member.clone();
        member.server = heartbeat.server;
        member.started = heartbeat.started;
        member.service = heartbeat.service;
        member.slots = heartbeat.slots;
        member.state = heartbeat.state;
        self.update(member, "heartbeat", now, out);
        self.settle_former(now, out);
        Outcome::Accepted
    }

    /// The server says that it ends.
    pub fn left(&mut self, server: &str, now: Instant, out: &mut Vec<Output>) {
        if server != self.member.server {
            out.push(note(
                Topic::HeartbeatIgnored,
                format!("server={server} reason=not_the_current_server"),
            ));
            return;
        }
        self.server_ended("left", out);
        self.set_state(State::Gone, "left", now, out);
    }

    /// This process is about to stop: no new flows.
    pub fn stop(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.member.state == State::Ready {
            self.set_state(State::Waiting, "stopping", now, out);
        }
        self.announce(now, out);
    }

    /// A message from a balancer or an agent.
    pub fn message(
        &mut self,
        from: SocketAddr,
        message: Message,
        decode: impl Fn(&[u8]) -> Option<Segment>,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        match message {
            Message::Forward(forward) => {
                if let Some(segment) = decode(&forward.packet) {
                    self.packet(segment, forward, now, out);
                }
            }
            Message::Balancers(balancers) => {
                for balancer in balancers {
                    self.meet(balancer, now);
                }
            }
            Message::Owner(_)
            | Message::Exhausted(_)
            | Message::Announce(_)
            | Message::Digest(_) => {
                out.push(note(
                    Topic::MessageIgnored,
                    format!("from={from} reason=not_for_an_agent"),
                ));
            }
        }
    }

    /// A client's packet.
    fn packet(
        &mut self,
        segment: Segment,
        mut forward: Forward,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        if self.member.state == State::Gone {
            self.pass(segment, forward, "server_gone", out);
            return;
        }
        let flow = segment.flow;
        if segment.opens() {
            let held = self.flows.contains_key(&flow);
            let wrong = forward.service != self.member.service;
            if wrong || (!held && self.member.state != State::Ready) {
                self.pass(segment, forward, "not_accepting", out);
                return;
            }
            let busy = self.busy(now) >= self.member.slots.0;
            let others = forward.passes < PASSES_MAX && !forward.candidates.is_empty();
            if !held && (self.full(&segment, now) || busy && others) {
                forward.passes += 1;
                self.pass(segment, forward, "busy", out);
                return;
            }
            let held = self
                .flows
                .entry(flow)
                .or_insert_with(|| Held::new(Some(forward.origin), now));
            held.at_most_once = forward.at_most_once;
        } else {
            let held = self
                .flows
                .entry(flow)
                .or_insert_with(|| Held::new(Some(forward.origin), now));
            held.acknowledged = segment.acknowledgement;
            held.at_most_once = forward.at_most_once;
            held.seen = now;
            held.asks(&segment, now);
            if forward.lookup {
                held.origin = Some(forward.origin);
                held.asked = !held.open;
                if held.open {
                    let owner = owner(flow, &self.member, None);
                    out.push(Output::Send(forward.origin, Message::Owner(owner)));
                }
            }
            if segment.kind == Kind::Reset {
                self.flows.remove(&flow);
            }
        }
        let token = self.next_token;
        self.next_token = self.next_token.wrapping_add(1).max(1);
        self.pending[token as usize % PENDING_MAX] = Some(Pending {
            token,
            service: forward.service,
            origin: forward.origin,
            lookup: forward.lookup,
            passes: forward.passes,
            complete: forward.complete,
            at_most_once: forward.at_most_once,
            candidates: forward.candidates,
        });
        out.push(Output::Deliver {
            token,
            packet: forward.packet,
        });
    }

    /// Whether the server has too many requests for another flow. A copy of an opening packet
    /// belongs to a request that is late already, so it gets a slot only if one is free.
    fn full(&self, segment: &Segment, now: Instant) -> bool {
        let copy = segment.acknowledgement > 0;
        let limit = if copy { 1 } else { REQUESTS_PER_SLOT };
        self.busy(now) >= limit * self.member.slots.0
    }

    /// Gives a packet that the server doesn't take to the next candidate.
    fn pass(
        &mut self,
        segment: Segment,
        mut forward: Forward,
        reason: &str,
        out: &mut Vec<Output>,
    ) {
        if forward.candidates.is_empty() {
            out.push(note(
                Topic::Exhausted,
                format!(
                    "flow={} kind={} reason={reason}",
                    segment.flow, segment.kind
                ),
            ));
            out.push(Output::Send(forward.origin, Message::Exhausted(forward)));
            return;
        }
        let next = forward.candidates.remove(0);
        if segment.opens() {
            out.push(note(
                Topic::Passed,
                format!("flow={} to={next} reason={reason}", segment.flow),
            ));
        }
        out.push(Output::Send(next, Message::Forward(forward)));
    }

    /// A packet that the server returned because it doesn't take it.
    pub fn returned(
        &mut self,
        segment: Segment,
        token: u32,
        packet: Vec<u8>,
        out: &mut Vec<Output>,
    ) {
        let slot = &mut self.pending[token as usize % PENDING_MAX];
        let Some(pending) = slot.take_if(|pending| pending.token == token) else {
            out.push(note(
                Topic::Dropped,
                format!(
                    "flow={} reason=returned_too_late token={token}",
                    segment.flow
                ),
            ));
            return;
        };
        let held = self.flows.remove(&segment.flow);
        if held.is_some_and(|held| held.open) && !segment.opens() {
            // The server held the flow and no longer does: nobody else can.
            self.reset(segment.flow, segment.acknowledgement, "server_lost_it", out);
            return;
        }
        let forward = Forward {
            service: pending.service,
            origin: pending.origin,
            lookup: pending.lookup,
            candidates: pending.candidates,
            passes: pending.passes,
            complete: pending.complete,
            at_most_once: pending.at_most_once,
            packet,
        };
        self.pass(segment, forward, "returned", out);
    }

    /// A packet of the server to a client.
    pub fn outbound(
        &mut self,
        segment: Segment,
        packet: Vec<u8>,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let flow = segment.flow;
        let held = self
            .flows
            .entry(flow)
            .or_insert_with(|| Held::new(None, now));
        held.seen = now;
        let accepted = (segment.kind == Kind::Accept).then_some(segment.sequence);
        if segment.kind != Kind::Accept {
            held.open = true;
            if segment.length > 0 {
                if let Some(since) = held.waiting.take() {
                    let time = now.saturating_duration_since(since);
                    self.meter.record(Some(time), now);
                    out.push(Output::Latency(time));
                }
            }
            if let Some(since) = held.waiting.take_if(|_| segment.ends()) {
                // The end of a flow may overtake the answer, which its sequence number counts.
                let answered =
                    segment.kind == Kind::Finish && segment.sequence != held.acknowledged;
                let time = answered.then(|| now.saturating_duration_since(since));
                self.meter.record(time, now);
            }
        }
        held.finished |= segment.kind == Kind::Finish;
        if accepted.is_some() || held.asked {
            held.asked = false;
            if let Some(origin) = held.origin {
                let owner = owner(flow, &self.member, accepted);
                out.push(Output::Send(origin, Message::Owner(owner)));
            }
        }
        if segment.kind == Kind::Reset {
            self.flows.remove(&flow);
        }
        out.push(Output::Client(flow.source, packet));
    }

    /// Runs everything that is due.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        let pause = now.saturating_duration_since(self.ticked);
        self.ticked = now;
        if pause > PAUSE {
            out.push(note(
                Topic::Resumed,
                format!("pause_ms={}", pause.as_millis()),
            ));
            self.heard = self.heard.map(|heard| heard + pause);
        }
        let silent = self.heard.is_some_and(|heard| {
            now.saturating_duration_since(heard) > self.heartbeat_every * SILENT_PERIODS
        });
        if silent && self.member.state == State::Ready {
            self.set_state(State::Waiting, "heartbeats_missing", now, out);
        }
        if now >= self.announce_due {
            self.announce(now, out);
        }
        if now >= self.save_check {
            self.save_check = now + SAVE_CHECK_EVERY;
            self.save(now, out);
        }
        if now >= self.expire_due {
            self.expire_due = now + Duration::from_secs(1);
            self.flows
                .retain(|_, held| now.saturating_duration_since(held.seen) < FORGET_FLOW_AFTER);
            self.balancers
                .retain(|_, heard| now.saturating_duration_since(*heard) < FORGET_BALANCER_AFTER);
        }
    }

    /// Saves the open flows if too many are missing in the last snapshot for too long.
    fn save(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.former.is_some() || self.member.server.is_empty() {
            return;
        }
        let lasting =
            |held: &Held| held.lasts() && now.saturating_duration_since(held.since) >= SAVE_AGE;
        let open = self.flows.iter().filter(|(_, held)| lasting(held));
        let missing = open
            .clone()
            .filter(|(flow, _)| !self.saved.contains(&flow.source));
        let (once, repeatable): (Vec<_>, Vec<_>) = missing.partition(|(_, held)| held.at_most_once);
        self.risk += SAVE_CHECK_EVERY * once.len() as u32;
        self.risk += SAVE_CHECK_EVERY * repeatable.len() as u32 / REPEATABLE_PER_ONCE;
        if self.risk < SAVE_RISK && now < self.save_due {
            return;
        }
        let mut flows: Vec<_> = open
            .map(|(flow, held)| Saved {
                client: flow.source,
                address: flow.destination,
                acknowledged: held.acknowledged,
            })
            .collect();
        flows.sort_unstable();
        flows.truncate(SAVE_MAX);
        self.save_due = now + SAVE_EVERY;
        self.risk = Duration::ZERO;
        if flows.is_empty() && self.saved.is_empty() {
            return;
        }
        self.saved = flows.iter().map(|saved| saved.client).collect();
        out.push(Output::Save(Snapshot {
            process: self.member.process(),
            flows,
        }));
    }

    fn announce(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.announce_due = now + ANNOUNCE_EVERY;
        let announce = Announce {
            member: self.member.clone(),
            busy: self.busy(now),
            flows: self.flows.values().filter(|held| held.lasts()).count() as u32,
            pace: self.meter.pace(now),
            balancers: self.balancers.len() as u32,
        };
        for balancer in self.balancers.keys() {
            out.push(Output::Send(*balancer, Message::Announce(announce.clone())));
        }
    }

    fn set_state(&mut self, state: State, cause: &str, now: Instant, out: &mut Vec<Output>) {
        let mut member = self.member.clone();
        member.state = state;
        self.update(member, cause, now, out);
    }

    fn update(&mut self, mut member: Member, cause: &str, now: Instant, out: &mut Vec<Output>) {
        if member == self.member {
            return;
        }
        member.sequence = Sequence(self.member.sequence.0 + 1);
        out.push(note(
            Topic::ServerState,
            format!(
                "server={} service={} from={} to={} cause={cause}",
                member.server, member.service, self.member.state, member.state
            ),
        ));
        self.member = member;
        out.push(Output::Publish(self.member.clone()));
        self.announce(now, out);
    }

    /// Resets the flows of a server that has ended.
    fn server_ended(&mut self, cause: &str, out: &mut Vec<Output>) {
        self.saved.clear();
        self.meter.clear();
        let flows: Vec<_> = self
            .flows
            .drain()
            .filter(|(_, held)| held.lasts())
            .collect();
        for (flow, held) in flows {
            self.reset(flow, held.acknowledged, cause, out);
        }
    }

    fn reset(&self, flow: Flow, sequence: u32, reason: &str, out: &mut Vec<Output>) {
        out.push(note(Topic::Reset, format!("flow={flow} reason={reason}")));
        out.push(Output::Reset { flow, sequence });
    }
}

fn owner(flow: Flow, member: &Member, accepted: Option<u32>) -> Owner {
    Owner {
        client: flow.source,
        address: flow.destination,
        agent: member.agent,
        process: (!member.server.is_empty()).then(|| member.process()),
        accepted,
    }
}

fn note(topic: Topic, text: String) -> Output {
    Output::Note(Note::new(topic, text))
}

//! The agent: delivers packets to its server and forwards those that the server doesn't take.

mod delivery;
mod persistence;
mod record;
mod server;

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::hash::hash_bytes;
use crate::id::{Era, Incarnation, Sequence, Slots};
use crate::packet::Flow;
use crate::steering::agent_flow::AgentFlow;
use crate::steering::log_event::{LogEvent, Reason, Topic};
use crate::steering::message::{Message, Owner};
use crate::steering::response_stats::ResponseMeter;
use crate::steering::roster::{reachable, Member, Process, State};
use crate::steering::segment::{Kind, Segment};
use crate::steering::snapshot::Snapshot;

use delivery::Pending;
use persistence::{SAVE_CHECK_INTERVAL, SAVE_INTERVAL};
use record::{ReturnedPacket, WaitingLookup};

/// Interval at which [`Agent::tick`] has to be called.
pub const TICK: Duration = Duration::from_millis(50);
/// A longer time between two ticks means that the process was suspended.
const PAUSE_MIN: Duration = Duration::from_millis(400);
/// Number of delivered packets that are kept for their return. A newer packet replaces the oldest.
const PENDING_MAX: usize = 8192;
/// Flows without packets are removed after this time: the longest lifetime of a flow.
const FLOW_EXPIRY: Duration = Duration::from_secs(65);
/// A balancer is removed when a list arrives that no longer names it, this long after the last one
/// that did.
const BALANCER_EXPIRY: Duration = Duration::from_secs(60);
/// A balancer that no list has named for this long makes the agent ask for a list, early enough for
/// several lost answers.
const BALANCER_RENEWAL: Duration = Duration::from_secs(20);
/// Heartbeat intervals without a heartbeat after which the server gets no new flows.
const MISSED_HEARTBEATS_MAX: u32 = 3;

/// An action for the process that runs the state machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Deliver a packet to the server.
    Deliver {
        /// Identifies the packet if the server returns it.
        token: u32,
        /// The client's packet, unchanged.
        packet: Vec<u8>,
    },
    /// Send a packet of the server to this client.
    Client(SocketAddr, Vec<u8>),
    /// Send a message to a balancer or an agent.
    Send(SocketAddr, Message),
    /// Send a reset to the client of a flow.
    Reset {
        /// The flow, with the client as its source.
        flow: Flow,
        /// Sequence number of the reset: the acknowledgement number of the client's last packet, as
        /// clients ignore other resets.
        sequence: u32,
    },
    /// Store the agent's record in the directory.
    Publish(Member),
    /// Store the open flows in the directory.
    Save(Snapshot),
    /// A balancer has seen the store in this era: write the record and the snapshot again if they
    /// were written in an earlier one.
    StoreEra(Era),
    /// Record the time from a request to the first data of its answer.
    Latency(Duration),
    /// Log and count a decision or a state change.
    Log(LogEvent),
}

/// The server beside an agent, as the agent's settings name it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Server {
    /// Service that the server belongs to.
    pub service: String,
    /// Address at which the server receives packets.
    pub address: SocketAddr,
}

/// A server's report of its own state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// Name of the server.
    pub server: String,
    /// Address at which the server receives packets.
    pub address: SocketAddr,
    /// Start of the server's process in Unix milliseconds; zero if not reported.
    pub started: u64,
    /// Service that the server belongs to.
    pub service: String,
    /// Whether the server takes new flows or drains.
    pub state: State,
    /// Number of requests that the server processes concurrently.
    pub slots: Slots,
    /// Increases with each heartbeat of the same process.
    pub sequence: u64,
}

/// Whether a heartbeat was applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum HeartbeatOutcome {
    /// The agent's record now has the state of this heartbeat.
    Accepted,
    /// A later heartbeat, or one of a later process, was applied before.
    Outdated,
    /// The heartbeat names another service or address than those of the agent's server.
    Foreign,
}

/// The state machine of an agent, which runs beside one backend server.
#[derive(Debug)]
pub struct Agent {
    /// Its service is always that of the agent's server.
    member: Member,
    /// Whether the agent is about to stop. Its server gets no new flows from then on.
    stopping: bool,
    /// Address of the server. Heartbeats from elsewhere are another writer's.
    server_address: SocketAddr,
    /// Sequence number of the last heartbeat of the server's process.
    server_sequence: u64,
    /// When the last heartbeat arrived, on time or late.
    last_heartbeat: Option<Instant>,
    /// The server's process certainly ran until then: a heartbeat is sent after the answer to the one
    /// before. None until a second heartbeat has arrived that didn't wait together with the first.
    ran_until: Option<Instant>,
    /// Start of the server's silence: its last heartbeat, moved forward by pauses of this process.
    silent_since: Option<Instant>,
    /// The last ignored heartbeat of a process that started earlier than the current one.
    earlier_heartbeat: Option<Heartbeat>,
    heartbeat_interval: Duration,
    flows: HashMap<Flow, AgentFlow>,
    /// Flows that the server doesn't hold, with a packet of each that it has returned. It has got no
    /// opening packet of them since.
    returned: HashMap<Flow, ReturnedPacket>,
    /// Whether it is known what snapshot an earlier run has saved.
    snapshot_read: bool,
    /// Until when lookups wait for the snapshot; none once it has been read.
    lookups_wait_until: Option<Instant>,
    /// Lookups that wait for the snapshot.
    waiting_lookups: Vec<WaitingLookup>,
    /// Delivered packets; the packet of `token` is at `token % PENDING_MAX`.
    pending: Vec<Option<Pending>>,
    next_token: u32,
    /// When each balancer was last named to the agent.
    balancers: BTreeMap<SocketAddr, Instant>,
    /// Number of announcements that asked for a list of balancers.
    renewals: usize,
    announce_due: Instant,
    expire_due: Instant,
    /// Measures the server's recent answers.
    meter: ResponseMeter,
    save_check: Instant,
    save_due: Instant,
    /// Client addresses of the flows in the last snapshot.
    saved: HashSet<SocketAddr>,
    /// Flows missing from the last snapshot, weighted by the time that each has been missing.
    unsaved_flow_time: Duration,
    /// Snapshot of an earlier run, until the agent knows whether its server still runs.
    previous_snapshot: Option<Snapshot>,
    last_tick: Instant,
}

impl Agent {
    /// Creates an agent that receives packets at `address` for `server`.
    pub fn new(
        address: SocketAddr,
        server: Server,
        incarnation: Incarnation,
        heartbeat_interval: Duration,
        now: Instant,
    ) -> Self {
        Self {
            member: Member {
                agent: address,
                incarnation,
                sequence: Sequence(0),
                service: server.service,
                server: String::new(),
                started: 0,
                state: State::Waiting,
                slots: Slots(1),
            },
            stopping: false,
            server_address: server.address,
            server_sequence: 0,
            last_heartbeat: None,
            ran_until: None,
            silent_since: None,
            earlier_heartbeat: None,
            heartbeat_interval,
            flows: HashMap::new(),
            returned: HashMap::new(),
            snapshot_read: true,
            lookups_wait_until: None,
            waiting_lookups: Vec::new(),
            pending: (0..PENDING_MAX).map(|_| None).collect(),
            next_token: first_token(incarnation),
            balancers: BTreeMap::new(),
            renewals: 0,
            announce_due: now,
            expire_due: now,
            meter: ResponseMeter::default(),
            save_check: now,
            save_due: now + SAVE_INTERVAL,
            saved: HashSet::new(),
            unsaved_flow_time: Duration::ZERO,
            previous_snapshot: None,
            last_tick: now,
        }
    }

    /// The record that the agent publishes and announces.
    pub fn member(&self) -> &Member {
        &self.member
    }

    /// Number of tracked flows, which includes those that the server hasn't accepted yet.
    pub fn flows(&self) -> usize {
        self.flows.len()
    }

    /// Number of balancers that the agent announces itself to.
    pub fn balancers(&self) -> usize {
        self.balancers.len()
    }

    /// Number of requests at the server that have no answer yet.
    pub fn busy(&self, now: Instant) -> u32 {
        self.flows
            .values()
            .filter(|tracked| tracked.has_pending_request(now))
            .count() as u32
    }

    /// Sets the expected time between heartbeats of the server.
    pub fn set_heartbeat_interval(&mut self, interval: Duration) {
        self.heartbeat_interval = interval;
    }

    /// Adds a balancer to announce to, or renews it. An address that no datagram can reach is ignored.
    pub fn add_balancer(&mut self, balancer: SocketAddr, now: Instant) {
        if reachable(&balancer) && self.balancers.insert(balancer, now).is_none() {
            self.announce_due = now;
        }
    }

    /// Handles a message from a balancer or another agent. `decode` reads a packet's header.
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
                    self.client_packet(segment, forward, false, now, out);
                }
            }
            Message::Verify(forward) => {
                if let Some(segment) = decode(&forward.packet) {
                    self.client_packet(segment, forward, true, now, out);
                }
            }
            Message::Balancers(balancers) => {
                for balancer in balancers {
                    self.add_balancer(balancer, now);
                }
                self.balancers
                    .retain(|_, named| now.saturating_duration_since(*named) < BALANCER_EXPIRY);
            }
            Message::Superseded(held) => self.supersede(held, now, out),
            Message::StoreEra(era) => out.push(Output::StoreEra(era)),
            Message::Owner(_)
            | Message::Exhausted(_)
            | Message::Announce(_)
            | Message::Digest(_) => {
                out.push(log_event(
                    Topic::MessageIgnored,
                    format!("from={from} reason=not_for_an_agent"),
                ));
            }
        }
    }

    /// Handles a packet from the server to a client.
    pub fn server_packet(
        &mut self,
        segment: Segment,
        packet: Vec<u8>,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let flow = segment.flow;
        self.returned.remove(&flow);
        let tracked = self
            .flows
            .entry(flow)
            .or_insert_with(|| AgentFlow::new(None, now));
        tracked.last_packet_at = now;
        tracked.answered_at.get_or_insert(now);
        tracked.opening = false;
        let accepted = (segment.kind == Kind::Accept).then_some(segment.sequence);
        if let Some(sequence) = accepted {
            tracked.record_acceptance(sequence, now);
        }
        if segment.kind != Kind::Accept {
            tracked.open = true;
            if tracked.held_acknowledgement == 0 {
                tracked.held_acknowledgement = tracked.acknowledged;
            }
            if segment.length > 0 {
                if let Some(since) = tracked.request_since.take() {
                    let time = now.saturating_duration_since(since);
                    self.meter.record(Some(time), now);
                    out.push(Output::Latency(time));
                }
            }
            if let Some(since) = tracked.request_since.take_if(|_| segment.ends()) {
                // A finish may overtake the answer's data, but its sequence number counts that
                // data.
                let answered =
                    segment.kind == Kind::Finish && segment.sequence != tracked.acknowledged;
                let time = answered.then(|| now.saturating_duration_since(since));
                self.meter.record(time, now);
            }
        }
        tracked.finished |= segment.kind == Kind::Finish;
        let established = !matches!(segment.kind, Kind::Accept | Kind::Reset);
        let reports = match accepted {
            Some(_) => tracked.origin.into_iter().collect(),
            None if established => std::mem::take(&mut tracked.lookups),
            None => Vec::new(),
        };
        for balancer in reports {
            let owner = owner(flow, tracked, &self.member, accepted);
            out.push(Output::Send(balancer, Message::Owner(owner)));
        }
        if segment.kind == Kind::Reset {
            self.flows.remove(&flow);
        }
        out.push(Output::Client(flow.source, packet));
    }

    /// Runs everything that is due: checks the heartbeats, announces, saves and expires.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        let pause = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if pause > PAUSE_MIN {
            out.push(log_event(
                Topic::Resumed,
                format!("pause_ms={}", pause.as_millis()),
            ));
            self.silent_since = self.silent_since.map(|since| since + pause);
        }
        if self.lookups_wait_until.is_some_and(|until| now >= until) {
            self.resume_lookups(now, out);
        }
        if self.heartbeats_missing(now) && self.member.state == State::Ready {
            self.set_state(State::Waiting, "heartbeats_missing", now, out);
        }
        if now >= self.announce_due {
            self.announce(now, out);
        }
        if now >= self.save_check {
            self.save_check = now + SAVE_CHECK_INTERVAL;
            self.save(now, out);
        }
        if now >= self.expire_due {
            self.expire_due = now + Duration::from_secs(1);
            self.expire_records(now);
        }
    }

    fn reset(&self, ended: EndedFlow, reason: Reason, now: Instant, out: &mut Vec<Output>) {
        let heard = self
            .last_heartbeat
            .map(|at| now.saturating_duration_since(at).as_millis().to_string());
        let evidence = format!(
            "process={} heartbeat_ms={} known_from={}",
            ended.process,
            heard.as_deref().unwrap_or("none"),
            if ended.answered {
                "packets"
            } else {
                "snapshot"
            }
        );
        out.push(Output::Log(LogEvent::reset(ended.flow, reason, evidence)));
        out.push(Output::Reset {
            flow: ended.flow,
            sequence: ended.acknowledged,
        });
    }
}

/// Number of the first packet that a run delivers: a suspended server may return packets of an earlier
/// run.
fn first_token(incarnation: Incarnation) -> u32 {
    (hash_bytes(&incarnation.0.to_le_bytes()) as u32).max(1)
}

/// A flow that has ended with its server process.
struct EndedFlow {
    flow: Flow,
    /// Last acknowledgement number from the client.
    acknowledged: u32,
    /// The process that held the flow.
    process: Process,
    /// Whether the server has sent packets of the flow through this run of the agent. Otherwise the
    /// flow is known from a snapshot only.
    answered: bool,
}

fn owner(flow: Flow, tracked: &AgentFlow, member: &Member, accepted: Option<u32>) -> Owner {
    Owner {
        client: flow.source,
        address: flow.destination,
        agent: member.agent,
        process: tracked.confirmed.then(|| member.process()),
        accepted,
    }
}

fn log_event(topic: Topic, text: String) -> Output {
    Output::Log(LogEvent::new(topic, text))
}

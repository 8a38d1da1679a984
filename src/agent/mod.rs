//! The agent: a state machine without I/O that decides which flows its backend server gets.
//!
//! Every flow maps to a bucket of its service, and the member ranked highest for that bucket is the
//! flow's arbiter. The arbiter accepts a new flow for its own server, passes it on to another
//! member or refuses it, and it may do so only while its lease, renewed by heartbeats to a balancer
//! (the collector), is valid. While the membership changes, members can differ in who the arbiter
//! is; a new flow is then claimed from every possible arbiter first. The owner of an established
//! flow that is missing from the flow table is looked up at the other members.
//!
//! The daemon passes in packets, control messages, server events and the time, and carries out the
//! returned [`Action`]s and [`Output`]s.

mod claim;
mod dispatch;
mod lookup;
mod membership;
mod placement;
pub mod recovery;
mod sampling;
mod task;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::SeedableRng;
use strum::{Display, IntoStaticStr};

use crate::admission::{Admission, Load};
use crate::config::{self, IdleTimeouts, Semantics};
use crate::decision::{self, Cause, Verdict};
use crate::encap::{self, Header};
use crate::flow::{self, Owner, Phase};
use crate::heartbeat::Heartbeat;
use crate::id::{Bucket, Domain, Generation, Incarnation, Member, Sequence, ServiceTag};
use crate::member::State;
use crate::packet::{self, Flow, Packet, Protocol};
use crate::server::{self, Announcement};
use crate::view::{self, View};
use crate::wire::{Body, Message};

use recovery::Recovery;
use task::{Confirmation, HeldPacket, Task};

/// Interval of flow expiry and load sampling.
const MAINTENANCE_PERIOD: Duration = Duration::from_secs(1);
/// Set in the ids of lookups that only ask a recorded owner to confirm its ownership.
const CONFIRMATION_ID_FLAG: u64 = 1 << 63;

/// Identity, addresses and peers of an agent; fixed for the run of the process.
#[derive(Clone)]
pub struct Settings {
    /// Name under which the agent and its server appear in the list of members.
    pub member: Member,
    /// Failure domain of the member, published in its record.
    pub domain: Domain,
    /// Address at which this agent receives control frames.
    pub control: SocketAddr,
    /// Address at which this agent receives encapsulated packets.
    pub data: SocketAddr,
    /// Number of this run of the agent. Invariant: higher than that of every earlier run.
    pub incarnation: Incarnation,
    /// Key that authenticates encapsulation headers. Only the daemon uses it.
    pub key: encap::Key,
    /// Control addresses of the balancers that heartbeats go to, the preferred one first. They stay
    /// in use as a last resort when an answer lists other balancers.
    pub collectors: Vec<SocketAddr>,
    /// Safety mechanisms in use; all of them outside tests.
    pub mechanisms: SafetyMechanisms,
}

/// Safety mechanisms that tests switch off to show that a check fails without them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SafetyMechanisms {
    /// Claim a new flow from all other possible arbiters before placing it.
    pub claims: bool,
    /// Look up the owner of an unknown established flow before adopting it.
    pub lookups: bool,
    /// Decide about new flows only with a valid lease.
    pub lease: bool,
    /// Keep refusals in the flow table, so that copies of a refused packet are refused too.
    pub refusals: bool,
    /// Give no new flows to a draining server.
    pub drain: bool,
    /// After a restart, wait for [`flow::DUPLICATE_WINDOW`] before deciding about flows whose
    /// requests run at most once, unless the server is still the same.
    pub restart_wait: bool,
}

impl Default for SafetyMechanisms {
    fn default() -> Self {
        Self {
            claims: true,
            lookups: true,
            lease: true,
            refusals: true,
            drain: true,
            restart_wait: true,
        }
    }
}

/// Why a packet is dropped; shown in snake case in log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum DropReason {
    /// An ICMP error about a flow that is not in the table.
    UnknownFlow,
    /// The header names another service, or the flow belongs to the service that had the address
    /// before.
    OtherService,
    /// The destination is not an address of the service in this agent's configuration.
    OtherAddress,
    /// The agent has no valid lease.
    Unleased,
    /// The agent is joining or doesn't serve the address, or an earlier run of it may have decided
    /// about the flow.
    NotReady,
    /// A claim or lookup of the flow is in progress.
    Pending,
    /// The limit on packets held for claims and lookups is reached.
    HeldFull,
    /// Too few hops remain to send the packet to another agent.
    HopLimit,
    /// The flow's request runs at most once and may already have run.
    OutcomeUnknown,
    /// The flow was refused; the client gets a TCP reset or an ICMP error.
    Refused,
    /// The run of the server that owned the flow has ended, or there is no server.
    ServerGone,
}

/// What the daemon does with the packet that it passed to [`Agent::handle_packet`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Deliver it to the local server.
    Deliver,
    /// Send it to another agent.
    Forward {
        /// The agent's data address.
        to: SocketAddr,
        /// The header to send it with.
        header: Header,
    },
    /// Nothing: the agent keeps a copy until a claim or lookup is answered.
    Hold,
    /// Drop it for this reason.
    Drop(DropReason),
}

/// Work for the daemon besides the [`Action`] on the packet passed in.
#[derive(Clone, Debug)]
pub enum Output {
    /// Deliver a held IP packet to the local server.
    Deliver(Vec<u8>),
    /// Send a held packet to another agent.
    Forward {
        /// The agent's data address.
        to: SocketAddr,
        /// The header to send it with.
        header: Header,
        /// The IP packet.
        packet: Vec<u8>,
    },
    /// Send an IP packet towards the client through the network fabric.
    Reply(Vec<u8>),
    /// Send a control message.
    Send {
        /// Control address of the receiver.
        to: SocketAddr,
        /// The message, not yet encoded.
        message: Message,
    },
    /// Log a decision about a flow.
    Decision(decision::Decision),
}

/// The local server as it last announced itself.
#[derive(Clone, Debug)]
struct Server {
    announcement: Announcement,
    /// Time of the last announcement.
    last_announced: Instant,
    /// Time of the first announcement of this run.
    started: Instant,
}

/// How far the agent has received the list of members of one collector.
#[derive(Clone, Copy, Debug)]
struct CollectorSync {
    collector: SocketAddr,
    collector_run: u64,
    version: u64,
}

/// The state of one agent and its decisions about flows. Does no I/O and reads no clock.
pub struct Agent {
    settings: Settings,
    rng: SmallRng,
    started: Instant,
    last_maintenance: Instant,

    server: Option<Server>,
    /// Number of server runs seen. Flows of earlier runs are not delivered to the current one.
    epoch: u32,
    /// The last run of the server seen, kept while the server is gone.
    last_server: Option<Incarnation>,
    load: Load,
    admission: Admission,

    /// The members of the service; `None` until the first announcement names the service.
    view: Option<View>,
    tag: ServiceTag,
    service: Option<config::Service>,
    generation: Generation,
    /// When the current configuration was adopted.
    config_adopted: Option<Instant>,

    heartbeat: Heartbeat,
    collector_sync: Option<CollectorSync>,
    sequence: Sequence,
    /// Recovery has ended, so the agent may be an arbiter.
    joined: bool,
    recovery: Option<Recovery>,
    /// Whether an earlier run of this agent is known.
    restarted: bool,
    /// The only run of the server that can have received recent datagrams from the earlier run of
    /// this agent, as the collector has reported it.
    former_server: Option<Incarnation>,
    /// Whether every member that the earlier run may have passed flows to answered the recovery.
    recovered: bool,
    /// Whether a later run of this agent is known. This run then decides nothing.
    superseded: bool,
    /// Whether the agent was told to take no new flows.
    draining: bool,
    /// Open flows as published in the record; `None` unless the agent drains.
    open_flows: Option<u32>,
    /// The server's run as published in the record, if no earlier one received recent datagrams.
    sole_server: Option<Incarnation>,

    flows: flow::Table,
    pending: task::Table,
    /// Members that may be left out of claims because they did not answer one, with the time of
    /// their last timeout.
    unresponsive: BTreeMap<Member, Instant>,
    /// When the lease was last renewed after a lapse, or the server was last lost.
    lease_lapsed: Option<Instant>,
    /// Lookups in progress that ask a recorded owner for confirmation.
    confirmations: BTreeMap<Flow, Confirmation>,
    last_id: u64,
}

impl Agent {
    /// Creates an agent without a server, in state down. It can join once a server announces
    /// itself. `seed` determines the sampled members and the hashes of the flow table.
    pub fn new(settings: Settings, seed: u64, now: Instant) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            started: now,
            last_maintenance: now,
            server: None,
            epoch: 0,
            last_server: None,
            load: Load::default(),
            admission: Admission::default(),
            view: None,
            tag: ServiceTag(0),
            service: None,
            generation: Generation(0),
            config_adopted: None,
            heartbeat: Heartbeat::new(settings.collectors.clone(), now),
            collector_sync: None,
            sequence: Sequence(0),
            joined: false,
            recovery: None,
            restarted: false,
            former_server: None,
            recovered: false,
            superseded: false,
            draining: false,
            open_flows: None,
            sole_server: None,
            flows: flow::Table::new(seed),
            pending: task::Table::default(),
            unresponsive: BTreeMap::new(),
            lease_lapsed: None,
            confirmations: BTreeMap::new(),
            last_id: 0,
            settings,
        }
    }

    /// Decides about a packet from the client that arrived with `header`.
    ///
    /// Packets of established flows of the current server take the short path here, which doesn't
    /// allocate; all others go through `dispatch`.
    pub fn handle_packet(
        &mut self,
        header: &Header,
        packet: &Packet<'_>,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> Action {
        let usable = self.server.is_some();
        if let Some(entry) = self.flows.get_mut(&packet.flow) {
            let owned = entry.owner == (Owner::Local { epoch: self.epoch });
            let opening =
                entry.phase != Phase::Established && packet.flow.protocol == Protocol::Tcp;
            if owned && usable && !opening {
                entry.touch(packet.kind, now);
                return Action::Deliver;
            }
        }
        self.dispatch(header, packet, now, out)
    }

    /// Whether the agent may decide about new flows.
    fn may_decide(&self, now: Instant) -> bool {
        if !self.settings.mechanisms.lease {
            return self.joined;
        }
        self.joined && !self.superseded && self.heartbeat.is_leased(now)
    }

    /// Whether an earlier run of this agent may have decided about the flow.
    fn may_have_decided(&self, flow: &Flow, now: Instant) -> bool {
        self.restarted && self.in_duplicate_window(now) && self.runs_at_most_once(flow)
    }

    fn in_duplicate_window(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) < flow::DUPLICATE_WINDOW
    }

    /// Whether a flow that the earlier run may have decided about goes to the local server: no
    /// other server can have run its request without another member knowing.
    fn returns_to_server(&self, flow: &Flow, now: Instant) -> bool {
        self.may_have_decided(flow, now) && self.has_same_server() && self.state() == State::Active
    }

    /// Whether no decision about a flow is allowed yet, because the earlier run may have delivered
    /// it and the current server would not recognise a copy.
    fn awaits_duplicates(&self, flow: &Flow, now: Instant) -> bool {
        self.settings.mechanisms.restart_wait
            && self.may_have_decided(flow, now)
            && !self.returns_to_server(flow, now)
    }

    /// Whether the local server is the only one that can have received recent datagrams from the
    /// earlier run. It recognises copies by their request ids.
    fn has_same_server(&self) -> bool {
        let current = self.server.as_ref().map(|s| s.announcement.incarnation);
        self.recovered && current.is_some() && current == self.former_server
    }

    /// The server's run, if no earlier run can have received datagrams whose copies may still
    /// arrive.
    fn server_if_sole(&self, now: Instant) -> Option<Incarnation> {
        let server = self.server.as_ref()?;
        let old = |since: Instant| now.saturating_duration_since(since) >= flow::DUPLICATE_WINDOW;
        let first = self.epoch == 1 && (!self.restarted || self.has_same_server());
        let sole = first || (old(server.started) && old(self.started));
        (self.joined && sole).then_some(server.announcement.incarnation)
    }

    /// Whether the flow's request must run at most once: any datagram flow, unless the service is
    /// configured as idempotent.
    fn runs_at_most_once(&self, flow: &Flow) -> bool {
        let semantics = self.service.as_ref().map(|service| service.semantics);
        flow.protocol == Protocol::Udp && semantics != Some(Semantics::Idempotent)
    }

    /// How long after a change of the membership members may still disagree about the flow's
    /// arbiter.
    fn arbiter_change_window(&self, flow: &Flow) -> Duration {
        if self.runs_at_most_once(flow) {
            view::AT_MOST_ONCE_WINDOW
        } else {
            view::SETTLING_WINDOW
        }
    }

    fn bucket(&self, flow: &Flow) -> Bucket {
        let buckets = self.service.as_ref().map(|service| service.buckets);
        crate::rank::bucket(flow, buckets.unwrap_or(config::BUCKETS_DEFAULT))
    }

    fn is_own(&self, member: &Member) -> bool {
        *member == self.settings.member
    }

    /// Whether this agent is the arbiter of the flow in its own view.
    fn is_arbiter(&self, flow: &Flow) -> bool {
        let view = self.view.as_ref();
        let arbiter = view.and_then(|view| view.arbiter(self.bucket(flow)));
        arbiter.is_some_and(|record| self.is_own(&record.member))
    }

    fn own_service(&self) -> Option<crate::id::Service> {
        let server = self.server.as_ref()?;
        Some(server.announcement.service.clone())
    }

    fn emit_decision(
        &self,
        flow: Flow,
        verdict: Verdict,
        cause: Cause,
        owner: Option<Member>,
        out: &mut Vec<Output>,
    ) {
        let Some(service) = self.own_service() else {
            return;
        };
        out.push(Output::Decision(decision::Decision {
            flow,
            service,
            generation: self.generation,
            verdict,
            cause,
            owner,
        }));
    }

    /// Emits the output for a packet that was held. There is none if it is held again or dropped.
    fn emit_held_packet(action: Action, held: HeldPacket, out: &mut Vec<Output>) {
        match action {
            Action::Deliver => out.push(Output::Deliver(held.bytes)),
            Action::Forward { to, header } => out.push(Output::Forward {
                to,
                header,
                packet: held.bytes,
            }),
            Action::Hold | Action::Drop(_) => {}
        }
    }

    /// Handles a control message of a balancer or another agent.
    pub fn handle_message(
        &mut self,
        from: SocketAddr,
        message: Message,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        match message.body {
            Some(Body::HeartbeatAck(ack)) => self.handle_heartbeat_ack(from, ack, now, out),
            Some(Body::Claim(claim)) => self.answer_claim(from, claim, now, out),
            Some(Body::ClaimAnswer(answer)) => self.handle_claim_answer(answer, now, out),
            Some(Body::Lookup(lookup)) => self.answer_lookup(from, lookup, now, out),
            Some(Body::LookupAnswer(answer)) => self.handle_lookup_answer(answer, now, out),
            Some(Body::Load(load)) => self.answer_load(from, load, now, out),
            Some(Body::LoadAnswer(answer)) => self.handle_load_answer(answer, now),
            Some(Body::Recover(recover)) => self.answer_recover(from, recover, now, out),
            Some(Body::RecoverAnswer(answer)) => self.handle_recover_answer(answer, now, out),
            Some(Body::Rumour(rumour)) => self.handle_rumour(from, &rumour, now, out),
            // The other messages are for balancers.
            _ => {}
        }
    }

    /// Runs what is due: heartbeats, repeats and timeouts, and maintenance once a second. The
    /// daemon calls it every 20 ms.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        let announced = self.server.as_ref().map(|server| server.last_announced);
        if announced
            .is_some_and(|at| now.saturating_duration_since(at) >= server::ANNOUNCEMENT_LIFETIME)
        {
            self.server_gone(now);
        }
        self.send_heartbeat(now, out);
        self.continue_tasks(now, out);
        self.continue_recovery(now, out);
        if now.saturating_duration_since(self.last_maintenance) >= MAINTENANCE_PERIOD {
            self.last_maintenance = now;
            self.maintain(now, out);
        }
    }

    /// Ends the lease and drops held packets, because another member may have taken over. The
    /// daemon calls it when it finds that the process was paused for longer than the lease.
    pub fn handle_resume(&mut self, now: Instant) {
        if self.settings.mechanisms.lease {
            self.heartbeat.end_lease();
            self.pending.clear();
        }
        if let Some(server) = &mut self.server {
            server.last_announced = now;
        }
        self.heartbeat.schedule_now(now);
    }

    fn idle_timeouts(&self) -> IdleTimeouts {
        let service = self.service.as_ref();
        service.map_or_else(IdleTimeouts::default, |service| service.idle_timeouts)
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn is_for_service(&self, name: &str) -> bool {
        let view = self.view.as_ref();
        view.is_some_and(|view| view.service().as_str() == name)
    }

    /// Starts draining: the server gets no new flows for the rest of this run of the agent.
    pub fn drain(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.draining {
            return;
        }
        self.draining = true;
        self.publish_record(now);
        self.send_heartbeat(now, out);
    }

    /// Publishes that this member is down, so that others take over without waiting for missed
    /// heartbeats.
    pub fn stop(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.server_gone(now);
        self.send_heartbeat(now, out);
    }

    /// State that the agent publishes in its record.
    pub fn published_state(&self) -> State {
        self.state()
    }

    /// Load of the local server by the agent's own count of flows, not by the server's report.
    pub fn server_load(&self) -> Load {
        self.load
    }

    /// Number of flows in the table, including refused ones and those of other members.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    fn service_name(&self) -> String {
        let view = self.view.as_ref();
        view.map(|view| view.service().to_string())
            .unwrap_or_default()
    }

    /// Repeats or ends claims and lookups that have timed out.
    fn continue_tasks(&mut self, now: Instant, out: &mut Vec<Output>) {
        for flow in self.pending.due(now) {
            let Some(pending) = self.pending.take(&flow) else {
                continue;
            };
            match pending.task {
                Task::Claim(..) => self.repeat_claim(flow, pending, now, out),
                Task::Lookup(_) => self.continue_lookup(flow, pending, now, out),
            }
        }
    }
}

fn send(to: SocketAddr, body: Body, out: &mut Vec<Output>) {
    let message = Message { body: Some(body) };
    out.push(Output::Send { to, message });
}

fn send_refusal(packet: &Packet<'_>, out: &mut Vec<Output>) {
    if let Some(bytes) = packet::refusal(packet) {
        out.push(Output::Reply(bytes));
    }
}

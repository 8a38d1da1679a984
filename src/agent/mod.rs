//! The core of the agent: decides which flows the local server gets.

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

/// Period of expiry and load sampling.
const MAINTENANCE_PERIOD: Duration = Duration::from_secs(1);
/// Marks the ids of messages that only confirm an owner.
const CONFIRMATION_ID_FLAG: u64 = 1 << 63;

/// Where the agent runs and whom it talks to.
#[derive(Clone)]
pub struct Settings {
    /// The member that the agent and its server form.
    pub member: Member,
    /// Its failure domain.
    pub domain: Domain,
    /// Address for control frames.
    pub control: SocketAddr,
    /// Address for encapsulated packets.
    pub data: SocketAddr,
    /// This run of the agent. Invariant: higher than that of earlier runs.
    pub incarnation: Incarnation,
    /// Authenticates encapsulation headers; used by the shell.
    pub key: encap::Key,
    /// Control addresses of balancers, the preferred collector first.
    pub collectors: Vec<SocketAddr>,
    /// Mechanisms in use.
    pub mechanisms: Mechanisms,
}

/// Mechanisms that tests switch off to show that a check notices their absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// Claim flows from other possible arbiters.
    pub claims: bool,
    /// Ask for the owner of a flow before adopting it.
    pub lookups: bool,
    /// Decide only with a valid lease.
    pub lease: bool,
    /// Remember refusals.
    pub refusals: bool,
    /// Give no new flows to a draining server.
    pub drain: bool,
    /// Wait for the duplicate window after a restart.
    pub restart_wait: bool,
}

impl Default for Mechanisms {
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

/// Why a packet is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum DropReason {
    /// An ICMP error of an unknown flow.
    UnknownFlow,
    /// The packet is meant for another service.
    OtherService,
    /// The address is not the service's in this agent's configuration.
    OtherAddress,
    /// The agent has no valid lease.
    Unleased,
    /// The agent is joining, or may have decided about the flow before a restart.
    NotReady,
    /// A claim or lookup of the flow is in progress.
    Pending,
    /// Too many packets are held.
    HeldFull,
    /// The hop limit is used up.
    HopLimit,
    /// A member that is down may have decided about the flow.
    OutcomeUnknown,
    /// The flow was refused; a reply was sent.
    Refused,
    /// The server that owned the flow has gone.
    ServerGone,
}

/// What to do with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Give it to the local server.
    Deliver,
    /// Send it to another agent.
    Forward {
        /// The agent's data address.
        to: SocketAddr,
        /// The header to send it with.
        header: Header,
    },
    /// The agent keeps a copy until a claim or lookup is answered.
    Hold,
    /// Drop it.
    Drop(DropReason),
}

/// What the shell has to do, besides the action on the packet passed in.
#[derive(Clone, Debug)]
pub enum Output {
    /// Give a held packet to the local server.
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
    /// Send an IP packet to the fabric.
    Reply(Vec<u8>),
    /// Send a control message.
    Send {
        /// Control address.
        to: SocketAddr,
        /// The message.
        message: Message,
    },
    /// Log a decision.
    Decision(decision::Record),
}

/// The local server.
#[derive(Clone, Debug)]
struct Server {
    announcement: Announcement,
    /// Last announcement.
    announced: Instant,
    /// First announcement of this run.
    started: Instant,
}

/// The answers of the collector that changes are counted in.
#[derive(Clone, Copy, Debug)]
struct CollectorSync {
    from: SocketAddr,
    run: u64,
    version: u64,
}

/// The agent's core.
pub struct Agent {
    settings: Settings,
    rng: SmallRng,
    started: Instant,
    last_maintenance: Instant,

    server: Option<Server>,
    /// Number of server runs seen. Flows of earlier runs are not given to the current one.
    epoch: u32,
    /// The last run of the server.
    last_server: Option<Incarnation>,
    load: Load,
    admission: Admission,

    /// The members of the service, after the first announcement.
    view: Option<View>,
    tag: ServiceTag,
    service: Option<config::Service>,
    generation: Generation,
    /// When the configuration was adopted.
    config_adopted: Option<Instant>,

    heartbeat: Heartbeat,
    collector_sync: Option<CollectorSync>,
    sequence: Sequence,
    /// Recovery is complete, so the agent may be an arbiter.
    joined: bool,
    recovery: Option<Recovery>,
    /// An earlier run of this agent is known.
    restarted: bool,
    /// The only run of the server that the earlier run of this agent gave recent datagrams to.
    former_server: Option<Incarnation>,
    /// Every member that the earlier run may have passed flows to has answered the recovery.
    recovered: bool,
    /// A later run of this agent is known, so this one decides nothing.
    superseded: bool,
    /// The agent was told to take no new flows.
    draining: bool,
    /// Open flows as the record shows them; `None` unless the agent drains.
    open_flows: Option<u32>,
    /// The server's run as the record shows it, if no earlier one has got recent datagrams.
    sole_server: Option<Incarnation>,

    flows: flow::Table,
    pending: task::Table,
    /// Members that are down and did not answer a claim, and when they were last asked.
    unresponsive: BTreeMap<Member, Instant>,
    /// When the lease was renewed after it had lapsed.
    lease_lapsed: Option<Instant>,
    /// Confirmations asked for.
    confirmations: BTreeMap<Flow, Confirmation>,
    last_id: u64,
}

impl Agent {
    /// An agent without a server.
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

    /// Decides about a packet that arrived with `header`.
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

    /// Whether a flow that the earlier run may have decided about belongs to the local server,
    /// because it is the only one that can have run its request unknown to the other members.
    fn returns_to_server(&self, flow: &Flow, now: Instant) -> bool {
        self.may_have_decided(flow, now) && self.has_same_server() && self.state() == State::Active
    }

    /// Whether a flow has to wait, because an earlier run may have given it to a server that would
    /// not recognise a copy.
    fn awaits_duplicates(&self, flow: &Flow, now: Instant) -> bool {
        self.settings.mechanisms.restart_wait
            && self.may_have_decided(flow, now)
            && !self.returns_to_server(flow, now)
    }

    /// Whether the server beside this agent is the only one that the earlier run can have given
    /// recent datagrams to. It recognises their request ids.
    fn has_same_server(&self) -> bool {
        let current = self.server.as_ref().map(|s| s.announcement.incarnation);
        self.recovered && current.is_some() && current == self.former_server
    }

    /// The server's run, if no earlier one can have got datagrams whose copies may still arrive.
    fn server_if_sole(&self, now: Instant) -> Option<Incarnation> {
        let server = self.server.as_ref()?;
        let old = |since: Instant| now.saturating_duration_since(since) >= flow::DUPLICATE_WINDOW;
        let first = self.epoch == 1 && (!self.restarted || self.has_same_server());
        let sole = first || (old(server.started) && old(self.started));
        (self.joined && sole).then_some(server.announcement.incarnation)
    }

    /// Whether a second delivery of the flow's first packet could run its request twice.
    fn runs_at_most_once(&self, flow: &Flow) -> bool {
        let semantics = self.service.as_ref().map(|service| service.semantics);
        flow.protocol == Protocol::Udp && semantics != Some(Semantics::Idempotent)
    }

    /// Time for which a change of membership can lead to another arbiter for the flow.
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
        out.push(Output::Decision(decision::Record {
            flow,
            service,
            generation: self.generation,
            verdict,
            cause,
            owner,
        }));
    }

    /// Emits what to do with a packet that was held.
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

    /// Handles a control message.
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
            // The others are for balancers.
            _ => {}
        }
    }

    /// Called every 20 ms.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        let announced = self.server.as_ref().map(|server| server.announced);
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

    /// The shell found that the process was paused for longer than the lease.
    pub fn handle_resume(&mut self, now: Instant) {
        if self.settings.mechanisms.lease {
            self.heartbeat.end();
            self.pending.clear();
        }
        if let Some(server) = &mut self.server {
            server.announced = now;
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

    /// Takes no new flows from now on.
    pub fn drain(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.draining {
            return;
        }
        self.draining = true;
        self.publish_record(now);
        self.send_heartbeat(now, out);
    }

    /// Announces that the agent ends.
    pub fn stop(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.server_gone(now);
        self.send_heartbeat(now, out);
    }

    /// State of the agent in its own record.
    pub fn published_state(&self) -> State {
        self.state()
    }

    /// Load of the local server as measured by the agent.
    pub fn server_load(&self) -> Load {
        self.load
    }

    /// Number of flows in the table.
    pub fn flow_count(&self) -> usize {
        self.flows.len()
    }

    fn service_name(&self) -> String {
        let view = self.view.as_ref();
        view.map(|view| view.service().to_string())
            .unwrap_or_default()
    }

    /// Repeats or ends claims and lookups whose answers are overdue.
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

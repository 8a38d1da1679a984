//! The core of the agent: decides which flows the local server gets.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::IteratorRandom;
use rand::SeedableRng;
use strum::{Display, IntoStaticStr};

use crate::admission::{self, Admission, Load, Local, Room, Sample};
use crate::claim::{self, Confirmation, Held, Recovery};
use crate::config::{self, IdleTimeouts, Semantics};
use crate::decision::{self, Cause, Verdict};
use crate::encap::{self, Header};
use crate::flow::{self, Entry, Evidence, Origin, Owner, Phase};
use crate::heartbeat::Heartbeat;
use crate::id::{
    Bucket, Connections, Domain, Generation, Incarnation, Member, Sequence, ServiceTag, Slots,
};
use crate::member::{Record, Role, State};
use crate::packet::{self, Flow, Kind, Packet, Protocol};
use crate::server::{self, Announcement};
use crate::view::{self, View};
use crate::wire::{control, Body, Message};

/// Period of expiry and load sampling.
const MAINTENANCE_PERIOD: Duration = Duration::from_secs(1);
/// Members that a flow can be passed on to are chosen among this many.
const PASS_MAX: usize = 3;
/// A flow is passed on only if this many hops remain. A packet arrives with 4 or 3, so a flow is
/// passed on at most 3 times.
const PASS_HOP_LIMIT: u8 = 2;
/// Marks the ids of messages that only confirm an owner.
pub(crate) const CONFIRM_ID: u64 = 1 << 63;

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
pub enum Reason {
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
    Drop(Reason),
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
pub(crate) struct Server {
    announcement: Announcement,
    /// Last announcement.
    announced: Instant,
    /// First announcement of this run.
    started: Instant,
}

/// The answers of the collector that changes are counted in.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Synced {
    from: SocketAddr,
    run: u64,
    version: u64,
}

/// The agent's core.
pub struct Agent {
    pub(crate) settings: Settings,
    pub(crate) rng: SmallRng,
    pub(crate) started: Instant,
    pub(crate) maintained: Instant,

    pub(crate) server: Option<Server>,
    /// Number of server runs seen. Flows of earlier runs are not given to the current one.
    pub(crate) epoch: u32,
    /// The last run of the server.
    pub(crate) last_server: Option<Incarnation>,
    pub(crate) load: Load,
    pub(crate) admission: Admission,

    /// The members of the service, after the first announcement.
    pub(crate) view: Option<View>,
    pub(crate) tag: ServiceTag,
    pub(crate) service: Option<config::Service>,
    pub(crate) generation: Generation,
    /// When the configuration was adopted.
    pub(crate) configured: Option<Instant>,

    pub(crate) heartbeat: Heartbeat,
    pub(crate) synced: Option<Synced>,
    pub(crate) sequence: Sequence,
    /// Recovery is complete, so the agent may be an arbiter.
    pub(crate) joined: bool,
    pub(crate) recovery: Option<Recovery>,
    /// An earlier run of this agent is known.
    pub(crate) restarted: bool,
    /// A later run of this agent is known, so this one decides nothing.
    pub(crate) superseded: bool,
    /// The agent was told to take no new flows.
    draining: bool,
    /// Open flows as the record shows them; `None` unless the agent drains.
    open_flows: Option<u32>,

    pub(crate) flows: flow::Table,
    pub(crate) pending: claim::Table,
    /// Members that are down and did not answer a claim, and when they were last asked.
    pub(crate) unresponsive: BTreeMap<Member, Instant>,
    /// When the lease was renewed after it had lapsed.
    pub(crate) lapsed: Option<Instant>,
    /// Confirmations asked for.
    pub(crate) confirmations: BTreeMap<Flow, Confirmation>,
    pub(crate) ids: u64,
}

impl Agent {
    /// An agent without a server.
    pub fn new(settings: Settings, seed: u64, now: Instant) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            started: now,
            maintained: now,
            server: None,
            epoch: 0,
            last_server: None,
            load: Load::default(),
            admission: Admission::default(),
            view: None,
            tag: ServiceTag(0),
            service: None,
            generation: Generation(0),
            configured: None,
            heartbeat: Heartbeat::new(settings.collectors.clone(), now),
            synced: None,
            sequence: Sequence(0),
            joined: false,
            recovery: None,
            restarted: false,
            superseded: false,
            draining: false,
            open_flows: None,
            flows: flow::Table::new(seed),
            pending: claim::Table::default(),
            unresponsive: BTreeMap::new(),
            lapsed: None,
            confirmations: BTreeMap::new(),
            ids: 0,
            settings,
        }
    }

    /// Decides about a packet that arrived with `header`.
    pub fn packet(
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
    pub(crate) fn may_decide(&self, now: Instant) -> bool {
        if !self.settings.mechanisms.lease {
            return self.joined;
        }
        self.joined && !self.superseded && self.heartbeat.is_leased(now)
    }

    /// Whether an earlier run of this agent may have decided about the flow.
    pub(crate) fn awaits_duplicates(&self, flow: &Flow, now: Instant) -> bool {
        let waiting = now.saturating_duration_since(self.started) < flow::DUPLICATE_WINDOW;
        self.restarted
            && waiting
            && self.settings.mechanisms.restart_wait
            && self.runs_at_most_once(flow)
    }

    /// Whether a second delivery of the flow's first packet could run its request twice.
    pub(crate) fn runs_at_most_once(&self, flow: &Flow) -> bool {
        let semantics = self.service.as_ref().map(|service| service.semantics);
        flow.protocol == Protocol::Udp && semantics != Some(Semantics::Idempotent)
    }

    /// Time for which a change of membership can lead to another arbiter for the flow.
    pub(crate) fn window(&self, flow: &Flow) -> Duration {
        if self.runs_at_most_once(flow) {
            view::AT_MOST_ONCE_WINDOW
        } else {
            view::SETTLING_WINDOW
        }
    }

    pub(crate) fn bucket(&self, flow: &Flow) -> Bucket {
        let buckets = self.service.as_ref().map(|service| service.buckets);
        crate::rank::bucket(flow, buckets.unwrap_or(config::BUCKETS_DEFAULT))
    }

    pub(crate) fn is_own(&self, member: &Member) -> bool {
        *member == self.settings.member
    }

    /// Whether this agent is the arbiter of the flow in its own view.
    pub(crate) fn is_arbiter(&self, flow: &Flow) -> bool {
        let view = self.view.as_ref();
        let arbiter = view.and_then(|view| view.arbiter(self.bucket(flow)));
        arbiter.is_some_and(|record| self.is_own(&record.member))
    }

    /// The latest record of a member that a flow was ceded to, or `None` if it is down.
    pub(crate) fn reachable(&self, to: &Record) -> Option<Record> {
        let view = self.view.as_ref()?;
        match view.get(&to.member) {
            Some(peer) if peer.record.state == State::Down => None,
            Some(peer) => Some(peer.record.clone()),
            None if to.service.as_ref() == Some(view.service()) => None,
            None => Some(to.clone()),
        }
    }

    fn own_service(&self) -> Option<crate::id::Service> {
        let server = self.server.as_ref()?;
        Some(server.announcement.service.clone())
    }

    /// Handles a packet of a flow that is not an established flow of the current server.
    pub(crate) fn dispatch(
        &mut self,
        header: &Header,
        packet: &Packet<'_>,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> Action {
        if self.pending.contains(&packet.flow) {
            return Action::Drop(Reason::Pending);
        }
        let Some(entry) = self.flows.get(&packet.flow) else {
            return self.unknown(header, packet, now, out);
        };
        match &entry.owner {
            Owner::Local { epoch } if *epoch == self.epoch => {
                self.opening_or_closed(header, packet, now, out)
            }
            Owner::Local { .. } => self.stale_flow(packet, now, out),
            Owner::Ceded { .. } => self.ceded(header, packet, now, out),
            Owner::Claimed => self.unknown(header, packet, now, out),
            Owner::Recovered(_) => self.recovered(header, packet, now, out),
            Owner::Refused { until } if now < *until => {
                reply(packet, out);
                Action::Drop(Reason::Refused)
            }
            Owner::Refused { .. } => {
                self.flows.remove(&packet.flow);
                self.unknown(header, packet, now, out)
            }
        }
    }

    /// A flow of the current server that is not known to be established, or has ended.
    fn opening_or_closed(
        &mut self,
        header: &Header,
        packet: &Packet<'_>,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> Action {
        if self.server.is_none() {
            return Action::Drop(Reason::ServerGone);
        }
        let leased = self.may_decide(now);
        let draining = self.state() == State::Draining;
        let Some(entry) = self.flows.get_mut(&packet.flow) else {
            return Action::Drop(Reason::UnknownFlow);
        };
        if entry.phase == Phase::Closing && packet.kind == Kind::Syn && draining {
            // A new connection with the ports of one that has ended.
            self.flows.remove(&packet.flow);
            return self.unknown(header, packet, now, out);
        }
        if entry.phase == Phase::Opening && !leased {
            // Without a lease another member may have accepted a copy of the SYN.
            return Action::Drop(Reason::Unleased);
        }
        entry.touch(packet.kind, now);
        Action::Deliver
    }

    /// A flow of an earlier run of the server.
    fn stale_flow(&mut self, packet: &Packet<'_>, now: Instant, out: &mut Vec<Output>) -> Action {
        if let Some(entry) = self.flows.get_mut(&packet.flow) {
            entry.touch(packet.kind, now);
        }
        if packet.flow.protocol == Protocol::Tcp && self.server.is_some() {
            reply(packet, out);
        }
        Action::Drop(Reason::ServerGone)
    }

    /// A flow of another member.
    fn ceded(
        &mut self,
        header: &Header,
        packet: &Packet<'_>,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> Action {
        let Some(entry) = self.flows.get(&packet.flow) else {
            return Action::Drop(Reason::UnknownFlow);
        };
        let Owner::Ceded {
            to,
            origin,
            confirmed,
        } = entry.owner.clone()
        else {
            return Action::Drop(Reason::UnknownFlow);
        };
        if origin == Origin::Granted && header.assigned {
            // Either the claimant won the flow and passed it on to this agent, or the packet is an
            // old one of a member that has granted the flow in the meantime.
            return self.look_up(header, packet, Some(&to), now, out);
        }
        let Some(owner) = self.reachable(&to) else {
            return self.owner_down(header, packet, to, now, out);
        };
        if header.hop_limit == 0 {
            return Action::Drop(Reason::HopLimit);
        }
        let passing = origin == Origin::Assigned && !confirmed && packet.kind.is_first();
        if passing && !self.may_decide(now) {
            // The owner may not have the flow yet, and another member may have accepted it.
            return Action::Drop(Reason::Unleased);
        }
        if !confirmed {
            self.confirm(&packet.flow, owner.control, now, out);
        }
        if let Some(entry) = self.flows.get_mut(&packet.flow) {
            entry.touch(packet.kind, now);
        }
        self.forward(header, owner.data, origin == Origin::Assigned)
    }

    /// A flow of a member that is down.
    fn owner_down(
        &mut self,
        header: &Header,
        packet: &Packet<'_>,
        owner: Arc<Record>,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> Action {
        if !packet.kind.is_first() {
            return self.unknown(header, packet, now, out);
        }
        if self.runs_at_most_once(&packet.flow) {
            return Action::Drop(Reason::OutcomeUnknown);
        }
        if !self.may_decide(now) {
            return Action::Drop(Reason::Unleased);
        }
        if header.service != self.tag || !self.serves(&packet.flow) {
            return Action::Drop(Reason::OtherAddress);
        }
        // The member may have been declared down by mistake.
        self.claim(header, packet, Some(owner), now, out)
    }

    /// A flow that this agent owned before a restart or a lapse of its lease.
    fn recovered(
        &mut self,
        header: &Header,
        packet: &Packet<'_>,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> Action {
        if self.runs_at_most_once(&packet.flow) {
            if let Some(entry) = self.flows.get_mut(&packet.flow) {
                entry.touch(packet.kind, now);
            }
            return Action::Drop(Reason::OutcomeUnknown);
        }
        self.look_up(header, packet, None, now, out)
    }

    /// A flow without a record of its owner.
    fn unknown(
        &mut self,
        header: &Header,
        packet: &Packet<'_>,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> Action {
        if packet.kind == Kind::Error {
            return Action::Drop(Reason::UnknownFlow);
        }
        if self.server.is_none() {
            return Action::Drop(Reason::ServerGone);
        }
        if header.service != self.tag {
            return Action::Drop(Reason::OtherService);
        }
        if self.settings.mechanisms.lease && !self.heartbeat.is_leased(now) {
            return Action::Drop(Reason::Unleased);
        }
        if packet.kind.is_first() && !self.serves(&packet.flow) {
            return Action::Drop(Reason::OtherAddress);
        }
        if packet.kind.is_first() && self.restarted && !self.joined {
            // A copy of a SYN that the server has already received must not reach another server.
            return Action::Drop(Reason::NotReady);
        }
        if let Some(action) = self.redirect(header, &packet.flow) {
            return action;
        }
        if !self.may_decide(now) {
            return Action::Drop(Reason::NotReady);
        }
        if !packet.kind.is_first() {
            return self.look_up(header, packet, None, now, out);
        }
        if self.awaits_duplicates(&packet.flow, now) {
            return Action::Drop(Reason::NotReady);
        }
        if header.fallback.is_some() && self.follows_move(&packet.flow, now) {
            return self.look_up(header, packet, None, now, out);
        }
        if !header.assigned {
            return self.claim(header, packet, None, now, out);
        }
        if self.has_restarted(now) || self.has_lapsed(now) {
            // The previous run may have passed the flow on, or the sender may have granted it to
            // another member in the meantime.
            return self.look_up(header, packet, None, now, out);
        }
        self.place(header, packet, now, out)
    }

    /// Whether a copy of the flow's first packet may have reached the service that had the address
    /// before.
    fn follows_move(&self, flow: &Flow, now: Instant) -> bool {
        let configured = self.configured.unwrap_or(self.started);
        flow.protocol == Protocol::Udp
            && now.saturating_duration_since(configured) < view::AT_MOST_ONCE_WINDOW
    }

    /// Whether copies of packets may arrive whose flows the previous run decided about.
    fn has_restarted(&self, now: Instant) -> bool {
        self.restarted && is_recent(self.started, now)
    }

    /// Whether the lease had lapsed recently.
    fn has_lapsed(&self, now: Instant) -> bool {
        self.lapsed.is_some_and(|at| is_recent(at, now))
    }

    /// Whether the configuration maps the flow's address to the service.
    ///
    /// The sender maps it to the same service, or the header would name another one. So the
    /// sender's generation needs no comparison, and a change elsewhere delays no flow.
    fn serves(&self, flow: &Flow) -> bool {
        let service = self.service.as_ref();
        service.is_some_and(|service| service.serves(flow))
    }

    /// Sends a packet on to the arbiter, unless an agent has forwarded it already.
    fn redirect(&self, header: &Header, flow: &Flow) -> Option<Action> {
        if header.assigned || header.hop_limit < encap::HOP_LIMIT {
            return None;
        }
        let arbiter = self.view.as_ref()?.arbiter(self.bucket(flow))?;
        if self.is_own(&arbiter.member) {
            return None;
        }
        Some(self.forward(header, arbiter.data, false))
    }

    fn forward(&self, header: &Header, to: SocketAddr, assigned: bool) -> Action {
        let header = Header {
            hop_limit: header.hop_limit - 1,
            assigned,
            ..*header
        };
        Action::Forward { to, header }
    }

    /// Places a new flow that this agent may decide about alone.
    pub(crate) fn place(
        &mut self,
        header: &Header,
        packet: &Packet<'_>,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> Action {
        if !self.may_decide(now) || self.server.is_none() {
            return Action::Drop(Reason::Unleased);
        }
        if !self.serves(&packet.flow) {
            return Action::Drop(Reason::OtherAddress);
        }
        let room = self.room(&packet.flow, now);
        match room {
            Room::Free => return self.accept(packet, now, out),
            // The sender has chosen the least loaded candidate. Each further hop of a flow is one
            // more member whose restart can break it.
            Room::Bound if header.assigned || self.has_restarted(now) => {
                return self.accept(packet, now, out);
            }
            Room::Full(Cause::Shed) => return self.refuse(packet, Cause::Shed, now, out),
            Room::Bound | Room::Full(_) => {}
        }
        let target = self.pass_target(&packet.flow, room, now);
        let cause = match room {
            Room::Full(cause) => cause,
            Room::Free | Room::Bound => Cause::Bound,
        };
        match target.filter(|_| header.hop_limit >= PASS_HOP_LIMIT) {
            Some(target) => self.pass(header, packet, target, cause, now, out),
            None if room == Room::Bound => self.accept(packet, now, out),
            None => self.refuse(packet, cause, now, out),
        }
    }

    fn room(&self, flow: &Flow, now: Instant) -> Room {
        if self.state() == State::Draining && self.settings.mechanisms.drain {
            return Room::Full(Cause::Draining);
        }
        let service = self.service.as_ref();
        let weight = service.map_or(0, |service| service.flow_weight(flow));
        match self.local_server() {
            Some(local) => self.admission.room(&local, weight, now),
            None => Room::Full(Cause::Limit),
        }
    }

    fn local_server(&self) -> Option<Local> {
        let server = self.server.as_ref()?;
        let service = self.service.as_ref()?;
        let announced = server.announcement.connections;
        Some(Local {
            load: self.load,
            slots: server.announcement.slots,
            connections: service
                .connections
                .map_or(announced, |limit| limit.min(announced)),
            bound_percent: service.admission_percent,
            heaviest: service.heaviest_weight(),
            started: server.started,
            cold_start: service.cold_start(),
        })
    }

    /// The next eligible member of the order that is not known to be a worse choice.
    fn pass_target(&self, flow: &Flow, room: Room, now: Instant) -> Option<Arc<Record>> {
        let view = self.view.as_ref()?;
        let is_better = |sample: &Sample| match room {
            Room::Bound => sample.is_less_loaded(&self.load, self.own_slots()),
            _ => !sample.is_full(),
        };
        view.eligible_after(&self.settings.member, self.bucket(flow))
            .into_iter()
            .take(PASS_MAX)
            .find(|record| {
                let sample = self.admission.get(&record.member, now);
                sample.is_none_or(is_better)
            })
            .map(|record| Arc::new(record.clone()))
    }

    fn accept(&mut self, packet: &Packet<'_>, now: Instant, out: &mut Vec<Output>) -> Action {
        self.own(packet, now);
        self.decide(packet.flow, Verdict::Accepted, Cause::Load, None, out);
        Action::Deliver
    }

    /// Records the local server as the owner.
    pub(crate) fn own(&mut self, packet: &Packet<'_>, now: Instant) {
        let owner = Owner::Local { epoch: self.epoch };
        let entry = Entry::new(owner, packet.kind, now);
        self.flows.insert(packet.flow, entry);
        self.load.open += 1;
    }

    fn pass(
        &mut self,
        header: &Header,
        packet: &Packet<'_>,
        to: Arc<Record>,
        cause: Cause,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> Action {
        let (data, member) = (to.data, to.member.clone());
        self.admission.passed(&member);
        let owner = Owner::Ceded {
            to,
            origin: Origin::Assigned,
            confirmed: false,
        };
        let entry = Entry::new(owner, packet.kind, now);
        self.flows.insert(packet.flow, entry);
        self.decide(packet.flow, Verdict::Passed, cause, Some(member), out);
        self.forward(header, data, true)
    }

    fn refuse(
        &mut self,
        packet: &Packet<'_>,
        cause: Cause,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> Action {
        let until = now + flow::DUPLICATE_WINDOW;
        self.record_refusal(packet, until, now);
        self.decide(packet.flow, Verdict::Refused, cause, None, out);
        reply(packet, out);
        Action::Drop(Reason::Refused)
    }

    pub(crate) fn record_refusal(&mut self, packet: &Packet<'_>, until: Instant, now: Instant) {
        if self.settings.mechanisms.refusals {
            let entry = Entry::new(Owner::Refused { until }, packet.kind, now);
            self.flows.insert(packet.flow, entry);
        } else {
            self.flows.remove(&packet.flow);
        }
    }

    pub(crate) fn decide(
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
    pub(crate) fn release(action: Action, held: Held, out: &mut Vec<Output>) {
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

    /// Handles an event about the server.
    pub fn server(&mut self, event: server::Event, now: Instant, out: &mut Vec<Output>) {
        match event {
            server::Event::Announced(announcement) => self.announced(announcement, now),
            server::Event::Reported(report) => self.admission.report(report, now),
            server::Event::Gone => self.server_gone(now),
        }
        self.send_heartbeat(now, out);
    }

    fn announced(&mut self, announcement: Announcement, now: Instant) {
        if self.view.is_none() || self.tag != announcement.service.tag() {
            self.tag = announcement.service.tag();
            self.view = Some(View::new(announcement.service.clone()));
            self.service = None;
            self.generation = Generation(0);
            self.synced = None;
            self.return_to_joining();
        }
        let previous = self.server.take();
        let same = previous
            .as_ref()
            .filter(|server| server.announcement.incarnation == announcement.incarnation);
        let started = same.map_or(now, |server| server.started);
        let changed = previous.as_ref().map(|server| &server.announcement) != Some(&announcement);
        if same.is_none() {
            self.renew_epoch(announcement.incarnation);
        }
        self.server = Some(Server {
            announcement,
            announced: now,
            started,
        });
        if changed {
            self.publish(now);
        }
    }

    /// Counts a new run of the server. A server that was only silent keeps its flows.
    fn renew_epoch(&mut self, incarnation: Incarnation) {
        if self.last_server != Some(incarnation) {
            self.last_server = Some(incarnation);
            self.epoch += 1;
            self.load = Load::default();
            self.admission.reset();
        }
    }

    fn server_gone(&mut self, now: Instant) {
        if self.server.take().is_some() {
            self.return_to_joining();
            self.lapsed = Some(now);
            self.mark_opening_uncertain();
            self.publish(now);
        }
    }

    /// Returns to state joining.
    fn return_to_joining(&mut self) {
        self.joined = false;
        self.recovery = None;
        self.pending.clear();
    }

    /// State in the agent's own record.
    pub(crate) fn state(&self) -> State {
        match &self.server {
            None => State::Down,
            Some(_) if !self.joined => State::Joining,
            Some(server) if server.announcement.state == server::State::Draining => State::Draining,
            Some(_) if self.draining || self.is_drained() => State::Draining,
            Some(_) => State::Active,
        }
    }

    /// Whether the configuration drains this member.
    fn is_drained(&self) -> bool {
        let drains = self.service.as_ref().map(|service| &service.drain);
        drains.is_some_and(|drains| {
            let ip = self.settings.control.ip();
            drains.servers.contains(&self.settings.member) || drains.hosts.contains(&ip)
        })
    }

    pub(crate) fn own_slots(&self) -> Slots {
        let server = self.server.as_ref();
        server.map_or(Slots(0), |server| server.announcement.slots)
    }

    /// The agent's own record.
    pub(crate) fn record(&self) -> Record {
        let announcement = self.server.as_ref().map(|server| &server.announcement);
        Record {
            member: self.settings.member.clone(),
            role: Role::Agent,
            incarnation: self.settings.incarnation,
            sequence: self.sequence,
            state: self.state(),
            domain: self.settings.domain.clone(),
            control: self.settings.control,
            data: self.settings.data,
            service: self.view.as_ref().map(|view| view.service().clone()),
            slots: self.own_slots(),
            connections: announcement.map_or(Connections(0), |server| server.connections),
            generation: self.generation,
            open_flows: self.open_flows,
        }
    }

    /// Makes a change of the own record known.
    pub(crate) fn publish(&mut self, now: Instant) {
        self.sequence.0 += 1;
        let record = self.record();
        if let Some(view) = &mut self.view {
            view.merge(record, now);
        }
        self.heartbeat.schedule_now(now);
    }

    /// Handles a control message.
    pub fn message(
        &mut self,
        from: SocketAddr,
        message: Message,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        match message.body {
            Some(Body::HeartbeatAck(ack)) => self.acknowledged(from, ack, now, out),
            Some(Body::Claim(claim)) => self.answer_claim(from, claim, now, out),
            Some(Body::ClaimAnswer(answer)) => self.claim_answered(answer, now, out),
            Some(Body::Lookup(lookup)) => self.answer_lookup(from, lookup, now, out),
            Some(Body::LookupAnswer(answer)) => self.lookup_answered(answer, now, out),
            Some(Body::Load(load)) => self.answer_load(from, load, now, out),
            Some(Body::LoadAnswer(answer)) => self.load_answered(answer, now),
            Some(Body::Recover(recover)) => self.answer_recover(from, recover, now, out),
            Some(Body::RecoverAnswer(answer)) => self.recover_answered(answer, now, out),
            Some(Body::Rumour(rumour)) => self.declared(from, &rumour, now, out),
            // The others are for balancers.
            _ => {}
        }
    }

    /// Refutes a balancer that declared this member down.
    fn declared(
        &mut self,
        from: SocketAddr,
        rumour: &control::Rumour,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let sequence = self.sequence;
        let records = rumour.records.iter();
        for record in records.filter_map(|record| Record::try_from(record).ok()) {
            if self.is_own(&record.member) {
                self.merge_record(record, now);
            }
        }
        if self.sequence == sequence {
            return;
        }
        let answer = control::Rumour {
            records: vec![(&self.record()).into()],
            offer: None,
        };
        send(from, Body::Rumour(answer), out);
        self.send_heartbeat(now, out);
    }

    fn acknowledged(
        &mut self,
        from: SocketAddr,
        ack: control::HeartbeatAck,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let Some(sent) = self.heartbeat.answer(ack.id) else {
            return;
        };
        let based = match self.synced {
            Some(synced) if synced.from == from => synced.run == ack.collector,
            _ => true,
        };
        self.restarted |= ack.former_incarnation > 0;
        for record in &ack.members {
            if let Ok(record) = Record::try_from(record) {
                self.merge_record(record, now);
            }
        }
        self.adopt_config(&ack, now);
        let balancers = ack.balancers.iter().filter_map(|to| to.try_into().ok());
        self.heartbeat.set_collectors(balancers.collect());
        self.synced = based.then_some(Synced {
            from,
            run: ack.collector,
            version: ack.members_version,
        });
        let current = based && ack.complete;
        if !current {
            self.heartbeat.schedule_now(now);
        }
        // After a lapse the lease is renewed only together with every change that was missed.
        if current || self.heartbeat.is_leased(now) {
            self.renew(sent, now);
        }
        if current {
            self.synchronised(now, out);
        }
        self.send_heartbeat(now, out);
    }

    fn renew(&mut self, sent: Instant, now: Instant) {
        let renewal = self.heartbeat.renew(sent, now);
        if !renewal.lapsed {
            return;
        }
        self.lapsed = Some(now);
        self.mark_opening_uncertain();
        self.pending.clear();
        if let Some(view) = &mut self.view {
            view.unsettle(&self.settings.member, now);
        }
        self.publish(now);
    }

    /// Marks flows that are not established yet as uncertain, because the member may have been
    /// declared down and another one may have accepted copies of their SYNs. A member that a flow
    /// was passed on to has to claim it.
    fn mark_opening_uncertain(&mut self) {
        for (flow, entry) in self.flows.iter_mut() {
            if flow.protocol == Protocol::Udp || entry.phase != Phase::Opening {
                continue;
            }
            match &mut entry.owner {
                Owner::Local { .. } => entry.owner = Owner::Recovered(Evidence::Delivered),
                Owner::Ceded { origin, .. } if *origin == Origin::Assigned => {
                    *origin = Origin::Found;
                }
                _ => {}
            }
        }
    }

    fn merge_record(&mut self, record: Record, now: Instant) {
        if !self.is_own(&record.member) {
            if record.state.is_arbiter() {
                self.unresponsive.remove(&record.member);
            }
            if let Some(view) = &mut self.view {
                view.merge(record, now);
            }
            return;
        }
        let own = self.settings.incarnation;
        self.restarted |= record.incarnation < own;
        self.superseded |= record.incarnation > own;
        let declared_down = record.state == State::Down && self.state() != State::Down;
        if record.incarnation == own && declared_down && record.sequence >= self.sequence {
            self.sequence = record.sequence;
            self.publish(now);
        }
    }

    fn adopt_config(&mut self, ack: &control::HeartbeatAck, now: Instant) {
        let generation = Generation(ack.generation);
        if ack.service.is_empty() || (self.service.is_some() && generation <= self.generation) {
            return;
        }
        // `null` means that the service is no longer configured.
        let Ok(service) = serde_json::from_slice::<Option<config::Service>>(&ack.service) else {
            return;
        };
        let other = |service: &config::Service| service.name.tag() != self.tag;
        if service.as_ref().is_some_and(other) {
            return;
        }
        let before = self.state();
        // Established flows of a service that was removed still need its buckets and time-outs.
        self.service = service.or_else(|| {
            let addresses = Vec::new();
            self.service
                .take()
                .map(|last| config::Service { addresses, ..last })
        });
        self.generation = generation;
        self.configured = Some(now);
        if self.state() != before {
            self.publish(now);
        }
    }

    /// Every change known to the collector has been merged.
    fn synchronised(&mut self, now: Instant, out: &mut Vec<Output>) {
        if let Some(view) = &mut self.view {
            view.set_complete();
        }
        let ready = self.server.is_some() && self.service.is_some();
        if ready && !self.joined && self.recovery.is_none() {
            self.recover(now, out);
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
        if now.saturating_duration_since(self.maintained) >= MAINTENANCE_PERIOD {
            self.maintained = now;
            self.maintain(now, out);
        }
    }

    /// The shell found that the process was paused for longer than the lease.
    pub fn resumed(&mut self, now: Instant) {
        if self.settings.mechanisms.lease {
            self.heartbeat.end();
            self.pending.clear();
        }
        if let Some(server) = &mut self.server {
            server.announced = now;
        }
        self.heartbeat.schedule_now(now);
    }

    /// Sends a heartbeat if one is due.
    fn send_heartbeat(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.view.is_none() {
            return;
        }
        let Some(due) = self.heartbeat.due(now) else {
            return;
        };
        if due.switched {
            self.publish(now);
            self.heartbeat.defer(now);
        }
        let synced = self.synced.filter(|synced| synced.from == due.to);
        let heartbeat = control::Heartbeat {
            id: due.id,
            record: Some((&self.record()).into()),
            members_version: synced.map_or(0, |synced| synced.version),
            generation: self.generation.0,
        };
        send(due.to, Body::Heartbeat(heartbeat), out);
    }

    pub(crate) fn idle_timeouts(&self) -> IdleTimeouts {
        let service = self.service.as_ref();
        service.map_or_else(IdleTimeouts::default, |service| service.idle_timeouts)
    }

    /// Shows in the record how many flows a draining agent still owns. The count is taken after the
    /// drain began, so that a report of no flows is final.
    fn report_flows(&mut self, now: Instant) {
        let open = match self.load.open {
            0 => 0,
            open => open.next_power_of_two(),
        };
        let open = (self.state() == State::Draining).then_some(open);
        if open != self.open_flows {
            self.open_flows = open;
            self.publish(now);
        }
    }

    /// Expires flows and members, and samples the load of other members.
    fn maintain(&mut self, now: Instant, out: &mut Vec<Output>) {
        let timeouts = self.idle_timeouts();
        let count = flow::expire(&mut self.flows, self.epoch, &timeouts, now);
        self.load.update(count);
        self.report_flows(now);
        self.admission.expire(now);
        self.confirmations
            .retain(|_, asked| now.saturating_duration_since(asked.sent) < MAINTENANCE_PERIOD);
        let own = &self.settings.member;
        let Some(view) = &mut self.view else {
            return;
        };
        view.expire(now);
        let others = view.live().filter(|record| record.member != *own);
        let count = admission::SAMPLES_PER_SECOND;
        let targets: Vec<_> = others
            .map(|record| record.control)
            .choose_multiple(&mut self.rng, count);
        for to in targets {
            let load = control::Load {
                id: self.next_id(),
                service: self
                    .view
                    .as_ref()
                    .map(|view| view.service().to_string())
                    .unwrap_or_default(),
                member: self.settings.member.to_string(),
                flows: self.load.open,
                activity: self.load.activity,
                slots: self.own_slots().0,
                limit: self.limit(now),
            };
            send(to, Body::Load(load), out);
        }
    }

    pub(crate) fn next_id(&mut self) -> u64 {
        self.ids += 1;
        self.ids
    }

    fn answer_load(
        &mut self,
        from: SocketAddr,
        load: control::Load,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        if !self.is_for_service(&load.service) || self.server.is_none() {
            return;
        }
        let sampled = Load {
            open: load.flows,
            activity: load.activity,
        };
        self.note_load(&load.member, sampled, load.slots, load.limit, now);
        let answer = control::LoadAnswer {
            id: load.id,
            member: self.settings.member.to_string(),
            flows: self.load.open,
            activity: self.load.activity,
            slots: self.own_slots().0,
            limit: self.limit(now),
        };
        send(from, Body::LoadAnswer(answer), out);
    }

    fn load_answered(&mut self, answer: control::LoadAnswer, now: Instant) {
        let load = Load {
            open: answer.flows,
            activity: answer.activity,
        };
        self.note_load(&answer.member, load, answer.slots, answer.limit, now);
    }

    fn note_load(&mut self, member: &str, load: Load, slots: u32, limit: u32, now: Instant) {
        let Ok(member) = member.parse::<Member>() else {
            return;
        };
        let view = self.view.as_ref();
        if view.is_none_or(|view| view.get(&member).is_none()) {
            return;
        }
        let sample = Sample {
            load,
            slots: Slots(slots),
            connections: Connections(limit),
            taken: now,
        };
        self.admission.sample(member, sample);
    }

    /// Flows that the local server may hold now.
    fn limit(&self, now: Instant) -> u32 {
        if self.state() == State::Draining {
            return 0;
        }
        let local = self.local_server();
        local.map_or(0, |local| self.admission.limit(&local, now))
    }

    pub(crate) fn is_for_service(&self, name: &str) -> bool {
        let view = self.view.as_ref();
        view.is_some_and(|view| view.service().as_str() == name)
    }

    /// Takes no new flows from now on.
    pub fn drain(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.draining {
            return;
        }
        self.draining = true;
        self.publish(now);
        self.send_heartbeat(now, out);
    }

    /// Announces that the agent ends.
    pub fn stop(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.server_gone(now);
        self.send_heartbeat(now, out);
    }

    /// State of the agent in its own record.
    pub fn status(&self) -> State {
        self.state()
    }

    /// Load of the local server as measured by the agent.
    pub fn measured(&self) -> Load {
        self.load
    }

    /// Number of flows in the table.
    pub fn flows(&self) -> usize {
        self.flows.len()
    }
}

/// Whether packets sent before `at` may still arrive.
fn is_recent(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < view::SETTLING_WINDOW
}

pub(crate) fn send(to: SocketAddr, body: Body, out: &mut Vec<Output>) {
    let message = Message { body: Some(body) };
    out.push(Output::Send { to, message });
}

pub(crate) fn reply(packet: &Packet<'_>, out: &mut Vec<Output>) {
    if let Some(bytes) = packet::refusal(packet) {
        out.push(Output::Reply(bytes));
    }
}

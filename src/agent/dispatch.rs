//! Handling of packets outside the established flows of the current server, by the state of their
//! flow.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use crate::encap::{self, Header};
use crate::flow::{Origin, Owner, Phase};
use crate::member::{Record, State};
use crate::packet::{Flow, Kind, Packet, Protocol};
use crate::view;

use super::{send_refusal, Action, Agent, DropReason, Output};

impl Agent {
    /// Handles a packet that is not part of an established flow of the current server.
    pub(super) fn dispatch(
        &mut self,
        header: &Header,
        packet: &Packet<'_>,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> Action {
        if self.pending.contains(&packet.flow) {
            return Action::Drop(DropReason::Pending);
        }
        let Some(entry) = self.flows.get(&packet.flow) else {
            return self.handle_unknown_flow(header, packet, now, out);
        };
        match &entry.owner {
            Owner::Local { epoch } if *epoch == self.epoch => {
                self.handle_local_flow(header, packet, now, out)
            }
            Owner::Local { .. } => self.handle_stale_flow(packet, now, out),
            Owner::Ceded { .. } => self.handle_ceded_flow(header, packet, now, out),
            Owner::Claimed => self.handle_unknown_flow(header, packet, now, out),
            Owner::Recovered(_) => self.handle_recovered_flow(header, packet, now, out),
            Owner::Refused { until } if now < *until => {
                send_refusal(packet, out);
                Action::Drop(DropReason::Refused)
            }
            Owner::Refused { .. } => {
                self.flows.remove(&packet.flow);
                self.handle_unknown_flow(header, packet, now, out)
            }
        }
    }

    /// Handles a TCP flow of the current server that is opening or closing, and any of its flows
    /// while the server is gone.
    fn handle_local_flow(
        &mut self,
        header: &Header,
        packet: &Packet<'_>,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> Action {
        if self.server.is_none() {
            return Action::Drop(DropReason::ServerGone);
        }
        let leased = self.may_decide(now);
        let draining = self.state() == State::Draining;
        let Some(entry) = self.flows.get_mut(&packet.flow) else {
            return Action::Drop(DropReason::UnknownFlow);
        };
        if entry.phase == Phase::Closing && packet.kind == Kind::Syn && draining {
            // A new connection with the ports of one that has ended.
            self.flows.remove(&packet.flow);
            return self.handle_unknown_flow(header, packet, now, out);
        }
        if entry.phase == Phase::Opening && !leased {
            // Without a lease another member may have accepted a copy of the SYN.
            return Action::Drop(DropReason::Unleased);
        }
        entry.touch(packet.kind, now);
        Action::Deliver
    }

    /// Handles a flow of an earlier run of the server. Its connection no longer exists, so a TCP
    /// client gets a reset.
    fn handle_stale_flow(
        &mut self,
        packet: &Packet<'_>,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> Action {
        if let Some(entry) = self.flows.get_mut(&packet.flow) {
            entry.touch(packet.kind, now);
        }
        if packet.flow.protocol == Protocol::Tcp && self.server.is_some() {
            send_refusal(packet, out);
        }
        Action::Drop(DropReason::ServerGone)
    }

    /// Handles a flow of another member.
    fn handle_ceded_flow(
        &mut self,
        header: &Header,
        packet: &Packet<'_>,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> Action {
        let Some(entry) = self.flows.get(&packet.flow) else {
            return Action::Drop(DropReason::UnknownFlow);
        };
        let Owner::Ceded {
            to,
            origin,
            confirmed,
        } = entry.owner.clone()
        else {
            return Action::Drop(DropReason::UnknownFlow);
        };
        if origin == Origin::Granted && header.assigned {
            // Either the claimant won the flow and passed it on to this agent, or this is an old
            // packet of a member that has granted the flow to the claimant since.
            return self.look_up(header, packet, Some(&to), now, out);
        }
        let Some(owner) = self.reachable(&to) else {
            return self.handle_owner_down(header, packet, to, now, out);
        };
        if header.hop_limit == 0 {
            return Action::Drop(DropReason::HopLimit);
        }
        let passing = origin == Origin::Assigned && !confirmed && packet.kind.can_open_flow();
        if passing && !self.may_decide(now) {
            // The owner may not have the flow yet, and another member may have accepted it.
            return Action::Drop(DropReason::Unleased);
        }
        if !confirmed {
            self.request_confirmation(&packet.flow, owner.control, now, out);
        }
        if let Some(entry) = self.flows.get_mut(&packet.flow) {
            entry.touch(packet.kind, now);
        }
        self.forward(header, owner.data, origin == Origin::Assigned)
    }

    /// Handles a flow whose owner is down.
    fn handle_owner_down(
        &mut self,
        header: &Header,
        packet: &Packet<'_>,
        owner: Arc<Record>,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> Action {
        if !packet.kind.can_open_flow() {
            return self.handle_unknown_flow(header, packet, now, out);
        }
        if self.runs_at_most_once(&packet.flow) {
            return Action::Drop(DropReason::OutcomeUnknown);
        }
        if !self.may_decide(now) {
            return Action::Drop(DropReason::Unleased);
        }
        if header.service != self.tag || !self.serves(&packet.flow) {
            return Action::Drop(DropReason::OtherAddress);
        }
        // The owner may have been declared down by mistake, so the claim asks it first.
        self.claim(header, packet, Some(owner), now, out)
    }

    /// Handles a flow that this agent may have owned before a restart or a lapse of its lease.
    fn handle_recovered_flow(
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
            return Action::Drop(DropReason::OutcomeUnknown);
        }
        self.look_up(header, packet, None, now, out)
    }

    /// Handles a flow without a known owner.
    fn handle_unknown_flow(
        &mut self,
        header: &Header,
        packet: &Packet<'_>,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> Action {
        if packet.kind == Kind::Error {
            return Action::Drop(DropReason::UnknownFlow);
        }
        if self.server.is_none() {
            return Action::Drop(DropReason::ServerGone);
        }
        if header.service != self.tag {
            return Action::Drop(DropReason::OtherService);
        }
        if self.settings.mechanisms.lease && !self.heartbeat.is_leased(now) {
            return Action::Drop(DropReason::Unleased);
        }
        if packet.kind.can_open_flow() && !self.serves(&packet.flow) {
            return Action::Drop(DropReason::OtherAddress);
        }
        if packet.kind.can_open_flow() && self.restarted && !self.joined {
            // A copy of a SYN that the server has already received must not reach another server.
            return Action::Drop(DropReason::NotReady);
        }
        if let Some(action) = self.redirect(header, &packet.flow) {
            return action;
        }
        if !self.may_decide(now) {
            return Action::Drop(DropReason::NotReady);
        }
        if !packet.kind.can_open_flow() {
            return self.look_up(header, packet, None, now, out);
        }
        if self.awaits_duplicates(&packet.flow, now) {
            return Action::Drop(DropReason::NotReady);
        }
        if header.fallback.is_some() && self.may_follow_address_move(&packet.flow, now) {
            return self.look_up(header, packet, None, now, out);
        }
        if !header.assigned {
            return self.claim(header, packet, None, now, out);
        }
        let restarted =
            self.has_restarted_recently(now) || self.returns_to_server(&packet.flow, now);
        if restarted || self.has_lapsed_recently(now) {
            // The previous run may have passed the flow on, or the sender may have granted it to
            // another member in the meantime.
            return self.look_up(header, packet, None, now, out);
        }
        self.place(header, packet, now, out)
    }

    /// Whether a copy of the flow's first packet may have reached the service that had the address
    /// before.
    fn may_follow_address_move(&self, flow: &Flow, now: Instant) -> bool {
        let configured = self.config_adopted.unwrap_or(self.started);
        flow.protocol == Protocol::Udp
            && now.saturating_duration_since(configured) < view::AT_MOST_ONCE_WINDOW
    }

    /// Whether copies of packets may still arrive whose flows the previous run of this agent
    /// decided about.
    pub(super) fn has_restarted_recently(&self, now: Instant) -> bool {
        self.restarted && is_recent(self.started, now)
    }

    /// Whether the lease had lapsed, or the server was lost, within the settling window.
    fn has_lapsed_recently(&self, now: Instant) -> bool {
        self.lease_lapsed.is_some_and(|at| is_recent(at, now))
    }

    /// Whether the configuration maps the flow's address to the service.
    ///
    /// The sender maps it to the same service, or the header would name another one. So the
    /// sender's generation needs no comparison, and a change elsewhere delays no flow.
    pub(super) fn serves(&self, flow: &Flow) -> bool {
        let service = self.service.as_ref();
        service.is_some_and(|service| service.serves(flow))
    }

    /// Forwards a packet to the arbiter, unless an agent has forwarded it already.
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

    pub(super) fn forward(&self, header: &Header, to: SocketAddr, assigned: bool) -> Action {
        let header = Header {
            hop_limit: header.hop_limit - 1,
            assigned,
            ..*header
        };
        Action::Forward { to, header }
    }

    /// The latest record of the recorded owner of a flow, or `None` if it is down or no longer a
    /// member. Members of other services are assumed to be up.
    pub(super) fn reachable(&self, to: &Record) -> Option<Record> {
        let view = self.view.as_ref()?;
        match view.get(&to.member) {
            Some(peer) if peer.record.state == State::Down => None,
            Some(peer) => Some(peer.record.clone()),
            None if to.service.as_ref() == Some(view.service()) => None,
            None => Some(to.clone()),
        }
    }
}

/// Whether packets sent before `at` may still arrive.
fn is_recent(at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(at) < view::SETTLING_WINDOW
}

//! Placement of new flows: accepted for the local server, passed on to another member, or refused.

use std::sync::Arc;
use std::time::Instant;

use crate::admission::{Capacity, LocalServer, Sample};
use crate::decision::{Cause, Verdict};
use crate::encap::Header;
use crate::flow::{self, Entry, Origin, Owner};
use crate::member::{Record, State};
use crate::packet::{Flow, Packet};

use super::{send_refusal, Action, Agent, DropReason, Output};

/// Number of members, in the order of the bucket, that are considered for passing a flow on.
const MAX_PASS_CANDIDATES: usize = 3;
/// Least hop limit of a packet whose flow may be passed on. Packets arrive with a hop limit of 4 or
/// 3, so a flow is passed on at most 3 times.
const MIN_PASS_HOP_LIMIT: u8 = 2;

impl Agent {
    /// Places a new flow: accepts it, passes it on or refuses it. No other member may decide about
    /// the flow, since this agent has claimed it or was assigned it.
    pub(super) fn place(
        &mut self,
        header: &Header,
        packet: &Packet<'_>,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> Action {
        if !self.may_decide(now) || self.server.is_none() {
            return Action::Drop(DropReason::Unleased);
        }
        if !self.serves(&packet.flow) {
            return Action::Drop(DropReason::OtherAddress);
        }
        if self.returns_to_server(&packet.flow, now) {
            return self.accept(packet, now, out);
        }
        let capacity = self.capacity(&packet.flow, now);
        match capacity {
            Capacity::Available => return self.accept(packet, now, out),
            // The sender has already chosen by load, and each further hop of a flow is one more
            // member whose restart can break it.
            Capacity::OverShare if header.assigned || self.has_restarted_recently(now) => {
                return self.accept(packet, now, out);
            }
            Capacity::Full(Cause::Shed) => return self.refuse(packet, Cause::Shed, now, out),
            Capacity::OverShare | Capacity::Full(_) => {}
        }
        let target = self.pass_target(&packet.flow, capacity, now);
        let cause = match capacity {
            Capacity::Full(cause) => cause,
            Capacity::Available | Capacity::OverShare => Cause::Bound,
        };
        match target.filter(|_| header.hop_limit >= MIN_PASS_HOP_LIMIT) {
            Some(target) => self.pass_on(header, packet, target, cause, now, out),
            None if capacity == Capacity::OverShare => self.accept(packet, now, out),
            None => self.refuse(packet, cause, now, out),
        }
    }

    fn capacity(&self, flow: &Flow, now: Instant) -> Capacity {
        if self.state() == State::Draining && self.settings.mechanisms.drain {
            return Capacity::Full(Cause::Draining);
        }
        let service = self.service.as_ref();
        let weight = service.map_or(0, |service| service.flow_weight(flow));
        match self.local_server() {
            Some(local) => self.admission.capacity(&local, weight, now),
            None => Capacity::Full(Cause::Limit),
        }
    }

    fn local_server(&self) -> Option<LocalServer> {
        let server = self.server.as_ref()?;
        let service = self.service.as_ref()?;
        let announced = server.announcement.connections;
        Some(LocalServer {
            load: self.load,
            slots: server.announcement.slots,
            connections: service
                .connections
                .map_or(announced, |limit| limit.min(announced)),
            bound_percent: service.admission_percent,
            max_class_weight: service.max_weight(),
            started: server.started,
            cold_start: service.cold_start(),
        })
    }

    /// The first active member after this one in the order of the bucket that no load sample shows
    /// to be a worse choice.
    fn pass_target(&self, flow: &Flow, capacity: Capacity, now: Instant) -> Option<Arc<Record>> {
        let view = self.view.as_ref()?;
        let is_better = |sample: &Sample| match capacity {
            Capacity::OverShare => sample.is_less_loaded(&self.load, self.own_slots()),
            _ => !sample.is_full(),
        };
        view.eligible_after(&self.settings.member, self.bucket(flow))
            .into_iter()
            .take(MAX_PASS_CANDIDATES)
            .find(|record| {
                let sample = self.admission.fresh_sample(&record.member, now);
                sample.is_none_or(is_better)
            })
            .map(|record| Arc::new(record.clone()))
    }

    fn accept(&mut self, packet: &Packet<'_>, now: Instant, out: &mut Vec<Output>) -> Action {
        self.record_local_owner(packet, now);
        self.emit_decision(packet.flow, Verdict::Accepted, Cause::Load, None, out);
        Action::Deliver
    }

    /// Records the local server as the owner and counts the flow in its load.
    pub(super) fn record_local_owner(&mut self, packet: &Packet<'_>, now: Instant) {
        let owner = Owner::Local { epoch: self.epoch };
        let entry = Entry::new(owner, packet.kind, now);
        self.flows.insert(packet.flow, entry);
        self.load.open += 1;
    }

    /// Passes a new flow on to the member that granted the claim only on this condition.
    pub(super) fn pass_reserved(
        &mut self,
        header: &Header,
        packet: &Packet<'_>,
        to: Arc<Record>,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> Action {
        if !self.may_decide(now) || !self.serves(&packet.flow) {
            return Action::Drop(DropReason::NotReady);
        }
        if header.hop_limit < MIN_PASS_HOP_LIMIT {
            return Action::Drop(DropReason::HopLimit);
        }
        self.pass_on(header, packet, to, Cause::Claim, now, out)
    }

    fn pass_on(
        &mut self,
        header: &Header,
        packet: &Packet<'_>,
        to: Arc<Record>,
        cause: Cause,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> Action {
        let (data, member) = (to.data, to.member.clone());
        self.admission.record_passed_flow(&member);
        let owner = Owner::Ceded {
            to,
            origin: Origin::Assigned,
            confirmed: false,
        };
        let entry = Entry::new(owner, packet.kind, now);
        self.flows.insert(packet.flow, entry);
        self.emit_decision(packet.flow, Verdict::Passed, cause, Some(member), out);
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
        self.emit_decision(packet.flow, Verdict::Refused, cause, None, out);
        send_refusal(packet, out);
        Action::Drop(DropReason::Refused)
    }

    pub(super) fn record_refusal(&mut self, packet: &Packet<'_>, until: Instant, now: Instant) {
        if self.settings.mechanisms.refusals {
            let entry = Entry::new(Owner::Refused { until }, packet.kind, now);
            self.flows.insert(packet.flow, entry);
        } else {
            self.flows.remove(&packet.flow);
        }
    }

    /// Number of flows that the local server may hold now; 0 while draining.
    pub(super) fn flow_limit(&self, now: Instant) -> u32 {
        if self.state() == State::Draining {
            return 0;
        }
        let local = self.local_server();
        local.map_or(0, |local| self.admission.flow_limit(&local, now))
    }
}

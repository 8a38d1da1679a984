//! Lookups of the owners of flows that may be established but are missing from the flow table.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use crate::decision::{Cause, Verdict};
use crate::encap::Header;
use crate::flow::{Entry, Evidence, Origin, Owner, Phase, DUPLICATE_WINDOW};
use crate::member::{Record, State};
use crate::packet::{Flow, Kind, Packet, Protocol};
use crate::rank;
use crate::wire::{control, Body};

use super::task::{
    Confirmation, HeldPacket, Lookup, LookupReply, PendingTask, Requester, Task, ANSWER_TIMEOUT,
};
use super::{send, send_refusal, Action, Agent, DropReason, Output, CONFIRMATION_ID_FLAG};

impl Agent {
    /// Looks up the owner of a flow at all members, or only at `only`, which must know it. The
    /// packet is held until the lookup ends.
    pub(super) fn look_up(
        &mut self,
        header: &Header,
        packet: &Packet<'_>,
        only: Option<&Record>,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> Action {
        if !self.settings.mechanisms.lookups {
            return self.adopt(header, packet, now, out);
        }
        if self.pending.is_full() {
            return Action::Drop(DropReason::HeldFull);
        }
        let requester = Requester::Packet(HeldPacket::new(header, packet));
        let targets = match only {
            Some(member) => vec![Some(member.control)],
            None => self.lookup_targets(&packet.flow, header.fallback),
        };
        self.start_lookup(packet.flow, requester, targets, now, out);
        Action::Hold
    }

    fn start_lookup(
        &mut self,
        flow: Flow,
        requester: Requester,
        targets: Vec<Option<SocketAddr>>,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let lookup = Lookup::new(requester, targets);
        let pending = self.pending.create(Task::Lookup(lookup), now);
        self.continue_lookup(flow, pending, now, out);
    }

    /// The targets of a lookup: the fallback, if there is one, then all other members in the order
    /// of the flow's bucket. Members that are down are `None`.
    fn lookup_targets(&self, flow: &Flow, fallback: Option<SocketAddr>) -> Vec<Option<SocketAddr>> {
        let Some(view) = &self.view else {
            return Vec::new();
        };
        let order = view.order(self.bucket(flow));
        let others = order
            .into_iter()
            .filter(|record| !self.is_own(&record.member))
            .map(|record| (record.state != State::Down).then_some(record.control));
        fallback.map(Some).into_iter().chain(others).collect()
    }

    /// Sends the next round of a lookup, or ends it after the last one.
    pub(super) fn continue_lookup(
        &mut self,
        flow: Flow,
        mut pending: PendingTask,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let Task::Lookup(lookup) = &mut pending.task else {
            return;
        };
        let Some(round) = lookup.next_round() else {
            return self.end_lookup(flow, pending, now, out);
        };
        let targets: Vec<_> = round
            .into_iter()
            .map(|index| (index, lookup.targets[index]))
            .collect();
        pending.due = now + ANSWER_TIMEOUT;
        for (index, target) in targets {
            let message = control::Lookup {
                id: pending.id(index),
                service: self.service_name(),
                flow: Some((&flow).into()),
            };
            if let Some(to) = target {
                send(to, Body::Lookup(message), out);
            }
        }
        self.pending.insert(flow, pending);
    }

    fn end_lookup(
        &mut self,
        flow: Flow,
        pending: PendingTask,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let Task::Lookup(lookup) = pending.task else {
            return;
        };
        if !lookup.is_complete() || !self.may_decide(now) {
            return;
        }
        let own = &self.settings.member;
        let former = lookup
            .former_owner(own)
            .or_else(|| self.first_without_records(&lookup, &flow, now));
        let other = former.filter(|owner| owner.member != *own && !self.is_recovered(&flow));
        if let Some(owner) = other.cloned() {
            let owner = Record::clone(&owner);
            return self.finish_found_lookup(flow, lookup.requester, owner, now, out);
        }
        match lookup.requester {
            Requester::Packet(held) => {
                let action = self.place_or_adopt(&held.header, &held.packet(flow), now, out);
                Self::emit_held_packet(action, held, out);
            }
            Requester::Member { to, id } if flow.protocol == Protocol::Udp => {
                send_lookup_answer(to, id, control::Verdict::Unknown, None, out);
            }
            Requester::Member { to, id } => {
                let packet = Packet {
                    flow,
                    kind: Kind::Segment,
                    bytes: &[],
                };
                if self.is_arbiter(&flow) {
                    self.record_local_owner(&packet, now);
                    self.emit_decision(flow, Verdict::Adopted, Cause::Lookup, None, out);
                    let verdict = control::Verdict::Owned;
                    send_lookup_answer(to, id, verdict, Some(&self.record()), out);
                }
            }
        }
    }

    /// The first member in the order of the bucket that lost its flow records in a restart, unless
    /// this agent lost its own and ranks higher.
    ///
    /// It is the likeliest owner of a flow that no member knows. Flows that began while it was away
    /// are no candidates: the other members name them in its recovery.
    fn first_without_records<'a>(
        &self,
        lookup: &'a Lookup,
        flow: &Flow,
        now: Instant,
    ) -> Option<&'a Arc<Record>> {
        let first = lookup.first_without_records()?;
        let bucket = self.bucket(flow);
        let own = rank::key(&self.settings.member, self.own_slots(), bucket);
        let precedes = own > rank::key(&first.member, first.slots, bucket);
        (!precedes || !self.has_lost_records(now)).then_some(first)
    }

    fn is_recovered(&self, flow: &Flow) -> bool {
        let entry = self.flows.get(flow);
        let evidence = entry.map(|entry| &entry.owner);
        matches!(
            evidence,
            Some(Owner::Recovered(Evidence::PeerRecord | Evidence::Delivered))
        )
    }

    /// Whether flows of an earlier run of this agent may still be established.
    fn has_lost_records(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.started);
        self.restarted && age < self.idle_timeouts().tcp()
    }

    /// Handles a packet of a flow that no member knows: an established flow is adopted, a new one
    /// is placed or claimed.
    fn place_or_adopt(
        &mut self,
        header: &Header,
        packet: &Packet<'_>,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> Action {
        let owner = self.flows.get(&packet.flow).map(|entry| &entry.owner);
        if !packet.kind.can_open_flow() || matches!(owner, Some(Owner::Recovered(_))) {
            return self.adopt(header, packet, now, out);
        }
        if header.assigned {
            return self.place(header, packet, now, out);
        }
        self.claim(header, packet, None, now, out)
    }

    /// Makes the local server the owner of a flow that no member knows.
    ///
    /// If the server doesn't know the connection, it sends a reset, which is the correct answer.
    fn adopt(
        &mut self,
        header: &Header,
        packet: &Packet<'_>,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> Action {
        if header.fallback.is_some() {
            // The flow belongs to the service that had the address before.
            send_refusal(packet, out);
            return Action::Drop(DropReason::OtherService);
        }
        self.record_local_owner(packet, now);
        self.emit_decision(packet.flow, Verdict::Adopted, Cause::Lookup, None, out);
        Action::Deliver
    }

    /// Answers the lookup of another member.
    pub(super) fn answer_lookup(
        &mut self,
        from: SocketAddr,
        lookup: control::Lookup,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let Some(flow) = lookup.flow.as_ref().and_then(|flow| flow.try_into().ok()) else {
            return;
        };
        let known = self
            .flows
            .get(&flow)
            .map(|entry| (&entry.owner, entry.phase));
        let opening = |phase| flow.protocol == Protocol::Tcp && phase == Phase::Opening;
        let (verdict, owner) = match known {
            Some((Owner::Local { .. }, phase)) if opening(phase) && !self.may_decide(now) => {
                (control::Verdict::NotReady, None)
            }
            Some((Owner::Local { .. } | Owner::Recovered(Evidence::Delivered), _)) => {
                (control::Verdict::Owned, Some(self.record()))
            }
            Some((Owner::Recovered(Evidence::PeerRecord), _)) => {
                (control::Verdict::Granted, Some(self.record()))
            }
            Some((Owner::Recovered(Evidence::Granted), _)) => {
                (control::Verdict::Unknown, Some(self.record()))
            }
            Some((Owner::Ceded { to, origin, .. }, _)) => match self.reachable(to) {
                // The claimant may not have decided yet, so the verdict is not `Owned`.
                Some(owner) if *origin == Origin::Granted => {
                    (control::Verdict::Granted, Some(owner))
                }
                Some(owner) => (control::Verdict::Owned, Some(owner)),
                None => (control::Verdict::NotReady, None),
            },
            Some((Owner::Claimed, _)) => (control::Verdict::NotReady, None),
            Some((Owner::Refused { until }, _)) if now < *until => {
                (control::Verdict::Refused, None)
            }
            Some((Owner::Refused { .. }, _)) => (control::Verdict::Unknown, None),
            None if !self.is_for_service(&lookup.service) => {
                if self.may_decide(now) && !self.pending.contains(&flow) && !self.pending.is_full()
                {
                    let requester = Requester::Member {
                        to: from,
                        id: lookup.id,
                    };
                    let targets = self.lookup_targets(&flow, None);
                    self.start_lookup(flow, requester, targets, now, out);
                }
                return;
            }
            // A restarted agent may have lost its record of the flow. If this agent is the arbiter
            // in its own view, the packet belongs here and the asking member must not adopt the
            // flow.
            None if self.may_lack_flow_records(now) || self.is_arbiter(&flow) => {
                (control::Verdict::NotReady, None)
            }
            None if self.has_lost_records(now) => (control::Verdict::Unknown, Some(self.record())),
            None => (control::Verdict::Unknown, None),
        };
        send_lookup_answer(from, lookup.id, verdict, owner.as_ref(), out);
    }

    /// Whether the table may lack flows that this agent owns: it has no lease, a later run of it is
    /// known, or it has not recovered from a restart yet.
    fn may_lack_flow_records(&self, now: Instant) -> bool {
        let unleased = !self.heartbeat.is_leased(now);
        unleased || self.superseded || (self.restarted && !self.joined)
    }

    /// Handles the answer to a lookup.
    pub(super) fn handle_lookup_answer(
        &mut self,
        answer: control::LookupAnswer,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let owner = answer.owner.as_ref().and_then(|r| Record::try_from(r).ok());
        if answer.id & CONFIRMATION_ID_FLAG != 0 {
            return self.handle_confirmation(answer.id, answer.verdict(), owner, now);
        }
        let Some((flow, mut pending, index)) = self.pending.take_by_id(answer.id) else {
            return;
        };
        if !self.may_decide(now) {
            return;
        }
        let Task::Lookup(lookup) = &mut pending.task else {
            return self.pending.insert(flow, pending);
        };
        if index >= lookup.targets.len() {
            return self.pending.insert(flow, pending);
        }
        let own = &self.settings.member;
        let named_own = owner.as_ref().is_some_and(|owner| owner.member == *own);
        match (answer.verdict(), owner) {
            (control::Verdict::Refused, _) => {
                return self.lookup_refused(flow, pending, index, now, out);
            }
            (control::Verdict::Unknown, None) => lookup.replies[index] = LookupReply::Unknown,
            (control::Verdict::Unknown, Some(member)) => {
                lookup.replies[index] = LookupReply::RecordsLost(Arc::new(member));
            }
            (control::Verdict::Granted, Some(owner)) => {
                let to = owner.control;
                if lookup.targets[index] == Some(to) {
                    lookup.replies[index] = LookupReply::FormerOwner(Arc::new(owner));
                } else {
                    let to = (!named_own).then_some(to);
                    lookup.add_referral(index, LookupReply::Granted(Arc::new(owner)), to);
                }
            }
            (control::Verdict::Owned, Some(owner)) => {
                let to = owner.control;
                if lookup.targets[index] == Some(to) {
                    let Task::Lookup(lookup) = pending.task else {
                        return;
                    };
                    return self.finish_found_lookup(flow, lookup.requester, owner, now, out);
                }
                let to = (!named_own).then_some(to);
                lookup.add_referral(index, LookupReply::Named(Arc::new(owner)), to);
            }
            _ => {}
        }
        self.lookup_replied(flow, pending, now, out);
    }

    /// Continues a lookup without waiting for its timeout if every member asked has answered.
    fn lookup_replied(
        &mut self,
        flow: Flow,
        pending: PendingTask,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        match &pending.task {
            Task::Lookup(lookup) if lookup.is_round_answered() => {
                self.continue_lookup(flow, pending, now, out);
            }
            _ => self.pending.insert(flow, pending),
        }
    }

    /// Refuses a held first packet because another member has refused its flow. For other packets
    /// the answer counts as not knowing the flow.
    fn lookup_refused(
        &mut self,
        flow: Flow,
        mut pending: PendingTask,
        index: usize,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let Task::Lookup(lookup) = &mut pending.task else {
            return;
        };
        match &lookup.requester {
            Requester::Packet(held) if held.kind.can_open_flow() => {
                let packet = held.packet(flow);
                self.record_refusal(&packet, now + DUPLICATE_WINDOW, now);
                send_refusal(&packet, out);
            }
            _ => {
                lookup.replies[index] = LookupReply::Unknown;
                self.lookup_replied(flow, pending, now, out);
            }
        }
    }

    /// Records the owner that a lookup found, then forwards the held packet or answers the member
    /// that asked.
    fn finish_found_lookup(
        &mut self,
        flow: Flow,
        requester: Requester,
        owner: Record,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        match requester {
            Requester::Packet(held) => {
                self.record_remote_owner(&flow, held.kind, owner, true, now);
                self.emit_ceded_decision(flow, Cause::Lookup, out);
                let action = self.dispatch(&held.header, &held.packet(flow), now, out);
                Self::emit_held_packet(action, held, out);
            }
            Requester::Member { to, id } => {
                self.record_remote_owner(&flow, Kind::Segment, owner.clone(), true, now);
                let verdict = control::Verdict::Owned;
                send_lookup_answer(to, id, verdict, Some(&owner), out);
            }
        }
    }

    /// Records another member as the owner of a flow.
    pub(super) fn record_remote_owner(
        &mut self,
        flow: &Flow,
        kind: Kind,
        to: Record,
        confirmed: bool,
        now: Instant,
    ) {
        let owner = Owner::Ceded {
            to: Arc::new(to),
            origin: Origin::Learned,
            confirmed,
        };
        self.flows.insert(*flow, Entry::new(owner, kind, now));
    }

    pub(super) fn emit_ceded_decision(&self, flow: Flow, cause: Cause, out: &mut Vec<Output>) {
        if let Some(Owner::Ceded { to, .. }) = self.flows.get(&flow).map(|entry| &entry.owner) {
            self.emit_decision(flow, Verdict::Ceded, cause, Some(to.member.clone()), out);
        }
    }

    /// Asks the recorded owner of a flow whether it owns the flow or has passed it on.
    ///
    /// Otherwise packets would follow the whole chain of members that passed the flow on, and the
    /// flow would break with any of them.
    pub(super) fn request_confirmation(
        &mut self,
        flow: &Flow,
        to: SocketAddr,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        if self.confirmations.contains_key(flow) {
            return;
        }
        let id = self.next_id() | CONFIRMATION_ID_FLAG;
        self.confirmations
            .insert(*flow, Confirmation { id, to, sent: now });
        let message = control::Lookup {
            id,
            service: self.service_name(),
            flow: Some(flow.into()),
        };
        send(to, Body::Lookup(message), out);
    }

    fn handle_confirmation(
        &mut self,
        id: u64,
        verdict: control::Verdict,
        named: Option<Record>,
        now: Instant,
    ) {
        let asked = self.confirmations.iter().find(|(_, asked)| asked.id == id);
        let Some((flow, asked)) = asked.map(|(flow, asked)| (*flow, *asked)) else {
            return;
        };
        self.confirmations.remove(&flow);
        let Some(named) = named else {
            return;
        };
        if self.is_own(&named.member) {
            return self.forget_unowned(&flow);
        }
        let Some(entry) = self.flows.get_mut(&flow) else {
            return;
        };
        let Owner::Ceded {
            to,
            origin,
            confirmed,
        } = &mut entry.owner
        else {
            return;
        };
        if verdict != control::Verdict::Owned || to.control != asked.to {
            return;
        }
        if to.member == named.member {
            *confirmed = true;
            return;
        }
        *to = Arc::new(named);
        if *origin == Origin::Granted {
            *origin = Origin::Learned;
        }
        entry.last_seen = now;
    }

    /// Removes the entry of a flow whose recorded owner names this agent as the owner.
    ///
    /// Then neither of the two has decided about the flow, except if this agent assigned it and the
    /// packet is still on its way.
    fn forget_unowned(&mut self, flow: &Flow) {
        let owner = self.flows.get(flow).map(|entry| &entry.owner);
        let ceded = match owner {
            Some(Owner::Ceded { origin, .. }) => *origin != Origin::Assigned,
            _ => false,
        };
        if ceded && !self.runs_at_most_once(flow) {
            self.flows.remove(flow);
        }
    }
}

fn send_lookup_answer(
    to: SocketAddr,
    id: u64,
    verdict: control::Verdict,
    owner: Option<&Record>,
    out: &mut Vec<Output>,
) {
    let mut answer = control::LookupAnswer {
        id,
        owner: owner.map(Into::into),
        ..Default::default()
    };
    answer.set_verdict(verdict);
    send(to, Body::LookupAnswer(answer), out);
}

//! Claims of new flows while the membership changes.
//!
//! Members learn of a change at different times, so several of them can take themselves for a
//! flow's arbiter. Each claims the flow from all possible arbiters, in the same order, and only the
//! one that all of them grant it to decides.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::decision::Cause;
use crate::encap::Header;
use crate::flow::{Entry, Origin, Owner};
use crate::id::Member;
use crate::member::{Record, State};
use crate::packet::{Flow, Kind, Packet};
use crate::view::Peer;
use crate::wire::{control, Body};

use super::task::{Claim, HeldPacket, PendingTask, Task, ANSWER_TIMEOUT};
use super::{send, send_refusal, Action, Agent, DropReason, Output};

/// Times a claim is sent to one member before it counts as unanswered.
pub const CLAIM_ATTEMPTS: u8 = 3;
/// Time for which claims leave out a member that did not answer one, except for flows whose
/// requests run at most once.
pub const UNRESPONSIVE_RETRY_DELAY: Duration = Duration::from_secs(1);

impl Agent {
    /// Claims a new flow from every other possible arbiter, then places it. `former` is a previous
    /// owner that is down; it is asked first.
    pub(super) fn claim(
        &mut self,
        header: &Header,
        packet: &Packet<'_>,
        former: Option<Arc<Record>>,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> Action {
        let flow = packet.flow;
        let Some(view) = self
            .view
            .as_ref()
            .filter(|_| self.settings.mechanisms.claims)
        else {
            return self.place(header, packet, now, out);
        };
        let window = self.arbiter_change_window(&flow);
        let own = &self.settings.member;
        let peers = view.claim_targets(own, self.bucket(&flow), window, now);
        let departed = |peer: &&Peer| {
            peer.record.member != *own
                && !peer.record.state.is_arbiter()
                && peer.was_arbiter_within(window, now)
        };
        if self.runs_at_most_once(&flow) && peers.iter().any(departed) {
            return Action::Drop(DropReason::OutcomeUnknown);
        }
        let others = peers.iter().map(|peer| Arc::new(peer.record.clone()));
        let mut claim = Claim {
            members: former.iter().cloned().chain(others).collect(),
            index: 0,
            attempts: 1,
            former: former.map(|former| former.member.clone()),
            reserved: None,
        };
        match self.advance_claim(&flow, packet.kind, &mut claim, now) {
            ClaimProgress::Won => self.place(header, packet, now, out),
            ClaimProgress::Lost => self.dispatch(header, packet, now, out),
            ClaimProgress::Ask if self.pending.is_full() => Action::Drop(DropReason::HeldFull),
            ClaimProgress::Ask => {
                let task = Task::Claim(claim, HeldPacket::new(header, packet));
                let pending = self.pending.create(task, now);
                self.send_claim(&flow, &pending, out);
                self.pending.insert(flow, pending);
                Action::Hold
            }
        }
    }

    /// Advances a claim to the next member that has to be asked. At this agent's own place in the
    /// order, the flow is recorded as claimed.
    fn advance_claim(
        &mut self,
        flow: &Flow,
        kind: Kind,
        claim: &mut Claim,
        now: Instant,
    ) -> ClaimProgress {
        while let Some(member) = claim.members.get(claim.index) {
            if self.is_own(&member.member) {
                match self.flows.get(flow).map(|entry| &entry.owner) {
                    None => {
                        let entry = Entry::new(Owner::Claimed, kind, now);
                        self.flows.insert(*flow, entry);
                    }
                    Some(Owner::Claimed) => {}
                    Some(Owner::Ceded { to, .. }) if Some(&to.member) == claim.former.as_ref() => {
                        let entry = Entry::new(Owner::Claimed, kind, now);
                        self.flows.insert(*flow, entry);
                    }
                    Some(_) => return ClaimProgress::Lost,
                }
            } else if !self.is_unresponsive(&member.member, flow, now) {
                return ClaimProgress::Ask;
            }
            claim.index += 1;
            claim.attempts = 1;
        }
        ClaimProgress::Won
    }

    /// Whether a member did not answer a claim recently. It is asked again after a delay, because
    /// it may have been declared down by mistake.
    fn is_unresponsive(&self, member: &Member, flow: &Flow, now: Instant) -> bool {
        let asked = self.unresponsive.get(member);
        let timed_out =
            asked.is_some_and(|at| now.saturating_duration_since(*at) < UNRESPONSIVE_RETRY_DELAY);
        timed_out && !self.runs_at_most_once(flow)
    }

    /// Whether a claim may go on without a member's grant: the member is unknown, down, or joining
    /// without a recent earlier run. A restarted member is waited for, as it soon recovers its
    /// flows.
    fn may_proceed_without(&self, member: &Member, flow: &Flow, now: Instant) -> bool {
        if self.runs_at_most_once(flow) {
            return false;
        }
        let peer = self.view.as_ref().and_then(|view| view.get(member));
        peer.is_none_or(|peer| match peer.record.state {
            State::Joining => !peer.was_arbiter_within(self.arbiter_change_window(flow), now),
            State::Active | State::Draining => false,
            State::Down => true,
        })
    }

    /// Sends the claim to the member whose grant it needs next.
    fn send_claim(&self, flow: &Flow, pending: &PendingTask, out: &mut Vec<Output>) {
        let Task::Claim(claim, _) = &pending.task else {
            return;
        };
        let member = &claim.members[claim.index];
        let message = control::Claim {
            id: pending.id(claim.index),
            service: self.service_name(),
            flow: Some(flow.into()),
            claimant: Some(Box::new((&self.record()).into())),
            generation: self.generation.0,
        };
        send(member.control, Body::Claim(message), out);
    }

    /// Answers the claim of another member.
    pub(super) fn answer_claim(
        &mut self,
        from: SocketAddr,
        claim: control::Claim,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let flow = claim.flow.as_ref().and_then(|flow| flow.try_into().ok());
        let claimant = claim
            .claimant
            .as_ref()
            .and_then(|r| Record::try_from(&**r).ok());
        let (Some(flow), Some(claimant)) = (flow, claimant) else {
            return;
        };
        if !self.is_for_service(&claim.service) || claimant.service != self.record().service {
            return;
        }
        self.unresponsive.remove(&claimant.member);
        let mut answer = control::ClaimAnswer {
            id: claim.id,
            ..Default::default()
        };
        let verdict = match self.evaluate_claim(&flow, claimant, now) {
            ClaimDecision::Granted => control::Verdict::Granted,
            ClaimDecision::Owned(by) => {
                answer.owner = Some((&by).into());
                control::Verdict::Owned
            }
            ClaimDecision::Refused(until) => {
                let left = until.saturating_duration_since(now);
                answer.refused_for_millis = left.as_millis() as u32 + 1;
                control::Verdict::Refused
            }
            ClaimDecision::Reserved => control::Verdict::Reserved,
            ClaimDecision::NotReady => control::Verdict::NotReady,
        };
        answer.set_verdict(verdict);
        send(from, Body::ClaimAnswer(answer), out);
    }

    /// Decides about another member's claim. A grant is recorded in the flow table.
    fn evaluate_claim(&mut self, flow: &Flow, claimant: Record, now: Instant) -> ClaimDecision {
        let leased = self.heartbeat.is_leased(now) || !self.settings.mechanisms.lease;
        let recovering = self.restarted && !self.joined;
        if !leased || self.superseded || recovering || self.awaits_duplicates(flow, now) {
            return ClaimDecision::NotReady;
        }
        if let Some(entry) = self.flows.get(flow) {
            match &entry.owner {
                Owner::Local { epoch } if *epoch != self.epoch && self.runs_at_most_once(flow) => {
                    return ClaimDecision::NotReady;
                }
                Owner::Local { .. } | Owner::Claimed | Owner::Recovered(_) => {
                    return ClaimDecision::Owned(self.record());
                }
                Owner::Ceded { to, .. } if to.member == claimant.member => {
                    return ClaimDecision::Granted;
                }
                Owner::Ceded { to, .. } => match self.reachable(to) {
                    Some(owner) => return ClaimDecision::Owned(owner),
                    None if self.runs_at_most_once(flow) => return ClaimDecision::NotReady,
                    None => {}
                },
                Owner::Refused { until } if now < *until => return ClaimDecision::Refused(*until),
                Owner::Refused { .. } => {}
            }
        }
        if self.returns_to_server(flow, now) {
            return ClaimDecision::Reserved;
        }
        let owner = Owner::Ceded {
            to: Arc::new(claimant),
            origin: Origin::Granted,
            confirmed: false,
        };
        let entry = Entry::new(owner, Kind::Datagram, now);
        self.flows.insert(*flow, entry);
        ClaimDecision::Granted
    }

    /// Handles the answer to a claim.
    pub(super) fn handle_claim_answer(
        &mut self,
        answer: control::ClaimAnswer,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let Some((flow, mut pending, index)) = self.pending.take_by_id(answer.id) else {
            return;
        };
        if !self.may_decide(now) {
            return;
        }
        let Task::Claim(claim, _) = &mut pending.task else {
            return self.pending.insert(flow, pending);
        };
        if claim.index != index {
            return self.pending.insert(flow, pending);
        }
        let member = claim.members[index].member.clone();
        match answer.verdict() {
            control::Verdict::Granted => self.claim_granted(flow, pending, now, out),
            // A second reservation falls through: the servers of two members may have run the
            // request, so its outcome is unknown.
            control::Verdict::Reserved if claim.reserved.is_none() => {
                claim.reserved = Some(claim.members[index].clone());
                self.claim_granted(flow, pending, now, out);
            }
            control::Verdict::NotReady if self.may_proceed_without(&member, &flow, now) => {
                self.claim_granted(flow, pending, now, out)
            }
            control::Verdict::Owned => {
                let owner = answer.owner.as_ref().and_then(|r| Record::try_from(r).ok());
                self.claim_lost(flow, pending, owner, now, out);
            }
            control::Verdict::Refused => {
                let left = Duration::from_millis(u64::from(answer.refused_for_millis));
                self.claim_refused(flow, pending, now + left, now, out);
            }
            // The member may own the flow. The held packet is dropped; the client sends it again.
            _ => {}
        }
    }

    /// Continues a claim after the grant of the member that was asked, or without it.
    fn claim_granted(
        &mut self,
        flow: Flow,
        mut pending: PendingTask,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let Task::Claim(claim, held) = &mut pending.task else {
            return;
        };
        claim.index += 1;
        claim.attempts = 1;
        let outcome = self.advance_claim(&flow, held.kind, claim, now);
        if outcome == ClaimProgress::Ask {
            pending.due = now + ANSWER_TIMEOUT;
            self.send_claim(&flow, &pending, out);
            return self.pending.insert(flow, pending);
        }
        let Task::Claim(claim, held) = pending.task else {
            return;
        };
        let (header, packet) = (held.header, held.packet(flow));
        let action = match (outcome, claim.reserved) {
            (ClaimProgress::Won, Some(member)) => {
                self.pass_reserved(&header, &packet, member, now, out)
            }
            (ClaimProgress::Won, None) => self.place(&header, &packet, now, out),
            _ => self.dispatch(&header, &packet, now, out),
        };
        Self::emit_held_packet(action, held, out);
    }

    /// Records the owner that a member has named and forwards the held packet to it.
    fn claim_lost(
        &mut self,
        flow: Flow,
        pending: PendingTask,
        owner: Option<Record>,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let Task::Claim(_, held) = pending.task else {
            return;
        };
        let Some(owner) = owner.filter(|owner| !self.is_own(&owner.member)) else {
            return;
        };
        if self.reachable(&owner).is_none() {
            return;
        }
        self.record_remote_owner(&flow, held.kind, owner, false, now);
        let cause = Cause::Claim;
        self.emit_ceded_decision(flow, cause, out);
        let action = self.dispatch(&held.header, &held.packet(flow), now, out);
        Self::emit_held_packet(action, held, out);
    }

    fn claim_refused(
        &mut self,
        flow: Flow,
        pending: PendingTask,
        until: Instant,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let Task::Claim(_, held) = pending.task else {
            return;
        };
        let packet = held.packet(flow);
        self.record_refusal(&packet, until, now);
        send_refusal(&packet, out);
    }

    pub(super) fn repeat_claim(
        &mut self,
        flow: Flow,
        mut pending: PendingTask,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let Task::Claim(claim, _) = &mut pending.task else {
            return;
        };
        if claim.attempts < CLAIM_ATTEMPTS {
            claim.attempts += 1;
            pending.due = now + ANSWER_TIMEOUT;
            self.send_claim(&flow, &pending, out);
            return self.pending.insert(flow, pending);
        }
        let member = claim.members[claim.index].member.clone();
        if self.may_proceed_without(&member, &flow, now) {
            self.unresponsive.insert(member, now);
            self.claim_granted(flow, pending, now, out);
        }
    }
}

/// Progress of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClaimProgress {
    /// The next member has to be asked.
    Ask,
    /// Every member has granted the claim.
    Won,
    /// The flow has another entry here, for example since this agent granted it to another member.
    Lost,
}

/// This agent's decision about another member's claim.
enum ClaimDecision {
    Granted,
    /// A member owns the flow, this one or another.
    Owned(Record),
    /// The flow is refused until this time.
    Refused(Instant),
    /// Granted on condition that the claimant passes the flow to this member, whose server may have
    /// run the request.
    Reserved,
    /// No decision is possible now.
    NotReady,
}

//! What an agent knows of the flows that its server may hold.
//!
//! Each packet between clients and the server passes the agent, so it has a record of each flow that was
//! opened while it runs; the snapshot of an earlier run names others. Lookups are answered from these
//! records. A packet that reaches a server that doesn't hold its flow costs the server and the caller,
//! whose flow counts as misrouted if none reaches its own server. Servers are asked about flows without
//! a record in the verification only, when no agent has one, and once for each flow.

use std::time::{Duration, Instant};

use crate::steering::agent_flow::AgentFlow;
use crate::steering::message::Forward;
use crate::steering::segment::{same_flow, Segment};
use crate::steering::snapshot::Snapshot;

use super::{Agent, Output, FLOW_EXPIRY};

/// Longest time for which lookups wait for the snapshot of an earlier run: the client's third copy is
/// still on its way by then.
const SNAPSHOT_WAIT_MAX: Duration = Duration::from_millis(500);
/// Maximum number of lookups that wait. Further ones are dropped, and their balancers ask again.
const WAITING_LOOKUPS_MAX: usize = 1024;
/// Maximum number of returned flows that are remembered.
const RETURNED_MAX: usize = 16_384;

/// What the agent's records say of an open flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Knowledge {
    /// Packets of the flow have passed, or a snapshot names it.
    Recorded,
    /// There is no record. The server may hold the flow if the agent started after it.
    Unrecorded,
    /// The server has returned a packet of the flow, and has got no opening packet of it since.
    Returned,
}

/// The last packet of a flow that the server has returned.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReturnedPacket {
    acknowledgement: u32,
    at: Instant,
}

/// A packet of a lookup that arrived before the snapshot of an earlier run was read.
#[derive(Debug)]
pub(super) struct WaitingLookup {
    segment: Segment,
    forward: Forward,
    verify: bool,
}

impl Agent {
    /// Makes lookups wait for a while for [`Agent::restore`] or [`Agent::no_snapshot`].
    pub fn await_snapshot(&mut self, now: Instant) {
        self.snapshot_read = false;
        self.lookups_wait_until = Some(now + SNAPSHOT_WAIT_MAX);
    }

    /// Records that no earlier run has saved a snapshot.
    pub fn no_snapshot(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.snapshot_read = true;
        self.resume_lookups(now, out);
    }

    /// Handles the lookups that have waited for the snapshot.
    pub(super) fn resume_lookups(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.lookups_wait_until = None;
        for waiting in std::mem::take(&mut self.waiting_lookups) {
            self.client_packet(waiting.segment, waiting.forward, waiting.verify, now, out);
        }
    }

    /// Whether a lookup has to wait until the snapshot has been read.
    pub(super) fn lookup_waits(&self, segment: &Segment) -> bool {
        self.lookups_wait_until.is_some() && self.knowledge(segment) == Knowledge::Unrecorded
    }

    pub(super) fn queue_lookup(&mut self, segment: Segment, forward: Forward, verify: bool) {
        if self.waiting_lookups.len() < WAITING_LOOKUPS_MAX {
            self.waiting_lookups.push(WaitingLookup {
                segment,
                forward,
                verify,
            });
        }
    }

    pub(super) fn knowledge(&self, segment: &Segment) -> Knowledge {
        let flow = &segment.flow;
        let named = |snapshot: &Snapshot| snapshot.names(flow);
        let same =
            |earlier: &ReturnedPacket| same_flow(earlier.acknowledgement, segment.acknowledgement);
        if self.returned.get(flow).is_some_and(same) {
            return Knowledge::Returned;
        }
        match self.flows.get(flow) {
            // The server holds an earlier flow of the port, or has accepted a copy of an opening packet
            // whose client has chosen another server.
            Some(tracked) if tracked.is_other(segment.acknowledgement) => {
                return Knowledge::Unrecorded;
            }
            Some(_) => return Knowledge::Recorded,
            None => {}
        }
        match self.previous_snapshot.as_ref().is_some_and(named) {
            true => Knowledge::Recorded,
            false => Knowledge::Unrecorded,
        }
    }

    /// Records that the server has returned a packet.
    pub(super) fn record_return(&mut self, segment: &Segment) {
        let flow = segment.flow;
        let acknowledgement = segment.acknowledgement;
        // The server may hold another flow of the same client address and port, or be about to.
        let kept = |tracked: &AgentFlow| match segment.opens() {
            true => tracked.answered_at.is_some(),
            false => tracked.opening || tracked.is_other(acknowledgement),
        };
        if !self.flows.get(&flow).is_some_and(kept) {
            self.flows.remove(&flow);
        }
        if segment.opens() {
            return;
        }
        if self.returned.len() >= RETURNED_MAX {
            self.returned.clear();
        }
        let packet = ReturnedPacket {
            acknowledgement,
            at: self.last_tick,
        };
        self.returned.insert(flow, packet);
    }

    /// Ends what is no longer needed: no flow outlives [`FLOW_EXPIRY`].
    pub(super) fn expire_records(&mut self, now: Instant) {
        let expired = |at: Instant| now.saturating_duration_since(at) >= FLOW_EXPIRY;
        self.flows
            .retain(|_, tracked| !expired(tracked.last_packet_at));
        self.returned.retain(|_, packet| !expired(packet.at));
    }
}

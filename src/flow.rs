//! The agent's flow table and its expiry.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foldhash::fast::FixedState;

use crate::config::IdleTimeouts;
use crate::member::Record;
use crate::packet::{Flow, Kind, Protocol};

/// Time within which copies of a packet may still arrive.
pub const DUPLICATE_WINDOW: Duration = Duration::from_secs(30);
/// A flow counts as active for this long after a packet.
pub const ACTIVE_PERIOD: Duration = Duration::from_secs(1);

/// How another member became the owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// This agent granted the other's claim.
    Granted,
    /// This agent passed the flow on.
    Assigned,
    /// A member named the owner in an answer.
    Learned,
}

/// Why an agent takes itself for the owner of a flow that it has no certain record of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// A member granted a claim to the agent's earlier run, which may have passed the flow on.
    Granted,
    /// A member passed the flow on to the agent's earlier run.
    PeerRecord,
    /// The local server received a SYN before the agent's lease lapsed.
    Delivered,
}

/// Who owns a flow, as far as this agent knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owner {
    /// The local server. `epoch` is the run of the server that received the flow.
    Local {
        /// Number of server runs seen by this agent when the flow was accepted.
        epoch: u32,
    },
    /// Another member.
    Ceded {
        /// The member as it was known when the flow was ceded.
        to: Arc<Record>,
        /// How it became the owner.
        origin: Origin,
        /// The member named itself as the owner.
        confirmed: bool,
    },
    /// This agent is claiming the flow and grants it to nobody else.
    Claimed,
    /// This agent, unless another member took the flow over while this one was restarting or had
    /// no lease.
    Recovered(Evidence),
    /// Nobody: nothing of the flow has been delivered.
    Refused {
        /// End of the refusal.
        until: Instant,
    },
}

/// How far the connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Only first packets were seen.
    Opening,
    /// Packets other than the first were seen.
    Established,
    /// FIN or RST was seen.
    Closing,
}

/// What the agent knows about a flow.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Who owns it.
    pub owner: Owner,
    /// How far it has come.
    pub phase: Phase,
    /// Arrival of its last packet from the client.
    pub last_seen: Instant,
}

impl Entry {
    /// An entry of a flow whose packet has just arrived.
    pub fn new(owner: Owner, kind: Kind, now: Instant) -> Self {
        let mut entry = Self {
            owner,
            phase: Phase::Opening,
            last_seen: now,
        };
        entry.touch(kind, now);
        entry
    }

    /// Notes the arrival of a packet.
    #[inline]
    pub fn touch(&mut self, kind: Kind, now: Instant) {
        match kind {
            Kind::Error => return,
            Kind::Closing => self.phase = Phase::Closing,
            Kind::Segment if self.phase == Phase::Opening => self.phase = Phase::Established,
            Kind::Syn if self.phase == Phase::Closing => self.phase = Phase::Opening,
            _ => {}
        }
        self.last_seen = now;
    }

    fn is_expired(&self, flow: &Flow, timeouts: &IdleTimeouts, now: Instant) -> bool {
        let idle = now.saturating_duration_since(self.last_seen);
        match (&self.owner, flow.protocol, self.phase) {
            (Owner::Refused { until }, ..) => now >= *until,
            (_, Protocol::Udp, _) => idle >= timeouts.udp(),
            (Owner::Claimed, ..) => idle >= timeouts.closing(),
            (_, _, Phase::Established) => idle >= timeouts.tcp(),
            (_, _, Phase::Opening | Phase::Closing) => idle >= timeouts.closing(),
        }
    }
}

/// Flows owned by the local server, as counted at one time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FlowCounts {
    /// All of them.
    pub open: u32,
    /// Those with a packet within [`ACTIVE_PERIOD`].
    pub active: u32,
}

/// All flows that the agent has decided about or was told about.
#[derive(Clone, Debug)]
pub struct Table {
    // The hasher is seeded: callers choose their ports and must not be able to provoke collisions.
    entries: HashMap<Flow, Entry, FixedState>,
}

impl Table {
    /// An empty table.
    pub fn new(seed: u64) -> Self {
        Self {
            entries: HashMap::with_hasher(FixedState::with_seed(seed)),
        }
    }

    /// The entry of a flow.
    #[inline]
    pub fn get(&self, flow: &Flow) -> Option<&Entry> {
        self.entries.get(flow)
    }

    /// The entry of a flow, to change it.
    #[inline]
    pub fn get_mut(&mut self, flow: &Flow) -> Option<&mut Entry> {
        self.entries.get_mut(flow)
    }

    /// Adds or replaces an entry.
    pub fn insert(&mut self, flow: Flow, entry: Entry) {
        self.entries.insert(flow, entry);
    }

    /// Forgets a flow.
    pub fn remove(&mut self, flow: &Flow) {
        self.entries.remove(flow);
    }

    /// All flows.
    pub fn iter(&self) -> impl Iterator<Item = (&Flow, &Entry)> {
        self.entries.iter()
    }

    /// All flows, to change them.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&Flow, &mut Entry)> {
        self.entries.iter_mut()
    }

    /// Number of flows.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no flow is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Removes expired entries and measures the load of the local server.
pub fn expire_and_count(
    table: &mut Table,
    epoch: u32,
    timeouts: &IdleTimeouts,
    now: Instant,
) -> FlowCounts {
    let mut counts = FlowCounts::default();
    table.entries.retain(|flow, entry| {
        if entry.is_expired(flow, timeouts, now) {
            return false;
        }
        if entry.owner == (Owner::Local { epoch }) {
            counts.open += 1;
            let idle = now.saturating_duration_since(entry.last_seen);
            counts.active += u32::from(idle < ACTIVE_PERIOD);
        }
        true
    });
    counts
}

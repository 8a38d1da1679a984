//! The agent's flow table: the owner of each flow, idle expiry, and the counts of local flows.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use foldhash::fast::FixedState;

use crate::config::IdleTimeouts;
use crate::member::Record;
use crate::packet::{Flow, Kind, Protocol};

/// Time after a packet for which the network may still deliver copies of it. A refusal is
/// kept for this long.
pub const DUPLICATE_WINDOW: Duration = Duration::from_secs(30);
/// A flow counts as active if its last packet from the client is less than this old.
pub const ACTIVE_PERIOD: Duration = Duration::from_secs(1);

/// How this agent learned that another member owns a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// This agent granted the other member's claim.
    Granted,
    /// This agent passed the flow on to the other member, and forwards its packets as assigned.
    Assigned,
    /// Another member named the owner in an answer. Also used for flows that this agent passed on
    /// before its lease lapsed: they are no longer forwarded as assigned.
    Learned,
}

/// Why an agent presumes to own a flow that another member may have accepted meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// A member granted the claim of this agent's previous run, which may have passed the flow on
    /// before it ended.
    Granted,
    /// Another member's flow table names this agent as the owner for another reason than a granted
    /// claim, for example because the member passed the flow on to it.
    PeerRecord,
    /// The local server received a SYN of the flow before the agent's lease lapsed or the server
    /// was lost.
    Delivered,
}

/// The owner of a flow, as far as this agent knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owner {
    /// A run of the local server.
    Local {
        /// Number of server runs that this agent had seen when the flow was accepted. A flow with
        /// another epoch than the agent's current one belongs to a run that has ended.
        epoch: u32,
    },
    /// Another member.
    Ceded {
        /// The owner's record when this entry was written; its addresses may have changed since.
        to: Arc<Record>,
        /// How this agent learned of the owner.
        origin: Origin,
        /// Whether the owner itself has confirmed that it owns the flow.
        confirmed: bool,
    },
    /// Not decided yet: this agent's claim is in progress, and it grants the flow to no other
    /// member.
    Claimed,
    /// Presumably this agent: another member may have taken the flow over while this one restarted
    /// or had no lease.
    Recovered(Evidence),
    /// No member: the flow was refused, and none of its packets was delivered to a server.
    Refused {
        /// Time until which copies of the flow's first packet are refused as well.
        until: Instant,
    },
}

/// State of a flow's connection, derived from the packets that the client sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Only packets that can open a flow were seen. UDP flows stay in this phase.
    Opening,
    /// A TCP segment that neither opens nor closes a connection was seen.
    Established,
    /// FIN or RST was seen; a later SYN reopens the flow.
    Closing,
}

/// One flow in the table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The member or server that receives the flow's packets.
    pub owner: Owner,
    /// Selects the idle timeout of a TCP flow.
    pub phase: Phase,
    /// Arrival of the last packet from the client, other than ICMP errors; starts the idle timeout.
    pub last_seen: Instant,
}

impl Entry {
    /// Creates the entry for a flow whose first known packet, of `kind`, arrived at `now`.
    pub fn new(owner: Owner, kind: Kind, now: Instant) -> Self {
        let mut entry = Self {
            owner,
            phase: Phase::Opening,
            last_seen: now,
        };
        entry.touch(kind, now);
        entry
    }

    /// Updates the phase and the idle time for a packet that arrived at `now`. An ICMP error
    /// changes neither.
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

/// Flows owned by the current run of the local server, counted by [`expire_and_count`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FlowCounts {
    /// Flows that have not expired.
    pub open: u32,
    /// Flows with a packet from the client within [`ACTIVE_PERIOD`].
    pub active: u32,
}

/// The flows that the agent has decided about or learned of from other members.
#[derive(Clone, Debug)]
pub struct Table {
    // The hasher is seeded because callers choose their ports and could otherwise provoke hash
    // collisions.
    entries: HashMap<Flow, Entry, FixedState>,
}

impl Table {
    /// Creates an empty table whose hash function uses `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            entries: HashMap::with_hasher(FixedState::with_seed(seed)),
        }
    }

    /// Returns the entry of a flow, which may have expired since the last [`expire_and_count`].
    #[inline]
    pub fn get(&self, flow: &Flow) -> Option<&Entry> {
        self.entries.get(flow)
    }

    /// Like [`Table::get`], but mutable.
    #[inline]
    pub fn get_mut(&mut self, flow: &Flow) -> Option<&mut Entry> {
        self.entries.get_mut(flow)
    }

    /// Adds the entry of a flow, replacing an earlier one.
    pub fn insert(&mut self, flow: Flow, entry: Entry) {
        self.entries.insert(flow, entry);
    }

    /// Removes the entry of a flow, if there is one.
    pub fn remove(&mut self, flow: &Flow) {
        self.entries.remove(flow);
    }

    /// Iterates over all entries in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&Flow, &Entry)> {
        self.entries.iter()
    }

    /// Like [`Table::iter`], but mutable.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&Flow, &mut Entry)> {
        self.entries.iter_mut()
    }

    /// Number of entries, including refused flows and those of other members.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the table has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// Removes the entries that are expired at `now` and counts the remaining flows of the server run
/// `epoch`.
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

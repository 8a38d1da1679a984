//! State of a flow at an agent.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::segment::Segment;
use super::snapshot::SavedFlow;

/// A request without an answer for this long no longer counts as in progress: most clients have
/// given up, and the answer or the end of the flow may have been lost.
const ABANDONED_AFTER: Duration = Duration::from_secs(2);

/// A client that awaits something on a flow retransmits at least every 1.6 s, so it is heard within
/// this time even if a retransmission is lost. After a longer silence it may have ended the flow with
/// a packet that was lost, and opened another one from the port.
const PORT_REUSE_MIN: Duration = Duration::from_millis(3500);

/// Acknowledgement numbers of a client on one flow differ by less than this.
const FLOW_BYTES_MAX: u32 = 1 << 28;

/// Number of balancers that may be owed a report.
const LOOKUPS_MAX: usize = 8;

/// A flow whose packets the agent has delivered to its server or got from it.
#[derive(Debug)]
pub struct AgentFlow {
    /// Whether the flow is established: the server has sent a packet other than its acceptance, or
    /// the flow comes from a snapshot.
    pub open: bool,
    /// Whether the server's current process is certainly the only one that can hold the flow: it ran
    /// after the flow was accepted, or is the one that the snapshot names. Before that, a process
    /// that the agent hasn't heard of yet may have accepted the flow.
    pub confirmed: bool,
    /// When the server accepted the flow, or first sent a packet of it if the acceptance wasn't
    /// seen.
    pub answered_at: Option<Instant>,
    /// When the client sent the request that has no answer yet.
    pub request_since: Option<Instant>,
    /// Sequence number that follows the client's last data.
    sent_end: Option<u32>,
    /// Last acknowledgement number from the client.
    pub acknowledged: u32,
    /// Sequence number of the server's acceptance, unless the flow was accepted before this agent
    /// started.
    acceptance: Option<u32>,
    /// An acknowledgement number of the client on the flow that the server holds, from a snapshot or
    /// known since the server sent a packet; zero if there is none.
    pub held_acknowledgement: u32,
    /// Whether the server has got an opening packet of the flow and sent nothing since.
    pub opening: bool,
    /// Whether the server has ended its direction of the flow.
    pub finished: bool,
    /// Whether a request whose outcome is unknown must not be repeated.
    pub at_most_once: bool,
    /// The balancer that sent the flow's opening packet or its last lookup.
    pub origin: Option<SocketAddr>,
    /// Balancers that are owed a report that this agent holds the flow, once its server sends a packet.
    /// The entry alone shows nothing: it may be of an earlier flow of the same client address and port.
    pub lookups: Vec<SocketAddr>,
    /// When the first packet of the flow arrived.
    pub first_packet_at: Instant,
    /// When the last packet of the flow arrived.
    pub last_packet_at: Instant,
    /// When the client's last packet arrived; the start of the entry if none has.
    pub client_packet_at: Instant,
}

impl AgentFlow {
    /// Records that a balancer looks the flow up. The newest of them replaces the oldest.
    pub fn record_lookup(&mut self, balancer: SocketAddr) {
        self.origin = Some(balancer);
        self.lookups.retain(|earlier| *earlier != balancer);
        if self.lookups.len() == LOOKUPS_MAX {
            self.lookups.remove(0);
        }
        self.lookups.push(balancer);
    }

    /// Records a request if the client's packet carries new data. A retransmission doesn't.
    pub fn record_request(&mut self, segment: &Segment, now: Instant) {
        let end = segment.sequence.wrapping_add(u32::from(segment.length));
        let new = |sent_end: u32| (end.wrapping_sub(sent_end) as i32) > 0;
        if segment.length > 0 && self.sent_end.is_none_or(new) {
            self.sent_end = Some(end);
            self.request_since = Some(now);
        }
    }

    /// Records the server's acceptance. One with another sequence number than before, or on a flow that
    /// is known to have been open, begins a new flow of the same client address and port.
    pub fn record_acceptance(&mut self, sequence: u32, now: Instant) {
        let established = self.open || self.finished;
        if self
            .acceptance
            .map_or(established, |earlier| earlier != sequence)
        {
            self.held_acknowledgement = 0;
            self.open = false;
            self.confirmed = false;
            self.finished = false;
            self.request_since = None;
            self.sent_end = None;
            self.first_packet_at = now;
            self.answered_at = Some(now);
        }
        self.acceptance = Some(sequence);
    }

    /// Whether a request is in progress whose client is still taken to wait for the answer.
    pub fn has_pending_request(&self, now: Instant) -> bool {
        let waits = |since| now.saturating_duration_since(since) < ABANDONED_AFTER;
        self.request_since.is_some_and(waits)
    }

    /// Whether the client may send further requests on the flow.
    pub fn accepts_requests(&self) -> bool {
        self.open && !self.finished
    }

    /// Whether the client has used the flow so recently that its port can't be that of another flow
    /// yet.
    pub fn recently_used(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.client_packet_at) < PORT_REUSE_MIN
    }

    /// Whether a packet with this acknowledgement number belongs to another flow of the same client
    /// address and port.
    pub fn is_other(&self, acknowledgement: u32) -> bool {
        let held = (self.held_acknowledgement > 0).then_some(self.held_acknowledgement);
        let start = self.acceptance.or(held);
        let distance = |start| (acknowledgement.wrapping_sub(start) as i32).unsigned_abs();
        start.is_some_and(|start| distance(start) >= FLOW_BYTES_MAX)
    }

    /// Whether a server accepted the flow after `time`, or at any time if there is none.
    pub fn accepted_after(&self, time: Option<Instant>) -> bool {
        self.answered_at.is_some_and(|at| Some(at) > time)
    }

    /// Creates a flow that a snapshot names.
    pub fn saved(saved: &SavedFlow, now: Instant) -> Self {
        Self {
            held_acknowledgement: saved.acknowledged,
            ..Self::new(None, now)
        }
    }

    /// Creates a flow whose acceptance by the server isn't known yet. Its requests count as
    /// at-most-once until a balancer says otherwise.
    pub fn new(origin: Option<SocketAddr>, now: Instant) -> Self {
        Self {
            open: false,
            confirmed: false,
            answered_at: None,
            request_since: None,
            sent_end: None,
            acceptance: None,
            acknowledged: 0,
            held_acknowledgement: 0,
            opening: false,
            finished: false,
            at_most_once: true,
            origin,
            lookups: Vec::new(),
            first_packet_at: now,
            last_packet_at: now,
            client_packet_at: now,
        }
    }
}

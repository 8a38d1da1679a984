//! What an agent knows of a flow at its server.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::segment::Segment;

/// A request without an answer for this long no longer counts as work at the server: most clients
/// have given it up, and the answer or the end of the flow may have been lost.
const ABANDONED_AFTER: Duration = Duration::from_secs(2);

/// A flow that the server holds.
#[derive(Debug)]
pub struct AgentFlow {
    /// The server accepted the opening packet and the client confirmed it.
    pub open: bool,
    /// The server has sent a packet of the flow.
    pub answered: bool,
    /// Since when the client waits for an answer.
    pub request_since: Option<Instant>,
    /// Sequence number after the client's last data.
    sent_end: Option<u32>,
    /// Highest acknowledgement number from the client.
    pub acknowledged: u32,
    /// The server has no more data to send.
    pub finished: bool,
    /// Whether a request that ends without an answer must not be repeated.
    pub at_most_once: bool,
    /// The balancer that sent the flow's opening packet or its last lookup.
    pub origin: Option<SocketAddr>,
    /// The origin waits to hear who holds the flow.
    pub lookup_pending: bool,
    /// When the flow's first packet came.
    pub first_packet_at: Instant,
    /// When the flow's last packet came.
    pub last_packet_at: Instant,
}

impl AgentFlow {
    /// Records a client's packet that may carry a request. A repeated one carries nothing new.
    pub fn record_request(&mut self, segment: &Segment, now: Instant) {
        let end = segment.sequence.wrapping_add(u32::from(segment.length));
        let new = |sent_end: u32| (end.wrapping_sub(sent_end) as i32) > 0;
        if segment.length > 0 && self.sent_end.is_none_or(new) {
            self.sent_end = Some(end);
            self.request_since = Some(now);
        }
    }

    /// Whether a request is at the server whose client still waits.
    pub fn has_pending_request(&self, now: Instant) -> bool {
        let waits = |since| now.saturating_duration_since(since) < ABANDONED_AFTER;
        self.request_since.is_some_and(waits)
    }

    /// Whether more requests may come on the flow.
    pub fn accepts_requests(&self) -> bool {
        self.open && !self.finished
    }

    /// A flow that the server may hold.
    pub fn new(origin: Option<SocketAddr>, now: Instant) -> Self {
        Self {
            open: false,
            answered: false,
            request_since: None,
            sent_end: None,
            acknowledged: 0,
            finished: false,
            at_most_once: true,
            origin,
            lookup_pending: false,
            first_packet_at: now,
            last_packet_at: now,
        }
    }
}

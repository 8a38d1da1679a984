//! State of the lookup of a flow whose candidates may not fit into one datagram.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Number of parts that are kept for their return. A newer part replaces the oldest.
const PARTS_MAX: usize = 8;
/// Answers older than this no longer count: the client may use the port for another flow.
const SEARCH_EXPIRY: Duration = Duration::from_secs(3);

/// Candidates that got a packet one after the other.
#[derive(Debug)]
struct Part {
    number: u8,
    agents: Vec<SocketAddr>,
}

/// Which agents have answered that their server doesn't hold a flow. A packet that asks further
/// agents carries only the number of its part, so an agent that returns it can't add to the list.
#[derive(Debug, Default)]
pub struct Search {
    /// When the first part was sent.
    started: Option<Instant>,
    /// The latest parts, in the order in which they were sent.
    parts: VecDeque<Part>,
    /// Number of the next part. It goes on when the search begins again, so that a late return
    /// doesn't match a new part.
    next_number: u8,
    /// Agents of all parts that were returned.
    denied: BTreeSet<SocketAddr>,
}

impl Search {
    /// Begins again: an answer may have come too early or be that of another flow.
    pub fn clear(&mut self) {
        self.started = None;
        self.parts.clear();
        self.denied.clear();
    }

    /// Begins again if the first part was sent too long ago.
    pub fn expire(&mut self, now: Instant) {
        let old = |at| now.saturating_duration_since(at) > SEARCH_EXPIRY;
        if self.started.is_some_and(old) {
            self.clear();
        }
    }

    /// Records that `agents` get a packet. Returns the number of the part; all packets for the same
    /// agents are one part.
    pub fn send(&mut self, agents: &[SocketAddr], now: Instant) -> u8 {
        self.started.get_or_insert(now);
        if let Some(part) = self.parts.iter().find(|part| part.agents == agents) {
            return part.number;
        }
        let number = self.next_number;
        self.next_number = number.wrapping_add(1);
        if self.parts.len() == PARTS_MAX {
            self.parts.pop_front();
        }
        self.parts.push_back(Part {
            number,
            agents: agents.to_vec(),
        });
        number
    }

    /// Records that all agents of a part have passed the packet on. Returns whether the part is
    /// known.
    pub fn exhaust(&mut self, number: u8) -> bool {
        let part = self.parts.iter().find(|part| part.number == number);
        if let Some(part) = part {
            self.denied.extend(&part.agents);
        }
        part.is_some()
    }

    /// Number of agents that have answered that their servers don't hold the flow.
    pub fn answers(&self) -> usize {
        self.denied.len()
    }

    /// Whether the agent has answered that its server doesn't hold the flow.
    pub fn denied(&self, agent: &SocketAddr) -> bool {
        self.denied.contains(agent)
    }
}

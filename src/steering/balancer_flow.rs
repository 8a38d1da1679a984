//! State of a flow at a balancer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use strum::Display;

use super::roster::Process;
use super::search::Search;

/// Time before a client sends the first copy of its opening packet.
const FIRST_COPY_AFTER: Duration = Duration::from_millis(200);

/// Number of acceptances that are kept until the client chooses one. A newer one replaces the
/// oldest.
const ACCEPTANCES_MAX: usize = 8;

/// The agent whose server holds a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Owner {
    /// Agent that gets the flow's packets.
    pub agent: SocketAddr,
    /// The server's process, once the agent is certain of it.
    pub process: Option<Process>,
    /// What showed that the server holds the flow.
    pub proof: Proof,
    /// When the agent's report arrived.
    pub reported_at: Instant,
}

/// What shows that a server holds a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Proof {
    /// The client acknowledged the server's acceptance.
    Choice,
    /// The server took a packet of the open flow.
    TakenPacket,
}

/// A server's acceptance of a flow.
#[derive(Clone, Copy, Debug)]
pub struct Acceptance {
    /// Initial sequence number of the server.
    pub sequence: u32,
    /// The server that becomes the owner if the client acknowledges the sequence number.
    pub owner: Owner,
}

/// A flow whose packets this balancer has forwarded or whose owner was reported to it.
#[derive(Debug)]
pub struct BalancerFlow {
    /// The owner, once the client has acknowledged its acceptance or its server took a packet of
    /// the open flow. A reported acceptance alone doesn't make an owner: several servers may accept
    /// copies of one opening packet, and the client's choice may pass through another balancer.
    pub owner: Option<Owner>,
    /// First candidate of a lookup: the first agent that got the opening packet, accepted the flow
    /// or was the owner.
    pub likely_agent: SocketAddr,
    /// Whether any agent has reported that its server accepted or holds the flow.
    pub accepted: bool,
    /// Last acknowledgement number from the client.
    pub acknowledged: u32,
    /// Reported acceptances, until the client's acknowledgement shows which one it has chosen.
    acceptances: Vec<Acceptance>,
    /// When this balancer got the opening packet as its client first sent it, and not a later copy.
    pub opened_at: Option<Instant>,
    /// Agents that this balancer sent the opening packet to.
    pub tried_agents: Vec<SocketAddr>,
    /// Number of times that this balancer sent the opening packet along some agents and they haven't
    /// returned it.
    pub unreturned: u32,
    /// When the first packet or report of the flow arrived.
    pub first_packet_at: Instant,
    /// Number of lookups begun since the last report of the owner.
    pub lookups: u32,
    /// When the last lookup began.
    pub lookup_started: Option<Instant>,
    /// Answers to the lookups since the last report of an owner.
    pub search: Search,
    /// Whether the flow is in the queue of lookups that are repeated.
    pub search_queued: bool,
    /// Whether the client has ended the flow, so that it sends no further requests on it.
    pub finished: bool,
    /// When the last packet of the flow arrived.
    pub last_packet_at: Instant,
}

impl BalancerFlow {
    /// Creates a flow whose owner isn't known.
    pub fn new(likely_agent: SocketAddr, now: Instant) -> Self {
        Self {
            owner: None,
            likely_agent,
            accepted: false,
            acknowledged: 0,
            acceptances: Vec::new(),
            opened_at: None,
            tried_agents: Vec::new(),
            unreturned: 0,
            first_packet_at: now,
            lookups: 0,
            lookup_started: None,
            search: Search::default(),
            search_queued: false,
            finished: false,
            last_packet_at: now,
        }
    }

    /// Key that sorts agents by how likely they hold the flow, the likeliest first: those that got
    /// the opening packet come before the others.
    pub fn likelihood(&self, agent: &SocketAddr) -> (bool, bool) {
        let likely = *agent == self.likely_agent;
        (!likely, !self.tried_agents.contains(agent))
    }

    /// Records that the client opens the flow. Its port may have been that of an earlier flow, so an
    /// owner is forgotten and the packet goes to any agent. As the packet may also be a late copy on
    /// an open flow, `accepted` stays, which prevents a refusal and hedging, and so does
    /// `likely_agent`.
    pub fn record_opening(&mut self) {
        self.search.clear();
        self.finished = false;
        if self.owner.take().is_some() {
            self.tried_agents.clear();
            self.unreturned = 0;
        }
    }

    /// Records that the opening packet is sent to an agent, which passes it to its candidates.
    pub fn record_attempt(&mut self, first: SocketAddr) {
        self.unreturned += 1;
        if !self.tried_agents.contains(&first) {
            self.tried_agents.push(first);
        }
    }

    /// Whether no server can have accepted the flow: no agent still has its opening packet from
    /// here, and other balancers have no copy of it.
    pub fn refusable(&self, now: Instant) -> bool {
        let only_copy = |at| now.saturating_duration_since(at) < FIRST_COPY_AFTER;
        !self.accepted && self.unreturned == 0 && self.opened_at.is_some_and(only_copy)
    }

    /// Records a server's acceptance. It is ignored if the owner is known.
    pub fn record_acceptance(&mut self, acceptance: Acceptance) {
        if self.owner.is_some() {
            return;
        }
        if !self.accepted {
            self.likely_agent = acceptance.owner.agent;
        }
        self.accepted = true;
        if self.acceptances.len() == ACCEPTANCES_MAX {
            self.acceptances.remove(0);
        }
        self.acceptances.push(acceptance);
        // The client's acknowledgement may have arrived before the report.
        self.select_acceptance(self.acknowledged);
    }

    /// Sets the owner to the agent whose acceptance the client acknowledges, if it was reported.
    pub fn select_acceptance(&mut self, acknowledgement: u32) {
        let answers = |a: &&Acceptance| a.sequence.wrapping_add(1) == acknowledgement;
        if let Some(acceptance) = self.acceptances.iter().find(answers) {
            self.set_owner(acceptance.owner);
        }
    }

    /// Sets the owner: its server has taken a packet of the open flow, or the client has chosen it.
    pub fn set_owner(&mut self, owner: Owner) {
        self.owner = Some(owner);
        self.likely_agent = owner.agent;
        self.accepted = true;
        self.acceptances.clear();
    }
}

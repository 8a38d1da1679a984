//! State of a flow at a balancer.

use std::net::SocketAddr;
use std::time::Instant;

use super::roster::Process;

/// A server's acceptance of a flow.
#[derive(Clone, Copy, Debug)]
pub struct Acceptance {
    /// Initial sequence number of the server.
    pub sequence: u32,
    /// The server's agent.
    pub agent: SocketAddr,
    /// The server's process, if the agent reported it.
    pub process: Option<Process>,
}

/// A flow whose packets this balancer has forwarded or whose owner was reported to it.
#[derive(Debug)]
pub struct BalancerFlow {
    /// Agent that gets the flow's packets.
    pub agent: SocketAddr,
    /// Whether the agent reported that its server holds the flow.
    pub confirmed: bool,
    /// Whether the client has acknowledged the acceptance of the agent's server, or that server
    /// took a packet of the open flow. Later acceptances by other servers are ignored then.
    pub chosen_by_client: bool,
    /// The server's process, if the agent reported it.
    pub process: Option<Process>,
    /// Last acknowledgement number from the client.
    pub acknowledged: u32,
    /// Reported acceptances, until the client's acknowledgement shows which one it has chosen.
    pub acceptances: Vec<Acceptance>,
    /// Agents that this balancer sent the opening packet to.
    pub tried_agents: Vec<SocketAddr>,
    /// When the first packet or report of the flow arrived.
    pub first_packet_at: Instant,
    /// Number of lookups begun since the last report of the owner.
    pub lookups: u32,
    /// When the last lookup began.
    pub lookup_started: Option<Instant>,
    /// When the last packet of the flow arrived.
    pub last_packet_at: Instant,
}

impl BalancerFlow {
    /// Creates a flow whose packets go to `agent`, which hasn't confirmed it yet.
    pub fn new(agent: SocketAddr, now: Instant) -> Self {
        Self {
            agent,
            confirmed: false,
            chosen_by_client: false,
            process: None,
            acknowledged: 0,
            acceptances: Vec::new(),
            tried_agents: Vec::new(),
            first_packet_at: now,
            lookups: 0,
            lookup_started: None,
            last_packet_at: now,
        }
    }
}

impl BalancerFlow {
    /// Sets the owner to the agent whose acceptance the client acknowledges, if it was reported.
    pub fn select_acceptance(&mut self, acknowledgement: u32) {
        let answers = |a: &&Acceptance| a.sequence.wrapping_add(1) == acknowledgement;
        if let Some(acceptance) = self.acceptances.iter().find(answers) {
            self.agent = acceptance.agent;
            self.process = acceptance.process;
            self.chosen_by_client = true;
            self.acceptances.clear();
        }
    }

    /// Sets the agent that has confirmed the flow as its owner.
    pub fn set_owner(&mut self, agent: SocketAddr, process: Option<Process>) {
        self.agent = agent;
        self.process = process;
        self.confirmed = true;
    }
}

//! What a balancer knows of a flow that it has forwarded.

use std::net::SocketAddr;
use std::time::Instant;

use super::roster::Process;

/// A server's acceptance of a flow.
#[derive(Clone, Copy, Debug)]
pub struct Acceptance {
    /// Sequence number that the server chose.
    pub sequence: u32,
    /// Its agent.
    pub agent: SocketAddr,
    /// Its process, if the agent named it.
    pub process: Option<Process>,
}

/// A flow that this balancer has forwarded.
#[derive(Debug)]
pub struct BalancerFlow {
    /// The agent that gets the flow's packets.
    pub agent: SocketAddr,
    /// Whether the agent said that its server holds the flow.
    pub confirmed: bool,
    /// The client has answered the acceptance of the agent's server, or that server took a packet
    /// of the open flow. Other servers that accept the flow later don't get it.
    pub chosen_by_client: bool,
    /// The server's process, if the agent named it.
    pub process: Option<Process>,
    /// Highest acknowledgement number from the client.
    pub acknowledged: u32,
    /// Acceptances by sequence number, while several servers may have accepted the flow.
    pub acceptances: Vec<Acceptance>,
    /// Agents that got the opening packet.
    pub tried_agents: Vec<SocketAddr>,
    /// When the flow's first packet came.
    pub first_packet_at: Instant,
    /// Searches begun since the owner was last known.
    pub lookups: u32,
    /// When the last of them began.
    pub lookup_started: Option<Instant>,
    /// When the flow's last packet came.
    pub last_packet_at: Instant,
}

impl BalancerFlow {
    /// A flow whose packets go to `agent` until more is known.
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
    /// Keeps the acceptance that the client's acknowledgement answers.
    pub fn select_acceptance(&mut self, acknowledgement: u32) {
        let answers = |a: &&Acceptance| a.sequence.wrapping_add(1) == acknowledgement;
        if let Some(acceptance) = self.acceptances.iter().find(answers) {
            self.agent = acceptance.agent;
            self.process = acceptance.process;
            self.chosen_by_client = true;
            self.acceptances.clear();
        }
    }

    /// Takes an agent for the flow's owner.
    pub fn set_owner(&mut self, agent: SocketAddr, process: Option<Process>) {
        self.agent = agent;
        self.process = process;
        self.confirmed = true;
    }
}

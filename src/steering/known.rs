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
pub struct Known {
    /// The agent that gets the flow's packets.
    pub agent: SocketAddr,
    /// Whether the agent said that its server holds the flow.
    pub confirmed: bool,
    /// The client has answered the acceptance of the agent's server, or that server took a packet
    /// of the open flow. Other servers that accept the flow later don't get it.
    pub chosen: bool,
    /// The server's process, if the agent named it.
    pub process: Option<Process>,
    /// Highest acknowledgement number from the client.
    pub acknowledged: u32,
    /// Acceptances by sequence number, while several servers may have accepted the flow.
    pub accepted: Vec<Acceptance>,
    /// Agents that got the opening packet.
    pub asked: Vec<SocketAddr>,
    /// When the flow's first packet came.
    pub since: Instant,
    /// Searches begun since the owner was last known.
    pub lookups: u32,
    /// When the last of them began.
    pub searched: Option<Instant>,
    /// When the flow's last packet came.
    pub seen: Instant,
}

impl Known {
    /// A flow whose packets go to `agent` until more is known.
    pub fn new(agent: SocketAddr, now: Instant) -> Self {
        Self {
            agent,
            confirmed: false,
            chosen: false,
            process: None,
            acknowledged: 0,
            accepted: Vec::new(),
            asked: Vec::new(),
            since: now,
            lookups: 0,
            searched: None,
            seen: now,
        }
    }
}

impl Known {
    /// Keeps the acceptance that the client's acknowledgement answers.
    pub fn choose(&mut self, acknowledgement: u32) {
        let answers = |a: &&Acceptance| a.sequence.wrapping_add(1) == acknowledgement;
        if let Some(acceptance) = self.accepted.iter().find(answers) {
            self.agent = acceptance.agent;
            self.process = acceptance.process;
            self.chosen = true;
            self.accepted.clear();
        }
    }

    /// Takes an agent for the flow's owner.
    pub fn own(&mut self, agent: SocketAddr, process: Option<Process>) {
        self.agent = agent;
        self.process = process;
        self.confirmed = true;
    }
}

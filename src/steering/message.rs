//! Datagrams between balancers and agents.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::Generation;

use super::response_stats::ResponseStats;
use super::roster::{Member, Process};

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Balancer to agent, or agent to agent: a client's packet.
    Forward(Forward),
    /// Agent to balancer: the flow's server is here.
    Owner(Owner),
    /// Agent to balancer: no candidate took the packet.
    Exhausted(Forward),
    /// Agent to balancer: the agent's state.
    Announce(Announce),
    /// Balancer to agent: the balancers that it should announce itself to.
    Balancers(Vec<SocketAddr>),
    /// Balancer to balancer: the generation in force and what is known of the fleet.
    Digest(Digest),
}

/// A client's packet on its way to a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// Service that a new flow belongs to; empty if the flow is open and any server may hold it.
    pub service: String,
    /// Where the balancer expects messages about the flow.
    pub origin: SocketAddr,
    /// Whether the balancer guesses: an agent that holds the flow tells it.
    pub lookup: bool,
    /// Agents to try if this one's server doesn't take the packet, the next one first.
    pub candidates: Vec<SocketAddr>,
    /// How often an agent passed the packet on because its server was busy.
    pub passes: u8,
    /// Whether every agent known to the balancer is among those tried.
    pub complete: bool,
    /// Whether a request on the flow's route must not be repeated when its outcome is unknown.
    pub at_most_once: bool,
    /// The packet.
    #[serde(with = "serde_bytes")]
    pub packet: Vec<u8>,
}

/// Tells a balancer which agent holds a flow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The client's end of the flow.
    pub client: SocketAddr,
    /// The address the client opened the flow to.
    pub address: SocketAddr,
    /// The agent.
    pub agent: SocketAddr,
    /// The server's process that holds it, unless the agent has not heard from it yet.
    pub process: Option<Process>,
    /// Sequence number of the server's acceptance, if the flow is being opened.
    pub accepted: Option<u32>,
}

/// An agent's state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announce {
    /// The agent's record.
    pub member: Member,
    /// Requests at the server that have no answer yet.
    pub busy: u32,
    /// Flows that the server holds.
    pub flows: u32,
    /// How the server has answered lately, if it had enough requests.
    #[serde(rename = "pace")]
    pub stats: Option<ResponseStats>,
    /// Number of balancers that the agent knows, so that a balancer sees when it lacks some.
    pub balancers: u32,
}

/// What balancers tell each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Generation in force at the sender.
    pub generation: Generation,
    /// Balancers that the sender has heard of recently.
    pub balancers: Vec<SocketAddr>,
    /// Agents that the sender has heard of recently.
    pub agents: Vec<SocketAddr>,
    /// Where the sender's configuration can be fetched.
    pub source: SocketAddr,
}

impl Message {
    /// The message as a datagram.
    pub fn encode(&self) -> Vec<u8> {
        // Serialising these types to memory can't fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Reads a datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

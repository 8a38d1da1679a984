//! Datagrams between balancers and agents.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{Era, Generation, Incarnation};

use super::response_stats::ResponseStats;
use super::roster::{Member, Process};

/// The content of a datagram, encoded with postcard: variants and fields are identified by their
/// position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Balancer to agent, or agent to agent: a client's packet.
    Forward(Forward),
    /// Agent to balancer: the agent's server holds the flow.
    Owner(Owner),
    /// Agent to balancer: no candidate took the packet.
    Exhausted(Forward),
    /// Agent to balancer: the state and load of the agent's server.
    Announce(Announce),
    /// Balancer to agent: the balancers that it should announce itself to.
    Balancers(Vec<SocketAddr>),
    /// Balancer to balancer: the generation in force, and the balancers and agents that are known.
    Digest(Digest),
    /// Balancer to agent: an announcement was ignored, as the balancer holds a record of this later
    /// incarnation.
    Superseded(Incarnation),
    /// Balancer to agent or balancer: the store is in this era. An agent may not call the store for
    /// minutes, and would not learn that it has lost the agent's record.
    StoreEra(Era),
    /// Balancer to agent, or agent to agent: a packet of a lookup that all agents in reach have answered.
    /// Each one has to ask its server now, unless that has returned a packet of the flow before.
    Verify(Forward),
}

/// A client's packet on its way to a server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// Service that a new flow belongs to; empty if the flow is open and any server may hold it.
    pub service: String,
    /// Address of the balancer that gets the reports about the flow.
    pub origin: SocketAddr,
    /// Whether the balancer doesn't know the flow's agent and expects a report from it.
    pub lookup: bool,
    /// Agents that get the packet if this one's server doesn't take it, in this order.
    pub candidates: Vec<SocketAddr>,
    /// Of an opening packet, how often an agent has forwarded it because its server was busy; of
    /// a lookup, the number by which the balancer knows the agents that it asks.
    pub passes: u8,
    /// Of a lookup, whether each agent so far has asked its server instead of going by its own
    /// record of the server's flows.
    pub asked: bool,
    /// Whether a request on the flow's route must not be repeated when its outcome is unknown.
    pub at_most_once: bool,
    /// The client's packet, unchanged.
    #[serde(with = "serde_bytes")]
    pub packet: Vec<u8>,
}

/// Reports to a balancer which agent holds a flow.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Address of the client.
    pub client: SocketAddr,
    /// Address that the client opened the flow to.
    pub address: SocketAddr,
    /// Address of the agent whose server holds the flow.
    pub agent: SocketAddr,
    /// Server process that holds the flow; none until a heartbeat of the process shows that no other
    /// one has accepted the flow.
    pub process: Option<Process>,
    /// Initial sequence number of the server if it has just accepted the flow; none if the flow is
    /// open.
    pub accepted: Option<u32>,
}

/// An agent's periodic report of the state and load of its server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announce {
    /// The agent's current record.
    pub member: Member,
    /// Number of requests at the server that have no answer yet.
    pub busy: u32,
    /// Number of open flows that may carry further requests.
    pub flows: u32,
    /// Recent response times and failures; none if there were too few requests.
    #[serde(rename = "pace")]
    pub stats: Option<ResponseStats>,
    /// Number of balancers that the agent knows, or [`LIST_WANTED`]. A balancer that knows another
    /// number sends its list.
    pub balancers: u32,
}

/// Value of [`Announce::balancers`] that no balancer's own count equals, so that it sends its list.
pub const LIST_WANTED: u32 = 0;

/// A balancer's periodic report to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Generation in force at the sender.
    pub generation: Generation,
    /// The balancers that the sender knows, and the sender itself once it knows all agents.
    pub balancers: Vec<SocketAddr>,
    /// Agents that the sender itself has heard from recently.
    pub agents: Vec<SocketAddr>,
    /// Address at which the sender's configuration can be fetched.
    pub source: SocketAddr,
}

impl Message {
    /// Encodes the message as a datagram.
    pub fn encode(&self) -> Vec<u8> {
        // Serialising these types into memory can't fail.
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a datagram.
    pub fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

//! Snapshot of a server's open flows, which the agent stores in the directory.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::packet::{Flow, Protocol};

use super::roster::Process;

/// The open flows of a server. After a power loss of the host, the restarted agent can still reset
/// the flows that ended with the server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Server process that holds the flows.
    pub process: Process,
    /// Start of that process in Unix milliseconds; zero if not known.
    #[serde(default)]
    pub started: u64,
    /// Open flows of the process, ordered by client. Those accepted after its last heartbeat
    /// are missing, as the next process may hold them.
    pub flows: Vec<SavedFlow>,
    /// Flows that the server may hold as well, ordered by client, if the agent has stopped in order. They
    /// aren't reset if the process has ended.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub others: Vec<SavedFlow>,
}

impl Snapshot {
    /// Whether the snapshot names the flow.
    pub fn names(&self, flow: &Flow) -> bool {
        let saved_in = |flows: &[SavedFlow]| {
            let first = flows.partition_point(|saved| saved.client < flow.source);
            flows[first..]
                .iter()
                .take_while(|saved| saved.client == flow.source)
                .any(|saved| saved.address == flow.destination)
        };
        saved_in(&self.flows) || saved_in(&self.others)
    }
}

/// An open flow in a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SavedFlow {
    /// Address of the client.
    pub client: SocketAddr,
    /// Address that the client opened the flow to.
    pub address: SocketAddr,
    /// Last acknowledgement number from the client, which a reset has to use.
    pub acknowledged: u32,
}

impl SavedFlow {
    /// Returns the flow that a reset is sent for.
    pub fn flow(&self) -> Flow {
        Flow {
            protocol: Protocol::Tcp,
            source: self.client,
            destination: self.address,
        }
    }
}

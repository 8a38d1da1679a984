//! The open flows of a server as the directory keeps them.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::packet::{Flow, Protocol};

use super::roster::Process;

/// The open flows of one server, kept in the directory. If the host loses power, the clients of
/// flows that ended with the server can still be told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The server's process.
    pub process: Process,
    /// Its flows, ordered by client.
    pub flows: Vec<SavedFlow>,
}

/// An open flow in a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct SavedFlow {
    /// The client's end.
    pub client: SocketAddr,
    /// The address the client opened the flow to.
    pub address: SocketAddr,
    /// Highest acknowledgement number from the client.
    pub acknowledged: u32,
}

impl SavedFlow {
    /// The flow.
    pub fn flow(&self) -> Flow {
        Flow {
            protocol: Protocol::Tcp,
            source: self.client,
            destination: self.address,
        }
    }
}

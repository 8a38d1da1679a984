//! A model of the directory, the store in which balancers and agents register and find each other.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use flamingofall::id::Era;
use flamingofall::steering::roster::Member;
use flamingofall::steering::routes::Routes;
use flamingofall::steering::snapshot::Snapshot;

/// The contents of the directory.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Records of the agents, by agent address.
    pub members: BTreeMap<SocketAddr, Member>,
    /// Snapshots of the agents' flows, by agent address.
    pub snapshots: BTreeMap<SocketAddr, Snapshot>,
    /// Addresses of the registered balancers.
    pub balancers: Vec<SocketAddr>,
    /// The current configuration.
    pub routes: Routes,
    /// Number of times that the directory has come back from a copy, plus one.
    pub era: Era,
    /// Whether calls are answered.
    pub available: bool,
    /// An earlier state that reads return while the directory is stale.
    pub stale_copy: Option<Box<Directory>>,
}

impl Directory {
    /// The state that reads of members, balancers and routes return, which may be stale.
    pub fn read_view(&self) -> &Self {
        self.stale_copy.as_deref().unwrap_or(self)
    }
}

//! A model of the directory: a store that answers after a while, or not at all.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use flamingofall::steering::roster::Member;
use flamingofall::steering::routes::Routes;
use flamingofall::steering::snapshot::Snapshot;

/// What the directory holds.
#[derive(Clone, Debug, Default)]
pub struct Directory {
    /// Agents' records.
    pub members: BTreeMap<SocketAddr, Member>,
    /// Agents' snapshots.
    pub snapshots: BTreeMap<SocketAddr, Snapshot>,
    /// Balancers.
    pub balancers: Vec<SocketAddr>,
    /// The configuration in force.
    pub routes: Routes,
    /// Whether it answers.
    pub available: bool,
    /// What lists of members and balancers show, if they are behind.
    pub stale_copy: Option<Box<Directory>>,
}

impl Directory {
    /// What reads that may be stale show.
    pub fn read_view(&self) -> &Self {
        self.stale_copy.as_deref().unwrap_or(self)
    }
}

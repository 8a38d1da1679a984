//! A balancer's view of the members and the configuration.

use crate::catalog::Catalog;
use crate::id::Member;
use crate::member::{LocalRecord, Table};

/// The local copy of the membership and of the configuration in force.
#[derive(Clone, Debug)]
pub struct View {
    /// The process's own record, which only it updates.
    pub own: LocalRecord,
    /// The merged records of all members, including the process itself.
    pub table: Table,
    /// The configuration in force, with a few that preceded it.
    pub catalog: Catalog,
}

impl View {
    /// Returns the member name of this process.
    pub fn own_name(&self) -> Member {
        self.own.record().member.clone()
    }
}

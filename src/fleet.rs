//! What a balancer knows of the fleet.

use crate::catalog::Catalog;
use crate::id::Member;
use crate::member::{Own, Table};

/// What a process knows of the system.
#[derive(Clone, Debug)]
pub struct View {
    /// The process itself.
    pub own: Own,
    /// The members.
    pub table: Table,
    /// The configuration in force.
    pub catalog: Catalog,
}

impl View {
    /// The name of the process.
    pub fn own_name(&self) -> Member {
        self.own.record().member.clone()
    }
}

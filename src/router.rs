//! Builds the balancer's routing table from its view.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::catalog::Offer;
use crate::config::{Address, Config, FormerService, BUCKETS_DEFAULT};
use crate::fleet::View;
use crate::id::{Member, Service as Name};
use crate::member::{Entry, Record, Role, State};
use crate::routing::{Arbiter, BucketTable, Table};

/// Builds a new routing table whenever the view has changed, updating the bucket tables of services
/// incrementally.
#[derive(Debug, Default)]
pub struct RoutingTableBuilder {
    services: BTreeMap<Name, Arc<BucketTable>>,
    /// Invariant: the service whose bucket table contains each member.
    service_by_member: HashMap<Member, Name>,
    /// Version of the member table that `services` reflects.
    applied_version: u64,
    offer: Option<Offer>,
    is_started: bool,
}

impl RoutingTableBuilder {
    /// Applies the changes of the view. Returns a new table if there were any.
    pub fn update(&mut self, view: &View) -> Option<Table> {
        let offer = view.catalog.offer();
        let version = view.table.version();
        if self.is_started && offer == self.offer && version == self.applied_version {
            return None;
        }
        self.offer = offer;
        self.is_started = true;
        for entry in view.table.since(self.applied_version) {
            self.update_member(view, &entry.record);
        }
        self.applied_version = version;
        self.add_services(view);
        Some(self.table(view))
    }

    /// Moves a member to the bucket table of the service in its record, or removes it if it can't
    /// be an arbiter.
    fn update_member(&mut self, view: &View, record: &Record) {
        if record.role != Role::Agent {
            return;
        }
        if let Some(name) = self.service_by_member.remove(&record.member) {
            if let Some(service) = self.services.get_mut(&name) {
                Arc::make_mut(service).remove(&record.member);
            }
        }
        let (Some(name), true) = (&record.service, record.state.is_arbiter()) else {
            return;
        };
        let service = self
            .services
            .entry(name.clone())
            .or_insert_with(|| empty_bucket_table(view, name));
        Arc::make_mut(service).insert(arbiter(record));
        self.service_by_member
            .insert(record.member.clone(), name.clone());
    }

    /// Adds empty bucket tables for configured services without members, and rebuilds those whose
    /// number of buckets differs: members may have announced themselves before their service was
    /// configured. Removes the tables of services that are neither configured nor have members.
    fn add_services(&mut self, view: &View) {
        let Some(current) = view.catalog.current() else {
            return;
        };
        let config = &current.config;
        let former = config.former.iter().map(|former| &former.service);
        for name in config.services.keys().chain(former) {
            let buckets = config.buckets_of(name).unwrap_or(BUCKETS_DEFAULT);
            let known = self.services.get(name);
            if known.is_some_and(|service| service.buckets() == buckets) {
                continue;
            }
            let mut service = BucketTable::new(name.tag(), buckets);
            let live = |entry: &&Entry| entry.record.state.is_arbiter();
            for entry in view.table.agents(name).filter(live) {
                service.insert(arbiter(&entry.record));
            }
            self.services.insert(name.clone(), Arc::new(service));
        }
        let members = &self.service_by_member;
        self.services.retain(|name, _| {
            config.services.contains_key(name) || members.values().any(|n| n == name)
        });
    }

    fn table(&self, view: &View) -> Table {
        let mut table = Table::new(view.catalog.generation());
        let Some(current) = view.catalog.current() else {
            return table;
        };
        let mut former = self.former(&current.config);
        for (name, configured) in &current.config.services {
            let Some(service) = self.services.get(name) else {
                continue;
            };
            for address in &configured.addresses {
                table.insert(*address, service.clone(), former.remove(address));
            }
        }
        // Addresses that no service has any more are still routed to the former service for its
        // established flows. Its agents accept no new flows there, because their configuration
        // doesn't contain the address.
        for (address, service) in former {
            table.insert(address, service, None);
        }
        table
    }

    /// Returns the bucket table of the most recent former service of each address.
    fn former(&self, config: &Config) -> BTreeMap<Address, Arc<BucketTable>> {
        let mut last: BTreeMap<Address, &FormerService> = BTreeMap::new();
        for former in &config.former {
            let known = last.entry(former.address).or_insert(former);
            if former.generation >= known.generation {
                *known = former;
            }
        }
        let service = |former: &FormerService| self.services.get(&former.service).cloned();
        last.into_iter()
            .filter_map(|(address, former)| Some((address, service(former)?)))
            .collect()
    }
}

fn empty_bucket_table(view: &View, name: &Name) -> Arc<BucketTable> {
    let current = view.catalog.current();
    let buckets = current.and_then(|current| current.config.buckets_of(name));
    Arc::new(BucketTable::new(
        name.tag(),
        buckets.unwrap_or(BUCKETS_DEFAULT),
    ))
}

fn arbiter(record: &Record) -> Arbiter {
    debug_assert!(record.state != State::Down);
    Arbiter {
        member: record.member.clone(),
        weight: record.slots,
        data: record.data,
        control: record.control,
    }
}

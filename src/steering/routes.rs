//! Routing table: which services get the new flows of an address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::id::Generation;
use crate::packet::Flow;

/// Whether a request may be sent again when its outcome is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString, Serialize, Deserialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Requests are idempotent and may be repeated.
    Idempotent,
    /// Requests must not run more than once.
    AtMostOnce,
    /// Requests are idempotent and have large answers.
    Download,
}

/// A service that gets a share of a route's new flows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Name of the service.
    pub service: String,
    /// Share of the new flows, relative to the weights of the route's other targets.
    pub weight: u32,
}

/// An address and the services behind it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Name of the route in the operator's configuration.
    pub name: String,
    /// Address and port that clients send to.
    pub address: SocketAddr,
    /// Services that get new flows. Must not be empty.
    pub targets: Vec<Target>,
    /// Whether requests of the route may be repeated.
    pub repeat: Repeat,
    /// Latency objective of the route's requests.
    pub objective: Duration,
    /// Priority of the route; 0 is the highest.
    pub priority: u32,
}

impl Route {
    /// Selects the service of a new flow by the weights and the flow's hash, so that every balancer
    /// selects the same one.
    pub fn service_for(&self, flow: &Flow) -> &str {
        let total: u64 = self.targets.iter().map(|t| u64::from(t.weight)).sum();
        let mut draw = (flow.hash() >> 32) % total.max(1);
        for target in &self.targets {
            let weight = u64::from(target.weight);
            if draw < weight {
                return &target.service;
            }
            draw -= weight;
        }
        &self.targets[0].service
    }
}

/// Highest generation that a configuration may have. A later one would never be applied.
pub const GENERATION_MAX: Generation = Generation(1 << 53);

/// Where a process got a configuration from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Source {
    /// The store, which the operator writes.
    Store,
    /// Another balancer.
    Peer,
}

/// An accepted configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Routes {
    /// The operator's version number, which increases with each configuration. The revision of the
    /// object in the store is no order: a store that comes back from a copy gives revisions out
    /// again.
    #[serde(rename = "version")]
    pub generation: Generation,
    /// Routes of the configuration.
    pub routes: Vec<Route>,
    /// Time after which a flow without packets may be removed.
    pub idle_timeout: Duration,
}

/// The routes in force by address, with the former services of each address.
#[derive(Debug, Default)]
pub struct RouteTable {
    routes: HashMap<SocketAddr, Route>,
    /// Services of earlier configurations, which open flows of an address may still belong to.
    former: HashMap<SocketAddr, Vec<String>>,
    /// None before the first configuration.
    generation: Option<Generation>,
}

impl RouteTable {
    /// Applies a configuration. Returns false and changes nothing unless its generation is newer, or
    /// the store has other routes under the generation in force.
    pub fn adopt(&mut self, routes: Routes, source: Source) -> bool {
        let order = Some(routes.generation).cmp(&self.generation);
        let replaces = match source {
            Source::Store => order.is_eq() && !self.holds(&routes.routes),
            Source::Peer => false,
        };
        if routes.generation > GENERATION_MAX || !(order.is_gt() || replaces) {
            return false;
        }
        self.generation = Some(routes.generation);
        for route in self.routes.values() {
            let former = self.former.entry(route.address).or_default();
            for target in &route.targets {
                if !former.contains(&target.service) {
                    former.push(target.service.clone());
                }
            }
        }
        self.routes = routes.routes.into_iter().map(|r| (r.address, r)).collect();
        self.former
            .retain(|address, _| self.routes.contains_key(address));
        true
    }

    /// Whether exactly these routes are in force.
    fn holds(&self, routes: &[Route]) -> bool {
        let held = |route: &Route| self.routes.get(&route.address) == Some(route);
        routes.len() == self.routes.len() && routes.iter().all(held)
    }

    /// The route of an address.
    pub fn get(&self, address: &SocketAddr) -> Option<&Route> {
        self.routes.get(address)
    }

    /// Whether open flows of `address` may belong to `service`, by this or an earlier
    /// configuration.
    pub fn may_serve(&self, address: &SocketAddr, service: &str) -> bool {
        let now = self.routes.get(address);
        now.is_some_and(|route| route.targets.iter().any(|t| t.service == service))
            || self
                .former
                .get(address)
                .is_some_and(|former| former.iter().any(|name| name == service))
    }

    /// Generation of the configuration in force; none before the first one.
    pub fn generation(&self) -> Option<Generation> {
        self.generation
    }

    /// Number of routes in force.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

//! Addresses of a run's hosts and their settings files.
//!
//! Each host has a loopback address of its own, so that all hosts can use the same ports. Runs that
//! go on at the same time have different second octets.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Where clients and balancers exchange packets, and where agents get forwarded ones.
pub const PACKETS: u16 = 8172;
/// Where an agent gets packets from its server.
pub const FROM_SERVER: u16 = 8168;
/// Where a server gets packets.
pub const SERVER: u16 = 8080;
/// Readiness of a process.
pub const READINESS: u16 = 8167;
/// Heartbeats of servers.
pub const HEARTBEATS: u16 = 8166;
/// The store and its proxies.
pub const STORE: u16 = 8169;
/// Ports between processes.
const INTERNAL: (u16, u16) = (7720, 7735);
/// Time between a server's heartbeats in milliseconds.
pub const HEARTBEAT_MS: u64 = 770;

/// The addresses of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Site(pub u8);

/// A group of hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// The store.
    Store = 1,
    /// Proxies of balancers before the store.
    BalancerProxy = 2,
    /// Proxies of agents before the store.
    AgentProxy = 3,
    /// Balancers.
    Balancer = 10,
    /// Agents and their servers.
    Agent = 20,
    /// Clients.
    Client = 100,
}

/// What a process is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role<'a> {
    /// A balancer.
    Balancer,
    /// An agent beside a server of this service.
    Agent(&'a str),
}

impl Site {
    /// The address of a host.
    pub fn ip(self, group: Group, index: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0, group as u8, index as u8 + 1)
    }

    /// A port of a host.
    pub fn at(self, group: Group, index: usize, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip(group, index)), port)
    }

    /// The settings file of a process.
    pub fn settings(self, role: Role<'_>, index: usize, seeds: &[usize]) -> String {
        let (group, proxies, name) = match role {
            Role::Balancer => (Group::Balancer, Group::BalancerProxy, "balancer"),
            Role::Agent(_) => (Group::Agent, Group::AgentProxy, "agent"),
        };
        let at = |port| self.at(group, index, port);
        let seeds: Vec<_> = seeds
            .iter()
            .map(|seed| format!("\"{}\"", self.at(Group::Balancer, *seed, HEARTBEATS)))
            .collect();
        let server = match role {
            Role::Balancer => String::new(),
            Role::Agent(service) => {
                format!("service = \"{service}\"\napp = \"{}\"\n", at(SERVER))
            }
        };
        format!(
            "node_name = \"{name}-{index}\"\n\
             zone = \"z\"\n\
             ip = \"{}\"\n\
             internal_ports = [{}, {}]\n\
             seeds = [{}]\n\
             heartbeat_ms = {HEARTBEAT_MS}\n\
             {server}\
             [bind_addrs]\n\
             packet_addr = \"{}\"\n\
             readiness = \"{}\"\n\
             control_plane = \"{}\"\n\
             outbound = \"{}\"\n\
             [bounds]\n\
             grace_period_s = {}\n\
             [platform]\n\
             address = \"{}\"\n",
            self.ip(group, index),
            INTERNAL.0,
            INTERNAL.1,
            seeds.join(", "),
            at(PACKETS),
            at(READINESS),
            at(HEARTBEATS),
            at(FROM_SERVER),
            crate::process::GRACE.as_secs(),
            self.at(proxies, index, STORE),
        )
    }
}

//! Addresses of a run's hosts and their settings files.
//!
//! Each host has a loopback address of its own, so that all hosts can use the same ports. Runs that
//! go on at the same time have different second octets.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Where clients and balancers exchange packets, and where agents get forwarded ones.
pub const PACKET_PORT: u16 = 8172;
/// Where an agent gets packets from its server.
pub const SERVER_OUTBOUND_PORT: u16 = 8168;
/// Where a server gets packets.
pub const SERVER_PORT: u16 = 8080;
/// Readiness of a process.
pub const READINESS_PORT: u16 = 8167;
/// Heartbeats of servers.
pub const HEARTBEAT_PORT: u16 = 8166;
/// The store and its proxies.
pub const STORE_PORT: u16 = 8169;
/// Ports between processes.
const INTERNAL_PORTS: (u16, u16) = (7720, 7735);
/// Time between a server's heartbeats in milliseconds.
pub const HEARTBEAT_INTERVAL_MS: u64 = 770;

/// The addresses of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoopbackNetwork(pub u8);

/// A group of hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostGroup {
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

impl LoopbackNetwork {
    /// The address of a host.
    pub fn ip(self, group: HostGroup, index: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0, group as u8, index as u8 + 1)
    }

    /// A port of a host.
    pub fn socket_addr(self, group: HostGroup, index: usize, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip(group, index)), port)
    }

    /// The settings file of a process.
    pub fn settings(self, role: Role<'_>, index: usize, seeds: &[usize]) -> String {
        let (group, proxies, name) = match role {
            Role::Balancer => (HostGroup::Balancer, HostGroup::BalancerProxy, "balancer"),
            Role::Agent(_) => (HostGroup::Agent, HostGroup::AgentProxy, "agent"),
        };
        let at = |port| self.socket_addr(group, index, port);
        let seeds: Vec<_> = seeds
            .iter()
            .map(|seed| {
                format!(
                    "\"{}\"",
                    self.socket_addr(HostGroup::Balancer, *seed, HEARTBEAT_PORT)
                )
            })
            .collect();
        let server = match role {
            Role::Balancer => String::new(),
            Role::Agent(service) => {
                format!("service = \"{service}\"\napp = \"{}\"\n", at(SERVER_PORT))
            }
        };
        format!(
            "node_name = \"{name}-{index}\"\n\
             zone = \"z\"\n\
             ip = \"{}\"\n\
             internal_ports = [{}, {}]\n\
             seeds = [{}]\n\
             heartbeat_ms = {HEARTBEAT_INTERVAL_MS}\n\
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
            INTERNAL_PORTS.0,
            INTERNAL_PORTS.1,
            seeds.join(", "),
            at(PACKET_PORT),
            at(READINESS_PORT),
            at(HEARTBEAT_PORT),
            at(SERVER_OUTBOUND_PORT),
            crate::process::TERMINATION_GRACE.as_secs(),
            self.socket_addr(proxies, index, STORE_PORT),
        )
    }
}

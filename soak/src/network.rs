//! Loopback addresses of a run's hosts, and the settings files of its processes.
//!
//! Each host has its own loopback address, so that all hosts can use the same ports. Concurrent
//! runs use different second octets.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Port on which clients and balancers exchange packets and agents receive forwarded packets.
pub const PACKET_PORT: u16 = 8172;
/// Port on which an agent receives packets from its server.
pub const SERVER_OUTBOUND_PORT: u16 = 8168;
/// Port on which a server receives packets from its agent.
pub const SERVER_PORT: u16 = 8080;
/// Port of a process's HTTP readiness check.
pub const READINESS_PORT: u16 = 8167;
/// Port on which an agent receives its server's heartbeats over HTTP; also the port in seeds.
pub const HEARTBEAT_PORT: u16 = 8166;
/// Port of the store and of the proxies in front of it.
pub const STORE_PORT: u16 = 8169;
/// First and last port for traffic between the platform's processes.
const INTERNAL_PORTS: (u16, u16) = (7720, 7735);
/// Interval of a server's heartbeats in milliseconds; also the processes' `heartbeat_ms`.
pub const HEARTBEAT_INTERVAL_MS: u64 = 770;

/// Address range `127.x.0.0/16` of a run; the field is the second octet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoopbackNetwork(pub u8);

/// A group of hosts; the value is the third octet of their addresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostGroup {
    /// The store, which is one host.
    Store = 1,
    /// Proxies between the balancers and the store, one for each balancer.
    BalancerProxy = 2,
    /// Proxies between the agents and the store, one for each agent.
    AgentProxy = 3,
    /// Hosts that run a balancer.
    Balancer = 10,
    /// Hosts that run an agent and its server.
    Agent = 20,
    /// Hosts of the simulated clients.
    Client = 100,
}

/// Role in which a process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role<'a> {
    /// Forwards clients' packets to agents.
    Balancer,
    /// Runs beside a server of this service.
    Agent(&'a str),
}

impl LoopbackNetwork {
    /// Returns the IP address of the host at `index`, which counts from 0 in its group.
    pub fn ip(self, group: HostGroup, index: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0, group as u8, index as u8 + 1)
    }

    /// Returns the address of `port` on a host.
    pub fn socket_addr(self, group: HostGroup, index: usize, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip(group, index)), port)
    }

    /// Returns the text of a process's settings file. `seeds` are indexes of balancers.
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

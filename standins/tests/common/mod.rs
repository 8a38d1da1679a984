//! Helpers shared by the tests of this package.
#![allow(dead_code)]

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use flamingofall_standins::caller::Caller;
use flamingofall_standins::effect;
use flamingofall_standins::fabric::Fabric;
use flamingofall_standins::occupancy;
use flamingofall_standins::protocol::{Kind, Request};
use flamingofall_standins::server::{Config, Server};
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

pub const TIMEOUT: Duration = Duration::from_secs(20);

/// The virtual address of the service.
pub fn service() -> SocketAddr {
    "10.1.0.1:80".parse().unwrap()
}

/// The IP address of a caller, with `number` as the last octet.
pub fn ip(number: u8) -> IpAddr {
    Ipv4Addr::new(10, 9, 0, number).into()
}

/// Creates a request for an answer with `size` pattern bytes.
pub fn request(id: &str, kind: Kind, size: u64) -> Request {
    Request {
        id: id.to_owned(),
        kind,
        size,
        ..Request::default()
    }
}

/// UDP addresses of the servers to which relays forward packets. Shared, so that a test can change
/// them.
pub type Targets = Arc<Mutex<Vec<SocketAddr>>>;

/// Starts a substitute for a balancer and its agents. It forwards each packet to the server that
/// the caller's port selects, so that all relays choose the same server for a flow.
pub async fn relay(targets: Targets) -> (SocketAddr, JoinHandle<()>) {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = socket.local_addr().unwrap();
    let task = tokio::spawn(async move {
        let mut buffer = vec![0; 65_535];
        loop {
            let (length, _) = socket.recv_from(&mut buffer).await.unwrap();
            let packet = &buffer[..length];
            let header = usize::from(packet[0] & 0x0f) * 4;
            let port = u16::from_be_bytes([packet[header], packet[header + 1]]);
            let target = {
                let targets = targets.lock().unwrap();
                targets[usize::from(port) % targets.len()]
            };
            socket.send_to(packet, target).await.unwrap();
        }
    });
    (address, task)
}

/// A fabric with two relays in front of two servers.
pub struct Path {
    pub fabric: Fabric,
    pub servers: Vec<Server>,
    pub targets: Targets,
    pub effects: effect::Log,
    pub occupancy: occupancy::Log,
}

impl Path {
    pub async fn start(seed: u64, change: impl Fn(&mut Config)) -> Self {
        let fabric = Fabric::start(seed).await.unwrap();
        let targets = Targets::default();
        for _ in 0..2 {
            let (address, _) = relay(targets.clone()).await;
            fabric.add_balancer(address);
        }
        let mut path = Self {
            fabric,
            servers: Vec::new(),
            targets,
            effects: effect::Log::new(),
            occupancy: occupancy::Log::new(),
        };
        path.add("a", &change).await;
        path.add("b", &change).await;
        path
    }

    /// Starts a path with a single server.
    pub async fn single(change: impl Fn(&mut Config)) -> Self {
        let mut path = Self::start(0, &change).await;
        path.servers.pop();
        path.targets.lock().unwrap().pop();
        path
    }

    /// Starts a server and adds it to the relays' targets.
    pub async fn add(&mut self, name: &str, change: impl Fn(&mut Config)) {
        let mut config = Config::new(name, "portal", service(), self.fabric.address());
        config.effects = self.effects.clone();
        config.occupancy = self.occupancy.clone();
        change(&mut config);
        let server = Server::start(config).await.unwrap();
        self.targets.lock().unwrap().push(server.address());
        self.servers.push(server);
    }

    pub fn caller(&self, number: u8) -> Caller {
        Caller::start(self.fabric.attach(ip(number)), u64::from(number))
    }
}

/// Polls a condition until it holds; panics after [`TIMEOUT`].
pub async fn eventually(condition: impl Fn() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !condition() {
        assert!(
            Instant::now() < end,
            "condition did not hold within the timeout"
        );
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

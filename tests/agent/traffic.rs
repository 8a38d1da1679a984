//! Configuration, addresses and packets of the scenarios.

use std::net::SocketAddr;
use std::time::Duration;

use etherparse::PacketBuilder;
use flamingofall::agent::{SafetyMechanisms, Settings};
use flamingofall::config::Service;
use flamingofall::encap::{Header, Key, HOP_LIMIT};
use flamingofall::id::{Generation, Incarnation, ServiceTag};
use flamingofall::packet::{Flow, Kind, Protocol};
use serde_json::json;

pub const BALANCERS: usize = 3;
pub const BUCKETS: u32 = 64;

/// Parameters of a scenario; `loss` and `duplication` are probabilities for each packet or message.
#[derive(Clone)]
pub struct ScenarioConfig {
    pub seed: u64,
    pub members: usize,
    pub loss: f64,
    pub duplication: f64,
    /// Longest delay until a changed record reaches another balancer.
    pub lag: Duration,
    pub connections: u32,
    pub cold_start_ms: u64,
    pub mechanisms: SafetyMechanisms,
}

/// Agents use the addresses 10.1.0.n, balancers 10.2.0.n.
pub fn address(kind: u8, index: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, kind, 0, index as u8], port))
}

pub fn octets(address: SocketAddr) -> [u8; 4] {
    let SocketAddr::V4(address) = address else {
        panic!("the driver uses IPv4")
    };
    address.ip().octets()
}

pub fn index(address: SocketAddr) -> usize {
    usize::from(octets(address)[3])
}

pub fn service(config: &ScenarioConfig) -> Service {
    let address = |protocol| json!({"protocol": protocol, "address": "10.9.0.0:443"});
    let service = json!({
        "name": "orders", "organisation": "transcripts", "weight": 2, "buckets": BUCKETS,
        "addresses": [address("tcp"), address("udp")], "cold_start_ms": config.cold_start_ms,
    });
    serde_json::from_value(service).unwrap()
}

pub fn flow(protocol: Protocol, number: usize) -> Flow {
    let source = SocketAddr::from(([10, 8, (number >> 8) as u8, number as u8], 5000));
    let destination = address(9, 0, 443);
    Flow {
        protocol,
        source,
        destination,
    }
}

pub fn bytes(flow: &Flow, kind: Kind) -> Vec<u8> {
    let ip = PacketBuilder::ipv4(octets(flow.source), octets(flow.destination), 64);
    let (from, to) = (flow.source.port(), flow.destination.port());
    let mut bytes = Vec::new();
    match kind {
        Kind::Datagram => ip.udp(from, to).write(&mut bytes, b"order"),
        Kind::Syn => ip.tcp(from, to, 1, 9).syn().write(&mut bytes, &[]),
        _ => ip.tcp(from, to, 2, 9).ack(7).write(&mut bytes, b"data"),
    }
    .unwrap();
    bytes
}

pub fn settings(config: &ScenarioConfig, index: usize, run: u64) -> Settings {
    let collectors = (0..BALANCERS).map(|b| address(2, (index + b) % BALANCERS, 1));
    Settings {
        member: format!("m{index}").parse().unwrap(),
        domain: "north".parse().unwrap(),
        control: address(1, index, 1),
        data: address(1, index, 2),
        incarnation: Incarnation(run),
        key: Key::new([7; 16]),
        collectors: collectors.collect(),
        mechanisms: config.mechanisms,
    }
}

/// The encapsulation header that a balancer sends.
pub fn header(service: ServiceTag) -> Header {
    Header {
        service,
        generation: Generation(1),
        hop_limit: HOP_LIMIT,
        assigned: false,
        fallback: None,
    }
}

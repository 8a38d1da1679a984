//! Tests of the fabric, with plain UDP sockets in place of balancers and server hosts.

mod common;

use std::collections::HashMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use common::{eventually, ip, TIMEOUT};
use etherparse::PacketBuilder;
use flamingofall_standins::fabric::{Fabric, Faults, Port, Spray};
use tokio::net::UdpSocket;

/// Builds an IP packet with a UDP datagram whose payload is `number`.
fn packet(from: IpAddr, to: IpAddr, number: u32) -> Vec<u8> {
    let builder = match (from, to) {
        (IpAddr::V4(from), IpAddr::V4(to)) => PacketBuilder::ipv4(from.octets(), to.octets(), 64),
        (IpAddr::V6(from), IpAddr::V6(to)) => PacketBuilder::ipv6(from.octets(), to.octets(), 64),
        _ => panic!("IP versions of source and destination differ"),
    };
    let mut bytes = Vec::new();
    let payload = number.to_be_bytes();
    builder.udp(1000, 80).write(&mut bytes, &payload).unwrap();
    bytes
}

fn number(packet: &[u8]) -> u32 {
    u32::from_be_bytes(*packet.last_chunk().unwrap())
}

async fn socket() -> (UdpSocket, SocketAddr) {
    let socket = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = socket.local_addr().unwrap();
    (socket, address)
}

async fn receive(socket: &UdpSocket) -> Vec<u8> {
    let mut buffer = vec![0; 2000];
    let received = tokio::time::timeout(TIMEOUT, socket.recv(&mut buffer));
    let length = received.await.unwrap().unwrap();
    buffer.truncate(length);
    buffer
}

fn send(port: &Port, count: u32) {
    let to = "10.1.0.1".parse().unwrap();
    for number in 0..count {
        port.send(packet(port.ip(), to, number));
    }
}

/// Sends `count` packets with `faults` and returns the numbers of those that a balancer receives,
/// in order of arrival.
async fn numbers(seed: u64, faults: Faults, count: u32) -> Vec<u32> {
    let fabric = Fabric::start(seed).await.unwrap();
    let (balancer, address) = socket().await;
    fabric.add_balancer(address);
    fabric.set_faults(faults);
    let port = fabric.attach(ip(1));
    send(&port, count);
    let arrived = |fabric: &Fabric| {
        let counts = fabric.counts();
        let sent = counts.from_callers - counts.lost + counts.duplicated;
        counts.from_callers == u64::from(count) && counts.to_balancers == sent
    };
    eventually(|| arrived(&fabric)).await;
    let mut numbers = Vec::new();
    for _ in 0..fabric.counts().to_balancers {
        numbers.push(number(&receive(&balancer).await));
    }
    numbers
}

/// Guards against packets of a flow that all go to the same balancer, and against modified packets.
#[tokio::test]
async fn round_robin() {
    let fabric = Fabric::start(0).await.unwrap();
    fabric.set_spray(Spray::RoundRobin);
    let (first, address) = socket().await;
    fabric.add_balancer(address);
    let (second, address) = socket().await;
    fabric.add_balancer(address);
    let port = fabric.attach(ip(1));
    send(&port, 6);
    let to = "10.1.0.1".parse().unwrap();
    for balancer in [&first, &second] {
        let mut previous = None;
        for _ in 0..3 {
            let bytes = receive(balancer).await;
            assert_eq!(bytes, packet(ip(1), to, number(&bytes)));
            assert!(previous.is_none_or(|previous| number(&bytes) == previous + 2));
            previous = Some(number(&bytes));
        }
    }
}

/// Guards against a balancer that receives packets after its removal, or none after its addition.
#[tokio::test]
async fn balancer_changes() {
    let fabric = Fabric::start(0).await.unwrap();
    let port = fabric.attach(ip(1));
    send(&port, 5);
    eventually(|| fabric.counts().no_balancer == 5).await;
    let (first, first_address) = socket().await;
    let (second, second_address) = socket().await;
    fabric.add_balancer(first_address);
    fabric.add_balancer(second_address);
    fabric.remove_balancer(first_address);
    send(&port, 20);
    for expected in 0..20 {
        assert_eq!(number(&receive(&second).await), expected);
    }
    assert!(first.try_recv(&mut [0; 100]).is_err());
}

/// Guards against answers that are delivered to a caller other than their destination address.
#[tokio::test]
async fn answers() {
    let fabric = Fabric::start(0).await.unwrap();
    let addresses: [IpAddr; 3] = [ip(1), ip(2), "fd00::1".parse().unwrap()];
    let mut ports: HashMap<IpAddr, Port> = addresses.map(|ip| (ip, fabric.attach(ip))).into();
    let (server, _) = socket().await;
    for (number, to) in (0..).zip(addresses) {
        let from = match to {
            IpAddr::V4(_) => "10.1.0.1".parse().unwrap(),
            IpAddr::V6(_) => "fd00::2".parse().unwrap(),
        };
        let sent = packet(from, to, number);
        server.send_to(&sent, fabric.address()).await.unwrap();
        let received = ports.get_mut(&to).unwrap().receive();
        let received = tokio::time::timeout(TIMEOUT, received).await.unwrap();
        assert_eq!(received, Some(sent));
    }
    let unknown = packet("10.1.0.1".parse().unwrap(), ip(9), 0);
    server.send_to(&unknown, fabric.address()).await.unwrap();
    server
        .send_to(b"no packet", fabric.address())
        .await
        .unwrap();
    eventually(|| fabric.counts().no_caller == 2).await;
    assert!(ports.values_mut().all(|port| port.try_receive().is_none()));
}

/// Guards against a loss rate that differs from the probability, and against losses that differ
/// between runs with the same seed.
#[tokio::test]
async fn seeded_loss() {
    let faults = Faults {
        loss: 0.3,
        ..Faults::default()
    };
    let first = numbers(7, faults, 200).await;
    assert!((110..170).contains(&first.len()));
    assert_eq!(first, numbers(7, faults, 200).await);
    assert_ne!(first, numbers(8, faults, 200).await);
}

/// Guards against a duplication fault that has no effect or drops packets.
#[tokio::test]
async fn duplication() {
    let faults = Faults {
        duplicate: 0.5,
        ..Faults::default()
    };
    let mut numbers = numbers(3, faults, 100).await;
    assert!((120..180).contains(&numbers.len()));
    numbers.sort_unstable();
    numbers.dedup();
    assert_eq!(numbers.len(), 100);
}

/// Guards against a reordering fault that keeps the order or drops packets.
#[tokio::test]
async fn reordering() {
    let faults = Faults {
        reorder: 0.2,
        reorder_by: Duration::from_millis(20),
        ..Faults::default()
    };
    let mut numbers = numbers(3, faults, 100).await;
    assert!(!numbers.is_sorted());
    numbers.sort_unstable();
    assert!(numbers.into_iter().eq(0..100));
}

/// Guards against a delay that is not applied, or applied to one direction only.
#[tokio::test]
async fn delays() {
    let fabric = Fabric::start(0).await.unwrap();
    let delay = Duration::from_millis(50);
    fabric.set_faults(Faults {
        delay,
        jitter: delay,
        ..Faults::default()
    });
    let (host, address) = socket().await;
    fabric.add_balancer(address);
    let mut port = fabric.attach(ip(1));
    let began = Instant::now();
    send(&port, 1);
    receive(&host).await;
    assert!(began.elapsed() >= delay);
    let answer = packet("10.1.0.1".parse().unwrap(), ip(1), 0);
    host.send_to(&answer, fabric.address()).await.unwrap();
    port.receive().await.unwrap();
    assert!(began.elapsed() >= delay * 2);
}

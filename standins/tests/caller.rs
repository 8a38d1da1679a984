//! Tests of the caller: failures, timeouts, reuse of ports, and checks of answers.

mod common;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use common::{eventually, ip, request, service, Path, TIMEOUT};
use etherparse::{icmpv4, Icmpv4Type, PacketBuilder, SlicedPacket, TransportSlice};
use flamingofall_standins::caller::{Caller, Failure, Options, Outcome, Protocol};
use flamingofall_standins::fabric::{Fabric, Faults};
use flamingofall_standins::protocol::{Kind, Request, Status};
use tokio::net::UdpSocket;
use yare::parameterized;

fn with_local_port(port: u16) -> Options {
    Options {
        local_port: Some(port),
        ..Options::default()
    }
}

fn short_timeout() -> Options {
    Options {
        timeout: Duration::from_millis(500),
        ..Options::default()
    }
}

/// The octets of an IPv4 address.
fn octets(ip: IpAddr) -> [u8; 4] {
    match ip {
        IpAddr::V4(ip) => ip.octets(),
        IpAddr::V6(_) => panic!("not IPv4"),
    }
}

/// A packet that refuses the given one: ICMP destination unreachable with code 13
/// (administratively prohibited), or RST+ACK.
fn refusal_packet(packet: &[u8], icmp: bool) -> Vec<u8> {
    let to = octets(ip(1));
    let from = octets(service().ip());
    let mut bytes = Vec::new();
    if icmp {
        let kind = icmpv4::DestUnreachableHeader::FilterProhibited;
        PacketBuilder::ipv4(from, to, 64)
            .icmpv4(Icmpv4Type::DestinationUnreachable(kind))
            .write(&mut bytes, packet)
            .unwrap();
        return bytes;
    }
    let sliced = SlicedPacket::from_ip(packet).unwrap();
    let Some(TransportSlice::Tcp(tcp)) = sliced.transport else {
        panic!("not a TCP segment");
    };
    PacketBuilder::ipv4(from, to, 64)
        .tcp(80, tcp.source_port(), 0, 0)
        .rst()
        .ack(tcp.sequence_number() + 1)
        .write(&mut bytes, &[])
        .unwrap();
    bytes
}

/// A fabric whose only balancer refuses every packet, with ICMP unreachable or RST+ACK.
async fn refusing_fabric(icmp: bool) -> Fabric {
    let fabric = Fabric::start(0).await.unwrap();
    let balancer = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    fabric.add_balancer(balancer.local_addr().unwrap());
    let to = fabric.address();
    tokio::spawn(async move {
        let mut buffer = vec![0; 2000];
        loop {
            let length = balancer.recv(&mut buffer).await.unwrap();
            let answer = refusal_packet(&buffer[..length], icmp);
            balancer.send_to(&answer, to).await.unwrap();
        }
    });
    fabric
}

/// Guards against a RST or ICMP unreachable during the opening of a flow that is not reported as a
/// refusal, or that counts as a broken flow.
#[parameterized(
    reset = { Protocol::Tcp, false },
    tcp_unreachable = { Protocol::Tcp, true },
    udp_unreachable = { Protocol::Udp, true },
)]
#[test_macro(tokio::test)]
async fn refused(protocol: Protocol, icmp: bool) {
    let fabric = refusing_fabric(icmp).await;
    let caller = Caller::start(fabric.attach(ip(1)), 1);
    let failure = match protocol {
        Protocol::Tcp => caller
            .connect(service(), Options::default())
            .await
            .unwrap_err(),
        Protocol::Udp => caller
            .exchange(service(), request("1", Kind::Order, 0), Options::default())
            .await
            .unwrap_err(),
    };
    assert_eq!(failure, Failure::Refused);
    let record = &caller.records()[0];
    assert_eq!(
        (record.protocol, record.outcome),
        (protocol, Outcome::Refused)
    );
    assert!(!record.is_broken());
}

/// Guards against flows that wait for ever: there is no balancer, so no packet is answered.
#[tokio::test]
async fn timed_out() {
    let fabric = Fabric::start(0).await.unwrap();
    let caller = Caller::start(fabric.attach(ip(1)), 1);
    let failure = caller
        .connect(service(), short_timeout())
        .await
        .unwrap_err();
    assert_eq!(failure, Failure::TimedOut);
    let order = request("1", Kind::Order, 0);
    let failure = caller.exchange(service(), order, short_timeout()).await;
    assert_eq!(failure.unwrap_err(), Failure::TimedOut);
    for record in caller.records() {
        assert_eq!(record.outcome, Outcome::TimedOut);
        assert!(!record.is_broken());
    }
}

/// Guards against a connection that doesn't count as broken although its server is lost: the server
/// that gets its packets afterwards resets it.
#[tokio::test]
async fn server_lost() {
    let mut path = Path::single(|_| {}).await;
    let caller = path.caller(1);
    let flow = caller.connect(service(), Options::default()).await.unwrap();
    let order = |id| request(id, Kind::Order, 0);
    flow.request(order("1"), TIMEOUT).await.unwrap();
    path.servers.clear();
    path.targets.lock().unwrap().clear();
    path.add("c", |_| {}).await;
    let failure = flow.request(order("2"), TIMEOUT).await.unwrap_err();
    assert_eq!(failure, Failure::Reset);
    let record = &caller.records()[0];
    assert_eq!(record.outcome, Outcome::Reset);
    assert!(record.is_broken());
    assert_eq!((record.answers, record.unanswered), (1, 1));
}

/// Guards against a connection that doesn't count as broken although the server closed it.
#[tokio::test]
async fn server_closes() {
    let path = Path::single(|_| {}).await;
    let caller = path.caller(1);
    let flow = caller.connect(service(), Options::default()).await.unwrap();
    let order = |id| request(id, Kind::Order, 0);
    flow.request(order("1"), TIMEOUT).await.unwrap();
    path.servers[0].close_connections();
    eventually(|| caller.records()[0].outcome == Outcome::Ended).await;
    assert!(caller.records()[0].is_broken());
    let failure = flow.request(order("2"), TIMEOUT).await.unwrap_err();
    assert_eq!(failure, Failure::Closed);
}

/// Guards against a flow that doesn't count as broken while an answer is overdue, and against one
/// that still counts as broken after the late answer has arrived.
#[tokio::test]
async fn late_answer() {
    let path = Path::single(|_| {}).await;
    let caller = path.caller(1);
    let flow = caller.connect(service(), Options::default()).await.unwrap();
    let order = Request {
        work_ms: 300,
        ..request("1", Kind::Order, 0)
    };
    let failure = flow.request(order, Duration::from_millis(50)).await;
    assert_eq!(failure.unwrap_err(), Failure::TimedOut);
    assert!(caller.records()[0].is_broken());
    eventually(|| caller.records()[0].outcome == Outcome::Open).await;
    assert_eq!(caller.records()[0].answers, 1);
}

/// Guards against a request that runs more than once when the caller sends its id again after a
/// timeout, to query the result. The answer takes back both timeouts.
#[tokio::test]
async fn query_by_id() {
    let path = Path::single(|_| {}).await;
    let caller = path.caller(1);
    let flow = caller.connect(service(), Options::default()).await.unwrap();
    let order = Request {
        work_ms: 300,
        ..request("1", Kind::Order, 100)
    };
    let short_timeout = Duration::from_millis(50);
    for _ in 0..2 {
        let failure = flow
            .request(order.clone(), short_timeout)
            .await
            .unwrap_err();
        assert_eq!(failure, Failure::TimedOut);
    }
    let answer = flow.request(order.clone(), TIMEOUT).await.unwrap();
    assert!(answer.correct);
    assert_eq!(flow.request(order, TIMEOUT).await.unwrap(), answer);
    assert_eq!(path.effects.entries().len(), 1);
    let record = &caller.records()[0];
    assert_eq!((record.outcome, record.unanswered), (Outcome::Open, 0));
}

/// Guards against an idle connection that times out: it is idle for longer than its timeout, which
/// counts only while data is not acknowledged.
#[tokio::test]
async fn silent_flow() {
    let path = Path::single(|_| {}).await;
    let caller = path.caller(1);
    let flow = caller.connect(service(), short_timeout()).await.unwrap();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let answer = flow.request(request("1", Kind::Order, 5000), TIMEOUT).await;
    assert!(answer.unwrap().correct);
    assert_eq!(caller.records()[0].outcome, Outcome::Open);
}

/// Guards against a local port that stays in use after its flow was closed, aborted or forgotten,
/// and against a second flow on a port that is in use.
#[parameterized(
    closed = { 0 },
    aborted = { 1 },
    forgotten = { 2 },
)]
#[test_macro(tokio::test)]
async fn port_reuse(close_method: u8) {
    let path = Path::single(|_| {}).await;
    let caller = path.caller(1);
    for number in 0..3 {
        let flow = caller
            .connect(service(), with_local_port(5000))
            .await
            .unwrap();
        let second = caller.connect(service(), with_local_port(5000)).await;
        assert_eq!(second.unwrap_err(), Failure::PortInUse);
        let order = request(&number.to_string(), Kind::Order, 100);
        assert!(flow.request(order, TIMEOUT).await.unwrap().correct);
        match close_method {
            0 => flow.close(),
            1 => flow.abort(),
            _ => flow.forget(),
        }
    }
    assert_eq!(path.effects.entries().len(), 3);
}

/// Guards against an answer with the request id of another flow, or from another service, that is
/// accepted as a correct one.
#[tokio::test]
async fn foreign_answers() {
    let fabric = Fabric::start(0).await.unwrap();
    let balancer = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    fabric.add_balancer(balancer.local_addr().unwrap());
    let caller = Caller::start(fabric.attach(ip(1)), 1);
    let options = Options {
        local_port: Some(5000),
        repeat: None,
        service: Some("portal".to_owned()),
        ..short_timeout()
    };
    let answers = async {
        let mut buffer = [0; 2000];
        let first_packet = tokio::time::timeout(TIMEOUT, balancer.recv(&mut buffer));
        first_packet.await.unwrap().unwrap();
        let lines = [
            r#"{"id":"2","status":"done","server":"a","service":"portal","bytes":0}"#,
            r#"{"id":"1","status":"done","server":"a","service":"other","bytes":3}"#,
        ];
        for line in lines {
            let mut bytes = Vec::new();
            PacketBuilder::ipv4(octets(service().ip()), octets(ip(1)), 64)
                .udp(80, 5000)
                .write(&mut bytes, format!("{line}\nxyz").as_bytes())
                .unwrap();
            balancer.send_to(&bytes, fabric.address()).await.unwrap();
        }
    };
    let order = request("1", Kind::Order, 3);
    let (answer, ()) = tokio::join!(caller.exchange(service(), order, options), answers);
    assert!(!answer.unwrap().correct);
    let record = &caller.records()[0];
    assert_eq!((record.answers, record.corrupt), (0, 1));
    assert_eq!((record.foreign, record.misdelivered), (1, 1));
}

/// Guards against a server connection that stays open after the caller has forgotten its side: the
/// answer arrives at the caller as a segment of no flow, and is reset.
#[tokio::test]
async fn stray_segment() {
    let path = Path::single(|_| {}).await;
    let caller = path.caller(1);
    let flow = caller.connect(service(), Options::default()).await.unwrap();
    let order = Request {
        work_ms: 100,
        ..request("1", Kind::Order, 0)
    };
    let result = flow.request(order, Duration::from_millis(20)).await;
    assert!(result.is_err());
    flow.forget();
    let server = &path.servers[0];
    eventually(|| server.load().connections == 0).await;
    assert_eq!(path.effects.entries().len(), 1);
}

/// Guards against an established connection that doesn't time out, or doesn't count as broken, when
/// all packets are lost: its data is never acknowledged.
#[tokio::test]
async fn black_hole() {
    let path = Path::single(|_| {}).await;
    let caller = path.caller(1);
    let flow = caller.connect(service(), short_timeout()).await.unwrap();
    path.fabric.set_faults(Faults {
        loss: 1.0,
        ..Faults::default()
    });
    let order = request("1", Kind::Order, 0);
    let failure = flow.request(order, TIMEOUT).await.unwrap_err();
    assert_eq!(failure, Failure::TimedOut);
    assert_eq!(caller.records()[0].outcome, Outcome::TimedOut);
    assert!(caller.records()[0].is_broken());
}

/// Guards against faults of TCP and UDP that only occur over IPv6; the fabric sends directly to the
/// server, without a relay, which reads IPv4 headers only.
#[tokio::test]
async fn over_ipv6() {
    let remote: SocketAddr = "[fd00:1::1]:80".parse().unwrap();
    let path = Path::single(|config| config.addresses.push(remote)).await;
    let direct = path.targets.lock().unwrap()[0];
    for balancer in path.fabric.balancers() {
        path.fabric.remove_balancer(balancer);
    }
    path.fabric.add_balancer(direct);
    let caller = Caller::start(path.fabric.attach("fd00:9::1".parse().unwrap()), 1);
    let flow = caller.connect(remote, Options::default()).await.unwrap();
    let answer = flow.request(request("1", Kind::Order, 5000), TIMEOUT).await;
    assert!(answer.unwrap().correct);
    let order = request("2", Kind::Order, 100);
    let answer = caller.exchange(remote, order, Options::default()).await;
    assert_eq!(answer.unwrap().status, Status::Done);
}

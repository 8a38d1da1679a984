//! Tests of the stand-in for a backend server.

mod common;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use common::{eventually, ip, request, service, Path, TIMEOUT};
use etherparse::{PacketBuilder, SlicedPacket, TransportSlice};
use flamingofall_standins::caller::{Failure, Flow, Options, Response};
use flamingofall_standins::http;
use flamingofall_standins::protocol::{Kind, Request, Status};
use flamingofall_standins::server::{Config, Load, Report, Server};
use hyper::Method;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, UdpSocket};

/// Run time of a request of [`slow_order`].
const WORK_DURATION: Duration = Duration::from_millis(300);

/// Connects a new caller to the service.
async fn connect(path: &Path, number: u8) -> Flow {
    let caller = path.caller(number);
    let flow = caller.connect(service(), Options::default()).await.unwrap();
    // Dropping the handle would stop the caller, so it is kept until the test process ends.
    std::mem::forget(caller);
    flow
}

fn slow_order(id: &str) -> Request {
    Request {
        work_ms: WORK_DURATION.as_millis() as u64,
        ..request(id, Kind::Order, 10)
    }
}

/// Sends a request and waits for its response.
async fn send_request(flow: &Flow, request: Request) -> Response {
    flow.request(request, TIMEOUT).await.unwrap()
}

/// Guards against a request that runs twice because its id is repeated, on the same connection or
/// on another one.
#[tokio::test]
async fn repeated_request() {
    let path = Path::single(|_| {}).await;
    let flow = connect(&path, 1).await;
    let other = connect(&path, 2).await;
    let first = send_request(&flow, request("1", Kind::Order, 100)).await;
    let again = send_request(&flow, request("1", Kind::Order, 100)).await;
    let elsewhere = send_request(&other, request("1", Kind::Order, 100)).await;
    assert_eq!((&first, &first), (&again, &elsewhere));
    assert_eq!(path.effects.entries().len(), 1);
    assert_eq!(path.effects.entries()[0].server, "a");
}

/// Guards against a shed request that runs because a delayed copy of it arrives when a slot is
/// free. Only a later attempt may run.
#[tokio::test]
async fn shed_request() {
    let path = Path::single(|config| {
        config.slots = 1;
        config.queue = 1;
    })
    .await;
    let flow = connect(&path, 1).await;
    let (running, waiting, shed) = tokio::join!(
        send_request(&flow, slow_order("1")),
        send_request(&flow, slow_order("2")),
        send_request(&flow, slow_order("3")),
    );
    assert_eq!(
        (running.status, waiting.status),
        (Status::Done, Status::Done)
    );
    assert_eq!(shed.status, Status::Shed);
    assert_eq!(
        send_request(&flow, slow_order("3")).await.status,
        Status::Shed
    );
    assert_eq!(path.effects.entries().len(), 2);
    let retried = Request {
        attempt: 1,
        ..slow_order("3")
    };
    assert_eq!(send_request(&flow, retried).await.status, Status::Done);
    assert_eq!(path.effects.entries().len(), 3);
    assert!(path.effects.duplicates().is_empty());
}

/// Guards against expired and cancelled requests that have effects or keep their slots, also when
/// the cancellation arrives before the request, and against a cancellation that changes the result
/// of a finished request.
#[tokio::test]
async fn expired_cancelled() {
    let path = Path::single(|config| config.slots = 1).await;
    let flow = connect(&path, 1).await;
    let late = Request {
        deadline_ms: 50,
        ..slow_order("1")
    };
    assert_eq!(send_request(&flow, late).await.status, Status::Expired);
    let cancel = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        flow.cancel("2");
    };
    let began = Instant::now();
    let (cancelled, ()) = tokio::join!(send_request(&flow, slow_order("2")), cancel);
    assert_eq!(cancelled.status, Status::Cancelled);
    assert!(began.elapsed() < WORK_DURATION);
    flow.cancel("3");
    assert_eq!(
        send_request(&flow, slow_order("3")).await.status,
        Status::Cancelled
    );
    assert!(path.effects.entries().is_empty());
    assert_eq!(
        send_request(&flow, slow_order("4")).await.status,
        Status::Done
    );
    flow.cancel("4");
    assert_eq!(
        send_request(&flow, slow_order("4")).await.status,
        Status::Done
    );
}

/// Guards against a request over UDP that has an effect although it was cancelled while it ran.
#[tokio::test]
async fn cancelled_datagram() {
    let path = Path::single(|_| {}).await;
    let caller = path.caller(1);
    let options = Options {
        local_port: Some(5000),
        ..Options::default()
    };
    let cancel = async {
        eventually(|| path.servers[0].load().slots_used == 1).await;
        caller.cancel_exchange(service(), 5000, "1");
    };
    let exchange = caller.exchange(service(), slow_order("1"), options);
    let (answer, ()) = tokio::join!(exchange, cancel);
    assert_eq!(answer.unwrap().status, Status::Cancelled);
    assert!(path.effects.entries().is_empty());
}

/// Guards against a watch over TCP that occupies a slot and so blocks other requests, that ends
/// before its `work_ms` have passed, or that continues after its deadline or cancellation.
#[tokio::test]
async fn watch_stream() {
    let path = Path::single(|config| {
        config.slots = 1;
        config.queue = 0;
    })
    .await;
    let flow = connect(&path, 1).await;
    let watch = Request {
        kind: Kind::Watch,
        size: 12_345,
        ..slow_order("watch")
    };
    let began = Instant::now();
    let order = send_request(&flow, request("order", Kind::Order, 0));
    let (watched, order) = tokio::join!(send_request(&flow, watch.clone()), order);
    assert!(watched.correct && began.elapsed() >= WORK_DURATION);
    assert_eq!((watched.bytes, order.status), (12_345, Status::Done));
    let late = Request {
        id: "late".to_owned(),
        deadline_ms: 100,
        ..watch.clone()
    };
    let began = Instant::now();
    assert_eq!(send_request(&flow, late).await.status, Status::Expired);
    assert!(began.elapsed() < WORK_DURATION);
    let again = Request {
        id: "again".to_owned(),
        ..watch
    };
    let cancel = async { flow.cancel("again") };
    let (cancelled, ()) = tokio::join!(send_request(&flow, again), cancel);
    assert_eq!(cancelled.status, Status::Cancelled);
}

/// Guards against connections that are accepted beyond the limit, and against a closed connection
/// that still counts towards it.
#[tokio::test]
async fn connection_limit() {
    let path = Path::single(|config| config.connections = 1).await;
    let flow = connect(&path, 1).await;
    let caller = path.caller(2);
    let refused = caller.connect(service(), Options::default()).await;
    assert_eq!(refused.unwrap_err(), Failure::Refused);
    let server = &path.servers[0];
    eventually(|| server.counts().over_limit == 1).await;
    assert_eq!(server.counts().resets, 1);
    flow.close();
    eventually(|| server.load().connections == 0).await;
    caller.connect(service(), Options::default()).await.unwrap();
}

/// Guards against a server that runs requests at full speed during the cold start, and one that
/// stays slow after it.
#[tokio::test]
async fn cold_start() {
    let path = Path::single(|config| {
        config.cold_start = Duration::from_secs(1);
        config.cold_slowness = 5.0;
    })
    .await;
    let flow = connect(&path, 1).await;
    let short_order = |id| Request {
        work_ms: 50,
        ..request(id, Kind::Order, 0)
    };
    let began = Instant::now();
    send_request(&flow, short_order("1")).await;
    let cold = began.elapsed();
    tokio::time::sleep(Duration::from_secs(1)).await;
    let began = Instant::now();
    send_request(&flow, short_order("2")).await;
    assert!(cold > Duration::from_millis(150));
    assert!(began.elapsed() < cold);
}

/// Requests the load from the server's load endpoint.
async fn fetch_load(server: &Server) -> Load {
    let url = format!("http://{}/load", server.address());
    let answer = http::call(Method::GET, &url, "", TIMEOUT).await.unwrap();
    serde_json::from_slice(&answer.body).unwrap()
}

/// Guards against a load endpoint that reports the accurate load although a fault is injected.
#[tokio::test]
async fn load_reports() {
    let path = Path::single(|_| {}).await;
    let server = &path.servers[0];
    server.set_report(Report::Stale(Duration::from_secs(60)));
    fetch_load(server).await;
    let flow = connect(&path, 1).await;
    eventually(|| server.load().connections == 1).await;
    let idle = Load {
        ready: true,
        ..Load::default()
    };
    assert_eq!(fetch_load(server).await, idle);
    let busy = Load {
        slots_used: 1,
        connections: 1,
        ..idle
    };
    let reports = async {
        eventually(|| server.load().slots_used == 1).await;
        server.set_report(Report::Accurate);
        assert_eq!(fetch_load(server).await, busy);
        server.set_report(Report::Zero);
        assert_eq!(fetch_load(server).await, idle);
        server.set_report(Report::Slow(Duration::from_millis(100)));
        let began = Instant::now();
        assert_eq!(fetch_load(server).await, busy);
        assert!(began.elapsed() >= Duration::from_millis(100));
    };
    tokio::join!(send_request(&flow, slow_order("1")), reports);
    server.drain();
    server.set_report(Report::Accurate);
    assert!(fetch_load(server).await.draining);
}

/// Guards against a draining server that does not count new flows as such, counts existing ones, or
/// drops requests.
#[tokio::test]
async fn draining() {
    let path = Path::single(|_| {}).await;
    let server = &path.servers[0];
    let flow = connect(&path, 1).await;
    send_request(&flow, request("1", Kind::Order, 0)).await;
    server.drain();
    send_request(&flow, request("2", Kind::Order, 0)).await;
    assert_eq!(server.counts().flows_draining, 0);
    let late = connect(&path, 2).await;
    send_request(&late, request("3", Kind::Order, 0)).await;
    eventually(|| server.counts().flows_draining == 1).await;
    assert!(server.counts().last_flow_draining > server.counts().drain_began);
}

/// Starts an HTTP server in place of an agent. Returns its URL and a channel with the request line
/// and the JSON body of each request.
async fn start_agent() -> (
    String,
    tokio::sync::mpsc::UnboundedReceiver<(String, Value)>,
) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    let (sender, receiver) = tokio::sync::mpsc::unbounded_channel();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut bytes = Vec::new();
            let body = loop {
                stream.read_buf(&mut bytes).await.unwrap();
                let text = String::from_utf8_lossy(&bytes);
                let body = text.split_once("\r\n\r\n").map(|(_, body)| body.to_owned());
                if let Some(body) = body.and_then(|body| serde_json::from_str(&body).ok()) {
                    break body;
                }
            };
            let text = String::from_utf8_lossy(&bytes);
            let start = text.lines().next().unwrap().to_owned();
            let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(answer).await.unwrap();
            let _ = sender.send((start, body));
        }
    });
    (url, receiver)
}

/// Guards against announcements with a wrong state, and a drain that is announced too late.
#[tokio::test]
async fn announcements() {
    let (url, mut posted) = start_agent().await;
    let mut path = Path::single(|_| {}).await;
    path.add("c", |config| {
        config.agent = Some(url.clone());
        config.incarnation = 3;
    })
    .await;
    let server = path.servers.pop().unwrap();
    let (start, body) = posted.recv().await.unwrap();
    assert_eq!(start, "POST /v1/announce HTTP/1.1");
    let mut expected = serde_json::json!({
        "service": "portal",
        "address": server.address(),
        "incarnation": 3,
        "slots": 4,
        "connections": 2000,
        "state": "active",
    });
    assert_eq!(body, expected);
    let began = Instant::now();
    server.drain();
    let (_, body) = posted.recv().await.unwrap();
    expected["state"] = "draining".into();
    assert_eq!(body, expected);
    assert!(began.elapsed() < Duration::from_millis(1500));
    server.stop().await;
    expected["state"] = "down".into();
    assert_eq!(posted.recv().await.unwrap().1, expected);
}

/// Builds a TCP ACK or a UDP packet without payload from a caller to `to`.
fn build_packet(to: SocketAddr, tcp: bool) -> Vec<u8> {
    let (SocketAddr::V4(to), std::net::IpAddr::V4(from)) = (to, ip(1)) else {
        panic!("not IPv4");
    };
    let builder = PacketBuilder::ipv4(from.octets(), to.ip().octets(), 64);
    let mut bytes = Vec::new();
    match tcp {
        true => builder
            .tcp(1000, to.port(), 5, 1000)
            .ack(7)
            .write(&mut bytes, &[]),
        false => builder.udp(1000, to.port()).write(&mut bytes, &[]),
    }
    .unwrap();
    bytes
}

/// Guards against answers to packets for other services, and against a missing reset for a segment
/// of an unknown connection.
#[tokio::test]
async fn raw_packets() {
    let fabric = UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = fabric.local_addr().unwrap();
    let server = Server::start(Config::new("a", "portal", service(), address))
        .await
        .unwrap();
    let other_address = "10.1.0.2:80".parse().unwrap();
    let other_port = "10.1.0.1:81".parse().unwrap();
    for to in [other_address, other_port] {
        for tcp in [true, false] {
            let bytes = build_packet(to, tcp);
            fabric.send_to(&bytes, server.address()).await.unwrap();
        }
    }
    fabric.send_to(b"", server.address()).await.unwrap();
    let unknown = build_packet(service(), true);
    fabric.send_to(&unknown, server.address()).await.unwrap();
    let mut buffer = [0; 2000];
    let received = tokio::time::timeout(TIMEOUT, fabric.recv(&mut buffer));
    let length = received.await.unwrap().unwrap();
    let answer = SlicedPacket::from_ip(&buffer[..length]).unwrap();
    let Some(TransportSlice::Tcp(tcp)) = answer.transport else {
        panic!("the answer is not a TCP segment");
    };
    assert!(tcp.rst());
    assert_eq!((tcp.sequence_number(), tcp.destination_port()), (7, 1000));
    eventually(|| server.counts().resets == 1).await;
    assert_eq!(
        (server.counts().misdelivered, server.counts().malformed),
        (4, 1)
    );
}

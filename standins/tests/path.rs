//! Tests of the whole path of a request: caller, fabric, relay, server and back.

mod common;

use std::time::Duration;

use common::{eventually, request, service, Path, TIMEOUT};
use flamingofall_standins::caller::{Failure, Options, Outcome, Record};
use flamingofall_standins::fabric::Faults;
use flamingofall_standins::protocol::{Kind, Request, Status};
use flamingofall_standins::report::Report;
use flamingofall_standins::server::Server;

fn faults() -> Faults {
    Faults {
        delay: Duration::from_millis(1),
        jitter: Duration::from_millis(1),
        loss: 0.05,
        reorder: 0.1,
        reorder_by: Duration::from_millis(5),
        duplicate: 0.05,
    }
}

/// Guards against truncated or mixed-up answers when packets are lost, duplicated and reordered.
#[tokio::test(flavor = "multi_thread")]
async fn tcp_with_faults() {
    let path = Path::start(1, |_| {}).await;
    path.fabric.set_faults(faults());
    let caller = path.caller(1);
    let mut flows = Vec::new();
    for number in 0..8 {
        let flow = caller.connect(service(), Options::default()).await.unwrap();
        let id = format!("order-{number}");
        let answer = flow
            .request(request(&id, Kind::Order, 40_000), TIMEOUT)
            .await;
        let answer = answer.unwrap();
        assert!(answer.correct);
        assert_eq!((answer.status, answer.bytes), (Status::Done, 40_000));
        flows.push(flow);
    }
    drop(flows);
    let is_closed = |record: &Record| record.outcome == Outcome::Closed;
    eventually(|| caller.records().iter().all(is_closed)).await;
    for record in caller.records() {
        assert_eq!(record.answers, 1);
        assert_eq!((record.corrupt, record.foreign), (0, 0));
    }
    assert_eq!(path.effects.entries().len(), 8);
    assert!(path.effects.duplicates().is_empty());
    assert!(path.fabric.counts().lost > 0 && path.fabric.counts().reordered > 0);
}

/// Guards against requests that run twice because the caller or the network repeats the datagram.
#[tokio::test(flavor = "multi_thread")]
async fn udp_with_faults() {
    let path = Path::start(2, |_| {}).await;
    path.fabric.set_faults(Faults {
        loss: 0.3,
        ..faults()
    });
    let caller = path.caller(1);
    for number in 0..30 {
        let id = format!("confirm-{number}");
        let options = Options {
            repeat: Some(Duration::from_millis(20)),
            ..Options::default()
        };
        let answer = caller
            .exchange(service(), request(&id, Kind::Confirm, 500), options)
            .await
            .unwrap();
        assert!(answer.correct);
        assert_eq!((answer.status, answer.bytes), (Status::Done, 500));
    }
    assert_eq!(path.effects.entries().len(), 30);
    assert!(path.effects.duplicates().is_empty());
    for server in &path.servers {
        assert_eq!(server.counts().misdelivered, 0);
    }
}

/// Guards against a report that misses a broken flow, a refused flow or uneven load.
#[tokio::test(flavor = "multi_thread")]
async fn report() {
    let mut path = Path::start(3, |config| config.connections = 4).await;
    let caller = path.caller(1);
    // The relays select the server by the parity of the port: 4 flows reach "a", one reaches "b".
    let at_port = |port| Options {
        local_port: Some(port),
        ..Options::default()
    };
    let mut flows = Vec::new();
    for port in [5000, 5002, 5004, 5006, 5001] {
        flows.push(caller.connect(service(), at_port(port)).await.unwrap());
    }
    let refused = caller.connect(service(), at_port(5008)).await;
    assert_eq!(refused.unwrap_err(), Failure::Refused);
    for flow in &flows[..4] {
        let order = Request {
            work_ms: 50,
            ..request(&flow.local().to_string(), Kind::Order, 10)
        };
        flow.request(order, TIMEOUT).await.unwrap();
    }
    path.servers.pop();
    path.add("c", |_| {}).await;
    let address = path.servers[1].address();
    *path.targets.lock().unwrap() = vec![address];
    let order = request("lost", Kind::Order, 10);
    let failure = flows[4].request(order, TIMEOUT).await.unwrap_err();
    assert_eq!(failure, Failure::Reset);
    let counts: Vec<_> = path.servers.iter().map(Server::counts).collect();
    let report = Report::new(&caller.records(), &counts, &path.effects, &path.occupancy);
    assert_eq!((report.flows, report.established), (6, 5));
    assert_eq!((report.broken, report.refused), (1, 1));
    assert_eq!((report.requests, report.answers), (5, 4));
    assert_eq!((report.effects, report.duplicate_effects), (4, 0));
    assert_eq!((report.unanswered, report.misdelivered_packets), (1, 0));
    // Only one of two servers had occupied slots.
    assert!((report.imbalance["portal"] - 2.0).abs() < 1e-9);
}

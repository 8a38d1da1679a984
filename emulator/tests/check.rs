//! Tests that each check reports its violation.

use std::path::Path;
use std::time::Duration;

use flamingofall::packet::{Flow, Protocol};
use flamingofall_emulator::check::{Arrival, Checker, Violation};
use flamingofall_emulator::client::Outcome;
use flamingofall_emulator::scenario::Scenario;
use flamingofall_emulator::simulation;

const DRAIN_GRACE: Duration = Duration::from_secs(3);

fn flow() -> Flow {
    Flow {
        protocol: Protocol::Tcp,
        source: "100.64.0.1:1025".parse().unwrap(),
        destination: "198.18.0.1:443".parse().unwrap(),
    }
}

fn checker() -> Checker {
    let mut checker = Checker::new(DRAIN_GRACE);
    checker.allow(flow().destination, "portal");
    checker
}

fn arrival(opening: bool) -> Arrival<'static> {
    Arrival {
        flow: flow(),
        opening,
        server: "s1",
        service: "portal",
        holds_flow: false,
        held_elsewhere: true,
        host_stable: true,
        draining_since: None,
    }
}

fn at_second(second: u64) -> Duration {
    Duration::from_secs(second)
}

#[test]
fn other_service() {
    let mut checker = checker();
    assert_eq!(checker.packet_arrived(&arrival(true), at_second(1)), None);
    let wrong = Arrival {
        service: "statements",
        ..arrival(true)
    };
    let violation = checker.packet_arrived(&wrong, at_second(1));
    assert!(matches!(violation, Some(Violation::WrongService { .. })));
}

#[test]
fn drained_server() {
    let mut checker = checker();
    let draining = Arrival {
        draining_since: Some(at_second(10)),
        ..arrival(true)
    };
    assert_eq!(checker.packet_arrived(&draining, at_second(13)), None);
    let violation = checker.packet_arrived(&draining, at_second(14));
    assert!(matches!(
        violation,
        Some(Violation::NewFlowAfterDrain { .. })
    ));
}

#[test]
fn flow_astray() {
    let mut checker = checker();
    for at in [1, 2, 3] {
        assert_eq!(checker.packet_arrived(&arrival(false), at_second(at)), None);
    }
    let violation = checker.packet_arrived(&arrival(false), at_second(4));
    assert_eq!(violation, Some(Violation::Misrouted(flow())));
    // A packet that reaches the flow's own server resets the count.
    let own = Arrival {
        holds_flow: true,
        ..arrival(false)
    };
    for at in [5, 6, 7, 8, 9] {
        assert_eq!(checker.packet_arrived(&arrival(false), at_second(at)), None);
        assert_eq!(checker.packet_arrived(&own, at_second(at)), None);
    }
}

// Guards against violations by a packet that waited at a suspended agent during the lookup of its
// flow, and against a check that such a packet clears.
#[test]
fn waited_at_suspended_agent() {
    let mut checker = checker();
    let late = Arrival {
        host_stable: false,
        ..arrival(false)
    };
    for at in [1, 2] {
        assert_eq!(checker.packet_arrived(&arrival(false), at_second(at)), None);
    }
    for at in [4, 5, 6] {
        assert_eq!(checker.packet_arrived(&late, at_second(at)), None);
    }
    let violation = checker.packet_arrived(&arrival(false), at_second(6));
    assert_eq!(violation, Some(Violation::Misrouted(flow())));
    // A host with recent faults that holds the flow still clears the count.
    let own = Arrival {
        holds_flow: true,
        ..late
    };
    for at in [7, 8, 9, 10] {
        assert_eq!(checker.packet_arrived(&arrival(false), at_second(at)), None);
        assert_eq!(checker.packet_arrived(&own, at_second(at)), None);
    }
}

// Guards against the same in a run: with this seed a lookup asks two servers, waits 3.3 s at a
// suspended agent, and finds the flow's server with its fourth step.
#[test]
fn lookup_past_suspended_agent() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../examples/emulator");
    let scenario = Scenario::read(&folder.join("power-off.json")).unwrap();
    let report = simulation::simulate(scenario.with_random_events(201_061), 201_061);
    assert!(report.violations.is_empty(), "{:?}", report.violations);
}

#[test]
fn request_twice() {
    let mut checker = checker();
    assert_eq!(checker.request_started(1, false, "s1".into()), None);
    let twice = Violation::ExecutedTwice {
        id: 1,
        first: "s1".into(),
        second: "s2".into(),
    };
    assert_eq!(checker.request_started(1, false, "s2".into()), Some(twice));
    assert_eq!(checker.request_started(2, true, "s1".into()), None);
    assert_eq!(checker.request_started(2, true, "s2".into()), None);
}

#[test]
fn refused_and_run() {
    let mut checker = checker();
    assert_eq!(checker.request_ended(1, Outcome::Refused), None);
    assert_eq!(
        checker.request_started(1, false, "s1".into()),
        Some(Violation::ExecutedButRefused(1))
    );
    assert_eq!(checker.request_started(2, false, "s1".into()), None);
    let violation = checker.request_ended(2, Outcome::Refused);
    assert_eq!(violation, Some(Violation::ExecutedButRefused(2)));
    assert_eq!(checker.request_started(3, false, "s1".into()), None);
    assert_eq!(checker.request_ended(3, Outcome::Failed), None);
}

// Guards against a server model that processes a request again for each retransmission that arrives
// while the request is in progress.
#[test]
fn copies_while_running() {
    use flamingofall_emulator::packet::{Action, Packet};
    use flamingofall_emulator::server::{Effect, Server};

    let limits = (1, 4, Duration::from_millis(30));
    let mut server = Server::new("s1".into(), "portal".into(), 1, limits);
    let packet = |action, acknowledgement, request| Packet {
        client: flow().source,
        address: flow().destination,
        action,
        sequence: 1,
        acknowledgement,
        request,
    };
    let accepted = server.receive(packet(Action::Open, 0, None));
    let Some(Effect::Send(accept)) = accepted.first() else {
        panic!("{accepted:?}");
    };
    let request = packet(Action::Data, accept.sequence + 1, Some(7));
    let processes = |effects: &[Effect]| effects.iter().any(|e| matches!(e, Effect::Process(..)));
    assert!(processes(&server.receive(request.clone())));
    assert!(!processes(&server.receive(request.clone())));
    let answers = server.complete_request(&request);
    assert!(
        matches!(answers.as_slice(), [Effect::Send(_)]),
        "{answers:?}"
    );
    assert_eq!(server.receive(request), answers);
}

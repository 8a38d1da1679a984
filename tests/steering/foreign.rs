//! Tests of heartbeats of other writers, which name another server than the agent's.

use std::time::{Duration, Instant};

use flamingofall::steering::agent::HeartbeatOutcome;
use flamingofall::steering::roster::State;
use flamingofall::steering::segment::Kind;
use yare::parameterized;

use super::fixture::*;

// Guards against open flows that are reset, and new ones that are refused, because a heartbeat of
// another service, or from another address, is taken for that of a successor.
#[parameterized(
    service = { "ghost", SERVER },
    address = { "portal", "10.1.0.9:8165" },
    port = { "portal", "10.1.0.1:8166" },
)]
fn foreign_heartbeat(service: &str, address: &str) {
    let now = Instant::now();
    let mut agent = ready_agent(now);
    let opening = segment(flow(1), Kind::Open, 0);
    forward_to_agent(
        &mut agent,
        opening,
        forward("portal", Vec::new(), false),
        now,
    );
    let mut out = Vec::new();
    agent.server_packet(segment(flow(1), Kind::Accept, 0), vec![1], now, &mut out);
    let data = segment(flow(1), Kind::Data, 8);
    forward_to_agent(&mut agent, data, forward("", Vec::new(), false), now);

    let later = now + Duration::from_millis(770);
    let mut foreign = heartbeat("other", 9, 1, State::Ready);
    foreign.service = service.into();
    foreign.address = addr(address);
    out.clear();
    let outcome = agent.heartbeat(foreign, later, &mut out);
    assert_eq!(outcome, HeartbeatOutcome::Foreign);
    assert_eq!(agent_resets(&out), 0);
    assert_eq!(agent.member().server, "a");

    // The server's own heartbeats and flows go on.
    let own = heartbeat("a", 1, 2, State::Ready);
    let outcome = agent.heartbeat(own, later, &mut out);
    assert_eq!(outcome, HeartbeatOutcome::Accepted);
    let opening = segment(flow(2), Kind::Open, 0);
    let forwarded = forward("portal", Vec::new(), false);
    let out = forward_to_agent(&mut agent, opening, forwarded, later);
    assert!(delivered(&out).is_some());
}

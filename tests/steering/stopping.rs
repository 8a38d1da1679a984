//! Tests of an agent that is about to stop.

use std::time::{Duration, Instant};

use flamingofall::steering::agent::HeartbeatOutcome;
use flamingofall::steering::roster::State;
use flamingofall::steering::segment::Kind;

use super::fixture::*;

// Guards against new flows, and lookups that count on an answer, for an agent that has said that it
// stops: the server's next heartbeat made it ready again.
#[test]
fn stop_not_undone() {
    let now = Instant::now();
    let mut agent = ready_agent(now);
    agent.stop(now, &mut Vec::new());
    let later = now + Duration::from_millis(200);
    let next = heartbeat("a", 1, 2, State::Ready);
    let outcome = agent.heartbeat(next, later, &mut Vec::new());
    assert_eq!(outcome, HeartbeatOutcome::Accepted);
    assert_eq!(agent.member().state, State::Waiting);
    let opening = segment(flow(1), Kind::Open, 0);
    let forwarded = forward("portal", Vec::new(), false);
    let out = forward_to_agent(&mut agent, opening, forwarded, later);
    assert_eq!(delivered(&out), None);
    // A drain is in force at once.
    let draining = heartbeat("a", 1, 3, State::Draining);
    agent.heartbeat(draining, later, &mut Vec::new());
    assert_eq!(agent.member().state, State::Draining);
}

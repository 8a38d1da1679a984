//! Tests of servers that start again at once beside an agent that keeps running.

use std::time::{Duration, Instant};

use flamingofall::steering::agent;
use flamingofall::steering::balancer;
use flamingofall::steering::roster::State;
use flamingofall::steering::segment::Kind;

use super::fixture::*;

/// Delivers to the balancer what the agent sends, in order.
fn deliver(
    out: Vec<agent::Output>,
    balancer: &mut balancer::Balancer,
    now: Instant,
) -> Vec<balancer::Output> {
    let mut answers = Vec::new();
    for output in out {
        if let agent::Output::Send(to, message) = output {
            if to == addr(BALANCER) {
                balancer.message(agent_addr(1), message, |_| None, now, &mut answers);
            }
        }
    }
    answers
}

// Guards against resets of a flow that the new process accepted before its first heartbeat: the
// agent reports the acceptance with the previous process, and the server may not have answered yet
// when the heartbeat arrives.
#[test]
fn unheard_acceptance_kept() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut agent = ready_agent(start);
    agent.add_balancer(addr(BALANCER), start);
    let mut balancer = balancer(0, start);
    let mut out = Vec::new();
    agent.tick(start, &mut out);
    deliver(out, &mut balancer, start);

    let opening = segment(flow(1), Kind::Open, 0);
    let mut out = Vec::new();
    balancer.packet(opening, vec![1], at(500), &mut out);
    let placed = forwards(&out).remove(0).1;
    forward_to_agent(&mut agent, opening, placed, at(500));
    let accept = segment(flow(1), Kind::Accept, 1);
    let mut out = Vec::new();
    agent.server_packet(accept, vec![1], at(500), &mut out);
    deliver(out, &mut balancer, at(500));
    let data = segment(flow(1), Kind::Data, accept.sequence + 1);
    let mut out = Vec::new();
    balancer.packet(data, vec![1], at(501), &mut out);
    let request = forwards(&out).remove(0).1;
    forward_to_agent(&mut agent, data, request, at(501));

    let mut out = Vec::new();
    agent.heartbeat(heartbeat("a", 2, 1, State::Ready), at(502), &mut out);
    assert_eq!(agent_resets(&out), 0);
    assert_eq!(resets(&deliver(out, &mut balancer, at(502))), 0);
}

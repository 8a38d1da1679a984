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

// Guards against lookups that take the notice of a server's end for the end of a flow that the next
// process has accepted before its first heartbeat.
#[test]
fn notice_before_heartbeat() {
    let start = Instant::now();
    let now = start + Duration::from_secs(1);
    let mut balancer = balancer(1, start);
    let mut agent = ready_agent(now);
    let later = now + Duration::from_millis(500);
    let syn = segment(flow(1), Kind::Open, 0);
    forward_to_agent(&mut agent, syn, forward("portal", Vec::new(), false), later);
    let mut sent = Vec::new();
    agent.server_packet(segment(flow(1), Kind::Accept, 1), vec![1], later, &mut sent);
    agent.server_packet(segment(flow(1), Kind::Data, 1), vec![1], later, &mut sent);
    agent.server_left("a", Some(1), later, &mut sent);
    let data = segment(flow(1), Kind::Data, 8);
    let mut total = 0;
    let mut to_agent = Vec::new();
    let mut out = Vec::new();
    for output in sent {
        if let agent::Output::Send(_, message) = output {
            balancer.message(agent_addr(1), message, decode_as(data), later, &mut out);
        }
    }
    balancer.packet(data, vec![0], later, &mut out);
    for _ in 0..4 {
        total += resets(&out);
        to_agent.extend(forwards(&out));
        out.clear();
        for (_, forward) in std::mem::take(&mut to_agent) {
            for output in forward_to_agent(&mut agent, data, forward, later) {
                if let agent::Output::Send(_, message) = output {
                    balancer.message(agent_addr(1), message, decode_as(data), later, &mut out);
                }
            }
        }
    }
    assert_eq!(total + resets(&out), 0);
}

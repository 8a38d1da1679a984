//! Tests of the balancer's resets of open flows.

use std::time::{Duration, Instant};

use flamingofall::id::Sequence;
use flamingofall::steering::agent;
use flamingofall::steering::balancer::{self, Balancer};
use flamingofall::steering::message::{Announce, Digest, Message};
use flamingofall::steering::roster::{State, LOST_AFTER};
use flamingofall::steering::segment::Kind;

use super::fixture::*;

/// Lets the agent announce itself, and delivers what it and the balancer send to each other.
fn exchange(agent: &mut agent::Agent, balancer: &mut Balancer, now: Instant) {
    let (mut from_agent, mut from_balancer) = (Vec::new(), Vec::new());
    agent.tick(now, &mut from_agent);
    for output in from_agent {
        if let agent::Output::Send(_, message) = output {
            let from = agent.member().agent;
            balancer.message(from, message, |_| None, now, &mut from_balancer);
        }
    }
    balancer.tick(now, &mut from_balancer);
    for output in from_balancer {
        match output {
            balancer::Output::Send(to, message) if to == agent.member().agent => {
                agent.message(addr(BALANCER), message, |_| None, now, &mut Vec::new());
            }
            _ => {}
        }
    }
}

/// Announces a member to the balancer.
fn announce(balancer: &mut Balancer, index: u8, state: State, now: Instant) {
    let mut member = member(index, "portal", state);
    member.sequence = Sequence(2);
    let announce = Message::Announce(Announce {
        member,
        busy: 0,
        flows: 0,
        stats: None,
        balancers: 1,
    });
    balancer.message(agent_addr(index), announce, |_| None, now, &mut Vec::new());
}

// Guards against agents that forget a balancer although it runs: once nothing has changed for a
// minute, their silence would pass for their loss.
#[test]
fn balancers_kept() {
    let start = Instant::now();
    let mut balancer = balancer(1, start);
    let mut agent = ready_agent(start);
    agent.add_balancer(addr(BALANCER), start);
    for elapsed in (0..180_000).step_by(50).map(Duration::from_millis) {
        exchange(&mut agent, &mut balancer, start + elapsed);
        assert_eq!(agent.balancers(), 1, "after {elapsed:?}");
    }
}

// Guards against agents that stay silent because they don't know the balancer, such as those of an
// earlier version that forget it.
#[test]
fn silent_agent_reminded() {
    let start = Instant::now();
    let mut balancer = balancer(1, start);
    let mut agent = ready_agent(start);
    for elapsed in (0..5000).step_by(50).map(Duration::from_millis) {
        exchange(&mut agent, &mut balancer, start + elapsed);
    }
    assert_eq!(agent.balancers(), 1);
}

// Guards against lookups that leave out an agent that this balancer doesn't hear: its server may
// hold the flow, which would be reset once the other agents have returned the packet.
#[test]
fn unheard_agent_asked() {
    let now = Instant::now();
    let mut balancer = balancer(6, now);
    let later = now + LOST_AFTER + Duration::from_secs(1);
    for index in 1..=5 {
        announce(&mut balancer, index, State::Ready, later);
    }
    let mut out = Vec::new();
    balancer.packet(segment(flow(1), Kind::Data, 5), vec![0], later, &mut out);
    let (first, forward) = forwards(&out).remove(0);
    assert_ne!(first, agent_addr(6));
    assert_eq!(forward.candidates.last(), Some(&agent_addr(6)));
}

// Guards against resets by a balancer that hasn't heard of a new server yet, which another balancer
// has already given flows.
#[test]
fn named_agent_asked() {
    let start = Instant::now();
    let mut balancer = balancer(2, start);
    let now = start + Duration::from_secs(1);
    let digest = Message::Digest(Digest {
        generation: balancer.generation(),
        balancers: vec![addr("10.0.0.2:7720")],
        agents: (1..=3).map(agent_addr).collect(),
        source: addr("10.0.0.2:7720"),
    });
    let mut out = Vec::new();
    balancer.message(addr("10.0.0.2:7720"), digest, |_| None, now, &mut out);
    out.clear();
    balancer.packet(segment(flow(1), Kind::Data, 5), vec![0], now, &mut out);
    let forward = forwards(&out).remove(0).1;
    assert_eq!(forward.candidates.last(), Some(&agent_addr(3)));
}

// Guards against the refusal of a flow that is open already: another balancer may have placed an
// earlier copy of the opening packet.
#[test]
fn later_copy_not_refused() {
    let now = Instant::now();
    let mut balancer = balancer(1, now);
    let mut out = Vec::new();
    let copy = segment(flow(1), Kind::Open, 1);
    balancer.packet(copy, vec![1], now, &mut out);
    let placed = forwards(&out).remove(0).1;
    out.clear();
    let message = Message::Exhausted(placed);
    balancer.message(agent_addr(1), message, decode_as(copy), now, &mut out);
    assert_eq!(resets(&out), 0);
}

// Guards against the refusal of a flow that is open already: the opening packet may have waited
// while the balancer was suspended, and its copies may have gone to other balancers.
#[test]
fn backlog_not_refused() {
    let start = Instant::now();
    let mut balancer = balancer(1, start);
    let now = start + Duration::from_secs(1);
    let mut out = Vec::new();
    let opening = segment(flow(1), Kind::Open, 0);
    balancer.packet(opening, vec![1], now, &mut out);
    let placed = forwards(&out).remove(0).1;
    out.clear();
    let message = Message::Exhausted(placed);
    balancer.message(agent_addr(1), message, decode_as(opening), now, &mut out);
    assert_eq!(resets(&out), 0);
}

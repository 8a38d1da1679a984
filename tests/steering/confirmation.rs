//! Tests of which heartbeats show that a server's process holds a flow.

use std::time::{Duration, Instant};

use flamingofall::id::Incarnation;
use flamingofall::steering::agent::{self, Agent};
use flamingofall::steering::balancer::Balancer;
use flamingofall::steering::roster::State;
use flamingofall::steering::segment::Kind;

use super::fixture::*;

/// An agent whose server `a` has sent one heartbeat, and a balancer that knows it.
fn pair(start: Instant) -> (Agent, Balancer) {
    let mut agent = ready_agent(start);
    agent.add_balancer(addr(BALANCER), start);
    let mut balancer = balancer(0, start);
    let mut out = Vec::new();
    agent.tick(start, &mut out);
    deliver(out, &mut balancer, start);
    (agent, balancer)
}

/// Delivers to the balancer what the agent sends. Returns the number of resets of both.
fn deliver(sent: Vec<agent::Output>, balancer: &mut Balancer, now: Instant) -> usize {
    let mut out = Vec::new();
    let by_agent = agent_resets(&sent);
    for output in sent {
        if let agent::Output::Send(_, message) = output {
            balancer.message(agent_addr(1), message, |_| None, now, &mut out);
        }
    }
    by_agent + resets(&out)
}

/// Opens flow 1 through the balancer at the server, which answers a request.
fn open(agent: &mut Agent, balancer: &mut Balancer, now: Instant) {
    let mut out = Vec::new();
    let opening = segment(flow(1), Kind::Open, 0);
    balancer.packet(opening, vec![1], now, &mut out);
    let placed = forwards(&out).remove(0).1;
    forward_to_agent(agent, opening, placed, now);
    let mut sent = Vec::new();
    agent.server_packet(segment(flow(1), Kind::Accept, 1), vec![1], now, &mut sent);
    deliver(sent, balancer, now);
    answer(agent, balancer, now);
}

/// Sends a request on flow 1, which the server answers.
fn answer(agent: &mut Agent, balancer: &mut Balancer, now: Instant) {
    let request = segment(flow(1), Kind::Data, 8);
    let mut out = Vec::new();
    balancer.packet(request, vec![1], now, &mut out);
    let forward = forwards(&out).remove(0).1;
    forward_to_agent(agent, request, forward, now);
    let mut sent = Vec::new();
    agent.server_packet(segment(flow(1), Kind::Data, 1), vec![1], now, &mut sent);
    deliver(sent, balancer, now);
}

fn beat(
    agent: &mut Agent,
    balancer: &mut Balancer,
    (started, sequence): (u64, u64),
    now: Instant,
) -> usize {
    let mut sent = Vec::new();
    let heartbeat = heartbeat("a", started, sequence, State::Ready);
    agent.heartbeat(heartbeat, now, &mut sent);
    deliver(sent, balancer, now)
}

/// The agent after a restart.
fn new_run(agent: &Agent, now: Instant) -> Agent {
    let mut agent = Agent::new(
        agent.member().agent,
        portal_server(),
        Incarnation(2),
        Duration::from_millis(770),
        now,
    );
    agent.add_balancer(addr(BALANCER), now);
    agent
}

// Guards against resets of a flow whose opening packet the earlier process didn't answer, and whose
// copy the next one accepted before its first heartbeat.
#[test]
fn copy_accepted_by_successor() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let (mut agent, mut balancer) = pair(start);
    let opening = segment(flow(1), Kind::Open, 0);
    forward_to_agent(
        &mut agent,
        opening,
        forward("portal", Vec::new(), false),
        at(500),
    );
    assert_eq!(beat(&mut agent, &mut balancer, (1, 2), at(510)), 0);
    open(&mut agent, &mut balancer, at(700));
    assert_eq!(beat(&mut agent, &mut balancer, (2, 1), at(900)), 0);
}

// Guards against resets by a restarted agent of a flow that a new process accepted before its first
// heartbeat: the last snapshot names the earlier process.
#[test]
fn snapshot_before_heartbeat() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let (mut agent, mut balancer) = pair(start);
    let mut sent = Vec::new();
    for millis in (0..10_050).step_by(50) {
        agent.tick(at(millis), &mut sent);
        if millis % 500 == 0 && millis <= 9000 {
            beat(&mut agent, &mut balancer, (1, 2 + millis / 500), at(millis));
        }
        if millis == 9500 {
            open(&mut agent, &mut balancer, at(millis));
        }
    }
    let mut agent = new_run(&agent, at(10_100));
    for output in sent {
        if let agent::Output::Save(snapshot) = output {
            agent.restore(snapshot, at(10_150), &mut Vec::new());
        }
    }
    assert_eq!(beat(&mut agent, &mut balancer, (2, 1), at(10_250)), 0);
}

// Guards against resets of a flow that a new process accepted before its first heartbeat, when the
// agent was suspended in between.
#[test]
fn suspension_before_heartbeat() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let (mut agent, mut balancer) = pair(start);
    open(&mut agent, &mut balancer, at(400));
    for millis in [400, 1400] {
        agent.tick(at(millis), &mut Vec::new());
    }
    assert_eq!(beat(&mut agent, &mut balancer, (2, 1), at(1410)), 0);
}

// Guards against resets of a flow that a new process accepted before its first heartbeat, when the
// last heartbeat of the earlier one arrives after that.
#[test]
fn late_last_heartbeat() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let (mut agent, mut balancer) = pair(start);
    open(&mut agent, &mut balancer, at(500));
    assert_eq!(beat(&mut agent, &mut balancer, (1, 2), at(510)), 0);
    assert_eq!(beat(&mut agent, &mut balancer, (2, 1), at(900)), 0);
}

// Guards against resets of a living server's flows, when the first heartbeat that its restarted
// agent gets is a delayed one of an earlier process.
#[test]
fn restart_before_late_heartbeat() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let (mut agent, mut balancer) = pair(start);
    open(&mut agent, &mut balancer, at(500));
    let mut agent = new_run(&agent, at(1000));
    answer(&mut agent, &mut balancer, at(1100));
    let earlier = heartbeat("b", 0, 9, State::Ready);
    let mut sent = Vec::new();
    agent.heartbeat(earlier, at(1200), &mut sent);
    assert_eq!(deliver(sent, &mut balancer, at(1200)), 0);
    assert_eq!(beat(&mut agent, &mut balancer, (1, 2), at(1300)), 0);
}

// Guards against clients that go on using a flow that ended with its server's process.
#[test]
fn confirmed_flow_reset() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let (mut agent, mut balancer) = pair(start);
    open(&mut agent, &mut balancer, at(500));
    assert_eq!(beat(&mut agent, &mut balancer, (1, 2), at(770)), 0);
    assert_eq!(beat(&mut agent, &mut balancer, (1, 3), at(1540)), 0);
    // The agent and the balancer reset it.
    assert_eq!(beat(&mut agent, &mut balancer, (2, 1), at(1900)), 2);
}

//! Tests of flows whose clients use a port again, while entries of the earlier flow are left.

use std::time::{Duration, Instant};

use flamingofall::id::Sequence;
use flamingofall::steering::agent;
use flamingofall::steering::message::{Message, Owner};
use flamingofall::steering::roster::State;
use flamingofall::steering::segment::Kind;

use super::fixture::*;

// Guards against a new flow whose packets go to the server of the earlier flow on the same port.
#[test]
fn new_owner_taken() {
    let start = Instant::now();
    let mut balancer = balancer(3, start);
    let mut out = Vec::new();
    let accepted = |index, sequence| {
        Message::Owner(Owner {
            client: flow(1).source,
            address: flow(1).destination,
            agent: agent_addr(index),
            process: None,
            accepted: Some(sequence),
        })
    };
    let mut last = None;
    for (round, index) in [(0, 1), (1, 2)] {
        let now = start + Duration::from_secs(10 * round);
        let sequence = 1000 * (index + 1);
        let mut open = segment(flow(1), Kind::Open, 0);
        open.sequence = 5000 * index;
        balancer.packet(open, vec![1], now, &mut out);
        let agent = agent_addr(index as u8);
        let message = accepted(index as u8, sequence);
        balancer.message(agent, message, |_| None, now, &mut out);
        out.clear();
        let data = segment(flow(1), Kind::Data, sequence + 1);
        balancer.packet(data, vec![1], now, &mut out);
        last = Some(forwards(&out).remove(0).0);
        let finish = segment(flow(1), Kind::Finish, sequence + 1);
        balancer.packet(finish, vec![1], now, &mut out);
    }
    assert_eq!(last, Some(agent_addr(2)));
}

// Guards against a balancer that resets a flow which has finished here when its server ends: the
// client may have opened the next one from the port through another balancer.
#[test]
fn finished_flow_not_reset() {
    let now = Instant::now();
    let server = member(1, "portal", State::Ready);
    for (kind, expected) in [(Kind::Data, 1), (Kind::Finish, 0), (Kind::Reset, 0)] {
        let mut balancer = balancer(1, now);
        let mut out = Vec::new();
        let owner = Message::Owner(Owner {
            client: flow(1).source,
            address: flow(1).destination,
            agent: agent_addr(1),
            process: Some(server.process()),
            accepted: None,
        });
        balancer.message(agent_addr(1), owner, |_| None, now, &mut out);
        balancer.packet(segment(flow(1), kind, 5), vec![1], now, &mut out);
        let mut gone = server.clone();
        gone.sequence = Sequence(2);
        gone.state = State::Gone;
        balancer.merge_directory(vec![gone], Vec::new(), now, &mut out);
        assert_eq!(resets(&out), expected, "{kind}");
    }
}

// Guards against an agent that resets a flow of another server because its own server has closed
// an earlier flow on the same port.
#[test]
fn finished_flow_passed_on() {
    let now = Instant::now();
    let mut agent = ready_agent(now);
    let open = segment(flow(1), Kind::Open, 0);
    forward_to_agent(&mut agent, open, forward("portal", Vec::new(), false), now);
    for kind in [Kind::Accept, Kind::Data, Kind::Finish] {
        let sent = segment(flow(1), kind, 5);
        agent.server_packet(sent, vec![1], now, &mut Vec::new());
    }
    let finish = segment(flow(1), Kind::Finish, 5);
    forward_to_agent(&mut agent, finish, forward("", Vec::new(), false), now);

    let later = now + Duration::from_secs(10);
    let data = segment(flow(1), Kind::Data, 9000);
    let next = vec![agent_addr(2)];
    let out = forward_to_agent(&mut agent, data, forward("", next, true), later);
    let token = delivered(&out).unwrap();
    let mut out = Vec::new();
    agent.packet_returned(data, token, vec![1], &mut out);
    assert_eq!(agent_resets(&out), 0);
    let sent_on = |output: &agent::Output| matches!(output, agent::Output::Send(to, Message::Forward(_)) if *to == agent_addr(2));
    assert!(out.iter().any(sent_on));
}

// Guards against a flow's entry that grows with each opening packet of one client port.
#[test]
fn acceptances_bounded() {
    let now = Instant::now();
    let mut balancer = balancer(1, now);
    let mut out = Vec::new();
    for sequence in 0..1000 {
        balancer.packet(segment(flow(1), Kind::Open, 0), vec![0], now, &mut out);
        let owner = Message::Owner(Owner {
            client: flow(1).source,
            address: flow(1).destination,
            agent: agent_addr(1),
            process: None,
            accepted: Some(sequence * 2 + 1),
        });
        balancer.message(agent_addr(1), owner, |_| None, now, &mut out);
    }
    let kept = format!("{balancer:?}").matches("Acceptance {").count();
    assert!(kept <= 16, "{kept} acceptances are kept");
}

//! Tests of flows whose clients use a port again, while entries of the earlier flow are left.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use flamingofall::id::{Incarnation, Sequence};
use flamingofall::steering::agent::{self, Agent};
use flamingofall::steering::balancer::{self, Balancer};
use flamingofall::steering::message::{Message, Owner};
use flamingofall::steering::roster::State;
use flamingofall::steering::segment::{Kind, Segment};

use super::fixture::*;

/// A balancer and two agents, of which the first one's server had an earlier flow on the port.
struct Cluster {
    balancer: Balancer,
    agents: Vec<Agent>,
    /// Agent whose server holds the flow; the others return its packets.
    holder: Option<SocketAddr>,
    /// Messages on their way.
    messages: VecDeque<(SocketAddr, Message)>,
    /// Agent whose server has taken a packet.
    taken_by: Option<SocketAddr>,
    resets: usize,
}

impl Cluster {
    fn new(holder: Option<SocketAddr>, now: Instant) -> Self {
        let mut second = Agent::new(
            agent_addr(2),
            portal_server(),
            Incarnation(1),
            Duration::from_millis(770),
            now,
        );
        let ready = heartbeat("b", 1, 1, State::Ready);
        second.heartbeat(ready, now, &mut Vec::new());
        Self {
            balancer: balancer(2, now),
            agents: vec![agent_with_open_flow(now), second],
            holder,
            messages: VecDeque::new(),
            taken_by: None,
            resets: 0,
        }
    }

    /// Sends a client's packet through the balancer and the agents.
    fn send(&mut self, packet: Segment, now: Instant) {
        let mut out = Vec::new();
        self.balancer.packet(packet, vec![1], now, &mut out);
        self.apply_balancer(out);
        while let Some((to, message)) = self.messages.pop_front() {
            if to == addr(BALANCER) {
                let mut out = Vec::new();
                let decode = decode_as(packet);
                self.balancer
                    .message(agent_addr(1), message, decode, now, &mut out);
                self.apply_balancer(out);
            } else {
                self.deliver(to, message, packet, now);
            }
        }
    }

    fn deliver(&mut self, to: SocketAddr, message: Message, packet: Segment, now: Instant) {
        let mut agents = self.agents.iter_mut();
        let agent = agents.find(|agent| agent.member().agent == to).unwrap();
        let mut out = Vec::new();
        let decode = decode_as(packet);
        agent.message(addr(BALANCER), message, decode, now, &mut out);
        if let Some(token) = delivered(&out) {
            if self.holder == Some(to) {
                self.taken_by = Some(to);
            } else {
                agent.packet_returned(packet, token, vec![1], &mut out);
            }
        }
        self.resets += agent_resets(&out);
        for output in out {
            if let agent::Output::Send(to, message) = output {
                self.messages.push_back((to, message));
            }
        }
    }

    fn apply_balancer(&mut self, out: Vec<balancer::Output>) {
        self.resets += resets(&out);
        for output in out {
            if let balancer::Output::Send(to, message) = output {
                self.messages.push_back((to, message));
            }
        }
    }
}

/// An agent at whose server a flow has been open.
fn agent_with_open_flow(now: Instant) -> Agent {
    let mut agent = ready_agent(now);
    let open = segment(flow(1), Kind::Open, 0);
    forward_to_agent(&mut agent, open, forward("portal", Vec::new(), false), now);
    for kind in [Kind::Accept, Kind::Data] {
        let sent = segment(flow(1), kind, 5);
        agent.server_packet(sent, vec![1], now, &mut Vec::new());
    }
    agent
}

/// The first agent's report that its server holds the flow.
fn first_owner() -> Message {
    Message::Owner(Owner {
        client: flow(1).source,
        address: flow(1).destination,
        agent: agent_addr(1),
        process: Some(member(1, "portal", State::Ready).process()),
        accepted: None,
    })
}

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

// Guards against an agent that resets a flow of another server because an earlier flow on the same
// port, which ended without a packet, was open at its own.
#[test]
fn vanished_flow_searched() {
    let start = Instant::now();
    let mut cluster = Cluster::new(Some(agent_addr(2)), start);
    let owner = first_owner();
    cluster
        .balancer
        .message(agent_addr(1), owner, |_| None, start, &mut Vec::new());
    let data = segment(flow(1), Kind::Data, 9000);
    cluster.send(data, start + Duration::from_secs(3));
    assert_eq!(cluster.taken_by, Some(agent_addr(2)));
    assert_eq!(cluster.resets, 0);
}

// Guards against a client that waits for its deadline because its flow is lost: once no agent's
// server holds it, it is reset, and only once.
#[test]
fn lost_flow_reset() {
    let start = Instant::now();
    let mut cluster = Cluster::new(None, start);
    let owner = first_owner();
    cluster
        .balancer
        .message(agent_addr(1), owner, |_| None, start, &mut Vec::new());
    let data = segment(flow(1), Kind::Data, 9000);
    cluster.send(data, start + Duration::from_secs(3));
    assert_eq!(cluster.taken_by, None);
    assert_eq!(cluster.resets, 1);
}

// Guards against a balancer that takes an agent for the owner because of its entry of an earlier
// flow on the port, and resets the flow of another server when that agent's server ends.
#[test]
fn vanished_flow_not_reported() {
    let start = Instant::now();
    let mut balancer = balancer(1, start);
    let mut agent = agent_with_open_flow(start);
    let renewed = heartbeat("a", 1, 2, State::Ready);
    let now = start + Duration::from_secs(3);
    agent.heartbeat(renewed, now, &mut Vec::new());
    let data = segment(flow(1), Kind::Data, 9000);
    let asked = forward("", vec![agent_addr(2)], true);
    let mut out = forward_to_agent(&mut agent, data, asked, now);
    let token = delivered(&out).unwrap();
    agent.packet_returned(data, token, vec![1], &mut out);
    agent.server_left("a", Some(1), now, &mut out);
    assert_eq!(agent_resets(&out), 0);

    let mut member = agent.member().clone();
    for output in out {
        if let agent::Output::Send(to, message) = output {
            if to == addr(BALANCER) {
                balancer.message(agent_addr(1), message, |_| None, now, &mut Vec::new());
            }
        }
    }
    let mut out = Vec::new();
    member.sequence = Sequence(member.sequence.0 + 1);
    balancer.merge_directory(vec![member], Vec::new(), now, &mut out);
    assert_eq!(resets(&out), 0);
}

// Guards against lookups that go on although the server has answered, and against an agent that
// reports a flow before its server has.
#[test]
fn taken_packet_reported() {
    let now = Instant::now();
    let mut agent = agent_with_open_flow(now);
    let data = segment(flow(1), Kind::Data, 9000);
    let reports = |out: &[agent::Output]| {
        let owner = |output: &&agent::Output| matches!(output, agent::Output::Send(_, Message::Owner(owner)) if owner.accepted.is_none());
        out.iter().filter(owner).count()
    };
    for (kind, expected) in [(Kind::Data, 1), (Kind::Finish, 1), (Kind::Reset, 0)] {
        let asked = forward("", Vec::new(), true);
        let out = forward_to_agent(&mut agent, data, asked, now);
        assert_eq!(reports(&out), 0, "{kind}");
        for times in [expected, 0] {
            let mut out = Vec::new();
            agent.server_packet(segment(flow(1), kind, 5), vec![1], now, &mut out);
            assert_eq!(reports(&out), times, "{kind}");
        }
    }
}

// Guards against an agent that resets a flow of another server when its own server ends: the finish
// of an earlier flow on the port was lost, so the entry is still open.
#[test]
fn unused_flow_not_reset() {
    let start = Instant::now();
    for (idle_s, expected) in [(1, 1), (3, 1), (5, 0)] {
        let mut agent = agent_with_open_flow(start);
        let now = start + Duration::from_secs(idle_s);
        agent.heartbeat(heartbeat("a", 1, 2, State::Ready), now, &mut Vec::new());
        // A retransmission of the server shows nothing about the client.
        let sent = segment(flow(1), Kind::Data, 5);
        agent.server_packet(sent, vec![1], now, &mut Vec::new());
        let mut out = Vec::new();
        agent.server_left("a", Some(1), now, &mut out);
        assert_eq!(agent_resets(&out), expected, "idle for {idle_s} s");
    }
}

//! Tests of how processes learn that the store has come back from a copy.

use std::time::Instant;

use flamingofall::id::{Era, Incarnation};
use flamingofall::steering::agent::{self, Agent};
use flamingofall::steering::balancer::{Balancer, Output};
use flamingofall::steering::message::{Announce, Message};
use flamingofall::steering::roster::State;
use flamingofall::steering::segment::Kind;

use super::fixture::*;

fn announce(balancer: &mut Balancer, index: u8, now: Instant) -> Vec<Output> {
    let announce = Announce {
        member: member(index, "portal", State::Ready),
        busy: 0,
        flows: 0,
        stats: None,
        balancers: 1,
    };
    let mut out = Vec::new();
    let message = Message::Announce(announce);
    balancer.message(agent_addr(index), message, |_| None, now, &mut out);
    out
}

fn notice(index: u8, era: u64) -> Output {
    Output::Send(agent_addr(index), Message::StoreEra(Era(era)))
}

// Guards against agents that never learn that the store has lost their records, as they don't call
// it, or that learn it from a single datagram; and against notices without end.
#[test]
fn agents_told() {
    let now = Instant::now();
    let mut balancer = balancer(2, now);
    assert!(!announce(&mut balancer, 1, now).contains(&notice(1, 0)));
    for era in [1, 2] {
        balancer.store_era(Era(era), &mut Vec::new());
        for told in [true, true, true, false] {
            let out = announce(&mut balancer, 1, now);
            assert_eq!(out.contains(&notice(1, era)), told, "era {era}");
        }
    }
    assert!(announce(&mut balancer, 2, now).contains(&notice(2, 2)));
}

// Guards against a balancer that follows a silent connection to the store while its peers know that
// the store has come back.
#[test]
fn peers_told() {
    let now = Instant::now();
    let mut balancer = balancer(1, now);
    let peer = addr("10.0.0.2:7720");
    balancer.add_peer(peer, now);
    let mut out = Vec::new();
    balancer.store_era(Era(3), &mut out);
    balancer.store_era(Era(2), &mut out);
    assert_eq!(out, [Output::Send(peer, Message::StoreEra(Era(3)))]);
    out.clear();
    balancer.message(peer, Message::StoreEra(Era(4)), |_| None, now, &mut out);
    assert_eq!(out, [Output::StoreEra(Era(4))]);
}

// Guards against an agent that ignores the notice.
#[test]
fn notice_passed_on() {
    let now = Instant::now();
    let interval = std::time::Duration::from_millis(770);
    let mut agent = Agent::new(
        agent_addr(1),
        portal_server(),
        Incarnation(1),
        interval,
        now,
    );
    let mut out = Vec::new();
    let message = Message::StoreEra(Era(2));
    agent.message(addr(BALANCER), message, |_| None, now, &mut out);
    assert_eq!(out, [agent::Output::StoreEra(Era(2))]);
}

// Guards against new flows for a server that has left: its removed record comes back with the copy,
// and a balancer that starts reads it.
#[test]
fn returned_record_last() {
    let now = Instant::now();
    for port in 1..=20 {
        let mut balancer = balancer(3, now);
        announce(&mut balancer, 1, now);
        announce(&mut balancer, 2, now);
        let mut out = Vec::new();
        balancer.packet(segment(flow(port), Kind::Open, 0), vec![0], now, &mut out);
        let (agent, forward) = forwards(&out).remove(0);
        assert_ne!(agent, agent_addr(3), "port {port}");
        assert_eq!(
            forward.candidates.last(),
            Some(&agent_addr(3)),
            "port {port}"
        );
    }
}

//! Tests of records and messages whose fields are out of range.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use flamingofall::id::{Incarnation, Sequence, Slots};
use flamingofall::steering::balancer::Balancer;
use flamingofall::steering::message::{Announce, Digest, Message};
use flamingofall::steering::response_stats::ResponseStats;
use flamingofall::steering::roster::{Member, State};
use flamingofall::steering::segment::Kind;
use proptest::prelude::*;

use super::fixture::*;

fn announce(member: Member) -> Message {
    Message::Announce(Announce {
        member,
        busy: 0,
        flows: 0,
        stats: None,
        balancers: 1,
    })
}

/// Records of agent 1 with one field out of range each.
fn odd_members() -> Vec<Member> {
    let base = member(1, "portal", State::Draining);
    let odd = |change: &dyn Fn(&mut Member)| {
        let mut member = base.clone();
        change(&mut member);
        member
    };
    vec![
        odd(&|m| m.incarnation = Incarnation(u64::MAX)),
        odd(&|m| m.sequence = Sequence(u64::MAX)),
        odd(&|m| m.started = u64::MAX),
        odd(&|m| m.slots = Slots(u32::MAX)),
        odd(&|m| m.slots = Slots(0)),
    ]
}

/// Agents that get an opening packet, or its copies.
fn placements(balancer: &mut Balancer, now: Instant) -> Vec<SocketAddr> {
    let mut out = Vec::new();
    balancer.packet(segment(flow(1), Kind::Open, 0), vec![1], now, &mut out);
    forwards(&out).into_iter().map(|(agent, _)| agent).collect()
}

// Guards against a server that gets no flows because another writer's record outranks its agent's.
#[test]
fn odd_record_ignored() {
    for odd in odd_members() {
        let now = Instant::now();
        let mut balancer = balancer(0, now);
        let mut out = Vec::new();
        balancer.merge_directory(vec![odd.clone()], Vec::new(), now, &mut out);
        let valid = announce(member(1, "portal", State::Ready));
        balancer.message(agent_addr(1), valid, |_| None, now, &mut out);
        assert_eq!(placements(&mut balancer, now), [agent_addr(1)], "{odd:?}");
    }
}

// Guards against an announcement out of range that replaces a valid record.
#[test]
fn odd_announcement_ignored() {
    for odd in odd_members() {
        let now = Instant::now();
        let mut balancer = balancer(1, now);
        let mut out = Vec::new();
        balancer.message(
            agent_addr(1),
            announce(odd.clone()),
            |_| None,
            now,
            &mut out,
        );
        assert_eq!(placements(&mut balancer, now), [agent_addr(1)], "{odd:?}");
    }
}

// Guards against flows that are placed on an address that no datagram reaches, and against passing
// such addresses on.
#[test]
fn unreachable_address_ignored() {
    let now = Instant::now();
    for address in [
        "10.1.0.9:0",
        "0.0.0.0:8172",
        "255.255.255.255:8172",
        "224.0.0.1:8172",
    ] {
        let mut balancer = balancer(0, now);
        let mut odd = member(1, "portal", State::Ready);
        odd.agent = addr(address);
        let mut out = Vec::new();
        let peers = vec![odd.agent];
        balancer.merge_directory(vec![odd.clone()], peers, now, &mut out);
        let digest = Message::Digest(Digest {
            generation: flamingofall::id::Generation(1),
            balancers: vec![odd.agent],
            agents: vec![odd.agent],
            source: addr("10.0.0.2:7720"),
        });
        balancer.message(addr("10.0.0.2:7720"), digest, |_| None, now, &mut out);
        balancer.tick(now + Duration::from_secs(1), &mut out);
        assert_eq!(placements(&mut balancer, now), [], "{address}");
        assert!(
            !format!("{out:?}").contains(&format!("Send({address}")),
            "{out:?}"
        );
    }
}

// Guards against arithmetic on announced numbers that ends the process.
#[test]
fn extreme_load_compared() {
    let now = Instant::now();
    let mut balancer = balancer(4, now);
    let mut out = Vec::new();
    for index in 1..=4 {
        let mut message = announce(member(index, "portal", State::Ready));
        if let Message::Announce(announce) = &mut message {
            announce.busy = u32::MAX;
            announce.flows = u32::MAX;
            announce.stats = Some(ResponseStats {
                mean: Duration::MAX,
                failed: u32::MAX,
            });
        }
        balancer.message(agent_addr(index), message, |_| None, now, &mut out);
    }
    balancer.tick(now + Duration::from_secs(1), &mut out);
    assert_eq!(placements(&mut balancer, now).len(), 1);
}

proptest! {
    // Guards against a datagram from elsewhere that ends a balancer or an agent.
    #[test]
    fn any_datagram_survived(
        variant in 0u8..8,
        mut bytes in proptest::collection::vec(any::<u8>(), 0..200),
        extreme in any::<bool>(),
    ) {
        if extreme {
            // Long encodings of large numbers.
            bytes.iter_mut().step_by(3).for_each(|byte| *byte = 0xff);
        }
        bytes.insert(0, variant);
        let now = Instant::now();
        let (mut balancer, mut agent) = (balancer(4, now), ready_agent(now));
        let later = now + Duration::from_secs(1);
        if let Ok(message) = Message::decode(&bytes) {
            let data = segment(flow(1), Kind::Data, 5);
            let from = agent_addr(1);
            let (mut out, mut sent) = (Vec::new(), Vec::new());
            balancer.message(from, message.clone(), decode_as(data), now, &mut out);
            balancer.tick(later, &mut out);
            agent.message(from, message, decode_as(data), now, &mut sent);
            agent.tick(later, &mut sent);
        }
    }
}

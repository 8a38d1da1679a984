//! Tests of the order in which the waits of the balancers' watches end.

use std::time::{Duration, Instant};

use flamingofall::steering::balancer::{Balancer, Output};
use flamingofall::steering::message::{Digest, Message};
use flamingofall::steering::watch::{Slot, SLOT_LENGTH};

use super::fixture::*;

const HOUR: Duration = Duration::from_secs(3600);

// Guards against a time in which no wait ends, so that all balancers may have lost their responses
// without one that notices it.
#[test]
fn waits_cover_time() {
    for count in 1..=60 {
        let mut ends = vec![Duration::ZERO];
        for rank in 0..count {
            let slot = Slot::between(rank, count - 1 - rank);
            let mut end = slot.first_wait();
            while end < HOUR {
                ends.push(end);
                end += slot.next_wait();
            }
        }
        ends.sort_unstable();
        let longest = ends.windows(2).map(|pair| pair[1] - pair[0]).max();
        assert_eq!(longest, Some(SLOT_LENGTH), "{count} balancers");
    }
}

// Guards against a fleet that pays for each balancer's calls alone.
#[test]
fn waits_share_calls() {
    for count in 1..=60 {
        let slot = Slot::between(0, count - 1);
        let shared = SLOT_LENGTH * count.min(7) as u32;
        assert_eq!(slot.next_wait(), shared, "{count} balancers");
    }
}

/// The slot that a balancer reports last, at a tick at `now`.
fn reported(balancer: &mut Balancer, now: Instant) -> Option<Slot> {
    let mut out = Vec::new();
    balancer.tick(now, &mut out);
    out.into_iter()
        .filter_map(|output| match output {
            Output::Slot(slot) => Some(slot),
            _ => None,
        })
        .next_back()
}

// Guards against slots of balancers that have stopped, in which no wait ends.
#[test]
fn stopped_peer_left_out() {
    let now = Instant::now();
    let mut balancer = Balancer::new(addr(BALANCER), now);
    let hear = |balancer: &mut Balancer, peer: &str, at: Instant| {
        let digest = Digest {
            generation: Default::default(),
            balancers: vec![addr(peer)],
            agents: Vec::new(),
            source: addr(peer),
        };
        balancer.message(
            addr(peer),
            Message::Digest(digest),
            |_| None,
            at,
            &mut Vec::new(),
        );
    };
    hear(&mut balancer, "10.0.0.0:7720", now);
    hear(&mut balancer, "10.0.0.2:7720", now);
    assert_eq!(reported(&mut balancer, now), Some(Slot::between(1, 1)));
    let mut at = now;
    for _ in 0..50 {
        at += Duration::from_millis(100);
        hear(&mut balancer, "10.0.0.2:7720", at);
        if let Some(slot) = reported(&mut balancer, at) {
            assert_eq!(slot, Slot::between(0, 1));
            return;
        }
    }
    panic!("the stopped peer keeps its slot");
}

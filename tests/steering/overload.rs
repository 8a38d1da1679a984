//! Tests of new flows of a service whose servers are all full, as after a loss of power.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use flamingofall::steering::balancer::{self, Balancer};
use flamingofall::steering::message::{Forward, Message, Owner};
use flamingofall::steering::routes::Source;
use flamingofall::steering::segment::{Kind, Segment};

use super::fixture::*;

/// Number of messages that an opening packet may cost the agents of a service of any size.
const MESSAGES_MAX: usize = 8;

fn opening() -> Segment {
    segment(flow(1), Kind::Open, 0)
}

/// Sends the client's opening packet.
fn open(balancer: &mut Balancer, now: Instant) -> (SocketAddr, Forward) {
    let mut out = Vec::new();
    balancer.packet(opening(), vec![1], now, &mut out);
    forwards(&out).remove(0)
}

/// The agents return the packet.
fn give_back(
    balancer: &mut Balancer,
    (agent, forward): &(SocketAddr, Forward),
    now: Instant,
) -> Vec<balancer::Output> {
    let mut forward = forward.clone();
    forward.candidates.clear();
    let mut out = Vec::new();
    let message = Message::Exhausted(forward);
    balancer.message(*agent, message, decode_as(opening()), now, &mut out);
    out
}

// Guards against agents of an overloaded service that spend their time on passing each opening
// packet along all of them, and against a client that is left without an answer.
#[test]
fn few_agents_asked() {
    for agents in [4, 40, 120] {
        let now = Instant::now();
        let mut balancer = balancer(agents, now);
        let placed = open(&mut balancer, now);
        let asked = 1 + placed.1.candidates.len();
        assert!(asked <= MESSAGES_MAX, "{asked} of {agents}");
        assert!(
            asked >= MESSAGES_MAX.min(usize::from(agents)) / 2,
            "{asked}"
        );
        let out = give_back(&mut balancer, &placed, now + Duration::from_millis(15));
        assert_eq!(resets(&out), 1, "{agents}");
    }
}

// Guards against clients that use up their attempts within some milliseconds while a service is
// full, although their own copies of the packet could be in time.
#[test]
fn copy_awaited() {
    let now = Instant::now();
    for (objective_ms, expected) in [(200, 1), (399, 1), (400, 0), (1500, 0)] {
        let mut balancer = balancer(40, now);
        let mut slow = routes(2, &[("portal", 1)]);
        slow.routes[0].objective = Duration::from_millis(objective_ms);
        balancer.configure(slow, Source::Store, &mut Vec::new());
        let placed = open(&mut balancer, now);
        let out = give_back(&mut balancer, &placed, now + Duration::from_millis(15));
        assert_eq!(resets(&out), expected, "{objective_ms} ms");
        // The copy goes to an agent that hasn't got the packet yet.
        let mut copy = Vec::new();
        let later = now + Duration::from_millis(200);
        let packet = segment(flow(1), Kind::Open, 1);
        balancer.packet(packet, vec![1], later, &mut copy);
        assert_eq!(forwards(&copy).len(), 1);
        if expected == 0 {
            assert_ne!(forwards(&copy)[0].0, placed.0);
        }
    }
}

// Guards against a client that waits for its own copy because an attempt was hedged before its
// agents returned it, and against a reset while one of the agents still has the packet.
#[test]
fn hedged_and_refused() {
    let now = Instant::now();
    let mut balancer = balancer(40, now);
    let placed = open(&mut balancer, now);
    let mut out = Vec::new();
    balancer.tick(now + Duration::from_millis(70), &mut out);
    let hedged = forwards(&out).remove(0);
    assert!(hedged.1.candidates.len() < MESSAGES_MAX);
    let later = now + Duration::from_millis(90);
    assert_eq!(resets(&give_back(&mut balancer, &placed, later)), 0);
    assert_eq!(resets(&give_back(&mut balancer, &hedged, later)), 1);
}

// Guards against a reset of a flow that a server has accepted, or that another balancer may have
// placed with a copy of the packet.
#[test]
fn accepted_not_refused() {
    let now = Instant::now();
    let mut accepted = balancer(40, now);
    let placed = open(&mut accepted, now);
    let owner = Message::Owner(Owner {
        client: flow(1).source,
        address: flow(1).destination,
        agent: agent_addr(9),
        process: None,
        accepted: Some(70),
    });
    accepted.message(agent_addr(9), owner, |_| None, now, &mut Vec::new());
    assert_eq!(resets(&give_back(&mut accepted, &placed, now)), 0);

    let mut late = balancer(40, now);
    let placed = open(&mut late, now);
    let copied = now + Duration::from_millis(210);
    assert_eq!(resets(&give_back(&mut late, &placed, copied)), 0);
}

// Guards against flows whose requests can't be repeated that find no place because repeatable ones,
// which are many more, have taken all.
#[test]
fn place_reserved() {
    let now = Instant::now();
    let mut agent = ready_agent(now);
    let mut taken = Vec::new();
    for port in 1..=10 {
        let at_most_once = port > 5;
        let placed = Forward {
            at_most_once,
            ..forward("portal", Vec::new(), false)
        };
        let open = segment(flow(port), Kind::Open, 0);
        let out = forward_to_agent(&mut agent, open, placed, now);
        if delivered(&out).is_some() {
            taken.push(at_most_once);
            let data = segment(flow(port), Kind::Data, 5);
            forward_to_agent(&mut agent, data, forward("", Vec::new(), false), now);
        }
    }
    assert_eq!(taken, [false, false, true]);
}

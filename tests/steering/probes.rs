//! Model of a lookup while some agents are down: each agent that runs answers at once, and packets to
//! the others are lost.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use flamingofall::steering::balancer::{Balancer, Output, TICK};
use flamingofall::steering::message::{Announce, Forward, Message};
use flamingofall::steering::roster::State;
use flamingofall::steering::segment::{Kind, Segment};

use super::fixture::*;

/// When the client sends a packet and its copies, in milliseconds: the interval doubles up to 1.6 s.
const COPIES: [u64; 5] = [0, 200, 600, 1400, 3000];
/// Time within which the flow's own agent has to get a packet, from the later of its start and the
/// first packet. The rule allows 2 s.
const BOUND: Duration = Duration::from_millis(1000);

/// A balancer that doesn't know the flow, and its agents.
struct Model {
    balancer: Balancer,
    /// When each agent runs.
    runs: Vec<Box<dyn Fn(Duration) -> bool>>,
    owner: u8,
    start: Instant,
    /// When the owner first got a packet.
    reached: Option<Duration>,
    /// Packets to agents.
    sent: usize,
    resets: usize,
}

impl Model {
    /// All agents have just announced themselves, those that are down now as well.
    fn new(owner: u8, runs: Vec<Box<dyn Fn(Duration) -> bool>>) -> Self {
        let created = Instant::now();
        // The balancer knows all agents by the time of the first packet.
        let start = created + Duration::from_secs(3);
        let mut model = Self {
            balancer: balancer(runs.len() as u8, created),
            runs,
            owner,
            start,
            reached: None,
            sent: 0,
            resets: 0,
        };
        model.announce(|_| true, Duration::ZERO);
        // A longer time between two ticks would count as a suspension.
        let mut now = created;
        while now <= start {
            model.balancer.tick(now, &mut Vec::new());
            now += 15 * TICK;
        }
        model
    }

    fn announce(&mut self, fits: impl Fn(u8) -> bool, at: Duration) {
        for index in 1..=self.runs.len() as u8 {
            if fits(index) {
                let announce = Message::Announce(Announce {
                    member: member(index, "portal", State::Ready),
                    busy: 0,
                    flows: 0,
                    stats: None,
                    balancers: 1,
                });
                let now = self.start + at;
                let from = agent_addr(index);
                self.balancer
                    .message(from, announce, |_| None, now, &mut Vec::new());
            }
        }
    }

    fn play(&mut self, segment: Segment, until: Duration) {
        let mut at = Duration::ZERO;
        while at <= until && self.reached.is_none() {
            let mut out = Vec::new();
            if COPIES.contains(&(at.as_millis() as u64)) {
                self.balancer
                    .packet(segment, vec![1], self.start + at, &mut out);
            }
            self.balancer.tick(self.start + at, &mut out);
            if (at.as_millis() as u64).is_multiple_of(400) {
                let running: Vec<_> = self.runs.iter().map(|runs| runs(at)).collect();
                self.announce(|index| running[usize::from(index) - 1], at);
            }
            self.deliver(segment, at, out);
            at += TICK;
        }
    }

    fn deliver(&mut self, segment: Segment, at: Duration, out: Vec<Output>) {
        self.resets += resets(&out);
        let mut queue: VecDeque<(SocketAddr, Forward)> = forwards(&out).into();
        while let Some((to, mut forward)) = queue.pop_front() {
            self.sent += 1;
            let index = (1..=self.runs.len() as u8).find(|index| agent_addr(*index) == to);
            let index = index.unwrap();
            if !self.runs[usize::from(index) - 1](at) {
                continue;
            }
            if index == self.owner {
                self.reached.get_or_insert(at);
                continue;
            }
            if !forward.candidates.is_empty() {
                let next = forward.candidates.remove(0);
                queue.push_back((next, forward));
                continue;
            }
            let mut out = Vec::new();
            let message = Message::Exhausted(forward);
            let now = self.start + at;
            self.balancer
                .message(to, message, decode_as(segment), now, &mut out);
            self.resets += resets(&out);
            queue.extend(forwards(&out));
        }
    }
}

fn always(runs: bool) -> Box<dyn Fn(Duration) -> bool> {
    Box::new(move |_| runs)
}

fn from_time(start: Duration) -> Box<dyn Fn(Duration) -> bool> {
    Box::new(move |at| at >= start)
}

// Guards against packets of an open flow that reach other servers only, because an agent that is
// down stands before the flow's own one, whichever agents are down.
#[test]
fn any_agents_down() {
    const AGENTS: u8 = 8;
    let data = segment(flow(1), Kind::Data, 5);
    for down in 0_u32..1 << AGENTS {
        for owner in (1..=AGENTS).filter(|owner| down & 1 << (owner - 1) == 0) {
            let runs = (0..AGENTS).map(|index| always(down & 1 << index == 0));
            let mut model = Model::new(owner, runs.collect());
            model.play(data, BOUND);
            assert!(model.reached.is_some(), "down={down:08b} owner={owner}");
            assert_eq!(model.resets, 0, "down={down:08b} owner={owner}");
        }
    }
}

// Guards against a flow whose agent restarts between two copies of the client's packet, so that the
// next copy is the first that finds it.
#[test]
fn owner_restarts() {
    const AGENTS: u8 = 6;
    let data = segment(flow(1), Kind::Data, 5);
    for millis in (0..=2000).step_by(100) {
        let started = Duration::from_millis(millis);
        for down in 0_u32..1 << AGENTS {
            for owner in (1..=AGENTS).filter(|owner| down & 1 << (owner - 1) == 0) {
                let runs = (1..=AGENTS).map(|index| match index == owner {
                    true => from_time(started),
                    false => always(down & 1 << (index - 1) == 0),
                });
                let mut model = Model::new(owner, runs.collect());
                model.play(data, started + BOUND);
                let case = format!("started={millis} down={down:06b} owner={owner}");
                assert!(model.reached.is_some(), "{case}");
                assert_eq!(model.resets, 0, "{case}");
            }
        }
    }
}

// Guards against a lookup in a large service that a few stopped agents hold up, and against one that
// floods the agents.
#[test]
fn large_service() {
    const AGENTS: u8 = 136;
    let data = segment(flow(1), Kind::Data, 5);
    for seed in 0_u32..40 {
        let owner = 1 + (seed * 37 % u32::from(AGENTS)) as u8;
        let runs = (1..=AGENTS).map(|index| {
            let hash = (u32::from(index) * 7919 + seed * 104_729) % 100;
            always(index == owner || hash >= 30)
        });
        let mut model = Model::new(owner, runs.collect());
        model.play(data, BOUND);
        assert!(model.reached.is_some(), "seed={seed}");
        assert_eq!(model.resets, 0, "seed={seed}");
        let limit = 6 * usize::from(AGENTS);
        assert!(model.sent <= limit, "seed={seed}: {} packets", model.sent);
    }
}

// Guards against clients that wait for their deadline because no server holds their flow: it is reset
// once all agents have answered, and only then.
#[test]
fn lost_flow_reset() {
    let data = segment(flow(1), Kind::Data, 5);
    for last in [0, 300, 900] {
        // No agent is the owner; the last one answers when it has started.
        let mut runs: Vec<_> = (1..6).map(|_| always(true)).collect();
        runs.push(from_time(Duration::from_millis(last)));
        let mut model = Model::new(0, runs);
        model.play(data, Duration::from_millis(last.saturating_sub(20)));
        assert_eq!(model.resets, usize::from(last == 0), "last={last}");
        if last > 0 {
            model.resets = 0;
            let mut at = Duration::from_millis(last);
            while model.resets == 0 && at < Duration::from_millis(last) + BOUND {
                let mut out = Vec::new();
                model.balancer.tick(model.start + at, &mut out);
                model.deliver(data, at, out);
                at += TICK;
            }
            assert_eq!(model.resets, 1, "last={last}");
        }
    }
}

// Guards against a reset of a sound flow by answers for an earlier flow of the same client port, whose
// agent answers after the client has opened the flow elsewhere.
#[test]
fn port_used_again() {
    let start = Instant::now();
    let now = start + Duration::from_secs(3);
    let mut balancer = balancer(3, start);
    let data = segment(flow(1), Kind::Data, 5);
    let mut out = Vec::new();
    balancer.packet(data, vec![1], now, &mut out);
    out.clear();
    let again = now + Duration::from_millis(200);
    balancer.packet(data, vec![1], again, &mut out);
    let probes = forwards(&out);
    assert_eq!(probes.len(), 3);
    // Two agents deny the earlier flow. One of them holds the flow that the client opens then.
    let later = now + Duration::from_millis(600);
    let next = segment(flow(1), Kind::Data, 1 << 30);
    let deny = |balancer: &mut Balancer, (agent, forward): &(SocketAddr, Forward)| {
        let mut out = Vec::new();
        let message = Message::Exhausted(forward.clone());
        balancer.message(*agent, message, decode_as(next), later, &mut out);
        resets(&out)
    };
    assert_eq!(deny(&mut balancer, &probes[0]), 0);
    assert_eq!(deny(&mut balancer, &probes[1]), 0);
    out.clear();
    balancer.packet(next, vec![1], later, &mut out);
    let (first, forward) = forwards(&out).remove(0);
    assert_eq!([vec![first], forward.candidates].concat().len(), 3);
    assert_eq!(deny(&mut balancer, &probes[2]), 0);
}

// Guards against packets that reach other servers after the flow's own one has got the last: its
// server gets a copy once more.
#[test]
fn owner_gets_last() {
    let start = Instant::now();
    let now = start + Duration::from_secs(3);
    let mut balancer = balancer(3, start);
    let data = segment(flow(1), Kind::Data, 5);
    let mut out = Vec::new();
    balancer.packet(data, vec![1], now, &mut out);
    let probed = now + Duration::from_millis(200);
    balancer.packet(data, vec![1], probed, &mut out);
    let owner = Message::Owner(flamingofall::steering::message::Owner {
        client: flow(1).source,
        address: flow(1).destination,
        agent: agent_addr(2),
        process: None,
        accepted: None,
    });
    // Reported twice, as the server answers twice.
    for _ in 0..2 {
        balancer.message(agent_addr(2), owner.clone(), |_| None, probed, &mut out);
    }
    out.clear();
    for millis in (200..1000).step_by(20) {
        balancer.tick(now + Duration::from_millis(millis), &mut out);
    }
    let to: Vec<_> = forwards(&out).into_iter().map(|(to, _)| to).collect();
    assert_eq!(to, [agent_addr(2)]);
}

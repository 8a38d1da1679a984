//! Balancers that have declared each other down must become active in each other's views again.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use flamingofall::control::Control;
use flamingofall::id::{Connections, Generation, Incarnation, Sequence, Slots};
use flamingofall::member::{Record, Role, State};
use flamingofall::output::Output;
use flamingofall::wire::{Body, Message};

/// Number of addresses in the settings at which no process answers.
const DEAD_SEEDS: u16 = 40;
const TICK: Duration = Duration::from_millis(100);

fn record(number: u16) -> Record {
    let address = SocketAddr::from(([10, 0, 0, 1], number));
    Record {
        member: format!("balancer-{number}").parse().unwrap(),
        role: Role::Balancer,
        incarnation: Incarnation(1),
        sequence: Sequence(1),
        state: State::Joining,
        domain: format!("domain-{number}").parse().unwrap(),
        control: address,
        data: address,
        service: None,
        slots: Slots(0),
        connections: Connections(0),
        generation: Generation(0),
        open_flows: None,
        sole_server: None,
    }
}

fn seeds(other: u16) -> Vec<SocketAddr> {
    let dead = 100..100 + DEAD_SEEDS;
    let numbers = std::iter::once(other).chain(dead);
    numbers.map(|number| record(number).control).collect()
}

/// Fault of the network between the balancers.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Link {
    Up,
    /// Heartbeats, their answers and reports about them are lost.
    NoHeartbeats,
    Cut,
}

impl Link {
    fn carries(self, message: &Message) -> bool {
        let is_heartbeat = matches!(
            message.body,
            Some(Body::Heartbeat(_) | Body::HeartbeatAck(_) | Body::Heard(_))
        );
        self == Link::Up || (self == Link::NoHeartbeats && !is_heartbeat)
    }
}

struct Pair {
    balancers: Vec<Control>,
    now: Instant,
}

impl Pair {
    /// Two balancers that know each other.
    fn new() -> Self {
        let now = Instant::now();
        let mut balancers = vec![
            Control::new(record(1), seeds(2), 1, now),
            Control::new(record(2), seeds(1), 2, now),
        ];
        let mut snapshot = balancers[0].snapshot();
        snapshot.records = vec![record(1), record(2)];
        for balancer in &mut balancers {
            balancer.load_snapshot(snapshot.clone(), now, &mut Vec::new());
        }
        Self { balancers, now }
    }

    /// Runs both balancers for a time over a link with this fault.
    fn run(&mut self, time: Duration, link: Link) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            let mut queue: Vec<(usize, SocketAddr, Message)> = Vec::new();
            for index in 0..2 {
                let mut out = Vec::new();
                self.balancers[index].tick(self.now, &mut out);
                queue.extend(self.sent(index, out));
            }
            while let Some((to, from, message)) = queue.pop() {
                if to >= 2 || !link.carries(&message) {
                    continue;
                }
                let mut out = Vec::new();
                self.balancers[to].handle_message(from, message, self.now, &mut out);
                queue.extend(self.sent(to, out));
            }
        }
    }

    fn sent(&self, from: usize, out: Vec<Output>) -> Vec<(usize, SocketAddr, Message)> {
        let address = record(from as u16 + 1).control;
        let sent = out.into_iter().filter_map(|output| match output {
            Output::Send { to, message } => Some((usize::from(to.port()) - 1, address, message)),
            _ => None,
        });
        sent.collect()
    }

    /// Returns the state of each balancer in the view of the other; down if it has no record.
    fn states(&self) -> [State; 2] {
        let state = |viewer: usize, of: u16| {
            let view = self.balancers[viewer].view();
            let entry = view.table.get(&record(of).member);
            entry.map_or(State::Down, |entry| entry.record.state)
        };
        [state(0, 2), state(1, 1)]
    }
}

/// Guards against a down declaration that doesn't reach the member itself. Rumours go only to
/// members that are up, so two balancers that had declared each other down reconnected only by
/// chance, and meanwhile their agents accepted the same flows twice.
#[test]
fn heartbeats_lost() {
    let mut pair = Pair::new();
    pair.run(Duration::from_secs(2), Link::Up);
    assert_eq!(pair.states(), [State::Active; 2]);
    pair.run(Duration::from_secs(5), Link::NoHeartbeats);
    let declared = pair
        .balancers
        .iter()
        .map(|b| b.view().own.record().sequence);
    assert!(
        declared.clone().any(|sequence| sequence > Sequence(2)),
        "no balancer was declared down: {:?}",
        declared.collect::<Vec<_>>()
    );
    assert_eq!(pair.states(), [State::Active; 2]);
}

/// Guards against a partition that lasts for minutes after the network has recovered, because the
/// balancers try the many dead addresses in their settings at random.
#[test]
fn cut_heals() {
    let mut pair = Pair::new();
    pair.run(Duration::from_secs(2), Link::Up);
    pair.run(Duration::from_secs(6), Link::Cut);
    assert_eq!(pair.states(), [State::Down; 2]);
    pair.run(Duration::from_secs(30), Link::Up);
    assert_eq!(pair.states(), [State::Active; 2]);
}

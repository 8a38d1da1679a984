//! An agent must reach a balancer again after all collectors in its last answer have failed.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use flamingofall::heartbeat::Heartbeat;

fn balancer(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

/// Guards against an agent that tries only the collectors of its last answer: when the only
/// balancer of a failure domain failed, the domain's agents never reached another one.
#[test]
fn settings_remain() {
    let start = Instant::now();
    let mut heartbeat = Heartbeat::new(vec![balancer(1), balancer(2), balancer(3)], start);
    heartbeat.set_collectors(vec![balancer(2)]);
    let mut tried = Vec::new();
    for step in 0..100 {
        let now = start + step * Duration::from_millis(100);
        if let Some(due) = heartbeat.due(now) {
            tried.push(due.to);
        }
    }
    for number in 1..=3 {
        assert!(
            tried.contains(&balancer(number)),
            "balancer {number} was never tried"
        );
    }
}

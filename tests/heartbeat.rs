//! Heartbeat schedule and lease of an agent.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use flamingofall::heartbeat::Heartbeat;

const TICK: Duration = Duration::from_millis(20);

fn collectors() -> Vec<SocketAddr> {
    vec!["10.2.0.1:1".parse().unwrap(), "10.2.0.2:1".parse().unwrap()]
}

/// Simulates some seconds. `answers` returns whether a heartbeat is answered, given its send time
/// and the index of its collector. Returns the send times with the indices of the collectors, and
/// the number of ticks without a lease.
fn run(seconds: u64, answers: impl Fn(Duration, usize) -> bool) -> (Vec<(Duration, usize)>, u32) {
    let start = Instant::now();
    let mut heartbeat = Heartbeat::new(collectors(), start);
    let (mut sent, mut unleased) = (vec![], 0);
    for tick in 0..seconds * 50 {
        let now = start + TICK * tick as u32;
        if let Some(due) = heartbeat.due(now) {
            let to = collectors().iter().position(|to| *to == due.to).unwrap();
            sent.push((now - start, to));
            if answers(now - start, to) {
                let sent = heartbeat.on_ack(due.id).unwrap();
                heartbeat.renew(sent, now);
            }
        }
        unleased += u32::from(!heartbeat.is_leased(now));
    }
    (sent, unleased)
}

/// Guards against more than one heartbeat per second while all of them are answered.
#[test]
fn one_each_second() {
    let (sent, unleased) = run(10, |_, _| true);
    assert_eq!((sent.len(), unleased), (10, 0));
}

/// Guards against a lease that lapses after a single lost datagram or the failure of one collector.
#[test]
fn collector_changes() {
    let lost = Duration::from_secs(3);
    let (sent, unleased) = run(10, |at, _| at != lost);
    assert_eq!(unleased, 0);
    assert!(sent.contains(&(lost + Duration::from_millis(500), 1)));
    let (sent, unleased) = run(10, |at, to| at < lost || to == 1);
    assert_eq!(unleased, 0);
    assert_eq!(
        sent.iter()
            .filter(|(at, to)| *at > lost && *to == 0)
            .count(),
        0
    );
}

/// Guards against a lease that is still valid when the member is declared down, and against a lapse
/// that isn't reported by the next renewal.
#[test]
fn lapse_noticed() {
    let start = Instant::now();
    let mut heartbeat = Heartbeat::new(collectors(), start);
    let first = heartbeat.due(start).unwrap();
    let sent = heartbeat.on_ack(first.id).unwrap();
    assert!(!heartbeat.renew(sent, start).lapsed);
    let at = |millis| start + Duration::from_millis(millis);
    assert!(heartbeat.is_leased(at(1999)) && !heartbeat.is_leased(at(2000)));
    let second = heartbeat.due(at(2500)).unwrap();
    // A late answer extends the lease to 2 s after the heartbeat was sent, not after the answer.
    let sent = heartbeat.on_ack(second.id).unwrap();
    assert!(heartbeat.renew(sent, at(3000)).lapsed);
    assert!(heartbeat.is_leased(at(4499)) && !heartbeat.is_leased(at(4500)));
    assert_eq!(heartbeat.on_ack(second.id), None);
}

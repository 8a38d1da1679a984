//! Tests of the delays between calls to the directory.

use std::time::Duration;

use flamingofall::steering::backoff::Backoff;
use rand::rngs::SmallRng;
use rand::SeedableRng;

/// Times of a process's calls, all of which fail.
fn call_times(seed: u64, length: Duration) -> Vec<Duration> {
    let mut backoff = Backoff::new(SmallRng::seed_from_u64(seed));
    let mut times = vec![Duration::ZERO];
    while let Some(last) = times.last().copied().filter(|last| *last < length) {
        times.push(last + backoff.next_delay());
    }
    times
}

// Guards against processes that were started together and ask a directory that is down in lockstep,
// so that it serves for most of a second before any of them notices.
#[test]
fn return_noticed() {
    let length = Duration::from_secs(20);
    for (processes, limit_ms) in [(5, 200), (60, 30)] {
        let mut times: Vec<_> = (0..processes).flat_map(|p| call_times(p, length)).collect();
        times.sort();
        let returns = (2000..15_000).step_by(10).map(Duration::from_millis);
        let waits = returns.map(|at| *times.iter().find(|time| **time >= at).unwrap() - at);
        let (count, total) = waits.fold((0, Duration::ZERO), |(n, sum), wait| (n + 1, sum + wait));
        let mean = total / count;
        assert!(
            mean < Duration::from_millis(limit_ms),
            "{processes}: {mean:?}"
        );
    }
}

// Guards against calls that load a directory in trouble more and more, or that stop.
#[test]
fn delays_bounded() {
    let times = call_times(1, Duration::from_secs(20));
    let delays: Vec<_> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!(delays[0] <= Duration::from_millis(100));
    let later = Duration::from_millis(400)..=Duration::from_millis(800);
    assert!(
        delays[3..].iter().all(|delay| later.contains(delay)),
        "{delays:?}"
    );

    let mut backoff = Backoff::new(SmallRng::seed_from_u64(1));
    for _ in 0..10 {
        backoff.next_delay();
    }
    backoff.reset();
    assert!(backoff.next_delay() <= Duration::from_millis(100));
}

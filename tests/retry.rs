//! Tests of the retry policy for clients.

use std::time::{Duration, Instant};

use flamingofall::retry::{
    Client, Failure, Outcome, Step, BACKOFF_BASE, BACKOFF_MAX, REQUESTS_PER_RETRY, RETRY_BUDGET_MAX,
};
use proptest::prelude::*;

const DEADLINE: Duration = Duration::from_secs(10);

/// Decides what a client does after an outcome of a request.
type Policy<'a> = &'a mut dyn FnMut(&mut flamingofall::retry::Request, Outcome, Instant) -> Step;

struct Trace {
    sends: u32,
    sends_after_unknown: u32,
    late: u32,
    shortest: Duration,
}

/// Runs one request through a list of outcomes and counts the retries.
fn run_request(
    mut request: flamingofall::retry::Request,
    outcomes: &[Outcome],
    start: Instant,
    next: Policy<'_>,
) -> Trace {
    let (mut now, mut unknown) = (start, false);
    let mut trace = Trace {
        sends: 0,
        sends_after_unknown: 0,
        late: 0,
        shortest: BACKOFF_MAX,
    };
    for outcome in outcomes {
        unknown |= *outcome == Outcome::Unknown;
        let at = match next(&mut request, *outcome, now) {
            Step::Done | Step::Fail(_) => break,
            Step::Query { at } => at,
            Step::Send { at } => {
                trace.sends += 1;
                trace.sends_after_unknown += u32::from(unknown);
                at
            }
        };
        trace.late += u32::from(at >= start + DEADLINE);
        trace.shortest = trace.shortest.min(at - now);
        now = at;
    }
    trace
}

fn outcomes() -> impl Strategy<Value = Vec<Vec<Outcome>>> {
    let outcome = prop_oneof![
        6 => Just(Outcome::NotRun),
        1 => Just(Outcome::Unknown),
        1 => Just(Outcome::Answered),
    ];
    prop::collection::vec(prop::collection::vec(outcome, 1..12), 1..80)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against retry storms (more retries than the budget allows), requests that are sent
    /// again although they may have run, steps after the deadline, and retries without a delay.
    #[test]
    fn limits_hold(requests in outcomes(), seed: u64) {
        let start = Instant::now();
        let mut client = Client::new(seed);
        let mut sends = 0;
        for (count, outcomes) in requests.iter().enumerate() {
            let request = client.begin(start + DEADLINE);
            let trace = run_request(request, outcomes, start, &mut |r, o, now| client.next(r, o, now));
            sends += trace.sends;
            let allowed = RETRY_BUDGET_MAX + (count as u32 + 1) / REQUESTS_PER_RETRY;
            prop_assert!(sends <= allowed, "{sends} retries, {allowed} allowed");
            prop_assert_eq!(trace.sends_after_unknown, 0);
            prop_assert_eq!(trace.late, 0);
            prop_assert!(trace.shortest >= BACKOFF_BASE / 2);
        }
    }
}

/// Guards against checks in `limits_hold` that can't fail: a client that always retries exceeds the
/// budget, repeats requests that may have run, and sends after the deadline.
#[test]
fn naive_fails() {
    let start = Instant::now();
    let outcomes = [Outcome::NotRun, Outcome::Unknown].repeat(RETRY_BUDGET_MAX as usize);
    let request = Client::new(1).begin(start + DEADLINE);
    let naive = &mut |_: &mut _, _, now| Step::Send {
        at: now + DEADLINE / 15,
    };
    let trace = run_request(request, &outcomes, start, naive);
    assert!(trace.sends > RETRY_BUDGET_MAX && trace.sends_after_unknown > 0 && trace.late > 0);
}

/// Guards against delays that don't double up to the limit, and against clients that retry in
/// lockstep.
#[test]
fn backoff_grows() {
    let now = Instant::now();
    let delays = |seed| {
        let mut client = Client::new(seed);
        let mut request = client.begin(now + DEADLINE);
        let mut step = || match client.next(&mut request, Outcome::NotRun, now) {
            Step::Send { at } => at - now,
            other => panic!("{other:?}"),
        };
        (0..RETRY_BUDGET_MAX).map(|_| step()).collect::<Vec<_>>()
    };
    let (first, second) = (delays(1), delays(2));
    assert_ne!(first, second);
    for (retry, delay) in first.iter().enumerate() {
        let full = (BACKOFF_BASE * (1 << retry)).min(BACKOFF_MAX);
        assert!(*delay >= full / 2 && *delay <= full);
    }
}

/// Guards against a failure that is reported with the wrong cause.
#[test]
fn failures_differ() {
    let now = Instant::now();
    let mut client = Client::new(1);
    let mut late = client.begin(now);
    let failed = |failure| Step::Fail(failure);
    assert_eq!(
        client.next(&mut late, Outcome::NotRun, now),
        failed(Failure::Deadline)
    );
    let mut unknown = client.begin(now);
    assert_eq!(
        client.next(&mut unknown, Outcome::Unknown, now),
        failed(Failure::OutcomeUnknown)
    );
    let mut request = client.begin(now + DEADLINE);
    let steps: Vec<_> = (0..=RETRY_BUDGET_MAX)
        .map(|_| client.next(&mut request, Outcome::NotRun, now))
        .collect();
    assert_eq!(steps.last(), Some(&failed(Failure::BudgetExhausted)));
}

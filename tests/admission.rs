//! Tests of the admission of new flows.

use std::time::{Duration, Instant};

use flamingofall::admission::{
    Admission, Capacity, Load, LocalServer, Sample, ACTIVITY_AVERAGE_SECONDS,
    ACTIVITY_UNITS_PER_FLOW,
};
use flamingofall::decision::Cause;
use flamingofall::flow::FlowCounts;
use flamingofall::id::{Connections, Slots};
use flamingofall::server::LoadReport;
use yare::parameterized;

const HEAVY: u32 = 2;
const LIGHT: u32 = 1;

fn load(open: u32) -> Load {
    Load { open, activity: 0 }
}

fn local(open: u32, now: Instant) -> LocalServer {
    LocalServer {
        load: load(open),
        slots: Slots(4),
        connections: Connections(100),
        bound_percent: 125,
        max_class_weight: HEAVY,
        started: now,
        cold_start: Duration::ZERO,
    }
}

fn admission_with_samples(loads: &[u32], now: Instant) -> Admission {
    let mut admission = Admission::default();
    for (index, open) in loads.iter().enumerate() {
        let sample = Sample {
            load: load(*open),
            slots: Slots(4),
            connections: Connections(100),
            taken_at: now,
        };
        admission.record_sample(format!("m{index}").parse().unwrap(), sample);
    }
    admission
}

/// Guards against shedding the class of the highest weight, and against shedding nothing before the
/// limit is reached.
#[parameterized(
    below = { 89, 89, Capacity::Available, Capacity::Available },
    shedding = { 91, 91, Capacity::Full(Cause::Shed), Capacity::Available },
    others_idle = { 95, 85, Capacity::Available, Capacity::Available },
    at_limit = { 100, 100, Capacity::Full(Cause::Limit), Capacity::Full(Cause::Limit) },
)]
fn lighter_first(open: u32, others: u32, light: Capacity, heavy: Capacity) {
    let now = Instant::now();
    let admission = admission_with_samples(&[others, others], now);
    assert_eq!(admission.capacity(&local(open, now), LIGHT, now), light);
    assert_eq!(admission.capacity(&local(open, now), HEAVY, now), heavy);
}

/// Whether at some load only the lighter class is shed, and at none only the heavier one.
fn sheds_lighter_first(capacity: impl Fn(u32, u32) -> Capacity) -> bool {
    let is_full = |open, weight| matches!(capacity(open, weight), Capacity::Full(_));
    let only = |shed, kept| (0..=100).any(|open| is_full(open, shed) && !is_full(open, kept));
    only(LIGHT, HEAVY) && !only(HEAVY, LIGHT)
}

/// Control: variants that ignore or swap the class weights violate the check.
#[test]
fn naive_fails() {
    let now = Instant::now();
    let capacity = |open, weight| {
        admission_with_samples(&[open], now).capacity(&local(open, now), weight, now)
    };
    assert!(sheds_lighter_first(capacity));
    assert!(!sheds_lighter_first(|open, _| capacity(open, HEAVY)));
    assert!(!sheds_lighter_first(|open, weight| capacity(
        open,
        HEAVY + LIGHT - weight
    )));
}

/// Guards against an overloaded server that accepts more flows while others are idle, and against
/// passing on the first flows of an idle service.
#[parameterized(
    idle = { 3, &[0, 0], Capacity::Available },
    even = { 40, &[40, 40], Capacity::Available },
    over = { 60, &[40, 40], Capacity::OverShare },
    alone = { 60, &[], Capacity::Available },
)]
fn bound_holds(open: u32, others: &[u32], capacity: Capacity) {
    let now = Instant::now();
    assert_eq!(
        admission_with_samples(others, now).capacity(&local(open, now), HEAVY, now),
        capacity
    );
}

/// Guards against the use of old samples: a member that no longer answers must not count as idle.
#[test]
fn samples_expire() {
    let now = Instant::now();
    let admission = admission_with_samples(&[0, 0], now);
    let late = now + Duration::from_secs(10);
    assert_eq!(
        admission.capacity(&local(60, now), HEAVY, now),
        Capacity::OverShare
    );
    assert_eq!(
        admission.capacity(&local(60, now), HEAVY, late),
        Capacity::Available
    );
}

/// Guards against a server whose full limit applies right after its start.
#[parameterized(start = { 0, 10 }, half = { 15, 55 }, end = { 30, 100 }, later = { 60, 100 })]
fn cold_start(seconds: u64, limit: u32) {
    let now = Instant::now();
    let cold = LocalServer {
        cold_start: Duration::from_secs(30),
        ..local(0, now)
    };
    let later = now + Duration::from_secs(seconds);
    assert_eq!(Admission::default().flow_limit(&cold, later), limit);
}

/// Guards against trusting a wrong load endpoint: a report lowers the limit and never raises it.
#[parameterized(
    zero = { 0, None, 100 },
    raising = { 0, Some(500), 100 },
    lowering = { 0, Some(30), 30 },
    more_open = { 70, None, 80 },
)]
fn report_lowers(open: u32, limit: Option<u32>, expected: u32) {
    let now = Instant::now();
    let mut admission = Admission::default();
    admission.record_report(
        LoadReport {
            open,
            limit: limit.map(Connections),
        },
        now,
    );
    assert_eq!(admission.flow_limit(&local(50, now), now), expected);
    let late = now + Duration::from_secs(10);
    assert_eq!(admission.flow_limit(&local(50, now), late), 100);
}

/// Guards against measuring load by open flows alone: a few busy flows can overload a server that
/// has fewer open flows than the others.
#[parameterized(even = { 100, Capacity::Available }, busy = { 120, Capacity::OverShare })]
fn activity_bounds(activity: u32, capacity: Capacity) {
    let now = Instant::now();
    let load = |open, activity| Load { open, activity };
    let mut admission = Admission::default();
    for index in 0..6 {
        let sample = Sample {
            load: load(40, 100),
            slots: Slots(4),
            connections: Connections(100),
            taken_at: now,
        };
        admission.record_sample(format!("m{index}").parse().unwrap(), sample);
    }
    let local = LocalServer {
        load: load(30, activity),
        ..local(0, now)
    };
    assert_eq!(admission.capacity(&local, HEAVY, now), capacity);
}

/// Guards against an activity that follows the count of a single second instead of its average.
#[test]
fn activity_averages() {
    let mut load = Load::default();
    let counts = FlowCounts {
        open: 20,
        active: 16,
    };
    load.record_second(counts);
    assert_eq!(
        load.activity,
        16 * ACTIVITY_UNITS_PER_FLOW / ACTIVITY_AVERAGE_SECONDS
    );
    (0..40).for_each(|_| load.record_second(counts));
    assert!(
        load.activity > 15 * ACTIVITY_UNITS_PER_FLOW,
        "{}",
        load.activity
    );
    assert_eq!(load.open, 20);
}

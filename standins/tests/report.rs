//! Tests of the figures computed from the logs.

use std::time::{Duration, Instant};

use flamingofall_standins::effect::{self, Effect};
use flamingofall_standins::occupancy::{self, Timeline};
use flamingofall_standins::report::{imbalance, Report};
use flamingofall_standins::server::Counts;
use yare::parameterized;

const SECOND: Duration = Duration::from_secs(1);

/// Creates a timeline. `changes` and `ended` are in seconds after `start`.
fn timeline(start: Instant, changes: &[(u32, u32)], ended: Option<u32>) -> Timeline {
    Timeline {
        server: "a".to_owned(),
        service: "portal".to_owned(),
        slots: 4,
        changes: changes
            .iter()
            .map(|(second, occupied)| (start + SECOND * *second, *occupied))
            .collect(),
        ended: ended.map(|second| start + SECOND * second),
    }
}

// Guards against an average that hides a short imbalance, or that includes idle time or ended
// servers. Each case has the changes of two servers, the end of the second, and the expected
// imbalance over 10 s.
#[parameterized(
    equal = { &[(0, 2)], &[(0, 2)], None, Some(1.0) },
    one_sided = { &[(0, 4)], &[(0, 0)], None, Some(2.0) },
    half_time = { &[(0, 1), (5, 2)], &[(0, 1), (5, 0)], None, Some(1.5) },
    idle_left_out = { &[(0, 0), (8, 2)], &[(0, 0), (8, 2)], None, Some(1.0) },
    idle = { &[(0, 0)], &[(0, 0)], None, None },
    ended = { &[(0, 2)], &[(0, 0)], Some(5), Some(1.5) },
)]
fn weighted_imbalance(
    first: &[(u32, u32)],
    second: &[(u32, u32)],
    ended: Option<u32>,
    expected: Option<f64>,
) {
    let start = Instant::now();
    let first = timeline(start, first, None);
    let second = timeline(start, second, ended);
    let measured = imbalance(&[&first, &second], start + SECOND * 10);
    assert_eq!(
        measured.map(|value| (value * 1e6).round()),
        expected.map(|value| (value * 1e6).round())
    );
}

/// Guards against duplicate effects of a request that are not counted.
#[test]
fn duplicate_effects() {
    let effects = effect::Log::new();
    for request in ["1", "2", "2", "2"] {
        effects.push(Effect {
            request: request.to_owned(),
            server: "a".to_owned(),
            service: "portal".to_owned(),
            at: Instant::now(),
        });
    }
    let counts = Counts {
        misdelivered: 3,
        ..Counts::default()
    };
    let report = Report::new(&[], &[counts], &effects, &occupancy::Log::new());
    assert_eq!((report.effects, report.duplicate_effects), (4, 2));
    assert_eq!(report.misdelivered_packets, 3);
    assert_eq!(
        serde_json::from_str::<Report>(&report.json()).unwrap(),
        report
    );
    assert!(report.to_string().contains("duplicate effects"));
}

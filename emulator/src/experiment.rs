//! Parallel runs with several seeds, and their aggregated results.

use std::fmt;
use std::num::NonZeroUsize;
use std::ops::Range;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

use hdrhistogram::Histogram;

use crate::report::Report;
use crate::scenario::Scenario;
use crate::simulation;

/// Runs a scenario with each seed; the reports are in the order of the seeds.
pub fn simulate_seeds(
    scenario: &Scenario,
    seeds: Range<u64>,
    threads: NonZeroUsize,
) -> Vec<Report> {
    let seeds: Vec<u64> = seeds.collect();
    run_parallel(&seeds, threads, |seed| {
        simulation::simulate(scenario.clone(), *seed)
    })
}

/// Calls `job` for each input on several threads; the reports are in the order of the inputs.
pub fn run_parallel<T: Sync>(
    inputs: &[T],
    threads: NonZeroUsize,
    job: impl Fn(&T) -> Report + Sync,
) -> Vec<Report> {
    let next = AtomicUsize::new(0);
    let done = Mutex::new(Vec::with_capacity(inputs.len()));
    std::thread::scope(|scope| {
        for _ in 0..threads.get().min(inputs.len()) {
            scope.spawn(|| loop {
                let index = next.fetch_add(1, Ordering::Relaxed);
                let Some(input) = inputs.get(index) else {
                    return;
                };
                let report = job(input);
                let mut done = done.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
                done.push((index, report));
            });
        }
    });
    let mut done = done
        .into_inner()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    done.sort_by_key(|(index, _)| *index);
    done.into_iter().map(|(_, report)| report).collect()
}

/// Sums the served and failed requests of each second over all reports.
pub fn sum_per_second(reports: &[Report]) -> Vec<(u64, u64)> {
    let mut sums = Vec::new();
    for report in reports {
        for (second, (served, failed)) in report.per_second.iter().enumerate() {
            if sums.len() <= second {
                sums.resize(second + 1, (0, 0));
            }
            sums[second].0 += served;
            sums[second].1 += failed;
        }
    }
    sums
}

/// The aggregated results of several runs of one scenario; a line of the table that `sweep` and
/// `compare` print.
#[derive(Clone, Debug)]
pub struct Total {
    /// Share of the ended requests that was served, from 0 to 1.
    pub served: f64,
    /// Lowest share that was served among the requests started in one second of any run.
    pub worst_second: f64,
    /// Latency of served requests in microseconds.
    pub latency: Histogram<u64>,
    /// Messages between balancers and agents for each request started.
    pub messages: f64,
    /// Number of calls to the directory in all runs.
    pub calls: u64,
    /// Number of violations in all reports.
    pub violations: usize,
}

impl Total {
    /// Header line of the table, aligned with the columns of [`Total`]'s text.
    pub const HEADER: &'static str =
        "served worst_second  p50_ms  p99_ms messages/request   calls broken";

    /// Aggregates the reports of several runs.
    pub fn of(reports: &[Report]) -> Self {
        let mut latency = Report::new().latency;
        for report in reports {
            // Adding fails only if the histograms have different limits; those of reports don't.
            let _ = latency.add(&report.latency);
        }
        let sum = |value: fn(&Report) -> u64| reports.iter().map(value).sum::<u64>();
        let (served, failed) = (sum(|r| r.served), sum(|r| r.failed));
        let worst = reports
            .iter()
            .flat_map(|report| &report.per_second)
            .filter(|(served, failed)| served + failed > 0)
            .map(|(served, failed)| *served as f64 / (served + failed) as f64);
        Self {
            served: served as f64 / (served + failed).max(1) as f64,
            worst_second: worst.fold(1.0, f64::min),
            latency,
            messages: sum(|r| r.messages) as f64 / sum(|r| r.asked).max(1) as f64,
            calls: sum(|r| r.calls),
            violations: reports.iter().map(|report| report.violations.len()).sum(),
        }
    }
}

impl fmt::Display for Total {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ms = |quantile| self.latency.value_at_quantile(quantile) as f64 / 1000.0;
        write!(
            f,
            "{:6.4} {:12.4} {:7.1} {:7.1} {:16.2} {:7} {:6}",
            self.served,
            self.worst_second,
            ms(0.5),
            ms(0.99),
            self.messages,
            self.calls,
            self.violations
        )
    }
}

//! The results of a run.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::check::Violation;

/// Outcomes of requests and violations in one run.
#[derive(Debug)]
pub struct Report {
    /// Number of requests that clients started.
    pub asked: u64,
    /// Number of requests that were answered within their deadline.
    pub served: u64,
    /// Number of requests that were refused or got no answer.
    pub failed: u64,
    /// Time from the start of a served request to its answer, in microseconds.
    pub latency: Histogram<u64>,
    /// Number of opening packets that reached a server, with retransmissions.
    pub openings: u64,
    /// Number of packets of open flows that reached other servers than their own. Only the soak counts
    /// these.
    pub astray: u64,
    /// Violations with their times, at most [`Report::VIOLATIONS_MAX`].
    pub violations: Vec<String>,
    /// Number of messages sent between balancers and agents, lost ones included.
    pub messages: u64,
    /// Number of calls to the directory.
    pub calls: u64,
    /// Number of running agents whose record the directory doesn't have at the end.
    pub records_missing: usize,
    /// Served and failed requests, by the second of the traffic in which they were started.
    pub per_second: Vec<(u64, u64)>,
    /// Log lines of all balancers and agents, if the run keeps them.
    pub log_lines: Vec<String>,
}

/// The figures of a report that a run prints, also as JSON.
#[derive(Debug, Serialize)]
pub struct Summary {
    /// Number of requests that clients started.
    pub asked: u64,
    /// Share of the ended requests that was served, from 0 to 1.
    pub served: f64,
    /// Median latency of served requests in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of served requests in milliseconds.
    pub p99_ms: f64,
    /// Number of violations kept in the report. The key in JSON is `broken`.
    #[serde(rename = "broken")]
    pub violations: usize,
    /// Number of messages sent between balancers and agents, lost ones included.
    pub messages: u64,
    /// Number of calls to the directory.
    pub calls: u64,
}

/// Longest latency recorded, in microseconds; longer ones count as this value. Requests end at
/// their deadline, 2 s by default.
const LATENCY_MAX_US: u64 = 60_000_000;

impl Report {
    /// Number of violations that a report keeps; further ones are dropped.
    pub const VIOLATIONS_MAX: usize = 100;

    /// Creates an empty report.
    pub fn new() -> Self {
        Self {
            asked: 0,
            served: 0,
            failed: 0,
            latency: Histogram::new_with_max(LATENCY_MAX_US, 3).expect("valid limits"),
            openings: 0,
            astray: 0,
            violations: Vec::new(),
            messages: 0,
            calls: 0,
            records_missing: 0,
            per_second: Vec::new(),
            log_lines: Vec::new(),
        }
    }

    /// Records a violation at a time since the start of the run.
    pub fn record_violation(&mut self, at: Duration, violation: &Violation) {
        if self.violations.len() < Self::VIOLATIONS_MAX {
            self.violations
                .push(format!("{:.3} s: {violation}", at.as_secs_f64()));
        }
    }

    /// Records the end of a request that was started in this second of the traffic, with its
    /// latency if it was served.
    pub fn record_request(&mut self, start_second: usize, latency: Option<Duration>) {
        if self.per_second.len() <= start_second {
            self.per_second.resize(start_second + 1, (0, 0));
        }
        if let Some(latency) = latency {
            self.latency
                .saturating_record((latency.as_micros() as u64).max(1));
            self.served += 1;
            self.per_second[start_second].0 += 1;
        } else {
            self.failed += 1;
            self.per_second[start_second].1 += 1;
        }
    }

    /// Share of the ended requests that was served.
    pub fn served_share(&self) -> f64 {
        self.served as f64 / (self.served + self.failed).max(1) as f64
    }

    /// Computes the figures that a run prints.
    pub fn summary(&self) -> Summary {
        let ms = |quantile| self.latency.value_at_quantile(quantile) as f64 / 1000.0;
        Summary {
            asked: self.asked,
            served: self.served_share(),
            p50_ms: ms(0.5),
            p99_ms: ms(0.99),
            violations: self.violations.len(),
            messages: self.messages,
            calls: self.calls,
        }
    }
}

impl Default for Report {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let summary = self.summary();
        write!(
            f,
            "asked={} served={:.4} failed={} p50_ms={:.1} p99_ms={:.1} broken={} messages={} \
             calls={}",
            summary.asked,
            summary.served,
            self.failed,
            summary.p50_ms,
            summary.p99_ms,
            summary.violations,
            summary.messages,
            summary.calls
        )
    }
}

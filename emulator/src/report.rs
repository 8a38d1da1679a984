//! What a run showed.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::check::Violation;

/// Outcomes of requests and broken guarantees.
#[derive(Debug)]
pub struct Report {
    /// Requests asked.
    pub asked: u64,
    /// Answered within the deadline.
    pub served: u64,
    /// Refused or without an answer.
    pub failed: u64,
    /// Time to the answer in microseconds.
    pub latency: Histogram<u64>,
    /// Opening packets that reached a server.
    pub openings: u64,
    /// Broken guarantees, at most [`Report::VIOLATIONS_MAX`].
    pub violations: Vec<String>,
    /// Messages between balancers and agents.
    pub messages: u64,
    /// Calls to the directory.
    pub calls: u64,
    /// Served and failed requests by the second in which they were asked.
    pub per_second: Vec<(u64, u64)>,
    /// Log lines of all processes, if they were asked for.
    pub log_lines: Vec<String>,
}

/// A report as JSON.
#[derive(Debug, Serialize)]
pub struct Summary {
    /// Requests asked.
    pub asked: u64,
    /// Share that was served.
    pub served: f64,
    /// Median latency in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency in milliseconds.
    pub p99_ms: f64,
    /// Broken guarantees.
    #[serde(rename = "broken")]
    pub violations: usize,
    /// Messages between balancers and agents.
    pub messages: u64,
    /// Calls to the directory.
    pub calls: u64,
}

/// Longest latency recorded in microseconds: beyond any deadline.
const LATENCY_MAX_US: u64 = 60_000_000;

impl Report {
    /// Broken guarantees that are kept.
    pub const VIOLATIONS_MAX: usize = 100;

    /// An empty report.
    pub fn new() -> Self {
        Self {
            asked: 0,
            served: 0,
            failed: 0,
            latency: Histogram::new_with_max(LATENCY_MAX_US, 3).expect("valid limits"),
            openings: 0,
            violations: Vec::new(),
            messages: 0,
            calls: 0,
            per_second: Vec::new(),
            log_lines: Vec::new(),
        }
    }

    /// Records a broken guarantee.
    pub fn record_violation(&mut self, at: Duration, violation: &Violation) {
        if self.violations.len() < Self::VIOLATIONS_MAX {
            self.violations
                .push(format!("{:.3} s: {violation}", at.as_secs_f64()));
        }
    }

    /// Records the end of a request that was asked in this second; `latency` if it was served.
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

    /// The figures.
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

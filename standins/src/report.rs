//! What the logs of a run amount to.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::caller::{Outcome, Record};
use crate::effect;
use crate::occupancy::{self, Timeline};
use crate::server::Counts;

/// The figures of one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Flows that callers opened.
    pub flows: u64,
    /// Flows that got an answer.
    pub established: u64,
    /// Established connections that were lost.
    pub broken: u64,
    /// Flows refused before anything was delivered.
    pub refused: u64,
    /// Flows that were never answered.
    pub unanswered_flows: u64,
    /// Requests that callers sent.
    pub requests: u64,
    /// Answers that were complete and correct.
    pub answers: u64,
    /// Answers with wrong bytes.
    pub corrupt: u64,
    /// Answers to a request of another flow.
    pub foreign: u64,
    /// Requests without an answer.
    pub unanswered: u64,
    /// Packets that reached a server of another service.
    pub misdelivered_packets: u64,
    /// Answers that came from a server of another service.
    pub misdelivered_answers: u64,
    /// Effects of requests.
    pub effects: u64,
    /// Effects beyond the first of each request.
    pub duplicate_effects: u64,
    /// Imbalance by service; services without occupied slots are left out.
    pub imbalance: BTreeMap<String, f64>,
}

impl Report {
    /// Counts what the logs contain. Imbalance is measured up to now.
    pub fn new(
        records: &[Record],
        servers: &[Counts],
        effects: &effect::Log,
        occupancy: &occupancy::Log,
    ) -> Self {
        let mut report = Self::default();
        for record in records {
            report.add(record);
        }
        report.misdelivered_packets = servers.iter().map(|counts| counts.misdelivered).sum();
        report.effects = effects.entries().len() as u64;
        report.duplicate_effects = effects
            .duplicates()
            .values()
            .map(|effects| effects.len() as u64 - 1)
            .sum();
        report.imbalance = imbalances(&occupancy.timelines(), Instant::now());
        report
    }

    fn add(&mut self, record: &Record) {
        self.flows += 1;
        self.established += u64::from(record.established.is_some());
        self.broken += u64::from(record.is_broken());
        self.refused += u64::from(record.outcome == Outcome::Refused);
        let unanswered = record.outcome == Outcome::TimedOut && record.established.is_none();
        self.unanswered_flows += u64::from(unanswered);
        self.requests += u64::from(record.requests);
        self.answers += u64::from(record.answers);
        self.corrupt += u64::from(record.corrupt);
        self.foreign += u64::from(record.foreign);
        self.unanswered += u64::from(record.unanswered);
        self.misdelivered_answers += u64::from(record.misdelivered);
    }

    /// The figures as one line of JSON.
    pub fn json(&self) -> String {
        serde_json::to_string(self).expect("the report has string keys")
    }

    fn labelled_counts(&self) -> [(&'static str, u64); 14] {
        [
            ("flows", self.flows),
            ("established", self.established),
            ("broken", self.broken),
            ("refused", self.refused),
            ("unanswered flows", self.unanswered_flows),
            ("requests", self.requests),
            ("answers", self.answers),
            ("corrupt", self.corrupt),
            ("foreign", self.foreign),
            ("unanswered", self.unanswered),
            ("misdelivered packets", self.misdelivered_packets),
            ("misdelivered answers", self.misdelivered_answers),
            ("effects", self.effects),
            ("duplicate effects", self.duplicate_effects),
        ]
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, count) in self.labelled_counts() {
            writeln!(f, "{name:<28}{count:>12}")?;
        }
        for (service, imbalance) in &self.imbalance {
            let name = format!("imbalance {service}");
            writeln!(f, "{name:<28}{imbalance:>12.3}")?;
        }
        Ok(())
    }
}

/// Imbalance of each service up to `end`.
pub fn imbalances(timelines: &[Timeline], end: Instant) -> BTreeMap<String, f64> {
    let mut by_service: BTreeMap<&str, Vec<&Timeline>> = BTreeMap::new();
    for timeline in timelines {
        by_service
            .entry(&timeline.service)
            .or_default()
            .push(timeline);
    }
    by_service
        .into_iter()
        .filter_map(|(service, timelines)| {
            imbalance(&timelines, end).map(|value| (service.to_owned(), value))
        })
        .collect()
}

/// Maximum over mean of the servers' shares of occupied slots, averaged over time.
///
/// With servers of the same size this is the maximum over the mean of the occupied slots. Only
/// servers that are running count, and time without any occupied slot is left out; `None` if
/// there is no other time. 1 is perfect balance.
pub fn imbalance(timelines: &[&Timeline], end: Instant) -> Option<f64> {
    let mut transitions: Vec<(Instant, usize, Option<u32>)> = Vec::new();
    for (index, timeline) in timelines.iter().enumerate() {
        let changes = timeline.changes.iter();
        transitions.extend(changes.map(|(at, occupied)| (*at, index, Some(*occupied))));
        transitions.extend(timeline.ended.map(|at| (at, index, None)));
    }
    // Stable: changes of one server at the same instant keep their order.
    transitions.sort_by_key(|(at, _, _)| *at);
    let mut shares: Vec<Option<f64>> = vec![None; timelines.len()];
    let mut weighted = 0.0;
    let mut total = Duration::ZERO;
    for (position, (at, index, occupied)) in transitions.iter().enumerate() {
        let slots = f64::from(timelines[*index].slots.max(1));
        shares[*index] = occupied.map(|occupied| f64::from(occupied) / slots);
        let until = transitions
            .get(position + 1)
            .map_or(end, |(at, _, _)| *at)
            .min(end);
        let duration = until.saturating_duration_since(*at);
        if let Some(ratio) = max_over_mean(&shares) {
            weighted += ratio * duration.as_secs_f64();
            total += duration;
        }
    }
    (!total.is_zero()).then(|| weighted / total.as_secs_f64())
}

/// Maximum over mean of the shares of running servers.
fn max_over_mean(shares: &[Option<f64>]) -> Option<f64> {
    let running: Vec<f64> = shares.iter().copied().flatten().collect();
    let sum: f64 = running.iter().sum();
    let max = running.iter().copied().fold(0.0, f64::max);
    (sum > 0.0).then(|| max * running.len() as f64 / sum)
}

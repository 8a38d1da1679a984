//! Summary figures of a test run, computed from its logs.

use std::collections::BTreeMap;
use std::fmt;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::caller::{Outcome, Record};
use crate::effect;
use crate::occupancy::{self, Timeline};
use crate::server::Counts;

/// Summary figures of one test run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Flows that callers opened.
    pub flows: u64,
    /// Flows that were established: the server answered.
    pub established: u64,
    /// Established TCP connections that were reset, closed by the other side or timed out.
    pub broken: u64,
    /// Flows refused before any data was delivered: by a reset or ICMP unreachable.
    pub refused: u64,
    /// Flows that timed out without any answer.
    pub unanswered_flows: u64,
    /// Requests that callers sent.
    pub requests: u64,
    /// Complete answers with the expected bytes.
    pub answers: u64,
    /// Complete answers with wrong bytes or a wrong length.
    pub corrupt: u64,
    /// Answers to requests that the flow had not sent.
    pub foreign: u64,
    /// Requests that were not answered in time and not later either.
    pub unanswered: u64,
    /// Packets that reached a server whose service does not have the destination address.
    pub misdelivered_packets: u64,
    /// Answers from a service other than the one that the caller expected.
    pub misdelivered_answers: u64,
    /// Side effects of requests, including duplicates.
    pub effects: u64,
    /// Side effects beyond the first one of each request.
    pub duplicate_effects: u64,
    /// Imbalance by service, see [`imbalance`]; services that never had an occupied slot are left
    /// out.
    pub imbalance: BTreeMap<String, f64>,
}

impl Report {
    /// Computes the figures from the callers' records, the servers' counters and the shared logs.
    /// Imbalance is measured up to now.
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

    /// Formats the figures as one line of JSON.
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

/// Computes the [`imbalance`] of each service up to `end`, by service name.
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

/// Computes the time-weighted average of the ratio between the highest and the mean utilisation of
/// a service's servers. 1 is perfect balance.
///
/// Utilisation is the fraction of a server's slots that are occupied. Only running servers count.
/// Time without any occupied slot is left out; `None` if no other time remains.
pub fn imbalance(timelines: &[&Timeline], end: Instant) -> Option<f64> {
    let mut transitions: Vec<(Instant, usize, Option<u32>)> = Vec::new();
    for (index, timeline) in timelines.iter().enumerate() {
        let changes = timeline.changes.iter();
        transitions.extend(changes.map(|(at, occupied)| (*at, index, Some(*occupied))));
        transitions.extend(timeline.ended.map(|at| (at, index, None)));
    }
    // The sort is stable, so changes of one server at the same instant keep their order.
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

/// Ratio of the maximum to the mean share of running servers; `None` if no slot is occupied.
/// Servers that are not running have no share.
fn max_over_mean(shares: &[Option<f64>]) -> Option<f64> {
    let running: Vec<f64> = shares.iter().copied().flatten().collect();
    let sum: f64 = running.iter().sum();
    let max = running.iter().copied().fold(0.0, f64::max);
    (sum > 0.0).then(|| max * running.len() as f64 / sum)
}

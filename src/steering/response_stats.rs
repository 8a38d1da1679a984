//! Response times and failures of a server, measured by its agent, and outlier detection among the
//! servers of a service.
//!
//! A server that fails although it reports itself as healthy answers much faster than the others
//! (it returns errors), answers much slower, or ends flows without an answer.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Outcomes older than this don't count, so an ejected server is tried again after this time.
const WINDOW: Duration = Duration::from_secs(3);
/// Maximum number of outcomes kept, which bounds the memory use for a busy server.
const OUTCOMES_MAX: usize = 64;
/// Minimum number of outcomes for a result.
const OUTCOMES_MIN: usize = 8;
/// A server is an outlier if its mean response time differs from the median of its service by more
/// than this factor. Cold servers and uneven load stay well below it.
const OUTLIER_FACTOR: u32 = 4;
/// A server is an outlier if its share of requests that end without an answer exceeds the median
/// share by more than this.
const FAILED_EXCESS_PERMILLE: u32 = 300;
/// Minimum number of servers with results in a service for a comparison.
const COMPARED_SERVERS_MIN: usize = 3;
/// At most one in this many ready servers of a service is marked as an outlier.
const EJECTED_ONE_IN: usize = 3;

/// Recent response times and failures of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseStats {
    /// Mean time from a request to the first byte of its answer.
    pub mean: Duration,
    /// Share of requests that ended without an answer, in thousandths.
    pub failed: u32,
}

/// Collects the outcomes of the recent requests to one server.
#[derive(Clone, Debug, Default)]
pub struct ResponseMeter {
    /// When each request ended, and its response time if it had an answer; oldest first.
    outcomes: VecDeque<(Instant, Option<Duration>)>,
}

impl ResponseMeter {
    /// Records the response time of a request, or `None` if its flow ended without an answer.
    pub fn record(&mut self, answer: Option<Duration>, now: Instant) {
        if self.outcomes.len() == OUTCOMES_MAX {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((now, answer));
    }

    /// Summarises the recent outcomes, if there are enough.
    pub fn stats(&mut self, now: Instant) -> Option<ResponseStats> {
        let old = |at: Instant| now.saturating_duration_since(at) > WINDOW;
        while self.outcomes.front().is_some_and(|(at, _)| old(*at)) {
            self.outcomes.pop_front();
        }
        let count = self.outcomes.len();
        if count < OUTCOMES_MIN {
            return None;
        }
        let answers: Vec<Duration> = self.outcomes.iter().filter_map(|(_, time)| *time).collect();
        let total: Duration = answers.iter().sum();
        Some(ResponseStats {
            mean: total / answers.len().max(1) as u32,
            failed: ((count - answers.len()) * 1000 / count) as u32,
        })
    }

    /// Removes all outcomes, which a new server process must not inherit.
    pub fn clear(&mut self) {
        self.outcomes.clear();
    }
}

/// Returns which servers of one service are outliers, in the order of `all_stats`. `ready` is the
/// number of servers that take new flows, including those without results.
pub fn outliers(all_stats: &[Option<ResponseStats>], ready: usize) -> Vec<bool> {
    let mut flags = vec![false; all_stats.len()];
    if all_stats.iter().flatten().count() < COMPARED_SERVERS_MIN {
        return flags;
    }
    let mean = median(all_stats.iter().flatten().map(|stats| stats.mean));
    let failed = median(all_stats.iter().flatten().map(|stats| stats.failed));
    let is_outlier = |stats: &ResponseStats| {
        stats.failed > failed.saturating_add(FAILED_EXCESS_PERMILLE)
            || stats.mean.saturating_mul(OUTLIER_FACTOR) < mean
            || stats.mean > mean.saturating_mul(OUTLIER_FACTOR)
    };
    let mut ejections_left = ready / EJECTED_ONE_IN;
    for (index, stats) in all_stats.iter().enumerate() {
        if ejections_left > 0 && stats.as_ref().is_some_and(is_outlier) {
            flags[index] = true;
            ejections_left -= 1;
        }
    }
    flags
}

fn median<T: Copy + Ord + Default>(values: impl Iterator<Item = T>) -> T {
    let mut values: Vec<T> = values.collect();
    values.sort_unstable();
    values.get(values.len() / 2).copied().unwrap_or_default()
}

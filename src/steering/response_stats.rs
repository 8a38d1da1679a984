//! How a server answers, measured beside it and compared with the other servers of its service.
//!
//! A server that fails while it reports itself healthy answers much faster than the others (it
//! returns errors), much slower, or ends flows instead of answering.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Outcomes older than this don't count: a server that gets no new flows is tried again then.
const WINDOW: Duration = Duration::from_secs(3);
/// Outcomes kept, which bounds the memory of a busy server's meter.
const OUTCOMES_MAX: usize = 64;
/// Outcomes below which nothing is said about a server.
const OUTCOMES_MIN: usize = 8;
/// A server is an outlier if its mean time differs from the median of the service's servers by
/// this factor. Cold servers and uneven load stay well below it.
const OUTLIER_FACTOR: u32 = 4;
/// A server is an outlier if the share of requests that it ends without an answer exceeds the
/// median share by this, in thousandths.
const FAILED_EXCESS_PERMILLE: u32 = 300;
/// Servers of one service below which none is compared with the others.
const COMPARED_SERVERS_MIN: usize = 3;
/// At most one in this many servers of a service is left out.
const EJECTED_ONE_IN: usize = 3;

/// How a server has answered lately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResponseStats {
    /// Mean time from a request to the first byte of its answer.
    pub mean: Duration,
    /// Requests that ended without an answer, in thousandths.
    pub failed: u32,
}

/// Measures the pace of one server.
#[derive(Clone, Debug, Default)]
pub struct ResponseMeter {
    /// When a request ended, and the time to its answer if it had one. Oldest first.
    outcomes: VecDeque<(Instant, Option<Duration>)>,
}

impl ResponseMeter {
    /// Records an answer, or the end of a flow whose request had none.
    pub fn record(&mut self, answer: Option<Duration>, now: Instant) {
        if self.outcomes.len() == OUTCOMES_MAX {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back((now, answer));
    }

    /// The pace of late, if there were enough outcomes.
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

    /// Forgets everything, for a new server.
    pub fn clear(&mut self) {
        self.outcomes.clear();
    }
}

/// Which servers of one service are outliers, in the order of their paces. `ready` is the number
/// of servers that take new flows, including those without a pace.
pub fn outliers(all_stats: &[Option<ResponseStats>], ready: usize) -> Vec<bool> {
    let mut flags = vec![false; all_stats.len()];
    if all_stats.iter().flatten().count() < COMPARED_SERVERS_MIN {
        return flags;
    }
    let mean = median(all_stats.iter().flatten().map(|stats| stats.mean));
    let failed = median(all_stats.iter().flatten().map(|stats| stats.failed));
    let is_outlier = |stats: &ResponseStats| {
        stats.failed > failed + FAILED_EXCESS_PERMILLE
            || stats.mean * OUTLIER_FACTOR < mean
            || stats.mean > mean * OUTLIER_FACTOR
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

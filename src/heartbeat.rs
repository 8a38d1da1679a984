//! Agent side of the heartbeat protocol: when to send a heartbeat to which collector, and the
//! lease.
//!
//! An agent may decide flows only while it holds a lease, which each answered heartbeat renews. The
//! lease ends before a collector declares the agent down, so that no two members decide the same
//! flows.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Interval between heartbeats while all of them are answered.
pub const INTERVAL: Duration = Duration::from_secs(1);
/// Time after which another heartbeat is sent if one is unanswered, so that one lost datagram
/// doesn't end the lease.
pub const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time since the last answered heartbeat after which the agent switches to the next collector.
pub const FAILOVER_TIMEOUT: Duration = Duration::from_secs(1);
/// Duration of a lease, from the time at which the answered heartbeat was sent.
pub const LEASE_DURATION: Duration = Duration::from_secs(2);
/// Time after a member's last heartbeat at which a collector declares it down. Same value as
/// [`collector::DOWN_TIMEOUT`](crate::collector::DOWN_TIMEOUT).
pub const DOWN_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of unanswered heartbeats whose answers are still accepted.
const UNANSWERED_MAX: usize = 8;

/// Heartbeat to be sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Due {
    /// Control address of the collector.
    pub to: SocketAddr,
    /// Id of the heartbeat, which the answer repeats.
    pub id: u64,
    /// Whether the agent has just switched to this collector because the previous one didn't
    /// answer.
    pub collector_changed: bool,
}

/// Result of renewing the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// End of the lease that the answer grants.
    pub until: Instant,
    /// Whether the gap since the previous answered heartbeat was long enough for the member to be
    /// declared down.
    pub lapsed: bool,
}

/// Heartbeat schedule and lease of an agent.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    /// Initial collectors, from the settings.
    seeds: Vec<SocketAddr>,
    collectors: Vec<SocketAddr>,
    /// Index into `collectors`.
    current: usize,
    last_id: u64,
    next_due: Instant,
    started: Instant,
    /// Time at which the last answered heartbeat was sent.
    last_answered: Option<Instant>,
    /// Ids and send times, oldest first.
    unanswered: VecDeque<(u64, Instant)>,
    /// Invariant: at most [`LEASE_DURATION`] after `last_answered`.
    lease_until: Option<Instant>,
}

impl Heartbeat {
    /// Creates a schedule without a lease. `collectors` are the balancers from the settings, the
    /// preferred one first; the first heartbeat is due at `now`.
    pub fn new(collectors: Vec<SocketAddr>, now: Instant) -> Self {
        Self {
            seeds: collectors.clone(),
            collectors,
            current: 0,
            last_id: 0,
            next_due: now,
            started: now,
            last_answered: None,
            unanswered: VecDeque::new(),
            lease_until: None,
        }
    }

    /// Returns whether the lease is valid at `now`.
    #[inline]
    pub fn is_leased(&self, now: Instant) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }

    /// Ends the lease, for example after the process was paused. Answers to heartbeats that were
    /// sent before are ignored.
    pub fn end_lease(&mut self) {
        self.lease_until = None;
        self.unanswered.clear();
    }

    /// Makes the next heartbeat due at `now`.
    pub fn schedule_now(&mut self, now: Instant) {
        self.next_due = now;
    }

    /// Delays the next heartbeat by [`RETRY_DELAY`], to leave time for the answer to the one that
    /// was just sent.
    pub fn defer(&mut self, now: Instant) {
        self.next_due = now + RETRY_DELAY;
    }

    /// Replaces the list of collectors unless `collectors` is empty. The current collector stays
    /// selected if it is in the new list.
    ///
    /// The balancers from the settings are appended, because all collectors of a failure domain can
    /// fail before an answer lists their replacements.
    pub fn set_collectors(&mut self, mut collectors: Vec<SocketAddr>) {
        if collectors.is_empty() {
            return;
        }
        for seed in &self.seeds {
            if !collectors.contains(seed) {
                collectors.push(*seed);
            }
        }
        if collectors == self.collectors {
            return;
        }
        let current = self.collectors.get(self.current);
        let index = collectors.iter().position(|to| Some(to) == current);
        self.current = index.unwrap_or(0);
        self.collectors = collectors;
    }

    /// Returns the heartbeat to send at `now`, if one is due, and schedules the next one.
    pub fn due(&mut self, now: Instant) -> Option<Due> {
        if now < self.next_due || self.collectors.is_empty() {
            return None;
        }
        let silent = now.saturating_duration_since(self.last_answered.unwrap_or(self.started));
        let overdue =
            |(_, sent): &(u64, Instant)| now.saturating_duration_since(*sent) >= RETRY_DELAY;
        let collector_changed =
            self.unanswered.front().is_some_and(overdue) && silent > FAILOVER_TIMEOUT;
        if collector_changed {
            self.current = (self.current + 1) % self.collectors.len();
        }
        self.last_id += 1;
        self.unanswered.push_back((self.last_id, now));
        if self.unanswered.len() > UNANSWERED_MAX {
            self.unanswered.pop_front();
        }
        self.next_due = now + RETRY_DELAY;
        Some(Due {
            to: self.collectors[self.current],
            id: self.last_id,
            collector_changed,
        })
    }

    /// Handles the answer to heartbeat `id`. Returns the time at which that heartbeat was sent, or
    /// `None` if it isn't waiting for an answer.
    pub fn on_ack(&mut self, id: u64) -> Option<Instant> {
        let index = self.unanswered.iter().position(|(sent, _)| *sent == id)?;
        let (_, sent) = self.unanswered[index];
        self.unanswered.drain(..=index);
        if self.unanswered.is_empty() {
            self.next_due = self.next_due.max(sent + INTERVAL);
        }
        Some(sent)
    }

    /// Renews the lease after the heartbeat sent at `sent` was answered.
    pub fn renew(&mut self, sent: Instant, now: Instant) -> Renewal {
        let lapsed = self
            .last_answered
            .is_some_and(|answered| now.saturating_duration_since(answered) >= DOWN_TIMEOUT);
        let until = sent + LEASE_DURATION;
        self.last_answered = self.last_answered.max(Some(sent));
        self.lease_until = self.lease_until.max(Some(until));
        Renewal { until, lapsed }
    }
}

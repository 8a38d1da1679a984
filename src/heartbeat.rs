//! The agent's side of heartbeats: when to send to which collector, and the lease.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time between heartbeats.
pub const INTERVAL: Duration = Duration::from_secs(1);
/// An unanswered heartbeat is repeated after this time, so that one lost datagram doesn't end the
/// lease.
pub const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time without an answer after which the next collector is tried.
pub const FAILOVER_TIMEOUT: Duration = Duration::from_secs(1);
/// Length of a lease from the send time of the answered heartbeat.
pub const LEASE_DURATION: Duration = Duration::from_secs(2);
/// A collector declares a member down this long after its last heartbeat.
pub const DOWN_TIMEOUT: Duration = Duration::from_secs(3);

const UNANSWERED_MAX: usize = 8;

/// A heartbeat that is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Due {
    /// The collector.
    pub to: SocketAddr,
    /// Number that the answer echoes.
    pub id: u64,
    /// The collector differs from the previous one.
    pub collector_changed: bool,
}

/// What an answer means for the lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// End of the lease.
    pub until: Instant,
    /// The member may have been declared down since the previous answered heartbeat.
    pub lapsed: bool,
}

/// Sends and answers of heartbeats.
#[derive(Clone, Debug)]
pub struct Heartbeat {
    /// The balancers of the settings.
    seeds: Vec<SocketAddr>,
    collectors: Vec<SocketAddr>,
    current: usize,
    last_id: u64,
    next_due: Instant,
    started: Instant,
    /// Send time of the last answered heartbeat.
    last_answered: Option<Instant>,
    unanswered: VecDeque<(u64, Instant)>,
    /// Invariant: at most [`LEASE_DURATION`] after `last_answered`.
    lease_until: Option<Instant>,
}

impl Heartbeat {
    /// Starts with these collectors, the preferred one first.
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

    /// Whether the lease is valid.
    #[inline]
    pub fn is_leased(&self, now: Instant) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }

    /// Ends the lease, for example after a pause.
    pub fn end_lease(&mut self) {
        self.lease_until = None;
        self.unanswered.clear();
    }

    /// Makes the next heartbeat due.
    pub fn schedule_now(&mut self, now: Instant) {
        self.next_due = now;
    }

    /// Puts the next heartbeat off until the one just sent can have been answered.
    pub fn defer(&mut self, now: Instant) {
        self.next_due = now + RETRY_DELAY;
    }

    /// Replaces the collectors, keeping the current one if it is still listed.
    ///
    /// The balancers of the settings stay at the end of the list: all collectors of a failure
    /// domain can die before an answer names their successors.
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

    /// The heartbeat to send at `now`, if one is due.
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

    /// Notes an answer. Returns the send time of the heartbeat that it answers.
    pub fn on_ack(&mut self, id: u64) -> Option<Instant> {
        let index = self.unanswered.iter().position(|(sent, _)| *sent == id)?;
        let (_, sent) = self.unanswered[index];
        self.unanswered.drain(..=index);
        if self.unanswered.is_empty() {
            self.next_due = self.next_due.max(sent + INTERVAL);
        }
        Some(sent)
    }

    /// Renews the lease because the heartbeat sent at `sent` was answered.
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

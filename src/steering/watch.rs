//! How long the balancers' watches of the configuration wait.
//!
//! The response to a watch may get lost on a connection that stays open, so that a watch without
//! news can't be told from one whose response is lost until its wait ends. A short wait at every
//! balancer would cost many calls. The waits of a fleet end one after the other instead: whatever
//! responses were lost, one balancer lists the configuration again within [`SLOT_LENGTH`] and tells
//! the others.

use std::time::Duration;

/// Longest time in which no wait of the fleet ends. A configuration has to be in force within three
/// seconds; the rest is left for the response's delay and for the digests to the peers.
pub const SLOT_LENGTH: Duration = Duration::from_secs(2);
/// Maximum number of slots. The balancers of larger fleets share slots.
const SLOTS_MAX: usize = 7;
/// Time in which a watch has to return a change that a peer has already reported.
pub const OVERTAKEN_AFTER: Duration = Duration::from_secs(1);

/// A balancer's place in the order in which the waits of the fleet end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slot {
    /// Position of the balancer among those that run, by their addresses. Less than `count`.
    rank: usize,
    /// Number of balancers that run, at least one.
    count: usize,
}

impl Slot {
    /// The slot of a balancer that has `before` peers in the order before it, and `after` behind it.
    pub fn between(before: usize, after: usize) -> Self {
        Self {
            rank: before,
            count: before + 1 + after,
        }
    }

    /// Wait of the first watch after a list or a change, at which the watches of all balancers begin
    /// at the same time.
    pub fn first_wait(self) -> Duration {
        SLOT_LENGTH * (self.rank % self.slots() + 1) as u32
    }

    /// Wait of a watch after one that has returned no change.
    pub fn next_wait(self) -> Duration {
        SLOT_LENGTH * self.slots() as u32
    }

    fn slots(self) -> usize {
        self.count.min(SLOTS_MAX)
    }
}

impl Default for Slot {
    /// The slot of a balancer without peers.
    fn default() -> Self {
        Self::between(0, 0)
    }
}

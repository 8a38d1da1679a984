//! Delays between the attempts of a call to the directory.
//!
//! Load pattern: all processes start at the same moment while the directory is down, for example
//! after a loss of power. With equal delays they would also ask at the same moments, so that none
//! notices the directory's return for a whole delay. Delays are therefore random: the first process
//! that reads the configuration gives it to the others.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::Rng;

/// Upper bound of the delay after the first failure. It doubles with each further failure, up to
/// [`DELAY_MAX`].
const DELAY_MIN: Duration = Duration::from_millis(100);
/// Upper bound of all delays, so that a directory that is reachable again is used within a second.
const DELAY_MAX: Duration = Duration::from_millis(800);

/// The delays of one call, from its first failure to its success.
#[derive(Debug)]
pub struct Backoff {
    /// Upper bound of the next delay.
    bound: Duration,
    random: SmallRng,
}

impl Backoff {
    /// Creates the delays of a call that hasn't failed yet. `random` must differ between processes.
    pub fn new(random: SmallRng) -> Self {
        Self {
            bound: DELAY_MIN,
            random,
        }
    }

    /// Returns the time to wait after a failure: between half of the bound and the bound.
    pub fn next_delay(&mut self) -> Duration {
        let delay = self.bound.mul_f64(self.random.random_range(0.5..=1.0));
        self.bound = (self.bound * 2).min(DELAY_MAX);
        delay
    }

    /// Begins again after a success.
    pub fn reset(&mut self) {
        self.bound = DELAY_MIN;
    }
}

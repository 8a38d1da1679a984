//! Monotonic clocks.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Source of monotonic time.
pub trait Clock {
    /// Returns the current time, which never decreases.
    fn now(&self) -> Instant;
}

/// Monotonic clock of the operating system.
#[derive(Clone, Copy, Debug, Default)]
pub struct System;

impl Clock for System {
    fn now(&self) -> Instant {
        Instant::now()
    }
}

/// Clock for tests, which advances only by [`Manual::advance`]. Clones share the same time.
///
/// ```
/// use std::time::Duration;
/// use flamingofall::clock::{Clock, Manual};
///
/// let clock = Manual::new();
/// let start = clock.now();
/// clock.advance(Duration::from_secs(3));
/// assert_eq!(clock.now() - start, Duration::from_secs(3));
/// ```
#[derive(Clone, Debug)]
pub struct Manual {
    now: Arc<Mutex<Instant>>,
}

impl Manual {
    /// Creates a clock that starts at an arbitrary instant.
    pub fn new() -> Self {
        Self {
            now: Arc::new(Mutex::new(Instant::now())),
        }
    }

    /// Advances the clock, and all its clones, by `step`.
    pub fn advance(&self, step: Duration) {
        *self.now.lock().unwrap() += step;
    }
}

impl Default for Manual {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for Manual {
    fn now(&self) -> Instant {
        *self.now.lock().unwrap()
    }
}

//! Log of how many request slots servers had occupied over time, shared by all servers of a test.

use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Slot occupancy of one server from its start to its end.
#[derive(Clone, Debug)]
pub struct Timeline {
    /// Name of the server.
    pub server: String,
    /// Name of the service that the server belongs to.
    pub service: String,
    /// Number of requests that the server can run at the same time.
    pub slots: u32,
    /// Changes of the number of occupied slots: the instant and the number from then on.
    /// Invariant: sorted by time; the first entry is the start of the server, with 0 slots.
    pub changes: Vec<(Instant, u32)>,
    /// When the server ended; `None` while it is running.
    pub ended: Option<Instant>,
}

/// A log that servers write and tests read. Clones share the same timelines.
#[derive(Clone, Debug, Default)]
pub struct Log {
    timelines: Arc<Mutex<Vec<Timeline>>>,
}

impl Log {
    /// Creates an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the timeline of a server that starts now without occupied slots. Dropping the writer
    /// ends the timeline.
    pub fn register(&self, server: &str, service: &str, slots: u32) -> Writer {
        let mut timelines = self.timelines.lock().unwrap();
        timelines.push(Timeline {
            server: server.to_owned(),
            service: service.to_owned(),
            slots,
            changes: vec![(Instant::now(), 0)],
            ended: None,
        });
        Writer {
            log: self.clone(),
            index: timelines.len() - 1,
            occupied: 0,
        }
    }

    /// Returns a copy of all timelines so far, in the order in which the servers started.
    pub fn timelines(&self) -> Vec<Timeline> {
        self.timelines.lock().unwrap().clone()
    }
}

/// Writes the timeline of one server.
#[derive(Debug)]
pub struct Writer {
    log: Log,
    index: usize,
    occupied: u32,
}

impl Writer {
    /// Records the number of occupied slots at `now`, if it has changed.
    pub fn set(&mut self, occupied: u32, now: Instant) {
        if occupied == self.occupied {
            return;
        }
        self.occupied = occupied;
        let mut timelines = self.log.timelines.lock().unwrap();
        timelines[self.index].changes.push((now, occupied));
    }
}

impl Drop for Writer {
    fn drop(&mut self) {
        if let Ok(mut timelines) = self.log.timelines.lock() {
            timelines[self.index].ended = Some(Instant::now());
        }
    }
}

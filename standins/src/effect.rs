//! Log of the side effects that requests had on backend servers, shared by all servers of a test.
//!
//! Tests use it to verify that a request is executed at most once.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// The side effect of one executed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effect {
    /// Id of the request that was executed.
    pub request: String,
    /// Name of the server that executed the request.
    pub server: String,
    /// Name of the service that the server belongs to.
    pub service: String,
    /// When the request completed and took effect.
    pub at: Instant,
}

/// An append-only log that servers write and tests read. Clones share the same entries.
#[derive(Clone, Debug, Default)]
pub struct Log {
    entries: Arc<Mutex<Vec<Effect>>>,
}

impl Log {
    /// Creates an empty log.
    pub fn new() -> Self {
        Self::default()
    }

    /// Appends an effect.
    pub fn push(&self, effect: Effect) {
        self.entries.lock().unwrap().push(effect);
    }

    /// Returns a copy of all effects so far, in the order in which they were appended.
    pub fn entries(&self) -> Vec<Effect> {
        self.entries.lock().unwrap().clone()
    }

    /// Returns the effects of each request that took effect more than once, by request id.
    pub fn duplicates(&self) -> HashMap<String, Vec<Effect>> {
        let mut by_request: HashMap<String, Vec<Effect>> = HashMap::new();
        for effect in self.entries() {
            by_request
                .entry(effect.request.clone())
                .or_default()
                .push(effect);
        }
        by_request.retain(|_, effects| effects.len() > 1);
        by_request
    }
}

//! Log lines of the cores: each decision about a flow and each change of what a process believes.

use std::fmt;

use strum::{Display, IntoStaticStr};

/// One log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEvent {
    /// What it is about; also the label of its counter.
    pub topic: Topic,
    /// Identity, inputs and outcome as key=value pairs.
    pub text: String,
}

/// What a note is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Topic {
    /// A new flow was given to an agent.
    Placed,
    /// A new flow was given to another agent because the first was silent.
    PlacedAgain,
    /// An agent gave a new flow to the next candidate.
    Passed,
    /// No candidate took a packet.
    Exhausted,
    /// The agent that holds a flow is being searched.
    Lookup,
    /// A flow was reset at its client.
    Reset,
    /// A packet was dropped.
    Dropped,
    /// A configuration came into force.
    ConfigurationAdopted,
    /// An agent's record is new or has changed.
    Member,
    /// A server answers unlike the others of its service, or no longer does.
    Outlier,
    /// The server beside the agent changed its state.
    ServerState,
    /// A server's call was not used.
    HeartbeatIgnored,
    /// A message was not used.
    MessageIgnored,
    /// The process stood still and goes on.
    Resumed,
    /// The flows of an earlier run were taken over.
    SnapshotRestored,
}

impl Topic {
    /// Whether there may be as many notes as there are flows, so that some may be left out.
    pub fn per_flow(self) -> bool {
        matches!(
            self,
            Topic::Placed
                | Topic::PlacedAgain
                | Topic::Passed
                | Topic::Exhausted
                | Topic::Lookup
                | Topic::Reset
                | Topic::Dropped
        )
    }
}

impl LogEvent {
    /// A note.
    pub fn new(topic: Topic, text: String) -> Self {
        Self { topic, text }
    }
}

impl fmt::Display for LogEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let key = if self.topic.per_flow() {
            "decision"
        } else {
            "event"
        };
        write!(f, "{key}={} {}", self.topic, self.text)
    }
}

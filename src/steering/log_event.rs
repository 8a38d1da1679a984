//! Log lines of the balancer and the agent: decisions about flows and changes of their state.

use std::fmt;

use strum::{Display, IntoStaticStr};

use crate::packet::Flow;

/// A line of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEvent {
    /// Kind of the event; also the `topic` label of the counter of decisions.
    pub topic: Topic,
    /// Identity, inputs and outcome as `key=value` pairs.
    pub text: String,
    /// Reason of a reset, which is also in the text; none in other events.
    pub reason: Option<Reason>,
}

/// Why a reset was sent to the client of a flow; also the `reason` label of the counter of resets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// No server takes the new flow.
    NoServerAccepts,
    /// A lookup has asked all agents for the open flow.
    NoServerHoldsIt,
    /// A balancer was told of another process, or of the end, of the server that holds the flow.
    ServerEnded,
    /// The agent got a heartbeat of another process of its server.
    Replaced,
    /// The server announced its end to its agent.
    Left,
    /// The process whose flows an earlier run of the agent saved no longer runs.
    ServerEndedEarlier,
}

/// Kind of a log event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Topic {
    /// A new flow was sent to an agent.
    Placed,
    /// A new flow was sent to another agent because the previous one didn't report its acceptance.
    PlacedAgain,
    /// An agent forwarded a new flow to the next candidate.
    Passed,
    /// No candidate took a packet.
    Exhausted,
    /// A balancer began to look up the agent that holds a flow.
    Lookup,
    /// A balancer began to ask agents for a flow one by one, as its lookup has no answer yet.
    Probed,
    /// An agent passed a packet of a lookup to its server, which may not hold the flow.
    Asked,
    /// A reset was sent to the client of a flow.
    Reset,
    /// A packet was dropped.
    Dropped,
    /// A newer configuration was applied.
    ConfigurationAdopted,
    /// A configuration was not applied because it isn't newer than the one in force.
    ConfigurationRefused,
    /// A balancer got a new or changed record of an agent.
    Member,
    /// A record of an agent was ignored because a field is out of range.
    MemberIgnored,
    /// A server has become an outlier of its service, or no longer is one.
    Outlier,
    /// The agent's server changed its state or its description.
    ServerState,
    /// A server's heartbeat or notice of its end was ignored.
    HeartbeatIgnored,
    /// A message of a kind that the receiver doesn't handle was ignored.
    MessageIgnored,
    /// The process was suspended for a while and runs again.
    Resumed,
    /// The snapshot of an earlier run was applied.
    SnapshotRestored,
}

impl Topic {
    /// Whether events of this kind are as frequent as flows, so that the log may omit some.
    pub fn per_flow(self) -> bool {
        matches!(
            self,
            Topic::Placed
                | Topic::PlacedAgain
                | Topic::Passed
                | Topic::Exhausted
                | Topic::Lookup
                | Topic::Probed
                | Topic::Asked
                | Topic::Reset
                | Topic::Dropped
        )
    }
}

impl LogEvent {
    /// Creates an event; `text` consists of `key=value` pairs.
    pub fn new(topic: Topic, text: String) -> Self {
        Self {
            topic,
            text,
            reason: None,
        }
    }

    /// Creates the event of a reset; `evidence` consists of `key=value` pairs.
    pub fn reset(flow: Flow, reason: Reason, evidence: impl fmt::Display) -> Self {
        Self {
            topic: Topic::Reset,
            text: format!("flow={flow} reason={reason} {evidence}"),
            reason: Some(reason),
        }
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

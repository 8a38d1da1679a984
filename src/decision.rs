//! The agent's decisions about flows, each written as one log line.

use std::fmt;

use strum::Display;

use crate::id::{Generation, Member, Service};
use crate::packet::Flow;

/// Outcome of a decision about a flow, in snake case in the log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// A new flow was accepted for the local server.
    Accepted,
    /// A new flow was passed on to another member.
    Passed,
    /// A new flow was refused. None of its packets was delivered to a server.
    Refused,
    /// A flow that may already be established, and that no member had in its flow table, was taken
    /// over by the local server.
    Adopted,
    /// Another member was recorded as the owner, after a claim or lookup.
    Ceded,
}

/// Reason for a decision, in snake case in the log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The load and the limits of the local server allow the flow, or the server has reached the
    /// bound on its share but the flow isn't passed on.
    Load,
    /// The local server has reached the bound on its share of the service's load.
    Bound,
    /// The local server has reached its limit on open flows.
    Limit,
    /// The service is close to its limit, and the flow's class doesn't have the highest weight.
    Shed,
    /// The member is draining.
    Draining,
    /// Another member had claimed the flow first.
    Claim,
    /// A lookup found the owner, or found that no member knows the flow.
    Lookup,
}

/// One decision of an agent. Its `Display` is the text of the log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Protocol and addresses of the flow.
    pub flow: Flow,
    /// The service of the agent that decided.
    pub service: Service,
    /// Generation of the configuration in force at the agent that decided.
    pub generation: Generation,
    /// Outcome.
    pub verdict: Verdict,
    /// Reason for the outcome.
    pub cause: Cause,
    /// The other member that owns the flow, after `Passed` and `Ceded`.
    pub owner: Option<Member>,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "decision={} cause={} flow={} service={} generation={}",
            self.verdict, self.cause, self.flow, self.service, self.generation
        )?;
        match &self.owner {
            Some(owner) => write!(f, " owner={owner}"),
            None => Ok(()),
        }
    }
}

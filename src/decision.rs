//! Records of routing and placement decisions, one log line each.

use std::fmt;

use strum::Display;

use crate::id::{Generation, Member, Service};
use crate::packet::Flow;

/// What was decided about a flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// A new flow was given to the local server.
    Accepted,
    /// A new flow was passed on to another member.
    Passed,
    /// A new flow was refused: nothing of it has run.
    Refused,
    /// An established flow without a record was given to the local server.
    Adopted,
    /// Another member was found to own the flow.
    Ceded,
}

/// Why it was decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// The member's load and limits allow the flow.
    Load,
    /// The member is over the bound on its share of the service's load.
    Bound,
    /// The member is at its limit.
    Limit,
    /// The service is close to its limit and the flow belongs to the lighter class.
    Shed,
    /// The member is draining.
    Draining,
    /// The flow was claimed by another member first.
    Claim,
    /// No other member knew the flow, or one did.
    Lookup,
}

/// One decision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// The flow decided about.
    pub flow: Flow,
    /// The flow's service.
    pub service: Service,
    /// The configuration in force at the member that decided.
    pub generation: Generation,
    /// The decision.
    pub verdict: Verdict,
    /// Its cause.
    pub cause: Cause,
    /// The member that now owns the flow, if any does.
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

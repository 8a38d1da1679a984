//! What a balancer knew when it reset a flow, as `key=value` pairs of the log line.

use std::net::SocketAddr;
use std::time::Instant;

use crate::steering::balancer_flow::BalancerFlow;
use crate::steering::roster::{Entry, Process, State, LOST_AFTER};
use crate::steering::segment::Segment;

use super::Balancer;

/// Maximum number of agents that a line names.
const NAMED_MAX: usize = 4;

/// A change of an agent's record.
pub(super) struct Change {
    pub agent: SocketAddr,
    /// The last process that an earlier record named.
    pub before: Option<Process>,
    /// The process that runs now; none if the server has ended.
    pub after: Option<Process>,
    pub state: State,
    /// Whether the record came from the agent itself.
    pub direct: bool,
}

impl Change {
    /// Evidence of a reset because the server of a flow has ended.
    pub fn evidence(&self, tracked: &BalancerFlow, now: Instant) -> String {
        let process = tracked.owner.and_then(|owner| owner.process);
        format!(
            "agent={} process={} before={} after={} state={} direct={} {}",
            self.agent,
            or_none(process),
            or_none(self.before),
            or_none(self.after),
            self.state,
            self.direct,
            owner_evidence(Some(tracked), now)
        )
    }
}

impl Balancer {
    /// Evidence of a reset because no server accepts a flow.
    pub(super) fn refusal_evidence(
        &self,
        segment: &Segment,
        tracked: Option<&BalancerFlow>,
        now: Instant,
    ) -> String {
        format!(
            "copy={} tried={} first_ms={} opened_ms={} backlog={} age_ms={}",
            segment.acknowledgement,
            tracked.map_or(0, |tracked| tracked.tried_agents.len()),
            age(tracked.map(|tracked| tracked.first_packet_at), now),
            age(tracked.and_then(|tracked| tracked.opened_at), now),
            self.reads_backlog(now),
            age(Some(self.started), now)
        )
    }

    /// Evidence of a reset because a lookup found no server that holds a flow.
    pub(super) fn lookup_evidence(&self, tracked: Option<&BalancerFlow>, now: Instant) -> String {
        let heard_ago = |at| now.saturating_duration_since(at);
        let count = |fits: &dyn Fn(&&Entry) -> bool| self.roster.iter().filter(fits).count();
        let ended: Vec<_> = self
            .roster
            .iter()
            .filter(|entry| self.roster.left(&entry.member.agent, now))
            .collect();
        let last_heard = ended.iter().map(|entry| entry.last_heard).max();
        let names: Vec<_> = ended
            .iter()
            .take(NAMED_MAX)
            .map(|entry| entry.member.agent.to_string())
            .collect();
        format!(
            "asked={} silent={} unheard={} ended={} ended_agents={} ended_heard_ms={} named={} \
             peers={} digest={} age_ms={} lookups={} lookup_ms={} \
             likely={} {}",
            tracked.map_or(0, |tracked| tracked.search.answers()),
            count(&|entry| heard_ago(entry.last_heard) > LOST_AFTER),
            count(&|entry| !entry.heard_directly),
            ended.len(),
            or_none((!names.is_empty()).then(|| names.join(","))),
            age(last_heard, now),
            self.named_agents.len(),
            self.peers.len(),
            self.digest_received,
            age(Some(self.started), now),
            tracked.map_or(0, |tracked| tracked.lookups),
            age(tracked.and_then(|tracked| tracked.lookup_started), now),
            or_none(tracked.map(|tracked| tracked.likely_agent)),
            owner_evidence(tracked, now)
        )
    }
}

fn owner_evidence(tracked: Option<&BalancerFlow>, now: Instant) -> String {
    let owner = tracked.and_then(|tracked| tracked.owner);
    format!(
        "owner={} proof={} owner_ms={}",
        or_none(owner.map(|owner| owner.agent)),
        or_none(owner.map(|owner| owner.proof)),
        age(owner.map(|owner| owner.reported_at), now)
    )
}

/// Milliseconds since a time.
fn age(at: Option<Instant>, now: Instant) -> String {
    or_none(at.map(|at| now.saturating_duration_since(at).as_millis()))
}

fn or_none(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "none".to_owned(), |value| value.to_string())
}

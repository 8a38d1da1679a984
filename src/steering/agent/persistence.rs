//! Saves snapshots of the open flows and restores the one of an earlier run.

use std::time::{Duration, Instant};

use crate::packet::Flow;
use crate::steering::agent_flow::AgentFlow;
use crate::steering::log_event::{Reason, Topic};
use crate::steering::snapshot::{SavedFlow, Snapshot};

use super::{log_event, Agent, EndedFlow, Output};

/// Interval between checks whether a snapshot is due.
pub(super) const SAVE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum age of saved flows. Flows of a single request have usually ended by then.
const SAVED_FLOW_AGE_MIN: Duration = Duration::from_millis(500);
/// A snapshot is due when the times that flows have been missing from it add up to this: the fewer
/// flows are missing, the longer it waits.
const UNSAVED_FLOW_TIME_MAX: Duration = Duration::from_secs(4);
/// Number of flows with repeatable requests that weigh as much as one with at-most-once requests:
/// if the server is lost, their clients lose a round trip, not a request.
const REPEATABLE_FLOWS_PER_ONCE: u32 = 10;
/// Longest time between snapshots. Clients accept a reset only near their last acknowledgement, so
/// the saved numbers must not get too old.
pub(super) const SAVE_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of flows in a snapshot, which keeps it below the size limit of an object in the
/// directory.
const SAVED_FLOWS_MAX: usize = 10_000;
/// Time after the last packet of a flow that its server has ended in which the client may still end its
/// own direction: the last copies of a packet are 1.6 s apart.
const CLOSE_TIME_MAX: Duration = Duration::from_secs(4);

impl Agent {
    /// Loads the snapshot that an earlier run of this agent saved. It is applied once the agent has
    /// heard from its server.
    pub fn restore(&mut self, snapshot: Snapshot, now: Instant, out: &mut Vec<Output>) {
        self.snapshot_read = true;
        self.previous_snapshot = Some(snapshot);
        self.resolve_previous_snapshot(now, out);
        self.resume_lookups(now, out);
    }

    /// Keeps the flows of the previous snapshot if their server's process still runs, or else
    /// resets them. Does nothing before the first heartbeat, and awaits another one if the first may
    /// be a delayed one of an earlier process.
    pub(super) fn resolve_previous_snapshot(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.member.server.is_empty() {
            return;
        }
        let current = self.member.process();
        let started = self.member.started;
        // A process that started before the one in the snapshot runs after it if the host's clock
        // was set back.
        let certain = self.ran_until.is_some();
        let resolved = |previous: &mut Snapshot| {
            previous.process == current || previous.started < started || certain
        };
        let Some(previous) = self.previous_snapshot.take_if(resolved) else {
            return;
        };
        let alive = previous.process == current;
        out.push(log_event(
            Topic::SnapshotRestored,
            format!("flows={} server_alive={alive}", previous.flows.len()),
        ));
        for saved in previous.others.iter().filter(|_| alive) {
            let tracked = self.flows.entry(saved.flow());
            tracked.or_insert_with(|| AgentFlow::saved(saved, now));
        }
        for saved in previous.flows {
            let flow = saved.flow();
            if !alive {
                let ended = EndedFlow {
                    flow,
                    acknowledged: saved.acknowledged,
                    process: previous.process,
                    answered: false,
                };
                self.reset(ended, Reason::ServerEndedEarlier, now, out);
                continue;
            }
            let tracked = self
                .flows
                .entry(flow)
                .or_insert_with(|| AgentFlow::saved(&saved, now));
            if tracked.answered_at.is_some() {
                // The server has sent packets in this run, perhaps of a later flow of the port.
                continue;
            }
            tracked.open = true;
            tracked.confirmed = true;
            tracked.acknowledged = tracked.acknowledged.max(saved.acknowledged);
        }
    }

    /// Saves the open flows if enough have been missing from the last snapshot, or it is too old.
    pub(super) fn save(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.previous_snapshot.is_some() || self.member.server.is_empty() || self.stopping {
            return;
        }
        let lasting = |tracked: &AgentFlow| {
            tracked.accepts_requests()
                && !tracked.accepted_after(self.last_heartbeat)
                && now.saturating_duration_since(tracked.first_packet_at) >= SAVED_FLOW_AGE_MIN
        };
        let open = self.flows.iter().filter(|(_, tracked)| lasting(tracked));
        let missing = open
            .clone()
            .filter(|(flow, _)| !self.saved.contains(&flow.source));
        let (once, repeatable): (Vec<_>, Vec<_>) =
            missing.partition(|(_, tracked)| tracked.at_most_once);
        self.unsaved_flow_time += SAVE_CHECK_INTERVAL * once.len() as u32;
        self.unsaved_flow_time +=
            SAVE_CHECK_INTERVAL * repeatable.len() as u32 / REPEATABLE_FLOWS_PER_ONCE;
        if self.unsaved_flow_time < UNSAVED_FLOW_TIME_MAX && now < self.save_due {
            return;
        }
        let flows = saved_flows(open);
        self.save_due = now + SAVE_INTERVAL;
        self.unsaved_flow_time = Duration::ZERO;
        if flows.is_empty() && self.saved.is_empty() {
            return;
        }
        self.saved = flows.iter().map(|saved| saved.client).collect();
        out.push(Output::Save(Snapshot {
            process: self.member.process(),
            started: self.member.started,
            flows,
            others: Vec::new(),
        }));
    }

    /// Saves all flows that the server may hold, as it gets no packets until the next run.
    pub(super) fn save_all(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.previous_snapshot.is_some() || !self.snapshot_read || self.member.server.is_empty()
        {
            return;
        }
        let over = |tracked: &AgentFlow| {
            let idle = now.saturating_duration_since(tracked.last_packet_at);
            tracked.finished && idle > CLOSE_TIME_MAX
        };
        let held = self.flows.iter().filter(|(_, tracked)| !over(tracked));
        let (open, others): (Vec<_>, Vec<_>) = held.partition(|(_, tracked)| {
            tracked.accepts_requests() && !tracked.accepted_after(self.last_heartbeat)
        });
        let fits = open.len() + others.len() <= SAVED_FLOWS_MAX;
        out.push(Output::Save(Snapshot {
            process: self.member.process(),
            started: self.member.started,
            flows: saved_flows(open.into_iter()),
            others: match fits {
                true => saved_flows(others.into_iter()),
                false => Vec::new(),
            },
        }));
    }
}

fn saved_flows<'a>(flows: impl Iterator<Item = (&'a Flow, &'a AgentFlow)>) -> Vec<SavedFlow> {
    let mut saved: Vec<_> = flows
        .map(|(flow, tracked)| SavedFlow {
            client: flow.source,
            address: flow.destination,
            acknowledged: tracked.acknowledged,
        })
        .collect();
    saved.sort_unstable();
    saved.truncate(SAVED_FLOWS_MAX);
    saved
}

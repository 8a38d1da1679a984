//! Tracks the state of the server and announces it to balancers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::id::{Incarnation, Sequence};
use crate::steering::agent_flow::AgentFlow;
use crate::steering::log_event::{Reason, Topic};
use crate::steering::message::{Announce, Message, LIST_WANTED};
use crate::steering::roster::{Member, State};

use super::{
    log_event, owner, Agent, EndedFlow, Heartbeat, HeartbeatOutcome, Output, BALANCER_RENEWAL,
    MISSED_HEARTBEATS_MAX,
};

/// Interval between announcements to each balancer.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(400);

impl Agent {
    /// Applies a heartbeat of the server. If it comes from another process than the last one,
    /// resets the flows of that process. A heartbeat that isn't applied changes nothing.
    pub fn heartbeat(
        &mut self,
        heartbeat: Heartbeat,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> HeartbeatOutcome {
        if heartbeat.service != self.member.service || heartbeat.address != self.server_address {
            out.push(log_event(
                Topic::HeartbeatIgnored,
                format!(
                    "server={} service={:?} address={} reason=foreign",
                    heartbeat.server, heartbeat.service, heartbeat.address
                ),
            ));
            return HeartbeatOutcome::Foreign;
        }
        let same =
            heartbeat.server == self.member.server && heartbeat.started == self.member.started;
        // A process that has announced its end sends no later heartbeat.
        let late = same
            && (heartbeat.sequence <= self.server_sequence || self.member.state == State::Gone);
        let earlier = heartbeat.started < self.member.started;
        if late || earlier && !self.succeeds_silent_server(&heartbeat, now) {
            out.push(log_event(
                Topic::HeartbeatIgnored,
                format!(
                    "server={} started={} sequence={} reason=outdated",
                    heartbeat.server, heartbeat.started, heartbeat.sequence
                ),
            ));
            return HeartbeatOutcome::Outdated;
        }
        let replaced = !same && !self.member.server.is_empty();
        if replaced {
            self.end_server_flows(Reason::Replaced, now, out);
        }
        self.server_sequence = heartbeat.sequence;
        self.ran_until = match same {
            true if self.heartbeat_timely(now) => self.last_heartbeat,
            true => self.ran_until,
            false => None,
        };
        self.last_heartbeat = Some(now);
        self.silent_since = Some(now);
        let mut member = self.member.clone();
        member.server = heartbeat.server;
        member.started = heartbeat.started;
        member.slots = heartbeat.slots;
        member.state = match heartbeat.state {
            State::Ready if self.stopping => State::Waiting,
            state => state,
        };
        self.confirm_flows(&member, out);
        self.update(member, "heartbeat", now, out);
        self.resolve_previous_snapshot(now, out);
        HeartbeatOutcome::Accepted
    }

    /// Whether a process that started earlier than the current one is its successor all the same,
    /// because the host's clock was set back: it goes on sending heartbeats while the current one is
    /// silent. A single heartbeat may be a delayed one of an earlier process.
    fn succeeds_silent_server(&mut self, heartbeat: &Heartbeat, now: Instant) -> bool {
        let process = |h: &Heartbeat| (h.server.clone(), h.started);
        let continues = self.earlier_heartbeat.take().is_some_and(|last| {
            process(&last) == process(heartbeat) && last.sequence < heartbeat.sequence
        });
        let succeeds = continues && self.heartbeats_missing(now);
        if !succeeds {
            self.earlier_heartbeat = Some(heartbeat.clone());
        }
        succeeds
    }

    /// Whether a heartbeat that arrives now was sent after the last one had arrived. Several that
    /// waited for the agent arrive at once, and their sender may have crashed.
    fn heartbeat_timely(&self, now: Instant) -> bool {
        self.last_heartbeat.is_some_and(|heard| {
            now.saturating_duration_since(heard) >= self.heartbeat_interval / 2
        })
    }

    /// Whether the server's process has been silent for [`MISSED_HEARTBEATS_MAX`] intervals.
    pub(super) fn heartbeats_missing(&self, now: Instant) -> bool {
        self.silent_since.is_some_and(|since| {
            now.saturating_duration_since(since) > self.heartbeat_interval * MISSED_HEARTBEATS_MAX
        })
    }

    /// Handles the server's notice that it ends: resets its flows. Later packets go to the next
    /// candidate. `started` is the start of the server's process in Unix milliseconds, if the notice
    /// tells it; a later process may have the same name. Returns whether the notice was applied.
    pub fn server_left(
        &mut self,
        server: &str,
        started: Option<u64>,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> bool {
        let other_process = started.is_some_and(|started| started != self.member.started);
        if server != self.member.server || other_process {
            out.push(log_event(
                Topic::HeartbeatIgnored,
                format!("server={server} reason=not_the_current_server"),
            ));
            return false;
        }
        self.end_server_flows(Reason::Left, now, out);
        self.set_state(State::Gone, "left", now, out);
        true
    }

    /// Announces that the agent's process is about to stop, so that its server gets no new flows, and
    /// saves those that it may hold for the next run.
    pub fn stop(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.stopping = true;
        self.save_all(now, out);
        if self.member.state == State::Ready {
            self.set_state(State::Waiting, "stopping", now, out);
        }
        self.announce(now, out);
    }

    pub(super) fn announce(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.announce_due = now + ANNOUNCE_INTERVAL;
        let announce = Announce {
            member: self.member.clone(),
            busy: self.busy(now),
            flows: self
                .flows
                .values()
                .filter(|tracked| tracked.accepts_requests())
                .count() as u32,
            stats: self.meter.stats(now),
            balancers: self.balancers.len() as u32,
        };
        let renewal = self.balancer_to_ask(now);
        for balancer in self.balancers.keys() {
            let mut announce = announce.clone();
            if renewal == Some(*balancer) {
                announce.balancers = LIST_WANTED;
            }
            out.push(Output::Send(*balancer, Message::Announce(announce)));
        }
    }

    /// Selects a balancer to ask for a list if one hasn't been named for [`BALANCER_RENEWAL`]. Asks
    /// another one each time, as some may not run any more.
    fn balancer_to_ask(&mut self, now: Instant) -> Option<SocketAddr> {
        let stale = |named: &Instant| now.saturating_duration_since(*named) >= BALANCER_RENEWAL;
        if !self.balancers.values().any(stale) {
            return None;
        }
        let index = self.renewals % self.balancers.len();
        self.renewals = self.renewals.wrapping_add(1);
        self.balancers.keys().nth(index).copied()
    }

    pub(super) fn set_state(
        &mut self,
        state: State,
        cause: &str,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let mut member = self.member.clone();
        member.state = state;
        self.update(member, cause, now, out);
    }

    /// Goes above the incarnation of an earlier process of this agent, whose record a balancer
    /// prefers: the host's clock was set back. The answer to a late announcement of an earlier
    /// process names an incarnation that this agent has already.
    pub(super) fn supersede(&mut self, held: Incarnation, now: Instant, out: &mut Vec<Output>) {
        if held <= self.member.incarnation {
            return;
        }
        let mut member = self.member.clone();
        member.incarnation = Incarnation(held.0.saturating_add(1));
        self.update(member, "incarnation_superseded", now, out);
    }

    fn update(&mut self, mut member: Member, cause: &str, now: Instant, out: &mut Vec<Output>) {
        if member == self.member {
            return;
        }
        member.sequence = Sequence(self.member.sequence.0 + 1);
        out.push(log_event(
            Topic::ServerState,
            format!(
                "server={} service={} from={} to={} cause={cause}",
                member.server, member.service, self.member.state, member.state
            ),
        ));
        self.member = member;
        out.push(Output::Publish(self.member.clone()));
        self.announce(now, out);
    }

    /// Removes the flows of a server process that has ended, and resets the open ones that their
    /// clients have used recently. Balancers reset the others, unless they have seen their clients
    /// open other flows from the same ports.
    ///
    /// Keeps flows that were accepted when the process may not have run any more: the next process
    /// may have accepted them before its own first heartbeat. If it doesn't hold them, it returns
    /// their next packets.
    fn end_server_flows(&mut self, reason: Reason, now: Instant, out: &mut Vec<Output>) {
        let ran_until = self.ran_until;
        let keep = |tracked: &AgentFlow| !tracked.confirmed && tracked.accepted_after(ran_until);
        self.saved.clear();
        self.meter.clear();
        let mut ended: Vec<_> = self.flows.extract_if(|_, tracked| !keep(tracked)).collect();
        ended.sort_by_key(|(flow, _)| flow.source);
        for (flow, tracked) in ended
            .into_iter()
            .filter(|(_, tracked)| tracked.accepts_requests() && tracked.recently_used(now))
        {
            let ended = EndedFlow {
                flow,
                acknowledged: tracked.acknowledged,
                process: self.member.process(),
                answered: tracked.answered_at.is_some(),
            };
            self.reset(ended, reason, now, out);
        }
    }

    /// Confirms the open flows that were accepted while the process of `member` certainly ran, and
    /// reports them.
    fn confirm_flows(&mut self, member: &Member, out: &mut Vec<Output>) {
        let ran_until = self.ran_until;
        let unconfirmed = |tracked: &AgentFlow| {
            let certain = tracked.answered_at.is_some() && !tracked.accepted_after(ran_until);
            certain && tracked.accepts_requests() && !tracked.confirmed
        };
        let mut reports = Vec::new();
        for (flow, tracked) in self.flows.iter_mut().filter(|(_, t)| unconfirmed(t)) {
            tracked.confirmed = true;
            if let Some(origin) = tracked.origin {
                reports.push((origin, owner(*flow, tracked, member, None)));
            }
        }
        reports.sort_by_key(|(_, owner)| owner.client);
        for (origin, owner) in reports {
            out.push(Output::Send(origin, Message::Owner(owner)));
        }
    }
}

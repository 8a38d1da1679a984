//! The agents that a balancer knows, and their order for each flow.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::hash::hash_bytes;
use crate::id::{Bucket, Incarnation, Sequence, Slots};
use crate::packet::Flow;
use crate::rank;

use super::message::Announce;
use super::response_stats::{self, ResponseStats};

/// What an agent's server is ready for.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The agent has not heard from its server yet.
    #[default]
    Waiting,
    /// The server takes new flows.
    Ready,
    /// The server serves its open flows only.
    Draining,
    /// The server has ended or fallen silent.
    Gone,
}

/// An agent's record. Written by the agent alone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Where the agent receives packets; identifies it.
    pub agent: SocketAddr,
    /// Start of the agent's process in Unix milliseconds.
    pub incarnation: Incarnation,
    /// Increases with each change of the record.
    pub sequence: Sequence,
    /// Service of the agent's server.
    pub service: String,
    /// Name of the server.
    pub server: String,
    /// Start of the server's process in Unix milliseconds: a server may start again under its name.
    #[serde(default)]
    pub started: u64,
    /// What the server is ready for.
    pub state: State,
    /// Requests that the server works on at the same time.
    pub slots: Slots,
}

impl Member {
    /// Identifies the server's process.
    pub fn process(&self) -> Process {
        Process(hash_bytes(self.server.as_bytes()) ^ self.started)
    }
}

/// One run of a server. Its flows end with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Process(pub u64);

/// A member as a balancer sees it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The latest record.
    pub member: Member,
    /// When the agent was last heard.
    pub last_heard: Instant,
    /// Whether the agent itself was ever heard, not only its stored record.
    pub heard_directly: bool,
    /// Requests in progress as last announced.
    pub busy: u32,
    /// Flows held as last announced.
    pub flows: u32,
    /// Flows opened through this balancer since the last announcement.
    pub placed_since_announce: u32,
    /// How the server answers, as last announced.
    stats: Option<ResponseStats>,
    /// The server answers so unlike the others of its service that it gets new flows last.
    pub outlier: bool,
    /// Identifies the agent in the order of a flow's candidates.
    hash: u64,
}

impl Entry {
    /// Requests in progress and expected for each slot, in thousandths.
    fn load(&self) -> u32 {
        let requests = (self.busy + self.placed_since_announce) * 1000;
        let expected = self.flows * MILLIREQUESTS_PER_FLOW;
        (requests + expected) / self.member.slots.0.max(1)
    }
}

/// Agents not heard for this long are searched last: an announcement is overdue by half of its
/// period. A search that reaches an agent that stands still waits there.
pub const OVERDUE_AFTER: Duration = Duration::from_millis(600);
/// Agents not heard for this long receive no new flows while others are heard: three announcements.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1300);
/// Agents not heard for this long are forgotten: the longest life of a flow.
pub const AGENT_EXPIRY: Duration = Duration::from_secs(60);
/// Agents not heard for this long are taken as lost while most others are heard: a killed agent is
/// back sooner, and longer silence of many is this balancer's own.
pub const LOST_AFTER: Duration = Duration::from_secs(4);
/// Agents compared by load for a new flow. More would spread flows better, but a balancer that
/// doesn't know a flow asks the agents in their order.
const LOAD_CHOICES: usize = 3;
/// Loads that differ by less than this are equal, in thousandths of a slot.
const LOAD_STEP_MILLISLOTS: u32 = 250;
/// Requests that an open flow has in progress on average, in thousandths.
const MILLIREQUESTS_PER_FLOW: u32 = 60;

/// Agents that may hold an open flow, the likeliest first: those of likely services, then others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LookupCandidates {
    /// Agents that announced themselves and their servers to this balancer, and were heard within
    /// [`OVERDUE_AFTER`].
    pub responsive: Vec<SocketAddr>,
    /// The others, those that are suspect last.
    pub overdue: Vec<SocketAddr>,
}

/// The agents, by address.
#[derive(Debug, Default)]
pub struct Roster {
    entries: BTreeMap<SocketAddr, Entry>,
}

impl Roster {
    /// Merges a record. `direct` tells whether it came from the agent itself. Returns true if the
    /// record is new or changed.
    pub fn merge(&mut self, member: Member, direct: bool, now: Instant) -> bool {
        let key = member.agent;
        let Some(entry) = self.entries.get_mut(&key) else {
            let entry = Entry {
                hash: hash_bytes(key.to_string().as_bytes()),
                member,
                last_heard: now,
                heard_directly: direct,
                busy: 0,
                flows: 0,
                placed_since_announce: 0,
                stats: None,
                outlier: false,
            };
            self.entries.insert(key, entry);
            return true;
        };
        if direct {
            entry.last_heard = now;
            entry.heard_directly = true;
        }
        let order = |m: &Member| (m.incarnation, m.sequence);
        if order(&member) <= order(&entry.member) {
            return false;
        }
        entry.member = member;
        true
    }

    /// Records the load and the pace that an agent has announced.
    pub fn record_load(&mut self, announce: &Announce) {
        if let Some(entry) = self.entries.get_mut(&announce.member.agent) {
            entry.busy = announce.busy;
            entry.flows = announce.flows;
            entry.stats = announce.stats;
            entry.placed_since_announce = 0;
        }
    }

    /// Compares the servers of each service, and returns the agents whose server has become an
    /// outlier or is none any more.
    pub fn update_outliers(&mut self) -> Vec<SocketAddr> {
        let mut services: BTreeMap<String, Vec<SocketAddr>> = BTreeMap::new();
        for (agent, entry) in &self.entries {
            if entry.member.state == State::Ready {
                let agents = services.entry(entry.member.service.clone()).or_default();
                agents.push(*agent);
            }
        }
        let mut changed = Vec::new();
        for agents in services.into_values() {
            let all_stats: Vec<_> = agents
                .iter()
                .map(|agent| self.entries[agent].stats)
                .collect();
            let outliers = response_stats::outliers(&all_stats, agents.len());
            for (agent, outlier) in agents.into_iter().zip(outliers) {
                if let Some(entry) = self.entries.get_mut(&agent) {
                    if entry.outlier != outlier {
                        entry.outlier = outlier;
                        changed.push(agent);
                    }
                }
            }
        }
        changed
    }

    /// The pace that an agent has announced last.
    pub fn stats(&self, agent: &SocketAddr) -> Option<ResponseStats> {
        self.entries.get(agent)?.stats
    }

    /// Counts a new flow given to an agent.
    pub fn record_placement(&mut self, agent: &SocketAddr) {
        if let Some(entry) = self.entries.get_mut(agent) {
            entry.placed_since_announce += 1;
        }
    }

    /// Records that an agent was heard.
    pub fn record_contact(&mut self, agent: &SocketAddr, now: Instant) {
        if let Some(entry) = self.entries.get_mut(agent) {
            entry.last_heard = now;
        }
    }

    /// Moves all times forward after this process stood still, so that its own pause isn't taken
    /// for the agents' silence.
    pub fn discount_pause(&mut self, pause: Duration) {
        for entry in self.entries.values_mut() {
            entry.last_heard += pause;
        }
    }

    /// Drops agents that were not heard for [`AGENT_EXPIRY`].
    pub fn expire(&mut self, now: Instant) {
        self.entries
            .retain(|_, entry| now.saturating_duration_since(entry.last_heard) < AGENT_EXPIRY);
    }

    /// The agent's entry.
    pub fn get(&self, agent: &SocketAddr) -> Option<&Entry> {
        self.entries.get(agent)
    }

    /// All entries.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Number of agents.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no agent is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Agents that may take a new flow of `service`, the best first. Agents whose server is an
    /// outlier, and then those that are suspect, come last.
    pub fn placement_candidates(
        &self,
        service: &str,
        flow: &Flow,
        now: Instant,
    ) -> Vec<SocketAddr> {
        let mut order = self.ranked(flow, |entry| {
            entry.member.service == service && entry.member.state == State::Ready
        });
        let (heard, suspect): (Vec<_>, Vec<_>) = order.drain(..).partition(|e| !suspect(e, now));
        let (outliers, mut heard): (Vec<_>, Vec<_>) = heard.into_iter().partition(|e| e.outlier);
        let compared = LOAD_CHOICES.min(heard.len());
        heard[..compared].sort_by_key(|entry| entry.load() / LOAD_STEP_MILLISLOTS);
        let mut agents: Vec<_> = heard.iter().map(|entry| entry.member.agent).collect();
        agents.extend(outliers.iter().map(|entry| entry.member.agent));
        agents.extend(suspect.iter().map(|entry| entry.member.agent));
        agents
    }

    /// Agents that may hold an open flow. Agents whose server has ended hold nothing.
    pub fn lookup_candidates(
        &self,
        may_serve: impl Fn(&str) -> bool,
        flow: &Flow,
        now: Instant,
    ) -> LookupCandidates {
        let most_heard = self.most_heard(now);
        let mut order = self.ranked(flow, |entry| {
            entry.member.state != State::Gone && !(most_heard && silent(entry, now, LOST_AFTER))
        });
        order.sort_by_key(|entry| (suspect(entry, now), !may_serve(&entry.member.service)));
        let (overdue, responsive): (Vec<_>, Vec<_>) = order.into_iter().partition(|entry| {
            let unheard = !entry.heard_directly || entry.member.state == State::Waiting;
            unheard || silent(entry, now, OVERDUE_AFTER)
        });
        let agents = |entries: Vec<&Entry>| entries.iter().map(|e| e.member.agent).collect();
        LookupCandidates {
            responsive: agents(responsive),
            overdue: agents(overdue),
        }
    }

    /// Whether most agents are heard, so that one that is silent has failed itself.
    fn most_heard(&self, now: Instant) -> bool {
        let silent = self.entries.values().filter(|entry| suspect(entry, now));
        silent.count() * 3 < self.entries.len()
    }

    fn ranked(&self, flow: &Flow, fits: impl Fn(&Entry) -> bool) -> Vec<&Entry> {
        let bucket = Bucket(flow.hash() as u32);
        let mut order: Vec<_> = self.entries.values().filter(|entry| fits(entry)).collect();
        order.sort_by_cached_key(|entry| {
            std::cmp::Reverse(rank::score(entry.hash, entry.member.slots, bucket))
        });
        order
    }
}

fn suspect(entry: &Entry, now: Instant) -> bool {
    silent(entry, now, SUSPECT_AFTER)
}

fn silent(entry: &Entry, now: Instant, limit: Duration) -> bool {
    now.saturating_duration_since(entry.last_heard) > limit
}

//! The agents that a balancer knows, and the order in which it tries them for a flow.

use std::collections::BTreeMap;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::hash::hash_bytes;
use crate::id::{Bucket, Incarnation, Sequence, Slots};
use crate::packet::Flow;
use crate::rank;

use super::message::Announce;
use super::response_stats::{self, ResponseStats};

/// State of an agent's server.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, Serialize, Deserialize,
)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// The agent hasn't heard from its server yet, no longer hears it, or is about to stop.
    #[default]
    Waiting,
    /// The server takes new flows.
    Ready,
    /// The server serves its open flows only.
    Draining,
    /// The server has announced its end. Its flows have ended with it.
    Gone,
}

/// An agent's record, as stored in the directory and announced. Only the agent writes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Address at which the agent receives packets. It identifies the agent.
    pub agent: SocketAddr,
    /// Start of the agent's process in Unix milliseconds, or one more than the incarnation of an
    /// earlier process if the clock was set back between them.
    pub incarnation: Incarnation,
    /// Increases with each change of the record.
    pub sequence: Sequence,
    /// Service that the agent's server belongs to.
    pub service: String,
    /// Name of the server; empty until the agent has heard from it.
    pub server: String,
    /// Start of the server's process in Unix milliseconds, which tells it from an earlier process
    /// of the same name.
    #[serde(default)]
    pub started: u64,
    /// Whether the server takes new flows.
    pub state: State,
    /// Number of requests that the server processes concurrently.
    pub slots: Slots,
}

/// Latest time that an incarnation or the start of a process may name, in Unix milliseconds: the
/// end of the year 2199. A record with a later one would outrank all those that follow it.
pub const UNIX_MILLIS_MAX: u64 = 7_258_118_399_999;
/// Highest sequence number of a record or a heartbeat. No process gets there by counting.
pub const SEQUENCE_MAX: u64 = 1 << 53;
/// Highest number of requests that a server may process concurrently.
pub const SLOTS_MAX: Slots = Slots(1 << 16);

/// The first field of a record that is out of range.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum InvalidField {
    /// Not the address and port of a single host.
    Agent,
    /// Later than [`UNIX_MILLIS_MAX`].
    Incarnation,
    /// Above [`SEQUENCE_MAX`].
    Sequence,
    /// Later than [`UNIX_MILLIS_MAX`].
    Started,
    /// Zero or above [`SLOTS_MAX`].
    Slots,
}

/// Whether datagrams can be sent to an address: it names one host and a port.
pub fn reachable(address: &SocketAddr) -> bool {
    let ip = address.ip();
    let several = match ip {
        IpAddr::V4(ip) => ip.is_broadcast(),
        IpAddr::V6(_) => false,
    };
    address.port() != 0 && !ip.is_unspecified() && !ip.is_multicast() && !several
}

impl Member {
    /// Checks that all fields are in range. Another writer's record in the directory may not be.
    pub fn validate(&self) -> Result<(), InvalidField> {
        let checks = [
            (reachable(&self.agent), InvalidField::Agent),
            (
                self.incarnation.0 <= UNIX_MILLIS_MAX,
                InvalidField::Incarnation,
            ),
            (self.sequence.0 <= SEQUENCE_MAX, InvalidField::Sequence),
            (self.started <= UNIX_MILLIS_MAX, InvalidField::Started),
            (
                (Slots(1)..=SLOTS_MAX).contains(&self.slots),
                InvalidField::Slots,
            ),
        ];
        let invalid = checks.into_iter().find(|(valid, _)| !valid);
        invalid.map_or(Ok(()), |(_, field)| Err(field))
    }

    /// Returns the identity of the server's process.
    pub fn process(&self) -> Process {
        Process(hash_bytes(self.server.as_bytes()) ^ self.started)
    }

    /// Returns the identity of the server's process once the agent has heard from it.
    fn named_process(&self) -> Option<Process> {
        (!self.server.is_empty()).then(|| self.process())
    }
}

/// Identity of a server process: a hash of its name and start time. Flows end with their process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Process(pub u64);

impl fmt::Display for Process {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// An agent as a balancer sees it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The latest record.
    pub member: Member,
    /// The last process that a record has named; an agent that restarts names none at first.
    pub process: Option<Process>,
    /// Start of that process in Unix milliseconds.
    pub process_started: u64,
    /// When a message of the agent last arrived, or when its record was first read from the
    /// directory.
    pub last_heard: Instant,
    /// Whether the agent has announced itself to this balancer, as opposed to only being listed in
    /// the directory.
    pub heard_directly: bool,
    /// Requests in progress, as last announced.
    pub busy: u32,
    /// Open flows, as last announced.
    pub flows: u32,
    /// New flows that this balancer has placed on the agent since its last announcement.
    pub placed_since_announce: u32,
    /// Response times and failures of the server, as last announced.
    stats: Option<ResponseStats>,
    /// Whether the server is an outlier of its service. Outliers are the last to get new flows.
    pub outlier: bool,
    /// Hash of the agent's address, for rendezvous hashing.
    hash: u64,
}

impl Entry {
    /// Requests in progress and expected per slot, in thousandths.
    fn load(&self) -> u64 {
        let requests = (u64::from(self.busy) + u64::from(self.placed_since_announce)) * 1000;
        let expected = u64::from(self.flows) * MILLIREQUESTS_PER_FLOW;
        (requests + expected) / u64::from(self.member.slots.0.max(1))
    }
}

/// Agents not heard for this long are the last candidates of a lookup: their announcement is
/// overdue by half an interval. A suspended agent holds up every lookup that reaches it.
pub const OVERDUE_AFTER: Duration = Duration::from_millis(600);
/// Agents not heard for this long get no new flows while others are heard: they have missed three
/// announcements.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1300);
/// Agents not heard for this long are removed: the longest lifetime of a flow.
pub const AGENT_EXPIRY: Duration = Duration::from_secs(60);
/// Agents not heard for this long are the very last candidates of a lookup: a killed agent restarts
/// sooner. They are still asked, because silence doesn't show that their server has ended.
pub const LOST_AFTER: Duration = Duration::from_secs(4);
/// Number of top-ranked agents that are compared by load for a new flow. More would spread flows
/// better, but would make lookups longer, which try the agents in the order of their rank.
const LOAD_CHOICES: usize = 3;
/// Granularity of the load comparison: agents in the same step keep the order of their rank.
const LOAD_STEP_MILLISLOTS: u64 = 250;
/// Average number of requests in progress on an open flow, in thousandths.
const MILLIREQUESTS_PER_FLOW: u64 = 60;

/// Agents that may hold an open flow, in the order of their rank for it. Agents of services that
/// may serve the flow's address come before the others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LookupCandidates {
    /// Agents that announced themselves and their servers to this balancer, and were heard within
    /// [`OVERDUE_AFTER`].
    pub responsive: Vec<SocketAddr>,
    /// Agents that are heard less well. Those not heard for [`SUSPECT_AFTER`] are last, whatever
    /// their service.
    pub overdue: Vec<SocketAddr>,
    /// Agents not heard for [`LOST_AFTER`].
    pub lost: Vec<SocketAddr>,
    /// Agents whose server has announced its end. If they run, the next server of their host may
    /// hold the flow; if they don't, they hold up a lookup, so they are asked after all others.
    pub ended: Vec<SocketAddr>,
}

impl LookupCandidates {
    /// The groups of candidates in the order in which they are asked.
    pub fn groups(&mut self) -> [&mut Vec<SocketAddr>; 4] {
        [
            &mut self.responsive,
            &mut self.overdue,
            &mut self.lost,
            &mut self.ended,
        ]
    }
}

/// The known agents, by address.
#[derive(Debug, Default)]
pub struct Roster {
    entries: BTreeMap<SocketAddr, Entry>,
}

impl Roster {
    /// Merges a record. `direct` is true if it came from the agent itself. Returns whether the
    /// record is new or has changed.
    pub fn merge(&mut self, member: Member, direct: bool, now: Instant) -> bool {
        let key = member.agent;
        let Some(entry) = self.entries.get_mut(&key) else {
            let entry = Entry {
                hash: hash_bytes(key.to_string().as_bytes()),
                process: member.named_process(),
                process_started: member.started,
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
        if let Some(process) = member.named_process() {
            entry.process = Some(process);
            entry.process_started = member.started;
        }
        entry.member = member;
        true
    }

    /// Records the load and the response statistics that an agent has announced.
    pub fn record_load(&mut self, announce: &Announce) {
        if let Some(entry) = self.entries.get_mut(&announce.member.agent) {
            entry.busy = announce.busy;
            entry.flows = announce.flows;
            entry.stats = announce.stats;
            entry.placed_since_announce = 0;
        }
    }

    /// Compares the servers of each service. Returns the agents whose server has become an outlier
    /// or no longer is one.
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

    /// Response statistics that an agent has announced last.
    pub fn stats(&self, agent: &SocketAddr) -> Option<ResponseStats> {
        self.entries.get(agent)?.stats
    }

    /// Counts a new flow that was placed on an agent.
    pub fn record_placement(&mut self, agent: &SocketAddr) {
        if let Some(entry) = self.entries.get_mut(agent) {
            entry.placed_since_announce += 1;
        }
    }

    /// Records that a message of an agent arrived.
    pub fn record_contact(&mut self, agent: &SocketAddr, now: Instant) {
        if let Some(entry) = self.entries.get_mut(agent) {
            entry.last_heard = now;
        }
    }

    /// Moves all times forward by a pause of this process, so that it isn't taken for silence of
    /// the agents.
    pub fn discount_pause(&mut self, pause: Duration) {
        for entry in self.entries.values_mut() {
            entry.last_heard += pause;
        }
    }

    /// Removes agents that were not heard for [`AGENT_EXPIRY`].
    pub fn expire(&mut self, now: Instant) {
        self.entries
            .retain(|_, entry| now.saturating_duration_since(entry.last_heard) < AGENT_EXPIRY);
    }

    /// Entry of the agent at this address.
    pub fn get(&self, agent: &SocketAddr) -> Option<&Entry> {
        self.entries.get(agent)
    }

    /// All entries, ordered by address.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Number of known agents, including silent ones.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no agent is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Agents that may take a new flow of `service`, the best first. Agents whose server is an
    /// outlier come after the others, then those that are only listed in the directory, whose record
    /// may be old, and those not heard for [`SUSPECT_AFTER`] last.
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
        let (mut heard, mut listed): (Vec<_>, Vec<_>) =
            heard.into_iter().partition(|entry| entry.heard_directly);
        if heard.is_empty() {
            // No announcement has arrived yet since the start.
            std::mem::swap(&mut heard, &mut listed);
        }
        let (outliers, mut heard): (Vec<_>, Vec<_>) = heard.into_iter().partition(|e| e.outlier);
        let compared = LOAD_CHOICES.min(heard.len());
        heard[..compared].sort_by_key(|entry| entry.load() / LOAD_STEP_MILLISLOTS);
        let mut agents: Vec<_> = heard.iter().map(|entry| entry.member.agent).collect();
        agents.extend(outliers.iter().map(|entry| entry.member.agent));
        agents.extend(listed.iter().map(|entry| entry.member.agent));
        agents.extend(suspect.iter().map(|entry| entry.member.agent));
        agents
    }

    /// Agents that may hold an open flow: all except those that have [left](Self::left).
    pub fn lookup_candidates(
        &self,
        may_serve: impl Fn(&str) -> bool,
        flow: &Flow,
        now: Instant,
    ) -> LookupCandidates {
        let mut order = self.ranked(flow, |entry| !left(entry, now));
        order.sort_by_key(|entry| (suspect(entry, now), !may_serve(&entry.member.service)));
        let mut candidates = LookupCandidates::default();
        for entry in order {
            let unheard = !entry.heard_directly || entry.member.state == State::Waiting;
            let group = if entry.member.state == State::Gone {
                &mut candidates.ended
            } else if silent(entry, now, LOST_AFTER) {
                &mut candidates.lost
            } else if unheard || silent(entry, now, OVERDUE_AFTER) {
                &mut candidates.overdue
            } else {
                &mut candidates.responsive
            };
            group.push(entry.member.agent);
        }
        candidates
    }

    /// Whether an agent hasn't been heard for [`LOST_AFTER`] since its server announced its end. A
    /// record alone doesn't show that: it may be older than the server that runs now.
    pub fn left(&self, agent: &SocketAddr, now: Instant) -> bool {
        self.entries
            .get(agent)
            .is_some_and(|entry| left(entry, now))
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

fn left(entry: &Entry, now: Instant) -> bool {
    entry.member.state == State::Gone && silent(entry, now, LOST_AFTER)
}

fn suspect(entry: &Entry, now: Instant) -> bool {
    silent(entry, now, SUSPECT_AFTER)
}

fn silent(entry: &Entry, now: Instant, limit: Duration) -> bool {
    now.saturating_duration_since(entry.last_heard) > limit
}

//! Scenario files: the processes and clients of a run, and the faults that occur.

use std::ops::Range;
use std::path::Path;

use anyhow::{Context, Result};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoEnumIterator};

/// The description of a run. Its fields are the keys of a scenario file; each has a default.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scenario {
    /// Number of balancers; at least 1.
    pub balancers: usize,
    /// Number of servers at the start, for each service.
    pub servers: Vec<usize>,
    /// Number of requests that a server processes at the same time; at least 1.
    pub slots: u32,
    /// Number of requests that may wait at a server; further ones are shed.
    pub queue: usize,
    /// Processing time of a request in milliseconds.
    pub work_ms: u64,
    /// Number of clients. Each sends one request at a time.
    pub clients: usize,
    /// Mean time between the end of a client's request and the next one, in milliseconds.
    pub pause_ms: u64,
    /// Share of clients that open a new flow for each request, from 0 to 1.
    pub fresh: f64,
    /// Share of clients that repeat a request that a server may have executed, from 0 to 1.
    pub repeats: f64,
    /// Mean one-way delay between hosts in milliseconds.
    pub delay_ms: f64,
    /// Share of datagrams between hosts that are lost, from 0 to 1.
    pub loss: f64,
    /// Time after which a client gives a request up, in milliseconds.
    pub deadline_ms: u64,
    /// Number of ports that a client uses in turn for its flows; 0 for all of them.
    pub ports: u16,
    /// Duration of the traffic in seconds, after [`WARM_UP_S`] without any.
    pub length_s: f64,
    /// Faults and planned changes.
    pub events: Vec<Event>,
}

/// Time in seconds before the first request, in which the processes start.
pub const WARM_UP_S: f64 = 3.0;

impl Default for Scenario {
    fn default() -> Self {
        Self {
            balancers: 4,
            servers: vec![7, 3],
            slots: 4,
            queue: 16,
            work_ms: 30,
            clients: 150,
            pause_ms: 400,
            fresh: 0.3,
            repeats: 0.8,
            delay_ms: 3.0,
            loss: 0.001,
            deadline_ms: 2000,
            ports: 0,
            length_s: 20.0,
            events: Vec::new(),
        }
    }
}

/// A fault or a planned change at a time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Start, in seconds after the start of the traffic.
    pub at_s: f64,
    /// Kind of fault or change.
    pub kind: EventKind,
    /// Number of processes or hosts affected, in the order of their indices; default 1. Ignored by
    /// kinds that concern the whole installation.
    #[serde(default = "default_count")]
    pub count: usize,
    /// Index of the first process or host affected; default 0.
    #[serde(default)]
    pub first: usize,
    /// Duration in seconds; default 0. Ignored by kinds without a duration.
    #[serde(default)]
    pub for_s: f64,
    /// Intensity: the factor of [`EventKind::SlowServers`] and [`EventKind::Burst`], or the share
    /// lost with [`EventKind::LossyLinks`]; default 3. The key in files is `x`.
    #[serde(default = "default_intensity")]
    #[serde(rename = "x")]
    pub intensity: f64,
}

fn default_intensity() -> f64 {
    3.0
}

fn default_count() -> usize {
    1
}

impl Event {
    /// Indices of the affected ones of `total` processes or hosts.
    pub fn targets(&self, total: usize) -> Range<usize> {
        let end = self.first.saturating_add(self.count).min(total);
        self.first.min(end)..end
    }
}

/// Kinds of faults and planned changes. Their names in files are in snake case.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EventKind {
    /// Balancers are killed without warning and start again.
    KillBalancers,
    /// Balancers leave the fabric's rotation, then stop and start again.
    RestartBalancers,
    /// Agents are killed without warning and start again; their servers keep running.
    KillAgents,
    /// Agents stop in order and start again; their servers keep running.
    RestartAgents,
    /// Servers crash and start again under new names.
    CrashServers,
    /// All hosts lose power and start again; `count` is ignored.
    PowerOff,
    /// Servers drain and exit for good, with their agents.
    DrainServers,
    /// Servers are added to the first service.
    AddServers,
    /// The directory doesn't answer, and stores nothing.
    DirectoryDown,
    /// The directory's lists don't show changes.
    DirectoryStale,
    /// The directory comes back, `for_s` seconds later, with the records and snapshots that it holds
    /// now. The operator writes the configuration again at once.
    RestoreDirectory,
    /// Balancers are suspended; what they receive waits.
    FreezeBalancers,
    /// Agents are suspended; their servers keep running.
    FreezeAgents,
    /// Balancers are cut off from agents, other balancers and the directory, in both directions.
    CutBalancers,
    /// Messages of balancers to agents, other balancers and the directory are lost.
    MuteBalancers,
    /// Agents are cut off from balancers, other agents and the directory, in both directions.
    CutAgents,
    /// Messages of agents to balancers, other agents and the directory are lost.
    MuteAgents,
    /// Servers take `x` times as long for a request, rounded down to a whole factor.
    SlowServers,
    /// Servers leave some requests unanswered, but keep sending heartbeats.
    GreyServers,
    /// Clients send requests `x` times as often.
    Burst,
    /// Links between hosts lose a share `x` of the datagrams.
    LossyLinks,
    /// A new configuration sends flows of the first route to the first two services, with other
    /// weights each time.
    ChangeWeights,
    /// What an agent sends to one balancer is lost; each agent has another balancer.
    MutePairs,
    /// What one balancer sends to an agent is lost; each agent has another balancer.
    DeafPairs,
    /// Servers drain and exit; their agents go on, and other servers start on the hosts at once.
    ReplaceServers,
    /// Servers crash, and others start on the hosts at once. Those take flows before their first
    /// heartbeat, and drain `for_s` seconds later.
    DrainSuccessors,
    /// Agents are killed, and the clocks of their hosts go back by `x` seconds before they start
    /// again.
    SetClocksBack,
}

impl EventKind {
    /// Whether only scenario files name the kind: drawing it would change the mixtures of all seeds.
    fn is_explicit(self) -> bool {
        matches!(self, Self::RestoreDirectory | Self::RestartAgents)
    }

    /// Whether only [`Scenario::with_aimed_events`] draws the kind.
    fn is_aimed(self) -> bool {
        matches!(
            self,
            Self::MutePairs
                | Self::DeafPairs
                | Self::ReplaceServers
                | Self::DrainSuccessors
                | Self::SetClocksBack
        )
    }
}

/// Kinds that [`Scenario::with_aimed_events`] draws besides the aimed ones: they send packets of
/// open flows through other balancers, or end servers.
const AIMED_COMPANIONS: [EventKind; 6] = [
    EventKind::RestartBalancers,
    EventKind::KillBalancers,
    EventKind::FreezeBalancers,
    EventKind::KillAgents,
    EventKind::DrainServers,
    EventKind::AddServers,
];

/// Share of the traffic after which no series of random events begins, so that the run also covers
/// the recovery.
const MIX_START_SHARE_MAX: f64 = 0.6;
/// Upper limit of the number of series of random events in a run.
const MIX_SERIES_MAX: usize = 5;
/// Upper limit of the number of events in a series.
const MIX_EVENTS_PER_SERIES_MAX: usize = 3;

impl Scenario {
    /// Returns the scenario with random series of events added, which may overlap. The same seed
    /// gives the same events.
    pub fn with_random_events(&self, seed: u64) -> Self {
        let kinds: Vec<_> = EventKind::iter()
            .filter(|kind| !kind.is_aimed() && !kind.is_explicit())
            .collect();
        self.with_events_of(&kinds, seed)
    }

    /// Like [`Self::with_random_events`], of the kinds that aim at resets of open flows.
    pub fn with_aimed_events(&self, seed: u64) -> Self {
        let aimed = EventKind::iter().filter(|kind| kind.is_aimed());
        let kinds: Vec<_> = aimed.chain(AIMED_COMPANIONS).collect();
        self.with_events_of(&kinds, seed)
    }

    fn with_events_of(&self, kinds: &[EventKind], seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut scenario = self.clone();
        for _ in 0..random.random_range(2..=MIX_SERIES_MAX) {
            let Some(kind) = kinds.choose(&mut random).copied() else {
                break;
            };
            let mut at_s = self.length_s * random.random_range(0.05..MIX_START_SHARE_MAX);
            let gap_s = random.random_range(0.2..3.0);
            let events = match kind {
                EventKind::PowerOff => 1,
                _ => random.random_range(1..=MIX_EVENTS_PER_SERIES_MAX),
            };
            for _ in 0..events {
                scenario.events.push(Event {
                    at_s,
                    kind,
                    count: random.random_range(1..=3),
                    first: 0,
                    for_s: random.random_range(0.2..4.0),
                    intensity: match kind {
                        EventKind::LossyLinks => 0.03,
                        _ => random.random_range(1.5..4.0),
                    },
                });
                at_s += gap_s;
            }
        }
        scenario
    }

    /// Returns the scenario with one key changed, given as `key=value` with the value in JSON.
    pub fn with_change(&self, change: &str) -> Result<Self> {
        let (key, value) = change
            .split_once('=')
            .with_context(|| format!("invalid change {change:?}: expected key=value"))?;
        let mut scenario = serde_json::to_value(self)?;
        let entry = scenario
            .get_mut(key)
            .with_context(|| format!("unknown scenario key {key:?}"))?;
        *entry = serde_json::from_str(value)
            .with_context(|| format!("the value {value:?} of {key} is not valid JSON"))?;
        let scenario: Self = serde_json::from_value(scenario)
            .with_context(|| format!("invalid value {value} of {key}"))?;
        scenario.validate()?;
        Ok(scenario)
    }

    /// Reads and validates a scenario file, which is JSON with comments.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("failed to read {}", path.display()))?;
        Self::parse(&text).with_context(|| format!("invalid scenario file {}", path.display()))
    }

    /// Parses and validates the text of a scenario file.
    ///
    /// ```
    /// use flamingofall_emulator::scenario::Scenario;
    ///
    /// let scenario = Scenario::parse("{ // three balancers\n \"balancers\": 3 }").unwrap();
    /// assert_eq!(scenario.balancers, 3);
    /// ```
    pub fn parse(text: &str) -> Result<Self> {
        let value = jsonc_parser::parse_to_serde_value(text, &Default::default())?
            .context("the file is empty")?;
        let scenario: Self = serde_json::from_value(value)?;
        scenario.validate()?;
        Ok(scenario)
    }

    fn validate(&self) -> Result<()> {
        anyhow::ensure!(self.balancers > 0, "balancers must be at least 1");
        anyhow::ensure!(!self.servers.is_empty(), "servers must not be empty");
        anyhow::ensure!(self.slots > 0, "slots must be at least 1");
        for (key, share) in [
            ("fresh", self.fresh),
            ("repeats", self.repeats),
            ("loss", self.loss),
        ] {
            anyhow::ensure!(
                (0.0..=1.0).contains(&share),
                "{key} must be between 0 and 1"
            );
        }
        Ok(())
    }
}

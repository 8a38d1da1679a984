//! What exists in a run, and what fails when.

use std::path::Path;

use anyhow::{Context, Result};
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoEnumIterator};

/// A run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scenario {
    /// Balancers at the start.
    pub balancers: usize,
    /// Servers of each service at the start.
    pub servers: Vec<usize>,
    /// Requests that a server works on at the same time.
    pub slots: u32,
    /// Requests that wait at a server; more are shed.
    pub queue: usize,
    /// Work of a request in milliseconds.
    pub work_ms: u64,
    /// Clients. Each has one request at a time.
    pub clients: usize,
    /// Time between a client's requests in milliseconds, on average.
    pub pause_ms: u64,
    /// Share of clients that open a flow for each request.
    pub fresh: f64,
    /// Share of clients that repeat a request although its server may have run it.
    pub repeats: f64,
    /// One-way delay between hosts in milliseconds.
    pub delay_ms: f64,
    /// Share of datagrams lost.
    pub loss: f64,
    /// Deadline of a request in milliseconds.
    pub deadline_ms: u64,
    /// Length of the run in seconds, after [`WARM_UP_S`] without traffic.
    pub length_s: f64,
    /// What happens.
    pub events: Vec<Event>,
}

/// Time before the first request in seconds.
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
            length_s: 20.0,
            events: Vec::new(),
        }
    }
}

/// Something that happens once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Event {
    /// Seconds since the start of traffic.
    pub at_s: f64,
    /// What happens.
    pub kind: EventKind,
    /// How many are affected; those with the lowest index first.
    #[serde(default = "default_count")]
    pub count: usize,
    /// How long it lasts in seconds.
    #[serde(default)]
    pub for_s: f64,
    /// How strong it is: times as slow or as many, or a share lost.
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

/// Kinds of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EventKind {
    /// Balancers are killed and start again.
    KillBalancers,
    /// Balancers leave the fabric, then stop and start again.
    RestartBalancers,
    /// Agents are killed and start again; their servers live on.
    KillAgents,
    /// Servers crash and start again under new names.
    CrashServers,
    /// All hosts lose power and start again.
    PowerOff,
    /// Servers drain, end and don't come back.
    DrainServers,
    /// Servers are added to the first service.
    AddServers,
    /// The directory doesn't answer.
    DirectoryDown,
    /// The directory's lists stay as they are.
    DirectoryStale,
    /// Balancers stand still.
    FreezeBalancers,
    /// Agents stand still; their servers work on.
    FreezeAgents,
    /// Balancers reach neither agents, other balancers nor the directory, nor are reached.
    CutBalancers,
    /// What balancers send to other hosts is lost.
    MuteBalancers,
    /// Agents reach neither balancers, other agents nor the directory, nor are reached.
    CutAgents,
    /// What agents send to other hosts is lost.
    MuteAgents,
    /// Servers take `x` times as long.
    SlowServers,
    /// Servers leave some requests without an answer.
    GreyServers,
    /// Clients ask `x` times as often.
    Burst,
    /// Links lose a share `x` of the datagrams.
    LossyLinks,
    /// The first route gets all services with changing weights.
    ChangeWeights,
}

/// Share of the run after which no random event begins, so that clients see the recovery.
const MIX_START_SHARE_MAX: f64 = 0.6;
/// Series of random events, and events in a series, at most.
const MIX_SERIES_MAX: usize = 5;
const MIX_EVENTS_PER_SERIES_MAX: usize = 3;

impl Scenario {
    /// The scenario with random series of events that overlap, as the seed decides.
    pub fn with_random_events(&self, seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let kinds: Vec<_> = EventKind::iter().collect();
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

    /// The scenario with one key changed, as `key=value` with the value in JSON.
    pub fn with_change(&self, change: &str) -> Result<Self> {
        let (key, value) = change
            .split_once('=')
            .with_context(|| format!("{change:?} is not key=value"))?;
        let mut scenario = serde_json::to_value(self)?;
        let entry = scenario
            .get_mut(key)
            .with_context(|| format!("a scenario has no key {key:?}"))?;
        *entry = serde_json::from_str(value).with_context(|| format!("{value:?} is not JSON"))?;
        let scenario: Self = serde_json::from_value(scenario)
            .with_context(|| format!("{value} is not a value of {key}"))?;
        scenario.validate()?;
        Ok(scenario)
    }

    /// Reads a scenario file: JSON with comments.
    pub fn read(path: &Path) -> Result<Self> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("can't read {}", path.display()))?;
        Self::parse(&text).with_context(|| format!("{} is not a scenario", path.display()))
    }

    /// Reads the text of a scenario.
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
            anyhow::ensure!((0.0..=1.0).contains(&share), "{key} must be 0 to 1");
        }
        Ok(())
    }
}

//! What exists in a run, and what fails when.

use std::path::Path;

use anyhow::{Context, Result};
use serde::{Deserialize, Serialize};
use strum::Display;

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
    /// Length of the run in seconds, after [`LEAD_S`] without traffic.
    pub length_s: f64,
    /// What happens.
    pub events: Vec<Event>,
}

/// Time before the first request in seconds.
pub const LEAD_S: f64 = 3.0;

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
    pub kind: Kind,
    /// How many are affected; those with the lowest index first.
    #[serde(default = "one")]
    pub count: usize,
    /// How long it lasts in seconds.
    #[serde(default)]
    pub for_s: f64,
}

fn one() -> usize {
    1
}

/// Kinds of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
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
    /// The first route gets all services with changing weights.
    ChangeWeights,
}

impl Scenario {
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
        anyhow::ensure!(scenario.balancers > 0, "balancers must be at least 1");
        anyhow::ensure!(!scenario.servers.is_empty(), "servers must not be empty");
        anyhow::ensure!(scenario.slots > 0, "slots must be at least 1");
        Ok(scenario)
    }
}

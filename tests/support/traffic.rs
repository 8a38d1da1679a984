//! Requests, network faults and plans for the tests of guarantees, and servers without a load
//! balancer as their control.

#![allow(dead_code)] // Each including file uses only some of these items.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{Context, Result};
use flamingofall_standins::caller::Caller;
use flamingofall_standins::effect;
use flamingofall_standins::fabric::{Fabric, Faults};
use flamingofall_standins::protocol::{Kind, Request};
use flamingofall_standins::server::{Config, Server};

use crate::installation::{Mode, Plan, ServicePlan};

/// Runs the daemons as processes, from the binaries that Cargo built for the tests.
pub const PROCESSES: Mode = Mode::Processes {
    balancer: env!("CARGO_BIN_EXE_flamingofall-balancer"),
    agent: env!("CARGO_BIN_EXE_flamingofall-agent"),
};

/// Runs a test with `seed`, or with that of the environment variable `SEED`. An error contains the
/// command that repeats the run.
pub async fn run_with_seed<F>(test: &str, seed: u64, run: impl FnOnce(u64) -> F) -> Result<()>
where
    F: Future<Output = Result<()>>,
{
    let seed = std::env::var("SEED").map_or(Ok(seed), |seed| seed.parse())?;
    let file = env!("CARGO_CRATE_NAME");
    let command = format!("SEED={seed} cargo test --test {file} {test}");
    run(seed).await.context(command)
}

/// Returns faults of every kind: delay, jitter, loss, reordering and duplication.
pub fn faults() -> Faults {
    Faults {
        delay: Duration::from_millis(1),
        jitter: Duration::from_millis(4),
        loss: 0.01,
        reorder: 0.05,
        reorder_by: Duration::from_millis(30),
        duplicate: 0.1,
    }
}

pub fn request(id: &str, kind: Kind, size: u64, work_ms: u64) -> Request {
    Request {
        id: id.to_owned(),
        kind,
        size,
        work_ms,
        ..Request::default()
    }
}

/// Returns the plan of an installation with two services of three servers each.
pub fn small_plan(seed: u64) -> Plan {
    let mut plan = Plan::ahjo(seed);
    for service in &mut plan.services {
        service.servers = 3;
    }
    plan
}

/// Servers that get their packets directly from the fabric, without balancers and agents.
///
/// The tests of guarantees use them as a control: a check must find a violation here.
pub struct DirectServers {
    pub fabric: Fabric,
    pub servers: Vec<Server>,
    pub effects: effect::Log,
}

impl DirectServers {
    pub async fn start(seed: u64, services: &[ServicePlan]) -> Result<Self> {
        let fabric = Fabric::start(seed).await?;
        let effects = effect::Log::new();
        let mut servers = Vec::new();
        for service in services {
            for number in 1..=service.servers {
                let name = format!("{}-{number}", service.name);
                let mut config =
                    Config::new(&name, service.name, service.address, fabric.address());
                config.effects = effects.clone();
                let server = Server::start(config).await?;
                fabric.add_balancer(server.address());
                servers.push(server);
            }
        }
        Ok(Self {
            fabric,
            servers,
            effects,
        })
    }

    pub fn caller(&self, last: u8) -> Caller {
        Caller::start(self.fabric.attach([203, 0, 113, last].into()), last.into())
    }

    pub fn misdelivered_packets(&self) -> u64 {
        let counts = self.servers.iter().map(|server| server.counts());
        counts.map(|counts| counts.misdelivered).sum()
    }
}

/// Returns the address of the plan's first service.
pub fn first_address(plan: &Plan) -> SocketAddr {
    plan.services[0].address
}

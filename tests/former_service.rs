//! Tests of flows whose address moves to another service or is removed, with running daemons.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{ensure, Context, Result};
use flamingofall::config::{Config, Timestamp};
use flamingofall::id::Generation;
use flamingofall_standins::caller::{Caller, Flow, Options};
use flamingofall_standins::protocol::Request;
use installation::{Installation, Plan};
use yare::parameterized;

#[path = "support/installation.rs"]
mod installation;

const TIMEOUT: Duration = Duration::from_secs(10);
const FLOWS: usize = 12;
const FORMER_SERVICE: &str = "statement-service";
const NEW_SERVICE: &str = "payout-portal";

async fn server(flow: &Flow, id: String) -> Result<String> {
    let request = Request {
        id,
        ..Request::default()
    };
    Ok(flow.request(request, TIMEOUT).await?.server)
}

async fn open(caller: &Caller, to: SocketAddr, id: &str) -> Result<Vec<(Flow, String)>> {
    let mut flows = Vec::new();
    for number in 0..FLOWS {
        let flow = caller.connect(to, Options::default()).await?;
        let server = server(&flow, format!("{id}-{number}")).await?;
        flows.push((flow, server));
    }
    Ok(flows)
}

/// Returns the next configuration, without the former service. If `moves`, its addresses belong to
/// the new service.
fn without_former_service(before: &Config, moves: bool) -> Config {
    let mut config = before.clone();
    let old = config
        .services
        .remove(&FORMER_SERVICE.parse().unwrap())
        .unwrap();
    if moves {
        let new = config
            .services
            .get_mut(&NEW_SERVICE.parse().unwrap())
            .unwrap();
        new.addresses.extend(old.addresses);
        new.addresses.sort();
    }
    config.carry_over(before, Generation(2), Timestamp::now());
    config
}

/// Guards against breaking established flows when their service is removed or its address moves,
/// and against new flows that the former service accepts.
#[parameterized(removed = { false, 31 }, moved = { true, 32 })]
fn flows_live_on(moves: bool, seed: u64) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(change(moves, seed)).unwrap();
}

async fn change(moves: bool, seed: u64) -> Result<()> {
    let mut installation = Installation::start(Plan::ahjo(seed)).await?;
    let address = installation.plan.services[1].address;
    let caller = installation.caller();
    let held = open(&caller, address, "before").await?;
    let config = without_former_service(&installation.plan.config(), moves);
    installation.apply(&config).await?;
    // Wait until each agent has received the configuration with a heartbeat answer.
    tokio::time::sleep(Duration::from_secs(5)).await;
    for round in 0..3 {
        for (number, (flow, before)) in held.iter().enumerate() {
            let now = server(flow, format!("after-{round}-{number}")).await;
            let now = now.with_context(|| format!("flow {number} on {before}"))?;
            ensure!(now == *before, "flow {number}: {before}, then {now}");
        }
    }
    let old: BTreeSet<&String> = held.iter().map(|(_, server)| server).collect();
    for number in 0..6 {
        let options = Options::default();
        let connecting =
            tokio::time::timeout(Duration::from_secs(1), caller.connect(address, options));
        if let Ok(Ok(flow)) = connecting.await {
            let server = server(&flow, format!("new-{number}")).await;
            ensure!(
                server
                    .as_ref()
                    .map_or(true, |server| moves && !old.contains(server)),
                "a new flow reached {server:?}"
            );
        }
    }
    Ok(())
}

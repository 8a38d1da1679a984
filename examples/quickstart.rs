//! Runs a complete installation in one process: a fabric that spreads packets over three balancers,
//! agents, backend servers and a caller. One server is drained and one balancer is killed while
//! flows are open.
//!
//! `cargo run --release --example quickstart`

use std::collections::BTreeMap;
use std::time::Duration;

use anyhow::{ensure, Result};
use flamingofall_standins::caller::{Caller, Failure, Flow, Options};
use flamingofall_standins::protocol::{Kind, Request, Status};

#[path = "../tests/support/installation.rs"]
mod installation;

use installation::{Installation, Plan};

/// Flows held open during the drain and the kill.
const OPEN_FLOWS: usize = 200;
/// Confirmations sent after the drain and the kill, each over a flow of its own.
const CONFIRMATIONS: usize = 200;
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::main]
async fn main() -> Result<()> {
    flamingofall::logging::init();
    let mut installation = Installation::start(Plan::ahjo(1)).await?;
    let portal_address = installation.plan.services[0].address;
    let caller = installation.caller();

    let mut flows = Vec::new();
    for number in 0..OPEN_FLOWS {
        let flow = caller.connect(portal_address, Options::default()).await?;
        let server = confirm(&flow, &format!("open-{number}")).await?;
        flows.push((flow, server));
    }
    let flows_per_server = flows
        .iter()
        .fold(BTreeMap::new(), |mut counts, (_, server)| {
            *counts.entry(server.clone()).or_insert(0usize) += 1;
            counts
        });

    let drained_server = flows[0].1.clone();
    for node in &installation.nodes {
        if node.agent.name == drained_server {
            node.server.drain();
        }
    }
    let killed_balancer = installation.balancers.remove(1);
    killed_balancer.kill()?;
    installation.fabric.remove_balancer(killed_balancer.data);
    // The agent learns of the drain from the server's next announcement.
    tokio::time::sleep(Duration::from_secs(2)).await;

    let (mut refused, mut opened_on_drained) = (0, 0);
    for number in 0..CONFIRMATIONS {
        match confirm_on_new_flow(&caller, portal_address, &format!("short-{number}")).await {
            Ok(server) if server == drained_server => opened_on_drained += 1,
            Ok(_) => {}
            Err(Failure::Refused) => refused += 1,
            Err(other) => anyhow::bail!("confirmation {number}: {other}"),
        }
    }
    let (mut broken, mut moved) = (0, 0);
    for (number, (flow, server)) in flows.iter().enumerate() {
        match confirm(flow, &format!("again-{number}")).await {
            Ok(now) if now == *server => {}
            Ok(_) => moved += 1,
            Err(_) => broken += 1,
        }
    }
    let counts: Vec<_> = installation
        .nodes
        .iter()
        .map(|node| node.server.counts())
        .collect();
    let misdelivered: u64 = counts.iter().map(|c| c.misdelivered).sum();
    let duplicates = installation.effects.duplicates().len();
    // The payout portal has 7 servers.
    let mean = OPEN_FLOWS as f64 / 7.0;
    let highest = flows_per_server.values().max().copied().unwrap_or_default() as f64;
    println!("flows held open           {OPEN_FLOWS}");
    println!("  broken                  {broken}");
    println!("  moved to another server {moved}");
    println!("  on each server          {flows_per_server:?}");
    println!("  imbalance (max/mean)    {:.2}", highest / mean);
    println!("confirmations             {CONFIRMATIONS}");
    println!("  refused (not run)       {refused}");
    println!("  on the drained server   {opened_on_drained}");
    println!("  run twice               {duplicates}");
    println!("packets misdelivered      {misdelivered}");
    ensure!(
        broken == 0 && moved == 0,
        "flows broke or moved to another server"
    );
    ensure!(misdelivered == 0, "packets reached the wrong service");
    ensure!(duplicates == 0, "confirmations ran more than once");
    ensure!(opened_on_drained == 0, "the draining server got new flows");
    Ok(())
}

/// Sends a confirmation over an open flow and returns the server that ran it.
async fn confirm(flow: &Flow, id: &str) -> Result<String> {
    let request = Request {
        id: id.to_owned(),
        kind: Kind::Confirm,
        size: 2000,
        work_ms: 1,
        ..Request::default()
    };
    let response = flow.request(request, REQUEST_TIMEOUT).await?;
    ensure!(
        response.correct,
        "the response to {id} has the wrong content"
    );
    ensure!(
        response.status == Status::Done,
        "{id} ended with status {:?}",
        response.status
    );
    Ok(response.server)
}

/// Sends a confirmation over a new flow and returns the server that ran it.
async fn confirm_on_new_flow(
    caller: &Caller,
    to: std::net::SocketAddr,
    id: &str,
) -> std::result::Result<String, Failure> {
    let flow = caller.connect(to, Options::default()).await?;
    let server = confirm(&flow, id).await.map_err(|_| Failure::Reset);
    flow.close();
    server
}

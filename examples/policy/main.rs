//! Compares the broken flows and load imbalance of routing policies in a discrete-event simulation
//! that runs the production cores in virtual time.
//!
//! `cargo run --release --example policy -- [--json] [--runs N] [--case NAME]`

mod model;
mod network;

use std::thread;
use std::time::Duration;

use argh::FromArgs;
use model::{sum_outcomes, Case, Deployment, Outcome, Policy, Simulation};
use network::Links;
use strum::IntoEnumIterator;

/// Measures broken flows and imbalance of routing policies.
#[derive(FromArgs)]
struct Options {
    /// print JSON instead of a table
    #[argh(switch)]
    json: bool,
    /// runs with different seeds per line (default 3)
    #[argh(option, default = "3")]
    runs: u64,
    /// only this case
    #[argh(option)]
    case: Option<String>,
}

const DEPLOYMENTS: [Deployment; 2] = [
    Deployment {
        name: "ahjo",
        servers: 7,
        slots: 4,
        domains: 3,
        links: Links {
            caller: Duration::from_millis(3),
            domain: Duration::from_millis(4),
            loss: 0.01,
        },
    },
    Deployment {
        name: "transcripciones",
        servers: 7,
        slots: 5,
        domains: 4,
        links: Links {
            caller: Duration::from_millis(1),
            domain: Duration::from_millis(4),
            loss: 0.01,
        },
    },
];

#[derive(serde::Serialize)]
struct Line {
    deployment: &'static str,
    case: String,
    policy: String,
    flows: u64,
    broken_per_100k: f64,
    lost_with_server_per_100k: f64,
    refused_per_100k: f64,
    unopened_per_100k: f64,
    second_owners: u64,
    imbalance_p50: f64,
    imbalance_p99: f64,
    latency_p50_ms: u64,
    latency_p99_ms: u64,
}

fn main() -> anyhow::Result<()> {
    let options: Options = argh::from_env();
    let mut lines = Vec::new();
    for deployment in DEPLOYMENTS {
        for case in Case::iter() {
            if options
                .case
                .as_ref()
                .is_some_and(|only| *only != case.to_string())
            {
                continue;
            }
            let jobs: Vec<_> = Policy::iter()
                .flat_map(|policy| (0..options.runs).map(move |seed| (policy, seed)))
                .map(|(policy, seed)| {
                    let run = move || Simulation::new(policy, case, deployment, seed + 1).run();
                    (policy, thread::spawn(run))
                })
                .collect();
            let mut done: Vec<(Policy, Outcome)> = Vec::new();
            for (policy, job) in jobs {
                let outcome = job.join().map_err(|_| anyhow::anyhow!("a run panicked"))?;
                done.push((policy, outcome));
            }
            for policy in Policy::iter() {
                let of_policy = done.iter().filter(|(p, _)| *p == policy);
                let total = sum_outcomes(of_policy.map(|(_, outcome)| outcome.clone()).collect());
                lines.push(line(&deployment, case, policy, &total));
            }
        }
    }
    if options.json {
        println!("{}", serde_json::to_string_pretty(&lines)?);
        return Ok(());
    }
    println!(
        "{:<16} {:<19} {:<8} {:>7} {:>9} {:>8} {:>8} {:>8} {:>6} {:>6} {:>6} {:>7} {:>7}",
        "deployment",
        "case",
        "policy",
        "flows",
        "broken",
        "lost",
        "refused",
        "unopen",
        "second",
        "imb50",
        "imb99",
        "p50 ms",
        "p99 ms"
    );
    for l in &lines {
        println!(
            "{:<16} {:<19} {:<8} {:>7} {:>9.1} {:>8.1} {:>8.1} {:>8.1} {:>6} {:>6.2} {:>6.2} {:>7} {:>7}",
            l.deployment,
            l.case,
            l.policy,
            l.flows,
            l.broken_per_100k,
            l.lost_with_server_per_100k,
            l.refused_per_100k,
            l.unopened_per_100k,
            l.second_owners,
            l.imbalance_p50,
            l.imbalance_p99,
            l.latency_p50_ms,
            l.latency_p99_ms
        );
    }
    Ok(())
}

fn line(deployment: &Deployment, case: Case, policy: Policy, total: &Outcome) -> Line {
    let per_100k = |count: u64| count as f64 * 100_000.0 / total.flows as f64;
    let imbalance = |quantile| total.imbalance.value_at_quantile(quantile) as f64 / 1000.0;
    Line {
        deployment: deployment.name,
        case: case.to_string(),
        policy: policy.to_string(),
        flows: total.flows,
        broken_per_100k: per_100k(total.broken),
        lost_with_server_per_100k: per_100k(total.lost_with_server),
        refused_per_100k: per_100k(total.refused),
        unopened_per_100k: per_100k(total.unopened),
        second_owners: total.second_owners,
        imbalance_p50: imbalance(0.5),
        imbalance_p99: imbalance(0.99),
        latency_p50_ms: total.latency.value_at_quantile(0.5),
        latency_p99_ms: total.latency.value_at_quantile(0.99),
    }
}

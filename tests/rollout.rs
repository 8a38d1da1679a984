//! Commands against running daemons: a change that is reported as in force has taken effect.

use std::time::Duration;

use flamingofall::cli::{run, Exit};
use flamingofall_standins::caller::Options;
use installation::{Installation, Plan};
use serde_json::Value as Json;

#[path = "support/installation.rs"]
mod installation;

async fn command(installation: &Installation, line: &str) -> String {
    let url = format!("http://{}", installation.store.address());
    let mut arguments = vec!["flamingofall", "--store", &url];
    arguments.extend(line.split_whitespace());
    let (exit, text) = outcome(&arguments).await;
    assert_eq!(exit, Exit::Success, "{line}: {text}");
    text
}

async fn outcome(arguments: &[&str]) -> (Exit, String) {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = run(arguments, &mut out, &mut err).await;
    (exit, String::from_utf8([out, err].concat()).unwrap())
}

/// Waits until `status` shows a server in a state. Fails after 200 attempts, 50 ms apart.
async fn wait_for_state(installation: &Installation, server: &str, state: &str) {
    for _ in 0..200 {
        let status = command(installation, "status --json").await;
        let status: Json = serde_json::from_str(&status).unwrap();
        let mut servers = status["servers"].as_array().unwrap().iter();
        if servers.any(|s| s["member"] == server && s["state"] == state) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("{server} is not {state}");
}

/// Guards against drains that are accepted but don't reach the balancers or the agent.
#[test]
fn drain_takes_effect() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let installation = Installation::start(Plan::ahjo(3)).await.unwrap();
        let server = "payout-portal-1";
        for (verb, state) in [("drain", "draining"), ("undrain", "active")] {
            let line = format!("{verb} --server {server}");
            let text = command(&installation, &line).await;
            assert!(text.contains("is in force on 3 of 3 balancers"), "{text}");
            wait_for_state(&installation, server, state).await;
        }
    });
}

/// Guards against a drain that is reported as complete while flows are open, or that is not
/// reported as complete after they have closed.
#[test]
fn drain_until_empty() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let mut installation = Installation::start(Plan::ahjo(4)).await.unwrap();
        let caller = installation.caller();
        let address = installation.plan.services[1].address;
        let mut flows = Vec::new();
        for _ in 0..12 {
            flows.push(caller.connect(address, Options::default()).await.unwrap());
        }
        let url = format!("http://{}", installation.store.address());
        let line = "drain --server statement-service-1 --until-empty 6s";
        let mut arguments = vec!["flamingofall", "--store", &url];
        arguments.extend(line.split_whitespace());
        let (exit, text) = outcome(&arguments).await;
        assert_eq!(exit, Exit::WaitTimeout, "{text}");
        assert!(text.contains("open flows: statement-service-1 ("), "{text}");
        flows.into_iter().for_each(|flow| flow.close());
        let line = "drain --server statement-service-1 --until-empty 90s";
        let text = command(&installation, line).await;
        assert!(
            text.ends_with("statement-service-1 has no open flows\n"),
            "{text}"
        );
    });
}

//! Tests that a caller gets the complete answer to its own request.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{ensure, Context, Result};
use flamingofall_standins::caller::{Caller, Failure, Options, Response};
use flamingofall_standins::protocol::{Kind, Status};
use futures::future::{join_all, try_join_all};

#[path = "support/installation.rs"]
mod installation;
#[path = "support/traffic.rs"]
mod traffic;

use installation::Installation;
use traffic::{faults, first_address, request, run_with_seed, small_plan, DirectServers};

const TIMEOUT: Duration = Duration::from_secs(20);
const SHORT_TIMEOUT: Duration = Duration::from_millis(150);

fn check(id: &str, size: u64, response: &Response) -> Result<()> {
    let whole = response.correct && response.bytes == size;
    ensure!(
        whole && response.status == Status::Done,
        "{id}: {response:?}"
    );
    Ok(())
}

/// Sends requests concurrently over one flow. Later ones take less time, so they are answered
/// first.
async fn request_concurrently(
    caller: &Caller,
    to: SocketAddr,
    name: &str,
    options: Options,
) -> Result<()> {
    let flow = caller.connect(to, options).await?;
    let requests = (0..6).map(|number| {
        let flow = &flow;
        async move {
            let id = format!("{name}-{number}");
            let size = 500 + 4000 * number;
            let request = request(&id, Kind::Download, size, 120 - 20 * number);
            let response = flow.request(request, TIMEOUT).await;
            check(&id, size, &response.with_context(|| id.clone())?)
        }
    });
    try_join_all(requests).await?;
    Ok(())
}

/// Checks that no answer was corrupt, belonged to another request or came from another service.
fn check_records(caller: &Caller) -> Result<()> {
    for record in caller.records() {
        let wrong = record.corrupt + record.foreign + record.misdelivered;
        ensure!(wrong == 0, "{record:?}");
    }
    Ok(())
}

/// Guards against answers that are truncated, mixed up or lost when several requests are in
/// progress on each of several flows.
#[tokio::test(flavor = "multi_thread")]
async fn answers_crossed() -> Result<()> {
    run_with_seed("answers_crossed", 31, |seed| async move {
        let mut installation = Installation::start(small_plan(seed)).await?;
        installation.fabric.set_faults(faults());
        let caller = installation.caller();
        let to = first_address(&installation.plan);
        let names: Vec<_> = (0..15).map(|number| format!("crossed-{number}")).collect();
        let flows = names
            .iter()
            .map(|name| request_concurrently(&caller, to, name, Options::default()));
        try_join_all(flows).await?;
        check_records(&caller)
    })
    .await
}

/// Guards against an answer for an earlier connection that reaches the next one on the same port.
#[tokio::test(flavor = "multi_thread")]
async fn port_reused() -> Result<()> {
    run_with_seed("port_reused", 32, |seed| async move {
        let mut installation = Installation::start(small_plan(seed)).await?;
        installation.fabric.set_faults(faults());
        let caller = installation.caller();
        let to = first_address(&installation.plan);
        let options = Options {
            local_port: Some(4000),
            timeout: TIMEOUT,
            ..Options::default()
        };
        for round in 0..12 {
            let id = format!("left-{round}");
            let flow = caller.connect(to, options.clone()).await;
            let flow = flow.with_context(|| format!("round {round}"))?;
            let left = request(&id, Kind::Download, 20_000, 60);
            let left = flow.request(left, Duration::from_millis(10)).await;
            ensure!(left.is_err(), "the answer to {id} came too early");
            // The answer has not arrived yet.
            match round % 2 {
                0 => flow.abort(),
                _ => flow.forget(),
            }
            request_concurrently(&caller, to, &format!("reused-{round}"), options.clone()).await?;
        }
        check_records(&caller)
    })
    .await
}

/// Guards against late answers, over TCP and UDP, that are taken for the answer to the next
/// request.
#[tokio::test(flavor = "multi_thread")]
async fn answers_late() -> Result<()> {
    run_with_seed("answers_late", 33, |seed| async move {
        let mut installation = Installation::start(small_plan(seed)).await?;
        installation.fabric.set_faults(faults());
        let caller = installation.caller();
        let to = first_address(&installation.plan);
        let flow = caller.connect(to, Options::default()).await?;
        for number in 0..8 {
            let id = format!("late-{number}");
            let late = request(&id, Kind::Confirm, 4000, 300);
            let answer = flow.request(late.clone(), SHORT_TIMEOUT).await;
            ensure!(answer == Err(Failure::TimedOut), "{id}: {answer:?}");
            let id = format!("next-{number}");
            let next = flow.request(request(&id, Kind::Confirm, 700, 1), TIMEOUT);
            check(&id, 700, &next.await?)?;
            // Repeating the first request returns its own answer.
            check(&late.id, 4000, &flow.request(late.clone(), TIMEOUT).await?)?;

            let options = |timeout| Options {
                local_port: Some(4000 + number),
                timeout,
                ..Options::default()
            };
            let late = request(&format!("late-datagram-{number}"), Kind::Order, 400, 300);
            let answer = caller
                .exchange(to, late.clone(), options(SHORT_TIMEOUT))
                .await;
            ensure!(answer == Err(Failure::TimedOut), "{}: {answer:?}", late.id);
            let again = caller.exchange(to, late.clone(), options(TIMEOUT)).await;
            check(&late.id, 400, &again.with_context(|| late.id.clone())?)?;
        }
        check_records(&caller)?;
        let effects = installation.effects.entries();
        let ids: HashSet<_> = effects.iter().map(|effect| &effect.request).collect();
        ensure!(ids.len() == 8 * 3, "{} effects", ids.len());
        ensure!(installation.effects.duplicates().is_empty(), "ran twice");
        Ok(())
    })
    .await
}

/// Control without balancers and agents: the packets of a flow reach all servers, so some
/// requests must fail.
#[tokio::test(flavor = "multi_thread")]
async fn naive_fails() -> Result<()> {
    let services = small_plan(34).services;
    let direct = DirectServers::start(34, &services[..1]).await?;
    let caller = direct.caller(1);
    let options = Options {
        timeout: Duration::from_secs(1),
        ..Options::default()
    };
    let flows = (0..4)
        .map(|_| request_concurrently(&caller, services[0].address, "naive", options.clone()));
    let all = tokio::time::timeout(Duration::from_secs(4), join_all(flows)).await;
    let violated = all.map_or(true, |results| results.iter().any(Result::is_err));
    ensure!(violated, "no violation found");
    Ok(())
}

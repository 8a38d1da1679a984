//! Tests that a server that leaves its service gets no new flows after a few seconds.

use std::time::{Duration, Instant};

use anyhow::{ensure, Result};
use flamingofall_standins::caller::{Caller, Options};
use flamingofall_standins::protocol::Kind;
use flamingofall_standins::server::Server;
use flamingofall_standins::store::Mode as StoreMode;
use futures::future::join_all;
use yare::parameterized;

#[path = "support/installation.rs"]
mod installation;
#[path = "support/traffic.rs"]
mod traffic;

use installation::{Installation, ServicePlan};
use traffic::{faults, request, run_with_seed, small_plan, DirectServers};

/// Time after which a leaving server must not get new flows.
const NEW_FLOW_BOUND: Duration = Duration::from_secs(3);
/// The same while the store is unavailable.
const NEW_FLOW_BOUND_WITHOUT_STORE: Duration = Duration::from_secs(5);
/// Time after the bound during which callers keep opening flows.
const TRAFFIC_AFTER_BOUND: Duration = Duration::from_secs(2);
/// Timeout of a request. It is short because datagrams whose arbiter has stopped get no answer
/// during the duplicate window, and the other flows must be opened meanwhile.
const TIMEOUT: Duration = Duration::from_secs(1);
const OPENERS: usize = 8;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Leave {
    /// The server announces the state `draining`.
    Server,
    /// The configuration lists the server as draining.
    Configuration,
    /// The agent is told to drain, as by a SIGTERM.
    Agent,
    /// The server stops announcing itself.
    Silent,
}

/// Opens flows over TCP and UDP until `end`. Returns the number of answered requests.
async fn open_flows(caller: &Caller, service: &ServicePlan, step: &str, end: Instant) -> usize {
    let openers = (0..OPENERS).map(|opener| {
        let step = format!("{step}-{opener}");
        async move { open_in_turn(caller, service, &step, end).await }
    });
    join_all(openers).await.into_iter().sum()
}

async fn open_in_turn(caller: &Caller, service: &ServicePlan, step: &str, end: Instant) -> usize {
    let mut answered = 0;
    for number in 0.. {
        if Instant::now() >= end {
            return answered;
        }
        let options = Options {
            timeout: TIMEOUT,
            ..Options::default()
        };
        let request = request(&format!("{step}-{number}"), Kind::Confirm, 100, 1);
        answered += usize::from(match number % 2 {
            0 => match caller.connect(service.address, options).await {
                Ok(flow) => flow.request(request, TIMEOUT).await.is_ok(),
                Err(_) => false,
            },
            _ => {
                let exchange = caller.exchange(service.address, request, options);
                exchange.await.is_ok()
            }
        });
    }
    answered
}

/// Checks that the last new flow reached the leaving server within `bound`, by the server's own
/// count.
fn check(server: &Server, bound: Duration) -> Result<()> {
    let counts = server.counts();
    let (Some(began), Some(last)) = (counts.drain_began, counts.last_flow_draining) else {
        ensure!(counts.drain_began.is_some(), "the server is not leaving");
        return Ok(());
    };
    let late = last.duration_since(began);
    ensure!(
        late <= bound,
        "{} flows until {late:?} after the drain began",
        counts.flows_draining
    );
    Ok(())
}

async fn leave(installation: &Installation, node: usize, leave: Leave) -> Result<()> {
    let leaving = &installation.nodes[node];
    match leave {
        Leave::Server => leaving.server.drain(),
        Leave::Agent => {
            leaving.server.note_leaving();
            leaving.agent.drain()?;
        }
        Leave::Silent => {
            leaving.server.note_leaving();
            leaving.server.set_announcing(false);
        }
        Leave::Configuration => {
            let mut config = installation.plan.config();
            for service in config.services.values_mut() {
                let name = leaving.agent.name.parse()?;
                service.drain.servers.insert(name);
            }
            leaving.server.note_leaving();
            installation.apply(&config).await?;
        }
    }
    Ok(())
}

async fn run(seed: u64, leave_by: Leave, store: bool) -> Result<()> {
    let mut plan = small_plan(seed);
    plan.services.truncate(1);
    let mut installation = Installation::start(plan).await?;
    installation.fabric.set_faults(faults());
    let service = installation.plan.services[0].clone();
    let caller = installation.caller();
    let end = Instant::now() + Duration::from_secs(1);
    open_flows(&caller, &service, "before", end).await;
    let before = installation.nodes[0].server.counts().flows;
    ensure!(before > 0, "the server got no flow before it was leaving");
    let bound = match store {
        true => NEW_FLOW_BOUND,
        false => {
            installation.store.set_mode(StoreMode::Refusing);
            NEW_FLOW_BOUND_WITHOUT_STORE
        }
    };
    leave(&installation, 0, leave_by).await?;
    let end = Instant::now() + bound + TRAFFIC_AFTER_BOUND;
    let answered = open_flows(&caller, &service, "after", end).await;
    ensure!(answered > 50, "only {answered} flows after the drain");
    check(&installation.nodes[0].server, bound)
}

/// Guards against new flows at a server that is leaving.
#[parameterized(
    server = { 61, Leave::Server, true },
    agent = { 62, Leave::Agent, true },
    silent = { 63, Leave::Silent, true },
    configuration = { 64, Leave::Configuration, true },
    server_without_store = { 65, Leave::Server, false },
    agent_without_store = { 66, Leave::Agent, false },
    silent_without_store = { 67, Leave::Silent, false },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn no_new_flow(seed: u64, leave_by: Leave, store: bool) -> Result<()> {
    run_with_seed("no_new_flow", seed, |seed| run(seed, leave_by, store)).await
}

/// Control without balancers and agents: nothing learns that the server is leaving, so it must get
/// new flows after the bound.
#[tokio::test(flavor = "multi_thread")]
async fn naive_fails() -> Result<()> {
    let services = small_plan(68).services;
    let direct = DirectServers::start(68, &services[..1]).await?;
    let caller = direct.caller(1);
    direct.servers[0].drain();
    let end = Instant::now() + NEW_FLOW_BOUND + TRAFFIC_AFTER_BOUND;
    let options = Options {
        timeout: Duration::from_millis(300),
        ..Options::default()
    };
    while Instant::now() < end {
        let request = request("naive", Kind::Confirm, 100, 1);
        let exchange = caller.exchange(services[0].address, request, options.clone());
        let _ = exchange.await;
    }
    ensure!(
        check(&direct.servers[0], NEW_FLOW_BOUND).is_err(),
        "no violation found"
    );
    Ok(())
}

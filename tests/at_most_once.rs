//! Tests that a request runs at most once, and never if it was refused.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use anyhow::{ensure, Result};
use flamingofall::retry::{Client, Outcome, Step};
use flamingofall_standins::caller::{Caller, Failure, Options, Response};
use flamingofall_standins::effect;
use flamingofall_standins::fabric::Faults;
use flamingofall_standins::protocol::{Kind, Request, Status};
use futures::future::join_all;

#[path = "support/installation.rs"]
mod installation;
#[path = "support/traffic.rs"]
mod traffic;

use installation::Installation;
use traffic::{
    faults, first_address, request, run_with_seed, small_plan, DirectServers, PROCESSES,
};

const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
const DEADLINE: Duration = Duration::from_secs(10);
/// Time to wait before the check that refused requests did not run. The fabric delays copies by
/// less.
const LATE_RUN_WINDOW: Duration = Duration::from_secs(2);

/// Interval at which a caller repeats a datagram until it is answered. Each copy may reach another
/// balancer; the fabric's duplicates reach that of the original.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);

/// Outcome of a request for the caller after all retries.
#[derive(Clone, Copy, Debug, PartialEq)]
enum RequestEnd {
    Answered,
    NotRun,
    Unknown,
}

/// Outcomes of all requests.
#[derive(Default)]
struct History {
    ends: Mutex<HashMap<String, RequestEnd>>,
    /// Number of times that a request was sent again on a new flow.
    retries: AtomicUsize,
}

impl History {
    fn record(&self, id: &str, end: RequestEnd) {
        self.ends.lock().unwrap().insert(id.to_owned(), end);
    }

    fn count(&self, end: RequestEnd) -> usize {
        let ends = self.ends.lock().unwrap();
        ends.values().filter(|other| **other == end).count()
    }

    /// Checks that each request has at most one effect, an answered one exactly one and a refused
    /// one none.
    fn check(&self, effects: &effect::Log) -> Result<()> {
        let duplicates = effects.duplicates();
        ensure!(duplicates.is_empty(), "ran twice: {duplicates:?}");
        let entries = effects.entries();
        let run: HashSet<_> = entries.iter().map(|effect| &effect.request).collect();
        for (id, end) in self.ends.lock().unwrap().iter() {
            match end {
                RequestEnd::Answered => ensure!(run.contains(id), "{id} was answered and not run"),
                RequestEnd::NotRun => ensure!(!run.contains(id), "{id} was refused and run"),
                RequestEnd::Unknown => {}
            }
        }
        Ok(())
    }
}

fn outcome(result: &Result<Response, Failure>) -> Outcome {
    match result {
        Ok(response) if response.status == Status::Shed => Outcome::NotRun,
        Ok(_) => Outcome::Answered,
        Err(Failure::Refused) => Outcome::NotRun,
        Err(_) => Outcome::Unknown,
    }
}

/// A client that follows the retry policy, or with `retries_unknown` one that sends a request again
/// on a new flow whenever it gets no answer.
struct User<'a> {
    caller: &'a Caller,
    to: SocketAddr,
    retry: &'a Mutex<Client>,
    history: &'a History,
    retries_unknown: bool,
}

impl User<'_> {
    /// Sends a request over UDP. To query the outcome, it repeats the datagram from the same port.
    async fn send_datagram(&self, mut request: Request, port: u16) -> RequestEnd {
        let mut state = self.retry.lock().unwrap().begin(Instant::now() + DEADLINE);
        let mut port = port;
        loop {
            let options = Options {
                local_port: Some(port),
                timeout: ATTEMPT_TIMEOUT,
                repeat: Some(REPEAT_INTERVAL),
                ..Options::default()
            };
            let result = self
                .caller
                .exchange(self.to, request.clone(), options)
                .await;
            let seen = match outcome(&result) {
                Outcome::Unknown if self.retries_unknown => Outcome::NotRun,
                seen => seen,
            };
            let step = self
                .retry
                .lock()
                .unwrap()
                .next(&mut state, seen, Instant::now());
            match step {
                Step::Done => return RequestEnd::Answered,
                Step::Send { at } => {
                    self.history.retries.fetch_add(1, Ordering::Relaxed);
                    port += 1;
                    request.attempt += 1;
                    tokio::time::sleep_until(at.into()).await;
                }
                Step::Query { at } => tokio::time::sleep_until(at.into()).await,
                Step::Fail(flamingofall::retry::Failure::OutcomeUnknown) => {
                    return RequestEnd::Unknown
                }
                Step::Fail(_) => return RequestEnd::NotRun,
            }
        }
    }

    /// Sends a request over TCP. It did not run if the connection could not be opened.
    async fn send_over_tcp(&self, mut request: Request) -> RequestEnd {
        let mut state = self.retry.lock().unwrap().begin(Instant::now() + DEADLINE);
        let mut flow = None;
        loop {
            if flow.is_none() {
                let options = Options {
                    timeout: DEADLINE,
                    ..Options::default()
                };
                flow = self.caller.connect(self.to, options).await.ok();
            }
            let seen = match &flow {
                None => Outcome::NotRun,
                Some(flow) => outcome(&flow.request(request.clone(), ATTEMPT_TIMEOUT).await),
            };
            let step = self
                .retry
                .lock()
                .unwrap()
                .next(&mut state, seen, Instant::now());
            match step {
                Step::Done => return RequestEnd::Answered,
                Step::Send { at } => {
                    self.history.retries.fetch_add(1, Ordering::Relaxed);
                    flow = None;
                    request.attempt += 1;
                    tokio::time::sleep_until(at.into()).await;
                }
                Step::Query { at } => tokio::time::sleep_until(at.into()).await,
                Step::Fail(flamingofall::retry::Failure::OutcomeUnknown) => {
                    return RequestEnd::Unknown
                }
                Step::Fail(_) => return RequestEnd::NotRun,
            }
        }
    }

    /// Sends requests one after the other, alternating between UDP and TCP, until `until`.
    async fn run(&self, number: u16, until: Instant) {
        for round in 0.. {
            if Instant::now() >= until {
                return;
            }
            let id = format!("user-{number}-{round}");
            let request = request(&id, Kind::Order, 200, 20);
            let end = match round % 2 {
                0 => {
                    self.send_datagram(request, 1000 + 1000 * number + 10 * (round % 99))
                        .await
                }
                _ => self.send_over_tcp(request).await,
            };
            self.history.record(&id, end);
        }
    }
}

/// Many packets are duplicated, and some are held back for 400 ms.
fn duplicating_faults() -> Faults {
    Faults {
        duplicate: 0.3,
        reorder: 0.2,
        reorder_by: Duration::from_millis(400),
        ..faults()
    }
}

/// Many answers are lost, so that callers repeat their first packets.
fn lossy_answer_faults() -> Faults {
    Faults {
        loss: 0.3,
        ..faults()
    }
}

/// Guards against requests that run twice because copies of a flow's first packet reach different
/// agents while members join, drain and fail.
#[tokio::test(flavor = "multi_thread")]
async fn members_change() -> Result<()> {
    run_with_seed("members_change", 41, |seed| async move {
        let mut plan = small_plan(seed);
        plan.services.truncate(1);
        plan.services[0].servers = 5;
        let mut installation = Installation::start_in_mode(plan, PROCESSES).await?;
        installation
            .fabric
            .set_faults_to_balancers(duplicating_faults());
        installation
            .fabric
            .set_faults_to_callers(lossy_answer_faults());
        let to = first_address(&installation.plan);
        let caller = installation.caller();
        let (retry, history) = (Mutex::new(Client::new(seed)), History::default());
        let user = User {
            caller: &caller,
            to,
            retry: &retry,
            history: &history,
            retries_unknown: false,
        };
        let until = Instant::now() + Duration::from_secs(9);
        let users = (0..16).map(|number| user.run(number, until));
        let changes = async {
            let pause = || tokio::time::sleep(Duration::from_millis(700));
            pause().await;
            let service = installation.plan.services[0].clone();
            installation.add_node(&service, 6).await?;
            pause().await;
            installation.nodes[1].server.drain();
            pause().await;
            installation.nodes[2].agent.kill()?;
            pause().await;
            installation.restart_agent(2).await?;
            pause().await;
            installation.nodes[3].agent.drain()?;
            installation.nodes[4].agent.kill()?;
            anyhow::Ok(())
        };
        let (_, changed) = tokio::join!(join_all(users), changes);
        changed?;
        tokio::time::sleep(LATE_RUN_WINDOW).await;
        let answered = history.count(RequestEnd::Answered);
        ensure!(answered > 100, "only {answered} answered");
        history.check(&installation.effects)
    })
    .await
}

/// Guards against refused requests that run later, and against retries beyond the budget. The
/// service is over its connection limit for the whole test.
#[tokio::test(flavor = "multi_thread")]
async fn overloaded() -> Result<()> {
    run_with_seed("overloaded", 42, |seed| async move {
        let mut plan = small_plan(seed);
        plan.services.truncate(1);
        plan.services[0].connections = 12;
        let mut installation = Installation::start(plan).await?;
        installation
            .fabric
            .set_faults_to_balancers(duplicating_faults());
        installation
            .fabric
            .set_faults_to_callers(lossy_answer_faults());
        let to = first_address(&installation.plan);
        let caller = installation.caller();
        let (retry, history) = (Mutex::new(Client::new(seed)), History::default());
        let user = User {
            caller: &caller,
            to,
            retry: &retry,
            history: &history,
            retries_unknown: false,
        };
        let until = Instant::now() + Duration::from_secs(5);
        join_all((0..16).map(|number| user.run(number, until))).await;
        tokio::time::sleep(LATE_RUN_WINDOW).await;
        let refused = history.count(RequestEnd::NotRun);
        ensure!(refused > 20, "only {refused} refused");
        let requests = history.ends.lock().unwrap().len();
        let retries = history.retries.load(Ordering::Relaxed);
        let budget = 10 + requests / 10;
        ensure!(
            retries <= budget,
            "{retries} retries of {requests} requests"
        );
        history.check(&installation.effects)
    })
    .await
}

/// Control without the retry rule for unknown outcomes: when an answer is lost, the client sends
/// the request again on a new flow, and the check must fail.
#[tokio::test(flavor = "multi_thread")]
async fn naive_retry_fails() -> Result<()> {
    let mut installation = Installation::start(small_plan(43)).await?;
    let loss = Faults {
        loss: 0.95,
        ..Faults::default()
    };
    installation.fabric.set_faults_to_callers(loss);
    let to = first_address(&installation.plan);
    let caller = installation.caller();
    let (retry, history) = (Mutex::new(Client::new(43)), History::default());
    let user = User {
        caller: &caller,
        to,
        retry: &retry,
        history: &history,
        retries_unknown: true,
    };
    let requests = (0..12u16).map(|number| {
        let request = request(&format!("naive-{number}"), Kind::Order, 200, 20);
        user.send_datagram(request, 1000 + 100 * number)
    });
    join_all(requests).await;
    ensure!(
        history.check(&installation.effects).is_err(),
        "no violation found"
    );
    Ok(())
}

/// Control without balancers and agents: copies of a datagram reach several servers, and the check
/// must find requests that ran twice.
#[tokio::test(flavor = "multi_thread")]
async fn naive_fails() -> Result<()> {
    let services = small_plan(44).services;
    let direct = DirectServers::start(44, &services[..1]).await?;
    direct.fabric.set_faults_to_callers(lossy_answer_faults());
    let caller = direct.caller(1);
    let requests = (0..40).map(|number| {
        let request = request(&format!("copied-{number}"), Kind::Order, 200, 1);
        let options = Options {
            repeat: Some(REPEAT_INTERVAL),
            ..Options::default()
        };
        caller.exchange(services[0].address, request, options)
    });
    join_all(requests).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let violated = History::default().check(&direct.effects).is_err();
    ensure!(violated, "no violation found");
    Ok(())
}

//! The balancer's daemon: connects the control plane to sockets, timers and the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use hyper::{Method, StatusCode};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::SeedableRng;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::{interval, MissedTickBehavior};
use tokio_util::sync::CancellationToken;

use crate::clock::{Clock, System};
use crate::control::{Control, Snapshot};
use crate::control_rpc;
use crate::daemon::{incarnation, ControlSocket, Stop};
use crate::datapath::{bind, Shared, Worker};
use crate::http::{self, PendingRequest, Query, Reply};
use crate::id::{Connections, Generation, Sequence, Slots};
use crate::member::{Record, Role, State};
use crate::metrics::Metrics;
use crate::output::{Event, Output};
use crate::router::RoutingTableBuilder;
use crate::settings::BalancerSettings as Settings;
use crate::store::Answer;
use crate::store_http::Client;
use crate::wire;

/// Interval between calls of [`Control::tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time between the start of a drain and the end of the packet threads. Packets must be forwarded
/// until the fabric has detected that the balancer is no longer ready.
const DRAIN_TIME: Duration = Duration::from_secs(2);
/// Maximum number of store answers that wait for the control plane.
const ANSWERS_MAX: usize = 256;
/// Maximum number of HTTP requests, and of RPC requests, that wait for the control plane.
const QUERIES_MAX: usize = 16;

struct Daemon {
    core: Control,
    router: RoutingTableBuilder,
    shared: Arc<Shared>,
    channel: ControlSocket,
    store: Arc<Client>,
    answers: mpsc::Sender<Answer>,
    metrics: Metrics,
    out: Vec<Output>,
    draining: bool,
}

/// Runs a balancer with `threads` packet threads until `stop` ends it, at once or after a drain.
pub async fn run(settings: Settings, threads: usize, stop: Stop) -> Result<()> {
    let clock = System;
    let record = initial_record(&settings);
    let seed = record.incarnation.0;
    let shared = Arc::new(Shared::default());
    let workers = start_workers(&settings, threads, &shared)?;
    let member = settings.member.clone();
    let channel =
        ControlSocket::bind(settings.control, member, record.incarnation, &settings.key).await;
    let channel =
        channel.with_context(|| format!("cannot open control address {}", settings.control))?;
    let listener = TcpListener::bind(settings.http).await;
    let listener =
        listener.with_context(|| format!("cannot open http address {}", settings.http))?;
    let (answer_sender, mut store_answers) = mpsc::channel(ANSWERS_MAX);
    let (query_sender, mut queries) = mpsc::channel::<PendingRequest>(QUERIES_MAX);
    let stopped = CancellationToken::new();
    let endpoints = tokio::spawn(http::serve(listener, stopped.clone(), move |query| {
        http::forward(query_sender.clone(), query)
    }));
    let key = wire::Key::new(settings.key.bytes());
    let (rpc_request_sender, mut rpc_requests) = mpsc::channel(QUERIES_MAX);
    let listening = control_rpc::listen(settings.control, key.clone(), rpc_request_sender).await;
    let (_, serve) = listening
        .with_context(|| format!("cannot listen at control address {}", settings.control))?;
    let serving = tokio::spawn(stopped.clone().run_until_cancelled_owned(serve));
    let (snapshot_sender, mut snapshots) = mpsc::channel(1);
    tokio::spawn(fetch_snapshot(
        settings.peers.clone(),
        key,
        seed,
        snapshot_sender,
    ));
    let mut daemon = Daemon {
        core: Control::new(record, settings.peers.clone(), seed, clock.now()),
        router: RoutingTableBuilder::default(),
        shared: shared.clone(),
        channel,
        store: Arc::new(Client::new(store_address(&settings.store)?)),
        answers: answer_sender,
        metrics: Metrics::new()?,
        out: Vec::new(),
        draining: false,
    };
    log::info!(
        "event=started member={} data={}",
        settings.member,
        settings.data
    );

    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut stop_at: Option<Instant> = None;
    while stop_at.is_none_or(|at| clock.now() < at) {
        tokio::select! {
            _ = stop.now.cancelled() => break,
            _ = stop.drain.cancelled(), if stop_at.is_none() => {
                log::info!("event=draining member={}", settings.member);
                daemon.drain(clock.now()).await;
                stop_at = Some(clock.now() + DRAIN_TIME);
            }
            (from, frame) = daemon.channel.receive() => {
                daemon.core.handle_message(from, frame.message, clock.now(), &mut daemon.out);
                daemon.process_outputs().await;
            }
            Some(answer) = store_answers.recv() => {
                daemon.core.handle_store_answer(answer, clock.now(), &mut daemon.out);
                daemon.process_outputs().await;
            }
            Some(snapshot) = snapshots.recv() => {
                daemon.core.load_snapshot(snapshot, clock.now(), &mut daemon.out);
                daemon.process_outputs().await;
            }
            Some(request) = rpc_requests.recv() => daemon.answer(request),
            Some((query, reply)) = queries.recv() => {
                // Fails if the client has disconnected, which needs no handling.
                let _ = reply.send(daemon.reply(&query));
            }
            _ = ticks.tick() => daemon.tick(clock.now()).await,
        }
    }
    daemon.core.stop(clock.now(), &mut daemon.out);
    daemon.process_outputs().await;
    shared.stop();
    stopped.cancel();
    endpoints.await.context("the HTTP endpoints failed")?;
    serving.await.context("the control endpoint failed")?;
    tokio::task::spawn_blocking(move || workers.into_iter().try_for_each(|w| w.join()))
        .await?
        .map_err(|_| anyhow::anyhow!("a packet thread panicked"))?;
    log::info!("event=stopped member={}", settings.member);
    Ok(())
}

fn initial_record(settings: &Settings) -> Record {
    Record {
        member: settings.member.clone(),
        role: Role::Balancer,
        incarnation: incarnation(),
        sequence: Sequence(1),
        state: State::Joining,
        domain: settings.domain.clone(),
        control: settings.control,
        data: settings.data,
        service: None,
        slots: Slots(0),
        connections: Connections(0),
        generation: Generation(0),
        open_flows: None,
        sole_server: None,
    }
}

fn store_address(url: &str) -> Result<SocketAddr> {
    let address = url.trim_start_matches("http://").trim_end_matches('/');
    address
        .parse()
        .with_context(|| format!("the store URL {url:?} must have the form http://IP:PORT"))
}

fn start_workers(
    settings: &Settings,
    threads: usize,
    shared: &Arc<Shared>,
) -> Result<Vec<std::thread::JoinHandle<()>>> {
    (0..threads)
        .map(|number| {
            let socket = bind(settings.data)
                .with_context(|| format!("cannot open data address {}", settings.data))?;
            let (shared, key) = (shared.clone(), settings.key.encap());
            std::thread::Builder::new()
                .name(format!("packets-{number}"))
                .spawn(move || Worker::new(socket, shared, key).run())
                .context("cannot start a packet thread")
        })
        .collect()
}

/// Fetches the view of the first peer that has a configuration, trying the peers in random order.
async fn fetch_snapshot(
    mut peers: Vec<SocketAddr>,
    key: wire::Key,
    seed: u64,
    snapshots: mpsc::Sender<Snapshot>,
) {
    let mut random = StdRng::seed_from_u64(seed);
    // Balancers that start together must not all query the same peer.
    peers.shuffle(&mut random);
    for peer in peers {
        let client = control_rpc::Client::connect(peer, key.clone(), StdRng::from_rng(&mut random));
        let snapshot = match client.await {
            Ok(client) => client.snapshot().await,
            Err(error) => Err(error),
        };
        match snapshot {
            Ok(snapshot) if snapshot.config.is_none() => {
                // The peer is also starting.
                log::info!("event=view_not_loaded peer={peer} error=\"no configuration\"");
            }
            Ok(snapshot) => {
                log::info!(
                    "event=view_loaded peer={peer} records={}",
                    snapshot.records.len()
                );
                // Fails only if the process is stopping, which needs no handling.
                let _ = snapshots.send(snapshot).await;
                return;
            }
            Err(error) => {
                log::warn!(
                    "event=view_not_loaded peer={peer} error={:?}",
                    error.to_string()
                );
            }
        }
    }
}

impl Daemon {
    /// Answers an RPC request. Sending fails if the client has disconnected, which is ignored.
    fn answer(&self, request: control_rpc::Request) {
        match request {
            control_rpc::Request::Snapshot(reply) => drop(reply.send(self.core.snapshot())),
            control_rpc::Request::Status(reply) => drop(reply.send(self.core.status())),
        }
    }

    async fn tick(&mut self, now: Instant) {
        self.core.tick(now, &mut self.out);
        self.process_outputs().await;
        if let Some(table) = self.router.update(self.core.view()) {
            self.shared.publish(Arc::new(table));
        }
    }

    async fn drain(&mut self, now: Instant) {
        self.draining = true;
        self.core.drain(now, &mut self.out);
        self.process_outputs().await;
    }

    async fn process_outputs(&mut self) {
        for output in std::mem::take(&mut self.out) {
            match output {
                Output::Send { to, message } => self.channel.send(to, message).await,
                Output::Store(call) => {
                    let (store, answers) = (self.store.clone(), self.answers.clone());
                    tokio::spawn(async move { store.call(call, &answers).await });
                }
                Output::Event(event) => self.record_event(&event),
            }
        }
    }

    fn record_event(&self, event: &Event) {
        let name: &'static str = event.into();
        self.metrics.events.with_label_values(&[name]).inc();
        log::info!("event={name} {}", event_fields(event));
    }

    fn is_ready(&self) -> bool {
        let view = self.core.view();
        !self.draining
            && view.own.record().state == State::Active
            && view.catalog.current().is_some()
    }

    fn reply(&self, query: &Query) -> Reply {
        if query.method != Method::GET {
            return Reply::text(StatusCode::METHOD_NOT_ALLOWED, "only GET is allowed\n");
        }
        match query.path.as_str() {
            "/healthz" => Reply::text(StatusCode::OK, "ok\n"),
            "/readyz" if self.is_ready() => Reply::text(StatusCode::OK, "ready\n"),
            "/readyz" => Reply::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            "/metrics" => Reply::text(StatusCode::OK, self.render()),
            "/status" => match serde_json::to_string(&self.core.status()) {
                Ok(json) => Reply::json(json),
                Err(error) => Reply::text(StatusCode::INTERNAL_SERVER_ERROR, format!("{error}\n")),
            },
            _ => Reply::not_found(),
        }
    }

    fn render(&self) -> String {
        use std::sync::atomic::Ordering::Relaxed;

        let (metrics, counters) = (&self.metrics, &self.shared.counters);
        let packets = |outcome: &str, count: u64| {
            metrics
                .packets
                .with_label_values(&[outcome])
                .set(count as i64);
        };
        packets("forwarded", counters.forwarded.load(Relaxed));
        packets("malformed", counters.malformed.load(Relaxed));
        packets("send_error", counters.send_errors.load(Relaxed));
        for (reason, count) in counters.drops() {
            packets(reason.into(), count);
        }
        let control = |kind: &str, count: u64| {
            metrics.control.with_label_values(&[kind]).set(count as i64);
        };
        control("rejected", self.channel.rejected);
        control("send_errors", self.channel.send_errors);
        control("bytes", self.channel.bytes);
        let view = self.core.view();
        metrics.generation.set(view.catalog.generation().0 as i64);
        metrics.members.set(view.table.len() as i64);
        metrics.ready.set(i64::from(self.is_ready()));
        metrics.render()
    }
}

/// Returns the contents of an event as `key=value` pairs for its log line.
fn event_fields(event: &Event) -> String {
    match event {
        Event::Down {
            member,
            incarnation,
            sequence,
        } => {
            format!("member={member} incarnation={incarnation} sequence={sequence}")
        }
        Event::Refuted { sequence } => format!("sequence={sequence}"),
        Event::Superseded { incarnation } => format!("incarnation={incarnation}"),
        Event::Adopted { generation, digest } | Event::Corrupt { generation, digest } => {
            format!("generation={generation} digest={digest}")
        }
        Event::Stale { generation } => format!("generation={generation}"),
        Event::Diverged {
            generation,
            kept,
            rejected,
        } => {
            format!("generation={generation} kept={kept} rejected={rejected}")
        }
        Event::Invalid { message } => format!("message={message}"),
        Event::TooLarge { service, bytes } => format!("service={service} bytes={bytes}"),
        Event::Store { operation, error } => format!("operation={operation:?} error={error}"),
        Event::Written { domain, records } => format!("domain={domain} records={records}"),
    }
}

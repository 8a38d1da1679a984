//! The agent's daemon: connects the state machine [`Agent`] to sockets, timers and the backend
//! server.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use hyper::{Method, StatusCode};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use tokio::time::{interval, MissedTickBehavior};
use tokio_util::sync::CancellationToken;

use crate::agent::{Action, Agent, Output, SafetyMechanisms, Settings as CoreSettings};
use crate::clock::{Clock, System};
use crate::daemon::{incarnation, ControlSocket, Stop};
use crate::encap::Header;
use crate::http::{self, PendingRequest, Query, Reply};
use crate::load;
use crate::member::State;
use crate::metrics::Metrics;
use crate::packet;
use crate::server::{Announcement, Event, LoadReport};
use crate::settings::AgentSettings as Settings;

/// Interval between calls of [`Agent::tick`].
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Longest time between two iterations of the event loop; after a longer one the process counts as
/// paused. It equals the lease: other members may have declared this one down by then.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);
/// Maximum number of datagrams that are handled before other events are polled.
const PACKETS_PER_TURN: usize = 64;
/// Size of the receive buffer; longer datagrams are truncated.
const DATAGRAM_MAX_BYTES: usize = 2048;
/// Maximum number of HTTP requests that wait for the event loop.
const QUERIES_MAX: usize = 16;
/// Interval between requests to the server's load endpoint.
const LOAD_POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of load reports that wait for the event loop.
const REPORTS_MAX: usize = 4;
/// Minimum duration of a drain, even without open flows, so that other members learn of it.
const MIN_DRAIN_TIME: Duration = Duration::from_secs(2);

/// Packets since the start, by outcome, for the metrics.
#[derive(Default)]
struct Counters {
    delivered: u64,
    forwarded: u64,
    held: u64,
    dropped: u64,
    rejected: u64,
}

struct Daemon {
    settings: Settings,
    core: Agent,
    data: UdpSocket,
    channel: ControlSocket,
    metrics: Metrics,
    counters: Counters,
    out: Vec<Output>,
    receive_buffer: Vec<u8>,
    forward_buffer: Vec<u8>,
    load_endpoint: Option<SocketAddr>,
}

/// Runs an agent until `stop` ends it, at once or after a drain. A drain is complete when the
/// server has no open flows left, at the latest after `drain_time`.
pub async fn run(settings: Settings, drain_time: Duration, stop: Stop) -> Result<()> {
    let clock = System;
    let incarnation = incarnation();
    let core_settings = CoreSettings {
        member: settings.member.clone(),
        domain: settings.domain.clone(),
        control: settings.control,
        data: settings.data,
        incarnation,
        key: settings.key.encap(),
        collectors: settings.balancers.clone(),
        mechanisms: SafetyMechanisms::default(),
    };
    let data = UdpSocket::bind(settings.data).await;
    let data = data.with_context(|| format!("cannot open data address {}", settings.data))?;
    let member = settings.member.clone();
    let channel = ControlSocket::bind(settings.control, member, incarnation, &settings.key).await;
    let channel =
        channel.with_context(|| format!("cannot open control address {}", settings.control))?;
    let listener = TcpListener::bind(settings.http).await;
    let listener =
        listener.with_context(|| format!("cannot open http address {}", settings.http))?;
    let (query_sender, mut queries) = mpsc::channel::<PendingRequest>(QUERIES_MAX);
    let stopped = CancellationToken::new();
    let endpoints = tokio::spawn(http::serve(listener, stopped.clone(), move |query| {
        http::forward(query_sender.clone(), query)
    }));
    let mut daemon = Daemon {
        core: Agent::new(core_settings, incarnation.0, clock.now()),
        data,
        channel,
        metrics: Metrics::new()?,
        counters: Counters::default(),
        out: Vec::new(),
        receive_buffer: vec![0; DATAGRAM_MAX_BYTES],
        forward_buffer: Vec::with_capacity(DATAGRAM_MAX_BYTES),
        load_endpoint: None,
        settings,
    };
    log::info!(
        "event=started member={} data={}",
        daemon.settings.member,
        daemon.settings.data
    );

    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut load_polls = interval(LOAD_POLL_INTERVAL);
    load_polls.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let (report_sender, mut reports) = mpsc::channel(REPORTS_MAX);
    let mut draining_since: Option<Instant> = None;
    let mut last_turn = clock.now();
    while !draining_since.is_some_and(|at| daemon.is_drain_complete(at, drain_time, clock.now())) {
        let event = tokio::select! {
            _ = stop.now.cancelled() => break,
            _ = stop.drain.cancelled(), if draining_since.is_none() => LoopEvent::Drain,
            _ = daemon.data.readable() => LoopEvent::Packets,
            (from, frame) = daemon.channel.receive() => {
                LoopEvent::Message(from, Box::new(frame.message))
            }
            Some(query) = queries.recv() => LoopEvent::Query(query),
            Some(report) = reports.recv() => LoopEvent::Report(report),
            _ = load_polls.tick() => LoopEvent::PollLoad,
            _ = ticks.tick() => LoopEvent::Tick,
        };
        let now = clock.now();
        if now.duration_since(last_turn) > PAUSE_THRESHOLD {
            daemon.resume(now);
        }
        last_turn = now;
        match event {
            LoopEvent::Drain => {
                log::info!("event=draining member={}", daemon.settings.member);
                daemon.core.drain(now, &mut daemon.out);
                draining_since = Some(now);
            }
            LoopEvent::Packets => daemon.receive_packets(&clock).await,
            LoopEvent::Message(from, message) => {
                daemon
                    .core
                    .handle_message(from, *message, now, &mut daemon.out);
            }
            LoopEvent::Query((query, reply)) => {
                let answer = daemon.reply(&query, now);
                // Fails if the client has disconnected, which needs no handling.
                let _ = reply.send(answer);
            }
            LoopEvent::Report(report) => {
                let event = Event::Reported(report);
                daemon.core.handle_server_event(event, now, &mut daemon.out);
            }
            LoopEvent::PollLoad => daemon.poll_load(&report_sender),
            LoopEvent::Tick => daemon.core.tick(now, &mut daemon.out),
        }
        daemon.process_outputs().await;
    }
    daemon.core.stop(clock.now(), &mut daemon.out);
    daemon.process_outputs().await;
    stopped.cancel();
    endpoints.await.context("the HTTP endpoints failed")?;
    log::info!("event=stopped member={}", daemon.settings.member);
    Ok(())
}

/// What an iteration of the event loop handles.
enum LoopEvent {
    Drain,
    Packets,
    Message(SocketAddr, Box<crate::wire::Message>),
    Query(PendingRequest),
    Report(LoadReport),
    PollLoad,
    Tick,
}

impl Daemon {
    fn is_drain_complete(&self, since: Instant, limit: Duration, now: Instant) -> bool {
        let waited = now.duration_since(since);
        waited >= limit || (waited >= MIN_DRAIN_TIME && self.core.server_load().open == 0)
    }

    /// Discards all queued packets and frames after a pause: they are outdated, since other members
    /// may have taken over this member's flows.
    fn resume(&mut self, now: Instant) {
        let mut packets = 0;
        while self.data.try_recv(&mut self.receive_buffer).is_ok() {
            packets += 1;
        }
        let frames = self.channel.discard();
        self.core.handle_resume(now);
        log::warn!("event=resumed discarded_packets={packets} discarded_frames={frames}");
    }

    /// Requests the server's load in a task of its own. If that fails, the agent goes on with its
    /// own measurements.
    fn poll_load(&self, report_sender: &mpsc::Sender<LoadReport>) {
        let Some(endpoint) = self.load_endpoint else {
            return;
        };
        let report_sender = report_sender.clone();
        tokio::spawn(async move {
            match load::fetch(endpoint).await {
                // A report that doesn't fit in the channel is dropped; the next poll gets a new
                // one.
                Ok(report) => drop(report_sender.try_send(report)),
                Err(error) => log::debug!("event=load_not_reported error={:?}", error.to_string()),
            }
        });
    }

    async fn receive_packets(&mut self, clock: &impl Clock) {
        for _ in 0..PACKETS_PER_TURN {
            let Ok(length) = self.data.try_recv(&mut self.receive_buffer) else {
                return;
            };
            self.handle_packet(length, clock.now()).await;
            self.process_outputs().await;
        }
    }

    async fn handle_packet(&mut self, length: usize, now: Instant) {
        let datagram = &self.receive_buffer[..length];
        let Ok(encapsulated) = Header::read(datagram) else {
            self.counters.rejected += 1;
            return;
        };
        let Ok(packet) = packet::parse(encapsulated.inner) else {
            self.counters.rejected += 1;
            return;
        };
        let key = self.settings.key.encap();
        let Ok(header) = encapsulated.verify(key, &packet.flow) else {
            self.counters.rejected += 1;
            log::warn!("event=packet_rejected reason=tag flow={}", packet.flow);
            return;
        };
        let sent = match self
            .core
            .handle_packet(&header, &packet, now, &mut self.out)
        {
            Action::Deliver => {
                self.counters.delivered += 1;
                self.data.send_to(packet.bytes, self.settings.server).await
            }
            Action::Forward { to, header } => {
                self.counters.forwarded += 1;
                self.forward_buffer.clear();
                header.write(key, &packet.flow, &mut self.forward_buffer);
                self.forward_buffer.extend_from_slice(packet.bytes);
                self.data.send_to(&self.forward_buffer, to).await
            }
            Action::Hold => {
                self.counters.held += 1;
                return;
            }
            Action::Drop(reason) => {
                self.counters.dropped += 1;
                log::debug!("event=packet_dropped reason={reason} flow={}", packet.flow);
                return;
            }
        };
        if sent.is_err() {
            self.counters.dropped += 1;
        }
    }

    async fn process_outputs(&mut self) {
        for output in std::mem::take(&mut self.out) {
            match output {
                Output::Deliver(packet) => {
                    self.counters.delivered += 1;
                    self.send(&packet, self.settings.server).await;
                }
                Output::Forward { to, header, packet } => self.forward(to, &header, &packet).await,
                Output::Reply(packet) => self.send(&packet, self.settings.fabric).await,
                Output::Send { to, message } => self.channel.send(to, message).await,
                Output::Decision(record) => log::info!("event=decision {record}"),
            }
        }
    }

    async fn forward(&mut self, to: SocketAddr, header: &Header, bytes: &[u8]) {
        let Ok(packet) = packet::parse(bytes) else {
            return;
        };
        self.counters.forwarded += 1;
        let mut datagram = Vec::with_capacity(DATAGRAM_MAX_BYTES);
        header.write(self.settings.key.encap(), &packet.flow, &mut datagram);
        datagram.extend_from_slice(bytes);
        self.send(&datagram, to).await;
    }

    async fn send(&mut self, datagram: &[u8], to: SocketAddr) {
        if self.data.send_to(datagram, to).await.is_err() {
            self.counters.dropped += 1;
        }
    }

    fn reply(&mut self, query: &Query, now: Instant) -> Reply {
        match (&query.method, query.path.as_str()) {
            (&Method::POST, "/v1/announce") => self.handle_announcement(&query.body, now),
            (&Method::GET, "/healthz") => Reply::text(StatusCode::OK, "ok\n"),
            (&Method::GET, "/readyz") if self.core.published_state() == State::Active => {
                Reply::text(StatusCode::OK, "ready\n")
            }
            (&Method::GET, "/readyz") => {
                Reply::text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
            }
            (&Method::GET, "/metrics") => Reply::text(StatusCode::OK, self.render_metrics()),
            _ => Reply::not_found(),
        }
    }

    fn handle_announcement(&mut self, body: &[u8], now: Instant) -> Reply {
        match serde_json::from_slice::<Announcement>(body) {
            Ok(announcement) => {
                self.load_endpoint = Some(announcement.address);
                if let Some(event) = announcement.into_event() {
                    self.core.handle_server_event(event, now, &mut self.out);
                }
                Reply::text(StatusCode::OK, "ok\n")
            }
            Err(error) => {
                log::warn!("event=announcement_rejected error={:?}", error.to_string());
                Reply::text(StatusCode::BAD_REQUEST, format!("{error}\n"))
            }
        }
    }

    fn render_metrics(&self) -> String {
        let packets = |outcome: &str, count: u64| {
            self.metrics
                .packets
                .with_label_values(&[outcome])
                .set(count as i64);
        };
        packets("delivered", self.counters.delivered);
        packets("forwarded", self.counters.forwarded);
        packets("held", self.counters.held);
        packets("dropped", self.counters.dropped);
        packets("rejected", self.counters.rejected);
        let control = |kind: &str, count: u64| {
            self.metrics
                .control
                .with_label_values(&[kind])
                .set(count as i64);
        };
        control("rejected", self.channel.rejected);
        control("send_errors", self.channel.send_errors);
        control("bytes", self.channel.bytes);
        let load = self.core.server_load();
        self.metrics
            .flows
            .with_label_values(&["owned"])
            .set(i64::from(load.open));
        self.metrics
            .flows
            .with_label_values(&["records"])
            .set(self.core.flow_count() as i64);
        self.metrics
            .ready
            .set(i64::from(self.core.published_state() == State::Active));
        self.metrics.render()
    }
}

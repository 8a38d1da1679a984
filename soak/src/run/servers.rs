//! The simulated servers beside the agents: sends their heartbeats and packets and checks what they
//! receive.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use anyhow::Result;
use flamingofall::packet::Flow;
use flamingofall_emulator::check::{Arrival, Violation};
use flamingofall_emulator::packet::{Action, Packet};
use flamingofall_emulator::server::{Effect, Server};
use hyper::Method;
use rand::Rng;
use serde_json::json;

use crate::fabric::send_datagram;
use crate::host::{heartbeat_request, send_http_request};
use crate::network::{
    HostGroup, Role, HEARTBEAT_INTERVAL_MS, HEARTBEAT_PORT, SERVER_OUTBOUND_PORT, SERVER_PORT,
};
use crate::packet::{self, Content, Sender};
use crate::process::TERMINATION_GRACE;

use super::{
    Event, Harness, Timer, ADDRESSES, CONFIGURATION_PROPAGATION_LIMIT, DRAIN_PROPAGATION_LIMIT,
    REROUTED_ADDRESS, SERVICES, UNDISTURBED_TIME,
};

impl Harness {
    pub(super) fn start_server(&mut self, index: usize) {
        let now = self.now();
        let started = SystemTime::now().duration_since(UNIX_EPOCH);
        let started = started.unwrap_or_default().as_millis() as u64;
        let host = &mut self.agents[index];
        let renewed = host.next_name.is_some();
        host.start_server(index, now, started);
        let wait = match renewed {
            true => self.random.random_range(0..HEARTBEAT_INTERVAL_MS),
            false => 0,
        };
        let heartbeat = Timer::SendHeartbeat(index, started);
        self.schedule(Duration::from_millis(wait), heartbeat);
    }

    pub(super) fn send_heartbeat(&mut self, index: usize, started: u64) {
        let to = self
            .network
            .socket_addr(HostGroup::Agent, index, HEARTBEAT_PORT);
        let address = self
            .network
            .socket_addr(HostGroup::Agent, index, SERVER_PORT);
        let server = self.agents[index].server.as_mut();
        let Some(server) = server.filter(|server| server.started_ms == started) else {
            return;
        };
        let (path, body) = heartbeat_request(server, address);
        let draining = server.draining;
        let events = self.events.clone();
        tokio::spawn(async move {
            let answered = send_http_request(to, Method::POST, &path, body).await;
            if answered.is_ok_and(|status| status.is_success()) {
                // Sending fails only after the end of the run.
                let _ = events.send(Event::HeartbeatAcknowledged {
                    host: index,
                    started,
                    draining,
                });
            }
        });
        self.schedule(
            Duration::from_millis(HEARTBEAT_INTERVAL_MS),
            Timer::SendHeartbeat(index, started),
        );
    }

    pub(super) fn handle_heartbeat_acknowledgement(
        &mut self,
        index: usize,
        started: u64,
        draining: bool,
    ) {
        let now = self.now();
        let host = &mut self.agents[index];
        let current = host
            .server
            .as_ref()
            .is_some_and(|s| s.started_ms == started);
        if current && draining && host.drain_acknowledged_at.is_none() {
            host.drain_acknowledged_at = Some(now);
        }
    }

    pub(super) fn receive_at_server(&mut self, index: usize, mut bytes: Vec<u8>) {
        let packet = match packet::decode(&bytes, Sender::Client) {
            Content::Genuine(packet) => packet,
            Content::Reset(_) | Content::Invalid => {
                return self.record_violation(&Violation::Forged(format!("server {index}")));
            }
        };
        self.check_arrival(index, &packet);
        let Some(server) = &mut self.agents[index].server else {
            return;
        };
        let effects = server.receive(packet);
        packet::mark_returned(&mut bytes);
        self.apply_effects(index, &bytes, effects);
    }

    pub(super) fn check_arrival(&mut self, index: usize, packet: &Packet) {
        let flow = packet.flow();
        let host = &self.agents[index];
        let Some(server) = &host.server else {
            return;
        };
        let opening = packet.action == Action::Open;
        self.report.openings += u64::from(opening);
        let arrival = Arrival {
            flow,
            opening,
            server: &server.name,
            service: &server.service,
            holds_flow: server.holds(&flow),
            held_elsewhere: self.agents.iter().any(|other| {
                other.process.is_undisturbed()
                    && other.server.as_ref().is_some_and(|s| s.holds(&flow))
            }),
            host_stable: true,
            draining_since: host.drain_acknowledged_at,
        };
        let now = self.now();
        let astray = !opening && !arrival.holds_flow && arrival.held_elsewhere;
        self.report.astray += u64::from(astray);
        let broken = self.checker.packet_arrived(&arrival, now);
        let outdated = opening && self.is_outdated(&flow, &host.service);
        if let Some(broken) = broken {
            self.record_violation(&broken);
        }
        if outdated {
            self.record_violation(&Violation::OutdatedConfiguration(flow));
        }
    }

    /// Whether a new flow at the rerouted address reached a service that the last configuration
    /// doesn't name, although it was opened later than `CONFIGURATION_PROPAGATION_LIMIT` after the
    /// store acknowledged that configuration. Flows opened sooner than `UNDISTURBED_TIME` after a
    /// fault are exempt.
    pub(super) fn is_outdated(&self, flow: &Flow, service: &str) -> bool {
        let opened = self.fabric.last_openings.get(flow);
        let (Some(opened), Some(configuration)) = (opened, self.configurations.last()) else {
            return false;
        };
        let rerouted = ADDRESSES[REROUTED_ADDRESS].parse() == Ok(flow.destination);
        let undisturbed = self.disturbed_until + UNDISTURBED_TIME < *opened;
        let propagated = configuration.acknowledged_at + CONFIGURATION_PROPAGATION_LIMIT < *opened;
        rerouted && undisturbed && propagated && service != SERVICES[configuration.rerouted_service]
    }

    pub(super) fn apply_effects(&mut self, index: usize, returned: &[u8], effects: Vec<Effect>) {
        let to = self
            .network
            .socket_addr(HostGroup::Agent, index, SERVER_OUTBOUND_PORT);
        let host = &self.agents[index];
        let server = host.server.as_ref();
        let started = server.map_or(0, |server| server.started_ms);
        let name = server.map(|server| server.name.clone());
        let socket = host.socket.clone();
        for effect in effects {
            match effect {
                Effect::Send(packet) => {
                    send_datagram(&socket, &packet::encode(&packet, Sender::Server), to);
                }
                Effect::Return(_) => send_datagram(&socket, returned, to),
                Effect::Process(packet, time) => {
                    let id = packet.request.unwrap_or_default();
                    let at = format!("{} in {}", name.as_deref().unwrap_or("-"), packet.flow());
                    let caller = self
                        .callers
                        .iter()
                        .find(|caller| caller.client.ip() == packet.client.ip());
                    let may_repeat =
                        caller.is_some_and(|caller| caller.client.retries_sent_requests());
                    if let Some(broken) = self.checker.request_started(id, may_repeat, at) {
                        self.record_violation(&broken);
                    }
                    self.schedule(time, Timer::RequestProcessed(index, started, packet));
                }
            }
        }
    }

    pub(super) fn complete_request(&mut self, index: usize, started: u64, packet: &Packet) {
        let server = self.agents[index].server.as_mut();
        let Some(server) = server.filter(|server| server.started_ms == started) else {
            return;
        };
        let effects = server.complete_request(packet);
        self.apply_effects(index, &[], effects);
    }

    /// Stops a server whose drain time is over, and its agent. Both start again later, with the
    /// service of the replacement.
    pub(super) fn stop_drained_server(&mut self, index: usize) -> Result<()> {
        let host = &mut self.agents[index];
        let Some((_, service)) = host.replacement.take() else {
            return Ok(());
        };
        host.service = service;
        if let Some(server) = host.server.take() {
            self.send_notice(index, &server, Duration::ZERO);
        }
        let host = &mut self.agents[index];
        let now = Instant::now();
        host.process.stop(DRAIN_PROPAGATION_LIMIT, now)?;
        host.restart_at = Some(now + TERMINATION_GRACE + DRAIN_PROPAGATION_LIMIT);
        let service = host.service.clone();
        self.prepare_launch(Role::Agent(&service), index)?;
        Ok(())
    }

    /// Tells the agent after `wait` that a server's process has ended.
    pub(super) fn send_notice(&self, index: usize, server: &Server, wait: Duration) {
        let path = format!("/flamingofall/Instances.Deregister/{}", server.name);
        let body = json!({"born": server.started_ms}).to_string().into_bytes();
        let name = server.name.clone();
        let to = self
            .network
            .socket_addr(HostGroup::Agent, index, HEARTBEAT_PORT);
        tokio::spawn(async move {
            tokio::time::sleep(wait).await;
            if let Err(error) = send_http_request(to, Method::POST, &path, body).await {
                log::info!("event=leave_unheard server={name} reason={error:?}");
            }
        });
    }
}

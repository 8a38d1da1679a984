//! The simulated clients: sends their packets and checks what they receive.

use std::time::Duration;

use flamingofall_emulator::check::Violation;
use flamingofall_emulator::client::{Outcome, Request};
use flamingofall_emulator::packet::{Action, Packet};
use rand::Rng;

use crate::fabric::send_datagram;
use crate::network::{HostGroup, PACKET_PORT};
use crate::packet::{self, Content, Sender};

use super::{Harness, Timer, REST_MS, STARTUP_TIME};

impl Harness {
    pub(super) fn send_request(&mut self, index: usize) {
        self.next_request_id += 1;
        self.report.asked += 1;
        let (id, now) = (self.next_request_id, self.now());
        let packets = self.callers[index].client.start_request(id, now);
        self.send_client_packets(index, packets);
        self.schedule_client_timeout(index);
    }

    pub(super) fn schedule_client_timeout(&mut self, index: usize) {
        if let Some(timeout_at) = self.callers[index].client.timer_due() {
            let wait = timeout_at.saturating_sub(self.now());
            self.schedule(wait, Timer::ClientTimeout(index));
        }
    }

    pub(super) fn send_client_packets(&mut self, index: usize, packets: Vec<Packet>) {
        let now = self.now();
        let readiness_failures: Vec<u32> = self
            .balancers
            .iter()
            .map(|host| host.readiness_failures)
            .collect();
        for packet in packets {
            let flow = packet.flow();
            if packet.action == Action::Open {
                self.fabric.last_openings.insert(flow, now);
            }
            if self.fabric.drops_packet(now, &mut self.random) {
                continue;
            }
            let balancer = self.fabric.select_balancer(&flow, &readiness_failures);
            let to = self
                .network
                .socket_addr(HostGroup::Balancer, balancer, PACKET_PORT);
            let bytes = packet::encode(&packet, Sender::Client);
            send_datagram(&self.callers[index].socket, &bytes, to);
        }
    }

    pub(super) fn handle_client_timeout(&mut self, index: usize) {
        let now = self.now();
        let client = &mut self.callers[index].client;
        let request = client.request;
        let (packets, outcome) = client.run_timer(now);
        self.handle_client_result(index, request, packets, outcome);
    }

    pub(super) fn receive_at_client(&mut self, index: usize, bytes: &[u8]) {
        let packet = match packet::decode(bytes, Sender::Server) {
            Content::Genuine(packet) => packet,
            Content::Reset(packet) => {
                self.check_reset(&packet);
                packet
            }
            Content::Invalid => {
                return self.record_violation(&Violation::Forged("a client".into()))
            }
        };
        let now = self.now();
        let client = &mut self.callers[index].client;
        let request = client.request;
        let (packets, outcome) = client.receive(&packet, now);
        self.handle_client_result(index, request, packets, outcome);
    }

    /// Checks that a reset written by the platform doesn't hit a flow that a server holds.
    pub(super) fn check_reset(&mut self, packet: &Packet) {
        let flow = packet.flow();
        let servers = self.agents.iter().filter_map(|host| host.server.as_ref());
        let holder = servers
            .filter(|server| server.holds(&flow))
            .map(|server| server.name.clone())
            .next();
        if let Some(server) = holder {
            let by = "the system".to_owned();
            self.record_violation(&Violation::Reset { by, flow, server });
        }
    }

    pub(super) fn handle_client_result(
        &mut self,
        index: usize,
        request: Option<Request>,
        packets: Vec<Packet>,
        outcome: Option<Outcome>,
    ) {
        let active = !packets.is_empty() || outcome.is_some();
        self.send_client_packets(index, packets);
        if let (Some(outcome), Some(Request { id, started, .. })) = (outcome, request) {
            if let Some(broken) = self.checker.request_ended(id, outcome) {
                self.record_violation(&broken);
            }
            let served = outcome == Outcome::Served;
            let second = started.saturating_sub(STARTUP_TIME).as_secs() as usize;
            let latency = served.then(|| self.now() - started);
            self.report.record_request(second, latency);
            let pause = match self.rests(index) {
                true => Duration::from_millis(self.random.random_range(REST_MS)),
                false => self.random_pause(),
            };
            self.schedule(pause, Timer::SendRequest(index));
        } else if active {
            self.schedule_client_timeout(index);
        }
    }
}

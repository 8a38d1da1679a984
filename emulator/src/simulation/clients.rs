//! Clients and the fabric.

use std::time::Duration;

use flamingofall::steering::balancer::Balancer;

use crate::client::{Outcome, Request};
use crate::packet::Packet;
use crate::scenario::WARM_UP_S;

use super::{client_index, Event, Simulation, CHECK};

impl Simulation {
    pub(super) fn check(&mut self) {
        let now = self.now;
        for balancer in &mut self.balancers {
            let ready = balancer.core.as_ref().is_some_and(Balancer::ready)
                && !balancer.stopping
                && !balancer.faults.is_frozen(now);
            balancer.failed_checks = if ready { 0 } else { balancer.failed_checks + 1 };
        }
        self.after(CHECK, Event::Check);
    }

    pub(super) fn client_packet(&mut self, packet: Packet) {
        let in_rotation: Vec<usize> = (0..self.balancers.len())
            .filter(|index| self.balancers[*index].failed_checks < 2)
            .collect();
        let choices = if in_rotation.is_empty() {
            (0..self.balancers.len()).collect()
        } else {
            in_rotation
        };
        let index = choices[(packet.flow().hash() % choices.len() as u64) as usize];
        self.handle(Event::ToGate(index, packet));
    }

    pub(super) fn packet_to_balancer(&mut self, index: usize, packet: &Packet) {
        let now = self.instant();
        let mut out = Vec::new();
        if let Some(core) = &mut self.balancers[index].core {
            core.packet(packet.segment(), packet.encode(), now, &mut out);
        }
        self.balancer_outputs(index, out);
    }

    pub(super) fn send_clients(&mut self, packets: Vec<Packet>) {
        for packet in packets {
            if let Some(delay) = self.link() {
                self.after(delay, Event::ClientPacket(packet));
            }
        }
    }

    pub(super) fn ask(&mut self, index: usize) {
        self.next_id += 1;
        self.report.asked += 1;
        let (id, now) = (self.next_id, self.now);
        let packets = self.clients[index].start_request(id, now);
        self.send_clients(packets);
        self.rearm(index);
    }

    pub(super) fn rearm(&mut self, index: usize) {
        if let Some(due) = self.clients[index].timer_due() {
            self.at(due.max(self.now), Event::ClientTimer(index));
        }
    }

    pub(super) fn client_timer(&mut self, index: usize) {
        let request = self.clients[index].request;
        let (packets, outcome) = self.clients[index].run_timer(self.now);
        self.client_did(index, request, packets, outcome);
    }

    pub(super) fn client_receives(&mut self, packet: &Packet) {
        let Some(index) = client_index(packet.client) else {
            return;
        };
        let request = self.clients[index].request;
        let (packets, outcome) = self.clients[index].receive(packet, self.now);
        self.client_did(index, request, packets, outcome);
    }

    pub(super) fn client_did(
        &mut self,
        index: usize,
        request: Option<Request>,
        packets: Vec<Packet>,
        outcome: Option<Outcome>,
    ) {
        let active = !packets.is_empty() || outcome.is_some();
        self.send_clients(packets);
        if let (Some(outcome), Some(Request { id, started, .. })) = (outcome, request) {
            let warm_up = Duration::from_secs_f64(WARM_UP_S);
            let second = started.saturating_sub(warm_up).as_secs() as usize;
            let served = outcome == Outcome::Served;
            self.report
                .record_request(second, served.then_some(self.now - started));
            if let Some(violation) = self.checker.request_ended(id, outcome) {
                self.report.record_violation(self.now, &violation);
            }
            let pause = self.pause();
            self.after(pause, Event::Ask(index));
        } else if active {
            self.rearm(index);
        }
    }
}

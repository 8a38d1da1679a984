//! Events of clients and of the fabric.

use std::time::Duration;

use flamingofall::steering::balancer::Balancer;

use crate::client::{Outcome, Request};
use crate::packet::{Action, Packet};
use crate::scenario::WARM_UP_S;

use super::{client_index, Event, Simulation, READINESS_CHECK_INTERVAL};

impl Simulation {
    /// Runs the fabric's readiness check of each balancer.
    pub(super) fn check_readiness(&mut self) {
        let now = self.now;
        for balancer in &mut self.balancers {
            let ready = balancer.state_machine.as_ref().is_some_and(Balancer::ready)
                && !balancer.stopping
                && !balancer.faults.is_frozen(now);
            balancer.failed_checks = if ready { 0 } else { balancer.failed_checks + 1 };
        }
        self.schedule_after(READINESS_CHECK_INTERVAL, Event::ReadinessCheck);
    }

    /// Forwards a client's packet to a balancer, chosen by the flow's hash among those in rotation.
    /// Two failed checks in a row take a balancer out of rotation; if none is left, all get
    /// packets.
    pub(super) fn packet_from_client(&mut self, packet: Packet) {
        let in_rotation: Vec<usize> = (0..self.balancers.len())
            .filter(|index| self.balancers[*index].failed_checks < 2)
            .collect();
        let choices = if in_rotation.is_empty() {
            (0..self.balancers.len()).collect()
        } else {
            in_rotation
        };
        let index = choices[(packet.flow().hash() % choices.len() as u64) as usize];
        self.handle(Event::PacketToBalancer(index, packet));
    }

    pub(super) fn packet_to_balancer(&mut self, index: usize, packet: &Packet) {
        let now = self.instant();
        let mut out = Vec::new();
        if let Some(state_machine) = &mut self.balancers[index].state_machine {
            state_machine.packet(packet.segment(), packet.encode(), now, &mut out);
        }
        self.apply_balancer_outputs(index, out);
    }

    pub(super) fn send_from_client(&mut self, packets: Vec<Packet>) {
        for packet in packets {
            self.end_earlier_flow(&packet);
            if let Some(delay) = self.link_delay() {
                self.schedule_after(delay, Event::PacketFromClient(packet));
            }
        }
    }

    /// Ends the earlier flow at its server when its client uses the port again: clients do so only
    /// after that flow's lifetime.
    fn end_earlier_flow(&mut self, packet: &Packet) {
        let first_copy = packet.action == Action::Open && packet.acknowledgement == 0;
        if self.scenario.ports == 0 || !first_copy {
            return;
        }
        let flow = packet.flow();
        self.checker.port_reused(&flow);
        for server in self
            .hosts
            .iter_mut()
            .filter_map(|host| host.server.as_mut())
        {
            server.expire(&flow);
        }
    }

    pub(super) fn start_request(&mut self, index: usize) {
        self.next_id += 1;
        self.report.asked += 1;
        let (id, now) = (self.next_id, self.now);
        let packets = self.clients[index].start_request(id, now);
        self.send_from_client(packets);
        self.schedule_client_timer(index);
    }

    pub(super) fn schedule_client_timer(&mut self, index: usize) {
        if let Some(due) = self.clients[index].timer_due() {
            self.schedule_at(due.max(self.now), Event::ClientTimer(index));
        }
    }

    pub(super) fn client_timer(&mut self, index: usize) {
        let request = self.clients[index].request;
        let (packets, outcome) = self.clients[index].run_timer(self.now);
        self.apply_client_step(index, request, packets, outcome);
    }

    pub(super) fn packet_to_client(&mut self, packet: &Packet) {
        let Some(index) = client_index(packet.client) else {
            return;
        };
        let request = self.clients[index].request;
        let (packets, outcome) = self.clients[index].receive(packet, self.now);
        self.apply_client_step(index, request, packets, outcome);
    }

    /// Sends a client's packets. If its request has ended, records the outcome and schedules the
    /// next request.
    pub(super) fn apply_client_step(
        &mut self,
        index: usize,
        request: Option<Request>,
        packets: Vec<Packet>,
        outcome: Option<Outcome>,
    ) {
        let acted = !packets.is_empty() || outcome.is_some();
        self.send_from_client(packets);
        if let (Some(outcome), Some(Request { id, started, .. })) = (outcome, request) {
            let warm_up = Duration::from_secs_f64(WARM_UP_S);
            let second = started.saturating_sub(warm_up).as_secs() as usize;
            let served = outcome == Outcome::Served;
            self.report
                .record_request(second, served.then_some(self.now - started));
            if let Some(violation) = self.checker.request_ended(id, outcome) {
                self.report.record_violation(self.now, &violation);
            }
            let pause = self.draw_pause();
            self.schedule_after(pause, Event::StartRequest(index));
        } else if acted {
            self.schedule_client_timer(index);
        }
    }
}

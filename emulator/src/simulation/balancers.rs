//! Balancers and what processes send.

use std::net::SocketAddr;

use flamingofall::packet::Flow;
use flamingofall::steering::balancer::{self, Balancer};
use flamingofall::steering::message::Message;

use crate::check::Violation;
use crate::packet::{decode_segment, Action, Packet};

use super::{Event, Simulation, Trouble, CALL, DIRECTORY_RETRY};

impl Simulation {
    pub(super) fn start_balancer(&mut self, index: usize) {
        let now = self.instant();
        let gate = &mut self.gates[index];
        if gate.core.is_some() {
            return;
        }
        gate.core = Some(Balancer::new(gate.address, now));
        gate.run += 1;
        gate.stopping = false;
        let run = gate.run;
        self.after(CALL, Event::ReadBalancer(index, run));
        self.after(balancer::TICK, Event::TickBalancer(index));
    }

    pub(super) fn read_balancer(&mut self, index: usize, run: u64) {
        if self.gates[index].run != run {
            return;
        }
        self.report.calls += 1;
        if !self.directory.available || !self.gates[index].trouble.can_send(self.now) {
            self.after(DIRECTORY_RETRY, Event::ReadBalancer(index, run));
            return;
        }
        let now = self.instant();
        let address = self.gates[index].address;
        if !self.directory.balancers.contains(&address) {
            self.directory.balancers.push(address);
        }
        let directory = self.directory.read_view();
        let members = directory.members.values().cloned().collect();
        let balancers = directory.balancers.clone();
        let routes = directory.routes.clone();
        let mut out = Vec::new();
        if let Some(core) = &mut self.gates[index].core {
            core.configure(routes, "directory", &mut out);
            core.merge_directory(members, balancers, now, &mut out);
        }
        self.balancer_outputs(index, out);
    }

    pub(super) fn tick_balancer(&mut self, index: usize) {
        let now = self.instant();
        let mut out = Vec::new();
        if let Some(core) = &mut self.gates[index].core {
            core.tick(now, &mut out);
            self.after(balancer::TICK, Event::TickBalancer(index));
        }
        self.balancer_outputs(index, out);
    }

    pub(super) fn balancer_receives(&mut self, index: usize, from: SocketAddr, bytes: &[u8]) {
        let now = self.instant();
        let mut out = Vec::new();
        match (Message::decode(bytes), &mut self.gates[index].core) {
            (Ok(message), Some(core)) => core.message(from, message, decode_segment, now, &mut out),
            (Err(error), _) => {
                let violation = Violation::MalformedMessage(error.to_string());
                self.report.record_violation(self.now, &violation);
            }
            (Ok(_), None) => {}
        }
        self.balancer_outputs(index, out);
    }

    pub(super) fn balancer_outputs(&mut self, index: usize, out: Vec<balancer::Output>) {
        let from = self.gates[index].address;
        for output in out {
            match output {
                balancer::Output::Send(to, message) => self.send(from, to, &message),
                balancer::Output::Reset { flow, sequence } => {
                    self.reset(flow, sequence, from);
                }
                balancer::Output::Fetch(source) => self.fetch(index, source),
                balancer::Output::Log(event) => self.log(&from.ip().to_string(), &event),
                balancer::Output::Latency(_) => {}
            }
        }
    }

    pub(super) fn fetch(&mut self, index: usize, source: SocketAddr) {
        let known = self.gates.iter().any(|gate| gate.address == source);
        let routes = self.directory.routes.clone();
        let mut out = Vec::new();
        if let (true, Some(core)) = (known, &mut self.gates[index].core) {
            core.configure(routes, "peer", &mut out);
        }
    }

    pub(super) fn send(&mut self, from: SocketAddr, to: SocketAddr, message: &Message) {
        self.report.messages += 1;
        let carries =
            self.trouble(from).can_send(self.now) && self.trouble(to).can_receive(self.now);
        if !carries {
            return;
        }
        let Some(delay) = self.link() else {
            return;
        };
        let bytes = message.encode();
        if let Some(index) = self.hosts.iter().position(|host| host.address == to) {
            self.after(delay, Event::ToAgent(index, from, bytes));
        } else if let Some(index) = self.gates.iter().position(|gate| gate.address == to) {
            self.after(delay, Event::ToBalancer(index, from, bytes));
        }
    }

    fn trouble(&self, address: SocketAddr) -> Trouble {
        let gate = self.gates.iter().find(|gate| gate.address == address);
        let host = self.hosts.iter().find(|host| host.address == address);
        gate.map(|gate| gate.trouble)
            .or(host.map(|host| host.trouble))
            .unwrap_or_default()
    }

    /// A reset by a balancer or an agent. None may hit a flow that a server holds, if both hosts
    /// are undisturbed.
    pub(super) fn reset(&mut self, flow: Flow, sequence: u32, by: SocketAddr) {
        let holder = self.hosts.iter().find_map(|host| {
            let server = host.server.as_ref().filter(|server| server.holds(&flow))?;
            host.trouble.is_over(self.now).then_some(server)
        });
        let calm = self.links_calm() && self.trouble(by).is_over(self.now);
        if let Some(server) = holder.filter(|_| calm) {
            let violation = Violation::Reset {
                by: by.to_string(),
                flow,
                server: server.name.clone(),
            };
            self.report.record_violation(self.now, &violation);
        }
        let packet = Packet {
            client: flow.source,
            address: flow.destination,
            action: Action::Reset,
            sequence,
            acknowledgement: 0,
            request: None,
        };
        if let Some(delay) = self.link() {
            self.after(delay, Event::ToClient(packet));
        }
    }
}

//! Events of balancers, and what balancers and agents send to other hosts.

use std::net::SocketAddr;
use std::time::Duration;

use flamingofall::packet::Flow;
use flamingofall::steering::balancer::{self, Balancer};
use flamingofall::steering::message::Message;
use flamingofall::steering::routes::Source;

use crate::check::Violation;
use crate::packet::{decode_segment, Action, Packet};

use super::{Event, HostFaults, Simulation, DIRECTORY_RETRY_INTERVAL, DIRECTORY_ROUND_TRIP};

impl Simulation {
    pub(super) fn start_balancer(&mut self, index: usize) {
        let now = self.instant();
        let balancer = &mut self.balancers[index];
        if balancer.state_machine.is_some() {
            return;
        }
        balancer.state_machine = Some(Balancer::new(balancer.address, now));
        balancer.starts += 1;
        balancer.stopping = false;
        let starts = balancer.starts;
        self.schedule_after(
            DIRECTORY_ROUND_TRIP,
            Event::BalancerReadsDirectory(index, starts),
        );
        self.schedule_after(balancer::TICK, Event::TickBalancer(index));
    }

    /// Registers the balancer in the directory and passes on the configuration, the members and the
    /// balancers. Repeats the call until the directory answers.
    pub(super) fn balancer_reads_directory(&mut self, index: usize, starts: u64) {
        if self.balancers[index].starts != starts {
            return;
        }
        self.report.calls += 1;
        if !self.directory.available || !self.balancers[index].faults.can_send(self.now) {
            self.schedule_after(
                DIRECTORY_RETRY_INTERVAL,
                Event::BalancerReadsDirectory(index, starts),
            );
            return;
        }
        let now = self.instant();
        let address = self.balancers[index].address;
        if !self.directory.balancers.contains(&address) {
            self.directory.balancers.push(address);
        }
        let era = self.directory.era;
        let directory = self.directory.read_view();
        let members = directory.members.values().cloned().collect();
        let balancers = directory.balancers.clone();
        let routes = directory.routes.clone();
        let mut out = Vec::new();
        if let Some(state_machine) = &mut self.balancers[index].state_machine {
            state_machine.configure(routes, Source::Store, &mut out);
            state_machine.merge_directory(members, balancers, now, &mut out);
            state_machine.store_era(era, &mut out);
        }
        self.apply_balancer_outputs(index, out);
    }

    /// Registers the balancer again after the directory has come back from a copy. Repeats the call
    /// until the directory answers.
    pub(super) fn balancer_learns_era(&mut self, index: usize, starts: u64) {
        let balancer = &mut self.balancers[index];
        let Some(state_machine) = balancer.state_machine.as_mut() else {
            return;
        };
        if balancer.starts != starts {
            return;
        }
        self.report.calls += 1;
        if !self.directory.available || !balancer.faults.can_send(self.now) {
            let event = Event::BalancerLearnsEra(index, starts);
            self.schedule_after(DIRECTORY_RETRY_INTERVAL, event);
            return;
        }
        if !self.directory.balancers.contains(&balancer.address) {
            self.directory.balancers.push(balancer.address);
        }
        let mut out = Vec::new();
        state_machine.store_era(self.directory.era, &mut out);
        self.apply_balancer_outputs(index, out);
    }

    pub(super) fn tick_balancer(&mut self, index: usize) {
        let now = self.instant();
        let mut out = Vec::new();
        if let Some(state_machine) = &mut self.balancers[index].state_machine {
            state_machine.tick(now, &mut out);
            self.schedule_after(balancer::TICK, Event::TickBalancer(index));
        }
        self.apply_balancer_outputs(index, out);
    }

    pub(super) fn message_to_balancer(&mut self, index: usize, from: SocketAddr, bytes: &[u8]) {
        let now = self.instant();
        let mut out = Vec::new();
        match (
            Message::decode(bytes),
            &mut self.balancers[index].state_machine,
        ) {
            (Ok(message), Some(state_machine)) => {
                state_machine.message(from, message, decode_segment, now, &mut out)
            }
            (Err(error), _) => {
                let violation = Violation::MalformedMessage(error.to_string());
                self.report.record_violation(self.now, &violation);
            }
            (Ok(_), None) => {}
        }
        self.apply_balancer_outputs(index, out);
    }

    pub(super) fn apply_balancer_outputs(&mut self, index: usize, out: Vec<balancer::Output>) {
        let from = self.balancers[index].address;
        for output in out {
            match output {
                balancer::Output::Send(to, message) => self.send_message(from, to, &message),
                balancer::Output::Reset { flow, sequence } => {
                    self.send_reset(flow, sequence, from);
                }
                balancer::Output::Fetch(source) => self.fetch_configuration(index, source),
                balancer::Output::Log(event) => self.log(&from.ip().to_string(), &event),
                balancer::Output::Latency(_)
                | balancer::Output::StoreEra(_)
                | balancer::Output::Slot(_) => {}
            }
        }
    }

    /// Configures a balancer from a peer. Any balancer counts as a peer with the directory's
    /// current configuration, and the fetch takes no time.
    pub(super) fn fetch_configuration(&mut self, index: usize, source: SocketAddr) {
        let is_balancer = self
            .balancers
            .iter()
            .any(|balancer| balancer.address == source);
        let routes = self.directory.routes.clone();
        let mut out = Vec::new();
        if let (true, Some(state_machine)) = (is_balancer, &mut self.balancers[index].state_machine)
        {
            state_machine.configure(routes, Source::Peer, &mut out);
        }
    }

    /// Sends a message between balancers and agents, unless a partition or packet loss drops it.
    pub(super) fn send_message(&mut self, from: SocketAddr, to: SocketAddr, message: &Message) {
        self.report.messages += 1;
        let connected =
            self.faults(from).can_send(self.now) && self.faults(to).can_receive(self.now);
        let muted = |(sender, receiver, until): &(SocketAddr, SocketAddr, Duration)| {
            (*sender, *receiver) == (from, to) && self.now < *until
        };
        if !connected || self.muted_pairs.iter().any(muted) {
            return;
        }
        let Some(delay) = self.link_delay() else {
            return;
        };
        let bytes = message.encode();
        if let Some(index) = self.hosts.iter().position(|host| host.address == to) {
            self.schedule_after(delay, Event::MessageToAgent(index, from, bytes));
        } else if let Some(index) = self
            .balancers
            .iter()
            .position(|balancer| balancer.address == to)
        {
            self.schedule_after(delay, Event::MessageToBalancer(index, from, bytes));
        }
    }

    /// The faults of the host with this address; none if it is unknown.
    fn faults(&self, address: SocketAddr) -> HostFaults {
        let balancer = self
            .balancers
            .iter()
            .find(|balancer| balancer.address == address);
        let host = self.hosts.iter().find(|host| host.address == address);
        balancer
            .map(|balancer| balancer.faults)
            .or(host.map(|host| host.faults))
            .unwrap_or_default()
    }

    /// Sends a reset of a balancer or an agent to the client. Resetting a flow that a server holds
    /// is a violation if the links and both hosts are stable.
    pub(super) fn send_reset(&mut self, flow: Flow, sequence: u32, by: SocketAddr) {
        let holder = self.hosts.iter().find_map(|host| {
            let server = host.server.as_ref().filter(|server| server.holds(&flow))?;
            host.faults.is_stable(self.now).then_some(server)
        });
        let stable = self.links_stable() && self.faults(by).is_stable(self.now);
        if let Some(server) = holder.filter(|_| stable) {
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
        if let Some(delay) = self.link_delay() {
            self.schedule_after(delay, Event::PacketToClient(packet));
        }
    }
}

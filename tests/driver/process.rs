//! Starts, restarts and ends the simulated processes.

use std::net::SocketAddr;

use flamingofall::control::{Control, Snapshot};
use flamingofall::id::{Generation, Incarnation, Sequence};
use flamingofall::member::{Record, Role, State};
use rand::Rng;

use super::agent::SimulatedAgent;
use super::{Driver, Process, ScheduledEvent, TICK};

impl Driver {
    /// Starts a process that announces the given record. Its seeds are the first balancers of
    /// domains 0 to 2, and its first tick comes after a random part of [`TICK`].
    pub fn start_process(&mut self, record: Record) {
        let (address, incarnation) = (record.control, record.incarnation.0);
        let seed_addresses: Vec<SocketAddr> =
            (0..3).map(|d| super::record(d, 0, 1).control).collect();
        let process = if record.role == Role::Balancer {
            let seed = self.random.random();
            Process::Balancer(Box::new(Control::new(
                record,
                seed_addresses,
                seed,
                self.now,
            )))
        } else {
            Process::Agent(Box::new(SimulatedAgent::new(
                record,
                seed_addresses,
                self.now,
            )))
        };
        self.processes.insert(address, (incarnation, process));
        let offset = TICK.mul_f64(self.random.random());
        self.schedule(offset, ScheduledEvent::Tick(address, incarnation));
    }

    /// Replaces a balancer by its next incarnation, which loads a snapshot of `peer` if given.
    pub fn restart(&mut self, address: SocketAddr, peer: Option<SocketAddr>) {
        let (mut record, incarnation) = (
            self.control(address).view().own.record().clone(),
            self.incarnation(address),
        );
        record.incarnation = Incarnation(incarnation + 1);
        record.sequence = Sequence(1);
        record.state = State::Joining;
        record.generation = Generation(0);
        self.start_process(record);
        if let Some(snapshot) = peer.map(|peer| self.control(peer).snapshot()) {
            self.load_snapshot(address, snapshot);
        }
    }

    /// Loads a snapshot into the view of a balancer.
    pub fn load_snapshot(&mut self, address: SocketAddr, snapshot: Snapshot) {
        let (now, mut out) = (self.now, Vec::new());
        if let Some((_, Process::Balancer(control))) = self.processes.get_mut(&address) {
            control.load_snapshot(snapshot, now, &mut out);
        }
        self.process_outputs(address, out);
    }

    /// Ends a process without notice to the others.
    pub fn kill(&mut self, address: SocketAddr) {
        self.processes.remove(&address);
    }

    pub fn incarnation(&self, address: SocketAddr) -> u64 {
        self.processes[&address].0
    }
}

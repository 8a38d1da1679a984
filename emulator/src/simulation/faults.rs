//! Faults and planned changes of a scenario.

use std::time::Duration;

use flamingofall::id::Era;

use crate::directory::Directory;
use crate::scenario::EventKind;

use super::{
    service_name, Event, Partition, Simulation, BALANCER_STOP_DELAY, DIRECTORY_ROUND_TRIP,
    RESTART_DELAY,
};

impl Simulation {
    /// Begins an event of the scenario. Those with a duration end by themselves.
    pub(super) fn start_fault(&mut self, index: usize) {
        let event = self.scenario.events[index].clone();
        let duration = Duration::from_secs_f64(event.for_s);
        let balancers = event.targets(self.balancers.len());
        let hosts = event.targets(self.hosts.len());
        let until = Some(self.now + duration);
        let factor = event.intensity;
        let partition = match event.kind {
            EventKind::CutBalancers | EventKind::CutAgents => Partition::Both,
            _ => Partition::Outgoing,
        };
        let partition = until.map(|until| (until, partition));
        match event.kind {
            EventKind::KillBalancers => balancers.for_each(|i| self.kill_balancer(i, duration)),
            EventKind::RestartBalancers => balancers.for_each(|i| self.restart_balancer(i)),
            EventKind::KillAgents => hosts.for_each(|i| self.kill_agent(i, duration)),
            EventKind::RestartAgents => hosts.for_each(|i| self.restart_agent(i, duration)),
            EventKind::CrashServers => hosts.for_each(|i| self.crash_server(i, duration)),
            EventKind::PowerOff => self.power_off(duration),
            EventKind::DrainServers => hosts.for_each(|i| self.drain_server(i)),
            EventKind::AddServers => (0..event.count).for_each(|_| self.add_host(service_name(0))),
            EventKind::DirectoryDown => {
                self.directory.available = false;
                self.schedule_after(duration, Event::DirectoryRestored);
            }
            EventKind::DirectoryStale => {
                self.directory.stale_copy = Some(Box::new(self.directory.clone()));
                self.schedule_after(duration, Event::DirectoryRestored);
            }
            EventKind::RestoreDirectory => {
                let copy = Box::new(self.directory.clone());
                self.schedule_after(duration, Event::RestoreDirectory(copy));
            }
            EventKind::ChangeWeights => self.change_weights(),
            EventKind::FreezeBalancers => self.balancers[balancers]
                .iter_mut()
                .for_each(|balancer| balancer.faults.frozen = until),
            EventKind::FreezeAgents => self.hosts[hosts]
                .iter_mut()
                .for_each(|host| host.faults.frozen = until),
            EventKind::CutBalancers | EventKind::MuteBalancers => self.balancers[balancers]
                .iter_mut()
                .for_each(|balancer| balancer.faults.partition = partition),
            EventKind::CutAgents | EventKind::MuteAgents => self.hosts[hosts]
                .iter_mut()
                .for_each(|host| host.faults.partition = partition),
            EventKind::SlowServers => self.hosts[hosts]
                .iter_mut()
                .for_each(|host| host.slowdown = until.map(|until| (until, factor as u32))),
            EventKind::GreyServers => self.hosts[hosts]
                .iter_mut()
                .for_each(|host| host.grey_until = until),
            EventKind::Burst => self.burst = until.map(|until| (until, factor)),
            EventKind::MutePairs => hosts.for_each(|i| self.mute_pair(i, duration, true)),
            EventKind::DeafPairs => hosts.for_each(|i| self.mute_pair(i, duration, false)),
            EventKind::ReplaceServers => hosts.for_each(|i| self.replace_server(i)),
            EventKind::DrainSuccessors => hosts.for_each(|i| self.drain_successor(i, duration)),
            EventKind::SetClocksBack => {
                let back = Duration::from_secs_f64(factor);
                hosts.for_each(|i| self.set_clock_back(i, back));
            }
            EventKind::LossyLinks => self.extra_loss = until.map(|until| (until, event.intensity)),
        }
    }

    /// Ends the balancer's process without warning and starts it again. The exit of a balancer that
    /// was stopped before doesn't count as a fault of its host.
    pub(super) fn kill_balancer(&mut self, index: usize, duration: Duration) {
        let balancer = &mut self.balancers[index];
        balancer.state_machine = None;
        balancer.faults.frozen = None;
        if !balancer.stopping {
            balancer.faults.killed = Some(self.now + duration + RESTART_DELAY);
        }
        self.schedule_after(duration + RESTART_DELAY, Event::StartBalancer(index));
    }

    /// Stops the balancer after [`BALANCER_STOP_DELAY`], as in a planned restart: it isn't ready
    /// from now on, and the fabric takes it out of rotation before it exits.
    pub(super) fn restart_balancer(&mut self, index: usize) {
        self.balancers[index].stopping = true;
        self.schedule_after(BALANCER_STOP_DELAY, Event::StopBalancer(index));
    }

    /// Ends the agent's process without warning and starts it again. Its server keeps running.
    pub(super) fn kill_agent(&mut self, index: usize, duration: Duration) {
        let host = &mut self.hosts[index];
        host.state_machine = None;
        host.faults.frozen = None;
        host.faults.killed = Some(self.now + duration + RESTART_DELAY);
        self.schedule_after(duration + RESTART_DELAY, Event::StartAgent(index));
    }

    /// Asks the agent's process to stop, as in a planned restart. It starts again after the time given.
    fn restart_agent(&mut self, index: usize, duration: Duration) {
        let starts = self.hosts[index].starts;
        self.schedule_after(Duration::ZERO, Event::StopAgent(index, starts, duration));
    }

    /// Ends the server's process without warning and starts it again under a new name.
    pub(super) fn crash_server(&mut self, index: usize, duration: Duration) {
        self.hosts[index].server = None;
        self.schedule_after(duration + RESTART_DELAY, Event::StartServer(index));
    }

    /// Drops everything that the agent sends to one balancer, or the other way round.
    fn mute_pair(&mut self, index: usize, duration: Duration, from_agent: bool) {
        let until = self.now + duration;
        let other = index % self.balancers.len();
        let (host, balancer) = (&mut self.hosts[index], &mut self.balancers[other]);
        host.faults.pair_muted = host.faults.pair_muted.max(Some(until));
        balancer.faults.pair_muted = balancer.faults.pair_muted.max(Some(until));
        let (from, to) = match from_agent {
            true => (host.address, balancer.address),
            false => (balancer.address, host.address),
        };
        self.muted_pairs.retain(|(_, _, end)| *end > self.now);
        self.muted_pairs.push((from, to, until));
    }

    /// Drains the server, and starts another one on the host when it exits. Does nothing to a host
    /// without a server or an agent.
    fn replace_server(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if host.server.is_some() && host.state_machine.is_some() {
            host.replaced = true;
            self.drain_server(index);
        }
    }

    /// Ends the server's process without warning, starts another one at once, and drains that one
    /// after the time given. The crash is a fault of the host.
    fn drain_successor(&mut self, index: usize, drain_after: Duration) {
        let host = &mut self.hosts[index];
        if host.server.take().is_none() {
            return;
        }
        host.faults.killed = host.faults.killed.max(Some(self.now));
        self.schedule_after(Duration::ZERO, Event::StartSilentServer(index));
        self.schedule_after(drain_after, Event::DrainServer(index));
    }

    /// Kills the agent's process, and starts it again with a clock that has gone back.
    fn set_clock_back(&mut self, index: usize, back: Duration) {
        self.hosts[index].clock_behind += back;
        self.kill_agent(index, Duration::ZERO);
    }

    /// Kills the processes of all hosts except those without a server. Servers start 50 ms after
    /// their agents.
    pub(super) fn power_off(&mut self, duration: Duration) {
        for index in 0..self.balancers.len() {
            self.kill_balancer(index, duration);
        }
        for index in 0..self.hosts.len() {
            if self.hosts[index].server.is_some() {
                self.kill_agent(index, duration);
                self.crash_server(index, duration + Duration::from_millis(50));
            }
        }
    }

    /// Marks the server as draining; its agent learns it with the next heartbeat.
    pub(super) fn drain_server(&mut self, index: usize) {
        if let Some(server) = &mut self.hosts[index].server {
            server.draining = true;
        }
    }

    /// Brings the directory back from a copy. Running balancers learn of it, as they watch the
    /// configuration.
    pub(super) fn restore_directory(&mut self, copy: Directory) {
        self.directory.era = Era(self.directory.era.0 + 1);
        self.directory.members = copy.members;
        self.directory.snapshots = copy.snapshots;
        self.directory.balancers = copy.balancers;
        for index in 0..self.balancers.len() {
            let starts = self.balancers[index].starts;
            let event = Event::BalancerLearnsEra(index, starts);
            self.schedule_after(DIRECTORY_ROUND_TRIP, event);
        }
    }

    /// Publishes a configuration with other weights, which all running balancers read.
    pub(super) fn change_weights(&mut self) {
        self.change_configuration();
        for index in 0..self.balancers.len() {
            let starts = self.balancers[index].starts;
            if self.balancers[index].state_machine.is_some() {
                self.schedule_after(
                    DIRECTORY_ROUND_TRIP,
                    Event::BalancerReadsDirectory(index, starts),
                );
            }
        }
    }
}

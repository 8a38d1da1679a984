//! Injects faults and does the operator's work: readiness checks and configuration changes.

use std::time::{Duration, Instant};

use anyhow::Result;
use hyper::{Method, StatusCode};
use nix::sys::signal::Signal;
use rand::seq::SliceRandom;
use rand::Rng;
use serde_json::json;

use crate::host::send_http_request;
use crate::network::{HostGroup, Role, READINESS_PORT};
use crate::plan::{Fault, ScheduledFault, ROLL_INTERVAL};
use crate::process::TERMINATION_GRACE;
use crate::proxy::ConnectionFault;
use crate::store::Mode;

use super::{
    write_file, AcknowledgedConfiguration, Event, Harness, Timer, ADDRESSES,
    DRAIN_PROPAGATION_LIMIT, DRAIN_TIME, READINESS_CHECK_INTERVAL, REROUTED_ADDRESS, SERVICES,
};

/// Longest time until the operator writes the configuration again after the store has come back.
const REWRITE_WAIT_MAX: Duration = Duration::from_secs(1);
/// Delay of a late notice of a server's end in milliseconds.
const LATE_NOTICE_MS: std::ops::Range<u64> = 20..2000;

impl Harness {
    pub(super) fn check_readiness(&mut self) {
        for index in 0..self.balancers.len() {
            let to = self
                .network
                .socket_addr(HostGroup::Balancer, index, READINESS_PORT);
            let events = self.events.clone();
            tokio::spawn(async move {
                let path = "/flamingofall/readiness";
                let status = send_http_request(to, Method::GET, path, Vec::new()).await;
                let ready = status.is_ok_and(|status| status == StatusCode::OK);
                // Sending fails only after the end of the run.
                let _ = events.send(Event::ReadinessChecked(index, ready));
            });
        }
        self.schedule(READINESS_CHECK_INTERVAL, Timer::CheckReadiness);
    }

    pub(super) fn write_configuration(&mut self) {
        let version = self.configurations.len();
        let rerouted_service = version % SERVICES.len();
        let routes: Vec<_> = ADDRESSES
            .iter()
            .enumerate()
            .map(|(index, address)| {
                let service = SERVICES[if index == REROUTED_ADDRESS {
                    rerouted_service
                } else {
                    index
                }];
                let (ip, port) = address.split_once(':').unwrap_or((address, ""));
                if let Ok(address) = address.parse() {
                    self.checker.allow(address, service);
                }
                json!({
                    "name": format!("route-{index}"), "hostname": ip,
                    "path_prefix": format!("/{port}/"), "type": "non_idempotent",
                    "service": service, "timeout_ms": 2000, "target_latency_ms": 200,
                })
            })
            .collect();
        let spec = json!({
            "version": 10 + 7 * version, "routes": routes, "services": [],
            "limits": {"idle_timeout_ms": 15_000},
        });
        self.store.put("config", "main", spec.clone());
        self.latest_configuration = spec;
        let acknowledged_at = self.now();
        self.configurations.push(AcknowledgedConfiguration {
            acknowledged_at,
            rerouted_service,
        });
    }

    /// Returns the sorted indexes of up to `count` random hosts out of `host_count`.
    pub(super) fn sample_hosts(&mut self, count: usize, host_count: usize) -> Vec<usize> {
        let mut hosts =
            rand::seq::index::sample(&mut self.random, host_count, count.min(host_count))
                .into_vec();
        hosts.sort_unstable();
        hosts
    }

    pub(super) fn inject_fault(&mut self, scheduled: &ScheduledFault) -> Result<()> {
        let now = Instant::now();
        let duration = scheduled.duration;
        let balancers = self.sample_hosts(scheduled.count, self.balancers.len());
        let agents = self.sample_hosts(scheduled.count, self.agents.len());
        self.disturbed_until = self.disturbed_until.max(self.now() + duration);
        match scheduled.fault {
            Fault::KillBalancers => {
                for index in balancers {
                    self.balancers[index].process.kill(duration, now)?;
                }
            }
            Fault::FreezeBalancers => {
                for index in balancers {
                    self.balancers[index].process.suspend(duration, now)?;
                }
            }
            Fault::StopBalancers => {
                self.disturbed_until = self.disturbed_until.max(self.now() + TERMINATION_GRACE);
                for index in balancers {
                    self.balancers[index].process.stop(Duration::ZERO, now)?;
                }
            }
            Fault::KillAgents => {
                for index in agents {
                    self.agents[index].process.kill(duration, now)?;
                }
            }
            Fault::FreezeAgents => {
                for index in agents {
                    self.agents[index].process.suspend(duration, now)?;
                }
            }
            Fault::StopAgents => {
                for index in agents {
                    self.agents[index].process.stop(Duration::ZERO, now)?;
                }
            }
            Fault::CrashServers => {
                for index in agents {
                    self.crash_server(index, duration);
                }
            }
            Fault::RenewServers => {
                let replacement_time = DRAIN_TIME + TERMINATION_GRACE + DRAIN_PROPAGATION_LIMIT;
                let end = self.now() + duration + replacement_time;
                self.disturbed_until = self.disturbed_until.max(end);
                for index in &agents {
                    self.renew_server(*index);
                }
                self.schedule(duration, Timer::ClearFault(scheduled.fault, agents));
            }
            Fault::ReplaceServers => {
                let replacement_time = DRAIN_TIME + TERMINATION_GRACE + DRAIN_PROPAGATION_LIMIT;
                self.disturbed_until = self.disturbed_until.max(self.now() + replacement_time);
                for index in agents {
                    self.drain_server(index);
                }
            }
            Fault::PowerOff => {
                for host in &mut self.balancers {
                    host.process.kill(duration, now)?;
                }
                for index in 0..self.agents.len() {
                    self.agents[index].process.kill(duration, now)?;
                    self.crash_server(index, duration);
                }
            }
            Fault::Store(mode) => {
                self.store.set_mode(mode);
                self.schedule(duration, Timer::ClearFault(scheduled.fault, Vec::new()));
            }
            Fault::RestoreStore(_) => {
                self.disturbed_until += REWRITE_WAIT_MAX;
                self.store.set_mode(Mode::Refusing);
                self.schedule(duration, Timer::ClearFault(scheduled.fault, Vec::new()));
            }
            Fault::Forget => self.store.discard_history(),
            Fault::Connections(fault) => {
                for index in &balancers {
                    self.balancers[*index].proxy.set_fault(fault);
                }
                for index in &agents {
                    self.agents[*index].proxy.set_fault(fault);
                }
                let hosts = balancers.into_iter().chain(agents).collect();
                self.schedule(duration, Timer::ClearFault(scheduled.fault, hosts));
            }
            Fault::Loss => self.fabric.lossy_until = Some(self.now() + duration),
            Fault::Configure => self.write_configuration(),
            Fault::Reload => {
                let seeds = balancers;
                for index in agents {
                    let service = self.agents[index].service.clone();
                    let text = self.network.settings(Role::Agent(&service), index, &seeds);
                    let file = format!("agent-{index}.toml");
                    write_file(&self.options.directory.join(file), &text)?;
                    self.agents[index].process.signal(Signal::SIGHUP)?;
                }
            }
            Fault::RollAgents => self.roll_processes(HostGroup::Agent, agents, duration),
            Fault::RollBalancers => self.roll_processes(HostGroup::Balancer, balancers, duration),
        }
        Ok(())
    }

    fn roll_processes(&mut self, group: HostGroup, mut hosts: Vec<usize>, duration: Duration) {
        let end = self.now() + duration + TERMINATION_GRACE;
        self.disturbed_until = self.disturbed_until.max(end);
        hosts.shuffle(&mut self.random);
        for (index, wait) in hosts.into_iter().zip(0..) {
            self.schedule(ROLL_INTERVAL * wait, Timer::RestartProcess(group, index));
        }
    }

    pub(super) fn clear_fault(&mut self, fault: Fault, hosts: &[usize]) {
        match fault {
            Fault::Store(_) => self.store.set_mode(Mode::Up),
            Fault::RestoreStore(age) => self.restore_store(age),
            Fault::Connections(_) => {
                for index in hosts {
                    let balancers = self.balancers.get(*index).map(|host| &host.proxy);
                    let agents = self.agents.get(*index).map(|host| &host.proxy);
                    for proxy in balancers.into_iter().chain(agents) {
                        proxy.set_fault(ConnectionFault::None);
                    }
                }
            }
            Fault::RenewServers => {
                for index in hosts {
                    self.drain_server(*index);
                }
            }
            _ => {}
        }
    }

    /// Brings the store back from the latest copy that is at least `age` old, and has the operator
    /// write the latest configuration again soon after.
    fn restore_store(&mut self, age: Duration) {
        let latest = self.now().saturating_sub(age);
        // Later copies hold what is lost now.
        while self.backups.len() > 1 && self.backups.back().is_some_and(|(at, _)| *at > latest) {
            self.backups.pop_back();
        }
        if let Some((_, copy)) = self.backups.back() {
            self.store.restore(copy);
        }
        self.store.set_mode(Mode::Up);
        let wait = self.random.random_range(Duration::ZERO..REWRITE_WAIT_MAX);
        self.schedule(wait, Timer::RewriteConfiguration);
    }

    fn renew_server(&mut self, index: usize) {
        let late_notice = self.random.random_bool(0.5);
        let wait = Duration::from_millis(self.random.random_range(LATE_NOTICE_MS));
        let host = &mut self.agents[index];
        if host.replacement.is_some() {
            return;
        }
        let Some(server) = host.server.take() else {
            return;
        };
        host.next_name = Some(server.name.clone());
        host.restart_at = Some(Instant::now());
        if late_notice {
            self.send_notice(index, &server, wait);
        }
    }

    pub(super) fn crash_server(&mut self, index: usize, duration: Duration) {
        let host = &mut self.agents[index];
        if host.server.take().is_some() && host.replacement.is_none() {
            host.restart_at = Some(Instant::now() + duration);
        }
    }

    pub(super) fn drain_server(&mut self, index: usize) {
        let changes_service = self.random.random_bool(0.5);
        let host = &mut self.agents[index];
        let Some(server) = host.server.as_mut().filter(|server| !server.draining) else {
            return;
        };
        server.draining = true;
        let service = match SERVICES.iter().find(|name| **name != host.service) {
            Some(name) if changes_service => (*name).to_owned(),
            _ => host.service.clone(),
        };
        host.replacement = Some((Instant::now() + DRAIN_TIME, service));
        let started = server.started_ms;
        // Reports the drain at once instead of with the next regular heartbeat.
        self.send_heartbeat(index, started);
    }
}

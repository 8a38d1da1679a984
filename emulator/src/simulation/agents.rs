//! Events of agents and of their servers.

use std::net::SocketAddr;
use std::time::Duration;

use flamingofall::id::{Era, Incarnation};
use flamingofall::steering::agent::{self, Agent};
use flamingofall::steering::message::Message;
use flamingofall::steering::roster::State;
use rand::Rng;

use crate::check::{Arrival, Violation};
use crate::packet::{decode_segment, Action, Packet};
use crate::server::{Effect, Server};

use super::{
    client_index, Event, Simulation, AGENT_STOP_DELAY, DIRECTORY_RETRY_INTERVAL,
    DIRECTORY_ROUND_TRIP, DRAIN_DURATION, GREY_UNANSWERED_SHARE, HEARTBEAT_INTERVAL, LOCAL_DELAY,
    RESTART_DELAY,
};

impl Simulation {
    /// Starts an agent that knows the first three balancers; the directory names the others.
    pub(super) fn start_agent(&mut self, index: usize) {
        let now = self.instant();
        let incarnation = Incarnation(self.hosts[index].clock(self.now).as_millis() as u64 + 1);
        let known_balancers: Vec<_> = self
            .balancers
            .iter()
            .take(3)
            .map(|balancer| balancer.address)
            .collect();
        let host = &mut self.hosts[index];
        if host.state_machine.is_some() {
            return;
        }
        let mut state_machine = Agent::new(
            host.address,
            agent::Server {
                service: host.service.clone(),
                address: host.address,
            },
            incarnation,
            HEARTBEAT_INTERVAL,
            now,
        );
        state_machine.await_snapshot(now);
        for balancer in known_balancers {
            state_machine.add_balancer(balancer, now);
        }
        host.state_machine = Some(state_machine);
        host.starts += 1;
        let starts = host.starts;
        self.schedule_after(
            DIRECTORY_ROUND_TRIP,
            Event::AgentReadsDirectory(index, starts),
        );
        self.schedule_after(agent::TICK, Event::TickAgent(index));
    }

    /// Asks the process with this start count to stop. Does nothing if it has ended.
    pub(super) fn stop_agent(&mut self, index: usize, starts: u64, pause: Duration) {
        let now = self.instant();
        let host = &mut self.hosts[index];
        let running = host
            .state_machine
            .as_mut()
            .filter(|_| host.starts == starts);
        let Some(state_machine) = running else {
            return;
        };
        let mut out = Vec::new();
        state_machine.stop(now, &mut out);
        let server_gone = state_machine.member().state == State::Gone;
        self.apply_agent_outputs(index, out);
        if server_gone {
            self.remove_records(index);
        }
        let exit = Event::AgentExit(index, starts, pause);
        self.schedule_after(AGENT_STOP_DELAY, exit);
    }

    /// Removes the record and the snapshot of a host whose server has ended.
    fn remove_records(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if self.directory.available && host.faults.can_send(self.now) {
            self.report.calls += 2;
            host.snapshot = None;
            self.directory.members.remove(&host.address);
            self.directory.snapshots.remove(&host.address);
        }
    }

    /// Ends the process with this start count after it was asked to stop, and starts it again after the
    /// time given. This isn't a fault of the host.
    pub(super) fn agent_exit(&mut self, index: usize, starts: u64, pause: Duration) {
        let host = &mut self.hosts[index];
        if host.starts == starts && host.state_machine.take().is_some() {
            self.schedule_after(pause + RESTART_DELAY, Event::StartAgent(index));
        }
    }

    /// Passes the balancers and the agent's last snapshot on. Repeats the call until the directory
    /// answers.
    pub(super) fn agent_reads_directory(&mut self, index: usize, starts: u64) {
        if self.hosts[index].starts != starts {
            return;
        }
        self.report.calls += 1;
        if !self.directory.available || !self.hosts[index].faults.can_send(self.now) {
            self.schedule_after(
                DIRECTORY_RETRY_INTERVAL,
                Event::AgentReadsDirectory(index, starts),
            );
            return;
        }
        let now = self.instant();
        let mut out = Vec::new();
        let host = &mut self.hosts[index];
        let directory = self.directory.read_view();
        let snapshot = self.directory.snapshots.get(&host.address).cloned();
        if let Some(state_machine) = &mut host.state_machine {
            for balancer in &directory.balancers {
                state_machine.add_balancer(*balancer, now);
            }
            match snapshot {
                Some(snapshot) => state_machine.restore(snapshot, now, &mut out),
                None => state_machine.no_snapshot(now, &mut out),
            }
        }
        self.apply_agent_outputs(index, out);
    }

    pub(super) fn tick_agent(&mut self, index: usize) {
        let now = self.instant();
        let mut out = Vec::new();
        if let Some(state_machine) = &mut self.hosts[index].state_machine {
            state_machine.tick(now, &mut out);
            self.schedule_after(agent::TICK, Event::TickAgent(index));
        }
        self.apply_agent_outputs(index, out);
    }

    pub(super) fn message_to_agent(&mut self, index: usize, from: SocketAddr, bytes: &[u8]) {
        let now = self.instant();
        let mut out = Vec::new();
        match (Message::decode(bytes), &mut self.hosts[index].state_machine) {
            (Ok(message), Some(state_machine)) => {
                state_machine.message(from, message, decode_segment, now, &mut out)
            }
            (Err(error), _) => {
                let violation = Violation::MalformedMessage(error.to_string());
                self.report.record_violation(self.now, &violation);
            }
            (Ok(_), None) => {}
        }
        self.apply_agent_outputs(index, out);
    }

    pub(super) fn apply_agent_outputs(&mut self, index: usize, out: Vec<agent::Output>) {
        let from = self.hosts[index].address;
        let directory_reachable =
            self.directory.available && self.hosts[index].faults.can_send(self.now);
        for output in out {
            match output {
                agent::Output::Deliver { token, packet } => {
                    if let Some(packet) = Packet::decode(&packet) {
                        self.schedule_after(
                            LOCAL_DELAY,
                            Event::PacketToServer(index, token, packet),
                        );
                    }
                }
                agent::Output::Client(_, packet) => {
                    let delay = self.link_delay();
                    if let (Some(packet), Some(delay)) = (Packet::decode(&packet), delay) {
                        self.schedule_after(delay, Event::PacketToClient(packet));
                    }
                }
                agent::Output::Send(to, message) => self.send_message(from, to, &message),
                agent::Output::Reset { flow, sequence } => {
                    self.send_reset(flow, sequence, from);
                }
                agent::Output::Publish(member) if directory_reachable => {
                    self.report.calls += 1;
                    self.directory.members.insert(member.agent, member);
                }
                agent::Output::Save(snapshot) if directory_reachable => {
                    self.report.calls += 1;
                    self.hosts[index].snapshot = Some(snapshot.clone());
                    self.directory.snapshots.insert(from, snapshot);
                }
                agent::Output::StoreEra(era) if directory_reachable => self.write_again(index, era),
                agent::Output::Publish(_) | agent::Output::Save(_) => {}
                agent::Output::Log(event) => self.log(&from.ip().to_string(), &event),
                agent::Output::Latency(_) | agent::Output::StoreEra(_) => {}
            }
        }
    }

    /// Writes the record and the snapshot of a host again if the directory is in another era than
    /// when they were written.
    fn write_again(&mut self, index: usize, era: Era) {
        let host = &mut self.hosts[index];
        let Some(state_machine) = &host.state_machine else {
            return;
        };
        if std::mem::replace(&mut host.written_era, era) == era {
            return;
        }
        self.report.calls += 2;
        let member = state_machine.member().clone();
        self.directory.members.insert(host.address, member);
        if let Some(snapshot) = host.snapshot.clone() {
            self.directory.snapshots.insert(host.address, snapshot);
        }
    }

    /// Starts a server that sends its first heartbeat after the time given.
    pub(super) fn start_server(&mut self, index: usize, first_heartbeat: Duration) {
        let started = self.hosts[index].clock(self.now).as_millis() as u64;
        let limits = (
            self.scenario.slots,
            self.scenario.queue,
            Duration::from_millis(self.scenario.work_ms),
        );
        let host = &mut self.hosts[index];
        let name = format!("server-{index}-{}", self.now.as_millis());
        let server = Server::new(name.clone(), host.service.clone(), started, limits);
        host.server = Some(server);
        host.draining_since = None;
        self.schedule_after(first_heartbeat, Event::Heartbeat(index, name));
    }

    /// Sends the server's heartbeat to its agent, unless the agent is suspended or doesn't run. The
    /// first one of a draining server schedules its exit.
    pub(super) fn heartbeat(&mut self, index: usize, name: &str) {
        let now = self.instant();
        let host = &mut self.hosts[index];
        let Some(server) = host.server.as_mut().filter(|server| server.name == name) else {
            return;
        };
        let mut out = Vec::new();
        let frozen = host.faults.is_frozen(self.now);
        if let Some(state_machine) = host.state_machine.as_mut().filter(|_| !frozen) {
            let heartbeat = server.heartbeat(host.address);
            state_machine.heartbeat(heartbeat, now, &mut out);
            if server.draining && host.draining_since.is_none() {
                host.draining_since = Some(self.now);
                self.schedule_after(DRAIN_DURATION, Event::ServerExit(index, name.to_owned()));
            }
        }
        self.apply_agent_outputs(index, out);
        self.schedule_after(HEARTBEAT_INTERVAL, Event::Heartbeat(index, name.to_owned()));
    }

    /// Ends a server after its drain, and with it its agent unless another server follows.
    pub(super) fn server_exit(&mut self, index: usize, name: &str) {
        let now = self.instant();
        let host = &mut self.hosts[index];
        let Some(server) = host.server.take_if(|server| server.name == name) else {
            return;
        };
        let mut out = Vec::new();
        if let Some(state_machine) = &mut host.state_machine {
            state_machine.server_left(name, Some(server.started_ms), now, &mut out);
        }
        self.apply_agent_outputs(index, out);
        if std::mem::take(&mut self.hosts[index].replaced) {
            self.schedule_after(Duration::ZERO, Event::StartSilentServer(index));
            return;
        }
        self.hosts[index].state_machine = None;
    }

    pub(super) fn packet_to_server(&mut self, index: usize, token: u32, packet: Packet) {
        self.check_arrival(index, &packet);
        let Some(server) = &mut self.hosts[index].server else {
            return;
        };
        let effects = server.receive(packet);
        self.apply_server_effects(index, Some(token), effects);
    }

    /// Checks a client's packet that reaches a server against the guarantees.
    pub(super) fn check_arrival(&mut self, index: usize, packet: &Packet) {
        let flow = packet.flow();
        let host = &self.hosts[index];
        let Some(server) = &host.server else {
            return;
        };
        let opening = packet.action == Action::Open;
        if opening {
            self.report.openings += 1;
        }
        let arrival = Arrival {
            flow,
            opening,
            server: &server.name,
            service: &server.service,
            holds_flow: server.holds(&flow),
            // The guarantee doesn't cover balancers with recent faults. The balancer that forwarded
            // this packet isn't known, so all of them must be stable.
            held_elsewhere: self.links_stable()
                && self
                    .balancers
                    .iter()
                    .all(|balancer| balancer.faults.is_stable(self.now))
                // Also while the agent of that server is restarted in order.
                && self.hosts.iter().any(|other| {
                    other.faults.is_stable(self.now)
                        && other.server.as_ref().is_some_and(|s| s.holds(&flow))
                }),
            host_stable: host.faults.is_stable(self.now),
            draining_since: host.draining_since,
        };
        if let Some(violation) = self.checker.packet_arrived(&arrival, self.now) {
            self.report.record_violation(self.now, &violation);
        }
    }

    pub(super) fn apply_server_effects(
        &mut self,
        index: usize,
        token: Option<u32>,
        effects: Vec<Effect>,
    ) {
        let name = self.hosts[index].server.as_ref().map(|s| s.name.clone());
        for effect in effects {
            match effect {
                Effect::Send(packet) => {
                    self.schedule_after(LOCAL_DELAY, Event::PacketFromServer(index, None, packet));
                }
                Effect::Return(packet) => {
                    self.schedule_after(LOCAL_DELAY, Event::PacketFromServer(index, token, packet));
                }
                Effect::Process(packet, time) => {
                    let time = self.processing_time(index, time);
                    let id = packet.request.unwrap_or_default();
                    let at = format!("{} in {}", name.as_deref().unwrap_or("-"), packet.flow());
                    let may_repeat = client_index(packet.client)
                        .is_some_and(|client| self.clients[client].retries_sent_requests());
                    if let Some(violation) = self.checker.request_started(id, may_repeat, at) {
                        self.report.record_violation(self.now, &violation);
                    }
                    let Some(time) = time else {
                        continue;
                    };
                    let name = name.clone().unwrap_or_default();
                    self.schedule_after(time, Event::RequestCompleted(index, name, packet));
                }
            }
        }
    }

    /// The time that the server takes for a request under its current faults; `None` if it never
    /// answers.
    fn processing_time(&mut self, index: usize, time: Duration) -> Option<Duration> {
        let host = &self.hosts[index];
        if host.grey_until.is_some_and(|until| self.now < until)
            && self.random.random_bool(GREY_UNANSWERED_SHARE)
        {
            return None;
        }
        let slowdown = host.slowdown.filter(|(until, _)| self.now < *until);
        Some(time * slowdown.map_or(1, |(_, factor)| factor))
    }

    pub(super) fn request_completed(&mut self, index: usize, name: &str, packet: &Packet) {
        let server = self.hosts[index].server.as_mut();
        let Some(server) = server.filter(|server| server.name == name) else {
            return;
        };
        let effects = server.complete_request(packet);
        self.apply_server_effects(index, None, effects);
    }

    pub(super) fn packet_from_server(&mut self, index: usize, token: Option<u32>, packet: Packet) {
        let now = self.instant();
        let mut out = Vec::new();
        if let Some(state_machine) = &mut self.hosts[index].state_machine {
            let (segment, bytes) = (packet.segment(), packet.encode());
            match token {
                Some(token) => state_machine.packet_returned(segment, token, bytes, &mut out),
                None => state_machine.server_packet(segment, bytes, now, &mut out),
            }
        }
        self.apply_agent_outputs(index, out);
    }
}

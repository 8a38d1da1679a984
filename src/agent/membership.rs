//! The agent's own record and its lease, and the members and configuration in heartbeat answers.

use std::net::SocketAddr;
use std::time::Instant;

use crate::admission::Load;
use crate::config;
use crate::flow::{Evidence, Origin, Owner, Phase};
use crate::id::{Connections, Generation, Incarnation, Slots};
use crate::member::{Record, Role, State};
use crate::packet::Protocol;
use crate::server::{self, Announcement};
use crate::view::View;
use crate::wire::{control, Body};

use super::{send, Agent, CollectorSync, Output, Server};

impl Agent {
    /// Handles an announcement, a load report or the end of the local server.
    pub fn handle_server_event(
        &mut self,
        event: server::Event,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        match event {
            server::Event::Announced(announcement) => self.handle_announcement(announcement, now),
            server::Event::Reported(report) => self.admission.record_report(report, now),
            server::Event::Gone => self.server_gone(now),
        }
        self.send_heartbeat(now, out);
    }

    fn handle_announcement(&mut self, announcement: Announcement, now: Instant) {
        if self.view.is_none() || self.tag != announcement.service.tag() {
            self.tag = announcement.service.tag();
            self.view = Some(View::new(announcement.service.clone()));
            self.service = None;
            self.generation = Generation(0);
            self.collector_sync = None;
            self.return_to_joining();
        }
        let previous = self.server.take();
        let same = previous
            .as_ref()
            .filter(|server| server.announcement.incarnation == announcement.incarnation);
        let started = same.map_or(now, |server| server.started);
        let changed = previous.as_ref().map(|server| &server.announcement) != Some(&announcement);
        if same.is_none() {
            self.begin_server_run(announcement.incarnation);
        }
        self.server = Some(Server {
            announcement,
            last_announced: now,
            started,
        });
        if changed {
            self.publish_record(now);
        }
    }

    /// Counts a new run of the server and resets its load. A server that only stopped announcing
    /// itself for a while keeps its flows.
    fn begin_server_run(&mut self, incarnation: Incarnation) {
        if self.last_server != Some(incarnation) {
            self.last_server = Some(incarnation);
            self.epoch += 1;
            self.load = Load::default();
            self.admission.clear_report();
        }
    }

    pub(super) fn server_gone(&mut self, now: Instant) {
        if self.server.take().is_some() {
            self.return_to_joining();
            self.lease_lapsed = Some(now);
            self.mark_opening_uncertain();
            self.publish_record(now);
        }
    }

    /// Stops deciding until a new recovery has ended. Held packets are dropped.
    fn return_to_joining(&mut self) {
        self.joined = false;
        self.recovery = None;
        self.pending.clear();
    }

    /// State to publish in the agent's own record.
    pub(super) fn state(&self) -> State {
        match &self.server {
            None => State::Down,
            Some(_) if !self.joined => State::Joining,
            Some(server) if server.announcement.state == server::State::Draining => State::Draining,
            Some(_) if self.draining || self.is_drained_by_config() => State::Draining,
            Some(_) => State::Active,
        }
    }

    /// Whether the configuration drains this member or its host.
    fn is_drained_by_config(&self) -> bool {
        let drains = self.service.as_ref().map(|service| &service.drain);
        drains.is_some_and(|drains| {
            let ip = self.settings.control.ip();
            drains.servers.contains(&self.settings.member) || drains.hosts.contains(&ip)
        })
    }

    pub(super) fn own_slots(&self) -> Slots {
        let server = self.server.as_ref();
        server.map_or(Slots(0), |server| server.announcement.slots)
    }

    /// The agent's own record, as it is to be published now.
    pub(super) fn record(&self) -> Record {
        let announcement = self.server.as_ref().map(|server| &server.announcement);
        Record {
            member: self.settings.member.clone(),
            role: Role::Agent,
            incarnation: self.settings.incarnation,
            sequence: self.sequence,
            state: self.state(),
            domain: self.settings.domain.clone(),
            control: self.settings.control,
            data: self.settings.data,
            service: self.view.as_ref().map(|view| view.service().clone()),
            slots: self.own_slots(),
            connections: announcement.map_or(Connections(0), |server| server.connections),
            generation: self.generation,
            open_flows: self.open_flows,
            sole_server: self.sole_server,
        }
    }

    /// Publishes a change of the own record: increments its sequence number, updates the own view
    /// and makes a heartbeat due.
    pub(super) fn publish_record(&mut self, now: Instant) {
        self.sequence.0 += 1;
        self.sole_server = self.server_if_sole(now);
        let record = self.record();
        if let Some(view) = &mut self.view {
            view.merge(record, now);
        }
        self.heartbeat.schedule_now(now);
    }

    /// Refutes a rumour that this member is down, by a newer record to its sender and the
    /// collector.
    pub(super) fn handle_rumour(
        &mut self,
        from: SocketAddr,
        rumour: &control::Rumour,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let sequence = self.sequence;
        let records = rumour.records.iter();
        for record in records.filter_map(|record| Record::try_from(record).ok()) {
            if self.is_own(&record.member) {
                self.merge_record(record, now);
            }
        }
        if self.sequence == sequence {
            return;
        }
        let answer = control::Rumour {
            records: vec![(&self.record()).into()],
            offer: None,
        };
        send(from, Body::Rumour(answer), out);
        self.send_heartbeat(now, out);
    }

    pub(super) fn handle_heartbeat_ack(
        &mut self,
        from: SocketAddr,
        ack: control::HeartbeatAck,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let Some(sent) = self.heartbeat.on_ack(ack.id) else {
            return;
        };
        let continues_sync = match self.collector_sync {
            Some(synced) if synced.collector == from => synced.collector_run == ack.collector,
            _ => true,
        };
        self.restarted |= ack.former_incarnation > 0;
        if ack.former_server > 0 {
            self.former_server = Some(Incarnation(ack.former_server));
        }
        for record in &ack.members {
            if let Ok(record) = Record::try_from(record) {
                self.merge_record(record, now);
            }
        }
        self.adopt_config(&ack, now);
        let balancers = ack.balancers.iter().filter_map(|to| to.try_into().ok());
        self.heartbeat.set_collectors(balancers.collect());
        self.collector_sync = continues_sync.then_some(CollectorSync {
            collector: from,
            collector_run: ack.collector,
            version: ack.members_version,
        });
        let current = continues_sync && ack.complete;
        if !current {
            self.heartbeat.schedule_now(now);
        }
        // A lapsed lease is renewed only once every missed change has been received.
        if current || self.heartbeat.is_leased(now) {
            self.renew_lease(sent, now);
        }
        if current {
            self.handle_sync_complete(now, out);
        }
        self.send_heartbeat(now, out);
    }

    fn renew_lease(&mut self, sent: Instant, now: Instant) {
        let renewal = self.heartbeat.renew(sent, now);
        if !renewal.lapsed {
            return;
        }
        self.lease_lapsed = Some(now);
        self.mark_opening_uncertain();
        self.pending.clear();
        if let Some(view) = &mut self.view {
            view.mark_changed(&self.settings.member, now);
        }
        self.publish_record(now);
    }

    /// Marks TCP flows that are not established yet as uncertain, because this member may have been
    /// declared down and another one may have accepted copies of their SYNs. Flows that were passed
    /// on are no longer forwarded as assigned, so the receiver has to claim them.
    fn mark_opening_uncertain(&mut self) {
        for (flow, entry) in self.flows.iter_mut() {
            if flow.protocol == Protocol::Udp || entry.phase != Phase::Opening {
                continue;
            }
            match &mut entry.owner {
                Owner::Local { .. } => entry.owner = Owner::Recovered(Evidence::Delivered),
                Owner::Ceded { origin, .. } if *origin == Origin::Assigned => {
                    *origin = Origin::Learned;
                }
                _ => {}
            }
        }
    }

    fn merge_record(&mut self, record: Record, now: Instant) {
        if !self.is_own(&record.member) {
            if record.state.is_arbiter() {
                self.unresponsive.remove(&record.member);
            }
            if let Some(view) = &mut self.view {
                view.merge(record, now);
            }
            return;
        }
        let own = self.settings.incarnation;
        self.restarted |= record.incarnation < own;
        self.superseded |= record.incarnation > own;
        let declared_down = record.state == State::Down && self.state() != State::Down;
        if record.incarnation == own && declared_down && record.sequence >= self.sequence {
            self.sequence = record.sequence;
            self.publish_record(now);
        }
    }

    fn adopt_config(&mut self, ack: &control::HeartbeatAck, now: Instant) {
        let generation = Generation(ack.generation);
        if ack.service.is_empty() || (self.service.is_some() && generation <= self.generation) {
            return;
        }
        // `null` means that the service is no longer configured.
        let Ok(service) = serde_json::from_slice::<Option<config::Service>>(&ack.service) else {
            return;
        };
        let other = |service: &config::Service| service.name.tag() != self.tag;
        if service.as_ref().is_some_and(other) {
            return;
        }
        let before = self.state();
        // Established flows of a removed service still need its buckets and timeouts.
        self.service = service.or_else(|| {
            let addresses = Vec::new();
            self.service
                .take()
                .map(|last| config::Service { addresses, ..last })
        });
        self.generation = generation;
        self.config_adopted = Some(now);
        if self.state() != before {
            self.publish_record(now);
        }
    }

    /// Called when every change known to the collector has been merged. Starts the recovery once
    /// there are a server and a configuration.
    fn handle_sync_complete(&mut self, now: Instant, out: &mut Vec<Output>) {
        if let Some(view) = &mut self.view {
            view.set_complete();
        }
        let ready = self.server.is_some() && self.service.is_some();
        if ready && !self.joined && self.recovery.is_none() {
            self.start_recovery(now, out);
        }
    }

    /// Sends a heartbeat if one is due.
    pub(super) fn send_heartbeat(&mut self, now: Instant, out: &mut Vec<Output>) {
        if self.view.is_none() {
            return;
        }
        let Some(due) = self.heartbeat.due(now) else {
            return;
        };
        if due.collector_changed {
            self.publish_record(now);
            self.heartbeat.defer(now);
        }
        let synced = self
            .collector_sync
            .filter(|synced| synced.collector == due.to);
        let heartbeat = control::Heartbeat {
            id: due.id,
            record: Some((&self.record()).into()),
            members_version: synced.map_or(0, |synced| synced.version),
            generation: self.generation.0,
        };
        send(due.to, Body::Heartbeat(heartbeat), out);
    }

    /// Publishes how many flows a draining agent still owns, rounded up to a power of two. The
    /// count is taken after the drain began, so a count of 0 is final.
    pub(super) fn report_flows(&mut self, now: Instant) {
        let open = match self.load.open {
            0 => 0,
            open => open.next_power_of_two(),
        };
        let open = (self.state() == State::Draining).then_some(open);
        if open != self.open_flows {
            self.open_flows = open;
            self.publish_record(now);
        }
    }
}

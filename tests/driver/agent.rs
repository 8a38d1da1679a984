//! The part of an agent that keeps its lease.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use flamingofall::config::Service;
use flamingofall::member::{LocalRecord, Record};
use flamingofall::output::Output;
use flamingofall::wire::{control, Body, Message};

const AVOID: Duration = Duration::from_secs(30);

/// The heartbeats of an agent.
pub struct Agent {
    pub own: LocalRecord,
    pub collectors: Vec<SocketAddr>,
    current: usize,
    silent: BTreeMap<SocketAddr, Instant>,
    pub refutes: bool,
    pub generation: u64,
    pub service: Option<Service>,
    pub members: BTreeSet<String>,
    pub version: u64,
    sent: Option<Instant>,
    next: Instant,
    id: u64,
}

impl Agent {
    pub fn new(record: Record, collectors: Vec<SocketAddr>, now: Instant) -> Self {
        Self {
            own: LocalRecord::new(record),
            collectors,
            current: 0,
            silent: BTreeMap::new(),
            refutes: true,
            generation: 0,
            service: None,
            members: BTreeSet::new(),
            version: 0,
            sent: None,
            next: now,
            id: 0,
        }
    }

    pub fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        let unanswered = self
            .sent
            .is_some_and(|sent| now - sent >= Duration::from_secs(1));
        if unanswered {
            let silent = self.collectors[self.current];
            self.silent.insert(silent, now);
            self.current = (self.current + 1) % self.collectors.len();
            self.own.bump_sequence();
            self.version = 0;
        }
        if unanswered || now >= self.next {
            self.next = now + Duration::from_secs(1);
            self.sent = Some(now);
            self.id += 1;
            let heartbeat = control::Heartbeat {
                id: self.id,
                record: Some(self.own.record().into()),
                members_version: self.version,
                generation: self.generation,
            };
            out.push(Output::send(
                self.collectors[self.current],
                Body::Heartbeat(heartbeat),
            ));
        }
    }

    pub fn message(&mut self, message: Message, now: Instant) {
        let Some(Body::HeartbeatAck(ack)) = message.body else {
            return;
        };
        if ack.id != self.id {
            return;
        }
        self.sent = None;
        if !ack.service.is_empty() {
            self.service = serde_json::from_slice(&ack.service).unwrap();
            self.generation = self.generation.max(ack.generation);
        }
        self.version = ack.members_version;
        let listed: Vec<SocketAddr> = ack
            .balancers
            .iter()
            .map(|a| a.try_into().unwrap())
            .collect();
        if !listed.is_empty() {
            // The first one, unless it did not answer lately.
            let lately = |to| {
                self.silent
                    .get(to)
                    .is_some_and(|since| now - *since < AVOID)
            };
            self.current = listed.iter().position(|to| !lately(to)).unwrap_or(0);
            self.collectors = listed;
        }
        if !ack.complete {
            self.next -= Duration::from_secs(1);
        }
        for member in &ack.members {
            self.members.insert(member.member.clone());
            let record = Record::try_from(member).unwrap();
            if self.refutes && record.member == self.own.record().member {
                self.own.refute(&record);
            }
        }
    }
}

//! Simplified agent that announces its record in heartbeats and processes their acknowledgements.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use flamingofall::config::Service;
use flamingofall::member::{LocalRecord, Record};
use flamingofall::output::Output;
use flamingofall::wire::{control, Body, Message};

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time without an acknowledgement after which the agent sends a heartbeat to the next collector.
const ACK_TIMEOUT: Duration = Duration::from_secs(1);
/// Time for which an agent prefers the other listed collectors to one that didn't answer.
const COLLECTOR_AVOIDANCE: Duration = Duration::from_secs(30);

/// An agent that only sends heartbeats, without flows and servers.
pub struct SimulatedAgent {
    pub own: LocalRecord,
    pub collectors: Vec<SocketAddr>,
    current_collector: usize,
    /// Time at which a heartbeat to each collector last timed out.
    last_timeouts: BTreeMap<SocketAddr, Instant>,
    /// Whether the agent refutes records that declare it down.
    pub refutes: bool,
    /// Highest generation that arrived with a service configuration.
    pub generation: u64,
    pub service: Option<Service>,
    /// Names of all members of the service that were ever received.
    pub members: BTreeSet<String>,
    /// Version of the member list up to which the agent has received changes. 0 requests all
    /// members.
    pub members_version: u64,
    /// Send time of the last heartbeat while it is unanswered.
    heartbeat_sent_at: Option<Instant>,
    next_heartbeat_at: Instant,
    /// Id of the last heartbeat, which the acknowledgement must contain.
    heartbeat_id: u64,
}

impl SimulatedAgent {
    pub fn new(record: Record, collectors: Vec<SocketAddr>, now: Instant) -> Self {
        Self {
            own: LocalRecord::new(record),
            collectors,
            current_collector: 0,
            last_timeouts: BTreeMap::new(),
            refutes: true,
            generation: 0,
            service: None,
            members: BTreeSet::new(),
            members_version: 0,
            heartbeat_sent_at: None,
            next_heartbeat_at: now,
            heartbeat_id: 0,
        }
    }

    /// Sends a heartbeat if one is due or if the last one timed out.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        let unanswered = self
            .heartbeat_sent_at
            .is_some_and(|sent_at| now - sent_at >= ACK_TIMEOUT);
        if unanswered {
            let collector = self.collectors[self.current_collector];
            self.last_timeouts.insert(collector, now);
            self.current_collector = (self.current_collector + 1) % self.collectors.len();
            self.own.bump_sequence();
            self.members_version = 0;
        }
        if unanswered || now >= self.next_heartbeat_at {
            self.next_heartbeat_at = now + HEARTBEAT_INTERVAL;
            self.heartbeat_sent_at = Some(now);
            self.heartbeat_id += 1;
            let heartbeat = control::Heartbeat {
                id: self.heartbeat_id,
                record: Some(self.own.record().into()),
                members_version: self.members_version,
                generation: self.generation,
            };
            out.push(Output::send(
                self.collectors[self.current_collector],
                Body::Heartbeat(heartbeat),
            ));
        }
    }

    /// Processes the acknowledgement of the last heartbeat. Ignores all other messages.
    pub fn handle_message(&mut self, message: Message, now: Instant) {
        let Some(Body::HeartbeatAck(ack)) = message.body else {
            return;
        };
        if ack.id != self.heartbeat_id {
            return;
        }
        self.heartbeat_sent_at = None;
        if !ack.service.is_empty() {
            self.service = serde_json::from_slice(&ack.service).unwrap();
            self.generation = self.generation.max(ack.generation);
        }
        self.members_version = ack.members_version;
        let balancers: Vec<SocketAddr> = ack
            .balancers
            .iter()
            .map(|a| a.try_into().unwrap())
            .collect();
        if !balancers.is_empty() {
            // The list is in order of preference.
            let recently_unresponsive = |to| {
                self.last_timeouts
                    .get(to)
                    .is_some_and(|timed_out_at| now - *timed_out_at < COLLECTOR_AVOIDANCE)
            };
            self.current_collector = balancers
                .iter()
                .position(|to| !recently_unresponsive(to))
                .unwrap_or(0);
            self.collectors = balancers;
        }
        if !ack.complete {
            // Makes the next heartbeat due at once, because more members are to be fetched.
            self.next_heartbeat_at -= HEARTBEAT_INTERVAL;
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

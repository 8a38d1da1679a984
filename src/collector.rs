//! Heartbeats, leases and failure detection.
//!
//! The collector of a member receives its heartbeats and declares it down when they stop. An agent
//! has one: the active balancer of its failure domain that ranks highest for it. A balancer has
//! two, one in its own domain and one in another, so that the loss of a whole domain is detected.
//! The members of a domain without an active balancer are assigned to a fallback domain.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use prost::Message as _;

use crate::fleet::View;
use crate::hash::hash_bytes;
use crate::id::{Domain, Generation, Member, Service, Slots};
use crate::member::{Entry, Record, Role, State, Table, Tag};
use crate::output::{Event, Output};
use crate::rank::score;
use crate::wire::{control, Body, MESSAGE_MAX_BYTES};

/// Interval between the heartbeats that a balancer sends.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a balancer's heartbeat counts as unanswered, and its collector as unresponsive.
pub const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without a sign of life after which a member is declared down.
pub const DOWN_TIMEOUT: Duration = Duration::from_secs(3);
/// Time within which the members of a collector that went down must reach another one.
///
/// They detect the missing answers within 2 s, before their collector is declared down itself.
pub const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum time before a member that refuted a down declaration is declared down again, unless it
/// has sent a heartbeat to this balancer since. Without it, two sides of a partition that share the
/// store would declare and refute each other's members without end.
pub const REDECLARE_INTERVAL: Duration = Duration::from_secs(30);
/// A longer gap between two ticks is taken for a pause of this process.
pub const PAUSE_MIN: Duration = Duration::from_secs(1);

/// Field tag and length prefix of a record in an answer.
const RECORD_HEADER_BYTES: usize = 3;
/// Upper bound of the encoded version that follows the records.
const VERSION_MAX_BYTES: usize = 16;
/// Maximum size of a service's JSON in an answer: it shares the frame with the fixed fields and the
/// agent's own record, whose names can be 63 bytes each.
pub const SERVICE_MAX_BYTES: usize = MESSAGE_MAX_BYTES - 360;

/// Time after a change of the balancers in which every answer to an agent lists its collectors.
const COLLECTORS_AFTER_CHANGE: Duration = Duration::from_secs(5);
/// At other times, one answer in this many lists them.
const COLLECTORS_INTERVAL_HEARTBEATS: u64 = 8;
/// Maximum number of collectors in an answer.
const COLLECTORS_MAX: usize = 5;
const RANK_BUCKET: crate::id::Bucket = crate::id::Bucket(0);

/// What this balancer knows about the liveness of a member.
#[derive(Clone, Debug)]
struct Liveness {
    last_alive: Instant,
    // When this balancer last received a heartbeat of the member itself.
    last_heartbeat: Option<Instant>,
    declared_down: Option<Instant>,
    // The configuration generation that the member reported to this balancer.
    generation: Generation,
    // Whether this balancer is a collector of the member.
    responsible: bool,
}

/// An unanswered heartbeat of this balancer.
#[derive(Clone, Debug)]
struct Pending {
    collector: Tag,
    sent: Instant,
}

/// The failure detector of a balancer, which also sends the balancer's own heartbeats.
#[derive(Clone, Debug)]
pub struct Collector {
    run_id: u64,
    liveness: BTreeMap<Tag, Liveness>,
    balancers_version: Option<u64>,
    balancers_changed: Instant,
    assigned_version: u64,
    pending: BTreeMap<u64, Pending>,
    unresponsive: BTreeMap<Tag, Instant>,
    next_id: u64,
    next_heartbeat: Instant,
    last_tick: Instant,
}

impl Collector {
    /// Creates a collector without members. `run` identifies this run of the collector in answers,
    /// so that members can tell them from those of other collectors and other runs.
    pub fn new(run_id: u64, now: Instant) -> Self {
        Self {
            run_id,
            liveness: BTreeMap::new(),
            balancers_version: None,
            balancers_changed: now,
            assigned_version: 0,
            pending: BTreeMap::new(),
            unresponsive: BTreeMap::new(),
            next_id: 0,
            next_heartbeat: now,
            last_tick: now,
        }
    }

    /// Returns the number of members that this balancer is a collector of.
    pub fn members(&self) -> usize {
        self.liveness
            .values()
            .filter(|liveness| liveness.responsible)
            .count()
    }

    /// Returns the configuration generation in a member's last heartbeat to this balancer.
    pub fn generation(&self, member: &Member) -> Option<Generation> {
        let liveness = self.liveness.get(&Tag::of(member))?;
        liveness.last_heartbeat.map(|_| liveness.generation)
    }

    /// Handles a heartbeat: merges its record, restarts the member's timeout and answers.
    pub fn handle_heartbeat(
        &mut self,
        view: &mut View,
        from: SocketAddr,
        heartbeat: &control::Heartbeat,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let record = heartbeat.record.as_ref().map(Record::try_from);
        let Some(Ok(record)) = record else {
            out.push(Output::Event(Event::Invalid {
                message: "heartbeat",
            }));
            return;
        };
        let tag = Tag::of(&record.member);
        view.table.merge(record.clone(), now);
        let outdated = |known: &Entry| {
            known.record.member != record.member || known.record.incarnation > record.incarnation
        };
        if view.table.by_tag(tag).is_some_and(outdated) {
            // A later run of the member has replaced this one, which must not hold a lease.
            return;
        }
        if record.state != State::Down {
            self.record_heartbeat(view, tag, &record, heartbeat.generation, now, out);
        }
        self.send_answer(view, from, heartbeat, &record, now, out);
    }

    fn record_heartbeat(
        &mut self,
        view: &View,
        tag: Tag,
        record: &Record,
        generation: u64,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let liveness = self.liveness.entry(tag).or_insert_with(|| Liveness {
            last_alive: now,
            last_heartbeat: None,
            declared_down: None,
            generation: Generation(0),
            responsible: is_collector(&view.table, &view.own_name(), record),
        });
        liveness.generation = Generation(generation);
        liveness.last_alive = now;
        liveness.last_heartbeat = Some(now);
        if liveness.responsible {
            return;
        }
        // The member can't reach its collectors: report to them that it is alive.
        let version = wire_version(tag, record);
        for collector in collectors(&view.table, record) {
            let heard = control::Heard {
                versions: vec![version],
            };
            out.push(Output::send(collector.record.control, Body::Heard(heard)));
        }
    }

    /// Handles a report that another balancer receives heartbeats of members of this collector.
    pub fn handle_heard(&mut self, view: &View, heard: &control::Heard, now: Instant) {
        for version in &heard.versions {
            let tag = Tag(version.member);
            let current = view
                .table
                .by_tag(tag)
                .is_some_and(|entry| entry.record.incarnation.0 <= version.incarnation);
            if let Some(liveness) = self.liveness.get_mut(&tag).filter(|_| current) {
                liveness.last_alive = now;
            }
        }
    }

    /// Handles the answer to one of this balancer's heartbeats.
    pub fn handle_ack(&mut self, ack: &control::HeartbeatAck) {
        if let Some(pending) = self.pending.remove(&ack.id) {
            self.unresponsive.remove(&pending.collector);
        }
    }

    /// Sends this balancer's heartbeats and declares silent members down.
    pub fn tick(&mut self, view: &mut View, now: Instant, out: &mut Vec<Output>) {
        if now.duration_since(self.last_tick) > PAUSE_MIN {
            self.reset_timeouts(now);
        }
        self.last_tick = now;
        self.update_assignments(view, now);
        self.declare_silent_members(view, now, out);
        self.expire_pending(now);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now + HEARTBEAT_INTERVAL;
            self.send_heartbeats(view, now, out);
        }
    }

    /// Restarts all timeouts after a pause of this process: heartbeats that were missed during the
    /// pause say nothing about the members.
    fn reset_timeouts(&mut self, now: Instant) {
        for liveness in self.liveness.values_mut() {
            liveness.last_alive = now;
        }
        self.pending.clear();
        self.unresponsive.clear();
    }

    /// Updates which members this balancer is a collector of.
    fn update_assignments(&mut self, view: &View, now: Instant) {
        let table = &view.table;
        let mut takeover = false;
        let mut changed = Vec::new();
        for entry in table.since(self.assigned_version) {
            takeover |= entry.record.role == Role::Balancer && entry.record.state == State::Down;
            changed.push(entry.tag);
        }
        self.assigned_version = table.version();
        if self.balancers_version != Some(table.balancers_version()) {
            self.balancers_version = Some(table.balancers_version());
            self.balancers_changed = now;
            changed = reachable_domains(table, view)
                .iter()
                .flat_map(|domain| table.domain(domain))
                .map(|entry| entry.tag)
                .collect();
            let assigned: BTreeSet<Tag> = changed.iter().copied().collect();
            for (tag, liveness) in &mut self.liveness {
                liveness.responsible &= assigned.contains(tag);
            }
        }
        for tag in changed {
            if let Some(entry) = table.by_tag(tag) {
                self.update_assignment(view, tag, entry, takeover, now);
            }
        }
    }

    fn update_assignment(
        &mut self,
        view: &View,
        tag: Tag,
        entry: &Entry,
        takeover: bool,
        now: Instant,
    ) {
        let me = view.own_name();
        let responsible = entry.record.member != me
            && entry.record.state != State::Down
            && is_collector(&view.table, &me, &entry.record);
        match self.liveness.get_mut(&tag) {
            Some(liveness) => {
                if responsible && !liveness.responsible {
                    liveness.last_alive = liveness
                        .last_alive
                        .max(last_alive_at_takeover(takeover, now));
                }
                liveness.responsible = responsible;
            }
            None if responsible => {
                let liveness = Liveness {
                    last_alive: last_alive_at_takeover(takeover, now).max(entry.merged_at),
                    last_heartbeat: None,
                    declared_down: None,
                    generation: Generation(0),
                    responsible,
                };
                self.liveness.insert(tag, liveness);
            }
            None => {}
        }
    }

    fn declare_silent_members(&mut self, view: &mut View, now: Instant, out: &mut Vec<Output>) {
        let silent = |liveness: &Liveness| now.duration_since(liveness.last_alive) >= DOWN_TIMEOUT;
        let due: Vec<Tag> = self
            .liveness
            .iter()
            .filter(|(_, liveness)| silent(liveness))
            .map(|(tag, _)| *tag)
            .collect();
        for tag in due {
            let keep = self.declare_member(view, tag, now, out);
            if !keep {
                self.liveness.remove(&tag);
            }
        }
    }

    /// Declares a member down whose timeout has expired. Returns whether to keep its liveness
    /// state.
    fn declare_member(
        &mut self,
        view: &mut View,
        tag: Tag,
        now: Instant,
        out: &mut Vec<Output>,
    ) -> bool {
        let (Some(liveness), Some(entry)) = (self.liveness.get_mut(&tag), view.table.by_tag(tag))
        else {
            return false;
        };
        if !liveness.responsible && liveness.declared_down.is_none() {
            return false;
        }
        if entry.record.state == State::Down {
            // Kept to recognise a repeated declaration.
            return liveness
                .declared_down
                .is_some_and(|declared| now.duration_since(declared) < REDECLARE_INTERVAL);
        }
        if entry.merged_at > liveness.last_alive {
            // A record that arrived through other balancers is a sign of life as well.
            liveness.last_alive = entry.merged_at;
            return true;
        }
        let repeated = liveness.declared_down.is_some_and(|declared| {
            now.duration_since(declared) < REDECLARE_INTERVAL
                && liveness
                    .last_heartbeat
                    .is_none_or(|direct| direct < declared)
        });
        if repeated || !liveness.responsible {
            return true;
        }
        liveness.declared_down = Some(now);
        let record = Record {
            state: State::Down,
            ..entry.record.clone()
        };
        out.push(Output::Event(Event::Down {
            member: record.member.clone(),
            incarnation: record.incarnation,
            sequence: record.sequence,
        }));
        // A live member that is notified directly refutes at once. Rumours go only to members that
        // are up, so two balancers that declared each other down would not learn of it.
        let rumour = control::Rumour {
            records: vec![(&record).into()],
            offer: None,
        };
        out.push(Output::send(record.control, Body::Rumour(rumour)));
        view.table.merge(record, now);
        true
    }

    fn send_answer(
        &mut self,
        view: &View,
        to: SocketAddr,
        heartbeat: &control::Heartbeat,
        record: &Record,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let mut ack = control::HeartbeatAck {
            id: heartbeat.id,
            generation: view.catalog.generation().0,
            collector: self.run_id,
            ..Default::default()
        };
        // A member must receive its down record to be able to refute it.
        let known = view.table.get(&record.member);
        if let Some(former) = known.and_then(|known| known.previous_run) {
            ack.former_incarnation = former.incarnation.0;
            ack.former_server = former.server.map_or(0, |server| server.0);
        }
        let newer = known.filter(|known| known.record.supersedes(record));
        ack.members
            .extend(newer.map(|known| control::Record::from(&known.record)));
        let Some(service) = &record.service else {
            ack.complete = true;
            out.push(Output::send(to, Body::HeartbeatAck(ack)));
            return;
        };
        if heartbeat.generation < ack.generation {
            let json = service_json(view, service, record);
            if json.len() <= SERVICE_MAX_BYTES {
                ack.service = json;
            } else {
                out.push(Output::Event(Event::TooLarge {
                    service: service.clone(),
                    bytes: json.len(),
                }));
            }
        }
        if self.lists_collectors(view, heartbeat, record, now) {
            add_collectors(&mut ack, next_collectors(&view.table, record));
        }
        let version = view.table.version();
        // A higher version was assigned by another run.
        let since = match heartbeat.members_version <= version {
            true => heartbeat.members_version,
            false => 0,
        };
        ack.members_version = since;
        let table = &view.table;
        let agents = table.agents_since(service, since);
        let departed = table.departed_since(service, since);
        let mut changes: Vec<&Entry> = agents.chain(departed).collect();
        // After a truncated answer, the member continues at the version of its last record.
        changes.sort_by_key(|entry| entry.version);
        add_member_changes(&mut ack, changes.into_iter(), version);
        out.push(Output::send(to, Body::HeartbeatAck(ack)));
    }

    /// Returns whether an answer lists the collectors to try next. Most answers omit the list: it
    /// would be half of their size, and members keep the last one that they received.
    fn lists_collectors(
        &self,
        view: &View,
        heartbeat: &control::Heartbeat,
        record: &Record,
        now: Instant,
    ) -> bool {
        let misplaced = || !is_collector(&view.table, &view.own_name(), record);
        let changed = now.duration_since(self.balancers_changed) < COLLECTORS_AFTER_CHANGE;
        let regular = heartbeat.id.is_multiple_of(COLLECTORS_INTERVAL_HEARTBEATS)
            || heartbeat.members_version == 0;
        record.role == Role::Agent && (changed || regular || misplaced())
    }

    fn expire_pending(&mut self, now: Instant) {
        let unresponsive = &mut self.unresponsive;
        self.pending.retain(|_, pending| {
            let waiting = now.duration_since(pending.sent) < ANSWER_TIMEOUT;
            if !waiting {
                unresponsive.insert(pending.collector, now);
            }
            waiting
        });
        unresponsive.retain(|_, since| now.duration_since(*since) < DOWN_TIMEOUT);
    }

    fn send_heartbeats(&mut self, view: &View, now: Instant, out: &mut Vec<Output>) {
        let record = view.own.record();
        let me = view.own_name();
        let own = ranked(&view.table, &record.domain, record)
            .into_iter()
            .filter(|entry| entry.record.member != me);
        let fallback = fallback_domain(&view.table, &record.domain)
            .map(|domain| ranked(&view.table, &domain, record))
            .unwrap_or_default();
        let unresponsive = &self.unresponsive;
        let answering = |entry: &&Entry| !unresponsive.contains_key(&entry.tag);
        let targets = [
            own.clone().find(answering).or(own.clone().next()),
            fallback
                .iter()
                .copied()
                .find(answering)
                .or(fallback.first().copied()),
        ];
        for entry in targets.into_iter().flatten() {
            self.next_id += 1;
            let pending = Pending {
                collector: entry.tag,
                sent: now,
            };
            self.pending.insert(self.next_id, pending);
            let heartbeat = control::Heartbeat {
                id: self.next_id,
                record: Some(record.into()),
                members_version: 0,
                generation: view.catalog.generation().0,
            };
            out.push(Output::send(
                entry.record.control,
                Body::Heartbeat(heartbeat),
            ));
        }
    }
}

fn last_alive_at_takeover(takeover: bool, now: Instant) -> Instant {
    match takeover {
        true => now
            .checked_sub(DOWN_TIMEOUT - TAKEOVER_TIMEOUT)
            .unwrap_or(now),
        false => now,
    }
}

/// Returns the JSON of a service for one member, without the drains of other servers, which can be
/// many.
fn service_json(view: &View, name: &Service, record: &Record) -> Vec<u8> {
    let Some(mut service) = view.catalog.service(name) else {
        // No longer configured.
        return b"null".to_vec();
    };
    let (member, ip) = (&record.member, record.control.ip());
    service.drain.servers.retain(|server| server == member);
    service.drain.hosts.retain(|host| *host == ip);
    serde_json::to_vec(&service).expect("a service has only string keys")
}

/// Adds the collectors to try next if they fit into the frame.
fn add_collectors(ack: &mut control::HeartbeatAck, list: Vec<control::Address>) {
    let list_bytes: usize = list.iter().map(|address| address.encoded_len() + 2).sum();
    if ack.encoded_len() + list_bytes + VERSION_MAX_BYTES <= MESSAGE_MAX_BYTES {
        ack.balancers = list;
    }
}

/// Adds the member records that fit into the frame. The member requests the others at once.
fn add_member_changes<'a>(
    ack: &mut control::HeartbeatAck,
    changes: impl Iterator<Item = &'a Entry>,
    version: u64,
) {
    let mut bytes = ack.encoded_len() + VERSION_MAX_BYTES;
    for entry in changes {
        let record = control::Record::from(&entry.record);
        bytes += record.encoded_len() + RECORD_HEADER_BYTES;
        if bytes > MESSAGE_MAX_BYTES {
            return;
        }
        ack.members.push(record);
        ack.members_version = entry.version;
    }
    ack.members_version = version;
    ack.complete = true;
}

fn wire_version(tag: Tag, record: &Record) -> control::Version {
    control::Version {
        member: tag.0,
        incarnation: record.incarnation.0,
        sequence: record.sequence.0,
        state: control::State::from(record.state).into(),
    }
}

/// Returns the active balancers of `domain`, the one that ranks highest for a member first.
fn ranked<'a>(table: &'a Table, domain: &Domain, record: &Record) -> Vec<&'a Entry> {
    let member = Tag::of(&record.member);
    let mut balancers: Vec<&Entry> = table
        .balancers(domain)
        .filter(|entry| entry.record.is_active_balancer())
        .collect();
    balancers.sort_by_cached_key(|entry| std::cmp::Reverse(rank(member, entry)));
    balancers
}

fn rank(member: Tag, balancer: &Entry) -> (u64, Tag) {
    let score = score(balancer.tag.0 ^ member.0, Slots(1), RANK_BUCKET);
    (score, balancer.tag)
}

/// Returns whether a domain has an active balancer, which can act as a collector and a writer.
pub(crate) fn has_active_balancer(table: &Table, domain: &Domain) -> bool {
    table
        .balancers(domain)
        .any(|entry| entry.record.is_active_balancer())
}

/// Returns the domain whose balancers act for `domain` when it has no active balancer, and hold the
/// second collectors of its balancers.
pub(crate) fn fallback_domain(table: &Table, domain: &Domain) -> Option<Domain> {
    let hash = |domain: &Domain| hash_bytes(domain.as_str().as_bytes());
    let own = hash(domain);
    table
        .domains()
        .filter(|other| *other != domain && has_active_balancer(table, other))
        .max_by_key(|other| (score(own ^ hash(other), Slots(1), RANK_BUCKET), *other))
        .cloned()
}

fn highest_ranked<'a>(table: &'a Table, domain: &Domain, record: &Record) -> Option<&'a Entry> {
    let member = Tag::of(&record.member);
    table
        .balancers(domain)
        .filter(|entry| entry.record.is_active_balancer() && entry.record.member != record.member)
        .max_by_key(|entry| rank(member, entry))
}

/// Returns the collectors of a member.
fn collectors<'a>(table: &'a Table, record: &Record) -> Vec<&'a Entry> {
    let own = highest_ranked(table, &record.domain, record);
    if record.role == Role::Agent && own.is_some() {
        return own.into_iter().collect();
    }
    let fallback = fallback_domain(table, &record.domain)
        .and_then(|domain| highest_ranked(table, &domain, record));
    own.into_iter().chain(fallback).collect()
}

fn is_collector(table: &Table, me: &Member, record: &Record) -> bool {
    let collectors = collectors(table, record);
    collectors.iter().any(|entry| entry.record.member == *me)
}

/// Returns the domains whose members can have this balancer as a collector.
fn reachable_domains(table: &Table, view: &View) -> Vec<Domain> {
    let own = &view.own.record().domain;
    table
        .domains()
        .filter(|domain| *domain == own || fallback_domain(table, domain).as_ref() == Some(own))
        .cloned()
        .collect()
}

/// Returns the control addresses that a member can send heartbeats to, in order of preference.
fn next_collectors(table: &Table, record: &Record) -> Vec<control::Address> {
    let mut own = ranked(table, &record.domain, record);
    own.retain(|entry| entry.record.member != record.member);
    let fallback = fallback_domain(table, &record.domain)
        .map(|domain| ranked(table, &domain, record))
        .unwrap_or_default();
    // The first balancer of the fallback domain comes third: an agent whose domain has lost all
    // its balancers then reaches it before being declared down.
    let (near, far) = own.split_at(own.len().min(2));
    near.iter()
        .chain(fallback.first())
        .chain(far)
        .chain(fallback.get(1))
        .take(COLLECTORS_MAX)
        .map(|entry| entry.record.control.into())
        .collect()
}

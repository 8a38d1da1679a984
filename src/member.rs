//! Member records of balancers and agents, and the table that merges copies of them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::hash::hash_bytes;
use crate::id::{Connections, Domain, Generation, Incarnation, Member, Sequence, Service, Slots};

/// Kind of process that a member runs.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumString,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Receives packets from the network fabric and forwards them to agents.
    Balancer,
    /// Runs on the host of a backend server and decides about its flows.
    Agent,
}

/// Lifecycle state of a member.
///
/// Between two records with the same incarnation and sequence, the later state in this order wins a
/// merge.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Display,
    EnumString,
    Serialize,
    Deserialize,
)]
#[strum(serialize_all = "lowercase")]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// Announced, but not yet eligible as the arbiter of a bucket.
    Joining,
    /// Accepts new flows.
    Active,
    /// Accepts no new flows and serves its established ones to their end.
    Draining,
    /// Declared down by a balancer that stopped receiving its heartbeats, or stopped on request.
    Down,
}

impl State {
    /// Returns whether a member in this state can be the arbiter of a bucket.
    pub fn is_arbiter(self) -> bool {
        matches!(self, State::Active | State::Draining)
    }
}

/// Description of a member, which the member writes itself and the other processes replicate.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Record {
    /// Name of the member. Only the member itself increases `incarnation` and `sequence`.
    pub member: Member,
    /// Whether the member is a balancer or an agent.
    pub role: Role,
    /// Current run of the process.
    pub incarnation: Incarnation,
    /// Version of the record within the incarnation.
    pub sequence: Sequence,
    /// Lifecycle state.
    pub state: State,
    /// Failure domain of the member's host.
    pub domain: Domain,
    /// UDP address that receives control frames.
    pub control: SocketAddr,
    /// UDP address that receives encapsulated packets.
    pub data: SocketAddr,
    /// Service that the agent's backend server belongs to; `None` for balancers.
    pub service: Option<Service>,
    /// Number of requests that the backend server runs concurrently. It is the member's weight in
    /// the rankings.
    pub slots: Slots,
    /// Maximum number of connections that the backend server holds open.
    pub connections: Connections,
    /// Configuration that is in force at a balancer.
    pub generation: Generation,
    /// Number of flows that a draining agent owns, rounded up to a power of two, so that a drain
    /// changes the record a few times instead of once per flow.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub open_flows: Option<u32>,
    /// Run of the agent's backend server, if it is the only one that can have received datagrams
    /// whose copies may still arrive; `None` if an earlier run may have, or if that isn't known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sole_server: Option<Incarnation>,
}

/// Run of a member that ended before its current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PreviousRun {
    /// Incarnation of the ended run.
    pub incarnation: Incarnation,
    /// [`Record::sole_server`] of the last record of that run, if this process still has it.
    pub server: Option<Incarnation>,
}

impl Record {
    /// Returns the version of the record. The record with the higher version wins a merge.
    pub fn version(&self) -> (Incarnation, Sequence, State) {
        (self.incarnation, self.sequence, self.state)
    }

    /// Returns whether this record wins a merge with `other`.
    ///
    /// Records of equal version are compared by content. As each record has one writer, this only
    /// matters if two processes share a name; it makes the order total, so that all copies still
    /// converge.
    pub fn supersedes(&self, other: &Record) -> bool {
        (self.version(), self) > (other.version(), other)
    }

    /// Returns whether the member is a balancer that can act as a collector or a writer: one that
    /// has a view and isn't leaving.
    pub fn is_active_balancer(&self) -> bool {
        self.role == Role::Balancer && self.state == State::Active
    }
}

/// Record of the local process. All changes go through this type, which increases the sequence with
/// each of them.
#[derive(Clone, Debug)]
pub struct LocalRecord {
    record: Record,
}

impl LocalRecord {
    /// Creates the local record from the initial record of a process that is starting.
    pub fn new(record: Record) -> Self {
        Self { record }
    }

    /// Returns the current version of the record.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Sets the state, and increases the sequence if the state changes.
    pub fn set_state(&mut self, state: State) {
        if self.record.state != state {
            self.record.state = state;
            self.bump_sequence();
        }
    }

    /// Increases the sequence, so that the record is newer than its copies and is sent again.
    pub fn bump_sequence(&mut self) {
        self.record.sequence.0 = self.record.sequence.0.saturating_add(1);
    }

    /// Sets the configuration in force, and increases the sequence if it changes.
    pub fn set_generation(&mut self, generation: Generation) {
        if self.record.generation != generation {
            self.record.generation = generation;
            self.bump_sequence();
        }
    }

    /// Refutes `copy`, for example a down declaration: if it belongs to this run and would win a
    /// merge, the local record gets a higher sequence. Returns whether that was necessary.
    pub fn refute(&mut self, copy: &Record) -> bool {
        if copy.incarnation != self.record.incarnation || !copy.supersedes(&self.record) {
            return false;
        }
        self.record.sequence = copy.sequence;
        self.bump_sequence();
        true
    }
}

/// Member record in a [`Table`], with its local history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Hash of the member's name, the key of the entry.
    pub tag: Tag,
    /// Newest record that was merged.
    pub record: Record,
    /// When a merge of this member's record last changed the order of members in the buckets.
    pub order_changed_at: Instant,
    /// When `record` was merged.
    pub merged_at: Instant,
    /// Version of the table right after `record` was merged.
    pub version: u64,
    /// Run of the member before the current one, if this process has seen a record of it.
    pub previous_run: Option<PreviousRun>,
}

/// Time for which a down record is kept before it is removed.
pub const DOWN_RETENTION: Duration = Duration::from_secs(60);
/// Time for which the version of a removed record is kept, so that an older copy isn't merged
/// again.
pub const REMOVED_RETENTION: Duration = Duration::from_secs(3600);
/// Maximum number of records in a table: three times as many as the largest intended deployment
/// has.
pub const RECORDS_MAX: usize = 1 << 17;
/// Number of groups into which the members of a failure domain are hashed. Gossip compares one hash
/// per group to find the records that differ.
pub const GROUPS_PER_DOMAIN: usize = 128;

const GROUP_SHIFT: u32 = u64::BITS - GROUPS_PER_DOMAIN.trailing_zeros();

/// 64-bit hash of a member's name, used as its key in tables and messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tag(pub u64);

impl Tag {
    /// Returns the tag of a member.
    pub fn of(member: &Member) -> Self {
        Self(hash_bytes(member.as_str().as_bytes()))
    }

    /// Returns the index of the member's group, below [`GROUPS_PER_DOMAIN`].
    pub fn group(self) -> usize {
        (self.0 >> GROUP_SHIFT) as usize
    }
}

/// Version of a down record that was removed.
#[derive(Clone, Copy, Debug)]
struct Removed {
    incarnation: Incarnation,
    sequence: Sequence,
}

/// Index of the members of one failure domain.
#[derive(Clone, Debug)]
struct DomainIndex {
    members: BTreeSet<Tag>,
    balancers: BTreeSet<Tag>,
    // Invariant: element `g` is the XOR of the hashes of group g's records that are not down. Down
    // records are left out because each process removes them at a different time.
    hashes: Box<[u64; GROUPS_PER_DOMAIN]>,
}

impl Default for DomainIndex {
    fn default() -> Self {
        Self {
            members: BTreeSet::new(),
            balancers: BTreeSet::new(),
            hashes: Box::new([0; GROUPS_PER_DOMAIN]),
        }
    }
}

/// Maximum number of members kept per service in [`Table::departed`].
const DEPARTED_PER_SERVICE_MAX: usize = 64;

/// Table of the newest known record of each member.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: BTreeMap<Tag, Entry>,
    // Invariant: `versions`, `services`, `domains` and `down` index `entries`.
    versions: BTreeMap<u64, Tag>,
    services: BTreeMap<Service, BTreeMap<u64, Tag>>,
    /// Members that moved to another service, by the service that they left and the table version
    /// of the move. Invariant: at most [`DEPARTED_PER_SERVICE_MAX`] for each service.
    departed: BTreeMap<Service, BTreeMap<u64, Tag>>,
    domains: BTreeMap<Domain, DomainIndex>,
    down: BTreeSet<(Instant, Tag)>,
    removed: BTreeMap<Tag, Removed>,
    removed_order: BTreeSet<(Instant, Tag)>,
    version: u64,
    balancers_version: u64,
}

impl Table {
    /// Merges a record into the table. Returns whether it replaced the known record or was added.
    ///
    /// A record is rejected if it doesn't supersede the known one, if its version was removed, if
    /// its name has the same hash as another member's, or if the table is full.
    pub fn merge(&mut self, record: Record, now: Instant) -> bool {
        let tag = Tag::of(&record.member);
        let known = self.entries.get(&tag);
        if known.is_some_and(|entry| !record.supersedes(&entry.record)) {
            return false;
        }
        if known.is_some_and(|entry| entry.record.member != record.member)
            || self.is_removed(tag, record.incarnation, record.sequence)
            || (known.is_none() && self.entries.len() >= RECORDS_MAX)
        {
            return false;
        }
        let order_changed_at = match known {
            Some(entry) if !changes_bucket_order(&entry.record, &record) => entry.order_changed_at,
            _ => now,
        };
        let old_service = known.and_then(|entry| entry.record.service.clone());
        let left_service = old_service.filter(|old| Some(old) != record.service.as_ref());
        let previous_run = self.previous_run(tag, record.incarnation);
        self.remove_entry(tag);
        self.version += 1;
        if let Some(service) = left_service {
            let departed = self.departed.entry(service).or_default();
            departed.insert(self.version, tag);
            if departed.len() > DEPARTED_PER_SERVICE_MAX {
                departed.pop_first();
            }
        }
        let entry = Entry {
            tag,
            record,
            order_changed_at,
            merged_at: now,
            version: self.version,
            previous_run,
        };
        self.insert(tag, entry);
        true
    }

    /// Returns the last run of a member before `run` that this process has seen.
    fn previous_run(&self, tag: Tag, run: Incarnation) -> Option<PreviousRun> {
        let Some(entry) = self.entries.get(&tag) else {
            let removed = self.removed.get(&tag).map(|removed| PreviousRun {
                incarnation: removed.incarnation,
                server: None,
            });
            return removed.filter(|removed| removed.incarnation < run);
        };
        match entry.record.incarnation < run {
            true => Some(PreviousRun {
                incarnation: entry.record.incarnation,
                server: entry.record.sole_server,
            }),
            false => entry.previous_run,
        }
    }

    /// Returns whether this or a later version of the member's record was removed.
    pub fn is_removed(&self, tag: Tag, incarnation: Incarnation, sequence: Sequence) -> bool {
        self.removed.get(&tag).is_some_and(|removed| {
            (removed.incarnation, removed.sequence) >= (incarnation, sequence)
        })
    }

    /// Returns the version of the member's record that was removed.
    pub fn removed_version(&self, tag: Tag) -> Option<(Incarnation, Sequence)> {
        let removed = self.removed.get(&tag)?;
        Some((removed.incarnation, removed.sequence))
    }

    /// Returns the member tags and versions of all removed records.
    pub fn removed_versions(&self) -> impl Iterator<Item = (u64, Incarnation, Sequence)> + '_ {
        let removed = self.removed.iter();
        removed.map(|(tag, removed)| (tag.0, removed.incarnation, removed.sequence))
    }

    /// Merges a down record for a known member, with the given version and otherwise the known
    /// content. Returns whether it superseded the known record.
    pub fn mark_down(
        &mut self,
        tag: Tag,
        incarnation: Incarnation,
        sequence: Sequence,
        now: Instant,
    ) -> bool {
        let Some(entry) = self.entries.get(&tag) else {
            return false;
        };
        let record = Record {
            incarnation,
            sequence,
            state: State::Down,
            ..entry.record.clone()
        };
        self.merge(record, now)
    }

    /// Returns the number of merges that changed the table.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns a number that increases whenever the record of a balancer that isn't down is added,
    /// replaced or removed.
    pub fn balancers_version(&self) -> u64 {
        self.balancers_version
    }

    /// Returns the number of records, including those that are down.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the entry of a member.
    pub fn get(&self, member: &Member) -> Option<&Entry> {
        self.entries.get(&Tag::of(member))
    }

    /// Returns the entry of the member with this tag.
    pub fn by_tag(&self, tag: Tag) -> Option<&Entry> {
        self.entries.get(&tag)
    }

    /// Returns all entries by tag, an order that is the same on every host.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the entries merged after the table version `version`, oldest first.
    pub fn since(&self, version: u64) -> impl Iterator<Item = &Entry> {
        self.versions
            .range(version + 1..)
            .map(|(_, tag)| &self.entries[tag])
    }

    /// Returns the agents of a service, in the order in which their records were merged.
    pub fn agents<'a>(&'a self, service: &Service) -> impl Iterator<Item = &'a Entry> {
        self.agents_since(service, 0)
    }

    /// Returns the agents of a service whose records were merged after the table version `version`,
    /// oldest first.
    pub fn agents_since<'a>(
        &'a self,
        service: &Service,
        version: u64,
    ) -> impl Iterator<Item = &'a Entry> {
        let index = self.services.get(service).into_iter();
        index
            .flat_map(move |index| index.range(version + 1..))
            .map(|(_, tag)| &self.entries[tag])
    }

    /// Returns the members that left a service for another one after the table version `version`,
    /// oldest first. The agents of that service would otherwise not be told of the move, as
    /// [`Table::agents_since`] only lists current members.
    pub fn departed_since<'a>(
        &'a self,
        service: &'a Service,
        version: u64,
    ) -> impl Iterator<Item = &'a Entry> {
        let index = self.departed.get(service).into_iter();
        index
            .flat_map(move |index| index.range(version + 1..))
            .filter_map(|(_, tag)| self.entries.get(tag))
            .filter(move |entry| entry.record.service.as_ref() != Some(service))
    }

    /// Returns the failure domains that have records.
    pub fn domains(&self) -> impl Iterator<Item = &Domain> {
        self.domains.keys()
    }

    /// Returns the entries of a failure domain.
    pub fn domain<'a>(&'a self, domain: &Domain) -> impl Iterator<Item = &'a Entry> {
        let tags = self.domains.get(domain).map(|group| group.members.iter());
        tags.into_iter().flatten().map(|tag| &self.entries[tag])
    }

    /// Returns the entries of one group of a failure domain; see [`Tag::group`].
    pub fn group<'a>(&'a self, domain: &Domain, group: usize) -> impl Iterator<Item = &'a Entry> {
        let first = Tag((group as u64) << GROUP_SHIFT);
        let last = Tag(first.0 | (u64::MAX >> (u64::BITS - GROUP_SHIFT)));
        let members = self.domains.get(domain).map(|domain| &domain.members);
        members
            .into_iter()
            .flat_map(move |members| members.range(first..=last))
            .map(|tag| &self.entries[tag])
    }

    /// Returns the balancers of a failure domain that aren't down.
    pub fn balancers<'a>(&'a self, domain: &Domain) -> impl Iterator<Item = &'a Entry> {
        let tags = self.domains.get(domain).map(|group| group.balancers.iter());
        tags.into_iter().flatten().map(|tag| &self.entries[tag])
    }

    /// Returns the hashes of a domain's groups. Equal hashes mean that the records that aren't down
    /// have equal versions.
    pub fn group_hashes(&self, domain: &Domain) -> Option<&[u64; GROUPS_PER_DOMAIN]> {
        self.domains.get(domain).map(|group| &*group.hashes)
    }

    /// Returns the hash of a domain's records, 0 if all of them are down or there are none.
    pub fn domain_hash(&self, domain: &Domain) -> u64 {
        let hashes = self.group_hashes(domain);
        hashes.map_or(0, |hashes| hashes.iter().fold(0, |all, hash| all ^ hash))
    }

    /// Returns the hash of all records that aren't down.
    pub fn hash(&self) -> u64 {
        let domains = self.domains.keys();
        domains.fold(0, |all, domain| all ^ self.domain_hash(domain))
    }

    /// Removes records that have been down for [`DOWN_RETENTION`], and deletes the versions of
    /// removed records after [`REMOVED_RETENTION`], or the oldest ones beyond [`RECORDS_MAX`].
    pub fn expire(&mut self, now: Instant) {
        while let Some(&(merged, tag)) = self.down.first() {
            if now.duration_since(merged) < DOWN_RETENTION {
                break;
            }
            if let Some(entry) = self.remove_entry(tag) {
                let record = &entry.record;
                self.record_removal(tag, record.incarnation, record.sequence, now);
            }
        }
        while let Some(&(since, tag)) = self.removed_order.first() {
            let recent = now.duration_since(since) < REMOVED_RETENTION;
            if recent && self.removed.len() <= RECORDS_MAX {
                break;
            }
            self.removed_order.pop_first();
            self.removed.remove(&tag);
        }
    }

    /// Stores the version of a removed down record, so that this and older versions aren't merged
    /// again.
    pub fn record_removal(
        &mut self,
        tag: Tag,
        incarnation: Incarnation,
        sequence: Sequence,
        now: Instant,
    ) {
        if self.is_removed(tag, incarnation, sequence) {
            return;
        }
        let removed = Removed {
            incarnation,
            sequence,
        };
        if self.removed.insert(tag, removed).is_some() {
            self.removed_order.retain(|(_, other)| *other != tag);
        }
        self.removed_order.insert((now, tag));
    }

    fn insert(&mut self, tag: Tag, entry: Entry) {
        self.versions.insert(entry.version, tag);
        if let Some(service) = &entry.record.service {
            let index = self.services.entry(service.clone()).or_default();
            index.insert(entry.version, tag);
        }
        if entry.record.state == State::Down {
            self.down.insert((entry.merged_at, tag));
        }
        let domain = self.domains.entry(entry.record.domain.clone()).or_default();
        domain.members.insert(tag);
        domain.hashes[tag.group()] ^= record_hash(tag, &entry.record);
        if entry.record.role == Role::Balancer && entry.record.state != State::Down {
            domain.balancers.insert(tag);
            self.balancers_version += 1;
        }
        self.entries.insert(tag, entry);
    }

    /// Removes an entry from the table and its indices.
    fn remove_entry(&mut self, tag: Tag) -> Option<Entry> {
        let entry = self.entries.remove(&tag)?;
        self.versions.remove(&entry.version);
        if let Some(service) = &entry.record.service {
            let index = self.services.entry(service.clone()).or_default();
            index.remove(&entry.version);
            if index.is_empty() {
                self.services.remove(service);
            }
        }
        self.down.remove(&(entry.merged_at, tag));
        let domain = self.domains.entry(entry.record.domain.clone()).or_default();
        domain.members.remove(&tag);
        domain.hashes[tag.group()] ^= record_hash(tag, &entry.record);
        if domain.balancers.remove(&tag) {
            self.balancers_version += 1;
        }
        if domain.members.is_empty() {
            self.domains.remove(&entry.record.domain);
        }
        Some(entry)
    }
}

/// Returns the hash of a record's tag and version, 0 if it is down.
fn record_hash(tag: Tag, record: &Record) -> u64 {
    if record.state == State::Down {
        return 0;
    }
    let mut bytes = [0; 25];
    bytes[..8].copy_from_slice(&tag.0.to_be_bytes());
    bytes[8..16].copy_from_slice(&record.incarnation.0.to_be_bytes());
    bytes[16..24].copy_from_slice(&record.sequence.0.to_be_bytes());
    bytes[24] = record.state as u8;
    hash_bytes(&bytes)
}

/// Returns whether replacing `old` by `new` can change the arbiter of a bucket.
fn changes_bucket_order(old: &Record, new: &Record) -> bool {
    old.state.is_arbiter() != new.state.is_arbiter()
        || old.slots != new.slots
        || old.service != new.service
        || old.incarnation != new.incarnation
}

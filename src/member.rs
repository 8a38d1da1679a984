//! Membership: the records of balancers and agents, and how copies of them merge.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::hash::hash_bytes;
use crate::id::{Connections, Domain, Generation, Incarnation, Member, Sequence, Service, Slots};

/// What a member does.
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
    /// Forwards packets from the fabric to agents.
    Balancer,
    /// Runs beside a backend server.
    Agent,
}

/// Where a member is in its life. The order is the precedence of a merge.
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
    /// Announced, but not yet an arbiter of any bucket.
    Joining,
    /// Takes new flows.
    Active,
    /// Takes no new flows and keeps its established ones.
    Draining,
    /// Declared down by its collector, or stopped.
    Down,
}

impl State {
    /// Whether a member in this state can be the arbiter of a bucket.
    pub fn is_arbiter(self) -> bool {
        matches!(self, State::Active | State::Draining)
    }
}

/// What is known about a member.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Record {
    /// The member. Only the member itself raises `incarnation` and `sequence`.
    pub member: Member,
    /// What it does.
    pub role: Role,
    /// Its current run.
    pub incarnation: Incarnation,
    /// Version of the record within the run.
    pub sequence: Sequence,
    /// Where it is in its life.
    pub state: State,
    /// Its failure domain.
    pub domain: Domain,
    /// Address for control frames.
    pub control: SocketAddr,
    /// Address for encapsulated packets.
    pub data: SocketAddr,
    /// The service that an agent's server runs; `None` for balancers.
    pub service: Option<Service>,
    /// Slots of the server.
    pub slots: Slots,
    /// Connections that the server holds at most.
    pub connections: Connections,
    /// Configuration in force at a balancer.
    pub generation: Generation,
    /// Flows that a draining agent owns, rounded up to a power of two: a drain then changes the
    /// record a few times instead of once per flow.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub open_flows: Option<u32>,
    /// The only run of the agent's server that can have got datagrams whose copies may still
    /// arrive; `None` if an earlier run of the server may have got some.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sole_server: Option<Incarnation>,
}

/// A run of a member that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PreviousRun {
    /// The run.
    pub incarnation: Incarnation,
    /// [`Record::sole_server`] of its last record.
    pub server: Option<Incarnation>,
}

impl Record {
    /// Position in the merge order: the higher of two records wins.
    pub fn version(&self) -> (Incarnation, Sequence, State) {
        (self.incarnation, self.sequence, self.state)
    }

    /// Whether this record wins a merge with `other`.
    ///
    /// Each record has one writer, so the content decides only if two processes share a name. It
    /// makes the order total, so that copies agree even then.
    pub fn supersedes(&self, other: &Record) -> bool {
        (self.version(), self) > (other.version(), other)
    }

    /// Whether the member is a balancer that can take roles: it has a view and isn't leaving.
    pub fn is_active_balancer(&self) -> bool {
        self.role == Role::Balancer && self.state == State::Active
    }
}

/// The record of this process. Only this type raises its sequence.
#[derive(Clone, Debug)]
pub struct LocalRecord {
    record: Record,
}

impl LocalRecord {
    /// The record of a process that is starting.
    pub fn new(record: Record) -> Self {
        Self { record }
    }

    /// The record.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Enters another state.
    pub fn set_state(&mut self, state: State) {
        if self.record.state != state {
            self.record.state = state;
            self.bump_sequence();
        }
    }

    /// Makes the record newer without another change, so that it spreads again.
    pub fn bump_sequence(&mut self) {
        self.record.sequence.0 = self.record.sequence.0.saturating_add(1);
    }

    /// Reports another configuration in force.
    pub fn set_generation(&mut self, generation: Generation) {
        if self.record.generation != generation {
            self.record.generation = generation;
            self.bump_sequence();
        }
    }

    /// Outranks a copy of this run's record that says otherwise. Returns whether it had to.
    pub fn refute(&mut self, copy: &Record) -> bool {
        if copy.incarnation != self.record.incarnation || !copy.supersedes(&self.record) {
            return false;
        }
        self.record.sequence = copy.sequence;
        self.bump_sequence();
        true
    }
}

/// A record with what this process knows about its history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Tag of the member.
    pub tag: Tag,
    /// The latest record.
    pub record: Record,
    /// When the order of buckets last changed because of this member.
    pub order_changed_at: Instant,
    /// When the record was merged.
    pub merged_at: Instant,
    /// The table's version when the record was merged.
    pub version: u64,
    /// The member's run before the present one, if this process has known it.
    pub previous_run: Option<PreviousRun>,
}

/// Time for which a record that is down is kept.
pub const DOWN_RETENTION: Duration = Duration::from_secs(60);
/// Time for which the version of a removed record is remembered.
pub const REMOVED_RETENTION: Duration = Duration::from_secs(3600);
/// Records that a table holds: three times those of the target system.
pub const RECORDS_MAX: usize = 1 << 17;
/// Groups of a domain's members that are compared at once.
pub const GROUPS_PER_DOMAIN: usize = 128;

const GROUP_SHIFT: u32 = u64::BITS - GROUPS_PER_DOMAIN.trailing_zeros();

/// Short form of a member's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tag(pub u64);

impl Tag {
    /// The tag of a member.
    pub fn of(member: &Member) -> Self {
        Self(hash_bytes(member.as_str().as_bytes()))
    }

    /// The group of members that this one is compared with.
    pub fn group(self) -> usize {
        (self.0 >> GROUP_SHIFT) as usize
    }
}

/// The version of a record that was removed.
#[derive(Clone, Copy, Debug)]
struct Removed {
    incarnation: Incarnation,
    sequence: Sequence,
}

/// The members of one failure domain.
#[derive(Clone, Debug)]
struct DomainIndex {
    members: BTreeSet<Tag>,
    balancers: BTreeSet<Tag>,
    // Invariant: element `g` is the exclusive or of the hashes of group g's records that are not
    // down. Records that are down are left out because each process removes them at its own time.
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

/// Members remembered for each service that they left.
const DEPARTED_PER_SERVICE_MAX: usize = 64;

/// The merged records of a process.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: BTreeMap<Tag, Entry>,
    // Invariant: the following four index `entries`.
    versions: BTreeMap<u64, Tag>,
    services: BTreeMap<Service, BTreeMap<u64, Tag>>,
    /// Members that have moved to another service, by the service that they left and the version
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
    /// Takes up a record if it is newer than the one known. Returns whether it was.
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
        let left = known.and_then(|entry| entry.record.service.clone());
        let left = left.filter(|left| Some(left) != record.service.as_ref());
        let previous_run = self.previous_run(tag, record.incarnation);
        self.remove_entry(tag);
        self.version += 1;
        if let Some(left) = left {
            let departed = self.departed.entry(left).or_default();
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

    /// The run of a member before `run`, as far as this process has known it.
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

    /// Whether this or a later version of the member was down and has been removed.
    pub fn is_removed(&self, tag: Tag, incarnation: Incarnation, sequence: Sequence) -> bool {
        self.removed.get(&tag).is_some_and(|removed| {
            (removed.incarnation, removed.sequence) >= (incarnation, sequence)
        })
    }

    /// The version at which a removed member was down.
    pub fn removed_version(&self, tag: Tag) -> Option<(Incarnation, Sequence)> {
        let removed = self.removed.get(&tag)?;
        Some((removed.incarnation, removed.sequence))
    }

    /// The versions of all removed records.
    pub fn removed_versions(&self) -> impl Iterator<Item = (u64, Incarnation, Sequence)> + '_ {
        let removed = self.removed.iter();
        removed.map(|(tag, removed)| (tag.0, removed.incarnation, removed.sequence))
    }

    /// Takes up that a member is down at a version, if that is newer than what is known of it.
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

    /// Number of merges that changed the table.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Changes whenever a balancer that is not down does.
    pub fn balancers_version(&self) -> u64 {
        self.balancers_version
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The entry of a member.
    pub fn get(&self, member: &Member) -> Option<&Entry> {
        self.entries.get(&Tag::of(member))
    }

    /// The entry of the member with this tag.
    pub fn by_tag(&self, tag: Tag) -> Option<&Entry> {
        self.entries.get(&tag)
    }

    /// All entries, in an order that is the same on every host.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// The entries merged after `version`, oldest first.
    pub fn since(&self, version: u64) -> impl Iterator<Item = &Entry> {
        self.versions
            .range(version + 1..)
            .map(|(_, tag)| &self.entries[tag])
    }

    /// The agents of a service, in the order in which their records were merged.
    pub fn agents<'a>(&'a self, service: &Service) -> impl Iterator<Item = &'a Entry> {
        self.agents_since(service, 0)
    }

    /// The agents of a service whose records were merged after `version`, oldest first.
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

    /// The members that have left a service for another one after `version`, oldest first. The
    /// agents of the service they left would otherwise never hear of it.
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

    /// The failure domains that have records.
    pub fn domains(&self) -> impl Iterator<Item = &Domain> {
        self.domains.keys()
    }

    /// The entries of a failure domain.
    pub fn domain<'a>(&'a self, domain: &Domain) -> impl Iterator<Item = &'a Entry> {
        let tags = self.domains.get(domain).map(|group| group.members.iter());
        tags.into_iter().flatten().map(|tag| &self.entries[tag])
    }

    /// The entries of one group of a failure domain.
    pub fn group<'a>(&'a self, domain: &Domain, group: usize) -> impl Iterator<Item = &'a Entry> {
        let first = Tag((group as u64) << GROUP_SHIFT);
        let last = Tag(first.0 | (u64::MAX >> (u64::BITS - GROUP_SHIFT)));
        let members = self.domains.get(domain).map(|domain| &domain.members);
        members
            .into_iter()
            .flat_map(move |members| members.range(first..=last))
            .map(|tag| &self.entries[tag])
    }

    /// The balancers of a failure domain that are not down.
    pub fn balancers<'a>(&'a self, domain: &Domain) -> impl Iterator<Item = &'a Entry> {
        let tags = self.domains.get(domain).map(|group| group.balancers.iter());
        tags.into_iter().flatten().map(|tag| &self.entries[tag])
    }

    /// Hashes of the groups of a domain. Equal hashes mean equal records that are not down.
    pub fn group_hashes(&self, domain: &Domain) -> Option<&[u64; GROUPS_PER_DOMAIN]> {
        self.domains.get(domain).map(|group| &*group.hashes)
    }

    /// Hash of a domain's records; 0 if it has none that is not down.
    pub fn domain_hash(&self, domain: &Domain) -> u64 {
        let hashes = self.group_hashes(domain);
        hashes.map_or(0, |hashes| hashes.iter().fold(0, |all, hash| all ^ hash))
    }

    /// Hash of all records that are not down.
    pub fn hash(&self) -> u64 {
        let domains = self.domains.keys();
        domains.fold(0, |all, domain| all ^ self.domain_hash(domain))
    }

    /// Removes records that have been down for [`DOWN_RETENTION`] and forgets removed versions
    /// after [`REMOVED_RETENTION`].
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

    /// Remembers that a member was down at a version, so that it is not taken up again.
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

    /// Removes an entry from the table and all indices.
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

/// Hash of a record's version; 0 if it is down.
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

/// Whether the change can move a bucket to another arbiter.
fn changes_bucket_order(old: &Record, new: &Record) -> bool {
    old.state.is_arbiter() != new.state.is_arbiter()
        || old.slots != new.slots
        || old.service != new.service
        || old.incarnation != new.incarnation
}

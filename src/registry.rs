//! Synchronises member records and the accepted configuration with the store.
//!
//! The balancer that ranks highest for a failure domain writes the domain's object. Every write is
//! conditional on the version that was merged before it, so a delayed writer, or one that has lost
//! its role, can't overwrite newer records. Two balancers of each domain watch the domain objects
//! and the head, which names the accepted configuration.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::catalog::{Offer, OfferOrder};
use crate::collector::{fallback_domain, has_active_balancer};
use crate::fleet::View;
use crate::hash::hash_bytes;
use crate::id::{Bucket, Domain, Slots};
use crate::member::{Record, Table, Tag};
use crate::output::{Event, Output};
use crate::rank::score;
use crate::store::{
    Answer, Call, Collection, Error, Head, Key, Object, Operation, Outcome, Value, Version,
};

/// Minimum time between two writes of an object by one writer.
pub const WRITE_INTERVAL: Duration = Duration::from_secs(1);
/// Interval at which a watcher reads the head, because a watch can stall without an error.
pub const HEAD_INTERVAL: Duration = Duration::from_secs(1);
/// Duration of a watch that is requested from the store.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(60);
/// Number of balancers of each domain that watch the store.
pub const WATCHERS: usize = 2;
/// Time after which an unanswered call fails with [`Error::Lost`]. A watch fails after its requested
/// duration and a grace period.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(4);

const BACKOFF_FIRST: Duration = Duration::from_millis(250);
const BACKOFF_MAX: Duration = Duration::from_secs(4);
/// Minimum time between two lists that are caused by watches that ended early or failed. A list of the domain
/// objects is about 10 MB at the target size.
const RELIST_INTERVAL: Duration = Duration::from_secs(60);
/// Time by which a watch may end early or late before it counts as ended early, or as lost.
const WATCH_GRACE: Duration = Duration::from_secs(10);
/// Minimum time between two calls for one watch, and the delay before the head is read again when
/// its configuration was not available.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// What a call was made for, with what is needed to handle its answer.
#[derive(Clone, Debug)]
enum Purpose {
    Read(Domain),
    // The domain, the hash of the written versions, and the number of records.
    Write(Domain, u64, usize),
    List(Collection),
    Watch(Collection),
    Head,
    Config(Offer),
}

/// A call that the store hasn't answered completely.
#[derive(Clone, Debug)]
struct Pending {
    purpose: Purpose,
    operation: String,
    deadline: Instant,
}

/// What this balancer knows about an object in the store.
#[derive(Clone, Debug, PartialEq)]
enum ObjectState {
    Unknown,
    Absent,
    // The object's version and the hash of its records' versions.
    Stored(Version, u64),
}

/// A domain object that this balancer writes.
#[derive(Clone, Debug)]
struct DomainObject {
    known: ObjectState,
    in_flight: bool,
    next: Instant,
    next_write: Instant,
    failures: u32,
    // Table version at which the records were last found equal to the object.
    synced_version: Option<u64>,
}

impl DomainObject {
    fn new(now: Instant) -> Self {
        Self {
            known: ObjectState::Unknown,
            in_flight: false,
            next: now,
            next_write: now,
            failures: 0,
            synced_version: None,
        }
    }
}

/// The list-and-watch state of a collection.
#[derive(Clone, Debug)]
struct CollectionWatch {
    since: Option<Version>,
    in_flight: bool,
    next: Instant,
    failures: u32,
    started: Instant,
    listed: Option<Instant>,
    // Whether the store may have been restored from an older copy since the last list.
    doubtful: bool,
}

impl CollectionWatch {
    /// Forgets the version to watch from if it is doubtful and the last list was long ago. Versions
    /// that are assigned after a restore denote other changes.
    fn forget_doubtful_version(&mut self, now: Instant) {
        let listed = self.listed.map(|listed| now.duration_since(listed));
        if self.doubtful && listed.is_none_or(|listed| listed >= RELIST_INTERVAL) {
            self.since = None;
        }
    }
}

/// A balancer's store client: reads and writes domain objects, and follows the head.
#[derive(Clone, Debug)]
pub struct Registry {
    random: SmallRng,
    next_id: u64,
    pending: BTreeMap<u64, Pending>,
    domain_objects: BTreeMap<Domain, DomainObject>,
    watches: BTreeMap<Collection, CollectionWatch>,
    next_head: Instant,
    head_in_flight: bool,
    fetching: Option<Offer>,
    starting: bool,
    records_loaded: bool,
    head_loaded: bool,
}

impl Registry {
    /// Creates a registry that has made no call. `seed` initialises the random backoff.
    pub fn new(seed: u64, now: Instant) -> Self {
        let watch = CollectionWatch {
            since: None,
            in_flight: false,
            next: now,
            failures: 0,
            started: now,
            listed: None,
            doubtful: false,
        };
        Self {
            random: SmallRng::seed_from_u64(seed),
            next_id: 0,
            pending: BTreeMap::new(),
            domain_objects: BTreeMap::new(),
            watches: BTreeMap::from([
                (Collection::Domains, watch.clone()),
                (Collection::Heads, watch),
            ]),
            next_head: now,
            head_in_flight: false,
            fetching: None,
            starting: false,
            records_loaded: false,
            head_loaded: false,
        }
    }

    /// Sets whether the balancer is starting and therefore loads the records and the configuration
    /// even if it is not a watcher.
    pub fn set_starting(&mut self, starting: bool) {
        self.starting = starting;
    }

    /// Returns whether the records and the configuration have been read, or found absent.
    pub fn is_loaded(&self) -> bool {
        self.records_loaded && self.head_loaded
    }

    /// Returns the number of calls in progress, including watches.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// Fails calls that have timed out, and makes those that are due.
    pub fn tick(&mut self, view: &mut View, now: Instant, out: &mut Vec<Output>) {
        self.expire_calls(view, now, out);
        if self.starting || is_watcher(view) {
            self.start_watches(now, out);
            self.poll_head(now, out);
        }
        self.write_domains(view, now, out);
    }

    /// Handles an answer of the store. Answers to unknown calls are ignored.
    pub fn handle_answer(
        &mut self,
        view: &mut View,
        answer: Answer,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let Some(pending) = self.pending.get(&answer.id) else {
            return;
        };
        let purpose = pending.purpose.clone();
        let more = matches!(
            answer.result,
            Ok(Outcome::Changed(_) | Outcome::Deleted(..) | Outcome::Bookmark(_))
        );
        if let Err(error) = answer.result {
            let expected = matches!(error, Error::NotFound | Error::Conflict | Error::Exists);
            if !expected {
                out.push(Output::Event(Event::Store {
                    operation: pending.operation.clone(),
                    error,
                }));
            }
        }
        if !more {
            self.pending.remove(&answer.id);
        }
        match purpose {
            Purpose::Read(domain) => self.handle_read(view, domain, answer.result, now),
            Purpose::Write(domain, hash, records) => {
                self.handle_write(domain, hash, records, answer.result, now, out);
            }
            Purpose::List(collection) => {
                self.handle_list(view, collection, answer.result, now, out);
            }
            Purpose::Watch(collection) => {
                self.handle_watch_event(view, collection, answer.result, now, out);
            }
            Purpose::Head => self.handle_head(view, answer.result, now, out),
            Purpose::Config(offer) => self.handle_config(view, offer, answer.result, now, out),
        }
    }

    fn expire_calls(&mut self, view: &mut View, now: Instant, out: &mut Vec<Output>) {
        let due = |pending: &Pending| now >= pending.deadline;
        let lost: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| due(pending))
            .map(|(id, _)| *id)
            .collect();
        for id in lost {
            let result = Err(Error::Lost);
            self.handle_answer(view, Answer { id, result }, now, out);
        }
    }

    fn call(
        &mut self,
        purpose: Purpose,
        operation: Operation,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        self.next_id += 1;
        let timeout = match &operation {
            Operation::Watch { timeout, .. } => *timeout + WATCH_GRACE,
            _ => CALL_TIMEOUT,
        };
        let pending = Pending {
            purpose,
            operation: operation.to_string(),
            deadline: now + timeout,
        };
        self.pending.insert(self.next_id, pending);
        out.push(Output::Store(Call {
            id: self.next_id,
            operation,
        }));
    }

    fn backoff(&mut self, failures: u32) -> Duration {
        let full = BACKOFF_MAX.min(BACKOFF_FIRST * (1 << failures.min(8)));
        full.mul_f64(self.random.random_range(0.5..=1.0))
    }

    // Domain objects

    fn write_domains(&mut self, view: &View, now: Instant, out: &mut Vec<Output>) {
        let roles: Vec<Domain> = view
            .table
            .domains()
            .filter(|domain| is_writer(view, domain))
            .cloned()
            .collect();
        // The state of an object becomes outdated while another balancer writes it.
        self.domain_objects
            .retain(|domain, _| roles.contains(domain));
        for domain in roles {
            self.write_domain(&view.table, domain, now, out);
        }
    }

    fn write_domain(&mut self, table: &Table, domain: Domain, now: Instant, out: &mut Vec<Output>) {
        let domain_object = self
            .domain_objects
            .entry(domain.clone())
            .or_insert(DomainObject::new(now));
        if domain_object.in_flight
            || now < domain_object.next
            || domain_object.synced_version == Some(table.version())
        {
            return;
        }
        let hash = versions_hash(table.domain(&domain).map(|entry| &entry.record));
        if matches!(&domain_object.known, ObjectState::Stored(_, stored) if *stored == hash) {
            domain_object.synced_version = Some(table.version());
            return;
        }
        let key = Key::Domain(domain.clone());
        if domain_object.known == ObjectState::Unknown {
            domain_object.in_flight = true;
            return self.call(Purpose::Read(domain), Operation::Get(key), now, out);
        }
        if now < domain_object.next_write {
            return;
        }
        domain_object.in_flight = true;
        domain_object.next_write = now + WRITE_INTERVAL;
        let records: Vec<Record> = table
            .domain(&domain)
            .map(|entry| entry.record.clone())
            .collect();
        let purpose = Purpose::Write(domain, hash, records.len());
        let value = Value::Domain(records);
        let operation = match &domain_object.known {
            ObjectState::Stored(version, _) => Operation::Update(key, value, version.clone()),
            _ => Operation::Create(key, value),
        };
        self.call(purpose, operation, now, out);
    }

    fn handle_read(
        &mut self,
        view: &mut View,
        domain: Domain,
        result: Result<Outcome, Error>,
        now: Instant,
    ) {
        let known = match result {
            Ok(Outcome::Object(object)) => {
                let version = object.version.clone();
                let hash = merge_object(view, object, now);
                Ok(ObjectState::Stored(version, hash))
            }
            Err(Error::NotFound) => Ok(ObjectState::Absent),
            _ => Err(()),
        };
        let failures = self
            .domain_objects
            .get(&domain)
            .map_or(0, |domain_object| domain_object.failures);
        let backoff = self.backoff(failures);
        let Some(domain_object) = self.domain_objects.get_mut(&domain) else {
            return;
        };
        domain_object.in_flight = false;
        match known {
            Ok(known) => {
                domain_object.known = known;
                domain_object.failures = 0;
            }
            Err(()) => {
                domain_object.failures += 1;
                domain_object.next = now + backoff;
            }
        }
    }

    fn handle_write(
        &mut self,
        domain: Domain,
        hash: u64,
        records: usize,
        result: Result<Outcome, Error>,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let failures = self
            .domain_objects
            .get(&domain)
            .map_or(0, |domain_object| domain_object.failures);
        let backoff = self.backoff(failures);
        let Some(domain_object) = self.domain_objects.get_mut(&domain) else {
            return;
        };
        domain_object.in_flight = false;
        match result {
            Ok(Outcome::Object(object)) => {
                domain_object.known = ObjectState::Stored(object.version, hash);
                domain_object.failures = 0;
                out.push(Output::Event(Event::Written { domain, records }));
            }
            Err(Error::Throttled | Error::Unavailable) => {
                domain_object.failures += 1;
                domain_object.next = now + backoff;
            }
            // Another writer was faster, or the outcome is unknown: read the object before the next
            // write.
            Err(Error::Conflict | Error::Exists | Error::NotFound) => {
                domain_object.known = ObjectState::Unknown
            }
            _ => {
                domain_object.known = ObjectState::Unknown;
                domain_object.failures += 1;
                domain_object.next = now + backoff;
            }
        }
    }

    // Watches

    fn start_watches(&mut self, now: Instant, out: &mut Vec<Output>) {
        for collection in [Collection::Domains, Collection::Heads] {
            let Some(watch) = self.watches.get_mut(&collection) else {
                continue;
            };
            if watch.in_flight || now < watch.next {
                continue;
            }
            watch.forget_doubtful_version(now);
            watch.in_flight = true;
            watch.started = now;
            watch.next = now + RETRY_INTERVAL;
            let (purpose, operation) = match watch.since.clone() {
                None => (Purpose::List(collection), Operation::List(collection)),
                Some(since) => {
                    let operation = Operation::Watch {
                        collection,
                        since,
                        timeout: WATCH_TIMEOUT,
                    };
                    (Purpose::Watch(collection), operation)
                }
            };
            self.call(purpose, operation, now, out);
        }
    }

    fn handle_list(
        &mut self,
        view: &mut View,
        collection: Collection,
        result: Result<Outcome, Error>,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let Ok(Outcome::List { objects, version }) = result else {
            return self.schedule_retry(collection, now);
        };
        if collection == Collection::Domains {
            self.records_loaded = true;
            self.compare_objects(&objects);
        }
        if collection == Collection::Heads && objects.is_empty() {
            self.head_loaded = true;
        }
        for object in objects {
            self.apply_object(view, object, now, out);
        }
        if let Some(watch) = self.watches.get_mut(&collection) {
            watch.in_flight = false;
            watch.failures = 0;
            watch.next = now;
            watch.since = Some(version);
            watch.listed = Some(now);
            watch.doubtful = false;
        }
    }

    /// Has each own object read again whose version in a list isn't the one that was written last:
    /// the store may have been restored from an older copy.
    fn compare_objects(&mut self, objects: &[Object]) {
        let idle = self.domain_objects.iter_mut();
        for (domain, own) in idle.filter(|(_, own)| !own.in_flight) {
            let key = Key::Domain(domain.clone());
            let listed = objects.iter().find(|object| object.key == key);
            let kept = match &own.known {
                ObjectState::Stored(version, _) => listed.map(|o| &o.version) == Some(version),
                ObjectState::Absent => listed.is_none(),
                ObjectState::Unknown => true,
            };
            if !kept {
                own.known = ObjectState::Unknown;
                own.synced_version = None;
            }
        }
    }

    fn handle_watch_event(
        &mut self,
        view: &mut View,
        collection: Collection,
        result: Result<Outcome, Error>,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let Some(watch) = self.watches.get_mut(&collection) else {
            return;
        };
        match result {
            Ok(Outcome::Changed(object)) => {
                watch.since = Some(object.version.clone());
                watch.failures = 0;
                self.apply_object(view, object, now, out);
            }
            Ok(Outcome::Deleted(_, version) | Outcome::Bookmark(version)) => {
                watch.since = Some(version);
            }
            Ok(Outcome::Ended) => {
                watch.in_flight = false;
                // A store that ends watches early may have been restored from an older copy.
                let early = now.duration_since(watch.started) < WATCH_TIMEOUT - WATCH_GRACE;
                watch.doubtful |= early;
            }
            Err(Error::Throttled) => self.schedule_retry(collection, now),
            // The store may come back from an older copy.
            Err(Error::Unavailable | Error::Lost) => {
                watch.doubtful = true;
                self.schedule_retry(collection, now);
            }
            // The store doesn't know the version, for example after a restore of an older copy.
            _ => {
                watch.since = None;
                self.schedule_retry(collection, now);
            }
        }
    }

    fn schedule_retry(&mut self, collection: Collection, now: Instant) {
        let failures = self
            .watches
            .get(&collection)
            .map_or(0, |watch| watch.failures);
        let backoff = self.backoff(failures);
        if let Some(watch) = self.watches.get_mut(&collection) {
            watch.in_flight = false;
            watch.failures += 1;
            watch.next = now + backoff;
        }
    }

    fn apply_object(
        &mut self,
        view: &mut View,
        object: Object,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        match object.value {
            Value::Domain(_) => {
                merge_object(view, object, now);
            }
            Value::Head(head) => self.fetch_accepted(view, &head, now, out),
            Value::Config(_) => {}
        }
    }

    // Head and configuration

    fn poll_head(&mut self, now: Instant, out: &mut Vec<Output>) {
        if !self.head_in_flight && now >= self.next_head {
            self.head_in_flight = true;
            self.call(Purpose::Head, Operation::Get(Key::Head), now, out);
        }
    }

    fn handle_head(
        &mut self,
        view: &mut View,
        result: Result<Outcome, Error>,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        self.head_in_flight = false;
        self.next_head = now + HEAD_INTERVAL;
        match result {
            Ok(Outcome::Object(object)) => self.apply_object(view, object, now, out),
            Err(Error::NotFound) => self.head_loaded = true,
            _ => {}
        }
    }

    fn fetch_accepted(
        &mut self,
        view: &mut View,
        head: &Head,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let offer = Offer {
            generation: head.generation,
            digest: head.digest,
        };
        let mut events = Vec::new();
        let order = view.catalog.classify_offer(offer, &mut events);
        out.extend(events.into_iter().map(Output::Event));
        if order != OfferOrder::Newer {
            self.head_loaded = true;
            return;
        }
        if self.fetching.is_none_or(|fetching| fetching < offer) {
            self.fetching = Some(offer);
            let operation = Operation::Get(Key::Config(offer.digest));
            self.call(Purpose::Config(offer), operation, now, out);
        }
    }

    fn handle_config(
        &mut self,
        view: &mut View,
        offer: Offer,
        result: Result<Outcome, Error>,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        if self.fetching == Some(offer) {
            self.fetching = None;
        }
        let Ok(Outcome::Object(Object {
            value: Value::Config(text),
            ..
        })) = result
        else {
            // A lagging replica of the store may not have the object yet.
            self.next_head = self.next_head.min(now + RETRY_INTERVAL);
            return;
        };
        match view.catalog.adopt(offer, text) {
            Ok(true) => out.push(Output::Event(offer.adopted())),
            Ok(false) => {}
            Err(_) => out.push(Output::Event(offer.corrupt())),
        }
        self.head_loaded = true;
    }
}

/// Merges the records of a domain object. Returns the hash of their versions.
fn merge_object(view: &mut View, object: Object, now: Instant) -> u64 {
    let Value::Domain(records) = object.value else {
        return 0;
    };
    let hash = versions_hash(records.iter());
    for record in records {
        view.table.merge(record, now);
    }
    hash
}

/// Returns a hash of the versions of records that doesn't depend on their order.
fn versions_hash<'a>(records: impl Iterator<Item = &'a Record>) -> u64 {
    let hash = |record: &Record| {
        let mut bytes = [0; 25];
        bytes[..8].copy_from_slice(&Tag::of(&record.member).0.to_be_bytes());
        bytes[8..16].copy_from_slice(&record.incarnation.0.to_be_bytes());
        bytes[16..24].copy_from_slice(&record.sequence.0.to_be_bytes());
        bytes[24] = record.state as u8;
        hash_bytes(&bytes)
    };
    records.fold(1, |all, record| all.wrapping_add(hash(record)))
}

/// Returns the active balancers of `domain`, the one that ranks highest for `subject` first.
fn ranked(table: &Table, domain: &Domain, subject: &Domain) -> Vec<Tag> {
    let hash = hash_bytes(subject.as_str().as_bytes());
    let mut tags: Vec<Tag> = table
        .balancers(domain)
        .filter(|entry| entry.record.is_active_balancer())
        .map(|entry| entry.tag)
        .collect();
    tags.sort_by_cached_key(|tag| {
        std::cmp::Reverse((score(tag.0 ^ hash, Slots(1), Bucket(0)), *tag))
    });
    tags
}

/// Returns whether this balancer writes the object of `domain`.
fn is_writer(view: &View, domain: &Domain) -> bool {
    let own = &view.own.record().domain;
    let responsible = match has_active_balancer(&view.table, domain) {
        true => domain == own,
        false => fallback_domain(&view.table, domain).as_ref() == Some(own),
    };
    responsible && ranked(&view.table, own, domain).first() == Some(&Tag::of(&view.own_name()))
}

/// Returns whether this balancer is one of its domain's watchers.
fn is_watcher(view: &View) -> bool {
    let own = &view.own.record().domain;
    let ranked = ranked(&view.table, own, own);
    ranked
        .iter()
        .take(WATCHERS)
        .any(|tag| *tag == Tag::of(&view.own_name()))
}

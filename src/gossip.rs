//! Gossip of member records and configuration offers between balancers.
//!
//! Rumour mongering relays each record that was merged since the last flush once, whatever its
//! source. Anti-entropy locates the remaining differences top-down: it compares a hash of the
//! whole table, then of failure domains, then of groups of members, and then record versions.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use prost::Message as _;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use crate::catalog::Offer;
use crate::fleet::View;
use crate::id::{Domain, Incarnation, Sequence};
use crate::member::{Record, Role, State, Table, Tag, GROUPS_PER_DOMAIN};
use crate::output::{Event, Output};
use crate::wire::{control, Body, MESSAGE_MAX_BYTES};

/// Number of balancers, chosen at random, that each rumour is sent to.
pub const FANOUT: usize = 4;
/// Interval at which a balancer starts an anti-entropy exchange by sending a digest.
pub const DIGEST_INTERVAL: Duration = Duration::from_secs(2);
/// Maximum number of frames that one flush sends to each chosen balancer. It bounds the burst after
/// the loss of a failure domain; the next flush sends the remaining records.
pub const FRAMES_MAX: usize = 32;

/// Delay after which draining and down records and offers are sent a second time, to balancers
/// that are chosen anew.
///
/// A single round with a fan-out of 4 misses 1 balancer in 50, which then waits up to 2 s for a
/// digest. That is too long after a down decision, which itself takes 3 s or more.
pub const REPEAT_DELAY: Duration = Duration::from_millis(400);
/// Maximum number of records that are sent again at once: as many as fit into [`FRAMES_MAX`]
/// frames.
const REPEATS_MAX: usize = FRAMES_MAX * 12;

/// One round of digests in this many also sends one to a balancer outside the view, so that the
/// two sides of a healed partition discover each other.
const OUTSIDE_RATIO: u32 = 4;
/// Upper bound of the size of an encoded version, in bytes.
const VERSION_BYTES: usize = 36;

/// Gossip state of one balancer.
#[derive(Clone, Debug)]
pub struct Gossip {
    random: SmallRng,
    seeds: Vec<SocketAddr>,
    peers: Vec<SocketAddr>,
    /// Position in the round-robin over the addresses outside the view, used without peers.
    outside_cursor: usize,
    balancers_version: Option<u64>,
    /// Version of the member table up to which records have been sent.
    sent_version: u64,
    sent_offer: Option<Offer>,
    // Members whose records are sent a second time.
    urgent: BTreeSet<Tag>,
    urgent_offer: bool,
    next_repeat: Option<Instant>,
    next_digest: Instant,
}

impl Gossip {
    /// Creates the gossip state of a balancer that initially knows only the control addresses
    /// `seeds` of other balancers. `seed` initialises the random number generator.
    pub fn new(seeds: Vec<SocketAddr>, seed: u64, now: Instant) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let next_digest = now + DIGEST_INTERVAL.mul_f64(random.random());
        Self {
            random,
            seeds,
            peers: Vec::new(),
            outside_cursor: 0,
            balancers_version: None,
            sent_version: 0,
            sent_offer: None,
            urgent: BTreeSet::new(),
            urgent_offer: false,
            next_repeat: None,
            next_digest,
        }
    }

    /// Returns the number of other balancers in the view that are not down.
    pub fn peers(&mut self, view: &View) -> usize {
        self.refresh_peers(view);
        self.peers.len()
    }

    /// Marks the whole view as already sent to the other balancers.
    pub fn mark_all_sent(&mut self, view: &View) {
        self.sent_version = view.table.version();
        self.sent_offer = view.catalog.offer();
    }

    /// Merges the records of a rumour. The caller handles its offer.
    pub fn handle_rumour(
        &mut self,
        view: &mut View,
        rumour: &control::Rumour,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        for record in &rumour.records {
            match Record::try_from(record) {
                Ok(record) => {
                    view.table.merge(record, now);
                }
                Err(_) => out.push(Output::Event(Event::Invalid { message: "rumour" })),
            }
        }
    }

    /// Handles a digest: sends the local offer if it is newer, and the hashes of all domains if the
    /// hashes of the tables differ.
    pub fn handle_digest(
        &mut self,
        view: &View,
        from: SocketAddr,
        digest: &control::Digest,
        out: &mut Vec<Output>,
    ) {
        let theirs = digest
            .offer
            .as_ref()
            .and_then(|offer| offer.try_into().ok());
        if view.catalog.offer() > theirs {
            let rumour = control::Rumour {
                records: Vec::new(),
                offer: view.catalog.offer().map(Into::into),
            };
            out.push(Output::send(from, Body::Rumour(rumour)));
        }
        if digest.hash == view.table.hash() {
            return;
        }
        let domains = view.table.domains().map(|domain| control::DomainHash {
            domain: domain.to_string(),
            hash: view.table.domain_hash(domain),
        });
        let mut chunks = chunks(domains, |domain| domain.encoded_len() + 4);
        if chunks.is_empty() {
            chunks.push(Vec::new());
        }
        let complete = chunks.len() == 1;
        for domains in chunks {
            let hashes = control::DomainHashes { domains, complete };
            out.push(Output::send(from, Body::DomainHashes(hashes)));
        }
    }

    /// Handles hashes of domains: sends the group hashes of each domain that differs, and of each
    /// domain that is missing from a complete list.
    pub fn handle_domain_hashes(
        &mut self,
        view: &View,
        from: SocketAddr,
        hashes: &control::DomainHashes,
        out: &mut Vec<Output>,
    ) {
        let mut differing: Vec<Domain> = Vec::new();
        for theirs in &hashes.domains {
            let Ok(domain) = theirs.domain.parse() else {
                out.push(Output::Event(Event::Invalid {
                    message: "domain hashes",
                }));
                return;
            };
            if view.table.domain_hash(&domain) != theirs.hash {
                differing.push(domain);
            }
        }
        if hashes.complete {
            let listed = |domain: &Domain| {
                let mut theirs = hashes.domains.iter();
                theirs.any(|theirs| theirs.domain == domain.as_str())
            };
            let missing = view.table.domains().filter(|domain| !listed(domain));
            differing.extend(missing.cloned());
        }
        for domain in differing {
            let hashes = view.table.group_hashes(&domain);
            let groups = control::GroupHashes {
                domain: domain.to_string(),
                hashes: hashes.map_or(vec![0; GROUPS_PER_DOMAIN], |hashes| hashes.to_vec()),
            };
            out.push(Output::send(from, Body::GroupHashes(groups)));
        }
    }

    /// Handles the group hashes of a domain: sends the versions of the records in each group that
    /// differs.
    pub fn handle_group_hashes(
        &mut self,
        view: &View,
        from: SocketAddr,
        theirs: &control::GroupHashes,
        out: &mut Vec<Output>,
    ) {
        let Ok(domain) = theirs.domain.parse::<Domain>() else {
            out.push(Output::Event(Event::Invalid {
                message: "group hashes",
            }));
            return;
        };
        let none = [0; GROUPS_PER_DOMAIN];
        let ours = view.table.group_hashes(&domain).unwrap_or(&none);
        let differing = ours
            .iter()
            .zip(&theirs.hashes)
            .enumerate()
            .filter(|(_, (ours, theirs))| ours != theirs)
            .map(|(group, _)| group as u32);
        self.send_versions(view, from, &domain, differing.collect(), false, out);
    }

    /// Handles the versions of a domain's records: sends the records that are newer here, and the
    /// down versions of those that were removed here. If some are newer at the sender, and the
    /// message isn't itself such a reply, replies with the local versions, so that the sender
    /// returns its newer records.
    pub fn handle_versions(
        &mut self,
        view: &mut View,
        from: SocketAddr,
        theirs: &control::Versions,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let Ok(domain) = theirs.domain.parse::<Domain>() else {
            out.push(Output::Event(Event::Invalid {
                message: "versions",
            }));
            return;
        };
        let mut wanted = false;
        for version in &theirs.versions {
            wanted |= self.merge_version(view, version, now);
        }
        let mut groups = theirs.groups.clone();
        groups.sort_unstable();
        groups.dedup();
        groups.retain(|group| (*group as usize) < GROUPS_PER_DOMAIN);
        let newer = groups
            .iter()
            .flat_map(|group| view.table.group(&domain, *group as usize))
            .filter(|entry| is_newer(&entry.record, &theirs.versions))
            .map(|entry| control::Record::from(&entry.record));
        for records in chunks(newer, |record| record.encoded_len() + 4) {
            let rumour = control::Rumour {
                records,
                offer: None,
            };
            out.push(Output::send(from, Body::Rumour(rumour)));
        }
        let removed = theirs
            .versions
            .iter()
            .filter_map(|version| removed_version(&view.table, version));
        for versions in chunks(removed, |_| VERSION_BYTES) {
            let message = control::Versions {
                domain: domain.to_string(),
                groups: Vec::new(),
                versions,
                answer: true,
            };
            out.push(Output::send(from, Body::Versions(message)));
        }
        if wanted && !theirs.answer {
            self.send_versions(view, from, &domain, groups, true, out);
        }
    }

    /// Compares one version with the local record, and applies it if the member is down. Returns
    /// whether the sender's record is newer and must be fetched.
    fn merge_version(&self, view: &mut View, version: &control::Version, now: Instant) -> bool {
        let tag = Tag(version.member);
        let (incarnation, sequence) =
            (Incarnation(version.incarnation), Sequence(version.sequence));
        let Ok(state) = State::try_from(version.state()) else {
            return false;
        };
        if state == State::Down {
            view.table.mark_down(tag, incarnation, sequence, now);
            return false;
        }
        match view.table.by_tag(tag) {
            Some(entry) => entry.record.version() < (incarnation, sequence, state),
            None => !view.table.is_removed(tag, incarnation, sequence),
        }
    }

    fn send_versions(
        &mut self,
        view: &View,
        to: SocketAddr,
        domain: &Domain,
        groups: Vec<u32>,
        answer: bool,
        out: &mut Vec<Output>,
    ) {
        let mut message = control::Versions {
            domain: domain.to_string(),
            answer,
            ..Default::default()
        };
        let base_bytes = message.encoded_len();
        for group in groups {
            let entries = view.table.group(domain, group as usize);
            let mut versions: Vec<control::Version> =
                entries.map(|entry| wire_version(&entry.record)).collect();
            // The versions don't fit into one frame: each exchange covers another part of them.
            let room = (MESSAGE_MAX_BYTES - base_bytes) / VERSION_BYTES - 1;
            if versions.len() > room {
                let start = self.random.random_range(0..versions.len());
                versions.rotate_left(start);
                versions.truncate(room);
            }
            let count = message.versions.len() + versions.len() + 1;
            let full = base_bytes + count * VERSION_BYTES + message.groups.len() * 2;
            if full > MESSAGE_MAX_BYTES && !message.groups.is_empty() {
                let next = control::Versions {
                    groups: Vec::new(),
                    versions: Vec::new(),
                    ..message.clone()
                };
                let message = std::mem::replace(&mut message, next);
                out.push(Output::send(to, Body::Versions(message)));
            }
            message.groups.push(group);
            message.versions.extend(versions);
        }
        if !message.groups.is_empty() {
            out.push(Output::send(to, Body::Versions(message)));
        }
    }

    /// Flushes, sends urgent items a second time and starts an anti-entropy exchange, each if due.
    pub fn tick(&mut self, view: &View, now: Instant, out: &mut Vec<Output>) {
        self.flush(view, out);
        self.resend_urgent(view, now, out);
        if now < self.next_digest {
            return;
        }
        self.next_digest = now + DIGEST_INTERVAL;
        let digest = control::Digest {
            hash: view.table.hash(),
            offer: view.catalog.offer().map(Into::into),
            answer: false,
        };
        for to in self.digest_targets(view) {
            out.push(Output::send(to, Body::Digest(digest.clone())));
        }
    }

    /// Sends the records and the offer that changed since the last flush to random balancers.
    pub fn flush(&mut self, view: &View, out: &mut Vec<Output>) {
        self.refresh_peers(view);
        let mut rumours = self.collect_records(&view.table);
        let offer = view.catalog.offer();
        if offer != self.sent_offer {
            self.sent_offer = offer;
            self.urgent_offer = true;
            add_offer(&mut rumours, offer);
        }
        self.send_rumours(&rumours, out);
    }

    /// Sends urgent items a second time when [`REPEAT_DELAY`] has passed.
    fn resend_urgent(&mut self, view: &View, now: Instant, out: &mut Vec<Output>) {
        if self.urgent.is_empty() && !self.urgent_offer {
            return;
        }
        if now < *self.next_repeat.get_or_insert(now + REPEAT_DELAY) {
            return;
        }
        self.next_repeat = None;
        let tags = std::iter::from_fn(|| self.urgent.pop_first()).take(REPEATS_MAX);
        let entries = tags.filter_map(|tag| view.table.by_tag(tag));
        let records = entries.map(|entry| control::Record::from(&entry.record));
        let mut rumours: Vec<control::Rumour> = chunks(records, |record| record.encoded_len() + 4)
            .into_iter()
            .map(|records| control::Rumour {
                records,
                offer: None,
            })
            .collect();
        if std::mem::take(&mut self.urgent_offer) {
            add_offer(&mut rumours, view.catalog.offer());
        }
        self.send_rumours(&rumours, out);
    }

    fn send_rumours(&mut self, rumours: &[control::Rumour], out: &mut Vec<Output>) {
        if rumours.is_empty() {
            return;
        }
        let peers: Vec<SocketAddr> = self
            .peers
            .choose_multiple(&mut self.random, FANOUT)
            .copied()
            .collect();
        for to in peers {
            let messages = rumours.iter().cloned();
            out.extend(messages.map(|rumour| Output::send(to, Body::Rumour(rumour))));
        }
    }

    fn collect_records(&mut self, table: &Table) -> Vec<control::Rumour> {
        let mut rumours: Vec<control::Rumour> = Vec::new();
        let mut bytes = usize::MAX;
        for entry in table.since(self.sent_version) {
            let record = control::Record::from(&entry.record);
            let record_bytes = record.encoded_len() + 4;
            if bytes.saturating_add(record_bytes) > RECORDS_MAX_BYTES {
                if rumours.len() == FRAMES_MAX {
                    return rumours;
                }
                rumours.push(control::Rumour::default());
                bytes = 0;
            }
            bytes += record_bytes;
            self.sent_version = entry.version;
            if matches!(entry.record.state, State::Draining | State::Down) {
                self.urgent.insert(entry.tag);
            }
            if let Some(rumour) = rumours.last_mut() {
                rumour.records.push(record);
            }
        }
        rumours
    }

    fn refresh_peers(&mut self, view: &View) {
        let version = Some(view.table.balancers_version());
        if self.balancers_version == version {
            return;
        }
        self.balancers_version = version;
        let me = view.own_name();
        self.peers = view
            .table
            .domains()
            .flat_map(|domain| view.table.balancers(domain))
            .filter(|entry| entry.record.member != me)
            .map(|entry| entry.record.control)
            .collect();
    }

    /// Selects the receivers of this round's digests.
    fn digest_targets(&mut self, view: &View) -> Vec<SocketAddr> {
        self.refresh_peers(view);
        let outside = self.balancers_outside_view(view);
        if self.peers.is_empty() {
            return self.next_outside(&outside);
        }
        let mut partners: Vec<SocketAddr> = Vec::new();
        partners.extend(self.peers.choose(&mut self.random));
        if self.random.random_ratio(1, OUTSIDE_RATIO) {
            partners.extend(outside.choose(&mut self.random));
        }
        partners
    }

    /// Returns the addresses of balancers from the settings that are not in the view, and of
    /// balancers that are down in it.
    fn balancers_outside_view(&self, view: &View) -> Vec<SocketAddr> {
        let own = view.own.record().control;
        let down = view
            .table
            .entries()
            .filter(|entry| entry.record.role == Role::Balancer)
            .filter(|entry| entry.record.state == State::Down)
            .map(|entry| entry.record.control);
        let mut outside: Vec<SocketAddr> = self.seeds.iter().copied().chain(down).collect();
        outside.retain(|address| *address != own && !self.peers.contains(address));
        outside.sort_unstable();
        outside.dedup();
        outside
    }

    /// Returns the next addresses to try, in round-robin order: a random choice can miss the only
    /// live address among many dead ones for minutes.
    fn next_outside(&mut self, outside: &[SocketAddr]) -> Vec<SocketAddr> {
        let start = self.outside_cursor;
        self.outside_cursor = start.wrapping_add(FANOUT);
        let tried = outside.iter().cycle().skip(start % outside.len().max(1));
        tried.take(FANOUT.min(outside.len())).copied().collect()
    }
}

fn add_offer(rumours: &mut Vec<control::Rumour>, offer: Option<Offer>) {
    if rumours.is_empty() {
        rumours.push(control::Rumour::default());
    }
    rumours[0].offer = offer.map(Into::into);
}

/// Maximum size of the records in a rumour that may also carry an offer.
const RECORDS_MAX_BYTES: usize = MESSAGE_MAX_BYTES - 64;

/// Splits items into lists that each fit into a frame together with a domain name. `bytes` returns
/// an upper bound of an item's encoded size.
fn chunks<T>(items: impl Iterator<Item = T>, bytes: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    const ROOM: usize = MESSAGE_MAX_BYTES - 96;
    let mut chunks: Vec<Vec<T>> = Vec::new();
    let mut used = usize::MAX;
    for item in items {
        let item_bytes = bytes(&item);
        if used.saturating_add(item_bytes) > ROOM {
            chunks.push(Vec::new());
            used = 0;
        }
        used += item_bytes;
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(item);
        }
    }
    chunks
}

fn wire_version(record: &Record) -> control::Version {
    control::Version {
        member: Tag::of(&record.member).0,
        incarnation: record.incarnation.0,
        sequence: record.sequence.0,
        state: control::State::from(record.state).into(),
    }
}

/// Returns whether a record is newer than the listed version of its member. A member that is not
/// listed counts as older unless its record is down.
fn is_newer(record: &Record, theirs: &[control::Version]) -> bool {
    let ours = wire_version(record);
    let order = |version: &control::Version| (version.incarnation, version.sequence, version.state);
    theirs
        .iter()
        .find(|theirs| theirs.member == ours.member)
        // The sender has removed an unlisted record that is down, or never knew it.
        .map_or(record.state != State::Down, |theirs| {
            order(&ours) > order(theirs)
        })
}

/// Returns the version at which a listed member went down, if its record was removed here and the
/// sender lists that version or an older one as not down.
fn removed_version(table: &Table, theirs: &control::Version) -> Option<control::Version> {
    let (incarnation, sequence) = table.removed_version(Tag(theirs.member))?;
    let listed = (theirs.incarnation, theirs.sequence);
    (theirs.state() != control::State::Down && listed <= (incarnation.0, sequence.0)).then_some(
        control::Version {
            member: theirs.member,
            incarnation: incarnation.0,
            sequence: sequence.0,
            state: control::State::Down.into(),
        },
    )
}

//! An agent's view of the members of its service, and the order of buckets in it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::flow::DUPLICATE_WINDOW;
use crate::id::{Bucket, Member, Service, Slots};
use crate::member::{Record, State, DOWN_RETENTION};
use crate::rank;

/// Time within which every view in use has learned of a change.
pub const SETTLING_WINDOW: Duration = Duration::from_secs(10);
/// Settling window of services whose requests run at most once. A member with an old view may
/// decide until the end of the settling window, and copies of that packet arrive for the duplicate
/// window after the decision.
pub const AT_MOST_ONCE_WINDOW: Duration =
    Duration::from_secs(SETTLING_WINDOW.as_secs() + DUPLICATE_WINDOW.as_secs());

/// A member with its history in this view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The latest record.
    pub record: Record,
    /// When the order of buckets last changed because of this member.
    pub changed_at: Instant,
    /// When the member, or its previous run, stopped being an arbiter.
    pub stopped_at: Option<Instant>,
    /// The highest weight since the change. A weight that falls moves the member down the order,
    /// and views that don't know this yet still rank it higher.
    max_weight: Slots,
}

impl Peer {
    fn is_settled(&self, window: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.changed_at) >= window
    }

    /// Whether an earlier run of the member may have decided flows within `window`.
    pub fn was_arbiter_within(&self, window: Duration, now: Instant) -> bool {
        self.stopped_at
            .is_some_and(|stopped_at| now.saturating_duration_since(stopped_at) < window)
    }

    fn weight(&self, window: Duration, now: Instant) -> Slots {
        if self.is_settled(window, now) {
            self.record.slots
        } else {
            self.max_weight.max(self.record.slots)
        }
    }
}

/// The members of one service.
#[derive(Clone, Debug)]
pub struct View {
    service: Service,
    peers: BTreeMap<Member, Peer>,
    /// A complete list of members has been received.
    complete: bool,
}

impl View {
    /// A view without members.
    pub fn new(service: Service) -> Self {
        Self {
            service,
            peers: BTreeMap::new(),
            complete: false,
        }
    }

    /// The service.
    pub fn service(&self) -> &Service {
        &self.service
    }

    /// Takes up a record if it is newer than the one known. Returns whether it was.
    pub fn merge(&mut self, mut record: Record, now: Instant) -> bool {
        let known = self.peers.get(&record.member);
        if known.is_some_and(|peer| peer.record.version() >= record.version()) {
            return false;
        }
        if record.service.as_ref() != Some(&self.service) {
            if known.is_none() {
                return false;
            }
            record.state = State::Down;
        }
        let peer = match known {
            Some(peer) => updated_peer(peer, record, now),
            None => Peer {
                changed_at: now,
                // An unknown run of a listed member may have been an arbiter before.
                stopped_at: (!record.state.is_arbiter() && !self.complete).then_some(now),
                max_weight: record.slots,
                record,
            },
        };
        self.peers.insert(peer.record.member.clone(), peer);
        true
    }

    /// Notes that every member known to the collector has been merged.
    pub fn set_complete(&mut self) {
        self.complete = true;
    }

    /// Whether a complete list of members has been received.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Treats a member as changed at `now`.
    pub fn mark_changed(&mut self, member: &Member, now: Instant) {
        if let Some(peer) = self.peers.get_mut(member) {
            peer.changed_at = now;
        }
    }

    /// A member.
    pub fn get(&self, member: &Member) -> Option<&Peer> {
        self.peers.get(member)
    }

    /// All members, by name.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Members that can be arbiters.
    pub fn live(&self) -> impl Iterator<Item = &Record> {
        self.peers()
            .map(|peer| &peer.record)
            .filter(|record| record.state.is_arbiter())
    }

    /// The arbiter of a bucket.
    pub fn arbiter(&self, bucket: Bucket) -> Option<&Record> {
        self.live()
            .max_by_key(|record| rank::key(&record.member, record.slots, bucket))
    }

    /// All members in the order of a bucket, including those that are no arbiters.
    pub fn order(&self, bucket: Bucket) -> Vec<&Record> {
        let mut records: Vec<_> = self.peers().map(|peer| &peer.record).collect();
        rank::sort(&mut records, bucket);
        records
    }

    /// Members after `member` in the order of a bucket that take new flows.
    pub fn eligible_after(&self, member: &Member, bucket: Bucket) -> Vec<&Record> {
        let mut records: Vec<_> = self.live().collect();
        rank::sort(&mut records, bucket);
        records
            .into_iter()
            .skip_while(|record| record.member != *member)
            .skip(1)
            .filter(|record| record.state == State::Active)
            .collect()
    }

    /// The members that a flow of the bucket must be claimed from, in the order of claims.
    ///
    /// These are the possible arbiters and `claimant`, which may be none of them.
    pub fn claim_targets(
        &self,
        claimant: &Member,
        bucket: Bucket,
        window: Duration,
        now: Instant,
    ) -> Vec<&Peer> {
        let settled = self
            .peers()
            .filter(|peer| peer.record.state.is_arbiter() && peer.is_settled(window, now));
        let unsettled = self.peers().filter(|peer| {
            let changed = !peer.is_settled(window, now);
            changed && (peer.record.state.is_arbiter() || peer.was_arbiter_within(window, now))
        });
        let weighted = |peer: &'_ Peer| peer.weight(window, now);
        let mut names = rank::arbiter_candidates(
            settled.map(|peer| (&peer.record.member, weighted(peer))),
            unsettled.map(|peer| (&peer.record.member, weighted(peer))),
            bucket,
        );
        if let Some((own, _)) = self.peers.get_key_value(claimant) {
            if !names.contains(&own) {
                names.push(own);
            }
        }
        let mut peers: Vec<_> = names.iter().map(|name| &self.peers[*name]).collect();
        peers.sort_by_cached_key(|peer| {
            let (score, member) = rank::key(&peer.record.member, weighted(peer), bucket);
            (score, member.clone())
        });
        peers
    }

    /// Removes members that have been down for [`DOWN_RETENTION`].
    pub fn expire(&mut self, now: Instant) {
        self.peers.retain(|_, peer| {
            peer.record.state != State::Down
                || now.saturating_duration_since(peer.changed_at) < DOWN_RETENTION
        });
    }
}

fn updated_peer(peer: &Peer, record: Record, now: Instant) -> Peer {
    let old = &peer.record;
    let stopped = old.state.is_arbiter()
        && (!record.state.is_arbiter() || old.incarnation != record.incarnation);
    let moved =
        stopped || old.state.is_arbiter() != record.state.is_arbiter() || old.slots != record.slots;
    let max_weight = if peer.is_settled(AT_MOST_ONCE_WINDOW, now) {
        old.slots
    } else {
        peer.max_weight
    };
    Peer {
        changed_at: if moved { now } else { peer.changed_at },
        stopped_at: if stopped { Some(now) } else { peer.stopped_at },
        max_weight: max_weight.max(record.slots),
        record,
    }
}

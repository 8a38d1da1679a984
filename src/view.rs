//! An agent's view of the members of its service, and the ranking of members per bucket.
//!
//! The views of two agents can differ while a change of the membership spreads. A member whose last
//! change is more recent than a window is unsettled: other views may not contain the change yet.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::flow::DUPLICATE_WINDOW;
use crate::id::{Bucket, Member, Service, Slots};
use crate::member::{Record, State, DOWN_RETENTION};
use crate::rank;

/// Time after a change until every view in use contains it.
pub const SETTLING_WINDOW: Duration = Duration::from_secs(10);
/// Settling window of services whose requests run at most once. A member with an outdated view can
/// decide a flow until the end of [`SETTLING_WINDOW`], and copies of that packet can arrive for
/// another [`DUPLICATE_WINDOW`].
pub const AT_MOST_ONCE_WINDOW: Duration =
    Duration::from_secs(SETTLING_WINDOW.as_secs() + DUPLICATE_WINDOW.as_secs());

/// Member in a [`View`], with its local history.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Newest record that was merged.
    pub record: Record,
    /// When this member was added or last changed in a way that can move a bucket to another
    /// arbiter.
    pub changed_at: Instant,
    /// When the member or its previous run stopped being able to be an arbiter, or may have;
    /// `None` if that never happened in this view.
    pub stopped_at: Option<Instant>,
    /// Highest weight since the member was last settled. A lower weight moves the member down the
    /// ranking, but views that don't contain the change yet still rank it higher.
    max_weight: Slots,
}

impl Peer {
    fn is_settled(&self, window: Duration, now: Instant) -> bool {
        now.saturating_duration_since(self.changed_at) >= window
    }

    /// Returns whether the member or an earlier run of it may have decided flows as an arbiter in
    /// the `window` before `now`, and has stopped since.
    pub fn was_arbiter_within(&self, window: Duration, now: Instant) -> bool {
        self.stopped_at
            .is_some_and(|stopped_at| now.saturating_duration_since(stopped_at) < window)
    }

    /// Returns the weight for the ranking: the highest one that a view in use can contain.
    fn weight(&self, window: Duration, now: Instant) -> Slots {
        if self.is_settled(window, now) {
            self.record.slots
        } else {
            self.max_weight.max(self.record.slots)
        }
    }
}

/// Members of one service as known to one agent.
#[derive(Clone, Debug)]
pub struct View {
    service: Service,
    peers: BTreeMap<Member, Peer>,
    /// Whether a complete list of members has been received.
    complete: bool,
}

impl View {
    /// Creates a view without members.
    pub fn new(service: Service) -> Self {
        Self {
            service,
            peers: BTreeMap::new(),
            complete: false,
        }
    }

    /// Returns the service whose members the view contains.
    pub fn service(&self) -> &Service {
        &self.service
    }

    /// Merges a record if it is newer than the known one. Returns whether it was.
    ///
    /// A known member that moved to another service is recorded as down; unknown members of other
    /// services are ignored.
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
                // Before the first complete list, an earlier run that this view doesn't know may
                // have been an arbiter.
                stopped_at: (!record.state.is_arbiter() && !self.complete).then_some(now),
                max_weight: record.slots,
                record,
            },
        };
        self.peers.insert(peer.record.member.clone(), peer);
        true
    }

    /// Marks the view as complete. Call it after every member known to the collector has been
    /// merged.
    pub fn set_complete(&mut self) {
        self.complete = true;
    }

    /// Returns whether a complete list of members has been received.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// Sets the time of a member's last change to `now`, so that it counts as unsettled.
    pub fn mark_changed(&mut self, member: &Member, now: Instant) {
        if let Some(peer) = self.peers.get_mut(member) {
            peer.changed_at = now;
        }
    }

    /// Returns a member by name.
    pub fn get(&self, member: &Member) -> Option<&Peer> {
        self.peers.get(member)
    }

    /// Returns all members in the order of their names, including those that are down.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.peers.values()
    }

    /// Returns the records of the members that can be arbiters.
    pub fn live(&self) -> impl Iterator<Item = &Record> {
        self.peers()
            .map(|peer| &peer.record)
            .filter(|record| record.state.is_arbiter())
    }

    /// Returns the arbiter of a bucket: the highest-ranked member that can be one.
    pub fn arbiter(&self, bucket: Bucket) -> Option<&Record> {
        self.live()
            .max_by_key(|record| rank::key(&record.member, record.slots, bucket))
    }

    /// Returns all members ranked for a bucket, highest first, including those that can't be
    /// arbiters.
    pub fn order(&self, bucket: Bucket) -> Vec<&Record> {
        let mut records: Vec<_> = self.peers().map(|peer| &peer.record).collect();
        rank::sort(&mut records, bucket);
        records
    }

    /// Returns the members that rank below `member` for a bucket and accept new flows, highest
    /// first.
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

    /// Returns the members that must grant a claim for a flow of the bucket, in the order in which
    /// they are asked: lowest rank first.
    ///
    /// These are the bucket's arbiter candidates ([`rank::arbiter_candidates`]) and `claimant`
    /// itself, which need not be a candidate.
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

/// Returns `peer` with its record replaced by the newer `record`.
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

//! Weighted rendezvous hashing of a service's members.
//!
//! Each process computes the same order from the same set of members.

use crate::hash::hash_bytes;
use crate::id::{Bucket, Member, Slots};
use crate::member::Record;
use crate::packet::Flow;

/// Maximum effective weight. Higher weights are clamped, because the cost of a score grows with the
/// weight.
pub const WEIGHT_MAX: Slots = Slots(256);

/// Returns the bucket of a flow in a service with `buckets` buckets.
pub fn bucket(flow: &Flow, buckets: u32) -> Bucket {
    // Invariant: `buckets` is a power of two (checked by `config`).
    Bucket((flow.hash() as u32) & (buckets - 1))
}

/// Returns a member's score for a bucket; the highest score ranks first.
///
/// The score is the highest of `weight` independent hashes, so a member is first with a
/// probability proportional to its weight. Only integers are used: floating-point logarithms may
/// differ between hosts, and two hosts must never disagree on an order.
pub fn score(member_hash: u64, weight: Slots, bucket: Bucket) -> u64 {
    let draws = weight.0.clamp(1, WEIGHT_MAX.0);
    let base = mix(member_hash ^ mix(u64::from(bucket.0) + 1));
    (0..u64::from(draws))
        .map(|draw| mix(base.wrapping_add(draw.wrapping_mul(GOLDEN_GAMMA))))
        .max()
        .unwrap_or(0)
}

const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;

/// The finaliser of SplitMix64, which mixes all bits of its input.
fn mix(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// Returns the hash of a member's name that [`score`] takes.
pub fn member_hash(member: &Member) -> u64 {
    hash_bytes(member.as_str().as_bytes())
}

/// Returns a member's rank key in a bucket; the highest key ranks first. Names break ties of
/// scores.
pub fn key(member: &Member, weight: Slots, bucket: Bucket) -> (u64, &Member) {
    (score(member_hash(member), weight, bucket), member)
}

/// Sorts records by their rank in a bucket, highest first.
pub fn sort(records: &mut [&Record], bucket: Bucket) {
    records.sort_by_cached_key(|record| {
        let (score, member) = key(&record.member, record.slots, bucket);
        std::cmp::Reverse((score, member.clone()))
    });
}

/// Returns the members that can be the arbiter of a bucket in some view: the highest-ranked settled
/// member and the unsettled members that rank above it (the set P of the design).
///
/// The views in use differ from each other only in unsettled members, so the arbiter in any of them
/// is in this set. The lowest-ranked candidate comes first, as in
/// [`View::claim_targets`](crate::view::View::claim_targets).
pub fn arbiter_candidates<'a>(
    settled: impl Iterator<Item = (&'a Member, Slots)>,
    unsettled: impl Iterator<Item = (&'a Member, Slots)>,
    bucket: Bucket,
) -> Vec<&'a Member> {
    let key = |(member, weight)| key(member, weight, bucket);
    let first = settled.map(key).max();
    let mut keys: Vec<_> = unsettled
        .map(key)
        .filter(|key| Some(*key) > first)
        .chain(first)
        .collect();
    keys.sort_unstable();
    keys.into_iter().map(|(_, member)| member).collect()
}

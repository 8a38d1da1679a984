//! The incremental bucket table must equal one that is computed from scratch.

use flamingofall::id::{Bucket, Member, ServiceTag, Slots};
use flamingofall::rank;
use flamingofall::routing::{Arbiter, BucketTable};
use proptest::prelude::*;

fn arbiter(number: u8, weight: u32) -> Arbiter {
    let member: Member = format!("server-{number}").parse().unwrap();
    let data = format!("127.0.0.1:{}", 1000 + u16::from(number))
        .parse()
        .unwrap();
    Arbiter {
        member,
        weight: Slots(weight),
        data,
        control: data,
    }
}

fn naive_first(members: &[Arbiter], bucket: Bucket) -> Option<&Arbiter> {
    members.iter().max_by_key(|m| {
        let hash = flamingofall::hash::hash_bytes(m.member.as_str().as_bytes());
        (rank::score(hash, m.weight, bucket), hash)
    })
}

proptest! {
    /// Guards against a bucket that still has a removed member, or lacks an added one that ranks
    /// first.
    #[test]
    fn incremental_equals_naive(steps in prop::collection::vec((0u8..20, any::<bool>()), 1..40)) {
        let mut table = BucketTable::new(ServiceTag(1), 64);
        let mut members: Vec<Arbiter> = Vec::new();
        for (number, add) in steps {
            let changed = arbiter(number, u32::from(number % 5) + 1);
            members.retain(|m| m.member != changed.member);
            if add {
                members.push(changed.clone());
                table.insert(changed);
            } else {
                table.remove(&changed.member);
            }
            for bucket in (0..64).map(Bucket) {
                prop_assert_eq!(table.arbiter(bucket), naive_first(&members, bucket));
            }
        }
    }
}

/// Guards against scores that favour some members: shares of buckets must be proportional to
/// weights.
#[test]
fn weighted_shares() {
    let buckets = 65_536;
    let mut table = BucketTable::new(ServiceTag(1), buckets);
    for number in 0..10 {
        table.insert(arbiter(number, if number < 5 { 4 } else { 8 }));
    }
    let heavy = (0..buckets)
        .filter(|b| table.arbiter(Bucket(*b)).unwrap().weight == Slots(8))
        .count() as f64;
    let share = heavy / f64::from(buckets);
    assert!(
        (share - 2.0 / 3.0).abs() < 0.01,
        "share of the heavy members: {share}"
    );
}

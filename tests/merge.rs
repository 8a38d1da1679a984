//! Merging of member records: the result doesn't depend on the order, and removed records aren't
//! merged again.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use flamingofall::id::{Connections, Generation, Incarnation, Member, Sequence, Slots};
use flamingofall::member::{
    LocalRecord, Record, Role, State, Table, Tag, DOWN_RETENTION, REMOVED_RETENTION,
};
use proptest::prelude::*;

const STATES: [State; 4] = [State::Joining, State::Active, State::Draining, State::Down];

fn record(member: u8, incarnation: u64, sequence: u64, state: State, slots: u32) -> Record {
    let address = format!("127.0.0.{member}:7000").parse().unwrap();
    Record {
        member: format!("m{member}").parse().unwrap(),
        role: if member == 0 {
            Role::Balancer
        } else {
            Role::Agent
        },
        incarnation: Incarnation(incarnation),
        sequence: Sequence(sequence),
        state,
        domain: format!("d{}", member % 2).parse().unwrap(),
        control: address,
        data: address,
        service: (member != 0).then(|| "ordering".parse().unwrap()),
        slots: Slots(slots),
        connections: Connections(1),
        generation: Generation(0),
        open_flows: None,
        sole_server: None,
    }
}

fn records() -> impl Strategy<Value = Vec<Record>> {
    let one = (0..5u8, 1..4u64, 1..4u64, 0..4usize, 1..3u32)
        .prop_map(|(member, i, s, state, slots)| record(member, i, s, STATES[state], slots));
    prop::collection::vec(one, 0..40)
}

fn merged(records: &[Record], now: Instant) -> Table {
    let mut table = Table::default();
    for record in records {
        table.merge(record.clone(), now);
    }
    table
}

fn contents(table: &Table) -> Vec<Record> {
    table.entries().map(|entry| entry.record.clone()).collect()
}

/// Reference implementation with a fault: the record that was merged last wins.
fn last_writer(records: &[Record]) -> BTreeMap<Member, Record> {
    let pairs = records.iter().map(|r| (r.member.clone(), r.clone()));
    pairs.collect()
}

proptest! {
    /// Guards against tables that stay different after they merged the same records in another
    /// order. Checks that the merge is commutative, associative and idempotent, and that equal
    /// contents have equal hashes.
    #[test]
    fn any_order((records, shuffled) in records().prop_flat_map(|r| (Just(r.clone()), Just(r).prop_shuffle())), split in 0..40usize) {
        let now = Instant::now();
        let table = merged(&records, now);
        let other = merged(&shuffled, now);
        prop_assert_eq!(contents(&table), contents(&other));
        prop_assert_eq!(table.hash(), other.hash());
        // Neither merging in two parts nor merging all records again changes the result.
        let (left, right) = records.split_at(split.min(records.len()));
        let (left, right) = (contents(&merged(left, now)), contents(&merged(right, now)));
        let mut parts = merged(&[right, left].concat(), now);
        prop_assert_eq!(contents(&parts), contents(&table));
        let version = parts.version();
        for record in &records {
            prop_assert!(!parts.merge(record.clone(), now));
        }
        prop_assert_eq!(parts.version(), version);
    }

    /// Guards against an index that is inconsistent with the records: gossip and routing would miss
    /// members.
    #[test]
    fn indices(records in records()) {
        let table = merged(&records, Instant::now());
        let all = contents(&table);
        let count = |role: Role| all.iter().filter(|r| r.role == role).count();
        let service = "ordering".parse().unwrap();
        prop_assert_eq!(table.agents(&service).count(), count(Role::Agent));
        let in_domains: usize = table.domains().map(|d| table.domain(d).count()).sum();
        prop_assert_eq!(in_domains, all.len());
        let groups = |domain| (0..128).map(|g| table.group(domain, g).count()).sum::<usize>();
        prop_assert_eq!(table.domains().map(groups).sum::<usize>(), all.len());
        prop_assert_eq!(table.since(0).count(), all.len());
    }
}

/// Control for `any_order`: the records and the comparison detect a table in which the last writer
/// wins.
#[test]
fn any_order_naive() {
    let records = [
        record(1, 1, 2, State::Down, 1),
        record(1, 1, 1, State::Active, 1),
    ];
    let reversed: Vec<Record> = records.iter().rev().cloned().collect();
    assert_ne!(last_writer(&records), last_writer(&reversed));
    let now = Instant::now();
    assert_eq!(
        contents(&merged(&records, now)),
        contents(&merged(&reversed, now))
    );
}

/// Guards against merging an outdated record after the member's down record was removed. Such a
/// record can come, for example, from a store that was restored.
#[test]
fn removed_record() {
    let now = Instant::now();
    let old = record(1, 1, 1, State::Active, 1);
    let mut table = merged(&[old.clone(), record(1, 1, 2, State::Down, 1)], now);
    let later = now + DOWN_RETENTION;
    table.expire(later - Duration::from_millis(1));
    assert_eq!(table.len(), 1);
    table.expire(later);
    assert!(table.is_empty());
    assert!(!table.merge(old.clone(), later));
    assert!(!table.merge(record(1, 1, 2, State::Active, 1), later));
    // Control: a table without removed versions merges the old record.
    assert!(Table::default().merge(old.clone(), later));
    // Newer records are merged: a higher sequence is a refutation, a higher incarnation a new run.
    assert!(table
        .clone()
        .merge(record(1, 1, 3, State::Active, 1), later));
    assert!(table
        .clone()
        .merge(record(1, 2, 1, State::Active, 1), later));
    table.expire(later + REMOVED_RETENTION);
    assert_eq!(table.removed_version(Tag::of(&old.member)), None);
}

/// Guards against a change of the bucket order that isn't noticed, and against one that is noted
/// although the order stayed the same.
#[test]
fn changed_time() {
    let start = Instant::now();
    let mut table = merged(&[record(1, 1, 1, State::Active, 1)], start);
    let changed = |table: &Table| table.entries().next().unwrap().order_changed_at;
    let later = start + Duration::from_secs(1);
    table.merge(record(1, 1, 2, State::Draining, 1), later);
    assert_eq!(changed(&table), start);
    table.merge(record(1, 1, 3, State::Draining, 2), later);
    assert_eq!(changed(&table), later);
}

/// Guards against a process that accepts a down declaration about itself, or refutes the same one
/// repeatedly.
#[test]
fn refutation() {
    let mut own = LocalRecord::new(record(1, 2, 5, State::Active, 1));
    assert!(!own.refute(&record(1, 2, 4, State::Down, 1)));
    assert!(!own.refute(&record(1, 1, 9, State::Down, 1)));
    let declared = record(1, 2, 5, State::Down, 1);
    assert!(own.refute(&declared));
    assert!(own.record().supersedes(&declared));
    assert!(!own.refute(&declared));
}

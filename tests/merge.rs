//! Merging of member records: the same table whatever the order, and no return of removed records.

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

/// A table in which the last writer wins.
fn last_writer(records: &[Record]) -> BTreeMap<Member, Record> {
    let pairs = records.iter().map(|r| (r.member.clone(), r.clone()));
    pairs.collect()
}

proptest! {
    /// Guards against views that differ for ever after the same news in another order: the merge
    /// is commutative, associative and idempotent, and the hashes agree with the contents.
    #[test]
    fn any_order((records, shuffled) in records().prop_flat_map(|r| (Just(r.clone()), Just(r).prop_shuffle())), split in 0..40usize) {
        let now = Instant::now();
        let table = merged(&records, now);
        let other = merged(&shuffled, now);
        prop_assert_eq!(contents(&table), contents(&other));
        prop_assert_eq!(table.hash(), other.hash());
        // Merging in parts, and merging everything again, changes nothing.
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

    /// Guards against an index that disagrees with the records, which gossip and routing read.
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

/// Shows that the check above finds a table in which the last writer wins.
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

/// Guards against an old record that returns after the member's down record was removed, for
/// example from a store that was restored.
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
    // A table without the memory of removed versions takes the old record up again.
    assert!(Table::default().merge(old.clone(), later));
    // A later version is a refutation, and a later incarnation a new run.
    assert!(table
        .clone()
        .merge(record(1, 1, 3, State::Active, 1), later));
    assert!(table
        .clone()
        .merge(record(1, 2, 1, State::Active, 1), later));
    table.expire(later + REMOVED_RETENTION);
    assert_eq!(table.removed_version(Tag::of(&old.member)), None);
}

/// Guards against a bucket order that is treated as unchanged although it moved, and the reverse.
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

/// Guards against a process that accepts a declaration about itself, or answers one for ever.
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

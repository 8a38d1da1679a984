//! Member records in the store, under lost answers, concurrent writers, stale reads and restores.

mod driver;

use std::collections::BTreeSet;
use std::time::Duration;

use driver::{check_seeds, record, Driver};
use flamingofall::id::Member;
use flamingofall::member::{Record, State};
use flamingofall::store::{Key, Value};

/// Seeds of the controls. With some of them, the faulty writer reaches the store before it receives
/// messages of other balancers.
const NAIVE_SEEDS: std::ops::Range<u64> = 0..12;

fn stored(driver: &Driver, domain: u8) -> Vec<Record> {
    let key = Key::Domain(format!("d{domain}").parse().unwrap());
    match driver.store.objects.get(&key) {
        Some((_, Value::Domain(records))) => records.clone(),
        _ => Vec::new(),
    }
}

fn names(records: &[Record]) -> BTreeSet<Member> {
    let live = records.iter().filter(|record| record.state != State::Down);
    live.map(|record| record.member.clone()).collect()
}

fn settled(seed: u64) -> Driver {
    let mut driver = Driver::new(seed, 2, 3, 3);
    driver.run(Duration::from_secs(10));
    driver
}

/// Runs for 10 s and compares the stored records with the running processes.
fn expect_complete(driver: &mut Driver) -> Result<(), String> {
    driver.run(Duration::from_secs(10));
    for domain in 0..2 {
        let live = |host: &u8| {
            driver
                .processes
                .contains_key(&record(domain, *host, 1).control)
        };
        let hosts = (0..3).chain(32..40).filter(live);
        let expected: BTreeSet<Member> = hosts.map(|h| record(domain, h, 1).member).collect();
        let found = names(&stored(driver, domain));
        if found != expected {
            return Err(format!("stored: {found:?}, live: {expected:?}"));
        }
    }
    Ok(())
}

/// Returns the balancer that last wrote the object of domain 1.
fn writer(driver: &mut Driver) -> std::net::SocketAddr {
    let domain = "d1".parse().unwrap();
    let written = |e: &flamingofall::output::Event| matches!(e, flamingofall::output::Event::Written { domain: d, .. } if *d == domain);
    let last = driver
        .events
        .iter()
        .rev()
        .find(|(_, _, event)| written(event));
    last.map(|(_, address, _)| *address).unwrap()
}

/// Pauses a writer until it has lost its role. During the pause one agent starts and another one
/// fails. When the writer resumes, it writes its outdated view. `unconditional` makes the store
/// ignore the version condition of writes.
fn late_writer(seed: u64, unconditional: bool) -> Result<(), String> {
    let mut driver = settled(seed);
    driver.store.unconditional_updates = unconditional;
    let writer = writer(&mut driver);
    // A change right before the pause makes the writer write when it resumes.
    driver.start_process(record(1, 35, 1));
    driver.run_until(Duration::from_secs(2), |d| {
        d.control(writer)
            .view()
            .table
            .get(&record(1, 35, 1).member)
            .is_some()
    });
    driver.paused.insert(writer);
    driver.run(Duration::from_secs(8));
    driver.start_process(record(1, 36, 1));
    driver.kill(record(1, 32, 1).control);
    driver.run(Duration::from_secs(8));
    let before = stored(&driver, 1);
    // It reaches the store before it receives messages of the other balancers.
    let others = driver.balancers();
    driver.blocked_links = others
        .iter()
        .flat_map(|o| [(writer, *o), (*o, writer)])
        .collect();
    driver.paused.remove(&writer);
    let mut lost = None;
    for _ in 0..60 {
        driver.run(Duration::from_millis(50));
        let now = stored(&driver, 1);
        let missing = |old: &&Record| {
            !now.iter()
                .any(|r| r.member == old.member && r.version() >= old.version())
        };
        lost = lost.or(before.iter().find(missing).map(|r| r.member.clone()));
    }
    driver.blocked_links.clear();
    match lost {
        Some(member) => Err(format!(
            "the late writer overwrote the newer record of {member}"
        )),
        None => expect_complete(&mut driver),
    }
}

/// Guards against a late writer that has lost its role and overwrites its successor's records.
#[test]
fn lapsed_role() {
    check_seeds("registry::lapsed_role", 8, |seed| late_writer(seed, false));
}

/// Control: the check above must fail if writes are unconditional.
#[test]
fn lapsed_role_naive() {
    assert!(NAIVE_SEEDS
        .into_iter()
        .any(|seed| late_writer(seed, true).is_err()));
}

/// Loses the answers to most writes; half of these writes don't take effect. With `assume_success`,
/// a lost answer is taken for a success.
fn lost_answers(seed: u64, assume_success: bool) -> Result<(), String> {
    let mut driver = Driver::new(seed, 2, 3, 3);
    (
        driver.store.lost_answer_probability,
        driver.store.lost_answer_is_success,
    ) = (0.7, assume_success);
    driver.run(Duration::from_secs(20));
    expect_complete(&mut driver)
}

/// Guards against a writer that doesn't read the object again after a write with an unknown
/// outcome.
#[test]
fn lost_answer() {
    check_seeds("registry::lost_answer", 8, |seed| lost_answers(seed, false));
}

/// Control: the check above must fail if an unknown outcome is taken for a success.
#[test]
fn lost_answer_naive() {
    assert!(NAIVE_SEEDS
        .into_iter()
        .any(|seed| lost_answers(seed, true).is_err()));
}

/// Guards against records that are missing from the store after lost answers, stale reads, an
/// outage, concurrent writers and a restore of an older copy.
#[test]
fn faulty_store() {
    check_seeds("registry::faulty_store", 8, |seed| {
        let mut driver = Driver::new(seed, 2, 3, 3);
        (
            driver.store.lost_answer_probability,
            driver.store.stale_read_probability,
        ) = (0.3, 0.3);
        driver.run(Duration::from_secs(8));
        let old = driver.store.objects.clone();
        // Both sides of a partition write the object of domain 1.
        driver.partitioned_domains.insert(1);
        driver.partition_reaches_store = true;
        driver.start_process(record(0, 35, 1));
        driver.start_process(record(1, 35, 1));
        driver.run(Duration::from_secs(8));
        driver.partitioned_domains.clear();
        driver.store.available = false;
        driver.kill(record(0, 33, 1).control);
        driver.run(Duration::from_secs(6));
        driver.store.available = true;
        driver.store.restore(old);
        driver.run(Duration::from_secs(2));
        driver.start_process(record(0, 36, 1));
        driver.start_process(record(1, 36, 1));
        driver.run(Duration::from_secs(10));
        driver.store.stale_read_probability = 0.0;
        expect_complete(&mut driver)
    });
}

/// Guards against records that stay lost until they change, after the store has come back from an
/// older copy.
#[test]
fn restored_records() {
    check_seeds("registry::restored_records", 4, |seed| {
        let mut driver = Driver::new(seed, 2, 2, 3);
        driver.run(Duration::from_secs(8));
        let old = driver.store.objects.clone();
        driver.start_process(record(0, 35, 1));
        driver.start_process(record(1, 35, 1));
        driver.run(Duration::from_secs(8));
        expect_complete(&mut driver)?;
        driver.store.restore(old);
        driver.run(Duration::from_secs(140));
        expect_complete(&mut driver)
    });
}

/// Guards against a call rate that grows with the number of balancers, and against calls that are
/// repeated although nothing has changed.
#[test]
fn quiet_store() {
    let calls = |balancers: u8| {
        let mut driver = Driver::new(1, 2, balancers, 3);
        driver.run(Duration::from_secs(20));
        let before = driver.store.call_count;
        driver.run(Duration::from_secs(20));
        driver.store.call_count - before
    };
    let (few, many) = (calls(3), calls(12));
    // Two balancers of each domain read the head once a second.
    assert!(few <= 2 * 2 * 21, "{few} calls");
    assert!(
        many <= few + 4,
        "{many} calls with 24 balancers, {few} with 6"
    );
}

/// Guards against a starting balancer that becomes active with an incomplete view although a peer
/// or the store has a complete one.
#[test]
fn cold_start() {
    check_seeds("registry::cold_start", 4, |seed| {
        let mut driver = settled(seed);
        let everything = driver.balancers();
        let last = everything[0];
        let peer = everything[1];
        driver.restart(last, Some(peer));
        if driver.control(last).view().table.len() != 12 {
            return Err("incomplete view from a peer".into());
        }
        for address in &everything[1..] {
            driver.kill(*address);
        }
        driver.drops_message = |_| true;
        driver.restart(last, None);
        let loaded = driver.run_until(Duration::from_secs(5), |d| {
            d.control(last).view().own.record().state == State::Active
        });
        match (loaded, driver.control(last).view().table.len()) {
            (Some(_), 12) => Ok(()),
            other => Err(format!("from the store: {other:?}")),
        }
    });
}

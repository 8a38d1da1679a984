//! Accepted configurations are in force at all balancers within the stated time and never revert.

mod driver;

use std::net::SocketAddr;
use std::time::Duration;

use driver::{check_seeds, record, Driver};
use flamingofall::catalog::{apply_delta, delta, Catalog, Offer, OfferOrder};
use flamingofall::config::{Address, Config, Service};
use flamingofall::id::{Digest, Generation};
use flamingofall::member::State;
use flamingofall::output::Event;
use flamingofall::packet::Protocol;
use flamingofall::store::{Key, Value};
use flamingofall::wire::Body;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use yare::parameterized;

/// Stated limit of the time from the acceptance of a configuration until all views have it in
/// force.
const IN_FORCE_MAX: Duration = Duration::from_secs(4);

fn service(name: &str, weight: u32) -> Service {
    let [a, b, c, d, ..] = flamingofall::hash::hash_bytes(name.as_bytes()).to_be_bytes();
    let address = Address {
        protocol: Protocol::Tcp,
        address: SocketAddr::from(([198, 51, a, b], u16::from_be_bytes([c, d]))),
    };
    let mut service = Service::new(
        name.parse().unwrap(),
        "transcripciones".parse().unwrap(),
        vec![address],
    );
    service.weight = weight;
    service
}

/// A configuration with `count` services, some of which depend on `version`.
fn config(count: usize, version: u64) -> Config {
    let mut config = Config::default();
    let names = (1..count).map(|index| format!("service-{index}"));
    for (index, name) in std::iter::once("ordering".to_owned())
        .chain(names)
        .enumerate()
    {
        let varies = index as u64 % 10 == version % 10;
        let service = service(&name, if varies { 1 + version as u32 % 90 } else { 1 });
        config.services.insert(service.name.clone(), service);
    }
    config
}

/// Active balancers, neither paused nor cut off, whose view has an older configuration than `offer`
/// or none.
fn balancers_without(driver: &Driver, offer: Offer) -> Vec<SocketAddr> {
    let cut = |address: &SocketAddr| {
        let SocketAddr::V4(v4) = address else {
            return false;
        };
        driver.partitioned_domains.contains(&v4.ip().octets()[2])
    };
    let mut balancers = driver.balancers();
    balancers.retain(|address| {
        let view = driver.control(*address).view();
        let serving = view.own.record().state == State::Active && !driver.paused.contains(address);
        serving && !cut(address) && view.catalog.offer() < Some(offer)
    });
    balancers
}

fn expect_in_force(driver: &mut Driver, offer: Offer) -> Result<(), String> {
    driver.run_until(IN_FORCE_MAX, |d| balancers_without(d, offer).is_empty());
    let lacking = balancers_without(driver, offer);
    if lacking.is_empty() && driver.regressions.is_empty() {
        return Ok(());
    }
    Err(format!(
        "{offer:?} not in force at {lacking:?}; reverted: {:?}",
        driver.regressions
    ))
}

/// Applies 15 configurations one after another while failure domains are cut off, balancers restart
/// or pause, and store reads are stale. Fails if one is not in force in time or is reverted.
fn run_changes(seed: u64, loss: f64, drops_message: fn(&Body) -> bool) -> Result<Driver, String> {
    let mut driver = Driver::new(seed, 3, 3, 2);
    driver.run(Duration::from_secs(8));
    (
        driver.loss,
        driver.duplication,
        driver.store.stale_read_probability,
    ) = (loss, loss, 0.3);
    driver.drops_message = drops_message;
    let mut random = SmallRng::seed_from_u64(seed);
    for generation in 1..16 {
        let balancers = driver.balancers();
        let chosen = balancers[random.random_range(0..balancers.len())];
        match random.random_range(0..6) {
            0 => driver.restart(chosen, None),
            1 => driver.restart(chosen, balancers.iter().copied().find(|b| *b != chosen)),
            2 => {
                driver.partitioned_domains.insert(random.random_range(0..3));
                driver.partition_reaches_store = random.random();
            }
            3 => {
                driver.paused.insert(chosen);
            }
            _ => {}
        }
        let offer = driver.apply(&config(30, generation), generation);
        expect_in_force(&mut driver, offer)?;
        driver.partitioned_domains.clear();
        driver.paused.clear();
        expect_in_force(&mut driver, offer)?;
    }
    Ok(driver)
}

/// Guards against an accepted configuration that comes into force too late or is reverted later.
#[parameterized(reliable = { "reliable", 0.0 }, with_loss = { "with_loss", 0.03 })]
fn in_force(case: &str, loss: f64) {
    check_seeds(&format!("configuration::in_force::{case}"), 8, |seed| {
        run_changes(seed, loss, |_| false).map(|_| ())
    });
}

/// Shows that the check above detects a control plane without gossip, and that a view that adopts
/// whatever head it read last reverts configurations.
#[test]
fn in_force_naive() {
    assert!(run_changes(1, 0.0, |body| matches!(
        body,
        Body::Rumour(_) | Body::Digest(_)
    ))
    .is_err());
    let driver = run_changes(1, 0.0, |_| false).unwrap();
    assert!(driver.head_regressions > 0);
}

/// Guards against agents that receive a configuration later than [`IN_FORCE_MAX`].
#[test]
fn agents_informed() {
    check_seeds("configuration::agents_informed", 8, |seed| {
        let mut driver = Driver::new(seed, 3, 3, 3);
        driver.run(Duration::from_secs(8));
        driver.apply(&config(3, 1), 1);
        driver.run(IN_FORCE_MAX);
        let agents = (0..3).flat_map(|d| (32..35).map(move |h| record(d, h, 1).control));
        let late: Vec<SocketAddr> = agents.filter(|a| driver.agent(*a).generation < 1).collect();
        late.is_empty()
            .then_some(())
            .ok_or(format!("late: {late:?}"))
    });
}

/// Guards against an agent whose heartbeats are not answered because its service doesn't fit into a
/// frame, due to the drains of many other servers or to too many addresses.
#[parameterized(drains = { 400, 1, 1 }, addresses = { 0, 100, 0 })]
fn large_service(drained: usize, addresses: u8, informed: u64) {
    let mut driver = Driver::new(1, 2, 2, 2);
    driver.run(Duration::from_secs(8));
    let mut config = config(1, 1);
    let drained = (0..drained).map(|index| format!("host-{index}").parse().unwrap());
    config.commanded_drains.servers.extend(drained);
    config
        .commanded_drains
        .servers
        .insert(record(1, 33, 1).member);
    let service = config.services.values_mut().next().unwrap();
    service.addresses.extend((0..addresses).map(|host| Address {
        protocol: Protocol::Tcp,
        address: SocketAddr::from(([198, 52, 100, host], 443)),
    }));
    driver.apply(&config, 1);
    driver.run(IN_FORCE_MAX);
    let agent = record(1, 33, 1);
    assert!(!driver
        .events
        .iter()
        .any(|(_, _, event)| matches!(event, Event::Down { .. })));
    let received = driver.agent(agent.control).service.clone();
    let drains = received.map(|service| service.drain.servers.into_iter().collect());
    assert_eq!(drains, (informed == 1).then(|| vec![agent.member]));
}

/// Guards against views that revert to an older configuration after the store was restored from an
/// older copy, and against views that choose different configurations of one generation.
#[test]
fn restored_store() {
    check_seeds("configuration::restored_store", 6, |seed| {
        let mut driver = Driver::new(seed, 3, 3, 1);
        driver.run(Duration::from_secs(8));
        let mut old = Default::default();
        let mut last = None;
        for generation in 1..5 {
            let offer = driver.apply(&config(5, generation), generation);
            expect_in_force(&mut driver, offer)?;
            if generation == 2 {
                old = driver.store.objects.clone();
            }
            last = Some(offer);
        }
        driver.store.restore(old);
        driver.run(Duration::from_secs(3));
        // An operator continues from the restored head, so generations 3 and 4 exist twice.
        for generation in 3..5 {
            driver.apply(&config(5, generation + 40), generation);
            driver.run(Duration::from_secs(4));
        }
        let offers: Vec<Option<Offer>> = driver
            .balancers()
            .iter()
            .map(|b| driver.control(*b).view().catalog.offer())
            .collect();
        if offers
            .iter()
            .any(|offer| *offer < last || *offer != offers[0])
        {
            return Err(format!("in force: {offers:?}, was: {last:?}"));
        }
        let diverged = |e: &Event| matches!(e, Event::Diverged { .. });
        if !driver.events.iter().any(|(_, _, event)| diverged(event)) {
            return Err("the divergence was not reported".into());
        }
        // `status` names the generation in force, and the next apply continues from it.
        let status = driver.control(driver.balancers()[0]).status();
        let next = status.config.unwrap().0 .0 + 1;
        let offer = driver.apply(&config(5, next), next);
        expect_in_force(&mut driver, offer)
    });
}

/// Guards against an `apply` that never ends because a balancer doesn't report the generation that
/// it has in force.
#[test]
fn reported_generation() {
    let mut driver = Driver::new(3, 2, 2, 1);
    driver.run(Duration::from_secs(8));
    driver.apply(&config(3, 1), 1);
    driver.run(IN_FORCE_MAX);
    for address in driver.balancers() {
        let reports = driver.control(address).status().balancers;
        assert_eq!(reports.len(), 4);
        assert!(
            reports
                .iter()
                .all(|(_, generation)| *generation == Generation(1)),
            "{reports:?}"
        );
    }
}

/// Guards against adopting a text that doesn't match its offer, or an older configuration.
#[test]
fn adoption_rules() {
    let text = |version| String::from_utf8(config(3, version).canonical_json()).unwrap();
    let offer = |generation, version| Offer {
        generation: Generation(generation),
        digest: Digest::of(text(version).as_bytes()),
    };
    let mut catalog = Catalog::default();
    let mut events = Vec::new();
    assert!(catalog.adopt(offer(5, 1), text(2)).is_err());
    assert_eq!(catalog.adopt(offer(5, 1), text(1)), Ok(true));
    assert_eq!(catalog.adopt(offer(5, 1), text(1)), Ok(false));
    assert_eq!(catalog.adopt(offer(4, 2), text(2)), Ok(false));
    assert_eq!(
        catalog.classify_offer(offer(4, 2), &mut events),
        OfferOrder::Older
    );
    let (low, high) = match offer(5, 1) < offer(5, 2) {
        true => (1, 2),
        false => (2, 1),
    };
    let mut catalog = Catalog::default();
    catalog.adopt(offer(5, low), text(low)).unwrap();
    assert_eq!(
        catalog.classify_offer(offer(5, high), &mut events),
        OfferOrder::Newer
    );
    assert_eq!(catalog.adopt(offer(5, high), text(high)), Ok(true));
    assert_eq!(
        catalog.classify_offer(offer(5, low), &mut events),
        OfferOrder::Older
    );
    assert_eq!(
        catalog.classify_offer(offer(5, low), &mut events),
        OfferOrder::Older
    );
    let diverged = events
        .iter()
        .filter(|e| matches!(e, Event::Diverged { .. }))
        .count();
    assert_eq!(diverged, 2, "{events:?}");
}

/// Guards against a delta whose result differs from the canonical JSON of its target.
#[test]
fn deltas() {
    let mut random = SmallRng::seed_from_u64(1);
    for _ in 0..50 {
        let base = config(random.random_range(1..20), random.random_range(0..50));
        let mut target = config(random.random_range(1..20), random.random_range(0..50));
        if random.random() {
            target.drains.servers.insert("a1".parse().unwrap());
        }
        let text = String::from_utf8(target.canonical_json()).unwrap();
        assert_eq!(
            apply_delta(Some(&base), &delta(Some(&base), &target)).unwrap(),
            text
        );
        assert_eq!(apply_delta(None, &delta(None, &target)).unwrap(), text);
    }
}

/// Guards against a large configuration that comes into force too late at balancers that have no
/// base for a delta.
#[test]
fn large_configuration() {
    check_seeds("configuration::large_configuration", 2, |seed| {
        let mut driver = Driver::new(seed, 2, 2, 0);
        driver.run(Duration::from_secs(8));
        driver.loss = 0.01;
        let large = config(1500, 1);
        assert!(large.canonical_json().len() > 200_000);
        let offer = driver.apply(&large, 1);
        expect_in_force(&mut driver, offer)?;
        assert!(matches!(driver.store.objects[&Key::Head].1, Value::Head(_)));
        Ok(())
    });
}

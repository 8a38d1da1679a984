//! Failure detection, refutation and gossip of member records, under seeded faults.

mod driver;

use std::time::Duration;

use driver::{check_seeds, record, Driver};
use flamingofall::control::Control;
use flamingofall::id::Member;
use flamingofall::member::{Record, State};
use flamingofall::output::{Event, Output};
use flamingofall::wire::{control, Body};
use yare::parameterized;

const SETTLE: Duration = Duration::from_secs(12);
/// Maximum time from the failure of a member until every view shows it as down.
const DOWN_MAX: Duration = Duration::from_secs(5);

fn settled(seed: u64, domains: u8, balancers: u8, agents: u8) -> Driver {
    let mut driver = Driver::new(seed, domains, balancers, agents);
    driver.run(SETTLE + Duration::from_millis(seed * 137 % 1000));
    driver
}

/// Returns the collectors of an agent in order of preference.
fn collectors(driver: &mut Driver, agent: &Record) -> Vec<Record> {
    let addresses = driver.agent(agent.control).collectors.clone();
    let find = |address| driver.control(address).view().own.record().clone();
    addresses.into_iter().map(find).collect()
}

fn expect_down(driver: &mut Driver, members: &[Record]) -> Result<(), String> {
    let failed_at = driver.now;
    for member in members {
        driver.kill(member.control);
    }
    for member in members {
        driver.run_until_state(&member.member, State::Down);
    }
    match driver.now - failed_at {
        took if took <= DOWN_MAX => Ok(()),
        took => Err(format!("down in every view only after {took:?}")),
    }
}

/// Returns how often a member was declared down.
fn down_declarations(driver: &Driver, name: &Member) -> usize {
    let down = |event: &Event| matches!(event, Event::Down { member, .. } if member == name);
    driver
        .events
        .iter()
        .filter(|(_, _, event)| down(event))
        .count()
}

/// Guards against a failed member that stays up in some view for longer than [`DOWN_MAX`]: with the
/// store up or down, with packet loss, and when its collectors or its whole domain fail with it.
#[parameterized(
    agent = { "agent", true, 0.0, 0 },
    agent_without_store = { "agent_without_store", false, 0.0, 0 },
    agent_with_loss = { "agent_with_loss", true, 0.05, 0 },
    with_collector = { "with_collector", false, 0.0, 1 },
    with_two_collectors = { "with_two_collectors", false, 0.0, 2 },
    balancer = { "balancer", true, 0.0, 10 },
    domain = { "domain", false, 0.0, 20 },
)]
fn dead_member(case: &str, store_up: bool, loss: f64, others: usize) {
    check_seeds(&format!("membership::dead_member::{case}"), 6, |seed| {
        let mut driver = settled(seed, 3, 3, 3);
        driver.store.available = store_up;
        driver.loss = loss;
        driver.duplication = loss;
        let agent = record(1, 32, 1);
        let mut failing = match others {
            10 => vec![record(1, 1, 1)],
            20 => [0, 1, 2, 32, 33, 34]
                .map(|host| record(1, host, 1))
                .to_vec(),
            others => collectors(&mut driver, &agent)[..others].to_vec(),
        };
        if others < 10 {
            failing.push(agent);
        }
        expect_down(&mut driver, &failing)
    });
}

/// Control: the check above must fail without gossip.
#[test]
fn dead_member_naive() {
    let mut driver = settled(1, 3, 3, 3);
    driver.store.available = false;
    driver.drops_message = |body| matches!(body, Body::Rumour(_) | Body::Digest(_));
    assert!(expect_down(&mut driver, &[record(1, 32, 1)]).is_err());
}

/// Pauses a member until it is declared down. After the pause it must refute the declaration and
/// become active again in every view.
fn paused_member(seed: u64, host: u8, refutes: bool) -> Result<(), String> {
    let mut driver = settled(seed, 3, 3, 3);
    let member = record(1, host, 1);
    if host >= 32 {
        driver.agent(member.control).refutes = refutes;
    }
    driver.paused.insert(member.control);
    if driver.run_until_state(&member.member, State::Down) > DOWN_MAX {
        return Err("the paused member was not declared down in time".into());
    }
    driver.paused.clear();
    match driver.run_until_state(&member.member, State::Active) {
        took if took <= DOWN_MAX => Ok(()),
        took => Err(format!("active in every view only after {took:?}")),
    }
}

/// Guards against a member that stays down in some view after it was only paused.
#[parameterized(agent = { "agent", 32 }, balancer = { "balancer", 1 })]
fn wrong_declaration(case: &str, host: u8) {
    let name = format!("membership::wrong_declaration::{case}");
    check_seeds(&name, 6, |seed| paused_member(seed, host, true));
}

/// Control: the check above must fail if the member doesn't refute the declaration.
#[test]
fn wrong_declaration_naive() {
    assert!(paused_member(1, 32, false).is_err());
}

/// Guards against views that still differ after a partition has healed, whether or not the records
/// of the other side have expired, and against sides that share the store and declare each other's
/// members down without end.
#[parameterized(
    short = { "short", 10, false },
    long = { "long", 90, false },
    shared_store = { "shared_store", 90, true },
)]
fn partition(case: &str, seconds: u64, partition_reaches_store: bool) {
    check_seeds(&format!("membership::partition::{case}"), 3, |seed| {
        let mut driver = settled(seed, 3, 2, 3);
        driver.partitioned_domains.insert(1);
        driver.partition_reaches_store = partition_reaches_store;
        driver.run(Duration::from_secs(seconds));
        let member = record(1, 32, 1).member;
        let declarations = down_declarations(&driver, &record(1, 0, 1).member);
        if declarations > 1 + seconds as usize / 30 {
            return Err(format!("declared down {declarations} times"));
        }
        driver.partitioned_domains.clear();
        let merged = |d: &Driver| {
            let all = d
                .balancers()
                .iter()
                .all(|a| d.control(*a).view().table.len() == 15);
            all && d.views_agree()
                && d.member_states(&member)
                    .iter()
                    .all(|s| *s == Some(State::Active))
        };
        match driver.run_until(Duration::from_secs(30), merged) {
            Some(_) => Ok(()),
            None => Err("the views still differ 30 s after the partition healed".into()),
        }
    });
}

/// Guards against declaring an agent down that can't reach its collector but reaches another
/// balancer, which reports the heartbeats. The control without these reports must fail.
#[parameterized(with_report = { true }, naive = { false })]
fn unreachable_collector(report: bool) {
    check_seeds("membership::unreachable_collector", 3, |seed| {
        let mut driver = settled(seed, 3, 3, 3);
        let agent = record(1, 32, 1);
        let first = collectors(&mut driver, &agent)[0].control;
        driver
            .blocked_links
            .extend([(agent.control, first), (first, agent.control)]);
        if !report {
            driver.drops_message = |body| matches!(body, Body::Heard(_));
        }
        driver.run(Duration::from_secs(30));
        match (down_declarations(&driver, &agent.member), report) {
            (0, true) | (1.., false) => Ok(()),
            (count, _) => Err(format!("declared down {count} times")),
        }
    });
}

/// Guards against a collector that is paused and then declares its members down, because it has
/// received no heartbeats during the pause.
#[test]
fn paused_collector() {
    check_seeds("membership::paused_collector", 4, |seed| {
        let mut driver = settled(seed, 1, 1, 3);
        driver.paused.insert(record(0, 0, 1).control);
        driver.run(Duration::from_secs(10));
        driver.paused.clear();
        driver.run(Duration::from_secs(5));
        let down = driver
            .events
            .iter()
            .find(|(_, _, e)| matches!(e, Event::Down { .. }));
        down.map_or(Ok(()), |event| Err(format!("{event:?}")))
    });
}

/// Guards against answering, and thus leasing, a run that a later one has replaced, and against
/// answers that don't show a member that it was declared down.
#[test]
fn answers() {
    let now = std::time::Instant::now();
    let mut control = Control::new(record(0, 0, 1), Vec::new(), 1, now);
    let mut answer = |record: Record| {
        let heartbeat = control::Heartbeat {
            id: 9,
            record: Some((&record).into()),
            ..Default::default()
        };
        let mut out = Vec::new();
        control.handle_message(
            record.control,
            Body::Heartbeat(heartbeat).into(),
            now,
            &mut out,
        );
        let answers = out.into_iter().filter_map(|output| match output {
            Output::Send { message, .. } => match message.body {
                Some(Body::HeartbeatAck(ack)) => Some(ack),
                _ => None,
            },
            _ => None,
        });
        answers.collect::<Vec<_>>()
    };
    let run = record(0, 40, 2);
    assert_eq!(answer(run.clone()).len(), 1);
    assert!(answer(record(0, 40, 1)).is_empty());
    let mut down = run.clone();
    down.state = State::Down;
    answer(down.clone());
    let answers = answer(run);
    assert!(answers[0].members.contains(&(&down).into()));
    assert_eq!((answers[0].id, answers[0].complete), (9, true));
}

/// Guards against an agent that never receives all members of its service, which take more than one
/// answer.
#[test]
fn all_members() {
    check_seeds("membership::all_members", 2, |seed| {
        let mut driver = settled(seed, 2, 2, 60);
        for address in (0..2).flat_map(|d| (32..92).map(move |h| record(d, h, 1).control)) {
            let known = driver.agent(address).members.len();
            if known != 120 {
                return Err(format!("{address} knows {known} of 120 members"));
            }
        }
        Ok(())
    });
}

/// Guards against frames over the size limit, which the driver checks, and against anti-entropy
/// that doesn't merge the views, with a domain of 3,800 members whose names have the maximum
/// length.
#[test]
fn large_views() {
    let mut driver = Driver::new(1, 1, 2, 0);
    for (half, address) in driver.balancers().into_iter().enumerate() {
        let mut snapshot = driver.control(address).snapshot();
        for index in 0..1900 {
            let mut agent = record(0, 40, u64::MAX);
            let number = format!("{}", half * 1900 + index);
            agent.member = format!("{number}{}", "x".repeat(63 - number.len()))
                .parse()
                .unwrap();
            agent.domain = "d".repeat(63).parse().unwrap();
            agent.sequence.0 = u64::MAX - 1;
            snapshot.records.push(agent);
        }
        driver.load_snapshot(address, snapshot);
    }
    // Shorter than the timeout after which the agents, which send no heartbeats, are declared down.
    driver.run(Duration::from_millis(2_900));
    for address in driver.balancers() {
        let known = driver.control(address).view().table.len();
        assert!(known > 3_700, "{address} knows {known} of 3802 members");
    }
}

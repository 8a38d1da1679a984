//! Applying configurations with concurrent operators, lost answers, stale reads and store outages.
//!
//! The checks of the histories also run against flawed publishers, to show that they detect the
//! violations that they check for.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use flamingofall::config::{DrainTarget, Timestamp};
use flamingofall::id::{Digest, Generation};
use flamingofall::jsonc::Source;
use flamingofall::member::{Record, Role, State};
use flamingofall::publish::{
    ApplyError, Draft, DraftError, Loader, Publisher, Rollout, StoredState, DELETES_MAX,
    RECENT_CONFIGS_MAX,
};
use flamingofall::store::{
    Answer, Call, Collection, Error, Head, Key, Object, Operation, Outcome, Value, Version,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use yare::parameterized;

const DEADLINE: Duration = Duration::from_secs(20);
const NOW: Timestamp = Timestamp(1_800_000_000);
const STEP: Duration = Duration::from_millis(10);

fn millis(number: u64) -> Duration {
    Duration::from_millis(number)
}

fn files(weight: u64) -> Vec<Source> {
    let text = format!(
        r#"{{ "services": [{{ "name": "portal", "organisation": "fund", "weight": {weight},
        "addresses": [{{ "protocol": "tcp", "address": "198.51.100.1:443" }}] }}] }}"#
    );
    vec![Source::new("portal.json", text)]
}

/// Model of the platform's store. It keeps every version of the head.
#[derive(Default)]
struct Store {
    /// Stored configurations: version and text by digest.
    configs: BTreeMap<Digest, (u64, String)>,
    /// Versions of the stored configurations after each change, for stale lists.
    past_versions: Vec<BTreeMap<Digest, u64>>,
    heads: Vec<Head>,
    records: Vec<Record>,
    /// Whether the head named or listed a configuration that did not exist.
    dangling: bool,
}

impl Store {
    fn head(&self, version: usize) -> Result<Outcome, Error> {
        let head = version
            .checked_sub(1)
            .and_then(|index| self.heads.get(index));
        Ok(object(
            Key::Head,
            version,
            Value::Head(head.ok_or(Error::NotFound)?.clone()),
        ))
    }

    fn put(&mut self, digest: Digest, text: String) -> Outcome {
        let version = self.past_versions.len() + 1;
        self.configs.insert(digest, (version as u64, text.clone()));
        self.record_versions();
        object(Key::Config(digest), version, Value::Config(text))
    }

    fn record_versions(&mut self) {
        let versions = self.configs.iter();
        let versions = versions.map(|(digest, (version, _))| (*digest, *version));
        self.past_versions.push(versions.collect());
    }

    /// Fails unless the configuration exists and has this version.
    fn require(&self, digest: &Digest, version: Option<&Version>) -> Result<(), Error> {
        let (known, _) = self.configs.get(digest).ok_or(Error::NotFound)?;
        match version.is_none_or(|version| version.0 == known.to_string()) {
            true => Ok(()),
            false => Err(Error::Conflict),
        }
    }

    /// Carries out a call. Reads return the state of `stale` versions ago.
    fn run(&mut self, operation: &Operation, stale: usize) -> Result<Outcome, Error> {
        let result = self.run_unchecked(operation, stale);
        if let Some(head) = self.heads.last() {
            let mut named = std::iter::once(&head.digest).chain(&head.recent);
            self.dangling |= named.any(|digest| !self.configs.contains_key(digest));
        }
        result
    }

    fn run_unchecked(&mut self, operation: &Operation, stale: usize) -> Result<Outcome, Error> {
        let version = self.heads.len();
        match operation {
            Operation::Get(Key::Head) => self.head(version.saturating_sub(stale)),
            Operation::Get(Key::Config(digest)) => {
                let (version, text) = self.configs.get(digest).ok_or(Error::NotFound)?.clone();
                let value = Value::Config(text);
                Ok(object(Key::Config(*digest), version as usize, value))
            }
            Operation::Create(Key::Config(digest), Value::Config(text)) => {
                match self.configs.contains_key(digest) {
                    true => Err(Error::Exists),
                    false => Ok(self.put(*digest, text.clone())),
                }
            }
            Operation::Renew(Key::Config(digest), Value::Config(text), version, _) => {
                self.require(digest, Some(version))?;
                Ok(self.put(*digest, text.clone()))
            }
            Operation::Delete(Key::Config(digest), version) => {
                self.require(digest, version.as_ref())?;
                self.configs.remove(digest);
                self.record_versions();
                Ok(Outcome::Removed)
            }
            Operation::ListNames(Collection::Configs) => {
                let at = self.past_versions.len().checked_sub(1 + stale);
                let names = at
                    .map(|at| self.past_versions[at].clone())
                    .unwrap_or_default();
                let name = |(digest, version): (Digest, u64)| {
                    (Key::Config(digest), Version(version.to_string()))
                };
                Ok(Outcome::Names(names.into_iter().map(name).collect()))
            }
            Operation::Create(Key::Head, _) if version > 0 => Err(Error::Exists),
            Operation::Update(Key::Head, _, of) if *of != Version(version.to_string()) => {
                Err(Error::Conflict)
            }
            Operation::Create(Key::Head, Value::Head(head))
            | Operation::Update(Key::Head, Value::Head(head), _) => {
                self.heads.push(head.clone());
                self.head(version + 1)
            }
            Operation::List(Collection::Domains) => Ok(Outcome::List {
                objects: vec![Object {
                    key: Key::Domain("espoo".parse().unwrap()),
                    version: Version("1".to_owned()),
                    value: Value::Domain(self.records.clone()),
                }],
                version: Version("1".to_owned()),
            }),
            other => panic!("unexpected {other}"),
        }
    }
}

fn object(key: Key, version: usize, value: Value) -> Outcome {
    let version = Version(version.to_string());
    Outcome::Object(Object {
        key,
        version,
        value,
    })
}

/// Outcome that an operator reports.
#[derive(Clone, Debug, PartialEq)]
enum Report {
    Accepted,
    /// Not applied, because another configuration was accepted as this generation.
    Conflict(Generation),
    NotApplied,
    Unknown,
}

trait Operator {
    fn tick(&mut self, now: Instant, out: &mut Vec<Call>);
    fn answer(&mut self, answer: Answer, now: Instant);
    fn report(&self) -> Option<Report>;
    /// Digest of the configuration that the new one was checked against.
    fn base(&self) -> Option<Option<Digest>>;
}

/// An operator that loads, checks and publishes as the command line does.
struct CheckingOperator {
    loader: Loader,
    publisher: Option<Publisher>,
    id: u64,
    content: u64,
    deadline: Instant,
}

impl CheckingOperator {
    fn new(id: u64, now: Instant) -> Self {
        Self::with_content(id, id, now)
    }

    fn with_content(id: u64, content: u64, now: Instant) -> Self {
        let deadline = now + DEADLINE;
        let loader = Loader::new(id, now, deadline);
        CheckingOperator {
            loader,
            publisher: None,
            id,
            content,
            deadline,
        }
    }
}

impl Operator for CheckingOperator {
    fn tick(&mut self, now: Instant, out: &mut Vec<Call>) {
        if let (None, Some(Ok(base))) = (&self.publisher, self.loader.result()) {
            let checked = Draft::files(files(self.content))
                .check(base.clone(), NOW)
                .unwrap();
            let author = format!("operator-{}", self.id);
            let publisher = Publisher::new(checked, author, self.id, self.id, now, self.deadline);
            self.publisher = Some(publisher);
        }
        match &mut self.publisher {
            Some(publisher) => publisher.tick(now, out),
            None => self.loader.tick(now, out),
        }
    }

    fn answer(&mut self, answer: Answer, now: Instant) {
        match &mut self.publisher {
            Some(publisher) => publisher.answer(answer, now),
            None => self.loader.answer(answer, now),
        }
    }

    fn report(&self) -> Option<Report> {
        let Some(publisher) = &self.publisher else {
            let failed = matches!(self.loader.result(), Some(Err(_)));
            return failed.then_some(Report::NotApplied);
        };
        Some(match publisher.result()? {
            Ok(_) => Report::Accepted,
            Err(ApplyError::Conflict { generation, .. }) => Report::Conflict(*generation),
            Err(ApplyError::Unavailable(_)) => Report::NotApplied,
            Err(ApplyError::Superseded { .. } | ApplyError::Unknown { .. }) => Report::Unknown,
            Err(failure) => panic!("{failure}"),
        })
    }

    fn base(&self) -> Option<Option<Digest>> {
        let Some(Ok(base)) = self.loader.result() else {
            return None;
        };
        Some(base.head.as_ref().map(|(head, _)| head.digest))
    }
}

/// Flaw of a [`FlawedOperator`].
#[derive(Clone, Copy, PartialEq)]
enum Flaw {
    /// Overwrites whatever head is stored, and repeats the write after every error.
    OverwritesHead,
    /// Attributes every conflict to another operator, also one with its own lost write.
    MisreadsConflicts,
    /// Writes the head before the configuration that it names.
    WritesHeadFirst,
}

struct FlawedOperator {
    flaw: Flaw,
    id: u64,
    calls: u64,
    busy: bool,
    created: bool,
    written: bool,
    /// The head that was read first; `Some(None)` if there was none.
    base: Option<Option<Head>>,
    /// The version that the next write replaces; empty if there is no head.
    version: Option<Version>,
    report: Option<Report>,
}

impl FlawedOperator {
    fn new(flaw: Flaw, id: u64) -> Self {
        FlawedOperator {
            flaw,
            id,
            calls: 0,
            busy: false,
            created: false,
            written: false,
            base: None,
            version: None,
            report: None,
        }
    }

    fn head(&self, digest: Digest) -> Head {
        let base = self.base.as_ref().and_then(Option::as_ref);
        Head {
            generation: Generation(base.map_or(0, |head| head.generation.0) + 1),
            digest,
            previous: base.map(|head| head.digest),
            author: format!("operator-{}", self.id),
            apply_id: self.id,
            recent: Vec::new(),
        }
    }
}

impl Operator for FlawedOperator {
    fn tick(&mut self, _: Instant, out: &mut Vec<Call>) {
        if self.busy || self.report.is_some() {
            return;
        }
        self.busy = true;
        self.calls += 1;
        let checked = Draft::files(files(self.id))
            .check(StoredState::default(), NOW)
            .unwrap();
        let digest = checked.digest();
        let create = !self.created && (self.written || self.flaw != Flaw::WritesHeadFirst);
        let operation = match &self.version {
            _ if create => {
                let text = String::from_utf8(checked.config().canonical_json()).unwrap();
                Operation::Create(Key::Config(digest), Value::Config(text))
            }
            None => Operation::Get(Key::Head),
            Some(Version(version)) if version.is_empty() => {
                Operation::Create(Key::Head, Value::Head(self.head(digest)))
            }
            Some(version) => {
                Operation::Update(Key::Head, Value::Head(self.head(digest)), version.clone())
            }
        };
        out.push(Call {
            id: self.calls,
            operation,
        });
    }

    fn answer(&mut self, answer: Answer, _: Instant) {
        self.busy = false;
        let creating = !self.created && (self.written || self.flaw != Flaw::WritesHeadFirst);
        let conflict = matches!(answer.result, Err(Error::Conflict | Error::Exists));
        match answer.result {
            Ok(_) | Err(Error::Exists) if creating => self.created = true,
            Ok(Outcome::Object(Object {
                value: Value::Head(head),
                version,
                ..
            })) => match self.version {
                Some(_) => self.written = true,
                None => {
                    self.version = Some(version);
                    self.base.get_or_insert(Some(head));
                }
            },
            Err(Error::NotFound) => {
                self.version = Some(Version::default());
                self.base.get_or_insert(None);
            }
            Err(_) if conflict && self.flaw == Flaw::MisreadsConflicts => {
                let generation = self.head(Digest::default()).generation;
                self.report = Some(Report::Conflict(generation));
            }
            Err(Error::Lost) if self.flaw == Flaw::MisreadsConflicts => {}
            _ => self.version = None,
        }
        if self.created && self.written {
            self.report = Some(Report::Accepted);
        }
    }

    fn report(&self) -> Option<Report> {
        self.report.clone()
    }

    fn base(&self) -> Option<Option<Digest>> {
        let base = self.base.as_ref()?;
        Some(base.as_ref().map(|head| head.digest))
    }
}

/// Scheduled event: a call takes effect in the store, or its answer arrives at the operator.
enum Event {
    Effect(usize, Call),
    Answer(usize, Answer),
}

struct History {
    heads: Vec<Head>,
    store: Store,
    reports: BTreeMap<u64, Option<Report>>,
    bases: BTreeMap<u64, Option<Digest>>,
}

/// Runs two to four operators against an empty store, with faults drawn from `seed`.
fn simulate<O: Operator>(seed: u64, new: impl Fn(u64, Instant) -> O) -> History {
    simulate_in(Store::default(), seed, new)
}

/// Like [`simulate`], with a store that already has content.
fn simulate_in<O: Operator>(
    mut store: Store,
    seed: u64,
    new: impl Fn(u64, Instant) -> O,
) -> History {
    let mut random = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    let outage = millis(random.random_range(0..3_000));
    let outage = outage..outage + millis(random.random_range(0..6_000));
    let fault_rate = random.random_range(0.0..0.6);
    let count = random.random_range(2..=4);
    // Depending on the spread, operators start almost together or one after another.
    let spread = [50, 500, 8_000][random.random_range(0..3)];
    let starts: Vec<_> = (0..count)
        .map(|_| millis(random.random_range(0..spread)))
        .collect();
    let mut operators: Vec<(u64, Option<O>)> = (1..=count).map(|id| (id, None)).collect();
    let mut events: BTreeMap<(Duration, u64), Event> = BTreeMap::new();
    let mut next = 0;
    let mut at = Duration::ZERO;
    while at < DEADLINE * 2 {
        let now = start + at;
        while let Some(entry) = events.first_entry().filter(|entry| entry.key().0 <= at) {
            match entry.remove() {
                Event::Effect(index, call) => {
                    let stale = match random.random_bool(fault_rate / 2.0) {
                        true => random.random_range(1..=2),
                        false => 0,
                    };
                    let result = store.run(&call.operation, stale);
                    let lost = random.random_bool(fault_rate);
                    let result = if lost { Err(Error::Lost) } else { result };
                    let answer = Event::Answer(
                        index,
                        Answer {
                            id: call.id,
                            result,
                        },
                    );
                    next += 1;
                    events.insert((at + millis(random.random_range(1..50)), next), answer);
                }
                Event::Answer(index, answer) => {
                    if let Some(operator) = &mut operators[index].1 {
                        operator.answer(answer, now);
                    }
                }
            }
        }
        for (index, (id, operator)) in operators.iter_mut().enumerate() {
            if at < starts[index] {
                continue;
            }
            let operator = operator.get_or_insert_with(|| new(*id, now));
            let mut out = Vec::new();
            operator.tick(now, &mut out);
            for call in out {
                next += 2;
                let delay = millis(random.random_range(1..50));
                if outage.contains(&at) {
                    let answer = Answer {
                        id: call.id,
                        result: Err(Error::Unavailable),
                    };
                    events.insert((at + delay, next), Event::Answer(index, answer));
                    continue;
                }
                if random.random_bool(fault_rate / 3.0) {
                    // The answer is lost, and the call takes effect much later or never.
                    let answer = Answer {
                        id: call.id,
                        result: Err(Error::Lost),
                    };
                    events.insert((at + delay, next + 1), Event::Answer(index, answer));
                    if random.random_bool(0.3) {
                        continue;
                    }
                    let late = at + millis(random.random_range(50..3_000));
                    events.insert((late, next), Event::Effect(index, call));
                    continue;
                }
                events.insert((at + delay, next), Event::Effect(index, call));
            }
        }
        at += STEP;
    }
    let running = |(id, operator): &(u64, Option<O>)| Some((*id, operator.as_ref()?.base()?));
    History {
        bases: operators.iter().filter_map(running).collect(),
        reports: operators
            .iter()
            .map(|(id, operator)| (*id, operator.as_ref().and_then(Operator::report)))
            .collect(),
        heads: store.heads.clone(),
        store,
    }
}

/// Names of the guarantees that a history violates.
fn violations(history: &History) -> BTreeSet<&'static str> {
    let mut found = BTreeSet::new();
    let mut check = |name, holds: bool| {
        if !holds {
            found.insert(name);
        }
    };
    let heads = &history.heads;
    let count = |id: u64| heads.iter().filter(|head| head.apply_id == id).count();
    for pair in heads.windows(2) {
        let next = pair[0].generation.0 + 1;
        check(
            "chain",
            pair[1].generation.0 == next && pair[1].previous == Some(pair[0].digest),
        );
    }
    for (index, head) in heads.iter().enumerate() {
        let earlier = heads[..index].iter().any(|old| old.digest == head.digest);
        check("reverted", !earlier);
    }
    check("configuration missing", !history.store.dangling);
    // Of the operators that checked against the same configuration, at most one may be accepted.
    let mut winners: BTreeMap<_, u32> = BTreeMap::new();
    for (_, base) in history.bases.iter().filter(|(id, _)| count(**id) > 0) {
        *winners.entry(base).or_default() += 1;
    }
    check("two winners", winners.values().all(|count| *count == 1));
    for (id, report) in &history.reports {
        check("applied twice", count(*id) <= 1);
        match report {
            Some(Report::Accepted) => check("accepted but not written", count(*id) > 0),
            Some(Report::Conflict(generation)) => {
                check("rejected but written", count(*id) == 0);
                let won = |head: &Head| head.generation == *generation && head.apply_id != *id;
                check("conflict without a winner", heads.iter().any(won));
            }
            Some(Report::NotApplied) => check("rejected but written", count(*id) == 0),
            Some(Report::Unknown) | None => {}
        }
    }
    found
}

fn seeds(default: std::ops::Range<u64>) -> std::ops::Range<u64> {
    match std::env::var("SEED") {
        Ok(seed) => {
            let seed = seed.parse().expect("SEED is a number");
            seed..seed + 1
        }
        Err(_) => default,
    }
}

/// Guards against configurations that are applied twice, reverted, or lost in a race.
#[test]
fn random_histories() {
    let mut outcomes = BTreeMap::new();
    for seed in seeds(0..2_000) {
        let history = simulate(seed, CheckingOperator::new);
        let found = violations(&history);
        assert!(
            found.is_empty(),
            "{found:?} in {:#?} {:?}\nrepeat with: SEED={seed} cargo test --test publish random_histories",
            history.heads,
            history.reports
        );
        for report in history.reports.into_values() {
            let report = report.expect("every operator comes to an end");
            let kind = format!("{report:?}").split('(').next().unwrap().to_owned();
            *outcomes.entry(kind).or_insert(0) += 1;
        }
    }
    println!("{outcomes:?}");
    // The simulation must reach every outcome, or the checks cover less than they should.
    assert!(
        outcomes.len() == 4 || std::env::var("SEED").is_ok(),
        "{outcomes:?}"
    );
}

/// Shows that each check of the histories detects a publisher that violates the guarantee.
#[parameterized(
    applied_twice = { Flaw::OverwritesHead, 4, "applied twice" },
    chain = { Flaw::OverwritesHead, 4, "chain" },
    reverted = { Flaw::OverwritesHead, 4, "reverted" },
    two_winners = { Flaw::OverwritesHead, 7, "two winners" },
    rejected = { Flaw::MisreadsConflicts, 4, "rejected but written" },
    no_winner = { Flaw::MisreadsConflicts, 4, "conflict without a winner" },
    accepted = { Flaw::MisreadsConflicts, 7, "accepted but not written" },
    missing = { Flaw::WritesHeadFirst, 0, "configuration missing" },
)]
fn naive_violates(flaw: Flaw, seed: u64, guarantee: &str) {
    let found = violations(&simulate(seed, |id, _| FlawedOperator::new(flaw, id)));
    assert!(found.contains(guarantee), "{found:?}");
}

/// Number of contents that concurrent operators apply. The store already holds all of them.
const CONTENTS: u64 = 2;

fn text(weight: u64) -> String {
    let checked = Draft::files(files(weight)).check(StoredState::default(), NOW);
    String::from_utf8(checked.unwrap().config().canonical_json()).unwrap()
}

/// A store whose head lists as many earlier configurations as it may, and that also holds
/// configurations that the head doesn't list.
fn store_with_old_configs() -> Store {
    let (mut store, _) = store_with_one_config();
    for weight in 1..=CONTENTS {
        store.put(Digest::of(text(weight).as_bytes()), text(weight));
    }
    for number in 0..RECENT_CONFIGS_MAX as u64 {
        let digest = Digest::of(&number.to_le_bytes());
        store.put(digest, String::new());
        store.heads[0].recent.push(digest);
    }
    store
}

fn operator_with_shared_content(id: u64, now: Instant) -> CheckingOperator {
    CheckingOperator::with_content(id, id % CONTENTS + 1, now)
}

/// Guards against a head that names or lists a deleted configuration, and against obsolete
/// configurations that accumulate after concurrent applies, outages and lost deletes.
#[test]
fn deletion_histories() {
    for seed in seeds(0..2_000) {
        let mut history = simulate_in(store_with_old_configs(), seed, operator_with_shared_content);
        let repeat = format!("SEED={seed} cargo test --test publish deletion_histories");
        assert!(!history.store.dangling, "{repeat}");
        assert!(history.reports.values().all(Option::is_some), "{repeat}");
        for number in 0..16 {
            apply(&mut history.store, 60 + number, number % 2 == 0);
        }
        let left = history.store.configs.len();
        assert!(!history.store.dangling, "{repeat}");
        // The deletes of the last apply but one failed, so it may have left an object.
        assert!(left <= RECENT_CONFIGS_MAX + 2, "{left} objects: {repeat}");
    }
}

/// Applies a configuration without faults, except that deletes fail if `fails` is set. Returns the
/// number of deletes that were called.
fn apply(store: &mut Store, content: u64, fails: bool) -> usize {
    let start = Instant::now();
    let mut operator = CheckingOperator::with_content(content, content, start);
    let mut deletes = 0;
    let mut at = Duration::ZERO;
    while operator.report().is_none() {
        let mut out = Vec::new();
        operator.tick(start + at, &mut out);
        for Call { id, operation } in out {
            let delete = matches!(operation, Operation::Delete(..));
            deletes += usize::from(delete);
            let result = match delete && fails {
                true => Err(Error::Unavailable),
                false => store.run(&operation, 0),
            };
            operator.answer(Answer { id, result }, start + at);
        }
        at += STEP;
    }
    assert_eq!(operator.report(), Some(Report::Accepted));
    deletes
}

/// Guards against an apply that fails or repeats calls because a delete failed, and against one
/// that makes too many deletes.
#[test]
fn few_deletes() {
    let mut store = store_with_old_configs();
    for number in 0..20 {
        store.put(Digest::of(&[number]), String::new());
    }
    assert_eq!(apply(&mut store, 61, true), 1);
    assert_eq!(apply(&mut store, 62, false), DELETES_MAX);
}

/// Step that an [`UnsafeDeleter`] leaves out.
#[derive(Clone, Copy, PartialEq)]
enum Omission {
    /// Deletes an object whatever version it has.
    Version,
    /// Doesn't renew an object that exists already.
    Renewal,
}

/// A publisher without one of the steps that make deletes safe.
struct UnsafeDeleter {
    inner: CheckingOperator,
    omission: Omission,
}

impl Operator for UnsafeDeleter {
    fn tick(&mut self, now: Instant, out: &mut Vec<Call>) {
        self.inner.tick(now, out);
        for call in out {
            match &mut call.operation {
                Operation::Delete(_, version) if self.omission == Omission::Version => {
                    *version = None;
                }
                _ => {}
            }
        }
    }

    fn answer(&mut self, mut answer: Answer, now: Instant) {
        if self.omission == Omission::Renewal && answer.result == Err(Error::Exists) {
            answer.result = Ok(Outcome::Removed);
        }
        self.inner.answer(answer, now);
    }

    fn report(&self) -> Option<Report> {
        self.inner.report()
    }

    fn base(&self) -> Option<Option<Digest>> {
        self.inner.base()
    }
}

/// Shows that the histories contain the races that versions of deletes and renewals guard against.
#[parameterized(
    version = { Omission::Version, 97 },
    renewal = { Omission::Renewal, 168 },
)]
fn naive_deletes(omission: Omission, seed: u64) {
    let new = |id, now| UnsafeDeleter {
        inner: operator_with_shared_content(id, now),
        omission,
    };
    assert!(
        simulate_in(store_with_old_configs(), seed, new)
            .store
            .dangling
    );
}

/// How the store treats one call.
#[derive(Clone, Copy)]
enum Fault {
    None,
    /// Carried out, and the answer is replaced by this error.
    After(Error),
    /// Not carried out.
    Before(Error),
    /// Reads an older head.
    Stale,
    /// Before the call, this many configurations of another operator are accepted.
    Other(u64),
}
use Fault::{After, Before, Other, Stale};

/// A store with one configuration, and the state that operators read from it.
fn store_with_one_config() -> (Store, StoredState) {
    let mut store = Store::default();
    let base = StoredState::default();
    let checked = Draft::files(files(50)).check(base, NOW).unwrap();
    let text = String::from_utf8(checked.config().canonical_json()).unwrap();
    store.put(checked.digest(), text);
    store.heads.push(other_head(&store, checked.digest()));
    let head = Some((store.heads[0].clone(), Version("1".to_owned())));
    let config = checked.config().clone();
    (
        store,
        StoredState {
            head,
            config,
            ..StoredState::default()
        },
    )
}

fn other_head(store: &Store, digest: Digest) -> Head {
    let last = store.heads.last();
    Head {
        generation: Generation(last.map_or(0, |head| head.generation.0) + 1),
        previous: last.map(|head| head.digest),
        author: "other".to_owned(),
        apply_id: 1_000,
        recent: Vec::new(),
        digest,
    }
}

/// Publishes with one fault per call, from the first write on; the last fault applies to all later
/// calls too. Returns the number of calls.
fn publish(faults: &[Fault]) -> (Publisher, Store, usize) {
    let (mut store, base) = store_with_one_config();
    let start = Instant::now();
    let checked = Draft::files(files(2)).check(base, NOW).unwrap();
    let deadline = start + DEADLINE;
    let mut publisher = Publisher::new(checked, "operator".to_owned(), 2, 7, start, deadline);
    let mut calls = 0;
    let mut at = Duration::ZERO;
    while publisher.result().is_none() {
        assert!(at < DEADLINE * 2, "no end");
        let mut out = Vec::new();
        publisher.tick(start + at, &mut out);
        for call in out {
            // The faults start with the first write.
            if matches!(call.operation, Operation::ListNames(_)) {
                let result = store.run(&call.operation, 0);
                let id = call.id;
                publisher.answer(Answer { id, result }, start + at);
                continue;
            }
            let fault = faults
                .get(calls)
                .or(faults.last())
                .copied()
                .unwrap_or(Fault::None);
            calls += 1;
            if let Other(count) = fault {
                for number in 0..count {
                    let head = other_head(&store, Digest::of(&number.to_le_bytes()));
                    store.heads.push(head);
                }
            }
            let result = match fault {
                Before(error) => Err(error),
                After(error) => store.run(&call.operation, 0).and(Err(error)),
                Stale => store.run(&call.operation, 1),
                Fault::None | Other(_) => store.run(&call.operation, 0),
            };
            publisher.answer(
                Answer {
                    id: call.id,
                    result,
                },
                start + at,
            );
        }
        at += STEP;
    }
    (publisher, store, calls)
}

/// Largest number of calls within the deadline: the pauses between them are at least 50, 100, 200,
/// 400 and 800 ms, then 1 s each.
const CALLS_MAX: usize = 25;

/// Guards against writes that are repeated after they took effect, and against outcomes that are
/// reported wrongly.
#[parameterized(
    plain = { &[], "accepted", 2 },
    create_lost = { &[After(Error::Lost), Fault::None], "accepted", 5 },
    lost_after = { &[Fault::None, After(Error::Lost), Fault::None], "accepted", 3 },
    lost_before = { &[Fault::None, Before(Error::Lost), Fault::None], "accepted", 4 },
    stale_read = { &[Fault::None, After(Error::Lost), Stale, Fault::None], "accepted", 5 },
    garbled = { &[Fault::None, After(Error::Invalid), Fault::None], "accepted", 3 },
    throttled = { &[Before(Error::Throttled), Before(Error::Throttled), Fault::None], "accepted", 4 },
    short_outage = { &[Fault::None, Before(Error::Unavailable), Before(Error::Unavailable), Fault::None], "accepted", 4 },
    conflict = { &[Fault::None, Other(1), Fault::None], "conflict", 3 },
    conflict_stale = { &[Fault::None, Other(1), Stale, Fault::None], "conflict", 5 },
    conflict_unclear = { &[Fault::None, Before(Error::Lost), Other(1), Fault::None], "conflict", 3 },
    superseded = { &[Fault::None, After(Error::Lost), Other(1), Fault::None], "superseded", 3 },
    forgotten = { &[Fault::None, After(Error::Lost), Other(2), Fault::None], "unknown", 3 },
    outage = { &[Before(Error::Unavailable)], "unavailable", CALLS_MAX },
    outage_later = { &[Fault::None, Before(Error::Unavailable)], "unavailable", CALLS_MAX },
    always_lost = { &[Fault::None, Before(Error::Lost)], "unknown", CALLS_MAX },
)]
fn answers_and_outcomes(faults: &[Fault], expected: &str, calls_max: usize) {
    let (publisher, store, calls) = publish(faults);
    let written = store.heads.iter().filter(|head| head.apply_id == 2).count();
    let (outcome, written_expected) = match publisher.result().unwrap() {
        Ok(accepted) => {
            assert_eq!(accepted.head().generation, Generation(2));
            ("accepted", 1)
        }
        Err(ApplyError::Conflict { .. }) => ("conflict", 0),
        Err(ApplyError::Superseded { .. }) => ("superseded", 1),
        Err(ApplyError::Unavailable(_)) => ("unavailable", 0),
        Err(ApplyError::Unknown { .. }) => ("unknown", written),
        Err(failure) => panic!("{failure}"),
    };
    assert_eq!((outcome, written), (expected, written_expected));
    assert!(calls <= calls_max, "{calls} calls");
}

/// Guards against a conflict message that leaves out one of the two operators or the generation.
#[test]
fn conflict_names_both() {
    let (publisher, ..) = publish(&[Fault::None, Other(1), Fault::None]);
    let text = publisher.result().unwrap().unwrap_err().to_string();
    for part in [
        "configuration of other",
        "generation 2",
        "before operator could apply",
    ] {
        assert!(text.contains(part), "{text}");
    }
}

/// Guards against a publisher that waits forever for an answer, or that accepts the answer to
/// another call.
#[test]
fn silent_store() {
    let (_, base) = store_with_one_config();
    let start = Instant::now();
    let checked = Draft::files(files(2)).check(base, NOW).unwrap();
    let deadline = start + DEADLINE;
    let mut publisher = Publisher::new(checked, "a".to_owned(), 2, 7, start, deadline);
    let mut out = Vec::new();
    publisher.tick(start, &mut out);
    publisher.tick(start + millis(10), &mut out);
    assert_eq!(out.len(), 1);
    let id = out[0].id + 1;
    publisher.answer(
        Answer {
            id,
            result: Err(Error::Exists),
        },
        start,
    );
    publisher.tick(start + DEADLINE, &mut out);
    assert!(matches!(
        publisher.result(),
        Some(Err(ApplyError::Unavailable(_)))
    ));
}

fn target(name: &str) -> DrainTarget {
    match name.parse() {
        Ok(ip) => DrainTarget::Host(ip),
        Err(_) => DrainTarget::Server(name.parse().unwrap()),
    }
}

/// Guards against drains that an apply removes, and against undrains that have no effect but are
/// accepted.
#[test]
fn drain_and_undrain() {
    let (_, mut base) = store_with_one_config();
    for name in ["payout-1", "192.0.2.1"] {
        let checked = Draft::drain(target(name)).check(base.clone(), NOW).unwrap();
        assert!(checked
            .config()
            .commanded_drains
            .contains_target(&target(name)));
        let again = Draft::drain(target(name));
        base.config = checked.config().clone();
        base.head.as_mut().unwrap().0.digest = checked.digest();
        assert!(again.check(base.clone(), NOW).unwrap().is_in_force());
    }
    let applied = Draft::files(files(2)).check(base.clone(), NOW).unwrap();
    assert_eq!(
        applied.config().commanded_drains,
        base.config.commanded_drains
    );
    let undrained = Draft::undrain(target("payout-1"))
        .check(base.clone(), NOW)
        .unwrap();
    assert!(!undrained.config().is_target_drained(&target("payout-1")));
    assert!(undrained.config().is_target_drained(&target("192.0.2.1")));
    let unknown = Draft::undrain(target("payout-2")).check(base.clone(), NOW);
    assert_eq!(
        unknown.unwrap_err(),
        DraftError::NotDrained(target("payout-2"))
    );
    base.config.drains.insert(&target("payout-2"));
    let by_files = Draft::undrain(target("payout-2")).check(base, NOW);
    assert_eq!(
        by_files.unwrap_err(),
        DraftError::DrainedByFiles(target("payout-2"))
    );
}

fn balancer(member: &str, generation: u64, state: State) -> Record {
    Record {
        member: member.parse().unwrap(),
        role: Role::Balancer,
        incarnation: Default::default(),
        sequence: Default::default(),
        state,
        domain: "espoo".parse().unwrap(),
        control: "127.0.0.1:7000".parse().unwrap(),
        data: "127.0.0.1:6080".parse().unwrap(),
        service: None,
        slots: Default::default(),
        connections: Default::default(),
        generation: Generation(generation),
        open_flows: None,
        sole_server: None,
    }
}

/// Guards against an apply to a restored store whose generation balancers ignore, because they have
/// a higher one in force.
#[test]
fn restored_store() {
    let (_, mut base) = store_with_one_config();
    base.records = vec![balancer("entry-1", 9, State::Active)];
    let draft = Draft::files(files(2));
    let rejected = draft.clone().check(base.clone(), NOW).unwrap_err();
    let (reported, stored) = (Generation(9), Generation(1));
    assert_eq!(rejected, DraftError::Restored { reported, stored });
    let checked = draft.after_restore(true).check(base, NOW).unwrap();
    assert_eq!(checked.generation(), Generation(10));
}

/// Guards against a stale read of the head that is mistaken for a restored store.
#[parameterized(stale = { 2, 2 }, restored = { 1, 9 })]
fn rereads_head(stored: u64, reported: u64) {
    let (mut store, _) = store_with_one_config();
    while store.heads.len() < stored as usize {
        let head = other_head(&store, store.heads[0].digest);
        store.heads.push(head);
    }
    store.records = vec![balancer("entry-1", reported, State::Active)];
    let start = Instant::now();
    let mut loader = Loader::new(1, start, start + DEADLINE);
    let mut heads = 0;
    let mut at = Duration::ZERO;
    while loader.result().is_none() {
        let mut out = Vec::new();
        loader.tick(start + at, &mut out);
        for call in out {
            let stale = usize::from(heads < 2 && stored == 2);
            heads += usize::from(call.operation == Operation::Get(Key::Head));
            let result = store.run(&call.operation, stale);
            loader.answer(
                Answer {
                    id: call.id,
                    result,
                },
                start + at,
            );
        }
        at += STEP;
    }
    let base = loader.result().unwrap().unwrap();
    assert_eq!(base.generation(), Generation(stored));
    assert_eq!(base.is_restored(), reported > stored);
    assert!(heads <= 6, "{heads} reads of the head");
}

/// Guards against a rollout that is reported as complete while a running balancer lags, or that is
/// never complete because a balancer is down.
#[test]
fn rollout_progress() {
    let mut records = vec![
        balancer("entry-1", 4, State::Active),
        balancer("entry-2", 3, State::Draining),
        balancer("entry-3", 1, State::Down),
    ];
    let rollout = Rollout::of(&records, Generation(4));
    assert_eq!(rollout.balancers, 2);
    assert_eq!(
        rollout.lagging,
        [("entry-2".parse().unwrap(), Generation(3))]
    );
    records[1].generation = Generation(5);
    assert!(Rollout::of(&records, Generation(4)).is_complete());
}

//! Applying a configuration: state machines over store calls and answers, without I/O.
//!
//! [`Loader`] reads the configuration in force. [`Draft::check`] makes a [`Checked`] configuration
//! from a draft, and only that can be handed to a [`Publisher`], which makes it [`Accepted`].
//!
//! The head is only written conditionally on the version that the draft was checked against.
//! Repeating such a write can't apply a configuration twice, and an answer that was lost is
//! resolved by reading the head back: it names the apply that wrote it.

use std::fmt;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::config::{Config, Target, Timestamp};
use crate::files;
use crate::id::{Digest, Generation, Member};
use crate::jsonc::{Faults, Source};
use crate::member::{Record, Role, State};
use crate::store::{
    Answer, Call, Collection, Error, Head, Key, Operation, Outcome, Value, Version,
};

/// Time after which a call without an answer counts as lost.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause after the first failed call; doubles with each further one.
pub const BACKOFF_FIRST: Duration = Duration::from_millis(100);
/// Times that the head is read again when balancers report a newer generation than it names. It
/// may have changed since it was read, and reads may be stale.
pub const RESTORE_READS: u32 = 5;
/// Former configurations that the head lists. At one apply a second, a node that has read a head
/// has 15 s to read the configuration it names.
pub const RECENT_MAX: usize = 15;
/// Old configurations that one apply deletes. Each apply adds one object, so leftovers shrink.
pub const DELETES_MAX: usize = 4;
/// Time after acceptance that an apply spends on deletes.
pub const DELETE_TIME: Duration = Duration::from_secs(1);
/// Longest pause between calls.
pub const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Makes one call at a time, with a time-out, backoff and a deadline.
#[derive(Clone, Debug)]
struct Caller {
    random: SmallRng,
    next_id: u64,
    pending: Option<(u64, Instant)>,
    not_before: Instant,
    failures: u32,
    deadline: Instant,
    last_error: Option<Error>,
}

impl Caller {
    fn new(seed: u64, now: Instant, deadline: Instant) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed),
            next_id: 0,
            pending: None,
            not_before: now,
            failures: 0,
            deadline,
            last_error: None,
        }
    }

    fn is_due(&self, now: Instant) -> bool {
        self.pending.is_none() && now >= self.not_before
    }

    fn call(&mut self, operation: Operation, now: Instant, out: &mut Vec<Call>) {
        self.next_id += 1;
        self.pending = Some((self.next_id, now + CALL_TIMEOUT));
        out.push(Call {
            id: self.next_id,
            operation,
        });
    }

    /// The result, if `answer` belongs to the pending call.
    fn take(&mut self, answer: Answer) -> Option<Result<Outcome, Error>> {
        let (id, _) = self.pending?;
        if id != answer.id {
            return None;
        }
        self.pending = None;
        Some(answer.result)
    }

    /// Gives up the pending call if it has taken too long. Returns whether it did.
    fn expire(&mut self, now: Instant) -> bool {
        let expired = self.pending.is_some_and(|(_, until)| now >= until);
        if expired {
            self.pending = None;
        }
        expired
    }

    fn succeed(&mut self) {
        self.failures = 0;
    }

    fn back_off(&mut self, error: Option<Error>, now: Instant) {
        self.last_error = error.or(self.last_error);
        let full = BACKOFF_FIRST * 2u32.saturating_pow(self.failures.min(10));
        let full = full.min(BACKOFF_MAX);
        self.failures += 1;
        // Half of the pause is random, so that operators don't repeat in step.
        self.not_before = now + full / 2 + full.mul_f64(self.random.random_range(0.0..0.5));
    }
}

/// Why nothing was applied, or why that is unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// Another configuration was accepted first. This one is not in force.
    Conflict {
        /// Who applied this one.
        author: String,
        /// The generation that it would have become.
        generation: Generation,
        /// What was accepted.
        accepted: Head,
    },
    /// This content was accepted by this or an identical apply, and has been replaced.
    Superseded {
        /// Generation of this content.
        generation: Generation,
        /// What replaced it.
        by: Head,
    },
    /// The deadline passed before the head was written. This one is not in force.
    Unavailable(Option<Error>),
    /// The deadline passed after a write of the head was lost, or the head has changed several
    /// times since: this one may have been accepted.
    Unknown {
        /// The generation that it would have become.
        generation: Generation,
        /// Number by which the head names this apply.
        apply_id: u64,
    },
    /// The store holds what this version can't read.
    Unreadable(String),
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Conflict {
                author,
                generation,
                accepted,
            } => write!(
                f,
                "conflict: {} was accepted as generation {} before {author} could apply generation {generation}; \
                 nothing was applied, look at `diff` and apply again",
                named(accepted),
                accepted.generation
            ),
            Failure::Superseded { generation, by } => write!(
                f,
                "generation {generation} with this content was accepted, and {} has replaced it with generation {}",
                named(by),
                by.generation
            ),
            Failure::Unavailable(Some(error)) => {
                write!(f, "store unavailable ({error}): nothing was applied")
            }
            Failure::Unavailable(None) => write!(f, "store unavailable: nothing was applied"),
            Failure::Unknown {
                generation,
                apply_id,
            } => write!(
                f,
                "outcome unknown: generation {generation} may have been accepted; `status` shows \
                 apply id {apply_id:016x} if it is in force"
            ),
            Failure::Unreadable(what) => write!(f, "can't read from the store: {what}"),
        }
    }
}

impl std::error::Error for Failure {}

fn named(head: &Head) -> String {
    format!(
        "a configuration of {} ({})",
        head.author,
        short(&head.digest)
    )
}

fn short(digest: &Digest) -> String {
    digest.to_string()[..12].to_owned()
}

/// The configuration in force, as the store holds it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Base {
    /// The head and its version; `None` before the first configuration.
    pub head: Option<(Head, Version)>,
    /// The configuration that the head names.
    pub config: Config,
    /// Member records of all failure domains.
    pub records: Vec<Record>,
}

impl Base {
    /// Generation of the head; 0 before the first configuration.
    pub fn generation(&self) -> Generation {
        let head = self.head.as_ref();
        head.map(|(head, _)| head.generation).unwrap_or_default()
    }

    /// The highest generation that a balancer reports.
    pub fn reported(&self) -> Generation {
        let generations = self.records.iter().map(|record| record.generation);
        generations.max().unwrap_or_default()
    }

    /// Whether balancers have a newer configuration than the store, which was then restored from
    /// an older copy.
    pub fn is_restored(&self) -> bool {
        self.reported() > self.generation()
    }
}

#[derive(Clone, Debug)]
enum Reading {
    Head,
    Config(Head, Version),
    Records,
    Done(Result<(), Failure>),
}

/// Reads the configuration in force and the member records.
#[derive(Clone, Debug)]
pub struct Loader {
    caller: Caller,
    reading: Reading,
    base: Base,
    /// Times that the head was read again.
    rereads: u32,
}

impl Loader {
    /// A loader that gives up at `deadline`.
    pub fn new(seed: u64, now: Instant, deadline: Instant) -> Self {
        Self {
            caller: Caller::new(seed, now, deadline),
            reading: Reading::Head,
            base: Base::default(),
            rereads: 0,
        }
    }

    /// What was read, or why it couldn't be.
    pub fn result(&self) -> Option<Result<&Base, &Failure>> {
        match &self.reading {
            Reading::Done(result) => Some(result.as_ref().map(|()| &self.base)),
            _ => None,
        }
    }

    /// Makes the next call if it is due.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Call>) {
        if self.caller.expire(now) {
            self.handle(Err(Error::Unavailable), now);
        }
        let operation = match &self.reading {
            Reading::Head => Operation::Get(Key::Head),
            Reading::Config(head, _) => Operation::Get(Key::Config(head.digest)),
            Reading::Records => Operation::List(Collection::Domains),
            Reading::Done(_) => return,
        };
        if now >= self.caller.deadline {
            let failure = Failure::Unavailable(self.caller.last_error);
            self.reading = Reading::Done(Err(failure));
        } else if self.caller.is_due(now) {
            self.caller.call(operation, now, out);
        }
    }

    /// Takes an answer.
    pub fn answer(&mut self, answer: Answer, now: Instant) {
        if let Some(result) = self.caller.take(answer) {
            self.handle(result, now);
        }
    }

    fn handle(&mut self, result: Result<Outcome, Error>, now: Instant) {
        let result = match result {
            Ok(Outcome::Object(object)) => Ok((object.value, object.version)),
            Ok(Outcome::List { objects, .. }) => {
                self.take_records(objects.into_iter().map(|object| object.value));
                self.finish(now);
                return;
            }
            Ok(_) => Err(Error::Invalid),
            Err(error) => Err(error),
        };
        match (self.reading.clone(), result) {
            (Reading::Head, Err(Error::NotFound)) => self.proceed(Reading::Records),
            (Reading::Head, Ok((Value::Head(head), version))) => {
                self.proceed(Reading::Config(head, version));
            }
            (Reading::Config(head, version), Ok((Value::Config(text), _))) => {
                self.take_config(head, version, &text);
            }
            // A stale read may not find a configuration that a head names already.
            (_, Err(error)) => self.caller.back_off(Some(error), now),
            (_, Ok(_)) => self.caller.back_off(Some(Error::Invalid), now),
        }
    }

    fn proceed(&mut self, reading: Reading) {
        self.caller.succeed();
        self.reading = reading;
    }

    fn finish(&mut self, now: Instant) {
        if self.base.is_restored() && self.rereads < RESTORE_READS {
            self.caller.failures = self.rereads;
            self.caller.back_off(None, now);
            self.rereads += 1;
            self.reading = Reading::Head;
            return;
        }
        self.reading = Reading::Done(Ok(()));
    }

    fn take_config(&mut self, head: Head, version: Version, text: &str) {
        let fail = |what: String| Reading::Done(Err(Failure::Unreadable(what)));
        if Digest::of(text.as_bytes()) != head.digest {
            self.reading = fail(format!("configuration {} is corrupt", head.digest));
            return;
        }
        match Config::from_canonical(text.as_bytes()) {
            Ok(config) => {
                self.base.config = config;
                self.base.head = Some((head, version));
                self.proceed(Reading::Records);
            }
            Err(invalid) => self.reading = fail(invalid.to_string()),
        }
    }

    fn take_records(&mut self, values: impl Iterator<Item = Value>) {
        let lists = values.filter_map(|value| match value {
            Value::Domain(records) => Some(records),
            _ => None,
        });
        self.base.records = lists.flatten().collect();
    }
}

/// What an operator wants to apply.
#[derive(Clone, Debug)]
pub struct Draft {
    proposal: Proposal,
    after_restore: bool,
}

#[derive(Clone, Debug)]
enum Proposal {
    Files(Vec<Source>),
    Drain(Target),
    Undrain(Target),
}

/// Why a draft can't be applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejected {
    /// The files have faults.
    Faults(Faults),
    /// The target is drained by the files, so only a change of the files ends it.
    DrainedByFiles(Target),
    /// The target is not drained.
    NotDrained(Target),
    /// The text or the store's object would take this many bytes, and may take the second number.
    TooLarge(usize, usize),
    /// Balancers report this generation, which is newer than the store's.
    Restored {
        /// The highest generation that a balancer reports.
        reported: Generation,
        /// The store's generation.
        stored: Generation,
    },
}

impl fmt::Display for Rejected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejected::Faults(faults) => write!(f, "{faults}"),
            Rejected::DrainedByFiles(target) => write!(
                f,
                "{target} is drained by the configuration files: remove it there and apply them"
            ),
            Rejected::NotDrained(target) => write!(f, "{target} is not drained"),
            Rejected::TooLarge(bytes, allowed) => write!(
                f,
                "the configuration with its former services takes {bytes} bytes; allowed: at most {allowed}"
            ),
            Rejected::Restored { reported, stored } => write!(
                f,
                "balancers report generation {reported}, but the store has {stored}: the store was restored \
                 from an older copy. `apply --after-restore` applies files as generation {}",
                reported.0 + 1
            ),
        }
    }
}

impl std::error::Error for Rejected {}

impl Draft {
    /// The files of a directory.
    pub fn files(sources: Vec<Source>) -> Self {
        Self::new(Proposal::Files(sources))
    }

    /// The configuration in force with one more drain.
    pub fn drain(target: Target) -> Self {
        Self::new(Proposal::Drain(target))
    }

    /// The configuration in force without a drain that was set by command.
    pub fn undrain(target: Target) -> Self {
        Self::new(Proposal::Undrain(target))
    }

    fn new(proposal: Proposal) -> Self {
        Self {
            proposal,
            after_restore: false,
        }
    }

    /// Allows a base that is older than what balancers report. The generation then follows theirs.
    pub fn after_restore(mut self, allowed: bool) -> Self {
        self.after_restore = allowed;
        self
    }

    /// Checks the draft against the configuration in force. `now` decides how long the former
    /// services of moved addresses are kept.
    pub fn check(self, base: Base, now: Timestamp) -> Result<Checked, Rejected> {
        if base.is_restored() && !self.after_restore {
            return Err(Rejected::Restored {
                reported: base.reported(),
                stored: base.generation(),
            });
        }
        let generation = Generation(base.generation().max(base.reported()).0 + 1);
        let mut config = self.proposal.build(&base)?;
        config.succeed(&base.config, generation, now);
        self.proposal.command(&mut config);
        if let Some((bytes, allowed)) = config.excess() {
            return Err(Rejected::TooLarge(bytes, allowed));
        }
        // Invariant: canonical JSON is UTF-8.
        let text = String::from_utf8(config.canonical()).expect("JSON is UTF-8");
        Ok(Checked {
            digest: Digest::of(text.as_bytes()),
            text,
            config,
            generation,
            base,
        })
    }
}

impl Proposal {
    fn build(&self, base: &Base) -> Result<Config, Rejected> {
        match self {
            Proposal::Files(sources) => {
                files::parse(sources, Some(&base.config)).map_err(Rejected::Faults)
            }
            Proposal::Undrain(target) if !base.config.commanded_drains.lists(target) => {
                match base.config.is_target_drained(target) {
                    true => Err(Rejected::DrainedByFiles(target.clone())),
                    false => Err(Rejected::NotDrained(target.clone())),
                }
            }
            Proposal::Drain(_) | Proposal::Undrain(_) => Ok(base.config.clone()),
        }
    }

    fn command(&self, config: &mut Config) {
        match self {
            Proposal::Files(_) => {}
            Proposal::Drain(target) => {
                config.commanded_drains.insert(target);
            }
            Proposal::Undrain(target) => {
                config.commanded_drains.remove(target);
            }
        }
    }
}

/// A valid configuration and what it was checked against.
#[derive(Clone, Debug)]
pub struct Checked {
    config: Config,
    text: String,
    digest: Digest,
    generation: Generation,
    base: Base,
}

impl Checked {
    /// The configuration.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// What it was checked against.
    pub fn base(&self) -> &Base {
        &self.base
    }

    /// The generation that it becomes.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Digest of its canonical JSON.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Whether exactly this is in force.
    pub fn is_in_force(&self) -> bool {
        let head = self.base.head.as_ref();
        !self.base.is_restored() && head.is_some_and(|(head, _)| head.digest == self.digest)
    }
}

/// A configuration that the store has accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Accepted {
    head: Head,
}

impl Accepted {
    /// The head that names it.
    pub fn head(&self) -> &Head {
        &self.head
    }
}

/// The configurations before this one, without repetitions.
fn recent(checked: &Checked) -> Vec<Digest> {
    let mut recent = Vec::new();
    if let Some((head, _)) = &checked.base.head {
        let before = head.previous.iter().chain(&head.recent);
        for digest in std::iter::once(&head.digest).chain(before) {
            if *digest != checked.digest && !recent.contains(digest) {
                recent.push(*digest);
            }
        }
    }
    recent.truncate(RECENT_MAX);
    recent
}

#[derive(Clone, Debug)]
enum Phase {
    /// Lists configurations that may be deleted later.
    List,
    Create,
    /// Reads the version of a configuration that exists already.
    ReadConfig,
    /// Gives it a new version.
    Renew(Version),
    Update,
    ReadBack,
    /// Accepted; deletes old configurations.
    Delete(Accepted),
    Done(Result<Accepted, Failure>),
}

/// Makes a checked configuration the accepted one, and deletes configurations that no head lists.
///
/// The head is written only after its configuration was created or renewed since the base was
/// read, and a delete names a version that was listed before this publisher's own head was
/// accepted. Hence a configuration that was listed before another publisher renewed it has
/// another version, and one that was renewed before it was listed belongs to a publisher whose
/// base is no longer the head. No delete, however late, removes a configuration of a head.
///
/// A draft that was not checked can't be published:
///
/// ```compile_fail
/// use std::time::Instant;
/// use flamingofall::publish::{Draft, Publisher};
///
/// let draft = Draft::files(Vec::new());
/// Publisher::new(draft, "operator".to_owned(), 1, 1, Instant::now(), Instant::now());
/// ```
#[derive(Clone, Debug)]
pub struct Publisher {
    caller: Caller,
    checked: Checked,
    head: Head,
    phase: Phase,
    /// Whether a write of the head has an unknown outcome.
    is_ambiguous: bool,
    /// Configurations to delete after acceptance. Invariant: listed before the head was written.
    old: Vec<(Key, Version)>,
    renewals: u64,
}

impl Publisher {
    /// A publisher that gives up at `deadline`. `apply_id` is random and identifies this apply.
    pub fn new(
        checked: Checked,
        author: String,
        apply_id: u64,
        seed: u64,
        now: Instant,
        deadline: Instant,
    ) -> Self {
        let previous = checked.base.head.as_ref().map(|(head, _)| head.digest);
        let head = Head {
            generation: checked.generation,
            digest: checked.digest,
            previous,
            author,
            apply_id,
            recent: recent(&checked),
        };
        Self {
            caller: Caller::new(seed, now, deadline),
            checked,
            head,
            phase: Phase::List,
            is_ambiguous: false,
            old: Vec::new(),
            renewals: 0,
        }
    }

    /// How it ended.
    pub fn result(&self) -> Option<Result<&Accepted, &Failure>> {
        match &self.phase {
            Phase::Done(result) => Some(result.as_ref()),
            _ => None,
        }
    }

    /// Makes the next call if it is due.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Call>) {
        if self.caller.expire(now) {
            self.handle(Err(Error::Lost), now);
        }
        if self.result().is_some() {
            return;
        }
        if now >= self.caller.deadline {
            self.give_up();
        } else if self.caller.is_due(now) {
            let operation = self.operation();
            self.caller.call(operation, now, out);
        }
    }

    /// Takes an answer.
    pub fn answer(&mut self, answer: Answer, now: Instant) {
        if let Some(result) = self.caller.take(answer) {
            self.handle(result, now);
        }
    }

    fn operation(&self) -> Operation {
        let head = Value::Head(self.head.clone());
        let key = Key::Config(self.checked.digest);
        let text = || Value::Config(self.checked.text.clone());
        match (&self.phase, &self.checked.base.head) {
            (Phase::List, _) => Operation::ListNames(Collection::Configs),
            (Phase::Create, _) => Operation::Create(key, text()),
            (Phase::ReadConfig, _) => Operation::Get(key),
            (Phase::Renew(version), _) => {
                let number = self.head.apply_id.wrapping_add(self.renewals);
                Operation::Renew(key, text(), version.clone(), number)
            }
            (Phase::Delete(_), _) if !self.old.is_empty() => {
                let (key, version) = self.old[0].clone();
                Operation::Delete(key, Some(version))
            }
            (Phase::Update, Some((_, version))) => {
                Operation::Update(Key::Head, head, version.clone())
            }
            (Phase::Update, None) => Operation::Create(Key::Head, head),
            (Phase::ReadBack | Phase::Delete(_) | Phase::Done(_), _) => Operation::Get(Key::Head),
        }
    }

    fn handle(&mut self, result: Result<Outcome, Error>, now: Instant) {
        match self.phase {
            Phase::List => self.handle_list(result),
            Phase::Create => self.handle_create(result, now),
            Phase::ReadConfig => self.handle_config(result, now),
            Phase::Renew(_) => self.handle_renewal(result, now),
            Phase::Delete(_) => self.handle_delete(result),
            Phase::Update => self.handle_update(result, now),
            Phase::ReadBack => self.handle_read(result, now),
            Phase::Done(_) => {}
        }
    }

    /// An apply doesn't depend on the list: without it nothing is deleted.
    fn handle_list(&mut self, result: Result<Outcome, Error>) {
        if let Ok(Outcome::Names(names)) = result {
            let old = names.into_iter().filter(|(key, _)| self.is_old(key));
            self.old = old.take(DELETES_MAX).collect();
        }
        self.phase = Phase::Create;
    }

    fn is_old(&self, key: &Key) -> bool {
        let Key::Config(digest) = key else {
            return false;
        };
        let head = &self.head;
        *digest != head.digest
            && head.previous.as_ref() != Some(digest)
            && !head.recent.contains(digest)
    }

    fn handle_create(&mut self, result: Result<Outcome, Error>, now: Instant) {
        match result {
            Ok(_) => self.proceed(Phase::Update),
            // The object's name is its digest, so one that exists has this content. Another
            // operator may be about to delete it.
            Err(Error::Exists | Error::Conflict) => self.proceed(Phase::ReadConfig),
            Err(error) => self.caller.back_off(Some(error), now),
        }
    }

    fn handle_config(&mut self, result: Result<Outcome, Error>, now: Instant) {
        match result {
            Ok(Outcome::Object(object)) => {
                self.renewals += 1;
                self.proceed(Phase::Renew(object.version));
            }
            Err(Error::NotFound) => {
                self.caller.back_off(None, now);
                self.phase = Phase::Create;
            }
            Ok(_) => self.caller.back_off(Some(Error::Invalid), now),
            Err(error) => self.caller.back_off(Some(error), now),
        }
    }

    fn handle_renewal(&mut self, result: Result<Outcome, Error>, now: Instant) {
        match result {
            Ok(_) => self.proceed(Phase::Update),
            // Deleted, renewed by another operator, or lost: read again.
            Err(error) => {
                self.caller.back_off(Some(error), now);
                self.phase = Phase::ReadConfig;
            }
        }
    }

    /// Deletes are not repeated: the next apply lists what is left.
    fn handle_delete(&mut self, result: Result<Outcome, Error>) {
        self.old.remove(0);
        // One that was deleted or renewed by another operator says nothing about the others.
        if !matches!(result, Ok(_) | Err(Error::NotFound | Error::Conflict)) {
            self.old.clear();
        }
        self.end_if_clean();
    }

    fn end_if_clean(&mut self) {
        if let (Phase::Delete(accepted), true) = (&self.phase, self.old.is_empty()) {
            self.phase = Phase::Done(Ok(accepted.clone()));
        }
    }

    fn proceed(&mut self, phase: Phase) {
        self.caller.succeed();
        self.phase = phase;
    }

    fn handle_update(&mut self, result: Result<Outcome, Error>, now: Instant) {
        match result {
            Ok(Outcome::Object(object)) if object.value == Value::Head(self.head.clone()) => {
                self.accept(now);
            }
            // Not carried out: repeated as it is.
            Err(error @ (Error::Unavailable | Error::Throttled)) => {
                self.caller.back_off(Some(error), now);
            }
            Err(Error::Conflict | Error::Exists | Error::NotFound) => {
                self.caller.succeed();
                self.phase = Phase::ReadBack;
            }
            // Lost, or an answer that makes no sense: the write may have taken effect.
            Ok(_) | Err(_) => {
                self.is_ambiguous = true;
                self.caller.back_off(result.err(), now);
                self.phase = Phase::ReadBack;
            }
        }
    }

    fn handle_read(&mut self, result: Result<Outcome, Error>, now: Instant) {
        match result {
            Ok(Outcome::Object(object)) => match object.value {
                Value::Head(head) => self.judge(head, now),
                _ => self.caller.back_off(Some(Error::Invalid), now),
            },
            Err(Error::NotFound) => self.repeat(now),
            Ok(_) => self.caller.back_off(Some(Error::Invalid), now),
            Err(error) => self.caller.back_off(Some(error), now),
        }
    }

    /// Repeats the write, which is conditional on the same version as before.
    fn repeat(&mut self, now: Instant) {
        self.caller.back_off(None, now);
        self.phase = Phase::Update;
    }

    fn judge(&mut self, found: Head, now: Instant) {
        let base = self.checked.base.generation();
        if found == self.head {
            self.accept(now);
            return;
        }
        let is_base = self
            .checked
            .base
            .head
            .as_ref()
            .is_some_and(|(head, _)| *head == found);
        // An older head is a stale read.
        if is_base || found.generation < base {
            self.repeat(now);
            return;
        }
        let next = Generation(self.head.generation.0 + 1);
        let failure = if !self.is_ambiguous || found.generation <= self.head.generation {
            self.conflict(found)
        } else if found.generation > next {
            self.unknown()
        } else if found.previous == Some(self.head.digest) {
            Failure::Superseded {
                generation: self.head.generation,
                by: found,
            }
        } else {
            self.conflict(found)
        };
        self.phase = Phase::Done(Err(failure));
    }

    fn accept(&mut self, now: Instant) {
        let head = self.head.clone();
        self.phase = Phase::Delete(Accepted { head });
        self.caller.deadline = self.caller.deadline.min(now + DELETE_TIME);
        self.end_if_clean();
    }

    fn give_up(&mut self) {
        if matches!(self.phase, Phase::Delete(_)) {
            self.old.clear();
            return self.end_if_clean();
        }
        let writing = matches!(self.phase, Phase::Update) && self.caller.pending.is_some();
        let failure = match self.is_ambiguous || writing {
            true => self.unknown(),
            false => Failure::Unavailable(self.caller.last_error),
        };
        self.phase = Phase::Done(Err(failure));
    }

    fn conflict(&self, accepted: Head) -> Failure {
        Failure::Conflict {
            author: self.head.author.clone(),
            generation: self.head.generation,
            accepted,
        }
    }

    fn unknown(&self) -> Failure {
        Failure::Unknown {
            generation: self.head.generation,
            apply_id: self.head.apply_id,
        }
    }
}

/// How far a generation has spread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// Balancers that run.
    pub balancers: usize,
    /// Balancers with an older generation, and that generation.
    pub behind: Vec<(Member, Generation)>,
}

impl Rollout {
    /// How far `generation` has spread according to member records.
    pub fn of(records: &[Record], generation: Generation) -> Self {
        let running =
            |record: &&Record| record.role == Role::Balancer && record.state != State::Down;
        let balancers: Vec<_> = records.iter().filter(running).collect();
        let behind = balancers
            .iter()
            .filter(|record| record.generation < generation);
        let behind = behind.map(|record| (record.member.clone(), record.generation));
        Self {
            behind: behind.collect(),
            balancers: balancers.len(),
        }
    }

    /// Whether every running balancer has the generation.
    pub fn is_complete(&self) -> bool {
        self.behind.is_empty()
    }
}

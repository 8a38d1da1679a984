//! Applying a configuration to the store, as state machines without I/O.
//!
//! [`Loader`] reads the configuration in force. [`Draft::check`] turns a draft into a
//! [`CheckedConfig`], which is the only input that a [`Publisher`] takes. The publisher writes it
//! to the store and ends with an [`AcceptedHead`]. The state machines emit [`Call`]s and take
//! [`Answer`]s; the caller of `tick` and `answer` does the I/O.
//!
//! The head is the object that names the configuration in force. Each write of it is conditional on
//! the version that the draft was checked against, so repeating the write can't apply a
//! configuration twice. If the answer to a write is lost, the publisher reads the head back: the
//! head names the apply that wrote it.

use std::fmt;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::config::{Config, DrainTarget, Timestamp};
use crate::files;
use crate::id::{Digest, Generation, Member};
use crate::jsonc::{Diagnostics, Source};
use crate::member::{Record, Role, State};
use crate::store::{
    Answer, Call, Collection, Error, Head, Key, Operation, Outcome, Value, Version,
};

/// Time without an answer after which a call counts as lost.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause after the first failed call; it doubles with each further failure.
pub const BACKOFF_FIRST: Duration = Duration::from_millis(100);
/// Largest number of times that the head is read again because balancers report a newer generation
/// than it names. The head may have changed since it was read, and reads may be stale.
pub const HEAD_REREADS_MAX: u32 = 5;
/// Largest number of earlier configurations that the head lists and that are not deleted. At one
/// apply a second, a node that has read a head has 15 s to read the configuration it names.
pub const RECENT_CONFIGS_MAX: usize = 15;
/// Largest number of obsolete configurations that one apply deletes. Each apply adds one object, so
/// the number of obsolete ones shrinks.
pub const DELETES_MAX: usize = 4;
/// Longest time that an apply spends on deletes after its configuration was accepted.
pub const DELETE_TIME_MAX: Duration = Duration::from_secs(1);
/// Longest pause after a failed call.
pub const BACKOFF_MAX: Duration = Duration::from_secs(2);

/// Sends one store call at a time, with a timeout per call, backoff and an overall deadline.
#[derive(Clone, Debug)]
struct RetryingClient {
    random: SmallRng,
    next_id: u64,
    pending: Option<(u64, Instant)>,
    not_before: Instant,
    failures: u32,
    deadline: Instant,
    last_error: Option<Error>,
}

impl RetryingClient {
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

    /// Returns the result if `answer` belongs to the pending call, which is then no longer pending.
    fn match_answer(&mut self, answer: Answer) -> Option<Result<Outcome, Error>> {
        let (id, _) = self.pending?;
        if id != answer.id {
            return None;
        }
        self.pending = None;
        Some(answer.result)
    }

    /// Drops the pending call if its timeout has passed. Returns whether it did.
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
        // Half of the pause is random, so that several operators don't retry at the same time.
        self.not_before = now + full / 2 + full.mul_f64(self.random.random_range(0.0..0.5));
    }
}

/// Why a configuration was not applied, or why the outcome is unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyError {
    /// Another configuration was accepted first. This one was not applied.
    Conflict {
        /// Author of this configuration, as given to [`Publisher::new`].
        author: String,
        /// The generation that it would have become.
        generation: Generation,
        /// Head that was accepted instead.
        accepted: Head,
    },
    /// The content was accepted, by this apply or an identical one, and has been replaced since.
    Superseded {
        /// Generation of this content.
        generation: Generation,
        /// Head that replaced it.
        by: Head,
    },
    /// The deadline passed before the head was written, so nothing was applied. Holds the last
    /// error of the store.
    Unavailable(Option<Error>),
    /// The outcome of a write of the head is unknown, and either the deadline passed or the head
    /// has changed several times since. The configuration may have been accepted.
    Unknown {
        /// The generation that it would have become.
        generation: Generation,
        /// Random number that identifies this apply in the head.
        apply_id: u64,
    },
    /// The store holds data that is corrupt or that this version can't read.
    Unreadable(String),
}

impl fmt::Display for ApplyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ApplyError::Conflict {
                author,
                generation,
                accepted,
            } => write!(
                f,
                "conflict: {} was accepted as generation {} before {author} could apply generation {generation}; \
                 nothing was applied; check `diff` and apply again",
                describe_head(accepted),
                accepted.generation
            ),
            ApplyError::Superseded { generation, by } => write!(
                f,
                "generation {generation} with this content was accepted, and {} has replaced it with generation {}",
                describe_head(by),
                by.generation
            ),
            ApplyError::Unavailable(Some(error)) => {
                write!(f, "store unavailable ({error}): nothing was applied")
            }
            ApplyError::Unavailable(None) => write!(f, "store unavailable: nothing was applied"),
            ApplyError::Unknown {
                generation,
                apply_id,
            } => write!(
                f,
                "outcome unknown: generation {generation} may have been accepted; `status` shows \
                 apply id {apply_id:016x} if it is in force"
            ),
            ApplyError::Unreadable(what) => {
                write!(f, "can't read the configuration from the store: {what}")
            }
        }
    }
}

impl std::error::Error for ApplyError {}

fn describe_head(head: &Head) -> String {
    format!(
        "a configuration of {} ({})",
        head.author,
        short_digest(&head.digest)
    )
}

fn short_digest(digest: &Digest) -> String {
    digest.to_string()[..12].to_owned()
}

/// The configuration in force and the member records, as read from the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredState {
    /// The head and its version in the store; `None` before the first configuration.
    pub head: Option<(Head, Version)>,
    /// The configuration that the head names; empty before the first configuration.
    pub config: Config,
    /// Member records of all failure domains.
    pub records: Vec<Record>,
}

impl StoredState {
    /// Generation of the head; 0 before the first configuration.
    pub fn generation(&self) -> Generation {
        let head = self.head.as_ref();
        head.map(|(head, _)| head.generation).unwrap_or_default()
    }

    /// The highest generation that a balancer reports in its member record.
    pub fn reported_generation(&self) -> Generation {
        let generations = self.records.iter().map(|record| record.generation);
        generations.max().unwrap_or_default()
    }

    /// Whether balancers report a newer generation than the head names, which means that the store
    /// was restored from an older copy.
    pub fn is_restored(&self) -> bool {
        self.reported_generation() > self.generation()
    }
}

#[derive(Clone, Debug)]
enum LoadPhase {
    Head,
    Config(Head, Version),
    Records,
    Done(Result<(), ApplyError>),
}

/// Reads the configuration in force and the member records.
#[derive(Clone, Debug)]
pub struct Loader {
    client: RetryingClient,
    reading: LoadPhase,
    base: StoredState,
    /// Number of times that the head was read again; see [`HEAD_REREADS_MAX`].
    rereads: u32,
}

impl Loader {
    /// A loader that fails at `deadline`. `seed` is that of the random pauses after errors.
    pub fn new(seed: u64, now: Instant, deadline: Instant) -> Self {
        Self {
            client: RetryingClient::new(seed, now, deadline),
            reading: LoadPhase::Head,
            base: StoredState::default(),
            rereads: 0,
        }
    }

    /// What was read, or why reading failed; `None` while the loader runs.
    pub fn result(&self) -> Option<Result<&StoredState, &ApplyError>> {
        match &self.reading {
            LoadPhase::Done(result) => Some(result.as_ref().map(|()| &self.base)),
            _ => None,
        }
    }

    /// Makes the next call if it is due.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Call>) {
        if self.client.expire(now) {
            self.handle(Err(Error::Unavailable), now);
        }
        let operation = match &self.reading {
            LoadPhase::Head => Operation::Get(Key::Head),
            LoadPhase::Config(head, _) => Operation::Get(Key::Config(head.digest)),
            LoadPhase::Records => Operation::List(Collection::Domains),
            LoadPhase::Done(_) => return,
        };
        if now >= self.client.deadline {
            let failure = ApplyError::Unavailable(self.client.last_error);
            self.reading = LoadPhase::Done(Err(failure));
        } else if self.client.is_due(now) {
            self.client.call(operation, now, out);
        }
    }

    /// Takes the answer to a call. Answers to other calls than the pending one are ignored.
    pub fn answer(&mut self, answer: Answer, now: Instant) {
        if let Some(result) = self.client.match_answer(answer) {
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
            (LoadPhase::Head, Err(Error::NotFound)) => self.proceed(LoadPhase::Records),
            (LoadPhase::Head, Ok((Value::Head(head), version))) => {
                self.proceed(LoadPhase::Config(head, version));
            }
            (LoadPhase::Config(head, version), Ok((Value::Config(text), _))) => {
                self.take_config(head, version, &text);
            }
            // Also `NotFound`: a stale read may lack a configuration that the head already names.
            (_, Err(error)) => self.client.back_off(Some(error), now),
            (_, Ok(_)) => self.client.back_off(Some(Error::Invalid), now),
        }
    }

    fn proceed(&mut self, reading: LoadPhase) {
        self.client.succeed();
        self.reading = reading;
    }

    fn finish(&mut self, now: Instant) {
        if self.base.is_restored() && self.rereads < HEAD_REREADS_MAX {
            self.client.failures = self.rereads;
            self.client.back_off(None, now);
            self.rereads += 1;
            self.reading = LoadPhase::Head;
            return;
        }
        self.reading = LoadPhase::Done(Ok(()));
    }

    fn take_config(&mut self, head: Head, version: Version, text: &str) {
        let fail = |what: String| LoadPhase::Done(Err(ApplyError::Unreadable(what)));
        if Digest::of(text.as_bytes()) != head.digest {
            self.reading = fail(format!("configuration {} is corrupt", head.digest));
            return;
        }
        match Config::from_canonical_json(text.as_bytes()) {
            Ok(config) => {
                self.base.config = config;
                self.base.head = Some((head, version));
                self.proceed(LoadPhase::Records);
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

/// A change that an operator wants to apply, not yet checked.
#[derive(Clone, Debug)]
pub struct Draft {
    proposal: Proposal,
    after_restore: bool,
}

#[derive(Clone, Debug)]
enum Proposal {
    Files(Vec<Source>),
    Drain(DrainTarget),
    Undrain(DrainTarget),
}

/// Why a draft can't be applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DraftError {
    /// The files have errors.
    Diagnostics(Diagnostics),
    /// The target is drained by the files, so `undrain` can't end the drain.
    DrainedByFiles(DrainTarget),
    /// `undrain` was called for a target that is not drained.
    NotDrained(DrainTarget),
    /// The canonical text or the store's object is too large: its size and the limit, in bytes.
    TooLarge(usize, usize),
    /// Balancers report a newer generation than the store has; see [`StoredState::is_restored`].
    Restored {
        /// The highest generation that a balancer reports.
        reported: Generation,
        /// The store's generation.
        stored: Generation,
    },
}

impl fmt::Display for DraftError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DraftError::Diagnostics(diagnostics) => write!(f, "{diagnostics}"),
            DraftError::DrainedByFiles(target) => write!(
                f,
                "{target} is drained by the configuration files: remove it there and apply them"
            ),
            DraftError::NotDrained(target) => write!(f, "{target} is not drained"),
            DraftError::TooLarge(bytes, allowed) => write!(
                f,
                "the configuration with its former services takes {bytes} bytes; allowed: at most {allowed}"
            ),
            DraftError::Restored { reported, stored } => write!(
                f,
                "balancers report generation {reported}, but the store has {stored}: the store was restored \
                 from an older copy. `apply --after-restore` applies files as generation {}",
                reported.0 + 1
            ),
        }
    }
}

impl std::error::Error for DraftError {}

impl Draft {
    /// A draft that replaces the services and drains by those of configuration files.
    pub fn files(sources: Vec<Source>) -> Self {
        Self::new(Proposal::Files(sources))
    }

    /// A draft of the configuration in force with one more commanded drain.
    pub fn drain(target: DrainTarget) -> Self {
        Self::new(Proposal::Drain(target))
    }

    /// A draft of the configuration in force without one of its commanded drains.
    pub fn undrain(target: DrainTarget) -> Self {
        Self::new(Proposal::Undrain(target))
    }

    fn new(proposal: Proposal) -> Self {
        Self {
            proposal,
            after_restore: false,
        }
    }

    /// Sets whether the draft may be applied to a store that was restored from an older copy. Its
    /// generation then follows the highest one that balancers report.
    pub fn after_restore(mut self, allowed: bool) -> Self {
        self.after_restore = allowed;
        self
    }

    /// Checks the draft against the configuration in force. `now` is the time from which former
    /// services of addresses that this draft moves are kept, and at which older ones expire.
    pub fn check(self, base: StoredState, now: Timestamp) -> Result<CheckedConfig, DraftError> {
        if base.is_restored() && !self.after_restore {
            return Err(DraftError::Restored {
                reported: base.reported_generation(),
                stored: base.generation(),
            });
        }
        let generation = Generation(base.generation().max(base.reported_generation()).0 + 1);
        let mut config = self.proposal.build(&base)?;
        config.carry_over(&base.config, generation, now);
        self.proposal.apply_drain(&mut config);
        if let Some((bytes, allowed)) = config.exceeded_size() {
            return Err(DraftError::TooLarge(bytes, allowed));
        }
        // JSON is always UTF-8.
        let text = String::from_utf8(config.canonical_json()).expect("JSON is UTF-8");
        Ok(CheckedConfig {
            digest: Digest::of(text.as_bytes()),
            text,
            config,
            generation,
            base,
        })
    }
}

impl Proposal {
    fn build(&self, base: &StoredState) -> Result<Config, DraftError> {
        match self {
            Proposal::Files(sources) => {
                files::parse(sources, Some(&base.config)).map_err(DraftError::Diagnostics)
            }
            Proposal::Undrain(target) if !base.config.commanded_drains.contains_target(target) => {
                match base.config.is_target_drained(target) {
                    true => Err(DraftError::DrainedByFiles(target.clone())),
                    false => Err(DraftError::NotDrained(target.clone())),
                }
            }
            Proposal::Drain(_) | Proposal::Undrain(_) => Ok(base.config.clone()),
        }
    }

    fn apply_drain(&self, config: &mut Config) {
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

/// A valid configuration and the stored state that it was checked against.
#[derive(Clone, Debug)]
pub struct CheckedConfig {
    config: Config,
    text: String,
    digest: Digest,
    generation: Generation,
    base: StoredState,
}

impl CheckedConfig {
    /// The configuration to apply.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// The stored state that it was checked against.
    pub fn base(&self) -> &StoredState {
        &self.base
    }

    /// The generation that it gets if it is accepted.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Digest of the canonical JSON, under which the store keeps it.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// Whether the configuration in force has this content already, so that applying it would
    /// change nothing. Always false for a restored store.
    pub fn is_in_force(&self) -> bool {
        let head = self.base.head.as_ref();
        !self.base.is_restored() && head.is_some_and(|(head, _)| head.digest == self.digest)
    }
}

/// A configuration that the store has accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedHead {
    head: Head,
}

impl AcceptedHead {
    /// The head as the store accepted it.
    pub fn head(&self) -> &Head {
        &self.head
    }
}

/// Digests of the configurations before this one, latest first and without duplicates.
fn recent(checked: &CheckedConfig) -> Vec<Digest> {
    let mut recent = Vec::new();
    if let Some((head, _)) = &checked.base.head {
        let before = head.previous.iter().chain(&head.recent);
        for digest in std::iter::once(&head.digest).chain(before) {
            if *digest != checked.digest && !recent.contains(digest) {
                recent.push(*digest);
            }
        }
    }
    recent.truncate(RECENT_CONFIGS_MAX);
    recent
}

#[derive(Clone, Debug)]
enum Phase {
    /// Lists stored configurations, to find those to delete after acceptance.
    List,
    Create,
    /// Reads the version of the configuration, whose object exists already.
    ReadConfig,
    /// Gives the existing object a new version, so that deletes by other operators fail.
    Renew(Version),
    Update,
    ReadBack,
    /// Deletes obsolete configurations after acceptance.
    Delete(AcceptedHead),
    Done(Result<AcceptedHead, ApplyError>),
}

/// Writes a checked configuration and its head to the store, then deletes configurations that the
/// new head neither names nor lists.
///
/// No delete, however late, removes a configuration that a head names or lists, for two reasons:
///
/// - The head is written only after its configuration was created or renewed, and that only after
///   the state that the draft was checked against was read.
/// - A delete names the version of the object that was listed before this publisher's own head was
///   accepted.
///
/// If another publisher renews a configuration after it was listed, its version has changed and the
/// delete fails. If it renewed the configuration before it was listed, the head that it checked
/// against has been replaced, and its own write of the head fails.
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
    client: RetryingClient,
    checked: CheckedConfig,
    head: Head,
    phase: Phase,
    /// Whether a write of the head has an unknown outcome, so that it may have taken effect.
    may_have_written: bool,
    /// Configurations to delete after acceptance. Invariant: listed before the head was written.
    deletable: Vec<(Key, Version)>,
    renewals: u64,
}

impl Publisher {
    /// A publisher that ends at `deadline`. `apply_id` is a random number that identifies this
    /// apply in the head; `seed` is that of the random pauses after errors.
    pub fn new(
        checked: CheckedConfig,
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
            client: RetryingClient::new(seed, now, deadline),
            checked,
            head,
            phase: Phase::List,
            may_have_written: false,
            deletable: Vec::new(),
            renewals: 0,
        }
    }

    /// The outcome; `None` while the publisher runs.
    pub fn result(&self) -> Option<Result<&AcceptedHead, &ApplyError>> {
        match &self.phase {
            Phase::Done(result) => Some(result.as_ref()),
            _ => None,
        }
    }

    /// Makes the next call if it is due.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Call>) {
        if self.client.expire(now) {
            self.handle(Err(Error::Lost), now);
        }
        if self.result().is_some() {
            return;
        }
        if now >= self.client.deadline {
            self.end_at_deadline();
        } else if self.client.is_due(now) {
            let operation = self.operation();
            self.client.call(operation, now, out);
        }
    }

    /// Takes the answer to a call. Answers to other calls than the pending one are ignored.
    pub fn answer(&mut self, answer: Answer, now: Instant) {
        if let Some(result) = self.client.match_answer(answer) {
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
            (Phase::Delete(_), _) if !self.deletable.is_empty() => {
                let (key, version) = self.deletable[0].clone();
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

    /// Selects the configurations to delete. A failed list is not repeated, because an apply
    /// doesn't depend on it: nothing is deleted then.
    fn handle_list(&mut self, result: Result<Outcome, Error>) {
        if let Ok(Outcome::Names(names)) = result {
            let old = names.into_iter().filter(|(key, _)| self.is_old(key));
            self.deletable = old.take(DELETES_MAX).collect();
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
            // The object's name is the digest of its content, so an existing object has the same
            // content. It is renewed, because another operator may be about to delete it.
            Err(Error::Exists | Error::Conflict) => self.proceed(Phase::ReadConfig),
            Err(error) => self.client.back_off(Some(error), now),
        }
    }

    fn handle_config(&mut self, result: Result<Outcome, Error>, now: Instant) {
        match result {
            Ok(Outcome::Object(object)) => {
                self.renewals += 1;
                self.proceed(Phase::Renew(object.version));
            }
            Err(Error::NotFound) => {
                self.client.back_off(None, now);
                self.phase = Phase::Create;
            }
            Ok(_) => self.client.back_off(Some(Error::Invalid), now),
            Err(error) => self.client.back_off(Some(error), now),
        }
    }

    fn handle_renewal(&mut self, result: Result<Outcome, Error>, now: Instant) {
        match result {
            Ok(_) => self.proceed(Phase::Update),
            // The object was deleted or renewed by another operator, or the answer was lost.
            Err(error) => {
                self.client.back_off(Some(error), now);
                self.phase = Phase::ReadConfig;
            }
        }
    }

    /// Failed deletes are not repeated, because the next apply lists the remaining objects.
    fn handle_delete(&mut self, result: Result<Outcome, Error>) {
        self.deletable.remove(0);
        // An object that another operator deleted or renewed doesn't keep the others from being
        // deleted. After any other error the remaining deletes are skipped.
        if !matches!(result, Ok(_) | Err(Error::NotFound | Error::Conflict)) {
            self.deletable.clear();
        }
        self.end_if_deletes_done();
    }

    fn end_if_deletes_done(&mut self) {
        if let (Phase::Delete(accepted), true) = (&self.phase, self.deletable.is_empty()) {
            self.phase = Phase::Done(Ok(accepted.clone()));
        }
    }

    fn proceed(&mut self, phase: Phase) {
        self.client.succeed();
        self.phase = phase;
    }

    fn handle_update(&mut self, result: Result<Outcome, Error>, now: Instant) {
        match result {
            Ok(Outcome::Object(object)) if object.value == Value::Head(self.head.clone()) => {
                self.accept(now);
            }
            // The store did not carry out the write, so it is repeated unchanged.
            Err(error @ (Error::Unavailable | Error::Throttled)) => {
                self.client.back_off(Some(error), now);
            }
            Err(Error::Conflict | Error::Exists | Error::NotFound) => {
                self.client.succeed();
                self.phase = Phase::ReadBack;
            }
            // A lost or unexpected answer: the write may have taken effect.
            Ok(_) | Err(_) => {
                self.may_have_written = true;
                self.client.back_off(result.err(), now);
                self.phase = Phase::ReadBack;
            }
        }
    }

    fn handle_read(&mut self, result: Result<Outcome, Error>, now: Instant) {
        match result {
            Ok(Outcome::Object(object)) => match object.value {
                Value::Head(head) => self.resolve_found_head(head, now),
                _ => self.client.back_off(Some(Error::Invalid), now),
            },
            Err(Error::NotFound) => self.retry_update(now),
            Ok(_) => self.client.back_off(Some(Error::Invalid), now),
            Err(error) => self.client.back_off(Some(error), now),
        }
    }

    /// Repeats the write of the head, conditional on the same version as before.
    fn retry_update(&mut self, now: Instant) {
        self.client.back_off(None, now);
        self.phase = Phase::Update;
    }

    fn resolve_found_head(&mut self, found: Head, now: Instant) {
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
        // A head that is older than the one checked against comes from a stale read.
        if is_base || found.generation < base {
            self.retry_update(now);
            return;
        }
        let next = Generation(self.head.generation.0 + 1);
        let failure = if !self.may_have_written || found.generation <= self.head.generation {
            self.conflict(found)
        } else if found.generation > next {
            self.unknown()
        } else if found.previous == Some(self.head.digest) {
            ApplyError::Superseded {
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
        self.phase = Phase::Delete(AcceptedHead { head });
        self.client.deadline = self.client.deadline.min(now + DELETE_TIME_MAX);
        self.end_if_deletes_done();
    }

    fn end_at_deadline(&mut self) {
        if matches!(self.phase, Phase::Delete(_)) {
            self.deletable.clear();
            return self.end_if_deletes_done();
        }
        let writing = matches!(self.phase, Phase::Update) && self.client.pending.is_some();
        let failure = match self.may_have_written || writing {
            true => self.unknown(),
            false => ApplyError::Unavailable(self.client.last_error),
        };
        self.phase = Phase::Done(Err(failure));
    }

    fn conflict(&self, accepted: Head) -> ApplyError {
        ApplyError::Conflict {
            author: self.head.author.clone(),
            generation: self.head.generation,
            accepted,
        }
    }

    fn unknown(&self) -> ApplyError {
        ApplyError::Unknown {
            generation: self.head.generation,
            apply_id: self.head.apply_id,
        }
    }
}

/// How many running balancers have a generation in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// Number of balancers whose state is not `Down`.
    pub balancers: usize,
    /// Running balancers that report an older generation, with that generation.
    pub lagging: Vec<(Member, Generation)>,
}

impl Rollout {
    /// The rollout of `generation` according to member records.
    pub fn of(records: &[Record], generation: Generation) -> Self {
        let running =
            |record: &&Record| record.role == Role::Balancer && record.state != State::Down;
        let balancers: Vec<_> = records.iter().filter(running).collect();
        let behind = balancers
            .iter()
            .filter(|record| record.generation < generation);
        let behind = behind.map(|record| (record.member.clone(), record.generation));
        Self {
            lagging: behind.collect(),
            balancers: balancers.len(),
        }
    }

    /// Whether every running balancer has this generation or a newer one in force.
    pub fn is_complete(&self) -> bool {
        self.lagging.is_empty()
    }
}

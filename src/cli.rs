//! Command-line interface for operators: checks and applies configurations, drains servers and
//! shows the state of an installation.

use std::io::Write;
use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};

use argh::FromArgs;
use tokio::sync::mpsc;

use crate::config::{diff, Config, DrainTarget, Timestamp};
use crate::explain;
use crate::files;
use crate::id::{Generation, Member};
use crate::jsonc::{parse_duration, DurationText};
use crate::member::{Record, Role, State};
use crate::publish::{
    ApplyError, CheckedConfig, Draft, DraftError, Loader, Publisher, Rollout, StoredState,
};
use crate::settings::store_address;
use crate::status::{format_flow_limit, Status};
use crate::store::{Answer, Call, Collection, Error, Operation, Outcome, Value};
use crate::store_http::Client;

/// Exit code of a command, for scripts that run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command did what it was asked to do.
    Success = 0,
    /// The command failed for a reason that no other code covers, and nothing was changed.
    Failure = 1,
    /// The command line is invalid.
    Usage = 2,
    /// The configuration is invalid; the message lists every fault.
    Invalid = 3,
    /// Another configuration was accepted first or has replaced this one, `--expect` named another
    /// generation, or the store was restored from an older copy.
    Conflict = 4,
    /// The configuration was accepted, but the wait time ended before every balancer reported it or
    /// before the drained servers had no open flows.
    WaitTimeout = 5,
    /// The store did not answer in time. The message says whether the configuration may have been
    /// accepted.
    Unavailable = 6,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}

/// Environment variable with the URL of the store. The option `--store` overrides it.
pub const STORE_VARIABLE: &str = "FLAMINGOFALL_STORE";

const ROLLOUT_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Longer than [`ROLLOUT_POLL_INTERVAL`]: a drain takes minutes to hours, and each poll reads all
/// domain objects.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Longest time between two ticks of a state machine while no answer arrives.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
const ANSWER_CHANNEL_CAPACITY: usize = 16;

/// Applies configurations to an installation and shows its state.
#[derive(FromArgs, Debug)]
#[argh(
    error_code(0, "done"),
    error_code(1, "failure"),
    error_code(2, "invalid command line"),
    error_code(3, "invalid configuration"),
    error_code(
        4,
        "conflict: another configuration was accepted, or the store was restored"
    ),
    error_code(
        5,
        "accepted, but not in force everywhere, or drained servers not empty, in time"
    ),
    error_code(
        6,
        "store unavailable; the message says whether the outcome is unknown"
    ),
    example = "{command_name} check examples/ahjo/config\n\
               {command_name} --store http://192.0.2.9:8080 apply examples/ahjo/config\n\
               {command_name} drain --host 192.0.2.31"
)]
struct Arguments {
    /// URL of the store, such as http://192.0.2.9:8080 (default: variable FLAMINGOFALL_STORE)
    #[argh(option)]
    store: Option<String>,

    /// time limit for the store to answer or to accept a change (default 30s)
    #[argh(
        option,
        from_str_fn(parse_duration_option),
        default = "Duration::from_secs(30)"
    )]
    deadline: Duration,

    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum Command {
    Check(CheckCommand),
    Diff(DiffCommand),
    Apply(ApplyCommand),
    Status(StatusCommand),
    Drain(DrainCommand),
    Undrain(UndrainCommand),
    Explain(ExplainCommand),
}

/// Check the configuration files of a directory without using the store.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "check")]
struct CheckCommand {
    /// directory with *.json files
    #[argh(positional)]
    directory: PathBuf,
}

/// Show what applying a directory would change.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "diff")]
struct DiffCommand {
    /// directory with *.json files
    #[argh(positional)]
    directory: PathBuf,
}

/// Apply the configuration files of a directory and wait until they are in force.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "apply")]
struct ApplyCommand {
    /// directory with *.json files
    #[argh(positional)]
    directory: PathBuf,

    /// fail with a conflict unless this generation is in force
    #[argh(option)]
    expect: Option<u64>,

    /// apply although the store was restored from an older copy
    #[argh(switch)]
    after_restore: bool,

    /// time to wait until every balancer reports the configuration (default 15s)
    #[argh(option, from_str_fn(parse_duration_option), default = "DEFAULT_WAIT")]
    wait: Duration,

    /// name recorded with the configuration (default: variable USER)
    #[argh(option, from_str_fn(parse_author), default = "default_author()")]
    author: String,
}

/// Show services, servers, balancers and the generation in force.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
struct StatusCommand {
    /// print JSON
    #[argh(switch)]
    json: bool,
}

/// Stop new flows to a server or to all servers of a host; established flows continue.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "drain")]
struct DrainCommand {
    /// server to drain, by its member name
    #[argh(option)]
    server: Option<Member>,

    /// host to drain, by its IP address
    #[argh(option)]
    host: Option<IpAddr>,

    /// afterwards, wait at most this long until no drained server has open flows
    #[argh(option, from_str_fn(parse_duration_option))]
    until_empty: Option<Duration>,

    /// time to wait until every balancer reports the configuration (default 15s)
    #[argh(option, from_str_fn(parse_duration_option), default = "DEFAULT_WAIT")]
    wait: Duration,

    /// name recorded with the configuration (default: variable USER)
    #[argh(option, from_str_fn(parse_author), default = "default_author()")]
    author: String,
}

/// End a drain that the command `drain` has set.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "undrain")]
struct UndrainCommand {
    /// drained server, by its member name
    #[argh(option)]
    server: Option<Member>,

    /// drained host, by its IP address
    #[argh(option)]
    host: Option<IpAddr>,

    /// time to wait until every balancer reports the configuration (default 15s)
    #[argh(option, from_str_fn(parse_duration_option), default = "DEFAULT_WAIT")]
    wait: Duration,

    /// name recorded with the configuration (default: variable USER)
    #[argh(option, from_str_fn(parse_author), default = "default_author()")]
    author: String,
}

/// Merge logs into the timeline of a flow, a server or a member without using the store.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "explain")]
struct ExplainCommand {
    /// flow, server or address of a member, written as in the logs
    #[argh(positional)]
    subject: String,

    /// log files, one for each process; `-` is standard input
    #[argh(positional)]
    logs: Vec<PathBuf>,

    /// time before and after the subject's lines from which related lines are shown (default 5s)
    #[argh(
        option,
        from_str_fn(parse_duration_option),
        default = "explain::DEFAULT_CONTEXT_MARGIN"
    )]
    margin: Duration,
}

const DEFAULT_WAIT: Duration = Duration::from_secs(15);

fn parse_duration_option(text: &str) -> Result<Duration, String> {
    let error = || "expected a duration with a unit (ms, s, m or h), such as 30s".to_owned();
    parse_duration(text).ok_or_else(error)
}

const AUTHOR_MAX_CHARS: usize = 100;

fn parse_author(text: &str) -> Result<String, String> {
    let count = text.chars().count();
    if count == 0 || count > AUTHOR_MAX_CHARS || text.chars().any(char::is_control) {
        return Err(format!(
            "expected 1 to {AUTHOR_MAX_CHARS} printable characters"
        ));
    }
    Ok(text.to_owned())
}

fn default_author() -> String {
    let user = std::env::var("USER").ok();
    let user = user.and_then(|user| parse_author(&user).ok());
    user.unwrap_or_else(|| "unknown".to_owned())
}

/// Runs the command line that this process was started with.
pub fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("can't start the async runtime: {error}");
            return Exit::Failure.into();
        }
    };
    let (mut out, mut err) = (std::io::stdout(), std::io::stderr());
    runtime.block_on(run(&arguments, &mut out, &mut err)).into()
}

/// Runs a command line, the first element of which is the program's name. Results go to `out`,
/// warnings and errors to `err`.
pub async fn run(arguments: &[&str], out: &mut dyn Write, err: &mut dyn Write) -> Exit {
    let (name, rest) = match arguments.split_first() {
        Some((name, rest)) => (*name, rest),
        None => ("flamingofall", arguments),
    };
    let name = Path::new(name).file_name().and_then(|name| name.to_str());
    let arguments = match Arguments::from_args(&[name.unwrap_or("flamingofall")], rest) {
        Ok(arguments) => arguments,
        Err(early) if early.status.is_ok() => {
            print(out, &early.output);
            return Exit::Success;
        }
        Err(early) => {
            print(err, &early.output);
            return Exit::Usage;
        }
    };
    match execute(arguments, out, err).await {
        Ok(()) => Exit::Success,
        Err(error) => {
            print(err, &error.message);
            error.exit
        }
    }
}

/// Writes a line. Write errors are ignored: a closed pipe must not abort a command halfway.
fn print(to: &mut dyn Write, line: &str) {
    let _ = writeln!(to, "{}", line.trim_end());
    let _ = to.flush();
}

/// The exit code of a failed command and the message that it prints.
struct CommandError {
    exit: Exit,
    message: String,
}

impl CommandError {
    fn new(exit: Exit, message: impl ToString) -> Self {
        Self {
            exit,
            message: message.to_string(),
        }
    }
}

impl From<&ApplyError> for CommandError {
    fn from(failure: &ApplyError) -> Self {
        let exit = match failure {
            ApplyError::Conflict { .. } | ApplyError::Superseded { .. } => Exit::Conflict,
            ApplyError::Unavailable(_) | ApplyError::Unknown { .. } => Exit::Unavailable,
            ApplyError::Unreadable(_) => Exit::Failure,
        };
        Self::new(exit, failure)
    }
}

impl From<DraftError> for CommandError {
    fn from(rejected: DraftError) -> Self {
        let exit = match rejected {
            DraftError::Diagnostics(_) | DraftError::TooLarge(..) => Exit::Invalid,
            DraftError::Restored { .. } => Exit::Conflict,
            DraftError::DrainedByFiles(_) | DraftError::NotDrained(_) => Exit::Failure,
        };
        Self::new(exit, rejected)
    }
}

async fn execute(
    arguments: Arguments,
    out: &mut dyn Write,
    err: &mut dyn Write,
) -> Result<(), CommandError> {
    let connect = || Session::new(arguments.store.as_deref(), arguments.deadline);
    match arguments.command {
        Command::Check(command) => check(&command.directory, out),
        Command::Explain(command) => explain(&command, out),
        Command::Diff(command) => {
            let draft = read_draft(&command.directory)?;
            let base = connect()?.load().await?;
            let checked = draft.after_restore(true).check(base, Timestamp::now())?;
            print_changes(&checked, out);
            Ok(())
        }
        Command::Status(command) => {
            let base = connect()?.load().await?;
            print_status(&base, command.json, out)
        }
        Command::Apply(command) => {
            let draft = read_draft(&command.directory)?.after_restore(command.after_restore);
            let mut session = connect()?;
            let base = session.load().await?;
            check_expected_generation(command.expect, &base)?;
            let change = Change::new(draft, command.author, command.wait);
            session.apply_change(change, base, out).await
        }
        Command::Drain(command) => {
            let target = select_target(command.server, command.host)?;
            let mut session = connect()?;
            let base = session.load().await?;
            if !has_record(&target, &base) {
                print(err, &format!("warning: no member record names {target}"));
            }
            let draft = Draft::drain(target.clone());
            let change = Change::new(draft, command.author, command.wait);
            session.apply_change(change, base, out).await?;
            match command.until_empty {
                Some(wait) => session.wait_until_empty(&target, wait, out).await,
                None => Ok(()),
            }
        }
        Command::Undrain(command) => {
            let target = select_target(command.server, command.host)?;
            let mut session = connect()?;
            let base = session.load().await?;
            let change = Change::new(Draft::undrain(target), command.author, command.wait);
            session.apply_change(change, base, out).await
        }
    }
}

fn read_draft(directory: &Path) -> Result<Draft, CommandError> {
    let sources = files::read_directory(directory);
    let sources = sources.map_err(|faults| CommandError::new(Exit::Invalid, faults))?;
    // Report faults that don't depend on the configuration in force before connecting to the store.
    files::parse(&sources, None).map_err(|faults| CommandError::new(Exit::Invalid, faults))?;
    Ok(Draft::files(sources))
}

fn check(directory: &Path, out: &mut dyn Write) -> Result<(), CommandError> {
    let sources = files::read_directory(directory);
    let config = sources.and_then(|sources| files::parse(&sources, None));
    let config: Config = config.map_err(|faults| CommandError::new(Exit::Invalid, faults))?;
    let addresses = config.services.values().map(|s| s.addresses.len());
    print(
        out,
        &format!(
            "valid: {} services, {} addresses, {} bytes, digest {}",
            config.services.len(),
            addresses.sum::<usize>(),
            config.object_bytes(),
            config.digest()
        ),
    );
    Ok(())
}

/// Prints the timeline of a flow, a server or a member.
fn explain(command: &ExplainCommand, out: &mut dyn Write) -> Result<(), CommandError> {
    if command.logs.is_empty() {
        return Err(CommandError::new(
            Exit::Usage,
            "expected one or more log files",
        ));
    }
    let mut lines = Vec::new();
    for path in &command.logs {
        let text = match path.to_str() {
            Some("-") => std::io::read_to_string(std::io::stdin()),
            _ => std::fs::read(path).map(|bytes| String::from_utf8_lossy(&bytes).into_owned()),
        };
        let text = text.map_err(|error| {
            let message = format!("can't read {}: {error}", path.display());
            CommandError::new(Exit::Failure, message)
        })?;
        let node = path.file_stem().unwrap_or_default().to_string_lossy();
        lines.extend(
            text.lines()
                .filter_map(|line| explain::Line::parse(&node, line)),
        );
    }
    let count = lines.len();
    let timeline = explain::timeline(lines, &command.subject, command.margin);
    if timeline.is_empty() {
        let message = format!("none of {count} lines names {}", command.subject);
        return Err(CommandError::new(Exit::Failure, message));
    }
    for entry in timeline {
        print(out, &entry.to_string());
    }
    Ok(())
}

fn select_target(
    server: Option<Member>,
    host: Option<IpAddr>,
) -> Result<DrainTarget, CommandError> {
    match (server, host) {
        (Some(server), None) => Ok(DrainTarget::Server(server)),
        (None, Some(host)) => Ok(DrainTarget::Host(host)),
        _ => Err(CommandError::new(
            Exit::Usage,
            "expected either --server or --host",
        )),
    }
}

fn has_record(target: &DrainTarget, base: &StoredState) -> bool {
    base.records
        .iter()
        .any(|record| matches_target(target, record))
}

fn matches_target(target: &DrainTarget, record: &Record) -> bool {
    match target {
        DrainTarget::Server(member) => record.member == *member,
        DrainTarget::Host(ip) => record.control.ip() == *ip,
    }
}

/// Lists the servers of a drain target that may have open flows, each with an upper bound on its
/// open flows, which is unknown until a draining agent reports it. Servers that are down have none.
fn servers_with_open_flows(records: &[Record], target: &DrainTarget) -> Vec<String> {
    let servers = records.iter().filter(|record| {
        record.role == Role::Agent && record.state != State::Down && matches_target(target, record)
    });
    servers
        .filter(|record| record.open_flows != Some(0) || record.state != State::Draining)
        .map(|record| match (record.state, record.open_flows) {
            (State::Draining, Some(flows)) => {
                format!("{} ({})", record.member, format_flow_limit(flows))
            }
            _ => format!("{} (unknown)", record.member),
        })
        .collect()
}

fn check_expected_generation(
    expected: Option<u64>,
    base: &StoredState,
) -> Result<(), CommandError> {
    match (expected.map(Generation), &base.head) {
        (Some(expected), _) if expected == base.generation() => Ok(()),
        (None, _) => Ok(()),
        (Some(expected), head) => {
            let author = head.as_ref().map_or("nobody", |(head, _)| &head.author);
            let found = base.generation();
            let message = format!(
                "conflict: expected generation {expected}, but generation {found} by {author} is in force"
            );
            Err(CommandError::new(Exit::Conflict, message))
        }
    }
}

fn print_changes(checked: &CheckedConfig, out: &mut dyn Write) {
    let changes = diff(&checked.base().config, checked.config());
    for change in &changes {
        print(out, &change.to_string());
    }
    if changes.is_empty() {
        print(out, "no difference");
    }
}

fn print_status(base: &StoredState, json: bool, out: &mut dyn Write) -> Result<(), CommandError> {
    let status = Status::of(base);
    if !json {
        print(out, &status.to_string());
        return Ok(());
    }
    let text = serde_json::to_string_pretty(&status);
    let text = text.map_err(|error| CommandError::new(Exit::Failure, error))?;
    print(out, &text);
    Ok(())
}

/// A change to the configuration in force, and the time to wait for its rollout.
struct Change {
    draft: Draft,
    author: String,
    wait: Duration,
}

impl Change {
    fn new(draft: Draft, author: String, wait: Duration) -> Self {
        Self {
            draft,
            author,
            wait,
        }
    }
}

/// A state machine that emits store calls when it is ticked and is given their answers.
trait StateMachine {
    fn tick(&mut self, now: Instant, out: &mut Vec<Call>);
    fn answer(&mut self, answer: Answer, now: Instant);
    fn is_done(&self) -> bool;
}

impl StateMachine for Loader {
    fn tick(&mut self, now: Instant, out: &mut Vec<Call>) {
        Loader::tick(self, now, out);
    }

    fn answer(&mut self, answer: Answer, now: Instant) {
        Loader::answer(self, answer, now);
    }

    fn is_done(&self) -> bool {
        self.result().is_some()
    }
}

impl StateMachine for Publisher {
    fn tick(&mut self, now: Instant, out: &mut Vec<Call>) {
        Publisher::tick(self, now, out);
    }

    fn answer(&mut self, answer: Answer, now: Instant) {
        Publisher::answer(self, answer, now);
    }

    fn is_done(&self) -> bool {
        self.result().is_some()
    }
}

/// The store client of one command, with the command's deadline.
struct Session {
    client: Arc<Client>,
    deadline: Instant,
}

impl Session {
    fn new(store: Option<&str>, deadline: Duration) -> Result<Self, CommandError> {
        let variable = std::env::var(STORE_VARIABLE).ok();
        let Some(url) = store.or(variable.as_deref()) else {
            let message =
                format!("no store: expected --store or the environment variable {STORE_VARIABLE}");
            return Err(CommandError::new(Exit::Usage, message));
        };
        let Some(address) = store_address(url) else {
            let message =
                format!("invalid store URL {url:?}; allowed: \"http://\" with IP address and port");
            return Err(CommandError::new(Exit::Usage, message));
        };
        Ok(Self {
            client: Arc::new(Client::new(address)),
            deadline: Instant::now() + deadline,
        })
    }

    async fn load(&mut self) -> Result<StoredState, CommandError> {
        let mut loader = Loader::new(rand::random(), Instant::now(), self.deadline);
        self.run_to_completion(&mut loader).await;
        match loader.result() {
            Some(Ok(base)) => Ok(base.clone()),
            Some(Err(failure)) => Err(failure.into()),
            None => Err(CommandError::new(
                Exit::Failure,
                "internal error: the loader ended without a result",
            )),
        }
    }

    async fn apply_change(
        &mut self,
        change: Change,
        base: StoredState,
        out: &mut dyn Write,
    ) -> Result<(), CommandError> {
        let checked = change.draft.check(base, Timestamp::now())?;
        print_changes(&checked, out);
        let generation = match checked.is_in_force() {
            true => {
                let generation = checked.base().generation();
                print(out, &format!("generation {generation} is unchanged"));
                generation
            }
            false => self.publish(checked, change.author, out).await?,
        };
        self.wait_until_in_force(generation, change.wait, out).await
    }

    async fn publish(
        &mut self,
        checked: CheckedConfig,
        author: String,
        out: &mut dyn Write,
    ) -> Result<Generation, CommandError> {
        let (id, seed): (u64, u64) = (rand::random(), rand::random());
        // Printed before the write, so that an operator whose command is interrupted can look for
        // the apply id in `status`.
        let generation = checked.generation();
        print(
            out,
            &format!("applying generation {generation}, apply id {id:016x}"),
        );
        let now = Instant::now();
        let mut publisher = Publisher::new(checked, author, id, seed, now, self.deadline);
        self.run_to_completion(&mut publisher).await;
        match publisher.result() {
            Some(Ok(accepted)) => {
                let head = accepted.head();
                let line = format!(
                    "accepted as generation {}, digest {}",
                    head.generation, head.digest
                );
                print(out, &line);
                Ok(head.generation)
            }
            Some(Err(failure)) => Err(failure.into()),
            None => Err(CommandError::new(
                Exit::Failure,
                "internal error: the publisher ended without a result",
            )),
        }
    }

    /// Ticks a state machine and carries out its calls until it is done.
    async fn run_to_completion(&self, machine: &mut impl StateMachine) {
        let (sender, mut answers) = mpsc::channel(ANSWER_CHANNEL_CAPACITY);
        let mut calls = Vec::new();
        loop {
            machine.tick(Instant::now(), &mut calls);
            if machine.is_done() {
                return;
            }
            for call in calls.drain(..) {
                let (client, sender) = (self.client.clone(), sender.clone());
                tokio::spawn(async move { client.call(call, &sender).await });
            }
            tokio::select! {
                Some(answer) = answers.recv() => machine.answer(answer, Instant::now()),
                () = tokio::time::sleep(TICK_INTERVAL) => {}
            }
        }
    }

    /// Polls the member records until every running balancer reports the generation.
    async fn wait_until_in_force(
        &self,
        generation: Generation,
        wait: Duration,
        out: &mut dyn Write,
    ) -> Result<(), CommandError> {
        let deadline = Instant::now() + wait;
        let mut shown = None;
        loop {
            let rollout = self.rollout(generation).await;
            if let Ok(rollout) = &rollout {
                let line = rollout_progress(rollout, generation);
                if shown.as_ref() != Some(&line) {
                    print(out, &line);
                    shown = Some(line);
                }
                if rollout.is_complete() {
                    return Ok(());
                }
            }
            if Instant::now() >= deadline {
                let message = rollout_timeout_message(rollout, generation, wait);
                return Err(CommandError::new(Exit::WaitTimeout, message));
            }
            tokio::time::sleep(ROLLOUT_POLL_INTERVAL).await;
        }
    }

    /// Polls the member records until no drained server has open flows.
    async fn wait_until_empty(
        &self,
        target: &DrainTarget,
        wait: Duration,
        out: &mut dyn Write,
    ) -> Result<(), CommandError> {
        let deadline = Instant::now() + wait;
        let mut shown = None;
        loop {
            let open = self.records().await;
            let open = open.map(|records| servers_with_open_flows(&records, target));
            let line = match &open {
                Ok(open) if open.is_empty() => {
                    print(out, &format!("{target} has no open flows"));
                    return Ok(());
                }
                Ok(open) => format!("open flows: {}", open.join(", ")),
                Err(error) => {
                    format!("open flows: can't read the member records from the store ({error})")
                }
            };
            if Instant::now() >= deadline {
                let message = format!("not empty after {}: {line}", DurationText(wait));
                return Err(CommandError::new(Exit::WaitTimeout, message));
            }
            if shown.as_ref() != Some(&line) {
                print(out, &line);
                shown = Some(line);
            }
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
    }

    async fn rollout(&self, generation: Generation) -> Result<Rollout, Error> {
        Ok(Rollout::of(&self.records().await?, generation))
    }

    async fn records(&self) -> Result<Vec<Record>, Error> {
        let (sender, mut answers) = mpsc::channel(1);
        let call = Call {
            id: 1,
            operation: Operation::List(Collection::Domains),
        };
        self.client.call(call, &sender).await;
        let answer = answers.recv().await.ok_or(Error::Unavailable)?;
        let Outcome::List { objects, .. } = answer.result? else {
            return Err(Error::Invalid);
        };
        let records = objects.into_iter().filter_map(|object| match object.value {
            Value::Domain(records) => Some(records),
            _ => None,
        });
        Ok(records.flatten().collect())
    }
}

fn rollout_progress(rollout: &Rollout, generation: Generation) -> String {
    if rollout.balancers == 0 {
        return format!("generation {generation}: no balancer is known");
    }
    let current = rollout.balancers - rollout.lagging.len();
    format!(
        "generation {generation} is in force on {current} of {} balancers",
        rollout.balancers
    )
}

fn rollout_timeout_message(
    rollout: Result<Rollout, Error>,
    generation: Generation,
    wait: Duration,
) -> String {
    let wait = DurationText(wait);
    match rollout {
        Ok(rollout) => {
            let behind = rollout.lagging.iter();
            let behind: Vec<_> = behind
                .map(|(member, generation)| format!("{member} (generation {generation})"))
                .collect();
            format!(
                "generation {generation} is accepted, but after {wait} not in force on: {}",
                behind.join(", ")
            )
        }
        Err(error) => format!(
            "generation {generation} is accepted, but can't read from the store where it is in force ({error})"
        ),
    }
}

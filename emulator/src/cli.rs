//! The command line: runs scenarios and prints their results.

use std::num::NonZeroUsize;
use std::path::{Path, PathBuf};

use anyhow::{ensure, Context, Result};
use argh::FromArgs;

use crate::experiment::{self, Total};
use crate::plot;
use crate::scenario::Scenario;
use crate::simulation;

/// Simulates balancers, agents, servers and clients in virtual time.
#[derive(FromArgs)]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(RunCommand),
    Mix(MixCommand),
    Sweep(SweepCommand),
    Compare(CompareCommand),
}

/// Run a scenario with consecutive seeds.
#[derive(FromArgs)]
#[argh(subcommand, name = "run")]
struct RunCommand {
    /// scenario file (JSON with comments)
    #[argh(positional)]
    scenario: PathBuf,

    /// first seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,

    /// number of runs, each with the next seed (default 1)
    #[argh(option, default = "1")]
    runs: u64,

    /// print the figures of each run as a line of JSON
    #[argh(switch)]
    json: bool,

    /// write a plot of the requests of each second as SVG, summed over the runs
    #[argh(option)]
    plot: Option<PathBuf>,

    /// write the log lines of all processes in the first run to a file, for `flamingofall explain`
    #[argh(option)]
    log: Option<PathBuf>,
}

/// Run a scenario with additional random events, others for each seed.
#[derive(FromArgs)]
#[argh(subcommand, name = "mix")]
struct MixCommand {
    /// scenario file (JSON with comments)
    #[argh(positional)]
    scenario: PathBuf,

    /// first seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,

    /// number of runs, each with the next seed (default 20)
    #[argh(option, default = "20")]
    runs: u64,

    /// draw the kinds of events that aim at resets of open flows
    #[argh(switch)]
    aimed: bool,

    /// write the log lines of all processes in the first run to a file, for `flamingofall explain`
    #[argh(option)]
    log: Option<PathBuf>,
}

/// Run variants of a scenario with the same seeds, each with one key changed.
#[derive(FromArgs)]
#[argh(subcommand, name = "sweep")]
struct SweepCommand {
    /// scenario file (JSON with comments)
    #[argh(positional)]
    scenario: PathBuf,

    /// key=value, with the value in JSON; each is a variant
    #[argh(positional)]
    changes: Vec<String>,

    /// number of runs of each variant (default 5)
    #[argh(option, default = "5")]
    runs: u64,
}

/// Run two scenarios with the same seeds.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
struct CompareCommand {
    /// scenario file (JSON with comments)
    #[argh(positional)]
    before: PathBuf,

    /// scenario file (JSON with comments)
    #[argh(positional)]
    after: PathBuf,

    /// number of runs of each (default 10)
    #[argh(option, default = "10")]
    runs: u64,
}

/// Runs the command that the arguments of this process name. Returns an error if a file or an
/// argument is invalid, or if a run has violations.
pub fn run() -> Result<()> {
    let arguments: Arguments = argh::from_env();
    match arguments.command {
        Command::Run(command) => run_seeds(&command),
        Command::Mix(command) => mix(&command),
        Command::Sweep(command) => sweep(&command),
        Command::Compare(command) => compare(&command),
    }
}

fn run_seeds(command: &RunCommand) -> Result<()> {
    let scenario = Scenario::read(&command.scenario)?;
    if let Some(path) = &command.log {
        write_log(path, scenario.clone(), command.seed)?;
    }
    let seeds = command.seed..command.seed + command.runs;
    let reports = experiment::simulate_seeds(&scenario, seeds.clone(), worker_threads());
    for (seed, report) in seeds.zip(&reports) {
        match command.json {
            true => println!("{}", serde_json::to_string(&report.summary())?),
            false => println!("seed={seed} {report}"),
        }
        for violation in &report.violations {
            println!("seed={seed} broken: {violation}");
        }
    }
    if let Some(path) = &command.plot {
        plot::draw_per_second(path, &experiment::sum_per_second(&reports))?;
    }
    ensure_no_violations(reports.iter().map(|report| report.violations.len()).sum())
}

fn mix(command: &MixCommand) -> Result<()> {
    let scenario = Scenario::read(&command.scenario)?;
    let mixture = |seed| match command.aimed {
        true => scenario.with_aimed_events(seed),
        false => scenario.with_random_events(seed),
    };
    if let Some(path) = &command.log {
        write_log(path, mixture(command.seed), command.seed)?;
    }
    let seeds: Vec<u64> = (command.seed..command.seed + command.runs).collect();
    let reports = experiment::run_parallel(&seeds, worker_threads(), |seed| {
        simulation::simulate(mixture(*seed), *seed)
    });
    let mut violations = 0;
    for (seed, report) in seeds.iter().zip(&reports) {
        println!("seed={seed} {report}");
        for violation in &report.violations {
            println!("seed={seed} broken: {violation}");
        }
        if !report.violations.is_empty() {
            violations += report.violations.len();
            for event in mixture(*seed).events {
                println!("seed={seed} event={}", serde_json::to_string(&event)?);
            }
        }
    }
    ensure_no_violations(violations)
}

fn sweep(command: &SweepCommand) -> Result<()> {
    ensure!(
        !command.changes.is_empty(),
        "expected at least one key=value"
    );
    let base = Scenario::read(&command.scenario)?;
    let variants: Vec<(&str, Scenario)> = command
        .changes
        .iter()
        .map(|change| Ok((change.as_str(), base.with_change(change)?)))
        .collect::<Result<_>>()?;
    print_variants(variants, command.runs)
}

fn compare(command: &CompareCommand) -> Result<()> {
    let name = |path: &Path| path.display().to_string();
    let (before, after) = (name(&command.before), name(&command.after));
    let variants = vec![
        (before.as_str(), Scenario::read(&command.before)?),
        (after.as_str(), Scenario::read(&command.after)?),
    ];
    print_variants(variants, command.runs)
}

/// Runs variants with the same seeds and prints a line of totals for each.
fn print_variants(variants: Vec<(&str, Scenario)>, runs: u64) -> Result<()> {
    println!("{}", Total::HEADER);
    let mut violations = 0;
    for (name, scenario) in variants {
        let total = Total::of(&experiment::simulate_seeds(
            &scenario,
            1..runs + 1,
            worker_threads(),
        ));
        println!("{total} {name}");
        violations += total.violations;
    }
    ensure_no_violations(violations)
}

/// Runs the scenario with the seed and writes the log lines of all processes.
fn write_log(path: &Path, scenario: Scenario, seed: u64) -> Result<()> {
    let report = simulation::simulate_with_log(scenario, seed);
    std::fs::write(path, report.log_lines.join("\n"))
        .with_context(|| format!("failed to write {}", path.display()))
}

fn ensure_no_violations(violations: usize) -> Result<()> {
    ensure!(violations == 0, "{violations} guarantees were broken");
    Ok(())
}

/// Number of threads for runs: half of the processors, which leaves the rest for other work.
fn worker_threads() -> NonZeroUsize {
    let all = std::thread::available_parallelism().map_or(1, NonZeroUsize::get);
    NonZeroUsize::new(all / 2).unwrap_or(NonZeroUsize::MIN)
}

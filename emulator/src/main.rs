//! Plays scenarios and prints what they showed.

use std::path::PathBuf;

use anyhow::Result;
use argh::FromArgs;
use flamingofall_emulator::scenario::Scenario;
use flamingofall_emulator::world;

/// Plays a scenario of balancers, agents, servers and clients in virtual time.
#[derive(FromArgs)]
struct Options {
    /// scenario file (JSON with comments)
    #[argh(positional)]
    scenario: PathBuf,

    /// first seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,

    /// number of runs, each with the next seed (default 1)
    #[argh(option, default = "1")]
    runs: u64,

    /// print a line of JSON for each run
    #[argh(switch)]
    json: bool,
}

fn main() -> Result<()> {
    let options: Options = argh::from_env();
    let scenario = Scenario::read(&options.scenario)?;
    let mut broken = 0;
    for seed in options.seed..options.seed + options.runs {
        let report = world::play(scenario.clone(), seed);
        broken += report.broken.len();
        if options.json {
            println!("{}", serde_json::to_string(&report.summary())?);
        } else {
            println!("seed={seed} {report}");
        }
        for what in &report.broken {
            println!("seed={seed} broken: {what}");
        }
    }
    anyhow::ensure!(broken == 0, "{broken} guarantees were broken");
    Ok(())
}

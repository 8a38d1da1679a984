//! Command line that runs seeded fault plans against the platform's programs.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::{ensure, Result};
use argh::FromArgs;
use flamingofall::logging;
use flamingofall_soak::plan::{Plan, Size};
use flamingofall_soak::run::{self, Options};

/// Runs the platform's programs on loopback and injects faults from outside.
#[derive(FromArgs)]
struct Arguments {
    /// first seed (default 1)
    #[argh(option, default = "1")]
    seed: u64,

    /// number of runs, each with the next seed (default 1)
    #[argh(option, default = "1")]
    runs: u64,

    /// seconds during which faults may begin (default 20)
    #[argh(option, default = "20")]
    length: u64,

    /// seconds without a fault before the first one may begin (default 0)
    #[argh(option, default = "0")]
    calm: u64,

    /// also renew servers: they start again at once under the same names, and drain later
    #[argh(switch)]
    renew: bool,

    /// also let the store come back from older copies
    #[argh(switch)]
    restore: bool,

    /// also restart agents and balancers in turn, with turns that overlap; half of the clients rest
    /// for seconds between requests
    #[argh(switch)]
    rolls: bool,

    /// number of balancers (default 4)
    #[argh(option, default = "Size::default().balancers")]
    balancers: usize,

    /// number of agents, each with a server (default 9)
    #[argh(option, default = "Size::default().agents")]
    agents: usize,

    /// number of clients (default 40)
    #[argh(option, default = "Size::default().clients")]
    clients: usize,

    /// path of the platform's program (default target/release/flamingofall-platform)
    #[argh(
        option,
        default = "PathBuf::from(\"target/release/flamingofall-platform\")"
    )]
    program: PathBuf,

    /// directory of settings and logs, kept for failed runs (default target/soak)
    #[argh(option, default = "PathBuf::from(\"target/soak\")")]
    directory: PathBuf,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let arguments: Arguments = argh::from_env();
    logging::init_with("flamingofall_soak=info");
    ensure!(
        arguments.program.exists(),
        "{} doesn't exist; build it with: cargo build --release -p flamingofall-platform",
        arguments.program.display()
    );
    let size = Size {
        balancers: arguments.balancers,
        agents: arguments.agents,
        clients: arguments.clients,
        resting_clients: 0,
    };
    size.validate()?;
    let mut failed = 0;
    for seed in arguments.seed..arguments.seed + arguments.runs {
        let mut plan = Plan::random(seed, size, Duration::from_secs(arguments.length));
        if arguments.renew {
            plan.renew_servers();
        }
        if arguments.restore {
            plan.restore_store();
        }
        if arguments.rolls {
            plan.roll_processes();
        }
        plan.delay(Duration::from_secs(arguments.calm));
        let directory = arguments.directory.join(format!("seed-{seed}"));
        let options = Options {
            program: arguments.program.clone(),
            directory: directory.clone(),
            second_octet: run::find_free_octet(16 + (seed % 200) as u8)?,
        };
        let report = run::run(plan, options).await?;
        println!("seed={seed} {report}");
        for what in &report.violations {
            println!("seed={seed} broken: {what}");
        }
        if run::check_report(&report).is_ok() {
            std::fs::remove_dir_all(&directory)?;
        } else {
            failed += 1;
        }
    }
    ensure!(failed == 0, "{failed} of {} runs failed", arguments.runs);
    Ok(())
}

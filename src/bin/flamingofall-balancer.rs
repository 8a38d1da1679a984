//! The balancer's process.

use std::path::PathBuf;

use anyhow::Result;
use argh::FromArgs;
use flamingofall::{balancerd, daemon, logging, settings};

/// Forwards packets from the fabric to the agents of the backend servers.
#[derive(FromArgs)]
struct Options {
    /// settings file (JSON with comments)
    #[argh(positional)]
    settings: PathBuf,

    /// number of threads that forward packets (default 1, at least 1)
    #[argh(option, default = "1")]
    threads: usize,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let options: Options = argh::from_env();
    logging::init();
    let settings = settings::BalancerSettings::read(&options.settings)?;
    balancerd::run(
        settings,
        options.threads.max(1),
        daemon::Stop::on_signals()?,
    )
    .await
}

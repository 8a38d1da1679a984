//! The agent's process.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::Result;
use argh::FromArgs;
use flamingofall::{agentd, daemon, logging, settings};

/// Runs beside a backend server and decides which flows the server gets.
#[derive(FromArgs)]
struct Options {
    /// settings file (JSON with comments)
    #[argh(positional)]
    settings: PathBuf,

    /// seconds after which a draining agent exits even with open flows (default 3600)
    #[argh(option, default = "3600")]
    drain_seconds: u64,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let options: Options = argh::from_env();
    logging::init();
    let settings = settings::AgentSettings::read(&options.settings)?;
    let drain_time = Duration::from_secs(options.drain_seconds);
    agentd::run(settings, drain_time, daemon::Stop::on_signals()?).await
}

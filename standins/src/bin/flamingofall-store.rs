//! Runs the stand-in for the platform's object store as a program.
//!
//! Usage: `flamingofall-store SETTINGS`, where SETTINGS is the path of a JSON file such as
//! `{"seed": 1}`. The program prints its address on standard output and exits on SIGTERM.

use std::fs;

use anyhow::Context;
use flamingofall_standins::store::Store;
use serde::Deserialize;
use tokio::signal::unix::{signal, SignalKind};

/// Contents of the settings file.
#[derive(Deserialize)]
struct Settings {
    /// Seed of the random numbers that the faults use.
    seed: u64,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let path = std::env::args()
        .nth(1)
        .context("missing argument: path of the settings file")?;
    let settings: Settings = serde_json::from_str(&fs::read_to_string(path)?)?;
    let mut terminate = signal(SignalKind::terminate())?;
    let store = Store::start(settings.seed).await?;
    println!("event=listening address={}", store.address());
    terminate.recv().await;
    println!("event=stopped");
    Ok(())
}

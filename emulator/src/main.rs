//! Command line of the emulator.

use std::process::ExitCode;

fn main() -> ExitCode {
    match flamingofall_emulator::cli::run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

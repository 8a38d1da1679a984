//! The operators' command `flamingofall`.

use std::process::ExitCode;

fn main() -> ExitCode {
    flamingofall::cli::main()
}

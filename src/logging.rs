//! Log lines of key=value pairs on standard error.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use env_logger::{Builder, Env};

/// Starts logging at level `info`, unless the variable `FLAMINGOFALL_LOG` says otherwise.
pub fn init() {
    let env = Env::new().filter_or(
        "FLAMINGOFALL_LOG",
        "flamingofall=info,flamingofall_platform=info",
    );
    Builder::from_env(env)
        .format(|line, record| {
            let age = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            let level = record.level().as_str().to_ascii_lowercase();
            writeln!(
                line,
                "time={:.3} level={level} {}",
                age.as_secs_f64(),
                record.args()
            )
        })
        .init();
}

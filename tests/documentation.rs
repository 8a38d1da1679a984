//! The documentation describes every key of the files and every exit code.

use flamingofall::files;
use flamingofall::jsonc::{Diagnostics, Source};
use flamingofall::settings::{AgentSettings, BalancerSettings};
use yare::parameterized;

const CONFIGURATION: &str = include_str!("../docs/CONFIGURATION.md");
const OPERATIONS: &str = include_str!("../docs/OPERATIONS.md");

fn read_files(text: &str) -> Diagnostics {
    files::parse(&[Source::new("x", text)], None).unwrap_err()
}

fn read_balancer(text: &str) -> Diagnostics {
    BalancerSettings::parse(&Source::new("x", text)).unwrap_err()
}

fn read_agent(text: &str) -> Diagnostics {
    AgentSettings::parse(&Source::new("x", text)).unwrap_err()
}

/// Guards against a key without a description. The error of an unknown key lists all allowed keys.
#[parameterized(
    file = { read_files, r#"{"?": 1}"#, "" },
    service = { read_files, r#"{"services": [{"?": 1}]}"#, "" },
    address = { read_files, r#"{"services": [{"addresses": [{"?": 1}]}]}"#, "" },
    idle_timeouts = { read_files, r#"{"services": [{"idle_timeouts": {"?": 1}}]}"#, "idle_timeouts." },
    drains = { read_files, r#"{"drains": {"?": 1}}"#, "" },
    balancer = { read_balancer, r#"{"?": 1}"#, "" },
    agent = { read_agent, r#"{"?": 1}"#, "" },
)]
fn keys_described(read: fn(&str) -> Diagnostics, text: &str, prefix: &str) {
    let diagnostics = read(text);
    let unknown = |problem: &str| problem.contains("unknown key");
    let diagnostic = diagnostics
        .list()
        .iter()
        .find(|diagnostic| unknown(&diagnostic.problem))
        .unwrap();
    for key in diagnostic.allowed.split(", ") {
        assert!(CONFIGURATION.contains(&format!("`{prefix}{key}`")), "{key}");
    }
}

/// Guards against exit codes that the operations guide doesn't describe.
#[test]
fn exit_codes_described() {
    for code in 0..=6 {
        assert!(OPERATIONS.contains(&format!("\n| {code} | ")), "{code}");
    }
}

//! Settings of the daemons: valid files and the errors of invalid ones.

use flamingofall::jsonc::{Diagnostics, Source};
use flamingofall::settings::{AgentSettings, BalancerSettings, SharedKey};
use yare::parameterized;

const BALANCER: &str = r#"{
  // A balancer.
  "member": "entry-1",
  "domain": "espoo",
  "data": "127.1.0.1:6080",
  "control": "127.1.0.1:7000",
  "http": "127.1.0.1:9100",
  "store": "http://127.0.0.9:8080",
  "peers": ["127.1.0.2:7000"],
  "key": "000102030405060708090a0b0c0d0e0f",
}"#;

const AGENT: &str = r#"{
  "member": "payout-1",
  "domain": "espoo",
  "data": "127.2.0.1:6080",
  "control": "127.2.0.1:7000",
  "http": "127.2.0.1:9100",
  "server": "127.2.0.1:6081",
  "fabric": "127.0.0.5:6080",
  "balancers": ["127.1.0.1:7000"],
  "key": "000102030405060708090a0b0c0d0e0f"
}"#;

fn balancer(text: &str) -> Result<BalancerSettings, Diagnostics> {
    BalancerSettings::parse(&Source::new("b.json", text))
}

fn agent(text: &str) -> Result<AgentSettings, Diagnostics> {
    AgentSettings::parse(&Source::new("a.json", text))
}

/// Guards against valid settings that are rejected or read wrongly.
#[test]
fn valid_settings() {
    let settings = balancer(BALANCER).unwrap();
    assert_eq!(settings.member.as_str(), "entry-1");
    assert_eq!(settings.peers, ["127.1.0.2:7000".parse().unwrap()]);
    assert_eq!(settings.key.bytes()[15], 15);
    assert!(agent(AGENT).unwrap().http.ip().is_loopback());
}

/// Guards against errors without a position, and against secrets in error messages.
#[parameterized(
    unknown_key = { BALANCER, r#""http""#, r#""htpt""#, "b.json:7:3: unknown key \"htpt\"; allowed: control, data, domain, http" },
    missing_key = { BALANCER, r#""http""#, r#""htpt""#, "b.json:1:1: missing key \"http\"" },
    duplicate_key = { BALANCER, r#""member""#, "\"member\": \"a\", \"member\"", "b.json:3:18: duplicate key" },
    zero_port = { BALANCER, "1:7000", "1:0", "b.json:6:14: invalid value \"127.1.0.1:0\"" },
    unspecified = { BALANCER, "127.1.0.1:6080", "0.0.0.0:6080", "b.json:5:11: invalid value" },
    port_missing = { BALANCER, "127.1.0.1:6080", "127.1.0.1", "b.json:5:11: invalid value" },
    bad_name = { BALANCER, "espoo", "Espoo", "b.json:4:13: invalid value \"Espoo\"; allowed: 1 to 63 lower-case" },
    own_peer = { BALANCER, "127.1.0.2:7000", "127.1.0.1:7000", "b.json:9:13: 127.1.0.1:7000 is this process's own \"control\" address" },
    duplicate_peer = { BALANCER, "\"127.1.0.2:7000\"", "\"127.1.0.2:7000\", \"127.1.0.2:7000\"", "b.json:9:31: duplicate address" },
    same_address = { BALANCER, "1:6080", "1:7000", "\"data\" has the same address as \"control\"" },
    store_scheme = { BALANCER, "http://", "", "b.json:8:12: invalid store URL" },
    store_name = { BALANCER, "127.0.0.9", "store", "b.json:8:12: invalid store URL" },
    short_key = { BALANCER, "000102", "0102", "b.json:10:10: invalid key; allowed: 32 hexadecimal digits" },
    two_keys = { BALANCER, r#""key""#, "\"key_file\": \"k\", \"key\"", "both \"key\" and \"key_file\"" },
    no_key_file = { BALANCER, r#""key""#, "\"key_file\"", "b.json:10:15: can't read the key file" },
    wrong_type = { BALANCER, "\"entry-1\"", "7", "b.json:3:13: invalid value 7" },
    not_json = { BALANCER, "\"entry-1\",", "\"entry-1\"", "b.json:4:3: missing comma" },
    single_quotes = { BALANCER, "\"espoo\"", "'espoo'", "b.json:4:13: single quote; allowed: text in double quotes" },
    bare_key = { BALANCER, "\"domain\"", "domain", "b.json:4:3: Expected string for object property; allowed: JSON" },
    truncated = { BALANCER, "}", "", "b.json:1:1: Unterminated object" },
    trailing = { BALANCER, "0f\",\n}", "0f\"}}", "JSON" },
    public_http = { AGENT, "127.2.0.1:9100", "192.0.2.1:9100", "a.json:6:11: address 192.0.2.1:9100 is not on loopback" },
    no_balancer = { AGENT, "\"127.1.0.1:7000\"", "", "a.json:9:16: no balancer" },
    balancer_key = { AGENT, "\"fabric\"", "\"store\"", "unknown key \"store\"" },
    server_is_data = { AGENT, "127.2.0.1:6081", "127.2.0.1:6080", "\"server\" has the same address as \"data\"" },
)]
fn reports_fault(valid: &str, from: &str, to: &str, expected: &str) {
    assert!(valid.contains(from));
    let text = valid.replacen(from, to, 1);
    let diagnostics = match valid == AGENT {
        true => agent(&text).unwrap_err(),
        false => balancer(&text).unwrap_err(),
    };
    let printed = diagnostics.to_string();
    assert!(printed.contains(expected), "{printed}");
    assert!(!printed.contains("0708090a"), "secret in {printed}");
}

/// Guards against a reader that stops at the first error.
#[test]
fn reports_all() {
    let diagnostics = balancer(r#"{"member": 1, "domain": 2, "nope": 3}"#).unwrap_err();
    assert_eq!(diagnostics.list().len(), 9, "{diagnostics}");
}

/// Guards against a key file that is ignored, and against keys in debug output, which may be
/// logged.
#[test]
fn key_from_file() {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), "000102030405060708090a0b0c0d0e0f\n").unwrap();
    let path = serde_json::to_string(file.path()).unwrap();
    let text = BALANCER.replace(
        r#""key": "000102030405060708090a0b0c0d0e0f""#,
        &format!("\"key_file\": {path}"),
    );
    let settings = balancer(&text).unwrap();
    let expected: SharedKey = "000102030405060708090a0b0c0d0e0f".parse().unwrap();
    assert_eq!(settings.key, expected);
    assert!(format!("{settings:?}").contains("Key(..)"));
}

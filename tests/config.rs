//! Configuration files: errors, canonical form, differences and former services.

use std::path::{Path, PathBuf};

use flamingofall::config::{diff, Address, Config, DrainTarget, Timestamp};
use flamingofall::files::{parse, read_directory};
use flamingofall::id::{Digest, Generation, Service as Name};
use flamingofall::jsonc::{Diagnostics, Source};
use flamingofall::settings::{AgentSettings, BalancerSettings};
use flamingofall::store::{Collection, Error, Key, Object, Value, Version, CONFIG_TEXT_MAX_BYTES};
use yare::parameterized;

const NOW: Timestamp = Timestamp(1_800_000_000);

const TWO_SERVICES: &str = r#"{
  "services": [
    {
      "name": "portal", "organisation": "fund",
      "addresses": [
        { "protocol": "tcp", "address": "198.51.100.1:443" },
        { "protocol": "udp", "address": "198.51.100.1:443", "weight": 4 },
      ],
      "buckets": 256,
      "weight": 2,
      "idle_timeouts": { "udp": "40s" },
      "connections": 2000,
    },
    {
      "name": "service-85556", "organisation": "fund",
      "addresses": [{ "protocol": "tcp", "address": "198.51.100.2:443" }],
      "drain": { "servers": ["b-1"], "hosts": ["192.0.2.1"] },
    },
  ],
  "drains": { "hosts": ["192.0.2.2"] },
}"#;

fn read(text: &str) -> Result<Config, Diagnostics> {
    parse(&[Source::new("two.json", text)], None)
}

fn two_services() -> Config {
    read(TWO_SERVICES).unwrap()
}

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn address(text: &str) -> Address {
    Address {
        protocol: flamingofall::packet::Protocol::Tcp,
        address: text.parse().unwrap(),
    }
}

/// Guards against an invalid configuration that is accepted, and against errors without a position
/// or without a description of what is allowed.
#[parameterized(
    overlap = { "100.2:443", "100.1:443", "two.json:16:21: address tcp/198.51.100.1:443 of service-85556 already belongs to portal at two.json:6:9; allowed: each protocol" },
    overlap_within = { "\"udp\", ", "\"tcp\", ", "two.json:7:9: address tcp/198.51.100.1:443 of portal already belongs to portal" },
    duplicate_name = { "service-85556", "portal", "two.json:15:15: duplicate service portal, first at two.json:4:15; allowed: each name once" },
    tag = { "portal", "service-138850", "two.json:15:15: service service-85556 has the same tag as service-138850; allowed: a name with another tag" },
    buckets_odd = { "256", "1000", "two.json:9:18: 1000 is not a power of two; allowed: a power of two from 16 to 65536" },
    buckets_zero = { "256", "0", "two.json:9:18: invalid value 0; allowed: a whole number from 16 to 65536" },
    buckets_many = { "256", "131072", "allowed: a whole number from 16 to 65536" },
    weight_zero = { "\"weight\": 2", "\"weight\": 0", "two.json:10:17: invalid value 0; allowed: a whole number from 1 to 100" },
    weight_negative = { "\"weight\": 2", "\"weight\": -1", "two.json:10:17: invalid value -1" },
    weight_decimal = { "\"weight\": 2", "\"weight\": 1.5", "two.json:10:17: invalid value 1.5" },
    weight_large = { "\"weight\": 4", "\"weight\": 1e9", "two.json:7:71: invalid value 1e9" },
    connections_zero = { "2000", "0", "two.json:12:22: invalid value 0; allowed: a whole number from 1 to 1000000" },
    connections_text = { "2000", "\"2000\"", "two.json:12:22: invalid value \"2000\"" },
    unit_missing = { "\"40s\"", "40", "two.json:11:33: invalid value 40; allowed: a duration from 1s to 1h as text with a unit (ms, s, m or h)" },
    unit_unknown = { "40s", "40sec", "two.json:11:33: invalid value \"40sec\"" },
    unit_alone = { "40s", "s", "two.json:11:33: invalid value \"s\"" },
    duration_range = { "40s", "2h", "two.json:11:33: invalid value \"2h\"" },
    duration_overflow = { "40s", "99999999999999999h", "two.json:11:33: invalid value" },
    at_most_once = { "40s", "29s", "two.json:11:24: \"udp\" is shorter than the duplicate window" },
    factor_low = { "\"weight\": 2", "\"admission_factor\": 1.0", "allowed: a number from 1.01 to 10 with at most two decimals" },
    factor_fine = { "\"weight\": 2", "\"admission_factor\": 1.255", "two.json:10:27: invalid value 1.255" },
    cold_start = { "\"weight\": 2", "\"cold_start\": \"2h\"", "allowed: a duration from 0s to 1h" },
    semantics = { "\"weight\": 2", "\"semantics\": \"twice\"", "allowed: \"at-most-once\" or \"idempotent\"" },
    unknown_key = { "\"weight\": 2", "\"wieght\": 2", "two.json:10:7: unknown key \"wieght\"; allowed: addresses, admission_factor, buckets" },
    no_addresses = { "[{ \"protocol\": \"tcp\", \"address\": \"198.51.100.2:443\" }]", "[]", "two.json:16:20: no address" },
    multicast = { "198.51.100.2", "224.0.0.1", "two.json:16:53: 224.0.0.1 can't be the address of a service" },
    mapped = { "198.51.100.2", "[::ffff:198.51.100.1]", "can't be the address of a service" },
    scoped = { "198.51.100.2", "[fe80::1%3]", "two.json:16:53: invalid value" },
    protocol = { "\"udp\", ", "\"sctp\", ", "two.json:7:23: invalid value \"sctp\"; allowed: \"tcp\" or \"udp\"" },
    drained_host = { "192.0.2.1", "host-1", "two.json:17:48: invalid value \"host-1\"; allowed: IP address of a host" },
    not_a_list = { "[\"b-1\"]", "\"b-1\"", "two.json:17:29: invalid value \"b-1\"; allowed: a list in brackets" },
)]
fn reports_fault(from: &str, to: &str, expected: &str) {
    assert!(TWO_SERVICES.contains(from));
    let printed = read(&TWO_SERVICES.replacen(from, to, 1))
        .unwrap_err()
        .to_string();
    assert!(printed.contains(expected), "{printed}");
}

/// Guards against a check that stops at the first file or service with an error.
#[test]
fn reports_all() {
    let faulty = TWO_SERVICES.replace("\"weight\": 2", "\"weight\": 0");
    let sources = [
        Source::new("1.json", TWO_SERVICES),
        Source::new("2.json", faulty),
    ];
    let diagnostics = parse(&sources, None).unwrap_err();
    let printed = diagnostics.to_string();
    // One weight, two duplicate names and three duplicate addresses.
    assert_eq!(diagnostics.list().len(), 6, "{printed}");
    assert!(
        printed.contains("2.json:15:15: duplicate service service-85556, first at 1.json:15:15")
    );
    assert!(printed.contains("already belongs to portal at 1.json:6:9"));
}

/// Guards against texts that are not one JSON object of limited depth with at least one service.
#[parameterized(
    empty = { "", "empty text" },
    no_service = { "{}", "no service in any file" },
    list = { "[]", "allowed: an object in braces" },
    deep = { "[[[[[[[[[[[[[[[[[[", "1:17: nested too deeply" },
    two_values = { "{} {}", "1:4" },
)]
fn rejects_text(text: &str, expected: &str) {
    let printed = read(text).unwrap_err().to_string();
    assert!(printed.contains(expected), "{printed}");
}

/// Guards against a change of the number of buckets, which would move every flow of the service.
#[test]
fn buckets_fixed() {
    let changed = TWO_SERVICES.replace("256", "512");
    let sources = [Source::new("two.json", changed)];
    let mut before = two_services();
    let expected = "two.json:9:18: 512 buckets, but portal is in force with 256; allowed: 256, or a service with another name";
    assert_eq!(
        parse(&sources, Some(&before)).unwrap_err().to_string(),
        expected
    );
    // The number is also fixed while the service is the former service of a removed address.
    let mut after = before.clone();
    after.services.remove(&name("portal"));
    after.carry_over(&before, Generation(2), NOW);
    before = after;
    assert_eq!(
        parse(&sources, Some(&before)).unwrap_err().to_string(),
        expected
    );
}

/// Guards against a digest that depends on the order or the layout of the files.
#[test]
fn canonical_form() {
    let mut value: serde_json::Value = serde_json::to_value(two_services()).unwrap();
    assert_eq!(value["services"]["service-85556"].get("buckets"), None);
    let reordered = TWO_SERVICES
        .replace(
            "{ \"protocol\": \"tcp\", \"address\": \"198.51.100.1:443\" },",
            "",
        )
        .replace(
            "\"weight\": 4 },",
            "\"weight\": 4 }, { \"address\": \"198.51.100.1:443\", \"protocol\": \"tcp\" }",
        );
    assert_eq!(read(&reordered).unwrap().digest(), two_services().digest());
    let text = two_services().canonical_json();
    let back = Config::from_canonical_json(&text).unwrap();
    assert_eq!(back, two_services());
    let digest = back.digest();
    assert_eq!(digest.to_string().parse::<Digest>().unwrap(), digest);
    // Routing computes `hash & (buckets - 1)`, so a stored zero must be rejected.
    value["services"]["portal"]["buckets"] = 0.into();
    assert!(Config::from_canonical_json(value.to_string().as_bytes()).is_err());
}

/// Guards against differences that `diff` leaves out or reports for equal configurations.
#[test]
fn lists_differences() {
    let text = TWO_SERVICES
        .replace("\"weight\": 2", "\"weight\": 3")
        .replace("192.0.2.2", "192.0.2.3");
    let text = text.replace("service-85556", "other");
    let changes = diff(&two_services(), &read(&text).unwrap());
    let printed: Vec<_> = changes.iter().map(ToString::to_string).collect();
    assert_eq!(
        printed,
        [
            "- service service-85556",
            "+ service other",
            "~ service portal: weight 2 -> 3",
            "~ address tcp/198.51.100.2:443: service-85556 -> other",
            "~ drains: hosts [\"192.0.2.2\"] -> [\"192.0.2.3\"]",
        ]
    );
    assert_eq!(diff(&two_services(), &two_services()), []);
}

/// Guards against flows that lose the server that owns them when their address moves to another
/// service, is removed or moves back.
#[test]
fn former_services() {
    let at = address("198.51.100.2:443");
    let step = |previous: &Config, service: &str, generation| {
        let mut next = read(&TWO_SERVICES.replace("service-85556", service)).unwrap();
        next.carry_over(previous, Generation(generation), NOW);
        next
    };
    let list = |config: &Config| -> Vec<_> {
        let former = config.former.iter().filter(|f| f.address == at);
        former
            .map(|f| (f.service.to_string(), f.generation.0))
            .collect()
    };
    let moved = step(&two_services(), "b", 2);
    assert_eq!(list(&moved), [("service-85556".to_owned(), 2)]);
    let again = step(&moved, "c", 3);
    assert_eq!(
        list(&again),
        [("b".to_owned(), 3), ("service-85556".to_owned(), 2)]
    );
    let back = step(&again, "b", 4);
    assert_eq!(
        list(&back),
        [("c".to_owned(), 4), ("service-85556".to_owned(), 2)]
    );
    assert_eq!(back.last_former_service(&at).unwrap().service, name("c"));
    let mut removed = back.clone();
    removed.services.remove(&name("b"));
    removed.carry_over(&back, Generation(5), NOW);
    assert_eq!(list(&removed).len(), 3);
    Config::from_canonical_json(&removed.canonical_json()).unwrap();
}

/// Guards against former services that never expire, and against ones that expire before 24 h have
/// passed although the operators' clocks differ by less than 1 h.
#[parameterized(
    after_a_day = { 24 * 3_600 + 3_599, 1 },
    expired = { 25 * 3_600, 0 },
    clock_behind = { -3_600, 1 },
)]
fn former_expires(later: i64, kept: usize) {
    let mut moved = read(&TWO_SERVICES.replace("service-85556", "b")).unwrap();
    moved.carry_over(&two_services(), Generation(2), NOW);
    let mut next = moved.clone();
    next.carry_over(
        &moved,
        Generation(3),
        Timestamp(NOW.0.saturating_add_signed(later)),
    );
    assert_eq!(next.former.len(), kept);
}

/// Guards against an apply of files that removes a drain set by the `drain` command.
#[test]
fn keeps_commanded_drains() {
    let mut previous = two_services();
    let target = DrainTarget::Server("a-1".parse().unwrap());
    previous.commanded_drains.insert(&target);
    let mut next = two_services();
    next.carry_over(&previous, Generation(2), NOW);
    assert!(next.commanded_drains.contains_target(&target));
    let part = next.effective_service(&name("service-85556")).unwrap();
    assert!(part.drain.contains_target(&target));
    assert_eq!((part.drain.servers.len(), part.drain.hosts.len()), (2, 2));
}

/// Guards against a configuration that exceeds the store's limits at the target size of 3,000
/// services.
#[test]
fn target_size() {
    let services = (0..3_000).map(|i| {
        format!(
            r#"{{"name": "payout-portal-of-region-{i}", "organisation": "organisation-{}",
            "addresses": [{{"protocol": "tcp", "address": "[2001:db8:1:2::{i:x}]:443"}}], "weight": 4,
            "connections": 2000, "idle_timeouts": {{"tcp": "12h"}}}}"#,
            i % 50
        )
    });
    let text = format!(
        "{{\"services\": [{}]}}",
        services.collect::<Vec<_>>().join(",")
    );
    let mut next = read(&text).unwrap();
    let moved = read(&text.replace("payout-portal", "statements")).unwrap();
    next.carry_over(&moved, Generation(2), NOW);
    assert_eq!(next.former.len(), 1_000);
    let text = String::from_utf8(next.canonical_json()).unwrap();
    let text_bytes = text.len();
    let object = Object {
        key: Key::Config(next.digest()),
        version: Version("18446744073709551615".to_owned()),
        value: Value::Config(text),
    };
    let bytes = object.to_json().to_string().len();
    // Both sizes are at most half of their limits.
    println!("{bytes} bytes, text {text_bytes} bytes");
    assert!(bytes <= 500_000, "{bytes} bytes");
    assert!(text_bytes <= 1_000_000, "text of {text_bytes} bytes");
    let read = Object::from_json(Collection::Configs, &object.to_json());
    assert_eq!(read.unwrap().value, object.value);
    assert!((bytes..bytes + 512).contains(&next.object_bytes()));
}

/// Guards against objects of earlier versions that can't be read, and against compressed texts
/// that fill the memory.
#[test]
fn object_forms() {
    let object = |text: String| Object {
        key: Key::Config(flamingofall::id::Digest::of(text.as_bytes())),
        version: Version("1".to_owned()),
        value: Value::Config(text),
    };
    let read = |json: &serde_json::Value| {
        Object::from_json(Collection::Configs, json).map(|object| object.value)
    };
    let mut json = object("a".repeat(CONFIG_TEXT_MAX_BYTES)).to_json();
    assert!(read(&json).is_ok());
    json["spec"] = serde_json::json!({ "text": "{}" });
    assert_eq!(read(&json), Ok(Value::Config("{}".to_owned())));
    let large = object("a".repeat(CONFIG_TEXT_MAX_BYTES + 1)).to_json();
    assert_eq!(read(&large), Err(Error::Invalid));
    for broken in ["?", "eJw=", "AAAA"] {
        json["spec"] = serde_json::json!({ "zlib": broken });
        assert_eq!(read(&json), Err(Error::Invalid), "{broken}");
    }
}

fn examples(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(path)
}

/// Guards against example files that are invalid or whose settings don't match each other.
#[parameterized(
    ahjo = { "ahjo", 3, 3, &[("payout-portal", 2000), ("statement-service", 2000)], 10 },
    transcripciones = { "transcripciones", 4, 4, &[("ordering", 2000), ("delivery", 2000)], 11 },
)]
fn shipped_files(
    path: &str,
    domains: usize,
    entries: usize,
    services: &[(&str, u32)],
    agents: usize,
) {
    let config = parse(
        &read_directory(&examples(path).join("config")).unwrap(),
        None,
    )
    .unwrap();
    for (service, connections) in services {
        let service = &config.services[&name(service)];
        assert_eq!(service.connections.unwrap().0, *connections);
    }
    assert_eq!(config.services.len(), services.len());
    let settings = read_directory(&examples(path).join("settings")).unwrap();
    let is_agent = |source: &&Source| source.text().contains("\"fabric\"");
    let (agent_files, balancer_files): (Vec<_>, Vec<_>) = settings.iter().partition(is_agent);
    let agent_list: Vec<_> = agent_files
        .into_iter()
        .map(|s| AgentSettings::parse(s).unwrap())
        .collect();
    let balancers: Vec<_> = balancer_files
        .into_iter()
        .map(|s| BalancerSettings::parse(s).unwrap())
        .collect();
    assert_eq!((balancers.len(), agent_list.len()), (entries, agents));
    let found: std::collections::BTreeSet<_> = balancers.iter().map(|b| &b.domain).collect();
    assert_eq!(found.len(), domains);
    for balancer in &balancers {
        let others = balancers
            .iter()
            .map(|b| b.control)
            .filter(|c| *c != balancer.control);
        assert_eq!(balancer.peers, others.collect::<Vec<_>>());
    }
    let mut used: Vec<_> = balancers.iter().flat_map(|b| [b.data, b.control]).collect();
    for agent in &agent_list {
        assert!(found.contains(&agent.domain));
        assert_eq!(agent.balancers.len(), entries);
        used.extend([agent.data, agent.control, agent.server]);
    }
    let count = used.len();
    used.sort();
    used.dedup();
    assert_eq!(used.len(), count, "an address is used twice");
}

//! Parsing and validation of the operators' configuration files.
//!
//! All files of a directory are parsed and checked together, so that one run reports all their
//! errors.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use crate::config::{
    self, valid_buckets, Address, AddressWeight, Config, Drains, IdleTimeouts, Semantics, Service,
};
use crate::id::{Connections, Organisation, Service as Name};
use crate::jsonc::{Diagnostics, Node, Object, Position, Source, SOURCE_MAX_BYTES};

/// Largest total size of the files of a directory, in bytes.
pub const FILES_MAX_BYTES: usize = 8 * SOURCE_MAX_BYTES;

/// Shortest idle timeout of UDP flows of a service that runs requests at most once. It covers the
/// duplicate window: a copy of a request that arrives after its flow was removed would run as a new
/// request.
const AT_MOST_ONCE_UDP_MIN: Duration = Duration::from_secs(30);

const SECOND: Duration = Duration::from_secs(1);
const MINUTE: Duration = Duration::from_secs(60);
const HOUR: Duration = Duration::from_secs(3_600);
const DAY: Duration = Duration::from_secs(86_400);

/// Reads the `*.json` files of a directory in the order of their names. Hidden files are skipped.
pub fn read_directory(path: &Path) -> Result<Vec<Source>, Diagnostics> {
    let fail = |problem: String, allowed: &str| {
        let mut diagnostics = Diagnostics::default();
        diagnostics.push(file_start(path), problem, allowed);
        diagnostics
    };
    let allowed = "a directory with *.json files";
    let entries = std::fs::read_dir(path)
        .and_then(Iterator::collect::<Result<Vec<_>, _>>)
        .map_err(|error| fail(format!("can't read: {error}"), allowed))?;
    let paths = entries.iter().map(|entry| entry.path());
    let mut paths: Vec<_> = paths.filter(|path| is_configuration(path)).collect();
    paths.sort();
    if paths.is_empty() {
        return Err(fail("no *.json file".to_owned(), allowed));
    }
    let mut sources = Vec::new();
    let mut bytes = 0;
    for path in paths {
        let source = Source::read(&path)?;
        bytes += source.text().len();
        if bytes > FILES_MAX_BYTES {
            let allowed = format!("at most {FILES_MAX_BYTES} bytes in all files");
            return Err(fail("files too large".to_owned(), &allowed));
        }
        sources.push(source);
    }
    Ok(sources)
}

fn is_configuration(path: &Path) -> bool {
    let hidden = path
        .file_name()
        .is_some_and(|name| name.as_encoded_bytes().starts_with(b"."));
    !hidden
        && path
            .extension()
            .is_some_and(|extension| extension == "json")
}

fn file_start(path: &Path) -> Position {
    Position {
        file: path.display().to_string(),
        line: 1,
        column: 1,
    }
}

/// Parses configuration files and checks them on their own and against the configuration in force.
///
/// ```
/// use flamingofall::{files, jsonc::Source};
///
/// let text = r#"{ "services": [{
///   "name": "statements",
///   "organisation": "fund",
///   "addresses": [{ "protocol": "tcp", "address": "198.51.100.7:443" }],
///   "weight": 0 // not allowed
/// }] }"#;
/// let diagnostics = files::parse(&[Source::new("a.json", text)], None).unwrap_err();
/// assert_eq!(
///     diagnostics.to_string(),
///     "a.json:5:13: invalid value 0; allowed: a whole number from 1 to 100"
/// );
/// ```
pub fn parse(sources: &[Source], in_force: Option<&Config>) -> Result<Config, Diagnostics> {
    let mut diagnostics = Diagnostics::default();
    let mut found = Vec::new();
    let mut drains = Drains::default();
    for source in sources {
        if let Some(file) = source.object(&mut diagnostics, read_file) {
            found.extend(file.services.into_iter().map(|service| (source, service)));
            drains.extend(&file.drains);
        }
    }
    check_names(&found, &mut diagnostics);
    check_addresses(&found, &mut diagnostics);
    check_buckets_unchanged(&found, in_force, &mut diagnostics);
    let services = found.into_iter().filter_map(|(_, found)| found.service);
    let config = Config {
        services: services.map(|s| (s.name.clone(), s)).collect(),
        drains,
        ..Config::default()
    };
    check_config(sources, &config, &mut diagnostics);
    diagnostics.into_result(Some(config))
}

/// Content of one file.
struct ParsedFile {
    services: Vec<ParsedService>,
    drains: Drains,
}

/// A service as far as it could be parsed. Values that are checked across files are kept with their
/// byte offsets, also if the service has errors.
#[derive(Default)]
struct ParsedService {
    name: Option<(Name, usize)>,
    buckets: Option<(u32, usize)>,
    addresses: Vec<(Address, usize)>,
    /// `None` if the service has errors of its own.
    service: Option<Service>,
}

fn read_file(object: &mut Object<'_>) -> Option<ParsedFile> {
    let services = object.optional("services");
    let services = services.and_then(|node| node.list(|node| Some(parse_service(node))));
    let drains = object.optional("drains").and_then(read_drains);
    Some(ParsedFile {
        services: services.unwrap_or_default(),
        drains: drains.unwrap_or_default(),
    })
}

fn parse_service(node: Node<'_>) -> ParsedService {
    let mut found = ParsedService::default();
    let service = node.object(|object| read_service(object, &mut found));
    found.service = service;
    found
}

fn read_service(object: &mut Object<'_>, found: &mut ParsedService) -> Option<Service> {
    let name = object.required("name");
    found.name = name.and_then(|node| Some((node.name()?, node.offset())));
    let organisation: Option<Organisation> = object.required("organisation").and_then(Node::name);
    let addresses = object.required("addresses").and_then(read_addresses);
    let weight = value_or_default(object, "weight", 1, |node| {
        node.number(config::WEIGHT_RANGE)
    });
    let semantics = value_or_default(object, "semantics", Semantics::default(), |node| {
        node.parse("\"at-most-once\" or \"idempotent\"")
    });
    let buckets_node = object.optional("buckets");
    let buckets = value_or_default(object, "buckets", config::BUCKETS_DEFAULT, read_buckets);
    let cold_start = value_or_default(object, "cold_start", 30 * SECOND, |node| {
        node.duration(Duration::ZERO..=HOUR)
    });
    let idle_timeouts = value_or_default(
        object,
        "idle_timeouts",
        IdleTimeouts::default(),
        read_idle_timeouts,
    );
    let connections = value_or_default(object, "connections", None, |node| {
        Some(Some(node.number(config::CONNECTIONS_RANGE)?))
    });
    let default = u64::from(config::ADMISSION_PERCENT_DEFAULT);
    let admission = value_or_default(object, "admission_factor", default, |node| {
        node.hundredths(config::ADMISSION_PERCENT_RANGE)
    });
    let drain = value_or_default(object, "drain", Drains::default(), read_drains);

    found.addresses = addresses
        .iter()
        .flatten()
        .map(|a| (a.address, a.offset))
        .collect();
    found.buckets = buckets.zip(buckets_node.or(name).map(Node::offset));
    if semantics == Some(Semantics::AtMostOnce) {
        check_at_most_once(object, idle_timeouts.as_ref());
    }
    let weight = weight? as u32;
    let addresses = addresses?;
    let own_weights = addresses.iter().filter_map(|a| {
        let address = a.address;
        let weight = a.weight.filter(|own| *own != weight)?;
        Some(AddressWeight { address, weight })
    });
    let mut address_weights: Vec<_> = own_weights.collect();
    address_weights.sort();
    let name = found.name.as_ref()?.0.clone();
    let addresses = addresses.iter().map(|a| a.address).collect();
    Some(Service {
        weight,
        address_weights,
        semantics: semantics?,
        buckets: buckets?,
        cold_start_ms: cold_start?.as_millis() as u64,
        idle_timeouts: idle_timeouts?,
        connections: connections?.map(|number| Connections(number as u32)),
        admission_percent: admission? as u32,
        drain: drain?,
        ..Service::new(name, organisation?, addresses)
    })
}

/// The value of a key, or its default if the key is absent. `None` if `read` reported an error.
fn value_or_default<'r, T>(
    object: &mut Object<'r>,
    key: &'static str,
    default: T,
    read: impl FnOnce(Node<'r>) -> Option<T>,
) -> Option<T> {
    match object.optional(key) {
        Some(node) => read(node),
        None => Some(default),
    }
}

struct ParsedAddress {
    address: Address,
    weight: Option<u32>,
    offset: usize,
}

fn read_addresses(node: Node<'_>) -> Option<Vec<ParsedAddress>> {
    let mut count = 0;
    let addresses = node.list(|node| {
        count += 1;
        node.object(read_address)
    })?;
    if count == 0 {
        return node.report("no address", "at least one address");
    }
    Some(addresses)
}

fn read_address(object: &mut Object<'_>) -> Option<ParsedAddress> {
    let protocol = object.required("protocol");
    let protocol = protocol.and_then(|node| node.parse("\"tcp\" or \"udp\""));
    let address = object.required("address").and_then(read_service_address);
    let weight = value_or_default(object, "weight", None, |node| {
        Some(Some(node.number(config::WEIGHT_RANGE)? as u32))
    });
    Some(ParsedAddress {
        address: Address {
            protocol: protocol?,
            address: address?,
        },
        weight: weight?,
        offset: object.node().offset(),
    })
}

fn read_service_address(node: Node<'_>) -> Option<SocketAddr> {
    let address = node.address()?;
    let ip = address.ip();
    let broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    let mapped = ip.to_canonical() != ip;
    if ip.is_multicast() || broadcast || mapped {
        return node.report(
            format!("{ip} can't be the address of a service"),
            "a unicast IPv4 address, or a unicast IPv6 address that maps no IPv4 address",
        );
    }
    Some(address)
}

fn read_buckets(node: Node<'_>) -> Option<u32> {
    let buckets = node.number(config::BUCKETS_RANGE)? as u32;
    if valid_buckets(buckets) {
        return Some(buckets);
    }
    let (low, high) = (config::BUCKETS_RANGE.start(), config::BUCKETS_RANGE.end());
    node.report(
        format!("{buckets} is not a power of two"),
        format!("a power of two from {low} to {high}"),
    )
}

fn read_idle_timeouts(node: Node<'_>) -> Option<IdleTimeouts> {
    let default = IdleTimeouts::default();
    node.object(|object| {
        let tcp = value_or_default(object, "tcp", default.tcp(), |n| n.duration(MINUTE..=DAY));
        let udp = value_or_default(object, "udp", default.udp(), |n| n.duration(SECOND..=HOUR));
        let closing = value_or_default(object, "closing", default.closing(), |n| {
            n.duration(SECOND..=HOUR)
        });
        Some(IdleTimeouts {
            tcp_ms: tcp?.as_millis() as u64,
            udp_ms: udp?.as_millis() as u64,
            closing_ms: closing?.as_millis() as u64,
        })
    })
}

fn read_drains(node: Node<'_>) -> Option<Drains> {
    node.object(|object| {
        let servers = value_or_default(object, "servers", Vec::new(), |node| node.list(Node::name));
        let hosts = value_or_default(object, "hosts", Vec::new(), |node| {
            node.list(|node| node.parse("IP address of a host, such as \"192.0.2.1\""))
        });
        Some(Drains {
            servers: servers?.into_iter().collect(),
            hosts: hosts?.into_iter().collect(),
        })
    })
}

fn check_at_most_once(object: &mut Object<'_>, idle: Option<&IdleTimeouts>) {
    let short = idle.is_some_and(|idle| idle.udp() < AT_MOST_ONCE_UDP_MIN);
    if let (true, Some(node)) = (short, object.optional("idle_timeouts")) {
        node.report::<()>(
            "\"udp\" is shorter than the duplicate window of a service with \"at-most-once\"",
            "at least \"30s\", or \"semantics\": \"idempotent\"",
        );
    }
}

/// Reports names that are used twice, and different names that have the same tag.
fn check_names(found: &[(&Source, ParsedService)], diagnostics: &mut Diagnostics) {
    // Positions are computed only for errors, as each takes time linear in the length of the line.
    let mut names: BTreeMap<&Name, (&Source, usize)> = BTreeMap::new();
    let mut tags = BTreeMap::new();
    for (source, service) in found {
        let Some((name, offset)) = &service.name else {
            continue;
        };
        if let Some((at, first)) = names.get(name) {
            let problem = format!("duplicate service {name}, first at {}", at.position(*first));
            diagnostics.push(source.position(*offset), problem, "each name once");
            continue;
        }
        names.insert(name, (source, *offset));
        if let Some(other) = tags.insert(name.tag(), name) {
            diagnostics.push(
                source.position(*offset),
                format!("service {name} has the same tag as {other}"),
                "a name with another tag: change the name of the new service",
            );
        }
    }
}

/// Reports addresses that are used twice, in one service or in two.
fn check_addresses(found: &[(&Source, ParsedService)], diagnostics: &mut Diagnostics) {
    let mut seen: BTreeMap<Address, (String, &Source, usize)> = BTreeMap::new();
    for (source, service) in found {
        let name = service.name.as_ref().map_or("(no name)", |n| n.0.as_str());
        for (address, offset) in &service.addresses {
            match seen.get(address) {
                None => {
                    seen.insert(*address, (name.to_owned(), source, *offset));
                }
                Some((other, at, first)) => diagnostics.push(
                    source.position(*offset),
                    format!(
                        "address {address} of {name} already belongs to {other} at {}",
                        at.position(*first)
                    ),
                    "each protocol, IP address and port once",
                ),
            }
        }
    }
}

/// Reports services whose number of buckets differs from the configuration in force, which includes
/// former services.
fn check_buckets_unchanged(
    found: &[(&Source, ParsedService)],
    in_force: Option<&Config>,
    diagnostics: &mut Diagnostics,
) {
    for (source, service) in found {
        let (Some((name, _)), Some((buckets, offset))) = (&service.name, service.buckets) else {
            continue;
        };
        let before = in_force.and_then(|config| config.buckets_of(name));
        match before {
            Some(before) if before != buckets => diagnostics.push(
                source.position(offset),
                format!("{buckets} buckets, but {name} is in force with {before}"),
                format!("{before}, or a service with another name"),
            ),
            _ => {}
        }
    }
}

/// Checks the number of services and the size of the configuration, if there are no other errors.
fn check_config(sources: &[Source], config: &Config, diagnostics: &mut Diagnostics) {
    let Some(source) = sources.first() else {
        return;
    };
    if !diagnostics.is_empty() {
        return;
    }
    if config.services.is_empty() {
        diagnostics.push(
            source.position(0),
            "no service in any file",
            "at least one service",
        );
    }
    if let Some((bytes, allowed)) = config.exceeded_size() {
        let allowed = format!("at most {allowed} bytes");
        let problem = format!("the configuration takes {bytes} bytes");
        diagnostics.push(source.position(0), problem, allowed);
    }
}

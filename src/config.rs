//! The operators' configuration: services, their addresses and their limits.
//!
//! Operators write files of JSON with comments (`files`). All files of a directory together become
//! one [`Config`], which is stored as canonical JSON under its digest.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;
use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString};

use crate::id::{Connections, Digest, Generation, Member, Organisation, Service as Name};
use crate::member::Record;
use crate::packet::{Flow, Protocol};
use crate::store::{self, CONFIG_TEXT_MAX_BYTES, OBJECT_MAX_BYTES};

/// An address at which callers reach a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Address {
    /// Transport protocol.
    pub protocol: Protocol,
    /// IP address and port.
    pub address: SocketAddr,
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.protocol, self.address)
    }
}

/// Whether a request may run more than once.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Display, EnumString, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Semantics {
    /// A request runs at most once; an unknown outcome gets no answer.
    #[default]
    AtMostOnce,
    /// A request may be repeated on another server.
    Idempotent,
}

/// Time without a packet from the client after which a flow leaves the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct IdleTimeouts {
    /// Established TCP, in milliseconds.
    #[serde(skip_serializing_if = "is_default_tcp")]
    pub tcp_ms: u64,
    /// UDP, in milliseconds.
    #[serde(skip_serializing_if = "is_default_udp")]
    pub udp_ms: u64,
    /// TCP that is half-open or closing, in milliseconds.
    #[serde(skip_serializing_if = "is_default_closing")]
    pub closing_ms: u64,
}

fn is_default_tcp(value: &u64) -> bool {
    *value == IdleTimeouts::default().tcp_ms
}

fn is_default_udp(value: &u64) -> bool {
    *value == IdleTimeouts::default().udp_ms
}

fn is_default_closing(value: &u64) -> bool {
    *value == IdleTimeouts::default().closing_ms
}

impl Default for IdleTimeouts {
    fn default() -> Self {
        Self {
            // Twice the usual TCP keep-alive time.
            tcp_ms: 4 * 3_600_000,
            udp_ms: 30_000,
            closing_ms: 60_000,
        }
    }
}

impl IdleTimeouts {
    /// Established TCP.
    pub fn tcp(&self) -> Duration {
        Duration::from_millis(self.tcp_ms)
    }

    /// UDP.
    pub fn udp(&self) -> Duration {
        Duration::from_millis(self.udp_ms)
    }

    /// TCP that is half-open or closing.
    pub fn closing(&self) -> Duration {
        Duration::from_millis(self.closing_ms)
    }
}

/// Servers that receive no new flows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drains {
    /// Drained backend servers, by the name of their member.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub servers: BTreeSet<Member>,
    /// Hosts of which every backend server is drained, by the IP address of the control address.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub hosts: BTreeSet<IpAddr>,
}

impl Drains {
    /// Whether nothing is drained.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty() && self.hosts.is_empty()
    }

    /// Whether this member is drained.
    pub fn contains(&self, record: &Record) -> bool {
        self.servers.contains(&record.member) || self.hosts.contains(&record.control.ip())
    }

    /// Adds all of `other`.
    pub fn extend(&mut self, other: &Drains) {
        self.servers.extend(other.servers.iter().cloned());
        self.hosts.extend(&other.hosts);
    }

    /// Whether this target is listed.
    pub fn lists(&self, target: &Target) -> bool {
        match target {
            Target::Server(member) => self.servers.contains(member),
            Target::Host(ip) => self.hosts.contains(ip),
        }
    }

    /// Adds a target. Returns whether it was absent.
    pub fn insert(&mut self, target: &Target) -> bool {
        match target {
            Target::Server(member) => self.servers.insert(member.clone()),
            Target::Host(ip) => self.hosts.insert(*ip),
        }
    }

    /// Removes a target. Returns whether it was present.
    pub fn remove(&mut self, target: &Target) -> bool {
        match target {
            Target::Server(member) => self.servers.remove(member),
            Target::Host(ip) => self.hosts.remove(ip),
        }
    }
}

/// What a drain applies to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Target {
    /// One backend server.
    Server(Member),
    /// Every backend server of a host.
    Host(IpAddr),
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Target::Server(member) => write!(f, "server {member}"),
            Target::Host(ip) => write!(f, "host {ip}"),
        }
    }
}

/// The class weight of one address, where it differs from the weight of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AddressWeight {
    /// The address. Invariant: one of the service's addresses.
    pub address: Address,
    /// Class weight of flows to this address.
    pub weight: u32,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name.
    pub name: Name,
    /// The organisation that owns the service.
    pub organisation: Organisation,
    /// Where callers reach it. Invariant: sorted; no address belongs to two services.
    pub addresses: Vec<Address>,
    /// Class weight: traffic with a higher weight is shed later.
    #[serde(default = "default_weight", skip_serializing_if = "is_default_weight")]
    pub weight: u32,
    /// Class weights of addresses that differ from `weight`. Invariant: sorted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub address_weights: Vec<AddressWeight>,
    /// Whether requests may be repeated.
    #[serde(default, skip_serializing_if = "is_default")]
    pub semantics: Semantics,
    /// Number of buckets. Invariant: a power of two; fixed for the service's life.
    #[serde(
        default = "default_buckets",
        skip_serializing_if = "is_default_buckets"
    )]
    pub buckets: u32,
    /// Time over which a new server's admission limit rises to its full value, in milliseconds.
    #[serde(
        default = "default_cold_start_ms",
        skip_serializing_if = "is_default_cold_start"
    )]
    pub cold_start_ms: u64,
    /// When silent flows leave the table.
    #[serde(default, skip_serializing_if = "is_default")]
    pub idle_timeouts: IdleTimeouts,
    /// Connections per server; the server's own limit applies if it is lower. Invariant: not zero.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub connections: Option<Connections>,
    /// Load per slot up to which a server accepts a flow, in percent of the service's mean.
    /// Invariant: above 100.
    #[serde(
        default = "default_admission_percent",
        skip_serializing_if = "is_default_admission_percent"
    )]
    pub admission_percent: u32,
    /// Servers of this service that receive no new flows.
    #[serde(default, skip_serializing_if = "Drains::is_empty")]
    pub drain: Drains,
}

/// Buckets of a service that doesn't set their number.
pub const BUCKETS_DEFAULT: u32 = 1024;
/// Allowed numbers of buckets.
pub const BUCKETS: RangeInclusive<u64> = 16..=65_536;
/// Allowed class weights.
pub const WEIGHTS: RangeInclusive<u64> = 1..=100;
/// Admission limit of a service that doesn't set it.
pub const ADMISSION_PERCENT_DEFAULT: u32 = 125;
/// Allowed admission limits. At 100% a server at the exact mean passes every second flow on.
pub const ADMISSION_PERCENTS: RangeInclusive<u64> = 101..=1_000;
/// Allowed limits of connections.
pub const CONNECTIONS: RangeInclusive<u64> = 1..=1_000_000;
/// Bytes that the store's object adds to the text.
const ENVELOPE_BYTES: usize = 512;
/// Time for which a former service is kept: 24 h, and 1 h for clocks that differ.
pub const FORMER_RETENTION: Duration = Duration::from_secs(25 * 3_600);
/// Former services kept; the oldest are dropped first.
pub const FORMER_MAX: usize = 1_000;

const COLD_START_DEFAULT_MS: u64 = 30_000;

fn default_weight() -> u32 {
    1
}

fn default_buckets() -> u32 {
    BUCKETS_DEFAULT
}

fn default_cold_start_ms() -> u64 {
    COLD_START_DEFAULT_MS
}

fn default_admission_percent() -> u32 {
    ADMISSION_PERCENT_DEFAULT
}

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

fn is_default_weight(value: &u32) -> bool {
    *value == default_weight()
}

fn is_default_buckets(value: &u32) -> bool {
    *value == BUCKETS_DEFAULT
}

fn is_default_cold_start(value: &u64) -> bool {
    *value == COLD_START_DEFAULT_MS
}

fn is_default_admission_percent(value: &u32) -> bool {
    *value == ADMISSION_PERCENT_DEFAULT
}

impl Service {
    /// A service with default limits.
    pub fn new(name: Name, organisation: Organisation, mut addresses: Vec<Address>) -> Self {
        addresses.sort();
        Self {
            name,
            organisation,
            addresses,
            weight: default_weight(),
            address_weights: Vec::new(),
            semantics: Semantics::default(),
            buckets: BUCKETS_DEFAULT,
            cold_start_ms: COLD_START_DEFAULT_MS,
            idle_timeouts: IdleTimeouts::default(),
            connections: None,
            admission_percent: ADMISSION_PERCENT_DEFAULT,
            drain: Drains::default(),
        }
    }

    /// Time over which a new server's admission limit rises to its full value.
    pub fn cold_start(&self) -> Duration {
        Duration::from_millis(self.cold_start_ms)
    }

    /// Whether callers reach this service at the destination of `flow`.
    pub fn serves(&self, flow: &Flow) -> bool {
        self.addresses.contains(&destination(flow))
    }

    /// Class weight of a flow.
    pub fn flow_weight(&self, flow: &Flow) -> u32 {
        let address = destination(flow);
        let own = self.address_weights.iter().find(|w| w.address == address);
        own.map_or(self.weight, |w| w.weight)
    }

    /// The highest class weight of the service's addresses.
    pub fn heaviest_weight(&self) -> u32 {
        let weight = |address: &Address| {
            let own = self.address_weights.iter().find(|w| w.address == *address);
            own.map_or(self.weight, |w| w.weight)
        };
        let weights = self.addresses.iter().map(weight);
        weights.max().unwrap_or(self.weight)
    }
}

fn destination(flow: &Flow) -> Address {
    Address {
        protocol: flow.protocol,
        address: flow.destination,
    }
}

/// Wall-clock time in seconds since 1970. Only the operators' commands read the clock.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Timestamp(pub u64);

impl Timestamp {
    /// The time on this host.
    pub fn now() -> Self {
        let age = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Self(age.unwrap_or_default().as_secs())
    }

    /// Time since `earlier`, or zero if that is later.
    fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_secs(self.0.saturating_sub(earlier.0))
    }
}

/// A service that had an address before. Its established flows stay with their owners.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Former {
    /// The address that moved to another service or was removed.
    pub address: Address,
    /// The service that had it. It may no longer be part of the configuration.
    pub service: Name,
    /// The generation in which the address moved.
    pub generation: Generation,
    /// When it moved, by the clock of the operator's host.
    pub moved: Timestamp,
    /// Buckets of the former service.
    pub buckets: u32,
}

/// All services, as applied at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The services by name.
    pub services: BTreeMap<Name, Service>,
    /// Drains from the operators' files.
    #[serde(default, skip_serializing_if = "Drains::is_empty")]
    pub drains: Drains,
    /// Drains from the `drain` command. Files don't contain them; each later configuration keeps
    /// them until `undrain`.
    #[serde(default, skip_serializing_if = "Drains::is_empty")]
    pub commanded_drains: Drains,
    /// Former services of addresses. Invariant: sorted; at most [`FORMER_MAX`].
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub former: Vec<Former>,
}

impl Config {
    /// The text that is stored. Equal configurations have equal texts.
    ///
    /// Defaults are left out, because the store limits the size of an object.
    pub fn canonical(&self) -> Vec<u8> {
        // Invariant: string keys and plain values, which always serialise.
        serde_json::to_vec(self).expect("configuration serialises")
    }

    /// Size of the store's object, which holds the text in compressed form.
    pub fn object_bytes(&self) -> usize {
        // Invariant: canonical JSON is UTF-8.
        let text = String::from_utf8(self.canonical()).expect("JSON is UTF-8");
        store::compress(&text).len() + ENVELOPE_BYTES
    }

    /// The size that exceeds its limit, and the limit: of the text or of the store's object.
    pub fn excess(&self) -> Option<(usize, usize)> {
        let text = (self.canonical().len(), CONFIG_TEXT_MAX_BYTES);
        // Base64 adds a third, so a shorter text fits whatever its compression. Compressing it
        // would take more memory than reading small files may.
        if text.0 <= OBJECT_MAX_BYTES / 2 {
            return None;
        }
        let object = || (self.object_bytes(), OBJECT_MAX_BYTES);
        let exceeds = |(bytes, allowed): &(usize, usize)| bytes > allowed;
        Some(text)
            .filter(exceeds)
            .or_else(|| Some(object()).filter(exceeds))
    }

    /// The digest of the canonical text.
    pub fn digest(&self) -> Digest {
        Digest::of(&self.canonical())
    }

    /// Reads a canonical text and checks the invariants that routing relies on.
    pub fn from_canonical(text: &[u8]) -> Result<Self, Invalid> {
        if text.len() > CONFIG_TEXT_MAX_BYTES {
            return Err(Invalid(format!("more than {CONFIG_TEXT_MAX_BYTES} bytes")));
        }
        let config: Config =
            serde_json::from_slice(text).map_err(|error| Invalid(error.to_string()))?;
        config.check()?;
        Ok(config)
    }

    fn check(&self) -> Result<(), Invalid> {
        let mut addresses = BTreeMap::new();
        let mut tags = BTreeMap::new();
        for (name, service) in &self.services {
            if *name != service.name {
                return Err(Invalid(format!("service {} under {name}", service.name)));
            }
            if !valid_buckets(service.buckets) {
                return Err(Invalid(format!("{name}: {} buckets", service.buckets)));
            }
            if service.connections == Some(Connections(0)) || service.admission_percent <= 100 {
                return Err(Invalid(format!("{name}: limit out of range")));
            }
            if let Some(other) = tags.insert(name.tag(), name) {
                return Err(Invalid(format!("{name} has the tag of {other}")));
            }
            for address in &service.addresses {
                if let Some(other) = addresses.insert(address, name) {
                    return Err(Invalid(format!("{address} in {name} and {other}")));
                }
            }
        }
        match self.former.iter().find(|f| !valid_buckets(f.buckets)) {
            Some(former) => Err(Invalid(format!(
                "former {}: {} buckets",
                former.service, former.buckets
            ))),
            None => Ok(()),
        }
    }

    /// The service that callers reach at the destination of `flow`.
    pub fn service_of(&self, flow: &Flow) -> Option<&Service> {
        self.services.values().find(|service| service.serves(flow))
    }

    /// The service that had an address last, before the present one.
    pub fn former_of(&self, address: &Address) -> Option<&Former> {
        let former = self.former.iter().filter(|f| f.address == *address);
        former.max_by_key(|former| former.generation)
    }

    /// Buckets of a service that is or was part of the configuration.
    pub fn buckets_of(&self, name: &Name) -> Option<u32> {
        let former = || self.former.iter().find(|f| f.service == *name);
        let current = self.services.get(name).map(|service| service.buckets);
        current.or_else(|| former().map(|former| former.buckets))
    }

    /// A service as its agents receive it, with all drains that apply to it.
    pub fn part(&self, name: &Name) -> Option<Service> {
        let mut service = self.services.get(name)?.clone();
        service.drain.extend(&self.drains);
        service.drain.extend(&self.commanded_drains);
        Some(service)
    }

    /// Whether new flows are kept away from this member.
    pub fn is_drained(&self, record: &Record) -> bool {
        let service = record.service.as_ref();
        let service = service.and_then(|name| self.services.get(name));
        self.drains.contains(record)
            || self.commanded_drains.contains(record)
            || service.is_some_and(|service| service.drain.contains(record))
    }

    /// Whether any list of drains contains this target.
    pub fn is_target_drained(&self, target: &Target) -> bool {
        let services = self.services.values();
        self.drains.lists(target)
            || self.commanded_drains.lists(target)
            || services
                .into_iter()
                .any(|service| service.drain.lists(target))
    }

    /// Takes over from `previous` what files don't contain: commanded drains and former services.
    ///
    /// Former services are dropped after [`FORMER_RETENTION`].
    pub fn succeed(&mut self, previous: &Config, generation: Generation, now: Timestamp) {
        self.commanded_drains = previous.commanded_drains.clone();
        let current = self.owners();
        let lost = previous.owners().into_iter().filter_map(|(address, name)| {
            Some(Former {
                address,
                buckets: previous.services.get(&name)?.buckets,
                service: name,
                generation,
                moved: now,
            })
        });
        let fresh = |former: &&Former| now.since(former.moved) < FORMER_RETENTION;
        let kept = previous.former.iter().filter(fresh).cloned();
        let all = kept.chain(lost);
        let gone = all.filter(|former| current.get(&former.address) != Some(&former.service));
        // A later entry for the same address and service replaces an earlier one.
        let mut former = BTreeMap::new();
        for entry in gone {
            former.insert((entry.address, entry.service.clone()), entry);
        }
        let mut former: Vec<_> = former.into_values().collect();
        former.sort_by_key(|entry| std::cmp::Reverse(entry.generation));
        former.truncate(FORMER_MAX);
        former.sort();
        self.former = former;
    }

    fn owners(&self) -> BTreeMap<Address, Name> {
        let services = self.services.values();
        services
            .flat_map(|service| {
                let addresses = service.addresses.iter();
                addresses.map(|address| (*address, service.name.clone()))
            })
            .collect()
    }
}

/// Whether a service may have this number of buckets.
pub fn valid_buckets(buckets: u32) -> bool {
    buckets.is_power_of_two() && BUCKETS.contains(&u64::from(buckets))
}

/// A stored text that is not a valid configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Invalid(String);

impl fmt::Display for Invalid {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid configuration: {}", self.0)
    }
}

impl std::error::Error for Invalid {}

/// One difference between two configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A service is new.
    Added(Name),
    /// A service is gone.
    Removed(Name),
    /// An address belongs to another service.
    Moved {
        /// The address.
        address: Address,
        /// The service that had it.
        from: Name,
        /// The service that has it now.
        to: Name,
    },
    /// Former services were added, or dropped after their time.
    Former {
        /// Former services before.
        old: usize,
        /// Former services after.
        new: usize,
    },
    /// A field of a service, or the drains of the configuration.
    Field {
        /// What contains the field.
        of: String,
        /// The field's name in canonical JSON.
        field: String,
        /// The old value; `None` if it was the default.
        old: Option<String>,
        /// The new value; `None` if it is the default.
        new: Option<String>,
    },
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Change::Added(name) => write!(f, "+ service {name}"),
            Change::Removed(name) => write!(f, "- service {name}"),
            Change::Moved { address, from, to } => {
                write!(f, "~ address {address}: {from} -> {to}")
            }
            Change::Former { old, new } => write!(f, "~ former services: {old} -> {new}"),
            Change::Field {
                of,
                field,
                old,
                new,
            } => {
                let old = old.as_deref().unwrap_or("default");
                let new = new.as_deref().unwrap_or("default");
                write!(f, "~ {of}: {field} {old} -> {new}")
            }
        }
    }
}

/// The differences from `old` to `new`, in a fixed order.
pub fn diff(old: &Config, new: &Config) -> Vec<Change> {
    let mut changes = Vec::new();
    let removed = old
        .services
        .keys()
        .filter(|n| !new.services.contains_key(n));
    changes.extend(removed.cloned().map(Change::Removed));
    for (name, service) in &new.services {
        match old.services.get(name) {
            None => changes.push(Change::Added(name.clone())),
            Some(before) => fields(&format!("service {name}"), before, service, &mut changes),
        }
    }
    let before = old.owners();
    for (address, to) in new.owners() {
        match before.get(&address) {
            Some(from) if *from != to => changes.push(Change::Moved {
                address,
                from: from.clone(),
                to,
            }),
            _ => {}
        }
    }
    fields("drains", &old.drains, &new.drains, &mut changes);
    fields(
        "commanded drains",
        &old.commanded_drains,
        &new.commanded_drains,
        &mut changes,
    );
    if old.former != new.former {
        changes.push(Change::Former {
            old: old.former.len(),
            new: new.former.len(),
        });
    }
    changes
}

fn fields<T: Serialize>(of: &str, old: &T, new: &T, changes: &mut Vec<Change>) {
    let (old, new) = (json_fields(old), json_fields(new));
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for name in names {
        let (before, after) = (old.get(name), new.get(name));
        if before != after {
            changes.push(Change::Field {
                of: of.to_owned(),
                field: name.clone(),
                old: before.map(ToString::to_string),
                new: after.map(ToString::to_string),
            });
        }
    }
}

fn json_fields<T: Serialize>(value: &T) -> serde_json::Map<String, serde_json::Value> {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::Object(map)) => map,
        _ => serde_json::Map::new(),
    }
}

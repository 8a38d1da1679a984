//! Configuration of services: their addresses, limits and drains.
//!
//! Operators write it in files of JSON with comments, which [`crate::files`] reads. All files of a
//! directory together become one [`Config`]. The store keeps it as canonical JSON under the digest
//! of that text.

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

/// A transport address at which callers reach a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Address {
    /// Transport protocol of the flows.
    pub protocol: Protocol,
    /// Destination IP address and port of the callers' packets.
    pub address: SocketAddr,
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.protocol, self.address)
    }
}

/// Whether a service may run a request more than once.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Display, EnumString, Serialize, Deserialize,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Semantics {
    /// A request runs at most once. If its outcome is unknown, the caller gets no answer.
    #[default]
    AtMostOnce,
    /// A request may be repeated on another server.
    Idempotent,
}

/// Time without a packet from the client after which a flow is removed from the flow table.
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
            // 4 h: twice the usual TCP keep-alive time.
            tcp_ms: 4 * 3_600_000,
            udp_ms: 30_000,
            closing_ms: 60_000,
        }
    }
}

impl IdleTimeouts {
    /// Idle timeout of established TCP flows.
    pub fn tcp(&self) -> Duration {
        Duration::from_millis(self.tcp_ms)
    }

    /// Idle timeout of UDP flows.
    pub fn udp(&self) -> Duration {
        Duration::from_millis(self.udp_ms)
    }

    /// Idle timeout of TCP flows that are half-open or closing.
    pub fn closing(&self) -> Duration {
        Duration::from_millis(self.closing_ms)
    }
}

/// Backend servers that receive no new flows, listed by name or by host.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drains {
    /// Drained backend servers, by member name.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub servers: BTreeSet<Member>,
    /// Hosts whose backend servers are all drained. A host is identified by the IP address of the
    /// servers' control addresses.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub hosts: BTreeSet<IpAddr>,
}

impl Drains {
    /// Whether no server and no host is listed.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty() && self.hosts.is_empty()
    }

    /// Whether a member is drained, by its name or by its host.
    pub fn contains(&self, record: &Record) -> bool {
        self.servers.contains(&record.member) || self.hosts.contains(&record.control.ip())
    }

    /// Adds the servers and hosts of `other`.
    pub fn extend(&mut self, other: &Drains) {
        self.servers.extend(other.servers.iter().cloned());
        self.hosts.extend(&other.hosts);
    }

    /// Whether exactly this server or host is listed. A server whose host is listed does not count.
    pub fn contains_target(&self, target: &DrainTarget) -> bool {
        match target {
            DrainTarget::Server(member) => self.servers.contains(member),
            DrainTarget::Host(ip) => self.hosts.contains(ip),
        }
    }

    /// Adds a target. Returns whether it was absent.
    pub fn insert(&mut self, target: &DrainTarget) -> bool {
        match target {
            DrainTarget::Server(member) => self.servers.insert(member.clone()),
            DrainTarget::Host(ip) => self.hosts.insert(*ip),
        }
    }

    /// Removes a target. Returns whether it was present.
    pub fn remove(&mut self, target: &DrainTarget) -> bool {
        match target {
            DrainTarget::Server(member) => self.servers.remove(member),
            DrainTarget::Host(ip) => self.hosts.remove(ip),
        }
    }
}

/// The server or host that a drain applies to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrainTarget {
    /// One backend server.
    Server(Member),
    /// Every backend server of a host, by the IP address of their control addresses.
    Host(IpAddr),
}

impl fmt::Display for DrainTarget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DrainTarget::Server(member) => write!(f, "server {member}"),
            DrainTarget::Host(ip) => write!(f, "host {ip}"),
        }
    }
}

/// Class weight of one address that differs from the weight of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AddressWeight {
    /// The address that the weight applies to. Invariant: one of the service's addresses.
    pub address: Address,
    /// Class weight of flows to this address, within [`WEIGHT_RANGE`].
    pub weight: u32,
}

/// Configuration of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Name of the service; unique in the configuration, as is its tag.
    pub name: Name,
    /// The organisation that owns the service.
    pub organisation: Organisation,
    /// Addresses at which callers reach the service. Invariant: sorted; no address belongs to two
    /// services.
    pub addresses: Vec<Address>,
    /// Class weight: traffic with a higher weight is shed later.
    #[serde(default = "default_weight", skip_serializing_if = "is_default_weight")]
    pub weight: u32,
    /// Class weights of addresses that differ from `weight`. Invariant: sorted.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub address_weights: Vec<AddressWeight>,
    /// Whether requests may be repeated on another server.
    #[serde(default, skip_serializing_if = "is_default")]
    pub semantics: Semantics,
    /// Number of hash buckets. Invariant: a power of two; fixed for the life of the service,
    /// because a change would move every flow.
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
    /// Idle times after which flows are removed from the flow table.
    #[serde(default, skip_serializing_if = "is_default")]
    pub idle_timeouts: IdleTimeouts,
    /// Limit of connections per server. The server's own limit applies if it is lower. Invariant:
    /// not zero.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub connections: Option<Connections>,
    /// Admission limit: load per slot up to which a server accepts a flow, in percent of the mean
    /// of the service. Invariant: above 100.
    #[serde(
        default = "default_admission_percent",
        skip_serializing_if = "is_default_admission_percent"
    )]
    pub admission_percent: u32,
    /// Servers of this service that receive no new flows; set in the operators' files.
    #[serde(default, skip_serializing_if = "Drains::is_empty")]
    pub drain: Drains,
}

/// Number of buckets of a service that doesn't set it.
pub const BUCKETS_DEFAULT: u32 = 1024;
/// Allowed numbers of buckets.
pub const BUCKETS_RANGE: RangeInclusive<u64> = 16..=65_536;
/// Allowed class weights of services and addresses.
pub const WEIGHT_RANGE: RangeInclusive<u64> = 1..=100;
/// Admission limit of a service that doesn't set it, in percent of the service's mean load.
pub const ADMISSION_PERCENT_DEFAULT: u32 = 125;
/// Allowed admission limits, in percent of the service's mean load. They start above 100: at 100%
/// a server whose load is exactly the mean passes every second flow on.
pub const ADMISSION_PERCENT_RANGE: RangeInclusive<u64> = 101..=1_000;
/// Allowed limits of connections per server.
pub const CONNECTIONS_RANGE: RangeInclusive<u64> = 1..=1_000_000;
/// Allowance for the bytes that the store's object adds to the compressed text.
const OBJECT_OVERHEAD_BYTES: usize = 512;
/// Time for which a former service is kept: 24 h, and 1 h for differences between the clocks of the
/// operators' hosts.
pub const FORMER_RETENTION: Duration = Duration::from_secs(25 * 3_600);
/// Largest number of former services that are kept; those of the oldest generations are dropped
/// first.
pub const FORMER_SERVICES_MAX: usize = 1_000;

/// Cold-start time of a service that doesn't set it.
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
    /// A service with default limits and without drains. Sorts the addresses.
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

    /// Class weight of a flow: that of its destination address, or else that of the service.
    pub fn flow_weight(&self, flow: &Flow) -> u32 {
        let address = destination(flow);
        let own = self.address_weights.iter().find(|w| w.address == address);
        own.map_or(self.weight, |w| w.weight)
    }

    /// The highest class weight of the service's addresses.
    pub fn max_weight(&self) -> u32 {
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
    /// Current time of this host's clock; 0 if the clock is set to a time before 1970.
    pub fn now() -> Self {
        let age = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Self(age.unwrap_or_default().as_secs())
    }

    /// Time since `earlier`, or zero if that is later.
    fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_secs(self.0.saturating_sub(earlier.0))
    }
}

/// The former service of an address that was moved or removed. Established flows of that service
/// stay with the servers that own them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FormerService {
    /// The address that moved to another service or was removed.
    pub address: Address,
    /// The service that had it. It may no longer be part of the configuration.
    pub service: Name,
    /// The generation in which the address moved.
    pub generation: Generation,
    /// Time at which the address moved, by the clock of the operator's host.
    pub moved: Timestamp,
    /// Number of buckets of the former service.
    pub buckets: u32,
}

/// A complete configuration: all services and drains of one generation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Config {
    /// The services by name.
    pub services: BTreeMap<Name, Service>,
    /// Drains from the operators' files that apply to all services.
    #[serde(default, skip_serializing_if = "Drains::is_empty")]
    pub drains: Drains,
    /// Drains set by the `drain` command. They are not part of the files; every later configuration
    /// keeps them until the `undrain` command removes them.
    #[serde(default, skip_serializing_if = "Drains::is_empty")]
    pub commanded_drains: Drains,
    /// Former services of addresses. Invariant: sorted; at most [`FORMER_SERVICES_MAX`] entries.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub former: Vec<FormerService>,
}

impl Config {
    /// The canonical JSON text, which is what the store keeps. Equal configurations have equal
    /// texts.
    ///
    /// Default values are left out, because the store limits the size of an object.
    pub fn canonical_json(&self) -> Vec<u8> {
        // All map keys are strings and all values plain, so serialisation can't fail.
        serde_json::to_vec(self).expect("configuration serialises")
    }

    /// Size in bytes of the store's object, which holds the text in compressed form.
    pub fn object_bytes(&self) -> usize {
        // Invariant: canonical JSON is UTF-8.
        let text = String::from_utf8(self.canonical_json()).expect("JSON is UTF-8");
        store::compress(&text).len() + OBJECT_OVERHEAD_BYTES
    }

    /// The size that exceeds its limit and that limit, both in bytes. The canonical text and the
    /// store's object each have a limit; `None` if both are kept.
    pub fn exceeded_size(&self) -> Option<(usize, usize)> {
        let text = (self.canonical_json().len(), CONFIG_TEXT_MAX_BYTES);
        // Base64 adds a third, so a text of at most half the object's limit fits even if it doesn't
        // compress at all. Compressing it would take more memory than reading small files may.
        if text.0 <= OBJECT_MAX_BYTES / 2 {
            return None;
        }
        let object = || (self.object_bytes(), OBJECT_MAX_BYTES);
        let exceeds = |(bytes, allowed): &(usize, usize)| bytes > allowed;
        Some(text)
            .filter(exceeds)
            .or_else(|| Some(object()).filter(exceeds))
    }

    /// Digest of the canonical JSON text, under which the store keeps the configuration.
    pub fn digest(&self) -> Digest {
        Digest::of(&self.canonical_json())
    }

    /// Parses a stored text of at most [`CONFIG_TEXT_MAX_BYTES`] and checks the invariants that routing
    /// relies on.
    pub fn from_canonical_json(text: &[u8]) -> Result<Self, InvalidConfig> {
        if text.len() > CONFIG_TEXT_MAX_BYTES {
            return Err(InvalidConfig(format!(
                "more than {CONFIG_TEXT_MAX_BYTES} bytes"
            )));
        }
        let config: Config =
            serde_json::from_slice(text).map_err(|error| InvalidConfig(error.to_string()))?;
        config.check()?;
        Ok(config)
    }

    fn check(&self) -> Result<(), InvalidConfig> {
        let mut addresses = BTreeMap::new();
        let mut tags = BTreeMap::new();
        for (name, service) in &self.services {
            if *name != service.name {
                return Err(InvalidConfig(format!(
                    "service {} is stored under the name {name}",
                    service.name
                )));
            }
            if !valid_buckets(service.buckets) {
                return Err(InvalidConfig(format!(
                    "service {name} has an invalid number of buckets: {}",
                    service.buckets
                )));
            }
            if service.connections == Some(Connections(0)) || service.admission_percent <= 100 {
                return Err(InvalidConfig(format!(
                    "service {name}: connection limit or admission limit out of range"
                )));
            }
            if let Some(other) = tags.insert(name.tag(), name) {
                return Err(InvalidConfig(format!(
                    "services {name} and {other} have the same tag"
                )));
            }
            for address in &service.addresses {
                if let Some(other) = addresses.insert(address, name) {
                    return Err(InvalidConfig(format!(
                        "address {address} belongs to both {name} and {other}"
                    )));
                }
            }
        }
        match self.former.iter().find(|f| !valid_buckets(f.buckets)) {
            Some(former) => Err(InvalidConfig(format!(
                "former service {} has an invalid number of buckets: {}",
                former.service, former.buckets
            ))),
            None => Ok(()),
        }
    }

    /// The service that has the destination of `flow` among its addresses.
    pub fn service_of(&self, flow: &Flow) -> Option<&Service> {
        self.services.values().find(|service| service.serves(flow))
    }

    /// The service that had an address last, before the present service if there is one.
    pub fn last_former_service(&self, address: &Address) -> Option<&FormerService> {
        let former = self.former.iter().filter(|f| f.address == *address);
        former.max_by_key(|former| former.generation)
    }

    /// Number of buckets of a service of the configuration, or of a former service.
    pub fn buckets_of(&self, name: &Name) -> Option<u32> {
        let former = || self.former.iter().find(|f| f.service == *name);
        let current = self.services.get(name).map(|service| service.buckets);
        current.or_else(|| former().map(|former| former.buckets))
    }

    /// A service as its agents receive it: its own drains together with those of the configuration.
    pub fn effective_service(&self, name: &Name) -> Option<Service> {
        let mut service = self.services.get(name)?.clone();
        service.drain.extend(&self.drains);
        service.drain.extend(&self.commanded_drains);
        Some(service)
    }

    /// Whether a member receives no new flows because a drain of the configuration or of its
    /// service applies to it.
    pub fn is_drained(&self, record: &Record) -> bool {
        let service = record.service.as_ref();
        let service = service.and_then(|name| self.services.get(name));
        self.drains.contains(record)
            || self.commanded_drains.contains(record)
            || service.is_some_and(|service| service.drain.contains(record))
    }

    /// Whether any list of drains contains exactly this server or host.
    pub fn is_target_drained(&self, target: &DrainTarget) -> bool {
        let services = self.services.values();
        self.drains.contains_target(target)
            || self.commanded_drains.contains_target(target)
            || services
                .into_iter()
                .any(|service| service.drain.contains_target(target))
    }

    /// Carries over from `previous` what the files don't contain: commanded drains and former
    /// services. Each address of `previous` that now belongs to another service, or to none, gets
    /// its previous service as a former service, as of `generation` and `now`.
    ///
    /// Former services are dropped after [`FORMER_RETENTION`].
    pub fn carry_over(&mut self, previous: &Config, generation: Generation, now: Timestamp) {
        self.commanded_drains = previous.commanded_drains.clone();
        let current = self.services_by_address();
        let lost = previous
            .services_by_address()
            .into_iter()
            .filter_map(|(address, name)| {
                Some(FormerService {
                    address,
                    buckets: previous.services.get(&name)?.buckets,
                    service: name,
                    generation,
                    moved: now,
                })
            });
        let fresh = |former: &&FormerService| now.since(former.moved) < FORMER_RETENTION;
        let kept = previous.former.iter().filter(fresh).cloned();
        let all = kept.chain(lost);
        let gone = all.filter(|former| current.get(&former.address) != Some(&former.service));
        // The last entry for an address and service replaces earlier ones.
        let mut former = BTreeMap::new();
        for entry in gone {
            former.insert((entry.address, entry.service.clone()), entry);
        }
        let mut former: Vec<_> = former.into_values().collect();
        former.sort_by_key(|entry| std::cmp::Reverse(entry.generation));
        former.truncate(FORMER_SERVICES_MAX);
        former.sort();
        self.former = former;
    }

    fn services_by_address(&self) -> BTreeMap<Address, Name> {
        let services = self.services.values();
        services
            .flat_map(|service| {
                let addresses = service.addresses.iter();
                addresses.map(|address| (*address, service.name.clone()))
            })
            .collect()
    }
}

/// Whether a service may have this number of buckets: a power of two within [`BUCKETS_RANGE`].
pub fn valid_buckets(buckets: u32) -> bool {
    buckets.is_power_of_two() && BUCKETS_RANGE.contains(&u64::from(buckets))
}

/// The reason why a stored text is not a valid configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidConfig(String);

impl fmt::Display for InvalidConfig {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid configuration: {}", self.0)
    }
}

impl std::error::Error for InvalidConfig {}

/// One difference between two configurations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Only the new configuration has this service.
    Added(Name),
    /// Only the old configuration has this service.
    Removed(Name),
    /// An address moved from one service to another.
    Moved {
        /// The address that moved.
        address: Address,
        /// The service that had it.
        from: Name,
        /// The service that has it now.
        to: Name,
    },
    /// Former services were added, or dropped after [`FORMER_RETENTION`].
    FormerServices {
        /// Number of former services in the old configuration.
        old: usize,
        /// Number of former services in the new configuration.
        new: usize,
    },
    /// A field of a service, or of the drains of the configuration, has another value.
    Field {
        /// What contains the field, as shown to the operator, such as `service portal` or `drains`.
        parent: String,
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
            Change::FormerServices { old, new } => write!(f, "~ former services: {old} -> {new}"),
            Change::Field {
                parent,
                field,
                old,
                new,
            } => {
                let old = old.as_deref().unwrap_or("default");
                let new = new.as_deref().unwrap_or("default");
                write!(f, "~ {parent}: {field} {old} -> {new}")
            }
        }
    }
}

/// The differences from `old` to `new`. The order is fixed: removed services, new and changed
/// services, moved addresses, drains, former services.
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
            Some(before) => {
                push_field_changes(&format!("service {name}"), before, service, &mut changes)
            }
        }
    }
    let before = old.services_by_address();
    for (address, to) in new.services_by_address() {
        match before.get(&address) {
            Some(from) if *from != to => changes.push(Change::Moved {
                address,
                from: from.clone(),
                to,
            }),
            _ => {}
        }
    }
    push_field_changes("drains", &old.drains, &new.drains, &mut changes);
    push_field_changes(
        "commanded drains",
        &old.commanded_drains,
        &new.commanded_drains,
        &mut changes,
    );
    if old.former != new.former {
        changes.push(Change::FormerServices {
            old: old.former.len(),
            new: new.former.len(),
        });
    }
    changes
}

fn push_field_changes<T: Serialize>(of: &str, old: &T, new: &T, changes: &mut Vec<Change>) {
    let (old, new) = (json_fields(old), json_fields(new));
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    for name in names {
        let (before, after) = (old.get(name), new.get(name));
        if before != after {
            changes.push(Change::Field {
                parent: of.to_owned(),
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

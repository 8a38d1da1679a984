//! The state of an installation according to the store. The `status` command shows it as tables or
//! as JSON.

use std::collections::BTreeMap;
use std::fmt;
use std::net::IpAddr;

use serde::Serialize;

use crate::config::Drains;
use crate::id::{Digest, Domain, Generation, Member, Organisation, Service as ServiceName};
use crate::member::{Record, Role, State};
use crate::publish::StoredState;

/// The state of an installation according to the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Status {
    /// The accepted configuration; `None` before the first `apply`.
    pub configuration: Option<Configuration>,
    /// Whether a balancer reports a newer generation than the store has, which means that the store
    /// was restored from an older copy.
    pub restored: bool,
    /// Drains that the `drain` command has set. Drains in the configuration files are not included.
    pub commanded_drains: Drains,
    /// Services in the order of their names, including those that are not configured but that a
    /// server's record names.
    pub services: Vec<Service>,
    /// Backend servers in the order of their names.
    pub servers: Vec<Server>,
    /// Balancers in the order of their names.
    pub balancers: Vec<Balancer>,
}

/// The accepted configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Configuration {
    /// Generation number. Each accepted configuration has a higher one than those before it.
    pub generation: Generation,
    /// SHA-256 of the configuration's canonical JSON.
    pub digest: Digest,
    /// Author given to the command that applied it; not authenticated.
    pub author: String,
    /// Random number of the command that applied it, as 16 hexadecimal digits. It tells whether a
    /// command with an unknown outcome took effect.
    pub apply_id: String,
}

/// A service, with its servers counted by state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Service {
    /// Name by which the configuration and the servers' records refer to it.
    pub name: ServiceName,
    /// The organisation that owns it; `None` if the service is not configured.
    pub organisation: Option<Organisation>,
    /// Addresses at which callers reach it, as text; empty if the service is not configured.
    pub addresses: Vec<String>,
    /// Number of servers that receive new flows.
    pub active: usize,
    /// Number of servers that have been announced but don't receive flows yet.
    pub joining: usize,
    /// Number of servers that keep their established flows and receive no new ones.
    pub draining: usize,
    /// Number of servers that are stopped or were declared down.
    pub down: usize,
    /// Sum of the slots of the active servers.
    pub slots: u64,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Server {
    /// Member name of the server and its agent.
    pub member: Member,
    /// Service that the server runs.
    pub service: Option<ServiceName>,
    /// Failure domain that it runs in.
    pub domain: Domain,
    /// IP address of its host, taken from the control address.
    pub host: IpAddr,
    /// State in the last record of its agent that the store holds.
    pub state: State,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Largest number of connections that it holds open.
    pub connections: u32,
    /// Whether the configuration drains it, by its name or its host, in files or by command.
    pub drained: bool,
    /// Open flows of a draining server, rounded up to a power of two; `None` if it is not
    /// draining or its agent doesn't report them.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub open_flows: Option<u32>,
}

/// A balancer and the configuration that it uses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Balancer {
    /// Member name of the balancer.
    pub member: Member,
    /// Failure domain that it runs in.
    pub domain: Domain,
    /// IP address of its host, taken from the control address.
    pub host: IpAddr,
    /// State in the last record of the balancer that the store holds.
    pub state: State,
    /// Generation that the balancer reports as in force.
    pub generation: Generation,
    /// Number of generations that it is behind the accepted one.
    pub lag: u64,
}

impl Status {
    /// Summarises the accepted configuration and the member records.
    pub fn of(base: &StoredState) -> Self {
        let head = base.head.as_ref().map(|(head, _)| head);
        let mut records: Vec<_> = base.records.iter().collect();
        records.sort_by_key(|record| &record.member);
        let of_role = |role| records.iter().filter(move |r| r.role == role).copied();
        Self {
            configuration: head.map(|head| Configuration {
                generation: head.generation,
                digest: head.digest,
                author: head.author.clone(),
                apply_id: format!("{:016x}", head.apply_id),
            }),
            restored: base.is_restored(),
            commanded_drains: base.config.commanded_drains.clone(),
            services: services(base),
            servers: of_role(Role::Agent).map(|r| server(base, r)).collect(),
            balancers: of_role(Role::Balancer).map(|r| balancer(base, r)).collect(),
        }
    }
}

fn services(base: &StoredState) -> Vec<Service> {
    let empty = |name: &ServiceName| Service {
        name: name.clone(),
        organisation: None,
        addresses: Vec::new(),
        active: 0,
        joining: 0,
        draining: 0,
        down: 0,
        slots: 0,
    };
    let mut services = BTreeMap::new();
    for (name, configured) in &base.config.services {
        let addresses = configured.addresses.iter().map(ToString::to_string);
        let service = Service {
            organisation: Some(configured.organisation.clone()),
            addresses: addresses.collect(),
            ..empty(name)
        };
        services.insert(name, service);
    }
    for record in &base.records {
        let Some(name) = &record.service else {
            continue;
        };
        let service = services.entry(name).or_insert_with(|| empty(name));
        match record.state {
            State::Joining => service.joining += 1,
            State::Draining => service.draining += 1,
            State::Down => service.down += 1,
            State::Active => {
                service.active += 1;
                service.slots += u64::from(record.slots.0);
            }
        }
    }
    services.into_values().collect()
}

fn server(base: &StoredState, record: &Record) -> Server {
    Server {
        member: record.member.clone(),
        service: record.service.clone(),
        domain: record.domain.clone(),
        host: record.control.ip(),
        state: record.state,
        slots: record.slots.0,
        connections: record.connections.0,
        drained: base.config.is_drained(record),
        open_flows: record.open_flows,
    }
}

fn balancer(base: &StoredState, record: &Record) -> Balancer {
    Balancer {
        member: record.member.clone(),
        domain: record.domain.clone(),
        host: record.control.ip(),
        state: record.state,
        generation: record.generation,
        lag: base.generation().0.saturating_sub(record.generation.0),
    }
}

impl fmt::Display for Status {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.configuration {
            None => writeln!(f, "No configuration has been applied.")?,
            Some(head) => writeln!(
                f,
                "Generation {} by {}, digest {}, apply id {}",
                head.generation, head.author, head.digest, head.apply_id
            )?,
        }
        if self.restored {
            writeln!(
                f,
                "WARNING: balancers have a newer generation than the store, which was restored from an older copy."
            )?;
        }
        let drains = &self.commanded_drains;
        let servers = drains
            .servers
            .iter()
            .map(|server| format!("server {server}"));
        let hosts = drains.hosts.iter().map(|host| format!("host {host}"));
        let drains: Vec<_> = servers.chain(hosts).collect();
        if !drains.is_empty() {
            writeln!(f, "Drained by command: {}", drains.join(", "))?;
        }
        writeln!(f)?;
        write_table(f, &self.service_rows())?;
        writeln!(f)?;
        write_table(f, &self.server_rows())?;
        writeln!(f)?;
        write_table(f, &self.balancer_rows())
    }
}

impl Status {
    fn service_rows(&self) -> Vec<Vec<String>> {
        let header = [
            "SERVICE",
            "ORGANISATION",
            "ACTIVE",
            "JOINING",
            "DRAINING",
            "DOWN",
            "SLOTS",
            "ADDRESSES",
        ];
        let rows = self.services.iter().map(|service| {
            let organisation = service.organisation.as_ref();
            vec![
                service.name.to_string(),
                organisation.map_or("(not configured)".to_owned(), ToString::to_string),
                service.active.to_string(),
                service.joining.to_string(),
                service.draining.to_string(),
                service.down.to_string(),
                service.slots.to_string(),
                service.addresses.join(" "),
            ]
        });
        with_header(&header, rows)
    }

    fn server_rows(&self) -> Vec<Vec<String>> {
        let header = [
            "SERVER",
            "SERVICE",
            "DOMAIN",
            "HOST",
            "STATE",
            "SLOTS",
            "CONNECTIONS",
            "DRAINED",
            "FLOWS",
        ];
        let rows = self.servers.iter().map(|server| {
            let service = server.service.as_ref();
            vec![
                server.member.to_string(),
                service.map_or("-".to_owned(), ToString::to_string),
                server.domain.to_string(),
                server.host.to_string(),
                server.state.to_string(),
                server.slots.to_string(),
                server.connections.to_string(),
                if server.drained { "yes" } else { "no" }.to_owned(),
                server.open_flows.map_or("-".to_owned(), format_flow_limit),
            ]
        });
        with_header(&header, rows)
    }

    fn balancer_rows(&self) -> Vec<Vec<String>> {
        let header = ["BALANCER", "DOMAIN", "HOST", "STATE", "GENERATION", "LAG"];
        let rows = self.balancers.iter().map(|balancer| {
            vec![
                balancer.member.to_string(),
                balancer.domain.to_string(),
                balancer.host.to_string(),
                balancer.state.to_string(),
                balancer.generation.to_string(),
                balancer.lag.to_string(),
            ]
        });
        with_header(&header, rows)
    }
}

/// Formats a number of flows that was rounded up to a power of two: 0, 1 and 2 as they are, larger
/// ones as an upper bound.
pub(crate) fn format_flow_limit(flows: u32) -> String {
    match flows {
        0..=2 => flows.to_string(),
        _ => format!("<={flows}"),
    }
}

fn with_header(header: &[&str], rows: impl Iterator<Item = Vec<String>>) -> Vec<Vec<String>> {
    let header = header.iter().map(ToString::to_string).collect();
    std::iter::once(header).chain(rows).collect()
}

/// Writes rows with left-aligned columns. Every row must have as many cells as the first.
fn write_table(f: &mut fmt::Formatter<'_>, rows: &[Vec<String>]) -> fmt::Result {
    let columns = rows.first().map_or(0, Vec::len);
    let width = |column: usize| rows.iter().map(|row| row[column].len()).max().unwrap_or(0);
    let widths: Vec<_> = (0..columns).map(width).collect();
    for row in rows {
        let cells = row.iter().zip(&widths);
        let line: String = cells
            .map(|(cell, width)| format!("{cell:width$}  "))
            .collect();
        writeln!(f, "{}", line.trim_end())?;
    }
    Ok(())
}

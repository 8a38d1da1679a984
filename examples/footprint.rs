//! Measures the memory of a balancer's control state and of an agent's flow table at several sizes,
//! as growth of the resident memory of this process.
//!
//! `cargo run --release --example footprint -- [--json]`

use std::net::SocketAddr;
use std::time::Instant;

use anyhow::{Context, Result};
use argh::FromArgs;
use flamingofall::config::{Address, Config, Service};
use flamingofall::control::{Control, Snapshot};
use flamingofall::flow::{Entry, Owner, Table as Flows};
use flamingofall::id::{Connections, Digest, Generation, Incarnation, Sequence, Slots};
use flamingofall::member::{Record, Role, State};
use flamingofall::packet::{Flow, Kind, Protocol};
use flamingofall::router::RoutingTableBuilder;

/// Measures memory at several sizes.
#[derive(FromArgs)]
struct Options {
    /// print JSON instead of a table
    #[argh(switch)]
    json: bool,
}

#[derive(serde::Serialize)]
struct Measurement {
    what: &'static str,
    count: usize,
    bytes: u64,
    bytes_each: f64,
}

/// Balancers, servers and services: a tenth and two fifths of the target size, and the target size.
const FLEET_SIZES: [(usize, usize, usize); 3] = [
    (450, 3_400, 300),
    (1_800, 13_600, 1_200),
    (4_500, 34_000, 3_000),
];
const FLOW_COUNTS: [usize; 3] = [2_000, 20_000, 200_000];
const FAILURE_DOMAINS: usize = 28;

fn main() -> Result<()> {
    let options: Options = argh::from_env();
    let mut measurements = Vec::new();
    // Keeps everything allocated: the allocator would reuse freed memory and hide later growth.
    let mut flow_tables = Vec::new();
    let mut retained_balancers = Vec::new();
    for count in FLOW_COUNTS {
        let before = resident_bytes()?;
        flow_tables.push(flow_table(count));
        measurements.push(measurement(
            "agent: flows",
            count,
            resident_bytes()?.saturating_sub(before),
        ));
    }
    for (balancers, servers, services) in FLEET_SIZES {
        let before = resident_bytes()?;
        retained_balancers.push(build_balancer(balancers, servers, services));
        let bytes = resident_bytes()?.saturating_sub(before);
        let what = "balancer: records, configuration and routes";
        measurements.push(measurement(what, balancers + servers, bytes));
    }
    if options.json {
        println!("{}", serde_json::to_string_pretty(&measurements)?);
        return Ok(());
    }
    for l in &measurements {
        println!(
            "{:<44} {:>8} {:>12} B {:>8.0} B each",
            l.what, l.count, l.bytes, l.bytes_each
        );
    }
    Ok(())
}

fn measurement(what: &'static str, count: usize, bytes: u64) -> Measurement {
    Measurement {
        what,
        count,
        bytes,
        bytes_each: bytes as f64 / count as f64,
    }
}

/// Resident memory of this process. Assumes pages of 4 KiB.
fn resident_bytes() -> Result<u64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).context("no resident size")?;
    Ok(pages.parse::<u64>()? * 4096)
}

fn build_balancer(
    balancers: usize,
    servers: usize,
    services: usize,
) -> (Control, RoutingTableBuilder, impl Sized) {
    let mut config = Config::default();
    for number in 0..services {
        let name = service_name(number);
        let addresses = vec![Address {
            protocol: Protocol::Tcp,
            address: address(203, number),
        }];
        let organisation = "organisation".parse().expect("a valid name");
        config
            .services
            .insert(name.clone(), Service::new(name, organisation, addresses));
    }
    let text = String::from_utf8(config.canonical_json()).expect("JSON is UTF-8");
    let digest = Digest::of(text.as_bytes());
    let agents = (0..servers).map(|number| record(number, Some(number % services)));
    let peers = (0..balancers).map(|number| record(servers + number, None));
    let snapshot = Snapshot {
        records: agents.chain(peers).collect(),
        config: Some((Generation(1), digest, text)),
        ..Snapshot::default()
    };
    let now = Instant::now();
    let own = record(servers + balancers, None);
    let mut control = Control::new(own, Vec::new(), 1, now);
    control.load_snapshot(snapshot, now, &mut Vec::new());
    let mut router = RoutingTableBuilder::default();
    let table = router.update(control.view());
    (control, router, table)
}

fn service_name(number: usize) -> flamingofall::id::Service {
    format!("service-{number}").parse().expect("a valid name")
}

fn address(first: u8, number: usize) -> SocketAddr {
    let octets = [
        first,
        (number >> 16) as u8,
        (number >> 8) as u8,
        number as u8,
    ];
    SocketAddr::from((octets, 443))
}

fn record(number: usize, service: Option<usize>) -> Record {
    Record {
        member: format!("member-{number:06}").parse().expect("a valid name"),
        role: if service.is_some() {
            Role::Agent
        } else {
            Role::Balancer
        },
        incarnation: Incarnation(1),
        sequence: Sequence(1),
        state: State::Active,
        domain: format!("domain-{:02}", number % FAILURE_DOMAINS)
            .parse()
            .expect("a valid name"),
        control: address(10, number),
        data: address(10, number),
        service: service.map(service_name),
        slots: Slots(4),
        connections: Connections(2000),
        generation: Generation(1),
        open_flows: None,
        sole_server: None,
    }
}

fn flow_table(count: usize) -> Flows {
    let now = Instant::now();
    let mut table = Flows::new(1);
    for number in 0..count {
        let source = SocketAddr::new(address(100, number >> 8).ip(), 1024 + (number & 255) as u16);
        let flow = Flow {
            protocol: Protocol::Tcp,
            source,
            destination: address(203, 1),
        };
        let entry = Entry::new(Owner::Local { epoch: 1 }, Kind::Syn, now);
        table.insert(flow, entry);
    }
    table
}

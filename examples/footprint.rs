//! Memory of a balancer and of an agent at several sizes, as resident memory of this process.
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
struct Line {
    what: &'static str,
    count: usize,
    bytes: u64,
    bytes_each: f64,
}

/// Balancers, servers and services of the target size, and fractions of them.
const BALANCERS: [(usize, usize, usize); 3] = [
    (450, 3_400, 300),
    (1_800, 13_600, 1_200),
    (4_500, 34_000, 3_000),
];
const FLOWS: [usize; 3] = [2_000, 20_000, 200_000];
const DOMAINS: usize = 28;

fn main() -> Result<()> {
    let options: Options = argh::from_env();
    let mut lines = Vec::new();
    // Everything stays allocated: memory that was freed before would hide later growth.
    let mut kept_flows = Vec::new();
    let mut kept_balancers = Vec::new();
    for count in FLOWS {
        let before = resident()?;
        kept_flows.push(flows(count));
        lines.push(line(
            "agent: flows",
            count,
            resident()?.saturating_sub(before),
        ));
    }
    for (balancers, servers, services) in BALANCERS {
        let before = resident()?;
        kept_balancers.push(balancer(balancers, servers, services));
        let bytes = resident()?.saturating_sub(before);
        let what = "balancer: records, configuration and routes";
        lines.push(line(what, balancers + servers, bytes));
    }
    if options.json {
        println!("{}", serde_json::to_string_pretty(&lines)?);
        return Ok(());
    }
    for l in &lines {
        println!(
            "{:<44} {:>8} {:>12} B {:>8.0} B each",
            l.what, l.count, l.bytes, l.bytes_each
        );
    }
    Ok(())
}

fn line(what: &'static str, count: usize, bytes: u64) -> Line {
    Line {
        what,
        count,
        bytes,
        bytes_each: bytes as f64 / count as f64,
    }
}

/// Resident memory of this process in bytes.
fn resident() -> Result<u64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text.split_whitespace().nth(1).context("no resident size")?;
    Ok(pages.parse::<u64>()? * 4096)
}

fn balancer(
    balancers: usize,
    servers: usize,
    services: usize,
) -> (Control, RoutingTableBuilder, impl Sized) {
    let mut config = Config::default();
    for number in 0..services {
        let name = service(number);
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
    let others = (0..balancers).map(|number| record(servers + number, None));
    let snapshot = Snapshot {
        records: agents.chain(others).collect(),
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

fn service(number: usize) -> flamingofall::id::Service {
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

fn record(number: usize, of: Option<usize>) -> Record {
    Record {
        member: format!("member-{number:06}").parse().expect("a valid name"),
        role: if of.is_some() {
            Role::Agent
        } else {
            Role::Balancer
        },
        incarnation: Incarnation(1),
        sequence: Sequence(1),
        state: State::Active,
        domain: format!("domain-{:02}", number % DOMAINS)
            .parse()
            .expect("a valid name"),
        control: address(10, number),
        data: address(10, number),
        service: of.map(service),
        slots: Slots(4),
        connections: Connections(2000),
        generation: Generation(1),
        open_flows: None,
        sole_server: None,
    }
}

fn flows(count: usize) -> Flows {
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

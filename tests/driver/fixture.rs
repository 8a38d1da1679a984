//! Seeds, and the records that processes announce at first.

use std::net::SocketAddr;

use flamingofall::id::{Connections, Generation, Incarnation, Sequence, Slots};
use flamingofall::member::{Record, Role, State};

/// Runs a check for several seeds, for the number of seeds in `SEEDS`, or for the one in `SEED`.
/// A failure names the command that repeats it.
pub fn check_seeds(test: &str, seeds: u64, run: impl Fn(u64) -> Result<(), String>) {
    let given = |name| {
        std::env::var(name)
            .ok()
            .map(|number| number.parse::<u64>().unwrap())
    };
    let seeds = 0..given("SEEDS").unwrap_or(seeds);
    for seed in given("SEED").map_or(seeds, |seed| seed..seed + 1) {
        if let Err(fault) = run(seed) {
            let (file, name) = test.split_once("::").unwrap();
            panic!("{fault}\nrepeat with: SEED={seed} cargo test --test {file} {name}");
        }
    }
}

/// A record as a process announces it at first. Hosts `0..32` of a domain are balancers.
pub fn record(domain: u8, host: u8, incarnation: u64) -> Record {
    let balancer = host < 32;
    let kind = if balancer { 'b' } else { 'a' };
    let address = SocketAddr::from(([127, 0, domain, host], 7000));
    Record {
        member: format!("{kind}{domain}-{host}").parse().unwrap(),
        role: if balancer {
            Role::Balancer
        } else {
            Role::Agent
        },
        incarnation: Incarnation(incarnation),
        sequence: Sequence(1),
        state: if balancer {
            State::Joining
        } else {
            State::Active
        },
        domain: format!("d{domain}").parse().unwrap(),
        control: address,
        data: address,
        service: (!balancer).then(|| "ordering".parse().unwrap()),
        slots: Slots(5),
        connections: Connections(2000),
        generation: Generation(0),
        open_flows: None,
        sole_server: None,
    }
}

/// The number of an address's failure domain.
pub fn domain_number(address: SocketAddr) -> u8 {
    match address.ip() {
        std::net::IpAddr::V4(ip) => ip.octets()[2],
        std::net::IpAddr::V6(_) => 0,
    }
}

//! Seeded runs of a check, and the records that processes announce when they start.

use std::net::SocketAddr;

use flamingofall::id::{Connections, Generation, Incarnation, Sequence, Slots};
use flamingofall::member::{Record, Role, State};

/// First host number of agents; lower numbers are balancers.
pub const AGENT_HOSTS_START: u8 = 32;

/// Runs a check with the seeds `0..seeds`. The environment variable `SEEDS` sets another number of
/// seeds, and `SEED` selects a single one. `test` is the name of the test binary, `::` and the name
/// of the test; a failure prints the command that repeats it.
pub fn check_seeds(test: &str, seeds: u64, check: impl Fn(u64) -> Result<(), String>) {
    let from_env = |name| {
        std::env::var(name)
            .ok()
            .map(|number| number.parse::<u64>().unwrap())
    };
    let seeds = 0..from_env("SEEDS").unwrap_or(seeds);
    for seed in from_env("SEED").map_or(seeds, |seed| seed..seed + 1) {
        if let Err(error) = check(seed) {
            let (file, name) = test.split_once("::").unwrap();
            panic!("{error}\nrepeat with: SEED={seed} cargo test --test {file} {name}");
        }
    }
}

/// Returns the record that a process announces when it starts. Hosts below [`AGENT_HOSTS_START`]
/// are balancers. The failure domain is the third octet of the IP address, and the host is the
/// fourth.
pub fn record(domain: u8, host: u8, incarnation: u64) -> Record {
    let is_balancer = host < AGENT_HOSTS_START;
    let prefix = if is_balancer { 'b' } else { 'a' };
    let address = SocketAddr::from(([127, 0, domain, host], 7000));
    Record {
        member: format!("{prefix}{domain}-{host}").parse().unwrap(),
        role: if is_balancer {
            Role::Balancer
        } else {
            Role::Agent
        },
        incarnation: Incarnation(incarnation),
        sequence: Sequence(1),
        state: if is_balancer {
            State::Joining
        } else {
            State::Active
        },
        domain: format!("d{domain}").parse().unwrap(),
        control: address,
        data: address,
        service: (!is_balancer).then(|| "ordering".parse().unwrap()),
        slots: Slots(5),
        connections: Connections(2000),
        generation: Generation(0),
        open_flows: None,
        sole_server: None,
    }
}

/// Returns the number of an address's failure domain, which is the third octet.
pub fn domain_number(address: SocketAddr) -> u8 {
    match address.ip() {
        std::net::IpAddr::V4(ip) => ip.octets()[2],
        std::net::IpAddr::V6(_) => 0,
    }
}

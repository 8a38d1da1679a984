//! Loopback addresses that are specific to one process.

use std::net::{IpAddr, Ipv4Addr};

/// Derives a loopback IP address from the process id, so that test processes which run at the same
/// time can use the same fixed ports.
///
/// `number` is the last octet and distinguishes the hosts of one process.
pub fn host(number: u8) -> IpAddr {
    let id = std::process::id();
    // Skips 127.0.0.0/16, which other programs use.
    let high = 1 + (id >> 8) % 254;
    IpAddr::V4(Ipv4Addr::new(127, high as u8, id as u8, number))
}

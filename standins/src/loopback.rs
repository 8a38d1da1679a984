//! Loopback addresses that belong to one process.

use std::net::{IpAddr, Ipv4Addr};

/// A loopback address that other processes don't use, so that fixed ports can't collide.
///
/// The address is made of the process id and `number`, which tells the hosts of one process apart.
pub fn host(number: u8) -> IpAddr {
    let id = std::process::id();
    // 127.0.x.x is left to everyone else.
    let high = 1 + (id >> 8) % 254;
    IpAddr::V4(Ipv4Addr::new(127, high as u8, id as u8, number))
}

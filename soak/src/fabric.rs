//! The fabric between clients and balancers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use flamingofall::packet::Flow;
use flamingofall_emulator::client::Client;
use rand::rngs::SmallRng;
use rand::Rng;
use tokio::net::UdpSocket;

/// Readiness checks that a balancer may miss before it gets no more packets.
pub const MISSES_MAX: u32 = 2;
/// Share of packets lost while the fabric loses packets.
const LOSS: f64 = 0.05;

/// A client with its socket.
pub struct Caller {
    /// The client.
    pub client: Client,
    /// Its socket, at the port at which the balancers get packets.
    pub socket: Arc<UdpSocket>,
}

/// The fabric.
#[derive(Default)]
pub struct Fabric {
    /// Until when packets are lost.
    pub lossy: Option<Duration>,
    /// When the last opening packet of a flow was sent.
    pub opened: HashMap<Flow, Duration>,
}

impl Fabric {
    /// The balancer that gets a packet of the flow: by hash over those in rotation.
    pub fn choose(&self, flow: &Flow, misses: &[u32]) -> usize {
        let mut rotation: Vec<usize> = (0..misses.len())
            .filter(|index| misses[*index] < MISSES_MAX)
            .collect();
        if rotation.len() * 2 < misses.len() {
            rotation = (0..misses.len()).collect();
        }
        rotation[(flow.hash() % rotation.len() as u64) as usize]
    }

    /// Whether the fabric loses the packet.
    pub fn loses(&self, now: Duration, random: &mut SmallRng) -> bool {
        self.lossy.is_some_and(|until| now < until) && random.random_bool(LOSS)
    }
}

/// Sends a datagram; a full buffer loses it, as on a network.
pub fn send(socket: &UdpSocket, bytes: &[u8], to: SocketAddr) {
    let _ = socket.try_send_to(bytes, to);
}

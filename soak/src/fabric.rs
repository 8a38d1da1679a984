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
pub const READINESS_FAILURE_THRESHOLD: u32 = 2;
/// Share of packets lost while the fabric loses packets.
const LOSS_PROBABILITY: f64 = 0.05;

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
    pub lossy_until: Option<Duration>,
    /// When the last opening packet of a flow was sent.
    pub last_openings: HashMap<Flow, Duration>,
}

impl Fabric {
    /// The balancer that gets a packet of the flow: by hash over those in rotation.
    pub fn select_balancer(&self, flow: &Flow, readiness_failures: &[u32]) -> usize {
        let mut rotation: Vec<usize> = (0..readiness_failures.len())
            .filter(|index| readiness_failures[*index] < READINESS_FAILURE_THRESHOLD)
            .collect();
        if rotation.len() * 2 < readiness_failures.len() {
            rotation = (0..readiness_failures.len()).collect();
        }
        rotation[(flow.hash() % rotation.len() as u64) as usize]
    }

    /// Whether the fabric loses the packet.
    pub fn drops_packet(&self, now: Duration, random: &mut SmallRng) -> bool {
        self.lossy_until.is_some_and(|until| now < until) && random.random_bool(LOSS_PROBABILITY)
    }
}

/// Sends a datagram; a full buffer loses it, as on a network.
pub fn send_datagram(socket: &UdpSocket, bytes: &[u8], to: SocketAddr) {
    let _ = socket.try_send_to(bytes, to);
}

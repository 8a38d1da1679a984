//! The simulated network fabric between clients and balancers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use flamingofall::packet::Flow;
use flamingofall_emulator::client::Client;
use rand::rngs::SmallRng;
use rand::Rng;
use tokio::net::UdpSocket;

/// Consecutive failed readiness checks after which a balancer is taken out of rotation.
pub const READINESS_FAILURE_THRESHOLD: u32 = 2;
/// Probability that a packet is dropped while the fabric is lossy.
const LOSS_PROBABILITY: f64 = 0.05;

/// A simulated client with its socket.
pub struct Caller {
    /// The state machine of the client's flow and request.
    pub client: Client,
    /// Socket of the client, bound to [`crate::network::PACKET_PORT`].
    pub socket: Arc<UdpSocket>,
}

/// Spreads clients' packets over the balancers, and drops some of them while it is lossy. Times
/// count from the start of the run.
#[derive(Default)]
pub struct Fabric {
    /// Time until which packets are dropped at random.
    pub lossy_until: Option<Duration>,
    /// Time at which a client last sent an opening packet of a flow, dropped or not.
    pub last_openings: HashMap<Flow, Duration>,
}

impl Fabric {
    /// Returns the index of the balancer that receives the flow's packets, chosen by the flow's hash
    /// from the balancers in rotation. If fewer than half are in rotation, all are used.
    /// `readiness_failures` has one entry for each balancer.
    pub fn select_balancer(&self, flow: &Flow, readiness_failures: &[u32]) -> usize {
        let mut rotation: Vec<usize> = (0..readiness_failures.len())
            .filter(|index| readiness_failures[*index] < READINESS_FAILURE_THRESHOLD)
            .collect();
        if rotation.len() * 2 < readiness_failures.len() {
            rotation = (0..readiness_failures.len()).collect();
        }
        rotation[(flow.hash() % rotation.len() as u64) as usize]
    }

    /// Decides at random whether a packet sent at `now` is dropped.
    pub fn drops_packet(&self, now: Duration, random: &mut SmallRng) -> bool {
        self.lossy_until.is_some_and(|until| now < until) && random.random_bool(LOSS_PROBABILITY)
    }
}

/// Sends a datagram. Errors are ignored: a full buffer drops the datagram, as a network does.
pub fn send_datagram(socket: &UdpSocket, bytes: &[u8], to: SocketAddr) {
    let _ = socket.try_send_to(bytes, to);
}

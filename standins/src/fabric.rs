//! Simulated network between callers, balancers and server hosts.
//!
//! The fabric encapsulates each IP packet of a caller in a UDP datagram (GUE variant 1) and sends
//! it to one of the balancers, regardless of the flow. Server hosts send their answers in the same
//! encapsulation to the fabric's address; the fabric delivers them by destination IP address.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::io;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::net::UdpSocket;
use tokio::sync::mpsc::{self, error::TrySendError};
use tokio::time::Instant;

use crate::task::Task;
use crate::udp;

/// Maximum number of packets handled before timers are checked again.
const BATCH_PACKETS: usize = 64;
/// Capacity of the queue from all callers to the fabric, and of the queue to each caller. Packets
/// that don't fit are dropped and counted as [`Counts::overflow`].
const QUEUE_PACKETS: usize = 16_384;
/// Size of the receive buffer: the length field of UDP allows no longer datagram.
const DATAGRAM_MAX_BYTES: usize = 65_535;

/// How the fabric selects the balancer of a packet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Spray {
    /// A balancer drawn uniformly at random for each packet.
    #[default]
    Random,
    /// Each balancer in turn, packet by packet.
    RoundRobin,
}

/// Network faults in one direction. The default is a network without faults.
///
/// Probabilities are between 0 and 1 and apply to each packet independently.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Fixed one-way delay of each packet.
    pub delay: Duration,
    /// Upper bound of a uniformly distributed extra delay, which can reorder packets.
    pub jitter: Duration,
    /// Probability that a packet is lost.
    pub loss: f64,
    /// Probability that a packet is delayed by `reorder_by` in addition, so that later packets
    /// arrive first.
    pub reorder: f64,
    /// Additional delay of a reordered packet.
    pub reorder_by: Duration,
    /// Probability that a packet is delivered twice. Both copies have the delay, but jitter and
    /// reordering are drawn for each.
    pub duplicate: f64,
}

/// Packet counters of a fabric since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Packets received from callers.
    pub from_callers: u64,
    /// Packets sent to balancers, including duplicates.
    pub to_balancers: u64,
    /// Datagrams received from server hosts, including those that are not IP packets.
    pub from_servers: u64,
    /// Answers delivered to callers, including duplicates.
    pub to_callers: u64,
    /// Packets dropped by [`Faults::loss`].
    pub lost: u64,
    /// Packets delayed by [`Faults::reorder`].
    pub reordered: u64,
    /// Packets duplicated by [`Faults::duplicate`].
    pub duplicated: u64,
    /// Packets dropped because no balancer was registered.
    pub no_balancer: u64,
    /// Answers dropped because they are not IP packets or no caller with their destination address
    /// is attached.
    pub no_caller: u64,
    /// Packets dropped because a queue was full or the operating system did not accept the
    /// datagram.
    pub overflow: u64,
}

#[derive(Default)]
struct Shared {
    balancers: Vec<SocketAddr>,
    spray: Spray,
    to_balancers: Faults,
    to_callers: Faults,
    callers: HashMap<IpAddr, mpsc::Sender<Vec<u8>>>,
    counts: Counts,
}

/// A running fabric. It stops when the handle is dropped.
pub struct Fabric {
    address: SocketAddr,
    shared: Arc<Mutex<Shared>>,
    packets: mpsc::Sender<Vec<u8>>,
    /// Packets dropped by [`Port::send`].
    dropped: Arc<AtomicU64>,
    _task: Task,
}

impl Fabric {
    /// Starts a fabric without balancers and without faults. `seed` initialises the generator for
    /// random faults and balancer selection, so that a run can be repeated.
    pub async fn start(seed: u64) -> io::Result<Self> {
        let socket = udp::bind().await?;
        let address = socket.local_addr()?;
        let shared = Arc::new(Mutex::new(Shared::default()));
        let (packets, receiver) = mpsc::channel(QUEUE_PACKETS);
        let worker = Worker {
            socket,
            receiver,
            shared: shared.clone(),
            rng: SmallRng::seed_from_u64(seed),
            delayed: BinaryHeap::new(),
            sequence: 0,
            round_robin_index: 0,
            counts: Counts::default(),
        };
        Ok(Self {
            address,
            shared,
            packets,
            dropped: Arc::default(),
            _task: Task::spawn(worker.run()),
        })
    }

    /// Returns the UDP address to which server hosts send their answers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Adds a balancer, which receives packets from now on. An address is added only once.
    pub fn add_balancer(&self, address: SocketAddr) {
        let mut shared = self.shared.lock().unwrap();
        if !shared.balancers.contains(&address) {
            shared.balancers.push(address);
        }
    }

    /// Removes a balancer. Delayed packets that were already assigned to it are still sent.
    pub fn remove_balancer(&self, address: SocketAddr) {
        let mut shared = self.shared.lock().unwrap();
        shared.balancers.retain(|balancer| *balancer != address);
    }

    /// Returns the addresses of the balancers among which packets are distributed.
    pub fn balancers(&self) -> Vec<SocketAddr> {
        self.shared.lock().unwrap().balancers.clone()
    }

    /// Sets how the balancer of a packet is selected, for packets not yet assigned.
    pub fn set_spray(&self, spray: Spray) {
        self.shared.lock().unwrap().spray = spray;
    }

    /// Sets the same faults for both directions. Delayed packets keep their delay.
    pub fn set_faults(&self, faults: Faults) {
        let mut shared = self.shared.lock().unwrap();
        shared.to_balancers = faults;
        shared.to_callers = faults;
    }

    /// Sets the faults of packets from callers to balancers.
    pub fn set_faults_to_balancers(&self, faults: Faults) {
        self.shared.lock().unwrap().to_balancers = faults;
    }

    /// Sets the faults of packets from server hosts to callers.
    pub fn set_faults_to_callers(&self, faults: Faults) {
        self.shared.lock().unwrap().to_callers = faults;
    }

    /// Returns the packet counters. They are updated after each batch of packets.
    pub fn counts(&self) -> Counts {
        let counts = self.shared.lock().unwrap().counts;
        Counts {
            overflow: counts.overflow + self.dropped.load(Ordering::Relaxed),
            ..counts
        }
    }

    /// Attaches a caller under an IP address. It replaces a caller with the same address.
    pub fn attach(&self, ip: IpAddr) -> Port {
        let (sender, receiver) = mpsc::channel(QUEUE_PACKETS);
        self.shared.lock().unwrap().callers.insert(ip, sender);
        Port {
            ip,
            packets: self.packets.clone(),
            dropped: self.dropped.clone(),
            receiver,
        }
    }
}

/// A caller's network port on the fabric.
#[derive(Debug)]
pub struct Port {
    ip: IpAddr,
    packets: mpsc::Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    receiver: mpsc::Receiver<Vec<u8>>,
}

impl Port {
    /// Returns the IP address under which the caller is attached.
    pub fn ip(&self) -> IpAddr {
        self.ip
    }

    /// Sends an IP packet to the fabric without waiting. The packet is dropped if the fabric's
    /// queue is full or the fabric has stopped.
    pub fn send(&self, packet: Vec<u8>) {
        if self.packets.try_send(packet).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Waits for the next packet to this caller; `None` if the fabric has stopped or another
    /// caller has replaced this one.
    pub async fn receive(&mut self) -> Option<Vec<u8>> {
        self.receiver.recv().await
    }

    /// Returns the next packet to this caller if one has already arrived.
    pub fn try_receive(&mut self) -> Option<Vec<u8>> {
        self.receiver.try_recv().ok()
    }
}

#[derive(Clone, Copy)]
enum Target {
    Balancer(SocketAddr),
    Caller(IpAddr),
}

struct Delayed {
    due: Instant,
    sequence: u64,
    target: Target,
    packet: Vec<u8>,
}

impl PartialEq for Delayed {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for Delayed {}

impl PartialOrd for Delayed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Delayed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.due, self.sequence).cmp(&(other.due, other.sequence))
    }
}

struct Worker {
    socket: UdpSocket,
    receiver: mpsc::Receiver<Vec<u8>>,
    shared: Arc<Mutex<Shared>>,
    rng: SmallRng,
    delayed: BinaryHeap<Reverse<Delayed>>,
    sequence: u64,
    round_robin_index: usize,
    counts: Counts,
}

impl Worker {
    async fn run(mut self) {
        let mut packets = Vec::with_capacity(BATCH_PACKETS);
        let mut buffer = vec![0; DATAGRAM_MAX_BYTES];
        loop {
            let due = self.delayed.peek().map(|Reverse(delayed)| delayed.due);
            tokio::select! {
                count = self.receiver.recv_many(&mut packets, BATCH_PACKETS) => {
                    if count == 0 {
                        return;
                    }
                    for packet in packets.drain(..) {
                        self.forward_to_balancer(packet);
                    }
                }
                _ = self.socket.readable() => self.receive_answers(&mut buffer),
                _ = sleep_until_due(due) => self.deliver_due(),
            }
            self.shared.lock().unwrap().counts = self.counts;
        }
    }

    fn receive_answers(&mut self, buffer: &mut [u8]) {
        for _ in 0..BATCH_PACKETS {
            match self.socket.try_recv_from(buffer) {
                Ok((length, _)) => self.forward_to_caller(buffer[..length].to_vec()),
                Err(_) => return,
            }
        }
    }

    fn forward_to_balancer(&mut self, packet: Vec<u8>) {
        self.counts.from_callers += 1;
        let (target, faults) = {
            let shared = self.shared.lock().unwrap();
            if shared.balancers.is_empty() {
                self.counts.no_balancer += 1;
                return;
            }
            let count = shared.balancers.len();
            let index = match shared.spray {
                Spray::Random => self.rng.random_range(0..count),
                Spray::RoundRobin => {
                    self.round_robin_index = (self.round_robin_index + 1) % count;
                    self.round_robin_index
                }
            };
            (shared.balancers[index], shared.to_balancers)
        };
        self.apply_faults(Target::Balancer(target), packet, faults);
    }

    fn forward_to_caller(&mut self, packet: Vec<u8>) {
        let destination = destination_ip(&packet);
        self.counts.from_servers += 1;
        let faults = self.shared.lock().unwrap().to_callers;
        match destination {
            Some(ip) => self.apply_faults(Target::Caller(ip), packet, faults),
            None => self.counts.no_caller += 1,
        }
    }

    /// Drops, duplicates or delays a packet according to the faults.
    fn apply_faults(&mut self, target: Target, packet: Vec<u8>, faults: Faults) {
        if self.chance(faults.loss) {
            self.counts.lost += 1;
            return;
        }
        if self.chance(faults.duplicate) {
            self.counts.duplicated += 1;
            self.schedule(target, packet.clone(), faults);
        }
        self.schedule(target, packet, faults);
    }

    fn schedule(&mut self, target: Target, packet: Vec<u8>, faults: Faults) {
        let mut delay = faults.delay;
        if !faults.jitter.is_zero() {
            delay += faults.jitter.mul_f64(self.rng.random());
        }
        if self.chance(faults.reorder) {
            self.counts.reordered += 1;
            delay += faults.reorder_by;
        }
        if delay.is_zero() {
            self.deliver(target, packet);
            return;
        }
        self.sequence += 1;
        self.delayed.push(Reverse(Delayed {
            due: Instant::now() + delay,
            sequence: self.sequence,
            target,
            packet,
        }));
    }

    fn deliver_due(&mut self) {
        let now = Instant::now();
        while let Some(Reverse(delayed)) = self.delayed.peek() {
            if delayed.due > now {
                return;
            }
            let Reverse(delayed) = self
                .delayed
                .pop()
                .expect("the heap has an entry, as peeked above");
            self.deliver(delayed.target, delayed.packet);
        }
    }

    fn deliver(&mut self, target: Target, packet: Vec<u8>) {
        match target {
            Target::Balancer(address) => match udp::send(&self.socket, &packet, address) {
                true => self.counts.to_balancers += 1,
                false => self.counts.overflow += 1,
            },
            Target::Caller(ip) => {
                let shared = self.shared.lock().unwrap();
                match shared
                    .callers
                    .get(&ip)
                    .map(|caller| caller.try_send(packet))
                {
                    Some(Ok(())) => self.counts.to_callers += 1,
                    Some(Err(TrySendError::Full(_))) => self.counts.overflow += 1,
                    Some(Err(TrySendError::Closed(_))) | None => self.counts.no_caller += 1,
                }
            }
        }
    }

    fn chance(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random_bool(probability.min(1.0))
    }
}

async fn sleep_until_due(due: Option<Instant>) {
    match due {
        Some(due) => tokio::time::sleep_until(due).await,
        None => std::future::pending().await,
    }
}

/// Reads the destination address of an IP packet; `None` if the packet is too short or has an
/// unknown version.
fn destination_ip(packet: &[u8]) -> Option<IpAddr> {
    match packet.first()? >> 4 {
        4 => {
            let bytes: [u8; 4] = packet.get(16..20)?.try_into().ok()?;
            Some(Ipv4Addr::from(bytes).into())
        }
        6 => {
            let bytes: [u8; 16] = packet.get(24..40)?.try_into().ok()?;
            Some(Ipv6Addr::from(bytes).into())
        }
        _ => None,
    }
}

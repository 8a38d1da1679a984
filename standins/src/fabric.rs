//! The network between callers, balancers and server hosts.
//!
//! A packet of a caller goes to any of the balancers, as the payload of a UDP datagram (GUE
//! variant 1). Server hosts send answers in the same form to the fabric's address, and the fabric
//! gives each to the caller with the destination address.

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

/// Packets handled before the fabric looks at its timers again.
const BATCH_PACKETS: usize = 64;
/// Packets from callers that wait for the fabric. More than that are dropped.
const QUEUE_PACKETS: usize = 16_384;
/// Largest UDP payload.
const DATAGRAM_MAX_BYTES: usize = 65_535;

/// How the fabric selects the balancer of a packet.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Spray {
    /// A random balancer for each packet.
    #[default]
    Random,
    /// One balancer after the other.
    RoundRobin,
}

/// What happens to packets in one direction. The default is a perfect network.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Faults {
    /// Time that each packet takes.
    pub delay: Duration,
    /// Random time up to this, added to the delay. Packets overtake each other.
    pub jitter: Duration,
    /// Probability that a packet is lost.
    pub loss: f64,
    /// Probability that a packet is held back for `reorder_by`, so that later ones overtake it.
    pub reorder: f64,
    /// How long a reordered packet is held back.
    pub reorder_by: Duration,
    /// Probability that a packet is delivered twice.
    pub duplicate: f64,
}

/// What the fabric has done so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Packets received from callers.
    pub from_callers: u64,
    /// Packets sent to balancers, with duplicates.
    pub to_balancers: u64,
    /// Answers received from server hosts.
    pub from_servers: u64,
    /// Answers given to callers, with duplicates.
    pub to_callers: u64,
    /// Packets lost by the loss fault.
    pub lost: u64,
    /// Packets held back by the reorder fault.
    pub reordered: u64,
    /// Packets doubled by the duplication fault.
    pub duplicated: u64,
    /// Packets without a balancer to send them to.
    pub no_balancer: u64,
    /// Answers whose destination is no caller's address.
    pub no_caller: u64,
    /// Packets dropped because a queue was full.
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

/// A running fabric.
pub struct Fabric {
    address: SocketAddr,
    shared: Arc<Mutex<Shared>>,
    packets: mpsc::Sender<Vec<u8>>,
    /// Packets that callers could not hand over.
    dropped: Arc<AtomicU64>,
    _task: Task,
}

impl Fabric {
    /// Starts a fabric without balancers. Its faults and its spray follow from `seed`.
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

    /// Where server hosts send their answers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Adds a balancer. It gets packets at once.
    pub fn add_balancer(&self, address: SocketAddr) {
        let mut shared = self.shared.lock().unwrap();
        if !shared.balancers.contains(&address) {
            shared.balancers.push(address);
        }
    }

    /// Removes a balancer. Packets already on their way to it still arrive.
    pub fn remove_balancer(&self, address: SocketAddr) {
        let mut shared = self.shared.lock().unwrap();
        shared.balancers.retain(|balancer| *balancer != address);
    }

    /// The balancers that get packets.
    pub fn balancers(&self) -> Vec<SocketAddr> {
        self.shared.lock().unwrap().balancers.clone()
    }

    /// Sets how the balancer of a packet is selected.
    pub fn set_spray(&self, spray: Spray) {
        self.shared.lock().unwrap().spray = spray;
    }

    /// Sets the faults of both directions.
    pub fn set_faults(&self, faults: Faults) {
        let mut shared = self.shared.lock().unwrap();
        shared.to_balancers = faults;
        shared.to_callers = faults;
    }

    /// Sets the faults on the way from callers to balancers.
    pub fn set_faults_to_balancers(&self, faults: Faults) {
        self.shared.lock().unwrap().to_balancers = faults;
    }

    /// Sets the faults on the way from server hosts to callers.
    pub fn set_faults_to_callers(&self, faults: Faults) {
        self.shared.lock().unwrap().to_callers = faults;
    }

    /// What the fabric has done so far.
    pub fn counts(&self) -> Counts {
        let counts = self.shared.lock().unwrap().counts;
        Counts {
            overflow: counts.overflow + self.dropped.load(Ordering::Relaxed),
            ..counts
        }
    }

    /// Attaches a caller with an IP address. A second caller with the same address replaces it.
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

/// A caller's attachment to the fabric.
#[derive(Debug)]
pub struct Port {
    ip: IpAddr,
    packets: mpsc::Sender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    receiver: mpsc::Receiver<Vec<u8>>,
}

impl Port {
    /// The caller's address.
    pub fn ip(&self) -> IpAddr {
        self.ip
    }

    /// Sends an IP packet. A packet is dropped if the fabric's queue is full.
    pub fn send(&self, packet: Vec<u8>) {
        if self.packets.try_send(packet).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// The next packet for this caller; `None` if the fabric has stopped.
    pub async fn receive(&mut self) -> Option<Vec<u8>> {
        self.receiver.recv().await
    }

    /// The next packet for this caller if one has arrived already.
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

    /// Applies the faults to a packet and sends what is left of it.
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
            let Reverse(delayed) = self.delayed.pop().expect("just peeked");
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

/// Destination address of an IP packet.
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

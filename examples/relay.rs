//! Measures the throughput of the balancer's packet threads over loopback, per second and per
//! second of processor time. The baselines are two relays that send every packet to a fixed
//! address: one in batches (`recvmmsg`/`sendmmsg`) and one packet by packet (`recv`/`send_to`).
//!
//! `cargo run --release --example relay -- [--json] [--seconds N]`

use std::io::{IoSlice, IoSliceMut};
use std::net::{SocketAddr, UdpSocket};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use argh::FromArgs;
use etherparse::PacketBuilder;
use flamingofall::config::{Address, BUCKETS_DEFAULT};
use flamingofall::datapath::{bind, Shared, Worker};
use flamingofall::encap::Key;
use flamingofall::id::{Generation, ServiceTag, Slots};
use flamingofall::packet::Protocol;
use flamingofall::routing::{Arbiter, BucketTable, Table};
use nix::sys::socket::{recvmmsg, sendmmsg, MsgFlags, MultiHeaders, SockaddrStorage};
use nix::time::{clock_gettime, ClockId};
use strum::Display;

const BATCH: usize = 64;
const PAYLOAD_BYTES: usize = 400;
const THREAD_COUNTS: [usize; 3] = [1, 2, 4];
/// Sockets per sending thread. The kernel spreads packets over the receiving sockets of a port by
/// source port, so several are needed to load all of them.
const SOCKETS_PER_SENDER: usize = 8;

/// Measures the balancer's packet threads against relays that make no routing decision.
#[derive(FromArgs)]
struct Options {
    /// print JSON instead of a table
    #[argh(switch)]
    json: bool,
    /// seconds per measurement
    #[argh(option, default = "2")]
    seconds: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "lowercase")]
enum Relay {
    Balancer,
    Batched,
    Plain,
}

#[derive(serde::Serialize)]
struct Measurement {
    relay: String,
    threads: usize,
    packets_per_second: f64,
    packets_per_cpu_second: f64,
}

fn main() -> anyhow::Result<()> {
    let options: Options = argh::from_env();
    let mut results = Vec::new();
    for relay in [Relay::Plain, Relay::Batched, Relay::Balancer] {
        for threads in THREAD_COUNTS {
            results.push(measure(
                relay,
                threads,
                Duration::from_secs(options.seconds),
            )?);
        }
    }
    if options.json {
        println!("{}", serde_json::to_string_pretty(&results)?);
        return Ok(());
    }
    println!(
        "{:<10} {:>7} {:>12} {:>16}",
        "relay", "threads", "packets/s", "packets/cpu-s"
    );
    for r in &results {
        println!(
            "{:<10} {:>7} {:>12.0} {:>16.0}",
            r.relay, r.threads, r.packets_per_second, r.packets_per_cpu_second
        );
    }
    Ok(())
}

fn measure(relay: Relay, threads: usize, duration: Duration) -> anyhow::Result<Measurement> {
    let stop = Arc::new(AtomicBool::new(false));
    let sink = UdpSocket::bind("127.0.0.1:0")?;
    let sink_address = sink.local_addr()?;
    let first = bind("127.0.0.1:0".parse()?)?;
    let address = first.local_addr()?;
    let mut sockets = vec![first];
    for _ in 1..threads {
        sockets.push(bind(address)?);
    }
    let shared = Arc::new(Shared::default());
    shared.publish(Arc::new(routing_table(sink_address)));
    let forwarded = Arc::new(AtomicU64::new(0));
    let workers: Vec<_> = sockets
        .into_iter()
        .map(|socket| {
            let (shared, stop, forwarded) = (shared.clone(), stop.clone(), forwarded.clone());
            thread::spawn(move || {
                match relay {
                    Relay::Balancer => Worker::new(socket, shared, Key::new([1; 16])).run(),
                    Relay::Batched => relay_batched(&socket, sink_address, &stop, &forwarded),
                    Relay::Plain => relay_plain(&socket, sink_address, &stop, &forwarded),
                }
                thread_cpu_time()
            })
        })
        .collect();
    let senders: Vec<_> = (0..threads)
        .map(|number| {
            let stop = stop.clone();
            thread::spawn(move || send_packets(number, address, &stop))
        })
        .collect();
    let start = Instant::now();
    thread::sleep(duration);
    stop.store(true, Ordering::Relaxed);
    shared.stop();
    let elapsed = start.elapsed().as_secs_f64();
    for sender in senders {
        let _ = sender.join();
    }
    let cpu: f64 = workers
        .into_iter()
        .filter_map(|w| w.join().ok())
        .map(|t| t.as_secs_f64())
        .sum();
    let packets = match relay {
        Relay::Balancer => shared.counters.forwarded.load(Ordering::Relaxed),
        _ => forwarded.load(Ordering::Relaxed),
    } as f64;
    Ok(Measurement {
        relay: relay.to_string(),
        threads,
        packets_per_second: packets / elapsed,
        packets_per_cpu_second: packets / cpu,
    })
}

fn thread_cpu_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .map(Duration::from)
        .unwrap_or_default()
}

fn routing_table(sink: SocketAddr) -> Table {
    let mut service = BucketTable::new(ServiceTag(1), BUCKETS_DEFAULT);
    for number in 0..11 {
        let member = format!("server-{number}").parse().expect("a valid name");
        service.insert(Arbiter {
            member,
            weight: Slots(4),
            data: sink,
            control: sink,
        });
    }
    let service = Arc::new(service);
    let mut table = Table::new(Generation(1));
    for number in 0..3000u32 {
        let address = SocketAddr::from(([203, 0, (number >> 8) as u8, number as u8], 443));
        table.insert(
            Address {
                protocol: Protocol::Tcp,
                address,
            },
            service.clone(),
            None,
        );
    }
    table
}

fn tcp_segment(port: u16) -> Vec<u8> {
    let builder = PacketBuilder::ipv4([198, 51, 100, 7], [203, 0, 5, 9], 64);
    let mut bytes = Vec::new();
    builder
        .tcp(port, 443, 1000, 1024)
        .ack(7)
        .write(&mut bytes, &[0; PAYLOAD_BYTES])
        .expect("writing to memory");
    bytes
}

fn send_packets(number: usize, to: SocketAddr, stop: &AtomicBool) {
    let sockets: Vec<UdpSocket> = (0..SOCKETS_PER_SENDER)
        .map(|_| UdpSocket::bind("127.0.0.1:0").expect("a loopback socket"))
        .collect();
    let packets: Vec<Vec<u8>> = (0..BATCH)
        .map(|i| tcp_segment((1024 + number * BATCH + i) as u16))
        .collect();
    let slices: Vec<[IoSlice<'_>; 1]> = packets.iter().map(|p| [IoSlice::new(p)]).collect();
    let addresses = vec![Some(SockaddrStorage::from(to)); BATCH];
    let mut headers = MultiHeaders::preallocate(BATCH, None);
    while !stop.load(Ordering::Relaxed) {
        for socket in &sockets {
            let _ = sendmmsg(
                socket.as_raw_fd(),
                &mut headers,
                slices.iter(),
                &addresses,
                [],
                MsgFlags::empty(),
            );
        }
    }
}

fn relay_plain(socket: &UdpSocket, to: SocketAddr, stop: &AtomicBool, forwarded: &AtomicU64) {
    let mut buffer = [0; 2048];
    while !stop.load(Ordering::Relaxed) {
        let Ok(length) = socket.recv(&mut buffer) else {
            continue;
        };
        if socket.send_to(&buffer[..length], to).is_ok() {
            forwarded.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn relay_batched(socket: &UdpSocket, to: SocketAddr, stop: &AtomicBool, forwarded: &AtomicU64) {
    let mut buffers = vec![[0u8; 2048]; BATCH];
    let mut receive = MultiHeaders::<SockaddrStorage>::preallocate(BATCH, None);
    let mut send = MultiHeaders::preallocate(BATCH, None);
    let addresses = vec![Some(SockaddrStorage::from(to)); BATCH];
    while !stop.load(Ordering::Relaxed) {
        let mut slices: Vec<[IoSliceMut<'_>; 1]> =
            buffers.iter_mut().map(|b| [IoSliceMut::new(b)]).collect();
        let flags = MsgFlags::MSG_WAITFORONE;
        let received = recvmmsg(
            socket.as_raw_fd(),
            &mut receive,
            slices.iter_mut(),
            flags,
            None,
        );
        let Ok(messages) = received else {
            continue;
        };
        let lengths: Vec<usize> = messages.map(|m| m.bytes).collect();
        let slices: Vec<[IoSlice<'_>; 1]> = lengths
            .iter()
            .zip(&buffers)
            .map(|(n, b)| [IoSlice::new(&b[..*n])])
            .collect();
        let sent = sendmmsg(
            socket.as_raw_fd(),
            &mut send,
            slices.iter(),
            &addresses[..slices.len()],
            [],
            MsgFlags::empty(),
        );
        if let Ok(messages) = sent {
            forwarded.fetch_add(messages.count() as u64, Ordering::Relaxed);
        }
    }
}

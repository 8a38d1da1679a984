//! Benchmarks the packet path of a balancer and the changes of a service's bucket table.

// `criterion_group!` generates a public function without documentation.
#![allow(missing_docs)]

use std::hint::black_box;
use std::net::SocketAddr;
use std::sync::Arc;

use criterion::{criterion_group, criterion_main, BatchSize, Criterion};
use etherparse::PacketBuilder;
use flamingofall::config::{Address, BUCKETS_DEFAULT};
use flamingofall::encap::{Header, Key};
use flamingofall::id::{Generation, ServiceTag, Slots};
use flamingofall::packet::{self, Protocol};
use flamingofall::routing::{Arbiter, BucketTable, Route, Table};

fn arbiter(number: usize) -> Arbiter {
    Arbiter {
        member: format!("server-{number}").parse().unwrap(),
        weight: Slots(4),
        data: SocketAddr::from(([127, 0, 0, 1], 1000 + (number % 60_000) as u16)),
        control: SocketAddr::from(([127, 0, 0, 1], 1000)),
    }
}

fn bucket_table(tag: u32, members: usize) -> BucketTable {
    let mut table = BucketTable::new(ServiceTag(tag), BUCKETS_DEFAULT);
    (0..members).for_each(|number| table.insert(arbiter(number)));
    table
}

/// Creates a routing table of the target size: 3,000 addresses with 11 servers each.
fn target_table() -> Table {
    let mut table = Table::new(Generation(1));
    for number in 0..3000u32 {
        let address = SocketAddr::from(([203, 0, (number >> 8) as u8, number as u8], 443));
        let address = Address {
            protocol: Protocol::Tcp,
            address,
        };
        table.insert(address, Arc::new(bucket_table(number, 11)), None);
    }
    table
}

fn tcp_segment(port: u16, syn: bool) -> Vec<u8> {
    let builder = PacketBuilder::ipv4([198, 51, 100, 7], [203, 0, 5, 9], 64);
    let builder = builder.tcp(port, 443, 1000, 1024);
    let builder = if syn { builder.syn() } else { builder.ack(77) };
    let mut bytes = Vec::new();
    builder.write(&mut bytes, &[0; 100]).unwrap();
    bytes
}

fn decisions(c: &mut Criterion) {
    let table = target_table();
    let key = Key::new([7; 16]);
    let ack_segments: Vec<Vec<u8>> = (1000..2024).map(|port| tcp_segment(port, false)).collect();
    let syn_segments: Vec<Vec<u8>> = (1000..2024).map(|port| tcp_segment(port, true)).collect();
    let mut next = 0;
    for (name, packets) in [("established", &ack_segments), ("new", &syn_segments)] {
        c.bench_function(&format!("parse/{name}"), |b| {
            b.iter(|| {
                next = (next + 1) % packets.len();
                black_box(packet::parse(black_box(&packets[next])).unwrap())
            })
        });
        c.bench_function(&format!("route/{name}"), |b| {
            let parsed: Vec<_> = packets.iter().map(|p| packet::parse(p).unwrap()).collect();
            b.iter(|| {
                next = (next + 1) % parsed.len();
                black_box(table.route(black_box(&parsed[next])))
            })
        });
    }
    c.bench_function("parse, route and encapsulate", |b| {
        let mut out = Vec::with_capacity(128);
        b.iter(|| {
            next = (next + 1) % ack_segments.len();
            let packet = packet::parse(&ack_segments[next]).unwrap();
            let Route::Forward { to, header } = table.route(&packet) else {
                panic!("no route");
            };
            out.clear();
            header.write(key, &packet.flow, &mut out);
            black_box((to, out.len()))
        })
    });
    c.bench_function("read and check header", |b| {
        let packet = packet::parse(&ack_segments[0]).unwrap();
        let Route::Forward { header, .. } = table.route(&packet) else {
            panic!("no route");
        };
        let mut datagram = Vec::new();
        header.write(key, &packet.flow, &mut datagram);
        datagram.extend_from_slice(&ack_segments[0]);
        b.iter(|| {
            let sealed = Header::read(black_box(&datagram)).unwrap();
            let packet = packet::parse(sealed.inner).unwrap();
            black_box(sealed.verify(key, &packet.flow).unwrap())
        })
    });
}

fn changes(c: &mut Criterion) {
    for members in [10, 100, 1_000, 34_000] {
        let base = bucket_table(1, members);
        c.bench_function(&format!("join/{members} members"), |b| {
            b.iter_batched_ref(
                || base.clone(),
                |table| table.insert(arbiter(members + 1)),
                BatchSize::LargeInput,
            )
        });
        c.bench_function(&format!("leave/{members} members"), |b| {
            let removed = arbiter(members / 2).member;
            b.iter_batched_ref(
                || base.clone(),
                |table| table.remove(&removed),
                BatchSize::LargeInput,
            )
        });
    }
}

criterion_group! {
    name = benches;
    config = Criterion::default().sample_size(20).measurement_time(std::time::Duration::from_secs(2)).warm_up_time(std::time::Duration::from_millis(500));
    targets = decisions, changes
}
criterion_main!(benches);

//! Benchmarks how the agent handles a packet of an established flow, for several numbers of flows.

// `criterion_group!` generates a public function without documentation.
#![allow(missing_docs)]

use std::time::Instant;

use criterion::{criterion_group, criterion_main, Criterion};
use flamingofall::packet;

mod established;

fn established_path(criterion: &mut Criterion) {
    for count in [1_000, 10_000, 100_000] {
        let now = Instant::now();
        let (mut agent, header, packets) = established::agent_with_flows(count, now);
        let packets: Vec<_> = packets
            .iter()
            .map(|bytes| packet::parse(bytes).unwrap())
            .collect();
        let mut packets = packets.iter().cycle();
        let mut out = Vec::new();
        criterion.bench_function(&format!("established path, {count} flows"), |bencher| {
            bencher.iter(|| agent.handle_packet(&header, packets.next().unwrap(), now, &mut out))
        });
    }
}

criterion_group!(benches, established_path);
criterion_main!(benches);

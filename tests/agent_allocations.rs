//! Handling a packet of an established flow must not allocate, because it runs for every packet.

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;
use std::time::Instant;

use flamingofall::packet;

#[path = "../benches/established/mod.rs"]
mod established;

/// An allocator that counts the allocations of each thread.
struct Counter;

thread_local! {
    static ALLOCATIONS: Cell<u64> = const { Cell::new(0) };
}

unsafe impl GlobalAlloc for Counter {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.set(ALLOCATIONS.get() + 1);
        System.alloc(layout)
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        System.dealloc(pointer, layout)
    }
}

#[global_allocator]
static COUNTER: Counter = Counter;

#[test]
fn established_path() {
    let (mut agent, header, packets) = established::agent_with_flows(1000, Instant::now());
    let packets: Vec<_> = packets
        .iter()
        .map(|bytes| packet::parse(bytes).unwrap())
        .collect();
    let mut out = Vec::new();
    let now = Instant::now();
    let before = ALLOCATIONS.get();
    for packet in &packets {
        agent.handle_packet(&header, packet, now, &mut out);
    }
    assert_eq!(ALLOCATIONS.get() - before, 0);
    // Checks the counter itself: a new flow allocates at least its decision record.
    let before = ALLOCATIONS.get();
    let bytes = established::tcp_packet(40_000, true);
    agent.handle_packet(&header, &packet::parse(&bytes).unwrap(), now, &mut out);
    assert!(ALLOCATIONS.get() > before);
}

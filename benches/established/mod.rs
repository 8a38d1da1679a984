//! Creates an agent with established flows, for a benchmark and a test of allocations.

use std::time::Instant;

use etherparse::PacketBuilder;
use flamingofall::agent::{Action, Agent, Output, SafetyMechanisms, Settings};
use flamingofall::encap::{Header, Key, HOP_LIMIT};
use flamingofall::id::{Generation, Incarnation};
use flamingofall::packet;
use flamingofall::server::Event;
use flamingofall::wire::{control, Body, Message};
use serde_json::json;

/// Returns a TCP packet of the flow with this number: a SYN, or an ACK without data.
pub fn tcp_packet(number: u32, syn: bool) -> Vec<u8> {
    let [_, high, middle, low] = number.to_be_bytes();
    let builder =
        PacketBuilder::ipv4([10, high, middle, low], [10, 9, 0, 1], 64).tcp(5000, 443, 1, 9);
    let builder = if syn { builder.syn() } else { builder.ack(7) };
    let mut bytes = Vec::new();
    builder.write(&mut bytes, &[]).unwrap();
    bytes
}

/// Returns an agent that owns the flows `0..count`, the encapsulation header of their packets, and
/// another packet of each flow, which the agent delivers.
pub fn agent_with_flows(count: u32, now: Instant) -> (Agent, Header, Vec<Vec<u8>>) {
    let settings = Settings {
        member: "m1".parse().unwrap(),
        domain: "north".parse().unwrap(),
        control: "10.1.0.1:1".parse().unwrap(),
        data: "10.1.0.1:2".parse().unwrap(),
        incarnation: Incarnation(1),
        key: Key::new([7; 16]),
        collectors: vec!["10.2.0.1:1".parse().unwrap()],
        mechanisms: SafetyMechanisms::default(),
    };
    let (mut agent, mut out) = (Agent::new(settings, 1, now), Vec::new());
    let announcement = json!({
        "service": "orders", "address": "10.1.0.1:80", "incarnation": 1,
        "slots": 4, "connections": 2 * count,
    });
    let event = Event::Announced(serde_json::from_value(announcement).unwrap());
    agent.handle_server_event(event, now, &mut out);
    let service = json!({
        "name": "orders", "organisation": "transcripts", "cold_start_ms": 0,
        "addresses": [{"protocol": "tcp", "address": "10.9.0.1:443"}],
    });
    let ack = control::HeartbeatAck {
        id: 1,
        generation: 1,
        service: service.to_string().into_bytes(),
        complete: true,
        ..Default::default()
    };
    let message = Message {
        body: Some(Body::HeartbeatAck(ack)),
    };
    agent.handle_message("10.2.0.1:1".parse().unwrap(), message, now, &mut out);
    let header = Header {
        service: "orders".parse::<flamingofall::id::Service>().unwrap().tag(),
        generation: Generation(1),
        hop_limit: HOP_LIMIT,
        assigned: false,
        fallback: None,
    };
    let mut deliver = |bytes: &[u8], out: &mut Vec<Output>| {
        let action = agent.handle_packet(&header, &packet::parse(bytes).unwrap(), now, out);
        assert_eq!(action, Action::Deliver);
    };
    for number in 0..count {
        deliver(&tcp_packet(number, true), &mut out);
        deliver(&tcp_packet(number, false), &mut out);
    }
    let packets = (0..count).map(|number| tcp_packet(number, false));
    (agent, header, packets.collect())
}

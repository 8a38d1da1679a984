//! Single decisions of an agent that is alone in its service.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use etherparse::PacketBuilder;
use flamingofall::agent::{Action, Agent, DropReason, Output, SafetyMechanisms, Settings};
use flamingofall::encap::{Header, Key, HOP_LIMIT};
use flamingofall::id::{Generation, Incarnation, ServiceTag};
use flamingofall::member::State;
use flamingofall::packet::{self, Packet};
use flamingofall::server::Event;
use flamingofall::wire::{control, Body, Message};
use serde_json::json;
use yare::parameterized;

const COLLECTOR: &str = "10.2.0.1:1";
const FALLBACK: &str = "10.3.0.1:1";

struct Fixture {
    agent: Agent,
    now: Instant,
    out: Vec<Output>,
}

fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

fn tag() -> ServiceTag {
    "orders".parse::<flamingofall::id::Service>().unwrap().tag()
}

fn header(generation: u64) -> Header {
    Header {
        service: tag(),
        generation: Generation(generation),
        hop_limit: HOP_LIMIT,
        assigned: false,
        fallback: None,
    }
}

fn udp(port: u16) -> Vec<u8> {
    let mut bytes = vec![];
    let ip = PacketBuilder::ipv4([192, 0, 2, 1], [10, 9, 0, 1], 64);
    ip.udp(port, 443).write(&mut bytes, b"order").unwrap();
    bytes
}

fn tcp(port: u16, syn: bool) -> Vec<u8> {
    let mut bytes = vec![];
    let ip = PacketBuilder::ipv4([192, 0, 2, 1], [10, 9, 0, 1], 64);
    let tcp = ip.tcp(port, 443, 1, 9);
    let tcp = if syn { tcp.syn() } else { tcp.ack(7) };
    tcp.write(&mut bytes, &[]).unwrap();
    bytes
}

impl Fixture {
    /// Creates an agent that has joined and is the only member of its service.
    fn new() -> Self {
        let settings = Settings {
            member: "m1".parse().unwrap(),
            domain: "north".parse().unwrap(),
            control: address("10.1.0.1:1"),
            data: address("10.1.0.1:2"),
            incarnation: Incarnation(1),
            key: Key::new([7; 16]),
            collectors: vec![address(COLLECTOR)],
            mechanisms: SafetyMechanisms::default(),
        };
        let now = Instant::now();
        let agent = Agent::new(settings, 1, now);
        let mut fixture = Self {
            agent,
            now,
            out: vec![],
        };
        fixture.announce(1);
        fixture.acknowledge(1);
        assert_eq!(fixture.agent.published_state(), State::Active);
        fixture
    }

    fn announce(&mut self, incarnation: u64) {
        let announcement = json!({
            "service": "orders", "address": "10.1.0.1:80", "incarnation": incarnation,
            "slots": 4, "connections": 100,
        });
        let event = Event::Announced(serde_json::from_value(announcement).unwrap());
        self.agent
            .handle_server_event(event, self.now, &mut self.out);
    }

    /// Answers the agent's last heartbeat as its collector.
    fn acknowledge(&mut self, generation: u64) {
        let heartbeat = self.out.iter().rev().find_map(|output| match output {
            Output::Send {
                message:
                    Message {
                        body: Some(Body::Heartbeat(heartbeat)),
                    },
                ..
            } => Some(heartbeat),
            _ => None,
        });
        let address = |protocol| json!({"protocol": protocol, "address": "10.9.0.1:443"});
        let service = json!({
            "name": "orders", "organisation": "transcripts", "cold_start_ms": 0,
            "addresses": [address("tcp"), address("udp")],
        });
        let ack = control::HeartbeatAck {
            id: heartbeat.unwrap().id,
            generation,
            service: service.to_string().into_bytes(),
            complete: true,
            ..Default::default()
        };
        self.message(COLLECTOR, Body::HeartbeatAck(ack));
    }

    fn message(&mut self, from: &str, body: Body) {
        let message = Message { body: Some(body) };
        self.out.clear();
        self.agent
            .handle_message(address(from), message, self.now, &mut self.out);
    }

    fn packet(&mut self, header: Header, bytes: &[u8]) -> Action {
        let packet: Packet<'_> = packet::parse(bytes).unwrap();
        self.out.clear();
        self.agent
            .handle_packet(&header, &packet, self.now, &mut self.out)
    }

    fn advance(&mut self, time: Duration) {
        self.now += time;
        self.out.clear();
        self.agent.tick(self.now, &mut self.out);
    }

    fn replies(&self) -> usize {
        let replies = self
            .out
            .iter()
            .filter(|output| matches!(output, Output::Reply(_)));
        replies.count()
    }
}

/// Guards against packets that reach the wrong service: the header names another service, or the
/// configuration doesn't map the address to this one. A newer generation alone changes neither, so
/// it must not delay a flow.
#[test]
fn address_checked() {
    let mut fixture = Fixture::new();
    let other = Header {
        service: ServiceTag(1),
        ..header(1)
    };
    assert_eq!(
        fixture.packet(other, &udp(1)),
        Action::Drop(DropReason::OtherService)
    );
    let mut elsewhere = udp(1);
    elsewhere[19] = 2;
    for generation in 0..3 {
        assert_eq!(
            fixture.packet(header(generation), &elsewhere),
            Action::Drop(DropReason::OtherAddress)
        );
    }
    assert_eq!(fixture.packet(header(1), &udp(1)), Action::Deliver);
    assert_eq!(fixture.packet(header(2), &udp(3)), Action::Deliver);
    fixture.advance(Duration::from_secs(1));
    fixture.acknowledge(2);
    assert_eq!(fixture.packet(header(2), &udp(2)), Action::Deliver);
    assert_eq!(fixture.packet(header(3), &udp(2)), Action::Deliver);
}

/// Guards against a connection that continues at a new run of the server, and against a datagram
/// request that runs again after the server has lost its record of it.
#[test]
fn server_restarts() {
    let mut fixture = Fixture::new();
    assert_eq!(fixture.packet(header(1), &tcp(1, true)), Action::Deliver);
    assert_eq!(fixture.packet(header(1), &tcp(1, false)), Action::Deliver);
    assert_eq!(fixture.packet(header(1), &udp(1)), Action::Deliver);
    fixture.announce(2);
    fixture.acknowledge(1);
    let gone = Action::Drop(DropReason::ServerGone);
    assert_eq!(
        (fixture.packet(header(1), &tcp(1, false)), fixture.replies()),
        (gone, 1)
    );
    assert_eq!(
        (fixture.packet(header(1), &udp(1)), fixture.replies()),
        (gone, 0)
    );
    assert_eq!(fixture.packet(header(1), &udp(2)), Action::Deliver);
}

/// Guards against decisions without a lease, and against established flows that break meanwhile.
#[parameterized(lapsed = { false }, resumed = { true })]
fn unleased_waits(noticed: bool) {
    let mut fixture = Fixture::new();
    for bytes in [tcp(1, true), tcp(1, false), tcp(2, true), udp(1)] {
        assert_eq!(fixture.packet(header(1), &bytes), Action::Deliver);
    }
    fixture.now += Duration::from_secs(if noticed { 1 } else { 2 });
    if noticed {
        fixture.agent.handle_resume(fixture.now);
    }
    let unleased = Action::Drop(DropReason::Unleased);
    assert_eq!(fixture.packet(header(1), &tcp(1, false)), Action::Deliver);
    assert_eq!(fixture.packet(header(1), &udp(1)), Action::Deliver);
    // Another member may have accepted a copy of this SYN.
    assert_eq!(fixture.packet(header(1), &tcp(2, false)), unleased);
    assert_eq!(fixture.packet(header(1), &tcp(3, true)), unleased);
    assert_eq!(fixture.packet(header(1), &udp(3)), unleased);
}

/// Guards against lost flows when the address of another service moves to this one: the former
/// service is asked for their owner.
#[test]
fn fallback_asked() {
    let mut fixture = Fixture::new();
    let moved = Header {
        fallback: Some(address(FALLBACK)),
        ..header(1)
    };
    assert_eq!(fixture.packet(moved, &tcp(1, false)), Action::Hold);
    let [Output::Send { to, message }] = &fixture.out[..] else {
        panic!("{:?}", fixture.out)
    };
    assert_eq!(*to, address(FALLBACK));
    let Some(Body::Lookup(lookup)) = &message.body else {
        panic!("{message:?}")
    };
    let owner = control::Record {
        member: "old".into(),
        state: control::State::Active.into(),
        domain: "north".into(),
        service: "statements".into(),
        control: Some(address(FALLBACK).into()),
        data: Some(address("10.3.0.1:2").into()),
        ..Default::default()
    };
    let mut answer = control::LookupAnswer {
        id: lookup.id,
        owner: Some(owner),
        ..Default::default()
    };
    answer.set_verdict(control::Verdict::Owned);
    fixture.message(FALLBACK, Body::LookupAnswer(answer));
    let forwards = |output: &Output| match output {
        Output::Forward { to, .. } => *to == address("10.3.0.1:2"),
        _ => false,
    };
    assert!(fixture.out.iter().any(forwards), "{:?}", fixture.out);
}

/// Guards against a flow of the former service that is given to the new one because no member knows
/// its owner.
#[test]
fn fallback_unknown() {
    let mut fixture = Fixture::new();
    let moved = Header {
        fallback: Some(address(FALLBACK)),
        ..header(1)
    };
    assert_eq!(fixture.packet(moved, &tcp(1, false)), Action::Hold);
    let Some(Output::Send {
        message: Message {
            body: Some(Body::Lookup(lookup)),
        },
        ..
    }) = fixture.out.first().cloned()
    else {
        panic!("{:?}", fixture.out)
    };
    let mut answer = control::LookupAnswer {
        id: lookup.id,
        ..Default::default()
    };
    answer.set_verdict(control::Verdict::Unknown);
    fixture.message(FALLBACK, Body::LookupAnswer(answer));
    let delivers = |output: &Output| matches!(output, Output::Deliver(_));
    assert_eq!(
        (fixture.out.iter().any(delivers), fixture.replies()),
        (false, 1)
    );
}

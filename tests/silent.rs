//! Records of silent flows expire while new flows are opened, without breaking flows that are idle
//! but alive.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use anyhow::{ensure, Result};
use etherparse::PacketBuilder;
use flamingofall::agent::{Action, Agent, Output, SafetyMechanisms, Settings};
use flamingofall::encap::{Header, Key, HOP_LIMIT};
use flamingofall::id::{Generation, Incarnation, Service};
use flamingofall::packet;
use flamingofall::server::Event;
use flamingofall::wire::{control, Body, Message};
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use serde_json::json;

const STEP: Duration = Duration::from_millis(500);
const HALF_OPEN_TIMEOUT: Duration = Duration::from_secs(60);
const ESTABLISHED_TIMEOUT: Duration = Duration::from_secs(4 * 3600);
/// Delay allowed for expiry, which runs once a second.
const SLACK: Duration = Duration::from_secs(2);

#[derive(Clone, Copy, PartialEq)]
enum Segment {
    Syn,
    Data,
}

struct Simulation {
    agent: Agent,
    now: Instant,
    out: Vec<Output>,
    resets: usize,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let settings = Settings {
            member: "m1".parse().unwrap(),
            domain: "north".parse().unwrap(),
            control: address("10.1.0.1:1"),
            data: address("10.1.0.1:2"),
            incarnation: Incarnation(1),
            key: Key::new([7; 16]),
            collectors: vec![address("10.2.0.1:1")],
            mechanisms: SafetyMechanisms::default(),
        };
        let mut simulation = Self {
            agent: Agent::new(settings, seed, now),
            now,
            out: vec![],
            resets: 0,
        };
        simulation.announce();
        simulation.run(STEP);
        simulation
    }

    fn announce(&mut self) {
        let announcement = json!({
            "service": "orders", "address": "10.1.0.1:80", "incarnation": 1,
            "slots": 4, "connections": 100_000,
        });
        let event = Event::Announced(serde_json::from_value(announcement).unwrap());
        self.agent
            .handle_server_event(event, self.now, &mut self.out);
        self.answer();
    }

    /// Answers the agent's heartbeats and counts the resets that it sends.
    fn answer(&mut self) {
        for output in std::mem::take(&mut self.out) {
            let heartbeat = match output {
                Output::Send {
                    message:
                        Message {
                            body: Some(Body::Heartbeat(heartbeat)),
                        },
                    ..
                } => heartbeat,
                Output::Reply(_) => {
                    self.resets += 1;
                    continue;
                }
                _ => continue,
            };
            let service = json!({
                "name": "orders", "organisation": "transcripts", "cold_start_ms": 0,
                "addresses": [{"protocol": "tcp", "address": "10.9.0.1:443"}],
            });
            let ack = control::HeartbeatAck {
                id: heartbeat.id,
                generation: 1,
                service: service.to_string().into_bytes(),
                complete: true,
                ..Default::default()
            };
            let message = Message {
                body: Some(Body::HeartbeatAck(ack)),
            };
            let from = address("10.2.0.1:1");
            self.agent
                .handle_message(from, message, self.now, &mut self.out);
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.announce();
            self.agent.tick(self.now, &mut self.out);
            self.answer();
        }
    }

    /// Sends a segment of the flow and returns whether the server receives it.
    fn delivers(&mut self, port: u16, segment: Segment) -> bool {
        let mut bytes = vec![];
        let ip = PacketBuilder::ipv4([192, 0, 2, 1], [10, 9, 0, 1], 64);
        let tcp = ip.tcp(port, 443, 1, 9);
        let tcp = match segment {
            Segment::Syn => tcp.syn(),
            Segment::Data => tcp.ack(7),
        };
        tcp.write(&mut bytes, &[]).unwrap();
        let header = Header {
            service: "orders".parse::<Service>().unwrap().tag(),
            generation: Generation(1),
            hop_limit: HOP_LIMIT,
            assigned: false,
            fallback: None,
        };
        let packet = packet::parse(&bytes).unwrap();
        let action = self
            .agent
            .handle_packet(&header, &packet, self.now, &mut self.out);
        let held = |output: &Output| matches!(output, Output::Deliver(_));
        let delivered = action == Action::Deliver || self.out.iter().any(held);
        self.answer();
        delivered
    }
}

fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

/// Opens flows: some stay half-open, some go silent after one segment, some are idle for almost an
/// hour between two segments, and new ones are opened all the time.
fn run_scenario(seed: u64, half_open_expire: bool) -> Result<()> {
    let mut simulation = Simulation::new(seed);
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut ports: Vec<u16> = (1000..1300).collect();
    ports.shuffle(&mut rng);
    for port in &ports {
        ensure!(
            simulation.delivers(*port, Segment::Syn),
            "{port} was not opened"
        );
    }
    let (half_open, rest) = ports.split_at(100);
    let (silent, live) = rest.split_at(100);
    for port in rest {
        ensure!(
            simulation.delivers(*port, Segment::Data),
            "{port} was not delivered after its SYN"
        );
    }
    if !half_open_expire {
        // A data segment makes the agent take these flows for established.
        for port in half_open {
            simulation.delivers(*port, Segment::Data);
        }
    }
    simulation.run(HALF_OPEN_TIMEOUT + SLACK);
    let known = simulation.agent.flow_count();
    ensure!(
        known == rest.len(),
        "{known} records after the half-open flows expired"
    );
    let start = simulation.now;
    let mut new = 2000;
    while simulation.now < start + ESTABLISHED_TIMEOUT {
        let pause = Duration::from_secs(rng.random_range(3000..3500));
        simulation.run(pause);
        for _ in 0..10 {
            new += 1;
            ensure!(
                simulation.delivers(new, Segment::Syn),
                "{new} was not opened"
            );
        }
        for port in live {
            ensure!(simulation.delivers(*port, Segment::Data), "{port} was lost");
        }
    }
    simulation.run(HALF_OPEN_TIMEOUT + SLACK);
    let known = simulation.agent.flow_count();
    ensure!(known == live.len(), "{known} records of {}", live.len());
    // Silent flows that turn out to be alive are adopted without a reset.
    for port in silent.iter().chain(half_open) {
        ensure!(
            simulation.delivers(*port, Segment::Data),
            "{port} was not delivered"
        );
    }
    ensure!(simulation.resets == 0, "{} resets", simulation.resets);
    Ok(())
}

/// Guards against flow records that accumulate, and against the reset of a connection that was only
/// idle.
#[test]
fn reclaimed() -> Result<()> {
    let seed = std::env::var("SEED").map_or(Ok(51), |seed| seed.parse())?;
    run_scenario(seed, true)
        .map_err(|error| error.context(format!("SEED={seed} cargo test --test silent reclaimed")))
}

/// Guards against a scenario that can't fail: it must fail if half-open flows don't expire early,
/// because the agent takes them for established.
#[test]
fn naive_fails() {
    assert!(run_scenario(51, false).is_err());
}

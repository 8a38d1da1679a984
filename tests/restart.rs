//! A restarted agent that learns of its earlier run from the collector.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use flamingofall::agent::{Agent, Output, SafetyMechanisms, Settings};
use flamingofall::config::{Address, Config, Service as Configured};
use flamingofall::control::{Control, Snapshot};
use flamingofall::encap::Key;
use flamingofall::id::{Digest, Generation, Incarnation, Sequence, Slots};
use flamingofall::member::Record;
use flamingofall::output;
use flamingofall::packet::{Flow, Protocol};
use flamingofall::server::Event;
use flamingofall::wire::{control, Body, Message};
use serde_json::json;

#[path = "driver/fixture.rs"]
#[allow(dead_code)]
mod fixture;

const AGENT: &str = "10.1.0.1:1";
const OTHER: &str = "10.1.0.2:1";

fn address(text: &str) -> SocketAddr {
    text.parse().unwrap()
}

/// A balancer whose configuration contains the service `ordering`, and its control address.
fn collector(now: Instant) -> (Control, SocketAddr) {
    let record = fixture::record(0, 0, 1);
    let at = record.control;
    let mut control = Control::new(record, vec![], 1, now);
    let service = Configured::new(
        "ordering".parse().unwrap(),
        "transcripts".parse().unwrap(),
        vec![Address {
            protocol: Protocol::Tcp,
            address: address("10.9.0.1:443"),
        }],
    );
    let mut config = Config::default();
    config.services.insert(service.name.clone(), service);
    let text = String::from_utf8(config.canonical_json()).unwrap();
    let snapshot = Snapshot {
        config: Some((Generation(1), Digest::of(text.as_bytes()), text)),
        ..Snapshot::default()
    };
    control.load_snapshot(snapshot, now, &mut vec![]);
    (control, at)
}

fn agent(run: u64, collector: SocketAddr, now: Instant) -> Agent {
    let settings = Settings {
        member: "m1".parse().unwrap(),
        domain: "d0".parse().unwrap(),
        control: address(AGENT),
        data: address("10.1.0.1:2"),
        incarnation: Incarnation(run),
        key: Key::new([7; 16]),
        collectors: vec![collector],
        mechanisms: SafetyMechanisms::default(),
    };
    let mut agent = Agent::new(settings, run, now);
    agent.handle_server_event(announcement(1), now, &mut vec![]);
    agent
}

fn announcement(server: u64) -> Event {
    let announcement = json!({
        "service": "ordering", "address": "10.1.0.1:80", "incarnation": server,
        "slots": 4, "connections": 100,
    });
    Event::Announced(serde_json::from_value(announcement).unwrap())
}

/// Runs the agent and the collector for two seconds. Every `lost`th answer of the collector is
/// lost; none with 0.
fn run(
    agent: &mut Agent,
    collector: &mut Control,
    at: SocketAddr,
    lost: usize,
    now: Instant,
) -> Instant {
    run_beside(agent, 1, collector, at, lost, now)
}

/// Like [`run`], with a certain run of the agent's server.
fn run_beside(
    agent: &mut Agent,
    server: u64,
    collector: &mut Control,
    at: SocketAddr,
    lost: usize,
    mut now: Instant,
) -> Instant {
    let mut answers = 0;
    for tick in 0..100 {
        now += Duration::from_millis(20);
        if tick % 50 == 0 {
            agent.handle_server_event(announcement(server), now, &mut vec![]);
        }
        let mut out = vec![];
        agent.tick(now, &mut out);
        for output in out {
            let Output::Send { message, .. } = output else {
                continue;
            };
            let mut answered = vec![];
            collector.handle_message(address(AGENT), message, now, &mut answered);
            for answer in answered {
                let output::Output::Send { message, .. } = answer else {
                    continue;
                };
                answers += 1;
                if lost == 0 || answers % lost != 0 {
                    agent.handle_message(at, message, now, &mut vec![]);
                }
            }
        }
    }
    now
}

/// Returns the agent's answer to a lookup of a flow that it doesn't know.
fn look_up(agent: &mut Agent, now: Instant) -> control::LookupAnswer {
    let flow = Flow {
        protocol: Protocol::Tcp,
        source: address("192.0.2.1:5000"),
        destination: address("10.9.0.1:443"),
    };
    let lookup = control::Lookup {
        id: 7,
        service: "ordering".into(),
        flow: Some((&flow).into()),
    };
    let message = Message {
        body: Some(Body::Lookup(lookup)),
    };
    let mut out = vec![];
    agent.handle_message(address(OTHER), message, now, &mut out);
    let answer = out.into_iter().find_map(|output| match output {
        Output::Send {
            message: Message {
                body: Some(Body::LookupAnswer(answer)),
            },
            ..
        } => Some(answer),
        _ => None,
    });
    answer.expect("the lookup is answered")
}

/// Adds or renews a member with the highest weight, so that the agent is not the arbiter of the
/// flow.
fn heavy_member(sequence: u64, now: Instant, collector: &mut Control) {
    let record = Record {
        sequence: Sequence(sequence),
        slots: Slots(1_000_000),
        ..fixture::record(0, 40, 1)
    };
    let rumour = control::Rumour {
        records: vec![(&record).into()],
        offer: None,
    };
    let message = Message {
        body: Some(Body::Rumour(rumour)),
    };
    collector.handle_message(address("10.2.0.9:1"), message, now, &mut vec![]);
}

/// Guards against flows that another member adopts because their restarted owner takes its flow
/// table for complete. The collector merges the record of the new run before it answers the
/// heartbeat, so the answer contained nothing about the earlier run.
#[test]
fn earlier_run_known() {
    for lost in [0, 2] {
        let now = Instant::now();
        let (mut collector, at) = collector(now);
        heavy_member(1, now, &mut collector);
        let mut first = agent(1, at, now);
        let now = run(&mut first, &mut collector, at, 0, now);
        let answer = look_up(&mut first, now);
        assert_eq!(answer.verdict(), control::Verdict::Unknown);
        assert_eq!(answer.owner, None, "a first run has lost nothing");

        let mut second = agent(2, at, now);
        // The recovery from the other member, which never answers, takes up to 3 s.
        let mut now = now;
        for sequence in 2..5 {
            heavy_member(sequence, now, &mut collector);
            now = run(&mut second, &mut collector, at, lost, now);
        }
        let answer = look_up(&mut second, now);
        assert_eq!(answer.verdict(), control::Verdict::Unknown);
        let owner = answer.owner.map(|owner| owner.member);
        assert_eq!(owner.as_deref(), Some("m1"), "lost answers: {lost}");
    }
}

/// Returns the agent's verdict on another member's claim of a new datagram flow.
fn claim(agent: &mut Agent, now: Instant) -> control::Verdict {
    let flow = Flow {
        protocol: Protocol::Udp,
        source: address("192.0.2.1:5000"),
        destination: address("10.9.0.1:443"),
    };
    let claimant = fixture::record(0, 41, 1);
    let claim = control::Claim {
        id: 9,
        service: "ordering".into(),
        flow: Some((&flow).into()),
        claimant: Some(Box::new((&claimant).into())),
        generation: 1,
    };
    let message = Message {
        body: Some(Body::Claim(claim)),
    };
    let mut out = vec![];
    agent.handle_message(address(OTHER), message, now, &mut out);
    let answer = out.into_iter().find_map(|output| match output {
        Output::Send {
            message: Message {
                body: Some(Body::ClaimAnswer(answer)),
            },
            ..
        } => Some(answer.verdict()),
        _ => None,
    });
    answer.expect("the claim is answered")
}

/// Guards against a restarted agent that blocks the datagrams of its service for the duplicate
/// window although the server that may have run them is still there, and against a request that
/// runs again at a new run of the server.
#[test]
fn same_server() {
    for (server, expected) in [
        (1, control::Verdict::Reserved),
        (2, control::Verdict::NotReady),
    ] {
        let now = Instant::now();
        let (mut collector, at) = collector(now);
        let mut first = agent(1, at, now);
        let now = run(&mut first, &mut collector, at, 0, now);
        assert_eq!(claim(&mut first, now), control::Verdict::Granted);

        let mut second = agent(2, at, now);
        second.handle_server_event(announcement(server), now, &mut vec![]);
        let now = run_beside(&mut second, server, &mut collector, at, 0, now);
        assert_eq!(claim(&mut second, now), expected, "server {server}");
    }
}

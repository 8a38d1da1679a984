//! Seeded random and mutated input for every decoder of the control plane, which must not panic and
//! must keep its answers and its memory within bounds.

mod driver;

use std::collections::HashSet;
use std::time::{Duration, Instant};

use driver::{check_seeds, record, Driver};
use flamingofall::catalog::apply_delta;
use flamingofall::config::Config;
use flamingofall::control::Control;
use flamingofall::id::Incarnation;
use flamingofall::member::RECORDS_MAX;
use flamingofall::store::{
    event_from_json, list_from_json, Collection, Key, Object, Value, Version,
};
use flamingofall::wire::{control, Frame, Key as Secret, Message, Opener, Sealer};
use prost::Message as _;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Kinds of control messages: heartbeats, their answers and reports, rumours, four kinds for
/// anti-entropy and two for a transfer.
const KINDS: usize = 10;
const ROUNDS: usize = 4_000;
/// Maximum number of messages in reaction to one: a full window of configuration parts, or the
/// records of a domain.
const ANSWERS_MAX: usize = 200;

/// Returns a sample of all kinds of messages between balancers and agents.
fn corpus() -> Vec<Message> {
    let mut driver = Driver::new(1, 2, 3, 3);
    driver.message_sample_max = 5_000;
    driver.run(Duration::from_secs(5));
    driver.apply(&Config::default(), 1);
    driver.kill(record(1, 32, 1).control);
    driver.partitioned_domains.insert(1);
    driver.run(Duration::from_secs(6));
    driver.partitioned_domains.clear();
    driver.run(Duration::from_secs(10));
    let sample = std::mem::take(&mut driver.message_sample);
    let kinds = sample.iter().filter_map(|message| message.body.as_ref());
    let kinds: HashSet<_> = kinds.map(std::mem::discriminant).collect();
    assert_eq!(kinds.len(), KINDS);
    sample
}

fn mutate(bytes: &mut Vec<u8>, other: &[u8], random: &mut SmallRng) {
    for _ in 0..random.random_range(1..4) {
        let at = random.random_range(0..=bytes.len());
        // Mostly bit flips, because the message then often still decodes.
        match random.random_range(0..16) {
            0 => bytes.truncate(at),
            1 => bytes.insert(at, random.random()),
            2 => bytes.extend_from_slice(&other[..at.min(other.len())]),
            3 => bytes.splice(at.., [255; 9]).for_each(drop),
            _ if at < bytes.len() => bytes[at] ^= 1 << random.random_range(0..8),
            _ => {}
        }
    }
}

/// Guards against a panic on malformed or forged frames from the network, and against accepting
/// random bytes.
#[test]
fn frames() {
    let (key, corpus) = (Secret::new(b"secret"), corpus());
    check_seeds("fuzz::frames", 2, |seed| {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut opener = Opener::with_senders(key.clone(), 16);
        let mut sealer = Sealer::new(key.clone(), "b1".parse().unwrap(), Incarnation(1));
        for _ in 0..ROUNDS / 2 {
            let mut bytes = sealer
                .seal(corpus.choose(&mut random).unwrap().clone())
                .unwrap();
            mutate(&mut bytes, &[7; 1500], &mut random);
            let _ = opener.open(&bytes);
            let noise: Vec<u8> = (0..random.random_range(0..64))
                .map(|_| random.random())
                .collect();
            if Frame::open(&noise, &key).is_ok() {
                return Err(format!("accepted {noise:?}"));
            }
        }
        Ok(())
    });
}

/// Guards against messages of a faulty but authenticated process that make a balancer panic, send
/// without bound or fill its memory.
#[test]
fn messages() {
    let corpus: Vec<Vec<u8>> = corpus().iter().map(Message::encode_to_vec).collect();
    check_seeds("fuzz::messages", 3, |seed| {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut now = Instant::now();
        let mut core = Control::new(record(0, 0, 1), Vec::new(), seed, now);
        let from = record(0, 1, 1).control;
        let mut decoded = 0;
        for _ in 0..ROUNDS {
            let mut bytes = corpus.choose(&mut random).unwrap().clone();
            let other = corpus.choose(&mut random).unwrap();
            if random.random_bool(0.9) {
                mutate(&mut bytes, other, &mut random);
            }
            let mut out = Vec::new();
            if let Ok(message) = Message::decode(bytes.as_slice()) {
                decoded += 1;
                core.handle_message(from, message, now, &mut out);
            }
            if random.random_bool(0.1) {
                now += Duration::from_millis(random.random_range(0..3_000));
                core.tick(now, &mut out);
            }
            if out.len() > ANSWERS_MAX {
                return Err(format!("{} answers to {bytes:?}", out.len()));
            }
        }
        let records = core.view().table.len();
        match (decoded > ROUNDS / 4, records < RECORDS_MAX) {
            (true, true) => Ok(()),
            other => Err(format!("{other:?}: {decoded} decoded, {records} records")),
        }
    });
}

/// Guards against a panic on malformed store objects or configuration deltas.
#[test]
fn texts() {
    let object = Object {
        key: Key::Domain("d1".parse().unwrap()),
        version: Version("7".into()),
        value: Value::Domain(vec![record(1, 1, 1), record(1, 40, 1)]),
    };
    let json = object.to_json().to_string();
    let list = format!(r#"{{"metadata":{{"resourceVersion":"9"}},"items":[{json}]}}"#);
    let event = format!(r#"{{"type":"ADDED","object":{json}}}"#);
    check_seeds("fuzz::texts", 2, |seed| {
        let mut random = SmallRng::seed_from_u64(seed);
        for _ in 0..ROUNDS {
            for text in [&json, &list, &event] {
                let mut bytes = text.clone().into_bytes();
                mutate(&mut bytes, br#""x":null,"spec":{}"#, &mut random);
                let Ok(value) = serde_json::from_slice(&bytes) else {
                    continue;
                };
                for collection in [Collection::Domains, Collection::Configs, Collection::Heads] {
                    let _ = Object::from_json(collection, &value);
                    let _ = list_from_json(collection, &value);
                    let _ = event_from_json(collection, &value);
                }
            }
            let mut bytes = br#"{"services":{}}"#.to_vec();
            mutate(&mut bytes, json.as_bytes(), &mut random);
            let delta = control::Delta {
                changed: vec![bytes.clone()],
                removed: vec![String::from_utf8_lossy(&bytes).into_owned()],
                rest: bytes,
            };
            let _ = apply_delta(None, &delta);
        }
        Ok(())
    });
}

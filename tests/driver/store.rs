//! In-memory store that simulates stale reads, lost answers, outages and restores.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Instant;

use flamingofall::catalog::Offer;
use flamingofall::store::{
    Answer, Call, Collection, Error, Head, Key, Object, Operation, Outcome, Value, Version,
};
use rand::rngs::SmallRng;
use rand::Rng;

/// Version and value of each object.
pub type Objects = BTreeMap<Key, (u64, Value)>;

/// A store with optional faults, which are all off by default.
#[derive(Clone)]
pub struct SimulatedStore {
    /// Whether calls reach the store. The caller of [`Self::call`] checks this.
    pub available: bool,
    pub objects: Objects,
    /// Version of the last write, or 1 before the first one.
    pub version: u64,
    /// Number of calls that reached the store.
    pub call_count: u64,
    /// Probability that a get or list returns the objects of a random earlier state.
    pub stale_read_probability: f64,
    /// Probability that the answer to a write is lost. Half of these writes take effect.
    pub lost_answer_probability: f64,
    /// Reports success instead of [`Error::Lost`] to the writer whose answer is lost.
    pub lost_answer_is_success: bool,
    /// Accepts updates of outdated versions, so that the last writer wins.
    pub unconditional_updates: bool,
    /// Objects before each write and restore.
    earlier_states: Vec<Objects>,
    /// Receiver, call id and collection of each open watch.
    watches: Vec<(SocketAddr, u64, Collection)>,
}

impl Default for SimulatedStore {
    fn default() -> Self {
        Self {
            available: true,
            objects: Objects::new(),
            version: 1,
            call_count: 0,
            stale_read_probability: 0.0,
            lost_answer_probability: 0.0,
            lost_answer_is_success: false,
            unconditional_updates: false,
            earlier_states: vec![Objects::new()],
            watches: Vec::new(),
        }
    }
}

impl SimulatedStore {
    /// Executes a call. Returns its answer and those of the watches that it notifies, with their
    /// receivers.
    pub fn call(
        &mut self,
        from: SocketAddr,
        call: Call,
        _now: Instant,
        random: &mut SmallRng,
    ) -> Vec<(SocketAddr, Answer)> {
        self.call_count += 1;
        let id = call.id;
        let stale = random.random_bool(self.stale_read_probability);
        let objects = match stale {
            true => &self.earlier_states[random.random_range(0..self.earlier_states.len())],
            false => &self.objects,
        };
        let result = match call.operation {
            Operation::Get(key) => match objects.get(&key) {
                Some(object) => Ok(Outcome::Object(stored_object(&key, object))),
                None => Err(Error::NotFound),
            },
            Operation::List(collection) => Ok(Outcome::List {
                objects: objects
                    .iter()
                    .filter(|(key, _)| key.collection() == collection)
                    .map(|(key, object)| stored_object(key, object))
                    .collect(),
                version: Version(self.version.to_string()),
            }),
            Operation::Watch { collection, .. } => {
                self.watches.push((from, id, collection));
                return Vec::new();
            }
            Operation::Create(key, value) => match self.objects.contains_key(&key) {
                true => Err(Error::Exists),
                false => return self.write(from, id, key, value, random),
            },
            Operation::Update(key, value, version) => match self.objects.get(&key) {
                None => Err(Error::NotFound),
                Some((known, _))
                    if known.to_string() != version.0 && !self.unconditional_updates =>
                {
                    Err(Error::Conflict)
                }
                Some(_) => return self.write(from, id, key, value, random),
            },
            // The balancers make none of these calls.
            Operation::Renew(..) | Operation::Delete(..) | Operation::ListNames(_) => {
                Err(Error::Invalid)
            }
        };
        vec![(from, Answer { id, result })]
    }

    /// Writes an object without a version check and without faults. Returns the answers to the
    /// watches of its collection.
    pub fn put(&mut self, key: Key, value: Value) -> Vec<(SocketAddr, Answer)> {
        self.version += 1;
        self.earlier_states.push(self.objects.clone());
        self.objects.insert(key.clone(), (self.version, value));
        let object = stored_object(&key, &self.objects[&key]);
        let watching = self.watches.iter();
        watching
            .filter(|(_, _, collection)| *collection == key.collection())
            .map(|(to, id, _)| {
                let result = Ok(Outcome::Changed(object.clone()));
                (*to, Answer { id: *id, result })
            })
            .collect()
    }

    /// Writes a configuration and the head that names it.
    pub fn apply_config(&mut self, offer: Offer, text: String) -> Vec<(SocketAddr, Answer)> {
        self.put(Key::Config(offer.digest), Value::Config(text));
        let head = Head {
            generation: offer.generation,
            digest: offer.digest,
            previous: None,
            author: "test".into(),
            apply_id: 1,
            recent: Vec::new(),
        };
        self.put(Key::Head, Value::Head(head))
    }

    /// Replaces all objects, as the restore of a backup does. Ends all watches without notice to
    /// their callers.
    pub fn restore(&mut self, objects: Objects) {
        self.earlier_states
            .push(std::mem::replace(&mut self.objects, objects));
        self.watches.clear();
    }

    /// Writes an object for a caller whose version check passed. Its answer may be lost.
    fn write(
        &mut self,
        from: SocketAddr,
        id: u64,
        key: Key,
        value: Value,
        random: &mut SmallRng,
    ) -> Vec<(SocketAddr, Answer)> {
        let lost = random.random_bool(self.lost_answer_probability);
        if lost && random.random_bool(0.5) {
            let object = stored_object(&key, &(self.version, value));
            return vec![(from, self.lost_answer(id, object))];
        }
        let mut answers = self.put(key.clone(), value);
        let object = stored_object(&key, &self.objects[&key]);
        let answer = match lost {
            true => self.lost_answer(id, object),
            false => Answer {
                id,
                result: Ok(Outcome::Object(object)),
            },
        };
        answers.push((from, answer));
        answers
    }

    /// Returns what the writer sees when the answer to its write is lost.
    fn lost_answer(&self, id: u64, object: Object) -> Answer {
        let result = match self.lost_answer_is_success {
            true => Ok(Outcome::Object(object)),
            false => Err(Error::Lost),
        };
        Answer { id, result }
    }
}

/// Returns the offer that the head in an answer names, if the answer contains a head.
pub fn offer_in_head(answer: &Answer) -> Option<Offer> {
    let object = match answer.result.as_ref().ok()? {
        Outcome::Object(object) | Outcome::Changed(object) => object,
        Outcome::List { objects, .. } => objects.first()?,
        _ => return None,
    };
    match &object.value {
        Value::Head(head) => Some(Offer {
            generation: head.generation,
            digest: head.digest,
        }),
        _ => None,
    }
}

fn stored_object(key: &Key, (version, value): &(u64, Value)) -> Object {
    Object {
        key: key.clone(),
        version: Version(version.to_string()),
        value: value.clone(),
    }
}

//! The platform's metadata store (PROTOCOL.md, "The platform's metadata store"). Each process has a
//! listener of its own, so that the store can treat machines differently.

use std::collections::BTreeMap;
use std::io::{BufReader, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Call};
use crate::json;

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: String,
}

#[derive(Default)]
struct State {
    objects: BTreeMap<(String, String), Object>,
    revision: u64,
    /// Revision, kind and text of each event.
    events: Vec<(u64, String, String)>,
    /// Machines that get no answers at the moment.
    silent: Vec<usize>,
    /// What the store did, for the record.
    notes: Vec<String>,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

fn object_text(name: &str, object: &Object) -> String {
    format!(
        "{{\"meta\":{{\"name\":\"{name}\",\"revision\":{},\"created\":0,\"finalizers\":[],\
         \"deleting\":false}},\"spec\":{},\"status\":{{}}}}",
        object.revision, object.spec
    )
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: &str) {
        let key = (kind.to_owned(), name.to_owned());
        if self.objects.get(&key).is_some_and(|o| o.spec == spec) {
            return;
        }
        self.revision += 1;
        let object = Object {
            revision: self.revision,
            spec: spec.to_owned(),
        };
        let text = object_text(name, &object);
        let event = format!("{{\"object\":{text},\"deleted\":false}}");
        self.objects.insert(key, object);
        self.events.push((self.revision, kind.to_owned(), event));
    }

    fn handle(&mut self, call: &Call) -> (u16, String) {
        let rest = call.path.strip_prefix("/flamingofall/objects/");
        let Some(rest) = rest else {
            return (404, "null".into());
        };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let meta = json::field(&call.body, "meta").unwrap_or("{}");
        let name = match call.method.as_str() {
            "POST" => json::string(json::field(meta, "name").unwrap_or("")),
            _ => name,
        };
        let expected = match call.method.as_str() {
            "DELETE" => call.query("revision"),
            _ => json::field(meta, "revision"),
        };
        let expected: Option<u64> = expected.and_then(|text| text.parse().ok());
        let held = self.objects.get(&(kind.to_owned(), name.to_owned()));
        match (call.method.as_str(), held) {
            ("GET", _) if name.is_empty() => {
                let of_kind = self.objects.iter().filter(|((k, _), _)| k == kind);
                let items: Vec<_> = of_kind.map(|((_, n), o)| object_text(n, o)).collect();
                let (items, at) = (items.join(","), self.revision);
                let text = format!("{{\"items\":[{items}],\"has_more\":false,\"at\":{at}}}");
                (200, text)
            }
            ("POST", Some(held)) => (409, object_text(name, held)),
            (_, Some(held)) if expected.is_some_and(|e| e != held.revision) => {
                (409, object_text(name, held))
            }
            ("GET", Some(held)) => (200, object_text(name, held)),
            ("POST", None) | ("PUT", Some(_)) => {
                let spec = json::field(&call.body, "spec").unwrap_or("null").to_owned();
                self.put(kind, name, &spec);
                let key = (kind.to_owned(), name.to_owned());
                (200, object_text(name, &self.objects[&key]))
            }
            ("DELETE", Some(held)) => {
                let text = object_text(name, held);
                self.revision += 1;
                let event = format!("{{\"object\":{text},\"deleted\":true}}");
                self.events.push((self.revision, kind.to_owned(), event));
                self.objects.remove(&(kind.to_owned(), name.to_owned()));
                (200, "null".into())
            }
            _ => (404, "null".into()),
        }
    }
}

impl Store {
    /// Serves the machine with this number at `at`.
    pub fn serve(&self, at: SocketAddr, machine: usize) -> std::io::Result<()> {
        let listener = TcpListener::bind(at)?;
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || store.connection(stream, machine));
            }
        });
        Ok(())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.0 .0.lock().expect("the store's state")
    }

    /// The operator writes; the store's answer is the acknowledgement.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.lock().put(kind, name, spec);
        self.0 .1.notify_all();
    }

    /// Sets whether the store answers a machine.
    pub fn set_silent(&self, machine: usize, silent: bool) {
        let mut state = self.lock();
        state.silent.retain(|m| *m != machine);
        if silent {
            state.silent.push(machine);
        }
    }

    pub fn take_notes(&self) -> Vec<String> {
        std::mem::take(&mut self.lock().notes)
    }

    fn connection(&self, stream: TcpStream, machine: usize) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some(call) = http::read_call(&mut reader) {
            let silent = |store: &Store| store.lock().silent.contains(&machine);
            // A call that arrives while the store is silent isn't executed; an answer that is due
            // then is lost. In both cases the connection returns nothing further.
            let answer = (!silent(self)).then(|| self.answer(&call));
            let Some((status, body)) = answer.filter(|_| !silent(self)) else {
                let target = call.query("watch").map_or("call", |_| "watch");
                let note = format!("store: no answer to a {target} of machine {machine}");
                self.lock().notes.push(note);
                let _ = std::io::copy(&mut reader.by_ref(), &mut std::io::sink());
                return;
            };
            if http::write_answer(&mut writer, status, &body).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Call) -> (u16, String) {
        let Some(from) = call.query("watch").and_then(|v| v.parse::<u64>().ok()) else {
            let answer = self.lock().handle(call);
            self.0 .1.notify_all();
            return answer;
        };
        let kind = call.path.strip_prefix("/flamingofall/objects/");
        let kind = kind.unwrap_or("").to_owned();
        let wait = call.query("wait_ms").and_then(|v| v.parse().ok());
        let until = Instant::now() + Duration::from_millis(wait.unwrap_or(0).min(30_000));
        let mut state = self.lock();
        loop {
            let new = |e: &&(u64, String, String)| e.0 > from && e.1 == kind;
            let events: Vec<_> = state.events.iter().filter(new).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= until {
                let texts: Vec<_> = events.iter().map(|e| e.2.as_str()).collect();
                let (texts, at) = (texts.join(","), state.revision);
                return (200, format!("{{\"events\":[{texts}],\"at\":{at}}}"));
            }
            state = self
                .0
                 .1
                .wait_timeout(state, until - now)
                .expect("the state")
                .0;
        }
    }
}

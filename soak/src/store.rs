//! An in-memory HTTP stand-in for the platform's object store that can be made to fail.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use anyhow::Result;
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use strum::Display;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Header of each response with the number of restores.
const ERA_HEADER: &str = "Store-Era";
const OBJECTS_PATH: &str = "/flamingofall/objects/";
/// Longest time for which a watch waits for events.
const WATCH_WAIT_MAX: Duration = Duration::from_secs(30);
/// Delay of each call in [`Mode::Slow`].
const SLOW_CALL_DELAY: Duration = Duration::from_millis(200);
/// Number of change events kept for watches.
const HISTORY_EVENTS_MAX: usize = 2000;

/// Behaviour of the store. Log lines show the names of the variants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Mode {
    /// Calls are executed and answered.
    #[default]
    Up,
    /// Calls fail with status 503.
    Refusing,
    /// Calls fail with status 429.
    Busy,
    /// Calls are neither executed nor answered.
    Silent,
    /// Calls are executed after a delay.
    Slow,
    /// Calls are executed but never answered.
    Deaf,
}

#[derive(Clone)]
struct Entry {
    revision: u64,
    spec: Value,
}

/// Objects by kind and name.
type Kinds = BTreeMap<String, BTreeMap<String, Entry>>;

/// The objects of a store at a moment, and its revision.
#[derive(Clone, Default)]
pub struct Backup {
    kinds: Kinds,
    revision: u64,
}

#[derive(Default)]
struct State {
    kinds: Kinds,
    /// Number of restores.
    era: u64,
    revision: u64,
    /// Revision, kind and event of each change, oldest first.
    history: Vec<(u64, String, Value)>,
    /// Last revision whose event was discarded; a watch from an earlier revision fails.
    discarded_revision: u64,
    calls: u64,
    mode: Mode,
}

/// A handle of the store; clones share its objects.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    revision_changes: watch::Sender<u64>,
}

impl Store {
    /// Starts an empty store that listens at `address`.
    pub async fn start(address: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let store = Self {
            state: Arc::default(),
            revision_changes: watch::channel(0).0,
        };
        let server_store = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = server_store.clone();
                tokio::spawn(async move {
                    let service = service_fn(move |request| store.clone().handle_request(request));
                    let builder = hyper::server::conn::http1::Builder::new();
                    // An error ends only this connection.
                    let _ = builder
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        });
        Ok(store)
    }

    /// Sets the behaviour of calls that arrive from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.lock().mode = mode;
    }

    /// Returns the number of calls received, answered or not.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Discards all change events; a watch from an earlier revision fails with status 410.
    pub fn discard_history(&self) {
        let mut state = self.lock();
        state.discarded_revision = state.revision;
        state.history.clear();
    }

    /// Creates or replaces an object as an operator does, whatever its revision and the mode.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        let mut state = self.lock();
        state.write(kind, name, spec);
        self.revision_changes.send_replace(state.revision);
    }

    /// Copies all objects.
    pub fn backup(&self) -> Backup {
        let state = self.lock();
        Backup {
            kinds: state.kinds.clone(),
            revision: state.revision,
        }
    }

    /// Returns to a backup, as a store does that was lost. What was written since is gone, and its
    /// revisions are given out again. The era rises. Watches from later revisions fail with status
    /// 410.
    pub fn restore(&self, backup: &Backup) {
        let mut state = self.lock();
        state.kinds = backup.kinds.clone();
        state.revision = backup.revision;
        state
            .history
            .retain(|(revision, ..)| *revision <= backup.revision);
        state.discarded_revision = state.discarded_revision.min(backup.revision);
        state.era += 1;
        self.revision_changes.send_replace(state.revision);
    }

    /// Content of an object, whatever the mode.
    pub fn object(&self, kind: &str, name: &str) -> Option<Value> {
        let state = self.lock();
        state.entry(kind, name).map(|entry| entry.spec.clone())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    async fn handle_request(self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>> {
        let mode = {
            let mut state = self.lock();
            state.calls += 1;
            state.mode
        };
        match mode {
            Mode::Silent => std::future::pending::<()>().await,
            Mode::Slow => tokio::time::sleep(SLOW_CALL_DELAY).await,
            Mode::Refusing => return self.respond(StatusCode::SERVICE_UNAVAILABLE, &Value::Null),
            Mode::Busy => return self.respond(StatusCode::TOO_MANY_REQUESTS, &Value::Null),
            Mode::Up | Mode::Deaf => {}
        }
        let method = request.method().clone();
        let uri = request.uri().clone();
        let body = request.into_body().collect().await?.to_bytes();
        let path = uri.path().strip_prefix(OBJECTS_PATH).unwrap_or_default();
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let query = |key: &str| {
            let pairs = uri.query().unwrap_or_default().split('&');
            let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
            pairs.find(|(k, _)| *k == key).map(|(_, v)| v.to_owned())
        };
        let (status, value) = match (method, query("watch")) {
            (Method::GET, Some(from)) => {
                let wait = query("wait_ms").and_then(|wait| wait.parse().ok());
                let wait = Duration::from_millis(wait.unwrap_or(0)).min(WATCH_WAIT_MAX);
                self.watch(kind, from.parse()?, wait).await
            }
            (Method::GET, None) if name.is_empty() => self.lock().list(kind),
            (Method::GET, None) => self.lock().get(kind, name),
            (Method::DELETE, _) => {
                let revision = query("revision").and_then(|revision| revision.parse().ok());
                self.lock().remove(kind, name, revision)
            }
            (method, _) => {
                let body: Value = serde_json::from_slice(&body)?;
                self.lock().create_or_update(&method, kind, name, &body)
            }
        };
        self.revision_changes.send_replace(self.lock().revision);
        if mode == Mode::Deaf {
            std::future::pending::<()>().await;
        }
        self.respond(status, &value)
    }

    fn respond(&self, status: StatusCode, value: &Value) -> Result<Response<Full<Bytes>>> {
        let body = Full::new(Bytes::from(value.to_string()));
        let era = self.lock().era;
        Ok(Response::builder()
            .status(status)
            .header(ERA_HEADER, era)
            .body(body)?)
    }

    async fn watch(&self, kind: &str, since_revision: u64, wait: Duration) -> (StatusCode, Value) {
        let mut revision_changes = self.revision_changes.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            {
                let state = self.lock();
                let unknown = since_revision > state.revision;
                if unknown || since_revision < state.discarded_revision {
                    return (StatusCode::GONE, Value::Null);
                }
                let events: Vec<_> = state
                    .history
                    .iter()
                    .filter(|(revision, of, _)| *revision > since_revision && of == kind)
                    .map(|(_, _, event)| event.clone())
                    .collect();
                if !events.is_empty() || tokio::time::Instant::now() >= deadline {
                    let changes = json!({"events": events, "at": state.revision});
                    return (StatusCode::OK, changes);
                }
            }
            // A timeout is handled by the next iteration, and the sender lives as long as the store.
            let _ = tokio::time::timeout_at(deadline, revision_changes.changed()).await;
        }
    }
}

impl State {
    fn list(&self, kind: &str) -> (StatusCode, Value) {
        let entries = self.kinds.get(kind).into_iter().flatten();
        let items: Vec<_> = entries
            .map(|(name, entry)| object_json(name, entry))
            .collect();
        let page = json!({"items": items, "has_more": false, "at": self.revision});
        (StatusCode::OK, page)
    }

    fn entry(&self, kind: &str, name: &str) -> Option<&Entry> {
        self.kinds.get(kind)?.get(name)
    }

    fn get(&self, kind: &str, name: &str) -> (StatusCode, Value) {
        match self.entry(kind, name) {
            Some(entry) => (StatusCode::OK, object_json(name, entry)),
            None => (StatusCode::NOT_FOUND, Value::Null),
        }
    }

    fn create_or_update(
        &mut self,
        method: &Method,
        kind: &str,
        name: &str,
        body: &Value,
    ) -> (StatusCode, Value) {
        let creates = *method == Method::POST;
        let name = match creates {
            true => body["meta"]["name"].as_str().unwrap_or_default(),
            false => name,
        };
        let expected = body["meta"]["revision"].as_u64();
        match self.entry(kind, name) {
            Some(entry)
                if creates || expected.is_some_and(|revision| revision != entry.revision) =>
            {
                (StatusCode::CONFLICT, object_json(name, entry))
            }
            None if !creates => (StatusCode::NOT_FOUND, Value::Null),
            _ => {
                self.write(kind, name, body["spec"].clone());
                self.get(kind, name)
            }
        }
    }

    fn remove(&mut self, kind: &str, name: &str, expected: Option<u64>) -> (StatusCode, Value) {
        match self.entry(kind, name) {
            None => (StatusCode::NOT_FOUND, Value::Null),
            Some(entry) if expected.is_some_and(|revision| revision != entry.revision) => {
                (StatusCode::CONFLICT, object_json(name, entry))
            }
            Some(entry) => {
                let event = json!({"object": object_json(name, entry), "deleted": true});
                if let Some(kind) = self.kinds.get_mut(kind) {
                    kind.remove(name);
                }
                self.record_event(kind, event);
                (StatusCode::OK, Value::Null)
            }
        }
    }

    fn write(&mut self, kind: &str, name: &str, spec: Value) {
        if self
            .entry(kind, name)
            .is_some_and(|entry| entry.spec == spec)
        {
            return;
        }
        let revision = self.revision + 1;
        let entry = Entry { revision, spec };
        let event = json!({"object": object_json(name, &entry), "deleted": false});
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        objects.insert(name.to_owned(), entry);
        self.record_event(kind, event);
    }

    fn record_event(&mut self, kind: &str, event: Value) {
        self.revision += 1;
        self.history.push((self.revision, kind.to_owned(), event));
        if self.history.len() > HISTORY_EVENTS_MAX {
            let (revision, ..) = self.history.remove(0);
            self.discarded_revision = revision;
        }
    }
}

fn object_json(name: &str, entry: &Entry) -> Value {
    json!({"meta": {"name": name, "revision": entry.revision}, "spec": entry.spec})
}

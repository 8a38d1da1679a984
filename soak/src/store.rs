//! A stand-in for the platform's store, with the faults that it may have.

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

const PREFIX: &str = "/flamingofall/objects/";
/// Longest wait of a watch.
const WAIT_MAX: Duration = Duration::from_secs(30);
/// Time that a slow store takes for a call.
const SLOW: Duration = Duration::from_millis(200);
/// Changes that are remembered.
const HISTORY_MAX: usize = 2000;

/// How the store behaves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Mode {
    /// As it should.
    #[default]
    Up,
    /// It answers 503.
    Refusing,
    /// It answers 429.
    Busy,
    /// It doesn't answer.
    Silent,
    /// It answers late.
    Slow,
    /// It does what it is told and doesn't answer.
    Deaf,
}

struct Entry {
    revision: u64,
    spec: Value,
}

#[derive(Default)]
struct Objects {
    kinds: BTreeMap<String, BTreeMap<String, Entry>>,
    revision: u64,
    /// Revision, kind and event of each change.
    history: Vec<(u64, String, Value)>,
    /// Changes up to here have been forgotten.
    forgotten: u64,
    calls: u64,
    mode: Mode,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    objects: Arc<Mutex<Objects>>,
    changed: watch::Sender<u64>,
}

impl Store {
    /// Starts the store at `address`.
    pub async fn start(address: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let store = Self {
            objects: Arc::default(),
            changed: watch::channel(0).0,
        };
        let serving = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = serving.clone();
                tokio::spawn(async move {
                    let service = service_fn(move |request| store.clone().answer(request));
                    let builder = hyper::server::conn::http1::Builder::new();
                    // A client that breaks its connection concerns only itself.
                    let _ = builder
                        .serve_connection(TokioIo::new(stream), service)
                        .await;
                });
            }
        });
        Ok(store)
    }

    /// Changes how it behaves.
    pub fn set_mode(&self, mode: Mode) {
        self.lock().mode = mode;
    }

    /// Calls answered or not.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Forgets all changes; watches from before fail.
    pub fn forget(&self) {
        let mut objects = self.lock();
        objects.forgotten = objects.revision;
        objects.history.clear();
    }

    /// Writes an object as the operator does.
    pub fn put(&self, kind: &str, name: &str, spec: Value) {
        let mut objects = self.lock();
        objects.write(kind, name, spec);
        self.changed.send_replace(objects.revision);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Objects> {
        self.objects
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    async fn answer(self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>> {
        let mode = {
            let mut objects = self.lock();
            objects.calls += 1;
            objects.mode
        };
        match mode {
            Mode::Silent => std::future::pending::<()>().await,
            Mode::Slow => tokio::time::sleep(SLOW).await,
            Mode::Refusing => return reply(StatusCode::SERVICE_UNAVAILABLE, &Value::Null),
            Mode::Busy => return reply(StatusCode::TOO_MANY_REQUESTS, &Value::Null),
            Mode::Up | Mode::Deaf => {}
        }
        let method = request.method().clone();
        let uri = request.uri().clone();
        let body = request.into_body().collect().await?.to_bytes();
        let path = uri.path().strip_prefix(PREFIX).unwrap_or_default();
        let (kind, name) = path.split_once('/').unwrap_or((path, ""));
        let query = |key: &str| {
            let pairs = uri.query().unwrap_or_default().split('&');
            let mut pairs = pairs.filter_map(|pair| pair.split_once('='));
            pairs.find(|(k, _)| *k == key).map(|(_, v)| v.to_owned())
        };
        let (status, value) = match (method, query("watch")) {
            (Method::GET, Some(from)) => {
                let wait = query("wait_ms").and_then(|wait| wait.parse().ok());
                let wait = Duration::from_millis(wait.unwrap_or(0)).min(WAIT_MAX);
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
                self.lock().store(&method, kind, name, &body)
            }
        };
        self.changed.send_replace(self.lock().revision);
        if mode == Mode::Deaf {
            std::future::pending::<()>().await;
        }
        reply(status, &value)
    }

    async fn watch(&self, kind: &str, from: u64, wait: Duration) -> (StatusCode, Value) {
        let mut changed = self.changed.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            {
                let objects = self.lock();
                if from < objects.forgotten {
                    return (StatusCode::GONE, Value::Null);
                }
                let events: Vec<_> = objects
                    .history
                    .iter()
                    .filter(|(revision, of, _)| *revision > from && of == kind)
                    .map(|(_, _, event)| event.clone())
                    .collect();
                if !events.is_empty() || tokio::time::Instant::now() >= deadline {
                    let changes = json!({"events": events, "at": objects.revision});
                    return (StatusCode::OK, changes);
                }
            }
            // The sender lives as long as the store.
            let _ = tokio::time::timeout_at(deadline, changed.changed()).await;
        }
    }
}

impl Objects {
    fn list(&self, kind: &str) -> (StatusCode, Value) {
        let entries = self.kinds.get(kind).into_iter().flatten();
        let items: Vec<_> = entries.map(|(name, entry)| object(name, entry)).collect();
        let page = json!({"items": items, "has_more": false, "at": self.revision});
        (StatusCode::OK, page)
    }

    fn entry(&self, kind: &str, name: &str) -> Option<&Entry> {
        self.kinds.get(kind)?.get(name)
    }

    fn get(&self, kind: &str, name: &str) -> (StatusCode, Value) {
        match self.entry(kind, name) {
            Some(entry) => (StatusCode::OK, object(name, entry)),
            None => (StatusCode::NOT_FOUND, Value::Null),
        }
    }

    fn store(
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
            Some(entry) if creates || expected.is_some_and(|at| at != entry.revision) => {
                (StatusCode::CONFLICT, object(name, entry))
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
            Some(entry) if expected.is_some_and(|at| at != entry.revision) => {
                (StatusCode::CONFLICT, object(name, entry))
            }
            Some(entry) => {
                let event = json!({"object": object(name, entry), "deleted": true});
                if let Some(kind) = self.kinds.get_mut(kind) {
                    kind.remove(name);
                }
                self.remember(kind, event);
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
        let event = json!({"object": object(name, &entry), "deleted": false});
        let objects = self.kinds.entry(kind.to_owned()).or_default();
        objects.insert(name.to_owned(), entry);
        self.remember(kind, event);
    }

    fn remember(&mut self, kind: &str, event: Value) {
        self.revision += 1;
        self.history.push((self.revision, kind.to_owned(), event));
        if self.history.len() > HISTORY_MAX {
            let (revision, ..) = self.history.remove(0);
            self.forgotten = revision;
        }
    }
}

fn object(name: &str, entry: &Entry) -> Value {
    json!({"meta": {"name": name, "revision": entry.revision}, "spec": entry.spec})
}

fn reply(status: StatusCode, value: &Value) -> Result<Response<Full<Bytes>>> {
    let body = Full::new(Bytes::from(value.to_string()));
    Ok(Response::builder().status(status).body(body)?)
}

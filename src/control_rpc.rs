//! Bulk transfer over TCP: snapshots for starting balancers, and the status for operators.
//!
//! Each request carries a time, a nonce and a message authentication code over them; the answer
//! carries one over the nonce and the content.

use std::collections::BTreeMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use futures::StreamExt;
use hmac::Mac;
use rand::rngs::StdRng;
use rand::Rng;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use strum::Display;
use tarpc::server::{BaseChannel, Channel};
use tarpc::tokio_serde::formats::Bincode;
use tarpc::{client, context, serde_transport};
use tokio::sync::{mpsc, oneshot};

use crate::control::{Snapshot, Status};
use crate::wire::Key;

/// How far the clocks of two hosts may differ.
pub const CLOCK_SKEW_MAX: Duration = Duration::from_secs(30);
/// Requests whose nonces are remembered. Further ones are refused until older ones have expired.
pub const NONCES_MAX: usize = 4096;
/// Time for a request and its answer.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

const FRAME_MAX_BYTES: usize = 64 << 20;
const CONNECTIONS_MAX: usize = 32;
/// Idle connections must not keep others out.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);
const CONTEXT: &[u8] = b"flamingofall control rpc 1";

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "lowercase")]
pub enum Method {
    /// The balancer's view.
    Snapshot,
    /// What operators are told.
    Status,
}

/// RequestAuth that a request comes from a process that has the shared key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestAuth {
    /// Milliseconds since the Unix epoch at the sender.
    pub time_ms: u64,
    /// Random number that is used once.
    pub nonce: u128,
    tag: Vec<u8>,
}

/// The content of an answer with its message authentication code.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuthenticatedAnswer {
    json: Vec<u8>,
    tag: Vec<u8>,
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[strum(serialize_all = "kebab-case")]
pub enum Refusal {
    /// Not signed with the shared key.
    WrongTag,
    /// Made too long ago, or by a host whose clock is wrong.
    WrongTime,
    /// The nonce was used before.
    Replayed,
    /// Too many requests in a short time.
    Throttled,
    /// The process is stopping.
    Stopping,
}

impl std::error::Error for Refusal {}

impl RequestAuth {
    /// Signs a request.
    pub fn new(key: &Key, method: Method, time_ms: u64, nonce: u128) -> Self {
        let tag = request_mac(key, method, time_ms, nonce);
        Self {
            time_ms,
            nonce,
            tag: tag.finalize().into_bytes().to_vec(),
        }
    }
}

fn request_mac(key: &Key, method: Method, time_ms: u64, nonce: u128) -> impl Mac {
    let method = method.to_string();
    let parts = [
        CONTEXT,
        b"request",
        method.as_bytes(),
        &time_ms.to_be_bytes(),
        &nonce.to_be_bytes(),
    ];
    key.mac(&parts)
}

fn answer_mac(key: &Key, method: Method, nonce: u128, json: &[u8]) -> impl Mac {
    let method = method.to_string();
    let parts = [
        CONTEXT,
        b"answer",
        method.as_bytes(),
        &nonce.to_be_bytes(),
        json,
    ];
    key.mac(&parts)
}

impl AuthenticatedAnswer {
    fn new<T: Serialize>(key: &Key, method: Method, nonce: u128, content: &T) -> Self {
        let json = serde_json::to_vec(content).expect("answers have only string keys");
        let tag = answer_mac(key, method, nonce, &json);
        Self {
            tag: tag.finalize().into_bytes().to_vec(),
            json,
        }
    }

    fn verify<T: DeserializeOwned>(
        &self,
        key: &Key,
        method: Method,
        nonce: u128,
    ) -> anyhow::Result<T> {
        answer_mac(key, method, nonce, &self.json)
            .verify_slice(&self.tag)
            .map_err(|_| Refusal::WrongTag)?;
        Ok(serde_json::from_slice(&self.json)?)
    }
}

/// Checks proofs and remembers their nonces.
#[derive(Debug)]
pub struct RequestVerifier {
    key: Key,
    // Times of the accepted proofs in milliseconds, by nonce. Invariant: at most NONCES_MAX, and
    // all that could still be accepted.
    nonces: BTreeMap<u128, u64>,
}

impl RequestVerifier {
    /// A verifier that has seen no auth.
    pub fn new(key: Key) -> Self {
        Self {
            key,
            nonces: BTreeMap::new(),
        }
    }

    /// Accepts a auth at most once.
    pub fn verify(
        &mut self,
        method: Method,
        auth: &RequestAuth,
        now_ms: u64,
    ) -> Result<(), Refusal> {
        let skew_ms = CLOCK_SKEW_MAX.as_millis() as u64;
        request_mac(&self.key, method, auth.time_ms, auth.nonce)
            .verify_slice(&auth.tag)
            .map_err(|_| Refusal::WrongTag)?;
        if auth.time_ms.abs_diff(now_ms) > skew_ms {
            return Err(Refusal::WrongTime);
        }
        if self.nonces.len() >= NONCES_MAX {
            let acceptable = |time_ms: u64| time_ms.saturating_add(skew_ms) >= now_ms;
            self.nonces.retain(|_, time_ms| acceptable(*time_ms));
        }
        if self.nonces.contains_key(&auth.nonce) {
            return Err(Refusal::Replayed);
        }
        if self.nonces.len() >= NONCES_MAX {
            return Err(Refusal::Throttled);
        }
        self.nonces.insert(auth.nonce, auth.time_ms);
        Ok(())
    }
}

/// The service. Its methods are named as [`Method`].
#[tarpc::service]
trait Rpc {
    /// The balancer's view.
    async fn snapshot(auth: RequestAuth) -> Result<AuthenticatedAnswer, Refusal>;
    /// What operators are told.
    async fn status(auth: RequestAuth) -> Result<AuthenticatedAnswer, Refusal>;
}

/// A request to the process that owns the core.
#[derive(Debug)]
pub enum Request {
    /// Wants [`Control::snapshot`](crate::control::Control::snapshot).
    Snapshot(oneshot::Sender<Snapshot>),
    /// Wants [`Control::status`](crate::control::Control::status).
    Status(oneshot::Sender<Status>),
}

#[derive(Clone)]
struct Server {
    key: Key,
    verifier: Arc<Mutex<RequestVerifier>>,
    requests: mpsc::Sender<Request>,
}

impl Server {
    async fn answer<T: Serialize>(
        &self,
        method: Method,
        auth: RequestAuth,
        request: impl FnOnce(oneshot::Sender<T>) -> Request,
    ) -> Result<AuthenticatedAnswer, Refusal> {
        let checked = {
            let mut verifier = self.verifier.lock().expect("no panic under this lock");
            verifier.verify(method, &auth, unix_ms())
        };
        if let Err(refusal) = checked {
            log::warn!("event=rpc-refused method={method} reason={refusal}");
            return Err(refusal);
        }
        let (sender, receiver) = oneshot::channel();
        let sent = self.requests.send(request(sender)).await;
        sent.map_err(|_| Refusal::Stopping)?;
        let content = receiver.await.map_err(|_| Refusal::Stopping)?;
        Ok(AuthenticatedAnswer::new(
            &self.key, method, auth.nonce, &content,
        ))
    }
}

impl Rpc for Server {
    async fn snapshot(
        self,
        _: context::Context,
        auth: RequestAuth,
    ) -> Result<AuthenticatedAnswer, Refusal> {
        self.answer(Method::Snapshot, auth, Request::Snapshot).await
    }

    async fn status(
        self,
        _: context::Context,
        auth: RequestAuth,
    ) -> Result<AuthenticatedAnswer, Refusal> {
        self.answer(Method::Status, auth, Request::Status).await
    }
}

/// Listens at `address`. Returns the bound address and the task that serves, which ends only when
/// it is dropped.
pub async fn listen(
    address: SocketAddr,
    key: Key,
    requests: mpsc::Sender<Request>,
) -> io::Result<(SocketAddr, impl Future<Output = ()>)> {
    let mut listener = serde_transport::tcp::listen(&address, Bincode::default).await?;
    listener.config_mut().max_frame_length(FRAME_MAX_BYTES);
    let bound = listener.local_addr();
    let server = Server {
        verifier: Arc::new(Mutex::new(RequestVerifier::new(key.clone()))),
        key,
        requests,
    };
    let serve = listener
        .filter_map(|connection| std::future::ready(connection.ok()))
        .map(move |transport| {
            let channel = BaseChannel::with_defaults(transport);
            let requests = channel.execute(server.clone().serve());
            let served = requests.for_each_concurrent(CONNECTIONS_MAX, |request| request);
            tokio::time::timeout(CONNECTION_TIMEOUT, served)
        })
        .buffer_unordered(CONNECTIONS_MAX)
        .for_each(|_| std::future::ready(()));
    Ok((bound, serve))
}

/// A connection to another balancer.
#[derive(Debug)]
pub struct Client {
    key: Key,
    rpc: RpcClient,
    random: Mutex<StdRng>,
}

impl Client {
    /// Connects to a balancer's control address. The generator makes the nonces; two clients must
    /// not use the same seed.
    pub async fn connect(address: SocketAddr, key: Key, random: StdRng) -> anyhow::Result<Self> {
        let mut connect = serde_transport::tcp::connect(address, Bincode::default);
        connect.config_mut().max_frame_length(FRAME_MAX_BYTES);
        let transport = tokio::time::timeout(REQUEST_TIMEOUT, connect).await??;
        let rpc = RpcClient::new(client::Config::default(), transport).spawn();
        Ok(Self {
            key,
            rpc,
            random: Mutex::new(random),
        })
    }

    /// The balancer's view.
    pub async fn snapshot(&self) -> anyhow::Result<Snapshot> {
        let auth = self.auth(Method::Snapshot);
        let nonce = auth.nonce;
        let sealed = self.rpc.snapshot(request_context(), auth).await??;
        sealed.verify(&self.key, Method::Snapshot, nonce)
    }

    /// What the balancer tells operators.
    pub async fn status(&self) -> anyhow::Result<Status> {
        let auth = self.auth(Method::Status);
        let nonce = auth.nonce;
        let sealed = self.rpc.status(request_context(), auth).await??;
        sealed.verify(&self.key, Method::Status, nonce)
    }

    fn auth(&self, method: Method) -> RequestAuth {
        let nonce = self
            .random
            .lock()
            .expect("no panic under this lock")
            .random();
        RequestAuth::new(&self.key, method, unix_ms(), nonce)
    }
}

fn request_context() -> context::Context {
    let mut context = context::current();
    context.deadline = std::time::Instant::now() + REQUEST_TIMEOUT;
    context
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}

//! RPC over TCP: snapshots for starting balancers, and the status for operators.
//!
//! Each request carries a timestamp, a nonce and a message authentication code (MAC) over both and
//! the method; the answer carries a MAC over the method, the nonce and the content.

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

/// Maximum difference between a request's timestamp and the receiver's clock.
pub const CLOCK_SKEW_MAX: Duration = Duration::from_secs(30);
/// Maximum number of remembered nonces. Further requests are refused until older nonces expire.
pub const NONCES_MAX: usize = 4096;
/// Timeout for establishing a connection, and for a request with its answer.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

const FRAME_MAX_BYTES: usize = 64 << 20;
const CONNECTIONS_MAX: usize = 32;
/// Time after which a connection is closed, so that idle ones don't block others.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(10);
/// Domain separation of these MACs from other uses of the key.
const CONTEXT: &[u8] = b"flamingofall control rpc 1";

/// Method of a request. Its lowercase name is part of the MAC.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "lowercase")]
pub enum Method {
    /// Returns the balancer's view.
    Snapshot,
    /// Returns the balancer's status for operators.
    Status,
}

/// Authenticates a request as coming from a process that has the shared key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestAuth {
    /// Milliseconds since the Unix epoch at the sender.
    pub time_ms: u64,
    /// Random number that identifies the request; a receiver accepts it once.
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
    /// The MAC doesn't match: it was made with another key or for another method.
    WrongTag,
    /// The timestamp differs from the receiver's clock by more than [`CLOCK_SKEW_MAX`].
    WrongTime,
    /// The nonce was already accepted.
    Replayed,
    /// The receiver already remembers [`NONCES_MAX`] nonces that could still be replayed.
    Throttled,
    /// The process is stopping and no longer answers.
    Stopping,
}

impl std::error::Error for Refusal {}

impl RequestAuth {
    /// Authenticates a request for `method` with the shared key.
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
        let json = serde_json::to_vec(content)
            .expect("answers serialise to JSON, since their maps have string keys");
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

/// Authenticates requests and rejects replays by remembering their nonces.
#[derive(Debug)]
pub struct RequestVerifier {
    key: Key,
    // Timestamps of the accepted requests in milliseconds, by nonce. Invariant: at most NONCES_MAX,
    // including every nonce whose timestamp is still acceptable.
    nonces: BTreeMap<u128, u64>,
}

impl RequestVerifier {
    /// Creates a verifier that has accepted no request.
    pub fn new(key: Key) -> Self {
        Self {
            key,
            nonces: BTreeMap::new(),
        }
    }

    /// Verifies a request for `method` at `now_ms`, in milliseconds since the Unix epoch. Accepts
    /// each nonce at most once.
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

/// The RPC service. Its methods have the names of [`Method`].
#[tarpc::service]
trait Rpc {
    /// Returns the balancer's view.
    async fn snapshot(auth: RequestAuth) -> Result<AuthenticatedAnswer, Refusal>;
    /// Returns the balancer's status for operators.
    async fn status(auth: RequestAuth) -> Result<AuthenticatedAnswer, Refusal>;
}

/// An authenticated request for the task that owns the control plane, with the channel for its
/// answer.
#[derive(Debug)]
pub enum Request {
    /// Requests [`Control::snapshot`](crate::control::Control::snapshot).
    Snapshot(oneshot::Sender<Snapshot>),
    /// Requests [`Control::status`](crate::control::Control::status).
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
            let mut verifier = self.verifier.lock().expect("no holder of the lock panics");
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

/// Listens at `address`. Returns the bound address and the future that serves connections, which
/// completes only by being dropped.
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

/// An RPC connection to a balancer.
#[derive(Debug)]
pub struct Client {
    key: Key,
    rpc: RpcClient,
    random: Mutex<StdRng>,
}

impl Client {
    /// Connects to a balancer's control address. `random` generates the nonces; two clients must
    /// not use the same seed, because a repeated nonce is refused.
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

    /// Requests the balancer's view.
    pub async fn snapshot(&self) -> anyhow::Result<Snapshot> {
        let auth = self.auth(Method::Snapshot);
        let nonce = auth.nonce;
        let sealed = self.rpc.snapshot(request_context(), auth).await??;
        sealed.verify(&self.key, Method::Snapshot, nonce)
    }

    /// Requests the balancer's status for operators.
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
            .expect("no holder of the lock panics")
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

//! Hosts of the processes under test, with the simulated server beside each agent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use flamingofall_emulator::server::Server;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::{header, Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::{TcpStream, UdpSocket};
use tokio::time::timeout;

use crate::process::Process;
use crate::proxy::Proxy;

/// A server's limits: concurrent requests, queued requests, and processing time of a request.
const SERVER_LIMITS: (u32, usize, Duration) = (4, 16, Duration::from_millis(30));
/// Timeout of an HTTP request: a heartbeat, a deregistration or a readiness check.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A host that runs a balancer.
pub struct BalancerHost {
    /// The balancer's process.
    pub process: Process,
    /// Proxy of the balancer's connections to the store.
    pub proxy: Proxy,
    /// Number of consecutive readiness checks that failed.
    pub readiness_failures: u32,
}

/// A host that runs an agent and its server.
pub struct AgentHost {
    /// The agent's process.
    pub process: Process,
    /// Proxy of the agent's connections to the store.
    pub proxy: Proxy,
    /// Service of the server, or of the next one while none runs.
    pub service: String,
    /// Name of the next server if it is that of the last one.
    pub next_name: Option<String>,
    /// The simulated server; `None` while it has crashed or left.
    pub server: Option<Server>,
    /// Socket on which the server receives and sends packets.
    pub socket: Arc<UdpSocket>,
    /// Time since the start of the run at which the agent first acknowledged a heartbeat that
    /// reports the server as draining.
    pub drain_acknowledged_at: Option<Duration>,
    /// Time at which a draining server stops, and the service of the server that replaces it.
    pub replacement: Option<(Instant, String)>,
    /// Time at which a server starts after a crash, or as the replacement of a drained one.
    pub restart_at: Option<Instant>,
}

impl AgentHost {
    /// Starts a server. Unless it keeps its predecessor's name, its name is made of `index` and
    /// `now`, the time since the start of the run. `started` is the Unix time in milliseconds that
    /// its heartbeats report.
    pub fn start_server(&mut self, index: usize, now: Duration, started: u64) {
        let new_name = || format!("server-{index}-{}", now.as_millis());
        let name = self.next_name.take().unwrap_or_else(new_name);
        self.server = Some(Server::new(
            name,
            self.service.clone(),
            started,
            SERVER_LIMITS,
        ));
        self.drain_acknowledged_at = None;
        self.restart_at = None;
    }
}

/// Returns the path and the JSON body of a server's next heartbeat; `address` is that of the server.
pub fn heartbeat_request(server: &mut Server, address: SocketAddr) -> (String, Vec<u8>) {
    let heartbeat = server.heartbeat(address);
    let body = json!({
        "service": heartbeat.service, "address": heartbeat.address, "zone": "z", "version": "v1",
        "concurrency": heartbeat.slots.0, "cold_remaining_ms": 0,
        "state": if server.draining { "draining" } else { "ready" },
        "sequence": heartbeat.sequence, "born": heartbeat.started,
    });
    let path = format!("/flamingofall/Instances.Heartbeat/{}", heartbeat.server);
    (path, body.to_string().into_bytes())
}

/// Sends an HTTP request over a new connection and returns the status of the response.
pub async fn send_http_request(
    to: SocketAddr,
    method: Method,
    path: &str,
    body: Vec<u8>,
) -> Result<StatusCode> {
    let exchange = async {
        let stream = TcpStream::connect(to).await?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        let connection = tokio::spawn(connection);
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, to.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))?;
        let response = sender.send_request(request).await;
        connection.abort();
        anyhow::Ok(response?.status())
    };
    timeout(CALL_TIMEOUT, exchange)
        .await
        .context("the HTTP request timed out")?
}

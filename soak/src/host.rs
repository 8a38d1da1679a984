//! Hosts: a process under test, and the server beside an agent.

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

/// Requests that a server works on, requests that wait, and the time that one takes.
const SERVER_LIMITS: (u32, usize, Duration) = (4, 16, Duration::from_millis(30));
/// Time within which a heartbeat or a readiness check has to be answered.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A balancer's host.
pub struct BalancerHost {
    /// The process.
    pub process: Process,
    /// Its way to the store.
    pub proxy: Proxy,
    /// Readiness checks failed in a row.
    pub readiness_failures: u32,
}

/// An agent's host.
pub struct AgentHost {
    /// The process.
    pub process: Process,
    /// Its way to the store.
    pub proxy: Proxy,
    /// Service of the server.
    pub service: String,
    /// The server; none while it has crashed or left.
    pub server: Option<Server>,
    /// Where the server gets and sends packets.
    pub socket: Arc<UdpSocket>,
    /// When the agent acknowledged that the server drains.
    pub drain_acknowledged_at: Option<Duration>,
    /// When a leaving server ends, and its successor's service.
    pub replacement: Option<(Instant, String)>,
    /// When a crashed server starts again.
    pub restart_at: Option<Instant>,
}

impl AgentHost {
    /// Starts a server with a new name.
    pub fn start_server(&mut self, index: usize, now: Duration, started: u64) {
        let name = format!("server-{index}-{}", now.as_millis());
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

/// Path and body of a server's next heartbeat.
pub fn heartbeat_request(server: &mut Server, to: SocketAddr) -> (String, Vec<u8>) {
    let heartbeat = server.heartbeat();
    let body = json!({
        "service": heartbeat.service, "address": to, "zone": "z", "version": "v1",
        "concurrency": heartbeat.slots.0, "cold_remaining_ms": 0,
        "state": if server.draining { "draining" } else { "ready" },
        "sequence": heartbeat.sequence, "born": heartbeat.started,
    });
    let path = format!("/flamingofall/Instances.Heartbeat/{}", heartbeat.server);
    (path, body.to_string().into_bytes())
}

/// Makes an HTTP call and returns its status.
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
        .context("no answer in time")?
}

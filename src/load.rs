//! The client of a backend server's load endpoint.

use std::net::SocketAddr;
use std::time::Duration;

use anyhow::{ensure, Context, Result};
use http_body_util::{BodyExt, Empty, Limited};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper::{header, Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::id::Connections;
use crate::server::LoadReport;

/// Timeout of a request. A response that takes longer is too old to be of use.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum length of the response body.
const RESPONSE_BODY_MAX_BYTES: usize = 4 << 10;

/// Body of the response to `GET /load`. Unknown keys are ignored, since servers may report more.
#[derive(Clone, Copy, Debug, Deserialize)]
struct LoadResponse {
    #[serde(default)]
    connections: u32,
    #[serde(default = "default_ready")]
    ready: bool,
    #[serde(default)]
    draining: bool,
}

fn default_ready() -> bool {
    true
}

impl From<LoadResponse> for LoadReport {
    fn from(load: LoadResponse) -> Self {
        let accepts_flows = load.ready && !load.draining;
        Self {
            open: load.connections,
            limit: (!accepts_flows).then_some(Connections(0)),
        }
    }
}

/// Requests the load of the server whose load endpoint listens at `server`.
///
/// Fails if the server doesn't answer in time, with another status than 200 or with an invalid
/// body.
pub async fn fetch(server: SocketAddr) -> Result<LoadReport> {
    timeout(REQUEST_TIMEOUT, request_load(server))
        .await
        .with_context(|| format!("no response to GET /load within {REQUEST_TIMEOUT:?}"))?
}

async fn request_load(server: SocketAddr) -> Result<LoadReport> {
    let stream = TcpStream::connect(server).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let exchange = async {
        let request = Request::get("/load")
            .header(header::HOST, server.to_string())
            .body(Empty::<Bytes>::new())?;
        let response = sender.send_request(request).await?;
        ensure!(
            response.status() == StatusCode::OK,
            "GET /load returned status {}",
            response.status()
        );
        let body = Limited::new(response.into_body(), RESPONSE_BODY_MAX_BYTES);
        let body = body
            .collect()
            .await
            .map_err(|error| anyhow::anyhow!(error))?;
        let load: LoadResponse = serde_json::from_slice(&body.to_bytes())?;
        Ok(load.into())
    };
    tokio::select! {
        result = exchange => result,
        ended = connection => {
            ended?;
            anyhow::bail!("the server closed the connection before it answered GET /load")
        }
    }
}

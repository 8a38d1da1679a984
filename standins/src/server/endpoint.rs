//! HTTP load endpoint of a backend server, and its announcements to the agent.

use std::convert::Infallible;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;

use super::{Load, Report, SharedState};
use crate::http;

/// Interval between announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(1);
/// Timeout of one announcement, shorter than the interval.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_millis(800);
/// Interval at which the load is recorded for stale reports.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Serves `GET /load` and records the load until aborted.
pub(super) async fn serve(listener: TcpListener, shared: Arc<Mutex<SharedState>>) {
    let mut connections = JoinSet::new();
    let mut sample_interval = tokio::time::interval(SAMPLE_INTERVAL);
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve_connection(stream, shared.clone()));
                }
            }
            _ = sample_interval.tick() => shared.lock().unwrap().record_sample(Instant::now()),
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection(stream: TcpStream, shared: Arc<Mutex<SharedState>>) {
    let service = service_fn(move |request| handle_request(request, shared.clone()));
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

async fn handle_request(
    request: Request<Incoming>,
    shared: Arc<Mutex<SharedState>>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    if request.method() != Method::GET || request.uri().path() != "/load" {
        return Ok(response(StatusCode::NOT_FOUND, Bytes::new()));
    }
    let (load, delay, failing) = {
        let shared = shared.lock().unwrap();
        let load = shared.reported_load(Instant::now());
        match shared.report {
            Report::Slow(delay) => (load, delay, false),
            Report::Failing => (load, Duration::ZERO, true),
            _ => (load, Duration::ZERO, false),
        }
    };
    if failing {
        return Ok(response(StatusCode::INTERNAL_SERVER_ERROR, Bytes::new()));
    }
    tokio::time::sleep(delay).await;
    let body = serde_json::to_vec(&load).expect("the load has string keys");
    Ok(response(StatusCode::OK, body.into()))
}

fn response(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

impl SharedState {
    /// Returns the load that the endpoint reports.
    fn reported_load(&self, now: Instant) -> Load {
        match self.report {
            Report::Accurate | Report::Slow(_) | Report::Failing => self.load,
            Report::Zero => Load {
                slots_used: 0,
                connections: 0,
                ..self.load
            },
            Report::Stale(age) => self
                .samples
                .iter()
                .rev()
                .find(|(at, _)| now.duration_since(*at) >= age)
                .or(self.samples.front())
                .map_or(self.load, |(_, load)| *load),
        }
    }

    /// Records the current load. Removes samples that [`Report::Stale`] no longer needs.
    fn record_sample(&mut self, now: Instant) {
        let retention = match self.report {
            Report::Stale(age) => age + SAMPLE_INTERVAL,
            _ => SAMPLE_INTERVAL,
        };
        let is_expired = |at: &Instant| now.duration_since(*at) > retention;
        while self.samples.len() > 1 && self.samples.get(1).is_some_and(|(at, _)| is_expired(at)) {
            self.samples.pop_front();
        }
        self.samples.push_back((now, self.load));
    }
}

/// Posts announcements to the agent at regular intervals until aborted.
pub(super) async fn send_announcements(agent: String, shared: Arc<Mutex<SharedState>>) {
    let mut interval = tokio::time::interval(ANNOUNCE_INTERVAL);
    loop {
        interval.tick().await;
        let body = {
            let shared = shared.lock().unwrap();
            if !shared.announcing {
                continue;
            }
            shared.announcement_body()
        };
        post_announcement(&agent, body).await;
    }
}

/// Posts one announcement. A failure is only logged, because the next announcement repeats the
/// state.
pub(super) async fn post_announcement(agent: &str, body: String) {
    let url = format!("{agent}/v1/announce");
    if let Err(error) = http::call(Method::POST, &url, body, ANNOUNCE_TIMEOUT).await {
        log::debug!("event=announce_failed url={url} error={error:?}");
    }
}

impl SharedState {
    /// Returns the JSON body of an announcement of the current state.
    pub(super) fn announcement_body(&self) -> String {
        json!({
            "service": self.identity.service,
            "address": self.identity.address,
            "incarnation": self.identity.incarnation,
            "slots": self.identity.slots,
            "connections": self.identity.connections,
            "state": self.announced_state(),
        })
        .to_string()
    }

    fn announced_state(&self) -> &'static str {
        match (self.stopping, self.load.draining, self.load.ready) {
            (true, _, _) => "down",
            (_, true, _) => "draining",
            (_, _, true) => "active",
            _ => "joining",
        }
    }
}

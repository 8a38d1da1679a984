//! HTTP server for the daemons' status endpoints.

use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::service::service_fn;
use hyper::{header, Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Maximum size of a request body.
const BODY_MAX_BYTES: usize = 64 << 10;
/// Maximum time for a client to send the headers of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// HTTP request to a daemon.
#[derive(Clone, Debug)]
pub struct Query {
    /// HTTP method.
    pub method: Method,
    /// Path without the query string.
    pub path: String,
    /// Complete body, at most 64 KiB.
    pub body: Bytes,
}

/// HTTP response of a daemon.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status code.
    pub status: StatusCode,
    /// Value of the `Content-Type` header.
    pub media_type: &'static str,
    /// Text of the response, in UTF-8.
    pub body: String,
}

impl Reply {
    /// Creates a plain-text response.
    pub fn text(status: StatusCode, body: impl Into<String>) -> Self {
        Self {
            status,
            media_type: "text/plain; charset=utf-8",
            body: body.into(),
        }
    }

    /// Creates a response with status 200 whose body is the JSON text `body`.
    pub fn json(body: String) -> Self {
        Self {
            status: StatusCode::OK,
            media_type: "application/json",
            body,
        }
    }

    /// Creates the response to a request for an unknown path, with status 404.
    pub fn not_found() -> Self {
        Self::text(StatusCode::NOT_FOUND, "not found\n")
    }
}

/// Request with the channel for its response.
pub type PendingRequest = (Query, oneshot::Sender<Reply>);

/// Forwards a request to the task that handles `requests`, and waits for the response. If the task
/// has ended, the response has status 503.
pub async fn forward(requests: mpsc::Sender<PendingRequest>, query: Query) -> Reply {
    let (reply, answer) = oneshot::channel();
    let sent = requests.send((query, reply)).await.is_ok();
    match answer.await {
        Ok(reply) if sent => reply,
        _ => Reply::text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
    }
}

/// Serves HTTP/1 connections until `cancel` is cancelled, which also closes the open connections.
pub async fn serve<H, F>(listener: TcpListener, cancel: CancellationToken, handler: H)
where
    H: Fn(Query) -> F + Clone + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let connections = TaskTracker::new();
    while let Some(accepted) = cancel.run_until_cancelled(listener.accept()).await {
        let Ok((stream, _)) = accepted else {
            // The usual cause is a lack of file descriptors: wait until some are closed.
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        let handler = handler.clone();
        let cancel = cancel.clone();
        connections.spawn(async move {
            let service = service_fn(move |request| respond(request, handler.clone()));
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            // A connection error affects only that client.
            let _ = cancel.run_until_cancelled(connection).await;
        });
    }
    connections.close();
    connections.wait().await;
}

async fn respond<H, F>(
    request: Request<Incoming>,
    handler: H,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    H: Fn(Query) -> F,
    F: Future<Output = Reply>,
{
    let method = request.method().clone();
    let path = request.uri().path().to_owned();
    let reply = match Limited::new(request.into_body(), BODY_MAX_BYTES)
        .collect()
        .await
    {
        Ok(body) => {
            handler(Query {
                method,
                path,
                body: body.to_bytes(),
            })
            .await
        }
        Err(_) => Reply::text(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body too large or incomplete\n",
        ),
    };
    let mut response = Response::new(Full::new(Bytes::from(reply.body)));
    *response.status_mut() = reply.status;
    let media_type = header::HeaderValue::from_static(reply.media_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, media_type);
    Ok(response)
}

//! The daemons' HTTP endpoints.

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

/// Largest body of a request.
const BODY_MAX_BYTES: usize = 64 << 10;
/// Time for a client to send the header of a request.
const HEADER_TIMEOUT: Duration = Duration::from_secs(5);

/// A request to a daemon.
#[derive(Clone, Debug)]
pub struct Query {
    /// Method.
    pub method: Method,
    /// Path without the query string.
    pub path: String,
    /// Body.
    pub body: Bytes,
}

/// A daemon's answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Status code.
    pub status: StatusCode,
    /// Media type of the body.
    pub media_type: &'static str,
    /// Body.
    pub body: String,
}

impl Reply {
    /// A plain text.
    pub fn text(status: StatusCode, body: impl Into<String>) -> Self {
        Self {
            status,
            media_type: "text/plain; charset=utf-8",
            body: body.into(),
        }
    }

    /// A JSON document.
    pub fn json(body: String) -> Self {
        Self {
            status: StatusCode::OK,
            media_type: "application/json",
            body,
        }
    }

    /// The answer to a path that doesn't exist.
    pub fn not_found() -> Self {
        Self::text(StatusCode::NOT_FOUND, "not found\n")
    }
}

/// A request with the way back for its answer.
pub type PendingRequest = (Query, oneshot::Sender<Reply>);

/// Passes a request to the core's task.
pub async fn forward(requests: mpsc::Sender<PendingRequest>, query: Query) -> Reply {
    let (reply, answer) = oneshot::channel();
    let sent = requests.send((query, reply)).await.is_ok();
    match answer.await {
        Ok(reply) if sent => reply,
        _ => Reply::text(StatusCode::SERVICE_UNAVAILABLE, "stopping\n"),
    }
}

/// Serves requests until `cancel`.
pub async fn serve<H, F>(listener: TcpListener, cancel: CancellationToken, handler: H)
where
    H: Fn(Query) -> F + Clone + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let connections = TaskTracker::new();
    while let Some(accepted) = cancel.run_until_cancelled(listener.accept()).await {
        let Ok((stream, _)) = accepted else {
            // Usually out of file descriptors: wait for some to be closed.
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        let handler = handler.clone();
        let cancel = cancel.clone();
        connections.spawn(async move {
            let service = service_fn(move |request| answer(request, handler.clone()));
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEADER_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            // A client that breaks the connection concerns only itself.
            let _ = cancel.run_until_cancelled(connection).await;
        });
    }
    connections.close();
    connections.wait().await;
}

async fn answer<H, F>(
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

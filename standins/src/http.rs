//! Minimal HTTP/1.1 client that opens a connection for each request.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, CONTENT_TYPE, HOST};
use hyper::{Method, Request, Response, Uri};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpStream;

use crate::task::Task;

/// A complete HTTP response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    /// The complete response body.
    pub body: Bytes,
}

impl Answer {
    /// Parses the body as JSON; returns null if it is not valid JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }
}

/// Sends a request to `http://ADDRESS/PATH` and reads the complete response.
///
/// `ADDRESS` is an IP address with a port; names are not resolved. The content type is
/// `application/json`. Fails with `TimedOut` if the response is not complete within `timeout`.
pub async fn call(
    method: Method,
    url: &str,
    body: impl Into<Bytes>,
    timeout: Duration,
) -> io::Result<Answer> {
    let exchange = exchange(method, url, body.into());
    tokio::time::timeout(timeout, exchange)
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))?
}

async fn exchange(method: Method, url: &str, body: Bytes) -> io::Result<Answer> {
    let (answer, _task) = send(method, url, body).await?;
    let status = answer.status().as_u16();
    let headers = answer.headers().clone();
    let body = answer.into_body().collect().await;
    Ok(Answer {
        status,
        headers,
        body: body.map_err(io::Error::other)?.to_bytes(),
    })
}

/// Sends a request on a new connection. The connection is closed when the task is dropped.
async fn send(method: Method, url: &str, body: Bytes) -> io::Result<(Response<Incoming>, Task)> {
    let uri: Uri = url.parse().map_err(io::Error::other)?;
    let authority = uri
        .authority()
        .ok_or_else(|| io::Error::other("URL has no authority part (ADDRESS:PORT)"))?;
    let address: SocketAddr = authority.as_str().parse().map_err(io::Error::other)?;
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = hyper::client::conn::http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let task = Task::spawn(async move {
        let _ = connection.await;
    });
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, authority.as_str())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(io::Error::other)?;
    let answer = sender.send_request(request).await;
    Ok((answer.map_err(io::Error::other)?, task))
}

/// A streamed response whose body has one JSON document per line.
pub struct Lines {
    /// HTTP status code.
    pub status: u16,
    body: Incoming,
    buffer: Vec<u8>,
    _task: Task,
}

impl Lines {
    /// Sends a GET request to `http://ADDRESS/PATH` and waits for the response headers, without a
    /// timeout.
    pub async fn get(url: &str) -> io::Result<Self> {
        let (answer, task) = send(Method::GET, url, Bytes::new()).await?;
        Ok(Self {
            status: answer.status().as_u16(),
            body: answer.into_body(),
            buffer: Vec::new(),
            _task: task,
        })
    }

    /// Waits for the next line and parses it; `None` at the end of the response. A last line
    /// without a line feed is discarded.
    pub async fn next(&mut self) -> io::Result<Option<Value>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(Some(serde_json::from_slice(&line)?));
            }
            match self.body.frame().await {
                None => return Ok(None),
                Some(frame) => {
                    let frame = frame.map_err(io::Error::other)?;
                    self.buffer.extend(frame.into_data().unwrap_or_default());
                }
            }
        }
    }
}

//! HTTP server of the store.

use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{HeaderValue, CONTENT_TYPE, RETRY_AFTER};
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::objects::{self, ApiError, Key, Resource, VersionedObjects, API_VERSION};
use super::{Mode, Shared, Verb, BASE_PATH, MAX_BODY_BYTES};

/// Duration of a watch whose query has no `timeoutSeconds`.
const DEFAULT_WATCH_TIMEOUT: Duration = Duration::from_secs(300);
/// Interval at which a watch sends bookmarks if its query allows them.
const BOOKMARK_INTERVAL: Duration = Duration::from_secs(1);
/// Events that a watch queues for its client; when the queue is full, the watch waits.
const WATCH_QUEUE_EVENTS: usize = 256;
/// Value of the `Retry-After` header of answers with code 429.
const RETRY_AFTER_SECONDS: &str = "1";

/// Accepts and serves connections until the task is aborted.
///
/// `port_reservation` is a bound socket that reserves the port while there is no listener.
pub(super) async fn run(port_reservation: TcpSocket, listener: TcpListener, shared: Arc<Shared>) {
    let address = port_reservation.local_addr().expect("the socket is bound");
    let mut mode = shared.mode.subscribe();
    let mut listener = Some(listener);
    let mut connections = JoinSet::new();
    loop {
        let refusing = *mode.borrow_and_update() == Mode::Refusing;
        if refusing {
            listener = None;
            connections.shutdown().await;
        } else if listener.is_none() {
            listener = super::listen(address).ok();
        }
        tokio::select! {
            accepted = accept(listener.as_ref()) => {
                if let Ok(stream) = accepted {
                    connections.spawn(serve_connection(stream, shared.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
            changed = mode.changed() => {
                if changed.is_err() {
                    return;
                }
            }
        }
    }
}

/// Accepts a connection; without a listener, never completes.
async fn accept(listener: Option<&TcpListener>) -> io::Result<TcpStream> {
    match listener {
        Some(listener) => listener.accept().await.map(|(stream, _)| stream),
        None => std::future::pending().await,
    }
}

async fn serve_connection(stream: TcpStream, shared: Arc<Shared>) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| handle_request(request, shared.clone()));
    let _ = hyper::server::conn::http1::Builder::new()
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

/// Makes hyper close the connection without an answer.
#[derive(Debug)]
struct AnswerDropped;

impl std::fmt::Display for AnswerDropped {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the answer was dropped by a fault")
    }
}

impl std::error::Error for AnswerDropped {}

/// Parsed request line and headers of an API call.
struct Call {
    verb: Verb,
    resource: Resource,
    /// Name of the object in the path.
    name: Option<String>,
    /// Name of the only object that a list or a watch covers, from the path or the
    /// `fieldSelector`.
    name_selector: Option<String>,
    /// `resourceVersion` after which a watch starts; other calls ignore it.
    version: Option<u64>,
    watch_timeout: Duration,
    /// Whether a watch sends bookmarks (`allowWatchBookmarks`).
    sends_bookmarks: bool,
    /// Largest number of objects in a list.
    limit: Option<usize>,
    /// Whether a list contains only the metadata of the objects.
    metadata_only: bool,
}

async fn handle_request(
    request: Request<Incoming>,
    shared: Arc<Shared>,
) -> Result<Response<ResponseBody>, AnswerDropped> {
    let mut mode = shared.mode.subscribe();
    let _ = mode.wait_for(|mode| *mode != Mode::Hanging).await;
    let call = match parse_call(&request) {
        Ok(call) => call,
        Err(error) => return Ok(failure(&error)),
    };
    let (admitted, delay) = {
        let mut state = shared.state.lock().unwrap();
        (state.admit(call.verb, call.resource), state.draw_delay())
    };
    if !admitted {
        let error = ApiError::new(429, "TooManyRequests", "too many requests");
        return Ok(failure(&error));
    }
    let body = match Limited::new(request.into_body(), MAX_BODY_BYTES)
        .collect()
        .await
    {
        Ok(body) => body.to_bytes(),
        Err(_) => {
            let message = format!("limit is {MAX_BODY_BYTES} bytes");
            let error = ApiError::new(413, "RequestEntityTooLarge", message);
            return Ok(failure(&error));
        }
    };
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    match call.verb {
        Verb::Get | Verb::List => Ok(read(&call, &shared)),
        Verb::Watch => Ok(watch(call, shared)),
        Verb::Create | Verb::Update | Verb::Delete => write(call, &body, &shared),
    }
}

/// Parses the path, method, query and `Accept` header.
fn parse_call(request: &Request<Incoming>) -> Result<Call, ApiError> {
    let not_found = || ApiError::new(404, "NotFound", "the server could not find the resource");
    let path = request
        .uri()
        .path()
        .strip_prefix(BASE_PATH)
        .ok_or_else(not_found)?;
    let (resource, name) = match path.split_once('/') {
        Some((resource, name)) => (resource, Some(name.to_owned())),
        None => (path, None),
    };
    let resource = Resource::from_path(resource).ok_or_else(not_found)?;
    let mut call = Call {
        verb: Verb::Get,
        resource,
        name_selector: name.clone(),
        name,
        version: None,
        watch_timeout: DEFAULT_WATCH_TIMEOUT,
        sends_bookmarks: false,
        limit: None,
        metadata_only: accepts_metadata_only(request),
    };
    let watches = parse_query(request.uri().query().unwrap_or(""), &mut call)?;
    call.verb = match (request.method(), &call.name) {
        (&Method::GET, _) if watches => Verb::Watch,
        (&Method::GET, Some(_)) => Verb::Get,
        (&Method::GET, None) => Verb::List,
        (&Method::POST, None) => Verb::Create,
        (&Method::PUT, Some(_)) => Verb::Update,
        (&Method::DELETE, Some(_)) => Verb::Delete,
        _ => {
            let message = "the server does not allow this method on the requested resource";
            return Err(ApiError::new(405, "MethodNotAllowed", message));
        }
    };
    Ok(call)
}

/// Sets the fields of `call` from the query parameters, ignoring unknown ones; returns whether the
/// call is a watch.
fn parse_query(query: &str, call: &mut Call) -> Result<bool, ApiError> {
    let mut watches = false;
    for parameter in query.split('&').filter(|parameter| !parameter.is_empty()) {
        let (key, value) = parameter.split_once('=').unwrap_or((parameter, ""));
        let number = || {
            value
                .parse::<u64>()
                .map_err(|_| ApiError::bad_request(format!("invalid {key}: {value:?}")))
        };
        let flag = matches!(value, "1" | "true");
        match key {
            "watch" => watches = flag,
            "allowWatchBookmarks" => call.sends_bookmarks = flag,
            "resourceVersion" if !value.is_empty() => call.version = Some(number()?),
            "limit" => call.limit = Some(number()? as usize).filter(|limit| *limit > 0),
            "timeoutSeconds" => call.watch_timeout = Duration::from_secs(number()?),
            "fieldSelector" => {
                let name = value
                    .strip_prefix("metadata.name=")
                    .or_else(|| value.strip_prefix("metadata.name%3D"))
                    .ok_or_else(|| ApiError::bad_request("field label not supported"))?;
                call.name_selector = Some(name.to_owned());
            }
            _ => {}
        }
    }
    Ok(watches)
}

/// Whether the `Accept` header asks for a list with only the metadata of the objects.
fn accepts_metadata_only(request: &Request<Incoming>) -> bool {
    let accept = request.headers().get(hyper::header::ACCEPT);
    accept
        .and_then(|value| value.to_str().ok())
        .is_some_and(|value| value.contains("as=PartialObjectMetadataList"))
}

/// Truncates a list to the call's limit and reduces its objects to their metadata if the call asks
/// for that. A truncated list has no token to continue with.
fn apply_list_options(list: &mut Value, call: &Call) {
    let Some(items) = list["items"].as_array_mut() else {
        return;
    };
    items.truncate(call.limit.unwrap_or(usize::MAX));
    if call.metadata_only {
        for item in items {
            *item = json!({
                "apiVersion": "meta.k8s.io/v1",
                "kind": "PartialObjectMetadata",
                "metadata": item["metadata"],
            });
        }
        list["kind"] = json!("PartialObjectMetadataList");
        list["apiVersion"] = json!("meta.k8s.io/v1");
    }
}

/// Answers a get or a list.
fn read(call: &Call, shared: &Shared) -> Response<ResponseBody> {
    let state = shared.state.lock().unwrap();
    let found = state.read(|version, objects| match &call.name {
        Some(name) => {
            objects::get(objects, &(call.resource, name.clone())).map(|object| (*object).clone())
        }
        None => {
            let name_selector = call.name_selector.as_deref();
            let mut list = objects::list(objects, version, call.resource, name_selector);
            apply_list_options(&mut list, call);
            Ok(list)
        }
    });
    drop(state);
    match found {
        Ok(value) => success(200, &value),
        Err(error) => failure(&error),
    }
}

/// Applies a write and notifies the watches; a fault may then suppress the answer.
fn write(
    call: Call,
    body: &[u8],
    shared: &Shared,
) -> Result<Response<ResponseBody>, AnswerDropped> {
    let mut state = shared.state.lock().unwrap();
    let version = state.objects.version;
    let outcome = apply(call, body, &mut state.objects);
    if state.objects.version != version {
        shared.changed.send_replace(());
    }
    match outcome {
        Ok(_) if state.loses_answer() => Err(AnswerDropped),
        Ok((code, object)) => Ok(success(code, &object)),
        Err(error) => Ok(failure(&error)),
    }
}

/// Applies a write; returns the HTTP status code and the body of the answer.
fn apply(
    call: Call,
    body: &[u8],
    objects: &mut VersionedObjects,
) -> Result<(u16, Value), ApiError> {
    let json = || {
        serde_json::from_slice::<Value>(body)
            .ok()
            .filter(Value::is_object)
            .ok_or_else(|| ApiError::bad_request("the body is not a JSON object"))
    };
    match (call.verb, call.name) {
        (Verb::Create, _) => {
            let object = objects.create(call.resource, json()?)?;
            Ok((201, (*object).clone()))
        }
        (Verb::Update, Some(name)) => {
            let object = objects.update((call.resource, name), json()?)?;
            Ok((200, (*object).clone()))
        }
        (_, Some(name)) => {
            let expected = match body.is_empty() {
                true => None,
                false => precondition(&json()?)?,
            };
            objects.delete((call.resource, name), expected)?;
            let status = json!({
                "kind": "Status",
                "apiVersion": "v1",
                "metadata": {},
                "status": "Success",
            });
            Ok((200, status))
        }
        (_, None) => Err(ApiError::bad_request("the name is missing")),
    }
}

/// Returns the version that a delete expects: `preconditions.resourceVersion` of its DeleteOptions.
fn precondition(options: &Value) -> Result<Option<u64>, ApiError> {
    match &options["preconditions"]["resourceVersion"] {
        Value::Null => Ok(None),
        Value::String(text) => text
            .parse()
            .map(Some)
            .map_err(|_| ApiError::bad_request("invalid resource version")),
        _ => Err(ApiError::bad_request("resourceVersion must be a string")),
    }
}

/// Starts a watch: a task that streams the changes after the call's version until the client
/// disconnects or the watch ends. Without a version, or with 0, it first sends the current objects
/// as `ADDED` events.
fn watch(call: Call, shared: Arc<Shared>) -> Response<ResponseBody> {
    let (sent_version, initial_events, watch_epoch) = {
        let state = shared.state.lock().unwrap();
        let objects = &state.objects;
        match call.version.filter(|version| *version > 0) {
            Some(version) if version > objects.version => {
                return failure(&ApiError::too_new(version));
            }
            Some(version) if version < objects.oldest_version() => {
                return failure(&ApiError::expired(version));
            }
            Some(version) => (version, Vec::new(), state.watch_epoch),
            None => {
                let initial_events = objects
                    .current
                    .iter()
                    .filter(|(key, _)| call.selects(key))
                    .map(|(_, object)| json!({"type": "ADDED", "object": **object}))
                    .collect();
                (objects.version, initial_events, state.watch_epoch)
            }
        }
    };
    let (sender, receiver) = mpsc::channel(WATCH_QUEUE_EVENTS);
    let watcher = Watcher {
        call,
        shared,
        watch_epoch,
        sent_version,
        sender,
    };
    tokio::spawn(watcher.run(initial_events));
    respond(200, ResponseBody::Watch(receiver))
}

impl Call {
    /// Whether a watch covers the object.
    fn selects(&self, (resource, name): &Key) -> bool {
        *resource == self.resource
            && self
                .name_selector
                .as_ref()
                .is_none_or(|selected| selected == name)
    }
}

/// State of an open watch.
struct Watcher {
    call: Call,
    shared: Arc<Shared>,
    /// `State::watch_epoch` when the watch started.
    watch_epoch: u64,
    /// Version up to which all changes have been sent.
    sent_version: u64,
    sender: mpsc::Sender<Value>,
}

impl Watcher {
    /// Sends `initial_events`, then changes and bookmarks until the watch ends.
    async fn run(mut self, initial_events: Vec<Value>) {
        let end = Instant::now() + self.call.watch_timeout;
        let mut changed = self.shared.changed.subscribe();
        let mut mode = self.shared.mode.subscribe();
        let mut bookmark = tokio::time::interval(BOOKMARK_INTERVAL);
        bookmark.reset();
        for event in initial_events {
            if self.sender.send(event).await.is_err() {
                return;
            }
        }
        loop {
            let _ = mode.wait_for(|mode| *mode != Mode::Hanging).await;
            changed.mark_unchanged();
            if !self.send_changes().await {
                return;
            }
            tokio::select! {
                _ = changed.changed() => {}
                _ = self.sender.closed() => return,
                _ = bookmark.tick() => self.send_bookmark().await,
                _ = tokio::time::sleep_until(end) => {
                    self.send_bookmark().await;
                    return;
                }
            }
        }
    }

    /// Sends the changes since `sent_version`; returns false if the watch has to end. If the
    /// history doesn't reach back to that version, it sends an `ERROR` event with code 410.
    async fn send_changes(&mut self) -> bool {
        let events = {
            let state = self.shared.state.lock().unwrap();
            if state.watch_epoch != self.watch_epoch {
                return false;
            }
            if self.sent_version < state.objects.oldest_version() {
                Err(ApiError::expired(self.sent_version))
            } else {
                let events: Vec<Value> = state
                    .objects
                    .history
                    .iter()
                    .skip((self.sent_version - state.objects.oldest_version()) as usize)
                    .filter(|event| self.call.selects(&event.key))
                    .map(objects::Event::to_watch_event)
                    .collect();
                self.sent_version = state.objects.version;
                Ok(events)
            }
        };
        let events = match events {
            Ok(events) => events,
            Err(error) => {
                let event = json!({"type": "ERROR", "object": error.status()});
                let _ = self.sender.send(event).await;
                return false;
            }
        };
        for event in events {
            if self.sender.send(event).await.is_err() {
                return false;
            }
        }
        true
    }

    /// Sends a bookmark with `sent_version` if the call allows bookmarks.
    async fn send_bookmark(&mut self) {
        if !self.call.sends_bookmarks {
            return;
        }
        let bookmark = json!({
            "type": "BOOKMARK",
            "object": {
                "apiVersion": API_VERSION,
                "kind": self.call.resource.kind(),
                "metadata": {"resourceVersion": self.sent_version.to_string()},
            },
        });
        let _ = self.sender.send(bookmark).await;
    }
}

/// Body of a response: complete, or the events of a watch, one JSON object a line.
enum ResponseBody {
    Complete(Full<Bytes>),
    Watch(mpsc::Receiver<Value>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            Self::Complete(body) => Pin::new(body).poll_frame(context),
            Self::Watch(events) => events
                .poll_recv(context)
                .map(|event| event.map(|event| Ok(Frame::data(json_line(&event))))),
        }
    }
}

/// Encodes an event as JSON with a newline.
fn json_line(event: &Value) -> Bytes {
    let mut bytes = event.to_string().into_bytes();
    bytes.push(b'\n');
    bytes.into()
}

fn success(code: u16, value: &Value) -> Response<ResponseBody> {
    respond(
        code,
        ResponseBody::Complete(Full::new(value.to_string().into_bytes().into())),
    )
}

/// Answers with the Status object of an error.
fn failure(error: &ApiError) -> Response<ResponseBody> {
    let mut response = success(error.code, &error.status());
    if error.code == 429 {
        response
            .headers_mut()
            .insert(RETRY_AFTER, HeaderValue::from_static(RETRY_AFTER_SECONDS));
    }
    response
}

/// Builds a response with the JSON content type.
fn respond(code: u16, body: ResponseBody) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(code).expect("codes are valid");
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

//! HTTP client of the store.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{header, Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{json, Value as Json};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::store::{
    event_from_json, list_from_json, names_from_json, Answer, Call, Collection, Error, Key, Object,
    Operation, Outcome, Value, Version, BASE_PATH, NAMES_MAX,
};

/// Time limit for connecting, for a whole call other than a watch, and for the response header of a
/// watch.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest response body, and largest line of a watch. A list of the domain objects of the target
/// system fits.
const BODY_MAX_BYTES: usize = 64 << 20;
/// Time after the timeout of a watch at which the client ends it if the store hasn't.
const WATCH_GRACE: Duration = Duration::from_secs(5);
/// Idle connections kept for the next calls.
const IDLE_CONNECTIONS_MAX: usize = 4;

/// `Accept` header for a list with the metadata of the objects only. A service that doesn't support
/// it answers with whole objects.
const ACCEPT_NAMES: &str =
    "application/json;as=PartialObjectMetadataList;g=meta.k8s.io;v=v1,application/json";
/// Annotation that differs in each renewal of an object, because a write without a change would
/// keep the object's version.
const RENEWAL_ANNOTATION: &str = "flamingofall.io/renewal";

type Connection = SendRequest<Full<Bytes>>;

/// A client of one store, which reuses its connections. Calls can run concurrently.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
}

impl Client {
    /// Creates a client of the store at `address`. It connects at the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Mutex::default(),
        }
    }

    /// Makes a call and sends its answers to `answers`. Returns after the last one was sent.
    pub async fn call(&self, call: Call, answers: &mpsc::Sender<Answer>) {
        let id = call.id;
        let result = match call.operation {
            Operation::Watch {
                collection,
                since,
                timeout,
            } => self.watch(id, collection, since, timeout, answers).await,
            operation => self.exchange(operation).await,
        };
        // The receiver is gone only when the process is stopping.
        let _ = answers.send(Answer { id, result }).await;
    }

    async fn exchange(&self, operation: Operation) -> Result<Outcome, Error> {
        let reads = matches!(
            operation,
            Operation::Get(_) | Operation::List(_) | Operation::ListNames(_)
        );
        let result = timeout(CALL_TIMEOUT, self.exchange_without_timeout(operation)).await;
        match result.unwrap_or(Err(Error::Lost)) {
            Err(Error::Lost) if reads => Err(Error::Unavailable),
            result => result,
        }
    }

    async fn exchange_without_timeout(&self, operation: Operation) -> Result<Outcome, Error> {
        match operation {
            Operation::Get(key) => {
                let request = build_request(Method::GET, &object_path(&key), None)?;
                self.send_for_object(key.collection(), request, Error::Conflict)
                    .await
            }
            Operation::Create(key, value) => {
                let collection = key.collection();
                let body = object_body(key, value, Version::default());
                let request =
                    build_request(Method::POST, &collection_path(collection), Some(body))?;
                self.send_for_object(collection, request, Error::Exists)
                    .await
            }
            Operation::Update(key, value, version) => {
                let (collection, path) = (key.collection(), object_path(&key));
                let request =
                    build_request(Method::PUT, &path, Some(object_body(key, value, version)))?;
                self.send_for_object(collection, request, Error::Conflict)
                    .await
            }
            Operation::Renew(key, value, version, number) => {
                let (collection, path) = (key.collection(), object_path(&key));
                let body = renewal_body(key, value, version, number);
                let request = build_request(Method::PUT, &path, Some(body))?;
                self.send_for_object(collection, request, Error::Conflict)
                    .await
            }
            Operation::Delete(key, version) => {
                let request = build_request(
                    Method::DELETE,
                    &object_path(&key),
                    version.map(delete_options_body),
                )?;
                self.send_for_json(request, Error::Conflict).await?;
                Ok(Outcome::Removed)
            }
            Operation::ListNames(collection) => {
                let path = format!("{}?limit={NAMES_MAX}", collection_path(collection));
                let mut request = build_request(Method::GET, &path, None)?;
                let accept = header::HeaderValue::from_static(ACCEPT_NAMES);
                request.headers_mut().insert(header::ACCEPT, accept);
                let json = self.send_for_json(request, Error::Conflict).await?;
                names_from_json(collection, &json)
            }
            Operation::List(collection) => {
                let request = build_request(Method::GET, &collection_path(collection), None)?;
                let json = self.send_for_json(request, Error::Conflict).await?;
                list_from_json(collection, &json)
            }
            Operation::Watch { .. } => Err(Error::Invalid),
        }
    }

    async fn send_for_object(
        &self,
        collection: Collection,
        request: Request<Full<Bytes>>,
        on_409: Error,
    ) -> Result<Outcome, Error> {
        let json = self.send_for_json(request, on_409).await?;
        Object::from_json(collection, &json).map(Outcome::Object)
    }

    async fn send_for_json(
        &self,
        request: Request<Full<Bytes>>,
        on_409: Error,
    ) -> Result<Json, Error> {
        let mut connection = self.connection().await?;
        let response = send(&mut connection, request).await?;
        let status = check_status(response.status(), on_409);
        // The connection can be reused only after the body was read to its end.
        let bytes = read_body(response).await?;
        self.keep_idle_connection(connection);
        status?;
        serde_json::from_slice(&bytes).map_err(|_| Error::Invalid)
    }

    async fn watch(
        &self,
        id: u64,
        collection: Collection,
        since: Version,
        limit: Duration,
        answers: &mpsc::Sender<Answer>,
    ) -> Result<Outcome, Error> {
        let path = format!(
            "{}?watch=1&allowWatchBookmarks=true&resourceVersion={}&timeoutSeconds={}",
            collection_path(collection),
            since.0,
            limit.as_secs()
        );
        let request = build_request(Method::GET, &path, None)?;
        let stream = self.stream(id, collection, request, answers);
        // The timeout ends a watch on a connection that is dead but was never closed.
        match timeout(limit + WATCH_GRACE, stream).await {
            Ok(Err(Error::Lost)) | Err(_) => Ok(Outcome::Ended),
            Ok(result) => result,
        }
    }

    async fn stream(
        &self,
        id: u64,
        collection: Collection,
        request: Request<Full<Bytes>>,
        answers: &mpsc::Sender<Answer>,
    ) -> Result<Outcome, Error> {
        let mut connection = self.connection().await?;
        let mut response = timeout(CALL_TIMEOUT, send(&mut connection, request))
            .await
            .map_err(|_| Error::Unavailable)??;
        check_watch_status(response.status())?;
        let mut pending = Vec::new();
        while let Some(frame) = response.frame().await {
            let Ok(data) = frame.map_err(|_| Error::Lost)?.into_data() else {
                continue;
            };
            pending.extend_from_slice(&data);
            while let Some(end) = pending.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = pending.drain(..=end).collect();
                let json = serde_json::from_slice(&line).map_err(|_| Error::Invalid)?;
                if let Some(outcome) = event_from_json(collection, &json)? {
                    let result = Ok(outcome);
                    let _ = answers.send(Answer { id, result }).await;
                }
            }
            if pending.len() > BODY_MAX_BYTES {
                return Err(Error::Invalid);
            }
        }
        Ok(Outcome::Ended)
    }

    async fn connection(&self) -> Result<Connection, Error> {
        while let Some(connection) = self.take_idle_connection() {
            if connection.is_ready() {
                return Ok(connection);
            }
        }
        let connect = async {
            let stream = TcpStream::connect(self.address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            http1::handshake(TokioIo::new(stream)).await.ok()
        };
        let (sender, driver) = timeout(CALL_TIMEOUT, connect)
            .await
            .ok()
            .flatten()
            .ok_or(Error::Unavailable)?;
        tokio::spawn(async move {
            if let Err(error) = driver.await {
                log::debug!("event=store-connection-closed error={error}");
            }
        });
        Ok(sender)
    }

    fn take_idle_connection(&self) -> Option<Connection> {
        self.idle.lock().expect("no panic under this lock").pop()
    }

    fn keep_idle_connection(&self, connection: Connection) {
        let mut idle = self.idle.lock().expect("no panic under this lock");
        if idle.len() < IDLE_CONNECTIONS_MAX {
            idle.push(connection);
        }
    }
}

fn collection_path(collection: Collection) -> String {
    format!("{BASE_PATH}/{collection}")
}

fn object_path(key: &Key) -> String {
    format!("{BASE_PATH}/{key}")
}

fn object_body(key: Key, value: Value, version: Version) -> Vec<u8> {
    let object = Object {
        key,
        version,
        value,
    };
    object.to_json().to_string().into_bytes()
}

fn renewal_body(key: Key, value: Value, version: Version, number: u64) -> Vec<u8> {
    let object = Object {
        key,
        version,
        value,
    };
    let mut json = object.to_json();
    json["metadata"]["annotations"] = json!({ RENEWAL_ANNOTATION: number.to_string() });
    json.to_string().into_bytes()
}

/// The body of a delete request that fails unless the object has this version.
fn delete_options_body(version: Version) -> Vec<u8> {
    let options = json!({
        "apiVersion": "v1",
        "kind": "DeleteOptions",
        "preconditions": { "resourceVersion": version.0 },
    });
    options.to_string().into_bytes()
}

fn build_request(
    method: Method,
    path: &str,
    body: Option<Vec<u8>>,
) -> Result<Request<Full<Bytes>>, Error> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, "store")
        .header(header::ACCEPT, "application/json")
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body.unwrap_or_default())))
        .map_err(|_| Error::Invalid)
}

async fn send(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, Error> {
    let sent = connection.send_request(request).await;
    sent.map_err(|error| match error.is_canceled() {
        true => Error::Unavailable,
        false => Error::Lost,
    })
}

async fn read_body(response: Response<Incoming>) -> Result<Bytes, Error> {
    let limited = http_body_util::Limited::new(response.into_body(), BODY_MAX_BYTES);
    let body = limited.collect().await.map_err(|_| Error::Lost)?;
    Ok(body.to_bytes())
}

fn check_status(status: StatusCode, on_409: Error) -> Result<(), Error> {
    Err(match status {
        status if status.is_success() => return Ok(()),
        StatusCode::CONFLICT => on_409,
        StatusCode::NOT_FOUND => Error::NotFound,
        StatusCode::GONE => Error::Expired,
        StatusCode::TOO_MANY_REQUESTS => Error::Throttled,
        StatusCode::SERVICE_UNAVAILABLE => Error::Unavailable,
        // A server or gateway that returns an error may still have carried out the write.
        status if status.is_server_error() => Error::Lost,
        _ => Error::Invalid,
    })
}

/// Maps the status of a watch. A watch that is rejected for another reason than load or
/// unavailability can't continue from its version: API servers answer 410 if the version is too
/// old, and 504 if it is newer than their own.
fn check_watch_status(status: StatusCode) -> Result<(), Error> {
    check_status(status, Error::Expired).map_err(|error| match error {
        Error::Throttled | Error::Unavailable => error,
        _ => Error::Expired,
    })
}

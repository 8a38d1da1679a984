//! Tests of the stand-in for the platform's object store.

use std::time::{Duration, Instant};

use flamingofall_standins::http::{self, Answer, Lines};
use flamingofall_standins::store::{Limits, Mode, Resource, Store, Verb, MAX_BODY_BYTES};
use hyper::Method;
use serde_json::{json, Value};
use yare::parameterized;

/// Longest wait for the answer to a call or for the next event of a watch.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Delay of faults, timeout of calls that must get no answer, and pause after a change of mode.
const SHORT_DELAY: Duration = Duration::from_millis(200);

async fn start_store() -> Store {
    Store::start(1).await.unwrap()
}

async fn call(store: &Store, method: Method, name: &str, body: &Value) -> Answer {
    try_call(store, method, name, body, TIMEOUT).await.unwrap()
}

async fn try_call(
    store: &Store,
    method: Method,
    name: &str,
    body: &Value,
    timeout: Duration,
) -> std::io::Result<Answer> {
    let url = store.url(Resource::Heads, name);
    let body = match body {
        Value::Null => String::new(),
        body => body.to_string(),
    };
    http::call(method, &url, body, timeout).await
}

async fn create(store: &Store, name: &str) -> Answer {
    call(store, Method::POST, "", &head(name, 1, None)).await
}

async fn update(store: &Store, generation: u64, version: &str) -> Answer {
    let body = head("main", generation, Some(version));
    call(store, Method::PUT, "main", &body).await
}

async fn read(store: &Store) -> Answer {
    call(store, Method::GET, "main", &Value::Null).await
}

async fn watch(store: &Store, query: &str) -> Lines {
    let url = format!("{}?watch=1&{query}", store.url(Resource::Heads, ""));
    Lines::get(&url).await.unwrap()
}

/// Receives the next event of a watch; returns its type and its object's name and version.
async fn next_event(lines: &mut Lines) -> (String, String, String) {
    let next = tokio::time::timeout(TIMEOUT, lines.next()).await.unwrap();
    let event = next.unwrap().unwrap();
    let text = |value: &Value| value.as_str().unwrap_or("").to_owned();
    let metadata = &event["object"]["metadata"];
    (
        text(&event["type"]),
        text(&metadata["name"]),
        text(&metadata["resourceVersion"]),
    )
}

fn expected(kind: &str, name: &str, version: &str) -> (String, String, String) {
    (kind.to_owned(), name.to_owned(), version.to_owned())
}

fn head(name: &str, generation: u64, version: Option<&str>) -> Value {
    let mut object = json!({"metadata": {"name": name}, "spec": {"generation": generation}});
    if let Some(version) = version {
        object["metadata"]["resourceVersion"] = json!(version);
    }
    object
}

/// Checks that an answer is a Status object with the answer's HTTP status code; returns the code
/// and the reason.
fn error_status(answer: &Answer) -> (u16, String) {
    let body = answer.json();
    assert_eq!(body["kind"], "Status");
    assert_eq!(body["code"], answer.status);
    (answer.status, body["reason"].as_str().unwrap().to_owned())
}

/// Guards against updates that are applied although they carry an outdated version.
#[tokio::test]
async fn conditional_update() {
    let store = start_store().await;
    assert_eq!(create(&store, "main").await.status, 201);
    let again = create(&store, "main").await;
    assert_eq!(error_status(&again), (409, "AlreadyExists".to_owned()));
    assert_eq!(update(&store, 2, "1").await.status, 200);
    let outdated = update(&store, 3, "1").await;
    assert_eq!(error_status(&outdated), (409, "Conflict".to_owned()));
    let object = read(&store).await.json();
    let expected_object = json!({
        "apiVersion": "flamingofall.io/v1",
        "kind": "Head",
        "metadata": {"name": "main", "resourceVersion": "2"},
        "spec": {"generation": 2},
    });
    assert_eq!(object, expected_object);
    assert_eq!(store.calls()[&(Verb::Update, Resource::Heads)], 2);
}

/// Guards against deletes that ignore their version precondition, and lists without the version
/// that a watch can continue from.
#[tokio::test]
async fn list_delete() {
    let store = start_store().await;
    create(&store, "a").await;
    create(&store, "b").await;
    let outdated = json!({"preconditions": {"resourceVersion": "7"}});
    let refused = call(&store, Method::DELETE, "a", &outdated).await;
    assert_eq!(error_status(&refused), (409, "Conflict".to_owned()));
    let deleted = call(&store, Method::DELETE, "a", &Value::Null).await;
    assert_eq!(deleted.json()["status"], "Success");
    let list = call(&store, Method::GET, "", &Value::Null).await.json();
    assert_eq!(list["kind"], "HeadList");
    assert_eq!(list["metadata"]["resourceVersion"], "3");
    assert_eq!(list["items"].as_array().unwrap().len(), 1);
}

/// Guards against invalid calls that get the wrong error code or change the objects.
#[parameterized(
    unknown = { Method::GET, "main", Value::Null, 404, "NotFound" },
    unknown_update = { Method::PUT, "main", head("main", 1, Some("1")), 404, "NotFound" },
    no_name = { Method::POST, "", json!({"spec": {}}), 422, "Invalid" },
    no_json = { Method::POST, "", json!("text"), 400, "BadRequest" },
    other_name = { Method::PUT, "main", head("other", 1, Some("1")), 400, "BadRequest" },
    versioned_create = { Method::POST, "", head("main", 1, Some("1")), 400, "BadRequest" },
    method = { Method::PATCH, "main", json!({}), 405, "MethodNotAllowed" },
    too_large = { Method::POST, "", json!({"spec": "x".repeat(MAX_BODY_BYTES)}), 413, "RequestEntityTooLarge" },
)]
#[test_macro(tokio::test)]
async fn refused_call(method: Method, name: &str, body: Value, code: u16, reason: &str) {
    let store = start_store().await;
    let answer = call(&store, method, name, &body).await;
    assert_eq!(error_status(&answer), (code, reason.to_owned()));
    assert_eq!(store.version(), 0);
}

/// Guards against an update that carries no version and overwrites the object unconditionally.
#[tokio::test]
async fn unconditional_update() {
    let store = start_store().await;
    create(&store, "main").await;
    let answer = call(&store, Method::PUT, "main", &head("main", 2, None)).await;
    assert_eq!(error_status(&answer), (422, "Invalid".to_owned()));
}

/// Guards against watches that lose, repeat or reorder events, whether they start at a version or
/// with the current objects.
#[tokio::test]
async fn watch_events() {
    let store = start_store().await;
    create(&store, "main").await;
    let mut from_version = watch(&store, "resourceVersion=1").await;
    let mut from_now = watch(&store, "").await;
    update(&store, 2, "1").await;
    call(&store, Method::DELETE, "main", &Value::Null).await;
    assert_eq!(
        next_event(&mut from_now).await,
        expected("ADDED", "main", "1")
    );
    for lines in [&mut from_version, &mut from_now] {
        assert_eq!(next_event(lines).await, expected("MODIFIED", "main", "2"));
        assert_eq!(next_event(lines).await, expected("DELETED", "main", "3"));
    }
    assert_eq!(store.calls()[&(Verb::Watch, Resource::Heads)], 2);
}

/// Guards against watches that outlast their timeout, and watches that send no bookmark with the
/// version they have reached.
#[tokio::test]
async fn watch_timeout() {
    let store = start_store().await;
    create(&store, "main").await;
    let query = "resourceVersion=1&timeoutSeconds=1&allowWatchBookmarks=true";
    let mut lines = watch(&store, query).await;
    assert_eq!(next_event(&mut lines).await, expected("BOOKMARK", "", "1"));
    let mut end = tokio::time::timeout(TIMEOUT, lines.next()).await.unwrap();
    // The periodic bookmark and the one at the end fall due at the same time, so both may arrive.
    if end.as_ref().is_ok_and(Option::is_some) {
        end = tokio::time::timeout(TIMEOUT, lines.next()).await.unwrap();
    }
    assert!(end.unwrap().is_none());
}

/// Guards against a watch that silently skips changes that are no longer in the history, and one
/// that accepts a version that doesn't exist yet.
#[tokio::test]
async fn watch_too_old() {
    let store = start_store().await;
    create(&store, "main").await;
    update(&store, 2, "1").await;
    store.compact();
    assert_eq!(watch(&store, "resourceVersion=1").await.status, 410);
    assert_eq!(watch(&store, "resourceVersion=2").await.status, 200);
    assert_eq!(watch(&store, "resourceVersion=9").await.status, 504);
}

/// Guards against a store that answers or keeps watches open while it refuses connections, and
/// against a changed address afterwards.
#[tokio::test]
async fn refusing() {
    let store = start_store().await;
    create(&store, "main").await;
    let mut lines = watch(&store, "resourceVersion=1").await;
    store.set_mode(Mode::Refusing);
    assert!(lines.next().await.is_err());
    let error = try_call(&store, Method::GET, "main", &Value::Null, TIMEOUT).await;
    assert_eq!(
        error.unwrap_err().kind(),
        std::io::ErrorKind::ConnectionRefused
    );
    store.set_mode(Mode::Up);
    tokio::time::sleep(SHORT_DELAY).await;
    assert_eq!(read(&store).await.status, 200);
}

/// Guards against calls that are answered while the store hangs, and calls that stay unanswered
/// when it resumes.
#[tokio::test]
async fn hanging() {
    let store = start_store().await;
    create(&store, "main").await;
    store.set_mode(Mode::Hanging);
    let error = try_call(&store, Method::GET, "main", &Value::Null, SHORT_DELAY).await;
    assert_eq!(error.unwrap_err().kind(), std::io::ErrorKind::TimedOut);
    let resumed = async {
        tokio::time::sleep(SHORT_DELAY).await;
        store.set_mode(Mode::Up);
    };
    let (answer, ()) = tokio::join!(read(&store), resumed);
    assert_eq!(answer.status, 200);
}

/// Guards against answers that arrive before the configured delay.
#[tokio::test]
async fn delayed() {
    let store = start_store().await;
    store.set_delay(SHORT_DELAY, Duration::ZERO);
    let began = Instant::now();
    create(&store, "main").await;
    assert!(began.elapsed() >= SHORT_DELAY);
}

/// Guards against a lost-answer fault that also loses the write, that answers the call, or that
/// affects more calls than configured.
#[tokio::test]
async fn lost_answer() {
    let store = start_store().await;
    create(&store, "main").await;
    store.lose_answers(1);
    let body = head("main", 2, Some("1"));
    let answer = try_call(&store, Method::PUT, "main", &body, TIMEOUT).await;
    assert!(answer.is_err());
    assert_eq!(read(&store).await.json()["spec"]["generation"], 2);
    assert_eq!(update(&store, 3, "2").await.status, 200);
    store.set_answer_loss_probability(1.0);
    let body = head("main", 4, Some("3"));
    let answer = try_call(&store, Method::PUT, "main", &body, TIMEOUT).await;
    assert!(answer.is_err());
    assert_eq!(store.version(), 4);
}

/// Guards against reads that return the current state although they are frozen or set to lag, and
/// reads that stay stale after the fault is cleared.
#[tokio::test]
async fn stale_reads() {
    let store = start_store().await;
    create(&store, "main").await;
    store.freeze_reads();
    update(&store, 2, "1").await;
    update(&store, 3, "2").await;
    assert_eq!(read(&store).await.json()["spec"]["generation"], 1);
    store.set_stale(1);
    let list = call(&store, Method::GET, "", &Value::Null).await.json();
    assert_eq!(list["metadata"]["resourceVersion"], "2");
    store.clear_stale();
    assert_eq!(read(&store).await.json()["spec"]["generation"], 3);
}

/// Guards against writes above the rate limit that aren't rejected, rejected ones that take
/// effect, and a limit on writes that affects reads.
#[tokio::test]
async fn rate_limit() {
    let store = start_store().await;
    store.set_limits(Some(Limits {
        writes: 2,
        reads: 100,
    }));
    create(&store, "a").await;
    create(&store, "b").await;
    let refused = create(&store, "c").await;
    assert_eq!(error_status(&refused), (429, "TooManyRequests".to_owned()));
    assert_eq!(refused.headers["retry-after"], "1");
    assert_eq!(
        call(&store, Method::GET, "a", &Value::Null).await.status,
        200
    );
    assert_eq!(store.version(), 2);
    store.set_limits(None);
    assert_eq!(create(&store, "c").await.status, 201);
}

/// Guards against a restore that keeps later changes or open watches, or that doesn't reuse the
/// later version numbers.
#[tokio::test]
async fn restored() {
    let store = start_store().await;
    create(&store, "main").await;
    update(&store, 2, "1").await;
    create(&store, "other").await;
    let mut lines = watch(&store, "resourceVersion=3").await;
    store.restore(1);
    assert!(lines.next().await.unwrap().is_none());
    assert_eq!(read(&store).await.json()["spec"]["generation"], 1);
    assert!(store.object(Resource::Heads, "other").is_none());
    let updated = update(&store, 5, "1").await.json();
    assert_eq!(updated["metadata"]["resourceVersion"], "2");
}

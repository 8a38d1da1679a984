//! Tests of the harness for child processes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use flamingofall_standins::harness::{self, Harness, Process, Program, SETTINGS};
use flamingofall_standins::http;
use flamingofall_standins::store::BASE_PATH;
use hyper::Method;
use serde_json::json;
use yare::parameterized;

const TIMEOUT: Duration = Duration::from_secs(10);

/// Starts the object service and waits until it is ready; returns it with the URL of a resource
/// type.
async fn start(harness: &Harness) -> (Process, String) {
    let program = Program::new("store", env!("CARGO_BIN_EXE_flamingofall-store"))
        .argument(SETTINGS)
        .settings(&json!({"seed": 1}));
    let process = harness.start(&program).unwrap();
    let line = process
        .wait_line(TIMEOUT, |line| line.get("event") == Some("listening"))
        .await
        .unwrap();
    let address = line.get("address").unwrap();
    let url = format!("http://{address}{BASE_PATH}heads");
    process.wait_ready(&url, TIMEOUT).await.unwrap();
    (process, url)
}

async fn answers(url: &str) -> bool {
    let timeout = Duration::from_millis(300);
    http::call(Method::GET, url, "", timeout).await.is_ok()
}

/// Guards against a suspended process that still answers, and against one that is not resumed.
#[tokio::test]
async fn freeze_thaw() {
    let harness = Harness::new().unwrap();
    let (process, url) = start(&harness).await;
    process.freeze().unwrap();
    assert!(!answers(&url).await);
    process.thaw().unwrap();
    process.wait_ready(&url, TIMEOUT).await.unwrap();
}

/// Guards against lost log lines and a wrong exit status after a graceful shutdown.
#[tokio::test]
async fn graceful_end() {
    let harness = Harness::new().unwrap();
    let (process, _) = start(&harness).await;
    process.terminate().unwrap();
    assert!(process.wait(TIMEOUT).await.unwrap().success());
    let stopped = process
        .wait_line(TIMEOUT, |line| line.get("event") == Some("stopped"))
        .await;
    assert!(stopped.is_ok());
    assert_eq!(process.count("event")["listening"], 1);
    assert!(process.terminate().is_err());
}

/// Guards against child processes that outlive a test, here a suspended one.
#[tokio::test]
async fn killed_on_drop() {
    let harness = Harness::new().unwrap();
    let (process, url) = start(&harness).await;
    process.freeze().unwrap();
    let began = Instant::now();
    drop(process);
    assert!(began.elapsed() < TIMEOUT);
    assert!(!answers(&url).await);
}

/// Guards against waiting for the readiness of a program that has already exited.
#[tokio::test]
async fn ended_early() {
    let harness = Harness::new().unwrap();
    let program = Program::new("store", env!("CARGO_BIN_EXE_flamingofall-store"));
    let process = harness.start(&program).unwrap();
    let url = "http://127.0.0.1:1/";
    let error = process.wait_ready(url, TIMEOUT).await.unwrap_err();
    assert!(error.to_string().contains("store ended with"));
}

#[parameterized(
    plain = { "a=1 b=two", &[("a", "1"), ("b", "two")] },
    prefixed = { "[INFO agent] event=owned flow=tcp/10.0.0.1:1>10.0.0.2:2", &[("event", "owned"), ("flow", "tcp/10.0.0.1:1>10.0.0.2:2")] },
    quoted = { r#"error="no \"such\" file" code=2"#, &[("error", r#"no "such" file"#), ("code", "2")] },
    none = { "no pairs here", &[] },
)]
fn log_fields(text: &str, expected: &[(&str, &str)]) {
    let expected: BTreeMap<String, String> = expected
        .iter()
        .map(|(key, value)| (key.to_string(), value.to_string()))
        .collect();
    assert_eq!(harness::fields(text), expected);
}

/// Guards against the same address being returned for two programs.
#[test]
fn distinct_addresses() {
    let first = harness::free_address().unwrap();
    let second = harness::free_address().unwrap();
    assert!(first.ip().is_loopback() && second.ip().is_loopback());
    assert_ne!(first, second);
}

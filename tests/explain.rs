//! Tests of timelines of flows and members that are merged from the logs of several processes.

use std::time::Duration;

use flamingofall::cli::{self, Exit};
use flamingofall::explain::{timeline, Entry, Line, DEFAULT_CONTEXT_MARGIN};
use yare::parameterized;

const FLOW: &str = "tcp/100.64.0.27:1047>198.18.0.1:8080";

const EDGE: &str = "\
time=100.500 level=info event=started host=edge-1 zone=a
time=101.000 level=info event=member agent=10.1.0.12:8352 server=s1 state=ready direct=true
time=101.001 level=info event=member agent=10.1.0.99:8352 server=s9 state=ready direct=true
time=130.826 level=info decision=placed flow=tcp/100.64.0.27:1047>198.18.0.1:8080 agent=10.1.0.12:8352 copy=2
time=130.830 level=info decision=placed flow=tcp/100.64.0.28:1047>198.18.0.1:8080 agent=10.1.0.12:8352 copy=0
time=130.843 level=info decision=reset flow=tcp/100.64.0.27:1047>198.18.0.1:8080 reason=no_server_accepts agents=10
";
const SIDE: &str = "\
time=127.000 level=warn event=store_call_failed call=flows reason=\"timed out after 1s\" retry_ms=100
time=130.827 level=info decision=passed flow=tcp/100.64.0.27:1047>198.18.0.1:8080 to=10.1.0.13:8352 reason=busy
not a log line
";

fn lines() -> Vec<Line> {
    let read = |node: &'static str, log: &'static str| {
        log.lines().filter_map(move |line| Line::parse(node, line))
    };
    read("side-1", SIDE).chain(read("edge-1", EDGE)).collect()
}

fn texts(timeline: &[Entry]) -> Vec<&str> {
    timeline
        .iter()
        .map(|entry| entry.line.text.as_str())
        .collect()
}

// Guards against a timeline that contains decisions about other flows, or that is not ordered by
// time.
#[test]
fn flow_merged() {
    let timeline = timeline(lines(), FLOW, DEFAULT_CONTEXT_MARGIN);
    let direct: Vec<_> = timeline.iter().filter(|entry| entry.direct).collect();
    let nodes: Vec<_> = direct
        .iter()
        .map(|entry| entry.line.node.as_str())
        .collect();
    assert_eq!(nodes, ["edge-1", "side-1", "edge-1"]);
    assert!(direct.iter().all(|entry| entry.line.text.contains(FLOW)));
    assert_eq!(direct[0].offset, 0.0);
}

// Guards against a timeline without the cause: events of the processes involved shortly before the
// first line about the flow.
#[test]
fn context_near() {
    let near = timeline(lines(), FLOW, DEFAULT_CONTEXT_MARGIN);
    assert!(texts(&near)[0].contains("store_call_failed"), "{near:?}");
    assert_eq!(near.len(), 4);
    let wide = timeline(lines(), FLOW, Duration::from_secs(60));
    let wide = texts(&wide).join("\n");
    assert!(wide.contains("event=started") && wide.contains("server=s1"));
    assert!(!wide.contains("server=s9"), "{wide}");
}

#[test]
fn member_timeline() {
    let timeline = timeline(lines(), "10.1.0.12:8352", DEFAULT_CONTEXT_MARGIN);
    let direct: Vec<_> = timeline.iter().filter(|entry| entry.direct).collect();
    assert_eq!(direct.len(), 1, "{timeline:?}");
    assert_eq!(direct[0].line.get("server"), Some("s1"));
}

#[parameterized(
    bare = { "time=1.5 level=info event=stopped", Some("n") },
    named = { "edge-a-1 time=1.5 level=info event=stopped", Some("edge-a-1") },
    stamped = { "  12.250 [edge-a-1] time=1.5 level=info event=stopped", Some("edge-a-1") },
    no_time = { "level=info event=stopped", None },
    bad_time = { "time=soon event=stopped", None },
)]
fn line_read(text: &str, node: Option<&str>) {
    let line = Line::parse("n", text);
    assert_eq!(line.as_ref().map(|line| line.node.as_str()), node);
    if let Some(line) = line {
        assert_eq!((line.time, line.get("event")), (1.5, Some("stopped")));
    }
}

// Guards against a quoted value with spaces or "=" that hides the pairs after it.
#[test]
fn quoted_values() {
    let text = r#"time=1 event=failed reason="no route to a=b" retry_ms=100"#;
    let line = Line::parse("n", text).unwrap();
    assert_eq!(line.get("reason"), Some("no route to a=b"));
    assert_eq!(line.get("retry_ms"), Some("100"));
}

async fn run(arguments: &[&str]) -> (Exit, String) {
    let arguments = [&["flamingofall", "explain"], arguments].concat();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = cli::run(&arguments, &mut out, &mut err).await;
    out.extend(err);
    (exit, String::from_utf8(out).unwrap())
}

#[tokio::test]
async fn command_line() {
    let directory = tempfile::tempdir().unwrap();
    let [edge, side] = ["edge-1.log", "side-1.log"].map(|name| directory.path().join(name));
    std::fs::write(&edge, EDGE).unwrap();
    std::fs::write(&side, SIDE).unwrap();
    let [edge, side] = [edge, side].map(|path| path.display().to_string());

    let (exit, text) = run(&[FLOW, &edge, &side]).await;
    assert_eq!(exit, Exit::Success, "{text}");
    assert_eq!(text.lines().count(), 4, "{text}");
    assert!(text.contains("*    +0.001 side-1 level=info decision=passed"));

    let (exit, text) = run(&["tcp/192.0.2.1:1>192.0.2.2:2", &edge]).await;
    assert_eq!(exit, Exit::Failure);
    assert!(
        text.contains("none of 6 lines names tcp/192.0.2.1"),
        "{text}"
    );
    let (exit, text) = run(&[FLOW, "missing.log"]).await;
    assert_eq!(exit, Exit::Failure);
    assert!(text.contains("can't read missing.log"), "{text}");
    assert_eq!(run(&[FLOW]).await.0, Exit::Usage);
}

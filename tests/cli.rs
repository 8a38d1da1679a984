//! Tests of the command-line interface against a store that runs in the test process.

use std::future::Future;
use std::path::{Path, PathBuf};
use std::time::Duration;

use flamingofall::cli::{self, Exit};
use flamingofall::id::Generation;
use flamingofall::member::{Record, Role, State};
use flamingofall::store::{Call, Key, Operation, Outcome, Value};
use flamingofall::store_http::Client;
use flamingofall_standins::store::{Mode, Resource, Store, Verb};
use serde_json::Value as Json;
use tokio::sync::mpsc;
use yare::parameterized;

fn with_store<F: Future<Output = ()>>(test: impl FnOnce(Store) -> F) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async { test(Store::start(1).await.unwrap()).await });
}

/// Runs a command line. Returns its exit code and everything that it printed.
async fn run(store: &Store, line: &str) -> (Exit, String) {
    let url = format!("http://{}", store.address());
    let mut arguments = vec!["flamingofall", "--store", &url];
    arguments.extend(line.split_whitespace());
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = cli::run(&arguments, &mut out, &mut err).await;
    out.extend(err);
    (exit, String::from_utf8(out).unwrap())
}

async fn status(store: &Store) -> Json {
    let (exit, text) = run(store, "status --json").await;
    assert_eq!(exit, Exit::Success, "{text}");
    serde_json::from_str(&text).unwrap()
}

fn example(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("examples")
        .join(name);
    path.join("config").display().to_string()
}

fn directory(text: &str) -> (tempfile::TempDir, PathBuf) {
    let directory = tempfile::tempdir().unwrap();
    std::fs::write(directory.path().join("a.json"), text).unwrap();
    let path = directory.path().to_owned();
    (directory, path)
}

/// Writes the records of a domain, as a balancer does.
async fn write_records(store: &Store, records: Vec<Record>) {
    let client = Client::new(store.address());
    let key = Key::Domain("espoo".parse().unwrap());
    let (sender, mut answers) = mpsc::channel(1);
    let operation = Operation::Get(key.clone());
    client.call(Call { id: 1, operation }, &sender).await;
    let value = Value::Domain(records);
    let operation = match answers.recv().await.unwrap().result {
        Ok(Outcome::Object(object)) => Operation::Update(key, value, object.version),
        _ => Operation::Create(key, value),
    };
    client.call(Call { id: 2, operation }, &sender).await;
    answers.recv().await.unwrap().result.unwrap();
}

fn record(member: &str, role: Role, generation: u64) -> Record {
    Record {
        member: member.parse().unwrap(),
        role,
        incarnation: Default::default(),
        sequence: Default::default(),
        state: State::Active,
        domain: "espoo".parse().unwrap(),
        control: "127.10.1.10:7000".parse().unwrap(),
        data: "127.10.1.10:6080".parse().unwrap(),
        service: (role == Role::Agent).then(|| "payout-portal".parse().unwrap()),
        slots: flamingofall::id::Slots(4),
        connections: flamingofall::id::Connections(2000),
        generation: Generation(generation),
        open_flows: None,
        sole_server: None,
    }
}

/// Guards against exit codes other than the documented ones, and against commands that write to the
/// store although they fail or only read.
#[parameterized(
    help = { "--help", Exit::Success, "6 store unavailable" },
    no_command = { "", Exit::Usage, "subcommand" },
    unknown_command = { "deploy x", Exit::Usage, "deploy" },
    bad_duration = { "apply x --wait 5", Exit::Usage, "expected a duration with a unit" },
    no_target = { "drain", Exit::Usage, "expected either --server or --host" },
    two_targets = { "drain --server a --host 192.0.2.1", Exit::Usage, "expected either" },
    bad_host = { "drain --host espoo", Exit::Usage, "host" },
    bad_author = { "apply x --author \u{7}", Exit::Usage, "printable characters" },
    bad_store = { "--store store:80 status", Exit::Usage, "duplicate" },
    not_drained = { "undrain --server payout-1", Exit::Failure, "server payout-1 is not drained" },
    no_directory = { "check /nonexistent", Exit::Invalid, "allowed: a directory with *.json files" },
    unexpected = { "apply EXAMPLE --expect 7", Exit::Conflict, "expected generation 7, but generation 0 by nobody" },
    valid = { "check EXAMPLE", Exit::Success, "valid: 2 services, 4 addresses" },
    difference = { "diff EXAMPLE", Exit::Success, "+ service payout-portal" },
)]
fn exit_codes(line: &str, exit: Exit, expected: &str) {
    with_store(|store| async move {
        let line = line.replace("EXAMPLE", &example("ahjo"));
        let (found, text) = run(&store, &line).await;
        assert_eq!(found, exit, "{text}");
        assert!(text.contains(expected), "{text}");
        assert_eq!(store.version(), 0, "the command wrote to the store");
    });
}

/// Guards against store calls by a command whose configuration files are invalid.
#[test]
fn invalid_files() {
    with_store(|store| async move {
        let (_directory, path) = directory(r#"{ "services": [{ "name": "a", "weight": 0 }] }"#);
        for command in ["check", "diff", "apply"] {
            let (exit, text) = run(&store, &format!("{command} {}", path.display())).await;
            assert_eq!(exit, Exit::Invalid);
            assert!(
                text.contains("a.json:1:41: invalid value 0; allowed: "),
                "{text}"
            );
            assert!(text.contains("missing key \"addresses\""), "{text}");
        }
        assert!(store.calls().is_empty());
    });
}

/// Guards against a new generation when the applied files are already in force.
#[test]
fn apply_twice() {
    with_store(|store| async move {
        let line = format!("apply {} --author eeva", example("ahjo"));
        let (exit, text) = run(&store, &line).await;
        assert_eq!(exit, Exit::Success, "{text}");
        assert!(text.contains("accepted as generation 1, digest "), "{text}");
        let (exit, text) = run(&store, &line).await;
        assert_eq!(exit, Exit::Success, "{text}");
        assert!(
            text.contains("no difference\ngeneration 1 is unchanged"),
            "{text}"
        );
        let found = status(&store).await;
        assert_eq!(found["configuration"]["generation"], 1);
        assert_eq!(found["configuration"]["author"], "eeva");
        assert_eq!(found["services"][0]["name"], "payout-portal");
    });
}

/// Guards against a second generation when the answers to two writes of an apply are lost.
#[test]
fn lost_answers() {
    with_store(|store| async move {
        store.lose_answers(2);
        let (exit, text) = run(&store, &format!("apply {}", example("ahjo"))).await;
        assert_eq!(exit, Exit::Success, "{text}");
        assert_eq!(status(&store).await["configuration"]["generation"], 1);
        // The configuration, two renewals and the head.
        assert_eq!(store.version(), 4);
    });
}

/// Guards against a second generation when the answer to the write of the head is lost.
#[test]
fn lost_head_answer() {
    with_store(|store| async move {
        store.set_delay(Duration::from_millis(50), Duration::ZERO);
        let line = format!("apply {}", example("ahjo"));
        let lose = async {
            while store.version() == 0 {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            store.lose_answers(1);
        };
        let ((exit, text), ()) = tokio::join!(run(&store, &line), lose);
        assert_eq!(exit, Exit::Success, "{text}");
        assert_eq!(status(&store).await["configuration"]["generation"], 1);
        assert_eq!(store.version(), 2);
    });
}

/// Guards against a lost update: of two concurrent applies, the second must fail and name the
/// first.
#[test]
fn racing_operators() {
    with_store(|store| async move {
        // Both applies read the state from before either write.
        store.freeze_reads();
        let line = format!("apply {} --author eeva", example("ahjo"));
        let (exit, text) = run(&store, &line).await;
        assert_eq!(exit, Exit::Success, "{text}");
        let line = format!("apply {} --author ramiro", example("transcripciones"));
        let second = run(&store, &line);
        let thaw = async {
            // The second apply reads the head again after the store rejected its write.
            let key = (Verb::Get, Resource::Heads);
            while store.calls().get(&key).copied().unwrap_or(0) < 3 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
            store.clear_stale();
        };
        let ((exit, text), ()) = tokio::join!(second, thaw);
        assert_eq!(exit, Exit::Conflict, "{text}");
        for part in ["configuration of eeva", "generation 1", "before ramiro"] {
            assert!(text.contains(part), "{text}");
        }
        assert_eq!(status(&store).await["configuration"]["author"], "eeva");
    });
}

/// Guards against a store outage that is reported with another exit code, or without saying that
/// nothing was applied.
#[test]
fn store_outage() {
    with_store(|store| async move {
        store.set_mode(Mode::Refusing);
        for command in ["status".to_owned(), format!("apply {}", example("ahjo"))] {
            let (exit, text) = run(&store, &format!("--deadline 300ms {command}")).await;
            assert_eq!(exit, Exit::Unavailable, "{text}");
            assert!(text.contains("nothing was applied"), "{text}");
        }
    });
}

/// Guards against an apply that reports success before every balancer reports its generation.
#[test]
fn lagging_balancer() {
    with_store(|store| async move {
        let line = format!("apply {} --wait 100ms", example("ahjo"));
        for (generations, exit, expected) in [
            (
                [0, 0],
                Exit::WaitTimeout,
                "not in force on: entry-1 (generation 0), entry-2",
            ),
            ([1, 0], Exit::WaitTimeout, "is in force on 1 of 2 balancers"),
            ([1, 1], Exit::Success, "is in force on 2 of 2 balancers"),
        ] {
            let [first, second] = generations;
            let first = record("entry-1", Role::Balancer, first);
            write_records(
                &store,
                vec![first, record("entry-2", Role::Balancer, second)],
            )
            .await;
            let (found, text) = run(&store, &line).await;
            assert_eq!(found, exit, "{text}");
            assert!(text.contains(expected), "{text}");
            assert_eq!(status(&store).await["balancers"][1]["lag"], 1 - second);
        }
    });
}

/// Guards against a drain that has no effect on the server, or that the next apply removes.
#[test]
fn drain_host() {
    with_store(|store| async move {
        write_records(&store, vec![record("payout-1", Role::Agent, 0)]).await;
        let apply = format!("apply {}", example("ahjo"));
        let undrain = "undrain --host 127.10.1.10";
        for (line, drained) in [
            (apply.as_str(), false),
            ("drain --host 127.10.1.10", true),
            (&apply, true),
            (undrain, false),
        ] {
            let (exit, text) = run(&store, line).await;
            assert_eq!(exit, Exit::Success, "{text}");
            let server = &status(&store).await["servers"][0];
            assert_eq!(
                (&server["drained"], &server["host"]),
                (&drained.into(), &"127.10.1.10".into())
            );
        }
        let (_, text) = run(&store, "drain --server payout-9").await;
        assert!(
            text.contains("warning: no member record names server payout-9"),
            "{text}"
        );
        let (_, table) = run(&store, "status").await;
        assert!(
            table.contains("Drained by command: server payout-9"),
            "{table}"
        );
        let row = "payout-1  payout-portal  espoo   127.10.1.10  active  4      2000         no       -\n";
        assert!(table.contains(row), "{table}");
    });
}

/// Guards against a generation that balancers ignore because they have a higher one, which happens
/// after the store was restored from an older copy.
#[test]
fn restored_store() {
    with_store(|store| async move {
        write_records(&store, vec![record("entry-1", Role::Balancer, 5)]).await;
        let line = format!("apply {} --wait 0s", example("ahjo"));
        let (exit, text) = run(&store, &line).await;
        assert_eq!(exit, Exit::Conflict, "{text}");
        assert!(
            text.contains("balancers report generation 5, but the store has 0"),
            "{text}"
        );
        let (exit, text) = run(&store, &format!("{line} --after-restore")).await;
        assert_eq!(exit, Exit::WaitTimeout, "{text}");
        assert_eq!(status(&store).await["configuration"]["generation"], 6);
    });
}

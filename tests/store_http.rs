//! Tests of the HTTP client of the store against an object service in the test process.

mod driver;

use std::collections::BTreeMap;
use std::time::Duration;

use driver::record;
use flamingofall::id::{Digest, Generation};
use flamingofall::store::{
    Answer, Call, Collection, Error, Head, Key, Operation, Outcome, Value, Version, NAMES_MAX,
};
use flamingofall::store_http::Client;
use flamingofall_standins::store::{Limits, Mode, Store};
use tokio::sync::mpsc;

async fn call(client: &Client, operation: Operation) -> Result<Outcome, Error> {
    let (sender, mut answers) = mpsc::channel(1);
    client.call(Call { id: 7, operation }, &sender).await;
    let answer: Answer = answers.recv().await.unwrap();
    assert_eq!(answer.id, 7);
    answer.result
}

fn version(result: Result<Outcome, Error>) -> Version {
    match result {
        Ok(Outcome::Object(object)) => object.version,
        other => panic!("no object: {other:?}"),
    }
}

fn domain(hosts: u8) -> (Key, Value) {
    let records = (0..hosts).map(|host| record(1, host, u64::MAX)).collect();
    (Key::Domain("d1".parse().unwrap()), Value::Domain(records))
}

fn head(generation: u64) -> Value {
    Value::Head(Head {
        generation: Generation(generation),
        digest: Digest::of(b"text"),
        previous: Some(Digest::of(b"old")),
        author: "operator".into(),
        apply_id: u64::MAX,
        recent: vec![Digest::of(b"old"), Digest::of(b"older")],
    })
}

/// Guards against values that are read back changed, and against failed calls that are reported
/// with the wrong error.
#[tokio::test]
async fn objects() {
    let store = Store::start(1).await.unwrap();
    let client = Client::new(store.address());
    let (key, value) = domain(3);
    let get = || Operation::Get(key.clone());
    assert_eq!(call(&client, get()).await, Err(Error::NotFound));
    let created = call(&client, Operation::Create(key.clone(), value.clone())).await;
    let first = version(created);
    let again = call(&client, Operation::Create(key.clone(), value.clone())).await;
    assert_eq!(again, Err(Error::Exists));
    let (_, larger) = domain(5);
    let update = Operation::Update(key.clone(), larger.clone(), first.clone());
    let second = version(call(&client, update.clone()).await);
    assert_ne!(first, second);
    assert_eq!(call(&client, update).await, Err(Error::Conflict));
    let config = Key::Config(Digest::of(b"text"));
    for (key, value) in [
        (config, Value::Config("text\n\u{e9}".into())),
        (Key::Head, head(9)),
    ] {
        version(call(&client, Operation::Create(key.clone(), value.clone())).await);
        match call(&client, Operation::Get(key)).await {
            Ok(Outcome::Object(object)) => assert_eq!(object.value, value),
            other => panic!("{other:?}"),
        }
    }
    match call(&client, Operation::List(Collection::Domains)).await {
        Ok(Outcome::List { objects, .. }) => {
            assert_eq!(objects.len(), 1);
            assert_eq!((&objects[0].value, &objects[0].version), (&larger, &second));
        }
        other => panic!("{other:?}"),
    }
}

async fn names(client: &Client) -> Vec<(Key, Version)> {
    match call(client, Operation::ListNames(Collection::Configs)).await {
        Ok(Outcome::Names(names)) => names,
        other => panic!("{other:?}"),
    }
}

/// Guards against the deletion of an object that was renewed since it was listed, and against a
/// renewal that keeps the version.
#[tokio::test]
async fn renew_and_delete() {
    let store = Store::start(1).await.unwrap();
    let client = Client::new(store.address());
    let key = Key::Config(Digest::of(b"text"));
    let value = Value::Config("text".into());
    let created = call(&client, Operation::Create(key.clone(), value.clone())).await;
    let mut last = version(created);
    for number in [7, 8] {
        let renew = Operation::Renew(key.clone(), value.clone(), last.clone(), number);
        let renewed = version(call(&client, renew.clone()).await);
        assert_ne!(renewed, last);
        assert_eq!(call(&client, renew).await, Err(Error::Conflict));
        let late = Operation::Delete(key.clone(), Some(last));
        assert_eq!(call(&client, late).await, Err(Error::Conflict));
        last = renewed;
    }
    assert_eq!(names(&client).await, [(key.clone(), last.clone())]);
    let delete = Operation::Delete(key.clone(), Some(last));
    store.lose_answers(1);
    assert_eq!(call(&client, delete.clone()).await, Err(Error::Lost));
    assert_eq!(call(&client, delete).await, Err(Error::NotFound));
    for number in 0..NAMES_MAX + 1 {
        let key = Key::Config(Digest::of(&number.to_le_bytes()));
        version(call(&client, Operation::Create(key, value.clone())).await);
    }
    assert_eq!(names(&client).await.len(), NAMES_MAX);
}

/// Guards against a write with an unknown outcome that is reported as without effect, and against a
/// rejected write that is reported as unknown.
#[tokio::test]
async fn failures() {
    let store = Store::start(1).await.unwrap();
    let client = Client::new(store.address());
    let (key, value) = domain(1);
    store.lose_answers(1);
    let create = Operation::Create(key.clone(), value);
    assert_eq!(call(&client, create.clone()).await, Err(Error::Lost));
    assert_eq!(call(&client, create.clone()).await, Err(Error::Exists));
    store.set_limits(Some(Limits {
        writes: 0,
        reads: 0,
    }));
    assert_eq!(call(&client, create.clone()).await, Err(Error::Throttled));
    store.set_limits(None);
    store.set_mode(Mode::Refusing);
    // If the connection is reset while the request is sent, the outcome is unknown.
    let reset = call(&client, create.clone()).await;
    assert!(
        matches!(reset, Err(Error::Lost | Error::Unavailable)),
        "{reset:?}"
    );
    assert_eq!(call(&client, create.clone()).await, Err(Error::Unavailable));
    store.set_mode(Mode::Hanging);
    while tokio::net::TcpStream::connect(store.address())
        .await
        .is_err()
    {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(call(&client, create).await, Err(Error::Lost));
    assert_eq!(
        call(&client, Operation::Get(key)).await,
        Err(Error::Unavailable)
    );
}

async fn watch(store: &Store, since: Version, seconds: u64) -> mpsc::Receiver<Answer> {
    let client = Client::new(store.address());
    let (sender, answers) = mpsc::channel(16);
    let operation = Operation::Watch {
        collection: Collection::Heads,
        since,
        timeout: Duration::from_secs(seconds),
    };
    tokio::spawn(async move { client.call(Call { id: 1, operation }, &sender).await });
    answers
}

/// Guards against changes that a watch misses, and against a watch that ends without a final answer
/// or continues from a version that the store doesn't have.
#[tokio::test]
async fn watches() {
    let store = Store::start(1).await.unwrap();
    let client = Client::new(store.address());
    let first = version(call(&client, Operation::Create(Key::Head, head(1))).await);
    let second = version(
        call(
            &client,
            Operation::Update(Key::Head, head(2), first.clone()),
        )
        .await,
    );
    let mut answers = watch(&store, first.clone(), 1).await;
    call(&client, Operation::Update(Key::Head, head(3), second))
        .await
        .unwrap();
    let mut values = Vec::new();
    let mut ended = false;
    while let Some(answer) = answers.recv().await {
        match answer.result.unwrap() {
            Outcome::Changed(object) => values.push(object.value),
            Outcome::Bookmark(_) => {}
            Outcome::Ended => ended = true,
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(values, [head(2), head(3)]);
    assert!(ended);
    // Versions that the store no longer has or doesn't have yet.
    store.compact();
    for since in [first, Version("1000000".into())] {
        let mut answers = watch(&store, since, 5).await;
        assert_eq!(answers.recv().await.unwrap().result, Err(Error::Expired));
    }
}

/// Guards against a client that keeps failing after the store refused connections for a while.
#[tokio::test]
async fn usable_after_refused_connections() {
    let store = Store::start(1).await.unwrap();
    let client = Client::new(store.address());
    let mut counts = BTreeMap::new();
    for round in 0..40 {
        store.set_mode(if round % 10 == 9 {
            Mode::Refusing
        } else {
            Mode::Up
        });
        let result = call(&client, Operation::List(Collection::Domains)).await;
        *counts.entry(result.is_ok()).or_insert(0) += 1;
        if round % 10 == 9 {
            store.set_mode(Mode::Up);
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    assert!(counts[&true] >= 32, "{counts:?}");
}

//! RPC over TCP: snapshots, status and the authentication of requests.

mod driver;

use std::time::Instant;

use driver::record;
use flamingofall::control::Control;
use flamingofall::control_rpc::{
    listen, Client, Method, Refusal, Request, RequestAuth, RequestVerifier, CLOCK_SKEW_MAX,
    NONCES_MAX,
};
use flamingofall::wire::Key;
use rand::rngs::StdRng;
use rand::SeedableRng;
use tokio::sync::mpsc;

fn key() -> Key {
    Key::new(b"a secret for tests")
}

/// Guards against a snapshot or status that changes in transfer, and against answering a process
/// without the shared key.
#[tokio::test]
async fn transfer() {
    let mut control = Control::new(record(0, 1, 1), Vec::new(), 1, Instant::now());
    let mut out = Vec::new();
    let mut loaded = control.snapshot();
    loaded
        .records
        .extend((32..200).map(|host| record(1, host, 3)));
    control.load_snapshot(loaded, Instant::now(), &mut out);
    let (sender, mut requests) = mpsc::channel(1);
    let (address, serve) = listen("127.0.0.1:0".parse().unwrap(), key(), sender)
        .await
        .unwrap();
    let serving = tokio::spawn(serve);
    let (snapshot, status) = (control.snapshot(), control.status());
    let core = tokio::spawn(async move {
        while let Some(request) = requests.recv().await {
            match request {
                Request::Snapshot(answer) => answer.send(control.snapshot()).unwrap(),
                Request::Status(answer) => answer.send(control.status()).unwrap(),
            }
        }
    });
    let client = Client::connect(address, key(), StdRng::seed_from_u64(1))
        .await
        .unwrap();
    assert_eq!(client.snapshot().await.unwrap(), snapshot);
    assert_eq!(client.status().await.unwrap(), status);
    let stranger = Client::connect(address, Key::new(b"another key"), StdRng::seed_from_u64(2))
        .await
        .unwrap();
    let error = stranger.snapshot().await.unwrap_err();
    assert_eq!(error.downcast_ref(), Some(&Refusal::WrongTag));
    serving.abort();
    core.abort();
}

/// Guards against accepting requests that are replayed, too old, made for another method or too
/// many.
#[test]
fn proofs() {
    let now = 1_000_000;
    let skew = CLOCK_SKEW_MAX.as_millis() as u64;
    let mut verifier = RequestVerifier::new(key());
    let auth = |time, nonce| RequestAuth::new(&key(), Method::Status, time, nonce);
    assert_eq!(verifier.verify(Method::Status, &auth(now, 1), now), Ok(()));
    assert_eq!(
        verifier.verify(Method::Status, &auth(now, 1), now),
        Err(Refusal::Replayed)
    );
    assert_eq!(
        verifier.verify(Method::Snapshot, &auth(now, 2), now),
        Err(Refusal::WrongTag)
    );
    let old = auth(now - skew - 1, 3);
    assert_eq!(
        verifier.verify(Method::Status, &old, now),
        Err(Refusal::WrongTime)
    );
    for nonce in 10..10 + NONCES_MAX as u128 - 1 {
        assert_eq!(
            verifier.verify(Method::Status, &auth(now, nonce), now),
            Ok(())
        );
    }
    assert_eq!(
        verifier.verify(Method::Status, &auth(now, 5), now),
        Err(Refusal::Throttled)
    );
    let later = now + skew + 1;
    assert_eq!(
        verifier.verify(Method::Status, &auth(later, 5), later),
        Ok(())
    );
}

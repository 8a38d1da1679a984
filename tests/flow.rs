//! Tests of idle expiry and of the flow counts of the flow table.

use std::time::{Duration, Instant};

use flamingofall::config::IdleTimeouts;
use flamingofall::flow::{self, Entry, Evidence, Owner, Table};
use flamingofall::packet::{Flow, Kind, Protocol};
use yare::parameterized;

const LOCAL: Owner = Owner::Local { epoch: 1 };

fn flow(protocol: Protocol) -> Flow {
    let source = "192.0.2.1:4000".parse().unwrap();
    let destination = "198.51.100.1:443".parse().unwrap();
    Flow {
        protocol,
        source,
        destination,
    }
}

/// Guards against expiring an established connection between two keep-alives, and against keeping
/// half-open flows for hours.
#[parameterized(
    opening = { LOCAL, &[Kind::Syn], 60 },
    established = { LOCAL, &[Kind::Syn, Kind::Segment], 4 * 3600 },
    silent_error = { LOCAL, &[Kind::Syn, Kind::Error], 60 },
    closing = { LOCAL, &[Kind::Syn, Kind::Segment, Kind::Closing], 60 },
    reopened = { LOCAL, &[Kind::Closing, Kind::Syn, Kind::Segment], 4 * 3600 },
    datagram = { LOCAL, &[Kind::Datagram], 30 },
    claimed = { Owner::Claimed, &[Kind::Syn], 60 },
    recovered = { Owner::Recovered(Evidence::PeerRecord), &[Kind::Segment], 4 * 3600 },
)]
fn idle_expires(owner: Owner, kinds: &[Kind], seconds: u64) {
    let now = Instant::now();
    let protocol = match kinds[0] {
        Kind::Datagram => Protocol::Udp,
        _ => Protocol::Tcp,
    };
    let mut table = Table::new(1);
    let mut entry = Entry::new(owner, kinds[0], now);
    kinds.iter().for_each(|kind| entry.touch(*kind, now));
    table.insert(flow(protocol), entry);
    flow::expire_and_count(
        &mut table,
        1,
        &IdleTimeouts::default(),
        now + Duration::from_secs(seconds) - Duration::from_millis(1),
    );
    assert_eq!(table.len(), 1);
    flow::expire_and_count(
        &mut table,
        1,
        &IdleTimeouts::default(),
        now + Duration::from_secs(seconds),
    );
    assert!(table.is_empty());
}

/// Guards against counting flows of an earlier server run, and against counting idle flows as
/// active.
#[test]
fn load_counts() {
    let now = Instant::now();
    let mut table = Table::new(1);
    table.insert(flow(Protocol::Tcp), Entry::new(LOCAL, Kind::Syn, now));
    let old = Entry::new(Owner::Local { epoch: 0 }, Kind::Datagram, now);
    table.insert(flow(Protocol::Udp), old);
    let load = |table: &mut Table, seconds| {
        let load = flow::expire_and_count(
            table,
            1,
            &IdleTimeouts::default(),
            now + Duration::from_secs(seconds),
        );
        (load.open, load.active)
    };
    assert_eq!(load(&mut table, 0), (1, 1));
    assert_eq!(load(&mut table, 1), (1, 0));
}

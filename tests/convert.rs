//! Tests of the conversions to and from the Protobuf types of the control protocol.

use flamingofall::convert::Error;
use flamingofall::id::{Connections, Generation, Incarnation, Sequence, Slots};
use flamingofall::member::{Record, Role, State};
use flamingofall::packet::{Flow, Protocol};
use flamingofall::wire::control;
use proptest::prelude::*;

fn record(member: &str, numbers: [u64; 2], small: [u32; 2], v6: bool, agent: bool) -> Record {
    let ip = if v6 { "[2001:db8::1]:7" } else { "192.0.2.1:7" };
    Record {
        member: member.parse().unwrap(),
        role: if agent { Role::Agent } else { Role::Balancer },
        incarnation: Incarnation(numbers[0]),
        sequence: Sequence(numbers[1]),
        state: [State::Joining, State::Active, State::Draining, State::Down][small[0] as usize % 4],
        domain: "north".parse().unwrap(),
        control: ip.parse().unwrap(),
        data: ip.parse().unwrap(),
        service: agent.then(|| "orders".parse().unwrap()),
        slots: Slots(small[0]),
        connections: Connections(small[1]),
        generation: Generation(numbers[0] ^ numbers[1]),
        open_flows: (agent && small[0].is_multiple_of(2)).then_some(small[1]),
        sole_server: (agent && small[1] > 0).then_some(Incarnation(u64::from(small[1]))),
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against fields that are lost or swapped in the conversion to the wire type and back.
    #[test]
    fn records_round_trip(name in "[a-z][a-z0-9]{0,9}", a: [u64; 2], b: [u32; 2], v6: bool, agent: bool) {
        let record = record(&name, a, b, v6, agent);
        prop_assert_eq!(Record::try_from(&control::Record::from(&record)), Ok(record));
    }
}

/// Guards against malformed input that causes a panic or is replaced by a default value.
#[test]
fn malformed_rejected() {
    let flow = Flow {
        protocol: Protocol::Udp,
        source: "192.0.2.1:7".parse().unwrap(),
        destination: "198.51.100.1:8".parse().unwrap(),
    };
    let wire = control::Flow::from(&flow);
    assert_eq!(Flow::try_from(&wire), Ok(flow));
    let convert = |change: fn(&mut control::Flow)| {
        let mut wire = wire.clone();
        change(&mut wire);
        Flow::try_from(&wire)
    };
    assert_eq!(convert(|flow| flow.protocol = 1), Err(Error::Protocol));
    assert_eq!(
        convert(|flow| flow.protocol = 256 + 17),
        Err(Error::Protocol)
    );
    assert_eq!(convert(|flow| flow.source = None), Err(Error::Missing));
    let port = |flow: &mut control::Flow| flow.source.as_mut().unwrap().port = 65_536;
    assert_eq!(convert(port), Err(Error::Address));
    let ip = |flow: &mut control::Flow| flow.source.as_mut().unwrap().ip = vec![1; 5];
    assert_eq!(convert(ip), Err(Error::Address));
    let mut unnamed = control::Record::from(&record("m1", [1; 2], [1; 2], false, true));
    unnamed.member.clear();
    assert_eq!(Record::try_from(&unnamed), Err(Error::Name));
    let mut stateless = control::Record::from(&record("m1", [1; 2], [1; 2], false, true));
    stateless.state = 0;
    assert_eq!(Record::try_from(&stateless), Err(Error::State));
}

//! Tests of the batches of a recovery and of the members that a flow is claimed from.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};

use flamingofall::agent::recovery::{
    batch, BATCH_FLOWS, CEDED_SECTION, GRANTED_SECTION, OWNED_SECTION,
};
use flamingofall::id::{Bucket, Member, Slots};
use flamingofall::packet::{Flow, Protocol};
use flamingofall::rank;
use flamingofall::wire::control;
use proptest::prelude::*;
use prost::Message;

fn flows(ip: &str, count: u16) -> BTreeSet<Flow> {
    let ip: IpAddr = ip.parse().unwrap();
    let source = |port| SocketAddr::new(ip, port);
    let flow = |port| Flow {
        protocol: Protocol::Tcp,
        source: source(port),
        destination: source(1),
    };
    (0..count).map(|port| flow(port + 2)).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against flows that a recovery skips between two batches, and against answers that
    /// don't fit into a frame of 1,400 bytes.
    #[test]
    fn batches_cover(count in 0..300u16, v6: bool) {
        let all = flows(if v6 { "2001:db8::ffff:1" } else { "192.0.2.200" }, count);
        let (mut offset, mut seen, mut sections) = (CEDED_SECTION, BTreeSet::new(), vec![0]);
        loop {
            let (flows, next) = batch(all.iter().copied(), offset);
            let answer = control::RecoverAnswer {
                id: u64::MAX,
                flows: flows.iter().map(Into::into).collect(),
                next_offset: next,
                incomplete: true,
            };
            prop_assert!(flows.len() <= BATCH_FLOWS && answer.encoded_len() <= 1300);
            seen.extend(flows);
            if [GRANTED_SECTION, OWNED_SECTION, 0].contains(&next) {
                prop_assert_eq!(&seen, &all);
                seen.clear();
                sections.push(next);
            }
            if next == 0 {
                break;
            }
            offset = next;
        }
        prop_assert_eq!(sections, vec![CEDED_SECTION, GRANTED_SECTION, OWNED_SECTION, 0]);
    }

    /// Guards against two views whose claims have no member in common, so that both are won:
    /// whichever of the unsettled members a view knows, its arbiter is among the claim targets, and
    /// the first of the claim targets is a settled member.
    #[test]
    fn contenders_meet(known in prop::collection::vec(any::<bool>(), 6), bucket in 0..1024u32) {
        let name = |index: usize| -> Member { format!("m{index}").parse().unwrap() };
        let members: Vec<_> = (0..12).map(|index| (name(index), Slots(4))).collect();
        let bucket = Bucket(bucket);
        let (settled, unsettled) = members.split_at(6);
        let all = rank::arbiter_candidates(
            settled.iter().map(|(member, slots)| (member, *slots)),
            unsettled.iter().map(|(member, slots)| (member, *slots)),
            bucket,
        );
        let joined = unsettled.iter().zip(&known).filter(|(_, known)| **known);
        let view = settled.iter().chain(joined.map(|(member, _)| member));
        let keys = view.map(|(member, slots)| rank::key(member, *slots, bucket));
        let (_, arbiter) = keys.max().unwrap();
        prop_assert!(all.contains(&arbiter));
        prop_assert!(settled.iter().any(|(member, _)| member == all[0]));
    }
}

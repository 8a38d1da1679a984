//! The balancer's routing table, which maps a destination address and bucket to an arbiter.
//!
//! A published table is immutable. The control plane builds a new one after a change, and the
//! packet threads switch to it between two batches.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use siphasher::sip::SipHasher13;
use strum::{Display, EnumCount, EnumIter, IntoStaticStr};

use crate::config::Address;
use crate::encap::{Header, HOP_LIMIT};
use crate::hash::hash_bytes;
use crate::id::{Bucket, Generation, Member, ServiceTag, Slots};
use crate::packet::{Flow, Packet};
use crate::rank;

/// Maximum size of an inner packet: 1,500 bytes less the largest encapsulation, rounded down.
pub const INNER_MTU: usize = 1400;

/// A member that can be an arbiter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arbiter {
    /// Name of the member, whose hash determines its rank in each bucket.
    pub member: Member,
    /// Weight of the member in rendezvous hashing: the slots of its server.
    pub weight: Slots,
    /// Address at which it receives encapsulated packets.
    pub data: SocketAddr,
    /// Address at which it receives control frames, such as lookups of flows of a former service.
    pub control: SocketAddr,
}

#[derive(Clone, Debug)]
struct HashedArbiter {
    hash: u64,
    arbiter: Arbiter,
}

impl HashedArbiter {
    fn new(arbiter: Arbiter) -> Self {
        let hash = hash_bytes(arbiter.member.as_str().as_bytes());
        Self { hash, arbiter }
    }

    /// Returns the rank key in a bucket: the highest ranks first. The member's hash breaks ties.
    fn score(&self, bucket: Bucket) -> (u64, u64) {
        (
            rank::score(self.hash, self.arbiter.weight, bucket),
            self.hash,
        )
    }
}

/// Marks a bucket without an arbiter, because the service has no live member.
const NO_ARBITER: u16 = u16::MAX;

/// The arbiter of each bucket of one service.
#[derive(Clone, Debug)]
pub struct BucketTable {
    tag: ServiceTag,
    /// Indices into `members`, or `NO_ARBITER`. Invariant: the length is a power of two.
    buckets: Box<[u16]>,
    /// Invariant: each index in `buckets` other than `NO_ARBITER` is occupied.
    members: Vec<Option<HashedArbiter>>,
}

impl BucketTable {
    /// Creates the bucket table of a service without members. `buckets` must be a power of two.
    pub fn new(tag: ServiceTag, buckets: u32) -> Self {
        Self {
            tag,
            buckets: vec![NO_ARBITER; buckets as usize].into(),
            members: Vec::new(),
        }
    }

    /// Adds a member, replacing an earlier entry of the same name. If there is none, the cost
    /// depends on the number of buckets and not on the number of members.
    pub fn insert(&mut self, arbiter: Arbiter) {
        self.remove(&arbiter.member);
        let added = HashedArbiter::new(arbiter);
        let index = self
            .members
            .iter()
            .position(Option::is_none)
            .unwrap_or(self.members.len());
        for number in 0..self.buckets.len() {
            let bucket = Bucket(number as u32);
            let current = self.ranked(number).map(|member| member.score(bucket));
            if current.is_none_or(|score| added.score(bucket) > score) {
                self.buckets[number] = index as u16;
            }
        }
        if index == self.members.len() {
            self.members.push(None);
        }
        self.members[index] = Some(added);
    }

    /// Removes a member and assigns each of its buckets to the member that ranks next.
    pub fn remove(&mut self, member: &Member) {
        let found = |slot: &Option<HashedArbiter>| {
            slot.as_ref().is_some_and(|m| m.arbiter.member == *member)
        };
        let Some(index) = self.members.iter().position(found) else {
            return;
        };
        self.members[index] = None;
        for number in 0..self.buckets.len() {
            if self.buckets[number] == index as u16 {
                self.buckets[number] = self.first(Bucket(number as u32));
            }
        }
    }

    /// Returns the number of buckets, a power of two.
    pub fn buckets(&self) -> u32 {
        self.buckets.len() as u32
    }

    /// Returns the arbiter of a bucket, or `None` without live members. Panics if the service has
    /// no such bucket.
    pub fn arbiter(&self, bucket: Bucket) -> Option<&Arbiter> {
        self.ranked(bucket.0 as usize).map(|member| &member.arbiter)
    }

    /// Returns the arbiter of a flow, or `None` without live members.
    pub fn route(&self, flow: &Flow) -> Option<&Arbiter> {
        self.arbiter(rank::bucket(flow, self.buckets()))
    }

    /// Returns the members in no particular order.
    pub fn members(&self) -> impl Iterator<Item = &Arbiter> {
        self.members.iter().flatten().map(|member| &member.arbiter)
    }

    fn ranked(&self, number: usize) -> Option<&HashedArbiter> {
        self.members
            .get(usize::from(self.buckets[number]))?
            .as_ref()
    }

    fn first(&self, bucket: Bucket) -> u16 {
        let occupied = self
            .members
            .iter()
            .enumerate()
            .filter_map(|(i, m)| Some((i, m.as_ref()?)));
        occupied
            .max_by_key(|(_, member)| member.score(bucket))
            .map_or(NO_ARBITER, |(i, _)| i as u16)
    }
}

/// Why a packet isn't forwarded. The snake-case name is the value of a metric label.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr, EnumIter, EnumCount)]
#[strum(serialize_all = "snake_case")]
pub enum DropReason {
    /// No service has the destination address.
    NoService,
    /// The service has no live member.
    NoMember,
    /// The packet is longer than [`INNER_MTU`].
    TooBig,
}

/// Routing decision for a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// The packet is encapsulated and sent to an agent.
    Forward {
        /// The agent's address.
        to: SocketAddr,
        /// The encapsulation header.
        header: Header,
    },
    /// The packet is dropped.
    Drop(DropReason),
}

#[derive(Clone, Debug)]
struct Destination {
    service: Arc<BucketTable>,
    /// Bucket table of the former service, as long as it may have established flows.
    former: Option<Arc<BucketTable>>,
}

type AddressMap = HashMap<Address, Destination, std::hash::BuildHasherDefault<SipHasher13>>;

/// Routing table of all services in one generation of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Table {
    generation: Generation,
    destinations: AddressMap,
}

impl Table {
    /// Creates an empty table for a generation.
    pub fn new(generation: Generation) -> Self {
        Self {
            generation,
            destinations: AddressMap::default(),
        }
    }

    /// Returns the generation of the configuration that the table was built from.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Adds a destination address with the bucket tables of its service and of the former service.
    pub fn insert(
        &mut self,
        address: Address,
        service: Arc<BucketTable>,
        former: Option<Arc<BucketTable>>,
    ) {
        self.destinations
            .insert(address, Destination { service, former });
    }

    /// Returns the routing decision for a packet. Does not allocate.
    pub fn route(&self, packet: &Packet<'_>) -> Route {
        if packet.bytes.len() > INNER_MTU {
            return Route::Drop(DropReason::TooBig);
        }
        let flow = &packet.flow;
        let address = Address {
            protocol: flow.protocol,
            address: flow.destination,
        };
        let Some(destination) = self.destinations.get(&address) else {
            return Route::Drop(DropReason::NoService);
        };
        let former = destination
            .former
            .as_ref()
            .and_then(|service| service.route(flow));
        let Some(arbiter) = destination.service.route(flow) else {
            return Route::Drop(DropReason::NoMember);
        };
        let header = Header {
            service: destination.service.tag,
            generation: self.generation,
            hop_limit: HOP_LIMIT,
            assigned: false,
            fallback: former.map(|arbiter| arbiter.control),
        };
        Route::Forward {
            to: arbiter.data,
            header,
        }
    }
}

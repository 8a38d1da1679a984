//! The balancer's routing table: destination address and bucket to the arbiter's address.
//!
//! A table is immutable. The control plane builds a new one after a change, and the packet threads
//! switch to it between two batches.

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

/// Longest inner packet: 1,500 bytes less the largest encapsulation, rounded down.
pub const INNER_MTU: usize = 1400;

/// A member that can be an arbiter.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arbiter {
    /// Its name, which decides its rank.
    pub member: Member,
    /// Its weight.
    pub weight: Slots,
    /// Where it receives encapsulated packets.
    pub data: SocketAddr,
    /// Where it receives control frames. Lookups of flows of a former service go there.
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

    /// Position in the order of a bucket; the member's hash breaks ties.
    fn score(&self, bucket: Bucket) -> (u64, u64) {
        (
            rank::score(self.hash, self.arbiter.weight, bucket),
            self.hash,
        )
    }
}

/// No arbiter: the service has no live member.
const NO_ARBITER: u16 = u16::MAX;

/// The arbiters of one service's buckets.
#[derive(Clone, Debug)]
pub struct BucketTable {
    tag: ServiceTag,
    /// Indices into `members`, or `NO_ARBITER`. Invariant: the length is a power of two.
    buckets: Box<[u16]>,
    /// Invariant: an index that a bucket names is occupied.
    members: Vec<Option<HashedArbiter>>,
}

impl BucketTable {
    /// A service without members.
    pub fn new(tag: ServiceTag, buckets: u32) -> Self {
        Self {
            tag,
            buckets: vec![NO_ARBITER; buckets as usize].into(),
            members: Vec::new(),
        }
    }

    /// Adds a member. The cost depends on the number of buckets, not on the number of members.
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

    /// Removes a member and gives its buckets to the next in their order.
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

    /// Number of buckets.
    pub fn buckets(&self) -> u32 {
        self.buckets.len() as u32
    }

    /// The arbiter of a bucket.
    pub fn arbiter(&self, bucket: Bucket) -> Option<&Arbiter> {
        self.ranked(bucket.0 as usize).map(|member| &member.arbiter)
    }

    /// The arbiter of a flow.
    pub fn route(&self, flow: &Flow) -> Option<&Arbiter> {
        self.arbiter(rank::bucket(flow, self.buckets()))
    }

    /// The members, in no particular order.
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

/// Why a packet isn't forwarded.
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

/// What to do with a packet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Route {
    /// Send it to an agent.
    Forward {
        /// The agent's address.
        to: SocketAddr,
        /// The header to put before it.
        header: Header,
    },
    /// Don't forward it.
    Drop(DropReason),
}

#[derive(Clone, Debug)]
struct Destination {
    service: Arc<BucketTable>,
    /// The service that had the address before, while its established flows may live on.
    former: Option<Arc<BucketTable>>,
}

type AddressMap = HashMap<Address, Destination, std::hash::BuildHasherDefault<SipHasher13>>;

/// Routes of all services at one generation.
#[derive(Clone, Debug, Default)]
pub struct Table {
    generation: Generation,
    destinations: AddressMap,
}

impl Table {
    /// An empty table for a generation.
    pub fn new(generation: Generation) -> Self {
        Self {
            generation,
            destinations: AddressMap::default(),
        }
    }

    /// The generation that the table was built from.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Adds an address of a service, and the service that had the address before.
    pub fn insert(
        &mut self,
        address: Address,
        service: Arc<BucketTable>,
        former: Option<Arc<BucketTable>>,
    ) {
        self.destinations
            .insert(address, Destination { service, former });
    }

    /// Where a packet goes. Does not allocate.
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

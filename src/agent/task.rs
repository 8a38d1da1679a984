//! Claims and lookups in progress, with the packets that wait for them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::encap::Header;
use crate::id::Member;
use crate::member::Record;
use crate::packet::{Flow, Kind, Packet};

/// Time to wait for the answer to a claim or to a round of a lookup.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(50);
/// Number of members first asked in each round of a lookup.
pub const LOOKUP_ROUND_SIZES: [usize; 3] = [4, 16, 64];
/// Maximum number of members that a lookup asks, including those named in answers.
pub const MAX_LOOKUP_TARGETS: usize = 100;
/// Maximum number of claims and lookups in progress. Each holds at most one packet.
pub const MAX_HELD_PACKETS: usize = 4096;
/// Low bits of a message id that contain the index of the member asked.
const INDEX_BITS: u32 = 16;

/// A packet that waits for a claim or a lookup.
#[derive(Clone, Debug)]
pub struct HeldPacket {
    /// Encapsulation header that the packet arrived with.
    pub header: Header,
    /// Kind of the packet, as parsed on arrival.
    pub kind: Kind,
    /// The whole IP packet.
    pub bytes: Vec<u8>,
}

impl HeldPacket {
    /// Copies a packet together with its header.
    pub fn new(header: &Header, packet: &Packet<'_>) -> Self {
        Self {
            header: *header,
            kind: packet.kind,
            bytes: packet.bytes.to_vec(),
        }
    }

    /// The held packet, which must belong to `flow`.
    pub fn packet(&self, flow: Flow) -> Packet<'_> {
        Packet {
            flow,
            kind: self.kind,
            bytes: &self.bytes,
        }
    }
}

/// A claim of a new flow in progress.
#[derive(Clone, Debug)]
pub struct Claim {
    /// The members to claim the flow from, in this order.
    pub members: Vec<Arc<Record>>,
    /// Index of the member that is being asked.
    pub index: usize,
    /// Times that this member was asked.
    pub attempts: u8,
    /// The previous owner of the flow, if it is known; it is down. It is asked first.
    pub former: Option<Member>,
    /// The member that granted the claim on condition that the flow is passed on to it.
    pub reserved: Option<Arc<Record>>,
}

/// What a lookup was started for.
#[derive(Clone, Debug)]
pub enum Requester {
    /// A packet that is held until the lookup ends.
    Packet(HeldPacket),
    /// The lookup of a member of another service, which now has the flow's address.
    Member {
        /// Control address of that member.
        to: SocketAddr,
        /// Id of its message, which the answer repeats.
        id: u64,
    },
}

/// What a target of a lookup has answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LookupReply {
    /// No answer yet.
    Unanswered,
    /// It doesn't know the flow.
    Unknown,
    /// It doesn't know the flow, but lost its flow records in a restart.
    RecordsLost(Arc<Record>),
    /// It owned the flow before a restart or a lapse of its lease.
    FormerOwner(Arc<Record>),
    /// It names a member as the owner, possibly the asking one. What it knows may be outdated, so
    /// only an answer of the owner itself ends the lookup.
    Named(Arc<Record>),
    /// It granted a member's claim and doesn't know what the claimant did with the flow.
    Granted(Arc<Record>),
}

/// A lookup of a flow's owner in progress.
#[derive(Clone, Debug)]
pub struct Lookup {
    /// What the lookup was started for.
    pub requester: Requester,
    /// Control addresses in the order of asking; `None` for members that are down.
    pub targets: Vec<Option<SocketAddr>>,
    /// The answers of the targets, by the same indices.
    pub replies: Vec<LookupReply>,
    /// Number of targets asked so far; these come first in the list.
    pub asked_count: usize,
    /// Number of rounds sent so far.
    pub rounds_sent: usize,
}

impl Lookup {
    /// Creates a lookup that has asked no target yet. Targets beyond the sizes of all rounds are
    /// left out.
    pub fn new(requester: Requester, mut targets: Vec<Option<SocketAddr>>) -> Self {
        targets.truncate(LOOKUP_ROUND_SIZES.iter().sum());
        Self {
            requester,
            replies: vec![LookupReply::Unanswered; targets.len()],
            targets,
            asked_count: 0,
            rounds_sent: 0,
        }
    }

    /// Whether every member asked so far has answered or is down.
    pub fn is_round_answered(&self) -> bool {
        (0..self.asked_count).all(|index| {
            self.replies[index] != LookupReply::Unanswered || self.targets[index].is_none()
        })
    }

    /// Whether every target has answered.
    pub fn is_complete(&self) -> bool {
        self.replies
            .iter()
            .all(|reply| *reply != LookupReply::Unanswered)
    }

    /// Records an answer that names another member than the one asked. If that member is not among
    /// the targets, it is the next to be asked.
    pub fn add_referral(&mut self, index: usize, reply: LookupReply, to: Option<SocketAddr>) {
        self.replies[index] = reply;
        if to.is_some() && !self.targets.contains(&to) && self.targets.len() < MAX_LOOKUP_TARGETS {
            self.targets.insert(self.asked_count, to);
            self.replies
                .insert(self.asked_count, LookupReply::Unanswered);
        }
    }

    /// The likeliest owner of a flow that no member claims to own, by what the answers say about
    /// earlier runs. The owner itself has lost its record of the flow.
    pub fn former_owner(&self, own: &Member) -> Option<&Arc<Record>> {
        // A member that has not restarted and doesn't know the flow never owned it.
        let lost_records = |owner: &Record| {
            let index = self
                .targets
                .iter()
                .position(|to| *to == Some(owner.control));
            index.is_some_and(|index| matches!(self.replies[index], LookupReply::RecordsLost(_)))
        };
        let candidate = |owner: &Record| owner.member == *own || lost_records(owner);
        // Lower grades are better evidence. Between equal evidence the asking member comes first.
        let grade = |reply: &'_ LookupReply| match reply {
            LookupReply::Named(owner) if owner.member == *own => 0,
            LookupReply::FormerOwner(_) => 1,
            LookupReply::Named(owner) if candidate(owner) => 2,
            LookupReply::Granted(owner) if owner.member == *own => 3,
            LookupReply::Granted(owner) if candidate(owner) => 4,
            _ => 5,
        };
        let best = self.replies.iter().min_by_key(|reply| grade(reply))?;
        match best {
            LookupReply::Named(owner)
            | LookupReply::FormerOwner(owner)
            | LookupReply::Granted(owner) => (grade(best) < 5).then_some(owner),
            _ => None,
        }
    }

    /// The first of the targets that lost its flow records in a restart.
    pub fn first_without_records(&self) -> Option<&Arc<Record>> {
        self.replies.iter().find_map(|reply| match reply {
            LookupReply::RecordsLost(member) => Some(member),
            _ => None,
        })
    }

    /// The indices of the targets to ask in the next round, or `None` after the last round.
    ///
    /// Members that have not answered are asked again, so that a lost message doesn't end a lookup
    /// without a result.
    pub fn next_round(&mut self) -> Option<Vec<usize>> {
        let is_last = self.rounds_sent >= LOOKUP_ROUND_SIZES.len() || self.is_round_answered();
        if self.asked_count == self.targets.len() && is_last {
            return None;
        }
        let unanswered = |index: &usize| self.replies[*index] == LookupReply::Unanswered;
        let mut indices: Vec<_> = (0..self.asked_count).filter(unanswered).collect();
        let size = *LOOKUP_ROUND_SIZES.get(self.rounds_sent).unwrap_or(&1);
        let start = self.asked_count;
        self.asked_count = (start + size).min(self.targets.len());
        self.rounds_sent += 1;
        indices.extend(start..self.asked_count);
        Some(indices)
    }
}

/// A question to other members about a flow.
#[derive(Clone, Debug)]
pub enum Task {
    /// Whether this agent may decide about a new flow.
    Claim(Claim, HeldPacket),
    /// Which member owns a flow that may be established.
    Lookup(Lookup),
}

/// A claim or lookup in progress, with its number and its timeout.
#[derive(Clone, Debug)]
pub struct PendingTask {
    /// Number of the task, contained in the ids of its messages.
    pub number: u64,
    /// When to repeat unanswered messages or to give up.
    pub due: Instant,
    /// What is being asked.
    pub task: Task,
}

impl PendingTask {
    /// The id of the message to the member with this index in the task.
    pub fn id(&self, index: usize) -> u64 {
        self.number << INDEX_BITS | index as u64
    }
}

/// A lookup that asks the recorded owner of a flow to confirm its ownership.
#[derive(Clone, Copy, Debug)]
pub struct Confirmation {
    /// Id of the message, which the answer repeats.
    pub id: u64,
    /// Control address of the recorded owner.
    pub to: SocketAddr,
    /// When the message was sent.
    pub sent: Instant,
}

/// All claims and lookups in progress. Invariant: at most one for a flow, and at most
/// [`MAX_HELD_PACKETS`] in total.
#[derive(Clone, Debug, Default)]
pub struct Table {
    pending: BTreeMap<Flow, PendingTask>,
    flows_by_number: BTreeMap<u64, Flow>,
    last_number: u64,
}

impl Table {
    /// Whether a claim or lookup of the flow is in progress.
    pub fn contains(&self, flow: &Flow) -> bool {
        self.pending.contains_key(flow)
    }

    /// Whether the limit of [`MAX_HELD_PACKETS`] is reached.
    pub fn is_full(&self) -> bool {
        self.pending.len() >= MAX_HELD_PACKETS
    }

    /// Creates a task with a new number, without adding it to the table.
    pub fn create(&mut self, task: Task, now: Instant) -> PendingTask {
        self.last_number += 1;
        PendingTask {
            number: self.last_number,
            due: now + ANSWER_TIMEOUT,
            task,
        }
    }

    /// Adds a task, or returns one that was taken out.
    pub fn insert(&mut self, flow: Flow, pending: PendingTask) {
        self.flows_by_number.insert(pending.number, flow);
        self.pending.insert(flow, pending);
    }

    /// Removes and returns the task of a flow.
    pub fn take(&mut self, flow: &Flow) -> Option<PendingTask> {
        let pending = self.pending.remove(flow)?;
        self.flows_by_number.remove(&pending.number);
        Some(pending)
    }

    /// Removes and returns the task that sent a message, with its flow and the index of the member
    /// asked.
    pub fn take_by_id(&mut self, id: u64) -> Option<(Flow, PendingTask, usize)> {
        let flow = *self.flows_by_number.get(&(id >> INDEX_BITS))?;
        let pending = self.take(&flow)?;
        Some((flow, pending, (id & ((1 << INDEX_BITS) - 1)) as usize))
    }

    /// The flows whose tasks have timed out.
    pub fn due(&self, now: Instant) -> Vec<Flow> {
        let due = self.pending.iter().filter(|(_, task)| task.due <= now);
        due.map(|(flow, _)| *flow).collect()
    }

    /// Removes all tasks and drops their packets.
    pub fn clear(&mut self) {
        self.pending.clear();
        self.flows_by_number.clear();
    }
}

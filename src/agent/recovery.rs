//! Recovery: before it joins, an agent asks the other members for the flows that an earlier run of
//! it owned, and for those that it will be the arbiter of.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::flow::{Entry, Evidence, Origin, Owner};
use crate::id::Member;
use crate::member::Record;
use crate::packet::{Flow, Kind};
use crate::rank;
use crate::view::AT_MOST_ONCE_WINDOW;
use crate::wire::{control, Body};

use super::{send, Agent, Output};

/// Longest duration of a recovery. The agent then joins without the missing answers.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which the request for a batch is repeated.
pub const BATCH_TIMEOUT: Duration = Duration::from_millis(200);
/// Maximum number of flows in one batch.
pub const BATCH_FLOWS: usize = 40;
/// Maximum encoded size of the flows in one batch. Leaves room for the seal in a frame of 1,400
/// bytes.
pub const BATCH_BYTES: usize = 1200;
/// Bits of an offset that select a section, that is, a kind of flows of the answering member. The
/// other bits are the position in the section.
pub const SECTION_MASK: u32 = 3 << 30;
/// Section of the flows that the answering member passed on to the asking one or knows to be owned
/// by it.
pub const CEDED_SECTION: u32 = 0;
/// Section of the flows that the answering member granted to the asking one on a claim.
pub const GRANTED_SECTION: u32 = 1 << 30;
/// Section of the flows that the answering member owns and whose arbiter will be the asking one.
pub const OWNED_SECTION: u32 = 2 << 30;

/// The next batch to request from one member.
#[derive(Clone, Copy, Debug)]
pub struct Batch {
    /// Id of the request, which the answer repeats.
    pub id: u64,
    /// Section and position at which the batch starts.
    pub offset: u32,
    /// When to send the request, or to repeat it.
    pub due: Instant,
}

/// A recovery in progress.
#[derive(Clone, Debug)]
pub struct Recovery {
    /// When the recovery ends even if answers are missing.
    pub deadline: Instant,
    /// Members whose last batch has not arrived, with the batch to request next.
    pub unfinished: BTreeMap<Member, Batch>,
    /// Whether a member may have lost flows that the earlier run passed to it.
    pub incomplete: bool,
}

/// Returns the flows of the batch at `offset` and the offset of the next batch, or 0 after the
/// last.
///
/// Positions are hashes of flows, in ascending order, so an offset stays valid while the flow table
/// changes. `flows` are those of the section that `offset` selects.
pub fn batch(flows: impl Iterator<Item = Flow>, offset: u32) -> (Vec<Flow>, u32) {
    let section = offset & SECTION_MASK;
    let position = |flow: &Flow| (flow.hash() >> 34) as u32;
    let mut sorted: Vec<_> = flows.map(|flow| (position(&flow), flow)).collect();
    sorted.retain(|(position, _)| *position >= offset & !SECTION_MASK);
    sorted.sort_unstable();
    let size = sorted.first().map_or(0, |(_, flow)| encoded_bytes(flow));
    let count = BATCH_FLOWS.min(BATCH_BYTES / size.max(1));
    let next = match sorted.get(count) {
        Some((position, _)) => section | (*position).max(1),
        None if section == CEDED_SECTION => GRANTED_SECTION,
        None if section == GRANTED_SECTION => OWNED_SECTION,
        None => 0,
    };
    let flows = sorted.into_iter().take(count).map(|(_, flow)| flow);
    (flows.collect(), next)
}

fn encoded_bytes(flow: &Flow) -> usize {
    use prost::Message;
    // The tag and the length of a repeated field take 2 bytes.
    control::Flow::from(flow).encoded_len() + 2
}

impl Agent {
    /// Starts a recovery from all members that can be arbiters.
    pub(super) fn start_recovery(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Some(view) = &self.view else {
            return;
        };
        let own = &self.settings.member;
        let members: Vec<_> = view
            .live()
            .filter(|record| record.member != *own)
            .map(|record| record.member.clone())
            .collect();
        let incomplete = view.peers().any(|peer| {
            peer.record.member != *own && peer.was_arbiter_within(AT_MOST_ONCE_WINDOW, now)
        });
        let mut unfinished = BTreeMap::new();
        for member in members {
            let batch = Batch {
                id: self.next_id(),
                offset: 0,
                due: now,
            };
            unfinished.insert(member, batch);
        }
        self.recovery = Some(Recovery {
            deadline: now + RECOVERY_TIMEOUT,
            unfinished,
            incomplete,
        });
        self.continue_recovery(now, out);
    }

    /// Sends the requests that are due. Ends the recovery when all batches have arrived or the
    /// deadline has passed.
    pub(super) fn continue_recovery(&mut self, now: Instant, out: &mut Vec<Output>) {
        let Some(mut recovery) = self.recovery.take() else {
            return;
        };
        if recovery.unfinished.is_empty() || now >= recovery.deadline {
            self.joined = true;
            self.recovered = recovery.unfinished.is_empty() && !recovery.incomplete;
            self.publish_record(now);
            return;
        }
        let service = self.service_name();
        for (member, batch) in &mut recovery.unfinished {
            let peer = self.view.as_ref().and_then(|view| view.get(member));
            if let Some(peer) = peer.filter(|_| now >= batch.due) {
                batch.due = now + BATCH_TIMEOUT;
                let message = control::Recover {
                    id: batch.id,
                    service: service.clone(),
                    member: self.settings.member.to_string(),
                    offset: batch.offset,
                };
                send(peer.record.control, Body::Recover(message), out);
            }
        }
        self.recovery = Some(recovery);
    }

    /// Answers the request for a batch of another member's recovery.
    pub(super) fn answer_recover(
        &mut self,
        from: SocketAddr,
        recover: control::Recover,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let Ok(member) = recover.member.parse::<Member>() else {
            return;
        };
        if !self.is_for_service(&recover.service) {
            return;
        }
        let section = recover.offset & SECTION_MASK;
        let wanted = self
            .flows
            .iter()
            .filter(|(flow, entry)| match &entry.owner {
                Owner::Local { epoch } => {
                    section == OWNED_SECTION
                        && *epoch == self.epoch
                        && self.would_be_arbiter(&member, flow)
                }
                Owner::Ceded { to, origin, .. } if to.member == member => {
                    let granted = *origin == Origin::Granted;
                    section
                        == if granted {
                            GRANTED_SECTION
                        } else {
                            CEDED_SECTION
                        }
                }
                _ => false,
            });
        let (flows, next_offset) = batch(wanted.map(|(flow, _)| *flow), recover.offset);
        let answer = control::RecoverAnswer {
            id: recover.id,
            flows: flows.iter().map(Into::into).collect(),
            next_offset,
            incomplete: self.restarted && self.in_duplicate_window(now),
        };
        send(from, Body::RecoverAnswer(answer), out);
    }

    /// Whether a joining member will be the arbiter of a flow.
    fn would_be_arbiter(&self, member: &Member, flow: &Flow) -> bool {
        let Some(view) = &self.view else {
            return false;
        };
        let bucket = self.bucket(flow);
        let key =
            |record: &Record| rank::score(rank::member_hash(&record.member), record.slots, bucket);
        let joining = view.get(member).map(|peer| key(&peer.record));
        joining.is_some() && joining >= view.arbiter(bucket).map(key)
    }

    /// Stores a batch of recovered flows and requests the next one.
    pub(super) fn handle_recover_answer(
        &mut self,
        answer: control::RecoverAnswer,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        let asked = recovery
            .unfinished
            .iter()
            .find(|(_, batch)| batch.id == answer.id);
        let Some((member, offset)) = asked.map(|(m, batch)| (m.clone(), batch.offset)) else {
            return;
        };
        recovery.unfinished.remove(&member);
        recovery.incomplete |= answer.incomplete;
        if answer.next_offset != 0 {
            self.last_id += 1;
            let batch = Batch {
                id: self.last_id,
                offset: answer.next_offset,
                due: now,
            };
            recovery.unfinished.insert(member.clone(), batch);
        }
        let peer = self.view.as_ref().and_then(|view| view.get(&member));
        let owner = peer.map(|peer| Arc::new(peer.record.clone()));
        for flow in &answer.flows {
            if let (Ok(flow), Some(owner)) = (flow.try_into(), &owner) {
                self.restore_flow(flow, owner, offset & SECTION_MASK, now);
            }
        }
        self.continue_recovery(now, out);
    }

    fn restore_flow(&mut self, flow: Flow, by: &Arc<Record>, section: u32, now: Instant) {
        let known = self.flows.get(&flow).map(|entry| &entry.owner);
        let owner = match (section, known) {
            (OWNED_SECTION, None | Some(Owner::Recovered(_))) => Owner::Ceded {
                to: by.clone(),
                origin: Origin::Learned,
                confirmed: true,
            },
            (CEDED_SECTION, None | Some(Owner::Recovered(Evidence::Granted))) => {
                Owner::Recovered(Evidence::PeerRecord)
            }
            (GRANTED_SECTION, None) => Owner::Recovered(Evidence::Granted),
            _ => return,
        };
        self.flows
            .insert(flow, Entry::new(owner, Kind::Segment, now));
    }
}

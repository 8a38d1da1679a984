//! Recovery of the flows of an earlier run from the other members.

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

/// Longest time in state joining.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(3);
/// Time to wait for one batch of a recovery.
pub const BATCH_TIMEOUT: Duration = Duration::from_millis(200);
/// Flows in one batch of a recovery.
pub const BATCH_FLOWS: usize = 40;
/// Encoded size of a batch of flows. Leaves room for the seal in a frame of 1,400 bytes.
pub const BATCH_BYTES: usize = 1200;
/// Bits of an offset that say which flows of the answering member are meant.
pub const SECTION_MASK: u32 = 3 << 30;
/// Flows that it passed on to the asking member, or that it knows to be owned by that member.
pub const CEDED_SECTION: u32 = 0;
/// Flows whose claims by the asking member it granted.
pub const GRANTED_SECTION: u32 = 1 << 30;
/// Flows that it owns and whose arbiter is the asking member.
pub const OWNED_SECTION: u32 = 2 << 30;

/// How far one member has answered a recovery.
#[derive(Clone, Copy, Debug)]
pub struct Batch {
    /// Id of the message.
    pub id: u64,
    /// Where the batch starts.
    pub offset: u32,
    /// When to send it again.
    pub due: Instant,
}

/// A recovery of flows from the other members.
#[derive(Clone, Debug)]
pub struct Recovery {
    /// When it ends without all answers.
    pub deadline: Instant,
    /// Members that have not sent their last batch.
    pub unfinished: BTreeMap<Member, Batch>,
    /// A member may have lost flows that the earlier run passed to it.
    pub incomplete: bool,
}

/// The flows of one batch and the offset of the next; 0 after the last.
///
/// Offsets are positions in the order of hashes, so they stay valid while the table changes.
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
    // Tag and length of a repeated field.
    control::Flow::from(flow).encoded_len() + 2
}

impl Agent {
    /// Asks the live members for flows of this agent's earlier run.
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
        let incomplete = view
            .peers()
            .any(|peer| peer.record.member != *own && peer.has_left(AT_MOST_ONCE_WINDOW, now));
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

    /// Sends the batches that are due, and ends the recovery when all have arrived.
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

    /// Answers another member's recovery.
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

    /// Whether a member that is joining will be the arbiter of a flow.
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

    /// Takes up a batch of recovered flows.
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
                origin: Origin::Found,
                confirmed: true,
            },
            (CEDED_SECTION, None | Some(Owner::Recovered(Evidence::Granted))) => {
                Owner::Recovered(Evidence::Named)
            }
            (GRANTED_SECTION, None) => Owner::Recovered(Evidence::Granted),
            _ => return,
        };
        self.flows
            .insert(flow, Entry::new(owner, Kind::Segment, now));
    }
}

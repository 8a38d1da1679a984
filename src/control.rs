//! The control plane of a balancer: dispatches messages, store answers and ticks to its components.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::catalog::{Catalog, Offer};
use crate::collector::Collector;
use crate::fleet::View;
use crate::gossip::Gossip;
use crate::id::{Digest, Generation, Incarnation, Member, Sequence};
use crate::member::{LocalRecord, Record, State, Table, Tag, RECORDS_MAX};
use crate::output::{Event, Output};
use crate::registry::Registry;
use crate::store::Answer;
use crate::transfer::{parse_offer, ConfigTransfer};
use crate::wire::control::Rumour;
use crate::wire::{Body, Message};

/// Time for which a starting balancer waits for a peer's snapshot before it reads the store.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Time after which a starting balancer becomes active even if nothing was loaded.
pub const START_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of other balancers from which on a balancer no longer reports its generation in its
/// record.
///
/// Each report is sent to every balancer, so the traffic per node grows with their number: at 5,300
/// configuration changes a day, 32 balancers make 2 record changes a second, and 4,500 make 276.
/// Operators of larger fleets query the status instead.
pub const REPORTERS_MAX: usize = 32;

/// The view of a balancer, as transferred to one that is starting.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// All records of the view, including those that are down.
    pub records: Vec<Record>,
    /// Versions of removed records: tag of the member, incarnation, sequence.
    pub removed: Vec<(u64, Incarnation, Sequence)>,
    /// Generation, digest and text of the configuration in force.
    pub config: Option<(Generation, Digest, String)>,
}

/// Status of a balancer, as reported to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The balancer's own record.
    pub record: Record,
    /// Generation and digest of the configuration in force; `None` before the first.
    pub config: Option<(Generation, Digest)>,
    /// Number of records in the view.
    pub records: usize,
    /// The balancers in the view with the generation that each reported last.
    pub balancers: Vec<(Member, Generation)>,
}

/// The control plane of one balancer.
#[derive(Clone, Debug)]
pub struct Control {
    view: View,
    collector: Collector,
    gossip: Gossip,
    registry: Registry,
    transfer: ConfigTransfer,
    started: Instant,
    superseded: bool,
}

impl Control {
    /// Creates the control plane of a balancer that is starting. `record` is its own record in
    /// state joining, `seeds` are control addresses of other balancers, and `seed` initialises the
    /// random number generators.
    pub fn new(record: Record, seeds: Vec<SocketAddr>, seed: u64, now: Instant) -> Self {
        let mut table = Table::default();
        table.merge(record.clone(), now);
        Self {
            collector: Collector::new(seed, now),
            gossip: Gossip::new(seeds, seed, now),
            registry: Registry::new(seed, now),
            transfer: ConfigTransfer::default(),
            view: View {
                own: LocalRecord::new(record),
                table,
                catalog: Catalog::default(),
            },
            started: now,
            superseded: false,
        }
    }

    /// Returns the balancer's view of the members and the configuration.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the number of members that this balancer is a collector of.
    pub fn collected_members(&self) -> usize {
        self.collector.members()
    }

    /// Handles a control message. Messages between agents are ignored.
    pub fn handle_message(
        &mut self,
        from: SocketAddr,
        message: Message,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        let sequence = self.view.own.record().sequence;
        let view = &mut self.view;
        match message.body {
            Some(Body::Heartbeat(m)) => self.collector.handle_heartbeat(view, from, &m, now, out),
            Some(Body::HeartbeatAck(m)) => self.collector.handle_ack(&m),
            Some(Body::Heard(m)) => self.collector.handle_heard(view, &m, now),
            Some(Body::Rumour(m)) => {
                self.gossip.handle_rumour(view, &m, now, out);
                if let Some(offer) = parse_offer(&m.offer, "rumour", out) {
                    self.transfer
                        .handle_offer(&mut view.catalog, from, offer, now, out);
                }
            }
            Some(Body::Digest(m)) => {
                self.gossip.handle_digest(view, from, &m, out);
                if let Some(offer) = parse_offer(&m.offer, "digest", out) {
                    self.transfer
                        .handle_offer(&mut view.catalog, from, offer, now, out);
                }
            }
            Some(Body::DomainHashes(m)) => self.gossip.handle_domain_hashes(view, from, &m, out),
            Some(Body::GroupHashes(m)) => self.gossip.handle_group_hashes(view, from, &m, out),
            Some(Body::Versions(m)) => self.gossip.handle_versions(view, from, &m, now, out),
            Some(Body::Fetch(m)) => self.transfer.handle_fetch(&view.catalog, from, &m, out),
            Some(Body::Part(m)) => self.transfer.handle_part(&mut view.catalog, m, now, out),
            _ => {}
        }
        self.sync_own_record(now, out);
        let own = self.view.own.record();
        if own.sequence != sequence && own.state != State::Down {
            // The sender may have declared this balancer down.
            let rumour = Rumour {
                records: vec![own.into()],
                offer: None,
            };
            out.push(Output::send(from, Body::Rumour(rumour)));
        }
        self.gossip.flush(&self.view, out);
    }

    /// Handles an answer of the store.
    pub fn handle_store_answer(&mut self, answer: Answer, now: Instant, out: &mut Vec<Output>) {
        self.registry
            .handle_answer(&mut self.view, answer, now, out);
        self.sync_own_record(now, out);
        self.gossip.flush(&self.view, out);
    }

    /// Runs the periodic work of all components. Must be called every 100 ms.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.view.table.expire(now);
        self.activate_if_loaded(now);
        self.collector.tick(&mut self.view, now, out);
        self.registry.tick(&mut self.view, now, out);
        self.transfer.tick(&self.view.catalog, now, out);
        self.sync_own_record(now, out);
        self.gossip.tick(&self.view, now, out);
    }

    /// Enters the draining state: the balancer gives up its control-plane roles and keeps
    /// forwarding.
    pub fn drain(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.leave(State::Draining, now, out);
    }

    /// Marks the balancer as down and announces it to others.
    pub fn stop(&mut self, now: Instant, out: &mut Vec<Output>) {
        self.leave(State::Down, now, out);
    }

    /// Returns the view for transfer to a balancer that is starting.
    pub fn snapshot(&self) -> Snapshot {
        let view = &self.view;
        Snapshot {
            records: view
                .table
                .entries()
                .map(|entry| entry.record.clone())
                .collect(),
            removed: view.table.removed_versions().collect(),
            config: view.catalog.current().map(|current| {
                let offer = current.offer;
                (offer.generation, offer.digest, current.text.clone())
            }),
        }
    }

    /// Merges the view of another balancer and becomes active if the balancer is still joining.
    pub fn load_snapshot(&mut self, snapshot: Snapshot, now: Instant, out: &mut Vec<Output>) {
        let view = &mut self.view;
        for (tag, incarnation, sequence) in snapshot.removed.into_iter().take(RECORDS_MAX) {
            view.table
                .record_removal(Tag(tag), incarnation, sequence, now);
        }
        for record in snapshot.records {
            view.table.merge(record, now);
        }
        if let Some((generation, digest, text)) = snapshot.config {
            let offer = Offer { generation, digest };
            match view.catalog.adopt(offer, text) {
                Ok(true) => out.push(Output::Event(offer.adopted())),
                Ok(false) => {}
                Err(_) => out.push(Output::Event(offer.corrupt())),
            }
        }
        // The other balancers already have the contents of the snapshot.
        self.gossip.mark_all_sent(&self.view);
        self.activate();
        self.sync_own_record(now, out);
        self.gossip.flush(&self.view, out);
    }

    /// Returns the status for operators.
    pub fn status(&self) -> Status {
        let view = &self.view;
        let offer = view.catalog.offer();
        let balancers = view
            .table
            .domains()
            .flat_map(|domain| view.table.balancers(domain))
            .map(|entry| {
                let member = &entry.record.member;
                let heard = self.collector.generation(member).unwrap_or_default();
                (member.clone(), entry.record.generation.max(heard))
            })
            .collect();
        Status {
            record: view.own.record().clone(),
            config: offer.map(|offer| (offer.generation, offer.digest)),
            records: view.table.len(),
            balancers,
        }
    }

    fn activate_if_loaded(&mut self, now: Instant) {
        if self.view.own.record().state != State::Joining {
            return;
        }
        let waited = now.duration_since(self.started);
        self.registry.set_starting(waited >= PEER_TIMEOUT);
        if self.registry.is_loaded() || waited >= START_TIMEOUT {
            self.activate();
        }
    }

    fn activate(&mut self) {
        self.registry.set_starting(false);
        if self.view.own.record().state == State::Joining {
            self.view.own.set_state(State::Active);
        }
    }

    fn leave(&mut self, state: State, now: Instant, out: &mut Vec<Output>) {
        if self.view.own.record().state < state {
            self.view.own.set_state(state);
        }
        self.sync_own_record(now, out);
        self.gossip.flush(&self.view, out);
    }

    /// Refutes a contradicting record of this run, and merges the balancer's own record into the
    /// view. Does nothing once a later incarnation has replaced this run, except to report it.
    fn sync_own_record(&mut self, now: Instant, out: &mut Vec<Output>) {
        let view = &mut self.view;
        let me = view.own_name();
        if let Some(entry) = view.table.get(&me) {
            let incarnation = entry.record.incarnation;
            if incarnation > view.own.record().incarnation {
                if !self.superseded {
                    self.superseded = true;
                    out.push(Output::Event(Event::Superseded { incarnation }));
                }
                return;
            }
            if view.own.refute(&entry.record) {
                let sequence = view.own.record().sequence;
                out.push(Output::Event(Event::Refuted { sequence }));
            }
        }
        let generation = view.catalog.generation();
        if generation != view.own.record().generation && self.gossip.peers(view) < REPORTERS_MAX {
            view.own.set_generation(generation);
        }
        view.table.merge(view.own.record().clone(), now);
    }
}

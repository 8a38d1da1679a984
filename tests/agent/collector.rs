//! A fake of the balancers as collectors: they grant leases, declare members down and exchange
//! records with a delay.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use flamingofall::id::{Member, Sequence};
use flamingofall::member::{PreviousRun, Record, State};
use flamingofall::view::View;
use flamingofall::wire::{control, Body, Message};
use rand::Rng;

use crate::driver::{Item, Simulation};
use crate::traffic::{address, index, service, ScenarioConfig, BALANCERS};

pub struct Balancer {
    pub view: View,
    /// The previous run of each member that has restarted.
    former: BTreeMap<Member, PreviousRun>,
    /// The last heartbeat of each member, with the sequence number of its record.
    heard: BTreeMap<usize, (Instant, Sequence)>,
}

impl Balancer {
    pub fn new(config: &ScenarioConfig) -> Self {
        Self {
            view: View::new(service(config).name),
            former: BTreeMap::new(),
            heard: BTreeMap::new(),
        }
    }

    /// Merges a record from a heartbeat or another balancer, and keeps the run of the member that
    /// it ends.
    pub fn merge(&mut self, record: Record, now: Instant) -> bool {
        let known = self.view.get(&record.member);
        let former = known.map(|peer| PreviousRun {
            incarnation: peer.record.incarnation,
            server: peer.record.sole_server,
        });
        if let Some(former) = former.filter(|former| former.incarnation < record.incarnation) {
            self.former.insert(record.member.clone(), former);
        }
        self.view.merge(record, now)
    }
}

impl Simulation {
    pub fn heartbeat(&mut self, balancer: usize, from: SocketAddr, message: &Message) {
        let Some(Body::Heartbeat(heartbeat)) = &message.body else {
            return;
        };
        let record = Record::try_from(heartbeat.record.as_ref().unwrap()).unwrap();
        let heard = (self.now, record.sequence);
        let member = record.member.clone();
        self.balancers[balancer].heard.insert(index(from), heard);
        self.publish(balancer, record);
        let Balancer { view, former, .. } = &self.balancers[balancer];
        let members = view.peers().map(|peer| &peer.record);
        let ack = control::HeartbeatAck {
            id: heartbeat.id,
            generation: 1,
            service: serde_json::to_vec(&service(&self.config)).unwrap(),
            members: members.map(Into::into).collect(),
            former_incarnation: former.get(&member).map_or(0, |run| run.incarnation.0),
            former_server: former
                .get(&member)
                .and_then(|run| run.server)
                .map_or(0, |server| server.0),
            complete: true,
            collector: balancer as u64,
            ..Default::default()
        };
        let body = Some(Body::HeartbeatAck(ack));
        self.push(Item::Message(
            from,
            address(2, balancer, 1),
            Message { body },
        ));
    }

    /// Merges a record at one balancer and sends it to the others, each with its own delay.
    fn publish(&mut self, balancer: usize, record: Record) {
        if !self.balancers[balancer].merge(record.clone(), self.now) {
            return;
        }
        for other in (0..BALANCERS).filter(|other| *other != balancer) {
            let lag = self
                .rng
                .random_range(0..=self.config.lag.as_millis() as u64);
            self.push_after(lag, Item::RecordUpdate(other, record.clone()));
        }
    }

    /// Declares members down that have sent this balancer no heartbeat for 3 s, unless a later
    /// record shows that they have switched to another collector.
    pub fn declare_down(&mut self, balancer: usize) {
        let now = self.now;
        let Balancer { view, heard, .. } = &mut self.balancers[balancer];
        let silent = |at: Instant| now - at >= Duration::from_secs(3);
        let lost = heard.clone();
        heard.retain(|_, (at, _)| !silent(*at));
        let lost = lost.into_iter().filter(|(_, (at, _))| silent(*at));
        let record = |(member, (_, sequence)): (usize, (Instant, Sequence))| {
            let peer = view.get(&format!("m{member}").parse().unwrap())?;
            let record = Record {
                state: State::Down,
                ..peer.record.clone()
            };
            (record.sequence <= sequence).then_some(record)
        };
        let records: Vec<_> = lost.filter_map(record).collect();
        for record in records {
            self.publish(balancer, record);
        }
    }
}

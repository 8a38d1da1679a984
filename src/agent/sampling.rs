//! Periodic maintenance: expiry of flows and members, and samples of the other members' load.

use std::net::SocketAddr;
use std::time::Instant;

use rand::seq::IteratorRandom;

use crate::admission::{self, Load, Sample};
use crate::flow;
use crate::id::{Connections, Member, Slots};
use crate::wire::{control, Body};

use super::{send, Agent, Output, MAINTENANCE_PERIOD};

impl Agent {
    /// Expires flows and members, and asks a few random members for their load.
    pub(super) fn maintain(&mut self, now: Instant, out: &mut Vec<Output>) {
        let timeouts = self.idle_timeouts();
        let count = flow::expire_and_count(&mut self.flows, self.epoch, &timeouts, now);
        self.load.record_second(count);
        self.report_flows(now);
        if self.server_if_sole(now) != self.sole_server {
            self.publish_record(now);
        }
        self.admission.remove_stale_samples(now);
        self.confirmations
            .retain(|_, asked| now.saturating_duration_since(asked.sent) < MAINTENANCE_PERIOD);
        let own = &self.settings.member;
        let Some(view) = &mut self.view else {
            return;
        };
        view.expire(now);
        let others = view.live().filter(|record| record.member != *own);
        let count = admission::SAMPLED_MEMBERS_PER_SECOND;
        let targets: Vec<_> = others
            .map(|record| record.control)
            .choose_multiple(&mut self.rng, count);
        for to in targets {
            let load = control::Load {
                id: self.next_id(),
                service: self
                    .view
                    .as_ref()
                    .map(|view| view.service().to_string())
                    .unwrap_or_default(),
                member: self.settings.member.to_string(),
                flows: self.load.open,
                activity: self.load.activity,
                slots: self.own_slots().0,
                limit: self.flow_limit(now),
            };
            send(to, Body::Load(load), out);
        }
    }

    pub(super) fn answer_load(
        &mut self,
        from: SocketAddr,
        load: control::Load,
        now: Instant,
        out: &mut Vec<Output>,
    ) {
        if !self.is_for_service(&load.service) || self.server.is_none() {
            return;
        }
        let sampled = Load {
            open: load.flows,
            activity: load.activity,
        };
        self.record_load_sample(&load.member, sampled, load.slots, load.limit, now);
        let answer = control::LoadAnswer {
            id: load.id,
            member: self.settings.member.to_string(),
            flows: self.load.open,
            activity: self.load.activity,
            slots: self.own_slots().0,
            limit: self.flow_limit(now),
        };
        send(from, Body::LoadAnswer(answer), out);
    }

    pub(super) fn handle_load_answer(&mut self, answer: control::LoadAnswer, now: Instant) {
        let load = Load {
            open: answer.flows,
            activity: answer.activity,
        };
        self.record_load_sample(&answer.member, load, answer.slots, answer.limit, now);
    }

    fn record_load_sample(
        &mut self,
        member: &str,
        load: Load,
        slots: u32,
        limit: u32,
        now: Instant,
    ) {
        let Ok(member) = member.parse::<Member>() else {
            return;
        };
        let view = self.view.as_ref();
        if view.is_none_or(|view| view.get(&member).is_none()) {
            return;
        }
        let sample = Sample {
            load,
            slots: Slots(slots),
            connections: Connections(limit),
            taken_at: now,
        };
        self.admission.record_sample(member, sample);
    }
}

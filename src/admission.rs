//! Admission of new flows: limits, bounded load, cold start and shedding.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::decision::Cause;
use crate::flow::FlowCounts;
use crate::id::{Connections, Member, Slots};
use crate::server::{LoadReport, REPORT_LIFETIME};

/// The service sheds its lighter class above this share of its limit, in percent.
pub const SHED_THRESHOLD_PERCENT: u64 = 90;
/// Share of the limit at which a cold server starts, in percent.
pub const COLD_START_PERCENT: u64 = 10;
/// Samples of other members' load older than this are ignored.
pub const SAMPLE_LIFETIME: Duration = Duration::from_secs(10);
/// Time over which activity is averaged. One second's count varies by a quarter with 16 active
/// flows, which is as much as the differences that matter.
pub const ACTIVITY_AVERAGE_SECONDS: u32 = 8;
/// Units of activity per flow, so that averages of few flows keep their fractions.
pub const ACTIVITY_UNITS_PER_FLOW: u32 = 16;
/// Share of the mean activity per slot that a member may carry, in percent. Lower than the bound
/// on open flows: a flow's activity shows only after it was placed, so it is corrected with later
/// flows.
pub const ACTIVITY_BOUND_PERCENT: u32 = 105;
/// Open flows that a less active member may have, in percent of the passing member's.
pub const OPEN_FLOWS_BOUND_PERCENT: u32 = 125;
/// Members whose load is asked each second.
pub const SAMPLED_MEMBERS_PER_SECOND: usize = 2;

/// Load of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Open flows.
    pub open: u32,
    /// Flows with a packet within a second, averaged over [`ACTIVITY_AVERAGE_SECONDS`], in units of
    /// 1/[`ACTIVITY_UNITS_PER_FLOW`].
    pub activity: u32,
}

impl Load {
    /// Takes up the count of one more second.
    pub fn record_second(&mut self, counts: FlowCounts) {
        self.open = counts.open;
        let previous = self.activity * (ACTIVITY_AVERAGE_SECONDS - 1);
        self.activity =
            (previous + counts.active * ACTIVITY_UNITS_PER_FLOW) / ACTIVITY_AVERAGE_SECONDS;
    }
}

/// The load of another member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Its flows.
    pub load: Load,
    /// Its slots.
    pub slots: Slots,
    /// Flows that it may hold at present.
    pub connections: Connections,
    /// When it was taken.
    pub taken_at: Instant,
}

impl Sample {
    /// Whether the member is a better choice than one with this load: less activity per slot without
    /// many more open flows, or fewer open flows if neither shows any activity.
    pub fn is_less_loaded(&self, than: &Load, slots: Slots) -> bool {
        let (own, other) = (u64::from(self.slots.0), u64::from(slots.0));
        let is_less = |mine: u32, theirs: u32| u64::from(mine) * other < u64::from(theirs) * own;
        let both_idle = self.load.activity == 0 && than.activity == 0;
        let has_few_open_flows = u64::from(self.load.open) * other * 100
            < u64::from(than.open) * own * u64::from(OPEN_FLOWS_BOUND_PERCENT);
        match both_idle {
            true => is_less(self.load.open, than.open),
            false => is_less(self.load.activity, than.activity) && has_few_open_flows,
        }
    }

    /// Whether the member was at its limit when sampled.
    pub fn is_full(&self) -> bool {
        self.load.open >= self.connections.0
    }
}

/// What admission needs to know about the local server.
#[derive(Clone, Copy, Debug)]
pub struct LocalServer {
    /// Flows owned by the server.
    pub load: Load,
    /// Slots of the server.
    pub slots: Slots,
    /// Connections that it may hold: those that it announced, or fewer by the configuration.
    pub connections: Connections,
    /// Share of the mean load per slot that it may carry, in percent.
    pub bound_percent: u32,
    /// Highest class weight of the service; flows of lower weights are shed first.
    pub max_class_weight: u32,
    /// When the server's run began.
    pub started: Instant,
    /// Length of the cold start.
    pub cold_start: Duration,
}

/// Whether the local server takes a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Capacity {
    /// It does.
    Available,
    /// It is within its limit, but over its share of the service's load.
    OverShare,
    /// It does not.
    Full(Cause),
}

/// Load samples and the server's report.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    samples: BTreeMap<Member, Sample>,
    report: Option<(LoadReport, Instant)>,
}

impl Admission {
    /// Notes another member's load.
    pub fn record_sample(&mut self, member: Member, sample: Sample) {
        self.samples.insert(member, sample);
    }

    /// Counts a flow that was passed on to a member until its next sample: many flows can arrive
    /// between two samples.
    pub fn record_passed_flow(&mut self, member: &Member) {
        if let Some(sample) = self.samples.get_mut(member) {
            sample.load.open += 1;
        }
    }

    /// Notes the server's own report.
    pub fn record_report(&mut self, report: LoadReport, now: Instant) {
        self.report = Some((report, now));
    }

    /// Forgets the report of a server that has gone.
    pub fn clear_report(&mut self) {
        self.report = None;
    }

    /// A fresh sample of a member's load.
    pub fn fresh_sample(&self, member: &Member, now: Instant) -> Option<&Sample> {
        self.samples
            .get(member)
            .filter(|sample| is_fresh(sample, now))
    }

    /// Removes samples that are no longer used.
    pub fn remove_stale_samples(&mut self, now: Instant) {
        self.samples.retain(|_, sample| is_fresh(sample, now));
    }

    /// The number of flows that the server may hold now.
    ///
    /// The server's report can lower the limit but never raise it: load endpoints are sometimes
    /// wrong, and a report of zero load would attract every flow.
    pub fn flow_limit(&self, local: &LocalServer, now: Instant) -> u32 {
        let announced = u64::from(local.connections.0);
        let age = now.saturating_duration_since(local.started);
        let limit = if age >= local.cold_start {
            announced
        } else {
            let gained_percent = age.as_millis() as u64 * (100 - COLD_START_PERCENT)
                / (local.cold_start.as_millis() as u64).max(1);
            (announced * (COLD_START_PERCENT + gained_percent)).div_ceil(100)
        };
        let limit = limit as u32;
        let Some(report) = self.fresh_report(now) else {
            return limit;
        };
        let unrecorded = report.open.saturating_sub(local.load.open);
        limit
            .min(report.limit.map_or(u32::MAX, |limit| limit.0))
            .saturating_sub(unrecorded)
    }

    /// Whether the server takes a new flow of a class.
    pub fn capacity(&self, local: &LocalServer, weight: u32, now: Instant) -> Capacity {
        let limit = self.flow_limit(local, now);
        if local.load.open >= limit {
            return Capacity::Full(Cause::Limit);
        }
        if weight < local.max_class_weight && self.has_reached_shed_threshold(local, limit, now) {
            return Capacity::Full(Cause::Shed);
        }
        let open = self.load_bound(local, local.bound_percent, now, |load| load.open);
        let activity = self.load_bound(local, ACTIVITY_BOUND_PERCENT, now, |load| load.activity);
        if local.load.open >= open || local.load.activity >= activity {
            return Capacity::OverShare;
        }
        Capacity::Available
    }

    fn fresh_report(&self, now: Instant) -> Option<&LoadReport> {
        let (report, received_at) = self.report.as_ref()?;
        (now.saturating_duration_since(*received_at) < REPORT_LIFETIME).then_some(report)
    }

    /// Whether the sampled part of the service is over its share of the limit.
    fn has_reached_shed_threshold(&self, local: &LocalServer, limit: u32, now: Instant) -> bool {
        let fresh = self.samples.values().filter(|s| is_fresh(s, now));
        let (open, limits) = fresh.fold(
            (u64::from(local.load.open), u64::from(limit)),
            |(open, limits), s| {
                (
                    open + u64::from(s.load.open),
                    limits + u64::from(s.connections.0),
                )
            },
        );
        open * 100 >= limits * SHED_THRESHOLD_PERCENT
    }

    /// The bound on the local server's load: its slots times the mean load per slot, with headroom.
    fn load_bound(
        &self,
        local: &LocalServer,
        percent: u32,
        now: Instant,
        measure: impl Fn(&Load) -> u32,
    ) -> u32 {
        let own = (
            u64::from(measure(&local.load)) + 1,
            u64::from(local.slots.0),
        );
        let fresh = self.samples.values().filter(|s| is_fresh(s, now));
        let (load, slots) = fresh.fold(own, |(load, slots), s| {
            (
                load + u64::from(measure(&s.load)),
                slots + u64::from(s.slots.0),
            )
        });
        let share = load * u64::from(local.slots.0) * u64::from(percent);
        // At least one flow per slot: with few flows the mean is no useful measure.
        share
            .div_ceil(slots.max(1) * 100)
            .max(u64::from(local.slots.0)) as u32
    }
}

fn is_fresh(sample: &Sample, now: Instant) -> bool {
    now.saturating_duration_since(sample.taken_at) < SAMPLE_LIFETIME
}

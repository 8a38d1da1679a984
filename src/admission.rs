//! Admission of new flows: connection limits, bounded load, cold start and load shedding.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::decision::Cause;
use crate::flow::FlowCounts;
use crate::id::{Connections, Member, Slots};
use crate::server::{LoadReport, REPORT_LIFETIME};

/// Share of a service's connection limit, in percent, from which flows of classes below the highest
/// weight are shed.
pub const SHED_THRESHOLD_PERCENT: u64 = 90;
/// Share of the connection limit, in percent, that applies at the start of a cold start. It rises
/// linearly to 100.
pub const COLD_START_PERCENT: u64 = 10;
/// Age from which a sample of another member's load is ignored.
pub const SAMPLE_LIFETIME: Duration = Duration::from_secs(10);
/// Weight of the history in the moving average of activity, in seconds: each second's count enters
/// with a share of one in this number. With 16 active flows a single second's count varies by a
/// quarter, as much as the load differences that matter.
pub const ACTIVITY_AVERAGE_SECONDS: u32 = 8;
/// Units of activity per active flow. Activity is a fixed-point number, so that the average of a
/// few flows keeps its fraction.
pub const ACTIVITY_UNITS_PER_FLOW: u32 = 16;
/// Bound on a member's activity per slot, in percent of the service's mean. It is lower than the
/// default bound on open flows: a flow's activity is known only after the flow was placed, so an
/// imbalance can be corrected only with later flows.
pub const ACTIVITY_BOUND_PERCENT: u32 = 105;
/// Bound on the open flows per slot of a less active member that a flow is passed on to, in percent
/// of the passing member's.
pub const OPEN_FLOWS_BOUND_PERCENT: u32 = 125;
/// Number of random members whose load an agent requests each second.
pub const SAMPLED_MEMBERS_PER_SECOND: usize = 2;

/// Load of a server, measured by its agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of open flows that the server owns.
    pub open: u32,
    /// Moving average over [`ACTIVITY_AVERAGE_SECONDS`] of the flows with a packet within a second,
    /// in units of 1/[`ACTIVITY_UNITS_PER_FLOW`] flow.
    pub activity: u32,
}

impl Load {
    /// Updates the load with the counts of one more second; called once a second.
    pub fn record_second(&mut self, counts: FlowCounts) {
        self.open = counts.open;
        let previous = self.activity * (ACTIVITY_AVERAGE_SECONDS - 1);
        self.activity =
            (previous + counts.active * ACTIVITY_UNITS_PER_FLOW) / ACTIVITY_AVERAGE_SECONDS;
    }
}

/// Load that another member reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Load of the member's server.
    pub load: Load,
    /// Slots of the member's server.
    pub slots: Slots,
    /// Number of flows that the member's server may hold at present, see [`Admission::flow_limit`].
    pub connections: Connections,
    /// Time at which this agent received the sample.
    pub taken_at: Instant,
}

impl Sample {
    /// Whether the member is a better choice than one with load `than` and `slots`: less activity
    /// per slot and open flows below [`OPEN_FLOWS_BOUND_PERCENT`], or fewer open flows per slot if
    /// neither has any activity.
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

    /// Whether the member had reached its limit when it was sampled.
    pub fn is_full(&self) -> bool {
        self.load.open >= self.connections.0
    }
}

/// State of the local server that [`Admission`] decides by.
#[derive(Clone, Copy, Debug)]
pub struct LocalServer {
    /// Load measured by this agent.
    pub load: Load,
    /// Slots that the server announced.
    pub slots: Slots,
    /// Maximum number of connections: as announced, or lower if the configuration says so.
    pub connections: Connections,
    /// Bound on the server's open flows per slot, in percent of the service's mean.
    pub bound_percent: u32,
    /// Highest class weight of the service. Only flows of lower weights are shed.
    pub max_class_weight: u32,
    /// Time of the first announcement of the server's current run.
    pub started: Instant,
    /// Time after `started` during which the limit rises; zero for no cold start.
    pub cold_start: Duration,
}

/// Whether the local server can accept a new flow.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Capacity {
    /// The server accepts the flow.
    Available,
    /// The server is below its limit, but has reached the bound on its share of the service's load.
    /// The flow is accepted only if it isn't passed on.
    OverShare,
    /// The server doesn't accept the flow, for this reason.
    Full(Cause),
}

/// Load samples of the other members and the last load report of the local server.
#[derive(Clone, Debug, Default)]
pub struct Admission {
    samples: BTreeMap<Member, Sample>,
    report: Option<(LoadReport, Instant)>,
}

impl Admission {
    /// Records a sample of another member's load, replacing the earlier one.
    pub fn record_sample(&mut self, member: Member, sample: Sample) {
        self.samples.insert(member, sample);
    }

    /// Adds a flow that was passed on to `member` to the member's sample, since many flows can
    /// arrive before the next sample.
    pub fn record_passed_flow(&mut self, member: &Member) {
        if let Some(sample) = self.samples.get_mut(member) {
            sample.load.open += 1;
        }
    }

    /// Records a load report of the local server, received at `now`.
    pub fn record_report(&mut self, report: LoadReport, now: Instant) {
        self.report = Some((report, now));
    }

    /// Removes the load report when a new run of the server begins.
    pub fn clear_report(&mut self) {
        self.report = None;
    }

    /// Returns the sample of a member's load unless it is older than [`SAMPLE_LIFETIME`].
    pub fn fresh_sample(&self, member: &Member, now: Instant) -> Option<&Sample> {
        self.samples
            .get(member)
            .filter(|sample| is_fresh(sample, now))
    }

    /// Removes samples that have reached [`SAMPLE_LIFETIME`].
    pub fn remove_stale_samples(&mut self, now: Instant) {
        self.samples.retain(|_, sample| is_fresh(sample, now));
    }

    /// Returns the number of flows that the server may hold at `now`.
    ///
    /// The server's load report can lower the limit but never raise it: load endpoints are
    /// sometimes wrong, and trusting a report of zero load would attract every flow. Connections
    /// that the server reports and this agent doesn't own are subtracted.
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

    /// Decides whether the server accepts a new flow whose class has this weight.
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

    /// Whether the open flows of this and the sampled members have reached
    /// [`SHED_THRESHOLD_PERCENT`] of their limits.
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

    /// Returns the bound on the local server's load: its slots times `percent` of the mean load per
    /// slot of this and the sampled members.
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
        // The bound is at least one per slot, because the mean of a few flows says little.
        share
            .div_ceil(slots.max(1) * 100)
            .max(u64::from(local.slots.0)) as u32
    }
}

fn is_fresh(sample: &Sample, now: Instant) -> bool {
    now.saturating_duration_since(sample.taken_at) < SAMPLE_LIFETIME
}

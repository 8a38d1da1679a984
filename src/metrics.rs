//! Metrics of a daemon in the Prometheus text format.

use prometheus::{Encoder, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder};

/// Metrics of one process. The names of all of them start with `flamingofall_`.
pub struct Metrics {
    registry: Registry,
    /// Number of packets, by outcome; for a balancer the outcomes include the drop reasons.
    pub packets: IntGaugeVec,
    /// Counters of the control socket, such as bytes and rejected frames, by kind.
    pub control: IntGaugeVec,
    /// Number of events that a balancer logged, by name.
    pub events: IntCounterVec,
    /// Number of flow records of an agent, by state.
    pub flows: IntGaugeVec,
    /// Generation of the configuration that is in force.
    pub generation: IntGauge,
    /// Number of member records that the process holds.
    pub members: IntGauge,
    /// 1 while the process is ready to forward packets, otherwise 0.
    pub ready: IntGauge,
}

impl Metrics {
    /// Creates the metrics with a registry of their own; all are zero.
    pub fn new() -> prometheus::Result<Self> {
        let registry = Registry::new();
        let opts = |name: &str, help: &str| Opts::new(format!("flamingofall_{name}"), help);
        let metrics = Self {
            packets: IntGaugeVec::new(opts("packets", "Packets by outcome"), &["outcome"])?,
            control: IntGaugeVec::new(opts("control", "Control frames by kind"), &["kind"])?,
            events: IntCounterVec::new(opts("events_total", "Events by name"), &["event"])?,
            flows: IntGaugeVec::new(opts("flows", "Flow records by state"), &["state"])?,
            generation: IntGauge::with_opts(opts("generation", "Generation in force"))?,
            members: IntGauge::with_opts(opts("members", "Member records in the view"))?,
            ready: IntGauge::with_opts(opts("ready", "1 if the process is ready"))?,
            registry,
        };
        metrics
            .registry
            .register(Box::new(metrics.packets.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.control.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.events.clone()))?;
        metrics.registry.register(Box::new(metrics.flows.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.generation.clone()))?;
        metrics
            .registry
            .register(Box::new(metrics.members.clone()))?;
        metrics.registry.register(Box::new(metrics.ready.clone()))?;
        Ok(metrics)
    }

    /// Returns the metrics in the text format. If the encoding fails, returns a comment with the
    /// error.
    pub fn render(&self) -> String {
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => String::from_utf8_lossy(&text).into_owned(),
            Err(error) => format!("# metrics not available: {error}\n"),
        }
    }
}

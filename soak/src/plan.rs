//! Which faults a run injects when.

use std::fmt;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::proxy::ConnectionFault;
use crate::store;

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Balancers are killed.
    KillBalancers,
    /// Balancers are suspended.
    FreezeBalancers,
    /// Balancers are stopped in order and start again.
    StopBalancers,
    /// Agents are killed.
    KillAgents,
    /// Agents are suspended.
    FreezeAgents,
    /// Agents are stopped in order and start again.
    StopAgents,
    /// Servers crash and start again.
    CrashServers,
    /// Servers drain and leave with their agents; others come, maybe of another service.
    ReplaceServers,
    /// All processes and servers are killed.
    PowerOff,
    /// The store misbehaves.
    Store(store::Mode),
    /// The store forgets its history.
    Forget,
    /// Connections of balancers and agents to the store are harmed.
    Connections(ConnectionFault),
    /// Clients' packets are lost on their way to the balancers.
    Loss,
    /// The configuration changes.
    Configure,
    /// Settings files change and the processes get SIGHUP.
    Reload,
}

const FAULTS: [Fault; 23] = [
    Fault::KillBalancers,
    Fault::FreezeBalancers,
    Fault::StopBalancers,
    Fault::KillAgents,
    Fault::FreezeAgents,
    Fault::StopAgents,
    Fault::CrashServers,
    Fault::ReplaceServers,
    Fault::PowerOff,
    Fault::Store(store::Mode::Refusing),
    Fault::Store(store::Mode::Busy),
    Fault::Store(store::Mode::Silent),
    Fault::Store(store::Mode::Slow),
    Fault::Store(store::Mode::Deaf),
    Fault::Forget,
    Fault::Connections(ConnectionFault::Delay),
    Fault::Connections(ConnectionFault::Reset),
    Fault::Connections(ConnectionFault::CutAnswers),
    Fault::Connections(ConnectionFault::CutCalls),
    Fault::Connections(ConnectionFault::SilenceOpen),
    Fault::Loss,
    Fault::Configure,
    Fault::Reload,
];

/// A fault at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Time since the first request.
    pub at: Duration,
    /// The fault.
    pub fault: Fault,
    /// How many are affected, where that applies.
    pub count: usize,
    /// How long it lasts, where that applies.
    pub duration: Duration,
}

impl fmt::Display for ScheduledFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "at={:.3} fault={:?} count={} for={:.3}",
            self.at.as_secs_f64(),
            self.fault,
            self.count,
            self.duration.as_secs_f64()
        )
    }
}

/// The size of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Balancers.
    pub balancers: usize,
    /// Agents, each with a server.
    pub agents: usize,
    /// Clients.
    pub clients: usize,
}

impl Size {
    /// Hosts of a group, which share three octets of their address.
    const GROUP_HOSTS_MAX: usize = 250;

    /// Fails if the addresses don't suffice or a group is empty.
    pub fn check(&self) -> anyhow::Result<()> {
        for (name, count) in [
            ("balancers", self.balancers),
            ("agents", self.agents),
            ("clients", self.clients),
        ] {
            anyhow::ensure!(
                (1..=Self::GROUP_HOSTS_MAX).contains(&count),
                "{name} must be 1 to {}",
                Self::GROUP_HOSTS_MAX
            );
        }
        Ok(())
    }
}

impl Default for Size {
    /// A dozen processes.
    fn default() -> Self {
        Self {
            balancers: 4,
            agents: 9,
            clients: 40,
        }
    }
}

/// A run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Seed of everything random.
    pub seed: u64,
    /// Its size.
    pub size: Size,
    /// Time in which faults begin.
    pub fault_window: Duration,
    /// The faults in the order of time.
    pub faults: Vec<ScheduledFault>,
}

/// Faults come in this many series at most; each repeats one fault.
const SERIES_MAX: usize = 6;
/// Repetitions of a fault in a series.
const REPEATS_MAX: usize = 4;

impl Plan {
    /// The plan that belongs to a seed: some series of faults that overlap.
    pub fn random(seed: u64, size: Size, fault_window: Duration) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        for _ in 0..random.random_range(2..=SERIES_MAX) {
            let fault = FAULTS[random.random_range(0..FAULTS.len())];
            let mut at = fault_window.mul_f64(random.random_range(0.05..0.8));
            let gap = Duration::from_millis(random.random_range(200..3000));
            let repeats_max = match fault {
                Fault::PowerOff => 2,
                _ => REPEATS_MAX,
            };
            for _ in 0..random.random_range(1..=repeats_max) {
                faults.push(ScheduledFault {
                    at,
                    fault,
                    count: random.random_range(1..=3),
                    duration: Duration::from_millis(random.random_range(200..5000)),
                });
                at += gap;
            }
        }
        faults.retain(|scheduled| scheduled.at < fault_window);
        faults.sort_by_key(|scheduled| scheduled.at);
        Self {
            seed,
            size,
            fault_window,
            faults,
        }
    }
}

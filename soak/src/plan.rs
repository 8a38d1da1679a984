//! Schedules of the faults that a run injects.

use std::fmt;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::proxy::ConnectionFault;
use crate::store;

/// A kind of fault. Log lines show the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Balancers get SIGKILL and start again later.
    KillBalancers,
    /// Balancers are suspended with SIGSTOP.
    FreezeBalancers,
    /// Balancers get SIGTERM and start again after their exit.
    StopBalancers,
    /// Agents get SIGKILL and start again later; their servers keep running.
    KillAgents,
    /// Agents are suspended with SIGSTOP.
    FreezeAgents,
    /// Agents get SIGTERM and start again after their exit.
    StopAgents,
    /// Servers lose their state without notice and start again under new names.
    CrashServers,
    /// Servers drain and stop together with their agents. They are replaced by servers of the same
    /// or, at random, of the other service.
    ReplaceServers,
    /// Servers lose their state and start again at once under the same names. They drain later and
    /// are replaced as by [`Fault::ReplaceServers`]. Their first heartbeat comes within an interval
    /// after the start. The notices that the former processes have ended arrive late, or not at all.
    RenewServers,
    /// All processes and servers are killed at the same time, as in a power loss.
    PowerOff,
    /// The store refuses, delays or ignores calls.
    Store(store::Mode),
    /// The store discards its history of changes, so that watches have to start again.
    Forget,
    /// The store fails, and comes back from a copy of this age. The operator writes the latest
    /// configuration again soon after.
    RestoreStore(Duration),
    /// Connections from some balancers and agents to the store are faulty.
    Connections(ConnectionFault),
    /// Some packets from clients to balancers are dropped.
    Loss,
    /// A new configuration is written to the store.
    Configure,
    /// Agents' settings files name other seeds, and the agents get SIGHUP.
    Reload,
    /// Agents get SIGTERM one after the other, [`ROLL_INTERVAL`] apart, and start again after their
    /// exit.
    RollAgents,
    /// The same with balancers.
    RollBalancers,
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

/// A fault that is injected at a given time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScheduledFault {
    /// Start of the fault, counted from the end of the run's startup time.
    pub at: Duration,
    /// Kind of the fault.
    pub fault: Fault,
    /// Number of balancers, agents or both that the fault affects; ignored by faults of the store,
    /// the fabric and the configuration, and by a power loss.
    pub count: usize,
    /// Duration of the fault, time before renewed servers drain, or downtime before a killed process
    /// or crashed server starts again. Other faults have no use for it.
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

/// Number of hosts in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// Number of balancers.
    pub balancers: usize,
    /// Number of agents, each with a server.
    pub agents: usize,
    /// Number of simulated clients.
    pub clients: usize,
    /// Number of these clients that keep their flows open and rest for seconds between requests.
    pub resting_clients: usize,
}

impl Size {
    /// Most hosts in a group; their addresses differ only in the last octet.
    const GROUP_HOSTS_MAX: usize = 250;

    /// Returns an error if a group has no hosts or more than it has addresses.
    pub fn validate(&self) -> anyhow::Result<()> {
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
    /// A size that runs 13 processes under test.
    fn default() -> Self {
        Self {
            balancers: 4,
            agents: 9,
            clients: 40,
            resting_clients: 0,
        }
    }
}

/// The size and the faults of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Plan {
    /// Seed of the plan and of the random choices during the run.
    pub seed: u64,
    /// Number of hosts.
    pub size: Size,
    /// Time during which faults may begin, counted from the end of the run's startup time.
    pub fault_window: Duration,
    /// The faults, sorted by start time.
    pub faults: Vec<ScheduledFault>,
}

/// Most series of faults in a plan; a series repeats one kind of fault.
const SERIES_MAX: usize = 6;
/// Most faults in a series.
const REPEATS_MAX: usize = 4;
/// Number of series that [`Plan::renew_servers`] adds.
const RENEWAL_SERIES: usize = 2;
/// Number of series that [`Plan::restore_store`] adds.
const RESTORE_SERIES: usize = 2;
/// Upper bound of the age of a copy from which the store comes back, in milliseconds.
const COPY_AGE_MAX_MS: u64 = 9000;
/// Longest time for which a store is away before it comes back from a copy.
const STORE_AWAY_MAX: Duration = Duration::from_secs(2);
/// Time between the processes of a turn of [`Fault::RollAgents`] or [`Fault::RollBalancers`].
pub const ROLL_INTERVAL: Duration = Duration::from_millis(1300);
/// Largest share of the agents or balancers in a turn.
const ROLL_SHARE_MAX: f64 = 0.45;
/// Turns of a kind that begin shortly after each other, and the time between them.
const AGENT_TURNS: u32 = 4;
const BALANCER_TURNS: u32 = 1;
const TURN_GAP: Duration = Duration::from_millis(400);
/// Time between the first turns of successive rounds.
const AGENT_ROUND: Duration = Duration::from_secs(7);
const BALANCER_ROUND: Duration = Duration::from_secs(4);

impl Plan {
    /// Generates a plan from a seed: several series of faults that may overlap. The same arguments
    /// always give the same plan.
    pub fn random(seed: u64, size: Size, fault_window: Duration) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut faults = Vec::new();
        for _ in 0..random.random_range(2..=SERIES_MAX) {
            let fault = FAULTS[random.random_range(0..FAULTS.len())];
            faults.extend(series(fault, fault_window, &mut random));
        }
        let mut plan = Self {
            seed,
            size,
            fault_window,
            faults,
        };
        plan.arrange();
        plan
    }

    /// Adds series of [`Fault::RenewServers`]. The other faults stay as they are.
    pub fn renew_servers(&mut self) {
        let mut random = SmallRng::seed_from_u64(!self.seed);
        for _ in 0..RENEWAL_SERIES {
            let renewals = series(Fault::RenewServers, self.fault_window, &mut random);
            self.faults.extend(renewals);
        }
        self.arrange();
    }

    /// Adds series of [`Fault::RestoreStore`], and a change of the configuration after each. The
    /// other faults stay as they are.
    pub fn restore_store(&mut self) {
        let mut random = SmallRng::seed_from_u64(self.seed.rotate_left(32));
        for _ in 0..RESTORE_SERIES {
            let age = Duration::from_millis(random.random_range(1000..COPY_AGE_MAX_MS));
            let fault = Fault::RestoreStore(age);
            let restores = series(fault, self.fault_window, &mut random);
            for mut restore in restores {
                restore.duration = restore.duration.min(STORE_AWAY_MAX);
                self.faults.push(restore);
                let pause = Duration::from_millis(random.random_range(300..4000));
                self.faults.push(ScheduledFault {
                    at: restore.at + restore.duration + pause,
                    fault: Fault::Configure,
                    ..restore
                });
            }
        }
        self.arrange();
    }

    /// Adds turns of [`Fault::RollAgents`] and [`Fault::RollBalancers`] that overlap, and lets half of
    /// the clients rest. The other faults stay as they are.
    pub fn roll_processes(&mut self) {
        let mut random = SmallRng::seed_from_u64(self.seed.rotate_left(16));
        self.size.resting_clients = self.size.clients / 2;
        let (agents, balancers) = (self.size.agents, self.size.balancers);
        for (fault, hosts, turns, round) in [
            (Fault::RollAgents, agents, AGENT_TURNS, AGENT_ROUND),
            (
                Fault::RollBalancers,
                balancers,
                BALANCER_TURNS,
                BALANCER_ROUND,
            ),
        ] {
            let count_max = ((hosts as f64 * ROLL_SHARE_MAX) as usize).max(1);
            let mut start = round.mul_f64(random.random_range(0.1..0.5));
            while start < self.fault_window {
                for turn in 0..turns {
                    let count = random.random_range(count_max.div_ceil(2)..=count_max);
                    self.faults.push(ScheduledFault {
                        at: start + TURN_GAP * turn,
                        fault,
                        count,
                        duration: ROLL_INTERVAL * count as u32,
                    });
                }
                start += round;
            }
        }
        self.arrange();
    }

    /// Delays all faults.
    pub fn delay(&mut self, calm: Duration) {
        self.fault_window += calm;
        for scheduled in &mut self.faults {
            scheduled.at += calm;
        }
    }

    fn arrange(&mut self) {
        self.faults
            .retain(|scheduled| scheduled.at < self.fault_window);
        self.faults.sort_by_key(|scheduled| scheduled.at);
    }
}

fn series(fault: Fault, fault_window: Duration, random: &mut SmallRng) -> Vec<ScheduledFault> {
    let start = fault_window.mul_f64(random.random_range(0.05..0.8));
    let gap = Duration::from_millis(random.random_range(200..3000));
    let repeats_max = match fault {
        Fault::PowerOff => 2,
        _ => REPEATS_MAX,
    };
    let repeats = random.random_range(1..=repeats_max);
    (0..repeats as u32)
        .map(|repeat| ScheduledFault {
            at: start + gap * repeat,
            fault,
            count: random.random_range(1..=3),
            duration: Duration::from_millis(random.random_range(200..5000)),
        })
        .collect()
}

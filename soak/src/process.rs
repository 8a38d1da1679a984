//! Starts, signals and restarts the processes under test.

use std::fs::File;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use tokio::process::{Child, Command};

/// Time between SIGTERM and SIGKILL; also the processes' `grace_period_s`.
pub const TERMINATION_GRACE: Duration = Duration::from_secs(6);
/// Delay before a process that exited is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// The same after [`Process::restart`].
const ROLL_RESTART_DELAY: Duration = Duration::from_millis(500);

/// Command line, settings and log file of a process.
#[derive(Clone, Debug)]
pub struct Launch {
    /// Path of the executable.
    pub program: PathBuf,
    /// Argument that selects the role: `balancer` or `agent`.
    pub role: &'static str,
    /// Path of the settings file, passed in `FLAMINGOFALL_NODE_FILE`.
    pub settings: PathBuf,
    /// File to which standard output and standard error are appended.
    pub log: PathBuf,
}

/// A process that is restarted whenever it exits.
#[derive(Debug)]
pub struct Process {
    launch: Launch,
    child: Option<Child>,
    /// Time of the next start.
    start_at: Option<Instant>,
    /// Whether the harness stopped or killed the process, so that its exit is expected.
    stop_requested: bool,
    /// Whether [`Process::restart`] has stopped the process and it hasn't started again.
    restarting: bool,
    /// Time at which SIGKILL follows a SIGTERM.
    kill_at: Option<Instant>,
    /// Time at which a suspended process is resumed.
    resume_at: Option<Instant>,
}

impl Process {
    /// Creates a process that the next [`Process::tick`] starts.
    pub fn new(launch: Launch, now: Instant) -> Self {
        Self {
            launch,
            child: None,
            start_at: Some(now),
            stop_requested: false,
            restarting: false,
            kill_at: None,
            resume_at: None,
        }
    }

    /// Kills, resumes or starts the process if the time for it has come. Returns whether the
    /// process exited without a request by the harness.
    pub fn tick(&mut self, now: Instant) -> Result<bool> {
        if self.kill_at.is_some_and(|at| at <= now) {
            self.signal(Signal::SIGKILL)?;
        }
        if self.resume_at.is_some_and(|at| at <= now) {
            self.resume_at = None;
            self.signal(Signal::SIGCONT)?;
        }
        let mut exited_unexpectedly = false;
        if let Some(child) = &mut self.child {
            if child.try_wait()?.is_some() {
                exited_unexpectedly = !self.stop_requested;
                self.child = None;
                self.stop_requested = false;
                self.kill_at = None;
                let delay = match self.restarting {
                    true => ROLL_RESTART_DELAY,
                    false => RESTART_DELAY,
                };
                self.start_at = Some(self.start_at.unwrap_or(now + delay));
            }
        }
        if self.child.is_none() && self.start_at.is_some_and(|at| at <= now) {
            self.start_at = None;
            self.restarting = false;
            self.child = Some(self.start()?);
        }
        Ok(exited_unexpectedly)
    }

    fn start(&self) -> Result<Child> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(&self.launch.log)?;
        Command::new(&self.launch.program)
            .arg(self.launch.role)
            .env("FLAMINGOFALL_NODE_FILE", &self.launch.settings)
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .with_context(|| format!("can't start {}", self.launch.program.display()))
    }

    /// Whether the process exists and isn't suspended.
    pub fn is_running(&self) -> bool {
        self.child.is_some() && self.resume_at.is_none()
    }

    /// Whether the process is running, or isn't because of an orderly restart.
    pub fn is_undisturbed(&self) -> bool {
        self.resume_at.is_none() && (self.child.is_some() || self.restarting)
    }

    /// Sends a signal to the process; does nothing if it isn't running.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let Some(id) = self.child.as_ref().and_then(Child::id) else {
            return Ok(());
        };
        kill(Pid::from_raw(id.try_into()?), signal).context("can't signal the process")
    }

    /// Sends SIGKILL; the process is started again `RESTART_DELAY` after `pause`.
    pub fn kill(&mut self, pause: Duration, now: Instant) -> Result<()> {
        self.stop_requested = true;
        self.restarting = false;
        self.resume_at = None;
        self.start_at = Some(now + pause + RESTART_DELAY);
        self.signal(Signal::SIGKILL)
    }

    /// Sends SIGTERM, and SIGKILL after [`TERMINATION_GRACE`]. The process is started again `pause`
    /// after the grace period, or `RESTART_DELAY` after its exit if `pause` is zero.
    pub fn stop(&mut self, pause: Duration, now: Instant) -> Result<()> {
        self.stop_requested = true;
        self.restarting = false;
        self.kill_at = Some(now + TERMINATION_GRACE);
        if pause > Duration::ZERO {
            self.start_at = Some(now + TERMINATION_GRACE + pause);
        }
        self.signal(Signal::SIGTERM)
    }

    /// Stops the process as [`Process::stop`] does and starts it again `ROLL_RESTART_DELAY` after its
    /// exit. Does nothing if it isn't running or is stopping.
    pub fn restart(&mut self, now: Instant) -> Result<()> {
        if !self.is_running() || self.stop_requested {
            return Ok(());
        }
        self.stop(Duration::ZERO, now)?;
        self.restarting = true;
        Ok(())
    }

    /// Sends SIGSTOP, and SIGCONT after `duration`.
    pub fn suspend(&mut self, duration: Duration, now: Instant) -> Result<()> {
        self.resume_at = Some(now + duration);
        self.signal(Signal::SIGSTOP)
    }
}

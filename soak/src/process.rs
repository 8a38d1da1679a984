//! Processes under test: started, signalled and started again.

use std::fs::File;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use tokio::process::{Child, Command};

/// Time between SIGTERM and SIGKILL.
pub const TERMINATION_GRACE: Duration = Duration::from_secs(6);
/// Time after which an ended process starts again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// How to start a process.
#[derive(Clone, Debug)]
pub struct Launch {
    /// The program.
    pub program: PathBuf,
    /// Its argument.
    pub role: &'static str,
    /// Its settings file.
    pub settings: PathBuf,
    /// Where its output goes.
    pub log: PathBuf,
}

/// A process that is started again whenever it has ended.
#[derive(Debug)]
pub struct Process {
    launch: Launch,
    child: Option<Child>,
    /// When it is started.
    start_at: Option<Instant>,
    /// It was told to end, or killed.
    stop_requested: bool,
    /// When it is killed.
    kill_at: Option<Instant>,
    /// When it goes on.
    resume_at: Option<Instant>,
}

impl Process {
    /// A process that starts with the next [`Process::tick`].
    pub fn new(launch: Launch, now: Instant) -> Self {
        Self {
            launch,
            child: None,
            start_at: Some(now),
            stop_requested: false,
            kill_at: None,
            resume_at: None,
        }
    }

    /// Starts, kills or resumes the process as far as that is due. Returns whether it has ended by
    /// itself.
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
                self.start_at = Some(self.start_at.unwrap_or(now + RESTART_DELAY));
            }
        }
        if self.child.is_none() && self.start_at.is_some_and(|at| at <= now) {
            self.start_at = None;
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

    /// Whether the process exists and isn't frozen.
    pub fn is_running(&self) -> bool {
        self.child.is_some() && self.resume_at.is_none()
    }

    /// Sends a signal to the process, if it exists.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let Some(id) = self.child.as_ref().and_then(Child::id) else {
            return Ok(());
        };
        kill(Pid::from_raw(id.try_into()?), signal).context("can't send a signal")
    }

    /// Kills the process; it starts again after `pause`.
    pub fn kill(&mut self, pause: Duration, now: Instant) -> Result<()> {
        self.stop_requested = true;
        self.resume_at = None;
        self.start_at = Some(now + pause + RESTART_DELAY);
        self.signal(Signal::SIGKILL)
    }

    /// Stops the process in order; it starts again `pause` after its end.
    pub fn stop(&mut self, pause: Duration, now: Instant) -> Result<()> {
        self.stop_requested = true;
        self.kill_at = Some(now + TERMINATION_GRACE);
        if pause > Duration::ZERO {
            self.start_at = Some(now + TERMINATION_GRACE + pause);
        }
        self.signal(Signal::SIGTERM)
    }

    /// Suspends the process for some time.
    pub fn suspend(&mut self, duration: Duration, now: Instant) -> Result<()> {
        self.resume_at = Some(now + duration);
        self.signal(Signal::SIGSTOP)
    }
}

//! Processes under test: started, signalled and started again.

use std::fs::File;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use anyhow::{Context, Result};
use nix::sys::signal::{kill, Signal};
use nix::unistd::Pid;
use tokio::process::{Child, Command};

/// Time between SIGTERM and SIGKILL.
pub const GRACE: Duration = Duration::from_secs(6);
/// Time after which an ended process starts again.
const RESTART: Duration = Duration::from_millis(300);

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
    due: Option<Instant>,
    /// It was told to end, or killed.
    ending: bool,
    /// When it is killed.
    killed: Option<Instant>,
    /// When it goes on.
    thaws: Option<Instant>,
}

impl Process {
    /// A process that starts with the next [`Process::tick`].
    pub fn new(launch: Launch, now: Instant) -> Self {
        Self {
            launch,
            child: None,
            due: Some(now),
            ending: false,
            killed: None,
            thaws: None,
        }
    }

    /// Starts, kills or resumes the process as far as that is due. Returns whether it has ended by
    /// itself.
    pub fn tick(&mut self, now: Instant) -> Result<bool> {
        if self.killed.is_some_and(|at| at <= now) {
            self.signal(Signal::SIGKILL)?;
        }
        if self.thaws.is_some_and(|at| at <= now) {
            self.thaws = None;
            self.signal(Signal::SIGCONT)?;
        }
        let mut alone = false;
        if let Some(child) = &mut self.child {
            if child.try_wait()?.is_some() {
                alone = !self.ending;
                self.child = None;
                self.ending = false;
                self.killed = None;
                self.due = Some(self.due.unwrap_or(now + RESTART));
            }
        }
        if self.child.is_none() && self.due.is_some_and(|due| due <= now) {
            self.due = None;
            self.child = Some(self.start()?);
        }
        Ok(alone)
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
    pub fn runs(&self) -> bool {
        self.child.is_some() && self.thaws.is_none()
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
        self.ending = true;
        self.thaws = None;
        self.due = Some(now + pause + RESTART);
        self.signal(Signal::SIGKILL)
    }

    /// Stops the process in order; it starts again `pause` after its end.
    pub fn stop(&mut self, pause: Duration, now: Instant) -> Result<()> {
        self.ending = true;
        self.killed = Some(now + GRACE);
        if pause > Duration::ZERO {
            self.due = Some(now + GRACE + pause);
        }
        self.signal(Signal::SIGTERM)
    }

    /// Suspends the process for some time.
    pub fn freeze(&mut self, time: Duration, now: Instant) -> Result<()> {
        self.thaws = Some(now + time);
        self.signal(Signal::SIGSTOP)
    }
}

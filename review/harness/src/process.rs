//! The programs under test, as separate processes.

use std::fs::File;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;
const SIGTERM: i32 = 15;

pub struct Process {
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn new(folder: &Path, role: &'static str, name: &str, settings: &str) -> Self {
        let path = folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings).expect("a settings file");
        let log = folder.join(format!("{name}.log"));
        Self {
            role,
            settings: path,
            log,
            child: None,
        }
    }

    /// Starts the program as the deploy file says, in the repository root.
    pub fn start(&mut self) {
        let mut log = File::options();
        let log = log.create(true).append(true).open(&self.log);
        let log = log.expect("a log file");
        let mut command = Command::new("target/release/flamingofall-platform");
        command.arg(self.role).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        command.env("FLAMINGOFALL_NODE_FILE", &self.settings);
        command.stdin(Stdio::null());
        command.stdout(log.try_clone().expect("a log file"));
        command.stderr(log);
        // The program ends with this process, however this one ends.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            });
        }
        self.child = Some(command.spawn().expect("the program of the deploy file"));
    }

    /// Asks the process to stop.
    pub fn terminate(&self) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, SIGTERM) };
        }
    }

    /// Whether the process has ended.
    pub fn ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => child.try_wait().ok().flatten().is_some(),
            None => true,
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

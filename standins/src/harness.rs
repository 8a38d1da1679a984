//! Programs that run as child processes.
//!
//! Signals go only to children that have not been waited for, so a process id can't have passed
//! to another process. All children are killed when their handles are dropped.

use std::collections::{BTreeMap, HashMap};
use std::ffi::OsString;
use std::fs;
use std::io::{self, BufRead, BufReader, Read};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use hyper::Method;
use rustix::process::{kill_process, waitid, Pid, Signal, WaitId, WaitIdOptions};
use serde::Serialize;
use tempfile::TempDir;

use crate::http;

/// Replaced by the path of the settings file in arguments.
pub const SETTINGS: &str = "{settings}";
/// Interval at which conditions are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time that a readiness call may take.
const READINESS_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Attempts to find a port number that is free for both UDP and TCP.
const BIND_ATTEMPTS: usize = 50;

/// A program to start.
#[derive(Clone, Debug)]
pub struct Program {
    name: String,
    binary: PathBuf,
    arguments: Vec<OsString>,
    environment: Vec<(OsString, OsString)>,
    settings: String,
}

impl Program {
    /// A program under a name that is unique within its harness.
    pub fn new(name: &str, binary: impl AsRef<Path>) -> Self {
        Self {
            name: name.to_owned(),
            binary: binary.as_ref().to_owned(),
            arguments: Vec::new(),
            environment: Vec::new(),
            settings: String::new(),
        }
    }

    /// Adds an argument. [`SETTINGS`] stands for the path of the settings file.
    pub fn argument(mut self, argument: impl Into<OsString>) -> Self {
        self.arguments.push(argument.into());
        self
    }

    /// Sets an environment variable.
    pub fn variable(mut self, name: impl Into<OsString>, value: impl Into<OsString>) -> Self {
        self.environment.push((name.into(), value.into()));
        self
    }

    /// Sets the content of the settings file.
    pub fn settings(mut self, settings: &impl Serialize) -> Self {
        self.settings = serde_json::to_string_pretty(settings).expect("settings are JSON");
        self
    }
}

/// A temporary directory for settings files.
#[derive(Debug)]
pub struct Harness {
    directory: TempDir,
}

impl Harness {
    /// Creates the directory. It is removed on drop.
    pub fn new() -> io::Result<Self> {
        let directory = tempfile::tempdir()?;
        Ok(Self { directory })
    }

    /// The directory.
    pub fn path(&self) -> &Path {
        self.directory.path()
    }

    /// Starts a program. A program of the same name gets a new settings file.
    pub fn start(&self, program: &Program) -> io::Result<Process> {
        let settings = self.path().join(format!("{}.json", program.name));
        fs::write(&settings, &program.settings)?;
        let arguments = program
            .arguments
            .iter()
            .map(|argument| match argument == SETTINGS {
                true => settings.clone().into_os_string(),
                false => argument.clone(),
            });
        let mut child = Command::new(&program.binary)
            .args(arguments)
            .envs(program.environment.iter().cloned())
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()?;
        let log = Arc::new(Mutex::new(Vec::new()));
        if let Some(stdout) = child.stdout.take() {
            collect_lines(stdout, log.clone());
        }
        if let Some(stderr) = child.stderr.take() {
            collect_lines(stderr, log.clone());
        }
        Ok(Process {
            name: program.name.clone(),
            id: child.id(),
            child: Mutex::new(child),
            log,
        })
    }
}

/// A line that a program wrote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// When it was read.
    pub at: Instant,
    /// The whole line.
    pub text: String,
    /// Its `key=value` pairs. Values in quotes may contain spaces.
    pub fields: BTreeMap<String, String>,
}

impl Line {
    fn new(text: String) -> Self {
        Self {
            at: Instant::now(),
            fields: fields(&text),
            text,
        }
    }

    /// The value of a key.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.fields.get(key).map(String::as_str)
    }
}

/// The `key=value` pairs of a line.
pub fn fields(text: &str) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let mut rest = text;
    while let Some((before, after)) = rest.split_once('=') {
        let key = before.rsplit(char::is_whitespace).next().unwrap_or(before);
        let (value, remaining) = split_value(after);
        if !key.is_empty() {
            fields.insert(key.to_owned(), value);
        }
        rest = remaining;
    }
    fields
}

/// Splits off the value at the start of `text`. Quotes are those of Rust string literals.
fn split_value(text: &str) -> (String, &str) {
    let Some(quoted) = text.strip_prefix('"') else {
        let end = text.find(char::is_whitespace).unwrap_or(text.len());
        return (text[..end].to_owned(), &text[end..]);
    };
    let mut value = String::new();
    let mut characters = quoted.char_indices();
    while let Some((index, character)) = characters.next() {
        match character {
            '"' => return (value, &quoted[index + 1..]),
            '\\' => value.extend(characters.next().map(|(_, escaped)| escaped)),
            _ => value.push(character),
        }
    }
    (value, "")
}

/// A running program. It is killed on drop.
#[derive(Debug)]
pub struct Process {
    name: String,
    id: u32,
    child: Mutex<Child>,
    log: Arc<Mutex<Vec<Line>>>,
}

impl Process {
    /// The program's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.id
    }

    /// Ends the process at once (SIGKILL) and waits for its end.
    pub fn kill(&self) -> io::Result<ExitStatus> {
        let mut child = self.child.lock().unwrap();
        // Fails only if the process has ended already.
        let _ = child.kill();
        child.wait()
    }

    /// Stops the process (SIGSTOP) until it is thawed. Returns when all its threads have stopped:
    /// the signal alone lets them run on for a moment.
    pub fn freeze(&self) -> io::Result<()> {
        let id = self.signal(Signal::STOP)?;
        let options = WaitIdOptions::STOPPED | WaitIdOptions::EXITED | WaitIdOptions::NOWAIT;
        waitid(WaitId::Pid(id), options)?;
        Ok(())
    }

    /// Lets a stopped process continue (SIGCONT).
    pub fn thaw(&self) -> io::Result<()> {
        self.signal(Signal::CONT).map(drop)
    }

    /// Asks the process to end (SIGTERM).
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM).map(drop)
    }

    fn signal(&self, signal: Signal) -> io::Result<Pid> {
        let mut child = self.child.lock().unwrap();
        if child.try_wait()?.is_some() {
            return Err(io::Error::other("the process has ended"));
        }
        let id = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        let id = id.ok_or_else(|| io::Error::other("invalid process id"))?;
        kill_process(id, signal)?;
        Ok(id)
    }

    /// The exit status, if the process has ended.
    pub fn exit_status(&self) -> io::Result<Option<ExitStatus>> {
        self.child.lock().unwrap().try_wait()
    }

    /// Waits for the end of the process.
    pub async fn wait(&self, timeout: Duration) -> io::Result<ExitStatus> {
        poll_until(timeout, || self.exit_status().transpose()).await?
    }

    /// Waits until a GET of `url` is answered with 200.
    pub async fn wait_ready(&self, url: &str, timeout: Duration) -> io::Result<()> {
        let end = Instant::now() + timeout;
        loop {
            let answer = http::call(Method::GET, url, "", READINESS_CALL_TIMEOUT).await;
            if answer.is_ok_and(|answer| answer.status == 200) {
                return Ok(());
            }
            if let Some(status) = self.exit_status()? {
                let message = format!("{} ended with {status}", self.name);
                return Err(io::Error::other(message));
            }
            if Instant::now() >= end {
                return Err(io::ErrorKind::TimedOut.into());
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits for a line that `accept` accepts, also among those already written.
    pub async fn wait_line(
        &self,
        timeout: Duration,
        accept: impl Fn(&Line) -> bool,
    ) -> io::Result<Line> {
        let mut seen = 0;
        poll_until(timeout, || {
            let log = self.log.lock().unwrap();
            let found = log[seen..].iter().find(|line| accept(line)).cloned();
            seen = log.len();
            found
        })
        .await
    }

    /// All lines written so far, on standard output and standard error.
    pub fn lines(&self) -> Vec<Line> {
        self.log.lock().unwrap().clone()
    }

    /// Number of lines by the value of a key.
    pub fn count(&self, key: &str) -> HashMap<String, u64> {
        let mut counts = HashMap::new();
        for line in self.log.lock().unwrap().iter() {
            if let Some(value) = line.get(key) {
                *counts.entry(value.to_owned()).or_default() += 1;
            }
        }
        counts
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.kill();
    }
}

/// Collects the lines of a stream in a thread that ends with the stream.
fn collect_lines(stream: impl Read + Send + 'static, log: Arc<Mutex<Vec<Line>>>) {
    thread::spawn(move || {
        let mut reader = BufReader::new(stream);
        let mut bytes = Vec::new();
        while reader
            .read_until(b'\n', &mut bytes)
            .is_ok_and(|count| count > 0)
        {
            let text = String::from_utf8_lossy(&bytes).trim_end().to_owned();
            log.lock().unwrap().push(Line::new(text));
            bytes.clear();
        }
    });
}

/// Polls until there is a value.
async fn poll_until<T>(timeout: Duration, mut poll: impl FnMut() -> Option<T>) -> io::Result<T> {
    let end = Instant::now() + timeout;
    loop {
        if let Some(value) = poll() {
            return Ok(value);
        }
        if Instant::now() >= end {
            return Err(io::ErrorKind::TimedOut.into());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// A loopback address whose port is free for UDP and TCP, for programs whose settings need a
/// fixed address.
///
/// Each address is on a loopback IP address of its own, derived from the process id: on a shared
/// one, another socket could get the port before the program binds it.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    for _ in 0..BIND_ATTEMPTS {
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let host = std::process::id().wrapping_mul(256).wrapping_add(number);
        let [_, a, b, c] = host.to_be_bytes();
        let ip = Ipv4Addr::new(127, a.clamp(1, 254), b, c.clamp(1, 254));
        let socket = UdpSocket::bind((ip, 0))?;
        let address = socket.local_addr()?;
        if TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

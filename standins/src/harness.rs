//! Test harness for programs that run as child processes.
//!
//! Signals are sent only to children that have not been reaped, because the operating system may
//! reuse the id of a reaped process. Each child is killed when its handle is dropped.

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

/// Placeholder in arguments that is replaced by the path of the settings file.
pub const SETTINGS: &str = "{settings}";
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Timeout of one HTTP call to a readiness endpoint.
const READINESS_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Maximum number of attempts to find a port number that is free for both UDP and TCP.
const BIND_ATTEMPTS: usize = 50;

/// Builder for a program to start: binary, arguments, environment and settings file.
#[derive(Clone, Debug)]
pub struct Program {
    name: String,
    binary: PathBuf,
    arguments: Vec<OsString>,
    environment: Vec<(OsString, OsString)>,
    settings: String,
}

impl Program {
    /// Creates a program without arguments and with an empty settings file.
    ///
    /// The settings file is named after `name`, so running programs of a harness need distinct
    /// names.
    pub fn new(name: &str, binary: impl AsRef<Path>) -> Self {
        Self {
            name: name.to_owned(),
            binary: binary.as_ref().to_owned(),
            arguments: Vec::new(),
            environment: Vec::new(),
            settings: String::new(),
        }
    }

    /// Appends an argument. An argument equal to [`SETTINGS`] is replaced by the path of the
    /// settings file.
    pub fn argument(mut self, argument: impl Into<OsString>) -> Self {
        self.arguments.push(argument.into());
        self
    }

    /// Sets an environment variable in addition to the inherited ones.
    pub fn variable(mut self, name: impl Into<OsString>, value: impl Into<OsString>) -> Self {
        self.environment.push((name.into(), value.into()));
        self
    }

    /// Sets the content of the settings file, which is written as JSON.
    pub fn settings(mut self, settings: &impl Serialize) -> Self {
        self.settings =
            serde_json::to_string_pretty(settings).expect("settings can be serialized as JSON");
        self
    }
}

/// Starts programs and keeps their settings files in a temporary directory.
#[derive(Debug)]
pub struct Harness {
    directory: TempDir,
}

impl Harness {
    /// Creates the temporary directory. It is removed on drop.
    pub fn new() -> io::Result<Self> {
        let directory = tempfile::tempdir()?;
        Ok(Self { directory })
    }

    /// Returns the path of the temporary directory.
    pub fn path(&self) -> &Path {
        self.directory.path()
    }

    /// Writes the settings file and starts the program.
    ///
    /// A second start under the same name overwrites the settings file.
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

/// A line of a program's standard output or standard error.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Line {
    /// When the harness read the line, which may be later than the program wrote it.
    pub at: Instant,
    /// The whole line without trailing white space.
    pub text: String,
    /// The line's `key=value` pairs, see [`fields`].
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

    /// Returns the value of a key, if the line contains it.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.fields.get(key).map(String::as_str)
    }
}

/// Parses the `key=value` pairs of a line.
///
/// Text between the pairs is ignored. A value in double quotes may contain spaces and escaped
/// quotes. If a key occurs twice, the last value counts.
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

/// Splits `text` into the value at its start and the rest.
///
/// A quoted value ends at the next unescaped quote. A backslash stands for the character after
/// it, so `\n` becomes `n`.
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

/// A started program. It is killed on drop.
#[derive(Debug)]
pub struct Process {
    name: String,
    id: u32,
    child: Mutex<Child>,
    log: Arc<Mutex<Vec<Line>>>,
}

impl Process {
    /// Returns the name given to [`Program::new`].
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id, also after the process has exited.
    pub fn id(&self) -> u32 {
        self.id
    }

    /// Kills the process (SIGKILL) and blocks until it has exited. If it had already exited,
    /// returns its exit status.
    pub fn kill(&self) -> io::Result<ExitStatus> {
        let mut child = self.child.lock().unwrap();
        // An error is of no interest here: `wait` returns the status of an exited process too.
        let _ = child.kill();
        child.wait()
    }

    /// Suspends the process (SIGSTOP) until [`Process::thaw`]. Waits until all its threads have
    /// stopped, because they keep running for a moment after the signal is sent.
    pub fn freeze(&self) -> io::Result<()> {
        let id = self.signal(Signal::STOP)?;
        let options = WaitIdOptions::STOPPED | WaitIdOptions::EXITED | WaitIdOptions::NOWAIT;
        waitid(WaitId::Pid(id), options)?;
        Ok(())
    }

    /// Resumes a suspended process (SIGCONT).
    pub fn thaw(&self) -> io::Result<()> {
        self.signal(Signal::CONT).map(drop)
    }

    /// Requests a graceful shutdown (SIGTERM) without waiting for it. Fails if the process has
    /// already exited.
    pub fn terminate(&self) -> io::Result<()> {
        self.signal(Signal::TERM).map(drop)
    }

    fn signal(&self, signal: Signal) -> io::Result<Pid> {
        let mut child = self.child.lock().unwrap();
        if child.try_wait()?.is_some() {
            return Err(io::Error::other("process has already exited"));
        }
        let id = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        let id = id.ok_or_else(|| io::Error::other("invalid process id"))?;
        kill_process(id, signal)?;
        Ok(id)
    }

    /// Returns the exit status if the process has exited, without waiting.
    pub fn exit_status(&self) -> io::Result<Option<ExitStatus>> {
        self.child.lock().unwrap().try_wait()
    }

    /// Waits until the process exits. Fails with `TimedOut` after `timeout`.
    pub async fn wait(&self, timeout: Duration) -> io::Result<ExitStatus> {
        poll_until(timeout, || self.exit_status().transpose()).await?
    }

    /// Waits until a GET request to `url` returns status 200.
    ///
    /// Fails if the process exits first, or with `TimedOut` after `timeout`.
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

    /// Waits for a line that matches `accept`, and returns the first one. Lines written before the
    /// call are searched too. Fails with `TimedOut` after `timeout`.
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

    /// Returns all lines read so far from standard output and standard error.
    pub fn lines(&self) -> Vec<Line> {
        self.log.lock().unwrap().clone()
    }

    /// Counts the lines that contain `key`, by its value.
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

/// Appends the lines of a stream to the log, in a thread that ends with the stream.
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

/// Calls `poll` at each [`POLL_INTERVAL`] until it returns a value. It is called at least once.
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

/// Finds a loopback address whose port is free for UDP and TCP, for programs whose settings need a
/// fixed address.
///
/// The port is not reserved. The loopback IP address is therefore derived from the process id and
/// the number of the call: on a shared one, another socket could bind the port before the program
/// does. The second and fourth octets are limited to 1 to 254, so a few calls share an IP address.
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

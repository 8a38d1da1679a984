//! Logging in lines of `key=value` pairs.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use env_logger::{Builder, Env, Target};

/// Maximum number of queued lines. Lines that don't fit are dropped and counted.
const QUEUE_LINES: usize = 1024;
/// Maximum time that [`flush_queue`] waits for the queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

static QUEUE: OnceLock<SyncSender<Entry>> = OnceLock::new();

enum Entry {
    Line(Vec<u8>),
    /// Request to flush the output and then send a signal.
    Flush(SyncSender<()>),
}

/// Starts logging to standard error. The environment variable `FLAMINGOFALL_LOG` overrides the
/// default level, `info`.
pub fn init() {
    init_with("flamingofall=info");
}

/// Starts logging to standard error. The environment variable `FLAMINGOFALL_LOG` overrides
/// `filter`, which has the syntax of `env_logger`.
pub fn init_with(filter: &str) {
    builder(filter).init();
}

/// Starts logging to standard output through a bounded queue, so that a stalled reader never blocks
/// the process. The environment variable `FLAMINGOFALL_LOG` overrides `filter`.
///
/// If the queue's thread can't be started, it logs to standard error without a queue.
pub fn init_queued(filter: &str) {
    let (queue, entries) = sync_channel(QUEUE_LINES);
    let writer = QueueWriter::new(queue.clone());
    let lost = writer.lost.clone();
    let started = std::thread::Builder::new()
        .name("log".into())
        .spawn(move || write_entries(&entries, &lost, &mut io::stdout()));
    let mut builder = builder(filter);
    match started {
        Ok(_) => {
            builder.target(Target::Pipe(Box::new(writer)));
            // Fails if there is a queue already, which then stays in use.
            let _ = QUEUE.set(queue);
            builder.init();
        }
        Err(error) => {
            builder.init();
            log::error!("event=log_queue_not_started reason={error:?}");
        }
    }
}

/// Waits until the queued lines are written, at most for 200 ms. Does nothing without a queue.
pub fn flush_queue() {
    let Some(queue) = QUEUE.get() else {
        return;
    };
    let (done, written) = sync_channel(1);
    if queue.try_send(Entry::Flush(done)).is_ok() {
        // After the timeout the remaining lines are lost, because the reader has stalled.
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

fn builder(filter: &str) -> Builder {
    let env = Env::new().filter_or("FLAMINGOFALL_LOG", filter);
    let mut builder = Builder::from_env(env);
    builder.format(|line, record| {
        let age = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        let level = record.level().as_str().to_ascii_lowercase();
        writeln!(
            line,
            "time={:.3} level={level} {}",
            age.as_secs_f64(),
            record.args()
        )
    });
    builder
}

/// Writer that adds lines to a bounded queue, and counts those that don't fit.
struct QueueWriter {
    queue: SyncSender<Entry>,
    lost: Arc<AtomicU64>,
}

impl QueueWriter {
    fn new(queue: SyncSender<Entry>) -> Self {
        Self {
            queue,
            lost: Arc::default(),
        }
    }
}

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.queue.try_send(Entry::Line(line.to_vec())).is_err() {
            self.lost.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes queued lines to `output` until the queue is closed or a write fails. Reports how many
/// lines were lost since the previous one.
fn write_entries(entries: &Receiver<Entry>, lost: &AtomicU64, output: &mut impl Write) {
    while let Ok(entry) = entries.recv() {
        let written = match entry {
            Entry::Line(line) => output.write_all(&line),
            Entry::Flush(done) => {
                let flushed = output.flush();
                // Fails if `flush_queue` has timed out.
                let _ = done.try_send(());
                flushed
            }
        };
        let lost = lost.swap(0, Ordering::Relaxed);
        let reported = match lost {
            0 => Ok(()),
            lost => writeln!(output, "level=warn event=log_lines_lost count={lost}"),
        };
        if written.and(reported).is_err() {
            // The reader has closed the output.
            return;
        }
    }
}

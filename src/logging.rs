//! Log lines of key=value pairs.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{sync_channel, Receiver, SyncSender};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use env_logger::{Builder, Env, Target};

/// Lines that wait for a slow reader; further ones are counted and left out.
const QUEUE_LINES: usize = 1024;
/// Time for the last lines to be written when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

static QUEUE: OnceLock<SyncSender<Entry>> = OnceLock::new();

enum Entry {
    Line(Vec<u8>),
    /// Everything before it has been written.
    Flush(SyncSender<()>),
}

/// Starts logging to standard error at level `info`, unless the variable `FLAMINGOFALL_LOG` says
/// otherwise.
pub fn init() {
    init_with("flamingofall=info");
}

/// Starts logging to standard error with `filter`, unless the variable `FLAMINGOFALL_LOG` says
/// otherwise.
pub fn init_with(filter: &str) {
    builder(filter).init();
}

/// Starts logging to standard output through a bounded queue, so that a reader that stalls never
/// blocks the process. `filter` is used unless the variable `FLAMINGOFALL_LOG` says otherwise.
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
            // Set once: the first caller's queue stays.
            let _ = QUEUE.set(queue);
            builder.init();
        }
        Err(error) => {
            builder.init();
            log::error!("event=log_queue_not_started reason={error:?}");
        }
    }
}

/// Waits until the queued lines are written, for a short time at most.
pub fn flush_queue() {
    let Some(queue) = QUEUE.get() else {
        return;
    };
    let (done, written) = sync_channel(1);
    if queue.try_send(Entry::Flush(done)).is_ok() {
        // A reader that stalls loses the last lines.
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

/// Writes lines to a bounded queue and counts those that don't fit.
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

fn write_entries(entries: &Receiver<Entry>, lost: &AtomicU64, output: &mut impl Write) {
    while let Ok(entry) = entries.recv() {
        let written = match entry {
            Entry::Line(line) => output.write_all(&line),
            Entry::Flush(done) => {
                let flushed = output.flush();
                // The process no longer waits.
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
            // Nobody reads the output any more.
            return;
        }
    }
}

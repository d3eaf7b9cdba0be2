//! Writes logs as JSON lines through a bounded queue. When the output blocks, lines are dropped;
//! requests are never delayed.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::Map;

/// Capacity of the queue: about one second of the heaviest logging.
const QUEUE_LINES: usize = 2_048;
/// Longest value of a field, in bytes; callers choose the length of some.
const MAX_VALUE_BYTES: usize = 1_024;
/// Largest batch that is written at once, unless a single line is longer: `PIPE_BUF` of Linux, up
/// to which writes to a pipe are atomic.
const BATCH_BYTES: usize = 4_096;

/// How long a process waits at its exit for its last log lines: half of the default time that a stopping
/// daemon leaves before it would be killed.
const EXIT_FLUSH_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which a flush is tried again while the queue is full.
const FLUSH_RETRY_INTERVAL: Duration = Duration::from_millis(1);

/// Error when starting logging.
#[derive(Debug, snafu::Snafu)]
pub enum LoggingError {
    /// The writer thread could not be started.
    #[snafu(display("cannot start the log writer thread: {source}; check the process limits"))]
    Writer {
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// A logger is already installed.
    #[snafu(display("logging is already started; start only one daemon per process"))]
    AlreadyStarted {
        /// Error of the `log` crate.
        source: log::SetLoggerError,
    },
}

/// Flushes the log at the exit of a process; reports lines that were not written to standard error.
pub fn flush_at_exit(queue: &LogQueue) {
    if !queue.flush(EXIT_FLUSH_TIMEOUT) {
        eprintln!("the last log lines were not written; check the log output");
    }
}

/// Starts logging to `output`; each line names the daemon. The process flushes the returned queue before it
/// exits.
///
/// # Errors
/// [`LoggingError`] if logging is already started or the writer thread cannot be spawned.
pub fn start(
    daemon: &str,
    level: log::LevelFilter,
    output: impl Write + Send + 'static,
) -> Result<LogQueue, LoggingError> {
    let queue = LogQueue::start(output)?;
    let for_logger = queue.clone();
    let daemon = daemon.to_owned();
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("lapismoor_edge", level)
        .level_for("lapismoor_adapter", level)
        .level_for("lapismoor_caller", level)
        .level_for("lapismoord", level)
        .chain(fern::Output::call(move |record| {
            for_logger.push(format_line(&daemon, record));
        }))
        .apply()
        .map_err(|source| LoggingError::AlreadyStarted { source })?;
    Ok(queue)
}

#[derive(Debug)]
enum Entry {
    Line(String),
    /// The sender is notified when all lines before it are written.
    Flush(SyncSender<()>),
}

/// Bounded queue between the loggers and the writer thread.
#[derive(Debug, Clone)]
pub struct LogQueue {
    entries: Arc<Mutex<SyncSender<Entry>>>,
    dropped: Arc<AtomicU64>,
}

impl LogQueue {
    fn start(output: impl Write + Send + 'static) -> Result<Self, LoggingError> {
        let (entries, queued) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let for_writer = Arc::clone(&dropped);
        std::thread::Builder::new()
            .name("log".into())
            .spawn(move || write_lines(&queued, &for_writer, output))
            .map_err(|source| LoggingError::Writer { source })?;
        Ok(Self {
            entries: Arc::new(Mutex::new(entries)),
            dropped,
        })
    }

    fn push(&self, line: String) {
        if self.try_send(Entry::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn try_send(&self, entry: Entry) -> Result<(), TrySendError<Entry>> {
        let entries = self.entries.lock();
        let entries = entries.unwrap_or_else(PoisonError::into_inner);
        entries.try_send(entry)
    }

    /// Waits until all lines logged so far are written, for at most `timeout`: a blocked output does not
    /// keep a process from its exit. Returns whether they are written.
    #[must_use]
    pub fn flush(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let (done, written) = sync_channel(1);
        let mut entry = Entry::Flush(done);
        while let Err(error) = self.try_send(entry) {
            let TrySendError::Full(unsent) = error else {
                return false;
            };
            if Instant::now() >= deadline {
                return false;
            }
            entry = unsent;
            std::thread::sleep(FLUSH_RETRY_INTERVAL);
        }
        let left = deadline.saturating_duration_since(Instant::now());
        written.recv_timeout(left).is_ok()
    }
}

fn write_lines(queued: &Receiver<Entry>, dropped: &AtomicU64, mut output: impl Write) {
    let mut carried_over = None;
    while let Some(first) = carried_over.take().or_else(|| queued.recv().ok()) {
        let first = match first {
            Entry::Line(line) => line,
            Entry::Flush(done) => {
                // Whoever no longer waits needs no notice.
                drop(output.flush().map(|()| done.try_send(())));
                continue;
            }
        };
        let (batch, next) = next_batch(first, queued);
        carried_over = next;
        if output.write_all(batch.as_bytes()).is_err() {
            dropped.fetch_add(count_lines(&batch), Ordering::Relaxed);
        }
        report_dropped(dropped, &mut output);
    }
}

/// Writes a line with the number of dropped lines. If that write fails, the number is kept for the
/// next report.
fn report_dropped(dropped: &AtomicU64, output: &mut impl Write) {
    let unreported = dropped.swap(0, Ordering::Relaxed);
    if unreported > 0
        && output
            .write_all(dropped_line(unreported).as_bytes())
            .is_err()
    {
        dropped.fetch_add(unreported, Ordering::Relaxed);
    }
}

fn count_lines(batch: &str) -> u64 {
    u64::try_from(batch.lines().count()).unwrap_or(u64::MAX)
}

/// Joins queued lines up to the batch limit or a flush. Also returns the first entry that was not joined.
fn next_batch(first: String, queued: &Receiver<Entry>) -> (String, Option<Entry>) {
    let mut batch = first;
    while let Ok(entry) = queued.try_recv() {
        match entry {
            Entry::Line(line) if batch.len() + line.len() <= BATCH_BYTES => batch.push_str(&line),
            entry => return (batch, Some(entry)),
        }
    }
    (batch, None)
}

fn dropped_line(count: u64) -> String {
    let line = serde_json::json!({
        "level": "WARN",
        "event": "log_lines_dropped",
        "count": count,
        "time_ms": unix_time_ms(),
    });
    format!("{line}\n")
}

/// Collects the key-value pairs of a log record as JSON.
struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(number), _, _) => number.into(),
            (_, Some(number), _) => number.into(),
            (_, _, Some(flag)) => flag.into(),
            _ => text_or_null(&value.to_string()),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// The value as a JSON string, cut to [`MAX_VALUE_BYTES`]; `None` of an option becomes null.
fn text_or_null(value: &str) -> serde_json::Value {
    if value == "None" {
        return serde_json::Value::Null;
    }
    value[..value.floor_char_boundary(MAX_VALUE_BYTES)].into()
}

fn format_line(daemon: &str, record: &log::Record<'_>) -> String {
    let mut fields = Fields(Map::new());
    if record.key_values().visit(&mut fields).is_err() {
        fields.0.insert("fields".into(), "unreadable".into());
    }
    let mut fields = fields.0;
    fields.insert("time_ms".into(), unix_time_ms().into());
    fields.insert("level".into(), record.level().as_str().into());
    fields.insert("daemon".into(), daemon.into());
    fields.insert("event".into(), record.args().to_string().into());
    let mut line = serde_json::Value::Object(fields).to_string();
    line.push('\n');
    line
}

/// Unix time in milliseconds; 0 if the system clock is set before 1970.
fn unix_time_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch
        .map(|elapsed| elapsed.as_millis())
        .unwrap_or_default();
    u64::try_from(millis).unwrap_or(u64::MAX)
}

//! Logs as JSON lines on standard output, through a bounded queue: a reader that does not read
//! costs lines, never a request's time.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use log::kv::{Error, Key, Value, VisitSource};
use serde_json::Map;

/// Lines that wait to be written at most; about a second of the heaviest logging.
const QUEUE_LINES: usize = 2_048;
/// Bytes written at once at most, but for a longer line: `PIPE_BUF` of Linux, what a pipe takes whole.
const BATCH_BYTES: usize = 4_096;

/// Why logging did not start.
#[derive(Debug, snafu::Snafu)]
pub enum LoggingError {
    /// The writer did not start.
    #[snafu(display("cannot start the log writer: {source}; check the limits of the process"))]
    Writer {
        /// Why.
        source: std::io::Error,
    },
    /// Logging was started before.
    #[snafu(display("logging was started before; start the daemon once in a process"))]
    Started {
        /// Why.
        source: log::SetLoggerError,
    },
}

/// Starts logging for a daemon to `output`.
///
/// # Errors
/// [`LoggingError`] when it cannot start.
pub fn start(
    daemon: &str,
    level: log::LevelFilter,
    output: impl Write + Send + 'static,
) -> Result<(), LoggingError> {
    let queue = LineQueue::start(output)?;
    let daemon = daemon.to_owned();
    fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("lapismoor_edge", level)
        .level_for("lapismoor_adapter", level)
        .level_for("lapismoor_caller", level)
        .level_for("lapismoord", level)
        .chain(fern::Output::call(move |record| {
            queue.push(line(&daemon, record));
        }))
        .apply()
        .map_err(|source| LoggingError::Started { source })
}

/// Lines on their way to the output.
struct LineQueue {
    lines: Mutex<SyncSender<String>>,
    dropped: Arc<AtomicU64>,
}

impl LineQueue {
    fn start(output: impl Write + Send + 'static) -> Result<Self, LoggingError> {
        let (lines, waiting) = sync_channel(QUEUE_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let for_writer = Arc::clone(&dropped);
        std::thread::Builder::new()
            .name("log".into())
            .spawn(move || write_lines(&waiting, &for_writer, output))
            .map_err(|source| LoggingError::Writer { source })?;
        Ok(Self {
            lines: Mutex::new(lines),
            dropped,
        })
    }

    fn push(&self, line: String) {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        if let Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) = lines.try_send(line) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

fn write_lines(waiting: &Receiver<String>, dropped: &AtomicU64, mut output: impl Write) {
    let mut left_over = None;
    while let Some(first) = left_over.take().or_else(|| waiting.recv().ok()) {
        let (batch, next) = batch(first, waiting);
        left_over = next;
        if output.write_all(batch.as_bytes()).is_err() {
            dropped.fetch_add(count_lines(&batch), Ordering::Relaxed);
        }
        tell_dropped(dropped, &mut output);
    }
}

/// Nothing can be told about an output that does not take the telling; it is told later.
fn tell_dropped(dropped: &AtomicU64, output: &mut impl Write) {
    let lost = dropped.swap(0, Ordering::Relaxed);
    if lost > 0 && output.write_all(dropped_line(lost).as_bytes()).is_err() {
        dropped.fetch_add(lost, Ordering::Relaxed);
    }
}

fn count_lines(batch: &str) -> u64 {
    u64::try_from(batch.lines().count()).unwrap_or(u64::MAX)
}

/// Lines that wait, as many as one write takes; and the first that did not fit.
fn batch(first: String, waiting: &Receiver<String>) -> (String, Option<String>) {
    let mut batch = first;
    while let Ok(line) = waiting.try_recv() {
        if batch.len() + line.len() > BATCH_BYTES {
            return (batch, Some(line));
        }
        batch.push_str(&line);
    }
    (batch, None)
}

fn dropped_line(count: u64) -> String {
    let line = serde_json::json!({
        "level": "WARN",
        "event": "log_lines_dropped",
        "count": count,
        "time_ms": now_ms(),
    });
    format!("{line}\n")
}

/// Collects the fields of a record.
struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(number), _, _) => number.into(),
            (_, Some(number), _) => number.into(),
            (_, _, Some(flag)) => flag.into(),
            _ => text(&value.to_string()),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Text of a value; an option without one is written as nothing.
fn text(value: &str) -> serde_json::Value {
    if value == "None" {
        return serde_json::Value::Null;
    }
    value.into()
}

fn line(daemon: &str, record: &log::Record<'_>) -> String {
    let mut fields = Fields(Map::new());
    if record.key_values().visit(&mut fields).is_err() {
        fields.0.insert("fields".into(), "unreadable".into());
    }
    let mut fields = fields.0;
    fields.insert("time_ms".into(), now_ms().into());
    fields.insert("level".into(), record.level().as_str().into());
    fields.insert("daemon".into(), daemon.into());
    fields.insert("event".into(), record.args().to_string().into());
    let mut line = serde_json::Value::Object(fields).to_string();
    line.push('\n');
    line
}

/// Time of day; a clock before 1970 counts as 1970.
fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since.map(|since| since.as_millis()).unwrap_or_default();
    u64::try_from(millis).unwrap_or(u64::MAX)
}

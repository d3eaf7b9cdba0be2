//! Guards against a blocked log output that delays the daemon or loses lines uncounted.

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Number of lines logged while the output is blocked; more than the queue holds.
const LINES: usize = 10_000;

/// An output whose writes block until the test resumes it.
struct BlockedOutput {
    resume: Receiver<()>,
    is_resumed: bool,
    written: Arc<Mutex<Vec<u8>>>,
    done: Sender<()>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if !self.is_resumed {
            self.resume.recv().expect("the test resumes the output");
            self.is_resumed = true;
        }
        self.written
            .lock()
            .expect("no panic")
            .extend_from_slice(bytes);
        if bytes.windows(12).any(|window| window == b"\"event\":\"end") {
            self.done.send(()).expect("the test waits");
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_blocked_output_never_delays_logging_and_dropped_lines_are_counted() {
    let (resume, resumed) = channel();
    let (done, end_written) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = BlockedOutput {
        resume: resumed,
        is_resumed: false,
        written: Arc::clone(&written),
        done,
    };
    lapismoor_edge::start_logging("edge-1", log::LevelFilter::Info, output).expect("first start");
    // Returns while the output is blocked, because logging does not wait for writes.
    for number in 0..LINES {
        log::info!(target: "lapismoor_edge", number; "line");
    }
    resume.send(()).expect("the writer waits");
    let mut ends = 0;
    while end_written.recv_timeout(Duration::from_millis(20)).is_err() {
        log::info!(target: "lapismoor_edge", "end");
        ends += 1;
    }
    let text = String::from_utf8(written.lock().expect("no panic").clone()).expect("text");
    let kept = text
        .lines()
        .filter(|line| !line.contains("log_lines_dropped"))
        .count();
    let dropped: usize = text
        .lines()
        .filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok())
        .filter(|line| line["event"] == "log_lines_dropped")
        .filter_map(|line| line["count"].as_u64())
        .map(|count| usize::try_from(count).expect("small"))
        .sum();
    assert!(dropped > 0, "the queue was never full");
    assert_eq!(kept + dropped, LINES + ends);
}

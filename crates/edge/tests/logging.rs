//! A log whose reader is stuck costs lines, never time.

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Lines pushed while the reader is stuck: more than wait at most.
const LINES: usize = 10_000;

/// An output that takes nothing until it is told to go on.
struct StuckOutput {
    go_on: Receiver<()>,
    is_free: bool,
    written: Arc<Mutex<Vec<u8>>>,
    done: Sender<()>,
}

impl Write for StuckOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if !self.is_free {
            self.go_on.recv().expect("the test goes on");
            self.is_free = true;
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
fn a_stuck_reader_never_delays_and_the_dropped_lines_are_counted() {
    let (go_on, waits) = channel();
    let (done, is_done) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = StuckOutput {
        go_on: waits,
        is_free: false,
        written: Arc::clone(&written),
        done,
    };
    lapismoor_edge::start_logging("edge-1", log::LevelFilter::Info, output).expect("first start");
    // This returns although nothing is written: nothing here waits for the reader.
    for number in 0..LINES {
        log::info!(target: "lapismoor_edge", number; "line");
    }
    go_on.send(()).expect("the writer waits");
    let mut ends = 0;
    while is_done.recv_timeout(Duration::from_millis(20)).is_err() {
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

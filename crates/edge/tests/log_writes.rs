//! A burst of lines reaches a pipe in writes that it takes whole.

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};

/// What a pipe takes whole, in bytes: `PIPE_BUF` of Linux.
const PIPE_WHOLE_BYTES: usize = 4_096;
/// Lines of the burst: some 40 KB.
const LINES: u64 = 400;

/// An output that keeps its first write waiting, so that all lines are there for the second.
struct SlowOutput {
    go_on: Receiver<()>,
    is_first: bool,
    writes: Sender<String>,
}

impl Write for SlowOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if std::mem::take(&mut self.is_first) {
            self.go_on.recv().expect("the test goes on");
        }
        let text = String::from_utf8(bytes.to_vec()).expect("text");
        self.writes.send(text).expect("the test reads");
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_burst_is_written_in_whole_lines_that_a_pipe_takes_at_once() {
    let (go_on, waits) = channel();
    let (writes, written) = channel();
    let output = SlowOutput {
        go_on: waits,
        is_first: true,
        writes,
    };
    lapismoor_edge::start_logging("edge-1", log::LevelFilter::Info, output).expect("first start");
    for number in 0..LINES {
        log::info!(target: "lapismoor_edge", number; "line");
    }
    go_on.send(()).expect("the writer waits");
    let mut lines = 0;
    while lines < LINES {
        let write = written.recv().expect("the writer lives");
        assert!(write.len() <= PIPE_WHOLE_BYTES, "{} bytes", write.len());
        assert!(write.ends_with('\n'), "a line is cut: {write}");
        lines += write.lines().count() as u64;
    }
    assert_eq!(lines, LINES);
}

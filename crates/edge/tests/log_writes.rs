//! Guards against log writes larger than a pipe accepts atomically, which could tear lines.

use std::io::Write;
use std::sync::mpsc::{Receiver, Sender, channel};

/// Largest atomic write to a pipe: `PIPE_BUF` of Linux.
const PIPE_BUF_BYTES: usize = 4_096;
/// Number of lines in the burst, about 40 KB.
const LINES: u64 = 400;

/// An output whose first write blocks, so that all lines are queued before the second.
struct SlowOutput {
    resume: Receiver<()>,
    is_first: bool,
    writes: Sender<String>,
}

impl Write for SlowOutput {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        if std::mem::take(&mut self.is_first) {
            self.resume.recv().expect("the test resumes the output");
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
fn a_burst_is_written_in_whole_lines_of_at_most_pipe_buf_bytes() {
    let (resume, resumed) = channel();
    let (writes, written) = channel();
    let output = SlowOutput {
        resume: resumed,
        is_first: true,
        writes,
    };
    lapismoor_edge::start_logging("edge-1", log::LevelFilter::Info, output).expect("first start");
    for number in 0..LINES {
        log::info!(target: "lapismoor_edge", number; "line");
    }
    resume.send(()).expect("the writer waits");
    let mut lines = 0;
    while lines < LINES {
        let write = written.recv().expect("the writer runs");
        assert!(write.len() <= PIPE_BUF_BYTES, "{} bytes", write.len());
        assert!(write.ends_with('\n'), "a line is cut: {write}");
        lines += write.lines().count() as u64;
    }
    assert_eq!(lines, LINES);
}

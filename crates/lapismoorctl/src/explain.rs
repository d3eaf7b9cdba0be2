//! `lapismoorctl explain`.

use std::fmt::Write as _;
use std::io::Read as _;
use std::path::{Path, PathBuf};

use lapismoor_edge::history::{LogLine, RequestHistory, UncleanExit};
use serde_json::json;
use snafu::ResultExt;

use crate::error::{CommandError, UnreadableSnafu};

/// Name of standard input among the logs.
const STANDARD_INPUT: &str = "-";

pub(crate) fn explain(request: &str, logs: &[PathBuf], json: bool) -> Result<String, CommandError> {
    let lines = read_all(logs)?;
    let story =
        RequestHistory::from_lines(request, &lines).ok_or_else(|| CommandError::NoLine {
            request: request.to_owned(),
            kills: UncleanExit::find_all(&lines),
        })?;
    if json {
        return Ok(format!("{}\n", json!(story)));
    }
    Ok(tell(&story))
}

fn read_all(logs: &[PathBuf]) -> Result<Vec<LogLine>, CommandError> {
    let standard_input = [PathBuf::from(STANDARD_INPUT)];
    let logs = if logs.is_empty() {
        &standard_input
    } else {
        logs
    };
    let mut lines = Vec::new();
    for log in logs {
        let text = read(log).context(UnreadableSnafu { path: log })?;
        lines.extend(text.lines().filter_map(LogLine::parse));
    }
    Ok(lines)
}

fn read(log: &Path) -> std::io::Result<String> {
    let mut bytes = Vec::new();
    if log == Path::new(STANDARD_INPUT) {
        std::io::stdin().read_to_end(&mut bytes)?;
    } else {
        bytes = std::fs::read(log)?;
    }
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

fn tell(story: &RequestHistory) -> String {
    let cause = &story.cause;
    let mut text = format!(
        "request {}: {}, {}\n",
        story.request, cause.outcome, cause.name
    );
    append(&mut text, &format!("  meaning: {}", cause.meaning));
    append(&mut text, &format!("  next: {}", cause.remedy));
    append(&mut text, "lines of the request:");
    for step in &story.steps {
        append(&mut text, &format!("  {step}"));
    }
    append(&mut text, "what the daemon had learned:");
    for belief in &story.daemon_events {
        append(&mut text, &format!("  {belief}"));
    }
    text
}

fn append(text: &mut String, line: &str) {
    // Writing to a string does not fail.
    writeln!(text, "{line}").expect("memory");
}

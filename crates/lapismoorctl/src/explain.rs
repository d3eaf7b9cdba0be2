//! The `explain` command.

use std::fmt::Write as _;
use std::io::Read as _;
use std::path::{Path, PathBuf};

use lapismoor_edge::history::{LogLine, RequestHistory, UncleanExit};
use serde_json::json;
use snafu::ResultExt;

use crate::error::{CommandError, UnreadableSnafu};

/// Log path that stands for standard input.
const STANDARD_INPUT: &str = "-";

pub(crate) fn explain(request: &str, logs: &[PathBuf], json: bool) -> Result<String, CommandError> {
    let lines = read_log_lines(logs)?;
    let history =
        RequestHistory::from_lines(request, &lines).ok_or_else(|| CommandError::NoLogLine {
            request: request.to_owned(),
            unclean_exits: UncleanExit::find_all(&lines),
        })?;
    if json {
        return Ok(format!("{}\n", json!(history)));
    }
    Ok(render(&history))
}

fn read_log_lines(logs: &[PathBuf]) -> Result<Vec<LogLine>, CommandError> {
    let standard_input = [PathBuf::from(STANDARD_INPUT)];
    let logs = if logs.is_empty() {
        &standard_input
    } else {
        logs
    };
    let mut lines = Vec::new();
    for log in logs {
        let text = read_log(log).context(UnreadableSnafu { path: log })?;
        lines.extend(text.lines().filter_map(LogLine::parse));
    }
    Ok(lines)
}

fn read_log(log: &Path) -> std::io::Result<String> {
    let mut bytes = Vec::new();
    if log == Path::new(STANDARD_INPUT) {
        std::io::stdin().read_to_end(&mut bytes)?;
    } else {
        bytes = std::fs::read(log)?;
    }
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

fn render(history: &RequestHistory) -> String {
    let cause = &history.cause;
    let mut text = format!(
        "request {}: {}, {}\n",
        history.request, cause.outcome, cause.name
    );
    push_line(&mut text, &format!("  meaning: {}", cause.meaning));
    push_line(&mut text, &format!("  next: {}", cause.remedy));
    push_line(&mut text, "log lines of the request:");
    for step in &history.steps {
        push_line(&mut text, &format!("  {step}"));
    }
    push_line(
        &mut text,
        "recent events at the daemon (targets, store, configuration):",
    );
    for event in &history.daemon_events {
        push_line(&mut text, &format!("  {event}"));
    }
    text
}

fn push_line(text: &mut String, line: &str) {
    writeln!(text, "{line}").expect("writing to a string does not fail");
}

//! Why a request ended as it did, from its last line.

use serde::Serialize;

use super::line::LogLine;

/// Why a request ended as it did.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Cause {
    /// `served`, `refused`, `failed`, `broken_off` or `unfinished`.
    pub outcome: String,
    /// Name of the cause, as in logs and metrics.
    pub name: String,
    /// What it means.
    pub meaning: &'static str,
    /// What to do.
    pub remedy: &'static str,
}

/// Name, meaning and remedy of each cause.
const CAUSES: [(&str, &str, &str); 29] = [
    (
        "no_configuration",
        "the daemon had not read a configuration yet",
        "look for store_lost after started",
    ),
    (
        "stale_configuration",
        "the daemon had no word of the store for so long that the key may have been taken away",
        "look at the store and the way to it",
    ),
    (
        "no_route",
        "no route of the configuration in force takes the path",
        "compare config_version with the change that adds or removes the route",
    ),
    (
        "unknown_key",
        "the configuration in force has no such key",
        "compare config_version with the change that adds or removes the key",
    ),
    (
        "no_target",
        "the service had no target in use",
        "look at the entries of its targets in the store",
    ),
    (
        "unreachable",
        "all targets were tried or paused after failures",
        "look for target_paused and its cause",
    ),
    (
        "busy",
        "all targets tried rejected it, or the retries of the service were used up",
        "look at retries_left and the load of the service",
    ),
    (
        "full",
        "it would have waited for longer than its aim allows",
        "look at the load of the service and the number of its targets",
    ),
    (
        "queue_full",
        "as many requests waited as the pool's queue_limit allows, none of them less urgent",
        "look at the load of the service and the number of its targets",
    ),
    (
        "workspace_limit",
        "the workspace sent more than its limits allow",
        "look at its requests_per_second and concurrent_requests",
    ),
    (
        "caller_left",
        "its caller closed the connection before the answer, as at its deadline",
        "compare held_ms with the caller's deadline; look at the load of the service",
    ),
    (
        "crashes_targets",
        "the request crashed three targets or more, one after the other",
        "look for crash_suspected, and at the request",
    ),
    (
        "stopping",
        "the daemon was about to stop; the caller was sent elsewhere",
        "nothing",
    ),
    (
        "other_target",
        "another target has the address",
        "look for target_gone of that target",
    ),
    (
        "rejected",
        "the target did not run it, as when it is full",
        "look at the load of the service",
    ),
    (
        "target_failed",
        "the target ran it and failed",
        "look at the target",
    ),
    (
        "target_silent",
        "nothing came from the target for too long",
        "look whether the target or its VM is gone",
    ),
    (
        "answer_late",
        "the target lives, but did not answer this request in time",
        "look at the target",
    ),
    (
        "answer_untrusted",
        "the answer had no signature, or a status that the target must not use",
        "look at the target",
    ),
    (
        "answer_cut_off",
        "the target ended its answer early",
        "look whether the target crashed",
    ),
    (
        "answer_malformed",
        "the bytes of the target are no answer",
        "look at the target",
    ),
    (
        "answer_foreign",
        "the target answered other requests",
        "look at the target",
    ),
    (
        "connection_broken",
        "the connection to the target was reset",
        "look whether the target crashed",
    ),
    (
        "connect_failed",
        "the target refused the connection",
        "look whether the target runs",
    ),
    (
        "connect_timeout",
        "no connection to the target came about",
        "look at the way to the target",
    ),
    (
        "event_cut_off",
        "the target ended its stream within an event",
        "look whether the target crashed",
    ),
    (
        "resume_refused",
        "no target could go on with the stream",
        "look at the targets that were asked",
    ),
    (
        "time_up",
        "the time of the caller or the route was over",
        "look at timeout and load",
    ),
    (
        "target_forgotten",
        "the target left while it was chosen",
        "nothing",
    ),
];

/// Explains the end of a request from its lines in order of time.
#[must_use]
pub fn explain(steps: &[LogLine], beliefs: &[LogLine]) -> Cause {
    let is_end = |line: &&LogLine| {
        matches!(
            line.event.as_str(),
            "served" | "refused" | "failed" | "broken_off" | "caller_left"
        )
    };
    let Some(end) = steps.iter().rev().find(is_end) else {
        return unfinished(beliefs);
    };
    let last_attempt = steps
        .iter()
        .rev()
        .find(|line| line.event == "attempt_failed");
    let name = match end.event.as_str() {
        "served" => "served",
        "refused" => refusal(end, last_attempt),
        "caller_left" => "caller_left",
        _ => end.text("cause").unwrap_or("unknown"),
    };
    described(&end.event, name)
}

/// A refusal after attempts is explained by the last of them.
fn refusal<'a>(end: &'a LogLine, last_attempt: Option<&'a LogLine>) -> &'a str {
    let reason = end.text("reason").unwrap_or("unknown");
    let attempt = last_attempt.and_then(|line| line.text("cause"));
    match (reason, attempt) {
        ("busy" | "unreachable", Some(cause)) => cause,
        _ => reason,
    }
}

fn unfinished(beliefs: &[LogLine]) -> Cause {
    let is_lost = beliefs.iter().any(|line| line.event == "log_lines_dropped");
    Cause {
        outcome: "unfinished".into(),
        name: if is_lost {
            "lines_dropped"
        } else {
            "daemon_gone"
        }
        .into(),
        meaning: "no line tells its end: its daemon was killed, its caller left, or lines were dropped",
        remedy: "look for started and log_lines_dropped of the daemon",
    }
}

fn described(outcome: &str, name: &str) -> Cause {
    let known = CAUSES.iter().find(|(known, _, _)| *known == name);
    let (_, meaning, remedy) = known
        .copied()
        .unwrap_or(("", "see the lines", "see the lines"));
    Cause {
        outcome: outcome.to_owned(),
        name: name.to_owned(),
        meaning,
        remedy,
    }
}

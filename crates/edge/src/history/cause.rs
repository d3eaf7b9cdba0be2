//! Determines the cause of a request's outcome from its log lines.

use serde::Serialize;

use super::line::LogLine;

/// Cause of a request's outcome.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Cause {
    /// `served`, `refused`, `failed`, `broken_off`, `caller_left`,
    /// `cut_off_by_exit` or `unfinished`.
    pub outcome: String,
    /// Name of the cause, as written to logs and metrics.
    pub name: String,
    /// Explanation of the cause.
    pub meaning: &'static str,
    /// Next step for the operator.
    pub remedy: &'static str,
}

/// Name, meaning and remedy of each known cause.
const CAUSES: [(&str, &str, &str); 43] = [
    (
        "no_configuration",
        "the daemon had not read a configuration yet",
        "look for a store_lost event after the started event",
    ),
    (
        "stale_configuration",
        "the daemon had not heard from the store for so long that the key may have been revoked",
        "check the store and the network path to it",
    ),
    (
        "no_route",
        "no route of the configuration in force matches the path",
        "compare config_version with the change that adds or removes the route",
    ),
    (
        "unknown_key",
        "the configuration in force does not contain the caller's key",
        "compare config_version with the change that adds or removes the key",
    ),
    (
        "no_target",
        "the service had no usable target",
        "check the entries of its targets in the store",
    ),
    (
        "no_home_target",
        "no target of the service is in a home region of the route and the workspace",
        "compare the home regions in the configuration with the regions of the targets' failure domains",
    ),
    (
        "evacuated",
        "the failure domains of all targets that could get the request were evacuated",
        "look for evacuation_began events; remove the evacuation from the store once the domain may be used again",
    ),
    (
        "unreachable",
        "every target had been tried or was paused after failures",
        "look for target_paused events and their cause",
    ),
    (
        "busy",
        "every target that was tried rejected the request, or the service's retry budget was used up",
        "check retries_left and the load of the service",
    ),
    (
        "targets_limited",
        "every target had reached the request rate that it takes from all daemons together",
        "look for its limit_reached events: target, limit, share of this daemon and age of the limit; find out why the targets name limits",
    ),
    (
        "limit_reached",
        "the target that was to get the request next had reached the request rate that it takes",
        "look for its limit_reached events: target, limit, share of this daemon and age of the limit",
    ),
    (
        "full",
        "the service had no room: the request would have waited for too long, or more urgent ones went first",
        "look for its room_exhausted and queued_request_dropped events; check the load of the service and the number of its targets",
    ),
    (
        "queue_full",
        "the queue had reached queue_limit and held no request of lower priority",
        "check the load of the service and the number of its targets",
    ),
    (
        "workspace_limit",
        "the workspace exceeded its limits",
        "check its requests_per_second and concurrent_requests",
    ),
    (
        "caller_left",
        "the caller closed the connection before the answer, for example at its deadline",
        "compare held_ms with the caller's deadline; check the load of the service",
    ),
    (
        "cut_off_by_exit",
        "the daemon exited at the end of its grace period while the request was in flight",
        "compare held_ms with the grace period; allow a longer one, or set shorter timeouts",
    ),
    (
        "crashes_targets",
        "requests with this content, or with the same prompt part, were interrupted at three or more targets that crashed",
        "look for its suspect_refused event, and the crash_suspected events with that fingerprint; inspect the request, or the part that it names",
    ),
    (
        "stopping",
        "the daemon was shutting down; the caller was told to use another daemon",
        "nothing",
    ),
    (
        "other_target",
        "another target now uses the address",
        "look for a target_gone event of that target",
    ),
    (
        "rejected",
        "the target rejected the request without running it, for example because it was full",
        "check the load of the service",
    ),
    (
        "target_failed",
        "the target ran the request and failed",
        "check the target",
    ),
    (
        "target_silent",
        "the target sent nothing within the silence timeout, and another one took the request over",
        "check whether the target or its VM is down",
    ),
    (
        "target_went_on",
        "a target that was silent went on while another one had just got the request",
        "nothing, unless it is frequent: then check why the target falls silent",
    ),
    (
        "no_retry_left",
        "the retry budget was used up, so an overdue request stayed with its target",
        "check why targets are silent or late; retries_left in the log lines",
    ),
    (
        "answer_late",
        "the target is alive but did not answer this request in time",
        "check the target",
    ),
    (
        "answer_untrusted",
        "the answer had no signature or a status that targets must not use",
        "check the target",
    ),
    (
        "answer_cut_off",
        "the target ended its answer early",
        "check whether the target crashed",
    ),
    (
        "answer_malformed",
        "the target's bytes could not be parsed as an answer",
        "check the target",
    ),
    (
        "answer_foreign",
        "the target's answer belongs to another request",
        "check the target",
    ),
    (
        "connection_broken",
        "the connection to the target was reset",
        "check whether the target crashed",
    ),
    (
        "connect_failed",
        "the target refused the connection",
        "check whether the target is running",
    ),
    (
        "connect_timeout",
        "the connection to the target was not established in time",
        "check the network path to the target",
    ),
    (
        "event_cut_off",
        "the target ended its stream in the middle of an event",
        "check whether the target crashed",
    ),
    (
        "event_malformed",
        "the target wrote bytes into its stream that are no event, or an event once more",
        "check the target",
    ),
    (
        "no_event",
        "the target ended its connection before the first event of a stream without length or chunks",
        "check whether the target crashed",
    ),
    (
        "resume_refused",
        "no target could resume the stream",
        "check the targets that were tried",
    ),
    (
        "stream_version_gone",
        "no target in use has the software version that began the stream, so that none can go on with it",
        "look for its stream_taken_up and sent events: the version and how the daemon knew it; compare it with the target_listed events",
    ),
    (
        "stream_origin_unknown",
        "targets have different software versions, and no daemon that was asked knew at which one the stream began",
        "look for its stream_taken_up event: what the caller named and which daemons were asked; look for the request that it names",
    ),
    (
        "given_up_at_exit",
        "the daemon exited while the request was at a target; it is not known whether it ran to its end",
        "look at the stopping and stopped events; raise the grace period if requests take longer",
    ),
    (
        "memory_full",
        "the memory for the bodies of requests was used up",
        "look for buffer_evicted events: the workspace that buffers most; raise request_memory_percent if all requests are sound",
    ),
    (
        "memory_exhausted",
        "the memory for answers was used up, and this answer held most of it",
        "look for buffer_evicted events: the service that buffers most; check the sizes of its answers",
    ),
    (
        "time_up",
        "the deadline of the caller or the timeout of the route passed",
        "check the timeout and the load of the service",
    ),
    (
        "target_forgotten",
        "the target was removed while it was being chosen",
        "nothing",
    ),
];

/// Determines why a request ended as it did. `steps` are its log lines, ordered by time;
/// `daemon_events` are lines of its daemon from the same period.
#[must_use]
pub fn explain(steps: &[LogLine], daemon_events: &[LogLine]) -> Cause {
    let is_end = |line: &&LogLine| {
        matches!(
            line.event.as_str(),
            "served" | "refused" | "failed" | "broken_off" | "caller_left" | "cut_off_by_exit"
        )
    };
    let Some(end) = steps.iter().rev().find(is_end) else {
        return unfinished(daemon_events);
    };
    let last_attempt = steps
        .iter()
        .rev()
        .find(|line| line.event == "attempt_failed");
    let name = match end.event.as_str() {
        "served" => "served",
        "refused" => refusal_cause(end, last_attempt),
        "caller_left" => "caller_left",
        "cut_off_by_exit" => "cut_off_by_exit",
        _ => end.text("cause").unwrap_or("unknown"),
    };
    with_description(&end.event, name)
}

/// For `busy` and `unreachable`, the cause of the last failed attempt says more than the refusal.
fn refusal_cause<'a>(end: &'a LogLine, last_attempt: Option<&'a LogLine>) -> &'a str {
    let reason = end.text("reason").unwrap_or("unknown");
    let attempt = last_attempt.and_then(|line| line.text("cause"));
    match (reason, attempt) {
        ("busy" | "unreachable", Some(cause)) => cause,
        _ => reason,
    }
}

fn unfinished(daemon_events: &[LogLine]) -> Cause {
    let has_dropped_lines = daemon_events
        .iter()
        .any(|line| line.event == "log_lines_dropped");
    Cause {
        outcome: "unfinished".into(),
        name: if has_dropped_lines {
            "lines_dropped"
        } else {
            "daemon_gone"
        }
        .into(),
        meaning: "no log line reports the end of the request: the daemon was killed, the caller left, or lines were dropped",
        remedy: "look for the daemon's started and log_lines_dropped events",
    }
}

fn with_description(outcome: &str, name: &str) -> Cause {
    let known = CAUSES.iter().find(|(known, _, _)| *known == name);
    let (_, meaning, remedy) =
        known
            .copied()
            .unwrap_or(("", "see the log lines", "see the log lines"));
    Cause {
        outcome: outcome.to_owned(),
        name: name.to_owned(),
        meaning,
        remedy,
    }
}

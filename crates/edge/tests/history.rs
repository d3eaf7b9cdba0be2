//! Finds the cause of a request's outcome from its id and the daemons' logs.

use lapismoor_edge::history::{LogLine, RequestHistory, UncleanExit};
use test_case::test_case;

const LINES: &str = r#"
 -9.9 edge-1 {"daemon":"edge-1","event":"started","level":"INFO","time_ms":1000}
  1.0 edge-1 {"daemon":"edge-1","event":"configuration_in_force","version":7,"time_ms":2000}
  2.0 edge-1 {"daemon":"edge-1","event":"store_lost","error":"timeout","time_ms":9000}
  2.1 edge-1 {"daemon":"edge-1","event":"target_paused","target":"i-1","cause":"connect_failed","time_ms":9100}
  2.1 edge-1 {"daemon":"edge-1","event":"target_paused","target":"i-9","cause":"silent","time_ms":9100}
  2.1 edge-2 {"daemon":"edge-2","event":"target_paused","target":"i-1","cause":"silent","time_ms":9100}
  2.2 edge-1 {"daemon":"edge-1","event":"attempt_failed","request":"r-cut","target":"i-1","cause":"connection_broken","next":"FailUnknown","time_ms":9200}
  2.2 edge-1 {"daemon":"edge-1","event":"broken_off","request":"r-cut","cause":"connection_broken","last_event":3,"time_ms":9201}
  2.3 edge-1 {"daemon":"edge-1","event":"attempt_failed","request":"r-busy","target":"i-1","cause":"rejected","next":"RefuseNotRun","time_ms":9300}
  2.3 edge-1 {"daemon":"edge-1","event":"refused","request":"r-busy","reason":"busy","time_ms":9301}
  2.4 edge-1 {"daemon":"edge-1","event":"refused","request":"r-key","reason":"unknown_key","config_version":7,"time_ms":9400}
  2.5 edge-1 {"daemon":"edge-1","event":"sent","request":"r-open","target":"i-1","time_ms":9500}
  2.6 edge-1 {"daemon":"edge-1","event":"served","request":"r-ok","target":"i-1","time_ms":9600}
  2.7 edge-1 {"daemon":"edge-1","event":"refused","request":"7a8e-01","reason":"workspace_limit","time_ms":9700}
  2.8 edge-1 {"daemon":"edge-1","event":"sent","request":"r-gone","target":"i-1","time_ms":9800}
  2.9 edge-1 {"daemon":"edge-1","event":"caller_left","request":"r-gone","held_ms":3000,"time_ms":9900}
  2.9 edge-1 {"daemon":"edge-1","event":"cut_off_by_exit","request":"r-exit","held_ms":3000,"time_ms":9900}
  3.0 edge-2 {"daemon":"edge-2","event":"crash_suspected","fingerprint":"00c0","crashes":2,"target":"i-7","time_ms":1500}
  3.0 edge-2 {"daemon":"edge-2","event":"crash_suspected","fingerprint":"00c1","crashes":1,"target":"i-7","time_ms":1500}
  3.0 edge-2 {"daemon":"edge-2","event":"crash_refuted","fingerprint":"00c0","crashes":1,"target":"i-7","time_ms":1600}
  3.1 edge-1 {"daemon":"edge-1","event":"refused_as_suspect","request":"r-same","fingerprint":"00c0","time_ms":30000}
  3.1 edge-1 {"daemon":"edge-1","event":"refused","request":"r-same","reason":"crashes_targets","time_ms":30001}
  3.2 edge-1 {"daemon":"edge-1","event":"target_limit_changed","target":"i-5","limit_per_s":2.5,"before_per_s":null,"source":"i-5","time_ms":31000}
  3.2 edge-1 {"daemon":"edge-1","event":"limit_reached","request":"r-limit","target":"i-5","limit_per_s":2.5,"share_per_s":0.5,"limit_age_ms":40,"next":"refused","time_ms":31040}
  3.2 edge-1 {"daemon":"edge-1","event":"refused","request":"r-limit","reason":"targets_limited","come_back_ms":700,"time_ms":31040}
  3.2 edge-1 {"daemon":"edge-1","event":"limit_reached","request":"r-moved","target":"i-5","limit_per_s":2.5,"share_per_s":0.5,"limit_age_ms":60,"next":"sent_elsewhere","time_ms":31060}
  3.2 edge-1 {"daemon":"edge-1","event":"served","request":"r-moved","target":"i-6","time_ms":31090}
not a line of a daemon
"#;

fn history(request: &str) -> Option<RequestHistory> {
    let lines: Vec<LogLine> = LINES.lines().filter_map(LogLine::parse).collect();
    RequestHistory::from_lines(request, &lines)
}

#[test_case("r-cut", "broken_off", "connection_broken")]
#[test_case("r-busy", "refused", "rejected"; "the last attempt explains a busy refusal")]
#[test_case("r-key", "refused", "unknown_key")]
#[test_case("r-open", "unfinished", "daemon_gone")]
#[test_case("r-ok", "served", "served")]
#[test_case("r-gone", "caller_left", "caller_left")]
#[test_case("r-exit", "cut_off_by_exit", "cut_off_by_exit")]
#[test_case("r-limit", "refused", "targets_limited")]
#[test_case("r-moved", "served", "served")]
#[test_case("7a8e", "refused", "workspace_limit"; "the trace id finds a request logged under trace and span")]
fn outcome_and_cause_match_the_last_lines(request: &str, outcome: &str, name: &str) {
    let actual = history(request).expect("the request has lines").cause;
    assert_eq!(
        (actual.outcome.as_str(), actual.name.as_str()),
        (outcome, name)
    );
}

#[test]
fn daemon_events_cover_only_the_same_daemon_and_the_targets_used() {
    let history = history("r-cut").expect("the request has lines");
    let actual: Vec<&str> = history
        .daemon_events
        .iter()
        .map(|line| line.event.as_str())
        .collect();
    let expected = [
        "started",
        "configuration_in_force",
        "store_lost",
        "target_paused",
    ];
    assert_eq!(actual, expected);
    assert_eq!(history.daemon_events[3].text("target"), Some("i-1"));
}

/// A request is refused for crashes that another daemon saw, under another request id. Without their
/// lines the refusal could not be explained.
#[test]
fn history_includes_decisions_of_other_daemons_about_the_same_content() {
    let history = history("r-same").expect("the request has lines");
    assert_eq!(history.cause.name, "crashes_targets");
    let actual: Vec<(&str, Option<&str>)> = history
        .daemon_events
        .iter()
        .map(|line| (line.event.as_str(), line.text("fingerprint")))
        .collect();
    assert_eq!(
        actual,
        [
            ("crash_suspected", Some("00c0")),
            ("crash_refuted", Some("00c0")),
        ]
    );
}

/// A request that is refused or sent elsewhere for a limit shows the target, the limit, the daemon's
/// share and its age, and since when the limit is known.
#[test_case("r-limit", "refused")]
#[test_case("r-moved", "sent_elsewhere")]
fn history_shows_the_limit_for_which_a_target_got_no_request(request: &str, next: &str) {
    let history = history(request).expect("the request has lines");
    let reached = &history.steps[0];
    assert_eq!(reached.event, "limit_reached");
    let actual = ["target", "next"].map(|field| reached.text(field));
    assert_eq!(actual, [Some("i-5"), Some(next)]);
    for field in ["limit_per_s", "share_per_s", "limit_age_ms"] {
        assert!(reached.fields.contains_key(field), "{field}");
    }
    let mut events = history.daemon_events.iter();
    assert!(events.any(|line| line.event == "target_limit_changed"));
}

#[test]
fn a_request_without_lines_has_no_history() {
    assert_eq!(history("r-unknown"), None);
}

#[test]
fn a_start_without_a_preceding_stop_is_an_unclean_exit() {
    let lines: Vec<LogLine> = [
        r#"{"daemon":"edge-1","event":"started","time_ms":1000}"#,
        r#"{"daemon":"edge-2","event":"started","time_ms":1000}"#,
        r#"{"daemon":"edge-1","event":"served","request":"r-1","time_ms":5000}"#,
        r#"{"daemon":"edge-1","event":"started","time_ms":7000}"#,
        r#"{"daemon":"edge-2","event":"stopped","time_ms":8000}"#,
        r#"{"daemon":"edge-2","event":"started","time_ms":9000}"#,
    ]
    .iter()
    .filter_map(|line| LogLine::parse(line))
    .collect();
    let expected = [UncleanExit {
        daemon: "edge-1".into(),
        last_line_ms: 5000,
        started_ms: 7000,
    }];
    assert_eq!(UncleanExit::find_all(&lines), expected);
}

//! The `where` command against a daemon with one target.

use std::process::Output;

use lapismoor_adapter_standin::{
    Action, ConfigSpec, RouteSpec, Store, Target, plain_answer, start_daemon_with_operator,
    target_entry,
};

const KEY: &str = "k-good";

fn config() -> Vec<u8> {
    let route = RouteSpec {
        prefix: "/stream/",
        kind: "streaming",
        is_resumable: false,
        timeout_ms: 20_000,
        target_latency_ms: 5_000,
        max_attempts: 1,
    };
    let spec = ConfigSpec {
        version: 1,
        routes: vec![route],
        keys: vec![KEY],
    };
    spec.to_json()
}

/// Runs the command while the daemon goes on in this thread.
async fn run(arguments: &[&str]) -> Output {
    let arguments: Vec<String> = arguments.iter().map(|one| (*one).to_owned()).collect();
    let command = move || {
        let mut command = std::process::Command::new(env!("CARGO_BIN_EXE_lapismoorctl"));
        command.args(arguments).output().expect("started")
    };
    let result = actix_web::rt::task::spawn_blocking(command).await;
    result.expect("finished")
}

fn text(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("text")
}

#[actix_web::test]
async fn prints_target_homes_and_refusals() {
    let store = Store::start();
    store.put("op/config", &config());
    let target =
        Target::start(|request| vec![Action::Send(plain_answer(request, 200, "map"))]).await;
    let entry = target_entry(target.address(), "ready", 1);
    store.put("servers/i-0", &entry);
    let (_, operator) = start_daemon_with_operator(store.address()).await;
    let operator = operator.to_string();
    let request = ["where", "--host", "site.example", "--path", "/stream/a"];
    let arguments = |more: &[&'static str]| -> Vec<String> {
        let all = request.iter().chain(more).map(|one| (*one).to_owned());
        all.chain([operator.clone()]).collect()
    };
    let run = async |more: &[&'static str]| {
        let arguments = arguments(more);
        let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
        run(&arguments).await
    };

    let output = run(&["--key", KEY, "--parts", "1f:2500,3:580"]).await;
    assert!(output.status.success(), "{output:?}");
    let actual = text(&output);
    for expected in [
        "edge-1: goes to i-0\n",
        "  route /stream/, workspace crew, service pool\n",
        "  admission: admit, 0 of ",
        "  target: i-0, Home, load 0.0, ",
        "  homes of part 1f: 1, up to load ",
        "    home i-0: load 0.0, may get it\n",
        "    i-0 in east, load 0.0: may get it\n",
    ] {
        assert!(actual.contains(expected), "{expected:?} in\n{actual}");
    }

    let output = run(&["--key", "k-other"]).await;
    let expected = "edge-1: refused, unknown_key, status 401, no retry\n";
    assert!(text(&output).starts_with(expected), "{output:?}");

    let output = run(&["--workspace", "crew", "--json"]).await;
    let report: serde_json::Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(report["choice"]["target"], "i-0");
    assert!(target.requests().is_empty());

    let output = run(&["--parts", "x:1"]).await;
    assert_eq!(output.status.code(), Some(1));
}

#[actix_web::test]
async fn daemon_that_does_not_answer_is_named() {
    let output = run(&["where", "--path", "/stream/a", "127.0.0.1:1"]).await;
    assert_eq!(output.status.code(), Some(1));
    let message = String::from_utf8(output.stderr).expect("text");
    assert!(message.starts_with("127.0.0.1:1 did not explain the request: "));
}

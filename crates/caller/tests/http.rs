//! HTTP interface for callers, in front of a fake daemon that returns prepared answers.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_web::dev::ServiceResponse;
use actix_web::http::header::HeaderValue;
use actix_web::http::{Method, StatusCode};
use actix_web::test::{TestRequest, call_service, init_service, read_body};
use actix_web::{App, web};
use bytes::Bytes;
use futures::{FutureExt, StreamExt};
use lapismoor_caller::{
    AnswerMemory, BodyProblem, CallerAnswer, CallerRequest, CallerSettings, Gateway, RelayedAnswer,
    routes,
};
use lapismoor_core::answer::AnswerPart;
use lapismoor_core::config::{Accepted, Config};
use lapismoor_core::failure::{Failure, FailureKind, NotRunProof};
use lapismoor_core::ids::RequestId;
use lapismoor_core::request::{Class, Identity, Work};
use lapismoor_core::routing::profile_route;
use serde_json::Value;
use test_case::test_case;

const KEY: &str = "Bearer north-mobile-key";
const EVENTS: &str = "data: {\"id\":\"1\",\"choices\":[{\"delta\":{\"content\":\"hello \"}}]}\n\n\
    data: {\"id\":\"1\",\"choices\":[{\"delta\":{\"content\":\"there\"},\"finish_reason\":\"stop\"}]}\n\n";

type Submitted = Rc<RefCell<Vec<CallerRequest>>>;

fn example() -> Config {
    let config = Config::parse(include_bytes!("../../../examples/midshire.json"));
    config.expect("the example is valid")
}

fn gateway(config: Config, answers: Vec<CallerAnswer>, submitted: &Submitted) -> Gateway {
    let accepted = Arc::new(Accepted {
        revision: 1,
        change_mark: 1,
        accepted_at_ms: 0,
        config,
    });
    let submitted = Rc::clone(submitted);
    Gateway {
        settings: CallerSettings {
            max_body_bytes: 1_000,
            max_header_bytes: 2_000,
        },
        config: Rc::new(move || Some(Arc::clone(&accepted))),
        is_ready: Rc::new(|| true),
        read_body: Rc::new(|_, payload| {
            let reading = payload.to_bytes_limited(1_000);
            async move {
                let read = reading.await.map_err(|_| BodyProblem::TooLarge)?;
                read.map_err(|_| BodyProblem::CutOff)
            }
            .boxed_local()
        }),
        open_memory: Rc::new(|| AnswerMemory {
            reserve: Box::new(|_| std::future::ready(true).boxed_local()),
            revoked: std::future::pending().boxed_local(),
        }),
        submit: Rc::new(move |_, request| {
            submitted.borrow_mut().push(request);
            futures::stream::iter(answers.clone()).boxed_local()
        }),
    }
}

fn head(content_type: &str) -> CallerAnswer {
    CallerAnswer::Part(AnswerPart::Head {
        status: 200,
        content_type: content_type.into(),
    })
}

fn data(text: &str) -> CallerAnswer {
    CallerAnswer::Part(AnswerPart::Data(Bytes::from(text.to_owned())))
}

fn end() -> CallerAnswer {
    CallerAnswer::Part(AnswerPart::End)
}

fn complete_chat() -> Vec<CallerAnswer> {
    vec![
        head("text/event-stream"),
        data(EVENTS),
        data("data: [DONE]\n\n"),
        end(),
    ]
}

struct ReceivedResponse {
    status: StatusCode,
    retry_after: Option<String>,
    body: String,
}

fn send(
    answers: Vec<CallerAnswer>,
    request: TestRequest,
) -> (ReceivedResponse, Vec<CallerRequest>) {
    send_under(example(), answers, request)
}

fn send_under(
    config: Config,
    answers: Vec<CallerAnswer>,
    request: TestRequest,
) -> (ReceivedResponse, Vec<CallerRequest>) {
    let submitted = Submitted::default();
    let gateway = gateway(config, answers, &submitted);
    let received = actix_web::rt::System::new().block_on(async {
        let payload = web::PayloadConfig::new(gateway.settings.max_body_bytes);
        let app = App::new()
            .app_data(web::Data::new(gateway))
            .app_data(payload)
            .configure(routes);
        let app = init_service(app).await;
        let response: ServiceResponse = call_service(&app, request.to_request()).await;
        let status = response.status();
        let retry_after = response.headers().get("retry-after");
        let retry_after = retry_after
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        let body = String::from_utf8_lossy(&read_body(response).await).into_owned();
        ReceivedResponse {
            status,
            retry_after,
            body,
        }
    });
    let submitted = submitted.take();
    (received, submitted)
}

fn chat(body: &str) -> TestRequest {
    TestRequest::post()
        .uri("/v1/chat/completions")
        .insert_header(("authorization", KEY))
        .insert_header(("x-profile", "shop-counter"))
        .set_payload(body.to_owned())
}

const BODY: &str = r#"{"messages":[{"role":"user","content":"hi"}]}"#;

fn filler(count: usize) -> String {
    "x".repeat(count)
}

#[test_case(chat(BODY).insert_header(("authorization", "Bearer wrong")), 401; "a wrong key")]
#[test_case(TestRequest::post().uri("/v1/tickets"), 401; "no key")]
#[test_case(chat("{"), 400; "malformed JSON")]
#[test_case(chat("{}"), 400; "no messages")]
#[test_case(chat(&filler(2_000)), 413; "a body too large")]
#[test_case(chat(BODY).insert_header(("x-filler", filler(3_000))), 431; "headers too large")]
#[test_case(chat(BODY).insert_header(("x-profile", "none")), 400; "an unknown profile")]
#[test_case(chat(BODY).insert_header(("x-deadline-ms", "soon")), 400; "a malformed deadline")]
#[test_case(chat(BODY).insert_header(("x-ticket", "1")), 400; "a malformed ticket")]
#[test_case(chat(BODY).insert_header(("idempotency-key", "")), 400; "an empty idempotency key")]
#[test_case(TestRequest::get().uri("/nowhere"), 404; "an unknown path")]
#[test_case(TestRequest::post().uri("/v1/services/none/x").insert_header(("authorization", KEY)), 400; "an unknown service")]
fn invalid_requests_are_rejected_as_not_run_and_not_submitted(request: TestRequest, expected: u16) {
    let (received, submitted) = send(complete_chat(), request);
    assert_eq!(received.status.as_u16(), expected);
    let body: Value = serde_json::from_str(&received.body).expect("JSON");
    assert_eq!(body["error"]["outcome"], "not_run");
    assert!(
        body["error"]["message"]
            .as_str()
            .is_some_and(|text| !text.is_empty())
    );
    assert!(submitted.is_empty());
}

/// Guards against a header that is read as absent, or in one of its values, so that a request which must
/// not run twice runs again.
#[test_case("idempotency-key", &[b"k-\xc3\xa9"]; "idempotency key that is not text")]
#[test_case("idempotency-key", &[b"k-1", b"k-2"]; "two idempotency keys")]
#[test_case("x-ticket", &[b"\xff"]; "ticket that is not text")]
#[test_case("x-deadline-ms", &[b"10", b"20"]; "two deadlines")]
#[test_case("x-profile", &[b"shop-counter", b"other"]; "two profiles")]
#[test_case("x-chat-id", &[b"\xff"]; "chat that is not text")]
#[test_case("authorization", &[b"Bearer other"]; "two keys")]
fn unreadable_headers_are_rejected(name: &'static str, values: &[&[u8]]) {
    let mut request = chat(BODY);
    if name == "x-profile" {
        request = TestRequest::post()
            .uri("/v1/chat/completions")
            .insert_header(("authorization", KEY))
            .set_payload(BODY);
    }
    for value in values {
        let value = HeaderValue::from_bytes(value).expect("a field value");
        request = request.append_header((name, value));
    }
    let (received, submitted) = send(complete_chat(), request);
    assert_eq!(
        received.status,
        StatusCode::BAD_REQUEST,
        "{}",
        received.body
    );
    assert!(submitted.is_empty());
}

#[test]
fn a_streamed_chat_is_forwarded_unchanged() {
    let body = r#"{"stream":true,"messages":[]}"#;
    let (received, _) = send(complete_chat(), chat(body));
    assert_eq!(received.status, StatusCode::OK);
    assert_eq!(received.body, format!("{EVENTS}data: [DONE]\n\n"));
}

#[test]
fn a_chat_without_stream_is_assembled_into_one_completion() {
    let (received, _) = send(complete_chat(), chat(BODY));
    let body: Value = serde_json::from_str(&received.body).expect("JSON");
    assert_eq!(body["choices"][0]["message"]["content"], "hello there");
    assert_eq!(body["choices"][0]["finish_reason"], "stop");
}

#[test]
fn a_stream_that_is_cut_off_ends_with_an_error_event_and_without_done() {
    let failure = Failure::unknown(FailureKind::AnswerCut, None);
    let answers = vec![
        head("text/event-stream"),
        data(EVENTS),
        CallerAnswer::Fail(failure),
    ];
    let (received, _) = send(answers, chat(r#"{"stream":true,"messages":[]}"#));
    assert!(received.body.contains("event: error"));
    assert!(received.body.contains("\"outcome\":\"unknown\""));
    assert!(!received.body.contains("[DONE]"));
}

#[test_case(FailureKind::QueueFull, 503)]
#[test_case(FailureKind::WorkspaceLimit, 429)]
#[test_case(FailureKind::DeadlinePassed, 504)]
#[test_case(FailureKind::CrashesTargets, 422)]
#[test_case(FailureKind::TargetFailed, 502)]
#[test_case(FailureKind::UnknownTicket, 404)]
fn failures_map_to_a_status_and_round_retry_after_up(kind: FailureKind, expected: u16) {
    let retry_after = Some(Duration::from_millis(1_200));
    let failure = Failure::not_run(NotRunProof::NeverDispatched, kind, retry_after);
    let (received, _) = send(vec![CallerAnswer::Fail(failure)], chat(BODY));
    assert_eq!(received.status.as_u16(), expected);
    assert_eq!(received.retry_after.as_deref(), Some("2"));
}

#[test]
fn a_chat_is_submitted_with_profile_chat_deadline_and_identity() {
    let request = chat(BODY)
        .insert_header(("x-chat-id", "household-1"))
        .insert_header(("x-deadline-ms", "1500"))
        .insert_header(("idempotency-key", "mine"));
    let (_, submitted) = send(complete_chat(), request);
    let [
        CallerRequest::Request {
            request, identity, ..
        },
    ] = submitted.as_slice()
    else {
        panic!("expected one submitted request")
    };
    assert_eq!(request.workspace, "north-mobile");
    assert_eq!(request.class, Class::Urgent);
    assert_eq!(request.deadline, Duration::from_millis(1_500));
    assert!(request.chat.is_some());
    assert!(request.traceparent.is_some());
    assert_eq!(*identity, Identity::Key("mine".into()));
}

#[test_case(Method::GET, "postcode/LE1", true)]
#[test_case(Method::POST, "billed/postcode", false)]
#[test_case(Method::PUT, "anything", false)]
fn the_configuration_decides_which_calls_are_idempotent(
    method: Method,
    path: &str,
    expected: bool,
) {
    let request = TestRequest::default()
        .method(method)
        .uri(&format!("/v1/services/map-lookup/{path}?zoom=3"))
        .insert_header(("authorization", KEY));
    let (_, submitted) = send(vec![head("text/plain"), end()], request);
    let [CallerRequest::Request { request, .. }] = submitted.as_slice() else {
        panic!("expected one submitted request")
    };
    assert_eq!(request.idempotent, expected);
    let expected_path = format!("{path}?zoom=3");
    assert!(matches!(&request.work, Work::Call { path, .. } if *path == expected_path));
}

/// Guards against a call that runs with another path or query than the caller's: an encoded character is
/// part of a name.
#[test_case("rooms/salon%2Fest/open"; "slash")]
#[test_case("rooms/9%3Fall=1/open"; "question mark")]
#[test_case("rooms/suite%23/open"; "number sign")]
#[test_case("rooms/50%25/open"; "percent sign")]
#[test_case("rooms/%C3%A9t%C3%A9%20/open"; "letters")]
#[test_case("rooms//open/"; "empty segment")]
#[test_case("rooms/../open;v=1?a=%26&b=c%3F"; "query")]
#[test_case("rooms?path=/a/b"; "slashes in the query")]
fn service_calls_keep_the_path_as_sent(path: &str) {
    let request = TestRequest::post()
        .uri(&format!("/v1/services/map-lookup/{path}"))
        .insert_header(("authorization", KEY));
    let (_, submitted) = send(vec![head("text/plain"), end()], request);
    let [CallerRequest::Request { request, .. }] = submitted.as_slice() else {
        panic!("expected one submitted request")
    };
    assert!(
        matches!(&request.work, Work::Call { path: sent, .. } if sent == path),
        "{:?}",
        request.work
    );
}

/// Guards against a call that gets the kept answer of another one, because its idempotency key was used with
/// the same body for another path, query or method.
#[test_case(Method::POST, "rooms/1/open", true; "the same call")]
#[test_case(Method::POST, "rooms/2/open", false; "another path")]
#[test_case(Method::POST, "rooms/1/open?all=1", false; "another query")]
#[test_case(Method::PUT, "rooms/1/open", false; "another method")]
fn calls_are_told_apart_by_method_and_path(method: Method, path: &str, expected: bool) {
    let fingerprint = |method, path: &str| {
        let request = TestRequest::default()
            .method(method)
            .uri(&format!("/v1/services/map-lookup/{path}"))
            .insert_header(("authorization", KEY))
            .set_payload("body");
        let (_, submitted) = send(vec![head("text/plain"), end()], request);
        let [CallerRequest::Request { request, .. }] = submitted.as_slice() else {
            panic!("expected one submitted request")
        };
        request.fingerprint()
    };
    let kept = fingerprint(Method::POST, "rooms/1/open");
    assert_eq!(fingerprint(method, path) == kept, expected);
}

/// Guards against a chat that runs again after its answer was lost although its stream may not be continued
/// at another target.
#[test_case(true; "replayable")]
#[test_case(false; "not replayable")]
fn chats_run_again_only_where_the_profile_says_so(is_replayable: bool) {
    let mut config: Value =
        serde_json::from_slice(include_bytes!("../../../examples/midshire.json")).expect("JSON");
    for profile in config["profiles"].as_array_mut().into_iter().flatten() {
        profile["replayable"] = is_replayable.into();
    }
    let config = Config::parse(config.to_string().as_bytes()).expect("valid");
    let (_, submitted) = send_under(config.clone(), complete_chat(), chat(BODY));
    let [CallerRequest::Request { request, .. }] = submitted.as_slice() else {
        panic!("expected one submitted request")
    };
    let profile = config.profile(&request.profile).expect("a profile");
    let route = profile_route::route(request, profile);
    assert_eq!(route.is_repeatable(), is_replayable);
}

#[test]
fn a_ticket_is_issued_for_the_workspace_of_the_key() {
    let ticket = RequestId {
        incarnation: 10,
        sequence: 3,
    };
    let request = TestRequest::post()
        .uri("/v1/tickets")
        .insert_header(("authorization", KEY));
    let (received, submitted) = send(vec![CallerAnswer::Ticket(ticket)], request);
    assert_eq!(received.status, StatusCode::CREATED);
    let body: Value = serde_json::from_str(&received.body).expect("JSON");
    assert_eq!(body["ticket"].as_str().map(str::parse), Some(Ok(ticket)));
    assert!(
        matches!(submitted.as_slice(), [CallerRequest::Ticket { workspace }] if workspace == "north-mobile")
    );
}

#[test]
fn models_are_listed() {
    let request = TestRequest::get()
        .uri("/v1/models")
        .insert_header(("authorization", KEY));
    let (received, _) = send(Vec::new(), request);
    assert!(received.body.contains("coverage-summary"));
}

/// The argument is the `stream` member of the request; it must not change the relayed answer.
#[test_case(true)]
#[test_case(false)]
fn the_answer_of_a_ticket_owner_is_relayed_unchanged(is_streamed: bool) {
    let relayed = CallerAnswer::Relayed(RelayedAnswer {
        status: 503,
        headers: vec![(
            actix_web::http::header::RETRY_AFTER,
            actix_web::http::header::HeaderValue::from_static("3"),
        )],
        body: Bytes::from_static(b"body from the owner"),
    });
    let body = format!(r#"{{"stream":{is_streamed},"messages":[]}}"#);
    let (received, _) = send(vec![relayed], chat(&body));
    assert_eq!(received.status.as_u16(), 503);
    assert_eq!(received.retry_after.as_deref(), Some("3"));
    assert_eq!(received.body, "body from the owner");
}

fn messages(contents: &[(&str, &str)]) -> String {
    let messages: Vec<Value> = contents
        .iter()
        .map(|(role, content)| serde_json::json!({"role": role, "content": content}))
        .collect();
    serde_json::json!({"messages": messages}).to_string()
}

fn chat_key(body: &str, chat_id: Option<&str>) -> Option<u64> {
    let mut request = chat(body);
    if let Some(id) = chat_id {
        request = request.insert_header(("x-chat-id", id));
    }
    let (_, submitted) = send(complete_chat(), request);
    let [CallerRequest::Request { request, .. }] = submitted.as_slice() else {
        panic!("expected one submitted request")
    };
    request.chat
}

#[test]
fn turns_of_a_chat_share_a_key_without_a_chat_id() {
    let first = messages(&[("system", "be brief"), ("user", "is there coverage?")]);
    let second = messages(&[
        ("system", "be brief"),
        ("user", "is there coverage?"),
        ("assistant", "yes"),
        ("user", "and at the pier?"),
    ]);
    let other = messages(&[("system", "be brief"), ("user", "something else")]);
    assert_eq!(chat_key(&first, None), chat_key(&second, None));
    assert_ne!(chat_key(&first, None), chat_key(&other, None));
    assert_eq!(chat_key(&first, Some("a")), chat_key(&other, Some("a")));
    assert_ne!(chat_key(&first, Some("a")), chat_key(&first, Some("b")));
}

/// The default profile is only for requests without a model; a malformed model must not select it.
#[test_case("7")]
#[test_case("[\"coverage-summary\"]")]
fn a_model_that_is_not_a_string_is_rejected(model: &str) {
    let body = format!(r#"{{"model":{model},"messages":[]}}"#);
    let request = TestRequest::post()
        .uri("/v1/chat/completions")
        .insert_header(("authorization", KEY))
        .set_payload(body);
    let (received, submitted) = send(complete_chat(), request);
    assert_eq!(received.status, StatusCode::BAD_REQUEST);
    assert!(received.body.contains("model is no text"));
    assert!(submitted.is_empty());
}

//! Splitting of event streams that are cut at arbitrary bytes.

use bytes::Bytes;
use lapismoor_core::stream::EventSplitter;
use lapismoor_core::stream::events::EventError;
use test_case::test_case;

const STREAM: &str = "id: 1\ndata: a\n\nid: 2\ndata: bb\n\nid: 3\ndata: c\n\n";

/// Guards against partial or reordered events for all positions of two cuts between reads.
#[test]
fn events_are_returned_whole_at_any_cut() {
    for first in 0..STREAM.len() {
        for second in first..STREAM.len() {
            let mut splitter = EventSplitter::default();
            let mut actual = String::new();
            for part in [&STREAM[..first], &STREAM[first..second], &STREAM[second..]] {
                let events = splitter.push(&Bytes::from_static(part.as_bytes()));
                let events = events.expect("events are short");
                assert!(events.is_empty() || events.ends_with(b"\n\n"));
                actual.push_str(std::str::from_utf8(&events).expect("text"));
            }
            assert_eq!(actual, STREAM);
            assert_eq!(splitter.last_id(), Some(3));
            assert!(!splitter.has_partial_event());
        }
    }
}

#[test_case("id: 1\ndata: a\n\nid: 2\nda", Some(1); "cut within an event")]
#[test_case("id: 1\ndata: a\n", None; "cut before the empty line")]
#[test_case("id: 7\r\ndata: a\r\n\r\n", Some(7); "carriage returns")]
#[test_case("versions: 4\nid: 5\ndata: a\n\n", Some(5); "another field before the id")]
#[test_case("data: a\n\n", None; "no id")]
fn last_id_is_that_of_the_last_complete_event(bytes: &'static str, expected: Option<u64>) {
    let mut splitter = EventSplitter::default();
    splitter
        .push(&Bytes::from_static(bytes.as_bytes()))
        .expect("events are short");
    assert_eq!(splitter.last_id(), expected);
}

/// A target closes the connection within an event, and the next target sends the whole event again.
/// Guards against joining the two.
#[test]
fn partial_event_is_discarded_before_the_stream_resumes() {
    let mut splitter = EventSplitter::resumed_after(Some(4));
    splitter
        .push(&Bytes::from_static(b"id: 5\nda"))
        .expect("events are short");
    assert!(splitter.has_partial_event());
    splitter.discard_partial_event();
    assert_eq!(splitter.last_id(), Some(4));
    let actual = splitter.push(&Bytes::from_static(b"id: 5\ndata: x\n\n"));
    assert_eq!(actual, Ok(Bytes::from_static(b"id: 5\ndata: x\n\n")));
}

#[test]
fn event_above_the_size_limit_is_rejected() {
    let mut splitter = EventSplitter::default();
    let megabyte = Bytes::from(vec![b'x'; 1 << 20]);
    assert!(splitter.push(&megabyte).is_ok());
    assert!(splitter.push(&megabyte).is_err());
}

/// Guards against text of an error, and repeated events, in a caller's stream.
#[test_case("Internal Server Error\n\n"; "text of an error")]
#[test_case("HTTP/1.1 500 X\r\nContent-Length: 4\r\n\r\noops\n\n"; "head of an answer")]
#[test_case("{\"error\": \"full\"}\n\n"; "an object")]
#[test_case("id: 2\ndata: b\n\n"; "an event that was sent before")]
fn bytes_that_are_no_event_are_not_returned(bytes: &'static str) {
    let mut splitter = EventSplitter::resumed_after(Some(1));
    let first = "id: 2\ndata: b\n\n";
    let actual = splitter.push(&Bytes::from(format!("{first}{bytes}")));
    assert_eq!(actual, Ok(Bytes::from_static(first.as_bytes())));
    assert!(splitter.has_partial_event(), "the stream is not complete");
    let actual = splitter.push(&Bytes::from_static(b"id: 3\ndata: c\n\n"));
    assert_eq!(actual, Err(EventError::Malformed));
    assert_eq!(splitter.last_id(), Some(2));
}

#[test_case(": comment\n\n"; "comment")]
#[test_case("data: a\n\n"; "event without an id")]
#[test_case("lapismoor-weight-versions: 3\nid: 9\nevent: token\ndata: x: y\n\n"; "several fields")]
#[test_case("\n\n"; "empty lines")]
fn fields_and_comments_are_forwarded(bytes: &'static str) {
    let mut splitter = EventSplitter::resumed_after(Some(1));
    let actual = splitter.push(&Bytes::from_static(bytes.as_bytes()));
    assert_eq!(actual, Ok(Bytes::from_static(bytes.as_bytes())));
}

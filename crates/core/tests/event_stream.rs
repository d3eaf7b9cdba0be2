//! Splitting of event streams that are cut at arbitrary bytes.

use bytes::Bytes;
use lapismoor_core::stream::EventSplitter;
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

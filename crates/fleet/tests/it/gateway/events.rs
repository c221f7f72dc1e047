//! Framing of event streams.

use amaranthgw_fleet::gateway::{EventId, EventScanner};
use proptest::prelude::*;

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: note\n\nid: 3\ndata: c\n\n";

#[test]
fn push_partial_event() {
    let mut scanner = EventScanner::new(None);
    assert_eq!(scanner.push(b"id: 1\ndata").expect("events"), "");
    assert!(scanner.has_partial());
    assert_eq!(scanner.last_event(), None);
    let events = scanner.push(b": a\n\nid: 2").expect("events");
    assert_eq!(events, "id: 1\ndata: a\n\n");
    assert_eq!(scanner.last_event().map(EventId::as_str), Some("1"));
}

#[test]
fn restart_drops_partial_event() {
    let mut scanner = EventScanner::new(Some("4".into()));
    assert_eq!(scanner.push(b"id: 5\nda").expect("events"), "");
    scanner.restart();
    assert!(!scanner.has_partial());
    assert_eq!(scanner.last_event().map(EventId::as_str), Some("4"));
    let events = scanner.push(b"id: 5\ndata: e\n\n").expect("events");
    assert_eq!(events, "id: 5\ndata: e\n\n");
}

// An event without end was passed on in parts, as bytes that are no answer.
#[test]
fn push_event_without_end() {
    let mut scanner = EventScanner::new(None);
    assert_eq!(
        scanner.push(b"data: a\n\ndata: ").expect("events"),
        "data: a\n\n"
    );
    let part = [b'a'; 1024];
    let refused_at = (0..1024).find(|_| scanner.push(&part).is_err());
    // With the 6 bytes before them, 256 parts are too many.
    assert_eq!(refused_at, Some(255));
    scanner.restart();
    let events = scanner.push(b"data: b\n\n").expect("events");
    assert_eq!(events, "data: b\n\n");
}

proptest! {
    #[test]
    fn push_any_cuts(cuts in prop::collection::vec(0..STREAM.len(), 0..8)) {
        let mut cuts = cuts;
        cuts.sort_unstable();
        let mut scanner = EventScanner::new(None);
        let (mut passed, mut from) = (Vec::new(), 0);
        for cut in cuts.into_iter().chain([STREAM.len()]) {
            passed.extend_from_slice(&scanner.push(&STREAM[from..cut]).expect("events"));
            from = cut;
        }
        prop_assert_eq!(passed, STREAM);
        prop_assert!(!scanner.has_partial());
        prop_assert_eq!(scanner.identified_events(), 3);
        prop_assert_eq!(scanner.last_event().map(EventId::as_str), Some("3"));
    }
}

//! Streams: forwarded without delay, resumed after a break, ended when the caller disconnects.

use std::time::Duration;

use amaranthgw_standins::site::{SiteTarget, TargetBehaviour};
use http::StatusCode;
use http_body_util::BodyExt;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;

use super::env::{ANY_PORT, TestSite, call, open, request};

/// Time between two events.
const GAP: Duration = Duration::from_millis(5);

fn stream(events: u32, breaks_in: u32) -> TargetBehaviour {
    TargetBehaviour::Stream {
        events,
        gap: GAP,
        breaks_in,
    }
}

fn event_ids(text: &str) -> Vec<u32> {
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(|id| id.parse().expect("number")).collect()
}

#[tokio::test]
async fn stream_response_whole() {
    let mut site = TestSite::with_routes();
    site.add_target("i-1", "draft", stream(20, 0));
    let gateway = site.start_gateway().await;
    let answer = call(gateway.address(), request("POST", "/draft/", "enquiry")).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert!(answer.is_whole);
    assert_eq!(event_ids(&answer.text()), (1..=20).collect::<Vec<_>>());
}

#[tokio::test]
async fn stream_response_resumed() {
    let mut site = TestSite::with_routes();
    let broken = site.add_target("i-1", "draft", stream(20, 7));
    let gateway = site.start_gateway().await;
    // Runs at the broken target for certain: it is the only one so far.
    let first = open(gateway.address(), request("POST", "/draft/", "enquiry")).await;
    assert_eq!(first.status(), StatusCode::OK);
    drop(first);
    let healthy = site.add_target("i-2", "draft", stream(20, 0));
    let resumed = || async {
        let answer = call(gateway.address(), request("POST", "/draft/", "enquiry")).await;
        let is_resumed = answer.is_whole && !healthy.runs().is_empty();
        is_resumed.then_some(answer)
    };
    let answer = crate::env::eventually("resumed stream", resumed).await;
    assert_eq!(event_ids(&answer.text()), (1..=20).collect::<Vec<_>>());
    let continued = healthy.runs();
    let from = continued.iter().find_map(|run| run.header("last-event-id"));
    // The header is missing if the stream started at the healthy target.
    assert!(from.is_none() || from == Some("6"), "{from:?}");
    assert!(!broken.runs().is_empty());
}

#[tokio::test]
async fn stream_response_breaks_visibly() {
    let mut site = TestSite::with_routes();
    site.add_target("i-1", "draft", stream(20, 7));
    let gateway = site.start_gateway().await;
    let answer = call(gateway.address(), request("POST", "/draft/", "enquiry")).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert!(!answer.is_whole);
    assert_eq!(event_ids(&answer.text()), (1..=6).collect::<Vec<_>>());
    assert!(
        !answer.text().contains("id: 7"),
        "a partial event was forwarded"
    );
}

#[tokio::test]
async fn stream_response_from_last_event() {
    let mut site = TestSite::with_routes();
    let target = site.add_target("i-1", "draft", stream(9, 0));
    let gateway = site.start_gateway().await;
    let mut sent = request("POST", "/draft/", "enquiry");
    sent.headers_mut().insert("last-event-id", 4.into());
    let answer = call(gateway.address(), sent).await;
    assert_eq!(event_ids(&answer.text()), (5..=9).collect::<Vec<_>>());
    assert_eq!(target.runs()[0].header("last-event-id"), Some("4"));
}

#[tokio::test]
async fn stream_response_events_undelayed() {
    let mut site = TestSite::with_routes();
    let slow = TargetBehaviour::Stream {
        events: 3,
        gap: Duration::from_millis(300),
        breaks_in: 0,
    };
    site.add_target("i-1", "draft", slow);
    let gateway = site.start_gateway().await;
    let started = std::time::Instant::now();
    let mut response = open(gateway.address(), request("POST", "/draft/", "enquiry")).await;
    let frame = response.body_mut().frame().await;
    assert!(frame.is_some_and(|frame| frame.is_ok()));
    assert!(
        started.elapsed() < Duration::from_millis(800),
        "{:?}",
        started.elapsed()
    );
}

#[tokio::test]
async fn run_call_stops_when_caller_disconnects() {
    let mut site = TestSite::with_routes();
    let target = site.add_target("i-1", "draft", TargetBehaviour::Refuse);
    let gateway = site.start_gateway().await;
    let pending = open(gateway.address(), request("POST", "/draft/", "enquiry"));
    let timed_out = tokio::time::timeout(Duration::from_millis(100), pending).await;
    assert!(
        timed_out.is_err(),
        "an answer arrived before the caller disconnected"
    );
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert_eq!(target.arrivals(), 1);
}

/// The connection must be reset: unlike an orderly close, a reset also discards data that a broken
/// network still holds back.
#[tokio::test]
async fn run_call_caller_disconnects_resets() {
    let site = TestSite::with_routes();
    let listener = TcpListener::bind(ANY_PORT).await.expect("binds");
    let address = listener.local_addr().expect("an address");
    let entry = SiteTarget::new("i-1", TargetBehaviour::Hang).entry("draft", address, "domain-a");
    site.store.put("servers/i-1", &entry);
    let gateway = site.start_gateway().await;
    let pending = open(gateway.address(), request("POST", "/draft/", "enquiry"));
    let (timed_out, accepted) = tokio::join!(
        tokio::time::timeout(Duration::from_millis(300), pending),
        listener.accept()
    );
    assert!(
        timed_out.is_err(),
        "an answer arrived before the caller disconnected"
    );
    let (mut target, _peer) = accepted.expect("a connection");
    let mut bytes = [0; 4_096];
    let ended = loop {
        match target.read(&mut bytes).await {
            Ok(0) => break None,
            Ok(_) => {}
            Err(error) => break Some(error.kind()),
        }
    };
    assert_eq!(ended, Some(std::io::ErrorKind::ConnectionReset));
}

//! Graceful stop of a gateway.

use std::time::Duration;

use amaranthgw::runtime::StopPhase;
use amaranthgw_standins::site::TargetBehaviour;
use http::StatusCode;

use super::env::{TestSite, call, is_ready, request};

#[tokio::test]
async fn run_stop_ends_streams_whole() {
    let mut site = TestSite::with_routes();
    let long = TargetBehaviour::Stream {
        events: 40,
        gap: Duration::from_millis(50),
        breaks_in: 0,
    };
    site.add_target("i-1", "draft", long);
    let gateway = site.start_gateway().await;
    let address = gateway.address();
    let running = tokio::spawn(call(address, request("POST", "/draft/", "enquiry")));
    tokio::time::sleep(Duration::from_millis(200)).await;
    gateway.stop_signal().advance(StopPhase::Announcing);
    assert!(!is_ready(gateway.ready_address()).await);
    // Requests that the balancer still sends are answered with `connection: close`.
    let late = call(address, request("POST", "/draft/", "enquiry")).await;
    assert!(late.is_whole);
    assert_eq!(late.header("connection"), Some("close"));
    let answer = running.await.expect("answer");
    assert_eq!(answer.status, StatusCode::OK);
    assert!(answer.is_whole);
    let joined = tokio::task::spawn_blocking(move || gateway.join());
    let ended = tokio::time::timeout(Duration::from_secs(8), joined).await;
    ended
        .expect("ends within the grace period")
        .expect("thread")
        .expect("no panic");
}

//! Requests that wait for a target.

use std::time::Duration;

use amaranthgw_standins::site::TargetBehaviour;
use futures_util::future::join_all;
use http::StatusCode;
use tokio::time::Instant;

use super::env::{TestSite, call, request};

/// Requests that arrive at once.
const CALLS: usize = 60;

// Requests waited for a second although their targets had rejected everything for half a second and
// more requests waited already than they would admit.
#[tokio::test]
async fn run_call_queue_too_long_refused_at_once() {
    let mut site = TestSite::with_routes();
    site.add_target("i-1", "draft", TargetBehaviour::Refuse);
    let gateway = site.start_gateway().await;
    let first = call(gateway.address(), request("POST", "/draft/", "enquiry")).await;
    assert_eq!(first.status, StatusCode::SERVICE_UNAVAILABLE);
    let sent_at = Instant::now();
    let calls = (0..CALLS).map(|_| async {
        let answer = call(gateway.address(), request("POST", "/draft/", "enquiry")).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.header("retry-after").is_some());
        sent_at.elapsed()
    });
    let waits = join_all(calls).await;
    let at_once = |wait: &&Duration| **wait < Duration::from_millis(300);
    let refused = waits.iter().filter(at_once).count();
    assert!(refused >= CALLS - 5, "{refused} refused at once");
}

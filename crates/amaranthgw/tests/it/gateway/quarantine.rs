//! Parts of prompts that crash targets: few crashes, and no harm to other requests.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthgw_standins::site::{SiteTarget, TargetBehaviour};
use http::header::HeaderValue;
use http::{Request, StatusCode};
use http_body_util::Full;
use serde_json::json;
use tokio::time::sleep;

use super::env::{TestAnswer, TestSite, ample_retries, call, request};
use crate::env::eventually;

/// Number of crashes after which requests with the part must not reach targets any more.
const MAX_CRASHES: usize = 5;

/// A request whose prompt has the shared `parts` and a last part of its own.
fn prompt(parts: &[&str]) -> Request<Full<bytes::Bytes>> {
    let shared = parts.iter().map(|part| format!("{part}:40,"));
    let own: u32 = fastrand::u32(..);
    let value = format!("{}{own:x}:700", shared.collect::<String>());
    let mut request = request("POST", "/draft/", "enquiry");
    let value = HeaderValue::from_str(&value).expect("value");
    let headers = request.headers_mut();
    headers.insert("x-amaranthgw-prefix-hash", value);
    request
}

fn stream() -> TargetBehaviour {
    TargetBehaviour::Stream {
        events: 5,
        gap: Duration::from_millis(2),
        breaks_in: 0,
    }
}

/// Adds model servers that crash on the part `bad`.
fn add_targets(site: &mut TestSite, count: usize) -> Vec<SiteTarget> {
    let add = |index| {
        let target = site.add_target(&format!("i-{index}"), "draft", stream());
        target.set_deadly_part("bad");
        target
    };
    (0..count).map(add).collect()
}

fn crashes(targets: &[SiteTarget]) -> usize {
    targets.iter().map(SiteTarget::crashes).sum()
}

async fn send(gateway: SocketAddr, parts: &[&str]) -> TestAnswer {
    call(gateway, prompt(parts)).await
}

// Guards against BUDGET: requests with a part that crashes targets were sent to one after the other.
#[tokio::test]
async fn run_call_deadly_part_refused() {
    let mut site = TestSite::with_routes();
    let targets = add_targets(&mut site, 3);
    let gateway = site.start_gateway().await;
    let address = gateway.address();
    for _ in 0..3 {
        assert!(send(address, &["a"]).await.is_whole);
    }
    for _ in 0..10 {
        send(address, &["a", "bad"]).await;
        sleep(Duration::from_millis(150)).await;
    }
    let refused = send(address, &["a", "bad"]).await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.header("retry-after").is_some());
    assert!(crashes(&targets) < MAX_CRASHES, "{}", crashes(&targets));
    // Requests that share everything else are served.
    let sound = send(address, &["a"]).await;
    assert_eq!(sound.status, StatusCode::OK);
    assert!(sound.is_whole);
}

// Guards against LOST: requests beside the deadly one on its target go on elsewhere.
#[tokio::test]
async fn run_call_beside_deadly_part_whole() {
    let mut site = TestSite::with_routes();
    let targets = add_targets(&mut site, 2);
    let gateway = site.start_gateway_with(&ample_retries()).await;
    let address = gateway.address();
    for _ in 0..4 {
        assert!(send(address, &["a"]).await.is_whole);
    }
    for target in &targets {
        target.set_behaviour(TargetBehaviour::Stream {
            events: 5,
            gap: Duration::from_millis(60),
            breaks_in: 0,
        });
    }
    let sound: Vec<_> = (0..6)
        .map(|_| tokio::spawn(async move { send(address, &["a"]).await }))
        .collect();
    sleep(Duration::from_millis(10)).await;
    send(address, &["a", "bad"]).await;
    assert_eq!(crashes(&targets), 1);
    for request in sound {
        let answer = request.await.expect("answer");
        assert_eq!(answer.status, StatusCode::OK);
        assert!(answer.is_whole);
    }
    // They weren't taken for suspects either.
    assert!(send(address, &["a"]).await.is_whole);
}

// An answer that was lost, or a connection that was reset, is no crash.
#[tokio::test]
async fn run_call_broken_off_without_crash() {
    let mut site = TestSite::with_routes();
    let target = site.add_target("i-1", "draft", TargetBehaviour::CloseAfterRun);
    let gateway = site.start_gateway().await;
    for _ in 0..4 {
        let answer = send(gateway.address(), &["c", "d"]).await;
        assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
        sleep(Duration::from_millis(300)).await;
    }
    target.set_behaviour(stream());
    let answered = || async {
        let answer = send(gateway.address(), &["c", "d"]).await;
        (answer.status == StatusCode::OK && answer.is_whole).then_some(())
    };
    eventually("answer", answered).await;
}

// Guards against BUDGET: each gateway had to see the crashes for itself.
#[tokio::test]
async fn follow_peers_deadly_part() {
    let mut site = TestSite::with_routes();
    let targets = add_targets(&mut site, 3);
    let first = site.start_gateway().await;
    let seeds = json!({ "vm": "gateway-2", "seeds": [first.node_address()] });
    let second = site.start_gateway_with(&seeds).await;
    for gateway in [&first, &second] {
        assert!(send(gateway.address(), &["a"]).await.is_whole);
    }
    send(first.address(), &["a", "bad"]).await;
    assert_eq!(crashes(&targets), 1);
    let refused = || async {
        let answer = send(second.address(), &["a", "bad"]).await;
        (answer.status == StatusCode::SERVICE_UNAVAILABLE).then_some(())
    };
    // Longer than a message takes, shorter than the interval of gossip.
    sleep(Duration::from_millis(100)).await;
    refused().await.expect("refused at once");
    assert_eq!(crashes(&targets), 1);
    assert!(send(second.address(), &["a"]).await.is_whole);
}

// Guards against BUDGET: gateways that all start anew knew nothing of earlier crashes.
#[tokio::test]
async fn follow_quarantine_after_restart() {
    let mut site = TestSite::with_routes();
    let targets = add_targets(&mut site, 3);
    let first = site.start_gateway().await;
    assert!(send(first.address(), &["a"]).await.is_whole);
    send(first.address(), &["a", "bad"]).await;
    let recorded = || async { site.store.value("amaranthgw/quarantine/bad.1") };
    eventually("record", recorded).await;
    drop(first);
    let second = site.start_gateway_with(&json!({ "vm": "gateway-2" })).await;
    sleep(Duration::from_millis(200)).await;
    let refused = send(second.address(), &["a", "bad"]).await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(crashes(&targets), 1);
    assert!(send(second.address(), &["a"]).await.is_whole);
}

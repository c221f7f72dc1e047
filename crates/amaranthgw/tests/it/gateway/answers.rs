//! Plain requests: what targets receive, what callers get back, and which requests are retried.

use amaranthgw_standins::site::TargetBehaviour;
use http::StatusCode;
use yare::parameterized;

use super::env::{TestSite, WORKSPACE, call, request};

#[tokio::test]
async fn run_call_rewrites_headers_only() {
    let mut site = TestSite::with_routes();
    let target = site.add_target("i-1", "desk", TargetBehaviour::Answer(200));
    let gateway = site.start_gateway().await;
    let mut sent = request("POST", "/pay/now?seat=4", "deposit");
    let forged = http::HeaderValue::from_static("other");
    sent.headers_mut().insert("x-amaranthgw-tenant", forged);
    let answer = call(gateway.address(), sent).await;
    assert_eq!(answer.status, StatusCode::OK);
    assert_eq!(answer.text(), "deposit");
    assert_eq!(
        answer.header("x-amaranthgw-server-stamp"),
        Some("stamp.i-1")
    );
    let runs = target.runs();
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].line, "POST /pay/now?seat=4");
    assert_eq!(runs[0].body, "deposit");
    assert_eq!(runs[0].header("x-amaranthgw-tenant"), Some(WORKSPACE));
    assert_eq!(
        runs[0]
            .headers
            .get_all("x-amaranthgw-tenant")
            .iter()
            .count(),
        1
    );
    assert_eq!(runs[0].header("x-api-key"), None);
    assert_eq!(runs[0].header("x-amaranthgw-expect-instance"), Some("i-1"));
    let left: u64 = runs[0]
        .header("x-amaranthgw-deadline-ms")
        .and_then(|left| left.parse().ok())
        .expect("deadline");
    assert!(left <= 2500, "{left}");
}

#[parameterized(
    no_route = { "/else/", true, 404 },
    unknown_key = { "/pay/", false, 401 },
)]
#[test_macro(tokio::test)]
async fn admit_refused(path: &str, has_key: bool, status: u16) {
    let mut site = TestSite::with_routes();
    let target = site.add_target("i-1", "desk", TargetBehaviour::Answer(200));
    let gateway = site.start_gateway().await;
    let mut sent = request("POST", path, "");
    if !has_key {
        sent.headers_mut().remove("x-api-key");
    }
    let answer = call(gateway.address(), sent).await;
    assert_eq!(answer.status.as_u16(), status);
    assert_eq!(target.arrivals(), 0);
}

#[tokio::test]
async fn admit_without_config() {
    let site = TestSite::new();
    let gateway = site.start_without_waiting(&[]);
    let answer = call(gateway.address(), request("GET", "/look/", "")).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.header("retry-after").is_some());
}

#[tokio::test]
async fn admit_body_too_large() {
    let mut site = TestSite::with_routes();
    let target = site.add_target("i-1", "desk", TargetBehaviour::Answer(200));
    let gateway = site.start_gateway().await;
    let sent = request("POST", "/pay/", &"x".repeat(5000));
    let answer = call(gateway.address(), sent).await;
    assert_eq!(answer.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(target.arrivals(), 0);
}

#[parameterized(
    closed = { TargetBehaviour::CloseAfterRun },
    broken_body = { TargetBehaviour::BreakBody },
    foreign = { TargetBehaviour::WrongRequestId },
)]
#[test_macro(tokio::test)]
async fn run_call_non_idempotent_once(behaviour: TargetBehaviour) {
    let mut site = TestSite::with_routes();
    let first = site.add_target("i-1", "desk", behaviour.clone());
    let second = site.add_target("i-2", "desk", behaviour);
    let gateway = site.start_gateway().await;
    let answer = call(gateway.address(), request("POST", "/pay/", "deposit")).await;
    assert_eq!(answer.status, StatusCode::BAD_GATEWAY);
    assert_eq!(first.runs().len() + second.runs().len(), 1);
}

#[parameterized(
    closed = { TargetBehaviour::CloseAfterRun },
    broken_body = { TargetBehaviour::BreakBody },
    foreign = { TargetBehaviour::WrongRequestId },
    failed = { TargetBehaviour::Answer(500) },
    silent = { TargetBehaviour::Hang },
)]
#[test_macro(tokio::test)]
async fn run_call_idempotent_repeated(behaviour: TargetBehaviour) {
    let mut site = TestSite::with_routes();
    let faulty = site.add_target("i-1", "desk", behaviour);
    let gateway = site.start_gateway().await;
    let healthy = site.add_target("i-2", "desk", TargetBehaviour::Answer(200));
    let answered = || async {
        let answer = call(gateway.address(), request("GET", "/look/", "")).await;
        (answer.status == StatusCode::OK).then_some(answer)
    };
    let answer = crate::env::eventually("answer of the healthy target", answered).await;
    assert_eq!(
        answer.header("x-amaranthgw-server-stamp"),
        Some("stamp.i-2")
    );
    assert!(!faulty.runs().is_empty());
    assert!(!healthy.runs().is_empty());
}

#[tokio::test]
async fn run_call_not_run_refused() {
    let mut site = TestSite::with_routes();
    let target = site.add_target("i-1", "desk", TargetBehaviour::Refuse);
    let gateway = site.start_gateway().await;
    let answer = call(gateway.address(), request("POST", "/pay/", "deposit")).await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.header("retry-after").is_some());
    assert!(answer.header("x-amaranthgw-server-stamp").is_none());
    assert!(target.runs().is_empty());
    assert!(target.arrivals() <= 4, "{}", target.arrivals());
}

#[tokio::test]
async fn run_call_failure_forwarded() {
    let mut site = TestSite::with_routes();
    let target = site.add_target("i-1", "desk", TargetBehaviour::Answer(500));
    let gateway = site.start_gateway().await;
    let answer = call(gateway.address(), request("POST", "/pay/", "deposit")).await;
    assert_eq!(answer.status, StatusCode::INTERNAL_SERVER_ERROR);
    assert_eq!(
        answer.header("x-amaranthgw-server-stamp"),
        Some("stamp.i-1")
    );
    assert_eq!(target.runs().len(), 1);
}

#[tokio::test]
async fn run_call_wrong_target_skipped() {
    let mut site = TestSite::with_routes();
    let target = site.add_target("i-new", "desk", TargetBehaviour::Answer(200));
    let entry = site.store.value("servers/i-new").expect("entry");
    // The newer entry of `i-old` takes the address over. The target rejects the one request for
    // `i-old` that arrives, and the gateway then skips the address.
    site.store.put_bytes("servers/i-old", &entry);
    let gateway = site.start_gateway().await;
    for _ in 0..3 {
        let answer = call(gateway.address(), request("POST", "/pay/", "deposit")).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    }
    assert!(target.runs().is_empty());
    assert_eq!(target.arrivals(), 1);
}

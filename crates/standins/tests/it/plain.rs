//! Tests of the plain service.

use amaranthgw_core::MilliSpan;
use amaranthgw_standins::{PlainSettings, PlainStandin, RunningStandin};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde_json::json;

use crate::client::{self, Result, TestClient, TestReply};

fn start() -> (RunningStandin, TestClient) {
    let settings = PlainSettings::new().with_call_span(MilliSpan::new(0));
    client::start(&PlainStandin::new(settings))
}

async fn call(plain: TestClient, request: &str, body: &'static str) -> Result<TestReply> {
    let call = Request::builder().method("POST").uri("/v1/call");
    let call = call.header("x-request", request).header("x-attempt", "1");
    let call = call.body(Full::new(Bytes::from(body))).expect("request");
    client::read(plain.open(call).await?).await
}

#[tokio::test]
async fn call_repeated_runs_again() {
    let (_running, plain) = start();
    let reply = call(plain, "r-1", "book 3 seats").await.expect("reply");
    assert_eq!((reply.status, reply.text()), (200, "ran:book 3 seats"));
    call(plain, "r-1", "book 3 seats").await.expect("reply");
    let run = json!({ "request": "r-1", "attempt": 1, "body": "book 3 seats" });
    let log = json!({ "runs": [run, run], "in_flight": 0, "max_in_flight": 1 });
    assert_eq!(plain.json("/admin/log").await, log);
}

#[tokio::test]
async fn call_answer_lost() {
    let (_running, plain) = start();
    plain
        .control("/admin/plain", json!({ "lose_answers": 1 }))
        .await;
    call(plain, "r-1", "x").await.expect_err("no answer");
    call(plain, "r-2", "y").await.expect("reply");
    let runs = plain.json("/admin/log").await["runs"].clone();
    assert_eq!(runs[0]["request"], "r-1");
    assert_eq!(runs[1]["request"], "r-2");
}

#[tokio::test]
async fn call_abandoned() {
    let (_running, plain) = start();
    plain
        .control("/admin/plain", json!({ "call_ms": 60_000 }))
        .await;
    let abandoned = tokio::spawn(call(plain, "r-1", "x"));
    while plain.json("/admin/log").await["in_flight"] == 0 {
        tokio::task::yield_now().await;
    }
    let load = plain.json("/v1/load").await;
    let mark = load["start_mark"].as_u64().expect("start mark");
    let in_flight = json!({ "start_mark": mark, "in_flight": 1, "queued": 0, "age_ms": 0 });
    assert_eq!(load, in_flight);
    abandoned.abort();
    while plain.json("/admin/log").await["in_flight"] == 1 {
        tokio::task::yield_now().await;
    }
    assert_eq!(plain.json("/admin/log").await["runs"][0]["body"], "x");
    let idle = json!({ "start_mark": mark, "in_flight": 0, "queued": 0, "age_ms": 0 });
    assert_eq!(plain.json("/v1/load").await, idle);
}

#[tokio::test]
async fn call_without_request() {
    let (_running, plain) = start();
    assert_eq!(
        plain
            .post("/v1/call", json!({}))
            .await
            .expect("reply")
            .status,
        400
    );
    assert_eq!(plain.json("/admin/log").await["runs"], json!([]));
}

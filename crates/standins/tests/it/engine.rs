//! Tests of the model engine.

use std::time::Duration;

use amaranthgw_core::{MilliSpan, SlotCount};
use amaranthgw_standins::{EngineSettings, EngineStandin, RunningStandin, chunk_text, prefix_hash};
use serde_json::{Value, json};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use crate::client::{self, TestClient};

const GENERATE: &str = "/v1/generate";

/// `max_tokens` of an answer that does not end during a test.
const ENDLESS: u64 = u64::MAX;

fn quick_settings() -> EngineSettings {
    EngineSettings::new()
        .with_token_span(MilliSpan::new(1))
        .with_prefill_span(MilliSpan::new(0))
        .with_cached_prefill_span(MilliSpan::new(0))
        .with_load_lag(MilliSpan::new(0))
        .with_restart_span(MilliSpan::new(100))
}

fn start(settings: EngineSettings) -> (RunningStandin, TestClient) {
    client::start(&EngineStandin::new(settings))
}

fn generate(request: &str, max_tokens: u64, resume_from: u64) -> Value {
    json!({
        "request": request, "attempt": 2, "prompt": "suggest a dinner menu",
        "max_tokens": max_tokens, "priority": 1, "resume_from": resume_from,
    })
}

fn answer(from: u64, chunks: u64) -> Vec<Value> {
    let line = |s| json!({ "sequence": s, "text": chunk_text("suggest a dinner menu", s) });
    let end = json!({ "end": { "chunks": chunks } });
    (from..chunks).map(line).chain([end]).collect()
}

async fn events(engine: TestClient) -> Vec<Value> {
    let log = engine.json("/admin/log").await;
    log["events"].as_array().expect("events").clone()
}

/// Names of the logged events after the first start, up to the next start.
async fn event_names(engine: TestClient) -> Vec<String> {
    let events = events(engine).await.into_iter().skip(1);
    let events = events.take_while(|event| event["event"] != "start");
    events
        .map(|event| event["event"].as_str().expect("event").to_owned())
        .collect()
}

#[tokio::test]
async fn generate_whole_answer() {
    let (_running, engine) = start(quick_settings());
    let reply = engine
        .post(GENERATE, generate("r-1", 5, 0))
        .await
        .expect("reply");
    assert!(reply.is_complete);
    assert_eq!(reply.lines(), answer(0, 5));
    let names = event_names(engine).await;
    assert_eq!(names, ["hand_over", "end"]);
}

#[tokio::test]
async fn generate_resumed() {
    let (_running, engine) = start(quick_settings());
    let reply = engine
        .post(GENERATE, generate("r-1", 5, 3))
        .await
        .expect("reply");
    assert_eq!(reply.lines(), answer(3, 5));
    let reply = engine
        .post(GENERATE, generate("r-1", 5, 5))
        .await
        .expect("reply");
    assert_eq!(reply.lines(), answer(5, 5));
}

#[tokio::test]
async fn generate_twice_is_logged_twice() {
    let (_running, engine) = start(quick_settings());
    for _ in 0..2 {
        engine
            .post(GENERATE, generate("r-1", 1, 0))
            .await
            .expect("reply");
    }
    let events = events(engine).await;
    let is_same = |event: &&Value| {
        event["event"] == "hand_over" && event["request"] == "r-1" && event["attempt"] == 2
    };
    assert_eq!(events.iter().filter(is_same).count(), 2);
}

#[tokio::test]
async fn generate_overload_crashes_cold() {
    let (_running, engine) = start(quick_settings().with_cold_slots(SlotCount::new(1)));
    let mark = engine.json("/v1/load").await["start_mark"].clone();
    let stream = engine
        .open_post(GENERATE, &generate("r-1", ENDLESS, 0))
        .await
        .expect("reply");
    engine
        .post(GENERATE, generate("r-2", 1, 0))
        .await
        .expect_err("no answer");
    let reply = client::read(stream).await.expect("reply");
    assert!(!reply.is_complete);
    let log = engine.json("/admin/log").await;
    assert_eq!(
        (&log["max_in_flight_cold"], &log["max_in_flight_warm"]),
        (&json!(2), &json!(0))
    );
    assert_eq!(
        event_names(engine).await,
        ["hand_over", "hand_over", "fall_over"]
    );
    let load = loop {
        if let Ok(reply) = engine.get("/v1/load").await {
            break reply.json();
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    };
    assert_ne!(load["start_mark"], mark);
}

#[tokio::test]
async fn generate_crash_prompt() {
    let settings = quick_settings().with_restart_span(MilliSpan::new(600_000));
    let (running, engine) = start(settings);
    let mut idle = TcpStream::connect(running.address())
        .await
        .expect("connection");
    let body = json!({ "request": "r-1", "prompt": "now crash-engine now" });
    engine.post(GENERATE, body).await.expect_err("no answer");
    assert_eq!(event_names(engine).await, ["hand_over", "fall_over"]);
    assert_eq!(idle.read(&mut [0]).await.expect("closed"), 0);
    for path in ["/v1/unknown", "/v1/orders"] {
        engine.post(path, json!({})).await.expect_err("no answer");
    }
}

#[tokio::test]
async fn generate_by_priority() {
    let (_running, engine) = start(quick_settings().with_chunks_per_step(1));
    engine
        .control("/admin/engine", json!({ "stall_ms": 600_000 }))
        .await;
    let mut streams = Vec::new();
    for (request, priority) in [("low", -1), ("high", 5)] {
        let mut body = generate(request, 3, 0);
        body["priority"] = json!(priority);
        streams.push(engine.open_post(GENERATE, &body).await.expect("reply"));
    }
    engine
        .control("/admin/engine", json!({ "stall_ms": 0 }))
        .await;
    for stream in streams {
        assert_eq!(
            client::read(stream).await.expect("reply").lines(),
            answer(0, 3)
        );
    }
    let events = events(engine).await;
    let ends = events.iter().filter(|event| event["event"] == "end");
    assert_eq!(
        ends.map(|event| &event["request"]).collect::<Vec<_>>(),
        ["high", "low"]
    );
}

#[tokio::test]
async fn generate_cached_prefix() {
    let settings = quick_settings().with_prefix_slots(1);
    let settings = settings.with_cached_prefill_span(MilliSpan::new(60_000));
    let (_running, engine) = start(settings);
    let other = json!({ "request": "r-2", "prompt": "another prompt" });
    for body in [generate("r-1", 1, 0), other, generate("r-3", 1, 0)] {
        assert!(
            engine
                .post(GENERATE, body)
                .await
                .expect("reply")
                .is_complete
        );
    }
    let cached = engine
        .open_post(GENERATE, &generate("r-4", 1, 0))
        .await
        .expect("reply");
    let load = engine.json("/v1/load").await;
    assert_eq!(
        (&load["queued"], &load["in_flight"]),
        (&json!(1), &json!(1))
    );
    drop(cached);
}

#[tokio::test]
async fn generate_warm_then_cold() {
    let settings = quick_settings()
        .with_cold_slots(SlotCount::new(1))
        .with_warm_after(1);
    let (_running, engine) = start(settings);
    let mark = engine.json("/v1/load").await["start_mark"].clone();
    engine
        .post(GENERATE, generate("r-1", 1, 0))
        .await
        .expect("reply");
    let first = engine
        .open_post(GENERATE, &generate("r-2", ENDLESS, 0))
        .await
        .expect("reply");
    let second = engine
        .open_post(GENERATE, &generate("r-3", ENDLESS, 0))
        .await
        .expect("reply");
    assert_eq!(engine.json("/admin/log").await["max_in_flight_warm"], 2);
    engine
        .control("/admin/engine", json!({ "cold": true }))
        .await;
    assert_eq!(engine.json("/v1/load").await["start_mark"], mark);
    engine
        .post(GENERATE, generate("r-4", 1, 0))
        .await
        .expect_err("no answer");
    for stream in [first, second] {
        assert!(!client::read(stream).await.expect("reply").is_complete);
    }
}

#[tokio::test]
async fn cancel_stops_request() {
    let (_running, engine) = start(quick_settings());
    let stream = engine
        .open_post(GENERATE, &generate("r-1", ENDLESS, 0))
        .await
        .expect("reply");
    let reply = engine
        .post("/v1/cancel/r-1", json!({}))
        .await
        .expect("reply");
    assert_eq!((reply.status, reply.json()), (200, json!({ "stopped": 1 })));
    assert_eq!(engine.json("/v1/load").await["in_flight"], 0);
    let reply = client::read(stream).await.expect("reply");
    assert!(reply.is_complete);
    assert!(reply.lines().iter().all(|line| line.get("end").is_none()));
    let reply = engine
        .post("/v1/cancel/r-1", json!({}))
        .await
        .expect("reply");
    assert_eq!((reply.status, reply.json()), (200, json!({ "stopped": 0 })));
}

#[tokio::test]
async fn generate_abandoned() {
    let (_running, engine) = start(quick_settings());
    drop(
        engine
            .open_post(GENERATE, &generate("r-1", ENDLESS, 0))
            .await
            .expect("reply"),
    );
    while engine.json("/v1/load").await["in_flight"] != 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(event_names(engine).await, ["hand_over", "gone"]);
}

#[tokio::test]
async fn load_lags_behind() {
    let lag = Duration::from_millis(150);
    let settings = quick_settings().with_load_lag(MilliSpan::from_duration(lag));
    let (_running, engine) = start(settings);
    let sent_at = tokio::time::Instant::now();
    let stream = engine
        .open_post(GENERATE, &generate("r-1", ENDLESS, 0))
        .await
        .expect("reply");
    let load = loop {
        let load = engine.json("/v1/load").await;
        if load["in_flight"] == 1 {
            break load;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    };
    assert!(sent_at.elapsed() >= lag);
    assert_eq!(load["age_ms"], 150);
    assert_eq!(
        load["prefixes"],
        json!([prefix_hash("suggest a dinner menu")])
    );
    drop(stream);
}

#[yare::parameterized(
    orders_honoured = { true, 409 },
    orders_ignored = { false, 200 },
)]
#[test_macro(tokio::test)]
async fn orders(honours: bool, old_status: u16) {
    let (_running, engine) = start(quick_settings().with_honour_fencing(honours));
    let mut statuses = Vec::new();
    for fencing in [5, 5, 4, 6] {
        let order = json!({ "fencing": fencing, "order": { "load_model": "m-1" } });
        statuses.push(
            engine
                .post("/v1/orders", order)
                .await
                .expect("reply")
                .status,
        );
    }
    assert_eq!(statuses, [200, 200, old_status, 200]);
    let events = events(engine).await;
    let orders = events.iter().filter(|event| event["event"] == "order");
    let accepted = orders
        .map(|event| event["accepted"] == true)
        .collect::<Vec<_>>();
    assert_eq!(accepted, [true, true, !honours, true]);
}

#[tokio::test]
async fn control_stalls() {
    let (_running, engine) = start(quick_settings());
    let stall = Duration::from_millis(150);
    let stalled_at = tokio::time::Instant::now();
    engine
        .control("/admin/engine", json!({ "stall_ms": 150, "token_ms": 2 }))
        .await;
    let reply = engine
        .post(GENERATE, generate("r-1", 2, 0))
        .await
        .expect("reply");
    assert_eq!(reply.lines(), answer(0, 2));
    assert!(stalled_at.elapsed() >= stall);
}

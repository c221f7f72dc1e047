//! Tests of the weight store.

use std::time::Duration;

use amaranthgw_core::{ByteCount, ByteRate};
use amaranthgw_standins::{WeightSettings, WeightStandin};
use serde_json::json;
use tokio::time::Instant;

use crate::client;

#[tokio::test]
async fn read_shares_one_rate() {
    let settings = WeightSettings::new()
        .with_rate(ByteRate::new(500_000))
        .with_expert_bytes(ByteCount::new(50_000));
    let (_running, weights) = client::start(&WeightStandin::new(settings));
    let started_at = Instant::now();
    let (first, second) = tokio::join!(
        weights.get("/v1/weights/draft/0/1"),
        weights.get("/v1/weights/draft/3/255"),
    );
    assert!(started_at.elapsed() >= Duration::from_millis(200));
    for reply in [first, second] {
        let reply = reply.expect("reply");
        assert_eq!(
            (reply.status, reply.body.len(), reply.is_complete),
            (200, 50_000, true)
        );
    }
    let counts = json!({ "reads": 2, "bytes": 100_000 });
    assert_eq!(weights.json("/admin/counts").await, counts);
}

#[tokio::test]
async fn read_at_changed_rate() {
    let settings = WeightSettings::new().with_rate(ByteRate::new(1));
    let (_running, weights) = client::start(&WeightStandin::new(settings));
    weights
        .control("/admin/weights", json!({ "rate": "1000000000/s" }))
        .await;
    let reply = weights.get("/v1/weights/draft/0/1").await.expect("reply");
    assert_eq!(reply.body.len(), 1024 * 1024);
    assert_eq!(
        weights
            .get("/v1/weights/draft/0/x")
            .await
            .expect("reply")
            .status,
        400
    );
}

//! Tests of the rank group.

use std::time::Duration;

use amaranthgw_core::{ByteCount, MilliSpan};
use amaranthgw_standins::{
    GroupSettings, GroupStandin, RunningStandin, Standin, WeightSettings, WeightStandin,
};
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::client::{self, TestClient, TestReply, free_address};

/// Time in which several steps run with [`quick_settings`].
const SEVERAL_STEPS: Duration = Duration::from_millis(30);

struct TestGroup {
    _running: RunningStandin,
    ranks: Vec<TestClient>,
}

impl TestGroup {
    fn new(settings: GroupSettings) -> Self {
        let standin = GroupStandin::new(settings);
        let running = standin.start(free_address()).expect("free ports");
        let ranks = running
            .addresses()
            .iter()
            .copied()
            .map(TestClient::new)
            .collect();
        Self {
            _running: running,
            ranks,
        }
    }

    /// Starts a group and waits until it runs steps on map version 1 in generation 1.
    async fn stepping() -> Self {
        let group = Self::new(quick_settings());
        group.load_all(1).await;
        group.switch_all(1, 1, 0).await;
        group.wait_for_step(0, 3).await;
        group
    }

    async fn order(&self, rank: usize, fencing: u64, order: Value) -> TestReply {
        let body = json!({ "fencing": fencing, "order": order });
        self.ranks[rank]
            .post("/v1/orders", body)
            .await
            .expect("reply")
    }

    /// Orders each rank to load its round-robin share of the 16 experts of both layers and waits
    /// until it has.
    async fn load_all(&self, version: u64) {
        for rank in 0..self.ranks.len() {
            self.load(rank, version).await;
        }
    }

    async fn load(&self, rank: usize, version: u64) {
        let experts = (rank..16).step_by(self.ranks.len()).collect::<Vec<_>>();
        for layer in 0..2 {
            let load = json!({ "version": version, "layer": layer, "experts": experts });
            let reply = self.order(rank, 1, json!({ "load_experts": load })).await;
            assert_eq!(reply.status, 200);
        }
        let is_loaded = |state: &Value| {
            let loaded = state["loaded"].as_array().expect("loaded");
            loaded.contains(&json!(version))
        };
        self.wait_until(rank, is_loaded).await;
    }

    async fn switch(&self, rank: usize, generation: u64, version: u64, step: u64) {
        let switch = json!({ "generation": generation, "version": version, "step": step });
        let reply = self.order(rank, 1, json!({ "switch_map": switch })).await;
        assert_eq!(reply.status, 200);
    }

    async fn switch_all(&self, generation: u64, version: u64, step: u64) {
        for rank in 0..self.ranks.len() {
            self.switch(rank, generation, version, step).await;
        }
    }

    async fn state(&self, rank: usize) -> Value {
        self.ranks[rank].json("/v1/group").await
    }

    async fn step(&self, rank: usize) -> u64 {
        self.state(rank).await["step"].as_u64().expect("step")
    }

    async fn wait_until(&self, rank: usize, is_reached: impl Fn(&Value) -> bool) {
        while !is_reached(&self.state(rank).await) {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    async fn wait_for_step(&self, rank: usize, step: u64) {
        let has_stepped = |state: &Value| state["step"].as_u64().expect("step") >= step;
        self.wait_until(rank, has_stepped).await;
    }

    async fn assert_stopped(&self, rank: usize) {
        let step = self.step(rank).await;
        tokio::time::sleep(SEVERAL_STEPS).await;
        assert_eq!(self.step(rank).await, step);
    }

    async fn log(&self) -> Value {
        self.ranks[0].json("/admin/log").await
    }
}

fn quick_settings() -> GroupSettings {
    GroupSettings::new()
        .with_step_span(MilliSpan::new(2))
        .with_load_span(MilliSpan::new(0))
        .with_base_span(Duration::from_micros(100))
        .with_token_span(Duration::from_nanos(100))
}

#[tokio::test]
async fn step_waits_for_first_map() {
    let group = TestGroup::new(quick_settings());
    assert_eq!(group.ranks.len(), 4);
    let state = group.state(3).await;
    assert_eq!(state["rank"], 3);
    assert_eq!((&state["version"], &state["step"]), (&json!(0), &json!(0)));
    group.load_all(1).await;
    group.switch_all(1, 1, 0).await;
    group.wait_for_step(3, 3).await;
    let log = group.log().await;
    assert_eq!(log["steps"][0]["first"], 1);
    assert_eq!(log["steps"][0]["versions"], json!([1, 1, 1, 1]));
    assert_eq!(log["steps"][0]["missing"], 0);
    assert_eq!(
        (&log["mixed_steps"], &log["loads"]),
        (&json!(0), &json!(32))
    );
}

#[tokio::test]
async fn switch_at_its_step() {
    let group = TestGroup::stepping().await;
    group.load_all(2).await;
    group.ranks[3]
        .control("/admin/rank", json!({ "stall_ms": 600_000 }))
        .await;
    let step = group.step(0).await + 5;
    group.switch_all(1, 2, step).await;
    let pending = json!({ "generation": 1, "version": 2, "step": step });
    assert_eq!(group.state(0).await["pending"], pending);
    group.ranks[3]
        .control("/admin/rank", json!({ "stall_ms": 0 }))
        .await;
    group.wait_for_step(0, step).await;
    let log = group.log().await;
    assert_eq!(log["mixed_steps"], 0);
    assert_eq!(log["steps"][1]["first"], step);
    assert_eq!(log["steps"][1]["versions"], json!([2, 2, 2, 2]));
    assert_eq!(group.state(0).await["loaded"], json!([2]));
    assert_eq!(log["loads"], 32);
}

#[tokio::test]
async fn switch_on_one_rank_is_mixed() {
    let group = TestGroup::stepping().await;
    group.load_all(2).await;
    group.switch(2, 1, 2, 0).await;
    group.wait_until(2, |state| state["version"] == 2).await;
    group.wait_for_step(0, group.step(0).await + 1).await;
    let log = group.log().await;
    assert_ne!(log["mixed_steps"], 0);
    assert_eq!(log["steps"][1]["versions"], json!([1, 1, 2, 1]));
}

#[tokio::test]
async fn switch_to_new_generation_waits_for_all() {
    let group = TestGroup::stepping().await;
    group.load_all(2).await;
    group.switch(2, 2, 2, 0).await;
    group.wait_until(2, |state| state["generation"] == 2).await;
    group.assert_stopped(0).await;
    for rank in [0, 1, 3] {
        group.switch(rank, 2, 2, 0).await;
    }
    group.wait_for_step(0, group.step(0).await + 1).await;
    let log = group.log().await;
    assert_eq!(log["mixed_steps"], 0);
    assert_eq!(
        (
            &log["steps"][1]["generation"],
            &log["steps"][1]["versions"][0]
        ),
        (&json!(2), &json!(2))
    );
}

#[tokio::test]
async fn switch_to_unloaded_map_waits() {
    let group = TestGroup::stepping().await;
    group.switch_all(1, 2, 0).await;
    group.wait_until(0, |state| state["version"] == 2).await;
    group.assert_stopped(0).await;
    group.load_all(2).await;
    group.wait_for_step(0, group.step(0).await + 1).await;
    assert_eq!(group.log().await["mixed_steps"], 0);
}

#[tokio::test]
async fn control_stalls_rank() {
    let group = TestGroup::stepping().await;
    let stalled_at = Instant::now();
    group.ranks[1]
        .control("/admin/rank", json!({ "stall_ms": 150 }))
        .await;
    let step = group.step(0).await;
    group.wait_for_step(0, step + 1).await;
    assert!(stalled_at.elapsed() >= Duration::from_millis(150));
}

#[tokio::test]
async fn control_restarts_rank() {
    let group = TestGroup::stepping().await;
    let mark = group.state(1).await["start_mark"].clone();
    group.ranks[1]
        .control("/admin/rank", json!({ "restart": true, "restart_ms": 100 }))
        .await;
    let state = loop {
        match group.ranks[1].get("/v1/group").await {
            Ok(reply) => break reply.json(),
            Err(_down) => tokio::time::sleep(Duration::from_millis(1)).await,
        }
    };
    assert_ne!(state["start_mark"], mark);
    assert_eq!((&state["step"], &state["loaded"]), (&json!(0), &json!([])));
    group.assert_stopped(0).await;
    group.load(1, 1).await;
    let before = group.step(0).await;
    group.switch_all(2, 1, 0).await;
    group.wait_for_step(1, before + 1).await;
    assert_eq!(group.log().await["mixed_steps"], 0);
}

#[tokio::test]
async fn control_skews_popularity() {
    let group = TestGroup::stepping().await;
    let even = group.state(0).await["step_us"].clone();
    // In microseconds: the base time, and 4,096 tokens in each of 2 layers over 4 ranks, of which a
    // rank computes 10 per microsecond.
    assert_eq!(even, 100 + 2 * 4_096 / 4 / 10);
    assert_eq!(group.state(3).await["step_us"], even);
    let mut popularity = vec![0; 16];
    popularity[3] = 1;
    group.ranks[0]
        .control("/admin/group", json!({ "popularity": [popularity] }))
        .await;
    group.wait_until(0, |state| state["step_us"] == 100).await;
    assert_eq!(group.state(3).await["step_us"], 100 + 2 * 4_096 / 10);
    let experts = group.ranks[3].json("/v1/experts").await;
    let tokens = json!([[3, 4096.0], [7, 0.0], [11, 0.0], [15, 0.0]]);
    assert_eq!(
        experts["layers"][1],
        json!({ "layer": 1, "tokens": tokens })
    );
}

#[tokio::test]
async fn step_without_holder_is_logged() {
    let group = TestGroup::new(quick_settings().with_experts(20));
    group.load_all(1).await;
    group.switch_all(1, 1, 0).await;
    group.wait_for_step(0, 1).await;
    assert_eq!(group.log().await["steps"][0]["missing"], 2 * 4);
}

#[tokio::test]
async fn load_from_weight_store() {
    let settings = WeightSettings::new().with_expert_bytes(ByteCount::new(1_000));
    let (running, weights) = client::start(&WeightStandin::new(settings));
    let settings = quick_settings()
        .with_weights(Some(running.address()))
        .with_model(Some("draft".parse().expect("model")));
    let group = TestGroup::new(settings);
    group.load_all(1).await;
    let counts = json!({ "reads": 32, "bytes": 32_000 });
    assert_eq!(weights.json("/admin/counts").await, counts);
}

#[yare::parameterized(
    orders_honoured = { true, 409 },
    orders_ignored = { false, 200 },
)]
#[test_macro(tokio::test)]
async fn orders(honours: bool, old_status: u16) {
    let group = TestGroup::new(quick_settings().with_honour_fencing(honours));
    let order = json!({ "switch_map": { "generation": 1, "version": 1, "step": 900 } });
    let mut statuses = Vec::new();
    for fencing in [5, 4, 5] {
        statuses.push(group.order(0, fencing, order.clone()).await.status);
    }
    assert_eq!(statuses, [200, old_status, 200]);
    group.ranks[0]
        .control("/admin/rank", json!({ "restart": true }))
        .await;
    assert_eq!(group.order(0, 4, order).await.status, 200);
    let reply = group.order(0, 9, json!({ "melt": {} })).await;
    assert_eq!(reply.status, 400);
    group.ranks[0]
        .control(
            "/admin/rank",
            json!({ "restart": true, "restart_ms": 600_000 }),
        )
        .await;
    for path in ["/v1/unknown", "/v1/orders"] {
        let refused = group.ranks[0].post(path, json!({})).await;
        refused.expect_err("no answer");
    }
}

use http::Method;
use serde_json::json;

use crate::env::{TestFleet, eventually};

/// A resend with the same idempotency key through another entry must not run the booking a second
/// time.
#[tokio::test]
async fn claim_resend_to_another_entry_runs_once() {
    let fleet = TestFleet::start("resend").await;
    let key = [("idempotency-key", "order-1")];
    let first = fleet
        .caller(0)
        .call("booking-desk", "c-1", &key, "tin 7")
        .await;
    let first = first.expect("an answer");
    assert!(first.status.is_success(), "{first:?}");
    let again = eventually("replayed answer", || async {
        let again = fleet
            .caller(1)
            .call("booking-desk", "c-2", &key, "tin 7")
            .await?;
        again.status.is_success().then_some(again)
    })
    .await;
    assert_eq!(again.body, first.body);
    assert_eq!(fleet.count_runs("body", "tin 7").await, 1);
    let other = fleet
        .caller(1)
        .call("booking-desk", "c-3", &key, "tin 8")
        .await;
    assert_eq!(other.expect("an answer").error().0, "key_reused");
    assert_eq!(fleet.count_runs("body", "tin 8").await, 0);
}

/// Concurrent requests with one key through two entries must not each obtain a claim.
#[tokio::test]
async fn claim_concurrent_resends_run_once() {
    let fleet = TestFleet::start("concurrent").await;
    let calls = (0..16_usize).map(|index| {
        let caller = fleet.caller(index % 2);
        async move {
            let key = [("idempotency-key", "order-2")];
            caller
                .call("booking-desk", &format!("d-{index}"), &key, "tin 9")
                .await
        }
    });
    futures_util::future::join_all(calls).await;
    assert_eq!(fleet.count_runs("body", "tin 9").await, 1);
}

/// Without the key-value service no claim can be made, so the call must not run; model calls need
/// none.
#[tokio::test]
async fn claim_in_outage_is_refused_as_not_run() {
    let fleet = TestFleet::start("outage").await;
    fleet.set_store_faults(json!({ "mode": "down" })).await;
    let key = [("idempotency-key", "order-3")];
    let answer = fleet
        .caller(0)
        .call("booking-desk", "e-1", &key, "tin 10")
        .await;
    let (code, outcome) = answer.expect("an answer").error();
    assert_eq!(
        (code.as_str(), outcome.as_str()),
        ("key_unavailable", "not_run")
    );
    let model = fleet
        .caller(0)
        .generate("draft-llm", "e-2", "in an outage", 3)
        .await;
    assert!(model.expect("an answer").status.is_success());
    fleet.set_store_faults(json!({ "mode": "up" })).await;
    eventually("run after the outage", || async {
        let answer = fleet
            .caller(0)
            .call("booking-desk", "e-3", &key, "tin 10")
            .await?;
        answer.status.is_success().then_some(())
    })
    .await;
    assert_eq!(fleet.count_runs("body", "tin 10").await, 1);
}

/// The key-value service applies writes but loses its answers, so that the writer cannot know
/// whether it holds the claim.
#[tokio::test]
async fn claim_with_lost_answers_runs_once() {
    let fleet = TestFleet::start("lost").await;
    fleet
        .set_store_faults(json!({ "mode": "up", "lose_answers": 3 }))
        .await;
    let key = [("idempotency-key", "order-4")];
    eventually("an answer", || async {
        let answer = fleet
            .caller(0)
            .call("booking-desk", "f-1", &key, "tin 11")
            .await?;
        answer.status.is_success().then_some(())
    })
    .await;
    assert_eq!(fleet.count_runs("body", "tin 11").await, 1);
}

/// An entry is killed while its claimed call runs. A resend must not run the call again, and its
/// answer must not say that the call did not run.
#[tokio::test]
async fn claim_of_a_killed_entry_stays_unknown() {
    let mut fleet = TestFleet::start("killed").await;
    for target in fleet
        .targets
        .iter()
        .filter(|row| row.service == "booking-desk")
    {
        let slow = json!({ "call_ms": 60_000 }).to_string();
        target
            .client()
            .send(Method::POST, "/admin/plain", &[], slow)
            .await
            .expect("an answer");
    }
    let caller = fleet.caller(0);
    let call = tokio::spawn(async move {
        let key = [("idempotency-key", "order-5")];
        caller.call("booking-desk", "g-1", &key, "tin 12").await
    });
    eventually("running call", || async {
        (fleet.count_runs("body", "tin 12").await == 1).then_some(())
    })
    .await;
    fleet.entries[0].process.kill();
    assert!(
        call.await.expect("the call ends").is_none(),
        "a killed entry answered"
    );
    let key = [("idempotency-key", "order-5")];
    let again = fleet
        .caller(1)
        .call("booking-desk", "g-2", &key, "tin 12")
        .await;
    let (code, outcome) = again.expect("an answer").error();
    assert_eq!(
        (code.as_str(), outcome.as_str()),
        ("already_sent", "outcome_unknown")
    );
    assert_eq!(fleet.count_runs("body", "tin 12").await, 1);
}

use serde_json::Value;

use crate::env::{CallerClient, TestFleet, eventually};

/// Returns the number of engine crashes so far.
async fn count_crashes(fleet: &TestFleet) -> usize {
    let mut crashes = 0;
    for target in fleet
        .targets
        .iter()
        .filter(|row| row.service == "draft-llm")
    {
        let log = target.client().get("/admin/log").await.expect("a log");
        let events = log["events"].as_array().expect("events");
        crashes += events
            .iter()
            .filter(|event| event["event"] == "fall_over")
            .count();
    }
    crashes
}

async fn send_poison(caller: &CallerClient, index: usize) -> Option<Value> {
    let request = format!("poison-{index}");
    let answer = caller
        .generate("draft-llm", &request, "please crash-engine now", 8)
        .await?;
    assert!(
        !answer.is_clean || !answer.status.is_success(),
        "a poison request was answered"
    );
    serde_json::from_slice(&answer.body).ok()
}

/// A request that crashes each engine that runs it must be refused at all entries after a few
/// crashes, although its caller resends it without end.
#[tokio::test]
async fn refuse_request_that_crashes_each_target() {
    let fleet = TestFleet::start("poison").await;
    // The caller resends the request, first to one entry and then to the other.
    let refused = eventually("refusal", || async {
        let answer = send_poison(&fleet.caller(0), 0).await?;
        (answer["error"]["code"] == "crashes_targets").then_some(answer)
    })
    .await;
    assert_eq!(refused["error"]["outcome"], "not_run");
    eventually("refusal at the other entry", || async {
        let answer = send_poison(&fleet.caller(1), 1).await?;
        (answer["error"]["code"] == "crashes_targets").then_some(())
    })
    .await;
    // Nothing else runs on the engines, so each entry identifies the request after at most two
    // crashes.
    let crashes = count_crashes(&fleet).await;
    assert!((2..=4).contains(&crashes), "{crashes} crashes");
    for index in 0..8 {
        send_poison(&fleet.caller(index % 2), 10 + index).await;
    }
    assert_eq!(count_crashes(&fleet).await, crashes);
    // Other requests still run.
    fleet.wait_until_ready().await;
}

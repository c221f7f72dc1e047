use amaranthgw_standins::chunk_text;
use serde_json::json;

use crate::env::{CallAnswer, TestFleet};

/// Returns the lines of a complete answer to `prompt` with `chunks` chunks.
fn expected_lines(prompt: &str, chunks: u64) -> Vec<serde_json::Value> {
    let chunk = |sequence| json!({ "sequence": sequence, "text": chunk_text(prompt, sequence) });
    let end = json!({ "end": { "chunks": chunks } });
    (0..chunks).map(chunk).chain([end]).collect()
}

fn assert_complete(answer: &CallAnswer, prompt: &str, chunks: u64) {
    assert!(answer.status.is_success(), "{answer:?}");
    assert!(answer.is_clean, "{answer:?}");
    assert_eq!(answer.lines(), expected_lines(prompt, chunks));
}

#[tokio::test]
async fn serve_whole_answers_through_both_entries() {
    let fleet = TestFleet::start("whole").await;
    for index in 0..24 {
        let prompt = format!("prompt number {index}");
        let caller = fleet.caller(index % 2);
        let answer = caller
            .generate("draft-llm", &format!("g-{index}"), &prompt, 20)
            .await;
        assert_complete(&answer.expect("an answer"), &prompt, 20);
    }
}

#[tokio::test]
async fn serve_plain_calls_once_each() {
    let fleet = TestFleet::start("plain").await;
    for index in 0..24 {
        let body = format!("book seat {index}");
        let caller = fleet.caller(index % 2);
        let answer = caller
            .call("booking-desk", &format!("p-{index}"), &[], &body)
            .await;
        let answer = answer.expect("an answer");
        assert!(answer.status.is_success(), "{answer:?}");
        assert_eq!(answer.body, format!("ran:{body}"));
    }
    for index in 0..24 {
        let request = format!("p-{index}");
        let runs = fleet.count_runs("request", &request).await;
        assert_eq!(runs, 1, "{request}");
    }
}

/// A burst on targets that have just started must wait for slots: it must neither be refused nor
/// crash an engine.
#[tokio::test]
async fn serve_burst_on_cold_targets_without_refusal() {
    let fleet = TestFleet::start("burst").await;
    let calls = (0..48_usize).map(|index| {
        let caller = fleet.caller(index % 2);
        async move {
            let prompt = format!("burst number {index}");
            let answer = caller
                .generate("draft-llm", &format!("u-{index}"), &prompt, 20)
                .await;
            assert_complete(&answer.expect("an answer"), &prompt, 20);
        }
    });
    futures_util::future::join_all(calls).await;
    for target in fleet
        .targets
        .iter()
        .filter(|row| row.service == "draft-llm")
    {
        let log = target
            .client()
            .get("/admin/log")
            .await
            .expect("a log")
            .to_string();
        assert!(
            !log.contains("fall_over"),
            "an engine was overloaded: {log}"
        );
    }
}

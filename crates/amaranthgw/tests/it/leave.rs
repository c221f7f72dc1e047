use http::Method;
use serde_json::Value;

use crate::env::{CallerClient, TestFleet, eventually};

/// Returns the number of calls dispatched to the targets in `domain`, as logged by the targets.
async fn count_dispatches(fleet: &TestFleet, domain: &str) -> usize {
    let mut dispatches = 0;
    for target in fleet
        .targets
        .iter()
        .filter(|row| row.sidecar.domain == domain)
    {
        let log = target.client().get("/admin/log").await.expect("a log");
        dispatches += log["runs"].as_array().map_or(0, Vec::len);
        let events = log["events"].as_array().into_iter().flatten();
        dispatches += events
            .filter(|event| event.to_string().contains("hand_over"))
            .count();
    }
    dispatches
}

async fn call_both_services(caller: &CallerClient, index: usize) {
    let model = caller
        .generate("draft-llm", &format!("m-{index}"), "moved", 3)
        .await;
    assert!(model.expect("an answer").status.is_success());
    let plain = caller
        .call("booking-desk", &format!("b-{index}"), &[], "seat")
        .await;
    assert!(plain.expect("an answer").status.is_success());
}

/// Waits until the accepted configuration is in force at every node.
async fn wait_in_force(fleet: &TestFleet) {
    eventually("configuration in force everywhere", || async {
        let status = fleet.status();
        let nodes = status["nodes"].as_array().expect("nodes");
        let is_in_force = |node: &Value| node["change"] == status["accepted"];
        nodes.iter().all(is_in_force).then_some(())
    })
    .await;
}

/// Targets in a domain that an operator takes out of service must get no calls until it is back.
#[tokio::test]
async fn out_domain_gets_no_new_work_and_comes_back() {
    let fleet = TestFleet::start("domain").await;
    fleet.run_operator(&["out", "domain", "tartu-a"]);
    wait_in_force(&fleet).await;
    let before = count_dispatches(&fleet, "tartu-a").await;
    for index in 0..12 {
        call_both_services(&fleet.caller(index % 2), index).await;
    }
    assert_eq!(count_dispatches(&fleet, "tartu-a").await, before);
    fleet.run_operator(&["back", "domain", "tartu-a"]);
    eventually("dispatches in the domain that came back", || async {
        call_both_services(&fleet.caller(0), 100).await;
        (count_dispatches(&fleet, "tartu-a").await > before).then_some(())
    })
    .await;
}

#[tokio::test]
async fn out_unknown_domain_is_refused() {
    let fleet = TestFleet::start("unknown-domain").await;
    let (code, text) = fleet.try_run_operator(&["out", "domain", "tartu-x"]);
    assert_eq!(code, 2, "{text}");
}

/// An entry that stops must fail its readiness probe but complete the answers that it streams.
#[tokio::test]
async fn stop_entry_ends_running_answers() {
    let mut fleet = TestFleet::start("stop-entry").await;
    let caller = fleet.caller(0);
    let call = tokio::spawn(async move {
        caller
            .generate("draft-llm", "long", "a long answer", 600)
            .await
            .expect("an answer")
    });
    eventually("running answer", || async {
        let status = fleet.status();
        let nodes = status["nodes"].as_array().expect("nodes").clone();
        nodes
            .iter()
            .any(|node| node["in_flight"].as_u64() > Some(0))
            .then_some(())
    })
    .await;
    fleet.entries[0].process.signal("TERM");
    eventually("refusing readiness", || async {
        let ready = fleet
            .caller(0)
            .send(Method::GET, "/readyz", &[], "")
            .await?;
        (ready.status == 503).then_some(())
    })
    .await;
    let answer = call.await.expect("the call ends");
    assert!(answer.is_clean, "the answer was cut off");
    assert_eq!(answer.lines().len(), 601);
    let code = fleet.entries[0].process.wait_exit().await;
    assert_eq!(code, 0);
}

/// An answer whose sidecar is killed must be resumed at another target without lost or repeated
/// chunks.
#[tokio::test]
async fn kill_sidecar_resumes_the_answer_elsewhere() {
    let mut fleet = TestFleet::start("kill-sidecar").await;
    let caller = fleet.caller(0);
    let call = tokio::spawn(async move {
        caller
            .generate("draft-llm", "resumed", "an answer that moves", 400)
            .await
            .expect("an answer")
    });
    let busy = eventually("running answer", || async {
        let status = fleet.status();
        let nodes = status["nodes"].as_array().expect("nodes").clone();
        let node = nodes
            .iter()
            .find(|node| node["in_flight"].as_u64() > Some(0))?;
        node["vm"].as_str().map(str::to_owned)
    })
    .await;
    let target = fleet.targets.iter_mut().find(|row| row.sidecar.vm == busy);
    target.expect("the busy sidecar").sidecar.process.kill();
    let answer = call.await.expect("the call ends");
    assert!(answer.is_clean, "the answer was cut off");
    assert_eq!(answer.lines().len(), 401);
}

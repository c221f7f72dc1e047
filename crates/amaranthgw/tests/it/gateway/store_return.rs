//! The store is away for a moment and comes back from an older copy of itself.

use std::time::Duration;

use amaranthgw::gateway::GatewayProcess;
use amaranthgw_standins::site::{StoreFault, TargetBehaviour};
use http::StatusCode;
use serde_json::json;
use tokio::time::sleep;

use super::env::{TestSite, call, config, is_ready, request};
use crate::env::eventually;

/// Time for which the store is away.
const AWAY_TIME: Duration = Duration::from_secs(1);
/// Time within which what operators write takes effect.
const CONFIG_BOUND: Duration = Duration::from_secs(2);
/// Time from the return until the gateways are in touch again.
const TOUCH_BOUND: Duration = Duration::from_secs(3);
/// Time from the return until all gateways have read the store.
const READ_BOUND: Duration = Duration::from_millis(1_500);
/// Writes that the copy lacks.
const LOST_WRITES: u64 = 300;

/// Lets the store go away and come back from a copy that lacks what `lost` and others write.
async fn return_from_copy(site: &TestSite, lost: impl FnOnce()) {
    let copy = site.store.copy();
    for number in 0..LOST_WRITES {
        site.store.put("other/key", &json!(number));
    }
    lost();
    // The gateways learn of it.
    sleep(CONFIG_BOUND).await;
    site.store.set_fault(StoreFault::Silent);
    sleep(AWAY_TIME).await;
    site.store.return_from(copy);
    site.store.set_fault(StoreFault::None);
}

async fn start_gateways(site: &TestSite) -> Vec<GatewayProcess> {
    let mut gateways = vec![site.start_gateway().await];
    for number in 2..=4 {
        let seeds = [gateways[0].node_address()];
        let vm = json!({ "vm": format!("gateway-{number}") });
        gateways.push(site.start_process(&seeds, &vm));
    }
    for gateway in &gateways {
        let ready = || async { is_ready(gateway.ready_address()).await.then_some(()) };
        eventually("readiness", ready).await;
    }
    gateways
}

/// Asserts that each of `gateways` answers with `status`.
async fn assert_answers(gateways: &[GatewayProcess], status: StatusCode) {
    for gateway in gateways {
        let answer = call(gateway.address(), request("GET", "/look/", "")).await;
        assert_eq!(answer.status, status, "{}", answer.text());
    }
}

// Guards against EVAC: revisions that went back made gateways drop each later change.
#[tokio::test]
async fn follow_operators_evacuated_after_return() {
    let mut site = TestSite::with_routes();
    site.add_target("i-1", "desk", TargetBehaviour::Answer(200));
    let gateways = start_gateways(&site).await;
    // A change of high revision, which is known to all gateways.
    let other = || site.store.put("op/evacuate/domain-b", &json!({}));
    return_from_copy(&site, other).await;
    sleep(TOUCH_BOUND).await;
    assert_answers(&gateways, StatusCode::OK).await;
    site.store.put("op/evacuate/domain-a", &json!({}));
    sleep(CONFIG_BOUND).await;
    assert_answers(&gateways, StatusCode::SERVICE_UNAVAILABLE).await;
    site.store.remove("op/evacuate/domain-a");
    sleep(CONFIG_BOUND).await;
    assert_answers(&gateways, StatusCode::OK).await;
}

// Guards against EVAC: what operators wrote shortly before goes on until they write it again.
#[tokio::test]
async fn follow_operators_evacuation_lost() {
    let mut site = TestSite::with_routes();
    site.add_target("i-1", "desk", TargetBehaviour::Answer(200));
    let gateways = start_gateways(&site).await;
    let evacuate = || site.store.put("op/evacuate/domain-a", &json!({}));
    return_from_copy(&site, evacuate).await;
    for _ in 0..6 {
        sleep(Duration::from_millis(500)).await;
        assert_answers(&gateways, StatusCode::SERVICE_UNAVAILABLE).await;
    }
    evacuate();
    sleep(CONFIG_BOUND).await;
    site.store.remove("op/evacuate/domain-a");
    sleep(CONFIG_BOUND).await;
    assert_answers(&gateways, StatusCode::OK).await;
}

// Guards against EVAC: a gateway that starts after the return and reads only the copy learns of held evacuations
// from its peers.
#[tokio::test]
async fn follow_peers_evacuation_lost_before_start() {
    let mut site = TestSite::with_routes();
    let target = site.add_target("i-1", "desk", TargetBehaviour::Answer(200));
    let gateways = start_gateways(&site).await;
    let evacuate = || site.store.put("op/evacuate/domain-a", &json!({}));
    return_from_copy(&site, evacuate).await;
    // The others have read the copy, too.
    sleep(READ_BOUND).await;
    let seeds = [gateways[0].node_address()];
    let late = site.start_process(&seeds, &json!({ "vm": "gateway-5" }));
    let ready = || async { is_ready(late.ready_address()).await.then_some(()) };
    eventually("readiness", ready).await;
    sleep(TOUCH_BOUND).await;
    let before = target.arrivals();
    let late = [late];
    for _ in 0..4 {
        sleep(Duration::from_millis(500)).await;
        assert_answers(&late, StatusCode::SERVICE_UNAVAILABLE).await;
    }
    assert_eq!(target.arrivals(), before);
    evacuate();
    sleep(CONFIG_BOUND).await;
    site.store.remove("op/evacuate/domain-a");
    sleep(CONFIG_BOUND).await;
    assert_answers(&late, StatusCode::OK).await;
}

// A configuration never goes back, and the next one takes effect.
#[tokio::test]
async fn follow_operators_config_lost() {
    let mut site = TestSite::with_routes();
    site.add_target("i-1", "desk", TargetBehaviour::Answer(200));
    site.add_target("i-2", "desk-2", TargetBehaviour::Answer(201));
    let gateways = start_gateways(&site).await;
    return_from_copy(&site, || site.store.put("op/config", &config(9, "desk-2"))).await;
    sleep(TOUCH_BOUND).await;
    assert_answers(&gateways, StatusCode::CREATED).await;
    site.store.put("op/config", &config(12, "desk"));
    sleep(CONFIG_BOUND).await;
    assert_answers(&gateways, StatusCode::OK).await;
}

// Guards against DRAIN and lost room: the registry is followed again after the return.
#[tokio::test]
async fn follow_registry_after_return() {
    let mut site = TestSite::with_routes();
    let first = site.add_target("i-1", "desk", TargetBehaviour::Answer(200));
    let gateways = start_gateways(&site).await;
    return_from_copy(&site, || ()).await;
    sleep(TOUCH_BOUND).await;
    let second = site.add_target("i-2", "desk", TargetBehaviour::Answer(201));
    site.store.remove("servers/i-1");
    sleep(CONFIG_BOUND).await;
    let before = first.arrivals();
    assert_answers(&gateways, StatusCode::CREATED).await;
    assert_eq!(first.arrivals(), before);
    assert!(second.arrivals() >= gateways.len());
}

// A target that registered shortly before the return stays in use until it writes its entry again.
#[tokio::test]
async fn follow_registry_entry_lost() {
    let mut site = TestSite::with_routes();
    let target = site.add_target("i-1", "desk", TargetBehaviour::Answer(200));
    let gateways = start_gateways(&site).await;
    let entry = site.entry("i-1");
    site.store.remove("servers/i-1");
    return_from_copy(&site, || site.store.put("servers/i-1", &entry)).await;
    sleep(Duration::from_millis(1_200)).await;
    assert_answers(&gateways, StatusCode::OK).await;
    site.store.put("servers/i-1", &entry);
    sleep(TOUCH_BOUND).await;
    assert_answers(&gateways, StatusCode::OK).await;
    assert!(target.arrivals() >= gateways.len());
}

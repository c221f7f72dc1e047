//! Targets that leave, or want no requests for a while: none gets any once the gateway can know it.

use std::time::Duration;

use amaranthgw_standins::site::{ListingFault, StoreFault, TargetBehaviour};
use http::StatusCode;
use serde_json::json;
use tokio::time::{Instant, sleep, sleep_until};
use yare::parameterized;

use super::env::{TestSite, ample_retries, call, is_ready, request};
use crate::env::eventually;

/// Time after an outage of the registry from which targets that left get no requests.
const TOUCH_TIME: Duration = Duration::from_secs(3);
/// Header of the answers of a target that is leaving.
const LEAVING: &[(&str, &str)] = &[("server-leaving", "1")];
/// Prefix of the registry entries.
const REGISTRY: &str = "servers/";
/// Time within which a draining target gets its last request.
const DRAIN_TIME: Duration = Duration::from_secs(2);

// Guards against DRAIN: a target that left while the gateway could not list the registry got
// requests for up to 5 s after the end of the outage.
#[parameterized(
    busy = { StoreFault::Busy },
    silent = { StoreFault::Silent },
)]
#[test_macro(tokio::test)]
async fn follow_registry_left_in_outage(fault: StoreFault) {
    let mut site = TestSite::with_routes();
    let left = site.add_target("i-1", "desk", TargetBehaviour::Answer(200));
    site.add_target("i-2", "desk", TargetBehaviour::Answer(200));
    let gateway = site.start_gateway().await;
    site.store.set_fault(fault);
    sleep(Duration::from_millis(1_500)).await;
    site.store.remove("servers/i-1");
    sleep(Duration::from_millis(500)).await;
    site.store.set_fault(StoreFault::None);
    sleep_until(Instant::now() + TOUCH_TIME).await;
    let before = left.arrivals();
    let until = Instant::now() + DRAIN_TIME;
    while Instant::now() < until {
        let answer = call(gateway.address(), request("GET", "/look/", "")).await;
        assert_eq!(answer.status, StatusCode::OK);
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(left.arrivals(), before);
}

// Guards against DRAIN: a gateway that the store turned away went on using targets that its peers
// knew to have left.
#[tokio::test]
async fn follow_peers_target_left_while_store_rejects() {
    let mut site = TestSite::with_routes();
    let left = site.add_target("i-1", "desk", TargetBehaviour::Answer(200));
    site.add_target("i-2", "desk", TargetBehaviour::Answer(200));
    let peer = site.start_gateway().await;
    // The second gateway's store holds the same entries.
    let other = TestSite::with_routes();
    for key in ["servers/i-1", "servers/i-2"] {
        let entry = site.store.value(key).expect("entry");
        other.store.put_bytes(key, &entry);
    }
    let gateway = other.start_without_waiting(&[peer.node_address()]);
    let ready = || async { is_ready(gateway.ready_address()).await.then_some(()) };
    eventually("readiness", ready).await;
    other.store.set_fault(StoreFault::Busy);
    site.store.remove("servers/i-1");
    sleep(TOUCH_TIME).await;
    let before = left.arrivals();
    for _ in 0..50 {
        let answer = call(gateway.address(), request("GET", "/look/", "")).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_eq!(left.arrivals(), before);
}

// Guards against DRAIN: failed listings delayed the next one beyond the bound.
#[tokio::test]
async fn follow_registry_draining_listings_failed() {
    let mut site = TestSite::with_routes();
    let draining = site.add_target("i-1", "desk", TargetBehaviour::Answer(200));
    site.add_target("i-2", "desk", TargetBehaviour::Answer(200));
    let gateway = site.start_gateway().await;
    let listed = site.store.listings(REGISTRY);
    let again = || async { (site.store.listings(REGISTRY) > listed).then_some(()) };
    eventually("a listing", again).await;
    let faults = [ListingFault::Unanswered, ListingFault::Busy];
    site.store.fail_listings(REGISTRY, faults);
    let mut entry = site.entry("i-1");
    entry["state"] = "draining".into();
    site.store.put("servers/i-1", &entry);
    let drained_at = Instant::now() + DRAIN_TIME;
    let until = drained_at + DRAIN_TIME;
    while Instant::now() < until {
        let answer = call(gateway.address(), request("GET", "/look/", "")).await;
        assert_eq!(answer.status, StatusCode::OK);
        sleep(Duration::from_millis(5)).await;
    }
    let last = draining.runs().into_iter().map(|run| run.arrived_at).max();
    assert!(last.is_none_or(|last| last < drained_at));
}

// Guards against DRAIN: answers say that a target is leaving before, or without, its registry entry.
#[parameterized(
    answered = { TargetBehaviour::Answer(200) },
    failed = { TargetBehaviour::Answer(500) },
    not_run = { TargetBehaviour::Refuse },
)]
#[test_macro(tokio::test)]
async fn run_call_leaving_target(behaviour: TargetBehaviour) {
    let mut site = TestSite::with_routes();
    let leaving = site.add_target("i-1", "desk", behaviour);
    let gateway = site.start_gateway().await;
    leaving.set_extra_headers(LEAVING);
    let answer = call(gateway.address(), request("POST", "/pay/", "deposit")).await;
    assert!(answer.header("server-leaving").is_none());
    site.add_target("i-2", "desk", TargetBehaviour::Answer(200));
    let other = || async {
        let answer = call(gateway.address(), request("GET", "/look/", "")).await;
        (answer.status == StatusCode::OK).then_some(())
    };
    eventually("answer of the other target", other).await;
    assert_eq!(leaving.arrivals(), 1);
}

#[tokio::test]
async fn run_call_leaving_targets_only() {
    let mut site = TestSite::with_routes();
    let leaving = site.add_target("i-1", "desk", TargetBehaviour::Answer(200));
    let gateway = site.start_gateway().await;
    leaving.set_extra_headers(LEAVING);
    call(gateway.address(), request("POST", "/pay/", "deposit")).await;
    for _ in 0..5 {
        let answer = call(gateway.address(), request("POST", "/pay/", "deposit")).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert!(answer.header("retry-after").is_some());
    }
    assert_eq!(leaving.arrivals(), 1);
}

#[tokio::test]
async fn stream_response_leaving_target_not_resumed_there() {
    let mut site = TestSite::with_routes();
    let stream = |breaks_in| TargetBehaviour::Stream {
        events: 4,
        gap: Duration::from_millis(5),
        breaks_in,
    };
    let leaving = site.add_target("i-1", "draft", stream(2));
    leaving.set_extra_headers(LEAVING);
    let gateway = site.start_gateway().await;
    let broken = call(gateway.address(), request("POST", "/draft/", "")).await;
    assert!(!broken.is_whole);
    let other = site.add_target("i-2", "draft", stream(0));
    let whole = || async {
        let answer = call(gateway.address(), request("POST", "/draft/", "")).await;
        (answer.is_whole && answer.status == StatusCode::OK).then_some(())
    };
    eventually("whole stream", whole).await;
    assert_eq!(leaving.arrivals(), 1);
    assert!(!other.runs().is_empty());
}

// A target that starts again, or stays after all, writes its entry anew.
#[tokio::test]
async fn run_call_leaving_target_registered_anew() {
    let mut site = TestSite::with_routes();
    let target = site.add_target("i-1", "desk", TargetBehaviour::Answer(200));
    let gateway = site.start_gateway().await;
    target.set_extra_headers(LEAVING);
    call(gateway.address(), request("POST", "/pay/", "deposit")).await;
    target.set_extra_headers(&[]);
    sleep(DRAIN_TIME).await;
    assert_eq!(target.arrivals(), 1);
    site.store.put("servers/i-1", &site.entry("i-1"));
    let answered = || async {
        let answer = call(gateway.address(), request("GET", "/look/", "")).await;
        (answer.status == StatusCode::OK).then_some(())
    };
    eventually("answer", answered).await;
}

// Guards against DRAIN: a heartbeat that the store executed late brought back a target that had said that it
// leaves, at gateways that had got that answer and at others.
#[parameterized(
    older_heartbeat = { 2 },
    last_heartbeat = { 4 },
)]
#[test_macro(tokio::test)]
async fn run_call_leaving_target_late_heartbeat(seq: u64) {
    let mut site = TestSite::with_routes();
    let target = site.add_target("i-1", "desk", TargetBehaviour::Answer(200));
    let mut entry = site.entry("i-1");
    entry["born"] = 5.into();
    entry["seq"] = 3.into();
    site.store.put("servers/i-1", &entry);
    let first = site.start_gateway().await;
    let peer = site.start_process(&[first.node_address()], &json!({ "vm": "gateway-2" }));
    let ready = || async { is_ready(peer.ready_address()).await.then_some(()) };
    eventually("readiness", ready).await;
    target.set_extra_headers(LEAVING);
    call(first.address(), request("GET", "/look/", "")).await;
    site.store.remove("servers/i-1");
    sleep(DRAIN_TIME).await;
    target.set_extra_headers(&[]);
    let before = target.arrivals();
    entry["seq"] = seq.into();
    site.store.put("servers/i-1", &entry);
    let until = Instant::now() + TOUCH_TIME;
    while Instant::now() < until {
        for gateway in [&first, &peer] {
            call(gateway.address(), request("GET", "/look/", "")).await;
        }
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(target.arrivals(), before);
    entry["born"] = 6.into();
    entry["seq"] = 1.into();
    site.store.put("servers/i-1", &entry);
    let restarted = || async { (target.arrivals() > before).then_some(()) };
    let calls = async {
        loop {
            call(first.address(), request("GET", "/look/", "")).await;
            sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::select! {
        () = eventually("a request after the restart", restarted) => {}
        () = calls => {}
    }
}

// Guards against DRAIN: a heartbeat of its earlier start, which the store executed late, made a draining target
// ready again.
#[tokio::test]
async fn run_call_draining_target_heartbeat_of_earlier_start() {
    let mut site = TestSite::with_routes();
    let draining = site.add_target("i-1", "desk", TargetBehaviour::Answer(200));
    site.add_target("i-2", "desk", TargetBehaviour::Answer(200));
    let mut entry = site.entry("i-1");
    entry["born"] = 5.into();
    entry["seq"] = 3.into();
    site.store.put("servers/i-1", &entry);
    let gateway = site.start_gateway().await;
    let late = {
        let mut late = entry.clone();
        late["seq"] = 4.into();
        late
    };
    entry["born"] = 6.into();
    entry["seq"] = 1.into();
    entry["state"] = "draining".into();
    site.store.put("servers/i-1", &entry);
    sleep(DRAIN_TIME).await;
    let before = draining.arrivals();
    site.store.put("servers/i-1", &late);
    let until = Instant::now() + TOUCH_TIME;
    while Instant::now() < until {
        let answer = call(gateway.address(), request("POST", "/pay/", "deposit")).await;
        assert_eq!(answer.status, StatusCode::OK);
        sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(draining.arrivals(), before);
}

// Guards against DRAIN: a gateway that started after the late heartbeat had been executed used the target, although its
// peer knew that it drains.
#[tokio::test]
async fn follow_peers_heartbeat_of_earlier_start() {
    let mut site = TestSite::with_routes();
    let draining = site.add_target("i-1", "desk", TargetBehaviour::Answer(200));
    site.add_target("i-2", "desk", TargetBehaviour::Answer(200));
    let mut entry = site.entry("i-1");
    entry["born"] = 5.into();
    site.store.put("servers/i-1", &entry);
    let late = entry.clone();
    let first = site.start_gateway().await;
    entry["born"] = 6.into();
    entry["state"] = "draining".into();
    site.store.put("servers/i-1", &entry);
    sleep(DRAIN_TIME).await;
    site.store.put("servers/i-1", &late);
    sleep(DRAIN_TIME).await;
    let second = site.start_process(&[first.node_address()], &json!({ "vm": "gateway-2" }));
    let ready = || async { is_ready(second.ready_address()).await.then_some(()) };
    eventually("readiness", ready).await;
    sleep(TOUCH_TIME).await;
    let before = draining.arrivals();
    for _ in 0..50 {
        let answer = call(second.address(), request("GET", "/look/", "")).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_eq!(draining.arrivals(), before);
}

// Guards against BUDGET: targets that asked for a pause got requests during it.
#[tokio::test]
async fn run_call_held_target() {
    let mut site = TestSite::with_routes();
    let held = site.add_target("i-1", "desk", TargetBehaviour::Refuse);
    let gateway = site.start_gateway().await;
    held.set_extra_headers(&[("retry-after", "2.5")]);
    let refused_at = Instant::now();
    call(gateway.address(), request("POST", "/pay/", "deposit")).await;
    held.set_behaviour(TargetBehaviour::Answer(200));
    assert_eq!(held.arrivals(), 1);
    let pause = Duration::from_millis(2_500);
    // A request waits up to 250 ms for a target.
    while refused_at.elapsed() + Duration::from_millis(400) < pause {
        let sent_at = Instant::now();
        let answer = call(gateway.address(), request("GET", "/look/", "")).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(held.arrivals(), 1);
        // The caller learns at once when the target takes requests again.
        let left = pause.saturating_sub(refused_at.elapsed());
        if left > Duration::from_millis(1_500) {
            assert!(sent_at.elapsed() < Duration::from_millis(200));
            let after = answer.header("retry-after").expect("header");
            let after = Duration::from_secs_f64(after.parse().expect("seconds"));
            assert!(after >= left, "{after:?}, {left:?}");
        }
        sleep(Duration::from_millis(20)).await;
    }
    let answered = || async {
        let answer = call(gateway.address(), request("GET", "/look/", "")).await;
        (answer.status == StatusCode::OK).then_some(())
    };
    eventually("answer after the pause", answered).await;
}

#[tokio::test]
async fn run_call_held_target_others_used() {
    let mut site = TestSite::with_routes();
    let held = site.add_target("i-1", "desk", TargetBehaviour::Refuse);
    held.set_extra_headers(&[("retry-after", "60")]);
    site.add_target("i-2", "desk", TargetBehaviour::Answer(200));
    let gateway = site.start_gateway_with(&ample_retries()).await;
    for _ in 0..40 {
        let answer = call(gateway.address(), request("POST", "/pay/", "deposit")).await;
        assert_eq!(answer.status, StatusCode::OK);
        sleep(Duration::from_millis(50)).await;
    }
    assert!(held.arrivals() <= 1, "{}", held.arrivals());
}

// Guards against BUDGET: a target whose registry entry lapsed and came back got requests within the pause
// that it had asked for.
#[tokio::test]
async fn run_call_held_target_listed_again() {
    let mut site = TestSite::with_routes();
    let held = site.add_target("i-1", "desk", TargetBehaviour::Refuse);
    let gateway = site.start_gateway().await;
    held.set_extra_headers(&[("retry-after", "8")]);
    let refused_at = Instant::now();
    call(gateway.address(), request("POST", "/pay/", "deposit")).await;
    held.set_behaviour(TargetBehaviour::Answer(200));
    let entry = site.entry("i-1");
    site.store.remove("servers/i-1");
    let is_gone = || async { (!is_ready(gateway.ready_address()).await).then_some(()) };
    eventually("a registry without the target", is_gone).await;
    site.store.put("servers/i-1", &entry);
    while refused_at.elapsed() < Duration::from_secs(7) {
        call(gateway.address(), request("GET", "/look/", "")).await;
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(held.arrivals(), 1);
    let answered = || async {
        let answer = call(gateway.address(), request("GET", "/look/", "")).await;
        (answer.status == StatusCode::OK).then_some(())
    };
    eventually("answer after the pause", answered).await;
}

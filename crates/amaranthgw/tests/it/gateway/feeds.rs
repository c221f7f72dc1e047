//! Feeds of a gateway: configuration, failure domains taken out of service, targets and peers.

use std::time::Duration;

use amaranthgw_net::{DialSettings, PooledClient};
use amaranthgw_standins::site::{StoreFault, TargetBehaviour};
use amaranthgw_standins::{ProxySettings, ProxyStandin, Standin};
use http::{Method, StatusCode};
use serde_json::json;
use yare::parameterized;

use super::env::{ANY_PORT, TestSite, call, config, is_ready, request};
use crate::env::eventually;

/// Time within which a stored configuration takes effect.
const CONFIG_BOUND: Duration = Duration::from_secs(2);
/// Time after a fault of its connections from which a gateway has to keep all bounds.
const TOUCH_BOUND: Duration = Duration::from_secs(3);

#[tokio::test]
async fn follow_operators_config_in_effect() {
    let mut site = TestSite::with_routes();
    site.add_target("i-1", "desk", TargetBehaviour::Answer(200));
    site.add_target("i-2", "desk-2", TargetBehaviour::Answer(201));
    let gateway = site.start_gateway().await;
    site.store.put("op/config", &config(12, "desk-2"));
    let moved = || async {
        let answer = call(gateway.address(), request("GET", "/look/", "")).await;
        (answer.status == StatusCode::CREATED).then_some(())
    };
    let in_effect = tokio::time::timeout(CONFIG_BOUND, eventually("new route", moved));
    in_effect.await.expect("takes effect within its bound");
    // An older version must be ignored.
    site.store.put("op/config", &config(9, "desk"));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let answer = call(gateway.address(), request("GET", "/look/", "")).await;
    assert_eq!(answer.status, StatusCode::CREATED);
}

// Guards against a change that stays unknown until the watch's wait is over: all open connections to the
// store go silent just after the watches began, and new ones work.
#[parameterized(
    alone = { 1 },
    several = { 4 },
)]
#[test_macro(tokio::test)]
async fn follow_operators_connections_silent(gateway_count: usize) {
    let mut site = TestSite::with_routes();
    let removed = site.add_target("i-1", "desk", TargetBehaviour::Answer(200));
    site.add_target("i-2", "desk-2", TargetBehaviour::Answer(201));
    let proxy = ProxyStandin::new(ProxySettings::new().with_upstream(Some(site.store_address)));
    let proxy = proxy.start(ANY_PORT).expect("proxy starts");
    let control = proxy.control_address().expect("control port");
    let control = PooledClient::new(control, DialSettings::new(Duration::from_secs(1)));
    site.store_address = proxy.address();
    let mut gateways = vec![site.start_gateway().await];
    for number in 1..gateway_count {
        let seeds = [gateways[0].node_address()];
        let vm = json!({ "vm": format!("gateway-{}", number + 1) });
        gateways.push(site.start_process(&seeds, &vm));
    }
    for gateway in &gateways {
        let ready = || async { is_ready(gateway.ready_address()).await.then_some(()) };
        eventually("readiness", ready).await;
    }
    // All watches begin anew.
    site.store.put("op/config", &config(9, "desk"));
    tokio::time::sleep(Duration::from_millis(100)).await;
    let faults = json!({ "mode": "silence" }).to_string().into();
    let silenced = control.call(Method::POST, "/admin/faults", faults, CONFIG_BOUND);
    silenced.await.expect("the proxy answers");
    let silent_at = tokio::time::Instant::now();
    site.store.put("op/config", &config(12, "desk-2"));
    tokio::time::sleep_until(silent_at + TOUCH_BOUND).await;
    let arrivals = removed.arrivals();
    for gateway in &gateways {
        let answer = call(gateway.address(), request("GET", "/look/", "")).await;
        assert_eq!(answer.status, StatusCode::CREATED);
    }
    assert_eq!(removed.arrivals(), arrivals);
}

#[tokio::test]
async fn follow_operators_compacted() {
    let mut site = TestSite::with_routes();
    site.add_target("i-2", "desk-2", TargetBehaviour::Answer(201));
    let gateway = site.start_gateway().await;
    site.store.put("op/config", &config(8, "desk"));
    site.store.put("op/config", &config(12, "desk-2"));
    site.store.compact();
    let moved = || async {
        let answer = call(gateway.address(), request("GET", "/look/", "")).await;
        (answer.status == StatusCode::CREATED).then_some(())
    };
    eventually("new route", moved).await;
}

#[tokio::test]
async fn follow_operators_evacuated() {
    let mut site = TestSite::with_routes();
    let target = site.add_target("i-1", "desk", TargetBehaviour::Answer(200));
    let gateway = site.start_gateway().await;
    site.store.put("op/evacuate/domain-a", &json!({}));
    let refused = || async {
        let answer = call(gateway.address(), request("GET", "/look/", "")).await;
        (answer.status == StatusCode::SERVICE_UNAVAILABLE).then_some(())
    };
    eventually("refusal", refused).await;
    let before = target.arrivals();
    call(gateway.address(), request("GET", "/look/", "")).await;
    assert_eq!(target.arrivals(), before);
    site.store.remove("op/evacuate/domain-a");
    let restored = || async {
        let answer = call(gateway.address(), request("GET", "/look/", "")).await;
        (answer.status == StatusCode::OK).then_some(())
    };
    eventually("answer", restored).await;
}

#[tokio::test]
async fn follow_registry_unusable_entries() {
    let mut site = TestSite::with_routes();
    site.store.put_bytes("servers/noise", b"\xff\xfe");
    site.store
        .put("servers/odd", &json!({ "service": 5, "state": "ready" }));
    site.store.put(
        "servers/state",
        &json!({
            "service": "desk", "address": "127.0.0.1:9", "zone": "domain-a", "slots": 1,
            "state": "sleeping",
        }),
    );
    let deep = format!("{}1{}", "[".repeat(50_000), "]".repeat(50_000));
    site.store.put_bytes("servers/deep", deep.as_bytes());
    for (id, field, value) in [
        ("large", "slots", json!(1e300)),
        ("port", "address", json!("127.0.0.1:99999")),
        ("cold", "cold_left_ms", json!(1e300)),
    ] {
        let mut entry = json!({
            "service": "desk", "address": "127.0.0.1:9", "zone": "domain-a", "slots": 1,
            "state": "ready",
        });
        entry[field] = value;
        site.store.put(&format!("servers/{id}"), &entry);
    }
    site.add_target("i-1", "desk", TargetBehaviour::Answer(200));
    let gateway = site.start_gateway().await;
    for _ in 0..5 {
        let answer = call(gateway.address(), request("POST", "/pay/", "deposit")).await;
        assert_eq!(answer.status, StatusCode::OK);
    }
}

// Guards against a registry that is never read: a key that isn't valid in a path ended each listing of
// several pages.
#[parameterized(
    space = { "servers/a b" },
    delimiter = { "servers/a&b=c#d" },
    non_ascii = { "servers/\u{e4}" },
    control = { "servers/\r\nx" },
)]
#[test_macro(tokio::test)]
async fn follow_registry_odd_key_ends_page(key: &str) {
    let mut site = TestSite::with_routes();
    site.store.put_bytes(key, b"{}");
    site.store.set_page_size(1);
    let targets = ["1", "zz"].map(|id| site.add_target(id, "desk", TargetBehaviour::Answer(200)));
    let gateway = site.start_gateway().await;
    let served = || async {
        call(gateway.address(), request("GET", "/look/", "")).await;
        let is_used = targets.iter().all(|target| target.arrivals() > 0);
        is_used.then_some(())
    };
    eventually("requests at both targets", served).await;
}

#[tokio::test]
async fn follow_registry_outage() {
    let mut site = TestSite::with_routes();
    site.add_target("i-1", "desk", TargetBehaviour::Answer(200));
    let gateway = site.start_gateway().await;
    for fault in [StoreFault::Busy, StoreFault::Silent] {
        site.store.set_fault(fault);
        tokio::time::sleep(Duration::from_millis(1500)).await;
        let answer = call(gateway.address(), request("POST", "/pay/", "deposit")).await;
        assert_eq!(answer.status, StatusCode::OK);
        assert!(is_ready(gateway.ready_address()).await);
    }
}

#[tokio::test]
async fn follow_registry_draining() {
    let mut site = TestSite::with_routes();
    let draining = site.add_target("i-1", "desk", TargetBehaviour::Answer(200));
    let gateway = site.start_gateway().await;
    let mut entry = serde_json::from_slice::<serde_json::Value>(
        &site.store.value("servers/i-1").expect("entry"),
    )
    .expect("json");
    entry["state"] = "draining".into();
    site.store.put("servers/i-1", &entry);
    let refused = || async {
        let answer = call(gateway.address(), request("GET", "/look/", "")).await;
        (answer.status == StatusCode::SERVICE_UNAVAILABLE).then_some(())
    };
    eventually("refusal", refused).await;
    let before = draining.arrivals();
    call(gateway.address(), request("GET", "/look/", "")).await;
    assert_eq!(draining.arrivals(), before);
}

#[tokio::test]
async fn follow_peers_config_while_store_rejects() {
    let mut site = TestSite::with_routes();
    site.add_target("i-2", "desk-2", TargetBehaviour::Answer(201));
    let first = site.start_gateway().await;
    // The store of the second gateway has the targets, but not the newest configuration.
    let mut stale = TestSite::with_routes();
    stale.add_target("i-2", "desk-2", TargetBehaviour::Answer(201));
    let second = stale.start_without_waiting(&[first.node_address()]);
    let ready = || async { is_ready(second.ready_address()).await.then_some(()) };
    eventually("readiness", ready).await;
    stale.store.set_fault(StoreFault::Busy);
    site.store.put("op/config", &config(12, "desk-2"));
    let moved = || async {
        let answer = call(second.address(), request("GET", "/look/", "")).await;
        (answer.status == StatusCode::CREATED).then_some(())
    };
    eventually("route of the peer", moved).await;
}

#[tokio::test]
async fn follow_roster_registers() {
    let site = TestSite::with_routes();
    let _gateway = site.start_without_waiting(&[]);
    let key = "amaranthgw/gateways/gateway-1";
    let registered = || async { site.store.value(key) };
    eventually("registration", registered).await;
}

#[tokio::test]
async fn follow_roster_store_returns() {
    let site = TestSite::with_routes();
    site.store.set_fault(StoreFault::Busy);
    let _gateway = site.start_without_waiting(&[]);
    tokio::time::sleep(Duration::from_millis(300)).await;
    site.store.set_fault(StoreFault::None);
    let key = "amaranthgw/gateways/gateway-1";
    let registered = || async { site.store.value(key) };
    eventually("registration", registered).await;
}

// Six gateways that each read on their own would read 27 times in five seconds.
#[tokio::test]
async fn follow_registry_read_by_one_for_all() {
    let mut site = TestSite::with_routes();
    site.add_target("i-1", "desk", TargetBehaviour::Answer(200));
    let first = site.start_process(&[], &json!({ "vm": "gateway-0" }));
    let mut gateways = vec![first];
    for number in 1..6 {
        let seeds = [gateways[0].node_address()];
        let vm = json!({ "vm": format!("gateway-{number}") });
        gateways.push(site.start_process(&seeds, &vm));
    }
    for gateway in &gateways {
        let ready = || async { is_ready(gateway.ready_address()).await.then_some(()) };
        eventually("readiness", ready).await;
    }
    // The gateways learn of each other.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let before = site.store.listings("servers/");
    tokio::time::sleep(Duration::from_secs(5)).await;
    let read = site.store.listings("servers/") - before;
    assert!(read < 18, "{read} reads");
    assert!(read >= 4, "{read} reads");
    let mut entry = site.entry("i-1");
    entry["state"] = "draining".into();
    site.store.put("servers/i-1", &entry);
    tokio::time::sleep(Duration::from_secs(2)).await;
    for gateway in &gateways {
        let answer = call(gateway.address(), request("GET", "/look/", "")).await;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    }
}

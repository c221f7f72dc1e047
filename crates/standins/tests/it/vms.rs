//! Tests of the VM list.

use std::time::Duration;

use amaranthgw_core::MilliSpan;
use amaranthgw_standins::{VmListSettings, VmListStandin};
use serde_json::{Value, json};

use crate::client;

fn listed(vm: &str, state: &str) -> Value {
    json!({
        "vm": vm, "domain": "tartu-a", "region": "ee-south", "role": "sidecar",
        "service": "draft-llm", "target": "draft-1", "address": "10.0.0.1:7001", "state": state,
    })
}

fn entry() -> Value {
    json!({
        "vm": "vm-9", "domain": "elva-c", "region": "ee-south", "role": "entry",
        "address": "10.0.0.9:7001", "state": "live",
    })
}

#[tokio::test]
async fn list_lags_behind() {
    let lag = Duration::from_millis(150);
    let settings = VmListSettings::new().with_lag(MilliSpan::from_duration(lag));
    let (_running, vms) = client::start(&VmListStandin::new(settings));
    assert_eq!(vms.json("/v1/vms").await, json!({ "vms": [] }));
    let replaced_at = tokio::time::Instant::now();
    let list = json!({ "vms": [listed("vm-1", "live"), listed("vm-2", "leaving"), entry()] });
    let reply = vms
        .send("PUT", "/admin/vms", list.to_string())
        .await
        .expect("reply");
    assert_eq!(reply.status, 200);
    while vms.json("/v1/vms").await != list {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(replaced_at.elapsed() >= lag);
}

#[tokio::test]
async fn list_without_lag() {
    let (_running, vms) = client::start(&VmListStandin::new(VmListSettings::new()));
    vms.control("/admin/vms", json!({ "lag_ms": 0 })).await;
    let list = json!({ "vms": [entry()] });
    vms.send("PUT", "/admin/vms", list.to_string())
        .await
        .expect("reply");
    assert_eq!(vms.json("/v1/vms").await, list);
    let reply = vms
        .send("PUT", "/admin/vms", r#"{"vms":[{"vm":"x"}]}"#)
        .await;
    assert_eq!(reply.expect("reply").status, 400);
}

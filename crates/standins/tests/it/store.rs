//! Tests of the key-value service.

use std::time::Duration;

use amaranthgw_core::MilliSpan;
use amaranthgw_standins::{RunningStandin, StoreSettings, StoreStandin};
use serde_json::json;
use tokio::time::Instant;

use crate::client::{self, TestClient};

fn start() -> (RunningStandin, TestClient) {
    client::start(&StoreStandin::new(StoreSettings::new()))
}

async fn put(store: TestClient, path: &str, body: &'static str) -> (u16, u64) {
    let reply = store.send("PUT", path, body).await.expect("reply");
    (
        reply.status,
        reply.json()["revision"].as_u64().expect("revision"),
    )
}

async fn grant(store: TestClient, ttl_ms: u64) -> (String, u64) {
    let reply = store.post("/v1/leases", json!({ "ttl_ms": ttl_ms })).await;
    let body = reply.expect("reply").json();
    let lease = body["lease"].as_str().expect("lease");
    (lease.to_owned(), body["fencing"].as_u64().expect("fencing"))
}

#[tokio::test]
async fn put_compares_revisions() {
    let (_running, store) = start();
    assert_eq!(
        store.get("/v1/values/a/b").await.expect("reply").status,
        404
    );
    assert_eq!(put(store, "/v1/values/a/b?expect=7", "x").await, (409, 0));
    assert_eq!(put(store, "/v1/values/a/b?expect=0", "x").await, (200, 1));
    assert_eq!(put(store, "/v1/values/c?expect=0", "z").await, (200, 2));
    assert_eq!(put(store, "/v1/values/a/b?expect=0", "y").await, (409, 1));
    assert_eq!(put(store, "/v1/values/a/b?expect=1", "y").await, (200, 3));
    let reply = store.get("/v1/values/a/b").await.expect("reply");
    assert_eq!(reply.text(), "y");
    assert_eq!(reply.headers["x-revision"], "3");
    let reply = store
        .send("DELETE", "/v1/values/a/b?expect=1", "")
        .await
        .expect("reply");
    assert_eq!(
        (reply.status, reply.json()),
        (409, json!({ "revision": 3 }))
    );
    let reply = store
        .send("DELETE", "/v1/values/a/b?expect=3", "")
        .await
        .expect("reply");
    assert_eq!(
        (reply.status, reply.json()),
        (200, json!({ "revision": 4 }))
    );
    assert_eq!(
        store.get("/v1/values/a/b").await.expect("reply").status,
        404
    );
    let counts = json!({ "reads": 3, "writes": 7, "watches": 0 });
    assert_eq!(store.json("/admin/counts").await, counts);
}

#[tokio::test]
async fn put_too_large() {
    const MIB: usize = 1024 * 1024;
    let (_running, store) = start();
    let path = "/v1/values/big?expect=0";
    let reply = store
        .send("PUT", path, vec![b'x'; MIB + 1])
        .await
        .expect("reply");
    assert_eq!(reply.status, 413);
    let reply = store
        .send("PUT", path, vec![b'x'; MIB])
        .await
        .expect("reply");
    assert_eq!(reply.status, 200);
    assert_eq!(
        store.get("/v1/values/big").await.expect("reply").body.len(),
        MIB
    );
}

#[tokio::test]
async fn request_malformed() {
    let (_running, store) = start();
    for path in ["/v1/unknown", "/admin/faults"] {
        assert_eq!(store.get(path).await.expect("reply").status, 404, "{path}");
    }
    for path in [
        "/v1/values/a",
        "/v1/values/a?expect=x",
        "/v1/values/a?expect=0&lease=x",
    ] {
        assert_eq!(
            store.send("PUT", path, "x").await.expect("reply").status,
            400,
            "{path}"
        );
    }
    assert_eq!(store.get("/v1/values/a").await.expect("reply").status, 404);
    let counts = json!({ "reads": 1, "writes": 0, "watches": 0 });
    assert_eq!(store.json("/admin/counts").await, counts);
}

#[tokio::test]
async fn watch_waits_for_change() {
    let (_running, store) = start();
    let watch = store.get("/v1/watch/a?after=0&wait_ms=60000");
    let write = async {
        put(store, "/v1/values/other?expect=0", "z").await;
        put(store, "/v1/values/a?expect=0", "x").await
    };
    let (reply, _) = tokio::join!(watch, write);
    let reply = reply.expect("reply");
    assert_eq!(reply.text(), "x");
    assert_eq!(reply.headers["x-revision"], "2");
    let watch = store.get("/v1/watch/a?after=2&wait_ms=60000");
    let delete = store.send("DELETE", "/v1/values/a?expect=2", "");
    let (reply, _) = tokio::join!(watch, delete);
    assert_eq!(reply.expect("reply").status, 404);
}

#[tokio::test]
async fn watch_without_change() {
    let (_running, store) = start();
    put(store, "/v1/values/a?expect=0", "x").await;
    let reply = store
        .get("/v1/watch/a?after=1&wait_ms=20")
        .await
        .expect("reply");
    assert_eq!(reply.status, 204);
    let reply = store
        .get("/v1/watch/a?after=0&wait_ms=60000")
        .await
        .expect("reply");
    assert_eq!((reply.status, reply.text()), (200, "x"));
    store
        .send("DELETE", "/v1/values/a?expect=1", "")
        .await
        .expect("reply");
    let reply = store
        .get("/v1/watch/a?after=1&wait_ms=60000")
        .await
        .expect("reply");
    assert_eq!(reply.status, 404);
    let reply = store
        .get("/v1/watch/a?after=0&wait_ms=20")
        .await
        .expect("reply");
    assert_eq!(reply.status, 204);
}

/// Puts `held` under a short lease and returns the lease.
///
/// Doubles the TTL until the lease outlives the write. On a slow machine the write takes longer.
async fn put_under_short_lease(store: TestClient) -> String {
    let mut ttl_ms = 50;
    loop {
        let (lease, _) = grant(store, ttl_ms).await;
        let path = format!("/v1/values/held?expect=0&lease={lease}");
        if store.send("PUT", &path, "x").await.expect("reply").status == 200 {
            return lease;
        }
        ttl_ms *= 2;
    }
}

async fn renew(store: TestClient, lease: &str) -> u16 {
    let path = format!("/v1/leases/{lease}/renew");
    store.post(&path, json!({})).await.expect("reply").status
}

#[tokio::test]
async fn lease_expires() {
    let (_running, store) = start();
    put(store, "/v1/values/free?expect=0", "y").await;
    let lease = put_under_short_lease(store).await;
    let reply = store
        .get("/v1/watch/held?after=2&wait_ms=60000")
        .await
        .expect("reply");
    assert_eq!(reply.status, 404);
    assert_eq!(renew(store, &lease).await, 404);
    let path = format!("/v1/values/held?expect=0&lease={lease}");
    assert_eq!(
        store.send("PUT", &path, "x").await.expect("reply").status,
        404
    );
    assert_eq!(
        store.get("/v1/values/free").await.expect("reply").status,
        200
    );
}

#[tokio::test]
async fn lease_renewed() {
    let (_running, store) = start();
    let mut ttl = Duration::from_millis(100);
    while !outlives_ttl(store, ttl).await {
        ttl *= 2;
    }
}

/// Renews a lease for twice its TTL and returns whether it survived.
///
/// Fails if the lease expired although the last renewal was sent less than one TTL before. A
/// renewal that is sent later, as on a slow machine, may fail.
async fn outlives_ttl(store: TestClient, ttl: Duration) -> bool {
    let granted_at = Instant::now();
    let ttl_ms = MilliSpan::from_duration(ttl).millis();
    let (lease, _) = grant(store, ttl_ms).await;
    let mut renewed_at = granted_at;
    while granted_at.elapsed() < 2 * ttl {
        tokio::time::sleep(ttl / 20).await;
        let sent_at = Instant::now();
        if renew(store, &lease).await != 200 {
            assert!(renewed_at.elapsed() >= ttl, "a renewed lease expired");
            return false;
        }
        renewed_at = sent_at;
    }
    true
}

#[tokio::test]
async fn lease_increases_fencing() {
    let (_running, store) = start();
    let (_, first) = grant(store, 60_000).await;
    let (_, second) = grant(store, 60_000).await;
    assert!(second > first);
}

#[tokio::test]
async fn lease_ended() {
    let (_running, store) = start();
    let (lease, _) = grant(store, 60_000).await;
    put(
        store,
        &format!("/v1/values/held?expect=0&lease={lease}"),
        "x",
    )
    .await;
    let path = format!("/v1/leases/{lease}");
    assert_eq!(
        store.send("DELETE", &path, "").await.expect("reply").status,
        200
    );
    assert_eq!(
        store.get("/v1/values/held").await.expect("reply").status,
        404
    );
    assert_eq!(
        store.send("DELETE", &path, "").await.expect("reply").status,
        404
    );
}

#[tokio::test]
async fn faults_lose_answers() {
    let (_running, store) = start();
    store
        .control("/admin/faults", json!({ "mode": "up", "lose_answers": 1 }))
        .await;
    store.get("/v1/values/a").await.expect("reply");
    assert_eq!(put(store, "/v1/values/a?expect=9", "x").await, (409, 0));
    store
        .send("PUT", "/v1/values/a?expect=0", "x")
        .await
        .expect_err("no answer");
    assert_eq!(store.get("/v1/values/a").await.expect("reply").text(), "x");
    assert_eq!(put(store, "/v1/values/a?expect=1", "y").await, (200, 2));
}

#[tokio::test]
async fn faults_down() {
    let (_running, store) = start();
    let watch = store.get("/v1/watch/a?after=0&wait_ms=60000");
    let cut = async {
        while store.json("/admin/counts").await["watches"] == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        store
            .control("/admin/faults", json!({ "mode": "down" }))
            .await;
    };
    let (reply, ()) = tokio::join!(watch, cut);
    reply.expect_err("no answer");
    for path in ["/v1/values/a", "/v1/watch/a", "/v1/unknown"] {
        store.get(path).await.expect_err("no answer");
    }
    store
        .control("/admin/faults", json!({ "mode": "up" }))
        .await;
    assert_eq!(store.get("/v1/values/a").await.expect("reply").status, 404);
}

#[tokio::test]
async fn faults_slow() {
    let (_running, store) = start();
    store
        .control("/admin/faults", json!({ "mode": "slow", "delay_ms": 80 }))
        .await;
    let started_at = Instant::now();
    assert_eq!(put(store, "/v1/values/a?expect=0", "x").await, (200, 1));
    assert!(started_at.elapsed() >= Duration::from_millis(80));
}

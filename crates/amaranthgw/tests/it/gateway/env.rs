//! A small site in the test process: the store, targets and gateways.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use amaranthgw::gateway::GatewayProcess;
use amaranthgw::telemetry::EventLog;
use amaranthgw_fleet::settings::GatewaySettings;
use amaranthgw_net::{DialSettings, dial};
use amaranthgw_standins::site::{SiteStore, SiteTarget, TargetBehaviour, site_config};
use amaranthgw_standins::{ReservedPort, RunningStandin, Standin};
use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde_json::{Value, json};

use crate::env::eventually;

pub(super) const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
pub(super) const KEY: &str = "key-of-school";
pub(super) const WORKSPACE: &str = "school";

/// The store and the targets of a site.
pub(super) struct TestSite {
    pub(super) store: SiteStore,
    pub(super) store_address: SocketAddr,
    running: Vec<RunningStandin>,
}

impl TestSite {
    pub(super) fn new() -> Self {
        let store = SiteStore::new();
        let started = store.start(ANY_PORT).expect("store starts");
        Self {
            store_address: started.address(),
            store,
            running: vec![started],
        }
    }

    /// A site whose configuration routes `/look/` and `/pay/` to the service `desk`, and `/draft/`
    /// to the service `draft`.
    pub(super) fn with_routes() -> Self {
        let site = Self::new();
        site.store.put("op/config", &config(7, "desk"));
        site
    }

    /// Starts a target on a free port and registers it.
    pub(super) fn add_target(
        &mut self,
        id: &str,
        service: &str,
        behaviour: TargetBehaviour,
    ) -> SiteTarget {
        self.add_target_at(ANY_PORT, id, service, behaviour)
    }

    /// Starts a target that listens on `listen`, and registers it.
    pub(super) fn add_target_at(
        &mut self,
        listen: SocketAddr,
        id: &str,
        service: &str,
        behaviour: TargetBehaviour,
    ) -> SiteTarget {
        let target = SiteTarget::new(id, behaviour);
        let started = target.start(listen).expect("target starts");
        let entry = target.entry(service, started.address(), "domain-a");
        self.store.put(&format!("servers/{id}"), &entry);
        self.running.push(started);
        target
    }

    /// Registers a target in `domain` whose port is closed as long as the result is kept.
    pub(super) fn add_closed_target(&self, id: &str, service: &str, domain: &str) -> ReservedPort {
        let port = ReservedPort::new(&[ANY_PORT.ip()]).expect("a free port");
        let target = SiteTarget::new(id, TargetBehaviour::Answer(200));
        let entry = target.entry(service, port.address(ANY_PORT.ip()), domain);
        self.store.put(&format!("servers/{id}"), &entry);
        port
    }

    /// The registry entry of the target `id`.
    pub(super) fn entry(&self, id: &str) -> Value {
        let entry = self.store.value(&format!("servers/{id}")).expect("entry");
        serde_json::from_slice(&entry).expect("json")
    }

    /// Starts a gateway and waits until it is ready.
    pub(super) async fn start_gateway(&self) -> GatewayProcess {
        self.start_gateway_with(&json!({})).await
    }

    /// Starts a gateway with the settings in `extra` and waits until it is ready.
    pub(super) async fn start_gateway_with(&self, extra: &Value) -> GatewayProcess {
        let gateway = self.start_process(&[], extra);
        let ready = || async { is_ready(gateway.ready_address()).await.then_some(()) };
        eventually("readiness", ready).await;
        gateway
    }

    /// Starts a gateway with the peers `seeds`, without waiting until it is ready.
    pub(super) fn start_without_waiting(&self, seeds: &[SocketAddr]) -> GatewayProcess {
        self.start_process(seeds, &json!({}))
    }

    pub(super) fn start_process(&self, seeds: &[SocketAddr], extra: &Value) -> GatewayProcess {
        let mut settings = json!({
            "vm": "gateway-1",
            "domain": "domain-a",
            "caller_listen": ANY_PORT,
            "ready_listen": ANY_PORT,
            "node_listen": ANY_PORT,
            "metrics_listen": ANY_PORT,
            "store": self.store_address,
            "seeds": seeds,
            "grace": "8s",
            "retry_ratio": 0.2,
            "retry_slack": 94,
            "retry_window": "10s",
        });
        for (field, value) in extra.as_object().expect("fields") {
            settings[field] = value.clone();
        }
        let settings = GatewaySettings::parse(&settings.to_string(), "test").expect("settings");
        GatewayProcess::start(&settings, &EventLog::with_journal_only()).expect("gateway starts")
    }
}

/// Settings with which a gateway repeats requests from its start on, when it has no share of the slack.
pub(super) fn ample_retries() -> Value {
    json!({ "retry_ratio": 10 })
}

/// A configuration of `version` with plain routes to the service named `service` and one undecodable
/// row.
pub(super) fn config(version: u64, service: &str) -> Value {
    let mut config = site_config(version, service, WORKSPACE, &[KEY]);
    let routes = config["routes"].as_array_mut().expect("routes");
    routes.push(json!({ "name": "broken", "prefix": 5 }));
    config
}

/// An answer, read until its end or until the connection broke.
#[derive(Debug)]
pub(super) struct TestAnswer {
    pub(super) status: StatusCode,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) is_whole: bool,
}

impl TestAnswer {
    pub(super) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub(super) fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

/// Builds a request to the site.
pub(super) fn request(method: &str, path: &str, body: &str) -> Request<Full<Bytes>> {
    Request::builder()
        .method(method)
        .uri(path)
        .header("host", "site.example")
        .header("x-amaranthgw-request-id", "r-1")
        .header("x-amaranthgw-deadline-ms", "2500")
        .header("x-api-key", KEY)
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("request")
}

/// Sends `request` and reads the answer until it ends or breaks.
pub(super) async fn call(address: SocketAddr, request: Request<Full<Bytes>>) -> TestAnswer {
    let response = open(address, request).await;
    let (parts, mut body) = response.into_parts();
    let mut bytes = Vec::new();
    let mut is_whole = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend_from_slice(frame.data_ref().map_or(&[], |data| data)),
            Err(_broken) => {
                is_whole = false;
                break;
            }
        }
    }
    TestAnswer {
        status: parts.status,
        headers: parts.headers,
        body: bytes.into(),
        is_whole,
    }
}

/// Sends `request` and returns the answer with its body unread.
pub(super) async fn open(address: SocketAddr, request: Request<Full<Bytes>>) -> Response<Incoming> {
    let settings = DialSettings::new(Duration::from_secs(5));
    let mut connection = dial(address, settings).await.expect("connects");
    connection.send(request).await.expect("answers")
}

pub(super) async fn is_ready(address: SocketAddr) -> bool {
    let request = Request::get("/readyz").header("host", "ready");
    let request = request.body(Full::default()).expect("request");
    open(address, request).await.status() == StatusCode::OK
}

//! Sample platform configuration in the JSON format that operators write.

use serde_json::{Value, json};

/// Host name that every route matches.
const HOST: &str = "site.example";

/// Builds configuration `version` with three routes and one workspace.
///
/// `/look/` (idempotent) and `/pay/` (non-idempotent) go to the service named by `desk`,
/// `/draft/` (streaming) goes to the service `draft`. `keys` are the API keys of `workspace`.
#[must_use]
pub fn site_config(version: u64, desk: &str, workspace: &str, keys: &[&str]) -> Value {
    json!({
        "version": version,
        "routes": [
            route("look", "/look/", "idempotent", desk),
            route("pay", "/pay/", "non_idempotent", desk),
            route("draft", "/draft/", "streaming", "draft"),
        ],
        "services": [{ "name": desk }, { "name": "draft" }],
        "limits": {
            "max_header_bytes": 16384, "max_body_bytes": 4096,
            "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
        },
        "tenants": [{ "name": workspace, "api_keys": keys, "priority": 1 }],
    })
}

fn route(name: &str, prefix: &str, kind: &str, service: &str) -> Value {
    json!({
        "name": name, "hostname": HOST, "prefix": prefix, "route_kind": kind,
        "timeout_ms": 3000, "goal_ms": 100, "priority": 1, "service": service, "attempts": 2,
        "public": false, "sticky": false, "resumable": true, "gap_aim_ms": 120,
    })
}

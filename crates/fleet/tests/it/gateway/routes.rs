//! Route matching, keys and traffic splits.

use std::time::Duration;

use amaranthgw_core::{ByteCount, ByteRate, CallUrgency, ConfigVersion, MilliSpan, PriorityLevel};
use amaranthgw_fleet::gateway::{
    CallRank, ExpertShape, KeyHolder, LookupError, RouteKind, RouteRow, RouteTable, SplitShare,
};
use yare::parameterized;

fn row(name: &str, prefix: &str) -> RouteRow {
    RouteRow {
        route: name.parse().expect("route"),
        host: "site.example".into(),
        prefix: prefix.into(),
        kind: RouteKind::Idempotent,
        timeout: MilliSpan::new(1_000),
        objective: MilliSpan::new(100),
        event_gap: MilliSpan::new(0),
        max_attempts: 2,
        priority: PriorityLevel::new(1),
        is_public: name == "public",
        is_resumable: false,
        split: vec![SplitShare {
            service: "desk".parse().expect("service"),
            weight: 1,
        }],
    }
}

fn table() -> RouteTable {
    let mut table = RouteTable::new(ConfigVersion::new(3));
    for (name, prefix) in [("short", "/a/"), ("long", "/a/b/"), ("public", "/open/")] {
        table.add_route(row(name, prefix));
    }
    table.add_key(
        "secret".parse().expect("key"),
        KeyHolder {
            workspace: "school".parse().expect("workspace"),
            priority: None,
        },
    );
    table
}

#[parameterized(
    longest = { "site.example", "/a/b/c", Some("long") },
    shorter = { "site.example", "/a/c", Some("short") },
    port = { "site.example:8080", "/a/c", Some("short") },
    upper_case = { "SITE.example", "/a/c", Some("short") },
    no_slash = { "site.example", "/a", None },
    other_host = { "other.example", "/a/", None },
)]
fn route_by_host_and_prefix(host: &str, path: &str, expected: Option<&str>) {
    let table = table();
    let found = table.route(host, path);
    assert_eq!(found.ok().map(|route| route.route.as_str()), expected);
}

#[test]
fn route_before_config() {
    let missed = RouteTable::default().route("site.example", "/a/").err();
    assert_eq!(missed, Some(LookupError::NoConfig));
}

#[parameterized(
    known = { "/a/", Some("secret"), Ok(Some("school")) },
    unknown = { "/a/", Some("guess"), Err(LookupError::UnknownKey) },
    none = { "/a/", None, Err(LookupError::UnknownKey) },
    public = { "/open/", None, Ok(None) },
    public_with_key = { "/open/", Some("secret"), Ok(Some("school")) },
)]
fn holder_of_key(path: &str, key: Option<&str>, expected: Result<Option<&str>, LookupError>) {
    let table = table();
    let route = table.route("site.example", path).expect("route");
    let key = key.map(|key| key.parse().expect("key"));
    let holder = table.holder(route, key.as_ref());
    let found = holder.map(|holder| holder.map(|holder| holder.workspace.as_str()));
    assert_eq!(found, expected);
}

// Guards against ROUTE: without any key left, everybody was let in.
#[parameterized(
    never_required = { false, Ok(None) },
    required_without_any = { true, Err(LookupError::UnknownKey) },
)]
fn holder_without_keys(is_required: bool, expected: Result<Option<&str>, LookupError>) {
    let mut table = RouteTable::new(ConfigVersion::new(3));
    table.add_route(row("short", "/a/"));
    if is_required {
        table.require_keys();
    }
    let route = table.route("site.example", "/a/").expect("route");
    for key in [None, Some("guess".parse().expect("key"))] {
        let holder = table.holder(route, key.as_ref());
        let found = holder.map(|holder| holder.map(|holder| holder.workspace.as_str()));
        assert_eq!(found, expected);
    }
}

#[test]
fn pick_service_by_weight() {
    let mut route = row("split", "/s/");
    let share = |service: &str, weight| SplitShare {
        service: service.parse().expect("service"),
        weight,
    };
    route.split = vec![share("major", 90), share("minor", 10), share("none", 0)];
    let service = |draw| {
        route
            .pick_service(draw)
            .map(|service| service.as_str().to_owned())
    };
    assert_eq!(service(0.0).as_deref(), Some("major"));
    assert_eq!(service(0.89).as_deref(), Some("major"));
    assert_eq!(service(0.91).as_deref(), Some("minor"));
    assert_eq!(service(0.999).as_deref(), Some("minor"));
}

fn shape(megabytes: u64) -> ExpertShape {
    ExpertShape {
        sets: 3,
        experts: 96,
        places: 11,
        new_per_set: 4,
        expert_bytes: ByteCount::new(megabytes * 1_000_000),
        copy_rate: ByteRate::new(5_500_000_000),
        report_lag: MilliSpan::new(200),
    }
}

#[parameterized(
    large = { 780, 4 },
    small = { 150, 20 },
    longer_than_the_time = { 4_000, 1 },
)]
fn copies_within(megabytes: u64, copies: usize) {
    let within = shape(megabytes).copies_within(Duration::from_millis(570));
    assert_eq!(within, copies);
}

#[test]
fn copy_time_of_experts() {
    assert_eq!(shape(780).copy_time(4), Duration::from_millis(567));
    assert_eq!(shape(150).copy_time(0), Duration::ZERO);
}

fn ranked_table(routes: u8, workspaces: &[u8]) -> RouteTable {
    let mut table = RouteTable::new(ConfigVersion::new(1));
    for priority in 0..routes {
        let mut row = row("ranked", &format!("/{priority}/"));
        row.priority = PriorityLevel::new(priority);
        table.add_route(row);
    }
    for priority in workspaces {
        table.add_key(
            format!("key{priority}").parse().expect("key"),
            KeyHolder {
                workspace: format!("w{priority}").parse().expect("workspace"),
                priority: Some(PriorityLevel::new(*priority)),
            },
        );
    }
    table
}

#[parameterized(
    routes_only = { 3, &[], (1, 1), 1 },
    workspace_first = { 3, &[0, 1], (0, 2), 2 },
    route_within_workspace = { 3, &[0, 1], (1, 0), 3 },
    least = { 3, &[0, 1], (2, 2), 6 },
    unknown = { 3, &[0, 1], (9, 9), 7 },
    many_most_urgent = { 10, &[0, 1, 2, 3], (0, 0), 0 },
    many_least = { 10, &[0, 1, 2, 3], (9, 9), 9 },
    no_config = { 0, &[], (4, 4), 0 },
)]
fn target_urgency_place(routes: u8, workspaces: &[u8], rank: (u8, u8), expected: u8) {
    let table = ranked_table(routes, workspaces);
    let rank = CallRank::new(Some(PriorityLevel::new(rank.0)), PriorityLevel::new(rank.1));
    assert_eq!(table.target_urgency(rank), CallUrgency::new(expected));
}

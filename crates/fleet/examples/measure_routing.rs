//! Measures routing decisions, route snapshots, herding on stale load reports and the size of
//! shared limits.
//!
//! Prints Markdown tables. The random number generator has a fixed seed, so every run makes the
//! same decisions.

use std::hint::black_box;
use std::time::Duration;

use amaranthgw_core::{SlotCount, StartMark};
use amaranthgw_fleet::limits::{
    HolderId, KeyShares, MilliRate, RenewalNumber, ShareAmount, ShareKey, ShareRow, ShareValue,
};
use amaranthgw_fleet::routing::{
    DomainDistance, LeastLoadedPolicy, LoadReport, LocalityPolicy, RoundRobinPolicy, RouteInput,
    RoutePolicy, ServiceKind, ServiceRoutes, SubsetSettings, TargetRoute, TargetStage,
};
use tokio::time::Instant;

#[path = "../tests/it/routing/world.rs"]
mod world;

use world::{RouteWorld, RunSettings, TargetSpec, target_route};

const SEED: u64 = 20_261_204;
const TARGET_COUNTS: [usize; 3] = [15, 1_000, 10_000];
const WORKSPACE_COUNTS: [u64; 2] = [10, 3_800];
const DECISIONS: usize = 200_000;
/// Decisions measured for policies that scan all targets.
const SCAN_DECISIONS: usize = 5_000;
/// Distinct prompt prefixes of each workspace.
const PREFIXES_PER_WORKSPACE: u64 = 4;
/// Maximum number of requests in flight at a target that isn't warming.
const SLOTS: u32 = 16;

fn main() {
    fastrand::seed(SEED);
    measure_memory();
    measure_decisions();
    measure_snapshots();
    measure_herding();
    measure_warming();
    measure_shares();
}

/// Creates the spec of target `index` of a service with `count` targets.
///
/// Targets of a large service are spread over 36 failure domains: one is the entry's own, three
/// others are in its region. A service of at most 36 targets lies within one region.
fn target_spec(index: usize, count: usize) -> TargetSpec {
    let domains = if count <= 36 { 3 } else { 36 };
    let distance = match index % domains {
        0 => DomainDistance::SameDomain,
        1..=3 => DomainDistance::SameRegion,
        _ => DomainDistance::OtherRegion,
    };
    let stage = match fastrand::u32(..100) {
        0..2 => TargetStage::Leaving,
        2..10 => TargetStage::Warming,
        _ => TargetStage::Warm,
    };
    let limit = if stage == TargetStage::Warming {
        2
    } else {
        SLOTS
    };
    TargetSpec {
        limit,
        distance,
        stage,
    }
}

fn make_targets(count: usize, now: Instant) -> Vec<TargetRoute> {
    let make = |index: usize| {
        let spec = target_spec(index, count);
        let load = LoadReport {
            in_flight: SlotCount::new(fastrand::u32(..=spec.limit)),
            own_in_flight: SlotCount::new(0),
            limit: SlotCount::new(spec.limit),
            first_chunk_ms: 80.0 + 40.0 * fastrand::f32(),
            reported_at: now - Duration::from_millis(fastrand::u64(..1_000)),
        };
        TargetRoute {
            load: Some(load),
            ..target_route(index, spec)
        }
    };
    (0..count).map(make).collect()
}

fn subset_settings() -> SubsetSettings {
    SubsetSettings::new(&"entry-0".parse().expect("valid id"))
}

/// Returns the time at which a snapshot is used, one minute from now.
fn snapshot_time() -> Instant {
    Instant::now() + Duration::from_mins(1)
}

fn make_routes(count: usize, now: Instant) -> ServiceRoutes {
    let targets = make_targets(count, now);
    ServiceRoutes::new(ServiceKind::Model, targets, &subset_settings(), now)
}

fn measure_decisions() {
    println!("| policy | targets | workspaces | p50 ns | p99 ns |");
    println!("| --- | ---: | ---: | ---: | ---: |");
    println!("| (clock alone) | - | - | {} |", columns(time_clock()));
    let locality = LocalityPolicy::new();
    let round_robin = RoundRobinPolicy::default();
    for count in TARGET_COUNTS {
        let now = snapshot_time();
        let routes = make_routes(count, now);
        for workspaces in WORKSPACE_COUNTS {
            let rows: [(&str, &dyn RoutePolicy, usize); 3] = [
                ("near", &locality, DECISIONS),
                ("round-robin", &round_robin, SCAN_DECISIONS),
                ("least-loaded", &LeastLoadedPolicy, SCAN_DECISIONS),
            ];
            for (name, policy, decisions) in rows {
                let nanos = time_decisions(policy, &routes, workspaces, decisions, now);
                let columns = columns(nanos);
                println!("| {name} | {count} | {workspaces} | {columns} |");
            }
        }
    }
}

fn time_decisions(
    policy: &dyn RoutePolicy,
    routes: &ServiceRoutes,
    workspaces: u64,
    decisions: usize,
    now: Instant,
) -> Vec<u64> {
    let decide = |_| {
        let workspace = fastrand::u64(..workspaces);
        let prefix = fastrand::u64(..PREFIXES_PER_WORKSPACE);
        let hash = (workspace * PREFIXES_PER_WORKSPACE + prefix).wrapping_mul(0x9e37_79b9);
        let input = RouteInput {
            prefix_hash: Some(hash),
            deadline: now + Duration::from_secs(1),
            tried: &[],
        };
        let started = std::time::Instant::now();
        let chosen = policy.choose(black_box(routes), black_box(&input), now);
        black_box(&chosen).as_ref().expect("a target is open");
        nanos_since(started)
    };
    (0..decisions).map(decide).collect()
}

fn time_clock() -> Vec<u64> {
    let empty = |_| nanos_since(black_box(std::time::Instant::now()));
    (0..DECISIONS).map(empty).collect()
}

fn measure_snapshots() {
    const BUILDS: usize = 50;
    println!();
    println!("| targets | build p50 us | build p99 us |");
    println!("| ---: | ---: | ---: |");
    for count in TARGET_COUNTS {
        let now = snapshot_time();
        let targets = make_targets(count, now);
        let build = |_| {
            let targets = targets.clone();
            let started = std::time::Instant::now();
            let routes = ServiceRoutes::new(ServiceKind::Model, targets, &subset_settings(), now);
            black_box(&routes);
            nanos_since(started)
        };
        let nanos = percentiles((0..BUILDS).map(build).collect());
        let (p50, p99) = (nanos.0 / 1_000, nanos.1 / 1_000);
        println!("| {count} | {p50} | {p99} |");
    }
}

/// Measures the growth of resident memory per target over many snapshots held at once.
///
/// Runs first and holds every snapshot, so that no freed memory is reused.
fn measure_memory() {
    const HELD_TARGETS: usize = 400_000;
    println!("| targets | bytes per target |");
    println!("| ---: | ---: |");
    let now = snapshot_time();
    let mut held = Vec::new();
    for count in TARGET_COUNTS {
        let targets = make_targets(count, now);
        let before = resident_bytes();
        for _ in 0..HELD_TARGETS / count {
            let (targets, settings) = (targets.clone(), subset_settings());
            held.push(ServiceRoutes::new(
                ServiceKind::Model,
                targets,
                &settings,
                now,
            ));
        }
        let growth = resident_bytes().saturating_sub(before);
        println!("| {count} | {} |", growth / HELD_TARGETS as u64);
    }
    black_box(&held);
    println!();
}

fn resident_bytes() -> u64 {
    const KIBIBYTE: u64 = 1_024;
    let status = std::fs::read_to_string("/proc/self/status").expect("process status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kibibytes = line.and_then(|line| line.split_whitespace().nth(1));
    let kibibytes: u64 = kibibytes.and_then(|text| text.parse().ok()).expect("VmRSS");
    kibibytes * KIBIBYTE
}

fn measure_herding() {
    println!();
    println!("| load | report every | policy | highest / mean | refused | limits in use |");
    println!("| ---: | ---: | --- | ---: | ---: | ---: |");
    // Load: arrivals per step times the mean run of 30.5 steps, divided by the 2,300 slots.
    for (load, arrivals) in [("53 %", 40), ("73 %", 55), ("133 %", 100)] {
        for report_every in [5, 100] {
            herding_rows(load, arrivals, report_every);
        }
    }
}

fn herding_rows(load: &str, arrivals: u32, report_every: u32) {
    const ENTRIES: usize = 200;
    const TARGETS: usize = 100;
    const STEP_MILLIS: u32 = 10;
    // Times are in steps.
    let settings = RunSettings {
        steps: 1_000,
        report_every,
        arrivals,
        mean_run: 30,
        prefixes: 0,
    };
    let rows: [(&str, &dyn RoutePolicy); 3] = [
        ("near", &LocalityPolicy::new()),
        ("round-robin", &RoundRobinPolicy::default()),
        ("least-loaded", &LeastLoadedPolicy),
    ];
    for (name, policy) in rows {
        fastrand::seed(SEED);
        let specs = [TargetSpec::new(23); TARGETS];
        let mut world = RouteWorld::new(ServiceKind::Plain, ENTRIES, &specs);
        let stats = world.run(policy, &settings);
        println!(
            "| {load} | {} ms | {name} | {:.2} | {:.2} % | {:.1} % |",
            report_every * STEP_MILLIS,
            stats.mean_peak(),
            stats.rejected_share() * 100.0,
            stats.mean_utilisation() * 100.0,
        );
    }
}

/// Measures the requests sent to warming targets, relative to their share of all limits.
///
/// The limit of a warming target is an eighth of the limit of a warm one.
fn measure_warming() {
    const TARGETS: usize = 100;
    const WARMING: usize = 10;
    println!();
    println!("| policy | sent / fair share | refused |");
    println!("| --- | ---: | ---: |");
    let rows: [(&str, &dyn RoutePolicy); 3] = [
        ("near", &LocalityPolicy::new()),
        ("round-robin", &RoundRobinPolicy::default()),
        ("least-loaded", &LeastLoadedPolicy),
    ];
    for (name, policy) in rows {
        fastrand::seed(SEED);
        let mut specs = [TargetSpec::new(24); TARGETS];
        for spec in &mut specs[..WARMING] {
            (spec.limit, spec.stage) = (3, TargetStage::Warming);
        }
        let mut world = RouteWorld::new(ServiceKind::Model, 200, &specs);
        let settings = RunSettings {
            steps: 1_000,
            report_every: 100,
            arrivals: 30,
            mean_run: 30,
            prefixes: 10_000,
        };
        let stats = world.run(policy, &settings);
        let sent: u32 = (0..WARMING).map(|index| world.arrived(index)).sum();
        let limits: u32 = specs.iter().map(|spec| spec.limit).sum();
        let warming: u32 = specs[..WARMING].iter().map(|spec| spec.limit).sum();
        let fair = f64::from(stats.requests) * f64::from(warming) / f64::from(limits);
        let (share, refused) = (f64::from(sent) / fair, stats.rejected_share() * 100.0);
        println!("| {name} | {share:.2} | {refused:.2} % |");
    }
}

/// Measures the size of a stored value of shared limits, as entries write it.
fn measure_shares() {
    println!();
    println!("| workspaces | entries | value bytes | bytes per share |");
    println!("| ---: | ---: | ---: | ---: |");
    for (workspaces, entries) in [(10, 3), (100, 20), (500, 40)] {
        let value = share_value(workspaces, entries);
        let bytes = serde_json::to_vec(&value).expect("serialises").len();
        let per_share = bytes / (workspaces * entries);
        println!("| {workspaces} | {entries} | {bytes} | {per_share} |");
    }
}

/// Creates a value in which every entry holds a share of the limit of every workspace.
fn share_value(workspaces: usize, entries: usize) -> ShareValue {
    let amount = ShareAmount::new(MilliRate::new(12_500), SlotCount::new(25));
    let row = ShareRow {
        held: amount,
        demand: amount,
    };
    let holder = |index: usize| {
        let vm = format!("entry-{index}").parse().expect("valid id");
        HolderId::new(vm, StartMark::new(1_000_000 + index as u64))
    };
    let shares = KeyShares {
        pool: amount,
        holders: (0..entries).map(|index| (holder(index), row)).collect(),
    };
    let key = |index: usize| -> ShareKey {
        let text = format!("workspace-{index}|draft-llm");
        text.parse().expect("valid key")
    };
    ShareValue {
        renewals: (0..entries)
            .map(|index| (holder(index), RenewalNumber::default()))
            .collect(),
        keys: (0..workspaces)
            .map(|index| (key(index), shares.clone()))
            .collect(),
    }
}

fn columns(nanos: Vec<u64>) -> String {
    let (p50, p99) = percentiles(nanos);
    format!("{p50} | {p99}")
}

/// Returns the median and the 99th percentile.
fn percentiles(mut values: Vec<u64>) -> (u64, u64) {
    values.sort_unstable();
    let at = |percent: usize| values[(values.len() - 1) * percent / 100];
    (at(50), at(99))
}

fn nanos_since(started: std::time::Instant) -> u64 {
    u64::try_from(started.elapsed().as_nanos()).unwrap_or(u64::MAX)
}

//! Spread of load over targets when entries choose by stale reports.

use amaranthgw_fleet::routing::{
    LeastLoadedPolicy, LocalityPolicy, RoutePolicy, ServiceKind, TargetStage,
};
use yare::parameterized;

use super::world::{RouteWorld, RunSettings, SpreadStats, TargetSpec};

/// Reports that reach an age of about three times the mean run time.
const STALE_REPORTS: RunSettings = RunSettings {
    steps: 1_000,
    report_every: 100,
    arrivals: 10,
    mean_run: 30,
    prefixes: 0,
};

fn run(policy: &dyn RoutePolicy, settings: &RunSettings, limit: u32) -> SpreadStats {
    fastrand::seed(7);
    let specs = [TargetSpec::new(limit); 24];
    RouteWorld::new(ServiceKind::Plain, 40, &specs).run(policy, settings)
}

#[test]
fn choose_no_herding_on_stale_load() {
    let near = run(&LocalityPolicy::new(), &STALE_REPORTS, 24);
    let least = run(&LeastLoadedPolicy, &STALE_REPORTS, 24);
    assert!(near.mean_peak() < 1.7, "{near:?}");
    assert!(near.rejected_share() < 0.01, "{near:?}");
    assert!(least.rejected_share() > 0.1, "{least:?}");
}

#[test]
fn choose_fresh_load_evens_out() {
    let settings = RunSettings {
        report_every: 5,
        ..STALE_REPORTS
    };
    let near = run(&LocalityPolicy::new(), &settings, 24);
    assert!(near.mean_peak() < 1.4, "{near:?}");
}

#[test]
fn choose_no_herding_when_all_full() {
    let settings = RunSettings {
        arrivals: 60,
        ..STALE_REPORTS
    };
    let near = run(&LocalityPolicy::new(), &settings, 8);
    assert!(near.mean_utilisation() > 0.9, "{near:?}");
}

#[parameterized(
    choose_warming_share_no_prefix = { 0 },
    choose_warming_share_prefixes = { 10_000 },
)]
fn choose_warming_share(prefixes: u64) {
    fastrand::seed(8);
    let mut specs = [TargetSpec::new(24); 12];
    for spec in &mut specs[..2] {
        (spec.limit, spec.stage) = (3, TargetStage::Warming);
    }
    let mut world = RouteWorld::new(ServiceKind::Model, 40, &specs);
    let settings = RunSettings {
        arrivals: 3,
        prefixes,
        ..STALE_REPORTS
    };
    let stats = world.run(&LocalityPolicy::new(), &settings);
    let warming = world.arrived(0) + world.arrived(1);
    // The two warming targets have 2 * 3 of the 2 * 3 + 10 * 24 slots.
    let fair = f64::from(stats.requests) * 6.0 / 246.0;
    let share = f64::from(warming) / fair;
    assert!((0.5..1.5).contains(&share), "{share} of the fair share");
    assert!(stats.rejected_share() < 0.02, "{stats:?}");
}

//! Placement policies: a change must gain more than it costs, and noise must not cause one.

use amaranthgw_core::{ByteCount, ByteRate, GroupId, MilliSpan, TickSchedule};
use amaranthgw_groups::measure::{DriftPattern, SimulationSettings, simulate};
use amaranthgw_groups::placement::{
    ExpertMap, GainPolicy, GroupShape, LayerPopularity, MoveCost, PlacementInput, PlacementPlan,
    PlacementPolicy, PlacementRow, PlacementSystem, PlacementTables, count_new_replicas,
    pack_layer,
};
use tokio::time::Instant;

const SHAPE: GroupShape = GroupShape {
    ranks: 16,
    experts: 32,
    slots: 4,
};

fn settings() -> SimulationSettings {
    SimulationSettings {
        shape: SHAPE,
        layers: 1,
        ticks: 300,
        ..SimulationSettings::new()
    }
}

fn observed_popularity(hot: u64) -> Vec<LayerPopularity> {
    let mut popularity = LayerPopularity::new(SHAPE.experts);
    let mut tokens = vec![1_000_000; 32];
    tokens[0] = hot;
    for _ in 0..40 {
        popularity.observe(&tokens);
    }
    vec![popularity]
}

/// Plans from a map packed for even popularity, while expert 0 gets `hot` tokens and the others
/// 1,000,000 each.
fn plan(hot: u64, cost: &MoveCost) -> Option<PlacementPlan> {
    let map = ExpertMap {
        layers: vec![pack_layer(SHAPE, &[1.0 / 32.0; 32])],
    };
    let popularity = observed_popularity(hot);
    let input = PlacementInput {
        shape: SHAPE,
        cost,
        map: &map,
        popularity: &popularity,
    };
    let plan = GainPolicy::new().plan(input)?;
    assert_eq!(plan.new_replicas, count_new_replicas(&map, &plan.map));
    Some(plan)
}

#[test]
fn plan_gain_exceeds_cost() {
    assert!(plan(20_000_000, &settings().cost).is_some_and(|plan| plan.new_replicas > 0));
}

#[test]
fn plan_even_load() {
    assert_eq!(plan(1_000_000, &settings().cost), None);
}

#[test]
fn plan_slow_weight_store() {
    let cost = MoveCost {
        load_rate: ByteRate::new(10_000),
        ..settings().cost
    };
    assert!(plan(20_000_000, &cost).is_none_or(|plan| plan.new_replicas == 0));
}

#[test]
fn plan_expensive_weights() {
    let cost = MoveCost {
        expert_size: ByteCount::new(400_000_000_000),
        load_loss: 100.0,
        ..settings().cost
    };
    assert!(plan(20_000_000, &cost).is_none_or(|plan| plan.new_replicas == 0));
}

#[test]
fn plan_expensive_switch() {
    let cost = MoveCost {
        switch_steps: 10_000_000,
        ..settings().cost
    };
    assert_eq!(plan(20_000_000, &cost), None);
}

#[test]
fn simulate_noise_only() {
    for seed in 0..3 {
        let figures = simulate(DriftPattern::NoiseOnly, &settings(), seed);
        // The last of the three policies is `GainPolicy`.
        assert_eq!(figures[2].loaded_replicas, 0, "seed {seed}: {}", figures[2]);
    }
}

#[test]
fn simulate_drift() {
    for pattern in [
        DriftPattern::SlowShift,
        DriftPattern::TopicJump,
        DriftPattern::HotExpert,
    ] {
        let figures = simulate(pattern, &settings(), 3);
        let [static_map, each_tick, gain] = figures.as_slice() else {
            panic!("expected three policies: {figures:?}")
        };
        assert!(
            gain.mean_skew() < 1.0 + 0.25 * (static_map.mean_skew() - 1.0),
            "{static_map}\n{gain}"
        );
        assert!(gain.bytes * 10 < each_tick.bytes, "{each_tick}\n{gain}");
    }
}

#[test]
fn run_placement_once_per_interval() {
    let now = Instant::now();
    let group: GroupId = "helper-llm/1".parse().expect("valid id");
    let row = PlacementRow {
        shape: SHAPE,
        cost: settings().cost,
        map: ExpertMap {
            layers: vec![pack_layer(SHAPE, &[1.0 / 32.0; 32])],
        },
        popularity: observed_popularity(20_000_000),
        plan_at: now,
    };
    let mut tables = PlacementTables::default();
    tables.groups.insert(group.clone(), row);
    let plan_interval = MilliSpan::new(30_000);
    let system = PlacementSystem::new(Box::new(GainPolicy::new()), plan_interval);
    let mut schedule = TickSchedule::new().with_system(system);
    schedule.run(&mut tables, now);
    schedule.run(&mut tables, now + plan_interval.duration() / 2);
    assert!(tables.outbox.iter().map(|(group, _)| group).eq([&group]));
    schedule.run(&mut tables, now + plan_interval.duration());
    assert_eq!(tables.outbox.len(), 2);
}

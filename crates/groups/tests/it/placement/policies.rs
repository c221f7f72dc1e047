use amaranthgw_core::{ByteCount, ByteRate, GroupId, MilliSpan, TickSchedule};
use amaranthgw_groups::measure::{DriftPattern, SimulationSetting, simulate};
use amaranthgw_groups::placement::{
    ExpertMap, GainPolicy, GroupShape, LayerPopularity, MovePrice, PlacementInput, PlacementPlan,
    PlacementPolicy, PlacementRow, PlacementSystem, PlacementTables, loaded_replicas, pack_layer,
};
use tokio::time::Instant;

const SHAPE: GroupShape = GroupShape {
    ranks: 16,
    experts: 32,
    slots: 4,
};

fn setting() -> SimulationSetting {
    SimulationSetting {
        shape: SHAPE,
        layers: 1,
        ticks: 300,
        ..SimulationSetting::new()
    }
}

fn observed(hot: u64) -> Vec<LayerPopularity> {
    let mut popularity = LayerPopularity::new(SHAPE.experts);
    let mut tokens = vec![1_000_000; 32];
    tokens[0] = hot;
    for _ in 0..40 {
        popularity.observe(&tokens);
    }
    vec![popularity]
}

/// Plans for a map that fits even popularity, while one expert has `hot` tokens.
fn plan(hot: u64, price: &MovePrice) -> Option<PlacementPlan> {
    let map = ExpertMap {
        layers: vec![pack_layer(SHAPE, &[1.0 / 32.0; 32])],
    };
    let popularity = observed(hot);
    let input = PlacementInput {
        shape: SHAPE,
        price,
        map: &map,
        popularity: &popularity,
    };
    let plan = GainPolicy::new().plan(input)?;
    assert_eq!(plan.loads, loaded_replicas(&map, &plan.map));
    Some(plan)
}

#[test]
fn plan_gain_exceeds_cost() {
    assert!(plan(20_000_000, &setting().price).is_some_and(|plan| plan.loads > 0));
}

#[test]
fn plan_even_load() {
    assert_eq!(plan(1_000_000, &setting().price), None);
}

#[test]
fn plan_slow_weight_store() {
    let price = MovePrice {
        rate: ByteRate::new(10_000),
        ..setting().price
    };
    assert!(plan(20_000_000, &price).is_none_or(|plan| plan.loads == 0));
}

#[test]
fn plan_dear_weights() {
    let price = MovePrice {
        expert: ByteCount::new(400_000_000_000),
        load_slowdown: 100.0,
        ..setting().price
    };
    assert!(plan(20_000_000, &price).is_none_or(|plan| plan.loads == 0));
}

#[test]
fn plan_dear_switch() {
    let price = MovePrice {
        switch_steps: 10_000_000,
        ..setting().price
    };
    assert_eq!(plan(20_000_000, &price), None);
}

#[test]
fn simulate_noise_only() {
    for seed in 0..3 {
        let figures = simulate(DriftPattern::NoiseOnly, &setting(), seed);
        assert_eq!(figures[2].moves, 0, "seed {seed}: {}", figures[2]);
    }
}

#[test]
fn simulate_drift() {
    for pattern in [
        DriftPattern::SlowShift,
        DriftPattern::TopicJump,
        DriftPattern::HotExpert,
    ] {
        let figures = simulate(pattern, &setting(), 3);
        let [fixed, each_tick, gain] = figures.as_slice() else {
            panic!("three policies")
        };
        assert!(
            gain.mean_skew() < 1.0 + 0.25 * (fixed.mean_skew() - 1.0),
            "{fixed}\n{gain}"
        );
        assert!(gain.bytes * 10 < each_tick.bytes, "{each_tick}\n{gain}");
    }
}

#[test]
fn run_placement_once_per_pause() {
    let now = Instant::now();
    let group: GroupId = "helper-llm/1".parse().expect("valid id");
    let row = PlacementRow {
        shape: SHAPE,
        price: setting().price,
        map: ExpertMap {
            layers: vec![pack_layer(SHAPE, &[1.0 / 32.0; 32])],
        },
        popularity: observed(20_000_000),
        plan_at: now,
    };
    let mut tables = PlacementTables::default();
    tables.groups.insert(group.clone(), row);
    let pause = MilliSpan::new(30_000);
    let system = PlacementSystem::new(Box::new(GainPolicy::new()), pause);
    let mut schedule = TickSchedule::new().with_system(system);
    schedule.run(&mut tables, now);
    schedule.run(&mut tables, now + pause.duration() / 2);
    assert!(tables.outbox.iter().map(|(group, _)| group).eq([&group]));
    schedule.run(&mut tables, now + pause.duration());
    assert_eq!(tables.outbox.len(), 2);
}

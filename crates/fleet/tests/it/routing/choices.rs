//! Choices of the routing policies: only open and untried targets, those with room first, near ones
//! first, and in proportion to their limits.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use amaranthgw_core::{SlotCount, TargetId};
use amaranthgw_fleet::routing::{
    DomainDistance, LeastLoadedPolicy, LoadReport, LocalityPolicy, RoundRobinPolicy, RouteError,
    RouteInput, RoutePolicy, ServiceKind, ServiceRoutes, SubsetSettings, TargetRoute, TargetStage,
};
use proptest::prelude::*;
use tokio::time::Instant;

use super::world::{TargetSpec, target_route};

/// A target of a generated service; `age_ms` is the age of its report, `None` without one.
#[derive(Clone, Copy, Debug)]
struct TargetCase {
    spec: TargetSpec,
    others: u32,
    own: u32,
    first_chunk_ms: u16,
    age_ms: Option<u64>,
    is_tried: bool,
}

fn distance() -> impl Strategy<Value = DomainDistance> {
    prop_oneof![
        Just(DomainDistance::SameDomain),
        Just(DomainDistance::SameRegion),
        Just(DomainDistance::OtherRegion),
    ]
}

fn stage() -> impl Strategy<Value = TargetStage> {
    prop_oneof![
        3 => Just(TargetStage::Warm),
        1 => Just(TargetStage::Warming),
        2 => Just(TargetStage::Leaving),
        1 => Just(TargetStage::Unreachable),
    ]
}

fn target_case() -> impl Strategy<Value = TargetCase> {
    let spec = (0_u32..20, distance(), stage()).prop_map(|(limit, distance, stage)| TargetSpec {
        limit,
        distance,
        stage,
    });
    let load = (0_u32..12, 0_u32..12, 0_u16..400);
    let age_ms = prop::option::of(0_u64..20_000);
    (spec, load, age_ms, prop::bool::weighted(0.3)).prop_map(
        |(spec, (others, own, first_chunk_ms), age_ms, is_tried)| TargetCase {
            spec,
            others,
            own,
            first_chunk_ms,
            age_ms,
            is_tried,
        },
    )
}

fn route(index: usize, case: &TargetCase, now: Instant) -> TargetRoute {
    let load = case.age_ms.map(|age_ms| LoadReport {
        in_flight: SlotCount::new(case.others + case.own),
        own_in_flight: SlotCount::new(case.own),
        limit: SlotCount::new(case.spec.limit),
        first_chunk_ms: f32::from(case.first_chunk_ms),
        reported_at: now - Duration::from_millis(age_ms),
    });
    TargetRoute {
        load,
        own_in_flight: Arc::new(AtomicU32::new(case.own)),
        ..target_route(index, case.spec)
    }
}

/// The time of a decision, far enough ahead that report ages can be subtracted.
fn base() -> Instant {
    Instant::now() + Duration::from_mins(1)
}

fn settings() -> SubsetSettings {
    SubsetSettings::new(&"entry-0".parse().expect("valid id"))
}

fn routes(kind: ServiceKind, cases: &[TargetCase], now: Instant) -> ServiceRoutes {
    let targets = cases.iter().enumerate();
    let targets = targets.map(|(index, case)| route(index, case, now));
    ServiceRoutes::new(kind, targets.collect(), &settings(), now)
}

fn input(prefix_hash: Option<u64>, now: Instant, tried: &[TargetId]) -> RouteInput<'_> {
    RouteInput {
        prefix_hash,
        deadline: now + Duration::from_millis(300),
        tried,
    }
}

/// Whether a target with a fresh report has a free slot and answers before the deadline.
fn is_fit(route: &TargetRoute) -> bool {
    let is_in_time = |load: LoadReport| load.in_flight < load.limit && load.first_chunk_ms < 300.0;
    route.load.is_some_and(is_in_time)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn choose_open_untried(
        seed in any::<u64>(),
        cases in prop::collection::vec(target_case(), 0..24),
        sizes in (0_usize..6, 0_usize..6, 0_usize..6),
        prefix_hash in prop::option::of(any::<u64>()),
    ) {
        fastrand::seed(seed);
        let now = base();
        let targets: Vec<TargetRoute> = cases
            .iter()
            .enumerate()
            .map(|(index, case)| route(index, case, now))
            .collect();
        let tried: Vec<TargetId> = cases
            .iter()
            .zip(&targets)
            .filter(|(case, _)| case.is_tried)
            .map(|(_, route)| route.target.clone())
            .collect();
        let settings = settings().with_sizes(sizes.0, sizes.1, sizes.2);
        let routes = ServiceRoutes::new(ServiceKind::Model, targets, &settings, now);
        let is_open = |stage| matches!(stage, TargetStage::Warm | TargetStage::Warming);
        let open = || cases.iter().filter(|case| is_open(case.spec.stage));
        let expected = match (open().count(), open().any(|case| !case.is_tried)) {
            (0, _) => Some(RouteError::NoOpenTarget),
            (_, false) => Some(RouteError::AllTried),
            (_, true) => None,
        };
        let policies: [&dyn RoutePolicy; 3] = [
            &LocalityPolicy::new(),
            &RoundRobinPolicy::default(),
            &LeastLoadedPolicy,
        ];
        for policy in policies {
            let chosen = policy.choose(&routes, &input(prefix_hash, now, &tried), now);
            prop_assert_eq!(chosen.as_ref().err().copied(), expected, "{:?}", policy);
            if let Ok(choice) = chosen {
                prop_assert!(is_open(choice.route.stage) && !tried.contains(&choice.route.target));
            }
        }
    }

    #[test]
    fn choose_room_before_full(
        seed in any::<u64>(),
        mut cases in prop::collection::vec(target_case(), 1..24),
        prefix_hash in prop::option::of(any::<u64>()),
    ) {
        fastrand::seed(seed);
        let now = base();
        for case in &mut cases {
            case.age_ms = Some(0);
        }
        let routes = routes(ServiceKind::Model, &cases, now);
        let has_room = |route: &TargetRoute| route.is_open() && is_fit(route);
        if !routes.targets().iter().any(has_room) {
            return Ok(());
        }
        let chosen = LocalityPolicy::new().choose(&routes, &input(prefix_hash, now, &[]), now);
        let chosen = chosen.expect("a target has room").route;
        prop_assert!(has_room(&chosen), "{chosen:?}");
    }

    #[test]
    fn choose_near_while_it_has_room(
        seed in any::<u64>(),
        near in prop::collection::vec(0_u32..8, 1..8),
        far in prop::collection::vec(0_u32..10, 1..8),
    ) {
        fastrand::seed(seed);
        let now = base();
        let cases: Vec<TargetCase> = near
            .iter()
            .map(|load| loaded(DomainDistance::SameRegion, *load))
            .chain(far.iter().map(|load| loaded(DomainDistance::OtherRegion, *load)))
            .collect();
        let routes = routes(ServiceKind::Model, &cases, now);
        let chosen = LocalityPolicy::new().choose(&routes, &input(None, now, &[]), now);
        prop_assert_eq!(chosen.expect("open").route.distance, DomainDistance::SameRegion);
    }
}

/// A target at `distance` with `others` of its ten slots used by other entries.
fn loaded(distance: DomainDistance, others: u32) -> TargetCase {
    TargetCase {
        spec: TargetSpec {
            distance,
            ..TargetSpec::new(10)
        },
        others,
        own: 0,
        first_chunk_ms: 100,
        age_ms: Some(0),
        is_tried: false,
    }
}

// A full target was chosen while the only one with room had just left the subset.
#[test]
fn choose_subset_full() {
    let now = base();
    let full = loaded(DomainDistance::OtherRegion, 10);
    let mut cases = vec![full; settings().other_region + 1];
    let targets = cases.len();
    let subset = routes(ServiceKind::Plain, &cases, now);
    let subset: Vec<_> = subset.subset().map(|route| route.target.clone()).collect();
    let index_of = |index: usize| target_route(index, full.spec).target;
    let outside = (0..targets).find(|index| !subset.contains(&index_of(*index)));
    let outside = outside.expect("one target is outside the subset");
    cases[outside].others = 0;
    let routes = routes(ServiceKind::Plain, &cases, now);
    let chosen = LocalityPolicy::new().choose(&routes, &input(None, now, &[]), now);
    assert_eq!(chosen.expect("open").route.target, index_of(outside));
}

/// Independent decisions per count.
const CHOICES: u32 = 20_000;

/// How often each target is chosen in [`CHOICES`] independent decisions.
fn choice_counts(routes: &ServiceRoutes, prefix_hash: Option<u64>, now: Instant) -> Vec<u32> {
    let policy = LocalityPolicy::new();
    let mut counts = vec![0; routes.targets().len()];
    for _ in 0..CHOICES {
        let choice = policy.choose(routes, &input(prefix_hash, now, &[]), now);
        let chosen = choice.expect("open").route.target;
        let is_chosen = |route: &TargetRoute| route.target == chosen;
        let index = routes.targets().iter().position(is_chosen).expect("known");
        counts[index] += 1;
    }
    counts
}

#[test]
fn choose_spills_to_next_distance() {
    fastrand::seed(1);
    let now = base();
    let near = [10, 10, 9].map(|load| loaded(DomainDistance::SameDomain, load));
    let far = [2, 3].map(|load| loaded(DomainDistance::SameRegion, load));
    let farthest = [0, 0].map(|load| loaded(DomainDistance::OtherRegion, load));
    let cases: Vec<TargetCase> = near.into_iter().chain(far).chain(farthest).collect();
    let counts = choice_counts(&routes(ServiceKind::Model, &cases, now), None, now);
    assert_eq!(counts[..3], [0, 0, 0], "{counts:?}");
    assert!(counts[3] > 0 && counts[4] > 0, "{counts:?}");
    assert_eq!(counts[5..], [0, 0], "{counts:?}");
}

#[test]
fn choose_near_unless_clearly_loaded() {
    fastrand::seed(5);
    let now = base();
    let far_choices = |far_load: u32| {
        let near = [9, 9].map(|load| loaded(DomainDistance::SameDomain, load));
        let far = [far_load; 2].map(|load| loaded(DomainDistance::SameRegion, load));
        let cases: Vec<TargetCase> = near.into_iter().chain(far).collect();
        let counts = choice_counts(&routes(ServiceKind::Model, &cases, now), None, now);
        counts[2] + counts[3]
    };
    assert_eq!(far_choices(8), 0);
    assert_eq!(far_choices(7), CHOICES);
}

#[test]
fn choose_share_by_limit() {
    fastrand::seed(2);
    let now = base();
    let limits = [1, 2, 16, 16, 8, 21];
    let cases = limits.map(|limit| {
        let mut case = loaded(DomainDistance::SameDomain, 0);
        case.spec.limit = limit;
        case
    });
    let counts = choice_counts(&routes(ServiceKind::Model, &cases, now), None, now);
    for (count, limit) in counts.iter().zip(limits) {
        let share = f64::from(*count) / f64::from(CHOICES);
        let fair = f64::from(limit) / 64.0;
        assert!((share / fair - 1.0).abs() < 0.15, "{counts:?}");
    }
}

#[test]
fn choose_affinity_target_until_loaded() {
    fastrand::seed(3);
    let now = base();
    let mut cases = vec![loaded(DomainDistance::SameDomain, 2); 8];
    let affinity_target = |cases: &[TargetCase], kind, prefix| {
        let counts = choice_counts(&routes(kind, cases, now), Some(prefix), now);
        let only_target = counts.iter().position(|count| *count == CHOICES);
        (only_target, counts)
    };
    let (found, _) = affinity_target(&cases, ServiceKind::Model, 77);
    let index = found.expect("one target for the prefix");
    let affinity_targets =
        (0..40).filter_map(|prefix| affinity_target(&cases, ServiceKind::Model, prefix).0);
    let affinity_targets: std::collections::BTreeSet<usize> = affinity_targets.collect();
    assert!(
        affinity_targets.len() >= 6,
        "prefixes map to too few targets: {affinity_targets:?}"
    );
    assert_eq!(affinity_target(&cases, ServiceKind::Plain, 77).0, None);

    cases[index].others = 6;
    let (found, counts) = affinity_target(&cases, ServiceKind::Model, 77);
    assert_eq!(found, None, "an overloaded target gives up its prefix");
    assert!(counts[index] < 3_000, "{counts:?}");
    cases[index].others = 2;
    cases[index].spec.stage = TargetStage::Leaving;
    let (found, _) = affinity_target(&cases, ServiceKind::Model, 77);
    assert!(found.is_some_and(|other| other != index));
}

#[test]
fn choose_slow_target_rarely_until_expiry() {
    fastrand::seed(4);
    let now = base();
    let mut cases = vec![loaded(DomainDistance::SameDomain, 0); 4];
    cases[0].first_chunk_ms = 290;
    cases[1..]
        .iter_mut()
        .for_each(|case| case.first_chunk_ms = 90);
    let slow = routes(ServiceKind::Model, &cases, now);
    for prefix_hash in [None, Some(1), Some(2), Some(3), Some(4), Some(5)] {
        let counts = choice_counts(&slow, prefix_hash, now);
        // Less than a tenth of its fair share.
        assert!(counts[0] < CHOICES / 4 / 10, "{counts:?}");
    }
    cases[0].age_ms = Some(11_000);
    let counts = choice_counts(&routes(ServiceKind::Model, &cases, now), None, now);
    // More than half of its fair share.
    assert!(counts[0] > CHOICES / 4 / 2, "{counts:?}");
}

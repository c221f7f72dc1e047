//! Packing of single layers, and popularity estimates.

use std::collections::BTreeSet;

use amaranthgw_groups::placement::{
    GroupShape, LayerMap, LayerPopularity, ReplicaShare, pack_layer, rank_loads, skew, static_layer,
};
use proptest::prelude::*;

/// Checks that every expert has a replica, at most one per rank, that its shares sum to the whole,
/// and that no rank exceeds its slots.
fn assert_valid(map: &LayerMap, shape: GroupShape) {
    let mut used = vec![0; usize::from(shape.ranks)];
    assert_eq!(map.experts.len(), usize::from(shape.experts));
    for replicas in &map.experts {
        let ranks: BTreeSet<_> = replicas.iter().map(|replica| replica.rank).collect();
        let whole: u32 = replicas
            .iter()
            .map(|replica| u32::from(replica.share.0))
            .sum();
        assert!(
            !replicas.is_empty() && ranks.len() == replicas.len(),
            "{replicas:?}"
        );
        assert_eq!(whole, u32::from(ReplicaShare::WHOLE.0));
        for rank in ranks {
            used[usize::from(rank.get())] += 1;
        }
    }
    assert!(used.iter().all(|used| *used <= shape.slots), "{used:?}");
}

fn shapes() -> impl Strategy<Value = (GroupShape, Vec<f64>)> {
    let shape =
        (1_u16..24, 1_u16..5, any::<prop::sample::Index>()).prop_map(|(ranks, slots, at)| {
            let experts =
                1 + u16::try_from(at.index(usize::from(ranks * slots))).expect("index fits u16");
            GroupShape {
                ranks,
                experts,
                slots,
            }
        });
    shape.prop_flat_map(|shape| {
        (
            Just(shape),
            prop::collection::vec(0.001_f64..1.0, usize::from(shape.experts)),
        )
    })
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn pack_layer_any_shape((shape, loads) in shapes()) {
        let map = pack_layer(shape, &loads);
        assert_valid(&map, shape);
        let static_loads = rank_loads(&static_layer(shape), &loads, usize::from(shape.ranks));
        let packed_loads = rank_loads(&map, &loads, usize::from(shape.ranks));
        prop_assert!(skew(&packed_loads) <= skew(&static_loads) + 0.01);
    }
}

#[test]
fn pack_layer_hot_expert() {
    let shape = GroupShape {
        ranks: 16,
        experts: 16,
        slots: 2,
    };
    let mut loads = vec![1.0; 16];
    loads[3] = 20.0;
    let map = pack_layer(shape, &loads);
    assert!(map.experts[3].len() >= 8, "{:?}", map.experts[3]);
    assert!(skew(&rank_loads(&map, &loads, 16)) < 1.05);
}

#[test]
fn observe_noise_then_jump() {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut popularity = LayerPopularity::new(2);
    let mut observe = |mean: u64, times: usize| {
        for _ in 0..times {
            let tokens = mean - mean / 20 + rng.u64(..mean / 10);
            popularity.observe(&[tokens, 1_000_000 - tokens]);
        }
        popularity.loads()[0]
    };
    let steady = observe(200_000, 100);
    assert!((steady - 0.2).abs() < 0.004, "{steady}");
    let jumped = observe(400_000, 4);
    assert!((jumped - 0.4).abs() < 0.04, "{jumped}");
}

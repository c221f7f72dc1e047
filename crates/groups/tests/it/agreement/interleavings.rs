//! Random and known interleavings of messages, orders and faults: no step may mix maps, and steps
//! must continue once the faults end.

use proptest::prelude::*;
use tokio::time::Instant;
use yare::parameterized;

use super::scheduler::{FaultPlan, GroupScheduler, Violation};

const ALL_FAULTS: FaultPlan = FaultPlan {
    ranks: 3,
    honours_fencing: false,
    loses_messages: true,
    restarts: true,
    replaces: true,
    store_outages: true,
    store_stays_down: false,
};

fn run(seed: u64, plan: FaultPlan) -> Result<(), Violation> {
    GroupScheduler::new(seed, plan, Instant::now()).run()
}

fn fault_plan() -> impl Strategy<Value = FaultPlan> {
    (2_u16..5, any::<[bool; 6]>()).prop_map(|(ranks, flags)| FaultPlan {
        ranks,
        honours_fencing: flags[0],
        loses_messages: flags[1],
        restarts: flags[2],
        replaces: flags[3],
        store_outages: flags[4],
        store_stays_down: flags[5],
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn run_any_faults(seed in any::<u64>(), plan in fault_plan()) {
        prop_assert_eq!(run(seed, plan), Ok(()));
    }

    #[test]
    fn run_all_faults(seed in any::<u64>(), ranks in 2_u16..5, honours_fencing in any::<bool>()) {
        let plan = FaultPlan { ranks, honours_fencing, ..ALL_FAULTS };
        prop_assert_eq!(run(seed, plan), Ok(()));
    }
}

const NO_FAULTS: FaultPlan = FaultPlan {
    loses_messages: false,
    restarts: false,
    replaces: false,
    store_outages: false,
    ..ALL_FAULTS
};

const REPLACED: FaultPlan = FaultPlan {
    replaces: true,
    ..NO_FAULTS
};

/// A run without faults, and regression seeds: interleavings that violated an invariant before a
/// fix, named after the event that led to the violation.
#[parameterized(
    run_known_without_faults = { 1, NO_FAULTS },
    run_known_open_repeated_after_engine_restart = {
        8_660_194_803_431_602_244, FaultPlan { ranks: 4, honours_fencing: true, ..REPLACED }
    },
    run_known_promise_of_lost_engine = {
        2_658_893_511_264_965_745, FaultPlan { ranks: 2, restarts: false, ..ALL_FAULTS }
    },
    run_known_order_to_new_engine = {
        330, FaultPlan { ranks: 2, honours_fencing: true, store_stays_down: true, ..REPLACED }
    },
    run_known_late_hold_raises_fencing = {
        5_245, FaultPlan { honours_fencing: true, store_outages: false, ..ALL_FAULTS }
    },
    run_known_late_switch_moves_step = {
        106_944, FaultPlan { ranks: 2, store_outages: true, store_stays_down: true, ..REPLACED }
    },
    run_known_every_rank_replaced = { 212_211, FaultPlan { ranks: 2, ..ALL_FAULTS } },
    run_known_late_switch_after_opening = {
        229_575, FaultPlan { ranks: 2, store_outages: true, ..REPLACED }
    },
)]
fn run_known(seed: u64, plan: FaultPlan) {
    assert_eq!(run(seed, plan), Ok(()));
}

//! Measures the time to plan placement changes, and the imbalance that they leave in a group.
//!
//! `cargo run --release -p amaranthgw-groups --example measure_rebalance`

use std::time::{Duration, Instant};

use amaranthgw_groups::rebalance::{GroupPlacement, PlannerInput, PlannerLimits, plan_change};

/// Seed of the random demand.
const SEED: u64 = 20_000;
/// Topic shifts per measurement, each with a new demand.
const SHIFTS: usize = 12;
/// Changes planned after each shift.
const CHANGES_PER_SHIFT: usize = 4;

/// Shape and planner limits of a group.
#[derive(Clone, Copy, Debug)]
struct GroupSize {
    ranks: usize,
    sets: usize,
    experts: usize,
    places: usize,
    new_per_set: usize,
    new_per_rank: usize,
}

fn main() {
    println!("| ranks | sets | experts | plans | median us | most us | before | first | last |");
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    let sizes = [
        (12, 3, 96, 11, 4, 4),
        (24, 16, 96, 5, 2, 4),
        (24, 16, 96, 5, 2, 20),
        (256, 1, 256, 2, 1, 4),
    ];
    for (ranks, sets, experts, places, new_per_set, new_per_rank) in sizes {
        measure(GroupSize {
            ranks,
            sets,
            experts,
            places,
            new_per_set,
            new_per_rank,
        });
    }
}

fn measure(size: GroupSize) {
    let mut rng = fastrand::Rng::with_seed(SEED);
    let limits = PlannerLimits {
        places: size.places,
        new_per_set: size.new_per_set,
        new_per_rank: size.new_per_rank,
        target_imbalance: 1.08,
        min_gain: 0.02,
    };
    let slowdown = vec![1.0; size.ranks];
    let mut placement = GroupPlacement::initial(size.sets, size.experts, size.ranks);
    let mut times: Vec<Duration> = Vec::new();
    let (mut before, mut first, mut last) = (0.0, 0.0, 0.0);
    for _ in 0..SHIFTS {
        let demand: Vec<Vec<f64>> = (0..size.sets)
            .map(|_| skewed(size.experts, &mut rng))
            .collect();
        before += placement.imbalance(&demand, &slowdown);
        for change in 0..CHANGES_PER_SHIFT {
            let input = PlannerInput {
                placement: &placement,
                demand: &demand,
                long_term: &demand,
                slowdown: &slowdown,
            };
            let began_at = Instant::now();
            let planned = plan_change(input, &limits);
            times.push(began_at.elapsed());
            if let Some(planned) = planned {
                placement = planned.placement;
            }
            if change == 0 {
                first += placement.imbalance(&demand, &slowdown);
            }
        }
        last += placement.imbalance(&demand, &slowdown);
    }
    times.sort();
    let shifts = f64::from(u32::try_from(SHIFTS).unwrap_or(u32::MAX));
    println!(
        "| {} | {} | {} | {} | {} | {} | {:.2} | {:.2} | {:.2} |",
        size.ranks,
        size.sets,
        size.experts,
        times.len(),
        times[times.len() / 2].as_micros(),
        times[times.len() - 1].as_micros(),
        before / shifts,
        first / shifts,
        last / shifts,
    );
}

/// Demand by a power law of an expert's popularity rank, so that few experts get much of it.
fn skewed(experts: usize, rng: &mut fastrand::Rng) -> Vec<f64> {
    let mut demand: Vec<f64> = (1..=experts)
        .map(|rank| f64::from(u32::try_from(rank).unwrap_or(u32::MAX)).powf(-0.92))
        .collect();
    rng.shuffle(&mut demand);
    demand
}

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

/// Shape of a group and limits of one placement change.
#[derive(Clone, Copy, Debug)]
struct GroupCase {
    ranks: usize,
    sets: usize,
    experts: usize,
    places: usize,
    new_per_set: usize,
    new_per_rank: usize,
}

fn main() {
    println!(
        "| ranks | sets | experts | plans | median plan, µs | longest plan, µs | imbalance before \
         | after first change | after last change |"
    );
    println!("| --- | --- | --- | --- | --- | --- | --- | --- | --- |");
    // Ranks, sets, experts, places, new experts per set, new experts per rank.
    let cases = [
        (12, 3, 96, 11, 4, 4),
        (24, 16, 96, 5, 2, 4),
        (24, 16, 96, 5, 2, 20),
        (32, 12, 128, 5, 2, 7),
        (64, 12, 256, 5, 2, 20),
        (256, 1, 256, 2, 1, 4),
    ];
    for (ranks, sets, experts, places, new_per_set, new_per_rank) in cases {
        measure(GroupCase {
            ranks,
            sets,
            experts,
            places,
            new_per_set,
            new_per_rank,
        });
    }
}

fn measure(case: GroupCase) {
    let mut rng = fastrand::Rng::with_seed(SEED);
    let limits = PlannerLimits {
        places: case.places,
        new_per_set: case.new_per_set,
        new_per_rank: case.new_per_rank,
        tolerated_imbalance: 1.08,
        min_gain: 0.02,
    };
    let slowdown = vec![1.0; case.ranks];
    let mut placement = GroupPlacement::initial(case.sets, case.experts, case.ranks);
    let mut times: Vec<Duration> = Vec::new();
    let (mut before, mut first, mut last) = (0.0, 0.0, 0.0);
    for _ in 0..SHIFTS {
        let demand: Vec<Vec<f64>> = (0..case.sets)
            .map(|_| skewed(case.experts, &mut rng))
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
        case.ranks,
        case.sets,
        case.experts,
        times.len(),
        times[times.len() / 2].as_micros(),
        times[times.len() - 1].as_micros(),
        before / shifts,
        first / shifts,
        last / shifts,
    );
}

/// Demand that falls by a power law from the most to the least popular expert, in random order.
fn skewed(experts: usize, rng: &mut fastrand::Rng) -> Vec<f64> {
    let mut demand: Vec<f64> = (1..=experts)
        .map(|position| f64::from(u32::try_from(position).unwrap_or(u32::MAX)).powf(-0.92))
        .collect();
    rng.shuffle(&mut demand);
    demand
}

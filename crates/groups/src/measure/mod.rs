//! Measurement of placement: step-time skew and cost of each policy over drift patterns.
//!
//! Everything runs on simulated steps: the time of a step is the load of its most loaded rank,
//! weights arrive at the rate of the weight store, and a switch costs the steps of its price.

mod drift;
mod plan_time;
mod report;
mod simulation;

pub use drift::DriftPattern;
pub use plan_time::{PlanTime, measure_plan_time};
pub use report::{MeasureReport, PolicyFigures};
pub use simulation::{SimulationSetting, simulate};

/// Runs every pattern with every policy and measures the time of a plan.
#[must_use]
pub fn run(seed: u64) -> MeasureReport {
    let setting = SimulationSetting::new();
    let patterns = DriftPattern::ALL;
    let figures = patterns
        .iter()
        .flat_map(|pattern| simulate(*pattern, &setting, seed));
    MeasureReport {
        seed,
        figures: figures.collect(),
        plan_times: measure_plan_time(seed),
    }
}

//! Simulated measurement of placement policies: step time skew and cost of each policy under each
//! drift pattern.
//!
//! The duration of a simulated step is the sum over its layers of the largest rank load of each,
//! weights arrive at the rate of the weight store, and a map switch stalls the group for the
//! configured number of steps.

mod drift;
mod plan_time;
mod report;
mod simulation;

pub use drift::DriftPattern;
pub use plan_time::{PlanTime, measure_plan_time};
pub use report::{MeasureReport, PolicyFigures};
pub use simulation::{SimulationSettings, simulate};

/// Simulates every pattern under every policy and measures the planning time.
#[must_use]
pub fn run(seed: u64) -> MeasureReport {
    let settings = SimulationSettings::new();
    let patterns = DriftPattern::ALL;
    let figures = patterns
        .iter()
        .flat_map(|pattern| simulate(*pattern, &settings, seed));
    MeasureReport {
        seed,
        figures: figures.collect(),
        plan_times: measure_plan_time(seed),
    }
}

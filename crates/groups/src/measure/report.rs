//! Figures of a measurement and their output as tables.

use super::plan_time::PlanTime;

/// Figures of one policy under one pattern.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PolicyFigures {
    /// Name of the pattern.
    pub pattern: &'static str,
    /// Name of the policy.
    pub policy: &'static str,
    /// Number of replicas loaded.
    pub loaded_replicas: u64,
    /// Bytes loaded from the weight store.
    pub bytes: u64,
    /// Number of map switches.
    pub switches: u64,
    /// Steps for which the group stalled.
    pub stalled_steps: u64,
    /// Seconds lost while weights were loading.
    pub lost_seconds: f64,
    /// Skew of each period of steps, and its duration in ticks as weight.
    skews: Vec<(f64, f64)>,
}

impl PolicyFigures {
    pub(super) fn new(pattern: &'static str, policy: &'static str) -> Self {
        Self {
            pattern,
            policy,
            ..Self::default()
        }
    }

    pub(super) fn add_steps(&mut self, skew: f64, weight: f64) {
        if weight > 0.0 {
            self.skews.push((skew, weight));
        }
    }

    /// Mean skew over all steps.
    #[must_use]
    pub fn mean_skew(&self) -> f64 {
        let total: f64 = self.skews.iter().map(|(_, weight)| weight).sum();
        self.skews
            .iter()
            .map(|(skew, weight)| skew * weight)
            .sum::<f64>()
            / total
    }

    /// Quantile of the skew: the smallest one that at least a fraction `quantile` of the steps do
    /// not exceed.
    #[must_use]
    pub fn skew_at(&self, quantile: f64) -> f64 {
        let mut sorted = self.skews.clone();
        sorted.sort_by(|a, b| a.0.total_cmp(&b.0));
        let total: f64 = sorted.iter().map(|(_, weight)| weight).sum();
        let mut passed = 0.0;
        for (skew, weight) in &sorted {
            passed += weight;
            if passed >= total * quantile {
                return *skew;
            }
        }
        sorted.last().map_or(1.0, |(skew, _)| *skew)
    }
}

impl std::fmt::Display for PolicyFigures {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        const GIGA: u64 = 1_000_000_000;
        write!(
            f,
            "| {} | {} | {:.3} | {:.3} | {:.3} | {} | {} | {} | {} | {:.0} |",
            self.pattern,
            self.policy,
            self.mean_skew(),
            self.skew_at(0.5),
            self.skew_at(0.99),
            self.loaded_replicas,
            self.bytes / GIGA,
            self.switches,
            self.stalled_steps,
            self.lost_seconds,
        )
    }
}

/// Figures of a whole measurement.
#[derive(Clone, Debug, PartialEq)]
pub struct MeasureReport {
    /// Seed of the run.
    pub seed: u64,
    /// Figures, by pattern and policy.
    pub figures: Vec<PolicyFigures>,
    /// Planning times, by group size and policy.
    pub plan_times: Vec<PlanTime>,
}

impl std::fmt::Display for MeasureReport {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        writeln!(f, "seed {}", self.seed)?;
        writeln!(
            f,
            "| pattern | policy | mean skew | skew p50 | skew p99 | replicas loaded | GB \
             | switches | stalled steps | seconds lost to loading |"
        )?;
        writeln!(
            f,
            "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"
        )?;
        for figures in &self.figures {
            writeln!(f, "{figures}")?;
        }
        writeln!(
            f,
            "\n| ranks | experts | policy | median plan time, µs per layer \
             | p99 plan time, µs per layer |"
        )?;
        writeln!(f, "| --- | --- | --- | --- | --- |")?;
        for time in &self.plan_times {
            writeln!(f, "{time}")?;
        }
        Ok(())
    }
}

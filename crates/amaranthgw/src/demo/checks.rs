//! Guarantees that the demo checks, from the callers' results and the targets' logs.

use std::collections::HashMap;

use crate::embedded::{EmbeddedFleet, LoadStats, Result};

/// Result of checking one guarantee.
#[derive(Clone, Debug)]
pub(super) struct GuaranteeCheck {
    /// The guarantee, as printed.
    guarantee: &'static str,
    /// Counts that the result is based on.
    observed: String,
    /// Whether the guarantee held.
    pub(super) holds: bool,
}

impl GuaranteeCheck {
    fn new(guarantee: &'static str, observed: String, holds: bool) -> Self {
        Self {
            guarantee,
            observed,
            holds,
        }
    }

    /// Prints the result, the guarantee and the counts.
    pub(super) fn print(&self) {
        let verdict = if self.holds { "held" } else { "BROKEN" };
        println!("{verdict:<7} {} ({})", self.guarantee, self.observed);
    }
}

/// Counts the requests dispatched to the targets of `domain`, from the targets' logs.
pub(super) async fn count_dispatches(fleet: &EmbeddedFleet, domain: &str) -> Result<usize> {
    let mut dispatches = 0;
    for target in fleet
        .targets()
        .iter()
        .filter(|target| target.domain == domain)
    {
        let log = target.log().await?;
        dispatches += log["runs"].as_array().map_or(0, Vec::len);
        dispatches += target.count_events("hand_over").await?;
    }
    Ok(dispatches)
}

/// Checks every guarantee.
///
/// `dispatches` are the requests dispatched in the moved domain so far: after it was taken out of
/// service, just before it was brought back, and at the end.
pub(super) async fn check_guarantees(
    fleet: &EmbeddedFleet,
    stats: &LoadStats,
    dispatches: [usize; 3],
) -> Result<Vec<GuaranteeCheck>> {
    let [when_out, before_return, after_return] = dispatches;
    let complete = format!("{} of {} calls", stats.on_time, stats.calls);
    let errors = format!("{} late, {} cut, {:?}", stats.late, stats.cut, stats.errors);
    let new_work = before_return - when_out;
    let returned = after_return - before_return;
    let double_runs = count_double_runs(fleet).await?;
    let crashes = count_crashes(fleet).await?;
    Ok(vec![
        GuaranteeCheck::new("no answer has wrong content", complete, stats.wrong == 0),
        GuaranteeCheck::new("every answer is on time", errors, stats.failures() == 0),
        GuaranteeCheck::new(
            "a failure domain that is out gets no new work",
            format!("{new_work} dispatches"),
            new_work == 0,
        ),
        GuaranteeCheck::new(
            "a failure domain that is back gets work",
            format!("{returned} dispatches"),
            returned > 0,
        ),
        GuaranteeCheck::new(
            "no booking runs twice",
            format!("{double_runs} ran more than once"),
            double_runs == 0,
        ),
        GuaranteeCheck::new(
            "no target is overloaded",
            format!("{crashes} crashed"),
            crashes == 0,
        ),
    ])
}

async fn count_double_runs(fleet: &EmbeddedFleet) -> Result<usize> {
    let mut runs: HashMap<String, usize> = HashMap::new();
    for target in fleet.targets() {
        let log = target.log().await?;
        for run in log["runs"].as_array().into_iter().flatten() {
            let body = run["body"].as_str().unwrap_or_default().to_owned();
            *runs.entry(body).or_default() += 1;
        }
    }
    Ok(runs.values().filter(|count| **count > 1).count())
}

async fn count_crashes(fleet: &EmbeddedFleet) -> Result<usize> {
    let mut crashes = 0;
    for target in fleet.targets() {
        crashes += target.count_events("fall_over").await?;
    }
    Ok(crashes)
}

//! The promises that the demo checks.

use std::collections::HashMap;

use crate::embedded::{EmbeddedFleet, LoadStats, Result};

/// One promise and whether it held.
#[derive(Clone, Debug)]
pub(super) struct PromiseCheck {
    /// The promise.
    promise: &'static str,
    /// What was seen.
    seen: String,
    /// Whether it held.
    pub(super) holds: bool,
}

impl PromiseCheck {
    fn new(promise: &'static str, seen: String, holds: bool) -> Self {
        Self {
            promise,
            seen,
            holds,
        }
    }

    /// Prints the promise and what was seen.
    pub(super) fn print(&self) {
        let verdict = if self.holds { "held" } else { "BROKEN" };
        println!("{verdict:<7} {} ({})", self.promise, self.seen);
    }
}

/// Hand-overs that the targets of `domain` have logged.
pub(super) async fn count_work(fleet: &EmbeddedFleet, domain: &str) -> Result<usize> {
    let mut work = 0;
    for target in fleet
        .targets()
        .iter()
        .filter(|target| target.domain == domain)
    {
        let log = target.log().await?;
        work += log["runs"].as_array().map_or(0, Vec::len);
        work += target.count_events("hand_over").await?;
    }
    Ok(work)
}

/// Judges the promises; `work` is the moved domain's work when it was out, at the end of its
/// absence, and after its return.
pub(super) async fn judge(
    fleet: &EmbeddedFleet,
    stats: &LoadStats,
    work: [usize; 3],
) -> Result<Vec<PromiseCheck>> {
    let [when_out, while_out, after_return] = work;
    let whole = format!("{} of {} calls", stats.on_time, stats.calls);
    let errors = format!("{} late, {} cut, {:?}", stats.late, stats.cut, stats.errors);
    let new_work = while_out - when_out;
    let returned = after_return - while_out;
    let twice = count_double_runs(fleet).await?;
    let overloads = count_overloads(fleet).await?;
    Ok(vec![
        PromiseCheck::new("answers are whole and right", whole, stats.wrong == 0),
        PromiseCheck::new("every answer is on time", errors, stats.failures() == 0),
        PromiseCheck::new(
            "a failure domain that is out gets no new work",
            format!("{new_work} hand-overs"),
            new_work == 0,
        ),
        PromiseCheck::new(
            "a failure domain that is back gets work",
            format!("{returned} hand-overs"),
            returned > 0,
        ),
        PromiseCheck::new(
            "no booking runs twice",
            format!("{twice} doubled"),
            twice == 0,
        ),
        PromiseCheck::new(
            "no target gets more than it bears",
            format!("{overloads} fell over"),
            overloads == 0,
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

async fn count_overloads(fleet: &EmbeddedFleet) -> Result<usize> {
    let mut overloads = 0;
    for target in fleet.targets() {
        overloads += target.count_events("fall_over").await?;
    }
    Ok(overloads)
}

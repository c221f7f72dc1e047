//! Rendering of a report as a text table or JSON.

use std::fmt::Write as _;

use super::{BurnError, BurnLine, BurnReport, Result, SourceState};

/// Renders the report as a table, sorted by descending burn rate of the short window.
#[must_use]
pub fn render_table(report: &BurnReport) -> String {
    let mut lines: Vec<&BurnLine> = report.lines.rows().collect();
    let short_burn = |line: &BurnLine| line.burn_rate(&line.short).unwrap_or(0.0);
    lines.sort_by(|a, b| {
        let by_burn = short_burn(b).total_cmp(&short_burn(a));
        by_burn.then_with(|| a.key.cmp(&b.key))
    });
    let mut text = header(report);
    for line in lines {
        text.push_str(&table_row(line));
    }
    text.push_str(&source_notes(report));
    text
}

/// Renders the report as JSON.
///
/// # Errors
///
/// Returns [`BurnError::Json`] where serialisation fails.
pub fn render_json(report: &BurnReport) -> Result<String> {
    serde_json::to_string_pretty(report).map_err(BurnError::Json)
}

fn header(report: &BurnReport) -> String {
    let (short, long) = (report.windows.short, report.windows.long);
    format!(
        "windows: short {short}, long {long}; counts of the long window\n\
         {:<16} {:<16} {:>9} {:>10} {:>9} {:>9} {:>8} {:>8} {:>8} {:>10} {:>8} {:>9} {:>8}\n",
        "plan",
        "service",
        "objective",
        "burn short",
        "burn long",
        "left",
        "on time",
        "late",
        "refused",
        "over limit",
        "failed",
        "unknown",
        "refunds",
    )
}

fn table_row(line: &BurnLine) -> String {
    let counts = &line.long;
    format!(
        "{:<16} {:<16} {:>9} {:>10} {:>9} {:>9} {:>8} {:>8} {:>8} {:>10} {:>8} {:>9} {:>8}\n",
        line.key.plan.as_str(),
        line.key.service.as_str(),
        percent(f64::from(line.level.objective.0) / 10_000.0),
        value_or_dash(line.burn_rate(&line.short), |rate| format!("{rate:.2}")),
        value_or_dash(line.burn_rate(counts), |rate| format!("{rate:.2}")),
        value_or_dash(line.budget_left(), percent),
        counts.on_time,
        counts.late,
        counts.refused,
        counts.over_limit,
        counts.failed,
        counts.outcome_unknown,
        line.refunds_owed(),
    )
}

fn source_notes(report: &BurnReport) -> String {
    let mut text = format!("entries: {}\n", report.sources.len());
    for (source, row) in report.sources.iter() {
        let note = match row.state {
            SourceState::Whole => continue,
            SourceState::Restarted { running } => format!("running for {running} only"),
            SourceState::Unreachable => "unreachable, its counts are missing".to_owned(),
        };
        let _infallible = writeln!(text, "partial: {source} {note}");
    }
    text
}

fn value_or_dash(value: Option<f64>, render: impl Fn(f64) -> String) -> String {
    value.map_or_else(|| "-".to_owned(), render)
}

fn percent(share: f64) -> String {
    format!("{:.2}%", share * 100.0)
}

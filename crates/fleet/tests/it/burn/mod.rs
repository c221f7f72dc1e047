//! Error-budget burn: sliding windows, merged reports and partial data.

use std::time::Duration;

use amaranthgw_core::{MilliSpan, VmId};
use amaranthgw_fleet::burn::{
    BurnError, BurnKey, BurnLine, BurnOutcome, BurnReport, BurnTable, BurnWindow, OutcomeCounts,
    ServiceLevel, SourceState, WindowShape, WindowSpans, render_json, render_table,
};
use amaranthgw_fleet::config::OnTimeObjective;
use proptest::prelude::*;
use tokio::time::Instant;
use yare::parameterized;

const LEVEL: ServiceLevel = ServiceLevel {
    objective: OnTimeObjective(9_900),
    refund_weight: 3,
};
const OUTCOMES: [BurnOutcome; 6] = [
    BurnOutcome::OnTime,
    BurnOutcome::Late,
    BurnOutcome::Refused,
    BurnOutcome::OverLimit,
    BurnOutcome::Failed,
    BurnOutcome::OutcomeUnknown,
];

fn outcome() -> impl Strategy<Value = BurnOutcome> {
    prop::sample::select(OUTCOMES.to_vec())
}

fn key(index: usize) -> BurnKey {
    BurnKey {
        plan: format!("plan-{index}").parse().expect("valid id"),
        service: "draft-llm".parse().expect("valid id"),
    }
}

fn entry(index: usize) -> VmId {
    format!("entry-{index}").parse().expect("valid id")
}

fn counts(outcomes: &[BurnOutcome]) -> OutcomeCounts {
    let mut counts = OutcomeCounts::default();
    for outcome in outcomes {
        counts.record(*outcome);
    }
    counts
}

/// Report of one entry: its answers by plan, or `None` for an unreachable entry.
fn report(index: usize, answers: Option<&[(usize, BurnOutcome)]>, made_at: u64) -> BurnReport {
    let Some(answers) = answers else {
        return BurnReport::new(made_at, WindowSpans::standard()).with_unreachable(entry(index));
    };
    let start = Instant::now();
    let now = start + WindowShape::LONG.span();
    let mut table = BurnTable::new(start);
    for (plan, outcome) in answers {
        table.record(key(*plan), LEVEL, *outcome, now);
    }
    table.report(&entry(index), made_at, now)
}

fn entry_report() -> impl Strategy<Value = BurnReport> {
    let answers = prop::collection::vec((0_usize..3, outcome()), 0..12);
    (0_usize..6, prop::option::of(answers), 0_u64..100)
        .prop_map(|(index, answers, made_at)| report(index, answers.as_deref(), made_at))
}

/// Merges in order and skips reports that are rejected because their entry was counted already.
fn merged<'a>(reports: impl IntoIterator<Item = &'a BurnReport>) -> BurnReport {
    let mut sum = BurnReport::new(u64::MAX, WindowSpans::standard());
    for report in reports {
        let before = sum.clone();
        if let Err(error) = sum.merge(report) {
            assert!(
                matches!(error, BurnError::DuplicateSource { .. }),
                "{error}"
            );
            assert_eq!(sum, before, "a rejected merge must change nothing");
        }
    }
    sum
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn counts_window_slides(
        buckets in 1_usize..8,
        steps in prop::collection::vec((0_u64..30_000, prop::option::of(outcome())), 1..60),
    ) {
        const BUCKET_MILLIS: u64 = 10_000;
        let start = Instant::now();
        let shape = WindowShape::new(Duration::from_millis(BUCKET_MILLIS), buckets);
        let mut window = BurnWindow::new(shape, start);
        let (mut millis, mut answers) = (0_u64, Vec::new());
        for (gap, outcome) in steps {
            millis += gap;
            let now = start + Duration::from_millis(millis);
            if let Some(outcome) = outcome {
                window.record(outcome, now);
                answers.push((millis, outcome));
            }
            let oldest = (millis / BUCKET_MILLIS + 1).saturating_sub(buckets as u64);
            let is_inside = |(at, _): &&(u64, BurnOutcome)| at / BUCKET_MILLIS >= oldest;
            let inside = answers.iter().filter(is_inside).map(|(_, outcome)| *outcome);
            prop_assert_eq!(window.counts(now), counts(&inside.collect::<Vec<_>>()));
        }
    }

    #[test]
    fn merge_any_order_and_grouping(
        reports in prop::collection::vec(entry_report(), 1..6),
        split in any::<prop::sample::Index>(),
    ) {
        let mut by_entry = std::collections::BTreeMap::new();
        for report in reports {
            let source = report.sources.ids().next().cloned().expect("one source");
            by_entry.insert(source, report);
        }
        let reports: Vec<BurnReport> = by_entry.into_values().collect();
        let sum = merged(&reports);
        prop_assert_eq!(&sum, &merged(reports.iter().rev()));
        let (first, second) = reports.split_at(split.index(reports.len()));
        prop_assert_eq!(&sum, &merged([&merged(first), &merged(second)]));
        prop_assert_eq!(&sum, &merged(reports.iter().chain(&reports)), "a report must not be counted twice");
        let is_missing = reports.iter().any(BurnReport::is_partial);
        prop_assert_eq!(sum.is_partial(), is_missing);
        let answers = |report: &BurnReport| -> u64 {
            report.lines.rows().map(|line| line.total.counted() + line.total.over_limit).sum()
        };
        prop_assert_eq!(answers(&sum), reports.iter().map(answers).sum::<u64>());
        let json = render_json(&sum).expect("serialises");
        prop_assert_eq!(sum, serde_json::from_str(&json).expect("deserialises"));
    }
}

#[test]
fn merge_unreachable_entry_answers_later() {
    let answers = [(0, BurnOutcome::OnTime)];
    let (missing, found) = (report(1, None, 5), report(1, Some(&answers), 9));
    let sums = [merged([&missing, &found]), merged([&found, &missing])];
    for sum in sums {
        assert!(!sum.is_partial(), "{sum:?}");
        assert_eq!(sum.lines.get(&key(0)).expect("a line").total.on_time, 1);
        assert_eq!(sum.made_at_unix_ms, 5);
    }
}

#[test]
fn merge_other_windows() {
    let mut sum = report(1, None, 5);
    let windows = WindowSpans {
        short: MilliSpan::from_duration(Duration::from_secs(1)),
        ..WindowSpans::standard()
    };
    let error = sum.merge(&BurnReport::new(5, windows));
    assert!(matches!(error, Err(BurnError::WindowMismatch)), "{error:?}");
}

#[parameterized(
    report_state_fresh_start = { Duration::from_secs(30), true },
    report_state_just_short = { Duration::from_hours(6) - Duration::from_millis(1), true },
    report_state_whole = { Duration::from_hours(6), false },
)]
fn report_state(running: Duration, is_partial: bool) {
    let start = Instant::now();
    let report = BurnTable::new(start).report(&entry(0), 0, start + running);
    assert_eq!(report.is_partial(), is_partial);
    let state = report.sources.get(&entry(0)).expect("the source").state;
    let running = MilliSpan::from_duration(running);
    assert_eq!(state == SourceState::Restarted { running }, is_partial);
}

#[parameterized(
    burn_rate_nothing_counted = { &[BurnOutcome::OverLimit], 9_900, None },
    burn_rate_all_on_time = { &[BurnOutcome::OnTime], 10_000, Some(0.0) },
    burn_rate_late = { &[BurnOutcome::OnTime, BurnOutcome::Late], 9_900, Some(50.0) },
    burn_rate_unknown_counts = { &[BurnOutcome::OutcomeUnknown], 9_000, Some(10.0) },
    burn_rate_refused_counts = { &[BurnOutcome::Refused, BurnOutcome::Failed], 9_000, Some(10.0) },
    burn_rate_no_budget = { &[BurnOutcome::Late], 10_000, Some(f64::INFINITY) },
)]
fn burn_rate(outcomes: &[BurnOutcome], objective: u16, expected: Option<f64>) {
    let objective = OnTimeObjective(objective);
    let line = BurnLine {
        key: key(0),
        level: ServiceLevel { objective, ..LEVEL },
        short: OutcomeCounts::default(),
        long: counts(outcomes),
        total: OutcomeCounts::default(),
    };
    let rate = line.burn_rate(&line.long);
    let is_near = |(rate, expected): (f64, f64)| {
        (rate - expected).abs() < 1e-9 || (rate.is_infinite() && expected.is_infinite())
    };
    assert_eq!(rate.is_some(), expected.is_some());
    assert!(
        rate.zip(expected).is_none_or(is_near),
        "{rate:?}, expected {expected:?}"
    );
}

#[test]
fn render_table_partial() {
    let answers = [
        (0, BurnOutcome::OnTime),
        (1, BurnOutcome::Late),
        (1, BurnOutcome::Late),
    ];
    let sum = merged([&report(1, Some(&answers), 5), &report(2, None, 5)]);
    assert!(sum.is_partial());
    let text = render_table(&sum);
    assert!(text.contains("partial: entry-2 unreachable"), "{text}");
    assert!(!text.contains("partial: entry-1"), "{text}");
    let line = sum.lines.get(&key(1)).expect("a line");
    assert_eq!((line.refunds_owed(), line.refund_cost()), (2, 6));
}

#[test]
fn retain_keeps_counted_rows() {
    let start = Instant::now();
    let mut table = BurnTable::new(start);
    table.record(key(0), LEVEL, BurnOutcome::Late, start);
    table.retain(|_| false, start + Duration::from_hours(5));
    assert_eq!(table.len(), 1, "a row stays while its refunds are owed");
    table.retain(|_| false, start + Duration::from_hours(6));
    assert!(table.is_empty());
}

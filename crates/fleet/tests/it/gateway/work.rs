//! Work of requests and targets.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{
    ByteCount, ByteRate, DomainId, GroupGeneration, MilliSpan, RequestRate, SlotCount, StepNumber,
    TokenCount,
};
use amaranthgw_fleet::gateway::{
    CallWork, ChoiceInput, ChoicePolicy, ColdShare, EarliestBeginPolicy, ExpertShape, GroupGauge,
    GroupStatus, LoadError, MAX_RANK_LOADS, RankLoad, RankLoadReport, ReportOutcome, ServiceRow,
    TargetCandidate, TargetGauge,
};
use tokio::time::Instant;
use yare::parameterized;

use super::entry;
use super::spread::engine;

fn load(waiting: u32, running: u32) -> RankLoad {
    RankLoad {
        waiting,
        running,
        memory_used: TokenCount::new(10_000),
        memory_total: TokenCount::new(310_000),
        pace_milli: 1_000,
    }
}

fn candidate(now: Instant) -> TargetCandidate {
    let mut record = entry("a", 1, 1).record;
    record.slots = SlotCount::new(10);
    TargetCandidate {
        record,
        gauge: Arc::new(TargetGauge::new(now)),
        cold_until: now,
        limited_until: now,
        group: None,
    }
}

const fn millis(time: u64) -> Duration {
    Duration::from_millis(time)
}

#[parameterized(
    known = { 2_000, 300, 33, 3_324 },
    usual = { 0, 0, 14, 1_471 },
    short = { 100, 10, 1, 103 },
)]
fn estimate(prompt: u64, answer: u64, read_ms: u128, slot_ms: u128) {
    let estimate = engine().estimate(TokenCount::new(prompt), TokenCount::new(answer));
    assert_eq!(estimate.read_time.as_millis(), read_ms);
    assert_eq!(estimate.slot_time.as_millis(), slot_ms);
}

// Even work at ranks of a group made the fullest one slow all others.
#[parameterized(
    rank_group = { true, 1_471 },
    single_engines = { false, 3_324 },
)]
fn work_estimate_slot_time(has_groups: bool, slot_ms: u128) {
    let shape = ExpertShape {
        sets: 2,
        experts: 12,
        places: 6,
        new_per_set: 2,
        expert_bytes: ByteCount::new(1),
        copy_rate: ByteRate::new(1),
        report_lag: MilliSpan::new(200),
    };
    let service = ServiceRow {
        cold_rate: RequestRate::new(0),
        cold_time: MilliSpan::new(0),
        experts: has_groups.then_some(shape),
        engine: Some(engine()),
    };
    let estimate = service.work_estimate(TokenCount::new(2_000), TokenCount::new(300));
    let estimate = estimate.expect("figures");
    assert_eq!(estimate.slot_time.as_millis(), slot_ms);
    assert_eq!(estimate.read_time.as_millis(), 33);
}

#[parameterized(
    newer = { 100, ReportOutcome::Applied },
    doubled = { 50, ReportOutcome::Outdated },
    older = { 20, ReportOutcome::Outdated },
)]
fn record_report_order(read_ms: u64, expected: ReportOutcome) {
    let start = Instant::now();
    let target = candidate(start);
    let (first, now) = (start + millis(50), start + millis(200));
    let outcome = target.gauge.record_report(&load(0, 4), first, now);
    assert_eq!(outcome, ReportOutcome::Applied);
    let outcome = target
        .gauge
        .record_report(&load(5, 10), start + millis(read_ms), now);
    assert_eq!(outcome, expected);
}

#[test]
fn record_report_too_old() {
    let start = Instant::now();
    let target = candidate(start);
    let now = start + millis(5_000);
    let outcome = target.gauge.record_report(&load(0, 4), start, now);
    assert_eq!(outcome, ReportOutcome::Outdated);
    assert_eq!(target.gauge.load_age(now), None);
}

#[test]
fn record_report_before_answer() {
    let start = Instant::now();
    let target = candidate(start);
    target.gauge.record_load(3, start + millis(100));
    let now = start + millis(200);
    let mut slow = load(20, 10);
    slow.pace_milli = 2_000;
    let outcome = target.gauge.record_report(&slow, start + millis(50), now);
    // Its pace is news, its load is not.
    assert_eq!(outcome, ReportOutcome::Applied);
    assert_eq!(target.gauge.load_age(now), Some(millis(100)));
    assert!(target.slowdown(&engine(), now) > 1.9);
    assert!(target.expected_begin(&engine(), &engine().usual(), now) < millis(200));
}

#[test]
fn expected_begin_counts_sends_since_report() {
    let start = Instant::now();
    let target = candidate(start);
    let usual = engine().usual();
    let begin = |now| target.expected_begin(&engine(), &usual, now);
    let send = |at| TargetGauge::begin_work(&target.gauge, usual.slot_time, start + millis(at));
    let _early = send(10);
    let _late: Vec<_> = (0..20).map(|_| send(300)).collect();
    let now = start + millis(400);
    let outcome = target
        .gauge
        .record_report(&load(0, 10), start + millis(100), now);
    assert_eq!(outcome, ReportOutcome::Applied);
    // Twenty requests in ten slots.
    assert!(begin(now) > usual.slot_time, "{:?}", begin(now));
    let read_at = start + millis(390);
    let outcome = target.gauge.record_report(&load(0, 3), read_at, now);
    assert_eq!(outcome, ReportOutcome::Applied);
    assert!(begin(now) < millis(100), "{:?}", begin(now));
}

#[test]
fn has_memory_counts_sends_since_report() {
    let start = Instant::now();
    let target = candidate(start);
    let usual = engine().usual_memory();
    let fits = |now| target.gauge.has_memory(TokenCount::new(20_000), usual, now);
    let mut full = load(0, 9);
    full.memory_used = TokenCount::new(258_000);
    let outcome = target
        .gauge
        .record_report(&full, start + millis(10), start + millis(20));
    assert_eq!(outcome, ReportOutcome::Applied);
    assert!(fits(start + millis(50)));
    let send = || TargetGauge::begin_work(&target.gauge, millis(1_000), start + millis(60));
    let _sent: Vec<_> = (0..10).map(|_| send()).collect();
    assert!(!fits(start + millis(70)));
    // Nothing is known any more.
    assert!(fits(start + millis(2_000)));
}

#[test]
fn slowdown_of_group_steps() {
    let start = Instant::now();
    let mut target = candidate(start);
    let group = Arc::new(GroupGauge::new("g-1".parse().expect("group"), start));
    target.group = Some(Arc::clone(&group));
    let record = |generation, step, at| {
        let (generation, step) = (GroupGeneration::new(generation), StepNumber::new(step));
        group.record_step(generation, step, start + millis(at));
    };
    record(1, 100, 0);
    assert_eq!(group.step_time(start), None);
    record(1, 110, 200);
    assert_eq!(group.step_time(start + millis(210)), Some(millis(20)));
    assert!(target.slowdown(&engine(), start + millis(210)) < 0.5);
    // Another generation counts its steps anew.
    record(2, 3, 400);
    assert_eq!(group.step_time(start + millis(410)), None);
    record(2, 5, 600);
    assert_eq!(group.step_time(start + millis(610)), Some(millis(100)));
    assert_eq!(group.step_time(start + millis(3_000)), None);
}

#[test]
fn group_status_of_earlier_agent() {
    let text = r#"{"group":"g-1","generation":1,"is_open":true,"step":5,"slow":[]}"#;
    let status: GroupStatus = serde_json::from_str(text).expect("status");
    assert_eq!(status.loads, Vec::new());
}

#[test]
fn rank_load_report_is_compact() {
    let report = RankLoadReport {
        rank: ([10, 128, 100, 100], 65_000).into(),
        load: load(20, 10),
        age: MilliSpan::new(400),
    };
    let text = serde_json::to_string(&report).expect("text");
    assert!(text.len() <= 60, "{text}");
    let read: RankLoadReport = serde_json::from_str(&text).expect("report");
    assert_eq!(read, report);
}

#[parameterized(
    usual = { 64, 1_000, 5, None },
    too_many = { MAX_RANK_LOADS + 1, 1_000, 5, Some(LoadError::TooMany) },
    no_pace = { 1, 0, 5, Some(LoadError::OutOfBounds) },
    too_busy = { 1, 1_000, u32::MAX, Some(LoadError::OutOfBounds) },
)]
fn check_all(ranks: usize, pace_milli: u32, waiting: u32, expected: Option<LoadError>) {
    let report = RankLoadReport {
        rank: ([10, 0, 0, 1], 80).into(),
        load: RankLoad {
            pace_milli,
            ..load(waiting, 10)
        },
        age: MilliSpan::new(0),
    };
    assert_eq!(
        RankLoadReport::check_all(&vec![report; ranks]).err(),
        expected
    );
}

fn choose(targets: &[TargetCandidate], now: Instant) -> Option<String> {
    let (figures, domain): (_, DomainId) = (engine(), "domain-a".parse().expect("domain"));
    let input = ChoiceInput {
        tried: &[],
        domain: &domain,
        cold_share: Some(ColdShare::new(RequestRate::new(28), 15)),
        work: Some(CallWork {
            engine: &figures,
            estimate: figures.usual(),
            gateways: 15,
            is_congested: true,
            parts: None,
        }),
        now,
    };
    let chosen = EarliestBeginPolicy::default().choose(targets, &input)?;
    Some(chosen.record.target.as_str().to_owned())
}

fn named(id: &str, running: u32, start: Instant) -> TargetCandidate {
    let mut target = candidate(start);
    target.record.target = id.parse().expect("target");
    let (read_at, now) = (start + millis(10), start + millis(20));
    let outcome = target.gauge.record_report(&load(0, running), read_at, now);
    assert_eq!(outcome, ReportOutcome::Applied);
    target
}

#[test]
fn choose_busy_never() {
    let start = Instant::now();
    let targets = [
        named("a", 10, start),
        named("b", 0, start),
        named("c", 10, start),
    ];
    // Others are thought to fill the idle target after a while.
    assert_eq!(choose(&targets, start + millis(30)).as_deref(), Some("b"));
}

#[test]
fn choose_without_load_not_flooded() {
    let start = Instant::now();
    let mut targets: Vec<_> = (0..9)
        .map(|it| named(&format!("t-{it}"), 8, start))
        .collect();
    let mut silent = candidate(start);
    silent.record.target = "silent".parse().expect("target");
    targets.push(silent);
    let now = start + millis(1_005);
    let chosen = (0..100).filter_map(|_| choose(&targets, now));
    let silent = chosen.filter(|it| it == "silent").count();
    assert!((1..25).contains(&silent), "{silent}");
}

#[test]
fn choose_cold_limited_passed_over() {
    let start = Instant::now();
    let mut targets = [named("a", 0, start), named("b", 5, start)];
    targets[0].limited_until = start + millis(5_000);
    let now = start + millis(30);
    let chosen: Vec<_> = (0..50).filter_map(|_| choose(&targets, now)).collect();
    assert_eq!(chosen.len(), 50);
    assert!(chosen.iter().filter(|it| *it == "a").count() <= 3);
}

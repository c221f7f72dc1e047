use std::time::Duration;

use amaranthgw_core::{SlotCount, StartMark};
use amaranthgw_fleet::gate::{
    AnswerEvidence, ColdCause, GateEvidence, GateRow, GateSettings, GateStage, GateTransition,
    LoadEvidence,
};
use tokio::time::Instant;
use yare::parameterized;

/// Gate and test clock; answers are recorded with a given load and time to the first chunk.
struct Fixture {
    row: GateRow,
    now: Instant,
}

impl Fixture {
    fn new() -> Self {
        let now = Instant::now();
        let row = GateRow::new(GateSettings::default(), now);
        let mut fixture = Self { row, now };
        fixture.report(StartMark::new(7));
        fixture
    }

    fn report(&mut self, mark: StartMark) -> GateTransition {
        self.now += Duration::from_secs(1);
        let load = LoadEvidence {
            mark,
            in_flight: SlotCount::new(0),
            sampled_at: self.now,
        };
        self.row.record(GateEvidence::Load(load), self.now)
    }

    fn answer(&mut self, in_flight: u32, first_chunk_ms: u64, is_in_time: bool) -> GateTransition {
        self.now += Duration::from_millis(100);
        let answer = AnswerEvidence {
            admitted_at: self.now,
            in_flight: SlotCount::new(in_flight),
            first_chunk: Duration::from_millis(first_chunk_ms),
            is_in_time,
        };
        self.row.record(GateEvidence::Answer(answer), self.now)
    }

    fn warm_up(&mut self) {
        while self.row.stage() != GateStage::Full {
            self.answer(32, 100, true);
            self.row.tick(self.now);
        }
        for _ in 0..40 {
            self.answer(32, 100, true);
            self.answer(4, 20, true);
        }
    }
}

#[parameterized(
    record_answer_steady = { [(32, 100); 4], false },
    record_answer_one_slow_in_four = { [(32, 100), (32, 3_000), (32, 100), (32, 100)], false },
    record_answer_less_load = { [(4, 20); 4], false },
    record_answer_back_to_high_load = { [(4, 20), (4, 20), (32, 100), (32, 100)], false },
    record_answer_step = { [(32, 400); 4], true },
    record_answer_step_at_low_load = { [(4, 80); 4], true },
)]
fn record_answer(pattern: [(u32, u64); 4], expect_cold: bool) {
    let mut fixture = Fixture::new();
    fixture.warm_up();
    let mut is_cold = false;
    for (in_flight, first_chunk_ms) in pattern.into_iter().cycle().take(24) {
        let transition = fixture.answer(in_flight, first_chunk_ms, true);
        // Only the variant is compared.
        let cause = ColdCause::LatencyStep { ratio_percent: 0 };
        is_cold |= matches!(transition, GateTransition::WentCold { cause: found, .. }
            if std::mem::discriminant(&found) == std::mem::discriminant(&cause));
    }
    assert_eq!(is_cold, expect_cold);
}

#[parameterized(
    record_mark_changed = { |fixture: &mut Fixture| fixture.report(StartMark::new(8)) },
    record_broken = { |fixture: &mut Fixture| fixture.row.record(GateEvidence::Broken, fixture.now) },
    record_returned = { |fixture: &mut Fixture| fixture.row.record(GateEvidence::Returned, fixture.now) },
    record_failures = { |fixture: &mut Fixture| {
        fixture.row.record(GateEvidence::Failed, fixture.now);
        fixture.row.record(GateEvidence::Failed, fixture.now);
        fixture.row.record(GateEvidence::Failed, fixture.now)
    } },
    tick_stale = { |fixture: &mut Fixture| fixture.row.tick(fixture.now + Duration::from_secs(601)) },
)]
fn record_goes_cold(event: fn(&mut Fixture) -> GateTransition) {
    let mut fixture = Fixture::new();
    fixture.warm_up();
    let transition = event(&mut fixture);
    assert!(
        matches!(transition, GateTransition::WentCold { .. }),
        "{transition:?}"
    );
    assert_eq!(fixture.row.limit(), fixture.row.settings().cold_limit);
    assert_eq!(fixture.row.stage(), GateStage::Cold);
}

#[test]
fn record_late_answers_lower_then_slow_growth() {
    let mut fixture = Fixture::new();
    fixture.warm_up();
    let transition = fixture.answer(32, 100, false);
    assert!(
        matches!(transition, GateTransition::Unchanged),
        "a single late answer among many must not lower the limit"
    );
    let mut late_answers = (0..20).map(|_| fixture.answer(32, 100, false));
    let lowered = late_answers.find(|transition| *transition != GateTransition::Unchanged);
    let Some(GateTransition::Lowered { from, to, .. }) = lowered else {
        panic!("{lowered:?}");
    };
    assert_eq!((from.get(), to.get()), (32, 22));
    let limit = fixture.row.limit();
    fixture.now += Duration::from_secs(3);
    fixture.row.tick(fixture.now);
    let raised = (0..40).map(|_| fixture.answer(32, 100, true));
    let first = raised
        .into_iter()
        .find(|transition| *transition != GateTransition::Unchanged);
    let Some(GateTransition::Raised { to, .. }) = first else {
        panic!("{first:?}");
    };
    assert_eq!(to.get(), limit.get() + 1);
}

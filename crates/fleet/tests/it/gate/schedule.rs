//! The target never runs more calls than the full limit, or than the cold limit right after a start,
//! under generated schedules of crashes, restarts, abandoned calls and late load reports.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{MilliSpan, SlotCount, StartMark};
use amaranthgw_fleet::gate::{
    AdmissionPermit, AdmissionSlots, AnswerEvidence, ConnectionFailureCount, GateEvidence, GateRow,
    GateSettings, GateStage, LoadEvidence, publish_gate,
};
use proptest::prelude::*;
use tokio::time::Instant;

const COLD: u32 = 2;
const FULL: u32 = 12;
const SETTLE_MS: u64 = 2_000;
const MARGIN_MS: u64 = 50;
const GROWTH_ANSWERS: u32 = 4;

#[derive(Clone, Debug)]
enum Event {
    Admit {
        /// Time until a load report counts the call.
        visible_after_ms: u64,
    },
    Finish(usize),
    DeliverAnswers,
    Abandon {
        call: usize,
        /// Time for which the target keeps running the abandoned call.
        runs_on_ms: u64,
    },
    TargetCrash,
    SidecarRestart,
    SampleLoad,
    DeliverLoad,
    Publish,
    Advance(u64),
}

fn any_event() -> impl Strategy<Value = Event> {
    prop_oneof![
        12 => (0..MARGIN_MS).prop_map(|visible_after_ms| Event::Admit { visible_after_ms }),
        8 => any::<usize>().prop_map(Event::Finish),
        4 => Just(Event::DeliverAnswers),
        2 => (any::<usize>(), 0..SETTLE_MS)
            .prop_map(|(call, runs_on_ms)| Event::Abandon { call, runs_on_ms }),
        1 => Just(Event::TargetCrash),
        1 => Just(Event::SidecarRestart),
        3 => Just(Event::SampleLoad),
        3 => Just(Event::DeliverLoad),
        6 => Just(Event::Publish),
        6 => (1..400_u64).prop_map(Event::Advance),
    ]
}

/// Call that runs at the target; `ends_at` is set once the caller has abandoned it.
struct TargetCall {
    permit: Option<AdmissionPermit>,
    admitted_at: Instant,
    visible_at: Instant,
    ends_at: Option<Instant>,
}

struct Harness {
    now: Instant,
    row: GateRow,
    slots: Arc<AdmissionSlots>,
    seen_failures: ConnectionFailureCount,
    mark: StartMark,
    calls: Vec<TargetCall>,
    sample: Option<LoadEvidence>,
    /// Answers not yet delivered to the control thread.
    undelivered: Vec<AnswerEvidence>,
    /// Answers since the last start of the target or the sidecar.
    answers: u32,
}

fn settings() -> GateSettings {
    GateSettings {
        cold_limit: SlotCount::new(COLD),
        full_limit: SlotCount::new(FULL),
        growth_window: MilliSpan::new(10),
        growth_answers: GROWTH_ANSWERS,
        settle_time: MilliSpan::new(SETTLE_MS),
        report_margin: MilliSpan::new(MARGIN_MS),
        ..GateSettings::default()
    }
}

impl Harness {
    fn new() -> Self {
        let now = Instant::now();
        Self {
            now,
            row: GateRow::new(settings(), now),
            slots: AdmissionSlots::new(SlotCount::new(COLD)),
            seen_failures: ConnectionFailureCount::default(),
            mark: StartMark::new(1),
            calls: Vec::new(),
            sample: None,
            undelivered: Vec::new(),
            answers: 0,
        }
    }

    fn apply(&mut self, event: &Event) -> std::result::Result<(), TestCaseError> {
        match *event {
            Event::Admit { visible_after_ms } => self.admit(visible_after_ms)?,
            Event::Finish(call) => self.finish(call),
            Event::DeliverAnswers => self.deliver_answers(),
            Event::Abandon { call, runs_on_ms } => self.abandon(call, runs_on_ms),
            Event::TargetCrash => self.crash_target(),
            Event::SidecarRestart => self.restart_sidecar(),
            Event::SampleLoad => self.sample_load(),
            Event::DeliverLoad => self.deliver_load(),
            Event::Publish => {
                publish_gate(
                    &mut self.row,
                    &self.slots,
                    &mut self.seen_failures,
                    self.now,
                );
            }
            Event::Advance(millis) => self.advance(millis),
        }
        Ok(())
    }

    fn admit(&mut self, visible_after_ms: u64) -> std::result::Result<(), TestCaseError> {
        let Ok(permit) = self.slots.try_admit() else {
            return Ok(());
        };
        self.calls.push(TargetCall {
            permit: Some(permit),
            admitted_at: self.now,
            visible_at: self.now + Duration::from_millis(visible_after_ms),
            ends_at: None,
        });
        let running = u32::try_from(self.calls.len()).expect("few calls");
        prop_assert!(
            running <= FULL,
            "{running} calls are running, full limit {FULL}"
        );
        if self.answers < GROWTH_ANSWERS {
            prop_assert!(
                running <= COLD,
                "{running} calls are running before {GROWTH_ANSWERS} answers, cold limit {COLD}"
            );
        }
        Ok(())
    }

    fn finish(&mut self, call: usize) {
        let Some(position) = self.awaited_call(call) else {
            return;
        };
        let call = self.calls.swap_remove(position);
        let permit = call.permit.expect("an awaited call has a permit");
        let answer = AnswerEvidence {
            admitted_at: call.admitted_at,
            in_flight: permit.in_flight(),
            first_chunk: Duration::from_millis(20),
            is_in_time: true,
        };
        permit.finish();
        self.answers += 1;
        self.undelivered.push(answer);
    }

    fn deliver_answers(&mut self) {
        for answer in self.undelivered.drain(..) {
            self.row.record(GateEvidence::Answer(answer), self.now);
        }
    }

    fn abandon(&mut self, call: usize, runs_on_ms: u64) {
        if let Some(position) = self.awaited_call(call) {
            let call = &mut self.calls[position];
            call.permit = None;
            call.ends_at = Some(self.now + Duration::from_millis(runs_on_ms));
        }
    }

    /// Restarts the target. The traffic thread sees its connections break before the new process
    /// can accept one.
    fn crash_target(&mut self) {
        self.slots.record_connection_failure();
        self.calls.clear();
        self.mark = self.mark.next();
        self.answers = 0;
    }

    fn restart_sidecar(&mut self) {
        self.slots = AdmissionSlots::new(SlotCount::new(COLD));
        self.row = GateRow::new(settings(), self.now);
        self.seen_failures = ConnectionFailureCount::default();
        self.sample = None;
        self.undelivered.clear();
        self.answers = 0;
        let ends_at = self.now + Duration::from_millis(SETTLE_MS - 1);
        for call in &mut self.calls {
            call.permit = None;
            call.ends_at = call.ends_at.or(Some(ends_at));
        }
    }

    fn sample_load(&mut self) {
        let visible = self.calls.iter().filter(|call| call.visible_at <= self.now);
        self.sample = Some(LoadEvidence {
            mark: self.mark,
            in_flight: SlotCount::new(u32::try_from(visible.count()).expect("few calls")),
            sampled_at: self.now,
        });
    }

    fn deliver_load(&mut self) {
        if let Some(load) = self.sample.take() {
            self.row.record(GateEvidence::Load(load), self.now);
        }
    }

    fn advance(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
        let now = self.now;
        self.calls
            .retain(|call| call.ends_at.is_none_or(|ends_at| now < ends_at));
    }

    fn awaited_call(&self, call: usize) -> Option<usize> {
        let awaited = self.calls.iter().enumerate();
        let awaited: Vec<_> = awaited.filter(|(_, call)| call.permit.is_some()).collect();
        let position = call.checked_rem(awaited.len())?;
        Some(awaited[position].0)
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(2_000) })]

    #[test]
    fn publish_gate_within_limits(events in prop::collection::vec(any_event(), 1..160)) {
        let mut harness = Harness::new();
        for event in &events {
            harness.apply(event)?;
        }
    }
}

#[test]
fn publish_gate_reaches_full() {
    let mut harness = Harness::new();
    for _ in 0..400 {
        for event in [Event::SampleLoad, Event::DeliverLoad, Event::Publish] {
            harness.apply(&event).expect("within limits");
        }
        while harness.slots.in_flight() < harness.slots.limit() {
            let visible_after_ms = 0;
            harness
                .apply(&Event::Admit { visible_after_ms })
                .expect("within limits");
        }
        for event in [Event::Finish(0), Event::DeliverAnswers, Event::Advance(20)] {
            harness.apply(&event).expect("within limits");
        }
    }
    assert_eq!(harness.row.stage(), GateStage::Full);
    assert_eq!(harness.slots.limit(), SlotCount::new(FULL));
    harness.crash_target();
    assert_eq!(harness.slots.limit(), SlotCount::new(COLD));
}

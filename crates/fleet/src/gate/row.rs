//! Limit decisions of one gate.

use amaranthgw_core::{SlotCount, StartMark};
use tokio::time::Instant;

use super::abandoned::AbandonedWork;
use super::latency::StepDetector;
use super::{
    AnswerEvidence, ColdCause, GateEvidence, GateSettings, GateStage, GateTransition, LoadEvidence,
    ShiftInputs,
};

/// State from which the sidecar decides the limit of one target.
#[derive(Clone, Debug)]
pub struct GateRow {
    settings: GateSettings,
    is_settling: bool,
    created_at: Instant,
    /// Limit before abandoned calls are subtracted.
    limit: SlotCount,
    /// From this limit on, each raise is by `growth_step` only: the limit after the last decrease for
    /// late answers, or the full limit if there was none since the last reset.
    slow_growth_from: SlotCount,
    mark: Option<StartMark>,
    changed_at: Instant,
    window_start: Instant,
    last_answer: Instant,
    in_time: u32,
    late: u32,
    answers: u32,
    failed: u32,
    peak_in_flight: SlotCount,
    detector: StepDetector,
    abandoned: AbandonedWork,
}

impl GateRow {
    /// Creates the gate of a target whose state is unknown.
    ///
    /// Admission begins once a load report shows what the target still runs, or after the settle
    /// time.
    #[must_use]
    pub fn new(settings: GateSettings, now: Instant) -> Self {
        Self {
            is_settling: true,
            created_at: now,
            limit: settings.cold_limit,
            slow_growth_from: settings.full_limit,
            mark: None,
            changed_at: now,
            window_start: now,
            last_answer: now,
            in_time: 0,
            late: 0,
            answers: 0,
            failed: 0,
            peak_in_flight: SlotCount::new(0),
            detector: StepDetector::new(settings.latency_step),
            abandoned: AbandonedWork::new(&settings),
            settings,
        }
    }

    /// Updates the limit from `evidence`.
    pub fn record(&mut self, evidence: GateEvidence, now: Instant) -> GateTransition {
        match evidence {
            GateEvidence::Answer(answer) => self.record_answer(&answer, now),
            GateEvidence::Failed => self.record_failure(now),
            GateEvidence::Broken => self.reset_to_cold(ColdCause::Broken, now),
            GateEvidence::Returned => self.reset_to_cold(ColdCause::Returned, now),
            GateEvidence::Load(load) => self.record_load(&load, now),
            GateEvidence::Abandoned(count) => {
                self.abandoned.add(count, now);
                GateTransition::Unchanged
            }
        }
    }

    /// Applies changes that depend on time alone: expiry, window ends, settling and staleness.
    pub fn tick(&mut self, now: Instant) -> GateTransition {
        self.abandoned.expire(now);
        if now >= self.window_start + self.settings.trouble_window.duration() {
            self.start_window(now);
        }
        if self.is_settling && now >= self.created_at + self.settings.settle_time.duration() {
            return self.open();
        }
        let is_stale = now >= self.last_answer + self.settings.stale_after.duration();
        if is_stale && self.limit > self.settings.cold_limit {
            return self.reset_to_cold(ColdCause::Stale, now);
        }
        GateTransition::Unchanged
    }

    /// Maximum requests in flight, reduced by the abandoned calls that may still run.
    #[must_use]
    pub fn limit(&self) -> SlotCount {
        if self.is_settling {
            return SlotCount::new(0);
        }
        let abandoned = self.abandoned.count().get();
        SlotCount::new(self.limit.get().saturating_sub(abandoned))
    }

    /// Slow-start stage of the target.
    #[must_use]
    pub fn stage(&self) -> GateStage {
        if self.is_settling {
            GateStage::Settling
        } else if self.limit <= self.settings.cold_limit {
            GateStage::Cold
        } else if self.limit < self.settings.full_limit {
            GateStage::Warming
        } else {
            GateStage::Full
        }
    }

    /// Upper bound on requests that the target may still run and that this sidecar does not wait for:
    /// abandoned calls and requests found running when admission began.
    #[must_use]
    pub fn abandoned(&self) -> SlotCount {
        self.abandoned.count()
    }

    /// Returns the settings of this gate.
    #[must_use]
    pub fn settings(&self) -> &GateSettings {
        &self.settings
    }

    fn record_answer(&mut self, answer: &AnswerEvidence, now: Instant) -> GateTransition {
        self.last_answer = now;
        if answer.admitted_at <= self.changed_at {
            return GateTransition::Unchanged;
        }
        self.peak_in_flight = self.peak_in_flight.max(answer.in_flight);
        self.answers = self.answers.saturating_add(1);
        if let Some(ratio_percent) = self.detector.observe(answer.in_flight, answer.first_chunk) {
            return self.reset_to_cold(ColdCause::LatencyStep { ratio_percent }, now);
        }
        if answer.is_in_time {
            self.in_time = self.in_time.saturating_add(1);
            return self.raise_if_supported(now);
        }
        self.late = self.late.saturating_add(1);
        self.lower_if_late(now)
    }

    fn record_failure(&mut self, now: Instant) -> GateTransition {
        self.failed = self.failed.saturating_add(1);
        if self.failed < self.settings.failed_answers {
            return GateTransition::Unchanged;
        }
        let failed = self.failed;
        self.reset_to_cold(ColdCause::Failures { failed }, now)
    }

    fn record_load(&mut self, load: &LoadEvidence, now: Instant) -> GateTransition {
        self.abandoned.apply_report(load);
        let previous = self.mark.replace(load.mark);
        if let Some(from) = previous.filter(|mark| *mark != load.mark) {
            let to = load.mark;
            return self.reset_to_cold(ColdCause::MarkChanged { from, to }, now);
        }
        // An earlier sample may lack requests that were dispatched before the sidecar started.
        let first_complete_sample_at = self.created_at + self.settings.report_margin.duration();
        if self.is_settling && first_complete_sample_at <= load.sampled_at {
            self.abandoned.add(load.in_flight, load.sampled_at);
            return self.open();
        }
        GateTransition::Unchanged
    }

    fn open(&mut self) -> GateTransition {
        self.is_settling = false;
        let leftover = self.abandoned.count();
        GateTransition::Opened { leftover }
    }

    fn raise_if_supported(&mut self, now: Instant) -> GateTransition {
        let settings = &self.settings;
        let needed_answers = settings.growth_answers.max(self.limit.get());
        let needed_use = settings.growth_use.of(self.limit);
        let is_supported = self.in_time >= needed_answers
            && self.peak_in_flight >= needed_use
            && self.late == 0
            && self.failed == 0
            && now >= self.changed_at + settings.growth_window.duration();
        if !is_supported || self.limit >= settings.full_limit {
            return GateTransition::Unchanged;
        }
        let (from, inputs) = (self.limit, self.inputs());
        let to = self.raised_limit();
        self.change_limit(to, now);
        GateTransition::Raised { from, to, inputs }
    }

    fn raised_limit(&self) -> SlotCount {
        let step = self.settings.growth_step.get();
        let growth = if self.limit < self.slow_growth_from {
            step.max(self.settings.growth.of(self.limit).get())
        } else {
            step
        };
        let raised = self.limit.get().saturating_add(growth);
        SlotCount::new(raised.min(self.settings.full_limit.get()))
    }

    fn lower_if_late(&mut self, now: Instant) -> GateTransition {
        let late_percent = self.late.saturating_mul(100) / self.answers.max(1);
        let is_late = late_percent > self.settings.late_share.get();
        if !is_late || self.limit <= self.settings.cold_limit {
            return GateTransition::Unchanged;
        }
        let (from, inputs) = (self.limit, self.inputs());
        let to = self.settings.late_keep.of(from);
        let to = to.max(self.settings.cold_limit);
        self.slow_growth_from = to;
        self.change_limit(to, now);
        GateTransition::Lowered { from, to, inputs }
    }

    fn reset_to_cold(&mut self, cause: ColdCause, now: Instant) -> GateTransition {
        let (from, inputs) = (self.limit, self.inputs());
        let to = self.settings.cold_limit;
        self.slow_growth_from = self.settings.full_limit;
        self.detector.reset();
        self.change_limit(to, now);
        GateTransition::WentCold {
            from,
            to,
            cause,
            inputs,
        }
    }

    fn change_limit(&mut self, limit: SlotCount, now: Instant) {
        self.limit = limit;
        self.changed_at = now;
        self.in_time = 0;
        self.peak_in_flight = SlotCount::new(0);
        self.start_window(now);
    }

    fn start_window(&mut self, now: Instant) {
        self.window_start = now;
        self.late = 0;
        self.answers = 0;
        self.failed = 0;
    }

    fn inputs(&self) -> ShiftInputs {
        ShiftInputs {
            in_time: self.in_time,
            late: self.late,
            failed: self.failed,
            peak_in_flight: self.peak_in_flight,
            leftover: self.abandoned.count(),
        }
    }
}

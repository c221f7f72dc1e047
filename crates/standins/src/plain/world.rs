//! State of the plain service: its log of runs and its load.

use amaranthgw_core::{AttemptNumber, MilliSpan, RequestId, SlotCount, StartMark};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

use super::PlainSettings;
use crate::marks::new_start_mark;

/// One run of a call, as logged.
#[derive(Clone, Debug, Serialize)]
pub(super) struct RunRow {
    pub(super) request: RequestId,
    pub(super) attempt: AttemptNumber,
    pub(super) body: CompactString,
}

/// Body of `POST /admin/plain`; omitted fields change nothing.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct PlainControl {
    call_ms: Option<u64>,
    /// Number of following calls that run but get no answer.
    lose_answers: Option<u64>,
}

/// Answer to `GET /v1/load`.
#[derive(Debug, Serialize)]
pub(super) struct PlainLoad {
    start_mark: StartMark,
    in_flight: SlotCount,
    queued: SlotCount,
    #[serde(rename = "age_ms", with = "crate::units::millis")]
    age: MilliSpan,
}

/// State of the plain service.
#[derive(Debug)]
pub(super) struct PlainWorld {
    settings: PlainSettings,
    start_mark: StartMark,
    lose_answers: u64,
    log: PlainLog,
}

/// Runs in order of arrival, with the current and the highest number in flight.
#[derive(Debug, Default, Serialize)]
pub(super) struct PlainLog {
    runs: Vec<RunRow>,
    in_flight: SlotCount,
    max_in_flight: SlotCount,
}

impl PlainWorld {
    pub(super) fn new(settings: PlainSettings) -> Self {
        Self {
            settings,
            start_mark: new_start_mark(),
            lose_answers: 0,
            log: PlainLog::default(),
        }
    }

    /// Logs a run and returns the delay before its answer.
    pub(super) fn begin_run(&mut self, row: RunRow) -> MilliSpan {
        self.log.runs.push(row);
        self.log.in_flight = self.log.in_flight.next();
        self.log.max_in_flight = self.log.in_flight.max(self.log.max_in_flight);
        self.settings.call_span
    }

    /// Records that a call is no longer in flight.
    pub(super) fn end_run(&mut self) {
        self.log.in_flight = SlotCount::new(self.log.in_flight.get().saturating_sub(1));
    }

    /// Whether to lose the next answer; counts down the answers to lose.
    pub(super) fn take_lost_answer(&mut self) -> bool {
        let is_lost = self.lose_answers > 0;
        self.lose_answers = self.lose_answers.saturating_sub(1);
        is_lost
    }

    pub(super) fn control(&mut self, control: &PlainControl) {
        if let Some(millis) = control.call_ms {
            self.settings.call_span = MilliSpan::new(millis);
        }
        if let Some(count) = control.lose_answers {
            self.lose_answers = count;
        }
    }

    /// Answer to `GET /v1/load`.
    pub(super) fn load(&self) -> PlainLoad {
        PlainLoad {
            start_mark: self.start_mark,
            in_flight: self.log.in_flight,
            queued: SlotCount::default(),
            age: MilliSpan::default(),
        }
    }

    pub(super) fn log(&self) -> &PlainLog {
        &self.log
    }
}

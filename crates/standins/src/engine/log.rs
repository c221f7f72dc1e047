//! What happened to an engine, for tests.

use amaranthgw_core::{AttemptNumber, FencingNumber, MilliSpan, RequestId, SlotCount, StartMark};
use serde::Serialize;
use serde_json::Value;
use tokio::time::Instant;

/// One event.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(super) enum EngineEvent {
    /// A request was handed over, whether the engine bears it or not.
    HandOver {
        request: RequestId,
        attempt: AttemptNumber,
        in_flight: SlotCount,
    },
    /// Every chunk and the end were sent.
    End {
        request: RequestId,
        attempt: AttemptNumber,
    },
    /// The caller closed the connection first.
    Gone {
        request: RequestId,
        attempt: AttemptNumber,
    },
    /// A call asked to stop the request.
    Cancel { request: RequestId, stopped: usize },
    /// The engine fell over and broke this many streams.
    FallOver { in_flight: SlotCount },
    /// The engine started again.
    Start { start_mark: StartMark },
    /// The engine turned cold.
    TurnCold,
    /// An order arrived.
    Order {
        fencing: FencingNumber,
        accepted: bool,
        order: Value,
    },
}

#[derive(Debug, Serialize)]
struct LogRow {
    #[serde(rename = "at_ms", with = "crate::millis")]
    at: MilliSpan,
    #[serde(flatten)]
    event: EngineEvent,
}

/// Events in order, and the largest loads seen.
#[derive(Debug, Serialize)]
pub(super) struct EngineLog {
    #[serde(skip)]
    started_at: Instant,
    events: Vec<LogRow>,
    max_in_flight_cold: SlotCount,
    max_in_flight_warm: SlotCount,
}

impl EngineLog {
    pub(super) fn new(started_at: Instant) -> Self {
        Self {
            started_at,
            events: Vec::new(),
            max_in_flight_cold: SlotCount::default(),
            max_in_flight_warm: SlotCount::default(),
        }
    }

    pub(super) fn add(&mut self, now: Instant, event: EngineEvent) {
        let at = MilliSpan::with_duration(now.saturating_duration_since(self.started_at));
        self.events.push(LogRow { at, event });
    }

    /// Notes that `in_flight` requests are in flight.
    pub(super) fn note_load(&mut self, is_warm: bool, in_flight: SlotCount) {
        let largest = if is_warm {
            &mut self.max_in_flight_warm
        } else {
            &mut self.max_in_flight_cold
        };
        *largest = in_flight.max(*largest);
    }
}

//! Event log of an engine, read by tests through `GET /admin/log`.

use amaranthgw_core::{AttemptNumber, FencingNumber, MilliSpan, RequestId, SlotCount, StartMark};
use serde::Serialize;
use serde_json::Value;
use tokio::time::Instant;

/// Event of an engine.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub(super) enum EngineEvent {
    /// A request was dispatched to the engine, also one that makes it crash.
    HandOver {
        request: RequestId,
        attempt: AttemptNumber,
        in_flight: SlotCount,
    },
    /// All chunks and the end marker were sent.
    End {
        request: RequestId,
        attempt: AttemptNumber,
    },
    /// The caller closed the connection before the end of the answer.
    Gone {
        request: RequestId,
        attempt: AttemptNumber,
    },
    /// A call cancelled the request's runs.
    Cancel { request: RequestId, stopped: usize },
    /// The engine crashed and cut off the streams of this many requests.
    FallOver { in_flight: SlotCount },
    /// The engine started or restarted.
    Start { start_mark: StartMark },
    /// A test control made the engine cold.
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
    #[serde(rename = "at_ms", with = "crate::units::millis")]
    at: MilliSpan,
    #[serde(flatten)]
    event: EngineEvent,
}

/// Events in order, with the highest numbers of requests in flight.
#[derive(Debug, Serialize)]
pub(super) struct EngineLog {
    #[serde(skip)]
    started_at: Instant,
    events: Vec<LogRow>,
    /// Counts a request that crashes the engine too, as does `max_in_flight_warm`.
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
        let at = MilliSpan::from_duration(now.saturating_duration_since(self.started_at));
        self.events.push(LogRow { at, event });
    }

    /// Updates the highest number of requests in flight while cold or warm.
    pub(super) fn record_load(&mut self, is_warm: bool, in_flight: SlotCount) {
        let largest = if is_warm {
            &mut self.max_in_flight_warm
        } else {
            &mut self.max_in_flight_cold
        };
        *largest = in_flight.max(*largest);
    }
}

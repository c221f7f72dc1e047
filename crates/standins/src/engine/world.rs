//! State of an engine and the operations of its calls.

use std::time::Duration;

use amaranthgw_core::{EntityTable, MilliSpan, RequestId, SlotCount};
use tokio::time::Instant;

use super::EngineSettings;
use super::log::{EngineEvent, EngineLog};
use super::messages::{EngineControl, LoadReply, LoadReport};
use super::prefixes::PrefixCache;
use super::process::EngineProcess;
use super::rows::{RunNumber, RunRow};
use super::stream::StreamPart;
use crate::lagged::LaggedValue;
use crate::orders::{FencingGuard, OrderBody};

/// Result of an operation that needs a running engine.
pub(super) type Result<T> = std::result::Result<T, EngineDown>;

/// The engine has crashed and is not restarted yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineDown;

impl std::fmt::Display for EngineDown {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the engine has crashed and not restarted yet")
    }
}

impl std::error::Error for EngineDown {}

/// State of an engine.
#[derive(Debug)]
pub(super) struct EngineWorld {
    pub(super) settings: EngineSettings,
    pub(super) runs: EntityTable<RunNumber, RunRow>,
    pub(super) process: EngineProcess,
    pub(super) fencing: FencingGuard,
    pub(super) log: EngineLog,
    /// End of the restart after a crash.
    pub(super) down_until: Option<Instant>,
    /// Whether the engine crashed and its connections are still to be closed.
    pub(super) has_crashed: bool,
    /// When the next decoding step is due.
    pub(super) next_step: Instant,
    pub(super) prefixes: PrefixCache,
    load: LaggedValue<LoadReport>,
    /// Number of the last dispatched request.
    pub(super) last_run: RunNumber,
}

impl EngineWorld {
    pub(super) fn new(settings: EngineSettings, now: Instant) -> Self {
        let lag = settings.load_lag.duration();
        let mut world = Self {
            runs: EntityTable::new(),
            process: EngineProcess::new(),
            fencing: FencingGuard::new(settings.honour_fencing),
            log: EngineLog::new(now),
            down_until: None,
            has_crashed: false,
            next_step: now,
            prefixes: PrefixCache::new(settings.prefix_slots),
            load: LaggedValue::new(lag, LoadReport::default()),
            last_run: RunNumber::default(),
            settings,
        };
        world.start_process(now);
        world
    }

    /// Ends all runs of `request` early and returns their number.
    pub(super) fn cancel(&mut self, request: RequestId, now: Instant) -> Result<usize> {
        self.ensure_up(now)?;
        let before = self.runs.len();
        self.runs.retain(|_, row| {
            let is_kept = row.request != request;
            if !is_kept {
                let _is_closed = row.stream.send(StreamPart::Close);
            }
            is_kept
        });
        let stopped = before - self.runs.len();
        self.log.add(now, EngineEvent::Cancel { request, stopped });
        self.report_load(now);
        Ok(stopped)
    }

    /// The load as it was [`EngineSettings::load_lag`] ago.
    pub(super) fn load(&mut self, now: Instant) -> Result<LoadReply> {
        self.ensure_up(now)?;
        Ok(LoadReply {
            report: self.load.get(now).clone(),
            age: MilliSpan::from_duration(self.load.lag()),
        })
    }

    /// Logs an order and returns whether its fencing token was accepted.
    pub(super) fn record_order(&mut self, body: OrderBody, now: Instant) -> Result<bool> {
        self.ensure_up(now)?;
        let accepted = self.fencing.accepts(body.fencing);
        let event = EngineEvent::Order {
            fencing: body.fencing,
            accepted,
            order: body.order,
        };
        self.log.add(now, event);
        Ok(accepted)
    }

    /// Applies a test control.
    pub(super) fn control(&mut self, control: &EngineControl, now: Instant) {
        if let Some(millis) = control.token_ms {
            self.settings.token_span = MilliSpan::new(millis);
        }
        if let Some(honours) = control.honour_fencing {
            self.fencing.set_honours(honours);
        }
        if let Some(millis) = control.stall_ms {
            self.next_step = now + Duration::from_millis(millis);
        }
        if control.cold {
            self.process.turn_cold();
            self.log.add(now, EngineEvent::TurnCold);
        }
        if control.fall_over {
            self.crash(now);
        }
    }

    /// Crashes the engine: cuts off all streams and starts the restart time.
    pub(super) fn crash(&mut self, now: Instant) {
        let in_flight = self.in_flight();
        self.log.add(now, EngineEvent::FallOver { in_flight });
        self.runs.clear();
        self.has_crashed = true;
        self.down_until = Some(now + self.settings.restart_span.duration());
    }

    /// Restarts the engine if the restart time after a crash has passed.
    pub(super) fn restart_if_due(&mut self, now: Instant) {
        if self.down_until.is_some_and(|until| until <= now) {
            self.down_until = None;
            self.process = EngineProcess::new();
            self.start_process(now);
        }
    }

    /// Removes the runs whose callers have disconnected.
    pub(super) fn remove_abandoned(&mut self, now: Instant) {
        let log = &mut self.log;
        self.runs.retain(|_, row| {
            let is_disconnected = row.stream.is_closed();
            if is_disconnected {
                let (request, attempt) = (row.request.clone(), row.attempt);
                log.add(now, EngineEvent::Gone { request, attempt });
            }
            !is_disconnected
        });
    }

    /// Records the current load, which becomes visible after the load lag.
    pub(super) fn report_load(&mut self, now: Instant) {
        let queued = self.runs.rows().filter(|row| !row.is_decoding).count();
        let report = LoadReport {
            start_mark: self.process.start_mark,
            in_flight: self.in_flight(),
            queued: slot_count(queued),
            prefixes: self.prefixes.hashes(),
        };
        self.load.set(now, report);
    }

    /// When the systems have to run next; `None` while idle.
    pub(super) fn next_due(&self) -> Option<Instant> {
        if self.down_until.is_some() {
            return self.down_until;
        }
        (!self.runs.is_empty()).then_some(self.next_step)
    }

    /// Restarts the engine if due; fails while it is down.
    pub(super) fn ensure_up(&mut self, now: Instant) -> Result<()> {
        self.restart_if_due(now);
        if self.down_until.is_some() {
            return Err(EngineDown);
        }
        Ok(())
    }

    fn start_process(&mut self, now: Instant) {
        let start_mark = self.process.start_mark;
        let first_report = LoadReport {
            start_mark,
            ..LoadReport::default()
        };
        self.load = LaggedValue::new(self.settings.load_lag.duration(), first_report);
        self.prefixes.clear();
        self.fencing.reset();
        self.log.add(now, EngineEvent::Start { start_mark });
    }

    /// Number of requests in flight.
    pub(super) fn in_flight(&self) -> SlotCount {
        slot_count(self.runs.len())
    }
}

fn slot_count(count: usize) -> SlotCount {
    SlotCount::new(u32::try_from(count).unwrap_or(u32::MAX))
}

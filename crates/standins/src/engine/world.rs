//! Tables of an engine and what its calls do to them.

use std::time::Duration;

use amaranthgw_core::{EntityTable, MilliSpan, RequestId, SlotCount};
use tokio::time::Instant;

use super::EngineSettings;
use super::life::EngineLife;
use super::log::{EngineEvent, EngineLog};
use super::messages::{EngineControl, LoadReply, LoadReport};
use super::prefixes::PrefixCache;
use super::rows::{RunNumber, RunRow};
use super::stream::StreamPart;
use crate::lagged::LaggedValue;
use crate::orders::{FencingGuard, OrderBody};

/// Result of a hand-over.
pub(super) type Result<T> = std::result::Result<T, EngineDown>;

/// The engine has fallen over and answers nothing.
#[derive(Clone, Copy, Debug)]
pub(super) struct EngineDown;

impl std::fmt::Display for EngineDown {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the engine has fallen over")
    }
}

impl std::error::Error for EngineDown {}

/// State of an engine.
#[derive(Debug)]
pub(super) struct EngineWorld {
    pub(super) settings: EngineSettings,
    pub(super) runs: EntityTable<RunNumber, RunRow>,
    pub(super) life: EngineLife,
    pub(super) fencing: FencingGuard,
    pub(super) log: EngineLog,
    /// End of the restart after a fall-over.
    pub(super) down_until: Option<Instant>,
    /// Whether the engine fell over and its connections are still to be cut.
    pub(super) has_fallen: bool,
    /// When the next decoding step is due.
    pub(super) next_step: Instant,
    pub(super) prefixes: PrefixCache,
    load: LaggedValue<LoadReport>,
    pub(super) last_run: RunNumber,
}

impl EngineWorld {
    pub(super) fn new(settings: EngineSettings, now: Instant) -> Self {
        let lag = settings.load_lag.duration();
        let mut world = Self {
            runs: EntityTable::new(),
            life: EngineLife::new(),
            fencing: FencingGuard::new(settings.honour_fencing),
            log: EngineLog::new(now),
            down_until: None,
            has_fallen: false,
            next_step: now,
            prefixes: PrefixCache::new(settings.prefix_slots),
            load: LaggedValue::new(lag, LoadReport::default()),
            last_run: RunNumber::default(),
            settings,
        };
        world.begin_life(now);
        world
    }

    /// Stops every run of `request` and returns their number.
    pub(super) fn cancel(&mut self, request: RequestId, now: Instant) -> Result<usize> {
        self.check_up(now)?;
        let before = self.runs.len();
        self.runs.retain(|_, row| {
            let is_kept = row.request != request;
            if !is_kept {
                let _is_gone = row.stream.send(StreamPart::Close);
            }
            is_kept
        });
        let stopped = before - self.runs.len();
        self.log.add(now, EngineEvent::Cancel { request, stopped });
        self.report_load(now);
        Ok(stopped)
    }

    /// The load as it was one lag ago.
    pub(super) fn load(&mut self, now: Instant) -> Result<LoadReply> {
        self.check_up(now)?;
        Ok(LoadReply {
            report: self.load.get(now).clone(),
            age: MilliSpan::with_duration(self.load.lag()),
        })
    }

    /// Takes an order and returns whether it is carried out.
    pub(super) fn take_order(&mut self, body: OrderBody, now: Instant) -> Result<bool> {
        self.check_up(now)?;
        let accepted = self.fencing.accepts(body.fencing);
        let event = EngineEvent::Order {
            fencing: body.fencing,
            accepted,
            order: body.order,
        };
        self.log.add(now, event);
        Ok(accepted)
    }

    /// Carries out a test control.
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
            self.life.turn_cold();
            self.log.add(now, EngineEvent::TurnCold);
        }
        if control.fall_over {
            self.fall_over(now);
        }
    }

    /// Breaks every stream and goes down for the time of a restart.
    pub(super) fn fall_over(&mut self, now: Instant) {
        let in_flight = self.in_flight();
        self.log.add(now, EngineEvent::FallOver { in_flight });
        self.runs.clear();
        self.has_fallen = true;
        self.down_until = Some(now + self.settings.restart_span.duration());
    }

    /// Starts again where the time of the restart has passed.
    pub(super) fn restart_if_due(&mut self, now: Instant) {
        if self.down_until.is_some_and(|until| until <= now) {
            self.down_until = None;
            self.life = EngineLife::new();
            self.begin_life(now);
        }
    }

    /// Removes the runs whose callers have gone.
    pub(super) fn reap(&mut self, now: Instant) {
        let log = &mut self.log;
        self.runs.retain(|_, row| {
            let is_gone = row.stream.is_closed();
            if is_gone {
                let (request, attempt) = (row.request.clone(), row.attempt);
                log.add(now, EngineEvent::Gone { request, attempt });
            }
            !is_gone
        });
    }

    /// Puts the present load into the lagging report.
    pub(super) fn report_load(&mut self, now: Instant) {
        let queued = self.runs.rows().filter(|row| !row.is_decoding).count();
        let report = LoadReport {
            start_mark: self.life.start_mark,
            in_flight: self.in_flight(),
            queued: slot_count(queued),
            prefixes: self.prefixes.hashes(),
        };
        self.load.set(now, report);
    }

    /// When the engine next has something to do by itself.
    pub(super) fn next_due(&self) -> Option<Instant> {
        if self.down_until.is_some() {
            return self.down_until;
        }
        (!self.runs.is_empty()).then_some(self.next_step)
    }

    /// Fails while the engine is down.
    pub(super) fn check_up(&mut self, now: Instant) -> Result<()> {
        self.restart_if_due(now);
        if self.down_until.is_some() {
            return Err(EngineDown);
        }
        Ok(())
    }

    fn begin_life(&mut self, now: Instant) {
        let start_mark = self.life.start_mark;
        let first_report = LoadReport {
            start_mark,
            ..LoadReport::default()
        };
        self.load = LaggedValue::new(self.settings.load_lag.duration(), first_report);
        self.prefixes.clear();
        self.fencing.forget();
        self.log.add(now, EngineEvent::Start { start_mark });
    }

    /// Requests in flight.
    pub(super) fn in_flight(&self) -> SlotCount {
        slot_count(self.runs.len())
    }
}

fn slot_count(count: usize) -> SlotCount {
    SlotCount::new(u32::try_from(count).unwrap_or(u32::MAX))
}

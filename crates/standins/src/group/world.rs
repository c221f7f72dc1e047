//! State of a rank group and the operations of its calls.

use std::time::Duration;

use amaranthgw_core::{EntityTable, MilliSpan, RankId, StartMark, StepNumber};
use tokio::time::Instant;

use super::log::GroupLog;
use super::maps::ExpertKey;
use super::messages::{ExpertsReply, GroupControl, GroupReply, RankControl, RankOrder};
use super::rows::RankRow;
use super::settings::GroupSettings;
use crate::orders::{FencingGuard, OrderBody};

/// One expert to load on a rank.
///
/// If the rank has another start mark when the load ends, it has restarted and the result is
/// dropped.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadTask {
    pub(super) rank: RankId,
    pub(super) start_mark: StartMark,
    pub(super) key: ExpertKey,
}

/// State of a rank group.
#[derive(Debug)]
pub(super) struct GroupWorld {
    pub(super) settings: GroupSettings,
    pub(super) ranks: EntityTable<RankId, RankRow>,
    pub(super) log: GroupLog,
    /// Earliest start of the next step.
    pub(super) next_step: Instant,
    /// Whether a step began in the current tick.
    pub(super) step_began: bool,
}

impl GroupWorld {
    pub(super) fn new(settings: GroupSettings, now: Instant) -> Self {
        let fencing = FencingGuard::new(settings.honour_fencing);
        let ranks = (0..settings.ranks).map(RankId::new);
        Self {
            ranks: ranks
                .map(|rank| (rank, RankRow::new(fencing, now)))
                .collect(),
            log: GroupLog::default(),
            next_step: now,
            step_began: false,
            settings,
        }
    }

    /// Number of the next step to begin.
    pub(super) fn upcoming_step(&self) -> StepNumber {
        let last = self.ranks.rows().map(|row| row.step).max();
        last.unwrap_or_default().next()
    }

    /// The row of `rank`, or `None` while it restarts.
    pub(super) fn running(&mut self, rank: RankId, now: Instant) -> Option<&mut RankRow> {
        self.ranks.get_mut(&rank).filter(|row| row.is_up(now))
    }

    /// Answer of `rank` to `GET /v1/group`.
    pub(super) fn state(&mut self, rank: RankId, now: Instant) -> Option<GroupReply> {
        let layers = self.settings.layers;
        let row = self.running(rank, now)?;
        Some(GroupReply {
            rank,
            start_mark: row.start_mark,
            generation: row.generation,
            step: row.step,
            version: row.version,
            loaded: row.maps.loaded(layers),
            pending: row.pending,
            step_span: row.compute_span,
        })
    }

    /// Answer of `rank` to `GET /v1/experts`: its experts' tokens in its last step.
    pub(super) fn experts(&mut self, rank: RankId, now: Instant) -> Option<ExpertsReply> {
        let row = self.running(rank, now)?;
        Some(ExpertsReply {
            step: row.step,
            layers: row.tokens.clone(),
        })
    }

    /// Applies a test control to one rank.
    pub(super) fn control_rank(&mut self, rank: RankId, control: &RankControl, now: Instant) {
        let Some(row) = self.ranks.get_mut(&rank) else {
            return;
        };
        if control.restart {
            row.restart(now + Duration::from_millis(control.restart_ms));
        }
        if let Some(millis) = control.stall_ms {
            row.stalled_until = now + Duration::from_millis(millis);
        }
        if let Some(honours) = control.honour_fencing {
            row.fencing.set_honours(honours);
        }
    }

    /// Applies a test control to the group.
    pub(super) fn control(&mut self, control: GroupControl) {
        let settings = &mut self.settings;
        if let Some(popularity) = control.popularity {
            settings.popularity = popularity;
        }
        if let Some(tokens) = control.tokens_per_step {
            settings.tokens_per_step = tokens;
        }
        if let Some(millis) = control.step_ms {
            settings.step_span = MilliSpan::new(millis);
        }
    }

    /// The next missing expert of `rank`, if any.
    pub(super) fn next_load(&mut self, rank: RankId, now: Instant) -> Option<LoadTask> {
        let row = self.running(rank, now)?;
        Some(LoadTask {
            rank,
            start_mark: row.start_mark,
            key: row.maps.next_missing()?,
        })
    }

    /// Records a finished load; the rank holds the expert unless it has restarted meanwhile.
    pub(super) fn finish_load(&mut self, task: LoadTask) {
        self.log.record_load();
        let row = self.ranks.get_mut(&task.rank);
        if let Some(row) = row.filter(|row| row.start_mark == task.start_mark) {
            row.maps.add_held(task.key);
        }
    }
}

impl RankRow {
    /// Applies an order and returns whether its fencing token was accepted.
    pub(super) fn apply_order(&mut self, body: OrderBody<RankOrder>) -> bool {
        if !self.fencing.accepts(body.fencing) {
            return false;
        }
        match body.order {
            RankOrder::LoadExperts(load) => {
                self.maps.set_share(load.version, load.layer, load.experts);
            }
            RankOrder::SwitchMap(switch) => self.pending = Some(switch),
        }
        true
    }
}

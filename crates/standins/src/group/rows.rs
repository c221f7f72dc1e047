//! Rows of the ranks.

use std::time::Duration;

use amaranthgw_core::{GroupGeneration, MapVersion, StartMark, StepNumber};
use tokio::time::Instant;

use super::maps::RankMaps;
use super::messages::{LayerTokens, MapSwitch};
use crate::marks::new_start_mark;
use crate::orders::FencingGuard;

/// One rank.
#[derive(Debug)]
pub(super) struct RankRow {
    pub(super) start_mark: StartMark,
    pub(super) fencing: FencingGuard,
    pub(super) generation: GroupGeneration,
    /// The last step in which the rank took part.
    pub(super) step: StepNumber,
    /// The map version in use; 0 before the first.
    pub(super) version: MapVersion,
    pub(super) pending: Option<MapSwitch>,
    pub(super) maps: RankMaps,
    /// The rank's own time in its last step.
    pub(super) step_span: Duration,
    /// The load of its experts in its last step.
    pub(super) tokens: Vec<LayerTokens>,
    /// End of a stall.
    pub(super) stalled_until: Instant,
    /// End of a restart.
    pub(super) down_until: Instant,
}

impl RankRow {
    pub(super) fn new(fencing: FencingGuard, now: Instant) -> Self {
        Self {
            start_mark: new_start_mark(),
            fencing,
            generation: GroupGeneration::default(),
            step: StepNumber::default(),
            version: MapVersion::default(),
            pending: None,
            maps: RankMaps::default(),
            step_span: Duration::ZERO,
            tokens: Vec::new(),
            stalled_until: now,
            down_until: now,
        }
    }

    /// Forgets everything and is down until `until`.
    pub(super) fn restart(&mut self, until: Instant) {
        let mut fencing = self.fencing;
        fencing.forget();
        *self = Self::new(fencing, until);
    }

    /// Whether the rank process runs.
    pub(super) fn is_up(&self, now: Instant) -> bool {
        self.down_until <= now
    }

    /// Whether the rank answers for the next step; a map in use has been loaded.
    pub(super) fn answers_step(&self, now: Instant, layers: u16) -> bool {
        let is_running = self.is_up(now) && self.stalled_until <= now;
        is_running && self.maps.is_loaded(self.version, layers)
    }

    /// Takes the pending switch if its step is not after `step`.
    pub(super) fn switch_by(&mut self, step: StepNumber) {
        let Some(switch) = self.pending.take_if(|switch| switch.step <= step) else {
            return;
        };
        self.generation = switch.generation;
        self.version = switch.version;
        self.maps.forget_before(switch.version);
    }
}

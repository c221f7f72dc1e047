//! State of one rank.

use std::time::Duration;

use amaranthgw_core::{GroupGeneration, MapVersion, StartMark, StepNumber};
use tokio::time::Instant;

use super::maps::RankMaps;
use super::messages::{LayerTokens, MapSwitch};
use crate::marks::new_start_mark;
use crate::orders::FencingGuard;

/// Row of a rank.
#[derive(Debug)]
pub(super) struct RankRow {
    pub(super) start_mark: StartMark,
    pub(super) fencing: FencingGuard,
    pub(super) generation: GroupGeneration,
    /// Last step in which the rank took part.
    pub(super) step: StepNumber,
    /// Map version in use; 0 before the first switch.
    pub(super) version: MapVersion,
    pub(super) pending: Option<MapSwitch>,
    pub(super) maps: RankMaps,
    /// The rank's compute time in its last step.
    pub(super) compute_span: Duration,
    /// Tokens of the rank's experts in its last step.
    pub(super) tokens: Vec<LayerTokens>,
    /// End of the last stall; the rank's start if there was none.
    pub(super) stalled_until: Instant,
    /// End of the last restart; the group's start if there was none.
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
            compute_span: Duration::ZERO,
            tokens: Vec::new(),
            stalled_until: now,
            down_until: now,
        }
    }

    /// Resets all state but the fencing setting; the rank is down until `until`.
    pub(super) fn restart(&mut self, until: Instant) {
        let mut fencing = self.fencing;
        fencing.reset();
        *self = Self::new(fencing, until);
    }

    /// Whether the rank process is running.
    pub(super) fn is_up(&self, now: Instant) -> bool {
        self.down_until <= now
    }

    /// Whether the rank can take part in the next step: up, not stalled, and with the experts of its
    /// map loaded.
    pub(super) fn is_ready(&self, now: Instant, layers: u16) -> bool {
        let is_running = self.is_up(now) && self.stalled_until <= now;
        is_running && self.maps.is_loaded(self.version, layers)
    }

    /// Applies the pending switch if it is due by `step`.
    pub(super) fn apply_switch(&mut self, step: StepNumber) {
        let Some(switch) = self.pending.take_if(|switch| switch.step <= step) else {
            return;
        };
        self.generation = switch.generation;
        self.version = switch.version;
        self.maps.remove_before(switch.version);
    }
}

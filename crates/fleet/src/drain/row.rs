//! Drain state machine of a target or entry.

use amaranthgw_core::{MilliSpan, SlotCount};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{DrainCause, DrainRefusal, DrainSignals, Result, VmListing};

/// Settings of a drain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DrainSettings {
    /// Time for which a draining entry still accepts requests, until the load balancer of the
    /// platform stops sending them. Zero for a target.
    pub linger: MilliSpan,
    /// Time for which the platform must list a VM as live without a gap before it returns to
    /// service.
    pub vm_return: MilliSpan,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self {
            linger: MilliSpan::new(0),
            vm_return: MilliSpan::new(10_000),
        }
    }
}

/// Drain stage of a target or entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainStage {
    /// In service.
    Serving,
    /// Finishes running requests and accepts no new ones, except during the linger time of an
    /// entry.
    Leaving {
        /// Cause of the drain.
        cause: DrainCause,
        /// Start of the drain.
        since: Instant,
    },
    /// No request is running.
    Drained {
        /// Cause of the drain.
        cause: DrainCause,
    },
}

/// Effect of one observation of the signals, as reported for logging.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainTransition {
    /// The stage is unchanged.
    Unchanged,
    /// The drain began.
    Began {
        /// Cause of the drain.
        cause: DrainCause,
        /// Running requests, which are allowed to finish.
        in_flight: SlotCount,
    },
    /// The last running request ended.
    Emptied {
        /// Cause of the drain.
        cause: DrainCause,
    },
    /// Returned to service; the gate has to restart from the cold limit.
    Returned,
}

/// Drain state of an entry, or of a target as one end of its calls sees it.
#[derive(Clone, Debug)]
pub struct DrainRow {
    settings: DrainSettings,
    signals: DrainSignals,
    vm_live_since: Option<Instant>,
    /// Whether the VM counts as leaving: from its first listing as leaving until it was live for
    /// `vm_return` without a gap.
    is_vm_leaving: bool,
    stage: DrainStage,
}

impl DrainRow {
    /// Creates the row from an initial observation of the signals.
    #[must_use]
    pub fn new(settings: DrainSettings, signals: DrainSignals, now: Instant) -> Self {
        let mut row = Self {
            settings,
            signals,
            vm_live_since: None,
            is_vm_leaving: false,
            stage: DrainStage::Serving,
        };
        row.observe_vm(signals.vm, now);
        row.advance_stage(SlotCount::new(0), now);
        row
    }

    /// Updates the stage from `signals` while `in_flight` requests are running.
    ///
    /// A configuration older than one observed before is ignored.
    pub fn observe(
        &mut self,
        signals: DrainSignals,
        in_flight: SlotCount,
        now: Instant,
    ) -> DrainTransition {
        if signals.change >= self.signals.change {
            self.signals.change = signals.change;
            self.signals.is_out = signals.is_out;
        }
        self.signals.is_terminating |= signals.is_terminating;
        self.observe_vm(signals.vm, now);
        self.advance_stage(in_flight, now)
    }

    /// Checks whether new work may be accepted or sent.
    ///
    /// # Errors
    ///
    /// Returns a [`DrainRefusal`] while draining or drained, except during the linger time; the
    /// request has not run.
    pub fn admit(&self, now: Instant) -> Result<()> {
        let (DrainStage::Leaving { cause, .. } | DrainStage::Drained { cause }) = self.stage else {
            return Ok(());
        };
        if self.is_lingering(now) {
            return Ok(());
        }
        let change = self.signals.change;
        Err(DrainRefusal { cause, change })
    }

    /// Whether the load balancer of the platform may send requests here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.stage == DrainStage::Serving
    }

    /// Current drain stage.
    #[must_use]
    pub fn stage(&self) -> DrainStage {
        self.stage
    }

    fn observe_vm(&mut self, vm: VmListing, now: Instant) {
        match vm {
            VmListing::Leaving => {
                self.is_vm_leaving = true;
                self.vm_live_since = None;
            }
            VmListing::Live => {
                let since = *self.vm_live_since.get_or_insert(now);
                let is_back = now >= since + self.settings.vm_return.duration();
                self.is_vm_leaving &= !is_back;
            }
            VmListing::Unknown => self.vm_live_since = None,
        }
    }

    fn cause(&self) -> Option<DrainCause> {
        if self.signals.is_terminating {
            Some(DrainCause::Terminating)
        } else if self.signals.is_out {
            Some(DrainCause::TakenOut)
        } else if self.is_vm_leaving {
            Some(DrainCause::VmLeaving)
        } else {
            None
        }
    }

    fn advance_stage(&mut self, in_flight: SlotCount, now: Instant) -> DrainTransition {
        let Some(cause) = self.cause() else {
            return self.return_to_service();
        };
        match self.stage {
            DrainStage::Serving => {
                let since = now;
                self.stage = DrainStage::Leaving { cause, since };
                DrainTransition::Began { cause, in_flight }
            }
            DrainStage::Leaving { .. } if in_flight.get() == 0 && !self.is_lingering(now) => {
                self.stage = DrainStage::Drained { cause };
                DrainTransition::Emptied { cause }
            }
            DrainStage::Leaving { since, .. } => {
                self.stage = DrainStage::Leaving { cause, since };
                DrainTransition::Unchanged
            }
            DrainStage::Drained { .. } => {
                self.stage = DrainStage::Drained { cause };
                DrainTransition::Unchanged
            }
        }
    }

    fn return_to_service(&mut self) -> DrainTransition {
        let previous = std::mem::replace(&mut self.stage, DrainStage::Serving);
        if previous == DrainStage::Serving {
            DrainTransition::Unchanged
        } else {
            DrainTransition::Returned
        }
    }

    fn is_lingering(&self, now: Instant) -> bool {
        let DrainStage::Leaving { since, .. } = self.stage else {
            return false;
        };
        now < since + self.settings.linger.duration()
    }
}

//! The stages of something that leaves and returns.

use amaranthgw_core::{MilliSpan, SlotCount};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{DrainCause, DrainRefusal, DrainSignals, Result, VmState};

/// Settings of a drain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct DrainSettings {
    /// Time for which an ending entry still takes requests, until the platform's balancer sends
    /// it none. Zero for a target.
    pub linger: MilliSpan,
    /// Time for which the platform must list a VM as live again before it returns.
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

/// How far something has left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainStage {
    /// In service.
    Serving,
    /// Takes no new work, but for the linger time of an ending entry, and ends what runs.
    Leaving {
        /// Why.
        cause: DrainCause,
        /// Since when.
        since: Instant,
    },
    /// Nothing runs any more.
    Drained {
        /// Why it left.
        cause: DrainCause,
    },
}

/// What a look at the signals changed, to be logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DrainShift {
    /// Nothing.
    Held,
    /// It began to leave.
    Left {
        /// Why.
        cause: DrainCause,
        /// Requests that run and will end whole.
        in_flight: SlotCount,
    },
    /// The last request ended.
    Emptied {
        /// Why it left.
        cause: DrainCause,
    },
    /// It is back in service; its gate has to start cold.
    Returned,
}

/// Something that may leave: a target as one end sees it, or an entry.
#[derive(Clone, Debug)]
pub struct DrainRow {
    settings: DrainSettings,
    signals: DrainSignals,
    vm_live_since: Option<Instant>,
    vm_was_leaving: bool,
    stage: DrainStage,
}

impl DrainRow {
    /// Creates the row from a first look at the signals.
    #[must_use]
    pub fn new(settings: DrainSettings, signals: DrainSignals, now: Instant) -> Self {
        let mut row = Self {
            settings,
            signals,
            vm_live_since: None,
            vm_was_leaving: false,
            stage: DrainStage::Serving,
        };
        row.observe_vm(signals.vm, now);
        row.step(SlotCount::new(0), now);
        row
    }

    /// Takes a look at the signals while `in_flight` requests run.
    ///
    /// A configuration older than one seen before is ignored.
    pub fn observe(
        &mut self,
        signals: DrainSignals,
        in_flight: SlotCount,
        now: Instant,
    ) -> DrainShift {
        if signals.change >= self.signals.change {
            self.signals.change = signals.change;
            self.signals.is_out = signals.is_out;
        }
        self.signals.is_terminating |= signals.is_terminating;
        self.observe_vm(signals.vm, now);
        self.step(in_flight, now)
    }

    /// Checks whether new work may be taken or sent.
    ///
    /// # Errors
    ///
    /// Returns a [`DrainRefusal`] once it leaves; the request has not run.
    pub fn admit(&self, now: Instant) -> Result<()> {
        let (DrainStage::Leaving { cause, .. } | DrainStage::Drained { cause }) = self.stage else {
            return Ok(());
        };
        if self.lingers(now) {
            return Ok(());
        }
        let change = self.signals.change;
        Err(DrainRefusal { cause, change })
    }

    /// Whether the platform's balancer may send requests here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.stage == DrainStage::Serving
    }

    /// How far it has left.
    #[must_use]
    pub fn stage(&self) -> DrainStage {
        self.stage
    }

    fn observe_vm(&mut self, vm: VmState, now: Instant) {
        match vm {
            VmState::Leaving => {
                self.vm_was_leaving = true;
                self.vm_live_since = None;
            }
            VmState::Live => {
                let since = *self.vm_live_since.get_or_insert(now);
                let is_back = now >= since + self.settings.vm_return.duration();
                self.vm_was_leaving &= !is_back;
            }
            VmState::Unknown => self.vm_live_since = None,
        }
    }

    fn cause(&self) -> Option<DrainCause> {
        if self.signals.is_terminating {
            Some(DrainCause::Terminating)
        } else if self.signals.is_out {
            Some(DrainCause::TakenOut)
        } else if self.vm_was_leaving {
            Some(DrainCause::VmLeaving)
        } else {
            None
        }
    }

    fn step(&mut self, in_flight: SlotCount, now: Instant) -> DrainShift {
        let Some(cause) = self.cause() else {
            return self.return_to_service();
        };
        match self.stage {
            DrainStage::Serving => {
                let since = now;
                self.stage = DrainStage::Leaving { cause, since };
                DrainShift::Left { cause, in_flight }
            }
            DrainStage::Leaving { .. } if in_flight.get() == 0 && !self.lingers(now) => {
                self.stage = DrainStage::Drained { cause };
                DrainShift::Emptied { cause }
            }
            DrainStage::Leaving { since, .. } => {
                self.stage = DrainStage::Leaving { cause, since };
                DrainShift::Held
            }
            DrainStage::Drained { .. } => {
                self.stage = DrainStage::Drained { cause };
                DrainShift::Held
            }
        }
    }

    fn return_to_service(&mut self) -> DrainShift {
        let before = std::mem::replace(&mut self.stage, DrainStage::Serving);
        if before == DrainStage::Serving {
            DrainShift::Held
        } else {
            DrainShift::Returned
        }
    }

    fn lingers(&self, now: Instant) -> bool {
        let DrainStage::Leaving { since, .. } = self.stage else {
            return false;
        };
        now < since + self.settings.linger.duration()
    }
}

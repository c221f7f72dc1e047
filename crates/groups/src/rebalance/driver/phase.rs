//! Phases of a map switch, the orders that they send and the events that record their changes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{FencingNumber, GroupGeneration, MapVersion, RankId, StepNumber};

use super::super::{ArmedMap, GroupPlacement, RankOrder};

/// Phase of a [`SwitchDriver`](super::SwitchDriver).
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwitchPhase {
    /// No switch is in progress.
    Idle,
    /// Ranks copy the weights of a new map.
    Preparing {
        /// Version of the new map.
        version: MapVersion,
        /// Placement of the new map.
        placement: Arc<GroupPlacement>,
        /// Expected time to copy the weights.
        copy_time: Duration,
    },
    /// One rank is ordered to hold before the step at which the map changes.
    Holding {
        /// The new map and the step at which it takes effect.
        armed: ArmedMap,
        /// The rank to hold.
        held_rank: RankId,
    },
    /// All ranks are ordered to switch at the step.
    Arming {
        /// The new map and the step at which it takes effect.
        armed: ArmedMap,
        /// The held rank.
        held_rank: RankId,
    },
    /// The held rank is ordered to go on.
    Releasing {
        /// The new map and the step at which it takes effect.
        armed: ArmedMap,
        /// The held rank.
        held_rank: RankId,
    },
    /// All ranks are armed and none is held; they switch when the step begins.
    Settling {
        /// Version of the new map.
        version: MapVersion,
    },
    /// All ranks take an order without effect that carries the current fencing token, so that they
    /// reject orders of earlier coordinators.
    Fencing,
    /// All ranks are ordered to disarm.
    Clearing {
        /// Held ranks, each with the step before which it is held.
        held: BTreeMap<RankId, StepNumber>,
    },
    /// As `Releasing`, but with no map armed. Logs call this phase `freeing`.
    ReleasingUnarmed {
        /// Held ranks, each with the step before which it is held.
        held: BTreeMap<RankId, StepNumber>,
    },
}

impl SwitchPhase {
    /// Name for logs and metrics.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::Preparing { .. } => "preparing",
            Self::Holding { .. } => "holding",
            Self::Arming { .. } => "arming",
            Self::Releasing { .. } => "releasing",
            Self::Settling { .. } => "settling",
            Self::Fencing => "fencing",
            Self::Clearing { .. } => "clearing",
            Self::ReleasingUnarmed { .. } => "freeing",
        }
    }
}

/// An order to send to a rank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingOrder {
    /// Receiver of the order.
    pub rank: RankId,
    /// The order.
    pub order: RankOrder,
    /// Fencing token to send with it.
    pub fencing: FencingNumber,
    /// Group generation for which the order is valid.
    pub generation: GroupGeneration,
    /// Number of the phase that sends the order; a reply to an order of an earlier phase is
    /// ignored.
    pub phase_number: u64,
}

/// A phase change, for logs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DriverEvent {
    /// Name of the phase that begins.
    pub phase: &'static str,
    /// Version of the new map; 0 in the idle, fencing, clearing and freeing phases.
    pub version: MapVersion,
    /// Step at which the map changes; 0 except in the holding, arming and releasing phases.
    pub step: StepNumber,
    /// Reason for the change.
    pub cause: &'static str,
}

impl DriverEvent {
    /// Creates the event of entering `phase`.
    pub(super) const fn new(phase: &SwitchPhase, cause: &'static str) -> Self {
        let (version, step) = match phase {
            SwitchPhase::Preparing { version, .. } | SwitchPhase::Settling { version } => {
                (*version, StepNumber::new(0))
            }
            SwitchPhase::Holding { armed, .. }
            | SwitchPhase::Arming { armed, .. }
            | SwitchPhase::Releasing { armed, .. } => (armed.version, armed.step),
            SwitchPhase::Idle
            | SwitchPhase::Fencing
            | SwitchPhase::Clearing { .. }
            | SwitchPhase::ReleasingUnarmed { .. } => (MapVersion::new(0), StepNumber::new(0)),
        };
        Self {
            phase: phase.name(),
            version,
            step,
            cause,
        }
    }
}

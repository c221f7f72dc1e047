//! Signals that start or end the drain of a target or entry.

use amaranthgw_core::ChangeNumber;
use serde::{Deserialize, Serialize};

/// State of a VM in the VM list of the platform.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmListing {
    /// The list does not contain the VM or was never read.
    #[default]
    Unknown,
    /// In service.
    Live,
    /// Scheduled for removal.
    Leaving,
}

/// Cause of a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainCause {
    /// Operators took the VM or its failure domain out of service.
    TakenOut,
    /// The platform has scheduled the VM for removal.
    VmLeaving,
    /// The process was asked to terminate.
    Terminating,
}

impl std::fmt::Display for DrainCause {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::TakenOut => "taken out of service by operators",
            Self::VmLeaving => "the VM is leaving",
            Self::Terminating => "the process is terminating",
        })
    }
}

/// One observation of everything that can cause a drain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSignals {
    /// Configuration change that `is_out` was read from.
    pub change: ChangeNumber,
    /// Whether operators have taken the VM or its failure domain out of service.
    pub is_out: bool,
    /// State of the VM in the VM list of the platform.
    pub vm: VmListing,
    /// Whether the process was asked to terminate.
    pub is_terminating: bool,
}

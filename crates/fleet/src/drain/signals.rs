//! What tells a node that a target, VM, failure domain or entry leaves.

use amaranthgw_core::ChangeNumber;
use serde::{Deserialize, Serialize};

/// State of a VM as the platform lists it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The list does not name the VM, or was never read.
    #[default]
    Unknown,
    /// In service.
    Live,
    /// About to be removed.
    Leaving,
}

/// Why something leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DrainCause {
    /// Operators took the VM or its failure domain out.
    TakenOut,
    /// The platform is about to remove the VM.
    VmLeaving,
    /// The process was asked to end.
    Terminating,
}

impl std::fmt::Display for DrainCause {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::TakenOut => "taken out by operators",
            Self::VmLeaving => "the VM is leaving",
            Self::Terminating => "the process is ending",
        })
    }
}

/// One look at everything that can make something leave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSignals {
    /// Configuration that `is_out` was taken from.
    pub change: ChangeNumber,
    /// Whether operators have taken out the VM or its failure domain.
    pub is_out: bool,
    /// State of the VM in the platform's list.
    pub vm: VmState,
    /// Whether the process was asked to end.
    pub is_terminating: bool,
}

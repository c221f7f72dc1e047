//! The tables of a sidecar.

use std::sync::Arc;

use amaranthgw_core::{EntityTable, TargetId};

use super::{GateEntry, SidecarInbox, SidecarOutput};
use crate::config::ServingState;
use crate::membership::{NodeIdentity, VmState};

/// Everything the control thread of a sidecar owns.
#[derive(Debug)]
pub struct SidecarWorld {
    /// Where the sidecar runs.
    pub identity: NodeIdentity,
    /// Inputs since the last tick.
    pub inbox: SidecarInbox,
    /// Its targets; one, as long as each target has a sidecar of its own.
    pub targets: EntityTable<TargetId, GateEntry>,
    /// Configuration in force.
    pub config: Arc<ServingState>,
    /// State of the VM in the VM list.
    pub vm_state: VmState,
    /// Whether the process leaves.
    pub is_stopping: bool,
    /// What the tick wants done.
    pub outbox: Vec<SidecarOutput>,
}

impl SidecarWorld {
    /// Creates the tables of a sidecar without targets.
    #[must_use]
    pub fn new(identity: NodeIdentity) -> Self {
        Self {
            identity,
            inbox: SidecarInbox::default(),
            targets: EntityTable::new(),
            config: Arc::default(),
            vm_state: VmState::Live,
            is_stopping: false,
            outbox: Vec::new(),
        }
    }

    /// Adds a target.
    #[must_use]
    pub fn with_target(mut self, entry: GateEntry) -> Self {
        self.targets.insert(entry.served.target.clone(), entry);
        self
    }
}

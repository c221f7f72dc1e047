//! Tables of a sidecar's control thread.

use std::sync::Arc;

use amaranthgw_core::{EntityTable, TargetId};

use super::{ServedTargetRow, SidecarInbox, SidecarOutput};
use crate::config::ServingState;
use crate::membership::{NodeIdentity, VmState};

/// Control state of a sidecar, owned by its control thread.
#[derive(Debug)]
pub struct SidecarWorld {
    /// VM, failure domain and region of the sidecar.
    pub identity: NodeIdentity,
    /// Inputs received since the last tick.
    pub inbox: SidecarInbox,
    /// Targets of the sidecar; a single one, as each target has its own sidecar.
    pub targets: EntityTable<TargetId, ServedTargetRow>,
    /// Configuration in force.
    pub config: Arc<ServingState>,
    /// State of this VM in the last VM list that contained it.
    pub vm_state: VmState,
    /// Whether the process is stopping.
    pub is_stopping: bool,
    /// Outputs of the tick.
    pub outbox: Vec<SidecarOutput>,
}

impl SidecarWorld {
    /// Creates a world without targets.
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

    /// Adds `row` under its target id.
    #[must_use]
    pub fn with_target(mut self, row: ServedTargetRow) -> Self {
        self.targets.insert(row.served.target.clone(), row);
        self
    }
}

//! The tables of an entry.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{ChangeNumber, EntityTable, ServiceId, TargetId, VmId, WorkspaceId};
use tokio::time::Instant;

use super::{EntryInbox, EntryOutput, TargetRow, WorkspaceMeters};
use crate::burn::BurnTable;
use crate::config::ServingState;
use crate::limits::LimitTable;
use crate::membership::{NodeIdentity, VmRecord};
use crate::retries::RetryBudget;
use crate::routing::SubsetSettings;

/// Times that an entry's systems go by.
#[derive(Clone, Debug)]
pub struct EntryTimings {
    /// A target whose report is older than this is asked again.
    pub probe_after: Duration,
    /// A target that could not be reached is asked again after this time.
    pub retry_unreachable_after: Duration,
}

impl Default for EntryTimings {
    fn default() -> Self {
        Self {
            probe_after: Duration::from_secs(2),
            retry_unreachable_after: Duration::from_millis(250),
        }
    }
}

/// Everything the control thread of an entry owns.
#[derive(Debug)]
pub struct EntryWorld {
    /// Where the entry runs.
    pub identity: NodeIdentity,
    /// Times the systems go by.
    pub timings: EntryTimings,
    /// Inputs since the last tick.
    pub inbox: EntryInbox,
    /// VMs of the platform's list.
    pub vms: EntityTable<VmId, VmRecord>,
    /// Targets of all services.
    pub targets: EntityTable<TargetId, TargetRow>,
    /// Limits of all plans in use with their meters.
    pub limits: LimitTable,
    /// Meters of all workspaces.
    pub meters: Arc<EntityTable<WorkspaceId, WorkspaceMeters>>,
    /// Configuration change that the meters were made for.
    pub meters_change: ChangeNumber,
    /// Retry budgets of all services.
    pub budgets: EntityTable<ServiceId, Arc<RetryBudget>>,
    /// How answers ended, by plan and service.
    pub burn: BurnTable,
    /// How many targets of a service the entry uses.
    pub subset: SubsetSettings,
    /// Configuration in force.
    pub config: Arc<ServingState>,
    /// Whether the routes changed since the last snapshot.
    pub are_routes_dirty: bool,
    /// Whether the process leaves.
    pub is_stopping: bool,
    /// What the tick wants done.
    pub outbox: Vec<EntryOutput>,
}

impl EntryWorld {
    /// Creates the tables of an entry that knows nothing at `now`.
    #[must_use]
    pub fn new(identity: NodeIdentity, now: Instant) -> Self {
        Self {
            limits: LimitTable::new(),
            meters: Arc::default(),
            meters_change: ChangeNumber::default(),
            budgets: EntityTable::new(),
            burn: BurnTable::new(now),
            subset: SubsetSettings::new(&identity.vm),
            identity,
            timings: EntryTimings::default(),
            inbox: EntryInbox::default(),
            vms: EntityTable::new(),
            targets: EntityTable::new(),
            config: Arc::default(),
            are_routes_dirty: true,
            is_stopping: false,
            outbox: Vec::new(),
        }
    }

    /// Sets how many targets of a service the entry uses.
    #[must_use]
    pub fn with_subset(mut self, subset: SubsetSettings) -> Self {
        self.subset = subset;
        self
    }

    /// Sets the times the systems go by.
    #[must_use]
    pub fn with_timings(mut self, timings: EntryTimings) -> Self {
        self.timings = timings;
        self
    }
}

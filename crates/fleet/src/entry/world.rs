//! Tables of an entry's control thread.

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

/// Probe intervals of an entry.
#[derive(Clone, Debug)]
pub struct ProbeIntervals {
    /// Age of the last report after which an open or leaving target is probed.
    pub probe_after: Duration,
    /// Interval between probes of a target that is unreachable or admits nothing yet.
    pub retry_unreachable_after: Duration,
}

impl Default for ProbeIntervals {
    fn default() -> Self {
        Self {
            probe_after: Duration::from_secs(2),
            retry_unreachable_after: Duration::from_millis(250),
        }
    }
}

/// Control state of an entry, owned by its control thread.
#[derive(Debug)]
pub struct EntryWorld {
    /// VM, failure domain and region of the entry.
    pub identity: NodeIdentity,
    /// Probe intervals.
    pub probe_intervals: ProbeIntervals,
    /// Inputs received since the last tick.
    pub inbox: EntryInbox,
    /// VMs in the last VM list of the platform.
    pub vms: EntityTable<VmId, VmRecord>,
    /// Targets of all services.
    pub targets: EntityTable<TargetId, TargetRow>,
    /// Limits and meters by workspace and service.
    pub limits: LimitTable,
    /// Meters of all workspaces, shared with the traffic threads.
    pub meters: Arc<EntityTable<WorkspaceId, WorkspaceMeters>>,
    /// Number of the configuration change that the meters were built for.
    pub meters_change: ChangeNumber,
    /// Retry budgets of all services.
    pub budgets: EntityTable<ServiceId, Arc<RetryBudget>>,
    /// Outcome counts by plan and service.
    pub burn: BurnTable,
    /// Settings for the subset of targets that the entry uses per service.
    pub subset: SubsetSettings,
    /// Configuration in force.
    pub config: Arc<ServingState>,
    /// Whether configuration, targets or meters have changed since the last snapshot, so that a new
    /// one has to be published.
    pub needs_snapshot: bool,
    /// Whether the process is stopping. No system of the entry sets or reads it.
    pub is_stopping: bool,
    /// Outputs of the tick.
    pub outbox: Vec<EntryOutput>,
}

impl EntryWorld {
    /// Creates a world with empty tables.
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
            probe_intervals: ProbeIntervals::default(),
            inbox: EntryInbox::default(),
            vms: EntityTable::new(),
            targets: EntityTable::new(),
            config: Arc::default(),
            needs_snapshot: true,
            is_stopping: false,
            outbox: Vec::new(),
        }
    }

    /// Replaces the settings for the subset of targets.
    #[must_use]
    pub fn with_subset(mut self, subset: SubsetSettings) -> Self {
        self.subset = subset;
        self
    }

    /// Replaces the probe intervals.
    #[must_use]
    pub fn with_probe_intervals(mut self, probe_intervals: ProbeIntervals) -> Self {
        self.probe_intervals = probe_intervals;
        self
    }
}

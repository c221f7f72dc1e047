//! Immutable state that the control thread of an entry publishes to its traffic threads.

use std::sync::Arc;

use amaranthgw_core::{ChangeNumber, EntityTable, ServiceId, WorkspaceId};

use crate::config::ServingState;
use crate::limits::UsageMeter;
use crate::retries::RetryBudget;
use crate::routing::RouteSnapshot;

/// Meters of one workspace, by service.
pub type WorkspaceMeters = EntityTable<ServiceId, Arc<UsageMeter>>;

/// State that a traffic thread needs to serve requests; always replaced as a whole.
#[derive(Clone, Debug)]
pub struct EntrySnapshot {
    /// Configuration in force.
    pub config: Arc<ServingState>,
    /// Routes of all services.
    pub routes: RouteSnapshot,
    /// Meters of all workspaces.
    pub meters: Arc<EntityTable<WorkspaceId, WorkspaceMeters>>,
    /// Retry budgets of all services.
    pub budgets: EntityTable<ServiceId, Arc<RetryBudget>>,
}

impl Default for EntrySnapshot {
    fn default() -> Self {
        let routes = RouteSnapshot {
            change: ChangeNumber::default(),
            services: EntityTable::new(),
        };
        Self {
            config: Arc::default(),
            routes,
            meters: Arc::default(),
            budgets: EntityTable::new(),
        }
    }
}

//! What a traffic thread knows when it routes: an immutable snapshot made by the control thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use amaranthgw_core::{ChangeNumber, DomainId, EntityTable, ServiceId, SlotCount, TargetId, VmId};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{Result, RouteTable, SubsetLoad, SubsetSettings};

/// How a service is called.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// A model engine that streams its answer and can resume it.
    Model,
    /// A plain service that answers each call once.
    Plain,
}

/// How far a target is from the entry that routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DomainDistance {
    /// In the entry's own failure domain.
    SameDomain,
    /// In another failure domain of the entry's region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// What a target may receive, as far as the entry knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetStage {
    /// Ramping up after a start; bears little.
    Warming,
    /// At its full capacity.
    Warm,
    /// Leaving, or in a failure domain that is out: receives no new work.
    Leaving,
    /// Not reachable, or unknown until its sidecar answers.
    Unreachable,
}

/// Load of a target as its sidecar last reported it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadHint {
    /// Requests in flight at the target from all entries.
    pub in_flight: SlotCount,
    /// Of these, requests from this entry.
    pub own_in_flight: SlotCount,
    /// Requests the target's gate admits at once.
    pub limit: SlotCount,
    /// Smoothed time to the first chunk, in milliseconds.
    pub first_chunk_ms: f32,
    /// When the report was made.
    pub reported_at: Instant,
}

/// One target of a service as a traffic thread sees it.
#[derive(Clone, Debug)]
pub struct TargetRoute {
    /// The target.
    pub target: TargetId,
    /// VM of the target.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Distance from this entry.
    pub distance: DomainDistance,
    /// Address of the target's sidecar.
    pub address: SocketAddr,
    /// What the target may receive.
    pub stage: TargetStage,
    /// Last reported load, if any report arrived.
    pub load: Option<LoadHint>,
    /// Requests that this entry has in flight at the target now, over all its threads.
    pub own_in_flight: Arc<AtomicU32>,
}

impl TargetRoute {
    /// Requests that this entry has in flight at the target now.
    #[must_use]
    pub fn own_in_flight(&self) -> u32 {
        self.own_in_flight.load(Ordering::Relaxed)
    }

    /// Whether new work may be sent to the target.
    #[must_use]
    pub fn is_open(&self) -> bool {
        matches!(self.stage, TargetStage::Warming | TargetStage::Warm)
    }
}

/// The targets of one service.
#[derive(Clone, Debug)]
pub struct ServiceRoutes {
    /// How the service is called.
    pub kind: ServiceKind,
    targets: Vec<TargetRoute>,
    table: RouteTable,
}

impl ServiceRoutes {
    /// Creates the routes of a service and the table from which a policy draws.
    ///
    /// Hints are judged by their age at `now`.
    #[must_use]
    pub fn new(
        kind: ServiceKind,
        targets: Vec<TargetRoute>,
        settings: &SubsetSettings,
        now: Instant,
    ) -> Self {
        let table = RouteTable::new(kind, &targets, settings, now);
        Self {
            kind,
            targets,
            table,
        }
    }

    /// All targets of the service.
    #[must_use]
    pub fn targets(&self) -> &[TargetRoute] {
        &self.targets
    }

    /// The targets that this entry keeps connections and load reports of, nearest first.
    pub fn subset(&self) -> impl Iterator<Item = &TargetRoute> {
        self.table.rows().map(|row| &self.targets[row.index])
    }

    /// Estimated load of the subset.
    #[must_use]
    pub fn load(&self) -> SubsetLoad {
        self.table.load()
    }

    pub(super) fn table(&self) -> &RouteTable {
        &self.table
    }
}

/// Everything a traffic thread needs to route; replaced as a whole.
#[derive(Clone, Debug)]
pub struct RouteSnapshot {
    /// Last configuration change in force in this snapshot.
    pub change: ChangeNumber,
    /// Services by identifier.
    pub services: EntityTable<ServiceId, ServiceRoutes>,
}

/// What the policy needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct RouteAsk<'a> {
    /// Hash of the prompt's prefix, equal for requests that can share cached prefixes.
    pub prefix_hash: Option<u64>,
    /// When the answer is due.
    pub deadline: Instant,
    /// Targets that an earlier attempt of this request used.
    pub tried: &'a [TargetId],
}

/// The chosen target.
#[derive(Clone, Debug)]
pub struct RoutePlan {
    /// The route to use.
    pub route: TargetRoute,
}

/// Why no target can be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// The service has no open target.
    NoOpenTarget,
    /// Every open target was tried by this request.
    AllTried,
}

impl std::fmt::Display for RouteError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoOpenTarget => f.write_str("no target of the service accepts new work"),
            Self::AllTried => f.write_str("every open target has been tried"),
        }
    }
}

impl std::error::Error for RouteError {}

/// Chooses a target among those of a service.
pub trait RoutePolicy: std::fmt::Debug + Send + Sync {
    /// Chooses a target for `ask` at the time `now`.
    ///
    /// # Errors
    ///
    /// Returns a [`RouteError`] where no target may receive the request.
    fn choose(&self, routes: &ServiceRoutes, ask: &RouteAsk<'_>, now: Instant)
    -> Result<RoutePlan>;
}

//! Immutable routing snapshot, built by the control thread and read by traffic threads.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use amaranthgw_core::{ChangeNumber, DomainId, EntityTable, ServiceId, SlotCount, TargetId, VmId};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{Result, SubsetLoad, SubsetSettings, SubsetTable};

/// How a service answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// A model engine that streams its answer and can resume the stream.
    Model,
    /// A plain service that returns one answer per call.
    Plain,
}

/// Distance of a target from the entry that routes to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DomainDistance {
    /// In the entry's own failure domain.
    SameDomain,
    /// In another failure domain of the entry's region.
    SameRegion,
    /// In another region.
    OtherRegion,
}

/// Lifecycle stage of a target as known to the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetStage {
    /// In slow start; its capacity is low.
    Warming,
    /// At its full capacity.
    Warm,
    /// Its VM is about to be replaced, or its failure domain is out of service: receives no new
    /// requests.
    Leaving,
    /// Unreachable, or its sidecar has not answered yet.
    Unreachable,
}

/// Last report of a target's load by its sidecar.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadReport {
    /// Requests in flight at the target from all entries.
    pub in_flight: SlotCount,
    /// The part of `in_flight` sent by this entry.
    pub own_in_flight: SlotCount,
    /// Concurrent requests that the target's gate admits.
    pub limit: SlotCount,
    /// Smoothed time to first chunk, in milliseconds.
    pub first_chunk_ms: f32,
    /// Time of the report.
    pub reported_at: Instant,
}

/// One target of a service, as used for routing.
#[derive(Clone, Debug)]
pub struct TargetRoute {
    /// Identifier of the target.
    pub target: TargetId,
    /// VM that the target runs on.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Distance from this entry.
    pub distance: DomainDistance,
    /// Address of the target's sidecar.
    pub address: SocketAddr,
    /// Lifecycle stage, which decides whether it may receive requests.
    pub stage: TargetStage,
    /// Last reported load; `None` before the first report.
    pub load: Option<LoadReport>,
    /// Requests that this entry has in flight at the target, over all its threads.
    pub own_in_flight: Arc<AtomicU32>,
}

impl TargetRoute {
    /// Requests that this entry has in flight at the target.
    #[must_use]
    pub fn own_in_flight(&self) -> u32 {
        self.own_in_flight.load(Ordering::Relaxed)
    }

    /// Whether new requests may be sent to the target.
    #[must_use]
    pub fn is_open(&self) -> bool {
        matches!(self.stage, TargetStage::Warming | TargetStage::Warm)
    }
}

/// Targets of one service, with the tables that policies sample from.
#[derive(Clone, Debug)]
pub struct ServiceRoutes {
    /// How the service answers.
    pub kind: ServiceKind,
    targets: Vec<TargetRoute>,
    table: SubsetTable,
}

impl ServiceRoutes {
    /// Creates the routes of a service and the tables that policies sample from.
    ///
    /// Load reports are weighted by their age at `now`.
    #[must_use]
    pub fn new(
        kind: ServiceKind,
        targets: Vec<TargetRoute>,
        settings: &SubsetSettings,
        now: Instant,
    ) -> Self {
        let table = SubsetTable::new(kind, &targets, settings, now);
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

    /// Targets that this entry keeps connections and load reports for, nearest first.
    pub fn subset(&self) -> impl Iterator<Item = &TargetRoute> {
        self.table.rows().map(|row| &self.targets[row.index])
    }

    /// Estimated load of the subset when the snapshot was built.
    #[must_use]
    pub fn load(&self) -> SubsetLoad {
        self.table.load()
    }

    pub(super) fn table(&self) -> &SubsetTable {
        &self.table
    }
}

/// Routing state of all services; replaced as a whole.
#[derive(Clone, Debug)]
pub struct RouteSnapshot {
    /// Last configuration change included in this snapshot.
    pub change: ChangeNumber,
    /// Routes by service.
    pub services: EntityTable<ServiceId, ServiceRoutes>,
}

/// Request attributes that a routing decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct RouteInput<'a> {
    /// Hash of the prompt prefix, equal for requests that can share a cached prefix.
    pub prefix_hash: Option<u64>,
    /// When the answer is due.
    pub deadline: Instant,
    /// Targets that earlier attempts of this request used.
    pub tried: &'a [TargetId],
}

/// The target chosen for a request.
#[derive(Clone, Debug)]
pub struct RouteChoice {
    /// Route to the chosen target.
    pub route: TargetRoute,
}

/// Why no target was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteError {
    /// The service has no open target.
    NoOpenTarget,
    /// Earlier attempts of this request used every open target.
    AllTried,
}

impl std::fmt::Display for RouteError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NoOpenTarget => f.write_str("no target of the service accepts new requests"),
            Self::AllTried => f.write_str("every open target has been tried"),
        }
    }
}

impl std::error::Error for RouteError {}

/// Routing policy: chooses among the targets of a service.
pub trait RoutePolicy: std::fmt::Debug + Send + Sync {
    /// Chooses a target for `input` at `now`.
    ///
    /// # Errors
    ///
    /// Returns a [`RouteError`] if no target may receive the request.
    fn choose(
        &self,
        routes: &ServiceRoutes,
        input: &RouteInput<'_>,
        now: Instant,
    ) -> Result<RouteChoice>;
}

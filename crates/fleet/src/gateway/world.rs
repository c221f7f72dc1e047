//! State owned by a gateway's control thread, and the snapshot it publishes to traffic threads.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{
    DemandShare, DomainId, EntityTable, GroupId, RequestRate, ServiceId, StoreRevision, TargetId,
    VmId,
};
use tokio::time::Instant;

use super::departed::{DepartedTarget, LeaverRow};
use super::evacuation::EvacuationView;
use super::registry::RegistryView;
use super::{
    ColdShare, DemandLedger, GroupGauge, RosterReading, RouteTable, ServiceAdmission,
    TargetCandidate, TargetRow, TargetTransition, WindowBudget, WindowSettings,
};

/// Settings that are the same at all gateways; the gateways divide the retry slack among
/// themselves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBounds {
    /// Ratio of retries to requests of a service that is allowed within a window.
    pub retry_ratio: f64,
    /// Retries of a service allowed per window in addition to the ratio, over all gateways.
    pub retry_slack: f64,
    /// Length of the window over which requests and retries are counted.
    pub retry_window: Duration,
    /// Time that targets have after a registry outage to renew entries that expired during it.
    pub return_time: Duration,
}

/// State of a gateway's control thread.
#[derive(Debug)]
pub struct GatewayWorld {
    /// Failure domain of the process.
    pub domain: DomainId,
    /// Fleet-wide settings.
    pub bounds: FleetBounds,
    /// Configuration in force.
    pub routes: Arc<RouteTable>,
    /// Targets of the registry, including those whose entry expired during a registry outage and
    /// may return.
    pub targets: EntityTable<TargetId, TargetRow>,
    /// Failure domains that operators took out of service (evacuated).
    pub evacuated: BTreeSet<DomainId>,
    /// What of them is read, and what is held.
    pub(super) evacuations: EvacuationView,
    /// Store revision at which the evacuations were read.
    pub evacuated_as_of: StoreRevision,
    /// Other gateways that were heard of directly, with the time each was last seen.
    pub peers: EntityTable<VmId, Instant>,
    /// Last read of the gateways that are registered in the key-value service.
    pub roster: RosterReading,
    /// Whether the registry has been read at least once.
    pub is_registry_known: bool,
    /// Whether the published snapshot is out of date.
    pub is_changed: bool,
    /// Demand and loans of room; `None` if this gateway doesn't divide room with others.
    demand: Option<Arc<DemandLedger>>,
    pub(super) demand_shares: HashMap<ServiceId, DemandShare>,
    budgets: HashMap<ServiceId, Arc<WindowBudget>>,
    admissions: HashMap<ServiceId, Arc<ServiceAdmission>>,
    snapshot_gateway_count: u32,
    /// Time of the first snapshot, before which an earlier process may have served this VM.
    started_at: Option<Instant>,
    is_stopping: bool,
    /// Targets that were removed lately, as their entries may come back.
    pub(super) departed: EntityTable<TargetId, DepartedTarget>,
    /// Targets that have lately said that they are leaving.
    pub(super) leavers: EntityTable<TargetId, LeaverRow>,
    /// Revisions of the outdated entries in the last listing.
    pub(super) outdated: HashMap<TargetId, StoreRevision>,
    pub(super) registry: RegistryView,
    pub(super) transitions: Vec<TargetTransition>,
}

/// Least number of gateways by which the retry slack is divided until the roster is settled.
const DEFAULT_GATEWAY_COUNT: u32 = 8;
/// Fraction of the shared retry slack that is granted: half, since gateways that lost touch with each
/// other, or were just added, may count half of all gateways only.
const SLACK_SAFETY_FACTOR: f64 = 0.5;
/// Fraction of the retry ratio that is granted: less than 1, since a retry may reach its target some
/// seconds after it was granted, in a window of less traffic.
const RATIO_SAFETY_FACTOR: f64 = 0.9;

impl GatewayWorld {
    /// Creates the state of a gateway that has read neither configuration nor registry.
    #[must_use]
    pub fn new(domain: DomainId, bounds: FleetBounds) -> Self {
        Self {
            domain,
            bounds,
            routes: Arc::default(),
            targets: EntityTable::new(),
            evacuated: BTreeSet::new(),
            evacuations: EvacuationView::default(),
            evacuated_as_of: StoreRevision::default(),
            peers: EntityTable::new(),
            roster: RosterReading::default(),
            is_registry_known: false,
            is_changed: true,
            demand: None,
            demand_shares: HashMap::new(),
            budgets: HashMap::new(),
            admissions: HashMap::new(),
            snapshot_gateway_count: DEFAULT_GATEWAY_COUNT,
            started_at: None,
            is_stopping: false,
            departed: EntityTable::new(),
            leavers: EntityTable::new(),
            outdated: HashMap::new(),
            registry: RegistryView::default(),
            transitions: Vec::new(),
        }
    }

    /// Divides the room of services with other gateways as `demand` says.
    #[must_use]
    pub fn with_demand(mut self, demand: Arc<DemandLedger>) -> Self {
        self.demand = Some(demand);
        self
    }

    /// Shares of the room of contested services at `now`; small ones before the roster is settled.
    pub(super) fn divide_room(&self, now: Instant) -> HashMap<ServiceId, DemandShare> {
        let Some(demand) = &self.demand else {
            return HashMap::new();
        };
        let heard = u32::try_from(self.peers.len()).unwrap_or(u32::MAX);
        demand.set_gateways(self.gateway_count(), heard.saturating_add(1));
        demand.forget_old(now);
        demand.set_services(self.routes.contested_services().cloned().collect());
        demand.shares(now)
    }

    /// Applies new fleet-wide settings.
    pub fn adopt_bounds(&mut self, bounds: FleetBounds) {
        if self.bounds != bounds {
            self.bounds = bounds;
            self.is_changed = true;
        }
    }

    /// Applies `routes` if their version is newer; returns whether it did. Once keys were required they
    /// stay so: without its last workspace, a deployment lets nobody in rather than everybody.
    pub fn adopt_routes(&mut self, mut routes: Arc<RouteTable>) -> bool {
        if routes.version <= self.routes.version {
            return false;
        }
        if self.routes.requires_keys && !routes.requires_keys {
            Arc::make_mut(&mut routes).require_keys();
        }
        self.routes = routes;
        self.is_changed = true;
        true
    }

    /// Requires keys from now on, as an earlier version of the configuration had workspaces.
    pub fn require_keys(&mut self) {
        if !self.routes.requires_keys {
            Arc::make_mut(&mut self.routes).require_keys();
            self.is_changed = true;
        }
    }

    /// Records that `target` belongs to `group`, as the agent of its rank reported at `now`.
    pub fn adopt_group(&mut self, target: &TargetId, group: &GroupId, now: Instant) {
        let known = self.targets.rows().find_map(|row| {
            let gauge = row.group.as_ref()?;
            (gauge.group() == group).then(|| Arc::clone(gauge))
        });
        let Some(row) = self.targets.get_mut(target) else {
            return;
        };
        if row
            .group
            .as_ref()
            .is_some_and(|gauge| gauge.group() == group)
        {
            return;
        }
        let gauge = known.unwrap_or_else(|| Arc::new(GroupGauge::new(group.clone(), now)));
        row.group = Some(gauge);
        self.is_changed = true;
    }

    /// Records that the gateway `peer` was alive at `now`.
    pub fn record_peer(&mut self, peer: VmId, now: Instant) {
        self.peers.insert(peer, now);
    }

    /// Applies a read of the roster.
    pub fn adopt_roster(&mut self, reading: RosterReading) {
        self.is_changed |= self.roster.is_settled != reading.is_settled;
        if reading.is_first_start {
            for budget in self.budgets.values() {
                budget.trust_past();
            }
        }
        self.roster = reading;
    }

    /// Leaves the slack of the retry budgets to the successor of this process; what is under way may
    /// still be repeated as its own requests allow.
    pub fn begin_stop(&mut self) {
        self.is_changed |= !self.is_stopping;
        self.is_stopping = true;
    }

    /// Number of gateways, including this one: those in the roster and those heard of since it was
    /// read. At least `DEFAULT_GATEWAY_COUNT` until the roster is settled.
    #[must_use]
    pub fn gateway_count(&self) -> u32 {
        let registered = &self.roster.live;
        let is_unregistered = |vm: &&VmId| !registered.contains(*vm);
        let unregistered = self.peers.ids().filter(is_unregistered).count();
        let others = u32::try_from(registered.len() + unregistered).unwrap_or(u32::MAX);
        let known = others.saturating_add(1);
        if self.roster.is_settled {
            known
        } else {
            known.max(DEFAULT_GATEWAY_COUNT)
        }
    }

    /// Number of gateways by which the shared limits of the last snapshot were divided.
    #[must_use]
    pub const fn snapshot_gateway_count(&self) -> u32 {
        self.snapshot_gateway_count
    }

    /// Whether requests can be routed: configuration and targets are known.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.routes.is_known() && self.is_registry_known && !self.targets.is_empty()
    }

    /// Creates the snapshot that traffic threads read, updates the retry budgets and clears the
    /// mark that a new snapshot is needed.
    pub fn snapshot(&mut self, now: Instant) -> GatewaySnapshot {
        self.is_changed = false;
        let gateway_count = self.gateway_count();
        self.snapshot_gateway_count = gateway_count;
        let settings = self.budget_settings(gateway_count);
        let started_at = *self.started_at.get_or_insert(now);
        let is_first_start = self.roster.is_first_start;
        for budget in self.budgets.values() {
            budget.adopt(settings);
        }
        let mut targets: HashMap<ServiceId, Vec<TargetCandidate>> = HashMap::new();
        for row in self.targets.rows() {
            if row.record.is_draining || self.evacuated.contains(&row.record.domain) {
                continue;
            }
            let candidate = TargetCandidate {
                record: row.record.clone(),
                gauge: Arc::clone(&row.gauge),
                cold_until: row.cold_until,
                limited_until: row.cold_until.max(row.maybe_cold_until),
                group: row.group.clone(),
            };
            let service = row.record.service.clone();
            targets.entry(service).or_default().push(candidate);
        }
        self.demand_shares = self.divide_room(now);
        let services: Vec<_> = self.routes.all_services().cloned().collect();
        for service in services {
            let admission = self.admissions.entry(service.clone()).or_default();
            let own = targets.get(&service).into_iter().flatten();
            let slots = own.map(|target| target.record.slots.get()).sum();
            let part = self.demand_shares.get(&service).copied();
            admission.adopt_capacity(slots, gateway_count, part, now);
            self.budgets.entry(service).or_insert_with(|| {
                let budget = WindowBudget::new(settings, now).with_unknown_past(started_at);
                if is_first_start {
                    budget.trust_past();
                }
                Arc::new(budget)
            });
        }
        GatewaySnapshot {
            routes: Arc::clone(&self.routes),
            targets,
            demand_shares: self.demand_shares.clone(),
            budgets: self.budgets.clone(),
            admissions: self.admissions.clone(),
            gateway_count,
            is_roster_settled: self.roster.is_settled,
            is_ready: self.is_ready(),
        }
    }

    /// This gateway's share of the fleet-wide retry budget. The ratio is not divided, since it
    /// applies to the gateway's own requests. There is no share of the slack until the number of
    /// gateways is known.
    fn budget_settings(&self, gateway_count: u32) -> WindowSettings {
        let has_share = self.roster.is_settled && !self.is_stopping;
        let slack = if has_share {
            self.bounds.retry_slack * SLACK_SAFETY_FACTOR / f64::from(gateway_count.max(1))
        } else {
            0.0
        };
        WindowSettings {
            ratio: self.bounds.retry_ratio * RATIO_SAFETY_FACTOR,
            slack,
            window: self.bounds.retry_window,
        }
    }
}

/// Immutable view of a gateway's state for traffic threads.
#[derive(Clone, Debug, Default)]
pub struct GatewaySnapshot {
    /// Configuration in force.
    pub routes: Arc<RouteTable>,
    /// Targets that accept new requests, by service.
    pub targets: HashMap<ServiceId, Vec<TargetCandidate>>,
    /// Retry budgets, by service.
    pub budgets: HashMap<ServiceId, Arc<WindowBudget>>,
    /// Requests in flight and requests that wait for a place, by service.
    pub admissions: HashMap<ServiceId, Arc<ServiceAdmission>>,
    /// Share of each contested service's room that this gateway may use while requests wait for it.
    pub demand_shares: HashMap<ServiceId, DemandShare>,
    /// Number of gateways that share the retry slack and the rates of cold targets.
    pub gateway_count: u32,
    /// Whether that number is complete; cold targets get no requests before.
    pub is_roster_settled: bool,
    /// Whether requests can be routed: configuration and targets are known.
    pub is_ready: bool,
}

impl GatewaySnapshot {
    /// Time for which all targets of `service` have been in closed rank groups, as agents report; `None`
    /// if one isn't, or may not be.
    #[must_use]
    pub fn closed_for(&self, service: &ServiceId, now: Instant) -> Option<Duration> {
        let targets = self.targets.get(service)?;
        let closed_for =
            |target: &TargetCandidate| target.group.as_ref().and_then(|it| it.closed_for(now));
        let times: Option<Vec<_>> = targets.iter().map(closed_for).collect();
        times?.into_iter().min()
    }

    /// Requests that this process may send to a cold target that can handle `rate`; `None` until
    /// the number of gateways is known.
    #[must_use]
    pub fn cold_share(&self, rate: RequestRate) -> Option<ColdShare> {
        self.is_roster_settled
            .then(|| ColdShare::new(rate, self.gateway_count))
    }
}

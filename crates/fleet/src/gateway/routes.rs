//! Route table: routes, services and callers' keys from the operators' configuration.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{
    ByteCount, ByteRate, CallUrgency, CallerKey, ConfigVersion, EntityTable, MilliSpan,
    PriorityLevel, RequestRate, RouteId, ServiceId, TokenCount, WorkspaceId,
};
use compact_str::CompactString;

use super::admission::CallRank;
use super::{EngineFigures, WorkEstimate};

/// Response type of a route and, for single responses, whether a request may run twice. For
/// streams, [`RouteRow::is_resumable`] tells that.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RouteKind {
    /// Single response; running a request twice is safe.
    Idempotent,
    /// Single response; a request must not run twice.
    NonIdempotent,
    /// Stream of server-sent events.
    Streaming,
}

impl RouteKind {
    /// Label in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Idempotent => "idempotent",
            Self::NonIdempotent => "non_idempotent",
            Self::Streaming => "streaming",
        }
    }
}

/// Weight of one service in the traffic split of a route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SplitShare {
    /// Service that receives the requests.
    pub service: ServiceId,
    /// Relative share of the route's requests.
    pub weight: u32,
}

/// Matching rule, limits and traffic split of one route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRow {
    /// Name of the route, for logs and metrics.
    pub route: RouteId,
    /// Host to match, in lower case and without a port.
    pub host: CompactString,
    /// Path prefix to match; begins and ends with a slash.
    pub prefix: CompactString,
    /// Response type and, for single responses, whether a request may run twice.
    pub kind: RouteKind,
    /// Longest duration of a request, including retries.
    pub timeout: MilliSpan,
    /// Latency objective of the whole response, or of the first event of a stream.
    pub objective: MilliSpan,
    /// Longest gap between two events with which a stream still meets its objective.
    pub event_gap: MilliSpan,
    /// Maximum number of targets that one request is sent to.
    pub max_attempts: u32,
    /// Priority of its requests, after that of their workspace.
    pub priority: PriorityLevel,
    /// Whether requests are accepted without a key.
    pub is_public: bool,
    /// Whether a stream may resume at another target.
    pub is_resumable: bool,
    /// Traffic split; at least one service.
    pub split: Vec<SplitShare>,
}

impl RouteRow {
    /// Whether a request that possibly ran may be sent to another target. One that did not run
    /// always may.
    #[must_use]
    pub const fn may_run_again(&self) -> bool {
        match self.kind {
            RouteKind::Idempotent => true,
            RouteKind::NonIdempotent => false,
            RouteKind::Streaming => self.is_resumable,
        }
    }

    /// Picks a service by weight, with `draw` uniformly distributed in `0.0..1.0`.
    #[must_use]
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceId> {
        let total: f64 = self.split.iter().map(|share| f64::from(share.weight)).sum();
        let mut left = draw * total;
        for share in &self.split {
            left -= f64::from(share.weight);
            if left < 0.0 {
                return Some(&share.service);
            }
        }
        self.split.last().map(|share| &share.service)
    }
}

/// Expert placement parameters of a service's rank groups.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpertShape {
    /// Number of layer sets; the layers of a set share a placement.
    pub sets: usize,
    /// Experts per layer set.
    pub experts: usize,
    /// Experts that fit on one rank, per layer set.
    pub places: usize,
    /// Experts that a rank may newly receive in one placement change, per layer set.
    pub new_per_set: usize,
    /// Size of one expert's weights.
    pub expert_bytes: ByteCount,
    /// Rate at which a rank copies weights.
    pub copy_rate: ByteRate,
    /// Usual age of the state that a rank reports to other VMs.
    pub report_lag: MilliSpan,
}

/// Multiple of the usual age of a report that none exceeds: reports are renewed at each step, and steps take
/// longer on a slow VM.
const REPORT_AGE_FACTOR: u32 = 2;

impl ExpertShape {
    /// Age that the state of a rank can have when it is reported to another VM.
    #[must_use]
    pub fn max_report_age(&self) -> Duration {
        self.report_lag.duration() * REPORT_AGE_FACTOR
    }

    /// Time for a rank to copy the weights of `copies` experts.
    #[must_use]
    pub fn copy_time(&self, copies: usize) -> Duration {
        let copies = u128::try_from(copies).unwrap_or(u128::MAX);
        let bytes = u128::from(self.expert_bytes.get()).saturating_mul(copies);
        let rate = u128::from(self.copy_rate.per_second().max(1));
        let millis = bytes.saturating_mul(1_000) / rate;
        Duration::from_millis(u64::try_from(millis).unwrap_or(u64::MAX))
    }

    /// Number of experts whose weights one rank can copy within `time`; at least one.
    #[must_use]
    pub fn copies_within(&self, time: Duration) -> usize {
        let bytes = u128::from(self.copy_rate.per_second()) * time.as_millis() / 1_000;
        let copies = bytes / u128::from(self.expert_bytes.get().max(1));
        usize::try_from(copies).unwrap_or(usize::MAX).max(1)
    }
}

/// Settings of one service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRow {
    /// Request rate that a cold target can handle.
    pub cold_rate: RequestRate,
    /// How long a target stays cold.
    pub cold_time: MilliSpan,
    /// Expert placement parameters, if the service runs on rank groups.
    pub experts: Option<ExpertShape>,
    /// Speed and room of its engines, if they are published.
    pub engine: Option<EngineFigures>,
}

impl ServiceRow {
    /// Expected work of a request of `prompt` and `answer` tokens, 0 for unknown lengths; `None` if the
    /// service publishes no figures.
    ///
    /// On rank groups, each request has a slot for the usual time: all ranks wait for the fullest one in each
    /// pass, so even counts matter more than even work.
    #[must_use]
    pub fn work_estimate(&self, prompt: TokenCount, answer: TokenCount) -> Option<WorkEstimate> {
        let engine = self.engine.as_ref()?;
        let estimate = engine.estimate(prompt, answer);
        if self.experts.is_none() {
            return Some(estimate);
        }
        let slot_time = engine.usual().slot_time;
        Some(WorkEstimate {
            slot_time,
            ..estimate
        })
    }
}

/// Holder of a caller's key, with the priority of its requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyHolder {
    /// Workspace that holds the key.
    pub workspace: WorkspaceId,
    /// Priority of its requests; `None` for that of the route.
    pub priority: Option<PriorityLevel>,
}

/// Limits on callers' connections and requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallLimits {
    /// Maximum size of a request head.
    pub head: ByteCount,
    /// Maximum size of a request body.
    pub body: ByteCount,
    /// Idle timeout of a connection.
    pub idle: MilliSpan,
}

impl Default for CallLimits {
    /// Limits in force until a configuration is known.
    fn default() -> Self {
        Self {
            head: ByteCount::new(16 * 1024),
            body: ByteCount::new(4 * 1024 * 1024),
            idle: MilliSpan::new(15_000),
        }
    }
}

/// Why a request could not be matched to a route or workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupError {
    /// No configuration has been read yet.
    NoConfig,
    /// No route matches the host and path.
    NoRoute,
    /// The key is missing or belongs to no workspace.
    UnknownKey,
}

impl LookupError {
    /// Label in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::NoConfig => "no_config",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
        }
    }
}

impl std::fmt::Display for LookupError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Self::NoConfig => "no configuration is known yet",
            Self::NoRoute => "no route has this host and path",
            Self::UnknownKey => "the key is missing or unknown",
        })
    }
}

impl std::error::Error for LookupError {}

/// One version of the operators' configuration, indexed by host and key.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Configuration version; 0 until one is known.
    pub version: ConfigVersion,
    /// Limits on callers' connections and requests.
    pub limits: CallLimits,
    /// Settings of each service.
    pub services: EntityTable<ServiceId, ServiceRow>,
    /// Whether requests need a key except on public routes: the deployment has workspaces, or had some
    /// in an earlier version.
    pub requires_keys: bool,
    /// Urgencies of the routes to each service.
    service_priorities: HashMap<ServiceId, BTreeSet<PriorityLevel>>,
    /// Services that routes name; some may have no settings.
    routed_services: BTreeSet<ServiceId>,
    by_host: HashMap<CompactString, Vec<Arc<RouteRow>>>,
    by_key: HashMap<CallerKey, KeyHolder>,
    route_priorities: BTreeSet<PriorityLevel>,
    workspace_priorities: BTreeSet<PriorityLevel>,
    /// Ranks that requests may have, in order.
    ranks: Vec<CallRank>,
}

/// Number of urgencies that targets tell apart.
const TARGET_URGENCIES: usize = 10;

impl RouteTable {
    /// Creates an empty configuration of `version`.
    #[must_use]
    pub fn new(version: ConfigVersion) -> Self {
        Self {
            version,
            ..Self::default()
        }
    }

    /// Sets the limits on callers' connections and requests.
    #[must_use]
    pub fn with_limits(mut self, limits: CallLimits) -> Self {
        self.limits = limits;
        self
    }

    /// Adds a service.
    pub fn add_service(&mut self, service: ServiceId, row: ServiceRow) {
        self.services.insert(service, row);
    }

    /// Adds a route; the longest matching prefix of a host wins.
    pub fn add_route(&mut self, row: RouteRow) {
        let services = row.split.iter().map(|share| share.service.clone());
        self.routed_services.extend(services);
        if self.route_priorities.insert(row.priority) {
            self.list_ranks();
        }
        for share in &row.split {
            let priorities = self.service_priorities.entry(share.service.clone());
            priorities.or_default().insert(row.priority);
        }
        let routes = self.by_host.entry(row.host.clone()).or_default();
        routes.push(Arc::new(row));
        routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
    }

    /// Services that have settings or that a route names.
    pub fn all_services(&self) -> impl Iterator<Item = &ServiceId> {
        let routed = self.routed_services.iter();
        let others = routed.filter(|service| !self.services.contains(*service));
        self.services.ids().chain(others)
    }

    /// Makes all but public routes require a key, also if there is none.
    pub const fn require_keys(&mut self) {
        self.requires_keys = true;
    }

    /// Maps a caller's key to its workspace; from then on keys are required.
    pub fn add_key(&mut self, key: CallerKey, holder: KeyHolder) {
        self.require_keys();
        let priority = holder.priority;
        self.by_key.insert(key, holder);
        if priority.is_some_and(|priority| self.workspace_priorities.insert(priority)) {
            self.list_ranks();
        }
    }

    /// Urgency that targets are told of requests of `rank`: its place among the ranks that requests may
    /// have, so that targets order requests as the gateways do.
    #[must_use]
    pub fn target_urgency(&self, rank: CallRank) -> CallUrgency {
        let place = self.ranks.partition_point(|other| *other < rank);
        let place = if self.ranks.len() > TARGET_URGENCIES {
            place * TARGET_URGENCIES / self.ranks.len()
        } else {
            place
        };
        let last = TARGET_URGENCIES - 1;
        CallUrgency::new(u8::try_from(place.min(last)).unwrap_or(u8::MAX))
    }

    fn list_ranks(&mut self) {
        let mut ranks = BTreeSet::new();
        for route in &self.route_priorities {
            ranks.insert(CallRank::new(None, *route));
            let priorities = self.workspace_priorities.iter();
            ranks.extend(priorities.map(|first| CallRank::new(Some(*first), *route)));
        }
        self.ranks = ranks.into_iter().collect();
    }

    /// Services whose requests differ in priority, by their routes or by their callers' workspaces.
    pub fn contested_services(&self) -> impl Iterator<Item = &ServiceId> {
        let is_contested = |priorities: &BTreeSet<PriorityLevel>| {
            priorities
                .union(&self.workspace_priorities)
                .nth(1)
                .is_some()
        };
        let rows = self.service_priorities.iter();
        rows.filter_map(move |(service, priorities)| is_contested(priorities).then_some(service))
    }

    /// Whether a configuration is known.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.version > ConfigVersion::default()
    }

    /// Number of routes over all hosts.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.by_host.values().map(Vec::len).sum()
    }

    /// Finds the route of a request by host, ignoring port and case, and by longest path prefix.
    ///
    /// # Errors
    ///
    /// Returns [`LookupError::NoConfig`] before a configuration is known, [`LookupError::NoRoute`]
    /// if no route matches.
    pub fn route(&self, host: &str, path: &str) -> Result<&Arc<RouteRow>, LookupError> {
        if !self.is_known() {
            return Err(LookupError::NoConfig);
        }
        let name = host.rsplit_once(':').map_or(host, |(name, _port)| name);
        let name = CompactString::from(name).to_ascii_lowercase();
        let routes = self
            .by_host
            .get(name.as_str())
            .ok_or(LookupError::NoRoute)?;
        let serves = |route: &&Arc<RouteRow>| path.starts_with(route.prefix.as_str());
        routes.iter().find(serves).ok_or(LookupError::NoRoute)
    }

    /// Finds the holder of `key` for a request on `route`; `None` on a public route without a known
    /// key, or in a deployment that never had workspaces.
    ///
    /// # Errors
    ///
    /// Returns [`LookupError::UnknownKey`] if the route requires a key and `key` is missing or
    /// unknown.
    pub fn holder(
        &self,
        route: &RouteRow,
        key: Option<&CallerKey>,
    ) -> Result<Option<&KeyHolder>, LookupError> {
        let holder = key.and_then(|key| self.by_key.get(key));
        if holder.is_some() || route.is_public || !self.requires_keys {
            return Ok(holder);
        }
        Err(LookupError::UnknownKey)
    }
}

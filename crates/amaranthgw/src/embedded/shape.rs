//! Size and policies of an embedded fleet.

use amaranthgw_core::SlotCount;
use amaranthgw_fleet::routing::{LeastLoadedPolicy, LocalityPolicy, RoundRobinPolicy, RoutePolicy};
use amaranthgw_standins::{EngineSettings, PlainSettings};

/// Which policy the entries route by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyChoice {
    /// The one that processes use.
    DomainNear,
    /// Open targets in turn.
    RoundRobin,
    /// The least loaded target by its last report.
    LeastLoaded,
}

impl PolicyChoice {
    /// Creates the policy.
    #[must_use]
    pub fn policy(self) -> Box<dyn RoutePolicy> {
        match self {
            Self::DomainNear => Box::new(LocalityPolicy::new()),
            Self::RoundRobin => Box::new(RoundRobinPolicy::default()),
            Self::LeastLoaded => Box::new(LeastLoadedPolicy),
        }
    }

    /// Name in reports.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::DomainNear => "domain_near",
            Self::RoundRobin => "round_robin",
            Self::LeastLoaded => "least_loaded",
        }
    }
}

/// Size and policies of an embedded fleet.
#[derive(Clone, Debug)]
pub struct FleetShape {
    /// Failure domains; each has one entry.
    pub domains: Vec<&'static str>,
    /// Engines in each failure domain.
    pub engines: usize,
    /// Plain services in each failure domain.
    pub plains: usize,
    /// Settings of the engines.
    pub engine: EngineSettings,
    /// Settings of the plain services.
    pub plain: PlainSettings,
    /// Requests that a gate admits right after a start.
    pub cold_limit: SlotCount,
    /// Requests that a gate admits once the target is warm.
    pub full_limit: SlotCount,
    /// Policy of the entries.
    pub policy: PolicyChoice,
}

impl FleetShape {
    /// Creates the shape of a small fleet over `domains`.
    #[must_use]
    pub fn new(domains: Vec<&'static str>) -> Self {
        let (cold, full) = (SlotCount::new(2), SlotCount::new(8));
        Self {
            domains,
            engines: 2,
            plains: 1,
            engine: EngineSettings::new()
                .with_cold_slots(cold)
                .with_warm_slots(full),
            plain: PlainSettings::new(),
            cold_limit: cold,
            full_limit: full,
            policy: PolicyChoice::DomainNear,
        }
    }

    /// Sets the number of engines and plain services in each failure domain.
    #[must_use]
    pub const fn with_targets(mut self, engines: usize, plains: usize) -> Self {
        self.engines = engines;
        self.plains = plains;
        self
    }

    /// Sets the settings of the engines.
    #[must_use]
    pub fn with_engine(mut self, engine: EngineSettings) -> Self {
        self.engine = engine;
        self
    }

    /// Sets the settings of the plain services.
    #[must_use]
    pub fn with_plain(mut self, plain: PlainSettings) -> Self {
        self.plain = plain;
        self
    }

    /// Sets the limits of the gates.
    #[must_use]
    pub const fn with_limits(mut self, cold_limit: SlotCount, full_limit: SlotCount) -> Self {
        self.cold_limit = cold_limit;
        self.full_limit = full_limit;
        self
    }

    /// Sets the policy of the entries.
    #[must_use]
    pub const fn with_policy(mut self, policy: PolicyChoice) -> Self {
        self.policy = policy;
        self
    }
}

//! Size, settings and routing policy of an embedded fleet.

use amaranthgw_core::SlotCount;
use amaranthgw_fleet::routing::{LeastLoadedPolicy, LocalityPolicy, RoundRobinPolicy, RoutePolicy};
use amaranthgw_standins::{EngineSettings, PlainSettings};

/// Routing policy of the entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyChoice {
    /// [`LocalityPolicy`], which production entries use.
    Locality,
    /// [`RoundRobinPolicy`], which uses open targets in turn.
    RoundRobin,
    /// [`LeastLoadedPolicy`], which uses the target whose last report has the lowest load.
    LeastLoaded,
}

impl PolicyChoice {
    /// Creates an instance of the policy.
    #[must_use]
    pub fn policy(self) -> Box<dyn RoutePolicy> {
        match self {
            Self::Locality => Box::new(LocalityPolicy::new()),
            Self::RoundRobin => Box::new(RoundRobinPolicy::default()),
            Self::LeastLoaded => Box::new(LeastLoadedPolicy),
        }
    }

    /// Name of the policy in benchmark tables.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Locality => "domain_near",
            Self::RoundRobin => "round_robin",
            Self::LeastLoaded => "least_loaded",
        }
    }
}

/// Size, settings and routing policy of an embedded fleet.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Failure domains; each has one entry.
    pub domains: Vec<&'static str>,
    /// Engines in each failure domain.
    pub engines: usize,
    /// Plain services in each failure domain.
    pub plains: usize,
    /// Settings of every engine.
    pub engine: EngineSettings,
    /// Settings of every plain service.
    pub plain: PlainSettings,
    /// Concurrent requests that a gate admits right after the start of its target.
    pub cold_limit: SlotCount,
    /// Concurrent requests that a gate admits once its target is warm.
    pub full_limit: SlotCount,
    /// Routing policy of the entries.
    pub policy: PolicyChoice,
}

impl FleetSpec {
    /// Creates a spec with two engines and one plain service in each of `domains`.
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
            policy: PolicyChoice::Locality,
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

    /// Sets the cold and the full limit of every gate.
    #[must_use]
    pub const fn with_limits(mut self, cold_limit: SlotCount, full_limit: SlotCount) -> Self {
        self.cold_limit = cold_limit;
        self.full_limit = full_limit;
        self
    }

    /// Sets the routing policy of the entries.
    #[must_use]
    pub const fn with_policy(mut self, policy: PolicyChoice) -> Self {
        self.policy = policy;
        self
    }
}

//! Simulation of entries that share targets and learn their load from periodic, stale reports.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use amaranthgw_core::SlotCount;
use amaranthgw_fleet::routing::{
    DomainDistance, LoadReport, RouteInput, RoutePolicy, ServiceKind, ServiceRoutes,
    SubsetSettings, TargetRoute, TargetStage,
};
use tokio::time::Instant;

/// Properties of a simulated target.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TargetSpec {
    pub limit: u32,
    pub distance: DomainDistance,
    pub stage: TargetStage,
}

impl TargetSpec {
    pub fn new(limit: u32) -> Self {
        Self {
            limit,
            distance: DomainDistance::SameDomain,
            stage: TargetStage::Warm,
        }
    }
}

/// Route to target number `index`, without a load report.
pub(crate) fn target_route(index: usize, spec: TargetSpec) -> TargetRoute {
    TargetRoute {
        target: format!("target-{index}").parse().expect("valid id"),
        vm: format!("vm-{index}").parse().expect("valid id"),
        domain: "tartu-a".parse().expect("valid id"),
        distance: spec.distance,
        address: ([127, 0, 0, 1], 4_000).into(),
        stage: spec.stage,
        load: None,
        own_in_flight: Arc::default(),
    }
}

struct EntrySim {
    settings: SubsetSettings,
    routes: ServiceRoutes,
    targets: Vec<TargetRoute>,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RunSim {
    ends_at: Instant,
    entry: usize,
    target: usize,
}

/// Statistics of a run; `max_over_mean` and `utilisation` are sums over the samples.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SpreadStats {
    pub samples: u32,
    pub max_over_mean: f64,
    pub utilisation: f64,
    pub requests: u32,
    /// Requests rejected because their target was at its limit.
    pub rejected: u32,
}

impl SpreadStats {
    /// Ratio of the highest to the mean utilisation, averaged over the samples.
    pub fn mean_peak(&self) -> f64 {
        self.max_over_mean / f64::from(self.samples.max(1))
    }

    /// Fraction of the limits in use, averaged over the samples.
    pub fn mean_utilisation(&self) -> f64 {
        self.utilisation / f64::from(self.samples.max(1))
    }

    /// Fraction of the requests rejected because their target was at its limit.
    pub fn rejected_share(&self) -> f64 {
        f64::from(self.rejected) / f64::from(self.requests.max(1))
    }
}

/// Load and report settings of a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunSettings {
    pub steps: u32,
    /// Report interval, in steps; all targets report to all entries at the same step.
    pub report_every: u32,
    /// Requests per step, over all entries.
    pub arrivals: u32,
    /// Mean duration of a request, in steps.
    pub mean_run: u32,
    /// Number of distinct prompt prefixes; 0 for requests without one.
    pub prefixes: u64,
}

pub(crate) struct RouteWorld {
    pub now: Instant,
    kind: ServiceKind,
    specs: Vec<TargetSpec>,
    in_flight: Vec<u32>,
    arrived: Vec<u32>,
    entries: Vec<EntrySim>,
    running: BinaryHeap<Reverse<RunSim>>,
}

impl RouteWorld {
    const STEP: Duration = Duration::from_millis(10);

    pub fn new(kind: ServiceKind, entry_count: usize, specs: &[TargetSpec]) -> Self {
        let now = Instant::now();
        let mut world = Self {
            now,
            kind,
            specs: specs.to_vec(),
            in_flight: vec![0; specs.len()],
            arrived: vec![0; specs.len()],
            entries: Vec::new(),
            running: BinaryHeap::new(),
        };
        for index in 0..entry_count {
            let vm = format!("entry-{index}").parse().expect("valid id");
            world
                .entries
                .push(world.make_entry(SubsetSettings::new(&vm)));
        }
        world.report();
        world
    }

    fn make_entry(&self, settings: SubsetSettings) -> EntrySim {
        let specs = self.specs.iter().enumerate();
        let targets: Vec<TargetRoute> = specs
            .map(|(index, spec)| target_route(index, *spec))
            .collect();
        let routes = ServiceRoutes::new(self.kind, Vec::new(), &settings, self.now);
        EntrySim {
            settings,
            routes,
            targets,
        }
    }

    /// Sends the current load of all targets to all entries.
    pub fn report(&mut self) {
        for entry in &mut self.entries {
            for (index, route) in entry.targets.iter_mut().enumerate() {
                route.load = Some(LoadReport {
                    in_flight: SlotCount::new(self.in_flight[index]),
                    own_in_flight: SlotCount::new(route.own_in_flight()),
                    limit: SlotCount::new(self.specs[index].limit),
                    first_chunk_ms: 100.0,
                    reported_at: self.now,
                });
            }
            let targets = entry.targets.clone();
            entry.routes = ServiceRoutes::new(self.kind, targets, &entry.settings, self.now);
        }
    }

    pub fn run(&mut self, policy: &dyn RoutePolicy, settings: &RunSettings) -> SpreadStats {
        let mut stats = SpreadStats::default();
        for step in 0..settings.steps {
            if step % settings.report_every == 0 {
                self.report();
            }
            for _ in 0..settings.arrivals {
                stats.rejected += u32::from(self.send(policy, settings));
                stats.requests += 1;
            }
            if step > settings.steps / 4 {
                stats.max_over_mean += self.peak();
                stats.utilisation += self.utilisation();
                stats.samples += 1;
            }
            self.advance();
        }
        stats
    }

    /// Requests sent to target `index`.
    pub fn arrived(&self, index: usize) -> u32 {
        self.arrived[index]
    }

    /// Sends a request from a random entry; returns whether the target, at its limit, rejected it.
    fn send(&mut self, policy: &dyn RoutePolicy, settings: &RunSettings) -> bool {
        let entry = fastrand::usize(..self.entries.len());
        let prefix_hash = (settings.prefixes > 0).then(|| fastrand::u64(..settings.prefixes));
        let input = RouteInput {
            prefix_hash,
            deadline: self.now + Duration::from_mins(1),
            tried: &[],
        };
        let choice = policy.choose(&self.entries[entry].routes, &input, self.now);
        let route = choice.expect("a target is open").route;
        let name = route.target.as_str().strip_prefix("target-");
        let target: usize = name.and_then(|name| name.parse().ok()).expect("a number");
        self.arrived[target] += 1;
        if self.in_flight[target] >= self.specs[target].limit {
            return true;
        }
        route.own_in_flight.fetch_add(1, Ordering::Relaxed);
        self.in_flight[target] += 1;
        let steps = 1 + fastrand::u32(..settings.mean_run * 2);
        let ends_at = self.now + Self::STEP * steps;
        self.running.push(Reverse(RunSim {
            ends_at,
            entry,
            target,
        }));
        false
    }

    fn advance(&mut self) {
        self.now += Self::STEP;
        while let Some(Reverse(run)) = self.running.peek().copied() {
            if run.ends_at > self.now {
                break;
            }
            self.running.pop();
            self.in_flight[run.target] -= 1;
            let own: &AtomicU32 = &self.entries[run.entry].targets[run.target].own_in_flight;
            own.fetch_sub(1, Ordering::Relaxed);
        }
    }

    /// Ratio of the highest utilisation of a target to the mean.
    fn peak(&self) -> f64 {
        let rows = self.in_flight.iter().zip(&self.specs);
        let used = rows.map(|(load, spec)| f64::from(*load) / f64::from(spec.limit));
        used.fold(0.0, f64::max) / self.utilisation().max(f64::EPSILON)
    }

    fn utilisation(&self) -> f64 {
        let load: u32 = self.in_flight.iter().sum();
        let limit: u32 = self.specs.iter().map(|spec| spec.limit).sum();
        f64::from(load) / f64::from(limit)
    }
}

//! Distribution over failure domains, alone and with the gates of a domain that returns to service.

use std::time::Duration;

use amaranthgw_core::{DomainId, EntityTable, SlotCount, StartMark};
use amaranthgw_fleet::drain::{DomainCapacity, SharePlan, ShareSettings, plan_shares};
use amaranthgw_fleet::gate::{
    AnswerEvidence, GateEvidence, GateRow, GateSettings, GateStage, LoadEvidence,
};
use proptest::prelude::*;
use tokio::time::Instant;

fn domain(number: usize) -> DomainId {
    format!("domain-{number}").parse().expect("valid id")
}

fn capacities(rows: &[(u32, u32)]) -> EntityTable<DomainId, DomainCapacity> {
    let row = |(number, (limit, more)): (usize, &(u32, u32))| {
        let limit_slots = SlotCount::new(*limit);
        let full = SlotCount::new(limit + more);
        (
            domain(number),
            DomainCapacity {
                limit: limit_slots,
                full,
            },
        )
    };
    rows.iter().enumerate().map(row).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(1_000) })]

    #[test]
    fn plan_shares_within_limits(
        rows in prop::collection::vec((0..200_u32, prop_oneof![Just(0), 1..99_u32]), 0..6),
        demand in 0..900_u32,
    ) {
        let domains = capacities(&rows);
        let settings = ShareSettings::default();
        let plan = plan_shares(&domains, SlotCount::new(demand), &settings);
        let mut assigned = 0;
        let mut assigned_warming = 0;
        for (id, capacity) in domains.iter() {
            let share = plan.shares.get(id).copied().unwrap_or_default();
            prop_assert!(share <= capacity.limit, "share {share} exceeds limit {}", capacity.limit);
            assigned += share.get();
            assigned_warming += if capacity.limit < capacity.full { share.get() } else { 0 };
        }
        let total: u32 = rows.iter().map(|row| row.0).sum();
        prop_assert_eq!(assigned, demand.min(total));
        prop_assert_eq!(assigned + plan.surplus.get(), demand);
        let warming: u32 = rows.iter().filter(|row| row.1 > 0).map(|row| row.0).sum();
        prop_assert!(assigned_warming >= warming.min(settings.warming_first.of(SlotCount::new(demand)).get()));
    }
}

const TARGETS: usize = 4;
const DEMAND: u32 = 150;
const STEP: Duration = Duration::from_millis(100);

/// Gates of three failure domains: two warm, one that has just returned to service.
struct Region {
    now: Instant,
    gates: Vec<Vec<GateRow>>,
}

impl Region {
    fn new() -> Self {
        let now = Instant::now();
        let gate = |_| GateRow::new(GateSettings::default(), now);
        let domain = |_| (0..TARGETS).map(gate).collect();
        let mut region = Self {
            now,
            gates: (0..3).map(domain).collect(),
        };
        region.now += Duration::from_secs(1);
        for row in region.gates.iter_mut().flatten() {
            let load = LoadEvidence {
                mark: StartMark::new(1),
                in_flight: SlotCount::new(0),
                sampled_at: region.now,
            };
            row.record(GateEvidence::Load(load), region.now);
        }
        for _ in 0..600 {
            region.step(&[32; 3]);
        }
        for row in &mut region.gates[2] {
            row.record(GateEvidence::Returned, region.now);
        }
        region
    }

    /// Completes `per_target` requests at each target of the domains, within the gate limits.
    fn step(&mut self, per_target: &[u32; 3]) {
        self.now += STEP;
        for (domain, per_target) in self.gates.iter_mut().zip(per_target) {
            for row in domain {
                let in_flight = row.limit().min(SlotCount::new(*per_target));
                for _ in 0..in_flight.get() {
                    let answer = AnswerEvidence {
                        admitted_at: self.now,
                        in_flight,
                        first_chunk: Duration::from_millis(50),
                        is_in_time: true,
                    };
                    row.record(GateEvidence::Answer(answer), self.now);
                }
                row.tick(self.now);
            }
        }
    }

    fn capacities(&self) -> EntityTable<DomainId, DomainCapacity> {
        let row = |(number, gates): (usize, &Vec<GateRow>)| {
            let limit = gates.iter().map(|gate| gate.limit().get()).sum();
            let full = gates.iter().map(|gate| gate.settings().full_limit.get());
            let (limit, full) = (SlotCount::new(limit), SlotCount::new(full.sum()));
            (domain(number), DomainCapacity { limit, full })
        };
        self.gates.iter().enumerate().map(row).collect()
    }

    /// Runs until every gate has its full limit; returns the steps taken and the requests that
    /// exceeded the gate limits.
    fn run_until_full(
        &mut self,
        plan: impl Fn(&EntityTable<DomainId, DomainCapacity>) -> SharePlan,
    ) -> (u32, u32) {
        let mut refused = 0;
        for steps in 0..2_000 {
            let mut gates = self.gates.iter().flatten();
            if gates.all(|gate| gate.stage() == GateStage::Full) {
                return (steps, refused);
            }
            let capacities = self.capacities();
            let plan = plan(&capacities);
            let targets = u32::try_from(TARGETS).expect("few");
            let share = |number| {
                plan.shares
                    .get(&domain(number))
                    .copied()
                    .unwrap_or_default()
            };
            let shares = [share(0), share(1), share(2)];
            for (number, share) in shares.iter().enumerate() {
                let limit = capacities.get(&domain(number)).expect("known").limit;
                refused += share.get().saturating_sub(limit.get());
            }
            self.step(&shares.map(|share| share.get().div_ceil(targets)));
        }
        (u32::MAX, refused)
    }
}

#[test]
fn plan_shares_domain_returns() {
    let demand = SlotCount::new(DEMAND);
    let settings = ShareSettings::default();
    let (steps, refused) =
        Region::new().run_until_full(|rows| plan_shares(rows, demand, &settings));
    assert_eq!(refused, 0);
    assert!(
        steps <= 100,
        "{steps} steps of 100 ms until every gate was full"
    );
    let equal = |rows: &EntityTable<DomainId, DomainCapacity>| SharePlan {
        shares: rows
            .ids()
            .map(|id| (id.clone(), SlotCount::new(DEMAND / 3)))
            .collect(),
        surplus: SlotCount::new(0),
    };
    let (_, refused_equal) = Region::new().run_until_full(equal);
    assert!(
        refused_equal > 100,
        "with equal shares, cold gates should refuse more than 100 requests, refused {refused_equal}"
    );
    let by_limit = ShareSettings {
        warming_first: amaranthgw_fleet::gate::PartPercent::new(0),
    };
    let (slower_steps, _) =
        Region::new().run_until_full(|rows| plan_shares(rows, demand, &by_limit));
    assert!(
        steps < slower_steps,
        "{steps} steps with warming domains first, {slower_steps} without"
    );
}

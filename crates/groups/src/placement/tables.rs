//! Placement rows of the groups of a process and the system that plans for them.

use amaranthgw_core::{EntityTable, GroupId, MilliSpan, TickSystem};
use tokio::time::Instant;

use super::{
    ExpertMap, GroupShape, LayerPopularity, MovePrice, PlacementInput, PlacementPlan,
    PlacementPolicy,
};

/// What is known of a group for its placement.
#[derive(Clone, Debug)]
pub struct PlacementRow {
    /// Sizes of the group.
    pub shape: GroupShape,
    /// Prices of a change.
    pub price: MovePrice,
    /// Map in force.
    pub map: ExpertMap,
    /// Popularity, by layer.
    pub popularity: Vec<LayerPopularity>,
    /// Time of the next plan.
    pub plan_at: Instant,
}

/// Placement rows and the plans made from them.
#[derive(Debug, Default)]
pub struct PlacementTables {
    /// Groups whose placement this process decides.
    pub groups: EntityTable<GroupId, PlacementRow>,
    /// New plans, to be proposed by the group's coordinator.
    pub outbox: Vec<(GroupId, PlacementPlan)>,
}

/// Plans for every group that is due.
#[derive(Debug)]
pub struct PlacementSystem {
    policy: Box<dyn PlacementPolicy>,
    pause: MilliSpan,
}

impl PlacementSystem {
    /// Creates the system with a policy and the time between two plans of a group.
    #[must_use]
    pub fn new(policy: Box<dyn PlacementPolicy>, pause: MilliSpan) -> Self {
        Self { policy, pause }
    }
}

impl TickSystem<PlacementTables> for PlacementSystem {
    fn name(&self) -> &'static str {
        "placement"
    }

    fn run(&mut self, world: &mut PlacementTables, now: Instant) {
        for (group, row) in world
            .groups
            .iter_mut()
            .filter(|(_, row)| now >= row.plan_at)
        {
            row.plan_at = now + self.pause.duration();
            let input = PlacementInput {
                shape: row.shape,
                price: &row.price,
                map: &row.map,
                popularity: &row.popularity,
            };
            let plan = self.policy.plan(input);
            world.outbox.extend(plan.map(|plan| (group.clone(), plan)));
        }
    }
}

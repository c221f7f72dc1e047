//! Placement table of the groups of a process, and the system that plans their placement.

use amaranthgw_core::{EntityTable, GroupId, MilliSpan, TickSystem};
use tokio::time::Instant;

use super::{
    ExpertMap, GroupShape, LayerPopularity, MoveCost, PlacementInput, PlacementPlan,
    PlacementPolicy,
};

/// State of a group for its placement.
#[derive(Clone, Debug)]
pub struct PlacementRow {
    /// Shape of the group.
    pub shape: GroupShape,
    /// Cost model of a map change.
    pub cost: MoveCost,
    /// Map in use.
    pub map: ExpertMap,
    /// Expert popularity, by layer.
    pub popularity: Vec<LayerPopularity>,
    /// Time of the next plan.
    pub plan_at: Instant,
}

/// Placement rows and the plans made for them.
#[derive(Debug, Default)]
pub struct PlacementTables {
    /// Groups whose placement this process decides.
    pub groups: EntityTable<GroupId, PlacementRow>,
    /// New plans, to be proposed by the coordinator of each group.
    pub outbox: Vec<(GroupId, PlacementPlan)>,
}

/// System that plans the placement of every group whose next plan is due.
#[derive(Debug)]
pub struct PlacementSystem {
    policy: Box<dyn PlacementPolicy>,
    plan_interval: MilliSpan,
}

impl PlacementSystem {
    /// Creates the system with a policy and the interval between two plans of a group.
    #[must_use]
    pub fn new(policy: Box<dyn PlacementPolicy>, plan_interval: MilliSpan) -> Self {
        Self {
            policy,
            plan_interval,
        }
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
            row.plan_at = now + self.plan_interval.duration();
            let input = PlacementInput {
                shape: row.shape,
                cost: &row.cost,
                map: &row.map,
                popularity: &row.popularity,
            };
            let plan = self.policy.plan(input);
            world.outbox.extend(plan.map(|plan| (group.clone(), plan)));
        }
    }
}

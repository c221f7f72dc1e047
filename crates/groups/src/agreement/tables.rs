//! Tables of the groups of a process, and the systems that run over them.

use amaranthgw_core::{EntityTable, GroupId, TickSystem};
use tokio::time::Instant;

use super::{GroupEffect, MapCoordinator, RankMember};

/// Rows of the groups that a process belongs to, and the effects that their systems request.
#[derive(Debug, Default)]
pub struct GroupTables {
    /// The rank of this process in each group.
    pub members: EntityTable<GroupId, RankMember>,
    /// Coordinators of the groups whose lease this process holds.
    pub coordinators: EntityTable<GroupId, MapCoordinator>,
    /// Effects to execute, in order.
    pub outbox: Vec<(GroupId, GroupEffect)>,
}

/// Ticks every member.
#[derive(Debug, Default)]
pub struct MemberSystem;

impl TickSystem<GroupTables> for MemberSystem {
    fn name(&self) -> &'static str {
        "members"
    }

    fn run(&mut self, world: &mut GroupTables, now: Instant) {
        for (group, member) in world.members.iter_mut() {
            let effects = member.tick(now);
            world
                .outbox
                .extend(effects.into_iter().map(|effect| (group.clone(), effect)));
        }
    }
}

/// Ticks every coordinator whose group has a member row.
#[derive(Debug, Default)]
pub struct CoordinatorSystem;

impl TickSystem<GroupTables> for CoordinatorSystem {
    fn name(&self) -> &'static str {
        "coordinators"
    }

    fn run(&mut self, world: &mut GroupTables, now: Instant) {
        for (group, coordinator) in world.coordinators.iter_mut() {
            let Some(member) = world.members.get(group) else {
                continue;
            };
            let effects = coordinator.tick(member.status(), now);
            world
                .outbox
                .extend(effects.into_iter().map(|effect| (group.clone(), effect)));
        }
    }
}

//! The systems that run at each step of a group.

use std::time::Duration;

use amaranthgw_core::{TickSchedule, TickSystem};
use tokio::time::Instant;

use super::shares::{ExpertLoads, step_span};
use super::world::GroupWorld;

/// Shortest time from one step to the next.
const MIN_STEP: Duration = Duration::from_millis(1);

/// The systems in their order.
pub(super) fn group_schedule() -> TickSchedule<GroupWorld> {
    TickSchedule::new()
        .with_system(SwitchSystem)
        .with_system(StepSystem)
        .with_system(PaceSystem)
}

/// Lets the running ranks take the map switches of the upcoming step.
#[derive(Debug)]
struct SwitchSystem;

impl TickSystem<GroupWorld> for SwitchSystem {
    fn name(&self) -> &'static str {
        "switch"
    }

    fn run(&mut self, world: &mut GroupWorld, now: Instant) {
        let step = world.upcoming_step();
        for (_, row) in world.ranks.iter_mut() {
            if row.is_up(now) {
                row.switch_by(step);
            }
        }
    }
}

/// Begins the upcoming step if every rank answers and all are of one generation.
#[derive(Debug)]
struct StepSystem;

impl TickSystem<GroupWorld> for StepSystem {
    fn name(&self) -> &'static str {
        "step"
    }

    fn run(&mut self, world: &mut GroupWorld, now: Instant) {
        world.has_stepped = all_answer(world, now);
        if world.has_stepped {
            begin_step(world);
        }
    }
}

/// Sets when the next step may begin: the slowest rank holds up all.
#[derive(Debug)]
struct PaceSystem;

impl TickSystem<GroupWorld> for PaceSystem {
    fn name(&self) -> &'static str {
        "pace"
    }

    fn run(&mut self, world: &mut GroupWorld, now: Instant) {
        let mut span = world.settings.step_span.duration().max(MIN_STEP);
        if world.has_stepped {
            let slowest = world.ranks.rows().map(|row| row.step_span).max();
            span = span.max(slowest.unwrap_or_default());
        }
        let planned = world.next_step + span;
        let is_late = planned <= now;
        world.next_step = if is_late { now + span } else { planned };
    }
}

fn all_answer(world: &GroupWorld, now: Instant) -> bool {
    let layers = world.settings.layers;
    let mut rows = world.ranks.rows();
    let Some(generation) = world.ranks.rows().next().map(|row| row.generation) else {
        return false;
    };
    rows.all(|row| row.generation == generation && row.answers_step(now, layers))
}

fn begin_step(world: &mut GroupWorld) {
    let step = world.upcoming_step();
    let loads = ExpertLoads::new(&world.settings, &world.ranks);
    for (_, row) in world.ranks.iter_mut() {
        let share = row.maps.share(row.version);
        row.tokens = share
            .map(|share| loads.share_tokens(share))
            .unwrap_or_default();
        row.step_span = step_span(&world.settings, &row.tokens);
        row.step = step;
    }
    world.log.add_step(step, &world.ranks, loads.missing());
}

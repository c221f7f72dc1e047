//! Systems that run at each step of a group.

use std::time::Duration;

use amaranthgw_core::{TickSchedule, TickSystem};
use tokio::time::Instant;

use super::shares::{ExpertTokens, compute_span};
use super::world::GroupWorld;

/// Minimum time between the starts of two steps.
const MIN_STEP: Duration = Duration::from_millis(1);

/// Returns the schedule with all systems in their order.
pub(super) fn group_schedule() -> TickSchedule<GroupWorld> {
    TickSchedule::new()
        .with_system(SwitchSystem)
        .with_system(StepSystem)
        .with_system(StepTimingSystem)
}

/// Applies the pending map switches of the running ranks that are due by the upcoming step.
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
                row.apply_switch(step);
            }
        }
    }
}

/// Begins the upcoming step if every rank is ready and all have the same generation.
#[derive(Debug)]
struct StepSystem;

impl TickSystem<GroupWorld> for StepSystem {
    fn name(&self) -> &'static str {
        "step"
    }

    fn run(&mut self, world: &mut GroupWorld, now: Instant) {
        world.step_began = all_ready(world, now);
        if world.step_began {
            begin_step(world);
        }
    }
}

/// Sets when the next step may begin; the slowest rank determines the step time of all.
#[derive(Debug)]
struct StepTimingSystem;

impl TickSystem<GroupWorld> for StepTimingSystem {
    fn name(&self) -> &'static str {
        "step-timing"
    }

    fn run(&mut self, world: &mut GroupWorld, now: Instant) {
        let mut span = world.settings.step_span.duration().max(MIN_STEP);
        if world.step_began {
            let slowest = world.ranks.rows().map(|row| row.compute_span).max();
            span = span.max(slowest.unwrap_or_default());
        }
        let planned = world.next_step + span;
        let is_late = planned <= now;
        world.next_step = if is_late { now + span } else { planned };
    }
}

fn all_ready(world: &GroupWorld, now: Instant) -> bool {
    let layers = world.settings.layers;
    let mut rows = world.ranks.rows();
    let Some(generation) = world.ranks.rows().next().map(|row| row.generation) else {
        return false;
    };
    rows.all(|row| row.generation == generation && row.is_ready(now, layers))
}

fn begin_step(world: &mut GroupWorld) {
    let step = world.upcoming_step();
    let tokens = ExpertTokens::new(&world.settings, &world.ranks);
    for (_, row) in world.ranks.iter_mut() {
        let share = row.maps.share(row.version);
        row.tokens = share
            .map(|share| tokens.share_tokens(share))
            .unwrap_or_default();
        row.compute_span = compute_span(&world.settings, &row.tokens);
        row.step = step;
    }
    world.log.record_step(step, &world.ranks, tokens.missing());
}

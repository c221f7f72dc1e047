//! Systems and the schedule that runs them at each tick.

use tokio::time::Instant;

/// One step of a tick: reads and changes the tables of a world.
///
/// A system neither waits nor performs input or output. What has to be sent is put into the
/// world's outbox.
pub trait TickSystem<World>: std::fmt::Debug + Send {
    /// Short name for logs and measurements.
    fn name(&self) -> &'static str;

    /// Runs the system once at the time `now`.
    fn run(&mut self, world: &mut World, now: Instant);
}

/// The systems of a world in the order in which each tick runs them.
#[derive(Debug)]
pub struct TickSchedule<World> {
    systems: Vec<Box<dyn TickSystem<World>>>,
}

impl<World> TickSchedule<World> {
    /// Creates a schedule without systems.
    #[must_use]
    pub fn new() -> Self {
        Self {
            systems: Vec::new(),
        }
    }

    /// Adds `system` behind those already in the schedule.
    #[must_use]
    pub fn with_system(mut self, system: impl TickSystem<World> + 'static) -> Self {
        self.systems.push(Box::new(system));
        self
    }

    /// Runs every system once, in order.
    pub fn run(&mut self, world: &mut World, now: Instant) {
        for system in &mut self.systems {
            system.run(world, now);
        }
    }

    /// Names of the systems in the order they run.
    pub fn names(&self) -> impl Iterator<Item = &'static str> {
        self.systems.iter().map(|system| system.name())
    }
}

impl<World> Default for TickSchedule<World> {
    fn default() -> Self {
        Self::new()
    }
}

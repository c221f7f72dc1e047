//! Tick systems and the schedule that runs them.

use tokio::time::Instant;

/// A system that reads and updates the tables of a world once per tick.
///
/// A system neither blocks nor performs I/O. Outgoing messages are queued in the world's outbox.
pub trait TickSystem<World>: std::fmt::Debug + Send {
    /// Short name for logs and metrics.
    fn name(&self) -> &'static str;

    /// Runs the system once; `now` is the time of the tick.
    fn run(&mut self, world: &mut World, now: Instant);
}

/// An ordered list of systems that each tick runs over a world.
#[derive(Debug)]
pub struct TickSchedule<World> {
    systems: Vec<Box<dyn TickSystem<World>>>,
}

impl<World> TickSchedule<World> {
    /// Creates an empty schedule.
    #[must_use]
    pub fn new() -> Self {
        Self {
            systems: Vec::new(),
        }
    }

    /// Appends `system` to the schedule.
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

    /// Names of the systems in execution order.
    pub fn names(&self) -> impl Iterator<Item = &'static str> {
        self.systems.iter().map(|system| system.name())
    }
}

impl<World> Default for TickSchedule<World> {
    fn default() -> Self {
        Self::new()
    }
}

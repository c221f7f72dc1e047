//! Startup of a model engine.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::time::Instant;

use super::EngineSettings;
use super::calls::EngineHandler;
use super::systems::engine_schedule;
use crate::error::Result;
use crate::http::{ConnectionCloser, bind, serve};
use crate::running::{RunningStandin, Standin};

/// Stand-in for a model engine.
#[derive(Clone, Debug)]
pub struct EngineStandin {
    settings: EngineSettings,
}

impl EngineStandin {
    /// Creates a stand-in that is not started yet.
    #[must_use]
    pub fn new(settings: EngineSettings) -> Self {
        Self { settings }
    }
}

impl Standin for EngineStandin {
    fn start(&self, listen: SocketAddr) -> Result<RunningStandin> {
        let (listener, address) = bind(listen)?;
        let closer = ConnectionCloser::new();
        let handler = EngineHandler::new(self.settings.clone(), closer.clone(), Instant::now());
        let handler = Arc::new(handler);
        let running = RunningStandin::new().with_address(address);
        let running = running.with_task(run_steps(Arc::clone(&handler)));
        Ok(running.with_task(serve(listener, handler, closer)))
    }
}

/// Runs the engine's systems whenever a step is due, until the future is dropped.
async fn run_steps(handler: Arc<EngineHandler>) {
    let mut schedule = engine_schedule();
    loop {
        let changed = handler.changed.notified();
        match handler.run_due(&mut schedule, Instant::now()) {
            Some(due) => tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                () = changed => {}
            },
            None => changed.await,
        }
    }
}

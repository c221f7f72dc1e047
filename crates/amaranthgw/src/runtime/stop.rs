//! Shutdown phases of a process and the signals that start a shutdown.

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use super::{Result, RuntimeError};

/// Phase of a process, in the order of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// Accepts work.
    Serving,
    /// Announces to the platform that it is leaving, and still accepts work that arrives.
    Announcing,
    /// Accepts no work and finishes requests in flight.
    Draining,
    /// Cuts off requests that are still in flight.
    Ending,
}

/// Broadcasts the phase of a process to all its threads.
#[derive(Clone, Debug)]
pub struct StopSignal {
    phase: watch::Sender<StopPhase>,
}

impl StopSignal {
    /// Creates a signal in [`StopPhase::Serving`].
    #[must_use]
    pub fn new() -> Self {
        Self {
            phase: watch::Sender::new(StopPhase::Serving),
        }
    }

    /// Returns the current phase.
    #[must_use]
    pub fn phase(&self) -> StopPhase {
        *self.phase.borrow()
    }

    /// Enters `phase`, unless the process is already in a later one.
    pub fn advance(&self, phase: StopPhase) {
        let enter_later = |current: &mut StopPhase| {
            let is_later = phase > *current;
            *current = phase.max(*current);
            is_later
        };
        self.phase.send_if_modified(enter_later);
    }

    /// Waits until the process is in `phase` or a later one.
    pub async fn reached(&self, phase: StopPhase) {
        let mut changes = self.phase.subscribe();
        // `self` owns the sender, so the channel cannot close during the wait.
        drop(changes.wait_for(|current| *current >= phase).await);
    }
}

impl Default for StopSignal {
    fn default() -> Self {
        Self::new()
    }
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns [`RuntimeError::Thread`] if a signal handler cannot be installed.
pub async fn wait_for_termination() -> Result<()> {
    let thread_error = |source| RuntimeError::Thread { source };
    let mut terminate = signal(SignalKind::terminate()).map_err(thread_error)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(thread_error)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

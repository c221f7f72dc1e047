//! The phases of a stop and the signals that begin one.

use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use super::{Result, RuntimeError};

/// Phase of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// Takes work.
    Serving,
    /// Tells the platform that it leaves, and still takes work that arrives meanwhile.
    Noticing,
    /// Takes no work and ends what is in flight.
    Draining,
    /// Cuts off what is left.
    Ending,
}

/// Tells every thread of a process which phase it is in.
#[derive(Clone, Debug)]
pub struct StopSignal {
    phase: watch::Sender<StopPhase>,
}

impl StopSignal {
    /// Creates the signal of a process that serves.
    #[must_use]
    pub fn new() -> Self {
        Self {
            phase: watch::Sender::new(StopPhase::Serving),
        }
    }

    /// The current phase.
    #[must_use]
    pub fn phase(&self) -> StopPhase {
        *self.phase.borrow()
    }

    /// Enters `phase` unless a later one was entered.
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
        // The sender lives in `self`, so the channel can't close while this waits.
        drop(changes.wait_for(|current| *current >= phase).await);
    }
}

impl Default for StopSignal {
    fn default() -> Self {
        Self::new()
    }
}

/// Waits for the signals SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns [`RuntimeError::Thread`] where the signals can't be received.
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

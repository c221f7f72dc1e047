//! Listeners and connections that are open, and the wait for their end.

use std::convert::Infallible;

use tokio::sync::mpsc;

/// Kept by whatever is open: a listener, or a connection that it accepted.
#[derive(Clone, Debug)]
pub struct OpenGuard {
    _sender: mpsc::Sender<Infallible>,
}

/// Waits until all guards are dropped.
#[derive(Debug)]
pub struct OpenTracker {
    guards: mpsc::Receiver<Infallible>,
}

impl OpenTracker {
    /// Creates a tracker and its first guard, of which the others are clones.
    #[must_use]
    pub fn new() -> (Self, OpenGuard) {
        let (sender, guards) = mpsc::channel(1);
        (Self { guards }, OpenGuard { _sender: sender })
    }

    /// Waits until nothing is open. A connection is accepted under the guard of its listener, so
    /// nothing opens afterwards.
    pub async fn all_closed(&mut self) {
        // Nothing is ever sent: the channel ends with its last sender.
        while self.guards.recv().await.is_some() {}
    }
}

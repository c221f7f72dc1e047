//! The border of every stand-in: how it is started and stopped.

use std::net::SocketAddr;

use tokio::task::JoinSet;

use crate::error::Result;

/// A stand-in that can be started on an address.
pub trait Standin: std::fmt::Debug + Send + Sync {
    /// Binds `listen` (port 0 takes a free port) and serves on the current tokio runtime.
    ///
    /// Each start begins with fresh state.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError::Listen`](crate::StandinError::Listen) where an address cannot be
    /// bound.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime with input, output and time enabled.
    fn start(&self, listen: SocketAddr) -> Result<RunningStandin>;
}

/// A started stand-in; it stops with all its connections when dropped.
#[derive(Debug)]
pub struct RunningStandin {
    addresses: Vec<SocketAddr>,
    control: Option<SocketAddr>,
    tasks: JoinSet<()>,
}

impl RunningStandin {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            addresses: vec![address],
            control: None,
            tasks: JoinSet::new(),
        }
    }

    pub(crate) fn with_task(mut self, task: impl Future<Output = ()> + Send + 'static) -> Self {
        self.tasks.spawn(task);
        self
    }

    /// The address it listens on; the first rank's for a rank group.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.addresses[0]
    }

    /// All addresses it serves: one for each rank of a rank group, else one.
    #[must_use]
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Address of the test controls where they have a port of their own.
    #[must_use]
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.control
    }

    /// Closes the listening ports and all connections, and waits until that is done.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

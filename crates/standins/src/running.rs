//! Interface to start and stop a stand-in.

use std::net::SocketAddr;

use tokio::task::JoinSet;

use crate::error::Result;

/// A stand-in that can be started on an address.
pub trait Standin: std::fmt::Debug + Send + Sync {
    /// Listens on `listen` (port 0: any free port) and serves on the current tokio runtime.
    ///
    /// Each start begins with fresh state, except with the types of [`site`](crate::site): what
    /// they start shares the state of the handle.
    ///
    /// # Errors
    ///
    /// Returns [`StandinError::Listen`](crate::StandinError::Listen) if an address cannot be bound,
    /// and other errors if the settings are incomplete.
    ///
    /// # Panics
    ///
    /// Panics outside a tokio runtime with I/O and time enabled.
    fn start(&self, listen: SocketAddr) -> Result<RunningStandin>;
}

/// A running stand-in; dropping it stops it and closes its connections.
#[derive(Debug)]
pub struct RunningStandin {
    addresses: Vec<SocketAddr>,
    control: Option<SocketAddr>,
    tasks: JoinSet<()>,
}

impl RunningStandin {
    pub(crate) fn new() -> Self {
        Self {
            addresses: Vec::new(),
            control: None,
            tasks: JoinSet::new(),
        }
    }

    pub(crate) fn with_address(mut self, address: SocketAddr) -> Self {
        self.addresses.push(address);
        self
    }

    pub(crate) fn with_control(mut self, address: SocketAddr) -> Self {
        self.control = Some(address);
        self
    }

    pub(crate) fn with_task(mut self, task: impl Future<Output = ()> + Send + 'static) -> Self {
        self.tasks.spawn(task);
        self
    }

    /// Listening address; for a rank group, that of the first rank.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.addresses[0]
    }

    /// All listening addresses: one per rank of a rank group, otherwise one.
    #[must_use]
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Address of the test controls, if they have their own port.
    #[must_use]
    pub fn control_address(&self) -> Option<SocketAddr> {
        self.control
    }

    /// Writes a line `listening <ip:port>` for each address, and `control <ip:port>` if the test
    /// controls have their own port.
    ///
    /// # Errors
    ///
    /// Returns an error if writing to `out` fails.
    pub fn announce(&self, out: &mut dyn std::io::Write) -> std::io::Result<()> {
        for address in &self.addresses {
            writeln!(out, "listening {address}")?;
        }
        if let Some(address) = self.control {
            writeln!(out, "control {address}")?;
        }
        out.flush()
    }

    /// Closes the listening ports and all connections, and waits until all tasks have ended.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

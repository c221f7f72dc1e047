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

    /// Writes one line `listening <ip:port>` for each address and `control <ip:port>` for the
    /// test controls where they have a port of their own.
    ///
    /// # Errors
    ///
    /// Returns the error of writing to `out`.
    pub fn announce(&self, out: &mut dyn std::io::Write) -> std::io::Result<()> {
        for address in &self.addresses {
            writeln!(out, "listening {address}")?;
        }
        if let Some(address) = self.control {
            writeln!(out, "control {address}")?;
        }
        out.flush()
    }

    /// Closes the listening ports and all connections, and waits until that is done.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

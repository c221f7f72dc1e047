//! Running a stand-in as a process.

use std::net::SocketAddr;

use tokio::signal::unix::{SignalKind, signal};

use crate::error::{Result, StandinError};
use crate::kind::StandinKind;

/// Runs a stand-in on `listen` until the process gets SIGTERM or SIGINT.
///
/// Prints `listening <ip:port>` to standard output for each address, and `control <ip:port>` if the
/// test controls have their own port. `settings` is as for [`StandinKind::standin`].
///
/// # Errors
///
/// Returns a [`StandinError`] if the settings are malformed, an address cannot be bound, the
/// addresses cannot be printed or the signal handlers cannot be installed.
pub async fn run_standin(kind: StandinKind, listen: SocketAddr, settings: &str) -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).map_err(StandinError::Signal)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(StandinError::Signal)?;
    let running = kind.standin(settings)?.start(listen)?;
    running
        .announce(&mut std::io::stdout())
        .map_err(StandinError::Announce)?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    running.stop().await;
    Ok(())
}

//! A stand-in as the whole work of a process.

use std::net::SocketAddr;

use tokio::signal::unix::{SignalKind, signal};

use crate::error::{Result, StandinError};
use crate::kind::StandinKind;

/// Runs a stand-in on `listen` until the process gets SIGTERM or SIGINT.
///
/// Prints `listening <ip:port>` to the standard output for each address, and `control <ip:port>`
/// where the test controls have a port of their own. `settings` is as for
/// [`StandinKind::standin`].
///
/// # Errors
///
/// Returns a [`StandinError`] where the settings are malformed, an address cannot be bound, or
/// the process can neither print nor wait for signals.
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

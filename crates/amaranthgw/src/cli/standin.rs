//! Runs a stand-in.

use std::net::SocketAddr;

use amaranthgw_standins::{StandinKind, run_standin};
use tokio::runtime::Builder;

use super::EXIT_DONE;

/// Runs a stand-in until it is told to stop.
pub(super) fn run(kind: StandinKind, listen: SocketAddr, settings: &str) -> eyre::Result<u8> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run_standin(kind, listen, settings))?;
    Ok(EXIT_DONE)
}

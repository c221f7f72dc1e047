//! The `standin` command.

use std::net::SocketAddr;

use amaranthgw_standins::{StandinKind, run_standin};
use tokio::runtime::Builder;

use super::EXIT_SUCCESS;

/// Runs a stand-in until it is stopped.
pub(super) fn run(kind: StandinKind, listen: SocketAddr, settings: &str) -> eyre::Result<u8> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run_standin(kind, listen, settings))?;
    Ok(EXIT_SUCCESS)
}

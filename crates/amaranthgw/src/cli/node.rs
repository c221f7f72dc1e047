//! Runs an entry or a sidecar until it is told to stop.

use std::path::Path;

use amaranthgw_fleet::settings::{AgentSettings, EntrySettings, GatewaySettings, SidecarSettings};
use eyre::WrapErr;
use tokio::runtime::Builder;

use super::{EXIT_DONE, EXIT_INVALID};
use crate::agent::AgentProcess;
use crate::entry::EntryProcess;
use crate::gateway::GatewayProcess;
use crate::runtime::{StopPhase, StopSignal, wait_for_termination};
use crate::sidecar::SidecarProcess;
use crate::telemetry::{EventLevel, EventLog};

/// Runs an entry.
pub(super) fn run_entry(path: &Path, verbose: bool) -> eyre::Result<u8> {
    let text = read(path)?;
    let settings = match EntrySettings::parse(&text, &path.to_string_lossy()) {
        Ok(settings) => settings,
        Err(error) => return Ok(refuse(&error)),
    };
    let process = EntryProcess::start(&settings, &event_log(verbose))?;
    println!("node {}", process.node_address());
    println!("listening {}", process.address());
    stop_on_signal(&process.stop_signal())?;
    process.join()?;
    Ok(EXIT_DONE)
}

/// Runs a sidecar.
pub(super) fn run_sidecar(path: &Path, verbose: bool) -> eyre::Result<u8> {
    let text = read(path)?;
    let settings = match SidecarSettings::parse(&text, &path.to_string_lossy()) {
        Ok(settings) => settings,
        Err(error) => return Ok(refuse(&error)),
    };
    let process = SidecarProcess::start(&settings, &event_log(verbose))?;
    println!("listening {}", process.address());
    stop_on_signal(&process.stop_signal())?;
    process.join()?;
    Ok(EXIT_DONE)
}

/// Runs a gateway.
pub(super) fn run_gateway(path: &Path) -> eyre::Result<u8> {
    let text = read(path)?;
    let settings = match GatewaySettings::parse(&text, &path.to_string_lossy()) {
        Ok(settings) => settings,
        Err(error) => return Ok(refuse(&error)),
    };
    let log = EventLog::with_standard_output(EventLevel::Info);
    let process = GatewayProcess::start(&settings, &log)?;
    stop_on_signal(&process.stop_signal())?;
    process.join()?;
    Ok(EXIT_DONE)
}

/// Runs an agent.
pub(super) fn run_agent(path: &Path) -> eyre::Result<u8> {
    let text = read(path)?;
    let settings = match AgentSettings::parse(&text, &path.to_string_lossy()) {
        Ok(settings) => settings,
        Err(error) => return Ok(refuse(&error)),
    };
    let log = EventLog::with_standard_output(EventLevel::Info);
    let process = AgentProcess::start(&settings, &log)?;
    stop_on_signal(&process.stop_signal())?;
    process.join()?;
    Ok(EXIT_DONE)
}

/// Reads a file as text.
pub(super) fn read(path: &Path) -> eyre::Result<String> {
    std::fs::read_to_string(path).wrap_err_with(|| format!("can't read {}", path.display()))
}

/// Prints why an input is refused and gives the exit code for it.
pub(super) fn refuse(error: &impl std::fmt::Display) -> u8 {
    eprintln!("{error}");
    EXIT_INVALID
}

fn event_log(verbose: bool) -> EventLog {
    EventLog::new(if verbose {
        EventLevel::Debug
    } else {
        EventLevel::Info
    })
}

/// Waits for a signal to stop, or for the process to end by itself.
fn stop_on_signal(stop: &StopSignal) -> eyre::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        tokio::select! {
            ended = wait_for_termination() => ended?,
            () = stop.reached(StopPhase::Ending) => {}
        }
        stop.advance(StopPhase::Noticing);
        Ok(())
    })
}

//! Runs an entry or a sidecar until it is told to stop.

use std::path::Path;

use amaranthgw_fleet::settings::{AgentSettings, EntrySettings, GatewaySettings, SidecarSettings};
use compact_str::{CompactString, ToCompactString};
use eyre::WrapErr;
use tokio::runtime::Builder;

use super::{EXIT_DONE, EXIT_INVALID};
use crate::agent::AgentProcess;
use crate::entry::EntryProcess;
use crate::gateway::GatewayProcess;
use crate::runtime::{SettingsSink, StopPhase, StopSignal, supervise, wait_for_termination};
use crate::sidecar::SidecarProcess;
use crate::telemetry::{EventLevel, EventLog, NodeEvent};

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
    let name = path.to_string_lossy().into_owned();
    let settings = match GatewaySettings::parse(&read(path)?, &name) {
        Ok(settings) => settings,
        Err(error) => return Ok(refuse(&error)),
    };
    let log = EventLog::with_standard_output(EventLevel::Info);
    let process = GatewayProcess::start(&settings, &log)?;
    let reload = |text: std::result::Result<String, CompactString>| {
        let read = text.and_then(|text| {
            let parsed = GatewaySettings::parse(&text, &name);
            parsed.map_err(|error| error.to_compact_string())
        });
        let outcome = match read {
            Ok(settings) => {
                process.reload(&settings);
                CompactString::const_new("bounds in force")
            }
            Err(reason) => reason,
        };
        log.record(NodeEvent::SettingsReloaded { outcome });
    };
    supervise_until_stop(&process.stop_signal(), path, &reload)?;
    process.join()?;
    Ok(EXIT_DONE)
}

/// Runs an agent.
pub(super) fn run_agent(path: &Path) -> eyre::Result<u8> {
    let name = path.to_string_lossy().into_owned();
    let settings = match AgentSettings::parse(&read(path)?, &name) {
        Ok(settings) => settings,
        Err(error) => return Ok(refuse(&error)),
    };
    let log = EventLog::with_standard_output(EventLevel::Info);
    let process = AgentProcess::start(&settings, &log)?;
    let reload = |text: std::result::Result<String, CompactString>| {
        let read = text.and_then(|text| {
            let parsed = AgentSettings::parse(&text, &name);
            parsed.map_err(|error| error.to_compact_string())
        });
        let outcome = match read {
            Ok(reread) if reread == settings => CompactString::const_new("unchanged"),
            Ok(_changed) => CompactString::const_new("in force at the next start"),
            Err(reason) => reason,
        };
        log.record(NodeEvent::SettingsReloaded { outcome });
    };
    supervise_until_stop(&process.stop_signal(), path, &reload)?;
    process.join()?;
    Ok(EXIT_DONE)
}

fn supervise_until_stop(
    stop: &StopSignal,
    path: &Path,
    reload: SettingsSink<'_>,
) -> eyre::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(supervise(stop, path, reload))?;
    stop.advance(StopPhase::Noticing);
    Ok(())
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

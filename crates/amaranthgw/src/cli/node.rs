//! The `entry`, `sidecar`, `gateway` and `agent` commands.

use std::path::Path;

use amaranthgw_fleet::settings::{AgentSettings, EntrySettings, GatewaySettings, SidecarSettings};
use compact_str::{CompactString, ToCompactString};
use eyre::WrapErr;
use tokio::runtime::Builder;

use super::{EXIT_INVALID, EXIT_SUCCESS};
use crate::agent::AgentProcess;
use crate::entry::EntryProcess;
use crate::gateway::GatewayProcess;
use crate::runtime::{
    ProcessSupervisor, SettingsSink, StopPhase, StopSignal, wait_for_termination,
};
use crate::sidecar::SidecarProcess;
use crate::telemetry::{EventLevel, EventLog, NodeEvent};

/// Runs an entry until it is stopped; prints its addresses once it is listening.
pub(super) fn run_entry(path: &Path, verbose: bool) -> eyre::Result<u8> {
    let text = read_file(path)?;
    let settings = match EntrySettings::parse(&text, &path.to_string_lossy()) {
        Ok(settings) => settings,
        Err(error) => return Ok(reject_input(&error)),
    };
    let process = EntryProcess::start(&settings, &event_log(verbose))?;
    println!("node {}", process.node_address());
    println!("listening {}", process.address());
    stop_on_signal(&process.stop_signal())?;
    process.join()?;
    Ok(EXIT_SUCCESS)
}

/// Runs a sidecar until it is stopped; prints its address once it is listening.
pub(super) fn run_sidecar(path: &Path, verbose: bool) -> eyre::Result<u8> {
    let text = read_file(path)?;
    let settings = match SidecarSettings::parse(&text, &path.to_string_lossy()) {
        Ok(settings) => settings,
        Err(error) => return Ok(reject_input(&error)),
    };
    let process = SidecarProcess::start(&settings, &event_log(verbose))?;
    println!("listening {}", process.address());
    stop_on_signal(&process.stop_signal())?;
    process.join()?;
    Ok(EXIT_SUCCESS)
}

/// Runs a gateway until it is stopped, and applies changes of its settings file.
pub(super) fn run_gateway(path: &Path) -> eyre::Result<u8> {
    let name = path.to_string_lossy().into_owned();
    let settings = match GatewaySettings::parse(&read_file(path)?, &name) {
        Ok(settings) => settings,
        Err(error) => return Ok(reject_input(&error)),
    };
    let log = EventLog::with_standard_output(EventLevel::Info);
    let supervisor = ProcessSupervisor::new()?;
    let process = GatewayProcess::start(&settings, &log)?;
    let reload = |text| {
        let parse = |text: &str| GatewaySettings::parse(text, &name);
        record_reload(&log, text, parse, |settings| {
            process.reload(settings);
            "bounds in force"
        });
    };
    supervise_until_stop(supervisor, &process.stop_signal(), path, &reload)?;
    process.join()?;
    Ok(EXIT_SUCCESS)
}

/// Runs an agent until it is stopped. Changed settings are checked, but need a restart.
pub(super) fn run_agent(path: &Path) -> eyre::Result<u8> {
    let name = path.to_string_lossy().into_owned();
    let settings = match AgentSettings::parse(&read_file(path)?, &name) {
        Ok(settings) => settings,
        Err(error) => return Ok(reject_input(&error)),
    };
    let log = EventLog::with_standard_output(EventLevel::Info);
    let supervisor = ProcessSupervisor::new()?;
    let process = AgentProcess::start(&settings, &log)?;
    let reload = |text| {
        let parse = |text: &str| AgentSettings::parse(text, &name);
        record_reload(&log, text, parse, |reread| {
            if *reread == settings {
                "unchanged"
            } else {
                "in force at the next start"
            }
        });
    };
    supervise_until_stop(supervisor, &process.stop_signal(), path, &reload)?;
    process.join()?;
    Ok(EXIT_SUCCESS)
}

/// Parses changed settings, passes them to `adopt` and logs its outcome, or the error.
fn record_reload<T>(
    log: &EventLog,
    text: std::result::Result<String, CompactString>,
    parse: impl FnOnce(&str) -> amaranthgw_fleet::settings::Result<T>,
    adopt: impl FnOnce(&T) -> &'static str,
) {
    let parsed = text.and_then(|text| parse(&text).map_err(|error| error.to_compact_string()));
    let outcome = parsed.map_or_else(|reason| reason, |settings| adopt(&settings).into());
    log.record(NodeEvent::SettingsReloaded { outcome });
}

fn supervise_until_stop(
    supervisor: ProcessSupervisor,
    stop: &StopSignal,
    path: &Path,
    reload: SettingsSink<'_>,
) -> eyre::Result<()> {
    supervisor.run(stop, path, reload)?;
    stop.advance(StopPhase::Announcing);
    Ok(())
}

/// Reads the text of a file.
pub(super) fn read_file(path: &Path) -> eyre::Result<String> {
    std::fs::read_to_string(path).wrap_err_with(|| format!("cannot read {}", path.display()))
}

/// Prints why an input is invalid and returns the exit code for it.
pub(super) fn reject_input(error: &impl std::fmt::Display) -> u8 {
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

/// Waits for a termination signal, or for the process to end by itself.
fn stop_on_signal(stop: &StopSignal) -> eyre::Result<()> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        tokio::select! {
            result = wait_for_termination() => result?,
            () = stop.reached(StopPhase::Ending) => {}
        }
        stop.advance(StopPhase::Announcing);
        Ok(())
    })
}

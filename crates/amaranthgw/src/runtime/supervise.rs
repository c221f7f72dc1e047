//! Waits for signals and for changes of the settings file while a process runs.

use std::path::Path;
use std::time::Duration;

use compact_str::CompactString;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;

use super::{Result, RuntimeError, StopPhase, StopSignal, wait_for_termination};

/// Pause between two looks at the settings file, which may change without a signal.
const FILE_PAUSE: Duration = Duration::from_secs(1);

/// What to do with the text of a changed settings file.
pub type SettingsSink<'a> = &'a dyn Fn(std::result::Result<String, CompactString>);

/// Waits until the process is told to stop or ends by itself; passes changes of the file at
/// `settings` on to `sink`.
///
/// # Errors
///
/// Returns [`RuntimeError::Thread`] where signals can't be received.
pub async fn supervise(stop: &StopSignal, settings: &Path, sink: SettingsSink<'_>) -> Result<()> {
    let hangup = signal(SignalKind::hangup());
    let mut hangup = hangup.map_err(|source| RuntimeError::Thread { source })?;
    let mut known = std::fs::read_to_string(settings).ok();
    let terminated = wait_for_termination();
    let mut terminated = std::pin::pin!(terminated);
    loop {
        let is_told = tokio::select! {
            ended = terminated.as_mut() => return ended,
            () = stop.reached(StopPhase::Ending) => return Ok(()),
            _ = hangup.recv() => true,
            () = sleep(FILE_PAUSE) => false,
        };
        match std::fs::read_to_string(settings) {
            Ok(text) if is_told || known.as_ref() != Some(&text) => {
                sink(Ok(text.clone()));
                known = Some(text);
            }
            Ok(_unchanged) => {}
            Err(error) if is_told => sink(Err(compact_str::format_compact!("{error}"))),
            // The file may be replaced right now; the next look reads it.
            Err(_unreadable) => {}
        }
    }
}

//! Handling of signals and of settings changes while a process runs.

use std::path::Path;
use std::time::Duration;

use compact_str::CompactString;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::time::sleep;

use super::{Result, RuntimeError, StopPhase, StopSignal, wait_for_termination};

/// Poll interval of the settings file, which may change without a SIGHUP.
const FILE_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Callback that receives the text of a changed settings file, or the error of reading it.
pub type SettingsSink<'a> = &'a dyn Fn(std::result::Result<String, CompactString>);

/// Signals of a process that reads its settings again.
///
/// Created before the process begins to listen: a SIGHUP that finds no handler ends it.
#[derive(Debug)]
pub struct ProcessSupervisor {
    runtime: Runtime,
    hangup: Signal,
}

impl ProcessSupervisor {
    /// Installs the handler of SIGHUP.
    ///
    /// # Errors
    ///
    /// Returns [`RuntimeError::Thread`] if it cannot be installed.
    pub fn new() -> Result<Self> {
        let thread_error = |source| RuntimeError::Thread { source };
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .map_err(thread_error)?;
        let entered = runtime.enter();
        let hangup = signal(SignalKind::hangup()).map_err(thread_error)?;
        drop(entered);
        Ok(Self { runtime, hangup })
    }

    /// Waits for a termination signal or for [`StopPhase::Ending`], and meanwhile passes changes of
    /// the file at `settings` to `sink`.
    ///
    /// SIGHUP forces a reload even if the text is unchanged.
    ///
    /// # Errors
    ///
    /// Returns [`RuntimeError::Thread`] if a signal handler cannot be installed.
    pub fn run(self, stop: &StopSignal, settings: &Path, sink: SettingsSink<'_>) -> Result<()> {
        let Self {
            runtime,
            mut hangup,
        } = self;
        runtime.block_on(supervise(&mut hangup, stop, settings, sink))
    }
}

async fn supervise(
    hangup: &mut Signal,
    stop: &StopSignal,
    settings: &Path,
    sink: SettingsSink<'_>,
) -> Result<()> {
    let mut last_text = std::fs::read_to_string(settings).ok();
    let terminated = wait_for_termination();
    let mut terminated = std::pin::pin!(terminated);
    loop {
        let is_requested = tokio::select! {
            ended = terminated.as_mut() => return ended,
            () = stop.reached(StopPhase::Ending) => return Ok(()),
            _ = hangup.recv() => true,
            () = sleep(FILE_POLL_INTERVAL) => false,
        };
        match std::fs::read_to_string(settings) {
            Ok(text) if is_requested || last_text.as_ref() != Some(&text) => {
                sink(Ok(text.clone()));
                last_text = Some(text);
            }
            Ok(_unchanged) => {}
            Err(error) if is_requested => sink(Err(compact_str::format_compact!("{error}"))),
            // The file may be in the middle of a replacement; the next poll reads it.
            Err(_unreadable) => {}
        }
    }
}

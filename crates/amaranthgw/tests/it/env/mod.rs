//! The test environment: stand-ins, entries and sidecars as separate processes.

mod caller;
mod fleet;
mod process;

pub use caller::{CallAnswer, CallerClient};
pub use fleet::TestFleet;
pub use process::{TestProcess, run_command};

use std::time::Duration;

/// Timeout of waits for an expected state; far above the usual duration.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Polls `check` until it returns a value; panics with `what` after a timeout.
pub async fn eventually<Value, Check>(what: &str, mut check: impl FnMut() -> Check) -> Value
where
    Check: Future<Output = Option<Value>>,
{
    let wait = async {
        loop {
            if let Some(value) = check().await {
                return value;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(WAIT_TIMEOUT, wait)
        .await
        .unwrap_or_else(|_| panic!("timed out waiting for {what}"))
}

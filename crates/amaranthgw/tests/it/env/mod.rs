//! The test environment: stand-ins, entries and sidecars as separate processes.

mod caller;
mod fleet;
mod process;

pub use caller::{CallAnswer, CallerClient};
pub use fleet::TestFleet;
pub use process::{TestProcess, run_command};

use std::time::Duration;

/// Bound on waits for something that must come; far above what it takes.
const WAIT_BOUND: Duration = Duration::from_mins(1);
const POLL_PERIOD: Duration = Duration::from_millis(20);

/// Waits until `check` gives a value.
pub async fn eventually<Value, Check>(what: &str, mut check: impl FnMut() -> Check) -> Value
where
    Check: Future<Output = Option<Value>>,
{
    let wait = async {
        loop {
            if let Some(value) = check().await {
                return value;
            }
            tokio::time::sleep(POLL_PERIOD).await;
        }
    };
    tokio::time::timeout(WAIT_BOUND, wait)
        .await
        .unwrap_or_else(|_| panic!("no {what}"))
}

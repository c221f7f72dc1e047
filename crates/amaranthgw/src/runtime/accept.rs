//! The accept loop of a listener.

use std::time::Duration;

use compact_str::ToCompactString;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::telemetry::{EventLog, NodeEvent};

/// Delay after a failed accept, such as when file descriptors run out until connections close.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Accepts connections forever and runs `serve` for each in a separate task.
///
/// Accept errors are retried; the first of consecutive ones is logged.
pub async fn accept_each<ServeFuture>(
    listener: TcpListener,
    log: EventLog,
    serve: impl Fn(TcpStream) -> ServeFuture,
) where
    ServeFuture: Future<Output = ()> + Send + 'static,
{
    let mut is_failing = false;
    loop {
        match listener.accept().await {
            Ok((stream, _peer)) => {
                is_failing = false;
                drop(tokio::spawn(serve(stream)));
            }
            Err(error) => {
                if !std::mem::replace(&mut is_failing, true) {
                    let address = listener.local_addr();
                    log.record(NodeEvent::AcceptFailed {
                        address: address.map_or_else(
                            |_unknown| "unknown".into(),
                            |address| address.to_compact_string(),
                        ),
                        reason: error.to_compact_string(),
                    });
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

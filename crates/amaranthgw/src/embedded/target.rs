//! Targets of an embedded fleet, with access to their logs and controls.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthgw_standins::RunningStandin;
use bytes::Bytes;
use http::Method;
use serde_json::Value;

use super::Result;
use super::times::NodeThreads;
use crate::platform::HttpClient;
use crate::sidecar::SidecarProcess;

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A running target stand-in with its sidecar.
#[derive(Debug)]
pub struct FleetTarget {
    /// Failure domain of the target.
    pub domain: &'static str,
    /// Name of the service that the target belongs to.
    pub service: &'static str,
    pub(super) name: String,
    pub(super) standin: RunningStandin,
    pub(super) sidecar: SidecarProcess,
    pub(super) threads: NodeThreads,
}

impl FleetTarget {
    /// Address of the target process itself, which bypasses the sidecar.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.standin.address()
    }

    /// Reads the log of the stand-in.
    ///
    /// # Errors
    ///
    /// Returns an [`EmbeddedError`](super::EmbeddedError) if the stand-in does not answer.
    pub async fn log(&self) -> Result<Value> {
        let client = HttpClient::new(self.standin.address());
        let answer = client
            .call(Method::GET, "/admin/log", Bytes::new(), CALL_TIMEOUT)
            .await?;
        Ok(serde_json::from_slice(answer.body()).unwrap_or_default())
    }

    /// Counts the entries of `event` in the engine's log.
    ///
    /// # Errors
    ///
    /// Returns an [`EmbeddedError`](super::EmbeddedError) if the stand-in does not answer.
    pub async fn count_events(&self, event: &str) -> Result<usize> {
        let log = self.log().await?;
        let events = log["events"].as_array().into_iter().flatten();
        Ok(events.filter(|row| row["event"] == event).count())
    }

    /// Switches the engine to its cold state without a restart, so that no node can detect it.
    ///
    /// # Errors
    ///
    /// Returns an [`EmbeddedError`](super::EmbeddedError) if the stand-in does not answer.
    pub async fn turn_cold(&self) -> Result<()> {
        let client = HttpClient::new(self.standin.address());
        let body = Bytes::from_static(br#"{"cold":true}"#);
        client
            .call(Method::POST, "/admin/engine", body, CALL_TIMEOUT)
            .await?;
        Ok(())
    }

    pub(super) fn vm(&self) -> String {
        format!("vm-{}", self.name)
    }
}

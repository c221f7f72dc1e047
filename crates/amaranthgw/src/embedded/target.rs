//! A target of an embedded fleet.

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

const CALL_TIME: Duration = Duration::from_secs(2);

/// A target of the fleet with its sidecar.
#[derive(Debug)]
pub struct FleetTarget {
    /// Its failure domain.
    pub domain: &'static str,
    /// Its service.
    pub service: &'static str,
    pub(super) name: String,
    pub(super) standin: RunningStandin,
    pub(super) sidecar: SidecarProcess,
    pub(super) threads: NodeThreads,
}

impl FleetTarget {
    /// Address of the target itself, which callers of the fleet never use.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.standin.address()
    }

    /// What the stand-in has logged.
    ///
    /// # Errors
    ///
    /// Returns an [`EmbeddedError`](super::EmbeddedError) where it does not answer.
    pub async fn log(&self) -> Result<Value> {
        let caller = HttpClient::new(self.standin.address());
        let answer = caller
            .call(Method::GET, "/admin/log", Bytes::new(), CALL_TIME)
            .await?;
        Ok(serde_json::from_slice(answer.body()).unwrap_or_default())
    }

    /// How often the engine has logged `event`.
    ///
    /// # Errors
    ///
    /// Returns an [`EmbeddedError`](super::EmbeddedError) where it does not answer.
    pub async fn count_events(&self, event: &str) -> Result<usize> {
        let log = self.log().await?;
        let events = log["events"].as_array().into_iter().flatten();
        Ok(events.filter(|row| row["event"] == event).count())
    }

    /// Turns the engine cold without a sign that others could see.
    ///
    /// # Errors
    ///
    /// Returns an [`EmbeddedError`](super::EmbeddedError) where it does not answer.
    pub async fn turn_cold(&self) -> Result<()> {
        let caller = HttpClient::new(self.standin.address());
        let body = Bytes::from_static(br#"{"cold":true}"#);
        caller
            .call(Method::POST, "/admin/engine", body, CALL_TIME)
            .await?;
        Ok(())
    }

    pub(super) fn vm(&self) -> String {
        format!("vm-{}", self.name)
    }
}

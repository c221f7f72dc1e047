//! Sidecar processes in many failure domains, and configuration changes applied by them.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use amaranthgw::operator::{commit, read_config, unix_ms};
use amaranthgw::peer::{GrpcPeerLink, PeerLink, ReportKind};
use amaranthgw::platform::{HttpClient, HttpStore};
use amaranthgw_core::{ChangeNumber, DomainId};
use amaranthgw_fleet::config::{ChangeId, CommitOutcome, CommitRequest, ConfigEdit, OutScope};
use bytes::Bytes;
use eyre::{WrapErr, ensure};
use http::Method;
use serde_json::{Value, json};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use super::process::BinaryProcess;

/// Failure domains over which the sidecars are spread.
const DOMAINS: usize = 12;
/// Time between two polls of a sidecar; limits the accuracy of the measured times.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
const COMMIT_TIMEOUT: Duration = Duration::from_secs(20);
const APPLY_TIMEOUT: Duration = Duration::from_mins(1);

/// Sidecar processes with stand-ins for the platform and their target.
#[derive(Debug)]
pub struct SidecarFleet {
    store: BinaryProcess,
    vm_list: BinaryProcess,
    plain: BinaryProcess,
    sidecars: Vec<BinaryProcess>,
    settings_folder: PathBuf,
}

/// Time until a change was accepted, and times until each process applied it, shortest first; all
/// from the start of its commit.
#[derive(Debug)]
pub struct ChangeTimes {
    accepted: Duration,
    applied: Vec<Duration>,
}

impl ChangeTimes {
    /// Time within which `percent` of the processes applied the change.
    pub fn quantile(&self, percent: usize) -> Duration {
        self.applied[(self.applied.len() - 1) * percent / 100]
    }

    /// Time from the acceptance of the commit until the last process applied the change.
    pub fn after_accepted(&self) -> Duration {
        self.quantile(100).saturating_sub(self.accepted)
    }
}

impl SidecarFleet {
    /// Starts `count` sidecars and waits until all have applied a first change.
    pub async fn start(count: usize, binary: &Path) -> eyre::Result<Self> {
        let settings_folder =
            std::env::temp_dir().join(format!("amaranthgw-spread-{}", std::process::id()));
        std::fs::create_dir_all(&settings_folder)?;
        let mut fleet = Self {
            store: BinaryProcess::start_standin(binary, "store", "{}")?,
            vm_list: BinaryProcess::start_standin(binary, "vms", r#"{"lag_ms":0}"#)?,
            plain: BinaryProcess::start_standin(binary, "plain", "{}")?,
            sidecars: Vec::new(),
            settings_folder,
        };
        for index in 0..count {
            let file = fleet.write_settings(index)?;
            let arguments = ["sidecar", "--settings", &file];
            fleet
                .sidecars
                .push(BinaryProcess::start(binary, &arguments)?);
        }
        fleet.publish().await?;
        fleet.change(0).await?;
        Ok(fleet)
    }

    /// Process ids of the sidecars.
    pub fn process_ids(&self) -> Vec<u32> {
        self.sidecars.iter().map(BinaryProcess::id).collect()
    }

    /// Delays every call of the key-value service by `delay_ms` milliseconds.
    pub async fn delay_store(&self, delay_ms: u64) -> eyre::Result<()> {
        let faults = json!({ "mode": "slow", "delay_ms": delay_ms });
        send(self.store.address, Method::POST, "/admin/faults", &faults).await
    }

    /// Commits a change and waits until every process has applied it.
    ///
    /// The changes alternately take an unused failure domain out of service and bring it back.
    pub async fn change(&self, index: usize) -> eyre::Result<ChangeTimes> {
        let store = HttpStore::new(self.store.address);
        let deadline = Instant::now() + COMMIT_TIMEOUT;
        let view = read_config(&store, deadline).await?;
        let number = view.state.number.next();
        let domain: DomainId = format!("unused-{}", index / 2).parse()?;
        let scope = OutScope::Domain(domain);
        let is_out = view.state.outs.contains(&scope);
        let edit = if is_out {
            ConfigEdit::BringBack
        } else {
            ConfigEdit::TakeOut
        };
        let request = CommitRequest {
            id: ChangeId::new(fastrand::u128(..)),
            operator: "spread".parse()?,
            made_at_unix_ms: unix_ms(),
            edits: vec![edit(scope)],
        };
        let started_at = Instant::now();
        let polls = self.poll(number, started_at);
        let outcome = commit(&store, request, view, deadline).await;
        let accepted = started_at.elapsed();
        ensure!(matches!(outcome, CommitOutcome::Accepted(_)), "{outcome:?}");
        let times: eyre::Result<Vec<_>> = polls.join_all().await.into_iter().collect();
        let mut applied = times?;
        applied.sort_unstable();
        Ok(ChangeTimes { accepted, applied })
    }

    /// Polls every process until it has applied change `number`.
    fn poll(&self, number: ChangeNumber, started_at: Instant) -> JoinSet<eyre::Result<Duration>> {
        let link = Arc::new(GrpcPeerLink::new());
        let addresses = self.sidecars.iter().map(|sidecar| sidecar.address);
        addresses
            .map(|address| wait_until_applied(Arc::clone(&link), address, number, started_at))
            .collect()
    }

    fn write_settings(&self, index: usize) -> eyre::Result<String> {
        let settings = json!({
            "vm": vm(index), "domain": domain(index), "region": "ee-south",
            "node_listen": "127.0.0.1:0", "metrics_listen": "127.0.0.1:0",
            "store": self.store.address, "vm_list": self.vm_list.address,
            "target": {
                "id": target(index), "service": "booking-desk", "kind": "plain",
                "address": self.plain.address,
            },
            "gate": { "cold_limit": 2, "full_limit": 8 },
        });
        let path = self.settings_folder.join(format!("sidecar-{index}.json"));
        std::fs::write(&path, settings.to_string())?;
        Ok(path.to_string_lossy().into_owned())
    }

    async fn publish(&self) -> eyre::Result<()> {
        let row = |(index, sidecar): (usize, &BinaryProcess)| {
            json!({
                "vm": vm(index), "domain": domain(index), "region": "ee-south",
                "role": "sidecar", "service": "booking-desk", "target": target(index),
                "address": sidecar.address, "state": "live",
            })
        };
        let vms: Vec<Value> = self.sidecars.iter().enumerate().map(row).collect();
        send(
            self.vm_list.address,
            Method::PUT,
            "/admin/vms",
            &json!({ "vms": vms }),
        )
        .await
    }
}

impl Drop for SidecarFleet {
    fn drop(&mut self) {
        // The folder holds only the generated settings files.
        let _removed = std::fs::remove_dir_all(&self.settings_folder);
    }
}

fn vm(index: usize) -> String {
    format!("vm-{index}")
}

fn target(index: usize) -> String {
    format!("target-{index}")
}

fn domain(index: usize) -> String {
    format!("domain-{}", index % DOMAINS)
}

async fn send(address: SocketAddr, method: Method, path: &str, body: &Value) -> eyre::Result<()> {
    let body = Bytes::from(body.to_string());
    let caller = HttpClient::new(address);
    let answer = caller.call(method, path, body, CALL_TIMEOUT);
    let status = answer
        .await
        .wrap_err("request to a stand-in failed")?
        .status();
    ensure!(status.is_success(), "a stand-in answered {status}");
    Ok(())
}

async fn wait_until_applied(
    link: Arc<GrpcPeerLink>,
    address: SocketAddr,
    number: ChangeNumber,
    started_at: Instant,
) -> eyre::Result<Duration> {
    while started_at.elapsed() < APPLY_TIMEOUT {
        let report = link
            .report(address, ReportKind::Status, String::new())
            .await;
        let status = report
            .ok()
            .and_then(|json| serde_json::from_slice::<Value>(&json).ok());
        let change = status.and_then(|status| status["change"].as_u64());
        if change >= Some(number.get()) {
            return Ok(started_at.elapsed());
        }
        sleep(POLL_INTERVAL).await;
    }
    eyre::bail!("change {number} was not applied at {address} in time")
}

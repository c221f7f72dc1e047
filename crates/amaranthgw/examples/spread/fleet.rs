//! Sidecar processes in many failure domains, and changes of their configuration.

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

const DOMAINS: usize = 12;
const POLL_PERIOD: Duration = Duration::from_millis(25);
const CALL_TIME: Duration = Duration::from_secs(5);
const COMMIT_TIME: Duration = Duration::from_secs(20);
const FORCE_TIME: Duration = Duration::from_mins(1);

/// Sidecars with the platform's stand-ins.
#[derive(Debug)]
pub struct SpreadFleet {
    store: BinaryProcess,
    vms: BinaryProcess,
    plain: BinaryProcess,
    sidecars: Vec<BinaryProcess>,
    files: PathBuf,
}

/// When a change was in force at each process, from the start of its commit.
#[derive(Debug)]
pub struct ChangeSpread {
    accepted: Duration,
    in_force: Vec<Duration>,
}

impl ChangeSpread {
    /// Time within which `percent` of the processes had the change in force.
    pub fn quantile(&self, percent: usize) -> Duration {
        self.in_force[(self.in_force.len() - 1) * percent / 100]
    }

    /// Time from the accepted commit to the last process.
    pub fn after_accepted(&self) -> Duration {
        self.quantile(100).saturating_sub(self.accepted)
    }
}

impl SpreadFleet {
    /// Starts `count` sidecars and waits until they have a first change in force.
    pub async fn start(count: usize, binary: &Path) -> eyre::Result<Self> {
        let files = std::env::temp_dir().join(format!("amaranthgw-spread-{}", std::process::id()));
        std::fs::create_dir_all(&files)?;
        let mut fleet = Self {
            store: BinaryProcess::start_standin(binary, "store", "{}")?,
            vms: BinaryProcess::start_standin(binary, "vms", r#"{"lag_ms":0}"#)?,
            plain: BinaryProcess::start_standin(binary, "plain", "{}")?,
            sidecars: Vec::new(),
            files,
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

    /// Identifiers of the sidecars' processes.
    pub fn process_ids(&self) -> Vec<u32> {
        self.sidecars.iter().map(BinaryProcess::id).collect()
    }

    /// Makes every call of the key-value service take `delay_ms`.
    pub async fn slow_store(&self, delay_ms: u64) -> eyre::Result<()> {
        let faults = json!({ "mode": "slow", "delay_ms": delay_ms });
        send(self.store.address, Method::POST, "/admin/faults", &faults).await
    }

    /// Commits a change and waits until it is in force everywhere.
    pub async fn change(&self, turn: usize) -> eyre::Result<ChangeSpread> {
        let store = HttpStore::new(self.store.address);
        let deadline = Instant::now() + COMMIT_TIME;
        let seen = read_config(&store, deadline).await?;
        let number = seen.state.number.next();
        let domain: DomainId = format!("unused-{}", turn / 2).parse()?;
        let scope = OutScope::Domain(domain);
        let is_out = seen.state.outs.contains(&scope);
        let edit = if is_out {
            ConfigEdit::BringBack
        } else {
            ConfigEdit::TakeOut
        };
        let ask = CommitRequest {
            id: ChangeId::new(fastrand::u128(..)),
            operator: "spread".parse()?,
            made_at_unix_ms: unix_ms(),
            edits: vec![edit(scope)],
        };
        let started_at = Instant::now();
        let watched = self.watch(number, started_at);
        let outcome = commit(&store, ask, seen, deadline).await;
        let accepted = started_at.elapsed();
        ensure!(matches!(outcome, CommitOutcome::Accepted(_)), "{outcome:?}");
        let times: eyre::Result<Vec<_>> = watched.join_all().await.into_iter().collect();
        let mut in_force = times?;
        in_force.sort_unstable();
        Ok(ChangeSpread { accepted, in_force })
    }

    /// Asks every process until it has `number` in force.
    fn watch(&self, number: ChangeNumber, started_at: Instant) -> JoinSet<eyre::Result<Duration>> {
        let link = Arc::new(GrpcPeerLink::new());
        let addresses = self.sidecars.iter().map(|sidecar| sidecar.address);
        addresses
            .map(|address| wait_in_force(Arc::clone(&link), address, number, started_at))
            .collect()
    }

    fn write_settings(&self, index: usize) -> eyre::Result<String> {
        let settings = json!({
            "vm": vm(index), "domain": domain(index), "region": "ee-south",
            "node_listen": "127.0.0.1:0", "metrics_listen": "127.0.0.1:0",
            "store": self.store.address, "vm_list": self.vms.address,
            "target": {
                "id": target(index), "service": "booking-desk", "kind": "plain",
                "address": self.plain.address,
            },
            "gate": { "cold_limit": 2, "full_limit": 8 },
        });
        let path = self.files.join(format!("sidecar-{index}.json"));
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
            self.vms.address,
            Method::PUT,
            "/admin/vms",
            &json!({ "vms": vms }),
        )
        .await
    }
}

impl Drop for SpreadFleet {
    fn drop(&mut self) {
        // Only settings lie there.
        let _removed = std::fs::remove_dir_all(&self.files);
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
    let answer = caller.call(method, path, body, CALL_TIME);
    let status = answer
        .await
        .wrap_err("a stand-in does not answer")?
        .status();
    ensure!(status.is_success(), "a stand-in answered {status}");
    Ok(())
}

async fn wait_in_force(
    link: Arc<GrpcPeerLink>,
    address: SocketAddr,
    number: ChangeNumber,
    started_at: Instant,
) -> eyre::Result<Duration> {
    while started_at.elapsed() < FORCE_TIME {
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
        sleep(POLL_PERIOD).await;
    }
    eyre::bail!("change {number} is not in force at {address}")
}

//! Starts, drives and stops an embedded fleet.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthgw_core::{ChangeNumber, DomainId, OperatorId};
use amaranthgw_fleet::burn::{BurnReport, WindowSpans};
use amaranthgw_fleet::config::{
    ChangeId, CommitAsk, CommitOutcome, ConfigEdit, ConfigView, OutScope, diff,
};
use amaranthgw_fleet::lists::OperatorLists;
use amaranthgw_fleet::settings::{EntrySettings, SidecarSettings};
use amaranthgw_standins::RunningStandin;
use bytes::Bytes;
use http::Method;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::platform::{ANY_PORT, EmbeddedPlatform, start_engine, start_plain};
use super::times::NodeThreads;
use super::{EmbeddedError, FleetShape, FleetTarget, NodeTimes, Result};
use crate::entry::EntryProcess;
use crate::operator::{commit, read_config, unix_ms};
use crate::peer::{GrpcPeerLink, PeerLink, ReportKind};
use crate::platform::{HttpCaller, HttpStore};
use crate::runtime::StopPhase;
use crate::sidecar::SidecarProcess;
use crate::telemetry::EventLog;

/// Name of the model service.
pub const MODEL_SERVICE: &str = "draft-llm";
/// Name of the plain service.
pub const PLAIN_SERVICE: &str = "booking-desk";

const REGION: &str = "demo-region";
const TICK: &str = "20ms";
const READY_TIME: Duration = Duration::from_secs(15);
const POLL_PERIOD: Duration = Duration::from_millis(20);
const CALL_TIME: Duration = Duration::from_secs(2);
const COMMIT_TIME: Duration = Duration::from_secs(5);

/// An entry of the fleet.
#[derive(Debug)]
struct FleetEntry {
    vm: String,
    domain: &'static str,
    process: EntryProcess,
    threads: NodeThreads,
}

/// A running embedded fleet.
#[derive(Debug)]
pub struct EmbeddedFleet {
    shape: FleetShape,
    platform: EmbeddedPlatform,
    targets: Vec<FleetTarget>,
    entries: Vec<FleetEntry>,
    log: EventLog,
}

impl EmbeddedFleet {
    /// Starts a fleet, puts `lists` in force and waits until every entry can serve.
    ///
    /// # Errors
    ///
    /// Returns an [`EmbeddedError`] where something can't be started or is not ready in time.
    pub async fn start(shape: FleetShape, lists: &OperatorLists) -> Result<Self> {
        let mut fleet = Self {
            platform: EmbeddedPlatform::start()?,
            targets: Vec::new(),
            entries: Vec::new(),
            log: EventLog::with_journal_only(),
            shape,
        };
        fleet.start_nodes()?;
        fleet.publish_vms().await?;
        fleet.change(|view| diff(&view.state, lists)).await?;
        fleet.wait_in_force().await?;
        fleet.wait_for_targets().await?;
        Ok(fleet)
    }

    /// Addresses that callers reach the entries at.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .map(|entry| entry.process.address())
            .collect()
    }

    /// The targets.
    #[must_use]
    pub fn targets(&self) -> &[FleetTarget] {
        &self.targets
    }

    /// Processor time of all entries until now.
    #[must_use]
    pub fn entry_times(&self) -> NodeTimes {
        let times = self.entries.iter().map(|entry| entry.threads.times());
        times.fold(NodeTimes::default(), NodeTimes::plus)
    }

    /// Processor time of all sidecars until now.
    #[must_use]
    pub fn sidecar_times(&self) -> NodeTimes {
        let times = self.targets.iter().map(|target| target.threads.times());
        times.fold(NodeTimes::default(), NodeTimes::plus)
    }

    /// Takes `domain` out of service and waits until that is in force everywhere.
    ///
    /// # Errors
    ///
    /// Returns an [`EmbeddedError`] where the change is not in force in time.
    pub async fn take_out(&self, domain: &str) -> Result<Duration> {
        let started_at = Instant::now();
        let scope = scope_of(domain)?;
        self.change(|_view| vec![ConfigEdit::TakeOut(scope)])
            .await?;
        self.wait_in_force().await?;
        Ok(started_at.elapsed())
    }

    /// Brings `domain` back into service and waits until that is in force everywhere.
    ///
    /// # Errors
    ///
    /// Returns an [`EmbeddedError`] where the change is not in force in time.
    pub async fn bring_back(&self, domain: &str) -> Result<Duration> {
        let started_at = Instant::now();
        let scope = scope_of(domain)?;
        self.change(|_view| vec![ConfigEdit::BringBack(scope)])
            .await?;
        self.wait_in_force().await?;
        Ok(started_at.elapsed())
    }

    /// The service-level burn over all entries.
    ///
    /// # Errors
    ///
    /// Returns [`EmbeddedError::NotReady`] where an entry gives no report.
    pub async fn burn(&self) -> Result<BurnReport> {
        let link = GrpcPeerLink::new();
        let mut merged = BurnReport::new(unix_ms(), WindowSpans::standard());
        for entry in &self.entries {
            let address = entry.process.node_address();
            let json = link.report(address, ReportKind::Burn, String::new()).await;
            let json = json.map_err(|_unreachable| EmbeddedError::NotReady)?;
            let report = serde_json::from_slice(&json);
            let report: BurnReport = report.map_err(|_malformed| EmbeddedError::NotReady)?;
            merged
                .merge(&report)
                .map_err(|_mismatch| EmbeddedError::NotReady)?;
        }
        Ok(merged)
    }

    /// Stops the entries, then the sidecars, and waits for their end.
    ///
    /// # Errors
    ///
    /// Returns an [`EmbeddedError`] where a thread panicked.
    pub fn stop(self) -> Result<()> {
        for entry in &self.entries {
            entry.process.stop_signal().advance(StopPhase::Noticing);
        }
        for entry in self.entries {
            entry.process.join()?;
        }
        for target in &self.targets {
            target.sidecar.stop_signal().advance(StopPhase::Noticing);
        }
        for target in self.targets {
            target.sidecar.join()?;
        }
        Ok(())
    }

    fn start_nodes(&mut self) -> Result<()> {
        for domain in self.shape.domains.clone() {
            for _ in 0..self.shape.engines {
                let standin = start_engine(&self.shape)?;
                self.start_target(domain, MODEL_SERVICE, "model", standin)?;
            }
            for _ in 0..self.shape.plains {
                self.start_target(domain, PLAIN_SERVICE, "plain", start_plain(&self.shape)?)?;
            }
            self.start_entry(domain)?;
        }
        Ok(())
    }

    fn start_target(
        &mut self,
        domain: &'static str,
        service: &'static str,
        kind: &str,
        standin: RunningStandin,
    ) -> Result<()> {
        let name = format!("{service}-{}", self.targets.len());
        let settings = json!({
            "vm": format!("vm-{name}"), "domain": domain, "region": REGION,
            "node_listen": ANY_PORT, "metrics_listen": ANY_PORT,
            "store": self.platform.store.address(), "vm_list": self.platform.vms.address(),
            "target": { "id": name, "service": service, "kind": kind, "address": standin.address() },
            "gate": { "cold_limit": self.shape.cold_limit, "full_limit": self.shape.full_limit },
            "traffic_threads": 1, "tick": TICK,
        });
        let settings = SidecarSettings::parse(&settings.to_string(), "embedded sidecar")?;
        let (sidecar, threads) =
            NodeThreads::started_by(|| SidecarProcess::start(&settings, &self.log));
        let sidecar = sidecar?;
        self.targets.push(FleetTarget {
            domain,
            service,
            name,
            standin,
            sidecar,
            threads,
        });
        Ok(())
    }

    fn start_entry(&mut self, domain: &'static str) -> Result<()> {
        let vm = format!("entry-{}", self.entries.len());
        let settings = json!({
            "vm": vm, "domain": domain, "region": REGION,
            "caller_listen": ANY_PORT, "node_listen": ANY_PORT, "metrics_listen": ANY_PORT,
            "store": self.platform.store.address(), "vm_list": self.platform.vms.address(),
            "traffic_threads": 1, "tick": TICK,
        });
        let settings = EntrySettings::parse(&settings.to_string(), "embedded entry")?;
        let policy = self.shape.policy.policy();
        let (process, threads) = NodeThreads::started_by(|| {
            EntryProcess::start_with_policy(&settings, &self.log, policy)
        });
        let process = process?;
        self.entries.push(FleetEntry {
            vm,
            domain,
            process,
            threads,
        });
        Ok(())
    }

    async fn publish_vms(&self) -> Result<()> {
        let targets = self.targets.iter().map(|target| {
            json!({
                "vm": target.vm(), "domain": target.domain, "region": REGION, "role": "sidecar",
                "service": target.service, "target": target.name,
                "address": target.sidecar.address(), "state": "live",
            })
        });
        let entries = self.entries.iter().map(|entry| {
            json!({
                "vm": entry.vm, "domain": entry.domain, "region": REGION, "role": "entry",
                "address": entry.process.node_address(), "state": "live",
            })
        });
        let vms: Vec<Value> = targets.chain(entries).collect();
        let body = Bytes::from(json!({ "vms": vms }).to_string());
        let caller = HttpCaller::new(self.platform.vms.address());
        caller
            .call(Method::PUT, "/admin/vms", body, CALL_TIME)
            .await?;
        Ok(())
    }

    /// Commits the edits that `make` gives for the configuration in force.
    async fn change(&self, make: impl FnOnce(&ConfigView) -> Vec<ConfigEdit>) -> Result<()> {
        let store = HttpStore::new(self.platform.store.address());
        let deadline = Instant::now() + COMMIT_TIME;
        let seen = read_config(&store, deadline).await;
        let seen = seen.map_err(|_unavailable| EmbeddedError::NotReady)?;
        let operator = "demo".parse::<OperatorId>();
        let ask = CommitAsk {
            id: ChangeId::new(fastrand::u128(..)),
            operator: operator.map_err(|_invalid| EmbeddedError::NotReady)?,
            made_at_unix_ms: unix_ms(),
            edits: make(&seen),
        };
        match commit(&store, ask, seen, deadline).await {
            CommitOutcome::Accepted(_) | CommitOutcome::Unneeded => Ok(()),
            _ => Err(EmbeddedError::NotReady),
        }
    }

    /// Waits until every node has the accepted configuration in force.
    async fn wait_in_force(&self) -> Result<()> {
        let store = HttpStore::new(self.platform.store.address());
        let deadline = Instant::now() + READY_TIME;
        let seen = read_config(&store, deadline).await;
        let accepted = seen
            .map_err(|_unavailable| EmbeddedError::NotReady)?
            .state
            .number;
        while !self.is_in_force(accepted).await {
            if Instant::now() >= deadline {
                return Err(EmbeddedError::NotReady);
            }
            sleep(POLL_PERIOD).await;
        }
        Ok(())
    }

    async fn is_in_force(&self, accepted: ChangeNumber) -> bool {
        let targets = self.targets.iter().map(|target| target.sidecar.address());
        let entries = self
            .entries
            .iter()
            .map(|entry| entry.process.node_address());
        for address in targets.chain(entries) {
            let status = node_status(address).await;
            if status["change"].as_u64() < Some(accepted.get()) {
                return false;
            }
        }
        true
    }

    /// Waits until every entry knows every target as open.
    async fn wait_for_targets(&self) -> Result<()> {
        let deadline = Instant::now() + READY_TIME;
        loop {
            let mut open = 0;
            for entry in &self.entries {
                let status = node_status(entry.process.node_address()).await;
                let targets = status["targets"].as_array().into_iter().flatten();
                let is_open =
                    |target: &&Value| matches!(target["stage"].as_str(), Some("warming" | "warm"));
                open += targets.filter(is_open).count();
            }
            if open == self.entries.len() * self.targets.len() {
                return Ok(());
            }
            if Instant::now() >= deadline {
                return Err(EmbeddedError::NotReady);
            }
            sleep(POLL_PERIOD).await;
        }
    }
}

async fn node_status(address: SocketAddr) -> Value {
    let link = GrpcPeerLink::new();
    let answer = link
        .report(address, ReportKind::Status, String::new())
        .await;
    answer
        .ok()
        .and_then(|json| serde_json::from_slice(&json).ok())
        .unwrap_or_default()
}

fn scope_of(domain: &str) -> Result<OutScope> {
    let domain = domain
        .parse::<DomainId>()
        .map_err(|_invalid| EmbeddedError::NotReady)?;
    Ok(OutScope::Domain(domain))
}

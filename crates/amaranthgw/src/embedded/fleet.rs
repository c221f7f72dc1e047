//! Starting, controlling and stopping an embedded fleet.

use std::net::SocketAddr;
use std::time::Duration;

use amaranthgw_core::{ChangeNumber, DomainId, OperatorId};
use amaranthgw_fleet::burn::{BurnReport, WindowSpans};
use amaranthgw_fleet::config::{
    ChangeId, CommitOutcome, CommitRequest, ConfigEdit, ConfigView, OutScope, diff_lists,
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
use super::{EmbeddedError, FleetSpec, FleetTarget, ProcessorTimes, Result};
use crate::entry::EntryProcess;
use crate::operator::{commit, read_config, unix_ms};
use crate::peer::{GrpcPeerLink, PeerLink, ReportKind};
use crate::platform::{HttpClient, HttpStore};
use crate::runtime::StopPhase;
use crate::sidecar::SidecarProcess;
use crate::telemetry::EventLog;

/// Name of the model service that the engines serve.
pub const MODEL_SERVICE: &str = "draft-llm";
/// Name of the plain service.
pub const PLAIN_SERVICE: &str = "booking-desk";

const REGION: &str = "demo-region";
const TICK_INTERVAL: &str = "20ms";
const READY_TIMEOUT: Duration = Duration::from_secs(15);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// An entry with its VM and threads.
#[derive(Debug)]
struct FleetEntry {
    vm: String,
    domain: &'static str,
    process: EntryProcess,
    threads: NodeThreads,
}

/// A running embedded fleet with its platform, targets and entries.
#[derive(Debug)]
pub struct EmbeddedFleet {
    spec: FleetSpec,
    platform: EmbeddedPlatform,
    targets: Vec<FleetTarget>,
    entries: Vec<FleetEntry>,
    log: EventLog,
}

impl EmbeddedFleet {
    /// Starts a fleet, commits `lists` and waits until every entry can route to every target.
    ///
    /// # Errors
    ///
    /// Returns an [`EmbeddedError`] if a part fails to start or is not ready in time.
    pub async fn start(spec: FleetSpec, lists: &OperatorLists) -> Result<Self> {
        let mut fleet = Self {
            platform: EmbeddedPlatform::start()?,
            targets: Vec::new(),
            entries: Vec::new(),
            log: EventLog::with_journal_only(),
            spec,
        };
        fleet.start_nodes()?;
        fleet.publish_vms().await?;
        fleet
            .commit_edits(|view| diff_lists(&view.state, lists))
            .await?;
        fleet.wait_until_applied().await?;
        fleet.wait_for_targets().await?;
        Ok(fleet)
    }

    /// Addresses on which the entries serve callers.
    #[must_use]
    pub fn caller_addresses(&self) -> Vec<SocketAddr> {
        self.entries
            .iter()
            .map(|entry| entry.process.address())
            .collect()
    }

    /// All targets, grouped by failure domain.
    #[must_use]
    pub fn targets(&self) -> &[FleetTarget] {
        &self.targets
    }

    /// Processor time that all entries have used since their start.
    #[must_use]
    pub fn entry_times(&self) -> ProcessorTimes {
        let times = self.entries.iter().map(|entry| entry.threads.times());
        times.fold(ProcessorTimes::default(), ProcessorTimes::plus)
    }

    /// Processor time that all sidecars have used since their start.
    #[must_use]
    pub fn sidecar_times(&self) -> ProcessorTimes {
        let times = self.targets.iter().map(|target| target.threads.times());
        times.fold(ProcessorTimes::default(), ProcessorTimes::plus)
    }

    /// Takes `domain` out of service, waits until every node has applied the change and returns the
    /// time that took.
    ///
    /// # Errors
    ///
    /// Returns an [`EmbeddedError`] if the change is not committed or not applied in time.
    pub async fn take_out(&self, domain: &str) -> Result<Duration> {
        let started_at = Instant::now();
        let scope = domain_scope(domain)?;
        self.commit_edits(|_view| vec![ConfigEdit::TakeOut(scope)])
            .await?;
        self.wait_until_applied().await?;
        Ok(started_at.elapsed())
    }

    /// Brings `domain` back into service, waits until every node has applied the change and returns
    /// the time that took.
    ///
    /// # Errors
    ///
    /// Returns an [`EmbeddedError`] if the change is not committed or not applied in time.
    pub async fn bring_back(&self, domain: &str) -> Result<Duration> {
        let started_at = Instant::now();
        let scope = domain_scope(domain)?;
        self.commit_edits(|_view| vec![ConfigEdit::BringBack(scope)])
            .await?;
        self.wait_until_applied().await?;
        Ok(started_at.elapsed())
    }

    /// Returns the service-level burn summed over all entries.
    ///
    /// # Errors
    ///
    /// Returns [`EmbeddedError::NotReady`] if an entry gives no usable report.
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

    /// Stops the entries, then the sidecars, and waits for their threads to end.
    ///
    /// # Errors
    ///
    /// Returns an [`EmbeddedError`] if a thread panicked.
    pub fn stop(self) -> Result<()> {
        for entry in &self.entries {
            entry.process.stop_signal().advance(StopPhase::Announcing);
        }
        for entry in self.entries {
            entry.process.join()?;
        }
        for target in &self.targets {
            target.sidecar.stop_signal().advance(StopPhase::Announcing);
        }
        for target in self.targets {
            target.sidecar.join()?;
        }
        Ok(())
    }

    fn start_nodes(&mut self) -> Result<()> {
        for domain in self.spec.domains.clone() {
            for _ in 0..self.spec.engines {
                let standin = start_engine(&self.spec)?;
                self.start_target(domain, MODEL_SERVICE, "model", standin)?;
            }
            for _ in 0..self.spec.plains {
                self.start_target(domain, PLAIN_SERVICE, "plain", start_plain(&self.spec)?)?;
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
            "store": self.platform.store.address(), "vm_list": self.platform.vm_list.address(),
            "target": { "id": name, "service": service, "kind": kind, "address": standin.address() },
            "gate": { "cold_limit": self.spec.cold_limit, "full_limit": self.spec.full_limit },
            "traffic_threads": 1, "tick": TICK_INTERVAL,
        });
        let settings = SidecarSettings::parse(&settings.to_string(), "embedded sidecar")?;
        let (sidecar, threads) =
            NodeThreads::spawned_by(|| SidecarProcess::start(&settings, &self.log));
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
            "store": self.platform.store.address(), "vm_list": self.platform.vm_list.address(),
            "traffic_threads": 1, "tick": TICK_INTERVAL,
        });
        let settings = EntrySettings::parse(&settings.to_string(), "embedded entry")?;
        let policy = self.spec.policy.policy();
        let (process, threads) = NodeThreads::spawned_by(|| {
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
        let client = HttpClient::new(self.platform.vm_list.address());
        client
            .call(Method::PUT, "/admin/vms", body, CALL_TIMEOUT)
            .await?;
        Ok(())
    }

    /// Commits the edits that `make_edits` derives from the current configuration.
    async fn commit_edits(
        &self,
        make_edits: impl FnOnce(&ConfigView) -> Vec<ConfigEdit>,
    ) -> Result<()> {
        let store = HttpStore::new(self.platform.store.address());
        let deadline = Instant::now() + COMMIT_TIMEOUT;
        let view = read_config(&store, deadline).await;
        let view = view.map_err(|_unavailable| EmbeddedError::NotReady)?;
        let operator = "demo".parse::<OperatorId>();
        let request = CommitRequest {
            id: ChangeId::new(fastrand::u128(..)),
            operator: operator.map_err(|_invalid| EmbeddedError::NotReady)?,
            made_at_unix_ms: unix_ms(),
            edits: make_edits(&view),
        };
        match commit(&store, request, view, deadline).await {
            CommitOutcome::Accepted(_) | CommitOutcome::NoChange => Ok(()),
            _ => Err(EmbeddedError::NotReady),
        }
    }

    /// Waits until every node has applied the latest accepted change.
    async fn wait_until_applied(&self) -> Result<()> {
        let store = HttpStore::new(self.platform.store.address());
        let deadline = Instant::now() + READY_TIMEOUT;
        let view = read_config(&store, deadline).await;
        let accepted = view
            .map_err(|_unavailable| EmbeddedError::NotReady)?
            .state
            .number;
        while !self.is_applied(accepted).await {
            if Instant::now() >= deadline {
                return Err(EmbeddedError::NotReady);
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn is_applied(&self, accepted: ChangeNumber) -> bool {
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

    /// Waits until every entry reports every target as warming or warm.
    async fn wait_for_targets(&self) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
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
            sleep(POLL_INTERVAL).await;
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

fn domain_scope(domain: &str) -> Result<OutScope> {
    let domain = domain
        .parse::<DomainId>()
        .map_err(|_invalid| EmbeddedError::NotReady)?;
    Ok(OutScope::Domain(domain))
}

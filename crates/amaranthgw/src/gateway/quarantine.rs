//! Keeps the quarantine in the key-value service, for gateways that start later, and asks there for
//! trials, of which one runs at a time.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{LeaseId, MilliSpan};
use amaranthgw_fleet::gateway::{CallNews, CallVerdict};
use amaranthgw_platform::Result;
use amaranthgw_platform::store::{
    PlatformStore, QUARANTINE_PREFIX, ReadFreshness, quarantine_key, trial_key,
};
use compact_str::CompactString;
use tokio::time::{Instant, timeout};

use super::feeds::STORE_TIMEOUT;
use super::shared::GatewayShared;
use crate::telemetry::{EventLog, NodeEvent, count_store_call};

/// Longest time without a look at the quarantine.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Time for which crashes are kept in the key-value service; its longest lease.
const RECORD_TTL: MilliSpan = MilliSpan::new(600_000);
/// Time for which no other gateway may run a trial of the same parts or request.
const TRIAL_TTL: MilliSpan = MilliSpan::new(60_000);
/// Time within which a trial that was granted has to begin.
const TRIAL_START_TIME: Duration = Duration::from_secs(30);

/// Follows the quarantine until the process ends.
pub(super) async fn follow_quarantine(
    store: Arc<PlatformStore>,
    shared: Arc<GatewayShared>,
    log: EventLog,
) {
    let mut changes = shared.quarantine_changes.subscribe();
    let mut keeper = QuarantineKeeper {
        store,
        shared,
        log,
        verdicts: HashMap::new(),
        is_read: false,
    };
    loop {
        keeper.read().await;
        // Ends early with each change.
        drop(timeout(CHECK_INTERVAL, changes.changed()).await);
        keeper.shared.quarantine.prune(Instant::now());
        keeper.update().await;
        keeper.ask_for_trials().await;
    }
}

/// A verdict that is in force.
struct KnownVerdict {
    crashes: u32,
    /// Lease of its record in the key-value service, if this gateway wrote one.
    lease: Option<LeaseId>,
}

struct QuarantineKeeper {
    store: Arc<PlatformStore>,
    shared: Arc<GatewayShared>,
    log: EventLog,
    /// Verdicts in force, by their labels.
    verdicts: HashMap<CompactString, KnownVerdict>,
    /// Whether the crashes that earlier processes recorded were read.
    is_read: bool,
}

impl QuarantineKeeper {
    /// Reads the crashes that earlier processes recorded, once; fails while the store does.
    async fn read(&mut self) {
        if self.is_read {
            return;
        }
        let listed = self
            .store
            .list(
                QUARANTINE_PREFIX,
                ReadFreshness::Linearizable,
                STORE_TIMEOUT,
            )
            .await;
        count_store_call("list_quarantine", &listed);
        // Counted in the metrics only; the operator feed logs an outage of the store.
        let Ok(listing) = listed else {
            return;
        };
        self.is_read = true;
        for item in &listing.items {
            // Values of other versions of the program are left out.
            if let Ok(news) = serde_json::from_slice::<CallNews>(&item.value) {
                self.shared.quarantine.adopt(&news, Instant::now());
            }
        }
    }

    /// Logs and records verdicts that came into force or changed, and withdraws the others.
    async fn update(&mut self) {
        let current = self.shared.quarantine.verdicts();
        let labels: Vec<_> = current.iter().map(CallVerdict::label).collect();
        let is_over = |label: &&CompactString| !labels.contains(*label);
        let over: Vec<_> = self.verdicts.keys().filter(is_over).cloned().collect();
        for label in over {
            let known = self.verdicts.remove(&label);
            self.log.record(NodeEvent::PartsReleased {
                parts: label.clone(),
            });
            if let Some(lease) = known.and_then(|known| known.lease) {
                let ended = self.store.end(lease, STORE_TIMEOUT).await;
                // The record ends with its lease in any case.
                count_store_call("end_quarantine", &ended);
            }
        }
        for verdict in current {
            self.update_verdict(&verdict).await;
        }
    }

    async fn update_verdict(&mut self, verdict: &CallVerdict) {
        let label = verdict.label();
        let refused = &verdict.refused;
        let known = self.verdicts.get(&label);
        if known.is_some_and(|known| known.crashes == refused.crashes) {
            return;
        }
        self.log.record(NodeEvent::PartsRefused {
            parts: label.clone(),
            workspace: refused.workspace.clone(),
            crashes: refused.crashes,
            trial_ms: millis_until(refused.trial_at),
        });
        let mut lease = known.and_then(|known| known.lease);
        let evidence = self.shared.quarantine.own_evidence(verdict, Instant::now());
        if evidence != CallNews::default() {
            let written = self.write(verdict, &evidence).await;
            count_store_call("write_quarantine", &written);
            // Without the record, gateways that start learn the verdict from their peers.
            lease = written.ok().or(lease);
        }
        let crashes = refused.crashes;
        self.verdicts.insert(label, KnownVerdict { crashes, lease });
    }

    async fn write(&self, verdict: &CallVerdict, evidence: &CallNews) -> Result<LeaseId> {
        let granted = self.store.grant(RECORD_TTL, STORE_TIMEOUT).await?;
        let key = quarantine_key(&verdict.key_label(), verdict.refused.crashes);
        let value = serde_json::to_vec(evidence)?;
        self.store
            .create(&key, &value, granted.lease, STORE_TIMEOUT)
            .await?;
        Ok(granted.lease)
    }

    /// Asks for the trials that are due and wanted.
    async fn ask_for_trials(&self) {
        for verdict in self.shared.quarantine.due_trials(Instant::now()) {
            let claimed = self.claim_trial(&verdict).await;
            count_store_call("claim_trial", &claimed);
            // Another gateway runs it, or a later request asks again.
            if claimed.is_err() {
                continue;
            }
            let open_until = Instant::now() + TRIAL_START_TIME;
            self.log.record(NodeEvent::TrialOpened {
                parts: verdict.label(),
                crashes: verdict.refused.crashes,
            });
            self.shared.quarantine.open_trial(&verdict, open_until);
        }
    }

    async fn claim_trial(&self, verdict: &CallVerdict) -> Result<()> {
        let granted = self.store.grant(TRIAL_TTL, STORE_TIMEOUT).await?;
        let key = trial_key(&verdict.key_label());
        let created = self.store.create(&key, b"{}", granted.lease, STORE_TIMEOUT);
        created.await.map(drop)
    }
}

fn millis_until(at: Instant) -> u64 {
    let left = at.saturating_duration_since(Instant::now());
    super::basis::whole_millis(left)
}

//! The coordinator's lease: one agent of a group holds it and leads.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{FencingNumber, GroupId, LeaseId, MilliSpan, RankId, VmId};
use amaranthgw_groups::rebalance::CoordinatorMark;
use amaranthgw_platform::PlatformError;
use amaranthgw_platform::store::{PlatformStore, StoreChange, coordinator_key};
use compact_str::ToCompactString;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::beside::RankBeside;
use crate::telemetry::{EventLog, NodeEvent, count_store_call};

/// Longest wait for the store.
const CALL_LIMIT: Duration = Duration::from_millis(500);
/// Silence of the coordinator after which an agent looks for another one.
const SILENCE_LIMIT: Duration = Duration::from_millis(700);
/// Pause between two looks at the lease.
const LOOK_PAUSE: Duration = Duration::from_millis(250);
/// Head start of each rank over the next one, so that all do not ask at once.
const RANK_PAUSE: Duration = Duration::from_millis(60);
/// Renewals within the length of a lease.
const RENEWALS: u32 = 4;

/// What decides on leadership.
#[derive(Debug)]
pub(super) struct LeaseContest {
    /// The store.
    pub(super) store: Arc<PlatformStore>,
    /// The rank beside this process.
    pub(super) rank: Arc<RankBeside>,
    /// Name of this process in the lease.
    pub(super) vm: VmId,
    /// Length of a lease.
    pub(super) lasts: MilliSpan,
    /// Whether ranks refuse the orders of an earlier holder, so that a lease that can't be renewed
    /// need not end the leadership.
    pub(super) is_fenced: bool,
    /// Where decisions are recorded.
    pub(super) log: EventLog,
}

/// A lease that was won.
#[derive(Debug)]
pub(super) struct WonLease {
    /// Group that it is about.
    pub(super) group: GroupId,
    /// Rank beside the holder.
    pub(super) rank: RankId,
    /// The coordinator that led right before, where none did between.
    pub(super) previous: Option<CoordinatorMark>,
    /// Number that orders the holders.
    pub(super) fence: FencingNumber,
    /// The lease.
    pub(super) lease: LeaseId,
    /// Until when it is certainly held.
    pub(super) until: Instant,
}

impl LeaseContest {
    /// Waits until this agent holds the lease of its group.
    pub(super) async fn win(&self) -> WonLease {
        loop {
            sleep(LOOK_PAUSE).await;
            let is_led = |at: Instant| at.elapsed() < SILENCE_LIMIT;
            if self.rank.asked_at().is_some_and(is_led) {
                continue;
            }
            // A rank that is not up yet has no group to lead.
            let Ok(view) = self.rank.read(false).await else {
                continue;
            };
            sleep(RANK_PAUSE * u32::from(view.rank.get() % 16)).await;
            if self.rank.asked_at().is_some_and(is_led) {
                continue;
            }
            match self.try_win(&view.group, view.rank).await {
                Ok(Some(won)) => return won,
                Ok(None) => {}
                Err(error) => self.log.record(NodeEvent::LeaseFailed {
                    group: view.group,
                    reason: error.to_compact_string(),
                }),
            }
        }
    }

    async fn try_win(
        &self,
        group: &GroupId,
        rank: RankId,
    ) -> Result<Option<WonLease>, PlatformError> {
        let key = coordinator_key(group.as_str());
        let held = self.store.read(&key, CALL_LIMIT).await;
        count_store_call("read_lease", &held);
        if held?.is_some() {
            return Ok(None);
        }
        let asked_at = Instant::now();
        let granted = self.store.grant(self.lasts, CALL_LIMIT).await;
        count_store_call("grant_lease", &granted);
        let granted = granted?;
        let name = self.vm.as_str().as_bytes();
        let created = self
            .store
            .create(&key, name, granted.lease, CALL_LIMIT)
            .await;
        count_store_call("write_lease", &created);
        let revision = match created {
            Ok(revision) => revision,
            Err(PlatformError::Conflict) => return Ok(None),
            Err(error) => return Err(error),
        };
        let fence = FencingNumber::new(revision.get());
        let previous = self.direct_predecessor(&key).await;
        self.log.record(NodeEvent::LeaseWon {
            group: group.clone(),
            rank,
            fence,
        });
        Ok(Some(WonLease {
            group: group.clone(),
            rank,
            previous,
            fence,
            lease: granted.lease,
            until: asked_at + granted.ttl.duration(),
        }))
    }

    /// The coordinator that asked last, where the store shows that no other led after it.
    async fn direct_predecessor(&self, key: &str) -> Option<CoordinatorMark> {
        let mark = self.rank.coordinator().filter(|_| self.is_fenced)?;
        let after = mark.known_at;
        let watched = self
            .store
            .watch(key, after, Duration::ZERO, CALL_LIMIT)
            .await;
        count_store_call("watch_lease", &watched);
        // A history that is not known may hold another coordinator.
        let (changes, _as_of) = watched.ok()?;
        let written = changes
            .iter()
            .filter(|it| matches!(it, StoreChange::Written(_)));
        (written.count() == 1).then_some(mark)
    }

    /// Renews `lease` until it is lost, and tells until when it is held.
    pub(super) async fn keep(&self, won: &WonLease, until: &watch::Sender<Instant>) {
        let cause = loop {
            sleep(self.lasts.duration() / RENEWALS).await;
            let asked_at = Instant::now();
            if !self.is_fenced && asked_at >= *until.borrow() {
                break "not_renewed";
            }
            let renewed = self.store.renew(won.lease, self.lasts.duration() / 2).await;
            count_store_call("renew_lease", &renewed);
            match renewed {
                Ok(renewed) => {
                    until.send_replace(asked_at + renewed.ttl.duration());
                }
                Err(PlatformError::LeaseEnded) => break "ended",
                // The lease lasts for some more tries.
                Err(_unavailable) => {}
            }
        };
        self.log.record(NodeEvent::LeaseLost {
            group: won.group.clone(),
            fence: won.fence,
            cause,
        });
    }

    /// Gives the lease up, so that another agent leads at once.
    pub(super) async fn give_up(&self, lease: LeaseId) {
        let ended = self.store.end(lease, CALL_LIMIT).await;
        // Where this fails, the lease ends by itself.
        count_store_call("end_lease", &ended);
    }
}

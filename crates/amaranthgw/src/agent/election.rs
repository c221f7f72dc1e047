//! Election of a group's coordinator: one agent of the group holds a lease in the store.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{FencingNumber, GroupId, LeaseId, MilliSpan, RankId, StoreRevision, VmId};
use amaranthgw_groups::rebalance::CoordinatorMark;
use amaranthgw_platform::PlatformError;
use amaranthgw_platform::rank::RankReport;
use amaranthgw_platform::store::{PlatformStore, StoreChange, StoreItem, coordinator_key};
use compact_str::{CompactString, ToCompactString};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::local_rank::LocalRank;
use crate::telemetry::{EventLog, NodeEvent, count_store_call};

/// Time limit of one store call.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without a coordinator's query after which an agent tries to acquire the lease.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(700);
/// The same while this agent's rank is held: the coordinator then sends a query each 50 ms, and the group
/// stands still.
const HELD_TIMEOUT: Duration = Duration::from_millis(300);
/// Interval between checks whether the group has a coordinator.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Delay per rank number modulo 16, so that not all agents try to acquire the lease at once.
const RANK_STAGGER_DELAY: Duration = Duration::from_millis(60);
/// Number of renewals within the duration of a lease.
const RENEWALS_PER_LEASE: u32 = 4;

/// Acquires, renews and releases the coordinator lease of a group.
#[derive(Debug)]
pub(super) struct LeaseElection {
    /// Store that holds the lease.
    pub(super) store: Arc<PlatformStore>,
    /// The rank on this VM.
    pub(super) rank: Arc<LocalRank>,
    /// Holder name written with the lease.
    pub(super) vm: VmId,
    /// Duration of a lease.
    pub(super) ttl: MilliSpan,
    /// Whether ranks refuse the orders of an earlier holder. If so, the agent goes on coordinating
    /// while its lease can't be renewed, even past the end of the lease.
    pub(super) is_fenced: bool,
    /// Log of lease events.
    pub(super) log: EventLog,
}

/// A coordinator lease that this agent holds.
#[derive(Debug)]
pub(super) struct HeldLease {
    /// Group that the lease covers.
    pub(super) group: GroupId,
    /// Rank on the holder's VM.
    pub(super) rank: RankId,
    /// The coordinator that last queried this rank, if orders are fenced and the store shows that
    /// no other agent held the lease since.
    pub(super) previous: Option<CoordinatorMark>,
    /// Fencing token, which grows with each holder.
    pub(super) fence: FencingNumber,
    /// Id of the lease in the store.
    pub(super) lease: LeaseId,
    /// Revision of its key.
    pub(super) written: StoreRevision,
    /// Time until which the lease is certainly held.
    pub(super) expires_at: Instant,
}

/// Fencing token of the lease whose key was written at `written`: above those of earlier revisions, and of
/// all revisions of earlier eras.
fn fencing_number(written: StoreRevision) -> FencingNumber {
    /// Bits of the revision's number. Versions of maps begin at a multiple of the token, and have to stay
    /// exact as a JSON number.
    const NUMBER_BITS: u32 = 32;
    let of_era = written.era().get() << NUMBER_BITS;
    FencingNumber::new(of_era.saturating_add(written.get()))
}

impl LeaseElection {
    /// Waits until this agent holds the lease of its group, and returns it.
    pub(super) async fn acquire(&self) -> HeldLease {
        loop {
            sleep(self.check_delay()).await;
            if self.is_queried_within(HELD_TIMEOUT) {
                continue;
            }
            // A rank that is not up yet has no group to coordinate.
            let Ok(RankReport { view, .. }) = self.rank.report().await else {
                continue;
            };
            let is_held = self.is_fenced && view.held.is_some();
            if !is_held {
                if self.is_queried_within(COORDINATOR_TIMEOUT) {
                    continue;
                }
                sleep(RANK_STAGGER_DELAY * u32::from(view.rank.get() % 16)).await;
                if self.is_queried_within(COORDINATOR_TIMEOUT) {
                    continue;
                }
            }
            match self.try_acquire(&view.group, view.rank, is_held).await {
                Ok(Some(held)) => return held,
                Ok(None) => {}
                Err(error) => self.log.record(NodeEvent::LeaseFailed {
                    group: view.group,
                    reason: error.to_compact_string(),
                }),
            }
        }
    }

    /// Time until the next check, at which a coordinator that is silent by then has been so for long enough to
    /// look at the rank.
    fn check_delay(&self) -> Duration {
        let elapsed = self.rank.queried_at().map(|at| at.elapsed());
        let left = elapsed.and_then(|elapsed| HELD_TIMEOUT.checked_sub(elapsed));
        left.unwrap_or(LEASE_CHECK_INTERVAL)
    }

    fn is_queried_within(&self, time: Duration) -> bool {
        let queried_at = self.rank.queried_at();
        queried_at.is_some_and(|at| at.elapsed() < time)
    }

    /// Ends the lease of the coordinator that last queried this rank, if it is the one in `item`; returns whether it
    /// did. Its orders are refused once those of this agent have come.
    async fn end_silent(&self, item: &StoreItem) -> Result<bool, PlatformError> {
        let known_at = self.rank.coordinator().map(|mark| mark.known_at);
        if known_at.is_none_or(|known_at| known_at < item.revision) {
            // Another one has taken over already.
            return Ok(false);
        }
        let ended = self.store.end(item.lease, STORE_TIMEOUT).await;
        count_store_call("end_silent_lease", &ended);
        ended.map(|()| true)
    }

    /// Tries to win the lease; while the rank is held, also from a coordinator that has fallen silent.
    async fn try_acquire(
        &self,
        group: &GroupId,
        rank: RankId,
        is_held: bool,
    ) -> Result<Option<HeldLease>, PlatformError> {
        let key = coordinator_key(group.as_str());
        let read = self.store.read(&key, STORE_TIMEOUT).await;
        count_store_call("read_lease", &read);
        let mut taken_from = CompactString::default();
        if let Some(item) = read? {
            if !is_held || !self.end_silent(&item).await? {
                return Ok(None);
            }
            taken_from = CompactString::from_utf8_lossy(&item.value);
        }
        let requested_at = Instant::now();
        let granted = self.store.grant(self.ttl, STORE_TIMEOUT).await;
        count_store_call("grant_lease", &granted);
        let granted = granted?;
        let name = self.vm.as_str().as_bytes();
        let created = self
            .store
            .create(&key, name, granted.lease, STORE_TIMEOUT)
            .await;
        count_store_call("write_lease", &created);
        let revision = match created {
            Ok(revision) => revision,
            Err(PlatformError::Conflict) => return Ok(None),
            Err(error) => return Err(error),
        };
        let fence = fencing_number(revision);
        let known = self.rank.begin_term(CoordinatorMark {
            rank,
            known_at: revision,
            phase_number: 0,
            fenced_generation: None,
        });
        let previous = self.direct_predecessor(&key, known).await;
        self.log.record(NodeEvent::LeaseWon {
            group: group.clone(),
            rank,
            fence,
            taken_from,
        });
        Ok(Some(HeldLease {
            group: group.clone(),
            rank,
            previous,
            fence,
            written: revision,
            lease: granted.lease,
            expires_at: requested_at + granted.ttl.duration(),
        }))
    }

    /// The coordinator `known`, if orders are fenced and the store shows that no other came after it.
    async fn direct_predecessor(
        &self,
        key: &str,
        known: Option<CoordinatorMark>,
    ) -> Option<CoordinatorMark> {
        let mark = known.filter(|_| self.is_fenced)?;
        let after = mark.known_at;
        let read = self.store.changes(key, after, STORE_TIMEOUT).await;
        count_store_call("watch_lease", &read);
        // An unknown history may contain another coordinator.
        let (changes, _as_of) = read.ok()?;
        let written = changes
            .iter()
            .filter(|it| matches!(it, StoreChange::Written(_)));
        // The only write is that of this agent's own lease.
        (written.count() == 1).then_some(mark)
    }

    /// Renews the lease until it is lost; sends its end to `expires_at` after each renewal.
    pub(super) async fn renew_until_lost(
        &self,
        held: &HeldLease,
        expires_at: &watch::Sender<Instant>,
    ) {
        let cause = loop {
            sleep(self.ttl.duration() / RENEWALS_PER_LEASE).await;
            let requested_at = Instant::now();
            if !self.is_fenced && requested_at >= *expires_at.borrow() {
                break "not_renewed";
            }
            let renewed = self.store.renew(held.lease, self.ttl.duration() / 2).await;
            count_store_call("renew_lease", &renewed);
            if self.is_of_earlier_era(held) {
                break "store_returned";
            }
            match renewed {
                Ok(renewed) => {
                    expires_at.send_replace(requested_at + renewed.ttl.duration());
                }
                Err(PlatformError::LeaseEnded) => break "ended",
                // Retried until the lease ends or, with fencing, until the store says that it ended.
                Err(_unavailable) => {}
            }
        };
        self.log.record(NodeEvent::LeaseLost {
            group: held.group.clone(),
            fence: held.fence,
            cause,
        });
    }

    /// Whether the store has come back from an older copy since the lease was granted. The copy may lack the
    /// lease, or have given its id to another.
    fn is_of_earlier_era(&self, held: &HeldLease) -> bool {
        self.store.known_era() > held.written.era()
    }

    /// Releases the lease, so that another agent can acquire it at once.
    pub(super) async fn release(&self, held: &HeldLease) {
        if self.is_of_earlier_era(held) {
            return;
        }
        let ended = self.store.end(held.lease, STORE_TIMEOUT).await;
        // If this fails, the lease expires by itself.
        count_store_call("end_lease", &ended);
    }
}

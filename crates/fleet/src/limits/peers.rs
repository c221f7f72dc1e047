//! Lease expiry of other holders, measured by the local clock.

use amaranthgw_core::EntityTable;
use tokio::time::Instant;

use super::{HolderId, RenewalNumber, ShareAmount, ShareSettings, ShareValue};

/// A holder's last renewal and when this entry first saw it.
#[derive(Clone, Copy, Debug)]
struct RenewalRow {
    renewal: RenewalNumber,
    seen_at: Instant,
}

/// Renewals of the other holders as this entry observed them.
#[derive(Debug, Default)]
pub(super) struct PeerTable {
    rows: EntityTable<HolderId, RenewalRow>,
}

impl PeerTable {
    /// Records the renewals in `value`, which was received at `now`.
    pub fn observe(&mut self, value: &ShareValue, now: Instant) {
        self.rows
            .retain(|holder, _| value.renewals.contains(holder));
        for (holder, renewal) in value.renewals.iter() {
            let observed = RenewalRow {
                renewal: *renewal,
                seen_at: now,
            };
            let row = self.rows.get_or_insert_with(holder.clone(), || observed);
            if row.renewal != *renewal {
                *row = observed;
            }
        }
    }

    /// Removes from `value` the shares that holders other than `own` can't be using any more at
    /// `now`.
    ///
    /// A holder's lease starts before it sends the renewal; this entry counts from when it saw the
    /// renewal, which is later. The rate of a share is reclaimed once the lease and the margin have
    /// passed, its requests in flight only after the longest request duration has passed as well.
    pub fn reclaim(
        &self,
        value: &mut ShareValue,
        own: &HolderId,
        settings: &ShareSettings,
        now: Instant,
    ) {
        let expiry = |holder: &HolderId| {
            let lease_until = self
                .rows
                .get(holder)
                .map(|row| row.seen_at + settings.lease);
            let expired_at = lease_until.map(|until| until + settings.margin);
            expired_at.filter(|expired_at| holder != own && *expired_at <= now)
        };
        let is_over = |holder: &HolderId| {
            expiry(holder)
                .is_some_and(|expired_at| expired_at + settings.max_request_duration <= now)
        };
        value.renewals.retain(|holder, _| !is_over(holder));
        for (_, shares) in value.keys.iter_mut() {
            shares.holders.retain(|holder, row| {
                if expiry(holder).is_some() {
                    row.held.rate = super::MilliRate::default();
                    row.demand = ShareAmount::default();
                }
                !is_over(holder)
            });
        }
    }
}

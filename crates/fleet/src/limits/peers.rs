//! When the other holders last renewed, by the local clock.

use amaranthgw_core::EntityTable;
use tokio::time::Instant;

use super::{HolderId, RenewalNumber, ShareAmount, ShareSettings, ShareValue};

/// A holder's last renewal and when it was first seen here.
#[derive(Clone, Copy, Debug)]
struct SeenRow {
    renewal: RenewalNumber,
    seen_at: Instant,
}

/// What this entry has seen of the other holders.
#[derive(Debug, Default)]
pub(super) struct PeerTable {
    rows: EntityTable<HolderId, SeenRow>,
}

impl PeerTable {
    /// Notes the renewals in `value`, which arrived at `now`.
    pub fn observe(&mut self, value: &ShareValue, now: Instant) {
        self.rows
            .retain(|holder, _| value.renewals.contains(holder));
        for (holder, renewal) in value.renewals.iter() {
            let seen = SeenRow {
                renewal: *renewal,
                seen_at: now,
            };
            let row = self.rows.get_or_insert_with(holder.clone(), || seen);
            if row.renewal != *renewal {
                *row = seen;
            }
        }
    }

    /// Takes out of `value` what holders other than `own` have provably stopped using by `now`.
    ///
    /// A holder counts its lease from before it sent the renewal, and this entry counts from
    /// when it saw the renewal, which is later. The rate is free when the lease is over, the
    /// requests in flight when the longest of them is over too.
    pub fn reclaim(
        &self,
        value: &mut ShareValue,
        own: &HolderId,
        settings: &ShareSettings,
        now: Instant,
    ) {
        let lapsed = |holder: &HolderId| {
            let unchanged_until = self
                .rows
                .get(holder)
                .map(|row| row.seen_at + settings.lease);
            let lapsed_at = unchanged_until.map(|until| until + settings.margin);
            lapsed_at.filter(|lapsed_at| holder != own && *lapsed_at <= now)
        };
        let is_over = |holder: &HolderId| {
            lapsed(holder).is_some_and(|lapsed_at| lapsed_at + settings.longest_request <= now)
        };
        value.renewals.retain(|holder, _| !is_over(holder));
        for (_, shares) in value.keys.iter_mut() {
            shares.holders.retain(|holder, row| {
                if lapsed(holder).is_some() {
                    row.held.rate = super::MilliRate::default();
                    row.wanted = ShareAmount::default();
                }
                !is_over(holder)
            });
        }
    }
}

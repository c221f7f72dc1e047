//! Stored form of the shares: one value for each shard, updated by compare-and-swap.

use amaranthgw_core::{EntityTable, SlotCount};
use serde::{Deserialize, Serialize};

use super::{HolderId, MilliRate, ShareKey};
use crate::config::ServiceLimitRow;

/// Sequence number of a holder's renewals; it grows with each write of the holder.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RenewalNumber(u64);

impl RenewalNumber {
    /// The next number.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl std::fmt::Display for RenewalNumber {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// A request rate together with a number of requests in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(MilliRate, SlotCount)", into = "(MilliRate, SlotCount)")]
pub struct ShareAmount {
    /// Request rate, in requests per 1,000 seconds.
    pub rate: MilliRate,
    /// Concurrent requests in flight.
    pub in_flight: SlotCount,
}

impl ShareAmount {
    /// Creates the amount from its two parts.
    #[must_use]
    pub const fn new(rate: MilliRate, in_flight: SlotCount) -> Self {
        Self { rate, in_flight }
    }

    /// Creates the amount that a plan allows one workspace over all entries.
    #[must_use]
    pub const fn with_use(row: &ServiceLimitRow) -> Self {
        Self::new(MilliRate::with_rate(row.rate), row.in_flight)
    }

    /// Component-wise saturating sum.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        self.combine(other, u64::saturating_add, u32::saturating_add)
    }

    /// Component-wise difference, at least zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        self.combine(other, u64::saturating_sub, u32::saturating_sub)
    }

    /// Component-wise minimum.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        self.combine(other, u64::min, u32::min)
    }

    /// Component-wise maximum.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        self.combine(other, u64::max, u32::max)
    }

    /// Whether neither component exceeds that of `other`.
    #[must_use]
    pub fn is_within(self, other: Self) -> bool {
        self.rate <= other.rate && self.in_flight <= other.in_flight
    }

    fn combine(self, other: Self, rates: fn(u64, u64) -> u64, slots: fn(u32, u32) -> u32) -> Self {
        Self {
            rate: MilliRate::new(rates(self.rate.get(), other.rate.get())),
            in_flight: SlotCount::new(slots(self.in_flight.get(), other.in_flight.get())),
        }
    }
}

impl From<(MilliRate, SlotCount)> for ShareAmount {
    fn from((rate, in_flight): (MilliRate, SlotCount)) -> Self {
        Self::new(rate, in_flight)
    }
}

impl From<ShareAmount> for (MilliRate, SlotCount) {
    fn from(amount: ShareAmount) -> Self {
        (amount.rate, amount.in_flight)
    }
}

/// Share and demand of one holder; serialised as a pair.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    from = "(ShareAmount, ShareAmount)",
    into = "(ShareAmount, ShareAmount)"
)]
pub struct ShareRow {
    /// Share granted to the holder.
    pub held: ShareAmount,
    /// Demand of the holder's callers.
    pub demand: ShareAmount,
}

impl From<(ShareAmount, ShareAmount)> for ShareRow {
    fn from((held, demand): (ShareAmount, ShareAmount)) -> Self {
        Self { held, demand }
    }
}

impl From<ShareRow> for (ShareAmount, ShareAmount) {
    fn from(row: ShareRow) -> Self {
        (row.held, row.demand)
    }
}

/// Division of one limit among its holders.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct KeyShares {
    /// Part of the limit from which the shares were granted; their sum doesn't exceed it.
    pub pool: ShareAmount,
    /// Shares by holder.
    pub holders: EntityTable<HolderId, ShareRow>,
}

impl KeyShares {
    /// Sum of the shares and demands of all holders except `own`.
    #[must_use]
    pub fn others(&self, own: &HolderId) -> ShareRow {
        let mut sum = ShareRow::default();
        for (holder, row) in self.holders.iter() {
            if holder != own {
                sum.held = sum.held.plus(row.held);
                sum.demand = sum.demand.plus(row.demand);
            }
        }
        sum
    }
}

/// Division of the limits of all workspaces in one shard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ShareValue {
    /// Number of the last renewal of each holder.
    pub renewals: EntityTable<HolderId, RenewalNumber>,
    /// Division of each limit.
    pub keys: EntityTable<ShareKey, KeyShares>,
}

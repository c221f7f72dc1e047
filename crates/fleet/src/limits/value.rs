//! The value that entries compare-and-swap: one for each shard of workspaces.

use amaranthgw_core::{EntityTable, SlotCount};
use serde::{Deserialize, Serialize};

use super::{HolderId, MilliRate, ShareKey};
use crate::config::UseRow;

/// Number of a holder's renewal; each write of a holder has a larger one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RenewalNumber(u64);

impl RenewalNumber {
    /// The number after this one.
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

/// An amount of a rate and of requests in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(MilliRate, SlotCount)", into = "(MilliRate, SlotCount)")]
pub struct ShareAmount {
    /// Requests per second.
    pub rate: MilliRate,
    /// Requests in flight at once.
    pub in_flight: SlotCount,
}

impl ShareAmount {
    /// Creates the amount.
    #[must_use]
    pub const fn new(rate: MilliRate, in_flight: SlotCount) -> Self {
        Self { rate, in_flight }
    }

    /// Creates the amount that a plan allows one workspace.
    #[must_use]
    pub const fn with_use(row: &UseRow) -> Self {
        Self::new(MilliRate::with_rate(row.rate), row.in_flight)
    }

    /// Sum of both amounts.
    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        self.join(other, u64::saturating_add, u32::saturating_add)
    }

    /// What is left of this amount without `other`; nothing below zero.
    #[must_use]
    pub fn minus(self, other: Self) -> Self {
        self.join(other, u64::saturating_sub, u32::saturating_sub)
    }

    /// The smaller of each part.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        self.join(other, u64::min, u32::min)
    }

    /// The larger of each part.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        self.join(other, u64::max, u32::max)
    }

    /// Whether no part exceeds that of `other`.
    #[must_use]
    pub fn is_within(self, other: Self) -> bool {
        self.rate <= other.rate && self.in_flight <= other.in_flight
    }

    fn join(self, other: Self, rates: fn(u64, u64) -> u64, slots: fn(u32, u32) -> u32) -> Self {
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

/// What one holder may use and what it would like to use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(
    from = "(ShareAmount, ShareAmount)",
    into = "(ShareAmount, ShareAmount)"
)]
pub struct ShareRow {
    /// What it may use.
    pub held: ShareAmount,
    /// What its callers ask for.
    pub wanted: ShareAmount,
}

impl From<(ShareAmount, ShareAmount)> for ShareRow {
    fn from((held, wanted): (ShareAmount, ShareAmount)) -> Self {
        Self { held, wanted }
    }
}

impl From<ShareRow> for (ShareAmount, ShareAmount) {
    fn from(row: ShareRow) -> Self {
        (row.held, row.wanted)
    }
}

/// How one limit is divided.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct KeyShares {
    /// The part of the limit that the shares were divided from; their sum is within it.
    pub pool: ShareAmount,
    /// Shares by holder.
    pub holders: EntityTable<HolderId, ShareRow>,
}

impl KeyShares {
    /// Sum of what all holders but `own` hold and want.
    #[must_use]
    pub fn others(&self, own: &HolderId) -> ShareRow {
        let mut sum = ShareRow::default();
        for (holder, row) in self.holders.iter() {
            if holder != own {
                sum.held = sum.held.plus(row.held);
                sum.wanted = sum.wanted.plus(row.wanted);
            }
        }
        sum
    }
}

/// How the limits of the workspaces of one shard are divided.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ShareValue {
    /// Last renewal of each holder.
    pub renewals: EntityTable<HolderId, RenewalNumber>,
    /// Shares by workspace and service.
    pub keys: EntityTable<ShareKey, KeyShares>,
}

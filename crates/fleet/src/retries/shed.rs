//! Which requests an overloaded entry refuses.

use std::time::Duration;

use tokio::time::Instant;

/// Offered load of the plans with one refund weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightLoad {
    /// What one late answer costs relative to the other plans.
    pub refund_weight: u32,
    /// Offered load, in the unit of the capacity.
    pub load: f32,
}

/// The line between the requests that are admitted and those that are shed.
///
/// The control thread draws it from the offered load; traffic threads ask it for each request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShedLine {
    weight: u32,
    admitted_at_weight: f32,
}

/// What the decision needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct ShedAsk {
    /// What a late answer costs relative to the other plans.
    pub refund_weight: u32,
    /// Shortest time in which the answer can be whole.
    pub needed: Duration,
    /// When the answer is due.
    pub deadline: Instant,
    /// Random number in `0.0..1.0`.
    pub draw: f32,
}

/// Why a request is shed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShedReason {
    /// Its answer would be late even if it started now.
    DeadlineTooNear,
    /// Dearer requests use the whole capacity.
    CheaperThanOthers,
}

/// Whether a request is admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShedVerdict {
    /// It may start.
    Admit,
    /// It is refused before any attempt.
    Shed(ShedReason),
}

impl ShedLine {
    /// Creates the line that admits everything.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            weight: 0,
            admitted_at_weight: 1.0,
        }
    }

    /// Creates the line that fits the dearest part of `offered` into `capacity`.
    #[must_use]
    pub fn with_load(offered: &[WeightLoad], capacity: f32) -> Self {
        let mut by_weight = offered.to_vec();
        by_weight.sort_by_key(|row| std::cmp::Reverse(row.refund_weight));
        let mut room = capacity.max(0.0);
        let mut rows = by_weight.as_slice();
        while let Some(first) = rows.first() {
            let weight = first.refund_weight;
            let same = rows
                .iter()
                .take_while(|row| row.refund_weight == weight)
                .count();
            let load: f32 = rows[..same].iter().map(|row| row.load).sum();
            if load > room {
                let admitted_at_weight = room / load;
                return Self {
                    weight,
                    admitted_at_weight,
                };
            }
            room -= load;
            rows = &rows[same..];
        }
        Self::new()
    }

    /// Decides on a request at the time `now`.
    #[must_use]
    pub fn decide(self, ask: &ShedAsk, now: Instant) -> ShedVerdict {
        if now + ask.needed > ask.deadline {
            return ShedVerdict::Shed(ShedReason::DeadlineTooNear);
        }
        if self.admits(ask.refund_weight, ask.draw) {
            return ShedVerdict::Admit;
        }
        ShedVerdict::Shed(ShedReason::CheaperThanOthers)
    }

    fn admits(self, refund_weight: u32, draw: f32) -> bool {
        match refund_weight.cmp(&self.weight) {
            std::cmp::Ordering::Less => false,
            std::cmp::Ordering::Equal => draw < self.admitted_at_weight,
            std::cmp::Ordering::Greater => true,
        }
    }
}

impl Default for ShedLine {
    fn default() -> Self {
        Self::new()
    }
}
